//! A prefix cache of bounded size with least-recently-used (LRU) eviction.

use std::collections::VecDeque;

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::engine::wire::{CacheEventWire, CacheEventsWire};

/// Tokens per cache block.
pub const BLOCK_TOKENS: u64 = 16;
/// Number of events that are kept; older ones are discarded.
const MAX_EVENTS: usize = 4096;

/// The blocks in the cache, from the least to the most recently used.
#[derive(Clone, Debug)]
pub struct PrefixCache {
    blocks: IndexMap<u64, ()>,
    max_blocks: usize,
    events: VecDeque<CacheEventWire>,
    first_event: u64,
}

impl PrefixCache {
    /// Creates an empty cache with a capacity of `max_tokens`, rounded down to whole blocks.
    pub fn new(max_tokens: u64) -> Self {
        Self {
            blocks: IndexMap::new(),
            max_blocks: (max_tokens / BLOCK_TOKENS) as usize,
            events: VecDeque::new(),
            first_event: 0,
        }
    }

    /// Returns how many leading blocks are in the cache, and marks them as used.
    pub fn mark_prefix_used(&mut self, blocks: &[u64]) -> u64 {
        let found = blocks.iter().take_while(|&block| self.blocks.contains_key(block)).count();
        for block in &blocks[..found] {
            self.mark_used(*block);
        }
        found as u64
    }

    /// Adds blocks, and evicts the least recently used ones if the cache is full.
    pub fn add(&mut self, blocks: &[u64]) {
        for &block in blocks {
            if self.blocks.contains_key(&block) {
                self.mark_used(block);
                continue;
            }
            self.blocks.insert(block, ());
            self.record_event(CacheEventWire { prefix: block, added: true });
        }
        // Evicting many blocks at once amortises the cost of draining from the front.
        if self.blocks.len() > self.max_blocks {
            let excess = self.blocks.len() - self.max_blocks + self.max_blocks / 8;
            let evicted: Vec<u64> = self.blocks.drain(..excess).map(|(block, ())| block).collect();
            for prefix in evicted {
                self.record_event(CacheEventWire { prefix, added: false });
            }
        }
    }

    /// Returns the events with number `after` and higher.
    pub fn events(&self, after: u64) -> CacheEventsWire {
        let begin = after.max(self.first_event);
        let skip = (begin - self.first_event) as usize;
        CacheEventsWire {
            next: self.first_event + self.events.len() as u64,
            gap: after < self.first_event,
            events: self.events.iter().skip(skip).copied().collect(),
        }
    }

    fn mark_used(&mut self, block: u64) {
        self.blocks.shift_remove(&block);
        self.blocks.insert(block, ());
    }

    fn record_event(&mut self, event: CacheEventWire) {
        self.events.push_back(event);
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
            self.first_event += 1;
        }
    }
}

/// Returns the hashes of the full blocks of a text, each over the text up to the block's end.
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
