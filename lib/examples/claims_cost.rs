//! Prints what claims cost the platform, by approach and load, and what an outage refuses.
//!
//! `cargo run --release -p dogwoodturn --example claims_cost [-- Objects|Pages|Gathered]`
//!
//! Nine daemons run in this process over a store in memory, with the delays of the brief. The
//! figures are counts of calls, so they do not depend on the machine.

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
/// One way between two daemons, or between a daemon and the platform.
const DELAY: Duration = Duration::from_micros(1_200);
/// How long the platform takes for a call.
const PLATFORM_TIME: Duration = Duration::from_millis(3);
/// How long the upstream takes for a call.
const CALL_TIME: Duration = Duration::from_millis(80);
const OUTAGE: (u64, u64) = (10, 20);
const SEED: u64 = 7;
const BEGIN: WallTime = WallTime(1_700_000_000_000);

/// How claims are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Approach {
    /// An object for each claim, written again with its outcome.
    Objects,
    /// Pages that each daemon writes for itself.
    Pages,
    /// Pages that one daemon for each shard writes for all.
    Gathered,
}

#[derive(Clone, Debug)]
enum Happening {
    Ask,
    Called(usize, CallId, Operation),
    Answered(usize, CallId, Result<Reply, CallError>),
    Arrives(usize, usize, Message),
    Ends(usize, ClaimTicket),
    Wake(usize),
    Object(ObjectKey, Condition, Time),
}

#[derive(Debug, Default)]
struct Counts {
    writes: u64,
    conflicts: u64,
    reads: u64,
    bytes: u64,
    granted: u64,
    refused: u64,
    waits: Vec<Duration>,
}

struct Run {
    approach: Approach,
    load: u64,
    outage: bool,
    store: MemoryStore,
    daemons: Vec<Claims>,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    happenings: BTreeMap<u64, Happening>,
    woken: Vec<Option<Time>>,
    next: u64,
    now: Time,
    asked: BTreeMap<RequestId, Time>,
    asks: u64,
    rng: Pcg64,
    counts: Counts,
}

impl Run {
    fn new(approach: Approach, load: u64, outage: bool) -> Self {
        let mut run = Self {
            approach,
            load,
            outage,
            store: MemoryStore::new(),
            daemons: Vec::new(),
            queue: BinaryHeap::new(),
            happenings: BTreeMap::new(),
            woken: vec![None; DAEMONS],
            next: 0,
            now: Time(0),
            asked: BTreeMap::new(),
            asks: 0,
            rng: Pcg64::seed_from_u64(SEED),
            counts: Counts::default(),
        };
        for daemon in 0..DAEMONS {
            run.daemons.push(Claims::new(Config::default(), name(daemon), Incarnation(1)));
        }
        for daemon in 0..DAEMONS {
            let known = (0..DAEMONS).filter(|&d| approach == Approach::Gathered || d == daemon);
            let members: Arc<[Member]> = known.map(member).collect();
            run.handle_event(daemon, Event::Members(members));
            run.handle_event(daemon, Event::Services([service()].into()));
        }
        run
    }

    fn at(&mut self, time: Time, happening: Happening) {
        self.next += 1;
        self.queue.push(Reverse((time, self.next)));
        self.happenings.insert(self.next, happening);
    }

    fn run(mut self) -> Counts {
        self.at(Time(0), Happening::Ask);
        let end = Time(0) + Duration::from_secs(SECONDS);
        while let Some(Reverse((time, number))) = self.queue.pop() {
            if time > end {
                break;
            }
            self.now = time;
            if let Some(happening) = self.happenings.remove(&number) {
                self.happen(happening);
            }
        }
        self.counts
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Ask => self.ask(),
            Happening::Called(daemon, call, operation) => {
                let result = self.apply(&operation);
                self.at(self.now + DELAY, Happening::Answered(daemon, call, result));
            }
            Happening::Answered(daemon, call, result) => {
                self.handle_event(daemon, Event::CallEnded(call, result));
            }
            Happening::Arrives(from, to, message) => {
                self.handle_event(to, Event::Peer(name(from), message));
            }
            Happening::Ends(daemon, ticket) => {
                let end = ClaimOutcome::Ran(answer());
                self.handle_event(daemon, Event::Ended(ticket, end));
            }
            Happening::Wake(daemon) => {
                self.woken[daemon] = None;
                self.handle_event(daemon, Event::Woken);
            }
            Happening::Object(key, condition, asked) => self.object(key, condition, asked),
        }
    }

    fn ask(&mut self) {
        let mean = 1_000_000 / self.load;
        let wait = Duration::from_micros(self.rng.random_range(1..=2 * mean));
        self.at(self.now + wait, Happening::Ask);
        self.asks += 1;
        let key: Box<str> = format!("customer/{:032x}", self.rng.random::<u128>()).into();
        if self.approach == Approach::Objects {
            let key = ObjectKey::new(format!("claims/{key}"));
            let at = self.now + DELAY + PLATFORM_TIME;
            return self.at(at, Happening::Object(key, Condition::Absent, self.now));
        }
        let request: RequestId = format!("r{}", self.asks).parse().expect("a name");
        self.asked.insert(request.clone(), self.now);
        let daemon = self.rng.random_range(0..DAEMONS);
        let claim = ClaimRequest { service: service(), key, digest: [0; 32], request };
        self.handle_event(daemon, Event::Acquire(claim));
    }

    /// The approach with an object for each claim: one write for the claim, one for its outcome.
    fn object(&mut self, key: ObjectKey, condition: Condition, asked: Time) {
        let value = Bytes::from(vec![0; 200]);
        let operation = Operation::Put { key: key.clone(), value, condition };
        match (self.apply(&operation), condition) {
            (Ok(Reply::Written(revision)), Condition::Absent) => {
                self.counts.granted += 1;
                self.counts.waits.push((self.now + DELAY).since(asked));
                let at = self.now + DELAY + CALL_TIME + DELAY + PLATFORM_TIME;
                self.at(at, Happening::Object(key, Condition::Revision(revision), asked));
            }
            (Err(_), Condition::Absent) => self.counts.refused += 1,
            (Err(CallError::Unavailable), Condition::Revision(_)) => {
                let at = self.now + Duration::from_secs(1);
                self.at(at, Happening::Object(key, condition, asked));
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
        let wall = BEGIN + self.now.since(Time(0));
        self.daemons[daemon].handle(self.now, wall, event, &mut effects);
        for effect in effects {
            self.carry_out(daemon, effect);
        }
        if let Some(at) = self.daemons[daemon].next_wakeup()
            && self.woken[daemon].is_none_or(|before| at < before)
        {
            self.woken[daemon] = Some(at);
            self.at(at.max(self.now), Happening::Wake(daemon));
        }
    }

    fn carry_out(&mut self, daemon: usize, effect: Effect) {
        match effect {
            Effect::Call(call, _, operation) => {
                let at = self.now + DELAY + PLATFORM_TIME;
                self.at(at, Happening::Called(daemon, call, operation));
            }
            Effect::Answered(request, answer) => {
                let asked = self.asked.remove(&request).unwrap_or_default();
                if let ClaimResponse::Granted(ticket) = answer {
                    self.counts.granted += 1;
                    self.counts.waits.push(self.now.since(asked));
                    self.at(self.now + CALL_TIME, Happening::Ends(daemon, ticket));
                } else {
                    self.counts.refused += 1;
                }
            }
            Effect::Send(to, message) => {
                let to = (0..DAEMONS).find(|&d| name(d) == to).expect("a known daemon");
                self.at(self.now + DELAY, Happening::Arrives(daemon, to, message));
            }
            Effect::Rejected(reason) => eprintln!("{reason}"),
        }
    }
}

fn name(daemon: usize) -> DaemonId {
    format!("d{daemon}").parse().expect("a name")
}

fn service() -> ServiceName {
    "ledger".parse().expect("a name")
}

fn member(daemon: usize) -> Member {
    Member {
        daemon: name(daemon),
        incarnation: Incarnation(1),
        address: ([127, 0, 0, 1], 1).into(),
        data_centre: "salish-a".parse().expect("a name"),
        region: "salish".parse().expect("a name"),
    }
}

fn answer() -> StoredResponse {
    let body = Some(Bytes::from(vec![b'x'; 200]));
    StoredResponse { status: 201, content_type: "application/json".into(), body }
}

fn quantile(waits: &mut [Duration], part: f64) -> f64 {
    waits.sort_unstable();
    let index = (waits.len() as f64 * part) as usize;
    waits.get(index.min(waits.len().saturating_sub(1))).map_or(0.0, |w| w.as_secs_f64() * 1e3)
}

fn print(approach: Approach, load: u64, outage: bool) {
    let mut counts = Run::new(approach, load, outage).run();
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
        quantile(&mut counts.waits, 0.5),
        quantile(&mut counts.waits, 0.99),
    );
}

fn main() {
    let only = std::env::args().nth(1);
    let mut approaches = vec![Approach::Objects, Approach::Pages, Approach::Gathered];
    approaches.retain(|approach| only.as_ref().is_none_or(|o| *o == format!("{approach:?}")));
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
