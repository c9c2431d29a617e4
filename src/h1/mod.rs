//! HTTP/1.1 messages on TCP connections, for the request path in [`crate::gateway`].
//!
//! Heads are parsed by `httparse` and kept as the bytes that arrived, so that
//! fields can be forwarded unchanged. Bodies are read by their declared framing,
//! up to a limit. Whatever follows a message stays in the reader's buffer: it is
//! the next message, or shows that the connection cannot be used again.

pub mod body;
pub mod client;
pub mod head;
pub mod reader;
pub mod server;
pub mod socket;

use crate::memory;
use std::io;
use thiserror::Error;

/// Why a message could not be read.
#[derive(Debug, Error)]
pub enum ReadError {
    #[error("peer closed the connection between messages; open another one")]
    Closed,
    #[error("peer closed the connection within a message; open another one")]
    Truncated,
    #[error("message is not valid HTTP/1.1: {0}; correct the sender")]
    Malformed(&'static str),
    #[error("message head is longer than {0} bytes; send fewer or shorter fields")]
    HeadTooLarge(usize),
    #[error("message body is longer than {0} bytes; send a shorter one")]
    BodyTooLarge(usize),
    #[error("{0}; send shorter messages or fewer at a time")]
    NoMemory(#[from] memory::BudgetExceeded),
    #[error("connection failed: {0}; open another one")]
    Io(#[from] io::Error),
}
