//! Engines and the choice among them under a clock of its own, to compare policies.
//!
//! Only the engines' model and the daemons' placement and limits run here; there is no network and
//! no fault. Each daemon decides from its own counters and from load reports that lag.

use std::{cmp::Reverse, collections::BinaryHeap, sync::Arc, time::Duration};

use dogwoodturn::{
    declaration::{DeclarationSet, RequestClass},
    ids::{ServiceName, UpstreamId, VersionName},
    limit::{Admission, AdmissionRequest, Limits},
    placement::{AttemptResult, Placement, SelectionCriteria, load::LoadReport},
    store::cloud::HostKind,
    units::Time,
    upstream::{HostRecord, HostState},
};
use dogwoodturn_standins::engine::model::{EngineConfig, EngineModel, Output, Submission};
use eyre::{Result, eyre};
use hdrhistogram::Histogram;
use indexmap::IndexMap;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

use crate::workload::{Request, Workload};

/// How old the load reports are when a daemon gets them.
const REPORT_LAG: Duration = Duration::from_millis(200);

/// How an upstream is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Any upstream, each as likely as the others.
    Random,
    /// The upstream with the fewest requests outstanding from the daemon that chooses.
    LeastOutstanding,
    /// The placement of the product.
    Affinity,
}

/// What is run.
#[derive(Clone, Copy, Debug)]
pub struct Bench {
    /// How upstreams are chosen.
    pub policy: Policy,
    /// Whether the daemons limit what they admit.
    pub limits: bool,
    /// How many engines there are.
    pub engines: usize,
    /// The tokens that each engine's prefix cache holds.
    pub cache_tokens: u64,
    /// How many daemons there are.
    pub daemons: usize,
    /// Requests a second.
    pub rate: f64,
    /// The share of urgent requests.
    pub urgent_share: f64,
    /// How long requests arrive.
    pub duration: Duration,
    /// The seed of arrivals and choices.
    pub seed: u64,
}

/// What came out.
#[derive(Clone, Debug)]
pub struct Figures {
    /// The share of prompt tokens that caches held.
    pub cached_share: f64,
    /// The time to the first token by class, in microseconds.
    pub first_token: IndexMap<RequestClass, Histogram<u64>>,
    /// The time between tokens by class, in microseconds.
    pub between_tokens: IndexMap<RequestClass, Histogram<u64>>,
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests that were refused.
    pub refused: u64,
    /// Tokens of prompts and answers that kept the latency target, a second.
    pub goodput: f64,
    /// Urgent answers that kept it, a second.
    pub urgent_goodput: f64,
}

struct InFlight {
    class: RequestClass,
    daemon: usize,
    engine: usize,
    tokens: u64,
    arrived: Time,
    first: Option<Time>,
    last: Time,
}

struct Running {
    bench: Bench,
    hosts: Vec<HostRecord>,
    engines: Vec<EngineModel>,
    placements: Vec<Placement>,
    limits: Vec<Limits>,
    service: ServiceName,
    version: VersionName,
    rng: Pcg64Mcg,
    in_flight: IndexMap<String, InFlight>,
    steps: BinaryHeap<Reverse<(Time, usize)>>,
    reports: Vec<(Time, LoadReport)>,
    figures: Figures,
    good: u64,
    urgent_good: u64,
}

/// Runs a bench and returns its figures.
pub fn run(bench: Bench) -> Result<Figures> {
    let mut running = Running::new(bench)?;
    let mut workload = Workload::new(bench.seed, bench.rate, bench.urgent_share);
    let mut number = 0;
    loop {
        let request = workload.next_request();
        if request.at > bench.duration {
            break;
        }
        let now = Time(request.at.as_micros() as u64);
        running.step_until(now);
        running.arrive(now, number, &request);
        number += 1;
    }
    running.step_until(Time(bench.duration.as_micros() as u64));
    Ok(running.finish())
}

impl Running {
    fn new(bench: Bench) -> Result<Self> {
        let hosts = hosts(bench.engines)?;
        let service: ServiceName = "lantern".parse()?;
        let set = crate::sample::declarations().map_err(|f| eyre!("{} faults", f.len()))?;
        let set: Arc<DeclarationSet> = Arc::new(set);
        let mut placements = Vec::new();
        let mut limits = Vec::new();
        for daemon in 0..bench.daemons {
            let seed = bench.seed * 1000 + daemon as u64;
            let mut placement = Placement::with_seed("salish-a".parse()?, seed);
            placement.refresh(&hosts);
            placements.push(placement);
            let mut limit = Limits::new();
            limit.refresh(set.clone());
            limits.push(limit);
        }
        let engine = EngineConfig { cache_capacity: bench.cache_tokens, ..EngineConfig::default() };
        let classes = [RequestClass::Interactive, RequestClass::Batch];
        let mut histograms = IndexMap::new();
        for class in classes {
            histograms.insert(class, Histogram::new_with_max(600_000_000, 3)?);
        }
        let figures = Figures {
            cached_share: 0.0,
            first_token: histograms.clone(),
            between_tokens: histograms,
            arrived: 0,
            refused: 0,
            goodput: 0.0,
            urgent_goodput: 0.0,
        };
        Ok(Self {
            bench,
            engines: vec![EngineModel::new(engine); hosts.len()],
            reports: vec![(Time(0), LoadReport::default()); hosts.len()],
            hosts,
            placements,
            limits,
            service,
            version: "v1".parse()?,
            rng: Pcg64Mcg::seed_from_u64(bench.seed),
            in_flight: IndexMap::new(),
            steps: BinaryHeap::new(),
            figures,
            good: 0,
            urgent_good: 0,
        })
    }

    fn arrive(&mut self, now: Time, number: u64, request: &Request) {
        self.figures.arrived += 1;
        let service = self.service.clone();
        let daemon = self.rng.random_range(0..self.bench.daemons);
        let tokens = request.max_tokens + request.prompt.split_ascii_whitespace().count() as u64;
        let admission_request =
            AdmissionRequest { customer: None, service: &service, class: request.class, tokens };
        if self.bench.limits
            && self.limits[daemon].admit(now, &admission_request) != Admission::Admitted
        {
            self.figures.refused += 1;
            return;
        }
        let engine = self.choose(now, daemon, request);
        let priority = match request.class {
            RequestClass::Interactive => 0,
            RequestClass::Batch => 4,
        };
        let id = number.to_string();
        let submission = Submission {
            id: id.clone(),
            prompt: request.prompt.clone(),
            resumed_text: String::new(),
            offset: 0,
            max_tokens: request.max_tokens,
            priority,
            deadline: None,
            slowdown: 1.0,
        };
        if self.engines[engine].submit(now, submission).is_err() {
            self.figures.refused += 1;
            self.placements[daemon].record_overload(now, &self.hosts[engine].upstream);
            if self.bench.limits {
                self.limits[daemon].record_rejection(now, &self.service);
                self.limits[daemon].release_work(now, &admission_request);
            }
            return;
        }
        self.placements[daemon].record_start(&self.hosts[engine].upstream);
        self.schedule(engine);
        let in_flight = InFlight {
            class: request.class,
            daemon,
            engine,
            tokens,
            arrived: now,
            first: None,
            last: now,
        };
        self.in_flight.insert(id, in_flight);
    }

    fn choose(&mut self, now: Time, daemon: usize, request: &Request) -> usize {
        let placement = &mut self.placements[daemon];
        match self.bench.policy {
            Policy::Random => self.rng.random_range(0..self.hosts.len()),
            Policy::LeastOutstanding => {
                let start = self.rng.random_range(0..self.hosts.len());
                let places = (0..self.hosts.len()).map(|i| (start + i) % self.hosts.len());
                let least = places.min_by_key(|&i| placement.outstanding(&self.hosts[i].upstream));
                least.unwrap_or(0)
            }
            Policy::Affinity => {
                let prefix = placement.affinity(&self.service, &request.prompt);
                let criteria = SelectionCriteria {
                    service: &self.service,
                    version: &self.version,
                    class: request.class,
                    prefix_hash: Some(prefix),
                    excluded: &[],
                };
                let chosen = placement.choose(now, &self.hosts, &criteria);
                let id: Option<&UpstreamId> = chosen.map(|host| &host.upstream);
                self.hosts.iter().position(|host| Some(&host.upstream) == id).unwrap_or(0)
            }
        }
    }

    fn schedule(&mut self, engine: usize) {
        if let Some(at) = self.engines[engine].next_step() {
            self.steps.push(Reverse((at, engine)));
        }
    }

    fn step_until(&mut self, until: Time) {
        while let Some(&Reverse((at, engine))) = self.steps.peek() {
            if at > until {
                return;
            }
            self.steps.pop();
            // A step that was scheduled twice has been taken already.
            if self.engines[engine].next_step() != Some(at) {
                continue;
            }
            let mut out = Vec::new();
            self.engines[engine].step(at, &mut out);
            for (id, output) in out {
                self.output(at, &id, &output);
            }
            self.report(at, engine);
            self.schedule(engine);
        }
    }

    fn output(&mut self, at: Time, id: &str, output: &Output) {
        let Some(request) = self.in_flight.get_mut(id) else { return };
        match output {
            Output::Token(_) if request.first.is_none() => {
                request.first = Some(at);
                let histogram = &mut self.figures.first_token[&request.class];
                histogram.saturating_record(at.since(request.arrived).as_micros() as u64);
                request.last = at;
                let upstream = &self.hosts[request.engine].upstream;
                self.placements[request.daemon].record_first_token(upstream);
                if self.bench.limits {
                    let admission_request = AdmissionRequest {
                        customer: None,
                        service: &self.service,
                        class: request.class,
                        tokens: request.tokens,
                    };
                    let latency = at.since(request.arrived);
                    self.limits[request.daemon].record_latency(at, &admission_request, latency);
                }
            }
            Output::Token(_) => {
                let gap = at.since(request.last);
                let histogram = &mut self.figures.between_tokens[&request.class];
                histogram.saturating_record(gap.as_micros() as u64);
                request.last = at;
            }
            Output::Done(_) | Output::Overdue => self.done(at, id),
        }
    }

    fn done(&mut self, at: Time, id: &str) {
        let Some(request) = self.in_flight.swap_remove(id) else { return };
        let upstream = &self.hosts[request.engine].upstream;
        let first = request.first.map(|first| first.since(request.arrived));
        self.placements[request.daemon].record_end(at, upstream, AttemptResult::Answered);
        let (age, report) = self.reports[request.engine];
        let report = LoadReport { age: at.since(age), ..report };
        self.placements[request.daemon].record_load(at, upstream, report);
        if self.bench.limits {
            let admission_request = AdmissionRequest {
                customer: None,
                service: &self.service,
                class: request.class,
                tokens: request.tokens,
            };
            self.limits[request.daemon].release_work(at, &admission_request);
        }
        let in_time = first.is_some_and(|first| first <= Duration::from_millis(880));
        match request.class {
            RequestClass::Interactive if in_time => {
                self.good += request.tokens;
                self.urgent_good += 1;
            }
            RequestClass::Batch => self.good += request.tokens,
            RequestClass::Interactive => {}
        }
    }

    /// Keeps a report that daemons get only after the lag.
    fn report(&mut self, at: Time, engine: usize) {
        if at.since(self.reports[engine].0) >= REPORT_LAG {
            let load = self.engines[engine].load();
            let report = LoadReport {
                running: load.running as u32,
                waiting: load.waiting as u32,
                age: Duration::ZERO,
            };
            self.reports[engine] = (at, report);
        }
    }

    fn finish(mut self) -> Figures {
        let computed: u64 = self.engines.iter().map(EngineModel::computed).sum();
        let cached: u64 = self.engines.iter().map(EngineModel::cached).sum();
        self.figures.cached_share = cached as f64 / (cached + computed).max(1) as f64;
        let seconds = self.bench.duration.as_secs_f64();
        self.figures.goodput = self.good as f64 / seconds;
        self.figures.urgent_goodput = self.urgent_good as f64 / seconds;
        self.figures
    }
}

/// Makes the host list of this many engines.
pub fn hosts(count: usize) -> Result<Vec<HostRecord>> {
    let mut hosts = Vec::new();
    for index in 0..count {
        hosts.push(HostRecord {
            host: format!("h{index}").parse()?,
            upstream: format!("u{index}").parse()?,
            address: ([127, 0, 0, 1], 1).into(),
            data_centre: "salish-a".parse()?,
            zone: "salish-a".parse()?,
            class: "standard".parse()?,
            kind: HostKind::Reclaimable,
            service: "lantern".parse()?,
            version: "v1".parse()?,
            state: HostState::Live,
        });
    }
    Ok(hosts)
}
