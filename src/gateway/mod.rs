//! Request path of an instance that routes by host and path.
//!
//! ```text
//! caller -> request -> attempts -> choice -> exchange -> answer -> caller
//! ```
//!
//! Each traffic thread has its own connections and statistics of upstreams and
//! shares only the [`context::GatewayContext`] with the control thread, which
//! publishes a new [`view::GatewayView`] on every change.

pub mod answer;
pub mod attempts;
pub mod caller;
pub mod choice;
pub mod context;
pub mod exchange;
pub mod header_names;
pub mod pools;
pub mod progress;
pub mod thread;
pub mod view;
