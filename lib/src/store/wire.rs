//! The JSON bodies of the platform's HTTP interface.

use serde::{Deserialize, Serialize};

use crate::{
    ids::Revision,
    store::{
        Change, ObjectKey,
        cloud::{CloudHost, Offer, ReclaimNotice},
    },
    upstream::HostRecord,
};

/// Answers a list of keys.
#[derive(Debug, Serialize, Deserialize)]
pub struct ListWire {
    /// Keys with the revisions of their last writes.
    pub objects: Vec<(Box<str>, Revision)>,
}

/// Answers a watch.
#[derive(Debug, Serialize, Deserialize)]
pub struct ChangesWire {
    /// The revision up to which `changes` is complete.
    pub revision: Revision,
    /// The changes.
    pub changes: Vec<ChangeWire>,
}

/// One change that a watch tells of.
#[derive(Debug, Serialize, Deserialize)]
pub struct ChangeWire {
    key: Box<str>,
    revision: Revision,
    deleted: bool,
}

impl From<Change> for ChangeWire {
    fn from(change: Change) -> Self {
        Self { key: change.key.as_str().into(), revision: change.revision, deleted: change.deleted }
    }
}

impl From<ChangeWire> for Change {
    fn from(wire: ChangeWire) -> Self {
        Self { key: ObjectKey::new(wire.key), revision: wire.revision, deleted: wire.deleted }
    }
}

/// Answers a call for the host list.
#[derive(Debug, Serialize, Deserialize)]
pub struct HostsWire {
    /// The revision of the list.
    pub revision: Revision,
    /// The hosts.
    pub hosts: Vec<HostRecord>,
}

/// Answers a call for offers.
#[derive(Debug, Serialize, Deserialize)]
pub struct OffersWire {
    /// The offers.
    pub offers: Vec<Offer>,
}

/// Answers a call for the hosts that are billed.
#[derive(Debug, Serialize, Deserialize)]
pub struct CloudHostsWire {
    /// The hosts.
    pub hosts: Vec<CloudHost>,
}

/// Answers a call for a host.
#[derive(Debug, Serialize, Deserialize)]
pub struct StartedWire {
    /// The host's name.
    pub host: crate::ids::HostId,
}

/// Answers a call for reclaim notices.
#[derive(Debug, Serialize, Deserialize)]
pub struct NoticesWire {
    /// Where the next call goes on.
    pub revision: Revision,
    /// The notices.
    pub notices: Vec<ReclaimNotice>,
}
