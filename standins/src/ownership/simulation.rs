//! Instances, metadata store and upstreams of one service on a simulated clock.

use super::record_view;
use super::store::FakeStore;
pub use super::store::StoreMode;
use super::upstream::{FakeUpstream, KEY_COUNT};
use godwitloom::directory;
use godwitloom::ids;
use godwitloom::ownership::{assignment, candidates, core, interface, load, record};
use godwitloom::range;
use godwitloom::store;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Time after which a store call without a response fails.
const STORE_TIMEOUT: Duration = Duration::from_millis(1200);

/// Interval of the cores' timer events.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which an instance polls the store and reports to leading instances.
const POLL_INTERVAL: Duration = Duration::from_millis(300);

/// Shortest and longest time for which a late grant is delayed, in milliseconds.
const LATE_GRANT_DELAY_MS: std::ops::Range<u64> = 2000..12_000;

/// Moment at which two upstreams owned one key, or one accepted it under an old token.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Overlap {
    pub key: u64,
    pub at: Duration,
}

/// Size and seed of an [`OwnershipSimulation`].
#[derive(Clone, Copy, Debug)]
pub struct SimulationOptions {
    pub instances: usize,
    pub upstreams: usize,
    pub seed: u64,
}

struct Instance {
    name: String,
    /// `None` if the instance is killed.
    core: Option<core::OwnershipCore>,
    run: ids::InstanceKey,
    /// Number of runs so far, the present one included.
    runs: u64,
    suspended: bool,
    reaches_store: bool,
    /// Events that arrived while the process was suspended.
    deferred: Vec<interface::OwnershipEvent>,
    /// Era of the store that the instance knows.
    era: store::Era,
    record: record_view::RecordView,
}

impl Instance {
    fn is_leading(&self) -> bool {
        let core = self.core.as_ref();
        core.is_some_and(core::OwnershipCore::is_leading)
    }

    /// Returns the event of a message from this instance to another.
    fn instance_seen(&self) -> interface::OwnershipEvent {
        interface::OwnershipEvent::InstanceSeen {
            name: self.name.clone(),
            run: self.run,
            leading: self.is_leading(),
        }
    }
}

/// Task for a simulated time, with the index and the run of its instance.
#[derive(Debug)]
enum ScheduledTask {
    Tick(usize),
    Poll(usize),
    /// Delivers an event, unless the run that it is for has ended.
    Event(usize, ids::InstanceKey, Box<interface::OwnershipEvent>),
    Store(usize, ids::InstanceKey, Box<StoreCall>),
    Grant(usize, ids::InstanceKey, Box<interface::GrantCommand>),
    Release(usize, ids::InstanceKey, Box<interface::ReleaseCommand>),
    /// Applies a delayed grant, which the upstream received at the given time.
    LateGrant(Box<interface::GrantCommand>, Duration),
    /// Carries out a delayed write to the store.
    LateCommit(ids::InstanceKey, Box<interface::CommitCommand>),
}

#[derive(Debug)]
enum StoreCall {
    /// TTL of the lease.
    OpenLease(Duration),
    /// ID of the lease, and when the call was sent.
    RenewLease(u64, Duration),
    Commit(Box<interface::CommitCommand>),
}

/// Simulated instances, upstreams and metadata store of one service.
pub struct OwnershipSimulation {
    pub now: Duration,
    instances: Vec<Instance>,
    upstreams: Vec<FakeUpstream>,
    store: FakeStore,
    /// Grants that get no response and take effect late, in percent.
    pub late_grant_percent: u32,
    /// Instances and upstreams that a network partition separates.
    partitions: BTreeSet<(usize, usize)>,
    /// Ordered by time, then in the order of scheduling.
    schedule: BTreeMap<(Duration, u64), ScheduledTask>,
    scheduled: u64,
    random: fastrand::Rng,
    hot_key: Option<u64>,
    pub overlaps: Vec<Overlap>,
    /// Highest fencing token of each key by the upstream that accepted it.
    accepted_fences: Vec<BTreeMap<ids::UpstreamKey, u64>>,
    /// Keys accepted under a token that another upstream had accepted or passed.
    pub fence_regressions: Vec<Overlap>,
    /// Decisions of all instances, for failure messages.
    pub decisions: Vec<String>,
}

impl OwnershipSimulation {
    /// Creates a simulation without faults, in which all instances have just started.
    pub fn new(options: SimulationOptions) -> OwnershipSimulation {
        let instances = (0..options.instances).map(|index| Instance {
            name: format!("gw-{index}"),
            core: None,
            run: ids::InstanceKey::default(),
            runs: 0,
            suspended: false,
            reaches_store: true,
            deferred: Vec::new(),
            era: 0,
            record: record_view::RecordView::default(),
        });
        let mut simulation = OwnershipSimulation {
            now: Duration::from_secs(1),
            instances: instances.collect(),
            upstreams: (0..options.upstreams).map(FakeUpstream::new).collect(),
            store: FakeStore::default(),
            late_grant_percent: 0,
            partitions: BTreeSet::new(),
            schedule: BTreeMap::new(),
            scheduled: 0,
            random: fastrand::Rng::with_seed(options.seed),
            hot_key: None,
            overlaps: Vec::new(),
            accepted_fences: vec![BTreeMap::new(); KEY_COUNT as usize],
            fence_regressions: Vec::new(),
            decisions: Vec::new(),
        };
        for index in 0..options.instances {
            simulation.start_instance(index);
            simulation.schedule_task(TICK_INTERVAL, ScheduledTask::Tick(index));
            simulation.schedule_task(POLL_INTERVAL, ScheduledTask::Poll(index));
        }
        simulation
    }

    fn schedule_task(&mut self, after: Duration, task: ScheduledTask) {
        self.scheduled += 1;
        self.schedule
            .insert((self.now + after, self.scheduled), task);
    }

    fn latency(&mut self) -> Duration {
        Duration::from_micros(self.random.u64(300..4000))
    }

    fn start_instance(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        instance.runs += 1;
        instance.era = 0;
        instance.run = ids::InstanceKey::derive(&instance.name, instance.runs);
        instance.suspended = false;
        instance.deferred.clear();
        instance.record = record_view::RecordView::default();
        let info = record::InstanceInfo {
            run: instance.run,
            name: instance.name.clone(),
            address: SocketAddr::from(([127, 0, 0, 1], 7000 + index as u16)),
        };
        instance.core = Some(core::OwnershipCore::new(
            info,
            interface::OwnershipSettings {
                last_key: KEY_COUNT - 1,
                max_grant_ttl: Duration::from_secs(10),
                first_start: instance.runs == 1,
            },
        ));
    }

    /// Ends an instance's process at once.
    pub fn kill(&mut self, index: usize) {
        self.instances[index].core = None;
    }

    /// Starts a new run of an instance, if it was killed.
    pub fn restart(&mut self, index: usize) {
        if self.instances[index].core.is_none() {
            self.start_instance(index);
        }
    }

    /// Suspends an instance; events for it are deferred.
    pub fn suspend(&mut self, index: usize) {
        self.instances[index].suspended = true;
    }

    /// Resumes a suspended instance and delivers its deferred events.
    pub fn resume(&mut self, index: usize) {
        self.instances[index].suspended = false;
        let deferred = std::mem::take(&mut self.instances[index].deferred);
        for event in deferred {
            self.step_core(index, event);
        }
    }

    /// Asks an instance to stop gracefully.
    pub fn stop(&mut self, index: usize) {
        self.deliver(index, interface::OwnershipEvent::Stop);
    }

    /// Sets whether an instance reaches the store.
    pub fn set_reaches_store(&mut self, index: usize, reaches: bool) {
        self.instances[index].reaches_store = reaches;
    }

    /// Sets whether a network partition separates an instance from an upstream.
    pub fn set_partitioned(&mut self, instance: usize, upstream: usize, partitioned: bool) {
        match partitioned {
            true => self.partitions.insert((instance, upstream)),
            false => self.partitions.remove(&(instance, upstream)),
        };
    }

    pub fn set_store_mode(&mut self, mode: StoreMode) {
        self.store.mode = mode;
    }

    /// Restores the store from a copy that is `age` seconds older than the last one.
    pub fn restore_store(&mut self, age: usize) {
        self.store.restore(age);
    }

    /// Ends an upstream's process at once.
    pub fn kill_upstream(&mut self, index: usize) {
        self.upstreams[index].kill(self.now);
    }

    /// Starts a new run of an upstream, if it was killed.
    pub fn restart_upstream(&mut self, index: usize) {
        self.upstreams[index].restart();
    }

    /// Sets whether an upstream is registered as draining.
    pub fn set_draining(&mut self, index: usize, draining: bool) {
        self.upstreams[index].draining = draining;
    }

    /// Sets whether an upstream reaches the store to renew its entry.
    pub fn set_upstream_reaches_store(&mut self, index: usize, reaches: bool) {
        let now = self.now;
        self.upstreams[index].set_reaches_store(now, reaches);
    }

    /// Directs about half of the requests to one key, or spreads all evenly.
    pub fn set_hot_key(&mut self, key: Option<u64>) {
        self.hot_key = key;
    }

    /// Ends all faults; killed processes are restarted.
    pub fn end_faults(&mut self) {
        self.store.mode = StoreMode::Up;
        self.late_grant_percent = 0;
        self.partitions.clear();
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

    /// Advances the simulated clock by `time`.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(entry) = self.schedule.first_entry() {
            let (at, _) = *entry.key();
            if at > end {
                break;
            }
            let task = entry.remove();
            self.now = at;
            self.store.expire(at);
            self.run_task(task);
            self.record_overlaps();
        }
        self.now = end;
    }

    fn record_overlaps(&mut self) {
        for key in 0..KEY_COUNT {
            let owners = self.upstreams.iter();
            let owners = owners.filter(|upstream| upstream.held_fence(key, self.now).is_some());
            if owners.count() > 1 {
                self.overlaps.push(Overlap { key, at: self.now });
            }
        }
    }

    /// Returns the keys that no upstream owns.
    pub fn unowned(&self) -> Vec<u64> {
        let is_owned = |key: &u64| {
            let mut upstreams = self.upstreams.iter();
            upstreams.any(|upstream| upstream.held_fence(*key, self.now).is_some())
        };
        (0..KEY_COUNT).filter(|key| !is_owned(key)).collect()
    }

    /// Returns the upstream that owns a key.
    pub fn owner(&self, key: u64) -> Option<usize> {
        let mut upstreams = self.upstreams.iter();
        upstreams.position(|upstream| upstream.held_fence(key, self.now).is_some())
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

    fn run_task(&mut self, task: ScheduledTask) {
        match task {
            ScheduledTask::Tick(index) => {
                self.schedule_task(TICK_INTERVAL, ScheduledTask::Tick(index));
                if !self.instances[index].suspended {
                    self.step_core(index, interface::OwnershipEvent::Tick);
                }
            }
            ScheduledTask::Poll(index) => self.poll_and_report(index),
            ScheduledTask::Event(index, run, event) => {
                if self.instances[index].run == run {
                    self.deliver(index, *event);
                }
            }
            ScheduledTask::Store(index, run, call) => self.call_store(index, run, *call),
            ScheduledTask::Grant(index, run, command) => self.call_grant(index, run, *command),
            ScheduledTask::Release(index, run, command) => self.call_release(index, run, *command),
            ScheduledTask::LateGrant(command, received) => {
                self.handle_late_grant(&command, received)
            }
            ScheduledTask::LateCommit(run, command) => {
                self.store.commit(self.now, run, &command);
            }
        }
    }

    fn deliver(&mut self, index: usize, event: interface::OwnershipEvent) {
        match self.instances[index].suspended {
            true => self.instances[index].deferred.push(event),
            false => self.step_core(index, event),
        }
    }

    fn step_core(&mut self, index: usize, event: interface::OwnershipEvent) {
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
                let call = Box::new(StoreCall::OpenLease(ttl));
                self.schedule_task(latency, ScheduledTask::Store(index, run, call));
            }
            interface::OwnershipAction::RenewLease { lease } => {
                let call = Box::new(StoreCall::RenewLease(lease, self.now));
                self.schedule_task(latency, ScheduledTask::Store(index, run, call));
            }
            interface::OwnershipAction::Commit(command) => {
                let call = Box::new(StoreCall::Commit(command));
                self.schedule_task(latency, ScheduledTask::Store(index, run, call));
            }
            interface::OwnershipAction::Grant(command) => {
                self.schedule_task(latency, ScheduledTask::Grant(index, run, Box::new(command)));
            }
            interface::OwnershipAction::Release(command) => {
                self.schedule_task(
                    latency,
                    ScheduledTask::Release(index, run, Box::new(command)),
                );
            }
            interface::OwnershipAction::ProbePredecessor(predecessor) => {
                self.probe_predecessor(index, &predecessor)
            }
            interface::OwnershipAction::Announce(announcement) => {
                for other in &mut self.instances {
                    other
                        .record
                        .on_announcement(&mut self.random, &announcement);
                }
            }
            interface::OwnershipAction::Report(decision) => {
                let name = &self.instances[index].name;
                self.decisions
                    .push(format!("{:?} {name}: {decision:?}", self.now));
            }
        }
    }

    fn send_event(
        &mut self,
        index: usize,
        run: ids::InstanceKey,
        event: interface::OwnershipEvent,
    ) {
        let latency = self.latency();
        self.schedule_task(latency, ScheduledTask::Event(index, run, Box::new(event)));
    }

    fn send_event_after(
        &mut self,
        index: usize,
        run: ids::InstanceKey,
        after: Duration,
        event: interface::OwnershipEvent,
    ) {
        self.schedule_task(after, ScheduledTask::Event(index, run, Box::new(event)));
    }

    fn call_store(&mut self, index: usize, run: ids::InstanceKey, call: StoreCall) {
        let reaches_store = self.instances[index].reaches_store;
        let mode = match reaches_store {
            true => self.store.mode,
            false => StoreMode::Down,
        };
        let now = self.now;
        let takes_effect = !matches!(mode, StoreMode::Down);
        let response_arrives = matches!(mode, StoreMode::Up);
        let (response, failure) = match call {
            StoreCall::OpenLease(ttl) => {
                let lease = takes_effect.then(|| self.store.open_lease(now, ttl));
                // As instances do, which take no lease of an era that they do not know.
                let lease = lease.filter(|_| self.instances[index].era == self.store.era());
                (
                    interface::OwnershipEvent::LeaseOpened { sent: now, lease },
                    interface::OwnershipEvent::LeaseOpened {
                        sent: now,
                        lease: None,
                    },
                )
            }
            StoreCall::RenewLease(lease, sent) => {
                let alive = takes_effect.then(|| self.store.renew_lease(now, lease));
                let core = self.instances[index].core.as_ref();
                let position = core.and_then(core::OwnershipCore::leader_position);
                let era = position.map(|position| position.era);
                let alive = alive.filter(|_| era == Some(self.store.era()));
                (
                    interface::OwnershipEvent::LeaseRenewed { sent, alive },
                    interface::OwnershipEvent::LeaseRenewed { sent, alive: None },
                )
            }
            StoreCall::Commit(command) => {
                if mode == StoreMode::DelaysWrites {
                    let delay = Duration::from_millis(self.random.u64(1000..6000));
                    self.schedule_task(delay, ScheduledTask::LateCommit(run, command));
                    let unknown =
                        interface::OwnershipEvent::CommitFinished(interface::CommitResult::Unknown);
                    self.send_event_after(index, run, STORE_TIMEOUT, unknown);
                    return;
                }
                let result = match takes_effect {
                    true => self.store.commit(now, run, &command),
                    false => interface::CommitResult::Unknown,
                };
                // As instances do, which take no result of another era.
                let result = match command.record.era == self.store.era() {
                    true => result,
                    false => interface::CommitResult::Unknown,
                };
                if let interface::CommitResult::Conflict(Some((record, revision))) = &result {
                    self.instances[index].record.on_stored(record, *revision);
                }
                (
                    interface::OwnershipEvent::CommitFinished(result),
                    interface::OwnershipEvent::CommitFinished(interface::CommitResult::Unknown),
                )
            }
        };
        match response_arrives {
            true => self.send_event(index, run, response),
            false => self.send_event_after(index, run, STORE_TIMEOUT, failure),
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
            self.send_event(index, run, granted(interface::GrantResult::Unsent));
            return;
        };
        if self.partitions.contains(&(index, upstream)) {
            let unsent = granted(interface::GrantResult::Unsent);
            self.send_event_after(index, run, assignment::GRANT_TIMEOUT, unsent);
            return;
        }
        if self.random.u32(0..100) < self.late_grant_percent {
            let unanswered = granted(interface::GrantResult::Unanswered);
            self.send_event_after(index, run, assignment::GRANT_TIMEOUT, unanswered);
            let delay = Duration::from_millis(self.random.u64(LATE_GRANT_DELAY_MS));
            let received = self.now;
            self.schedule_task(delay, ScheduledTask::LateGrant(Box::new(command), received));
            return;
        }
        let now = self.now;
        let accepted =
            self.upstreams[upstream].grant(&command.range, command.fence, now, command.ttl);
        if accepted {
            self.check_fence(&command);
        }
        let result = match accepted {
            true => interface::GrantResult::Granted,
            false => interface::GrantResult::Fenced,
        };
        self.send_event(index, run, granted(result));
    }

    /// Records keys that an upstream accepts under a fencing token that is not above all
    /// under which other upstreams accepted them.
    fn check_fence(&mut self, command: &interface::GrantCommand) {
        for key in command.range.first..=command.range.last {
            let owner = command.owner.key;
            let fences = &mut self.accepted_fences[key as usize];
            let others = fences.iter().filter(|(other, _)| **other != owner);
            let highest = others.map(|(_, fence)| *fence).max();
            let is_renewal = fences.get(&owner) == Some(&command.fence);
            if !is_renewal && highest.is_some_and(|highest| command.fence <= highest) {
                self.fence_regressions.push(Overlap { key, at: self.now });
            }
            fences.insert(owner, command.fence);
        }
    }

    fn handle_late_grant(&mut self, command: &interface::GrantCommand, received: Duration) {
        let upstreams = self.upstreams.iter_mut();
        let mut owners = upstreams.filter(|upstream| upstream.info.key == command.owner.key);
        if let Some(upstream) = owners.next() {
            upstream.grant(&command.range, command.fence, received, command.ttl);
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
            self.send_event(index, run, refused);
            return;
        };
        if self.partitions.contains(&(index, upstream)) {
            let unanswered = released(interface::ReleaseResult::Unanswered);
            self.send_event_after(index, run, assignment::RELEASE_TIMEOUT, unanswered);
            return;
        }
        self.upstreams[upstream].release(&command.range);
        self.send_event(
            index,
            run,
            released(interface::ReleaseResult::Released(None)),
        );
    }

    /// Delivers the store's state to an instance, and the instance's report to each
    /// leading instance.
    fn poll_and_report(&mut self, index: usize) {
        self.schedule_task(POLL_INTERVAL, ScheduledTask::Poll(index));
        let instance = &self.instances[index];
        if instance.core.is_none() || instance.suspended {
            return;
        }
        if instance.reaches_store && self.store.mode != StoreMode::Down {
            let candidates = self.candidates();
            self.step_core(
                index,
                interface::OwnershipEvent::CandidatesUpdated(candidates),
            );
            let view = self.store.view();
            self.instances[index].era = view.as_of.era;
            let record = &mut self.instances[index].record;
            let view = record.on_poll(&mut self.random, view);
            self.step_core(index, interface::OwnershipEvent::StoreUpdated(view));
        }
        let event = self.instances[index].instance_seen();
        let report = self.load_report();
        for leader in 0..self.instances.len() {
            if self.instances[leader].is_leading() {
                let run = self.instances[leader].run;
                self.send_event(leader, run, event.clone());
                self.send_event(
                    leader,
                    run,
                    interface::OwnershipEvent::LoadReported(report.clone()),
                );
            }
        }
    }

    fn load_report(&mut self) -> load::LoadReport {
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

    fn probe_predecessor(&mut self, index: usize, predecessor: &record::InstanceInfo) {
        let core = self.instances[index].core.as_ref();
        let Some(position) = core.and_then(core::OwnershipCore::leader_position) else {
            return;
        };
        let found = self
            .instances
            .iter()
            .position(|other| other.name == predecessor.name);
        let Some(other) = found.filter(|other| {
            self.instances[*other].core.is_some() && !self.instances[*other].suspended
        }) else {
            return;
        };
        self.step_core(other, interface::OwnershipEvent::Superseded { position });
        let event = self.instances[other].instance_seen();
        let run = self.instances[index].run;
        self.send_event(index, run, event);
    }

    /// Describes ownership and the last decisions, for failure messages.
    pub fn describe(&self) -> String {
        let start = self.decisions.len().saturating_sub(60);
        let unowned = self.unowned();
        format!(
            "leader {:?}, unowned keys {unowned:?}, overlaps {:?}\n{}",
            self.leader(),
            self.overlaps.first(),
            self.decisions[start..].join("\n")
        )
    }

    pub fn key_space() -> range::KeyRange {
        range::KeyRange {
            first: 0,
            last: KEY_COUNT - 1,
        }
    }
}
