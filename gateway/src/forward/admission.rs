//! Admission of requests before any upstream is selected: route, customer, crash evidence and quota.

use std::{cell::Cell, rc::Rc, sync::Arc, time::Duration};

use dogwoodturn::{
    ids::{CustomerName, DataCentre, Region, ServiceName},
    request::crash_evidence::Verdict,
    units::Time,
};

use indexmap::IndexMap;

use crate::{
    contention::Arrival,
    gateway::Gateway,
    placement::Homes,
    quota::Charge,
    request::{LocalResponse, Progress, Request},
    table::{CallerLimits, Route, Table},
};

/// `Retry-After` while the daemon has no configuration, or when a route has no service.
const RETRY_AFTER_STARTING: Duration = Duration::from_millis(500);
/// Urgency header value of the highest rank; lower ranks have greater values.
const FIRST_URGENCY: u8 = 2;
/// Greatest urgency value that upstreams accept.
const LAST_URGENCY: u8 = 9;

/// A request that was admitted; its quota charge is refunded on drop unless it may have run.
pub struct Admitted {
    cx: Rc<Gateway>,
    pub(super) table: Arc<Table>,
    pub(super) route: Arc<Route>,
    pub(super) service: ServiceName,
    pub(super) customer: Option<CustomerName>,
    pub(super) urgency: u8,
    /// The customer's or the route's priority; zero is the highest.
    pub(super) rank: u8,
    pub(super) content: u64,
    /// When the caller's deadline or the route's time-out expires, whichever comes first.
    pub(super) expires_at: Time,
    charge: Option<Charge>,
    /// Shared with the request.
    progress: Rc<Cell<Progress>>,
}

impl Admitted {
    /// Returns the regions that may receive the request.
    pub(super) fn homes<'a>(&'a self, regions: &'a IndexMap<DataCentre, Region>) -> Homes<'a> {
        let customer = self.customer.as_ref().and_then(|name| self.table.customers.get(name));
        let of_customer = customer.map_or(&[][..], |customer| &customer.homes);
        Homes { allowed: [&self.route.homes, of_customer], regions: Some(regions) }
    }

    /// Records that an upstream may have run the request, so that the quota charge stands.
    pub(super) fn mark_may_have_run(&self) {
        self.progress.set(Progress::MayHaveRun);
    }

    /// Records that every upstream that received the request stated that it did not run it.
    pub(super) fn mark_not_run(&self) {
        self.progress.set(Progress::NotRun);
    }
}

impl Drop for Admitted {
    fn drop(&mut self) {
        if let (Some(customer), Some(charge), Progress::NotRun) =
            (&self.customer, self.charge, self.progress.get())
        {
            self.cx.state.borrow_mut().quotas.refund(customer, charge);
        }
    }
}

/// Finds the route and the customer of a request and charges the quota, or returns the response
/// that denies or refuses the request.
pub fn admit(cx: &Rc<Gateway>, req: &Request) -> Result<Admitted, LocalResponse> {
    let now = cx.now();
    let not_run_proof = || Progress::NotRun.not_run().expect("nothing was sent");
    let mut state = cx.state.borrow_mut();
    let Some(table) = state.active_table().cloned() else {
        return Err(LocalResponse::refused(
            not_run_proof(),
            "refused-starting",
            RETRY_AFTER_STARTING,
        ));
    };
    if cx.is_draining() {
        let wait_limit = req.deadline.unwrap_or(CallerLimits::default().idle_timeout);
        if !cx.can_finish(wait_limit) {
            return Err(LocalResponse::refused_stopping(not_run_proof()));
        }
    }
    let host = req.head.headers.text("host").unwrap_or_default();
    let Some(route) = table.route(host, req.head.path()).cloned() else {
        return Err(LocalResponse::denied(404, "denied-no-route"));
    };
    let customer = if route.anonymous || table.customers.is_empty() {
        None
    } else {
        let key = req.key(&cx.header_schema).and_then(|key| table.keys.get(key));
        Some(key.cloned().ok_or_else(|| LocalResponse::denied(401, "denied-key"))?)
    };
    let Some(service) = route.service(req.hash).cloned() else {
        return Err(LocalResponse::refused(
            not_run_proof(),
            "refused-no-service",
            RETRY_AFTER_STARTING,
        ));
    };
    let content = req.content_hash(customer.as_ref());
    let verdict = state.check_crash_evidence(now, content, &req.prompt);
    if let Verdict::Barred { cause, retry_after } = verdict {
        log::debug!(event = "barred-request", request:% = req.id, cause:%; "");
        let reason = "refused-crashes-upstreams";
        return Err(LocalResponse::refused(not_run_proof(), reason, retry_after));
    }
    let wait_limit = req.deadline.unwrap_or(route.timeout).min(route.timeout);
    let customer_entry = customer.as_ref().and_then(|name| table.customers.get(name));
    let mut charge = None;
    if let Some((customer, quota)) = customer_entry
        .and_then(|customer_entry| customer_entry.quota.map(|quota| (customer_entry, quota)))
    {
        let tokens = req.prompt.input + req.prompt.output;
        let units = match quota.counts_tokens {
            true if tokens > 0 => tokens,
            true => quota.default_tokens,
            false => 1,
        };
        let peers = state.admitted_elsewhere(now, &customer.name);
        let admitted =
            state.quotas.admit(now, &customer.name, quota, units, req.uniform_sample(), &peers);
        charge = Some(admitted.map_err(|available_in| {
            LocalResponse::over_quota(
                not_run_proof(),
                available_in.min(wait_limit / super::RETRY_AFTER_DIVISOR),
            )
        })?);
    }
    // The customer's rank takes precedence; the route's priority decides within a rank.
    let rank =
        customer_entry.and_then(|customer_entry| customer_entry.priority).unwrap_or(route.priority);
    let arrival = Arrival {
        table: &table,
        route: &route,
        service: &service,
        customer: customer.as_ref(),
        rank,
        content,
        prompt: &req.prompt,
    };
    if let Some(giving_way) = state.check_contention(now, &arrival) {
        if let (Some(customer), Some(charge)) = (&customer, charge) {
            state.quotas.refund(customer, charge);
        }
        cx.metrics.count_contention_refusal(service.as_str(), rank);
        return Err(LocalResponse::gives_way(not_run_proof(), giving_way));
    }
    state.retries.record_request(now, &service);
    let urgency =
        FIRST_URGENCY.saturating_add(rank.saturating_mul(2)).saturating_add(route.priority.min(1));
    Ok(Admitted {
        cx: cx.clone(),
        expires_at: req.arrived + wait_limit,
        urgency: urgency.min(LAST_URGENCY),
        rank,
        table,
        route,
        service,
        customer,
        content,
        charge,
        progress: req.progress.clone(),
    })
}
