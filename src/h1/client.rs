//! Minimal client for calls to the metadata store and to upstreams' control endpoints.

use crate::h1;
use crate::h1::{head, reader, socket};
use crate::memory;
use crate::timer;
use std::cell::{Cell, RefCell};
use std::fmt::Write;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio_util::bytes::Bytes;

/// Request of a call.
#[derive(Clone, Copy, Debug)]
pub struct CallRequest<'a> {
    pub method: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Header fields besides `Host`, `Content-Type` and `Content-Length`.
    pub fields: &'a [(&'a str, &'a str)],
    pub body: &'a [u8],
    pub timeout: Duration,
    /// Longest body of a response that is of use, in bytes.
    pub max_response_bytes: usize,
}

/// Whole response to a call.
#[derive(Debug)]
pub struct CallResponse {
    pub status: u16,
    pub head: head::ResponseHead,
    pub body: Bytes,
    /// Memory that it holds.
    pub lease: Option<memory::MemoryLease>,
}

/// Why a call has no usable response.
#[derive(Debug, Error)]
pub enum CallError {
    #[error("{address} cannot be reached: {source}; check that it runs there")]
    Unreachable {
        address: SocketAddr,
        source: io::Error,
    },
    #[error("{address} did not respond within {} ms; the call may have taken effect", .timeout.as_millis())]
    Timeout {
        address: SocketAddr,
        timeout: Duration,
        /// Whether the call may have been sent, in part or whole.
        sent: bool,
    },
    #[error("call to {address} was not sent, because it is no longer valid; issue a new one")]
    Cancelled { address: SocketAddr },
    #[error(
        "connection to {address} failed during the call: {source}; the call may have taken effect"
    )]
    Broken {
        address: SocketAddr,
        source: h1::ReadError,
    },
}

impl CallError {
    /// Returns whether the server cannot have received any of the call.
    pub fn is_unsent(&self) -> bool {
        matches!(
            self,
            CallError::Unreachable { .. }
                | CallError::Cancelled { .. }
                | CallError::Timeout { sent: false, .. }
        )
    }
}

/// Client of one address, with one connection that is kept between calls.
///
/// A connection whose last call failed in any way is closed, so that no late
/// response can be taken for that of a later call.
#[derive(Debug)]
pub struct CallClient {
    address: SocketAddr,
    budget: Arc<memory::MemoryBudget>,
    idle: RefCell<Option<reader::MessageReader>>,
}

impl CallClient {
    /// Creates a client that is not connected; `budget` accounts responses.
    pub fn new(address: SocketAddr, budget: &Arc<memory::MemoryBudget>) -> CallClient {
        CallClient {
            address,
            budget: budget.clone(),
            idle: RefCell::default(),
        }
    }

    /// Sends one request and reads the whole response.
    pub async fn call(&self, request: &CallRequest<'_>) -> Result<CallResponse, CallError> {
        self.call_if(request, || true).await
    }

    /// Sends one request unless `is_valid` returns `false` just before the first byte.
    pub async fn call_if(
        &self,
        request: &CallRequest<'_>,
        is_valid: impl Fn() -> bool,
    ) -> Result<CallResponse, CallError> {
        let sent = Cell::new(false);
        let bytes = self.encode(request);
        let exchange = self.exchange(request, &bytes, is_valid, &sent);
        let response = timer::within(request.timeout, exchange).await;
        response.unwrap_or(Err(CallError::Timeout {
            address: self.address,
            timeout: request.timeout,
            sent: sent.get(),
        }))
    }

    async fn exchange(
        &self,
        request: &CallRequest<'_>,
        bytes: &[u8],
        is_valid: impl Fn() -> bool,
        sent: &Cell<bool>,
    ) -> Result<CallResponse, CallError> {
        let mut reader = self.connection().await?;
        let broken = |source| CallError::Broken {
            address: self.address,
            source,
        };
        if !is_valid() {
            return Err(CallError::Cancelled {
                address: self.address,
            });
        }
        sent.set(true);
        let written = socket::write_all(reader.socket(), bytes).await;
        written.map_err(|error| broken(error.into()))?;
        reader.account(memory::MemoryLease::new(&self.budget, self.address));
        let head = reader.response_head(request.method).await;
        let head = head.map_err(broken)?;
        let body = reader.body(head.framing, request.max_response_bytes).await;
        let body = body.map_err(broken)?;
        let lease = reader.take_lease();
        if head.keep_alive && !reader.has_buffered_bytes() {
            self.idle.replace(Some(reader));
        }
        Ok(CallResponse {
            status: head.status,
            head,
            body,
            lease,
        })
    }

    async fn connection(&self) -> Result<reader::MessageReader, CallError> {
        let idle = self.idle.take();
        if let Some(reader) = idle.filter(|reader| socket::is_idle(reader.socket())) {
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
            write!(head, "{name}: {value}\r\n").expect("writing to a string cannot fail");
        }
        if *method != "GET" {
            let length = request.body.len();
            let write = write!(
                head,
                "Content-Type: application/json\r\nContent-Length: {length}\r\n"
            );
            write.expect("writing to a string cannot fail");
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(request.body);
        bytes
    }
}
