//! The operators' HTTP interface: health, readiness, metrics, status and supply. All but health and
//! readiness require the operators' token.

use std::{rc::Rc, sync::Arc};

use actix_http::{
    HttpMessage as _, Request, Response, StatusCode,
    body::BoxBody,
    header::{self, HeaderMap},
};
use arc_swap::ArcSwap;
use serde::Serialize;

use crate::{
    edge::problem::Problem,
    ids::{DaemonId, Generation},
    moves::report::MoveReport,
    node::snapshot::Snapshot,
};

/// Status of one daemon, as `/status` returns it.
#[derive(Clone, Debug, Serialize)]
pub struct StatusWire {
    pub ready: bool,
    /// Generation of the configuration that is in force.
    pub generation: Generation,
    /// Generation that every live daemon has reached, according to the messages received so far.
    pub everywhere: Generation,
    /// Daemons considered live, including this one.
    pub members: Vec<DaemonId>,
    /// Number of hosts in the host list.
    pub hosts: usize,
    pub moves: Vec<MoveReport>,
}

/// Handles the requests of operators to one daemon.
#[derive(Clone)]
pub struct OperatorHandler {
    snapshot: Arc<ArcSwap<Snapshot>>,
    token: Rc<str>,
    metrics: Rc<dyn Fn() -> String>,
}

impl OperatorHandler {
    /// Creates a handler; `token` is the operators' bearer token and `metrics` encodes the metrics.
    pub fn new(
        snapshot: Arc<ArcSwap<Snapshot>>,
        token: &str,
        metrics: Rc<dyn Fn() -> String>,
    ) -> Self {
        Self { snapshot, token: token.into(), metrics }
    }

    pub fn handle(&self, req: &Request) -> Response<BoxBody> {
        match req.path() {
            "/healthz" => text(StatusCode::OK, "ok\n"),
            "/readyz" if self.snapshot.load().is_ready() => text(StatusCode::OK, "ready\n"),
            "/readyz" => text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            _ if !self.is_operator(req.headers()) => {
                let detail = "present the operators' bearer token";
                Problem::not_run(StatusCode::UNAUTHORIZED, "unknown-operator", detail)
                    .into_response()
            }
            "/metrics" => text(StatusCode::OK, (self.metrics)()),
            "/status" => self.status(),
            "/supply" => json(&self.snapshot.load().supply[..]),
            path => {
                let detail = format!("there is no {path}");
                Problem::not_run(StatusCode::NOT_FOUND, "unknown-path", detail).into_response()
            }
        }
    }

    fn is_operator(&self, headers: &HeaderMap) -> bool {
        let value = headers.get(header::AUTHORIZATION).and_then(|value| value.to_str().ok());
        let token = value.and_then(|value| value.strip_prefix("Bearer "));
        token.is_some_and(|token| token == &*self.token)
    }

    fn status(&self) -> Response<BoxBody> {
        let snapshot = self.snapshot.load();
        let wire = StatusWire {
            ready: snapshot.is_ready(),
            generation: snapshot.generation,
            everywhere: snapshot.converged_generation,
            members: snapshot.members.iter().map(|member| member.daemon.clone()).collect(),
            hosts: snapshot.hosts.len(),
            moves: snapshot.moves.to_vec(),
        };
        json(&wire)
    }
}

fn json<T: Serialize + ?Sized>(value: &T) -> Response<BoxBody> {
    let body = serde_json::to_vec(value).expect("a wire type is valid JSON");
    let mut builder = Response::build(StatusCode::OK);
    builder.insert_header((header::CONTENT_TYPE, "application/json"));
    builder.body(body).map_into_boxed_body()
}

fn text(status: StatusCode, body: impl Into<String>) -> Response<BoxBody> {
    let mut builder = Response::build(status);
    builder.insert_header((header::CONTENT_TYPE, "text/plain; charset=utf-8"));
    builder.body(body.into()).map_into_boxed_body()
}
