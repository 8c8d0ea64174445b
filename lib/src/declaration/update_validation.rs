//! Validates a set against the published one, at the time of publication.

use std::fmt;

use crate::{
    declaration::{DeclarationSet, Move},
    ids::{ServiceName, VersionName},
    units::WallTime,
};

/// The reason why one object of a set cannot be published over the current set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpdateViolation {
    /// The section title of the object, such as `move spring`.
    pub title: Box<str>,
    pub reason: Box<str>,
    /// A suggestion how to fix it.
    pub hint: Box<str>,
}

impl fmt::Display for UpdateViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "[{}]: {} (hint: {})", self.title, self.reason, self.hint)
    }
}

/// Returns every reason why `new` cannot be published over `current` now.
///
/// While a move is running, its versions, its times and the version of its service cannot change;
/// removing the move is allowed and rolls it back. A new move must have enough time left.
pub fn validate_update(
    current: &DeclarationSet,
    new: &DeclarationSet,
    now: WallTime,
) -> Vec<UpdateViolation> {
    let mut violations = Vec::new();
    for m in current.moves.values().filter(|m| m.start <= now && now < m.finish_by) {
        check_running_move(current, new, m, &mut violations);
    }
    for m in new.moves.values().filter(|m| current.moves.get(&m.name) != Some(m)) {
        check_new_move(m, now, &mut violations);
    }
    violations
}

fn check_running_move(
    current: &DeclarationSet,
    new: &DeclarationSet,
    m: &Move,
    violations: &mut Vec<UpdateViolation>,
) {
    let title: Box<str> = format!("move {}", m.name).into();
    for version in [&m.from, &m.to] {
        if new.services.contains_key(&m.service) && !has_version(new, &m.service, version) {
            let reason =
                format!("version {}/{version} is removed while the move is running", m.service);
            let hint = "keep it until the move's finish-by has passed";
            violations.push(UpdateViolation {
                title: title.clone(),
                reason: reason.into(),
                hint: hint.into(),
            });
        }
    }
    match new.moves.get(&m.name) {
        Some(changed) if changed != m => {
            let reason = "it is changed while it is running".into();
            let hint =
                "remove it, which rolls it back, and declare a move with another name".into();
            violations.push(UpdateViolation { title: title.clone(), reason, hint });
        }
        _ => {}
    }
    let version_of = |set: &DeclarationSet| Some(set.services.get(&m.service)?.version.clone());
    let version = version_of(new);
    if version.is_some() && version != version_of(current) {
        let reason =
            format!("the version of service {} changes while its move is running", m.service);
        let hint = "change it once the move's finish-by has passed";
        let title = format!("service {}", m.service).into();
        violations.push(UpdateViolation { title, reason: reason.into(), hint: hint.into() });
    }
}

fn check_new_move(m: &Move, now: WallTime, violations: &mut Vec<UpdateViolation>) {
    let start = m.start.max(now);
    if start + m.watch >= m.finish_by {
        let reason = format!("it cannot finish by {}: too little time is left", m.finish_by);
        let hint = "set a later finish-by or a shorter watch";
        let title = format!("move {}", m.name).into();
        violations.push(UpdateViolation { title, reason: reason.into(), hint: hint.into() });
    }
}

fn has_version(set: &DeclarationSet, service: &ServiceName, version: &VersionName) -> bool {
    set.versions.contains_key(&(service.clone(), version.clone()))
}
