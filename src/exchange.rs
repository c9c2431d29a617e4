//! Single HTTP requests to the metadata store and to instances, outside the request path.

use crate::message;
use crate::stream;
use crate::timer;
use http_types::{Body, Method, Request, Url};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// A call that got no complete response.
#[derive(Debug, Error)]
pub enum CallError {
    #[error("{address} did not respond within {} ms; check that it runs", .timeout.as_millis())]
    Timeout {
        address: SocketAddr,
        timeout: Duration,
    },
    #[error("{address} is not reachable: {source}; check the address and that it runs")]
    Unreachable {
        address: SocketAddr,
        source: io::Error,
    },
    #[error("{address} sent no complete response: {source}")]
    Message {
        address: SocketAddr,
        source: message::MessageError,
    },
}

/// Response to a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallResponse {
    pub status: u16,
    pub body: String,
}

/// Sends one request on a new connection and reads the complete response.
pub async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: &str,
    timeout: Duration,
) -> Result<CallResponse, CallError> {
    let exchange = call_without_timeout(address, method, path, body);
    let response = timer::within(timeout, exchange).await;
    response.unwrap_or(Err(CallError::Timeout { address, timeout }))
}

async fn call_without_timeout(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: &str,
) -> Result<CallResponse, CallError> {
    let connected = stream::HttpStream::connect(address).await;
    let stream = connected.map_err(|source| CallError::Unreachable { address, source })?;
    let message_error = |source| CallError::Message { address, source };
    let url = Url::parse(&format!("http://{address}{path}"));
    let url =
        url.map_err(|error| message_error(message::MessageError::Malformed(error.to_string())))?;
    let mut request = Request::new(method, url);
    request.set_body(Body::from_string(body.to_owned()));
    message::write_request(&stream, request)
        .await
        .map_err(message_error)?;
    let response = message::read_response(&stream, method, || {}).await;
    let mut response = response.map_err(message_error)?;
    let status = u16::from(response.status());
    let body = response.body_string().await;
    let body =
        body.map_err(|error| message_error(message::MessageError::Malformed(error.to_string())))?;
    Ok(CallResponse { status, body })
}
