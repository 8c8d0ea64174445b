//! Prints the platform load of claims by approach and claim rate, and the refusals in an outage.
//!
//! `cargo run --release -p dogwoodturn --example claims_cost [-- Objects|Pages|Gathered]`
//!
//! Nine daemons are simulated in this process over a store in memory, with the delays of the
//! project's brief. The simulation counts calls in simulated time, so the figures do not depend on
//! the machine.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use dogwoodturn::{
    claim::{
        ClaimOutcome, ClaimRequest, ClaimResponse, ClaimTicket, StoredResponse,
        claims::{Claims, Config, Effect, Event},
        message::Message,
    },
    ids::{CallId, DaemonId, Incarnation, RequestId, ServiceName},
    peer::Member,
    store::{CallError, Condition, ObjectKey, Operation, Reply, memory::MemoryStore},
    units::{Time, WallTime},
};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64;

const DAEMONS: usize = 9;
const SECONDS: u64 = 30;
const LOADS: [u64; 4] = [1, 10, 100, 1_000];
/// The one-way delay between two daemons, or between a daemon and the platform.
const DELAY: Duration = Duration::from_micros(1_200);
/// The platform's processing time for a call.
const PLATFORM_TIME: Duration = Duration::from_millis(3);
/// The upstream's processing time for a call.
const UPSTREAM_TIME: Duration = Duration::from_millis(80);
/// The first second of the outage, and the first second after it.
const OUTAGE: (u64, u64) = (10, 20);
const SEED: u64 = 7;
const START: WallTime = WallTime(1_700_000_000_000);

/// The way in which claims are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Approach {
    /// One object for each claim, written again with the outcome.
    Objects,
    /// Pages, where each daemon writes its own claims.
    Pages,
    /// Pages, where one daemon for each shard writes the claims of all daemons.
    Gathered,
}

#[derive(Clone, Debug)]
enum SimEvent {
    Submit,
    CallArrives(usize, CallId, Operation),
    CallAnswered(usize, CallId, Result<Reply, CallError>),
    MessageArrives(usize, usize, Message),
    CallEnds(usize, ClaimTicket),
    Wake(usize),
    ObjectWrite(ObjectKey, Condition, Time),
}

#[derive(Debug, Default)]
struct Counts {
    writes: u64,
    conflicts: u64,
    reads: u64,
    bytes: u64,
    granted: u64,
    refused: u64,
    claim_waits: Vec<Duration>,
}

struct Simulation {
    approach: Approach,
    load: u64,
    outage: bool,
    store: MemoryStore,
    daemons: Vec<Claims>,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    events: BTreeMap<u64, SimEvent>,
    wakeups: Vec<Option<Time>>,
    last_event: u64,
    now: Time,
    submitted_at: BTreeMap<RequestId, Time>,
    submitted: u64,
    rng: Pcg64,
    counts: Counts,
}

impl Simulation {
    fn new(approach: Approach, load: u64, outage: bool) -> Self {
        let mut simulation = Self {
            approach,
            load,
            outage,
            store: MemoryStore::new(),
            daemons: Vec::new(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            wakeups: vec![None; DAEMONS],
            last_event: 0,
            now: Time(0),
            submitted_at: BTreeMap::new(),
            submitted: 0,
            rng: Pcg64::seed_from_u64(SEED),
            counts: Counts::default(),
        };
        for daemon in 0..DAEMONS {
            simulation.daemons.push(Claims::new(
                Config::default(),
                daemon_id(daemon),
                Incarnation(1),
            ));
        }
        for daemon in 0..DAEMONS {
            let member_indices =
                (0..DAEMONS).filter(|&d| approach == Approach::Gathered || d == daemon);
            let members: Arc<[Member]> = member_indices.map(member).collect();
            simulation.handle_event(daemon, Event::Members(members));
            simulation.handle_event(daemon, Event::Services([service()].into()));
        }
        simulation
    }

    fn at(&mut self, time: Time, sim_event: SimEvent) {
        self.last_event += 1;
        self.queue.push(Reverse((time, self.last_event)));
        self.events.insert(self.last_event, sim_event);
    }

    fn run(mut self) -> Counts {
        self.at(Time(0), SimEvent::Submit);
        let end = Time(0) + Duration::from_secs(SECONDS);
        while let Some(Reverse((time, number))) = self.queue.pop() {
            if time > end {
                break;
            }
            self.now = time;
            if let Some(sim_event) = self.events.remove(&number) {
                self.process(sim_event);
            }
        }
        self.counts
    }

    fn process(&mut self, sim_event: SimEvent) {
        match sim_event {
            SimEvent::Submit => self.submit(),
            SimEvent::CallArrives(daemon, call, operation) => {
                let result = self.apply(&operation);
                self.at(self.now + DELAY, SimEvent::CallAnswered(daemon, call, result));
            }
            SimEvent::CallAnswered(daemon, call, result) => {
                self.handle_event(daemon, Event::CallEnded(call, result));
            }
            SimEvent::MessageArrives(from, to, message) => {
                self.handle_event(to, Event::Peer(daemon_id(from), message));
            }
            SimEvent::CallEnds(daemon, ticket) => {
                let end = ClaimOutcome::Ran(answer());
                self.handle_event(daemon, Event::OutcomeReported(ticket, end));
            }
            SimEvent::Wake(daemon) => {
                self.wakeups[daemon] = None;
                self.handle_event(daemon, Event::Woken);
            }
            SimEvent::ObjectWrite(key, condition, sent) => self.write_object(key, condition, sent),
        }
    }

    fn submit(&mut self) {
        let mean = 1_000_000 / self.load;
        let wait = Duration::from_micros(self.rng.random_range(1..=2 * mean));
        self.at(self.now + wait, SimEvent::Submit);
        self.submitted += 1;
        let key: Box<str> = format!("customer/{:032x}", self.rng.random::<u128>()).into();
        if self.approach == Approach::Objects {
            let key = ObjectKey::new(format!("claims/{key}"));
            let at = self.now + DELAY + PLATFORM_TIME;
            return self.at(at, SimEvent::ObjectWrite(key, Condition::Absent, self.now));
        }
        let request: RequestId = format!("r{}", self.submitted).parse().expect("a valid name");
        self.submitted_at.insert(request.clone(), self.now);
        let daemon = self.rng.random_range(0..DAEMONS);
        let claim = ClaimRequest { service: service(), key, digest: [0; 32], request };
        self.handle_event(daemon, Event::Acquire(claim));
    }

    /// Simulates [`Approach::Objects`]: one write for the claim and one for its outcome.
    fn write_object(&mut self, key: ObjectKey, condition: Condition, submitted: Time) {
        let value = Bytes::from(vec![0; 200]);
        let operation = Operation::Put { key: key.clone(), value, condition };
        match (self.apply(&operation), condition) {
            (Ok(Reply::Written(revision)), Condition::Absent) => {
                self.counts.granted += 1;
                self.counts.claim_waits.push((self.now + DELAY).since(submitted));
                let at = self.now + DELAY + UPSTREAM_TIME + DELAY + PLATFORM_TIME;
                self.at(at, SimEvent::ObjectWrite(key, Condition::Revision(revision), submitted));
            }
            (Err(_), Condition::Absent) => self.counts.refused += 1,
            (Err(CallError::Unavailable), Condition::Revision(_)) => {
                let at = self.now + Duration::from_secs(1);
                self.at(at, SimEvent::ObjectWrite(key, condition, submitted));
            }
            _ => {}
        }
    }

    fn apply(&mut self, operation: &Operation) -> Result<Reply, CallError> {
        let second = self.now.since(Time(0)).as_secs();
        match operation {
            Operation::Put { value, .. } => {
                self.counts.writes += 1;
                self.counts.bytes += value.len() as u64;
            }
            _ => self.counts.reads += 1,
        }
        if self.outage && (OUTAGE.0..OUTAGE.1).contains(&second) {
            return Err(CallError::Unavailable);
        }
        let result = self.store.apply(operation);
        self.counts.conflicts += u64::from(matches!(result, Err(CallError::Conflict(_))));
        result
    }

    fn handle_event(&mut self, daemon: usize, event: Event) {
        let mut effects = Vec::new();
        let wall = START + self.now.since(Time(0));
        self.daemons[daemon].handle(self.now, wall, event, &mut effects);
        for effect in effects {
            self.execute(daemon, effect);
        }
        if let Some(at) = self.daemons[daemon].next_wakeup()
            && self.wakeups[daemon].is_none_or(|before| at < before)
        {
            self.wakeups[daemon] = Some(at);
            self.at(at.max(self.now), SimEvent::Wake(daemon));
        }
    }

    fn execute(&mut self, daemon: usize, effect: Effect) {
        match effect {
            Effect::Call(call, _, operation) => {
                let at = self.now + DELAY + PLATFORM_TIME;
                self.at(at, SimEvent::CallArrives(daemon, call, operation));
            }
            Effect::Respond(request, answer) => {
                let submitted = self.submitted_at.remove(&request).unwrap_or_default();
                if let ClaimResponse::Granted(ticket) = answer {
                    self.counts.granted += 1;
                    self.counts.claim_waits.push(self.now.since(submitted));
                    self.at(self.now + UPSTREAM_TIME, SimEvent::CallEnds(daemon, ticket));
                } else {
                    self.counts.refused += 1;
                }
            }
            Effect::Send(to, message) => {
                let to = (0..DAEMONS).find(|&d| daemon_id(d) == to).expect("a known daemon");
                self.at(self.now + DELAY, SimEvent::MessageArrives(daemon, to, message));
            }
            Effect::Rejected(reason) => eprintln!("{reason}"),
        }
    }
}

fn daemon_id(daemon: usize) -> DaemonId {
    format!("d{daemon}").parse().expect("a valid name")
}

fn service() -> ServiceName {
    "ledger".parse().expect("a valid name")
}

fn member(daemon: usize) -> Member {
    Member {
        daemon: daemon_id(daemon),
        incarnation: Incarnation(1),
        address: ([127, 0, 0, 1], 1).into(),
        data_centre: "salish-a".parse().expect("a valid name"),
        region: "salish".parse().expect("a valid name"),
    }
}

fn answer() -> StoredResponse {
    let body = Some(Bytes::from(vec![b'x'; 200]));
    StoredResponse { status: 201, content_type: "application/json".into(), body }
}

fn quantile(claim_waits: &mut [Duration], fraction: f64) -> f64 {
    claim_waits.sort_unstable();
    let index = (claim_waits.len() as f64 * fraction) as usize;
    claim_waits
        .get(index.min(claim_waits.len().saturating_sub(1)))
        .map_or(0.0, |w| w.as_secs_f64() * 1e3)
}

fn print(approach: Approach, load: u64, outage: bool) {
    let mut counts = Simulation::new(approach, load, outage).run();
    let per_second = |count: u64| count as f64 / SECONDS as f64;
    println!(
        "{:<9} {load:>9} {:>9.1} {:>10.1} {:>8.1} {:>9.1} {:>8} {:>8} {:>7.1} {:>7.1}",
        format!("{approach:?}"),
        per_second(counts.writes),
        per_second(counts.conflicts),
        per_second(counts.reads),
        per_second(counts.bytes) / 1e3,
        counts.granted,
        counts.refused,
        quantile(&mut counts.claim_waits, 0.5),
        quantile(&mut counts.claim_waits, 0.99),
    );
}

fn main() {
    let selected = std::env::args().nth(1);
    let mut approaches = vec![Approach::Objects, Approach::Pages, Approach::Gathered];
    approaches.retain(|approach| selected.as_ref().is_none_or(|o| *o == format!("{approach:?}")));
    for outage in [false, true] {
        if outage {
            println!("\nplatform unavailable from second {} to {}", OUTAGE.0, OUTAGE.1);
        } else {
            println!("{DAEMONS} daemons, one service, {SECONDS} s, setting of 200 writes/s");
        }
        println!(
            "{:<9} {:>9} {:>9} {:>10} {:>8} {:>9} {:>8} {:>8} {:>7} {:>7}",
            "approach",
            "claims/s",
            "writes/s",
            "conflicts",
            "reads/s",
            "KB/s",
            "granted",
            "refused",
            "p50 ms",
            "p99 ms"
        );
        for &approach in &approaches {
            for load in LOADS.into_iter().filter(|&load| !outage || load == 100) {
                print(approach, load, outage);
            }
        }
    }
}
