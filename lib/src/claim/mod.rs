//! At most once: claims in the platform for calls that may not be repeated.
//!
//! A traffic thread asks for a claim before it dispatches such a call, and reports its end. Only
//! [`ClaimResponse::Granted`] permits the one dispatch. See `docs/design/claims.md`.

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

/// Asks for the right to dispatch a call once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// The service that the call goes to.
    pub service: ServiceName,
    /// The caller's idempotency key, prefixed by its customer.
    pub key: Box<str>,
    /// The SHA-256 of method, path and body, to tell a repeated call from another under one key.
    pub digest: [u8; 32],
    /// The request that asks.
    pub request: RequestId,
}

/// The right to dispatch a call once.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ClaimTicket {
    /// The service that the call goes to.
    pub service: ServiceName,
    /// The claimed key.
    pub key: Box<str>,
    /// The request that holds the claim.
    pub request: RequestId,
}

/// The answer of an upstream, as it is kept for repeated calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredResponse {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content_type: Box<str>,
    /// The body; `None` if it was too large to keep.
    pub body: Option<Bytes>,
}

/// The answer to a [`ClaimRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimResponse {
    /// The request may dispatch the call, once.
    Granted(ClaimTicket),
    /// The call ran before; this is its answer.
    Stored(StoredResponse),
    /// The call was dispatched before and its end is not known; it may have run.
    Unresolved,
    /// The key was used for another call; this one did not run.
    OtherCall,
    /// No claim could be written; the call did not run.
    Unavailable {
        /// When asking again may help.
        retry_after: Duration,
    },
}

/// How a claimed call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The upstream answered.
    Ran(StoredResponse),
    /// It is proved that the upstream did not run the call; the claim is released.
    NotRun,
    /// The call may have run.
    Unknown,
}

/// Names one ask for a claim; no other ask of any daemon ever has the same.
///
/// It stands in the claim's record, so that a write whose answer was lost is recognised. The
/// request's name alone would not do, as callers choose it and may send it to two daemons.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ClaimId {
    /// The daemon that asks, and alone may dispatch.
    pub daemon: DaemonId,
    /// Its run.
    pub incarnation: Incarnation,
    /// Counts the asks of the run.
    pub number: u64,
}
