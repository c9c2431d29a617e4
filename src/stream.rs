//! TCP connections that keep successive HTTP messages apart.
//!
//! The library `async-h1` reads beyond the end of a message and does not check
//! that a body has its declared length. An [`HttpStream`] under it therefore
//! returns bytes of the current message only, counts the bytes of the body still
//! to come, and tells whether the connection may carry another message.

use async_io::Async;
use futures_lite::io::{AsyncRead, AsyncWrite};
use std::io;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll, ready};

/// Longest message head that `async-h1` accepts, in bytes.
pub const MAX_HEAD_BYTES: usize = 8 * 1024;

/// Last chunk and empty trailer section, which end a chunked body.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// TCP connection that carries HTTP messages; clones share it.
#[derive(Clone, Debug)]
pub struct HttpStream {
    inner: Arc<StreamInner>,
}

#[derive(Debug)]
struct StreamInner {
    io: Async<TcpStream>,
    state: Mutex<StreamState>,
}

#[derive(Debug, Default)]
struct StreamState {
    /// Bytes received from the peer that `async-h1` has not read yet.
    pending: Vec<u8>,
    /// Whether the head of the current message is complete.
    in_body: bool,
    /// Whether the current line of the head is empty so far; `false` throughout the first line,
    /// which does not end the head even if it is empty.
    line_is_empty: bool,
    /// Bytes of the current message's head that were read.
    head_bytes: usize,
    /// Last bytes that were read, to recognize [`LAST_CHUNK`].
    last_bytes: Vec<u8>,
    /// Bytes of the body still to come; `None` for a chunked body.
    remaining: Option<u64>,
    /// Bytes written since the message began.
    written: u64,
}

impl HttpStream {
    /// Wraps a connection and sets `TCP_NODELAY`.
    pub fn new(io: Async<TcpStream>) -> HttpStream {
        let _ = io.get_ref().set_nodelay(true);
        HttpStream {
            inner: Arc::new(StreamInner {
                io,
                state: Mutex::default(),
            }),
        }
    }

    pub async fn connect(address: SocketAddr) -> io::Result<HttpStream> {
        Ok(HttpStream::new(Async::<TcpStream>::connect(address).await?))
    }

    fn state(&self) -> MutexGuard<'_, StreamState> {
        self.inner.state.lock().expect("no panic while locked")
    }

    /// Prepares to read or write the head of the next message.
    pub fn begin_message(&self) {
        let mut state = self.state();
        state.in_body = false;
        state.line_is_empty = false;
        state.head_bytes = 0;
        state.last_bytes.clear();
        state.remaining = None;
        state.written = 0;
    }

    /// Sets the declared length of the current message's body, in bytes; `None` if chunked.
    pub fn set_body_length(&self, length: Option<u64>) {
        self.state().remaining = length;
    }

    /// Returns whether the connection may carry another message.
    ///
    /// That is so if the current message was read to its end and nothing follows it.
    pub fn is_reusable(&self) -> bool {
        let state = self.state();
        state.is_complete() && state.pending.is_empty()
    }

    /// Returns whether the current message was read to its end.
    ///
    /// Unlike [`HttpStream::is_reusable`], it allows bytes of the next message to follow.
    pub fn is_message_complete(&self) -> bool {
        self.state().is_complete()
    }

    /// Returns the number of head bytes read of the current message.
    pub fn head_bytes(&self) -> usize {
        self.state().head_bytes
    }

    /// Returns the number of bytes written since the message began.
    pub fn bytes_written(&self) -> u64 {
        self.state().written
    }

    /// Returns whether the connection is open and no unexpected bytes have arrived.
    pub fn is_idle(&self) -> bool {
        if !self.state().pending.is_empty() {
            return false;
        }
        let peeked = self.inner.io.get_ref().peek(&mut [0]);
        peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Waits for bytes of the next message; `false` if the connection was closed or failed.
    pub async fn wait_message(&self) -> bool {
        if !self.state().pending.is_empty() {
            return true;
        }
        let mut first = [0];
        matches!(self.inner.io.peek(&mut first).await, Ok(count) if count > 0)
    }

    /// Waits until the connection is closed or fails; never completes if bytes arrive first.
    pub async fn wait_close(&self) {
        let mut first = [0];
        if !matches!(self.inner.io.peek(&mut first).await, Ok(0) | Err(_)) {
            futures_lite::future::pending::<()>().await;
        }
    }

    /// Closes both directions.
    pub fn shutdown(&self) {
        let _ = self.inner.io.get_ref().shutdown(Shutdown::Both);
    }
}

impl StreamState {
    fn is_complete(&self) -> bool {
        match self.remaining {
            Some(remaining) => remaining == 0,
            None => self.last_bytes.ends_with(LAST_CHUNK),
        }
    }

    /// Copies pending bytes, at most to the end of the message's current part: head or body.
    fn read_pending(&mut self, buf: &mut [u8]) -> usize {
        let limit = match (self.in_body, self.remaining) {
            (true, Some(remaining)) => usize::try_from(remaining).unwrap_or(usize::MAX),
            _ => usize::MAX,
        };
        let count = self.pending.len().min(buf.len()).min(limit);
        let count = match self.in_body {
            true => count,
            false => self.scan_head(count),
        };
        buf[..count].copy_from_slice(&self.pending[..count]);
        self.pending.drain(..count);
        self.record_read(&buf[..count]);
        count
    }

    /// Scans `count` pending bytes for the end of the head; returns how many belong to the head.
    fn scan_head(&mut self, count: usize) -> usize {
        for index in 0..count {
            match self.pending[index] {
                b'\n' if self.line_is_empty => {
                    self.in_body = true;
                    self.head_bytes += index + 1;
                    return index + 1;
                }
                b'\n' => self.line_is_empty = true,
                b'\r' => {}
                _ => self.line_is_empty = false,
            }
        }
        self.head_bytes += count;
        count
    }

    fn record_read(&mut self, bytes: &[u8]) {
        if let (true, Some(remaining)) = (self.in_body, &mut self.remaining) {
            *remaining = remaining.saturating_sub(bytes.len() as u64);
        }
        let length = LAST_CHUNK.len();
        let start = bytes.len().saturating_sub(length);
        self.last_bytes.extend_from_slice(&bytes[start..]);
        let excess = self.last_bytes.len().saturating_sub(length);
        self.last_bytes.drain(..excess);
    }
}

impl AsyncRead for HttpStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let mut state = self.state();
        if state.in_body && state.remaining == Some(0) {
            return Poll::Ready(Ok(0));
        }
        if state.pending.is_empty() {
            let count = ready!(Pin::new(&mut &self.inner.io).poll_read(cx, buf))?;
            state.pending.extend_from_slice(&buf[..count]);
        }
        Poll::Ready(Ok(state.read_pending(buf)))
    }
}

impl AsyncWrite for HttpStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut &self.inner.io).poll_write(cx, buf))?;
        self.state().written += count as u64;
        Poll::Ready(Ok(count))
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &self.inner.io).poll_flush(cx)
    }

    fn poll_close(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &self.inner.io).poll_close(cx)
    }
}
