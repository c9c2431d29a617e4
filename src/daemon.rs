//! An instance's process: start, run, graceful stop.

use crate::clock;
use crate::control;
use crate::metrics;
use crate::proxy;
use crate::settings;
use crate::traffic;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use std::io;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use thiserror::Error;

/// Largest number of reported services, whose routes seem out of date, that wait for
/// the control thread.
const MAX_STALE_REPORTS: usize = 64;

/// Time after the lame-duck period within which requests on the last accepted
/// connections must arrive.
const CLOSE_GRACE: Duration = Duration::from_millis(300);

/// Interval at which a stopping instance checks for requests in flight.
const STOP_POLL: Duration = Duration::from_millis(20);

/// Why an instance did not start or stopped early.
#[derive(Debug, Error)]
pub enum DaemonError {
    #[error("{what} cannot listen on {address}: {source}; free the address or change the settings")]
    Listen {
        what: &'static str,
        address: std::net::SocketAddr,
        source: io::Error,
    },
    #[error("instance stopped: {0}")]
    Io(#[from] io::Error),
}

/// Runs an instance until SIGTERM or SIGINT.
pub fn run(settings: settings::InstanceSettings) -> Result<(), DaemonError> {
    let caller_listener =
        TcpListener::bind(settings.callers).map_err(|source| DaemonError::Listen {
            what: "callers' port",
            address: settings.callers,
            source,
        })?;
    let sockets = control::ControlSockets::bind(&settings);
    let sockets = sockets.map_err(|source| DaemonError::Listen {
        what: "control or operators' port",
        address: settings.control,
        source,
    })?;
    log::info!(
        "instance {} is starting in zone {}",
        settings.id,
        settings.zone
    );
    let (stale_sender, stale_services) = async_channel::bounded(MAX_STALE_REPORTS);
    let metrics = Arc::new(metrics::MetricSet::new());
    let context = Arc::new(proxy::ProxyContext::new(settings, metrics, stale_sender));
    let clock = Box::new(clock::BootClock);
    let control = control::ControlThread::new(context.clone(), clock, sockets.upstreams)?;
    let threads = traffic::start(&context, caller_listener)?;
    let stop = stop_gracefully(context.clone());
    control.run(sockets.peers, sockets.operators, stale_services, stop)?;
    drop(threads);
    log::info!("instance {} stopped", context.settings.id);
    Ok(())
}

/// Waits for SIGTERM or SIGINT, then through the lame-duck period, then for requests in
/// flight, but no longer than the stop timeout.
async fn stop_gracefully(context: Arc<proxy::ProxyContext>) {
    let signals = Signals::new([Signal::Term, Signal::Int]);
    match signals {
        Ok(mut signals) => {
            signals.next().await;
        }
        Err(error) => {
            log::error!("signals cannot be received: {error}; stop the instance with SIGKILL");
            futures_lite::future::pending::<()>().await;
        }
    }
    let started = Instant::now();
    context.begin_stop();
    log::info!(
        "instance {} is stopping; waiting for requests in flight",
        context.settings.id
    );
    async_io::Timer::after(context.settings.lame_duck + CLOSE_GRACE).await;
    let time_limit = context.settings.lame_duck + CLOSE_GRACE + context.settings.stop_timeout;
    while context.in_flight.load(Ordering::Acquire) > 0 {
        if started.elapsed() >= time_limit {
            let left = context.in_flight.load(Ordering::Acquire);
            log::warn!("stop timeout expired; {left} requests in flight are aborted");
            return;
        }
        async_io::Timer::after(STOP_POLL).await;
    }
}
