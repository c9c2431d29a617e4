//! What the traffic threads see of configuration and routes.
//!
//! The control thread publishes a new [`TrafficView`] on every change; a traffic
//! thread takes the current one per attempt and never waits for the control
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

/// One service as requests see it.
#[derive(Clone, Debug)]
pub struct ServiceView {
    pub team: Arc<str>,
    pub config: Arc<config::ServiceConfig>,
    pub table: routes::RouteTable,
    pub upstreams: Vec<Arc<upstream::UpstreamPool>>,
    pub budget: Arc<budget::RetryBudget>,
}

/// All services as requests see them.
#[derive(Debug, Default)]
pub struct TrafficView {
    services: HashMap<ids::ServiceKey, Arc<ServiceView>>,
}

/// Where a key's requests go now.
#[derive(Clone, Debug)]
pub enum KeyOwner {
    Upstream(Arc<upstream::UpstreamPool>),
    /// The key changes hands or its owner is not known yet.
    NoOwner,
}

impl TrafficView {
    /// Creates a view of `services`.
    pub fn new(services: impl IntoIterator<Item = Arc<ServiceView>>) -> TrafficView {
        let services = services.into_iter();
        TrafficView {
            services: services
                .map(|service| (service.config.key, service))
                .collect(),
        }
    }

    /// Returns a service.
    pub fn service(&self, key: ids::ServiceKey) -> Option<&Arc<ServiceView>> {
        self.services.get(&key)
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<ServiceView>> {
        self.services.values()
    }
}

impl ServiceView {
    /// Returns whether `method` may be repeated after an unknown outcome.
    pub fn is_idempotent(&self, method: http_types::Method) -> bool {
        let methods = &self.config.idempotent_methods;
        methods.iter().any(|name| name == method.as_ref())
    }

    /// Returns the owner of a key.
    pub fn owner(&self, hash: range::KeyHash) -> KeyOwner {
        let owner = self.table.lookup(hash).and_then(|entry| entry.owner);
        let owner = owner.and_then(|key| self.upstream(key));
        owner.map_or(KeyOwner::NoOwner, KeyOwner::Upstream)
    }

    fn upstream(&self, key: ids::UpstreamKey) -> Option<Arc<upstream::UpstreamPool>> {
        let found = self.upstreams.iter().find(|pool| pool.config.key == key);
        found.cloned()
    }

    /// Chooses an upstream of an unkeyed service: the less loaded of two.
    ///
    /// `avoid` is the upstream that an earlier attempt failed at.
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
