//! Explores all states of the end of a move: two daemons that run the real `Resolution` and one
//! record in the platform, with loss, reordering, crashes, pauses, lost replies and writes that
//! take effect late.
//!
//! Only the first daemon finds the watch passed and only the second one aborts, so that each race
//! between them is explored once. The specification is in `docs/design/models-moves.md`.

use std::{collections::BTreeSet, time::Duration};

use dogwoodturn::{
    declaration::wire,
    ids::{CallId, DaemonId, Revision},
    moves::{
        MoveId,
        regression::{Measure, Regression},
        resolution::{self, Abort, AllowedTraffic, Effect, EndRecord, Event, Outcome, Resolution},
        schedule::Schedule,
    },
    store::{CallError, Condition, Object, Operation, Reply},
    units::{Time, WallTime},
};
use pathfinding::prelude::bfs_reach;

const SECOND_MS: u64 = 1_000;
const FINISH_BY_MS: u64 = 100 * SECOND_MS;
const MARGIN: Duration = Duration::from_secs(40);
/// The lead of the second daemon's clock over the true time, in milliseconds.
const SKEW_MS: u64 = 3 * SECOND_MS;
/// The longest delay after which a write may still take effect, in milliseconds.
const MAX_EFFECT_DELAY_MS: u64 = 35 * SECOND_MS;
/// The most faults in one run.
const MAX_FAULTS: u8 = 1;
/// The true times that are explored, in seconds.
const TIMES_S: [u64; 4] = [56, 81, 101, 110];

/// A defect that is introduced on purpose, to check that the exploration finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Variant {
    Sound,
    /// The platform ignores the condition of a write.
    Unconditional,
    /// `finished` is written up to the deadline, without a margin.
    NoMargin,
    /// A write may take effect at any later time.
    UnboundedEffect,
    /// A daemon ignores aborts.
    ForgetsAbort,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum InFlight {
    Get {
        node: usize,
        call: u64,
    },
    Put {
        node: usize,
        call: u64,
        record: Vec<u8>,
        sent: u64,
    },
    /// A write whose sender no longer waits for the reply.
    Orphan {
        record: Vec<u8>,
        sent: u64,
    },
    Reply {
        node: usize,
        call: u64,
        reply: StoreReply,
    },
    Abort {
        node: usize,
        by: usize,
    },
    End {
        node: usize,
        record: Vec<u8>,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum StoreReply {
    Absent,
    Found(Vec<u8>),
    Written,
    Conflict,
    Unknown,
    Unavailable,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    time: usize,
    nodes: [Resolution; 2],
    /// Whether each daemon has received an abort since it started.
    saw_abort: [bool; 2],
    in_flight: BTreeSet<InFlight>,
    stored: Option<Vec<u8>>,
    /// The number of faults that may still happen: lost replies or messages, refused calls,
    /// crashes.
    faults: u8,
    aborts_left: u8,
    violation: Option<&'static str>,
}

fn schedule(variant: Variant) -> Schedule {
    let margin = if variant == Variant::NoMargin { Duration::ZERO } else { MARGIN };
    Schedule {
        start: WallTime(0),
        finish_by: WallTime(FINISH_BY_MS),
        watch: Duration::from_secs(10),
        margin,
        slot: Duration::from_secs(5),
        window: Duration::from_secs(1),
    }
}

fn daemon(node: usize) -> DaemonId {
    format!("d{node}").parse().expect("a name")
}

fn new_resolution(node: usize, variant: Variant) -> Resolution {
    let id = MoveId { name: "m".parse().expect("a name"), digest: 7 };
    Resolution::new(id, daemon(node), schedule(variant), Duration::ZERO)
}

fn abort_by(node: usize) -> Abort {
    let route = "r".parse().expect("a name");
    let cause = Regression { route, measure: Measure::Failures };
    Abort { cause, by: daemon(node), at: WallTime(0) }
}

fn record(bytes: &[u8]) -> EndRecord {
    wire::decode(bytes).expect("a record")
}

impl State {
    fn first(variant: Variant) -> Self {
        Self {
            time: 0,
            nodes: [new_resolution(0, variant), new_resolution(1, variant)],
            saw_abort: [false; 2],
            in_flight: BTreeSet::new(),
            stored: None,
            faults: MAX_FAULTS,
            aborts_left: 1,
            violation: None,
        }
    }

    fn now(&self) -> u64 {
        TIMES_S[self.time] * SECOND_MS
    }

    fn wall(&self, node: usize) -> WallTime {
        WallTime(self.now() + SKEW_MS * node as u64)
    }

    fn input(&mut self, node: usize, event: Event, variant: Variant) {
        let (now, wall) = (Time(self.now() * 1_000), self.wall(node));
        let mut effects = Vec::new();
        if matches!(event, Event::Aborted(_)) {
            self.saw_abort[node] = true;
            if variant == Variant::ForgetsAbort {
                return;
            }
        }
        self.nodes[node].handle(now, wall, event, &mut effects);
        for effect in effects {
            self.effect(node, effect);
        }
    }

    fn effect(&mut self, node: usize, effect: Effect) {
        let other = 1 - node;
        match effect {
            Effect::Call(CallId(call), Operation::Get(_)) => {
                self.in_flight.insert(InFlight::Get { node, call });
            }
            Effect::Call(CallId(call), Operation::Put { value, condition, .. }) => {
                if condition != Condition::Absent {
                    self.violation = Some("the write does not require absence");
                }
                let is_finish = record(&value).outcome == Outcome::Finished;
                if is_finish && self.saw_abort[node] {
                    self.violation = Some("finished is written by a daemon that received an abort");
                }
                let put = InFlight::Put { node, call, record: value.to_vec(), sent: self.now() };
                self.in_flight.insert(put);
            }
            Effect::Call(..) => self.violation = Some("an unexpected call"),
            Effect::Aborted(abort) if abort.by == daemon(node) => {
                self.in_flight.insert(InFlight::Abort { node: other, by: node });
            }
            Effect::Aborted(_) => {}
            Effect::Ended { record, from_platform } => {
                if from_platform {
                    let record = wire::encode(&record);
                    self.in_flight.insert(InFlight::End { node: other, record });
                }
            }
        }
    }

    /// Applies a write and returns the reply.
    fn apply(&mut self, bytes: &[u8], variant: Variant) -> StoreReply {
        if self.stored.is_some() && variant != Variant::Unconditional {
            return StoreReply::Conflict;
        }
        if record(bytes).outcome == Outcome::Finished && self.now() >= FINISH_BY_MS {
            self.violation = Some("finished takes effect after the deadline");
        }
        if self.stored.as_ref().is_some_and(|stored| stored != bytes) {
            self.violation = Some("the record has changed");
        }
        self.stored = Some(bytes.to_vec());
        StoreReply::Written
    }

    fn check(&mut self) {
        let outcomes: BTreeSet<String> = self
            .nodes
            .iter()
            .filter_map(|node| node.record().map(|record| record.outcome.to_string()))
            .chain(self.stored.iter().map(|stored| record(stored).outcome.to_string()))
            .collect();
        if outcomes.len() > 1 {
            self.violation = Some("two outcomes are known");
        }
        for (index, node) in self.nodes.iter().enumerate() {
            let allowed = node.allowed(self.wall(index));
            let is_finished =
                node.record().is_some_and(|record| record.outcome == Outcome::Finished);
            if self.saw_abort[index] && allowed != AllowedTraffic::Nothing {
                self.violation = Some("requests go to the new version after an abort was received");
            }
            let is_over = self.wall(index) >= WallTime(FINISH_BY_MS);
            if is_over && !is_finished && allowed != AllowedTraffic::Nothing {
                self.violation = Some("requests go to the new version after the deadline");
            }
            if !node.has_read() && !is_finished && allowed != AllowedTraffic::Nothing {
                self.violation =
                    Some("requests go to the new version before the daemon has read the record");
            }
        }
    }

    fn successors(&self, variant: Variant) -> Vec<Self> {
        if self.violation.is_some() {
            return Vec::new();
        }
        let mut next = Vec::new();
        let mut add = |change: &dyn Fn(&mut Self)| {
            let mut state = self.clone();
            change(&mut state);
            state.check();
            if state != *self {
                next.push(state);
            }
        };
        let is_last = self.time + 1 == TIMES_S.len();
        if !is_last {
            add(&|state| state.time += 1);
        }
        for node in 0..2 {
            add(&|state| state.input(node, Event::Woken, variant));
            if node == 0 {
                add(&|state| state.input(node, Event::Passed, variant));
            }
            if node == 1 && self.aborts_left > 0 {
                add(&|state| {
                    state.aborts_left -= 1;
                    state.input(node, Event::Aborted(abort_by(node)), variant);
                });
            }
            if self.faults > 0 && !is_last {
                add(&|state| state.crash(node, variant));
            }
        }
        for in_flight in &self.in_flight {
            add(&|state| state.arrive(in_flight, variant));
            let is_read = matches!(in_flight, InFlight::Get { .. });
            if self.faults > 0 && !is_last {
                if !is_read {
                    add(&|state| state.lose(in_flight));
                }
                add(&|state| state.refuse(in_flight));
            }
        }
        next
    }

    fn crash(&mut self, node: usize, variant: Variant) {
        self.faults -= 1;
        self.nodes[node] = new_resolution(node, variant);
        self.saw_abort[node] = false;
        let in_flight = std::mem::take(&mut self.in_flight);
        let orphaned = |in_flight| match in_flight {
            InFlight::Put { node: of, record, sent, .. } if of == node => {
                Some(InFlight::Orphan { record, sent })
            }
            InFlight::Get { node: of, .. }
            | InFlight::Reply { node: of, .. }
            | InFlight::Abort { node: of, .. }
            | InFlight::End { node: of, .. }
                if of == node =>
            {
                None
            }
            other => Some(other),
        };
        self.in_flight = in_flight.into_iter().filter_map(orphaned).collect();
    }

    fn arrive(&mut self, in_flight: &InFlight, variant: Variant) {
        self.in_flight.remove(in_flight);
        match in_flight.clone() {
            InFlight::Get { node, call } => {
                let reply = self.stored.clone().map_or(StoreReply::Absent, StoreReply::Found);
                self.in_flight.insert(InFlight::Reply { node, call, reply });
            }
            InFlight::Put { node, call, record, sent } => {
                let is_dropped = self.is_too_late(sent, variant);
                let reply =
                    if is_dropped { StoreReply::Unknown } else { self.apply(&record, variant) };
                self.in_flight.insert(InFlight::Reply { node, call, reply });
            }
            InFlight::Orphan { record, sent } => {
                if !self.is_too_late(sent, variant) {
                    self.apply(&record, variant);
                }
            }
            InFlight::Reply { node, call, reply } => {
                let event = Event::CallEnded(CallId(call), result(&self.nodes[node], reply));
                self.input(node, event, variant);
            }
            InFlight::Abort { node, by } => self.input(node, Event::Aborted(abort_by(by)), variant),
            InFlight::End { node, record: bytes } => {
                self.input(node, Event::PeerReported(record(&bytes)), variant);
            }
        }
    }

    fn is_too_late(&self, sent: u64, variant: Variant) -> bool {
        variant != Variant::UnboundedEffect && self.now() > sent + MAX_EFFECT_DELAY_MS
    }

    /// Loses a message or a reply; a write whose reply is lost may still take effect.
    fn lose(&mut self, in_flight: &InFlight) {
        self.faults -= 1;
        self.in_flight.remove(in_flight);
        let unknown = |node, call| InFlight::Reply { node, call, reply: StoreReply::Unknown };
        match in_flight.clone() {
            InFlight::Get { node, call } | InFlight::Reply { node, call, .. } => {
                self.in_flight.insert(unknown(node, call));
            }
            InFlight::Put { node, call, record, sent } => {
                self.in_flight.insert(unknown(node, call));
                self.in_flight.insert(InFlight::Orphan { record, sent });
            }
            InFlight::Orphan { .. } | InFlight::Abort { .. } | InFlight::End { .. } => {}
        }
    }

    /// Refuses a call, as the platform does in an outage.
    fn refuse(&mut self, in_flight: &InFlight) {
        if let InFlight::Get { node, call } | InFlight::Put { node, call, .. } = *in_flight {
            self.faults -= 1;
            self.in_flight.remove(in_flight);
            self.in_flight.insert(InFlight::Reply { node, call, reply: StoreReply::Unavailable });
        }
    }
}

fn result(_node: &Resolution, reply: StoreReply) -> Result<Reply, CallError> {
    let id = MoveId { name: "m".parse().expect("a name"), digest: 7 };
    let key = resolution::record_key(&id);
    let object = |value: Vec<u8>| Object { key, revision: Revision(1), value: value.into() };
    match reply {
        StoreReply::Absent => Ok(Reply::Object(None)),
        StoreReply::Found(value) => Ok(Reply::Object(Some(object(value)))),
        StoreReply::Written => Ok(Reply::Written(Revision(1))),
        StoreReply::Conflict => Err(CallError::Conflict(Some(Revision(1)))),
        StoreReply::Unknown => Err(CallError::Unknown),
        StoreReply::Unavailable => Err(CallError::Unavailable),
    }
}

/// Explores every state; returns the first violation and the number of states explored.
fn explore(variant: Variant) -> (Option<&'static str>, usize) {
    let mut states = 0;
    let mut ends_without_record = false;
    for state in bfs_reach(State::first(variant), |state| state.successors(variant)) {
        states += 1;
        if state.violation.is_some() {
            return (state.violation, states);
        }
        let is_quiet = state.in_flight.is_empty() && state.time + 1 == TIMES_S.len();
        let is_stuck = is_quiet && state.successors(variant).is_empty();
        ends_without_record |= is_stuck && state.stored.is_none();
    }
    (ends_without_record.then_some("the move ends without a record"), states)
}

#[test]
fn ending_sound() {
    let (violation, states) = explore(Variant::Sound);
    println!("{states} states");
    assert_eq!(violation, None);
    assert!(states > 1_000, "only {states} states were explored");
}

#[test]
fn ending_unconditional_write_is_caught() {
    assert!(explore(Variant::Unconditional).0.is_some());
}

#[test]
fn ending_no_margin_is_caught() {
    let expected = Some("finished takes effect after the deadline");
    assert_eq!(explore(Variant::NoMargin).0, expected);
}

#[test]
fn ending_unbounded_effect_is_caught() {
    let expected = Some("finished takes effect after the deadline");
    assert_eq!(explore(Variant::UnboundedEffect).0, expected);
}

#[test]
fn ending_forgotten_abort_is_caught() {
    let caught = explore(Variant::ForgetsAbort).0;
    assert!(caught.is_some_and(|violation| violation.contains("abort")), "{caught:?}");
}
