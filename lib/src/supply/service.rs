//! What the holder of a lease knows of a service in all its zones.

use std::time::Duration;

use indexmap::IndexMap;

use crate::{
    declaration::Service,
    ids::{ClassName, ServiceName, ZoneName},
    supply::{
        demand::{Capacities, DataCentreSums, Forecast, INTERVAL},
        market::Market,
        message::ClassTotals,
        plan::{self, Plan, PlanInput, Pool, PoolView},
        rate::{Work, WorkRate},
    },
    units::Time,
    upstream::{HostRecord, HostState},
};

/// Demand, capacity and plan of one service.
#[derive(Clone, Debug, Default)]
pub struct ServiceState {
    /// The sums that the data centres have told.
    pub sums: DataCentreSums,
    /// The demand and its trend.
    pub forecast: Forecast,
    /// What hosts carry.
    pub capacities: Capacities,
    /// The demand of the last interval.
    pub demand: WorkRate,
    /// The plan made last.
    pub plan: Option<Plan>,
    observed: Option<Time>,
}

/// Where the hosts of a service are counted from.
pub type Present = IndexMap<Pool, u32>;

impl ServiceState {
    /// Brings forecast and capacities up to date, once in each interval.
    pub fn observe(&mut self, now: Time, hosts: &[HostRecord], service: &ServiceName) {
        if self.observed.is_some_and(|at| now.since(at) < INTERVAL) {
            return;
        }
        self.observed = Some(now);
        let total = self.sums.total(now);
        let work = total.values().fold(Work(0), |sum, class| sum + class.work);
        self.demand = work.over(INTERVAL);
        self.forecast.observe(now, self.demand);
        for (class, sum) in &total {
            self.learn(class, sum, hosts, service);
        }
    }

    fn learn(
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

    /// Makes the plan of all zones.
    pub fn make_plan(&mut self, now: Time, market: &Market, present: &Present, service: &Service) {
        let mut pools = IndexMap::new();
        for pool in market.pools().chain(present.keys()) {
            pools.insert(pool.clone(), self.view(now, market, present, pool));
        }
        pools.sort_keys();
        let ahead = market.longest_start_time() + INTERVAL;
        let demand = self.forecast.until(ahead);
        let bounds = service.supply;
        self.plan = Some(plan::plan(&PlanInput { demand, pools: &pools, bounds }));
    }

    fn view(&self, now: Time, market: &Market, present: &Present, pool: &Pool) -> PoolView {
        let price = market.price(pool);
        PoolView {
            price: price.unwrap_or_default(),
            capacity: self.capacities.of(&pool.class),
            present: present.get(pool).copied().unwrap_or(0),
            refused: price.is_none() || market.is_refused(now, pool),
            waves_per_hour: market.waves_per_hour(now, &pool.zone),
            start_time: market.start_time(&pool.class),
        }
    }

    /// Returns how many hosts of a pool the plan wants.
    pub fn wanted(&self, pool: &Pool) -> u32 {
        let plan = self.plan.as_ref();
        plan.and_then(|plan| plan.want.get(pool)).copied().unwrap_or(0)
    }

    /// Returns the pools of a zone that the plan wants hosts of.
    pub fn wanted_in<'a>(&'a self, zone: &'a ZoneName) -> impl Iterator<Item = (&'a Pool, u32)> {
        let want = self.plan.iter().flat_map(|plan| &plan.want);
        want.filter(move |(pool, _)| pool.zone == *zone).map(|(pool, &count)| (pool, count))
    }
}

/// The longest time that the requests of a service may still take at a host that leaves.
pub fn drain_time(deadlines: impl Iterator<Item = Duration>) -> Duration {
    deadlines.max().unwrap_or(Duration::from_secs(30))
}
