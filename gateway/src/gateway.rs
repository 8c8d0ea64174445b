//! The state of one gateway, and the moments at which its parts meet.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use dogwoodturn::{
    ids::{CustomerName, Incarnation, ServiceName, UpstreamId},
    units::{Time, WallTime},
};
use indexmap::IndexSet;
use nix::time::{ClockId, clock_gettime};
use tokio::sync::Notify;

use crate::{
    autoscaler::Autoscaler,
    directory::Directory,
    header_schema::HeaderSchema,
    hubs::{self, HubMessage, HubStatus, Hubs, Total},
    lease::Lease,
    metrics::Metrics,
    peers::{PeerTable, ReportedWork, StateMessage, WorkMessage},
    placement::{Placement, Selection, SelectionCriteria},
    poison::{Digest, PoisonRequests},
    pool::Pool,
    quota::{self, Quotas},
    replication::ReplicatedViews,
    retry::RetryBudgets,
    rollout::Rollouts,
    settings::{Bounds, Settings},
    store::{Kind, Store},
    table::Table,
    usage::{Run, Usage},
};

/// How long after the signal to stop any request is outcome; the balancer asks once a second, takes
/// two misses, and connections on their way still arrive.
const ACCEPT_ALL_WHILE_DRAINING: Duration = Duration::from_millis(2800);
/// The part of the time to the end for which that holds at most; the requests need the rest.
const ACCEPT_ALL_SHARE: f64 = 0.5;

/// The bytes of callers' bodies that are held at a time; a gateway's memory is a few hundred megabytes,
/// and a body is copied once when it is forwarded.
const MAX_RESERVED_BODY_BYTES: u64 = 64 << 20;
/// How often the peers' work is added up; they tell it about as often.
const PEER_WORK_REFRESH_INTERVAL: Duration = Duration::from_millis(40);

/// All that decisions are made from.
#[derive(Debug)]
pub struct State {
    /// The configuration in force.
    pub table: Option<Arc<Table>>,
    /// The upstreams.
    pub directory: Directory,
    /// The selection among them.
    pub placement: Placement,
    /// Customers' quotas.
    pub quotas: Quotas,
    /// Budgets for second sends.
    pub retries: RetryBudgets,
    /// Requests that crash upstreams.
    pub poison_requests: PoisonRequests,
    /// Moves between versions.
    pub rollouts: Rollouts,
    /// Orders for hosts.
    pub autoscaler: Autoscaler,
    /// Counts for usage reports.
    pub usage: Usage,
    /// The other daemons.
    pub peer_table: PeerTable,
    /// The daemons that watch the store for others.
    pub hubs: Hubs,
    /// The objects that daemons pass on.
    pub views: ReplicatedViews,
    /// The lease of the daemon that acts for all.
    pub lease: Lease,
    /// When the peers' work was last outcome into account.
    pub peer_work_refreshed: Time,
    /// Whether the upstreams were listed once.
    pub has_upstreams: bool,
    /// Whether the other daemons were listed once; before that, no quota can be shared.
    pub has_members: bool,
}

impl State {
    /// Puts changed bounds in force; what was counted under the old ones stays.
    fn set_bounds(&mut self, bounds: &Bounds) {
        self.directory.set_drain(bounds.drain);
        self.hubs.set_drain(bounds.drain);
        self.quotas.set_tolerance(bounds.quotas);
        self.retries.set_bounds(bounds.retries);
        self.rollouts.set_exposure(bounds.canary_share);
        self.usage.set_window(bounds.usage_window);
        self.lease.set_time(bounds.lease);
    }

    /// Puts a newer table in force; an older one is left alone.
    pub fn apply_table(&mut self, table: Table) -> bool {
        let is_newer = self.table.as_ref().is_none_or(|known| known.version < table.version);
        if is_newer {
            self.table = Some(Arc::new(table));
        }
        is_newer
    }

    /// Returns the table once there is all that requests are admitted by.
    pub fn table_in_force(&self) -> Option<&Arc<Table>> {
        self.table.as_ref().filter(|_| self.has_members && self.has_upstreams)
    }

    /// Chooses an upstream for a request.
    pub fn choose(&mut self, now: Time, criteria: &SelectionCriteria<'_>) -> Selection {
        if now.since(self.peer_work_refreshed) >= PEER_WORK_REFRESH_INTERVAL {
            self.peer_work_refreshed = now;
            self.placement.set_peers(&self.peer_table.views(now));
        }
        let live = self.directory.live(now, criteria.service);
        self.placement.choose(now, &live, criteria)
    }

    /// Returns the shortest time to a first answer at an upstream that a request was not sent to.
    pub fn best_elsewhere(
        &mut self,
        now: Time,
        criteria: &SelectionCriteria<'_>,
    ) -> Option<Duration> {
        let live = self.directory.live(now, criteria.service);
        self.placement.best_elsewhere(now, &live, criteria)
    }

    /// Takes a peer's message.
    pub fn receive_message(&mut self, now: Time, from: SocketAddr, message: StateMessage) {
        for (digest, count) in &message.crashes {
            let peer = message.daemon.as_str();
            self.poison_requests.apply_peer_count(now, peer, Digest(*digest), *count);
        }
        for (service, version) in &message.blocked_versions {
            self.rollouts.block_version(service, version);
        }
        let is_newer = message.upstreams_at > self.views.synced_revision(Kind::Upstreams);
        for (upstream, started) in &message.leaving {
            self.directory.apply_leaving(upstream, *started, is_newer);
        }
        if message.is_leader {
            self.lease.receive_heartbeat(now);
        }
        let run = (message.daemon.clone(), message.incarnation);
        self.usage.apply_peer_counts(run, &message.usage);
        self.peer_table.receive(now, wall_clock(), from, message);
    }

    /// Takes that a hub is there, what it adds up, and whether the store was away.
    pub fn receive_hub_message(&mut self, now: Time, from: SocketAddr, message: HubMessage) {
        if self.hubs.receive(now, from, message) && self.hubs.has_others(now) {
            let back = self.hubs.store_back(now).map(|since| now.ago(since));
            self.directory.store_reached(back);
        }
    }

    /// Decides whether this daemon watches the store for others.
    pub fn decide_hub(&mut self, now: Time) -> bool {
        let (daemons, is_leader) = (self.peer_table.size(), self.lease.fence(now).is_some());
        let was_hub = self.hubs.is_hub();
        // How many daemons there are is known only once they were listed.
        let is_hub = self.has_members && self.hubs.update_role(now, daemons, is_leader);
        if is_hub != was_hub {
            log::info!(event = "hub", is_hub, daemons, acts = is_leader; "");
        }
        is_hub
    }

    /// Returns what all other daemons admitted a customer, as far as it is known here.
    pub fn admitted_elsewhere(&self, now: Time, customer: &CustomerName) -> quota::PeerAdmissions {
        let mut peers = self.peer_table.admitted(now, customer);
        if let Some(total) = self.hubs.total(now, customer) {
            peers.apply_total(&total, hubs::LAG, &self.quotas.history(now, customer));
        }
        peers
    }

    /// Returns what a hub tells the others.
    fn hub_status(&mut self, now: Time) -> HubStatus {
        let customers: Vec<_> = self.table.as_ref().map_or_else(Vec::new, |table| {
            table.customers.values().filter(|c| c.quota.is_some()).map(|c| c.name.clone()).collect()
        });
        let totals = customers.into_iter().filter_map(|customer| {
            let mut sum = self.peer_table.admitted(now, &customer);
            sum.add(&self.quotas.history(now, &customer), Duration::ZERO);
            let requested = sum.requested + self.quotas.requested_rate(now, &customer);
            let is_used = requested > 0.0 || sum.history.iter().any(|units| *units > 0);
            is_used.then_some(Total { customer, admitted: sum.history, requested })
        });
        HubStatus {
            daemons: self.peer_table.size(),
            is_leader: self.lease.fence(now).is_some(),
            live_peers: self.peer_table.heard_count(now),
            store_back: self.directory.store_back(now),
            totals: totals.collect(),
            updates: if self.hubs.broadcasts_objects(now) {
                self.views.recent(now)
            } else {
                Vec::new()
            },
        }
    }

    /// Forgets an upstream that is gone or starts anew.
    pub fn forget_upstream(&mut self, upstream: &UpstreamId) {
        self.placement.forget(upstream);
    }
}

/// One gateway; everything of it runs on one thread.
pub struct Gateway {
    /// The names and formats of headers.
    pub header_schema: HeaderSchema,
    /// The object store and the cloud.
    pub store: Store,
    /// What decisions are made from.
    pub state: RefCell<State>,
    /// Kept connections to upstreams.
    pub pool: RefCell<Pool>,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Tells this run of the daemon from others.
    pub incarnation: Incarnation,
    /// Woken when callers' idle connections are to be closed.
    pub closing_idle: Notify,
    /// Usage windows that this run has reported or is reporting.
    pub reported: RefCell<IndexSet<u64>>,
    /// Services whose move's state is being recorded.
    pub recording: RefCell<IndexSet<ServiceName>>,
    /// While shutting down: until when any request is outcome, and when the process ends.
    ends: Cell<Option<(Time, Time)>>,
    settings: RefCell<Rc<Settings>>,
    /// Whether the store told something that hubs have not passed on.
    pub has_news: Cell<bool>,
    /// Whether a daemon that is gone is being outcome off the list.
    pub is_forgetting: Cell<bool>,
    /// The kinds of which something was missed that a hub told.
    pub behind: RefCell<IndexSet<Kind>>,
    in_flight: Cell<u32>,
    /// Bytes of callers' bodies that are held or will be.
    reserved_body_bytes: Cell<u64>,
    messages: Cell<u64>,
}

impl Gateway {
    /// Makes a gateway that knows nothing yet.
    pub fn new(settings: Settings, header_schema: HeaderSchema, store: Store) -> Rc<Self> {
        let now = clock();
        let incarnation = Incarnation(wall_clock().0);
        let bounds = &settings.bounds;
        let run = format!("{}.{incarnation}", settings.name);
        let state = State {
            table: None,
            directory: Directory::new(bounds.drain),
            placement: Placement::default(),
            quotas: Quotas::new(bounds.quotas, now, settings.first_start),
            retries: RetryBudgets::new(bounds.retries),
            poison_requests: PoisonRequests::default(),
            rollouts: Rollouts::new(bounds.canary_share),
            autoscaler: Autoscaler::default(),
            usage: Usage::new(bounds.usage_window),
            peer_table: PeerTable::new(settings.name.clone()),
            hubs: Hubs::new(settings.name.clone(), settings.link, bounds.drain),
            views: ReplicatedViews::default(),
            lease: Lease::new(run.into(), bounds.lease, now),
            peer_work_refreshed: now,
            has_upstreams: false,
            has_members: false,
        };
        Rc::new(Self {
            settings: RefCell::new(Rc::new(settings)),
            header_schema,
            store,
            state: RefCell::new(state),
            pool: RefCell::default(),
            metrics: Metrics::default(),
            incarnation,
            closing_idle: Notify::new(),
            reported: RefCell::default(),
            recording: RefCell::default(),
            ends: Cell::new(None),
            has_news: Cell::new(false),
            is_forgetting: Cell::new(false),
            behind: RefCell::default(),
            in_flight: Cell::new(0),
            reserved_body_bytes: Cell::new(0),
            messages: Cell::new(0),
        })
    }

    /// Returns the settings in force.
    pub fn settings(&self) -> Rc<Settings> {
        self.settings.borrow().clone()
    }

    /// Puts changed settings in force, but for what a running daemon cannot change.
    pub fn reload(&self, mut changed: Settings) {
        let known = self.settings();
        let fixed = changed.keep_fixed(&known);
        if !fixed.is_empty() {
            log::warn!(event = "reload-needs-restart", keys = fixed.join(","); "");
        }
        if changed == *known {
            log::info!(event = "reload", changed = false; "");
            return;
        }
        if (changed.store, changed.cloud) != (known.store, known.cloud) {
            (self.store.redirect)(changed.store, changed.cloud);
        }
        self.state.borrow_mut().set_bounds(&changed.bounds);
        log::info!(event = "reload", changed = true, store:% = changed.store, cloud:% = changed.cloud, bounds:? = changed.bounds; "");
        *self.settings.borrow_mut() = Rc::new(changed);
    }

    /// Returns what tells this run apart from those of all daemons.
    pub fn run(&self) -> Run {
        (self.settings().name.clone(), self.incarnation)
    }

    /// Returns the time on a clock that counts suspension, which leases depend on.
    pub fn now(&self) -> Time {
        clock()
    }

    /// Says whether new connections are welcome.
    pub fn is_ready(&self) -> bool {
        let state = self.state.borrow();
        !self.is_draining() && state.table_in_force().is_some()
    }

    /// Says whether the daemon is shutting down.
    pub fn is_draining(&self) -> bool {
        self.ends.get().is_some()
    }

    /// Begins to shut down; the process ends at `ends` at the latest.
    pub fn drain(&self, ends: Time) {
        let now = self.now();
        let accept_all = ACCEPT_ALL_WHILE_DRAINING.min(ends.since(now).mul_f64(ACCEPT_ALL_SHARE));
        self.ends.set(Some((now + accept_all, ends)));
    }

    /// Closes the connections of callers that have no request under way.
    pub fn close_idle(&self) {
        self.closing_idle.notify_waiters();
    }

    /// Says whether a request may still be outcome: soon after the signal any, since the balancer
    /// has not noticed yet, and later those that end before the process does.
    pub fn can_finish(&self, request_timeout: Duration) -> bool {
        let now = self.now();
        self.ends
            .get()
            .is_none_or(|(accept_all, ends)| now < accept_all || now + request_timeout < ends)
    }

    /// Counts a request in flight until the guard is dropped.
    pub fn track_request(self: &Rc<Self>) -> InFlightGuard {
        self.in_flight.set(self.in_flight.get() + 1);
        InFlightGuard(self.clone())
    }

    /// Sets memory aside for a body until the guard is dropped; none if too much is held already.
    pub fn reserve_body(self: &Rc<Self>, bytes: u64) -> Option<BodyReservation> {
        let reserved = self.reserved_body_bytes.get().saturating_add(bytes);
        if reserved > MAX_RESERVED_BODY_BYTES {
            return None;
        }
        self.reserved_body_bytes.set(reserved);
        Some(BodyReservation(self.clone(), bytes))
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.get()
    }

    /// Counts a request that began to run, for the usage report.
    pub fn record_start(&self, customer: Option<&CustomerName>) {
        if let Some(customer) = customer {
            let mut state = self.state.borrow_mut();
            let at = state.peer_table.agreed_time(self.now(), wall_clock());
            state.usage.record_start(at, customer);
        }
    }

    /// Returns what the peers are to know.
    pub fn message(&self) -> StateMessage {
        let now = self.now();
        let state = self.state.borrow();
        self.messages.set(self.messages.get() + 1);
        let crashes = state.poison_requests.recent(now).into_iter();
        StateMessage {
            daemon: self.settings().name.clone(),
            incarnation: self.incarnation,
            number: self.messages.get(),
            wall: wall_clock(),
            table: state.table.as_ref().map_or(0, |table| table.version),
            is_leader: state.lease.fence(now).is_some(),
            admitted: state.quotas.all(now),
            requested: state.quotas.all_requested(now),
            usage: state.usage.own(),
            work: reported_work(&state.placement),
            demands: state.placement.demands(now),
            crashes: crashes.map(|(digest, count)| (digest.0, count)).collect(),
            tallies: state.rollouts.local_tallies(),
            blocked_versions: state.rollouts.blocked_versions().to_vec(),
            upstreams_at: state.views.synced_revision(Kind::Upstreams),
            leaving: state.directory.leaving_upstreams(now),
        }
    }

    /// Returns this daemon's work for the peers.
    pub fn work_message(&self) -> WorkMessage {
        self.messages.set(self.messages.get() + 1);
        WorkMessage {
            daemon: self.settings().name.clone(),
            incarnation: self.incarnation,
            number: self.messages.get(),
            work: reported_work(&self.state.borrow().placement),
        }
    }

    /// Returns what this daemon tells all others if it is a hub in touch with the store.
    pub fn hub_message(&self) -> Option<HubMessage> {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        if !state.hubs.is_hub() || state.peer_table.size() <= hubs::MAX_DAEMONS_WITHOUT_HUBS {
            return None;
        }
        let status = state.hub_status(now);
        state.hubs.message(now, self.incarnation, status)
    }

    /// Says whether any daemon has work at upstreams of a service other than a version's.
    pub fn is_idle_besides(
        &self,
        service: &ServiceName,
        version: &dogwoodturn::ids::VersionName,
    ) -> bool {
        let state = self.state.borrow();
        let mut others = state
            .directory
            .listed()
            .filter(|record| record.service == *service && record.version != *version);
        others.all(|record| state.placement.work(&record.id).requests == 0)
    }
}

fn reported_work(placement: &Placement) -> Vec<ReportedWork> {
    let percent = |part: f64| (part * 100.0).round().clamp(0.0, 100.0) as u8;
    let reports = placement.own().into_iter().map(|(upstream, work, trouble)| {
        (upstream, work.requests, work.unread, work.memory, percent(trouble))
    });
    reports.collect()
}

/// Keeps memory set aside for a body while it lives.
pub struct BodyReservation(Rc<Gateway>, u64);

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.0.reserved_body_bytes.set(self.0.reserved_body_bytes.get() - self.1);
    }
}

/// Counts a request in flight while it lives.
pub struct InFlightGuard(Rc<Gateway>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}

/// Returns the time since the host's start, suspension included.
pub fn clock() -> Time {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from);
    Time(time.unwrap_or_default().as_micros() as u64)
}

/// Returns the time of day.
pub fn wall_clock() -> WallTime {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    WallTime(since.as_millis() as u64)
}
