//! The load of one upstream, as far as one thread knows it.

use std::time::Duration;

use crate::units::Time;

/// The time in which a report loses half of its weight, as a power of two of microseconds (1 s).
const REPORT_HALF_LIFE_SHIFT: u32 = 20;
/// How much more a request counts whose prompt is not computed yet.
const WAITING_WEIGHT: u32 = 4;
/// The load that a refusal stands for until a report says otherwise.
const REFUSAL_LOAD: u32 = 256;

/// What an upstream says of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// The requests that it runs.
    pub running: u32,
    /// The requests that wait.
    pub waiting: u32,
    /// How old the report is.
    pub age: Duration,
}

/// The load of one upstream: this thread's own attempts, and the last report of all others'.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadState {
    outstanding: u32,
    // Those of `outstanding` whose first token has not come.
    waiting: u32,
    others_load: u32,
    reported_at: Time,
}

impl LoadState {
    /// Counts an attempt.
    pub fn begin_attempt(&mut self) {
        self.outstanding += 1;
        self.waiting += 1;
    }

    /// Takes that the first token of an attempt has come.
    pub fn mark_first_token(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Ends an attempt.
    pub fn end_attempt(&mut self) {
        self.outstanding = self.outstanding.saturating_sub(1);
        // An attempt that ends without a first token still counts as waiting.
        self.waiting = self.waiting.min(self.outstanding);
    }

    /// Returns this thread's own attempts.
    pub fn outstanding(&self) -> u32 {
        self.outstanding
    }

    /// Takes a report; the part that is this thread's own is not counted twice.
    pub fn apply_report(&mut self, now: Time, report: LoadReport) {
        let load = report.running + report.waiting * WAITING_WEIGHT;
        self.others_load = load.saturating_sub(self.own_load());
        self.reported_at = now - report.age;
    }

    /// Takes that the upstream had no room for a request.
    pub fn apply_refusal(&mut self, now: Time) {
        self.others_load = self.others_load.max(REFUSAL_LOAD);
        self.reported_at = now;
    }

    /// Returns the load as it may be now; an old report counts less and less.
    pub fn estimate(&self, now: Time) -> u32 {
        let half_lives = now.0.saturating_sub(self.reported_at.0) >> REPORT_HALF_LIFE_SHIFT;
        let others_load = if half_lives < 32 { self.others_load >> half_lives } else { 0 };
        self.own_load() + others_load
    }

    fn own_load(&self) -> u32 {
        self.outstanding + self.waiting * (WAITING_WEIGHT - 1)
    }
}
