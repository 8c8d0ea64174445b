//! An engine without I/O: continuous batching with a time for each step.
//!
//! Each step takes a time that grows with the sequences in the batch and the prompt tokens that it
//! computes; at its end, each sequence whose prompt is computed gives one token. Experiments drive
//! it with a clock of their own; [`super::Engine`] serves it over HTTP.

use std::time::Duration;

use dogwoodturn::units::Time;
use indexmap::IndexMap;

use crate::engine::{
    cache::{BLOCK_TOKENS, PrefixCache, blocks_of},
    wire::{CacheEventsWire, KvBlob, LoadWire, Usage},
};

/// How many requests that have ended can still be exported.
const MAX_ENDED: usize = 256;

/// What an engine can do, and how fast.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineConfig {
    /// The time of a step with an empty batch.
    pub step: Duration,
    /// The time that each sequence adds to a step.
    pub per_sequence: Duration,
    /// The time that each computed prompt token adds to a step.
    pub per_prompt_token: Duration,
    /// The most sequences in the batch.
    pub max_batch: usize,
    /// The most requests that wait for the batch.
    pub max_waiting: usize,
    /// The most prompt tokens that one step computes.
    pub prompt_tokens_per_step: u64,
    /// The tokens of KV cache that running requests may hold.
    pub kv_capacity: u64,
    /// The tokens of KV cache kept for prefixes.
    pub cache_capacity: u64,
}

impl Default for EngineConfig {
    /// An engine of eight accelerators: 15 ms a step, 20,000 prompt tokens a second.
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
    /// An engine fast enough for tests that run many requests.
    pub fn fast() -> Self {
        Self {
            step: Duration::from_millis(1),
            per_sequence: Duration::from_micros(10),
            per_prompt_token: Duration::from_micros(1),
            ..Self::default()
        }
    }
}

/// A request as the model takes it.
#[derive(Clone, Debug)]
pub struct Submission {
    /// The name of the request at the engine.
    pub id: String,
    /// The text to go on from.
    pub prompt: String,
    /// The part of the answer that is there already.
    pub resumed_text: String,
    /// The first token to generate.
    pub offset: u64,
    /// How many tokens the whole answer has.
    pub max_tokens: u64,
    /// The order in which waiting requests begin.
    pub priority: u8,
    /// Beyond this time nobody waits for the answer.
    pub deadline: Option<Time>,
    /// How many times as long the request takes.
    pub slowdown: f64,
}

/// Says why a request was refused before it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Too many requests wait.
    Busy,
    /// The name is in use.
    Duplicate,
}

/// What the engine gives for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// The token with this index.
    Token(u64),
    /// All tokens have been given.
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
    // A slow version gives a token only when this has grown to one.
    progress: f64,
}

impl Sequence {
    fn kv_tokens(&self) -> u64 {
        self.usage.cached_tokens + self.usage.computed_tokens + self.usage.generated_tokens
    }
}

/// The state of one engine.
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
    /// Makes an idle engine.
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

    /// Returns how many tokens were generated in all.
    pub fn generated(&self) -> u64 {
        self.generated
    }

    /// Returns how many tokens of prompts were computed in all.
    pub fn computed(&self) -> u64 {
        self.computed
    }

    /// Returns how many tokens of prompts the cache held in all.
    pub fn cached(&self) -> u64 {
        self.cached
    }

    /// Returns the load now.
    pub fn load(&self) -> LoadWire {
        LoadWire {
            running: self.running.len() as u64,
            waiting: self.waiting.len() as u64,
            kv_tokens: self.running.iter().map(Sequence::kv_tokens).sum(),
            kv_capacity: self.cfg.kv_capacity,
            age_ms: 0,
        }
    }

    /// Returns the cache events from a number on.
    pub fn cache_events(&self, after: u64) -> CacheEventsWire {
        self.cache.events(after)
    }

    /// Takes a request.
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
        let place = self.waiting.partition_point(|other| other.submission.priority <= priority);
        self.waiting.insert(place, sequence);
        if self.step_ends.is_none() {
            self.begin_step(now);
        }
        Ok(())
    }

    /// Drops a request that nobody waits for.
    pub fn cancel(&mut self, id: &str) {
        self.waiting.retain(|sequence| sequence.submission.id != id);
        if let Some(index) = self.running.iter().position(|s| s.submission.id == id) {
            let sequence = self.running.remove(index);
            self.end(sequence);
        }
    }

    /// Returns the KV cache of a request that runs or has ended lately.
    pub fn export(&self, id: &str) -> Option<KvBlob> {
        let running = self.running.iter().find(|sequence| sequence.submission.id == id);
        let blocks = match running {
            Some(sequence) => computed_blocks(sequence),
            None => self.ended.get(id)?.clone(),
        };
        Some(KvBlob { blocks })
    }

    /// Takes the KV cache of a request; false if there is no room.
    pub fn import(&mut self, blob: &KvBlob) -> bool {
        let tokens = blob.blocks.len() as u64 * BLOCK_TOKENS;
        if self.load().kv_tokens + tokens > self.cfg.kv_capacity {
            return false;
        }
        self.cache.add(&blob.blocks);
        true
    }

    /// Forgets every prefix, as a crash does.
    pub fn lose_cache(&mut self) {
        self.cache = PrefixCache::new(self.cfg.cache_capacity);
        self.ended.clear();
    }

    /// Returns when the step under way ends.
    pub fn next_step(&self) -> Option<Time> {
        self.step_ends
    }

    /// Ends the step whose time has come, if any, and begins the next one.
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
            self.end(sequence);
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
            let held = self.cache.use_prefix(&sequence.blocks) * BLOCK_TOKENS;
            // The last token of the prompt is computed always, as it gives the first answer token.
            let cached = held.min(tokens.saturating_sub(1));
            sequence.usage.cached_tokens = cached;
            sequence.usage.computed_tokens = tokens - cached;
            sequence.to_compute = tokens - cached;
            self.cached += cached;
            self.computed += tokens - cached;
            self.running.push(sequence);
        }
    }

    fn end(&mut self, sequence: Sequence) {
        let blocks = computed_blocks(&sequence);
        self.cache.add(&blocks);
        self.ended.insert(sequence.submission.id, blocks);
        if self.ended.len() > MAX_ENDED {
            self.ended.shift_remove_index(0);
        }
    }
}

/// Returns the blocks of prompt, resumed text and generated tokens that have been computed.
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
