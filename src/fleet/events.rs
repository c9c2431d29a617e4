//! Log events of the control side.

use crate::directory;
use crate::event_log::{EventClass, LogEvent};
use crate::ids;
use crate::ownership::interface;
use serde::Serialize;

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
    /// The store stopped answering.
    StoreLost, "store-lost", { error: String, as_of: u64 }
}
state_event! {
    /// The store answers again.
    StoreRegained, "store-regained", { after_ms: u64, as_of: u64 }
}
state_event! {
    /// Changes of the store are taken from a relay from now on.
    RelayFollowed, "relay-followed", { as_of: u64 }
}
state_event! {
    /// The relay fell silent or lost the store; the store is watched again.
    RelayLost, "relay-lost", { as_of: u64 }
}
state_event! {
    /// The store was listed anew.
    StoreListed, "store-listed", { items: usize, as_of: u64 }
}
state_event! {
    /// A configuration came into force.
    ConfigInForce, "config-in-force", { version: u64, revision: u64, routes: usize }
}
state_event! {
    /// A stored item is not used.
    ItemIgnored, "item-ignored", { key: String, revision: u64, reason: String }
}
state_event! {
    /// An upstream's entry changed what is believed of it.
    UpstreamChanged, "upstream", { id: String, key: ids::UpstreamKey, service: String, change: directory::ChangeKind, revision: u64 }
}
state_event! {
    /// A decision about the ownership of keys.
    Ownership, "ownership", {
        service: String,
        #[serde(flatten)]
        note: interface::OwnershipDecision,
    }
}
