//! Rebalancing of a service's ranges over its upstreams.
//!
//! One range at a time moves from the upstream with the most ranges to the one
//! with the fewest, so that upstreams which join or return get their share while
//! only few keys change owners at once.

use std::time::Duration;

/// Minimum time between the moves of a service.
pub const MOVE_INTERVAL: Duration = Duration::from_millis(1000);

/// Difference between the counts of ranges up to which nothing is moved.
const MAX_IMBALANCE: usize = 1;

/// Number of ranges that one upstream has.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UpstreamLoad {
    /// Index into the controller's upstreams.
    pub index: usize,
    pub ranges: usize,
}

/// Move of one range between two upstreams, given by their indexes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RangeMove {
    pub from: usize,
    pub to: usize,
}

/// Chooses the next move; `None` if the load is balanced.
pub fn choose_move(loads: &[UpstreamLoad]) -> Option<RangeMove> {
    let most = loads.iter().max_by_key(|load| load.ranges)?;
    let fewest = loads.iter().min_by_key(|load| load.ranges)?;
    let uneven = most.ranges > fewest.ranges + MAX_IMBALANCE;
    uneven.then_some(RangeMove {
        from: most.index,
        to: fewest.index,
    })
}
