//! Process of an instance that works with a metadata store: start, run, stop.

use crate::clock;
use crate::event_log;
use crate::fleet::{adapters, control, events};
use crate::gateway::{context, header_names, thread};
use crate::h1::server;
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

/// Connections that wait to be accepted.
const BACKLOG: i32 = 1024;

/// Interval at which a stopping instance looks for requests in flight.
const STOP_POLL: Duration = Duration::from_millis(25);

/// Time between the close of idle connections and the end of the process.
const CLOSE_GRACE: Duration = Duration::from_millis(300);

/// Settings of an instance's process.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    pub name: String,
    pub zone: String,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for the balancer's question whether the instance is ready.
    pub ready: SocketAddr,
    /// Path of that question.
    pub ready_path: String,
    /// Address of the metrics page.
    pub metrics: SocketAddr,
    /// Address for messages between instances, TCP and UDP.
    pub peers: SocketAddr,
    pub store: SocketAddr,
    pub traffic_threads: usize,
    /// Time after which the platform kills a stopping process.
    pub stop_timeout: Duration,
    /// Longest hold of a grant that upstreams accept.
    pub max_grant_ttl: Duration,
    pub gateway: context::GatewaySettings,
}

/// Parts of an instance that differ between sites.
pub struct PlatformAdapters {
    pub header_names: header_names::HeaderNames,
    pub store: Rc<dyn store::MetadataStore>,
    pub grants: Rc<dyn adapters::GrantClient>,
    pub schema: Box<dyn adapters::StoreSchema>,
    /// Reads the settings again; the result is logged.
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
    site: PlatformAdapters,
    log: event_log::EventLog,
) -> Result<(), FleetError> {
    let callers = listen("callers' port", settings.callers)?;
    let ready = listen("readiness port", settings.ready)?;
    let metrics_listener = listen("metrics port", settings.metrics)?;
    let gossip = UdpSocket::bind(settings.peers).map_err(|source| FleetError::Listen {
        what: "gossip port",
        address: settings.peers,
        source,
    })?;
    let links = listen("gossip port", settings.peers)?;
    let run = control::draw_run(&settings.name);
    log.emit(&events::Started {
        zone: settings.zone.clone(),
        callers: settings.callers.to_string(),
        store: settings.store.to_string(),
        run: run.to_string(),
    });
    let context = Arc::new(context::GatewayContext::new(
        site.header_names,
        settings.gateway.clone(),
        Arc::new(metrics::MetricSet::new()),
        log,
        Arc::new(clock::BootClock),
    ));
    let identity = control::InstanceIdentity {
        node: record::InstanceInfo {
            run,
            name: settings.name.clone(),
            address: settings.peers,
        },
        zone: settings.zone.clone(),
        max_grant_ttl: settings.max_grant_ttl,
    };
    let control = control::ControlThread::new(
        identity,
        context.clone(),
        site.store,
        site.grants,
        site.schema,
        Async::new(gossip)?,
    );
    thread::start(&context, &callers, settings.traffic_threads)?;
    for listener in [ready, metrics_listener] {
        serve_pages(&control, Async::new(listener)?, &settings.ready_path);
    }
    let stop = stop(&context, &control, settings, site.reload);
    control.run(Async::new(links)?, stop);
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
        socket.listen(BACKLOG)?;
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
    let source = control.clone();
    let ready_path = ready_path.to_owned();
    let pages: server::PageHandler = Rc::new(move |path| source.page(path, &ready_path));
    let spawner = control.clone();
    let serve = server::serve(listener, pages, move |task| spawner.spawn(task));
    control.spawn(serve);
}

/// Waits for the signal to stop, then until nothing is in flight.
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
        if started.elapsed() >= settings.stop_timeout {
            break;
        }
        Timer::after(STOP_POLL).await;
    }
    context.log.emit(&events::Stopped {
        in_flight: in_flight(),
        ms: started.elapsed().as_millis() as u64,
    });
    Timer::after(STOP_POLL).await;
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
