//! What daemons tell each other, and what each knows of the others.
//!
//! Every message carries a daemon's whole state of what is shared: sums that only grow or that
//! replace earlier ones. So a lost, repeated or late datagram does no harm, and nothing has to be
//! repaired after a partition. See `docs/design/platform.md` for what it costs.

use std::{net::SocketAddr, time::Duration};

use dogwoodturn::{
    ids::{
        CustomerName, DaemonId, Incarnation, Revision, RouteName, ServiceName, UpstreamId,
        VersionName,
    },
    units::{Time, WallTime},
};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{
    hubs::HubMessage,
    placement::{PeerView, Work},
    quota,
    rollout::Tally,
    store::MemberRecord,
};

/// How long a peer counts as heard after its next message was due: messages are lost now and then,
/// and a daemon may be late.
const MESSAGE_DELAY_MARGIN: Duration = Duration::from_millis(1000);
/// How often a daemon tells its state, to [`MAX_TOLD`] peers in turn; quotas overshoot by what is
/// admitted meanwhile.
pub const TELL_EVERY: Duration = Duration::from_millis(250);
/// The most peers that are told at a time.
pub const MAX_TOLD: usize = 12;
/// How long a silent peer counts for quotas before it is taken to be gone.
const SILENT_PEER_RETENTION: Duration = Duration::from_secs(30);

/// Work at one upstream, and what is held against it in percent.
pub type ReportedWork = (UpstreamId, u32, u64, u64, u8);

/// What one datagram carries.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Datagram {
    /// A daemon's whole state.
    State(Box<StateMessage>),
    /// What a hub tells all others.
    Hub(Box<HubMessage>),
    /// A daemon's work alone, which changes faster than the rest.
    Work(WorkMessage),
}

/// A daemon's work at upstreams.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WorkMessage {
    /// The sender.
    pub daemon: DaemonId,
    /// Its run.
    pub incarnation: Incarnation,
    /// Rises with each message of a run, of either sort.
    pub number: u64,
    /// The work.
    pub work: Vec<ReportedWork>,
}

/// One daemon's state of what is shared.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StateMessage {
    /// The sender.
    pub daemon: DaemonId,
    /// Its run.
    pub incarnation: Incarnation,
    /// Rises with each message of a run.
    pub number: u64,
    /// The sender's time of day.
    pub wall: WallTime,
    /// The version of its table; zero if it has none.
    pub table: u64,
    /// Whether the daemon holds the lease and acts for all.
    #[serde(rename = "acts")]
    pub is_leader: bool,
    /// Units admitted lately, by interval.
    pub admitted: Vec<(CustomerName, quota::History)>,
    /// Units a second that customers asked for lately.
    #[serde(rename = "asked")]
    pub requested: Vec<(CustomerName, u64)>,
    /// Requests that began to run, by window and customer.
    pub usage: Vec<(u64, Vec<(CustomerName, u64)>)>,
    /// Work at upstreams.
    pub work: Vec<ReportedWork>,
    /// Engines that the requests of each service keep busy, in thousandths.
    pub demands: Vec<(ServiceName, u32)>,
    /// Digests of requests that crashed upstreams, with how often.
    pub crashes: Vec<(u64, u32)>,
    /// What versions under a move have done.
    pub tallies: Vec<(ServiceName, VersionName, RouteName, Tally)>,
    /// Versions that were found bad.
    #[serde(rename = "holds")]
    pub blocked_versions: Vec<(ServiceName, VersionName)>,
    /// The revision up to which the daemon has read the upstreams in the store.
    pub upstreams_at: Option<Revision>,
    /// Upstreams that are leaving or gone, with the start that is, since one may start again under its id.
    pub leaving: Vec<(UpstreamId, u64)>,
}

#[derive(Clone, Debug)]
struct Peer {
    address: SocketAddr,
    state_received_at: Option<Time>,
    work_received_at: Time,
    /// How far its time of day is ahead of this daemon's, in milliseconds.
    clock_offset_ms: i64,
    first_seen: Time,
    last_message: Option<StateMessage>,
}

/// The other daemons as one daemon knows them.
#[derive(Clone, Debug)]
pub struct PeerTable {
    own_id: DaemonId,
    /// Where the store lists this daemon.
    own_address: Option<SocketAddr>,
    peers: IndexMap<DaemonId, Peer>,
}

impl PeerTable {
    /// Makes the view of a daemon that knows nobody.
    pub fn new(own_id: DaemonId) -> Self {
        Self { own_id, own_address: None, peers: IndexMap::new() }
    }

    /// Takes a daemon that the store lists.
    pub fn listed(&mut self, now: Time, member: MemberRecord) {
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
        };
        self.peers.entry(member.daemon).or_insert(peer).address = member.address;
    }

    /// Returns where the store lists this daemon.
    pub fn own_address(&self) -> Option<SocketAddr> {
        self.own_address
    }

    /// Takes that the store lists only these daemons; one that was heard lately may be so new that
    /// the list does not have it.
    pub fn retain_listed(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.peers
            .retain(|daemon, peer| is_listed(daemon.as_str()) || peer.state_received_at.is_some());
    }

    /// Takes that the store no longer lists a daemon.
    pub fn unlisted(&mut self, name: &str) {
        self.peers.retain(|daemon, _| daemon.as_str() != name);
    }

    /// Takes a message; false if it is older than what is known.
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
        peer.last_message = Some(message);
        true
    }

    /// Takes a peer's work; it counts only after its whole state was heard.
    pub fn heard_work(&mut self, now: Time, message: WorkMessage) {
        let Some(peer) = self.peers.get_mut(&message.daemon) else { return };
        let Some(last) = &mut peer.last_message else { return };
        if last.incarnation == message.incarnation && last.number < message.number {
            last.number = message.number;
            last.work = message.work;
            peer.work_received_at = now;
        }
    }

    /// Returns how long after its last message a peer counts as heard.
    pub fn silence_timeout(&self) -> Duration {
        let rounds = self.peers.len().div_ceil(MAX_TOLD).max(1) as u32;
        TELL_EVERY * rounds + MESSAGE_DELAY_MARGIN
    }

    fn is_live(&self, peer: &Peer, now: Time) -> bool {
        peer.state_received_at.is_some_and(|at| now.since(at) < self.silence_timeout())
    }

    /// Returns where all known peers listen.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.peers.values().map(|peer| peer.address).collect()
    }

    /// Returns the time of day that most daemons agree on.
    ///
    /// The clocks of some hosts may jump by seconds; usage windows are cut by the clock, and the
    /// median holds while fewer than half of the clocks are wrong.
    pub fn agreed_time(&self, now: Time, wall: WallTime) -> WallTime {
        let live = self.peers.values().filter(|peer| self.is_live(peer, now));
        let mut offsets: Vec<i64> = live.map(|peer| peer.clock_offset_ms).chain([0]).collect();
        offsets.sort_unstable();
        WallTime(wall.0.saturating_add_signed(offsets[offsets.len() / 2]))
    }

    /// Returns the peers that were not heard for a time.
    pub fn silent_peers(&self, now: Time, silent_for: Duration) -> Vec<DaemonId> {
        let is_silent = |peer: &Peer| {
            now.since(peer.state_received_at.unwrap_or(peer.first_seen)) >= silent_for
        };
        let silent = self.peers.iter().filter(|(_, peer)| is_silent(peer));
        silent.map(|(daemon, _)| daemon.clone()).collect()
    }

    /// Returns the number of peers that are heard.
    pub fn heard_count(&self, now: Time) -> u32 {
        self.peers.values().filter(|peer| self.is_live(peer, now)).count() as u32
    }

    /// Returns the number of daemons that are known, this one included.
    pub fn size(&self) -> u32 {
        self.peers.len() as u32 + 1
    }

    /// Returns this daemon's place among those that are heard, by name.
    pub fn rank(&self, now: Time) -> u32 {
        let precedes =
            |(daemon, peer): &(&DaemonId, &Peer)| **daemon < self.own_id && self.is_live(peer, now);
        self.peers.iter().filter(precedes).count() as u32
    }

    /// Returns what the peers say of a customer's quota.
    pub fn admitted(&self, now: Time, customer: &CustomerName) -> quota::PeerAdmissions {
        let rounds = self.peers.len().div_ceil(MAX_TOLD).max(1) as u32;
        let mut sum =
            quota::PeerAdmissions { lag: TELL_EVERY * rounds, ..quota::PeerAdmissions::default() };
        for peer in self.peers.values() {
            if let (Some(last), Some(received_at)) = (&peer.last_message, peer.state_received_at) {
                let reported = last.admitted.iter().find(|(name, _)| name == customer);
                if let Some((_, history)) = reported {
                    sum.add(history, now.since(received_at));
                }
            }
            if self.is_live(peer, now) {
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

    /// Adds up what the peers that are heard say of each upstream.
    pub fn views(&self, now: Time) -> IndexMap<UpstreamId, PeerView> {
        let mut views = IndexMap::<UpstreamId, PeerView>::new();
        let timeout = self.silence_timeout();
        let is_recent = |peer: &&Peer| now.since(peer.work_received_at) < timeout;
        let last =
            self.peers.values().filter(is_recent).filter_map(|peer| peer.last_message.as_ref());
        for message in last {
            for (id, requests, unread, memory, failure_score) in &message.work {
                let view = views.entry(id.clone()).or_default();
                view.work = Work {
                    requests: view.work.requests + requests,
                    unread: view.work.unread + unread,
                    memory: view.work.memory + memory,
                };
                view.failure_score = view.failure_score.max(f64::from(*failure_score) / 100.0);
            }
        }
        views
    }

    /// Returns a peer with a newer table than `version`, the newest first.
    pub fn newer_table(&self, now: Time, version: u64) -> Option<SocketAddr> {
        let is_newer = |peer: &&Peer| {
            self.is_live(peer, now)
                && peer.last_message.as_ref().is_some_and(|last| last.table > version)
        };
        let newest = self.peers.values().filter(is_newer);
        let newest = newest.max_by_key(|peer| peer.last_message.as_ref().map(|last| last.table));
        newest.map(|peer| peer.address)
    }

    /// Returns what each run told last of versions under a move.
    pub fn tallies<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a (ServiceName, VersionName, RouteName, Tally)> {
        let last = self.peers.values().filter_map(|peer| peer.last_message.as_ref());
        last.flat_map(|last| &last.tallies).filter(move |(name, ..)| name == service)
    }

    /// Returns the engines that requests at the peers keep busy.
    pub fn demand(&self, now: Time, service: &ServiceName) -> f64 {
        let reported = self.live_messages(now).flat_map(|message| &message.demands);
        let reported = reported.filter(|(name, _)| name == service).map(|(_, demand)| *demand);
        f64::from(reported.sum::<u32>()) / 1000.0
    }

    /// Returns the last messages of the peers that are heard.
    pub fn live_messages(&self, now: Time) -> impl Iterator<Item = &StateMessage> {
        let is_live = move |peer: &&Peer| self.is_live(peer, now);
        self.peers.values().filter(is_live).filter_map(|peer| peer.last_message.as_ref())
    }
}
