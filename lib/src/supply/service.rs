//! The state of a service in all zones, as kept by its lease holders.

use std::time::Duration;

use indexmap::IndexMap;

use crate::{
    declaration::Service,
    ids::{ClassName, ServiceName, ZoneName},
    supply::{
        demand::{Capacities, DataCentreSums, Forecast, REPORT_INTERVAL},
        market::Market,
        message::ClassTotals,
        plan::{self, Plan, PlanInput, Pool, PoolView},
        rate::{Work, WorkRate},
    },
    units::Time,
    upstream::{HostRecord, HostState},
};

/// The demand, capacities and plan of one service.
#[derive(Clone, Debug, Default)]
pub struct ServiceState {
    /// The sums of demand reported by the data centres.
    pub sums: DataCentreSums,
    pub forecast: Forecast,
    pub capacities: Capacities,
    /// The demand of the last interval.
    pub demand: WorkRate,
    /// The latest plan.
    pub plan: Option<Plan>,
    observed_at: Option<Time>,
}

/// The number of hosts of a service by pool, running or starting.
pub type HostCounts = IndexMap<Pool, u32>;

impl ServiceState {
    /// Updates the forecast and the capacities, at most once in each [`REPORT_INTERVAL`].
    pub fn observe(&mut self, now: Time, hosts: &[HostRecord], service: &ServiceName) {
        if self.observed_at.is_some_and(|at| now.since(at) < REPORT_INTERVAL) {
            return;
        }
        self.observed_at = Some(now);
        let total = self.sums.total(now);
        let work = total.values().fold(Work(0), |sum, class| sum + class.work);
        self.demand = work.over(REPORT_INTERVAL);
        self.forecast.observe(now, self.demand);
        for (class, sum) in &total {
            self.update_capacity(class, sum, hosts, service);
        }
    }

    fn update_capacity(
        &mut self,
        class: &ClassName,
        sum: &ClassTotals,
        hosts: &[HostRecord],
        service: &ServiceName,
    ) {
        let serving = hosts.iter().filter(|host| {
            host.service == *service && host.class == *class && host.state == HostState::Live
        });
        self.capacities.observe(class, sum, serving.count() as u32);
    }

    /// Computes the plan of all zones.
    pub fn update_plan(
        &mut self,
        now: Time,
        market: &Market,
        present: &HostCounts,
        service: &Service,
    ) {
        let mut pools = IndexMap::new();
        for pool in market.pools().chain(present.keys()) {
            pools.insert(pool.clone(), self.view(now, market, present, pool));
        }
        pools.sort_keys();
        let horizon = market.longest_start_time() + REPORT_INTERVAL;
        let demand = self.forecast.peak_within(horizon);
        let bounds = service.supply;
        self.plan = Some(plan::plan(&PlanInput { demand, pools: &pools, bounds }));
    }

    fn view(&self, now: Time, market: &Market, present: &HostCounts, pool: &Pool) -> PoolView {
        let price = market.price(pool);
        PoolView {
            price: price.unwrap_or_default(),
            capacity: self.capacities.host_capacity(&pool.class),
            present: present.get(pool).copied().unwrap_or(0),
            refused: price.is_none() || market.is_refused(now, pool),
            waves_per_hour: market.waves_per_hour(now, &pool.zone),
            start_time: market.start_time(&pool.class),
        }
    }

    /// Returns the planned number of hosts of a pool.
    pub fn planned_hosts(&self, pool: &Pool) -> u32 {
        let plan = self.plan.as_ref();
        plan.and_then(|plan| plan.host_counts.get(pool)).copied().unwrap_or(0)
    }

    /// Returns the pools of a zone with their planned numbers of hosts.
    pub fn planned_hosts_in<'a>(
        &'a self,
        zone: &'a ZoneName,
    ) -> impl Iterator<Item = (&'a Pool, u32)> {
        let host_counts = self.plan.iter().flat_map(|plan| &plan.host_counts);
        host_counts.filter(move |(pool, _)| pool.zone == *zone).map(|(pool, &count)| (pool, count))
    }
}

/// Returns how long a leaving host may need to finish its requests: the longest deadline of the
/// routes, or 30 s without a route.
pub fn drain_time(deadlines: impl Iterator<Item = Duration>) -> Duration {
    deadlines.max().unwrap_or(Duration::from_secs(30))
}
