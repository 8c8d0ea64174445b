//! Ejects an upstream that fails repeatedly, for a time that doubles with each ejection.

use std::time::Duration;

use crate::units::Time;

/// The number of consecutive failures that eject an upstream.
const FAILURES_TO_EJECT: u32 = 3;
/// The duration of the first ejection; doubled with each consecutive one.
const FIRST_EJECTION: Duration = Duration::from_millis(500);
/// The longest ejection, without jitter.
const MAX_EJECTION: Duration = Duration::from_secs(30);

/// The health of one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failures: u32,
    ejections: u32,
    ejected_until: Time,
}

impl Health {
    /// Records a response, which resets the failures and the ejection time.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.ejections = 0;
    }

    /// Records a failure and returns the time until which the upstream is ejected.
    ///
    /// `random` adds up to a quarter of jitter, so that daemons do not readmit it all at once.
    pub fn record_failure(&mut self, now: Time, random: u64) -> Time {
        self.failures += 1;
        // After an ejection a single further failure ejects the upstream again.
        if self.failures < FAILURES_TO_EJECT && self.ejections == 0 {
            return self.ejected_until;
        }
        let doubled = FIRST_EJECTION * (1 << self.ejections.min(6));
        let duration = doubled.min(MAX_EJECTION);
        let jitter = duration.mul_f64((random % 1024) as f64 / 4096.0);
        self.ejections += 1;
        self.failures = 0;
        self.ejected_until = now + duration + jitter;
        self.ejected_until
    }

    /// Reports whether the upstream is excluded from selection at `now`.
    pub fn is_ejected(&self, now: Time) -> bool {
        self.ejected_until > now
    }
}
