//! Choice of the ranges that change their owner.
//!
//! Load follows the hottest keys, which lie close together: the narrowest part
//! of an overloaded owner's ranges that carries the excess goes to the least
//! loaded upstream.

use crate::ids;
use crate::ownership::{assignment, load};
use crate::range;
use std::collections::BTreeMap;
use std::time::Duration;

/// Interval of leveling.
pub const LEVEL_INTERVAL: Duration = Duration::from_millis(300);

/// Time for which a range stays where it was moved.
const REST: Duration = Duration::from_millis(900);

/// Most moves of one round.
const MAX_MOVES: usize = 12;

/// Load over the mean at which an owner gives keys away.
const OVERLOAD: f32 = 1.35;

/// Part of an owner's slots in use below which nothing is moved off it.
const BUSY: f32 = 0.6;

/// Standard deviations by which a load must exceed the mean, against chance.
const SIGNIFICANCE: f32 = 2.5;

/// Requests counted in the whole service below which nothing is moved for its load.
const MIN_TOTAL: f32 = 60.0;

/// Part of the whole load that is not worth a move.
const MIN_PART: f32 = 0.008;

/// Weight of the mere size of an upstream's ranges, as part of the whole load.
const SIZE_WEIGHT: f32 = 0.05;

/// Part of an owner's mean load below which a lost range is not divided.
const PART_SHARE: f32 = 0.35;

/// Parts into which a lost owner's range is divided at the most.
const MAX_PARTS: usize = 4;

/// A part of a range and its next owner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RangeMove {
    pub range: range::KeyRange,
    pub to: ids::UpstreamKey,
}

/// Ability of an upstream to carry load.
#[derive(Clone, Copy, Debug)]
pub struct OwnerCapacity {
    pub key: ids::UpstreamKey,
    /// Load that it can carry, relative to others.
    pub capacity: f32,
    /// Part of its slots that one counted request keeps busy.
    pub use_per_count: f32,
}

#[derive(Clone, Copy, Debug)]
struct LedgerEntry {
    load: f32,
    capacity: f32,
    use_per_count: f32,
    assignments: usize,
}

impl LedgerEntry {
    fn relative(&self) -> f32 {
        self.load / self.capacity
    }
}

/// Loads of the upstreams that take keys.
#[derive(Debug)]
pub struct LoadLedger {
    entries: BTreeMap<ids::UpstreamKey, LedgerEntry>,
}

impl LoadLedger {
    /// Sums up the load of each usable upstream.
    pub fn new(
        capacities: impl Iterator<Item = OwnerCapacity>,
        assignments: &[assignment::AssignmentState],
        load: &load::LoadMap,
    ) -> LoadLedger {
        let entry = |owner: OwnerCapacity| LedgerEntry {
            load: 0.0,
            capacity: owner.capacity,
            use_per_count: owner.use_per_count,
            assignments: 0,
        };
        let mut entries: BTreeMap<_, _> =
            capacities.map(|owner| (owner.key, entry(owner))).collect();
        let size_load = load.total().max(1.0) * SIZE_WEIGHT / load::BUCKETS as f32;
        for holding in assignments {
            if let Some(entry) = entries.get_mut(&holding.owner) {
                let size = size_load * load.width(&holding.range);
                entry.load += load.load(&holding.range) + size;
                entry.assignments += 1;
            }
        }
        LoadLedger { entries }
    }

    fn mean(&self) -> f32 {
        let load: f32 = self.entries.values().map(|entry| entry.load).sum();
        let capacity: f32 = self.entries.values().map(|entry| entry.capacity).sum();
        load / capacity.max(1.0)
    }

    fn mean_load(&self) -> f32 {
        let load: f32 = self.entries.values().map(|entry| entry.load).sum();
        load / self.entries.len().max(1) as f32
    }

    /// Returns the upstream with the least load for its capacity.
    pub fn least(&self) -> Option<ids::UpstreamKey> {
        let entries = self.entries.iter();
        let least =
            entries.min_by(|(_, one), (_, other)| one.relative().total_cmp(&other.relative()));
        least.map(|(key, _)| *key)
    }

    fn by_load(&self) -> Vec<ids::UpstreamKey> {
        let mut entries: Vec<_> = self.entries.iter().collect();
        entries.sort_by(|(_, one), (_, other)| other.relative().total_cmp(&one.relative()));
        entries.into_iter().map(|(key, _)| *key).collect()
    }

    /// Keeps an upstream from getting keys, unless no other is left.
    pub fn remove(&mut self, key: ids::UpstreamKey) {
        if self.entries.len() > 1 {
            self.entries.remove(&key);
        }
    }

    /// Adds load to an upstream.
    pub fn add(&mut self, key: ids::UpstreamKey, amount: f32) {
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.load += amount;
            entry.assignments += 1;
        }
    }
}

/// Divides the range of a lost or leaving owner among the least loaded upstreams.
pub fn replace_owner(
    ledger: &mut LoadLedger,
    load: &load::LoadMap,
    lost: &range::KeyRange,
) -> Vec<RangeMove> {
    let mut moves = Vec::new();
    let share = ledger.mean_load() * PART_SHARE;
    let parts = (load.load(lost) / share.max(1.0)).ceil() as usize;
    let parts = parts.clamp(1, MAX_PARTS.min(ledger.entries.len().max(1)));
    for part in load.divide(lost, parts) {
        if let Some(to) = ledger.least() {
            ledger.add(to, load.load(&part).max(1.0));
            moves.push(RangeMove { range: part, to });
        }
    }
    moves
}

/// Part of an owner's ranges while moves are chosen.
#[derive(Clone, Copy, Debug)]
struct MovablePart {
    range: range::KeyRange,
    owner: ids::UpstreamKey,
}

/// Chooses moves that take load off overloaded owners.
pub fn level(
    now: Duration,
    assignments: &[assignment::AssignmentState],
    ledger: &mut LoadLedger,
    load: &load::LoadMap,
) -> Vec<RangeMove> {
    let mut moves: Vec<RangeMove> = Vec::new();
    if load.total() < MIN_TOTAL {
        return moves;
    }
    let movable = assignments.iter().filter(|holding| {
        holding.is_settled() && !holding.is_busy() && now >= holding.since + REST
    });
    let mut parts: Vec<MovablePart> = movable
        .map(|holding| MovablePart {
            range: holding.range,
            owner: holding.owner,
        })
        .collect();
    while moves.len() < MAX_MOVES {
        let Some((from, chosen)) = next_move(&parts, ledger, load) else {
            break;
        };
        let amount = load.load(&chosen.range);
        ledger.add(from, -amount);
        ledger.add(chosen.to, amount);
        cut_out(&mut parts, &chosen.range);
        moves.push(chosen);
    }
    moves
}

/// Removes a chosen range from the parts that may still be moved.
fn cut_out(parts: &mut Vec<MovablePart>, chosen: &range::KeyRange) {
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

fn next_move(
    parts: &[MovablePart],
    ledger: &LoadLedger,
    load: &load::LoadMap,
) -> Option<(ids::UpstreamKey, RangeMove)> {
    let mean = ledger.mean();
    let to = ledger.least()?;
    let low = ledger.entries[&to];
    let room = mean * low.capacity - low.load;
    let least_part = load.total() * MIN_PART;
    for from in ledger.by_load() {
        let high = ledger.entries[&from];
        let usual = mean * high.capacity;
        let chance = SIGNIFICANCE * usual.max(1.0).sqrt();
        let overloaded = high.load > (usual * OVERLOAD).max(usual + chance)
            && high.load * high.use_per_count > BUSY;
        // An upstream that joined gets its part even if nobody is overloaded.
        let joins = low.assignments == 0;
        if from == to || !(overloaded || joins) {
            return None;
        }
        let excess = high.load - usual;
        let amount = if joins {
            room.min(high.load / 2.0)
        } else {
            excess.min(room)
        };
        if amount < least_part {
            continue;
        }
        let (least, most) = (amount * 0.6, amount * 1.25);
        let part = parts
            .iter()
            .filter(|part| part.owner == from)
            .filter_map(|part| load.find_part(&part.range, least, most))
            .min_by_key(|part| part.last - part.first);
        if let Some(range) = part {
            return Some((from, RangeMove { range, to }));
        }
    }
    None
}
