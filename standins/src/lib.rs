//! Stand-ins for the systems around godwitloom.

pub mod world;
