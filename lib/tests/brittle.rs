//! Upstreams that fall over when they have to reject too many requests: what daemons keep and report
//! of them, and a simulation of many daemons with delayed messages.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    fmt,
    rc::Rc,
    time::Duration,
};

use dogwoodturn::{
    ids::{DaemonId, ServiceName, UpstreamId},
    limit::{
        brittle::{
            BrittleUpstreams, Change, Occupancy, Report, ReportWire, TURN, Target, Tolerance, Turn,
            home_rank,
        },
        upstream::Position,
    },
    units::Time,
};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg32;

/// Times of the simulation are in microseconds.
const MS: u64 = 1000;
const SECOND: u64 = 1000 * MS;
/// When the upstreams become brittle, when their queues become short, and the end.
const BRITTLE_AT: u64 = 2 * SECOND;
const SHORT_QUEUE_AT: u64 = BRITTLE_AT + 3500 * MS;
const END: u64 = 25 * SECOND;
/// The queue of an upstream before it becomes short.
const LONG_QUEUE: usize = 8;
/// The interval of a daemon's messages, each to some of the others in rotation.
const TICK: u64 = 50 * MS;
const RECIPIENTS: usize = 12;
const DOWNTIME: u64 = 4 * SECOND;
/// The least share of what is possible that is served.
const MIN_SERVED: f64 = 0.4;
/// Sends of one request by its caller, each to another daemon.
const CALLER_ATTEMPTS: u32 = 3;

#[derive(Clone, Copy, Debug)]
struct Case {
    daemons: usize,
    upstreams: usize,
    slots: u32,
    queue: usize,
    tolerance: u32,
    run_ms: u64,
    /// The requests that are sent, as a share of what the slots run.
    load: f64,
    holds_back: bool,
}

#[derive(Debug, Default)]
struct Outcome {
    sent: usize,
    served: usize,
    refused: usize,
    broken: usize,
    rejected: usize,
    falls: usize,
    capacity: f64,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { sent, served, refused, broken, rejected, falls, capacity } = self;
        let possible = capacity.min(*sent as f64);
        let share = *served as f64 / possible;
        write!(
            f,
            "{falls} falls, {rejected} rejections, {served} of {sent} served ({share:.2} of what is \
             possible), {refused} refused, {broken} broken"
        )
    }
}

#[derive(Clone, Debug)]
struct Request {
    daemon: usize,
    caller_attempts: u32,
    tried: Vec<usize>,
    sent_at: u64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Response {
    Served,
    Rejected,
    Broken,
}

enum Event {
    Arrival(usize, u32),
    Delivery(usize, Request),
    RunEnd(usize, u32, Request),
    Response(usize, Request, Response),
    Tick(usize),
    Work(usize, usize, Rc<Vec<u32>>),
    Reports(usize, usize, Rc<Vec<Report>>),
}

#[derive(Default)]
struct Server {
    running: u32,
    waiting: VecDeque<Request>,
    in_progress: Vec<Request>,
    rejections: VecDeque<u64>,
    down_until: u64,
    incarnation: u32,
}

#[derive(Default)]
struct Daemon {
    brittle: BrittleUpstreams,
    own: Vec<u32>,
    /// What each peer reported, the latest first, with the time of its receipt.
    peers: Vec<VecDeque<(u64, Rc<Vec<u32>>)>>,
    down_until: Vec<u64>,
    next_peer: usize,
}

struct Simulation {
    case: Case,
    rng: Pcg32,
    service: ServiceName,
    names: Vec<UpstreamId>,
    daemon_names: Vec<DaemonId>,
    daemons: Vec<Daemon>,
    servers: Vec<Server>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: indexmap::IndexMap<u64, Event>,
    next_event: u64,
    outcome: Outcome,
}

fn hash(upstream: usize, daemon: usize) -> u64 {
    let mut rng = Pcg32::new(upstream as u64, daemon as u64);
    rng.random()
}

fn position(daemons: usize, own: usize, upstream: usize) -> Position {
    let weight = |daemon: usize| hash(upstream, daemon);
    let own = weight(own);
    let rank = (0..daemons).filter(|daemon| weight(*daemon) > own).count() as u32;
    Position { rank, count: daemons as u32 }
}

impl Simulation {
    fn new(case: Case, seed: u64) -> Self {
        let daemon = || Daemon {
            own: vec![0; case.upstreams],
            peers: vec![VecDeque::new(); case.daemons],
            down_until: vec![0; case.upstreams],
            ..Daemon::default()
        };
        let mut simulation = Self {
            case,
            rng: Pcg32::seed_from_u64(seed),
            service: "plain".parse().unwrap(),
            names: (0..case.upstreams).map(|u| format!("u{u}").parse().unwrap()).collect(),
            daemon_names: (0..case.daemons).map(|d| format!("d{d}").parse().unwrap()).collect(),
            daemons: (0..case.daemons).map(|_| daemon()).collect(),
            servers: (0..case.upstreams).map(|_| Server::default()).collect(),
            queue: BinaryHeap::new(),
            events: indexmap::IndexMap::new(),
            next_event: 0,
            outcome: Outcome::default(),
        };
        for daemon in 0..case.daemons {
            let at = simulation.rng.random_range(0..TICK);
            simulation.push(at, Event::Tick(daemon));
        }
        simulation.push(0, Event::Arrival(0, 0));
        simulation
    }

    fn push(&mut self, at: u64, event: Event) {
        self.next_event += 1;
        self.queue.push(Reverse((at, self.next_event)));
        self.events.insert(self.next_event, event);
    }

    fn network_delay(&mut self) -> u64 {
        self.rng.random_range(MS..4 * MS)
    }

    fn exponential(&mut self, mean: f64) -> u64 {
        (-mean * (1.0 - self.rng.random::<f64>()).ln()) as u64
    }

    fn run(mut self) -> Outcome {
        let places = self.case.upstreams as f64 * f64::from(self.case.slots);
        let per_second = places * 1000.0 / self.case.run_ms as f64;
        self.outcome.capacity = per_second * ((END - SHORT_QUEUE_AT) / SECOND) as f64;
        let interval = SECOND as f64 / (per_second * self.case.load);
        while let Some(Reverse((now, number))) = self.queue.pop() {
            if now >= END {
                break;
            }
            let event = self.events.swap_remove(&number).unwrap();
            match event {
                Event::Arrival(daemon, 0) => {
                    self.outcome.sent += usize::from(now >= SHORT_QUEUE_AT);
                    self.receive(now, daemon, 1);
                    // Callers are unevenly divided over daemons, and come in bursts.
                    let uneven = self.rng.random::<f64>().powf(1.4);
                    let next = (uneven * self.case.daemons as f64) as usize;
                    let pace = if now % (5 * SECOND) < SECOND { 0.5 } else { 1.125 };
                    let at = now + self.exponential(interval * pace);
                    self.push(at, Event::Arrival(next.min(self.case.daemons - 1), 0));
                }
                Event::Arrival(daemon, attempts) => self.receive(now, daemon, attempts),
                Event::Delivery(upstream, request) => self.deliver(now, upstream, request),
                Event::RunEnd(upstream, incarnation, request) => {
                    if self.servers[upstream].incarnation == incarnation {
                        self.end_run(now, upstream, &request);
                    }
                }
                Event::Response(upstream, request, response) => {
                    self.respond(now, upstream, request, response);
                }
                Event::Tick(daemon) => self.tick(now, daemon),
                Event::Work(to, from, work) => {
                    let reports = &mut self.daemons[to].peers[from];
                    reports.push_front((now, work));
                    reports.truncate(4);
                }
                Event::Reports(to, from, reports) => {
                    let from = &self.daemon_names[from];
                    self.daemons[to].brittle.merge(Time(now), from, reports.iter().cloned());
                }
            }
        }
        self.outcome
    }

    fn receive(&mut self, now: u64, daemon: usize, caller_attempts: u32) {
        self.send(now, Request { daemon, caller_attempts, tried: Vec::new(), sent_at: now });
    }

    /// Sends a request to the upstream with the least known work of those that may get one.
    fn send(&mut self, now: u64, mut request: Request) {
        let case = self.case;
        let daemon = &mut self.daemons[request.daemon];
        let tolerance = daemon.brittle.service_tolerance(Time(now), &self.service);
        let rounds = (case.daemons - 1).div_ceil(RECIPIENTS).max(1) as u32;
        let report_age = Duration::from_micros(TICK) * (rounds + 1) + Duration::from_millis(60);
        let report_age_us = report_age.as_micros() as u64;
        let turn = Turn::at(now / MS, report_age);
        let mut shortest_wait = Duration::MAX;
        let mut best: Option<(f64, usize)> = None;
        for upstream in 0..case.upstreams {
            if request.tried.contains(&upstream) || daemon.down_until[upstream] > now {
                continue;
            }
            let mut peers = 0;
            let mut held_by_peers = 0;
            for reports in &daemon.peers {
                let Some((_, latest)) = reports.front() else { continue };
                let recent = reports.iter().filter(|(at, _)| now - at < report_age_us);
                let least = recent.map(|(_, work)| work[upstream]).min();
                peers += latest[upstream];
                held_by_peers += least.unwrap_or(latest[upstream]);
            }
            let own = daemon.own[upstream];
            if let Some(service_tolerance) = tolerance.filter(|_| case.holds_back) {
                let occupancy =
                    Occupancy { slots: case.slots, own, peers, held_by_peers, reported: None };
                let service = &self.service;
                let by_service = position(case.daemons, request.daemon, usize::MAX);
                let target = Target {
                    upstream: &self.names[upstream],
                    service,
                    service_tolerance,
                    home_rank: home_rank(by_service, upstream, case.upstreams),
                };
                let wait = daemon.brittle.wait(Time(now), target, occupancy, turn, |_| {
                    position(case.daemons, request.daemon, upstream)
                });
                if !wait.is_zero() {
                    shortest_wait = shortest_wait.min(wait);
                    continue;
                }
            }
            let score = f64::from(own + peers) + self.rng.random::<f64>() * 0.9;
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, upstream));
            }
        }
        // As many may wait as the slots run in 0.6 of a latency target of two runs.
        let most = f64::from(case.slots) * 2.2;
        match best {
            Some((score, upstream)) if score <= most => {
                daemon.own[upstream] += 1;
                request.tried.push(upstream);
                request.sent_at = now;
                let at = now + self.network_delay();
                self.push(at, Event::Delivery(upstream, request));
            }
            _ => {
                if best.is_none() && shortest_wait == Duration::MAX {
                    daemon.brittle.record_no_upstream(Time(now), &self.service);
                }
                let wait = shortest_wait.min(Duration::from_millis(500));
                self.refuse(now, &request, wait);
            }
        }
    }

    fn refuse(&mut self, now: u64, request: &Request, wait: Duration) {
        if request.caller_attempts >= CALLER_ATTEMPTS {
            self.outcome.refused += usize::from(now >= SHORT_QUEUE_AT);
            return;
        }
        let wait = wait.as_micros() as f64 * self.rng.random_range(1.0..1.5);
        let daemon = self.rng.random_range(0..self.case.daemons);
        self.push(now + wait as u64, Event::Arrival(daemon, request.caller_attempts + 1));
    }

    fn deliver(&mut self, now: u64, upstream: usize, request: Request) {
        let case = self.case;
        let back_at = now + self.network_delay();
        let server = &mut self.servers[upstream];
        if server.down_until > now {
            return self.push(back_at, Event::Response(upstream, request, Response::Broken));
        }
        let queue = if now < SHORT_QUEUE_AT { LONG_QUEUE } else { case.queue };
        if server.running < case.slots {
            return self.start(now, upstream, request);
        }
        if server.waiting.len() < queue {
            return server.waiting.push_back(request);
        }
        self.outcome.rejected += usize::from(now >= SHORT_QUEUE_AT);
        server.rejections.push_back(now);
        server.rejections.retain(|at| now - at < SECOND);
        self.push(back_at, Event::Response(upstream, request, Response::Rejected));
        if now >= SHORT_QUEUE_AT
            && self.servers[upstream].rejections.len() > case.tolerance as usize
        {
            self.fall(now, upstream);
        }
    }

    fn start(&mut self, now: u64, upstream: usize, request: Request) {
        let mean = self.case.run_ms * MS;
        let run = mean / 2 + self.exponential(mean as f64 / 2.0);
        let server = &mut self.servers[upstream];
        server.running += 1;
        server.in_progress.push(request.clone());
        let incarnation = server.incarnation;
        self.push(now + run, Event::RunEnd(upstream, incarnation, request));
    }

    fn end_run(&mut self, now: u64, upstream: usize, request: &Request) {
        let server = &mut self.servers[upstream];
        server.running -= 1;
        let same =
            |other: &Request| other.daemon == request.daemon && other.sent_at == request.sent_at;
        let index = server.in_progress.iter().position(same).unwrap();
        let request = server.in_progress.swap_remove(index);
        let next = server.waiting.pop_front();
        let at = now + self.network_delay();
        self.push(at, Event::Response(upstream, request, Response::Served));
        if let Some(next) = next {
            self.start(now, upstream, next);
        }
    }

    fn fall(&mut self, now: u64, upstream: usize) {
        self.outcome.falls += 1;
        let server = &mut self.servers[upstream];
        let old = std::mem::take(server);
        server.incarnation = old.incarnation + 1;
        server.down_until = now + DOWNTIME;
        for request in old.in_progress.into_iter().chain(old.waiting) {
            self.push(now + MS, Event::Response(upstream, request, Response::Broken));
        }
    }

    fn respond(&mut self, now: u64, upstream: usize, request: Request, response: Response) {
        let daemon = &mut self.daemons[request.daemon];
        daemon.own[upstream] -= 1;
        if response == Response::Broken {
            daemon.down_until[upstream] = now + 700 * MS;
            self.outcome.broken += 1;
            return;
        }
        let announced = (now >= BRITTLE_AT).then_some(Tolerance(self.case.tolerance));
        let (name, service) = (&self.names[upstream], &self.service);
        daemon.brittle.record(Time(now), name, service, Time(request.sent_at), announced);
        if response == Response::Served {
            self.outcome.served += usize::from(now >= SHORT_QUEUE_AT);
            return;
        }
        daemon.brittle.record_rejection(Time(now), name);
        if request.tried.len() < 2 {
            return self.send(now, request);
        }
        self.refuse(now, &request, Duration::from_millis(250));
    }

    fn tick(&mut self, now: u64, from: usize) {
        self.push(now + TICK, Event::Tick(from));
        let (daemons, daemon) = (self.case.daemons, &mut self.daemons[from]);
        let work = Rc::new(daemon.own.clone());
        let index = |name: &UpstreamId| name.as_str()[1..].parse::<usize>().unwrap();
        daemon.brittle.record_reported(Time(now), |name| work[index(name)]);
        let next = daemon.next_peer;
        daemon.next_peer = (next + RECIPIENTS) % (daemons - 1);
        let reports = if daemon.brittle.take_news() {
            Some(Rc::new(daemon.brittle.reports(Time(now))))
        } else {
            None
        };
        let peer_at = |step: usize| (from + 1 + step % (daemons - 1)) % daemons;
        for step in 0..RECIPIENTS.min(daemons - 1) {
            let at = now + self.network_delay();
            self.push(at, Event::Work(peer_at(next + step), from, work.clone()));
        }
        for to in (0..daemons).filter(|to| *to != from) {
            if let Some(reports) = &reports {
                let at = now + self.network_delay();
                self.push(at, Event::Reports(to, from, reports.clone()));
            }
        }
    }
}

fn cases() -> Vec<Case> {
    let mut cases = Vec::new();
    let sizes = [
        (7, 7, 8, 0, 1),
        (7, 12, 16, 2, 3),
        (16, 10, 6, 0, 1),
        (30, 12, 12, 1, 3),
        (90, 20, 6, 0, 1),
        (90, 5, 64, 2, 20),
    ];
    for (daemons, upstreams, slots, queue, tolerance) in sizes {
        for run_ms in [120, 1000] {
            for load in [0.3, 0.8, 1.6] {
                let holds_back = true;
                cases.push(Case {
                    daemons,
                    upstreams,
                    slots,
                    queue,
                    tolerance,
                    run_ms,
                    load,
                    holds_back,
                });
            }
        }
    }
    cases
}

fn allowed_falls(case: &Case) -> usize {
    2 + case.upstreams / 10
}

#[test]
fn wait_rejections_of_all_daemons_make_few_upstreams_fall_over() {
    let mut failures = Vec::new();
    for (seed, case) in (1..).zip(cases()) {
        let outcome = Simulation::new(case, seed).run();
        println!("{case:?}\n  {outcome}");
        let served = outcome.served as f64 / outcome.capacity.min(outcome.sent as f64);
        if outcome.falls > allowed_falls(&case) || served < MIN_SERVED {
            failures.push(format!("{case:?}: {outcome}"));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

#[test]
fn simulation_daemons_that_do_not_hold_back_make_upstreams_fall_over() {
    for (seed, case) in (1..).zip(cases().into_iter().filter(|case| case.load > 1.0)) {
        let outcome = Simulation::new(Case { holds_back: false, ..case }, seed).run();
        println!("{case:?}\n  {outcome}");
        assert!(outcome.falls > allowed_falls(&case), "{case:?}: {outcome}");
    }
}

const ALONE: Position = Position { rank: 0, count: 1 };

fn at(ms: u64) -> Time {
    Time(100_000_000 + ms * MS)
}

fn upstream() -> UpstreamId {
    "u1".parse().unwrap()
}

fn service() -> ServiceName {
    "plain".parse().unwrap()
}

fn peer() -> DaemonId {
    "peer".parse().unwrap()
}

/// What a daemon knows that received a response which announces 2 rejections a second.
fn brittle() -> BrittleUpstreams {
    let mut brittle = BrittleUpstreams::default();
    brittle.record(at(0), &upstream(), &service(), at(0), Some(Tolerance(2)));
    brittle
}

fn wait(
    brittle: &mut BrittleUpstreams,
    ms: u64,
    occupancy: Occupancy,
    position: Position,
) -> Duration {
    wait_in_turn(brittle, ms, occupancy, position, 0)
}

fn wait_in_turn(
    brittle: &mut BrittleUpstreams,
    ms: u64,
    occupancy: Occupancy,
    position: Position,
    turn: u64,
) -> Duration {
    let (upstream, service) = (upstream(), service());
    let Some(service_tolerance) = brittle.service_tolerance(at(ms), &service) else {
        return Duration::ZERO;
    };
    let target =
        Target { upstream: &upstream, service: &service, service_tolerance, home_rank: None };
    let in_turn = Turn::at(turn * TURN.as_millis() as u64 + 1000, Duration::from_millis(200));
    brittle.wait(at(ms), target, occupancy, in_turn, |_| position)
}

fn occupancy(own: u32, peers: u32) -> Occupancy {
    Occupancy { slots: 4, own, peers, held_by_peers: peers, reported: None }
}

#[test]
fn wait_fills_the_slots_and_no_more() {
    let mut brittle = brittle();
    assert!(wait(&mut brittle, 10, occupancy(3, 0), ALONE).is_zero());
    assert!(!wait(&mut brittle, 10, occupancy(4, 0), ALONE).is_zero());
    assert!(!wait(&mut brittle, 10, occupancy(1, 3), ALONE).is_zero());
    let reported = Occupancy { reported: Some(4), ..occupancy(0, 0) };
    assert!(
        !wait(&mut brittle, 10, reported, ALONE).is_zero(),
        "the upstream says that it is full"
    );
}

#[test]
fn wait_free_places_go_to_the_next_daemons_in_each_turn() {
    let mut brittle = brittle();
    brittle.record_no_upstream(at(0), &service());
    let allowed = |turn: u64| -> Vec<u32> {
        let is_allowed = |rank: &u32| {
            let (mut brittle, position) = (brittle.clone(), Position { rank: *rank, count: 6 });
            wait_in_turn(&mut brittle, 10, occupancy(0, 2), position, turn).is_zero()
        };
        (0..6).filter(is_allowed).collect()
    };
    assert_eq!(allowed(0), [0, 1]);
    assert_eq!(allowed(1), [2, 3]);
    assert_eq!(allowed(2), [4, 5]);
}

// With more daemons than places, daemons outside the first ranks of all upstreams were always refused.
#[test]
fn wait_daemon_without_a_place_may_use_its_home() {
    let mut brittle = brittle();
    // Two requests at the four slots are too many for sends by most daemons, and few enough for some.
    let mut send = |ms: u64, rank: u32, home_rank: Option<u32>| {
        let (upstream, service) = (upstream(), service());
        let tolerance = Tolerance(2);
        let target = Target {
            upstream: &upstream,
            service: &service,
            service_tolerance: tolerance,
            home_rank,
        };
        let turn = Turn::at(1000, Duration::from_millis(200));
        let position = Position { rank, count: 16 };
        brittle.wait(at(ms), target, occupancy(0, 1), turn, |_| position).is_zero()
    };
    for ms in 0..30 {
        send(ms * 100, 15, None);
    }
    assert!(!send(3000, 15, None), "not every daemon may send while some places are in use");
    assert!(send(3010, 15, Some(7)));
    assert!(!send(3020, 15, Some(8)), "more daemons have this home than its slots allow");
}

#[test]
fn home_rank_spreads_daemons_evenly() {
    for (daemons, upstreams) in [(1, 3), (16, 2), (59, 4), (295, 5)] {
        let mut homes = vec![Vec::new(); upstreams];
        for rank in 0..daemons {
            let position = Position { rank, count: daemons };
            let ranks = (0..upstreams)
                .filter_map(|index| Some((index, home_rank(position, index, upstreams)?)));
            let ranks: Vec<_> = ranks.collect();
            assert_eq!(ranks.len(), 1, "daemon {rank} of {daemons} has one home");
            homes[ranks[0].0].push(ranks[0].1);
        }
        for ranks in homes {
            assert!(ranks.iter().copied().eq(0..ranks.len() as u32), "{ranks:?}");
            assert!(ranks.len().abs_diff(daemons as usize / upstreams) <= 1, "{ranks:?}");
        }
    }
    assert_eq!(home_rank(ALONE, 0, 0), None);
}

#[test]
fn wait_rejections_hold_all_daemons_back() {
    let mut here = brittle();
    here.record_rejection(at(100), &upstream());
    assert!(!wait(&mut here, 200, occupancy(0, 0), ALONE).is_zero());
    assert!(here.take_news());
    let reports: Vec<ReportWire> = here.reports(at(150)).into_iter().map(Into::into).collect();
    let mut there = BrittleUpstreams::default();
    there.merge(at(160), &peer(), reports.iter().cloned().map(Report::from));
    assert!(!wait(&mut there, 200, occupancy(0, 0), ALONE).is_zero());
    // The same rejection, reported again, counts once and not for longer.
    there.merge(at(160), &peer(), reports.into_iter().map(Report::from));
    assert!(wait(&mut there, 1500, occupancy(0, 0), ALONE).is_zero());
    assert!(!there.take_news(), "reports of peers are not passed on");
}

#[test]
fn record_announcement_ends_with_a_later_response_without_it() {
    let mut brittle = brittle();
    brittle.record(at(20), &upstream(), &service(), at(0), None);
    assert!(!wait(&mut brittle, 30, occupancy(4, 0), ALONE).is_zero(), "it was sent before");
    brittle.record(at(40), &upstream(), &service(), at(30), None);
    assert!(wait(&mut brittle, 50, occupancy(4, 0), ALONE).is_zero());
    let expected =
        [Some(Tolerance(2)), None].map(|tolerance| Change { upstream: upstream(), tolerance });
    assert_eq!(brittle.take_changes(), expected);
    brittle.expire(at(6000));
    assert!(brittle.is_empty());
}

#[test]
fn wait_upstream_that_restarted_is_still_brittle() {
    let mut brittle = brittle();
    brittle.record_rejection(at(100), &upstream());
    brittle.reset(at(200), &upstream());
    assert!(wait(&mut brittle, 210, occupancy(0, 0), ALONE).is_zero(), "its rejections are gone");
    assert!(!wait(&mut brittle, 220, occupancy(4, 0), ALONE).is_zero());
    let other: UpstreamId = "u2".parse().unwrap();
    let service = service();
    let target = Target {
        upstream: &other,
        service: &service,
        service_tolerance: Tolerance(2),
        home_rank: None,
    };
    let turn = Turn::at(1000, Duration::from_millis(200));
    let wait = brittle.wait(at(230), target, occupancy(4, 0), turn, |_| ALONE);
    assert!(!wait.is_zero(), "the others of its service are");
}

#[test]
fn expire_announcement_without_responses() {
    let mut brittle = brittle();
    brittle.expire(at(31_000));
    assert!(brittle.is_empty());
}

#[test]
fn upstreams_and_rejections_are_bounded() {
    let mut brittle = BrittleUpstreams::default();
    for number in 0..5000_u64 {
        let id = format!("u{number}").parse().unwrap();
        brittle.record(at(number), &id, &service(), at(number), Some(Tolerance(1)));
        for _ in 0..100 {
            brittle.record_rejection(at(number), &id);
        }
    }
    let reports = brittle.reports(at(5000));
    assert!(reports.len() <= 1024);
    assert!(reports.iter().all(|report| report.rejections.len() <= 32));
}

#[test]
fn tolerance_rejects_what_is_no_number_of_rejections() {
    for text in ["", "x", "-1", "nan", "inf", "1e999"] {
        assert!(text.parse::<Tolerance>().is_err(), "{text}");
    }
    for (text, rejections) in [("3", 3), (" 2 ", 2), ("0", 0), ("1.9", 1), ("20/s", 20)] {
        assert_eq!(text.parse(), Ok(Tolerance(rejections)), "{text}");
    }
    assert_eq!(Tolerance(2).to_string(), "2/s");
}
