//! Leadership of one service: its lease, its authority and its predecessors.

use crate::ids;
use crate::ownership::{assignment, record};
use crate::store;
use std::time::Duration;

/// TTL of the lease under which the leader's key is kept in the store.
pub const LEASE_TTL: Duration = Duration::from_millis(2000);

/// Interval at which a leader renews its lease.
pub const LEASE_RENEW_INTERVAL: Duration = Duration::from_millis(600);

/// Time for which a leader may act after the last call that proved its lease.
///
/// Bridges an outage of the store; a successor waits this long before it moves
/// ranges.
pub const AUTHORITY_TTL: Duration = Duration::from_secs(8);

/// Time without an event after which a leader counts as having been suspended.
///
/// Its timer ticks every 50 ms; a delay on an overloaded machine must not count.
const SUSPENSION_THRESHOLD: Duration = Duration::from_millis(1000);

/// Longest time that a new leader waits for its predecessors to have stopped.
///
/// A predecessor's lease expired before the claim, so that [`LEASE_TTL`] of its
/// authority has passed already.
pub fn predecessor_wait() -> Duration {
    let remaining = AUTHORITY_TTL - LEASE_TTL;
    remaining + remaining * assignment::MAX_CLOCK_DRIFT_PERCENT / 100
}

/// Longest time between a leader's last contact with the store and the moment at which
/// it learns of a new era, for which it may go on with its own assignments.
///
/// A leader whose claim the store has lost could move ranges away from it only after
/// [`LEASE_TTL`], [`predecessor_wait`] and the age of a grant, 12 s after that contact,
/// and only while its own authority lasts, 8 s after the store failed.
pub const RECLAIM_WINDOW: Duration = Duration::from_millis(4000);

/// Time in a new era for which only the former leader claims.
pub const INCUMBENT_GRACE: Duration = Duration::from_millis(2500);

/// Bits of a fencing token below those of the era.
const FENCE_BITS: u32 = 32;

/// Greatest number of an era in a fencing token, which JSON readers take as a double.
const MAX_FENCE_ERA: store::Era = (1 << 20) - 1;

/// Returns the longest time for which a leader may act whose claim the store has lost,
/// from the moment at which the new era is known.
pub fn lost_leader_wait() -> Duration {
    AUTHORITY_TTL + AUTHORITY_TTL * assignment::MAX_CLOCK_DRIFT_PERCENT / 100
}

/// Returns the least fencing token of an era, above all those of earlier ones.
///
/// A restored record does not tell which tokens were given after it was copied.
pub fn first_fence_of(era: store::Era) -> u64 {
    era.saturating_sub(1).min(MAX_FENCE_ERA) << FENCE_BITS
}

/// Earlier leader that may still renew grants.
#[derive(Clone, Debug)]
pub struct PredecessorState {
    pub instance: record::InstanceInfo,
    /// When its authority has certainly expired.
    pub authority_ends_at: Duration,
}

impl PredecessorState {
    /// Returns whether a message of an instance proves that the predecessor stopped.
    ///
    /// Another run of the same instance does, or the same run if it does not lead.
    pub fn is_ended_by(&self, name: &str, run: ids::InstanceKey, leading: bool) -> bool {
        name == self.instance.name && (run != self.instance.run || !leading)
    }
}

/// A write of the ownership record whose result is not known yet.
#[derive(Clone, Debug)]
pub struct PendingCommit {
    /// Also what was planned: the states of its assignments are those of when it takes effect.
    pub record: record::OwnershipRecord,
    pub in_flight: bool,
    /// When a write that failed or got no response is sent again.
    pub retry_at: Duration,
    /// Whether the write also deletes the leader's key.
    pub resigns: bool,
}

/// A claim that a leader of an earlier era makes in a new one.
#[derive(Clone, Debug)]
pub struct Reclaim {
    pub lease: u64,
    /// When the call that opened the lease was sent.
    pub contact: Duration,
    pub leader_revision: u64,
    pub record_revision: u64,
    pub record: record::OwnershipRecord,
    pub in_flight: bool,
    /// When a write that failed or got no response is sent again.
    pub retry_at: Duration,
}

/// Progress of a leader's claim in a new era.
#[derive(Clone, Debug)]
pub enum ReclaimStep {
    /// Nothing was sent; not before the given time.
    Waiting(Duration),
    /// A lease was requested at the given time.
    OpeningLease(Duration),
    Claiming(Box<Reclaim>),
}

/// State of an instance while it leads.
#[derive(Clone, Debug)]
pub struct LeaderTerm {
    /// ID of the lease in the store.
    pub lease: u64,
    /// Position of the write that made this instance the leader.
    pub position: store::StorePosition,
    /// When the last call that proved the lease was sent.
    pub contact: Duration,
    /// When the lease is renewed next.
    pub renew_at: Duration,
    pub renewal_in_flight: bool,
    pub commit: Option<PendingCommit>,
    /// Progress of the claim in a new era.
    pub reclaim: ReclaimStep,
    pub predecessors: Vec<PredecessorState>,
    /// When every grant of a predecessor has certainly expired.
    ///
    /// Valid only while `predecessors` is empty.
    pub predecessors_expire_at: Duration,
    /// When every grant of a leader whose claim the store has lost has certainly expired.
    pub lost_leaders_expire_at: Duration,
    /// Until when nothing is granted, since the record may lack moves that the store lost.
    pub hold_until: Duration,
    /// Lowest fencing token that no predecessor can use.
    pub first_fence: u64,
    /// When this instance began to lead.
    pub begun: Duration,
    /// When this instance last handled an event.
    pub stepped_at: Duration,
    /// Whether the process was suspended since its last contact with the store.
    pub suspended: bool,
}

impl LeaderTerm {
    /// Returns when this instance's authority expires.
    ///
    /// A suspended process may have missed that it has a successor, and upstreams
    /// that restarted meanwhile have forgotten the successor's fencing tokens. It
    /// may therefore act only while its lease is certainly valid.
    pub fn authority_until(&self) -> Duration {
        match self.suspended {
            true => self.contact + LEASE_TTL,
            false => self.contact + AUTHORITY_TTL,
        }
    }

    /// Returns whether this instance may still act.
    pub fn has_authority(&self, now: Duration) -> bool {
        now < self.authority_until()
    }

    /// Notes that an event is handled at `now`.
    pub fn note_step(&mut self, now: Duration) {
        self.suspended |= now >= self.stepped_at + SUSPENSION_THRESHOLD;
        self.stepped_at = now;
    }

    /// Notes that a call sent at `sent` proved the lease.
    ///
    /// A call that took less than `SUSPENSION_THRESHOLD` also shows that the process
    /// was not suspended since `sent`, so an earlier suspension no longer counts.
    pub fn note_contact(&mut self, sent: Duration, now: Duration) {
        if sent > self.contact {
            self.contact = sent;
            self.suspended &= now >= sent + SUSPENSION_THRESHOLD;
        }
    }
}

/// This instance's role in the service.
#[derive(Clone, Debug)]
pub enum LeadershipState {
    Following,
    /// A lease was requested from the store.
    OpeningLease {
        since: Duration,
    },
    /// The lease was granted; the leader's key is being written.
    Claiming {
        lease: u64,
        /// When the call that opened the lease was sent.
        contact: Duration,
        record: record::OwnershipRecord,
    },
    Leading(Box<LeaderTerm>),
}
