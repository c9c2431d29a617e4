//! Differences between two ownership records of one service.
//!
//! A leader tells the other instances what changed instead of the whole record:
//! a few ranges change at a time, and the record grows with the upstreams.

use crate::ids;
use crate::ownership::record;
use crate::range;
use prost::Message;
use std::collections::HashMap;
use thiserror::Error;

/// What turns one ownership record into a later one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RecordPatch {
    /// The later record without its owners and assignments.
    head: record::OwnershipRecord,
    removed_owners: Vec<ids::UpstreamKey>,
    added_owners: Vec<record::OwnerInfo>,
    /// Holdings that replace all that they overlap.
    assignments: Vec<record::RangeAssignment>,
}

/// A patch that does not fit the record it is applied to.
#[derive(Debug, Error)]
pub enum PatchError {
    #[error("patch leaves gaps or overlaps between ranges; the whole record is needed")]
    Misfit,
    #[error("patch cannot be read: {0}; the whole record is needed")]
    Syntax(#[from] prost::DecodeError),
    #[error("patch's head cannot be read: {0}")]
    Head(#[from] record::RecordError),
}

#[derive(Clone, PartialEq, prost::Message)]
struct WireFormer {
    #[prost(fixed64, tag = "1")]
    owner: u64,
    #[prost(uint64, tag = "2")]
    fence: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
struct WireHolding {
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
    /// Stored form of the head, whose owners are the added ones.
    #[prost(bytes = "vec", tag = "1")]
    head: Vec<u8>,
    #[prost(fixed64, repeated, tag = "2")]
    removed_owners: Vec<u64>,
    #[prost(message, repeated, tag = "3")]
    assignments: Vec<WireHolding>,
}

impl From<&record::RangeAssignment> for WireHolding {
    fn from(holding: &record::RangeAssignment) -> WireHolding {
        let former_owners = holding.former_owners.iter().map(|former| WireFormer {
            owner: former.key.0,
            fence: former.fence,
        });
        WireHolding {
            first: holding.range.first,
            last: holding.range.last,
            owner: holding.owner.0,
            fence: holding.fence,
            granted: holding.granted,
            former_owners: former_owners.collect(),
        }
    }
}

impl From<WireHolding> for record::RangeAssignment {
    fn from(wire: WireHolding) -> record::RangeAssignment {
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
    /// Returns what turns `old` into `new`.
    pub fn between(old: &record::OwnershipRecord, new: &record::OwnershipRecord) -> RecordPatch {
        let changed = |holding: &&record::RangeAssignment| {
            let known = old.lookup(holding.range.first);
            known != Some(holding)
        };
        let (before, after) = (index_owners(old), index_owners(new));
        let added = |owner: &&record::OwnerInfo| before.get(&owner.key) != Some(owner);
        let gone = |owner: &&record::OwnerInfo| after.get(&owner.key) != Some(owner);
        let removed = old.owners.iter().filter(gone);
        RecordPatch {
            head: new.head(),
            removed_owners: removed.map(|owner| owner.key).collect(),
            added_owners: new.owners.iter().filter(added).cloned().collect(),
            assignments: new.assignments.iter().filter(changed).cloned().collect(),
        }
    }

    /// Returns the later record.
    pub fn apply(
        &self,
        old: &record::OwnershipRecord,
    ) -> Result<record::OwnershipRecord, PatchError> {
        let removed = |owner: &record::OwnerInfo| self.removed_owners.contains(&owner.key);
        let mut owners = old.owners.clone();
        owners.retain(|owner| !removed(owner));
        owners.extend(self.added_owners.iter().cloned());
        owners.sort_by_key(|owner| owner.key);
        let replaced = |holding: &&record::RangeAssignment| {
            let mut patched = self.assignments.iter();
            patched.any(|other| other.range.overlaps(&holding.range))
        };
        let kept = old.assignments.iter().filter(|holding| !replaced(holding));
        let mut assignments: Vec<_> = kept.chain(&self.assignments).cloned().collect();
        assignments.sort_by_key(|holding| holding.range.first);
        if !covers_same(&old.assignments, &assignments) {
            return Err(PatchError::Misfit);
        }
        Ok(record::OwnershipRecord {
            owners,
            assignments,
            ..self.head.clone()
        })
    }

    /// Encodes the patch.
    pub fn encode(&self) -> Vec<u8> {
        let head = record::OwnershipRecord {
            owners: self.added_owners.clone(),
            ..self.head.clone()
        };
        let removed = self.removed_owners.iter().map(|key| key.0);
        let wire = WirePatch {
            head: head.encode(),
            removed_owners: removed.collect(),
            assignments: self.assignments.iter().map(WireHolding::from).collect(),
        };
        wire.encode_to_vec()
    }

    /// Decodes a patch.
    pub fn decode(bytes: &[u8]) -> Result<RecordPatch, PatchError> {
        let wire = WirePatch::decode(bytes)?;
        let mut head = record::OwnershipRecord::decode(&wire.head)?;
        let added_owners = std::mem::take(&mut head.owners);
        let removed = wire.removed_owners.into_iter().map(ids::UpstreamKey);
        let assignments = wire
            .assignments
            .into_iter()
            .map(record::RangeAssignment::from);
        Ok(RecordPatch {
            head,
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

/// Returns whether the ranges follow each other without gaps up to the same key.
fn covers_same(old: &[record::RangeAssignment], new: &[record::RangeAssignment]) -> bool {
    let neighbours = |pair: &[record::RangeAssignment]| {
        pair[0].range.last.checked_add(1) == Some(pair[1].range.first)
    };
    let last =
        |assignments: &[record::RangeAssignment]| assignments.last().map(|held| held.range.last);
    let first = new.first().map(|held| held.range.first);
    let whole = old.is_empty() || last(old) == last(new);
    whole && first.is_none_or(|first| first == 0) && new.windows(2).all(neighbours)
}
