//! Customers' shares, overload, retry budgets.
//!
//! See `docs/design/limits.md`.

use std::time::Duration;

use crate::{
    declaration::RequestClass,
    ids::{CustomerName, ServiceName},
    units::Time,
};

/// Says that a request is refused before it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Overload {
    /// When asking again may help.
    pub retry_after: Duration,
}

/// What admission depends on.
#[derive(Clone, Debug)]
pub struct Asked<'a> {
    /// The customer, if customers are declared.
    pub customer: Option<&'a CustomerName>,
    /// The service.
    pub service: &'a ServiceName,
    /// How urgent the request is.
    pub class: RequestClass,
    /// The tokens of prompt and answer that the request may take, for a model service.
    pub tokens: u64,
}

/// The answer of [`Limits::admit`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request may go on now; [`Limits::finished`] must follow.
    Now,
    /// The request must be refused now, marked not run.
    Refused(Overload),
}

/// The limits of one traffic thread.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    running: u64,
}

impl Limits {
    /// Makes the limits of a thread that has seen no request.
    pub fn new() -> Self {
        Self::default()
    }

    /// Decides whether a request may go on.
    pub fn admit(&mut self, _now: Time, _asked: &Asked<'_>) -> Admission {
        self.running += 1;
        Admission::Now
    }

    /// Ends a request that was admitted; `latency` is its time to the first token, if it had one.
    pub fn finished(&mut self, _now: Time, _asked: &Asked<'_>, _latency: Option<Duration>) {
        self.running = self.running.saturating_sub(1);
    }

    /// Takes one retry from the budget of the service; false if none is left.
    pub fn try_retry(&mut self, _now: Time, _service: &ServiceName) -> bool {
        true
    }

    /// Returns how long to wait before a retry, with jitter from `random`.
    pub fn backoff(&self, attempts: u64, random: u64) -> Duration {
        let ceiling = 10_u64.saturating_mul(1 << attempts.min(6));
        Duration::from_millis(random % ceiling.max(1))
    }
}
