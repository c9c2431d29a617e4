//! Reader of messages from one connection.

use crate::h1;
use crate::h1::{body, head, socket};
use crate::memory;
use futures_lite::AsyncRead;
use futures_lite::future;
use std::cell::RefCell;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Poll, ready};
use tokio_util::bytes::{Bytes, BytesMut};

/// Most bytes that one read takes from the kernel.
const READ_BYTES: usize = 16 * 1024;

thread_local! {
    static SCRATCH: RefCell<Vec<u8>> = RefCell::new(vec![0; READ_BYTES]);
}

/// Longest head of a response, in bytes.
const MAX_RESPONSE_HEAD_BYTES: usize = 64 * 1024;

/// Most interim responses before a response; a peer may send them without end.
const MAX_INTERIM_RESPONSES: usize = 16;

/// Longest body that ends with its connection, in bytes.
///
/// Shorter than others, as it may be without end and nothing declares its length.
const MAX_UNFRAMED_BYTES: usize = 4 << 20;

/// Reads without a pause after which other connections get their turn.
const READS_PER_TURN: u32 = 16;

/// Connections of this process so far.
static CONNECTION_COUNT: AtomicU64 = AtomicU64::new(0);

/// Number of a connection, unique in this process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionNumber(u64);

/// Buffered reading side of a connection.
#[derive(Debug)]
pub struct MessageReader {
    number: ConnectionNumber,
    socket: socket::SharedSocket,
    buffer: BytesMut,
    /// Heads of responses that were read, without interim ones.
    responses: u64,
    /// Reads since other connections got their turn.
    reads: u32,
    /// Memory that the present message holds; absent if it is not accounted.
    lease: Option<memory::MemoryLease>,
}

impl MessageReader {
    /// Creates a reader of a connection on which nothing was read yet.
    pub fn new(socket: socket::SharedSocket) -> MessageReader {
        MessageReader {
            number: ConnectionNumber(CONNECTION_COUNT.fetch_add(1, Ordering::Relaxed)),
            socket,
            buffer: BytesMut::new(),
            responses: 0,
            reads: 0,
            lease: None,
        }
    }

    /// Accounts what is read from now on, until the lease is taken.
    pub fn account(&mut self, lease: memory::MemoryLease) {
        self.lease = Some(lease);
    }

    /// Ends the accounting; the lease must be kept for as long as what was read.
    pub fn take_lease(&mut self) -> Option<memory::MemoryLease> {
        self.lease.take()
    }

    /// Accounts the buffer and `decoded` bytes of a message whose length is not known.
    fn cover(&mut self, decoded: usize) -> Result<(), h1::ReadError> {
        match &mut self.lease {
            Some(lease) => Ok(lease.cover(self.buffer.len() + decoded)?),
            None => Ok(()),
        }
    }

    pub fn number(&self) -> ConnectionNumber {
        self.number
    }

    /// Returns whether a response was read on the connection.
    pub fn has_read_response(&self) -> bool {
        self.responses > 0
    }

    pub fn socket(&self) -> &socket::SharedSocket {
        &self.socket
    }

    /// Returns whether bytes were read that belong to no message so far.
    pub fn has_buffered_bytes(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Reads more bytes; returns 0 if the peer closed.
    ///
    /// Bytes pass through one scratch buffer per thread, so that idle connections
    /// hold no memory.
    async fn fill(&mut self) -> Result<usize, h1::ReadError> {
        self.reads += 1;
        if self.reads >= READS_PER_TURN {
            self.reads = 0;
            future::yield_now().await;
        }
        let count = future::poll_fn(|cx| {
            SCRATCH.with_borrow_mut(|scratch| {
                let mut socket = &*self.socket;
                let read = ready!(Pin::new(&mut socket).poll_read(cx, scratch));
                if let Ok(count) = read {
                    self.buffer.extend_from_slice(&scratch[..count]);
                }
                Poll::Ready(read)
            })
        });
        Ok(count.await?)
    }

    /// Waits for the first byte of the next message.
    pub async fn wait(&mut self) -> Result<(), h1::ReadError> {
        if self.buffer.is_empty() && self.fill().await? == 0 {
            return Err(h1::ReadError::Closed);
        }
        Ok(())
    }

    /// Reads until the peer closes; stops reading once `limit` bytes are kept.
    pub async fn await_close(&mut self, limit: usize) {
        while self.buffer.len() < limit {
            match self.fill().await {
                Ok(count) if count > 0 => {}
                _ => return,
            }
        }
        future::pending().await
    }

    /// Reads the head of a request of at most `limit` bytes.
    pub async fn request_head(&mut self, limit: usize) -> Result<head::RequestHead, h1::ReadError> {
        loop {
            if has_head(&self.buffer) {
                let raw = self.take_head();
                if raw.len() > limit {
                    return Err(h1::ReadError::HeadTooLarge(limit));
                }
                let parsed = head::RequestHead::parse(&raw)?;
                let (head, _) = parsed.ok_or(h1::ReadError::Malformed("invalid request head"))?;
                return Ok(head);
            }
            if self.buffer.len() > limit {
                return Err(h1::ReadError::HeadTooLarge(limit));
            }
            self.fill_or_fail().await?;
        }
    }

    /// Reads the head of a response to `method`, skipping interim (1xx) responses.
    pub async fn response_head(
        &mut self,
        method: &str,
    ) -> Result<head::ResponseHead, h1::ReadError> {
        let mut interim = 0;
        loop {
            if has_head(&self.buffer) {
                let raw = self.take_head();
                let parsed = head::ResponseHead::parse(&raw, method)?;
                let (head, _) = parsed.ok_or(h1::ReadError::Malformed("invalid response head"))?;
                if head.status >= 200 {
                    self.responses += 1;
                    return Ok(head);
                }
                interim += 1;
                if interim > MAX_INTERIM_RESPONSES {
                    return Err(h1::ReadError::Malformed("too many interim responses"));
                }
                continue;
            }
            if self.buffer.len() > MAX_RESPONSE_HEAD_BYTES {
                return Err(h1::ReadError::HeadTooLarge(MAX_RESPONSE_HEAD_BYTES));
            }
            self.cover(0)?;
            self.fill_or_fail().await?;
        }
    }

    /// Reads a whole body of at most `limit` bytes.
    pub async fn body(
        &mut self,
        framing: body::BodyFraming,
        limit: usize,
    ) -> Result<Bytes, h1::ReadError> {
        match framing {
            body::BodyFraming::Length(length) => self.sized_body(length, limit).await,
            body::BodyFraming::Chunked => {
                let mut decoder = body::ChunkDecoder::new(limit);
                loop {
                    if let Some(body) = decoder.decode(&mut self.buffer)? {
                        return Ok(body);
                    }
                    self.cover(decoder.decoded_bytes())?;
                    self.fill_or_fail().await?;
                }
            }
            body::BodyFraming::UntilClose => {
                let limit = limit.min(MAX_UNFRAMED_BYTES);
                loop {
                    if self.buffer.len() > limit {
                        return Err(h1::ReadError::BodyTooLarge(limit));
                    }
                    self.cover(0)?;
                    if self.fill().await? == 0 {
                        return Ok(self.buffer.split().freeze());
                    }
                }
            }
        }
    }

    async fn sized_body(&mut self, length: u64, limit: usize) -> Result<Bytes, h1::ReadError> {
        if length > limit as u64 {
            return Err(h1::ReadError::BodyTooLarge(limit));
        }
        let length = length as usize;
        if let Some(lease) = &mut self.lease {
            lease.reserve(length).await;
        }
        self.buffer
            .reserve(length.saturating_sub(self.buffer.len()));
        while self.buffer.len() < length {
            self.fill_or_fail().await?;
        }
        Ok(self.buffer.split_to(length).freeze())
    }

    /// Reads more bytes of a message; fails if the peer closed.
    async fn fill_or_fail(&mut self) -> Result<(), h1::ReadError> {
        let partial = !self.buffer.is_empty();
        match self.fill().await? {
            0 if partial => Err(h1::ReadError::Truncated),
            0 => Err(h1::ReadError::Closed),
            _ => Ok(()),
        }
    }

    fn take_head(&mut self) -> Bytes {
        let length = head_length(&self.buffer).unwrap_or(self.buffer.len());
        self.buffer.split_to(length).freeze()
    }
}

fn has_head(buffer: &[u8]) -> bool {
    head_length(buffer).is_some()
}

/// Returns the length of a complete head at the start of `buffer`.
///
/// Empty lines before the head count as part of it, as the parser skips them.
fn head_length(buffer: &[u8]) -> Option<usize> {
    let start = buffer
        .iter()
        .position(|byte| !matches!(byte, b'\r' | b'\n'))?;
    let mut line_start = start;
    for (index, byte) in buffer.iter().enumerate().skip(start) {
        if *byte != b'\n' {
            continue;
        }
        let line = &buffer[line_start..index];
        if line.is_empty() || line == b"\r" {
            return Some(index + 1);
        }
        line_start = index + 1;
    }
    None
}
