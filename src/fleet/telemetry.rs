//! Metrics of the control plane: the store, ownership and grants.

use crate::metrics;
use crate::ownership::interface;
use crate::store;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Meter};
use std::time::Duration;

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

/// Instruments of the control plane.
#[derive(Debug)]
pub struct FleetMetrics {
    store_calls: Counter<u64>,
    store_age: Gauge<f64>,
    decisions: Counter<u64>,
    grants: Counter<u64>,
    ranges: Gauge<u64>,
    unowned_ranges: Gauge<u64>,
    unowned_seconds: Counter<f64>,
    grant_age: Gauge<f64>,
    instances: Gauge<u64>,
    limits: Gauge<u64>,
    permits: Counter<u64>,
    held_bytes: Gauge<u64>,
    ended_messages: Counter<u64>,
}

impl FleetMetrics {
    pub fn new(meter: &Meter) -> FleetMetrics {
        let counter = |name: &'static str, text: &'static str| {
            meter.u64_counter(name).with_description(text).build()
        };
        let gauge = |name: &'static str, text: &'static str| {
            meter.u64_gauge(name).with_description(text).build()
        };
        let seconds_gauge = |name: &'static str, text: &'static str| {
            meter.f64_gauge(name).with_description(text).build()
        };
        FleetMetrics {
            store_calls: counter("godwitloom.store.calls", "Calls to the store by result"),
            store_age: seconds_gauge(
                "godwitloom.store.age.seconds",
                "Time since the store or a relay last told what is new",
            ),
            decisions: counter("godwitloom.ownership.decisions", "Decisions about owners"),
            grants: counter(
                "godwitloom.grant.calls",
                "Grants sent to upstreams by result",
            ),
            ranges: gauge("godwitloom.ownership.ranges", "Ranges of the led service"),
            unowned_ranges: gauge(
                "godwitloom.ownership.unowned.ranges",
                "Ranges whose owner has not acknowledged its grant",
            ),
            unowned_seconds: meter
                .f64_counter("godwitloom.ownership.unowned.seconds")
                .with_description("Seconds without an owner, summed over ranges")
                .build(),
            grant_age: seconds_gauge(
                "godwitloom.grant.age.seconds",
                "Age of the oldest acknowledged renewal",
            ),
            instances: gauge(
                "godwitloom.instances",
                "Instances that share limits and budgets",
            ),
            limits: gauge(
                "godwitloom.upstream.limits",
                "Upstreams that state a limit on their requests",
            ),
            permits: counter(
                "godwitloom.limit.permits",
                "Permits received for requests to upstreams that state a limit",
            ),
            held_bytes: gauge(
                "godwitloom.memory.held.bytes",
                "Bytes held of long messages that others sent",
            ),
            ended_messages: counter(
                "godwitloom.memory.ended.messages",
                "Messages without a declared length that were ended for want of memory",
            ),
        }
    }

    pub fn record_store_call<T>(&self, call: StoreCall, result: &Result<T, store::StoreError>) {
        let result = match result {
            Ok(_) => "answered",
            Err(store::StoreError::Refused(_)) => "refused",
            Err(store::StoreError::Compacted) => "compacted",
            Err(store::StoreError::Restored(_)) => "restored",
            Err(store::StoreError::LeaseEnded(_)) => "lease-ended",
            Err(store::StoreError::Unanswered(_)) => "unanswered",
            Err(store::StoreError::Unreadable(_)) => "unreadable",
        };
        let call = KeyValue::new("call", call.as_str());
        self.store_calls
            .add(1, &[call, KeyValue::new("result", result)]);
    }

    /// Records the time since the store or a relay last reported what is new.
    pub fn record_store_age(&self, age: Duration) {
        self.store_age.record(age.as_secs_f64(), &[]);
    }

    pub fn record_decision(&self, service: &str, decision: &interface::OwnershipDecision) {
        let labels = metrics::labels(service, "decision", decision.as_str());
        self.decisions.add(1, &labels);
    }

    pub fn record_grant(&self, service: &str, result: interface::GrantResult) {
        let labels = metrics::labels(service, "result", result.as_str());
        self.grants.add(1, &labels);
    }

    /// Records the state of a service's grants, `elapsed` after the previous call.
    pub fn record_grant_progress(
        &self,
        service: &str,
        progress: interface::GrantProgress,
        elapsed: Duration,
    ) {
        let service = [KeyValue::new("service", service.to_owned())];
        self.ranges.record(progress.ranges as u64, &service);
        self.unowned_ranges
            .record(progress.unowned as u64, &service);
        self.grant_age
            .record(progress.oldest_ack_age.as_secs_f64(), &service);
        let seconds = elapsed.as_secs_f64() * progress.unowned as f64;
        self.unowned_seconds.add(seconds, &service);
    }

    /// Records the number of upstreams that state a limit.
    pub fn record_limits(&self, limits: usize) {
        self.limits.record(limits as u64, &[]);
    }

    /// Counts permits that the allocator of a limit gave to this instance.
    pub fn record_permits(&self, service: &str, permits: usize) {
        let service = [KeyValue::new("service", service.to_owned())];
        self.permits.add(permits as u64, &service);
    }

    /// Records the bytes held for others, and messages that were ended for want of memory.
    pub fn record_memory(&self, held: usize, ended: u64) {
        self.held_bytes.record(held as u64, &[]);
        self.ended_messages.add(ended, &[]);
    }

    /// Records the number of live instances.
    pub fn record_instances(&self, instances: usize) {
        self.instances.record(instances as u64, &[]);
    }
}
