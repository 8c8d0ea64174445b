//! Hosts, prices, leases and orders to engines.
//!
//! [`Supply`] composes the parts at one daemon. It adds up demand and tells it to the daemons that
//! hold the leases; where it holds a lease itself, it plans the service's hosts, starts and
//! releases them in the cloud, and gives orders to engines. Every daemon follows reclaim notices.
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
mod tell;

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

/// How often held units are looked at.
const ACT_EVERY: Duration = Duration::from_secs(1);
/// How long to wait after the start until the first look, so that members are known.
const SETTLE_WAIT: Duration = Duration::from_secs(2);

/// Who the daemon is.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Its name and run.
    pub holder: Holder,
    /// The data centre it is in.
    pub data_centre: DataCentre,
}

/// What the daemon knows from other slices.
#[derive(Clone, Debug, Default)]
pub struct ClusterState {
    /// The generation in force.
    pub generation: Generation,
    /// The declarations in force.
    pub set: Arc<DeclarationSet>,
    /// The daemons that are taken to be live.
    pub members: Arc<[Member]>,
    /// The host list.
    pub hosts: Arc<[HostRecord]>,
    /// The services with a move under way.
    pub traffic_splits: Arc<IndexMap<ServiceName, TrafficSplit>>,
}

/// What the slice is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// The daemon has started.
    Started(Identity),
    /// Other slices know this now.
    StateChanged(ClusterState),
    /// An attempt has ended.
    Attempt(Box<AttemptReport>),
    /// A peer has sent a message.
    Peer(DaemonId, Message),
    /// A host will leave, as a peer or the host list tells.
    Leaving(HostId),
    /// A call has ended.
    CallEnded(CallId, Result<Reply, CallError>),
    /// An order has ended.
    OrderEnded(Box<str>, OrderOutcome),
    /// The time of [`Supply::next_wakeup`] has come.
    Woken,
}

/// What the slice wants done.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Call the platform and answer with [`Event::CallEnded`].
    Call(CallId, Priority, Operation),
    /// Send a message to peers.
    Send(Recipient, Message),
    /// A host gets no new work from now on; tell all daemons.
    Leaving(HostId, WallTime),
    /// Give an order to an engine and answer with [`Event::OrderEnded`].
    Order(OrderRequest),
    /// Something was changed: the object, the action and the cause, for the audit trail.
    Recorded {
        /// What was changed.
        object: Box<str>,
        /// What was done, and why.
        action: Box<str>,
    },
    /// What operators see of the supply at this daemon has changed.
    Status(Arc<[status::ServiceStatus]>),
}

/// Names a unit.
type UnitKey = (ServiceName, ZoneName);

/// What a call to the platform was made for.
#[derive(Clone, Debug, PartialEq)]
enum CallFor {
    Offers,
    Notices,
    List(Time),
    Orphan,
    Lease(UnitKey, CallId),
    Hosts(UnitKey, CallId),
}

/// When the calls that no unit owns are made next.
#[derive(Clone, Copy, Debug, Default)]
struct Schedule {
    act: Time,
    offers: Time,
    list: Time,
    notices: Time,
    tell: Time,
}

/// The supply slice of one daemon.
#[derive(Clone, Debug, Default)]
pub struct Supply {
    me: Option<Identity>,
    times: LeaseTimes,
    known: ClusterState,
    market: Market,
    units: IndexMap<UnitKey, Unit>,
    services: IndexMap<ServiceName, ServiceState>,
    own: IndexMap<ServiceName, IndexMap<ClassName, ClassTotals>>,
    local: IndexMap<ServiceName, DemandSums<DaemonId>>,
    calls: IndexMap<CallId, CallFor>,
    call: CallId,
    schedule: Schedule,
    notices_after: Revision,
    told_leaving: IndexSet<HostId>,
    zone_leaving: IndexMap<ZoneName, (Time, u32)>,
    status: Arc<[status::ServiceStatus]>,
    without_share: IndexMap<ServiceName, Time>,
}

impl Supply {
    /// Makes the slice of a daemon that knows nothing yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Makes the slice with other times for its leases, for tests and small setups.
    pub fn with_times(times: LeaseTimes) -> Self {
        Self { times, ..Self::default() }
    }

    /// Returns the units of this daemon.
    pub fn units(&self) -> impl Iterator<Item = &Unit> {
        self.units.values()
    }

    /// Returns the state of a service.
    pub fn service(&self, service: &ServiceName) -> Option<&ServiceState> {
        self.services.get(service)
    }

    /// Returns when the slice wants [`Event::Woken`].
    pub fn next_wakeup(&self) -> Option<Time> {
        self.me.as_ref()?;
        let schedule = [self.schedule.act, self.schedule.tell].into_iter();
        let leases = self.units.values().filter_map(|unit| unit.lease.next_wakeup());
        schedule.chain(leases).min()
    }

    /// Takes an event and adds the effects that follow from it.
    pub fn handle(&mut self, now: Time, wall: WallTime, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Started(me) => {
                self.me = Some(me);
                self.schedule.act = now + SETTLE_WAIT;
                self.schedule.tell = now + demand::REPORT_INTERVAL;
            }
            Event::StateChanged(known) => {
                self.known = known;
                self.follow_hosts(now, out);
            }
            Event::Attempt(report) => self.count(&report),
            Event::Peer(from, message) => self.heard(now, &from, message),
            Event::Leaving(host) => self.left(now, &host),
            Event::CallEnded(call, result) => self.called(now, call, result, out),
            Event::OrderEnded(id, end) => self.ordered(now, &id, &end, out),
            Event::Woken => self.woken(now, wall, out),
        }
    }

    fn woken(&mut self, now: Time, wall: WallTime, out: &mut Vec<Effect>) {
        if self.me.is_none() {
            return;
        }
        self.leases(now, out);
        if self.schedule.tell <= now {
            self.schedule.tell = now + demand::REPORT_INTERVAL;
            self.tell(now, out);
        }
        if self.schedule.act <= now {
            self.schedule.act = now + ACT_EVERY;
            self.act(now, wall, out);
        }
    }

    fn call(&mut self, why: CallFor, priority: Priority, op: Operation, out: &mut Vec<Effect>) {
        self.call = self.call.next();
        self.calls.insert(self.call, why);
        out.push(Effect::Call(self.call, priority, op));
    }

    fn holds_any(&self, now: Time) -> bool {
        self.units.values().any(|unit| unit.lease.current_term(now).is_some())
    }
}

/// Returns the duty of acting for a service in a zone, for rendezvous.
fn unit_duty(service: &ServiceName, zone: &ZoneName) -> String {
    format!("supply/{service}/{zone}")
}
