//! Metrics of one instance, rendered in Prometheus' text format.

use crate::fleet::telemetry;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, Meter, MeterProvider, UpDownCounter};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use std::time::Duration;

/// Upper bounds of the latency histogram's buckets, in seconds.
const LATENCY_BUCKET_BOUNDS: [f64; 12] = [
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.015, 0.025, 0.05, 0.1, 0.5, 1.0, 5.0,
];

/// Instruments that record the metrics of one instance.
#[derive(Debug)]
pub struct MetricSet {
    registry: Registry,
    /// Kept alive for as long as its instruments are used.
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    latency: Histogram<f64>,
    retries: Counter<u64>,
    queued: UpDownCounter<i64>,
    refusals: Counter<u64>,
    attempts: Counter<u64>,
    budget_decisions: Counter<u64>,
    limited_attempts: Counter<u64>,
    limit_refusals: Counter<u64>,
    pauses: Counter<u64>,
    departures: Counter<u64>,
    crashes: Counter<u64>,
    pub control: ControlMetrics,
    pub fleet: telemetry::FleetMetrics,
}

/// Instruments of [`crate::control`]'s thread.
#[derive(Debug)]
pub struct ControlMetrics {
    pub peer_messages: Counter<u64>,
    pub upstream_messages: Counter<u64>,
    pub control_bytes: Counter<u64>,
    pub store_calls: Counter<u64>,
    pub route_changes: Counter<u64>,
}

impl ControlMetrics {
    fn new(meter: &Meter) -> ControlMetrics {
        let counter = |name: &'static str, text: &'static str| {
            meter.u64_counter(name).with_description(text).build()
        };
        ControlMetrics {
            peer_messages: counter("godwitloom.peer.messages", "Messages to other instances"),
            upstream_messages: counter("godwitloom.server.messages", "Messages to upstreams"),
            control_bytes: counter("godwitloom.control.bytes", "Bytes of control messages sent"),
            store_calls: counter(
                "godwitloom.platform.calls",
                "Calls to the platform's service",
            ),
            route_changes: counter("godwitloom.route.changes", "Changes of known routes"),
        }
    }
}

impl MetricSet {
    /// Creates the instruments and the registry that collects them.
    pub fn new() -> MetricSet {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()
            .expect("registry is empty");
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("godwitloom");
        MetricSet {
            registry,
            requests: meter
                .u64_counter("godwitloom.requests")
                .with_description("Answered requests by service and status")
                .build(),
            latency: meter
                .f64_histogram("godwitloom.request.seconds")
                .with_description("Time from a request's head to its answer's head")
                .with_boundaries(LATENCY_BUCKET_BOUNDS.to_vec())
                .build(),
            retries: meter
                .u64_counter("godwitloom.retries")
                .with_description("Repeated attempts by service")
                .build(),
            queued: meter
                .i64_up_down_counter("godwitloom.held")
                .with_description("Requests that wait for an owner")
                .build(),
            refusals: meter
                .u64_counter("godwitloom.refusals")
                .with_description("Answers of the instance itself by service and reason")
                .build(),
            attempts: meter
                .u64_counter("godwitloom.attempts")
                .with_description("Attempts at upstreams by service and result")
                .build(),
            budget_decisions: meter
                .u64_counter("godwitloom.retry.budget")
                .with_description("Repetitions that the retry budget allowed or denied")
                .build(),
            limited_attempts: meter
                .u64_counter("godwitloom.limited.attempts")
                .with_description("Attempts at upstreams that state a limit")
                .build(),
            limit_refusals: meter
                .u64_counter("godwitloom.limit.refusals")
                .with_description("Attempts that the limit of an upstream did not allow")
                .build(),
            pauses: meter
                .u64_counter("godwitloom.upstream.pauses")
                .with_description("Times that an upstream wanted no requests for a while")
                .build(),
            departures: meter
                .u64_counter("godwitloom.upstream.departures")
                .with_description("Upstreams that were said to leave, by source")
                .build(),
            crashes: meter
                .u64_counter("godwitloom.upstream.crashes")
                .with_description("Ends of upstreams that this instance saw, by request")
                .build(),
            control: ControlMetrics::new(&meter),
            fleet: telemetry::FleetMetrics::new(&meter),
            _provider: provider,
        }
    }

    /// Counts a response to a caller and records its latency.
    pub fn record_response(&self, service: &str, status: u16, latency: Duration) {
        let service = KeyValue::new("service", service.to_owned());
        self.latency
            .record(latency.as_secs_f64(), std::slice::from_ref(&service));
        let status = KeyValue::new("status", i64::from(status));
        self.requests.add(1, &[service, status]);
    }

    /// Counts a refusal of the instance itself.
    pub fn record_refusal(&self, service: &str, reason: &'static str) {
        self.refusals.add(1, &labels(service, "reason", reason));
    }

    /// Counts an attempt that ended; `result` is `answered` or the name of its error.
    pub fn record_attempt(&self, service: &str, result: &'static str) {
        self.attempts.add(1, &labels(service, "result", result));
    }

    /// Counts a decision of the retry budget whether a retry is allowed.
    pub fn record_budget_decision(&self, service: &str, allowed: bool) {
        let decision = if allowed { "spent" } else { "exhausted" };
        self.budget_decisions
            .add(1, &labels(service, "decision", decision));
    }

    /// Counts an attempt at an upstream that states a limit.
    pub fn record_limited_attempt(&self, service: &str) {
        self.limited_attempts
            .add(1, &[KeyValue::new("service", service.to_owned())]);
    }

    /// Counts a request that an upstream's limit did not allow, or that got no answer
    /// from the limit's allocator.
    pub fn record_limit_refusal(&self, service: &str, result: &'static str) {
        self.limit_refusals
            .add(1, &labels(service, "result", result));
    }

    /// Counts an upstream that wants no requests for a while.
    pub fn record_pause(&self, service: &str) {
        self.pauses
            .add(1, &[KeyValue::new("service", service.to_owned())]);
    }

    /// Counts a notice that an upstream leaves; `source` tells where it came from.
    pub fn record_departure(&self, service: &str, source: &'static str) {
        self.departures.add(1, &labels(service, "source", source));
    }

    /// Counts an end of an upstream under a request.
    pub fn record_crash(&self, service: &str) {
        self.crashes
            .add(1, &[KeyValue::new("service", service.to_owned())]);
    }

    pub fn record_retry(&self, service: &str) {
        self.retries
            .add(1, &[KeyValue::new("service", service.to_owned())]);
    }

    /// Adds `change` to the number of queued requests: `1` or `-1` for one more or one fewer.
    pub fn add_queued(&self, change: i64) {
        self.queued.add(change, &[]);
    }

    /// Returns all metrics in Prometheus' text format.
    pub fn render(&self) -> String {
        let mut output = Vec::new();
        let families = self.registry.gather();
        if let Err(error) = TextEncoder::new().encode(&families, &mut output) {
            log::error!("metrics cannot be encoded: {error}");
        }
        String::from_utf8_lossy(&output).into_owned()
    }
}

/// Returns a label for the service and one called `name`.
pub fn labels(service: &str, name: &'static str, value: &'static str) -> [KeyValue; 2] {
    [
        KeyValue::new("service", service.to_owned()),
        KeyValue::new(name, value),
    ]
}

impl Default for MetricSet {
    fn default() -> MetricSet {
        MetricSet::new()
    }
}
