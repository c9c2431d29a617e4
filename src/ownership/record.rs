//! The ownership record of one service, as the metadata store keeps it.

use crate::ids;
use crate::range;
use prost::Message;
use smallvec::SmallVec;
use std::net::SocketAddr;
use std::sync::Arc;
use thiserror::Error;

/// One run of an instance, as others reach it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InstanceInfo {
    /// Differs for each run.
    pub run: ids::InstanceKey,
    /// Stays the same when the instance restarts.
    pub name: String,
    /// Address for datagrams between instances.
    pub address: SocketAddr,
}

/// One life of an upstream that owns or owned keys.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OwnerInfo {
    pub key: ids::UpstreamKey,
    pub id: Arc<str>,
    pub started_ms: u64,
    pub address: SocketAddr,
}

/// Upstream that may still hold a range.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FormerOwner {
    pub key: ids::UpstreamKey,
    /// Fence number under which it held the range.
    pub fence: u64,
}

/// Former owners of one range.
pub type FormerOwners = SmallVec<[FormerOwner; 2]>;

/// Owner of one range.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RangeAssignment {
    pub range: range::KeyRange,
    pub owner: ids::UpstreamKey,
    /// Fence number of the owner's grant.
    pub fence: u64,
    /// Whether the owner has acknowledged the grant.
    pub granted: bool,
    /// Upstreams that must let go of the range before it is granted.
    pub former_owners: FormerOwners,
}

/// Who owns what in one service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OwnershipRecord {
    /// Identity of the write, to recognise it after a lost answer.
    pub write_id: u64,
    /// Instance that wrote the record.
    pub leader: InstanceInfo,
    /// Whether that instance has stopped granting for good.
    pub resigned: bool,
    /// Earlier leaders that may still renew grants.
    pub predecessors: Vec<InstanceInfo>,
    /// Life of the grants, in milliseconds.
    pub grant_ttl_ms: u64,
    /// Fence number for the next change of an owner.
    pub next_fence: u64,
    pub owners: Vec<OwnerInfo>,
    /// Ordered by range, without gaps.
    pub assignments: Vec<RangeAssignment>,
}

/// Order among the states of a service's record, stored or announced.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct RecordVersion {
    /// Revision of the stored record.
    pub revision: u64,
    /// Announcements since it was stored; 0 for the stored record itself.
    pub sequence: u64,
}

/// A stored value that is no ownership record.
#[derive(Debug, Error)]
pub enum RecordError {
    #[error("ownership record cannot be read: {0}; delete its key so that it is made anew")]
    Syntax(#[from] prost::DecodeError),
    #[error("ownership record's {0} is missing; delete its key so that it is made anew")]
    Missing(&'static str),
    #[error(
        "ownership record's address \"{0}\" is invalid; delete its key so that it is made anew"
    )]
    Address(String),
    #[error("ownership record's ranges leave gaps; delete its key so that it is made anew")]
    Gaps,
}

#[derive(Clone, PartialEq, prost::Message)]
struct WireNode {
    #[prost(fixed64, tag = "1")]
    run: u64,
    #[prost(string, tag = "2")]
    name: String,
    #[prost(string, tag = "3")]
    address: String,
}

#[derive(Clone, PartialEq, prost::Message)]
struct WireOwner {
    #[prost(fixed64, tag = "1")]
    key: u64,
    #[prost(string, tag = "2")]
    id: String,
    #[prost(uint64, tag = "3")]
    started_ms: u64,
    #[prost(string, tag = "4")]
    address: String,
}

#[derive(Clone, PartialEq, prost::Message)]
struct WireFormer {
    /// Position among the owners.
    #[prost(uint32, tag = "1")]
    owner: u32,
    #[prost(uint64, tag = "2")]
    fence: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
struct WireHolding {
    #[prost(uint64, tag = "1")]
    last: u64,
    /// Position among the owners.
    #[prost(uint32, tag = "2")]
    owner: u32,
    #[prost(uint64, tag = "3")]
    fence: u64,
    #[prost(bool, tag = "4")]
    granted: bool,
    #[prost(message, repeated, tag = "5")]
    former_owners: Vec<WireFormer>,
}

/// Stored form of a record; ranges follow each other without gaps.
#[derive(Clone, PartialEq, prost::Message)]
struct WireRecord {
    #[prost(fixed64, tag = "1")]
    write_id: u64,
    #[prost(message, optional, tag = "2")]
    leader: Option<WireNode>,
    #[prost(bool, tag = "3")]
    resigned: bool,
    #[prost(uint64, tag = "4")]
    grant_ttl_ms: u64,
    #[prost(uint64, tag = "5")]
    next_fence: u64,
    #[prost(message, repeated, tag = "6")]
    owners: Vec<WireOwner>,
    #[prost(message, repeated, tag = "7")]
    assignments: Vec<WireHolding>,
    #[prost(message, repeated, tag = "8")]
    predecessors: Vec<WireNode>,
}

impl From<&InstanceInfo> for WireNode {
    fn from(node: &InstanceInfo) -> WireNode {
        WireNode {
            run: node.run.0,
            name: node.name.clone(),
            address: node.address.to_string(),
        }
    }
}

impl TryFrom<WireNode> for InstanceInfo {
    type Error = RecordError;

    fn try_from(wire: WireNode) -> Result<InstanceInfo, RecordError> {
        Ok(InstanceInfo {
            run: ids::InstanceKey(wire.run),
            name: wire.name,
            address: parse_address(wire.address)?,
        })
    }
}

impl From<&OwnershipRecord> for WireRecord {
    fn from(record: &OwnershipRecord) -> WireRecord {
        let index = |key: ids::UpstreamKey| {
            let found = record.owners.iter().position(|owner| owner.key == key);
            // An owner that is not listed becomes an index that no reader accepts.
            found.map_or(u32::MAX, |index| index as u32)
        };
        let assignments = record.assignments.iter().map(|holding| WireHolding {
            last: holding.range.last,
            owner: index(holding.owner),
            fence: holding.fence,
            granted: holding.granted,
            former_owners: holding
                .former_owners
                .iter()
                .map(|former| WireFormer {
                    owner: index(former.key),
                    fence: former.fence,
                })
                .collect(),
        });
        let owners = record.owners.iter().map(|owner| WireOwner {
            key: owner.key.0,
            id: owner.id.to_string(),
            started_ms: owner.started_ms,
            address: owner.address.to_string(),
        });
        WireRecord {
            write_id: record.write_id,
            leader: Some(WireNode::from(&record.leader)),
            predecessors: record.predecessors.iter().map(WireNode::from).collect(),
            resigned: record.resigned,
            grant_ttl_ms: record.grant_ttl_ms,
            next_fence: record.next_fence,
            owners: owners.collect(),
            assignments: assignments.collect(),
        }
    }
}

fn parse_address(text: String) -> Result<SocketAddr, RecordError> {
    text.parse().map_err(|_| RecordError::Address(text))
}

impl TryFrom<WireOwner> for OwnerInfo {
    type Error = RecordError;

    fn try_from(wire: WireOwner) -> Result<OwnerInfo, RecordError> {
        Ok(OwnerInfo {
            key: ids::UpstreamKey(wire.key),
            id: Arc::from(wire.id),
            started_ms: wire.started_ms,
            address: parse_address(wire.address)?,
        })
    }
}

impl TryFrom<WireRecord> for OwnershipRecord {
    type Error = RecordError;

    fn try_from(wire: WireRecord) -> Result<OwnershipRecord, RecordError> {
        let leader = wire.leader.ok_or(RecordError::Missing("leader"))?;
        let predecessors = wire.predecessors.into_iter().map(InstanceInfo::try_from);
        let owners = wire.owners.into_iter().map(OwnerInfo::try_from);
        let owners = owners.collect::<Result<Vec<_>, _>>()?;
        let key = |index: u32| {
            let owner = owners.get(index as usize);
            owner
                .map(|owner| owner.key)
                .ok_or(RecordError::Missing("owner"))
        };
        let mut assignments = Vec::with_capacity(wire.assignments.len());
        let mut first = Some(0);
        for holding in wire.assignments {
            let start = first.filter(|start| *start <= holding.last);
            let range = range::KeyRange {
                first: start.ok_or(RecordError::Gaps)?,
                last: holding.last,
            };
            first = holding.last.checked_add(1);
            let former_owners = holding.former_owners.into_iter().map(|former| {
                Ok(FormerOwner {
                    key: key(former.owner)?,
                    fence: former.fence,
                })
            });
            assignments.push(RangeAssignment {
                range,
                owner: key(holding.owner)?,
                fence: holding.fence,
                granted: holding.granted,
                former_owners: former_owners.collect::<Result<_, RecordError>>()?,
            });
        }
        Ok(OwnershipRecord {
            write_id: wire.write_id,
            leader: leader.try_into()?,
            predecessors: predecessors.collect::<Result<_, _>>()?,
            resigned: wire.resigned,
            grant_ttl_ms: wire.grant_ttl_ms,
            next_fence: wire.next_fence,
            owners,
            assignments,
        })
    }
}

impl OwnershipRecord {
    /// Encodes the record.
    pub fn encode(&self) -> Vec<u8> {
        WireRecord::from(self).encode_to_vec()
    }

    /// Decodes a stored record.
    pub fn decode(value: &[u8]) -> Result<OwnershipRecord, RecordError> {
        WireRecord::decode(value)?.try_into()
    }

    /// Returns the record without its owners and assignments.
    pub fn head(&self) -> OwnershipRecord {
        OwnershipRecord {
            write_id: self.write_id,
            leader: self.leader.clone(),
            resigned: self.resigned,
            predecessors: self.predecessors.clone(),
            grant_ttl_ms: self.grant_ttl_ms,
            next_fence: self.next_fence,
            owners: Vec::new(),
            assignments: Vec::new(),
        }
    }

    /// Returns the holding that covers a key.
    pub fn lookup(&self, key: u64) -> Option<&RangeAssignment> {
        let index = self
            .assignments
            .partition_point(|holding| holding.range.last < key);
        self.assignments
            .get(index)
            .filter(|holding| holding.range.first <= key)
    }
}
