//! Simulates several daemons that run one move over synthetic attempts, with a seeded event queue.

pub mod traffic;

use std::{cmp::Reverse, collections::BinaryHeap, sync::Arc, time::Duration};

use dogwoodturn::{
    declaration::{DeclarationSet, check, wire},
    ids::{CallId, DaemonId, Incarnation, ServiceName},
    ini::Source as IniSource,
    moves::{
        controller::{Effect, Event, MoveTransition, Moves},
        evidence::DaemonRun,
        message::{Message, MessageWire},
        resolution::{EndRecord, Outcome, RECORD_PREFIX},
        share::{Share, TrafficSplit},
    },
    node::report::AttemptReport,
    peer::Recipient,
    store::{CallError, Operation, Reply, memory::MemoryStore},
    units::{Clock, Time, WallTime},
};
use indexmap::IndexMap;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

use traffic::{Kind, Noise, Traffic};

/// The wall time at the start of every simulation, in milliseconds since the Unix epoch.
pub const BEGIN: WallTime = WallTime(1_800_000_000_000);
/// The time from the start of the simulation to the start of the move.
const MOVE_START: Duration = Duration::from_secs(5);
/// The bytes that TCP/IP and websocket headers add to each message.
const HEADER_BYTES: usize = 60;
/// The most neighbours of a daemon.
const MAX_NEIGHBOURS: usize = 6;

/// The parameters of a simulation.
#[derive(Clone, Debug)]
pub struct Spec {
    pub daemons: usize,
    /// Requests per second over all daemons.
    pub rate: f64,
    /// The time from the start of the move to its deadline.
    pub length: Duration,
    pub watch: Duration,
    pub kind: Kind,
    pub noise: Noise,
    pub seed: u64,
    /// The fraction of droppable messages that is lost.
    pub loss: f64,
    /// The fraction of replies of the platform that is lost.
    pub lost_replies: f64,
    /// The start and end of an outage of the platform, from the start of the move.
    pub outage: Option<(Duration, Duration)>,
    /// The time from the start of the move to the restart of one daemon.
    pub restart: Option<Duration>,
    /// The largest difference between the wall clocks of two daemons.
    pub skew: Duration,
}

impl Spec {
    pub fn new(daemons: usize, kind: Kind, seed: u64) -> Self {
        Self {
            daemons,
            rate: 200.0,
            length: Duration::from_mins(5),
            watch: Duration::from_mins(1),
            kind,
            noise: Noise::default(),
            seed,
            loss: 0.0,
            lost_replies: 0.0,
            outage: None,
            restart: None,
            skew: Duration::from_millis(20),
        }
    }
}

/// The result of a simulation.
#[derive(Clone, Debug, Default)]
pub struct SimResult {
    pub requests: u64,
    pub to_new: u64,
    /// Requests to the new version after its fault began and before the first abort.
    pub exposed: u64,
    /// Requests sent to the new version more than one second after the first abort.
    pub after_abort: u64,
    pub fault_began: Option<Time>,
    pub first_abort: Option<Time>,
    pub cause: Option<String>,
    /// The most returns from the full share to half share before any step.
    pub doubts: u32,
    pub step_times: Vec<f64>,
    pub record: Option<EndRecord>,
    pub recorded_at: Option<Time>,
    pub finish_by: Time,
    /// The share of the new version at each daemon at the end of the simulation.
    pub shares: Vec<Share>,
    /// The bytes of messages that one daemon sent per second, headers included, on average.
    pub bytes_per_second: f64,
    pub platform_calls: u64,
    pub windows: Vec<traffic::WindowSums>,
}

impl SimResult {
    pub fn outcome(&self) -> Option<Outcome> {
        self.record.as_ref().map(|record| record.outcome)
    }

    pub fn in_time(&self) -> bool {
        self.recorded_at.is_some_and(|at| at <= self.finish_by)
    }

    pub fn time_to_detect(&self) -> Option<Duration> {
        Some(self.first_abort?.since(self.fault_began?))
    }

    pub fn exposed_part(&self) -> f64 {
        self.exposed as f64 / self.requests.max(1) as f64
    }
}

enum Task {
    Request,
    Ended(usize, u64, Box<AttemptReport>),
    Deliver(usize, usize, Message),
    Apply(usize, u64, CallId, Operation),
    Reply(usize, u64, CallId, Result<Reply, CallError>),
    Wake(usize),
    Restart(usize),
}

struct Node {
    id: DaemonId,
    run: u64,
    moves: Moves,
    traffic_splits: Arc<IndexMap<ServiceName, TrafficSplit>>,
    outstanding: u32,
    wake_at: Option<Time>,
    skew: Duration,
    bytes: usize,
}

pub struct Sim {
    spec: Spec,
    set: DeclarationSet,
    nodes: Vec<Node>,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    tasks: IndexMap<u64, Task>,
    next: u64,
    now: Time,
    store: MemoryStore,
    rng: Pcg64Mcg,
    traffic: Traffic,
    observed: SimResult,
}

pub fn declarations(spec: &Spec) -> DeclarationSet {
    let start = BEGIN + MOVE_START;
    let finish_by = start + spec.length;
    let watch = spec.watch.as_secs();
    let text = format!(
        "[service lantern]\nkind = model\nversion = v1\nrepeat = safe\n[version lantern/v1]\n\
         [version lantern/v2]\n[route phrases]\npath = /phrases\nservice = lantern\n\
         [route glossaries]\npath = /glossaries\nservice = lantern\n[route quotes]\n\
         path = /quotes\nservice = lantern\n[move lantern-v2]\nservice = lantern\nfrom = v1\n\
         to = v2\nstart = {start}\nfinish-by = {finish_by}\nwatch = {watch}s\n"
    );
    let source = IniSource { file: "moves.ini".into(), text: text.into() };
    check::check(&[source]).expect("the set has no fault").set
}

impl Sim {
    pub fn new(spec: Spec) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(spec.seed);
        let set = declarations(&spec);
        let traffic = Traffic::new(&spec, MOVE_START, &mut rng);
        let nodes = (0..spec.daemons).map(|index| Node {
            id: format!("d{index}").parse().expect("a name"),
            run: 1,
            moves: moves(index, 1),
            traffic_splits: Arc::default(),
            outstanding: 0,
            wake_at: None,
            skew: spec.skew.mul_f64(rng.random::<f64>()),
            bytes: 0,
        });
        let nodes = nodes.collect();
        let finish_by = Time(0) + MOVE_START + spec.length;
        let observed = SimResult { finish_by, ..SimResult::default() };
        Self {
            set,
            nodes,
            queue: BinaryHeap::new(),
            tasks: IndexMap::new(),
            next: 0,
            now: Time(0),
            store: MemoryStore::new(),
            rng,
            traffic,
            observed,
            spec,
        }
    }

    /// Runs until 10 s after the end is recorded, and at most until 10 s after the deadline.
    pub fn run(mut self) -> SimResult {
        for node in 0..self.nodes.len() {
            self.start_node(node);
        }
        self.schedule(Time(0), Task::Request);
        if let Some(after) = self.spec.restart {
            self.schedule(Time(0) + MOVE_START + after, Task::Restart(0));
        }
        let end = self.observed.finish_by + Duration::from_secs(10);
        while let Some(Reverse((time, key))) = self.queue.pop() {
            let Some(task) = self.tasks.swap_remove(&key) else { continue };
            if time > end {
                break;
            }
            self.now = time;
            self.carry_out(task);
            let is_settled = self
                .observed
                .recorded_at
                .is_some_and(|at| self.now.since(at) > Duration::from_secs(10));
            if is_settled {
                break;
            }
        }
        self.finish()
    }

    fn finish(mut self) -> SimResult {
        let objects = self.store.apply(&Operation::List(RECORD_PREFIX.into()));
        if let Ok(Reply::Listed(keys)) = objects
            && let Some((key, _)) = keys.first()
            && let Ok(Reply::Object(Some(object))) = self.store.apply(&Operation::Get(key.clone()))
        {
            self.observed.record = wire::decode(&object.value).ok();
        }
        let share =
            |node: &Node| node.traffic_splits.values().next().map_or(Share::NONE, |c| c.share);
        self.observed.shares = self.nodes.iter().map(share).collect();
        let bytes: usize = self.nodes.iter().map(|node| node.bytes).sum();
        let seconds = self.now.since(Time(0) + MOVE_START).as_secs_f64();
        self.observed.bytes_per_second = bytes as f64 / self.nodes.len() as f64 / seconds.max(1.0);
        self.observed.windows = std::mem::take(&mut self.traffic.windows);
        self.observed
    }

    fn schedule(&mut self, time: Time, task: Task) {
        self.next += 1;
        self.tasks.insert(self.next, task);
        self.queue.push(Reverse((time, self.next)));
    }

    fn start_node(&mut self, node: usize) {
        self.handle(node, Event::Started);
        let set = self.set.clone();
        self.handle(node, Event::Declared(&set));
    }

    fn carry_out(&mut self, task: Task) {
        match task {
            Task::Request => self.request(),
            Task::Ended(node, run, report) => {
                if run == self.nodes[node].run {
                    if report.version == traffic::new_version() {
                        self.nodes[node].outstanding -= 1;
                    }
                    self.handle(node, Event::Attempt(&report));
                }
            }
            Task::Deliver(from, to, message) => {
                let from = self.nodes[from].id.clone();
                self.handle(to, Event::Peer(from, message));
            }
            Task::Apply(node, run, call, operation) => self.apply(node, run, call, &operation),
            Task::Reply(node, run, call, result) => {
                if run == self.nodes[node].run {
                    self.handle(node, Event::CallEnded(call, result));
                }
            }
            Task::Wake(node) => {
                if self.nodes[node].wake_at == Some(self.now) {
                    self.nodes[node].wake_at = None;
                    self.handle(node, Event::Woken);
                }
            }
            Task::Restart(node) => {
                self.nodes[node].run += 1;
                self.nodes[node].moves = moves(node, self.nodes[node].run);
                self.nodes[node].traffic_splits = Arc::default();
                self.nodes[node].outstanding = 0;
                self.nodes[node].wake_at = None;
                self.start_node(node);
            }
        }
    }

    fn request(&mut self) {
        let node = self.rng.random_range(0..self.nodes.len());
        self.next += 1;
        let id = format!("r{}", self.next).parse().expect("a name");
        let split = self.nodes[node].traffic_splits.values().next();
        let outstanding = self.nodes[node].outstanding;
        let is_new =
            split.is_some_and(|split| *split.choose(&id, outstanding) == traffic::new_version());
        self.observed.requests += 1;
        let is_full = split.is_some_and(|split| split.share == Share::FULL);
        let attempt = self.traffic.attempt(self.now, is_new, is_full, &mut self.rng);
        if is_new {
            self.nodes[node].outstanding += 1;
            self.observed.to_new += 1;
            self.count_exposure();
        }
        let run = self.nodes[node].run;
        self.schedule(
            self.now + attempt.total_time,
            Task::Ended(node, run, Box::new(attempt.report)),
        );
        let gap = -self.rng.random::<f64>().max(1e-12).ln() / self.spec.rate;
        self.schedule(self.now + Duration::from_secs_f64(gap), Task::Request);
    }

    fn count_exposure(&mut self) {
        self.observed.fault_began = self.traffic.fault_began;
        match self.observed.first_abort {
            None if self.traffic.fault_began.is_some() => self.observed.exposed += 1,
            Some(at) if self.now.since(at) > Duration::from_secs(1) => {
                self.observed.after_abort += 1;
            }
            _ => {}
        }
    }

    fn apply(&mut self, node: usize, run: u64, call: CallId, operation: &Operation) {
        let since_start = self.now.since(Time(0) + MOVE_START);
        let is_down =
            self.spec.outage.is_some_and(|(from, to)| from <= since_start && since_start < to);
        let mut result = Err(CallError::Unavailable);
        if !is_down {
            result = self.store.apply(operation);
            if operation.is_write() && result.is_ok() && self.observed.recorded_at.is_none() {
                self.observed.recorded_at = Some(self.now);
            }
            if self.rng.random::<f64>() < self.spec.lost_replies {
                result = Err(CallError::Unknown);
            }
        }
        let delay = Duration::from_micros(self.rng.random_range(1_000..5_000));
        self.schedule(self.now + delay, Task::Reply(node, run, call, result));
    }

    fn handle(&mut self, index: usize, event: Event<'_>) {
        let node = &mut self.nodes[index];
        let elapsed = self.now.since(Time(0));
        let clock = Clock { now: self.now, wall: BEGIN + elapsed + node.skew };
        let mut effects = Vec::new();
        node.moves.handle(clock, event, &mut effects);
        for effect in effects {
            self.effect(index, effect);
        }
        let node = &mut self.nodes[index];
        let wanted = node.moves.next_wakeup().map(|at| at.max(self.now + Duration::from_micros(1)));
        if wanted != node.wake_at {
            node.wake_at = wanted;
            if let Some(at) = wanted {
                self.schedule(at, Task::Wake(index));
            }
        }
    }

    fn effect(&mut self, index: usize, effect: Effect) {
        match effect {
            Effect::Call(call, operation) => {
                self.observed.platform_calls += 1;
                let delay = Duration::from_micros(self.rng.random_range(1_000..5_000));
                let run = self.nodes[index].run;
                self.schedule(self.now + delay, Task::Apply(index, run, call, operation));
            }
            Effect::Send(recipient, message) => self.send(index, &recipient, &message),
            Effect::TrafficSplits(traffic_splits) => {
                self.nodes[index].traffic_splits = traffic_splits;
            }
            Effect::Reports(_) | Effect::Transitioned(_, MoveTransition::Ended(_)) => {}
            Effect::Transitioned(_, MoveTransition::Aborted(abort)) => {
                if self.observed.first_abort.is_none() {
                    self.observed.first_abort = Some(self.now);
                    self.observed.cause = Some(abort.cause.to_string());
                }
            }
            Effect::Transitioned(_, MoveTransition::Stepped(progress)) => {
                self.observed.doubts = self.observed.doubts.max(progress.doubts);
                let since_start = self.now.since(Time(0) + MOVE_START);
                self.observed.step_times.push(since_start.as_secs_f64());
            }
        }
    }

    fn send(&mut self, from: usize, recipient: &Recipient, message: &Message) {
        let count = self.nodes.len();
        let others: Vec<usize> = match recipient {
            Recipient::Daemon(id) => (0..count).filter(|&to| self.nodes[to].id == *id).collect(),
            Recipient::Flood => (0..count).filter(|&to| to != from).collect(),
            _ => neighbours(from, count),
        };
        let bytes = wire::encode(&MessageWire::from(message.clone())).len() + HEADER_BYTES;
        for to in others {
            self.nodes[from].bytes += bytes;
            if message.droppable() && self.rng.random::<f64>() < self.spec.loss {
                continue;
            }
            let delay = Duration::from_micros(self.rng.random_range(1_000..4_000));
            self.schedule(self.now + delay, Task::Deliver(from, to, message.clone()));
        }
    }
}

fn neighbours(of: usize, count: usize) -> Vec<usize> {
    let reach = (MAX_NEIGHBOURS / 2).min((count - 1).div_ceil(2));
    let mut found: Vec<usize> =
        (1..=reach).flat_map(|step| [(of + step) % count, (of + count - step) % count]).collect();
    found.sort_unstable();
    found.dedup();
    found
}

fn moves(index: usize, run: u64) -> Moves {
    let daemon = format!("d{index}").parse().expect("a name");
    Moves::new(DaemonRun { daemon, incarnation: Incarnation(run) })
}
