//! A controller's writes of the assignment record.

use crate::controller;
use crate::ids;
use crate::placement;
use crate::record;
use crate::upstream_state;
use std::time::Duration;

/// Minimum time between two writes of the record.
pub(crate) const WRITE_INTERVAL: Duration = Duration::from_millis(100);

/// Time until a write that failed or whose outcome is unknown is repeated.
pub(crate) const WRITE_BACKOFF: Duration = Duration::from_millis(1000);

impl controller::ControllerCore {
    /// Writes the record if it should change, or repeats the pending write.
    pub(crate) fn write_record(
        &mut self,
        now: Duration,
        actions: &mut Vec<controller::ControllerAction>,
    ) {
        if now < self.next_write {
            return;
        }
        let record = match &self.pending_write {
            Some(record) => record.clone(),
            None => {
                let mut record = self.wanted_record(now);
                if record == self.recorded {
                    self.next_write = now + WRITE_INTERVAL;
                    return;
                }
                self.counter += 1;
                record.write_id = write_id(self.me.key, self.term, self.counter);
                record
            }
        };
        self.next_write = now + WRITE_BACKOFF;
        self.pending_write = Some(record.clone());
        actions.push(controller::ControllerAction::WriteRecord {
            record: Box::new(record),
            revision: self.revision,
        });
    }

    pub(crate) fn wanted_record(&self, now: Duration) -> record::AssignmentRecord {
        let peers = self.live_peers(now);
        let standby = self.recorded.standby.as_ref().map(|peer| peer.key);
        let renewers = self.upstreams.iter().map(|upstream| record::RenewerEntry {
            upstream: upstream.spec.key,
            renewers: self.wanted_renewers(now, upstream, &peers),
        });
        let usable = self.upstreams.iter();
        let usable =
            usable.filter(|u| u.phase == upstream_state::UpstreamPhase::Live && !u.leaving());
        let usable: Vec<&upstream_state::UpstreamSpec> =
            usable.map(|upstream| &upstream.spec).collect();
        let ranges = (0..self.ranges.len()).map(|index| record::RangeEntry {
            range: self.ranges[index].range,
            candidates: self.wanted_candidates(now, index, &usable),
        });
        record::AssignmentRecord {
            write_id: self.recorded.write_id,
            term: self.term,
            controller: self.me.clone(),
            standby: placement::choose_standby(self.topology.key, &self.me, standby, &peers),
            renewers: renewers.collect(),
            ranges: ranges.collect(),
        }
    }

    /// Returns the instances to record as possible renewers of an upstream: the
    /// present ones, and new ones if a present one is lost.
    pub(crate) fn wanted_renewers(
        &self,
        now: Duration,
        upstream: &upstream_state::UpstreamState,
        peers: &[record::PeerInfo],
    ) -> Vec<record::PeerInfo> {
        let mut renewers = upstream.possible_renewers.clone();
        if upstream.has_live_renewers(now, peers) {
            renewers.sort_by_key(|peer| peer.key);
            return renewers;
        }
        let mut peers = peers.to_vec();
        peers.retain(|peer| upstream.is_eligible(now, peer.key));
        for peer in placement::choose_renewers(&upstream.spec, &upstream.ordered.renewers, &peers) {
            if !renewers.contains(&peer) {
                renewers.push(peer);
            }
        }
        renewers.sort_by_key(|peer| peer.key);
        renewers
    }

    /// Returns the candidates to record for a range: its owner, the target of a
    /// requested move, the successors, and upstreams that may still hold the range.
    pub(crate) fn wanted_candidates(
        &self,
        now: Duration,
        index: usize,
        usable: &[&upstream_state::UpstreamSpec],
    ) -> record::CandidateList {
        let recorded = &self.recorded.ranges[index].candidates;
        let unknown = |key: &ids::UpstreamKey| {
            let upstream = self.upstream(*key);
            upstream
                .is_some_and(|upstream| upstream.phase == upstream_state::UpstreamPhase::Unknown)
        };
        if recorded.iter().any(unknown) {
            return recorded.clone();
        }
        let requested = self.moves.get(&self.ranges[index].range.first);
        let owner = self.owners[index];
        if requested.is_none() && self.candidates_suffice(owner, recorded) {
            return recorded.clone();
        }
        let owner = owner.map(|owner| &self.upstreams[owner].spec);
        let mut list = match owner {
            Some(owner) => record::CandidateList::from_iter([owner.key]),
            None => recorded.clone(),
        };
        list.extend(requested.copied().filter(|key| !list.contains(key)));
        let first = self.ranges[index].range.first;
        for key in placement::choose_successors(first, owner, recorded, usable) {
            if !list.contains(&key) {
                list.push(key);
            }
        }
        for key in recorded {
            let holds_only_ordered = self
                .upstream(*key)
                .is_none_or(|u| u.holds_only_ordered(now, self.term, &self.ended_runs));
            if !list.contains(key) && !holds_only_ordered {
                list.push(*key);
            }
        }
        list
    }

    /// Returns whether the recorded candidates are the owner, in first place, and
    /// enough live successors.
    pub(crate) fn candidates_suffice(
        &self,
        owner: Option<usize>,
        recorded: &[ids::UpstreamKey],
    ) -> bool {
        let Some((first, successors)) = recorded.split_first() else {
            return false;
        };
        let owned = owner.is_some_and(|owner| self.upstreams[owner].spec.key == *first);
        let live = |key: &ids::UpstreamKey| {
            let upstream = self.upstream(*key);
            upstream.is_some_and(|u| u.phase == upstream_state::UpstreamPhase::Live && !u.leaving())
        };
        owned && successors.len() == placement::SUCCESSORS_PER_RANGE && successors.iter().all(live)
    }
}

fn write_id(me: ids::InstanceKey, term: u32, counter: u32) -> u64 {
    me.0 ^ (u64::from(term) << 32 | u64::from(counter))
}
