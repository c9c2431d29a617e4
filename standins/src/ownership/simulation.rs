//! Instances, store and upstreams on one injected clock.

use super::record_view;
use super::store::FakeStore;
pub use super::store::StoreMode;
use super::upstream::{FakeUpstream, KEY_COUNT};
use godwitloom::directory;
use godwitloom::ids;
use godwitloom::ownership::{assignment, candidates, core, interface, load, record};
use godwitloom::range;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Time allowed to a store call.
const STORE_TIMEOUT: Duration = Duration::from_millis(1200);

/// Interval of the cores' timer.
const TICK: Duration = Duration::from_millis(50);

/// Interval of signs of life and of looks at the store.
const SIGN_INTERVAL: Duration = Duration::from_millis(300);

/// Earliest and latest delay of what is carried out late, in milliseconds.
const LATE_MS: std::ops::Range<u64> = 2000..12_000;

/// Two upstreams that hold one key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Overlap {
    pub key: u64,
    pub at: Duration,
}

/// Options of a world.
#[derive(Clone, Copy, Debug)]
pub struct SimulationOptions {
    pub instances: usize,
    pub upstreams: usize,
    pub seed: u64,
}

struct Instance {
    name: String,
    core: Option<core::OwnershipCore>,
    run: ids::InstanceKey,
    runs: u64,
    suspended: bool,
    reaches_store: bool,
    /// Events that arrived while the process stood still.
    backlog: Vec<interface::OwnershipEvent>,
    record: record_view::RecordView,
}

impl Instance {
    fn is_leading(&self) -> bool {
        let core = self.core.as_ref();
        core.is_some_and(core::OwnershipCore::is_leading)
    }

    /// Returns the sign of life that other instances get.
    fn sign(&self) -> interface::OwnershipEvent {
        interface::OwnershipEvent::InstanceSeen {
            name: self.name.clone(),
            run: self.run,
            leading: self.is_leading(),
        }
    }
}

#[derive(Debug)]
enum Happening {
    Tick(usize),
    Sign(usize),
    /// An event reaches an instance, if the run it is for still lives.
    Event(usize, ids::InstanceKey, Box<interface::OwnershipEvent>),
    Store(usize, ids::InstanceKey, Box<StoreCall>),
    Grant(usize, ids::InstanceKey, Box<interface::GrantCommand>),
    Release(usize, ids::InstanceKey, Box<interface::ReleaseCommand>),
    /// A grant that was held back is carried out.
    LateGrant(Box<interface::GrantCommand>, Duration),
    /// A write that was held back is carried out.
    LateCommit(ids::InstanceKey, Box<interface::CommitCommand>),
}

#[derive(Debug)]
enum StoreCall {
    Open(Duration),
    Keep(u64, Duration),
    Commit(Box<interface::CommitCommand>),
}

/// Fake site of one service with owned keys.
pub struct OwnershipSimulation {
    pub now: Duration,
    instances: Vec<Instance>,
    upstreams: Vec<FakeUpstream>,
    store: FakeStore,
    /// Grants without an answer that are carried out late, in percent.
    pub late_grant_percent: u32,
    cut: BTreeSet<(usize, usize)>,
    queue: BTreeMap<(Duration, u64), Happening>,
    counter: u64,
    random: fastrand::Rng,
    hot_key: Option<u64>,
    /// Every moment at which two upstreams held one key.
    pub overlaps: Vec<Overlap>,
    /// Decisions of all instances, for messages of failed tests.
    pub decisions: Vec<String>,
}

impl OwnershipSimulation {
    /// Creates a world in which everything works.
    pub fn new(options: SimulationOptions) -> OwnershipSimulation {
        let instances = (0..options.instances).map(|index| Instance {
            name: format!("gw-{index}"),
            core: None,
            run: ids::InstanceKey::default(),
            runs: 0,
            suspended: false,
            reaches_store: true,
            backlog: Vec::new(),
            record: record_view::RecordView::default(),
        });
        let mut world = OwnershipSimulation {
            now: Duration::from_secs(1),
            instances: instances.collect(),
            upstreams: (0..options.upstreams).map(FakeUpstream::new).collect(),
            store: FakeStore::default(),
            late_grant_percent: 0,
            cut: BTreeSet::new(),
            queue: BTreeMap::new(),
            counter: 0,
            random: fastrand::Rng::with_seed(options.seed),
            hot_key: None,
            overlaps: Vec::new(),
            decisions: Vec::new(),
        };
        for index in 0..options.instances {
            world.start_instance(index);
            world.plan(TICK, Happening::Tick(index));
            world.plan(SIGN_INTERVAL, Happening::Sign(index));
        }
        world
    }

    fn plan(&mut self, after: Duration, happening: Happening) {
        self.counter += 1;
        self.queue
            .insert((self.now + after, self.counter), happening);
    }

    fn latency(&mut self) -> Duration {
        Duration::from_micros(self.random.u64(300..4000))
    }

    fn start_instance(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        instance.runs += 1;
        instance.run = ids::InstanceKey::derive(&instance.name, instance.runs);
        instance.suspended = false;
        instance.backlog.clear();
        instance.record = record_view::RecordView::default();
        let node = record::InstanceInfo {
            run: instance.run,
            name: instance.name.clone(),
            address: SocketAddr::from(([127, 0, 0, 1], 7000 + index as u16)),
        };
        instance.core = Some(core::OwnershipCore::new(
            node,
            interface::OwnershipSettings {
                last_key: KEY_COUNT - 1,
                max_grant_ttl: Duration::from_secs(10),
            },
        ));
    }

    /// Ends an instance's process.
    pub fn kill(&mut self, index: usize) {
        self.instances[index].core = None;
    }

    /// Starts a process that ended, as another run.
    pub fn restart(&mut self, index: usize) {
        if self.instances[index].core.is_none() {
            self.start_instance(index);
        }
    }

    /// Lets a process stand still.
    pub fn suspend(&mut self, index: usize) {
        self.instances[index].suspended = true;
    }

    /// Lets a process go on; what arrived meanwhile is handled then.
    pub fn resume(&mut self, index: usize) {
        self.instances[index].suspended = false;
        let backlog = std::mem::take(&mut self.instances[index].backlog);
        for event in backlog {
            self.feed(index, event);
        }
    }

    /// Asks an instance to stop gracefully.
    pub fn stop(&mut self, index: usize) {
        self.deliver(index, interface::OwnershipEvent::Stop);
    }

    /// Cuts an instance off the store, or ends the cut.
    pub fn set_reaches_store(&mut self, index: usize, reaches: bool) {
        self.instances[index].reaches_store = reaches;
    }

    /// Silences the path between an instance and an upstream, or heals it.
    pub fn set_partitioned(&mut self, instance: usize, upstream: usize, cut: bool) {
        match cut {
            true => self.cut.insert((instance, upstream)),
            false => self.cut.remove(&(instance, upstream)),
        };
    }

    /// Changes what the store does with calls.
    pub fn set_store_mode(&mut self, mode: StoreMode) {
        self.store.mode = mode;
    }

    /// Ends an upstream's life.
    pub fn kill_upstream(&mut self, index: usize) {
        self.upstreams[index].kill(self.now);
    }

    /// Begins another life of an upstream that ended.
    pub fn restart_upstream(&mut self, index: usize) {
        self.upstreams[index].restart();
    }

    /// Lets an upstream drain, or return.
    pub fn set_draining(&mut self, index: usize, draining: bool) {
        self.upstreams[index].draining = draining;
    }

    /// Cuts an upstream off the store, or ends the cut.
    pub fn set_upstream_reaches_store(&mut self, index: usize, reaches: bool) {
        let now = self.now;
        self.upstreams[index].set_reaches_store(now, reaches);
    }

    /// Sends most requests to one key, or none.
    pub fn set_hot_key(&mut self, key: Option<u64>) {
        self.hot_key = key;
    }

    /// Ends all faults.
    pub fn end_faults(&mut self) {
        self.store.mode = StoreMode::Up;
        self.late_grant_percent = 0;
        self.cut.clear();
        for index in 0..self.instances.len() {
            self.instances[index].reaches_store = true;
            self.restart(index);
            if self.instances[index].suspended {
                self.resume(index);
            }
        }
        for index in 0..self.upstreams.len() {
            self.upstreams[index].restart();
            self.set_upstream_reaches_store(index, true);
            self.upstreams[index].draining = false;
        }
    }

    /// Lets time pass.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(entry) = self.queue.first_entry() {
            let (at, _) = *entry.key();
            if at > end {
                break;
            }
            let happening = entry.remove();
            self.now = at;
            self.store.expire(at);
            self.happen(happening);
            self.look();
        }
        self.now = end;
    }

    /// Notes keys that two upstreams hold.
    fn look(&mut self) {
        for key in 0..KEY_COUNT {
            let holders = self.upstreams.iter();
            let holders = holders.filter(|upstream| upstream.held(key, self.now).is_some());
            if holders.count() > 1 {
                self.overlaps.push(Overlap { key, at: self.now });
            }
        }
    }

    /// Returns the keys that no upstream holds.
    pub fn unowned(&self) -> Vec<u64> {
        let held = |key: &u64| {
            let mut upstreams = self.upstreams.iter();
            upstreams.any(|upstream| upstream.held(*key, self.now).is_some())
        };
        (0..KEY_COUNT).filter(|key| !held(key)).collect()
    }

    /// Returns the upstream that holds a key.
    pub fn owner(&self, key: u64) -> Option<usize> {
        let mut upstreams = self.upstreams.iter();
        upstreams.position(|upstream| upstream.held(key, self.now).is_some())
    }

    /// Returns the instance that leads.
    pub fn leader(&self) -> Option<usize> {
        self.instances.iter().position(Instance::is_leading)
    }

    /// Returns the number of ranges in the stored record.
    pub fn range_count(&self) -> usize {
        let record = self.store.view().record;
        record.map_or(0, |(record, _)| record.assignments.len())
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Tick(index) => {
                self.plan(TICK, Happening::Tick(index));
                if !self.instances[index].suspended {
                    self.feed(index, interface::OwnershipEvent::Tick);
                }
            }
            Happening::Sign(index) => self.sign(index),
            Happening::Event(index, run, event) => {
                if self.instances[index].run == run {
                    self.deliver(index, *event);
                }
            }
            Happening::Store(index, run, call) => self.call_store(index, run, *call),
            Happening::Grant(index, run, command) => self.call_grant(index, run, *command),
            Happening::Release(index, run, command) => self.call_release(index, run, *command),
            Happening::LateGrant(command, arrived) => self.carry_out(&command, arrived),
            Happening::LateCommit(run, order) => {
                self.store.commit(self.now, run, &order);
            }
        }
    }

    fn deliver(&mut self, index: usize, event: interface::OwnershipEvent) {
        match self.instances[index].suspended {
            true => self.instances[index].backlog.push(event),
            false => self.feed(index, event),
        }
    }

    fn feed(&mut self, index: usize, event: interface::OwnershipEvent) {
        let now = self.now;
        let Some(core) = &mut self.instances[index].core else {
            return;
        };
        let actions = core.step(now, event);
        for action in actions {
            self.perform(index, action);
        }
    }

    fn perform(&mut self, index: usize, action: interface::OwnershipAction) {
        let run = self.instances[index].run;
        let latency = self.latency();
        match action {
            interface::OwnershipAction::OpenLease { ttl } => {
                let call = Box::new(StoreCall::Open(ttl));
                self.plan(latency, Happening::Store(index, run, call));
            }
            interface::OwnershipAction::RenewLease { lease } => {
                let call = Box::new(StoreCall::Keep(lease, self.now));
                self.plan(latency, Happening::Store(index, run, call));
            }
            interface::OwnershipAction::Commit(order) => {
                let call = Box::new(StoreCall::Commit(order));
                self.plan(latency, Happening::Store(index, run, call));
            }
            interface::OwnershipAction::Grant(command) => {
                self.plan(latency, Happening::Grant(index, run, Box::new(command)));
            }
            interface::OwnershipAction::Release(command) => {
                self.plan(latency, Happening::Release(index, run, Box::new(command)));
            }
            interface::OwnershipAction::ProbePredecessor(node) => self.challenge(index, &node),
            interface::OwnershipAction::Announce(announcement) => {
                for other in &mut self.instances {
                    other.record.announced(&mut self.random, &announcement);
                }
            }
            interface::OwnershipAction::Report(note) => {
                let name = &self.instances[index].name;
                self.decisions
                    .push(format!("{:?} {name}: {note:?}", self.now));
            }
        }
    }

    fn reply(&mut self, index: usize, run: ids::InstanceKey, event: interface::OwnershipEvent) {
        let latency = self.latency();
        self.plan(latency, Happening::Event(index, run, Box::new(event)));
    }

    fn fail(
        &mut self,
        index: usize,
        run: ids::InstanceKey,
        after: Duration,
        event: interface::OwnershipEvent,
    ) {
        self.plan(after, Happening::Event(index, run, Box::new(event)));
    }

    fn call_store(&mut self, index: usize, run: ids::InstanceKey, call: StoreCall) {
        let reached = self.instances[index].reaches_store;
        let mode = match reached {
            true => self.store.mode,
            false => StoreMode::Down,
        };
        let now = self.now;
        let done = !matches!(mode, StoreMode::Down);
        let answered = matches!(mode, StoreMode::Up);
        let (answer, failure) = match call {
            StoreCall::Open(ttl) => {
                let lease = done.then(|| self.store.open_lease(now, ttl));
                (
                    interface::OwnershipEvent::LeaseOpened { sent: now, lease },
                    interface::OwnershipEvent::LeaseOpened {
                        sent: now,
                        lease: None,
                    },
                )
            }
            StoreCall::Keep(lease, sent) => {
                let alive = done.then(|| self.store.keep_lease(now, lease));
                (
                    interface::OwnershipEvent::LeaseRenewed { sent, alive },
                    interface::OwnershipEvent::LeaseRenewed { sent, alive: None },
                )
            }
            StoreCall::Commit(order) => {
                if mode == StoreMode::DelaysWrites {
                    let late = Duration::from_millis(self.random.u64(1000..6000));
                    self.plan(late, Happening::LateCommit(run, order));
                    let unknown =
                        interface::OwnershipEvent::CommitFinished(interface::CommitResult::Unknown);
                    self.fail(index, run, STORE_TIMEOUT, unknown);
                    return;
                }
                let result = match done {
                    true => self.store.commit(now, run, &order),
                    false => interface::CommitResult::Unknown,
                };
                if let interface::CommitResult::Conflict(Some((record, revision))) = &result {
                    self.instances[index].record.learn(record, *revision);
                }
                (
                    interface::OwnershipEvent::CommitFinished(result),
                    interface::OwnershipEvent::CommitFinished(interface::CommitResult::Unknown),
                )
            }
        };
        match answered {
            true => self.reply(index, run, answer),
            false => self.fail(index, run, STORE_TIMEOUT, failure),
        }
    }

    fn find_upstream(&self, address: SocketAddr) -> Option<usize> {
        let mut upstreams = self.upstreams.iter();
        upstreams.position(|upstream| upstream.info.address == address)
    }

    fn call_grant(
        &mut self,
        index: usize,
        run: ids::InstanceKey,
        command: interface::GrantCommand,
    ) {
        let granted = |result| interface::OwnershipEvent::GrantFinished {
            range: command.range,
            owner: command.owner.key,
            fence: command.fence,
            sent: command.sent,
            result,
        };
        let upstream = self.find_upstream(command.owner.address);
        let upstream = upstream.filter(|upstream| self.upstreams[*upstream].alive);
        let Some(upstream) = upstream else {
            self.reply(index, run, granted(interface::GrantResult::Unsent));
            return;
        };
        if self.cut.contains(&(index, upstream)) {
            let unsent = granted(interface::GrantResult::Unsent);
            self.fail(index, run, assignment::GRANT_TIMEOUT, unsent);
            return;
        }
        if self.random.u32(0..100) < self.late_grant_percent {
            let unanswered = granted(interface::GrantResult::Unanswered);
            self.fail(index, run, assignment::GRANT_TIMEOUT, unanswered);
            let late = Duration::from_millis(self.random.u64(LATE_MS));
            let arrived = self.now;
            self.plan(late, Happening::LateGrant(Box::new(command), arrived));
            return;
        }
        let now = self.now;
        let taken = self.upstreams[upstream].grant(&command.range, command.fence, now, command.ttl);
        let result = match taken {
            true => interface::GrantResult::Granted,
            false => interface::GrantResult::Fenced,
        };
        self.reply(index, run, granted(result));
    }

    fn carry_out(&mut self, command: &interface::GrantCommand, arrived: Duration) {
        let upstreams = self.upstreams.iter_mut();
        let mut same = upstreams.filter(|upstream| upstream.info.key == command.owner.key);
        if let Some(upstream) = same.next() {
            upstream.grant(&command.range, command.fence, arrived, command.ttl);
        }
    }

    fn call_release(
        &mut self,
        index: usize,
        run: ids::InstanceKey,
        command: interface::ReleaseCommand,
    ) {
        let released = |result| interface::OwnershipEvent::ReleaseFinished {
            range: command.range,
            former: command.former,
            result,
        };
        let upstream = self.find_upstream(command.owner.address);
        let Some(upstream) = upstream.filter(|upstream| self.upstreams[*upstream].alive) else {
            let refused = released(interface::ReleaseResult::ConnectionRefused);
            self.reply(index, run, refused);
            return;
        };
        if self.cut.contains(&(index, upstream)) {
            let unanswered = released(interface::ReleaseResult::Unanswered);
            self.fail(index, run, assignment::RELEASE_TIMEOUT, unanswered);
            return;
        }
        self.upstreams[upstream].release(&command.range);
        self.reply(
            index,
            run,
            released(interface::ReleaseResult::Released(None)),
        );
    }

    /// Shows an instance the store, and the leader the instance.
    fn sign(&mut self, index: usize) {
        self.plan(SIGN_INTERVAL, Happening::Sign(index));
        let instance = &self.instances[index];
        if instance.core.is_none() || instance.suspended {
            return;
        }
        if instance.reaches_store && self.store.mode != StoreMode::Down {
            let candidates = self.candidates();
            self.feed(
                index,
                interface::OwnershipEvent::CandidatesUpdated(candidates),
            );
            let view = self.store.view();
            let record = &mut self.instances[index].record;
            let view = record.seen(&mut self.random, view);
            self.feed(index, interface::OwnershipEvent::StoreUpdated(view));
        }
        let event = self.instances[index].sign();
        let counts = self.counts();
        for leader in 0..self.instances.len() {
            if self.instances[leader].is_leading() {
                let run = self.instances[leader].run;
                self.reply(leader, run, event.clone());
                self.reply(
                    leader,
                    run,
                    interface::OwnershipEvent::LoadReported(counts.clone()),
                );
            }
        }
    }

    fn counts(&mut self) -> load::LoadReport {
        let mut counts = Vec::new();
        for _ in 0..20 {
            let key = match self.hot_key.filter(|_| self.random.bool()) {
                Some(key) => key,
                None => self.random.u64(0..KEY_COUNT),
            };
            let bucket = load::bucket_of(key, KEY_COUNT - 1) as u32;
            counts.push(load::BucketCount { bucket, count: 1 });
        }
        let latencies = self.upstreams.iter().map(|upstream| load::OwnerLatency {
            owner: upstream.info.key,
            responses: 1,
            sum_ms: 400,
        });
        load::LoadReport {
            counts,
            latencies: latencies.collect(),
        }
    }

    fn candidates(&self) -> candidates::CandidateTable {
        let mut table = directory::UpstreamDirectory::default();
        for upstream in &self.upstreams {
            if upstream.is_registered(self.now) {
                table.put(self.now, upstream.entry());
            }
        }
        let candidates = table.iter().map(candidates::OwnerCandidate::from).collect();
        candidates::CandidateTable::new(candidates)
    }

    fn challenge(&mut self, index: usize, node: &record::InstanceInfo) {
        let core = self.instances[index].core.as_ref();
        let Some(revision) = core.and_then(core::OwnershipCore::leader_revision) else {
            return;
        };
        let found = self
            .instances
            .iter()
            .position(|other| other.name == node.name);
        let Some(other) = found.filter(|other| {
            self.instances[*other].core.is_some() && !self.instances[*other].suspended
        }) else {
            return;
        };
        self.feed(other, interface::OwnershipEvent::Superseded { revision });
        let event = self.instances[other].sign();
        let run = self.instances[index].run;
        self.reply(index, run, event);
    }

    /// Returns the last decisions, for messages of failed tests.
    pub fn describe(&self) -> String {
        let last = self.decisions.len().saturating_sub(60);
        let unowned = self.unowned();
        format!(
            "leader {:?}, unowned keys {unowned:?}, overlaps {:?}\n{}",
            self.leader(),
            self.overlaps.first(),
            self.decisions[last..].join("\n")
        )
    }

    /// Returns the whole key space.
    pub fn key_space() -> range::KeyRange {
        range::KeyRange {
            first: 0,
            last: KEY_COUNT - 1,
        }
    }
}
