//! Request counts over the key space and owners' latencies, as instances report them.

use crate::ids;
use crate::range;
use std::collections::BTreeMap;
use std::time::Duration;

/// Buckets into which the key space is divided to count requests.
pub const BUCKETS: usize = 65_536;

/// Time after which a recent count has decayed to `1/e`.
///
/// It is short because a key stays hot for some seconds only.
const DECAY_TIME: Duration = Duration::from_millis(900);

/// Time after which a steady count has decayed to `1/e`.
const STEADY_DECAY_TIME: Duration = Duration::from_millis(6000);

/// Least time between two estimates of the loads, which take time for all buckets.
const ESTIMATE_INTERVAL: Duration = Duration::from_millis(100);

/// Standard deviations by which a recent count must differ from the steady one to be more
/// than chance.
const MIN_DEVIATIONS: f32 = 2.5;

/// Adjacent buckets that are also compared together, since hot keys lie close together.
const BLOCK_BUCKETS: usize = 64;

/// Least and greatest factor by which an owner counts as slower than the mean.
const SLOWNESS_BOUNDS: (f32, f32) = (0.6, 2.2);

/// Responses after which the older average weighs half.
const LATENCY_HALF_LIFE: f32 = 20.0;

/// Time without a response after which an owner's average weighs `1/e`.
const LATENCY_DECAY_TIME: Duration = Duration::from_secs(3);

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

/// Moving average of one owner's latency.
#[derive(Clone, Copy, Debug)]
struct LatencyAverage {
    ms: f32,
    reported_at: Duration,
}

/// Moving averages of the owners' latencies.
///
/// An owner that gets no requests any more, since it was slow, would count as slow for
/// good. Its average therefore approaches that of all owners.
#[derive(Clone, Debug, Default)]
pub struct LatencyTable {
    averages: BTreeMap<ids::UpstreamKey, LatencyAverage>,
    /// Mean of the averages; 0 without any.
    mean_ms: f32,
}

impl LatencyTable {
    /// Adds latencies that an instance reports at `now`.
    pub fn add(&mut self, now: Duration, latencies: &[OwnerLatency]) {
        for sample in latencies.iter().filter(|sample| sample.responses > 0) {
            let responses = sample.responses as f32;
            let mean = sample.sum_ms as f32 / responses;
            let new = LatencyAverage {
                ms: mean,
                reported_at: now,
            };
            let average = self.averages.entry(sample.owner).or_insert(new);
            average.ms += (mean - average.ms) * responses / (responses + LATENCY_HALF_LIFE);
            average.reported_at = now;
        }
        self.update_mean();
    }

    fn update_mean(&mut self) {
        let sum: f32 = self.averages.values().map(|average| average.ms).sum();
        self.mean_ms = sum / self.averages.len().max(1) as f32;
    }

    /// Returns an owner's average, or that of all if it is unknown.
    fn average_ms(&self, now: Duration, owner: ids::UpstreamKey) -> f32 {
        let Some(average) = self.averages.get(&owner) else {
            return self.mean_ms;
        };
        let age = now.saturating_sub(average.reported_at);
        let weight = (-age.as_secs_f32() / LATENCY_DECAY_TIME.as_secs_f32()).exp();
        self.mean_ms + (average.ms - self.mean_ms) * weight
    }

    /// Returns the factor by which an owner is slower than the mean, within bounds.
    ///
    /// It is 1 for an owner whose latency is unknown.
    pub fn slowness(&self, now: Duration, owner: ids::UpstreamKey) -> f32 {
        let (least, most) = SLOWNESS_BOUNDS;
        match self.mean_ms > 0.0 {
            true => (self.average_ms(now, owner) / self.mean_ms).clamp(least, most),
            false => 1.0,
        }
    }

    /// Returns an owner's latency, or the mean of all owners if it is unknown.
    pub fn latency(&self, now: Duration, owner: ids::UpstreamKey) -> Duration {
        Duration::from_secs_f32(self.average_ms(now, owner).max(0.0) / 1000.0)
    }

    /// Returns the mean latency of all owners; zero if none is known.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f32(self.mean_ms.max(0.0) / 1000.0)
    }

    /// Removes all other owners than those to keep.
    pub fn retain(&mut self, keep: impl Fn(ids::UpstreamKey) -> bool) {
        self.averages.retain(|owner, _| keep(*owner));
        self.update_mean();
    }
}

/// Requests counted in one bucket.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BucketCount {
    pub bucket: u32,
    pub count: u32,
}

/// End of a range.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RangeEnd {
    First,
    Last,
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

/// Counts of all buckets that decay with time.
#[derive(Clone, Debug)]
struct DecayingCounts {
    counts: Vec<f32>,
    decay_time: Duration,
    /// Time for which requests are counted, less than `decay_time` after the start.
    counted: f32,
}

impl DecayingCounts {
    fn new(decay_time: Duration) -> DecayingCounts {
        DecayingCounts {
            counts: vec![0.0; BUCKETS],
            decay_time,
            counted: 0.0,
        }
    }

    fn add(&mut self, counts: &[BucketCount]) {
        for count in counts {
            if let Some(total) = self.counts.get_mut(count.bucket as usize) {
                *total += count.count as f32;
            }
        }
    }

    fn decay(&mut self, elapsed: Duration) {
        let decay_time = self.decay_time.as_secs_f32();
        let factor = (-elapsed.as_secs_f32() / decay_time).exp();
        for count in &mut self.counts {
            *count *= factor;
        }
        self.counted = self.counted * factor + decay_time * (1.0 - factor);
    }
}

/// Load of all buckets, as requests within [`LoadMap::mean_count_time`].
///
/// The pattern: among hundreds of owners each gets a few requests a second, so that a count
/// over a second is chance, while keys are hot for a few seconds only. A bucket's load is
/// therefore its steady count, unless the recent one, or that of its block, differs by more
/// than chance.
#[derive(Clone, Debug)]
pub struct LoadMap {
    /// Greatest key of the key space.
    last: u64,
    recent: DecayingCounts,
    steady: DecayingCounts,
    loads: Vec<f32>,
    /// Variance of each bucket's load, which is that of the counts it is taken from.
    variances: Vec<f32>,
    /// When the counts were last decayed; `None` before the first one.
    decayed_at: Option<Duration>,
}

impl LoadMap {
    /// Creates the map of a key space whose greatest key is `last`.
    pub fn new(last: u64) -> LoadMap {
        LoadMap {
            last,
            recent: DecayingCounts::new(DECAY_TIME),
            steady: DecayingCounts::new(STEADY_DECAY_TIME),
            loads: vec![0.0; BUCKETS],
            variances: vec![0.0; BUCKETS],
            decayed_at: None,
        }
    }

    /// Adds counts that an instance reports at `now`.
    pub fn add(&mut self, now: Duration, counts: &[BucketCount]) {
        self.decayed_at.get_or_insert(now);
        self.recent.add(counts);
        self.steady.add(counts);
    }

    /// Returns the mean time for which a request is counted.
    pub fn mean_count_time() -> Duration {
        DECAY_TIME
    }

    /// Decays the counts by the time since then and estimates the loads anew, if it is due.
    pub fn decay(&mut self, now: Duration) {
        let since = self.decayed_at.unwrap_or(now);
        let elapsed = now.saturating_sub(since);
        if elapsed < ESTIMATE_INTERVAL {
            return;
        }
        self.decayed_at = Some(now);
        self.recent.decay(elapsed);
        self.steady.decay(elapsed);
        // Before requests were counted for longer, the steady count is the recent one.
        let count_time = DECAY_TIME.as_secs_f32();
        let scale = count_time / self.steady.counted.max(count_time);
        let differs = |recent: f32, steady: f32| {
            (recent - steady).abs() > MIN_DEVIATIONS * (steady + 1.0).sqrt()
        };
        for first in (0..BUCKETS).step_by(BLOCK_BUCKETS) {
            let block = first..first + BLOCK_BUCKETS;
            let recent: f32 = self.recent.counts[block.clone()].iter().sum();
            let steady: f32 = self.steady.counts[block.clone()].iter().sum();
            let block_differs = differs(recent, steady * scale);
            for bucket in block {
                let recent = self.recent.counts[bucket];
                let steady = self.steady.counts[bucket] * scale;
                (self.loads[bucket], self.variances[bucket]) =
                    match block_differs || differs(recent, steady) {
                        true => (recent, recent),
                        false => (steady, steady * scale),
                    };
            }
        }
    }

    /// Returns the buckets that lie within a range.
    fn buckets(&self, range: &range::KeyRange) -> std::ops::RangeInclusive<usize> {
        bucket_of(range.first, self.last)..=bucket_of(range.last, self.last)
    }

    /// Returns the load of a range.
    pub fn load(&self, range: &range::KeyRange) -> f32 {
        self.loads[self.buckets(range)].iter().sum()
    }

    /// Returns the variance of the load of a range.
    pub fn variance(&self, range: &range::KeyRange) -> f32 {
        self.variances[self.buckets(range)].iter().sum()
    }

    /// Returns the number of buckets in a range.
    pub fn width(&self, range: &range::KeyRange) -> f32 {
        self.buckets(range).count() as f32
    }

    /// Returns the load of the whole key space.
    pub fn total(&self) -> f32 {
        self.loads.iter().sum()
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
            sum += self.loads[to];
            while sum > max_load && from < to {
                sum -= self.loads[from];
                from += 1;
            }
            while from < to && sum - self.loads[from] >= min_load {
                sum -= self.loads[from];
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

    /// Returns the bucket of `range` that has the least load above `min_load`, and its load.
    pub fn find_hot_bucket(
        &self,
        range: &range::KeyRange,
        min_load: f32,
    ) -> Option<(range::KeyRange, f32)> {
        let hot = self
            .buckets(range)
            .filter(|bucket| self.loads[*bucket] > min_load);
        let bucket = hot.min_by(|one, other| self.loads[*one].total_cmp(&self.loads[*other]))?;
        let last = match bucket + 1 < BUCKETS {
            true => (first_key(bucket + 1, self.last) - 1).min(range.last),
            false => range.last,
        };
        let first = first_key(bucket, self.last).max(range.first);
        (first <= last).then_some((range::KeyRange { first, last }, self.loads[bucket]))
    }

    /// Returns the part at one end of `range` with a load between `min_load` and `max_load`.
    ///
    /// It is the whole range if that has no more load.
    pub fn find_end_part(
        &self,
        range: &range::KeyRange,
        end: RangeEnd,
        min_load: f32,
        max_load: f32,
    ) -> Option<range::KeyRange> {
        let buckets = self.buckets(range);
        let (start, stop) = (*buckets.start(), *buckets.end());
        let mut sum = 0.0;
        for step in 0..=stop - start {
            let bucket = match end {
                RangeEnd::First => start + step,
                RangeEnd::Last => stop - step,
            };
            sum += self.loads[bucket];
            if sum > max_load {
                return None;
            }
            if sum < min_load {
                continue;
            }
            let part = match end {
                RangeEnd::First if bucket < stop => range::KeyRange {
                    first: range.first,
                    last: first_key(bucket + 1, self.last) - 1,
                },
                RangeEnd::Last if bucket > start => range::KeyRange {
                    first: first_key(bucket, self.last),
                    last: range.last,
                },
                RangeEnd::First | RangeEnd::Last => *range,
            };
            return Some(part);
        }
        None
    }

    /// Divides a range into at most `count` parts of about equal load.
    pub fn divide(&self, range: &range::KeyRange, count: usize) -> Vec<range::KeyRange> {
        let share = self.load(range) / count.max(1) as f32;
        let mut parts = Vec::new();
        let mut first = range.first;
        let mut sum = 0.0;
        for bucket in self.buckets(range) {
            sum += self.loads[bucket];
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
