//! One caller's connection, with HTTP/1.1 pipelining.
//!
//! Requests are read ahead while earlier ones wait for their responses; responses
//! are written in the order of the requests. Only GET and HEAD requests without a
//! body run concurrently. A caller that closes its connection cancels all its
//! requests.

use crate::event_log;
use crate::gateway::{attempts, context, passing, response};
use crate::h1;
use crate::h1::{head, reader, socket};
use crate::routing;
use crate::timer;
use futures_lite::future::{self, FutureExt};
use futures_util::stream::{FuturesOrdered, StreamExt};
use serde::Serialize;
use std::future::Future;
use std::net::IpAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio_util::bytes::Bytes;

/// Requests of one connection that run concurrently.
const MAX_CONCURRENT_REQUESTS: usize = 16;

/// Limits until a configuration is known.
const DEFAULT_LIMITS: routing::CallerLimits = routing::CallerLimits {
    max_head_bytes: 16 * 1024,
    max_body_bytes: 16 << 20,
    head_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};

/// Time within which the body of a request must arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Time for which incoming bytes, such as the rest of a refused request, are still
/// read after the last response, so that no reset destroys that response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(300);

/// Whose requests a connection carries.
#[derive(Clone, Copy, Debug)]
pub enum RequestOrigin {
    Caller(IpAddr),
    /// Another instance, which passes on those of its callers.
    Instance(IpAddr),
}

/// One whole request.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    pub head: head::RequestHead,
    pub body: Bytes,
    /// Address of the caller.
    pub caller: IpAddr,
    /// Whether another instance passed the request on.
    pub passed_on: bool,
    /// When the head was complete.
    pub arrived: Instant,
}

impl CallerRequest {
    /// Returns whether the request may run only while no other of its connection does.
    fn is_exclusive(&self) -> bool {
        !self.body.is_empty() || !matches!(self.head.method.as_str(), "GET" | "HEAD")
    }
}

/// Result of reading one request.
enum ReadResult {
    Request(Box<CallerRequest>),
    /// The caller closed the connection; its responses are not needed any more.
    Closed,
    /// No further request is read; outstanding responses are still written.
    Idle,
    Refused(response::RefusalReason),
}

#[derive(Debug, Serialize)]
struct UnreadableRequestEvent {
    reason: &'static str,
    status: u16,
}

impl event_log::LogEvent for UnreadableRequestEvent {
    const NAME: &'static str = "request-unreadable";
    const CLASS: event_log::EventClass = event_log::EventClass::Request;
}

type ReadFuture = Pin<Box<dyn Future<Output = (reader::MessageReader, ReadResult)>>>;

/// Response, and whether the caller asked to close the connection after it.
type ResponseFuture = Pin<Box<dyn Future<Output = (response::CallerResponse, bool)>>>;

/// Connection of one caller.
pub struct CallerConnection {
    context: Arc<context::GatewayContext>,
    runner: Rc<attempts::AttemptRunner>,
    socket: socket::SharedSocket,
    origin: RequestOrigin,
}

impl CallerConnection {
    /// Creates the connection of an accepted socket.
    pub fn new(
        context: Arc<context::GatewayContext>,
        runner: Rc<attempts::AttemptRunner>,
        socket: socket::SharedSocket,
        origin: RequestOrigin,
    ) -> CallerConnection {
        CallerConnection {
            context,
            runner,
            socket,
            origin,
        }
    }

    /// Serves requests until either side closes.
    pub async fn serve(self) {
        let reader = reader::MessageReader::new(self.socket.clone());
        let mut reading = Some(self.read(reader));
        let mut next_request: Option<Box<CallerRequest>> = None;
        let mut exclusive = false;
        let mut responses: FuturesOrdered<ResponseFuture> = FuturesOrdered::new();
        let mut refusal = None;
        loop {
            if let Some(request) = next_request.take() {
                let wait = exclusive
                    || responses.len() >= MAX_CONCURRENT_REQUESTS
                    || request.is_exclusive();
                if wait && !responses.is_empty() {
                    next_request = Some(request);
                } else {
                    exclusive = request.is_exclusive();
                    responses.push_back(self.respond(request));
                    continue;
                }
            }
            if responses.is_empty()
                && let Some(reason) = refusal.take()
            {
                self.refuse(reason).await;
                return;
            }
            let event = {
                let read = next_read(&mut reading, next_request.is_some());
                let response = next_response(&mut responses);
                // Reading first shows whether the caller has left before its request is sent on.
                future::or(read, response).await
            };
            match event {
                ConnectionEvent::Responded(response, close_requested) => {
                    let stopping = self.context.is_stopping();
                    let close = close_requested || response.close || stopping;
                    let bytes = response.encode(close);
                    let written = socket::write_all(&self.socket, &bytes).await;
                    if close || written.is_err() {
                        self.close().await;
                        return;
                    }
                }
                ConnectionEvent::Read(reader, ReadResult::Request(request)) => {
                    next_request = Some(request);
                    reading = Some(self.read(reader));
                }
                ConnectionEvent::Read(_, ReadResult::Refused(reason)) => refusal = Some(reason),
                ConnectionEvent::Read(_, ReadResult::Closed) => return,
                ConnectionEvent::Read(reader, ReadResult::Idle) => {
                    if responses.is_empty() {
                        return;
                    }
                    reading = Some(Box::pin(await_close(reader)));
                }
            }
        }
    }

    fn respond(&self, request: Box<CallerRequest>) -> ResponseFuture {
        let runner = self.runner.clone();
        Box::pin(async move {
            let response = runner.respond(&request).await;
            (response, !request.head.keep_alive)
        })
    }

    /// Refuses a request that cannot be read, and closes the connection.
    async fn refuse(&self, reason: response::RefusalReason) {
        let status = reason.status();
        self.context.log.emit(&UnreadableRequestEvent {
            reason: reason.as_str(),
            status,
        });
        self.context
            .metrics
            .record_response("", status, Duration::ZERO);
        let response = response::CallerResponse::refusal(reason, None);
        let written = socket::write_all(&self.socket, &response.encode(true)).await;
        if written.is_ok() {
            self.close().await;
        }
    }

    /// Closes the connection without a reset that could overtake the last response.
    async fn close(&self) {
        let shutdown = self.socket.get_ref().shutdown(std::net::Shutdown::Write);
        if shutdown.is_err() {
            return;
        }
        let drain = async {
            let mut discarded = [0; 4096];
            while matches!(
                futures_lite::AsyncReadExt::read(&mut &*self.socket, &mut discarded).await,
                Ok(count) if count > 0
            ) {}
        };
        timer::within(LINGER_TIMEOUT, drain).await;
    }

    fn limits(&self) -> routing::CallerLimits {
        let view = self.context.view.load();
        view.config
            .as_ref()
            .map_or(DEFAULT_LIMITS, |config| config.limits)
    }

    fn read(&self, reader: reader::MessageReader) -> ReadFuture {
        let context = self.context.clone();
        let limits = self.limits();
        Box::pin(read_request(context, self.origin, limits, reader))
    }
}

enum ConnectionEvent {
    /// The next response, and whether the caller asked to close the connection after it.
    Responded(response::CallerResponse, bool),
    Read(reader::MessageReader, ReadResult),
}

/// Waits for the next request, unless one was read and not started yet.
async fn next_read(reading: &mut Option<ReadFuture>, read_ahead: bool) -> ConnectionEvent {
    let Some(read) = reading.as_mut().filter(|_| !read_ahead) else {
        return future::pending().await;
    };
    let (reader, result) = read.await;
    *reading = None;
    ConnectionEvent::Read(reader, result)
}

async fn next_response(responses: &mut FuturesOrdered<ResponseFuture>) -> ConnectionEvent {
    match responses.next().await {
        Some((response, close)) => ConnectionEvent::Responded(response, close),
        None => future::pending().await,
    }
}

async fn read_request(
    context: Arc<context::GatewayContext>,
    origin: RequestOrigin,
    limits: routing::CallerLimits,
    mut reader: reader::MessageReader,
) -> (reader::MessageReader, ReadResult) {
    let result = match await_request(&context, limits, &mut reader).await {
        Ok(()) => match read_head_and_body(origin, limits, &mut reader).await {
            Ok(request) => ReadResult::Request(Box::new(request)),
            Err(error) => classify_error(error),
        },
        Err(result) => result,
    };
    (reader, result)
}

/// Waits until the caller closes; bytes of further requests stay unread.
async fn await_close(mut reader: reader::MessageReader) -> (reader::MessageReader, ReadResult) {
    if reader.wait().await.is_ok() {
        future::pending::<()>().await;
    }
    (reader, ReadResult::Closed)
}

/// Waits for the first byte of a request.
async fn await_request(
    context: &context::GatewayContext,
    limits: routing::CallerLimits,
    reader: &mut reader::MessageReader,
) -> Result<(), ReadResult> {
    let close_idle = context.close_idle.listen();
    if context.is_closing() && !reader.has_buffered_bytes() {
        return Err(ReadResult::Idle);
    }
    let arrived = async { reader.wait().await.map_err(|_| ReadResult::Closed) };
    let idle = async {
        timer::within(limits.idle_timeout, close_idle).await;
        Err(ReadResult::Idle)
    };
    arrived.or(idle).await
}

/// Why a request could not be read whole.
enum RequestError {
    Read(h1::ReadError),
    /// The head or body did not arrive in time.
    Slow,
}

async fn read_head_and_body(
    origin: RequestOrigin,
    limits: routing::CallerLimits,
    reader: &mut reader::MessageReader,
) -> Result<CallerRequest, RequestError> {
    let head = timer::within(
        limits.head_timeout,
        reader.request_head(limits.max_head_bytes),
    )
    .await;
    let head = head
        .ok_or(RequestError::Slow)?
        .map_err(RequestError::Read)?;
    let arrived = Instant::now();
    if head.fields.has_token("expect", "100-continue") {
        let interim = socket::write_all(reader.socket(), b"HTTP/1.1 100 Continue\r\n\r\n").await;
        interim.map_err(|error| RequestError::Read(error.into()))?;
    }
    let body = reader.body(head.framing, limits.max_body_bytes);
    let body = timer::within(BODY_TIMEOUT, body).await;
    let body = body
        .ok_or(RequestError::Slow)?
        .map_err(RequestError::Read)?;
    let (caller, passed_on) = match origin {
        RequestOrigin::Caller(address) => (address, false),
        RequestOrigin::Instance(address) => {
            let caller = head.fields.get(passing::CALLER_FIELD);
            (
                caller.and_then(passing::parse_caller).unwrap_or(address),
                true,
            )
        }
    };
    Ok(CallerRequest {
        head,
        body,
        caller,
        passed_on,
        arrived,
    })
}

fn classify_error(error: RequestError) -> ReadResult {
    match error {
        RequestError::Slow => ReadResult::Refused(response::RefusalReason::SlowRequest),
        RequestError::Read(h1::ReadError::Malformed(_)) => {
            ReadResult::Refused(response::RefusalReason::BadRequest)
        }
        RequestError::Read(h1::ReadError::HeadTooLarge(_)) => {
            ReadResult::Refused(response::RefusalReason::HeadTooLarge)
        }
        RequestError::Read(h1::ReadError::BodyTooLarge(_)) => {
            ReadResult::Refused(response::RefusalReason::BodyTooLarge)
        }
        RequestError::Read(
            h1::ReadError::Closed | h1::ReadError::Truncated | h1::ReadError::Io(_),
        ) => ReadResult::Closed,
    }
}
