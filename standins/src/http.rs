//! HTTP server of the fakes.

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use godwitloom::{message, stream};
use http_types::{Request, Response, StatusCode};
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

/// Serves every request of every connection with `respond`.
///
/// If `respond` returns `None`, the connection is closed without a response.
pub async fn serve<F, R>(
    executor: Rc<LocalExecutor<'static>>,
    listener: Async<TcpListener>,
    respond: F,
) where
    F: Fn(Request) -> R + Clone + 'static,
    R: Future<Output = Option<Response>> + 'static,
{
    loop {
        let Ok((io, _)) = listener.accept().await else {
            Timer::after(Duration::from_millis(10)).await;
            continue;
        };
        let connection = serve_connection(stream::HttpStream::new(io), respond.clone());
        executor.spawn(connection).detach();
    }
}

async fn serve_connection<F, R>(stream: stream::HttpStream, respond: F)
where
    F: Fn(Request) -> R,
    R: Future<Output = Option<Response>>,
{
    while let Ok(Some(request)) = message::read_request(&stream).await {
        let method = request.method();
        let Some(response) = respond(request).await else {
            break;
        };
        let written = message::write_response(&stream, response, method).await;
        if written.is_err() || !stream.is_message_complete() {
            break;
        }
    }
    stream.shutdown();
}

/// Builds a response with a JSON body.
pub fn json(status: StatusCode, value: &serde_json::Value) -> Response {
    let mut response = Response::new(status);
    response.set_body(value.to_string());
    response.set_content_type(http_types::mime::JSON);
    response
}

/// Returns a query parameter, percent-decoded.
pub fn query(request: &Request, name: &str) -> Option<String> {
    let mut pairs = request.url().query_pairs();
    let pair = pairs.find(|(found, _)| found == name);
    pair.map(|(_, value)| value.into_owned())
}

/// Returns a numeric query parameter; 0 if it is missing or no number.
pub fn query_number(request: &Request, name: &str) -> u64 {
    query(request, name)
        .and_then(|text| text.parse().ok())
        .unwrap_or(0)
}
