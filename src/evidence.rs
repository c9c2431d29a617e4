//! A controller's conclusions from evidence: phases of servers, their keepers.

use crate::controller;
use crate::grant;
use crate::ids;
use crate::placement;
use crate::record;
use crate::server;
use std::time::Duration;

impl controller::ControllerCore {
    /// Marks recorded keepers as gone whose instance runs anew.
    pub(crate) fn note_restarts(&mut self, now: Duration) {
        for server in &self.servers {
            for keeper in &server.renewers {
                let Some(peer) = self.peers.get(&keeper.id) else {
                    continue;
                };
                if peer.info.key != keeper.key {
                    self.gone.entry(keeper.key).or_insert(now);
                }
            }
        }
    }

    pub(crate) fn update_phases(&mut self, now: Duration) {
        for index in 0..self.servers.len() {
            let phase = self.servers[index].phase;
            match phase {
                server::ServerPhase::Unknown => self.discover(now, index),
                server::ServerPhase::Live => self.check_silence(now, index),
                server::ServerPhase::Sealing { since } => self.check_expiry(now, index, since),
                server::ServerPhase::Expired => self.check_return(now, index),
            }
            self.servers[index].narrow(now, self.term, &self.gone);
        }
    }

    pub(crate) fn discover(&mut self, now: Duration, index: usize) {
        let Some(found) = self.servers[index].discover(self.term, &self.gone) else {
            return;
        };
        let generation = self.next_generation();
        let (set, phase) = match found {
            server::Discovery::Holds(set) => {
                let set = grant::GrantSet { generation, ..set };
                (set, server::ServerPhase::Live)
            }
            server::Discovery::Nothing(keepers) => {
                let set = grant::GrantSet {
                    generation,
                    incarnation: self.servers[index].incarnation(),
                    keepers,
                    ranges: Vec::new(),
                };
                (set, server::ServerPhase::Sealing { since: now })
            }
        };
        self.servers[index].order(set);
        self.servers[index].phase = phase;
    }

    pub(crate) fn check_silence(&mut self, now: Duration, index: usize) {
        let server = &mut self.servers[index];
        if server.suspect(now) || server.runs_anew() {
            server.phase = server::ServerPhase::Sealing { since: now };
            let set = server.ordered.clone();
            server.order(set);
        }
    }

    pub(crate) fn check_expiry(&mut self, now: Duration, index: usize, since: Duration) {
        if self.servers[index].heard_after(since) {
            let set = grant::GrantSet {
                generation: self.next_generation(),
                ..self.servers[index].ordered.clone()
            };
            self.servers[index].order(set);
            self.servers[index].phase = server::ServerPhase::Live;
            return;
        }
        let expiry = self.servers[index].expiry(self.term, &self.gone);
        if expiry.is_some_and(|expiry| now >= expiry) {
            self.order_nothing(index);
            self.servers[index].phase = server::ServerPhase::Expired;
        }
    }

    /// Orders an empty set for the run of the server that was heard last.
    fn order_nothing(&mut self, index: usize) {
        let set = grant::GrantSet {
            generation: self.next_generation(),
            incarnation: self.servers[index].incarnation(),
            keepers: self.servers[index].ordered.keepers.clone(),
            ranges: Vec::new(),
        };
        self.servers[index].order(set);
    }

    pub(crate) fn check_return(&mut self, now: Duration, index: usize) {
        let server = &mut self.servers[index];
        if server.runs_anew() {
            self.order_nothing(index);
        } else if server.heard(now) && server.acked(self.term) {
            server.phase = server::ServerPhase::Live;
        }
    }

    pub(crate) fn live_peers(&self, now: Duration) -> Vec<record::PeerInfo> {
        let life = controller::peer_life(self.peers.len());
        let live = |entry: &&controller::PeerEntry| {
            entry.info.key == self.me.key || now - entry.heard < life
        };
        let mut peers: Vec<_> = self.peers.values().filter(live).collect();
        peers.sort_by_key(|entry| entry.info.key);
        peers.into_iter().map(|entry| entry.info.clone()).collect()
    }

    /// Returns the keepers of a server that every possibly stored record names.
    pub(crate) fn stored_keepers(&self, upstream: ids::UpstreamKey) -> Vec<record::PeerInfo> {
        let named = |peer: &&record::PeerInfo| {
            let mut records = self.unresolved.iter();
            records.all(|record| record.keepers_of(upstream).contains(peer))
        };
        let recorded = self.recorded.keepers_of(upstream).iter();
        recorded.filter(named).cloned().collect()
    }

    pub(crate) fn update_keepers(&mut self, now: Duration) {
        let peers = self.live_peers(now);
        for index in 0..self.servers.len() {
            let server = &self.servers[index];
            let settled = matches!(
                server.phase,
                server::ServerPhase::Live | server::ServerPhase::Expired
            );
            if !settled {
                continue;
            }
            if server.keeps_with(now, &peers) {
                continue;
            }
            let stored = self.stored_keepers(server.plan.key);
            let mut live = stored;
            live.retain(|peer| server.accepts(now, peer.key));
            live.retain(|peer| peers.binary_search_by_key(&peer.key, |p| p.key).is_ok());
            live.sort_by_key(|peer| peer.key);
            let chosen = placement::choose_keepers(&server.plan, &server.ordered.keepers, &live);
            let keys: grant::KeeperList = chosen.iter().map(|peer| peer.key).collect();
            if keys.is_empty() || same_members(&keys, &server.ordered.keepers) {
                continue;
            }
            let set = grant::GrantSet {
                generation: self.next_generation(),
                keepers: keys,
                ..self.servers[index].ordered.clone()
            };
            let server = &mut self.servers[index];
            for peer in chosen {
                if !server.renewers.contains(&peer) {
                    server.renewers.push(peer);
                }
            }
            server.order(set);
        }
    }
}

/// Returns whether two lists hold the same keepers in any order.
fn same_members(one: &[ids::InstanceKey], other: &[ids::InstanceKey]) -> bool {
    one.len() == other.len() && one.iter().all(|key| other.contains(key))
}
