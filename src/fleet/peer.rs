//! Messages between instances: signs of life, request counts, leadership, owners.
//!
//! Signs of life and counts travel as datagrams, any of which may be lost; all
//! are repeated. Ownership records and the store's changes travel as frames,
//! since they outgrow a datagram. A receiver that missed one notices by its order
//! and asks: for a record in its next report, for changes at the store.

mod wire;

use crate::ids;
use crate::ownership::{load, patch, record};
use crate::store;
use prost::Message;
use std::sync::Arc;
use thiserror::Error;

/// Longest datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 8 * 1024;

/// Counts in one datagram, so that it stays below a usual packet.
pub const MAX_COUNTS: usize = 250;

/// What one instance tells another about one service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerMessage {
    pub service: String,
    /// Run and name of the sender.
    pub run: ids::InstanceKey,
    pub name: String,
    pub content: MessageContent,
}

/// Content of a message.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MessageContent {
    /// Sign of life of an instance.
    Report {
        /// Whether the sender acts as the service's leader.
        acting: bool,
        /// State of the service's record that the sender knows.
        known: record::RecordVersion,
        load: load::LoadReport,
    },
    /// Sign of life of the leader.
    Heartbeat {
        /// Revision at which the sender became the leader.
        revision: u64,
        /// Instances that report to it, itself included.
        instances: u32,
        /// Revision up to which the sender relays the store, if it does.
        relayed: Option<u64>,
        /// Whether the receiver is asked whether it still leads.
        challenge: bool,
    },
    /// Whole ownership record.
    Record {
        order: record::RecordVersion,
        record: Arc<record::OwnershipRecord>,
    },
    /// What changed in an ownership record.
    Patch {
        /// State that the patch applies to.
        base: record::RecordVersion,
        order: record::RecordVersion,
        patch: Box<patch::RecordPatch>,
    },
    /// Changes of the store.
    Changes(RelayedChanges),
}

/// Changes of the store since a revision, without ownership records.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RelayedChanges {
    /// Revision that the changes follow; `None` if some are left out.
    pub after: Option<u64>,
    pub batch: store::ChangeBatch,
}

/// A datagram that is no message.
#[derive(Debug, Error)]
pub enum MessageError {
    #[error("datagram cannot be decoded: {0}; run one version on all instances")]
    Syntax(#[from] prost::DecodeError),
    #[error("datagram has no content; run one version on all instances")]
    Empty,
    #[error("announced record is dropped: {0}")]
    Record(#[from] record::RecordError),
    #[error("announced change of a record is dropped: {0}")]
    Patch(#[from] patch::PatchError),
}

impl PeerMessage {
    /// Encodes the message as a datagram.
    pub fn encode(&self) -> Vec<u8> {
        wire::WireMessage::from(self).encode_to_vec()
    }

    /// Decodes a datagram.
    pub fn decode(datagram: &[u8]) -> Result<PeerMessage, MessageError> {
        wire::WireMessage::decode(datagram)?.try_into()
    }
}
