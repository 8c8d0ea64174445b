//! The refusal of a request that got no complete response.

use std::time::Duration;

use crate::{ids::RequestId, request::outcome::RunOutcome};

/// Why a request got no complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusalKind {
    /// The daemon does not know the active configuration.
    NotReady,
    /// The daemon is shutting down.
    Draining,
    /// The caller is not a known customer.
    UnknownCustomer,
    /// No route covers the path.
    UnknownRoute,
    /// No daemon holds the request to be resumed.
    UnknownRequest,
    /// The request is malformed.
    Malformed,
    /// The body is larger than allowed.
    Oversized,
    /// The body did not arrive in time.
    SlowBody,
    /// The customer or the service is overloaded.
    Overload,
    /// No live upstream is available.
    NoUpstream,
    /// The upstreams were too busy or unreachable.
    UpstreamUnavailable,
    /// The upstreams failed.
    UpstreamFailed,
    /// The deadline has passed.
    DeadlineExceeded,
    /// The request has crashed the upstreams that ran it.
    PoisonRequest,
    /// No claim could be written.
    ClaimUnavailable,
    /// The call was dispatched before and its outcome is unknown.
    ClaimUnresolved,
    /// The idempotency key was used for another call.
    KeyReused,
    /// Another daemon continues the request.
    HandedOver,
    /// The caller resumed the response over another connection, or no caller waits for it.
    ResumedElsewhere,
}

/// A refusal or failure, with what is known about whether the request ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    pub kind: RefusalKind,
    /// A description for humans.
    pub detail: Box<str>,
    /// Whether the request ran.
    pub outcome: RunOutcome,
    /// The time after which a retry may succeed.
    pub retry_after: Option<Duration>,
    /// The request whose response can be resumed at `/requests/{id}`.
    pub resume: Option<RequestId>,
}

impl Refusal {
    pub fn new(kind: RefusalKind, outcome: RunOutcome, detail: impl Into<Box<str>>) -> Self {
        Self { kind, detail: detail.into(), outcome, retry_after: None, resume: None }
    }

    /// Sets the time after which the caller may retry.
    #[must_use]
    pub fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    /// Sets the request whose response the caller can resume.
    #[must_use]
    pub fn with_resume(mut self, request: RequestId) -> Self {
        self.resume = Some(request);
        self
    }
}
