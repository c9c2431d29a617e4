//! Loads of the upstreams of a service, and which of them are overloaded.

use crate::ids;
use crate::limits;
use crate::ownership::{assignment, load};
use std::collections::BTreeMap;
use std::time::Duration;

/// Ratio of an owner's load to its fair share above which it counts as overloaded.
pub const OVERLOAD_RATIO: f32 = 1.35;

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

/// Load added for the mere size of all ranges, as a share of the service's load.
const SIZE_LOAD_SHARE: f32 = 0.05;

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

/// Load of one upstream.
#[derive(Clone, Copy, Debug)]
pub struct OwnerLoad {
    pub load: f32,
    /// Variance of the load as it is measured.
    variance: f32,
    pub capacity: f32,
    use_per_count: f32,
    is_limited: bool,
    pub range_count: usize,
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

/// An upstream that has more than its fair share.
#[derive(Clone, Copy, Debug)]
pub struct OverloadedOwner {
    pub key: ids::UpstreamKey,
    /// Load beyond the fair share.
    pub excess: f32,
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
    pub fn mean_load(&self) -> f32 {
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
    pub fn is_any_idle(&self) -> bool {
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

    /// Returns the number of upstreams.
    pub fn count(&self) -> usize {
        self.entries.len()
    }

    /// Returns the load of an upstream.
    pub fn get(&self, key: ids::UpstreamKey) -> Option<OwnerLoad> {
        self.entries.get(&key).copied()
    }

    /// Returns the load that is an upstream's fair share.
    pub fn fair_share(&self, owner: &OwnerLoad) -> f32 {
        self.mean_relative_load() * owner.capacity
    }

    /// Returns the load that an upstream lacks to its fair share; less than 0 beyond it.
    pub fn room(&self, owner: &OwnerLoad) -> f32 {
        self.fair_share(owner) - owner.load
    }

    /// Returns the overloaded upstreams with their excess over the fair share, the most loaded
    /// ones first.
    pub fn overloaded(&self) -> Vec<OverloadedOwner> {
        let mean = self.mean_relative_load();
        let deviations = self.chance_deviations();
        let mean_use = self.mean_use();
        let keys = self.by_descending_load().into_iter();
        let owners = keys.map(|key| (key, self.entries[&key]));
        let overloaded = owners.filter_map(|(key, owner)| {
            let fair_share = mean * owner.capacity;
            owner
                .is_overloaded(fair_share, deviations, mean_use)
                .then_some(OverloadedOwner {
                    key,
                    excess: owner.load - fair_share,
                })
        });
        overloaded.collect()
    }

    /// Returns all upstreams, the most loaded ones first.
    pub fn by_descending_load(&self) -> Vec<ids::UpstreamKey> {
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
