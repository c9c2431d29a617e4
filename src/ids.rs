//! Keys of instances, services and upstreams in messages and records.
//!
//! A key is a hash of the name, so every process derives the same key without
//! asking another. An [`InstanceKey`] also hashes a random number drawn at
//! startup: it identifies one run of an instance, and a restart changes it.

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
    /// Key of one run of an instance.
    InstanceKey
}
key_type! {
    /// Key of a service.
    ServiceKey
}
key_type! {
    /// Key of an upstream, or of one run of an upstream that registers itself.
    UpstreamKey
}

impl InstanceKey {
    /// Derives the key of an instance's run from the instance's ID and the
    /// random number of the run.
    pub fn derive(id: &str, run: u64) -> InstanceKey {
        InstanceKey(xxh3::xxh3_64_with_seed(id.as_bytes(), run))
    }
}

impl ServiceKey {
    /// Derives the key from the names of the team and the service.
    pub fn derive(team: &str, service: &str) -> ServiceKey {
        ServiceKey(xxh3::xxh3_64(format!("{team}/{service}").as_bytes()))
    }
}

impl UpstreamKey {
    /// Derives the key of a configured upstream, which stays the same across runs.
    pub fn derive(team: &str, service: &str, upstream: &str) -> UpstreamKey {
        let path = format!("{team}/{service}/{upstream}");
        UpstreamKey(xxh3::xxh3_64(path.as_bytes()))
    }

    /// Derives the key of one run of an upstream that registers itself; runs are
    /// told apart by their start time, in milliseconds since 1970.
    pub fn derive_run(service: &str, id: &str, started_ms: u64) -> UpstreamKey {
        let path = format!("{service}/{id}");
        UpstreamKey(xxh3::xxh3_64_with_seed(path.as_bytes(), started_ms))
    }
}
