//! Immutable snapshot of configuration and routes for the traffic threads.
//!
//! The control thread publishes a new [`TrafficView`] on every change. A traffic
//! thread loads the current one for each attempt and never waits for the control
//! thread.

use crate::budget;
use crate::config;
use crate::ids;
use crate::range;
use crate::routes;
use crate::upstream;
use smallvec::SmallVec;
use std::collections::HashMap;
use std::sync::Arc;

/// One service with its upstreams.
#[derive(Clone, Debug)]
pub struct ServiceView {
    pub team: Arc<str>,
    pub config: Arc<config::ServiceConfig>,
    /// Owners of a keyed service's keys; empty for an unkeyed service.
    pub table: routes::RouteTable,
    pub upstreams: Vec<Arc<upstream::UpstreamPool>>,
    pub retry_budget: Arc<budget::RetryBudget>,
}

/// All configured services.
#[derive(Debug, Default)]
pub struct TrafficView {
    services: HashMap<ids::ServiceKey, Arc<ServiceView>>,
}

/// Upstream that gets the requests for a key.
#[derive(Clone, Debug)]
pub enum KeyOwner {
    Upstream(Arc<upstream::UpstreamPool>),
    /// The key is being moved to another upstream, or its owner is not known yet.
    NoOwner,
}

impl TrafficView {
    pub fn new(services: impl IntoIterator<Item = Arc<ServiceView>>) -> TrafficView {
        let services = services.into_iter();
        TrafficView {
            services: services
                .map(|service| (service.config.key, service))
                .collect(),
        }
    }

    /// Returns the service with the given key; `None` if it is not configured.
    pub fn service(&self, key: ids::ServiceKey) -> Option<&Arc<ServiceView>> {
        self.services.get(&key)
    }

    pub fn services(&self) -> impl Iterator<Item = &Arc<ServiceView>> {
        self.services.values()
    }
}

impl ServiceView {
    /// Returns whether a request with `method` may be retried after an unknown outcome.
    pub fn is_idempotent(&self, method: http_types::Method) -> bool {
        let methods = &self.config.idempotent_methods;
        methods.iter().any(|name| name == method.as_ref())
    }

    /// Returns the owner of a key by the key's hash.
    pub fn owner(&self, hash: range::KeyHash) -> KeyOwner {
        let owner = self.table.lookup(hash).and_then(|entry| entry.owner);
        let owner = owner.and_then(|key| self.upstream(key));
        owner.map_or(KeyOwner::NoOwner, KeyOwner::Upstream)
    }

    fn upstream(&self, key: ids::UpstreamKey) -> Option<Arc<upstream::UpstreamPool>> {
        let found = self.upstreams.iter().find(|pool| pool.config.key == key);
        found.cloned()
    }

    /// Chooses an upstream of an unkeyed service: the less loaded of two random ones.
    ///
    /// `avoid` excludes the upstream of an earlier, failed attempt.
    pub fn choose(&self, avoid: Option<ids::UpstreamKey>) -> Option<Arc<upstream::UpstreamPool>> {
        let usable = |pool: &&Arc<upstream::UpstreamPool>| {
            !pool.config.leaving && Some(pool.config.key) != avoid
        };
        let usable: SmallVec<[_; 16]> = self.upstreams.iter().filter(usable).collect();
        let pick = || usable.get(fastrand::usize(..usable.len().max(1))).copied();
        let two = [pick(), pick()];
        let chosen = two
            .into_iter()
            .flatten()
            .min_by_key(|pool| pool.in_flight());
        chosen.cloned()
    }
}
