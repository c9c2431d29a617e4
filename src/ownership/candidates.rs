//! Upstreams to which a leader can assign ranges, and what their entries prove.
//!
//! An entry proves that earlier runs of its own ID have ended, and nothing of other upstreams.

use crate::directory;
use crate::ids;
use crate::ownership::record;
use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
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

/// Address that an entry claims, whatever its service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClaimedAddress {
    pub address: SocketAddr,
    /// Run that claims it.
    pub claimant: ids::UpstreamKey,
    /// Start of that run, in Unix milliseconds.
    pub started_ms: u64,
}

impl From<&directory::KnownUpstream> for ClaimedAddress {
    fn from(known: &directory::KnownUpstream) -> ClaimedAddress {
        ClaimedAddress {
            address: known.entry.address,
            claimant: known.key,
            started_ms: known.entry.started_ms,
        }
    }
}

/// All registered upstreams of one service.
#[derive(Clone, Debug, Default)]
pub struct CandidateTable {
    candidates: Vec<OwnerCandidate>,
    /// Latest claim of each address in the entries of all services, sorted by address.
    claims: Arc<[ClaimedAddress]>,
}

impl CandidateTable {
    pub fn new(candidates: Vec<OwnerCandidate>) -> CandidateTable {
        CandidateTable {
            candidates,
            claims: Arc::default(),
        }
    }

    /// Returns the table with the addresses in the entries of all services.
    pub fn with_claims(self, mut claims: Vec<ClaimedAddress>) -> CandidateTable {
        claims.sort_unstable_by_key(|claim| (claim.address, Reverse(claim.started_ms)));
        claims.dedup_by_key(|claim| claim.address);
        CandidateTable {
            claims: claims.into(),
            ..self
        }
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

    /// Returns whether a later run of the same upstream at another address is registered, so
    /// that the run in `info` has ended and nothing answers for it at its address.
    ///
    /// A later run at the same address may have accepted grants meant for this one, so it must
    /// release them first.
    pub fn has_moved(&self, info: &record::OwnerInfo) -> bool {
        let runs = self.candidates.iter().map(|candidate| &candidate.info);
        let mut later_runs =
            runs.filter(|other| other.id == info.id && other.started_ms > info.started_ms);
        later_runs.any(|other| other.address != info.address)
    }

    /// Returns whether the entry of another, later upstream claims the address in `info`.
    ///
    /// That proves nothing, as anybody may write such an entry; who answers there must be asked.
    pub fn is_contested(&self, info: &record::OwnerInfo) -> bool {
        let found = self
            .claims
            .binary_search_by_key(&info.address, |claim| claim.address);
        let latest = found.ok().and_then(|index| self.claims.get(index));
        latest.is_some_and(|claim| claim.claimant != info.key && claim.started_ms > info.started_ms)
    }
}
