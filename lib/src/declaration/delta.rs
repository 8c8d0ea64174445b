//! The difference between two sets, as stored in the head object and sent between daemons.

use std::hash::Hash;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{
    declaration::{
        DeclarationSet,
        properties::Properties,
        wire::{self, SetDigest, SetWire, WireError},
    },
    ids::{ChangeId, CustomerName, Generation, MoveName, RouteName, ServiceName, VersionName},
    units::WallTime,
};

/// The reason why a delta cannot be applied.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum DeltaError {
    /// The delta was computed from another set than the one given.
    #[error("the delta is based on another set, that of generation {0}")]
    OtherBase(Generation),
    /// The digest of the result differs from the one in the delta.
    #[error("the delta to generation {0} yields a set with another digest")]
    OtherResult(Generation),
    /// The objects in the delta cannot be decoded.
    #[error("the objects in the delta are malformed: {0}")]
    Malformed(#[from] WireError),
}

/// The names of objects that a delta removes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct RemovedWire {
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    services: Vec<ServiceName>,
    #[serde(rename = "v", default, skip_serializing_if = "Vec::is_empty")]
    versions: Vec<(ServiceName, VersionName)>,
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    routes: Vec<RouteName>,
    #[serde(rename = "m", default, skip_serializing_if = "Vec::is_empty")]
    moves: Vec<MoveName>,
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    customers: Vec<CustomerName>,
}

/// One published change: the objects that it adds or replaces, and those that it removes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DeltaWire {
    /// The generation that the change is based on.
    pub from: Generation,
    /// The digest of the set that the change is based on.
    pub from_digest: SetDigest,
    /// The generation that the change creates.
    pub to: Generation,
    /// The digest of the set after the change.
    pub digest: SetDigest,
    pub change: ChangeId,
    /// The operator who published it.
    pub author: Box<str>,
    /// When it was published, by the publisher's clock.
    pub at: WallTime,
    put: SetWire,
    removed: RemovedWire,
}

/// The metadata of a change, without its objects.
#[derive(Clone, Debug, PartialEq)]
pub struct ChangeMetadata {
    /// The generation that the change is based on.
    pub from: Generation,
    /// The generation that the change creates.
    pub to: Generation,
    pub change: ChangeId,
    /// The operator who publishes it.
    pub author: Box<str>,
    /// When it is published, by the publisher's clock.
    pub at: WallTime,
}

/// How an object differs between two sets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ChangeKind {
    Added,
    Changed,
    Removed,
}

impl ChangeKind {
    /// Returns the character that stands for the kind in the output of commands.
    pub fn sign(self) -> char {
        match self {
            Self::Added => '+',
            Self::Changed => '~',
            Self::Removed => '-',
        }
    }
}

/// A property with different values in two sets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PropertyChange {
    pub key: Box<str>,
    /// The value in the first set; `None` if it is not set there.
    pub old: Option<Box<str>>,
    /// The value in the second set; `None` if it is not set there.
    pub new: Option<Box<str>>,
}

/// An object that differs between two sets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObjectChange {
    pub kind: ChangeKind,
    /// The section title of the object, such as `route phrases`.
    pub title: Box<str>,
    /// The properties that differ; all that are set if the object was added or removed.
    pub properties: Vec<PropertyChange>,
}

/// Returns the objects that differ with the properties that differ, by kind and name.
pub fn compare(from: &DeclarationSet, to: &DeclarationSet) -> Vec<ObjectChange> {
    let mut changes = Vec::new();
    differences("service", &from.services, &to.services, ToString::to_string, &mut changes);
    let name = |(service, version): &(ServiceName, VersionName)| format!("{service}/{version}");
    differences("version", &from.versions, &to.versions, name, &mut changes);
    differences("route", &from.routes, &to.routes, ToString::to_string, &mut changes);
    differences("move", &from.moves, &to.moves, ToString::to_string, &mut changes);
    differences("customer", &from.customers, &to.customers, ToString::to_string, &mut changes);
    changes
}

/// Returns the objects that differ, as `+ service x`, `~ route y` or `- move z`.
pub fn describe(from: &DeclarationSet, to: &DeclarationSet) -> Vec<Box<str>> {
    let changes = compare(from, to).into_iter();
    changes.map(|change| format!("{} {}", change.kind.sign(), change.title).into()).collect()
}

fn differences<K: Hash + Eq, V: PartialEq + Properties>(
    kind: &str,
    from: &IndexMap<K, V>,
    to: &IndexMap<K, V>,
    name: impl Fn(&K) -> String,
    changes: &mut Vec<ObjectChange>,
) {
    let mut found: Vec<(String, ObjectChange)> = Vec::new();
    let mut add = |key: &K, change_kind, old: Option<&V>, new: Option<&V>| {
        let name = name(key);
        let title = format!("{kind} {name}").into();
        let properties = property_changes(old, new);
        found.push((name, ObjectChange { kind: change_kind, title, properties }));
    };
    for (key, value) in to {
        match from.get(key) {
            None => add(key, ChangeKind::Added, None, Some(value)),
            Some(old) if old != value => add(key, ChangeKind::Changed, Some(old), Some(value)),
            Some(_) => {}
        }
    }
    for (key, value) in from {
        if !to.contains_key(key) {
            add(key, ChangeKind::Removed, Some(value), None);
        }
    }
    found.sort_by(|(a, _), (b, _)| a.cmp(b));
    changes.extend(found.into_iter().map(|(_, change)| change));
}

fn property_changes<V: Properties>(old: Option<&V>, new: Option<&V>) -> Vec<PropertyChange> {
    let properties = |object: Option<&V>| -> IndexMap<Box<str>, Option<Box<str>>> {
        object.map(Properties::properties).unwrap_or_default().into_iter().collect()
    };
    let (mut old, new) = (properties(old), properties(new));
    let mut changes = Vec::new();
    for (key, new) in new {
        let old = old.shift_remove(&key).flatten();
        changes.push(PropertyChange { key, old, new });
    }
    let only_old = old.into_iter().map(|(key, old)| PropertyChange { key, old, new: None });
    changes.extend(only_old);
    changes.retain(|change| change.old != change.new);
    changes
}

/// Returns the objects of `to` that are not the same in `from`.
fn added_or_replaced<K: Hash + Eq + Clone, V: PartialEq + Clone>(
    from: &IndexMap<K, V>,
    to: &IndexMap<K, V>,
) -> IndexMap<K, V> {
    let differing = to.iter().filter(|(key, value)| from.get(*key) != Some(value));
    differing.map(|(key, value)| (key.clone(), value.clone())).collect()
}

fn removed<K: Hash + Eq + Clone, V>(from: &IndexMap<K, V>, to: &IndexMap<K, V>) -> Vec<K> {
    from.keys().filter(|key| !to.contains_key(*key)).cloned().collect()
}

fn remove<K: Hash + Eq, V>(objects: &mut IndexMap<K, V>, names: &[K]) {
    objects.retain(|key, _| !names.contains(key));
}

impl DeltaWire {
    /// Computes the delta between two sets.
    pub fn compute(
        from: (&DeclarationSet, SetDigest),
        to: (&DeclarationSet, SetDigest),
        change: ChangeMetadata,
    ) -> Self {
        let (from, from_digest) = from;
        let (to, digest) = to;
        let put = DeclarationSet {
            services: added_or_replaced(&from.services, &to.services),
            versions: added_or_replaced(&from.versions, &to.versions),
            routes: added_or_replaced(&from.routes, &to.routes),
            moves: added_or_replaced(&from.moves, &to.moves),
            customers: added_or_replaced(&from.customers, &to.customers),
        };
        let removed = RemovedWire {
            services: removed(&from.services, &to.services),
            versions: removed(&from.versions, &to.versions),
            routes: removed(&from.routes, &to.routes),
            moves: removed(&from.moves, &to.moves),
            customers: removed(&from.customers, &to.customers),
        };
        Self {
            from: change.from,
            from_digest,
            to: change.to,
            digest,
            change: change.change,
            author: change.author,
            at: change.at,
            put: SetWire::from(&put),
            removed,
        }
    }

    /// Applies the delta to the set that it is based on; returns the new set and its encoding.
    pub fn apply(
        &self,
        set: &DeclarationSet,
        digest: SetDigest,
    ) -> Result<(DeclarationSet, Vec<u8>), DeltaError> {
        if digest != self.from_digest {
            return Err(DeltaError::OtherBase(self.from));
        }
        let mut set = set.clone();
        remove(&mut set.services, &self.removed.services);
        remove(&mut set.versions, &self.removed.versions);
        remove(&mut set.routes, &self.removed.routes);
        remove(&mut set.moves, &self.removed.moves);
        remove(&mut set.customers, &self.removed.customers);
        let put = DeclarationSet::try_from(self.put.clone())?;
        set.services.extend(put.services);
        set.versions.extend(put.versions);
        set.routes.extend(put.routes);
        set.moves.extend(put.moves);
        set.customers.extend(put.customers);
        let (digest, encoded) = wire::encode_set(&set);
        if digest != self.digest {
            return Err(DeltaError::OtherResult(self.to));
        }
        Ok((set, encoded))
    }

    /// Lists the objects that the change adds or replaces (`*`) and removes (`-`), for display.
    pub fn describe(&self) -> Vec<Box<str>> {
        let mut lines = self.put.titles("* ");
        let removed = &self.removed;
        let versions = removed.versions.iter().map(|(s, v)| format!("- version {s}/{v}"));
        let names = (removed.services.iter().map(|name| format!("- service {name}")))
            .chain(versions)
            .chain(removed.routes.iter().map(|name| format!("- route {name}")))
            .chain(removed.moves.iter().map(|name| format!("- move {name}")))
            .chain(removed.customers.iter().map(|name| format!("- customer {name}")));
        lines.extend(names.map(Into::into));
        lines
    }
}

/// Applies deltas in order, starting with the one that is based on `set`.
///
/// Returns `None` if no delta is based on the set.
pub fn apply_from(
    deltas: &[DeltaWire],
    set: &DeclarationSet,
    generation: Generation,
    digest: SetDigest,
) -> Option<Result<(DeclarationSet, Vec<u8>), DeltaError>> {
    let is_based_on_set =
        |delta: &DeltaWire| delta.from == generation && delta.from_digest == digest;
    let first = deltas.iter().position(is_based_on_set)?;
    Some(apply_all(&deltas[first..], set, digest))
}

/// Applies all deltas in order to the set that the first one is based on.
pub fn apply_all(
    deltas: &[DeltaWire],
    set: &DeclarationSet,
    digest: SetDigest,
) -> Result<(DeclarationSet, Vec<u8>), DeltaError> {
    let (_, mut encoded) = wire::encode_set(set);
    let (mut set, mut digest) = (set.clone(), digest);
    for delta in deltas {
        (set, encoded) = delta.apply(&set, digest)?;
        digest = delta.digest;
    }
    Ok((set, encoded))
}
