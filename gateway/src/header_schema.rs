//! How callers and upstreams spell the headers that the gateway reads and sets.
//!
//! A platform's adapter fills this in; the gateway works with the meanings.

/// What a request says of its prompt.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// The tokens of the prompt.
    pub input: u64,
    /// The most tokens that the answer may have.
    pub output: u64,
    /// The parts of the prompt in order; the last belongs to this request or its session.
    pub parts: Vec<PromptPart>,
}

/// A part of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PromptPart {
    /// A hash of the part and of all before it.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u64,
}

/// What an upstream tells of its load with an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that it works on.
    pub running: u32,
    /// Requests that wait in its queue.
    pub waiting: u32,
    /// Requests that it can work on at once.
    pub slots: u32,
}

/// Header names and formats.
#[derive(Clone, Copy, Debug)]
pub struct HeaderSchema {
    /// Identifies one request of a caller; upstreams echo it.
    pub request_id: &'static str,
    /// Milliseconds that the caller, or the gateway, waits for an answer.
    pub deadline_ms: &'static str,
    /// The key of a caller, as the value that follows `Bearer`.
    pub authorization: &'static str,
    /// Tells an upstream whose request it is.
    pub customer: &'static str,
    /// Names the only upstream that may run the request.
    pub expected_upstream: &'static str,
    /// States that an upstream did not run the request.
    pub not_run: &'static str,
    /// An upstream's load.
    pub load: &'static str,
    /// The last event of a stream that the caller has.
    pub last_event: &'static str,
    /// The urgency that an upstream gives a request, from 0 to 9.
    pub urgency: &'static str,
    /// Headers that only the gateway may set.
    pub reserved: &'static [&'static str],
    /// The path of the readiness probe.
    pub readiness_path: &'static [u8],
    /// Reads the prompt from the values of its headers.
    pub read_prompt: fn(&crate::http::head::Headers) -> Prompt,
    /// Reads the load that an upstream tells.
    pub read_load: fn(&str) -> Option<LoadReport>,
}
