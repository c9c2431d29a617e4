//! Responses to callers: those of upstreams, and the instance's own refusals.

use crate::gateway::{exchange, header_names, passing};
use crate::h1::{head, socket};
use crate::memory;
use std::io::{self, Write};
use std::time::Duration;
use tokio_util::bytes::Bytes;

/// Longest body that is copied behind its head, so that both are written at once.
const MAX_COPIED_BYTES: usize = 16 * 1024;

/// Response that is ready to be written to a caller.
#[derive(Debug)]
pub struct CallerResponse {
    pub status: u16,
    /// Status line and header fields, without hop-by-hop fields.
    head: Vec<u8>,
    body: Bytes,
    /// Memory that an upstream's response holds; given back once it has been written.
    _lease: Option<memory::MemoryLease>,
    /// Whether the connection must be closed after the response.
    pub close: bool,
}

/// Why the instance responds itself instead of passing on an upstream's response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalReason {
    /// The request is not valid HTTP/1.1.
    BadRequest,
    /// The request's key is missing, not a number or out of range.
    BadKey,
    /// The head or body did not arrive in time.
    SlowRequest,
    HeadTooLarge,
    BodyTooLarge,
    /// No route matches the host and path.
    UnknownRoute,
    /// No configuration is known yet.
    NotConfigured,
    /// The route's service has no upstream that takes requests.
    NoUpstream,
    /// The key had no owner until the wait for one ended.
    NoOwner,
    /// All usable upstreams are at their request limit.
    Overloaded,
    /// The upstreams that may get the request have reached the limit that they state.
    RateLimited,
    /// The upstreams that may get the request want none for a stated time.
    UpstreamPaused,
    /// This instance reaches no upstream, and no other that does takes the request.
    Stranded,
    /// Another instance, to which this one passed the request on, refused it.
    HelperRefused,
    /// Upstreams ended under the request when it ran before.
    CrashesUpstreams,
    /// Upstreams refused the request or could not be reached; it did not run.
    Refused,
    /// The deadline passed before the request was sent.
    ExpiredUnsent,
    /// The request was sent, but no usable response arrived.
    LostResponse,
    /// The request was sent, but no response arrived before the deadline.
    Expired,
}

impl RefusalReason {
    /// Returns the status; 408, 429 and 503 promise that the request did not run.
    pub fn status(self) -> u16 {
        match self {
            RefusalReason::BadRequest | RefusalReason::BadKey => 400,
            RefusalReason::SlowRequest => 408,
            RefusalReason::HeadTooLarge => 431,
            RefusalReason::BodyTooLarge => 413,
            RefusalReason::UnknownRoute => 404,
            RefusalReason::NotConfigured
            | RefusalReason::NoUpstream
            | RefusalReason::NoOwner
            | RefusalReason::Overloaded
            | RefusalReason::RateLimited
            | RefusalReason::UpstreamPaused
            | RefusalReason::CrashesUpstreams
            | RefusalReason::Stranded
            | RefusalReason::HelperRefused
            | RefusalReason::Refused
            | RefusalReason::ExpiredUnsent => 503,
            RefusalReason::LostResponse => 502,
            RefusalReason::Expired => 504,
        }
    }

    /// Returns the reason's name in logs, metrics and response bodies.
    pub fn as_str(self) -> &'static str {
        match self {
            RefusalReason::BadRequest => "bad-request",
            RefusalReason::BadKey => "bad-key",
            RefusalReason::SlowRequest => "slow-request",
            RefusalReason::HeadTooLarge => "head-too-large",
            RefusalReason::BodyTooLarge => "body-too-large",
            RefusalReason::UnknownRoute => "unknown-route",
            RefusalReason::NotConfigured => "not-configured",
            RefusalReason::NoUpstream => "no-upstream",
            RefusalReason::NoOwner => "no-owner",
            RefusalReason::Overloaded => "overloaded",
            RefusalReason::RateLimited => "rate-limited",
            RefusalReason::UpstreamPaused => "upstream-paused",
            RefusalReason::Stranded => "stranded",
            RefusalReason::HelperRefused => "helper-refused",
            RefusalReason::CrashesUpstreams => "crashes-upstreams",
            RefusalReason::Refused => "refused",
            RefusalReason::ExpiredUnsent => "expired-unsent",
            RefusalReason::LostResponse => "lost-answer",
            RefusalReason::Expired => "expired",
        }
    }

    fn closes_connection(self) -> bool {
        matches!(
            self,
            RefusalReason::BadRequest
                | RefusalReason::SlowRequest
                | RefusalReason::HeadTooLarge
                | RefusalReason::BodyTooLarge
        )
    }
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        202 => "Accepted",
        204 => "No Content",
        400 => "Bad Request",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Other",
    }
}

impl CallerResponse {
    /// Creates a refusal; `retry_after` is sent in the `Retry-After` field, in seconds.
    pub fn refusal(reason: RefusalReason, retry_after: Option<Duration>) -> CallerResponse {
        let status = reason.status();
        let mut head = status_line(status);
        head.extend_from_slice(b"Content-Type: text/plain\r\n");
        if let Some(delay) = retry_after {
            push_field(
                &mut head,
                "Retry-After",
                format_args!("{:.3}", delay.as_secs_f64()),
            );
        }
        let body = Bytes::from_static(reason.as_str().as_bytes());
        push_field(&mut head, "Content-Length", format_args!("{}", body.len()));
        CallerResponse {
            status,
            head,
            body,
            _lease: None,
            close: reason.closes_connection(),
        }
    }

    /// Adds what another instance must know that passed the request on.
    ///
    /// Only a refusal lacks the ID of its request.
    pub fn for_passed_on(
        mut self,
        names: &header_names::HeaderNames,
        request_id: Option<&str>,
        reason: RefusalReason,
    ) -> CallerResponse {
        if let Some(id) = request_id {
            push_field(&mut self.head, names.request_id, format_args!("{id}"));
        }
        if reason.status() == 503 {
            push_field(&mut self.head, names.not_run, format_args!("1"));
        }
        if reason == RefusalReason::Stranded {
            let head = status_line(passing::STRANDED_STATUS);
            let fields = self.head.iter().position(|byte| *byte == b'\n');
            let fields = fields.map_or(0, |end| end + 1);
            self.head.splice(..fields, head);
            self.status = passing::STRANDED_STATUS;
        }
        self
    }

    /// Creates the response that passes on an upstream's response to `method`.
    pub fn forwarded(response: exchange::UpstreamResponse, method: &str) -> CallerResponse {
        let status = response.head.status;
        let mut head = status_line(status);
        let fields = &response.head.fields;
        let no_body = method == "HEAD" || status == 204 || status == 304;
        copy_fields(&mut head, fields, |name| {
            no_body || !name.eq_ignore_ascii_case("content-length")
        });
        if !no_body {
            push_field(
                &mut head,
                "Content-Length",
                format_args!("{}", response.body.len()),
            );
        }
        CallerResponse {
            status,
            head,
            body: response.body,
            _lease: response.lease,
            close: false,
        }
    }

    /// Writes the response; `close` announces the close of the connection.
    pub async fn write(&self, socket: &socket::SharedSocket, close: bool) -> io::Result<()> {
        let mut bytes =
            Vec::with_capacity(self.head.len() + MAX_COPIED_BYTES.min(self.body.len()) + 32);
        bytes.extend_from_slice(&self.head);
        if close {
            bytes.extend_from_slice(b"Connection: close\r\n");
        }
        bytes.extend_from_slice(b"\r\n");
        if self.body.len() <= MAX_COPIED_BYTES {
            bytes.extend_from_slice(&self.body);
            return socket::write_all(socket, &bytes).await;
        }
        socket::write_all(socket, &bytes).await?;
        socket::write_all(socket, &self.body).await
    }
}

/// Appends one header field to a head.
pub fn push_field(head: &mut Vec<u8>, name: &str, value: std::fmt::Arguments<'_>) {
    write!(head, "{name}: {value}\r\n").expect("writing to a vector cannot fail");
}

fn status_line(status: u16) -> Vec<u8> {
    let mut head = Vec::with_capacity(512);
    write!(head, "HTTP/1.1 {status} {}\r\n", reason_phrase(status))
        .expect("writing to a vector cannot fail");
    head
}

/// Appends the header fields that `keep` selects and that are not hop-by-hop.
pub fn copy_fields(head: &mut Vec<u8>, fields: &head::FieldList, keep: impl Fn(&str) -> bool) {
    for (name, value) in fields.iter() {
        if fields.is_hop_by_hop(name) || !keep(name) {
            continue;
        }
        head.extend_from_slice(name.as_bytes());
        head.extend_from_slice(b": ");
        head.extend_from_slice(value);
        head.extend_from_slice(b"\r\n");
    }
}
