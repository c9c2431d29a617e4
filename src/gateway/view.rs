//! Immutable snapshot of configuration, upstreams and owners for the traffic threads.

use crate::directory;
use crate::ids;
use crate::ownership::record;
use crate::routing;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// One upstream.
#[derive(Clone, Debug)]
pub struct UpstreamView {
    pub key: ids::UpstreamKey,
    pub id: Arc<str>,
    pub address: SocketAddr,
    /// Whether the upstream is in this instance's availability zone.
    pub in_local_zone: bool,
    /// Most requests that the upstream runs concurrently.
    pub slots: u32,
    /// When the upstream was first seen draining, on the boot clock.
    pub draining_since: Option<Duration>,
    /// Until when the upstream is warming up, and so slow, on the boot clock.
    pub warmup_until: Duration,
}

impl UpstreamView {
    /// Creates the view of an upstream for an instance in the availability zone `zone`.
    pub fn new(known: &directory::KnownUpstream, zone: &str) -> UpstreamView {
        UpstreamView {
            key: known.key,
            id: known.entry.id.clone(),
            address: known.entry.address,
            in_local_zone: &*known.entry.zone == zone,
            slots: known.entry.slots,
            draining_since: known.draining_since,
            warmup_until: known.warmup_until,
        }
    }
}

/// One service with its upstreams.
#[derive(Clone, Debug)]
pub struct ServiceView {
    pub spec: Arc<routing::ServiceSpec>,
    pub upstreams: Vec<Arc<UpstreamView>>,
    /// Owners of the service's keys; absent until known, and for an unkeyed service.
    pub owners: Option<Arc<record::OwnershipRecord>>,
}

/// Upstream that gets the requests for a key.
#[derive(Clone, Debug)]
pub enum KeyOwner {
    Upstream(Arc<UpstreamView>),
    /// The key is being moved to another upstream, or its owner is gone or unknown.
    NoOwner,
}

impl ServiceView {
    /// Returns the upstream with the given key.
    pub fn upstream(&self, key: ids::UpstreamKey) -> Option<&Arc<UpstreamView>> {
        self.upstreams.iter().find(|found| found.key == key)
    }

    /// Returns the owner of a key, if it has acknowledged its grant and no former owner is left.
    pub fn owner(&self, key: u64) -> KeyOwner {
        let assignment = self.owners.as_ref().and_then(|owners| owners.lookup(key));
        let granted = assignment
            .filter(|assignment| assignment.granted && assignment.former_owners.is_empty());
        let upstream = granted.and_then(|assignment| self.upstream(assignment.owner));
        upstream
            .cloned()
            .map_or(KeyOwner::NoOwner, KeyOwner::Upstream)
    }
}

impl GatewayView {
    /// Returns the addresses of all upstreams that do not leave.
    pub fn upstream_addresses(&self) -> impl Iterator<Item = SocketAddr> {
        let upstreams = self
            .services
            .values()
            .flat_map(|service| &service.upstreams);
        let staying = upstreams.filter(|upstream| upstream.draining_since.is_none());
        staying.map(|upstream| upstream.address)
    }

    /// Returns the number of upstreams that do not leave.
    pub fn upstream_count(&self) -> usize {
        self.upstream_addresses().count()
    }

    /// Returns whether an upstream is registered, of any service.
    pub fn has_upstream(&self, key: ids::UpstreamKey) -> bool {
        let mut services = self.services.values();
        services.any(|service| service.upstream(key).is_some())
    }
}

/// State on which the handling of a request depends.
#[derive(Clone, Debug, Default)]
pub struct GatewayView {
    /// Absent until a configuration is known.
    pub config: Option<Arc<routing::RoutingConfig>>,
    pub services: HashMap<Arc<str>, Arc<ServiceView>>,
    /// Number of live instances, among which the capacity of upstreams is divided.
    pub instances: usize,
}
