//! Reads the requests of callers and writes their responses.

use std::{cell::Cell, rc::Rc, time::Duration};

use actix_http::{
    HttpMessage as _, Request, Response, StatusCode, Version,
    body::{BodyStream, BoxBody, SizedStream},
    header::{self, HeaderMap},
};
use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt as _, stream};
use sha2::{Digest as _, Sha256};

use crate::{
    edge::{
        driver::TrafficDriver,
        listen::arrival_time,
        problem::Problem,
        response_queue::{MAX_BUFFERED_BYTES, Part, ResponseQueue},
    },
    hop::HOP_BY_HOP,
    http::head::is_status,
    ids::RequestId,
    node::traffic::{BodyOrigin, Event, IncomingRequest, ResumeRequest},
    request::{
        CallerId,
        exchange::{Head, Header},
        outcome::{RunOutcome, Undispatched},
        refusal::{Refusal, RefusalKind},
    },
};

/// Limit on the size of a request's body, and of a response that is collected, in bytes.
pub const MAX_BODY_BYTES: usize = 4 << 20;
/// Limit on the total size of the request bodies that one traffic thread is reading, in bytes.
const MAX_READING_BYTES: usize = 64 << 20;
/// Timeout for receiving the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after which a caller may retry a request that the daemon had no capacity for.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Path prefix under which the responses to earlier requests can be resumed.
pub const REQUESTS_PATH: &str = "/requests/";

/// Headers besides [`HOP_BY_HOP`] that are not forwarded, since the daemon handles them itself or
/// sets them again.
const REPLACED_HEADERS: [&str; 7] = [
    "content-length",
    "host",
    "authorization",
    "expect",
    "accept-encoding",
    "x-request-id",
    "x-deadline-ms",
];

/// Handles the requests of callers on one traffic thread.
#[derive(Clone)]
pub struct CallerHandler {
    driver: Rc<TrafficDriver>,
    reading: Rc<Cell<usize>>,
}

impl CallerHandler {
    pub fn new(driver: Rc<TrafficDriver>) -> Self {
        Self { driver, reading: Rc::default() }
    }

    /// Responds to one request; while the daemon drains, the response closes the connection.
    pub async fn handle(self, req: Request) -> Response<BoxBody> {
        let mut res = match self.respond(req).await {
            Ok(res) => res,
            Err(refusal) => Problem::from(*refusal).into_response(),
        };
        if self.driver.is_draining() {
            res.head_mut().set_connection_type(actix_http::ConnectionType::Close);
        }
        res
    }

    async fn respond(&self, mut req: Request) -> Result<Response<BoxBody>, Box<Refusal>> {
        let undispatched = Undispatched::begin();
        let arrived = arrival_time(&req);
        let token = token_digest(req.headers());
        if let Some(name) = req.path().strip_prefix(REQUESTS_PATH) {
            return self.resume(name, &req, token, undispatched).await;
        }
        let target = req.uri().path_and_query().map_or("/", |path| path.as_str());
        if let Err((kind, detail)) = self.driver.check_head(target, token.as_ref()) {
            return Err(reject(kind, undispatched, detail).into());
        }
        let path = target.into();
        let Ok(body) = tokio::time::timeout(BODY_TIMEOUT, self.read_body(&mut req)).await else {
            let detail = "the body did not arrive in time".into();
            return Err(reject(RefusalKind::SlowBody, undispatched, detail).into());
        };
        let body = match body {
            Ok(body) => body,
            Err((kind, detail)) => return Err(reject(kind, undispatched, detail).into()),
        };
        let (pending, caller) = self.register_caller(&req);
        let incoming = IncomingRequest {
            caller,
            method: req.method().as_str().into(),
            path,
            headers: forwarded_headers(req.headers()).into(),
            body,
            token,
            key: header_text(req.headers(), "idempotency-key").map(Into::into),
            deadline: header_millis(req.headers(), "x-deadline-ms"),
            waited: arrived.elapsed(),
            class: header_text(req.headers(), "x-priority").and_then(|class| class.parse().ok()),
            undispatched,
        };
        self.driver.dispatch_event(Event::RequestReceived(Box::new(incoming)));
        pending.receive_response().await
    }

    async fn resume(
        &self,
        name: &str,
        req: &Request,
        token: Option<[u8; 32]>,
        undispatched: Undispatched,
    ) -> Result<Response<BoxBody>, Box<Refusal>> {
        let Ok(request) = name.parse::<RequestId>() else {
            let detail = "this is no name of a request".into();
            return Err(reject(RefusalKind::UnknownRequest, undispatched, detail).into());
        };
        let last_event = header_text(req.headers(), "last-event-id").and_then(|id| id.parse().ok());
        let (pending, caller) = self.register_caller(req);
        let resumption = ResumeRequest { caller, request, last_event, token };
        self.driver.dispatch_event(Event::ResumeRequested(resumption));
        pending.receive_response().await
    }

    fn register_caller(&self, req: &Request) -> (PendingResponse, CallerId) {
        let accepts_chunks = req.version() > Version::HTTP_10;
        let (caller, queue) = self.driver.add_caller();
        let guard = DisconnectGuard { driver: self.driver.clone(), caller, is_complete: false };
        (PendingResponse { queue, guard, accepts_chunks }, caller)
    }

    async fn read_body(&self, req: &mut Request) -> Result<Bytes, (RefusalKind, String)> {
        let mut payload = req.take_payload();
        let mut reservation = BodyReservation { reading: self.reading.clone(), reserved: 0 };
        let mut body = BytesMut::new();
        while let Some(chunk) = payload.next().await {
            let chunk = chunk.map_err(|error| {
                (RefusalKind::Malformed, format!("the body is malformed: {error}"))
            })?;
            if body.len() + chunk.len() > MAX_BODY_BYTES {
                let detail = format!("the body exceeds {MAX_BODY_BYTES} bytes");
                return Err((RefusalKind::Oversized, detail));
            }
            if !reservation.try_reserve(chunk.len()) {
                let detail = "too many bodies arrive at once";
                return Err((RefusalKind::Overload, detail.into()));
            }
            body.extend_from_slice(&chunk);
        }
        Ok(body.freeze())
    }
}

/// Bytes of one body that is being read, counted towards [`MAX_READING_BYTES`] until dropped.
struct BodyReservation {
    reading: Rc<Cell<usize>>,
    reserved: usize,
}

impl BodyReservation {
    /// Reserves bytes; returns `false` if the limit would be exceeded.
    fn try_reserve(&mut self, bytes: usize) -> bool {
        let reading = self.reading.get() + bytes;
        if reading > MAX_READING_BYTES {
            return false;
        }
        self.reading.set(reading);
        self.reserved += bytes;
        true
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.reading.set(self.reading.get() - self.reserved);
    }
}

/// Reports on drop that a caller is gone, unless its response was completed before.
struct DisconnectGuard {
    driver: Rc<TrafficDriver>,
    caller: CallerId,
    is_complete: bool,
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if !self.is_complete {
            self.driver.remove_caller(self.caller);
        }
    }
}

/// The response that a caller waits for.
struct PendingResponse {
    queue: Rc<ResponseQueue>,
    guard: DisconnectGuard,
    /// Whether the caller understands chunked responses, which HTTP/1.0 does not have.
    accepts_chunks: bool,
}

impl PendingResponse {
    async fn receive_response(self) -> Result<Response<BoxBody>, Box<Refusal>> {
        match self.queue.recv().await {
            Some(Part::Full(request, head, body)) => {
                Ok(full_response(response_builder(&request, &head), self.queue, body))
            }
            Some(Part::Head(request, head, _)) if !self.accepts_chunks => {
                let queue = self.queue.clone();
                let body = self.collect_body().await?;
                Ok(full_response(response_builder(&request, &head), queue, body))
            }
            Some(Part::Head(request, head, origin)) => {
                let mut builder = response_builder(&request, &head);
                let stream = self.into_stream(origin);
                Ok(builder.body(BodyStream::new(stream)).map_into_boxed_body())
            }
            Some(Part::Refusal(refusal)) => Err(refusal),
            Some(Part::Chunk(_) | Part::End) | None => {
                let detail = "the daemon stopped before the request had an answer";
                let kind = RefusalKind::UpstreamFailed;
                Err(Box::new(Refusal::new(kind, RunOutcome::MayHaveRun, detail)))
            }
        }
    }

    /// Collects a body that is sent in parts, for a caller that could not detect a truncation.
    async fn collect_body(mut self) -> Result<Bytes, Box<Refusal>> {
        let failed = |detail: &str| {
            let kind = RefusalKind::UpstreamFailed;
            Err(Box::new(Refusal::new(kind, RunOutcome::MayHaveRun, detail)))
        };
        let mut body = BytesMut::new();
        loop {
            match self.queue.recv().await {
                Some(Part::Chunk(bytes)) if body.len() + bytes.len() > MAX_BODY_BYTES => {
                    return failed("the response is too long for HTTP/1.0");
                }
                Some(Part::Chunk(bytes)) if !self.queue.hold(bytes.len()) => {
                    return failed("no memory is left for the response");
                }
                Some(Part::Chunk(bytes)) => body.extend_from_slice(&bytes),
                Some(Part::End) => {
                    self.guard.is_complete = true;
                    return Ok(body.freeze());
                }
                Some(Part::Refusal(refusal)) => return Err(refusal),
                Some(Part::Head(..) | Part::Full(..)) | None => {
                    return failed("the response ended before it was complete");
                }
            }
        }
    }

    fn into_stream(self, origin: BodyOrigin) -> impl Stream<Item = Result<Bytes, std::io::Error>> {
        stream::unfold(Some(self), move |pending| async move {
            let mut pending = pending?;
            match pending.queue.recv().await {
                Some(Part::Chunk(bytes)) => Some((Ok(bytes), Some(pending))),
                Some(Part::Refusal(refusal)) if origin == BodyOrigin::Daemon => {
                    Some((Ok(refusal_event(*refusal)), None))
                }
                Some(Part::End) => {
                    pending.guard.is_complete = true;
                    None
                }
                // The response has started and cannot be completed, so the connection is closed.
                _ => Some((
                    Err(std::io::Error::other(
                        "the response ended before it was complete; closing the connection",
                    )),
                    None,
                )),
            }
        })
    }
}

/// Returns a response whose body is written as the caller takes it, and keeps the queue that counts it until then.
fn full_response(
    mut builder: actix_http::ResponseBuilder,
    queue: Rc<ResponseQueue>,
    body: Bytes,
) -> Response<BoxBody> {
    let length = body.len();
    // A longer body would be copied whole into the connection's buffer.
    if length <= MAX_BUFFERED_BYTES {
        return builder.body(body).map_into_boxed_body();
    }
    let slices = stream::unfold((body, queue), |(mut rest, queue)| async move {
        let slice = rest.split_to(rest.len().min(MAX_BUFFERED_BYTES));
        (!slice.is_empty()).then_some((Ok::<_, std::io::Error>(slice), (rest, queue)))
    });
    builder.body(SizedStream::new(length as u64, slices)).map_into_boxed_body()
}

/// Returns the event that ends an incomplete event stream.
fn refusal_event(refusal: Refusal) -> Bytes {
    let name = match refusal.kind {
        RefusalKind::HandedOver | RefusalKind::ResumedElsewhere => "resume",
        _ => "error",
    };
    let retry = refusal.retry_after.map(|after| format!("retry: {}\n", after.as_millis()));
    let json = Problem::from(refusal).to_json();
    let json = String::from_utf8_lossy(&json);
    format!("{}event: {name}\ndata: {json}\n\n", retry.unwrap_or_default()).into()
}

fn response_builder(request: &RequestId, head: &Head) -> actix_http::ResponseBuilder {
    // Earlier releases stored responses to keyed calls with any status.
    let status = StatusCode::from_u16(head.status).ok().filter(|_| is_status(head.status));
    let status = status.unwrap_or(StatusCode::BAD_GATEWAY);
    let mut builder = Response::build(status);
    for (name, value) in &head.headers {
        builder.append_header((&**name, &**value));
    }
    builder.insert_header(("x-request-id", request.as_str()));
    builder
}

/// Returns the refusal of a request that was not sent to any upstream.
fn reject(kind: RefusalKind, undispatched: Undispatched, detail: String) -> Refusal {
    let refusal = Refusal::new(kind, RunOutcome::NotRun(undispatched.refuse()), detail);
    match kind {
        RefusalKind::Draining | RefusalKind::NotReady | RefusalKind::Overload => {
            refusal.with_retry_after(OVERLOAD_RETRY_AFTER)
        }
        _ => refusal,
    }
}

/// Reports whether a header with this name, in lower case, is forwarded: all but [`HOP_BY_HOP`] and
/// [`REPLACED_HEADERS`] are.
pub fn is_forwarded_header(name: &str) -> bool {
    !HOP_BY_HOP.contains(&name) && !REPLACED_HEADERS.contains(&name)
}

fn forwarded_headers(headers: &HeaderMap) -> Vec<Header> {
    headers
        .iter()
        .filter(|(name, _)| is_forwarded_header(name.as_str()))
        .map(|(name, value)| (name.as_str().into(), Bytes::copy_from_slice(value.as_bytes())))
        .collect()
}

/// Returns the value of a header, or `None` if it is missing or not valid text.
fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn header_millis(headers: &HeaderMap, name: &str) -> Option<Duration> {
    header_text(headers, name)?.parse().ok().map(Duration::from_millis)
}

fn token_digest(headers: &HeaderMap) -> Option<[u8; 32]> {
    let value = header_text(headers, header::AUTHORIZATION.as_str())?;
    let token = value.strip_prefix("Bearer ")?;
    Some(Sha256::digest(token.as_bytes()).into())
}
