//! Input and output of the ownership core: settings, events and actions.

use crate::ids;
use crate::limits;
use crate::ownership::{assignment, candidates, load, record};
use crate::range;
use crate::store;
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// Settings of one service's ownership.
#[derive(Clone, Copy, Debug)]
pub struct OwnershipSettings {
    /// Greatest key.
    pub last_key: u64,
    /// Longest grant TTL that upstreams accept.
    pub max_grant_ttl: Duration,
    /// Whether the instances of the deployment start for the first time.
    pub first_start: bool,
    /// Share of a core that this instance may use.
    pub processor_share: f64,
}

/// The leader's key in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeaderView {
    pub run: ids::InstanceKey,
    /// Name of the instance, the same for all its runs.
    pub name: String,
    /// Era in which the key was written; one of an earlier era names no leader any more.
    pub era: store::Era,
    /// Revision of the key.
    pub revision: u64,
}

/// What this instance knows of the service's keys in the metadata store.
#[derive(Clone, Debug, Default)]
pub struct StoreView {
    /// `None` if no instance has the leader's key.
    pub leader: Option<LeaderView>,
    /// Newest known ownership record, and the revision of its key in the store.
    ///
    /// The store may have an older one if it was restored from a copy.
    pub record: Option<(record::OwnershipRecord, u64)>,
    /// Position up to which the store's changes are known.
    pub as_of: store::StorePosition,
}

/// Result of a write to the store.
///
/// A response of another era than the record's counts as [`CommitResult::Unknown`].
#[derive(Clone, Debug)]
pub enum CommitResult {
    Committed {
        revision: u64,
    },
    /// A key had another revision than expected; contains the stored record.
    Conflict(Option<(Box<record::OwnershipRecord>, u64)>),
    LeaseEnded,
    /// The store refused the write; it has no effect.
    Refused,
    /// No response; the write may have taken effect or may still do so.
    Unknown,
}

/// Result of a grant call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GrantResult {
    Granted,
    /// The upstream has seen a higher fencing token for the range.
    Fenced,
    /// No usable response; the upstream may have accepted the grant.
    Unanswered,
    /// The call did not reach the upstream.
    Unsent,
    /// Another upstream answers at the address, and says which.
    Misdirected,
    /// Whoever answers takes the call for no grant and ignores it; owners of keys never do.
    Refused,
}

impl GrantResult {
    /// Returns the metric label of the result.
    pub fn as_str(self) -> &'static str {
        match self {
            GrantResult::Granted => "granted",
            GrantResult::Fenced => "fenced",
            GrantResult::Unanswered => "unanswered",
            GrantResult::Unsent => "unsent",
            GrantResult::Misdirected => "misdirected",
            GrantResult::Refused => "refused",
        }
    }
}

/// Result of a release call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReleaseResult {
    /// Contains the handover, if the upstream sent one.
    Released(Option<String>),
    /// No usable response, or none at all, whatever the reason.
    Unanswered,
    /// Another upstream answers at the address.
    Misdirected,
}

/// Input of the ownership core.
#[derive(Clone, Debug)]
pub enum OwnershipEvent {
    StoreUpdated(StoreView),
    CandidatesUpdated(candidates::CandidateTable),
    LoadReported(load::LoadReport),
    /// Limits that upstreams state on the requests from all instances together.
    LimitsUpdated(BTreeMap<ids::UpstreamKey, limits::RequestRate>),
    LeaseOpened {
        /// When the call was sent.
        sent: Duration,
        /// ID of the lease; `None` if none was granted.
        lease: Option<u64>,
    },
    LeaseRenewed {
        /// When the call was sent.
        sent: Duration,
        /// `None` if there was no response.
        alive: Option<bool>,
    },
    CommitFinished(CommitResult),
    GrantFinished {
        range: range::KeyRange,
        owner: ids::UpstreamKey,
        fence: u64,
        /// As in the [`GrantCommand`].
        sent: Duration,
        result: GrantResult,
    },
    ReleaseFinished {
        range: range::KeyRange,
        former: record::FormerOwner,
        result: ReleaseResult,
    },
    /// Message of an instance that says whether it leads the service.
    InstanceSeen {
        name: String,
        run: ids::InstanceKey,
        leading: bool,
    },
    /// Another instance became the leader at a position.
    Superseded {
        position: store::StorePosition,
    },
    /// The instance begins a graceful stop.
    Stop,
    /// The instance reaches no upstream any more, or does again.
    LinksChanged {
        stranded: bool,
    },
    Tick,
}

/// Write of the ownership record, and possibly of the leader's key.
#[derive(Clone, Debug)]
pub struct CommitCommand {
    /// Revision that the leader's key must have; 0 if it must not exist.
    pub leader_revision: u64,
    /// Revision that the record must have; 0 if it must not exist.
    pub record_revision: u64,
    /// Lease under which the leader's key is written, if it is written.
    pub claim_lease: Option<u64>,
    /// Whether the leader's key is deleted.
    pub resign: bool,
    pub record: record::OwnershipRecord,
}

/// Grant call to an upstream.
#[derive(Clone, Debug)]
pub struct GrantCommand {
    pub owner: record::OwnerInfo,
    pub range: range::KeyRange,
    pub fence: u64,
    pub ttl: Duration,
    /// Token by which the new owner takes over the former owner's state.
    pub handover: Option<String>,
    /// When the core decided on the call, from which the grant's expiry is counted.
    ///
    /// The call must not be sent later than [`assignment::GRANT_TIMEOUT`] after that.
    pub sent: Duration,
}

/// Release call to a former owner.
#[derive(Clone, Debug)]
pub struct ReleaseCommand {
    pub owner: record::OwnerInfo,
    pub range: range::KeyRange,
    pub former: record::FormerOwner,
}

/// Progress of the grants of a service that this instance leads.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct GrantProgress {
    pub ranges: usize,
    /// Ranges whose owner has not acknowledged its grant.
    pub unowned: usize,
    /// Age of the oldest acknowledged renewal.
    pub oldest_ack_age: Duration,
}

/// Record sent to the other instances, which they get sooner than from the store.
#[derive(Clone, Debug)]
pub struct Announcement {
    /// The stored record, updated with grants acknowledged since.
    pub record: record::OwnershipRecord,
    pub version: store::AnnouncedVersion,
}

/// Output of the ownership core.
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
    /// Asks a predecessor whether it still leads.
    ProbePredecessor(record::InstanceInfo),
    /// Sends the record to the other instances.
    Announce(Box<Announcement>),
    /// Logs and counts a decision.
    Report(OwnershipDecision),
}

/// Decision that is logged, with its name as `decision`.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "decision")]
pub enum OwnershipDecision {
    Leading {
        revision: u64,
        era: store::Era,
        predecessors: Vec<String>,
        /// Time since the service was first seen without a leader, in milliseconds.
        vacant_ms: u64,
        /// Time until the first grant, in milliseconds, after the store lost writes.
        hold_ms: u64,
    },
    PredecessorEnded {
        name: String,
    },
    StoppedLeading {
        reason: &'static str,
        /// Time since the last call that proved the lease, in milliseconds.
        lease_age_ms: u64,
        /// Time for which this instance led, in milliseconds.
        led_ms: u64,
    },
    /// A range moves; `from` is `None` in the initial assignment.
    Moving {
        range: range::KeyRange,
        from: Option<ids::UpstreamKey>,
        to: ids::UpstreamKey,
        fence: u64,
        reason: &'static str,
    },
    /// A former owner certainly has no valid grant for the range any more.
    FormerCleared {
        range: range::KeyRange,
        former: ids::UpstreamKey,
        proof: assignment::ReleaseProof,
        /// Time since the last known grant that it may have accepted, in milliseconds.
        grant_age_ms: u64,
    },
    OwnerGranted {
        range: range::KeyRange,
        owner: ids::UpstreamKey,
        fence: u64,
    },
    /// The owner's grant has expired; not reported at present.
    OwnerLapsed {
        range: range::KeyRange,
        owner: ids::UpstreamKey,
    },
}

impl OwnershipDecision {
    /// Returns the decision's name in logs and metrics.
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
