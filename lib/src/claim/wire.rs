//! The CBOR forms of claims, on the wire and in the store.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    claim::{
        ClaimId, StoredResponse,
        index::{Fingerprint, Sealed},
        item::{Item, ItemAnswer, ItemOperation},
        page::{Page, Record, RecordState, SealedRef, SummaryRef},
    },
    declaration::wire::WireError,
    ids::{DaemonId, Incarnation, RequestId, Revision, ServiceName},
    units::WallTime,
};

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ClaimIdWire(DaemonId, Incarnation, u64);

impl From<ClaimId> for ClaimIdWire {
    fn from(id: ClaimId) -> Self {
        Self(id.daemon, id.incarnation, id.number)
    }
}

impl From<ClaimIdWire> for ClaimId {
    fn from(ClaimIdWire(daemon, incarnation, number): ClaimIdWire) -> Self {
        Self { daemon, incarnation, number }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct StoredResponseWire(u16, Box<str>, Option<serde_bytes::ByteBuf>);

impl From<StoredResponse> for StoredResponseWire {
    fn from(response: StoredResponse) -> Self {
        let body = response.body.map(|body| serde_bytes::ByteBuf::from(body.to_vec()));
        Self(response.status, response.content_type, body)
    }
}

impl From<StoredResponseWire> for StoredResponse {
    fn from(StoredResponseWire(status, content_type, body): StoredResponseWire) -> Self {
        Self { status, content_type, body: body.map(|body| Bytes::from(body.into_vec())) }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum RecordStateWire {
    #[serde(rename = "c")]
    Claimed,
    #[serde(rename = "r")]
    Ran(StoredResponseWire),
    #[serde(rename = "x")]
    Released,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct RecordWire {
    #[serde(rename = "k")]
    key: Box<str>,
    #[serde(rename = "i")]
    id: ClaimIdWire,
    #[serde(rename = "q")]
    request: RequestId,
    #[serde(rename = "d", with = "serde_bytes")]
    digest: [u8; 32],
    #[serde(rename = "t")]
    at: WallTime,
    #[serde(rename = "s")]
    state: RecordStateWire,
}

impl From<(Box<str>, Record)> for RecordWire {
    fn from((key, record): (Box<str>, Record)) -> Self {
        let state = match record.state {
            RecordState::Claimed => RecordStateWire::Claimed,
            RecordState::Ran(response) => RecordStateWire::Ran(response.into()),
            RecordState::Released => RecordStateWire::Released,
        };
        let Record { id, request, digest, at, .. } = record;
        Self { key, id: id.into(), request, digest, at, state }
    }
}

impl From<RecordWire> for (Box<str>, Record) {
    fn from(wire: RecordWire) -> Self {
        let state = match wire.state {
            RecordStateWire::Claimed => RecordState::Claimed,
            RecordStateWire::Ran(response) => RecordState::Ran(response.into()),
            RecordStateWire::Released => RecordState::Released,
        };
        let RecordWire { key, id, request, digest, at, .. } = wire;
        (key, Record { id: id.into(), request, digest, at, state })
    }
}

/// The stored form of a [`Page`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PageWire {
    #[serde(rename = "r")]
    records: Vec<RecordWire>,
    #[serde(rename = "s")]
    sealed: Vec<(Revision, WallTime)>,
    #[serde(rename = "m")]
    summaries: Vec<(Revision, Revision, WallTime)>,
}

impl From<Page> for PageWire {
    fn from(page: Page) -> Self {
        let sealed = page.sealed.iter().map(|sealed| (sealed.revision, sealed.newest)).collect();
        let summaries = page.summaries.iter().map(|s| (s.revision, s.first, s.newest)).collect();
        Self { records: page.records.into_iter().map(Into::into).collect(), sealed, summaries }
    }
}

impl From<PageWire> for Page {
    fn from(wire: PageWire) -> Self {
        let sealed = wire.sealed.into_iter();
        let sealed = sealed.map(|(revision, newest)| SealedRef { revision, newest }).collect();
        let summaries = wire.summaries.into_iter();
        let summaries = summaries
            .map(|(revision, first, newest)| SummaryRef { revision, first, newest })
            .collect();
        Self { records: wire.records.into_iter().map(Into::into).collect(), sealed, summaries }
    }
}

/// The stored form of a summary: each sealed page's revision and its fingerprints, as 16 big-endian
/// bytes each.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SummaryWire(Vec<(Revision, serde_bytes::ByteBuf)>);

impl From<&[Sealed]> for SummaryWire {
    fn from(pages: &[Sealed]) -> Self {
        let fingerprints = |sealed: &Sealed| {
            sealed
                .fingerprints
                .iter()
                .flat_map(|fingerprint| fingerprint.0.to_be_bytes())
                .collect::<Vec<u8>>()
        };
        let pages = pages.iter();
        Self(pages.map(|sealed| (sealed.revision, fingerprints(sealed).into())).collect())
    }
}

impl From<SummaryWire> for Vec<Sealed> {
    fn from(wire: SummaryWire) -> Self {
        let fingerprint = |bytes: &[u8]| {
            Fingerprint(
                bytes.iter().fold(0, |fingerprint, &byte| fingerprint << 8 | u128::from(byte)),
            )
        };
        let sealed = |(revision, bytes): (Revision, serde_bytes::ByteBuf)| Sealed {
            revision,
            fingerprints: bytes.chunks_exact(size_of::<u128>()).map(fingerprint).collect(),
        };
        wire.0.into_iter().map(sealed).collect()
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum ItemOperationWire {
    #[serde(rename = "c")]
    Claim,
    #[serde(rename = "k")]
    Store(StoredResponseWire),
    #[serde(rename = "x")]
    Release,
}

/// The wire form of an [`Item`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemWire {
    #[serde(rename = "i")]
    id: ClaimIdWire,
    #[serde(rename = "s")]
    service: ServiceName,
    #[serde(rename = "k")]
    key: Box<str>,
    #[serde(rename = "d", with = "serde_bytes")]
    digest: [u8; 32],
    #[serde(rename = "q")]
    request: RequestId,
    #[serde(rename = "w")]
    operation: ItemOperationWire,
}

impl From<Item> for ItemWire {
    fn from(item: Item) -> Self {
        let operation = match item.operation {
            ItemOperation::Claim => ItemOperationWire::Claim,
            ItemOperation::Store(response) => ItemOperationWire::Store(response.into()),
            ItemOperation::Release => ItemOperationWire::Release,
        };
        let Item { id, service, key, digest, request, .. } = item;
        Self { id: id.into(), service, key, digest, request, operation }
    }
}

impl TryFrom<ItemWire> for Item {
    type Error = WireError;

    fn try_from(wire: ItemWire) -> Result<Self, WireError> {
        let operation = match wire.operation {
            ItemOperationWire::Claim => ItemOperation::Claim,
            ItemOperationWire::Store(response) => {
                ItemOperation::Store(super::item::limit_size(response.into()))
            }
            ItemOperationWire::Release => ItemOperation::Release,
        };
        let ItemWire { id, service, key, digest, request, .. } = wire;
        if key.len() > super::item::MAX_KEY_BYTES {
            return Err(WireError::Malformed("the claim's key is too long".into()));
        }
        Ok(Self { id: id.into(), service, key, digest, request, operation })
    }
}

/// The wire form of an [`ItemAnswer`] and the id of the claim request that it answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemAnswerWire(ClaimIdWire, AnswerKindWire);

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum AnswerKindWire {
    #[serde(rename = "g")]
    Granted,
    #[serde(rename = "s")]
    Stored(StoredResponseWire),
    #[serde(rename = "u")]
    Unresolved,
    #[serde(rename = "o")]
    OtherCall,
    #[serde(rename = "d")]
    Done,
    #[serde(rename = "f")]
    Failed(u64, bool),
}

impl From<(ClaimId, ItemAnswer)> for ItemAnswerWire {
    fn from((id, answer): (ClaimId, ItemAnswer)) -> Self {
        let kind = match answer {
            ItemAnswer::Granted => AnswerKindWire::Granted,
            ItemAnswer::Stored(response) => AnswerKindWire::Stored(response.into()),
            ItemAnswer::Unresolved => AnswerKindWire::Unresolved,
            ItemAnswer::OtherCall => AnswerKindWire::OtherCall,
            ItemAnswer::Done => AnswerKindWire::Done,
            ItemAnswer::Failed { retry_after, may_take_effect } => {
                AnswerKindWire::Failed(retry_after.as_millis() as u64, may_take_effect)
            }
        };
        Self(id.into(), kind)
    }
}

impl From<ItemAnswerWire> for (ClaimId, ItemAnswer) {
    fn from(ItemAnswerWire(id, kind): ItemAnswerWire) -> Self {
        let answer = match kind {
            AnswerKindWire::Granted => ItemAnswer::Granted,
            AnswerKindWire::Stored(response) => ItemAnswer::Stored(response.into()),
            AnswerKindWire::Unresolved => ItemAnswer::Unresolved,
            AnswerKindWire::OtherCall => ItemAnswer::OtherCall,
            AnswerKindWire::Done => ItemAnswer::Done,
            AnswerKindWire::Failed(millis, may_take_effect) => {
                ItemAnswer::Failed { retry_after: Duration::from_millis(millis), may_take_effect }
            }
        };
        (id.into(), answer)
    }
}
