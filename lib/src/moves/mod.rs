//! Gradual moves of a service from one version to another, with automatic roll-back.
//!
//! [`controller::Moves`] counts attempts ([`evidence`]), compares the new version with the old one
//! ([`regression`]), raises the share of the new version step by step ([`schedule`]) and ends each
//! move exactly once, by its deadline ([`resolution`]). See `docs/design/moves.md`.

pub mod active_move;
pub mod controller;
pub mod evidence;
pub mod message;
pub mod metrics;
pub mod regression;
pub mod report;
pub mod resolution;
pub mod schedule;
pub mod share;

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{declaration::Move, ids::MoveName};

/// Identifies a move.
///
/// A move whose service, versions or times are edited is a different move under the same name, with
/// its own evidence and end.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MoveId {
    pub name: MoveName,
    /// The hash of the service, the versions and the times.
    pub digest: u64,
}

impl MoveId {
    pub fn from_definition(m: &Move) -> Self {
        let text = format!(
            "{} {} {} {} {} {}",
            m.service,
            m.from,
            m.to,
            m.start.0,
            m.finish_by.0,
            m.watch.as_millis()
        );
        Self { name: m.name.clone(), digest: xxh3_64(text.as_bytes()) }
    }
}

impl fmt::Display for MoveId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:016x}", self.name, self.digest)
    }
}
