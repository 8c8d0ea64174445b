//! Calculates how many hosts a model service should have, of which type and in which data centres.
//!
//! Load pattern: the cloud reclaims all reclaimable hosts of a data centre at once, on shorter
//! notice than a host takes to start, often in one data centre after another, and has none left for
//! a while. A burst is as short as the start of a host. So the hosts that cannot be reclaimed,
//! called the base, carry the usual demand in the cheapest data centres. An equal number of
//! reclaimable hosts, at a fraction of the price, serves bursts and makes up for crashes. Hosts
//! present at the start are released only once the demand is known and the remaining hosts can
//! carry it. See `docs/design/platform.md`.

use std::{collections::VecDeque, time::Duration};

use dogwoodturn::{
    ids::{DataCentre, ServiceName},
    units::Time,
};
use indexmap::{IndexMap, IndexSet};

use crate::{store::UpstreamRecord, table::HostBounds};

/// Utilization of a base host's engine at the usual demand.
const BASE_UTILIZATION: f64 = 0.7;
/// The same while reclaimable hosts are missing, which leaves bursts to the base.
const BASE_UTILIZATION_ALONE: f64 = 0.55;
/// Reclaimable hosts per base host.
const RECLAIMABLE_RATIO: f64 = 1.0;
/// The base level, which is the number of base hosts that the usual demand needs, is lowered only
/// if the demand needs more than this many hosts fewer.
const LOWERING_MARGIN_HOSTS: f64 = 2.0;
/// Least number of base hosts, so that a crash does not stop the service.
const MIN_BASE_HOSTS: u32 = 2;
/// Averaging time of the demand.
const DEMAND_WINDOW: Duration = Duration::from_secs(10);
/// Time since the first demand before the first order, so that the demand is known before hosts
/// present at the start are released.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Time after a raise for which the base level or a pool's count is not lowered.
const HOLD_AFTER_RAISE: Duration = Duration::from_secs(8);
/// Time after the boot time of a host after which an order without effect is repeated.
const REORDER_MARGIN: Duration = Duration::from_secs(4);
/// Time after which a refused order is repeated.
const REFUSED_RETRY_INTERVAL: Duration = Duration::from_secs(4);

/// Hosts of one type in one data centre.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct HostPool {
    pub data_centre: DataCentre,
    /// Whether the cloud may reclaim the hosts.
    pub reclaimable: bool,
}

/// A number of hosts to be ordered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostOrder {
    pub service: ServiceName,
    pub pool: HostPool,
    /// The total number of hosts in the pool.
    pub count: u32,
}

#[derive(Clone, Copy, Debug)]
struct PlacedOrder {
    count: u32,
    /// When the order was sent or, if that was later, accepted or refused.
    updated_at: Time,
    refused: bool,
    /// When the count was last raised.
    raised_at: Option<Time>,
}

#[derive(Clone, Debug, Default)]
struct ServiceAutoscaler {
    demand_since: Option<Time>,
    /// Number of base hosts that the usual demand needs.
    base_level: u32,
    samples: VecDeque<(Time, f64)>,
    ordered: IndexMap<HostPool, PlacedOrder>,
    /// When the base level was last raised.
    raised_at: Option<Time>,
}

/// The orders of one leader.
#[derive(Clone, Debug, Default)]
pub struct Autoscaler(IndexMap<ServiceName, ServiceAutoscaler>);

impl Autoscaler {
    /// Returns the orders that are due for a service.
    ///
    /// `demand` is the number of engines that its requests would keep busy; `present` are its
    /// upstreams that accept work, and `evacuated` the data centres that get none.
    pub fn plan_orders(
        &mut self,
        now: Time,
        service: &ServiceName,
        bounds: &HostBounds,
        demand: f64,
        present: &[&UpstreamRecord],
        evacuated: &IndexSet<DataCentre>,
    ) -> Vec<HostOrder> {
        if bounds.prices.is_empty() || bounds.max == 0 {
            return Vec::new();
        }
        let autoscaler = self.0.entry(service.clone()).or_default();
        let demand = autoscaler.average_demand(now, demand);
        if present.is_empty() {
            return Vec::new();
        }
        let is_settled =
            autoscaler.demand_since.is_some_and(|since| now.since(since) >= SETTLE_TIME);
        if !is_settled {
            return Vec::new();
        }
        autoscaler.update_base_level(now, demand);
        // Evacuated data centres keep their hosts for the return, and the others carry the demand.
        let usable: Vec<_> =
            present.iter().copied().filter(|u| !evacuated.contains(&u.data_centre)).collect();
        let mut usable_bounds = bounds.clone();
        usable_bounds.prices.retain(|data_centre, _| !evacuated.contains(data_centre));
        if usable_bounds.prices.is_empty() {
            return Vec::new();
        }
        let wanted = plan(&usable_bounds, autoscaler.base_level, demand, &usable);
        autoscaler.due_orders(now, service, bounds, demand, &wanted, &usable)
    }

    /// Records whether the cloud accepted an order.
    pub fn record_reply(&mut self, now: Time, order: &HostOrder, accepted: bool) {
        let ordered = self.0.get_mut(&order.service).and_then(|s| s.ordered.get_mut(&order.pool));
        if let Some(ordered) = ordered {
            ordered.refused = !accepted;
            ordered.updated_at = now;
        }
    }

    /// Records that an order was not sent, so that it is planned again.
    pub fn withdraw(&mut self, order: &HostOrder) {
        let service = self.0.get_mut(&order.service);
        if let Some(ordered) = service.and_then(|service| service.ordered.get_mut(&order.pool)) {
            ordered.refused = true;
            ordered.updated_at = Time::default();
        }
    }

    /// Discards all state when the lease is lost, so that a later term starts from what it
    /// observes.
    pub fn reset(&mut self) {
        self.0.clear();
    }
}

impl ServiceAutoscaler {
    /// Adds a sample if it is above zero, and returns the average of the recent samples.
    fn average_demand(&mut self, now: Time, demand: f64) -> f64 {
        if demand > 0.0 {
            self.demand_since.get_or_insert(now);
            self.samples.push_back((now, demand));
        }
        while self.samples.front().is_some_and(|(at, _)| now.since(*at) > DEMAND_WINDOW) {
            self.samples.pop_front();
        }
        let sum: f64 = self.samples.iter().map(|(_, demand)| demand).sum();
        sum / (self.samples.len().max(1)) as f64
    }

    /// Raises the base level with the demand, and lowers it only once the demand is clearly lower.
    fn update_base_level(&mut self, now: Time, demand: f64) {
        let needed = demand / BASE_UTILIZATION;
        let is_held = is_held(now, self.raised_at);
        let is_more = needed > f64::from(self.base_level);
        if is_more {
            self.raised_at = Some(now);
        }
        let is_clearly_less = needed < f64::from(self.base_level) - LOWERING_MARGIN_HOSTS;
        if is_more || (is_clearly_less && !is_held) {
            self.base_level = needed.ceil() as u32;
        }
        self.base_level = self.base_level.max(MIN_BASE_HOSTS);
    }

    /// Returns the orders that turn the ordered and running hosts into the wanted ones.
    fn due_orders(
        &mut self,
        now: Time,
        service: &ServiceName,
        bounds: &HostBounds,
        demand: f64,
        wanted: &IndexMap<HostPool, u32>,
        present: &[&UpstreamRecord],
    ) -> Vec<HostOrder> {
        let mut orders = Vec::new();
        let kept: u32 = wanted.iter().map(|(pool, n)| count_at(present, pool).min(*n)).sum();
        let is_enough = f64::from(kept) >= demand / BASE_UTILIZATION_ALONE;
        for (pool, &count) in wanted {
            let running = count_at(present, pool);
            let last = self.ordered.get(pool).copied();
            let last_count = last.map_or(running, |last| last.count);
            let is_more = count > last_count;
            let is_fewer = count < last_count;
            let since_last = last.map_or(Duration::MAX, |last| now.since(last.updated_at));
            let raised_at = last.and_then(|last| last.raised_at);
            let may_release = is_fewer && is_enough && !is_held(now, raised_at);
            let has_no_effect = running != count && since_last >= bounds.boot_time + REORDER_MARGIN;
            let may_retry =
                last.is_none_or(|last| !last.refused) || since_last >= REFUSED_RETRY_INTERVAL;
            let was_refused = last.is_some_and(|last| last.refused);
            let is_due = (is_more && may_retry)
                || may_release
                || (last.is_some() && has_no_effect)
                || (was_refused && may_retry && running < count);
            if !is_due {
                continue;
            }
            let raised_at = if is_more { Some(now) } else { raised_at };
            let ordered = PlacedOrder { count, updated_at: now, refused: false, raised_at };
            self.ordered.insert(pool.clone(), ordered);
            orders.push(HostOrder { service: service.clone(), pool: pool.clone(), count });
        }
        // Hosts are added before others are released, so that no order leaves a gap.
        orders.sort_by_key(|order| order.count <= count_at(present, &order.pool));
        orders
    }
}

/// Reports whether a raise is so recent that it must not be undone.
fn is_held(now: Time, raised_at: Option<Time>) -> bool {
    raised_at.is_some_and(|at| now.since(at) < HOLD_AFTER_RAISE)
}

/// Returns the number of hosts wanted in each pool.
fn plan(
    bounds: &HostBounds,
    base_level: u32,
    demand: f64,
    present: &[&UpstreamRecord],
) -> IndexMap<HostPool, u32> {
    let centres = bounds.prices.len() as u32;
    let is_cheap = bounds.reclaimable_price.is_some_and(|price| price < 1.0);
    let total_reclaimable = (f64::from(base_level) * RECLAIMABLE_RATIO).ceil() as u32;
    let reclaimable_each =
        if is_cheap { total_reclaimable.div_ceil(centres).min(bounds.max / 2) } else { 0 };
    let reclaimable = present.iter().filter(|record| record.reclaimable).count() as u32;
    let is_base_alone = reclaimable * 2 < reclaimable_each * centres || !is_cheap;
    let base_alone = (demand / BASE_UTILIZATION_ALONE).ceil() as u32;
    let mut base = if is_base_alone { base_level.max(base_alone) } else { base_level };
    let mut wanted = IndexMap::new();
    let mut by_price: Vec<_> = bounds.prices.iter().collect();
    by_price.sort_by(|a, b| a.1.total_cmp(b.1));
    for (data_centre, _) in by_price {
        let base_pool = HostPool { data_centre: data_centre.clone(), reclaimable: false };
        let floor = bounds.min.saturating_sub(reclaimable_each);
        let count = base.min(bounds.max - reclaimable_each).max(floor);
        base = base.saturating_sub(count);
        wanted.insert(base_pool, count);
    }
    if is_cheap {
        for data_centre in bounds.prices.keys() {
            wanted.insert(
                HostPool { data_centre: data_centre.clone(), reclaimable: true },
                reclaimable_each,
            );
        }
    }
    wanted
}

fn count_at(present: &[&UpstreamRecord], pool: &HostPool) -> u32 {
    let is_in_pool = |record: &&&UpstreamRecord| {
        record.data_centre == pool.data_centre && record.reclaimable == pool.reclaimable
    };
    present.iter().filter(is_in_pool).count() as u32
}
