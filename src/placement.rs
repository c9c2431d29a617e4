//! Choice of keepers, successors and standbys.
//!
//! Choices are by rendezvous hashing over whoever is live, and a valid earlier
//! choice is kept, so the loss of one process changes only what it held.

use crate::ids;
use crate::record;
use crate::server;
use smallvec::SmallVec;
use std::collections::HashSet;
use xxhash_rust::xxh3;

/// Keepers that renew one server.
pub const KEEPERS_PER_SERVER: usize = 2;

/// Servers besides the owner that a range may go to without a record write.
pub const SUCCESSORS_PER_RANGE: usize = 2;

/// Rendezvous weight of `option` for `subject`.
fn weight(subject: u64, option: u64) -> u64 {
    xxh3::xxh3_64_with_seed(&option.to_le_bytes(), subject)
}

/// Chooses the keepers of a server among live instances.
///
/// Keepers stand outside the server's availability zone and in different ones,
/// as far as the zones allow. Valid keepers in `current` are kept.
pub fn choose_keepers(
    plan: &server::ServerPlan,
    current: &[ids::InstanceKey],
    peers: &[record::PeerInfo],
) -> Vec<record::PeerInfo> {
    if let Some(kept) = keep_current(plan, current, peers) {
        return kept;
    }
    let mut ranked: Vec<&record::PeerInfo> = peers.iter().collect();
    ranked.sort_by_key(|peer| {
        let kept = current.contains(&peer.key);
        (!kept, weight(plan.key.0, peer.key.0))
    });
    let mut chosen: Vec<record::PeerInfo> = Vec::new();
    let mut zones: HashSet<&str> = HashSet::from([plan.zone.as_str()]);
    for strict in [true, false] {
        for peer in &ranked {
            if chosen.len() == KEEPERS_PER_SERVER {
                return chosen;
            }
            let taken = chosen.iter().any(|keeper| keeper.key == peer.key);
            if !taken && (!strict || zones.insert(&peer.zone)) {
                chosen.push((*peer).clone());
            }
        }
    }
    chosen
}

/// Returns the current keepers if no others can be better.
///
/// `peers` is ordered by key.
fn keep_current(
    plan: &server::ServerPlan,
    current: &[ids::InstanceKey],
    peers: &[record::PeerInfo],
) -> Option<Vec<record::PeerInfo>> {
    let mut kept: Vec<record::PeerInfo> = Vec::with_capacity(KEEPERS_PER_SERVER);
    for key in current {
        let index = peers.binary_search_by_key(key, |peer| peer.key).ok()?;
        let peer = &peers[index];
        let shared = kept.iter().any(|keeper| keeper.zone == peer.zone);
        if shared || peer.zone == plan.zone {
            return None;
        }
        kept.push(peer.clone());
    }
    (kept.len() == KEEPERS_PER_SERVER).then_some(kept)
}

/// Chooses the standby of a controller: another live instance, in another
/// availability zone where there is one.
pub fn choose_standby(
    service: ids::ServiceKey,
    controller: &record::PeerInfo,
    current: Option<ids::InstanceKey>,
    peers: &[record::PeerInfo],
) -> Option<record::PeerInfo> {
    let others = peers.iter().filter(|peer| peer.key != controller.key);
    let best = others.min_by_key(|peer| {
        let same_zone = peer.zone == controller.zone;
        let other = current != Some(peer.key);
        (same_zone, other, weight(service.0, peer.key.0))
    });
    best.cloned()
}

/// Chooses the servers that may own a range after `owner`.
///
/// Usable servers in `current` are kept; others are ranked by availability
/// zone and rendezvous weight.
pub fn choose_successors(
    first: u64,
    owner: Option<&server::ServerPlan>,
    current: &[ids::UpstreamKey],
    usable: &[&server::ServerPlan],
) -> SmallVec<[ids::UpstreamKey; 4]> {
    let owner_key = owner.map(|plan| plan.key);
    let owner_zone = owner.map(|plan| plan.zone.as_str());
    let mut ranked: Vec<&&server::ServerPlan> = usable
        .iter()
        .filter(|plan| Some(plan.key) != owner_key)
        .collect();
    ranked.sort_by_key(|plan| {
        let kept = current.contains(&plan.key);
        let same_zone = owner_zone == Some(plan.zone.as_str());
        (!kept, same_zone, weight(first, plan.key.0))
    });
    let best = ranked.iter().take(SUCCESSORS_PER_RANGE);
    best.map(|plan| plan.key).collect()
}
