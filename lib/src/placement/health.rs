//! Ejects an upstream that fails again and again, for a while that grows.

use std::time::Duration;

use crate::units::Time;

/// How many failures in a row eject an upstream.
const FAILURES_TO_EJECT: u32 = 3;
/// The first ejection's time; it doubles with each that follows.
const FIRST_EJECTION: Duration = Duration::from_millis(500);
/// The longest ejection.
const MAX_EJECTION: Duration = Duration::from_secs(30);

/// The health of one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failures: u32,
    ejections: u32,
    ejected_until: Time,
}

impl Health {
    /// Takes that the upstream has answered.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.ejections = 0;
    }

    /// Takes that the upstream has failed; `random` spreads the returns of several daemons.
    ///
    /// Returns until when it is ejected.
    pub fn record_failure(&mut self, now: Time, random: u64) -> Time {
        self.failures += 1;
        // After an ejection, one further failure is enough.
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

    /// Says whether the upstream gets no work now.
    pub fn is_ejected(&self, now: Time) -> bool {
        self.ejected_until > now
    }
}
