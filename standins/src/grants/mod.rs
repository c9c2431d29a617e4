//! Fakes at the interfaces of [`godwitloom::ownership`].
//!
//! A [`world::GrantWorld`] drives the cores of several instances against a fake
//! metadata store and fake upstreams that take pushed grants, on one injected
//! clock. The oracle is [`world::GrantWorld::overlaps`].

mod server;
mod store;
mod views;
pub mod world;
