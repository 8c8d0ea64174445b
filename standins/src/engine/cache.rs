//! A prefix cache with bounded memory that drops what was used longest ago.

use std::collections::VecDeque;

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::engine::wire::{CacheEventWire, CacheEventsWire};

/// How many tokens one block of the cache holds.
pub const BLOCK_TOKENS: u64 = 16;
/// How many events are kept; older ones are lost.
const MAX_EVENTS: usize = 4096;

/// The blocks in the cache, from the one used longest ago to the one used last.
#[derive(Clone, Debug)]
pub struct PrefixCache {
    blocks: IndexMap<u64, ()>,
    max_blocks: usize,
    events: VecDeque<CacheEventWire>,
    first_event: u64,
}

impl PrefixCache {
    /// Makes an empty cache with room for this many tokens.
    pub fn new(max_tokens: u64) -> Self {
        Self {
            blocks: IndexMap::new(),
            max_blocks: (max_tokens / BLOCK_TOKENS) as usize,
            events: VecDeque::new(),
            first_event: 0,
        }
    }

    /// Returns how many blocks from the beginning are in the cache, and marks them as used.
    pub fn use_prefix(&mut self, blocks: &[u64]) -> u64 {
        let found = blocks.iter().take_while(|&block| self.blocks.contains_key(block)).count();
        for block in &blocks[..found] {
            self.touch(*block);
        }
        found as u64
    }

    /// Adds blocks, and drops those used longest ago if there is no room.
    pub fn add(&mut self, blocks: &[u64]) {
        for &block in blocks {
            if self.blocks.contains_key(&block) {
                self.touch(block);
                continue;
            }
            self.blocks.insert(block, ());
            self.tell(CacheEventWire { prefix: block, added: true });
        }
        // Dropping many at once keeps the cost of the shift from the front low.
        if self.blocks.len() > self.max_blocks {
            let excess = self.blocks.len() - self.max_blocks + self.max_blocks / 8;
            let dropped: Vec<u64> = self.blocks.drain(..excess).map(|(block, ())| block).collect();
            for prefix in dropped {
                self.tell(CacheEventWire { prefix, added: false });
            }
        }
    }

    /// Returns the events from a number on.
    pub fn events(&self, after: u64) -> CacheEventsWire {
        let begin = after.max(self.first_event);
        let skip = (begin - self.first_event) as usize;
        CacheEventsWire {
            next: self.first_event + self.events.len() as u64,
            gap: after < self.first_event,
            events: self.events.iter().skip(skip).copied().collect(),
        }
    }

    fn touch(&mut self, block: u64) {
        self.blocks.shift_remove(&block);
        self.blocks.insert(block, ());
    }

    fn tell(&mut self, event: CacheEventWire) {
        self.events.push_back(event);
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
            self.first_event += 1;
        }
    }
}

/// Returns the hashes of the whole blocks of a text, each over all that comes before its end.
pub fn blocks_of<'a>(words: impl Iterator<Item = &'a str>) -> Vec<u64> {
    let mut blocks = Vec::new();
    let mut hash = 0;
    for (index, word) in words.enumerate() {
        hash = xxh3_64_with_seed(word.as_bytes(), hash);
        if (index as u64 + 1).is_multiple_of(BLOCK_TOKENS) {
            blocks.push(hash);
        }
    }
    blocks
}
