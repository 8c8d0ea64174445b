//! Reads callers' requests and gives them their answers.

use std::{cell::Cell, future::poll_fn, rc::Rc, time::Duration};

use actix_http::{
    HttpMessage as _, Request, Response, StatusCode,
    body::{BodyStream, BoxBody},
    header::{self, HeaderMap},
};
use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt as _, stream};
use sha2::{Digest as _, Sha256};
use tokio::sync::mpsc;

use crate::{
    edge::{
        driver::{Flow, Part, TrafficDriver},
        problem::Problem,
    },
    hop::HOP_BY_HOP,
    ids::RequestId,
    node::traffic::{Event, IncomingRequest, ResumeRequest},
    request::{
        CallerId,
        exchange::{Head, Header},
        outcome::{RunOutcome, Undispatched},
        refusal::{Refusal, RefusalKind},
    },
};

/// The largest body of a request, in bytes.
pub const MAX_BODY_BYTES: usize = 4 << 20;
/// The most bytes of bodies that one traffic thread reads at once.
const MAX_READING_BYTES: usize = 64 << 20;
/// How long a caller may take to send the body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// When a caller may ask again after the daemon had no room for its body.
const ROOM_RETRY: Duration = Duration::from_secs(1);
/// The path below which the answers of earlier requests are.
const REQUESTS: &str = "/requests/";

/// Headers besides [`HOP_BY_HOP`] that are not passed on, since the daemon answers them or sets them anew.
const REPLACED: [&str; 7] = [
    "content-length",
    "host",
    "authorization",
    "expect",
    "accept-encoding",
    "x-request-id",
    "x-deadline-ms",
];

/// The part of a traffic thread that answers callers.
#[derive(Clone)]
pub struct CallerHandler {
    driver: Rc<TrafficDriver>,
    reading: Rc<Cell<usize>>,
}

impl CallerHandler {
    /// Makes the edge of one traffic thread.
    pub fn new(driver: Rc<TrafficDriver>) -> Self {
        Self { driver, reading: Rc::default() }
    }

    /// Answers one request.
    pub async fn handle(self, req: Request) -> Response<BoxBody> {
        let mut res = match self.answer(req).await {
            Ok(res) => res,
            Err(refusal) => Problem::from(*refusal).into_response(),
        };
        if self.driver.is_draining() {
            res.head_mut().set_connection_type(actix_http::ConnectionType::Close);
        }
        res
    }

    async fn answer(&self, mut req: Request) -> Result<Response<BoxBody>, Box<Refusal>> {
        let undispatched = Undispatched::begin();
        let token = token_of(req.headers());
        if let Some(name) = req.path().strip_prefix(REQUESTS) {
            return self.resume(name, &req, token, undispatched).await;
        }
        let target = req.uri().path_and_query().map_or("/", |path| path.as_str());
        if let Err((kind, detail)) = self.driver.check_head(target, token.as_ref()) {
            return Err(not_run(kind, undispatched, detail).into());
        }
        let path = target.into();
        let Ok(body) = tokio::time::timeout(BODY_TIMEOUT, self.read_body(&mut req)).await else {
            let detail = "the body did not arrive in time".into();
            return Err(not_run(RefusalKind::SlowBody, undispatched, detail).into());
        };
        let body = match body {
            Ok(body) => body,
            Err((kind, detail)) => return Err(not_run(kind, undispatched, detail).into()),
        };
        let (waiting, caller) = self.wait_for_answer();
        let arrival = IncomingRequest {
            caller,
            method: req.method().as_str().into(),
            path,
            headers: passed_on(req.headers()).into(),
            body,
            token,
            key: text_of(req.headers(), "idempotency-key").map(Into::into),
            deadline: millis_of(req.headers(), "x-deadline-ms"),
            class: text_of(req.headers(), "x-priority").and_then(|class| class.parse().ok()),
            undispatched,
        };
        self.driver.feed(Event::RequestReceived(Box::new(arrival)));
        waiting.answer().await
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
            return Err(not_run(RefusalKind::UnknownRequest, undispatched, detail).into());
        };
        let last_event = text_of(req.headers(), "last-event-id").and_then(|id| id.parse().ok());
        let (waiting, caller) = self.wait_for_answer();
        let resumption = ResumeRequest { caller, request, last_event, token };
        self.driver.feed(Event::ResumeRequested(resumption));
        waiting.answer().await
    }

    fn wait_for_answer(&self) -> (Waiting, CallerId) {
        let flow = Rc::new(Flow::default());
        let (caller, parts) = self.driver.add_caller(flow.clone());
        let guard = Guard { driver: self.driver.clone(), caller, is_done: false };
        (Waiting { parts, flow, guard }, caller)
    }

    async fn read_body(&self, req: &mut Request) -> Result<Bytes, (RefusalKind, String)> {
        let mut payload = req.take_payload();
        let mut room = Room { reading: self.reading.clone(), taken: 0 };
        let mut body = BytesMut::new();
        while let Some(chunk) = payload.next().await {
            let chunk = chunk.map_err(|error| {
                (RefusalKind::Malformed, format!("the body is malformed: {error}"))
            })?;
            if body.len() + chunk.len() > MAX_BODY_BYTES {
                let detail = format!("the body exceeds {MAX_BODY_BYTES} bytes");
                return Err((RefusalKind::Oversized, detail));
            }
            if !room.take(chunk.len()) {
                let detail = "too many bodies arrive at once";
                return Err((RefusalKind::Overload, detail.into()));
            }
            body.extend_from_slice(&chunk);
        }
        Ok(body.freeze())
    }
}

/// Counts the bytes of one body that is being read.
struct Room {
    reading: Rc<Cell<usize>>,
    taken: usize,
}

impl Room {
    fn take(&mut self, bytes: usize) -> bool {
        let reading = self.reading.get() + bytes;
        if reading > MAX_READING_BYTES {
            return false;
        }
        self.reading.set(reading);
        self.taken += bytes;
        true
    }
}

impl Drop for Room {
    fn drop(&mut self) {
        self.reading.set(self.reading.get() - self.taken);
    }
}

/// Tells the traffic part that a caller is gone, unless its answer has ended before.
struct Guard {
    driver: Rc<TrafficDriver>,
    caller: CallerId,
    is_done: bool,
}

impl Drop for Guard {
    fn drop(&mut self) {
        if !self.is_done {
            self.driver.caller_gone(self.caller);
        }
    }
}

/// A caller whose answer has not begun.
struct Waiting {
    parts: mpsc::UnboundedReceiver<Part>,
    flow: Rc<Flow>,
    /// Tells that the caller is gone when the answer is dropped.
    guard: Guard,
}

impl Waiting {
    async fn answer(mut self) -> Result<Response<BoxBody>, Box<Refusal>> {
        match self.parts.recv().await {
            Some(Part::Answer(request, head, body)) => {
                Ok(builder(&request, &head).body(body).map_into_boxed_body())
            }
            Some(Part::Head(request, head)) => {
                let mut builder = builder(&request, &head);
                let stream = self.into_stream(head.is_event_stream);
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

    fn into_stream(self, is_sse: bool) -> impl Stream<Item = Result<Bytes, std::io::Error>> {
        stream::unfold(Some(self), move |waiting| async move {
            let mut waiting = waiting?;
            let part = poll_fn(|cx| waiting.parts.poll_recv(cx)).await;
            match part {
                Some(Part::Chunk(bytes)) => {
                    waiting.flow.took(bytes.len());
                    Some((Ok(bytes), Some(waiting)))
                }
                Some(Part::Refusal(refusal)) if is_sse => Some((Ok(last_event(*refusal)), None)),
                Some(Part::End) => {
                    waiting.guard.is_done = true;
                    None
                }
                // The answer was begun and cannot be ended well, so the connection is cut.
                _ => Some((Err(std::io::Error::other("the answer was cut")), None)),
            }
        })
    }
}

/// Writes the event that ends a streamed answer which is not whole.
fn last_event(refusal: Refusal) -> Bytes {
    let name = match refusal.kind {
        RefusalKind::HandedOver | RefusalKind::ResumedElsewhere => "resume",
        _ => "error",
    };
    let retry = refusal.retry_after.map(|after| format!("retry: {}\n", after.as_millis()));
    let json = Problem::from(refusal).to_json();
    let json = String::from_utf8_lossy(&json);
    format!("{}event: {name}\ndata: {json}\n\n", retry.unwrap_or_default()).into()
}

fn builder(request: &RequestId, head: &Head) -> actix_http::ResponseBuilder {
    let status = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut builder = Response::build(status);
    for (name, value) in &head.headers {
        builder.append_header((&**name, &**value));
    }
    builder.insert_header(("x-request-id", request.as_str()));
    builder
}

fn not_run(kind: RefusalKind, undispatched: Undispatched, detail: String) -> Refusal {
    let refusal = Refusal::new(kind, RunOutcome::NotRun(undispatched.refuse()), detail);
    match kind {
        RefusalKind::Draining | RefusalKind::NotReady | RefusalKind::Overload => {
            refusal.with_retry_after(ROOM_RETRY)
        }
        _ => refusal,
    }
}

/// Returns the headers that are passed on.
pub fn passed_on(headers: &HeaderMap) -> Vec<Header> {
    let is_passed = |name: &str| !HOP_BY_HOP.contains(&name) && !REPLACED.contains(&name);
    headers
        .iter()
        .filter(|(name, _)| is_passed(name.as_str()))
        .map(|(name, value)| (name.as_str().into(), Bytes::copy_from_slice(value.as_bytes())))
        .collect()
}

/// Returns a header as text.
pub fn text_of<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn millis_of(headers: &HeaderMap, name: &str) -> Option<Duration> {
    text_of(headers, name)?.parse().ok().map(Duration::from_millis)
}

fn token_of(headers: &HeaderMap) -> Option<[u8; 32]> {
    let value = text_of(headers, header::AUTHORIZATION.as_str())?;
    let token = value.strip_prefix("Bearer ")?;
    Some(Sha256::digest(token.as_bytes()).into())
}
