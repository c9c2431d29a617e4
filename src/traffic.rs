//! Traffic threads, which accept callers' connections and serve their requests.

use crate::message;
use crate::outcome;
use crate::proxy;
use crate::refusal;
use crate::stream;
use crate::timer;
use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::future;
use http_types::{Method, Response};
use std::io;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Pause after the operating system failed to accept a connection.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(10);

/// Interval at which idle connections and the accept loop check for a graceful stop.
const STOP_POLL: Duration = Duration::from_millis(100);

/// Starts the traffic threads on a listening socket.
pub fn start(
    context: &Arc<proxy::ProxyContext>,
    listener: TcpListener,
) -> io::Result<Vec<thread::JoinHandle<()>>> {
    let mut threads = Vec::new();
    for index in 0..context.settings.traffic_threads {
        let context = context.clone();
        let listener = listener.try_clone()?;
        let builder = thread::Builder::new().name(format!("traffic-{index}"));
        threads.push(builder.spawn(move || run(context, listener))?);
    }
    Ok(threads)
}

fn run(context: Arc<proxy::ProxyContext>, listener: TcpListener) {
    let executor = Rc::new(LocalExecutor::new());
    let listener = match Async::new(listener) {
        Ok(listener) => listener,
        Err(error) => {
            log::error!("listening socket is unusable: {error}; restart the instance");
            return;
        }
    };
    async_io::block_on(executor.run(accept(&executor, context, listener)));
}

async fn accept(
    executor: &Rc<LocalExecutor<'static>>,
    context: Arc<proxy::ProxyContext>,
    listener: Async<TcpListener>,
) {
    while !context.is_closing() {
        let accepted = timer::within(STOP_POLL, listener.accept()).await;
        match accepted {
            None => {}
            Some(Ok((io, _))) => {
                let context = context.clone();
                executor.spawn(serve(context, io)).detach();
            }
            Some(Err(error)) => {
                log::debug!("connection not accepted: {error}");
                async_io::Timer::after(ACCEPT_BACKOFF).await;
            }
        }
    }
    // Serves the connections that are still in the backlog.
    while let Some(Ok((io, _))) = future::poll_once(listener.accept()).await {
        executor.spawn(serve(context.clone(), io)).detach();
    }
    drop(listener);
    // Connections are served until the process ends.
    future::pending::<()>().await;
}

async fn serve(context: Arc<proxy::ProxyContext>, io: Async<TcpStream>) {
    let stream = stream::HttpStream::new(io);
    while wait_request(&context, &stream).await {
        if !serve_one(&context, &stream).await {
            break;
        }
    }
    stream.shutdown();
}

/// Waits for the next request; `false` if the connection is to be closed.
async fn wait_request(context: &proxy::ProxyContext, stream: &stream::HttpStream) -> bool {
    loop {
        match timer::within(STOP_POLL, stream.wait_message()).await {
            Some(arrived) => return arrived,
            None if context.is_closing() => return false,
            None => {}
        }
    }
}

/// Serves one request; returns whether the connection may carry another one.
async fn serve_one(context: &proxy::ProxyContext, stream: &stream::HttpStream) -> bool {
    let request = match message::read_request(stream).await {
        Ok(Some(request)) => request,
        Ok(None) => return false,
        Err(message::MessageError::Io(_) | message::MessageError::Closed) => return false,
        Err(error) => {
            refuse(stream, error).await;
            return false;
        }
    };
    let method = request.method();
    let close_requested = requests_close(&request);
    let Some(mut response) = proxy::respond(context, stream, request).await else {
        return false;
    };
    let stopping = context.is_stopping();
    let close = close_requested || stopping || !stream.is_message_complete();
    strip_hop_by_hop(&mut response);
    if response.header(outcome::OUTCOME_HEADER).is_none() {
        response.insert_header(outcome::OUTCOME_HEADER, outcome::Outcome::Ran.as_str());
    }
    if close {
        response.insert_header("connection", "close");
    }
    let written = message::write_response(stream, response, method).await;
    written.is_ok() && !close
}

fn requests_close(request: &http_types::Request) -> bool {
    let connection = request.header("connection");
    connection.is_some_and(|values| values.last().as_str().eq_ignore_ascii_case("close"))
}

fn strip_hop_by_hop(response: &mut Response) {
    let names: Vec<_> = response.header_names().cloned().collect();
    for name in names.iter().filter(|name| message::is_hop_by_hop(name)) {
        response.remove_header(name);
    }
}

/// Refuses a request that cannot be read, and announces the close of the connection.
async fn refuse(stream: &stream::HttpStream, error: message::MessageError) {
    let mut response = refusal::RefusalKind::BadMessage(error).response();
    response.insert_header("connection", "close");
    let _ = message::write_response(stream, response, Method::Get).await;
}
