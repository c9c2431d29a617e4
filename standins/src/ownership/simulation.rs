//! Instances, metadata store and upstreams of one service on a simulated clock.

mod calls;
mod faults;
mod peers;

use super::record_view;
use super::store::FakeStore;
pub use super::store::StoreMode;
use super::upstream::{FakeUpstream, KEY_COUNT};
use godwitloom::ids;
use godwitloom::ownership::{core, interface, record};
use godwitloom::range;
use godwitloom::store;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Interval of the cores' timer events.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which an instance polls the store and reports to leading instances.
const POLL_INTERVAL: Duration = Duration::from_millis(300);

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
                processor_share: 1.0,
            },
        ));
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
