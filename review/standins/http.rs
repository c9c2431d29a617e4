//! HTTP/1.1 messages on blocking connections.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request or status line.
    pub start: String,
    /// Header fields, names in lower case.
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(field, _)| field == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let code = self.start.split(' ').nth(1).unwrap_or("");
        code.parse().unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }
}

/// A connection with the bytes that were read ahead.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection { stream, buffer: Vec::new() }
    }

    pub fn open(address: SocketAddr) -> std::io::Result<Connection> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        Ok(Connection::new(stream))
    }

    fn fill(&mut self, until: Instant) -> Result<(), String> {
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err("no answer".to_owned());
            }
            let _ = self.stream.set_read_timeout(Some(left.max(Duration::from_millis(1))));
            let mut bytes = [0; 16384];
            match self.stream.read(&mut bytes) {
                Ok(0) => return Err("closed".to_owned()),
                Ok(count) => {
                    self.buffer.extend_from_slice(&bytes[..count]);
                    return Ok(());
                }
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(format!("broken: {error}")),
            }
        }
    }

    /// Reads one message, which must be complete at `until`.
    pub fn read(&mut self, until: Instant) -> Result<Message, String> {
        let end = loop {
            let found = self.buffer.windows(4).position(|window| window == b"\r\n\r\n");
            match found {
                Some(end) => break end,
                None => self.fill(until)?,
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let start = lines.next().unwrap_or("").to_owned();
        let fields = lines.filter_map(|line| line.split_once(':'));
        let fields: Vec<_> = fields
            .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        let mut message = Message { start, fields, body: Vec::new() };
        let length = message.field("content-length").and_then(|text| text.parse().ok());
        let length: usize = length.unwrap_or(0);
        while self.buffer.len() < length {
            self.fill(until)?;
        }
        message.body = self.buffer.drain(..length).collect();
        Ok(message)
    }

    pub fn write(&mut self, bytes: &[u8]) -> Result<(), String> {
        self.stream.write_all(bytes).map_err(|error| format!("broken: {error}"))
    }

    /// Returns whether the peer has closed the connection.
    pub fn is_closed(&self) -> bool {
        if self.stream.set_nonblocking(true).is_err() {
            return true;
        }
        let peeked = self.stream.peek(&mut [0]);
        let _ = self.stream.set_nonblocking(false);
        match peeked {
            Ok(0) => true,
            Ok(_) => false,
            Err(error) => error.kind() != ErrorKind::WouldBlock,
        }
    }
}

/// Encodes a message with a body of stated length.
pub fn encode(start: &str, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{start}\r\n");
    for (name, value) in fields {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
