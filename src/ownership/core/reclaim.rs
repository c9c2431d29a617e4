//! Leadership across a restoration of the store from an older copy.
//!
//! The store then lacks what was written since the copy, perhaps this leader's claim
//! and record too, and other instances may find an earlier leader's. The leader goes
//! on renewing the grants that it gave, and claims again with the assignments that
//! it remembers. Fencing tokens of a new era are above all earlier ones.
//!
//! An instance that did not lead waits for the former leader. If it must claim from
//! a record of an earlier era, moves after that record may be lost, and it grants
//! nothing until every grant of an unknown leader has expired.

use super::OwnershipCore;
use crate::ownership::{assignment, interface, leadership, record};
use std::time::Duration;

impl OwnershipCore {
    /// Returns whether this instance leads by a claim in the store's present era.
    pub(super) fn leads_in_present_era(&self) -> bool {
        match &self.state {
            leadership::LeadershipState::Leading(term) => !self.era_ended(term),
            _ => false,
        }
    }

    /// Returns whether another era has begun since a leader's claim.
    pub(super) fn era_ended(&self, term: &leadership::LeaderTerm) -> bool {
        term.position.era < self.view.as_of.era
    }

    /// Returns whether the known record may lack moves that a restored store has lost.
    ///
    /// A record without an era is of a build that wrote none. Without a record, one may
    /// have been lost, unless the deployment has just started for the first time.
    pub(super) fn may_lack_moves(&self) -> bool {
        let era = self.view.as_of.era;
        match &self.view.record {
            Some((record, _)) => record.lacks_moves || (record.era != 0 && record.era < era),
            None => era > 1 && (!self.settings.first_start || self.first_era < era),
        }
    }

    /// Returns when every grant of a leader whose claim was lost has certainly expired.
    pub(super) fn lost_leaders_expire_at(&self) -> Duration {
        // The grant TTL grows with the ranges, of which some may be unknown.
        let ttl = self.longest_grant_ttl + self.longest_grant_ttl / 4;
        let ttl = ttl.min(self.settings.max_grant_ttl);
        self.era_known_at + leadership::lost_leader_wait() + assignment::max_grant_age(ttl)
    }

    /// Renews grants and claims again, as the leader of an earlier era.
    pub(super) fn advance_reclaim(
        &mut self,
        now: Duration,
        actions: &mut Vec<interface::OwnershipAction>,
    ) {
        let era_known_at = self.era_known_at;
        let has_leader = !self.is_vacant();
        let Some(term) = self.term_mut() else { return };
        if era_known_at >= term.contact + leadership::RECLAIM_WINDOW {
            self.step_down(
                now,
                "the store was restored too long after the last contact",
            );
            return;
        }
        if has_leader && !matches!(term.reclaim, leadership::ReclaimStep::Claiming(_)) {
            self.step_down(now, "another instance leads since the store was restored");
            return;
        }
        let is_writing = term
            .commit
            .as_ref()
            .is_some_and(|pending| pending.in_flight);
        match &mut term.reclaim {
            leadership::ReclaimStep::Waiting(until) if now >= *until && !is_writing => {
                term.commit = None;
                term.reclaim = leadership::ReclaimStep::OpeningLease(now);
                actions.push(interface::OwnershipAction::OpenLease {
                    ttl: leadership::LEASE_TTL,
                });
            }
            leadership::ReclaimStep::OpeningLease(since)
                if now >= *since + leadership::LEASE_TTL =>
            {
                term.reclaim = leadership::ReclaimStep::Waiting(now);
            }
            leadership::ReclaimStep::Claiming(claim)
                if !claim.in_flight && now >= claim.retry_at =>
            {
                claim.in_flight = true;
                actions.push(claim.commit_action());
            }
            _ => {}
        }
        self.send_grants(now, actions);
    }

    /// Claims with the assignments that this leader remembers.
    pub(super) fn on_reclaim_lease_opened(
        &mut self,
        now: Duration,
        sent: Duration,
        lease: Option<u64>,
        actions: &mut Vec<interface::OwnershipAction>,
    ) {
        let Some(lease) = lease else {
            let until = now + super::CLAIM_BACKOFF;
            if let Some(term) = self.term_mut() {
                term.reclaim = leadership::ReclaimStep::Waiting(until);
            }
            return;
        };
        let assignments = std::mem::take(&mut self.assignments);
        self.collect_owners(&assignments);
        self.assignments = assignments;
        let mut record = record::OwnershipRecord {
            write_id: self.next_write_id(),
            leader: self.me.clone(),
            era: self.view.as_of.era,
            lacks_moves: false,
            resigned: false,
            predecessors: self.predecessor_instances(),
            grant_ttl_ms: self.grant_ttl.as_millis() as u64,
            next_fence: self.next_fence,
            owners: self.owners.clone(),
            assignments: self
                .assignments
                .iter()
                .map(assignment::AssignmentState::to_record)
                .collect(),
        };
        super::election::raise_fences(&mut record);
        let leader = self.view.leader.as_ref();
        let claim = leadership::Reclaim {
            lease,
            contact: sent,
            leader_revision: leader.map_or(0, |leader| leader.revision),
            record_revision: self.record_revision(),
            record,
            in_flight: true,
            retry_at: now,
        };
        actions.push(claim.commit_action());
        if let Some(term) = self.term_mut() {
            term.reclaim = leadership::ReclaimStep::Claiming(Box::new(claim));
        }
    }

    pub(super) fn on_reclaim_finished(&mut self, now: Duration, result: interface::CommitResult) {
        let Some(term) = self.term_mut() else { return };
        let leadership::ReclaimStep::Claiming(claim) = &mut term.reclaim else {
            return;
        };
        match result {
            interface::CommitResult::Refused | interface::CommitResult::Unknown => {
                claim.in_flight = false;
                claim.retry_at = now + super::COMMIT_BACKOFF;
            }
            interface::CommitResult::LeaseEnded => {
                term.reclaim = leadership::ReclaimStep::Waiting(now);
            }
            interface::CommitResult::Committed { .. } | interface::CommitResult::Conflict(_) => {
                let leadership::Reclaim {
                    lease,
                    contact,
                    record,
                    ..
                } = (**claim).clone();
                self.on_claim_finished(now, result, lease, contact, record);
            }
        }
    }
}

impl leadership::Reclaim {
    fn commit_action(&self) -> interface::OwnershipAction {
        interface::OwnershipAction::Commit(Box::new(interface::CommitCommand {
            leader_revision: self.leader_revision,
            record_revision: self.record_revision,
            claim_lease: Some(self.lease),
            resign: false,
            record: self.record.clone(),
        }))
    }
}
