//! Control side of an instance that works with a metadata store.
//!
//! One thread keeps a [`mirror::StoreMirror`] of the store, takes part in the
//! ownership of each service with keys, and publishes what the traffic threads
//! need. What differs between sites lies behind three ports:
//! [`crate::store::MetadataStore`], [`adapters::StoreSchema`] and
//! [`adapters::GrantClient`].

pub mod adapters;
pub mod control;
pub mod daemon;
pub mod events;
pub mod mirror;
pub mod peer;
pub mod relay;
pub mod telemetry;
