//! The work that a thread may have outstanding at a service, learnt from the latency of answers.

use std::time::Duration;

use crate::units::Time;

/// The window before any answer has come.
const FIRST_WINDOW: u64 = 64;
/// The smallest window.
const SMALLEST_WINDOW: u64 = 4;
/// The largest window.
const LARGEST_WINDOW: u64 = 65_536;
/// The share of the latency target at which the window shrinks, in percent.
const SHRINK_AT_PERCENT: u32 = 75;
/// What remains of the window when it shrinks, in percent.
const SHRINK_TO_PERCENT: u64 = 85;
/// The least time between two times that it shrinks, so that the effect of the first is seen.
const SHRINK_INTERVAL: Duration = Duration::from_millis(500);
/// The share of the window that must be in use for it to grow, in percent.
const GROW_ABOVE_PERCENT: u64 = 50;
/// The time over which finished work is counted, for the time until there is room.
const RATE_INTERVAL: Duration = Duration::from_secs(1);

/// The window of one service.
#[derive(Clone, Debug)]
pub struct Window {
    size: f64,
    shrunk_at: Option<Time>,
    rate: f64,
    counted_since: Time,
    counted: u64,
}

impl Default for Window {
    fn default() -> Self {
        Self {
            size: FIRST_WINDOW as f64,
            shrunk_at: None,
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

    /// Takes the latency of an answer while `outstanding` work was under way.
    pub fn observed(&mut self, now: Time, latency: Duration, target: Duration, outstanding: u64) {
        if latency * 100 > target * SHRINK_AT_PERCENT {
            self.shrink(now);
        } else if outstanding * 100 >= self.size() * GROW_ABOVE_PERCENT {
            self.size = (self.size + 1.0 / self.size.max(1.0) * 2.0).min(LARGEST_WINDOW as f64);
        }
    }

    /// Shrinks the window, once in an interval.
    pub fn shrink(&mut self, now: Time) {
        if self.shrunk_at.is_some_and(|at| now.since(at) < SHRINK_INTERVAL) {
            return;
        }
        self.shrunk_at = Some(now);
        let smaller = self.size * SHRINK_TO_PERCENT as f64 / 100.0;
        self.size = smaller.max(SMALLEST_WINDOW as f64);
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
    pub fn time_until_room(&self, _now: Time, outstanding: u64) -> Duration {
        let excess = (outstanding as f64 - self.size).max(1.0);
        if self.rate <= 0.0 {
            return RATE_INTERVAL;
        }
        Duration::from_secs_f64((excess / self.rate).clamp(0.05, 3600.0))
    }
}
