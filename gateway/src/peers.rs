//! The messages between daemons, and each daemon's view of the others.
//!
//! Every message carries all of a daemon's shared state, as sums that only grow or as values that
//! replace earlier ones. A lost, repeated or late datagram therefore does no harm, and nothing has
//! to be repaired after a partition. See `docs/design/platform.md` for the cost.

use std::{collections::VecDeque, net::SocketAddr, time::Duration};

use dogwoodturn::{
    ids::{
        CustomerName, DaemonId, Era, Incarnation, Revision, RouteName, ServiceName, UpstreamId,
        VersionName,
    },
    limit::{self, brittle, ramp, upstream::Position, warm_up},
    request::crash_evidence,
    units::{Time, WallTime},
    upstream::speed,
};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{
    contention::DemandWire,
    hubs::HubMessage,
    leaving::StatementWire,
    placement::{PeerView, Work},
    quota,
    replication::is_unnamed,
    rollout::Tally,
    store::MemberRecord,
};

/// A peer counts as live until its next message is overdue by this margin, since messages are lost
/// occasionally and a daemon may be late.
const MESSAGE_DELAY_MARGIN: Duration = Duration::from_millis(1000);
/// Interval of a daemon's messages, each to [`MAX_RECIPIENTS`] peers in rotation. Quotas overshoot
/// by what is admitted in the meantime.
pub const MESSAGE_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which a daemon reports its work to peers; an engine takes about as long to prefill a
/// prompt.
pub const WORK_INTERVAL: Duration = Duration::from_millis(50);
/// What a report of work takes besides the intervals: its way, and the interval at which reports are
/// summed.
const WORK_DELAY_MARGIN: Duration = Duration::from_millis(100);
/// The number of a peer's earlier reports of work that are kept.
const MAX_EARLIER_REPORTS: usize = 4;
/// Maximum number of peers that receive one message.
pub const MAX_RECIPIENTS: usize = 12;
/// Time for which quotas count a silent peer before it is presumed lost.
const SILENT_PEER_RETENTION: Duration = Duration::from_secs(30);

/// An upstream, the requests, prompt tokens to prefill and memory of the work there, and its
/// failure score in percent.
pub type ReportedWork = (UpstreamId, u32, u64, u64, u8);

/// An upstream, and the requests, prompt tokens to prefill and memory of the most urgent rank there.
pub type ReportedUrgentWork = (UpstreamId, u32, u64, u64);

#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Datagram {
    /// All of a daemon's shared state.
    State(Box<StateMessage>),
    /// A hub's message to all other daemons.
    Hub(Box<HubMessage>),
    /// A daemon's work alone, which changes faster than the rest.
    Work(WorkMessage),
    /// A daemon's new crash evidence, which cannot wait for its next state message.
    CrashEvidence(crash_evidence::ReportWire),
    /// Limits that upstreams have named, changed or ended.
    UpstreamLimits(Vec<limit::upstream::ReportWire>),
    /// Upstreams that have become or are no longer brittle, or have rejected a daemon's requests.
    Brittle(DaemonId, Vec<brittle::ReportWire>),
    /// Upstreams whose responses to a daemon say that they leave.
    Leaving(Vec<StatementWire>),
}

/// A daemon's work at upstreams.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WorkMessage {
    pub daemon: DaemonId,
    pub incarnation: Incarnation,
    /// Rises with each message of a run, of either type.
    pub number: u64,
    pub work: Vec<ReportedWork>,
    /// Recent own samples of upstreams' paces.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub paces: Vec<speed::ReportWire>,
    /// The part of its work that is of the most urgent rank; absent if the daemon does not tell ranks
    /// apart.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub urgent_work: Option<Vec<ReportedUrgentWork>>,
    /// The upstreams that ramp up.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub ramps: Vec<ramp::ReportWire>,
    /// The upstreams that the daemon saw refuse connections or crash, and that count as cold for that.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub cold: Vec<warm_up::ReportWire>,
}

/// A daemon's shared state.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StateMessage {
    pub daemon: DaemonId,
    pub incarnation: Incarnation,
    /// Rises with each message of a run.
    pub number: u64,
    /// The sender's time of day.
    pub wall: WallTime,
    /// The version of its table; zero if it has none.
    pub table: u64,
    /// Whether the daemon holds the lease.
    #[serde(rename = "acts")]
    pub is_leader: bool,
    /// Units admitted recently, by interval.
    pub admitted: Vec<(CustomerName, quota::History)>,
    /// Units per second that customers requested recently.
    #[serde(rename = "asked")]
    pub requested: Vec<(CustomerName, u64)>,
    /// Requests that started to run, by window and customer.
    pub usage: Vec<(u64, Vec<(CustomerName, u64)>)>,
    pub work: Vec<ReportedWork>,
    /// Engines that the requests of each service keep busy, in thousandths.
    pub demands: Vec<(ServiceName, u32)>,
    /// The demand for services on which requests may give way.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub contention: Vec<DemandWire>,
    /// Evidence against requests and prompt parts that crash upstreams.
    #[serde(default, skip_serializing_if = "crash_evidence::ReportWire::is_empty")]
    pub crash_evidence: crash_evidence::ReportWire,
    /// The limits that upstreams name.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub upstream_limits: Vec<limit::upstream::ReportWire>,
    /// The upstreams that are brittle.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub brittle: Vec<brittle::ReportWire>,
    /// Recent own samples of upstreams' paces.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub paces: Vec<speed::ReportWire>,
    /// The part of its work that is of the most urgent rank; absent if the daemon does not tell ranks
    /// apart.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub urgent_work: Option<Vec<ReportedUrgentWork>>,
    /// The upstreams that ramp up.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub ramps: Vec<ramp::ReportWire>,
    /// Results of versions in a move.
    pub tallies: Vec<(ServiceName, VersionName, RouteName, Tally)>,
    #[serde(rename = "holds")]
    pub blocked_versions: Vec<(ServiceName, VersionName)>,
    /// The revision up to which the daemon has read the upstreams in the store.
    pub upstreams_at: Option<Revision>,
    /// The era of the store; zero if it names none, or if the daemon is of a release without this field.
    #[serde(default, skip_serializing_if = "is_unnamed")]
    pub store_era: Era,
    /// Upstreams that are leaving or gone, each with the start time of that run, since an upstream
    /// may start again under the same ID.
    pub leaving: Vec<(UpstreamId, u64)>,
    /// Upstreams whose responses to the daemon say that they leave, which holds whatever the store says.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub said_leaving: Vec<StatementWire>,
    /// The services to whose upstreams the daemon has lost its links.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub isolated: Vec<ServiceName>,
    /// Whether the daemon is shutting down.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_draining: bool,
}

#[derive(Clone, Debug)]
struct Peer {
    address: SocketAddr,
    state_received_at: Option<Time>,
    work_received_at: Time,
    /// How far the peer's wall clock is ahead of this daemon's.
    clock_offset_ms: i64,
    first_seen: Time,
    last_message: Option<StateMessage>,
    /// Earlier reports of its work, the latest first, each with the time until which it held.
    earlier_work: VecDeque<(Time, Vec<ReportedWork>)>,
}

impl Peer {
    /// Keeps a report of work that a later one replaces.
    fn keep_earlier(&mut self, now: Time, work: Vec<ReportedWork>) {
        self.earlier_work.truncate(MAX_EARLIER_REPORTS - 1);
        self.earlier_work.push_front((now, work));
    }
}

/// One daemon's view of the others.
#[derive(Clone, Debug)]
pub struct PeerTable {
    own_id: DaemonId,
    /// The address at which the store lists this daemon.
    own_address: Option<SocketAddr>,
    peers: IndexMap<DaemonId, Peer>,
    /// Time after its last report for which a peer's admissions count as known; by default the silence timeout.
    report_timeout: Option<Duration>,
}

impl PeerTable {
    pub fn new(own_id: DaemonId) -> Self {
        Self { own_id, own_address: None, peers: IndexMap::new(), report_timeout: None }
    }

    /// Sets the time after its last report for which a peer's admissions count as known; `None` stands for the
    /// silence timeout.
    pub fn set_report_timeout(&mut self, timeout: Option<Duration>) {
        self.report_timeout = timeout;
    }

    /// Adds a daemon that the store lists, or updates its address.
    pub fn add_listed(&mut self, now: Time, member: MemberRecord) {
        if member.daemon == self.own_id {
            self.own_address = Some(member.address);
            return;
        }
        let peer = Peer {
            address: member.address,
            state_received_at: None,
            work_received_at: now,
            clock_offset_ms: 0,
            first_seen: now,
            last_message: None,
            earlier_work: VecDeque::new(),
        };
        self.peers.entry(member.daemon).or_insert(peer).address = member.address;
    }

    /// Returns the address at which the store lists this daemon.
    pub fn own_address(&self) -> Option<SocketAddr> {
        self.own_address
    }

    /// Removes the daemons that the store does not list, except those that sent a message, which
    /// may be too new for the list.
    pub fn retain_listed(&mut self, is_listed: impl Fn(&str) -> bool) {
        if !is_listed(self.own_id.as_str()) {
            self.own_address = None;
        }
        self.peers
            .retain(|daemon, peer| is_listed(daemon.as_str()) || peer.state_received_at.is_some());
    }

    /// Removes a daemon that the store no longer lists.
    pub fn remove_unlisted(&mut self, name: &str) {
        self.peers.retain(|daemon, _| daemon.as_str() != name);
    }

    /// Applies a message and returns whether it is newer than the last one.
    pub fn receive(
        &mut self,
        now: Time,
        wall: WallTime,
        from: SocketAddr,
        message: StateMessage,
    ) -> bool {
        if message.daemon == self.own_id {
            return false;
        }
        let new_peer = Peer {
            address: from,
            state_received_at: None,
            work_received_at: now,
            clock_offset_ms: 0,
            first_seen: now,
            last_message: None,
            earlier_work: VecDeque::new(),
        };
        let peer = self.peers.entry(message.daemon.clone()).or_insert(new_peer);
        let order = |message: &StateMessage| (message.incarnation, message.number);
        if peer.last_message.as_ref().is_some_and(|last| order(last) >= order(&message)) {
            return false;
        }
        peer.state_received_at = Some(now);
        peer.clock_offset_ms = message.wall.0.cast_signed() - wall.0.cast_signed();
        peer.work_received_at = now;
        peer.address = from;
        if let Some(last) = peer.last_message.replace(message) {
            peer.keep_earlier(now, last.work);
        }
        true
    }

    /// Applies a peer's work, which counts only after its state was received, and returns whether it is
    /// newer than the last report.
    pub fn receive_work(&mut self, now: Time, message: WorkMessage) -> bool {
        let Some(peer) = self.peers.get_mut(&message.daemon) else { return false };
        let Some(last) = &mut peer.last_message else { return false };
        if last.incarnation != message.incarnation || last.number >= message.number {
            return false;
        }
        last.number = message.number;
        let earlier = std::mem::replace(&mut last.work, message.work);
        last.urgent_work = message.urgent_work;
        peer.work_received_at = now;
        peer.keep_earlier(now, earlier);
        true
    }

    /// Returns the time after its last message for which a peer counts as live.
    pub fn silence_timeout(&self) -> Duration {
        let rounds = self.peers.len().div_ceil(MAX_RECIPIENTS).max(1) as u32;
        MESSAGE_INTERVAL * rounds + MESSAGE_DELAY_MARGIN
    }

    fn is_live(&self, peer: &Peer, now: Time) -> bool {
        peer.state_received_at.is_some_and(|at| now.since(at) < self.silence_timeout())
    }

    fn reports(&self, peer: &Peer, now: Time) -> bool {
        let timeout = self.report_timeout.unwrap_or(Duration::MAX).min(self.silence_timeout());
        peer.state_received_at.is_some_and(|at| now.since(at) < timeout)
    }

    /// Returns the number of peers whose admissions are known.
    pub fn reporting_count(&self, now: Time) -> u32 {
        self.peers.values().filter(|peer| self.reports(peer, now)).count() as u32
    }

    /// Returns the addresses of all known peers.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.peers.values().map(|peer| peer.address).collect()
    }

    /// Returns the addresses of the live peers that reach the upstreams of a service and accept tunnels.
    pub fn helpers(&self, now: Time, service: &ServiceName) -> Vec<SocketAddr> {
        let is_helper = |peer: &&Peer| {
            self.is_live(peer, now)
                && peer
                    .last_message
                    .as_ref()
                    .is_some_and(|last| !last.is_draining && !last.isolated.contains(service))
        };
        self.peers.values().filter(is_helper).map(|peer| peer.address).collect()
    }

    /// Returns the median wall clock of the live daemons.
    ///
    /// The clocks of some hosts may jump by seconds. Usage windows are cut by the wall clock, and
    /// the median is right while fewer than half of the clocks are wrong.
    pub fn agreed_time(&self, now: Time, wall: WallTime) -> WallTime {
        let live = self.peers.values().filter(|peer| self.is_live(peer, now));
        let mut offsets: Vec<i64> = live.map(|peer| peer.clock_offset_ms).chain([0]).collect();
        offsets.sort_unstable();
        WallTime(wall.0.saturating_add_signed(offsets[offsets.len() / 2]))
    }

    /// Returns the peers that have been silent for at least `silent_for`.
    pub fn silent_peers(&self, now: Time, silent_for: Duration) -> Vec<DaemonId> {
        let is_silent = |peer: &Peer| {
            now.since(peer.state_received_at.unwrap_or(peer.first_seen)) >= silent_for
        };
        let lost = self.peers.iter().filter(|(_, peer)| is_silent(peer));
        lost.map(|(daemon, _)| daemon.clone()).collect()
    }

    /// Returns the number of live peers.
    pub fn live_count(&self, now: Time) -> u32 {
        self.peers.values().filter(|peer| self.is_live(peer, now)).count() as u32
    }

    /// Returns the number of known daemons, including this one.
    pub fn size(&self) -> u32 {
        self.peers.len() as u32 + 1
    }

    /// Returns this daemon's position among the live daemons, by name.
    pub fn rank(&self, now: Time) -> u32 {
        let precedes =
            |(daemon, peer): &(&DaemonId, &Peer)| **daemon < self.own_id && self.is_live(peer, now);
        self.peers.iter().filter(precedes).count() as u32
    }

    /// Reports whether a daemon comes before this one by name.
    pub fn precedes(&self, daemon: &DaemonId) -> bool {
        *daemon < self.own_id
    }

    /// Returns this daemon's position among the known daemons, by rendezvous hashing with the name of an
    /// upstream or a service. Silent daemons count, since they may only be out of contact.
    pub fn position(&self, name: &str) -> Position {
        let seed = xxh3_64(name.as_bytes());
        let weight = |daemon: &DaemonId| xxh3_64_with_seed(daemon.as_str().as_bytes(), seed);
        let own = weight(&self.own_id);
        let rank = self.peers.keys().filter(|daemon| weight(daemon) > own).count() as u32;
        Position { rank, count: self.size() }
    }

    /// Returns the peers' reports on a customer's quota.
    pub fn admitted(&self, now: Time, customer: &CustomerName) -> quota::PeerAdmissions {
        let rounds = self.peers.len().div_ceil(MAX_RECIPIENTS).max(1) as u32;
        let mut sum = quota::PeerAdmissions {
            lag: MESSAGE_INTERVAL * rounds,
            ..quota::PeerAdmissions::default()
        };
        for peer in self.peers.values() {
            if let (Some(last), Some(received_at)) = (&peer.last_message, peer.state_received_at) {
                let reported = last.admitted.iter().find(|(name, _)| name == customer);
                if let Some((_, history)) = reported {
                    sum.add(history, now.since(received_at));
                }
            }
            if self.reports(peer, now) {
                let reported = peer.last_message.iter().flat_map(|last| &last.requested);
                let requested =
                    reported.filter(|(name, _)| name == customer).map(|(_, rate)| *rate);
                sum.requested += requested.sum::<u64>() as f64;
                sum.live_peers += 1;
            } else if now.since(peer.state_received_at.unwrap_or(peer.first_seen))
                < SILENT_PEER_RETENTION
            {
                sum.silent += 1;
            }
        }
        sum
    }

    /// Sums the work at each upstream that the peers reported within the silence timeout, and takes
    /// the highest failure score.
    pub fn views(&self, now: Time) -> IndexMap<UpstreamId, PeerView> {
        let mut views = IndexMap::<UpstreamId, PeerView>::new();
        let timeout = self.silence_timeout();
        let is_recent = |peer: &&Peer| now.since(peer.work_received_at) < timeout;
        let last =
            self.peers.values().filter(is_recent).filter_map(|peer| peer.last_message.as_ref());
        for message in last {
            for (id, requests, prefill_tokens, memory, failure_score) in &message.work {
                let view = views.entry(id.clone()).or_default();
                view.work = Work {
                    requests: view.work.requests + requests,
                    pending_prefill_tokens: view.work.pending_prefill_tokens + prefill_tokens,
                    memory: view.work.memory + memory,
                };
                view.failure_score = view.failure_score.max(f64::from(*failure_score) / 100.0);
                if message.urgent_work.is_none() {
                    // The peer may be of an earlier release, so that any of its work may be urgent.
                    view.urgent_work.saturating_add(Work {
                        requests: *requests,
                        pending_prefill_tokens: *prefill_tokens,
                        memory: *memory,
                    });
                }
            }
            for (id, requests, prefill_tokens, memory) in message.urgent_work.iter().flatten() {
                let view = views.entry(id.clone()).or_default();
                view.urgent_work.saturating_add(Work {
                    requests: *requests,
                    pending_prefill_tokens: *prefill_tokens,
                    memory: *memory,
                });
            }
        }
        for view in views.values_mut() {
            view.urgent_work = view.urgent_work.limited_to(view.work);
        }
        views
    }

    /// Returns the age that reports of work may have.
    pub fn work_report_age(&self) -> Duration {
        let rounds = self.peers.len().div_ceil(MAX_RECIPIENTS).max(1) as u32;
        WORK_INTERVAL * (rounds + 1) + WORK_DELAY_MARGIN
    }

    /// Sums the requests at each upstream that the peers keep there: for each peer, the least number that
    /// it reported within the age of a report.
    pub fn held_requests(&self, now: Time) -> IndexMap<UpstreamId, u32> {
        let (timeout, report_age) = (self.silence_timeout(), self.work_report_age());
        let mut held = IndexMap::<UpstreamId, u32>::new();
        for peer in self.peers.values() {
            let Some(last) = &peer.last_message else { continue };
            if now.since(peer.work_received_at) >= timeout {
                continue;
            }
            for (id, requests, ..) in &last.work {
                let earlier = peer
                    .earlier_work
                    .iter()
                    .take_while(|(until, _)| now.since(*until) < report_age);
                let earlier = earlier.map(|(_, work)| {
                    work.iter()
                        .find(|(other, ..)| other == id)
                        .map_or(0, |(_, requests, ..)| *requests)
                });
                let least = earlier.min().unwrap_or(*requests).min(*requests);
                *held.entry(id.clone()).or_default() += least;
            }
        }
        held
    }

    /// Returns a live peer with the newest table above `version`. Each daemon chooses its own, so that they are
    /// spread over those that have it.
    pub fn newer_table(&self, now: Time, version: u64) -> Option<SocketAddr> {
        let is_newer = |(_, peer): &(&DaemonId, &Peer)| {
            self.is_live(peer, now)
                && peer.last_message.as_ref().is_some_and(|last| last.table > version)
        };
        let newest = self.peers.iter().filter(is_newer);
        let seed = xxh3_64(self.own_id.as_str().as_bytes());
        let key = |(daemon, peer): &(&DaemonId, &Peer)| {
            let table = peer.last_message.as_ref().map(|last| last.table);
            (table, xxh3_64_with_seed(daemon.as_str().as_bytes(), seed))
        };
        newest.max_by_key(key).map(|(_, peer)| peer.address)
    }

    /// Returns the last reported results of versions in a move of the service.
    pub fn tallies<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a (ServiceName, VersionName, RouteName, Tally)> {
        let last = self.peers.values().filter_map(|peer| peer.last_message.as_ref());
        last.flat_map(|last| &last.tallies).filter(move |(name, ..)| name == service)
    }

    /// Returns the number of engines that requests at the live peers keep busy.
    pub fn demand(&self, now: Time, service: &ServiceName) -> f64 {
        let reported = self.live_messages(now).flat_map(|message| &message.demands);
        let reported = reported.filter(|(name, _)| name == service).map(|(_, demand)| *demand);
        f64::from(reported.sum::<u32>()) / 1000.0
    }

    /// Returns the last messages of the live peers.
    pub fn live_messages(&self, now: Time) -> impl Iterator<Item = &StateMessage> {
        let is_live = move |peer: &&Peer| self.is_live(peer, now);
        self.peers.values().filter(is_live).filter_map(|peer| peer.last_message.as_ref())
    }
}
