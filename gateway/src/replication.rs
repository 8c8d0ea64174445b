//! Replication of store objects between daemons, so that only a few daemons have to watch the
//! store.
//!
//! Load pattern: with a hundred daemons, each change of an upstream would end a hundred watches,
//! each of which is a call that the store counts. A daemon that watches the store broadcasts the
//! latest changes several times, so that a lost datagram does no harm; a daemon that missed more
//! fetches all objects. Updates are ordered by revision, and a view never returns to an earlier
//! one. When the store has been restored from a backup, every view is out of date until its kind has been listed in
//! the new era: replicated changes do not include what the backup lacks. See `docs/design/store-eras.md`.

use std::{collections::VecDeque, io, time::Duration};

use dogwoodturn::{
    ids::{DataCentre, Era, Revision},
    units::Time,
};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::store::{
    Change, Changes, Entry, Kind, Listing, MemberRecord, MoveRecord, Record, StoreRevision,
    UpstreamRecord,
};

/// Time for which a change is broadcast; a few consecutive datagrams may be lost.
const BROADCAST_PERIOD: Duration = Duration::from_millis(800);
/// Number of times that a change is broadcast at most, so that many changes in quick succession are not each
/// sent again and again. Several hubs broadcast each change.
const MAX_BROADCASTS: u32 = 3;
/// Number of times that a change is broadcast while later ones wait for their turn.
const MAX_BROADCASTS_OF_MANY: u32 = 1;
/// Changes that wait to be broadcast; a daemon that missed some lists the kind.
const MAX_RECENT_ITEMS: usize = 400;
/// Changes of one revision that fit a datagram. More of them, after a long outage, are not broadcast.
const MAX_REVISION_ITEMS: usize = 120;

/// Reports whether changes of a kind are broadcast. Hubs broadcast all evacuations in each message, since
/// there are few. Every daemon watches declarations itself,
/// since they are long and rarely change, and the lease is read only by daemons that may acquire
/// it.
fn is_replicated(kind: Kind) -> bool {
    matches!(kind, Kind::Upstreams | Kind::Moves | Kind::Members)
}

/// The content of a replicated object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ReplicatedObject {
    /// See [`Kind::Upstreams`].
    Upstream(UpstreamRecord),
    /// See [`Kind::Moves`].
    Move(MoveRecord),
    /// See [`Kind::Members`].
    Member(MemberRecord),
    /// See [`Kind::Evacuations`].
    Evacuation(DataCentre),
}

impl ReplicatedObject {
    fn from_record(record: &Record) -> Option<Self> {
        match record {
            Record::Upstream(record) => Some(Self::Upstream(record.clone())),
            Record::Move(record) => Some(Self::Move(record.clone())),
            Record::Member(record) => Some(Self::Member(record.clone())),
            Record::Evacuation(data_centre) => Some(Self::Evacuation(data_centre.clone())),
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
            ReplicatedObject::Evacuation(data_centre) => Self::Evacuation(data_centre),
        }
    }
}

/// One object, or its absence.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Item {
    /// The name within the kind.
    pub name: Box<str>,
    /// The revision of the last change and the content; `None` if the object was removed.
    pub object: Option<(Revision, ReplicatedObject)>,
}

impl Item {
    /// Returns the length of the encoded item in bytes.
    fn encoded_length(&self) -> usize {
        let mut length = ByteCount(0);
        // Counting does not fail, and what cannot be encoded is not sent.
        let _ = ciborium::into_writer(self, &mut length);
        length.0
    }
}

/// Counts the bytes that are written.
struct ByteCount(usize);

impl io::Write for ByteCount {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0 += bytes.len();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// The changes of one kind between two revisions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReplicationUpdate {
    pub kind: Kind,
    /// The revision after which `items` contains all changes; `None` if `items` contains all
    /// objects.
    pub since: Option<Revision>,
    /// The revision up to which the sender knows the kind.
    pub at: Revision,
    /// The era of all revisions of the update; zero if the store names none, or if the sender is of a release
    /// without this field.
    #[serde(default, skip_serializing_if = "is_unnamed")]
    pub era: Era,
    /// The changed objects, each as of revision `at`.
    pub items: Vec<Item>,
}

/// Reports whether an era is that of a store that names none.
#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes a reference")]
pub(crate) fn is_unnamed(era: &Era) -> bool {
    *era == Era::default()
}

/// What an update adds to a view.
#[derive(Debug)]
pub enum UpdateOutcome {
    /// The view already includes the update.
    UpToDate,
    /// Earlier changes were missed; all objects have to be fetched.
    MissedChanges,
    Listing(Listing),
    Changes(Changes),
}

/// A recently changed object.
#[derive(Clone, Debug)]
struct RecentChange {
    recorded_at: Time,
    /// The revision of the update with the change.
    at: StoreRevision,
    name: Box<str>,
    broadcasts: u32,
}

/// One daemon's view of the objects of one kind.
#[derive(Clone, Debug, Default)]
struct View {
    /// The revision up to which the objects are known.
    at: Option<StoreRevision>,
    objects: IndexMap<Box<str>, (StoreRevision, ReplicatedObject)>,
    /// The recently changed objects, the earliest first.
    recent: VecDeque<RecentChange>,
    /// The revision after which `recent` contains all changes.
    since: StoreRevision,
    /// The revision of the last change, or of the first listing, which may lack earlier removals.
    changed_at: StoreRevision,
}

impl View {
    fn set(&mut self, entry: &Entry) {
        // An unreadable object is ignored, and its last readable content stays in force.
        let Ok(record) = &entry.record else { return };
        if let Some(object) = ReplicatedObject::from_record(record) {
            self.objects.insert(entry.name.clone(), (entry.revision, object));
        }
    }

    fn record_change(&mut self, now: Time, at: StoreRevision, name: Box<str>) {
        self.changed_at = at;
        self.recent.retain(|change| change.name != name);
        self.recent.push_back(RecentChange { recorded_at: now, at, name, broadcasts: 0 });
    }

    /// Removes the first change, after which `recent` contains all changes.
    fn forget_first(&mut self) {
        if let Some(change) = self.recent.pop_front() {
            self.since = self.since.max(change.at);
        }
    }

    /// Returns the next changes to be broadcast, in at most `max_bytes` unless a single revision is longer.
    ///
    /// Changes are sent in the order of their revisions, so that an update with only the first of them is
    /// complete up to its revision.
    fn next_update(
        &mut self,
        now: Time,
        kind: Kind,
        max_bytes: usize,
    ) -> Option<ReplicationUpdate> {
        let is_old = |change: &RecentChange| {
            change.broadcasts >= MAX_BROADCASTS
                || (change.broadcasts > 0 && now.since(change.recorded_at) > BROADCAST_PERIOD)
        };
        while self.recent.len() > MAX_RECENT_ITEMS || self.recent.front().is_some_and(is_old) {
            self.forget_first();
        }
        let mut bytes = 0;
        let mut items = Vec::new();
        let mut count = 0;
        while let Some(change) = self.recent.get(count) {
            let item = self.item(&change.name);
            bytes += item.encoded_length();
            let is_same_revision = count > 0 && self.recent[count - 1].at == change.at;
            if bytes > max_bytes && count > 0 && !is_same_revision {
                break;
            }
            items.push(item);
            count += 1;
        }
        let is_one_revision = count > 0 && self.recent[0].at == self.recent[count - 1].at;
        if is_one_revision && count > MAX_REVISION_ITEMS {
            (0..count).for_each(|_| self.forget_first());
            return Some(ReplicationUpdate {
                kind,
                since: Some(self.since.revision),
                at: self.since.revision,
                era: self.since.era,
                items: Vec::new(),
            });
        }
        let is_complete = count == self.recent.len();
        let since = self.since;
        let at = if is_complete { self.at? } else { self.recent[count - 1].at };
        self.recent.iter_mut().take(count).for_each(|change| change.broadcasts += 1);
        if !is_complete {
            let is_sent = |change: &RecentChange| change.broadcasts >= MAX_BROADCASTS_OF_MANY;
            while self.recent.front().is_some_and(is_sent) {
                self.forget_first();
            }
        }
        let (since, StoreRevision { era, revision: at }) = (Some(since.revision), at);
        Some(ReplicationUpdate { kind, since, at, era, items })
    }

    fn item(&self, name: &str) -> Item {
        let object = self.objects.get(name).cloned();
        Item { name: name.into(), object: object.map(|(at, object)| (at.revision, object)) }
    }
}

/// One daemon's views of all kinds.
#[derive(Clone, Debug, Default)]
pub struct ReplicatedViews {
    views: IndexMap<Kind, View>,
    /// The latest era of the store that is known.
    era: Era,
    has_changed_era: bool,
}

impl ReplicatedViews {
    /// Returns the latest era of the store that is known.
    pub fn era(&self) -> Era {
        self.era
    }

    /// Records an era that the store has named, and reports whether it is new. All views of earlier eras are then
    /// out of date.
    pub fn observe_era(&mut self, era: Era) -> bool {
        if era <= self.era {
            return false;
        }
        self.era = era;
        self.has_changed_era = self.views.values().any(|view| view.at.is_some());
        true
    }

    /// Reports whether the store has been restored from a backup since this daemon first listed a kind.
    pub fn has_changed_era(&self) -> bool {
        self.has_changed_era
    }

    /// Returns the view of a kind, if it is of the present era.
    fn current(&self, kind: Kind) -> Option<&View> {
        let is_current = |view: &&View| view.at.is_some_and(|at| at.era >= self.era);
        self.views.get(&kind).filter(is_current)
    }

    /// Reports whether a kind has been listed, but not since the store was restored from a backup.
    pub fn is_of_earlier_era(&self, kind: Kind) -> bool {
        let listed_at = self.views.get(&kind).and_then(|view| view.at);
        listed_at.is_some_and(|at| at.era < self.era)
    }

    /// Returns the revision up to which a kind is known; `None` if it has to be listed.
    pub fn synced_revision(&self, kind: Kind) -> Option<StoreRevision> {
        self.current(kind)?.at
    }

    /// Returns the revision of an object's last change.
    pub fn revision(&self, kind: Kind, name: &str) -> Option<StoreRevision> {
        let object = self.current(kind)?.objects.get(name)?;
        Some(object.0)
    }

    /// Adds the present era to a revision from a release that does not send eras. Returns `None` once the era
    /// has changed, since such releases ignore restores.
    pub fn complete(&self, era: Era, revision: Revision) -> Option<StoreRevision> {
        match is_unnamed(&era) {
            true if self.has_changed_era => None,
            true => Some(StoreRevision { era: self.era, revision }),
            false => Some(StoreRevision { era, revision }),
        }
    }

    /// Replaces all objects of a kind. Returns false if the view is newer than the listing.
    ///
    /// Differences are broadcast like other changes: if every daemon had to fetch all objects after
    /// a hub listed them again, narrow links would be saturated for seconds.
    pub fn apply_listing(&mut self, now: Time, kind: Kind, listing: &Listing) -> bool {
        let view = self.views.entry(kind).or_default();
        if view.at.is_some_and(|at| at > listing.at) || listing.at.era < self.era {
            return false;
        }
        let listed: IndexMap<&str, &Entry> =
            listing.entries.iter().map(|entry| (&*entry.name, entry)).collect();
        let removed = view.objects.keys().filter(|name| !listed.contains_key(&***name));
        let mut changed: Vec<Box<str>> = removed.cloned().collect();
        view.objects.retain(|name, _| listed.contains_key(&**name));
        for entry in &listing.entries {
            let known_revision = view.objects.get(&entry.name).map(|(revision, _)| *revision);
            if known_revision != Some(entry.revision) {
                view.set(entry);
                changed.push(entry.name.clone());
            }
        }
        if view.at.is_none_or(|at| at.era < listing.at.era) {
            // The other daemons list the kind as well: changes do not include what the backup lacks.
            view.recent.clear();
            view.since = listing.at;
            view.changed_at = listing.at;
        } else {
            for name in changed {
                view.record_change(now, listing.at, name);
            }
        }
        view.at = Some(listing.at);
        true
    }

    /// Applies changes of a kind. Returns false if the view includes them already, or has no
    /// listing yet.
    pub fn apply_changes(&mut self, now: Time, kind: Kind, changes: &Changes) -> bool {
        let view = self.views.entry(kind).or_default();
        if view.at.is_none_or(|at| at >= changes.at || at.era != changes.at.era) {
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

    /// Returns the next changes of the replicated kinds to be broadcast, in about `max_bytes`.
    pub fn next_updates(&mut self, now: Time, max_bytes: usize) -> Vec<ReplicationUpdate> {
        let mut left = max_bytes;
        let era = self.era;
        let update = |(kind, view): (&Kind, &mut View)| {
            let update = view.next_update(now, *kind, left)?;
            let bytes = update.items.iter().map(Item::encoded_length).sum();
            left = left.saturating_sub(bytes);
            Some(update)
        };
        let is_current = |view: &View| view.at.is_some_and(|at| at.era >= era);
        let passed_on =
            |(kind, view): &(&Kind, &mut View)| is_replicated(**kind) && is_current(view);
        self.views.iter_mut().filter(passed_on).filter_map(update).collect()
    }

    /// Returns the revisions of the last known changes of the replicated kinds. A daemon that has synchronized
    /// a kind up to there has missed none.
    pub fn revisions(&self) -> Vec<(Kind, Revision)> {
        let replicated = self.views.keys().filter(|kind| is_replicated(**kind));
        let changed = |kind: &Kind| Some((*kind, self.current(*kind)?.changed_at.revision));
        replicated.filter_map(changed).collect()
    }

    /// Returns all objects of the replicated kinds.
    pub fn snapshot(&self) -> Vec<ReplicationUpdate> {
        let replicated = self.views.keys().filter(|kind| is_replicated(**kind));
        replicated.filter_map(|kind| self.listing(*kind)).collect()
    }

    /// Returns all objects of one kind, if they have been listed.
    pub fn listing(&self, kind: Kind) -> Option<ReplicationUpdate> {
        let view = self.current(kind)?;
        let items = view.objects.keys().map(|name| view.item(name)).collect();
        let StoreRevision { era, revision: at } = view.at?;
        Some(ReplicationUpdate { kind, since: None, at, era, items })
    }

    /// Returns what another daemon's update adds to the views.
    ///
    /// Only the store's own answers set the era: a single corrupt value from a peer would invalidate all views
    /// permanently. If a peer names a later era, the kind has to be listed.
    pub fn compare(&self, update: ReplicationUpdate) -> UpdateOutcome {
        let ReplicationUpdate { kind, since, at, era, items } = update;
        let synced = self.synced_revision(kind);
        let at = self.complete(era, at).filter(|at| at.era >= self.era);
        let Some(at) = at.filter(|at| synced.is_none_or(|synced| synced < *at)) else {
            return UpdateOutcome::UpToDate;
        };
        if at.era > self.era {
            return UpdateOutcome::MissedChanges;
        }
        let entry = |name: Box<str>, (revision, object): (Revision, ReplicatedObject)| Entry {
            name,
            revision: StoreRevision { era: at.era, revision },
            record: Ok(object.into()),
        };
        let Some(since) = since else {
            let objects = items.into_iter().filter_map(|item| Some((item.name, item.object?)));
            let entries = objects.map(|(name, object)| entry(name, object)).collect();
            return UpdateOutcome::Listing(Listing { entries, at });
        };
        let since = StoreRevision { era: at.era, revision: since };
        if synced.is_none_or(|synced| synced < since) {
            return UpdateOutcome::MissedChanges;
        }
        let change = |item: Item| match item.object {
            Some(object) => Change::Set(entry(item.name, object)),
            None => Change::Removed(item.name),
        };
        UpdateOutcome::Changes(Changes { changes: items.into_iter().map(change).collect(), at })
    }
}
