//! Request counts over the key space and owners' latencies, as instances report them.

use crate::ids;
use crate::range;
use std::collections::BTreeMap;
use std::time::Duration;

/// Buckets into which the key space is divided to count requests.
pub const BUCKETS: usize = 16_384;

/// Time after which a count has decayed to `1/e`.
///
/// It is short because a key stays hot for some seconds only.
const DECAY_TIME: Duration = Duration::from_millis(900);

/// Least and greatest factor by which an owner counts as slower than the mean.
const SLOWNESS_BOUNDS: (f32, f32) = (0.6, 2.2);

/// Responses after which the older average weighs half.
const LATENCY_HALF_LIFE: f32 = 40.0;

/// What an instance reports to the leader.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LoadReport {
    pub counts: Vec<BucketCount>,
    pub latencies: Vec<OwnerLatency>,
}

impl LoadReport {
    /// Splits the report into at least one part, each with at most `max_counts` counts.
    pub fn split(&self, max_counts: usize) -> Vec<LoadReport> {
        let mut parts: Vec<LoadReport> = self
            .counts
            .chunks(max_counts)
            .map(|counts| LoadReport {
                counts: counts.to_vec(),
                latencies: Vec::new(),
            })
            .collect();
        if parts.is_empty() {
            parts.push(LoadReport::default());
        }
        parts[0].latencies = self.latencies.clone();
        parts
    }
}

/// Responses of one owner and their latencies.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OwnerLatency {
    pub owner: ids::UpstreamKey,
    pub responses: u32,
    /// Sum of the responses' latencies, in milliseconds.
    pub sum_ms: u32,
}

/// Moving averages of the owners' latencies.
#[derive(Clone, Debug, Default)]
pub struct LatencyTable {
    /// Milliseconds.
    averages: BTreeMap<ids::UpstreamKey, f32>,
}

impl LatencyTable {
    /// Adds latencies that an instance reports.
    pub fn add(&mut self, latencies: &[OwnerLatency]) {
        for sample in latencies.iter().filter(|sample| sample.responses > 0) {
            let responses = sample.responses as f32;
            let mean = sample.sum_ms as f32 / responses;
            let average = self.averages.entry(sample.owner).or_insert(mean);
            *average += (mean - *average) * responses / (responses + LATENCY_HALF_LIFE);
        }
    }

    /// Returns the factor by which an owner is slower than the mean, within bounds.
    ///
    /// It is 1 for an owner whose latency is unknown.
    pub fn slowness(&self, owner: ids::UpstreamKey) -> f32 {
        let overall_mean = self.mean_ms();
        let (least, most) = SLOWNESS_BOUNDS;
        match self.averages.get(&owner) {
            Some(average) if overall_mean > 0.0 => (average / overall_mean).clamp(least, most),
            _ => 1.0,
        }
    }

    /// Returns an owner's latency, or the mean of all owners if it is unknown.
    pub fn latency(&self, owner: ids::UpstreamKey) -> Duration {
        let overall_mean = self.mean_ms();
        let average = self.averages.get(&owner).copied().unwrap_or(overall_mean);
        Duration::from_secs_f32(average.max(0.0) / 1000.0)
    }

    /// Returns the mean latency of all owners; zero if none is known.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f32(self.mean_ms().max(0.0) / 1000.0)
    }

    fn mean_ms(&self) -> f32 {
        let count = self.averages.len().max(1) as f32;
        self.averages.values().sum::<f32>() / count
    }

    /// Removes all other owners than those to keep.
    pub fn retain(&mut self, keep: impl Fn(ids::UpstreamKey) -> bool) {
        self.averages.retain(|owner, _| keep(*owner));
    }
}

/// Requests counted in one bucket.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BucketCount {
    pub bucket: u32,
    pub count: u32,
}

/// Returns the bucket of a key in a space whose greatest key is `last`.
pub fn bucket_of(key: u64, last: u64) -> usize {
    let scaled = u128::from(key) * BUCKETS as u128;
    let bucket = scaled / (u128::from(last) + 1);
    (bucket as usize).min(BUCKETS - 1)
}

/// Returns the first key of a bucket.
fn first_key(bucket: usize, last: u64) -> u64 {
    let key_count = u128::from(last) + 1;
    let first = (bucket as u128 * key_count).div_ceil(BUCKETS as u128);
    first.min(u128::from(last)) as u64
}

/// Decaying request counts of all buckets.
///
/// The load of a range is the sum of its buckets' counts.
#[derive(Clone, Debug)]
pub struct LoadMap {
    /// Greatest key of the key space.
    last: u64,
    /// Decayed number of requests of each bucket.
    counts: Vec<f32>,
    decayed_at: Duration,
}

impl LoadMap {
    /// Creates the map of a key space whose greatest key is `last`.
    pub fn new(last: u64) -> LoadMap {
        LoadMap {
            last,
            counts: vec![0.0; BUCKETS],
            decayed_at: Duration::ZERO,
        }
    }

    /// Adds counts that an instance reports.
    pub fn add(&mut self, counts: &[BucketCount]) {
        for count in counts {
            if let Some(total) = self.counts.get_mut(count.bucket as usize) {
                *total += count.count as f32;
            }
        }
    }

    /// Returns the mean time for which a request is counted.
    pub fn mean_count_time() -> Duration {
        DECAY_TIME
    }

    /// Decays the counts by the time since the last call.
    pub fn decay(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.decayed_at);
        self.decayed_at = now;
        let factor = (-elapsed.as_secs_f32() / DECAY_TIME.as_secs_f32()).exp();
        for count in &mut self.counts {
            *count *= factor;
        }
    }

    /// Returns the buckets that lie within a range.
    fn buckets(&self, range: &range::KeyRange) -> std::ops::RangeInclusive<usize> {
        bucket_of(range.first, self.last)..=bucket_of(range.last, self.last)
    }

    /// Returns the load of a range.
    pub fn load(&self, range: &range::KeyRange) -> f32 {
        self.counts[self.buckets(range)].iter().sum()
    }

    /// Returns the number of buckets in a range.
    pub fn width(&self, range: &range::KeyRange) -> f32 {
        self.buckets(range).count() as f32
    }

    /// Returns the load of the whole key space.
    pub fn total(&self) -> f32 {
        self.counts.iter().sum()
    }

    /// Returns the narrowest part of `range` with a load between `min_load` and `max_load`.
    ///
    /// It begins and ends at bucket boundaries, or where `range` does.
    pub fn find_part(
        &self,
        range: &range::KeyRange,
        min_load: f32,
        max_load: f32,
    ) -> Option<range::KeyRange> {
        let buckets = self.buckets(range);
        let (start, end) = (*buckets.start(), *buckets.end());
        let mut best: Option<(usize, usize)> = None;
        let mut from = start;
        let mut sum = 0.0;
        for to in start..=end {
            sum += self.counts[to];
            while sum > max_load && from < to {
                sum -= self.counts[from];
                from += 1;
            }
            while from < to && sum - self.counts[from] >= min_load {
                sum -= self.counts[from];
                from += 1;
            }
            let fits = sum >= min_load && sum <= max_load;
            if fits && best.is_none_or(|(best_from, best_to)| to - from < best_to - best_from) {
                best = Some((from, to));
            }
        }
        let (from, to) = best?;
        let first = first_key(from, self.last).max(range.first);
        let last = match to + 1 < BUCKETS {
            true => (first_key(to + 1, self.last) - 1).min(range.last),
            false => range.last,
        };
        (first <= last).then_some(range::KeyRange { first, last })
    }

    /// Divides a range into at most `count` parts of about equal load.
    pub fn divide(&self, range: &range::KeyRange, count: usize) -> Vec<range::KeyRange> {
        let share = self.load(range) / count.max(1) as f32;
        let mut parts = Vec::new();
        let mut first = range.first;
        let mut sum = 0.0;
        for bucket in self.buckets(range) {
            sum += self.counts[bucket];
            let next = first_key((bucket + 1).min(BUCKETS - 1), self.last);
            let is_inside = next > first && next <= range.last;
            if parts.len() + 1 < count && share > 0.0 && sum >= share && is_inside {
                let last = next - 1;
                parts.push(range::KeyRange { first, last });
                first = next;
                sum = 0.0;
            }
        }
        parts.push(range::KeyRange {
            first,
            last: range.last,
        });
        parts
    }
}
