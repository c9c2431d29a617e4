//! Decisions of one instance about one service's ownership.

mod calls;
mod election;
mod plan;

use crate::ids;
use crate::ownership::{assignment, candidates, interface, leadership, load, record};
use std::collections::BTreeMap;
use std::time::Duration;

/// Interval of renewals if the owners are few.
const MIN_RENEW_INTERVAL: Duration = Duration::from_millis(1000);

/// Renewals a second that one leader sends at the most.
const RENEWALS_PER_S: u32 = 80;

/// Life of a grant in renewal intervals; two renewals may fail in a row.
const GRANT_TTL_INTERVALS: u32 = 3;

/// Least time between two announcements; the first of a burst goes at once.
///
/// The grants of a division are acknowledged one by one within such times.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(40);

/// Pause before another claim after one that brought nothing.
const CLAIM_RETRY: Duration = Duration::from_millis(500);

/// Pause before a write without an answer is sent again.
const COMMIT_RETRY: Duration = Duration::from_millis(200);

/// Ownership of one service, as one instance takes part in it.
#[derive(Debug)]
pub struct OwnershipCore {
    me: record::InstanceInfo,
    settings: interface::OwnershipSettings,
    view: interface::StoreView,
    state: leadership::LeadershipState,
    candidates: candidates::CandidateTable,
    candidates_at: Duration,
    owners: Vec<record::OwnerInfo>,
    next_fence: u64,
    assignments: Vec<assignment::AssignmentState>,
    /// Life of the grants that are sent, as the stored record says.
    grant_ttl: Duration,
    /// Longest life of a grant that may still be held.
    longest_grant_ttl: Duration,
    /// Upstreams that could not be reached, and until when they get no keys.
    suspects: BTreeMap<ids::UpstreamKey, Duration>,
    /// Since when the stored record lags behind what happened.
    dirty_since: Option<Duration>,
    load: load::LoadMap,
    latency: load::LatencyTable,
    leveled_at: Duration,
    planned_at: Duration,
    challenged_at: Duration,
    claim_at: Option<Duration>,
    attempts: u64,
    stopping: bool,
    notes: Vec<interface::OwnershipDecision>,
    /// Whether something was not announced yet.
    unannounced: bool,
    announced_at: Duration,
    announcements: u64,
}

impl OwnershipCore {
    /// Creates the core of an instance that has just started.
    pub fn new(me: record::InstanceInfo, settings: interface::OwnershipSettings) -> OwnershipCore {
        OwnershipCore {
            me,
            settings,
            view: interface::StoreView::default(),
            state: leadership::LeadershipState::Following,
            candidates: candidates::CandidateTable::default(),
            candidates_at: Duration::ZERO,
            owners: Vec::new(),
            next_fence: 1,
            assignments: Vec::new(),
            grant_ttl: MIN_RENEW_INTERVAL * GRANT_TTL_INTERVALS,
            longest_grant_ttl: Duration::ZERO,
            suspects: BTreeMap::new(),
            dirty_since: None,
            load: load::LoadMap::new(settings.last_key),
            latency: load::LatencyTable::default(),
            leveled_at: Duration::ZERO,
            planned_at: Duration::ZERO,
            challenged_at: Duration::ZERO,
            claim_at: None,
            attempts: 0,
            stopping: false,
            notes: Vec::new(),
            unannounced: false,
            announced_at: Duration::ZERO,
            announcements: 0,
        }
    }

    /// Returns whether this instance acts as the leader.
    pub fn is_leading(&self) -> bool {
        matches!(self.state, leadership::LeadershipState::Leading(_))
    }

    /// Returns whether a stopping instance has nothing left to hand over.
    pub fn is_following(&self) -> bool {
        matches!(self.state, leadership::LeadershipState::Following)
    }

    /// Returns the revision at which this instance became the leader.
    pub fn leader_revision(&self) -> Option<u64> {
        match &self.state {
            leadership::LeadershipState::Leading(term) => Some(term.revision),
            _ => None,
        }
    }

    /// Returns until when this instance may send grants.
    pub fn authority_until(&self) -> Option<Duration> {
        match &self.state {
            leadership::LeadershipState::Leading(term) => Some(term.authority_until()),
            _ => None,
        }
    }

    /// Returns how far the grants of a led service have come.
    pub fn progress(&self, now: Duration) -> Option<interface::GrantProgress> {
        if !self.is_leading() {
            return None;
        }
        let unowned = self.assignments.iter().filter(|live| !live.granted);
        let confirmed = self.assignments.iter().filter_map(|live| live.confirmed);
        let ages = confirmed.map(|at| now.saturating_sub(at));
        Some(interface::GrantProgress {
            ranges: self.assignments.len(),
            unowned: unowned.count(),
            oldest_ack_age: ages.max().unwrap_or_default(),
        })
    }

    fn renew_interval(&self) -> Duration {
        self.grant_ttl / GRANT_TTL_INTERVALS
    }

    /// Returns the life of grants for a number of ranges; it grows with the renewals needed.
    fn grant_ttl_for(&self, ranges: usize) -> Duration {
        let renew = Duration::from_secs(1) * ranges as u32 / RENEWALS_PER_S;
        (renew.max(MIN_RENEW_INTERVAL) * GRANT_TTL_INTERVALS).min(self.settings.max_grant_ttl)
    }

    fn set_grant_ttl(&mut self, ttl: Duration) {
        self.grant_ttl = ttl;
        self.longest_grant_ttl = self.longest_grant_ttl.max(ttl);
    }

    /// Decides the reaction to one event.
    pub fn step(
        &mut self,
        now: Duration,
        event: interface::OwnershipEvent,
    ) -> Vec<interface::OwnershipAction> {
        let mut actions = Vec::new();
        if let Some(term) = self.term_mut() {
            term.note_step(now);
        }
        match event {
            interface::OwnershipEvent::StoreUpdated(view) => self.on_seen(now, view),
            interface::OwnershipEvent::CandidatesUpdated(candidates) => {
                self.latency.retain(|key| candidates.get(key).is_some());
                if !candidates.has_same_keys(&self.candidates) {
                    self.candidates_at = now;
                }
                self.candidates = candidates;
                self.planned_at = Duration::ZERO;
            }
            interface::OwnershipEvent::LoadReported(report) => {
                self.load.add(&report.counts);
                self.latency.add(&report.latencies);
            }
            interface::OwnershipEvent::LeaseOpened { sent, lease } => {
                self.on_lease_opened(now, sent, lease, &mut actions);
            }
            interface::OwnershipEvent::LeaseRenewed { sent, alive } => {
                self.on_lease_renewed(now, sent, alive)
            }
            interface::OwnershipEvent::CommitFinished(result) => self.on_committed(now, result),
            interface::OwnershipEvent::GrantFinished {
                range,
                owner,
                fence,
                sent,
                result,
            } => self.on_granted(now, range, owner, fence, sent, result),
            interface::OwnershipEvent::ReleaseFinished {
                range,
                former,
                result,
            } => self.on_released(now, range, former, result),
            interface::OwnershipEvent::InstanceSeen { name, run, leading } => {
                self.on_sign(now, &name, run, leading)
            }
            interface::OwnershipEvent::Superseded { revision } => {
                if self.leader_revision().is_some_and(|mine| mine < revision) {
                    self.step_down(now, "another instance leads");
                }
            }
            interface::OwnershipEvent::Stop => self.stopping = true,
            interface::OwnershipEvent::Tick => {}
        }
        self.advance(now, &mut actions);
        self.announce(now, &mut actions);
        actions.extend(self.notes.drain(..).map(interface::OwnershipAction::Report));
        actions
    }

    /// Tells the others what has changed, once for all changes of a moment.
    fn announce(&mut self, now: Duration, actions: &mut Vec<interface::OwnershipAction>) {
        let due = now >= self.announced_at + ANNOUNCE_INTERVAL;
        if !self.unannounced || !due || !self.is_leading() {
            return;
        }
        let Some((record, revision)) = &self.view.record else {
            return;
        };
        self.unannounced = false;
        self.announced_at = now;
        self.announcements += 1;
        let assignments = self.assignments.iter();
        let record = record::OwnershipRecord {
            next_fence: self.next_fence,
            assignments: assignments
                .map(assignment::AssignmentState::to_record)
                .collect(),
            ..record.clone()
        };
        let version = record::RecordVersion {
            revision: *revision,
            sequence: self.announcements,
        };
        let announcement = Box::new(interface::Announcement { record, version });
        actions.push(interface::OwnershipAction::Announce(announcement));
    }

    fn on_seen(&mut self, now: Duration, view: interface::StoreView) {
        if view.as_of < self.view.as_of {
            return;
        }
        let newer = |known: &(record::OwnershipRecord, u64)| {
            view.record.as_ref().is_none_or(|seen| seen.1 < known.1)
        };
        let record = self.view.record.take().filter(newer);
        self.view = view;
        // Changes may be known up to a revision whose record is still under way.
        if record.is_some() {
            self.view.record = record;
        }
        let leadership::LeadershipState::Leading(term) = &self.state else {
            return;
        };
        let lost = match &self.view.leader {
            Some(leader) => leader.run != self.me.run && leader.revision > term.revision,
            None => self.view.as_of > term.revision,
        };
        if lost {
            self.step_down(now, "the leader's key is gone");
        }
    }

    fn step_down(&mut self, now: Duration, reason: &'static str) {
        if self.is_leading() {
            self.notes
                .push(interface::OwnershipDecision::StoppedLeading { reason });
        }
        self.state = leadership::LeadershipState::Following;
        self.claim_at = Some(now + CLAIM_RETRY);
        self.assignments.clear();
        self.dirty_since = None;
    }

    fn on_committed(&mut self, now: Duration, result: interface::CommitResult) {
        match self.state.clone() {
            leadership::LeadershipState::Claiming {
                lease,
                contact,
                record,
            } => self.on_claimed(now, result, lease, contact, record),
            leadership::LeadershipState::Leading(term) => self.on_written(now, *term, result),
            leadership::LeadershipState::Following
            | leadership::LeadershipState::Opening { .. } => {}
        }
    }

    fn on_written(
        &mut self,
        now: Duration,
        mut term: leadership::LeaderTerm,
        result: interface::CommitResult,
    ) {
        let Some(mut pending) = term.commit.take() else {
            return;
        };
        let revision = match result {
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
                pending.retry_at = now + COMMIT_RETRY;
                term.commit = Some(pending);
                self.state = leadership::LeadershipState::Leading(Box::new(term));
                return;
            }
        };
        if pending.resigns {
            self.step_down(now, "the instance stops");
            return;
        }
        self.adopt(now, pending, revision);
        self.state = leadership::LeadershipState::Leading(Box::new(term));
    }

    /// Takes a plan over whose write has taken effect.
    fn adopt(&mut self, now: Duration, pending: leadership::PendingCommit, revision: u64) {
        let mut assignments = pending.assignments;
        for planned in &mut assignments {
            let same = |live: &&assignment::AssignmentState| {
                live.range == planned.range && live.owner == planned.owner
            };
            let recorded_fence = planned.fence;
            if let Some(live) = self.assignments.iter().find(same) {
                *planned = live.clone();
            }
            planned.changing = false;
            if planned.fence == recorded_fence && planned.grant_at == Duration::MAX {
                planned.grant_at = now;
            }
        }
        self.assignments = assignments;
        self.set_grant_ttl(Duration::from_millis(pending.record.grant_ttl_ms));
        self.view.as_of = self.view.as_of.max(revision);
        self.view.record = Some((pending.record, revision));
        self.unannounced = true;
    }

    fn advance(&mut self, now: Duration, actions: &mut Vec<interface::OwnershipAction>) {
        match &self.state {
            leadership::LeadershipState::Following => self.advance_following(now, actions),
            leadership::LeadershipState::Opening { since }
                if now >= *since + leadership::LEASE_TTL =>
            {
                self.state = leadership::LeadershipState::Following;
            }
            leadership::LeadershipState::Claiming { contact, .. }
                if now >= *contact + leadership::LEASE_TTL =>
            {
                self.state = leadership::LeadershipState::Following;
                self.claim_at = Some(now + CLAIM_RETRY);
            }
            leadership::LeadershipState::Opening { .. }
            | leadership::LeadershipState::Claiming { .. } => {}
            leadership::LeadershipState::Leading(term) if !term.has_authority(now) => {
                self.step_down(now, "the authority without the store is over");
            }
            leadership::LeadershipState::Leading(_) => self.advance_leading(now, actions),
        }
    }

    fn advance_leading(&mut self, now: Duration, actions: &mut Vec<interface::OwnershipAction>) {
        self.renew_lease(now, actions);
        self.end_predecessors(now, actions);
        self.clear_formers(now);
        let resigns = self.stopping && self.may_resign(now);
        if !self.is_resigning() && !resigns {
            self.push_grants(now, actions);
            self.push_releases(now, actions);
        }
        self.commit(now, actions);
    }

    fn term_mut(&mut self) -> Option<&mut leadership::LeaderTerm> {
        match &mut self.state {
            leadership::LeadershipState::Leading(term) => Some(term),
            _ => None,
        }
    }

    fn is_resigning(&self) -> bool {
        match &self.state {
            leadership::LeadershipState::Leading(term) => {
                term.commit.as_ref().is_some_and(|c| c.resigns)
            }
            _ => false,
        }
    }

    /// Returns since when no earlier leader's grant can be held, if all have ended.
    fn sole_floor(&self) -> Option<Duration> {
        match &self.state {
            leadership::LeadershipState::Leading(term) if term.predecessors.is_empty() => {
                Some(term.floor)
            }
            _ => None,
        }
    }

    fn first_fence(&self) -> u64 {
        match &self.state {
            leadership::LeadershipState::Leading(term) => term.first_fence,
            _ => u64::MAX,
        }
    }
}
