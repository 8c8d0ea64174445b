//! The budget for sending a request to a second upstream.
//!
//! Load pattern: many upstreams fail at once and every caller's request would be sent again, on
//! top of the callers' own retries. The budget of a service is a part of its requests plus an
//! allowance, over a sliding window and all daemons. Each daemon keeps to its own requests' part
//! and an equal part of the allowance, so that the sum holds while nobody hears anybody.

use std::{collections::VecDeque, time::Duration};

use dogwoodturn::{ids::ServiceName, units::Time};
use indexmap::IndexMap;

/// The part of the allowed ratio that is used; the rest covers windows that slide differently.
const USED_RATIO_SHARE: f64 = 0.7;
/// The part of the allowance that is used; the rest covers daemons that joined unnoticed.
const USED_ALLOWANCE_SHARE: f64 = 0.6;

/// The bounds that the operator sets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Second sends per request.
    pub ratio: f64,
    /// Second sends on top, across all daemons.
    pub allowance: f64,
    /// The window over which both hold.
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
    services: IndexMap<ServiceName, SendTimes>,
}

impl RetryBudgets {
    /// Makes full budgets.
    pub fn new(bounds: Bounds) -> Self {
        Self { bounds, services: IndexMap::new() }
    }

    /// Changes the bounds; what was counted stays.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        self.bounds = bounds;
    }

    /// Counts a request of a caller.
    pub fn record_request(&mut self, now: Time, service: &ServiceName) {
        let window = self.bounds.window;
        let times = self.services.entry(service.clone()).or_default();
        drop_expired(&mut times.requests, now, window);
        times.requests.push_back(now);
    }

    /// Takes one second send out of the budget; false if it is used up.
    pub fn try_retry(&mut self, now: Time, service: &ServiceName, daemons: u32) -> bool {
        let bounds = self.bounds;
        let times = self.services.entry(service.clone()).or_default();
        drop_expired(&mut times.requests, now, bounds.window);
        drop_expired(&mut times.retries, now, bounds.window);
        let share = bounds.allowance * USED_ALLOWANCE_SHARE / f64::from(daemons.max(1));
        let budget = bounds.ratio * USED_RATIO_SHARE * times.requests.len() as f64 + share;
        let is_within_budget = times.retries.len() as f64 + 1.0 <= budget;
        if is_within_budget {
            times.retries.push_back(now);
        }
        is_within_budget
    }
}

fn drop_expired(times: &mut VecDeque<Time>, now: Time, window: Duration) {
    while times.front().is_some_and(|at| now.since(*at) > window) {
        times.pop_front();
    }
}
