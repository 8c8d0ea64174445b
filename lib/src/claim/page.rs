//! The pages of one shard, and the decision on an item by the record of its key.
//!
//! A shard has one head page, which is changed only by conditional update, and sealed pages, which
//! are immutable. A full head is copied into a sealed page named after the head's revision, and the
//! next head lists it. See `docs/design/claims.md`.

use std::time::Duration;

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    claim::{
        ClaimId, StoredResponse,
        item::{Item, ItemAnswer, ItemOperation},
    },
    ids::{RequestId, Revision, ServiceName},
    store::ObjectKey,
    units::WallTime,
};

/// The number of shards of each service. It is not configurable, as daemons with different values
/// would not see each other's claims.
pub const SHARDS: u32 = 8;

/// Identifies one shard of a service's keys.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ShardKey {
    pub service: ServiceName,
    /// The shard's index, less than [`SHARDS`].
    pub number: u32,
}

impl ShardKey {
    /// Returns the shard that holds a key.
    pub fn of(service: &ServiceName, key: &str) -> Self {
        let number = (xxh3_64(key.as_bytes()) % u64::from(SHARDS)) as u32;
        Self { service: service.clone(), number }
    }

    /// Returns the object key of the head page.
    pub fn head(&self) -> ObjectKey {
        ObjectKey::new(format!("claims/{}/{}/head", self.service, self.number))
    }

    /// Returns the common prefix of the object keys of all sealed pages.
    pub fn sealed_prefix(&self) -> Box<str> {
        format!("claims/{}/{}/sealed/", self.service, self.number).into()
    }

    /// Returns the common prefix of the object keys of all summaries.
    pub fn summary_prefix(&self) -> Box<str> {
        format!("claims/{}/{}/summary/", self.service, self.number).into()
    }

    /// Returns the object key of the summary of the sealed pages that the head lists at `revision`.
    pub fn summary(&self, revision: Revision) -> ObjectKey {
        ObjectKey::new(format!("{}{revision}", self.summary_prefix()))
    }

    /// Returns the common prefix of the object keys of all pages of the shard.
    pub fn prefix(&self) -> Box<str> {
        format!("claims/{}/{}/", self.service, self.number).into()
    }

    /// Returns the object key of the sealed copy of the head at `revision`.
    pub fn sealed(&self, revision: Revision) -> ObjectKey {
        ObjectKey::new(format!("{}{revision}", self.sealed_prefix()))
    }
}

/// The state of a claimed call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordState {
    /// The call was or will be dispatched, and its outcome is unknown.
    Claimed,
    /// The call ran.
    Ran(StoredResponse),
    /// The call did not run and never will under this claim id.
    Released,
}

/// The claim of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The claim request that created the claim.
    pub id: ClaimId,
    /// The request that created the claim.
    pub request: RequestId,
    /// Distinguishes a repeated call from a different call under the same key.
    pub digest: [u8; 32],
    /// The time of the claim or release, from which retention counts. Storing the response does not
    /// change it.
    pub at: WallTime,
    pub state: RecordState,
}

impl Record {
    fn expired(&self, wall: WallTime, retention: Duration) -> bool {
        self.at + retention < wall
    }
}

/// The head's entry for a summary of several sealed pages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SummaryRef {
    /// The revision of the head whose sealed pages the summary covers.
    pub revision: Revision,
    /// The first sealed page that the summary covers; all others lie between it and `revision`.
    pub first: Revision,
    /// The time of the most recent claim in the pages.
    pub newest: WallTime,
}

/// The head's entry for a sealed page.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SealedRef {
    /// The revision of the head that the page was copied from.
    pub revision: Revision,
    /// The time of the most recent claim in the page.
    pub newest: WallTime,
}

/// A head page or a sealed page.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    pub records: IndexMap<Box<str>, Record>,
    /// The sealed pages that no summary covers, oldest first; empty in a sealed page.
    pub sealed: Vec<SealedRef>,
    /// The summaries of older sealed pages, oldest first; empty in a sealed page.
    pub summaries: Vec<SummaryRef>,
}

/// The decision on an item, given the latest record of its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The record decides the item; nothing needs to be written.
    Answer(ItemAnswer),
    /// The item requires this record to be written.
    Write(Record),
}

/// Decides an item by the latest record of its key. An expired record counts as none.
pub fn decide(
    item: &Item,
    record: Option<&Record>,
    wall: WallTime,
    retention: Duration,
) -> Decision {
    let record = record.filter(|record| !record.expired(wall, retention));
    match &item.operation {
        ItemOperation::Claim => decide_claim(item, record, wall),
        ItemOperation::Store(response) => decide_store(item, record, response),
        ItemOperation::Release => decide_release(item, record, wall),
    }
}

fn decide_claim(item: &Item, record: Option<&Record>, wall: WallTime) -> Decision {
    let Some(record) = record else {
        return Decision::Write(new_record(item, wall, RecordState::Claimed));
    };
    let same_id = record.id == item.id;
    let same_call = record.digest == item.digest;
    match &record.state {
        // A repeated item that arrives after its release; its daemon no longer waits for an answer.
        RecordState::Released if same_id => Decision::Answer(ItemAnswer::Unresolved),
        RecordState::Released => Decision::Write(new_record(item, wall, RecordState::Claimed)),
        RecordState::Claimed if same_id => Decision::Answer(ItemAnswer::Granted),
        _ if !same_call => Decision::Answer(ItemAnswer::OtherCall),
        RecordState::Ran(response) => Decision::Answer(ItemAnswer::Stored(response.clone())),
        RecordState::Claimed => Decision::Answer(ItemAnswer::Unresolved),
    }
}

fn decide_store(item: &Item, record: Option<&Record>, response: &StoredResponse) -> Decision {
    match record {
        Some(record) if record.id == item.id && record.state == RecordState::Claimed => {
            let state = RecordState::Ran(response.clone());
            Decision::Write(Record { state, ..record.clone() })
        }
        _ => Decision::Answer(ItemAnswer::Done),
    }
}

fn decide_release(item: &Item, record: Option<&Record>, wall: WallTime) -> Decision {
    match record {
        Some(record) if record.id == item.id && record.state != RecordState::Claimed => {
            Decision::Answer(ItemAnswer::Done)
        }
        Some(record) if record.id != item.id && record.state != RecordState::Released => {
            Decision::Answer(ItemAnswer::Done)
        }
        // The release is written even without a record: the new revision of the head prevents an
        // earlier write of the claim from taking effect late.
        _ => Decision::Write(new_record(item, wall, RecordState::Released)),
    }
}

fn new_record(item: &Item, wall: WallTime, state: RecordState) -> Record {
    let Item { id, request, digest, .. } = item;
    Record { id: id.clone(), request: request.clone(), digest: *digest, at: wall, state }
}

impl Page {
    /// Removes expired records and entries, and reports whether any were removed.
    pub fn expire(&mut self, wall: WallTime, retention: Duration) -> bool {
        let before = (self.records.len(), self.sealed.len(), self.summaries.len());
        self.records.retain(|_, record| !record.expired(wall, retention));
        self.sealed.retain(|sealed| sealed.newest + retention >= wall);
        self.summaries.retain(|summary| summary.newest + retention >= wall);
        before != (self.records.len(), self.sealed.len(), self.summaries.len())
    }

    /// Returns the head that follows this one once it has been sealed at `revision`: without
    /// records, and with an entry for the sealed page.
    #[must_use]
    pub fn after_sealing(&self, revision: Revision) -> Self {
        let newest = self.records.values().map(|record| record.at).max().unwrap_or_default();
        let mut next = self.clone();
        next.records.clear();
        next.sealed.push(SealedRef { revision, newest });
        next
    }

    /// Returns the head that lists the summary at `revision` in place of its sealed pages.
    #[must_use]
    pub fn after_summary(&self, revision: Revision) -> Self {
        let newest = self.sealed.iter().map(|sealed| sealed.newest).max().unwrap_or_default();
        let first = self.sealed.first().map_or(revision, |sealed| sealed.revision);
        let mut next = self.clone();
        next.sealed.clear();
        next.summaries.push(SummaryRef { revision, first, newest });
        next
    }

    /// Returns the revision of the oldest sealed page that the head or its summaries list.
    pub fn oldest(&self) -> Option<Revision> {
        let summaries = self.summaries.iter().map(|summary| summary.first);
        summaries.chain(self.sealed.iter().map(|sealed| sealed.revision)).min()
    }

    /// Reports whether the head lists the sealed page, or a summary whose range contains it.
    pub fn needs(&self, sealed: Revision) -> bool {
        self.sealed.iter().any(|listed| listed.revision == sealed)
            || self.summaries.iter().any(|s| (s.first..=s.revision).contains(&sealed))
    }

    /// Returns a copy of the page's records without its lists of pages.
    #[must_use]
    pub fn sealed_copy(&self) -> Self {
        Self { records: self.records.clone(), ..Self::default() }
    }
}
