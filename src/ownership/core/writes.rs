//! Results of writes of the ownership record.

use super::OwnershipCore;
use crate::ownership::{assignment, interface, leadership};
use std::time::Duration;

impl OwnershipCore {
    pub(super) fn on_commit_finished(&mut self, now: Duration, result: interface::CommitResult) {
        match self.state.clone() {
            leadership::LeadershipState::Claiming {
                lease,
                contact,
                record,
            } => self.on_claim_finished(now, result, lease, contact, record),
            leadership::LeadershipState::Leading(term) => match &term.reclaim {
                leadership::ReclaimStep::Claiming(_) => self.on_reclaim_finished(now, result),
                _ => self.on_write_finished(now, *term, result),
            },
            leadership::LeadershipState::Following
            | leadership::LeadershipState::OpeningLease { .. } => {}
        }
    }

    fn on_write_finished(
        &mut self,
        now: Duration,
        mut term: leadership::LeaderTerm,
        result: interface::CommitResult,
    ) {
        let Some(mut pending) = term.commit.take() else {
            return;
        };
        let revision = match result {
            // Revisions of an earlier era say nothing of the present one, in which this
            // instance claims again.
            _ if self.era_ended(&term) => {
                self.state = leadership::LeadershipState::Leading(Box::new(term));
                return;
            }
            interface::CommitResult::Committed { revision } => revision,
            interface::CommitResult::Conflict(Some((stored, revision)))
                if stored.write_id == pending.record.write_id =>
            {
                revision
            }
            interface::CommitResult::Conflict(_) => {
                self.step_down(now, "the record was changed by another instance");
                return;
            }
            interface::CommitResult::LeaseEnded => {
                self.step_down(now, "the lease has ended");
                return;
            }
            interface::CommitResult::Refused | interface::CommitResult::Unknown => {
                pending.in_flight = false;
                pending.retry_at = now + super::COMMIT_BACKOFF;
                term.commit = Some(pending);
                self.state = leadership::LeadershipState::Leading(Box::new(term));
                return;
            }
        };
        if pending.resigns {
            self.step_down(now, "the instance stops");
            return;
        }
        self.apply_commit(now, pending, revision);
        self.state = leadership::LeadershipState::Leading(Box::new(term));
    }

    /// Puts a planned record into force once its write has taken effect.
    fn apply_commit(&mut self, now: Duration, pending: leadership::PendingCommit, revision: u64) {
        let first_fence = self.first_fence();
        let planned = pending.record.assignments.iter();
        self.assignments = planned
            .map(|planned| {
                let present = &self.assignments;
                assignment::AssignmentState::committed(now, planned, present, first_fence)
            })
            .collect();
        self.set_grant_ttl(Duration::from_millis(pending.record.grant_ttl_ms));
        self.view.as_of.revision = self.view.as_of.revision.max(revision);
        self.view.record = Some((pending.record, revision));
        self.unannounced = true;
    }
}
