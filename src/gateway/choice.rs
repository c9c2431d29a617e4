//! Choice of the upstream for one attempt: load balancing and concurrency limits.

use crate::gateway::{pools, view};
use crate::ids;
use crate::limits::table;
use crate::notices::{departures, pauses};
use smallvec::SmallVec;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Requests that all instances together may have in flight at an upstream, per slot.
///
/// Less than what upstreams run and queue, since some never respond to requests
/// that exceed their queue.
const MAX_REQUESTS_PER_SLOT: usize = 4;

/// Least request limit of one instance at an upstream; one less while the upstream is slow.
const MIN_INSTANCE_LIMIT: usize = 2;

/// Share of the latency objective above which an upstream counts as slow.
const SLOW_LATENCY_SHARE: f64 = 0.9;

/// Factor on the cost of an upstream in another availability zone, for an empty body.
const OTHER_ZONE_FACTOR: f64 = 1.7;

/// Bytes of a request's body that raise [`OTHER_ZONE_FACTOR`] by 1.
const OTHER_ZONE_BODY_BYTES: f64 = 10_000.0;

/// Greatest factor on the cost of an upstream in another availability zone.
const MAX_OTHER_ZONE_FACTOR: f64 = 8.0;

/// Factor on the cost of an upstream that is still warming up.
const WARMUP_FACTOR: f64 = 2.0;

/// Factor on the cost of an upstream that states a limit, which costs a permit.
const LIMITED_FACTOR: f64 = 1.5;

/// Weight of the failure rate in the cost of an upstream.
const FAILURE_WEIGHT: f64 = 10.0;

/// Upstreams that were already tried for one request.
pub type TriedList = SmallVec<[ids::UpstreamKey; 4]>;

/// Properties of the request that a choice depends on.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceInput<'a> {
    pub tried: &'a TriedList,
    /// Upstreams whose limit allows no attempt at this request.
    pub limited: &'a TriedList,
    /// Limits that upstreams state.
    pub limits: &'a table::LimitTable,
    /// Upstreams that said that they leave.
    pub departures: &'a departures::DepartureTable,
    /// Upstreams that want no requests for a while.
    pub pauses: &'a pauses::PauseTable,
    /// Length of the request's body, in bytes.
    pub body_bytes: usize,
    /// Latency objective of the route.
    pub latency_objective: Duration,
    /// Present time on the boot clock.
    pub boot_now: Duration,
}

impl ChoiceInput<'_> {
    fn is_rate_limited(&self, upstream: ids::UpstreamKey) -> bool {
        self.limited.contains(&upstream) || self.limits.is_refusing(self.boot_now, upstream)
    }
}

/// Result of [`choose`].
#[derive(Debug)]
pub enum Choice {
    Found(pools::PoolPermit),
    /// Every usable upstream is at its request limit.
    AtLimit,
    /// The limits that the usable upstreams state allow no request now.
    RateLimited,
    /// The usable upstreams want no requests now; the first one to end its pause.
    Paused(Rc<pools::UpstreamPool>),
    /// Every upstream is draining or was already tried.
    NoneUsable,
}

/// Returns how many requests one instance may have in flight at an upstream now.
///
/// An upstream whose latency already takes most of the objective gets fewer, so
/// that its queue drains.
pub fn request_limit(
    pool: &pools::UpstreamPool,
    slots: u32,
    instances: usize,
    objective: Duration,
    now: Instant,
) -> usize {
    let total = slots as usize * MAX_REQUESTS_PER_SLOT;
    let share = total.div_ceil(instances.max(1)).max(MIN_INSTANCE_LIMIT);
    let (latency, weight) = pool.latency(now);
    let slow = latency * weight > objective.as_secs_f64() * SLOW_LATENCY_SHARE;
    if slow { share - 1 } else { share }
}

/// Chooses the upstream of least cost, for an unkeyed service.
///
/// Ejected upstreams are used only if all usable upstreams are ejected.
pub fn choose(
    pools: &pools::PoolSet,
    service: &view::ServiceView,
    instances: usize,
    request: &ChoiceInput<'_>,
) -> Choice {
    let now = Instant::now();
    let usable = service.upstreams.iter().filter(|upstream| {
        upstream.draining_since.is_none()
            && request.departures.since(upstream.key).is_none()
            && !request.tried.contains(&upstream.key)
    });
    let candidates: CandidateList = usable.map(|upstream| pools.get(upstream)).collect();
    if candidates.is_empty() {
        return Choice::NoneUsable;
    }
    let candidates: CandidateList = candidates
        .into_iter()
        .filter(|pool| !request.is_rate_limited(pool.view.borrow().key))
        .collect();
    if candidates.is_empty() {
        return Choice::RateLimited;
    }
    let (candidates, paused) = part_paused(candidates, request);
    if candidates.is_empty() {
        return paused.map_or(Choice::NoneUsable, Choice::Paused);
    }
    let any_healthy = candidates.iter().any(|pool| !pool.is_ejected(now));
    let mean = mean_latency(&candidates, now);
    let mut best: Option<(f64, &Rc<pools::UpstreamPool>)> = None;
    for pool in &candidates {
        let view = pool.view.borrow();
        let limit = request_limit(pool, view.slots, instances, request.latency_objective, now);
        let window = match request.pauses.state(request.boot_now, view.key) {
            pauses::PauseState::Returning(window) => window,
            pauses::PauseState::Open | pauses::PauseState::Paused(_) => usize::MAX,
        };
        let at_limit = pool.in_flight() >= limit.min(window);
        if at_limit || (any_healthy && pool.is_ejected(now)) {
            continue;
        }
        let cost = cost(pool, &view, mean, now, request);
        if best.is_none_or(|(least, _)| cost < least) {
            best = Some((cost, pool));
        }
    }
    best.map_or(Choice::AtLimit, |(_, pool)| {
        Choice::Found(pools.acquire(pool))
    })
}

/// Upstreams that may be chosen.
type CandidateList = SmallVec<[Rc<pools::UpstreamPool>; 16]>;

/// Removes the upstreams that want no requests now; returns also the one of them whose
/// pause ends first.
fn part_paused(
    candidates: CandidateList,
    request: &ChoiceInput<'_>,
) -> (CandidateList, Option<Rc<pools::UpstreamPool>>) {
    if request.pauses.is_empty() {
        return (candidates, None);
    }
    let mut first: Option<(Duration, Rc<pools::UpstreamPool>)> = None;
    let mut open = CandidateList::new();
    for pool in candidates {
        let upstream = pool.view.borrow().key;
        match request.pauses.state(request.boot_now, upstream) {
            pauses::PauseState::Paused(left) => {
                if first.as_ref().is_none_or(|(least, _)| left < *least) {
                    first = Some((left, pool));
                }
            }
            pauses::PauseState::Open | pauses::PauseState::Returning(_) => open.push(pool),
        }
    }
    (open, first.map(|(_, pool)| pool))
}

/// Returns the weighted mean latency in seconds; 1 if no latency has any weight left.
fn mean_latency(candidates: &[Rc<pools::UpstreamPool>], now: Instant) -> f64 {
    let (sum, weights) = candidates
        .iter()
        .map(|pool| pool.latency(now))
        .fold((0.0, 0.0), |(sum, weights), (latency, weight)| {
            (sum + latency * weight, weights + weight)
        });
    if weights > 0.0 { sum / weights } else { 1.0 }
}

/// Returns the cost of one more request: its expected time in seconds, times penalties.
fn cost(
    pool: &pools::UpstreamPool,
    view: &view::UpstreamView,
    mean: f64,
    now: Instant,
    request: &ChoiceInput<'_>,
) -> f64 {
    let (latency, weight) = pool.latency(now);
    let latency = mean + (latency - mean) * weight;
    let zone = OTHER_ZONE_FACTOR + request.body_bytes as f64 / OTHER_ZONE_BODY_BYTES;
    let zone = if view.in_local_zone {
        1.0
    } else {
        zone.min(MAX_OTHER_ZONE_FACTOR)
    };
    let warmup = if request.boot_now < view.warmup_until {
        WARMUP_FACTOR
    } else {
        1.0
    };
    let limited = match request.limits.rate(view.key) {
        Some(_) => LIMITED_FACTOR,
        None => 1.0,
    };
    let failures = 1.0 + FAILURE_WEIGHT * pool.failure_rate(now);
    let jitter = 1.0 + fastrand::f64() * 0.1;
    let queue = (pool.in_flight() + 1) as f64;
    queue * latency.max(0.001) * zone * warmup * limited * failures * jitter
}
