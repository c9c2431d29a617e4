//! Minimal server for an instance's readiness and metrics pages.

use crate::h1::{reader, socket};
use crate::timer;
use async_io::Async;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

/// Longest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;

/// Time for which a connection may stay idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Response with a page.
#[derive(Clone, Debug)]
pub struct PageResponse {
    pub status: u16,
    pub content_type: &'static str,
    pub body: Vec<u8>,
}

/// Returns the page of a path; the method of the request is not checked.
pub type PageHandler = Rc<dyn Fn(&str) -> PageResponse>;

/// Serves pages on a listening socket; `spawn` runs a task for each connection.
pub async fn serve(
    listener: Async<TcpListener>,
    handler: PageHandler,
    spawn: impl Fn(std::pin::Pin<Box<dyn Future<Output = ()>>>),
) {
    loop {
        let Ok((io, _)) = listener.accept().await else {
            async_io::Timer::after(Duration::from_millis(20)).await;
            continue;
        };
        if let Ok(socket) = socket::configure(io) {
            spawn(Box::pin(serve_connection(socket, handler.clone())));
        }
    }
}

async fn serve_connection(socket: socket::SharedSocket, handler: PageHandler) {
    let mut reader = reader::MessageReader::new(socket.clone());
    loop {
        let head = timer::within(IDLE_TIMEOUT, reader.request_head(MAX_HEAD_BYTES)).await;
        let Some(Ok(head)) = head else { return };
        let page = handler(head.path());
        let mut bytes = format!(
            "HTTP/1.1 {} Page\r\nContent-Type: {}\r\nContent-Length: {}\r\n\r\n",
            page.status,
            page.content_type,
            page.body.len()
        )
        .into_bytes();
        bytes.extend_from_slice(&page.body);
        let written = socket::write_all(&socket, &bytes).await;
        if written.is_err() || !head.keep_alive {
            return;
        }
    }
}
