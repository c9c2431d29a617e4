//! Tests that malformed or truncated HTTP messages are refused where the HTTP library
//! is lenient, with peers that send fixed bytes over loopback connections.

use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use godwitloom::{message, stream};
use http_types::{Body, Method, Request, Url};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Returns a connection whose peer sends `bytes` and closes it.
async fn scripted_peer(bytes: &'static [u8]) -> stream::HttpStream {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a free port");
    let address = listener.get_ref().local_addr().expect("listener is bound");
    let mut peer = Async::<TcpStream>::connect(address)
        .await
        .expect("loopback works");
    let (accepted, _) = listener.accept().await.expect("loopback works");
    peer.write_all(bytes).await.expect("loopback works");
    peer.close().await.expect("loopback works");
    stream::HttpStream::new(accepted)
}

/// Reads a response; returns its body, and whether the connection is reusable.
fn read_response(bytes: &'static [u8]) -> (Result<Vec<u8>, String>, bool) {
    async_io::block_on(async {
        let stream = scripted_peer(bytes).await;
        let ended = Arc::new(AtomicBool::new(false));
        let flag = ended.clone();
        let on_end = move || flag.store(true, Ordering::SeqCst);
        let response = match message::read_response(&stream, Method::Get, on_end).await {
            Ok(response) => response,
            Err(error) => return (Err(error.to_string()), false),
        };
        let mut response: http_types::Response = response;
        let body = response
            .body_bytes()
            .await
            .map_err(|error| error.to_string());
        assert_eq!(
            body.is_ok(),
            ended.load(Ordering::SeqCst),
            "on_end runs if the body was read as a whole"
        );
        (body, stream.is_reusable())
    })
}

/// Reads a request; returns its body.
fn read_request_body(bytes: &'static [u8]) -> Result<Vec<u8>, String> {
    async_io::block_on(async {
        let stream = scripted_peer(bytes).await;
        let request = message::read_request(&stream).await;
        let mut request = request
            .map_err(|error| error.to_string())?
            .expect("a request");
        request
            .body_bytes()
            .await
            .map_err(|error| error.to_string())
    })
}

#[test]
fn whole_response_keeps_its_connection() {
    let (body, reusable) = read_response(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole");
    assert_eq!(body.as_deref(), Ok(&b"whole"[..]));
    assert!(reusable);
}

#[test]
fn response_shorter_than_declared_is_an_error() {
    let (body, reusable) = read_response(b"HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\ncut");
    assert!(body.is_err(), "{body:?}");
    assert!(!reusable);
}

#[test]
fn truncated_chunked_response_is_an_error() {
    let bytes = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n9\r\ncu";
    let (body, reusable) = read_response(bytes);
    assert!(body.is_err(), "{body:?}");
    assert!(!reusable);
}

#[test]
fn whole_chunked_response_keeps_its_connection() {
    let bytes = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n";
    let (body, reusable) = read_response(bytes);
    assert_eq!(body.as_deref(), Ok(&b"whole"[..]));
    assert!(reusable);
}

#[test]
fn response_with_two_lengths_is_refused() {
    let bytes = b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\ncontent-length: 5\r\n\r\nwhole";
    let (body, _) = read_response(bytes);
    assert!(body.is_err_and(|error| error.contains("several declared lengths")));
}

#[test]
fn response_that_ends_by_close_is_refused() {
    let (body, _) = read_response(b"HTTP/1.1 200 OK\r\n\r\nwho knows");
    assert!(body.is_err_and(|error| error.contains("no declared length")));
}

#[test]
fn interim_responses_are_skipped() {
    let bytes = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole";
    let (body, reusable) = read_response(bytes);
    assert_eq!(body.as_deref(), Ok(&b"whole"[..]));
    assert!(reusable);
}

#[test]
fn connection_with_bytes_after_the_response_is_not_reusable() {
    let bytes = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwholeHTTP/1.1 200 OK\r\n";
    let (body, reusable) = read_response(bytes);
    assert_eq!(body.as_deref(), Ok(&b"whole"[..]));
    assert!(!reusable);
}

#[test]
fn request_body_shorter_than_declared_is_an_error() {
    let body = read_request_body(b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 50\r\n\r\ncut");
    assert!(body.is_err(), "{body:?}");
}

#[test]
fn request_with_two_lengths_is_refused() {
    let bytes =
        b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\ncontent-length: 5\r\n\r\nwhole";
    assert!(
        read_request_body(bytes).is_err_and(|error| error.contains("several declared lengths"))
    );
}

#[test]
fn pipelined_requests_are_read_one_by_one() {
    async_io::block_on(async {
        let stream = scripted_peer(
            b"POST /1 HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\n\r\noneGET /2 HTTP/1.1\r\nhost: h\r\n\r\n",
        )
        .await;
        let mut first = message::read_request(&stream)
            .await
            .expect("whole head")
            .expect("first request");
        assert_eq!(first.body_bytes().await.expect("whole body"), b"one");
        let second = message::read_request(&stream)
            .await
            .expect("whole head")
            .expect("second request");
        assert_eq!(second.url().path(), "/2");
    });
}

#[test]
fn oversized_and_malformed_heads_have_different_errors() {
    let malformed = read_request_body(b"NONSENSE\r\n\r\n");
    assert!(malformed.is_err_and(|error| error.contains("malformed")));
    let mut head = b"GET / HTTP/1.1\r\nhost: h\r\nx: ".to_vec();
    head.extend(std::iter::repeat_n(b'x', 9000));
    head.extend(b"\r\n\r\n");
    let oversized = read_request_body(head.leak());
    assert!(oversized.is_err_and(|error| error.contains("longer than 8192 bytes")));
}

#[test]
fn request_with_a_truncated_body_is_not_sent_as_complete() {
    async_io::block_on(async {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a free port");
        let address = listener.get_ref().local_addr().expect("listener is bound");
        let upstream = stream::HttpStream::connect(address)
            .await
            .expect("loopback works");
        let (mut accepted, _) = listener.accept().await.expect("loopback works");
        let caller =
            scripted_peer(b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 50\r\n\r\ncut").await;
        let mut received = message::read_request(&caller)
            .await
            .expect("whole head")
            .expect("a request");
        let url = Url::parse("http://h/").expect("constant URL");
        let mut request = Request::new(Method::Post, url);
        message::set_request_body(&mut request, received.take_body());
        assert!(message::write_request(&upstream, request).await.is_err());
        upstream.shutdown();
        let mut sent = String::new();
        accepted
            .read_to_string(&mut sent)
            .await
            .expect("loopback works");
        assert!(sent.contains("content-length: 50"));
        assert!(
            sent.len() < 200,
            "the upstream must get a truncated body: {sent}"
        );
    });
}

#[test]
fn body_without_content_type_gets_none() {
    let url = Url::parse("http://h/").expect("constant URL");
    let mut request = Request::new(Method::Post, url);
    message::set_request_body(&mut request, Body::from_bytes(b"x".to_vec()));
    assert!(request.content_type().is_none());
}
