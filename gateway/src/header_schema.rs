//! Names and formats of the headers that the gateway reads and sets.
//!
//! A platform's adapter provides the schema; the gateway itself depends on no header names.

use std::fmt;

use dogwoodturn::{request::crash_evidence::PartId, upstream::speed::Pace};

/// Largest number of tokens that a prompt, a part of it or a response counts as; sums over all requests
/// in progress stay far from an overflow.
const MAX_TOKENS: u64 = 1 << 32;

/// The prompt as the headers of a request describe it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// The length of the prompt in tokens.
    pub input: u64,
    /// The maximum number of tokens in the response.
    pub output: u64,
    /// The parts of the prompt in order; the last part belongs to this request or its session.
    pub parts: Vec<PromptPart>,
}

impl Prompt {
    /// Limits the token counts that a caller stated to [`MAX_TOKENS`]; no engine has so much memory.
    #[must_use]
    pub fn limit_tokens(mut self) -> Self {
        let counts = self.parts.iter_mut().map(|part| &mut part.tokens);
        for tokens in counts.chain([&mut self.input, &mut self.output]) {
            *tokens = (*tokens).min(MAX_TOKENS);
        }
        self
    }

    /// Returns the parts that other requests may share: all but the last.
    pub fn shared_parts(&self) -> impl Iterator<Item = PartId> + Clone {
        let shared = self.parts.split_last().map_or(&[][..], |(_, shared)| shared);
        shared.iter().map(|part| PartId(part.id))
    }
}

impl fmt::Display for Prompt {
    /// Lists the IDs of the parts in hexadecimal, for logs.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, part) in self.parts.iter().enumerate() {
            write!(f, "{}{:x}", if index == 0 { "" } else { "," }, part.id)?;
        }
        Ok(())
    }
}

/// A part of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PromptPart {
    /// A hash of this part and all parts before it.
    pub id: u64,
    /// The length in tokens.
    pub tokens: u64,
}

/// The load that an upstream reports with a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that are running.
    pub running: u32,
    /// Requests in the queue.
    pub waiting: u32,
    /// Requests that can run concurrently.
    pub slots: u32,
    pub pace: ReportedPace,
}

/// The pace that an upstream reports with its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReportedPace {
    /// The upstream reports none.
    #[default]
    Absent,
    Valid(Pace),
    /// The value is no pace and is ignored.
    Malformed,
}

/// Header names and formats.
#[derive(Clone, Copy, Debug)]
pub struct HeaderSchema {
    /// The ID of a request; upstreams echo it.
    pub request_id: &'static str,
    /// Milliseconds that the caller, or the gateway, waits for a response.
    pub deadline_ms: &'static str,
    /// The caller's key, as a bearer token.
    pub authorization: &'static str,
    /// The customer that sent the request.
    pub customer: &'static str,
    /// The only upstream that may run the request.
    pub expected_upstream: &'static str,
    /// Present in a response if the upstream did not run the request.
    pub not_run: &'static str,
    /// Present in the responses of an upstream that leaves, with the value `1`.
    pub leaving: &'static str,
    /// The load of an upstream, in its responses.
    pub load: &'static str,
    /// The requests a second that an upstream takes from all daemons together, in its responses.
    pub rate_limit: &'static str,
    /// The rejections a second that an upstream survives, in its responses while it is brittle.
    pub brittle: &'static str,
    /// Milliseconds for which an upstream stays cold, in its responses.
    pub warm_up_ms: &'static str,
    /// The ID of the last event of a stream that the caller has.
    pub last_event: &'static str,
    /// The urgency of a request at an upstream, from 0 to 9.
    pub urgency: &'static str,
    /// Headers that only the gateway may set.
    pub reserved: &'static [&'static str],
    /// The path of the readiness probe.
    pub readiness_path: &'static [u8],
    /// Parses the description of the prompt from the headers.
    pub read_prompt: fn(&dogwoodturn::http::head::Headers) -> Prompt,
    /// Parses the load that an upstream reports.
    pub read_load: fn(&str) -> Option<LoadReport>,
}
