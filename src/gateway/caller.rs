//! One caller's connection, with HTTP/1.1 pipelining.
//!
//! Requests are read ahead while earlier ones wait for their responses; responses
//! are written in the order of the requests. Only GET and HEAD requests without a
//! body run concurrently. A caller that closes its connection cancels all its
//! requests.
//!
//! A connection is idle from the moment at which its last response was written, and
//! only while nothing of a request has arrived. Bytes are read at any other time: as a
//! request, or to see the caller leave while no further request may begin.

use crate::event_log;
use crate::gateway::{attempts, context, passing, response};
use crate::h1;
use crate::h1::{head, reader, socket};
use crate::routing;
use crate::timer;
use futures_lite::future;
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

/// Bytes of later requests that are read while none of them may begin.
const READ_AHEAD_BYTES: usize = 16 * 1024;

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

/// Reading side of a connection.
enum ReadSide {
    /// Between two requests.
    Waiting(reader::MessageReader),
    /// A request has begun to arrive.
    Reading(ReadFuture),
}

/// Response, and whether the caller asked to close the connection after it.
type ResponseFuture = Pin<Box<dyn Future<Output = (response::CallerResponse, bool)>>>;

impl ReadSide {
    /// Returns whether nothing of a further request was read.
    fn is_unread(&self) -> bool {
        matches!(self, ReadSide::Waiting(reader) if !reader.has_buffered_bytes())
    }
}

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
        let mut side = ReadSide::Waiting(reader);
        let mut next_request: Option<Box<CallerRequest>> = None;
        let mut exclusive = false;
        let mut responses: FuturesOrdered<ResponseFuture> = FuturesOrdered::new();
        let mut refusal = None;
        let mut idle_since = Instant::now();
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
            let in_progress = !responses.is_empty();
            if self.context.is_closing() && !in_progress && side.is_unread() {
                return;
            }
            let may_begin = next_request.is_none() && refusal.is_none();
            // A connection that closes after its next response takes no further request.
            let takes_request = || may_begin && !(in_progress && self.context.is_closing());
            let event = {
                let takes_now = takes_request();
                let read = next_read(&mut side, takes_now);
                let response = next_response(&mut responses);
                let idle = async {
                    match in_progress {
                        true => future::pending().await,
                        false => self.await_idle(idle_since).await,
                    }
                };
                // Reading first shows whether the caller has left before its request is sent on.
                future::or(read, future::or(response, idle)).await
            };
            match event {
                ConnectionEvent::Responded(response, close_requested) => {
                    let stopping = self.context.is_stopping();
                    let close = close_requested || response.close || stopping;
                    let written = response.write(&self.socket, close).await;
                    if close || written.is_err() {
                        self.close().await;
                        return;
                    }
                    idle_since = Instant::now();
                }
                ConnectionEvent::Arrived if takes_request() => side = self.read(side),
                // The instance has begun to stop since the wait began.
                ConnectionEvent::Arrived => {}
                ConnectionEvent::Read(reader, ReadResult::Request(request)) => {
                    next_request = Some(request);
                    side = ReadSide::Waiting(reader);
                }
                ConnectionEvent::Read(reader, ReadResult::Refused(reason)) => {
                    refusal = Some(reason);
                    side = ReadSide::Waiting(reader);
                }
                ConnectionEvent::Read(_, ReadResult::Closed)
                | ConnectionEvent::Left
                | ConnectionEvent::Idle => return,
            }
        }
    }

    /// Waits until a connection without requests in progress has been idle for too long, or
    /// idle connections are closed.
    async fn await_idle(&self, since: Instant) -> ConnectionEvent {
        let close_idle = self.context.close_idle.listen();
        if !self.context.is_closing() {
            let timeout = self.limits().idle_timeout;
            timer::within(timeout.saturating_sub(since.elapsed()), close_idle).await;
        }
        ConnectionEvent::Idle
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
        let written = response.write(&self.socket, true).await;
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

    /// Begins to read a request whose first byte has arrived.
    fn read(&self, side: ReadSide) -> ReadSide {
        match side {
            ReadSide::Waiting(reader) => {
                let request = read_request(self.origin, self.limits(), reader);
                ReadSide::Reading(Box::pin(request))
            }
            reading => reading,
        }
    }
}

enum ConnectionEvent {
    /// The next response, and whether the caller asked to close the connection after it.
    Responded(response::CallerResponse, bool),
    /// The first byte of a request has arrived.
    Arrived,
    Read(reader::MessageReader, ReadResult),
    /// The caller closed the connection.
    Left,
    /// The connection has been idle for too long.
    Idle,
}

/// Waits for the next event of the reading side.
///
/// While no request is taken, bytes of further ones stay in the reader up to
/// [`READ_AHEAD_BYTES`], so that the caller is seen to leave.
async fn next_read(side: &mut ReadSide, takes_request: bool) -> ConnectionEvent {
    match side {
        ReadSide::Reading(reading) => {
            let (reader, result) = reading.await;
            ConnectionEvent::Read(reader, result)
        }
        ReadSide::Waiting(reader) if takes_request => match reader.wait().await {
            Ok(()) => ConnectionEvent::Arrived,
            Err(_) => ConnectionEvent::Left,
        },
        ReadSide::Waiting(reader) => {
            reader.await_close(READ_AHEAD_BYTES).await;
            ConnectionEvent::Left
        }
    }
}

async fn next_response(responses: &mut FuturesOrdered<ResponseFuture>) -> ConnectionEvent {
    match responses.next().await {
        Some((response, close)) => ConnectionEvent::Responded(response, close),
        None => future::pending().await,
    }
}

async fn read_request(
    origin: RequestOrigin,
    limits: routing::CallerLimits,
    mut reader: reader::MessageReader,
) -> (reader::MessageReader, ReadResult) {
    let result = match read_head_and_body(origin, limits, &mut reader).await {
        Ok(request) => ReadResult::Request(Box::new(request)),
        Err(error) => classify_error(error),
    };
    (reader, result)
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
        // Only what upstreams send is accounted.
        RequestError::Read(
            h1::ReadError::Closed
            | h1::ReadError::Truncated
            | h1::ReadError::Io(_)
            | h1::ReadError::NoMemory(_),
        ) => ReadResult::Closed,
    }
}
