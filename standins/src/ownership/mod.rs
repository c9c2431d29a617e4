//! Simulation of [`godwitloom::ownership`], with fakes at its interfaces.
//!
//! A [`simulation::OwnershipSimulation`] runs the ownership cores of several
//! instances against a fake metadata store and fake upstreams that accept pushed
//! grants, on one simulated clock. Its test oracle is
//! [`simulation::OwnershipSimulation::overlaps`].

mod record_view;
pub mod simulation;
mod store;
mod upstream;
