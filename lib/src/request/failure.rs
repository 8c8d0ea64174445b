//! What is logged about attempts that failed and retries that were refused.

use std::{fmt, time::Duration};

use crate::{
    ids::{AttemptNumber, RequestId, UpstreamId},
    request::exchange::Cause,
};

/// An attempt that produced no complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FailedAttempt {
    pub request: RequestId,
    pub number: AttemptNumber,
    pub upstream: UpstreamId,
    /// Tells a silent upstream from one that broke the connection off.
    pub cause: Cause,
    /// The error, such as that of the socket.
    pub detail: Box<str>,
    /// The time since the last output of the attempt, or since its start.
    pub silent_for: Duration,
    /// Whether the response had begun.
    pub has_begun: bool,
}

/// A request that is not sent to another upstream after an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RefusedRetry {
    pub request: RequestId,
    pub reason: RetryRefusal,
    /// The time until the deadline of the request.
    pub time_left: Duration,
}

/// Why a request is not sent to another upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryRefusal {
    /// The request may be sent only once, or its response is being forwarded.
    NotRepeatable,
    /// The maximum number of attempts has been made.
    Attempts,
    /// The retry budget of the service is exhausted.
    Budget,
    /// No other upstream may be used.
    NoUpstream,
    /// The daemon is about to hand the request over to another one.
    Handover,
    /// The request, or a part of its prompt, crashes upstreams.
    Barred,
}

impl fmt::Display for RetryRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotRepeatable => "not-repeatable",
            Self::Attempts => "attempts",
            Self::Budget => "budget",
            Self::NoUpstream => "no-upstream",
            Self::Handover => "handover",
            Self::Barred => "barred",
        })
    }
}
