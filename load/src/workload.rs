//! Seeded requests like those of both users: short urgent ones, and long ones that may wait.

use std::time::Duration;

use dogwoodturn::declaration::RequestClass;
use rand::{Rng, RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

/// The words of the system prompt that all requests of a class share.
const SYSTEM_WORDS: usize = 120;
/// The words of context that a customer's urgent requests share.
const CONTEXT_WORDS: usize = 80;
/// How many such contexts there are.
const CONTEXTS: usize = 60;
/// The words of a document that several long requests read.
const DOCUMENT_WORDS: usize = 1500;
/// How many documents there are.
const DOCUMENTS: usize = 240;
/// The words of the question that only one request asks.
const QUESTION_WORDS: usize = 20;

/// One request.
#[derive(Clone, Debug)]
pub struct Request {
    /// When it arrives, from the beginning.
    pub at: Duration,
    /// How urgent it is.
    pub class: RequestClass,
    /// Its prompt.
    pub prompt: String,
    /// How many tokens its answer has.
    pub max_tokens: u64,
}

/// Gives requests at a rate, one after the other.
#[derive(Clone, Debug)]
pub struct Workload {
    rng: Pcg64Mcg,
    at: f64,
    rate: f64,
    urgent_share: f64,
    texts: Texts,
    count: u64,
}

#[derive(Clone, Debug)]
struct Texts {
    systems: [String; 2],
    contexts: Vec<String>,
    documents: Vec<String>,
}

impl Workload {
    /// Makes a workload of `rate` requests a second, of which a share is urgent.
    pub fn new(seed: u64, rate: f64, urgent_share: f64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let texts = Texts {
            systems: [words(&mut rng, SYSTEM_WORDS), words(&mut rng, SYSTEM_WORDS)],
            contexts: (0..CONTEXTS).map(|_| words(&mut rng, CONTEXT_WORDS)).collect(),
            documents: (0..DOCUMENTS).map(|_| words(&mut rng, DOCUMENT_WORDS)).collect(),
        };
        Self { rng, at: 0.0, rate, urgent_share, texts, count: 0 }
    }

    /// Returns the next request.
    pub fn next_request(&mut self) -> Request {
        let uniform: f64 = self.rng.random();
        self.at += -(1.0 - uniform).ln() / self.rate;
        self.count += 1;
        let question = words(&mut self.rng, QUESTION_WORDS);
        let is_urgent = self.rng.random::<f64>() < self.urgent_share;
        let (class, shared, max_tokens) = if is_urgent {
            let context = popular(&mut self.rng, CONTEXTS);
            let shared = format!("{} {}", self.texts.systems[0], self.texts.contexts[context]);
            (RequestClass::Interactive, shared, self.rng.random_range(10..40))
        } else {
            let document = popular(&mut self.rng, DOCUMENTS);
            let shared = format!("{} {}", self.texts.systems[1], self.texts.documents[document]);
            (RequestClass::Batch, shared, self.rng.random_range(100..300))
        };
        Request {
            at: Duration::from_secs_f64(self.at),
            class,
            prompt: format!("{shared} {question}"),
            max_tokens,
        }
    }
}

fn words(rng: &mut impl Rng, count: usize) -> String {
    let words: Vec<String> =
        (0..count).map(|_| format!("w{}", rng.random_range(0..100_000))).collect();
    words.join(" ")
}

/// Returns an index of which small ones are more likely, as in a skewed popularity.
fn popular(rng: &mut impl Rng, count: usize) -> usize {
    let uniform: f64 = rng.random();
    ((uniform * uniform) * count as f64) as usize
}
