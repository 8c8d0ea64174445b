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
const HUBS: usize = 4;
/// The hubs that everybody tells what it knows, besides the holder of the lease; the second one is
/// there when the first one is lost.
const LISTENING: usize = 2;
/// The part of the drain time for which a hub waits in one watch. An answer, also an empty one,
/// proves that it is in touch; the rest of the drain time is for others to step in.
const WATCH_SHARE: f64 = 0.4;
/// How much older than one watch a hub's last answer of the store may be.
const PROOF_MARGIN: Duration = Duration::from_millis(500);
/// How long a hub that is silent may still be there; each tells something a few times a second.
const SILENCE: Duration = Duration::from_millis(1200);
/// The longest that a daemon waits before it steps in, so that not all do at once.
const LONGEST_STAGGER: Duration = Duration::from_millis(500);
/// How much longer one with a narrower link waits.
const NARROW_STAGGER: Duration = Duration::from_millis(600);
/// The link, in megabits a second, from which on a daemon steps in without that delay; a hub of a
/// hundred daemons takes about ten.
const WIDE_LINK: f64 = 50.0;
/// The shortest time between two messages of a hub, and of a daemon to a hub.
pub const TELL_EVERY: Duration = Duration::from_millis(250);
/// How late a hub's total is as a rule: what it adds up and what it tells have each waited.
pub const LAG: Duration = Duration::from_millis(500);
/// The longest time between two messages of a daemon to a hub.
const LONGEST_INTERVAL: Duration = Duration::from_secs(5);
/// What stands for the age of an answer that there never was, in milliseconds.
const NO_PROOF_MS: u64 = 1_000_000_000;
/// The part of a hub's link that messages may take in each direction.
const LINK_SHARE: f64 = 0.2;
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
    heard: Time,
    message: HubMessage,
}

/// The hubs as one daemon knows them.
#[derive(Clone, Debug)]
pub struct Hubs {
    me: DaemonId,
    link: f64,
    drain: Duration,
    others: IndexMap<DaemonId, Hub>,
    is_hub: bool,
    /// Since when too few hubs are heard.
    short_since: Option<Time>,
    /// When the store last answered this daemon's watch.
    proof: Option<Time>,
    /// The number of this daemon's last message as a hub.
    number: u64,
}

impl Hubs {
    /// Makes the view of a daemon that hears nobody yet.
    pub fn new(me: DaemonId, link: f64, drain: Duration) -> Self {
        Self {
            me,
            link,
            drain,
            others: IndexMap::new(),
            is_hub: false,
            short_since: None,
            proof: None,
            number: 0,
        }
    }

    /// Changes how long upstreams serve after their leaving was told.
    pub fn set_drain(&mut self, drain: Duration) {
        self.drain = drain;
    }

    /// Returns how long a hub waits in one watch.
    pub fn watch_timeout(&self) -> Duration {
        self.drain.mul_f64(WATCH_SHARE)
    }

    /// Says whether an answer of the store this long ago shows that a hub is in touch with it.
    fn proves(&self, age: Duration) -> bool {
        age < self.watch_timeout() + PROOF_MARGIN
    }

    /// Takes that the store answered this daemon's watch.
    pub fn record_store_contact(&mut self, now: Time) {
        self.proof = Some(now);
    }

    /// Says whether the store answered this daemon lately.
    pub fn has_store_contact(&self, now: Time) -> bool {
        self.proof.is_some_and(|proof| self.proves(now.since(proof)))
    }

    /// Takes a hub's message; false if it is older than one that was heard.
    pub fn receive(&mut self, now: Time, address: SocketAddr, message: HubMessage) -> bool {
        let order = |message: &HubMessage| (message.incarnation, message.number);
        let known = self.others.get(&message.daemon);
        if message.daemon == self.me
            || known.is_some_and(|known| order(&known.message) >= order(&message))
        {
            return false;
        }
        self.others.insert(message.daemon.clone(), Hub { address, heard: now, message });
        true
    }

    fn is_in_touch(&self, now: Time, hub: &Hub) -> bool {
        let silent = now.since(hub.heard);
        silent < SILENCE && self.proves(Duration::from_millis(hub.message.proof_ms) + silent)
    }

    fn heard_lately(&self, now: Time) -> impl Iterator<Item = &Hub> {
        self.others.values().filter(move |hub| now.since(hub.heard) < SILENCE)
    }

    fn in_touch(&self, now: Time) -> impl Iterator<Item = &Hub> {
        self.others.values().filter(move |hub| self.is_in_touch(now, hub))
    }

    /// Decides whether this daemon is a hub, and says so. `is_leader` says that it holds the lease: it
    /// must hear everybody, and the store answers it all the time.
    pub fn update_role(&mut self, now: Time, daemons: u32, is_leader: bool) -> bool {
        self.others.retain(|_, hub| now.since(hub.heard) < SILENCE * 2);
        if daemons <= MAX_DAEMONS_WITHOUT_HUBS || is_leader {
            self.is_hub = true;
            return true;
        }
        // Narrow links make do with any hubs, wide ones take over from narrow ones.
        let is_narrow = !is_wide(self.link);
        let suffices = |hub: &Hub| is_narrow || is_wide(hub.message.link);
        if self.is_hub {
            self.is_hub = self.before(self.in_touch(now)) < HUBS;
            self.short_since = None;
        } else if self.in_touch(now).filter(|hub| suffices(hub)).count() < HUBS {
            let short_since = *self.short_since.get_or_insert(now);
            self.is_hub = now.since(short_since) >= self.stagger(now);
        } else {
            self.short_since = None;
        }
        self.is_hub
    }

    /// Returns how long this daemon waits before it steps in.
    fn stagger(&self, now: Time) -> Duration {
        let hash = xxh3_64(self.me.as_str().as_bytes()) % 1000;
        let spread = LONGEST_STAGGER.mul_f64(hash as f64 / 1000.0);
        let has_others = self.in_touch(now).next().is_some();
        if is_wide(self.link) || !has_others { spread } else { spread + NARROW_STAGGER }
    }

    /// Says whether this daemon is a hub.
    pub fn is_hub(&self) -> bool {
        self.is_hub
    }

    /// Says whether this daemon is one of the first hubs, which tell what has changed; the others
    /// only tell that they are there.
    pub fn broadcasts_objects(&self, now: Time) -> bool {
        self.before(self.in_touch(now)) < LISTENING
    }

    /// Counts the hubs that go before this daemon.
    fn before<'a>(&self, hubs: impl Iterator<Item = &'a Hub>) -> usize {
        let own = rank(self.link, &self.me);
        hubs.filter(|hub| rank(hub.message.link, &hub.message.daemon) < own).count()
    }

    /// Says whether another daemon knows what the store holds.
    pub fn has_others(&self, now: Time) -> bool {
        self.in_touch(now).next().is_some()
    }

    /// Returns a hub from which all objects can be fetched.
    pub fn sync_source(&self, now: Time) -> Option<SocketAddr> {
        let newest = self.in_touch(now).max_by_key(|hub| hub.heard);
        newest.map(|hub| hub.address)
    }

    /// Returns the hubs that everybody tells what it knows: the first ones, and the holder of the
    /// lease.
    fn listening(&self, now: Time) -> Vec<&Hub> {
        let mut heard: Vec<_> = self.heard_lately(now).collect();
        heard.sort_by_key(|hub| rank(hub.message.link, &hub.message.daemon));
        let mut place = 0..;
        heard.retain(|hub| {
            place.next().is_some_and(|place| place < LISTENING) || hub.message.is_leader
        });
        heard
    }

    /// Returns where those hubs listen, with how often each can take a message.
    pub fn listeners(&self, now: Time) -> Vec<(SocketAddr, Duration)> {
        let every = |hub: &Hub| Duration::from_millis(hub.message.listens_every_ms);
        let heard = self.listening(now).into_iter();
        heard.map(|hub| (hub.address, every(hub).max(TELL_EVERY))).collect()
    }

    /// Returns how long ago the store came back, as a hub says.
    pub fn store_back(&self, now: Time) -> Option<Duration> {
        let back = |hub: &Hub| {
            let told = Duration::from_millis(hub.message.store_back_ms?);
            Some(told + now.since(hub.heard))
        };
        self.in_touch(now).filter_map(back).min()
    }

    /// Returns what all daemons did of a customer's quota, by the hub that hears the most of them;
    /// `None` if no hub is heard.
    pub fn total(&self, now: Time, customer: &CustomerName) -> Option<quota::AdmissionTotal<'_>> {
        let best = self.listening(now).into_iter().max_by_key(|hub| hub.message.live_peers)?;
        let told = best.message.totals.iter().find(|total| total.customer == *customer);
        Some(quota::AdmissionTotal {
            admitted: told.map_or(&[], |told| &told.admitted),
            requested: told.map_or(0.0, |told| told.requested),
            live_peers: best.message.live_peers,
            age: now.since(best.heard),
        })
    }

    /// Says whether fewer hubs go before this one than everybody tells what it knows.
    fn is_first_heard(&self, now: Time) -> bool {
        self.before(self.heard_lately(now)) < LISTENING
    }

    /// Returns how often a hub of this many daemons can hear each of them.
    fn listens_every(&self, daemons: u32) -> Duration {
        let bits = f64::from(daemons) * MESSAGE_BITS;
        let seconds = bits / (self.link * 1e6 * LINK_SHARE).max(1.0);
        Duration::from_secs_f64(seconds.min(LONGEST_INTERVAL.as_secs_f64())).max(TELL_EVERY)
    }

    /// Returns how often a hub of this many daemons tells them something.
    pub fn broadcast_interval(&self, daemons: u32) -> Duration {
        self.listens_every(daemons).min(SILENCE / 3)
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
        if !self.has_store_contact(now) && !self.is_first_heard(now) {
            return None;
        }
        let proof_ms = self.proof.map_or(NO_PROOF_MS, |proof| now.since(proof).as_millis() as u64);
        self.number += 1;
        let HubStatus { daemons, is_leader, live_peers, store_back, updates, totals } = status;
        Some(HubMessage {
            daemon: self.me.clone(),
            incarnation,
            number: self.number,
            link: self.link,
            is_leader,
            live_peers,
            proof_ms,
            listens_every_ms: self.listens_every(daemons).as_millis() as u64,
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
    link >= WIDE_LINK
}
