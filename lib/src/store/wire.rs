//! The JSON bodies of the platform's HTTP interface.

use serde::{Deserialize, Deserializer, Serialize, de::DeserializeOwned};
use serde_json::value::RawValue;

use crate::{
    ids::Revision,
    store::{
        Change, ObjectKey,
        cloud::{CloudHost, Offer, ReclaimNotice},
    },
    upstream::HostRecord,
};

/// Reads a list of entries of which others write some, and leaves out those that cannot be read: one of them
/// must not keep this daemon from following the rest.
fn readable_entries<'de, D, T>(deserializer: D) -> Result<Vec<T>, D::Error>
where
    D: Deserializer<'de>,
    T: DeserializeOwned,
{
    let entries = Vec::<Box<RawValue>>::deserialize(deserializer)?;
    let readable = |text: Box<RawValue>| match serde_json::from_str(text.get()) {
        Ok(entry) => Some(entry),
        Err(error) => {
            log::warn!(event = "unreadable-entry", kind = std::any::type_name::<T>(), error:%; "an entry of a list of the platform is left out");
            None
        }
    };
    Ok(entries.into_iter().filter_map(readable).collect())
}

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
    #[serde(deserialize_with = "readable_entries")]
    pub hosts: Vec<HostRecord>,
}

/// The response to a call for offers.
#[derive(Debug, Serialize, Deserialize)]
pub struct OffersWire {
    #[serde(deserialize_with = "readable_entries")]
    pub offers: Vec<Offer>,
}

/// The response to a call for the billed hosts.
#[derive(Debug, Serialize, Deserialize)]
pub struct CloudHostsWire {
    #[serde(deserialize_with = "readable_entries")]
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
    #[serde(deserialize_with = "readable_entries")]
    pub notices: Vec<ReclaimNotice>,
}
