//! The ownership record of one service, as the metadata store keeps it.

use crate::ids;
use crate::range;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::net::SocketAddr;
use std::sync::Arc;
use thiserror::Error;

/// One run of an instance, as others reach it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct NodeInfo {
    /// Differs for each run.
    pub run: ids::InstanceKey,
    /// Stays the same when the instance restarts.
    pub name: String,
    /// Address for datagrams between instances.
    pub address: SocketAddr,
}

/// One life of an upstream that owns or owned keys.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OwnerInfo {
    pub key: ids::UpstreamKey,
    pub id: Arc<str>,
    pub born_ms: u64,
    pub address: SocketAddr,
}

/// Upstream that may still hold a range.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FormerOwner {
    pub key: ids::UpstreamKey,
    /// Fence number under which it held the range.
    pub fence: u64,
}

/// Former owners of one range.
pub type FormerList = SmallVec<[FormerOwner; 2]>;

/// Owner of one range.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Holding {
    pub range: range::KeyRange,
    pub owner: ids::UpstreamKey,
    /// Fence number of the owner's grant.
    pub fence: u64,
    /// Whether the owner has acknowledged the grant.
    pub granted: bool,
    /// Upstreams that must let go of the range before it is granted.
    #[serde(default, skip_serializing_if = "SmallVec::is_empty")]
    pub formers: FormerList,
}

/// Who owns what in one service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OwnershipRecord {
    /// Identity of the write, to recognise it after a lost answer.
    pub attempt: u64,
    /// Instance that wrote the record.
    pub leader: NodeInfo,
    /// Whether that instance has stopped granting for good.
    pub resigned: bool,
    /// Life of the grants, in milliseconds.
    pub hold_ms: u64,
    /// Fence number for the next change of an owner.
    pub next_fence: u64,
    pub owners: Vec<OwnerInfo>,
    /// Ordered by range, without gaps.
    pub holdings: Vec<Holding>,
}

/// A stored value that is no ownership record.
#[derive(Debug, Error)]
pub enum RecordError {
    #[error("ownership record cannot be read: {0}; delete its key so that it is made anew")]
    Syntax(#[from] serde_json::Error),
    #[error("ownership record's ranges leave gaps; delete its key so that it is made anew")]
    Gaps,
}

impl OwnershipRecord {
    /// Encodes the record.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("records always encode")
    }

    /// Decodes a stored record.
    pub fn decode(value: &[u8]) -> Result<OwnershipRecord, RecordError> {
        let record: OwnershipRecord = serde_json::from_slice(value)?;
        let mut next = Some(0);
        for holding in &record.holdings {
            if next != Some(holding.range.first) || holding.range.last < holding.range.first {
                return Err(RecordError::Gaps);
            }
            next = holding.range.last.checked_add(1);
        }
        Ok(record)
    }

    /// Returns the holding that covers a key.
    pub fn lookup(&self, key: u64) -> Option<&Holding> {
        let index = self
            .holdings
            .partition_point(|holding| holding.range.last < key);
        self.holdings
            .get(index)
            .filter(|holding| holding.range.first <= key)
    }
}
