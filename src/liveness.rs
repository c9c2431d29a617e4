//! Phases and renewers of upstreams, which a controller derives from reports.

use crate::controller;
use crate::grant;
use crate::ids;
use crate::placement;
use crate::record;
use crate::upstream_state;
use std::time::Duration;

impl controller::ControllerCore {
    /// Records that the runs of renewers whose instance has restarted have ended.
    pub(crate) fn record_ended_runs(&mut self, now: Duration) {
        for upstream in &self.upstreams {
            for renewer in &upstream.possible_renewers {
                let Some(peer) = self.peers.get(&renewer.id) else {
                    continue;
                };
                if peer.info.key != renewer.key {
                    self.ended_runs.entry(renewer.key).or_insert(now);
                }
            }
        }
    }

    pub(crate) fn update_phases(&mut self, now: Duration) {
        for index in 0..self.upstreams.len() {
            let phase = self.upstreams[index].phase;
            match phase {
                upstream_state::UpstreamPhase::Unknown => self.discover(now, index),
                upstream_state::UpstreamPhase::Live => self.check_silence(now, index),
                upstream_state::UpstreamPhase::Expiring { since } => {
                    self.check_expiry(now, index, since)
                }
                upstream_state::UpstreamPhase::Expired => self.check_return(now, index),
            }
            self.upstreams[index].drop_former_renewers(now, self.term, &self.ended_runs);
        }
    }

    /// Orders the first set of the term once it is known what the upstream holds,
    /// or that no renewer shows it.
    pub(crate) fn discover(&mut self, now: Duration, index: usize) {
        let Some(found) = self.upstreams[index].discover(self.term, &self.ended_runs) else {
            return;
        };
        let generation = self.next_generation();
        let (set, phase) = match found {
            upstream_state::Discovery::Holds(set) => {
                let set = grant::GrantSet { generation, ..set };
                (set, upstream_state::UpstreamPhase::Live)
            }
            upstream_state::Discovery::Unconfirmed(renewers) => {
                let set = grant::GrantSet {
                    generation,
                    incarnation: self.upstreams[index].incarnation(),
                    renewers,
                    ranges: Vec::new(),
                };
                (set, upstream_state::UpstreamPhase::Expiring { since: now })
            }
        };
        self.upstreams[index].order(set);
        self.upstreams[index].phase = phase;
    }

    /// Revokes the set of an upstream that is silent or has restarted.
    pub(crate) fn check_silence(&mut self, now: Duration, index: usize) {
        let upstream = &mut self.upstreams[index];
        if upstream.is_silent(now) || upstream.restarted() {
            upstream.phase = upstream_state::UpstreamPhase::Expiring { since: now };
            let set = upstream.ordered.clone();
            upstream.order(set);
        }
    }

    /// Ends a revocation: either the upstream was heard again, or its set expired.
    pub(crate) fn check_expiry(&mut self, now: Duration, index: usize, since: Duration) {
        if self.upstreams[index].heard_after(since) {
            let set = grant::GrantSet {
                generation: self.next_generation(),
                ..self.upstreams[index].ordered.clone()
            };
            self.upstreams[index].order(set);
            self.upstreams[index].phase = upstream_state::UpstreamPhase::Live;
            return;
        }
        let expiry = self.upstreams[index].expiry(self.term, &self.ended_runs);
        if expiry.is_some_and(|expiry| now >= expiry) {
            self.order_empty_set(index);
            self.upstreams[index].phase = upstream_state::UpstreamPhase::Expired;
        }
    }

    /// Orders an empty set for the run of the upstream that was heard last.
    fn order_empty_set(&mut self, index: usize) {
        let set = grant::GrantSet {
            generation: self.next_generation(),
            incarnation: self.upstreams[index].incarnation(),
            renewers: self.upstreams[index].ordered.renewers.clone(),
            ranges: Vec::new(),
        };
        self.upstreams[index].order(set);
    }

    /// Makes an expired upstream live once it accepted the empty set; orders one for
    /// a new run.
    pub(crate) fn check_return(&mut self, now: Duration, index: usize) {
        let upstream = &mut self.upstreams[index];
        if upstream.restarted() {
            self.order_empty_set(index);
        } else if upstream.heard(now) && upstream.acked(self.term) {
            upstream.phase = upstream_state::UpstreamPhase::Live;
        }
    }

    /// Returns the live instances, this one included, ordered by key.
    pub(crate) fn live_peers(&self, now: Duration) -> Vec<record::PeerInfo> {
        let timeout = controller::peer_timeout(self.peers.len());
        let live = |entry: &&controller::PeerEntry| {
            entry.info.key == self.me.key || now - entry.last_seen < timeout
        };
        let mut peers: Vec<_> = self.peers.values().filter(live).collect();
        peers.sort_by_key(|entry| entry.info.key);
        peers.into_iter().map(|entry| entry.info.clone()).collect()
    }

    /// Returns the renewers of an upstream that are certainly stored: those in the
    /// recorded and in any pending record.
    pub(crate) fn stored_renewers(&self, upstream: ids::UpstreamKey) -> Vec<record::PeerInfo> {
        let named = |peer: &&record::PeerInfo| {
            let mut records = self.pending_write.iter();
            records.all(|record| record.renewers_of(upstream).contains(peer))
        };
        let recorded = self.recorded.renewers_of(upstream).iter();
        recorded.filter(named).cloned().collect()
    }

    /// Orders sets with other renewers for the upstreams that lost one.
    pub(crate) fn update_renewers(&mut self, now: Duration) {
        let peers = self.live_peers(now);
        for index in 0..self.upstreams.len() {
            let upstream = &self.upstreams[index];
            let accepts_sets = matches!(
                upstream.phase,
                upstream_state::UpstreamPhase::Live | upstream_state::UpstreamPhase::Expired
            );
            if !accepts_sets {
                continue;
            }
            if upstream.has_live_renewers(now, &peers) {
                continue;
            }
            let stored = self.stored_renewers(upstream.spec.key);
            let mut live = stored;
            live.retain(|peer| upstream.is_eligible(now, peer.key));
            live.retain(|peer| peers.binary_search_by_key(&peer.key, |p| p.key).is_ok());
            live.sort_by_key(|peer| peer.key);
            let chosen =
                placement::choose_renewers(&upstream.spec, &upstream.ordered.renewers, &live);
            let keys: grant::RenewerList = chosen.iter().map(|peer| peer.key).collect();
            if keys.is_empty() || same_members(&keys, &upstream.ordered.renewers) {
                continue;
            }
            let set = grant::GrantSet {
                generation: self.next_generation(),
                renewers: keys,
                ..self.upstreams[index].ordered.clone()
            };
            let upstream = &mut self.upstreams[index];
            for peer in chosen {
                if !upstream.possible_renewers.contains(&peer) {
                    upstream.possible_renewers.push(peer);
                }
            }
            upstream.order(set);
        }
    }
}

/// Returns whether two lists contain the same instances in any order.
fn same_members(one: &[ids::InstanceKey], other: &[ids::InstanceKey]) -> bool {
    one.len() == other.len() && one.iter().all(|key| other.contains(key))
}
