//! Keeps finished answers for callers that come back for them.

use std::{collections::VecDeque, time::Duration};

use indexmap::IndexMap;

use crate::{
    ids::{CustomerName, RequestId},
    request::{completion::UsageWire, response_tokens::ResponseTokens},
    units::Time,
};

/// How long a finished answer is kept.
pub const RESPONSE_RETENTION: Duration = Duration::from_mins(1);
/// The most bytes of text that one traffic thread keeps.
pub const MAX_RETAINED_BYTES: usize = 8 << 20;

/// A finished answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetainedResponse {
    /// The customer that asked; only it may read the answer.
    pub customer: Option<CustomerName>,
    /// The answer.
    pub answer: ResponseTokens,
    /// What the engine has computed.
    pub usage: Option<UsageWire>,
    /// Whether the caller wants server-sent events.
    pub stream: bool,
}

/// The finished answers of one traffic thread.
#[derive(Clone, Debug, Default)]
pub struct RetainedResponses {
    answers: IndexMap<RequestId, RetainedResponse>,
    oldest_first: VecDeque<(RequestId, Time)>,
    bytes: usize,
}

impl RetainedResponses {
    /// Keeps an answer; the oldest go when there is no room.
    pub fn keep(&mut self, now: Time, request: RequestId, kept: RetainedResponse) {
        self.expire(now);
        self.remove(&request);
        self.bytes += size_of(&kept);
        self.oldest_first.push_back((request.clone(), now + RESPONSE_RETENTION));
        self.answers.insert(request, kept);
        while self.bytes > MAX_RETAINED_BYTES {
            self.remove_oldest();
        }
    }

    /// Returns a kept answer.
    pub fn get(&self, request: &RequestId) -> Option<&RetainedResponse> {
        self.answers.get(request)
    }

    /// Drops the answers whose time is over.
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
        if let Some(kept) = self.answers.swap_remove(request) {
            self.bytes -= size_of(&kept);
        }
    }
}

fn size_of(kept: &RetainedResponse) -> usize {
    // Each token adds the offset of its end, four bytes, to its text.
    kept.answer.text().len() + 4 * kept.answer.next_offset() as usize
}
