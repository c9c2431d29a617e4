//! Single HTTP calls, for everything that is not callers' traffic.

use crate::message;
use crate::stream;
use crate::timer;
use http_types::{Body, Method, Request, Url};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// A call that brought no answer.
#[derive(Debug, Error)]
pub enum CallError {
    #[error("{address} did not answer within {} ms; check that it runs", .timeout.as_millis())]
    Timeout {
        address: SocketAddr,
        timeout: Duration,
    },
    #[error("{address} is not reachable: {source}; check the address and that it runs")]
    Unreachable {
        address: SocketAddr,
        source: io::Error,
    },
    #[error("{address} gave no whole answer: {source}")]
    Message {
        address: SocketAddr,
        source: message::MessageError,
    },
}

/// Answer to a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallResponse {
    pub status: u16,
    pub body: String,
}

/// Sends one request on a connection of its own and reads the whole answer.
pub async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: &str,
    timeout: Duration,
) -> Result<CallResponse, CallError> {
    let exchange = call_unbounded(address, method, path, body);
    let answer = timer::within(timeout, exchange).await;
    answer.unwrap_or(Err(CallError::Timeout { address, timeout }))
}

async fn call_unbounded(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: &str,
) -> Result<CallResponse, CallError> {
    let connected = stream::HttpStream::connect(address).await;
    let stream = connected.map_err(|source| CallError::Unreachable { address, source })?;
    let failed = |source| CallError::Message { address, source };
    let url = Url::parse(&format!("http://{address}{path}"));
    let url = url.map_err(|error| failed(message::MessageError::Malformed(error.to_string())))?;
    let mut request = Request::new(method, url);
    request.set_body(Body::from_string(body.to_owned()));
    message::write_request(&stream, request)
        .await
        .map_err(failed)?;
    let response = message::read_response(&stream, method, || {}).await;
    let mut response = response.map_err(failed)?;
    let status = u16::from(response.status());
    let body = response.body_string().await;
    let body = body.map_err(|error| failed(message::MessageError::Malformed(error.to_string())))?;
    Ok(CallResponse { status, body })
}
