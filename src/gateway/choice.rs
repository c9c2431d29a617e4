//! Choice of the upstream for one attempt.

use crate::gateway::{pools, view};
use crate::ids;
use smallvec::SmallVec;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Work that all instances together may have at an upstream, in multiples of its slots.
///
/// Less than what upstreams run and queue, since some never answer beyond it.
const LOAD_PER_SLOT: usize = 4;

/// Least share of one instance in an upstream's capacity, in requests.
const MIN_SHARE: usize = 2;

/// Part of the latency objective beyond which an upstream counts as slow.
const SLOW_SHARE: f64 = 0.9;

/// Factor on the cost of an upstream in another availability zone.
const FAR_FACTOR: f64 = 1.7;

/// Body size that raises [`FAR_FACTOR`] by 1, in bytes.
const FAR_BODY_BYTES: f64 = 10_000.0;

/// Greatest factor on the cost of an upstream in another availability zone.
const MAX_FAR_FACTOR: f64 = 8.0;

/// Factor on the cost of an upstream that warms up.
const WARMING_FACTOR: f64 = 2.0;

/// Weight of the failure rate in the cost of an upstream.
const FAILURE_WEIGHT: f64 = 10.0;

/// Upstreams that were tried for one request.
pub type TriedList = SmallVec<[ids::UpstreamKey; 4]>;

/// What a choice depends on besides the upstreams.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceInput<'a> {
    pub tried: &'a TriedList,
    /// Length of the request's body, in bytes.
    pub body_bytes: usize,
    /// Latency objective of the request's route.
    pub latency_objective: Duration,
    /// Time on the boot clock.
    pub boot_now: Duration,
}

/// Result of a choice.
#[derive(Debug)]
pub enum Choice {
    Found(pools::PoolPermit),
    /// All upstreams that may be used are full.
    Full,
    /// No upstream may be used.
    Nothing,
}

/// Returns the requests that one instance may have at an upstream now.
///
/// An upstream whose answers already take most of the objective gets fewer, so
/// that its queue drains.
pub fn limit(
    pool: &pools::UpstreamPool,
    slots: u32,
    instances: usize,
    objective: Duration,
    now: Instant,
) -> usize {
    let total = slots as usize * LOAD_PER_SLOT;
    let share = total.div_ceil(instances.max(1)).max(MIN_SHARE);
    let (latency, weight) = pool.latency(now);
    let slow = latency * weight > objective.as_secs_f64() * SLOW_SHARE;
    if slow { share - 1 } else { share }
}

/// Chooses the cheapest upstream of a service without owned keys.
pub fn choose(
    pools: &pools::PoolSet,
    service: &view::ServiceView,
    instances: usize,
    request: &ChoiceInput<'_>,
) -> Choice {
    let now = Instant::now();
    let usable = service.upstreams.iter().filter(|upstream| {
        upstream.draining_since.is_none() && !request.tried.contains(&upstream.key)
    });
    let all: SmallVec<[Rc<pools::UpstreamPool>; 16]> =
        usable.map(|upstream| pools.get(upstream)).collect();
    if all.is_empty() {
        return Choice::Nothing;
    }
    let reachable = all.iter().any(|pool| !pool.is_avoided(now));
    let typical = typical_latency(&all, now);
    let mut best: Option<(f64, &Rc<pools::UpstreamPool>)> = None;
    for pool in &all {
        let view = pool.view.borrow();
        let limit = limit(pool, view.slots, instances, request.latency_objective, now);
        let full = pool.in_flight() >= limit;
        if full || (reachable && pool.is_avoided(now)) {
            continue;
        }
        let cost = cost(pool, &view, typical, now, request);
        if best.is_none_or(|(least, _)| cost < least) {
            best = Some((cost, pool));
        }
    }
    best.map_or(Choice::Full, |(_, pool)| Choice::Found(pools.enter(pool)))
}

fn typical_latency(all: &[Rc<pools::UpstreamPool>], now: Instant) -> f64 {
    let (sum, weights) = all
        .iter()
        .map(|pool| pool.latency(now))
        .fold((0.0, 0.0), |(sum, weights), (latency, weight)| {
            (sum + latency * weight, weights + weight)
        });
    if weights > 0.0 { sum / weights } else { 1.0 }
}

/// Returns the expected time of one more request, in seconds, weighted.
fn cost(
    pool: &pools::UpstreamPool,
    view: &view::UpstreamView,
    typical: f64,
    now: Instant,
    request: &ChoiceInput<'_>,
) -> f64 {
    let (latency, weight) = pool.latency(now);
    let latency = typical + (latency - typical) * weight;
    let far = FAR_FACTOR + request.body_bytes as f64 / FAR_BODY_BYTES;
    let far = if view.is_near {
        1.0
    } else {
        far.min(MAX_FAR_FACTOR)
    };
    let warming = if request.boot_now < view.warm_at {
        WARMING_FACTOR
    } else {
        1.0
    };
    let failing = 1.0 + FAILURE_WEIGHT * pool.failures(now);
    let jitter = 1.0 + fastrand::f64() * 0.1;
    let queue = (pool.in_flight() + 1) as f64;
    queue * latency.max(0.001) * far * warming * failing * jitter
}
