//! Runs the callers of a scenario and records the outcome of each request.

use std::{
    cell::RefCell,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::JoinHandle,
    time::{Duration, Instant},
};

use awc::Client;
use eyre::{Result, eyre};

use crate::{
    caller::{CallerOutcome, CallerRequest, send_timed_request},
    experiment::scenario::CallerPlan,
    local::LocalFleet,
};

/// Delay of a caller before its next request when the response was not complete.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Tokens of a short response.
const SHORT_TOKENS: u64 = 16;

/// How urgent a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// A caller waits for the response.
    Urgent,
    /// The request may take longer.
    Batch,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The response was complete.
    Whole,
    /// The request was refused as not run, or the connection was.
    NotRun,
    /// Any other outcome.
    Lost,
}

/// The outcome and latency of one request.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// When the request ended, since the callers started.
    pub at: Duration,
    pub class: Class,
    pub end: End,
    pub time_to_first_byte: Option<Duration>,
    /// Time to the end of the request.
    pub total: Duration,
}

/// Counts and latency of one second and class.
#[derive(Clone, Copy, Debug)]
pub struct Row {
    /// The second since the callers started.
    pub second: u64,
    pub class: Class,
    /// Complete responses.
    pub whole: u64,
    /// Requests refused as not run.
    pub not_run: u64,
    /// Requests with any other outcome.
    pub lost: u64,
    /// Median of time to first byte, in milliseconds.
    pub first_p50_ms: f64,
    /// 95th percentile of time to first byte, in milliseconds.
    pub first_p95_ms: f64,
}

/// Callers that send requests until they are stopped.
#[derive(Debug)]
pub struct Callers {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<Vec<Sample>>,
}

impl Callers {
    /// Starts the callers of a fleet on a separate thread.
    pub fn start(fleet: &LocalFleet, plan: CallerPlan) -> Self {
        let bases: Vec<String> =
            fleet.daemons.iter().map(|daemon| format!("http://{}", daemon.callers())).collect();
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let thread = std::thread::spawn(move || {
            actix_rt::System::new().block_on(run_callers(bases, plan, stopped))
        });
        Self { stop, thread }
    }

    /// Stops the callers once each request in progress has ended, and returns all samples.
    pub fn stop(self) -> Result<Vec<Sample>> {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.join().map_err(|_| eyre!("the caller thread panicked"))
    }
}

async fn run_callers(bases: Vec<String>, plan: CallerPlan, stop: Arc<AtomicBool>) -> Vec<Sample> {
    let samples = Rc::new(RefCell::new(Vec::new()));
    let began = Instant::now();
    let mut tasks = Vec::new();
    for number in 0..plan.urgent + plan.batch {
        let class = if number < plan.urgent { Class::Urgent } else { Class::Batch };
        let bases = bases.clone();
        let stop = stop.clone();
        let samples = samples.clone();
        tasks.push(actix_rt::spawn(async move {
            let client = Client::builder().disable_timeout().finish();
            let mut round = 0;
            // After an incomplete response the caller moves to the next daemon, as a load balancer
            // does.
            let mut target = number;
            while !stop.load(Ordering::Relaxed) {
                let (token, caller_request) = request(class, number, round, plan.long_tokens);
                let sent = Instant::now();
                let timed = send_timed_request(
                    &client,
                    &bases[target % bases.len()],
                    token,
                    &caller_request,
                )
                .await;
                let end = end_of(&timed.outcome);
                if end == End::Lost {
                    println!("lost: {caller_request:?}: {:?}", timed.outcome);
                }
                let at = began.elapsed();
                let total = sent.elapsed();
                samples.borrow_mut().push(Sample {
                    at,
                    class,
                    end,
                    time_to_first_byte: timed.time_to_first_byte,
                    total,
                });
                if end != End::Whole {
                    target += 1;
                    tokio::time::sleep(RETRY_DELAY).await;
                }
                round += 1;
            }
        }));
    }
    for task in tasks {
        // The requests that a caller recorded before it panicked still count.
        let _ = task.await;
    }
    samples.take()
}

fn end_of(caller_outcome: &CallerOutcome) -> End {
    match caller_outcome {
        CallerOutcome::Completed => End::Whole,
        // Without a connection the request never reached a daemon.
        CallerOutcome::NotRun | CallerOutcome::ConnectFailed => End::NotRun,
        CallerOutcome::MayHaveRun | CallerOutcome::Failed(_) => End::Lost,
    }
}

fn request(
    class: Class,
    number: usize,
    round: usize,
    long_tokens: u64,
) -> (&'static str, CallerRequest) {
    let completion = |path: &str, max_tokens| CallerRequest::Completion {
        path: path.into(),
        prompt: format!("{path} number {number} asks this in round {round}"),
        max_tokens,
        stream: true,
    };
    match class {
        Class::Urgent => match (number + round) % 4 {
            0 | 1 => ("ferries-token", completion("/phrases", SHORT_TOKENS)),
            2 => ("brokers-token", completion("/grades", SHORT_TOKENS)),
            _ => {
                let key = format!("{number}-{round}");
                ("growers-token", CallerRequest::Booking { path: "/consignments".into(), key })
            }
        },
        Class::Batch if number.is_multiple_of(2) => {
            ("clinics-token", completion("/glossaries", long_tokens))
        }
        Class::Batch => ("mill-buyers-token", completion("/appraisals", long_tokens)),
    }
}

/// Returns the counts and latency by second and class.
pub fn rows_of(samples: &[Sample]) -> Vec<Row> {
    let seconds = samples.iter().map(|sample| sample.at.as_secs()).max().unwrap_or(0);
    let mut rows = Vec::new();
    for second in 0..=seconds {
        for class in [Class::Urgent, Class::Batch] {
            let in_row: Vec<&Sample> = samples
                .iter()
                .filter(|sample| sample.at.as_secs() == second && sample.class == class)
                .collect();
            let count = |end| in_row.iter().filter(|sample| sample.end == end).count() as u64;
            let first: Vec<f64> = in_row.iter().filter_map(|sample| first_ms(sample)).collect();
            rows.push(Row {
                second,
                class,
                whole: count(End::Whole),
                not_run: count(End::NotRun),
                lost: count(End::Lost),
                first_p50_ms: quantile(&first, 0.5),
                first_p95_ms: quantile(&first, 0.95),
            });
        }
    }
    rows
}

/// Returns the 95th percentile of time to first byte of a class, in milliseconds.
///
/// Only complete responses count.
pub fn first_p95_ms(samples: &[Sample], class: Class) -> f64 {
    let of_class = samples.iter().filter(|sample| sample.class == class);
    let first: Vec<f64> = of_class.filter_map(first_ms).collect();
    quantile(&first, 0.95)
}

fn first_ms(sample: &Sample) -> Option<f64> {
    let first = sample.time_to_first_byte.filter(|_| sample.end == End::Whole)?;
    Some(first.as_secs_f64() * 1000.0)
}

fn quantile(values: &[f64], quantile: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let place = (sorted.len() as f64 * quantile).ceil() as usize;
    sorted.get(place.saturating_sub(1)).copied().unwrap_or(0.0)
}
