//! Control core of one instance: its keeper and its part in every service.
//!
//! Pure like its parts. Messages that an instance addresses to itself never
//! leave the core.

use crate::controller;
use crate::holder;
use crate::ids;
use crate::keeper;
use crate::lead;
use crate::record;
use crate::routes;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// Message between two instances.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PeerMessage {
    Query(routes::RouteQuery),
    Update(routes::RouteUpdate),
    Order(keeper::KeeperOrder),
    Report(keeper::KeeperReport),
}

/// Message of an instance to a server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ServerMessage {
    /// Asks for heartbeats.
    Attach(ids::UpstreamKey),
    Grant(holder::GrantOrder),
    Renew(holder::Renewal),
}

/// Input of an instance's control core.
#[allow(clippy::large_enum_variant, reason = "events are consumed at once")]
#[derive(Clone, Debug)]
pub enum NodeEvent {
    Heartbeat(holder::Heartbeat),
    Peer {
        from: ids::InstanceKey,
        address: SocketAddr,
        message: PeerMessage,
    },
    Plan(controller::ServicePlan),
    Read {
        service: ids::ServiceKey,
        result: lead::ReadResult,
    },
    Written {
        service: ids::ServiceKey,
        result: controller::WriteResult,
    },
    /// An operator vouches that a run of an instance has ended.
    Gone(ids::InstanceKey),
    Tick,
}

/// Output of an instance's control core.
#[derive(Clone, Debug)]
pub enum NodeAction {
    ToPeer {
        address: SocketAddr,
        message: PeerMessage,
    },
    ToServer {
        address: SocketAddr,
        message: ServerMessage,
    },
    Read {
        service: ids::ServiceKey,
    },
    Write {
        service: ids::ServiceKey,
        record: Box<record::AssignmentRecord>,
        revision: u64,
    },
    Routed {
        service: ids::ServiceKey,
    },
    Role {
        service: ids::ServiceKey,
        leading: bool,
        term: u32,
    },
}

/// All control state of one instance.
#[derive(Debug)]
pub struct NodeCore {
    me: record::PeerInfo,
    keeper: keeper::KeeperTable,
    leads: BTreeMap<ids::ServiceKey, lead::LeadCore>,
}

impl NodeCore {
    /// Creates the core of an instance that has just started.
    pub fn new(me: record::PeerInfo) -> NodeCore {
        NodeCore {
            keeper: keeper::KeeperTable::new(me.key),
            me,
            leads: BTreeMap::new(),
        }
    }

    /// Returns this instance as others know it.
    pub fn me(&self) -> &record::PeerInfo {
        &self.me
    }

    /// Returns the keeper.
    pub fn keeper(&self) -> &keeper::KeeperTable {
        &self.keeper
    }

    /// Returns how many instances take part in the busiest service.
    pub fn instances(&self) -> Option<usize> {
        self.leads
            .values()
            .filter_map(|lead| lead.instances())
            .max()
    }

    /// Returns the part in one service.
    pub fn lead(&self, service: ids::ServiceKey) -> Option<&lead::LeadCore> {
        self.leads.get(&service)
    }

    /// Returns the part in one service.
    pub fn lead_mut(&mut self, service: ids::ServiceKey) -> Option<&mut lead::LeadCore> {
        self.leads.get_mut(&service)
    }

    /// Decides the reaction to one event.
    pub fn step(&mut self, now: Duration, event: NodeEvent) -> Vec<NodeAction> {
        let mut actions = Vec::new();
        let mut queue = VecDeque::from([event]);
        while let Some(event) = queue.pop_front() {
            for action in self.react(now, event) {
                match action {
                    NodeAction::ToPeer { address, message } if address == self.me.control => {
                        queue.push_back(NodeEvent::Peer {
                            from: self.me.key,
                            address,
                            message,
                        });
                    }
                    action => actions.push(action),
                }
            }
        }
        actions
    }

    fn react(&mut self, now: Duration, event: NodeEvent) -> Vec<NodeAction> {
        match event {
            NodeEvent::Heartbeat(heartbeat) => {
                self.step_keeper(now, keeper::KeeperEvent::Heartbeat(heartbeat))
            }
            NodeEvent::Peer {
                from,
                address,
                message,
            } => self.on_message(now, from, address, message),
            NodeEvent::Plan(plan) => {
                let service = plan.key;
                let me = self.me.clone();
                let new = || lead::LeadCore::new(now, me, service);
                self.leads.entry(service).or_insert_with(new);
                self.step_lead(now, service, lead::LeadEvent::Plan(plan))
            }
            NodeEvent::Read { service, result } => {
                self.step_lead(now, service, lead::LeadEvent::Read(result))
            }
            NodeEvent::Written { service, result } => {
                let event = controller::ControllerEvent::Write(result);
                self.step_lead(now, service, lead::LeadEvent::Control(event))
            }
            NodeEvent::Gone(key) => self.step_leads(now, || {
                lead::LeadEvent::Control(controller::ControllerEvent::Gone(key))
            }),
            NodeEvent::Tick => {
                let mut actions = self.step_keeper(now, keeper::KeeperEvent::Tick);
                actions.extend(self.step_leads(now, || lead::LeadEvent::Tick));
                actions
            }
        }
    }

    fn on_message(
        &mut self,
        now: Duration,
        from: ids::InstanceKey,
        address: SocketAddr,
        message: PeerMessage,
    ) -> Vec<NodeAction> {
        match message {
            PeerMessage::Query(query) => {
                self.step_lead(now, query.service, lead::LeadEvent::Query(query))
            }
            PeerMessage::Update(update) => {
                self.step_lead(now, update.service, lead::LeadEvent::Update(update))
            }
            PeerMessage::Order(order) => {
                let controller = address;
                self.step_keeper(now, keeper::KeeperEvent::Order { controller, order })
            }
            PeerMessage::Report(report) => {
                let service = report.service;
                let event = controller::ControllerEvent::Report {
                    keeper: from,
                    report,
                };
                self.step_lead(now, service, lead::LeadEvent::Control(event))
            }
        }
    }

    fn step_keeper(&mut self, now: Duration, event: keeper::KeeperEvent) -> Vec<NodeAction> {
        let actions = self.keeper.step(now, event);
        actions.into_iter().map(NodeAction::from).collect()
    }

    fn step_lead(
        &mut self,
        now: Duration,
        service: ids::ServiceKey,
        event: lead::LeadEvent,
    ) -> Vec<NodeAction> {
        let Some(lead) = self.leads.get_mut(&service) else {
            return Vec::new();
        };
        let actions = lead.step(now, event);
        let lift = |action| NodeAction::from_lead(service, action);
        actions.into_iter().map(lift).collect()
    }

    fn step_leads(
        &mut self,
        now: Duration,
        event: impl Fn() -> lead::LeadEvent,
    ) -> Vec<NodeAction> {
        let services: Vec<ids::ServiceKey> = self.leads.keys().copied().collect();
        let step = |service| self.step_lead(now, service, event());
        services.into_iter().flat_map(step).collect()
    }
}

impl NodeAction {
    fn from_lead(service: ids::ServiceKey, action: lead::LeadAction) -> NodeAction {
        match action {
            lead::LeadAction::Query { to, query } => NodeAction::ToPeer {
                address: to,
                message: PeerMessage::Query(query),
            },
            lead::LeadAction::Update { to, update } => NodeAction::ToPeer {
                address: to,
                message: PeerMessage::Update(update),
            },
            lead::LeadAction::Order { keeper, order } => NodeAction::ToPeer {
                address: keeper,
                message: PeerMessage::Order(order),
            },
            lead::LeadAction::Read => NodeAction::Read { service },
            lead::LeadAction::Write { record, revision } => NodeAction::Write {
                service,
                record,
                revision,
            },
            lead::LeadAction::Routed => NodeAction::Routed { service },
            lead::LeadAction::Role { leading, term } => NodeAction::Role {
                service,
                leading,
                term,
            },
        }
    }
}

impl From<keeper::KeeperAction> for NodeAction {
    fn from(action: keeper::KeeperAction) -> NodeAction {
        match action {
            keeper::KeeperAction::Attach { address, upstream } => NodeAction::ToServer {
                address,
                message: ServerMessage::Attach(upstream),
            },
            keeper::KeeperAction::Grant { address, order } => NodeAction::ToServer {
                address,
                message: ServerMessage::Grant(order),
            },
            keeper::KeeperAction::Renew { address, renewal } => NodeAction::ToServer {
                address,
                message: ServerMessage::Renew(renewal),
            },
            keeper::KeeperAction::Report { controller, report } => NodeAction::ToPeer {
                address: controller,
                message: PeerMessage::Report(report),
            },
        }
    }
}
