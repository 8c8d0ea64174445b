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
const MAX_RECENT_DELTAS: usize = 64;
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
    recent_deltas: VecDeque<DeltaWire>,
}

impl InstalledSet {
    /// Decodes a whole set; returns an error if its digest is not `digest`.
    pub fn from_encoded(
        generation: Generation,
        digest: SetDigest,
        encoded: &[u8],
    ) -> Result<Self, WireError> {
        if SetDigest::of(encoded) != digest {
            return Err(WireError::Malformed(
                "the digest of the set differs from the expected one".into(),
            ));
        }
        let set = Arc::new(wire::decode_set(encoded)?);
        Ok(Self {
            generation,
            digest,
            set,
            encoded: encoded.into(),
            recent_deltas: VecDeque::new(),
        })
    }

    /// Applies the delta that is based on this set and all later ones; `None` if no delta is based
    /// on it.
    pub fn apply_deltas(&self, deltas: &[DeltaWire]) -> Option<Result<Self, DeltaError>> {
        let applied = delta::apply_from(deltas, &self.set, self.generation, self.digest)?;
        let last = deltas.last()?;
        Some(applied.map(|(set, encoded)| {
            let mut recent_deltas = self.recent_deltas.clone();
            recent_deltas.extend(deltas.iter().filter(|delta| delta.to > self.generation).cloned());
            let excess = recent_deltas.len().saturating_sub(MAX_RECENT_DELTAS);
            recent_deltas.drain(..excess);
            Self {
                generation: last.to,
                digest: last.digest,
                set: Arc::new(set),
                encoded: encoded.into(),
                recent_deltas,
            }
        }))
    }

    /// Returns the response to a peer whose set has the generation and digest `have`; `None` if the
    /// peer is up to date or the part does not exist.
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
            if let Some(first) = self.recent_deltas.iter().position(is_based_on_have) {
                return Some(Message::Deltas(
                    self.recent_deltas.iter().skip(first).cloned().collect(),
                ));
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
