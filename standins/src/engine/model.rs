//! An engine without I/O: continuous batching with a simulated duration per step.
//!
//! The duration of a step grows with the sequences in the batch and the prompt tokens that it
//! computes. At its end, each sequence whose prompt is computed generates one token. Experiments
//! drive it with a simulated clock; [`super::Engine`] serves it over HTTP.

use std::time::Duration;

use dogwoodturn::units::Time;
use indexmap::IndexMap;

use crate::engine::{
    cache::{BLOCK_TOKENS, PrefixCache, blocks_of},
    wire::{CacheEventsWire, KvBlob, LoadWire, Usage},
};

/// Number of ended requests whose KV cache can still be exported.
const MAX_ENDED: usize = 256;

/// Speed and capacity of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineConfig {
    /// Base duration of a step.
    pub step: Duration,
    /// Time that each sequence in the batch adds to a step.
    pub per_sequence: Duration,
    /// Time that each computed prompt token adds to a step.
    pub per_prompt_token: Duration,
    /// Maximum number of sequences in the batch.
    pub max_batch: usize,
    /// Maximum number of requests that wait for the batch.
    pub max_waiting: usize,
    /// Maximum number of prompt tokens that one step computes.
    pub prompt_tokens_per_step: u64,
    /// Tokens of KV cache that running requests may hold.
    pub kv_capacity: u64,
    /// Capacity of the prefix cache, in tokens.
    pub cache_capacity: u64,
}

impl Default for EngineConfig {
    /// Models an engine of eight accelerators: 15 ms per step and 20,000 prompt tokens per second.
    fn default() -> Self {
        Self {
            step: Duration::from_millis(15),
            per_sequence: Duration::from_micros(200),
            per_prompt_token: Duration::from_micros(50),
            max_batch: 64,
            max_waiting: 256,
            prompt_tokens_per_step: 512,
            kv_capacity: 200_000,
            cache_capacity: 400_000,
        }
    }
}

impl EngineConfig {
    /// Returns the configuration of a fast engine, for tests that run many requests.
    pub fn fast() -> Self {
        Self {
            step: Duration::from_millis(1),
            per_sequence: Duration::from_micros(10),
            per_prompt_token: Duration::from_micros(1),
            ..Self::default()
        }
    }
}

/// A request that is submitted to the model.
#[derive(Clone, Debug)]
pub struct Submission {
    /// The request ID at the engine.
    pub id: String,
    /// The text to continue.
    pub prompt: String,
    /// The part of the response that another engine has generated.
    pub resumed_text: String,
    /// Index of the first token to generate.
    pub offset: u64,
    /// Number of tokens of the complete response.
    pub max_tokens: u64,
    /// Requests with lower values start earlier; zero is the most urgent.
    pub priority: u8,
    /// Time at which the request is dropped as overdue.
    pub deadline: Option<Time>,
    /// Factor by which token generation is slower; values below 1 count as 1.
    pub slowdown: f64,
}

/// The reason for which a request was refused before it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The queue is full.
    Busy,
    /// The request ID is in use.
    Duplicate,
}

/// An output of the engine for one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// The token with this index.
    Token(u64),
    /// All tokens have been generated.
    Done(Usage),
    /// The deadline has passed.
    Overdue,
}

#[derive(Clone, Debug)]
struct Sequence {
    submission: Submission,
    blocks: Vec<u64>,
    usage: Usage,
    to_compute: u64,
    next_token: u64,
    // A slow version generates a token only when this reaches 1.
    progress: f64,
}

impl Sequence {
    fn kv_tokens(&self) -> u64 {
        self.usage.cached_tokens + self.usage.computed_tokens + self.usage.generated_tokens
    }
}

#[derive(Clone, Debug)]
pub struct EngineModel {
    cfg: EngineConfig,
    cache: PrefixCache,
    waiting: Vec<Sequence>,
    running: Vec<Sequence>,
    ended: IndexMap<String, Vec<u64>>,
    step_ends: Option<Time>,
    generated: u64,
    computed: u64,
    cached: u64,
}

impl EngineModel {
    /// Creates an idle engine.
    pub fn new(cfg: EngineConfig) -> Self {
        Self {
            cache: PrefixCache::new(cfg.cache_capacity),
            cfg,
            waiting: Vec::new(),
            running: Vec::new(),
            ended: IndexMap::new(),
            step_ends: None,
            generated: 0,
            computed: 0,
            cached: 0,
        }
    }

    /// Returns how many requests are in the batch.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns how many requests wait for the batch.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    pub fn total_generated_tokens(&self) -> u64 {
        self.generated
    }

    /// Returns the total number of prompt tokens computed, resumed text included.
    pub fn total_computed_tokens(&self) -> u64 {
        self.computed
    }

    /// Returns the total number of prompt tokens found in the cache, resumed text included.
    pub fn total_cached_tokens(&self) -> u64 {
        self.cached
    }

    /// Returns the current load.
    pub fn load(&self) -> LoadWire {
        LoadWire {
            running: self.running.len() as u64,
            waiting: self.waiting.len() as u64,
            kv_tokens: self.running.iter().map(Sequence::kv_tokens).sum(),
            kv_capacity: self.cfg.kv_capacity,
            age_ms: 0,
        }
    }

    /// Returns the cache events with number `after` and higher.
    pub fn cache_events(&self, after: u64) -> CacheEventsWire {
        self.cache.events(after)
    }

    /// Queues a request by its priority.
    pub fn submit(&mut self, now: Time, submission: Submission) -> Result<(), Refusal> {
        if self.waiting.len() >= self.cfg.max_waiting {
            return Err(Refusal::Busy);
        }
        let mut sequences = self.waiting.iter().chain(&self.running);
        if sequences.any(|sequence| sequence.submission.id == submission.id) {
            return Err(Refusal::Duplicate);
        }
        let words = || submission.prompt.split_whitespace();
        let blocks = blocks_of(words().chain(submission.resumed_text.split_whitespace()));
        let usage = Usage { prompt_tokens: words().count() as u64, ..Usage::default() };
        let next_token = submission.offset;
        let sequence =
            Sequence { submission, blocks, usage, to_compute: 0, next_token, progress: 0.0 };
        let priority = sequence.submission.priority;
        let insert_at = self.waiting.partition_point(|other| other.submission.priority <= priority);
        self.waiting.insert(insert_at, sequence);
        if self.step_ends.is_none() {
            self.begin_step(now);
        }
        Ok(())
    }

    /// Cancels a waiting or running request.
    pub fn cancel(&mut self, id: &str) {
        self.waiting.retain(|sequence| sequence.submission.id != id);
        if let Some(index) = self.running.iter().position(|s| s.submission.id == id) {
            let sequence = self.running.remove(index);
            self.retain_ended(sequence);
        }
    }

    /// Returns the KV cache of a request that is running or has recently ended.
    pub fn export(&self, id: &str) -> Option<KvBlob> {
        let running = self.running.iter().find(|sequence| sequence.submission.id == id);
        let blocks = match running {
            Some(sequence) => computed_blocks(sequence),
            None => self.ended.get(id)?.clone(),
        };
        Some(KvBlob { blocks })
    }

    /// Imports the KV cache of a request; returns `false` if it exceeds the free capacity.
    pub fn import(&mut self, blob: &KvBlob) -> bool {
        let tokens = blob.blocks.len() as u64 * BLOCK_TOKENS;
        if self.load().kv_tokens + tokens > self.cfg.kv_capacity {
            return false;
        }
        self.cache.add(&blob.blocks);
        true
    }

    /// Discards all cached prefixes, as a crash does.
    pub fn clear_cache(&mut self) {
        self.cache = PrefixCache::new(self.cfg.cache_capacity);
        self.ended.clear();
    }

    /// Returns when the current step ends.
    pub fn next_step(&self) -> Option<Time> {
        self.step_ends
    }

    /// Ends the current step if it is due at `now`, appends its outputs to `out` and begins the
    /// next step.
    pub fn step(&mut self, now: Time, out: &mut Vec<(String, Output)>) {
        if self.step_ends.is_none_or(|ends| ends > now) {
            return;
        }
        self.drop_overdue(now, out);
        for sequence in &mut self.running {
            if sequence.to_compute > 0 {
                continue;
            }
            sequence.progress += 1.0 / sequence.submission.slowdown.max(1.0);
            if sequence.progress < 1.0 {
                continue;
            }
            sequence.progress = 0.0;
            sequence.usage.generated_tokens += 1;
            self.generated += 1;
            out.push((sequence.submission.id.clone(), Output::Token(sequence.next_token)));
            sequence.next_token += 1;
        }
        let done = |sequence: &Sequence| {
            sequence.to_compute == 0 && sequence.next_token >= sequence.submission.max_tokens
        };
        while let Some(index) = self.running.iter().position(done) {
            let sequence = self.running.remove(index);
            out.push((sequence.submission.id.clone(), Output::Done(sequence.usage)));
            self.retain_ended(sequence);
        }
        self.begin_step(now);
    }

    fn drop_overdue(&mut self, now: Time, out: &mut Vec<(String, Output)>) {
        let is_overdue =
            |s: &Sequence| s.submission.deadline.is_some_and(|deadline| deadline <= now);
        let overdue: Vec<String> = self
            .waiting
            .iter()
            .chain(&self.running)
            .filter(|sequence| is_overdue(sequence))
            .map(|sequence| sequence.submission.id.clone())
            .collect();
        for id in overdue {
            self.cancel(&id);
            out.push((id, Output::Overdue));
        }
    }

    fn begin_step(&mut self, now: Time) {
        self.fill_batch();
        if self.running.is_empty() {
            self.step_ends = None;
            return;
        }
        let mut budget = self.cfg.prompt_tokens_per_step;
        let mut prompt_tokens = 0;
        self.running.sort_by_key(|sequence| sequence.submission.priority);
        for sequence in &mut self.running {
            let computed = sequence.to_compute.min(budget);
            sequence.to_compute -= computed;
            budget -= computed;
            prompt_tokens += computed;
            if computed > 0 && sequence.to_compute == 0 {
                self.cache.add(&sequence.blocks);
            }
        }
        let sequences = self.running.len() as u32;
        let time = self.cfg.step
            + self.cfg.per_sequence * sequences
            + self.cfg.per_prompt_token * prompt_tokens as u32;
        self.step_ends = Some(now + time);
    }

    fn fill_batch(&mut self) {
        let mut kv_tokens = self.load().kv_tokens;
        while self.running.len() < self.cfg.max_batch && !self.waiting.is_empty() {
            let mut sequence = self.waiting.remove(0);
            let resumed = sequence.submission.resumed_text.split_whitespace().count() as u64;
            let tokens = sequence.usage.prompt_tokens + resumed;
            if kv_tokens + tokens > self.cfg.kv_capacity && !self.running.is_empty() {
                self.waiting.insert(0, sequence);
                return;
            }
            kv_tokens += tokens;
            let cached_prefix = self.cache.mark_prefix_used(&sequence.blocks) * BLOCK_TOKENS;
            // The last prompt token is always computed, as it generates the first response token.
            let cached = cached_prefix.min(tokens.saturating_sub(1));
            sequence.usage.cached_tokens = cached;
            sequence.usage.computed_tokens = tokens - cached;
            sequence.to_compute = tokens - cached;
            self.cached += cached;
            self.computed += tokens - cached;
            self.running.push(sequence);
        }
    }

    fn retain_ended(&mut self, sequence: Sequence) {
        let blocks = computed_blocks(&sequence);
        self.cache.add(&blocks);
        self.ended.insert(sequence.submission.id, blocks);
        if self.ended.len() > MAX_ENDED {
            self.ended.shift_remove_index(0);
        }
    }
}

/// Returns the blocks of prompt, resumed text and generated tokens; empty until the prompt is
/// computed.
fn computed_blocks(sequence: &Sequence) -> Vec<u64> {
    let submission = &sequence.submission;
    if sequence.to_compute > 0 {
        return Vec::new();
    }
    let hash = super::prompt_hash(&submission.prompt);
    let tokens = (submission.offset..sequence.next_token).map(|i| super::token_of(hash, i));
    let tokens: Vec<String> = tokens.collect();
    let words =
        submission.prompt.split_whitespace().chain(submission.resumed_text.split_whitespace());
    blocks_of(words.chain(tokens.iter().map(|token| token.trim_end())))
}
