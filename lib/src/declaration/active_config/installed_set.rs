//! The active set of a daemon, with the recent deltas that led to it, for peers that have an
//! older one.

use std::{collections::VecDeque, sync::Arc};

use crate::{
    declaration::{
        DeclarationSet,
        delta::{self, DeltaError, DeltaWire},
        message::{Message, SetPart},
        wire::{self, SetDigest, WireError},
    },
    ids::Generation,
};

/// The number of recent deltas kept for peers that have an older set.
const MAX_LOG_DELTAS: usize = 64;
/// The size of the parts in which a whole set is sent to peers, in bytes.
pub const PEER_PART_BYTES: usize = 256 << 10;
/// The maximum number of parts of a whole set that a daemon accepts from a peer.
pub const MAX_PEER_PARTS: u32 = 64;

/// The set that is active at a daemon.
#[derive(Clone, Debug)]
pub struct InstalledSet {
    pub generation: Generation,
    pub digest: SetDigest,
    pub set: Arc<DeclarationSet>,
    encoded: Arc<[u8]>,
    log: VecDeque<DeltaWire>,
}

impl InstalledSet {
    /// Decodes a whole set; returns an error if its digest is not `digest`.
    pub fn from_encoded(
        generation: Generation,
        digest: SetDigest,
        encoded: &[u8],
    ) -> Result<Self, WireError> {
        if SetDigest::of(encoded) != digest {
            return Err(WireError::Malformed("the set has another digest".into()));
        }
        let set = Arc::new(wire::decode_set(encoded)?);
        Ok(Self { generation, digest, set, encoded: encoded.into(), log: VecDeque::new() })
    }

    /// Applies the deltas from the one based on this set onwards; `None` if there is none.
    pub fn apply_deltas(&self, deltas: &[DeltaWire]) -> Option<Result<Self, DeltaError>> {
        let applied = delta::apply_from(deltas, &self.set, self.generation, self.digest)?;
        let last = deltas.last()?;
        Some(applied.map(|(set, encoded)| {
            let mut log = self.log.clone();
            log.extend(deltas.iter().filter(|delta| delta.to > self.generation).cloned());
            let excess = log.len().saturating_sub(MAX_LOG_DELTAS);
            log.drain(..excess);
            Self {
                generation: last.to,
                digest: last.digest,
                set: Arc::new(set),
                encoded: encoded.into(),
                log,
            }
        }))
    }

    /// Returns the response to a peer that has `have`; `None` if the peer is up to date or the
    /// part does not exist.
    pub fn response_for(
        &self,
        have: Option<(Generation, SetDigest)>,
        part: u32,
    ) -> Option<Message> {
        if have.is_some_and(|(generation, _)| generation >= self.generation) {
            return None;
        }
        if let Some((generation, digest)) = have {
            let is_based_on_have =
                |delta: &DeltaWire| delta.from == generation && delta.from_digest == digest;
            if let Some(first) = self.log.iter().position(is_based_on_have) {
                return Some(Message::Deltas(self.log.iter().skip(first).cloned().collect()));
            }
        }
        let parts = self.encoded.len().div_ceil(PEER_PART_BYTES) as u32;
        let begin = part as usize * PEER_PART_BYTES;
        let end = (begin + PEER_PART_BYTES).min(self.encoded.len());
        let bytes = self.encoded.get(begin..end)?.to_vec();
        let (generation, digest) = (self.generation, self.digest);
        Some(Message::Part(SetPart { generation, digest, part, parts, bytes }))
    }
}
