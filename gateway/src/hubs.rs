//! The few daemons that watch the store and add up what all daemons tell, for the others.
//!
//! Load pattern: many small hosts on thin links. That each watches the store costs a call for each
//! change and host; that each hears each other one takes so long that a customer's burst is over
//! before the daemons know of it together. So a few daemons, called hubs, watch, hear everybody at
//! short intervals and tell everybody what they have learnt. No daemon is appointed: one steps in
//! when it hears too few hubs that are in touch with the store, sooner if its link is wide, and
//! resigns when it hears enough that go before it. A daemon that hears none does without. Systems
//! of a few hosts have no hubs, since there everybody hears everybody in time.

use std::{cmp::Reverse, net::SocketAddr, time::Duration};

use dogwoodturn::{
    ids::{CustomerName, DaemonId, Incarnation},
    units::Time,
};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    quota::{self, History},
    replication::ReplicationUpdate,
};

/// The most daemons that do without hubs: each tells so many others at a time.
pub const MAX_DAEMONS_WITHOUT_HUBS: u32 = crate::peers::MAX_TOLD as u32;
/// The hubs besides the holder of the lease: as many as make it unlikely that a store that turns
/// a third of the daemons away turns away all of them.
const TARGET_HUBS: usize = 4;
/// The hubs that everybody tells what it knows, besides the holder of the lease; the second one is
/// there when the first one is lost.
const PRIMARY_HUBS: usize = 2;
/// The part of the drain time for which a hub waits in one watch. An answer, also an empty one,
/// proves that it is in touch; the rest of the drain time is for others to step in.
const WATCH_DRAIN_SHARE: f64 = 0.4;
/// How much older than one watch a hub's last answer of the store may be.
const STORE_CONTACT_MARGIN: Duration = Duration::from_millis(500);
/// How long a hub that is silent may still be there; each tells something a few times a second.
const HUB_TIMEOUT: Duration = Duration::from_millis(1200);
/// The longest that a daemon waits before it steps in, so that not all do at once.
const MAX_STAGGER: Duration = Duration::from_millis(500);
/// How much longer one with a narrower link waits.
const NARROW_LINK_STAGGER: Duration = Duration::from_millis(600);
/// The link, in megabits a second, from which on a daemon steps in without that delay; a hub of a
/// hundred daemons takes about ten.
const WIDE_LINK_MBPS: f64 = 50.0;
/// The shortest time between two messages of a hub, and of a daemon to a hub.
pub const MIN_MESSAGE_INTERVAL: Duration = Duration::from_millis(250);
/// How late a hub's total is as a rule: what it adds up and what it tells have each waited.
pub const LAG: Duration = Duration::from_millis(500);
/// The longest time between two messages of a daemon to a hub.
const MAX_MESSAGE_INTERVAL: Duration = Duration::from_secs(5);
/// What stands for the age of an answer that there never was, in milliseconds.
const NO_CONTACT_AGE_MS: u64 = 1_000_000_000;
/// The part of a hub's link that messages may take in each direction.
const MESSAGE_LINK_SHARE: f64 = 0.2;
/// The length of a message for that reckoning, in bits.
const MESSAGE_BITS: f64 = 4000.0 * 8.0;

/// What a hub tells all other daemons.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HubMessage {
    /// The hub.
    pub daemon: DaemonId,
    /// Its run.
    pub incarnation: Incarnation,
    /// Rises with each message of a run.
    pub number: u64,
    /// Its link in megabits a second.
    pub link: f64,
    /// Whether it holds the lease, for which it has to hear everybody.
    #[serde(rename = "acts")]
    pub is_leader: bool,
    /// How many daemons it hears.
    #[serde(rename = "hears")]
    pub live_peers: u32,
    /// How long ago the store last answered its watch, in milliseconds.
    pub proof_ms: u64,
    /// How often it can take messages of each daemon, in milliseconds.
    pub listens_every_ms: u64,
    /// How long ago the store came back, in milliseconds, if it was away.
    pub store_back_ms: Option<u64>,
    /// What changed in the store lately.
    #[serde(rename = "excerpts")]
    pub updates: Vec<ReplicationUpdate>,
    /// What all daemons together did of each customer's quota.
    pub totals: Vec<Total>,
}

/// What all daemons together did of one customer's quota.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Total {
    /// The customer.
    pub customer: CustomerName,
    /// Units admitted lately, by interval.
    pub admitted: History,
    /// Units a second that were asked for lately.
    #[serde(rename = "asked")]
    pub requested: f64,
}

#[derive(Clone, Debug)]
struct Hub {
    address: SocketAddr,
    received_at: Time,
    message: HubMessage,
}

/// The hubs as one daemon knows them.
#[derive(Clone, Debug)]
pub struct Hubs {
    own_id: DaemonId,
    link: f64,
    drain: Duration,
    others: IndexMap<DaemonId, Hub>,
    is_hub: bool,
    /// Since when too few hubs are heard.
    too_few_since: Option<Time>,
    /// When the store last answered this daemon's watch.
    last_store_contact: Option<Time>,
    /// The number of this daemon's last message as a hub.
    number: u64,
}

impl Hubs {
    /// Makes the view of a daemon that hears nobody yet.
    pub fn new(own_id: DaemonId, link: f64, drain: Duration) -> Self {
        Self {
            own_id,
            link,
            drain,
            others: IndexMap::new(),
            is_hub: false,
            too_few_since: None,
            last_store_contact: None,
            number: 0,
        }
    }

    /// Changes how long upstreams serve after their leaving was told.
    pub fn set_drain(&mut self, drain: Duration) {
        self.drain = drain;
    }

    /// Returns how long a hub waits in one watch.
    pub fn watch_timeout(&self) -> Duration {
        self.drain.mul_f64(WATCH_DRAIN_SHARE)
    }

    /// Says whether an answer of the store this long ago shows that a hub is in touch with it.
    fn is_recent_contact(&self, age: Duration) -> bool {
        age < self.watch_timeout() + STORE_CONTACT_MARGIN
    }

    /// Takes that the store answered this daemon's watch.
    pub fn record_store_contact(&mut self, now: Time) {
        self.last_store_contact = Some(now);
    }

    /// Says whether the store answered this daemon lately.
    pub fn has_store_contact(&self, now: Time) -> bool {
        self.last_store_contact.is_some_and(|contact| self.is_recent_contact(now.since(contact)))
    }

    /// Takes a hub's message; false if it is older than one that was heard.
    pub fn receive(&mut self, now: Time, address: SocketAddr, message: HubMessage) -> bool {
        let order = |message: &HubMessage| (message.incarnation, message.number);
        let known = self.others.get(&message.daemon);
        if message.daemon == self.own_id
            || known.is_some_and(|known| order(&known.message) >= order(&message))
        {
            return false;
        }
        self.others.insert(message.daemon.clone(), Hub { address, received_at: now, message });
        true
    }

    fn hub_has_store_contact(&self, now: Time, hub: &Hub) -> bool {
        let silence = now.since(hub.received_at);
        silence < HUB_TIMEOUT
            && self.is_recent_contact(Duration::from_millis(hub.message.proof_ms) + silence)
    }

    fn live_hubs(&self, now: Time) -> impl Iterator<Item = &Hub> {
        self.others.values().filter(move |hub| now.since(hub.received_at) < HUB_TIMEOUT)
    }

    fn connected_hubs(&self, now: Time) -> impl Iterator<Item = &Hub> {
        self.others.values().filter(move |hub| self.hub_has_store_contact(now, hub))
    }

    /// Decides whether this daemon is a hub, and says so. `is_leader` says that it holds the lease: it
    /// must hear everybody, and the store answers it all the time.
    pub fn update_role(&mut self, now: Time, daemons: u32, is_leader: bool) -> bool {
        self.others.retain(|_, hub| now.since(hub.received_at) < HUB_TIMEOUT * 2);
        if daemons <= MAX_DAEMONS_WITHOUT_HUBS || is_leader {
            self.is_hub = true;
            return true;
        }
        // Narrow links make do with any hubs, wide ones take over from narrow ones.
        let has_narrow_link = !is_wide(self.link);
        let is_sufficient = |hub: &Hub| has_narrow_link || is_wide(hub.message.link);
        if self.is_hub {
            self.is_hub = self.count_outranking(self.connected_hubs(now)) < TARGET_HUBS;
            self.too_few_since = None;
        } else if self.connected_hubs(now).filter(|hub| is_sufficient(hub)).count() < TARGET_HUBS {
            let too_few_since = *self.too_few_since.get_or_insert(now);
            self.is_hub = now.since(too_few_since) >= self.stagger(now);
        } else {
            self.too_few_since = None;
        }
        self.is_hub
    }

    /// Returns how long this daemon waits before it steps in.
    fn stagger(&self, now: Time) -> Duration {
        let hash = xxh3_64(self.own_id.as_str().as_bytes()) % 1000;
        let spread = MAX_STAGGER.mul_f64(hash as f64 / 1000.0);
        let has_others = self.connected_hubs(now).next().is_some();
        if is_wide(self.link) || !has_others { spread } else { spread + NARROW_LINK_STAGGER }
    }

    /// Says whether this daemon is a hub.
    pub fn is_hub(&self) -> bool {
        self.is_hub
    }

    /// Says whether this daemon is one of the first hubs, which tell what has changed; the others
    /// only tell that they are there.
    pub fn broadcasts_objects(&self, now: Time) -> bool {
        self.count_outranking(self.connected_hubs(now)) < PRIMARY_HUBS
    }

    /// Counts the hubs that go before this daemon.
    fn count_outranking<'a>(&self, hubs: impl Iterator<Item = &'a Hub>) -> usize {
        let own = rank(self.link, &self.own_id);
        hubs.filter(|hub| rank(hub.message.link, &hub.message.daemon) < own).count()
    }

    /// Says whether another daemon knows what the store holds.
    pub fn has_others(&self, now: Time) -> bool {
        self.connected_hubs(now).next().is_some()
    }

    /// Returns a hub from which all objects can be fetched.
    pub fn sync_source(&self, now: Time) -> Option<SocketAddr> {
        let newest = self.connected_hubs(now).max_by_key(|hub| hub.received_at);
        newest.map(|hub| hub.address)
    }

    /// Returns the hubs that everybody tells what it knows: the first ones, and the holder of the
    /// lease.
    fn primary_hubs(&self, now: Time) -> Vec<&Hub> {
        let mut received_at: Vec<_> = self.live_hubs(now).collect();
        received_at.sort_by_key(|hub| rank(hub.message.link, &hub.message.daemon));
        let mut position = 0..;
        received_at.retain(|hub| {
            position.next().is_some_and(|position| position < PRIMARY_HUBS) || hub.message.is_leader
        });
        received_at
    }

    /// Returns where those hubs listen, with how often each can take a message.
    pub fn listeners(&self, now: Time) -> Vec<(SocketAddr, Duration)> {
        let interval = |hub: &Hub| Duration::from_millis(hub.message.listens_every_ms);
        let received_at = self.primary_hubs(now).into_iter();
        received_at.map(|hub| (hub.address, interval(hub).max(MIN_MESSAGE_INTERVAL))).collect()
    }

    /// Returns how long ago the store came back, as a hub says.
    pub fn store_back(&self, now: Time) -> Option<Duration> {
        let since_return = |hub: &Hub| {
            let reported = Duration::from_millis(hub.message.store_back_ms?);
            Some(reported + now.since(hub.received_at))
        };
        self.connected_hubs(now).filter_map(since_return).min()
    }

    /// Returns what all daemons did of a customer's quota, by the hub that hears the most of them;
    /// `None` if no hub is heard.
    pub fn total(&self, now: Time, customer: &CustomerName) -> Option<quota::AdmissionTotal<'_>> {
        let best = self.primary_hubs(now).into_iter().max_by_key(|hub| hub.message.live_peers)?;
        let reported = best.message.totals.iter().find(|total| total.customer == *customer);
        Some(quota::AdmissionTotal {
            admitted: reported.map_or(&[], |total| &total.admitted),
            requested: reported.map_or(0.0, |total| total.requested),
            live_peers: best.message.live_peers,
            age: now.since(best.received_at),
        })
    }

    /// Says whether fewer hubs go before this one than everybody tells what it knows.
    fn is_primary(&self, now: Time) -> bool {
        self.count_outranking(self.live_hubs(now)) < PRIMARY_HUBS
    }

    /// Returns how often a hub of this many daemons can hear each of them.
    fn receive_interval(&self, daemons: u32) -> Duration {
        let bits = f64::from(daemons) * MESSAGE_BITS;
        let seconds = bits / (self.link * 1e6 * MESSAGE_LINK_SHARE).max(1.0);
        Duration::from_secs_f64(seconds.min(MAX_MESSAGE_INTERVAL.as_secs_f64()))
            .max(MIN_MESSAGE_INTERVAL)
    }

    /// Returns how often a hub of this many daemons tells them something.
    pub fn broadcast_interval(&self, daemons: u32) -> Duration {
        self.receive_interval(daemons).min(HUB_TIMEOUT / 3)
    }

    /// Returns the message of this daemon as a hub. While the store does not answer it, the first
    /// hubs go on, since what they add up is needed all the same; others, which may be everybody
    /// when the store is away, keep silent.
    pub fn message(
        &mut self,
        now: Time,
        incarnation: Incarnation,
        status: HubStatus,
    ) -> Option<HubMessage> {
        if !self.has_store_contact(now) && !self.is_primary(now) {
            return None;
        }
        let proof_ms = self
            .last_store_contact
            .map_or(NO_CONTACT_AGE_MS, |contact| now.since(contact).as_millis() as u64);
        self.number += 1;
        let HubStatus { daemons, is_leader, live_peers, store_back, updates, totals } = status;
        Some(HubMessage {
            daemon: self.own_id.clone(),
            incarnation,
            number: self.number,
            link: self.link,
            is_leader,
            live_peers,
            proof_ms,
            listens_every_ms: self.receive_interval(daemons).as_millis() as u64,
            store_back_ms: store_back.map(|since| since.as_millis() as u64),
            updates,
            totals,
        })
    }
}

/// What a hub knows that others do not.
#[derive(Clone, Debug, Default)]
pub struct HubStatus {
    /// How many daemons there are.
    pub daemons: u32,
    /// Whether it holds the lease.
    pub is_leader: bool,
    /// How many of them it hears.
    pub live_peers: u32,
    /// How long ago the store came back, if it was away.
    pub store_back: Option<Duration>,
    /// What changed in the store lately.
    pub updates: Vec<ReplicationUpdate>,
    /// What all daemons together did of each customer's quota.
    pub totals: Vec<Total>,
}

/// Orders the hubs: those with wide links go first.
fn rank(link: f64, name: &DaemonId) -> (Reverse<bool>, DaemonId) {
    (Reverse(is_wide(link)), name.clone())
}

fn is_wide(link: f64) -> bool {
    link >= WIDE_LINK_MBPS
}
