//! Problem details (RFC 9457), extended by whether the request ran.

use std::time::Duration;

use actix_http::{Response, StatusCode, body::BoxBody, header};
use serde::Serialize;

use crate::request::{
    outcome::{NotRunProof, RunOutcome},
    refusal::{Refusal, RefusalKind},
};

/// A refusal or failure in the form that is sent to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    pub status: StatusCode,
    /// Stable identifier of the problem, for programs.
    pub code: &'static str,
    /// Human-readable explanation.
    pub detail: Box<str>,
    pub outcome: RunOutcome,
    /// Time after which a retry may succeed.
    pub retry_after: Option<Duration>,
    /// Path at which the response can be resumed, at any daemon.
    pub resume: Option<Box<str>>,
}

#[derive(Serialize)]
struct ProblemWire<'a> {
    #[serde(rename = "type")]
    kind: String,
    title: &'a str,
    status: u16,
    detail: &'a str,
    outcome: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    resume: Option<&'a str>,
}

impl Problem {
    /// Returns the refusal of a call that this daemon answers itself, such as an operator's.
    ///
    /// A caller's request is refused by a [`Refusal`] instead, whose outcome is derived from the
    /// states that the request has passed through.
    pub fn not_run(status: StatusCode, code: &'static str, detail: impl Into<Box<str>>) -> Self {
        let outcome = RunOutcome::NotRun(NotRunProof::not_routed());
        Self { status, code, detail: detail.into(), outcome, retry_after: None, resume: None }
    }

    /// Sets the time after which the caller may retry.
    #[must_use]
    pub fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    pub fn to_json(&self) -> Vec<u8> {
        let wire = ProblemWire {
            kind: format!("urn:dogwoodturn:problem:{}", self.code),
            title: self.code,
            status: self.status.as_u16(),
            detail: &self.detail,
            outcome: self.outcome.to_string(),
            resume: self.resume.as_deref(),
        };
        serde_json::to_vec(&wire).expect("a problem is valid JSON")
    }

    /// Returns an HTTP response with the problem as body; `Retry-After` is at least one second.
    pub fn into_response(self) -> Response<BoxBody> {
        let body = self.to_json();
        let mut builder = Response::build(self.status);
        builder.insert_header((header::CONTENT_TYPE, "application/problem+json"));
        if let Some(retry_after) = self.retry_after {
            let seconds = retry_after.as_secs_f64().ceil().max(1.0) as u64;
            builder.insert_header((header::RETRY_AFTER, seconds));
        }
        builder.body(body).map_into_boxed_body()
    }
}

impl From<Refusal> for Problem {
    fn from(refusal: Refusal) -> Self {
        let (status, code) = status_and_code(refusal.kind);
        Self {
            status,
            code,
            detail: refusal.detail,
            outcome: refusal.outcome,
            retry_after: refusal.retry_after,
            resume: refusal.resume.map(|request| format!("/requests/{request}").into()),
        }
    }
}

fn status_and_code(kind: RefusalKind) -> (StatusCode, &'static str) {
    match kind {
        RefusalKind::NotReady => (StatusCode::SERVICE_UNAVAILABLE, "not-ready"),
        RefusalKind::Draining => (StatusCode::SERVICE_UNAVAILABLE, "draining"),
        RefusalKind::UnknownCustomer => (StatusCode::UNAUTHORIZED, "unknown-customer"),
        RefusalKind::UnknownRoute => (StatusCode::NOT_FOUND, "unknown-route"),
        RefusalKind::UnknownRequest => (StatusCode::NOT_FOUND, "unknown-request"),
        RefusalKind::Malformed => (StatusCode::BAD_REQUEST, "malformed"),
        RefusalKind::Oversized => (StatusCode::PAYLOAD_TOO_LARGE, "oversized"),
        RefusalKind::SlowBody => (StatusCode::REQUEST_TIMEOUT, "slow-body"),
        RefusalKind::Overload => (StatusCode::TOO_MANY_REQUESTS, "overload"),
        RefusalKind::NoUpstream => (StatusCode::SERVICE_UNAVAILABLE, "no-upstream"),
        RefusalKind::UpstreamUnavailable => {
            (StatusCode::SERVICE_UNAVAILABLE, "upstream-unavailable")
        }
        RefusalKind::UpstreamFailed => (StatusCode::BAD_GATEWAY, "upstream-failed"),
        RefusalKind::DeadlineExceeded => (StatusCode::GATEWAY_TIMEOUT, "deadline-exceeded"),
        RefusalKind::PoisonRequest => (StatusCode::UNPROCESSABLE_ENTITY, "crashes-upstreams"),
        RefusalKind::ClaimUnavailable => (StatusCode::SERVICE_UNAVAILABLE, "claim-unavailable"),
        RefusalKind::ClaimUnresolved => (StatusCode::CONFLICT, "claim-unresolved"),
        RefusalKind::KeyReused => (StatusCode::UNPROCESSABLE_ENTITY, "key-reused"),
        RefusalKind::HandedOver => (StatusCode::SERVICE_UNAVAILABLE, "handed-over"),
        RefusalKind::ResumedElsewhere => (StatusCode::CONFLICT, "resumed-elsewhere"),
    }
}
