//! A retry budget, so that retries never multiply the load on a failing service.

use std::time::Duration;

use crate::units::Time;

/// The number of retries that each request adds to the budget.
const RETRIES_PER_REQUEST: f64 = 0.1;
/// The number of retries that are added to the budget each second.
const RETRIES_PER_SECOND: f64 = 1.0;
/// The largest number of retries in the budget.
const MAX_BUDGET: f64 = 50.0;
/// The upper bound of the wait before the first retry; doubled with each further attempt.
const INITIAL_BACKOFF: Duration = Duration::from_millis(10);
/// How many times [`INITIAL_BACKOFF`] is doubled at most.
const MAX_DOUBLINGS: u64 = 6;

/// The retry budget of one service at one traffic thread.
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
    /// Adds the share of a retry that one request contributes.
    pub fn deposit(&mut self, now: Time) {
        self.refill(now);
        self.retries = (self.retries + RETRIES_PER_REQUEST).min(MAX_BUDGET);
    }

    /// Withdraws one retry, or returns false if less than one is left.
    pub fn try_withdraw(&mut self, now: Time) -> bool {
        self.refill(now);
        if self.retries < 1.0 {
            return false;
        }
        self.retries -= 1.0;
        true
    }

    /// Withdraws one retry, or returns false if less than two are left.
    ///
    /// It is meant for requests whose upstream may still respond, since they ask again and again: one
    /// retry remains for a request that has lost its upstream.
    pub fn try_withdraw_spare(&mut self, now: Time) -> bool {
        self.refill(now);
        self.retries >= 2.0 && self.try_withdraw(now)
    }

    fn refill(&mut self, now: Time) {
        let added = now.since(self.refilled_at).as_secs_f64() * RETRIES_PER_SECOND;
        self.retries = (self.retries + added).min(MAX_BUDGET);
        self.refilled_at = self.refilled_at.max(now);
    }
}

/// Returns the wait before a retry: between zero and a bound that doubles with each attempt, picked
/// by `random`.
pub fn backoff(attempts: u64, random: u64) -> Duration {
    let longest = INITIAL_BACKOFF * (1 << attempts.min(MAX_DOUBLINGS));
    let micros = longest.as_micros() as u64;
    Duration::from_micros(random % (micros + 1))
}
