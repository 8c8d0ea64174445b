//! A token bucket that limits the rate of calls to the platform.

use std::time::Duration;

use crate::units::Time;

const MICROS_PER_SECOND: f64 = 1e6;
/// The maximum time between two calls, for rates close to zero.
const MAX_INTERVAL: Duration = Duration::from_mins(1);

/// A token bucket, stored as in GCRA: as the time at which the next call is due at an even rate.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TokenBucket {
    interval: Duration,
    burst: u32,
    due: Time,
}

impl TokenBucket {
    /// Creates a full bucket that allows `per_second` calls, and `burst` of them at once.
    pub fn new(per_second: f64, burst: u32) -> Self {
        let mut bucket = Self { interval: Duration::ZERO, burst: burst.max(1), due: Time(0) };
        bucket.set_rate(per_second);
        bucket
    }

    /// Changes the rate; tokens already consumed are not returned.
    pub fn set_rate(&mut self, per_second: f64) {
        let micros = MICROS_PER_SECOND / per_second.max(f64::MIN_POSITIVE);
        self.interval = Duration::from_micros(micros.min(1e12) as u64).min(MAX_INTERVAL);
    }

    /// Returns the time between two calls at an even rate.
    pub fn interval(&self) -> Duration {
        self.interval
    }

    /// Returns the earliest time at which [`TokenBucket::try_acquire`] succeeds.
    pub fn next_available(&self) -> Time {
        self.due - self.interval * (self.burst - 1)
    }

    /// Consumes one token if one is available; reports whether it was.
    pub fn try_acquire(&mut self, now: Time) -> bool {
        if self.next_available() > now {
            return false;
        }
        self.debit(now);
        true
    }

    /// Consumes one token even if none is available, so that later calls wait longer.
    pub fn debit(&mut self, now: Time) {
        self.due = self.due.max(now) + self.interval;
    }
}
