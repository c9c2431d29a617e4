//! Leveling of ranges over upstreams.
//!
//! Moves one range at a time from the upstream with the most ranges to the one
//! with the fewest, so upstreams that join or return get their part while few keys
//! change hands at once.

use std::time::Duration;

/// Pause between two moves within a service.
pub const MOVE_INTERVAL: Duration = Duration::from_millis(1000);

/// Difference in ranges that is left as it is.
const TOLERANCE: usize = 1;

/// Ranges of one upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UpstreamLoad {
    /// Position among the controller's upstreams.
    pub position: usize,
    pub ranges: usize,
}

/// A move that levels the load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RangeMove {
    pub from: usize,
    pub to: usize,
}

/// Chooses the next move; `None` if the load is level.
pub fn choose_move(loads: &[UpstreamLoad]) -> Option<RangeMove> {
    let most = loads.iter().max_by_key(|load| load.ranges)?;
    let fewest = loads.iter().min_by_key(|load| load.ranges)?;
    let uneven = most.ranges > fewest.ranges + TOLERANCE;
    uneven.then_some(RangeMove {
        from: most.position,
        to: fewest.position,
    })
}
