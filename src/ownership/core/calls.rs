//! Grant and release calls for the stored assignments.

use super::OwnershipCore;
use crate::ids;
use crate::ownership::{assignment, candidates, interface, record};
use crate::range;
use smallvec::SmallVec;
use std::time::Duration;

impl OwnershipCore {
    /// Returns the assignment of exactly this range.
    pub(super) fn assignment_mut(
        &mut self,
        range: range::KeyRange,
    ) -> Option<&mut assignment::AssignmentState> {
        self.assignments
            .iter_mut()
            .find(|assignment| assignment.range == range)
    }

    pub(super) fn on_grant_finished(
        &mut self,
        now: Duration,
        range: range::KeyRange,
        owner: ids::UpstreamKey,
        fence: u64,
        sent: Duration,
        result: interface::GrantResult,
    ) {
        let renew_interval = self.renew_interval();
        let next_fence = self.next_fence;
        let Some(assignment) = self
            .assignment_mut(range)
            .filter(|assignment| assignment.fence == fence)
        else {
            match result {
                interface::GrantResult::Granted => self.note_late_grant(range, owner, sent, true),
                interface::GrantResult::Unanswered => {
                    self.note_late_grant(range, owner, sent, false)
                }
                _ => {}
            }
            return;
        };
        let mut decision = None;
        let mut ended = false;
        match result {
            interface::GrantResult::Granted => {
                if assignment.note_granted(sent, renew_interval) {
                    decision = Some(interface::OwnershipDecision::OwnerGranted {
                        range,
                        owner: assignment.owner,
                        fence,
                    });
                }
            }
            interface::GrantResult::Fenced => {
                assignment.note_failure(now, sent, false, renew_interval);
                assignment.fence = next_fence;
                assignment.granted = false;
                assignment.grant_at = Duration::MAX;
                self.next_fence += 1;
                // Stores the raised fencing token at once, as the grant waits for that.
                self.dirty_since = Some(Duration::ZERO);
            }
            interface::GrantResult::Unanswered => {
                assignment.note_failure(now, sent, true, renew_interval)
            }
            interface::GrantResult::Unsent => {
                assignment.note_failure(now, sent, false, renew_interval)
            }
            interface::GrantResult::Misdirected => {
                assignment.note_failure(now, sent, false, renew_interval);
                ended = true;
            }
            interface::GrantResult::Refused => {
                assignment.note_failure(now, sent, false, renew_interval);
                let info = self.owner_info(owner);
                // An upstream without keys knows no grants, nor names itself.
                ended = info.is_some_and(|info| self.candidates.is_contested(&info));
            }
        }
        if ended {
            self.ended.insert(owner);
            self.planned_at = Duration::ZERO;
        }
        if let Some(decision) = decision {
            self.decisions.push(decision);
            self.dirty_since.get_or_insert(now);
            self.unannounced = true;
        }
    }

    /// Notes that a grant was accepted, or may still be, for a range that was split or merged
    /// since.
    pub(super) fn note_late_grant(
        &mut self,
        range: range::KeyRange,
        owner: ids::UpstreamKey,
        sent: Duration,
        answered: bool,
    ) {
        let unanswered = Some(sent).filter(|_| !answered);
        let assignments = self.assignments.iter_mut();
        for assignment in assignments.filter(|assignment| assignment.range.overlaps(&range)) {
            if assignment.owner == owner {
                assignment.unanswered = assignment.unanswered.max(unanswered);
                assignment.sent = assignment.sent.max(sent);
            }
            for release in assignment
                .pending_releases
                .iter_mut()
                .filter(|release| release.owner.key == owner)
            {
                release.unanswered = release.unanswered.max(unanswered);
                release.sent = release.sent.max(sent);
            }
        }
    }

    pub(super) fn on_release_finished(
        &mut self,
        now: Duration,
        range: range::KeyRange,
        former: record::FormerOwner,
        result: interface::ReleaseResult,
    ) {
        let Some(assignment) = self.assignment_mut(range) else {
            return;
        };
        let found = assignment
            .pending_releases
            .iter_mut()
            .find(|release| release.owner == former);
        let Some(release) = found else { return };
        let sent = release.sent;
        let proof = match result {
            interface::ReleaseResult::Released(handover) => {
                release.in_flight = false;
                release.status = assignment::ReleaseStatus::Released;
                assignment.handover = handover.or(assignment.handover.take());
                Some(assignment::ReleaseProof::Acknowledged)
            }
            interface::ReleaseResult::Unanswered => {
                release.note_failure(now);
                None
            }
            // Grants name their upstream too, so the other upstream accepted none of them.
            interface::ReleaseResult::Misdirected => {
                release.in_flight = false;
                release.status = assignment::ReleaseStatus::Ended;
                Some(assignment::ReleaseProof::Misdirected)
            }
        };
        self.decisions
            .extend(proof.map(|proof| former_cleared(now, range, former.key, proof, sent)));
    }

    /// Ends the releases of owners that certainly have no valid grant any more.
    pub(super) fn clear_former_owners(&mut self, now: Duration) {
        let predecessors_expire_at = self.predecessors_expire_at();
        let ttl = self.longest_grant_ttl;
        for index in 0..self.assignments.len() {
            for position in 0..self.assignments[index].pending_releases.len() {
                let release = &self.assignments[index].pending_releases[position];
                if release.status != assignment::ReleaseStatus::Holding {
                    continue;
                }
                let key = release.owner.key;
                let cleared = release.is_cleared(now, predecessors_expire_at, ttl);
                let expired = cleared.then_some(assignment::ReleaseProof::Expired);
                let ended = self.end_of_run(key);
                if let Some(proof) = ended.or(expired) {
                    let release = &mut self.assignments[index].pending_releases[position];
                    release.status = assignment::ReleaseStatus::Ended;
                    let sent = release.sent;
                    let range = self.assignments[index].range;
                    self.decisions
                        .push(former_cleared(now, range, key, proof, sent));
                }
            }
        }
    }

    /// Returns what shows that a run has ended, whoever may still renew its grants.
    pub(super) fn end_of_run(&self, key: ids::UpstreamKey) -> Option<assignment::ReleaseProof> {
        if self.ended.contains(&key) {
            return Some(assignment::ReleaseProof::Misdirected);
        }
        let info = self.owners.iter().find(|info| info.key == key)?;
        let moved = self.candidates.has_moved(info);
        moved.then_some(assignment::ReleaseProof::Moved)
    }

    /// Sends the grants of the owners at once whose addresses others have begun to claim.
    ///
    /// A renewal does an owner no harm, and another upstream refuses it.
    pub(super) fn ask_contested_owners(
        &mut self,
        now: Duration,
        former_candidates: &candidates::CandidateTable,
    ) {
        let known = |key: &ids::UpstreamKey| {
            self.candidates.get(*key).is_some() || self.owners.iter().any(|info| info.key == *key)
        };
        self.ended.retain(known);
        let contested = self.owners.iter().filter(|info| {
            self.candidates.is_contested(info) && !former_candidates.is_contested(info)
        });
        let contested: SmallVec<[ids::UpstreamKey; 4]> = contested.map(|info| info.key).collect();
        for assignment in &mut self.assignments {
            if contested.contains(&assignment.owner) && assignment.grant_at != Duration::MAX {
                assignment.grant_at = assignment.grant_at.min(now);
            }
        }
    }

    /// Returns what is known of an upstream that is registered or named in the record.
    pub(super) fn owner_info(&self, key: ids::UpstreamKey) -> Option<record::OwnerInfo> {
        let registered = self
            .candidates
            .get(key)
            .map(|candidate| candidate.info.clone());
        registered.or_else(|| self.owners.iter().find(|info| info.key == key).cloned())
    }

    pub(super) fn send_grants(
        &mut self,
        now: Duration,
        actions: &mut Vec<interface::OwnershipAction>,
    ) {
        let (ttl, longest_ttl) = (self.grant_ttl, self.longest_grant_ttl);
        let predecessors_expire_at = self.predecessors_expire_at();
        for index in 0..self.assignments.len() {
            let assignment = &self.assignments[index];
            if assignment.in_flight.is_some() || assignment.changing || now < assignment.grant_at {
                continue;
            }
            let cleared = |release: &assignment::PendingRelease| {
                release.is_cleared(now, predecessors_expire_at, longest_ttl)
            };
            let registered = self.candidates.get(assignment.owner).is_some();
            let Some(owner) = self.owner_info(assignment.owner) else {
                continue;
            };
            let asked = registered || self.candidates.is_contested(&owner);
            if !asked || !assignment.pending_releases.iter().all(cleared) {
                continue;
            }
            let assignment = &mut self.assignments[index];
            assignment.in_flight = Some(now);
            actions.push(interface::OwnershipAction::Grant(interface::GrantCommand {
                owner,
                range: assignment.range,
                fence: assignment.fence,
                ttl,
                handover: assignment.handover.clone(),
                sent: now,
            }));
        }
    }

    pub(super) fn send_releases(
        &mut self,
        now: Duration,
        actions: &mut Vec<interface::OwnershipAction>,
    ) {
        let predecessors_ended = self.predecessors_expire_at().is_some();
        for assignment in &mut self.assignments {
            let range = assignment.range;
            for release in &mut assignment.pending_releases {
                let may_hold_grant = release.status == assignment::ReleaseStatus::Holding;
                if !may_hold_grant || release.in_flight || now < release.release_at {
                    continue;
                }
                let key = release.owner.key;
                let info = self.owners.iter().find(|info| info.key == key);
                let Some(owner) = info.cloned() else { continue };
                let lasts = predecessors_ended || release.fenced;
                if !lasts && !self.candidates.is_contested(&owner) {
                    continue;
                }
                release.in_flight = true;
                let former = release.owner;
                actions.push(interface::OwnershipAction::Release(
                    interface::ReleaseCommand {
                        owner,
                        range,
                        former,
                    },
                ));
            }
        }
    }
}

/// Creates the report that a former owner is cleared; `sent` is when its last grant was sent.
fn former_cleared(
    now: Duration,
    range: range::KeyRange,
    former: ids::UpstreamKey,
    proof: assignment::ReleaseProof,
    sent: Duration,
) -> interface::OwnershipDecision {
    interface::OwnershipDecision::FormerCleared {
        range,
        former,
        proof,
        grant_age_ms: now.saturating_sub(sent).as_millis() as u64,
    }
}
