//! Messages between daemons about requests.
//!
//! A daemon that receives a resume request for a response that it does not hold fetches it from the
//! one that does, and one that shuts down hands its requests over to a peer. A fetch is repeated
//! until the response is complete. Each part carries its offset, so that repeated or late parts are
//! harmless.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    declaration::{RequestClass, wire::WireError},
    ids::{CustomerName, RequestId, RouteName, ServiceName},
    limit::upstream,
    request::{
        CallerId,
        completion::{CompletionWire, UsageWire},
        crash_evidence,
        poison::Digest,
    },
};

/// The receiver of a fetched response: a caller at a traffic thread of the fetching daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct FetchId {
    pub thread: u16,
    pub caller: CallerId,
}

/// Fetches the response of a request, starting at an offset.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fetch {
    pub id: FetchId,
    pub request: RequestId,
    /// The customer of the caller that resumes.
    pub customer: Option<CustomerName>,
    /// The offset of the first requested token.
    pub next: u64,
}

/// A part of a fetched response.
#[derive(Clone, Debug, PartialEq)]
pub struct FetchResponse {
    pub id: FetchId,
    pub request: RequestId,
    /// Whether the caller requested server-sent events.
    pub stream: bool,
    pub offset: u64,
    pub tokens: Vec<Box<str>>,
    /// How the response ends after these tokens; `None` if more follow.
    pub end: Option<FetchEnd>,
}

/// How a fetched response ends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FetchEnd {
    /// The response is complete.
    #[serde(rename = "w")]
    Complete(Option<UsageWire>),
    /// The daemon does not hold the request.
    #[serde(rename = "u")]
    Unknown,
    /// The request has failed for this reason; it may have run.
    #[serde(rename = "f")]
    Failed(Box<str>),
}

/// A request that is handed over, with its partial response.
#[derive(Clone, Debug, PartialEq)]
pub struct Handover {
    pub request: RequestId,
    pub customer: Option<CustomerName>,
    pub route: RouteName,
    pub service: ServiceName,
    pub class: RequestClass,
    /// Path and query.
    pub path: Box<str>,
    pub completion: CompletionWire,
    /// The digest of service, method, path and body.
    pub digest: Digest,
    /// The time left until the deadline of the request.
    pub time_left: Duration,
    /// The attempt number from which the receiver continues to count.
    pub attempts_before: u64,
    /// The tokens of the partial response.
    pub tokens: Vec<Box<str>>,
}

/// A message about requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// A request has crashed upstreams and is refused; sent to every daemon.
    Poison {
        digest: Digest,
        /// How long it is refused.
        refused_for: Duration,
    },
    /// Evidence against requests and prompts that crash upstreams; sent to every daemon.
    CrashEvidence(Box<crash_evidence::Report>),
    /// The limits that upstreams name; sent to every daemon.
    UpstreamLimits(Vec<upstream::Report>),
    /// See [`Fetch`].
    Fetch(Fetch),
    /// See [`FetchResponse`].
    FetchResponse(FetchResponse),
    /// See [`Handover`]; the reply is [`Message::HandOverReply`].
    HandOver(Box<Handover>),
    /// The reply to the offer of a handover.
    HandOverReply {
        request: RequestId,
        /// Whether the daemon holds the request from now on.
        accepted: bool,
    },
}

impl Message {
    /// Returns the request if the message has to reach the traffic thread that holds it.
    pub fn held_request(&self) -> Option<&RequestId> {
        match self {
            Self::Fetch(fetch) => Some(&fetch.request),
            Self::HandOver(handover) => Some(&handover.request),
            Self::HandOverReply { request, .. } => Some(request),
            Self::Poison { .. }
            | Self::CrashEvidence(_)
            | Self::UpstreamLimits(_)
            | Self::FetchResponse(_) => None,
        }
    }
}

/// The wire format of a [`Handover`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HandoverWire {
    #[serde(rename = "i")]
    request: RequestId,
    #[serde(rename = "c")]
    customer: Option<CustomerName>,
    #[serde(rename = "r")]
    route: RouteName,
    #[serde(rename = "s")]
    service: ServiceName,
    #[serde(rename = "u")]
    is_interactive: bool,
    #[serde(rename = "p")]
    path: Box<str>,
    #[serde(rename = "q")]
    completion: CompletionWire,
    #[serde(rename = "d", with = "serde_bytes")]
    digest: Digest,
    #[serde(rename = "l")]
    left_ms: u64,
    #[serde(rename = "n")]
    attempts_before: u64,
    #[serde(rename = "t")]
    tokens: Vec<Box<str>>,
}

/// The wire format of a [`Message`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum MessageWire {
    /// See [`Message::Poison`]; the time is in milliseconds.
    #[serde(rename = "x")]
    Poison(#[serde(with = "serde_bytes")] Digest, u64),
    /// See [`Message::CrashEvidence`].
    #[serde(rename = "e")]
    CrashEvidence(Box<crash_evidence::ReportWire>),
    /// See [`Message::UpstreamLimits`].
    #[serde(rename = "l")]
    UpstreamLimits(Vec<upstream::ReportWire>),
    /// See [`Message::Fetch`]: thread, caller, request, customer and offset.
    #[serde(rename = "f")]
    Fetch(u16, u64, RequestId, Option<CustomerName>, u64),
    /// See [`Message::FetchResponse`]: thread, caller, request, streaming, offset, tokens and end.
    #[serde(rename = "p")]
    FetchResponse(u16, u64, RequestId, bool, u64, Vec<Box<str>>, Option<FetchEnd>),
    /// See [`Message::HandOver`].
    #[serde(rename = "h")]
    HandOver(Box<HandoverWire>),
    /// See [`Message::HandOverReply`].
    #[serde(rename = "t")]
    HandOverReply(RequestId, bool),
}

impl From<Handover> for HandoverWire {
    fn from(handover: Handover) -> Self {
        Self {
            request: handover.request,
            customer: handover.customer,
            route: handover.route,
            service: handover.service,
            is_interactive: handover.class == RequestClass::Interactive,
            path: handover.path,
            completion: handover.completion,
            digest: handover.digest,
            left_ms: handover.time_left.as_millis() as u64,
            attempts_before: handover.attempts_before,
            tokens: handover.tokens,
        }
    }
}

impl From<HandoverWire> for Handover {
    fn from(wire: HandoverWire) -> Self {
        let class =
            if wire.is_interactive { RequestClass::Interactive } else { RequestClass::Batch };
        Self {
            request: wire.request,
            customer: wire.customer,
            route: wire.route,
            service: wire.service,
            class,
            path: wire.path,
            completion: wire.completion,
            digest: wire.digest,
            time_left: Duration::from_millis(wire.left_ms),
            attempts_before: wire.attempts_before,
            tokens: wire.tokens,
        }
    }
}

impl From<Message> for MessageWire {
    fn from(message: Message) -> Self {
        match message {
            Message::Poison { digest, refused_for } => {
                Self::Poison(digest, refused_for.as_millis() as u64)
            }
            Message::CrashEvidence(report) => Self::CrashEvidence(Box::new((*report).into())),
            Message::UpstreamLimits(reports) => {
                Self::UpstreamLimits(reports.into_iter().map(Into::into).collect())
            }
            Message::Fetch(Fetch { id, request, customer, next }) => {
                Self::Fetch(id.thread, id.caller.0, request, customer, next)
            }
            Message::FetchResponse(FetchResponse { id, request, stream, offset, tokens, end }) => {
                Self::FetchResponse(id.thread, id.caller.0, request, stream, offset, tokens, end)
            }
            Message::HandOver(handover) => Self::HandOver(Box::new((*handover).into())),
            Message::HandOverReply { request, accepted } => Self::HandOverReply(request, accepted),
        }
    }
}

impl TryFrom<MessageWire> for Message {
    type Error = WireError;

    fn try_from(wire: MessageWire) -> Result<Self, WireError> {
        let id = |thread, caller| FetchId { thread, caller: CallerId(caller) };
        Ok(match wire {
            MessageWire::Poison(digest, ms) => {
                Self::Poison { digest, refused_for: Duration::from_millis(ms) }
            }
            MessageWire::CrashEvidence(wire) => Self::CrashEvidence(Box::new((*wire).into())),
            MessageWire::UpstreamLimits(reports) => {
                Self::UpstreamLimits(reports.into_iter().map(Into::into).collect())
            }
            MessageWire::Fetch(thread, caller, request, customer, next) => {
                Self::Fetch(Fetch { id: id(thread, caller), request, customer, next })
            }
            MessageWire::FetchResponse(thread, caller, request, stream, offset, tokens, end) => {
                let id = id(thread, caller);
                Self::FetchResponse(FetchResponse { id, request, stream, offset, tokens, end })
            }
            MessageWire::HandOver(wire) => Self::HandOver(Box::new((*wire).into())),
            MessageWire::HandOverReply(request, accepted) => {
                Self::HandOverReply { request, accepted }
            }
        })
    }
}
