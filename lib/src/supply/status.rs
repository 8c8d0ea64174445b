//! The status of supply at one daemon, for operators.

use serde::{Deserialize, Serialize};

use crate::{
    ids::{ClassName, DaemonId, FencingNumber, ServiceName, ZoneName},
    store::cloud::HostKind,
    supply::{
        Supply,
        demand::REPORT_INTERVAL,
        plan::{Pool, Reason},
        rate::WorkRate,
    },
    units::{PricePerHour, Time},
};

/// The planned and present hosts of one pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolStatus {
    pub zone: ZoneName,
    pub class: ClassName,
    /// Whether the cloud may reclaim the hosts.
    pub kind: HostKind,
    /// The planned number of hosts.
    pub wanted: u32,
    /// The number of hosts that run or are starting; `None` unless this daemon holds the zone's
    /// lease and has listed its hosts.
    pub present: Option<u32>,
    /// The current price of one host.
    pub price: PricePerHour,
    /// The estimated capacity of one host, in units of work per second.
    pub capacity: WorkRate,
    /// Whether the cloud currently refuses starts.
    pub refused: bool,
}

/// A lease that this daemon holds or wants.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseStatus {
    pub zone: ZoneName,
    /// The last observed holder.
    pub holder: Option<DaemonId>,
    /// The fencing number of the current term, if this daemon holds the lease.
    pub fencing: Option<FencingNumber>,
}

/// The plan of one service at one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceStatus {
    pub service: ServiceName,
    /// Whether operators have paused starts and releases of hosts.
    pub paused: bool,
    /// What determined the size of the plan; `None` before the first plan.
    pub reason: Option<Reason>,
    /// The demand of the last interval, in units of work per second.
    pub demand: WorkRate,
    /// The forecast demand, in units of work per second.
    pub forecast: WorkRate,
    /// The work per second that the plan carries with the largest zone lost.
    pub assured: WorkRate,
    /// The total price of the planned hosts.
    pub cost: PricePerHour,
    pub leases: Vec<LeaseStatus>,
    pub pools: Vec<PoolStatus>,
}

/// Returns the status of every managed service of which this daemon holds or wants a lease.
pub fn service_statuses(supply: &Supply, now: Time) -> Vec<ServiceStatus> {
    let services = supply.cluster.set.services.values();
    let managed = services.filter(|service| service.supply.managed);
    let service_status = |service: &crate::declaration::Service| {
        let units: Vec<_> = supply.units().filter(|unit| unit.service == service.name).collect();
        if units.is_empty() {
            return None;
        }
        let state = supply.service(&service.name);
        let plan = state.and_then(|state| state.plan.as_ref());
        let leases = units.iter().map(|unit| LeaseStatus {
            zone: unit.zone.clone(),
            holder: unit.lease.holder().map(|holder| holder.daemon.clone()),
            fencing: unit.lease.current_term(now).map(|term| term.fencing),
        });
        let horizon = supply.market.longest_start_time() + REPORT_INTERVAL;
        Some(ServiceStatus {
            service: service.name.clone(),
            paused: service.supply.paused,
            reason: plan.map(|plan| plan.reason),
            demand: state.map(|state| state.demand).unwrap_or_default(),
            forecast: state.map(|state| state.forecast.peak_within(horizon)).unwrap_or_default(),
            assured: plan.map(|plan| plan.assured).unwrap_or_default(),
            cost: plan.map(|plan| plan.cost).unwrap_or_default(),
            leases: leases.collect(),
            pools: pool_statuses(supply, now, &service.name),
        })
    };
    managed.filter_map(service_status).collect()
}

fn pool_statuses(supply: &Supply, now: Time, service: &ServiceName) -> Vec<PoolStatus> {
    let Some(state) = supply.service(service) else { return Vec::new() };
    let status = |pool: &Pool| {
        let unit = supply.units().find(|unit| {
            unit.service == *service && unit.zone == pool.zone && unit.hosts.has_host_list()
        });
        let present = unit.map(|unit| unit.present(&supply.cluster.hosts));
        PoolStatus {
            zone: pool.zone.clone(),
            class: pool.class.clone(),
            kind: pool.kind(),
            wanted: state.planned_hosts(pool),
            present: present.map(|present| present.get(pool).copied().unwrap_or(0)),
            price: supply.market.price(pool).unwrap_or_default(),
            capacity: state.capacities.host_capacity(&pool.class),
            refused: supply.market.is_refused(now, pool),
        }
    };
    supply.market.pools().map(status).collect()
}
