//! Retains finished responses for callers that resume them.

use std::{collections::VecDeque, time::Duration};

use indexmap::IndexMap;

use crate::{
    ids::{CustomerName, RequestId},
    request::{completion::UsageWire, response_tokens::ResponseTokens},
    units::Time,
};

/// How long a finished response is retained.
pub const RESPONSE_RETENTION: Duration = Duration::from_mins(1);
/// The maximum size of the responses retained by one traffic thread, in bytes of text and token
/// offsets.
pub const MAX_RETAINED_BYTES: usize = 8 << 20;

/// A finished response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetainedResponse {
    /// The customer of the request; only it may read the response.
    pub customer: Option<CustomerName>,
    pub answer: ResponseTokens,
    /// The token counts reported by the engine.
    pub usage: Option<UsageWire>,
    /// Whether the caller requested server-sent events.
    pub stream: bool,
}

/// The finished responses of one traffic thread.
#[derive(Clone, Debug, Default)]
pub struct RetainedResponses {
    responses: IndexMap<RequestId, RetainedResponse>,
    oldest_first: VecDeque<(RequestId, Time)>,
    bytes: usize,
}

impl RetainedResponses {
    /// Stores a response, and evicts the oldest ones while [`MAX_RETAINED_BYTES`] is exceeded.
    pub fn store(&mut self, now: Time, request: RequestId, response: RetainedResponse) {
        self.expire(now);
        self.remove(&request);
        self.bytes += retained_bytes(&response);
        self.oldest_first.push_back((request.clone(), now + RESPONSE_RETENTION));
        self.responses.insert(request, response);
        while self.bytes > MAX_RETAINED_BYTES {
            self.remove_oldest();
        }
    }

    pub fn get(&self, request: &RequestId) -> Option<&RetainedResponse> {
        self.responses.get(request)
    }

    /// Removes the responses whose retention period is over.
    pub fn expire(&mut self, now: Time) {
        while self.oldest_first.front().is_some_and(|(_, until)| *until <= now) {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        if let Some((request, _)) = self.oldest_first.pop_front() {
            self.remove(&request);
        }
    }

    fn remove(&mut self, request: &RequestId) {
        if let Some(response) = self.responses.swap_remove(request) {
            self.bytes -= retained_bytes(&response);
        }
    }
}

fn retained_bytes(response: &RetainedResponse) -> usize {
    response.answer.held_bytes()
}
