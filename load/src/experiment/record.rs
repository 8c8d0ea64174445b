//! The callers of a scenario, and what each of their requests saw.

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

/// How long a caller waits after a refusal before it asks again.
const REFUSED_WAIT: Duration = Duration::from_millis(200);
/// The tokens of a short answer.
const SHORT_TOKENS: u64 = 16;

/// How urgent a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// A caller waits for it.
    Urgent,
    /// It may take longer.
    Batch,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// With the whole answer.
    Whole,
    /// Refused, marked not run.
    NotRun,
    /// In any other way.
    Lost,
}

/// One request.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// When it ended, from the beginning.
    pub at: Duration,
    /// How urgent it was.
    pub class: Class,
    /// How it ended.
    pub end: End,
    /// The time to the first byte of the answer.
    pub first: Option<Duration>,
    /// The time to its end.
    pub total: Duration,
}

/// The figures of one second and class.
#[derive(Clone, Copy, Debug)]
pub struct Row {
    /// The second, from the beginning.
    pub second: u64,
    /// The class.
    pub class: Class,
    /// Whole answers.
    pub whole: u64,
    /// Refusals marked not run.
    pub not_run: u64,
    /// Anything else.
    pub lost: u64,
    /// The time to the first byte at the median, in milliseconds.
    pub first_p50_ms: f64,
    /// The same that 95 in 100 kept.
    pub first_p95_ms: f64,
}

/// Callers that send requests until they are stopped.
#[derive(Debug)]
pub struct Callers {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<Vec<Sample>>,
}

impl Callers {
    /// Starts the callers of a fleet on a thread of their own.
    pub fn start(fleet: &LocalFleet, plan: CallerPlan) -> Self {
        let bases: Vec<String> =
            fleet.daemons.iter().map(|daemon| format!("http://{}", daemon.callers())).collect();
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let thread = std::thread::spawn(move || {
            actix_rt::System::new().block_on(call(bases, plan, stopped))
        });
        Self { stop, thread }
    }

    /// Stops the callers once each has its answer, and returns what they saw.
    pub fn stop(self) -> Result<Vec<Sample>> {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.join().map_err(|_| eyre!("the callers' thread panicked"))
    }
}

async fn call(bases: Vec<String>, plan: CallerPlan, stop: Arc<AtomicBool>) -> Vec<Sample> {
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
            // A caller whose daemon refuses or is gone goes to the next one, as a balancer does.
            let mut turn = number;
            while !stop.load(Ordering::Relaxed) {
                let (token, one) = request(class, number, round, plan.long_tokens);
                let sent = Instant::now();
                let timed =
                    send_timed_request(&client, &bases[turn % bases.len()], token, &one).await;
                let end = end_of(&timed.outcome);
                if end == End::Lost {
                    println!("lost: {one:?}: {:?}", timed.outcome);
                }
                let at = began.elapsed();
                let total = sent.elapsed();
                samples.borrow_mut().push(Sample { at, class, end, first: timed.first, total });
                if end != End::Whole {
                    turn += 1;
                    tokio::time::sleep(REFUSED_WAIT).await;
                }
                round += 1;
            }
        }));
    }
    for task in tasks {
        // A caller that panicked has recorded its earlier requests.
        let _ = task.await;
    }
    samples.take()
}

fn end_of(seen: &CallerOutcome) -> End {
    match seen {
        CallerOutcome::Completed => End::Whole,
        // A connection that was refused never reached a daemon.
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

/// Returns the figures by second and class.
pub fn rows_of(samples: &[Sample]) -> Vec<Row> {
    let seconds = samples.iter().map(|sample| sample.at.as_secs()).max().unwrap_or(0);
    let mut rows = Vec::new();
    for second in 0..=seconds {
        for class in [Class::Urgent, Class::Batch] {
            let here: Vec<&Sample> = samples
                .iter()
                .filter(|sample| sample.at.as_secs() == second && sample.class == class)
                .collect();
            let count = |end| here.iter().filter(|sample| sample.end == end).count() as u64;
            let first: Vec<f64> = here.iter().filter_map(|sample| first_ms(sample)).collect();
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

/// Returns the time to the first byte that 95 in 100 requests of a class kept, in milliseconds.
pub fn first_p95_ms(samples: &[Sample], class: Class) -> f64 {
    let of_class = samples.iter().filter(|sample| sample.class == class);
    let first: Vec<f64> = of_class.filter_map(first_ms).collect();
    quantile(&first, 0.95)
}

fn first_ms(sample: &Sample) -> Option<f64> {
    let first = sample.first.filter(|_| sample.end == End::Whole)?;
    Some(first.as_secs_f64() * 1000.0)
}

fn quantile(values: &[f64], quantile: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let place = (sorted.len() as f64 * quantile).ceil() as usize;
    sorted.get(place.saturating_sub(1)).copied().unwrap_or(0.0)
}
