//! Body framing and the decoder of the chunked transfer coding.

use crate::h1;
use tokio_util::bytes::{Buf, Bytes, BytesMut};

/// Longest line of a chunk size or trailer field, in bytes.
const MAX_LINE_BYTES: usize = 4096;

/// Longest trailer section, in bytes; a peer may send fields without end.
const MAX_TRAILER_BYTES: usize = 16 * 1024;

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyFraming {
    Chunked,
    Length(u64),
    /// The body ends where the peer closes the connection without a reset.
    UntilClose,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ChunkState {
    Size,
    /// Bytes of the chunk that are still missing.
    Data(u64),
    DataEnd,
    Trailer,
}

/// Decoder of a chunked body.
#[derive(Debug)]
pub struct ChunkDecoder {
    state: ChunkState,
    body: BytesMut,
    limit: usize,
    /// Bytes of the trailer fields so far.
    trailer_bytes: usize,
}

impl ChunkDecoder {
    /// Creates a decoder of a body of at most `limit` bytes.
    pub fn new(limit: usize) -> ChunkDecoder {
        ChunkDecoder {
            state: ChunkState::Size,
            body: BytesMut::new(),
            limit,
            trailer_bytes: 0,
        }
    }

    /// Returns how many bytes of the body were decoded.
    pub fn decoded_bytes(&self) -> usize {
        self.body.len()
    }

    /// Consumes bytes of the body; returns the whole body once its end was decoded.
    pub fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Bytes>, h1::ReadError> {
        loop {
            match self.state {
                ChunkState::Size => {
                    let Some(size) = take_size(buffer)? else {
                        return Ok(None);
                    };
                    let total = size.saturating_add(self.body.len() as u64);
                    if total > self.limit as u64 {
                        return Err(h1::ReadError::BodyTooLarge(self.limit));
                    }
                    self.state = match size {
                        0 => ChunkState::Trailer,
                        size => ChunkState::Data(size),
                    };
                }
                ChunkState::Data(left) => {
                    let count = buffer.len().min(left as usize);
                    if count == 0 {
                        return Ok(None);
                    }
                    self.body.extend_from_slice(&buffer[..count]);
                    buffer.advance(count);
                    self.state = match left - count as u64 {
                        0 => ChunkState::DataEnd,
                        left => ChunkState::Data(left),
                    };
                }
                ChunkState::DataEnd => {
                    if buffer.len() < 2 {
                        return Ok(None);
                    }
                    if &buffer[..2] != b"\r\n" {
                        return Err(h1::ReadError::Malformed(
                            "chunk is longer than its declared size",
                        ));
                    }
                    buffer.advance(2);
                    self.state = ChunkState::Size;
                }
                ChunkState::Trailer => match take_line(buffer)? {
                    None => return Ok(None),
                    Some(0) => return Ok(Some(self.body.split().freeze())),
                    Some(length) => {
                        self.trailer_bytes += length;
                        if self.trailer_bytes > MAX_TRAILER_BYTES {
                            return Err(h1::ReadError::Malformed("trailers are too long"));
                        }
                    }
                },
            }
        }
    }
}

/// Consumes a chunk size line; returns the size, or `None` if the line is incomplete.
fn take_size(buffer: &mut BytesMut) -> Result<Option<u64>, h1::ReadError> {
    match httparse::parse_chunk_size(buffer) {
        Ok(httparse::Status::Complete((length, size))) => {
            buffer.advance(length);
            Ok(Some(size))
        }
        Ok(httparse::Status::Partial) if buffer.len() > MAX_LINE_BYTES => {
            Err(h1::ReadError::Malformed("chunk size line is too long"))
        }
        Ok(httparse::Status::Partial) => Ok(None),
        Err(_) => Err(h1::ReadError::Malformed("invalid chunk size")),
    }
}

/// Drops one line; returns its length without the line end, or `None` if it is incomplete.
fn take_line(buffer: &mut BytesMut) -> Result<Option<usize>, h1::ReadError> {
    let Some(end) = buffer.iter().position(|byte| *byte == b'\n') else {
        return match buffer.len() > MAX_LINE_BYTES {
            true => Err(h1::ReadError::Malformed("trailer field is too long")),
            false => Ok(None),
        };
    };
    let line = &buffer[..end];
    let length = line.strip_suffix(b"\r").unwrap_or(line).len();
    buffer.advance(end + 1);
    Ok(Some(length))
}
