//! Planning of the next assignments, and their write to the store.

use super::OwnershipCore;
use crate::ids;
use crate::ownership::{assignment, interface, leadership, load, owner_loads, rebalancing, record};
use crate::range;
use smallvec::SmallVec;
use std::time::Duration;

/// Time for which the set of upstreams must not change before the initial assignment.
const INITIAL_SETTLE_TIME: Duration = Duration::from_millis(700);

/// Time for which a new leader measures the load before it moves any.
///
/// Until its followers know it, they watch the store, and each write costs a call of each.
const LOAD_SETTLE_TIME: Duration = Duration::from_secs(2);

/// Time for which no ranges move to an upstream that could not be reached.
const SUSPECT_TIME: Duration = Duration::from_secs(4);

/// Shortest time between two plans; grant responses arrive hundreds of times a second.
const MIN_PLAN_INTERVAL: Duration = Duration::from_millis(25);

/// Time after a move for which a range is not merged with an adjacent one.
const MERGE_DELAY: Duration = Duration::from_millis(1500);

/// Time after which acknowledged grants are stored if nothing else is written.
///
/// Until then they are only announced; a new leader would send them again.
const STORE_DELAY: Duration = Duration::from_millis(1500);

impl OwnershipCore {
    /// Plans the next write if there is none, and sends the pending one if it is due.
    pub(super) fn commit(&mut self, now: Duration, actions: &mut Vec<interface::OwnershipAction>) {
        let record_revision = self.record_revision();
        let has_pending = match &self.state {
            leadership::LeadershipState::Leading(term) => term.commit.is_some(),
            _ => return,
        };
        if !has_pending && now >= self.planned_at + MIN_PLAN_INTERVAL {
            self.planned_at = now;
            let next = self.plan(now);
            let Some(term) = self.term_mut() else { return };
            term.commit = next;
        }
        let Some(term) = self.term_mut() else { return };
        let leader_revision = term.position.revision;
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
                claim_lease: None,
                resign: pending.resigns,
                record: pending.record.clone(),
            },
        )));
    }

    /// Plans the next write of the record, if there is anything to write.
    pub(super) fn plan(&mut self, now: Duration) -> Option<leadership::PendingCommit> {
        let busy = self
            .assignments
            .iter()
            .any(assignment::AssignmentState::is_busy);
        if self.leaves_leadership() {
            let ready = !busy && self.may_resign(now);
            return ready.then(|| self.pending_commit(now, &self.assignments.clone(), true));
        }
        let mut assignments = self.assignments.clone();
        let mut changed =
            self.assign_initially(now, &mut assignments) || self.reassign(now, &mut assignments);
        let due = |since: Duration| now >= since + STORE_DELAY;
        let due = self.dirty_since.is_some_and(due);
        if changed || due {
            changed |= merge_adjacent(now, &mut assignments);
        }
        if changed {
            self.mark_changes(&assignments);
        }
        (changed || due).then(|| self.pending_commit(now, &assignments, false))
    }

    /// Stops renewals of the ranges that the planned assignments move to another owner.
    ///
    /// A range of which only a part moves is split, so that renewals of the rest go
    /// on: it keeps its owner whether or not the planned write takes effect.
    pub(super) fn mark_changes(&mut self, planned: &[assignment::AssignmentState]) {
        let mut marked = Vec::with_capacity(planned.len());
        for assignment in self.assignments.drain(..) {
            let overlapping = planned.iter();
            let overlapping = overlapping.filter(|other| other.range.overlaps(&assignment.range));
            let parts: Vec<_> = overlapping.collect();
            if parts.iter().all(|other| other.owner == assignment.owner) {
                marked.push(assignment);
                continue;
            }
            for other in parts {
                let mut part = assignment.part(assignment.range.intersection(&other.range));
                part.changing = other.owner != assignment.owner;
                marked.push(part);
            }
        }
        self.assignments = marked;
    }

    /// Creates the write of the planned assignments.
    pub(super) fn pending_commit(
        &mut self,
        now: Duration,
        assignments: &[assignment::AssignmentState],
        resigns: bool,
    ) -> leadership::PendingCommit {
        let write_id = self.next_write_id();
        self.dirty_since = None;
        self.collect_owners(assignments);
        let predecessors_expired = self
            .predecessors_expire_at()
            .is_some_and(|predecessors_expire_at| now >= predecessors_expire_at);
        let all_delivered = predecessors_expired
            && assignments
                .iter()
                .all(|assignment| self.has_no_late_grant(now, assignment));
        let record = record::OwnershipRecord {
            write_id,
            leader: self.me.clone(),
            era: self.view.as_of.era,
            lacks_moves: false,
            resigned: resigns && all_delivered,
            predecessors: self.predecessor_instances(),
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
            in_flight: false,
            retry_at: now,
            resigns,
        }
    }

    pub(super) fn predecessor_instances(&self) -> Vec<record::InstanceInfo> {
        match &self.state {
            leadership::LeadershipState::Leading(term) => {
                let states = term.predecessors.iter();
                states.map(|state| state.instance.clone()).collect()
            }
            _ => Vec::new(),
        }
    }

    /// Returns whether no grant for the range can still arrive late.
    pub(super) fn has_no_late_grant(
        &self,
        now: Duration,
        assignment: &assignment::AssignmentState,
    ) -> bool {
        let expired =
            |sent: Duration| now >= sent + assignment::max_grant_age(self.longest_grant_ttl);
        let release_expired =
            |release: &assignment::PendingRelease| release.unanswered.is_none_or(expired);
        assignment.unanswered.is_none_or(expired)
            && assignment.pending_releases.iter().all(release_expired)
    }

    /// Updates the list of the upstreams that the assignments name.
    pub(super) fn collect_owners(&mut self, assignments: &[assignment::AssignmentState]) {
        let mut keys: Vec<ids::UpstreamKey> = Vec::new();
        for assignment in assignments {
            keys.push(assignment.owner);
            keys.extend(
                assignment
                    .pending_releases
                    .iter()
                    .map(|release| release.owner.key),
            );
        }
        keys.sort_unstable();
        keys.dedup();
        let infos = keys.into_iter().filter_map(|key| self.owner_info(key));
        self.owners = infos.collect();
    }

    /// Divides the key space among the upstreams if nothing is assigned yet.
    pub(super) fn assign_initially(
        &mut self,
        now: Duration,
        assignments: &mut Vec<assignment::AssignmentState>,
    ) -> bool {
        let begun = match &self.state {
            leadership::LeadershipState::Leading(term) => term.begun,
            _ => return false,
        };
        // A leader reads the store more often than it did before.
        let settled = now >= self.candidates_changed_at.max(begun) + INITIAL_SETTLE_TIME;
        let mut keys: Vec<_> = self
            .candidates
            .usable()
            .map(|candidate| candidate.info.key)
            .collect();
        if !assignments.is_empty() || keys.is_empty() || !settled {
            return false;
        }
        keys.sort_unstable();
        let ranges = range::KeyRange::divide(self.settings.last_key, keys.len());
        for (range, owner) in ranges.into_iter().zip(keys) {
            let fence = self.take_fence();
            assignments.push(assignment::AssignmentState::initial(
                now, range, owner, fence,
            ));
            self.decisions.push(interface::OwnershipDecision::Moving {
                range,
                from: None,
                to: owner,
                fence,
                reason: "initial assignment",
            });
        }
        true
    }

    /// Returns a fencing token that was never used for the service.
    pub(super) fn take_fence(&mut self) -> u64 {
        self.next_fence += 1;
        self.next_fence - 1
    }

    /// Plans moves off owners that are gone, draining, unreachable or overloaded.
    pub(super) fn reassign(
        &mut self,
        now: Duration,
        assignments: &mut Vec<assignment::AssignmentState>,
    ) -> bool {
        self.load.decay(now);
        let mut candidates = self.candidates.clone();
        self.suspects.retain(|_, until| now < *until);
        candidates.exclude(|key| self.suspects.contains_key(&key) || self.ended.contains(&key));
        let capacities = candidates.usable().map(|candidate| {
            let key = candidate.info.key;
            let latency = self.latency.latency(now, key).as_secs_f32();
            let count_time = load::LoadMap::mean_count_time();
            let capacity = owner_loads::OwnerCapacity {
                key,
                capacity: candidate.capacity(now) / self.latency.slowness(now, key),
                use_per_count: latency / count_time.as_secs_f32() / candidate.slots.max(1) as f32,
                is_limited: false,
            };
            match self.limits.get(&key) {
                Some(rate) => capacity.limited(*rate, self.latency.mean()),
                None => capacity,
            }
        });
        let mut loads = owner_loads::OwnerLoads::new(capacities, assignments, &self.load);
        let mut moves = Vec::new();
        let predecessors_expire_at = self.predecessors_expire_at();
        let first_fence = self.first_fence();
        let movable = |assignment: &&assignment::AssignmentState| {
            !assignment.is_busy()
                && (predecessors_expire_at.is_some()
                    || assignment.is_fenced(first_fence)
                    // Nothing answers for such an owner, whoever still renews its grant.
                    || self.end_of_run(assignment.owner).is_some())
        };
        let mut unreachable: SmallVec<[ids::UpstreamKey; 4]> = SmallVec::new();
        for assignment in assignments.iter().filter(movable) {
            let predecessors_expire_at = match assignment.is_fenced(first_fence) {
                true => Duration::ZERO,
                false => predecessors_expire_at.unwrap_or(Duration::MAX),
            };
            let owner = self.candidates.get(assignment.owner);
            let ended = self.ended.contains(&assignment.owner);
            let leaving = ended || owner.is_none_or(|owner| owner.draining);
            let expired = assignment.is_failing()
                && assignment.is_expired(now, predecessors_expire_at, self.longest_grant_ttl);
            if expired {
                unreachable.push(assignment.owner);
            }
            if expired || ended {
                loads.remove(assignment.owner);
            }
            if leaving || expired {
                let replacements =
                    rebalancing::replace_owner(&mut loads, &self.load, &assignment.range);
                let reason = match (owner, expired) {
                    (None, _) => "owner is gone",
                    (Some(_), _) if ended => "owner has ended",
                    (Some(_), true) => "owner cannot be reached",
                    (Some(_), false) => "owner is draining",
                };
                moves.extend(
                    replacements
                        .into_iter()
                        .map(|range_move| (range_move, reason)),
                );
            }
        }
        let suspects = unreachable.into_iter();
        self.suspects
            .extend(suspects.map(|key| (key, now + SUSPECT_TIME)));
        let begun = match &self.state {
            leadership::LeadershipState::Leading(term) => term.begun,
            _ => now,
        };
        let interval = rebalancing::rebalance_interval(assignments.len());
        let rebalance_at = (self.rebalanced_at + interval).max(begun + LOAD_SETTLE_TIME);
        if moves.is_empty() && now >= rebalance_at {
            self.rebalanced_at = now;
            // The former owner's release must be proof enough, or the keys of a move that only
            // spares an owner load would have none until a predecessor's grants expire.
            let expired = predecessors_expire_at.is_some_and(|expire_at| now >= expire_at);
            let movable: Vec<_> = assignments
                .iter()
                .filter(|assignment| expired || assignment.is_fenced(first_fence))
                .cloned()
                .collect();
            let chosen = rebalancing::rebalance(now, &movable, &mut loads, &self.load);
            moves.extend(chosen.into_iter().map(|range_move| (range_move, "load")));
        }
        let mut changed = false;
        for (range_move, reason) in moves {
            changed |= self.apply_move(now, assignments, range_move, reason);
        }
        changed
    }

    /// Splits the moved part off its range and assigns it to its new owner.
    ///
    /// Returns whether anything changed.
    pub(super) fn apply_move(
        &mut self,
        now: Duration,
        assignments: &mut Vec<assignment::AssignmentState>,
        range_move: rebalancing::RangeMove,
        reason: &'static str,
    ) -> bool {
        let contains = |assignment: &assignment::AssignmentState| {
            assignment.range.first <= range_move.range.first
                && range_move.range.last <= assignment.range.last
        };
        let Some(index) = assignments.iter().position(contains) else {
            return false;
        };
        let assignment = assignments[index].clone();
        if assignment.owner == range_move.to {
            return false;
        }
        let fence = self.take_fence();
        let mut pieces = Vec::new();
        if assignment.range.first < range_move.range.first {
            pieces.push(assignment.part(range::KeyRange {
                first: assignment.range.first,
                last: range_move.range.first - 1,
            }));
        }
        let first_fence = self.first_fence();
        let moved = assignment.part(range_move.range);
        pieces.push(moved.moved(now, range_move.to, fence, first_fence));
        if range_move.range.last < assignment.range.last {
            pieces.push(assignment.part(range::KeyRange {
                first: range_move.range.last + 1,
                last: assignment.range.last,
            }));
        }
        assignments.splice(index..=index, pieces);
        self.decisions.push(interface::OwnershipDecision::Moving {
            range: range_move.range,
            from: Some(assignment.owner),
            to: range_move.to,
            fence,
            reason,
        });
        true
    }
}

/// Merges adjacent ranges with the same owner, so that fewer calls renew them.
fn merge_adjacent(now: Duration, assignments: &mut Vec<assignment::AssignmentState>) -> bool {
    let count_before = assignments.len();
    let mut merged: Vec<assignment::AssignmentState> = Vec::with_capacity(count_before);
    for assignment in assignments.drain(..) {
        match merged.last_mut() {
            Some(last) if is_mergeable(now, last, &assignment) => {
                *last = last.merged(now, &assignment)
            }
            _ => merged.push(assignment),
        }
    }
    *assignments = merged;
    assignments.len() < count_before
}

fn is_mergeable(
    now: Duration,
    one: &assignment::AssignmentState,
    other: &assignment::AssignmentState,
) -> bool {
    let settled = |assignment: &assignment::AssignmentState| {
        assignment.is_settled()
            && !assignment.is_busy()
            && now >= assignment.assigned_at + MERGE_DELAY
    };
    one.owner == other.owner && settled(one) && settled(other)
}
