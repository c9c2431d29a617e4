//! Stand-ins for the systems around godwitloom, and tools that measure it.

pub mod args;
pub mod caller;
pub mod capacity;
pub mod control_simulation;
pub mod failover;
pub mod heap;
pub mod http;
pub mod load;
pub mod ownership;
pub mod path;
pub mod platform;
pub mod ports;
pub mod process;
pub mod upstream;
