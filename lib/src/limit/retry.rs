//! A budget of retries, so that retries never multiply the load of a service that fails.

use std::time::Duration;

use crate::units::Time;

/// The part of a retry that each request adds to the budget.
const RETRIES_PER_REQUEST: f64 = 0.1;
/// The retries that time adds to the budget each second.
const RETRIES_PER_SECOND: f64 = 1.0;
/// The most retries that the budget holds.
const MAX_BUDGET: f64 = 50.0;
/// The longest wait before the first retry.
const INITIAL_BACKOFF: Duration = Duration::from_millis(10);
/// How often the longest wait doubles.
const MAX_DOUBLINGS: u64 = 6;

/// The retry budget of one service at one thread.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    retries: f64,
    refilled_at: Time,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { retries: MAX_BUDGET / 5.0, refilled_at: Time(0) }
    }
}

impl RetryBudget {
    /// Adds what one request brings.
    pub fn deposit(&mut self, now: Time) {
        self.refill(now);
        self.retries = (self.retries + RETRIES_PER_REQUEST).min(MAX_BUDGET);
    }

    /// Takes one retry; false if none is left.
    pub fn try_withdraw(&mut self, now: Time) -> bool {
        self.refill(now);
        if self.retries < 1.0 {
            return false;
        }
        self.retries -= 1.0;
        true
    }

    fn refill(&mut self, now: Time) {
        let added = now.since(self.refilled_at).as_secs_f64() * RETRIES_PER_SECOND;
        self.retries = (self.retries + added).min(MAX_BUDGET);
        self.refilled_at = self.refilled_at.max(now);
    }
}

/// Returns how long to wait before a retry: anything up to a bound that doubles each time.
pub fn backoff(attempts: u64, random: u64) -> Duration {
    let longest = INITIAL_BACKOFF * (1 << attempts.min(MAX_DOUBLINGS));
    let micros = longest.as_micros() as u64;
    Duration::from_micros(random % (micros + 1))
}
