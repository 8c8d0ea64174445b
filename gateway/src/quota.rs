//! Customer quotas as token buckets that all daemons share without a central counter.
//!
//! Load pattern: one customer sends many times its usual load, over connections that the balancer
//! spreads unevenly, while daemons are killed. Each daemon reports to its peers the units that it
//! admitted recently, by short intervals, and replays the sum through the bucket: units admitted
//! before a report arrived show as debt that is paid off before more is admitted. For each silent
//! peer an equal share of the bucket is set aside, so that partitions that cannot reach each other
//! stay within the quota together. A token bucket, unlike a window, spreads a customer's admissions
//! evenly. A daemon that starts after a crash therefore does little harm by not knowing earlier
//! admissions: it counts its share of the burst as used.
//!
//! Other daemons' admissions are known late, and the later the more daemons there are, although in
//! large systems a hub adds them up (see [`crate::hubs`]). If this lag exceeds what the tolerance
//! covers, and the bucket is so low that all daemons together would empty it before they learn of
//! each other's admissions, requests are admitted at random, with a probability that falls with the
//! level of the bucket.

use std::time::Duration;

use dogwoodturn::{ids::CustomerName, units::Time};
use indexmap::IndexMap;

use crate::table::Quota;

const HISTORY_INTERVAL: Duration = Duration::from_millis(500);
/// Share of the tolerance that is admitted on purpose, so that requests within a quota are not
/// refused because the daemons' views differ. The rest covers what is admitted between two
/// messages.
const PLANNED_TOLERANCE_SHARE: f64 = 0.5;
/// Averaging time of the requested rate.
const REQUESTED_RATE_WINDOW: Duration = Duration::from_secs(1);
/// Lag of other daemons' admissions up to which the unused tolerance covers what all daemons admit
/// in the meantime; the lag of daemons that all exchange messages directly.
const TOLERATED_LAG: Duration = Duration::from_millis(250);
/// Level of a bucket, as a share of its size, from which it counts as full.
const FULL_SHARE: f64 = 0.9;
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// By how much customers may exceed their quotas.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// The window in which quotas and tolerance hold.
    pub window: Duration,
    /// Fraction of the quota.
    pub overshoot: f64,
    /// Units in addition to the overshoot.
    pub allowance: f64,
}

/// Units admitted in each interval, the current interval first.
pub type History = Vec<u64>;

/// The peers' reports on one customer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PeerAdmissions {
    /// Sum over the peers, by interval.
    pub history: History,
    /// Units per second requested at the live peers.
    pub requested: f64,
    /// How late the peers' admissions are known.
    pub lag: Duration,
    /// Peers whose messages arrive.
    pub live_peers: u32,
    /// Peers that the store lists but whose messages do not arrive.
    pub silent: u32,
}

impl PeerAdmissions {
    /// Adds the history that a peer reported `age` ago.
    pub fn add(&mut self, history: &[u64], age: Duration) {
        let shift = (age.as_micros() / HISTORY_INTERVAL.as_micros()) as usize;
        let length = shift + history.len();
        if self.history.len() < length {
            self.history.resize(length, 0);
        }
        for (sum, units) in self.history[shift..].iter_mut().zip(history) {
            *sum += units;
        }
    }
}

impl PeerAdmissions {
    /// Replaces the peers' reports by a hub's total if the hub receives reports from at least as
    /// many daemons. `own` is this daemon's history, which is subtracted from the total, except for
    /// the newest interval, which the total may not include yet.
    pub fn apply_total(&mut self, total: &AdmissionTotal<'_>, lag: Duration, own: &[u64]) {
        self.lag = lag;
        if total.live_peers < self.live_peers {
            return;
        }
        let all = self.live_peers + self.silent;
        self.live_peers = total.live_peers.min(all);
        self.silent = all - self.live_peers;
        self.requested = total.requested;
        self.history.clear();
        self.add(total.admitted, total.age);
        for (units, own) in self.history.iter_mut().zip(own).skip(1) {
            *units = units.saturating_sub(*own);
        }
    }
}

/// A hub's total of all daemons' admissions for one customer.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionTotal<'a> {
    /// Units by interval.
    pub admitted: &'a [u64],
    /// Units per second.
    pub requested: f64,
    /// The number of other daemons whose reports it includes.
    pub live_peers: u32,
    /// The age of the hub's message.
    pub age: Duration,
    /// How late the total may include what a daemon admits.
    pub lag: Duration,
}

/// The units charged for one request, which are refunded if it does not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Charge {
    interval: u64,
    units: u64,
}

/// The quotas as one daemon counts them.
#[derive(Clone, Debug)]
pub struct Quotas {
    tolerance: Tolerance,
    intervals: u64,
    started: Time,
    has_predecessor: bool,
    admitted: IndexMap<CustomerName, IndexMap<u64, u64>>,
    requested: IndexMap<CustomerName, IndexMap<u64, u64>>,
}

impl Quotas {
    /// `first_start` states that no earlier run can have admitted anything.
    pub fn new(tolerance: Tolerance, now: Time, first_start: bool) -> Self {
        Self {
            tolerance,
            intervals: intervals(tolerance),
            started: now,
            has_predecessor: !first_start,
            admitted: IndexMap::new(),
            requested: IndexMap::new(),
        }
    }

    /// Changes the tolerance and keeps the history.
    pub fn set_tolerance(&mut self, tolerance: Tolerance) {
        self.tolerance = tolerance;
        self.intervals = intervals(tolerance);
    }

    /// Returns the factor by which quotas are exceeded on purpose.
    fn overshoot_factor(&self) -> f64 {
        1.0 + self.tolerance.overshoot * PLANNED_TOLERANCE_SHARE
    }

    /// Returns the bucket size of all daemons together.
    fn bucket_size(&self, quota: Quota) -> f64 {
        // The allowance is set for quotas that count tokens; the limit keeps it from dwarfing a
        // quota that counts requests.
        let allowance = (self.tolerance.allowance * PLANNED_TOLERANCE_SHARE).min(quota.burst);
        quota.burst * self.overshoot_factor() + allowance
    }

    /// Counts this daemon's share of a customer's burst as used by the previous run.
    pub fn assume_burst_spent(&mut self, customer: &CustomerName, quota: Quota, daemons: u32) {
        if self.has_predecessor && !self.admitted.contains_key(customer) {
            let share = self.bucket_size(quota) / f64::from(daemons.max(1));
            let used = IndexMap::from([(interval_of(self.started), share as u64)]);
            self.admitted.insert(customer.clone(), used);
        }
    }

    /// Admits a request, or returns the time after which there may be capacity. `random`, in the
    /// range 0.0..1.0, decides while the bucket is nearly empty.
    pub fn admit(
        &mut self,
        now: Time,
        customer: &CustomerName,
        quota: Quota,
        units: u64,
        random: f64,
        peers: &PeerAdmissions,
    ) -> Result<Charge, Duration> {
        self.assume_burst_spent(customer, quota, 1 + peers.live_peers + peers.silent);
        let daemons = f64::from(1 + peers.live_peers + peers.silent);
        let share = f64::from(1 + peers.live_peers) / daemons;
        let rate = quota.rate * self.overshoot_factor() * share;
        let capacity = self.bucket_size(quota) * share;
        let own = self.history(now, customer);
        let level = replay(&own, &peers.history, rate, capacity, self.intervals, now);
        let interval = interval_of(now);
        let oldest = interval.saturating_sub(self.intervals);
        add_units(&mut self.requested, customer, interval, oldest, units);
        let requested = self.requested_rate(now, customer) + peers.requested;
        let reserve = requested * peers.lag.saturating_sub(TOLERATED_LAG).as_secs_f64();
        let deficit = (units as f64).min(capacity) - level;
        if deficit > 0.0 || level < reserve * random {
            let deficit = deficit.max(reserve - level);
            let retry_after = Duration::from_secs_f64((deficit / rate.max(1.0)).min(60.0));
            return Err(retry_after.max(MIN_RETRY_AFTER));
        }
        add_units(&mut self.admitted, customer, interval, oldest, units);
        Ok(Charge { interval, units })
    }

    /// Reports whether the bucket of all daemons is full or nearly so after these admissions, so that they make
    /// no difference to what may be admitted next.
    pub fn is_bucket_full(
        &self,
        now: Time,
        quota: Quota,
        admitted: &[u64],
        requested: f64,
    ) -> bool {
        let (rate, capacity) = (quota.rate * self.overshoot_factor(), self.bucket_size(quota));
        let level = replay(admitted, &[], rate, capacity, self.intervals, now);
        level >= capacity * FULL_SHARE && requested <= quota.rate
    }

    /// Refunds the charge of a request that did not run.
    pub fn refund(&mut self, customer: &CustomerName, charge: Charge) {
        let admitted = self.admitted.get_mut(customer);
        if let Some(units) = admitted.and_then(|admitted| admitted.get_mut(&charge.interval)) {
            *units = units.saturating_sub(charge.units);
        }
    }

    /// Returns the units per second that a customer requested here recently.
    pub fn requested_rate(&self, now: Time, customer: &CustomerName) -> f64 {
        let Some(requested) = self.requested.get(customer) else { return 0.0 };
        let (current, rate_window) =
            (interval_of(now), REQUESTED_RATE_WINDOW.as_micros() / HISTORY_INTERVAL.as_micros());
        let recent = requested.iter().filter(|(at, _)| current - **at <= rate_window as u64);
        let elapsed = (now.0 % HISTORY_INTERVAL.as_micros() as u64) as f64 / 1e6;
        recent.map(|(_, units)| *units).sum::<u64>() as f64
            / (REQUESTED_RATE_WINDOW.as_secs_f64() + elapsed)
    }

    /// Returns each customer's requested rate, to be sent to the peers.
    pub fn all_requested(&self, now: Time) -> Vec<(CustomerName, u64)> {
        let rates =
            self.requested.keys().map(|name| (name.clone(), self.requested_rate(now, name) as u64));
        rates.filter(|(_, rate)| *rate > 0).collect()
    }

    /// Returns a customer's units admitted here, the current interval first.
    pub fn history(&self, now: Time, customer: &CustomerName) -> History {
        let current = interval_of(now);
        let admitted = self.admitted.get(customer);
        let at = |age: u64| {
            let interval = current.checked_sub(age)?;
            admitted.and_then(|admitted| admitted.get(&interval)).copied()
        };
        (0..=self.intervals).map(|age| at(age).unwrap_or(0)).collect()
    }

    /// Returns the histories of all customers with recent admissions, to be sent to the peers.
    pub fn all_histories(&self, now: Time) -> Vec<(CustomerName, History)> {
        let all = self.admitted.keys().map(|name| (name.clone(), self.history(now, name)));
        all.filter(|(_, history)| history.iter().any(|units| *units > 0)).collect()
    }
}

/// Returns the level of the bucket after all admissions; a negative level is debt.
fn replay(own: &[u64], peers: &[u64], rate: f64, capacity: f64, intervals: u64, now: Time) -> f64 {
    let length = HISTORY_INTERVAL.as_secs_f64();
    let units = |age: usize| {
        let own = own.get(age).copied().unwrap_or(0);
        (own + peers.get(age).copied().unwrap_or(0)) as f64
    };
    let mut level = capacity;
    for age in (1..=intervals as usize).rev() {
        level = (level + rate * length).min(capacity) - units(age);
    }
    let elapsed = (now.0 % HISTORY_INTERVAL.as_micros() as u64) as f64 / 1e6;
    (level + rate * elapsed).min(capacity) - units(0)
}

fn add_units(
    counts: &mut IndexMap<CustomerName, IndexMap<u64, u64>>,
    customer: &CustomerName,
    interval: u64,
    oldest: u64,
    units: u64,
) {
    if !counts.contains_key(customer) {
        counts.insert(customer.clone(), IndexMap::new());
    }
    if let Some(counts) = counts.get_mut(customer) {
        counts.retain(|at, _| *at >= oldest);
        *counts.entry(interval).or_default() += units;
    }
}

fn intervals(tolerance: Tolerance) -> u64 {
    (tolerance.window.as_micros() / HISTORY_INTERVAL.as_micros()).max(1) as u64
}

fn interval_of(now: Time) -> u64 {
    now.0 / HISTORY_INTERVAL.as_micros() as u64
}
