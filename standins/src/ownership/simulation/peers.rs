//! What simulated instances learn from the store and from each other.

use super::{KEY_COUNT, OwnershipSimulation, POLL_INTERVAL, ScheduledTask, StoreMode};
use godwitloom::directory;
use godwitloom::ownership::{candidates, core, interface, load, record};

impl OwnershipSimulation {
    /// Delivers the store's state to an instance, and the instance's report to each
    /// leading instance.
    pub(super) fn poll_and_report(&mut self, index: usize) {
        self.schedule_task(POLL_INTERVAL, ScheduledTask::Poll(index));
        let instance = &self.instances[index];
        if instance.core.is_none() || instance.suspended {
            return;
        }
        if instance.reaches_store && self.store.mode != StoreMode::Down {
            let candidates = self.candidates();
            self.step_core(
                index,
                interface::OwnershipEvent::CandidatesUpdated(candidates),
            );
            let view = self.store.view();
            self.instances[index].era = view.as_of.era;
            let record = &mut self.instances[index].record;
            let view = record.on_poll(&mut self.random, view);
            self.step_core(index, interface::OwnershipEvent::StoreUpdated(view));
        }
        let event = self.instances[index].instance_seen();
        let report = self.load_report();
        for leader in 0..self.instances.len() {
            if self.instances[leader].is_leading() {
                let run = self.instances[leader].run;
                self.send_event(leader, run, event.clone());
                self.send_event(
                    leader,
                    run,
                    interface::OwnershipEvent::LoadReported(report.clone()),
                );
            }
        }
    }

    pub(super) fn load_report(&mut self) -> load::LoadReport {
        let mut counts = Vec::new();
        for _ in 0..20 {
            let key = match self.hot_key.filter(|_| self.random.bool()) {
                Some(key) => key,
                None => self.random.u64(0..KEY_COUNT),
            };
            let bucket = load::bucket_of(key, KEY_COUNT - 1) as u32;
            counts.push(load::BucketCount { bucket, count: 1 });
        }
        let latencies = self.upstreams.iter().map(|upstream| load::OwnerLatency {
            owner: upstream.info.key,
            responses: 1,
            sum_ms: 400,
        });
        load::LoadReport {
            counts,
            latencies: latencies.collect(),
        }
    }

    pub(super) fn candidates(&self) -> candidates::CandidateTable {
        let mut table = directory::UpstreamDirectory::default();
        for upstream in &self.upstreams {
            if upstream.is_registered(self.now) {
                table.put(self.now, upstream.entry());
            }
        }
        let candidates = table.iter().map(candidates::OwnerCandidate::from).collect();
        candidates::CandidateTable::new(candidates)
    }

    pub(super) fn probe_predecessor(&mut self, index: usize, predecessor: &record::InstanceInfo) {
        let core = self.instances[index].core.as_ref();
        let Some(position) = core.and_then(core::OwnershipCore::leader_position) else {
            return;
        };
        let found = self
            .instances
            .iter()
            .position(|other| other.name == predecessor.name);
        let Some(other) = found.filter(|other| {
            self.instances[*other].core.is_some() && !self.instances[*other].suspended
        }) else {
            return;
        };
        self.step_core(other, interface::OwnershipEvent::Superseded { position });
        let event = self.instances[other].instance_seen();
        let run = self.instances[index].run;
        self.send_event(index, run, event);
    }
}
