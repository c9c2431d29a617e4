//! Time limits on futures.

use async_io::Timer;
use futures_lite::future::{self, Future};
use std::time::Duration;

/// Runs a future for at most `time`; `None` if it did not end.
pub async fn within<T>(time: Duration, future: impl Future<Output = T>) -> Option<T> {
    let ended = async { Some(future.await) };
    let late = async {
        Timer::after(time).await;
        None
    };
    future::or(ended, late).await
}
