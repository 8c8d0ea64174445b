//! The audit trail: who or which rule changed what, when and why.
//!
//! A slice emits an [`Event`]; the trail stamps it with the daemon and the time, keeps it in a
//! bounded buffer and appends it to segments in the platform. See `docs/design/audit.md`.

pub mod trail;
pub mod wire;

use std::fmt;

use crate::{
    ids::{DaemonId, Generation},
    units::WallTime,
};

/// What the keys of all segments begin with; the time of the first record follows.
pub const PREFIX: &str = "audit/";
/// The longest text that a record keeps of an object, action or cause, in bytes.
pub const MAX_TEXT_BYTES: usize = 512;

/// Who or what made a change.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Actor {
    /// An operator, by the name given when the change was made.
    Operator(Box<str>),
    /// A rule of the system, such as `move-verdict` or `supply-plan`.
    Rule(Box<str>),
}

impl Actor {
    /// Returns the operator's or the rule's name.
    pub fn name(&self) -> &str {
        match self {
            Self::Operator(name) | Self::Rule(name) => name,
        }
    }
}

impl fmt::Display for Actor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Operator(name) => write!(f, "operator:{name}"),
            Self::Rule(name) => write!(f, "rule:{name}"),
        }
    }
}

/// One change, as the slice that made it describes it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Event {
    /// Who or which rule made the change.
    pub actor: Actor,
    /// What was changed, such as `move lantern-v2` or `host h-17`.
    pub object: Box<str>,
    /// What was done to it, such as `taken-back` or `started`.
    pub action: Box<str>,
    /// The generation in force when the change was made, from which it follows.
    pub generation: Generation,
    /// Why it was done, in one sentence.
    pub cause: Box<str>,
}

/// One change, as the trail keeps it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Record {
    /// When it was made, by the clock of the daemon or command that made it.
    pub at: WallTime,
    /// The daemon that made it; `None` if a command did.
    pub daemon: Option<DaemonId>,
    /// Counts the records of one segment's writer, so that a lost answer is settled.
    pub number: u64,
    /// The change.
    pub event: Event,
}

/// Returns the key of a segment whose first record is of this time.
pub fn segment_key(at: WallTime, writer: &str, segment: u64) -> String {
    format!("{PREFIX}{:015}-{writer}-{segment}", at.0)
}

/// Returns the time of a segment's first record, as its key tells it.
pub fn segment_time(key: &str) -> Option<WallTime> {
    let (millis, _) = key.strip_prefix(PREFIX)?.split_once('-')?;
    millis.parse().ok().map(WallTime)
}
