//! Grants and releases of the stored plan.

use super::OwnershipCore;
use crate::ids;
use crate::ownership::{holding, orders, record};
use crate::range;
use std::time::Duration;

impl OwnershipCore {
    pub(super) fn find(&mut self, range: range::KeyRange) -> Option<&mut holding::LiveHolding> {
        self.holdings.iter_mut().find(|live| live.range == range)
    }

    pub(super) fn on_granted(
        &mut self,
        now: Duration,
        range: range::KeyRange,
        owner: ids::UpstreamKey,
        fence: u64,
        sent: Duration,
        result: orders::GrantResult,
    ) {
        let renew = self.renew_interval();
        let fresh_fence = self.next_fence;
        let Some(live) = self.find(range).filter(|live| live.fence == fence) else {
            if result == orders::GrantResult::Unanswered {
                self.note_late_grant(range, owner, sent);
            }
            return;
        };
        let mut note = None;
        match result {
            orders::GrantResult::Granted => {
                if live.note_granted(sent, renew) {
                    note = Some(orders::OwnershipNote::OwnerGranted {
                        range,
                        owner: live.owner,
                        fence,
                    });
                }
            }
            orders::GrantResult::Fenced => {
                live.note_failure(now, sent, false, renew);
                live.fence = fresh_fence;
                live.granted = false;
                live.grant_at = Duration::MAX;
                self.next_fence += 1;
                self.dirty_since = Some(Duration::ZERO);
            }
            orders::GrantResult::Unanswered => live.note_failure(now, sent, true, renew),
            orders::GrantResult::Unsent => live.note_failure(now, sent, false, renew),
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
        let overlapping = self.holdings.iter_mut();
        for live in overlapping.filter(|live| live.range.overlaps(&range)) {
            if live.owner == owner {
                live.unanswered = live.unanswered.max(Some(sent));
                live.sent = live.sent.max(sent);
            }
            for former in live.formers.iter_mut().filter(|f| f.former.key == owner) {
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
        result: orders::ReleaseResult,
    ) {
        let registered = self.candidates.get(former.key).is_some();
        let Some(live) = self.find(range) else { return };
        let found = live.formers.iter_mut().find(|state| state.former == former);
        let Some(state) = found else { return };
        match result {
            orders::ReleaseResult::Released(handover) => {
                state.in_flight = false;
                state.state = holding::FormerState::Released;
                live.handover = handover.or(live.handover.take());
            }
            orders::ReleaseResult::Unanswered => state.note_failure(now, false, registered),
            // Grants name their upstream too, so the other one took none of them.
            orders::ReleaseResult::Misdirected => {
                state.in_flight = false;
                state.state = holding::FormerState::Ended;
            }
            orders::ReleaseResult::ConnectionRefused => state.note_failure(now, true, registered),
        }
    }

    pub(super) fn clear_formers(&mut self, now: Duration) {
        let floor = self.sole_floor();
        let hold = self.longest_hold;
        for live in &mut self.holdings {
            for former in &mut live.formers {
                if former.state != holding::FormerState::Holding {
                    continue;
                }
                let key = former.former.key;
                let info = self.owners.iter().find(|info| info.key == key);
                let replaced = info.is_some_and(|info| self.candidates.has_moved_away(info));
                if replaced || former.is_cleared(now, floor, hold) {
                    former.state = holding::FormerState::Ended;
                    self.notes.push(orders::OwnershipNote::FormerCleared {
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
        actions: &mut Vec<orders::OwnershipAction>,
    ) {
        let (hold, longest) = (self.hold, self.longest_hold);
        let floor = self.sole_floor();
        for index in 0..self.holdings.len() {
            let live = &self.holdings[index];
            if live.in_flight || live.changing || now < live.grant_at {
                continue;
            }
            let cleared = |former: &holding::LiveFormer| former.is_cleared(now, floor, longest);
            let registered = self.candidates.get(live.owner).is_some();
            if !registered || !live.formers.iter().all(cleared) {
                continue;
            }
            let Some(owner) = self.owner_info(live.owner) else {
                continue;
            };
            let live = &mut self.holdings[index];
            live.in_flight = true;
            actions.push(orders::OwnershipAction::Grant(orders::GrantCommand {
                owner,
                range: live.range,
                fence: live.fence,
                hold,
                handover: live.handover.clone(),
                sent: now,
            }));
        }
    }

    pub(super) fn push_releases(
        &mut self,
        now: Duration,
        actions: &mut Vec<orders::OwnershipAction>,
    ) {
        let alone = self.sole_floor().is_some();
        for live in &mut self.holdings {
            let range = live.range;
            for former in &mut live.formers {
                let holding = former.state == holding::FormerState::Holding;
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
                actions.push(orders::OwnershipAction::Release(orders::ReleaseCommand {
                    owner,
                    range,
                    former,
                }));
            }
        }
    }
}
