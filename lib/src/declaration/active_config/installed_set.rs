//! The set that a daemon holds, with the changes that led to it, for peers that are behind.

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

/// How many changes are kept for peers that are behind.
const MAX_LOG: usize = 64;
/// The size of the parts in which a whole set is given to peers, in bytes.
pub const PEER_PART_BYTES: usize = 256 << 10;
/// The most parts of a whole set that a daemon takes from a peer.
pub const MAX_PEER_PARTS: u32 = 64;

/// A set that is in force at a daemon.
#[derive(Clone, Debug)]
pub struct InstalledSet {
    /// Its generation.
    pub generation: Generation,
    /// Its digest.
    pub digest: SetDigest,
    /// The set.
    pub set: Arc<DeclarationSet>,
    encoded: Arc<[u8]>,
    log: VecDeque<DeltaWire>,
}

impl InstalledSet {
    /// Makes what is held from a whole encoded set, if it has the digest.
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

    /// Applies the deltas that begin here; `None` if none does.
    pub fn advance(&self, deltas: &[DeltaWire]) -> Option<Result<Self, DeltaError>> {
        let applied = delta::apply_from(deltas, &self.set, self.generation, self.digest)?;
        let last = deltas.last()?;
        Some(applied.map(|(set, encoded)| {
            let mut log = self.log.clone();
            log.extend(deltas.iter().filter(|delta| delta.to > self.generation).cloned());
            let excess = log.len().saturating_sub(MAX_LOG);
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

    /// Answers a peer that holds `have` and asks for what is later; `None` if it is not behind.
    pub fn serve(&self, have: Option<(Generation, SetDigest)>, part: u32) -> Option<Message> {
        if have.is_some_and(|(generation, _)| generation >= self.generation) {
            return None;
        }
        if let Some((generation, digest)) = have {
            let begins =
                |delta: &DeltaWire| delta.from == generation && delta.from_digest == digest;
            if let Some(first) = self.log.iter().position(begins) {
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
