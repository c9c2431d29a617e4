//! Choice of renewers, of successors of owners, and of standby controllers.
//!
//! Choices use rendezvous hashing over live processes and keep earlier choices
//! that are still valid, so the loss of a process changes only its own roles.

use crate::ids;
use crate::record;
use crate::upstream_state;
use smallvec::SmallVec;
use std::collections::HashSet;
use xxhash_rust::xxh3;

/// Number of renewers of one upstream.
pub const RENEWERS_PER_UPSTREAM: usize = 2;

/// Number of upstreams besides the owner that the record lists for a range; the
/// range may move to these without a write of the record.
pub const SUCCESSORS_PER_RANGE: usize = 2;

/// Returns the rendezvous weight of `candidate` for `subject`.
pub fn rendezvous_weight(subject: u64, candidate: &[u8]) -> u64 {
    xxh3::xxh3_64_with_seed(candidate, subject)
}

fn weight(subject: u64, candidate: u64) -> u64 {
    rendezvous_weight(subject, &candidate.to_le_bytes())
}

/// Chooses the renewers of an upstream from the live instances `peers`.
///
/// They are outside the upstream's availability zone and in different zones, as
/// far as possible. Live renewers in `current` are preferred.
pub fn choose_renewers(
    spec: &upstream_state::UpstreamSpec,
    current: &[ids::InstanceKey],
    peers: &[record::PeerInfo],
) -> Vec<record::PeerInfo> {
    if let Some(kept) = keep_current(spec, current, peers) {
        return kept;
    }
    let mut ranked: Vec<&record::PeerInfo> = peers.iter().collect();
    ranked.sort_by_key(|peer| {
        let kept = current.contains(&peer.key);
        (!kept, weight(spec.key.0, peer.key.0))
    });
    let mut chosen: Vec<record::PeerInfo> = Vec::new();
    let mut zones: HashSet<&str> = HashSet::from([spec.zone.as_str()]);
    for distinct_zones in [true, false] {
        for peer in &ranked {
            if chosen.len() == RENEWERS_PER_UPSTREAM {
                return chosen;
            }
            let taken = chosen.iter().any(|renewer| renewer.key == peer.key);
            if !taken && (!distinct_zones || zones.insert(&peer.zone)) {
                chosen.push((*peer).clone());
            }
        }
    }
    chosen
}

/// Returns the current renewers if no others can be better: they are complete, all
/// live, and in availability zones other than each other's and the upstream's.
///
/// `peers` must be ordered by key.
fn keep_current(
    spec: &upstream_state::UpstreamSpec,
    current: &[ids::InstanceKey],
    peers: &[record::PeerInfo],
) -> Option<Vec<record::PeerInfo>> {
    let mut kept: Vec<record::PeerInfo> = Vec::with_capacity(RENEWERS_PER_UPSTREAM);
    for key in current {
        let index = peers.binary_search_by_key(key, |peer| peer.key).ok()?;
        let peer = &peers[index];
        let shares_zone = kept.iter().any(|renewer| renewer.zone == peer.zone);
        if shares_zone || peer.zone == spec.zone {
            return None;
        }
        kept.push(peer.clone());
    }
    (kept.len() == RENEWERS_PER_UPSTREAM).then_some(kept)
}

/// Chooses the standby of a controller: another live instance, if possible in
/// another availability zone, and preferably the current one.
pub fn choose_standby(
    service: ids::ServiceKey,
    controller: &record::PeerInfo,
    current: Option<ids::InstanceKey>,
    peers: &[record::PeerInfo],
) -> Option<record::PeerInfo> {
    let others = peers.iter().filter(|peer| peer.key != controller.key);
    let best = others.min_by_key(|peer| {
        let same_zone = peer.zone == controller.zone;
        let replaced = current != Some(peer.key);
        (same_zone, replaced, weight(service.0, peer.key.0))
    });
    best.cloned()
}

/// Chooses the upstreams that may own a range after `owner`.
///
/// `first` is the first hash of the range. Upstreams in `usable` that are also in
/// `current` are preferred; others are ranked by availability zone, those outside
/// the owner's first, and then by rendezvous weight.
pub fn choose_successors(
    first: u64,
    owner: Option<&upstream_state::UpstreamSpec>,
    current: &[ids::UpstreamKey],
    usable: &[&upstream_state::UpstreamSpec],
) -> SmallVec<[ids::UpstreamKey; 4]> {
    let owner_key = owner.map(|spec| spec.key);
    let owner_zone = owner.map(|spec| spec.zone.as_str());
    let mut ranked: Vec<&&upstream_state::UpstreamSpec> = usable
        .iter()
        .filter(|spec| Some(spec.key) != owner_key)
        .collect();
    ranked.sort_by_key(|spec| {
        let kept = current.contains(&spec.key);
        let same_zone = owner_zone == Some(spec.zone.as_str());
        (!kept, same_zone, weight(first, spec.key.0))
    });
    let best = ranked.iter().take(SUCCESSORS_PER_RANGE);
    best.map(|spec| spec.key).collect()
}
