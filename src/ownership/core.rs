//! State machine of one instance for the ownership of one service.

mod calls;
mod election;
mod plan;
mod reclaim;
mod writes;

use crate::ids;
use crate::limits;
use crate::ownership::{assignment, candidates, interface, leadership, load, record};
use crate::store;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Shortest interval at which a grant is renewed, used while the ranges are few.
const MIN_RENEW_INTERVAL: Duration = Duration::from_millis(1000);

/// Most renewals per second that a leader sends for one service.
const MAX_RENEWALS_PER_S: u32 = 80;

/// TTL of a grant in renewal intervals; two renewals in a row may fail.
const GRANT_TTL_INTERVALS: u32 = 3;

/// Shortest time between two announcements; the first of a burst is sent at once.
///
/// Combines the acknowledgements of an initial assignment, which arrive one by one
/// within about this time.
const MIN_ANNOUNCE_INTERVAL: Duration = Duration::from_millis(40);

/// Time between two announcements for each range: the more there are, the more of them
/// change, and the more instances have to be told.
const ANNOUNCE_TIME_PER_RANGE: Duration = Duration::from_micros(500);

/// Backoff after a failed claim or a lost leadership, and interval of probes.
const CLAIM_BACKOFF: Duration = Duration::from_millis(500);

/// Backoff after a write that failed or got no response.
const COMMIT_BACKOFF: Duration = Duration::from_millis(200);

/// What one instance knows and does about the ownership of one service.
#[derive(Debug)]
pub struct OwnershipCore {
    /// This run of this instance.
    me: record::InstanceInfo,
    settings: interface::OwnershipSettings,
    view: interface::StoreView,
    /// When the store's present era became known.
    era_known_at: Duration,
    /// Era of the store when this run first knew it; 0 until then.
    first_era: store::Era,
    state: leadership::LeadershipState,
    candidates: candidates::CandidateTable,
    /// When the set of upstreams last changed.
    candidates_changed_at: Duration,
    /// All upstreams that the assignments name.
    owners: Vec<record::OwnerInfo>,
    next_fence: u64,
    assignments: Vec<assignment::AssignmentState>,
    /// TTL of the grants that are sent, as in the stored record.
    grant_ttl: Duration,
    /// Longest TTL of any grant that may still be valid.
    longest_grant_ttl: Duration,
    /// Runs at whose addresses another upstream answered, so that they have ended.
    ended: BTreeSet<ids::UpstreamKey>,
    /// Upstreams that could not be reached, and until when no ranges move to them.
    suspects: BTreeMap<ids::UpstreamKey, Duration>,
    /// Since when there are changes that the stored record lacks.
    dirty_since: Option<Duration>,
    load: load::LoadMap,
    latency: load::LatencyTable,
    limits: BTreeMap<ids::UpstreamKey, limits::RequestRate>,
    rebalanced_at: Duration,
    planned_at: Duration,
    probed_at: Duration,
    claim_at: Option<Duration>,
    /// When the service was first seen without a leader.
    vacant_since: Option<Duration>,
    /// Writes of this run so far.
    write_count: u64,
    stopping: bool,
    /// Whether this instance reaches no upstream, as far as it knows.
    stranded: bool,
    /// Decisions of the current step, to be reported.
    decisions: Vec<interface::OwnershipDecision>,
    /// Whether there are changes that were not announced yet.
    unannounced: bool,
    announced_at: Duration,
    announcement_count: u64,
}

impl OwnershipCore {
    /// Creates the core of an instance that has just started.
    pub fn new(me: record::InstanceInfo, settings: interface::OwnershipSettings) -> OwnershipCore {
        OwnershipCore {
            me,
            settings,
            view: interface::StoreView::default(),
            era_known_at: Duration::ZERO,
            first_era: 0,
            state: leadership::LeadershipState::Following,
            candidates: candidates::CandidateTable::default(),
            candidates_changed_at: Duration::ZERO,
            owners: Vec::new(),
            next_fence: 1,
            assignments: Vec::new(),
            grant_ttl: MIN_RENEW_INTERVAL * GRANT_TTL_INTERVALS,
            longest_grant_ttl: Duration::ZERO,
            ended: BTreeSet::new(),
            suspects: BTreeMap::new(),
            dirty_since: None,
            load: load::LoadMap::new(settings.last_key),
            latency: load::LatencyTable::default(),
            limits: BTreeMap::new(),
            rebalanced_at: Duration::ZERO,
            planned_at: Duration::ZERO,
            probed_at: Duration::ZERO,
            claim_at: None,
            vacant_since: None,
            write_count: 0,
            stopping: false,
            stranded: false,
            decisions: Vec::new(),
            unannounced: false,
            announced_at: Duration::ZERO,
            announcement_count: 0,
        }
    }

    /// Returns whether this instance leads the service.
    pub fn is_leading(&self) -> bool {
        matches!(self.state, leadership::LeadershipState::Leading(_))
    }

    /// Returns whether this instance neither leads nor is about to.
    ///
    /// A stopping instance has then nothing left to do for the service.
    pub fn is_following(&self) -> bool {
        matches!(self.state, leadership::LeadershipState::Following)
    }

    /// Returns the position of the write that made this instance the leader.
    pub fn leader_position(&self) -> Option<store::StorePosition> {
        match &self.state {
            leadership::LeadershipState::Leading(term) => Some(term.position),
            _ => None,
        }
    }

    /// Returns when this leader's authority to send grants expires.
    pub fn authority_until(&self) -> Option<Duration> {
        match &self.state {
            leadership::LeadershipState::Leading(term) => Some(term.authority_until()),
            _ => None,
        }
    }

    /// Returns the progress of the grants, if this instance leads the service.
    pub fn progress(&self, now: Duration) -> Option<interface::GrantProgress> {
        if !self.is_leading() {
            return None;
        }
        let unowned = self
            .assignments
            .iter()
            .filter(|assignment| !assignment.granted);
        let acknowledged = self
            .assignments
            .iter()
            .filter_map(|assignment| assignment.acknowledged);
        let ages = acknowledged.map(|at| now.saturating_sub(at));
        Some(interface::GrantProgress {
            ranges: self.assignments.len(),
            unowned: unowned.count(),
            oldest_ack_age: ages.max().unwrap_or_default(),
        })
    }

    fn renew_interval(&self) -> Duration {
        self.grant_ttl / GRANT_TTL_INTERVALS
    }

    /// Returns the grant TTL for a number of ranges.
    ///
    /// It grows with the ranges, which bounds the rate of renewals.
    fn grant_ttl_for(&self, ranges: usize) -> Duration {
        let interval = Duration::from_secs(1) * ranges as u32 / MAX_RENEWALS_PER_S;
        (interval.max(MIN_RENEW_INTERVAL) * GRANT_TTL_INTERVALS).min(self.settings.max_grant_ttl)
    }

    fn set_grant_ttl(&mut self, ttl: Duration) {
        self.grant_ttl = ttl;
        self.longest_grant_ttl = self.longest_grant_ttl.max(ttl);
    }

    /// Handles one event and returns the resulting actions.
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
            interface::OwnershipEvent::StoreUpdated(view) => self.on_store_updated(now, view),
            interface::OwnershipEvent::CandidatesUpdated(candidates) => {
                self.latency.retain(|key| candidates.get(key).is_some());
                if !candidates.has_same_keys(&self.candidates) {
                    self.candidates_changed_at = now;
                }
                let former = std::mem::replace(&mut self.candidates, candidates);
                self.planned_at = Duration::ZERO;
                self.ask_contested_owners(now, &former);
            }
            interface::OwnershipEvent::LoadReported(report) => {
                self.load.add(now, &report.counts);
                self.latency.add(now, &report.latencies);
            }
            interface::OwnershipEvent::LimitsUpdated(limits) => self.limits = limits,
            interface::OwnershipEvent::LeaseOpened { sent, lease } => {
                self.on_lease_opened(now, sent, lease, &mut actions);
            }
            interface::OwnershipEvent::LeaseRenewed { sent, alive } => {
                self.on_lease_renewed(now, sent, alive)
            }
            interface::OwnershipEvent::CommitFinished(result) => {
                self.on_commit_finished(now, result)
            }
            interface::OwnershipEvent::GrantFinished {
                range,
                owner,
                fence,
                sent,
                result,
            } => self.on_grant_finished(now, range, owner, fence, sent, result),
            interface::OwnershipEvent::ReleaseFinished {
                range,
                former,
                result,
            } => self.on_release_finished(now, range, former, result),
            interface::OwnershipEvent::InstanceSeen { name, run, leading } => {
                self.on_instance_seen(now, &name, run, leading)
            }
            interface::OwnershipEvent::Superseded { position } => {
                if self.leader_position().is_some_and(|mine| mine < position) {
                    self.step_down(now, "another instance became the leader");
                }
            }
            interface::OwnershipEvent::Stop => self.stopping = true,
            interface::OwnershipEvent::LinksChanged { stranded } => self.stranded = stranded,
            interface::OwnershipEvent::Tick => {}
        }
        self.advance(now, &mut actions);
        self.announce(now, &mut actions);
        actions.extend(
            self.decisions
                .drain(..)
                .map(interface::OwnershipAction::Report),
        );
        actions
    }

    /// Announces all changes since the last announcement, if it is due.
    fn announce(&mut self, now: Duration, actions: &mut Vec<interface::OwnershipAction>) {
        let interval = ANNOUNCE_TIME_PER_RANGE * self.assignments.len() as u32;
        let due = now >= self.announced_at + interval.max(MIN_ANNOUNCE_INTERVAL);
        if !self.unannounced || !due || !self.leads_in_present_era() {
            return;
        }
        let Some((record, revision)) = &self.view.record else {
            return;
        };
        self.unannounced = false;
        self.announced_at = now;
        self.announcement_count += 1;
        let assignments = self.assignments.iter();
        let record = record::OwnershipRecord {
            next_fence: self.next_fence,
            assignments: assignments
                .map(assignment::AssignmentState::to_record)
                .collect(),
            ..record.clone()
        };
        let version = store::AnnouncedVersion {
            position: store::StorePosition {
                era: self.view.as_of.era,
                revision: *revision,
            },
            sequence: self.announcement_count,
        };
        let announcement = Box::new(interface::Announcement { record, version });
        actions.push(interface::OwnershipAction::Announce(announcement));
    }

    fn on_store_updated(&mut self, now: Duration, view: interface::StoreView) {
        if view.as_of < self.view.as_of {
            return;
        }
        let new_era = view.as_of.era > self.view.as_of.era;
        if new_era {
            self.era_known_at = now;
            if self.first_era == 0 {
                self.first_era = view.as_of.era;
            }
        }
        let newer = |known: &(record::OwnershipRecord, u64)| {
            !new_era && view.record.as_ref().is_none_or(|seen| seen.1 < known.1)
        };
        let record = self.view.record.take().filter(newer);
        self.view = view;
        // The view may lack the latest record although `as_of` covers its revision.
        if record.is_some() {
            self.view.record = record;
        }
        let leadership::LeadershipState::Leading(term) = &self.state else {
            return;
        };
        if term.position.era < self.view.as_of.era {
            return;
        }
        let lost = match &self.view.leader {
            Some(leader) => {
                let position = store::StorePosition {
                    era: leader.era,
                    revision: leader.revision,
                };
                leader.run != self.me.run && position > term.position
            }
            None => self.view.as_of > term.position,
        };
        if lost {
            self.step_down(now, "the leader's key in the store was deleted or replaced");
        }
    }

    fn step_down(&mut self, now: Duration, reason: &'static str) {
        if let leadership::LeadershipState::Leading(term) = &self.state {
            let since = |at: Duration| now.saturating_sub(at).as_millis() as u64;
            self.decisions
                .push(interface::OwnershipDecision::StoppedLeading {
                    reason,
                    lease_age_ms: since(term.contact),
                    led_ms: since(term.begun),
                });
        }
        self.state = leadership::LeadershipState::Following;
        self.claim_at = Some(now + CLAIM_BACKOFF);
        self.assignments.clear();
        self.dirty_since = None;
        // Nothing is reported to an instance that does not lead.
        self.load = load::LoadMap::new(self.settings.last_key);
    }

    fn advance(&mut self, now: Duration, actions: &mut Vec<interface::OwnershipAction>) {
        match &self.state {
            leadership::LeadershipState::Following => self.advance_following(now, actions),
            leadership::LeadershipState::OpeningLease { since }
                if now >= *since + leadership::LEASE_TTL =>
            {
                self.state = leadership::LeadershipState::Following;
            }
            leadership::LeadershipState::Claiming { contact, .. }
                if now >= *contact + leadership::LEASE_TTL =>
            {
                self.state = leadership::LeadershipState::Following;
                self.claim_at = Some(now + CLAIM_BACKOFF);
            }
            leadership::LeadershipState::OpeningLease { .. }
            | leadership::LeadershipState::Claiming { .. } => {}
            leadership::LeadershipState::Leading(term) if !term.has_authority(now) => {
                self.step_down(now, "the authority to act without the store has expired");
            }
            leadership::LeadershipState::Leading(_) => self.advance_leading(now, actions),
        }
    }

    fn advance_leading(&mut self, now: Duration, actions: &mut Vec<interface::OwnershipAction>) {
        if !self.leads_in_present_era() {
            self.advance_reclaim(now, actions);
            return;
        }
        self.renew_lease(now, actions);
        self.end_predecessors(now, actions);
        self.clear_former_owners(now);
        if self.is_held(now) {
            return;
        }
        let resigns = self.leaves_leadership() && self.may_resign(now);
        if !self.is_resigning() && !resigns {
            self.send_grants(now, actions);
            self.send_releases(now, actions);
        }
        self.commit(now, actions);
    }

    /// Returns whether this instance hands leadership over as soon as it can.
    fn leaves_leadership(&self) -> bool {
        self.stopping || self.stranded
    }

    /// Returns whether nothing is granted yet, since the record may lack lost moves.
    fn is_held(&self, now: Duration) -> bool {
        match &self.state {
            leadership::LeadershipState::Leading(term) => now < term.hold_until,
            _ => false,
        }
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
                term.commit.as_ref().is_some_and(|pending| pending.resigns)
            }
            _ => false,
        }
    }

    /// Returns when every grant of a predecessor has certainly expired.
    ///
    /// `None` while a predecessor may still renew grants.
    fn predecessors_expire_at(&self) -> Option<Duration> {
        match &self.state {
            leadership::LeadershipState::Leading(term) if term.predecessors.is_empty() => {
                Some(term.predecessors_expire_at)
            }
            _ => None,
        }
    }

    /// Returns the lowest fencing token that no predecessor can use.
    fn first_fence(&self) -> u64 {
        match &self.state {
            leadership::LeadershipState::Leading(term) => term.first_fence,
            _ => u64::MAX,
        }
    }
}
