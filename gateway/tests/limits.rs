//! Limits across all daemons: retry budgets.

#[path = "support/model.rs"]
mod model;

use std::time::Duration;

use dogwoodturn_gateway::retry::{Bounds, RetryBudgets};
use model::{at, service};

#[test]
fn try_retry_storm_stays_within_the_budget_of_all_daemons() {
    const DAEMONS: u32 = 7;
    let bounds = Bounds { ratio: 0.2, allowance: 54.0, window: Duration::from_secs(10) };
    let mut budgets: Vec<_> =
        (0..DAEMONS).map(|_| RetryBudgets::new(bounds, at(0), true)).collect();
    let mut retries = Vec::new();
    let mut requests = Vec::new();
    for ms in 0..30_000_u64 {
        for (index, budget) in budgets.iter_mut().enumerate() {
            if (ms + index as u64).is_multiple_of(50) {
                budget.record_request(at(ms), &service());
                requests.push(ms);
                if budget.try_retry(at(ms), &service(), DAEMONS) {
                    retries.push(ms);
                }
            }
        }
    }
    for from in (0..20_000).step_by(250) {
        let within = |times: &[u64]| {
            times.iter().filter(|ms| (from..from + 10_000).contains(*ms)).count() as f64
        };
        let allowed = within(&requests) * bounds.ratio + bounds.allowance;
        assert!(within(&retries) <= allowed, "{} of {allowed} from {from}", within(&retries));
    }
    assert!(
        retries.len() as f64 >= requests.len() as f64 * 0.1,
        "the budget allows hardly any retries"
    );
}

/// Guards against a fleet that uses its allowance again after each restart within one window.
#[test]
fn try_retry_allowance_is_used_again_by_restarted_daemons() {
    const DAEMONS: u32 = 295;
    let bounds = Bounds { ratio: 0.2, allowance: 630.0, window: Duration::from_secs(10) };
    let (mut requests, mut retries) = (0.0, 0.0);
    // All are killed twice within a window, as when a host group loses power while it starts.
    for run in 0..3_u64 {
        let started = 3000 * run;
        for _ in 0..DAEMONS {
            let mut budget = RetryBudgets::new(bounds, at(started), run == 0);
            budget.record_request(at(started + 500), &service());
            requests += 1.0;
            let is_allowed = budget.try_retry(at(started + 500), &service(), DAEMONS);
            retries += f64::from(u8::from(is_allowed));
        }
    }
    let allowed = requests * bounds.ratio + bounds.allowance;
    assert!(retries <= allowed, "{retries} retries, {allowed} are allowed");
}
