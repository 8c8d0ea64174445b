//! Admission control: adaptive windows, fair shares of customers, and retry budgets.
//!
//! Each traffic thread limits its outstanding work for each service and class by a window. The
//! window grows while answers arrive in time and shrinks when they do not. When interactive answers
//! are late, the batch window shrinks as well. Customers share a window by weight once it is nearly
//! full. See `docs/design/limits.md`.

pub mod brittle;
mod bucket;
pub mod contention;
pub mod memory;
pub mod ramp;
pub mod retry;
pub mod share;
pub mod upstream;
pub mod warm_up;
pub mod window;

use std::{sync::Arc, time::Duration};

use indexmap::IndexMap;

use crate::{
    declaration::{DeclarationSet, LatencyTarget, RequestClass},
    ids::{CustomerName, ServiceName},
    limit::{retry::RetryBudget, share::Shares, window::Window},
    units::Time,
};

/// The number of tokens that count as one unit of work, in addition to one unit for each request.
const TOKENS_PER_UNIT: u64 = 256;
/// The percentage of the latency target above which an interactive answer counts as late.
const INTERACTIVE_LATENCY_PERCENT: u32 = 75;
/// The percentage of the latency target above which a batch answer counts as late. It is larger, as
/// a batch request may wait for several steps of interactive ones.
const BATCH_LATENCY_PERCENT: u32 = 400;
/// The longest retry time that is reported to a refused caller.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

/// The refusal of a request before it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Overload {
    /// The time after which a retry may succeed.
    pub retry_after: Duration,
}

/// The properties of a request that its admission depends on.
#[derive(Clone, Debug)]
pub struct AdmissionRequest<'a> {
    /// `None` if no customers are declared.
    pub customer: Option<&'a CustomerName>,
    pub service: &'a ServiceName,
    pub class: RequestClass,
    /// The largest number of prompt and answer tokens of the request, for a model service.
    pub tokens: u64,
}

impl AdmissionRequest<'_> {
    /// Returns the request's cost in work units.
    fn work(&self) -> u64 {
        1 + self.tokens / TOKENS_PER_UNIT
    }
}

/// The result of [`Limits::admit`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request may proceed; [`Limits::release_work`] must be called when it ends.
    Admitted,
    /// The request must be refused, marked as not run.
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

    /// Shrinks the windows of both classes, as an upstream's full queue affects both.
    fn shrink_windows(&mut self, now: Time) {
        self.batch.window.shrink_on_refusal(now);
        self.interactive.window.shrink_on_refusal(now);
    }
}

/// The admission limits of one traffic thread.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    set: Arc<DeclarationSet>,
    services: IndexMap<ServiceName, ServiceLimits>,
}

impl Limits {
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies the active declarations: customers' weights and services' latency targets. State of
    /// services that are no longer declared is dropped.
    pub fn refresh(&mut self, set: Arc<DeclarationSet>) {
        self.services.retain(|name, _| set.services.contains_key(name));
        self.set = set;
    }

    /// Decides whether a request may proceed, and counts its work if so.
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
        let outstanding = limits.shares.total() + work;
        let retry_after = limits.window.estimated_wait(outstanding).min(MAX_RETRY_AFTER);
        Admission::Refused(Overload { retry_after })
    }

    /// Releases the work of an admitted request that has ended.
    pub fn release_work(&mut self, now: Time, request: &AdmissionRequest<'_>) {
        let Some(service) = self.services.get_mut(request.service) else { return };
        let limits = service.class(request.class);
        let work = request.work();
        limits.shares.remove(request.customer, work);
        limits.window.record_completion(now, work);
    }

    /// Records the time to the first token of an answer, or to the whole answer of a plain service.
    ///
    /// It must be called as soon as that time is known: a window that is updated at the end of long
    /// answers would react too late.
    pub fn record_latency(&mut self, now: Time, request: &AdmissionRequest<'_>, latency: Duration) {
        let target = self.target(request.service).first_token;
        let Some(service) = self.services.get_mut(request.service) else { return };
        let limits = service.class(request.class);
        let total = limits.shares.total();
        let allowed = match request.class {
            RequestClass::Interactive => target * INTERACTIVE_LATENCY_PERCENT / 100,
            RequestClass::Batch => target * BATCH_LATENCY_PERCENT / 100,
        };
        let shrank = limits.window.observe_latency(now, latency, allowed, total);
        if shrank && request.class == RequestClass::Interactive {
            service.batch.window.yield_to_interactive();
        }
    }

    /// Records that an upstream of the service refused a request because its queue was full.
    pub fn record_rejection(&mut self, now: Time, service: &ServiceName) {
        if let Some(limits) = self.services.get_mut(service) {
            limits.shrink_windows(now);
        }
    }

    /// Withdraws one retry from the service's budget, or returns false if none is left. A service
    /// without requests so far has no budget yet, and its retries are allowed.
    pub fn try_withdraw_retry(&mut self, now: Time, service: &ServiceName) -> bool {
        match self.services.get_mut(service) {
            Some(limits) => limits.retries.try_withdraw(now),
            None => true,
        }
    }

    /// Withdraws one retry as [`Limits::try_withdraw_retry`] does, if another one remains.
    pub fn try_withdraw_spare_retry(&mut self, now: Time, service: &ServiceName) -> bool {
        match self.services.get_mut(service) {
            Some(limits) => limits.retries.try_withdraw_spare(now),
            None => true,
        }
    }

    /// Returns the wait before a retry, with jitter from `random`.
    pub fn backoff(&self, attempts: u64, random: u64) -> Duration {
        retry::backoff(attempts, random)
    }

    /// Returns the outstanding work and the window of a class at a service, in work units.
    pub fn usage(&mut self, service: &ServiceName, class: RequestClass) -> (u64, u64) {
        let limits = self.services.get_mut(service).map(|limits| limits.class(class));
        limits.map_or((0, 0), |limits| (limits.shares.total(), limits.window.size()))
    }

    fn target(&self, service: &ServiceName) -> LatencyTarget {
        self.set.services.get(service).map(|service| service.target).unwrap_or_default()
    }
}
