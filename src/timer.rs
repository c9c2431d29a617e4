//! Timeouts on futures.

use async_io::Timer;
use futures_lite::future::{self, Future};
use std::time::Duration;

/// Runs a future for at most `timeout`; returns `None` if it did not complete.
pub async fn within<T>(timeout: Duration, future: impl Future<Output = T>) -> Option<T> {
    let completed = async { Some(future.await) };
    let timed_out = async {
        Timer::after(timeout).await;
        None
    };
    future::or(completed, timed_out).await
}
