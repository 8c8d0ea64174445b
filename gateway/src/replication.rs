//! Objects of the store as daemons pass them on, so that only a few of them have to watch it.
//!
//! Load pattern: with a hundred daemons, each change of an upstream would wake a hundred watches,
//! and each of these is a call that the store counts. A daemon that watches tells all others the
//! latest changes, several times over, so that a lost datagram does no harm; one that missed more
//! fetches the whole view. Revisions order everything: a view never goes back.

use std::{collections::VecDeque, time::Duration};

use dogwoodturn::{ids::Revision, units::Time};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::store::{
    Change, Changes, Entry, Kind, Listing, MemberRecord, MoveRecord, Record, UpstreamRecord,
};

/// How long a change is told; a few datagrams in a row may be lost.
const BROADCAST_PERIOD: Duration = Duration::from_millis(800);
/// The most changes that one update carries, so that it fits a datagram.
const MAX_RECENT_ITEMS: usize = 120;

/// Says whether objects of a kind are passed on. Every daemon follows declarations itself, since they
/// are long and change seldom, and the lease is read only by those who may take it.
fn is_replicated(kind: Kind) -> bool {
    matches!(kind, Kind::Upstreams | Kind::Moves | Kind::Members)
}

/// The content of an object that is passed on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ReplicatedObject {
    /// See [`Kind::Upstreams`].
    Upstream(UpstreamRecord),
    /// See [`Kind::Moves`].
    Move(MoveRecord),
    /// See [`Kind::Members`].
    Member(MemberRecord),
}

impl ReplicatedObject {
    fn from_record(record: &Record) -> Option<Self> {
        match record {
            Record::Upstream(record) => Some(Self::Upstream(record.clone())),
            Record::Move(record) => Some(Self::Move(record.clone())),
            Record::Member(record) => Some(Self::Member(record.clone())),
            Record::Table(_) | Record::Lease(_) => None,
        }
    }
}

impl From<ReplicatedObject> for Record {
    fn from(object: ReplicatedObject) -> Self {
        match object {
            ReplicatedObject::Upstream(record) => Self::Upstream(record),
            ReplicatedObject::Move(record) => Self::Move(record),
            ReplicatedObject::Member(record) => Self::Member(record),
        }
    }
}

/// One object, or that there is none of that name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Item {
    /// Its name within its kind.
    pub name: Box<str>,
    /// The revision of its last change, and what it holds; `None` if it is gone.
    pub object: Option<(Revision, ReplicatedObject)>,
}

/// What changed of one kind between two revisions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReplicationUpdate {
    /// The kind.
    pub kind: Kind,
    /// The revision after which all changes are in `items`; `None` if these are all objects.
    pub since: Option<Revision>,
    /// The revision up to which the kind is known.
    pub at: Revision,
    /// The objects that changed, each as it is at `at`.
    pub items: Vec<Item>,
}

/// What an update means to one who has a view of its own.
#[derive(Debug)]
pub enum UpdateOutcome {
    /// Everything is known.
    UpToDate,
    /// Changes before the update were missed; the whole view has to be fetched.
    MissedChanges,
    /// All objects.
    Listing(Listing),
    /// What changed.
    Changes(Changes),
}

/// The objects of one kind as one daemon knows them.
#[derive(Clone, Debug, Default)]
struct View {
    at: Option<Revision>,
    objects: IndexMap<Box<str>, (Revision, ReplicatedObject)>,
    /// The names that changed lately, with the revision up to which they were told.
    recent: VecDeque<(Time, Revision, Box<str>)>,
    /// The revision after which all changes are in `recent`.
    since: Revision,
}

impl View {
    fn set(&mut self, entry: &Entry) {
        // An object that cannot be read says nothing; what was known of it before holds.
        let Ok(record) = &entry.record else { return };
        if let Some(object) = ReplicatedObject::from_record(record) {
            self.objects.insert(entry.name.clone(), (entry.revision, object));
        }
    }

    fn record_change(&mut self, now: Time, at: Revision, name: Box<str>) {
        self.recent.retain(|(_, _, recent)| *recent != name);
        self.recent.push_back((now, at, name));
    }

    fn prune(&mut self, now: Time) {
        while let Some((recorded_at, at, _)) = self.recent.front()
            && (now.since(*recorded_at) > BROADCAST_PERIOD || self.recent.len() > MAX_RECENT_ITEMS)
        {
            self.since = self.since.max(*at);
            self.recent.pop_front();
        }
    }

    fn item(&self, name: &str) -> Item {
        Item { name: name.into(), object: self.objects.get(name).cloned() }
    }
}

/// The views of all kinds that are passed on.
#[derive(Clone, Debug, Default)]
pub struct ReplicatedViews(IndexMap<Kind, View>);

impl ReplicatedViews {
    /// Returns the revision up to which a kind is known.
    pub fn synced_revision(&self, kind: Kind) -> Option<Revision> {
        self.0.get(&kind).and_then(|view| view.at)
    }

    /// Returns the revision of an object's last change.
    pub fn revision(&self, kind: Kind, name: &str) -> Option<Revision> {
        let object = self.0.get(&kind)?.objects.get(name)?;
        Some(object.0)
    }

    /// Takes all objects of a kind; false if more was known already.
    ///
    /// What differs from what was known is told like any change: if everybody had to fetch everything
    /// after a hub has listed anew, thin links would be full for seconds.
    pub fn apply_listing(&mut self, now: Time, kind: Kind, listing: &Listing) -> bool {
        let view = self.0.entry(kind).or_default();
        if view.at.is_some_and(|at| at > listing.at) {
            return false;
        }
        let listed: IndexMap<&str, &Entry> =
            listing.entries.iter().map(|entry| (&*entry.name, entry)).collect();
        let removed = view.objects.keys().filter(|name| !listed.contains_key(&***name));
        let mut changed: Vec<Box<str>> = removed.cloned().collect();
        view.objects.retain(|name, _| listed.contains_key(&**name));
        for entry in &listing.entries {
            let known = view.objects.get(&entry.name).map(|(revision, _)| *revision);
            if known != Some(entry.revision) {
                view.set(entry);
                changed.push(entry.name.clone());
            }
        }
        if view.at.is_none() {
            view.since = listing.at;
        } else {
            for name in changed {
                view.record_change(now, listing.at, name);
            }
        }
        view.at = Some(listing.at);
        true
    }

    /// Takes what changed of a kind; false if it was known already.
    pub fn apply_changes(&mut self, now: Time, kind: Kind, changes: &Changes) -> bool {
        let view = self.0.entry(kind).or_default();
        if view.at.is_none_or(|at| at >= changes.at) {
            return false;
        }
        for change in &changes.changes {
            let name = match change {
                Change::Set(entry) => {
                    view.set(entry);
                    &entry.name
                }
                Change::Removed(name) => {
                    view.objects.shift_remove(name);
                    name
                }
            };
            view.record_change(now, changes.at, name.clone());
        }
        view.at = Some(changes.at);
        true
    }

    /// Returns what changed lately, for all daemons.
    pub fn recent(&mut self, now: Time) -> Vec<ReplicationUpdate> {
        let update = |(kind, view): (&Kind, &mut View)| {
            view.prune(now);
            let items = view.recent.iter().map(|(_, _, name)| view.item(name)).collect();
            Some(ReplicationUpdate { kind: *kind, since: Some(view.since), at: view.at?, items })
        };
        self.0.iter_mut().filter(|(kind, _)| is_replicated(**kind)).filter_map(update).collect()
    }

    /// Returns all objects of all kinds.
    pub fn snapshot(&self) -> Vec<ReplicationUpdate> {
        let update = |(kind, view): (&Kind, &View)| {
            let items = view.objects.keys().map(|name| view.item(name)).collect();
            Some(ReplicationUpdate { kind: *kind, since: None, at: view.at?, items })
        };
        self.0.iter().filter(|(kind, _)| is_replicated(**kind)).filter_map(update).collect()
    }

    /// Says what an update of another daemon adds to what is known here.
    pub fn compare(&self, update: ReplicationUpdate) -> UpdateOutcome {
        let ReplicationUpdate { kind, since, at, items } = update;
        let known = self.synced_revision(kind);
        if known.is_some_and(|known| known >= at) {
            return UpdateOutcome::UpToDate;
        }
        let entry = |name: Box<str>, (revision, object): (Revision, ReplicatedObject)| Entry {
            name,
            revision,
            record: Ok(object.into()),
        };
        let Some(since) = since else {
            let objects = items.into_iter().filter_map(|item| Some((item.name, item.object?)));
            let entries = objects.map(|(name, object)| entry(name, object)).collect();
            return UpdateOutcome::Listing(Listing { entries, at });
        };
        if known.is_none_or(|known| known < since) {
            return UpdateOutcome::MissedChanges;
        }
        let change = |item: Item| match item.object {
            Some(object) => Change::Set(entry(item.name, object)),
            None => Change::Removed(item.name),
        };
        UpdateOutcome::Changes(Changes { changes: items.into_iter().map(change).collect(), at })
    }
}
