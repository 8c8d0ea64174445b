//! Generates seeded requests like those of both example users: short interactive ones and long
//! batch ones.

use std::time::Duration;

use dogwoodturn::declaration::RequestClass;
use rand::{Rng, RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

/// Words of the system prompt that all requests of a class share.
const SYSTEM_WORDS: usize = 120;
/// Words of a context that several interactive requests share.
const CONTEXT_WORDS: usize = 80;
const CONTEXTS: usize = 60;
/// Words of a document that several batch requests share.
const DOCUMENT_WORDS: usize = 1500;
const DOCUMENTS: usize = 240;
/// Words of the question, which is different for each request.
const QUESTION_WORDS: usize = 20;

#[derive(Clone, Debug)]
pub struct Request {
    /// Arrival time since the start.
    pub at: Duration,
    pub class: RequestClass,
    pub prompt: String,
    /// Tokens of the response.
    pub max_tokens: u64,
}

/// Generates requests with exponentially distributed gaps between arrivals.
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
    /// Creates a workload of `rate` requests per second, of which `urgent_share` (from 0 to 1) are
    /// interactive.
    pub fn new(seed: u64, rate: f64, urgent_share: f64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let texts = Texts {
            systems: [words(&mut rng, SYSTEM_WORDS), words(&mut rng, SYSTEM_WORDS)],
            contexts: (0..CONTEXTS).map(|_| words(&mut rng, CONTEXT_WORDS)).collect(),
            documents: (0..DOCUMENTS).map(|_| words(&mut rng, DOCUMENT_WORDS)).collect(),
        };
        Self { rng, at: 0.0, rate, urgent_share, texts, count: 0 }
    }

    pub fn next_request(&mut self) -> Request {
        let uniform: f64 = self.rng.random();
        self.at += -(1.0 - uniform).ln() / self.rate;
        self.count += 1;
        let question = words(&mut self.rng, QUESTION_WORDS);
        let is_urgent = self.rng.random::<f64>() < self.urgent_share;
        let (class, shared, max_tokens) = if is_urgent {
            let context = skewed_index(&mut self.rng, CONTEXTS);
            let shared = format!("{} {}", self.texts.systems[0], self.texts.contexts[context]);
            (RequestClass::Interactive, shared, self.rng.random_range(10..40))
        } else {
            let document = skewed_index(&mut self.rng, DOCUMENTS);
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

/// Returns a random index below `count`; small indices are more likely, as with skewed popularity.
fn skewed_index(rng: &mut impl Rng, count: usize) -> usize {
    let uniform: f64 = rng.random();
    ((uniform * uniform) * count as f64) as usize
}
