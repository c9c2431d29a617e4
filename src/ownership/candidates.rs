//! Upstreams that can own keys, as the planning leader sees them.

use crate::directory;
use crate::ids;
use crate::ownership::record;
use std::collections::BTreeSet;
use std::time::Duration;

/// Part of its capacity that an upstream offers while it warms up.
const WARMING_CAPACITY: f32 = 0.5;

/// One upstream that may own keys.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnerCandidate {
    pub info: record::OwnerInfo,
    pub draining: bool,
    pub slots: u32,
    /// Until when it is slow after its start.
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
    /// Returns the load that the upstream can carry, relative to others.
    pub fn capacity(&self, now: Duration) -> f32 {
        let slots = self.slots.max(1) as f32;
        match now < self.warmup_until {
            true => slots * WARMING_CAPACITY,
            false => slots,
        }
    }
}

/// All upstreams of one service that may own keys.
#[derive(Clone, Debug, Default)]
pub struct CandidateTable {
    candidates: Vec<OwnerCandidate>,
}

impl CandidateTable {
    /// Creates a table.
    pub fn new(candidates: Vec<OwnerCandidate>) -> CandidateTable {
        CandidateTable { candidates }
    }

    /// Returns whether two tables have the same upstreams.
    pub fn has_same_keys(&self, other: &CandidateTable) -> bool {
        let keys = |table: &CandidateTable| {
            let candidates = table.candidates.iter();
            candidates
                .map(|found| found.info.key)
                .collect::<BTreeSet<_>>()
        };
        keys(self) == keys(other)
    }

    /// Keeps matching upstreams from getting keys, unless no other is left.
    pub fn exclude(&mut self, excluded: impl Fn(ids::UpstreamKey) -> bool) {
        if self.usable().all(|found| excluded(found.info.key)) {
            return;
        }
        self.candidates.retain(|found| !excluded(found.info.key));
    }

    /// Returns a registered upstream.
    pub fn get(&self, key: ids::UpstreamKey) -> Option<&OwnerCandidate> {
        self.candidates.iter().find(|found| found.info.key == key)
    }

    /// Returns the upstreams that take new keys.
    pub fn usable(&self) -> impl Iterator<Item = &OwnerCandidate> {
        self.candidates.iter().filter(|found| !found.draining)
    }

    /// Returns whether a life certainly ended, with nobody left at its address.
    ///
    /// Another life at the same address may have taken grants that were meant for
    /// the former one, so it must release them.
    pub fn has_moved_away(&self, info: &record::OwnerInfo) -> bool {
        let lives = self.candidates.iter().map(|found| &found.info);
        let mut reborn =
            lives.filter(|other| other.id == info.id && other.started_ms > info.started_ms);
        reborn.any(|other| other.address != info.address)
    }
}
