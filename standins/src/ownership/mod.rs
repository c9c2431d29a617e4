//! Fakes at the interfaces of [`godwitloom::ownership`].
//!
//! A [`simulation::OwnershipSimulation`] drives the cores of several instances against a fake
//! metadata store and fake upstreams that take pushed grants, on one injected
//! clock. The oracle is [`simulation::OwnershipSimulation::overlaps`].

mod record_view;
pub mod simulation;
mod store;
mod upstream;
