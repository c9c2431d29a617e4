//! HTTP/1.1 messages on an [`stream::HttpStream`], encoded and decoded by `async-h1`.
//!
//! The library accepts messages whose end is ambiguous, which a router must not
//! forward. They are refused here, in both directions.

use crate::body;
use crate::stream;
use async_h1::{client, server};
use futures_lite::io::{self, AsyncWriteExt};
use http_types::headers::{
    CONTENT_LENGTH, CONTENT_TYPE, HeaderName, HeaderValues, TRANSFER_ENCODING,
};
use http_types::{Body, Method, Request, Response};
use thiserror::Error;

/// Header fields that concern one connection or its framing only and are never forwarded.
const HOP_BY_HOP_HEADERS: [&str; 9] = [
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Why a message could not be sent or received whole.
#[derive(Debug, Error)]
pub enum MessageError {
    #[error(
        "head is longer than {} bytes; send fewer or shorter headers",
        stream::MAX_HEAD_BYTES
    )]
    HeadTooLarge,
    #[error("head is malformed: {0}; send a well-formed HTTP/1.1 message")]
    Malformed(String),
    #[error("body has several declared lengths; send one Content-Length")]
    AmbiguousLength,
    #[error("body has no declared length; send Content-Length or chunked coding")]
    UndeclaredLength,
    #[error("connection closed before a head arrived; try again on another connection")]
    Closed,
    #[error("connection failed: {0}; try again on another connection")]
    Io(#[from] io::Error),
}

/// Returns whether a header field concerns one connection only and is not forwarded.
pub fn is_hop_by_hop(name: &HeaderName) -> bool {
    HOP_BY_HOP_HEADERS.contains(&name.as_str())
}

/// Reads the head of the next request; `None` if the peer closed the connection first.
///
/// The body is read from the connection only as the request's body is consumed.
pub async fn read_request(stream: &stream::HttpStream) -> Result<Option<Request>, MessageError> {
    stream.begin_message();
    let decoded = server::decode(stream.clone()).await;
    let decoded = decoded.map_err(|error| head_error(stream, error))?;
    let Some((mut request, _)) = decoded else {
        return Ok(None);
    };
    let chunked = request.header(TRANSFER_ENCODING).is_some();
    check_declared_length(request.header(CONTENT_LENGTH))?;
    if !chunked && request.len().is_none_or(|length| length == 0) {
        request.set_body(Body::empty());
    }
    stream.set_body_length(request.len().map(|length| length as u64));
    let body = request.take_body();
    let body = body::WholeBody::new(body, stream.clone(), || {}).into_body();
    set_request_body(&mut request, body);
    Ok(Some(request))
}

/// Sends a request; the connection is unusable after an error.
pub async fn write_request(
    stream: &stream::HttpStream,
    request: Request,
) -> Result<(), MessageError> {
    stream.begin_message();
    let mut output = stream.clone();
    io::copy(client::Encoder::new(request), &mut output).await?;
    output.flush().await?;
    Ok(())
}

/// Reads the head of the response to a request with `method`; skips interim responses.
///
/// The body is read as it is consumed; `on_end` runs once all of it has been read.
pub async fn read_response(
    stream: &stream::HttpStream,
    method: Method,
    on_end: impl FnOnce() + Send + Sync + 'static,
) -> Result<Response, MessageError> {
    let mut response = read_final_head(stream).await?;
    check_declared_length(response.header(CONTENT_LENGTH))?;
    let status = u16::from(response.status());
    let bodiless = method == Method::Head || status == 204 || status == 304;
    let chunked = response.header(TRANSFER_ENCODING).is_some();
    if bodiless {
        response.set_body(Body::empty());
    } else if !chunked && response.header(CONTENT_LENGTH).is_none() {
        return Err(MessageError::UndeclaredLength);
    }
    stream.set_body_length(response.len().map(|length| length as u64));
    let body = response.take_body();
    let body = body::WholeBody::new(body, stream.clone(), on_end).into_body();
    let has_type = response.content_type().is_some();
    response.set_body(body);
    if !has_type {
        response.remove_header(CONTENT_TYPE);
    }
    Ok(response)
}

/// Sets a body, without the `Content-Type` that `http-types` would add.
pub fn set_request_body(request: &mut Request, body: Body) {
    let has_type = request.content_type().is_some();
    request.set_body(body);
    if !has_type {
        request.remove_header(CONTENT_TYPE);
    }
}

async fn read_final_head(stream: &stream::HttpStream) -> Result<Response, MessageError> {
    loop {
        stream.begin_message();
        let decoded = client::decode(stream.clone()).await;
        let response = decoded.map_err(|error| head_error(stream, error))?;
        if !response.status().is_informational() {
            return Ok(response);
        }
    }
}

/// Sends a response; the connection is unusable after an error.
pub async fn write_response(
    stream: &stream::HttpStream,
    response: Response,
    method: Method,
) -> io::Result<()> {
    let mut output = stream.clone();
    io::copy(server::Encoder::new(response, method), &mut output).await?;
    output.flush().await
}

/// Converts a decoding error; its kind depends on how much of the head was read.
fn head_error(stream: &stream::HttpStream, error: http_types::Error) -> MessageError {
    if stream.head_bytes() >= stream::MAX_HEAD_BYTES {
        return MessageError::HeadTooLarge;
    }
    if stream.head_bytes() == 0 {
        return MessageError::Closed;
    }
    MessageError::Malformed(error.to_string())
}

fn check_declared_length(lengths: Option<&HeaderValues>) -> Result<(), MessageError> {
    match lengths {
        Some(lengths) if lengths.iter().count() > 1 => Err(MessageError::AmbiguousLength),
        _ => Ok(()),
    }
}
