//! Differences between two ownership records of one service.
//!
//! A leader sends the other instances only what changed: a few ranges change at a
//! time, while the size of a whole record grows with the number of upstreams.

use crate::ids;
use crate::ownership::record;
use crate::range;
use prost::Message;
use std::collections::HashMap;
use thiserror::Error;

/// Difference between an ownership record and a later one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RecordPatch {
    /// The later record with empty owners and assignments.
    header: record::OwnershipRecord,
    removed_owners: Vec<ids::UpstreamKey>,
    added_owners: Vec<record::OwnerInfo>,
    /// Assignments that replace all those that they overlap.
    assignments: Vec<record::RangeAssignment>,
}

/// Why a patch cannot be decoded or applied.
#[derive(Debug, Error)]
pub enum PatchError {
    #[error("patched ranges leave gaps, overlap or end at another key; the whole record is needed")]
    RangeMismatch,
    #[error("patch cannot be decoded: {0}; the whole record is needed")]
    Syntax(#[from] prost::DecodeError),
    #[error("patch's header is invalid, the whole record is needed: {0}")]
    Header(#[from] record::RecordError),
}

#[derive(Clone, PartialEq, prost::Message)]
struct WireFormer {
    #[prost(fixed64, tag = "1")]
    owner: u64,
    #[prost(uint64, tag = "2")]
    fence: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
struct WireAssignment {
    #[prost(uint64, tag = "1")]
    first: u64,
    #[prost(uint64, tag = "2")]
    last: u64,
    #[prost(fixed64, tag = "3")]
    owner: u64,
    #[prost(uint64, tag = "4")]
    fence: u64,
    #[prost(bool, tag = "5")]
    granted: bool,
    #[prost(message, repeated, tag = "6")]
    former_owners: Vec<WireFormer>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct WirePatch {
    /// Encoded record with the header's fields and the added owners.
    #[prost(bytes = "vec", tag = "1")]
    header: Vec<u8>,
    #[prost(fixed64, repeated, tag = "2")]
    removed_owners: Vec<u64>,
    #[prost(message, repeated, tag = "3")]
    assignments: Vec<WireAssignment>,
}

impl From<&record::RangeAssignment> for WireAssignment {
    fn from(assignment: &record::RangeAssignment) -> WireAssignment {
        let former_owners = assignment.former_owners.iter().map(|former| WireFormer {
            owner: former.key.0,
            fence: former.fence,
        });
        WireAssignment {
            first: assignment.range.first,
            last: assignment.range.last,
            owner: assignment.owner.0,
            fence: assignment.fence,
            granted: assignment.granted,
            former_owners: former_owners.collect(),
        }
    }
}

impl From<WireAssignment> for record::RangeAssignment {
    fn from(wire: WireAssignment) -> record::RangeAssignment {
        let former_owners = wire.former_owners.iter().map(|former| record::FormerOwner {
            key: ids::UpstreamKey(former.owner),
            fence: former.fence,
        });
        record::RangeAssignment {
            range: range::KeyRange {
                first: wire.first,
                last: wire.last,
            },
            owner: ids::UpstreamKey(wire.owner),
            fence: wire.fence,
            granted: wire.granted,
            former_owners: former_owners.collect(),
        }
    }
}

impl RecordPatch {
    /// Returns the patch that turns `old` into `new`.
    pub fn between(old: &record::OwnershipRecord, new: &record::OwnershipRecord) -> RecordPatch {
        let changed = |assignment: &&record::RangeAssignment| {
            let known = old.lookup(assignment.range.first);
            known != Some(assignment)
        };
        let (before, after) = (index_owners(old), index_owners(new));
        let added = |owner: &&record::OwnerInfo| before.get(&owner.key) != Some(owner);
        let removed = |owner: &&record::OwnerInfo| after.get(&owner.key) != Some(owner);
        let removed = old.owners.iter().filter(removed);
        RecordPatch {
            header: new.header(),
            removed_owners: removed.map(|owner| owner.key).collect(),
            added_owners: new.owners.iter().filter(added).cloned().collect(),
            assignments: new.assignments.iter().filter(changed).cloned().collect(),
        }
    }

    /// Returns the later record, given the earlier one.
    ///
    /// Fails if its ranges would not cover the same keys.
    pub fn apply(
        &self,
        old: &record::OwnershipRecord,
    ) -> Result<record::OwnershipRecord, PatchError> {
        let removed = |owner: &record::OwnerInfo| self.removed_owners.contains(&owner.key);
        let mut owners = old.owners.clone();
        owners.retain(|owner| !removed(owner));
        owners.extend(self.added_owners.iter().cloned());
        owners.sort_by_key(|owner| owner.key);
        let replaced = |assignment: &&record::RangeAssignment| {
            let mut patched = self.assignments.iter();
            patched.any(|other| other.range.overlaps(&assignment.range))
        };
        let kept = old
            .assignments
            .iter()
            .filter(|assignment| !replaced(assignment));
        let mut assignments: Vec<_> = kept.chain(&self.assignments).cloned().collect();
        assignments.sort_by_key(|assignment| assignment.range.first);
        if !covers_same(&old.assignments, &assignments) {
            return Err(PatchError::RangeMismatch);
        }
        Ok(record::OwnershipRecord {
            owners,
            assignments,
            ..self.header.clone()
        })
    }

    /// Encodes the patch for a message.
    pub fn encode(&self) -> Vec<u8> {
        let header = record::OwnershipRecord {
            owners: self.added_owners.clone(),
            ..self.header.clone()
        };
        let removed = self.removed_owners.iter().map(|key| key.0);
        let wire = WirePatch {
            header: header.encode(),
            removed_owners: removed.collect(),
            assignments: self.assignments.iter().map(WireAssignment::from).collect(),
        };
        wire.encode_to_vec()
    }

    /// Decodes a patch from a message.
    pub fn decode(bytes: &[u8]) -> Result<RecordPatch, PatchError> {
        let wire = WirePatch::decode(bytes)?;
        let mut header = record::OwnershipRecord::decode(&wire.header)?;
        let added_owners = std::mem::take(&mut header.owners);
        let removed = wire.removed_owners.into_iter().map(ids::UpstreamKey);
        let assignments = wire
            .assignments
            .into_iter()
            .map(record::RangeAssignment::from);
        Ok(RecordPatch {
            header,
            removed_owners: removed.collect(),
            added_owners,
            assignments: assignments.collect(),
        })
    }
}

fn index_owners(record: &record::OwnershipRecord) -> HashMap<ids::UpstreamKey, &record::OwnerInfo> {
    let owners = record.owners.iter();
    owners.map(|owner| (owner.key, owner)).collect()
}

/// Returns whether the new ranges cover the same keys as the old ones, without gaps.
///
/// Without old ranges, the new ones may end at any key.
fn covers_same(old: &[record::RangeAssignment], new: &[record::RangeAssignment]) -> bool {
    let adjacent = |pair: &[record::RangeAssignment]| {
        pair[0].range.last.checked_add(1) == Some(pair[1].range.first)
    };
    let last = |assignments: &[record::RangeAssignment]| {
        assignments.last().map(|assignment| assignment.range.last)
    };
    let first = new.first().map(|assignment| assignment.range.first);
    let same_end = old.is_empty() || last(old) == last(new);
    same_end && first.is_none_or(|first| first == 0) && new.windows(2).all(adjacent)
}
