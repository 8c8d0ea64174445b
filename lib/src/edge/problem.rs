//! Problem details (RFC 9457) that say whether the request ran.

use std::time::Duration;

use actix_http::{Response, StatusCode, body::BoxBody, header};
use serde::Serialize;

use crate::request::outcome::RunOutcome;

/// A refusal or failure as the caller gets it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The HTTP status.
    pub status: StatusCode,
    /// A short name that programs can rely on.
    pub code: &'static str,
    /// What happened, for people.
    pub detail: Box<str>,
    /// Whether the request ran.
    pub outcome: RunOutcome,
    /// When asking again may help.
    pub retry_after: Option<Duration>,
}

#[derive(Serialize)]
struct ProblemWire<'a> {
    #[serde(rename = "type")]
    kind: String,
    title: &'a str,
    status: u16,
    detail: &'a str,
    outcome: String,
}

impl Problem {
    /// Makes a refusal of a request that no upstream has seen.
    pub fn not_run(status: StatusCode, code: &'static str, detail: impl Into<Box<str>>) -> Self {
        let outcome = RunOutcome::NotRun;
        Self { status, code, detail: detail.into(), outcome, retry_after: None }
    }

    /// Tells the caller when to ask again.
    #[must_use]
    pub fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    /// Makes the HTTP response.
    pub fn into_response(self) -> Response<BoxBody> {
        let wire = ProblemWire {
            kind: format!("urn:dogwoodturn:problem:{}", self.code),
            title: self.code,
            status: self.status.as_u16(),
            detail: &self.detail,
            outcome: self.outcome.to_string(),
        };
        let body = serde_json::to_vec(&wire).expect("a problem is valid JSON");
        let mut builder = Response::build(self.status);
        builder.insert_header((header::CONTENT_TYPE, "application/problem+json"));
        if let Some(retry_after) = self.retry_after {
            let seconds = retry_after.as_secs_f64().ceil().max(1.0) as u64;
            builder.insert_header((header::RETRY_AFTER, seconds));
        }
        builder.body(body).map_into_boxed_body()
    }
}
