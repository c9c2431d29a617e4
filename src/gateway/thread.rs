//! Traffic threads of an instance, which accept callers' connections and serve them.
//!
//! All threads accept from one listening socket; each has its own executor and
//! its own connections to upstreams.

use crate::gateway::{attempts, caller, context, links, pools};
use crate::h1::socket;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use std::io;
use std::net::{IpAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Pause after a failed `accept`, such as at the limit on open files.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Interval at which expired connections to upstreams are closed.
const TRIM_INTERVAL: Duration = Duration::from_secs(1);

/// Starts `count` traffic threads on the listening sockets for callers and for requests that
/// other instances pass on; they run until the process ends.
pub fn start(
    context: &Arc<context::GatewayContext>,
    callers: &TcpListener,
    helpers: &TcpListener,
    count: usize,
) -> io::Result<()> {
    for index in 0..count {
        let context = context.clone();
        let callers = Async::new(callers.try_clone()?)?;
        let helpers = Async::new(helpers.try_clone()?)?;
        let builder = thread::Builder::new().name(format!("traffic-{index}"));
        builder.spawn(move || run(context, &callers, helpers))?;
    }
    Ok(())
}

fn run(
    context: Arc<context::GatewayContext>,
    callers: &Async<TcpListener>,
    helpers: Async<TcpListener>,
) {
    let executor = Rc::new(LocalExecutor::new());
    let pools = Rc::new(pools::PoolSet::default());
    executor
        .spawn(links::watch(context.clone(), pools.clone()))
        .detach();
    let runner = Rc::new(attempts::AttemptRunner::new(context.clone(), pools));
    executor.spawn(trim(runner.clone())).detach();
    let accept_passed_on = {
        let (executor, context, runner) = (executor.clone(), context.clone(), runner.clone());
        async move {
            let origin = caller::RequestOrigin::Instance;
            accept(&executor, &context, &helpers, origin, &runner).await;
        }
    };
    executor.spawn(accept_passed_on).detach();
    let origin = caller::RequestOrigin::Caller;
    async_io::block_on(executor.run(accept(&executor, &context, callers, origin, &runner)));
}

async fn accept(
    executor: &Rc<LocalExecutor<'static>>,
    context: &Arc<context::GatewayContext>,
    listener: &Async<TcpListener>,
    origin: impl Fn(IpAddr) -> caller::RequestOrigin,
    runner: &Rc<attempts::AttemptRunner>,
) {
    loop {
        match listener.accept().await {
            Ok((io, address)) => {
                spawn_connection(executor, context, io, origin(address.ip()), runner);
            }
            Err(error) => {
                log::warn!("connection cannot be accepted: {error}; raise the limit on open files");
                Timer::after(ACCEPT_BACKOFF).await;
            }
        }
    }
}

fn spawn_connection(
    executor: &Rc<LocalExecutor<'static>>,
    context: &Arc<context::GatewayContext>,
    io: Async<TcpStream>,
    origin: caller::RequestOrigin,
    runner: &Rc<attempts::AttemptRunner>,
) {
    match socket::configure(io) {
        Ok(socket) => {
            let connection =
                caller::CallerConnection::new(context.clone(), runner.clone(), socket, origin);
            executor.spawn(connection.serve()).detach();
        }
        Err(error) => {
            log::debug!("socket options cannot be set: {error}; the caller closed the connection")
        }
    }
}

async fn trim(runner: Rc<attempts::AttemptRunner>) {
    let context = &runner.context;
    loop {
        Timer::after(TRIM_INTERVAL).await;
        let view = context.view.load();
        runner.pools.trim(&view);
        runner.helpers.trim(&context.helpers.load());
        context.limits.retain(|key| view.has_upstream(*key));
        let now = context.clock.now();
        context.departures.trim(now, |key| view.has_upstream(key));
        context.pauses.trim(now);
        context.crashes.trim(now);
    }
}
