//! Assignment record: the state of a service that survives the loss of instances.
//!
//! Each service has one record in the platform's metadata store, written by
//! compare-and-swap only. It always names every upstream that may own a range
//! and every instance that may renew an upstream, so a new controller learns the
//! actual owners by asking only these instances.

use crate::ids;
use crate::range;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::net::SocketAddr;
use thiserror::Error;

/// Upstreams that may own a range, the preferred owner first.
pub type CandidateList = SmallVec<[ids::UpstreamKey; 4]>;

/// Identity and address of one run of an instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerInfo {
    pub key: ids::InstanceKey,
    /// Stays the same across runs.
    pub id: String,
    pub zone: String,
    /// Address for messages from other instances and from upstreams.
    pub control: SocketAddr,
}

/// Instances that may renew one upstream's grants.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RenewerEntry {
    pub upstream: ids::UpstreamKey,
    pub renewers: Vec<PeerInfo>,
}

/// Possible owners of one range.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RangeEntry {
    pub range: range::KeyRange,
    pub candidates: CandidateList,
}

/// Assignment of one service's ranges to candidates, and its controller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AssignmentRecord {
    /// ID of the write, by which its author recognizes it after a lost response.
    pub write_id: u64,
    pub term: u32,
    pub controller: PeerInfo,
    /// Instance that takes over first when the controller is lost.
    ///
    /// `term + 1` is reserved for it, to act without another write. At present it
    /// claims a term by a write, as any follower does.
    pub standby: Option<PeerInfo>,
    pub renewers: Vec<RenewerEntry>,
    pub ranges: Vec<RangeEntry>,
}

impl AssignmentRecord {
    /// Returns the lowest term that neither controller nor standby may use.
    pub fn next_term(&self) -> u32 {
        self.term + 2
    }

    /// Returns the recorded renewers of `upstream`.
    pub fn renewers_of(&self, upstream: ids::UpstreamKey) -> &[PeerInfo] {
        let entry = self
            .renewers
            .iter()
            .find(|entry| entry.upstream == upstream);
        entry.map_or(&[], |entry| &entry.renewers)
    }
}

/// JSON form of [`AssignmentRecord`], which lists each instance only once.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct StoredRecord {
    #[serde(rename = "attempt")]
    write_id: u64,
    term: u32,
    controller: ids::InstanceKey,
    standby: Option<ids::InstanceKey>,
    instances: Vec<PeerInfo>,
    #[serde(rename = "keepers")]
    renewers: Vec<(ids::UpstreamKey, Vec<ids::InstanceKey>)>,
    /// First hash of each range, and its candidates.
    ranges: Vec<(u64, Vec<ids::UpstreamKey>)>,
}

/// Error of a stored record that cannot be decoded.
#[derive(Debug, Error)]
pub enum RecordError {
    #[error("assignment record is not valid JSON: {0}; restore the value from a backup")]
    Syntax(#[from] serde_json::Error),
    #[error("assignment record names unknown instance {0}; restore the value from a backup")]
    UnknownInstance(ids::InstanceKey),
    #[error("assignment record's ranges are not ascending from 0; restore the value from a backup")]
    RangeOrder,
}

impl From<&AssignmentRecord> for StoredRecord {
    fn from(record: &AssignmentRecord) -> StoredRecord {
        let mut instances = vec![record.controller.clone()];
        instances.extend(record.standby.clone());
        for entry in &record.renewers {
            instances.extend(entry.renewers.iter().cloned());
        }
        instances.sort_by_key(|peer| peer.key);
        instances.dedup_by_key(|peer| peer.key);
        let renewers = record.renewers.iter().map(|entry| {
            let keys = entry.renewers.iter().map(|peer| peer.key).collect();
            (entry.upstream, keys)
        });
        let ranges = record.ranges.iter();
        let ranges = ranges.map(|entry| (entry.range.first, entry.candidates.to_vec()));
        StoredRecord {
            write_id: record.write_id,
            term: record.term,
            controller: record.controller.key,
            standby: record.standby.as_ref().map(|peer| peer.key),
            instances,
            renewers: renewers.collect(),
            ranges: ranges.collect(),
        }
    }
}

impl TryFrom<StoredRecord> for AssignmentRecord {
    type Error = RecordError;

    fn try_from(stored: StoredRecord) -> Result<AssignmentRecord, RecordError> {
        let find = |key: ids::InstanceKey| {
            let peer = stored.instances.iter().find(|peer| peer.key == key);
            peer.cloned().ok_or(RecordError::UnknownInstance(key))
        };
        let mut renewers = Vec::with_capacity(stored.renewers.len());
        for (upstream, keys) in &stored.renewers {
            let peers = keys.iter().map(|key| find(*key));
            renewers.push(RenewerEntry {
                upstream: *upstream,
                renewers: peers.collect::<Result<_, _>>()?,
            });
        }
        let firsts: Vec<u64> = stored.ranges.iter().map(|(first, _)| *first).collect();
        if firsts.first() != Some(&0) || !firsts.is_sorted_by(|one, next| one < next) {
            return Err(RecordError::RangeOrder);
        }
        let lasts = firsts.iter().skip(1).map(|first| first - 1);
        let lasts = lasts.chain([u64::MAX]);
        let ranges = stored.ranges.iter().zip(lasts);
        let ranges = ranges.map(|((first, candidates), last)| RangeEntry {
            range: range::KeyRange {
                first: *first,
                last,
            },
            candidates: candidates.iter().copied().collect(),
        });
        Ok(AssignmentRecord {
            write_id: stored.write_id,
            term: stored.term,
            controller: find(stored.controller)?,
            standby: stored.standby.map(find).transpose()?,
            renewers,
            ranges: ranges.collect(),
        })
    }
}

impl AssignmentRecord {
    /// Encodes the record for the metadata store.
    pub fn to_json(&self) -> String {
        serde_json::to_string(&StoredRecord::from(self)).expect("records always encode")
    }

    /// Decodes a record read from the metadata store.
    pub fn from_json(text: &str) -> Result<AssignmentRecord, RecordError> {
        serde_json::from_str::<StoredRecord>(text)?.try_into()
    }
}
