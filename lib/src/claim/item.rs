//! Items: the changes to records that a shard is requested to write, and its answers.

use std::time::Duration;

use crate::{
    claim::{ClaimId, StoredResponse},
    ids::{RequestId, ServiceName},
};

/// The longest key that a record stores verbatim. A longer key is stored as its hash.
pub const MAX_KEY_BYTES: usize = 256;
/// The largest response body that is stored for repeated calls.
pub const MAX_STORED_BODY_BYTES: usize = 4096;
/// The longest content type that is stored.
const MAX_CONTENT_TYPE_BYTES: usize = 128;

/// A requested change to the record of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// The claim request that the item belongs to.
    pub id: ClaimId,
    pub service: ServiceName,
    /// The key as records store it, see [`record_key`].
    pub key: Box<str>,
    /// Distinguishes a repeated call from a different call under the same key.
    pub digest: [u8; 32],
    /// The request that holds or requests the claim.
    pub request: RequestId,
    pub operation: ItemOperation,
}

/// The change that an [`Item`] requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ItemOperation {
    /// Writes the claim.
    Claim,
    /// Stores the upstream's response with the claim.
    Store(StoredResponse),
    /// Releases the claim of a call that provably has not run and never will.
    Release,
}

/// The result of an [`Item`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ItemAnswer {
    /// The claim is recorded; its daemon may dispatch the call once.
    Granted,
    /// The call ran before and this is its response.
    Stored(StoredResponse),
    /// The call was dispatched before and its outcome is unknown.
    Unresolved,
    /// The key was used for a different call.
    OtherCall,
    /// The store or release operation is settled; nothing further needs to be written for it.
    Done,
    /// The item could not be decided.
    Failed {
        /// The time after which a retry may succeed.
        retry_after: Duration,
        /// Whether a write of the claim may already have taken effect or may still do so.
        may_take_effect: bool,
    },
}

/// Returns the key as records store it: verbatim up to [`MAX_KEY_BYTES`], else its SHA-256.
pub fn record_key(key: &str) -> Box<str> {
    use sha2::{Digest as _, Sha256};

    if key.len() <= MAX_KEY_BYTES {
        return key.into();
    }
    format!("sha256:{}", hex::encode(Sha256::digest(key))).into()
}

/// Returns the response as records store it: without the body if the body or the content type
/// exceeds its limit.
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
