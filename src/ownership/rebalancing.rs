//! Rebalancing: the choice of ranges that move to another owner.
//!
//! Most load comes from a few hot keys, which lie close together. Therefore the
//! narrowest part of an overloaded owner's ranges that carries its excess load
//! moves to the least loaded upstream.
//!
//! Among hundreds of owners such splits are for those of twice their fair share. Others pass
//! whole ranges on, or one end of a range to the owner of the adjacent one, which it joins;
//! and what a key that is not hot any more left behind joins its neighbour again.

use crate::ids;
use crate::ownership::{assignment, load, owner_loads};
use crate::range;
use std::collections::BTreeSet;
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

/// Ratio of an owner's load to its fair share above which a part is split off for the least
/// loaded owner; below, an adjacent owner takes it.
const SPLIT_RATIO: f32 = 2.0;

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

/// Upstreams above which splits are kept for owners of twice their fair share.
///
/// A smaller service has ranges to spare, since [`MIN_MAX_RANGES`] may exist in any case.
const LARGE_SERVICE: usize = MIN_MAX_RANGES;

/// Ranges that may exist in any case.
const MIN_MAX_RANGES: usize = 120;

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

/// Returns the interval of rebalancing with a number of ranges.
pub fn rebalance_interval(ranges: usize) -> Duration {
    MIN_REBALANCE_INTERVAL.max(REBALANCE_TIME_PER_RANGE * ranges as u32)
}

/// Divides a range that its owner loses among the least loaded upstreams.
pub fn replace_owner(
    loads: &mut owner_loads::OwnerLoads,
    load: &load::LoadMap,
    lost: &range::KeyRange,
) -> Vec<RangeMove> {
    let mut moves = Vec::new();
    let share = loads.mean_load() * UNDIVIDED_SHARE;
    let parts = (load.load(lost) / share.max(1.0)).ceil() as usize;
    let parts = parts.clamp(1, MAX_PARTS.min(loads.count().max(1)));
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
    loads: &mut owner_loads::OwnerLoads,
    load: &load::LoadMap,
) -> Vec<RangeMove> {
    let mut moves: Vec<RangeMove> = Vec::new();
    if load.total() < MIN_TOTAL_LOAD {
        return moves;
    }
    let upstreams = loads.count();
    let max_ranges = (upstreams * MAX_RANGES.0 / MAX_RANGES.1).max(MIN_MAX_RANGES);
    let max_unjoined = upstreams * MAX_UNJOINED_RANGES.0 / MAX_UNJOINED_RANGES.1;
    let split_ratio = match upstreams > LARGE_SERVICE {
        true => SPLIT_RATIO,
        false => owner_loads::OVERLOAD_RATIO,
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
        if is_steady && upstreams > LARGE_SERVICE && steady_load < max_steady_load {
            chosen = choose_whole_move(&parts, loads, load);
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
    loads: &owner_loads::OwnerLoads,
    load: &load::LoadMap,
    split_ratio: f32,
) -> Option<(ids::UpstreamKey, RangeMove)> {
    let to = loads.least_loaded()?;
    let target = loads.get(to)?;
    let room = loads.room(&target);
    let min_amount = loads.mean_load() * MIN_MOVE_SHARE;
    let overloaded = loads.overloaded();
    // An upstream without ranges, which has just joined, gets its share even if no owner is
    // overloaded.
    let joins = target.range_count == 0;
    let sources = match joins {
        true => loads.by_descending_load(),
        false => overloaded.iter().map(|owner| owner.key).collect(),
    };
    for from in sources.into_iter().filter(|from| *from != to) {
        let source = loads.get(from)?;
        let fair_share = loads.fair_share(&source);
        let splits = source.load > fair_share * split_ratio || loads.is_any_idle();
        if !(splits || joins) {
            continue;
        }
        let amount = match joins {
            true => room.min(source.load / 2.0),
            false => room.min(source.load - fair_share),
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
    loads: &owner_loads::OwnerLoads,
    load: &load::LoadMap,
) -> Option<(ids::UpstreamKey, RangeMove)> {
    let to = loads.least_loaded()?;
    let room = loads.room(&loads.get(to)?);
    let min_amount = loads.mean_load() * MIN_MOVE_SHARE;
    for from in loads.overloaded() {
        let amount = from.excess.min(room);
        if from.key == to || amount < min_amount {
            continue;
        }
        let (min_load, max_load) = move_bounds(amount);
        let fits = |part: &&MovablePart| {
            part.owner == from.key && (min_load..=max_load).contains(&load.load(&part.range))
        };
        if let Some(part) = parts.iter().find(fits) {
            let range = part.range;
            return Some((from.key, RangeMove { range, to }));
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
    loads: &owner_loads::OwnerLoads,
    load: &load::LoadMap,
) -> Option<(ids::UpstreamKey, RangeMove)> {
    let min_amount = loads.mean_load() * MIN_MOVE_SHARE;
    for from in loads.overloaded() {
        let mut best: Option<(f32, RangeMove)> = None;
        for part in parts.iter().filter(|part| part.owner == from.key) {
            for end in [load::RangeEnd::First, load::RangeEnd::Last] {
                let next = neighbour(assignments, &part.range, end);
                let Some(to) = next.filter(|to| *to != from.key) else {
                    continue;
                };
                let Some(target) = loads.get(to) else {
                    continue;
                };
                let amount = from.excess.min(loads.room(&target));
                if amount < min_amount || best.is_some_and(|(most, _)| most >= amount) {
                    continue;
                }
                let (min_load, max_load) = move_bounds(amount);
                let range = load.find_end_part(&part.range, end, min_load, max_load);
                best = range.map_or(best, |range| Some((amount, RangeMove { range, to })));
            }
        }
        if let Some((_, chosen)) = best {
            return Some((from.key, chosen));
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
    loads: &mut owner_loads::OwnerLoads,
    load: &load::LoadMap,
) -> Vec<RangeMove> {
    let max_joins = MAX_JOINS.max(loads.count() / UPSTREAMS_PER_JOIN);
    let max_load = loads.mean_load() * MAX_JOIN_SHARE;
    let mean_width = load::BUCKETS as f32 / loads.count().max(1) as f32;
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
        let owner = loads.get(piece.owner);
        if !rests
            || now < piece.assigned_at + JOIN_COOLDOWN
            || owner.is_none_or(|owner| owner.range_count < 2)
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
            let target = loads.get(*to);
            !owners.contains(to) && target.is_some_and(|target| amount <= loads.room(&target))
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
