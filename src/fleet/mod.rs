//! Control plane of an instance that shares a metadata store with other instances.
//!
//! The control thread keeps a [`mirror::StoreMirror`] of the store, takes part in
//! the ownership of each keyed service, and publishes what the traffic threads
//! need to serve requests. What differs between platforms is behind three traits:
//! [`crate::store::MetadataStore`], [`adapters::StoreSchema`] and
//! [`adapters::GrantClient`].

pub mod adapters;
pub mod control;
pub mod daemon;
pub mod events;
pub mod followers;
pub mod mirror;
pub mod peer;
pub mod relay;
pub mod telemetry;
