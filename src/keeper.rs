//! Renewal of servers' grants.
//!
//! Each server is renewed by the keepers that its grant set names. A keeper
//! renews without asking anyone, so renewals survive the loss of the
//! controller and of the platform's service. It obeys the controller of the
//! highest term it has seen, and once it sealed a server's grant it never renews
//! that generation again: when all keepers of a server are sealed, the grant
//! ends within [`grant::expiry_bound`] of the last renewal.

use crate::grant;
use crate::holder;
use crate::ids;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Silence after which a keeper calls a server, and the interval of its calls.
const ATTACH_INTERVAL: Duration = Duration::from_millis(275);

/// Interval of unchanged reports to the controller.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// Interval of reports that a server is silent.
const SILENCE_INTERVAL: Duration = Duration::from_millis(200);

/// Time after which a charge without an order is given up.
///
/// Only charges that may not renew anything are given up.
const IDLE_CHARGE_LIFE: Duration = Duration::from_secs(60);

/// Controller's order to a keeper about one server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeeperOrder {
    pub service: ids::ServiceKey,
    pub upstream: ids::UpstreamKey,
    pub address: SocketAddr,
    pub term: u32,
    /// Set to renew from now on; `None` only asks for a report.
    pub set: Option<grant::GrantSet>,
    /// Stop renewing every set up to this generation.
    pub seal: Option<grant::GrantGeneration>,
}

/// Keeper's view of one server, reported to the controller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeeperReport {
    pub service: ids::ServiceKey,
    pub upstream: ids::UpstreamKey,
    /// Highest term the keeper obeys.
    pub term: u32,
    pub set: grant::GrantSet,
    /// Newest generation the keeper never renews again.
    pub sealed_to: grant::GrantGeneration,
    /// Time since the last renewal; `None` if this keeper never sent one.
    pub renewed_ago: Option<Duration>,
    /// Time since the last heartbeat, or since the charge began.
    pub silence: Duration,
    /// Content of the last heartbeat.
    pub server: Option<ServerView>,
}

/// What a keeper last heard from a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServerView {
    pub incarnation: u64,
    pub accepted: grant::GrantGeneration,
    pub settled: bool,
    pub releasing: bool,
    pub leaving: bool,
    pub missing: Option<ids::InstanceKey>,
}

/// Input of the keeper.
#[derive(Clone, Debug)]
pub enum KeeperEvent {
    Heartbeat(holder::Heartbeat),
    Order {
        controller: SocketAddr,
        order: KeeperOrder,
    },
    Tick,
}

/// Output of the keeper.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeeperAction {
    Attach {
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
        report: KeeperReport,
    },
}

#[derive(Debug)]
struct KeeperCharge {
    service: ids::ServiceKey,
    address: SocketAddr,
    controller: SocketAddr,
    set: grant::GrantSet,
    sealed_to: grant::GrantGeneration,
    renewed: Option<Duration>,
    heard: Option<(Duration, holder::Heartbeat)>,
    created: Duration,
    ordered: Duration,
    attached: Duration,
    reported: Duration,
    silent: bool,
}

/// All servers that one instance keeps.
#[derive(Debug)]
pub struct KeeperTable {
    key: ids::InstanceKey,
    /// Highest term seen per service; kept after the charges are given up.
    terms: BTreeMap<ids::ServiceKey, u32>,
    charges: BTreeMap<ids::UpstreamKey, KeeperCharge>,
}

impl KeeperTable {
    /// Creates the table of an instance that keeps no server yet.
    pub fn new(key: ids::InstanceKey) -> KeeperTable {
        KeeperTable {
            key,
            terms: BTreeMap::new(),
            charges: BTreeMap::new(),
        }
    }

    /// Returns the number of servers that are renewed.
    pub fn renewing(&self) -> usize {
        let renewing = |charge: &&KeeperCharge| charge.renews(self.key);
        self.charges.values().filter(renewing).count()
    }

    /// Decides the reaction to one event.
    pub fn step(&mut self, now: Duration, event: KeeperEvent) -> Vec<KeeperAction> {
        match event {
            KeeperEvent::Heartbeat(heartbeat) => self.on_heartbeat(now, heartbeat),
            KeeperEvent::Order { controller, order } => self.on_order(now, controller, order),
            KeeperEvent::Tick => self.on_tick(now),
        }
    }

    fn on_heartbeat(&mut self, now: Duration, heartbeat: holder::Heartbeat) -> Vec<KeeperAction> {
        let mut actions = Vec::new();
        let Some(charge) = self.charges.get_mut(&heartbeat.upstream) else {
            return actions;
        };
        let before = charge.heard.replace((now, heartbeat));
        let changed = before.is_none_or(|(_, old)| !same_state(&old, &heartbeat));
        if let Some(action) = charge.answer(now, self.key, heartbeat) {
            actions.push(action);
        }
        if changed || charge.silent {
            charge.silent = false;
            let term = self.terms.get(&charge.service).copied().unwrap_or(0);
            actions.push(charge.report(now, heartbeat.upstream, term));
        }
        actions
    }

    fn on_order(
        &mut self,
        now: Duration,
        controller: SocketAddr,
        order: KeeperOrder,
    ) -> Vec<KeeperAction> {
        let upstream = order.upstream;
        let term = self.terms.entry(order.service).or_insert(0);
        *term = (*term).max(order.term);
        let term = *term;
        let charge = self
            .charges
            .entry(upstream)
            .or_insert_with(|| KeeperCharge::new(now, controller, &order));
        if order.term < term {
            return vec![charge.report_to(now, upstream, term, controller)];
        }
        charge.controller = controller;
        charge.address = order.address;
        charge.ordered = now;
        if let Some(generation) = order.seal {
            charge.sealed_to = charge.sealed_to.max(generation);
        }
        let mut actions = Vec::new();
        if let Some(set) = order.set
            && set.generation > charge.set.generation
        {
            charge.set = set;
            actions.extend(charge.push_set(now, self.key));
        }
        actions.push(charge.report(now, upstream, term));
        actions
    }

    fn on_tick(&mut self, now: Duration) -> Vec<KeeperAction> {
        let mut actions = Vec::new();
        let key = self.key;
        self.charges
            .retain(|_, charge| charge.renews(key) || now - charge.ordered < IDLE_CHARGE_LIFE);
        for (upstream, charge) in &mut self.charges {
            let silence = charge.silence(now);
            if silence >= ATTACH_INTERVAL && now - charge.attached >= ATTACH_INTERVAL {
                charge.attached = now;
                actions.push(KeeperAction::Attach {
                    address: charge.address,
                    upstream: *upstream,
                });
            }
            let silent = silence >= grant::SUSPECT_AFTER;
            let interval = match silent && charge.renews(key) {
                true => SILENCE_INTERVAL,
                false => REPORT_INTERVAL,
            };
            if silent && !charge.silent || now - charge.reported >= interval {
                charge.silent = silent;
                let term = self.terms.get(&charge.service).copied().unwrap_or(0);
                actions.push(charge.report(now, *upstream, term));
            }
        }
        actions
    }
}

impl KeeperCharge {
    fn new(now: Duration, controller: SocketAddr, order: &KeeperOrder) -> KeeperCharge {
        KeeperCharge {
            service: order.service,
            address: order.address,
            controller,
            set: grant::GrantSet::default(),
            sealed_to: grant::GrantGeneration::default(),
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
        self.set.generation > self.sealed_to && self.set.keepers.contains(&key)
    }

    fn silence(&self, now: Duration) -> Duration {
        now - self.heard.map_or(self.created, |(heard, _)| heard)
    }

    /// Sends a new set at once if a heartbeat can still be answered with it.
    fn push_set(&mut self, now: Duration, key: ids::InstanceKey) -> Option<KeeperAction> {
        let (heard, heartbeat) = self.heard?;
        if now - heard >= grant::LEASE_TTL {
            return None;
        }
        self.answer(now, key, heartbeat)
    }

    fn answer(
        &mut self,
        now: Duration,
        key: ids::InstanceKey,
        heartbeat: holder::Heartbeat,
    ) -> Option<KeeperAction> {
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
            return Some(KeeperAction::Renew {
                address: self.address,
                renewal,
            });
        }
        let order = holder::GrantOrder {
            seq: heartbeat.seq,
            set: self.set.clone(),
        };
        Some(KeeperAction::Grant {
            address: self.address,
            order,
        })
    }

    fn report(&mut self, now: Duration, upstream: ids::UpstreamKey, term: u32) -> KeeperAction {
        self.reported = now;
        self.report_to(now, upstream, term, self.controller)
    }

    fn report_to(
        &self,
        now: Duration,
        upstream: ids::UpstreamKey,
        term: u32,
        controller: SocketAddr,
    ) -> KeeperAction {
        let server = self.heard.map(|(_, heartbeat)| ServerView {
            incarnation: heartbeat.incarnation,
            accepted: heartbeat.accepted,
            settled: heartbeat.settled,
            releasing: heartbeat.releasing,
            leaving: heartbeat.leaving,
            missing: heartbeat.missing,
        });
        let report = KeeperReport {
            service: self.service,
            upstream,
            term,
            set: self.set.clone(),
            sealed_to: self.sealed_to,
            renewed_ago: self.renewed.map(|renewed| now - renewed),
            silence: self.silence(now),
            server,
        };
        KeeperAction::Report { controller, report }
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
