//! Grants and releases of the stored plan.

use super::OwnershipCore;
use crate::ids;
use crate::ownership::{assignment, interface, record};
use crate::range;
use std::time::Duration;

impl OwnershipCore {
    pub(super) fn find(
        &mut self,
        range: range::KeyRange,
    ) -> Option<&mut assignment::AssignmentState> {
        self.assignments.iter_mut().find(|live| live.range == range)
    }

    pub(super) fn on_granted(
        &mut self,
        now: Duration,
        range: range::KeyRange,
        owner: ids::UpstreamKey,
        fence: u64,
        sent: Duration,
        result: interface::GrantResult,
    ) {
        let renew = self.renew_interval();
        let fresh_fence = self.next_fence;
        let Some(live) = self.find(range).filter(|live| live.fence == fence) else {
            if result == interface::GrantResult::Unanswered {
                self.note_late_grant(range, owner, sent);
            }
            return;
        };
        let mut note = None;
        match result {
            interface::GrantResult::Granted => {
                if live.note_granted(sent, renew) {
                    note = Some(interface::OwnershipDecision::OwnerGranted {
                        range,
                        owner: live.owner,
                        fence,
                    });
                }
            }
            interface::GrantResult::Fenced => {
                live.note_failure(now, sent, false, renew);
                live.fence = fresh_fence;
                live.granted = false;
                live.grant_at = Duration::MAX;
                self.next_fence += 1;
                self.dirty_since = Some(Duration::ZERO);
            }
            interface::GrantResult::Unanswered => live.note_failure(now, sent, true, renew),
            interface::GrantResult::Unsent => live.note_failure(now, sent, false, renew),
        }
        if let Some(note) = note {
            self.notes.push(note);
            self.dirty_since.get_or_insert(now);
            self.unannounced = true;
        }
    }

    /// Notes that a grant for a range that was cut or joined since may arrive late.
    pub(super) fn note_late_grant(
        &mut self,
        range: range::KeyRange,
        owner: ids::UpstreamKey,
        sent: Duration,
    ) {
        let overlapping = self.assignments.iter_mut();
        for live in overlapping.filter(|live| live.range.overlaps(&range)) {
            if live.owner == owner {
                live.unanswered = live.unanswered.max(Some(sent));
                live.sent = live.sent.max(sent);
            }
            for former in live
                .former_owners
                .iter_mut()
                .filter(|f| f.former.key == owner)
            {
                former.unanswered = former.unanswered.max(Some(sent));
                former.sent = former.sent.max(sent);
            }
        }
    }

    pub(super) fn on_released(
        &mut self,
        now: Duration,
        range: range::KeyRange,
        former: record::FormerOwner,
        result: interface::ReleaseResult,
    ) {
        let registered = self.candidates.get(former.key).is_some();
        let Some(live) = self.find(range) else { return };
        let found = live
            .former_owners
            .iter_mut()
            .find(|state| state.former == former);
        let Some(state) = found else { return };
        match result {
            interface::ReleaseResult::Released(handover) => {
                state.in_flight = false;
                state.state = assignment::ReleaseStatus::Released;
                live.handover = handover.or(live.handover.take());
            }
            interface::ReleaseResult::Unanswered => state.note_failure(now, false, registered),
            // Grants name their upstream too, so the other one took none of them.
            interface::ReleaseResult::Misdirected => {
                state.in_flight = false;
                state.state = assignment::ReleaseStatus::Ended;
            }
            interface::ReleaseResult::ConnectionRefused => {
                state.note_failure(now, true, registered)
            }
        }
    }

    pub(super) fn clear_formers(&mut self, now: Duration) {
        let floor = self.sole_floor();
        let ttl = self.longest_grant_ttl;
        for live in &mut self.assignments {
            for former in &mut live.former_owners {
                if former.state != assignment::ReleaseStatus::Holding {
                    continue;
                }
                let key = former.former.key;
                let info = self.owners.iter().find(|info| info.key == key);
                let replaced = info.is_some_and(|info| self.candidates.has_moved_away(info));
                if replaced || former.is_cleared(now, floor, ttl) {
                    former.state = assignment::ReleaseStatus::Ended;
                    self.notes
                        .push(interface::OwnershipDecision::FormerCleared {
                            range: live.range,
                            former: key,
                            proof: former.state,
                        });
                }
            }
        }
    }

    pub(super) fn owner_info(&self, key: ids::UpstreamKey) -> Option<record::OwnerInfo> {
        let registered = self.candidates.get(key).map(|found| found.info.clone());
        registered.or_else(|| self.owners.iter().find(|info| info.key == key).cloned())
    }

    pub(super) fn push_grants(
        &mut self,
        now: Duration,
        actions: &mut Vec<interface::OwnershipAction>,
    ) {
        let (ttl, longest) = (self.grant_ttl, self.longest_grant_ttl);
        let floor = self.sole_floor();
        for index in 0..self.assignments.len() {
            let live = &self.assignments[index];
            if live.in_flight || live.changing || now < live.grant_at {
                continue;
            }
            let cleared =
                |former: &assignment::PendingRelease| former.is_cleared(now, floor, longest);
            let registered = self.candidates.get(live.owner).is_some();
            if !registered || !live.former_owners.iter().all(cleared) {
                continue;
            }
            let Some(owner) = self.owner_info(live.owner) else {
                continue;
            };
            let live = &mut self.assignments[index];
            live.in_flight = true;
            actions.push(interface::OwnershipAction::Grant(interface::GrantCommand {
                owner,
                range: live.range,
                fence: live.fence,
                ttl,
                handover: live.handover.clone(),
                sent: now,
            }));
        }
    }

    pub(super) fn push_releases(
        &mut self,
        now: Duration,
        actions: &mut Vec<interface::OwnershipAction>,
    ) {
        let alone = self.sole_floor().is_some();
        for live in &mut self.assignments {
            let range = live.range;
            for former in &mut live.former_owners {
                let holding = former.state == assignment::ReleaseStatus::Holding;
                if !holding
                    || !(alone || former.fenced)
                    || former.in_flight
                    || now < former.release_at
                {
                    continue;
                }
                let key = former.former.key;
                let info = self.owners.iter().find(|info| info.key == key);
                let Some(owner) = info.cloned() else { continue };
                former.in_flight = true;
                let former = former.former;
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
