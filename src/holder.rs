//! Grants as their holder, an upstream, sees them.
//!
//! An upstream embeds a [`HolderState`] and asks it before running a request. The
//! state accepts grant sets and renewals only as answers to its own recent
//! heartbeats, so a delayed or stale message grants nothing beyond one TTL after
//! the heartbeat that it answers.

use crate::grant;
use crate::ids;
use crate::range;
use smallvec::SmallVec;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Number of latest heartbeats whose answers are accepted.
const MAX_ANSWERABLE_HEARTBEATS: usize = 16;

/// Time without renewals after which an upstream reports a renewer as missing.
pub const RENEWER_TIMEOUT: Duration = Duration::from_millis(1000);

/// Whether an upstream checks fencing tokens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FenceCheck {
    /// Accepts only newer grant sets, and renewals only by the set's renewers.
    Enforced,
    /// Accepts older grant sets too, and renewals by any instance.
    Absent,
}

/// Heartbeat that an upstream sends to its renewers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Heartbeat {
    pub upstream: ids::UpstreamKey,
    /// Run of the upstream, a nonzero random number drawn at startup.
    pub incarnation: u64,
    pub seq: u64,
    /// Grant set that the upstream accepted last.
    pub accepted: grant::GrantGeneration,
    /// Whether every heartbeat that can still be answered reported `accepted`.
    pub settled: bool,
    /// Whether admitted work on keys outside the accepted set is still in flight.
    pub releasing: bool,
    /// Whether the upstream asks for its ranges to be moved to others.
    pub leaving: bool,
    /// Renewer of the accepted set that stopped renewing while another continues.
    pub missing_renewer: Option<ids::InstanceKey>,
}

/// Message that extends the grant set that the upstream holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Renewal {
    /// Sequence number of the heartbeat that it answers.
    pub seq: u64,
    pub generation: grant::GrantGeneration,
}

/// Message that replaces the grant set that the upstream holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GrantOrder {
    /// Sequence number of the heartbeat that it answers.
    pub seq: u64,
    pub set: grant::GrantSet,
}

/// Identifies one admitted piece of work, usually a request.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct WorkKey(u64);

/// Grant set that one upstream holds, and its work in flight.
#[derive(Debug)]
pub struct HolderState {
    upstream: ids::UpstreamKey,
    incarnation: u64,
    check: FenceCheck,
    set: grant::GrantSet,
    accepted_at: Duration,
    expiry: Duration,
    last_seq: u64,
    /// Sequence numbers and send times of the latest heartbeats.
    sent_heartbeats: VecDeque<(u64, Duration)>,
    /// Renewers of the set, each with the send time of the last heartbeat that
    /// it answered.
    renewed: SmallVec<[(ids::InstanceKey, Duration); 3]>,
    work: HashMap<WorkKey, range::KeyHash>,
    last_work: u64,
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
            accepted_at: Duration::ZERO,
            expiry: Duration::ZERO,
            last_seq: 0,
            sent_heartbeats: VecDeque::new(),
            renewed: SmallVec::new(),
            work: HashMap::new(),
            last_work: 0,
            leaving: false,
        }
    }

    /// Asks the controller, through later heartbeats, to move all ranges away.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Returns the heartbeat to send to all subscribers now.
    pub fn heartbeat(&mut self, now: Duration) -> Heartbeat {
        self.last_seq += 1;
        self.sent_heartbeats.push_back((self.last_seq, now));
        if self.sent_heartbeats.len() > MAX_ANSWERABLE_HEARTBEATS {
            self.sent_heartbeats.pop_front();
        }
        Heartbeat {
            upstream: self.upstream,
            incarnation: self.incarnation,
            seq: self.last_seq,
            accepted: self.set.generation,
            settled: now >= self.accepted_at + grant::GRANT_TTL,
            releasing: self.releasing(),
            leaving: self.leaving,
            missing_renewer: self.missing_renewer(now),
        }
    }

    /// Returns a renewer that stopped answering while another continues.
    ///
    /// If none answers, the upstream itself may have been suspended or
    /// disconnected, so none is returned.
    fn missing_renewer(&self, now: Duration) -> Option<ids::InstanceKey> {
        let recent = |(_, at): &(ids::InstanceKey, Duration)| now - *at < RENEWER_TIMEOUT;
        if !self.renewed.iter().any(recent) {
            return None;
        }
        let missing = self.renewed.iter().find(|renewed| !recent(renewed));
        missing.map(|(renewer, _)| *renewer)
    }

    /// Extends the grant if `renewal` is valid and answers a recent heartbeat.
    pub fn on_renewal(&mut self, renewer: ids::InstanceKey, renewal: Renewal) {
        let enforced = self.check == FenceCheck::Enforced;
        if enforced && !self.set.renewers.contains(&renewer) {
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

    /// Replaces the grant set if `order` is valid and answers a recent heartbeat.
    pub fn on_grant(&mut self, now: Duration, order: GrantOrder) {
        let enforced = self.check == FenceCheck::Enforced;
        if enforced && order.set.generation <= self.set.generation {
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
        self.accepted_at = now;
        self.track_renewers(now);
        self.extend(sent);
    }

    /// Tracks the renewers of the set; a new one counts as having renewed now.
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

    /// Admits work on `hash`; returns `None` if the key is not owned now.
    pub fn begin(&mut self, now: Duration, hash: range::KeyHash) -> Option<WorkKey> {
        if !self.owns(now, hash) {
            return None;
        }
        self.last_work += 1;
        let key = WorkKey(self.last_work);
        self.work.insert(key, hash);
        Some(key)
    }

    /// Ends admitted work. Until then its key counts as not yet released.
    pub fn finish(&mut self, key: WorkKey) {
        self.work.remove(&key);
    }

    /// Returns the held grant set.
    pub fn set(&self) -> &grant::GrantSet {
        &self.set
    }

    /// Returns whether the set is empty and no work is in flight.
    pub fn drained(&self) -> bool {
        self.set.ranges.is_empty() && self.work.is_empty()
    }

    fn releasing(&self) -> bool {
        self.work.values().any(|hash| !self.set.contains(*hash))
    }

    fn sent_at(&self, seq: u64) -> Option<Duration> {
        let heartbeat = self
            .sent_heartbeats
            .iter()
            .find(|(sent_seq, _)| *sent_seq == seq);
        heartbeat.map(|(_, sent)| *sent)
    }

    fn extend(&mut self, sent: Duration) {
        self.expiry = self.expiry.max(sent + grant::GRANT_TTL);
    }
}

/// Time for which a subscriber that sends nothing more receives heartbeats.
const SUBSCRIPTION_TTL: Duration = Duration::from_secs(2);

/// Largest number of renewers that an upstream sends heartbeats to.
const MAX_SUBSCRIBERS: usize = 8;

/// Addresses of the renewers that subscribed to an upstream's heartbeats.
///
/// A full list rejects new subscribers, so a listed renewer that still sends
/// messages, as those of the held grant set do, is never displaced by others.
#[derive(Debug, Default)]
pub struct SubscriberList<A> {
    entries: SmallVec<[SubscriberEntry<A>; 4]>,
}

#[derive(Debug)]
struct SubscriberEntry<A> {
    renewer: ids::InstanceKey,
    address: A,
    last_message: Duration,
}

impl<A: Copy> SubscriberList<A> {
    /// Creates an empty list.
    pub fn new() -> SubscriberList<A> {
        SubscriberList {
            entries: SmallVec::new(),
        }
    }

    /// Records a message from a renewer; returns whether it was added to the list.
    pub fn subscribe(&mut self, now: Duration, renewer: ids::InstanceKey, address: A) -> bool {
        if let Some(entry) = self.entries.iter_mut().find(|e| e.renewer == renewer) {
            entry.address = address;
            entry.last_message = now;
            return false;
        }
        self.entries
            .retain(|entry| now - entry.last_message < SUBSCRIPTION_TTL);
        if self.entries.len() == MAX_SUBSCRIBERS {
            return false;
        }
        self.entries.push(SubscriberEntry {
            renewer,
            address,
            last_message: now,
        });
        true
    }

    /// Returns the addresses to send heartbeats to: those of `renewers`, which
    /// renew the held set, and of recent subscribers.
    pub fn addresses(&self, now: Duration, renewers: &[ids::InstanceKey]) -> SmallVec<[A; 4]> {
        let receives = |entry: &&SubscriberEntry<A>| {
            renewers.contains(&entry.renewer) || now - entry.last_message < SUBSCRIPTION_TTL
        };
        let receivers = self.entries.iter().filter(receives);
        receivers.map(|entry| entry.address).collect()
    }
}
