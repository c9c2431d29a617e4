//! Small copyable keys for the things that messages and records name.
//!
//! A key is the hash of a name, so every process derives the same key without
//! asking anyone. An [`InstanceKey`] also covers a number drawn at start: it
//! names one run of an instance, and a restarted instance has a new key.

use serde::{Deserialize, Serialize};
use std::fmt;
use xxhash_rust::xxh3;

macro_rules! key_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:016x}", self.0)
            }
        }
    };
}

key_type! {
    /// One run of an instance.
    InstanceKey
}
key_type! {
    /// A service of a team.
    ServiceKey
}
key_type! {
    /// An upstream of a service.
    UpstreamKey
}

impl InstanceKey {
    /// Derives the key of the run `run` of the instance named `id`.
    pub fn derive(id: &str, run: u64) -> InstanceKey {
        InstanceKey(xxh3::xxh3_64_with_seed(id.as_bytes(), run))
    }
}

impl ServiceKey {
    /// Derives the key of a team's service.
    pub fn derive(team: &str, service: &str) -> ServiceKey {
        ServiceKey(xxh3::xxh3_64(format!("{team}/{service}").as_bytes()))
    }
}

impl UpstreamKey {
    /// Derives the key of an upstream of a team's service.
    pub fn derive(team: &str, service: &str, upstream: &str) -> UpstreamKey {
        let path = format!("{team}/{service}/{upstream}");
        UpstreamKey(xxh3::xxh3_64(path.as_bytes()))
    }

    /// Derives the key of one life of an upstream that registers itself.
    pub fn derive_run(service: &str, id: &str, born_ms: u64) -> UpstreamKey {
        let path = format!("{service}/{id}");
        UpstreamKey(xxh3::xxh3_64_with_seed(path.as_bytes(), born_ms))
    }
}
