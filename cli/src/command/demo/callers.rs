//! The callers of the demo: several at once, each with one request after the other.

use std::{
    cell::RefCell,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::JoinHandle,
};

use awc::Client;
use dogwoodturn_load::{
    caller::{CallerOutcome, CallerRequest, send_request},
    local::LocalFleet,
};
use eyre::{Result, eyre};

/// How many callers send short requests.
const SHORT_CALLERS: usize = 18;
/// How many callers send requests with long answers, so that a reclaim meets some of them.
const LONG_CALLERS: usize = 6;
/// The tokens of a long answer.
const LONG_TOKENS: u64 = 1500;
/// The tokens of a short answer.
const SHORT_TOKENS: u64 = 12;
/// How many lost requests are told in full.
const MAX_EXAMPLES: usize = 5;

/// What the callers saw.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Whole answers.
    pub whole: u64,
    /// Refusals marked not run.
    pub not_run: u64,
    /// Accepted requests without a whole answer.
    pub lost: u64,
    /// What some of the lost requests saw.
    pub examples: Vec<String>,
}

impl Tally {
    /// Returns how many requests were accepted.
    pub fn accepted(&self) -> u64 {
        self.whole + self.lost
    }

    fn add(&mut self, one: &CallerRequest, seen: &CallerOutcome) {
        match seen {
            CallerOutcome::Completed => self.whole += 1,
            CallerOutcome::NotRun => self.not_run += 1,
            CallerOutcome::ConnectFailed | CallerOutcome::MayHaveRun | CallerOutcome::Failed(_) => {
                self.lost += 1;
                if self.examples.len() < MAX_EXAMPLES {
                    self.examples.push(format!("{one:?}: {seen:?}"));
                }
            }
        }
    }
}

/// Callers that send requests until they are stopped.
#[derive(Debug)]
pub struct Callers {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<Tally>,
}

impl Callers {
    /// Starts the callers of a fleet on a thread of their own.
    pub fn start(fleet: &LocalFleet) -> Self {
        let bases: Vec<String> =
            fleet.daemons.iter().map(|daemon| format!("http://{}", daemon.callers())).collect();
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let thread =
            std::thread::spawn(move || actix_rt::System::new().block_on(call(bases, stopped)));
        Self { stop, thread }
    }

    /// Stops the callers once each has its answer, and returns what they saw.
    pub fn stop(self) -> Result<Tally> {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.join().map_err(|_| eyre!("the callers' thread panicked"))
    }
}

async fn call(bases: Vec<String>, stop: Arc<AtomicBool>) -> Tally {
    let tally = Rc::new(RefCell::new(Tally::default()));
    let mut tasks = Vec::new();
    for number in 0..SHORT_CALLERS + LONG_CALLERS {
        let base = bases[number % bases.len()].clone();
        let stop = stop.clone();
        let tally = tally.clone();
        tasks.push(actix_rt::spawn(async move {
            let client = Client::builder().disable_timeout().finish();
            let mut round = 0;
            while !stop.load(Ordering::Relaxed) {
                let (token, one) = request(number, round);
                let seen = send_request(&client, &base, token, &one).await;
                tally.borrow_mut().add(&one, &seen);
                round += 1;
            }
        }));
    }
    for task in tasks {
        // A caller that panicked has counted its earlier requests.
        if task.await.is_err() {
            tally.borrow_mut().lost += 1;
        }
    }
    tally.take()
}

/// Returns a caller's request of a round, with the token of its customer.
fn request(number: usize, round: usize) -> (&'static str, CallerRequest) {
    let completion = |path: &str, max_tokens, stream| CallerRequest::Completion {
        path: path.into(),
        prompt: format!("{path} asks for number {number} in round {round}"),
        max_tokens,
        stream,
    };
    let booking =
        |path: &str| CallerRequest::Booking { path: path.into(), key: format!("{number}-{round}") };
    if number >= SHORT_CALLERS {
        return match number % 2 {
            0 => ("clinics-token", completion("/glossaries", LONG_TOKENS, true)),
            _ => ("mill-buyers-token", completion("/appraisals", LONG_TOKENS, false)),
        };
    }
    match (number + round) % 8 {
        0 | 1 => ("ferries-token", completion("/phrases", SHORT_TOKENS, true)),
        2 => ("clinics-token", completion("/glossaries", SHORT_TOKENS, false)),
        3 => ("members-token", booking("/purchases")),
        4 | 5 => ("brokers-token", completion("/grades", SHORT_TOKENS, true)),
        6 => ("mill-buyers-token", completion("/appraisals", SHORT_TOKENS, false)),
        _ => ("growers-token", booking("/consignments")),
    }
}
