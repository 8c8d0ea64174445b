//! Selects the prefix of a prompt whose hash determines the upstream.
//!
//! A short prefix is shared by many prompts, a long one by few. The shortest prefix that is not too
//! popular for one upstream keeps the prompts about one document together. A system prompt that all
//! requests share, and that every upstream soon caches, does not direct all of them to one.

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The lengths of the counted prefixes, in words.
const PREFIX_WORDS: [usize; 7] = [16, 32, 64, 128, 256, 512, 1024];
/// The number of counted prefixes above which all counts are halved and those at zero removed.
const MAX_PREFIXES: usize = 16_384;
/// The count up to which a prefix never is too popular.
const MIN_POPULAR_COUNT: u32 = 8;

/// Counts the prompts with each prefix.
#[derive(Clone, Debug, Default)]
pub struct PrefixCounter {
    counts: IndexMap<u64, u32>,
    prompts: u64,
}

impl PrefixCounter {
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a prompt and returns the hash of the prefix that determines its upstream.
    pub fn affinity(&mut self, prompt: &str, upstreams: usize) -> u64 {
        self.prompts += 1;
        let fair_share = self.prompts / (upstreams.max(1) as u64);
        let popularity_limit = fair_share.max(u64::from(MIN_POPULAR_COUNT));
        let mut chosen = None;
        for hash in prefix_hashes(prompt) {
            let count = self.counts.entry(hash).or_insert(0);
            *count += 1;
            if chosen.is_none() && u64::from(*count) <= popularity_limit {
                chosen = Some(hash);
            }
        }
        if self.counts.len() > MAX_PREFIXES {
            self.decay_counts();
        }
        // If every prefix is too popular, the hash of the whole prompt determines the upstream, so
        // that equal prompts share a cache.
        chosen.unwrap_or_else(|| xxh3_64_with_seed(prompt.as_bytes(), 0))
    }

    fn decay_counts(&mut self) {
        self.prompts /= 2;
        self.counts.retain(|_, count| {
            *count /= 2;
            *count > 0
        });
    }
}

fn prefix_hashes(prompt: &str) -> impl Iterator<Item = u64> {
    let mut words = prompt.split_ascii_whitespace();
    let mut hash = 0;
    let mut words_hashed = 0;
    let mut prompt_ended = false;
    PREFIX_WORDS.into_iter().map_while(move |length| {
        if prompt_ended {
            return None;
        }
        while words_hashed < length {
            let Some(word) = words.next() else {
                prompt_ended = true;
                break;
            };
            hash = xxh3_64_with_seed(word.as_bytes(), hash);
            words_hashed += 1;
        }
        Some(hash)
    })
}
