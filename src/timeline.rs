//! Merges the logs of several processes into one timeline.
//!
//! Lines that are not log events are skipped and counted. Events are ordered by
//! their own machine's clock, so those of different machines may be out of order;
//! events of one process keep their order unless its clock is set back.

use serde_json::Value;

/// Selects events; all fields that are set must match, and fields that are not match any event.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EventFilter {
    /// ID of a request.
    pub request: Option<String>,
    /// Key, in an event's `key` or `range`.
    pub key: Option<u64>,
    /// ID of an upstream.
    pub upstream: Option<String>,
    /// Version of the configuration.
    pub config: Option<u64>,
    /// Names of events, of which one must match.
    pub events: Vec<String>,
}

/// One event of a log.
#[derive(Clone, Debug, PartialEq)]
pub struct TimedEvent {
    /// Milliseconds since the Unix epoch, on the clock of the event's machine.
    pub time_ms: u64,
    /// Name of the instance.
    pub node: String,
    pub name: String,
    /// Other fields, as JSON.
    pub fields: String,
}

/// Events of all processes, ordered by time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Timeline {
    pub events: Vec<TimedEvent>,
    /// Number of lines that are not events.
    pub skipped: usize,
}

impl EventFilter {
    fn matches(&self, event: &Value) -> bool {
        let name = event["event"].as_str().unwrap_or_default();
        let name_matches =
            self.events.is_empty() || self.events.iter().any(|wanted| wanted == name);
        let wanted_request = self.request.as_deref();
        let request_matches = wanted_request.is_none_or(|id| event["request"].as_str() == Some(id));
        let wanted_config = self.config;
        let config_matches = wanted_config.is_none_or(|version| {
            event["config"].as_u64() == Some(version) || event["version"].as_u64() == Some(version)
        });
        let upstream = self.upstream.as_deref();
        let upstream_matches = upstream.is_none_or(|id| concerns_upstream(event, id));
        name_matches
            && request_matches
            && config_matches
            && upstream_matches
            && self.key.is_none_or(|key| concerns_key(event, key))
    }
}

/// Returns whether an event is about the upstream `id` or an attempt at it.
fn concerns_upstream(event: &Value, id: &str) -> bool {
    let attempts = event["attempts"].as_array();
    let mut attempts = attempts.into_iter().flatten();
    event["id"].as_str() == Some(id)
        || attempts.any(|attempt| attempt["upstream"].as_str() == Some(id))
}

fn concerns_key(event: &Value, key: u64) -> bool {
    let bound = |name: &str| event["range"][name].as_u64();
    let in_range = bound("first")
        .zip(bound("last"))
        .is_some_and(|(first, last)| first <= key && key <= last);
    in_range || event["key"].as_u64() == Some(key)
}

impl Timeline {
    /// Merges the events of several logs that match the filter.
    pub fn merge<'a>(logs: impl Iterator<Item = &'a str>, filter: &EventFilter) -> Timeline {
        let mut timeline = Timeline::default();
        for line in logs.flat_map(str::lines) {
            match serde_json::from_str::<Value>(line) {
                Ok(event) if event["event"].is_string() => {
                    if filter.matches(&event) {
                        timeline.events.push(TimedEvent::from(event));
                    }
                }
                _ => timeline.skipped += 1,
            }
        }
        timeline.events.sort_by_key(|event| event.time_ms);
        timeline
    }
}

impl From<Value> for TimedEvent {
    fn from(mut event: Value) -> TimedEvent {
        let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
        let (node, name) = (text(&event["node"]), text(&event["event"]));
        let time_ms = event["time_ms"].as_u64().unwrap_or_default();
        if let Some(fields) = event.as_object_mut() {
            for field in ["event", "node", "time_ms"] {
                fields.remove(field);
            }
        }
        TimedEvent {
            time_ms,
            node,
            name,
            fields: event.to_string(),
        }
    }
}
