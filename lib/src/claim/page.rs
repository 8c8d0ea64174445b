//! The records of one shard, and what a record means for an item.
//!
//! A shard has one head page, changed only by conditional update, and sealed pages that never
//! change. A full head is copied into a sealed page named by the head's revision, and the next
//! head lists it. See `docs/design/claims.md`.

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

/// The shards of each service. Daemons that disagreed would not see each other's claims, so it is
/// no setting.
pub const SHARDS: u32 = 8;

/// Names one shard of one service's keys.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ShardKey {
    /// The service.
    pub service: ServiceName,
    /// The number of the shard, below [`SHARDS`].
    pub number: u32,
}

impl ShardKey {
    /// Returns the shard that holds a key.
    pub fn of(service: &ServiceName, key: &str) -> Self {
        let number = (xxh3_64(key.as_bytes()) % u64::from(SHARDS)) as u32;
        Self { service: service.clone(), number }
    }

    /// Returns the name of the head page.
    pub fn head(&self) -> ObjectKey {
        ObjectKey::new(format!("claims/{}/{}/head", self.service, self.number))
    }

    /// Returns what the names of all sealed pages begin with.
    pub fn sealed_prefix(&self) -> Box<str> {
        format!("claims/{}/{}/sealed/", self.service, self.number).into()
    }

    /// Returns what the names of all summaries begin with.
    pub fn summary_prefix(&self) -> Box<str> {
        format!("claims/{}/{}/summary/", self.service, self.number).into()
    }

    /// Returns the name of the summary of the pages that the head lists at this revision.
    pub fn summary(&self, revision: Revision) -> ObjectKey {
        ObjectKey::new(format!("{}{revision}", self.summary_prefix()))
    }

    /// Returns what the names of all pages of the shard begin with.
    pub fn prefix(&self) -> Box<str> {
        format!("claims/{}/{}/", self.service, self.number).into()
    }

    /// Returns the name of the sealed copy of the head at this revision.
    pub fn sealed(&self, revision: Revision) -> ObjectKey {
        ObjectKey::new(format!("{}{revision}", self.sealed_prefix()))
    }
}

/// What is known of a claimed call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordState {
    /// It was or will be dispatched, and its end is not known.
    Claimed,
    /// It ran.
    Ran(StoredResponse),
    /// It did not run and never will under this id.
    Released,
}

/// The claim of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The ask that made the claim.
    pub id: ClaimId,
    /// The request that made the claim.
    pub request: RequestId,
    /// Tells a repeated call from another under the same key.
    pub digest: [u8; 32],
    /// When the claim was made.
    pub at: WallTime,
    /// What is known of the call.
    pub state: RecordState,
}

impl Record {
    fn expired(&self, wall: WallTime, retention: Duration) -> bool {
        self.at + retention < wall
    }
}

/// Several sealed pages, as the head lists their summary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SummaryRef {
    /// The revision of the head whose sealed pages it covers.
    pub revision: Revision,
    /// The first sealed page that it covers; all others lie between it and `revision`.
    pub first: Revision,
    /// When the youngest claim of the pages was made.
    pub newest: WallTime,
}

/// A sealed page, as the head lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SealedRef {
    /// The revision of the head that the page is a copy of.
    pub revision: Revision,
    /// When the youngest claim of the page was made.
    pub newest: WallTime,
}

/// The records of a head or sealed page.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The records by key.
    pub records: IndexMap<Box<str>, Record>,
    /// The sealed pages that no summary covers, oldest first; empty in a sealed page.
    pub sealed: Vec<SealedRef>,
    /// The summaries of older sealed pages, oldest first; empty in a sealed page.
    pub summaries: Vec<SummaryRef>,
}

/// What the last record of a key means for an item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The item is answered.
    Answer(ItemAnswer),
    /// The item needs this record written.
    Write(Record),
}

/// Judges an item by the last record of its key.
pub fn decide(
    item: &Item,
    record: Option<&Record>,
    wall: WallTime,
    retention: Duration,
) -> Decision {
    let record = record.filter(|record| !record.expired(wall, retention));
    match &item.item_operation {
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
        // A repeated ask arrives after its release: its daemon no longer waits for it.
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
        // Without a record the release is written nevertheless: the new revision of the head
        // keeps an earlier write of the claim from taking effect late.
        _ => Decision::Write(new_record(item, wall, RecordState::Released)),
    }
}

fn new_record(item: &Item, wall: WallTime, state: RecordState) -> Record {
    let Item { id, request, digest, .. } = item;
    Record { id: id.clone(), request: request.clone(), digest: *digest, at: wall, state }
}

impl Page {
    /// Drops what is past its retention; returns whether anything was.
    pub fn expire(&mut self, wall: WallTime, retention: Duration) -> bool {
        let before = (self.records.len(), self.sealed.len(), self.summaries.len());
        self.records.retain(|_, record| !record.expired(wall, retention));
        self.sealed.retain(|sealed| sealed.newest + retention >= wall);
        self.summaries.retain(|summary| summary.newest + retention >= wall);
        before != (self.records.len(), self.sealed.len(), self.summaries.len())
    }

    /// Begins an empty page after this one, at `revision`, has been sealed.
    #[must_use]
    pub fn after_sealing(&self, revision: Revision) -> Self {
        let newest = self.records.values().map(|record| record.at).max().unwrap_or_default();
        let mut next = self.clone();
        next.records.clear();
        next.sealed.push(SealedRef { revision, newest });
        next
    }

    /// Lists one summary in place of all sealed pages of this one, at `revision`.
    #[must_use]
    pub fn after_summary(&self, revision: Revision) -> Self {
        let newest = self.sealed.iter().map(|sealed| sealed.newest).max().unwrap_or_default();
        let first = self.sealed.first().map_or(revision, |sealed| sealed.revision);
        let mut next = self.clone();
        next.sealed.clear();
        next.summaries.push(SummaryRef { revision, first, newest });
        next
    }

    /// Returns the oldest sealed page that the head may still need.
    pub fn oldest(&self) -> Option<Revision> {
        let summaries = self.summaries.iter().map(|summary| summary.first);
        summaries.chain(self.sealed.iter().map(|sealed| sealed.revision)).min()
    }

    /// Says whether the head may need the sealed page of this revision.
    pub fn needs(&self, sealed: Revision) -> bool {
        self.sealed.iter().any(|listed| listed.revision == sealed)
            || self.summaries.iter().any(|s| (s.first..=s.revision).contains(&sealed))
    }

    /// Returns the sealed copy of this page.
    #[must_use]
    pub fn sealed_copy(&self) -> Self {
        Self { records: self.records.clone(), ..Self::default() }
    }
}
