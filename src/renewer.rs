//! Renewal of upstreams' grants by an instance.
//!
//! The renewers that a grant set names answer the upstream's heartbeats with
//! renewals. They do so without asking another process, so renewals continue
//! when the controller or the metadata store is lost.
//!
//! A renewer obeys the controller of the highest term that it has seen. To take a
//! grant away, the controller revokes its generation: the renewer then never
//! renews it again. Once all renewers of an upstream have revoked the grant, it
//! expires within [`grant::expiry_bound`] of the last renewal.

use crate::grant;
use crate::holder;
use crate::ids;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Time without heartbeats after which a renewer subscribes to an upstream's
/// heartbeats, and the interval at which it repeats that.
const SUBSCRIBE_INTERVAL: Duration = Duration::from_millis(275);

/// Interval of reports to the controller while nothing changes.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// Interval of reports to the controller while an upstream is silent.
const SILENCE_REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// Time without orders after which the entry of an upstream is removed.
///
/// Only entries whose set this instance may not renew are removed.
const IDLE_ENTRY_TTL: Duration = Duration::from_secs(60);

/// Order of a controller to a renewer about one upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RenewerOrder {
    pub service: ids::ServiceKey,
    pub upstream: ids::UpstreamKey,
    /// The upstream's grant address.
    pub address: SocketAddr,
    /// Term of the controller.
    pub term: u32,
    /// Set to renew from now on; `None` only asks for a report.
    pub set: Option<grant::GrantSet>,
    /// Never renew a set up to this generation again.
    pub revoke: Option<grant::GrantGeneration>,
}

/// Report of a renewer to the controller about one upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RenewerReport {
    pub service: ids::ServiceKey,
    pub upstream: ids::UpstreamKey,
    /// Highest term that the renewer has seen.
    pub term: u32,
    /// Newest set that the renewer was ordered to renew.
    pub set: grant::GrantSet,
    /// Newest generation that the renewer must not renew any more.
    pub revoked_up_to: grant::GrantGeneration,
    /// Time since the last renewal; `None` if this renewer never sent one.
    pub renewed_ago: Option<Duration>,
    /// Time since the last heartbeat, or since the first order if there was none.
    pub silence: Duration,
    /// Content of the last heartbeat, if there was any.
    pub heartbeat: Option<HeartbeatSummary>,
}

/// Content of an upstream's heartbeat; see [`holder::Heartbeat`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeartbeatSummary {
    pub incarnation: u64,
    pub accepted: grant::GrantGeneration,
    pub settled: bool,
    pub releasing: bool,
    pub leaving: bool,
    pub missing_renewer: Option<ids::InstanceKey>,
}

/// Input of an instance's renewer.
#[derive(Clone, Debug)]
pub enum RenewerEvent {
    Heartbeat(holder::Heartbeat),
    Order {
        controller: SocketAddr,
        order: RenewerOrder,
    },
    Tick,
}

/// Output of an instance's renewer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RenewerAction {
    /// Ask an upstream to send its heartbeats to this instance.
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

/// An upstream that a controller sent an order about.
#[derive(Debug)]
struct RenewalEntry {
    service: ids::ServiceKey,
    address: SocketAddr,
    controller: SocketAddr,
    set: grant::GrantSet,
    revoked_up_to: grant::GrantGeneration,
    last_renewal: Option<Duration>,
    last_heartbeat: Option<(Duration, holder::Heartbeat)>,
    created: Duration,
    last_order: Duration,
    last_subscribe: Duration,
    last_report: Duration,
    /// Whether the upstream's silence was reported.
    reported_silent: bool,
}

/// All upstreams that one instance renews or reports about.
#[derive(Debug)]
pub struct RenewerTable {
    key: ids::InstanceKey,
    /// Highest term seen of each service, kept when entries are removed.
    terms: BTreeMap<ids::ServiceKey, u32>,
    entries: BTreeMap<ids::UpstreamKey, RenewalEntry>,
}

impl RenewerTable {
    /// Creates the table of an instance that has received no orders yet.
    pub fn new(key: ids::InstanceKey) -> RenewerTable {
        RenewerTable {
            key,
            terms: BTreeMap::new(),
            entries: BTreeMap::new(),
        }
    }

    /// Returns the number of upstreams whose set this instance renews.
    pub fn renewing(&self) -> usize {
        let renewing = |entry: &&RenewalEntry| entry.renews(self.key);
        self.entries.values().filter(renewing).count()
    }

    /// Handles one event and returns the resulting actions.
    pub fn step(&mut self, now: Duration, event: RenewerEvent) -> Vec<RenewerAction> {
        match event {
            RenewerEvent::Heartbeat(heartbeat) => self.on_heartbeat(now, heartbeat),
            RenewerEvent::Order { controller, order } => self.on_order(now, controller, order),
            RenewerEvent::Tick => self.on_tick(now),
        }
    }

    fn on_heartbeat(&mut self, now: Duration, heartbeat: holder::Heartbeat) -> Vec<RenewerAction> {
        let mut actions = Vec::new();
        let Some(entry) = self.entries.get_mut(&heartbeat.upstream) else {
            return actions;
        };
        let before = entry.last_heartbeat.replace((now, heartbeat));
        let changed = before.is_none_or(|(_, old)| !same_state(&old, &heartbeat));
        if let Some(action) = entry.answer(now, self.key, heartbeat) {
            actions.push(action);
        }
        if changed || entry.reported_silent {
            entry.reported_silent = false;
            let term = self.terms.get(&entry.service).copied().unwrap_or(0);
            actions.push(entry.report(now, heartbeat.upstream, term));
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
        let entry = self
            .entries
            .entry(upstream)
            .or_insert_with(|| RenewalEntry::new(now, controller, &order));
        if order.term < term {
            return vec![entry.report_to(now, upstream, term, controller)];
        }
        entry.controller = controller;
        entry.address = order.address;
        entry.last_order = now;
        if let Some(generation) = order.revoke {
            entry.revoked_up_to = entry.revoked_up_to.max(generation);
        }
        let mut actions = Vec::new();
        if let Some(set) = order.set
            && set.generation > entry.set.generation
        {
            entry.set = set;
            actions.extend(entry.push_set(now, self.key));
        }
        actions.push(entry.report(now, upstream, term));
        actions
    }

    fn on_tick(&mut self, now: Duration) -> Vec<RenewerAction> {
        let mut actions = Vec::new();
        let key = self.key;
        self.entries
            .retain(|_, entry| entry.renews(key) || now - entry.last_order < IDLE_ENTRY_TTL);
        for (upstream, entry) in &mut self.entries {
            let silence = entry.silence(now);
            if silence >= SUBSCRIBE_INTERVAL && now - entry.last_subscribe >= SUBSCRIBE_INTERVAL {
                entry.last_subscribe = now;
                actions.push(RenewerAction::Subscribe {
                    address: entry.address,
                    upstream: *upstream,
                });
            }
            let silent = silence >= grant::SILENCE_TIMEOUT;
            let interval = match silent && entry.renews(key) {
                true => SILENCE_REPORT_INTERVAL,
                false => REPORT_INTERVAL,
            };
            if silent && !entry.reported_silent || now - entry.last_report >= interval {
                entry.reported_silent = silent;
                let term = self.terms.get(&entry.service).copied().unwrap_or(0);
                actions.push(entry.report(now, *upstream, term));
            }
        }
        actions
    }
}

impl RenewalEntry {
    fn new(now: Duration, controller: SocketAddr, order: &RenewerOrder) -> RenewalEntry {
        RenewalEntry {
            service: order.service,
            address: order.address,
            controller,
            set: grant::GrantSet::default(),
            revoked_up_to: grant::GrantGeneration::default(),
            last_renewal: None,
            last_heartbeat: None,
            created: now,
            last_order: now,
            last_subscribe: Duration::ZERO,
            last_report: Duration::ZERO,
            reported_silent: false,
        }
    }

    fn renews(&self, key: ids::InstanceKey) -> bool {
        self.set.generation > self.revoked_up_to && self.set.renewers.contains(&key)
    }

    fn silence(&self, now: Duration) -> Duration {
        now - self
            .last_heartbeat
            .map_or(self.created, |(received, _)| received)
    }

    /// Sends a new set at once if the last heartbeat can still be answered.
    fn push_set(&mut self, now: Duration, key: ids::InstanceKey) -> Option<RenewerAction> {
        let (received, heartbeat) = self.last_heartbeat?;
        if now - received >= grant::GRANT_TTL {
            return None;
        }
        self.answer(now, key, heartbeat)
    }

    /// Answers a heartbeat with a renewal, or with the set if it is newer.
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
        self.last_renewal = Some(now);
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
        self.last_report = now;
        self.report_to(now, upstream, term, self.controller)
    }

    fn report_to(
        &self,
        now: Duration,
        upstream: ids::UpstreamKey,
        term: u32,
        controller: SocketAddr,
    ) -> RenewerAction {
        let heartbeat = self.last_heartbeat.map(|(_, heartbeat)| HeartbeatSummary {
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
            renewed_ago: self.last_renewal.map(|renewal| now - renewal),
            silence: self.silence(now),
            heartbeat,
        };
        RenewerAction::Report { controller, report }
    }
}

/// Returns whether two heartbeats are equal but for their sequence numbers.
fn same_state(one: &holder::Heartbeat, other: &holder::Heartbeat) -> bool {
    let other = holder::Heartbeat {
        seq: one.seq,
        ..*other
    };
    *one == other
}
