//! Upstreams to which a leader can assign ranges.

use crate::directory;
use crate::ids;
use crate::ownership::record;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Share of its capacity that an upstream has while it warms up.
const WARMUP_CAPACITY_SHARE: f32 = 0.5;

/// One registered upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnerCandidate {
    pub info: record::OwnerInfo,
    pub draining: bool,
    /// Requests that it runs at once.
    pub slots: u32,
    /// When its warm-up after the start ends; it is slow until then.
    pub warmup_until: Duration,
}

impl From<&directory::KnownUpstream> for OwnerCandidate {
    fn from(known: &directory::KnownUpstream) -> OwnerCandidate {
        OwnerCandidate {
            info: record::OwnerInfo {
                key: known.key,
                id: known.entry.id.clone(),
                started_ms: known.entry.started_ms,
                address: known.entry.address,
            },
            draining: known.draining_since.is_some(),
            slots: known.entry.slots,
            warmup_until: known.warmup_until,
        }
    }
}

impl OwnerCandidate {
    /// Returns the load that the upstream can take, relative to other upstreams.
    pub fn capacity(&self, now: Duration) -> f32 {
        let slots = self.slots.max(1) as f32;
        match now < self.warmup_until {
            true => slots * WARMUP_CAPACITY_SHARE,
            false => slots,
        }
    }
}

/// Address of a registered upstream of another service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OccupiedAddress {
    pub address: SocketAddr,
    /// Start of the upstream, in Unix milliseconds.
    pub started_ms: u64,
}

impl From<&directory::KnownUpstream> for OccupiedAddress {
    fn from(known: &directory::KnownUpstream) -> OccupiedAddress {
        OccupiedAddress {
            address: known.entry.address,
            started_ms: known.entry.started_ms,
        }
    }
}

/// All registered upstreams of one service.
#[derive(Clone, Debug, Default)]
pub struct CandidateTable {
    candidates: Vec<OwnerCandidate>,
    /// Addresses of the upstreams of other services.
    occupied: Vec<OccupiedAddress>,
}

impl CandidateTable {
    pub fn new(candidates: Vec<OwnerCandidate>) -> CandidateTable {
        CandidateTable {
            candidates,
            occupied: Vec::new(),
        }
    }

    /// Returns the table with the addresses of the upstreams of other services.
    pub fn with_occupied(self, occupied: Vec<OccupiedAddress>) -> CandidateTable {
        CandidateTable { occupied, ..self }
    }

    /// Returns whether two tables contain the same runs of upstreams.
    pub fn has_same_keys(&self, other: &CandidateTable) -> bool {
        let keys = |table: &CandidateTable| {
            let candidates = table.candidates.iter();
            candidates
                .map(|candidate| candidate.info.key)
                .collect::<BTreeSet<_>>()
        };
        keys(self) == keys(other)
    }

    /// Removes the excluded upstreams, unless no usable one would be left.
    pub fn exclude(&mut self, excluded: impl Fn(ids::UpstreamKey) -> bool) {
        if self.usable().all(|candidate| excluded(candidate.info.key)) {
            return;
        }
        self.candidates
            .retain(|candidate| !excluded(candidate.info.key));
    }

    /// Returns an upstream, if it is registered.
    pub fn get(&self, key: ids::UpstreamKey) -> Option<&OwnerCandidate> {
        self.candidates
            .iter()
            .find(|candidate| candidate.info.key == key)
    }

    /// Returns the upstreams to which ranges may be assigned.
    pub fn usable(&self) -> impl Iterator<Item = &OwnerCandidate> {
        self.candidates
            .iter()
            .filter(|candidate| !candidate.draining)
    }

    /// Returns whether a later upstream shows that the run in `info` has certainly ended, and
    /// that nothing answers for it at its address.
    ///
    /// That is a later run of the same upstream at another address, or an upstream of another
    /// service at this one. A later run at the same address may have accepted grants meant
    /// for this one, so it must release them first.
    pub fn is_replaced(&self, info: &record::OwnerInfo) -> bool {
        let runs = self.candidates.iter().map(|candidate| &candidate.info);
        let mut later_runs =
            runs.filter(|other| other.id == info.id && other.started_ms > info.started_ms);
        let is_occupied = |other: &OccupiedAddress| {
            other.address == info.address && other.started_ms > info.started_ms
        };
        later_runs.any(|other| other.address != info.address)
            || self.occupied.iter().any(is_occupied)
    }
}
