//! What traffic threads know of configuration, upstreams and owners.

use crate::directory;
use crate::ids;
use crate::ownership::record;
use crate::routing;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// One upstream as requests see it.
#[derive(Clone, Debug)]
pub struct UpstreamView {
    pub key: ids::UpstreamKey,
    pub id: Arc<str>,
    pub address: SocketAddr,
    /// Whether it is in the instance's availability zone.
    pub is_near: bool,
    pub slots: u32,
    /// When it began to drain, on the boot clock.
    pub draining_since: Option<Duration>,
    /// Until when it is slow after its start, on the boot clock.
    pub warm_at: Duration,
}

impl UpstreamView {
    /// Creates the view of a known upstream from an instance in `zone`.
    pub fn new(known: &directory::KnownUpstream, zone: &str) -> UpstreamView {
        UpstreamView {
            key: known.key,
            id: known.entry.id.clone(),
            address: known.entry.address,
            is_near: &*known.entry.zone == zone,
            slots: known.entry.slots,
            draining_since: known.draining_since,
            warm_at: known.warmup_until,
        }
    }
}

/// One service as requests see it.
#[derive(Clone, Debug)]
pub struct ServiceView {
    pub spec: Arc<routing::ServiceSpec>,
    pub upstreams: Vec<Arc<UpstreamView>>,
    /// Owners of the service's keys, if it has any.
    pub owners: Option<Arc<record::OwnershipRecord>>,
}

/// Where the requests of a key go now.
#[derive(Clone, Debug)]
pub enum KeyOwner {
    Upstream(Arc<UpstreamView>),
    /// The key changes hands or its owner left.
    Unsettled,
}

impl ServiceView {
    /// Returns an upstream.
    pub fn upstream(&self, key: ids::UpstreamKey) -> Option<&Arc<UpstreamView>> {
        self.upstreams.iter().find(|found| found.key == key)
    }

    /// Returns the owner of a key.
    pub fn owner(&self, key: u64) -> KeyOwner {
        let holding = self.owners.as_ref().and_then(|owners| owners.lookup(key));
        let settled = holding.filter(|holding| holding.granted && holding.former_owners.is_empty());
        let upstream = settled.and_then(|holding| self.upstream(holding.owner));
        upstream
            .cloned()
            .map_or(KeyOwner::Unsettled, KeyOwner::Upstream)
    }
}

/// Everything that requests see.
#[derive(Clone, Debug, Default)]
pub struct GatewayView {
    /// Absent until a configuration is known.
    pub config: Option<Arc<routing::RoutingConfig>>,
    pub services: HashMap<Arc<str>, Arc<ServiceView>>,
    /// Live instances, among which the capacity of upstreams is shared.
    pub instances: usize,
}
