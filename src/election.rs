//! Leadership of one service: who is its controller.
//!
//! Every instance follows each service's controller and keeps its routes. An
//! instance takes a service over by a compare-and-swap of the record, the
//! standby sooner than the others; the swap makes terms unique.

use crate::controller;
use crate::ids;
use crate::record;
use crate::routes;
use std::net::SocketAddr;
use std::time::Duration;

/// Interval of the standby's queries.
const STANDBY_INTERVAL: Duration = Duration::from_millis(150);

/// Silence after which the standby takes over.
const STANDBY_PATIENCE: Duration = Duration::from_millis(600);

/// Query intervals of silence after which any instance takes over.
const FOLLOWER_PATIENCE_INTERVALS: u32 = 4;

/// Largest extra silence, drawn per instance.
const PATIENCE_SPREAD_MS: u64 = 1000;

/// Pause between two attempts to read or claim the record.
const CLAIM_INTERVAL: Duration = Duration::from_millis(300);

/// Result of reading the record.
#[derive(Clone, Debug)]
pub enum ReadResult {
    Absent,
    Found {
        record: Box<record::AssignmentRecord>,
        revision: u64,
    },
    Failed,
}

/// Input of a service's leadership.
#[derive(Clone, Debug)]
pub enum ElectionEvent {
    Topology(controller::ServiceTopology),
    Query(routes::RouteQuery),
    Update(routes::RouteUpdate),
    RecordRead(ReadResult),
    Controller(controller::ControllerEvent),
    Tick,
}

/// Output of a service's leadership.
#[derive(Clone, Debug)]
pub enum ElectionAction {
    Query {
        to: SocketAddr,
        query: routes::RouteQuery,
    },
    Update {
        to: SocketAddr,
        update: routes::RouteUpdate,
    },
    /// Read the record.
    ReadRecord,
    /// Write the record by compare-and-swap; revision 0 creates it.
    WriteRecord {
        record: Box<record::AssignmentRecord>,
        revision: u64,
    },
    Order {
        renewer: SocketAddr,
        order: crate::renewer::RenewerOrder,
    },
    /// The routes changed.
    RoutesChanged,
    /// This instance became or ceased to be the controller.
    RoleChanged { leading: bool, term: u32 },
}

#[derive(Clone, Debug)]
struct ControllerView {
    term: u32,
    pair: routes::ControllerPair,
    followers: usize,
}

impl ControllerView {
    fn standby(&self) -> Option<&record::PeerInfo> {
        self.pair.standby.as_ref()
    }
}

#[derive(Debug)]
struct FollowerEntry {
    info: record::PeerInfo,
    heard: Duration,
}

/// One service as one instance takes part in it.
#[derive(Debug)]
pub struct ElectionCore {
    me: record::PeerInfo,
    service: ids::ServiceKey,
    topology: Option<controller::ServiceTopology>,
    controller: Option<ControllerView>,
    heard: Duration,
    queried: Duration,
    claimed: Duration,
    /// Extra silence before this instance takes over.
    spread: Duration,
    claim: Option<record::AssignmentRecord>,
    table: routes::RouteTable,
    followers: Vec<FollowerEntry>,
    core: Option<controller::ControllerCore>,
}

impl ElectionCore {
    /// Creates the state of an instance that knows nothing of the service.
    pub fn new(now: Duration, me: record::PeerInfo, service: ids::ServiceKey) -> ElectionCore {
        let spread = (me.key.0 ^ service.0) % PATIENCE_SPREAD_MS;
        ElectionCore {
            me,
            service,
            topology: None,
            controller: None,
            heard: now,
            queried: Duration::ZERO,
            claimed: Duration::ZERO,
            spread: Duration::from_millis(spread),
            claim: None,
            table: routes::RouteTable::default(),
            followers: Vec::new(),
            core: None,
        }
    }

    /// Returns the known routes.
    pub fn table(&self) -> &routes::RouteTable {
        &self.table
    }

    /// Returns the controller's state if this instance leads.
    pub fn core(&self) -> Option<&controller::ControllerCore> {
        self.core.as_ref()
    }

    /// Returns how many instances take part, the controller included.
    pub fn instances(&self) -> Option<usize> {
        let controller = self.controller.as_ref()?;
        Some(
            1 + match self.core {
                Some(_) => self.followers.len(),
                None => controller.followers,
            },
        )
    }

    /// Returns the controller and its term, as far as known.
    pub fn controller(&self) -> Option<(&record::PeerInfo, u32)> {
        let controller = self.controller.as_ref()?;
        Some((&controller.pair.controller, controller.term))
    }

    /// Decides the reaction to one event.
    pub fn step(&mut self, now: Duration, event: ElectionEvent) -> Vec<ElectionAction> {
        match event {
            ElectionEvent::Topology(topology) => self.on_topology(now, topology),
            ElectionEvent::Query(query) => self.on_query(now, query),
            ElectionEvent::Update(update) => self.on_update(now, update),
            ElectionEvent::RecordRead(result) => self.on_read(now, result),
            ElectionEvent::Controller(event) => self.on_control(now, event),
            ElectionEvent::Tick => self.on_tick(now),
        }
    }

    fn on_topology(
        &mut self,
        now: Duration,
        topology: controller::ServiceTopology,
    ) -> Vec<ElectionAction> {
        self.topology = Some(topology.clone());
        self.drive(now, controller::ControllerEvent::Topology(topology))
    }

    fn on_query(&mut self, now: Duration, query: routes::RouteQuery) -> Vec<ElectionAction> {
        let mut actions = Vec::new();
        let to = query.from.control;
        if let Some(update) = self.update_for(&query) {
            actions.push(ElectionAction::Update { to, update });
        }
        if self.core.is_some() {
            self.note_follower(now, query.from.clone());
            actions.extend(self.drive(now, controller::ControllerEvent::PeerAlive(query.from)));
        }
        actions
    }

    fn note_follower(&mut self, now: Duration, info: record::PeerInfo) {
        let life = controller::peer_timeout(self.followers.len());
        self.followers
            .retain(|entry| entry.info.id != info.id && now - entry.heard < life);
        self.followers.push(FollowerEntry { info, heard: now });
    }

    fn update_for(&self, query: &routes::RouteQuery) -> Option<routes::RouteUpdate> {
        let entries = match query.digest == self.table.digest() {
            true => Vec::new(),
            false => self.table.entries().to_vec(),
        };
        let mut update = self.update_with(entries)?;
        let standby = update.pair.as_ref().and_then(|pair| pair.standby.as_ref());
        let is_standby = standby.is_some_and(|peer| peer.key == query.from.key);
        if query.term == update.term && !is_standby {
            update.pair = None;
        }
        Some(update)
    }

    fn update_with(&self, entries: Vec<routes::RouteEntry>) -> Option<routes::RouteUpdate> {
        let controller = self.controller.as_ref()?;
        Some(routes::RouteUpdate {
            service: self.service,
            term: controller.term,
            pair: Some(controller.pair.clone()),
            leading: self.core.is_some(),
            followers: match self.core {
                Some(_) => self.followers.len() as u32,
                None => controller.followers as u32,
            },
            entries,
        })
    }

    fn on_update(&mut self, now: Duration, update: routes::RouteUpdate) -> Vec<ElectionAction> {
        let mut actions = Vec::new();
        if self.table.merge(&update.entries) {
            actions.push(ElectionAction::RoutesChanged);
        }
        let known = self
            .controller
            .as_ref()
            .map_or(0, |controller| controller.term);
        if update.term < known {
            return actions;
        }
        if update.term > known {
            actions.extend(self.step_down(update.term));
        }
        if self.core.is_some() {
            return actions;
        }
        if update.leading {
            self.heard = now;
        }
        let followers = update.followers as usize;
        match (update.pair, &mut self.controller) {
            (Some(pair), controller) => {
                *controller = Some(ControllerView {
                    term: update.term,
                    pair,
                    followers,
                });
            }
            (None, Some(controller)) => controller.followers = followers,
            (None, None) => {}
        }
        actions
    }

    fn step_down(&mut self, term: u32) -> Option<ElectionAction> {
        self.core.take()?;
        Some(ElectionAction::RoleChanged {
            leading: false,
            term,
        })
    }

    fn on_control(
        &mut self,
        now: Duration,
        event: controller::ControllerEvent,
    ) -> Vec<ElectionAction> {
        match (event, self.claim.take()) {
            (controller::ControllerEvent::RecordWritten(result), Some(claim)) => {
                self.on_claimed(now, result, claim)
            }
            (event, claim) => {
                self.claim = claim;
                self.drive(now, event)
            }
        }
    }

    fn on_claimed(
        &mut self,
        now: Duration,
        result: controller::WriteResult,
        claim: record::AssignmentRecord,
    ) -> Vec<ElectionAction> {
        match result {
            controller::WriteResult::Written { revision } => {
                self.become_controller(now, claim, revision)
            }
            controller::WriteResult::Conflict { record, revision } => {
                if record.write_id == claim.write_id {
                    return self.become_controller(now, claim, revision);
                }
                self.follow(now, &record);
                Vec::new()
            }
            controller::WriteResult::Unknown => Vec::new(),
        }
    }

    fn follow(&mut self, now: Duration, record: &record::AssignmentRecord) {
        let known = self
            .controller
            .as_ref()
            .map_or(0, |controller| controller.term);
        if record.term <= known {
            return;
        }
        self.heard = now;
        self.queried = Duration::ZERO;
        self.controller = Some(ControllerView {
            term: record.term,
            pair: routes::ControllerPair {
                controller: record.controller.clone(),
                standby: record.standby.clone(),
            },
            followers: 0,
        });
    }

    fn become_controller(
        &mut self,
        now: Duration,
        claim: record::AssignmentRecord,
        revision: u64,
    ) -> Vec<ElectionAction> {
        let Some(topology) = self.topology.clone() else {
            return Vec::new();
        };
        let known = self
            .controller
            .as_ref()
            .map_or(0, |controller| controller.term);
        if claim.term <= known {
            return Vec::new();
        }
        let term = claim.term;
        self.controller = Some(ControllerView {
            term,
            pair: routes::ControllerPair {
                controller: self.me.clone(),
                standby: claim.standby.clone(),
            },
            followers: 0,
        });
        self.followers.clear();
        let me = self.me.clone();
        let core = controller::ControllerCore::new(now, me, term, topology, claim, revision);
        self.core = Some(core);
        let mut actions = vec![ElectionAction::RoleChanged {
            leading: true,
            term,
        }];
        actions.extend(self.drive(now, controller::ControllerEvent::Tick));
        actions
    }

    fn on_read(&mut self, now: Duration, result: ReadResult) -> Vec<ElectionAction> {
        let Some(topology) = &self.topology else {
            return Vec::new();
        };
        if self.core.is_some() || self.claim.is_some() {
            return Vec::new();
        }
        let (mut record, revision) = match result {
            ReadResult::Failed => return Vec::new(),
            ReadResult::Absent => {
                let record = controller::ControllerCore::first_record(&self.me, topology, 0);
                (record, 0)
            }
            ReadResult::Found { record, revision } => {
                let known = self
                    .controller
                    .as_ref()
                    .map_or(0, |controller| controller.term);
                if record.term > known {
                    if record.controller.key == self.me.key {
                        return self.become_controller(now, *record, revision);
                    }
                    self.follow(now, &record);
                    return Vec::new();
                }
                (*record, revision)
            }
        };
        if revision > 0 {
            record.term = record.next_term();
            record.controller = self.me.clone();
            record.standby = None;
        }
        record.write_id = self.me.key.0 ^ u64::from(record.term);
        self.claim = Some(record.clone());
        vec![ElectionAction::WriteRecord {
            record: Box::new(record),
            revision,
        }]
    }

    fn on_tick(&mut self, now: Duration) -> Vec<ElectionAction> {
        if self.core.is_some() {
            return self.drive(now, controller::ControllerEvent::Tick);
        }
        let mut actions = Vec::new();
        actions.extend(self.query_controller(now));
        if self.controller_lost(now) && now - self.claimed >= CLAIM_INTERVAL {
            self.claimed = now;
            self.claim = None;
            actions.push(ElectionAction::ReadRecord);
        }
        actions
    }

    fn standby(&self) -> bool {
        let standby = self.controller.as_ref().and_then(ControllerView::standby);
        standby.is_some_and(|peer| peer.key == self.me.key)
    }

    fn controller_lost(&self, now: Duration) -> bool {
        let patience = match (&self.controller, self.standby()) {
            (None, _) => Duration::ZERO,
            (Some(_), true) => STANDBY_PATIENCE,
            (Some(_), false) => self.query_interval() * FOLLOWER_PATIENCE_INTERVALS + self.spread,
        };
        self.topology.is_some() && now - self.heard >= patience
    }

    fn query_interval(&self) -> Duration {
        let followers = self
            .controller
            .as_ref()
            .map_or(0, |controller| controller.followers);
        controller::query_interval(followers)
    }

    fn query_controller(&mut self, now: Duration) -> Vec<ElectionAction> {
        let interval = match self.standby() {
            true => STANDBY_INTERVAL,
            false => self.query_interval(),
        };
        let Some(controller) = &self.controller else {
            return Vec::new();
        };
        if now - self.queried < interval {
            return Vec::new();
        }
        self.queried = now;
        let mut targets = vec![controller.pair.controller.control];
        if now - self.heard >= interval * 2 {
            targets.extend(controller.standby().map(|peer| peer.control));
        }
        targets.retain(|target| *target != self.me.control);
        let query = routes::RouteQuery {
            service: self.service,
            from: self.me.clone(),
            term: controller.term,
            digest: self.table.digest(),
        };
        let query = |to| ElectionAction::Query {
            to,
            query: query.clone(),
        };
        targets.into_iter().map(query).collect()
    }

    /// Asks the controller for newer routes at once.
    pub fn refresh(&mut self) {
        self.queried = Duration::ZERO;
    }

    fn drive(&mut self, now: Duration, event: controller::ControllerEvent) -> Vec<ElectionAction> {
        let Some(core) = &mut self.core else {
            return Vec::new();
        };
        let mut actions = Vec::new();
        for action in core.step(now, event) {
            self.translate(now, action, &mut actions);
        }
        self.refresh_standby();
        actions
    }

    fn translate(
        &mut self,
        now: Duration,
        action: controller::ControllerAction,
        actions: &mut Vec<ElectionAction>,
    ) {
        match action {
            controller::ControllerAction::Order { renewer, order } => {
                actions.push(ElectionAction::Order { renewer, order });
            }
            controller::ControllerAction::WriteRecord { record, revision } => {
                actions.push(ElectionAction::WriteRecord { record, revision });
            }
            controller::ControllerAction::Routes(entries) => {
                self.table.merge(&entries);
                actions.push(ElectionAction::RoutesChanged);
                self.push_routes(entries, actions);
            }
            controller::ControllerAction::StepDown { term } => {
                self.heard = now;
                actions.extend(self.step_down(term));
                actions.push(ElectionAction::ReadRecord);
            }
        }
    }

    fn push_routes(&self, entries: Vec<routes::RouteEntry>, actions: &mut Vec<ElectionAction>) {
        let Some(update) = self.update_with(entries) else {
            return;
        };
        for follower in &self.followers {
            actions.push(ElectionAction::Update {
                to: follower.info.control,
                update: update.clone(),
            });
        }
    }

    /// Takes the standby over from the record once it is written.
    fn refresh_standby(&mut self) {
        let Some(core) = &self.core else { return };
        let standby = core.recorded().standby.clone();
        if let Some(controller) = &mut self.controller {
            controller.pair.standby = standby;
        }
    }
}
