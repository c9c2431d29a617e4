//! State that the traffic threads share with the control thread.

use crate::budget;
use crate::clock;
use crate::event_log;
use crate::gateway::{header_names, view};
use crate::ids;
use crate::metrics;
use crate::ownership::load;
use crate::routing;
use arc_swap::ArcSwap;
use event_listener::Event;
use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

/// Settings of the request path.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Time after the begin of a stop at which idle connections are closed.
    pub lame_duck: Duration,
    /// Time after the begin of a stop at which no attempt begins any more.
    pub attempt_cutoff: Duration,
    /// Repeated requests that all instances together may add to each request.
    pub retry_ratio: f64,
    /// Repeated requests that all instances together may send at once.
    pub retry_burst: f64,
}

/// State shared between the threads of an instance.
pub struct GatewayContext {
    pub view: ArcSwap<view::GatewayView>,
    /// Notified when the view changes.
    pub changed: Event,
    pub header_names: header_names::HeaderNames,
    pub settings: GatewaySettings,
    pub metrics: Arc<metrics::MetricSet>,
    pub log: event_log::EventLog,
    pub clock: Arc<dyn clock::Clock>,
    pub in_flight: AtomicUsize,
    stop_since: OnceLock<Instant>,
    /// Notified when connections without a request are to be closed.
    pub close_idle: Event,
    budgets: Mutex<HashMap<Arc<str>, Arc<budget::RetryBudget>>>,
    tallies: Mutex<HashMap<Arc<str>, LoadTally>>,
}

/// Requests for keys and answers of owners since the last report.
#[derive(Debug, Default)]
pub struct LoadTally {
    counts: HashMap<u32, u32>,
    latencies: HashMap<ids::UpstreamKey, (u32, u32)>,
}

impl LoadTally {
    /// Adds what another tally holds.
    pub fn merge(&mut self, other: LoadTally) {
        for (bucket, count) in other.counts {
            *self.counts.entry(bucket).or_default() += count;
        }
        for (owner, (answers, sum_ms)) in other.latencies {
            let entry = self.latencies.entry(owner).or_default();
            entry.0 += answers;
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
                .map(|(owner, (answers, sum_ms))| load::OwnerLatency {
                    owner,
                    responses: answers,
                    sum_ms,
                })
                .collect(),
        }
    }
}

impl GatewayContext {
    /// Creates a context that knows nothing yet.
    pub fn new(
        header_names: header_names::HeaderNames,
        settings: GatewaySettings,
        metrics: Arc<metrics::MetricSet>,
        log: event_log::EventLog,
        clock: Arc<dyn clock::Clock>,
    ) -> GatewayContext {
        GatewayContext {
            view: ArcSwap::default(),
            changed: Event::new(),
            header_names,
            settings,
            metrics,
            log,
            clock,
            in_flight: AtomicUsize::new(0),
            stop_since: OnceLock::new(),
            close_idle: Event::new(),
            budgets: Mutex::default(),
            tallies: Mutex::default(),
        }
    }

    /// Publishes a new view.
    pub fn publish(&self, view: view::GatewayView) {
        self.view.store(Arc::new(view));
        self.changed.notify(usize::MAX);
    }

    /// Begins the graceful stop.
    pub fn begin_stop(&self) {
        self.stop_since.get_or_init(Instant::now);
        // Requests that wait for an owner learn how long they may.
        self.changed.notify(usize::MAX);
    }

    /// Returns when no attempt may begin any more, once a stop has begun.
    pub fn attempts_until(&self) -> Option<Instant> {
        let since = self.stop_since.get()?;
        Some(*since + self.settings.attempt_cutoff)
    }

    /// Returns whether the graceful stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stop_since.get().is_some()
    }

    /// Returns whether connections without a request are closed.
    pub fn is_closing(&self) -> bool {
        let since = self.stop_since.get();
        since.is_some_and(|since| since.elapsed() >= self.settings.lame_duck)
    }

    /// Returns the retry budget of a service.
    pub fn budget(&self, service: &Arc<str>) -> Arc<budget::RetryBudget> {
        let mut budgets = self.budgets.lock().expect("no panic while locked");
        let instances = self.view.load().instances.max(1) as f64;
        let new = || {
            let burst = self.settings.retry_burst / instances;
            Arc::new(budget::RetryBudget::new(self.settings.retry_ratio, burst))
        };
        budgets.entry(service.clone()).or_insert_with(new).clone()
    }

    /// Counts a request for a key.
    pub fn count_key(&self, service: &routing::ServiceSpec, key: u64) {
        let Some(space) = service.key_space else {
            return;
        };
        let bucket = load::bucket_of(key, space.last) as u32;
        let mut tallies = self.tallies.lock().expect("no panic while locked");
        let tally = tallies.entry(service.name.clone()).or_default();
        *tally.counts.entry(bucket).or_default() += 1;
    }

    /// Notes the latency of an owner's answer.
    pub fn note_owner(&self, service: &Arc<str>, owner: ids::UpstreamKey, latency: Duration) {
        let mut tallies = self.tallies.lock().expect("no panic while locked");
        let tally = tallies.entry(service.clone()).or_default();
        let entry = tally.latencies.entry(owner).or_default();
        entry.0 += 1;
        entry.1 += latency.as_millis() as u32;
    }

    /// Takes the tallies since the last call.
    pub fn take_tallies(&self) -> HashMap<Arc<str>, LoadTally> {
        std::mem::take(&mut *self.tallies.lock().expect("no panic while locked"))
    }

    /// Counts a request in flight until the guard is dropped.
    pub fn enter(&self) -> FlightGuard<'_> {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        FlightGuard { context: self }
    }
}

/// Count of one request in flight.
pub struct FlightGuard<'a> {
    context: &'a GatewayContext,
}

impl Drop for FlightGuard<'_> {
    fn drop(&mut self) {
        self.context.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}
