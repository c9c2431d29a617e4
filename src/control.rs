//! Control thread of an instance: runs [`instance::InstanceCore`].
//!
//! It turns input from sockets, timers and the metadata store into events of the
//! core, performs the core's actions, and publishes the view that the traffic
//! threads use.

use crate::clock;
use crate::config;
use crate::controller;
use crate::election;
use crate::ids;
use crate::instance;
use crate::memory;
use crate::metrics;
use crate::operators;
use crate::peer_connections;
use crate::proxy;
use crate::record;
use crate::settings;
use crate::store_client;
use crate::upstream;
use crate::view;
use crate::wire;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio_util::bytes::Bytes;

/// Interval of the core's timer.
const TICK_INTERVAL: Duration = Duration::from_millis(25);

/// Interval at which request limits are adjusted and connections past the idle timeout closed.
const POOL_INTERVAL: Duration = Duration::from_secs(1);

/// Number of instances to assume until a controller reports the real one.
const ASSUMED_INSTANCES: usize = 10;

/// Sockets of the control thread, bound before the instance starts.
#[derive(Debug)]
pub struct ControlSockets {
    /// Accepts connections of other instances.
    pub peers: TcpListener,
    /// Exchanges datagrams with upstreams; bound to the same address as `peers`.
    pub upstreams: UdpSocket,
    /// Accepts HTTP connections of operators.
    pub operators: TcpListener,
}

impl ControlSockets {
    /// Binds the control and operators' addresses of `settings`.
    pub fn bind(settings: &settings::InstanceSettings) -> io::Result<ControlSockets> {
        Ok(ControlSockets {
            peers: TcpListener::bind(settings.control)?,
            upstreams: UdpSocket::bind(settings.control)?,
            operators: TcpListener::bind(settings.operators)?,
        })
    }
}

/// A configured service.
#[derive(Debug)]
pub(crate) struct ServiceState {
    pub(crate) team: Arc<str>,
    pub(crate) config: Arc<config::ServiceConfig>,
    pub(crate) retry_budget: Arc<crate::budget::RetryBudget>,
    pub(crate) pools: HashMap<ids::UpstreamKey, Arc<upstream::UpstreamPool>>,
}

/// State of the control thread.
pub struct ControlThread {
    pub core: RefCell<instance::InstanceCore>,
    pub context: Arc<proxy::ProxyContext>,
    pub(crate) clock: Box<dyn clock::Clock>,
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    pub(crate) peers: peer_connections::PeerConnections,
    pub(crate) upstreams: Async<UdpSocket>,
    pub(crate) store: store_client::StoreClient,
    pub(crate) metrics: Arc<metrics::MetricSet>,
    /// Version in force of each team's configuration.
    pub(crate) config_versions: RefCell<BTreeMap<String, u64>>,
    pub(crate) services: RefCell<HashMap<ids::ServiceKey, ServiceState>>,
    /// Instances among which an upstream's connections are shared.
    pub(crate) instance_count: Cell<usize>,
    /// Whether the configurations were read from the metadata store.
    pub(crate) configs_read: Cell<bool>,
}

impl ControlThread {
    /// Creates the state of an instance's control thread.
    pub fn new(
        context: Arc<proxy::ProxyContext>,
        clock: Box<dyn clock::Clock>,
        upstreams: UdpSocket,
    ) -> io::Result<Rc<ControlThread>> {
        let executor = Rc::new(LocalExecutor::new());
        let settings = &context.settings;
        let me = record::PeerInfo {
            key: ids::InstanceKey::derive(&settings.id, fastrand::u64(..)),
            id: settings.id.clone(),
            zone: settings.zone.clone(),
            control: settings.control,
        };
        let metrics = context.metrics.clone();
        Ok(Rc::new(ControlThread {
            core: RefCell::new(instance::InstanceCore::new(me)),
            clock,
            peers: peer_connections::PeerConnections::new(executor.clone()),
            executor,
            upstreams: Async::new(upstreams)?,
            store: store_client::StoreClient::new(settings.platform, metrics.clone()),
            metrics,
            config_versions: RefCell::default(),
            services: RefCell::default(),
            instance_count: Cell::new(ASSUMED_INSTANCES),
            configs_read: Cell::new(false),
            context,
        }))
    }

    /// Runs until `stop` completes.
    ///
    /// `stale` receives the services whose routes seem out of date.
    pub fn run(
        self: &Rc<Self>,
        peers: TcpListener,
        operators: TcpListener,
        stale: async_channel::Receiver<ids::ServiceKey>,
        stop: impl Future<Output = ()>,
    ) -> io::Result<()> {
        let peers = Async::new(peers)?;
        let operators = Async::new(operators)?;
        self.spawn(Self::tick(self.clone()));
        self.spawn(Self::accept_peers(self.clone(), peers));
        self.spawn(Self::receive_heartbeats(self.clone()));
        self.spawn(Self::watch_config(self.clone()));
        self.spawn(Self::refresh_stale(self.clone(), stale));
        self.spawn(Self::maintain_pools(self.clone()));
        self.spawn(operators::serve(self.clone(), operators));
        async_io::block_on(self.executor.run(stop));
        Ok(())
    }

    /// Runs a task on the control thread.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.executor.spawn(task).detach();
    }

    /// Returns whether the instance is ready to serve callers.
    pub fn is_ready(&self) -> bool {
        self.configs_read.get() && !self.context.is_stopping()
    }

    /// Returns the version in force of each team's configuration.
    pub fn config_versions(&self) -> BTreeMap<String, u64> {
        self.config_versions.borrow().clone()
    }

    /// Feeds one event to the core and performs its actions.
    pub fn handle(self: &Rc<Self>, event: instance::InstanceEvent) {
        let now = self.clock.now();
        let actions = self.core.borrow_mut().step(now, event);
        for action in actions {
            self.perform(action);
        }
    }

    fn perform(self: &Rc<Self>, action: instance::InstanceAction) {
        match action {
            instance::InstanceAction::ToPeer { address, message } => {
                self.send_peer(address, message)
            }
            instance::InstanceAction::ToUpstream { address, message } => {
                self.send_upstream(address, message)
            }
            instance::InstanceAction::ReadRecord { service } => {
                self.spawn(Self::read(self.clone(), service))
            }
            instance::InstanceAction::WriteRecord {
                service,
                record,
                revision,
            } => self.spawn(Self::write(self.clone(), service, record, revision)),
            instance::InstanceAction::RoutesChanged { .. } => {
                self.metrics.control.route_changes.add(1, &[]);
                self.publish();
            }
            instance::InstanceAction::RoleChanged {
                service,
                leading,
                term,
            } => self.log_role(service, leading, term),
        }
    }

    fn send_peer(&self, address: SocketAddr, message: instance::PeerMessage) {
        let (from, own_address) = {
            let core = self.core.borrow();
            (core.me().key, core.me().control)
        };
        let envelope = wire::PeerEnvelope {
            from,
            address: own_address,
            message,
        };
        let frame = envelope.encode();
        self.metrics.control.peer_messages.add(1, &[]);
        self.metrics
            .control
            .control_bytes
            .add(frame.len() as u64, &[]);
        self.peers.send(address, Bytes::from(frame));
    }

    fn send_upstream(&self, address: SocketAddr, message: instance::UpstreamMessage) {
        let from = self.core.borrow().me().key;
        let datagram = wire::UpstreamEnvelope { from, message }.encode();
        self.metrics.control.upstream_messages.add(1, &[]);
        self.metrics
            .control
            .control_bytes
            .add(datagram.len() as u64, &[]);
        if let Err(error) = self.upstreams.get_ref().send_to(&datagram, address) {
            log::debug!("datagram to upstream at {address} not sent: {error}");
        }
    }

    fn log_role(&self, service: ids::ServiceKey, leading: bool, term: u32) {
        let name = self.record_key(service).unwrap_or_default();
        match leading {
            true => log::info!("{name}: this instance is the controller in term {term}"),
            false => {
                log::info!("{name}: this instance is no longer the controller; term {term} began")
            }
        }
    }

    async fn tick(this: Rc<Self>) {
        loop {
            Timer::after(TICK_INTERVAL).await;
            this.handle(instance::InstanceEvent::Tick);
        }
    }

    async fn accept_peers(this: Rc<Self>, listener: Async<TcpListener>) {
        let budget = memory::MemoryBudget::for_process(None);
        loop {
            match listener.accept().await {
                Ok((io, sender)) => {
                    let (receiver, budget) = (this.clone(), budget.clone());
                    let receive = async move {
                        let on_frame = |frame: &[u8]| receiver.on_frame(frame);
                        let received =
                            peer_connections::receive_frames(io, sender, &budget, on_frame).await;
                        if let Err(error) = received {
                            log::debug!("incoming peer connection failed: {error}");
                        }
                    };
                    this.spawn(receive);
                }
                Err(error) => {
                    log::debug!("peer connection not accepted: {error}; retrying");
                    Timer::after(TICK_INTERVAL).await;
                }
            }
        }
    }

    fn on_frame(self: &Rc<Self>, frame: &[u8]) {
        match wire::PeerEnvelope::decode(frame) {
            Ok(envelope) => self.handle(instance::InstanceEvent::Peer {
                from: envelope.from,
                address: envelope.address,
                message: envelope.message,
            }),
            Err(error) => log::warn!("peer message dropped: {error}"),
        }
    }

    async fn receive_heartbeats(this: Rc<Self>) {
        let mut buffer = vec![0; wire::MAX_DATAGRAM_BYTES];
        loop {
            let Ok((length, sender)) = this.upstreams.recv_from(&mut buffer).await else {
                continue;
            };
            match wire::decode_heartbeat(&buffer[..length]) {
                Ok(heartbeat) => this.handle(instance::InstanceEvent::Heartbeat(heartbeat)),
                Err(error) => log::debug!("heartbeat from {sender} dropped: {error}"),
            }
        }
    }

    /// Refreshes the routes of at most one service per interval; reports in between
    /// are dropped.
    async fn refresh_stale(this: Rc<Self>, stale: async_channel::Receiver<ids::ServiceKey>) {
        while let Ok(service) = stale.recv().await {
            if let Some(election) = this.core.borrow_mut().election_mut(service) {
                election.refresh();
            }
            Timer::after(TICK_INTERVAL).await;
            while stale.try_recv().is_ok() {}
        }
    }

    async fn maintain_pools(this: Rc<Self>) {
        loop {
            Timer::after(POOL_INTERVAL).await;
            this.update_request_limits();
            for service in this.context.view.load().services() {
                for pool in &service.upstreams {
                    pool.trim();
                }
            }
        }
    }

    fn record_key(&self, service: ids::ServiceKey) -> Option<String> {
        let services = self.services.borrow();
        let state = services.get(&service)?;
        Some(format!("assign/{}/{}", state.team, state.config.name))
    }

    async fn read(this: Rc<Self>, service: ids::ServiceKey) {
        let Some(key) = this.record_key(service) else {
            return;
        };
        let result = this.read_record(&key).await;
        this.handle(instance::InstanceEvent::RecordRead { service, result });
    }

    async fn read_record(&self, key: &str) -> election::ReadResult {
        let stored = match self.store.get(key).await {
            Ok(Some(stored)) => stored,
            Ok(None) => return election::ReadResult::Absent,
            Err(error) => {
                log::debug!("{key}: assignment record not read: {error}");
                return election::ReadResult::Failed;
            }
        };
        match record::AssignmentRecord::from_json(&stored.value) {
            Ok(record) => election::ReadResult::Found {
                record: Box::new(record),
                revision: stored.revision,
            },
            Err(error) => {
                log::error!("{key}: {error}");
                election::ReadResult::Failed
            }
        }
    }

    async fn write(
        this: Rc<Self>,
        service: ids::ServiceKey,
        record: Box<record::AssignmentRecord>,
        revision: u64,
    ) {
        let Some(key) = this.record_key(service) else {
            return;
        };
        let result = this.write_record(&key, &record, revision).await;
        this.handle(instance::InstanceEvent::RecordWritten { service, result });
    }

    async fn write_record(
        &self,
        key: &str,
        record: &record::AssignmentRecord,
        revision: u64,
    ) -> controller::WriteResult {
        let swapped = self.store.swap(key, &record.to_json(), revision).await;
        if let Ok(store_client::SwapResult::Written { revision }) = swapped {
            return controller::WriteResult::Written { revision };
        }
        match self.read_record(key).await {
            election::ReadResult::Found {
                record: stored,
                revision: found,
            } if found != revision => controller::WriteResult::Conflict {
                record: stored,
                revision: found,
            },
            _ => controller::WriteResult::Unknown,
        }
    }

    /// Publishes configurations and routes to the traffic threads.
    pub(crate) fn publish(&self) {
        let core = self.core.borrow();
        let services = self.services.borrow();
        let views = services.values().map(|state| {
            let election = core.election(state.config.key);
            let upstreams = state.config.upstreams.iter();
            Arc::new(view::ServiceView {
                team: state.team.clone(),
                config: state.config.clone(),
                table: election
                    .map(|election| election.table().clone())
                    .unwrap_or_default(),
                upstreams: upstreams
                    .map(|upstream| state.pools[&upstream.key].clone())
                    .collect(),
                retry_budget: state.retry_budget.clone(),
            })
        });
        self.context
            .view
            .store(Arc::new(view::TrafficView::new(views)));
    }
}
