//! What a shard is asked to write, and what it answers.

use std::time::Duration;

use crate::{
    claim::{ClaimId, StoredResponse},
    ids::{RequestId, ServiceName},
};

/// The longest key that a record holds as it is, in bytes; a longer one is kept by its hash.
pub const MAX_KEY_BYTES: usize = 256;
/// The largest body that is kept for repeated calls, in bytes.
pub const MAX_STORED_BODY_BYTES: usize = 4096;
/// The longest content type that is kept, in bytes.
const MAX_CONTENT_TYPE_BYTES: usize = 128;

/// One wish to change the record of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// The ask that the wish belongs to.
    pub id: ClaimId,
    /// The service of the key.
    pub service: ServiceName,
    /// The key.
    pub key: Box<str>,
    /// Tells a repeated call from another under the same key.
    pub digest: [u8; 32],
    /// The request that holds or wants the claim.
    pub request: RequestId,
    /// What is wished.
    pub item_operation: ItemOperation,
}

/// What an [`Item`] wishes for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ItemOperation {
    /// The claim itself.
    Claim,
    /// That the answer is kept with the claim.
    Store(StoredResponse),
    /// That the claim is released, as the call is proved not to have run and never will.
    Release,
}

/// What became of an [`Item`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ItemAnswer {
    /// The claim stands; its daemon may dispatch the call, once.
    Granted,
    /// The call ran before; this is its answer.
    Stored(StoredResponse),
    /// The call was dispatched before and its end is not known.
    Unresolved,
    /// The key was used for another call.
    OtherCall,
    /// The answer is kept, or the claim released.
    Done,
    /// Nothing could be decided.
    Failed {
        /// When asking again may help.
        retry_after: Duration,
        /// Whether the claim may stand nevertheless, now or later.
        may_take_effect: bool,
    },
}

/// Returns the key as records hold it.
pub fn record_key(key: &str) -> Box<str> {
    use sha2::{Digest as _, Sha256};

    if key.len() <= MAX_KEY_BYTES {
        return key.into();
    }
    format!("sha256:{}", hex::encode(Sha256::digest(key))).into()
}

/// Returns the answer as records hold it: without a body that is too large.
pub fn limit_size(mut response: StoredResponse) -> StoredResponse {
    if response.content_type.len() > MAX_CONTENT_TYPE_BYTES {
        response.content_type = "application/octet-stream".into();
        response.body = None;
    }
    if response.body.as_ref().is_some_and(|body| body.len() > MAX_STORED_BODY_BYTES) {
        response.body = None;
    }
    response
}
