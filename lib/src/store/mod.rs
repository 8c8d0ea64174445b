//! The interface of the state machines to the platform: object API, host list and cloud.
//!
//! A state machine requests an [`Operation`] and later receives a [`Reply`] or a [`CallError`]. The
//! error states whether the operation can have taken effect, since a write may be applied although
//! its response is lost. [`memory`] stores the objects of tests and of the stand-in; [`http`] calls
//! a real platform.

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

/// The maximum size of a value that the object API accepts, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// The key of an object of the platform; its parts are separated by `/`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ObjectKey(Box<str>);

impl ObjectKey {
    pub fn new(text: impl Into<Box<str>>) -> Self {
        Self(text.into())
    }

    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for ObjectKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// An object and the revision of its last write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    pub key: ObjectKey,
    pub revision: Revision,
    pub value: Bytes,
}

/// The precondition of a write on the current state of the object.
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
        key: ObjectKey,
        /// The new value, at most [`MAX_VALUE_BYTES`] long.
        value: Bytes,
        condition: Condition,
    },
    /// Deletes one object if the condition holds.
    Delete { key: ObjectKey, condition: Condition },
    /// Lists the keys and revisions of the objects whose keys start with a prefix.
    List(Box<str>),
    /// Waits for changes below a prefix after a revision; counts as one call towards rate limits.
    Watch {
        prefix: Box<str>,
        /// Only changes after this revision are reported.
        after: Revision,
        /// How long the platform may hold the call while nothing changes.
        wait: Duration,
    },
    /// Reads the host list of one data centre, or waits for a newer one.
    Hosts {
        /// The data centre whose hosts are requested; `None` for all.
        data_centre: Option<DataCentre>,
        /// The revision of the list that the caller already has.
        after: Revision,
        /// How long the platform may hold the call while nothing changes.
        wait: Duration,
    },
    /// Calls the cloud API.
    Cloud(cloud::CloudCall),
}

impl Operation {
    /// Reports whether the operation can change the platform's state.
    pub fn is_write(&self) -> bool {
        match self {
            Self::Put { .. } | Self::Delete { .. } => true,
            Self::Cloud(call) => call.is_write(),
            Self::Get(_) | Self::List(_) | Self::Watch { .. } | Self::Hosts { .. } => false,
        }
    }
}

/// The priority of a call when the rate budget is exhausted, highest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Priority {
    /// Claims, steps and outcomes of moves, leases and reclaim notices.
    Safety,
    /// The configuration and the host list.
    Configuration,
    /// Statistics and the audit trail.
    Background,
}

/// A change reported by a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    pub key: ObjectKey,
    pub revision: Revision,
    /// Whether the object was deleted.
    pub deleted: bool,
}

/// The platform's response to an [`Operation`].
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The response to `Get`; `None` if the object does not exist.
    Object(Option<Object>),
    /// The response to `Put` and `Delete`, with the revision of the write.
    Written(Revision),
    /// The response to `List`, with keys and revisions.
    Listed(Vec<(ObjectKey, Revision)>),
    /// The response to `Watch`; the next watch passes `revision` as its `after`.
    Changes {
        /// The revision up to which `changes` is complete.
        revision: Revision,
        /// The last change of each object below the prefix.
        changes: Vec<Change>,
    },
    /// The response to `Hosts`, with the whole list of the requested data centres.
    Hosts {
        revision: Revision,
        /// The hosts that are live or leaving.
        hosts: Vec<HostRecord>,
    },
    /// The response to `Cloud`.
    Cloud(cloud::CloudReply),
}

/// The reason why a call to the platform returned no reply.
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
    /// No valid response arrived; a write may have taken effect or may still do so.
    #[error("no response from the platform; the call may have taken effect")]
    Unknown,
    /// The platform refused the call permanently; it had no effect.
    #[error("the platform refused the call: {0}")]
    Refused(Box<str>),
}
