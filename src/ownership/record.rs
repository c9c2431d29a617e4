//! The ownership record of one service, as kept in the metadata store.

use crate::ids;
use crate::range;
use crate::store;
use prost::Message;
use smallvec::SmallVec;
use std::net::SocketAddr;
use std::sync::Arc;
use thiserror::Error;

/// One run of an instance, with its address.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InstanceInfo {
    pub run: ids::InstanceKey,
    /// The same for all runs of the instance.
    pub name: String,
    /// Address at which it receives datagrams of other instances.
    pub address: SocketAddr,
}

/// One run of an upstream that is or was an owner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OwnerInfo {
    pub key: ids::UpstreamKey,
    pub id: Arc<str>,
    /// Start of this run, in milliseconds since 1970.
    pub started_ms: u64,
    pub address: SocketAddr,
}

/// Earlier owner of a range, which may still hold a grant for it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FormerOwner {
    pub key: ids::UpstreamKey,
    /// Fencing token of its grant.
    pub fence: u64,
}

/// Former owners of one range.
pub type FormerOwners = SmallVec<[FormerOwner; 2]>;

/// One range and its owner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RangeAssignment {
    pub range: range::KeyRange,
    pub owner: ids::UpstreamKey,
    /// Fencing token of the owner's grant.
    pub fence: u64,
    /// Whether the owner has acknowledged the grant.
    pub granted: bool,
    /// Upstreams whose grants must have ended before the owner is sent one.
    pub former_owners: FormerOwners,
}

/// Owners of all ranges of one service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OwnershipRecord {
    /// ID of the write, by which its author recognizes it after a lost response.
    pub write_id: u64,
    /// Instance that wrote the record.
    pub leader: InstanceInfo,
    /// Era of the store in which the record was written; 0 if that is not known.
    pub era: store::Era,
    /// Whether the store may have lost moves before this record, and nothing was granted since.
    pub lacks_moves: bool,
    /// Whether that instance has stopped and none of its grants can arrive any more.
    pub resigned: bool,
    /// Earlier leaders that may still renew grants.
    pub predecessors: Vec<InstanceInfo>,
    pub grant_ttl_ms: u64,
    /// Fencing token for the next change of an owner.
    pub next_fence: u64,
    /// All upstreams that the assignments name.
    pub owners: Vec<OwnerInfo>,
    /// Sorted by range, from key 0 on and without gaps.
    pub assignments: Vec<RangeAssignment>,
}

/// Why a stored value is not a valid ownership record.
#[derive(Debug, Error)]
pub enum RecordError {
    #[error(
        "ownership record cannot be decoded: {0}; delete its key in the store so that a leader creates a new one"
    )]
    Syntax(#[from] prost::DecodeError),
    #[error(
        "ownership record lacks its {0}; delete its key in the store so that a leader creates a new one"
    )]
    Missing(&'static str),
    #[error(
        "ownership record contains the invalid address \"{0}\"; delete its key in the store so that a leader creates a new one"
    )]
    Address(String),
    #[error(
        "ownership record's ranges are out of order; delete its key in the store so that a leader creates a new one"
    )]
    RangeOrder,
}

#[derive(Clone, PartialEq, prost::Message)]
struct WireInstance {
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
    /// Index into `WireRecord::owners`.
    #[prost(uint32, tag = "1")]
    owner: u32,
    #[prost(uint64, tag = "2")]
    fence: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
struct WireAssignment {
    #[prost(uint64, tag = "1")]
    last: u64,
    /// Index into `WireRecord::owners`.
    #[prost(uint32, tag = "2")]
    owner: u32,
    #[prost(uint64, tag = "3")]
    fence: u64,
    #[prost(bool, tag = "4")]
    granted: bool,
    #[prost(message, repeated, tag = "5")]
    former_owners: Vec<WireFormer>,
}

/// Stored form of a record.
///
/// Only the last key of a range is stored, as each range begins where the one
/// before it ends.
#[derive(Clone, PartialEq, prost::Message)]
struct WireRecord {
    #[prost(fixed64, tag = "1")]
    write_id: u64,
    #[prost(message, optional, tag = "2")]
    leader: Option<WireInstance>,
    #[prost(bool, tag = "3")]
    resigned: bool,
    #[prost(uint64, tag = "4")]
    grant_ttl_ms: u64,
    #[prost(uint64, tag = "5")]
    next_fence: u64,
    #[prost(message, repeated, tag = "6")]
    owners: Vec<WireOwner>,
    #[prost(message, repeated, tag = "7")]
    assignments: Vec<WireAssignment>,
    #[prost(message, repeated, tag = "8")]
    predecessors: Vec<WireInstance>,
    #[prost(uint64, tag = "9")]
    era: u64,
    #[prost(bool, tag = "10")]
    lacks_moves: bool,
}

impl From<&InstanceInfo> for WireInstance {
    fn from(instance: &InstanceInfo) -> WireInstance {
        WireInstance {
            run: instance.run.0,
            name: instance.name.clone(),
            address: instance.address.to_string(),
        }
    }
}

impl TryFrom<WireInstance> for InstanceInfo {
    type Error = RecordError;

    fn try_from(wire: WireInstance) -> Result<InstanceInfo, RecordError> {
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
            // An owner that is not listed gets an index that `decode` rejects.
            found.map_or(u32::MAX, |index| index as u32)
        };
        let assignments = record.assignments.iter().map(|assignment| WireAssignment {
            last: assignment.range.last,
            owner: index(assignment.owner),
            fence: assignment.fence,
            granted: assignment.granted,
            former_owners: assignment
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
            leader: Some(WireInstance::from(&record.leader)),
            predecessors: record.predecessors.iter().map(WireInstance::from).collect(),
            era: record.era,
            lacks_moves: record.lacks_moves,
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
        for assignment in wire.assignments {
            let start = first.filter(|start| *start <= assignment.last);
            let range = range::KeyRange {
                first: start.ok_or(RecordError::RangeOrder)?,
                last: assignment.last,
            };
            first = assignment.last.checked_add(1);
            let former_owners = assignment.former_owners.into_iter().map(|former| {
                Ok(FormerOwner {
                    key: key(former.owner)?,
                    fence: former.fence,
                })
            });
            assignments.push(RangeAssignment {
                range,
                owner: key(assignment.owner)?,
                fence: assignment.fence,
                granted: assignment.granted,
                former_owners: former_owners.collect::<Result<_, RecordError>>()?,
            });
        }
        Ok(OwnershipRecord {
            write_id: wire.write_id,
            leader: leader.try_into()?,
            predecessors: predecessors.collect::<Result<_, _>>()?,
            era: wire.era,
            lacks_moves: wire.lacks_moves,
            resigned: wire.resigned,
            grant_ttl_ms: wire.grant_ttl_ms,
            next_fence: wire.next_fence,
            owners,
            assignments,
        })
    }
}

impl OwnershipRecord {
    /// Encodes the record for the store.
    pub fn encode(&self) -> Vec<u8> {
        WireRecord::from(self).encode_to_vec()
    }

    /// Decodes a record from the store.
    pub fn decode(value: &[u8]) -> Result<OwnershipRecord, RecordError> {
        WireRecord::decode(value)?.try_into()
    }

    /// Returns the record's other fields, with empty owners and assignments.
    pub fn header(&self) -> OwnershipRecord {
        OwnershipRecord {
            write_id: self.write_id,
            leader: self.leader.clone(),
            era: self.era,
            lacks_moves: self.lacks_moves,
            resigned: self.resigned,
            predecessors: self.predecessors.clone(),
            grant_ttl_ms: self.grant_ttl_ms,
            next_fence: self.next_fence,
            owners: Vec::new(),
            assignments: Vec::new(),
        }
    }

    /// Returns the assignment that covers a key.
    pub fn lookup(&self, key: u64) -> Option<&RangeAssignment> {
        let index = self
            .assignments
            .partition_point(|assignment| assignment.range.last < key);
        self.assignments
            .get(index)
            .filter(|assignment| assignment.range.first <= key)
    }
}
