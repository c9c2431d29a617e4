//! The server's side of grants.
//!
//! A server embeds a [`HolderState`] and asks it before running a request. The
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

/// Silence after which a server counts one of its keepers as missing.
pub const KEEPER_PATIENCE: Duration = Duration::from_millis(1000);

/// Whether a server compares fence numbers before it obeys an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FenceCheck {
    /// Obeys only newer grant sets and renewals of listed keepers.
    Enforced,
    /// Obeys every order that answers one of its heartbeats.
    Absent,
}

/// Heartbeat of a server to a keeper.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Heartbeat {
    pub upstream: ids::UpstreamKey,
    /// Run of the server process.
    pub incarnation: u64,
    pub seq: u64,
    /// Newest grant set the server accepted.
    pub accepted: grant::GrantGeneration,
    /// Whether every heartbeat whose answer still counts showed `accepted`.
    pub settled: bool,
    /// Whether work outside the accepted set is still in flight.
    pub releasing: bool,
    /// Whether the server asks for its keys to be moved away.
    pub leaving: bool,
    /// Keeper of the accepted set that stopped renewing while another goes on.
    pub missing: Option<ids::InstanceKey>,
}

/// Extension of the grant set that the server holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Renewal {
    pub seq: u64,
    pub generation: grant::GrantGeneration,
}

/// Replacement of the grant set that the server holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GrantOrder {
    pub seq: u64,
    pub set: grant::GrantSet,
}

/// Identifies one piece of admitted work.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct WorkKey(u64);

/// Grants held by one server.
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
    /// Last answered heartbeat of each keeper of the set.
    renewed: SmallVec<[(ids::InstanceKey, Duration); 3]>,
    work: HashMap<WorkKey, range::KeyHash>,
    next_work: u64,
    leaving: bool,
}

impl HolderState {
    /// Creates the state of a server that holds nothing yet.
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

    /// Returns the heartbeat to send to every keeper now.
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
            settled: now >= self.accepted + grant::LEASE_TTL,
            releasing: self.releasing(),
            leaving: self.leaving,
            missing: self.missing_keeper(now),
        }
    }

    /// Returns a keeper that does not answer while another does.
    ///
    /// If none answers, the server itself may have been frozen or cut off.
    fn missing_keeper(&self, now: Duration) -> Option<ids::InstanceKey> {
        let fresh = |(_, at): &(ids::InstanceKey, Duration)| now - *at < KEEPER_PATIENCE;
        if !self.renewed.iter().any(fresh) {
            return None;
        }
        let missing = self.renewed.iter().find(|renewed| !fresh(renewed));
        missing.map(|(keeper, _)| *keeper)
    }

    /// Extends the grant if `renewal` answers a heartbeat of this server.
    pub fn on_renewal(&mut self, keeper: ids::InstanceKey, renewal: Renewal) {
        let fenced = self.check == FenceCheck::Enforced;
        if fenced && !self.set.keepers.contains(&keeper) {
            return;
        }
        if renewal.generation != self.set.generation {
            return;
        }
        if let Some(sent) = self.sent_at(renewal.seq) {
            let renewed = self.renewed.iter_mut().find(|(key, _)| *key == keeper);
            if let Some((_, at)) = renewed {
                *at = sent.max(*at);
            }
            self.extend(sent);
        }
    }

    /// Replaces the grant set if `order` answers a heartbeat of this server.
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
        if sent + grant::LEASE_TTL <= now {
            return;
        }
        self.set = order.set;
        self.accepted = now;
        self.note_keepers(now);
        self.extend(sent);
    }

    /// Follows the keepers of the set; new ones count as heard now.
    fn note_keepers(&mut self, now: Duration) {
        let keepers = &self.set.keepers;
        self.renewed.retain(|(key, _)| keepers.contains(key));
        for keeper in keepers {
            if !self.renewed.iter().any(|(key, _)| key == keeper) {
                self.renewed.push((*keeper, now));
            }
        }
    }

    /// Returns whether this server owns `hash` now.
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
        self.expiry = self.expiry.max(sent + grant::LEASE_TTL);
    }
}

/// Time for which an attached keeper receives heartbeats without renewing.
const ATTACH_LIFE: Duration = Duration::from_secs(2);

/// Most keepers a server sends heartbeats to.
const MAX_ATTACHED: usize = 8;

/// Addresses of the keepers that asked for a server's heartbeats.
///
/// A listed keeper of the held grant set is never displaced by others.
#[derive(Debug, Default)]
pub struct KeeperBook<A> {
    entries: SmallVec<[KeeperEntry<A>; 4]>,
}

#[derive(Debug)]
struct KeeperEntry<A> {
    keeper: ids::InstanceKey,
    address: A,
    heard: Duration,
}

impl<A: Copy> KeeperBook<A> {
    /// Creates an empty book.
    pub fn new() -> KeeperBook<A> {
        KeeperBook {
            entries: SmallVec::new(),
        }
    }

    /// Notes a sign of life of a keeper; returns whether it was unknown.
    pub fn attach(&mut self, now: Duration, keeper: ids::InstanceKey, address: A) -> bool {
        if let Some(entry) = self.entries.iter_mut().find(|e| e.keeper == keeper) {
            entry.address = address;
            entry.heard = now;
            return false;
        }
        self.entries.retain(|entry| now - entry.heard < ATTACH_LIFE);
        if self.entries.len() == MAX_ATTACHED {
            return false;
        }
        self.entries.push(KeeperEntry {
            keeper,
            address,
            heard: now,
        });
        true
    }

    /// Returns the addresses that heartbeats go to.
    pub fn addresses(&self, now: Duration, keepers: &[ids::InstanceKey]) -> SmallVec<[A; 4]> {
        let wanted = |entry: &&KeeperEntry<A>| {
            keepers.contains(&entry.keeper) || now - entry.heard < ATTACH_LIFE
        };
        let wanted = self.entries.iter().filter(wanted);
        wanted.map(|entry| entry.address).collect()
    }
}
