//! The JSON that an engine takes and gives.

use dogwoodturn::ids::FencingNumber;
use serde::{Deserialize, Serialize};

/// Asks for a completion.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CompletionWire {
    /// The text to go on from.
    pub prompt: String,
    /// How many tokens the whole answer has.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u64,
    /// Whether to stream the tokens as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// The order in which waiting requests begin; zero is the most urgent.
    #[serde(default)]
    pub priority: u8,
    /// Where to go on, if another engine has generated a part of the answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resume: Option<ResumeWire>,
}

fn default_max_tokens() -> u64 {
    16
}

/// The part of an answer that is there already.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ResumeWire {
    /// How many tokens it has.
    pub offset: u64,
    /// Its text.
    pub text: String,
}

/// What a request cost the engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// The tokens of the prompt.
    pub prompt_tokens: u64,
    /// The tokens of prompt and resumed text that the cache held.
    pub cached_tokens: u64,
    /// The tokens of prompt and resumed text that had to be computed.
    pub computed_tokens: u64,
    /// The tokens generated here.
    pub generated_tokens: u64,
}

/// Reports the load, as it was a while ago.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadWire {
    /// The requests in the batch.
    pub running: u64,
    /// The requests that wait for the batch.
    pub waiting: u64,
    /// The tokens of KV cache that requests hold.
    pub kv_tokens: u64,
    /// The tokens of KV cache that there is room for.
    pub kv_capacity: u64,
    /// How old the report is, in milliseconds.
    pub age_ms: u64,
}

/// Tells of a block of tokens that came into the cache or left it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEventWire {
    /// The hash of the prefix that ends with the block.
    pub prefix: u64,
    /// Whether it came or left.
    pub added: bool,
}

/// Answers a call for cache events.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEventsWire {
    /// Where the next call goes on.
    pub next: u64,
    /// Whether events between `after` and the first of `events` are lost.
    pub gap: bool,
    /// The events.
    pub events: Vec<CacheEventWire>,
}

/// An order to change what the engine does.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderWire {
    /// Makes the order idempotent.
    pub id: String,
    /// The fencing number of whoever gives it.
    pub fencing: FencingNumber,
    /// What to do.
    pub order: OrderKind,
}

/// What an order asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderKind {
    /// Load the weights of a version.
    LoadModel {
        /// The version.
        version: String,
    },
    /// Load an adapter.
    LoadAdapter {
        /// The adapter.
        adapter: String,
    },
    /// Change the role.
    SetRole {
        /// The role.
        role: String,
    },
}

/// Asks for the KV cache of a request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ExportWire {
    /// The name of the request at the engine.
    pub request: String,
}

/// The KV cache of a request; the stand-in keeps the hashes of its blocks in place of the cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvBlob {
    /// The hashes of the prefixes that end with each block.
    pub blocks: Vec<u64>,
}
