//! Answers callers: finds the route, chooses an upstream, and passes the answer on.

use std::{cell::Cell, rc::Rc, sync::Arc, time::Duration};

use actix_http::{
    HttpMessage as _, Request, Response, StatusCode,
    body::{BodyStream, BoxBody},
    header::{self, HeaderMap},
};
use arc_swap::ArcSwap;
use awc::{Client, error::SendRequestError};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt as _;
use sha2::{Digest as _, Sha256};

use crate::{
    declaration::Route,
    edge::problem::Problem,
    node::snapshot::Snapshot,
    request::outcome::RunOutcome,
    upstream::{HostRecord, HostState},
};

/// The largest body of a request, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;
/// How long a caller may take to send the body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Headers that belong to one connection and are not passed on (RFC 9110, section 7.6.1).
const CONNECTION_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
];

/// The part of a traffic thread that answers callers.
#[derive(Clone)]
pub struct CallerEdge {
    snapshot: Arc<ArcSwap<Snapshot>>,
    client: Client,
    turn: Rc<Cell<usize>>,
}

impl CallerEdge {
    /// Makes the edge of one traffic thread.
    pub fn new(snapshot: Arc<ArcSwap<Snapshot>>) -> Self {
        let connector = awc::Connector::new().limit(0);
        let client = Client::builder()
            .connector(connector)
            .disable_timeout()
            .disable_redirects()
            .no_default_headers()
            .finish();
        Self { snapshot, client, turn: Rc::default() }
    }

    /// Answers one request.
    pub async fn handle(self, req: Request) -> Response<BoxBody> {
        match self.answer(req).await {
            Ok(res) => res,
            Err(problem) => problem.into_response(),
        }
    }

    async fn answer(&self, mut req: Request) -> Result<Response<BoxBody>, Problem> {
        let snapshot = self.snapshot.load_full();
        admit(&snapshot, req.headers())?;
        let route = snapshot.set.route_for(req.path()).ok_or_else(|| {
            let detail = format!("no route covers {}", req.path());
            Problem::not_run(StatusCode::NOT_FOUND, "unknown-route", detail)
        })?;
        let body = tokio::time::timeout(BODY_TIMEOUT, read_body(&mut req)).await;
        let body = body.unwrap_or_else(|_| {
            let detail = "the body did not arrive in time";
            Err(Problem::not_run(StatusCode::REQUEST_TIMEOUT, "slow-body", detail))
        })?;
        let upstream = self.choose(&snapshot, route)?;
        self.forward(&req, body, route, upstream).await
    }

    fn choose<'a>(&self, snapshot: &'a Snapshot, route: &Route) -> Result<&'a HostRecord, Problem> {
        let service = &snapshot.set.services[&route.service];
        let candidates: Vec<&HostRecord> = snapshot
            .hosts
            .iter()
            .filter(|host| host.service == service.name && host.version == service.version)
            .filter(|host| host.state == HostState::Live)
            .collect();
        let turn = self.turn.get();
        self.turn.set(turn.wrapping_add(1));
        candidates.get(turn % candidates.len().max(1)).copied().ok_or_else(|| {
            let detail = format!("service {} has no live upstream", service.name);
            Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "no-upstream", detail)
                .with_retry_after(Duration::from_secs(1))
        })
    }

    async fn forward(
        &self,
        req: &Request,
        body: Bytes,
        route: &Route,
        upstream: &HostRecord,
    ) -> Result<Response<BoxBody>, Problem> {
        let path = req.uri().path_and_query().map_or("/", |path| path.as_str());
        let url = format!("http://{}{path}", upstream.address);
        let mut sent = self.client.request(req.method().clone(), url).timeout(route.deadline);
        for (name, value) in req.headers() {
            if passes_on(name.as_str()) && name != header::HOST && name != header::AUTHORIZATION {
                sent = sent.append_header((name.clone(), value.clone()));
            }
        }
        let res = sent.send_body(body).await.map_err(|error| send_problem(&error))?;
        let mut builder = Response::build(res.status());
        for (name, value) in res.headers() {
            if passes_on(name.as_str()) {
                builder.append_header((name.clone(), value.clone()));
            }
        }
        let stream = res.map(|chunk| chunk.map_err(std::io::Error::other));
        Ok(builder.body(BodyStream::new(stream)).map_into_boxed_body())
    }
}

fn admit(snapshot: &Snapshot, headers: &HeaderMap) -> Result<(), Problem> {
    if !snapshot.ready() {
        let detail = "this daemon does not know what is in force";
        return Err(Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "not-ready", detail)
            .with_retry_after(Duration::from_secs(1)));
    }
    if snapshot.set.customers.is_empty() {
        return Ok(());
    }
    let token = headers
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "));
    let known = token.is_some_and(|token| {
        let digest: [u8; 32] = Sha256::digest(token.as_bytes()).into();
        snapshot.set.customer_with(&digest).is_some()
    });
    if known {
        return Ok(());
    }
    let detail = "present the bearer token of a customer";
    Err(Problem::not_run(StatusCode::UNAUTHORIZED, "unknown-customer", detail))
}

async fn read_body(req: &mut Request) -> Result<Bytes, Problem> {
    let mut payload = req.take_payload();
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|error| {
            let detail = format!("the body is malformed: {error}");
            Problem::not_run(StatusCode::BAD_REQUEST, "malformed-body", detail)
        })?;
        if body.len() + chunk.len() > MAX_BODY_BYTES {
            let detail = format!("the body exceeds {MAX_BODY_BYTES} bytes");
            return Err(Problem::not_run(StatusCode::PAYLOAD_TOO_LARGE, "oversized", detail));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

fn passes_on(name: &str) -> bool {
    !CONNECTION_HEADERS.contains(&name)
}

fn send_problem(error: &SendRequestError) -> Problem {
    let detail = error.to_string();
    match error {
        SendRequestError::Connect(_) => {
            Problem::not_run(StatusCode::BAD_GATEWAY, "upstream-unreachable", detail)
                .with_retry_after(Duration::from_secs(1))
        }
        _ => Problem {
            status: StatusCode::BAD_GATEWAY,
            code: "upstream-failed",
            detail: detail.into(),
            outcome: RunOutcome::MayHaveRun,
            retry_after: None,
        },
    }
}
