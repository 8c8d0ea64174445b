//! Plans the hosts of one service in all zones, as a pure function.
//!
//! The plan is the cheapest mix of reclaimable and on-demand hosts found that still carries the
//! demand after the loss of its largest zone. Every lease holder computes the plan of all zones
//! from the same inputs and carries out the part of its own zone. See `docs/design/supply.md`.

use std::{fmt, time::Duration};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{
    declaration::SupplyBounds,
    ids::{ClassName, ZoneName},
    store::cloud::HostKind,
    supply::rate::WorkRate,
    units::PricePerHour,
};

/// How much cheaper than a pool with hosts another pool must be to replace it, in per cent.
pub const SWITCH_GAIN_PERCENT: u64 = 15;
/// The probability of a wave during the longest start time of reclaimable hosts above which the
/// plan covers the loss of two zones' reclaimable hosts.
pub const SECOND_WAVE_CHANCE: f64 = 0.05;
/// The number of equal steps of zone size that are tried, up to a zone that carries all demand.
const ZONE_SIZE_STEPS: u64 = 12;

/// Hosts of one zone, class and kind, which cost the same and fail together.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Pool {
    /// The zone that has the hosts.
    pub zone: ZoneName,
    /// Their machine class.
    pub class: ClassName,
    /// Whether the cloud may reclaim them.
    pub reclaimable: bool,
}

impl Pool {
    /// Returns the kind of the pool's hosts.
    pub fn kind(&self) -> HostKind {
        if self.reclaimable { HostKind::Reclaimable } else { HostKind::OnDemand }
    }
}

impl fmt::Display for Pool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = if self.reclaimable { "reclaimable" } else { "on-demand" };
        write!(f, "{}/{}/{kind}", self.zone, self.class)
    }
}

/// The state of a pool that a plan depends on.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolView {
    /// The current price of a host.
    pub price: PricePerHour,
    /// The work that a host carries within the latency target.
    pub capacity: WorkRate,
    /// The number of running or starting hosts, without those that are leaving.
    pub present: u32,
    /// Whether the cloud currently refuses starts.
    pub refused: bool,
    /// The rate of reclaim waves in the zone.
    pub waves_per_hour: f64,
    /// How long a host takes from the start call until it serves.
    pub start_time: Duration,
}

impl PoolView {
    /// Returns the price including the expected waste by reclaims, reduced by
    /// [`SWITCH_GAIN_PERCENT`] if the pool has hosts.
    fn expected_price(&self, pool: &Pool) -> f64 {
        let lost = self.waves_per_hour * self.start_time.as_secs_f64() / 3600.0;
        let waste_factor = if pool.reclaimable { 1.0 + 2.0 * lost } else { 1.0 };
        let switch_percent = if self.present > 0 { 100 - SWITCH_GAIN_PERCENT } else { 100 };
        self.price.0 as f64 * waste_factor * switch_percent as f64 / 100.0
    }

    fn price_per_work(&self, pool: &Pool) -> f64 {
        self.expected_price(pool) / self.capacity.0.max(1) as f64
    }

    fn max_hosts(&self) -> u32 {
        if self.refused { self.present } else { u32::MAX }
    }
}

/// The inputs of a plan.
#[derive(Clone, Debug)]
pub struct PlanInput<'a> {
    /// The forecast work to carry.
    pub demand: WorkRate,
    /// The pools that the cloud offers or that have hosts.
    pub pools: &'a IndexMap<Pool, PoolView>,
    /// The limits set by operators.
    pub bounds: SupplyBounds,
}

/// What determined the size of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The demand, with the largest zone lost.
    Demand,
    /// The smallest number of hosts that operators allow.
    Smallest,
    /// The largest number of hosts that operators allow; the demand needs more.
    Largest,
    /// The budget; the demand needs more.
    Budget,
    /// The plan uses at most one zone and does not assure the demand.
    SingleZone,
    /// The available pools can't carry the demand with the largest zone lost.
    Short,
}

/// The planned hosts of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The number of hosts by pool, without pools that have none.
    pub host_counts: IndexMap<Pool, u32>,
    /// The total price of the hosts.
    pub cost: PricePerHour,
    /// The work that the hosts carry with the largest zone lost.
    pub assured: WorkRate,
    pub reason: Reason,
}

/// Plans the hosts of one service.
pub fn plan(input: &PlanInput<'_>) -> Plan {
    let draft = cheapest_draft(input).unwrap_or_else(|| fill_all_zones(input));
    let mut draft = cover_second_wave(input, draft);
    let mut reason = if draft.assured(input) >= input.demand.0 {
        Reason::Demand
    } else if draft.zones(input).len() < 2 {
        Reason::SingleZone
    } else {
        Reason::Short
    };
    if grow_to_smallest(input, &mut draft) {
        reason = Reason::Smallest;
    }
    if shrink_to_largest(input, &mut draft) {
        reason = Reason::Largest;
    }
    if shrink_to_budget(input, &mut draft) {
        reason = Reason::Budget;
    }
    draft.finish(input, reason)
}

#[derive(Clone, Debug, Default)]
struct Draft {
    host_counts: IndexMap<Pool, u32>,
}

impl Draft {
    fn add(&mut self, pool: &Pool, count: u32) {
        *self.host_counts.entry(pool.clone()).or_default() += count;
    }

    fn remove_one(&mut self, pool: &Pool) {
        if let Some(count) = self.host_counts.get_mut(pool) {
            *count = count.saturating_sub(1);
        }
    }

    fn count(&self) -> u32 {
        self.host_counts.values().sum()
    }

    fn hosts_in(&self, pool: &Pool) -> u32 {
        self.host_counts.get(pool).copied().unwrap_or(0)
    }

    fn zones(&self, input: &PlanInput<'_>) -> IndexMap<ZoneName, u64> {
        let mut zones = IndexMap::new();
        for (pool, &count) in &self.host_counts {
            let capacity = input.pools.get(pool).map_or(0, |view| view.capacity.0);
            *zones.entry(pool.zone.clone()).or_default() += capacity * u64::from(count);
        }
        zones.retain(|_, capacity| *capacity > 0);
        zones
    }

    /// Returns the work carried with the largest zone lost, or all of it if only one zone is
    /// usable.
    fn assured(&self, input: &PlanInput<'_>) -> u64 {
        let zones = self.zones(input);
        let all: u64 = zones.values().sum();
        let largest = zones.values().max().copied().unwrap_or(0);
        if usable_zones(input) > 1 { all - largest } else { all }
    }

    /// Returns the work carried without the reclaimable hosts of the two zones that have most of
    /// them.
    fn after_two_waves(&self, input: &PlanInput<'_>) -> u64 {
        let all: u64 = self.zones(input).values().sum();
        let mut reclaimable: IndexMap<&ZoneName, u64> = IndexMap::new();
        for (pool, &count) in self.host_counts.iter().filter(|(pool, _)| pool.reclaimable) {
            let capacity = input.pools.get(pool).map_or(0, |view| view.capacity.0);
            *reclaimable.entry(&pool.zone).or_default() += capacity * u64::from(count);
        }
        let mut sizes: Vec<u64> = reclaimable.into_values().collect();
        sizes.sort_unstable_by(|a, b| b.cmp(a));
        all - sizes.iter().take(2).sum::<u64>()
    }

    fn expected_cost(&self, input: &PlanInput<'_>) -> f64 {
        let cost = |(pool, &count): (&Pool, &u32)| {
            input.pools.get(pool).map_or(0.0, |view| view.expected_price(pool) * f64::from(count))
        };
        self.host_counts.iter().map(cost).sum()
    }

    fn cost(&self, input: &PlanInput<'_>) -> u64 {
        let price = |pool| input.pools.get(pool).map_or(0, |view| view.price.0);
        self.host_counts.iter().map(|(pool, &count)| price(pool) * u64::from(count)).sum()
    }

    fn finish(mut self, input: &PlanInput<'_>, reason: Reason) -> Plan {
        self.host_counts.retain(|_, count| *count > 0);
        self.host_counts.sort_keys();
        let cost = PricePerHour(self.cost(input));
        let assured = WorkRate(self.assured(input));
        Plan { host_counts: self.host_counts, cost, assured, reason }
    }
}

fn usable_zones(input: &PlanInput<'_>) -> usize {
    let usable = input.pools.iter().filter(|(_, view)| view.max_hosts() > 0 && view.capacity.0 > 0);
    let zones: indexmap::IndexSet<&ZoneName> = usable.map(|(pool, _)| &pool.zone).collect();
    zones.len()
}

/// Returns the usable pools of each zone, with pools and zones ordered by price per work.
fn pools_by_zone<'a>(input: &PlanInput<'a>) -> Vec<Vec<(&'a Pool, &'a PoolView)>> {
    let mut zones: IndexMap<&ZoneName, Vec<(&Pool, &PoolView)>> = IndexMap::new();
    for (pool, view) in input.pools {
        if view.max_hosts() > 0 && view.capacity.0 > 0 {
            zones.entry(&pool.zone).or_default().push((pool, view));
        }
    }
    let mut zones: Vec<_> = zones.into_values().collect();
    for pools in &mut zones {
        pools.sort_by(|a, b| {
            a.1.price_per_work(a.0).total_cmp(&b.1.price_per_work(b.0)).then(a.0.cmp(b.0))
        });
    }
    zones.sort_by(|a, b| {
        let price = |pools: &Vec<(&Pool, &PoolView)>| pools[0].1.price_per_work(pools[0].0);
        price(a).total_cmp(&price(b)).then(a[0].0.cmp(b[0].0))
    });
    zones
}

/// Returns the cheapest draft found that carries the demand with the largest zone lost.
///
/// For a given size of the largest zone, filling the cheapest zones up to that size is cheapest.
/// The sizes tried are the demand divided by each possible number of remaining zones, and
/// [`ZONE_SIZE_STEPS`] equal steps.
fn cheapest_draft(input: &PlanInput<'_>) -> Option<Draft> {
    let zones = pools_by_zone(input);
    let demand = input.demand.0;
    if demand == 0 {
        return Some(Draft::default());
    }
    let mut zone_sizes: Vec<u64> =
        (1..zones.len().max(2) as u64).map(|k| demand.div_ceil(k)).collect();
    zone_sizes.extend((1..=ZONE_SIZE_STEPS).map(|step| (demand * step).div_ceil(ZONE_SIZE_STEPS)));
    let mut best: Option<(f64, Draft)> = None;
    for &zone_size in &zone_sizes {
        for used in 1..=zones.len() {
            let mut draft = Draft::default();
            for pools in &zones[..used] {
                fill(&mut draft, pools, zone_size);
            }
            if draft.assured(input) < demand {
                continue;
            }
            trim(input, &mut draft);
            let cost = draft.expected_cost(input);
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                best = Some((cost, draft));
            }
        }
    }
    best.map(|(_, draft)| draft)
}

fn fill(draft: &mut Draft, pools: &[(&Pool, &PoolView)], zone_size: u64) {
    let mut uncovered = zone_size;
    for (pool, view) in pools {
        let host_count =
            uncovered.div_ceil(view.capacity.0).min(u64::from(view.max_hosts())) as u32;
        draft.add(pool, host_count);
        uncovered = uncovered.saturating_sub(u64::from(host_count) * view.capacity.0);
        if uncovered == 0 {
            return;
        }
    }
}

/// Removes surplus hosts, the most expensive first, as long as the demand is carried.
fn trim(input: &PlanInput<'_>, draft: &mut Draft) {
    let mut pools: Vec<Pool> = draft.host_counts.keys().cloned().collect();
    let price = |pool: &Pool| input.pools[pool].expected_price(pool);
    pools.sort_by(|a, b| price(b).total_cmp(&price(a)).then(a.cmp(b)));
    for pool in pools {
        while draft.hosts_in(&pool) > 0 {
            draft.remove_one(&pool);
            if draft.assured(input) < input.demand.0 {
                draft.add(&pool, 1);
                break;
            }
        }
    }
}

/// Returns a draft in which each zone carries as much of the demand as it can, for a demand that
/// can't be carried with a zone lost.
fn fill_all_zones(input: &PlanInput<'_>) -> Draft {
    let mut draft = Draft::default();
    for pools in pools_by_zone(input) {
        fill(&mut draft, &pools, input.demand.0);
    }
    draft
}

/// Covers a second wave before the hosts lost in a first one are replaced, if its probability
/// exceeds [`SECOND_WAVE_CHANCE`]: adds on-demand hosts and removes surplus reclaimable ones.
fn cover_second_wave(input: &PlanInput<'_>, mut draft: Draft) -> Draft {
    if second_wave_chance(input) <= SECOND_WAVE_CHANCE {
        return draft;
    }
    let cheapest_on_demand = |input: &PlanInput<'_>| {
        let safe =
            input.pools.iter().filter(|(pool, view)| !pool.reclaimable && view.max_hosts() > 0);
        safe.min_by(|a, b| a.1.price_per_work(a.0).total_cmp(&b.1.price_per_work(b.0)))
            .map(|(pool, view)| (pool.clone(), view.capacity.0.max(1)))
    };
    let Some((pool, capacity)) = cheapest_on_demand(input) else { return draft };
    let missing = input.demand.0.saturating_sub(draft.after_two_waves(input));
    draft.add(&pool, missing.div_ceil(capacity) as u32);
    trim_after_two_waves(input, &mut draft);
    draft
}

fn trim_after_two_waves(input: &PlanInput<'_>, draft: &mut Draft) {
    let reclaimable: Vec<Pool> =
        draft.host_counts.keys().filter(|pool| pool.reclaimable).cloned().collect();
    for pool in reclaimable {
        while draft.hosts_in(&pool) > 0 {
            draft.remove_one(&pool);
            let is_sufficient =
                draft.assured(input).min(draft.after_two_waves(input)) >= input.demand.0;
            if !is_sufficient {
                draft.add(&pool, 1);
                break;
            }
        }
    }
}

fn second_wave_chance(input: &PlanInput<'_>) -> f64 {
    let mut waves: IndexMap<&ZoneName, f64> = IndexMap::new();
    let mut start_time = Duration::ZERO;
    for (pool, view) in input.pools.iter().filter(|(pool, _)| pool.reclaimable) {
        waves.insert(&pool.zone, view.waves_per_hour);
        start_time = start_time.max(view.start_time);
    }
    let expected = waves.values().sum::<f64>() * start_time.as_secs_f64() / 3600.0;
    1.0 - (-expected).exp()
}

fn grow_to_smallest(input: &PlanInput<'_>, draft: &mut Draft) -> bool {
    let zones = pools_by_zone(input);
    let mut grown = false;
    let mut index = 0;
    while draft.count() < input.bounds.smallest && !zones.is_empty() {
        let pools = &zones[index % zones.len()];
        let growing = pools.iter().find(|(pool, view)| draft.hosts_in(pool) < view.max_hosts());
        if let Some((pool, _)) = growing {
            draft.add(pool, 1);
            grown = true;
        }
        index += 1;
        if index > zones.len() * (input.bounds.smallest as usize + 1) {
            break;
        }
    }
    grown
}

fn shrink_to_largest(input: &PlanInput<'_>, draft: &mut Draft) -> bool {
    let largest = input.bounds.largest;
    shrink(input, draft, |draft| largest > 0 && draft.count() > largest)
}

fn shrink_to_budget(input: &PlanInput<'_>, draft: &mut Draft) -> bool {
    let budget = input.bounds.budget;
    shrink(input, draft, |draft| budget.is_some_and(|budget| draft.cost(input) > budget.0))
}

/// Removes hosts of the largest zone, those with the highest price per work first, while
/// `too_large` returns true.
fn shrink(input: &PlanInput<'_>, draft: &mut Draft, too_large: impl Fn(&Draft) -> bool) -> bool {
    let mut shrunk = false;
    while too_large(draft) {
        let zones = draft.zones(input);
        let Some(zone) = zones.iter().max_by_key(|(_, size)| **size).map(|(zone, _)| zone) else {
            break;
        };
        let most_expensive = draft
            .host_counts
            .iter()
            .filter(|(pool, count)| pool.zone == *zone && **count > 0)
            .map(|(pool, _)| pool.clone())
            .max_by(|a, b| {
                let price = |pool: &Pool| input.pools[pool].price_per_work(pool);
                price(a).total_cmp(&price(b))
            });
        let Some(pool) = most_expensive else { break };
        draft.remove_one(&pool);
        shrunk = true;
    }
    shrunk
}
