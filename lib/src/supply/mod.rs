//! Supply of hosts: demand, prices, leases, plans and orders to engines.
//!
//! [`Supply`] composes the parts at one daemon. It aggregates demand and reports it to the daemons
//! that hold the leases; where it holds a lease itself, it plans the service's hosts, starts and
//! releases them in the cloud, and sends orders to engines. Every daemon handles reclaim notices.
//! See `docs/design/supply.md`.

pub mod cloud;
pub mod demand;
pub mod http;
pub mod lease;
pub mod loads;
pub mod market;
pub mod message;
pub mod orders;
pub mod plan;
pub mod rate;
pub mod rendezvous;
pub mod service;
pub mod status;
pub mod unit;

mod act;
mod cloud_calls;
mod demand_report;

use std::{sync::Arc, time::Duration};

use indexmap::{IndexMap, IndexSet};

use crate::{
    declaration::DeclarationSet,
    ids::{
        CallId, ClassName, DaemonId, DataCentre, Generation, HostId, Revision, ServiceName,
        ZoneName,
    },
    moves::share::TrafficSplit,
    node::report::AttemptReport,
    peer::{Member, Recipient},
    store::{CallError, Operation, Priority, Reply},
    supply::{
        demand::DemandSums,
        lease::{Holder, LeaseTimes},
        market::Market,
        message::{ClassTotals, Message},
        orders::{OrderOutcome, OrderRequest},
        service::ServiceState,
        unit::Unit,
    },
    units::{Time, WallTime},
    upstream::HostRecord,
};

/// The interval at which units are reconciled.
const RECONCILE_INTERVAL: Duration = Duration::from_secs(1);
/// The delay after the start until the first reconciliation, so that members are known.
const STARTUP_DELAY: Duration = Duration::from_secs(2);

/// The identity of the daemon.
#[derive(Clone, Debug)]
pub struct Identity {
    pub holder: Holder,
    pub data_centre: DataCentre,
}

/// The cluster state that the daemon gets from other modules.
#[derive(Clone, Debug, Default)]
pub struct ClusterState {
    /// The generation in force.
    pub generation: Generation,
    /// The declarations in force.
    pub set: Arc<DeclarationSet>,
    /// The daemons that are considered live.
    pub members: Arc<[Member]>,
    pub hosts: Arc<[HostRecord]>,
    /// The services with a move under way.
    pub traffic_splits: Arc<IndexMap<ServiceName, TrafficSplit>>,
}

/// Inputs of [`Supply`].
#[derive(Clone, Debug)]
pub enum Event {
    Started(Identity),
    /// The cluster state has changed.
    StateChanged(ClusterState),
    Attempt(Box<AttemptReport>),
    Peer(DaemonId, Message),
    /// A peer has announced that a host is leaving.
    Leaving(HostId),
    CallEnded(CallId, Result<Reply, CallError>),
    OrderEnded(Box<str>, OrderOutcome),
    /// The time returned by [`Supply::next_wakeup`] has been reached.
    Woken,
}

/// Actions that [`Supply`] requests.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Call the platform and reply with [`Event::CallEnded`].
    Call(CallId, Priority, Operation),
    Send(Recipient, Message),
    /// Announce to all daemons that a host is leaving at the stated time and gets no new work from
    /// now on.
    Leaving(HostId, WallTime),
    /// Send an order to an engine and reply with [`Event::OrderEnded`].
    Order(OrderRequest),
    /// A change, for the audit trail.
    Recorded {
        /// The changed object.
        object: Box<str>,
        /// The action and its cause.
        action: Box<str>,
    },
    /// The status that operators see of supply at this daemon has changed.
    Status(Arc<[status::ServiceStatus]>),
}

/// The key of a unit.
type UnitKey = (ServiceName, ZoneName);

/// The purpose of a call to the platform.
#[derive(Clone, Debug, PartialEq)]
enum CallPurpose {
    Offers,
    Notices,
    List(Time),
    Orphan,
    Lease(UnitKey, CallId),
    Hosts(UnitKey, CallId),
}

/// The next times of the periodic work that belongs to no single unit.
#[derive(Clone, Copy, Debug, Default)]
struct Schedule {
    act: Time,
    offers: Time,
    list: Time,
    notices: Time,
    demand_report: Time,
}

/// The supply state machine of one daemon.
#[derive(Clone, Debug, Default)]
pub struct Supply {
    identity: Option<Identity>,
    times: LeaseTimes,
    cluster: ClusterState,
    market: Market,
    units: IndexMap<UnitKey, Unit>,
    services: IndexMap<ServiceName, ServiceState>,
    local_totals: IndexMap<ServiceName, IndexMap<ClassName, ClassTotals>>,
    data_centre_sums: IndexMap<ServiceName, DemandSums<DaemonId>>,
    calls: IndexMap<CallId, CallPurpose>,
    last_call: CallId,
    schedule: Schedule,
    notices_after: Revision,
    announced_leaving: IndexSet<HostId>,
    zone_leave_counts: IndexMap<ZoneName, (Time, u32)>,
    status: Arc<[status::ServiceStatus]>,
    zero_share_since: IndexMap<ServiceName, Time>,
}

impl Supply {
    /// Creates the state of a daemon that has not started yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates the state with other lease times, for tests and small set-ups.
    pub fn with_times(times: LeaseTimes) -> Self {
        Self { times, ..Self::default() }
    }

    /// Returns the units of this daemon.
    pub fn units(&self) -> impl Iterator<Item = &Unit> {
        self.units.values()
    }

    /// Returns the state of a service, if this daemon has any.
    pub fn service(&self, service: &ServiceName) -> Option<&ServiceState> {
        self.services.get(service)
    }

    /// Returns when [`Event::Woken`] is due.
    pub fn next_wakeup(&self) -> Option<Time> {
        self.identity.as_ref()?;
        let schedule = [self.schedule.act, self.schedule.demand_report].into_iter();
        let leases = self.units.values().filter_map(|unit| unit.lease.next_wakeup());
        schedule.chain(leases).min()
    }

    /// Handles an event and appends the resulting effects to `out`.
    pub fn handle(&mut self, now: Time, wall: WallTime, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Started(identity) => {
                self.identity = Some(identity);
                self.schedule.act = now + STARTUP_DELAY;
                self.schedule.demand_report = now + demand::REPORT_INTERVAL;
            }
            Event::StateChanged(cluster) => {
                self.cluster = cluster;
                self.apply_host_list(now, out);
            }
            Event::Attempt(report) => self.count_attempt(&report),
            Event::Peer(from, message) => self.receive(now, &from, message),
            Event::Leaving(host) => self.mark_leaving(now, &host),
            Event::CallEnded(call, result) => self.call_ended(now, call, result, out),
            Event::OrderEnded(id, outcome) => self.order_ended(now, &id, &outcome, out),
            Event::Woken => self.wake(now, wall, out),
        }
    }

    fn wake(&mut self, now: Time, wall: WallTime, out: &mut Vec<Effect>) {
        if self.identity.is_none() {
            return;
        }
        self.wake_leases(now, out);
        if self.schedule.demand_report <= now {
            self.schedule.demand_report = now + demand::REPORT_INTERVAL;
            self.report_demand(now, out);
        }
        if self.schedule.act <= now {
            self.schedule.act = now + RECONCILE_INTERVAL;
            self.reconcile(now, wall, out);
        }
    }

    fn call(
        &mut self,
        purpose: CallPurpose,
        priority: Priority,
        op: Operation,
        out: &mut Vec<Effect>,
    ) {
        self.last_call = self.last_call.next();
        self.calls.insert(self.last_call, purpose);
        out.push(Effect::Call(self.last_call, priority, op));
    }

    fn holds_any_lease(&self, now: Time) -> bool {
        self.units.values().any(|unit| unit.lease.current_term(now).is_some())
    }
}

/// Returns the rendezvous key of the duty to act for a service in a zone.
fn unit_duty(service: &ServiceName, zone: &ZoneName) -> String {
    format!("supply/{service}/{zone}")
}
