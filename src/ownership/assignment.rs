//! One range's grant as the leader drives it.

use crate::ids;
use crate::ownership::record;
use crate::range;
use serde::Serialize;
use smallvec::SmallVec;
use std::time::Duration;

/// Most that an upstream's clock runs slow, in percent.
pub const MAX_CLOCK_DRIFT_PERCENT: u32 = 2;

/// Time allowed to a grant call; the connection is cut after it.
pub const GRANT_TIMEOUT: Duration = Duration::from_millis(600);

/// Time allowed to a release call, which waits for running work.
pub const RELEASE_TIMEOUT: Duration = Duration::from_millis(2500);

/// Time that bytes of a cut call may still need to arrive.
const ARRIVAL_SLACK: Duration = Duration::from_millis(400);

/// Pause before a call without an answer is sent again.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Pauses between calls grow up to this multiple of [`RETRY_PAUSE`].
const MAX_PAUSE_STEPS: u32 = 8;

/// Refused connections after which an unregistered upstream counts as ended.
const DEATH_REFUSALS: u32 = 2;

/// Returns how long after it was sent a grant may be held.
pub fn grant_expiry(ttl: Duration) -> Duration {
    ttl + ttl * MAX_CLOCK_DRIFT_PERCENT / 100 + GRANT_TIMEOUT + ARRIVAL_SLACK
}

/// Why an upstream is no longer waited for.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReleaseStatus {
    /// It may hold the range.
    Holding,
    /// It acknowledged the release.
    Released,
    /// Its life certainly ended.
    Ended,
}

/// An upstream that must let go of a range.
#[derive(Clone, Debug)]
pub struct PendingRelease {
    pub former: record::FormerOwner,
    pub state: ReleaseStatus,
    /// Sending time of the last grant that it may hold.
    pub sent: Duration,
    /// Sending time of the last grant that was not answered.
    pub unanswered: Option<Duration>,
    pub in_flight: bool,
    pub release_at: Duration,
    /// Whether the upstream refuses what earlier leaders may still send.
    pub fenced: bool,
    refusals: u32,
    failures: u32,
}

impl PendingRelease {
    /// Returns whether the upstream certainly does not hold the range.
    ///
    /// `floor` tells when no grant of an earlier leader can be held any more.
    pub fn is_cleared(&self, now: Duration, floor: Option<Duration>, ttl: Duration) -> bool {
        let floor = match (self.fenced, floor) {
            (true, _) => Duration::ZERO,
            (false, Some(floor)) => floor,
            (false, None) => return self.state == ReleaseStatus::Ended,
        };
        let over = |sent: Duration| now >= floor && now >= sent + grant_expiry(ttl);
        match self.state {
            ReleaseStatus::Ended => true,
            ReleaseStatus::Released => now >= floor && self.unanswered.is_none_or(over),
            ReleaseStatus::Holding => over(self.sent),
        }
    }

    /// Notes a release call without an answer.
    pub fn note_failure(&mut self, now: Duration, refused: bool, registered: bool) {
        self.in_flight = false;
        self.failures += 1;
        self.release_at = now + RETRY_PAUSE * self.failures.min(MAX_PAUSE_STEPS);
        if refused && !registered {
            self.refusals += 1;
        }
        if self.refusals >= DEATH_REFUSALS {
            self.state = ReleaseStatus::Ended;
        }
    }
}

/// Formers of one holding.
pub type PendingReleases = SmallVec<[PendingRelease; 1]>;

/// One range with the progress of its grant.
#[derive(Clone, Debug)]
pub struct AssignmentState {
    pub range: range::KeyRange,
    pub owner: ids::UpstreamKey,
    pub fence: u64,
    pub granted: bool,
    pub former_owners: PendingReleases,
    /// Token by which the owner takes the former owner's state over.
    pub handover: Option<String>,
    /// Sending time of the last grant that the owner may hold.
    pub sent: Duration,
    /// Sending time of the last grant that was not answered.
    pub unanswered: Option<Duration>,
    /// Sending time of the last acknowledged grant.
    pub confirmed: Option<Duration>,
    pub in_flight: bool,
    pub grant_at: Duration,
    /// When the range got its owner.
    pub since: Duration,
    /// Whether a pending write changes the owner or the range.
    pub changing: bool,
    failures: u32,
}

impl AssignmentState {
    /// Creates the state of a recorded holding of which nothing is known yet.
    pub fn from_record(now: Duration, holding: &record::RangeAssignment) -> AssignmentState {
        let former_owners = holding.former_owners.iter().map(|former| PendingRelease {
            former: *former,
            state: ReleaseStatus::Holding,
            sent: now,
            unanswered: None,
            in_flight: false,
            release_at: now,
            fenced: false,
            refusals: 0,
            failures: 0,
        });
        AssignmentState {
            range: holding.range,
            owner: holding.owner,
            fence: holding.fence,
            granted: holding.granted,
            former_owners: former_owners.collect(),
            handover: None,
            sent: now,
            unanswered: None,
            confirmed: None,
            in_flight: false,
            grant_at: now,
            since: now,
            changing: false,
            failures: 0,
        }
    }

    /// Creates the state of a range that nobody ever owned.
    pub fn first(
        now: Duration,
        range: range::KeyRange,
        owner: ids::UpstreamKey,
        fence: u64,
    ) -> AssignmentState {
        AssignmentState::from_record(
            now,
            &record::RangeAssignment {
                range,
                owner,
                fence,
                granted: false,
                former_owners: SmallVec::new(),
            },
        )
    }

    /// Returns the stored form.
    pub fn to_record(&self) -> record::RangeAssignment {
        record::RangeAssignment {
            range: self.range,
            owner: self.owner,
            fence: self.fence,
            granted: self.granted,
            former_owners: self
                .former_owners
                .iter()
                .map(|former| former.former)
                .collect(),
        }
    }

    /// Returns a part of the holding with the same owner.
    pub fn part(&self, range: range::KeyRange) -> AssignmentState {
        AssignmentState {
            range,
            ..self.clone()
        }
    }

    /// Returns the holding with another owner, which waits for the present one.
    ///
    /// `first_fence` is the least fence number that no earlier leader can use.
    pub fn moved(
        &self,
        now: Duration,
        owner: ids::UpstreamKey,
        fence: u64,
        first_fence: u64,
    ) -> AssignmentState {
        let mut former_owners = self.former_owners.clone();
        former_owners.push(PendingRelease {
            former: record::FormerOwner {
                key: self.owner,
                fence: self.fence,
            },
            state: ReleaseStatus::Holding,
            sent: self.sent,
            unanswered: self.unanswered,
            in_flight: false,
            release_at: now,
            fenced: self.is_fenced(first_fence),
            refusals: 0,
            failures: 0,
        });
        let fresh = AssignmentState::first(now, self.range, owner, fence);
        AssignmentState {
            former_owners,
            ..fresh
        }
    }

    /// Returns whether the owner refuses what earlier leaders may still send.
    pub fn is_fenced(&self, first_fence: u64) -> bool {
        self.fence >= first_fence && self.confirmed.is_some()
    }

    /// Returns one holding for two neighbours with the same owner.
    pub fn merged(&self, now: Duration, next: &AssignmentState) -> AssignmentState {
        AssignmentState {
            range: range::KeyRange {
                first: self.range.first,
                last: next.range.last,
            },
            fence: self.fence.max(next.fence),
            sent: self.sent.max(next.sent),
            unanswered: self.unanswered.max(next.unanswered),
            // The merged range has not been granted under one fence number yet.
            confirmed: None,
            grant_at: now,
            since: self.since.max(next.since),
            ..self.clone()
        }
    }

    /// Returns whether nothing is under way in the range.
    pub fn is_settled(&self) -> bool {
        self.granted && self.former_owners.is_empty() && !self.changing
    }

    /// Returns whether a call for the range has no answer yet.
    pub fn is_busy(&self) -> bool {
        self.in_flight || self.former_owners.iter().any(|former| former.in_flight)
    }

    /// Returns whether the last grant call failed.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Returns whether the owner's grant has certainly run out.
    pub fn is_lapsed(&self, now: Duration, floor: Duration, ttl: Duration) -> bool {
        !self.in_flight && now >= floor && now >= self.sent + grant_expiry(ttl)
    }

    /// Notes that the owner acknowledged a grant sent at `sent`.
    pub fn note_granted(&mut self, sent: Duration, renew: Duration) -> bool {
        self.in_flight = false;
        self.failures = 0;
        self.sent = sent;
        self.confirmed = Some(sent);
        self.grant_at = sent + renew;
        self.handover = None;
        let first = !self.granted;
        self.granted = true;
        self.former_owners.clear();
        first
    }

    /// Notes a grant call without an answer; `written` if the upstream may have got it.
    pub fn note_failure(&mut self, now: Duration, sent: Duration, written: bool, renew: Duration) {
        self.in_flight = false;
        self.failures += 1;
        if written {
            self.sent = sent;
            self.unanswered = Some(sent);
        }
        let pause = RETRY_PAUSE * self.failures.min(MAX_PAUSE_STEPS);
        self.grant_at = now + pause.min(renew);
    }
}
