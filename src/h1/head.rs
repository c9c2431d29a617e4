//! Heads of messages: the start line and the header fields.

use crate::h1;
use crate::h1::body;
use smallvec::SmallVec;
use std::str;
use tokio_util::bytes::Bytes;

/// Most header fields in one head.
const MAX_FIELDS: usize = 64;

/// Hop-by-hop fields, which concern one connection only and are never forwarded.
const HOP_BY_HOP_FIELDS: [&str; 9] = [
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

/// Start and end of a field's name and value in the bytes of its head.
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
        let matches = move |field: &(&str, &[u8])| field.0.eq_ignore_ascii_case(name);
        self.iter().filter(matches).map(|(_, value)| value)
    }

    /// Returns the value of the first field called `name`, if it is UTF-8.
    pub fn get<'a>(&'a self, name: &'a str) -> Option<&'a str> {
        let value = self.all(name).next()?;
        str::from_utf8(value).ok().map(str::trim)
    }

    /// Returns whether a field called `name` lists `token`, separated by commas.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        let lists_token = |value: &[u8]| {
            let text = str::from_utf8(value).unwrap_or_default();
            text.split(',')
                .any(|part| part.trim().eq_ignore_ascii_case(token))
        };
        self.all(name).any(lists_token)
    }

    /// Returns whether fields called `name` are hop-by-hop in this message.
    pub fn is_hop_by_hop(&self, name: &str) -> bool {
        HOP_BY_HOP_FIELDS
            .iter()
            .any(|hop| name.eq_ignore_ascii_case(hop))
            || self.has_token("connection", name)
    }

    /// Returns the body length that `Content-Length` declares.
    fn content_length(&self) -> Result<Option<u64>, h1::ReadError> {
        let mut length = None;
        for value in self.all("content-length") {
            let digits = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
            let text = str::from_utf8(value).unwrap_or_default();
            let parsed = text.parse::<u64>().ok().filter(|_| digits);
            let parsed = parsed.ok_or(h1::ReadError::Malformed("invalid Content-Length"))?;
            if length.is_some_and(|known| known != parsed) {
                return Err(h1::ReadError::Malformed(
                    "conflicting Content-Length fields",
                ));
            }
            length = Some(parsed);
        }
        Ok(length)
    }

    /// Returns whether the body has the chunked transfer coding; others are not supported.
    fn is_chunked(&self) -> Result<bool, h1::ReadError> {
        let mut codings = self.all("transfer-encoding");
        match (codings.next(), codings.next()) {
            (None, _) => Ok(false),
            (Some(value), None) if value.eq_ignore_ascii_case(b"chunked") => Ok(true),
            _ => Err(h1::ReadError::Malformed("unsupported Transfer-Encoding")),
        }
    }
}

/// Head of a request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    pub method: String,
    /// Path and query as they arrived.
    pub target: String,
    pub fields: FieldList,
    pub framing: body::BodyFraming,
    /// Whether the caller allows another request on the connection.
    pub keep_alive: bool,
}

impl RequestHead {
    /// Parses a head and returns it with its length; `None` if `raw` holds only a part of it.
    pub fn parse(raw: &Bytes) -> Result<Option<(RequestHead, usize)>, h1::ReadError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut request = httparse::Request::new(&mut headers);
        let length = match request.parse(raw) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(httparse::Error::TooManyHeaders) => {
                return Err(h1::ReadError::HeadTooLarge(raw.len()));
            }
            Err(_) => return Err(h1::ReadError::Malformed("invalid request head")),
        };
        let fields = FieldList::new(raw.clone(), request.headers);
        let is_http_1_0 = request.version == Some(0);
        let head = RequestHead {
            method: request.method.unwrap_or_default().to_owned(),
            target: request.path.unwrap_or_default().to_owned(),
            framing: RequestHead::framing(&fields, is_http_1_0)?,
            keep_alive: !is_http_1_0 && !fields.has_token("connection", "close"),
            fields,
        };
        if !head.target.starts_with('/') {
            return Err(h1::ReadError::Malformed("target is not a path"));
        }
        if head.fields.all("host").count() != 1 {
            return Err(h1::ReadError::Malformed("number of Host fields is not one"));
        }
        Ok(Some((head, length)))
    }

    fn framing(fields: &FieldList, is_http_1_0: bool) -> Result<body::BodyFraming, h1::ReadError> {
        let length = fields.content_length()?;
        match (fields.is_chunked()?, length) {
            (true, Some(_)) => Err(h1::ReadError::Malformed(
                "both Content-Length and chunked coding",
            )),
            (true, None) if is_http_1_0 => {
                Err(h1::ReadError::Malformed("chunked coding in HTTP/1.0"))
            }
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

/// Head of a response.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    pub status: u16,
    pub fields: FieldList,
    pub framing: body::BodyFraming,
    /// Whether the server allows another request on the connection.
    pub keep_alive: bool,
}

impl ResponseHead {
    /// Parses the head of a response to `method` and returns it with its length.
    ///
    /// Returns `None` if `raw` holds only a part of it.
    pub fn parse(
        raw: &Bytes,
        method: &str,
    ) -> Result<Option<(ResponseHead, usize)>, h1::ReadError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut response = httparse::Response::new(&mut headers);
        let length = match response.parse(raw) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(h1::ReadError::Malformed("invalid response head")),
        };
        let fields = FieldList::new(raw.clone(), response.headers);
        let status = response.code.unwrap_or_default();
        let is_http_1_0 = response.version == Some(0);
        Ok(Some((
            ResponseHead {
                status,
                framing: ResponseHead::framing(&fields, method, status)?,
                keep_alive: !is_http_1_0 && !fields.has_token("connection", "close"),
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
            (true, Some(_)) => Err(h1::ReadError::Malformed(
                "both Content-Length and chunked coding",
            )),
            (true, None) => Ok(body::BodyFraming::Chunked),
            (false, Some(length)) => Ok(body::BodyFraming::Length(length)),
            (false, None) => Ok(body::BodyFraming::UntilClose),
        }
    }
}
