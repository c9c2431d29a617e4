//! A controller's assignment of ranges, and the routes that follow from it.

use crate::balance;
use crate::controller;
use crate::grant;
use crate::holder;
use crate::ids;
use crate::range;
use crate::record;
use crate::routes;
use crate::server;
use std::time::Duration;

/// Time that the first term leaves to preferred owners to appear.
const FIRST_GRACE: Duration = Duration::from_millis(2000);

impl controller::ControllerCore {
    /// Returns the candidates of a range that every possibly stored record names.
    pub(crate) fn stored_candidates(&self, index: usize) -> record::CandidateList {
        let named = |key: &ids::UpstreamKey| {
            let mut records = self.unresolved.iter();
            records.all(|record| record.ranges[index].candidates.contains(key))
        };
        let recorded = &self.recorded.ranges[index].candidates;
        recorded.iter().copied().filter(named).collect()
    }

    pub(crate) fn server(&self, key: ids::UpstreamKey) -> Option<&server::ServerState> {
        self.positions.get(&key).map(|index| &self.servers[*index])
    }

    pub(crate) fn assign_ranges(&mut self, now: Duration) {
        let mut wanted: Vec<Vec<range::KeyRange>> = Vec::new();
        wanted.extend(self.servers.iter().map(|s| s.ordered.ranges.clone()));
        for index in 0..self.ranges.len() {
            self.assign_range(now, index, &mut wanted);
        }
        for (index, ranges) in wanted.into_iter().enumerate() {
            if ranges == self.servers[index].ordered.ranges {
                continue;
            }
            let set = grant::GrantSet {
                generation: self.next_generation(),
                ranges,
                ..self.servers[index].ordered.clone()
            };
            self.servers[index].order(set);
        }
    }

    pub(crate) fn assign_range(
        &self,
        now: Duration,
        index: usize,
        wanted: &mut [Vec<range::KeyRange>],
    ) {
        let range = self.ranges[index].range;
        let owner = self.owners[index];
        let Some(target) = self.target_of(now, index, owner) else {
            return;
        };
        match owner {
            Some(owner) if owner == target => {}
            Some(owner) => {
                if self.servers[owner].phase == server::ServerPhase::Live {
                    wanted[owner].retain(|held| *held != range);
                }
            }
            None => {
                if self.unheld(now, index, target) {
                    wanted[target].push(range);
                }
            }
        }
    }

    /// Chooses the server that a range should be at.
    pub(crate) fn target_of(
        &self,
        now: Duration,
        index: usize,
        owner: Option<usize>,
    ) -> Option<usize> {
        let mut candidates = self.stored_candidates(index);
        if self.term == controller::FIRST_TERM && now - self.started < FIRST_GRACE {
            candidates.truncate(1);
        }
        let usable =
            |key: &ids::UpstreamKey| self.server(*key).is_some_and(|s| s.usable(self.term));
        let planned = self.moves.get(&self.ranges[index].range.first);
        let planned = planned.filter(|key| candidates.contains(key) && usable(key));
        if let (None, Some(owner)) = (planned, owner)
            && !self.servers[owner].leaving()
        {
            return Some(owner);
        }
        let key = planned.or_else(|| candidates.iter().find(|key| usable(key)))?;
        self.positions.get(key).copied()
    }

    /// Returns whether no candidate but `target` can hold the range.
    pub(crate) fn unheld(&self, now: Duration, index: usize, target: usize) -> bool {
        let recorded = &self.recorded.ranges[index].candidates;
        let records = self.unresolved.iter();
        let unresolved = records.flat_map(|record| &record.ranges[index].candidates);
        let mut candidates = recorded.iter().chain(unresolved);
        candidates.all(|key| {
            if *key == self.servers[target].plan.key {
                return true;
            }
            let server = self.server(*key);
            server.is_none_or(|server| server.confined(now, self.term, &self.gone))
        })
    }

    /// Plans the next move towards a level load.
    ///
    /// Servers that check no fences keep what they have: each move would leave
    /// its keys unserved until older orders have expired.
    pub(crate) fn level_load(&mut self, now: Duration) {
        if now < self.next_move || self.unresolved.is_some() {
            return;
        }
        let usable = self.servers.iter().enumerate();
        let usable = usable.filter(|(_, server)| {
            let enforced = server.plan.check == holder::FenceCheck::Enforced;
            enforced && server.usable(self.term)
        });
        let loads: Vec<_> = usable
            .map(|(position, server)| balance::ServerLoad {
                position,
                ranges: server.ordered.ranges.len(),
            })
            .collect();
        let Some(chosen) = balance::choose_move(&loads) else {
            return;
        };
        self.next_move = now + balance::MOVE_INTERVAL;
        let target = self.servers[chosen.to].plan.key;
        if let Some(first) = self.movable_range(chosen.from, target) {
            self.plan_move(first, target);
            self.next_check = now;
        }
    }

    /// Chooses a range of a server, preferably one that may go to `target`
    /// without a record write.
    pub(crate) fn movable_range(&self, from: usize, target: ids::UpstreamKey) -> Option<u64> {
        let owned = (0..self.ranges.len()).filter(|index| self.owners[*index] == Some(from));
        let listed = |index: &usize| {
            let candidates = &self.recorded.ranges[*index].candidates;
            (candidates.contains(&target), *index)
        };
        let index = owned.max_by_key(listed)?;
        Some(self.ranges[index].range.first)
    }

    /// Drops moves that are done or whose target is lost.
    pub(crate) fn finish_moves(&mut self) {
        let (servers, term) = (&self.servers, self.term);
        self.moves.retain(|first, target| {
            let server = servers.iter().find(|s| s.plan.key == *target);
            let holds =
                |s: &server::ServerState| s.ordered.ranges.iter().any(|r| r.first == *first);
            server.is_some_and(|server| server.usable(term) && !holds(server))
        });
    }

    pub(crate) fn send_orders(
        &mut self,
        now: Duration,
        actions: &mut Vec<controller::ControllerAction>,
    ) {
        for server in &mut self.servers {
            for (keeper, order) in server.due_orders(now, self.term, self.plan.key) {
                actions.push(controller::ControllerAction::Order { keeper, order });
            }
        }
    }

    pub(crate) fn publish_routes(&mut self, actions: &mut Vec<controller::ControllerAction>) {
        let mut changed = Vec::new();
        for index in 0..self.ranges.len() {
            let Some(owner) = self.route_of(index) else {
                continue;
            };
            if self.ranges[index].published == Some(owner) {
                continue;
            }
            let version = self.next_generation();
            let state = &mut self.ranges[index];
            state.published = Some(owner);
            state.version = version;
            changed.push(routes::RouteEntry {
                range: state.range,
                owner,
                version,
            });
        }
        if !changed.is_empty() {
            actions.push(controller::ControllerAction::Routes(changed));
        }
    }

    /// Returns the owner to publish; `None` while it is not certain.
    pub(crate) fn route_of(&self, index: usize) -> Option<Option<ids::UpstreamKey>> {
        if let Some(owner) = self.owners[index] {
            let server = &self.servers[owner];
            let key = server.plan.key;
            return match server.phase {
                server::ServerPhase::Live if server.acked(self.term) => Some(Some(key)),
                server::ServerPhase::Sealing { .. } => Some(None),
                _ => None,
            };
        }
        let mut candidates = self.recorded.ranges[index].candidates.iter();
        let unknown = candidates.any(|key| {
            self.server(*key)
                .is_some_and(|s| s.phase == server::ServerPhase::Unknown)
        });
        (!unknown).then_some(None)
    }
}
