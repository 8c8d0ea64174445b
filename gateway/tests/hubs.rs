//! A few daemons watch the store for all: lost datagrams, hubs that the store turns away without a
//! word, restarts and partitions, against the store's own history.

use std::{collections::BTreeMap, time::Duration};

use dogwoodturn::{
    ids::{DaemonId, Incarnation, Revision},
    units::Time,
};
use dogwoodturn_gateway::{
    hubs::{HubMessage, HubStatus, Hubs, MAX_DAEMONS_WITHOUT_HUBS},
    replication::{ReplicatedViews, UpdateOutcome},
    store::{Change, Changes, Entry, Kind, Listing, MemberRecord, Record},
};
use rand::RngExt as _;
use rand_pcg::{Pcg64, rand_core::SeedableRng as _};

const DAEMONS: usize = 60;
const STEP_MS: u64 = 50;
/// How long upstreams serve after their leaving was told: by then, everybody must know.
const DRAIN: Duration = Duration::from_millis(3000);
/// The daemons with wide links.
const WIDE: usize = 6;
/// One datagram in so many is lost.
const LOSS: u32 = 20;
/// How often a daemon that missed something fetches everything.
const FETCH_EVERY_MS: u64 = 100;

/// The store: its objects at each revision.
struct History(Vec<BTreeMap<Box<str>, u64>>);

impl History {
    fn at(&self) -> u64 {
        self.0.len() as u64 - 1
    }

    fn write(&mut self, name: &str, value: Option<u64>) {
        let mut next = self.0.last().unwrap().clone();
        match value {
            Some(value) => next.insert(name.into(), value),
            None => next.remove(name),
        };
        self.0.push(next);
    }

    fn changes(&self, from: u64) -> Changes {
        let mut changes = Vec::new();
        for revision in from + 1..=self.at() {
            let (before, after) = (&self.0[revision as usize - 1], &self.0[revision as usize]);
            for (name, value) in after {
                if before.get(name) != Some(value) {
                    changes.push(Change::Set(entry(name, *value, revision)));
                }
            }
            let gone = before.keys().filter(|name| !after.contains_key(*name));
            changes.extend(gone.map(|name| Change::Removed(name.clone())));
        }
        Changes { changes, at: Revision(self.at()) }
    }

    /// Returns the revision of an object's last change.
    fn changed(&self, name: &str) -> u64 {
        let value = |revision: u64| self.0[revision as usize].get(name);
        let is_change = |revision: &u64| value(*revision) != value(revision - 1);
        (1..=self.at()).rev().find(is_change).unwrap_or(0)
    }

    fn listing(&self) -> Listing {
        let objects = self.0.last().unwrap().iter();
        let entries =
            objects.map(|(name, value)| entry(name, *value, self.changed(name))).collect();
        Listing { entries, at: Revision(self.at()) }
    }
}

fn entry(name: &str, value: u64, revision: u64) -> Entry {
    let record = MemberRecord {
        daemon: name.parse().unwrap(),
        address: format!("127.0.0.1:{value}").parse().unwrap(),
    };
    Entry { name: name.into(), revision: Revision(revision), record: Ok(Record::Member(record)) }
}

struct Daemon {
    hubs: Hubs,
    views: ReplicatedViews,
    run: u64,
    watch_began: u64,
    told: u64,
    has_news: bool,
    is_behind: bool,
    /// Whether calls to the store are answered.
    reaches: bool,
    /// Which part of the network it is in.
    part: u32,
}

fn start(index: usize, run: u64) -> Daemon {
    let link = if index < WIDE { 200.0 } else { 10.0 };
    let name: DaemonId = format!("d{index:02}").parse().unwrap();
    Daemon {
        hubs: Hubs::new(name, link, DRAIN),
        views: ReplicatedViews::default(),
        run,
        watch_began: 0,
        told: 0,
        has_news: false,
        is_behind: false,
        reaches: true,
        part: 0,
    }
}

struct World {
    ms: u64,
    store: History,
    daemons: Vec<Daemon>,
    calls: u64,
    random: Pcg64,
}

impl World {
    fn new(seed: u64) -> Self {
        Self {
            ms: 0,
            store: History(vec![BTreeMap::new()]),
            daemons: (0..DAEMONS).map(|index| start(index, 0)).collect(),
            calls: 0,
            random: Pcg64::seed_from_u64(seed),
        }
    }

    fn now(&self) -> Time {
        Time((self.ms + 1_000_000) * 1000)
    }

    fn hubs(&self) -> Vec<usize> {
        (0..DAEMONS).filter(|index| self.daemons[*index].hubs.is_hub()).collect()
    }

    fn known(&self, index: usize) -> u64 {
        self.daemons[index].views.synced_revision(Kind::Members).map_or(0, |at| at.0)
    }

    fn step(&mut self) {
        self.ms += STEP_MS;
        let now = self.now();
        for daemon in &mut self.daemons {
            daemon.hubs.update_role(now, DAEMONS as u32, false);
            Self::watch(daemon, &self.store, self.ms, now, &mut self.calls);
        }
        self.tell();
        if self.ms.is_multiple_of(FETCH_EVERY_MS) {
            self.fetch();
        }
        for index in 0..DAEMONS {
            self.check(index);
        }
    }

    fn watch(daemon: &mut Daemon, store: &History, ms: u64, now: Time, calls: &mut u64) {
        if !daemon.hubs.is_hub() || !daemon.reaches {
            daemon.watch_began = ms;
            return;
        }
        match daemon.views.synced_revision(Kind::Members) {
            None => {
                *calls += 1;
                daemon.views.apply_listing(now, Kind::Members, &store.listing());
            }
            Some(at) => {
                let waited = Duration::from_millis(ms - daemon.watch_began);
                if store.at() == at.0 && waited < daemon.hubs.watch_timeout() {
                    return;
                }
                *calls += 1;
                let changes = store.changes(at.0);
                daemon.has_news |= !changes.changes.is_empty();
                daemon.views.apply_changes(now, Kind::Members, &changes);
            }
        }
        daemon.watch_began = ms;
        daemon.hubs.record_store_contact(now);
    }

    fn tell(&mut self) {
        let now = self.now();
        let mut messages: Vec<(usize, HubMessage)> = Vec::new();
        for (index, daemon) in self.daemons.iter_mut().enumerate() {
            let every = daemon.hubs.broadcast_interval(DAEMONS as u32).as_millis() as u64;
            if !daemon.hubs.is_hub() || (self.ms < daemon.told + every && !daemon.has_news) {
                continue;
            }
            let tells = daemon.hubs.broadcasts_objects(now);
            let updates = if tells { daemon.views.recent(now) } else { Vec::new() };
            let told = HubStatus { daemons: DAEMONS as u32, updates, ..HubStatus::default() };
            if let Some(message) = daemon.hubs.message(now, Incarnation(daemon.run), told) {
                daemon.told = self.ms;
                daemon.has_news = false;
                messages.push((index, message));
            }
        }
        for (from, message) in messages {
            let address = format!("127.0.0.1:{}", 1000 + from).parse().unwrap();
            for to in 0..DAEMONS {
                let is_cut = self.daemons[from].part != self.daemons[to].part;
                if to == from || is_cut || self.random.random_range(0..LOSS) == 0 {
                    continue;
                }
                let daemon = &mut self.daemons[to];
                let mut message = message.clone();
                let updates = std::mem::take(&mut message.updates);
                daemon.hubs.receive(now, address, message);
                for update in updates {
                    Self::take(daemon, now, update);
                }
            }
        }
    }

    fn take(
        daemon: &mut Daemon,
        now: Time,
        update: dogwoodturn_gateway::replication::ReplicationUpdate,
    ) {
        match daemon.views.compare(update) {
            UpdateOutcome::UpToDate => {}
            UpdateOutcome::MissedChanges => daemon.is_behind = true,
            UpdateOutcome::Listing(listing) => {
                daemon.views.apply_listing(now, Kind::Members, &listing);
            }
            UpdateOutcome::Changes(changes) => {
                daemon.views.apply_changes(now, Kind::Members, &changes);
            }
        }
    }

    fn fetch(&mut self) {
        let now = self.now();
        for to in 0..DAEMONS {
            let Some(source) = self.daemons[to].hubs.sync_source(now) else { continue };
            if !std::mem::take(&mut self.daemons[to].is_behind) {
                continue;
            }
            let from = usize::from(source.port()) - 1000;
            if self.daemons[from].part != self.daemons[to].part {
                continue;
            }
            for update in self.daemons[from].views.snapshot() {
                Self::take(&mut self.daemons[to], now, update);
            }
        }
    }

    /// Checks that a daemon's objects are those of the store at the revision that it names.
    fn check(&self, index: usize) {
        let whole = self.daemons[index].views.snapshot();
        let Some(update) = whole.first() else { return };
        let known: Vec<_> = update.items.iter().map(|item| item.name.clone()).collect();
        let stored = &self.store.0[update.at.0 as usize];
        assert_eq!(known.len(), stored.len(), "daemon {index} at {}", update.at);
        assert!(known.iter().all(|name| stored.contains_key(name)), "daemon {index}");
    }

    fn run(&mut self, ms: u64) {
        let until = self.ms + ms;
        while self.ms < until {
            self.step();
        }
    }

    fn change(&mut self) {
        let name = format!("m{}", self.random.random_range(0..30));
        let value = self.random.random_range(1..60_000);
        let is_gone = self.random.random_range(0..4) == 0;
        self.store.write(&name, (!is_gone).then_some(value));
    }
}

#[test]
fn decide_few_daemons_stay_hubs_and_those_with_wide_links_first() {
    let mut world = World::new(1);
    world.run(10_000);
    let hubs = world.hubs();
    assert!((4..=WIDE).contains(&hubs.len()), "{hubs:?}");
    assert!(hubs.iter().all(|index| *index < WIDE), "{hubs:?}");
    let before = world.calls;
    world.run(20_000);
    let a_second = (world.calls - before) as f64 / 20.0;
    assert!(a_second < DAEMONS as f64 / 10.0, "{a_second} calls a second");
}

#[test]
fn listed_anew_by_a_hub_is_told_as_changes_so_that_nobody_fetches_everything() {
    let mut store = History(vec![BTreeMap::new()]);
    for n in 0..40 {
        store.write(&format!("m{n}"), Some(n + 1));
    }
    let (mut hub, mut other) = (ReplicatedViews::default(), ReplicatedViews::default());
    hub.apply_listing(Time(0), Kind::Members, &store.listing());
    other.apply_listing(Time(0), Kind::Members, &store.listing());
    for n in 0..30 {
        store.write(&format!("m{n}"), None);
    }
    store.write("m35", Some(1000));
    hub.apply_listing(Time(1_000_000), Kind::Members, &store.listing());
    let told = hub.recent(Time(1_000_000)).remove(0);
    assert_eq!(told.items.len(), 31);
    let UpdateOutcome::Changes(changes) = other.compare(told) else {
        panic!("more has to be fetched")
    };
    other.apply_changes(Time(1_000_000), Kind::Members, &changes);
    assert_eq!(other.snapshot(), hub.snapshot());
}

#[test]
fn message_goes_on_from_the_first_hubs_alone_while_the_store_is_away() {
    let mut world = World::new(3);
    world.run(5_000);
    for daemon in &mut world.daemons {
        daemon.reaches = false;
    }
    world.run(6_000);
    let before: Vec<_> = world.daemons.iter().map(|daemon| daemon.told).collect();
    world.run(1_500);
    let told = (0..DAEMONS).filter(|index| world.daemons[*index].told > before[*index]);
    let tellers: Vec<_> = told.collect();
    assert!((2..=4).contains(&tellers.len()), "{tellers:?}");
    assert!(tellers.iter().all(|index| *index < WIDE), "{tellers:?}");
    for daemon in &mut world.daemons {
        daemon.reaches = true;
    }
    world.change();
    let at = world.store.at();
    world.run(DRAIN.as_millis() as u64);
    assert!((0..DAEMONS).all(|index| world.known(index) >= at));
}

#[test]
fn decide_system_of_few_daemons_does_without() {
    let mut hubs = Hubs::new("d".parse().unwrap(), 10.0, DRAIN);
    assert!(hubs.update_role(Time(0), MAX_DAEMONS_WITHOUT_HUBS, false));
}

#[test]
fn take_change_reaches_everybody_though_all_hubs_lose_the_store_without_a_word() {
    for seed in 0..40 {
        let mut world = World::new(seed);
        for _ in 0..5 {
            world.change();
        }
        world.run(5_000);
        for _ in 0..3 {
            let hubs = world.hubs();
            for index in &hubs {
                world.daemons[*index].reaches = false;
            }
            world.change();
            let at = world.store.at();
            world.run(DRAIN.as_millis() as u64);
            for index in 0..DAEMONS {
                assert!(world.known(index) >= at, "seed {seed}: daemon {index} of {hubs:?}");
            }
            for index in hubs {
                world.daemons[index].reaches = true;
            }
            world.run(3_000);
        }
    }
}

#[test]
fn take_views_follow_the_store_through_restarts_and_partitions() {
    for seed in 0..40 {
        let mut world = World::new(1000 + seed);
        for step in 0..400 {
            if world.random.random_range(0..4) == 0 {
                world.change();
            }
            if world.random.random_range(0..8) == 0 {
                let index = world.random.random_range(0..DAEMONS);
                world.daemons[index] = start(index, step + 1);
            }
            if world.random.random_range(0..40) == 0 {
                let parts = world.random.random_range(1..4);
                for index in 0..DAEMONS {
                    let part = world.random.random_range(0..parts);
                    world.daemons[index].part = part;
                }
            }
            if world.random.random_range(0..10) == 0 {
                let index = world.random.random_range(0..DAEMONS);
                let reaches = world.daemons[index].reaches;
                world.daemons[index].reaches = !reaches;
            }
            world.step();
        }
        for daemon in &mut world.daemons {
            (daemon.part, daemon.reaches) = (0, true);
        }
        let at = world.store.at();
        world.run(DRAIN.as_millis() as u64);
        assert!((0..DAEMONS).all(|index| world.known(index) >= at), "seed {seed}");
    }
}
