//! Upstreams that leave: what the traffic threads, the upstreams' responses to grants and
//! other instances tell of them.

use super::ControlThread;
use crate::fleet::{events, peer};
use crate::ids;
use async_io::Timer;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Time for which departures are collected before the leader is told.
const COLLECT_TIME: Duration = Duration::from_millis(20);

impl ControlThread {
    /// Passes departures that the traffic threads noted on to the directory, and to the
    /// leaders of their services.
    pub(super) async fn pass_on_departures(this: Rc<Self>) {
        while let Some(first) = this.context.departures.next_notice().await {
            Timer::after(COLLECT_TIME).await;
            let mut services: Vec<Arc<str>> = Vec::new();
            let mut next = Some(first);
            while let Some(notice) = next {
                let source = events::DepartureSource::Response;
                this.note_departure(&notice.service, notice.upstream, source);
                if !services.contains(&notice.service) {
                    services.push(notice.service);
                }
                next = this.context.departures.try_next_notice();
            }
            for service in services {
                this.report_service(&service);
            }
        }
    }

    /// Notes that an upstream leaves, so that no keys stay with it.
    fn note_departure(
        self: &Rc<Self>,
        service: &str,
        upstream: ids::UpstreamKey,
        source: events::DepartureSource,
    ) {
        let now = self.now();
        let metrics = &self.context.metrics;
        metrics.record_departure(service, source.as_str());
        self.context.log.emit(&events::UpstreamLeaving {
            upstream: self.upstream_id(upstream),
            service: service.to_owned(),
            source,
        });
        let effect = self.mirror.borrow_mut().note_leaving(now, upstream);
        self.apply_effect(effect);
    }

    /// Notes that an upstream said in its response to a grant or release that it leaves.
    pub(super) fn note_call_departure(&self, service: &str, upstream: ids::UpstreamKey) {
        let now = self.now();
        // The notice is passed on like those of the traffic threads.
        let service = Arc::from(service);
        self.context.departures.note(now, &service, upstream);
    }

    /// Notes upstreams that leave, as another instance reports to the leader.
    pub(super) fn note_reported_departures(
        self: &Rc<Self>,
        service: &str,
        reported: &[ids::UpstreamKey],
    ) {
        if reported.is_empty() {
            return;
        }
        let leading = self.leads(service);
        for upstream in reported.iter().filter(|_| leading) {
            let draining = {
                let mirror = self.mirror.borrow();
                let known = mirror.directory.get(*upstream);
                known.map(|known| known.draining_since.is_some())
            };
            match draining {
                Some(true) => {}
                Some(false) => {
                    self.note_departure(service, *upstream, events::DepartureSource::Report)
                }
                None => {
                    let metrics = &self.context.metrics;
                    metrics.record_departure(service, "unknown");
                    log::debug!(
                        "{service}: {upstream} is said to leave but is not registered; ignored"
                    );
                }
            }
        }
    }

    /// Returns the owners of a service's keys that told this instance that they leave.
    pub(super) fn departing_owners(&self, service: &str) -> Vec<ids::UpstreamKey> {
        let departures = &self.context.departures;
        if departures.is_empty() {
            return Vec::new();
        }
        let mirror = self.mirror.borrow();
        let Some(record) = mirror.record(service) else {
            return Vec::new();
        };
        let owners = record.assignments.iter().map(|assignment| assignment.owner);
        let mut owners: Vec<_> = owners
            .filter(|owner| departures.since(*owner).is_some())
            .collect();
        owners.sort_unstable();
        owners.dedup();
        owners.truncate(peer::MAX_REPORT_DEPARTURES);
        owners
    }
}
