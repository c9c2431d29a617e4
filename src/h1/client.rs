//! Small client for control calls: one connection, kept while it works.

use crate::h1;
use crate::h1::{head, reader, socket};
use crate::timer;
use std::cell::{Cell, RefCell};
use std::fmt::Write;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio_util::bytes::Bytes;

/// Longest body of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// A call.
#[derive(Clone, Copy, Debug)]
pub struct CallRequest<'a> {
    pub method: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Further header fields.
    pub fields: &'a [(&'a str, &'a str)],
    pub body: &'a [u8],
    pub timeout: Duration,
}

/// Whole answer to a call.
#[derive(Clone, Debug)]
pub struct CallResponse {
    pub status: u16,
    pub head: head::ResponseHead,
    pub body: Bytes,
}

/// A call without a usable answer.
#[derive(Debug, Error)]
pub enum CallError {
    #[error("{address} cannot be reached: {source}; check that it runs there")]
    Unreachable {
        address: SocketAddr,
        source: io::Error,
    },
    #[error("{address} gave no answer within {} ms; the call may have taken effect", .timeout.as_millis())]
    Timeout {
        address: SocketAddr,
        timeout: Duration,
        /// Whether any byte of the call was sent.
        sent: bool,
    },
    #[error("call to {address} was not sent, as its time was over; decide anew")]
    Void { address: SocketAddr },
    #[error("{address} broke off: {source}; the call may have taken effect")]
    Broken {
        address: SocketAddr,
        source: h1::ReadError,
    },
}

impl CallError {
    /// Returns whether the called process cannot have got the call.
    pub fn is_unsent(&self) -> bool {
        matches!(
            self,
            CallError::Unreachable { .. }
                | CallError::Void { .. }
                | CallError::Timeout { sent: false, .. }
        )
    }

    /// Returns whether the called process refused the connection.
    pub fn is_connection_refused(&self) -> bool {
        matches!(self, CallError::Unreachable { source, .. }
            if source.kind() == io::ErrorKind::ConnectionRefused)
    }
}

/// Client of one address.
///
/// A connection whose last call failed in any way is closed, so that no late
/// answer can be taken for that of a later call.
#[derive(Debug)]
pub struct CallClient {
    address: SocketAddr,
    idle: RefCell<Option<reader::MessageReader>>,
}

impl CallClient {
    /// Creates a client that is not connected.
    pub fn new(address: SocketAddr) -> CallClient {
        CallClient {
            address,
            idle: RefCell::default(),
        }
    }

    /// Sends one request and reads the whole answer.
    pub async fn call(&self, request: &CallRequest<'_>) -> Result<CallResponse, CallError> {
        self.call_if(request, || true).await
    }

    /// Sends one request unless `valid` denies it just before its first byte.
    pub async fn call_if(
        &self,
        request: &CallRequest<'_>,
        valid: impl Fn() -> bool,
    ) -> Result<CallResponse, CallError> {
        let sent = Cell::new(false);
        let bytes = self.encode(request);
        let exchange = self.exchange(request.method, &bytes, valid, &sent);
        let answer = timer::within(request.timeout, exchange).await;
        answer.unwrap_or(Err(CallError::Timeout {
            address: self.address,
            timeout: request.timeout,
            sent: sent.get(),
        }))
    }

    async fn exchange(
        &self,
        method: &str,
        bytes: &[u8],
        valid: impl Fn() -> bool,
        sent: &Cell<bool>,
    ) -> Result<CallResponse, CallError> {
        let mut reader = self.connection().await?;
        let broken = |source| CallError::Broken {
            address: self.address,
            source,
        };
        if !valid() {
            return Err(CallError::Void {
                address: self.address,
            });
        }
        sent.set(true);
        let written = socket::write_all(reader.socket(), bytes).await;
        written.map_err(|error| broken(error.into()))?;
        let head = reader.response_head(method).await.map_err(broken)?;
        let body = reader.body(head.framing, MAX_ANSWER_BYTES).await;
        let body = body.map_err(broken)?;
        if head.keep_alive && !reader.has_surplus() {
            self.idle.replace(Some(reader));
        }
        Ok(CallResponse {
            status: head.status,
            head,
            body,
        })
    }

    async fn connection(&self) -> Result<reader::MessageReader, CallError> {
        let kept = self.idle.take();
        if let Some(reader) = kept.filter(|reader| socket::is_idle(reader.socket())) {
            return Ok(reader);
        }
        let connected = socket::connect(self.address).await;
        let socket = connected.map_err(|source| CallError::Unreachable {
            address: self.address,
            source,
        })?;
        Ok(reader::MessageReader::new(socket))
    }

    fn encode(&self, request: &CallRequest<'_>) -> Vec<u8> {
        let CallRequest { method, target, .. } = request;
        let mut head = format!("{method} {target} HTTP/1.1\r\nHost: {}\r\n", self.address);
        for (name, value) in request.fields {
            write!(head, "{name}: {value}\r\n").expect("strings take any text");
        }
        if *method != "GET" {
            let length = request.body.len();
            let write = write!(
                head,
                "Content-Type: application/json\r\nContent-Length: {length}\r\n"
            );
            write.expect("strings take any text");
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(request.body);
        bytes
    }
}
