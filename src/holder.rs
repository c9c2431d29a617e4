//! The upstream's side of grants.
//!
//! An upstream embeds a [`HolderState`] and asks it before running a request. The
//! state accepts grant sets and renewals only as answers to heartbeats that it
//! sent itself, which bounds in time whatever a delayed or stale order can do.

use crate::grant;
use crate::ids;
use crate::range;
use smallvec::SmallVec;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Number of heartbeats whose answers are still accepted.
const MAX_PENDING_HEARTBEATS: usize = 16;

/// Silence after which an upstream counts one of its renewers as missing.
pub const RENEWER_TIMEOUT: Duration = Duration::from_millis(1000);

/// Whether an upstream compares fence numbers before it obeys an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FenceCheck {
    /// Obeys only newer grant sets and renewals of listed renewers.
    Enforced,
    /// Obeys every order that answers one of its heartbeats.
    Absent,
}

/// Heartbeat of an upstream to a renewer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Heartbeat {
    pub upstream: ids::UpstreamKey,
    /// Run of the upstream process.
    pub incarnation: u64,
    pub seq: u64,
    /// Newest grant set the upstream accepted.
    pub accepted: grant::GrantGeneration,
    /// Whether every heartbeat whose answer still counts showed `accepted`.
    pub settled: bool,
    /// Whether work outside the accepted set is still in flight.
    pub releasing: bool,
    /// Whether the upstream asks for its keys to be moved away.
    pub leaving: bool,
    /// Renewer of the accepted set that stopped renewing while another goes on.
    pub missing_renewer: Option<ids::InstanceKey>,
}

/// Extension of the grant set that the upstream holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Renewal {
    pub seq: u64,
    pub generation: grant::GrantGeneration,
}

/// Replacement of the grant set that the upstream holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GrantOrder {
    pub seq: u64,
    pub set: grant::GrantSet,
}

/// Identifies one piece of admitted work.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct WorkKey(u64);

/// Grants held by one upstream.
#[derive(Debug)]
pub struct HolderState {
    upstream: ids::UpstreamKey,
    incarnation: u64,
    check: FenceCheck,
    set: grant::GrantSet,
    /// When the set was accepted.
    accepted: Duration,
    expiry: Duration,
    seq: u64,
    pending: VecDeque<(u64, Duration)>,
    /// Last answered heartbeat of each renewer of the set.
    renewed: SmallVec<[(ids::InstanceKey, Duration); 3]>,
    work: HashMap<WorkKey, range::KeyHash>,
    next_work: u64,
    leaving: bool,
}

impl HolderState {
    /// Creates the state of an upstream that holds nothing yet.
    pub fn new(upstream: ids::UpstreamKey, incarnation: u64, check: FenceCheck) -> HolderState {
        HolderState {
            upstream,
            incarnation,
            check,
            set: grant::GrantSet::default(),
            accepted: Duration::ZERO,
            expiry: Duration::ZERO,
            seq: 0,
            pending: VecDeque::new(),
            renewed: SmallVec::new(),
            work: HashMap::new(),
            next_work: 0,
            leaving: false,
        }
    }

    /// Asks the controller to move every key away.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Returns the heartbeat to send to every renewer now.
    pub fn heartbeat(&mut self, now: Duration) -> Heartbeat {
        self.seq += 1;
        self.pending.push_back((self.seq, now));
        if self.pending.len() > MAX_PENDING_HEARTBEATS {
            self.pending.pop_front();
        }
        Heartbeat {
            upstream: self.upstream,
            incarnation: self.incarnation,
            seq: self.seq,
            accepted: self.set.generation,
            settled: now >= self.accepted + grant::GRANT_TTL,
            releasing: self.releasing(),
            leaving: self.leaving,
            missing_renewer: self.missing_renewer(now),
        }
    }

    /// Returns a renewer that does not answer while another does.
    ///
    /// If none answers, the upstream itself may have been frozen or cut off.
    fn missing_renewer(&self, now: Duration) -> Option<ids::InstanceKey> {
        let fresh = |(_, at): &(ids::InstanceKey, Duration)| now - *at < RENEWER_TIMEOUT;
        if !self.renewed.iter().any(fresh) {
            return None;
        }
        let missing = self.renewed.iter().find(|renewed| !fresh(renewed));
        missing.map(|(renewer, _)| *renewer)
    }

    /// Extends the grant if `renewal` answers a heartbeat of this upstream.
    pub fn on_renewal(&mut self, renewer: ids::InstanceKey, renewal: Renewal) {
        let fenced = self.check == FenceCheck::Enforced;
        if fenced && !self.set.renewers.contains(&renewer) {
            return;
        }
        if renewal.generation != self.set.generation {
            return;
        }
        if let Some(sent) = self.sent_at(renewal.seq) {
            let renewed = self.renewed.iter_mut().find(|(key, _)| *key == renewer);
            if let Some((_, at)) = renewed {
                *at = sent.max(*at);
            }
            self.extend(sent);
        }
    }

    /// Replaces the grant set if `order` answers a heartbeat of this upstream.
    pub fn on_grant(&mut self, now: Duration, order: GrantOrder) {
        let fenced = self.check == FenceCheck::Enforced;
        if fenced && order.set.generation <= self.set.generation {
            return;
        }
        if order.set.incarnation != self.incarnation {
            return;
        }
        let Some(sent) = self.sent_at(order.seq) else {
            return;
        };
        if sent + grant::GRANT_TTL <= now {
            return;
        }
        self.set = order.set;
        self.accepted = now;
        self.track_renewers(now);
        self.extend(sent);
    }

    /// Follows the renewers of the set; new ones count as heard now.
    fn track_renewers(&mut self, now: Duration) {
        let renewers = &self.set.renewers;
        self.renewed.retain(|(key, _)| renewers.contains(key));
        for renewer in renewers {
            if !self.renewed.iter().any(|(key, _)| key == renewer) {
                self.renewed.push((*renewer, now));
            }
        }
    }

    /// Returns whether this upstream owns `hash` now.
    pub fn owns(&self, now: Duration, hash: range::KeyHash) -> bool {
        now < self.expiry && self.set.contains(hash)
    }

    /// Admits work on `hash`, or refuses it before it runs.
    pub fn begin(&mut self, now: Duration, hash: range::KeyHash) -> Option<WorkKey> {
        if !self.owns(now, hash) {
            return None;
        }
        self.next_work += 1;
        let key = WorkKey(self.next_work);
        self.work.insert(key, hash);
        Some(key)
    }

    /// Ends admitted work.
    pub fn finish(&mut self, key: WorkKey) {
        self.work.remove(&key);
    }

    /// Returns the held grant set.
    pub fn set(&self) -> &grant::GrantSet {
        &self.set
    }

    /// Returns whether every key is gone and no work is in flight.
    pub fn drained(&self) -> bool {
        self.set.ranges.is_empty() && self.work.is_empty()
    }

    fn releasing(&self) -> bool {
        self.work.values().any(|hash| !self.set.contains(*hash))
    }

    fn sent_at(&self, seq: u64) -> Option<Duration> {
        let pending = self.pending.iter().find(|(sent_seq, _)| *sent_seq == seq);
        pending.map(|(_, sent)| *sent)
    }

    fn extend(&mut self, sent: Duration) {
        self.expiry = self.expiry.max(sent + grant::GRANT_TTL);
    }
}

/// Time for which an attached renewer receives heartbeats without renewing.
const SUBSCRIPTION_TTL: Duration = Duration::from_secs(2);

/// Most renewers an upstream sends heartbeats to.
const MAX_SUBSCRIBERS: usize = 8;

/// Addresses of the renewers that asked for an upstream's heartbeats.
///
/// A listed renewer of the held grant set is never displaced by others.
#[derive(Debug, Default)]
pub struct SubscriberList<A> {
    entries: SmallVec<[SubscriberEntry<A>; 4]>,
}

#[derive(Debug)]
struct SubscriberEntry<A> {
    renewer: ids::InstanceKey,
    address: A,
    heard: Duration,
}

impl<A: Copy> SubscriberList<A> {
    /// Creates an empty book.
    pub fn new() -> SubscriberList<A> {
        SubscriberList {
            entries: SmallVec::new(),
        }
    }

    /// Notes a sign of life of a renewer; returns whether it was unknown.
    pub fn subscribe(&mut self, now: Duration, renewer: ids::InstanceKey, address: A) -> bool {
        if let Some(entry) = self.entries.iter_mut().find(|e| e.renewer == renewer) {
            entry.address = address;
            entry.heard = now;
            return false;
        }
        self.entries
            .retain(|entry| now - entry.heard < SUBSCRIPTION_TTL);
        if self.entries.len() == MAX_SUBSCRIBERS {
            return false;
        }
        self.entries.push(SubscriberEntry {
            renewer,
            address,
            heard: now,
        });
        true
    }

    /// Returns the addresses that heartbeats go to.
    pub fn addresses(&self, now: Duration, renewers: &[ids::InstanceKey]) -> SmallVec<[A; 4]> {
        let wanted = |entry: &&SubscriberEntry<A>| {
            renewers.contains(&entry.renewer) || now - entry.heard < SUBSCRIPTION_TTL
        };
        let wanted = self.entries.iter().filter(wanted);
        wanted.map(|entry| entry.address).collect()
    }
}
