//! Moves between versions: shares, evidence, verdict, deadline and report.
//!
//! [`controller::Moves`] is the slice. It counts attempts ([`evidence`]), judges the new version against
//! the old one ([`regression`]), raises the share step by step ([`schedule`]) and ends each move
//! once, by its time ([`resolution`]). See `docs/design/moves.md`.

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

/// Tells the moves that were declared under one name apart.
///
/// A move whose versions or times are edited is another move, with evidence and an end of its own.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MoveId {
    /// The declared name.
    pub name: MoveName,
    /// The hash of what is declared under the name.
    pub digest: u64,
}

impl MoveId {
    /// Returns the identity of a declared move.
    pub fn of(m: &Move) -> Self {
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
