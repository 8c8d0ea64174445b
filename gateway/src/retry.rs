//! Budgets for sending requests to a second upstream.
//!
//! Load pattern: many upstreams fail at once and every request would be sent again, in addition to
//! the callers' own retries. The budget of a service is a share of its requests plus an allowance,
//! over a sliding window and all daemons. Each daemon limits itself to the share of its own
//! requests and an equal part of the allowance, so that the sum holds even if no daemon receives
//! messages from another. A daemon that starts again does not know what its previous run used, and takes its
//! part of the allowance as used for one window.

use std::{collections::VecDeque, time::Duration};

use dogwoodturn::{ids::ServiceName, units::Time};
use indexmap::IndexMap;

/// Share of the allowed ratio that is used; the rest covers windows that slide differently.
const USED_RATIO_SHARE: f64 = 0.7;
/// Share of the allowance that is used; the rest covers daemons that joined without being noticed.
const USED_ALLOWANCE_SHARE: f64 = 0.6;

/// Operator-defined bounds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Retries per request.
    pub ratio: f64,
    /// Retries in addition to the ratio, across all daemons.
    pub allowance: f64,
    /// The window in which both bounds hold.
    pub window: Duration,
}

#[derive(Clone, Debug, Default)]
struct SendTimes {
    requests: VecDeque<Time>,
    retries: VecDeque<Time>,
}

/// The budgets of all services at one daemon.
#[derive(Clone, Debug)]
pub struct RetryBudgets {
    bounds: Bounds,
    /// When the previous run, if there may have been one, ended at the latest.
    previous_run_end: Option<Time>,
    services: IndexMap<ServiceName, SendTimes>,
}

impl RetryBudgets {
    /// `first_start` states that no earlier run can have used anything.
    pub fn new(bounds: Bounds, now: Time, first_start: bool) -> Self {
        let previous_run_end = (!first_start).then_some(now);
        Self { bounds, previous_run_end, services: IndexMap::new() }
    }

    /// Changes the bounds and keeps the counts.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        self.bounds = bounds;
    }

    /// Counts a request that a caller sent.
    pub fn record_request(&mut self, now: Time, service: &ServiceName) {
        let window = self.bounds.window;
        let send_times = self.services.entry(service.clone()).or_default();
        drop_expired(&mut send_times.requests, now, window);
        send_times.requests.push_back(now);
    }

    /// Reserves one retry and reports whether the budget allows it.
    pub fn try_retry(&mut self, now: Time, service: &ServiceName, daemons: u32) -> bool {
        let is_within_budget = self.allows_retry(now, service, daemons);
        if is_within_budget {
            self.record_retry(now, service);
        }
        is_within_budget
    }

    /// Reports whether the budget allows one more retry, without reserving it.
    pub fn allows_retry(&mut self, now: Time, service: &ServiceName, daemons: u32) -> bool {
        let bounds = self.bounds;
        let send_times = self.services.entry(service.clone()).or_default();
        drop_expired(&mut send_times.requests, now, bounds.window);
        drop_expired(&mut send_times.retries, now, bounds.window);
        let is_used = self.previous_run_end.is_some_and(|end| now.since(end) <= bounds.window);
        let share = bounds.allowance * USED_ALLOWANCE_SHARE / f64::from(daemons.max(1));
        let share = if is_used { 0.0 } else { share };
        let budget = bounds.ratio * USED_RATIO_SHARE * send_times.requests.len() as f64 + share;
        send_times.retries.len() as f64 + 1.0 <= budget
    }

    /// Logs the requests and retries of each service in the window.
    pub fn log(&mut self, now: Time, daemons: u32) {
        let window = self.bounds.window;
        for (service, send_times) in &mut self.services {
            drop_expired(&mut send_times.requests, now, window);
            drop_expired(&mut send_times.retries, now, window);
            let (requests, retries) = (send_times.requests.len(), send_times.retries.len());
            log::info!(event = "retry-budget", service:%, requests, retries, daemons; "");
        }
    }

    /// Counts a retry.
    pub fn record_retry(&mut self, now: Time, service: &ServiceName) {
        self.services.entry(service.clone()).or_default().retries.push_back(now);
    }
}

fn drop_expired(times: &mut VecDeque<Time>, now: Time, window: Duration) {
    while times.front().is_some_and(|at| now.since(*at) > window) {
        times.pop_front();
    }
}
