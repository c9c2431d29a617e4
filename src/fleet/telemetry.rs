//! Instruments of the control side: the store, ownership and grants.

use crate::metrics;
use crate::ownership::interface;
use crate::store;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Meter};
use std::time::Duration;

/// Kind of a call to the store.
#[derive(Clone, Copy, Debug)]
pub enum StoreCall {
    List,
    Watch,
    WatchConfig,
    Commit,
    OpenLease,
    RenewLease,
}

impl StoreCall {
    fn as_str(self) -> &'static str {
        match self {
            StoreCall::List => "list",
            StoreCall::Watch => "watch",
            StoreCall::WatchConfig => "watch-config",
            StoreCall::Commit => "commit",
            StoreCall::OpenLease => "open-lease",
            StoreCall::RenewLease => "keep-lease",
        }
    }
}

/// Instruments of the control side.
#[derive(Debug)]
pub struct FleetMetrics {
    store_calls: Counter<u64>,
    store_age: Gauge<f64>,
    decisions: Counter<u64>,
    grants: Counter<u64>,
    ranges: Gauge<u64>,
    unowned: Gauge<u64>,
    unowned_time: Counter<f64>,
    grant_age: Gauge<f64>,
    instances: Gauge<u64>,
}

impl FleetMetrics {
    /// Creates the instruments.
    pub fn new(meter: &Meter) -> FleetMetrics {
        let counter = |name: &'static str, text: &'static str| {
            meter.u64_counter(name).with_description(text).build()
        };
        let number = |name: &'static str, text: &'static str| {
            meter.u64_gauge(name).with_description(text).build()
        };
        let seconds = |name: &'static str, text: &'static str| {
            meter.f64_gauge(name).with_description(text).build()
        };
        FleetMetrics {
            store_calls: counter("godwitloom.store.calls", "Calls to the store by result"),
            store_age: seconds(
                "godwitloom.store.age.seconds",
                "Time since the store or a relay last told what is new",
            ),
            decisions: counter("godwitloom.ownership.decisions", "Decisions about owners"),
            grants: counter(
                "godwitloom.grant.calls",
                "Grants sent to upstreams by result",
            ),
            ranges: number("godwitloom.ownership.ranges", "Ranges of the led service"),
            unowned: number(
                "godwitloom.ownership.unowned.ranges",
                "Ranges whose owner has not acknowledged its grant",
            ),
            unowned_time: meter
                .f64_counter("godwitloom.ownership.unowned.seconds")
                .with_description("Seconds without an owner, summed over ranges")
                .build(),
            grant_age: seconds(
                "godwitloom.grant.age.seconds",
                "Age of the oldest acknowledged renewal",
            ),
            instances: number(
                "godwitloom.instances",
                "Instances that share limits and budgets",
            ),
        }
    }

    /// Counts a call to the store.
    pub fn store_called<T>(&self, call: StoreCall, result: &Result<T, store::StoreError>) {
        let result = match result {
            Ok(_) => "answered",
            Err(store::StoreError::Refused(_)) => "refused",
            Err(store::StoreError::Compacted) => "compacted",
            Err(store::StoreError::LeaseEnded) => "lease-ended",
            Err(store::StoreError::Unanswered(_)) => "unanswered",
            Err(store::StoreError::Unreadable(_)) => "unreadable",
        };
        let call = KeyValue::new("call", call.as_str());
        self.store_calls
            .add(1, &[call, KeyValue::new("result", result)]);
    }

    /// Sets the age of what is known of the store.
    pub fn store_known(&self, age: Duration) {
        self.store_age.record(age.as_secs_f64(), &[]);
    }

    /// Counts a decision about a service's owners.
    pub fn decided(&self, service: &str, note: &interface::OwnershipDecision) {
        let labels = metrics::labels(service, "decision", note.as_str());
        self.decisions.add(1, &labels);
    }

    /// Counts a grant sent to an upstream.
    pub fn granted(&self, service: &str, result: interface::GrantResult) {
        let labels = metrics::labels(service, "result", result.as_str());
        self.grants.add(1, &labels);
    }

    /// Sets the progress of a service's grants, `elapsed` after the last time.
    pub fn progressed(&self, service: &str, progress: interface::GrantProgress, elapsed: Duration) {
        let service = [KeyValue::new("service", service.to_owned())];
        self.ranges.record(progress.ranges as u64, &service);
        self.unowned.record(progress.unowned as u64, &service);
        self.grant_age
            .record(progress.oldest_ack_age.as_secs_f64(), &service);
        let time = elapsed.as_secs_f64() * progress.unowned as f64;
        self.unowned_time.add(time, &service);
    }

    /// Sets the number of live instances.
    pub fn counted(&self, instances: usize) {
        self.instances.record(instances as u64, &[]);
    }
}
