//! The baseline for the sequential tests: a fixed-horizon z-test that is evaluated repeatedly, on
//! sums over all strata.

use dogwoodturn::{
    ids::RouteName,
    moves::evidence::{Cells, Counts, Moments, Side},
};
use indexmap::IndexSet;

use crate::moves_sim::traffic::WindowSums;

/// The length of the windows recorded by the traffic, in seconds.
const WINDOW_SECONDS: f64 = 3.0;
/// The one-sided 0.05% quantile of the normal distribution.
const CRITICAL_Z: f64 = 3.29;
/// The fewest attempts on the new version, and the fewest times of each version, for an evaluation.
const MIN_ATTEMPTS: u64 = 30;
/// The tolerated natural logarithm of the ratio of times, new to old: a ratio of 1.25, as in the
/// sequential tests.
const LOG_SLOWNESS_TOLERANCE: f64 = 0.223;

/// Returns the seconds from the start to the first evaluation that finds the new version bad.
///
/// The test is evaluated after each window, or only at the ends of the steps if these are given.
pub fn first_alarm(windows: &[WindowSums], step_ends: Option<&[f64]>) -> Option<f64> {
    let mut sums = Cells::new();
    let mut ends_passed = 0;
    for (index, window) in windows.iter().enumerate().filter(|(_, window)| !window.is_full) {
        for (cell, counts) in &window.cells {
            sums.entry(cell.clone()).or_default().plus(counts);
        }
        let end = (index + 1) as f64 * WINDOW_SECONDS;
        let is_evaluated = match step_ends {
            None => true,
            Some(ends) => {
                let passed = ends.iter().filter(|&&at| at <= end).count();
                let is_new = passed > ends_passed;
                ends_passed = passed;
                is_new
            }
        };
        if is_evaluated && is_alarming(&sums) {
            return Some(end);
        }
    }
    None
}

fn is_alarming(sums: &Cells) -> bool {
    let routes: IndexSet<&RouteName> = sums.keys().map(|cell| &cell.route).collect();
    routes.into_iter().any(|route| {
        let (old, new) = (total(sums, route, Side::Old), total(sums, route, Side::New));
        new.total() >= MIN_ATTEMPTS
            && (failures(&old, &new) > CRITICAL_Z
                || slowness(&old.time_to_first_token, &new.time_to_first_token) > CRITICAL_Z
                || slowness(&old.time_per_token, &new.time_per_token) > CRITICAL_Z)
    })
}

fn total(sums: &Cells, route: &RouteName, side: Side) -> Counts {
    let mut total = Counts::default();
    for (_, counts) in sums.iter().filter(|(cell, _)| cell.route == *route && cell.side == side) {
        total.plus(counts);
    }
    total
}

fn failures(old: &Counts, new: &Counts) -> f64 {
    let (old_total, new_total) = (old.total() as f64, new.total() as f64);
    let pooled = (old.bad + new.bad) as f64 / (old_total + new_total);
    let std_error = (pooled * (1.0 - pooled) * (1.0 / old_total + 1.0 / new_total)).sqrt();
    (new.bad as f64 / new_total - old.bad as f64 / old_total) / std_error.max(1e-9)
}

fn slowness(old: &Moments, new: &Moments) -> f64 {
    if old.count < MIN_ATTEMPTS || new.count < MIN_ATTEMPTS {
        return 0.0;
    }
    let std_error = old.variance() / old.count as f64 + new.variance() / new.count as f64;
    (new.mean() - old.mean() - LOG_SLOWNESS_TOLERANCE) / std_error.sqrt().max(1e-9)
}
