//! Customers' quotas across all daemons.
//!
//! Load pattern: one customer sends many times its usual, over connections that the balancer
//! spreads unevenly. Each daemon adds up what it and its peers admitted in the sliding window and
//! admits while the sum is below the limit; what the peers admit between two messages is covered
//! by the overshoot that the operator allows. For each peer that is not heard, an equal part of
//! the limit is set aside, so that parts that cannot hear each other stay below the limit
//! together.

use std::time::Duration;

use dogwoodturn::{ids::CustomerName, units::Time};
use indexmap::IndexMap;

use crate::table::Quota;

/// The length of a bucket; the window slides by it.
const BUCKET: Duration = Duration::from_millis(250);

/// What one customer was admitted here, by bucket.
#[derive(Clone, Debug, Default)]
struct Spent {
    buckets: IndexMap<u64, u64>,
}

impl Spent {
    fn sum(&self, oldest: u64) -> u64 {
        self.buckets.iter().filter(|(at, _)| **at >= oldest).map(|(_, units)| units).sum()
    }
}

/// What the peers say.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Peers {
    /// Units that the peers that are heard admitted within the window.
    pub spent: u64,
    /// How many peers are heard.
    pub heard: u32,
    /// How many peers exist and are not heard.
    pub silent: u32,
}

/// The units that one request used, to be given back if it did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Charge {
    bucket: u64,
    units: u64,
}

/// The quotas as one daemon keeps them.
#[derive(Clone, Debug)]
pub struct Quotas {
    window: Duration,
    spent: IndexMap<CustomerName, Spent>,
    /// The start of a daemon that follows an earlier one, whose admissions are not known.
    inherited_from: Option<Time>,
}

impl Quotas {
    /// Makes the quotas of a daemon; `first_start` says that nothing can have been admitted yet.
    pub fn new(window: Duration, now: Time, first_start: bool) -> Self {
        let inherited_from = (!first_start).then_some(now);
        Self { window, spent: IndexMap::new(), inherited_from }
    }

    /// Admits a request, or says when there may be room for it.
    pub fn admit(
        &mut self,
        now: Time,
        customer: &CustomerName,
        quota: Quota,
        units: u64,
        peers: Peers,
    ) -> Result<Charge, Duration> {
        let limit = quota.rate * self.window.as_secs_f64() + quota.burst;
        let daemons = f64::from(1 + peers.heard + peers.silent);
        let reachable = limit * f64::from(1 + peers.heard) / daemons;
        let inherited = self.inherited(now) * limit / daemons;
        let used = self.spent(now, customer) as f64 + peers.spent as f64 + inherited;
        let excess = used + units as f64 - reachable;
        if excess > 0.0 {
            let seconds = (excess / quota.rate.max(1.0)).min(self.window.as_secs_f64());
            return Err(Duration::from_secs_f64(seconds).max(BUCKET));
        }
        let bucket = bucket_of(now);
        let oldest = bucket.saturating_sub(self.buckets());
        let spent = self.spent.entry(customer.clone()).or_default();
        spent.buckets.retain(|at, _| *at >= oldest);
        *spent.buckets.entry(bucket).or_default() += units;
        Ok(Charge { bucket, units })
    }

    /// Gives back what a request was charged that did not run.
    pub fn refund(&mut self, customer: &CustomerName, charge: Charge) {
        let spent = self.spent.get_mut(customer);
        if let Some(units) = spent.and_then(|spent| spent.buckets.get_mut(&charge.bucket)) {
            *units = units.saturating_sub(charge.units);
        }
    }

    /// Returns the units admitted here within the window.
    pub fn spent(&self, now: Time, customer: &CustomerName) -> u64 {
        let oldest = bucket_of(now).saturating_sub(self.buckets());
        self.spent.get(customer).map_or(0, |spent| spent.sum(oldest))
    }

    /// Returns what each customer was admitted here within the window, for the peers.
    pub fn all_spent(&self, now: Time) -> Vec<(CustomerName, u64)> {
        let sum = |customer: &CustomerName| (customer.clone(), self.spent(now, customer));
        self.spent.keys().map(sum).filter(|(_, units)| *units > 0).collect()
    }

    fn buckets(&self) -> u64 {
        self.window.as_millis() as u64 / BUCKET.as_millis() as u64
    }

    /// The part of the limit that an earlier run of this daemon may still have in the window.
    fn inherited(&self, now: Time) -> f64 {
        let Some(from) = self.inherited_from else { return 0.0 };
        let passed = now.since(from).as_secs_f64() / self.window.as_secs_f64();
        (1.0 - passed).max(0.0)
    }
}

fn bucket_of(now: Time) -> u64 {
    now.0 / BUCKET.as_micros() as u64
}
