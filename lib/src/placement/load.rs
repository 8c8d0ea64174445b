//! The load of one upstream as estimated by one thread.

use std::time::Duration;

use crate::units::Time;

/// The half-life of a report's weight, as the binary logarithm of microseconds: 2^20 us, about 1 s.
const REPORT_HALF_LIFE_SHIFT: u32 = 20;
/// The load of a request whose prompt is not computed yet, relative to a running one.
const WAITING_WEIGHT: u32 = 4;
/// The load that is assumed after a refusal until a report replaces it.
const REFUSAL_LOAD: u32 = 256;

/// An upstream's report of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// The number of requests that the upstream runs.
    pub running: u32,
    /// The number of requests that wait at the upstream.
    pub waiting: u32,
    /// The time since the upstream measured the load.
    pub age: Duration,
}

/// The load of one upstream: this thread's own attempts, and that of all others by the last report.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadState {
    outstanding: u32,
    // The number of outstanding attempts without a first token.
    waiting: u32,
    others_load: u32,
    reported_at: Time,
}

impl LoadState {
    /// Counts a new attempt, which waits for its first token.
    pub fn begin_attempt(&mut self) {
        self.outstanding += 1;
        self.waiting += 1;
    }

    /// Records that the first token of an attempt has arrived.
    pub fn mark_first_token(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Removes an attempt that has ended.
    pub fn end_attempt(&mut self) {
        self.outstanding = self.outstanding.saturating_sub(1);
        // An attempt that ended without a first token is still counted in `waiting`.
        self.waiting = self.waiting.min(self.outstanding);
    }

    /// Returns the number of this thread's own attempts.
    pub fn outstanding(&self) -> u32 {
        self.outstanding
    }

    /// Applies a report. This thread's own load is subtracted, so that it is not counted twice.
    pub fn apply_report(&mut self, now: Time, report: LoadReport) {
        let load = report.running + report.waiting * WAITING_WEIGHT;
        self.others_load = load.saturating_sub(self.own_load());
        self.reported_at = now - report.age;
    }

    /// Applies a refusal of a request because of overload.
    pub fn apply_refusal(&mut self, now: Time) {
        self.others_load = self.others_load.max(REFUSAL_LOAD);
        self.reported_at = now;
    }

    /// Estimates the load at `now`. The weight of a report decays with its age.
    pub fn estimate(&self, now: Time) -> u32 {
        let half_lives = now.0.saturating_sub(self.reported_at.0) >> REPORT_HALF_LIFE_SHIFT;
        let others_load = if half_lives < 32 { self.others_load >> half_lives } else { 0 };
        self.own_load() + others_load
    }

    fn own_load(&self) -> u32 {
        self.outstanding + self.waiting * (WAITING_WEIGHT - 1)
    }
}
