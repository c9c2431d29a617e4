//! Tests of the fake callers, against a server that the test scripts.

use godwitloom_standins::caller;
use http_types::Method;
use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

/// Time between a response that announces the close and the close itself; longer than
/// the callers' pause.
const CLOSE_DELAY: Duration = Duration::from_millis(40);

/// Reads one request without a body; returns the value of its `x-request` field.
fn read_request(reader: &mut impl BufRead) -> Option<String> {
    let mut id = None;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim().to_ascii_lowercase();
        if line.is_empty() {
            return id;
        }
        if let Some(value) = line.strip_prefix("x-request:") {
            id = Some(value.trim().to_owned());
        }
    }
}

/// Answers one request, announces the close, and closes after [`CLOSE_DELAY`].
fn serve_once(stream: TcpStream, unread: &AtomicUsize) {
    let mut reader = BufReader::new(stream.try_clone().expect("socket can be cloned"));
    let Some(id) = read_request(&mut reader) else {
        return;
    };
    let body = format!("{{\"request\":\"{id}\"}}");
    let head = format!(
        "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    let _ = (&stream).write_all((head + &body).as_bytes());
    thread::sleep(CLOSE_DELAY);
    let _ = stream.set_nonblocking(true);
    if stream.peek(&mut [0]).is_ok_and(|count| count > 0) {
        unread.fetch_add(1, Ordering::Relaxed);
    }
}

/// A stopping instance announces the close in each response. What is sent behind that on
/// the connection is not read, so no caller may send it.
#[test]
fn callers_use_no_connection_whose_close_was_announced() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback port is available");
    let address = listener.local_addr().expect("listener has an address");
    let unread = Arc::new(AtomicUsize::new(0));
    let counter = unread.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let counter = counter.clone();
            thread::spawn(move || serve_once(stream, &counter));
        }
    });
    let mut load = caller::LoadOptions::unkeyed("dryline", "tagtrack").with_target(address);
    load.method = Method::Post;
    load.pause = Duration::from_millis(2);
    load.duration = Duration::from_millis(400);
    let report = caller::run(load);
    assert!(report.requests > 3, "{} requests", report.requests);
    assert_eq!((report.failed, unread.load(Ordering::Relaxed)), (0, 0));
}
