//! Sends requests as one caller and checks the responses.

use std::time::{Duration, Instant};

use awc::{
    Client,
    error::{ConnectError, PayloadError, SendRequestError},
    http::{Method, StatusCode},
};
use bytes::{Bytes, BytesMut};
use dogwoodturn_standins::engine;
use futures_util::{Stream, StreamExt as _};
use serde_json::{Value, json};

const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);

/// The outcome of a request, with its latency.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TimedOutcome {
    pub outcome: CallerOutcome,
    pub time_to_first_byte: Option<Duration>,
}

/// The outcome of a request, as the caller sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerOutcome {
    /// The connection could not be established.
    ConnectFailed,
    /// The response was complete and correct.
    Completed,
    /// The response reports that the request did not run.
    NotRun,
    /// The response reports that the request may have run.
    MayHaveRun,
    /// Any other outcome: no response, or a truncated or wrong one.
    Failed(String),
}

/// A request that a caller sends.
#[derive(Clone, Debug)]
pub enum CallerRequest {
    /// A completion.
    Completion {
        path: String,
        prompt: String,
        max_tokens: u64,
        /// Whether the response is streamed.
        stream: bool,
    },
    /// A call without side effects.
    Read {
        /// The path of the route and any suffix.
        path: String,
    },
    /// A call that must not be repeated; it carries an idempotency key.
    Booking { path: String, key: String },
}

/// Sends one request to the daemon at `base` and checks the response.
pub async fn send_request(
    client: &Client,
    base: &str,
    token: &str,
    caller_request: &CallerRequest,
) -> CallerOutcome {
    send_timed_request(client, base, token, caller_request).await.outcome
}

/// Sends one request to the daemon at `base`, checks the response and returns when it began.
pub async fn send_timed_request(
    client: &Client,
    base: &str,
    token: &str,
    caller_request: &CallerRequest,
) -> TimedOutcome {
    let began = Instant::now();
    match caller_request {
        CallerRequest::Completion { path, prompt, max_tokens, stream } => {
            let url = format!("{base}{path}{}", engine::COMPLETIONS);
            let req = client.post(url).bearer_auth(token).timeout(RESPONSE_TIMEOUT);
            let body = json!({ "prompt": prompt, "max_tokens": max_tokens, "stream": stream });
            let expected: String = (0..*max_tokens).map(|i| engine::token(prompt, i)).collect();
            let check = |body: &[u8]| {
                let text = if *stream { streamed_text(body) } else { complete_text(body) };
                text.as_deref() == Some(&*expected)
            };
            check_response(req.send_json(&body).await, began, check).await
        }
        CallerRequest::Read { path } => {
            let req = client.get(format!("{base}{path}")).bearer_auth(token);
            let check = |body: &[u8]| {
                serde_json::from_slice::<Value>(body).is_ok_and(|v| v["path"] == path.as_str())
            };
            check_response(req.timeout(RESPONSE_TIMEOUT).send().await, began, check).await
        }
        CallerRequest::Booking { path, key } => {
            let req = client.request(Method::POST, format!("{base}{path}"));
            let req = req.bearer_auth(token).timeout(RESPONSE_TIMEOUT);
            let req = req.insert_header(("idempotency-key", key.as_str()));
            let check = |body: &[u8]| {
                serde_json::from_slice::<Value>(body).is_ok_and(|v| v["key"] == key.as_str())
            };
            check_response(req.send_body("{}").await, began, check).await
        }
    }
}

async fn check_response<S>(
    sent: Result<awc::ClientResponse<S>, SendRequestError>,
    began: Instant,
    is_correct: impl Fn(&[u8]) -> bool,
) -> TimedOutcome
where
    S: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
{
    let without_response = |outcome| TimedOutcome { outcome, time_to_first_byte: None };
    let mut res = match sent {
        Ok(res) => res,
        Err(SendRequestError::Connect(ConnectError::Io(_))) => {
            return without_response(CallerOutcome::ConnectFailed);
        }
        Err(error) => return without_response(CallerOutcome::Failed(error.to_string())),
    };
    let mut time_to_first_byte = None;
    let mut body = BytesMut::new();
    while let Some(chunk) = res.next().await {
        match chunk {
            Ok(chunk) => {
                time_to_first_byte.get_or_insert_with(|| began.elapsed());
                body.extend_from_slice(&chunk);
            }
            Err(error) => {
                return TimedOutcome {
                    outcome: CallerOutcome::Failed(error.to_string()),
                    time_to_first_byte,
                };
            }
        }
    }
    TimedOutcome { outcome: outcome_of(res.status(), &body, is_correct), time_to_first_byte }
}

fn outcome_of(
    status: StatusCode,
    body: &[u8],
    is_correct: impl Fn(&[u8]) -> bool,
) -> CallerOutcome {
    if status.is_success() {
        if is_correct(body) {
            return CallerOutcome::Completed;
        }
        return CallerOutcome::Failed("the response is wrong or truncated".into());
    }
    let problem: Value = serde_json::from_slice(body).unwrap_or_default();
    match problem["outcome"].as_str() {
        Some("not-run") => CallerOutcome::NotRun,
        Some("may-have-run") => CallerOutcome::MayHaveRun,
        _ => CallerOutcome::Failed(format!("status {status}")),
    }
}

fn complete_text(body: &[u8]) -> Option<String> {
    let value: Value = serde_json::from_slice(body).ok()?;
    Some(value["text"].as_str()?.to_owned())
}

fn streamed_text(body: &[u8]) -> Option<String> {
    let body = std::str::from_utf8(body).ok()?;
    let mut text = String::new();
    for line in body.lines() {
        let Some(data) = line.strip_prefix("data: ") else { continue };
        if data == "[DONE]" {
            return Some(text);
        }
        let value: Value = serde_json::from_str(data).ok()?;
        // The event before the last reports the usage and has no text.
        text.push_str(value["text"].as_str().unwrap_or(""));
    }
    None
}
