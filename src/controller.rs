//! Assignment of one service's ranges to its upstreams.
//!
//! The controller of a service compares the wanted state with the renewers'
//! reports and acts on the difference, so any event may be lost or repeated. Two
//! rules ensure that no key ever has two owners:
//!
//! - A range is granted only to one of its candidates, the upstreams that the
//!   service's assignment record lists as its possible owners, and only while
//!   certainly no other candidate holds it.
//! - A candidate or renewer is removed from the record only once it certainly
//!   holds or renews nothing, and is used only once the record that names it is
//!   known to be written.
//!
//! Neither rule needs the controller to be unique: renewers and upstreams obey
//! only the highest term, and a controller learns of a higher one from reports.
//! Neither needs the metadata store as long as the recorded candidates suffice.

use crate::balance;
use crate::grant;
use crate::ids;
use crate::placement;
use crate::range;
use crate::record;
use crate::recording;
use crate::renewer;
use crate::routes;
use crate::upstream_state;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

/// Shortest interval at which a follower other than the standby queries the controller.
const MIN_QUERY_INTERVAL: Duration = Duration::from_millis(500);

/// Time by which each follower lengthens the query interval, which bounds the
/// controller's load from queries.
const QUERY_INTERVAL_PER_FOLLOWER: Duration = Duration::from_millis(100);

/// Query intervals without a query after which an instance counts as lost.
const PEER_TIMEOUT_INTERVALS: u32 = 3;

/// Interval at which the controller checks its state while no change is under way.
pub(crate) const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Returns the interval at which each of `followers` queries the controller.
pub fn query_interval(followers: usize) -> Duration {
    MIN_QUERY_INTERVAL.max(QUERY_INTERVAL_PER_FOLLOWER * followers as u32)
}

/// Returns the time without a query after which one of `followers` counts as lost.
pub fn peer_timeout(followers: usize) -> Duration {
    query_interval(followers) * PEER_TIMEOUT_INTERVALS
}

/// Term of a service's first controller.
pub(crate) const FIRST_TERM: u32 = 1;

/// What a controller needs from the configuration of its service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceTopology {
    pub key: ids::ServiceKey,
    pub upstreams: Vec<upstream_state::UpstreamSpec>,
    pub ranges_per_upstream: usize,
}

/// Outcome of a write of the record.
#[derive(Clone, Debug)]
pub enum WriteResult {
    Written {
        revision: u64,
    },
    /// Another write came first. This is the stored record as read afterwards.
    Conflict {
        record: Box<record::AssignmentRecord>,
        revision: u64,
    },
    /// The write may or may not have taken effect.
    Unknown,
}

/// Input of a controller.
#[derive(Clone, Debug)]
pub enum ControllerEvent {
    Report {
        renewer: ids::InstanceKey,
        report: renewer::RenewerReport,
    },
    /// An instance sent a query, which shows that it is alive.
    PeerAlive(record::PeerInfo),
    /// An operator confirms that a run of an instance has ended.
    RunEnded(ids::InstanceKey),
    Topology(ServiceTopology),
    RecordWritten(WriteResult),
    Tick,
}

/// Output of a controller.
#[derive(Clone, Debug)]
pub enum ControllerAction {
    Order {
        renewer: SocketAddr,
        order: renewer::RenewerOrder,
    },
    WriteRecord {
        record: Box<record::AssignmentRecord>,
        revision: u64,
    },
    /// Publish changed routes.
    Routes(Vec<routes::RouteEntry>),
    /// Another controller, of this or a higher term, takes precedence, so this one
    /// must not decide anything more.
    StepDown { term: u32 },
}

#[derive(Debug)]
pub(crate) struct PeerEntry {
    pub(crate) info: record::PeerInfo,
    pub(crate) last_seen: Duration,
}

#[derive(Debug)]
pub(crate) struct RangeState {
    pub(crate) range: range::KeyRange,
    /// Owner in the last published route; `None` before the first.
    pub(crate) published: Option<Option<ids::UpstreamKey>>,
    /// Version of that route.
    pub(crate) version: grant::GrantGeneration,
}

/// State and decisions of a service's controller in one term.
#[derive(Debug)]
pub struct ControllerCore {
    pub(crate) me: record::PeerInfo,
    pub(crate) term: u32,
    /// Sequence number drawn last, for generations, versions and write IDs.
    pub(crate) counter: u32,
    pub(crate) topology: ServiceTopology,
    pub(crate) recorded: record::AssignmentRecord,
    pub(crate) revision: u64,
    /// Record whose write may or may not have taken effect.
    pub(crate) pending_write: Option<record::AssignmentRecord>,
    pub(crate) next_write: Duration,
    pub(crate) upstreams: Vec<upstream_state::UpstreamState>,
    pub(crate) ranges: Vec<RangeState>,
    /// Instances that take part in the service, by ID.
    pub(crate) peers: BTreeMap<String, PeerEntry>,
    pub(crate) ended_runs: upstream_state::EndedRuns,
    /// Target of each requested move, by the first hash of the range.
    pub(crate) moves: BTreeMap<u64, ids::UpstreamKey>,
    pub(crate) next_move: Duration,
    pub(crate) started: Duration,
    /// Index of each upstream in `upstreams`.
    pub(crate) indexes: HashMap<ids::UpstreamKey, usize>,
    /// Owner of each range, as indexes into `ranges` and `upstreams`.
    pub(crate) owners: Vec<Option<usize>>,
    pub(crate) next_check: Duration,
    pub(crate) stepped_down: bool,
}

impl ControllerCore {
    /// Starts a term with the record last read from or written to the store.
    pub fn new(
        now: Duration,
        me: record::PeerInfo,
        term: u32,
        topology: ServiceTopology,
        recorded: record::AssignmentRecord,
        revision: u64,
    ) -> ControllerCore {
        let mut core = ControllerCore {
            me: me.clone(),
            term,
            counter: 0,
            topology,
            recorded,
            revision,
            pending_write: None,
            next_write: now,
            upstreams: Vec::new(),
            ranges: Vec::new(),
            peers: BTreeMap::new(),
            ended_runs: upstream_state::EndedRuns::new(),
            moves: BTreeMap::new(),
            next_move: now + balance::MOVE_INTERVAL,
            started: now,
            indexes: HashMap::new(),
            owners: Vec::new(),
            next_check: now,
            stepped_down: false,
        };
        core.on_peer_alive(now, me);
        core.reset_state();
        core
    }

    pub fn term(&self) -> u32 {
        self.term
    }

    /// Returns the record that was last known to be stored.
    pub fn recorded(&self) -> &record::AssignmentRecord {
        &self.recorded
    }

    /// Returns what is known about each upstream.
    pub fn upstreams(&self) -> &[upstream_state::UpstreamState] {
        &self.upstreams
    }

    /// Builds a service's first record, which spreads the ranges evenly.
    pub fn first_record(
        me: &record::PeerInfo,
        topology: &ServiceTopology,
        write_id: u64,
    ) -> record::AssignmentRecord {
        let count = topology.upstreams.len();
        let ranges = range::KeyRange::split_space(count * topology.ranges_per_upstream);
        let usable: Vec<&upstream_state::UpstreamSpec> = topology.upstreams.iter().collect();
        let entry = |(index, range): (usize, range::KeyRange)| {
            let owner = usable.get(index % count.max(1)).copied();
            let mut candidates: record::CandidateList =
                owner.map(|spec| spec.key).into_iter().collect();
            candidates.extend(placement::choose_successors(
                range.first,
                owner,
                &[],
                &usable,
            ));
            record::RangeEntry { range, candidates }
        };
        record::AssignmentRecord {
            write_id,
            term: FIRST_TERM,
            controller: me.clone(),
            standby: None,
            renewers: Vec::new(),
            ranges: ranges.into_iter().enumerate().map(entry).collect(),
        }
    }

    /// Requests a move of the range that starts at the hash `first`.
    pub fn request_move(&mut self, first: u64, target: ids::UpstreamKey) {
        self.moves.insert(first, target);
    }

    /// Handles one event and returns the resulting actions.
    pub fn step(&mut self, now: Duration, event: ControllerEvent) -> Vec<ControllerAction> {
        if self.stepped_down {
            return Vec::new();
        }
        match event {
            ControllerEvent::Report { renewer, report } => {
                if report.term > self.term {
                    return self.step_down(report.term);
                }
                if !self.on_report(now, renewer, report) && now < self.next_check {
                    return Vec::new();
                }
            }
            ControllerEvent::PeerAlive(info) => {
                if !self.on_peer_alive(now, info) && now < self.next_check {
                    return Vec::new();
                }
            }
            ControllerEvent::RunEnded(key) => {
                self.ended_runs.entry(key).or_insert(now);
            }
            ControllerEvent::Topology(topology) => self.on_topology(topology),
            ControllerEvent::RecordWritten(result) => {
                if let Some(term) = self.on_write(now, result) {
                    return self.step_down(term);
                }
            }
            ControllerEvent::Tick if now < self.next_check => return Vec::new(),
            ControllerEvent::Tick => {}
        }
        self.reconcile(now)
    }

    pub(crate) fn step_down(&mut self, term: u32) -> Vec<ControllerAction> {
        self.stepped_down = true;
        vec![ControllerAction::StepDown { term }]
    }

    /// Resets the upstreams and ranges to what `recorded` says, forgetting what was
    /// learned under another record.
    pub(crate) fn reset_state(&mut self) {
        let state = |spec: &upstream_state::UpstreamSpec| {
            let renewers = self.recorded.renewers_of(spec.key).to_vec();
            upstream_state::UpstreamState::new(spec.clone(), renewers)
        };
        self.upstreams = self.topology.upstreams.iter().map(state).collect();
        self.index_upstreams();
        let ranges = self.recorded.ranges.iter().map(|entry| RangeState {
            range: entry.range,
            published: None,
            version: grant::GrantGeneration::default(),
        });
        self.ranges = ranges.collect();
    }

    /// Stores a report; returns whether it differs from the renewer's last one.
    pub(crate) fn on_report(
        &mut self,
        now: Duration,
        renewer: ids::InstanceKey,
        report: renewer::RenewerReport,
    ) -> bool {
        let index = self.indexes.get(&report.upstream).copied();
        index.is_some_and(|index| self.upstreams[index].on_report(now, renewer, report))
    }

    /// Records that an instance is alive; returns whether it or its run is new.
    pub(crate) fn on_peer_alive(&mut self, now: Duration, info: record::PeerInfo) -> bool {
        let key = info.key;
        let entry = PeerEntry {
            info: info.clone(),
            last_seen: now,
        };
        let Some(old) = self.peers.insert(info.id, entry) else {
            return true;
        };
        if old.info.key != key {
            self.ended_runs.entry(old.info.key).or_insert(now);
        }
        old.info.key != key
    }

    pub(crate) fn on_topology(&mut self, topology: ServiceTopology) {
        for upstream_spec in &topology.upstreams {
            match self
                .upstreams
                .iter_mut()
                .find(|u| u.spec.key == upstream_spec.key)
            {
                Some(upstream) => upstream.spec = upstream_spec.clone(),
                None => {
                    let renewers = self.recorded.renewers_of(upstream_spec.key).to_vec();
                    let state = upstream_state::UpstreamState::new(upstream_spec.clone(), renewers);
                    self.upstreams.push(state);
                }
            }
        }
        for upstream in &mut self.upstreams {
            let declared = topology
                .upstreams
                .iter()
                .any(|u| u.key == upstream.spec.key);
            upstream.spec.leaving |= !declared;
        }
        self.topology = topology;
        self.index_upstreams();
    }

    /// Applies the outcome of a write; returns the term of another controller if
    /// the record shows one that takes precedence.
    pub(crate) fn on_write(&mut self, now: Duration, result: WriteResult) -> Option<u32> {
        match result {
            WriteResult::Written { revision } => {
                if let Some(record) = self.pending_write.take() {
                    self.recorded = record;
                    self.revision = revision;
                }
                self.next_write = now + recording::WRITE_INTERVAL;
            }
            WriteResult::Conflict { record, revision } => {
                let pending = self.pending_write.take();
                if pending.is_some_and(|write| write.write_id == record.write_id) {
                    self.recorded = *record;
                    self.revision = revision;
                    self.next_write = now + recording::WRITE_INTERVAL;
                    return None;
                }
                let is_own = record.controller.key == self.me.key;
                if record.term > self.term || record.term == self.term && !is_own {
                    return Some(record.term);
                }
                self.recorded = *record;
                self.revision = revision;
                self.next_write = now;
                self.reset_state();
            }
            WriteResult::Unknown => self.next_write = now + recording::WRITE_BACKOFF,
        }
        None
    }

    pub(crate) fn index_upstreams(&mut self) {
        let upstreams = self.upstreams.iter().enumerate();
        self.indexes = upstreams.map(|(index, u)| (u.spec.key, index)).collect();
    }

    /// Updates `owners` from the ordered sets.
    pub(crate) fn index_owners(&mut self) {
        let mut owners: HashMap<u64, usize> = HashMap::new();
        for (index, upstream) in self.upstreams.iter().enumerate() {
            let ranges = upstream.ordered.ranges.iter();
            owners.extend(ranges.map(|range| (range.first, index)));
        }
        let owner = |state: &RangeState| owners.get(&state.range.first).copied();
        self.owners = self.ranges.iter().map(owner).collect();
    }

    /// Compares the wanted with the reported state and acts on the differences.
    pub(crate) fn reconcile(&mut self, now: Duration) -> Vec<ControllerAction> {
        let mut actions = Vec::new();
        self.record_ended_runs(now);
        self.update_phases(now);
        self.update_renewers(now);
        self.index_owners();
        self.assign_ranges(now);
        self.index_owners();
        self.finish_moves();
        self.send_orders(now, &mut actions);
        self.publish_routes(&mut actions);
        self.write_record(now, &mut actions);
        let busy = self
            .upstreams
            .iter()
            .any(|upstream| upstream.in_transition(self.term));
        let busy = busy || !self.moves.is_empty() || self.owners.contains(&None);
        if !busy {
            self.next_check = now + IDLE_CHECK_INTERVAL;
            self.rebalance(now);
        }
        actions
    }

    pub(crate) fn next_generation(&mut self) -> grant::GrantGeneration {
        self.counter += 1;
        grant::GrantGeneration {
            term: self.term,
            counter: self.counter,
        }
    }
}
