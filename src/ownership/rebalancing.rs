//! Rebalancing: the choice of ranges that move to another owner.
//!
//! Most load comes from a few hot keys, which lie close together. Therefore the
//! narrowest part of an overloaded owner's ranges that carries its excess load
//! moves to the least loaded upstream.

use crate::ids;
use crate::limits;
use crate::ownership::{assignment, load};
use crate::range;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Interval of rebalancing in a small service.
const MIN_REBALANCE_INTERVAL: Duration = Duration::from_millis(300);

/// Interval of rebalancing for each range.
///
/// Each time the record is written, and announced to all instances.
const REBALANCE_TIME_PER_RANGE: Duration = Duration::from_micros(2500);

/// Time after a move for which a range is not moved for its load.
const MOVE_COOLDOWN: Duration = Duration::from_millis(900);

/// Most moves of one rebalancing, and upstreams for each more that is allowed.
const MAX_MOVES: usize = 12;
const UPSTREAMS_PER_MOVE: usize = 4;

/// Share of the service's load that one rebalancing moves between owners of which none has
/// twice its fair share.
///
/// Requests for moved keys wait until the former owner has ended what it runs for them.
const MAX_STEADY_SHARE: f32 = 0.015;

/// Time after a move for which a range is not moved to join another one.
const JOIN_COOLDOWN: Duration = Duration::from_secs(2);

/// Most ranges that one rebalancing moves to join others, and upstreams for each more.
const MAX_JOINS: usize = 6;
const UPSTREAMS_PER_JOIN: usize = 8;

/// Share of the mean load of an upstream up to which a range is moved to join another one.
const MAX_JOIN_SHARE: f32 = 0.35;

/// Ratio of an owner's load to its fair share above which it counts as overloaded.
const OVERLOAD_RATIO: f32 = 1.35;

/// Ratio of an owner's load to its fair share above which a part is split off for the least
/// loaded owner; below, an adjacent owner takes it.
const SPLIT_RATIO: f32 = 2.0;

/// Share of its fair share that the least loaded owner lacks if it is to get a part from any
/// overloaded one.
const IDLE_SHARE: f32 = 0.6;

/// [`OVERLOAD_RATIO`] of an owner that has more requests than slots.
///
/// Its queue grows for as long as it gets more than its share.
const QUEUEING_RATIO: f32 = 1.1;

/// Ratio of the used share of its slots to the mean of all owners from which it counts so.
///
/// Where all have queues, moves only delay what is queued.
const QUEUEING_USE_RATIO: f32 = 1.3;

/// Standard deviations that suffice for such an owner.
const QUEUEING_DEVIATIONS: f32 = 1.0;

/// Share of an owner's slots or limit in use up to which it does not count as overloaded.
const MIN_USE: f32 = 0.6;

/// Least standard deviations by which a load must exceed the fair share.
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

/// Ranges for each upstream beyond which no part is split off for its load, as a fraction.
///
/// The pattern: each key that is hot for a while is split off and leaves pieces behind.
/// Every range is renewed by itself, so that many of them would lengthen the grants, and
/// with them the time until a lost owner is replaced.
const MAX_RANGES: (usize, usize) = (3, 2);

/// Ranges for each upstream beyond which no part moves to an adjacent owner, as a fraction.
///
/// The part joins its neighbour only some seconds later, and hot keys need the rest.
const MAX_UNJOINED_RANGES: (usize, usize) = (4, 3);

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
    /// Variance of the load as it is measured.
    variance: f32,
    capacity: f32,
    use_per_count: f32,
    is_limited: bool,
    range_count: usize,
}

impl OwnerLoad {
    fn relative_load(&self) -> f32 {
        self.load / self.capacity
    }

    /// Returns whether the owner has more than its fair share, by more than chance, and uses
    /// much of its slots or limit.
    fn is_overloaded(&self, fair_share: f32, deviations: f32, mean_use: f32) -> bool {
        let used = self.load * self.use_per_count;
        let (ratio, deviations) = match self.is_limited {
            // What exceeds a limit is refused, while other owners only become slower.
            true => (OVERLOAD_RATIO, MIN_LIMITED_DEVIATIONS),
            false if used > (mean_use * QUEUEING_USE_RATIO).max(1.0) => {
                (QUEUEING_RATIO, QUEUEING_DEVIATIONS)
            }
            false => (OVERLOAD_RATIO, deviations),
        };
        let variance = fair_share.max(1.0) * self.variance / self.load.max(1.0);
        let threshold = (fair_share * ratio).max(fair_share + deviations * variance.sqrt());
        self.load > threshold && used > MIN_USE
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
            variance: 0.0,
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
                entry.variance += load.variance(&assignment.range);
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

    /// Returns the mean share of their slots that the upstreams use; more than 1 with queues.
    fn mean_use(&self) -> f32 {
        let entries = self.entries.values();
        let used: f32 = entries.map(|entry| entry.load * entry.use_per_count).sum();
        used / self.entries.len().max(1) as f32
    }

    /// Returns whether the least loaded upstream lacks most of its fair share.
    fn is_any_idle(&self) -> bool {
        let mean = self.mean_relative_load();
        let least = self.least_loaded().map(|key| self.entries[&key]);
        least.is_some_and(|least| least.relative_load() < mean * (1.0 - IDLE_SHARE))
    }

    /// Returns the deviation of the greatest of all loads that is still chance.
    fn chance_deviations(&self) -> f32 {
        let greatest = (2.0 * (self.entries.len().max(1) as f32).ln()).sqrt();
        greatest.max(MIN_DEVIATIONS)
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

/// Returns the interval of rebalancing with a number of ranges.
pub fn rebalance_interval(ranges: usize) -> Duration {
    MIN_REBALANCE_INTERVAL.max(REBALANCE_TIME_PER_RANGE * ranges as u32)
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

/// Chooses moves that take load off overloaded owners, or that reduce the ranges.
///
/// `assignments` are in the order of the key space.
pub fn rebalance(
    now: Duration,
    assignments: &[assignment::AssignmentState],
    loads: &mut OwnerLoads,
    load: &load::LoadMap,
) -> Vec<RangeMove> {
    let mut moves: Vec<RangeMove> = Vec::new();
    if load.total() < MIN_TOTAL_LOAD {
        return moves;
    }
    let upstreams = loads.entries.len();
    let max_ranges = (upstreams * MAX_RANGES.0 / MAX_RANGES.1).max(MIN_MAX_RANGES);
    let max_unjoined = upstreams * MAX_UNJOINED_RANGES.0 / MAX_UNJOINED_RANGES.1;
    let split_ratio = match upstreams > MIN_MAX_RANGES {
        true => SPLIT_RATIO,
        false => OVERLOAD_RATIO,
    };
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
    let max_moves = MAX_MOVES.max(upstreams / UPSTREAMS_PER_MOVE);
    let max_steady_load = load.total() * MAX_STEADY_SHARE;
    let mut steady_load = 0.0;
    while moves.len() < max_moves {
        let may_split = assignments.len() + 2 * moves.len() < max_ranges;
        let mut chosen = None;
        if may_split {
            chosen = choose_move(&parts, loads, load, split_ratio);
        }
        let is_steady = chosen.is_none();
        if is_steady && upstreams > MIN_MAX_RANGES && steady_load < max_steady_load {
            if may_split && loads.is_any_idle() {
                chosen = choose_move(&parts, loads, load, OVERLOAD_RATIO);
            }
            chosen = chosen.or_else(|| choose_whole_move(&parts, loads, load));
            if chosen.is_none() && assignments.len() + moves.len() < max_unjoined {
                chosen = choose_end_move(&parts, assignments, loads, load);
            }
        }
        let Some((from, chosen)) = chosen else { break };
        let amount = load.load(&chosen.range);
        if is_steady {
            steady_load += amount;
        }
        loads.add(from, -amount);
        loads.add(chosen.to, amount);
        split_off(&mut parts, &chosen.range);
        moves.push(chosen);
    }
    if assignments.len() > upstreams.max(MIN_MAX_RANGES) {
        let parts = parts.iter().map(|part| part.range);
        let unmoved: BTreeSet<_> = parts.map(|range| (range.first, range.last)).collect();
        let joins = choose_joins(now, assignments, &unmoved, max_steady_load, loads, load);
        moves.extend(joins);
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
    split_ratio: f32,
) -> Option<(ids::UpstreamKey, RangeMove)> {
    let mean = loads.mean_relative_load();
    let to = loads.least_loaded()?;
    let target = loads.entries[&to];
    let room = mean * target.capacity - target.load;
    let min_amount = loads.mean_load() * MIN_MOVE_SHARE;
    let deviations = loads.chance_deviations();
    let mean_use = loads.mean_use();
    for from in loads.by_descending_load() {
        let source = loads.entries[&from];
        let fair_share = mean * source.capacity;
        // An upstream without ranges, which has just joined, gets its share even if no
        // owner is overloaded.
        let joins = target.range_count == 0;
        let overloaded = source.is_overloaded(fair_share, deviations, mean_use)
            && (source.load > fair_share * split_ratio
                || room > mean * target.capacity * IDLE_SHARE);
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
        let (min_load, max_load) = move_bounds(amount);
        let part = parts
            .iter()
            .filter(|part| part.owner == from)
            .filter_map(|part| load.find_part(&part.range, min_load, max_load))
            .min_by_key(|part| part.last - part.first);
        // A key may be too hot for any fair share, and yet better off on its own. The hottest
        // one stays, since it would have no owner until all that runs for it has ended.
        let hot = || {
            let most = (source.load - target.load - min_amount).min(source.load / 2.0);
            let parts = parts.iter().filter(|part| part.owner == from);
            let hot = parts.filter_map(|part| load.find_hot_bucket(&part.range, max_load));
            let better = hot.filter(|(_, amount)| *amount < most);
            let lightest = better.min_by(|one, other| one.1.total_cmp(&other.1));
            lightest.map(|(range, _)| range)
        };
        if let Some(range) = part.or_else(hot) {
            return Some((from, RangeMove { range, to }));
        }
    }
    None
}

/// Chooses the next move of a whole range, and returns it with the present owner.
fn choose_whole_move(
    parts: &[MovablePart],
    loads: &OwnerLoads,
    load: &load::LoadMap,
) -> Option<(ids::UpstreamKey, RangeMove)> {
    let mean = loads.mean_relative_load();
    let to = loads.least_loaded()?;
    let target = loads.entries[&to];
    let room = mean * target.capacity - target.load;
    let min_amount = loads.mean_load() * MIN_MOVE_SHARE;
    let deviations = loads.chance_deviations();
    let mean_use = loads.mean_use();
    for from in loads.by_descending_load() {
        let source = loads.entries[&from];
        let fair_share = mean * source.capacity;
        let amount = (source.load - fair_share).min(room);
        if from == to
            || amount < min_amount
            || !source.is_overloaded(fair_share, deviations, mean_use)
        {
            continue;
        }
        let (min_load, max_load) = move_bounds(amount);
        let fits = |part: &&MovablePart| {
            (min_load..=max_load).contains(&load.load(&part.range)) && part.owner == from
        };
        if let Some(part) = parts.iter().find(fits) {
            let range = part.range;
            return Some((from, RangeMove { range, to }));
        }
    }
    None
}

/// Returns the bounds of the load of a part that is to carry about `amount`.
fn move_bounds(amount: f32) -> (f32, f32) {
    (amount * 0.6, amount * 1.25)
}

/// Chooses the next move to the owner of an adjacent range, which the moved part joins, and
/// returns it with the present owner.
fn choose_end_move(
    parts: &[MovablePart],
    assignments: &[assignment::AssignmentState],
    loads: &OwnerLoads,
    load: &load::LoadMap,
) -> Option<(ids::UpstreamKey, RangeMove)> {
    let mean = loads.mean_relative_load();
    let min_amount = loads.mean_load() * MIN_MOVE_SHARE;
    let deviations = loads.chance_deviations();
    let mean_use = loads.mean_use();
    for from in loads.by_descending_load() {
        let source = loads.entries[&from];
        let fair_share = mean * source.capacity;
        if !source.is_overloaded(fair_share, deviations, mean_use) {
            continue;
        }
        let mut best: Option<(f32, RangeMove)> = None;
        for part in parts.iter().filter(|part| part.owner == from) {
            for end in [load::RangeEnd::First, load::RangeEnd::Last] {
                let Some(to) = neighbour(assignments, &part.range, end) else {
                    continue;
                };
                let Some(target) = loads.entries.get(&to).filter(|_| to != from) else {
                    continue;
                };
                let room = mean * target.capacity - target.load;
                let amount = (source.load - fair_share).min(room);
                if amount < min_amount || best.is_some_and(|(most, _)| most >= amount) {
                    continue;
                }
                let (min_load, max_load) = move_bounds(amount);
                let range = load.find_end_part(&part.range, end, min_load, max_load);
                best = range.map_or(best, |range| Some((amount, RangeMove { range, to })));
            }
        }
        if let Some((_, chosen)) = best {
            return Some((from, chosen));
        }
    }
    None
}

/// Returns the owner of the range next to one end of a range.
fn neighbour(
    assignments: &[assignment::AssignmentState],
    range: &range::KeyRange,
    end: load::RangeEnd,
) -> Option<ids::UpstreamKey> {
    let key = match end {
        load::RangeEnd::First => range.first.checked_sub(1)?,
        load::RangeEnd::Last => range.last.checked_add(1)?,
    };
    let index = assignments.partition_point(|assignment| assignment.range.last < key);
    let found = assignments.get(index)?;
    (found.range.first <= key).then_some(found.owner)
}

/// Chooses ranges of little load that move to the owner of an adjacent one and join it.
///
/// Those of the least load come first; together they have no more than `most`.
fn choose_joins(
    now: Duration,
    assignments: &[assignment::AssignmentState],
    unmoved: &BTreeSet<(u64, u64)>,
    most: f32,
    loads: &mut OwnerLoads,
    load: &load::LoadMap,
) -> Vec<RangeMove> {
    let max_joins = MAX_JOINS.max(loads.entries.len() / UPSTREAMS_PER_JOIN);
    let mean = loads.mean_relative_load();
    let max_load = loads.mean_load() * MAX_JOIN_SHARE;
    let mean_width = load::BUCKETS as f32 / loads.entries.len().max(1) as f32;
    let mut moves: Vec<RangeMove> = Vec::new();
    let mut owners: Vec<ids::UpstreamKey> = Vec::new();
    let mut left = most;
    let pieces = assignments
        .iter()
        .map(|piece| (load.load(&piece.range), piece));
    let mut pieces: Vec<_> = pieces.filter(|(amount, _)| *amount <= max_load).collect();
    pieces.sort_by(|one, other| one.0.total_cmp(&other.0));
    for (amount, piece) in pieces {
        let range = piece.range;
        let rests = unmoved.contains(&(range.first, range.last));
        let several = loads.entries.get(&piece.owner);
        if !rests
            || now < piece.assigned_at + JOIN_COOLDOWN
            || several.is_none_or(|owner| owner.range_count < 2)
            || amount > left
            || load.width(&range) > mean_width
            || owners.contains(&piece.owner)
        {
            continue;
        }
        let ends = [load::RangeEnd::First, load::RangeEnd::Last];
        let neighbours = ends
            .into_iter()
            .filter_map(|end| neighbour(assignments, &range, end));
        let to = neighbours.filter(|to| *to != piece.owner).find(|to| {
            let target = loads.entries.get(to);
            let has_room = |target: &OwnerLoad| target.load + amount <= mean * target.capacity;
            !owners.contains(to) && target.is_some_and(has_room)
        });
        let Some(to) = to else { continue };
        left -= amount;
        loads.add(piece.owner, -amount);
        loads.add(to, amount);
        owners.extend([piece.owner, to]);
        moves.push(RangeMove { range, to });
        if moves.len() == max_joins {
            break;
        }
    }
    moves
}
