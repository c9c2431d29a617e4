//! Control thread: store, ownership, gossip and pages of an instance.

mod announcements;
mod calls;
mod peers;
mod sync;

use crate::fleet::{adapters, events, mirror, relay};
use crate::gateway::context;
use crate::h1::server;
use crate::ids;
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

/// Interval of the ownership cores' timer while a service is led.
const LEADING_TICK: Duration = Duration::from_millis(50);

/// Interval of the ownership cores' timer otherwise.
const FOLLOWING_TICK: Duration = Duration::from_millis(150);

/// Interval at which gauges are set.
const MEASURE_INTERVAL: Duration = Duration::from_millis(500);

/// Instances assumed until a leader says how many there are.
const ASSUMED_INSTANCES: usize = 9;

/// First pause after a failed call to the store; doubled each time.
const FIRST_STORE_PAUSE: Duration = Duration::from_millis(100);

/// Identity and addresses of this instance.
#[derive(Clone, Debug)]
pub struct InstanceIdentity {
    pub node: record::InstanceInfo,
    pub zone: String,
    /// Longest hold of a grant that upstreams accept.
    pub max_grant_ttl: Duration,
}

/// Instance that reports to this leader.
#[derive(Clone, Debug)]
struct Follower {
    address: SocketAddr,
    heard: Duration,
    /// State of the record that was sent last.
    sent: record::RecordVersion,
    /// State of the record that it told last, and since when it lags behind so.
    known: record::RecordVersion,
    behind_since: Option<Duration>,
}

/// One service's ownership, with what the shell keeps beside the core.
struct ServiceControl {
    core: core::OwnershipCore,
    followers: HashMap<String, Follower>,
    announced: Option<announcements::AnnouncedRecord>,
    /// Requests since the last report.
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
    gossip: Async<UdpSocket>,
    links: peer_connections::PeerConnections,
    instances: Cell<usize>,
    relay: RefCell<relay::RelayListener>,
    /// Whether the store was read as a whole.
    listed: Cell<bool>,
    contact: RefCell<relay::StoreContact>,
}

impl ControlThread {
    /// Creates the state of a control thread.
    pub fn new(
        identity: InstanceIdentity,
        context: Arc<context::GatewayContext>,
        store: Rc<dyn store::MetadataStore>,
        grants: Rc<dyn adapters::GrantClient>,
        schema: Box<dyn adapters::StoreSchema>,
        gossip: Async<UdpSocket>,
    ) -> Rc<ControlThread> {
        let mirror = mirror::StoreMirror::new(schema, context.log.clone());
        let executor = Rc::new(LocalExecutor::new());
        let now = context.clock.now();
        Rc::new(ControlThread {
            identity,
            context,
            links: peer_connections::PeerConnections::new(executor.clone()),
            executor,
            store,
            grants,
            mirror: RefCell::new(mirror),
            services: RefCell::default(),
            gossip,
            instances: Cell::new(ASSUMED_INSTANCES),
            relay: RefCell::default(),
            listed: Cell::new(false),
            contact: RefCell::new(relay::StoreContact::new(now)),
        })
    }

    /// Runs until `stop` ends.
    pub fn run(self: &Rc<Self>, links: Async<TcpListener>, stop: impl Future<Output = ()>) {
        self.spawn(Self::accept_links(self.clone(), links));
        self.spawn(Self::follow_store(self.clone()));
        self.spawn(Self::follow_config(self.clone()));
        self.spawn(Self::tick(self.clone()));
        self.spawn(Self::report(self.clone()));
        self.spawn(Self::measure(self.clone()));
        self.spawn(Self::receive_gossip(self.clone()));
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

    /// Answers readiness and metrics.
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

    /// Hands every led service over; the cores resign when their calls have ended.
    pub fn begin_stop(self: &Rc<Self>) {
        self.for_all(|_| interface::OwnershipEvent::Stop);
    }

    /// Returns whether no service is led any more.
    pub fn is_finished(&self) -> bool {
        let services = self.services.borrow();
        services.values().all(|service| service.core.is_following())
    }

    fn now(&self) -> Duration {
        self.context.clock.now()
    }

    fn names(&self) -> Vec<String> {
        self.services.borrow().keys().cloned().collect()
    }

    fn for_all(self: &Rc<Self>, event: impl Fn(&str) -> interface::OwnershipEvent) {
        for name in self.names() {
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
                self.spawn(Self::keep_lease(self.clone(), name, lease));
            }
            interface::OwnershipAction::Commit(order) => {
                self.spawn(Self::commit(self.clone(), name, order));
            }
            interface::OwnershipAction::Grant(command) => {
                self.spawn(Self::grant(self.clone(), name, command));
            }
            interface::OwnershipAction::Release(command) => {
                self.spawn(Self::release(self.clone(), name, command));
            }
            interface::OwnershipAction::ProbePredecessor(node) => {
                self.send_beacon(service, node.address, true)
            }
            interface::OwnershipAction::Announce(announcement) => {
                self.announce(service, *announcement);
            }
            interface::OwnershipAction::Report(note) => self.note(service, note),
        }
    }

    fn note(&self, service: &str, note: interface::OwnershipDecision) {
        self.context.metrics.fleet.decided(service, &note);
        self.context.log.emit(&events::Ownership {
            service: service.to_owned(),
            note,
        });
    }

    async fn tick(this: Rc<Self>) {
        loop {
            let leading = {
                let services = this.services.borrow();
                services
                    .values()
                    .any(|service| !service.core.is_following())
            };
            Timer::after(if leading {
                LEADING_TICK
            } else {
                FOLLOWING_TICK
            })
            .await;
            let effect = this.mirror.borrow_mut().expire(this.now());
            this.react(effect);
            this.for_all(|_| interface::OwnershipEvent::Tick);
        }
    }

    /// Keeps the gauges of the control side up to date.
    async fn measure(this: Rc<Self>) {
        loop {
            Timer::after(MEASURE_INTERVAL).await;
            let now = this.now();
            let metrics = &this.context.metrics.fleet;
            metrics.counted(this.instances.get());
            let own = this.contact.borrow().age(now);
            let told = this.relay.borrow().age(now);
            metrics.store_known(own.min(told));
            for (name, control) in this.services.borrow().iter() {
                if let Some(progress) = control.core.progress(now) {
                    metrics.progressed(name, progress, MEASURE_INTERVAL);
                }
            }
        }
    }
}

/// Returns a random key for this run of the instance called `name`.
pub fn draw_run(name: &str) -> ids::InstanceKey {
    ids::InstanceKey::derive(name, fastrand::u64(..))
}
