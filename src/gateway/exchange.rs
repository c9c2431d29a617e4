//! One exchange with one upstream: request out, whole answer in.

use crate::gateway::{answer, header_names, pools};
use crate::h1;
use crate::h1::{head, reader, socket};
use crate::outcome;
use crate::timer;
use async_io::Timer;
use futures_lite::AsyncWriteExt;
use futures_lite::future;
use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio_util::bytes::Bytes;

/// Time allowed to open a connection; upstreams are in the same region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest body of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Time for which an answer is awaited after the request could not be written whole.
const EARLY_ANSWER_WAIT: Duration = Duration::from_millis(100);

/// Time kept back from an upstream's deadline so that its own answer is in time.
const DEADLINE_MARGIN: Duration = Duration::from_millis(5);

/// Whole answer of an upstream.
#[derive(Clone, Debug)]
pub struct UpstreamAnswer {
    pub head: head::ResponseHead,
    pub body: Bytes,
}

/// Why an exchange brought no answer that may be passed on.
#[derive(Debug, Error)]
pub enum ExchangeError {
    #[error("upstream cannot be reached: {0}")]
    Unreachable(io::Error),
    #[error("upstream did not accept a connection within {} ms", .0.as_millis())]
    ConnectTimeout(Duration),
    #[error("upstream refused the request before running it, with status {status}")]
    Refused {
        status: u16,
        /// Upstream that answered, if it said.
        by: Option<String>,
    },
    #[error("connection failed after {written} bytes: {source}")]
    Broken {
        written: usize,
        source: h1::ReadError,
    },
    #[error("answer belongs to no request or is encoded unasked")]
    Foreign,
    #[error("no answer within the request's time")]
    Timeout,
}

impl ExchangeError {
    /// Returns whether the request ran.
    pub fn outcome(&self) -> outcome::Outcome {
        match self {
            ExchangeError::Unreachable(_)
            | ExchangeError::ConnectTimeout(_)
            | ExchangeError::Refused { .. }
            | ExchangeError::Broken { written: 0, .. } => outcome::Outcome::NotRun,
            ExchangeError::Broken { .. } | ExchangeError::Foreign | ExchangeError::Timeout => {
                outcome::Outcome::Unknown
            }
        }
    }

    /// Returns the kind of error as logs name it.
    pub fn as_str(&self) -> &'static str {
        match self {
            ExchangeError::Unreachable(_) => "unreachable",
            ExchangeError::ConnectTimeout(_) => "connect-timeout",
            ExchangeError::Refused { status: 421, .. } => "misdirected",
            ExchangeError::Refused { .. } => "refused",
            ExchangeError::Broken { written: 0, .. } => "unsent",
            ExchangeError::Broken { .. } => "broken",
            ExchangeError::Foreign => "foreign-answer",
            ExchangeError::Timeout => "timeout",
        }
    }
}

/// Request as it is sent to upstreams.
#[derive(Debug)]
pub struct OutgoingRequest<'a> {
    pub head: &'a head::RequestHead,
    pub body: &'a Bytes,
    /// Identity of the caller's attempt, if it has one.
    pub id: Option<&'a str>,
    pub deadline: Instant,
    /// Time past the deadline in which the upstream's own answer is still awaited.
    pub slack: Duration,
}

impl OutgoingRequest<'_> {
    fn encode(&self, header_names: &header_names::HeaderNames, upstream: &str) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(512);
        bytes.extend_from_slice(self.head.method.as_bytes());
        bytes.push(b' ');
        bytes.extend_from_slice(self.head.target.as_bytes());
        bytes.extend_from_slice(b" HTTP/1.1\r\n");
        let replaced = [
            header_names.time_left_ms,
            header_names.expected_upstream,
            "content-length",
            "expect",
        ];
        answer::copy_fields(&mut bytes, &self.head.fields, |name| {
            !replaced
                .iter()
                .any(|field| name.eq_ignore_ascii_case(field))
        });
        let left = self.deadline.saturating_duration_since(Instant::now());
        let left = left.saturating_sub(DEADLINE_MARGIN).as_millis().max(1);
        answer::push(
            &mut bytes,
            header_names.time_left_ms,
            format_args!("{left}"),
        );
        answer::push(
            &mut bytes,
            header_names.expected_upstream,
            format_args!("{upstream}"),
        );
        let bodyless = matches!(self.head.method.as_str(), "GET" | "HEAD" | "DELETE");
        if !self.body.is_empty() || !bodyless {
            let length = self.body.len();
            answer::push(&mut bytes, "Content-Length", format_args!("{length}"));
        }
        bytes.extend_from_slice(b"\r\n");
        bytes
    }
}

/// Sends a request to an upstream and reads the whole answer.
pub async fn exchange(
    pool: &Rc<pools::UpstreamPool>,
    header_names: &header_names::HeaderNames,
    request: &OutgoingRequest<'_>,
) -> Result<UpstreamAnswer, ExchangeError> {
    let left = request.deadline.saturating_duration_since(Instant::now());
    let exchanged = timer::within(
        left + request.slack,
        exchange_unbounded(pool, header_names, request),
    )
    .await;
    exchanged.unwrap_or(Err(ExchangeError::Timeout))
}

async fn exchange_unbounded(
    pool: &Rc<pools::UpstreamPool>,
    header_names: &header_names::HeaderNames,
    request: &OutgoingRequest<'_>,
) -> Result<UpstreamAnswer, ExchangeError> {
    let upstream = pool.view.borrow().clone();
    let mut reader = connect(pool, &upstream.address).await?;
    let head = request.encode(header_names, &upstream.id);
    let socket = reader.socket().clone();
    let written = Cell::new(0);
    let done = Cell::new(false);
    let write = async {
        match write_parts(&socket, [&head, request.body], &written).await {
            Ok(()) => {
                done.set(true);
                future::pending().await
            }
            Err(error) => {
                Timer::after(EARLY_ANSWER_WAIT).await;
                Err(ExchangeError::Broken {
                    written: written.get(),
                    source: error.into(),
                })
            }
        }
    };
    let read = read_answer(&mut reader, header_names, request, &written);
    let answer = future::or(write, read).await?;
    if done.get() && answer.head.framing != h1::body::BodyFraming::UntilClose {
        pool.keep(reader, &answer.head);
    }
    classify(answer, header_names)
}

async fn connect(
    pool: &Rc<pools::UpstreamPool>,
    address: &std::net::SocketAddr,
) -> Result<reader::MessageReader, ExchangeError> {
    if let Some(reader) = pool.take_idle() {
        return Ok(reader);
    }
    match timer::within(CONNECT_TIMEOUT, socket::connect(*address)).await {
        Some(Ok(socket)) => Ok(reader::MessageReader::new(socket)),
        Some(Err(error)) => Err(ExchangeError::Unreachable(error)),
        None => Err(ExchangeError::ConnectTimeout(CONNECT_TIMEOUT)),
    }
}

/// Writes several parts and counts what the kernel took.
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

/// Reads the answer to this request, passing over late answers to others.
async fn read_answer(
    reader: &mut reader::MessageReader,
    header_names: &header_names::HeaderNames,
    request: &OutgoingRequest<'_>,
    written: &Cell<usize>,
) -> Result<UpstreamAnswer, ExchangeError> {
    let broken = |source| ExchangeError::Broken {
        written: written.get(),
        source,
    };
    loop {
        let head = reader.response_head(&request.head.method).await;
        let head = head.map_err(broken)?;
        let body = reader.body(head.framing, MAX_ANSWER_BYTES).await;
        let body = body.map_err(broken)?;
        let answered = head.fields.get(header_names.request_id);
        let foreign = match (answered, request.id) {
            (Some(answered), Some(id)) => answered != id,
            _ => false,
        };
        if !foreign {
            return Ok(UpstreamAnswer { head, body });
        }
        if head.framing == h1::body::BodyFraming::UntilClose {
            return Err(ExchangeError::Foreign);
        }
    }
}

/// Sorts refusals and unusable answers out.
fn classify(
    answer: UpstreamAnswer,
    header_names: &header_names::HeaderNames,
) -> Result<UpstreamAnswer, ExchangeError> {
    let fields = &answer.head.fields;
    let status = answer.head.status;
    if fields.get(header_names.not_run).is_some() || status == 421 {
        let by = fields
            .get(header_names.responding_upstream)
            .map(str::to_owned);
        return Err(ExchangeError::Refused { status, by });
    }
    let encoded = fields.get("content-encoding");
    let unidentified = status < 300 && fields.get(header_names.request_id).is_none();
    if encoded.is_some_and(|coding| coding != "identity") || unidentified {
        return Err(ExchangeError::Foreign);
    }
    Ok(answer)
}
