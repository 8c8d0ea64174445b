//! Checks a set against what is in force, at the time of its publication.

use std::fmt;

use crate::{
    declaration::{DeclarationSet, Move},
    ids::{ServiceName, VersionName},
    units::WallTime,
};

/// Why one object of a set cannot be published over the set in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpdateViolation {
    /// The title of the object's section, such as `move spring`.
    pub title: Box<str>,
    /// What is wrong.
    pub reason: Box<str>,
    /// What may mend it.
    pub hint: Box<str>,
}

impl fmt::Display for UpdateViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "[{}]: {} (hint: {})", self.title, self.reason, self.hint)
    }
}

/// Returns all that speaks against publishing `new` over `current` now.
///
/// A move that is under way keeps its versions, its times and its service's version; it may be
/// removed, which takes it back. A new move must have time enough left.
pub fn validate_update(
    current: &DeclarationSet,
    new: &DeclarationSet,
    now: WallTime,
) -> Vec<UpdateViolation> {
    let mut found = Vec::new();
    for m in current.moves.values().filter(|m| m.start <= now && now < m.finish_by) {
        move_under_way(current, new, m, &mut found);
    }
    for m in new.moves.values().filter(|m| current.moves.get(&m.name) != Some(m)) {
        new_move(m, now, &mut found);
    }
    found
}

fn move_under_way(
    current: &DeclarationSet,
    new: &DeclarationSet,
    m: &Move,
    found: &mut Vec<UpdateViolation>,
) {
    let title: Box<str> = format!("move {}", m.name).into();
    for version in [&m.from, &m.to] {
        if new.services.contains_key(&m.service) && !has_version(new, &m.service, version) {
            let reason = format!("version {}/{version} is removed under way", m.service);
            let hint = "keep it until the move's finish-by has passed";
            found.push(UpdateViolation {
                title: title.clone(),
                reason: reason.into(),
                hint: hint.into(),
            });
        }
    }
    match new.moves.get(&m.name) {
        Some(changed) if changed != m => {
            let reason = "it is changed while it is under way".into();
            let hint = "remove it, which takes it back, and declare a move of another name".into();
            found.push(UpdateViolation { title: title.clone(), reason, hint });
        }
        _ => {}
    }
    let version_of = |set: &DeclarationSet| Some(set.services.get(&m.service)?.version.clone());
    let version = version_of(new);
    if version.is_some() && version != version_of(current) {
        let reason = format!("the version of service {} changes under way", m.service);
        let hint = "change it once the move's finish-by has passed";
        let title = format!("service {}", m.service).into();
        found.push(UpdateViolation { title, reason: reason.into(), hint: hint.into() });
    }
}

fn new_move(m: &Move, now: WallTime, found: &mut Vec<UpdateViolation>) {
    let start = m.start.max(now);
    if start + m.watch >= m.finish_by {
        let reason = format!("it cannot finish by {}: too little time is left", m.finish_by);
        let hint = "set a later finish-by or a shorter watch";
        let title = format!("move {}", m.name).into();
        found.push(UpdateViolation { title, reason: reason.into(), hint: hint.into() });
    }
}

fn has_version(set: &DeclarationSet, service: &ServiceName, version: &VersionName) -> bool {
    set.versions.contains_key(&(service.clone(), version.clone()))
}
