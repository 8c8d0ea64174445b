//! Parses heads of requests and responses, including the framing of the body.

use std::ops::Range;

use crate::hop::HOP_BY_HOP;
use bytes::{BufMut as _, Bytes, BytesMut};
use thiserror::Error;

/// Maximum number of header lines in one head.
const MAX_HEADERS: usize = 96;

/// End-to-end headers that are not forwarded: a proxy responds to `Expect` itself and writes
/// `Content-Length` anew.
const REFRAMED: [&str; 2] = ["content-length", "expect"];

/// Why bytes are not an acceptable head.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum HeadError {
    /// The bytes are not a valid HTTP/1 head.
    #[error("malformed head: {0}")]
    Malformed(httparse::Error),
    /// The head exceeds the maximum length.
    #[error("the head exceeds the maximum length")]
    TooLong,
    /// The length of the body is ambiguous: headers are repeated or contradictory, or
    /// `Content-Length` is not a number.
    #[error("the headers give no unambiguous body length")]
    AmbiguousFraming,
    /// The transfer coding is not exactly `chunked`.
    #[error("transfer coding is not chunked")]
    UnknownCoding,
    /// The request does not have exactly one `Host` header.
    #[error("the request does not have exactly one Host header")]
    Host,
    /// The request target is not a path.
    #[error("the request target is not a path")]
    Target,
    /// The status of a response is none that HTTP has.
    #[error("status {0:03} does not exist")]
    Status(u16),
}

/// Reports whether HTTP has a status. A proxy cannot pass on any other, as it says nothing about the request.
pub fn is_status(status: u16) -> bool {
    (100..600).contains(&status)
}

/// The header lines of a head, in order.
#[derive(Clone, Debug, Default)]
pub struct Headers(Vec<(Bytes, Bytes)>);

impl Headers {
    /// Returns the first value of a header.
    pub fn get(&self, name: &str) -> Option<&Bytes> {
        self.0.iter().find(|line| line.0.eq_ignore_ascii_case(name.as_bytes())).map(|line| &line.1)
    }

    /// Returns the first value of a header if it is valid UTF-8.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.get(name).and_then(|value| std::str::from_utf8(value).ok())
    }

    /// Returns all values of a header.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a Bytes> {
        let is_match = move |line: &&(Bytes, Bytes)| line.0.eq_ignore_ascii_case(name.as_bytes());
        self.0.iter().filter(is_match).map(|(_, value)| value)
    }

    /// Returns the header lines that may be forwarded, without hop-by-hop and reframed headers.
    pub fn end_to_end(&self) -> impl Iterator<Item = &(Bytes, Bytes)> {
        self.0.iter().filter(|(name, _)| !self.is_hop_by_hop(name))
    }

    fn is_hop_by_hop(&self, name: &[u8]) -> bool {
        HOP_BY_HOP.iter().chain(&REFRAMED).any(|hop| name.eq_ignore_ascii_case(hop.as_bytes()))
            || self.has_token("connection", name)
    }

    /// Reports whether a comma-separated header contains a token, ignoring case.
    pub fn has_token(&self, header: &str, token: &[u8]) -> bool {
        let mut tokens = self.all(header).flat_map(|value| value.split(|&byte| byte == b','));
        tokens.any(|part| part.trim_ascii().eq_ignore_ascii_case(token))
    }

    fn content_length(&self) -> Result<Option<u64>, HeadError> {
        let mut values = self.all("content-length");
        let Some(value) = values.next() else { return Ok(None) };
        let digits = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
        let text = std::str::from_utf8(value).ok().filter(|_| digits && values.next().is_none());
        let length = text.and_then(|text| text.parse().ok());
        length.map(Some).ok_or(HeadError::AmbiguousFraming)
    }

    fn is_chunked(&self) -> Result<bool, HeadError> {
        let mut values = self.all("transfer-encoding");
        let Some(value) = values.next() else { return Ok(false) };
        if values.next().is_some() || !value.eq_ignore_ascii_case(b"chunked") {
            return Err(HeadError::UnknownCoding);
        }
        Ok(true)
    }
}

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The body has this many bytes; zero if there is no body.
    Length(u64),
    /// The body uses chunked transfer coding.
    Chunked,
    /// The body ends with the connection.
    UntilClose,
}

impl Framing {
    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Length(_) => "length",
            Self::Chunked => "chunked",
            Self::UntilClose => "until-close",
        }
    }
}

#[derive(Clone, Debug)]
pub struct RequestHead {
    /// The method as sent.
    pub method: Bytes,
    /// The path with its query as sent.
    pub target: Bytes,
    pub headers: Headers,
    pub framing: Framing,
    /// Whether the caller understands chunked responses, which HTTP/1.0 does not have.
    pub accepts_chunks: bool,
    /// Whether the caller may send more requests on the connection.
    pub keep_alive: bool,
}

impl RequestHead {
    /// Removes a head from the front of a buffer. Returns `None` until it is complete.
    pub fn try_parse(buf: &mut BytesMut, max_bytes: usize) -> Result<Option<Self>, HeadError> {
        let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Request::new(&mut lines);
        let length = match parsed.parse(buf) {
            Ok(httparse::Status::Complete(length)) if length <= max_bytes => length,
            Ok(httparse::Status::Partial) if buf.len() <= max_bytes => return Ok(None),
            Ok(_) => return Err(HeadError::TooLong),
            Err(error) => return Err(HeadError::Malformed(error)),
        };
        let is_http_1_1 = parsed.version == Some(1);
        let (method, target) = (parsed.method.unwrap_or(""), parsed.path.unwrap_or(""));
        let (method, target) = (range_in(buf, method.as_bytes()), range_in(buf, target.as_bytes()));
        let ranges = header_ranges(buf, parsed.headers);
        let bytes = buf.split_to(length).freeze();
        let headers = slice_headers(&bytes, ranges);
        let framing = match (headers.content_length()?, headers.is_chunked()?) {
            (Some(_), true) => return Err(HeadError::AmbiguousFraming),
            (None, true) => Framing::Chunked,
            (length, false) => Framing::Length(length.unwrap_or(0)),
        };
        if headers.all("host").count() != 1 {
            return Err(HeadError::Host);
        }
        let keep_alive = is_http_1_1 && !headers.has_token("connection", b"close");
        let head = Self {
            method: bytes.slice(method),
            target: bytes.slice(target),
            headers,
            framing,
            accepts_chunks: is_http_1_1,
            keep_alive,
        };
        if !head.target.starts_with(b"/") {
            return Err(HeadError::Target);
        }
        Ok(Some(head))
    }

    /// Returns the path without its query.
    pub fn path(&self) -> &[u8] {
        self.target.split(|&byte| byte == b'?').next().unwrap_or_default()
    }
}

#[derive(Clone, Debug)]
pub struct ResponseHead {
    pub status: u16,
    pub headers: Headers,
    pub framing: Framing,
    /// Whether the connection may carry another request.
    pub keep_alive: bool,
}

impl ResponseHead {
    /// Removes a head from the front of a buffer, skipping interim responses. Returns `None` until
    /// the head is complete.
    pub fn try_parse(
        buf: &mut BytesMut,
        max_bytes: usize,
        to_head_request: bool,
    ) -> Result<Option<Self>, HeadError> {
        loop {
            let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
            let mut parsed = httparse::Response::new(&mut lines);
            let length = match parsed.parse(buf) {
                Ok(httparse::Status::Complete(length)) if length <= max_bytes => length,
                Ok(httparse::Status::Partial) if buf.len() <= max_bytes => return Ok(None),
                Ok(_) => return Err(HeadError::TooLong),
                Err(error) => return Err(HeadError::Malformed(error)),
            };
            let (is_http_1_1, status) = (parsed.version == Some(1), parsed.code.unwrap_or(0));
            if !is_status(status) {
                return Err(HeadError::Status(status));
            }
            let ranges = header_ranges(buf, parsed.headers);
            let bytes = buf.split_to(length).freeze();
            if (100..200).contains(&status) {
                continue;
            }
            let headers = slice_headers(&bytes, ranges);
            let bodiless = to_head_request || status == 204 || status == 304;
            let framing = match (headers.content_length()?, headers.is_chunked()?) {
                (Some(_), true) => return Err(HeadError::AmbiguousFraming),
                _ if bodiless => Framing::Length(0),
                (None, true) => Framing::Chunked,
                (Some(length), false) => Framing::Length(length),
                (None, false) => Framing::UntilClose,
            };
            let keep_alive = is_http_1_1
                && framing != Framing::UntilClose
                && !headers.has_token("connection", b"close");
            return Ok(Some(Self { status, headers, framing, keep_alive }));
        }
    }
}

fn range_in(buf: &[u8], part: &[u8]) -> Range<usize> {
    let start = part.as_ptr() as usize - buf.as_ptr() as usize;
    start..start + part.len()
}

fn header_ranges(buf: &[u8], lines: &[httparse::Header<'_>]) -> Vec<(Range<usize>, Range<usize>)> {
    lines
        .iter()
        .map(|line| (range_in(buf, line.name.as_bytes()), range_in(buf, line.value)))
        .collect()
}

fn slice_headers(bytes: &Bytes, ranges: Vec<(Range<usize>, Range<usize>)>) -> Headers {
    let slice = |(name, value)| (bytes.slice(name), bytes.slice(value));
    Headers(ranges.into_iter().map(slice).collect())
}

/// Appends a header line.
pub fn put_header(out: &mut BytesMut, name: &[u8], value: &[u8]) {
    out.put_slice(name);
    out.put_slice(b": ");
    out.put_slice(value);
    out.put_slice(b"\r\n");
}
