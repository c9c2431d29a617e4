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
pub enum LeadEvent {
    Plan(controller::ServicePlan),
    Query(routes::RouteQuery),
    Update(routes::RouteUpdate),
    Read(ReadResult),
    Control(controller::ControllerEvent),
    Tick,
}

/// Output of a service's leadership.
#[derive(Clone, Debug)]
pub enum LeadAction {
    Query {
        to: SocketAddr,
        query: routes::RouteQuery,
    },
    Update {
        to: SocketAddr,
        update: routes::RouteUpdate,
    },
    /// Read the record.
    Read,
    /// Write the record by compare-and-swap; revision 0 creates it.
    Write {
        record: Box<record::AssignmentRecord>,
        revision: u64,
    },
    Order {
        keeper: SocketAddr,
        order: crate::keeper::KeeperOrder,
    },
    /// The routes changed.
    Routed,
    /// This instance became or ceased to be the controller.
    Role { leading: bool, term: u32 },
}

#[derive(Clone, Debug)]
struct LeaderView {
    term: u32,
    pair: routes::LeaderPair,
    followers: usize,
}

impl LeaderView {
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
pub struct LeadCore {
    me: record::PeerInfo,
    service: ids::ServiceKey,
    plan: Option<controller::ServicePlan>,
    leader: Option<LeaderView>,
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

impl LeadCore {
    /// Creates the state of an instance that knows nothing of the service.
    pub fn new(now: Duration, me: record::PeerInfo, service: ids::ServiceKey) -> LeadCore {
        let spread = (me.key.0 ^ service.0) % PATIENCE_SPREAD_MS;
        LeadCore {
            me,
            service,
            plan: None,
            leader: None,
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
        let leader = self.leader.as_ref()?;
        Some(
            1 + match self.core {
                Some(_) => self.followers.len(),
                None => leader.followers,
            },
        )
    }

    /// Returns the controller and its term, as far as known.
    pub fn leader(&self) -> Option<(&record::PeerInfo, u32)> {
        let leader = self.leader.as_ref()?;
        Some((&leader.pair.controller, leader.term))
    }

    /// Decides the reaction to one event.
    pub fn step(&mut self, now: Duration, event: LeadEvent) -> Vec<LeadAction> {
        match event {
            LeadEvent::Plan(plan) => self.on_plan(now, plan),
            LeadEvent::Query(query) => self.on_query(now, query),
            LeadEvent::Update(update) => self.on_update(now, update),
            LeadEvent::Read(result) => self.on_read(now, result),
            LeadEvent::Control(event) => self.on_control(now, event),
            LeadEvent::Tick => self.on_tick(now),
        }
    }

    fn on_plan(&mut self, now: Duration, plan: controller::ServicePlan) -> Vec<LeadAction> {
        self.plan = Some(plan.clone());
        self.drive(now, controller::ControllerEvent::Plan(plan))
    }

    fn on_query(&mut self, now: Duration, query: routes::RouteQuery) -> Vec<LeadAction> {
        let mut actions = Vec::new();
        let to = query.from.control;
        if let Some(update) = self.update_for(&query) {
            actions.push(LeadAction::Update { to, update });
        }
        if self.core.is_some() {
            self.note_follower(now, query.from.clone());
            actions.extend(self.drive(now, controller::ControllerEvent::Peer(query.from)));
        }
        actions
    }

    fn note_follower(&mut self, now: Duration, info: record::PeerInfo) {
        let life = controller::peer_life(self.followers.len());
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
        let leader = self.leader.as_ref()?;
        Some(routes::RouteUpdate {
            service: self.service,
            term: leader.term,
            pair: Some(leader.pair.clone()),
            leading: self.core.is_some(),
            followers: match self.core {
                Some(_) => self.followers.len() as u32,
                None => leader.followers as u32,
            },
            entries,
        })
    }

    fn on_update(&mut self, now: Duration, update: routes::RouteUpdate) -> Vec<LeadAction> {
        let mut actions = Vec::new();
        if self.table.merge(&update.entries) {
            actions.push(LeadAction::Routed);
        }
        let known = self.leader.as_ref().map_or(0, |leader| leader.term);
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
        match (update.pair, &mut self.leader) {
            (Some(pair), leader) => {
                *leader = Some(LeaderView {
                    term: update.term,
                    pair,
                    followers,
                });
            }
            (None, Some(leader)) => leader.followers = followers,
            (None, None) => {}
        }
        actions
    }

    fn step_down(&mut self, term: u32) -> Option<LeadAction> {
        self.core.take()?;
        Some(LeadAction::Role {
            leading: false,
            term,
        })
    }

    fn on_control(&mut self, now: Duration, event: controller::ControllerEvent) -> Vec<LeadAction> {
        match (event, self.claim.take()) {
            (controller::ControllerEvent::Write(result), Some(claim)) => {
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
    ) -> Vec<LeadAction> {
        match result {
            controller::WriteResult::Written { revision } => self.lead(now, claim, revision),
            controller::WriteResult::Conflict { record, revision } => {
                if record.attempt == claim.attempt {
                    return self.lead(now, claim, revision);
                }
                self.follow(now, &record);
                Vec::new()
            }
            controller::WriteResult::Unknown => Vec::new(),
        }
    }

    fn follow(&mut self, now: Duration, record: &record::AssignmentRecord) {
        let known = self.leader.as_ref().map_or(0, |leader| leader.term);
        if record.term <= known {
            return;
        }
        self.heard = now;
        self.queried = Duration::ZERO;
        self.leader = Some(LeaderView {
            term: record.term,
            pair: routes::LeaderPair {
                controller: record.controller.clone(),
                standby: record.standby.clone(),
            },
            followers: 0,
        });
    }

    fn lead(
        &mut self,
        now: Duration,
        claim: record::AssignmentRecord,
        revision: u64,
    ) -> Vec<LeadAction> {
        let Some(plan) = self.plan.clone() else {
            return Vec::new();
        };
        let known = self.leader.as_ref().map_or(0, |leader| leader.term);
        if claim.term <= known {
            return Vec::new();
        }
        let term = claim.term;
        self.leader = Some(LeaderView {
            term,
            pair: routes::LeaderPair {
                controller: self.me.clone(),
                standby: claim.standby.clone(),
            },
            followers: 0,
        });
        self.followers.clear();
        let me = self.me.clone();
        let core = controller::ControllerCore::new(now, me, term, plan, claim, revision);
        self.core = Some(core);
        let mut actions = vec![LeadAction::Role {
            leading: true,
            term,
        }];
        actions.extend(self.drive(now, controller::ControllerEvent::Tick));
        actions
    }

    fn on_read(&mut self, now: Duration, result: ReadResult) -> Vec<LeadAction> {
        let Some(plan) = &self.plan else {
            return Vec::new();
        };
        if self.core.is_some() || self.claim.is_some() {
            return Vec::new();
        }
        let (mut record, revision) = match result {
            ReadResult::Failed => return Vec::new(),
            ReadResult::Absent => {
                let record = controller::ControllerCore::first_record(&self.me, plan, 0);
                (record, 0)
            }
            ReadResult::Found { record, revision } => {
                let known = self.leader.as_ref().map_or(0, |leader| leader.term);
                if record.term > known {
                    if record.controller.key == self.me.key {
                        return self.lead(now, *record, revision);
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
        record.attempt = self.me.key.0 ^ u64::from(record.term);
        self.claim = Some(record.clone());
        vec![LeadAction::Write {
            record: Box::new(record),
            revision,
        }]
    }

    fn on_tick(&mut self, now: Duration) -> Vec<LeadAction> {
        if self.core.is_some() {
            return self.drive(now, controller::ControllerEvent::Tick);
        }
        let mut actions = Vec::new();
        actions.extend(self.query_leader(now));
        if self.leader_lost(now) && now - self.claimed >= CLAIM_INTERVAL {
            self.claimed = now;
            self.claim = None;
            actions.push(LeadAction::Read);
        }
        actions
    }

    fn standby(&self) -> bool {
        let standby = self.leader.as_ref().and_then(LeaderView::standby);
        standby.is_some_and(|peer| peer.key == self.me.key)
    }

    fn leader_lost(&self, now: Duration) -> bool {
        let patience = match (&self.leader, self.standby()) {
            (None, _) => Duration::ZERO,
            (Some(_), true) => STANDBY_PATIENCE,
            (Some(_), false) => self.query_interval() * FOLLOWER_PATIENCE_INTERVALS + self.spread,
        };
        self.plan.is_some() && now - self.heard >= patience
    }

    fn query_interval(&self) -> Duration {
        let followers = self.leader.as_ref().map_or(0, |leader| leader.followers);
        controller::query_interval(followers)
    }

    fn query_leader(&mut self, now: Duration) -> Vec<LeadAction> {
        let interval = match self.standby() {
            true => STANDBY_INTERVAL,
            false => self.query_interval(),
        };
        let Some(leader) = &self.leader else {
            return Vec::new();
        };
        if now - self.queried < interval {
            return Vec::new();
        }
        self.queried = now;
        let mut targets = vec![leader.pair.controller.control];
        if now - self.heard >= interval * 2 {
            targets.extend(leader.standby().map(|peer| peer.control));
        }
        targets.retain(|target| *target != self.me.control);
        let query = routes::RouteQuery {
            service: self.service,
            from: self.me.clone(),
            term: leader.term,
            digest: self.table.digest(),
        };
        let query = |to| LeadAction::Query {
            to,
            query: query.clone(),
        };
        targets.into_iter().map(query).collect()
    }

    /// Asks the controller for newer routes at once.
    pub fn refresh(&mut self) {
        self.queried = Duration::ZERO;
    }

    fn drive(&mut self, now: Duration, event: controller::ControllerEvent) -> Vec<LeadAction> {
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
        actions: &mut Vec<LeadAction>,
    ) {
        match action {
            controller::ControllerAction::Order { keeper, order } => {
                actions.push(LeadAction::Order { keeper, order });
            }
            controller::ControllerAction::Write { record, revision } => {
                actions.push(LeadAction::Write { record, revision });
            }
            controller::ControllerAction::Routes(entries) => {
                self.table.merge(&entries);
                actions.push(LeadAction::Routed);
                self.push_routes(entries, actions);
            }
            controller::ControllerAction::Depose { term } => {
                self.heard = now;
                actions.extend(self.step_down(term));
                actions.push(LeadAction::Read);
            }
        }
    }

    fn push_routes(&self, entries: Vec<routes::RouteEntry>, actions: &mut Vec<LeadAction>) {
        let Some(update) = self.update_with(entries) else {
            return;
        };
        for follower in &self.followers {
            actions.push(LeadAction::Update {
                to: follower.info.control,
                update: update.clone(),
            });
        }
    }

    /// Takes the standby over from the record once it is written.
    fn refresh_standby(&mut self) {
        let Some(core) = &self.core else { return };
        let standby = core.recorded().standby.clone();
        if let Some(leader) = &mut self.leader {
            leader.pair.standby = standby;
        }
    }
}
