//! Renewal of upstreams' grants.
//!
//! Each upstream is renewed by the renewers that its grant set names. A renewer
//! renews without asking anyone, so renewals survive the loss of the
//! controller and of the platform's service. It obeys the controller of the
//! highest term it has seen, and once it sealed an upstream's grant it never renews
//! that generation again: when all renewers of an upstream are sealed, the grant
//! ends within [`grant::expiry_bound`] of the last renewal.

use crate::grant;
use crate::holder;
use crate::ids;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Silence after which a renewer calls an upstream, and the interval of its calls.
const ATTACH_INTERVAL: Duration = Duration::from_millis(275);

/// Interval of unchanged reports to the controller.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// Interval of reports that an upstream is silent.
const SILENCE_INTERVAL: Duration = Duration::from_millis(200);

/// Time after which a charge without an order is given up.
///
/// Only charges that may not renew anything are given up.
const IDLE_CHARGE_LIFE: Duration = Duration::from_secs(60);

/// Controller's order to a renewer about one upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RenewerOrder {
    pub service: ids::ServiceKey,
    pub upstream: ids::UpstreamKey,
    pub address: SocketAddr,
    pub term: u32,
    /// Set to renew from now on; `None` only asks for a report.
    pub set: Option<grant::GrantSet>,
    /// Stop renewing every set up to this generation.
    pub revoke: Option<grant::GrantGeneration>,
}

/// Renewer's view of one upstream, reported to the controller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RenewerReport {
    pub service: ids::ServiceKey,
    pub upstream: ids::UpstreamKey,
    /// Highest term the renewer obeys.
    pub term: u32,
    pub set: grant::GrantSet,
    /// Newest generation the renewer never renews again.
    pub revoked_up_to: grant::GrantGeneration,
    /// Time since the last renewal; `None` if this renewer never sent one.
    pub renewed_ago: Option<Duration>,
    /// Time since the last heartbeat, or since the charge began.
    pub silence: Duration,
    /// Content of the last heartbeat.
    pub heartbeat: Option<HeartbeatSummary>,
}

/// What a renewer last heard from an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeartbeatSummary {
    pub incarnation: u64,
    pub accepted: grant::GrantGeneration,
    pub settled: bool,
    pub releasing: bool,
    pub leaving: bool,
    pub missing_renewer: Option<ids::InstanceKey>,
}

/// Input of the renewer.
#[derive(Clone, Debug)]
pub enum RenewerEvent {
    Heartbeat(holder::Heartbeat),
    Order {
        controller: SocketAddr,
        order: RenewerOrder,
    },
    Tick,
}

/// Output of the renewer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RenewerAction {
    Subscribe {
        address: SocketAddr,
        upstream: ids::UpstreamKey,
    },
    Grant {
        address: SocketAddr,
        order: holder::GrantOrder,
    },
    Renew {
        address: SocketAddr,
        renewal: holder::Renewal,
    },
    Report {
        controller: SocketAddr,
        report: RenewerReport,
    },
}

#[derive(Debug)]
struct RenewalState {
    service: ids::ServiceKey,
    address: SocketAddr,
    controller: SocketAddr,
    set: grant::GrantSet,
    revoked_up_to: grant::GrantGeneration,
    renewed: Option<Duration>,
    heard: Option<(Duration, holder::Heartbeat)>,
    created: Duration,
    ordered: Duration,
    attached: Duration,
    reported: Duration,
    silent: bool,
}

/// All upstreams that one instance keeps.
#[derive(Debug)]
pub struct RenewerTable {
    key: ids::InstanceKey,
    /// Highest term seen per service; kept after the charges are given up.
    terms: BTreeMap<ids::ServiceKey, u32>,
    renewals: BTreeMap<ids::UpstreamKey, RenewalState>,
}

impl RenewerTable {
    /// Creates the table of an instance that keeps no upstream yet.
    pub fn new(key: ids::InstanceKey) -> RenewerTable {
        RenewerTable {
            key,
            terms: BTreeMap::new(),
            renewals: BTreeMap::new(),
        }
    }

    /// Returns the number of upstreams that are renewed.
    pub fn renewing(&self) -> usize {
        let renewing = |renewal: &&RenewalState| renewal.renews(self.key);
        self.renewals.values().filter(renewing).count()
    }

    /// Decides the reaction to one event.
    pub fn step(&mut self, now: Duration, event: RenewerEvent) -> Vec<RenewerAction> {
        match event {
            RenewerEvent::Heartbeat(heartbeat) => self.on_heartbeat(now, heartbeat),
            RenewerEvent::Order { controller, order } => self.on_order(now, controller, order),
            RenewerEvent::Tick => self.on_tick(now),
        }
    }

    fn on_heartbeat(&mut self, now: Duration, heartbeat: holder::Heartbeat) -> Vec<RenewerAction> {
        let mut actions = Vec::new();
        let Some(renewal) = self.renewals.get_mut(&heartbeat.upstream) else {
            return actions;
        };
        let before = renewal.heard.replace((now, heartbeat));
        let changed = before.is_none_or(|(_, old)| !same_state(&old, &heartbeat));
        if let Some(action) = renewal.answer(now, self.key, heartbeat) {
            actions.push(action);
        }
        if changed || renewal.silent {
            renewal.silent = false;
            let term = self.terms.get(&renewal.service).copied().unwrap_or(0);
            actions.push(renewal.report(now, heartbeat.upstream, term));
        }
        actions
    }

    fn on_order(
        &mut self,
        now: Duration,
        controller: SocketAddr,
        order: RenewerOrder,
    ) -> Vec<RenewerAction> {
        let upstream = order.upstream;
        let term = self.terms.entry(order.service).or_insert(0);
        *term = (*term).max(order.term);
        let term = *term;
        let renewal = self
            .renewals
            .entry(upstream)
            .or_insert_with(|| RenewalState::new(now, controller, &order));
        if order.term < term {
            return vec![renewal.report_to(now, upstream, term, controller)];
        }
        renewal.controller = controller;
        renewal.address = order.address;
        renewal.ordered = now;
        if let Some(generation) = order.revoke {
            renewal.revoked_up_to = renewal.revoked_up_to.max(generation);
        }
        let mut actions = Vec::new();
        if let Some(set) = order.set
            && set.generation > renewal.set.generation
        {
            renewal.set = set;
            actions.extend(renewal.push_set(now, self.key));
        }
        actions.push(renewal.report(now, upstream, term));
        actions
    }

    fn on_tick(&mut self, now: Duration) -> Vec<RenewerAction> {
        let mut actions = Vec::new();
        let key = self.key;
        self.renewals
            .retain(|_, renewal| renewal.renews(key) || now - renewal.ordered < IDLE_CHARGE_LIFE);
        for (upstream, renewal) in &mut self.renewals {
            let silence = renewal.silence(now);
            if silence >= ATTACH_INTERVAL && now - renewal.attached >= ATTACH_INTERVAL {
                renewal.attached = now;
                actions.push(RenewerAction::Subscribe {
                    address: renewal.address,
                    upstream: *upstream,
                });
            }
            let silent = silence >= grant::SUSPECT_AFTER;
            let interval = match silent && renewal.renews(key) {
                true => SILENCE_INTERVAL,
                false => REPORT_INTERVAL,
            };
            if silent && !renewal.silent || now - renewal.reported >= interval {
                renewal.silent = silent;
                let term = self.terms.get(&renewal.service).copied().unwrap_or(0);
                actions.push(renewal.report(now, *upstream, term));
            }
        }
        actions
    }
}

impl RenewalState {
    fn new(now: Duration, controller: SocketAddr, order: &RenewerOrder) -> RenewalState {
        RenewalState {
            service: order.service,
            address: order.address,
            controller,
            set: grant::GrantSet::default(),
            revoked_up_to: grant::GrantGeneration::default(),
            renewed: None,
            heard: None,
            created: now,
            ordered: now,
            attached: Duration::ZERO,
            reported: Duration::ZERO,
            silent: false,
        }
    }

    fn renews(&self, key: ids::InstanceKey) -> bool {
        self.set.generation > self.revoked_up_to && self.set.renewers.contains(&key)
    }

    fn silence(&self, now: Duration) -> Duration {
        now - self.heard.map_or(self.created, |(heard, _)| heard)
    }

    /// Sends a new set at once if a heartbeat can still be answered with it.
    fn push_set(&mut self, now: Duration, key: ids::InstanceKey) -> Option<RenewerAction> {
        let (heard, heartbeat) = self.heard?;
        if now - heard >= grant::GRANT_TTL {
            return None;
        }
        self.answer(now, key, heartbeat)
    }

    fn answer(
        &mut self,
        now: Duration,
        key: ids::InstanceKey,
        heartbeat: holder::Heartbeat,
    ) -> Option<RenewerAction> {
        let other_run = heartbeat.incarnation != self.set.incarnation;
        if other_run || !self.renews(key) || heartbeat.accepted > self.set.generation {
            return None;
        }
        self.renewed = Some(now);
        if heartbeat.accepted == self.set.generation {
            let renewal = holder::Renewal {
                seq: heartbeat.seq,
                generation: self.set.generation,
            };
            return Some(RenewerAction::Renew {
                address: self.address,
                renewal,
            });
        }
        let order = holder::GrantOrder {
            seq: heartbeat.seq,
            set: self.set.clone(),
        };
        Some(RenewerAction::Grant {
            address: self.address,
            order,
        })
    }

    fn report(&mut self, now: Duration, upstream: ids::UpstreamKey, term: u32) -> RenewerAction {
        self.reported = now;
        self.report_to(now, upstream, term, self.controller)
    }

    fn report_to(
        &self,
        now: Duration,
        upstream: ids::UpstreamKey,
        term: u32,
        controller: SocketAddr,
    ) -> RenewerAction {
        let heartbeat = self.heard.map(|(_, heartbeat)| HeartbeatSummary {
            incarnation: heartbeat.incarnation,
            accepted: heartbeat.accepted,
            settled: heartbeat.settled,
            releasing: heartbeat.releasing,
            leaving: heartbeat.leaving,
            missing_renewer: heartbeat.missing_renewer,
        });
        let report = RenewerReport {
            service: self.service,
            upstream,
            term,
            set: self.set.clone(),
            revoked_up_to: self.revoked_up_to,
            renewed_ago: self.renewed.map(|renewed| now - renewed),
            silence: self.silence(now),
            heartbeat,
        };
        RenewerAction::Report { controller, report }
    }
}

/// Returns whether two heartbeats differ in nothing but their number.
fn same_state(one: &holder::Heartbeat, other: &holder::Heartbeat) -> bool {
    let other = holder::Heartbeat {
        seq: one.seq,
        ..*other
    };
    *one == other
}
