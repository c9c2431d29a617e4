//! Leadership: claims, the lease and earlier leaders.

use super::OwnershipCore;
use crate::ids;
use crate::ownership::{assignment, interface, leadership, record};
use std::time::Duration;

/// Longest random wait before an instance claims a service without a leader.
const CLAIM_SPREAD_MS: u64 = 150;

impl OwnershipCore {
    pub(super) fn on_lease_opened(
        &mut self,
        now: Duration,
        sent: Duration,
        lease: Option<u64>,
        actions: &mut Vec<interface::OwnershipAction>,
    ) {
        if !matches!(self.state, leadership::LeadershipState::Opening { .. }) {
            return;
        }
        // Another instance may have become the leader meanwhile.
        let Some(lease) = lease.filter(|_| self.is_vacant()) else {
            self.state = leadership::LeadershipState::Following;
            self.claim_at = Some(now + super::CLAIM_RETRY);
            return;
        };
        let write_id = self.next_write_id();
        let mut record = match &self.view.record {
            Some((record, _)) => record.clone(),
            None => record::OwnershipRecord {
                write_id,
                leader: self.me.clone(),
                resigned: true,
                predecessors: Vec::new(),
                grant_ttl_ms: self.grant_ttl.as_millis() as u64,
                next_fence: 1,
                owners: Vec::new(),
                assignments: Vec::new(),
            },
        };
        // An earlier run of this instance has ended, since this one runs.
        record.predecessors.retain(|node| node.name != self.me.name);
        if !record.resigned && record.leader.name != self.me.name {
            record.predecessors.push(record.leader.clone());
        }
        record.write_id = write_id;
        record.leader = self.me.clone();
        record.resigned = false;
        raise_fences(&mut record);
        actions.push(interface::OwnershipAction::Commit(Box::new(
            interface::CommitCommand {
                leader_revision: self
                    .view
                    .leader
                    .as_ref()
                    .map_or(0, |leader| leader.revision),
                record_revision: self.record_revision(),
                claim: Some(lease),
                resign: false,
                record: record.clone(),
            },
        )));
        self.state = leadership::LeadershipState::Claiming {
            lease,
            contact: sent,
            record,
        };
    }

    pub(super) fn record_revision(&self) -> u64 {
        let record = self.view.record.as_ref();
        record.map_or(0, |(_, revision)| *revision)
    }

    pub(super) fn next_write_id(&mut self) -> u64 {
        self.attempts += 1;
        self.me.run.0.wrapping_add(self.attempts)
    }

    pub(super) fn on_lease_renewed(&mut self, now: Duration, sent: Duration, alive: Option<bool>) {
        let leadership::LeadershipState::Leading(term) = &mut self.state else {
            return;
        };
        term.renewal_in_flight = false;
        match alive {
            Some(true) => term.note_contact(sent, now),
            Some(false) => self.step_down(now, "the lease has ended"),
            None => {}
        }
    }

    pub(super) fn on_claimed(
        &mut self,
        now: Duration,
        result: interface::CommitResult,
        lease: u64,
        contact: Duration,
        record: record::OwnershipRecord,
    ) {
        let revision = match result {
            interface::CommitResult::Committed { revision } => revision,
            interface::CommitResult::Conflict(Some((stored, revision)))
                if stored.write_id == record.write_id =>
            {
                revision
            }
            interface::CommitResult::Conflict(_)
            | interface::CommitResult::LeaseEnded
            | interface::CommitResult::Refused
            | interface::CommitResult::Unknown => {
                self.state = leadership::LeadershipState::Following;
                self.claim_at = Some(now + super::CLAIM_RETRY);
                return;
            }
        };
        let clean = match &self.view.record {
            Some((former, _)) => former.resigned,
            None => true,
        };
        let states = record.predecessors.iter();
        let predecessors: Vec<_> = states
            .map(|node| leadership::PredecessorState {
                node: node.clone(),
                ends: now + leadership::predecessor_wait(),
            })
            .collect();
        let first_fence = record.next_fence - record.assignments.len() as u64;
        self.assignments = record
            .assignments
            .iter()
            .map(|holding| assignment::AssignmentState::from_record(now, holding))
            .collect();
        self.owners = record.owners.clone();
        self.next_fence = record.next_fence;
        self.set_grant_ttl(Duration::from_millis(record.grant_ttl_ms));
        self.view.record = Some((record, revision));
        self.view.leader = Some(interface::LeaderView {
            run: self.me.run,
            name: self.me.name.clone(),
            revision,
        });
        self.view.as_of = self.view.as_of.max(revision);
        let bound = assignment::grant_expiry(self.longest_grant_ttl);
        let floor = match (predecessors.is_empty(), clean) {
            (true, true) => now,
            (true, false) => now + bound,
            (false, _) => now + leadership::predecessor_wait() + bound,
        };
        let names = predecessors.iter().map(|state| state.node.name.clone());
        self.unannounced = true;
        self.notes.push(interface::OwnershipDecision::Leading {
            revision,
            predecessors: names.collect(),
        });
        self.state = leadership::LeadershipState::Leading(Box::new(leadership::LeaderTerm {
            lease,
            revision,
            contact,
            renew_at: contact + leadership::LEASE_RENEW_INTERVAL,
            renewal_in_flight: false,
            commit: None,
            predecessors,
            floor,
            first_fence,
            stepped: now,
            suspended: false,
        }));
    }

    pub(super) fn on_sign(
        &mut self,
        now: Duration,
        name: &str,
        run: ids::InstanceKey,
        acting: bool,
    ) {
        let bound = assignment::grant_expiry(self.longest_grant_ttl);
        let leadership::LeadershipState::Leading(term) = &mut self.state else {
            return;
        };
        let before = term.predecessors.len();
        term.predecessors
            .retain(|state| !state.is_ended_by(name, run, acting));
        if term.predecessors.len() == before {
            return;
        }
        if term.predecessors.is_empty() {
            term.floor = term.floor.min(now + bound);
        }
        self.dirty_since.get_or_insert(now);
        self.notes
            .push(interface::OwnershipDecision::PredecessorEnded {
                name: name.to_owned(),
            });
    }

    /// Returns whether no living instance has the leader's key.
    pub(super) fn is_vacant(&self) -> bool {
        match &self.view.leader {
            // The key of an earlier run lives on until its lease ends.
            Some(leader) => leader.name == self.me.name && leader.run != self.me.run,
            None => self.view.as_of > 0,
        }
    }

    pub(super) fn advance_following(
        &mut self,
        now: Duration,
        actions: &mut Vec<interface::OwnershipAction>,
    ) {
        let needed = self.candidates.usable().next().is_some();
        if !self.is_vacant() || !needed || self.stopping {
            self.claim_at = None;
            return;
        }
        let spread = Duration::from_millis(self.me.run.0 % CLAIM_SPREAD_MS);
        let claim_at = *self.claim_at.get_or_insert(now + spread);
        if now >= claim_at {
            self.claim_at = None;
            self.state = leadership::LeadershipState::Opening { since: now };
            actions.push(interface::OwnershipAction::OpenLease {
                ttl: leadership::LEASE_TTL,
            });
        }
    }

    pub(super) fn renew_lease(
        &mut self,
        now: Duration,
        actions: &mut Vec<interface::OwnershipAction>,
    ) {
        let Some(term) = self.term_mut() else { return };
        if !term.renewal_in_flight && now >= term.renew_at {
            term.renewal_in_flight = true;
            term.renew_at = now + leadership::LEASE_RENEW_INTERVAL;
            let lease = term.lease;
            actions.push(interface::OwnershipAction::RenewLease { lease });
        }
    }

    /// Returns whether the store seems able to take a resignation.
    ///
    /// Without it nobody could take over, and the owners' grants would run out.
    pub(super) fn may_resign(&self, now: Duration) -> bool {
        match &self.state {
            leadership::LeadershipState::Leading(term) => {
                now < term.contact + leadership::LEASE_RENEW_INTERVAL * 2
            }
            _ => false,
        }
    }

    pub(super) fn end_predecessors(
        &mut self,
        now: Duration,
        actions: &mut Vec<interface::OwnershipAction>,
    ) {
        let due = now >= self.challenged_at + super::CLAIM_RETRY;
        let Some(term) = self.term_mut() else { return };
        let (ended, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut term.predecessors)
            .into_iter()
            .partition(|state| now >= state.ends);
        let nodes = waiting.iter().map(|state| state.node.clone());
        let nodes: Vec<_> = nodes.collect();
        term.predecessors = waiting;
        if due && !nodes.is_empty() {
            self.challenged_at = now;
            actions.extend(
                nodes
                    .into_iter()
                    .map(interface::OwnershipAction::ProbePredecessor),
            );
        }
        for state in ended {
            self.dirty_since.get_or_insert(now);
            let name = state.node.name;
            self.notes
                .push(interface::OwnershipDecision::PredecessorEnded { name });
        }
    }
}

/// Gives every settled range a fence number that earlier leaders cannot use.
///
/// Once its owner has acknowledged it, the owner refuses their renewals.
fn raise_fences(record: &mut record::OwnershipRecord) {
    for holding in &mut record.assignments {
        holding.fence = match holding.former_owners.is_empty() {
            true => record.next_fence,
            false => holding.fence,
        };
        record.next_fence += 1;
    }
}
