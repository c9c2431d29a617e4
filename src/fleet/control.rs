//! Control thread: store, ownership, gossip and pages of an instance.

use crate::fleet::{events, gossip, mirror, ports};
use crate::gateway::{context, view};
use crate::h1::server;
use crate::ids;
use crate::link;
use crate::ownership::{core, load, owners, record};
use crate::store;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio_util::bytes::Bytes;

/// Interval of the ownership cores' timer while a service is led.
const LEADING_TICK: Duration = Duration::from_millis(50);

/// Interval of the ownership cores' timer otherwise.
const FOLLOWING_TICK: Duration = Duration::from_millis(150);

/// Interval of reports to leaders; hot keys must be seen within a second.
const REPORT_INTERVAL: Duration = Duration::from_millis(300);

/// Reports after which a leader tells its followers how many instances there are.
const BEACON_REPORTS: u32 = 4;

/// Silence after which an instance is no longer counted.
const INSTANCE_LIFE: Duration = Duration::from_millis(1500);

/// Instances assumed until a leader says how many there are.
const ASSUMED_INSTANCES: usize = 9;

/// Time for which the store keeps a watch waiting.
///
/// Bounds the age of what is known if a connection falls silent.
const WATCH_WAIT: Duration = Duration::from_millis(2500);

/// Pause between two watches, so that changes in quick succession cost one call.
const WATCH_PAUSE: Duration = Duration::from_millis(150);

/// Wait of the watches that probe whether a lost store answers again.
///
/// A long one sent just before the store returns would be waited out in vain.
const PROBE_WAIT: Duration = Duration::from_millis(1);

/// First pause after a failed call to the store; doubled each time.
const FIRST_STORE_PAUSE: Duration = Duration::from_millis(100);

/// Longest pause after a failed call to the store.
const MAX_STORE_PAUSE: Duration = Duration::from_millis(800);

/// Identity and addresses of this instance.
#[derive(Clone, Debug)]
pub struct NodeIdentity {
    pub node: record::NodeInfo,
    pub zone: String,
    /// Longest hold of a grant that upstreams accept.
    pub max_hold: Duration,
}

/// Instance that reports to this leader.
#[derive(Clone, Debug)]
struct Follower {
    address: SocketAddr,
    heard: Duration,
    reports: u32,
}

/// One service's ownership, with what the shell keeps beside the core.
struct ServiceControl {
    core: core::OwnershipCore,
    followers: HashMap<String, Follower>,
    /// Requests since the last report.
    tally: context::LoadTally,
}

/// State of the control thread.
pub struct ControlThread {
    identity: NodeIdentity,
    context: Arc<context::GatewayContext>,
    executor: Rc<LocalExecutor<'static>>,
    store: Rc<dyn store::MetadataStore>,
    grants: Rc<dyn ports::GrantPort>,
    mirror: RefCell<mirror::StoreMirror>,
    services: RefCell<BTreeMap<String, ServiceControl>>,
    gossip: Async<UdpSocket>,
    links: link::LinkSet,
    instances: Cell<usize>,
}

impl ControlThread {
    /// Creates the state of a control thread.
    pub fn new(
        identity: NodeIdentity,
        context: Arc<context::GatewayContext>,
        store: Rc<dyn store::MetadataStore>,
        grants: Rc<dyn ports::GrantPort>,
        schema: Box<dyn ports::SiteSchema>,
        gossip: Async<UdpSocket>,
    ) -> Rc<ControlThread> {
        let mirror = mirror::StoreMirror::new(schema, context.log.clone());
        let executor = Rc::new(LocalExecutor::new());
        Rc::new(ControlThread {
            identity,
            context,
            links: link::LinkSet::new(executor.clone()),
            executor,
            store,
            grants,
            mirror: RefCell::new(mirror),
            services: RefCell::default(),
            gossip,
            instances: Cell::new(ASSUMED_INSTANCES),
        })
    }

    /// Runs until `stop` ends.
    pub fn run(self: &Rc<Self>, links: Async<TcpListener>, stop: impl Future<Output = ()>) {
        self.spawn(Self::accept_links(self.clone(), links));
        self.spawn(Self::follow_store(self.clone()));
        self.spawn(Self::tick(self.clone()));
        self.spawn(Self::report(self.clone()));
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
    pub fn page(&self, path: &str, ready_path: &str) -> server::PageAnswer {
        let text = |status, body: &str| server::PageAnswer {
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
        self.for_all(|_| core::OwnershipEvent::Stop);
    }

    /// Returns whether no service is led any more.
    pub fn is_finished(&self) -> bool {
        let services = self.services.borrow();
        services.values().all(|service| service.core.is_finished())
    }

    fn now(&self) -> Duration {
        self.context.clock.now()
    }

    fn names(&self) -> Vec<String> {
        self.services.borrow().keys().cloned().collect()
    }

    fn for_all(self: &Rc<Self>, event: impl Fn(&str) -> core::OwnershipEvent) {
        for name in self.names() {
            self.handle(&name, event(&name));
        }
    }

    /// Feeds one event to a service's core and performs its actions.
    fn handle(self: &Rc<Self>, service: &str, event: core::OwnershipEvent) {
        let now = self.now();
        let actions = match self.services.borrow_mut().get_mut(service) {
            Some(control) => control.core.step(now, event),
            None => return,
        };
        for action in actions {
            self.perform(service, action);
        }
    }

    fn perform(self: &Rc<Self>, service: &str, action: core::OwnershipAction) {
        let name = service.to_owned();
        match action {
            core::OwnershipAction::OpenLease { ttl } => {
                self.spawn(Self::open_lease(self.clone(), name, ttl));
            }
            core::OwnershipAction::KeepLease { lease } => {
                self.spawn(Self::keep_lease(self.clone(), name, lease));
            }
            core::OwnershipAction::Commit(order) => {
                self.spawn(Self::commit(self.clone(), name, order));
            }
            core::OwnershipAction::Grant(command) => {
                self.spawn(Self::grant(self.clone(), name, command));
            }
            core::OwnershipAction::Release(command) => {
                self.spawn(Self::release(self.clone(), name, command));
            }
            core::OwnershipAction::Challenge(node) => self.send_beacon(service, node.address),
            core::OwnershipAction::Announce(announcement) => {
                self.announce(service, &announcement);
            }
            core::OwnershipAction::Event(note) => self.note(service, &note),
        }
    }

    fn note(&self, service: &str, note: &core::OwnershipNote) {
        self.context.log.emit(&events::Ownership {
            service: service.to_owned(),
            decision: format!("{note:?}"),
        });
    }

    /// Carries an accepted record to the other instances without the store's delay.
    fn announce(self: &Rc<Self>, service: &str, announcement: &core::Announcement) {
        let value = Bytes::from(announcement.record.encode());
        let (revision, step) = (announcement.revision, announcement.step);
        let content = gossip::GossipContent::Record {
            revision,
            step,
            value: value.clone(),
        };
        let frame = self.message(service, content).encode();
        let addresses: Vec<SocketAddr> = {
            let services = self.services.borrow();
            let followers = services.get(service).map(|control| &control.followers);
            let followers = followers.into_iter().flat_map(HashMap::values);
            followers.map(|follower| follower.address).collect()
        };
        for address in addresses {
            self.count_bytes(frame.len());
            self.links.send(address, frame.clone());
        }
        self.take_record(service, (revision, step), value);
    }

    fn take_record(self: &Rc<Self>, service: &str, order: (u64, u64), value: Bytes) {
        let effect = self.mirror.borrow_mut().put_record(service, order, value);
        if effect.view {
            self.publish();
        }
    }

    async fn accept_links(this: Rc<Self>, listener: Async<TcpListener>) {
        loop {
            match listener.accept().await {
                Ok((io, sender)) => {
                    let receiver = this.clone();
                    this.spawn(async move {
                        let take = |frame: &[u8]| receiver.take_message(frame, sender);
                        if let Err(error) = link::receive_frames(io, take).await {
                            log::debug!("link from {sender} ended: {error}; it is opened again");
                        }
                    });
                }
                Err(error) => {
                    log::debug!("link not accepted: {error}; the next one follows");
                    Timer::after(FIRST_STORE_PAUSE).await;
                }
            }
        }
    }

    async fn open_lease(this: Rc<Self>, service: String, ttl: Duration) {
        let sent = this.now();
        let lease = match this.store.open_lease(ttl).await {
            Ok(lease) => Some(lease),
            Err(error) => {
                log::debug!("{service}: lease not opened: {error}");
                None
            }
        };
        this.handle(&service, core::OwnershipEvent::LeaseOpened { sent, lease });
    }

    async fn keep_lease(this: Rc<Self>, service: String, lease: u64) {
        let sent = this.now();
        let alive = match this.store.keep_lease(lease).await {
            Ok(()) => Some(true),
            Err(store::StoreError::LeaseEnded) => Some(false),
            Err(error) => {
                log::debug!("{service}: lease not renewed: {error}");
                None
            }
        };
        this.handle(&service, core::OwnershipEvent::LeaseKept { sent, alive });
    }

    async fn commit(this: Rc<Self>, service: String, order: Box<core::CommitOrder>) {
        let transaction = this.transaction(&service, &order);
        let result = match this.store.commit(&transaction).await {
            Ok(store::TransactionResult::Committed { revision }) => {
                core::CommitResult::Committed { revision }
            }
            Ok(store::TransactionResult::LeaseEnded) => core::CommitResult::LeaseEnded,
            Ok(store::TransactionResult::Conflict(items)) => {
                let key = mirror::record_key(&service);
                let found = items.iter().find(|item| item.key == key);
                let decode = |item: &store::StoredItem| {
                    let record = record::OwnershipRecord::decode(&item.value).ok()?;
                    Some((Box::new(record), item.revision))
                };
                core::CommitResult::Conflict(found.and_then(decode))
            }
            Err(store::StoreError::Refused(status)) => {
                log::debug!("{service}: write refused with status {status}");
                core::CommitResult::Refused
            }
            Err(error) => {
                log::debug!("{service}: write without an answer: {error}");
                core::CommitResult::Unknown
            }
        };
        this.handle(&service, core::OwnershipEvent::Committed(result));
    }

    fn transaction(&self, service: &str, order: &core::CommitOrder) -> store::StoreTransaction {
        let leader = mirror::leader_key(service);
        let key = mirror::record_key(service);
        let mut writes = vec![store::StoreWrite {
            key: key.clone(),
            value: Bytes::from(order.record.encode()),
            lease: None,
        }];
        if let Some(lease) = order.claim {
            let value = mirror::LeaderValue {
                run: self.identity.node.run,
                name: self.identity.node.name.clone(),
            };
            let value = serde_json::to_vec(&value).expect("leader values always encode");
            writes.push(store::StoreWrite {
                key: leader.clone(),
                value: Bytes::from(value),
                lease: Some(lease),
            });
        }
        let deletes = match order.resign {
            true => vec![leader.clone()],
            false => Vec::new(),
        };
        store::StoreTransaction {
            expected: vec![
                (leader, order.leader_revision),
                (key, order.record_revision),
            ],
            writes,
            deletes,
        }
    }

    async fn grant(this: Rc<Self>, service: String, command: core::GrantCommand) {
        let authority = this.authority_until(&service);
        let clock = this.context.clock.clone();
        let last = command.sent + crate::ownership::holding::GRANT_TIMEOUT;
        let guard = move || {
            let now = clock.now();
            now < last && authority.is_some_and(|until| now < until)
        };
        let result = this.grants.grant(&command, Rc::new(guard)).await;
        this.handle(
            &service,
            core::OwnershipEvent::Granted {
                range: command.range,
                owner: command.owner.key,
                fence: command.fence,
                sent: command.sent,
                result,
            },
        );
    }

    fn authority_until(&self, service: &str) -> Option<Duration> {
        let services = self.services.borrow();
        services.get(service)?.core.authority_until()
    }

    async fn release(this: Rc<Self>, service: String, command: core::ReleaseCommand) {
        let result = this.grants.release(&command).await;
        this.handle(
            &service,
            core::OwnershipEvent::Released {
                range: command.range,
                former: command.former,
                result,
            },
        );
    }

    async fn tick(this: Rc<Self>) {
        loop {
            let leading = {
                let services = this.services.borrow();
                services.values().any(|service| !service.core.is_finished())
            };
            Timer::after(if leading {
                LEADING_TICK
            } else {
                FOLLOWING_TICK
            })
            .await;
            let effect = this.mirror.borrow_mut().expire(this.now());
            this.react(effect);
            this.for_all(|_| core::OwnershipEvent::Tick);
        }
    }

    /// Keeps the mirror up to date.
    async fn follow_store(this: Rc<Self>) {
        let mut lost_since: Option<Duration> = None;
        let mut pause = FIRST_STORE_PAUSE;
        let mut listed = false;
        loop {
            let result = match listed {
                true => this.watch_once(lost_since.is_some()).await,
                false => this.list_once(lost_since.is_some()).await,
            };
            match result {
                Ok(()) => {
                    listed = true;
                    pause = FIRST_STORE_PAUSE;
                    if let Some(since) = lost_since.take() {
                        this.note_regained(since);
                    }
                    Timer::after(WATCH_PAUSE).await;
                }
                Err(store::StoreError::Compacted) => listed = false,
                Err(error) => {
                    if lost_since.is_none() {
                        lost_since = Some(this.now());
                        this.note_lost(&error);
                    }
                    Timer::after(pause.mul_f64(0.75 + 0.5 * fastrand::f64())).await;
                    pause = (pause * 2).min(MAX_STORE_PAUSE);
                }
            }
        }
    }

    fn note_lost(&self, error: &store::StoreError) {
        self.context.log.emit(&events::StoreLost {
            error: error.to_string(),
            as_of: self.mirror.borrow().as_of(),
        });
    }

    fn note_regained(&self, since: Duration) {
        let now = self.now();
        self.context.log.emit(&events::StoreRegained {
            after_ms: now.saturating_sub(since).as_millis() as u64,
            as_of: self.mirror.borrow().as_of(),
        });
    }

    async fn list_once(self: &Rc<Self>, lost: bool) -> Result<(), store::StoreError> {
        let listing = self.store.list().await?;
        let now = self.now();
        let effect = {
            let mut mirror = self.mirror.borrow_mut();
            if lost {
                mirror.directory.regained(now);
            }
            mirror.apply_listing(now, listing)
        };
        self.react(effect);
        Ok(())
    }

    async fn watch_once(self: &Rc<Self>, lost: bool) -> Result<(), store::StoreError> {
        let after = self.mirror.borrow().as_of();
        let wait = if lost { PROBE_WAIT } else { WATCH_WAIT };
        let batch = self.store.watch(after, wait).await?;
        let now = self.now();
        let effect = {
            let mut mirror = self.mirror.borrow_mut();
            if lost {
                mirror.directory.regained(now);
            }
            mirror.apply_batch(now, batch)
        };
        self.react(effect);
        Ok(())
    }

    /// Carries a change of the mirror to the cores and the traffic threads.
    fn react(self: &Rc<Self>, effect: mirror::MirrorEffect) {
        if effect.ownership {
            self.sync_services();
        }
        if effect.view {
            self.publish();
        }
    }

    fn sync_services(self: &Rc<Self>) {
        let keyed = {
            let mirror = self.mirror.borrow();
            let services = mirror
                .config
                .iter()
                .flat_map(|config| config.services.values());
            let keyed = services.filter_map(|spec| {
                let space = spec.key_space?;
                Some((spec.name.to_string(), space))
            });
            keyed.collect::<Vec<_>>()
        };
        for (name, space) in keyed {
            let new = || ServiceControl {
                core: core::OwnershipCore::new(
                    self.identity.node.clone(),
                    core::OwnershipSettings {
                        last_key: space.last,
                        max_hold: self.identity.max_hold,
                    },
                ),
                followers: HashMap::new(),
                tally: context::LoadTally::default(),
            };
            self.services
                .borrow_mut()
                .entry(name.clone())
                .or_insert_with(new);
            let (candidates, view) = {
                let mirror = self.mirror.borrow();
                let known = mirror.directory.iter();
                let known = known.filter(|known| *known.entry.service == *name);
                let candidates = known.map(owners::OwnerCandidate::from).collect();
                (candidates, mirror.store_view(&name))
            };
            let candidates = owners::CandidateTable::new(candidates);
            self.handle(&name, core::OwnershipEvent::Candidates(candidates));
            self.handle(&name, core::OwnershipEvent::Seen(view));
        }
    }

    /// Publishes what the traffic threads need.
    fn publish(&self) {
        let mirror = self.mirror.borrow();
        let mut services = HashMap::new();
        for spec in mirror
            .config
            .iter()
            .flat_map(|config| config.services.values())
        {
            let known = mirror.directory.iter();
            let known = known.filter(|known| known.entry.service == spec.name);
            let upstreams = known
                .map(|known| Arc::new(view::UpstreamView::new(known, &self.identity.zone)))
                .collect();
            let service = view::ServiceView {
                spec: spec.clone(),
                upstreams,
                owners: mirror.record(&spec.name).cloned(),
            };
            services.insert(spec.name.clone(), Arc::new(service));
        }
        self.context.publish(view::GatewayView {
            config: mirror.config.clone(),
            services,
            instances: self.instances.get(),
        });
    }

    async fn report(this: Rc<Self>) {
        loop {
            Timer::after(REPORT_INTERVAL).await;
            for (service, tally) in this.context.take_tallies() {
                if let Some(control) = this.services.borrow_mut().get_mut(&*service) {
                    control.tally.merge(tally);
                }
            }
            for name in this.names() {
                this.report_service(&name);
            }
        }
    }

    fn report_service(self: &Rc<Self>, service: &str) {
        let (load, acting) = {
            let mut services = self.services.borrow_mut();
            let Some(control) = services.get_mut(service) else {
                return;
            };
            let tally = std::mem::take(&mut control.tally);
            (load::LoadReport::from(tally), control.core.is_leading())
        };
        if acting {
            self.handle(service, core::OwnershipEvent::Load(load));
            self.count_instances(service);
            return;
        }
        let leader = {
            let mirror = self.mirror.borrow();
            let record = mirror
                .record(service)
                .filter(|_| mirror.has_leader(service));
            record.map(|record| record.leader.address)
        };
        if let Some(address) = leader {
            self.send_report(service, address, acting, &load);
        }
    }

    fn send_report(
        &self,
        service: &str,
        address: SocketAddr,
        acting: bool,
        report: &load::LoadReport,
    ) {
        for load in report.split(gossip::MAX_COUNTS) {
            let content = gossip::GossipContent::Report { acting, load };
            self.send_gossip(service, address, content);
        }
    }

    fn send_beacon(&self, service: &str, address: SocketAddr) {
        let since = {
            let services = self.services.borrow();
            let control = services.get(service);
            control.and_then(|control| control.core.leading_since())
        };
        if let Some(revision) = since {
            let instances = self.instances.get() as u32;
            let content = gossip::GossipContent::Beacon {
                revision,
                instances,
            };
            self.send_gossip(service, address, content);
        }
    }

    fn send_gossip(&self, service: &str, address: SocketAddr, content: gossip::GossipContent) {
        let datagram = self.message(service, content).encode();
        self.count_bytes(datagram.len());
        if let Err(error) = self.gossip.get_ref().send_to(&datagram, address) {
            log::debug!("datagram to {address} not sent: {error}; it is repeated");
        }
    }

    fn message(&self, service: &str, content: gossip::GossipContent) -> gossip::GossipMessage {
        gossip::GossipMessage {
            service: service.to_owned(),
            run: self.identity.node.run,
            name: self.identity.node.name.clone(),
            content,
        }
    }

    fn count_bytes(&self, bytes: usize) {
        let counter = &self.context.metrics.control.control_bytes;
        counter.add(bytes as u64, &[]);
    }

    async fn receive_gossip(this: Rc<Self>) {
        let mut buffer = vec![0; gossip::MAX_DATAGRAM_BYTES];
        loop {
            let (length, sender) = match this.gossip.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(error) => {
                    log::debug!("datagram not received: {error}; the next one follows");
                    continue;
                }
            };
            this.take_message(&buffer[..length], sender);
        }
    }

    fn take_message(self: &Rc<Self>, bytes: &[u8], sender: SocketAddr) {
        match gossip::GossipMessage::decode(bytes) {
            Ok(message) => self.on_gossip(message, sender),
            Err(error) => log::debug!("message from {sender} dropped: {error}"),
        }
    }

    fn on_gossip(self: &Rc<Self>, message: gossip::GossipMessage, sender: SocketAddr) {
        let service = message.service;
        match message.content {
            gossip::GossipContent::Report { acting, load } => {
                self.note_follower(&service, &message.name, sender);
                let (name, run) = (message.name, message.run);
                self.handle(&service, core::OwnershipEvent::Sign { name, run, acting });
                if load != load::LoadReport::default() {
                    self.handle(&service, core::OwnershipEvent::Load(load));
                }
            }
            gossip::GossipContent::Beacon {
                revision,
                instances,
            } => {
                self.handle(&service, core::OwnershipEvent::Superseded { revision });
                let acting = {
                    let services = self.services.borrow();
                    let control = services.get(&service);
                    control.is_some_and(|control| control.core.is_leading())
                };
                if !acting {
                    self.set_instances(instances as usize);
                    self.send_report(&service, sender, acting, &load::LoadReport::default());
                }
            }
            gossip::GossipContent::Record {
                revision,
                step,
                value,
            } => {
                self.take_record(&service, (revision, step), value);
            }
        }
    }

    fn note_follower(self: &Rc<Self>, service: &str, name: &str, sender: SocketAddr) {
        let now = self.now();
        let due = {
            let mut services = self.services.borrow_mut();
            let Some(control) = services.get_mut(service) else {
                return;
            };
            if !control.core.is_leading() {
                return;
            }
            let new = || Follower {
                address: sender,
                heard: now,
                reports: 0,
            };
            let follower = control.followers.entry(name.to_owned()).or_insert_with(new);
            follower.address = sender;
            follower.heard = now;
            follower.reports += 1;
            follower.reports % BEACON_REPORTS == 1
        };
        if due {
            self.send_beacon(service, sender);
        }
    }

    fn count_instances(&self, service: &str) {
        let now = self.now();
        let count = {
            let mut services = self.services.borrow_mut();
            let Some(control) = services.get_mut(service) else {
                return;
            };
            let alive = |follower: &Follower| now < follower.heard + INSTANCE_LIFE;
            control.followers.retain(|_, follower| alive(follower));
            control.followers.len() + 1
        };
        self.set_instances(count);
    }

    fn set_instances(&self, count: usize) {
        if self.instances.replace(count) != count {
            self.publish();
        }
    }
}

/// Returns a random key for this run of the instance called `name`.
pub fn draw_run(name: &str) -> ids::InstanceKey {
    ids::InstanceKey::derive(name, fastrand::u64(..))
}
