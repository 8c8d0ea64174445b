//! Adds up the demand of one service, forecasts it, and learns what a host of each class carries.

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

/// How often sums are told.
pub const INTERVAL: Duration = Duration::from_secs(5);
/// How long a sum counts when no newer one comes.
const EXPIRES: Duration = Duration::from_secs(20);
/// The weight of the newest value in the smoothed level, in thousandths.
const LEVEL_GAIN: i64 = 400;
/// The weight of the newest change in the smoothed trend, in thousandths.
const TREND_GAIN: i64 = 150;
/// The room left above the forecast, in per cent.
const HEADROOM_PERCENT: i64 = 15;
/// What a host is taken to carry before anything has been learnt.
pub const UNKNOWN_CAPACITY: WorkRate = WorkRate(100);
/// The least share of requests within the target, in thousandths, at which capacity is kept.
const WITHIN_PER_MILLE: u64 = 950;
/// The least load, in per cent of the capacity, at which an interval says anything about it.
const LOADED_PERCENT: u64 = 60;
/// The part of the extrapolated capacity that is relied on, in per cent.
const RELIED_PERCENT: u64 = 90;
/// The least latency, in thousandths of the target, from which capacity is extrapolated.
const LEAST_PRESSURE: u64 = 50;
/// What is left of the capacity when a load was carried outside the target, in per cent.
const OUTSIDE_PERCENT: u64 = 90;

/// The newest sum of one origin: when it came, its span, and the work by class.
type Newest = (Time, Duration, Vec<(ClassName, ClassTotals)>);

/// Sums by their origin; the newest of each counts.
#[derive(Clone, Debug)]
pub struct Sums<K> {
    newest: IndexMap<K, Newest>,
}

impl<K> Default for Sums<K> {
    fn default() -> Self {
        Self { newest: IndexMap::new() }
    }
}

impl<K: std::hash::Hash + Eq> Sums<K> {
    /// Takes a sum.
    pub fn add(
        &mut self,
        now: Time,
        origin: K,
        interval: Duration,
        classes: Vec<(ClassName, ClassTotals)>,
    ) {
        self.newest.insert(origin, (now, interval, classes));
    }

    /// Returns the sum over all origins, each brought to [`INTERVAL`].
    pub fn total(&mut self, now: Time) -> IndexMap<ClassName, ClassTotals> {
        self.newest.retain(|_, (at, _, _)| now.since(*at) < EXPIRES);
        let mut total: IndexMap<ClassName, ClassTotals> = IndexMap::new();
        for (_, interval, classes) in self.newest.values() {
            for (class, sum) in classes {
                let entry = total.entry(class.clone()).or_default();
                let rate = sum.work.over(*interval);
                entry.work = entry.work + Work(rate.0 * INTERVAL.as_secs());
                entry.within += sum.within;
                entry.outside += sum.outside;
                entry.pressure += sum.pressure;
            }
        }
        total
    }
}

/// Sums by data centre.
pub type DataCentreSums = Sums<DataCentre>;

/// A level and a trend, smoothed, in work a second and work a second per second.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Forecast {
    /// In thousandths of a unit.
    level: i64,
    /// In thousandths of a unit a second.
    trend: i64,
    at: Option<Time>,
}

impl Forecast {
    /// Takes the demand of now.
    pub fn observe(&mut self, now: Time, demand: WorkRate) {
        let value = demand.0.cast_signed() * 1000;
        let Some(at) = self.at.replace(now) else {
            self.level = value;
            return;
        };
        let seconds = (now.since(at).as_millis() as i64).max(1);
        let expected = self.level + self.trend * seconds / 1000;
        let level = expected + (value - expected) * LEVEL_GAIN / 1000;
        let change = (level - self.level) * 1000 / seconds;
        self.trend += (change - self.trend) * TREND_GAIN / 1000;
        self.level = level.max(0);
    }

    /// Returns the demand to plan for: the largest from now until `ahead`, with room above it.
    pub fn until(&self, ahead: Duration) -> WorkRate {
        let risen = self.trend.max(0) * ahead.as_secs().cast_signed();
        let wanted = (self.level + risen) * (100 + HEADROOM_PERCENT) / 100;
        WorkRate(wanted.max(0).cast_unsigned().div_ceil(1000))
    }
}

/// What a host of each class carries within the latency target, learnt from what hosts did.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Capacities {
    learnt: IndexMap<ClassName, WorkRate>,
}

impl Capacities {
    /// Returns the capacity of a class.
    pub fn of(&self, class: &ClassName) -> WorkRate {
        self.learnt.get(class).copied().unwrap_or(UNKNOWN_CAPACITY)
    }

    /// Takes what the `hosts` hosts of a class did within one interval.
    pub fn observe(&mut self, class: &ClassName, sum: &ClassTotals, hosts: u32) {
        let requests = sum.within + sum.outside;
        if hosts == 0 || requests == 0 {
            return;
        }
        let rate = sum.work.over(INTERVAL).0 / u64::from(hosts);
        let known = self.of(class).0;
        let is_within = sum.within * 1000 >= requests * WITHIN_PER_MILLE;
        if !is_within && rate * 100 < known * LOADED_PERCENT {
            return;
        }
        let learnt = if is_within {
            // Latency grows with the load from more than zero, so that this is a lower bound.
            let pressure = (sum.pressure / requests).max(LEAST_PRESSURE);
            known.max(rate * 1000 / pressure * RELIED_PERCENT / 100)
        } else {
            (known * OUTSIDE_PERCENT / 100).max(1)
        };
        self.learnt.insert(class.clone(), WorkRate(learnt));
    }
}
