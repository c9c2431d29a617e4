//! A connection that keeps messages apart.
//!
//! The HTTP library reads ahead and does not compare a body with its declared
//! length. An [`HttpStream`] under it hands out the head and the body of one
//! message and nothing beyond, counts what is missing, and tells whether the
//! connection may carry another message.

use async_io::Async;
use futures_lite::io::{AsyncRead, AsyncWrite};
use std::io;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll, ready};

/// Longest message head that the HTTP library takes, in bytes.
pub const MAX_HEAD_BYTES: usize = 8 * 1024;

/// End of the last chunk of a chunked body.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// Connection that carries HTTP messages.
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
    /// Bytes read from the connection and not handed out yet.
    pending: Vec<u8>,
    /// Whether the head of the current message is complete.
    in_body: bool,
    /// Whether the current line of the head is empty so far.
    blank_line: bool,
    head_bytes: usize,
    /// Last bytes handed out.
    tail: Vec<u8>,
    /// Bytes of the body still to come; `None` if its length is not declared.
    remaining: Option<u64>,
    written: u64,
}

impl HttpStream {
    /// Wraps a connection.
    pub fn new(io: Async<TcpStream>) -> HttpStream {
        let _ = io.get_ref().set_nodelay(true);
        HttpStream {
            inner: Arc::new(StreamInner {
                io,
                state: Mutex::default(),
            }),
        }
    }

    /// Opens a connection.
    pub async fn connect(address: SocketAddr) -> io::Result<HttpStream> {
        Ok(HttpStream::new(Async::<TcpStream>::connect(address).await?))
    }

    fn state(&self) -> MutexGuard<'_, StreamState> {
        self.inner.state.lock().expect("no panic while locked")
    }

    /// Expects the head of the next message.
    pub fn begin_message(&self) {
        let mut state = self.state();
        state.in_body = false;
        state.blank_line = false;
        state.head_bytes = 0;
        state.tail.clear();
        state.remaining = None;
        state.written = 0;
    }

    /// Declares the length of the current message's body, in bytes.
    pub fn set_body_length(&self, length: Option<u64>) {
        self.state().remaining = length;
    }

    /// Returns whether the current message ended where it should.
    pub fn is_reusable(&self) -> bool {
        let state = self.state();
        state.ended() && state.pending.is_empty()
    }

    /// Returns whether the current message was read to its end.
    ///
    /// Unlike [`HttpStream::is_reusable`] it allows bytes of a next message.
    pub fn is_message_complete(&self) -> bool {
        self.state().ended()
    }

    /// Returns the number of head bytes read of the current message.
    pub fn head_bytes(&self) -> usize {
        self.state().head_bytes
    }

    /// Returns the number of bytes written since the message began.
    pub fn bytes_written(&self) -> u64 {
        self.state().written
    }

    /// Returns whether the peer neither closed nor sent anything unasked.
    pub fn is_idle(&self) -> bool {
        if !self.state().pending.is_empty() {
            return false;
        }
        let peeked = self.inner.io.get_ref().peek(&mut [0]);
        peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Waits for bytes of the next message; `false` if the peer closed.
    pub async fn wait_message(&self) -> bool {
        if !self.state().pending.is_empty() {
            return true;
        }
        let mut first = [0];
        matches!(self.inner.io.peek(&mut first).await, Ok(count) if count > 0)
    }

    /// Waits until the peer closes the connection.
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
    fn ended(&self) -> bool {
        match self.remaining {
            Some(remaining) => remaining == 0,
            None => self.tail.ends_with(LAST_CHUNK),
        }
    }

    /// Hands out at most what belongs to the current part of the message.
    fn take(&mut self, buf: &mut [u8]) -> usize {
        let limit = match (self.in_body, self.remaining) {
            (true, Some(remaining)) => usize::try_from(remaining).unwrap_or(usize::MAX),
            _ => usize::MAX,
        };
        let count = self.pending.len().min(buf.len()).min(limit);
        let count = match self.in_body {
            true => count,
            false => self.head_part(count),
        };
        buf[..count].copy_from_slice(&self.pending[..count]);
        self.pending.drain(..count);
        self.note(&buf[..count]);
        count
    }

    /// Returns how many of the first `count` pending bytes belong to the head.
    fn head_part(&mut self, count: usize) -> usize {
        for index in 0..count {
            match self.pending[index] {
                b'\n' if self.blank_line => {
                    self.in_body = true;
                    self.head_bytes += index + 1;
                    return index + 1;
                }
                b'\n' => self.blank_line = true,
                b'\r' => {}
                _ => self.blank_line = false,
            }
        }
        self.head_bytes += count;
        count
    }

    fn note(&mut self, bytes: &[u8]) {
        if let (true, Some(remaining)) = (self.in_body, &mut self.remaining) {
            *remaining = remaining.saturating_sub(bytes.len() as u64);
        }
        let keep = LAST_CHUNK.len();
        let start = bytes.len().saturating_sub(keep);
        self.tail.extend_from_slice(&bytes[start..]);
        let excess = self.tail.len().saturating_sub(keep);
        self.tail.drain(..excess);
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
        Poll::Ready(Ok(state.take(buf)))
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
