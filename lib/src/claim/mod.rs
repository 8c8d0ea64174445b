//! Claims in the platform's store that give non-idempotent calls at-most-once execution.
//!
//! A traffic thread requests a claim before it dispatches such a call, and reports the outcome
//! afterwards. Only [`ClaimResponse::Granted`] permits the dispatch, and only one. See
//! `docs/design/claims.md`.

pub mod claims;
pub mod collect;
pub mod index;
pub mod item;
pub mod message;
pub mod page;
pub mod shard;
pub mod wire;

use std::time::Duration;

use bytes::Bytes;

use crate::ids::{DaemonId, Incarnation, RequestId, ServiceName};

/// A request for the right to dispatch a call once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    pub service: ServiceName,
    /// The caller's idempotency key, prefixed with the customer's name.
    pub key: Box<str>,
    /// The SHA-256 of method, path and body. It distinguishes a repeated call from a different call
    /// under the same key.
    pub digest: [u8; 32],
    pub request: RequestId,
}

/// The right to dispatch a call once.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ClaimTicket {
    pub service: ServiceName,
    pub key: Box<str>,
    /// The request that holds the claim.
    pub request: RequestId,
}

/// An upstream's response, as it is stored to answer repeated calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredResponse {
    /// The HTTP status code.
    pub status: u16,
    pub content_type: Box<str>,
    /// `None` if the body was too large to store.
    pub body: Option<Bytes>,
}

/// The response to a [`ClaimRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimResponse {
    /// The request may dispatch the call, once.
    Granted(ClaimTicket),
    /// The call ran before and this is its response.
    Stored(StoredResponse),
    /// The call was dispatched before and its outcome is unknown; it may have run.
    Unresolved,
    /// The key was used for a different call; this one did not run.
    OtherCall,
    /// No claim could be written; the call did not run.
    Unavailable {
        /// The time after which a retry may succeed.
        retry_after: Duration,
    },
}

/// How a claimed call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The upstream responded.
    Ran(StoredResponse),
    /// The upstream provably did not run the call, so the claim is released.
    NotRun,
    /// The call may have run.
    Unknown,
}

/// Identifies one claim request. No other request of any daemon ever has the same id.
///
/// The id is stored in the claim's record, so that a write whose answer was lost can be recognised.
/// The request id alone is not sufficient: callers choose it and may send it to two daemons.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ClaimId {
    /// The daemon that requests the claim. Only this daemon may dispatch the call.
    pub daemon: DaemonId,
    pub incarnation: Incarnation,
    /// The sequence number of the claim request within the daemon's incarnation.
    pub number: u64,
}
