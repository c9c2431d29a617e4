//! Process of an instance that shares a metadata store: start, run and stop.

use crate::clock;
use crate::event_log;
use crate::fleet::{adapters, control, events};
use crate::gateway::{context, header_names, thread};
use crate::h1::server;
use crate::memory;
use crate::metrics;
use crate::ownership::record;
use crate::store;
use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use thiserror::Error;

/// Connections of one listener that may wait to be accepted.
const ACCEPT_BACKLOG: i32 = 1024;

/// Interval at which a stopping instance checks for requests in flight.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Least time between the close of idle connections and the end of the process.
const CLOSE_GRACE: Duration = Duration::from_millis(300);

/// Settings of one instance.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    pub name: String,
    pub zone: String,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for the load balancer's readiness checks.
    pub ready: SocketAddr,
    /// Path of the readiness checks.
    pub ready_path: String,
    /// Address of the metrics page.
    pub metrics: SocketAddr,
    /// Address for messages between instances, TCP and UDP.
    pub peers: SocketAddr,
    /// Address for requests that other instances pass on.
    pub helpers: SocketAddr,
    pub store: SocketAddr,
    pub traffic_threads: usize,
    /// Longest duration of a graceful stop; shorter than the platform's grace period,
    /// after which it kills the process.
    pub stop_timeout: Duration,
    /// Longest grant TTL that upstreams accept.
    pub max_grant_ttl: Duration,
    /// Whether the instances of the deployment start for the first time, so that no
    /// earlier leader can exist.
    pub first_start: bool,
    /// Share of a core that the instance may use; what it leads must fit into that.
    pub processor_share: f64,
    /// Memory that the process may use, in bytes, if the platform states it.
    pub memory_bytes: Option<usize>,
    pub gateway: context::GatewaySettings,
}

/// Parts of an instance that differ between platforms.
pub struct PlatformAdapters {
    pub header_names: header_names::HeaderNames,
    pub store: Rc<dyn store::MetadataStore>,
    pub grants: Rc<dyn adapters::GrantClient>,
    pub schema: Box<dyn adapters::StoreSchema>,
    /// Budget that the clients of the store and of grants take from too.
    pub memory: Arc<memory::MemoryBudget>,
    /// Reads the settings again and returns the result for the log.
    pub reload: Box<dyn Fn() -> String>,
}

/// Why an instance did not start.
#[derive(Debug, Error)]
pub enum FleetError {
    #[error("{what} cannot listen on {address}: {source}; free the address or change the settings")]
    Listen {
        what: &'static str,
        address: SocketAddr,
        source: io::Error,
    },
    #[error("instance cannot start: {0}")]
    Io(#[from] io::Error),
}

/// Runs an instance until SIGTERM or SIGINT.
pub fn run(
    settings: &FleetSettings,
    platform: PlatformAdapters,
    log: event_log::EventLog,
) -> Result<(), FleetError> {
    let callers = listen("callers' port", settings.callers)?;
    let ready = listen("readiness port", settings.ready)?;
    let metrics_listener = listen("metrics port", settings.metrics)?;
    let peer_socket = UdpSocket::bind(settings.peers).map_err(|source| FleetError::Listen {
        what: "peer port",
        address: settings.peers,
        source,
    })?;
    let peer_listener = listen("peer port", settings.peers)?;
    let helper_listener = listen("port for passed-on requests", settings.helpers)?;
    let run = control::generate_run(&settings.name);
    log.emit(&events::Started {
        zone: settings.zone.clone(),
        callers: settings.callers.to_string(),
        store: settings.store.to_string(),
        run: run.to_string(),
    });
    let context = Arc::new(context::GatewayContext::new(
        platform.header_names,
        settings.gateway.clone(),
        Arc::new(metrics::MetricSet::new()),
        log,
        Arc::new(clock::BootClock),
        platform.memory,
    ));
    let identity = control::InstanceIdentity {
        info: record::InstanceInfo {
            run,
            name: settings.name.clone(),
            address: settings.peers,
        },
        zone: settings.zone.clone(),
        max_grant_ttl: settings.max_grant_ttl,
        first_start: settings.first_start,
        processor_share: settings.processor_share,
    };
    let control = control::ControlThread::new(
        identity,
        context.clone(),
        platform.store,
        platform.grants,
        platform.schema,
        Async::new(peer_socket)?,
    );
    let count = settings.traffic_threads;
    thread::start(&context, &callers, &helper_listener, count)?;
    for listener in [ready, metrics_listener] {
        serve_pages(&control, Async::new(listener)?, &settings.ready_path);
    }
    let stop = stop(&context, &control, settings, platform.reload);
    control.run(Async::new(peer_listener)?, stop);
    Ok(())
}

fn listen(what: &'static str, address: SocketAddr) -> Result<TcpListener, FleetError> {
    let open = || {
        let socket = Socket::new(
            Domain::for_address(address),
            Type::STREAM,
            Some(Protocol::TCP),
        )?;
        socket.set_reuse_address(true)?;
        socket.bind(&address.into())?;
        socket.listen(ACCEPT_BACKLOG)?;
        Ok(socket.into())
    };
    open().map_err(|source| FleetError::Listen {
        what,
        address,
        source,
    })
}

fn serve_pages(
    control: &Rc<control::ControlThread>,
    listener: Async<TcpListener>,
    ready_path: &str,
) {
    let responder = control.clone();
    let ready_path = ready_path.to_owned();
    let pages: server::PageHandler = Rc::new(move |path| responder.page(path, &ready_path));
    let spawner = control.clone();
    let serve = server::serve(listener, pages, move |task| spawner.spawn(task));
    control.spawn(serve);
}

/// Waits for a stop signal, then until no request is in flight and no service is led.
///
/// Ends after `stop_timeout` in any case, with requests in flight or not.
async fn stop(
    context: &context::GatewayContext,
    control: &Rc<control::ControlThread>,
    settings: &FleetSettings,
    reload: Box<dyn Fn() -> String>,
) {
    await_stop_signal(context, reload).await;
    let started = Instant::now();
    context.begin_stop();
    control.begin_stop();
    let in_flight = || context.in_flight.load(Ordering::Acquire);
    context.log.emit(&events::Stopping {
        in_flight: in_flight(),
    });
    Timer::after(context.settings.lame_duck).await;
    context.close_idle.notify(usize::MAX);
    Timer::after(CLOSE_GRACE).await;
    while in_flight() > 0 || !control.is_finished() {
        if started.elapsed() >= context.settings.response_cutoff {
            context.end_attempts.notify(usize::MAX);
        }
        if started.elapsed() >= settings.stop_timeout {
            break;
        }
        Timer::after(STOP_POLL_INTERVAL).await;
    }
    context.log.emit(&events::Stopped {
        in_flight: in_flight(),
        ms: started.elapsed().as_millis() as u64,
    });
    // Leaves the log's writer, which ends with the process, time for the last line.
    Timer::after(STOP_POLL_INTERVAL).await;
}

async fn await_stop_signal(context: &context::GatewayContext, reload: Box<dyn Fn() -> String>) {
    let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup]);
    let mut signals = match signals {
        Ok(signals) => signals,
        Err(error) => {
            log::error!("signals cannot be received: {error}; stop the instance with SIGKILL");
            return futures_lite::future::pending().await;
        }
    };
    while let Some(signal) = signals.next().await {
        if matches!(signal, Ok(Signal::Hup)) {
            let result = reload();
            context.log.emit(&events::Reloaded { result });
            continue;
        }
        return;
    }
}
