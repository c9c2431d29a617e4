//! Message heads.

use crate::h1;
use crate::h1::body;
use smallvec::SmallVec;
use std::str;
use tokio_util::bytes::Bytes;

/// Most header fields in one head.
const MAX_FIELDS: usize = 64;

/// Fields that concern one connection only and are never forwarded.
const HOP_FIELDS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Position of one field in the bytes of its head.
#[derive(Clone, Copy, Debug)]
struct FieldSpan {
    name: (u32, u32),
    value: (u32, u32),
}

/// Header fields of one message, as they arrived.
#[derive(Clone, Debug)]
pub struct FieldList {
    raw: Bytes,
    spans: SmallVec<[FieldSpan; 16]>,
}

impl FieldList {
    fn new(raw: Bytes, headers: &[httparse::Header<'_>]) -> FieldList {
        let base = raw.as_ptr() as usize;
        let span = |part: &[u8]| {
            let start = part.as_ptr() as usize - base;
            (start as u32, (start + part.len()) as u32)
        };
        let spans = headers
            .iter()
            .map(|header| FieldSpan {
                name: span(header.name.as_bytes()),
                value: span(header.value),
            })
            .collect();
        FieldList { raw, spans }
    }

    fn slice(&self, (start, end): (u32, u32)) -> &[u8] {
        &self.raw[start as usize..end as usize]
    }

    /// Returns all fields in order.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.spans.iter().map(|span| {
            let name = str::from_utf8(self.slice(span.name)).unwrap_or_default();
            (name, self.slice(span.value))
        })
    }

    /// Returns the values of every field called `name`.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> + 'a {
        let named = move |field: &(&str, &[u8])| field.0.eq_ignore_ascii_case(name);
        self.iter().filter(named).map(|(_, value)| value)
    }

    /// Returns the value of the first field called `name`, if it is text.
    pub fn get<'a>(&'a self, name: &'a str) -> Option<&'a str> {
        let value = self.all(name).next()?;
        str::from_utf8(value).ok().map(str::trim)
    }

    /// Returns whether a comma-separated field holds `token`.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        let holds = |value: &[u8]| {
            let text = str::from_utf8(value).unwrap_or_default();
            text.split(',')
                .any(|part| part.trim().eq_ignore_ascii_case(token))
        };
        self.all(name).any(holds)
    }

    /// Returns whether the field named `name` concerns only this connection.
    pub fn is_hop(&self, name: &str) -> bool {
        HOP_FIELDS.iter().any(|hop| name.eq_ignore_ascii_case(hop))
            || self.has_token("connection", name)
    }

    /// Returns the body length that the fields declare.
    fn content_length(&self) -> Result<Option<u64>, h1::ReadError> {
        let mut length = None;
        for value in self.all("content-length") {
            let digits = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
            let text = str::from_utf8(value).unwrap_or_default();
            let parsed = text.parse::<u64>().ok().filter(|_| digits);
            let parsed = parsed.ok_or(h1::ReadError::Malformed("bad content-length"))?;
            if length.is_some_and(|known| known != parsed) {
                return Err(h1::ReadError::Malformed("two content-lengths"));
            }
            length = Some(parsed);
        }
        Ok(length)
    }

    /// Returns whether the body is chunked.
    fn is_chunked(&self) -> Result<bool, h1::ReadError> {
        let mut codings = self.all("transfer-encoding");
        match (codings.next(), codings.next()) {
            (None, _) => Ok(false),
            (Some(value), None) if value.eq_ignore_ascii_case(b"chunked") => Ok(true),
            _ => Err(h1::ReadError::Malformed("unsupported transfer-encoding")),
        }
    }
}

/// Head of a request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    pub method: String,
    /// Path and query as sent.
    pub target: String,
    pub fields: FieldList,
    pub framing: body::BodyFraming,
    /// Whether the caller allows another request on the connection.
    pub keep_alive: bool,
}

impl RequestHead {
    /// Parses a head; `None` if `raw` holds only a part of it.
    pub fn parse(raw: &Bytes) -> Result<Option<(RequestHead, usize)>, h1::ReadError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut request = httparse::Request::new(&mut headers);
        let length = match request.parse(raw) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(httparse::Error::TooManyHeaders) => {
                return Err(h1::ReadError::HeadTooLarge(raw.len()));
            }
            Err(_) => return Err(h1::ReadError::Malformed("bad request head")),
        };
        let fields = FieldList::new(raw.clone(), request.headers);
        let old_version = request.version == Some(0);
        let head = RequestHead {
            method: request.method.unwrap_or_default().to_owned(),
            target: request.path.unwrap_or_default().to_owned(),
            framing: RequestHead::framing(&fields, old_version)?,
            keep_alive: !old_version && !fields.has_token("connection", "close"),
            fields,
        };
        if !head.target.starts_with('/') {
            return Err(h1::ReadError::Malformed("target is not a path"));
        }
        if head.fields.all("host").count() != 1 {
            return Err(h1::ReadError::Malformed("not exactly one host"));
        }
        Ok(Some((head, length)))
    }

    fn framing(fields: &FieldList, old_version: bool) -> Result<body::BodyFraming, h1::ReadError> {
        let length = fields.content_length()?;
        match (fields.is_chunked()?, length) {
            (true, Some(_)) => Err(h1::ReadError::Malformed("length and chunks")),
            (true, None) if old_version => Err(h1::ReadError::Malformed("chunks in HTTP/1.0")),
            (true, None) => Ok(body::BodyFraming::Chunked),
            (false, length) => Ok(body::BodyFraming::Length(length.unwrap_or(0))),
        }
    }

    /// Returns the path without its query.
    pub fn path(&self) -> &str {
        let end = self.target.find('?').unwrap_or(self.target.len());
        &self.target[..end]
    }

    /// Returns the host without its port.
    pub fn host(&self) -> &str {
        let host = self.fields.get("host").unwrap_or_default();
        host.split(':').next().unwrap_or_default()
    }
}

/// Head of an answer.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    pub status: u16,
    pub fields: FieldList,
    pub framing: body::BodyFraming,
    /// Whether the server allows another request on the connection.
    pub keep_alive: bool,
}

impl ResponseHead {
    /// Parses the head of an answer to `method`; `None` if `raw` holds only a part of it.
    pub fn parse(
        raw: &Bytes,
        method: &str,
    ) -> Result<Option<(ResponseHead, usize)>, h1::ReadError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut response = httparse::Response::new(&mut headers);
        let length = match response.parse(raw) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(h1::ReadError::Malformed("bad answer head")),
        };
        let fields = FieldList::new(raw.clone(), response.headers);
        let status = response.code.unwrap_or_default();
        let old_version = response.version == Some(0);
        Ok(Some((
            ResponseHead {
                status,
                framing: ResponseHead::framing(&fields, method, status)?,
                keep_alive: !old_version && !fields.has_token("connection", "close"),
                fields,
            },
            length,
        )))
    }

    fn framing(
        fields: &FieldList,
        method: &str,
        status: u16,
    ) -> Result<body::BodyFraming, h1::ReadError> {
        let length = fields.content_length()?;
        let chunked = fields.is_chunked()?;
        if method == "HEAD" || status < 200 || status == 204 || status == 304 {
            return Ok(body::BodyFraming::Length(0));
        }
        match (chunked, length) {
            (true, Some(_)) => Err(h1::ReadError::Malformed("length and chunks")),
            (true, None) => Ok(body::BodyFraming::Chunked),
            (false, Some(length)) => Ok(body::BodyFraming::Length(length)),
            (false, None) => Ok(body::BodyFraming::UntilClose),
        }
    }
}
