//! A request from admission to response: attempts, resumption, handover and refusal.
//!
//! [`exchange::Exchange`] tracks one request. It numbers the attempts and accepts parts of the
//! response only from the current one. [`response_tokens::ResponseTokens`] orders the parts by
//! offset. [`outcome`] ensures by types that a refusal states only what is proved about whether the
//! request ran. See `docs/design/requests.md`.

pub mod completion;
pub mod crash_evidence;
pub mod exchange;
pub mod failure;
pub mod message;
pub mod outcome;
pub mod poison;
pub mod refusal;
pub mod request_id;
pub mod response_tokens;
pub mod retained;
pub mod sse;

use crate::ids::AttemptNumber;

/// The id of an exchange, unique within a traffic thread.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ExchangeId(pub u64);

/// The id of a caller that waits for one response, unique within a traffic thread.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallerId(pub u64);

/// The id of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId {
    pub exchange: ExchangeId,
    /// The number of the attempt within its exchange, counted from 1, or from the number set by a
    /// handover.
    pub number: AttemptNumber,
}
