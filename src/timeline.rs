//! One time line of the logs of several processes.
//!
//! Lines that are no log events are passed over, and counted. Clocks of machines
//! may differ; events of one process keep their order.

use serde_json::Value;

/// What to look for; empty fields match every event.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EventFilter {
    /// Identity of a request.
    pub request: Option<String>,
    /// Key of a service with owned keys.
    pub key: Option<u64>,
    /// Identity of an upstream.
    pub upstream: Option<String>,
    /// Version of the configuration.
    pub config: Option<u64>,
    /// Names of events.
    pub events: Vec<String>,
}

/// One event with its time.
#[derive(Clone, Debug, PartialEq)]
pub struct TimedEvent {
    /// Milliseconds since 1970, on the clock of the event's machine.
    pub time_ms: u64,
    pub node: String,
    pub name: String,
    /// Remaining fields as JSON.
    pub fields: String,
}

/// Events of all processes in the order of their times.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Timeline {
    pub events: Vec<TimedEvent>,
    /// Lines that are no events.
    pub skipped: usize,
}

impl EventFilter {
    fn matches(&self, event: &Value) -> bool {
        let name = event["event"].as_str().unwrap_or_default();
        let named = self.events.is_empty() || self.events.iter().any(|wanted| wanted == name);
        let wanted_request = self.request.as_deref();
        let request = wanted_request.is_none_or(|id| event["request"].as_str() == Some(id));
        let wanted_config = self.config;
        let config = wanted_config.is_none_or(|version| {
            event["config"].as_u64() == Some(version) || event["version"].as_u64() == Some(version)
        });
        let upstream = self.upstream.as_deref();
        let upstream = upstream.is_none_or(|id| names_upstream(event, id));
        named && request && config && upstream && self.key.is_none_or(|key| covers(event, key))
    }
}

fn names_upstream(event: &Value, id: &str) -> bool {
    let attempts = event["attempts"].as_array();
    let mut attempts = attempts.into_iter().flatten();
    event["id"].as_str() == Some(id)
        || attempts.any(|attempt| attempt["upstream"].as_str() == Some(id))
}

fn covers(event: &Value, key: u64) -> bool {
    let bound = |name: &str| event["range"][name].as_u64();
    let within = bound("first")
        .zip(bound("last"))
        .is_some_and(|(first, last)| first <= key && key <= last);
    within || event["key"].as_u64() == Some(key)
}

impl Timeline {
    /// Merges logs, keeping the events that the filter selects.
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
