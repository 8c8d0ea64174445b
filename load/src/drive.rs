//! Runs callers against one or more servers and records their latency.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use awc::{Client, Connector};
use eyre::Result;
use hdrhistogram::Histogram;

use crate::caller::{CallerOutcome, CallerRequest, send_request};

/// Longest latency that the histogram can record, in microseconds; longer ones count as this.
const MAX_LATENCY_US: u64 = 120_000_000;

/// Parameters of a load run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Base URLs of the servers; each connection uses one of them.
    pub targets: Vec<String>,
    pub token: String,
    pub threads: usize,
    /// Callers per thread, each with one request at a time.
    pub callers: usize,
    pub duration: Duration,
    /// Requests per second over all callers; `None` sends as fast as responses arrive.
    pub rate: Option<u64>,
}

/// Results of a load run.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Complete responses.
    pub whole: u64,
    /// Requests refused as not run.
    pub not_run: u64,
    /// Requests with any other outcome.
    pub other: u64,
    /// Latency of complete responses in microseconds, from when the request was due.
    pub latency: Histogram<u64>,
    pub elapsed: Duration,
}

impl Outcome {
    fn new() -> Result<Self> {
        let latency = Histogram::new_with_max(MAX_LATENCY_US, 3)?;
        Ok(Self { whole: 0, not_run: 0, other: 0, latency, elapsed: Duration::ZERO })
    }

    /// Returns the complete responses per second.
    pub fn rate(&self) -> f64 {
        self.whole as f64 / self.elapsed.as_secs_f64().max(1e-9)
    }

    fn add(&mut self, caller_outcome: &CallerOutcome, latency: Duration) {
        match caller_outcome {
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

/// Runs the callers; `make_request` builds a request from a number that is unique over all callers.
pub fn drive(
    plan: &Plan,
    make_request: impl Fn(u64) -> CallerRequest + Send + Clone + 'static,
) -> Result<Outcome> {
    let mut threads = Vec::new();
    for thread in 0..plan.threads {
        let plan = plan.clone();
        let make_request = make_request.clone();
        threads.push(std::thread::spawn(move || {
            actix_rt::System::new().block_on(run_thread(plan, thread, make_request))
        }));
    }
    let mut all = Outcome::new()?;
    for thread in threads {
        let outcome = thread.join().map_err(|_| eyre::eyre!("a caller thread panicked"))??;
        all.merge(&outcome)?;
    }
    Ok(all)
}

async fn run_thread(
    plan: Plan,
    thread: usize,
    make_request: impl Fn(u64) -> CallerRequest + Clone + 'static,
) -> Result<Outcome> {
    let began = Instant::now();
    let plan = Rc::new(plan);
    let mut tasks = Vec::new();
    for caller in 0..plan.callers {
        let number = (thread * plan.callers + caller) as u64;
        tasks.push(actix_rt::spawn(run_caller(plan.clone(), number, began, make_request.clone())));
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
    make_request: impl Fn(u64) -> CallerRequest,
) -> Result<Outcome> {
    // A separate client gives each caller its own connection.
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
            let caller_outcome =
                send_request(&client, target, &plan.token, &make_request(turn)).await;
            outcome.add(&caller_outcome, due.elapsed());
            due += interval;
        } else {
            let sent = Instant::now();
            let caller_outcome =
                send_request(&client, target, &plan.token, &make_request(turn)).await;
            outcome.add(&caller_outcome, sent.elapsed());
        }
        turn += callers;
    }
    Ok(outcome)
}
