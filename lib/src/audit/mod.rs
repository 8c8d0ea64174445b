//! The audit trail: which operator or rule changed what, when and why.
//!
//! A state machine emits an [`Event`]; the trail adds the daemon and the time, keeps it in a
//! bounded buffer and appends it to segments in the platform. See `docs/design/audit.md`.

pub mod trail;
pub mod wire;

use std::fmt;

use crate::{
    ids::{DaemonId, Generation},
    units::WallTime,
};

/// The prefix of all segment keys; the time of the segment's first record follows it.
pub const PREFIX: &str = "audit/";
/// The maximum length of a record's actor, object, action and cause, in bytes; longer ones are
/// truncated.
pub const MAX_TEXT_BYTES: usize = 512;

/// The operator or rule that made a change.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Actor {
    /// An operator, by the name given with the change.
    Operator(Box<str>),
    /// A rule of the system, such as `move-verdict` or `supply-plan`.
    Rule(Box<str>),
}

impl Actor {
    /// Returns the name of the operator or rule.
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

/// One change, as reported by the state machine that made it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Event {
    pub actor: Actor,
    /// The changed object, such as `move lantern-v2` or `host h-17`.
    pub object: Box<str>,
    /// What was done to the object, such as `taken-back` or `started`.
    pub action: Box<str>,
    /// The generation that was active when the change was made and that led to it.
    pub generation: Generation,
    /// The reason for the change, in one sentence.
    pub cause: Box<str>,
}

/// One change, as stored in the trail.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Record {
    /// When the change was made, by the clock of the daemon or command that made it.
    pub at: WallTime,
    /// The daemon that made the change; `None` if a command made it.
    pub daemon: Option<DaemonId>,
    /// The sequence number within the records of one writer; shows after a lost response which
    /// records were written.
    pub number: u64,
    pub event: Event,
}

/// Returns the key of a segment whose first record has this time.
pub fn segment_key(at: WallTime, writer: &str, segment: u64) -> String {
    format!("{PREFIX}{:015}-{writer}-{segment}", at.0)
}

/// Returns the time of a segment's first record, taken from the segment's key.
pub fn segment_time(key: &str) -> Option<WallTime> {
    let (millis, _) = key.strip_prefix(PREFIX)?.split_once('-')?;
    millis.parse().ok().map(WallTime)
}
