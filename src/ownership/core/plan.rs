//! Plans: who owns what next, and its write to the store.

use super::OwnershipCore;
use crate::ids;
use crate::ownership::{assignment, interface, leadership, load, rebalancing, record};
use crate::range;
use std::time::Duration;

/// Time for which the set of upstreams must rest before the first division.
const FIRST_REST: Duration = Duration::from_millis(700);

/// Time for which an upstream that could not be reached gets no keys.
const SUSPECT_TIME: Duration = Duration::from_secs(4);

/// Least time between two plans; answers of grants come hundreds of times a second.
const PLAN_INTERVAL: Duration = Duration::from_millis(25);

/// Time after a move before a range is joined with its neighbour.
const MERGE_REST: Duration = Duration::from_secs(3);

/// Time after which acknowledged grants are stored if nothing else is written.
///
/// Until then they are only announced; a new leader would repeat them.
const SETTLE_DELAY: Duration = Duration::from_millis(1500);

impl OwnershipCore {
    pub(super) fn commit(&mut self, now: Duration, actions: &mut Vec<interface::OwnershipAction>) {
        let record_revision = self.record_revision();
        let pending = match &self.state {
            leadership::LeadershipState::Leading(term) => term.commit.is_some(),
            _ => return,
        };
        if !pending && now >= self.planned_at + PLAN_INTERVAL {
            self.planned_at = now;
            let next = self.plan(now);
            let Some(term) = self.term_mut() else { return };
            term.commit = next;
        }
        let Some(term) = self.term_mut() else { return };
        let leader_revision = term.revision;
        let Some(pending) = &mut term.commit else {
            return;
        };
        if pending.in_flight || now < pending.retry_at {
            return;
        }
        pending.in_flight = true;
        actions.push(interface::OwnershipAction::Commit(Box::new(
            interface::CommitCommand {
                leader_revision,
                record_revision,
                claim: None,
                resign: pending.resigns,
                record: pending.record.clone(),
            },
        )));
    }

    /// Decides what to write next.
    pub(super) fn plan(&mut self, now: Duration) -> Option<leadership::PendingCommit> {
        let busy = self
            .assignments
            .iter()
            .any(assignment::AssignmentState::is_busy);
        if self.stopping {
            let ready = !busy && self.may_resign(now);
            return ready.then(|| self.pending(now, self.assignments.clone(), true));
        }
        let mut assignments = self.assignments.clone();
        let mut changed =
            self.divide_first(now, &mut assignments) || self.reassign(now, &mut assignments);
        let due = |since: Duration| now >= since + SETTLE_DELAY;
        let due = self.dirty_since.is_some_and(due);
        if changed || due {
            changed |= merge_neighbours(now, &mut assignments);
        }
        if changed {
            self.mark_changes(&assignments);
        }
        (changed || due).then(|| self.pending(now, assignments, false))
    }

    /// Stops renewals of what the planned assignments take from its owner.
    ///
    /// A range of which a part moves is cut, since its rest has the same owner
    /// whether or not the plan's write takes effect.
    pub(super) fn mark_changes(&mut self, planned: &[assignment::AssignmentState]) {
        let mut marked = Vec::with_capacity(planned.len());
        for live in self.assignments.drain(..) {
            let overlapping = planned.iter();
            let overlapping = overlapping.filter(|other| other.range.overlaps(&live.range));
            let parts: Vec<_> = overlapping.collect();
            if parts.iter().all(|other| other.owner == live.owner) {
                marked.push(live);
                continue;
            }
            for other in parts {
                let mut part = live.part(live.range.intersection(&other.range));
                part.changing = other.owner != live.owner;
                marked.push(part);
            }
        }
        self.assignments = marked;
    }

    pub(super) fn pending(
        &mut self,
        now: Duration,
        assignments: Vec<assignment::AssignmentState>,
        resigns: bool,
    ) -> leadership::PendingCommit {
        let write_id = self.next_write_id();
        self.dirty_since = None;
        self.collect_owners(&assignments);
        let alone = self.sole_floor().is_some_and(|floor| now >= floor);
        let clean = alone && assignments.iter().all(|live| self.is_clean(now, live));
        let record = record::OwnershipRecord {
            write_id,
            leader: self.me.clone(),
            resigned: resigns && clean,
            predecessors: self.predecessor_nodes(),
            grant_ttl_ms: self.grant_ttl_for(assignments.len()).as_millis() as u64,
            next_fence: self.next_fence,
            owners: self.owners.clone(),
            assignments: assignments
                .iter()
                .map(assignment::AssignmentState::to_record)
                .collect(),
        };
        leadership::PendingCommit {
            record,
            assignments,
            in_flight: false,
            retry_at: now,
            resigns,
        }
    }

    pub(super) fn predecessor_nodes(&self) -> Vec<record::InstanceInfo> {
        match &self.state {
            leadership::LeadershipState::Leading(term) => {
                let states = term.predecessors.iter();
                states.map(|state| state.node.clone()).collect()
            }
            _ => Vec::new(),
        }
    }

    /// Returns whether no grant for the range can still arrive late.
    pub(super) fn is_clean(&self, now: Duration, live: &assignment::AssignmentState) -> bool {
        let over = |sent: Duration| now >= sent + assignment::grant_expiry(self.longest_grant_ttl);
        let former_clean = |former: &assignment::PendingRelease| former.unanswered.is_none_or(over);
        live.unanswered.is_none_or(over) && live.former_owners.iter().all(former_clean)
    }

    /// Keeps the addresses of all upstreams that the assignments name.
    pub(super) fn collect_owners(&mut self, assignments: &[assignment::AssignmentState]) {
        let mut keys: Vec<ids::UpstreamKey> = Vec::new();
        for live in assignments {
            keys.push(live.owner);
            keys.extend(live.former_owners.iter().map(|former| former.former.key));
        }
        keys.sort_unstable();
        keys.dedup();
        let infos = keys.into_iter().filter_map(|key| self.owner_info(key));
        self.owners = infos.collect();
    }

    /// Divides the whole space among the first upstreams.
    pub(super) fn divide_first(
        &mut self,
        now: Duration,
        assignments: &mut Vec<assignment::AssignmentState>,
    ) -> bool {
        let rested = now >= self.candidates_at + FIRST_REST;
        let mut keys: Vec<_> = self.candidates.usable().map(|c| c.info.key).collect();
        if !assignments.is_empty() || keys.is_empty() || !rested {
            return false;
        }
        keys.sort_unstable();
        let ranges = range::KeyRange::divide(self.settings.last_key, keys.len());
        for (range, owner) in ranges.into_iter().zip(keys) {
            let fence = self.take_fence();
            assignments.push(assignment::AssignmentState::first(now, range, owner, fence));
            self.notes.push(interface::OwnershipDecision::Moving {
                range,
                from: None,
                to: owner,
                fence,
                reason: "first division",
            });
        }
        true
    }

    pub(super) fn take_fence(&mut self) -> u64 {
        self.next_fence += 1;
        self.next_fence - 1
    }

    /// Moves ranges off lost, leaving and overloaded owners.
    pub(super) fn reassign(
        &mut self,
        now: Duration,
        assignments: &mut Vec<assignment::AssignmentState>,
    ) -> bool {
        self.load.decay(now);
        let mut candidates = self.candidates.clone();
        self.suspects.retain(|_, until| now < *until);
        candidates.exclude(|key| self.suspects.contains_key(&key));
        let capacities = candidates.usable().map(|found| {
            let key = found.info.key;
            let latency = self.latency.latency(key).as_secs_f32();
            let span = load::LoadMap::span().as_secs_f32();
            rebalancing::OwnerCapacity {
                key,
                capacity: found.capacity(now) / self.latency.slowness(key),
                use_per_count: latency / span / found.slots.max(1) as f32,
            }
        });
        let mut ledger = rebalancing::LoadLedger::new(capacities, assignments, &self.load);
        let mut moves = Vec::new();
        let floor = self.sole_floor();
        let first_fence = self.first_fence();
        let movable = |live: &&assignment::AssignmentState| {
            !live.is_busy() && (floor.is_some() || live.is_fenced(first_fence))
        };
        for live in assignments.iter().filter(movable) {
            let floor = match live.is_fenced(first_fence) {
                true => Duration::ZERO,
                false => floor.unwrap_or(Duration::MAX),
            };
            let owner = self.candidates.get(live.owner);
            let gone = owner.is_none_or(|owner| owner.draining);
            let lapsed = live.is_failing() && live.is_lapsed(now, floor, self.longest_grant_ttl);
            if lapsed {
                self.suspects.insert(live.owner, now + SUSPECT_TIME);
                ledger.remove(live.owner);
            }
            if gone || lapsed {
                let parts = rebalancing::replace_owner(&mut ledger, &self.load, &live.range);
                let reason = match (owner, lapsed) {
                    (None, _) => "owner is gone",
                    (Some(_), true) => "owner cannot be reached",
                    (Some(_), false) => "owner is draining",
                };
                moves.extend(parts.into_iter().map(|part| (part, reason)));
            }
        }
        if moves.is_empty() && now >= self.leveled_at + rebalancing::LEVEL_INTERVAL {
            self.leveled_at = now;
            let parts: Vec<_> = assignments.iter().filter(movable).cloned().collect();
            let level = rebalancing::level(now, &parts, &mut ledger, &self.load);
            moves.extend(level.into_iter().map(|part| (part, "load")));
        }
        let mut changed = false;
        for (part, reason) in moves {
            changed |= self.apply_move(now, assignments, part, reason);
        }
        changed
    }

    /// Cuts the moved part out of its holding and gives it its new owner.
    pub(super) fn apply_move(
        &mut self,
        now: Duration,
        assignments: &mut Vec<assignment::AssignmentState>,
        part: rebalancing::RangeMove,
        reason: &'static str,
    ) -> bool {
        let covers = |live: &assignment::AssignmentState| {
            live.range.first <= part.range.first && part.range.last <= live.range.last
        };
        let Some(index) = assignments.iter().position(covers) else {
            return false;
        };
        let live = assignments[index].clone();
        if live.owner == part.to {
            return false;
        }
        let fence = self.take_fence();
        let mut pieces = Vec::new();
        if live.range.first < part.range.first {
            pieces.push(live.part(range::KeyRange {
                first: live.range.first,
                last: part.range.first - 1,
            }));
        }
        let first_fence = self.first_fence();
        let moved = live.part(part.range);
        pieces.push(moved.moved(now, part.to, fence, first_fence));
        if part.range.last < live.range.last {
            pieces.push(live.part(range::KeyRange {
                first: part.range.last + 1,
                last: live.range.last,
            }));
        }
        assignments.splice(index..=index, pieces);
        self.notes.push(interface::OwnershipDecision::Moving {
            range: part.range,
            from: Some(live.owner),
            to: part.to,
            fence,
            reason,
        });
        true
    }
}

/// Joins neighbouring ranges with the same owner, so that fewer calls renew them.
fn merge_neighbours(now: Duration, assignments: &mut Vec<assignment::AssignmentState>) -> bool {
    let before = assignments.len();
    let mut merged: Vec<assignment::AssignmentState> = Vec::with_capacity(before);
    for live in assignments.drain(..) {
        match merged.last_mut() {
            Some(last) if is_mergeable(now, last, &live) => *last = last.merged(now, &live),
            _ => merged.push(live),
        }
    }
    *assignments = merged;
    assignments.len() < before
}

fn is_mergeable(
    now: Duration,
    one: &assignment::AssignmentState,
    other: &assignment::AssignmentState,
) -> bool {
    let rested = |live: &assignment::AssignmentState| {
        live.is_settled() && !live.is_busy() && now >= live.since + MERGE_REST
    };
    one.owner == other.owner && rested(one) && rested(other)
}
