//! Stand-ins for the systems around godwitloom, and tools that measure it.

pub mod caller;
pub mod http;
pub mod platform;
pub mod upstream;
pub mod world;
