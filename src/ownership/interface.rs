//! What the ownership core takes in and asks for.

use crate::ids;
use crate::ownership::{assignment, candidates, load, record};
use crate::range;
use serde::Serialize;
use std::time::Duration;

/// Settings of one service's ownership.
#[derive(Clone, Copy, Debug)]
pub struct OwnershipSettings {
    /// Greatest key.
    pub last_key: u64,
    /// Longest hold that upstreams accept.
    pub max_grant_ttl: Duration,
}

/// Leader's key in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeaderView {
    pub run: ids::InstanceKey,
    /// Name of the instance, the same for all its runs.
    pub name: String,
    /// Revision of the key.
    pub revision: u64,
}

/// What the metadata store holds, as far as this instance has seen.
#[derive(Clone, Debug, Default)]
pub struct StoreView {
    /// Who leads, as its key in the store says.
    pub leader: Option<LeaderView>,
    /// Ownership record and its revision.
    pub record: Option<(record::OwnershipRecord, u64)>,
    /// Revision up to which the store was seen.
    pub as_of: u64,
}

/// Result of a write to the store.
#[derive(Clone, Debug)]
pub enum CommitResult {
    Committed {
        revision: u64,
    },
    /// The condition did not hold; the record as it is now.
    Conflict(Option<(Box<record::OwnershipRecord>, u64)>),
    LeaseEnded,
    /// Refused before anything was done.
    Refused,
    /// The write may have taken effect or may still do so.
    Unknown,
}

/// Result of a grant call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GrantResult {
    Granted,
    /// The upstream has seen a higher fence number.
    Fenced,
    /// The upstream may have taken the grant.
    Unanswered,
    /// The call did not reach the upstream.
    Unsent,
}

impl GrantResult {
    /// Returns the result as metrics name it.
    pub fn as_str(self) -> &'static str {
        match self {
            GrantResult::Granted => "granted",
            GrantResult::Fenced => "fenced",
            GrantResult::Unanswered => "unanswered",
            GrantResult::Unsent => "unsent",
        }
    }
}

/// Result of a release call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReleaseResult {
    Released(Option<String>),
    Unanswered,
    /// Nothing listens at the upstream's address.
    ConnectionRefused,
    /// Another upstream answers at the address.
    Misdirected,
}

/// Input of the core.
#[derive(Clone, Debug)]
pub enum OwnershipEvent {
    StoreUpdated(StoreView),
    CandidatesUpdated(candidates::CandidateTable),
    LoadReported(load::LoadReport),
    LeaseOpened {
        sent: Duration,
        lease: Option<u64>,
    },
    LeaseRenewed {
        sent: Duration,
        /// `None` if the call brought no answer.
        alive: Option<bool>,
    },
    CommitFinished(CommitResult),
    GrantFinished {
        range: range::KeyRange,
        owner: ids::UpstreamKey,
        fence: u64,
        sent: Duration,
        result: GrantResult,
    },
    ReleaseFinished {
        range: range::KeyRange,
        former: record::FormerOwner,
        result: ReleaseResult,
    },
    /// Sign of life of an instance, with whether it still leads the service.
    InstanceSeen {
        name: String,
        run: ids::InstanceKey,
        leading: bool,
    },
    /// Another instance leads since a revision.
    Superseded {
        revision: u64,
    },
    /// The instance stops.
    Stop,
    Tick,
}

/// Write to the store that the core asks for.
#[derive(Clone, Debug)]
pub struct CommitCommand {
    /// Revision of the leader's key that must still hold; 0 if there must be none.
    pub leader_revision: u64,
    /// Revision of the record that must still hold; 0 creates it.
    pub record_revision: u64,
    /// Lease under which the leader's key is written.
    pub claim: Option<u64>,
    /// Whether the leader's key is deleted.
    pub resign: bool,
    pub record: record::OwnershipRecord,
}

/// Grant that the core asks for.
#[derive(Clone, Debug)]
pub struct GrantCommand {
    pub owner: record::OwnerInfo,
    pub range: range::KeyRange,
    pub fence: u64,
    pub ttl: Duration,
    pub handover: Option<String>,
    /// When the core decided; the call is void if it cannot be sent soon after.
    pub sent: Duration,
}

/// Release that the core asks for.
#[derive(Clone, Debug)]
pub struct ReleaseCommand {
    pub owner: record::OwnerInfo,
    pub range: range::KeyRange,
    pub former: record::FormerOwner,
}

/// How far the grants of a service that this instance leads have come.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct GrantProgress {
    pub ranges: usize,
    /// Ranges whose owner has not acknowledged its grant.
    pub unowned: usize,
    /// Age of the oldest acknowledged renewal.
    pub oldest_ack_age: Duration,
}

/// What the other instances are told without the store's delay.
#[derive(Clone, Debug)]
pub struct Announcement {
    /// The stored record with what was acknowledged since.
    pub record: record::OwnershipRecord,
    pub version: record::RecordVersion,
}

/// Output of the core.
#[derive(Clone, Debug)]
pub enum OwnershipAction {
    OpenLease {
        ttl: Duration,
    },
    RenewLease {
        lease: u64,
    },
    Commit(Box<CommitCommand>),
    Grant(GrantCommand),
    Release(ReleaseCommand),
    /// Asks a predecessor whether it still acts.
    ProbePredecessor(record::InstanceInfo),
    /// Tells the other instances what the store has accepted.
    Announce(Box<Announcement>),
    Report(OwnershipDecision),
}

/// Decision worth a log line; `decision` names it there.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "decision")]
pub enum OwnershipDecision {
    Leading {
        revision: u64,
        predecessors: Vec<String>,
    },
    PredecessorEnded {
        name: String,
    },
    StoppedLeading {
        reason: &'static str,
    },
    Moving {
        range: range::KeyRange,
        from: Option<ids::UpstreamKey>,
        to: ids::UpstreamKey,
        fence: u64,
        reason: &'static str,
    },
    FormerCleared {
        range: range::KeyRange,
        former: ids::UpstreamKey,
        proof: assignment::ReleaseStatus,
    },
    OwnerGranted {
        range: range::KeyRange,
        owner: ids::UpstreamKey,
        fence: u64,
    },
    OwnerLapsed {
        range: range::KeyRange,
        owner: ids::UpstreamKey,
    },
}

impl OwnershipDecision {
    /// Returns the decision as logs and metrics name it.
    pub fn as_str(&self) -> &'static str {
        match self {
            OwnershipDecision::Leading { .. } => "leading",
            OwnershipDecision::PredecessorEnded { .. } => "predecessor-ended",
            OwnershipDecision::StoppedLeading { .. } => "stopped-leading",
            OwnershipDecision::Moving { .. } => "moving",
            OwnershipDecision::FormerCleared { .. } => "former-cleared",
            OwnershipDecision::OwnerGranted { .. } => "owner-granted",
            OwnershipDecision::OwnerLapsed { .. } => "owner-lapsed",
        }
    }
}
