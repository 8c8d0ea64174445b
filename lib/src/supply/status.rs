//! What operators see of the supply at one daemon.

use serde::{Deserialize, Serialize};

use crate::{
    ids::{ClassName, DaemonId, FencingNumber, ServiceName, ZoneName},
    store::cloud::HostKind,
    supply::{
        Supply,
        demand::INTERVAL,
        plan::{Pool, Reason},
        rate::WorkRate,
    },
    units::{PricePerHour, Time},
};

/// The hosts of one pool, planned and present.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolStatus {
    /// The zone.
    pub zone: ZoneName,
    /// The machine class.
    pub class: ClassName,
    /// Whether the cloud may take the hosts back.
    pub kind: HostKind,
    /// How many hosts the plan wants.
    pub wanted: u32,
    /// How many there are or have been asked for; `None` where another daemon holds the lease.
    pub present: Option<u32>,
    /// What one host costs now.
    pub price: PricePerHour,
    /// What one host is taken to carry, in work a second.
    pub capacity: WorkRate,
    /// Whether the cloud refuses starts for now.
    pub refused: bool,
}

/// A lease of this daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseStatus {
    /// The zone.
    pub zone: ZoneName,
    /// Who holds it, as far as this daemon knows.
    pub holder: Option<DaemonId>,
    /// The number of the present term, if this daemon holds it.
    pub fencing: Option<FencingNumber>,
}

/// The plan of one service as one daemon sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// The service.
    pub service: ServiceName,
    /// Whether operators have paused starting and releasing.
    pub paused: bool,
    /// What decided the size of the plan; `None` before the first plan.
    pub reason: Option<Reason>,
    /// The demand now, in work a second.
    pub demand: WorkRate,
    /// The demand that is planned for.
    pub forecast: WorkRate,
    /// What the plan carries with the largest zone lost.
    pub assured: WorkRate,
    /// What the plan costs.
    pub cost: PricePerHour,
    /// The leases of this daemon.
    pub leases: Vec<LeaseStatus>,
    /// The pools.
    pub pools: Vec<PoolStatus>,
}

/// Returns the status of every service of which this daemon holds or wants a lease.
pub fn of(supply: &Supply, now: Time) -> Vec<ServiceStatus> {
    let services = supply.known.set.services.values();
    let managed = services.filter(|service| service.supply.managed);
    let of_service = |service: &crate::declaration::Service| {
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
        let ahead = supply.market.longest_start_time() + INTERVAL;
        Some(ServiceStatus {
            service: service.name.clone(),
            paused: service.supply.paused,
            reason: plan.map(|plan| plan.reason),
            demand: state.map(|state| state.demand).unwrap_or_default(),
            forecast: state.map(|state| state.forecast.until(ahead)).unwrap_or_default(),
            assured: plan.map(|plan| plan.assured).unwrap_or_default(),
            cost: plan.map(|plan| plan.cost).unwrap_or_default(),
            leases: leases.collect(),
            pools: pools(supply, now, &service.name),
        })
    };
    managed.filter_map(of_service).collect()
}

fn pools(supply: &Supply, now: Time, service: &ServiceName) -> Vec<PoolStatus> {
    let Some(state) = supply.service(service) else { return Vec::new() };
    let status = |pool: &Pool| {
        let unit = supply.units().find(|unit| {
            unit.service == *service && unit.zone == pool.zone && unit.hosts.is_informed()
        });
        let present = unit.map(|unit| unit.present(&supply.known.hosts));
        PoolStatus {
            zone: pool.zone.clone(),
            class: pool.class.clone(),
            kind: pool.kind(),
            wanted: state.wanted(pool),
            present: present.map(|present| present.get(pool).copied().unwrap_or(0)),
            price: supply.market.price(pool).unwrap_or_default(),
            capacity: state.capacities.of(&pool.class),
            refused: supply.market.is_refused(now, pool),
        }
    };
    supply.market.pools().map(status).collect()
}
