//! Hubs: the few daemons that watch the store and sum the reports of all daemons, for the others.
//!
//! Load pattern: many small hosts on narrow links. If each daemon watched the store, every change
//! would cost a call per host. If each daemon had to receive messages from every other, a
//! customer's burst would be over before they all knew of it. So a few daemons, called hubs, watch
//! the store, receive the state of all daemons at short intervals and broadcast what they have
//! learnt. A table is too long for a broadcast, so hubs announce its version, and the others fetch it
//! from them. No daemon is appointed: a daemon becomes a hub when it receives messages from too few
//! hubs with store contact, sooner if its link is wide, and resigns when enough such hubs outrank
//! it. A daemon that receives none works without hubs. Systems of a few hosts have no hubs, since
//! there all daemons exchange messages in time.

use std::{cmp::Reverse, net::SocketAddr, time::Duration};

use dogwoodturn::{
    ids::{CustomerName, DaemonId, Era, Incarnation, Revision},
    units::Time,
};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{
    contention::LevelWire,
    link_budget::MESSAGE_LINK_SHARE,
    quota::{self, History},
    replication::{ReplicationUpdate, is_unnamed},
    store::Kind,
};

/// The largest system without hubs, in which each daemon sends every message to all others.
pub const MAX_DAEMONS_WITHOUT_HUBS: u32 = crate::peers::MAX_RECIPIENTS as u32;
/// Hubs besides the leader: enough that a store that refuses a third of the daemons is unlikely to
/// refuse all hubs.
const TARGET_HUBS: usize = 4;
/// Hubs besides the leader to which every daemon reports its state; the second takes over if the
/// first is lost.
const PRIMARY_HUBS: usize = 2;
/// The longest table that is fetched from hubs, whose links hundreds of fetches of a longer one would fill
/// for seconds. The store has a wider link.
const MAX_TABLE_BYTES: u64 = 64 * 1024;
/// Hubs that must announce their tables for a daemon to leave the declarations to them.
const TABLE_HUBS: usize = 2;
/// Share of the drain time for which a hub waits in one watch. A response, even an empty one,
/// proves store contact; the rest of the drain time is for other daemons to take over.
const WATCH_DRAIN_SHARE: f64 = 0.4;
/// How long a hub without store contact waits in a watch.
const FIRST_WATCH_TIMEOUT: Duration = Duration::from_millis(100);
/// A hub counts as having store contact until its last store response is older than the watch
/// time-out plus this margin.
const STORE_CONTACT_MARGIN: Duration = Duration::from_millis(500);
/// Interval of the short messages that show that a hub is alive while its link does not bear a long one.
pub const ALIVE_INTERVAL: Duration = Duration::from_millis(400);
/// Time after its last message for which a hub counts as live; each sends several messages a
/// second.
const HUB_TIMEOUT: Duration = Duration::from_millis(1200);
/// The longest delay before a daemon becomes a hub, so that not all do so at the same time.
const MAX_STAGGER: Duration = Duration::from_millis(500);
/// Additional delay of a daemon with a narrow link: daemons with wide links have broadcast by then.
const NARROW_LINK_STAGGER: Duration = Duration::from_millis(600);
/// Additional delay before a new hub with a narrow link broadcasts for the first time.
const NARROW_LINK_ANNOUNCEMENT_DELAY: Duration = Duration::from_millis(200);
/// Bandwidth in Mbit/s from which a link is wide, so that its daemon has no such delay; a hub of a
/// hundred daemons uses about 10 Mbit/s.
const WIDE_LINK_MBPS: f64 = 50.0;
/// The shortest interval between two messages of a hub, and of a daemon to a hub.
pub const MIN_MESSAGE_INTERVAL: Duration = Duration::from_millis(250);
/// Usual age of a hub's total: both the reports that it sums and its own message wait for up to
/// [`MIN_MESSAGE_INTERVAL`].
pub const TOTAL_LAG: Duration = Duration::from_millis(500);
/// Time after its last report for which a peer's admissions count as known to a hub; the hub's own messages are
/// missed about as soon.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1500);
/// Intervals without a report after which a peer counts as silent: one report may be lost and one late.
const REPORTS_UNTIL_SILENT: u32 = 3;
/// The least length of changes that a message may have, for a few upstreams.
const MIN_UPDATE_BYTES: usize = 1000;
/// The greatest length, so that the message fits a datagram with the totals of all customers.
const MAX_UPDATE_BYTES: usize = 24 * 1024;
/// The longest interval between two messages of a daemon to a hub.
const MAX_MESSAGE_INTERVAL: Duration = Duration::from_secs(5);
/// The age in milliseconds that is reported if no store response has arrived yet.
const NO_CONTACT_AGE_MS: u64 = 1_000_000_000;
/// Length in bits that this calculation assumes for a message.
const MESSAGE_BITS: f64 = 4000.0 * 8.0;

/// A hub's message to all other daemons.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HubMessage {
    pub daemon: DaemonId,
    pub incarnation: Incarnation,
    /// Rises with each message of a run.
    pub number: u64,
    /// The bandwidth of the hub's link in Mbit/s.
    #[serde(rename = "link")]
    pub link_mbps: f64,
    /// Whether the hub holds the lease, for which it needs the reports of all daemons.
    #[serde(rename = "acts")]
    pub is_leader: bool,
    /// The number of other daemons whose reports the hub receives.
    #[serde(rename = "hears")]
    pub live_peers: u32,
    /// Time since the store last responded to the hub's watch, in milliseconds.
    #[serde(rename = "proof_ms")]
    pub store_contact_age_ms: u64,
    /// The interval at which the hub can receive messages from each daemon, in milliseconds.
    #[serde(rename = "listens_every_ms")]
    pub receive_interval_ms: u64,
    /// Time since the store became reachable again, in milliseconds, if it was unavailable.
    #[serde(rename = "store_back_ms")]
    pub since_store_recovery_ms: Option<u64>,
    /// The version of the hub's table; zero if it has none, or is of a release without this field.
    #[serde(default)]
    pub table: u64,
    /// The length of its document.
    #[serde(default)]
    pub table_bytes: u64,
    /// Recent changes of the store.
    #[serde(rename = "excerpts")]
    pub updates: Vec<ReplicationUpdate>,
    /// All evacuations. They are not among `updates`, which releases without this field read.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub evacuations: Option<ReplicationUpdate>,
    /// The admissions of all daemons, by customer.
    pub totals: Vec<Total>,
    /// The age of `totals` when the message was sent, in milliseconds, since a broadcast may take a while.
    #[serde(default)]
    pub totals_age_ms: u64,
    /// What is admitted of ranks and customers that give way; `None` where none may, or if the hub is of a
    /// release without this field.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub levels: Option<Vec<LevelWire>>,
    /// The revisions of the last changes of the kinds that the hub watches, if `updates` is empty. Hubs of earlier
    /// releases name those up to which they know the kinds.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub revisions: Vec<(Kind, Revision)>,
    /// The era of the store, also of `revisions`; zero if it names none, or if the hub is of a release without
    /// this field.
    #[serde(default, skip_serializing_if = "is_unnamed")]
    pub store_era: Era,
}

impl HubMessage {
    /// Returns the message without anything that is long: that the hub is alive, and what it knows.
    ///
    /// It states that it receives no reports, so that no daemon takes missing totals for totals of zero.
    #[must_use]
    pub fn brief(self, revisions: Vec<(Kind, Revision)>) -> Self {
        Self {
            live_peers: 0,
            updates: Vec::new(),
            evacuations: None,
            totals: Vec::new(),
            levels: None,
            revisions,
            ..self
        }
    }
}

/// The admissions of all daemons for one customer's quota.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Total {
    pub customer: CustomerName,
    /// Units admitted recently, by interval.
    pub admitted: History,
    /// Units per second requested recently.
    #[serde(rename = "asked")]
    pub requested: f64,
}

/// Whose level of contention counts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LevelSource<'a> {
    /// That of this daemon.
    Own,
    /// That of a hub, with the time at which its message was received.
    Hub(&'a [LevelWire], Time),
    /// No hub is live.
    Unknown,
}

#[derive(Clone, Debug)]
struct Hub {
    address: SocketAddr,
    received_at: Time,
    message: HubMessage,
    /// The time between its last two messages with totals, and when the last one arrived.
    total_interval: Duration,
    totals_received_at: Option<Time>,
}

/// One daemon's view of the hubs.
#[derive(Clone, Debug)]
pub struct Hubs {
    own_id: DaemonId,
    /// The bandwidth of this daemon's link in Mbit/s.
    link_mbps: f64,
    drain: Duration,
    others: IndexMap<DaemonId, Hub>,
    /// When a message of another hub was last received.
    last_received: Option<Time>,
    is_hub: bool,
    /// Since when too few hubs have had store contact.
    too_few_since: Option<Time>,
    /// When the store last responded to this daemon's watch.
    last_store_contact: Option<Time>,
    /// Since when this daemon could broadcast as a hub.
    may_broadcast_since: Option<Time>,
    /// Whether it has broadcast since then.
    has_announced: bool,
    /// The number of this daemon's last message as a hub.
    number: u64,
    /// The era of the store, and whether it has been restored from a backup since this daemon's start.
    store_era: Era,
    has_changed_era: bool,
}

impl Hubs {
    pub fn new(own_id: DaemonId, link_mbps: f64, drain: Duration) -> Self {
        Self {
            own_id,
            link_mbps,
            drain,
            others: IndexMap::new(),
            last_received: None,
            is_hub: false,
            too_few_since: None,
            last_store_contact: None,
            may_broadcast_since: None,
            has_announced: false,
            number: 0,
            store_era: Era::default(),
            has_changed_era: false,
        }
    }

    /// Changes the time for which upstreams serve after they announced that they are leaving.
    pub fn set_drain(&mut self, drain: Duration) {
        self.drain = drain;
    }

    /// Returns the time for which the response to a watch proves store contact.
    pub fn watch_timeout(&self) -> Duration {
        self.drain.mul_f64(WATCH_DRAIN_SHARE)
    }

    /// Returns how long a hub waits in its next watch. A new hub needs a response at once, as it broadcasts
    /// only with store contact and others step in until it does.
    pub fn next_watch_timeout(&self, now: Time) -> Duration {
        if self.has_store_contact(now) { self.watch_timeout() } else { FIRST_WATCH_TIMEOUT }
    }

    /// Reports whether a store response of this age proves that a hub has store contact.
    fn is_recent_contact(&self, age: Duration) -> bool {
        age < self.watch_timeout() + STORE_CONTACT_MARGIN
    }

    /// Records that the store responded to this daemon's watch.
    pub fn record_store_contact(&mut self, now: Time) {
        self.last_store_contact = Some(now);
    }

    /// Reports whether the store responded to this daemon recently.
    pub fn has_store_contact(&self, now: Time) -> bool {
        self.last_store_contact.is_some_and(|contact| self.is_recent_contact(now.since(contact)))
    }

    /// Applies a hub's message and returns whether it is newer than the last one.
    pub fn receive(&mut self, now: Time, address: SocketAddr, message: HubMessage) -> bool {
        let order = |message: &HubMessage| (message.incarnation, message.number);
        let previous = self.others.get(&message.daemon);
        if message.daemon == self.own_id
            || previous.is_some_and(|previous| order(&previous.message) >= order(&message))
        {
            return false;
        }
        self.last_received = Some(now);
        let (mut total_interval, mut totals_received_at) = previous
            .map_or((Duration::ZERO, None), |hub| (hub.total_interval, hub.totals_received_at));
        if message.live_peers > 0 {
            let interval = totals_received_at.map_or(Duration::ZERO, |at| now.since(at));
            total_interval = interval.min(MAX_MESSAGE_INTERVAL);
            totals_received_at = Some(now);
        }
        let hub = Hub { address, received_at: now, message, total_interval, totals_received_at };
        self.others.insert(hub.message.daemon.clone(), hub);
        true
    }

    /// Records the era of the store, and whether it has been restored from a backup. Hubs of an earlier
    /// era, or of a release without eras, then count as having no store contact.
    pub fn observe_era(&mut self, era: Era, is_return: bool) {
        self.store_era = era;
        self.has_changed_era = is_return;
    }

    fn is_of_era(&self, hub: &Hub) -> bool {
        hub.message.store_era >= self.store_era
            || (is_unnamed(&hub.message.store_era) && !self.has_changed_era)
    }

    fn hub_has_store_contact(&self, now: Time, hub: &Hub) -> bool {
        let silence = now.since(hub.received_at);
        silence < HUB_TIMEOUT
            && self.is_of_era(hub)
            && self.is_recent_contact(
                Duration::from_millis(hub.message.store_contact_age_ms) + silence,
            )
    }

    fn live_hubs(&self, now: Time) -> impl Iterator<Item = &Hub> {
        self.others.values().filter(move |hub| now.since(hub.received_at) < HUB_TIMEOUT)
    }

    fn connected_hubs(&self, now: Time) -> impl Iterator<Item = &Hub> {
        self.others.values().filter(move |hub| self.hub_has_store_contact(now, hub))
    }

    /// Decides whether this daemon is a hub, and returns the decision. `is_leader` states that it
    /// holds the lease: the leader needs all reports, and the store responds to it continually.
    pub fn update_role(&mut self, now: Time, daemons: u32, is_leader: bool) -> bool {
        self.others.retain(|_, hub| now.since(hub.received_at) < HUB_TIMEOUT * 2);
        let was_hub = self.is_hub;
        self.is_hub = self.decide_role(now, daemons, is_leader);
        if !(was_hub && self.is_hub) {
            self.may_broadcast_since = None;
            self.has_announced = false;
        }
        self.is_hub
    }

    fn decide_role(&mut self, now: Time, daemons: u32, is_leader: bool) -> bool {
        if daemons <= MAX_DAEMONS_WITHOUT_HUBS || is_leader {
            return true;
        }
        // For daemons with narrow links any hub counts; daemons with wide links replace narrow
        // hubs.
        let has_narrow_link = !is_wide(self.link_mbps);
        let is_sufficient = |hub: &Hub| has_narrow_link || is_wide(hub.message.link_mbps);
        if self.is_hub {
            self.too_few_since = None;
            self.count_outranking(self.connected_hubs(now)) < TARGET_HUBS
        } else if self.connected_hubs(now).filter(|hub| is_sufficient(hub)).count() < TARGET_HUBS {
            let too_few_since = *self.too_few_since.get_or_insert(now);
            now.since(too_few_since) >= self.stagger()
        } else {
            self.too_few_since = None;
            false
        }
    }

    /// Returns the delay before this daemon becomes a hub.
    fn stagger(&self) -> Duration {
        let spread = self.spread();
        if is_wide(self.link_mbps) { spread } else { spread + NARROW_LINK_STAGGER }
    }

    /// Returns a delay of this daemon's own, up to [`MAX_STAGGER`].
    fn spread(&self) -> Duration {
        let hash = xxh3_64(self.own_id.as_str().as_bytes()) % 1000;
        MAX_STAGGER.mul_f64(hash as f64 / 1000.0)
    }

    /// Reports whether this hub may broadcast. While the store does not respond every daemon becomes a hub, and
    /// when it returns all of them are in contact at the same moment. So a new hub waits for those with
    /// wide links, and resigns if there are enough of them.
    fn may_broadcast(&mut self, now: Time) -> bool {
        if !self.has_store_contact(now) && !self.is_primary(now) {
            self.may_broadcast_since = None;
            return false;
        }
        let since = *self.may_broadcast_since.get_or_insert(now);
        let narrow_link_delay =
            if is_wide(self.link_mbps) { Duration::ZERO } else { NARROW_LINK_ANNOUNCEMENT_DELAY };
        self.has_announced |= now.since(since) >= self.spread() / 2 + narrow_link_delay;
        self.has_announced
    }

    pub fn is_hub(&self) -> bool {
        self.is_hub
    }

    /// Reports whether this daemon is one of the first hubs, which broadcast changes of the store;
    /// the others only broadcast that they are alive.
    pub fn broadcasts_objects(&self, now: Time) -> bool {
        self.count_outranking(self.connected_hubs(now)) < PRIMARY_HUBS
    }

    /// Counts the hubs that outrank this daemon.
    fn count_outranking<'a>(&self, hubs: impl Iterator<Item = &'a Hub>) -> usize {
        let own = rank(self.link_mbps, &self.own_id);
        hubs.filter(|hub| rank(hub.message.link_mbps, &hub.message.daemon) < own).count()
    }

    /// Reports whether another hub has store contact.
    pub fn has_others(&self, now: Time) -> bool {
        self.connected_hubs(now).next().is_some()
    }

    /// Reports whether this daemon may leave the declarations to the hubs.
    pub fn follows_tables(&self, now: Time) -> bool {
        let is_short = |hub: &Hub| hub.message.table_bytes <= MAX_TABLE_BYTES;
        let announcing = || self.connected_hubs(now).filter(|hub| hub.message.table > 0);
        !self.is_hub && announcing().count() >= TABLE_HUBS && announcing().all(is_short)
    }

    /// Returns a hub with a table above `version` that is short enough to be fetched. Each daemon chooses its own, so that they are spread
    /// over the hubs.
    pub fn newer_table(&self, now: Time, version: u64) -> Option<SocketAddr> {
        let is_newer =
            |hub: &&Hub| hub.message.table > version && hub.message.table_bytes <= MAX_TABLE_BYTES;
        let newer = self.live_hubs(now).filter(is_newer);
        let weight = |hub: &Hub| {
            let seed = xxh3_64(self.own_id.as_str().as_bytes());
            xxh3_64_with_seed(hub.message.daemon.as_str().as_bytes(), seed)
        };
        let key = |hub: &&Hub| (hub.message.table, is_wide(hub.message.link_mbps), weight(hub));
        newer.max_by_key(key).map(|hub| hub.address)
    }

    /// Returns a hub from which all objects can be fetched.
    pub fn sync_source(&self, now: Time) -> Option<SocketAddr> {
        let newest = self.connected_hubs(now).max_by_key(|hub| hub.received_at);
        newest.map(|hub| hub.address)
    }

    /// Returns the hubs to which every daemon reports its state: the first in rank and the leader.
    fn primary_hubs(&self, now: Time) -> Vec<&Hub> {
        let mut primary: Vec<_> = self.live_hubs(now).collect();
        primary.sort_by_key(|hub| rank(hub.message.link_mbps, &hub.message.daemon));
        let mut position = 0..;
        primary.retain(|hub| {
            position.next().is_some_and(|position| position < PRIMARY_HUBS) || hub.message.is_leader
        });
        primary
    }

    /// Returns the addresses of the primary hubs, with the interval at which each can receive
    /// messages.
    pub fn primary_addresses(&self, now: Time) -> Vec<(SocketAddr, Duration)> {
        let interval = |hub: &Hub| Duration::from_millis(hub.message.receive_interval_ms);
        let primary = self.primary_hubs(now).into_iter();
        primary.map(|hub| (hub.address, interval(hub).max(MIN_MESSAGE_INTERVAL))).collect()
    }

    /// Returns the time since the store became reachable again, as hubs report it.
    pub fn since_store_recovery(&self, now: Time) -> Option<Duration> {
        let since_return = |hub: &Hub| {
            let reported = Duration::from_millis(hub.message.since_store_recovery_ms?);
            Some(reported + now.since(hub.received_at))
        };
        self.connected_hubs(now).filter_map(since_return).min()
    }

    /// Returns the admissions of all daemons for a customer's quota, from the primary hub that
    /// receives the most reports; `None` if no hub is live.
    pub fn total(&self, now: Time, customer: &CustomerName) -> Option<quota::AdmissionTotal<'_>> {
        let best = self.primary_hubs(now).into_iter().max_by_key(|hub| hub.message.live_peers)?;
        let reported = best.message.totals.iter().find(|total| total.customer == *customer);
        Some(quota::AdmissionTotal {
            admitted: reported.map_or(&[], |found| &found.admitted),
            requested: reported.map_or(0.0, |found| found.requested),
            live_peers: best.message.live_peers,
            lag: Duration::from_millis(best.message.receive_interval_ms) + best.total_interval,
            age: now.since(best.received_at) + Duration::from_millis(best.message.totals_age_ms),
        })
    }

    /// Returns whose level of contention counts: that of the primary hub that receives the most reports, and of
    /// those with as many the first by name. `live_peers` is the number of daemons whose reports this one
    /// receives; without any it is cut off and its own level does not count.
    pub fn level_source(&self, now: Time, live_peers: u32, is_leader: bool) -> LevelSource<'_> {
        let with_levels = self
            .primary_hubs(now)
            .into_iter()
            .filter(|hub| hub.message.levels.is_some() && hub.message.live_peers > 0);
        let key = |live_peers: u32, daemon| (live_peers, Reverse(daemon));
        let best = with_levels.max_by_key(|hub| key(hub.message.live_peers, &hub.message.daemon));
        let counts = self.is_hub && live_peers > 0 && self.broadcasts_sums(now, is_leader);
        let own = counts.then(|| key(live_peers, &self.own_id));
        match best {
            Some(hub) if own <= Some(key(hub.message.live_peers, &hub.message.daemon)) => {
                LevelSource::Hub(hub.message.levels.as_deref().unwrap_or_default(), hub.received_at)
            }
            _ if own.is_some() => LevelSource::Own,
            _ => LevelSource::Unknown,
        }
    }

    /// Reports whether this hub broadcasts totals and levels: it is among the first in rank, or it is the
    /// leader and its link bears them.
    pub fn broadcasts_sums(&self, now: Time, is_leader: bool) -> bool {
        self.is_primary(now) || (is_leader && is_wide(self.link_mbps))
    }

    /// Returns a message of this daemon with the next number.
    pub fn number_next(&mut self, message: HubMessage) -> HubMessage {
        self.number += 1;
        HubMessage { number: self.number, ..message }
    }

    /// Returns a message of `began` with its present ages, or `None` if this daemon is a hub no longer.
    pub fn renew(&mut self, now: Time, began: Time, message: HubMessage) -> Option<HubMessage> {
        let store_contact_age_ms = self.store_contact_age_ms(now);
        let totals_age_ms = now.since(began).as_millis() as u64;
        let renewed = HubMessage { store_contact_age_ms, totals_age_ms, ..message };
        self.is_hub.then(|| self.number_next(renewed))
    }

    fn store_contact_age_ms(&self, now: Time) -> u64 {
        let contact = self.last_store_contact;
        contact.map_or(NO_CONTACT_AGE_MS, |contact| now.since(contact).as_millis() as u64)
    }

    /// Reports whether this hub is among the first in rank of the live hubs.
    fn is_primary(&self, now: Time) -> bool {
        self.count_outranking(self.live_hubs(now)) < PRIMARY_HUBS
    }

    /// Returns the time after its last report for which a peer's admissions count as known, or `None` if
    /// peers report to this daemon in turn only.
    ///
    /// Each side of a partition admits the whole quota until it knows that it is cut off. A hub knows when
    /// reports are missing, and the other daemons when no hub is live any more.
    pub fn report_timeout(&self, now: Time, daemons: u32) -> Option<Duration> {
        if daemons <= MAX_DAEMONS_WITHOUT_HUBS {
            return None;
        }
        if self.is_hub {
            let reports = self.receive_interval(daemons) * REPORTS_UNTIL_SILENT;
            return Some(reports.max(REPORT_TIMEOUT));
        }
        let has_lost_all = self.last_received.is_some() && self.live_hubs(now).next().is_none();
        has_lost_all.then_some(REPORT_TIMEOUT)
    }

    /// Returns the interval at which a hub of this many daemons can receive messages from each.
    fn receive_interval(&self, daemons: u32) -> Duration {
        let bits = f64::from(daemons) * MESSAGE_BITS;
        let seconds = bits / (self.link_mbps * 1e6 * MESSAGE_LINK_SHARE).max(1.0);
        Duration::from_secs_f64(seconds.min(MAX_MESSAGE_INTERVAL.as_secs_f64()))
            .max(MIN_MESSAGE_INTERVAL)
    }

    /// Returns the interval of a hub's messages to this many daemons.
    pub fn broadcast_interval(&self, daemons: u32) -> Duration {
        self.receive_interval(daemons).min(ALIVE_INTERVAL)
    }

    /// Returns this daemon's message as a hub. While the store does not respond, the first hubs
    /// continue to send, since their totals are still needed. The others stay silent, since every
    /// daemon may become a hub while the store is unavailable.
    pub fn message(
        &mut self,
        now: Time,
        incarnation: Incarnation,
        status: HubStatus,
    ) -> Option<HubMessage> {
        if !self.may_broadcast(now) {
            return None;
        }
        self.number += 1;
        let HubStatus {
            daemons,
            is_leader,
            live_peers,
            since_store_recovery,
            table,
            table_bytes,
            updates,
            evacuations,
            totals,
            levels,
        } = status;
        Some(HubMessage {
            daemon: self.own_id.clone(),
            incarnation,
            number: self.number,
            link_mbps: self.link_mbps,
            is_leader,
            live_peers,
            store_contact_age_ms: self.store_contact_age_ms(now),
            receive_interval_ms: self.receive_interval(daemons).as_millis() as u64,
            since_store_recovery_ms: since_store_recovery.map(|since| since.as_millis() as u64),
            table,
            table_bytes,
            updates,
            evacuations,
            totals,
            totals_age_ms: 0,
            levels,
            revisions: Vec::new(),
            store_era: self.store_era,
        })
    }
}

/// The state of a hub that its message reports.
#[derive(Clone, Debug, Default)]
pub struct HubStatus {
    /// The number of known daemons.
    pub daemons: u32,
    /// Whether the hub holds the lease.
    pub is_leader: bool,
    /// The number of other daemons whose reports the hub receives.
    pub live_peers: u32,
    /// Time since the store became reachable again, if it was unavailable.
    pub since_store_recovery: Option<Duration>,
    /// The version of its table; zero if it has none.
    pub table: u64,
    /// The length of its document.
    pub table_bytes: u64,
    /// Recent changes of the store.
    pub updates: Vec<ReplicationUpdate>,
    /// All evacuations, if they are watched.
    pub evacuations: Option<ReplicationUpdate>,
    /// The admissions of all daemons, by customer.
    pub totals: Vec<Total>,
    /// What is admitted of ranks and customers that give way.
    pub levels: Option<Vec<LevelWire>>,
}

/// Returns the length of changes in one message to this many daemons, so that a broadcast on a link that bears
/// `bytes_per_s` takes about as long as the interval of messages.
pub fn max_update_bytes(bytes_per_s: f64, daemons: u32) -> usize {
    let bytes = bytes_per_s * MIN_MESSAGE_INTERVAL.as_secs_f64() / f64::from(daemons.max(1));
    (bytes as usize).clamp(MIN_UPDATE_BYTES, MAX_UPDATE_BYTES)
}

/// Returns the sort key of a hub: wide links first, then by name.
fn rank(link_mbps: f64, name: &DaemonId) -> (Reverse<bool>, DaemonId) {
    (Reverse(is_wide(link_mbps)), name.clone())
}

fn is_wide(link_mbps: f64) -> bool {
    link_mbps >= WIDE_LINK_MBPS
}
