//! A router for upstreams that own keys exclusively.
//!
//! The logic is in state machines driven by `step(now, event) -> actions`, which
//! use no socket, task or clock: grants at an upstream ([`holder`]), their renewal
//! ([`renewer`]), the assignment of keys ([`controller`]) and the election of its
//! controller ([`election`]). The daemon only performs their I/O.
//!
//! On platforms where instances grant keys by calling the upstreams, instead of
//! answering heartbeats, [`ownership`], [`fleet`] and [`gateway`] take the place of
//! [`control`] and [`proxy`].

mod assign;
pub mod balance;
pub mod body;
pub mod budget;
pub mod clock;
pub mod config;
pub mod config_store;
mod config_watch;
pub mod control;
pub mod controller;
pub mod daemon;
pub mod directory;
pub mod document;
pub mod election;
pub mod event_log;
pub mod exchange;
pub mod fleet;
mod forward;
pub mod gateway;
pub mod grant;
pub mod h1;
pub mod holder;
pub mod ids;
pub mod instance;
pub mod limits;
mod liveness;
pub mod memory;
pub mod message;
pub mod metrics;
pub mod notices;
pub mod operators;
pub mod outcome;
pub mod ownership;
pub mod peer_connections;
pub mod placement;
pub mod proxy;
pub mod range;
pub mod record;
mod recording;
pub mod refusal;
pub mod renewer;
pub mod routes;
pub mod routing;
pub mod settings;
pub mod store;
pub mod store_client;
pub mod stream;
pub mod timeline;
pub mod timer;
pub mod traffic;
pub mod upstream;
pub mod upstream_state;
pub mod view;
pub mod wire;
