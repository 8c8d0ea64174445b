//! Customers' shares, overload, retry budgets.
//!
//! Each traffic thread keeps, for each service, a window of work that it may have outstanding. The
//! window grows while answers keep the latency target and shrinks when they do not, and customers
//! share it by weight once it is nearly full. See `docs/design/limits.md`.

pub mod retry;
pub mod share;
pub mod window;

use std::{sync::Arc, time::Duration};

use indexmap::IndexMap;

use crate::{
    declaration::{DeclarationSet, LatencyTarget, RequestClass},
    ids::{CustomerName, ServiceName},
    limit::{retry::RetryBudget, share::Shares, window::Window},
    units::Time,
};

/// How many tokens count as much as one request of a plain service.
const TOKENS_PER_UNIT: u64 = 256;
/// The longest time until a refused caller is told to ask again.
const LONGEST_RETRY_AFTER: Duration = Duration::from_secs(10);

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

impl Asked<'_> {
    /// Returns the work that the request stands for.
    fn work(&self) -> u64 {
        1 + self.tokens / TOKENS_PER_UNIT
    }
}

/// The answer of [`Limits::admit`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request may go on now; [`Limits::finished`] must follow.
    Now,
    /// The request must be refused now, marked not run.
    Refused(Overload),
}

#[derive(Clone, Debug, Default)]
struct ServiceLimits {
    window: Window,
    shares: Shares,
    retries: RetryBudget,
}

/// The limits of one traffic thread.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    set: Arc<DeclarationSet>,
    services: IndexMap<ServiceName, ServiceLimits>,
}

impl Limits {
    /// Makes the limits of a thread that has seen no request.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the declarations in force, with the customers' weights and the latency targets.
    pub fn refresh(&mut self, set: Arc<DeclarationSet>) {
        self.services.retain(|name, _| set.services.contains_key(name));
        self.set = set;
    }

    /// Decides whether a request may go on.
    pub fn admit(&mut self, now: Time, asked: &Asked<'_>) -> Admission {
        let weights = &self.set.customers;
        let weight = |name: &CustomerName| weights.get(name).map_or(1, |customer| customer.weight);
        if !self.services.contains_key(asked.service) {
            self.services.insert(asked.service.clone(), ServiceLimits::default());
        }
        let limits = &mut self.services[asked.service];
        limits.retries.deposit(now);
        let window = limits.window.size();
        let work = asked.work();
        if limits.shares.may_add(asked.customer, asked.class, work, window, &weight) {
            limits.shares.add(asked.customer, asked.class, work);
            return Admission::Now;
        }
        let excess = limits.shares.total() + work;
        let retry_after = limits.window.time_until_room(now, excess).min(LONGEST_RETRY_AFTER);
        Admission::Refused(Overload { retry_after })
    }

    /// Ends a request that was admitted; `latency` is its time to the first token, if it had one.
    pub fn finished(&mut self, now: Time, asked: &Asked<'_>, latency: Option<Duration>) {
        let target = self.target(asked.service);
        let Some(limits) = self.services.get_mut(asked.service) else { return };
        let work = asked.work();
        let total = limits.shares.total();
        limits.shares.remove(asked.customer, asked.class, work);
        limits.window.finished(now, work);
        if let (RequestClass::Interactive, Some(latency)) = (asked.class, latency) {
            limits.window.observed(now, latency, target.first_token, total);
        }
    }

    /// Takes that an upstream had no room for a request of the service.
    pub fn upstream_refused(&mut self, now: Time, service: &ServiceName) {
        if let Some(limits) = self.services.get_mut(service) {
            limits.window.shrink(now);
        }
    }

    /// Takes one retry from the budget of the service; false if none is left.
    pub fn try_retry(&mut self, now: Time, service: &ServiceName) -> bool {
        match self.services.get_mut(service) {
            Some(limits) => limits.retries.try_take(now),
            None => true,
        }
    }

    /// Returns how long to wait before a retry, with jitter from `random`.
    pub fn backoff(&self, attempts: u64, random: u64) -> Duration {
        retry::backoff(attempts, random)
    }

    /// Returns the work outstanding and the window of a service.
    pub fn usage(&self, service: &ServiceName) -> (u64, u64) {
        let limits = self.services.get(service);
        limits.map_or((0, 0), |limits| (limits.shares.total(), limits.window.size()))
    }

    fn target(&self, service: &ServiceName) -> LatencyTarget {
        self.set.services.get(service).map(|service| service.target).unwrap_or_default()
    }
}
