//! An in-memory object store with the semantics of the platform's object API.
//!
//! The platform stand-in serves it over HTTP; tests use it directly.

use std::collections::BTreeMap;

use bytes::Bytes;

use crate::{
    ids::Revision,
    store::{CallError, Change, Condition, MAX_VALUE_BYTES, Object, ObjectKey, Operation, Reply},
};

/// The objects, and the revisions of their last writes and deletions.
#[derive(Clone, Debug, Default)]
pub struct MemoryStore {
    objects: BTreeMap<ObjectKey, Object>,
    deleted: BTreeMap<ObjectKey, Revision>,
    revision: Revision,
}

impl MemoryStore {
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the revision of the last write.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Performs an operation on objects; operations on hosts and the cloud are refused.
    pub fn apply(&mut self, operation: &Operation) -> Result<Reply, CallError> {
        match operation {
            Operation::Get(key) => Ok(Reply::Object(self.objects.get(key).cloned())),
            Operation::Put { key, value, condition } => self.put(key, value, *condition),
            Operation::Delete { key, condition } => self.delete(key, *condition),
            Operation::List(prefix) => Ok(Reply::Listed(self.list(prefix))),
            Operation::Watch { prefix, after, .. } => Ok(self.changes(prefix, *after)),
            Operation::Hosts { .. } | Operation::Cloud(_) => {
                Err(CallError::Refused("the object store has no such call".into()))
            }
        }
    }

    fn put(
        &mut self,
        key: &ObjectKey,
        value: &Bytes,
        condition: Condition,
    ) -> Result<Reply, CallError> {
        if value.len() > MAX_VALUE_BYTES {
            return Err(CallError::Refused("the value is too large".into()));
        }
        self.check(key, condition)?;
        self.revision = self.revision.next();
        let object = Object { key: key.clone(), revision: self.revision, value: value.clone() };
        self.objects.insert(key.clone(), object);
        self.deleted.remove(key);
        Ok(Reply::Written(self.revision))
    }

    fn delete(&mut self, key: &ObjectKey, condition: Condition) -> Result<Reply, CallError> {
        self.check(key, condition)?;
        self.revision = self.revision.next();
        if self.objects.remove(key).is_some() {
            self.deleted.insert(key.clone(), self.revision);
        }
        Ok(Reply::Written(self.revision))
    }

    fn check(&self, key: &ObjectKey, condition: Condition) -> Result<(), CallError> {
        let current = self.objects.get(key).map(|object| object.revision);
        let holds = match condition {
            Condition::Absent => current.is_none(),
            Condition::Revision(revision) => current == Some(revision),
        };
        if holds { Ok(()) } else { Err(CallError::Conflict(current)) }
    }

    fn list(&self, prefix: &str) -> Vec<(ObjectKey, Revision)> {
        let matching =
            self.objects.values().filter(|object| object.key.as_str().starts_with(prefix));
        matching.map(|object| (object.key.clone(), object.revision)).collect()
    }

    fn changes(&self, prefix: &str, after: Revision) -> Reply {
        let written = self.objects.values().map(|object| Change {
            key: object.key.clone(),
            revision: object.revision,
            deleted: false,
        });
        let deleted = self.deleted.iter().map(|(key, &revision)| Change {
            key: key.clone(),
            revision,
            deleted: true,
        });
        let mut changes: Vec<Change> = written
            .chain(deleted)
            .filter(|change| change.revision > after && change.key.as_str().starts_with(prefix))
            .collect();
        changes.sort_by_key(|change| change.revision);
        Reply::Changes { revision: self.revision, changes }
    }
}
