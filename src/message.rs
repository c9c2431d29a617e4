//! HTTP messages on an [`stream::HttpStream`], by way of the HTTP library.
//!
//! The library is lenient where a router must not be; what it lets through is
//! refused here, in both directions.

use crate::body;
use crate::stream;
use async_h1::{client, server};
use futures_lite::io::{self, AsyncWriteExt};
use http_types::headers::{
    CONTENT_LENGTH, CONTENT_TYPE, HeaderName, HeaderValues, TRANSFER_ENCODING,
};
use http_types::{Body, Method, Request, Response};
use thiserror::Error;

/// Headers that belong to one connection and are never passed on.
const HOP_HEADERS: [&str; 9] = [
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

/// A message that cannot be taken as whole.
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

/// Returns whether a header belongs to one connection only.
pub fn is_hop_by_hop(name: &HeaderName) -> bool {
    HOP_HEADERS.contains(&name.as_str())
}

/// Reads the next request; `None` if the peer closed before it.
pub async fn read_request(stream: &stream::HttpStream) -> Result<Option<Request>, MessageError> {
    stream.begin_message();
    let decoded = server::decode(stream.clone()).await;
    let decoded = decoded.map_err(|error| head_error(stream, error))?;
    let Some((mut request, _)) = decoded else {
        return Ok(None);
    };
    let chunked = request.header(TRANSFER_ENCODING).is_some();
    check_length(request.header(CONTENT_LENGTH))?;
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

/// Reads the answer to a request with `method`; interim answers are skipped.
///
/// `on_end` runs once the body of the answer has been read as a whole.
pub async fn read_response(
    stream: &stream::HttpStream,
    method: Method,
    on_end: impl FnOnce() + Send + Sync + 'static,
) -> Result<Response, MessageError> {
    let mut response = read_final(stream).await?;
    check_length(response.header(CONTENT_LENGTH))?;
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
    let typed = response.content_type().is_some();
    response.set_body(body);
    if !typed {
        response.remove_header(CONTENT_TYPE);
    }
    Ok(response)
}

/// Sets a body without the content type that the library would add.
pub fn set_request_body(request: &mut Request, body: Body) {
    let typed = request.content_type().is_some();
    request.set_body(body);
    if !typed {
        request.remove_header(CONTENT_TYPE);
    }
}

async fn read_final(stream: &stream::HttpStream) -> Result<Response, MessageError> {
    loop {
        stream.begin_message();
        let decoded = client::decode(stream.clone()).await;
        let response = decoded.map_err(|error| head_error(stream, error))?;
        if !response.status().is_informational() {
            return Ok(response);
        }
    }
}

/// Sends an answer; the connection is unusable after an error.
pub async fn write_response(
    stream: &stream::HttpStream,
    response: Response,
    method: Method,
) -> io::Result<()> {
    let mut output = stream.clone();
    io::copy(server::Encoder::new(response, method), &mut output).await?;
    output.flush().await
}

fn head_error(stream: &stream::HttpStream, error: http_types::Error) -> MessageError {
    if stream.head_bytes() >= stream::MAX_HEAD_BYTES {
        return MessageError::HeadTooLarge;
    }
    if stream.head_bytes() == 0 {
        return MessageError::Closed;
    }
    MessageError::Malformed(error.to_string())
}

fn check_length(lengths: Option<&HeaderValues>) -> Result<(), MessageError> {
    match lengths {
        Some(lengths) if lengths.iter().count() > 1 => Err(MessageError::AmbiguousLength),
        _ => Ok(()),
    }
}
