//! The limit on a thread's outstanding work at a service, adapted to the latency of answers.

use std::time::Duration;

use crate::units::Time;

/// The window before the first answer, in work units.
const INITIAL_WINDOW: f64 = 64.0;
/// The smallest window, in work units.
const MIN_WINDOW: f64 = 4.0;
/// The largest window, in work units.
const MAX_WINDOW: f64 = 65_536.0;
/// The shortest time over which answers are sampled before the window changes. It is also the
/// shortest time between two reductions because of refusals.
const MIN_INTERVAL: Duration = Duration::from_millis(500);
/// The fewest answers that are sampled before the window changes.
const MIN_ANSWERS: u64 = 10;
/// The percentage of late answers above which the window shrinks.
const MAX_LATE_PERCENT: u64 = 5;
/// The smallest factor by which late answers reduce the window in one interval.
const MIN_SHRINK_FACTOR: f64 = 0.25;
/// The largest factor by which late answers reduce the window in one interval.
const MAX_SHRINK_FACTOR: f64 = 0.9;
/// The factor by which the batch window is reduced when interactive answers are late.
const YIELD_FACTOR: f64 = 0.6;
/// The growth of the window in one interval after its first reduction, in work units.
const GROWTH_PER_INTERVAL: f64 = 6.0;
/// The factor by which the window grows in one interval before its first reduction.
const INITIAL_GROWTH_FACTOR: f64 = 1.5;
/// The factor by which a refusal by an upstream reduces the window.
const REFUSAL_SHRINK_FACTOR: f64 = 0.8;
/// The fraction of the window that must have been in use for it to grow.
const MIN_USED_FRACTION: f64 = 0.5;
/// The shortest time over which the rate of completed work is measured, for estimated waits.
const RATE_INTERVAL: Duration = Duration::from_secs(1);

/// The window of one request class at one service.
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
    /// Returns the work that may be outstanding, in work units.
    pub fn size(&self) -> u64 {
        self.size as u64
    }

    /// Reports whether the window cannot shrink further.
    pub fn is_at_minimum(&self) -> bool {
        self.size <= MIN_WINDOW
    }

    /// Records an answer that began after `latency`, while `outstanding` work was in progress, and
    /// reports whether the window shrank.
    ///
    /// At the end of an interval the window shrinks if more than `MAX_LATE_PERCENT` of the
    /// answers took longer than `allowed`. Otherwise it grows if it was in use and the mean latency
    /// was at most half of `allowed`. Answers to requests from before the last change are not
    /// counted, as they do not reflect it.
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
            // Latency grows with outstanding work, so the window scales by the ratio of latencies.
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

    /// Reports whether the window was in use and the mean latency at most half of `allowed`.
    ///
    /// At a mean latency between half of `allowed` and `allowed` the window stays the same, so that
    /// it does not exceed the upstreams' capacity before late answers show it.
    fn may_grow(&self, allowed: Duration) -> bool {
        let mean = self.total_latency / (self.answers as u32).max(1);
        mean * 2 <= allowed && self.most_outstanding as f64 >= self.size * MIN_USED_FRACTION
    }

    /// Shrinks the window after a refusal by an upstream, at most once in `MIN_INTERVAL`.
    pub fn shrink_on_refusal(&mut self, now: Time) {
        if self.last_refusal_shrink.is_some_and(|at| now.since(at) < MIN_INTERVAL) {
            return;
        }
        self.last_refusal_shrink = Some(now);
        self.shrink_to(REFUSAL_SHRINK_FACTOR);
    }

    /// Shrinks the window to free capacity for interactive requests.
    pub fn yield_to_interactive(&mut self) {
        self.shrink_to(YIELD_FACTOR);
    }

    fn shrink_to(&mut self, factor: f64) {
        self.has_shrunk = true;
        self.size = (self.size * factor).max(MIN_WINDOW);
    }

    /// Adds completed work to the measured rate.
    pub fn record_completion(&mut self, now: Time, work: u64) {
        self.completed_work += work;
        let interval = now.since(self.rate_interval_start);
        if interval >= RATE_INTERVAL {
            self.work_per_second = self.completed_work as f64 / interval.as_secs_f64();
            self.completed_work = 0;
            self.rate_interval_start = now;
        }
    }

    /// Estimates the time until `outstanding` work has dropped to the window, between 50 ms and
    /// 1 h. Returns `RATE_INTERVAL` while no rate is measured.
    pub fn estimated_wait(&self, outstanding: u64) -> Duration {
        let excess = (outstanding as f64 - self.size).max(1.0);
        if self.work_per_second <= 0.0 {
            return RATE_INTERVAL;
        }
        Duration::from_secs_f64((excess / self.work_per_second).clamp(0.05, 3600.0))
    }
}
