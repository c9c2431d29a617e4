//! Stand-ins for the systems around godwitloom, and tools that measure it.

pub mod args;
pub mod caller;
pub mod capacity;
pub mod failover;
pub mod grants;
pub mod heap;
pub mod http;
pub mod load;
pub mod path;
pub mod platform;
pub mod ports;
pub mod process;
pub mod upstream;
pub mod world;
