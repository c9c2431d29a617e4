//! Control core of one instance: its renewals and its part in every service.
//!
//! The core does no I/O: it takes events and returns actions. Messages that an
//! instance addresses to itself never leave the core.

use crate::controller;
use crate::election;
use crate::holder;
use crate::ids;
use crate::record;
use crate::renewer;
use crate::routes;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// Message between two instances.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PeerMessage {
    Query(routes::RouteQuery),
    Update(routes::RouteUpdate),
    Order(renewer::RenewerOrder),
    Report(renewer::RenewerReport),
}

/// Message from an instance to an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum UpstreamMessage {
    /// Asks the upstream to send its heartbeats to this instance.
    Subscribe(ids::UpstreamKey),
    Grant(holder::GrantOrder),
    Renew(holder::Renewal),
}

/// Input of an instance's control core.
#[allow(clippy::large_enum_variant, reason = "events are consumed at once")]
#[derive(Clone, Debug)]
pub enum InstanceEvent {
    Heartbeat(holder::Heartbeat),
    Peer {
        from: ids::InstanceKey,
        address: SocketAddr,
        message: PeerMessage,
    },
    Topology(controller::ServiceTopology),
    /// Result of [`InstanceAction::ReadRecord`].
    RecordRead {
        service: ids::ServiceKey,
        result: election::ReadResult,
    },
    /// Result of [`InstanceAction::WriteRecord`].
    RecordWritten {
        service: ids::ServiceKey,
        result: controller::WriteResult,
    },
    /// An operator confirms that a run of an instance has ended.
    RunEnded(ids::InstanceKey),
    Tick,
}

/// Output of an instance's control core.
#[derive(Clone, Debug)]
pub enum InstanceAction {
    ToPeer {
        address: SocketAddr,
        message: PeerMessage,
    },
    ToUpstream {
        address: SocketAddr,
        message: UpstreamMessage,
    },
    ReadRecord {
        service: ids::ServiceKey,
    },
    /// Write the record by compare-and-swap; revision 0 creates it.
    WriteRecord {
        service: ids::ServiceKey,
        record: Box<record::AssignmentRecord>,
        revision: u64,
    },
    RoutesChanged {
        service: ids::ServiceKey,
    },
    /// This instance became or ceased to be the controller of a service.
    RoleChanged {
        service: ids::ServiceKey,
        leading: bool,
        term: u32,
    },
}

/// All control state of one instance.
#[derive(Debug)]
pub struct InstanceCore {
    me: record::PeerInfo,
    renewer: renewer::RenewerTable,
    services: BTreeMap<ids::ServiceKey, election::ElectionCore>,
}

impl InstanceCore {
    /// Creates the core of an instance that has just started.
    pub fn new(me: record::PeerInfo) -> InstanceCore {
        InstanceCore {
            renewer: renewer::RenewerTable::new(me.key),
            me,
            services: BTreeMap::new(),
        }
    }

    /// Returns the identity and address of this instance.
    pub fn me(&self) -> &record::PeerInfo {
        &self.me
    }

    /// Returns the upstreams that this instance renews.
    pub fn renewer(&self) -> &renewer::RenewerTable {
        &self.renewer
    }

    /// Returns the number of instances that take part in the service with most;
    /// `None` while no service has a known controller.
    pub fn instances(&self) -> Option<usize> {
        self.services
            .values()
            .filter_map(|election| election.instances())
            .max()
    }

    /// Returns this instance's part in a service.
    pub fn election(&self, service: ids::ServiceKey) -> Option<&election::ElectionCore> {
        self.services.get(&service)
    }

    /// Returns this instance's part in a service.
    pub fn election_mut(
        &mut self,
        service: ids::ServiceKey,
    ) -> Option<&mut election::ElectionCore> {
        self.services.get_mut(&service)
    }

    /// Handles one event and returns the resulting actions.
    pub fn step(&mut self, now: Duration, event: InstanceEvent) -> Vec<InstanceAction> {
        let mut actions = Vec::new();
        let mut queue = VecDeque::from([event]);
        while let Some(event) = queue.pop_front() {
            for action in self.react(now, event) {
                match action {
                    InstanceAction::ToPeer { address, message } if address == self.me.control => {
                        queue.push_back(InstanceEvent::Peer {
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

    fn react(&mut self, now: Duration, event: InstanceEvent) -> Vec<InstanceAction> {
        match event {
            InstanceEvent::Heartbeat(heartbeat) => {
                self.step_renewer(now, renewer::RenewerEvent::Heartbeat(heartbeat))
            }
            InstanceEvent::Peer {
                from,
                address,
                message,
            } => self.on_message(now, from, address, message),
            InstanceEvent::Topology(topology) => {
                let service = topology.key;
                let me = self.me.clone();
                let new = || election::ElectionCore::new(now, me, service);
                self.services.entry(service).or_insert_with(new);
                self.step_service(now, service, election::ElectionEvent::Topology(topology))
            }
            InstanceEvent::RecordRead { service, result } => {
                self.step_service(now, service, election::ElectionEvent::RecordRead(result))
            }
            InstanceEvent::RecordWritten { service, result } => {
                let event = controller::ControllerEvent::RecordWritten(result);
                self.step_service(now, service, election::ElectionEvent::Controller(event))
            }
            InstanceEvent::RunEnded(key) => self.step_services(now, || {
                election::ElectionEvent::Controller(controller::ControllerEvent::RunEnded(key))
            }),
            InstanceEvent::Tick => {
                let mut actions = self.step_renewer(now, renewer::RenewerEvent::Tick);
                actions.extend(self.step_services(now, || election::ElectionEvent::Tick));
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
    ) -> Vec<InstanceAction> {
        match message {
            PeerMessage::Query(query) => {
                self.step_service(now, query.service, election::ElectionEvent::Query(query))
            }
            PeerMessage::Update(update) => {
                self.step_service(now, update.service, election::ElectionEvent::Update(update))
            }
            PeerMessage::Order(order) => {
                let controller = address;
                self.step_renewer(now, renewer::RenewerEvent::Order { controller, order })
            }
            PeerMessage::Report(report) => {
                let service = report.service;
                let event = controller::ControllerEvent::Report {
                    renewer: from,
                    report,
                };
                self.step_service(now, service, election::ElectionEvent::Controller(event))
            }
        }
    }

    fn step_renewer(&mut self, now: Duration, event: renewer::RenewerEvent) -> Vec<InstanceAction> {
        let actions = self.renewer.step(now, event);
        actions.into_iter().map(InstanceAction::from).collect()
    }

    fn step_service(
        &mut self,
        now: Duration,
        service: ids::ServiceKey,
        event: election::ElectionEvent,
    ) -> Vec<InstanceAction> {
        let Some(election) = self.services.get_mut(&service) else {
            return Vec::new();
        };
        let actions = election.step(now, event);
        let convert = |action| InstanceAction::from_election(service, action);
        actions.into_iter().map(convert).collect()
    }

    fn step_services(
        &mut self,
        now: Duration,
        event: impl Fn() -> election::ElectionEvent,
    ) -> Vec<InstanceAction> {
        let services: Vec<ids::ServiceKey> = self.services.keys().copied().collect();
        let step = |service| self.step_service(now, service, event());
        services.into_iter().flat_map(step).collect()
    }
}

impl InstanceAction {
    fn from_election(service: ids::ServiceKey, action: election::ElectionAction) -> InstanceAction {
        match action {
            election::ElectionAction::Query { to, query } => InstanceAction::ToPeer {
                address: to,
                message: PeerMessage::Query(query),
            },
            election::ElectionAction::Update { to, update } => InstanceAction::ToPeer {
                address: to,
                message: PeerMessage::Update(update),
            },
            election::ElectionAction::Order { renewer, order } => InstanceAction::ToPeer {
                address: renewer,
                message: PeerMessage::Order(order),
            },
            election::ElectionAction::ReadRecord => InstanceAction::ReadRecord { service },
            election::ElectionAction::WriteRecord { record, revision } => {
                InstanceAction::WriteRecord {
                    service,
                    record,
                    revision,
                }
            }
            election::ElectionAction::RoutesChanged => InstanceAction::RoutesChanged { service },
            election::ElectionAction::RoleChanged { leading, term } => {
                InstanceAction::RoleChanged {
                    service,
                    leading,
                    term,
                }
            }
        }
    }
}

impl From<renewer::RenewerAction> for InstanceAction {
    fn from(action: renewer::RenewerAction) -> InstanceAction {
        match action {
            renewer::RenewerAction::Subscribe { address, upstream } => InstanceAction::ToUpstream {
                address,
                message: UpstreamMessage::Subscribe(upstream),
            },
            renewer::RenewerAction::Grant { address, order } => InstanceAction::ToUpstream {
                address,
                message: UpstreamMessage::Grant(order),
            },
            renewer::RenewerAction::Renew { address, renewal } => InstanceAction::ToUpstream {
                address,
                message: UpstreamMessage::Renew(renewal),
            },
            renewer::RenewerAction::Report { controller, report } => InstanceAction::ToPeer {
                address: controller,
                message: PeerMessage::Report(report),
            },
        }
    }
}
