//! The platform's object API, host list and cloud, as the slices see them.
//!
//! A slice asks for an [`Operation`] and later gets a [`Reply`] or a [`CallError`]. The error says
//! whether the operation can have taken effect, since a write may be applied while its answer is
//! lost. [`memory`] keeps the objects of tests and of the stand-in; [`http`] calls a real platform.

pub mod client;
pub mod cloud;
pub mod http;
pub mod memory;
pub mod token_bucket;
pub mod wire;

use std::{fmt, time::Duration};

use bytes::Bytes;
use thiserror::Error;

use crate::{
    ids::{DataCentre, Revision},
    upstream::HostRecord,
};

/// The largest value that the object API takes, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// Names an object of the platform; parts are separated by `/`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ObjectKey(Box<str>);

impl ObjectKey {
    /// Makes a key from its text.
    pub fn new(text: impl Into<Box<str>>) -> Self {
        Self(text.into())
    }

    /// Returns the key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for ObjectKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// An object with the revision of its last write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// The object's key.
    pub key: ObjectKey,
    /// The revision of its last write.
    pub revision: Revision,
    /// Its whole value.
    pub value: Bytes,
}

/// What must be true of an object for a write to take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// The object does not exist.
    Absent,
    /// The object's last write has this revision.
    Revision(Revision),
}

/// One call to the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Reads one object.
    Get(ObjectKey),
    /// Writes one object if the condition holds.
    Put {
        /// The object to write.
        key: ObjectKey,
        /// Its new value, at most [`MAX_VALUE_BYTES`].
        value: Bytes,
        /// What must be true for the write to take effect.
        condition: Condition,
    },
    /// Deletes one object if the condition holds.
    Delete {
        /// The object to delete.
        key: ObjectKey,
        /// What must be true for the deletion to take effect.
        condition: Condition,
    },
    /// Lists the keys and revisions below a prefix.
    List(Box<str>),
    /// Waits for changes below a prefix after a revision; it counts as one call.
    Watch {
        /// The prefix to watch.
        prefix: Box<str>,
        /// Only changes after this revision are told.
        after: Revision,
        /// How long the platform may hold the call when nothing changes.
        wait: Duration,
    },
    /// Reads the host list of one data centre, or waits for a newer one.
    Hosts {
        /// The data centre whose hosts are wanted, or all.
        data_centre: Option<DataCentre>,
        /// The revision of the list already held.
        after: Revision,
        /// How long the platform may hold the call when nothing changes.
        wait: Duration,
    },
    /// Calls the cloud API.
    Cloud(cloud::CloudCall),
}

impl Operation {
    /// Says whether the operation can change anything.
    pub fn is_write(&self) -> bool {
        match self {
            Self::Put { .. } | Self::Delete { .. } => true,
            Self::Cloud(call) => call.is_write(),
            Self::Get(_) | Self::List(_) | Self::Watch { .. } | Self::Hosts { .. } => false,
        }
    }
}

/// The order in which calls get their turn when the budget is short.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Priority {
    /// Claims, verdicts and leases.
    Safety,
    /// What is in force, and the host list.
    Configuration,
    /// Statistics and the audit trail.
    Background,
}

/// A change that a watch tells of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The object that changed.
    pub key: ObjectKey,
    /// The revision of the change.
    pub revision: Revision,
    /// Whether the object is gone.
    pub deleted: bool,
}

/// The platform's answer to an [`Operation`].
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// Answers `Get`; `None` if there is no such object.
    Object(Option<Object>),
    /// Answers `Put` and `Delete` with the revision of the write.
    Written(Revision),
    /// Answers `List` with keys and revisions.
    Listed(Vec<(ObjectKey, Revision)>),
    /// Answers `Watch`; `revision` is where the next watch goes on.
    Changes {
        /// The revision up to which `changes` is complete.
        revision: Revision,
        /// The last change of each object below the prefix.
        changes: Vec<Change>,
    },
    /// Answers `Hosts`; the whole list of the data centre.
    Hosts {
        /// The revision of the list.
        revision: Revision,
        /// The hosts that are live or leaving.
        hosts: Vec<HostRecord>,
    },
    /// Answers `Cloud`.
    Cloud(cloud::CloudReply),
}

/// Says why a call to the platform brought no reply.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum CallError {
    /// The condition did not hold; the write had no effect.
    #[error("the object has changed: its revision is {0:?}")]
    Conflict(Option<Revision>),
    /// The platform refused the call before it had any effect.
    #[error("the platform is unavailable")]
    Unavailable,
    /// The platform's rate limit refused the call; it had no effect.
    #[error("the platform's rate limit is reached")]
    RateLimited,
    /// No answer came; a write may have taken effect, now or later.
    #[error("no answer came, the call may have taken effect")]
    Unknown,
    /// The platform refused the call for good; it had no effect.
    #[error("the platform refused the call: {0}")]
    Refused(Box<str>),
}
