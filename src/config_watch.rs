//! Teams' configuration as an instance puts it into force.
//!
//! A version replaces only an older one, whatever order watches answer in.

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

/// Pause after a failed call to the platform's service.
const PLATFORM_BACKOFF: Duration = Duration::from_millis(500);

impl control::ControlThread {
    pub(crate) async fn watch_config(this: Rc<Self>) {
        let mut after = 0;
        loop {
            match this.platform.watch(config::CONFIG_PREFIX, after).await {
                Ok(answer) => {
                    after = after.max(answer.revision);
                    for entry in answer.entries {
                        this.take_config(&entry);
                    }
                    this.configured.set(true);
                }
                Err(error) => {
                    log::debug!("configuration not watched: {error}");
                    Timer::after(PLATFORM_BACKOFF).await;
                }
            }
        }
    }

    fn take_config(self: &Rc<Self>, entry: &store_client::StoredEntry) {
        let Some(team) = entry.key.strip_prefix(config::CONFIG_PREFIX) else {
            return;
        };
        let version = match config_store::ConfigVersion::decode(&entry.key, &entry.value) {
            Ok(version) => version,
            Err(error) => return log::error!("configuration not applied: {error}"),
        };
        let known = self.teams.borrow().get(team).copied().unwrap_or(0);
        if version.version <= known {
            return;
        }
        match config::TeamConfig::parse(&entry.key, team, &version.text) {
            Ok(config) => self.apply_config(config, version.version),
            Err(error) => log::error!("configuration not applied: {error}"),
        }
    }

    fn apply_config(self: &Rc<Self>, config: config::TeamConfig, version: u64) {
        log::info!("team {}: configuration {version} in force", config.team);
        for service in &config.services {
            self.apply_service(&config.team, service);
        }
        let plans = config.services.iter().filter(|service| service.keyed);
        let plans: Vec<_> = plans.map(controller::ServiceTopology::from).collect();
        self.teams.borrow_mut().insert(config.team, version);
        for plan in plans {
            self.handle(instance::InstanceEvent::Topology(plan));
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
                budget: Arc::default(),
                pools: HashMap::new(),
            });
        let share = self.connection_share(config);
        let old = std::mem::take(&mut state.pools);
        for declared in &config.upstreams {
            let same = old
                .get(&declared.key)
                .filter(|pool| pool.config == *declared);
            let new = || Arc::new(upstream::UpstreamPool::new(declared.clone(), share));
            let pool = same.cloned().unwrap_or_else(new);
            pool.set_limit(share);
            state.pools.insert(declared.key, pool);
        }
        state.config = Arc::new(config.clone());
    }

    /// Adapts this instance's share of connections to the number of instances.
    ///
    /// A smaller number is followed slowly: right after a change of controller
    /// it is not complete yet.
    pub(crate) fn share_connections(&self) {
        let found = self.core.borrow().instances();
        let Some(found) = found.filter(|found| *found != self.instances.get()) else {
            return;
        };
        self.instances.set(found.max(self.instances.get() - 1));
        for state in self.services.borrow().values() {
            let share = self.connection_share(&state.config);
            for pool in state.pools.values() {
                pool.set_limit(share);
            }
        }
    }

    /// Returns this instance's share of one upstream's connections.
    fn connection_share(&self, config: &config::ServiceConfig) -> usize {
        (config.max_connections / self.instances.get()).max(1)
    }
}
