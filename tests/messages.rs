//! What the HTTP library lets through, met with canned peers on sockets.

use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use godwitloom::{message, stream};
use http_types::{Body, Method, Request, Url};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// A connection to a peer that sends `bytes` and closes.
async fn canned(bytes: &'static [u8]) -> stream::HttpStream {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a free port");
    let address = listener.get_ref().local_addr().expect("bound");
    let mut peer = Async::<TcpStream>::connect(address)
        .await
        .expect("loopback");
    let (accepted, _) = listener.accept().await.expect("loopback");
    peer.write_all(bytes).await.expect("loopback");
    peer.close().await.expect("loopback");
    stream::HttpStream::new(accepted)
}

/// Reads a canned answer; returns its body and whether the connection is clean.
fn read_answer(bytes: &'static [u8]) -> (Result<Vec<u8>, String>, bool) {
    async_io::block_on(async {
        let stream = canned(bytes).await;
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
        assert_eq!(body.is_ok(), ended.load(Ordering::SeqCst), "end action");
        (body, stream.is_reusable())
    })
}

fn read_upload(bytes: &'static [u8]) -> Result<Vec<u8>, String> {
    async_io::block_on(async {
        let stream = canned(bytes).await;
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
fn whole_answer_is_read_and_its_connection_kept() {
    let (body, clean) = read_answer(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole");
    assert_eq!(body.as_deref(), Ok(&b"whole"[..]));
    assert!(clean);
}

#[test]
fn answer_shorter_than_declared_is_an_error() {
    let (body, clean) = read_answer(b"HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\ncut");
    assert!(body.is_err(), "{body:?}");
    assert!(!clean);
}

#[test]
fn cut_chunked_answer_is_an_error() {
    let head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n9\r\ncu";
    let (body, clean) = read_answer(head);
    assert!(body.is_err(), "{body:?}");
    assert!(!clean);
}

#[test]
fn whole_chunked_answer_keeps_its_connection() {
    let head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n";
    let (body, clean) = read_answer(head);
    assert_eq!(body.as_deref(), Ok(&b"whole"[..]));
    assert!(clean);
}

#[test]
fn answer_with_two_lengths_is_refused() {
    let bytes = b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\ncontent-length: 5\r\n\r\nwhole";
    let (body, _) = read_answer(bytes);
    assert!(body.is_err_and(|error| error.contains("several declared lengths")));
}

#[test]
fn answer_ended_by_close_is_refused() {
    let (body, _) = read_answer(b"HTTP/1.1 200 OK\r\n\r\nwho knows");
    assert!(body.is_err_and(|error| error.contains("no declared length")));
}

#[test]
fn interim_answers_are_skipped() {
    let bytes = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole";
    let (body, clean) = read_answer(bytes);
    assert_eq!(body.as_deref(), Ok(&b"whole"[..]));
    assert!(clean);
}

#[test]
fn connection_with_surplus_bytes_is_not_clean() {
    let bytes = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwholeHTTP/1.1 200 OK\r\n";
    let (body, clean) = read_answer(bytes);
    assert_eq!(body.as_deref(), Ok(&b"whole"[..]));
    assert!(!clean);
}

#[test]
fn upload_shorter_than_declared_is_an_error() {
    let upload = read_upload(b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 50\r\n\r\ncut");
    assert!(upload.is_err(), "{upload:?}");
}

#[test]
fn upload_with_two_lengths_is_refused() {
    let bytes =
        b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\ncontent-length: 5\r\n\r\nwhole";
    assert!(read_upload(bytes).is_err_and(|error| error.contains("several declared lengths")));
}

#[test]
fn pipelined_requests_stay_apart() {
    async_io::block_on(async {
        let stream = canned(
            b"POST /1 HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\n\r\noneGET /2 HTTP/1.1\r\nhost: h\r\n\r\n",
        )
        .await;
        let mut first = message::read_request(&stream)
            .await
            .expect("whole")
            .expect("first");
        assert_eq!(first.body_bytes().await.expect("whole"), b"one");
        let second = message::read_request(&stream)
            .await
            .expect("whole")
            .expect("second");
        assert_eq!(second.url().path(), "/2");
    });
}

#[test]
fn oversized_head_is_told_from_a_malformed_one() {
    let malformed = read_upload(b"NONSENSE\r\n\r\n");
    assert!(malformed.is_err_and(|error| error.contains("malformed")));
    let mut head = b"GET / HTTP/1.1\r\nhost: h\r\nx: ".to_vec();
    head.extend(std::iter::repeat_n(b'x', 9000));
    head.extend(b"\r\n\r\n");
    let oversized = read_upload(head.leak());
    assert!(oversized.is_err_and(|error| error.contains("longer than 8192 bytes")));
}

#[test]
fn request_that_cannot_be_sent_whole_breaks_off() {
    async_io::block_on(async {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a free port");
        let address = listener.get_ref().local_addr().expect("bound");
        let upstream = stream::HttpStream::connect(address)
            .await
            .expect("loopback");
        let (mut accepted, _) = listener.accept().await.expect("loopback");
        let caller = canned(b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 50\r\n\r\ncut").await;
        let mut upload = message::read_request(&caller)
            .await
            .expect("head")
            .expect("one");
        let url = Url::parse("http://h/").expect("constant URL");
        let mut request = Request::new(Method::Post, url);
        message::set_request_body(&mut request, upload.take_body());
        assert!(message::write_request(&upstream, request).await.is_err());
        upstream.shutdown();
        let mut sent = String::new();
        accepted.read_to_string(&mut sent).await.expect("loopback");
        assert!(sent.contains("content-length: 50"));
        assert!(sent.len() < 200, "the upstream sees a short body: {sent}");
    });
}

#[test]
fn body_without_type_gets_none() {
    let url = Url::parse("http://h/").expect("constant URL");
    let mut request = Request::new(Method::Post, url);
    message::set_request_body(&mut request, Body::from_bytes(b"x".to_vec()));
    assert!(request.content_type().is_none());
}
