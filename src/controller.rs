//! Assignment of one service's ranges to its servers.
//!
//! The controller compares what should hold with what its keepers report and
//! acts on the difference, so any event may be lost or repeated. Two rules
//! carry the promise of one owner per key:
//!
//! - A range is granted only to a recorded candidate, and only while every
//!   other recorded candidate certainly does not hold it.
//! - A candidate or keeper leaves the record only once it certainly holds or
//!   renews nothing, and is used only once the record that names it is known to
//!   be written.
//!
//! Neither needs a unique controller: keepers and servers obey the highest term
//! only, and a controller learns of a higher one from their reports. Neither
//! needs the platform's service as long as the recorded candidates suffice.

use crate::balance;
use crate::grant;
use crate::holder;
use crate::ids;
use crate::keeper;
use crate::placement;
use crate::range;
use crate::record;
use crate::routes;
use crate::server;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Interval at which a few followers show that they are alive.
const MIN_QUERY_INTERVAL: Duration = Duration::from_millis(500);

/// Share of the query interval that each follower adds.
const QUERY_SPACING: Duration = Duration::from_millis(100);

/// Query intervals of silence after which an instance is no longer chosen.
const PEER_LIFE_INTERVALS: u32 = 3;

/// Interval of checks while nothing is under way.
const CALM_INTERVAL: Duration = Duration::from_millis(500);

/// Returns the interval at which each of `followers` asks the controller.
pub fn query_interval(followers: usize) -> Duration {
    MIN_QUERY_INTERVAL.max(QUERY_SPACING * followers as u32)
}

/// Returns the silence after which one of `followers` counts as lost.
pub fn peer_life(followers: usize) -> Duration {
    query_interval(followers) * PEER_LIFE_INTERVALS
}

/// Pause between two writes of the record.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);

/// Pause after a write that failed or whose result is not known.
const WRITE_BACKOFF: Duration = Duration::from_millis(1000);

/// Term of a service's first controller.
const FIRST_TERM: u32 = 1;

/// Time that the first term leaves to preferred owners to appear.
const FIRST_GRACE: Duration = Duration::from_millis(2000);

/// What a controller needs to know of its service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServicePlan {
    pub key: ids::ServiceKey,
    pub servers: Vec<server::ServerPlan>,
    pub ranges_per_server: usize,
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
        keeper: ids::InstanceKey,
        report: keeper::KeeperReport,
    },
    /// An instance is alive.
    Peer(record::PeerInfo),
    /// An operator vouches that a run of an instance has ended.
    Gone(ids::InstanceKey),
    Plan(ServicePlan),
    Write(WriteResult),
    Tick,
}

/// Output of a controller.
#[derive(Clone, Debug)]
pub enum ControllerAction {
    Order {
        keeper: SocketAddr,
        order: keeper::KeeperOrder,
    },
    Write {
        record: Box<record::AssignmentRecord>,
        revision: u64,
    },
    Routes(Vec<routes::RouteEntry>),
    /// A higher term exists: this controller has nothing more to decide.
    Depose {
        term: u32,
    },
}

#[derive(Debug)]
struct PeerEntry {
    info: record::PeerInfo,
    heard: Duration,
}

#[derive(Debug)]
struct RangeState {
    range: range::KeyRange,
    published: Option<Option<ids::UpstreamKey>>,
    version: grant::GrantGeneration,
}

/// Decisions of one controller in one term.
#[derive(Debug)]
pub struct ControllerCore {
    me: record::PeerInfo,
    term: u32,
    counter: u32,
    plan: ServicePlan,
    recorded: record::AssignmentRecord,
    revision: u64,
    /// Write whose result is not known.
    unresolved: Option<record::AssignmentRecord>,
    next_write: Duration,
    servers: Vec<server::ServerState>,
    ranges: Vec<RangeState>,
    peers: HashMap<String, PeerEntry>,
    gone: server::GoneTimes,
    moves: HashMap<u64, ids::UpstreamKey>,
    next_move: Duration,
    started: Duration,
    /// Position of each server.
    positions: HashMap<ids::UpstreamKey, usize>,
    /// Owner of each range, by position of both.
    owners: Vec<Option<usize>>,
    next_check: Duration,
    deposed: bool,
}

impl ControllerCore {
    /// Starts a term on the record last read from the platform's service.
    pub fn new(
        now: Duration,
        me: record::PeerInfo,
        term: u32,
        plan: ServicePlan,
        recorded: record::AssignmentRecord,
        revision: u64,
    ) -> ControllerCore {
        let mut core = ControllerCore {
            me: me.clone(),
            term,
            counter: 0,
            plan,
            recorded,
            revision,
            unresolved: None,
            next_write: now,
            servers: Vec::new(),
            ranges: Vec::new(),
            peers: HashMap::new(),
            gone: server::GoneTimes::new(),
            moves: HashMap::new(),
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

    /// Returns the servers and what is known of them.
    pub fn servers(&self) -> &[server::ServerState] {
        &self.servers
    }

    /// Builds the first record of a service: every range with its first candidates.
    pub fn first_record(
        me: &record::PeerInfo,
        plan: &ServicePlan,
        attempt: u64,
    ) -> record::AssignmentRecord {
        let count = plan.servers.len();
        let ranges = range::KeyRange::split_space(count * plan.ranges_per_server);
        let usable: Vec<&server::ServerPlan> = plan.servers.iter().collect();
        let entry = |(index, range): (usize, range::KeyRange)| {
            let owner = usable.get(index % count.max(1)).copied();
            let mut candidates: record::CandidateList =
                owner.map(|plan| plan.key).into_iter().collect();
            candidates.extend(placement::choose_successors(
                range.first,
                owner,
                &[],
                &usable,
            ));
            record::RangeEntry { range, candidates }
        };
        record::AssignmentRecord {
            attempt,
            term: FIRST_TERM,
            controller: me.clone(),
            standby: None,
            keepers: Vec::new(),
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
            ControllerEvent::Report { keeper, report } => {
                if report.term > self.term {
                    return self.depose(report.term);
                }
                if !self.on_report(now, keeper, report) && now < self.next_check {
                    return Vec::new();
                }
            }
            ControllerEvent::Peer(info) => {
                if !self.on_peer(now, info) && now < self.next_check {
                    return Vec::new();
                }
            }
            ControllerEvent::Gone(key) => {
                self.gone.entry(key).or_insert(now);
            }
            ControllerEvent::Plan(plan) => self.on_plan(plan),
            ControllerEvent::Write(result) => {
                if let Some(term) = self.on_write(now, result) {
                    return self.depose(term);
                }
            }
            ControllerEvent::Tick if now < self.next_check => return Vec::new(),
            ControllerEvent::Tick => {}
        }
        self.reconcile(now)
    }

    fn depose(&mut self, term: u32) -> Vec<ControllerAction> {
        self.deposed = true;
        vec![ControllerAction::Depose { term }]
    }

    /// Forgets everything that was learned under another record.
    fn recover(&mut self) {
        let state = |plan: &server::ServerPlan| {
            let keepers = self.recorded.keepers_of(plan.key).to_vec();
            server::ServerState::new(plan.clone(), keepers)
        };
        self.servers = self.plan.servers.iter().map(state).collect();
        self.index_servers();
        let ranges = self.recorded.ranges.iter().map(|entry| RangeState {
            range: entry.range,
            published: None,
            version: grant::GrantGeneration::default(),
        });
        self.ranges = ranges.collect();
    }

    /// Takes a report in; returns whether it says anything new.
    fn on_report(
        &mut self,
        now: Duration,
        keeper: ids::InstanceKey,
        report: keeper::KeeperReport,
    ) -> bool {
        let position = self.positions.get(&report.upstream).copied();
        position.is_some_and(|position| self.servers[position].on_report(now, keeper, report))
    }

    /// Notes a sign of life; returns whether the instance or its run is new.
    fn on_peer(&mut self, now: Duration, info: record::PeerInfo) -> bool {
        let key = info.key;
        let entry = PeerEntry {
            info: info.clone(),
            heard: now,
        };
        let Some(old) = self.peers.insert(info.id, entry) else {
            return true;
        };
        if old.info.key != key {
            self.gone.entry(old.info.key).or_insert(now);
        }
        old.info.key != key
    }

    fn on_plan(&mut self, plan: ServicePlan) {
        for server_plan in &plan.servers {
            match self
                .servers
                .iter_mut()
                .find(|s| s.plan.key == server_plan.key)
            {
                Some(server) => server.plan = server_plan.clone(),
                None => {
                    let keepers = self.recorded.keepers_of(server_plan.key).to_vec();
                    let state = server::ServerState::new(server_plan.clone(), keepers);
                    self.servers.push(state);
                }
            }
        }
        for server in &mut self.servers {
            let declared = plan.servers.iter().any(|p| p.key == server.plan.key);
            server.plan.leaving |= !declared;
        }
        self.plan = plan;
        self.index_servers();
    }

    /// Takes the outcome of a write in; returns a higher term if there is one.
    fn on_write(&mut self, now: Duration, result: WriteResult) -> Option<u32> {
        match result {
            WriteResult::Written { revision } => {
                if let Some(record) = self.unresolved.take() {
                    self.recorded = record;
                    self.revision = revision;
                }
                self.next_write = now + WRITE_INTERVAL;
            }
            WriteResult::Conflict { record, revision } => {
                let unresolved = self.unresolved.take();
                if unresolved.is_some_and(|write| write.attempt == record.attempt) {
                    self.recorded = *record;
                    self.revision = revision;
                    self.next_write = now + WRITE_INTERVAL;
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
            WriteResult::Unknown => self.next_write = now + WRITE_BACKOFF,
        }
        None
    }

    fn index_servers(&mut self) {
        let servers = self.servers.iter().enumerate();
        self.positions = servers.map(|(index, s)| (s.plan.key, index)).collect();
    }

    fn index_owners(&mut self) {
        let mut owners: HashMap<u64, usize> = HashMap::new();
        for (index, server) in self.servers.iter().enumerate() {
            let ranges = server.ordered.ranges.iter();
            owners.extend(ranges.map(|range| (range.first, index)));
        }
        let owner = |state: &RangeState| owners.get(&state.range.first).copied();
        self.owners = self.ranges.iter().map(owner).collect();
    }

    fn reconcile(&mut self, now: Duration) -> Vec<ControllerAction> {
        let mut actions = Vec::new();
        self.note_restarts(now);
        self.update_phases(now);
        self.update_keepers(now);
        self.index_owners();
        self.assign_ranges(now);
        self.index_owners();
        self.finish_moves();
        self.send_orders(now, &mut actions);
        self.publish_routes(&mut actions);
        self.write_record(now, &mut actions);
        let busy = self
            .servers
            .iter()
            .any(|server| server.in_motion(self.term));
        let busy = busy || !self.moves.is_empty() || self.owners.contains(&None);
        if !busy {
            self.next_check = now + CALM_INTERVAL;
            self.level_load(now);
        }
        actions
    }

    /// Marks recorded keepers as gone whose instance runs anew.
    fn note_restarts(&mut self, now: Duration) {
        for server in &self.servers {
            for keeper in &server.renewers {
                let Some(peer) = self.peers.get(&keeper.id) else {
                    continue;
                };
                if peer.info.key != keeper.key {
                    self.gone.entry(keeper.key).or_insert(now);
                }
            }
        }
    }

    fn update_phases(&mut self, now: Duration) {
        for index in 0..self.servers.len() {
            let phase = self.servers[index].phase;
            match phase {
                server::ServerPhase::Unknown => self.discover(now, index),
                server::ServerPhase::Live => self.check_silence(now, index),
                server::ServerPhase::Sealing { since } => self.check_expiry(now, index, since),
                server::ServerPhase::Expired => self.check_return(now, index),
            }
            self.servers[index].narrow(now, self.term, &self.gone);
        }
    }

    fn discover(&mut self, now: Duration, index: usize) {
        let Some(found) = self.servers[index].discover(self.term, &self.gone) else {
            return;
        };
        let generation = self.next_generation();
        let (set, phase) = match found {
            server::Discovery::Holds(set) => {
                let set = grant::GrantSet { generation, ..set };
                (set, server::ServerPhase::Live)
            }
            server::Discovery::Nothing(keepers) => {
                let set = grant::GrantSet {
                    generation,
                    keepers,
                    ranges: Vec::new(),
                };
                (set, server::ServerPhase::Sealing { since: now })
            }
        };
        self.servers[index].order(set);
        self.servers[index].phase = phase;
    }

    fn check_silence(&mut self, now: Duration, index: usize) {
        let server = &mut self.servers[index];
        if server.suspect(now) {
            server.phase = server::ServerPhase::Sealing { since: now };
            let set = server.ordered.clone();
            server.order(set);
        }
    }

    fn check_expiry(&mut self, now: Duration, index: usize, since: Duration) {
        if self.servers[index].heard_after(since) {
            let set = grant::GrantSet {
                generation: self.next_generation(),
                ..self.servers[index].ordered.clone()
            };
            self.servers[index].order(set);
            self.servers[index].phase = server::ServerPhase::Live;
            return;
        }
        let expiry = self.servers[index].expiry(self.term, &self.gone);
        if expiry.is_some_and(|expiry| now >= expiry) {
            let set = grant::GrantSet {
                generation: self.next_generation(),
                keepers: self.servers[index].ordered.keepers.clone(),
                ranges: Vec::new(),
            };
            self.servers[index].order(set);
            self.servers[index].phase = server::ServerPhase::Expired;
        }
    }

    fn check_return(&mut self, now: Duration, index: usize) {
        let server = &mut self.servers[index];
        if server.heard(now) && server.acked(self.term) {
            server.phase = server::ServerPhase::Live;
        }
    }

    fn live_peers(&self, now: Duration) -> Vec<record::PeerInfo> {
        let life = peer_life(self.peers.len());
        let live = |entry: &&PeerEntry| entry.info.key == self.me.key || now - entry.heard < life;
        let mut peers: Vec<_> = self.peers.values().filter(live).collect();
        peers.sort_by_key(|entry| entry.info.key);
        peers.into_iter().map(|entry| entry.info.clone()).collect()
    }

    /// Returns the keepers of a server that every possibly stored record names.
    fn stored_keepers(&self, upstream: ids::UpstreamKey) -> Vec<record::PeerInfo> {
        let named = |peer: &&record::PeerInfo| {
            let mut records = self.unresolved.iter();
            records.all(|record| record.keepers_of(upstream).contains(peer))
        };
        let recorded = self.recorded.keepers_of(upstream).iter();
        recorded.filter(named).cloned().collect()
    }

    fn update_keepers(&mut self, now: Duration) {
        let peers = self.live_peers(now);
        for index in 0..self.servers.len() {
            let server = &self.servers[index];
            let settled = matches!(
                server.phase,
                server::ServerPhase::Live | server::ServerPhase::Expired
            );
            if !settled {
                continue;
            }
            if server.keeps_with(now, &peers) {
                continue;
            }
            let stored = self.stored_keepers(server.plan.key);
            let mut live = stored;
            live.retain(|peer| server.accepts(now, peer.key));
            live.retain(|peer| peers.binary_search_by_key(&peer.key, |p| p.key).is_ok());
            live.sort_by_key(|peer| peer.key);
            let chosen = placement::choose_keepers(&server.plan, &server.ordered.keepers, &live);
            let keys: grant::KeeperList = chosen.iter().map(|peer| peer.key).collect();
            if keys.is_empty() || same_members(&keys, &server.ordered.keepers) {
                continue;
            }
            let set = grant::GrantSet {
                generation: self.next_generation(),
                keepers: keys,
                ranges: self.servers[index].ordered.ranges.clone(),
            };
            let server = &mut self.servers[index];
            for peer in chosen {
                if !server.renewers.contains(&peer) {
                    server.renewers.push(peer);
                }
            }
            server.order(set);
        }
    }

    /// Returns the candidates of a range that every possibly stored record names.
    fn stored_candidates(&self, index: usize) -> record::CandidateList {
        let named = |key: &ids::UpstreamKey| {
            let mut records = self.unresolved.iter();
            records.all(|record| record.ranges[index].candidates.contains(key))
        };
        let recorded = &self.recorded.ranges[index].candidates;
        recorded.iter().copied().filter(named).collect()
    }

    fn server(&self, key: ids::UpstreamKey) -> Option<&server::ServerState> {
        self.positions.get(&key).map(|index| &self.servers[*index])
    }

    fn assign_ranges(&mut self, now: Duration) {
        let mut wanted: Vec<Vec<range::KeyRange>> = Vec::new();
        wanted.extend(self.servers.iter().map(|s| s.ordered.ranges.clone()));
        for index in 0..self.ranges.len() {
            self.assign_range(now, index, &mut wanted);
        }
        for (index, ranges) in wanted.into_iter().enumerate() {
            if ranges == self.servers[index].ordered.ranges {
                continue;
            }
            let set = grant::GrantSet {
                generation: self.next_generation(),
                keepers: self.servers[index].ordered.keepers.clone(),
                ranges,
            };
            self.servers[index].order(set);
        }
    }

    fn assign_range(&self, now: Duration, index: usize, wanted: &mut [Vec<range::KeyRange>]) {
        let range = self.ranges[index].range;
        let owner = self.owners[index];
        let Some(target) = self.target_of(now, index, owner) else {
            return;
        };
        match owner {
            Some(owner) if owner == target => {}
            Some(owner) => {
                if self.servers[owner].phase == server::ServerPhase::Live {
                    wanted[owner].retain(|held| *held != range);
                }
            }
            None => {
                if self.unheld(now, index, target) {
                    wanted[target].push(range);
                }
            }
        }
    }

    /// Chooses the server that a range should be at.
    fn target_of(&self, now: Duration, index: usize, owner: Option<usize>) -> Option<usize> {
        let mut candidates = self.stored_candidates(index);
        if self.term == FIRST_TERM && now - self.started < FIRST_GRACE {
            candidates.truncate(1);
        }
        let usable =
            |key: &ids::UpstreamKey| self.server(*key).is_some_and(|s| s.usable(self.term));
        let planned = self.moves.get(&self.ranges[index].range.first);
        let planned = planned.filter(|key| candidates.contains(key) && usable(key));
        if let (None, Some(owner)) = (planned, owner)
            && !self.servers[owner].leaving()
        {
            return Some(owner);
        }
        let key = planned.or_else(|| candidates.iter().find(|key| usable(key)))?;
        self.positions.get(key).copied()
    }

    /// Returns whether no candidate but `target` can hold the range.
    fn unheld(&self, now: Duration, index: usize, target: usize) -> bool {
        let recorded = &self.recorded.ranges[index].candidates;
        let records = self.unresolved.iter();
        let unresolved = records.flat_map(|record| &record.ranges[index].candidates);
        let mut candidates = recorded.iter().chain(unresolved);
        candidates.all(|key| {
            if *key == self.servers[target].plan.key {
                return true;
            }
            let server = self.server(*key);
            server.is_none_or(|server| server.confined(now, self.term, &self.gone))
        })
    }

    /// Plans the next move towards a level load.
    ///
    /// Servers that check no fences keep what they have: each move would leave
    /// its keys unserved until older orders have expired.
    fn level_load(&mut self, now: Duration) {
        if now < self.next_move || self.unresolved.is_some() {
            return;
        }
        let usable = self.servers.iter().enumerate();
        let usable = usable.filter(|(_, server)| {
            let enforced = server.plan.check == holder::FenceCheck::Enforced;
            enforced && server.usable(self.term)
        });
        let loads: Vec<_> = usable
            .map(|(position, server)| balance::ServerLoad {
                position,
                ranges: server.ordered.ranges.len(),
            })
            .collect();
        let Some(chosen) = balance::choose_move(&loads) else {
            return;
        };
        self.next_move = now + balance::MOVE_INTERVAL;
        let target = self.servers[chosen.to].plan.key;
        if let Some(first) = self.movable_range(chosen.from, target) {
            self.plan_move(first, target);
            self.next_check = now;
        }
    }

    /// Chooses a range of a server, preferably one that may go to `target`
    /// without a record write.
    fn movable_range(&self, from: usize, target: ids::UpstreamKey) -> Option<u64> {
        let owned = (0..self.ranges.len()).filter(|index| self.owners[*index] == Some(from));
        let listed = |index: &usize| {
            let candidates = &self.recorded.ranges[*index].candidates;
            (candidates.contains(&target), *index)
        };
        let index = owned.max_by_key(listed)?;
        Some(self.ranges[index].range.first)
    }

    /// Drops moves that are done or whose target is lost.
    fn finish_moves(&mut self) {
        let (servers, term) = (&self.servers, self.term);
        self.moves.retain(|first, target| {
            let server = servers.iter().find(|s| s.plan.key == *target);
            let holds =
                |s: &server::ServerState| s.ordered.ranges.iter().any(|r| r.first == *first);
            server.is_some_and(|server| server.usable(term) && !holds(server))
        });
    }

    fn send_orders(&mut self, now: Duration, actions: &mut Vec<ControllerAction>) {
        for server in &mut self.servers {
            for (keeper, order) in server.due_orders(now, self.term, self.plan.key) {
                actions.push(ControllerAction::Order { keeper, order });
            }
        }
    }

    fn publish_routes(&mut self, actions: &mut Vec<ControllerAction>) {
        let mut changed = Vec::new();
        for index in 0..self.ranges.len() {
            let Some(owner) = self.route_of(index) else {
                continue;
            };
            if self.ranges[index].published == Some(owner) {
                continue;
            }
            let version = self.next_generation();
            let state = &mut self.ranges[index];
            state.published = Some(owner);
            state.version = version;
            changed.push(routes::RouteEntry {
                range: state.range,
                owner,
                version,
            });
        }
        if !changed.is_empty() {
            actions.push(ControllerAction::Routes(changed));
        }
    }

    /// Returns the owner to publish; `None` while it is not certain.
    fn route_of(&self, index: usize) -> Option<Option<ids::UpstreamKey>> {
        if let Some(owner) = self.owners[index] {
            let server = &self.servers[owner];
            let key = server.plan.key;
            return match server.phase {
                server::ServerPhase::Live if server.acked(self.term) => Some(Some(key)),
                server::ServerPhase::Sealing { .. } => Some(None),
                _ => None,
            };
        }
        let mut candidates = self.recorded.ranges[index].candidates.iter();
        let unknown = candidates.any(|key| {
            self.server(*key)
                .is_some_and(|s| s.phase == server::ServerPhase::Unknown)
        });
        (!unknown).then_some(None)
    }

    fn write_record(&mut self, now: Duration, actions: &mut Vec<ControllerAction>) {
        if now < self.next_write {
            return;
        }
        let record = match &self.unresolved {
            Some(record) => record.clone(),
            None => {
                let mut record = self.wanted_record(now);
                if record == self.recorded {
                    self.next_write = now + WRITE_INTERVAL;
                    return;
                }
                self.counter += 1;
                record.attempt = attempt_number(self.me.key, self.term, self.counter);
                record
            }
        };
        self.next_write = now + WRITE_BACKOFF;
        self.unresolved = Some(record.clone());
        actions.push(ControllerAction::Write {
            record: Box::new(record),
            revision: self.revision,
        });
    }

    fn wanted_record(&self, now: Duration) -> record::AssignmentRecord {
        let peers = self.live_peers(now);
        let standby = self.recorded.standby.as_ref().map(|peer| peer.key);
        let keepers = self.servers.iter().map(|server| record::KeeperEntry {
            upstream: server.plan.key,
            keepers: self.wanted_keepers(now, server, &peers),
        });
        let usable = self.servers.iter();
        let usable = usable.filter(|s| s.phase == server::ServerPhase::Live && !s.leaving());
        let usable: Vec<&server::ServerPlan> = usable.map(|server| &server.plan).collect();
        let ranges = (0..self.ranges.len()).map(|index| record::RangeEntry {
            range: self.ranges[index].range,
            candidates: self.wanted_candidates(now, index, &usable),
        });
        record::AssignmentRecord {
            attempt: self.recorded.attempt,
            term: self.term,
            controller: self.me.clone(),
            standby: placement::choose_standby(self.plan.key, &self.me, standby, &peers),
            keepers: keepers.collect(),
            ranges: ranges.collect(),
        }
    }

    fn wanted_keepers(
        &self,
        now: Duration,
        server: &server::ServerState,
        peers: &[record::PeerInfo],
    ) -> Vec<record::PeerInfo> {
        let mut keepers = server.renewers.clone();
        if server.keeps_with(now, peers) {
            keepers.sort_by_key(|peer| peer.key);
            return keepers;
        }
        let mut peers = peers.to_vec();
        peers.retain(|peer| server.accepts(now, peer.key));
        for peer in placement::choose_keepers(&server.plan, &server.ordered.keepers, &peers) {
            if !keepers.contains(&peer) {
                keepers.push(peer);
            }
        }
        keepers.sort_by_key(|peer| peer.key);
        keepers
    }

    fn wanted_candidates(
        &self,
        now: Duration,
        index: usize,
        usable: &[&server::ServerPlan],
    ) -> record::CandidateList {
        let recorded = &self.recorded.ranges[index].candidates;
        let unknown = |key: &ids::UpstreamKey| {
            let server = self.server(*key);
            server.is_some_and(|server| server.phase == server::ServerPhase::Unknown)
        };
        if recorded.iter().any(unknown) {
            return recorded.clone();
        }
        let planned = self.moves.get(&self.ranges[index].range.first);
        let owner = self.owners[index];
        if planned.is_none() && self.candidates_suffice(owner, recorded) {
            return recorded.clone();
        }
        let owner = owner.map(|owner| &self.servers[owner].plan);
        let mut list = match owner {
            Some(owner) => record::CandidateList::from_iter([owner.key]),
            None => recorded.clone(),
        };
        list.extend(planned.copied().filter(|key| !list.contains(key)));
        let first = self.ranges[index].range.first;
        for key in placement::choose_successors(first, owner, recorded, usable) {
            if !list.contains(&key) {
                list.push(key);
            }
        }
        for key in recorded {
            let confined = self
                .server(*key)
                .is_none_or(|s| s.confined(now, self.term, &self.gone));
            if !list.contains(key) && !confined {
                list.push(*key);
            }
        }
        list
    }

    /// Returns whether recorded candidates are the owner and live successors.
    fn candidates_suffice(&self, owner: Option<usize>, recorded: &[ids::UpstreamKey]) -> bool {
        let Some((first, successors)) = recorded.split_first() else {
            return false;
        };
        let owned = owner.is_some_and(|owner| self.servers[owner].plan.key == *first);
        let live = |key: &ids::UpstreamKey| {
            let server = self.server(*key);
            server.is_some_and(|s| s.phase == server::ServerPhase::Live && !s.leaving())
        };
        owned && successors.len() == placement::SUCCESSORS_PER_RANGE && successors.iter().all(live)
    }

    fn next_generation(&mut self) -> grant::GrantGeneration {
        self.counter += 1;
        grant::GrantGeneration {
            term: self.term,
            counter: self.counter,
        }
    }
}

fn attempt_number(me: ids::InstanceKey, term: u32, counter: u32) -> u64 {
    me.0 ^ (u64::from(term) << 32 | u64::from(counter))
}

/// Returns whether two lists hold the same keepers in any order.
fn same_members(one: &[ids::InstanceKey], other: &[ids::InstanceKey]) -> bool {
    one.len() == other.len() && one.iter().all(|key| other.contains(key))
}
