//! The final answer to a request that got no whole answer.

use std::time::Duration;

use crate::{ids::RequestId, request::outcome::RunOutcome};

/// Why a request got no whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusalKind {
    /// The daemon does not know what is in force.
    NotReady,
    /// The daemon is shutting down.
    Draining,
    /// The caller is no known customer.
    UnknownCustomer,
    /// No route covers the path.
    UnknownRoute,
    /// No such request is held here.
    UnknownRequest,
    /// The request is malformed.
    Malformed,
    /// The body is larger than allowed.
    Oversized,
    /// The body did not arrive in time.
    SlowBody,
    /// The customer or the service has too much to do.
    Overload,
    /// No live upstream can take it.
    NoUpstream,
    /// The upstreams were too busy or could not be reached.
    UpstreamUnavailable,
    /// The upstreams failed.
    UpstreamFailed,
    /// The deadline has passed.
    DeadlineExceeded,
    /// The request has crashed the upstreams that ran it.
    PoisonRequest,
    /// No claim could be written.
    ClaimUnavailable,
    /// The call was dispatched before and its end is not known.
    ClaimUnresolved,
    /// The key was used for another call.
    KeyReused,
    /// Another daemon goes on with the request.
    HandedOver,
    /// The caller asked for the answer over another connection.
    ResumedElsewhere,
}

/// A refusal or failure, with what may be said about whether the request ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub kind: RefusalKind,
    /// What happened, for people.
    pub detail: Box<str>,
    /// Whether the request ran.
    pub outcome: RunOutcome,
    /// When asking again may help.
    pub retry_after: Option<Duration>,
    /// The request whose answer can be resumed at `/requests/{id}`.
    pub resume: Option<RequestId>,
}

impl Refusal {
    /// Makes a refusal.
    pub fn new(kind: RefusalKind, outcome: RunOutcome, detail: impl Into<Box<str>>) -> Self {
        Self { kind, detail: detail.into(), outcome, retry_after: None, resume: None }
    }

    /// Tells the caller when to ask again.
    #[must_use]
    pub fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    /// Tells the caller where the answer goes on.
    #[must_use]
    pub fn with_resume(mut self, request: RequestId) -> Self {
        self.resume = Some(request);
        self
    }
}
