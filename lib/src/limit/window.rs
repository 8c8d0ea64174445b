//! The work that a thread may have outstanding at a service, learnt from the latency of answers.

use std::time::Duration;

use crate::units::Time;

/// The window before any answer has come.
const INITIAL_WINDOW: f64 = 64.0;
/// The smallest window.
const MIN_WINDOW: f64 = 4.0;
/// The largest window.
const MAX_WINDOW: f64 = 65_536.0;
/// The least time over which answers are gathered before the window changes.
const MIN_INTERVAL: Duration = Duration::from_millis(500);
/// The fewest answers that are gathered before the window changes.
const MIN_ANSWERS: u64 = 10;
/// The answers that may be late without the window shrinking, in 100.
const MAX_LATE_PERCENT: u64 = 5;
/// What remains of the window at least when answers are much too late.
const MIN_SHRINK_FACTOR: f64 = 0.25;
/// What remains of it at most when answers are late.
const MAX_SHRINK_FACTOR: f64 = 0.9;
/// What remains of the window of requests that make room for urgent ones.
const YIELD_FACTOR: f64 = 0.6;
/// What an interval adds to the window, once it has shrunk for the first time.
const GROWTH_PER_INTERVAL: f64 = 6.0;
/// By how much it is multiplied before.
const INITIAL_GROWTH_FACTOR: f64 = 1.5;
/// What remains of the window when an upstream had no room.
const REFUSAL_SHRINK_FACTOR: f64 = 0.8;
/// The part of the window that must have been in use for it to grow.
const MIN_USED_FRACTION: f64 = 0.5;
/// The time over which finished work is counted, for the time until there is room.
const RATE_INTERVAL: Duration = Duration::from_secs(1);

/// The window of one class at one service.
#[derive(Clone, Debug)]
pub struct Window {
    size: f64,
    has_shrunk: bool,
    interval_start: Time,
    answers: u64,
    late: u64,
    total_latency: Duration,
    most_outstanding: u64,
    last_refusal_shrink: Option<Time>,
    work_per_second: f64,
    rate_interval_start: Time,
    completed_work: u64,
}

impl Default for Window {
    fn default() -> Self {
        Self {
            size: INITIAL_WINDOW,
            has_shrunk: false,
            interval_start: Time(0),
            answers: 0,
            late: 0,
            total_latency: Duration::ZERO,
            most_outstanding: 0,
            last_refusal_shrink: None,
            work_per_second: 0.0,
            rate_interval_start: Time(0),
            completed_work: 0,
        }
    }
}

impl Window {
    /// Returns the work that may be outstanding.
    pub fn size(&self) -> u64 {
        self.size as u64
    }

    /// Says whether the window cannot shrink further.
    pub fn is_at_minimum(&self) -> bool {
        self.size <= MIN_WINDOW
    }

    /// Takes an answer that began after `latency`, while `outstanding` work was under way.
    ///
    /// At the end of an interval the window shrinks if more answers were late than the latency
    /// target allows, and else grows if it was in use; returns whether it shrank. Answers to
    /// requests from before the last change say nothing of it and are not counted.
    pub fn observe_latency(
        &mut self,
        now: Time,
        latency: Duration,
        allowed: Duration,
        outstanding: u64,
    ) -> bool {
        if now - latency < self.interval_start {
            return false;
        }
        self.answers += 1;
        self.late += u64::from(latency > allowed);
        self.total_latency += latency;
        self.most_outstanding = self.most_outstanding.max(outstanding);
        if now.since(self.interval_start) < MIN_INTERVAL || self.answers < MIN_ANSWERS {
            return false;
        }
        let must_shrink = self.late * 100 > self.answers * MAX_LATE_PERCENT;
        if must_shrink {
            // The wait grows with what is outstanding, so the ratio of times is that of windows.
            let mean = self.total_latency.as_secs_f64() / self.answers as f64;
            let factor = allowed.as_secs_f64() / mean.max(1e-6);
            self.shrink_to(factor.clamp(MIN_SHRINK_FACTOR, MAX_SHRINK_FACTOR));
        } else if self.may_grow(allowed) {
            let grown = if self.has_shrunk {
                self.size + GROWTH_PER_INTERVAL
            } else {
                self.size * INITIAL_GROWTH_FACTOR
            };
            self.size = grown.min(MAX_WINDOW);
        }
        self.interval_start = now;
        self.answers = 0;
        self.late = 0;
        self.total_latency = Duration::ZERO;
        self.most_outstanding = outstanding;
        must_shrink
    }

    /// Says whether the window was in use while answers began well in time.
    ///
    /// Between half of the allowed time and the whole the window stays as it is, so that it does
    /// not go beyond what upstreams can take before late answers tell.
    fn may_grow(&self, allowed: Duration) -> bool {
        let mean = self.total_latency / (self.answers as u32).max(1);
        mean * 2 <= allowed && self.most_outstanding as f64 >= self.size * MIN_USED_FRACTION
    }

    /// Takes that an upstream had no room; the window shrinks once in an interval.
    pub fn shrink_on_refusal(&mut self, now: Time) {
        if self.last_refusal_shrink.is_some_and(|at| now.since(at) < MIN_INTERVAL) {
            return;
        }
        self.last_refusal_shrink = Some(now);
        self.shrink_to(REFUSAL_SHRINK_FACTOR);
    }

    /// Shrinks the window to make room for requests of another class.
    pub fn yield_to_interactive(&mut self) {
        self.shrink_to(YIELD_FACTOR);
    }

    fn shrink_to(&mut self, factor: f64) {
        self.has_shrunk = true;
        self.size = (self.size * factor).max(MIN_WINDOW);
    }

    /// Counts work that has finished.
    pub fn record_completion(&mut self, now: Time, work: u64) {
        self.completed_work += work;
        let interval = now.since(self.rate_interval_start);
        if interval >= RATE_INTERVAL {
            self.work_per_second = self.completed_work as f64 / interval.as_secs_f64();
            self.completed_work = 0;
            self.rate_interval_start = now;
        }
    }

    /// Returns how long it may take until `outstanding` work has shrunk to the window.
    pub fn estimated_wait(&self, outstanding: u64) -> Duration {
        let excess = (outstanding as f64 - self.size).max(1.0);
        if self.work_per_second <= 0.0 {
            return RATE_INTERVAL;
        }
        Duration::from_secs_f64((excess / self.work_per_second).clamp(0.05, 3600.0))
    }
}
