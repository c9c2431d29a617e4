//! HTTP/1.1 messages on raw connections, for the routed request path.
//!
//! Heads are parsed by `httparse` and kept as the bytes that arrived, so that
//! fields can be forwarded unchanged. Bodies are read by their declared framing
//! and counted; whatever follows a message stays in the reader's buffer, where
//! it can be recognised as the next message or as surplus.

pub mod body;
pub mod client;
pub mod head;
pub mod reader;
pub mod server;
pub mod socket;

use std::io;
use thiserror::Error;

/// Why a message could not be read.
#[derive(Debug, Error)]
pub enum ReadError {
    #[error("peer closed the connection between messages; open another one")]
    Closed,
    #[error("peer closed the connection within a message; open another one")]
    Cut,
    #[error("message is not HTTP/1.1: {0}; correct the sender")]
    Malformed(&'static str),
    #[error("message head is longer than {0} bytes; send fewer or shorter fields")]
    HeadTooLarge(usize),
    #[error("message body is longer than {0} bytes; send a shorter one")]
    BodyTooLarge(usize),
    #[error("connection failed: {0}; open another one")]
    Io(#[from] io::Error),
}
