//! Drives callers against one or more servers and records how long they wait.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use awc::{Client, Connector};
use eyre::Result;
use hdrhistogram::Histogram;

use crate::caller::{CallerOutcome, CallerRequest, send_request};

/// The longest latency that is told apart, in microseconds.
const MAX_LATENCY_US: u64 = 120_000_000;

/// What to send, and how fast.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The bases of the servers' URLs; each connection keeps to one.
    pub targets: Vec<String>,
    /// The bearer token of the callers.
    pub token: String,
    /// How many threads run callers.
    pub threads: usize,
    /// How many callers each thread runs, each with one request at a time.
    pub callers: usize,
    /// How long they run.
    pub duration: Duration,
    /// How many requests a second all callers send together; as many as they can if `None`.
    pub rate: Option<u64>,
}

/// What the callers saw.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// How many answers were whole.
    pub whole: u64,
    /// How many requests were refused as not run.
    pub not_run: u64,
    /// How many had any other end.
    pub other: u64,
    /// The time until the whole answer, in microseconds, from when the request was due.
    pub latency: Histogram<u64>,
    /// How long the callers ran.
    pub elapsed: Duration,
}

impl Outcome {
    fn new() -> Result<Self> {
        let latency = Histogram::new_with_max(MAX_LATENCY_US, 3)?;
        Ok(Self { whole: 0, not_run: 0, other: 0, latency, elapsed: Duration::ZERO })
    }

    /// Returns the whole answers per second.
    pub fn rate(&self) -> f64 {
        self.whole as f64 / self.elapsed.as_secs_f64().max(1e-9)
    }

    fn add(&mut self, seen: &CallerOutcome, latency: Duration) {
        match seen {
            CallerOutcome::Completed => {
                self.whole += 1;
                self.latency.saturating_record(latency.as_micros() as u64);
            }
            CallerOutcome::NotRun => self.not_run += 1,
            CallerOutcome::ConnectFailed | CallerOutcome::MayHaveRun | CallerOutcome::Failed(_) => {
                self.other += 1;
            }
        }
    }

    fn merge(&mut self, other: &Outcome) -> Result<()> {
        self.whole += other.whole;
        self.not_run += other.not_run;
        self.other += other.other;
        self.elapsed = self.elapsed.max(other.elapsed);
        self.latency.add(&other.latency)?;
        Ok(())
    }
}

/// Runs the callers; `make` gives the request of a caller's turn.
pub fn drive(
    plan: &Plan,
    make: impl Fn(u64) -> CallerRequest + Send + Clone + 'static,
) -> Result<Outcome> {
    let mut threads = Vec::new();
    for thread in 0..plan.threads {
        let plan = plan.clone();
        let make = make.clone();
        threads.push(std::thread::spawn(move || {
            actix_rt::System::new().block_on(run_thread(plan, thread, make))
        }));
    }
    let mut all = Outcome::new()?;
    for thread in threads {
        let outcome = thread.join().map_err(|_| eyre::eyre!("a thread of callers panicked"))??;
        all.merge(&outcome)?;
    }
    Ok(all)
}

async fn run_thread(
    plan: Plan,
    thread: usize,
    make: impl Fn(u64) -> CallerRequest + Clone + 'static,
) -> Result<Outcome> {
    let began = Instant::now();
    let plan = Rc::new(plan);
    let mut tasks = Vec::new();
    for caller in 0..plan.callers {
        let number = (thread * plan.callers + caller) as u64;
        tasks.push(actix_rt::spawn(run_caller(plan.clone(), number, began, make.clone())));
    }
    let mut all = Outcome::new()?;
    for task in tasks {
        all.merge(&task.await??)?;
    }
    all.elapsed = began.elapsed();
    Ok(all)
}

async fn run_caller(
    plan: Rc<Plan>,
    number: u64,
    began: Instant,
    make: impl Fn(u64) -> CallerRequest,
) -> Result<Outcome> {
    // A client of its own gives the caller a connection of its own.
    let client = Client::builder().connector(Connector::new().limit(1)).finish();
    let callers = (plan.threads * plan.callers) as u64;
    let target = &plan.targets[number as usize % plan.targets.len()];
    let interval = plan.rate.map(|rate| Duration::from_secs_f64(callers as f64 / rate as f64));
    let mut due = began + interval.unwrap_or_default().mul_f64(number as f64 / callers as f64);
    let mut outcome = Outcome::new()?;
    let mut turn = number;
    while began.elapsed() < plan.duration {
        if let Some(interval) = interval {
            tokio::time::sleep_until(due.into()).await;
            let seen = send_request(&client, target, &plan.token, &make(turn)).await;
            outcome.add(&seen, due.elapsed());
            due += interval;
        } else {
            let sent = Instant::now();
            let seen = send_request(&client, target, &plan.token, &make(turn)).await;
            outcome.add(&seen, sent.elapsed());
        }
        turn += callers;
    }
    Ok(outcome)
}
