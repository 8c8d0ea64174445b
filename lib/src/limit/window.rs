//! The work that a thread may have outstanding at a service, learnt from the latency of answers.

use std::time::Duration;

use crate::units::Time;

/// The window before any answer has come.
const FIRST_WINDOW: f64 = 64.0;
/// The smallest window.
const SMALLEST_WINDOW: f64 = 4.0;
/// The largest window.
const LARGEST_WINDOW: f64 = 65_536.0;
/// The least time over which answers are gathered before the window changes.
const INTERVAL: Duration = Duration::from_millis(500);
/// The fewest answers that are gathered before the window changes.
const FEWEST_ANSWERS: u64 = 10;
/// The answers that may be late without the window shrinking, in 100.
const LATE_PERCENT: u64 = 5;
/// What remains of the window at least when answers are much too late.
const LEAST_SHRINK_TO: f64 = 0.25;
/// What remains of it at most when answers are late.
const MOST_SHRINK_TO: f64 = 0.9;
/// What remains of the window of requests that make room for urgent ones.
const MAKE_ROOM_TO: f64 = 0.6;
/// What an interval adds to the window, once it has shrunk for the first time.
const GROWTH: f64 = 6.0;
/// By how much it is multiplied before.
const FIRST_GROWTH: f64 = 1.5;
/// What remains of the window when an upstream had no room.
const REFUSED_SHRINK_TO: f64 = 0.8;
/// The part of the window that must have been in use for it to grow.
const GROW_ABOVE: f64 = 0.5;
/// The time over which finished work is counted, for the time until there is room.
const RATE_INTERVAL: Duration = Duration::from_secs(1);

/// The window of one class at one service.
#[derive(Clone, Debug)]
pub struct Window {
    size: f64,
    has_shrunk: bool,
    began: Time,
    answers: u64,
    late: u64,
    waited: Duration,
    most_outstanding: u64,
    refused_at: Option<Time>,
    rate: f64,
    counted_since: Time,
    counted: u64,
}

impl Default for Window {
    fn default() -> Self {
        Self {
            size: FIRST_WINDOW,
            has_shrunk: false,
            began: Time(0),
            answers: 0,
            late: 0,
            waited: Duration::ZERO,
            most_outstanding: 0,
            refused_at: None,
            rate: 0.0,
            counted_since: Time(0),
            counted: 0,
        }
    }
}

impl Window {
    /// Returns the work that may be outstanding.
    pub fn size(&self) -> u64 {
        self.size as u64
    }

    /// Says whether the window cannot shrink further.
    pub fn is_smallest(&self) -> bool {
        self.size <= SMALLEST_WINDOW
    }

    /// Takes an answer that began after `latency`, while `outstanding` work was under way.
    ///
    /// At the end of an interval the window shrinks if more answers were late than the latency
    /// target allows, and else grows if it was in use; returns whether it shrank. Answers to
    /// requests from before the last change say nothing of it and are not counted.
    pub fn answered(
        &mut self,
        now: Time,
        latency: Duration,
        allowed: Duration,
        outstanding: u64,
    ) -> bool {
        if now - latency < self.began {
            return false;
        }
        self.answers += 1;
        self.late += u64::from(latency > allowed);
        self.waited += latency;
        self.most_outstanding = self.most_outstanding.max(outstanding);
        if now.since(self.began) < INTERVAL || self.answers < FEWEST_ANSWERS {
            return false;
        }
        let shrinks = self.late * 100 > self.answers * LATE_PERCENT;
        if shrinks {
            // The wait grows with what is outstanding, so the ratio of times is that of windows.
            let mean = self.waited.as_secs_f64() / self.answers as f64;
            let part = allowed.as_secs_f64() / mean.max(1e-6);
            self.shrink_to(part.clamp(LEAST_SHRINK_TO, MOST_SHRINK_TO));
        } else if self.may_grow(allowed) {
            let grown = if self.has_shrunk { self.size + GROWTH } else { self.size * FIRST_GROWTH };
            self.size = grown.min(LARGEST_WINDOW);
        }
        self.began = now;
        self.answers = 0;
        self.late = 0;
        self.waited = Duration::ZERO;
        self.most_outstanding = outstanding;
        shrinks
    }

    /// Says whether the window was in use while answers began well in time.
    ///
    /// Between half of the allowed time and the whole the window stays as it is, so that it does
    /// not go beyond what upstreams can take before late answers tell.
    fn may_grow(&self, allowed: Duration) -> bool {
        let mean = self.waited / (self.answers as u32).max(1);
        mean * 2 <= allowed && self.most_outstanding as f64 >= self.size * GROW_ABOVE
    }

    /// Takes that an upstream had no room; the window shrinks once in an interval.
    pub fn refused(&mut self, now: Time) {
        if self.refused_at.is_some_and(|at| now.since(at) < INTERVAL) {
            return;
        }
        self.refused_at = Some(now);
        self.shrink_to(REFUSED_SHRINK_TO);
    }

    /// Shrinks the window to make room for requests of another class.
    pub fn make_room(&mut self) {
        self.shrink_to(MAKE_ROOM_TO);
    }

    fn shrink_to(&mut self, part: f64) {
        self.has_shrunk = true;
        self.size = (self.size * part).max(SMALLEST_WINDOW);
    }

    /// Counts work that has finished.
    pub fn finished(&mut self, now: Time, work: u64) {
        self.counted += work;
        let interval = now.since(self.counted_since);
        if interval >= RATE_INTERVAL {
            self.rate = self.counted as f64 / interval.as_secs_f64();
            self.counted = 0;
            self.counted_since = now;
        }
    }

    /// Returns how long it may take until `outstanding` work has shrunk to the window.
    pub fn time_until_room(&self, outstanding: u64) -> Duration {
        let excess = (outstanding as f64 - self.size).max(1.0);
        if self.rate <= 0.0 {
            return RATE_INTERVAL;
        }
        Duration::from_secs_f64((excess / self.rate).clamp(0.05, 3600.0))
    }
}
