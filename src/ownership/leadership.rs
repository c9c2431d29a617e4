//! Leadership of one service: its lease, its authority and its predecessor.

use crate::ids;
use crate::ownership::{assignment, record};
use std::time::Duration;

/// Life of the leader's key in the store without renewal.
pub const LEASE_TTL: Duration = Duration::from_millis(2000);

/// Interval at which a leader renews its lease.
pub const LEASE_RENEW_INTERVAL: Duration = Duration::from_millis(600);

/// Time after its last proven contact with the store for which a leader acts.
///
/// Covers an outage of the store; a successor waits it out before it moves keys.
pub const AUTHORITY_TTL: Duration = Duration::from_secs(8);

/// Time without a step after which a leader counts as having been suspended.
///
/// Its timer steps every 50 ms; a starved machine must not count.
const SUSPENSION: Duration = Duration::from_millis(1000);

/// Longest time that a new leader waits for its predecessor to have stopped.
pub fn predecessor_wait() -> Duration {
    let span = AUTHORITY_TTL - LEASE_TTL;
    span + span * assignment::MAX_CLOCK_DRIFT_PERCENT / 100
}

/// Former leader that may still renew grants.
#[derive(Clone, Debug)]
pub struct PredecessorState {
    pub node: record::InstanceInfo,
    /// When its authority has run out.
    pub ends: Duration,
}

impl PredecessorState {
    /// Returns whether a sign of life of a run proves that the predecessor stopped.
    pub fn is_ended_by(&self, name: &str, run: ids::InstanceKey, acting: bool) -> bool {
        name == self.node.name && (run != self.node.run || !acting)
    }
}

/// A write to the store whose result is not known yet.
#[derive(Clone, Debug)]
pub struct PendingCommit {
    pub record: record::OwnershipRecord,
    pub assignments: Vec<assignment::AssignmentState>,
    pub in_flight: bool,
    /// When a write without an answer is sent again.
    pub retry_at: Duration,
    /// Whether the write ends this instance's leadership.
    pub resigns: bool,
}

/// State of a leading instance.
#[derive(Clone, Debug)]
pub struct LeaderTerm {
    pub lease: u64,
    /// Revision at which this instance became the leader.
    pub revision: u64,
    /// Sending time of the last call that proved the lease.
    pub contact: Duration,
    pub renew_at: Duration,
    pub renewal_in_flight: bool,
    pub commit: Option<PendingCommit>,
    pub predecessors: Vec<PredecessorState>,
    /// When no grant of a predecessor can be held any more, once all have ended.
    pub floor: Duration,
    /// Least fence number that no predecessor can use.
    pub first_fence: u64,
    /// When this instance last decided anything.
    pub stepped: Duration,
    /// Whether the instance stood still since its last contact with the store.
    pub suspended: bool,
}

impl LeaderTerm {
    /// Returns until when this instance may act.
    ///
    /// One that stood still has not heard of its successor, which may rely on
    /// upstreams that forgot its fence numbers in a restart; it acts only while
    /// its lease certainly lives.
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

    /// Notes that the instance runs.
    pub fn note_step(&mut self, now: Duration) {
        self.suspended |= now >= self.stepped + SUSPENSION;
        self.stepped = now;
    }

    /// Notes that a call sent at `sent` proved the lease.
    pub fn note_contact(&mut self, sent: Duration, now: Duration) {
        if sent > self.contact {
            self.contact = sent;
            self.suspended &= now >= sent + SUSPENSION;
        }
    }
}

/// This instance's part in the leadership.
#[derive(Clone, Debug)]
pub enum LeadershipState {
    Following,
    /// A lease was asked for.
    Opening {
        since: Duration,
    },
    /// The lease is open; the leader's key is being written.
    Claiming {
        lease: u64,
        contact: Duration,
        record: record::OwnershipRecord,
    },
    Leading(Box<LeaderTerm>),
}
