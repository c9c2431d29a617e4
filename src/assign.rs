//! A controller's assignment of ranges, and the routes that follow from it.

use crate::balance;
use crate::controller;
use crate::grant;
use crate::holder;
use crate::ids;
use crate::range;
use crate::record;
use crate::routes;
use crate::upstream_state;
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

    pub(crate) fn upstream(&self, key: ids::UpstreamKey) -> Option<&upstream_state::UpstreamState> {
        self.positions
            .get(&key)
            .map(|index| &self.upstreams[*index])
    }

    pub(crate) fn assign_ranges(&mut self, now: Duration) {
        let mut wanted: Vec<Vec<range::KeyRange>> = Vec::new();
        wanted.extend(self.upstreams.iter().map(|s| s.ordered.ranges.clone()));
        for index in 0..self.ranges.len() {
            self.assign_range(now, index, &mut wanted);
        }
        for (index, ranges) in wanted.into_iter().enumerate() {
            if ranges == self.upstreams[index].ordered.ranges {
                continue;
            }
            let set = grant::GrantSet {
                generation: self.next_generation(),
                ranges,
                ..self.upstreams[index].ordered.clone()
            };
            self.upstreams[index].order(set);
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
                if self.upstreams[owner].phase == upstream_state::UpstreamPhase::Live {
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

    /// Chooses the upstream that a range should be at.
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
            |key: &ids::UpstreamKey| self.upstream(*key).is_some_and(|s| s.usable(self.term));
        let planned = self.moves.get(&self.ranges[index].range.first);
        let planned = planned.filter(|key| candidates.contains(key) && usable(key));
        if let (None, Some(owner)) = (planned, owner)
            && !self.upstreams[owner].leaving()
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
            if *key == self.upstreams[target].spec.key {
                return true;
            }
            let upstream = self.upstream(*key);
            upstream.is_none_or(|upstream| {
                upstream.holds_only_ordered(now, self.term, &self.ended_runs)
            })
        })
    }

    /// Plans the next move towards a level load.
    ///
    /// Upstreams that check no fences keep what they have: each move would leave
    /// its keys unserved until older orders have expired.
    pub(crate) fn level_load(&mut self, now: Duration) {
        if now < self.next_move || self.unresolved.is_some() {
            return;
        }
        let usable = self.upstreams.iter().enumerate();
        let usable = usable.filter(|(_, upstream)| {
            let enforced = upstream.spec.check == holder::FenceCheck::Enforced;
            enforced && upstream.usable(self.term)
        });
        let loads: Vec<_> = usable
            .map(|(position, upstream)| balance::UpstreamLoad {
                position,
                ranges: upstream.ordered.ranges.len(),
            })
            .collect();
        let Some(chosen) = balance::choose_move(&loads) else {
            return;
        };
        self.next_move = now + balance::MOVE_INTERVAL;
        let target = self.upstreams[chosen.to].spec.key;
        if let Some(first) = self.movable_range(chosen.from, target) {
            self.plan_move(first, target);
            self.next_check = now;
        }
    }

    /// Chooses a range of an upstream, preferably one that may go to `target`
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
        let (upstreams, term) = (&self.upstreams, self.term);
        self.moves.retain(|first, target| {
            let upstream = upstreams.iter().find(|s| s.spec.key == *target);
            let holds = |s: &upstream_state::UpstreamState| {
                s.ordered.ranges.iter().any(|r| r.first == *first)
            };
            upstream.is_some_and(|upstream| upstream.usable(term) && !holds(upstream))
        });
    }

    pub(crate) fn send_orders(
        &mut self,
        now: Duration,
        actions: &mut Vec<controller::ControllerAction>,
    ) {
        for upstream in &mut self.upstreams {
            for (renewer, order) in upstream.due_orders(now, self.term, self.topology.key) {
                actions.push(controller::ControllerAction::Order { renewer, order });
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
            let upstream = &self.upstreams[owner];
            let key = upstream.spec.key;
            return match upstream.phase {
                upstream_state::UpstreamPhase::Live if upstream.acked(self.term) => Some(Some(key)),
                upstream_state::UpstreamPhase::Expiring { .. } => Some(None),
                _ => None,
            };
        }
        let mut candidates = self.recorded.ranges[index].candidates.iter();
        let unknown = candidates.any(|key| {
            self.upstream(*key)
                .is_some_and(|s| s.phase == upstream_state::UpstreamPhase::Unknown)
        });
        (!unknown).then_some(None)
    }
}
