//! Fakes of the systems around godwitloom, simulations of its cores, and measurements.

pub mod args;
pub mod caller;
pub mod capacity;
pub mod control_simulation;
pub mod failover;
pub mod heap;
pub mod http;
pub mod metadata_store;
pub mod ownership;
pub mod ports;
pub mod process;
pub mod proxy_overhead;
pub mod role_benchmark;
pub mod upstream;
