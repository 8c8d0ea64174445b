//! The callers of the demo: they run concurrently, and each sends one request after another.

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

/// The number of callers that request short answers.
const SHORT_CALLERS: usize = 18;
/// The number of callers that request long answers, so that some of these are in progress when the
/// host is reclaimed.
const LONG_CALLERS: usize = 6;
/// The length of a long answer, in tokens.
const LONG_TOKENS: u64 = 1500;
/// The length of a short answer, in tokens.
const SHORT_TOKENS: u64 = 12;
/// The number of lost requests that are kept as examples, with their outcome.
const MAX_EXAMPLES: usize = 5;

/// The outcomes of the callers' requests.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Requests with a complete answer.
    pub completed: u64,
    /// Requests refused with the mark that they were not run.
    pub not_run: u64,
    /// Requests without a complete answer and without that mark, including failed connects.
    pub lost: u64,
    /// The first lost requests with their outcomes, at most `MAX_EXAMPLES`.
    pub examples: Vec<String>,
}

impl Tally {
    /// Returns the number of requests that were not refused, with and without a complete answer.
    pub fn accepted(&self) -> u64 {
        self.completed + self.lost
    }

    fn record(&mut self, req: &CallerRequest, outcome: &CallerOutcome) {
        match outcome {
            CallerOutcome::Completed => self.completed += 1,
            CallerOutcome::NotRun => self.not_run += 1,
            CallerOutcome::ConnectFailed | CallerOutcome::MayHaveRun | CallerOutcome::Failed(_) => {
                self.lost += 1;
                if self.examples.len() < MAX_EXAMPLES {
                    self.examples.push(format!("{req:?}: {outcome:?}"));
                }
            }
        }
    }
}

/// Callers that send requests until [`Callers::stop`].
#[derive(Debug)]
pub struct Callers {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<Tally>,
}

impl Callers {
    /// Starts the callers of a fleet on a new thread.
    pub fn start(fleet: &LocalFleet) -> Self {
        let base_urls: Vec<String> =
            fleet.daemons.iter().map(|daemon| format!("http://{}", daemon.callers())).collect();
        let stop = Arc::new(AtomicBool::new(false));
        let stop_flag = stop.clone();
        let thread = std::thread::spawn(move || {
            actix_rt::System::new().block_on(run_callers(base_urls, stop_flag))
        });
        Self { stop, thread }
    }

    /// Stops the callers after their current requests, and returns all outcomes.
    pub fn stop(self) -> Result<Tally> {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.join().map_err(|_| eyre!("the callers' thread panicked"))
    }
}

async fn run_callers(base_urls: Vec<String>, stop: Arc<AtomicBool>) -> Tally {
    let tally = Rc::new(RefCell::new(Tally::default()));
    let mut tasks = Vec::new();
    for number in 0..SHORT_CALLERS + LONG_CALLERS {
        let base_url = base_urls[number % base_urls.len()].clone();
        let stop = stop.clone();
        let tally = tally.clone();
        tasks.push(actix_rt::spawn(async move {
            let client = Client::builder().disable_timeout().finish();
            let mut round = 0;
            while !stop.load(Ordering::Relaxed) {
                let (token, req) = request(number, round);
                let outcome = send_request(&client, &base_url, token, &req).await;
                tally.borrow_mut().record(&req, &outcome);
                round += 1;
            }
        }));
    }
    for task in tasks {
        // A caller that panicked has recorded its earlier requests, so one more counts as lost.
        if task.await.is_err() {
            tally.borrow_mut().lost += 1;
        }
    }
    tally.take()
}

/// Returns the customer's token and the request of a caller in one round.
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
