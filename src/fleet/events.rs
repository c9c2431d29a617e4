//! Log events of the control plane.

use crate::directory;
use crate::event_log::{EventClass, LogEvent};
use crate::ids;
use crate::notices::crashes;
use crate::ownership::interface;
use serde::Serialize;

/// From whom an instance learned of a limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LimitSource {
    /// A response of the upstream.
    Response,
    /// The instance that allocates the limit.
    Allocator,
}

/// From whom an instance learned that an upstream leaves.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum DepartureSource {
    /// A response of the upstream to a request.
    Response,
    /// Its response to a grant or release call.
    GrantCall,
    /// The report of another instance.
    Report,
}

impl DepartureSource {
    /// Returns the source's name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            DepartureSource::Response => "response",
            DepartureSource::GrantCall => "grant-call",
            DepartureSource::Report => "report",
        }
    }
}

/// Where it was seen that an upstream ended under a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CrashSource {
    /// An attempt of this instance.
    Attempt,
    /// The message of another instance.
    Peer,
}

macro_rules! state_event {
    ($(#[$doc:meta])* $name:ident, $event:literal, { $($(#[$field_meta:meta])* $field:ident: $kind:ty),* $(,)? }) => {
        $(#[$doc])*
        #[derive(Debug, Serialize)]
        pub struct $name {
            $($(#[$field_meta])* pub $field: $kind),*
        }

        impl LogEvent for $name {
            const NAME: &'static str = $event;
            const CLASS: EventClass = EventClass::State;
        }
    };
}

state_event! {
    /// The process starts to listen.
    Started, "start", { zone: String, callers: String, store: String, run: String }
}
state_event! {
    /// The process was asked to stop.
    Stopping, "stop-begin", { in_flight: usize }
}
state_event! {
    /// The process ends.
    Stopped, "stop", { in_flight: usize, ms: u64 }
}
state_event! {
    /// The settings were read again.
    Reloaded, "reload", { result: String }
}
state_event! {
    /// The store stopped responding.
    StoreLost, "store-lost", { error: String, as_of: u64 }
}
state_event! {
    /// The store responds again.
    StoreRegained, "store-regained", { after_ms: u64, as_of: u64 }
}
state_event! {
    /// The store's changes are received from a relay from now on.
    RelayFollowed, "relay-followed", { as_of: u64 }
}
state_event! {
    /// The store is watched again: the relay timed out or lost the store, or this
    /// instance leads.
    RelayLost, "relay-lost", { as_of: u64 }
}
state_event! {
    /// All items of the store were read; `ignored` counts those that are older than what
    /// is known.
    StoreListed, "store-listed", { items: usize, ignored: usize, as_of: u64, era: u64 }
}
state_event! {
    /// The store was restored from an older copy and counts revisions anew.
    StoreRestored, "store-restored", { era: u64, lost_as_of: u64 }
}
state_event! {
    /// A configuration came into force.
    ConfigInForce, "config-in-force", { version: u64, revision: u64, routes: usize }
}
state_event! {
    /// A stored item cannot be used.
    ItemIgnored, "item-ignored", { key: String, revision: u64, reason: String }
}
state_event! {
    /// An upstream in the directory changed.
    UpstreamChanged, "upstream", { id: String, key: ids::UpstreamKey, service: String, change: directory::ChangeKind, revision: u64 }
}
state_event! {
    /// An upstream begins to limit its requests, or ceases to.
    UpstreamLimit, "upstream-limit", {
        upstream: String,
        service: String,
        /// Requests per second from all instances together; absent once there is no limit.
        #[serde(skip_serializing_if = "Option::is_none")]
        rate: Option<f64>,
        source: LimitSource,
    }
}
state_event! {
    /// An upstream was found to leave.
    UpstreamLeaving, "upstream-leaving", { upstream: String, service: String, source: DepartureSource }
}
state_event! {
    /// An upstream wants no requests from this instance for a while.
    UpstreamPaused, "upstream-pause", { upstream: String, service: String, ms: u64 }
}
state_event! {
    /// An upstream ended under a request, or an answer cleared the request.
    RequestSuspected, "request-suspected", {
        /// Fingerprint of the request, in hexadecimal digits.
        fingerprint: String,
        /// Upstream that ended, if this instance saw it.
        #[serde(skip_serializing_if = "Option::is_none")]
        upstream: Option<String>,
        /// Upstreams that ended under the request since it was last answered.
        ends: usize,
        /// Duration of the bar that begins now.
        #[serde(skip_serializing_if = "Option::is_none")]
        bar_ms: Option<u64>,
        source: CrashSource,
    }
}

impl RequestSuspected {
    /// Creates the event of a change.
    pub fn new(
        change: crashes::CrashChange,
        upstream: Option<&str>,
        source: CrashSource,
    ) -> RequestSuspected {
        RequestSuspected {
            fingerprint: format!("{:016x}", change.request.0),
            upstream: upstream.map(str::to_owned),
            ends: change.ends,
            bar_ms: change.bar.map(|bar| bar.as_millis() as u64),
            source,
        }
    }
}
state_event! {
    /// The instance reaches no upstream any more, or does again.
    LinksChanged, "links", { stranded: bool }
}
state_event! {
    /// Messages were ended for want of memory; `held` are the bytes held for others now.
    MemoryFull, "memory-full", { ended: u64, held: usize }
}
state_event! {
    /// The instances changed among which limits are divided.
    MembersChanged, "limit-members", { service: String, era: u64, revision: u64, sequence: u64, instances: usize }
}
state_event! {
    /// A decision about the ownership of keys.
    Ownership, "ownership", {
        service: String,
        #[serde(flatten)]
        decision: interface::OwnershipDecision,
    }
}
