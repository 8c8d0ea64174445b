//! JSON types of the engine's HTTP interface.

use dogwoodturn::ids::FencingNumber;
use serde::{Deserialize, Serialize};

/// A completion request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CompletionWire {
    /// The text to continue.
    pub prompt: String,
    /// Number of tokens of the complete response.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u64,
    /// Whether to stream the tokens as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Requests with lower values start earlier; zero is the most urgent.
    #[serde(default)]
    pub priority: u8,
    /// Where to resume, if another engine has generated a part of the response.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resume: Option<ResumeWire>,
}

fn default_max_tokens() -> u64 {
    16
}

/// The part of a response that another engine has generated.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ResumeWire {
    /// Number of tokens of that part.
    pub offset: u64,
    pub text: String,
}

/// Token counts of one request at the engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of prompt and resumed text that were in the cache.
    pub cached_tokens: u64,
    /// Tokens of prompt and resumed text that were computed.
    pub computed_tokens: u64,
    /// Tokens that this engine generated.
    pub generated_tokens: u64,
}

/// A load report, which may be out of date by `age_ms`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadWire {
    /// Requests in the batch.
    pub running: u64,
    /// Requests that wait for the batch.
    pub waiting: u64,
    /// Tokens of KV cache that running requests hold.
    pub kv_tokens: u64,
    /// Capacity of the KV cache, in tokens.
    pub kv_capacity: u64,
    /// Age of the report, in milliseconds.
    pub age_ms: u64,
}

/// Reports that a block of tokens was added to the cache or evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEventWire {
    /// The hash of the prefix that ends with the block.
    pub prefix: u64,
    /// Whether the block was added (`true`) or evicted (`false`).
    pub added: bool,
}

/// Response to a request for cache events.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEventsWire {
    /// Value of `after` for the next request.
    pub next: u64,
    /// Whether events between `after` and the first of `events` are lost.
    pub gap: bool,
    pub events: Vec<CacheEventWire>,
}

/// An order to change what the engine does.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderWire {
    /// Idempotency key: an order with the ID of an earlier one is not applied again.
    pub id: String,
    /// Fencing number of the sender; an order with a stale number is refused.
    pub fencing: FencingNumber,
    pub order: OrderKind,
}

/// The change that an order requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderKind {
    /// Load the weights of a version.
    LoadModel { version: String },
    /// Load an adapter.
    LoadAdapter { adapter: String },
    /// Change the role.
    SetRole { role: String },
}

/// Requests the KV cache of a request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ExportWire {
    /// The request ID at the engine.
    pub request: String,
}

/// The KV cache of a request; the stand-in keeps the hashes of the blocks instead of their content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvBlob {
    /// Hash of the prefix that ends with each block.
    pub blocks: Vec<u64>,
}
