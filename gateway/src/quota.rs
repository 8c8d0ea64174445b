//! Customers' quotas across all daemons, as one token bucket that nobody holds.
//!
//! Load pattern: one customer sends many times its usual, over connections that the balancer
//! spreads unevenly, while daemons are killed. Each daemon tells its peers what it admitted lately,
//! by short intervals, and replays the sum through the bucket: what was admitted in the meantime
//! shows as debt that is paid off before more is admitted. For each peer that is not heard, an
//! equal part of the bucket is set aside, so that parts that cannot hear each other stay within the
//! quota together. A bucket rather than a window keeps a customer's flow even, so that a daemon
//! that starts after a crash does little harm by not knowing what went before: it takes its part
//! of the burst as used.
//!
//! What others admit is known late, the later the more daemons there are, although in large systems
//! a hub adds it up (see [`crate::hubs`]). Where that is later than the tolerance covers, and the
//! bucket so low that all daemons together would empty it before they know of each other, a
//! request is admitted by lot, the less likely the lower the bucket is.

use std::time::Duration;

use dogwoodturn::{ids::CustomerName, units::Time};
use indexmap::IndexMap;

use crate::table::Quota;

/// The length of one interval of the history.
const HISTORY_INTERVAL: Duration = Duration::from_millis(500);
/// The part of the tolerance that is used on purpose, so that what is within a quota is not refused
/// for the daemons' views differing; the rest covers what is admitted between two messages.
const PLANNED_TOLERANCE_SHARE: f64 = 0.5;
/// The time over which what is asked for is averaged.
const REQUESTED_RATE_WINDOW: Duration = Duration::from_secs(1);
/// The delay with which others' admissions may be known and the unused part of the tolerance still
/// covers what all admit meanwhile; that of daemons that all hear each other.
const TOLERATED_LAG: Duration = Duration::from_millis(250);
/// The shortest time after which a refused caller may come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// By how much the operators let customers exceed their quotas.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// The window over which quotas hold.
    pub window: Duration,
    /// A part of the quota.
    pub overshoot: f64,
    /// Units on top.
    pub allowance: f64,
}

/// Units admitted in each interval, the current one first.
pub type History = Vec<u64>;

/// What the peers say of one customer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PeerAdmissions {
    /// Units that the peers that are heard admitted, by interval.
    pub history: History,
    /// Units a second that were asked for at the peers.
    pub requested: f64,
    /// How late their admissions are known.
    pub lag: Duration,
    /// How many peers are heard.
    pub live_peers: u32,
    /// How many peers exist and are not heard.
    pub silent: u32,
}

impl PeerAdmissions {
    /// Adds what one peer told, `age` ago.
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
    /// Takes what all daemons did together, if the one who says it hears more of them; `own` is what
    /// was admitted here. What was admitted here in the newest interval is not taken off, since it
    /// may not be in the total yet.
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

/// What one daemon says that all did of one customer's quota.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionTotal<'a> {
    /// Units admitted, by interval.
    pub admitted: &'a [u64],
    /// Units a second that were asked for.
    pub requested: f64,
    /// How many other daemons it hears.
    pub live_peers: u32,
    /// How old its word is.
    pub age: Duration,
}

/// The units that one request used, to be given back if it did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Charge {
    interval: u64,
    units: u64,
}

/// The quotas as one daemon keeps them.
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
    /// Makes the quotas of a daemon; `first_start` says that nothing can have been admitted yet.
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

    /// Changes the tolerance; what was admitted stays.
    pub fn set_tolerance(&mut self, tolerance: Tolerance) {
        self.tolerance = tolerance;
        self.intervals = intervals(tolerance);
    }

    /// Returns by how much quotas are exceeded on purpose, as a factor.
    fn overshoot_factor(&self) -> f64 {
        1.0 + self.tolerance.overshoot * PLANNED_TOLERANCE_SHARE
    }

    /// Returns the size of the bucket of all daemons.
    fn bucket_size(&self, quota: Quota) -> f64 {
        // The allowance counts tokens where quotas do; a quota of few requests keeps to its burst.
        let allowance = (self.tolerance.allowance * PLANNED_TOLERANCE_SHARE).min(quota.burst);
        quota.burst * self.overshoot_factor() + allowance
    }

    /// Takes this daemon's part of a customer's burst as used by the run before this one.
    pub fn assume_burst_spent(&mut self, customer: &CustomerName, quota: Quota, daemons: u32) {
        if self.has_predecessor && !self.admitted.contains_key(customer) {
            let share = self.bucket_size(quota) / f64::from(daemons.max(1));
            let used = IndexMap::from([(interval_of(self.started), share as u64)]);
            self.admitted.insert(customer.clone(), used);
        }
    }

    /// Admits a request, or says when there may be room for it; `lot`, from zero to below one,
    /// decides while the bucket is nearly empty.
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

    /// Gives back what a request was charged that did not run.
    pub fn refund(&mut self, customer: &CustomerName, charge: Charge) {
        let admitted = self.admitted.get_mut(customer);
        if let Some(units) = admitted.and_then(|admitted| admitted.get_mut(&charge.interval)) {
            *units = units.saturating_sub(charge.units);
        }
    }

    /// Returns the units a second that a customer asked for here lately.
    pub fn requested_rate(&self, now: Time, customer: &CustomerName) -> f64 {
        let Some(requested) = self.requested.get(customer) else { return 0.0 };
        let (current, window) =
            (interval_of(now), REQUESTED_RATE_WINDOW.as_micros() / HISTORY_INTERVAL.as_micros());
        let recent = requested.iter().filter(|(at, _)| current - **at <= window as u64);
        let elapsed = (now.0 % HISTORY_INTERVAL.as_micros() as u64) as f64 / 1e6;
        recent.map(|(_, units)| *units).sum::<u64>() as f64
            / (REQUESTED_RATE_WINDOW.as_secs_f64() + elapsed)
    }

    /// Returns what each customer asks for, for the peers.
    pub fn all_requested(&self, now: Time) -> Vec<(CustomerName, u64)> {
        let rates =
            self.requested.keys().map(|name| (name.clone(), self.requested_rate(now, name) as u64));
        rates.filter(|(_, rate)| *rate > 0).collect()
    }

    /// Returns what a customer was admitted here, the current interval first.
    pub fn history(&self, now: Time, customer: &CustomerName) -> History {
        let current = interval_of(now);
        let admitted = self.admitted.get(customer);
        let at = |age: u64| {
            let interval = current.checked_sub(age)?;
            admitted.and_then(|admitted| admitted.get(&interval)).copied()
        };
        (0..=self.intervals).map(|age| at(age).unwrap_or(0)).collect()
    }

    /// Returns the history of each customer that was admitted something lately, for the peers.
    pub fn all(&self, now: Time) -> Vec<(CustomerName, History)> {
        let all = self.admitted.keys().map(|name| (name.clone(), self.history(now, name)));
        all.filter(|(_, history)| history.iter().any(|units| *units > 0)).collect()
    }
}

/// Returns the level of the bucket after all that was admitted; debt shows as a negative level.
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
