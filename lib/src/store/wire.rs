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

/// The response to a list call.
#[derive(Debug, Serialize, Deserialize)]
pub struct ListWire {
    /// Keys with the revisions of their last writes.
    pub objects: Vec<(Box<str>, Revision)>,
}

/// The response to a watch.
#[derive(Debug, Serialize, Deserialize)]
pub struct ChangesWire {
    /// The revision up to which `changes` is complete.
    pub revision: Revision,
    pub changes: Vec<ChangeWire>,
}

/// One change reported by a watch.
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

/// The response to a call for the host list.
#[derive(Debug, Serialize, Deserialize)]
pub struct HostsWire {
    pub revision: Revision,
    pub hosts: Vec<HostRecord>,
}

/// The response to a call for offers.
#[derive(Debug, Serialize, Deserialize)]
pub struct OffersWire {
    pub offers: Vec<Offer>,
}

/// The response to a call for the billed hosts.
#[derive(Debug, Serialize, Deserialize)]
pub struct CloudHostsWire {
    pub hosts: Vec<CloudHost>,
}

/// The response to a call that starts a host.
#[derive(Debug, Serialize, Deserialize)]
pub struct StartedWire {
    pub host: crate::ids::HostId,
}

/// The response to a call for reclaim notices.
#[derive(Debug, Serialize, Deserialize)]
pub struct NoticesWire {
    /// The revision to pass to the next call.
    pub revision: Revision,
    pub notices: Vec<ReclaimNotice>,
}
