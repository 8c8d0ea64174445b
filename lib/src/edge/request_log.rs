//! Logs of requests whose attempts fail.

use crate::request::{
    exchange::Cause,
    failure::{FailedAttempt, RefusedRetry},
};

/// Logs why an attempt failed.
pub fn log_failed_attempt(attempt: &FailedAttempt) {
    let event = match attempt.cause {
        Cause::TimedOut => "silent",
        Cause::ConnectionLost => "broken",
        Cause::Unreachable => "unreachable",
        Cause::Isolated => "isolated",
        Cause::Refused { .. } => "not-run",
        Cause::Failed => "failed",
    };
    log::info!(
        event,
        request:% = attempt.request,
        attempt:% = attempt.number,
        upstream:% = attempt.upstream,
        silent_ms = attempt.silent_for.as_millis() as u64,
        begun = attempt.has_begun;
        "{}", attempt.detail
    );
}

/// Logs why a request is not sent to another upstream.
pub fn log_refused_retry(refusal: &RefusedRetry) {
    log::info!(
        event = "retry-refused",
        request:% = refusal.request,
        reason:% = refusal.reason,
        left_ms = refusal.time_left.as_millis() as u64;
        ""
    );
}
