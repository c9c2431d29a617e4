//! Messages between instances: reports, heartbeats, ownership records, store changes.
//!
//! Reports and heartbeats are sent as datagrams, any of which may be lost; all are
//! repeated. Ownership records and the store's changes are sent as frames over TCP,
//! since they outgrow a datagram. A receiver that missed one notices by the version
//! or revision of the next one. It gets the record after its next report, and reads
//! the changes from the store.

mod wire;

use crate::fleet::relay;
use crate::ids;
use crate::limits::{allocator, members};
use crate::notices::crashes;
use crate::ownership::{load, patch, record};
use crate::store;
use prost::Message;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio_util::bytes::Bytes;

/// Longest datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 8 * 1024;

/// Most request counts in one report, so that its datagram fits into a usual packet.
pub const MAX_REPORT_COUNTS: usize = 250;

/// Message of one instance to another about one service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerMessage {
    /// Empty in a message about the store's changes.
    pub service: String,
    /// Run and name of the sender.
    pub run: ids::InstanceKey,
    pub name: String,
    pub content: MessageContent,
}

/// Most upstreams that leave in one report; the others follow once these own no keys.
pub const MAX_REPORT_DEPARTURES: usize = 32;

#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MessageContent {
    /// Periodic message of an instance to a service's leader, or response to a probe.
    Report {
        /// Whether the sender leads the service.
        leading: bool,
        /// Version of the service's record that the sender knows.
        known: store::AnnouncedVersion,
        /// Version of the list of instances that the sender knows; absent from builds
        /// that know no such list.
        members: Option<store::AnnouncedVersion>,
        /// Whether the sender stops and should allocate no limits any more.
        stopping: bool,
        /// Upstreams that own keys, as far as the sender knows, and told it that they leave.
        leaving: Vec<ids::UpstreamKey>,
        load: load::LoadReport,
    },
    /// Response of a service's leader to a report, or its probe of an earlier leader.
    Heartbeat {
        /// Position at which the sender became the leader.
        position: store::StorePosition,
        /// Number of instances that report to the sender, itself included.
        instances: u32,
        /// Position up to which the sender relays the store's changes, if it is a relay.
        relayed: Option<store::StorePosition>,
        /// Time for which the sender may miss changes after that position.
        age: Duration,
        /// What the receiver does for its group of the relay's followers.
        role: relay::GroupRole,
        /// Whether the receiver must confirm with a report that it does not lead.
        probe: bool,
    },
    /// Whole ownership record, as announced by its leader.
    Record {
        version: store::AnnouncedVersion,
        record: Arc<record::OwnershipRecord>,
    },
    /// What changed in an ownership record since an earlier announcement.
    Patch {
        /// Version that the patch applies to.
        base: store::AnnouncedVersion,
        version: store::AnnouncedVersion,
        patch: Box<patch::RecordPatch>,
    },
    /// Changes of the store, passed on by a relay.
    Changes(RelayedChanges),
    /// Encoded message of a relay, to be handled and passed on.
    Forward {
        addresses: Vec<SocketAddr>,
        frame: Bytes,
    },
    /// Asks a relay to repeat the changes after a position.
    ChangesAsk {
        after: store::StorePosition,
    },
    /// Items of the store that an instance read for the others of its group.
    Items {
        era: store::Era,
        items: Vec<store::StoredItem>,
    },
    /// What the sender knows of requests under which upstreams ended.
    Crashes(Vec<crashes::CrashRecord>),
    /// Instances among which the service's leader divides the limits.
    Members(Arc<members::MemberList>),
    /// Request for permits, to the allocator of a limit.
    PermitAsk(allocator::PermitAsk),
    PermitAnswer(allocator::PermitAnswer),
    /// A limit begins or ends, as its allocator has learned.
    LimitNotice(allocator::LimitNotice),
}

impl MessageContent {
    /// Returns whether followers pass the message on to each other.
    ///
    /// A message that asks to pass another one on is none of them, so that nothing travels
    /// further than one step.
    pub fn may_be_forwarded(&self) -> bool {
        matches!(
            self,
            MessageContent::Changes(_)
                | MessageContent::Crashes(_)
                | MessageContent::Patch { .. }
                | MessageContent::Record { .. }
        )
    }
}

/// Changes of the store since a position, without ownership records.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RelayedChanges {
    /// Position that the changes follow; `None` if some are left out.
    pub after: Option<store::StorePosition>,
    /// Time for which the changes may have been true before they were sent.
    pub age: Duration,
    pub batch: store::ChangeBatch,
}

/// Why a datagram or frame is not a valid message.
#[derive(Debug, Error)]
pub enum MessageError {
    #[error("message cannot be decoded: {0}; run one version on all instances")]
    Syntax(#[from] prost::DecodeError),
    #[error("message has no content; run one version on all instances")]
    Empty,
    #[error("announced record is dropped: {0}")]
    Record(#[from] record::RecordError),
    #[error("announced patch is dropped: {0}")]
    Patch(#[from] patch::PatchError),
    #[error("list of instances is not a list of addresses; run one version on all instances")]
    Addresses,
}

impl PeerMessage {
    /// Encodes the message as the payload of a datagram or frame.
    pub fn encode(&self) -> Vec<u8> {
        wire::WireMessage::from(self).encode_to_vec()
    }

    /// Decodes the payload of a datagram or frame.
    pub fn decode(payload: &[u8]) -> Result<PeerMessage, MessageError> {
        wire::WireMessage::decode(payload)?.try_into()
    }
}
