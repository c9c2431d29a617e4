//! State that the traffic threads share with the control thread.

use crate::budget;
use crate::clock;
use crate::event_log;
use crate::fleet::events;
use crate::gateway::{header_names, links, view};
use crate::ids;
use crate::limits::table;
use crate::memory;
use crate::metrics;
use crate::notices::{crashes, departures, pauses};
use crate::ownership::load;
use crate::routing;
use arc_swap::ArcSwap;
use event_listener::Event;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

/// Settings of the request path.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Time from the start of a graceful stop until idle connections are closed.
    pub lame_duck: Duration,
    /// Time from the start of a graceful stop after which no attempt starts.
    pub attempt_cutoff: Duration,
    /// Time from the start of a graceful stop after which no response is awaited any more.
    pub response_cutoff: Duration,
    /// Ratio of retries to requests that the retry budget allows in the long run.
    pub retry_ratio: f64,
    /// Retries that all instances together may send at once.
    pub retry_burst: f64,
    /// Time after an upstream begins to leave for which it still gets requests for keys
    /// that it owns.
    pub drain_grace: Duration,
}

/// State that the threads of an instance share.
pub struct GatewayContext {
    pub view: ArcSwap<view::GatewayView>,
    /// Notified when the view changes and when a graceful stop starts.
    pub view_changed: Event,
    pub header_names: header_names::HeaderNames,
    pub settings: GatewaySettings,
    pub metrics: Arc<metrics::MetricSet>,
    pub log: event_log::EventLog,
    pub clock: Arc<dyn clock::Clock>,
    /// Limits that upstreams state.
    pub limits: table::LimitTable,
    /// Upstreams that said that they leave.
    pub departures: departures::DepartureTable,
    /// Upstreams that want no requests for a while.
    pub pauses: pauses::PauseTable,
    /// Requests under which upstreams ended.
    pub crashes: crashes::CrashTable,
    /// Whether this instance reaches the upstreams.
    pub links: links::LinkState,
    /// Addresses at which the other live instances take requests.
    pub helpers: ArcSwap<Vec<SocketAddr>>,
    /// Memory that this process may hold for what upstreams and others send.
    pub memory: Arc<memory::MemoryBudget>,
    /// Requests that were taken from other instances and have no response yet.
    pub taken: AtomicUsize,
    /// Requests that were read and have no response yet.
    pub in_flight: AtomicUsize,
    stopping_since: OnceLock<Instant>,
    /// Notified at the end of the lame-duck period, when idle connections are closed.
    pub close_idle: Event,
    /// Notified when no response of an upstream is awaited any more.
    pub end_attempts: Event,
    /// Notified when the instance loses its links to the upstreams, or has them again.
    pub links_changed: Event,
    retry_budgets: Mutex<HashMap<Arc<str>, Arc<budget::RetryBudget>>>,
    tallies: Mutex<HashMap<Arc<str>, LoadTally>>,
}

/// Requests for keys and latencies of their owners since the last report.
#[derive(Debug, Default)]
pub struct LoadTally {
    /// Requests by bucket of the key space.
    counts: HashMap<u32, u32>,
    /// Number of responses and sum of their latencies in milliseconds, by owner.
    latencies: HashMap<ids::UpstreamKey, (u32, u32)>,
}

impl LoadTally {
    /// Adds the counts and latencies of another tally.
    pub fn merge(&mut self, other: LoadTally) {
        for (bucket, count) in other.counts {
            *self.counts.entry(bucket).or_default() += count;
        }
        for (owner, (responses, sum_ms)) in other.latencies {
            let entry = self.latencies.entry(owner).or_default();
            entry.0 += responses;
            entry.1 += sum_ms;
        }
    }
}

impl From<LoadTally> for load::LoadReport {
    fn from(tally: LoadTally) -> load::LoadReport {
        let counts = tally.counts.into_iter();
        let latencies = tally.latencies.into_iter();
        load::LoadReport {
            counts: counts
                .map(|(bucket, count)| load::BucketCount { bucket, count })
                .collect(),
            latencies: latencies
                .map(|(owner, (responses, sum_ms))| load::OwnerLatency {
                    owner,
                    responses,
                    sum_ms,
                })
                .collect(),
        }
    }
}

impl GatewayContext {
    /// Creates a context with an empty view.
    pub fn new(
        header_names: header_names::HeaderNames,
        settings: GatewaySettings,
        metrics: Arc<metrics::MetricSet>,
        log: event_log::EventLog,
        clock: Arc<dyn clock::Clock>,
        memory: Arc<memory::MemoryBudget>,
    ) -> GatewayContext {
        GatewayContext {
            view: ArcSwap::default(),
            view_changed: Event::new(),
            header_names,
            settings,
            metrics,
            log,
            clock,
            limits: table::LimitTable::default(),
            departures: departures::DepartureTable::default(),
            pauses: pauses::PauseTable::default(),
            crashes: crashes::CrashTable::default(),
            links: links::LinkState::default(),
            helpers: ArcSwap::default(),
            memory,
            taken: AtomicUsize::new(0),
            in_flight: AtomicUsize::new(0),
            stopping_since: OnceLock::new(),
            close_idle: Event::new(),
            end_attempts: Event::new(),
            links_changed: Event::new(),
            retry_budgets: Mutex::default(),
            tallies: Mutex::default(),
        }
    }

    /// Replaces the view and wakes whoever waits for a change of it.
    pub fn publish(&self, view: view::GatewayView) {
        if view.instances != self.view.load().instances {
            let burst = self.retry_burst(view.instances);
            let retry_budgets = self.retry_budgets.lock().expect("no panic while locked");
            for budget in retry_budgets.values() {
                budget.set_burst(burst);
            }
        }
        self.view.store(Arc::new(view));
        self.view_changed.notify(usize::MAX);
    }

    /// Wakes whoever waits for an upstream, and tells the control thread.
    pub fn note_links_changed(&self, stranded: bool) {
        self.log.emit(&events::LinksChanged { stranded });
        self.view_changed.notify(usize::MAX);
        self.links_changed.notify(usize::MAX);
    }

    /// Starts the graceful stop; further calls change nothing.
    pub fn begin_stop(&self) {
        self.stopping_since.get_or_init(Instant::now);
        // Requests that wait for an owner shorten their wait to the attempt cutoff.
        self.view_changed.notify(usize::MAX);
    }

    /// Returns the moment after which no attempt may start; `None` before a graceful stop.
    pub fn attempt_cutoff(&self) -> Option<Instant> {
        let since = self.stopping_since.get()?;
        Some(*since + self.settings.attempt_cutoff)
    }

    /// Returns whether the graceful stop has started.
    pub fn is_stopping(&self) -> bool {
        self.stopping_since.get().is_some()
    }

    /// Returns whether the lame-duck period is over, so that idle connections are closed.
    pub fn is_closing(&self) -> bool {
        let since = self.stopping_since.get();
        since.is_some_and(|since| since.elapsed() >= self.settings.lame_duck)
    }

    /// Returns this instance's retry budget of a service.
    ///
    /// The burst is divided among the live instances.
    pub fn retry_budget(&self, service: &Arc<str>) -> Arc<budget::RetryBudget> {
        let mut retry_budgets = self.retry_budgets.lock().expect("no panic while locked");
        let new = || {
            let burst = self.retry_burst(self.view.load().instances);
            Arc::new(budget::RetryBudget::new(self.settings.retry_ratio, burst))
        };
        retry_budgets
            .entry(service.clone())
            .or_insert_with(new)
            .clone()
    }

    /// Returns the share of one of `instances` in the burst of retries.
    fn retry_burst(&self, instances: usize) -> f64 {
        self.settings.retry_burst / instances.max(1) as f64
    }

    /// Counts a request for a key in the service's tally.
    pub fn count_request(&self, service: &routing::ServiceSpec, key: u64) {
        let Some(space) = service.key_space else {
            return;
        };
        let bucket = load::bucket_of(key, space.last) as u32;
        let mut tallies = self.tallies.lock().expect("no panic while locked");
        let tally = tallies.entry(service.name.clone()).or_default();
        *tally.counts.entry(bucket).or_default() += 1;
    }

    /// Adds the latency of an owner's response to the service's tally.
    pub fn record_latency(&self, service: &Arc<str>, owner: ids::UpstreamKey, latency: Duration) {
        let mut tallies = self.tallies.lock().expect("no panic while locked");
        let tally = tallies.entry(service.clone()).or_default();
        let entry = tally.latencies.entry(owner).or_default();
        entry.0 += 1;
        entry.1 += latency.as_millis() as u32;
    }

    /// Returns the tallies since the last call, by service.
    pub fn take_tallies(&self) -> HashMap<Arc<str>, LoadTally> {
        std::mem::take(&mut *self.tallies.lock().expect("no panic while locked"))
    }

    /// Counts a request in flight until the guard is dropped.
    pub fn track_request(&self) -> InFlightGuard<'_> {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        InFlightGuard { context: self }
    }
}

/// Counts one request as in flight until it is dropped.
pub struct InFlightGuard<'a> {
    context: &'a GatewayContext,
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.context.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}
