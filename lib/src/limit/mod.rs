//! Customers' shares, overload, retry budgets.
//!
//! Each traffic thread keeps, for each service and class, a window of work that it may have
//! outstanding. The window grows while answers come in time and shrinks when they do not; when
//! urgent answers are late, the window of the others shrinks first. Customers share a window by
//! weight once it is nearly full. See `docs/design/limits.md`.

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
/// The part of the target at which an urgent answer counts as late, in percent.
const INTERACTIVE_LATENCY_PERCENT: u32 = 75;
/// The same for an answer that may take longer; it may wait for several steps of urgent ones.
const BATCH_LATENCY_PERCENT: u32 = 400;
/// The longest time until a refused caller is told to ask again.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

/// Says that a request is refused before it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Overload {
    /// When asking again may help.
    pub retry_after: Duration,
}

/// What admission depends on.
#[derive(Clone, Debug)]
pub struct AdmissionRequest<'a> {
    /// The customer, if customers are declared.
    pub customer: Option<&'a CustomerName>,
    /// The service.
    pub service: &'a ServiceName,
    /// How urgent the request is.
    pub class: RequestClass,
    /// The tokens of prompt and answer that the request may take, for a model service.
    pub tokens: u64,
}

impl AdmissionRequest<'_> {
    /// Returns the work that the request stands for.
    fn work(&self) -> u64 {
        1 + self.tokens / TOKENS_PER_UNIT
    }
}

/// The answer of [`Limits::admit`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request may go on now; [`Limits::release_work`] must follow.
    Admitted,
    /// The request must be refused now, marked not run.
    Refused(Overload),
}

/// The limits of one class of requests at one service.
#[derive(Clone, Debug, Default)]
struct ClassLimits {
    window: Window,
    shares: Shares,
}

#[derive(Clone, Debug, Default)]
struct ServiceLimits {
    interactive: ClassLimits,
    batch: ClassLimits,
    retries: RetryBudget,
}

impl ServiceLimits {
    fn class(&mut self, class: RequestClass) -> &mut ClassLimits {
        match class {
            RequestClass::Interactive => &mut self.interactive,
            RequestClass::Batch => &mut self.batch,
        }
    }

    /// Takes that an upstream had no room: its queue is full, for whichever class.
    fn shrink_windows(&mut self, now: Time) {
        self.batch.window.shrink_on_refusal(now);
        self.interactive.window.shrink_on_refusal(now);
    }
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
    pub fn admit(&mut self, now: Time, request: &AdmissionRequest<'_>) -> Admission {
        let weights = &self.set.customers;
        let weight = |name: &CustomerName| weights.get(name).map_or(1, |customer| customer.weight);
        if !self.services.contains_key(request.service) {
            self.services.insert(request.service.clone(), ServiceLimits::default());
        }
        let limits = &mut self.services[request.service];
        limits.retries.deposit(now);
        let limits = limits.class(request.class);
        let window = limits.window.size();
        let work = request.work();
        if limits.shares.can_admit(request.customer, work, window, &weight) {
            limits.shares.add(request.customer, work);
            return Admission::Admitted;
        }
        let excess = limits.shares.total() + work;
        let retry_after = limits.window.estimated_wait(excess).min(MAX_RETRY_AFTER);
        Admission::Refused(Overload { retry_after })
    }

    /// Ends a request that was admitted.
    pub fn release_work(&mut self, now: Time, request: &AdmissionRequest<'_>) {
        let Some(service) = self.services.get_mut(request.service) else { return };
        let limits = service.class(request.class);
        let work = request.work();
        limits.shares.remove(request.customer, work);
        limits.window.record_completion(now, work);
    }

    /// Takes the time to the first token of an answer, or to the whole answer of a plain service.
    ///
    /// It is told as soon as it is known, since a window that learns at the end of long answers
    /// would change too late.
    pub fn record_latency(&mut self, now: Time, request: &AdmissionRequest<'_>, latency: Duration) {
        let target = self.target(request.service).first_token;
        let Some(service) = self.services.get_mut(request.service) else { return };
        let limits = service.class(request.class);
        let total = limits.shares.total();
        let allowed = match request.class {
            RequestClass::Interactive => target * INTERACTIVE_LATENCY_PERCENT / 100,
            RequestClass::Batch => target * BATCH_LATENCY_PERCENT / 100,
        };
        let has_shrunk = limits.window.observe_latency(now, latency, allowed, total);
        if has_shrunk && request.class == RequestClass::Interactive {
            service.batch.window.yield_to_interactive();
        }
    }

    /// Takes that an upstream had no room for a request of the service.
    pub fn record_rejection(&mut self, now: Time, service: &ServiceName) {
        if let Some(limits) = self.services.get_mut(service) {
            limits.shrink_windows(now);
        }
    }

    /// Takes one retry from the budget of the service; false if none is left.
    pub fn try_withdraw_retry(&mut self, now: Time, service: &ServiceName) -> bool {
        match self.services.get_mut(service) {
            Some(limits) => limits.retries.try_withdraw(now),
            None => true,
        }
    }

    /// Returns how long to wait before a retry, with jitter from `random`.
    pub fn backoff(&self, attempts: u64, random: u64) -> Duration {
        retry::backoff(attempts, random)
    }

    /// Returns the work outstanding and the window of a class at a service.
    pub fn usage(&mut self, service: &ServiceName, class: RequestClass) -> (u64, u64) {
        let limits = self.services.get_mut(service).map(|limits| limits.class(class));
        limits.map_or((0, 0), |limits| (limits.shares.total(), limits.window.size()))
    }

    fn target(&self, service: &ServiceName) -> LatencyTarget {
        self.set.services.get(service).map(|service| service.target).unwrap_or_default()
    }
}
