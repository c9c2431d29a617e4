//! Leadership: claims, the lease, resignation and predecessors.

use super::OwnershipCore;
use crate::ids;
use crate::ownership::{assignment, interface, leadership, record};
use crate::store;
use std::time::Duration;

/// Upper bound of the random delay before an instance claims a service without a leader.
const MAX_CLAIM_DELAY_MS: u64 = 150;

/// Share of a core that leading takes for each upstream of the service.
const LEADER_SHARE_PER_UPSTREAM: f64 = 0.001;

/// Time for which an instance with less leaves the claim to others.
const WEAK_CLAIM_DELAY: Duration = Duration::from_millis(600);

/// Time over which such instances' claims are spread for each upstream, so that one has
/// claimed before most others begin.
const CLAIM_SPREAD_PER_UPSTREAM: Duration = Duration::from_millis(12);

/// Time over which the first claims of a service are spread by processor time.
const FIRST_CLAIM_WINDOW: Duration = Duration::from_millis(2000);

/// Time over which those of instances with equal processor time are spread.
const FIRST_CLAIM_SPREAD: Duration = Duration::from_millis(300);

impl OwnershipCore {
    pub(super) fn on_lease_opened(
        &mut self,
        now: Duration,
        sent: Duration,
        lease: Option<u64>,
        actions: &mut Vec<interface::OwnershipAction>,
    ) {
        if let leadership::LeadershipState::Leading(term) = &self.state {
            if matches!(term.reclaim, leadership::ReclaimStep::OpeningLease(_)) {
                self.on_reclaim_lease_opened(now, sent, lease, actions);
            }
            return;
        }
        if !matches!(self.state, leadership::LeadershipState::OpeningLease { .. }) {
            return;
        }
        // Another instance may have become the leader meanwhile.
        let Some(lease) = lease.filter(|_| self.is_vacant()) else {
            self.state = leadership::LeadershipState::Following;
            self.claim_at = Some(now + super::CLAIM_BACKOFF);
            return;
        };
        let write_id = self.next_write_id();
        let mut record = match &self.view.record {
            Some((record, _)) => record.clone(),
            None => record::OwnershipRecord {
                write_id,
                leader: self.me.clone(),
                era: self.view.as_of.era,
                lacks_moves: false,
                resigned: true,
                predecessors: Vec::new(),
                grant_ttl_ms: self.grant_ttl.as_millis() as u64,
                next_fence: 1,
                owners: Vec::new(),
                assignments: Vec::new(),
            },
        };
        // Earlier runs of this instance have ended, since this run has begun.
        record
            .predecessors
            .retain(|instance| instance.name != self.me.name);
        if !record.resigned && record.leader.name != self.me.name {
            record.predecessors.push(record.leader.clone());
        }
        record.write_id = write_id;
        record.leader = self.me.clone();
        record.era = self.view.as_of.era;
        record.lacks_moves = self.may_lack_moves();
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
                claim_lease: Some(lease),
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

    /// Returns the next write's ID, derived from this run's key and the number of its writes.
    pub(super) fn next_write_id(&mut self) -> u64 {
        self.write_count += 1;
        self.me.run.0.wrapping_add(self.write_count)
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

    /// Ends a claim that failed, or the leadership of an earlier era that it was to continue.
    fn abandon_claim(&mut self, now: Duration) {
        if self.is_leading() {
            self.step_down(now, "another instance leads since the store was restored");
            return;
        }
        self.state = leadership::LeadershipState::Following;
        self.claim_at = Some(now + super::CLAIM_BACKOFF);
    }

    pub(super) fn on_claim_finished(
        &mut self,
        now: Duration,
        result: interface::CommitResult,
        lease: u64,
        contact: Duration,
        record: record::OwnershipRecord,
    ) {
        let revision = match result {
            _ if record.era != self.view.as_of.era => {
                self.abandon_claim(now);
                return;
            }
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
                self.abandon_claim(now);
                return;
            }
        };
        let was_leading = self.is_leading();
        let may_lack_moves = self.may_lack_moves();
        let resigned = match &self.view.record {
            Some((previous, _)) => previous.resigned,
            None => true,
        };
        let instances = record.predecessors.iter();
        let predecessors: Vec<_> = instances
            .map(|instance| leadership::PredecessorState {
                instance: instance.clone(),
                authority_ends_at: now + leadership::predecessor_wait(),
            })
            .collect();
        // The claim raised `next_fence` by one for each assignment.
        let first_fence = record.next_fence - record.assignments.len() as u64;
        self.assignments = record
            .assignments
            .iter()
            .map(|assignment| assignment::AssignmentState::from_record(now, assignment))
            .collect();
        self.owners = record.owners.clone();
        self.next_fence = record.next_fence;
        self.set_grant_ttl(Duration::from_millis(record.grant_ttl_ms));
        let era = record.era;
        self.view.record = Some((record, revision));
        self.view.leader = Some(interface::LeaderView {
            run: self.me.run,
            name: self.me.name.clone(),
            era,
            revision,
        });
        self.view.as_of.revision = self.view.as_of.revision.max(revision);
        let max_grant_age = assignment::max_grant_age(self.longest_grant_ttl);
        let predecessors_expire_at = match (predecessors.is_empty(), resigned) {
            (true, true) => now,
            (true, false) => now + max_grant_age,
            (false, _) => now + leadership::predecessor_wait() + max_grant_age,
        };
        let lost_leaders_expire_at = match may_lack_moves {
            true => self.lost_leaders_expire_at(),
            false => Duration::ZERO,
        };
        // The former leader's own assignments lack no move.
        let hold_until = match was_leading {
            true => Duration::ZERO,
            false => lost_leaders_expire_at,
        };
        let names = predecessors.iter().map(|state| state.instance.name.clone());
        self.unannounced = true;
        let vacant_since = self.vacant_since.take();
        self.decisions.push(interface::OwnershipDecision::Leading {
            revision,
            era,
            predecessors: names.collect(),
            vacant_ms: vacant_since.map_or(0, |since| now.saturating_sub(since).as_millis() as u64),
            hold_ms: hold_until.saturating_sub(now).as_millis() as u64,
        });
        if hold_until > now {
            // The next write tells that the wait is over.
            self.dirty_since = Some(now);
        }
        self.state = leadership::LeadershipState::Leading(Box::new(leadership::LeaderTerm {
            lease,
            position: store::StorePosition { era, revision },
            contact,
            renew_at: contact + leadership::LEASE_RENEW_INTERVAL,
            renewal_in_flight: false,
            commit: None,
            reclaim: leadership::ReclaimStep::Waiting(now),
            predecessors,
            predecessors_expire_at: predecessors_expire_at.max(lost_leaders_expire_at),
            lost_leaders_expire_at,
            hold_until,
            first_fence,
            begun: now,
            stepped_at: now,
            suspended: false,
        }));
    }

    pub(super) fn on_instance_seen(
        &mut self,
        now: Duration,
        name: &str,
        run: ids::InstanceKey,
        leading: bool,
    ) {
        let max_grant_age = assignment::max_grant_age(self.longest_grant_ttl);
        let leadership::LeadershipState::Leading(term) = &mut self.state else {
            return;
        };
        let count_before = term.predecessors.len();
        term.predecessors
            .retain(|state| !state.is_ended_by(name, run, leading));
        if term.predecessors.len() == count_before {
            return;
        }
        if term.predecessors.is_empty() {
            let expire_at = term.predecessors_expire_at.min(now + max_grant_age);
            term.predecessors_expire_at = expire_at.max(term.lost_leaders_expire_at);
        }
        self.dirty_since.get_or_insert(now);
        self.decisions
            .push(interface::OwnershipDecision::PredecessorEnded {
                name: name.to_owned(),
            });
    }

    /// Returns whether no running instance has the leader's key.
    pub(super) fn is_vacant(&self) -> bool {
        match &self.view.leader {
            Some(leader) if leader.era < self.view.as_of.era => true,
            // The key of an earlier run of this instance remains until its lease expires.
            Some(leader) => leader.name == self.me.name && leader.run != self.me.run,
            None => self.view.as_of.revision > 0,
        }
    }

    pub(super) fn advance_following(
        &mut self,
        now: Duration,
        actions: &mut Vec<interface::OwnershipAction>,
    ) {
        let has_upstreams = self.candidates.usable().next().is_some();
        if !self.is_vacant() || !has_upstreams || self.leaves_leadership() {
            self.claim_at = None;
            self.vacant_since = None;
            return;
        }
        let delay = self.claim_delay();
        self.vacant_since.get_or_insert(now);
        let grace = match self.may_lack_moves() {
            true => self.era_known_at + leadership::INCUMBENT_GRACE,
            false => Duration::ZERO,
        };
        let claim_at = *self.claim_at.get_or_insert(now + delay);
        if now >= claim_at.max(grace) {
            self.claim_at = None;
            self.state = leadership::LeadershipState::OpeningLease { since: now };
            actions.push(interface::OwnershipAction::OpenLease {
                ttl: leadership::LEASE_TTL,
            });
        }
    }

    /// Returns the time for which this instance leaves the claim of a service without a
    /// leader to others.
    ///
    /// All instances see the loss of a leader at the same time. Those that have the
    /// processor time to lead come first; where hundreds have not, a few claim at a time.
    pub(super) fn claim_delay(&self) -> Duration {
        let run = self.me.run.0;
        if self.view.record.is_none() {
            return self.first_claim_delay();
        }
        let upstreams = self.candidates.usable().count() as u32;
        let needed = LEADER_SHARE_PER_UPSTREAM * f64::from(upstreams);
        if self.settings.processor_share >= needed {
            return Duration::from_millis(run % MAX_CLAIM_DELAY_MS);
        }
        let spread = CLAIM_SPREAD_PER_UPSTREAM * upstreams;
        WEAK_CLAIM_DELAY + spread.mul_f64((run % 1000) as f64 / 1000.0)
    }

    /// Returns the delay of the claim of a service that never had an owner.
    ///
    /// The pattern: all instances start at the same time, before the upstreams have
    /// registered, so that nobody knows what leading takes. Nothing is served yet: the
    /// instances with the most processor time come first, and one has claimed before most
    /// others begin.
    fn first_claim_delay(&self) -> Duration {
        let weakness = 1.0 - self.settings.processor_share.clamp(0.0, 1.0);
        let turn = (self.me.run.0 % 1000) as f64 / 1000.0;
        FIRST_CLAIM_WINDOW.mul_f64(weakness) + FIRST_CLAIM_SPREAD.mul_f64(turn)
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

    /// Returns whether the store has answered recently, so that it can store a resignation.
    ///
    /// Without the store no other instance could become the leader, and the owners'
    /// grants would expire.
    pub(super) fn may_resign(&self, now: Duration) -> bool {
        match &self.state {
            leadership::LeadershipState::Leading(term) => {
                now < term.contact + leadership::LEASE_RENEW_INTERVAL * 2
            }
            _ => false,
        }
    }

    /// Removes predecessors whose authority has expired and probes the others.
    pub(super) fn end_predecessors(
        &mut self,
        now: Duration,
        actions: &mut Vec<interface::OwnershipAction>,
    ) {
        let due = now >= self.probed_at + super::CLAIM_BACKOFF;
        let Some(term) = self.term_mut() else { return };
        let (ended, remaining): (Vec<_>, Vec<_>) = std::mem::take(&mut term.predecessors)
            .into_iter()
            .partition(|state| now >= state.authority_ends_at);
        let instances = remaining.iter().map(|state| state.instance.clone());
        let instances: Vec<_> = instances.collect();
        term.predecessors = remaining;
        if due && !instances.is_empty() {
            self.probed_at = now;
            actions.extend(
                instances
                    .into_iter()
                    .map(interface::OwnershipAction::ProbePredecessor),
            );
        }
        for state in ended {
            self.dirty_since.get_or_insert(now);
            let name = state.instance.name;
            self.decisions
                .push(interface::OwnershipDecision::PredecessorEnded { name });
        }
    }
}

/// Gives ranges a fencing token that predecessors cannot use.
///
/// Once the owner has acknowledged it, the owner refuses the predecessors' renewals.
/// A range with former owners keeps its token, unless that is of an earlier era: other
/// upstreams may have had the range under higher ones that the store lost.
pub(super) fn raise_fences(record: &mut record::OwnershipRecord) {
    let first_fence = leadership::first_fence_of(record.era);
    record.next_fence = record.next_fence.max(first_fence);
    for assignment in &mut record.assignments {
        if assignment.former_owners.is_empty() || assignment.fence < first_fence {
            assignment.fence = record.next_fence;
        }
        record.next_fence += 1;
    }
}
