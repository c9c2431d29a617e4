//! Routing configuration: which requests are allowed, and which service gets them.
//!
//! A route is chosen by host and by the longest matching prefix of the path. A
//! configuration is replaced as a whole and only by a newer version.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestKind {
    /// May be retried although it may have run.
    Idempotent,
    /// May run at most once.
    NonIdempotent,
    /// May run at most once, and carries a large body.
    Upload,
}

impl RequestKind {
    /// Returns whether a request may be retried although it may have run.
    pub fn is_idempotent(self) -> bool {
        self == RequestKind::Idempotent
    }
}

/// Share of a route's requests that goes to one service, by weight.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceShare {
    pub service: Arc<str>,
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteRule {
    pub name: Arc<str>,
    /// Prefix of the paths that the route serves, with a slash at both ends.
    pub prefix: String,
    pub kind: RequestKind,
    /// Services among which the requests are divided; never empty.
    pub shares: Vec<ServiceShare>,
    /// Longest time until a caller gets a response; zero if the route sets none.
    pub timeout: Duration,
    /// Latency up to which a response is fully useful to the caller.
    pub latency_objective: Duration,
    /// Most attempts in which one request may run.
    pub max_attempts: u32,
    /// Priority under overload; 0 is the highest.
    pub priority: u32,
}

impl RouteRule {
    /// Returns one of the route's services, drawn at random by weight.
    pub fn pick_service(&self) -> Arc<str> {
        let total: u32 = self.shares.iter().map(|share| share.weight).sum();
        let mut point = fastrand::u32(..total.max(1));
        for share in &self.shares {
            if point < share.weight {
                return share.service.clone();
            }
            point -= share.weight;
        }
        self.shares[0].service.clone()
    }
}

/// Range of a service's keys.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KeySpace {
    /// Greatest key; the least is 0.
    pub last: u64,
}

/// Configuration of one service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceSpec {
    pub name: Arc<str>,
    /// Path of an upstream's health check.
    pub health_path: String,
    /// Connections that one upstream accepts from all instances together.
    pub max_connections: u32,
    /// Present for a keyed service, in which every key is owned by one upstream.
    pub key_space: Option<KeySpace>,
}

/// Limits on what a caller may send, and on how long it may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    pub max_head_bytes: usize,
    pub max_body_bytes: usize,
    /// Time within which a head must arrive, from its first byte on.
    pub head_timeout: Duration,
    /// Time for which a connection may stay without a request.
    pub idle_timeout: Duration,
}

/// Routing configuration of all services of a platform.
#[derive(Clone, Debug)]
pub struct RoutingConfig {
    pub version: u64,
    pub limits: CallerLimits,
    pub services: HashMap<Arc<str>, Arc<ServiceSpec>>,
    /// Routes of each host, the longest prefix first.
    hosts: HashMap<String, Vec<Arc<RouteRule>>>,
}

impl RoutingConfig {
    /// Creates a configuration from the routes of each host.
    pub fn new(
        version: u64,
        limits: CallerLimits,
        services: Vec<ServiceSpec>,
        routes: Vec<(String, RouteRule)>,
    ) -> RoutingConfig {
        let mut hosts: HashMap<String, Vec<Arc<RouteRule>>> = HashMap::new();
        for (host, rule) in routes {
            let host = host.to_ascii_lowercase();
            hosts.entry(host).or_default().push(Arc::new(rule));
        }
        for rules in hosts.values_mut() {
            rules.sort_by_key(|rule| Reverse(rule.prefix.len()));
        }
        let services = services.into_iter();
        RoutingConfig {
            version,
            limits,
            services: services
                .map(|service| (service.name.clone(), Arc::new(service)))
                .collect(),
            hosts,
        }
    }

    /// Returns the route for a host and path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        let rules = match self.hosts.get(host) {
            Some(rules) => rules,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        rules.iter().find(|rule| path.starts_with(&rule.prefix))
    }

    pub fn route_count(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }
}
