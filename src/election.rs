//! Election of one service's controller.
//!
//! Every instance takes part in every service: as its controller, or as a follower
//! that queries the controller and stores the routes. When the controller is
//! silent for too long, an instance claims the next term by a compare-and-swap of
//! the assignment record, which makes terms unique. The standby, a follower chosen
//! by the controller, waits less than the others.

use crate::controller;
use crate::ids;
use crate::record;
use crate::routes;
use std::net::SocketAddr;
use std::time::Duration;

/// Interval at which the standby queries the controller.
const STANDBY_QUERY_INTERVAL: Duration = Duration::from_millis(150);

/// Silence of the controller after which the standby claims the next term.
const STANDBY_TIMEOUT: Duration = Duration::from_millis(600);

/// Silence of the controller after which any follower claims the next term, in
/// query intervals.
const FOLLOWER_TIMEOUT_INTERVALS: u32 = 4;

/// Upper bound of the time added to a follower's timeout, which differs per
/// instance, so that followers do not claim the next term at the same time.
const MAX_TIMEOUT_JITTER_MS: u64 = 1000;

/// Minimum time between two claims, each of which reads the record first.
const CLAIM_INTERVAL: Duration = Duration::from_millis(300);

/// Outcome of reading the record.
#[derive(Clone, Debug)]
pub enum ReadResult {
    Absent,
    Found {
        record: Box<record::AssignmentRecord>,
        revision: u64,
    },
    Failed,
}

/// Input of a service's election.
#[derive(Clone, Debug)]
pub enum ElectionEvent {
    Topology(controller::ServiceTopology),
    Query(routes::RouteQuery),
    Update(routes::RouteUpdate),
    RecordRead(ReadResult),
    Controller(controller::ControllerEvent),
    Tick,
}

/// Output of a service's election.
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
    RoutesChanged,
    /// This instance became or ceased to be the controller.
    RoleChanged {
        leading: bool,
        term: u32,
    },
}

/// What is known about the service's controller, which may be this instance.
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
    last_query: Duration,
}

/// State of one instance's part in one service.
#[derive(Debug)]
pub struct ElectionCore {
    me: record::PeerInfo,
    service: ids::ServiceKey,
    topology: Option<controller::ServiceTopology>,
    controller: Option<ControllerView>,
    /// When the controller was last heard, or a new one found in the record.
    last_heard: Duration,
    last_query: Duration,
    last_claim: Duration,
    /// Time added to the timeout as a follower.
    jitter: Duration,
    /// Record whose pending write claims a term for this instance.
    claim: Option<record::AssignmentRecord>,
    table: routes::RouteTable,
    followers: Vec<FollowerEntry>,
    /// Present while this instance is the controller.
    core: Option<controller::ControllerCore>,
}

impl ElectionCore {
    /// Creates the state of an instance that knows nothing about the service.
    pub fn new(now: Duration, me: record::PeerInfo, service: ids::ServiceKey) -> ElectionCore {
        let jitter = (me.key.0 ^ service.0) % MAX_TIMEOUT_JITTER_MS;
        ElectionCore {
            me,
            service,
            topology: None,
            controller: None,
            last_heard: now,
            last_query: Duration::ZERO,
            last_claim: Duration::ZERO,
            jitter: Duration::from_millis(jitter),
            claim: None,
            table: routes::RouteTable::default(),
            followers: Vec::new(),
            core: None,
        }
    }

    /// Returns the routes that this instance knows.
    pub fn table(&self) -> &routes::RouteTable {
        &self.table
    }

    /// Returns the controller's state if this instance is the controller.
    pub fn core(&self) -> Option<&controller::ControllerCore> {
        self.core.as_ref()
    }

    /// Returns the number of instances that take part, the controller included;
    /// `None` while the controller is unknown.
    pub fn instances(&self) -> Option<usize> {
        let controller = self.controller.as_ref()?;
        Some(
            1 + match self.core {
                Some(_) => self.followers.len(),
                None => controller.followers,
            },
        )
    }

    /// Returns the controller and its term, if known.
    pub fn controller(&self) -> Option<(&record::PeerInfo, u32)> {
        let controller = self.controller.as_ref()?;
        Some((&controller.pair.controller, controller.term))
    }

    /// Handles one event and returns the resulting actions.
    pub fn step(&mut self, now: Duration, event: ElectionEvent) -> Vec<ElectionAction> {
        match event {
            ElectionEvent::Topology(topology) => self.on_topology(now, topology),
            ElectionEvent::Query(query) => self.on_query(now, query),
            ElectionEvent::Update(update) => self.on_update(now, update),
            ElectionEvent::RecordRead(result) => self.on_record_read(now, result),
            ElectionEvent::Controller(event) => self.on_controller_event(now, event),
            ElectionEvent::Tick => self.on_tick(now),
        }
    }

    fn on_topology(
        &mut self,
        now: Duration,
        topology: controller::ServiceTopology,
    ) -> Vec<ElectionAction> {
        self.topology = Some(topology.clone());
        self.step_controller(now, controller::ControllerEvent::Topology(topology))
    }

    fn on_query(&mut self, now: Duration, query: routes::RouteQuery) -> Vec<ElectionAction> {
        let mut actions = Vec::new();
        let to = query.from.control;
        if let Some(update) = self.update_for(&query) {
            actions.push(ElectionAction::Update { to, update });
        }
        if self.core.is_some() {
            self.record_follower(now, query.from.clone());
            actions.extend(
                self.step_controller(now, controller::ControllerEvent::PeerAlive(query.from)),
            );
        }
        actions
    }

    fn record_follower(&mut self, now: Duration, info: record::PeerInfo) {
        let timeout = controller::peer_timeout(self.followers.len());
        self.followers
            .retain(|entry| entry.info.id != info.id && now - entry.last_query < timeout);
        self.followers.push(FollowerEntry {
            info,
            last_query: now,
        });
    }

    /// Builds the update that answers a query, leaving out what the follower knows.
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

    /// Builds an update with `entries`; `None` while the controller is unknown.
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
        let known_term = self
            .controller
            .as_ref()
            .map_or(0, |controller| controller.term);
        if update.term < known_term {
            return actions;
        }
        if update.term > known_term {
            actions.extend(self.step_down(update.term));
        }
        if self.core.is_some() {
            return actions;
        }
        if update.leading {
            self.last_heard = now;
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

    fn on_controller_event(
        &mut self,
        now: Duration,
        event: controller::ControllerEvent,
    ) -> Vec<ElectionAction> {
        match (event, self.claim.take()) {
            (controller::ControllerEvent::RecordWritten(result), Some(claim)) => {
                self.on_claim_result(now, result, claim)
            }
            (event, claim) => {
                self.claim = claim;
                self.step_controller(now, event)
            }
        }
    }

    fn on_claim_result(
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

    /// Follows the controller that a stored record names, if it is newer.
    fn follow(&mut self, now: Duration, record: &record::AssignmentRecord) {
        let known_term = self
            .controller
            .as_ref()
            .map_or(0, |controller| controller.term);
        if record.term <= known_term {
            return;
        }
        self.last_heard = now;
        self.last_query = Duration::ZERO;
        self.controller = Some(ControllerView {
            term: record.term,
            pair: routes::ControllerPair {
                controller: record.controller.clone(),
                standby: record.standby.clone(),
            },
            followers: 0,
        });
    }

    /// Starts to act as the controller in the term of a stored claim.
    fn become_controller(
        &mut self,
        now: Duration,
        claim: record::AssignmentRecord,
        revision: u64,
    ) -> Vec<ElectionAction> {
        let Some(topology) = self.topology.clone() else {
            return Vec::new();
        };
        let known_term = self
            .controller
            .as_ref()
            .map_or(0, |controller| controller.term);
        if claim.term <= known_term {
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
        actions.extend(self.step_controller(now, controller::ControllerEvent::Tick));
        actions
    }

    /// Claims the next term, unless the stored record shows a newer controller.
    fn on_record_read(&mut self, now: Duration, result: ReadResult) -> Vec<ElectionAction> {
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
                let known_term = self
                    .controller
                    .as_ref()
                    .map_or(0, |controller| controller.term);
                if record.term > known_term {
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
            return self.step_controller(now, controller::ControllerEvent::Tick);
        }
        let mut actions = Vec::new();
        actions.extend(self.query_controller(now));
        if self.is_controller_lost(now) && now - self.last_claim >= CLAIM_INTERVAL {
            self.last_claim = now;
            self.claim = None;
            actions.push(ElectionAction::ReadRecord);
        }
        actions
    }

    fn is_standby(&self) -> bool {
        let standby = self.controller.as_ref().and_then(ControllerView::standby);
        standby.is_some_and(|peer| peer.key == self.me.key)
    }

    fn is_controller_lost(&self, now: Duration) -> bool {
        let timeout = match (&self.controller, self.is_standby()) {
            (None, _) => Duration::ZERO,
            (Some(_), true) => STANDBY_TIMEOUT,
            (Some(_), false) => self.query_interval() * FOLLOWER_TIMEOUT_INTERVALS + self.jitter,
        };
        self.topology.is_some() && now - self.last_heard >= timeout
    }

    fn query_interval(&self) -> Duration {
        let followers = self
            .controller
            .as_ref()
            .map_or(0, |controller| controller.followers);
        controller::query_interval(followers)
    }

    fn query_controller(&mut self, now: Duration) -> Vec<ElectionAction> {
        let interval = match self.is_standby() {
            true => STANDBY_QUERY_INTERVAL,
            false => self.query_interval(),
        };
        let Some(controller) = &self.controller else {
            return Vec::new();
        };
        if now - self.last_query < interval {
            return Vec::new();
        }
        self.last_query = now;
        let mut targets = vec![controller.pair.controller.control];
        if now - self.last_heard >= interval * 2 {
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

    /// Makes the next tick query the controller for newer routes.
    pub fn refresh(&mut self) {
        self.last_query = Duration::ZERO;
    }

    /// Passes an event to the controller core, if this instance is the controller.
    fn step_controller(
        &mut self,
        now: Duration,
        event: controller::ControllerEvent,
    ) -> Vec<ElectionAction> {
        let Some(core) = &mut self.core else {
            return Vec::new();
        };
        let mut actions = Vec::new();
        for action in core.step(now, event) {
            self.perform(now, action, &mut actions);
        }
        self.update_standby();
        actions
    }

    fn perform(
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
                self.last_heard = now;
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

    /// Adopts the standby of the record that was last known to be stored.
    fn update_standby(&mut self) {
        let Some(core) = &self.core else { return };
        let standby = core.recorded().standby.clone();
        if let Some(controller) = &mut self.controller {
            controller.pair.standby = standby;
        }
    }
}
