//! Request path of an instance that routes by host and path.
//!
//! ```text
//! caller::CallerConnection    reads requests and writes responses in their order
//! attempts::AttemptRunner     routes a request and makes the attempts at it
//!   reservation               waits for an upstream that may get the request
//!   choice::choose            selects the upstream of an attempt
//!   exchange::exchange        sends the request and reads the whole response
//!   passing::HelperSet        other instances, while this one reaches no upstream
//!   crash_guard               bars requests under which upstreams end
//! ```
//!
//! Each traffic thread keeps its own connections to upstreams and its own
//! statistics about them. It shares only the [`context::GatewayContext`] with the
//! control thread, which publishes a new [`view::GatewayView`] on every change.

pub mod attempts;
pub mod caller;
pub mod choice;
pub mod context;
mod crash_guard;
pub mod exchange;
pub mod header_names;
pub mod links;
pub mod passing;
pub mod pools;
pub mod progress;
mod reservation;
pub mod response;
pub mod retry_delay;
pub mod thread;
pub mod view;
