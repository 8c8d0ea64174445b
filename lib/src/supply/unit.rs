//! A unit, which is one service in one zone: its lease, hosts and orders at one daemon.

use std::{net::SocketAddr, time::Duration};

use indexmap::IndexMap;

use crate::{
    declaration::{Service, ServiceKind},
    ids::{FencingNumber, Generation, HostId, ServiceName, UpstreamId, VersionName, ZoneName},
    store::ObjectKey,
    supply::{
        cloud::{self, ZoneHosts},
        lease::{Holder, Lease, LeaseTimes},
        loads::{self, LoadBudget, LoadTimes, MoveView},
        orders::{Order, Orders},
        plan::Pool,
        service::ServiceState,
    },
    units::{Time, WallTime},
    upstream::{HostRecord, HostState},
};

/// How long a surplus of hosts must last until hosts are drained.
const SURPLUS_DURATION: Duration = Duration::from_mins(5);
/// How long a running, billed host may be missing from the host list, from when this daemon learnt
/// of it, until it is released.
const UNLISTED_TIMEOUT: Duration = Duration::from_mins(5);
/// The assumed duration of one load from the weight store.
const LOAD_TIME: Duration = Duration::from_mins(1);
/// The minimum time between the starts of two loads in a zone.
const LOAD_SPACING: Duration = Duration::from_secs(2);
/// The number of loads that may start at once after a pause.
const LOAD_BURST: u32 = 8;

/// One service in one zone.
#[derive(Clone, Debug)]
pub struct Unit {
    pub service: ServiceName,
    pub zone: ZoneName,
    pub lease: Lease,
    pub hosts: ZoneHosts,
    pub orders: Orders,
    /// The fencing number under which this daemon acts for the hosts, if it does.
    pub acquired: Option<FencingNumber>,
    leaving: IndexMap<HostId, Time>,
    surplus_since: Option<Time>,
    budget: LoadBudget,
}

/// The inputs of a unit's decisions.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// The monotonic time.
    pub now: Time,
    /// The wall time, for the times of moves.
    pub wall: WallTime,
    /// The generation in force.
    pub generation: Generation,
    pub service: &'a Service,
    pub state: &'a ServiceState,
    pub listed: &'a [HostRecord],
    /// The current move of the service.
    pub current_move: Option<&'a MoveView>,
    /// How long a leaving host may need to finish its requests.
    pub drain: Duration,
}

/// The actions that a unit decides on.
#[derive(Clone, Debug, Default)]
pub struct Steps {
    /// Events for the unit's hosts.
    pub hosts: Vec<cloud::Event>,
    /// Hosts that get no new work from now on and are released at the stated time.
    pub leaving: Vec<(HostId, WallTime)>,
    /// The desired orders to engines, the most urgent first.
    pub orders: Vec<(UpstreamId, SocketAddr, Order)>,
}

impl Unit {
    /// Creates the unit of a daemon that does not hold the lease.
    pub fn new(service: &ServiceName, zone: &ZoneName, holder: &Holder, times: LeaseTimes) -> Self {
        let key = ObjectKey::new(format!("supply/leases/{service}/{zone}"));
        let scope = format!("{service}.{zone}.{}.{}", holder.daemon, holder.incarnation);
        Self {
            service: service.clone(),
            zone: zone.clone(),
            lease: Lease::new(key, holder.clone(), times),
            hosts: ZoneHosts::new(service.clone(), zone.clone()),
            orders: Orders::new(scope),
            acquired: None,
            leaving: IndexMap::new(),
            surplus_since: None,
            budget: LoadBudget::new(LOAD_SPACING, LOAD_BURST),
        }
    }

    /// Records that a billed host is leaving and gets no new work.
    pub fn mark_leaving(&mut self, now: Time, host: &HostId) {
        if self.hosts.billed().contains_key(host) {
            self.leaving.entry(host.clone()).or_insert(now);
        }
    }

    /// Returns the number of hosts of each pool of this zone that run or are starting, without
    /// those that are leaving or being released.
    pub fn present(&self, listed: &[HostRecord]) -> IndexMap<Pool, u32> {
        let mut present: IndexMap<Pool, u32> = IndexMap::new();
        for start in self.hosts.pending_starts() {
            *present.entry(cloud::pool_of(start)).or_default() += 1;
        }
        for (id, host) in self.hosts.billed() {
            if !host.releasing && !self.leaving.contains_key(id) {
                *present.entry(host.pool()).or_default() += 1;
            }
        }
        let unbilled = self.listed_in_zone(listed).filter(|host| {
            host.state == HostState::Live && !self.hosts.billed().contains_key(&host.host)
        });
        for host in unbilled {
            *present.entry(pool_of(host)).or_default() += 1;
        }
        present
    }

    fn listed_in_zone<'a>(
        &'a self,
        listed: &'a [HostRecord],
    ) -> impl Iterator<Item = &'a HostRecord> {
        listed.iter().filter(|host| host.service == self.service && host.zone == self.zone)
    }

    /// Decides what to do now; the lease must be held and the hosts listed.
    pub fn decide(&mut self, view: &View<'_>) -> Steps {
        let mut steps = Steps::default();
        self.order_versions(view, &mut steps);
        if view.service.supply.managed && !view.service.supply.paused {
            let short = self.start_missing(view, &mut steps);
            self.drain_surplus(view, short, &mut steps);
            self.release_unlisted(view, &mut steps);
            self.release_drained(view, &mut steps);
        }
        steps
    }

    fn hosts_on_new_version(&self, view: &View<'_>) -> u32 {
        let listed = self.listed_in_zone(view.listed).filter(|host| host.state == HostState::Live);
        let count = listed.count() as u32;
        let times = LoadTimes { load: LOAD_TIME, spacing: LOAD_SPACING };
        view.current_move.map_or(0, |m| loads::hosts_for_new_version(view.wall, count, m, times))
    }

    /// Decides which hosts load which version. These loads take precedence over starts, which
    /// use the same budget.
    fn order_versions(&mut self, view: &View<'_>, steps: &mut Steps) {
        if view.service.kind != ServiceKind::Model {
            return;
        }
        let old = view.current_move.map_or(&view.service.version, |m| &m.from);
        let new = view.current_move.map_or(old, |m| &m.to);
        let mut hosts: Vec<&HostRecord> =
            self.listed_in_zone(view.listed).filter(|host| host.state == HostState::Live).collect();
        hosts.sort_by_key(|host| (host.version != *new, host.upstream.clone()));
        let hosts_on_new_version = self.hosts_on_new_version(view) as usize;
        let mut desired = Vec::new();
        for (index, host) in hosts.iter().enumerate() {
            let version = if index < hosts_on_new_version { new } else { old };
            if host.version != *version {
                let order = Order::LoadModel { version: version.clone() };
                desired.push((host.upstream.clone(), host.address, order));
            }
        }
        let mut remaining_loads = self.budget.available(view.now);
        for (upstream, address, order) in desired {
            let is_new = !self.orders.contains(&upstream, &order);
            if is_new && remaining_loads == 0 {
                continue;
            }
            if is_new {
                remaining_loads -= 1;
                self.budget.consume(1);
            }
            steps.orders.push((upstream, address, order));
        }
    }

    /// Starts hosts that the plan has and the zone lacks; returns whether hosts are still missing
    /// or not running yet.
    fn start_missing(&mut self, view: &View<'_>, steps: &mut Steps) -> bool {
        let present = self.present(view.listed);
        let mut short = self.hosts.pending_starts().next().is_some();
        for (pool, planned) in view.state.planned_hosts_in(&self.zone) {
            let missing = planned.saturating_sub(present.get(pool).copied().unwrap_or(0));
            short |= missing > 0;
            let count = missing.min(self.budget.available(view.now));
            self.budget.consume(count);
            for _ in 0..count {
                let version = self.version_for_start(view);
                steps.hosts.push(cloud::Event::Start(pool.clone(), version, view.generation));
            }
        }
        let starting = |(id, host): (&HostId, &cloud::BilledHost)| {
            !host.running && !host.releasing && !self.leaving.contains_key(id)
        };
        short || self.hosts.billed().iter().any(starting)
    }

    fn version_for_start(&self, view: &View<'_>) -> VersionName {
        let Some(m) = view.current_move else { return view.service.version.clone() };
        let running = self.listed_in_zone(view.listed).filter(|host| host.version == m.to).count();
        let starting = self.hosts.pending_starts().filter(|start| start.version == m.to).count();
        if running + starting < self.hosts_on_new_version(view) as usize {
            m.to.clone()
        } else {
            m.from.clone()
        }
    }

    /// Announces hosts beyond the plan as leaving, once the surplus has lasted for
    /// [`SURPLUS_DURATION`].
    fn drain_surplus(&mut self, view: &View<'_>, short: bool, steps: &mut Steps) {
        let present = self.present(view.listed);
        let surplus: Vec<(Pool, u32)> = present
            .iter()
            .map(|(pool, &count)| {
                (pool.clone(), count.saturating_sub(view.state.planned_hosts(pool)))
            })
            .filter(|(_, count)| *count > 0)
            .collect();
        // Hosts that replace a surplus must run first.
        if surplus.is_empty() || short {
            self.surplus_since = None;
            return;
        }
        let since = *self.surplus_since.get_or_insert(view.now);
        if view.now.since(since) < SURPLUS_DURATION {
            return;
        }
        self.surplus_since = None;
        for (pool, count) in surplus {
            let mut hosts: Vec<(&HostId, &cloud::BilledHost)> = self
                .hosts
                .billed()
                .iter()
                .filter(|(id, host)| host.pool() == pool && !self.leaving.contains_key(*id))
                .filter(|(_, host)| !host.releasing)
                .collect();
            hosts.sort_by_key(|(id, host)| (host.running, std::cmp::Reverse(host.known_at), *id));
            let chosen = hosts.into_iter().take(count as usize).map(|(id, _)| id.clone());
            for host in chosen.collect::<Vec<_>>() {
                self.leaving.insert(host.clone(), view.now);
                steps.leaving.push((host, view.wall + view.drain));
            }
        }
    }

    fn release_unlisted(&mut self, view: &View<'_>, steps: &mut Steps) {
        let is_listed = |id: &HostId| view.listed.iter().any(|host| host.host == *id);
        let unlisted = self.hosts.billed().iter().filter(|(id, host)| {
            host.running
                && !host.releasing
                && view.now.since(host.known_at) > UNLISTED_TIMEOUT
                && !view.listed.is_empty()
                && !is_listed(id)
        });
        steps.hosts.extend(unlisted.map(|(id, _)| cloud::Event::Release(id.clone())));
    }

    fn release_drained(&mut self, view: &View<'_>, steps: &mut Steps) {
        self.leaving.retain(|id, _| self.hosts.billed().contains_key(id));
        let drained = self.leaving.iter().filter(|(_, since)| view.now.since(**since) > view.drain);
        let releasable =
            drained.filter(|(id, _)| self.hosts.billed().get(*id).is_some_and(|h| !h.releasing));
        steps.hosts.extend(releasable.map(|(id, _)| cloud::Event::Release(id.clone())));
    }
}

/// Returns the pool of a host of the host list.
pub fn pool_of(host: &HostRecord) -> Pool {
    Pool {
        zone: host.zone.clone(),
        class: host.class.clone(),
        reclaimable: host.kind == crate::store::cloud::HostKind::Reclaimable,
    }
}
