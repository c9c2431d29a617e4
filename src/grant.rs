//! Grants: time-limited permission of an upstream to own key ranges.
//!
//! An upstream holds one [`GrantSet`] at a time and sends heartbeats to the
//! set's renewers, a few instances that renew the set as a whole. An upstream
//! whose heartbeats none of them answers for [`GRANT_TTL`] owns nothing. The TTL
//! starts when the upstream sends the heartbeat that a renewal answers, on the
//! upstream's own clock, so neither a delayed renewal nor a paused process can
//! extend it.

use crate::ids;
use crate::range;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::fmt;
use std::time::Duration;

/// Time for which a grant is valid after the heartbeat that a renewal answers.
pub const GRANT_TTL: Duration = Duration::from_millis(600);

/// Interval at which an upstream sends a heartbeat to each of its renewers.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

/// Time without heartbeats after which a renewer reports an upstream as silent.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(350);

/// Largest assumed rate difference between two clocks, in parts per thousand.
pub const MAX_CLOCK_DRIFT_PERMILLE: u32 = 5;

/// Returns the time after a renewer's last renewal until the grant has certainly
/// expired.
///
/// It exceeds [`GRANT_TTL`] by a margin for clock drift, since the upstream
/// measures the TTL on another clock.
pub fn expiry_bound() -> Duration {
    GRANT_TTL + GRANT_TTL * MAX_CLOCK_DRIFT_PERMILLE / 1000
}

/// Instances that renew one upstream's grants.
pub type RenewerList = SmallVec<[ids::InstanceKey; 3]>;

/// Fencing token of a grant set: later sets of a service compare greater.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct GrantGeneration {
    /// Term of the controller that issued the set.
    pub term: u32,
    /// Sequence number within the term, over all upstreams of the service.
    pub counter: u32,
}

impl fmt::Display for GrantGeneration {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.term, self.counter)
    }
}

/// All ranges that an upstream may own under one fencing token.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct GrantSet {
    pub generation: GrantGeneration,
    /// Run of the upstream that the set is for; other runs reject it.
    pub incarnation: u64,
    /// Only these instances renew the set.
    pub renewers: RenewerList,
    pub ranges: Vec<range::KeyRange>,
}

impl GrantSet {
    /// Returns whether the set covers `hash`.
    pub fn contains(&self, hash: range::KeyHash) -> bool {
        self.ranges.iter().any(|range| range.contains(hash))
    }
}
