//! Grants: what an upstream may own, and for how long.
//!
//! An upstream holds one [`GrantSet`] at a time. Its renewers renew the set as a
//! whole; an upstream that hears from none of them for [`GRANT_TTL`] owns nothing.
//! The expiry is counted on the upstream's own clock from the moment it sent the
//! heartbeat that the renewal answers, so neither a delayed renewal nor a pause
//! anywhere can stretch it.

use crate::ids;
use crate::range;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::fmt;
use std::time::Duration;

/// Life of a grant after the heartbeat that a renewal answers.
pub const GRANT_TTL: Duration = Duration::from_millis(600);

/// Interval of an upstream's heartbeats to each of its renewers.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

/// Silence after which a renewer suspects an upstream.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(350);

/// Largest rate difference between two clocks, in parts per thousand.
pub const CLOCK_DRIFT_PERMILLE: u32 = 5;

/// Returns how long after its last renewal a renewer must count a grant as held.
///
/// Longer than [`GRANT_TTL`] by the drift margin, since the upstream measures the
/// time to live on another clock.
pub fn expiry_bound() -> Duration {
    GRANT_TTL + GRANT_TTL * CLOCK_DRIFT_PERMILLE / 1000
}

/// Renewers of one upstream.
pub type RenewerList = SmallVec<[ids::InstanceKey; 3]>;

/// Fence number of a grant set: later sets of a service compare greater.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct GrantGeneration {
    /// Term of the controller that issued the set.
    pub term: u32,
    /// Order within the term, over all upstreams of the service.
    pub counter: u32,
}

impl fmt::Display for GrantGeneration {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.term, self.counter)
    }
}

/// Everything an upstream may own under one fence number.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct GrantSet {
    pub generation: GrantGeneration,
    /// Run of the upstream that the set is for; another run never takes it.
    pub incarnation: u64,
    /// Instances whose renewals the upstream accepts.
    pub renewers: RenewerList,
    pub ranges: Vec<range::KeyRange>,
}

impl GrantSet {
    /// Returns whether the set covers `hash`.
    pub fn contains(&self, hash: range::KeyHash) -> bool {
        self.ranges.iter().any(|range| range.contains(hash))
    }
}
