//! The completions request of callers and engines, and the events of its answer.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::{declaration::RequestClass, request::response_tokens::ResponseTokens};

/// The end of the path of every completions request.
pub const COMPLETIONS: &str = "/v1/completions";
/// The data of the event that ends an answer.
pub const DONE: &str = "[DONE]";
/// The tokens that an engine generates when the caller does not say.
const DEFAULT_MAX_TOKENS: u64 = 16;

/// A completions request; fields that it does not name are passed on as they are.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CompletionWire {
    /// The text to go on from.
    pub prompt: String,
    /// How many tokens to generate at most.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u64,
    /// Whether the caller wants server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// The order at the engine, 0 the most urgent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority: Option<u8>,
    /// The answer so far, which the engine goes on from.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resume: Option<ResumeWire>,
    /// Whatever else the caller asked for.
    #[serde(flatten)]
    pub others: Map<String, Value>,
}

fn default_max_tokens() -> u64 {
    DEFAULT_MAX_TOKENS
}

/// Where an engine goes on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResumeWire {
    /// How many tokens the answer has.
    pub offset: u64,
    /// Their text.
    pub text: String,
}

/// What an engine says it has computed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct UsageWire {
    /// The tokens of the prompt.
    pub prompt_tokens: u64,
    /// The tokens that a cache held.
    pub cached_tokens: u64,
    /// The tokens of prompt and resumed text that no cache held.
    pub computed_tokens: u64,
    /// The tokens generated.
    pub generated_tokens: u64,
}

/// The data of one event of an engine's answer.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct PieceWire {
    /// A token.
    #[serde(default)]
    pub text: Option<String>,
    /// What the engine has computed; it comes last.
    #[serde(default)]
    pub usage: Option<UsageWire>,
}

#[derive(Serialize)]
struct TokenWire<'a> {
    text: &'a str,
}

#[derive(Serialize)]
struct WholeWire<'a> {
    text: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<UsageWire>,
}

impl CompletionWire {
    /// Returns the body for an engine: streamed, and going on from the answer so far.
    pub fn for_engine(&self, class: RequestClass, answer: &ResponseTokens) -> Vec<u8> {
        let offset = answer.next_offset();
        let resume = (offset > 0).then(|| ResumeWire { offset, text: answer.text().to_owned() });
        let urgency = match class {
            RequestClass::Interactive => 1,
            RequestClass::Batch => 2,
        };
        // Resumed work goes before new work of any class.
        let priority = Some(if offset > 0 { 0 } else { urgency });
        let wire = Self { stream: true, priority, resume, ..self.clone() };
        serde_json::to_vec(&wire).expect("a completions request is valid JSON")
    }
}

/// Writes the event of one token.
pub fn write_token(buf: &mut Vec<u8>, offset: u64, token: &str) {
    buf.extend_from_slice(b"id: ");
    buf.extend_from_slice(offset.to_string().as_bytes());
    buf.extend_from_slice(b"\ndata: ");
    serde_json::to_writer(&mut *buf, &TokenWire { text: token }).expect("a token is valid JSON");
    buf.extend_from_slice(b"\n\n");
}

/// Writes the event that ends an answer.
pub fn write_done(buf: &mut Vec<u8>) {
    buf.extend_from_slice(b"data: [DONE]\n\n");
}

/// Returns the body of an answer that is not streamed.
pub fn whole_body(text: &str, usage: Option<UsageWire>) -> Vec<u8> {
    serde_json::to_vec(&WholeWire { text, usage }).expect("an answer is valid JSON")
}
