//! Assignment of ranges to upstreams by a controller, and the resulting routes.

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

/// Time for which a first term grants a range only to its preferred owner, which
/// may still be starting.
const FIRST_TERM_GRACE: Duration = Duration::from_millis(2000);

impl controller::ControllerCore {
    /// Returns the candidates of a range that are certainly stored: those in the
    /// recorded and in any pending record.
    pub(crate) fn stored_candidates(&self, index: usize) -> record::CandidateList {
        let named = |key: &ids::UpstreamKey| {
            let mut records = self.pending_write.iter();
            records.all(|record| record.ranges[index].candidates.contains(key))
        };
        let recorded = &self.recorded.ranges[index].candidates;
        recorded.iter().copied().filter(named).collect()
    }

    pub(crate) fn upstream(&self, key: ids::UpstreamKey) -> Option<&upstream_state::UpstreamState> {
        self.indexes.get(&key).map(|index| &self.upstreams[*index])
    }

    /// Orders new sets for the upstreams whose ranges should change.
    pub(crate) fn assign_ranges(&mut self, now: Duration) {
        let mut wanted: Vec<Vec<range::KeyRange>> = Vec::new();
        wanted.extend(self.upstreams.iter().map(|u| u.ordered.ranges.clone()));
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

    /// Adds a range to, or removes it from, the ranges `wanted` for each upstream.
    ///
    /// A move takes two steps: the owner must have lost the range before the target
    /// is granted it.
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
                if self.is_held_by_no_other(now, index, target) {
                    wanted[target].push(range);
                }
            }
        }
    }

    /// Chooses the upstream that should own a range.
    pub(crate) fn target_of(
        &self,
        now: Duration,
        index: usize,
        owner: Option<usize>,
    ) -> Option<usize> {
        let mut candidates = self.stored_candidates(index);
        if self.term == controller::FIRST_TERM && now - self.started < FIRST_TERM_GRACE {
            candidates.truncate(1);
        }
        let usable =
            |key: &ids::UpstreamKey| self.upstream(*key).is_some_and(|u| u.usable(self.term));
        let requested = self.moves.get(&self.ranges[index].range.first);
        let requested = requested.filter(|key| candidates.contains(key) && usable(key));
        if let (None, Some(owner)) = (requested, owner)
            && !self.upstreams[owner].leaving()
        {
            return Some(owner);
        }
        let key = requested.or_else(|| candidates.iter().find(|key| usable(key)))?;
        self.indexes.get(key).copied()
    }

    /// Returns whether certainly no candidate but `target` holds the range.
    pub(crate) fn is_held_by_no_other(&self, now: Duration, index: usize, target: usize) -> bool {
        let recorded = &self.recorded.ranges[index].candidates;
        let records = self.pending_write.iter();
        let pending = records.flat_map(|record| &record.ranges[index].candidates);
        let mut candidates = recorded.iter().chain(pending);
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

    /// Requests the next move that balances the load, if one is due.
    ///
    /// Upstreams that do not check fencing tokens take no part: each move would
    /// leave its keys without an owner until older grants have expired.
    pub(crate) fn rebalance(&mut self, now: Duration) {
        if now < self.next_move || self.pending_write.is_some() {
            return;
        }
        let usable = self.upstreams.iter().enumerate();
        let usable = usable.filter(|(_, upstream)| {
            let enforced = upstream.spec.check == holder::FenceCheck::Enforced;
            enforced && upstream.usable(self.term)
        });
        let loads: Vec<_> = usable
            .map(|(index, upstream)| balance::UpstreamLoad {
                index,
                ranges: upstream.ordered.ranges.len(),
            })
            .collect();
        let Some(chosen) = balance::choose_move(&loads) else {
            return;
        };
        self.next_move = now + balance::MOVE_INTERVAL;
        let target = self.upstreams[chosen.to].spec.key;
        if let Some(first) = self.movable_range(chosen.from, target) {
            self.request_move(first, target);
            self.next_check = now;
        }
    }

    /// Chooses a range of an upstream, preferably one that may go to `target`
    /// without a record write.
    pub(crate) fn movable_range(&self, from: usize, target: ids::UpstreamKey) -> Option<u64> {
        let owned = (0..self.ranges.len()).filter(|index| self.owners[*index] == Some(from));
        let preference = |index: &usize| {
            let candidates = &self.recorded.ranges[*index].candidates;
            (candidates.contains(&target), *index)
        };
        let index = owned.max_by_key(preference)?;
        Some(self.ranges[index].range.first)
    }

    /// Removes moves that are done or whose target is no longer usable.
    pub(crate) fn finish_moves(&mut self) {
        let (upstreams, term) = (&self.upstreams, self.term);
        self.moves.retain(|first, target| {
            let upstream = upstreams.iter().find(|u| u.spec.key == *target);
            let holds = |u: &upstream_state::UpstreamState| {
                u.ordered.ranges.iter().any(|r| r.first == *first)
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

    /// Returns the owner to publish, `Some(None)` if the range has none; `None`
    /// while the owner is uncertain, so that nothing is published.
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
                .is_some_and(|u| u.phase == upstream_state::UpstreamPhase::Unknown)
        });
        (!unknown).then_some(None)
    }
}
