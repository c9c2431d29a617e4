//! A controller's writes of the assignment record.

use crate::controller;
use crate::ids;
use crate::placement;
use crate::record;
use crate::server;
use std::time::Duration;

/// Pause between two writes of the record.
pub(crate) const WRITE_INTERVAL: Duration = Duration::from_millis(100);

/// Pause after a write that failed or whose result is not known.
pub(crate) const WRITE_BACKOFF: Duration = Duration::from_millis(1000);

impl controller::ControllerCore {
    pub(crate) fn write_record(
        &mut self,
        now: Duration,
        actions: &mut Vec<controller::ControllerAction>,
    ) {
        if now < self.next_write {
            return;
        }
        let record = match &self.unresolved {
            Some(record) => record.clone(),
            None => {
                let mut record = self.wanted_record(now);
                if record == self.recorded {
                    self.next_write = now + WRITE_INTERVAL;
                    return;
                }
                self.counter += 1;
                record.attempt = attempt_number(self.me.key, self.term, self.counter);
                record
            }
        };
        self.next_write = now + WRITE_BACKOFF;
        self.unresolved = Some(record.clone());
        actions.push(controller::ControllerAction::Write {
            record: Box::new(record),
            revision: self.revision,
        });
    }

    pub(crate) fn wanted_record(&self, now: Duration) -> record::AssignmentRecord {
        let peers = self.live_peers(now);
        let standby = self.recorded.standby.as_ref().map(|peer| peer.key);
        let keepers = self.servers.iter().map(|server| record::KeeperEntry {
            upstream: server.plan.key,
            keepers: self.wanted_keepers(now, server, &peers),
        });
        let usable = self.servers.iter();
        let usable = usable.filter(|s| s.phase == server::ServerPhase::Live && !s.leaving());
        let usable: Vec<&server::ServerPlan> = usable.map(|server| &server.plan).collect();
        let ranges = (0..self.ranges.len()).map(|index| record::RangeEntry {
            range: self.ranges[index].range,
            candidates: self.wanted_candidates(now, index, &usable),
        });
        record::AssignmentRecord {
            attempt: self.recorded.attempt,
            term: self.term,
            controller: self.me.clone(),
            standby: placement::choose_standby(self.plan.key, &self.me, standby, &peers),
            keepers: keepers.collect(),
            ranges: ranges.collect(),
        }
    }

    pub(crate) fn wanted_keepers(
        &self,
        now: Duration,
        server: &server::ServerState,
        peers: &[record::PeerInfo],
    ) -> Vec<record::PeerInfo> {
        let mut keepers = server.renewers.clone();
        if server.keeps_with(now, peers) {
            keepers.sort_by_key(|peer| peer.key);
            return keepers;
        }
        let mut peers = peers.to_vec();
        peers.retain(|peer| server.accepts(now, peer.key));
        for peer in placement::choose_keepers(&server.plan, &server.ordered.keepers, &peers) {
            if !keepers.contains(&peer) {
                keepers.push(peer);
            }
        }
        keepers.sort_by_key(|peer| peer.key);
        keepers
    }

    pub(crate) fn wanted_candidates(
        &self,
        now: Duration,
        index: usize,
        usable: &[&server::ServerPlan],
    ) -> record::CandidateList {
        let recorded = &self.recorded.ranges[index].candidates;
        let unknown = |key: &ids::UpstreamKey| {
            let server = self.server(*key);
            server.is_some_and(|server| server.phase == server::ServerPhase::Unknown)
        };
        if recorded.iter().any(unknown) {
            return recorded.clone();
        }
        let planned = self.moves.get(&self.ranges[index].range.first);
        let owner = self.owners[index];
        if planned.is_none() && self.candidates_suffice(owner, recorded) {
            return recorded.clone();
        }
        let owner = owner.map(|owner| &self.servers[owner].plan);
        let mut list = match owner {
            Some(owner) => record::CandidateList::from_iter([owner.key]),
            None => recorded.clone(),
        };
        list.extend(planned.copied().filter(|key| !list.contains(key)));
        let first = self.ranges[index].range.first;
        for key in placement::choose_successors(first, owner, recorded, usable) {
            if !list.contains(&key) {
                list.push(key);
            }
        }
        for key in recorded {
            let confined = self
                .server(*key)
                .is_none_or(|s| s.confined(now, self.term, &self.gone));
            if !list.contains(key) && !confined {
                list.push(*key);
            }
        }
        list
    }

    /// Returns whether recorded candidates are the owner and live successors.
    pub(crate) fn candidates_suffice(
        &self,
        owner: Option<usize>,
        recorded: &[ids::UpstreamKey],
    ) -> bool {
        let Some((first, successors)) = recorded.split_first() else {
            return false;
        };
        let owned = owner.is_some_and(|owner| self.servers[owner].plan.key == *first);
        let live = |key: &ids::UpstreamKey| {
            let server = self.server(*key);
            server.is_some_and(|s| s.phase == server::ServerPhase::Live && !s.leaving())
        };
        owned && successors.len() == placement::SUCCESSORS_PER_RANGE && successors.iter().all(live)
    }
}

fn attempt_number(me: ids::InstanceKey, term: u32, counter: u32) -> u64 {
    me.0 ^ (u64::from(term) << 32 | u64::from(counter))
}
