//! Decisions of one instance about one service's ownership.

use crate::ids;
use crate::ownership::{holding, leveling, load, owners, record, term};
use crate::range;
use std::collections::BTreeMap;
use std::time::Duration;

/// Interval of renewals if the owners are few.
const MIN_RENEW_INTERVAL: Duration = Duration::from_millis(1000);

/// Renewals a second that one leader sends at the most.
const RENEWALS_PER_S: u32 = 80;

/// Life of a grant in renewal intervals; two renewals may fail in a row.
const HOLD_INTERVALS: u32 = 3;

/// Longest random wait before an instance claims a service without a leader.
const CLAIM_SPREAD_MS: u64 = 150;

/// Pause before another claim after one that brought nothing.
const CLAIM_RETRY: Duration = Duration::from_millis(500);

/// Pause before a write without an answer is sent again.
const COMMIT_RETRY: Duration = Duration::from_millis(200);

/// Time after which acknowledged grants are stored if nothing else is written.
///
/// Until then they are only announced; a new leader would repeat them.
const SETTLE_DELAY: Duration = Duration::from_millis(1500);

/// Time after a move before a range is joined with its neighbour.
const MERGE_REST: Duration = Duration::from_secs(3);

/// Time for which an upstream that could not be reached gets no keys.
const SUSPECT_TIME: Duration = Duration::from_secs(4);

/// Time for which the set of upstreams must rest before the first division.
const FIRST_REST: Duration = Duration::from_millis(700);

/// Settings of one service's ownership.
#[derive(Clone, Copy, Debug)]
pub struct OwnershipSettings {
    /// Greatest key.
    pub last_key: u64,
    /// Longest hold that upstreams accept.
    pub max_hold: Duration,
}

/// Leader's key in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeaderView {
    pub run: ids::InstanceKey,
    /// Name of the instance, the same for all its runs.
    pub name: String,
    /// Revision of the key.
    pub revision: u64,
}

/// What the metadata store holds, as far as this instance has seen.
#[derive(Clone, Debug, Default)]
pub struct StoreView {
    /// Who leads, as its key in the store says.
    pub leader: Option<LeaderView>,
    /// Ownership record and its revision.
    pub record: Option<(record::OwnershipRecord, u64)>,
    /// Revision up to which the store was seen.
    pub as_of: u64,
}

/// Result of a write to the store.
#[derive(Clone, Debug)]
pub enum CommitResult {
    Committed {
        revision: u64,
    },
    /// The condition did not hold; the record as it is now.
    Conflict(Option<(Box<record::OwnershipRecord>, u64)>),
    LeaseEnded,
    /// Refused before anything was done.
    Refused,
    /// The write may have taken effect or may still do so.
    Unknown,
}

/// Result of a grant call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GrantResult {
    Granted,
    /// The upstream has seen a higher fence number.
    Fenced,
    /// The upstream may have taken the grant.
    Unanswered,
    /// The call did not reach the upstream.
    Unsent,
}

/// Result of a release call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReleaseResult {
    Released(Option<String>),
    Unanswered,
    /// Nothing listens at the upstream's address.
    ConnectionRefused,
}

/// Input of the core.
#[derive(Clone, Debug)]
pub enum OwnershipEvent {
    Seen(StoreView),
    Candidates(owners::CandidateTable),
    Load(load::LoadReport),
    LeaseOpened {
        sent: Duration,
        lease: Option<u64>,
    },
    LeaseKept {
        sent: Duration,
        /// `None` if the call brought no answer.
        alive: Option<bool>,
    },
    Committed(CommitResult),
    Granted {
        range: range::KeyRange,
        owner: ids::UpstreamKey,
        fence: u64,
        sent: Duration,
        result: GrantResult,
    },
    Released {
        range: range::KeyRange,
        former: record::FormerOwner,
        result: ReleaseResult,
    },
    /// Sign of life of an instance, with whether it still leads the service.
    Sign {
        name: String,
        run: ids::InstanceKey,
        acting: bool,
    },
    /// Another instance leads since a revision.
    Superseded {
        revision: u64,
    },
    /// The instance stops.
    Stop,
    Tick,
}

/// Write to the store that the core asks for.
#[derive(Clone, Debug)]
pub struct CommitOrder {
    /// Revision of the leader's key that must still hold; 0 if there must be none.
    pub leader_revision: u64,
    /// Revision of the record that must still hold; 0 creates it.
    pub record_revision: u64,
    /// Lease under which the leader's key is written.
    pub claim: Option<u64>,
    /// Whether the leader's key is deleted.
    pub resign: bool,
    pub record: record::OwnershipRecord,
}

/// Grant that the core asks for.
#[derive(Clone, Debug)]
pub struct GrantCommand {
    pub owner: record::OwnerInfo,
    pub range: range::KeyRange,
    pub fence: u64,
    pub hold: Duration,
    pub handover: Option<String>,
    /// When the core decided; the call is void if it cannot be sent soon after.
    pub sent: Duration,
}

/// Release that the core asks for.
#[derive(Clone, Debug)]
pub struct ReleaseCommand {
    pub owner: record::OwnerInfo,
    pub range: range::KeyRange,
    pub former: record::FormerOwner,
}

/// What the other instances are told without the store's delay.
#[derive(Clone, Debug)]
pub struct Announcement {
    /// The stored record with what was acknowledged since.
    pub record: record::OwnershipRecord,
    /// Revision of the stored record.
    pub revision: u64,
    /// Order among the announcements of one revision; the store's own has 0.
    pub step: u64,
}

/// Output of the core.
#[derive(Clone, Debug)]
pub enum OwnershipAction {
    OpenLease {
        ttl: Duration,
    },
    KeepLease {
        lease: u64,
    },
    Commit(Box<CommitOrder>),
    Grant(GrantCommand),
    Release(ReleaseCommand),
    /// Asks a predecessor whether it still acts.
    Challenge(record::NodeInfo),
    /// Tells the other instances what the store has accepted.
    Announce(Box<Announcement>),
    Event(OwnershipNote),
}

/// Decision worth a log line.
#[derive(Clone, Debug, PartialEq)]
pub enum OwnershipNote {
    Leading {
        revision: u64,
        predecessors: Vec<String>,
    },
    PredecessorEnded {
        name: String,
    },
    StoppedLeading {
        reason: &'static str,
    },
    Moving {
        range: range::KeyRange,
        from: Option<ids::UpstreamKey>,
        to: ids::UpstreamKey,
        fence: u64,
        reason: &'static str,
    },
    FormerCleared {
        range: range::KeyRange,
        former: ids::UpstreamKey,
        proof: holding::FormerState,
    },
    OwnerGranted {
        range: range::KeyRange,
        owner: ids::UpstreamKey,
        fence: u64,
    },
    OwnerLapsed {
        range: range::KeyRange,
        owner: ids::UpstreamKey,
    },
}

/// Ownership of one service, as one instance takes part in it.
#[derive(Debug)]
pub struct OwnershipCore {
    me: record::NodeInfo,
    settings: OwnershipSettings,
    view: StoreView,
    state: term::TermState,
    candidates: owners::CandidateTable,
    candidates_at: Duration,
    owners: Vec<record::OwnerInfo>,
    next_fence: u64,
    holdings: Vec<holding::LiveHolding>,
    /// Life of the grants that are sent, as the stored record says.
    hold: Duration,
    /// Longest life of a grant that may still be held.
    longest_hold: Duration,
    /// Upstreams that could not be reached, and until when they get no keys.
    suspects: BTreeMap<ids::UpstreamKey, Duration>,
    /// Since when the stored record lags behind what happened.
    dirty_since: Option<Duration>,
    load: load::LoadMap,
    latency: load::LatencyTable,
    leveled_at: Duration,
    challenged_at: Duration,
    claim_at: Option<Duration>,
    attempts: u64,
    stopping: bool,
    notes: Vec<OwnershipNote>,
    /// Whether the last accepted record was not announced yet.
    unannounced: bool,
    announcements: u64,
}

impl OwnershipCore {
    /// Creates the core of an instance that has just started.
    pub fn new(me: record::NodeInfo, settings: OwnershipSettings) -> OwnershipCore {
        OwnershipCore {
            me,
            settings,
            view: StoreView::default(),
            state: term::TermState::Following,
            candidates: owners::CandidateTable::default(),
            candidates_at: Duration::ZERO,
            owners: Vec::new(),
            next_fence: 1,
            holdings: Vec::new(),
            hold: MIN_RENEW_INTERVAL * HOLD_INTERVALS,
            longest_hold: Duration::ZERO,
            suspects: BTreeMap::new(),
            dirty_since: None,
            load: load::LoadMap::new(settings.last_key),
            latency: load::LatencyTable::default(),
            leveled_at: Duration::ZERO,
            challenged_at: Duration::ZERO,
            claim_at: None,
            attempts: 0,
            stopping: false,
            notes: Vec::new(),
            unannounced: false,
            announcements: 0,
        }
    }

    /// Returns whether this instance acts as the leader.
    pub fn is_leading(&self) -> bool {
        matches!(self.state, term::TermState::Leading(_))
    }

    /// Returns whether a stopping instance has nothing left to hand over.
    pub fn is_finished(&self) -> bool {
        matches!(self.state, term::TermState::Following)
    }

    /// Returns the revision at which this instance became the leader.
    pub fn leading_since(&self) -> Option<u64> {
        match &self.state {
            term::TermState::Leading(term) => Some(term.revision),
            _ => None,
        }
    }

    /// Returns until when this instance may send grants.
    pub fn authority_until(&self) -> Option<Duration> {
        match &self.state {
            term::TermState::Leading(term) => Some(term.contact + term::AUTHORITY),
            _ => None,
        }
    }

    fn renew_interval(&self) -> Duration {
        self.hold / HOLD_INTERVALS
    }

    /// Returns the life of grants for a number of ranges; it grows with the renewals needed.
    fn hold_for(&self, ranges: usize) -> Duration {
        let renew = Duration::from_secs(1) * ranges as u32 / RENEWALS_PER_S;
        (renew.max(MIN_RENEW_INTERVAL) * HOLD_INTERVALS).min(self.settings.max_hold)
    }

    fn set_hold(&mut self, hold: Duration) {
        self.hold = hold;
        self.longest_hold = self.longest_hold.max(hold);
    }

    /// Decides the reaction to one event.
    pub fn step(&mut self, now: Duration, event: OwnershipEvent) -> Vec<OwnershipAction> {
        let mut actions = Vec::new();
        match event {
            OwnershipEvent::Seen(view) => self.on_seen(now, view),
            OwnershipEvent::Candidates(candidates) => {
                self.latency.retain(|key| candidates.get(key).is_some());
                if !candidates.has_same_keys(&self.candidates) {
                    self.candidates_at = now;
                }
                self.candidates = candidates;
            }
            OwnershipEvent::Load(report) => {
                self.load.add(&report.counts);
                self.latency.add(&report.latencies);
            }
            OwnershipEvent::LeaseOpened { sent, lease } => {
                self.on_lease_opened(now, sent, lease, &mut actions);
            }
            OwnershipEvent::LeaseKept { sent, alive } => self.on_lease_kept(now, sent, alive),
            OwnershipEvent::Committed(result) => self.on_committed(now, result),
            OwnershipEvent::Granted {
                range,
                owner,
                fence,
                sent,
                result,
            } => self.on_granted(now, range, owner, fence, sent, result),
            OwnershipEvent::Released {
                range,
                former,
                result,
            } => self.on_released(now, range, former, result),
            OwnershipEvent::Sign { name, run, acting } => self.on_sign(now, &name, run, acting),
            OwnershipEvent::Superseded { revision } => {
                if self.leading_since().is_some_and(|mine| mine < revision) {
                    self.step_down(now, "another instance leads");
                }
            }
            OwnershipEvent::Stop => self.stopping = true,
            OwnershipEvent::Tick => {}
        }
        self.advance(now, &mut actions);
        if std::mem::take(&mut self.unannounced)
            && let Some((record, revision)) = &self.view.record
        {
            self.announcements += 1;
            let holdings = self.holdings.iter();
            let record = record::OwnershipRecord {
                holdings: holdings.map(holding::LiveHolding::to_record).collect(),
                ..record.clone()
            };
            actions.push(OwnershipAction::Announce(Box::new(Announcement {
                record,
                revision: *revision,
                step: self.announcements,
            })));
        }
        actions.extend(self.notes.drain(..).map(OwnershipAction::Event));
        actions
    }

    fn on_seen(&mut self, now: Duration, view: StoreView) {
        if view.as_of < self.view.as_of {
            return;
        }
        self.view = view;
        let term::TermState::Leading(term) = &self.state else {
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
            self.notes.push(OwnershipNote::StoppedLeading { reason });
        }
        self.state = term::TermState::Following;
        self.claim_at = Some(now + CLAIM_RETRY);
        self.holdings.clear();
        self.dirty_since = None;
    }

    fn on_lease_opened(
        &mut self,
        now: Duration,
        sent: Duration,
        lease: Option<u64>,
        actions: &mut Vec<OwnershipAction>,
    ) {
        if !matches!(self.state, term::TermState::Opening { .. }) {
            return;
        }
        // Another instance may have become the leader meanwhile.
        let Some(lease) = lease.filter(|_| self.is_vacant()) else {
            self.state = term::TermState::Following;
            self.claim_at = Some(now + CLAIM_RETRY);
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
        actions.push(OwnershipAction::Commit(Box::new(CommitOrder {
            leader_revision: self
                .view
                .leader
                .as_ref()
                .map_or(0, |leader| leader.revision),
            record_revision: self.record_revision(),
            claim: Some(lease),
            resign: false,
            record: record.clone(),
        })));
        self.state = term::TermState::Claiming {
            lease,
            contact: sent,
            record,
        };
    }

    fn record_revision(&self) -> u64 {
        let record = self.view.record.as_ref();
        record.map_or(0, |(_, revision)| *revision)
    }

    fn next_attempt(&mut self) -> u64 {
        self.attempts += 1;
        self.me.run.0.wrapping_add(self.attempts)
    }

    fn on_lease_kept(&mut self, now: Duration, sent: Duration, alive: Option<bool>) {
        let term::TermState::Leading(term) = &mut self.state else {
            return;
        };
        term.keep_in_flight = false;
        match alive {
            Some(true) => term.contact = term.contact.max(sent),
            Some(false) => self.step_down(now, "the lease has ended"),
            None => {}
        }
    }

    fn on_committed(&mut self, now: Duration, result: CommitResult) {
        match self.state.clone() {
            term::TermState::Claiming {
                lease,
                contact,
                record,
            } => self.on_claimed(now, result, lease, contact, record),
            term::TermState::Leading(term) => self.on_written(now, *term, result),
            term::TermState::Following | term::TermState::Opening { .. } => {}
        }
    }

    fn on_claimed(
        &mut self,
        now: Duration,
        result: CommitResult,
        lease: u64,
        contact: Duration,
        record: record::OwnershipRecord,
    ) {
        let revision = match result {
            CommitResult::Committed { revision } => revision,
            CommitResult::Conflict(Some((stored, revision)))
                if stored.attempt == record.attempt =>
            {
                revision
            }
            CommitResult::Conflict(_)
            | CommitResult::LeaseEnded
            | CommitResult::Refused
            | CommitResult::Unknown => {
                self.state = term::TermState::Following;
                self.claim_at = Some(now + CLAIM_RETRY);
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
        self.view.leader = Some(LeaderView {
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
        self.notes.push(OwnershipNote::Leading {
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
        }));
    }

    fn on_written(&mut self, now: Duration, mut term: term::LeaderTerm, result: CommitResult) {
        let Some(mut pending) = term.commit.take() else {
            return;
        };
        let revision = match result {
            CommitResult::Committed { revision } => revision,
            CommitResult::Conflict(Some((stored, revision)))
                if stored.attempt == pending.record.attempt =>
            {
                revision
            }
            CommitResult::Conflict(_) => {
                self.step_down(now, "the record was changed by another instance");
                return;
            }
            CommitResult::LeaseEnded => {
                self.step_down(now, "the lease has ended");
                return;
            }
            CommitResult::Refused | CommitResult::Unknown => {
                pending.in_flight = false;
                pending.retry_at = now + COMMIT_RETRY;
                term.commit = Some(pending);
                self.state = term::TermState::Leading(Box::new(term));
                return;
            }
        };
        if pending.resigns {
            self.step_down(now, "the instance stops");
            return;
        }
        self.adopt(now, pending, revision);
        self.state = term::TermState::Leading(Box::new(term));
    }

    /// Takes a plan over whose write has taken effect.
    fn adopt(&mut self, now: Duration, pending: term::PendingCommit, revision: u64) {
        let mut holdings = pending.holdings;
        for planned in &mut holdings {
            let same = |live: &&holding::LiveHolding| {
                live.range == planned.range && live.owner == planned.owner
            };
            let recorded_fence = planned.fence;
            if let Some(live) = self.holdings.iter().find(same) {
                *planned = live.clone();
            }
            planned.changing = false;
            if planned.fence == recorded_fence && planned.grant_at == Duration::MAX {
                planned.grant_at = now;
            }
        }
        self.holdings = holdings;
        self.set_hold(Duration::from_millis(pending.record.hold_ms));
        self.view.as_of = self.view.as_of.max(revision);
        self.view.record = Some((pending.record, revision));
        self.unannounced = true;
    }

    fn find(&mut self, range: range::KeyRange) -> Option<&mut holding::LiveHolding> {
        self.holdings.iter_mut().find(|live| live.range == range)
    }

    fn on_granted(
        &mut self,
        now: Duration,
        range: range::KeyRange,
        owner: ids::UpstreamKey,
        fence: u64,
        sent: Duration,
        result: GrantResult,
    ) {
        let renew = self.renew_interval();
        let fresh_fence = self.next_fence;
        let Some(live) = self.find(range).filter(|live| live.fence == fence) else {
            if result == GrantResult::Unanswered {
                self.note_late_grant(range, owner, sent);
            }
            return;
        };
        let mut note = None;
        match result {
            GrantResult::Granted => {
                if live.note_granted(sent, renew) {
                    note = Some(OwnershipNote::OwnerGranted {
                        range,
                        owner: live.owner,
                        fence,
                    });
                }
            }
            GrantResult::Fenced => {
                live.note_failure(now, sent, false, renew);
                live.fence = fresh_fence;
                live.granted = false;
                live.grant_at = Duration::MAX;
                self.next_fence += 1;
                self.dirty_since = Some(Duration::ZERO);
            }
            GrantResult::Unanswered => live.note_failure(now, sent, true, renew),
            GrantResult::Unsent => live.note_failure(now, sent, false, renew),
        }
        if let Some(note) = note {
            self.notes.push(note);
            self.dirty_since.get_or_insert(now);
            self.unannounced = true;
        }
    }

    /// Notes that a grant for a range that was cut or joined since may arrive late.
    fn note_late_grant(&mut self, range: range::KeyRange, owner: ids::UpstreamKey, sent: Duration) {
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

    fn on_released(
        &mut self,
        now: Duration,
        range: range::KeyRange,
        former: record::FormerOwner,
        result: ReleaseResult,
    ) {
        let registered = self.candidates.get(former.key).is_some();
        let Some(live) = self.find(range) else { return };
        let found = live.formers.iter_mut().find(|state| state.former == former);
        let Some(state) = found else { return };
        match result {
            ReleaseResult::Released(handover) => {
                state.in_flight = false;
                state.state = holding::FormerState::Released;
                live.handover = handover.or(live.handover.take());
            }
            ReleaseResult::Unanswered => state.note_failure(now, false, registered),
            ReleaseResult::ConnectionRefused => state.note_failure(now, true, registered),
        }
    }

    fn on_sign(&mut self, now: Duration, name: &str, run: ids::InstanceKey, acting: bool) {
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
        self.notes.push(OwnershipNote::PredecessorEnded {
            name: name.to_owned(),
        });
    }

    fn advance(&mut self, now: Duration, actions: &mut Vec<OwnershipAction>) {
        match &self.state {
            term::TermState::Following => self.advance_following(now, actions),
            term::TermState::Opening { since } if now >= *since + term::LEASE_TTL => {
                self.state = term::TermState::Following;
            }
            term::TermState::Claiming { contact, .. } if now >= *contact + term::LEASE_TTL => {
                self.state = term::TermState::Following;
                self.claim_at = Some(now + CLAIM_RETRY);
            }
            term::TermState::Opening { .. } | term::TermState::Claiming { .. } => {}
            term::TermState::Leading(term) if !term.has_authority(now) => {
                self.step_down(now, "the authority without the store is over");
            }
            term::TermState::Leading(_) => self.advance_leading(now, actions),
        }
    }

    /// Returns whether no living instance has the leader's key.
    fn is_vacant(&self) -> bool {
        match &self.view.leader {
            // The key of an earlier run lives on until its lease ends.
            Some(leader) => leader.name == self.me.name && leader.run != self.me.run,
            None => self.view.as_of > 0,
        }
    }

    fn advance_following(&mut self, now: Duration, actions: &mut Vec<OwnershipAction>) {
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
            actions.push(OwnershipAction::OpenLease {
                ttl: term::LEASE_TTL,
            });
        }
    }

    fn advance_leading(&mut self, now: Duration, actions: &mut Vec<OwnershipAction>) {
        self.keep_lease(now, actions);
        self.end_predecessors(now, actions);
        self.clear_formers(now);
        if !self.is_resigning() && !self.stopping {
            self.push_grants(now, actions);
            self.push_releases(now, actions);
        }
        self.commit(now, actions);
    }

    fn term_mut(&mut self) -> Option<&mut term::LeaderTerm> {
        match &mut self.state {
            term::TermState::Leading(term) => Some(term),
            _ => None,
        }
    }

    fn is_resigning(&self) -> bool {
        match &self.state {
            term::TermState::Leading(term) => term.commit.as_ref().is_some_and(|c| c.resigns),
            _ => false,
        }
    }

    fn keep_lease(&mut self, now: Duration, actions: &mut Vec<OwnershipAction>) {
        let Some(term) = self.term_mut() else { return };
        if !term.keep_in_flight && now >= term.keep_at {
            term.keep_in_flight = true;
            term.keep_at = now + term::KEEP_INTERVAL;
            let lease = term.lease;
            actions.push(OwnershipAction::KeepLease { lease });
        }
    }

    fn end_predecessors(&mut self, now: Duration, actions: &mut Vec<OwnershipAction>) {
        let due = now >= self.challenged_at + CLAIM_RETRY;
        let Some(term) = self.term_mut() else { return };
        let (ended, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut term.predecessors)
            .into_iter()
            .partition(|state| now >= state.ends);
        let nodes = waiting.iter().map(|state| state.node.clone());
        let nodes: Vec<_> = nodes.collect();
        term.predecessors = waiting;
        if due && !nodes.is_empty() {
            self.challenged_at = now;
            actions.extend(nodes.into_iter().map(OwnershipAction::Challenge));
        }
        for state in ended {
            self.dirty_since.get_or_insert(now);
            let name = state.node.name;
            self.notes.push(OwnershipNote::PredecessorEnded { name });
        }
    }

    /// Returns since when no earlier leader's grant can be held, if all have ended.
    fn sole_floor(&self) -> Option<Duration> {
        match &self.state {
            term::TermState::Leading(term) if term.predecessors.is_empty() => Some(term.floor),
            _ => None,
        }
    }

    fn first_fence(&self) -> u64 {
        match &self.state {
            term::TermState::Leading(term) => term.first_fence,
            _ => u64::MAX,
        }
    }

    fn clear_formers(&mut self, now: Duration) {
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
                    self.notes.push(OwnershipNote::FormerCleared {
                        range: live.range,
                        former: key,
                        proof: former.state,
                    });
                }
            }
        }
    }

    fn owner_info(&self, key: ids::UpstreamKey) -> Option<record::OwnerInfo> {
        let registered = self.candidates.get(key).map(|found| found.info.clone());
        registered.or_else(|| self.owners.iter().find(|info| info.key == key).cloned())
    }

    fn push_grants(&mut self, now: Duration, actions: &mut Vec<OwnershipAction>) {
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
            actions.push(OwnershipAction::Grant(GrantCommand {
                owner,
                range: live.range,
                fence: live.fence,
                hold,
                handover: live.handover.clone(),
                sent: now,
            }));
        }
    }

    fn push_releases(&mut self, now: Duration, actions: &mut Vec<OwnershipAction>) {
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
                actions.push(OwnershipAction::Release(ReleaseCommand {
                    owner,
                    range,
                    former,
                }));
            }
        }
    }

    fn commit(&mut self, now: Duration, actions: &mut Vec<OwnershipAction>) {
        let record_revision = self.record_revision();
        let pending = match &self.state {
            term::TermState::Leading(term) => term.commit.is_some(),
            _ => return,
        };
        if !pending {
            let next = self.plan(now);
            let Some(term) = self.term_mut() else { return };
            term.commit = next;
        }
        let Some(term) = self.term_mut() else { return };
        let leader_revision = term.revision;
        let Some(pending) = &mut term.commit else {
            return;
        };
        if pending.in_flight || now < pending.retry_at {
            return;
        }
        pending.in_flight = true;
        actions.push(OwnershipAction::Commit(Box::new(CommitOrder {
            leader_revision,
            record_revision,
            claim: None,
            resign: pending.resigns,
            record: pending.record.clone(),
        })));
    }

    /// Decides what to write next.
    fn plan(&mut self, now: Duration) -> Option<term::PendingCommit> {
        let busy = self.holdings.iter().any(holding::LiveHolding::is_busy);
        if self.stopping {
            return (!busy).then(|| self.pending(now, self.holdings.clone(), true));
        }
        let mut holdings = self.holdings.clone();
        let mut changed =
            self.divide_first(now, &mut holdings) || self.reassign(now, &mut holdings);
        let due = |since: Duration| now >= since + SETTLE_DELAY;
        let due = self.dirty_since.is_some_and(due);
        if changed || due {
            changed |= merge_neighbours(now, &mut holdings);
        }
        if changed {
            self.mark_changes(&holdings);
        }
        (changed || due).then(|| self.pending(now, holdings, false))
    }

    /// Stops renewals of ranges that the planned holdings take from their owner.
    fn mark_changes(&mut self, planned: &[holding::LiveHolding]) {
        for live in &mut self.holdings {
            let overlapping = planned
                .iter()
                .filter(|other| other.range.overlaps(&live.range));
            let mut taken = overlapping.filter(|other| other.owner != live.owner);
            live.changing = taken.next().is_some();
        }
    }

    fn pending(
        &mut self,
        now: Duration,
        holdings: Vec<holding::LiveHolding>,
        resigns: bool,
    ) -> term::PendingCommit {
        let attempt = self.next_attempt();
        self.dirty_since = None;
        self.collect_owners(&holdings);
        let alone = self.sole_floor().is_some_and(|floor| now >= floor);
        let clean = alone && holdings.iter().all(|live| self.is_clean(now, live));
        let record = record::OwnershipRecord {
            attempt,
            leader: self.me.clone(),
            resigned: resigns && clean,
            predecessors: self.predecessor_nodes(),
            hold_ms: self.hold_for(holdings.len()).as_millis() as u64,
            next_fence: self.next_fence,
            owners: self.owners.clone(),
            holdings: holdings
                .iter()
                .map(holding::LiveHolding::to_record)
                .collect(),
        };
        term::PendingCommit {
            record,
            holdings,
            in_flight: false,
            retry_at: now,
            resigns,
        }
    }

    fn predecessor_nodes(&self) -> Vec<record::NodeInfo> {
        match &self.state {
            term::TermState::Leading(term) => {
                let states = term.predecessors.iter();
                states.map(|state| state.node.clone()).collect()
            }
            _ => Vec::new(),
        }
    }

    /// Returns whether no grant for the range can still arrive late.
    fn is_clean(&self, now: Duration, live: &holding::LiveHolding) -> bool {
        let over = |sent: Duration| now >= sent + holding::hold_bound(self.longest_hold);
        let former_clean = |former: &holding::LiveFormer| former.unanswered.is_none_or(over);
        live.unanswered.is_none_or(over) && live.formers.iter().all(former_clean)
    }

    /// Keeps the addresses of all upstreams that the holdings name.
    fn collect_owners(&mut self, holdings: &[holding::LiveHolding]) {
        let mut keys: Vec<ids::UpstreamKey> = Vec::new();
        for live in holdings {
            keys.push(live.owner);
            keys.extend(live.formers.iter().map(|former| former.former.key));
        }
        keys.sort_unstable();
        keys.dedup();
        let infos = keys.into_iter().filter_map(|key| self.owner_info(key));
        self.owners = infos.collect();
    }

    /// Divides the whole space among the first upstreams.
    fn divide_first(&mut self, now: Duration, holdings: &mut Vec<holding::LiveHolding>) -> bool {
        let rested = now >= self.candidates_at + FIRST_REST;
        let mut keys: Vec<_> = self.candidates.usable().map(|c| c.info.key).collect();
        if !holdings.is_empty() || keys.is_empty() || !rested {
            return false;
        }
        keys.sort_unstable();
        let ranges = range::KeyRange::divide(self.settings.last_key, keys.len());
        for (range, owner) in ranges.into_iter().zip(keys) {
            let fence = self.take_fence();
            holdings.push(holding::LiveHolding::first(now, range, owner, fence));
            self.notes.push(OwnershipNote::Moving {
                range,
                from: None,
                to: owner,
                fence,
                reason: "first division",
            });
        }
        true
    }

    fn take_fence(&mut self) -> u64 {
        self.next_fence += 1;
        self.next_fence - 1
    }

    /// Moves ranges off lost, leaving and overloaded owners.
    fn reassign(&mut self, now: Duration, holdings: &mut Vec<holding::LiveHolding>) -> bool {
        self.load.decay(now);
        let mut candidates = self.candidates.clone();
        self.suspects.retain(|_, until| now < *until);
        candidates.exclude(|key| self.suspects.contains_key(&key));
        let capacities = candidates.usable().map(|found| {
            let key = found.info.key;
            let latency = self.latency.latency(key).as_secs_f32();
            let span = load::LoadMap::span().as_secs_f32();
            leveling::OwnerCapacity {
                key,
                capacity: found.capacity(now) / self.latency.slowness(key),
                use_per_count: latency / span / found.slots.max(1) as f32,
            }
        });
        let mut ledger = leveling::LoadLedger::new(capacities, holdings, &self.load);
        let mut moves = Vec::new();
        let floor = self.sole_floor();
        let first_fence = self.first_fence();
        let movable = |live: &&holding::LiveHolding| {
            !live.is_busy() && (floor.is_some() || live.is_fenced(first_fence))
        };
        for live in holdings.iter().filter(movable) {
            let floor = match live.is_fenced(first_fence) {
                true => Duration::ZERO,
                false => floor.unwrap_or(Duration::MAX),
            };
            let owner = self.candidates.get(live.owner);
            let gone = owner.is_none_or(|owner| owner.draining);
            let lapsed = live.is_failing() && live.is_lapsed(now, floor, self.longest_hold);
            if lapsed {
                self.suspects.insert(live.owner, now + SUSPECT_TIME);
                ledger.remove(live.owner);
            }
            if gone || lapsed {
                let parts = leveling::replace_owner(&mut ledger, &self.load, &live.range);
                let reason = match (owner, lapsed) {
                    (None, _) => "owner is gone",
                    (Some(_), true) => "owner cannot be reached",
                    (Some(_), false) => "owner is draining",
                };
                moves.extend(parts.into_iter().map(|part| (part, reason)));
            }
        }
        if moves.is_empty() && now >= self.leveled_at + leveling::LEVEL_INTERVAL {
            self.leveled_at = now;
            let parts: Vec<_> = holdings.iter().filter(movable).cloned().collect();
            let level = leveling::level(now, &parts, &mut ledger, &self.load);
            moves.extend(level.into_iter().map(|part| (part, "load")));
        }
        let mut changed = false;
        for (part, reason) in moves {
            changed |= self.apply_move(now, holdings, part, reason);
        }
        changed
    }

    /// Cuts the moved part out of its holding and gives it its new owner.
    fn apply_move(
        &mut self,
        now: Duration,
        holdings: &mut Vec<holding::LiveHolding>,
        part: leveling::RangeMove,
        reason: &'static str,
    ) -> bool {
        let covers = |live: &holding::LiveHolding| {
            live.range.first <= part.range.first && part.range.last <= live.range.last
        };
        let Some(index) = holdings.iter().position(covers) else {
            return false;
        };
        let live = holdings[index].clone();
        if live.owner == part.to {
            return false;
        }
        let fence = self.take_fence();
        let mut pieces = Vec::new();
        if live.range.first < part.range.first {
            pieces.push(live.part(range::KeyRange {
                first: live.range.first,
                last: part.range.first - 1,
            }));
        }
        let first_fence = self.first_fence();
        let moved = live.part(part.range);
        pieces.push(moved.moved(now, part.to, fence, first_fence));
        if part.range.last < live.range.last {
            pieces.push(live.part(range::KeyRange {
                first: part.range.last + 1,
                last: live.range.last,
            }));
        }
        holdings.splice(index..=index, pieces);
        self.notes.push(OwnershipNote::Moving {
            range: part.range,
            from: Some(live.owner),
            to: part.to,
            fence,
            reason,
        });
        true
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

/// Joins neighbouring ranges with the same owner, so that fewer calls renew them.
fn merge_neighbours(now: Duration, holdings: &mut Vec<holding::LiveHolding>) -> bool {
    let before = holdings.len();
    let mut merged: Vec<holding::LiveHolding> = Vec::with_capacity(before);
    for live in holdings.drain(..) {
        match merged.last_mut() {
            Some(last) if is_mergeable(now, last, &live) => *last = last.merged(now, &live),
            _ => merged.push(live),
        }
    }
    *holdings = merged;
    holdings.len() < before
}

fn is_mergeable(now: Duration, one: &holding::LiveHolding, other: &holding::LiveHolding) -> bool {
    let rested = |live: &holding::LiveHolding| {
        live.is_settled() && !live.is_busy() && now >= live.since + MERGE_REST
    };
    one.owner == other.owner && rested(one) && rested(other)
}
