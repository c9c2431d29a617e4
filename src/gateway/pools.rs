//! Connections to upstreams and statistics about them, kept by each traffic thread.

use crate::gateway::view;
use crate::h1::{head, reader, socket};
use crate::ids;
use event_listener::{Event, EventListener};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Idle timeout of a connection whose upstream announces none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Time taken off the idle timeout that an upstream announces, so that no request
/// is sent while the upstream closes the connection.
const IDLE_MARGIN: Duration = Duration::from_millis(1500);

/// Weight of the newest sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.2;

/// Time after which a sample weighs `1/e`, so that an upstream that got no more
/// requests because of it is tried again.
const SAMPLE_DECAY: Duration = Duration::from_secs(3);

/// Ejection time after the first failed connect; doubled with each further one.
const FIRST_EJECTION: Duration = Duration::from_millis(400);

/// Longest ejection time.
const MAX_EJECTION: Duration = Duration::from_secs(3);

/// Time for which a failed connect counts as a sign of this instance's own links.
const FAILURE_WINDOW: Duration = Duration::from_millis(1000);

/// Upstreams at which connects must fail in that time, unless there are fewer.
const SUSPICIOUS_FAILURES: usize = 3;

/// Least silence of all upstreams, while requests wait, that is a sign of them.
const MIN_SUSPICIOUS_SILENCE: Duration = Duration::from_millis(300);

/// Latency assumed before the first response, in seconds.
const INITIAL_LATENCY_S: f64 = 0.1;

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
    /// Moving average of failures, from 0 to 1.
    failure_rate: f64,
    last_sample: Instant,
    /// Failed connects since the last response below status 500.
    connect_failures: u32,
    /// End of the ejection after the last failed connect.
    ejected_until: Option<Instant>,
    /// When the last connect failed.
    connect_failed_at: Option<Instant>,
    /// Whether another upstream responded at the address; ejects this one for good.
    misdirected: bool,
}

/// One upstream as one traffic thread uses it.
#[derive(Debug)]
pub struct UpstreamPool {
    pub view: RefCell<Arc<view::UpstreamView>>,
    state: RefCell<PoolState>,
    /// Notified when a request at the upstream ends.
    freed: Event,
}

/// Counts one request as in flight at an upstream until it is dropped.
#[derive(Debug)]
pub struct PoolPermit {
    pool: Rc<UpstreamPool>,
    any_freed: Rc<Event>,
}

impl Drop for PoolPermit {
    fn drop(&mut self) {
        self.pool.state.borrow_mut().in_flight -= 1;
        self.pool.freed.notify(1);
        // Wakes all, since a single waiter may wait for an upstream of another service.
        self.any_freed.notify(usize::MAX);
    }
}

impl PoolPermit {
    /// Returns the pool of the upstream.
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
                latency_s: INITIAL_LATENCY_S,
                failure_rate: 0.0,
                last_sample: Instant::now(),
                connect_failures: 0,
                ejected_until: None,
                connect_failed_at: None,
                misdirected: false,
            }),
            freed: Event::new(),
        }
    }

    /// Returns a listener that is notified when a request at the upstream ends.
    pub fn listen(&self) -> EventListener {
        self.freed.listen()
    }

    /// Returns the number of this thread's requests at the upstream.
    pub fn in_flight(&self) -> usize {
        self.state.borrow().in_flight
    }

    /// Returns the average latency in seconds and its weight, which decays from 1 to 0.
    pub fn latency(&self, now: Instant) -> (f64, f64) {
        let state = self.state.borrow();
        let age = now.saturating_duration_since(state.last_sample);
        let weight = (-age.as_secs_f64() / SAMPLE_DECAY.as_secs_f64()).exp();
        (state.latency_s, weight)
    }

    /// Returns the failure rate, from 0 to 1; it decays while nothing is sent.
    pub fn failure_rate(&self, now: Instant) -> f64 {
        let (_, weight) = self.latency(now);
        self.state.borrow().failure_rate * weight
    }

    /// Returns whether the upstream is ejected, after a failed connect or as misdirected.
    pub fn is_ejected(&self, now: Instant) -> bool {
        let state = self.state.borrow();
        state.misdirected || state.ejected_until.is_some_and(|until| now < until)
    }

    /// Takes an idle connection that has not expired and that the upstream has not closed.
    ///
    /// Takes none of `excluded`.
    pub fn take_idle(
        &self,
        excluded: &[reader::ConnectionNumber],
    ) -> Option<reader::MessageReader> {
        let now = Instant::now();
        loop {
            let connection = {
                let mut state = self.state.borrow_mut();
                let allowed = |idle: &IdleConnection| !excluded.contains(&idle.reader.number());
                let index = state.idle.iter().rposition(allowed)?;
                state.idle.remove(index)
            };
            if now < connection.expires && socket::is_idle(connection.reader.socket()) {
                return Some(connection.reader);
            }
        }
    }

    /// Keeps a connection after a whole response, unless it cannot be used again.
    pub fn put_idle(&self, reader: reader::MessageReader, head: &head::ResponseHead) {
        if !head.keep_alive || reader.has_buffered_bytes() {
            return;
        }
        let announced = head.fields.get("keep-alive").and_then(announced_timeout);
        let timeout = announced.map_or(DEFAULT_IDLE_TIMEOUT, |timeout| {
            timeout.saturating_sub(IDLE_MARGIN)
        });
        self.state.borrow_mut().idle.push(IdleConnection {
            reader,
            expires: Instant::now() + timeout,
        });
    }

    /// Closes idle connections that expired or that the upstream closed.
    pub fn trim(&self) {
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        state.idle.retain(|connection| {
            now < connection.expires && socket::is_idle(connection.reader.socket())
        });
    }

    /// Records the latency of an attempt, and whether the upstream failed.
    pub fn record(&self, latency: Duration, failed: bool) {
        let mut state = self.state.borrow_mut();
        let sample = if failed { 1.0 } else { 0.0 };
        state.failure_rate += (sample - state.failure_rate) * SAMPLE_WEIGHT;
        state.latency_s += (latency.as_secs_f64() - state.latency_s) * SAMPLE_WEIGHT;
        state.last_sample = Instant::now();
        if !failed {
            state.connect_failures = 0;
            state.ejected_until = None;
        }
    }

    /// Records a refusal as a failure, without its latency, since the request did not run.
    pub fn record_refusal(&self) {
        let mut state = self.state.borrow_mut();
        state.failure_rate += (1.0 - state.failure_rate) * SAMPLE_WEIGHT;
        state.last_sample = Instant::now();
    }

    /// Records a failed connect and ejects the upstream for a while.
    pub fn record_connect_failure(&self) {
        let mut state = self.state.borrow_mut();
        let ejection = FIRST_EJECTION * 2u32.pow(state.connect_failures.min(4));
        state.connect_failures += 1;
        let now = Instant::now();
        state.connect_failed_at = Some(now);
        state.ejected_until = Some(now + ejection.min(MAX_EJECTION));
        state.idle.clear();
    }

    /// Returns whether a connect failed a moment ago, so that it need not be tried again.
    pub fn failed_to_connect(&self, now: Instant) -> bool {
        let state = self.state.borrow();
        state.connect_failures > 0 && state.ejected_until.is_some_and(|until| now < until)
    }

    /// Records that another upstream has the address, and ejects this one.
    pub fn record_misdirected(&self) {
        let mut state = self.state.borrow_mut();
        state.misdirected = true;
        state.idle.clear();
    }
}

/// Parses `timeout=N`, in seconds, in the value of a `Keep-Alive` field.
fn announced_timeout(value: &str) -> Option<Duration> {
    let mut parts = value.split(',').map(str::trim);
    let seconds = parts.find_map(|part| part.strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}

/// Pools of all upstreams that a traffic thread uses.
#[derive(Debug, Default)]
pub struct PoolSet {
    pools: RefCell<HashMap<ids::UpstreamKey, Rc<UpstreamPool>>>,
    any_freed: Rc<Event>,
}

impl PoolSet {
    /// Returns a listener that is notified when a request at any upstream ends.
    pub fn listen(&self) -> EventListener {
        self.any_freed.listen()
    }

    /// Returns whether the attempts of this thread hint that no upstream can be reached.
    pub fn suspects_links(&self, now: Instant, upstreams: usize) -> bool {
        let pools = self.pools.borrow();
        let (mut failures, mut in_flight, mut latency_s) = (0, 0, 0.0_f64);
        let mut last_sample = None;
        for pool in pools.values() {
            let state = pool.state.borrow();
            let failed_at = state.connect_failed_at;
            failures += usize::from(failed_at.is_some_and(|at| now < at + FAILURE_WINDOW));
            in_flight += state.in_flight;
            last_sample = last_sample.max(Some(state.last_sample));
            latency_s = latency_s.max(state.latency_s);
        }
        let silence = MIN_SUSPICIOUS_SILENCE.max(Duration::from_secs_f64(latency_s.max(0.0) * 1.5));
        let silent = last_sample.is_some_and(|at| now > at + silence);
        failures >= SUSPICIOUS_FAILURES.min(upstreams.max(1)) || (in_flight > 0 && silent)
    }

    /// Returns the pool of a key; creates it with the view that `view` returns.
    pub fn get_or_create(
        &self,
        key: ids::UpstreamKey,
        view: impl FnOnce() -> Arc<view::UpstreamView>,
    ) -> Rc<UpstreamPool> {
        let mut pools = self.pools.borrow_mut();
        let pool = pools.entry(key);
        pool.or_insert_with(|| Rc::new(UpstreamPool::new(view())))
            .clone()
    }

    /// Returns the pool of an upstream, updated to `view`.
    pub fn get(&self, view: &Arc<view::UpstreamView>) -> Rc<UpstreamPool> {
        let mut pools = self.pools.borrow_mut();
        let new = || Rc::new(UpstreamPool::new(view.clone()));
        let pool = pools.entry(view.key).or_insert_with(new);
        if !Arc::ptr_eq(&pool.view.borrow(), view) {
            pool.view.replace(view.clone());
        }
        pool.clone()
    }

    /// Counts one more request at an upstream, without regard to its request limit.
    pub fn acquire(&self, pool: &Rc<UpstreamPool>) -> PoolPermit {
        pool.state.borrow_mut().in_flight += 1;
        PoolPermit {
            pool: pool.clone(),
            any_freed: self.any_freed.clone(),
        }
    }

    /// Drops unused pools of removed upstreams, and closes expired connections of the others.
    pub fn trim(&self, current: &view::GatewayView) {
        self.retain(|view| current.has_upstream(view.key));
    }

    /// Drops unused pools that `keeps` does not select, and closes expired connections of
    /// the others.
    pub fn retain(&self, keeps: impl Fn(&view::UpstreamView) -> bool) {
        let mut pools = self.pools.borrow_mut();
        pools.retain(|_, pool| pool.in_flight() > 0 || keeps(&pool.view.borrow()));
        for pool in pools.values() {
            pool.trim();
        }
    }
}
