//! The wire format of completions requests and of their streamed responses.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::{declaration::RequestClass, request::response_tokens::ResponseTokens};

/// The path suffix of completions requests.
pub const COMPLETIONS: &str = "/v1/completions";
/// The data of the event that ends a response.
pub const DONE: &str = "[DONE]";
/// The maximum number of generated tokens if the caller does not set one.
const DEFAULT_MAX_TOKENS: u64 = 16;

/// A completions request; unknown fields are forwarded unchanged.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CompletionWire {
    /// The text to complete.
    pub prompt: String,
    /// The maximum number of tokens to generate.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u64,
    /// Whether the caller wants server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// The scheduling priority at the engine; 0 is the most urgent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority: Option<u8>,
    /// The partial response from which the engine resumes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resume: Option<ResumeWire>,
    /// All other fields of the request.
    #[serde(flatten)]
    pub others: Map<String, Value>,
}

fn default_max_tokens() -> u64 {
    DEFAULT_MAX_TOKENS
}

/// The point at which an engine resumes a response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResumeWire {
    /// The number of tokens already generated.
    pub offset: u64,
    /// The text of these tokens.
    pub text: String,
}

/// The token counts reported by an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct UsageWire {
    pub prompt_tokens: u64,
    /// The tokens found in a cache.
    pub cached_tokens: u64,
    /// The tokens of the prompt and the resumed text not found in a cache.
    pub computed_tokens: u64,
    pub generated_tokens: u64,
}

/// The data of one event of an engine's response.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct ResponseEventWire {
    /// The text of one token.
    #[serde(default)]
    pub text: Option<String>,
    /// The engine's token counts, sent after the last token.
    #[serde(default)]
    pub usage: Option<UsageWire>,
}

#[derive(Serialize)]
struct TokenWire<'a> {
    text: &'a str,
}

#[derive(Serialize)]
struct FullResponseWire<'a> {
    text: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<UsageWire>,
}

impl CompletionWire {
    /// Returns the request body for an engine, which streams and resumes from the partial response.
    pub fn for_engine(&self, class: RequestClass, answer: &ResponseTokens) -> Vec<u8> {
        let offset = answer.next_offset();
        let resume = (offset > 0).then(|| ResumeWire { offset, text: answer.text().to_owned() });
        let urgency = match class {
            RequestClass::Interactive => 1,
            RequestClass::Batch => 2,
        };
        // Resumed work takes precedence over new work of any class.
        let priority = Some(if offset > 0 { 0 } else { urgency });
        let wire = Self { stream: true, priority, resume, ..self.clone() };
        serde_json::to_vec(&wire).expect("a completions request is valid JSON")
    }
}

/// Appends the event of one token to `buf`.
pub fn write_token(buf: &mut Vec<u8>, offset: u64, token: &str) {
    buf.extend_from_slice(b"id: ");
    buf.extend_from_slice(offset.to_string().as_bytes());
    buf.extend_from_slice(b"\ndata: ");
    serde_json::to_writer(&mut *buf, &TokenWire { text: token }).expect("a token is valid JSON");
    buf.extend_from_slice(b"\n\n");
}

/// Appends the event that ends a response to `buf`.
pub fn write_done(buf: &mut Vec<u8>) {
    buf.extend_from_slice(b"data: [DONE]\n\n");
}

/// Returns the body of a response that is not streamed.
pub fn full_response_body(text: &str, usage: Option<UsageWire>) -> Vec<u8> {
    serde_json::to_vec(&FullResponseWire { text, usage }).expect("an answer is valid JSON")
}
