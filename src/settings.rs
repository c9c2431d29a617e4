//! Settings of one instance.

use crate::document;
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;

/// Validated settings of one instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InstanceSettings {
    pub id: String,
    pub zone: String,
    /// Address for callers' requests.
    pub callers: SocketAddr,
    /// Address for other instances (TCP) and upstreams (UDP).
    pub control: SocketAddr,
    /// Address for operators' HTTP requests.
    pub operators: SocketAddr,
    /// Address of the platform's metadata store.
    pub platform: SocketAddr,
    pub traffic_threads: usize,
    /// Time for which a request is queued while its key has no owner or the
    /// upstreams are at their limit.
    pub queue_timeout: Duration,
    /// Longest time a request may take; the default if its caller sets no timeout.
    pub request_timeout: Duration,
    /// Time that a graceful stop gives to requests in flight.
    pub stop_timeout: Duration,
    /// Time for which a stopping instance still accepts connections.
    pub lame_duck: Duration,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct SettingsFile {
    id: String,
    zone: String,
    listen: ListenSection,
    platform: SocketAddr,
    #[serde(default)]
    limits: LimitSection,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ListenSection {
    callers: SocketAddr,
    control: SocketAddr,
    operators: SocketAddr,
}

#[derive(Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct LimitSection {
    traffic_threads: u64,
    hold_ms: u64,
    request_timeout_ms: u64,
    stop_timeout_ms: u64,
    lame_duck_ms: u64,
}

impl Default for LimitSection {
    fn default() -> LimitSection {
        LimitSection {
            traffic_threads: 2,
            hold_ms: 2000,
            request_timeout_ms: 30_000,
            stop_timeout_ms: 30_000,
            lame_duck_ms: 1000,
        }
    }
}

impl InstanceSettings {
    /// Reads and validates a settings file.
    pub fn read(path: &str) -> Result<InstanceSettings, document::DocumentError> {
        let file: SettingsFile = document::read(path)?;
        file.check(path)?;
        Ok(InstanceSettings::from(file))
    }

    /// Parses and validates settings; `source_name` appears in errors.
    pub fn parse(
        source_name: &str,
        text: &str,
    ) -> Result<InstanceSettings, document::DocumentError> {
        let file: SettingsFile = document::parse(source_name, text)?;
        file.check(source_name)?;
        Ok(InstanceSettings::from(file))
    }
}

impl SettingsFile {
    fn check(&self, source_name: &str) -> Result<(), document::DocumentError> {
        for (field, text) in [("id", &self.id), ("zone", &self.zone)] {
            if text.is_empty() {
                return Err(document::DocumentError::Value {
                    source_name: source_name.to_owned(),
                    field: field.to_owned(),
                    found: "an empty string".to_owned(),
                    remedy: "give a name",
                });
            }
        }
        let limits = &self.limits;
        let checks = [
            (
                "limits.traffic_threads",
                limits.traffic_threads,
                1..=64,
                "give 1 to 64 threads",
            ),
            (
                "limits.hold_ms",
                limits.hold_ms,
                0..=10_000,
                "give 0 to 10000 milliseconds",
            ),
            (
                "limits.request_timeout_ms",
                limits.request_timeout_ms,
                100..=3_600_000,
                "give 100 to 3600000 milliseconds",
            ),
            (
                "limits.stop_timeout_ms",
                limits.stop_timeout_ms,
                0..=600_000,
                "give 0 to 600000 milliseconds",
            ),
            (
                "limits.lame_duck_ms",
                limits.lame_duck_ms,
                0..=60_000,
                "give 0 to 60000 milliseconds",
            ),
        ];
        for (field, found, bounds, remedy) in checks {
            document::check_bounds(source_name, field, found, bounds, remedy)?;
        }
        Ok(())
    }
}

impl From<SettingsFile> for InstanceSettings {
    fn from(file: SettingsFile) -> InstanceSettings {
        InstanceSettings {
            id: file.id,
            zone: file.zone,
            callers: file.listen.callers,
            control: file.listen.control,
            operators: file.listen.operators,
            platform: file.platform,
            traffic_threads: file.limits.traffic_threads as usize,
            queue_timeout: Duration::from_millis(file.limits.hold_ms),
            request_timeout: Duration::from_millis(file.limits.request_timeout_ms),
            stop_timeout: Duration::from_millis(file.limits.stop_timeout_ms),
            lame_duck: Duration::from_millis(file.limits.lame_duck_ms),
        }
    }
}
