//! What upstreams say of themselves in their responses, besides their limits, and what
//! ends them.
//!
//! ```text
//! departures::DepartureTable    upstreams that leave
//! pauses::PauseTable            upstreams that want no requests for a stated time
//! crashes::CrashTable           requests under which upstreams ended
//! ```
//!
//! The first two bind this instance at once, whatever the metadata store or another instance
//! says, since nobody knows better than the upstream itself.

pub mod crashes;
pub mod departures;
pub mod pauses;

use std::time::Duration;

/// What the responses that arrived for one request say of their upstream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct UpstreamNotice {
    /// Whether the upstream leaves.
    pub leaving: bool,
    /// Time for which the upstream wants no requests from this instance.
    pub pause: Option<Duration>,
}

impl UpstreamNotice {
    /// Adds what another response says.
    pub fn merge(&mut self, other: UpstreamNotice) {
        self.leaving |= other.leaving;
        self.pause = self.pause.max(other.pause);
    }
}
