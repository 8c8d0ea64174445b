//! The state of one gateway and the operations that involve several of its parts.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use dogwoodturn::{
    edge::change_log,
    ids::{CustomerName, DataCentre, Era, Incarnation, ServiceName, UpstreamId},
    limit::{
        brittle::{BrittleUpstreams, Target, Turn, home_rank},
        memory::MemoryBudget,
        ramp::Cause,
        upstream::{Position, UpstreamLimits},
        warm_up::{self, WarmUpBound, WarmUps},
    },
    request::crash_evidence::{CrashEvidence, Verdict},
    units::{Time, WallTime},
    upstream::{
        reachability::{self, Reachability},
        speed,
    },
};
use indexmap::{IndexMap, IndexSet};
use nix::time::{ClockId, clock_gettime};
use tokio::{sync::Notify, time::sleep};

use crate::{
    autoscaler::Autoscaler,
    contention::Contention,
    directory::{Directory, Upstream},
    header_schema::{HeaderSchema, Prompt},
    hubs::{self, HubMessage, HubStatus, Hubs, Total},
    lease::Lease,
    leaving::{self, StatementWire},
    legs,
    link_budget::LinkBudget,
    loop_lag::LoopLag,
    memory,
    metrics::Metrics,
    peer_traffic::{Direction, PeerTraffic},
    peers::{PeerTable, ReportedUrgentWork, ReportedWork, StateMessage, WorkMessage},
    placement::{Placement, Selection, SelectionCriteria},
    pool::Pool,
    quota::{self, Quotas},
    ramp::UpstreamRamps,
    replication::ReplicatedViews,
    retry::RetryBudgets,
    rollout::Rollouts,
    send_delay::SendDelays,
    settings::{Bounds, Settings, WarmUpTolerance},
    startup::Startup,
    store::{CallError, Kind, Store, StoreRevision, UpstreamRecord},
    table::{Customer, Table},
    usage::{Run, Usage},
};

/// How long after the stop signal every request is still accepted: the load balancer probes once a
/// second, removes a daemon after two failures, and connections in transit still arrive.
const ACCEPT_ALL_WHILE_DRAINING: Duration = Duration::from_millis(2800);
/// [`ACCEPT_ALL_WHILE_DRAINING`] is limited to this fraction of the time until the process ends;
/// the accepted requests need the remaining time.
const ACCEPT_ALL_SHARE: f64 = 0.5;

/// Requests without a response get a local one so long before the process ends, which is time to send it.
const LAST_RESPONSE_MARGIN: Duration = Duration::from_millis(100);

/// Crashes after which a request is refused. A caller sends a request again once, and a request that
/// happened to be in progress when an upstream crashed for another reason rarely meets a third
/// crash.
const MIN_CONTENT_CRASHES: usize = 3;
/// Interval at which the peers' reported work is summed; they report it about as often.
const PEER_WORK_REFRESH_INTERVAL: Duration = Duration::from_millis(40);

/// The state that decisions are made from.
#[derive(Debug)]
pub struct State {
    pub table: Option<Arc<Table>>,
    pub directory: Directory,
    pub placement: Placement,
    pub quotas: Quotas,
    /// Budgets for retries, by service.
    pub retries: RetryBudgets,
    /// The limits that upstreams name.
    pub upstream_limits: UpstreamLimits,
    /// The upstreams that are cold.
    pub warm_ups: WarmUps,
    warm_up_tolerance: WarmUpTolerance,
    /// The upstreams that have started or recovered.
    pub ramps: UpstreamRamps,
    /// The upstreams that fall over when they have to reject too many requests.
    pub brittle: BrittleUpstreams,
    /// What is admitted of each rank and customer.
    pub contention: Contention,
    /// The requests and prompt parts that crash upstreams.
    pub crash_evidence: CrashEvidence,
    /// Which services' upstreams this daemon reaches over its own links.
    pub reachability: Reachability,
    /// Whether what this daemon writes arrives.
    pub send_delays: SendDelays,
    pub rollouts: Rollouts,
    pub autoscaler: Autoscaler,
    pub usage: Usage,
    pub peer_table: PeerTable,
    /// The daemons that watch the store on behalf of others.
    pub hubs: Hubs,
    /// The objects that daemons replicate to each other.
    pub views: ReplicatedViews,
    /// The lease of the leader.
    pub lease: Lease,
    /// When the peers' work was last summed.
    pub peer_work_refreshed: Time,
    /// Whether the upstreams have been listed since the start.
    pub has_upstreams: bool,
    /// Whether the other daemons have been listed since the start; before that, quotas cannot be
    /// shared.
    pub has_members: bool,
}

/// State of this daemon that a restored store lacks.
struct EarlierEra {
    era: Era,
    /// The number of closed usage windows that are written again; `None` if this daemon did not hold the lease.
    windows: Option<usize>,
    /// The number of upstreams that had left.
    departed: usize,
}

impl State {
    /// Applies changed bounds; counts made under the old bounds are kept.
    fn set_bounds(&mut self, bounds: &Bounds) {
        self.directory.set_bounds(bounds.drain, bounds.contact);
        self.hubs.set_drain(bounds.drain);
        self.quotas.set_tolerance(bounds.quotas);
        self.retries.set_bounds(bounds.retries);
        self.rollouts.set_exposure(bounds.canary_share);
        self.usage.set_window(bounds.usage_window);
        self.lease.set_bounds(bounds.lease, bounds.checks_fences);
        self.warm_up_tolerance = bounds.warm_up;
        self.ramps.ramps.set_start(bounds.ramp_start);
    }

    /// Returns the version of the table in force, or zero before the first one.
    pub fn table_version(&self) -> u64 {
        self.table.as_ref().map_or(0, |table| table.version)
    }

    /// Applies a table if it is newer than the current one, and reports whether it was.
    pub fn apply_table(&mut self, table: Table) -> bool {
        let is_newer = self.table.as_ref().is_none_or(|current| current.version < table.version);
        if is_newer {
            let is_first = self.table.replace(Arc::new(table)).is_none();
            if is_first {
                // Upstreams may have been listed before the table that names what they tolerate.
                let ids: Vec<_> = self.directory.listed().map(|record| record.id.clone()).collect();
                for id in &ids {
                    self.apply_warm_up(clock(), id);
                }
            }
        }
        is_newer
    }

    /// Limits what an upstream gets while its record says that it is cold.
    pub fn apply_warm_up(&mut self, now: Time, upstream: &UpstreamId) {
        let Some(known) = self.directory.get(upstream) else { return };
        let (service, left) = (known.record.service.clone(), known.record.warm_up);
        if !left.is_zero() {
            self.limit_while_cold(now, upstream, &service, Some(left));
        }
    }

    /// Limits what an upstream gets that may have restarted or become cold without a record that says so.
    pub fn assume_cold(&mut self, now: Time, upstream: &UpstreamId, service: &ServiceName) {
        self.limit_while_cold(now, upstream, service, None);
    }

    /// Applies peers' reports of upstreams that they saw refuse connections or crash.
    pub fn merge_cold(&mut self, now: Time, reports: &[warm_up::ReportWire]) {
        for (upstream, left_ms) in reports {
            let known = self.directory.get(upstream);
            if let Some(service) = known.map(|known| known.record.service.clone()) {
                let left = Duration::from_millis(*left_ms).min(warm_up::MAX_WARM_UP);
                self.limit_while_cold(now, upstream, &service, Some(left));
            }
        }
    }

    /// Limits what an upstream gets while it is cold. `left` is the time for which it stays so; by default
    /// that after a start.
    pub fn limit_while_cold(
        &mut self,
        now: Time,
        upstream: &UpstreamId,
        service: &ServiceName,
        left: Option<Duration>,
    ) {
        let service = self.table.as_ref().and_then(|table| table.services.get(service));
        let Some(warm_up) = service.and_then(|service| service.warm_up) else { return };
        let WarmUpTolerance { overshoot, allowance } = self.warm_up_tolerance;
        if let Some(bound) = WarmUpBound::new(warm_up.rate, overshoot, allowance) {
            let left = left.unwrap_or(warm_up.duration);
            self.warm_ups.extend(now, upstream, bound, left);
        }
    }

    /// Stops sending to the upstreams of a data centre.
    pub fn begin_evacuation(&mut self, data_centre: &DataCentre) {
        let upstreams = self.directory.listed_in(data_centre).count();
        if self.directory.evacuate(data_centre.clone()) {
            if upstreams == 0 {
                log::warn!(event = "evacuation-unknown", data_centre:%; "no upstream is in the evacuated data centre");
            }
            log::info!(event = "evacuation-started", data_centre:%, upstreams; "");
        }
    }

    /// Sends to the upstreams of a data centre again. They may have become cold in the meantime.
    pub fn end_evacuation(&mut self, now: Time, name: &str) {
        let Some(data_centre) =
            self.directory.evacuated().iter().find(|evacuated| evacuated.as_str() == name).cloned()
        else {
            return;
        };
        self.directory.end_evacuation(&data_centre);
        let upstreams: Vec<_> = self.directory.listed_in(&data_centre).cloned().collect();
        for record in &upstreams {
            self.assume_cold(now, &record.id, &record.service);
            self.begin_ramp(now, &record.id, Cause::Returned);
        }
        log::info!(event = "evacuation-ended", data_centre:%, upstreams = upstreams.len(); "");
    }

    /// Ends the evacuations that the store no longer lists.
    pub fn retain_evacuations(&mut self, now: Time, is_listed: impl Fn(&str) -> bool) {
        let ended: Vec<_> = self
            .directory
            .evacuated()
            .iter()
            .filter(|name| !is_listed(name.as_str()))
            .cloned()
            .collect();
        for data_centre in ended {
            self.end_evacuation(now, data_centre.as_str());
        }
    }

    /// Returns the current table once everything that admission needs has been loaded: the table,
    /// the members and the upstreams.
    pub fn active_table(&self) -> Option<&Arc<Table>> {
        self.table.as_ref().filter(|_| self.has_members && self.has_upstreams)
    }

    pub fn choose(&mut self, now: Time, criteria: &SelectionCriteria<'_>) -> Selection {
        if now.since(self.peer_work_refreshed) >= PEER_WORK_REFRESH_INTERVAL {
            self.peer_work_refreshed = now;
            self.placement.set_peers(&self.peer_table.views(now));
            if !self.brittle.is_empty() {
                self.placement.set_held_by_peers(&self.peer_table.held_requests(now));
            }
        }
        let mut live = self.directory.live(now, criteria.service);
        let (peers, placement) = (&self.peer_table, &self.placement);
        let brittle_wait =
            retain_with_room(&mut self.brittle, peers, placement, now, &mut live, criteria);
        let limits = (&mut self.upstream_limits, &mut self.warm_ups);
        let limit_wait = retain_within_limits(limits, peers, now, &mut live, criteria);
        self.ramps.retain_for_choice(peers, placement, now, &mut live, criteria);
        let shortest_wait = limit_wait.into_iter().chain(brittle_wait).min();
        let selection = self.placement.choose(now, &live, criteria);
        match (&selection, shortest_wait) {
            (Selection::Upstream(ticket), _) => {
                self.upstream_limits.record_sent(&ticket.upstream);
                self.warm_ups.record_sent(&ticket.upstream);
            }
            (Selection::NoUpstream, Some(wait)) => {
                return Selection::Refused { retry_after: wait, wait };
            }
            (Selection::NoUpstream, None) => {
                self.brittle.record_no_upstream(now, criteria.service);
            }
            _ => {}
        }
        selection
    }

    /// Returns the shortest predicted time to a first response among upstreams that a request was
    /// not sent to.
    pub fn best_elsewhere(
        &mut self,
        now: Time,
        criteria: &SelectionCriteria<'_>,
    ) -> Option<Duration> {
        let mut live = self.directory.live(now, criteria.service);
        let (peers, placement) = (&self.peer_table, &self.placement);
        retain_with_room(&mut self.brittle, peers, placement, now, &mut live, criteria);
        let limits = (&mut self.upstream_limits, &mut self.warm_ups);
        retain_within_limits(limits, peers, now, &mut live, criteria);
        self.ramps.retain_with_window(peers, placement, now, &mut live);
        self.placement.best_elsewhere(now, &live, criteria)
    }

    /// Decides whether a request may be sent to an upstream although upstreams have crashed.
    pub fn check_crash_evidence(&mut self, now: Time, content: u64, prompt: &Prompt) -> Verdict {
        let peer_table = &self.peer_table;
        self.crash_evidence.check(now, content, prompt.shared_parts(), || peer_table.rank(now))
    }

    /// Removes the crash evidence that has expired, and logs what was barred or cleared.
    pub fn update_crash_evidence(&mut self, now: Time) {
        self.crash_evidence.expire(now);
        self.crash_evidence.take_changes().iter().for_each(change_log::log_crash_cause);
    }

    /// Removes the upstreams' limits that have expired, and logs those that have changed.
    pub fn update_upstream_limits(&mut self, now: Time) {
        self.upstream_limits.expire(now);
        self.upstream_limits.take_changes().iter().for_each(change_log::log_upstream_limit);
    }

    /// Removes the upstreams that are warm, and logs those that have become cold or warm.
    pub fn update_warm_ups(&mut self, now: Time) {
        self.warm_ups.expire(now);
        self.warm_ups.take_changes().iter().for_each(change_log::log_warm_up);
    }

    /// Logs the usual paces of upstreams that have changed much.
    pub fn update_paces(&mut self) {
        self.placement.take_pace_changes().iter().for_each(change_log::log_upstream_pace);
    }

    /// Records whether a connection over this daemon's own link to an upstream was established.
    pub fn record_connection(
        &mut self,
        now: Time,
        upstream: &UpstreamRecord,
        is_established: bool,
    ) -> Option<reachability::Change> {
        let (service, id) = (&upstream.service, &upstream.id);
        let change = if is_established {
            self.reachability.record_success(service, id)
        } else {
            let upstreams = self.directory.live(now, service).len();
            self.reachability.record_failure(now, service, id, upstreams)
        };
        change.iter().for_each(change_log::log_reachability);
        change
    }

    /// Removes the brittle upstreams that no response has shown for long, and logs changes.
    pub fn update_brittle(&mut self, now: Time) {
        self.brittle.expire(now);
        self.brittle.take_changes().iter().for_each(change_log::log_brittle);
    }

    /// Applies a peer's state message.
    pub fn receive_message(&mut self, now: Time, from: SocketAddr, mut message: StateMessage) {
        let paces = std::mem::take(&mut message.paces);
        self.contention.discard_absurd_reports(now, &mut message);
        self.crash_evidence.merge(now, message.crash_evidence.clone().into());
        let limits = message.upstream_limits.iter().cloned().map(Into::into);
        self.upstream_limits.merge(now, limits);
        let brittle = message.brittle.iter().cloned().map(Into::into);
        self.brittle.merge(now, &message.daemon, brittle);
        self.merge_ramps(now, &message.daemon, &message.ramps);
        for (service, version) in &message.blocked_versions {
            self.rollouts.block_version(service, version);
        }
        let upstreams_at = message.upstreams_at;
        let upstreams_at = upstreams_at.and_then(|at| self.views.complete(message.store_era, at));
        let is_newer = upstreams_at > self.views.synced_revision(Kind::Upstreams);
        for (upstream, started) in &message.leaving {
            self.directory.apply_leaving(upstream, *started, is_newer);
        }
        self.receive_leaving_statements(now, &message.said_leaving);
        if message.is_leader {
            self.lease.receive_heartbeat(now);
        }
        let run = (message.daemon.clone(), message.incarnation);
        self.usage.apply_peer_counts(run, &message.usage);
        if self.peer_table.receive(now, wall_clock(), from, message) {
            self.receive_paces(now, from, paces);
        }
    }

    /// Applies a peer's report of upstreams whose responses to it say that they leave.
    pub fn receive_leaving_statements(&mut self, now: Time, starts: &[StatementWire]) {
        for start in starts {
            self.record_leaving_statement(now, start, leaving::Source::Peer);
        }
    }

    /// Records that one start of an upstream has said that it leaves, and returns whether that is new.
    pub fn record_leaving_statement(
        &mut self,
        now: Time,
        start: &StatementWire,
        source: leaving::Source,
    ) -> bool {
        let is_new = self.directory.record_leaving_statement(now, start, source);
        if is_new {
            log::info!(event = "upstream-leaving", upstream:% = start.0, started = start.1, source = source.name(); "");
        }
        is_new
    }

    /// Applies a peer's work message.
    pub fn receive_work(&mut self, now: Time, from: SocketAddr, mut message: WorkMessage) {
        let paces = std::mem::take(&mut message.paces);
        self.merge_ramps(now, &message.daemon, &message.ramps);
        self.merge_cold(now, &message.cold);
        if self.peer_table.receive_work(now, message) {
            self.receive_paces(now, from, paces);
        }
    }

    /// Applies a peer's samples of the paces of known upstreams.
    fn receive_paces(&mut self, now: Time, from: SocketAddr, reports: Vec<speed::ReportWire>) {
        for wire in reports.into_iter().take(speed::MAX_REPORTS) {
            if self.directory.get(&wire.0).is_none() {
                continue;
            }
            let upstream = wire.0.clone();
            match speed::Report::try_from(wire) {
                Ok(report) => self.placement.merge_pace(now, &report),
                Err(error) if self.placement.record_malformed_pace(now, &upstream) => {
                    log::warn!(event = "malformed-pace", upstream:%, from:%, error:%; "the pace that a peer reported is ignored");
                }
                Err(_) => {}
            }
        }
    }

    /// Applies a hub's message: that the hub is alive, its totals, and whether the store was
    /// unreachable.
    pub fn receive_hub_message(&mut self, now: Time, from: SocketAddr, mut message: HubMessage) {
        self.contention.discard_absurd_levels(now, &mut message);
        if message.is_leader {
            self.lease.receive_heartbeat(now);
        }
        if self.hubs.receive(now, from, message) && self.hubs.has_others(now) {
            let recovered_at = self.hubs.since_store_recovery(now).map(|since| now.ago(since));
            self.directory.record_store_reachable(recovered_at);
        }
    }

    /// Records an era that the store has named. If the store has been restored, returns the state
    /// that it lacks.
    fn observe_era(&mut self, now: Time, era: Era) -> Option<EarlierEra> {
        let earlier = self.views.era();
        if !self.views.observe_era(era) {
            return None;
        }
        let is_return = self.views.has_changed_era();
        self.hubs.observe_era(era, is_return);
        let windows = self.lease.begin_era(now, era);
        is_return.then(|| {
            let departed = self.directory.begin_era(now);
            EarlierEra { era: earlier, windows, departed }
        })
    }

    /// Decides whether this daemon is a hub, which watches the store on behalf of others.
    pub fn decide_hub(&mut self, now: Time) -> bool {
        let (daemons, is_leader) = (self.peer_table.size(), self.lease.fence(now).is_some());
        let was_hub = self.hubs.is_hub();
        // The number of daemons is unknown until the members have been listed.
        let is_hub = self.has_members && self.hubs.update_role(now, daemons, is_leader);
        self.peer_table.set_report_timeout(self.hubs.report_timeout(now, daemons));
        if is_hub != was_hub {
            log::info!(event = "hub", is_hub, daemons, acts = is_leader; "");
        }
        is_hub
    }

    /// Returns what all other daemons admitted for a customer, as far as it was reported.
    pub fn admitted_elsewhere(&self, now: Time, customer: &CustomerName) -> quota::PeerAdmissions {
        let mut peers = self.peer_table.admitted(now, customer);
        if let Some(total) = self.hubs.total(now, customer) {
            let lag = hubs::TOTAL_LAG.max(total.lag);
            peers.apply_total(&total, lag, &self.quotas.history(now, customer));
        }
        peers
    }

    /// Returns the status that a hub broadcasts on a link that bears `bytes_per_s`.
    fn hub_status(&mut self, now: Time, bytes_per_s: f64) -> HubStatus {
        let is_leader = self.lease.fence(now).is_some();
        let brief = HubStatus {
            daemons: self.peer_table.size(),
            is_leader,
            since_store_recovery: self.directory.since_store_recovery(now),
            table: self.table_version(),
            table_bytes: self.table.as_ref().map_or(0, |table| table.document.len() as u64),
            ..HubStatus::default()
        };
        let broadcasts_objects = self.hubs.broadcasts_objects(now);
        if !self.hubs.broadcasts_sums(now, is_leader) && !broadcasts_objects {
            return brief;
        }
        let customers: Vec<_> = self.table.as_ref().map_or_else(Vec::new, |table| {
            let quota = |c: &Customer| Some((c.name.clone(), c.quota?));
            table.customers.values().filter_map(quota).collect()
        });
        // Most customers stay far below their quotas, and the message of a hub goes to all daemons.
        let totals = customers.into_iter().filter_map(|(customer, quota)| {
            let mut sum = self.peer_table.admitted(now, &customer);
            sum.add(&self.quotas.history(now, &customer), Duration::ZERO);
            let requested = sum.requested + self.quotas.requested_rate(now, &customer);
            let is_full = self.quotas.is_bucket_full(now, quota, &sum.history, requested);
            (!is_full).then_some(Total { customer, admitted: sum.history, requested })
        });
        HubStatus {
            live_peers: self.peer_table.reporting_count(now),
            totals: totals.collect(),
            levels: self.contention.levels(),
            evacuations: self.views.listing(Kind::Evacuations),
            updates: if broadcasts_objects {
                let max_bytes = hubs::max_update_bytes(bytes_per_s, self.peer_table.size());
                self.views.next_updates(now, max_bytes)
            } else {
                Vec::new()
            },
            ..brief
        }
    }

    /// Discards the placement's records of an upstream that is gone or has restarted.
    pub fn reset_upstream(&mut self, upstream: &UpstreamId) {
        self.placement.remove_upstream(upstream);
        self.upstream_limits.remove(upstream);
        self.ramps.ramps.remove(upstream);
        self.brittle.reset(clock(), upstream);
    }
}

/// One gateway. All of it runs on one thread.
pub struct Gateway {
    /// The names and formats of headers.
    pub header_schema: HeaderSchema,
    /// The object store and the cloud.
    pub store: Store,
    pub state: RefCell<State>,
    /// Idle connections to upstreams.
    pub pool: RefCell<Pool>,
    pub metrics: Metrics,
    /// Limits the log lines about slow requests.
    pub leg_log: legs::LogLimit,
    pub peer_traffic: RefCell<PeerTraffic>,
    /// How long the event loop has been busy with other work.
    pub loop_lag: Cell<LoopLag>,
    /// The bytes that messages to peers may take.
    pub link_budget: RefCell<LinkBudget>,
    /// Distinguishes this run of the daemon from others.
    pub incarnation: Incarnation,
    /// Notified when callers' idle connections are to be closed.
    pub closing_idle: Notify,
    /// Usage windows that this run has reported or is reporting.
    pub reported: RefCell<IndexSet<u64>>,
    /// Services whose move state is being written to the store.
    pub recording: RefCell<IndexSet<ServiceName>>,
    /// While shutting down: until when every request is accepted, and when the process ends.
    shutdown: Cell<Option<(Time, Time)>>,
    /// Notified when the shutdown begins.
    shutdown_begun: Notify,
    settings: RefCell<Rc<Settings>>,
    /// Whether there are changes from the store that hubs have not broadcast yet.
    pub has_unsent_changes: Cell<bool>,
    /// The last era that a peer has named and the store had not.
    checked_era: Cell<Era>,
    /// Notified when a call to the store has ended without an answer.
    pub watches_suspect: Notify,
    /// Notified when the store has been restored from a backup, or may have been.
    pub era_changed: Notify,
    /// Whether a member that is gone is being removed from the store.
    pub is_removing_member: Cell<bool>,
    /// Kinds of which an update from a hub was missed.
    pub missed_kinds: RefCell<IndexSet<Kind>>,
    /// The kinds of which a hub has a later revision, each with the own revision and since when.
    pub behind_since: RefCell<IndexMap<Kind, (Option<StoreRevision>, Time)>>,
    pub startup: Startup,
    /// Since when another daemon has had a newer table than the one of this version.
    table_behind: Cell<Option<(u64, Time)>>,
    in_flight: Cell<u32>,
    /// The memory for the bodies of requests.
    pub request_memory: Arc<MemoryBudget>,
    /// The memory for the buffered parts of responses.
    pub response_memory: Arc<MemoryBudget>,
    /// The number of the last message to peers.
    last_message_number: Cell<u64>,
    /// Rises with each tunnel that is requested.
    last_helper_turn: Cell<usize>,
}

impl Gateway {
    /// Creates a gateway without any objects of the store.
    pub fn new(settings: Settings, header_schema: HeaderSchema, store: Store) -> Rc<Self> {
        let now = clock();
        let incarnation = Incarnation(wall_clock().0);
        let bounds = &settings.bounds;
        let run = format!("{}.{incarnation}", settings.name);
        let link_budget = LinkBudget::new(settings.link);
        let startup = Startup::new(now, &settings.name, bounds.drain);
        let mut lease = Lease::new(run.into(), bounds.lease, now);
        lease.set_bounds(bounds.lease, bounds.checks_fences);
        let mut placement = Placement::default();
        placement.set_daemon(&settings.name);
        let mut directory = Directory::new(bounds.drain);
        directory.set_bounds(bounds.drain, bounds.contact);
        let state = State {
            table: None,
            directory,
            placement,
            quotas: Quotas::new(bounds.quotas, now, settings.first_start),
            retries: RetryBudgets::new(bounds.retries, now, settings.first_start),
            upstream_limits: UpstreamLimits::default(),
            warm_ups: WarmUps::default(),
            warm_up_tolerance: bounds.warm_up,
            ramps: UpstreamRamps::new(bounds.ramp_start),
            brittle: BrittleUpstreams::default(),
            contention: Contention::default(),
            crash_evidence: CrashEvidence::new(MIN_CONTENT_CRASHES),
            reachability: Reachability::default(),
            send_delays: SendDelays::default(),
            rollouts: Rollouts::new(bounds.canary_share),
            autoscaler: Autoscaler::default(),
            usage: Usage::new(bounds.usage_window),
            peer_table: PeerTable::new(settings.name.clone()),
            hubs: Hubs::new(settings.name.clone(), settings.link, bounds.drain),
            views: ReplicatedViews::default(),
            lease,
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
            leg_log: legs::LogLimit::default(),
            peer_traffic: RefCell::default(),
            loop_lag: Cell::default(),
            link_budget: RefCell::new(link_budget),
            incarnation,
            closing_idle: Notify::new(),
            reported: RefCell::default(),
            recording: RefCell::default(),
            shutdown: Cell::new(None),
            shutdown_begun: Notify::new(),
            has_unsent_changes: Cell::new(false),
            watches_suspect: Notify::new(),
            checked_era: Cell::default(),
            era_changed: Notify::new(),
            is_removing_member: Cell::new(false),
            missed_kinds: RefCell::default(),
            behind_since: RefCell::default(),
            startup,
            table_behind: Cell::new(None),
            in_flight: Cell::new(0),
            request_memory: MemoryBudget::new(memory::REQUEST_BYTES),
            response_memory: MemoryBudget::for_buffers(
                memory::RESPONSE_BYTES,
                memory::UNRESERVED_RESPONSE_BYTES,
                memory::RESPONSE_COPIES,
            ),
            last_message_number: Cell::new(0),
            last_helper_turn: Cell::new(incarnation.0 as usize),
        })
    }

    pub fn settings(&self) -> Rc<Settings> {
        self.settings.borrow().clone()
    }

    /// Applies changed settings, except those that a running daemon cannot change.
    pub fn reload(&self, mut changed: Settings) {
        let current = self.settings();
        let fixed = changed.keep_fixed(&current);
        if !fixed.is_empty() {
            log::warn!(event = "reload-needs-restart", keys = fixed.join(","); "settings that need a restart are unchanged");
        }
        if changed == *current {
            log::info!(event = "reload", changed = false; "");
            return;
        }
        if (changed.store, changed.cloud) != (current.store, current.cloud) {
            (self.store.redirect)(changed.store, changed.cloud);
        }
        self.state.borrow_mut().set_bounds(&changed.bounds);
        log::info!(event = "reload", changed = true, store:% = changed.store, cloud:% = changed.cloud, bounds:? = changed.bounds; "");
        *self.settings.borrow_mut() = Rc::new(changed);
    }

    /// Lists all kinds again that this daemon watches if a peer names a later era. Only the store's own answers
    /// set the era.
    pub fn check_era(&self, era: Era) {
        if era > self.state.borrow().views.era() && self.checked_era.replace(era) != era {
            self.era_changed.notify_waiters();
        }
    }

    /// Records the era that the store has named.
    pub fn observe_era(&self, era: Era) {
        let now = self.now();
        let earlier = self.state.borrow_mut().observe_era(now, era);
        self.metrics.store_era.set(self.state.borrow().views.era().0.cast_signed());
        let Some(earlier) = earlier else { return };
        let is_leader = earlier.windows.is_some();
        log::warn!(event = "store-restored", from = earlier.era.0, to = era.0, is_leader, windows_kept = earlier.windows.unwrap_or(0), upstreams_left = earlier.departed; "the store has been restored from a backup; all kinds are listed again");
        self.era_changed.notify_waiters();
    }

    /// Records that another daemon has a newer table, or that none has, and returns since when.
    pub fn set_table_behind(&self, now: Time, is_behind: bool) -> Option<Time> {
        let since = is_behind.then(|| self.table_behind_since().unwrap_or(now));
        let version = self.state.borrow().table_version();
        self.table_behind.set(since.map(|since| (version, since)));
        since
    }

    /// Returns since when another daemon has had a newer table than the one in force, as far as is known.
    pub fn table_behind_since(&self) -> Option<Time> {
        let (version, since) = self.table_behind.get()?;
        // The table may have arrived from the store since that was recorded.
        (version == self.state.borrow().table_version()).then_some(since)
    }

    /// Cancels and repeats the watches if a call to the store ended without an answer.
    pub fn suspect_watches(&self, error: &CallError) {
        if matches!(error, CallError::NoAnswer) {
            self.watches_suspect.notify_waiters();
        }
    }

    /// Returns the name and incarnation, which identify this run among those of all daemons.
    pub fn run(&self) -> Run {
        (self.settings().name.clone(), self.incarnation)
    }

    /// Returns the time of a clock that includes suspension, which leases depend on.
    pub fn now(&self) -> Time {
        clock()
    }

    /// Reports whether new connections should be directed to this daemon.
    pub fn is_ready(&self) -> bool {
        let state = self.state.borrow();
        !self.is_draining() && state.active_table().is_some()
    }

    /// Reports whether the daemon is shutting down.
    pub fn is_draining(&self) -> bool {
        self.shutdown.get().is_some()
    }

    /// Begins the shutdown; the process ends at `process_end` at the latest.
    pub fn drain(&self, process_end: Time) {
        let now = self.now();
        let accept_all =
            ACCEPT_ALL_WHILE_DRAINING.min(process_end.since(now).mul_f64(ACCEPT_ALL_SHARE));
        self.shutdown.set(Some((now + accept_all, process_end)));
        self.shutdown_begun.notify_waiters();
    }

    /// Waits until shortly before the end of the process, the last moment at which a request can still get
    /// a response.
    pub async fn wait_for_last_responses(&self) {
        loop {
            let begun = self.shutdown_begun.notified();
            if let Some((_, process_end)) = self.shutdown.get() {
                return sleep((process_end - LAST_RESPONSE_MARGIN).since(self.now())).await;
            }
            begun.await;
        }
    }

    /// Closes the connections of callers that have no request in progress.
    pub fn close_idle(&self) {
        self.closing_idle.notify_waiters();
    }

    /// Reports whether a request may still be accepted: shortly after the stop signal every
    /// request, since the load balancer has not noticed yet, and later those that end before the
    /// process does.
    pub fn can_finish(&self, request_timeout: Duration) -> bool {
        let now = self.now();
        self.shutdown.get().is_none_or(|(accept_all_until, process_end)| {
            now < accept_all_until || now + request_timeout < process_end
        })
    }

    /// Reports whether connections to the upstreams of a service go through other gateways, since this
    /// one has lost its links to them.
    pub fn has_detour(&self, service: &ServiceName) -> bool {
        let state = self.state.borrow();
        state.reachability.is_isolated(service)
            && !state.peer_table.helpers(self.now(), service).is_empty()
    }

    /// Returns the gateways that reach the upstreams of a service, each call in another order, so that
    /// all of them share the load.
    pub fn helpers(&self, service: &ServiceName) -> Vec<SocketAddr> {
        let mut helpers = self.state.borrow().peer_table.helpers(self.now(), service);
        let turn = self.last_helper_turn.get().wrapping_add(1);
        self.last_helper_turn.set(turn);
        if !helpers.is_empty() {
            let first = turn % helpers.len();
            helpers.rotate_left(first);
        }
        helpers
    }

    /// Counts an open connection of a caller until the guard is dropped, also by a panic.
    pub fn count_caller(self: &Rc<Self>) -> CallerGuard {
        self.metrics.callers.inc();
        CallerGuard(self.clone())
    }

    /// Counts a request as in flight until the guard is dropped.
    pub fn track_request(self: &Rc<Self>) -> InFlightGuard {
        self.in_flight.set(self.in_flight.get() + 1);
        InFlightGuard(self.clone())
    }

    pub fn in_flight(&self) -> u32 {
        self.in_flight.get()
    }

    /// Counts messages to or from peers, each of `length` bytes.
    pub fn count_peer_messages(
        &self,
        direction: Direction,
        kind: &'static str,
        length: usize,
        messages: usize,
    ) {
        self.metrics.count_peer_bytes(direction.name(), kind, (length * messages) as u64);
        self.peer_traffic.borrow_mut().count(direction, kind, length, messages);
    }

    /// Records that a request began to run, for the usage report.
    pub fn record_start(&self, customer: Option<&CustomerName>) {
        if let Some(customer) = customer {
            let mut state = self.state.borrow_mut();
            let at = state.peer_table.agreed_time(self.now(), wall_clock());
            state.usage.record_start(at, customer);
        }
    }

    /// Returns this daemon's state message for its peers.
    pub fn message(&self) -> StateMessage {
        let now = self.now();
        self.record_reported_work(now);
        let contention = {
            let State { contention, peer_table, .. } = &mut *self.state.borrow_mut();
            contention.reports(now, peer_table.size())
        };
        let state = self.state.borrow();
        self.last_message_number.set(self.last_message_number.get() + 1);
        let upstream_limits = state.upstream_limits.reports(now);
        StateMessage {
            daemon: self.settings().name.clone(),
            incarnation: self.incarnation,
            number: self.last_message_number.get(),
            wall: wall_clock(),
            table: state.table_version(),
            is_leader: state.lease.fence(now).is_some(),
            admitted: state.quotas.all_histories(now),
            requested: state.quotas.all_requested(now),
            usage: state.usage.local_counts(),
            work: reported_work(&state.placement),
            demands: state.placement.demands(now),
            contention,
            crash_evidence: state.crash_evidence.report(now).into(),
            upstream_limits: upstream_limits.into_iter().map(Into::into).collect(),
            brittle: state.brittle.reports(now).into_iter().map(Into::into).collect(),
            paces: state.placement.pace_reports(now),
            urgent_work: reported_urgent_work(&state.placement, now),
            ramps: state.ramps.reports(now),
            tallies: state.rollouts.local_tallies(),
            blocked_versions: state.rollouts.blocked_versions().to_vec(),
            upstreams_at: state.views.synced_revision(Kind::Upstreams).map(|at| at.revision),
            store_era: state.views.era(),
            leaving: state.directory.leaving_upstreams(now),
            said_leaving: state.directory.leaving_statements(),
            isolated: state.reachability.isolated().cloned().collect(),
            is_draining: self.is_draining(),
        }
    }

    /// Returns this daemon's work message for its peers.
    pub fn work_message(&self) -> WorkMessage {
        let now = self.now();
        self.record_reported_work(now);
        let state = self.state.borrow();
        self.last_message_number.set(self.last_message_number.get() + 1);
        WorkMessage {
            daemon: self.settings().name.clone(),
            incarnation: self.incarnation,
            number: self.last_message_number.get(),
            work: reported_work(&state.placement),
            paces: state.placement.pace_reports(now),
            urgent_work: reported_urgent_work(&state.placement, now),
            ramps: state.ramps.reports(now),
            cold: state.warm_ups.reports(now),
        }
    }

    /// Records what a message is about to report as this daemon's requests at brittle upstreams.
    fn record_reported_work(&self, now: Time) {
        let State { brittle, placement, .. } = &mut *self.state.borrow_mut();
        brittle.record_reported(now, |upstream| placement.own_requests(upstream));
    }

    /// Returns the message that this daemon broadcasts if it is a hub in contact with the store. Those of hubs
    /// without sums and changes to pass on are brief.
    pub fn hub_message(&self) -> Option<HubMessage> {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        if !state.hubs.is_hub() || state.peer_table.size() <= hubs::MAX_DAEMONS_WITHOUT_HUBS {
            return None;
        }
        let rate = self.link_budget.borrow().broadcast_rate();
        let status = state.hub_status(now, rate);
        let message = state.hubs.message(now, self.incarnation, status)?;
        let is_brief =
            message.updates.is_empty() && !state.hubs.broadcasts_sums(now, message.is_leader);
        let revisions = if is_brief { state.views.revisions() } else { Vec::new() };
        Some(if is_brief { message.brief(revisions) } else { message })
    }

    /// Returns a hub's message of `began` with its present ages, or `None` if this daemon is a hub no longer.
    pub fn renew_hub_message(&self, began: Time, message: HubMessage) -> Option<HubMessage> {
        self.state.borrow_mut().hubs.renew(self.now(), began, message)
    }

    /// Returns the message by which a hub shows that it is alive while its link does not bear the long one.
    pub fn brief_hub_message(&self, message: &HubMessage) -> HubMessage {
        let mut state = self.state.borrow_mut();
        let revisions = state.views.revisions();
        state.hubs.number_next(message.clone().brief(revisions))
    }

    /// Reports whether no daemon has requests in progress at upstreams of a service, apart from
    /// those of `version`.
    pub fn has_no_requests_besides(
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

/// Removes the upstreams to which their limits allow no request now, and returns the shortest time
/// until one of those that may run the request may be sent one.
fn retain_within_limits(
    (limits, warm_ups): (&mut UpstreamLimits, &mut WarmUps),
    peers: &PeerTable,
    now: Time,
    live: &mut Vec<&Upstream>,
    criteria: &SelectionCriteria<'_>,
) -> Option<Duration> {
    if limits.is_empty() && warm_ups.is_empty() {
        return None;
    }
    let mut shortest_wait: Option<Duration> = None;
    live.retain(|upstream| {
        let (id, position) = (&upstream.record.id, |id: &UpstreamId| peers.position(id.as_str()));
        // Until the store lists this daemon, it may know none of the others, and would take the whole rate
        // of a cold upstream for itself.
        let cautious = |id: &UpstreamId| match peers.own_address() {
            Some(_) => position(id),
            None => Position { rank: u32::MAX, count: 1 },
        };
        let wait = limits.wait(now, id, position).max(warm_ups.wait(now, id, cautious));
        if !wait.is_zero() && criteria.allows(upstream) {
            shortest_wait = Some(shortest_wait.map_or(wait, |shortest| shortest.min(wait)));
        }
        wait.is_zero()
    });
    shortest_wait
}

/// Removes the brittle upstreams at which a request may be rejected now, and returns the shortest time
/// until one of those that may run the request may be sent one.
fn retain_with_room(
    brittle: &mut BrittleUpstreams,
    peers: &PeerTable,
    placement: &Placement,
    now: Time,
    live: &mut Vec<&Upstream>,
    criteria: &SelectionCriteria<'_>,
) -> Option<Duration> {
    if brittle.is_empty() {
        return None;
    }
    let service = criteria.service;
    let service_tolerance = brittle.service_tolerance(now, service)?;
    let turn = Turn::at(peers.agreed_time(now, wall_clock()).0, peers.work_report_age());
    let mut ids: Vec<&UpstreamId> = live.iter().map(|upstream| &upstream.record.id).collect();
    ids.sort_unstable();
    let by_service = peers.position(service.as_str());
    let mut shortest_wait: Option<Duration> = None;
    live.retain(|upstream| {
        let id = &upstream.record.id;
        let index = ids.binary_search(&id).ok();
        let home_rank = index.and_then(|index| home_rank(by_service, index, ids.len()));
        let target = Target { upstream: id, service, service_tolerance, home_rank };
        let occupancy = placement.occupancy(now, upstream);
        let wait = brittle.wait(now, target, occupancy, turn, |id| peers.position(id.as_str()));
        if !wait.is_zero() && criteria.allows(upstream) {
            shortest_wait = Some(shortest_wait.map_or(wait, |shortest| shortest.min(wait)));
        }
        wait.is_zero()
    });
    shortest_wait
}

fn reported_work(placement: &Placement) -> Vec<ReportedWork> {
    let percent = |share: f64| (share * 100.0).round().clamp(0.0, 100.0) as u8;
    let reports = placement.local_load().into_iter().map(|(upstream, work, failure_score)| {
        (upstream, work.requests, work.pending_prefill_tokens, work.memory, percent(failure_score))
    });
    reports.collect()
}

fn reported_urgent_work(placement: &Placement, now: Time) -> Option<Vec<ReportedUrgentWork>> {
    let reports = placement.local_urgent_work(now)?.into_iter().map(|(upstream, work)| {
        (upstream, work.requests, work.pending_prefill_tokens, work.memory)
    });
    Some(reports.collect())
}

/// Counts an open connection of a caller while it exists.
pub struct CallerGuard(Rc<Gateway>);

impl Drop for CallerGuard {
    fn drop(&mut self) {
        self.0.metrics.callers.dec();
    }
}

/// Counts a request as in flight while it exists.
pub struct InFlightGuard(Rc<Gateway>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}

/// Returns the time since the host's start, including suspension.
pub fn clock() -> Time {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from);
    Time(time.unwrap_or_default().as_micros() as u64)
}

/// Returns the time of day.
pub fn wall_clock() -> WallTime {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    WallTime(since.as_millis() as u64)
}
