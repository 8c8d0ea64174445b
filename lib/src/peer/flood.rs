//! Deduplicates flooded messages, and keeps the recent ones for links that open later.

use std::{collections::VecDeque, time::Duration};

use indexmap::IndexSet;

use crate::{peer::message::Frame, units::Time};

/// The most message ids that are kept for deduplication.
const MAX_SEEN: usize = 16_384;
/// The most messages that are kept for links that open later.
const MAX_RECENT: usize = 128;
/// The retention time of messages for links that open later.
const RECENT_AGE: Duration = Duration::from_secs(30);

/// The flooded messages that a daemon has sent or received.
#[derive(Clone, Debug, Default)]
pub struct Floods {
    seen: IndexSet<u64>,
    order: VecDeque<u64>,
    recent: VecDeque<(Time, Frame)>,
}

impl Floods {
    /// Records a message; returns whether it is new.
    pub fn remember(&mut self, now: Time, id: u64, frame: &Frame) -> bool {
        if !self.seen.insert(id) {
            return false;
        }
        self.order.push_back(id);
        if self.order.len() > MAX_SEEN
            && let Some(oldest) = self.order.pop_front()
        {
            self.seen.swap_remove(&oldest);
        }
        self.recent.push_back((now, frame.clone()));
        if self.recent.len() > MAX_RECENT {
            self.recent.pop_front();
        }
        true
    }

    /// Returns the messages within the retention time, the oldest first.
    pub fn recent(&mut self, now: Time) -> impl Iterator<Item = &Frame> {
        self.recent.retain(|(at, _)| now.since(*at) <= RECENT_AGE);
        self.recent.iter().map(|(_, frame)| frame)
    }
}
