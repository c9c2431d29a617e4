//! Runtime state of one range's assignment: its grant and its former owners' releases.

use crate::ids;
use crate::ownership::record;
use crate::range;
use serde::Serialize;
use smallvec::SmallVec;
use std::time::Duration;

/// Largest percentage by which an upstream's clock may run slow.
pub const MAX_CLOCK_DRIFT_PERCENT: u32 = 2;

/// Timeout of a grant call, after which its connection is closed.
pub const GRANT_TIMEOUT: Duration = Duration::from_millis(600);

/// Timeout of a release call, which is answered once running requests have ended.
pub const RELEASE_TIMEOUT: Duration = Duration::from_millis(2500);

/// Longest time after its timeout at which a call's bytes may still arrive.
const MAX_ARRIVAL_DELAY: Duration = Duration::from_millis(400);

/// Backoff after the first failed call.
const RETRY_BACKOFF: Duration = Duration::from_millis(150);

/// Largest multiple of [`RETRY_BACKOFF`] to which the backoff grows.
const MAX_BACKOFF_STEPS: u32 = 8;

/// Returns the longest time after its sending for which a grant may be valid.
pub fn max_grant_age(ttl: Duration) -> Duration {
    ttl + ttl * MAX_CLOCK_DRIFT_PERCENT / 100 + GRANT_TIMEOUT + MAX_ARRIVAL_DELAY
}

/// Whether a former owner has given up its range; what is surer is greater.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReleaseStatus {
    /// Its grant may still be valid.
    Holding,
    /// It acknowledged the release.
    Released,
    /// Its run or its grant has certainly ended.
    Ended,
}

/// What showed that a former owner has no valid grant for a range any more.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReleaseProof {
    /// It acknowledged the release.
    Acknowledged,
    /// Another upstream answered at its address.
    Misdirected,
    /// A later run of it is registered at another address.
    Moved,
    /// The last grant that it may have accepted has expired.
    Expired,
}

/// Release of a range by a former owner.
#[derive(Clone, Debug)]
pub struct PendingRelease {
    pub owner: record::FormerOwner,
    pub status: ReleaseStatus,
    /// When the last grant was sent that the owner may have accepted.
    pub sent: Duration,
    /// When the last grant was sent that got no response.
    pub unanswered: Option<Duration>,
    pub in_flight: bool,
    /// When the release call is sent next.
    pub release_at: Duration,
    /// Whether the owner refuses grants that predecessors may still send.
    pub fenced: bool,
    failures: u32,
}

impl PendingRelease {
    /// Returns whether the former owner certainly has no valid grant for the range.
    ///
    /// `predecessors_expire_at` is when every grant of a predecessor has expired, or
    /// `None` while a predecessor may still renew grants. `ttl` is the longest TTL of
    /// any grant.
    pub fn is_cleared(
        &self,
        now: Duration,
        predecessors_expire_at: Option<Duration>,
        ttl: Duration,
    ) -> bool {
        let predecessors_expire_at = match (self.fenced, predecessors_expire_at) {
            (true, _) => Duration::ZERO,
            (false, Some(predecessors_expire_at)) => predecessors_expire_at,
            (false, None) => return self.status == ReleaseStatus::Ended,
        };
        let expired =
            |sent: Duration| now >= predecessors_expire_at && now >= sent + max_grant_age(ttl);
        match self.status {
            ReleaseStatus::Ended => true,
            ReleaseStatus::Released => {
                now >= predecessors_expire_at && self.unanswered.is_none_or(expired)
            }
            ReleaseStatus::Holding => expired(self.sent),
        }
    }

    /// Returns one release for two adjacent ranges with the same former owner.
    fn merged(&self, next: &PendingRelease) -> PendingRelease {
        PendingRelease {
            owner: self.owner,
            status: self.status.min(next.status),
            sent: self.sent.max(next.sent),
            unanswered: self.unanswered.max(next.unanswered),
            in_flight: false,
            release_at: self.release_at.min(next.release_at),
            fenced: self.fenced && next.fenced,
            failures: self.failures.max(next.failures),
        }
    }

    /// Notes a release call that failed, which says nothing of the owner.
    ///
    /// What refuses a connection may be a partition, while the owner serves on connections
    /// that live on.
    pub fn note_failure(&mut self, now: Duration) {
        self.in_flight = false;
        self.failures += 1;
        self.release_at = now + RETRY_BACKOFF * self.failures.min(MAX_BACKOFF_STEPS);
    }
}

/// Pending releases of one range.
pub type PendingReleases = SmallVec<[PendingRelease; 1]>;

/// One range with the progress of its owner's grant.
#[derive(Clone, Debug)]
pub struct AssignmentState {
    pub range: range::KeyRange,
    pub owner: ids::UpstreamKey,
    pub fence: u64,
    pub granted: bool,
    pub pending_releases: PendingReleases,
    /// Token by which the owner takes over the former owner's state.
    pub handover: Option<String>,
    /// When the last grant was sent that the owner may have accepted.
    pub sent: Duration,
    /// When the last grant was sent that got no response.
    pub unanswered: Option<Duration>,
    /// When the last acknowledged grant was sent.
    pub acknowledged: Option<Duration>,
    /// When the grant call in flight was sent.
    pub in_flight: Option<Duration>,
    /// When the grant is sent next; `Duration::MAX` while a raised fencing token is unstored.
    pub grant_at: Duration,
    /// When the range was assigned to its owner.
    pub assigned_at: Duration,
    /// Whether a pending write gives the range to another owner.
    pub changing: bool,
    failures: u32,
}

impl AssignmentState {
    /// Creates the state of a stored assignment, whose grants are unknown.
    ///
    /// They are assumed to have been sent now.
    pub fn from_record(now: Duration, assignment: &record::RangeAssignment) -> AssignmentState {
        let pending_releases = assignment
            .former_owners
            .iter()
            .map(|former| PendingRelease {
                owner: *former,
                status: ReleaseStatus::Holding,
                sent: now,
                unanswered: None,
                in_flight: false,
                release_at: now,
                fenced: false,
                failures: 0,
            });
        AssignmentState {
            range: assignment.range,
            owner: assignment.owner,
            fence: assignment.fence,
            granted: assignment.granted,
            pending_releases: pending_releases.collect(),
            handover: None,
            sent: now,
            unanswered: None,
            acknowledged: None,
            in_flight: None,
            grant_at: now,
            assigned_at: now,
            changing: false,
            failures: 0,
        }
    }

    /// Returns the state of a planned assignment whose write has taken effect.
    ///
    /// The plan decides ranges, owners and fencing tokens only. What was sent and answered
    /// comes from the present states, as grants are renewed until the store takes the write,
    /// which may be seconds later.
    pub fn committed(
        now: Duration,
        planned: &record::RangeAssignment,
        present: &[AssignmentState],
        first_fence: u64,
    ) -> AssignmentState {
        let mut committed: Option<AssignmentState> = None;
        let overlapping = present.iter();
        for state in overlapping.filter(|state| state.range.overlaps(&planned.range)) {
            let part = state.part(state.range.intersection(&planned.range));
            let part = match part.owner == planned.owner {
                true => part,
                false => part.moved(now, planned.owner, planned.fence, first_fence),
            };
            committed = Some(match committed {
                None => part,
                Some(former) => former.merged(now, &part),
            });
        }
        let Some(mut committed) = committed else {
            return AssignmentState::from_record(now, planned);
        };
        committed.changing = false;
        if committed.fence > planned.fence {
            // An upstream refused the token meanwhile; the raised one is not stored yet.
            committed.grant_at = Duration::MAX;
        } else if committed.grant_at == Duration::MAX {
            committed.grant_at = now;
        }
        committed
    }

    /// Creates the state of a range that never had an owner.
    pub fn initial(
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

    /// Returns the assignment as stored in the record.
    pub fn to_record(&self) -> record::RangeAssignment {
        record::RangeAssignment {
            range: self.range,
            owner: self.owner,
            fence: self.fence,
            granted: self.granted,
            former_owners: self
                .pending_releases
                .iter()
                .map(|release| release.owner)
                .collect(),
        }
    }

    /// Returns the state of a part of the range, with the same owner.
    ///
    /// The results of calls in flight for the whole range are not expected for a part.
    pub fn part(&self, range: range::KeyRange) -> AssignmentState {
        let mut part = AssignmentState {
            range,
            ..self.clone()
        };
        if range != self.range {
            part.sent = self.last_sent();
            part.unanswered = self.last_unanswered();
            part.in_flight = None;
            for release in &mut part.pending_releases {
                release.in_flight = false;
            }
        }
        part
    }

    /// Returns when the last grant was sent that the owner may have accepted, or still may.
    pub fn last_sent(&self) -> Duration {
        self.in_flight.map_or(self.sent, |sent| sent.max(self.sent))
    }

    /// Returns when the last grant was sent that has no response so far.
    fn last_unanswered(&self) -> Option<Duration> {
        self.unanswered.max(self.in_flight)
    }

    /// Returns the range's state with another owner.
    ///
    /// That owner is granted the range only after the present owner's release.
    /// `first_fence` is the lowest fencing token that no predecessor can use.
    pub fn moved(
        &self,
        now: Duration,
        owner: ids::UpstreamKey,
        fence: u64,
        first_fence: u64,
    ) -> AssignmentState {
        let mut pending_releases = self.pending_releases.clone();
        pending_releases.push(PendingRelease {
            owner: record::FormerOwner {
                key: self.owner,
                fence: self.fence,
            },
            status: ReleaseStatus::Holding,
            sent: self.last_sent(),
            unanswered: self.last_unanswered(),
            in_flight: false,
            release_at: now,
            fenced: self.is_fenced(first_fence),
            failures: 0,
        });
        let initial = AssignmentState::initial(now, self.range, owner, fence);
        AssignmentState {
            pending_releases,
            // An owner that was never granted the range has not taken its state over.
            handover: self.handover.clone().filter(|_| !self.granted),
            ..initial
        }
    }

    /// Returns whether the owner refuses grants that predecessors may still send.
    pub fn is_fenced(&self, first_fence: u64) -> bool {
        self.fence >= first_fence && self.acknowledged.is_some()
    }

    /// Returns one state for two adjacent ranges with the same owner.
    pub fn merged(&self, now: Duration, next: &AssignmentState) -> AssignmentState {
        let mut pending_releases = self.pending_releases.clone();
        for release in &next.pending_releases {
            let mut known = pending_releases.iter_mut();
            match known.find(|known| known.owner == release.owner) {
                Some(known) => *known = known.merged(release),
                None => pending_releases.push(release.clone()),
            }
        }
        AssignmentState {
            range: range::KeyRange {
                first: self.range.first,
                last: next.range.last,
            },
            fence: self.fence.max(next.fence),
            granted: self.granted && next.granted,
            pending_releases,
            sent: self.last_sent().max(next.last_sent()),
            unanswered: self.last_unanswered().max(next.last_unanswered()),
            in_flight: None,
            // The merged range has not been granted under one fencing token yet.
            acknowledged: None,
            grant_at: now,
            assigned_at: self.assigned_at.max(next.assigned_at),
            ..self.clone()
        }
    }

    /// Returns whether the owner acknowledged its grant and no change is pending.
    pub fn is_settled(&self) -> bool {
        self.granted && self.pending_releases.is_empty() && !self.changing
    }

    /// Returns whether a call for the range is in flight.
    pub fn is_busy(&self) -> bool {
        self.in_flight.is_some()
            || self
                .pending_releases
                .iter()
                .any(|release| release.in_flight)
    }

    /// Returns whether the last grant call failed.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Returns whether the owner's grant has certainly expired.
    pub fn is_expired(
        &self,
        now: Duration,
        predecessors_expire_at: Duration,
        ttl: Duration,
    ) -> bool {
        self.in_flight.is_none()
            && now >= predecessors_expire_at
            && now >= self.sent + max_grant_age(ttl)
    }

    /// Notes that the owner acknowledged a grant sent at `sent`.
    ///
    /// Returns whether the owner had not acknowledged the range before.
    pub fn note_granted(&mut self, sent: Duration, renew_interval: Duration) -> bool {
        self.in_flight = None;
        self.failures = 0;
        self.sent = sent;
        self.acknowledged = Some(sent);
        self.grant_at = sent + renew_interval;
        self.handover = None;
        let first = !self.granted;
        self.granted = true;
        self.pending_releases.clear();
        first
    }

    /// Notes a grant call that failed; `delivered` if the upstream may have received it.
    pub fn note_failure(
        &mut self,
        now: Duration,
        sent: Duration,
        delivered: bool,
        renew_interval: Duration,
    ) {
        self.in_flight = None;
        self.failures += 1;
        if delivered {
            self.sent = sent;
            self.unanswered = Some(sent);
        }
        let backoff = RETRY_BACKOFF * self.failures.min(MAX_BACKOFF_STEPS);
        self.grant_at = now + backoff.min(renew_interval);
    }
}
