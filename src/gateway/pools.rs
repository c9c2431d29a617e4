//! Connections and statistics of upstreams, as one traffic thread keeps them.

use crate::gateway::view;
use crate::h1::{head, reader, socket};
use crate::ids;
use event_listener::{Event, EventListener};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Idle life of a connection whose upstream states no timeout.
const DEFAULT_IDLE_LIFE: Duration = Duration::from_secs(4);

/// Part of an upstream's stated idle timeout that is not used, against races.
const IDLE_MARGIN: Duration = Duration::from_millis(1500);

/// Weight of the newest sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.2;

/// Time after which an old statistic weighs `1/e`, so that upstreams get another chance.
const FORGET_TIME: Duration = Duration::from_secs(3);

/// First time for which an upstream that cannot be reached is avoided; doubled each time.
const FIRST_AVOID: Duration = Duration::from_millis(400);

/// Longest time for which an upstream that cannot be reached is avoided.
const MAX_AVOID: Duration = Duration::from_secs(3);

/// Latency assumed before the first answer, in seconds.
const FIRST_LATENCY_S: f64 = 0.1;

#[derive(Debug)]
struct IdleConnection {
    reader: reader::MessageReader,
    expires: Instant,
}

#[derive(Debug)]
struct PoolState {
    idle: Vec<IdleConnection>,
    in_flight: usize,
    /// Moving average of the latency, in seconds.
    latency_s: f64,
    /// Moving average of failures, 0 to 1.
    failures: f64,
    sampled: Instant,
    unreachable: u32,
    avoid_until: Option<Instant>,
    /// Whether another upstream answered at the address.
    misdirected: bool,
}

/// One upstream as one traffic thread uses it.
#[derive(Debug)]
pub struct UpstreamPool {
    pub view: RefCell<Arc<view::UpstreamView>>,
    state: RefCell<PoolState>,
    /// Notified when a request leaves the upstream.
    freed: Event,
}

/// Count of one request at an upstream.
#[derive(Debug)]
pub struct PoolPermit {
    pool: Rc<UpstreamPool>,
    any_freed: Rc<Event>,
}

impl Drop for PoolPermit {
    fn drop(&mut self) {
        self.pool.state.borrow_mut().in_flight -= 1;
        self.pool.freed.notify(1);
        // Waiters for any upstream may need another service's.
        self.any_freed.notify(usize::MAX);
    }
}

impl PoolPermit {
    /// Returns the upstream.
    pub fn pool(&self) -> &Rc<UpstreamPool> {
        &self.pool
    }
}

impl UpstreamPool {
    fn new(view: Arc<view::UpstreamView>) -> UpstreamPool {
        UpstreamPool {
            view: RefCell::new(view),
            state: RefCell::new(PoolState {
                idle: Vec::new(),
                in_flight: 0,
                latency_s: FIRST_LATENCY_S,
                failures: 0.0,
                sampled: Instant::now(),
                unreachable: 0,
                avoid_until: None,
                misdirected: false,
            }),
            freed: Event::new(),
        }
    }

    /// Listens for a request that leaves the upstream.
    pub fn listen(&self) -> EventListener {
        self.freed.listen()
    }

    /// Returns the requests that this thread has at the upstream.
    pub fn in_flight(&self) -> usize {
        self.state.borrow().in_flight
    }

    /// Returns the latency average, and how much it still counts, 0 to 1.
    pub fn latency(&self, now: Instant) -> (f64, f64) {
        let state = self.state.borrow();
        let age = now.saturating_duration_since(state.sampled);
        let weight = (-age.as_secs_f64() / FORGET_TIME.as_secs_f64()).exp();
        (state.latency_s, weight)
    }

    /// Returns the rate of failures, 0 to 1; it fades while nothing is sent.
    pub fn failures(&self, now: Instant) -> f64 {
        let (_, weight) = self.latency(now);
        self.state.borrow().failures * weight
    }

    /// Returns whether the upstream could not be reached a moment ago.
    pub fn is_avoided(&self, now: Instant) -> bool {
        let state = self.state.borrow();
        state.misdirected || state.avoid_until.is_some_and(|until| now < until)
    }

    /// Takes a kept connection that seems to work.
    pub fn take_idle(&self) -> Option<reader::MessageReader> {
        let now = Instant::now();
        loop {
            let connection = self.state.borrow_mut().idle.pop()?;
            if now < connection.expires && socket::is_idle(connection.reader.socket()) {
                return Some(connection.reader);
            }
        }
    }

    /// Keeps a connection after a whole answer.
    pub fn keep(&self, reader: reader::MessageReader, head: &head::ResponseHead) {
        if !head.keep_alive || reader.has_surplus() {
            return;
        }
        let stated = head.fields.get("keep-alive").and_then(stated_timeout);
        let life = stated.map_or(DEFAULT_IDLE_LIFE, |life| life.saturating_sub(IDLE_MARGIN));
        self.state.borrow_mut().idle.push(IdleConnection {
            reader,
            expires: Instant::now() + life,
        });
    }

    /// Closes the connections that outlived their use.
    pub fn trim(&self) {
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        state.idle.retain(|connection| {
            now < connection.expires && socket::is_idle(connection.reader.socket())
        });
    }

    /// Notes a whole answer, or a failure of the upstream.
    pub fn note(&self, latency: Duration, failed: bool) {
        let mut state = self.state.borrow_mut();
        let sample = if failed { 1.0 } else { 0.0 };
        state.failures += (sample - state.failures) * SAMPLE_WEIGHT;
        state.latency_s += (latency.as_secs_f64() - state.latency_s) * SAMPLE_WEIGHT;
        state.sampled = Instant::now();
        if !failed {
            state.unreachable = 0;
            state.avoid_until = None;
        }
    }

    /// Notes a refusal before the request ran.
    pub fn note_refusal(&self) {
        let mut state = self.state.borrow_mut();
        state.failures += (1.0 - state.failures) * SAMPLE_WEIGHT;
        state.sampled = Instant::now();
    }

    /// Notes that no connection could be opened.
    pub fn note_unreachable(&self) {
        let mut state = self.state.borrow_mut();
        let pause = FIRST_AVOID * 2u32.pow(state.unreachable.min(4));
        state.unreachable += 1;
        state.avoid_until = Some(Instant::now() + pause.min(MAX_AVOID));
        state.idle.clear();
    }

    /// Notes that another upstream has the address.
    pub fn note_misdirected(&self) {
        let mut state = self.state.borrow_mut();
        state.misdirected = true;
        state.idle.clear();
    }
}

/// Reads `timeout=N` of a `Keep-Alive` field, in seconds.
fn stated_timeout(value: &str) -> Option<Duration> {
    let mut parts = value.split(',').map(str::trim);
    let seconds = parts.find_map(|part| part.strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}

/// All upstreams that a traffic thread uses.
#[derive(Debug, Default)]
pub struct PoolSet {
    pools: RefCell<HashMap<ids::UpstreamKey, Rc<UpstreamPool>>>,
    any_freed: Rc<Event>,
}

impl PoolSet {
    /// Listens for a request that leaves any upstream.
    pub fn listen(&self) -> EventListener {
        self.any_freed.listen()
    }

    /// Returns the pool of an upstream.
    pub fn get(&self, view: &Arc<view::UpstreamView>) -> Rc<UpstreamPool> {
        let mut pools = self.pools.borrow_mut();
        let new = || Rc::new(UpstreamPool::new(view.clone()));
        let pool = pools.entry(view.key).or_insert_with(new);
        if !Arc::ptr_eq(&pool.view.borrow(), view) {
            pool.view.replace(view.clone());
        }
        pool.clone()
    }

    /// Counts one more request at an upstream.
    pub fn enter(&self, pool: &Rc<UpstreamPool>) -> PoolPermit {
        pool.state.borrow_mut().in_flight += 1;
        PoolPermit {
            pool: pool.clone(),
            any_freed: self.any_freed.clone(),
        }
    }

    /// Drops the pools of upstreams that are gone, and trims the others.
    pub fn trim(&self, current: &view::GatewayView) {
        let known = |key: &ids::UpstreamKey| {
            let mut services = current.services.values();
            services.any(|service| service.upstream(*key).is_some())
        };
        let mut pools = self.pools.borrow_mut();
        pools.retain(|key, pool| pool.in_flight() > 0 || known(key));
        for pool in pools.values() {
            pool.trim();
        }
    }
}
