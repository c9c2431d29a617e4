//! Configuration of one team: its services and their upstreams.

use crate::controller;
use crate::document;
use crate::holder;
use crate::ids;
use crate::upstream_state;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Prefix of the teams' configurations in the metadata store.
pub const CONFIG_PREFIX: &str = "config/";

/// Validated configuration of one team.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TeamConfig {
    pub team: String,
    pub services: Vec<ServiceConfig>,
}

/// One service of a team.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceConfig {
    pub key: ids::ServiceKey,
    pub name: String,
    /// Whether each key is owned by one upstream.
    pub keyed: bool,
    /// Key ranges into which a keyed service is divided, per upstream.
    pub ranges_per_upstream: usize,
    /// Whether the upstreams compare fencing tokens.
    pub check: holder::FenceCheck,
    /// Methods of requests that may be retried after an unknown outcome.
    pub idempotent_methods: Vec<String>,
    /// Connections that one upstream accepts from all instances together.
    pub max_connections: usize,
    pub upstreams: Vec<UpstreamConfig>,
}

/// One upstream of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamConfig {
    pub key: ids::UpstreamKey,
    pub name: String,
    pub zone: String,
    pub request_address: SocketAddr,
    /// Address to which instances send grants, over UDP.
    pub grant_address: SocketAddr,
    /// Whether to drain the upstream: its keys move away, and unkeyed requests go
    /// to others.
    pub leaving: bool,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct TeamFile {
    services: BTreeMap<String, ServiceFile>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ServiceFile {
    keyed: bool,
    #[serde(default = "default_ranges")]
    ranges_per_upstream: u64,
    #[serde(default = "default_checks")]
    checks_fences: bool,
    #[serde(default = "default_methods")]
    idempotent_methods: Vec<String>,
    #[serde(default = "default_connections")]
    connections: u64,
    upstreams: BTreeMap<String, UpstreamFile>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct UpstreamFile {
    zone: String,
    requests: SocketAddr,
    grants: SocketAddr,
    #[serde(default)]
    leaving: bool,
}

fn default_ranges() -> u64 {
    4
}

fn default_checks() -> bool {
    true
}

fn default_methods() -> Vec<String> {
    ["GET", "HEAD", "OPTIONS"].map(str::to_owned).to_vec()
}

fn default_connections() -> u64 {
    110
}

impl TeamConfig {
    /// Parses and validates a configuration; `source_name` appears in errors.
    pub fn parse(
        source_name: &str,
        team: &str,
        text: &str,
    ) -> Result<TeamConfig, document::DocumentError> {
        let file: TeamFile = document::parse(source_name, text)?;
        let mut services = Vec::new();
        for (name, service) in file.services {
            service.check(source_name, &name)?;
            services.push(service.into_config(team, name));
        }
        Ok(TeamConfig {
            team: team.to_owned(),
            services,
        })
    }
}

impl ServiceFile {
    fn check(&self, source_name: &str, name: &str) -> Result<(), document::DocumentError> {
        let field = |field: &str| format!("services.{name}.{field}");
        document::check_bounds(
            source_name,
            &field("upstreams"),
            self.upstreams.len() as u64,
            1..=2000,
            "declare 1 to 2000 upstreams",
        )?;
        document::check_bounds(
            source_name,
            &field("ranges_per_upstream"),
            self.ranges_per_upstream,
            1..=64,
            "give 1 to 64 ranges",
        )?;
        document::check_bounds(
            source_name,
            &field("connections"),
            self.connections,
            1..=100_000,
            "give 1 to 100000 connections",
        )
    }

    fn into_config(self, team: &str, name: String) -> ServiceConfig {
        let upstream = |(upstream_name, file): (String, UpstreamFile)| UpstreamConfig {
            key: ids::UpstreamKey::derive(team, &name, &upstream_name),
            name: upstream_name,
            zone: file.zone,
            request_address: file.requests,
            grant_address: file.grants,
            leaving: file.leaving,
        };
        let check = match self.checks_fences {
            true => holder::FenceCheck::Enforced,
            false => holder::FenceCheck::Absent,
        };
        ServiceConfig {
            key: ids::ServiceKey::derive(team, &name),
            keyed: self.keyed,
            ranges_per_upstream: self.ranges_per_upstream as usize,
            check,
            idempotent_methods: self.idempotent_methods,
            max_connections: self.connections as usize,
            upstreams: self.upstreams.into_iter().map(upstream).collect(),
            name,
        }
    }
}

impl From<&ServiceConfig> for controller::ServiceTopology {
    fn from(config: &ServiceConfig) -> controller::ServiceTopology {
        let spec = |upstream: &UpstreamConfig| upstream_state::UpstreamSpec {
            key: upstream.key,
            zone: upstream.zone.clone(),
            grant_address: upstream.grant_address,
            check: config.check,
            leaving: upstream.leaving,
        };
        controller::ServiceTopology {
            key: config.key,
            upstreams: config.upstreams.iter().map(spec).collect(),
            ranges_per_upstream: config.ranges_per_upstream,
        }
    }
}
