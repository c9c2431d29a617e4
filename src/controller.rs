//! Assignment of one service's ranges to its upstreams.
//!
//! The controller compares what should hold with what its renewers report and
//! acts on the difference, so any event may be lost or repeated. Two rules
//! carry the promise of one owner per key:
//!
//! - A range is granted only to a recorded candidate, and only while every
//!   other recorded candidate certainly does not hold it.
//! - A candidate or renewer leaves the record only once it certainly holds or
//!   renews nothing, and is used only once the record that names it is known to
//!   be written.
//!
//! Neither needs a unique controller: renewers and upstreams obey the highest term
//! only, and a controller learns of a higher one from their reports. Neither
//! needs the platform's service as long as the recorded candidates suffice.

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

/// Interval at which a few followers show that they are alive.
const MIN_QUERY_INTERVAL: Duration = Duration::from_millis(500);

/// Share of the query interval that each follower adds.
const QUERY_SPACING: Duration = Duration::from_millis(100);

/// Query intervals of silence after which an instance is no longer chosen.
const PEER_LIFE_INTERVALS: u32 = 3;

/// Interval of checks while nothing is under way.
pub(crate) const CALM_INTERVAL: Duration = Duration::from_millis(500);

/// Returns the interval at which each of `followers` asks the controller.
pub fn query_interval(followers: usize) -> Duration {
    MIN_QUERY_INTERVAL.max(QUERY_SPACING * followers as u32)
}

/// Returns the silence after which one of `followers` counts as lost.
pub fn peer_timeout(followers: usize) -> Duration {
    query_interval(followers) * PEER_LIFE_INTERVALS
}

/// Term of a service's first controller.
pub(crate) const FIRST_TERM: u32 = 1;

/// What a controller needs to know of its service.
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
    /// Another write came first; the stored record as read afterwards.
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
    /// An instance is alive.
    PeerAlive(record::PeerInfo),
    /// An operator vouches that a run of an instance has ended.
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
    Routes(Vec<routes::RouteEntry>),
    /// A higher term exists: this controller has nothing more to decide.
    StepDown {
        term: u32,
    },
}

#[derive(Debug)]
pub(crate) struct PeerEntry {
    pub(crate) info: record::PeerInfo,
    pub(crate) heard: Duration,
}

#[derive(Debug)]
pub(crate) struct RangeState {
    pub(crate) range: range::KeyRange,
    pub(crate) published: Option<Option<ids::UpstreamKey>>,
    pub(crate) version: grant::GrantGeneration,
}

/// Decisions of one controller in one term.
#[derive(Debug)]
pub struct ControllerCore {
    pub(crate) me: record::PeerInfo,
    pub(crate) term: u32,
    pub(crate) counter: u32,
    pub(crate) topology: ServiceTopology,
    pub(crate) recorded: record::AssignmentRecord,
    pub(crate) revision: u64,
    /// Write whose result is not known.
    pub(crate) unresolved: Option<record::AssignmentRecord>,
    pub(crate) next_write: Duration,
    pub(crate) upstreams: Vec<upstream_state::UpstreamState>,
    pub(crate) ranges: Vec<RangeState>,
    pub(crate) peers: BTreeMap<String, PeerEntry>,
    pub(crate) ended_runs: upstream_state::EndedRuns,
    pub(crate) moves: BTreeMap<u64, ids::UpstreamKey>,
    pub(crate) next_move: Duration,
    pub(crate) started: Duration,
    /// Position of each upstream.
    pub(crate) positions: HashMap<ids::UpstreamKey, usize>,
    /// Owner of each range, by position of both.
    pub(crate) owners: Vec<Option<usize>>,
    pub(crate) next_check: Duration,
    pub(crate) deposed: bool,
}

impl ControllerCore {
    /// Starts a term on the record last read from the platform's service.
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
            unresolved: None,
            next_write: now,
            upstreams: Vec::new(),
            ranges: Vec::new(),
            peers: BTreeMap::new(),
            ended_runs: upstream_state::EndedRuns::new(),
            moves: BTreeMap::new(),
            next_move: now + balance::MOVE_INTERVAL,
            started: now,
            positions: HashMap::new(),
            owners: Vec::new(),
            next_check: now,
            deposed: false,
        };
        core.on_peer(now, me);
        core.recover();
        core
    }

    /// Returns the term.
    pub fn term(&self) -> u32 {
        self.term
    }

    /// Returns the record as last known to be written.
    pub fn recorded(&self) -> &record::AssignmentRecord {
        &self.recorded
    }

    /// Returns the upstreams and what is known of them.
    pub fn upstreams(&self) -> &[upstream_state::UpstreamState] {
        &self.upstreams
    }

    /// Builds the first record of a service: every range with its first candidates.
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

    /// Plans a move of the range that starts at `first`.
    pub fn plan_move(&mut self, first: u64, target: ids::UpstreamKey) {
        self.moves.insert(first, target);
    }

    /// Decides the reaction to one event.
    pub fn step(&mut self, now: Duration, event: ControllerEvent) -> Vec<ControllerAction> {
        if self.deposed {
            return Vec::new();
        }
        match event {
            ControllerEvent::Report { renewer, report } => {
                if report.term > self.term {
                    return self.depose(report.term);
                }
                if !self.on_report(now, renewer, report) && now < self.next_check {
                    return Vec::new();
                }
            }
            ControllerEvent::PeerAlive(info) => {
                if !self.on_peer(now, info) && now < self.next_check {
                    return Vec::new();
                }
            }
            ControllerEvent::RunEnded(key) => {
                self.ended_runs.entry(key).or_insert(now);
            }
            ControllerEvent::Topology(topology) => self.on_topology(topology),
            ControllerEvent::RecordWritten(result) => {
                if let Some(term) = self.on_write(now, result) {
                    return self.depose(term);
                }
            }
            ControllerEvent::Tick if now < self.next_check => return Vec::new(),
            ControllerEvent::Tick => {}
        }
        self.reconcile(now)
    }

    pub(crate) fn depose(&mut self, term: u32) -> Vec<ControllerAction> {
        self.deposed = true;
        vec![ControllerAction::StepDown { term }]
    }

    /// Forgets everything that was learned under another record.
    pub(crate) fn recover(&mut self) {
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

    /// Takes a report in; returns whether it says anything new.
    pub(crate) fn on_report(
        &mut self,
        now: Duration,
        renewer: ids::InstanceKey,
        report: renewer::RenewerReport,
    ) -> bool {
        let position = self.positions.get(&report.upstream).copied();
        position.is_some_and(|position| self.upstreams[position].on_report(now, renewer, report))
    }

    /// Notes a sign of life; returns whether the instance or its run is new.
    pub(crate) fn on_peer(&mut self, now: Duration, info: record::PeerInfo) -> bool {
        let key = info.key;
        let entry = PeerEntry {
            info: info.clone(),
            heard: now,
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
                .find(|s| s.spec.key == upstream_spec.key)
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

    /// Takes the outcome of a write in; returns a higher term if there is one.
    pub(crate) fn on_write(&mut self, now: Duration, result: WriteResult) -> Option<u32> {
        match result {
            WriteResult::Written { revision } => {
                if let Some(record) = self.unresolved.take() {
                    self.recorded = record;
                    self.revision = revision;
                }
                self.next_write = now + recording::WRITE_INTERVAL;
            }
            WriteResult::Conflict { record, revision } => {
                let unresolved = self.unresolved.take();
                if unresolved.is_some_and(|write| write.write_id == record.write_id) {
                    self.recorded = *record;
                    self.revision = revision;
                    self.next_write = now + recording::WRITE_INTERVAL;
                    return None;
                }
                let mine = record.controller.key == self.me.key;
                if record.term > self.term || record.term == self.term && !mine {
                    return Some(record.term);
                }
                self.recorded = *record;
                self.revision = revision;
                self.next_write = now;
                self.recover();
            }
            WriteResult::Unknown => self.next_write = now + recording::WRITE_BACKOFF,
        }
        None
    }

    pub(crate) fn index_upstreams(&mut self) {
        let upstreams = self.upstreams.iter().enumerate();
        self.positions = upstreams.map(|(index, s)| (s.spec.key, index)).collect();
    }

    pub(crate) fn index_owners(&mut self) {
        let mut owners: HashMap<u64, usize> = HashMap::new();
        for (index, upstream) in self.upstreams.iter().enumerate() {
            let ranges = upstream.ordered.ranges.iter();
            owners.extend(ranges.map(|range| (range.first, index)));
        }
        let owner = |state: &RangeState| owners.get(&state.range.first).copied();
        self.owners = self.ranges.iter().map(owner).collect();
    }

    pub(crate) fn reconcile(&mut self, now: Duration) -> Vec<ControllerAction> {
        let mut actions = Vec::new();
        self.note_restarts(now);
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
            .any(|upstream| upstream.in_motion(self.term));
        let busy = busy || !self.moves.is_empty() || self.owners.contains(&None);
        if !busy {
            self.next_check = now + CALM_INTERVAL;
            self.level_load(now);
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
