//! Message bodies that report their truncation as an error.

use crate::stream;
use futures_lite::io::{AsyncRead, BufReader};
use http_types::Body;
use std::fmt;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

/// Size of the read buffer of one streamed body, in bytes.
const BODY_BUFFER_BYTES: usize = 16 * 1024;

type EndCallback = Box<dyn FnOnce() + Send + Sync>;

/// Body of a message on an [`stream::HttpStream`].
///
/// Reading fails with [`io::ErrorKind::UnexpectedEof`] if the connection ends
/// before the declared length. The `on_end` callback runs once the whole body
/// has been read.
pub struct WholeBody {
    body: Body,
    stream: stream::HttpStream,
    /// Declared bytes not yet read; `None` for a chunked body.
    remaining: Option<u64>,
    on_end: Option<EndCallback>,
}

impl WholeBody {
    /// Wraps the body that `async-h1` reads from `stream`.
    pub fn new(
        body: Body,
        stream: stream::HttpStream,
        on_end: impl FnOnce() + Send + Sync + 'static,
    ) -> WholeBody {
        let remaining = body.len().map(|length| length as u64);
        let mut whole = WholeBody {
            body,
            stream,
            remaining,
            on_end: Some(Box::new(on_end)),
        };
        if remaining == Some(0) {
            whole.run_on_end();
        }
        whole
    }

    /// Converts the body into one that `async-h1` can send.
    pub fn into_body(self) -> Body {
        let length = self.remaining.map(|remaining| remaining as usize);
        let reader = BufReader::with_capacity(BODY_BUFFER_BYTES, self);
        Body::from_reader(reader, length)
    }

    fn run_on_end(&mut self) {
        if let Some(callback) = self.on_end.take() {
            callback();
        }
    }

    /// Counts the bytes of one read; a read of 0 bytes is the end of the connection or body.
    fn record_read(&mut self, count: usize) -> io::Result<()> {
        match (&mut self.remaining, count) {
            (None, 0) => self.run_on_end(),
            (None, _) | (Some(0), 0) => {}
            (Some(_), 0) => {
                let message = "connection ended before the declared length of the body";
                return Err(io::Error::new(io::ErrorKind::UnexpectedEof, message));
            }
            (Some(remaining), count) => {
                *remaining = remaining.saturating_sub(count as u64);
                if *remaining == 0 {
                    self.run_on_end();
                }
            }
        }
        Ok(())
    }
}

impl fmt::Debug for WholeBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut debug = f.debug_struct("WholeBody");
        debug
            .field("stream", &self.stream)
            .field("left", &self.remaining);
        debug.finish_non_exhaustive()
    }
}

impl AsyncRead for WholeBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.body).poll_read(cx, buf))?;
        if !buf.is_empty() {
            self.record_read(count)?;
        }
        Poll::Ready(Ok(count))
    }
}
