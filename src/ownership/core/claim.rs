//! Leadership: claims, the lease and earlier leaders.

use super::OwnershipCore;
use crate::ids;
use crate::ownership::{holding, orders, record, term};
use std::time::Duration;

/// Longest random wait before an instance claims a service without a leader.
const CLAIM_SPREAD_MS: u64 = 150;

impl OwnershipCore {
    pub(super) fn on_lease_opened(
        &mut self,
        now: Duration,
        sent: Duration,
        lease: Option<u64>,
        actions: &mut Vec<orders::OwnershipAction>,
    ) {
        if !matches!(self.state, term::TermState::Opening { .. }) {
            return;
        }
        // Another instance may have become the leader meanwhile.
        let Some(lease) = lease.filter(|_| self.is_vacant()) else {
            self.state = term::TermState::Following;
            self.claim_at = Some(now + super::CLAIM_RETRY);
            return;
        };
        let attempt = self.next_attempt();
        let mut record = match &self.view.record {
            Some((record, _)) => record.clone(),
            None => record::OwnershipRecord {
                attempt,
                leader: self.me.clone(),
                resigned: true,
                predecessors: Vec::new(),
                hold_ms: self.hold.as_millis() as u64,
                next_fence: 1,
                owners: Vec::new(),
                holdings: Vec::new(),
            },
        };
        // An earlier run of this instance has ended, since this one runs.
        record.predecessors.retain(|node| node.name != self.me.name);
        if !record.resigned && record.leader.name != self.me.name {
            record.predecessors.push(record.leader.clone());
        }
        record.attempt = attempt;
        record.leader = self.me.clone();
        record.resigned = false;
        raise_fences(&mut record);
        actions.push(orders::OwnershipAction::Commit(Box::new(
            orders::CommitOrder {
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
        self.state = term::TermState::Claiming {
            lease,
            contact: sent,
            record,
        };
    }

    pub(super) fn record_revision(&self) -> u64 {
        let record = self.view.record.as_ref();
        record.map_or(0, |(_, revision)| *revision)
    }

    pub(super) fn next_attempt(&mut self) -> u64 {
        self.attempts += 1;
        self.me.run.0.wrapping_add(self.attempts)
    }

    pub(super) fn on_lease_kept(&mut self, now: Duration, sent: Duration, alive: Option<bool>) {
        let term::TermState::Leading(term) = &mut self.state else {
            return;
        };
        term.keep_in_flight = false;
        match alive {
            Some(true) => term.note_contact(sent, now),
            Some(false) => self.step_down(now, "the lease has ended"),
            None => {}
        }
    }

    pub(super) fn on_claimed(
        &mut self,
        now: Duration,
        result: orders::CommitResult,
        lease: u64,
        contact: Duration,
        record: record::OwnershipRecord,
    ) {
        let revision = match result {
            orders::CommitResult::Committed { revision } => revision,
            orders::CommitResult::Conflict(Some((stored, revision)))
                if stored.attempt == record.attempt =>
            {
                revision
            }
            orders::CommitResult::Conflict(_)
            | orders::CommitResult::LeaseEnded
            | orders::CommitResult::Refused
            | orders::CommitResult::Unknown => {
                self.state = term::TermState::Following;
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
            .map(|node| term::PredecessorState {
                node: node.clone(),
                ends: now + term::predecessor_wait(),
            })
            .collect();
        let first_fence = record.next_fence - record.holdings.len() as u64;
        self.holdings = record
            .holdings
            .iter()
            .map(|holding| holding::LiveHolding::from_record(now, holding))
            .collect();
        self.owners = record.owners.clone();
        self.next_fence = record.next_fence;
        self.set_hold(Duration::from_millis(record.hold_ms));
        self.view.record = Some((record, revision));
        self.view.leader = Some(orders::LeaderView {
            run: self.me.run,
            name: self.me.name.clone(),
            revision,
        });
        self.view.as_of = self.view.as_of.max(revision);
        let bound = holding::hold_bound(self.longest_hold);
        let floor = match (predecessors.is_empty(), clean) {
            (true, true) => now,
            (true, false) => now + bound,
            (false, _) => now + term::predecessor_wait() + bound,
        };
        let names = predecessors.iter().map(|state| state.node.name.clone());
        self.unannounced = true;
        self.notes.push(orders::OwnershipNote::Leading {
            revision,
            predecessors: names.collect(),
        });
        self.state = term::TermState::Leading(Box::new(term::LeaderTerm {
            lease,
            revision,
            contact,
            keep_at: contact + term::KEEP_INTERVAL,
            keep_in_flight: false,
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
        let bound = holding::hold_bound(self.longest_hold);
        let term::TermState::Leading(term) = &mut self.state else {
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
        self.notes.push(orders::OwnershipNote::PredecessorEnded {
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
        actions: &mut Vec<orders::OwnershipAction>,
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
            self.state = term::TermState::Opening { since: now };
            actions.push(orders::OwnershipAction::OpenLease {
                ttl: term::LEASE_TTL,
            });
        }
    }

    pub(super) fn keep_lease(&mut self, now: Duration, actions: &mut Vec<orders::OwnershipAction>) {
        let Some(term) = self.term_mut() else { return };
        if !term.keep_in_flight && now >= term.keep_at {
            term.keep_in_flight = true;
            term.keep_at = now + term::KEEP_INTERVAL;
            let lease = term.lease;
            actions.push(orders::OwnershipAction::KeepLease { lease });
        }
    }

    /// Returns whether the store seems able to take a resignation.
    ///
    /// Without it nobody could take over, and the owners' grants would run out.
    pub(super) fn may_resign(&self, now: Duration) -> bool {
        match &self.state {
            term::TermState::Leading(term) => now < term.contact + term::KEEP_INTERVAL * 2,
            _ => false,
        }
    }

    pub(super) fn end_predecessors(
        &mut self,
        now: Duration,
        actions: &mut Vec<orders::OwnershipAction>,
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
            actions.extend(nodes.into_iter().map(orders::OwnershipAction::Challenge));
        }
        for state in ended {
            self.dirty_since.get_or_insert(now);
            let name = state.node.name;
            self.notes
                .push(orders::OwnershipNote::PredecessorEnded { name });
        }
    }
}

/// Gives every settled range a fence number that earlier leaders cannot use.
///
/// Once its owner has acknowledged it, the owner refuses their renewals.
fn raise_fences(record: &mut record::OwnershipRecord) {
    for holding in &mut record.holdings {
        holding.fence = match holding.formers.is_empty() {
            true => record.next_fence,
            false => holding.fence,
        };
        record.next_fence += 1;
    }
}
