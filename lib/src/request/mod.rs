//! A request from admission to answer: attempts, resumption, handover and refusal.
//!
//! [`exchange::Exchange`] follows one request. It numbers the attempts and takes the pieces of an
//! answer only from the attempt that counts; [`response_tokens::ResponseTokens`] puts them in order by offset; and
//! [`outcome`] decides by types what a refusal may say about whether the request ran. See
//! `docs/design/requests.md`.

pub mod completion;
pub mod exchange;
pub mod message;
pub mod outcome;
pub mod poison;
pub mod refusal;
pub mod request_id;
pub mod response_tokens;
pub mod retained;
pub mod sse;

use crate::ids::AttemptNumber;

/// Tells the exchanges of one traffic thread apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ExchangeId(pub u64);

/// Tells the callers' connections of one traffic thread apart; each waits for one answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallerId(pub u64);

/// One attempt of one exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId {
    /// The exchange.
    pub exchange: ExchangeId,
    /// The attempt, counted from 1.
    pub number: AttemptNumber,
}
