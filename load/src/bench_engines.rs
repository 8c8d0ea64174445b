//! Simulates engines and the daemons that place requests on them, to compare placement policies.
//!
//! Time is simulated. Only the engine model and the daemons' placement and limits run here; there
//! is no network and no fault. Each daemon decides from its own counters and from delayed load
//! reports.

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

/// Minimum interval between two load reports of an engine. A daemon receives the latest report when
/// a request ends, with its age.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// The policy by which a daemon chooses an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// An upstream at random, all with the same probability.
    Random,
    /// The upstream with the fewest requests outstanding from the daemon that chooses.
    LeastOutstanding,
    /// Prefix-affinity placement, as in production.
    Affinity,
}

/// Parameters of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct Bench {
    pub policy: Policy,
    /// Whether the daemons apply admission limits.
    pub limits: bool,
    pub engines: usize,
    /// Capacity of each engine's prefix cache, in tokens.
    pub cache_tokens: u64,
    pub daemons: usize,
    /// Arrival rate over all daemons, in requests per second.
    pub rate: f64,
    /// The share of interactive requests, from 0 to 1.
    pub urgent_share: f64,
    /// How long requests arrive; the simulation ends then.
    pub duration: Duration,
    /// Seed of the arrivals and of the random choices.
    pub seed: u64,
}

/// Results of a simulation.
#[derive(Clone, Debug)]
pub struct SimulationResults {
    /// The share of prompt tokens that were in a prefix cache, from 0 to 1.
    pub cached_share: f64,
    /// Time to first token by class, in microseconds.
    pub first_token: IndexMap<RequestClass, Histogram<u64>>,
    /// Time between tokens by class, in microseconds.
    pub between_tokens: IndexMap<RequestClass, Histogram<u64>>,
    pub arrived: u64,
    pub refused: u64,
    /// Tokens of prompts and responses per second, of completed batch requests and of completed
    /// interactive requests whose first token met the latency target.
    pub goodput: f64,
    /// Completed interactive requests whose first token met the latency target, per second.
    pub urgent_goodput: f64,
}

struct InFlight {
    class: RequestClass,
    daemon: usize,
    engine: usize,
    tokens: u64,
    arrived: Time,
    first_token_at: Option<Time>,
    last_token_at: Time,
}

struct Simulation {
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
    results: SimulationResults,
    good_tokens: u64,
    urgent_good_requests: u64,
}

/// Runs a simulation and returns its results.
pub fn run(bench: Bench) -> Result<SimulationResults> {
    let mut simulation = Simulation::new(bench)?;
    let mut workload = Workload::new(bench.seed, bench.rate, bench.urgent_share);
    let mut number = 0;
    loop {
        let request = workload.next_request();
        if request.at > bench.duration {
            break;
        }
        let now = Time(request.at.as_micros() as u64);
        simulation.step_until(now);
        simulation.arrive(now, number, &request);
        number += 1;
    }
    simulation.step_until(Time(bench.duration.as_micros() as u64));
    Ok(simulation.finish())
}

impl Simulation {
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
        let results = SimulationResults {
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
            results,
            good_tokens: 0,
            urgent_good_requests: 0,
        })
    }

    fn arrive(&mut self, now: Time, number: u64, request: &Request) {
        self.results.arrived += 1;
        let service = self.service.clone();
        let daemon = self.rng.random_range(0..self.bench.daemons);
        let tokens = request.max_tokens + request.prompt.split_ascii_whitespace().count() as u64;
        let admission_request =
            AdmissionRequest { customer: None, service: &service, class: request.class, tokens };
        if self.bench.limits
            && self.limits[daemon].admit(now, &admission_request) != Admission::Admitted
        {
            self.results.refused += 1;
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
            self.results.refused += 1;
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
            first_token_at: None,
            last_token_at: now,
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
            // Skips a step that was scheduled twice and has already run.
            if self.engines[engine].next_step() != Some(at) {
                continue;
            }
            let mut out = Vec::new();
            self.engines[engine].step(at, &mut out);
            for (id, output) in out {
                self.handle_output(at, &id, &output);
            }
            self.update_load_report(at, engine);
            self.schedule(engine);
        }
    }

    fn handle_output(&mut self, at: Time, id: &str, output: &Output) {
        let Some(request) = self.in_flight.get_mut(id) else { return };
        match output {
            Output::Token(_) if request.first_token_at.is_none() => {
                request.first_token_at = Some(at);
                let histogram = &mut self.results.first_token[&request.class];
                histogram.saturating_record(at.since(request.arrived).as_micros() as u64);
                request.last_token_at = at;
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
                let gap = at.since(request.last_token_at);
                let histogram = &mut self.results.between_tokens[&request.class];
                histogram.saturating_record(gap.as_micros() as u64);
                request.last_token_at = at;
            }
            Output::Done(_) | Output::Overdue => self.complete(at, id),
        }
    }

    fn complete(&mut self, at: Time, id: &str) {
        let Some(request) = self.in_flight.swap_remove(id) else { return };
        let upstream = &self.hosts[request.engine].upstream;
        let first = request.first_token_at.map(|first| first.since(request.arrived));
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
                self.good_tokens += request.tokens;
                self.urgent_good_requests += 1;
            }
            RequestClass::Batch => self.good_tokens += request.tokens,
            RequestClass::Interactive => {}
        }
    }

    /// Replaces the engine's load report once the previous one is [`REPORT_INTERVAL`] old.
    fn update_load_report(&mut self, at: Time, engine: usize) {
        if at.since(self.reports[engine].0) >= REPORT_INTERVAL {
            let load = self.engines[engine].load();
            let report = LoadReport {
                running: load.running as u32,
                waiting: load.waiting as u32,
                age: Duration::ZERO,
            };
            self.reports[engine] = (at, report);
        }
    }

    fn finish(mut self) -> SimulationResults {
        let computed: u64 = self.engines.iter().map(EngineModel::total_computed_tokens).sum();
        let cached: u64 = self.engines.iter().map(EngineModel::total_cached_tokens).sum();
        self.results.cached_share = cached as f64 / (cached + computed).max(1) as f64;
        let seconds = self.bench.duration.as_secs_f64();
        self.results.goodput = self.good_tokens as f64 / seconds;
        self.results.urgent_goodput = self.urgent_good_requests as f64 / seconds;
        self.results
    }
}

/// Builds a host list of `count` engines.
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
