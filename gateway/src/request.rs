//! Requests of callers, and the responses that the gateway generates itself.

use std::{cell::Cell, rc::Rc, time::Duration};

use bytes::{BufMut as _, Bytes, BytesMut};
use dogwoodturn::{
    http::head::{RequestHead, put_header},
    ids::CustomerName,
    units::Time,
};
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use crate::{
    contention::GivingWay,
    header_schema::{HeaderSchema, Prompt},
};

/// When a request arrived and was read.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// When its first byte arrived in the socket, as far as that is known.
    pub arrived: Time,
    /// How long it lay there unread.
    pub unread: Duration,
    /// When it had been read completely.
    pub read: Time,
}

/// A request that was read completely.
#[derive(Clone, Debug)]
pub struct Request {
    pub head: RequestHead,
    pub body: Bytes,
    /// When its first byte arrived in the socket, as far as that is known.
    pub arrived: Time,
    /// How long it lay there unread.
    pub unread: Duration,
    /// When it had been read completely.
    pub read: Time,
    /// The request ID that the caller sent; empty if there is none.
    pub id: Box<str>,
    /// A hash of the ID, for choices that must be the same for all attempts.
    pub hash: u64,
    /// How long the caller waits for a response.
    pub deadline: Option<Duration>,
    /// The prompt; empty if the headers describe none.
    pub prompt: Prompt,
    /// The ID of the last event that the caller received in an earlier response.
    pub last_event: Option<u64>,
    /// Whether the attempts so far may have run it, for an end that comes between them.
    pub progress: Rc<Cell<Progress>>,
}

impl Request {
    /// Parses the headers that the gateway uses.
    pub fn new(
        header_schema: &HeaderSchema,
        head: RequestHead,
        body: Bytes,
        arrival: Arrival,
    ) -> Self {
        let Arrival { arrived, unread, read } = arrival;
        let headers = &head.headers;
        let id: Box<str> = headers.text(header_schema.request_id).unwrap_or_default().into();
        let number = |name: &str| headers.text(name).and_then(|text| text.trim().parse().ok());
        let deadline = number(header_schema.deadline_ms).map(Duration::from_millis);
        let last_event = number(header_schema.last_event);
        let prompt = (header_schema.read_prompt)(headers).limit_tokens();
        let hash = xxh3_64(id.as_bytes());
        let progress = Rc::default();
        Self { head, body, arrived, unread, read, id, hash, deadline, prompt, last_event, progress }
    }

    /// Returns the caller's key, sent as a bearer token.
    pub fn key(&self, header_schema: &HeaderSchema) -> Option<&str> {
        let value = self.head.headers.text(header_schema.authorization)?;
        let (scheme, key) = value.split_once(' ')?;
        scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
    }

    /// Returns a hash of target, customer and body, which is the same when the caller sends the
    /// request again.
    pub fn content_hash(&self, customer: Option<&CustomerName>) -> u64 {
        let mut hasher = Xxh3::new();
        hasher.update(&self.head.target);
        hasher.update(customer.map_or("", CustomerName::as_str).as_bytes());
        hasher.update(&self.body);
        hasher.digest()
    }

    /// Returns a number in the range 0 to 1, excluding 1, that is derived from the request ID.
    pub fn uniform_sample(&self) -> f64 {
        (self.hash >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Reports whether this is a `HEAD` request, whose response has no body.
    pub fn is_head_request(&self) -> bool {
        &*self.head.method == b"HEAD"
    }

    /// Encodes the request for an upstream.
    pub fn encode_for_upstream(
        &self,
        header_schema: &HeaderSchema,
        to: &ForwardingParams<'_>,
    ) -> BytesMut {
        let mut out = BytesMut::with_capacity(512 + self.body.len());
        out.put_slice(&self.head.method);
        out.put_u8(b' ');
        out.put_slice(&self.head.target);
        out.put_slice(b" HTTP/1.1\r\n");
        let replaced = [
            header_schema.deadline_ms,
            header_schema.authorization,
            header_schema.customer,
            header_schema.expected_upstream,
            header_schema.urgency,
            header_schema.last_event,
        ];
        for (name, value) in self.head.headers.end_to_end() {
            let is_named = |other: &&'static str| name.eq_ignore_ascii_case(other.as_bytes());
            if !replaced.iter().chain(header_schema.reserved).any(is_named) {
                put_header(&mut out, name, value);
            }
        }
        let millis = to.time_left.as_millis().max(1).to_string();
        put_header(&mut out, header_schema.deadline_ms.as_bytes(), millis.as_bytes());
        put_header(&mut out, header_schema.expected_upstream.as_bytes(), to.upstream.as_bytes());
        if let Some(customer) = to.customer {
            put_header(&mut out, header_schema.customer.as_bytes(), customer.as_str().as_bytes());
        }
        if let Some(urgency) = to.urgency {
            put_header(&mut out, header_schema.urgency.as_bytes(), urgency.to_string().as_bytes());
        }
        if let Some(id) = to.last_event {
            put_header(&mut out, header_schema.last_event.as_bytes(), id.to_string().as_bytes());
        }
        let has_body = !self.body.is_empty()
            || self.head.headers.get("content-length").is_some()
            || self.head.headers.get("transfer-encoding").is_some();
        if has_body {
            put_header(&mut out, b"Content-Length", self.body.len().to_string().as_bytes());
        }
        out.put_slice(b"\r\n");
        out.put_slice(&self.body);
        out
    }
}

/// Header values that the gateway sets when it forwards a request.
#[derive(Clone, Copy, Debug)]
pub struct ForwardingParams<'a> {
    /// The time until the deadline.
    pub time_left: Duration,
    /// The only upstream that may run the request.
    pub upstream: &'a str,
    /// The customer that sent the request.
    pub customer: Option<&'a CustomerName>,
    pub urgency: Option<u8>,
    /// The ID of the last event that the caller has.
    pub last_event: Option<u64>,
}

/// Proof that a request has not run and will not run: no upstream received it, or every upstream
/// that did stated that it did not run it.
#[derive(Clone, Copy, Debug)]
pub struct NotRun(());

/// Limit for writing a local response; a caller that does not accept a few hundred bytes within
/// this time counts as disconnected.
pub const LOCAL_WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// `Retry-After` for a request whose body exceeds the memory that is free for bodies.
const RETRY_AFTER_NO_MEMORY: Duration = Duration::from_millis(500);

/// `Retry-After` while the daemon is shutting down; the retry reaches another daemon.
const RETRY_AFTER_STOPPING: Duration = Duration::from_millis(50);

/// Whether the attempts so far may have run a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Progress {
    /// No upstream can have run it.
    #[default]
    NotRun,
    /// An upstream may have run it.
    MayHaveRun,
}

impl Progress {
    /// Returns the proof that a refusal requires, if the request has not run.
    pub fn not_run(self) -> Option<NotRun> {
        (self == Self::NotRun).then_some(NotRun(()))
    }
}

/// A response that the gateway generates itself.
#[derive(Clone, Debug)]
pub struct LocalResponse {
    status: u16,
    /// The reason as logs, metrics and the response body show it.
    pub reason: &'static str,
    retry_after: Option<Duration>,
    closes_connection: bool,
    /// The rank and share of a request that gives way to others.
    pub giving_way: Option<GivingWay>,
}

impl LocalResponse {
    /// Refuses a request that has not run; the caller may retry.
    pub fn refused(_proof: NotRun, reason: &'static str, retry_after: Duration) -> Self {
        Self {
            status: 503,
            reason,
            retry_after: Some(retry_after),
            closes_connection: false,
            giving_way: None,
        }
    }

    /// Refuses a request that exceeds its customer's quota.
    pub fn over_quota(_proof: NotRun, retry_after: Duration) -> Self {
        Self {
            status: 429,
            reason: "refused-quota",
            retry_after: Some(retry_after),
            closes_connection: false,
            giving_way: None,
        }
    }

    /// Refuses a request that gives way to others; the caller may retry.
    pub fn gives_way(proof: NotRun, giving_way: GivingWay) -> Self {
        let response = Self::refused(proof, "refused-contention", giving_way.retry_after);
        Self { giving_way: Some(giving_way), ..response }
    }

    /// Responds to a request that may have run and whose response was lost.
    pub fn lost(reason: &'static str) -> Self {
        Self { status: 502, reason, retry_after: None, closes_connection: false, giving_way: None }
    }

    /// Responds to a request that may have run and whose deadline has passed.
    pub fn timed_out() -> Self {
        Self {
            status: 504,
            reason: "timed-out",
            retry_after: None,
            closes_connection: false,
            giving_way: None,
        }
    }

    /// Refuses a request that has not run because the daemon is shutting down.
    pub fn refused_stopping(proof: NotRun) -> Self {
        Self::refused(proof, "refused-stopping", RETRY_AFTER_STOPPING)
    }

    /// Responds to a request that the end of the process interrupts.
    pub fn interrupted(progress: Progress) -> Self {
        let response = match progress.not_run() {
            Some(proof) => Self::refused_stopping(proof),
            None => Self { reason: "interrupted", ..Self::timed_out() },
        };
        Self { closes_connection: true, ..response }
    }

    /// Denies a request that is not allowed; it should not be retried.
    pub fn denied(status: u16, reason: &'static str) -> Self {
        Self { status, reason, retry_after: None, closes_connection: false, giving_way: None }
    }

    /// Rejects bytes that are not an acceptable request. The connection closes, since the start of
    /// the next request is unknown.
    pub fn malformed(status: u16, reason: &'static str) -> Self {
        Self { status, reason, retry_after: None, closes_connection: true, giving_way: None }
    }

    /// Refuses a request whose body was not read because too much memory is reserved for bodies.
    pub fn no_memory() -> Self {
        let retry_after = Some(RETRY_AFTER_NO_MEMORY);
        Self {
            status: 503,
            reason: "refused-no-memory",
            retry_after,
            closes_connection: true,
            giving_way: None,
        }
    }

    pub fn status(&self) -> u16 {
        self.status
    }

    /// Returns the `Retry-After` time; zero if the response has none.
    pub fn retry_after(&self) -> Duration {
        self.retry_after.unwrap_or_default()
    }

    /// Reports whether the connection must not carry another request.
    pub fn closes_connection(&self) -> bool {
        self.closes_connection
    }

    /// Encodes the response. `is_head_only` omits the body but keeps its `Content-Length`.
    pub fn encode(
        &self,
        header_schema: &HeaderSchema,
        id: &str,
        keep_alive: bool,
        is_head_only: bool,
    ) -> BytesMut {
        let mut out = BytesMut::with_capacity(256);
        let body = format!("{{\"title\":\"{}\"}}", self.reason);
        out.put_slice(format!("HTTP/1.1 {} {}\r\n", self.status, phrase(self.status)).as_bytes());
        if !id.is_empty() {
            put_header(&mut out, header_schema.request_id.as_bytes(), id.as_bytes());
        }
        put_header(&mut out, b"Content-Type", b"application/problem+json");
        put_header(&mut out, b"Content-Length", body.len().to_string().as_bytes());
        if let Some(delay) = self.retry_after {
            let seconds = format!("{:.3}", delay.as_secs_f64());
            put_header(&mut out, b"Retry-After", seconds.as_bytes());
        }
        if !keep_alive || self.closes_connection {
            put_header(&mut out, b"Connection", b"close");
        }
        out.put_slice(b"\r\n");
        if !is_head_only {
            out.put_slice(body.as_bytes());
        }
        out
    }
}

/// Returns the standard reason phrase of a status code.
pub fn phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}
