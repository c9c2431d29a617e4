//! Watch of the teams' configurations, and their application to an instance.
//!
//! A version replaces only an older one, in whatever order the responses to
//! watches arrive. The version that was applied last is the one in force.

use crate::config;
use crate::config_store;
use crate::control;
use crate::controller;
use crate::instance;
use crate::store_client;
use crate::upstream;
use async_io::Timer;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Pause after a failed call to the metadata store.
const STORE_BACKOFF: Duration = Duration::from_millis(500);

impl control::ControlThread {
    pub(crate) async fn watch_config(this: Rc<Self>) {
        let mut after = 0;
        loop {
            match this.store.watch(config::CONFIG_PREFIX, after).await {
                Ok(response) => {
                    after = after.max(response.revision);
                    for entry in response.entries {
                        this.apply_entry(&entry);
                    }
                    this.configs_read.set(true);
                }
                Err(error) => {
                    log::debug!("watch of the configurations failed: {error}; retrying");
                    Timer::after(STORE_BACKOFF).await;
                }
            }
        }
    }

    fn apply_entry(self: &Rc<Self>, entry: &store_client::StoredEntry) {
        let Some(team) = entry.key.strip_prefix(config::CONFIG_PREFIX) else {
            return;
        };
        let version = match config_store::ConfigVersion::decode(&entry.key, &entry.value) {
            Ok(version) => version,
            Err(error) => return log::error!("team {team}: configuration not applied: {error}"),
        };
        let in_force = self
            .config_versions
            .borrow()
            .get(team)
            .copied()
            .unwrap_or(0);
        if version.version <= in_force {
            return;
        }
        match config::TeamConfig::parse(&entry.key, team, &version.text) {
            Ok(config) => self.apply_config(config, version.version),
            Err(error) => log::error!("team {team}: configuration not applied: {error}"),
        }
    }

    fn apply_config(self: &Rc<Self>, config: config::TeamConfig, version: u64) {
        log::info!("team {}: configuration {version} in force", config.team);
        for service in &config.services {
            self.apply_service(&config.team, service);
        }
        let keyed_services = config.services.iter().filter(|service| service.keyed);
        let topologies: Vec<_> = keyed_services
            .map(controller::ServiceTopology::from)
            .collect();
        self.config_versions
            .borrow_mut()
            .insert(config.team, version);
        for topology in topologies {
            self.handle(instance::InstanceEvent::Topology(topology));
        }
        self.publish();
    }

    fn apply_service(&self, team: &str, config: &config::ServiceConfig) {
        let mut services = self.services.borrow_mut();
        let state = services
            .entry(config.key)
            .or_insert_with(|| control::ServiceState {
                team: team.into(),
                config: Arc::new(config.clone()),
                retry_budget: Arc::default(),
                pools: HashMap::new(),
            });
        let request_limit = self.request_limit(config);
        let old = std::mem::take(&mut state.pools);
        for upstream_config in &config.upstreams {
            let unchanged = old
                .get(&upstream_config.key)
                .filter(|pool| pool.config == *upstream_config);
            let new = || {
                Arc::new(upstream::UpstreamPool::new(
                    upstream_config.clone(),
                    request_limit,
                ))
            };
            let pool = unchanged.cloned().unwrap_or_else(new);
            pool.set_limit(request_limit);
            state.pools.insert(upstream_config.key, pool);
        }
        state.config = Arc::new(config.clone());
    }

    /// Adjusts this instance's request limits to the number of instances.
    ///
    /// The number of instances is lowered by at most one per call: right after another
    /// instance became a service's controller, not all instances are counted yet.
    pub(crate) fn update_request_limits(&self) {
        let reported_count = self.core.borrow().instances();
        let Some(reported_count) =
            reported_count.filter(|reported_count| *reported_count != self.instance_count.get())
        else {
            return;
        };
        self.instance_count
            .set(reported_count.max(self.instance_count.get() - 1));
        for state in self.services.borrow().values() {
            let request_limit = self.request_limit(&state.config);
            for pool in state.pools.values() {
                pool.set_limit(request_limit);
            }
        }
    }

    /// Returns this instance's share of the connections that each of the service's
    /// upstreams accepts.
    fn request_limit(&self, config: &config::ServiceConfig) -> usize {
        (config.max_connections / self.instance_count.get()).max(1)
    }
}
