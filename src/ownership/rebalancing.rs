//! Rebalancing: the choice of ranges that move to another owner.
//!
//! Most load comes from a few hot keys, which lie close together. Therefore the
//! narrowest part of an overloaded owner's ranges that carries its excess load
//! moves to the least loaded upstream.

use crate::ids;
use crate::limits;
use crate::ownership::{assignment, load};
use crate::range;
use std::collections::BTreeMap;
use std::time::Duration;

/// Interval of rebalancing.
pub const REBALANCE_INTERVAL: Duration = Duration::from_millis(300);

/// Time after a move for which a range is not moved for its load.
const MOVE_COOLDOWN: Duration = Duration::from_millis(900);

/// Most moves of one rebalancing.
const MAX_MOVES: usize = 12;

/// Ratio of an owner's load to its fair share above which it counts as overloaded.
const OVERLOAD_RATIO: f32 = 1.35;

/// Share of an owner's slots or limit in use up to which it does not count as overloaded.
const MIN_USE: f32 = 0.6;

/// Standard deviations by which a load must exceed the fair share.
///
/// A smaller excess may be chance.
const MIN_DEVIATIONS: f32 = 2.5;

/// [`MIN_DEVIATIONS`] of an owner that states a limit.
const MIN_LIMITED_DEVIATIONS: f32 = 1.0;

/// Least capacity of an upstream that states a limit.
const MIN_CAPACITY: f32 = 0.05;

/// Counted requests of the whole service below which no range moves for its load.
const MIN_TOTAL_LOAD: f32 = 60.0;

/// Share of the mean load of an upstream below which a move is not worth its cost.
///
/// The pattern: among hundreds of upstreams the fair share of one is a small part of the
/// service's load, and yet all that a slow one can take.
const MIN_MOVE_SHARE: f32 = 0.13;

/// Ranges for each upstream beyond which no range moves for its load, as a fraction.
///
/// The pattern: chance makes some of hundreds of owners look overloaded at every moment, and
/// each move splits a range. Every range is renewed by itself, so that many of them would
/// lengthen the grants, and with them the time until a lost owner is replaced.
const MAX_RANGES: (usize, usize) = (3, 2);

/// Ranges that may exist in any case.
const MIN_MAX_RANGES: usize = 120;

/// Load added for the mere size of all ranges, as a share of the service's load.
const SIZE_LOAD_SHARE: f32 = 0.05;

/// Share of the mean load of an upstream up to which a lost range is not divided.
const UNDIVIDED_SHARE: f32 = 0.35;

/// Most parts into which a lost owner's range is divided.
const MAX_PARTS: usize = 4;

/// A part of a range and its next owner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RangeMove {
    pub range: range::KeyRange,
    pub to: ids::UpstreamKey,
}

/// Capacity of an upstream.
#[derive(Clone, Copy, Debug)]
pub struct OwnerCapacity {
    pub key: ids::UpstreamKey,
    /// Load that it can take, relative to other upstreams.
    pub capacity: f32,
    /// Share of its slots, or of its limit, that each unit of counted load uses.
    pub use_per_count: f32,
    /// Whether it states a limit on its requests.
    pub is_limited: bool,
}

impl OwnerCapacity {
    /// Returns the capacity of the upstream under a limit that it states.
    ///
    /// `mean_latency` is that of all owners, to which capacities refer.
    pub fn limited(self, rate: limits::RequestRate, mean_latency: Duration) -> OwnerCapacity {
        let per_second = rate.per_second() as f32;
        let count_time = load::LoadMap::mean_count_time().as_secs_f32();
        let slots = per_second * mean_latency.as_secs_f32();
        OwnerCapacity {
            capacity: self.capacity.min(slots.max(MIN_CAPACITY)),
            use_per_count: self.use_per_count.max(1.0 / (per_second * count_time)),
            is_limited: true,
            ..self
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct OwnerLoad {
    load: f32,
    capacity: f32,
    use_per_count: f32,
    is_limited: bool,
    range_count: usize,
}

impl OwnerLoad {
    fn relative_load(&self) -> f32 {
        self.load / self.capacity
    }
}

/// Loads of the upstreams to which ranges may be assigned.
#[derive(Debug)]
pub struct OwnerLoads {
    entries: BTreeMap<ids::UpstreamKey, OwnerLoad>,
}

impl OwnerLoads {
    /// Sums up the load of each upstream's ranges.
    pub fn new(
        capacities: impl Iterator<Item = OwnerCapacity>,
        assignments: &[assignment::AssignmentState],
        load: &load::LoadMap,
    ) -> OwnerLoads {
        let entry = |owner: OwnerCapacity| OwnerLoad {
            load: 0.0,
            capacity: owner.capacity,
            use_per_count: owner.use_per_count,
            is_limited: owner.is_limited,
            range_count: 0,
        };
        let mut entries: BTreeMap<_, _> =
            capacities.map(|owner| (owner.key, entry(owner))).collect();
        let load_per_bucket = load.total().max(1.0) * SIZE_LOAD_SHARE / load::BUCKETS as f32;
        for assignment in assignments {
            if let Some(entry) = entries.get_mut(&assignment.owner) {
                let size_load = load_per_bucket * load.width(&assignment.range);
                entry.load += load.load(&assignment.range) + size_load;
                entry.range_count += 1;
            }
        }
        OwnerLoads { entries }
    }

    /// Returns the load per unit of capacity.
    fn mean_relative_load(&self) -> f32 {
        let load: f32 = self.entries.values().map(|entry| entry.load).sum();
        let capacity: f32 = self.entries.values().map(|entry| entry.capacity).sum();
        load / capacity.max(1.0)
    }

    /// Returns the load per upstream.
    fn mean_load(&self) -> f32 {
        let load: f32 = self.entries.values().map(|entry| entry.load).sum();
        load / self.entries.len().max(1) as f32
    }

    /// Returns the upstream with the least load relative to its capacity.
    pub fn least_loaded(&self) -> Option<ids::UpstreamKey> {
        let entries = self.entries.iter();
        let least_loaded = entries
            .min_by(|(_, one), (_, other)| one.relative_load().total_cmp(&other.relative_load()));
        least_loaded.map(|(key, _)| *key)
    }

    /// Returns all upstreams, the most loaded ones first.
    fn by_descending_load(&self) -> Vec<ids::UpstreamKey> {
        let mut entries: Vec<_> = self.entries.iter().collect();
        entries
            .sort_by(|(_, one), (_, other)| other.relative_load().total_cmp(&one.relative_load()));
        entries.into_iter().map(|(key, _)| *key).collect()
    }

    /// Removes an upstream, unless it is the last one.
    pub fn remove(&mut self, key: ids::UpstreamKey) {
        if self.entries.len() > 1 {
            self.entries.remove(&key);
        }
    }

    /// Adds to an upstream's load and counts one more range of it.
    pub fn add(&mut self, key: ids::UpstreamKey, amount: f32) {
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.load += amount;
            entry.range_count += 1;
        }
    }
}

/// Divides a range that its owner loses among the least loaded upstreams.
pub fn replace_owner(
    loads: &mut OwnerLoads,
    load: &load::LoadMap,
    lost: &range::KeyRange,
) -> Vec<RangeMove> {
    let mut moves = Vec::new();
    let share = loads.mean_load() * UNDIVIDED_SHARE;
    let parts = (load.load(lost) / share.max(1.0)).ceil() as usize;
    let parts = parts.clamp(1, MAX_PARTS.min(loads.entries.len().max(1)));
    for part in load.divide(lost, parts) {
        if let Some(to) = loads.least_loaded() {
            loads.add(to, load.load(&part).max(1.0));
            moves.push(RangeMove { range: part, to });
        }
    }
    moves
}

/// Part of an owner's range that may still be moved.
#[derive(Clone, Copy, Debug)]
struct MovablePart {
    range: range::KeyRange,
    owner: ids::UpstreamKey,
}

/// Chooses moves that take load off overloaded owners.
pub fn rebalance(
    now: Duration,
    assignments: &[assignment::AssignmentState],
    loads: &mut OwnerLoads,
    load: &load::LoadMap,
) -> Vec<RangeMove> {
    let mut moves: Vec<RangeMove> = Vec::new();
    let max_ranges = (loads.entries.len() * MAX_RANGES.0 / MAX_RANGES.1).max(MIN_MAX_RANGES);
    if load.total() < MIN_TOTAL_LOAD || assignments.len() >= max_ranges {
        return moves;
    }
    let movable = assignments.iter().filter(|assignment| {
        assignment.is_settled()
            && !assignment.is_busy()
            && now >= assignment.assigned_at + MOVE_COOLDOWN
    });
    let mut parts: Vec<MovablePart> = movable
        .map(|assignment| MovablePart {
            range: assignment.range,
            owner: assignment.owner,
        })
        .collect();
    while moves.len() < MAX_MOVES {
        let Some((from, chosen)) = choose_move(&parts, loads, load) else {
            break;
        };
        let amount = load.load(&chosen.range);
        loads.add(from, -amount);
        loads.add(chosen.to, amount);
        split_off(&mut parts, &chosen.range);
        moves.push(chosen);
    }
    moves
}

/// Removes a chosen range from the parts that may still be moved.
fn split_off(parts: &mut Vec<MovablePart>, chosen: &range::KeyRange) {
    let found = parts.iter().position(|part| part.range.overlaps(chosen));
    let Some(index) = found else { return };
    let part = parts.swap_remove(index);
    if part.range.first < chosen.first {
        parts.push(MovablePart {
            range: range::KeyRange {
                first: part.range.first,
                last: chosen.first - 1,
            },
            ..part
        });
    }
    if chosen.last < part.range.last {
        parts.push(MovablePart {
            range: range::KeyRange {
                first: chosen.last + 1,
                last: part.range.last,
            },
            ..part
        });
    }
}

/// Chooses the next move and returns it with the present owner.
fn choose_move(
    parts: &[MovablePart],
    loads: &OwnerLoads,
    load: &load::LoadMap,
) -> Option<(ids::UpstreamKey, RangeMove)> {
    let mean = loads.mean_relative_load();
    let to = loads.least_loaded()?;
    let target = loads.entries[&to];
    let room = mean * target.capacity - target.load;
    let min_amount = loads.mean_load() * MIN_MOVE_SHARE;
    for from in loads.by_descending_load() {
        let source = loads.entries[&from];
        let fair_share = mean * source.capacity;
        // What exceeds a limit is refused, while other owners only become slower.
        let deviations = match source.is_limited {
            true => MIN_LIMITED_DEVIATIONS,
            false => MIN_DEVIATIONS,
        };
        let deviation = deviations * fair_share.max(1.0).sqrt();
        let overloaded = source.load > (fair_share * OVERLOAD_RATIO).max(fair_share + deviation)
            && source.load * source.use_per_count > MIN_USE;
        // An upstream without ranges, which has just joined, gets its share even if no
        // owner is overloaded.
        let joins = target.range_count == 0;
        if from == to || !(overloaded || joins) {
            continue;
        }
        let excess = source.load - fair_share;
        let amount = if joins {
            room.min(source.load / 2.0)
        } else {
            excess.min(room)
        };
        if amount < min_amount {
            continue;
        }
        let (min_load, max_load) = (amount * 0.6, amount * 1.25);
        let part = parts
            .iter()
            .filter(|part| part.owner == from)
            .filter_map(|part| load.find_part(&part.range, min_load, max_load))
            .min_by_key(|part| part.last - part.first);
        if let Some(range) = part {
            return Some((from, RangeMove { range, to }));
        }
    }
    None
}
