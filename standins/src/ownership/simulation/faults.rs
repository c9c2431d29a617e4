//! Faults that a test injects into the simulation, and their end.

use super::{OwnershipSimulation, StoreMode};
use godwitloom::ownership::interface;

impl OwnershipSimulation {
    /// Ends an instance's process at once.
    pub fn kill(&mut self, index: usize) {
        self.instances[index].core = None;
    }

    /// Starts a new run of an instance, if it was killed.
    pub fn restart(&mut self, index: usize) {
        if self.instances[index].core.is_none() {
            self.start_instance(index);
        }
    }

    /// Suspends an instance; events for it are deferred.
    pub fn suspend(&mut self, index: usize) {
        self.instances[index].suspended = true;
    }

    /// Resumes a suspended instance and delivers its deferred events.
    pub fn resume(&mut self, index: usize) {
        self.instances[index].suspended = false;
        let deferred = std::mem::take(&mut self.instances[index].deferred);
        for event in deferred {
            self.step_core(index, event);
        }
    }

    /// Asks an instance to stop gracefully.
    pub fn stop(&mut self, index: usize) {
        self.deliver(index, interface::OwnershipEvent::Stop);
    }

    /// Sets whether an instance reaches the store.
    pub fn set_reaches_store(&mut self, index: usize, reaches: bool) {
        self.instances[index].reaches_store = reaches;
    }

    /// Sets whether a network partition separates an instance from an upstream.
    pub fn set_partitioned(&mut self, instance: usize, upstream: usize, partitioned: bool) {
        match partitioned {
            true => self.partitions.insert((instance, upstream)),
            false => self.partitions.remove(&(instance, upstream)),
        };
    }

    pub fn set_store_mode(&mut self, mode: StoreMode) {
        self.store.mode = mode;
    }

    /// Restores the store from a copy that is `age` seconds older than the last one.
    pub fn restore_store(&mut self, age: usize) {
        self.store.restore(age);
    }

    /// Ends an upstream's process at once.
    pub fn kill_upstream(&mut self, index: usize) {
        self.upstreams[index].kill(self.now);
    }

    /// Starts a new run of an upstream, if it was killed.
    pub fn restart_upstream(&mut self, index: usize) {
        self.upstreams[index].restart();
    }

    /// Sets whether an upstream is registered as draining.
    pub fn set_draining(&mut self, index: usize, draining: bool) {
        self.upstreams[index].draining = draining;
    }

    /// Sets whether an upstream reaches the store to renew its entry.
    pub fn set_upstream_reaches_store(&mut self, index: usize, reaches: bool) {
        let now = self.now;
        self.upstreams[index].set_reaches_store(now, reaches);
    }

    /// Directs about half of the requests to one key, or spreads all evenly.
    pub fn set_hot_key(&mut self, key: Option<u64>) {
        self.hot_key = key;
    }

    /// Ends all faults; killed processes are restarted.
    pub fn end_faults(&mut self) {
        self.store.mode = StoreMode::Up;
        self.late_grant_percent = 0;
        self.partitions.clear();
        for index in 0..self.instances.len() {
            self.instances[index].reaches_store = true;
            self.restart(index);
            if self.instances[index].suspended {
                self.resume(index);
            }
        }
        for index in 0..self.upstreams.len() {
            self.upstreams[index].restart();
            self.set_upstream_reaches_store(index, true);
            self.upstreams[index].draining = false;
        }
    }
}
