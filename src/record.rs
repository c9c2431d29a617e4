//! The assignment record: everything about a service that outlives instances.
//!
//! One record per service is kept in the platform's service and written by
//! compare-and-swap only. It always covers every server that may own a range
//! and every instance that may renew a server, so a new controller finds the
//! truth by asking just these.

use crate::ids;
use crate::range;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::net::SocketAddr;
use thiserror::Error;

/// Servers that may own a range, the preferred owner first.
pub type CandidateList = SmallVec<[ids::UpstreamKey; 4]>;

/// One run of an instance, as other instances reach it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerInfo {
    pub key: ids::InstanceKey,
    pub id: String,
    pub zone: String,
    pub control: SocketAddr,
}

/// Keepers that may renew one server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeeperEntry {
    pub upstream: ids::UpstreamKey,
    pub keepers: Vec<PeerInfo>,
}

/// Possible owners of one range.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RangeEntry {
    pub range: range::KeyRange,
    pub candidates: CandidateList,
}

/// Assignment of one service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AssignmentRecord {
    /// Identity of the write, to recognise it after a lost reply.
    pub attempt: u64,
    pub term: u32,
    pub controller: PeerInfo,
    /// Instance that may act under `term + 1` without another write.
    pub standby: Option<PeerInfo>,
    pub keepers: Vec<KeeperEntry>,
    pub ranges: Vec<RangeEntry>,
}

impl AssignmentRecord {
    /// Returns the lowest term that neither controller nor standby may use.
    pub fn next_term(&self) -> u32 {
        self.term + 2
    }

    /// Returns the recorded keepers of `upstream`.
    pub fn keepers_of(&self, upstream: ids::UpstreamKey) -> &[PeerInfo] {
        let entry = self.keepers.iter().find(|entry| entry.upstream == upstream);
        entry.map_or(&[], |entry| &entry.keepers)
    }
}

/// Stored form of [`AssignmentRecord`].
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct StoredRecord {
    attempt: u64,
    term: u32,
    controller: ids::InstanceKey,
    standby: Option<ids::InstanceKey>,
    instances: Vec<PeerInfo>,
    keepers: Vec<(ids::UpstreamKey, Vec<ids::InstanceKey>)>,
    /// First hash of each range, and its candidates.
    ranges: Vec<(u64, Vec<ids::UpstreamKey>)>,
}

/// A stored record that does not describe an assignment.
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
        for entry in &record.keepers {
            instances.extend(entry.keepers.iter().cloned());
        }
        instances.sort_by_key(|peer| peer.key);
        instances.dedup_by_key(|peer| peer.key);
        let keepers = record.keepers.iter().map(|entry| {
            let keys = entry.keepers.iter().map(|peer| peer.key).collect();
            (entry.upstream, keys)
        });
        let ranges = record.ranges.iter();
        let ranges = ranges.map(|entry| (entry.range.first, entry.candidates.to_vec()));
        StoredRecord {
            attempt: record.attempt,
            term: record.term,
            controller: record.controller.key,
            standby: record.standby.as_ref().map(|peer| peer.key),
            instances,
            keepers: keepers.collect(),
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
        let mut keepers = Vec::with_capacity(stored.keepers.len());
        for (upstream, keys) in &stored.keepers {
            let peers = keys.iter().map(|key| find(*key));
            keepers.push(KeeperEntry {
                upstream: *upstream,
                keepers: peers.collect::<Result<_, _>>()?,
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
            attempt: stored.attempt,
            term: stored.term,
            controller: find(stored.controller)?,
            standby: stored.standby.map(find).transpose()?,
            keepers,
            ranges: ranges.collect(),
        })
    }
}

impl AssignmentRecord {
    /// Encodes the record for the platform's service.
    pub fn to_json(&self) -> String {
        serde_json::to_string(&StoredRecord::from(self)).expect("records always encode")
    }

    /// Decodes a record read from the platform's service.
    pub fn from_json(text: &str) -> Result<AssignmentRecord, RecordError> {
        serde_json::from_str::<StoredRecord>(text)?.try_into()
    }
}
