//! Control thread of an instance: store, ownership, peer messages and HTTP pages.

mod announcements;
mod calls;
mod crashes;
mod departures;
mod limits;
mod peers;
mod relaying;
mod sync;

use crate::fleet::{adapters, events, followers, mirror, relay};
use crate::gateway::context;
use crate::h1::server;
use crate::ids;
use crate::limits::{allocator, members};
use crate::ownership::{core, interface, record};
use crate::peer_connections;
use crate::store;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Interval of the ownership cores' timer while a service is led or claimed.
const LEADER_TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval of the ownership cores' timer otherwise.
const FOLLOWER_TICK_INTERVAL: Duration = Duration::from_millis(150);

/// Interval at which gauges are updated.
const GAUGE_INTERVAL: Duration = Duration::from_millis(500);

/// Number of instances assumed until a leader's heartbeat states it.
const ASSUMED_INSTANCES: usize = 9;

/// Backoff after the first failed call to the store; doubled after each further one.
///
/// Also the pause after a peer connection that could not be accepted.
const MIN_STORE_BACKOFF: Duration = Duration::from_millis(100);

/// Identity, address and limits of this instance.
#[derive(Clone, Debug)]
pub struct InstanceIdentity {
    pub info: record::InstanceInfo,
    pub zone: String,
    /// Longest grant TTL that upstreams accept.
    pub max_grant_ttl: Duration,
    /// Whether the instances of the deployment start for the first time.
    pub first_start: bool,
    /// Share of a core that this instance may use.
    pub processor_share: f64,
}

/// Instance that reports to this one as the leader of a service.
#[derive(Clone, Debug)]
struct Follower {
    address: SocketAddr,
    last_report: Duration,
    /// Version of the record that was sent to it last.
    sent_version: store::AnnouncedVersion,
    /// Version that it reported last while it was behind.
    known_version: store::AnnouncedVersion,
    /// Since when it has been behind at that version.
    behind_since: Option<Duration>,
    /// Whether it asked not to allocate limits, since it stops or does not know how.
    no_allocator: bool,
    /// When the list of instances was sent to it last.
    members_sent: Option<Duration>,
}

/// Ownership core of one service, with what the control thread keeps for it.
struct ServiceControl {
    core: core::OwnershipCore,
    followers: HashMap<String, Follower>,
    /// Version that was announced last.
    announced: Option<store::AnnouncedVersion>,
    history: followers::RecordHistory,
    /// Instances among which limits are divided, as the service's leader told.
    members: Option<Arc<members::MemberList>>,
    /// When the list was last sent to all.
    members_announced: Option<Duration>,
    /// Position of this instance's last claim, and when it was first seen to lead by it.
    leading_since: Option<(store::StorePosition, Duration)>,
    /// Requests and latencies since the last report.
    tally: context::LoadTally,
}

/// State of the control thread.
pub struct ControlThread {
    identity: InstanceIdentity,
    context: Arc<context::GatewayContext>,
    executor: Rc<LocalExecutor<'static>>,
    store: Rc<dyn store::MetadataStore>,
    grants: Rc<dyn adapters::GrantClient>,
    mirror: RefCell<mirror::StoreMirror>,
    services: RefCell<BTreeMap<String, ServiceControl>>,
    peer_socket: Async<UdpSocket>,
    peer_connections: peer_connections::PeerConnections,
    /// Live instances, as far as known.
    instances: Cell<usize>,
    relay: RefCell<relay::RelayState>,
    /// Last changes of the store, which this instance repeats once it is a relay.
    relay_history: RefCell<relay::ChangeHistory>,
    /// Whether all items of the store have been read.
    listed: Cell<bool>,
    store_contact: RefCell<relay::StoreContact>,
    /// Until when no change of the store is missing here.
    known_until: Cell<Duration>,
    /// Since when neither the store nor a relay tells changes.
    store_lost: Cell<Option<Duration>>,
    /// When the control thread was created.
    started: Duration,
    /// Limits that this instance allocates.
    allocator: RefCell<allocator::LimitAllocator>,
}

impl ControlThread {
    pub fn new(
        identity: InstanceIdentity,
        context: Arc<context::GatewayContext>,
        store: Rc<dyn store::MetadataStore>,
        grants: Rc<dyn adapters::GrantClient>,
        schema: Box<dyn adapters::StoreSchema>,
        peer_socket: Async<UdpSocket>,
    ) -> Rc<ControlThread> {
        let mirror = mirror::StoreMirror::new(schema, context.log.clone());
        let executor = Rc::new(LocalExecutor::new());
        let now = context.clock.now();
        Rc::new(ControlThread {
            identity,
            context,
            peer_connections: peer_connections::PeerConnections::new(executor.clone()),
            executor,
            store,
            grants,
            mirror: RefCell::new(mirror),
            services: RefCell::default(),
            peer_socket,
            instances: Cell::new(ASSUMED_INSTANCES),
            relay: RefCell::default(),
            relay_history: RefCell::default(),
            listed: Cell::new(false),
            store_contact: RefCell::new(relay::StoreContact::new(now)),
            known_until: Cell::new(Duration::ZERO),
            store_lost: Cell::new(None),
            started: now,
            allocator: RefCell::default(),
        })
    }

    /// Runs until `stop` ends.
    pub fn run(self: &Rc<Self>, listener: Async<TcpListener>, stop: impl Future<Output = ()>) {
        self.spawn(Self::accept_peers(self.clone(), listener));
        self.spawn(Self::sync_mirror(self.clone()));
        self.spawn(Self::watch_config(self.clone()));
        self.spawn(Self::tick(self.clone()));
        self.spawn(Self::report_load(self.clone()));
        self.spawn(Self::update_gauges(self.clone()));
        self.spawn(Self::receive_datagrams(self.clone()));
        self.spawn(Self::send_asks(self.clone()));
        self.spawn(Self::pass_on_departures(self.clone()));
        self.spawn(Self::pass_on_crashes(self.clone()));
        self.spawn(Self::exchange_crashes(self.clone()));
        self.spawn(Self::follow_links(self.clone()));
        async_io::block_on(self.executor.run(stop));
    }

    /// Runs a task on the control thread.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.executor.spawn(task).detach();
    }

    /// Returns whether requests can be served.
    pub fn is_ready(&self) -> bool {
        let mirror = self.mirror.borrow();
        let known = mirror.config.is_some() && mirror.directory.iter().next().is_some();
        known && !self.context.is_stopping()
    }

    /// Returns the readiness and metrics pages.
    pub fn page(&self, path: &str, ready_path: &str) -> server::PageResponse {
        let text = |status, body: &str| server::PageResponse {
            status,
            content_type: "text/plain",
            body: body.as_bytes().to_vec(),
        };
        match path {
            path if path == ready_path => match self.is_ready() {
                true => text(200, "ready"),
                false => text(503, "not ready"),
            },
            "/metrics" => text(200, &self.context.metrics.render()),
            _ => text(404, "unknown page; see /metrics"),
        }
    }

    /// Tells the ownership cores to stop; a leading one resigns once its calls have ended.
    pub fn begin_stop(self: &Rc<Self>) {
        self.handle_all(|_| interface::OwnershipEvent::Stop);
    }

    /// Tells the ownership cores whether this instance reaches the upstreams.
    async fn follow_links(this: Rc<Self>) {
        loop {
            let changed = this.context.links_changed.listen();
            let stranded = this.context.links.is_stranded();
            this.handle_all(|_| interface::OwnershipEvent::LinksChanged { stranded });
            changed.await;
        }
    }

    /// Returns whether no service is led or claimed any more.
    pub fn is_finished(&self) -> bool {
        let services = self.services.borrow();
        services.values().all(|service| service.core.is_following())
    }

    fn now(&self) -> Duration {
        self.context.clock.now()
    }

    fn service_names(&self) -> Vec<String> {
        self.services.borrow().keys().cloned().collect()
    }

    fn handle_all(self: &Rc<Self>, event: impl Fn(&str) -> interface::OwnershipEvent) {
        for name in self.service_names() {
            self.handle(&name, event(&name));
        }
    }

    /// Feeds one event to a service's core and performs its actions.
    fn handle(self: &Rc<Self>, service: &str, event: interface::OwnershipEvent) {
        let now = self.now();
        let actions = match self.services.borrow_mut().get_mut(service) {
            Some(control) => control.core.step(now, event),
            None => return,
        };
        for action in actions {
            self.perform(service, action);
        }
    }

    fn perform(self: &Rc<Self>, service: &str, action: interface::OwnershipAction) {
        let name = service.to_owned();
        match action {
            interface::OwnershipAction::OpenLease { ttl } => {
                self.spawn(Self::open_lease(self.clone(), name, ttl));
            }
            interface::OwnershipAction::RenewLease { lease } => {
                self.spawn(Self::renew_lease(self.clone(), name, lease));
            }
            interface::OwnershipAction::Commit(command) => {
                self.spawn(Self::commit(self.clone(), name, command));
            }
            interface::OwnershipAction::Grant(command) => {
                self.spawn(Self::grant(self.clone(), name, command));
            }
            interface::OwnershipAction::Release(command) => {
                self.spawn(Self::release(self.clone(), name, command));
            }
            interface::OwnershipAction::ProbePredecessor(info) => {
                self.send_heartbeat(service, info.address, true)
            }
            interface::OwnershipAction::Announce(announcement) => {
                self.announce(service, *announcement);
            }
            interface::OwnershipAction::Report(decision) => {
                self.report_decision(service, decision);
            }
        }
    }

    fn report_decision(&self, service: &str, decision: interface::OwnershipDecision) {
        self.context
            .metrics
            .fleet
            .record_decision(service, &decision);
        self.context.log.emit(&events::Ownership {
            service: service.to_owned(),
            decision,
        });
    }

    async fn tick(this: Rc<Self>) {
        loop {
            let active = {
                let services = this.services.borrow();
                services
                    .values()
                    .any(|service| !service.core.is_following())
            };
            Timer::after(if active {
                LEADER_TICK_INTERVAL
            } else {
                FOLLOWER_TICK_INTERVAL
            })
            .await;
            let effect = this.mirror.borrow_mut().expire(this.now());
            this.apply_effect(effect);
            this.handle_all(|_| interface::OwnershipEvent::Tick);
        }
    }

    async fn update_gauges(this: Rc<Self>) {
        let mut ended_before = 0;
        loop {
            Timer::after(GAUGE_INTERVAL).await;
            let now = this.now();
            let metrics = &this.context.metrics.fleet;
            let held = this.context.memory.held();
            let ended = this.context.memory.ended() - ended_before;
            ended_before += ended;
            metrics.record_memory(held, ended);
            if ended > 0 {
                this.context.log.emit(&events::MemoryFull { ended, held });
            }
            metrics.record_instances(this.instances.get());
            let own_age = this.store_contact.borrow().age(now);
            let relay_age = this.relay.borrow().age(now);
            metrics.record_store_age(own_age.min(relay_age));
            metrics.record_limits(this.context.limits.len());
            this.allocator.borrow_mut().trim(now);
            for (name, control) in this.services.borrow().iter() {
                if let Some(progress) = control.core.progress(now) {
                    metrics.record_grant_progress(name, progress, GAUGE_INTERVAL);
                }
            }
        }
    }
}

/// Returns a random key for this run of the instance called `name`.
pub fn generate_run(name: &str) -> ids::InstanceKey {
    ids::InstanceKey::derive(name, fastrand::u64(..))
}
