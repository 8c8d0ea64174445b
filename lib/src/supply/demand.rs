//! Aggregates and forecasts the demand of one service, and estimates the capacity of a host of each
//! machine class.

use std::time::Duration;

use indexmap::IndexMap;

use crate::{
    ids::{ClassName, DataCentre},
    supply::{
        message::ClassTotals,
        rate::{Work, WorkRate},
    },
    units::Time,
};

/// The interval at which sums are reported.
pub const REPORT_INTERVAL: Duration = Duration::from_secs(5);
/// How long the latest sum of an origin counts.
const SUM_TTL: Duration = Duration::from_secs(20);
/// The weight of the newest value in the smoothed level, in thousandths.
const LEVEL_GAIN_PER_MILLE: i64 = 400;
/// The weight of the newest change in the smoothed trend, in thousandths.
const TREND_GAIN_PER_MILLE: i64 = 150;
/// The headroom above the forecast, in per cent.
const HEADROOM_PERCENT: i64 = 15;
/// The capacity assumed for a host of a class until one is estimated, in units of work per second.
pub const DEFAULT_CAPACITY: WorkRate = WorkRate(100);
/// The smallest share of attempts within the latency target, in thousandths, at which the capacity
/// estimate is not reduced.
const MIN_WITHIN_PER_MILLE: u64 = 950;
/// The smallest load, in per cent of the estimated capacity, at which a missed latency target
/// reduces the estimate.
const MIN_LOAD_PERCENT: u64 = 60;
/// The part of the extrapolated capacity that is used as the estimate, in per cent.
const EXTRAPOLATION_PERCENT: u64 = 90;
/// The smallest latency that capacity is extrapolated from, in thousandths of the target; smaller
/// ones count as this.
const MIN_LATENCY_PER_MILLE: u64 = 50;
/// The part of the capacity estimate that is retained when the latency target is missed, in per
/// cent.
const RETAINED_PERCENT: u64 = 90;

/// The latest sum of one origin: when it was received, the time span it covers, and the totals by
/// class.
type LatestSum = (Time, Duration, Vec<(ClassName, ClassTotals)>);

/// The latest sum of each origin.
#[derive(Clone, Debug)]
pub struct DemandSums<K> {
    latest: IndexMap<K, LatestSum>,
}

impl<K> Default for DemandSums<K> {
    fn default() -> Self {
        Self { latest: IndexMap::new() }
    }
}

impl<K: std::hash::Hash + Eq> DemandSums<K> {
    /// Replaces the sum of an origin.
    pub fn add(
        &mut self,
        now: Time,
        origin: K,
        interval: Duration,
        classes: Vec<(ClassName, ClassTotals)>,
    ) {
        self.latest.insert(origin, (now, interval, classes));
    }

    /// Returns the total over all origins, with the work of each scaled to [`REPORT_INTERVAL`].
    pub fn total(&mut self, now: Time) -> IndexMap<ClassName, ClassTotals> {
        self.latest.retain(|_, (at, _, _)| now.since(*at) < SUM_TTL);
        let mut total: IndexMap<ClassName, ClassTotals> = IndexMap::new();
        for (_, interval, classes) in self.latest.values() {
            for (class, sum) in classes {
                let entry = total.entry(class.clone()).or_default();
                let rate = sum.work.over(*interval);
                entry.work = entry.work + Work(rate.0 * REPORT_INTERVAL.as_secs());
                entry.within_target += sum.within_target;
                entry.outside_target += sum.outside_target;
                entry.latency_per_mille_sum += sum.latency_per_mille_sum;
            }
        }
        total
    }
}

pub type DataCentreSums = DemandSums<DataCentre>;

/// A forecast by double exponential smoothing: a level, in work per second, and its trend, in work
/// per second per second.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Forecast {
    /// In thousandths of a unit of work per second.
    level: i64,
    /// In thousandths of a unit of work per second per second.
    trend: i64,
    at: Option<Time>,
}

impl Forecast {
    /// Updates level and trend with the current demand.
    pub fn observe(&mut self, now: Time, demand: WorkRate) {
        let value = demand.0.cast_signed() * 1000;
        let Some(at) = self.at.replace(now) else {
            self.level = value;
            return;
        };
        let elapsed_ms = (now.since(at).as_millis() as i64).max(1);
        let expected = self.level + self.trend * elapsed_ms / 1000;
        let level = expected + (value - expected) * LEVEL_GAIN_PER_MILLE / 1000;
        let change = (level - self.level) * 1000 / elapsed_ms;
        self.trend += (change - self.trend) * TREND_GAIN_PER_MILLE / 1000;
        self.level = level.max(0);
    }

    /// Returns the largest forecast demand from now until `horizon` from now, plus the headroom.
    pub fn peak_within(&self, horizon: Duration) -> WorkRate {
        let increase = self.trend.max(0) * horizon.as_secs().cast_signed();
        let planned = (self.level + increase) * (100 + HEADROOM_PERCENT) / 100;
        WorkRate(planned.max(0).cast_unsigned().div_ceil(1000))
    }
}

/// The work that a host of each class carries within the latency target, estimated from the totals
/// of past intervals.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Capacities {
    estimates: IndexMap<ClassName, WorkRate>,
}

impl Capacities {
    /// Returns the estimated capacity of a host of a class.
    pub fn host_capacity(&self, class: &ClassName) -> WorkRate {
        self.estimates.get(class).copied().unwrap_or(DEFAULT_CAPACITY)
    }

    /// Updates the estimate of a class from the totals of its `hosts` hosts in one interval.
    pub fn observe(&mut self, class: &ClassName, sum: &ClassTotals, hosts: u32) {
        let requests = sum.within_target + sum.outside_target;
        if hosts == 0 || requests == 0 {
            return;
        }
        let rate = sum.work.over(REPORT_INTERVAL).0 / u64::from(hosts);
        let known = self.host_capacity(class).0;
        let is_within = sum.within_target * 1000 >= requests * MIN_WITHIN_PER_MILLE;
        if !is_within && rate * 100 < known * MIN_LOAD_PERCENT {
            return;
        }
        let estimate = if is_within {
            // Latency grows with the load from a value above zero, so that this extrapolation in
            // proportion to the load gives a lower bound of the capacity.
            let mean_latency_per_mille =
                (sum.latency_per_mille_sum / requests).max(MIN_LATENCY_PER_MILLE);
            known.max(rate * 1000 / mean_latency_per_mille * EXTRAPOLATION_PERCENT / 100)
        } else {
            (known * RETAINED_PERCENT / 100).max(1)
        };
        self.estimates.insert(class.clone(), WorkRate(estimate));
    }
}
