//! One exchange with one upstream: sends a request and reads the whole response.

use crate::gateway::{header_names, passing, pools, response};
use crate::h1;
use crate::h1::{head, reader, socket};
use crate::limits;
use crate::memory;
use crate::notices::{self, pauses};
use crate::outcome;
use crate::timer;
use async_io::Timer;
use futures_lite::AsyncWriteExt;
use futures_lite::future;
use std::cell::Cell;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio_util::bytes::Bytes;

/// Timeout of opening a connection; short, as upstreams are in the same region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest body of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Most responses to other requests that are skipped; an upstream may send them without end.
const MAX_OTHER_RESPONSES: usize = 8;

/// Time for which a response is still awaited after a write of the request failed.
const EARLY_RESPONSE_WAIT: Duration = Duration::from_millis(100);

/// Time taken off the deadline that an upstream is told, so that its own timeout
/// response arrives in time.
const DEADLINE_MARGIN: Duration = Duration::from_millis(5);

/// Whole response of an upstream.
#[derive(Debug)]
pub struct UpstreamResponse {
    pub head: head::ResponseHead,
    pub body: Bytes,
    /// Memory that it holds.
    pub lease: Option<memory::MemoryLease>,
}

/// Why an exchange brought no response that may be passed on.
#[derive(Debug, Error)]
pub enum ExchangeError {
    #[error("upstream cannot be reached: {0}")]
    Unreachable(io::Error),
    #[error("upstream accepted no connection within {} ms", .0.as_millis())]
    ConnectTimeout(Duration),
    #[error("upstream refused the request before running it, with status {status}")]
    Refused {
        status: u16,
        /// ID of the upstream that responded, if the response names it.
        by: Option<String>,
    },
    #[error("connection failed after {written} bytes of the request: {source}")]
    Broken {
        /// Bytes of the request that the kernel took.
        written: usize,
        source: h1::ReadError,
    },
    #[error("upstream ended after {written} bytes of the request: {source}")]
    Ended {
        /// Bytes of the request that the kernel took.
        written: usize,
        source: h1::ReadError,
    },
    #[error("response has another request ID, none, or an encoding that was not requested")]
    Unusable,
    #[error("no response before the request's deadline")]
    Timeout,
}

impl ExchangeError {
    /// Returns whether the upstream ran the request.
    pub fn outcome(&self) -> outcome::Outcome {
        match self {
            ExchangeError::Unreachable(_)
            | ExchangeError::ConnectTimeout(_)
            | ExchangeError::Refused { .. }
            | ExchangeError::Broken { written: 0, .. } => outcome::Outcome::NotRun,
            ExchangeError::Broken { .. }
            | ExchangeError::Ended { .. }
            | ExchangeError::Unusable
            | ExchangeError::Timeout => outcome::Outcome::Unknown,
        }
    }

    /// Returns the error's name in logs and metrics.
    pub fn as_str(&self) -> &'static str {
        match self {
            ExchangeError::Unreachable(_) => "unreachable",
            ExchangeError::ConnectTimeout(_) => "connect-timeout",
            ExchangeError::Refused { status: 421, .. } => "misdirected",
            ExchangeError::Refused { .. } => "refused",
            ExchangeError::Broken { written: 0, .. } => "unsent",
            ExchangeError::Broken { .. } => "broken",
            ExchangeError::Ended { .. } => "ended",
            ExchangeError::Unusable => "foreign-answer",
            ExchangeError::Timeout => "timeout",
        }
    }
}

/// Request to be sent to an upstream.
#[derive(Debug)]
pub struct OutgoingRequest<'a> {
    pub head: &'a head::RequestHead,
    pub body: &'a Bytes,
    /// ID that the caller gave the request, if any.
    pub request_id: Option<&'a str>,
    /// Connections on which the request was sent before.
    ///
    /// A copy of the earlier response could not be told from the response to this attempt.
    pub used_connections: &'a [reader::ConnectionNumber],
    /// Caller of a request that is sent to another instance instead of an upstream.
    pub passed_on: Option<IpAddr>,
    pub deadline: Instant,
    /// Time after the deadline for which the upstream's own response is still awaited.
    pub slack: Duration,
}

impl OutgoingRequest<'_> {
    fn encode(&self, names: &header_names::HeaderNames, upstream: &str) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(512);
        bytes.extend_from_slice(self.head.method.as_bytes());
        bytes.push(b' ');
        bytes.extend_from_slice(self.head.target.as_bytes());
        bytes.extend_from_slice(b" HTTP/1.1\r\n");
        let replaced = [
            names.time_left_ms,
            names.expected_upstream,
            passing::CALLER_FIELD,
            "content-length",
            "expect",
        ];
        response::copy_fields(&mut bytes, &self.head.fields, |name| {
            !replaced
                .iter()
                .any(|field| name.eq_ignore_ascii_case(field))
        });
        let left = self.deadline.saturating_duration_since(Instant::now());
        let left = left.saturating_sub(DEADLINE_MARGIN).as_millis().max(1);
        response::push_field(&mut bytes, names.time_left_ms, format_args!("{left}"));
        match self.passed_on {
            Some(caller) => {
                response::push_field(&mut bytes, passing::CALLER_FIELD, format_args!("{caller}"));
            }
            None => response::push_field(
                &mut bytes,
                names.expected_upstream,
                format_args!("{upstream}"),
            ),
        }
        let bodyless = matches!(self.head.method.as_str(), "GET" | "HEAD" | "DELETE");
        if !self.body.is_empty() || !bodyless {
            let length = self.body.len();
            response::push_field(&mut bytes, "Content-Length", format_args!("{length}"));
        }
        bytes.extend_from_slice(b"\r\n");
        bytes
    }
}

/// An exchange that ended, with or without a response.
#[derive(Debug)]
pub struct FinishedExchange {
    pub result: Result<UpstreamResponse, ExchangeError>,
    /// What the response says of the upstream's limit; absent without a response.
    pub statement: Option<limits::LimitStatement>,
    /// What all responses say that arrived, also those that cannot be passed on.
    pub notice: notices::UpstreamNotice,
    /// Connection on which the request was sent, if there was one.
    pub connection: Option<reader::ConnectionNumber>,
}

/// What is known of an exchange whether or not it ends with a response.
#[derive(Debug, Default)]
struct ExchangeTrace {
    /// Bytes of the request that the kernel took.
    written: Cell<usize>,
    notice: Cell<notices::UpstreamNotice>,
    connection: Cell<Option<reader::ConnectionNumber>>,
}

impl ExchangeTrace {
    fn note_head(&self, names: &header_names::HeaderNames, head: &head::ResponseHead) {
        let mut notice = self.notice.get();
        notice.merge(read_notice(names, head));
        self.notice.set(notice);
    }
}

/// Returns whether a response says that its upstream leaves.
pub fn is_leaving(names: &header_names::HeaderNames, head: &head::ResponseHead) -> bool {
    let leaving = head.fields.get(names.leaving);
    leaving.is_some_and(|value| value.trim() == "1")
}

/// Returns what a response says of its upstream.
fn read_notice(
    names: &header_names::HeaderNames,
    head: &head::ResponseHead,
) -> notices::UpstreamNotice {
    let pause = head.fields.get("retry-after");
    notices::UpstreamNotice {
        leaving: is_leaving(names, head),
        pause: pause
            .filter(|_| head.status == 503)
            .and_then(pauses::parse_pause),
    }
}

/// Sends a request to an upstream and reads the whole response.
///
/// Ends at the latest [`OutgoingRequest::slack`] after the deadline.
pub async fn exchange(
    pool: &Rc<pools::UpstreamPool>,
    names: &header_names::HeaderNames,
    budget: &Arc<memory::MemoryBudget>,
    request: &OutgoingRequest<'_>,
) -> FinishedExchange {
    let left = request.deadline.saturating_duration_since(Instant::now());
    let trace = ExchangeTrace::default();
    let exchanged = timer::within(
        left + request.slack,
        exchange_without_timeout(pool, names, budget, request, &trace),
    )
    .await;
    let response = exchanged.unwrap_or(Err(ExchangeError::Timeout));
    let statement = response.as_ref().ok().map(|response| {
        let text = response.head.fields.get(names.request_rate);
        text.and_then(limits::RequestRate::parse).into()
    });
    FinishedExchange {
        result: response.and_then(|response| classify(response, names)),
        statement,
        notice: trace.notice.get(),
        connection: trace.connection.get(),
    }
}

async fn exchange_without_timeout(
    pool: &Rc<pools::UpstreamPool>,
    names: &header_names::HeaderNames,
    budget: &Arc<memory::MemoryBudget>,
    request: &OutgoingRequest<'_>,
    trace: &ExchangeTrace,
) -> Result<UpstreamResponse, ExchangeError> {
    let upstream = pool.view.borrow().clone();
    let mut reader = connect(pool, &upstream.address, request.used_connections).await?;
    reader.account(memory::MemoryLease::new(budget, upstream.address));
    trace.connection.set(Some(reader.number()));
    let head = request.encode(names, &upstream.id);
    let socket = reader.socket().clone();
    let sent = Cell::new(false);
    let write = async {
        match write_parts(&socket, [&head, request.body], &trace.written).await {
            Ok(()) => {
                sent.set(true);
                future::pending().await
            }
            Err(error) => {
                Timer::after(EARLY_RESPONSE_WAIT).await;
                Err(ExchangeError::Broken {
                    written: trace.written.get(),
                    source: error.into(),
                })
            }
        }
    };
    let read = read_response(&mut reader, names, request, trace);
    let response = future::or(write, read).await?;
    if sent.get() && response.head.framing != h1::body::BodyFraming::UntilClose {
        pool.put_idle(reader, &response.head);
    }
    Ok(response)
}

/// Returns whether an upstream, whose connection broke, refuses connections.
///
/// What lies between may refuse them too, so that this alone is no end of the upstream.
pub async fn refuses_connections(address: SocketAddr) -> bool {
    let connected = timer::within(CONNECT_TIMEOUT, socket::connect(address)).await;
    let refused = |error: &io::Error| error.kind() == io::ErrorKind::ConnectionRefused;
    matches!(connected, Some(Err(error)) if refused(&error))
}

async fn connect(
    pool: &Rc<pools::UpstreamPool>,
    address: &SocketAddr,
    used: &[reader::ConnectionNumber],
) -> Result<reader::MessageReader, ExchangeError> {
    if let Some(reader) = pool.take_idle(used) {
        return Ok(reader);
    }
    match timer::within(CONNECT_TIMEOUT, socket::connect(*address)).await {
        Some(Ok(socket)) => Ok(reader::MessageReader::new(socket)),
        Some(Err(error)) => Err(ExchangeError::Unreachable(error)),
        None => Err(ExchangeError::ConnectTimeout(CONNECT_TIMEOUT)),
    }
}

/// Writes the parts of a request and counts the bytes that the kernel took.
async fn write_parts(
    socket: &socket::SharedSocket,
    parts: [&[u8]; 2],
    written: &Cell<usize>,
) -> io::Result<()> {
    for part in parts {
        let mut left = part;
        while !left.is_empty() {
            let count = (&**socket).write(left).await?;
            if count == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            }
            written.set(written.get() + count);
            left = &left[count..];
        }
    }
    Ok(())
}

/// Reads the response to this request, skipping late responses to other requests.
///
/// A response without an ID may be a copy of an earlier one, unless it is the first on
/// its connection.
async fn read_response(
    reader: &mut reader::MessageReader,
    names: &header_names::HeaderNames,
    request: &OutgoingRequest<'_>,
    trace: &ExchangeTrace,
) -> Result<UpstreamResponse, ExchangeError> {
    let broken = |source| ExchangeError::Broken {
        written: trace.written.get(),
        source,
    };
    for _ in 0..=MAX_OTHER_RESPONSES {
        let is_first = !reader.has_read_response();
        let head = reader.response_head(&request.head.method).await;
        let head = head.map_err(broken)?;
        trace.note_head(names, &head);
        let body = reader.body(head.framing, MAX_RESPONSE_BYTES).await;
        let body = body.map_err(broken)?;
        let response_id = head.fields.get(names.request_id);
        let other_request = match (response_id, request.request_id) {
            (Some(response_id), Some(id)) => response_id != id,
            (None, Some(_)) if !is_first => return Err(ExchangeError::Unusable),
            _ => false,
        };
        if !other_request {
            let lease = reader.take_lease();
            return Ok(UpstreamResponse { head, body, lease });
        }
        if head.framing == h1::body::BodyFraming::UntilClose {
            break;
        }
    }
    Err(ExchangeError::Unusable)
}

/// Turns refusals and unusable responses into errors.
fn classify(
    response: UpstreamResponse,
    names: &header_names::HeaderNames,
) -> Result<UpstreamResponse, ExchangeError> {
    let fields = &response.head.fields;
    let status = response.head.status;
    if fields.get(names.not_run).is_some() || status == 421 {
        let by = fields.get(names.responding_upstream).map(str::to_owned);
        return Err(ExchangeError::Refused { status, by });
    }
    let coding = fields.get("content-encoding");
    let missing_id = status < 300 && fields.get(names.request_id).is_none();
    if coding.is_some_and(|coding| coding != "identity") || missing_id {
        return Err(ExchangeError::Unusable);
    }
    Ok(response)
}
