//! A simulation of several daemons' claims over one store, with platform and network faults.

#![allow(dead_code, reason = "each test uses only some of the helpers")]

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use bytes::Bytes;
use dogwoodturn::{
    claim::{
        ClaimOutcome, ClaimRequest, ClaimResponse, ClaimTicket, StoredResponse,
        claims::{Claims, Config, Effect, Event},
        message::Message,
    },
    ids::{CallId, DaemonId, Incarnation, RequestId, ServiceName},
    peer::Member,
    store::{CallError, Condition, Operation, Reply, memory::MemoryStore},
    units::{Time, WallTime},
};

/// The wall time at the start of every run.
const START: WallTime = WallTime(1_700_000_000_000);

/// The outcome of a call to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CallOutcome {
    /// The call takes effect and its answer arrives.
    Answered,
    /// The call takes effect and its answer is lost.
    AnswerLost,
    /// The call never takes effect and no answer arrives.
    CallLost,
    /// No answer arrives, and the call takes effect later.
    Late,
    /// The platform refuses the call.
    Unavailable,
}

/// A call that has not ended.
#[derive(Clone, Debug)]
pub struct OpenCall {
    pub daemon: usize,
    pub incarnation: u64,
    pub call: CallId,
    pub operation: Operation,
}

#[derive(Clone, Debug)]
pub struct InFlightMessage {
    pub from: usize,
    pub to: usize,
    pub message: Message,
}

/// A granted call that has not ended.
#[derive(Clone, Debug)]
pub struct Grant {
    pub daemon: usize,
    pub incarnation: u64,
    pub ticket: ClaimTicket,
}

/// The outcome of dispatching a granted call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DispatchOutcome {
    /// The upstream runs the call and responds.
    Answers,
    /// The upstream runs the call and the response is lost.
    AnswerLost,
    /// The upstream proves that it did not run the call.
    Refuses,
}

/// A defect injected into the protocol, to verify that the checks detect it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum InjectedBug {
    #[default]
    Nothing,
    /// Writes take effect regardless of the object's revision.
    NoCondition,
    /// A write whose answer was lost is assumed to have taken effect, without reading the object.
    NoReading,
}

/// The daemons, their store and open calls and messages, and the calls that the upstream ran.
#[derive(Clone, Debug)]
pub struct Cluster {
    pub cfg: Config,
    pub store: MemoryStore,
    pub daemons: Vec<Claims>,
    pub incarnations: Vec<u64>,
    pub now: Time,
    pub calls: Vec<OpenCall>,
    pub late_writes: Vec<Operation>,
    pub messages: Vec<InFlightMessage>,
    pub grants: Vec<Grant>,
    pub submitted: u64,
    pub answers: BTreeMap<RequestId, ClaimResponse>,
    pub keys: BTreeMap<RequestId, Box<str>>,
    pub runs: BTreeMap<Box<str>, u32>,
    pub writes: u64,
    pub reads: u64,
    pub injected_bug: InjectedBug,
}

impl Cluster {
    pub fn new(daemons: usize, cfg: Config, shared: bool) -> Self {
        let incarnations = vec![1; daemons];
        let mut cluster = Self {
            daemons: (0..daemons)
                .map(|d| Claims::new(cfg.clone(), daemon_id(d), Incarnation(1)))
                .collect(),
            cfg,
            store: MemoryStore::new(),
            incarnations,
            now: Time(0),
            calls: Vec::new(),
            late_writes: Vec::new(),
            messages: Vec::new(),
            grants: Vec::new(),
            submitted: 0,
            answers: BTreeMap::new(),
            keys: BTreeMap::new(),
            runs: BTreeMap::new(),
            writes: 0,
            reads: 0,
            injected_bug: InjectedBug::default(),
        };
        for daemon in 0..daemons {
            cluster.set_members(daemon, shared);
        }
        cluster
    }

    /// Sets a daemon's members: all daemons if `shared`, else only itself, which makes it the
    /// writer of every shard.
    pub fn set_members(&mut self, daemon: usize, shared: bool) {
        let members = (0..self.daemons.len()).filter(|&other| shared || other == daemon);
        let members: Arc<[Member]> = members.map(|d| member(d, self.incarnations[d])).collect();
        self.handle_event(daemon, Event::Members(members));
        self.handle_event(daemon, Event::Services([service()].into()));
    }

    pub fn wall(&self) -> WallTime {
        START + self.now.since(Time(0))
    }

    pub fn handle_event(&mut self, daemon: usize, event: Event) {
        let mut effects = Vec::new();
        let wall = self.wall();
        self.daemons[daemon].handle(self.now, wall, event, &mut effects);
        for effect in effects {
            self.execute(daemon, effect);
        }
    }

    fn execute(&mut self, daemon: usize, effect: Effect) {
        let incarnation = self.incarnations[daemon];
        match effect {
            Effect::Call(call, _, operation) => {
                self.calls.push(OpenCall { daemon, incarnation, call, operation });
            }
            Effect::Respond(request, answer) => {
                if let ClaimResponse::Granted(ticket) = &answer {
                    self.grants.push(Grant { daemon, incarnation, ticket: ticket.clone() });
                }
                if let ClaimResponse::Stored(stored) = &answer {
                    assert_eq!(
                        *stored,
                        answer_of(&self.keys[&request]),
                        "the stored response belongs to another key"
                    );
                    let runs = self.runs.get(&self.keys[&request]);
                    assert_eq!(
                        runs,
                        Some(&1),
                        "a response is stored for a call that did not run exactly once"
                    );
                }
                let before = self.answers.insert(request.clone(), answer);
                assert_eq!(before, None, "request {request} was answered twice");
            }
            Effect::Send(to, message) => {
                let to =
                    (0..self.daemons.len()).find(|&d| daemon_id(d) == to).expect("a known daemon");
                self.messages.push(InFlightMessage { from: daemon, to, message });
            }
            Effect::Rejected(reason) => panic!("{reason}"),
        }
    }

    /// Submits a call with this key as a new request.
    pub fn submit_call(&mut self, daemon: usize, key: &str) -> RequestId {
        self.submitted += 1;
        let request: RequestId = format!("r{}", self.submitted).parse().expect("a valid name");
        self.keys.insert(request.clone(), key.into());
        let claim = ClaimRequest {
            service: service(),
            key: key.into(),
            digest: [7; 32],
            request: request.clone(),
        };
        self.handle_event(daemon, Event::Acquire(claim));
        request
    }

    /// Ends an open call with the given outcome and reports the result to its daemon.
    pub fn end_call(&mut self, index: usize, outcome: CallOutcome) {
        let OpenCall { daemon, incarnation, call, operation } = self.calls.remove(index);
        if operation.is_write() {
            self.writes += 1;
        } else {
            self.reads += 1;
        }
        let mut result = match outcome {
            CallOutcome::Answered => self.apply(&operation),
            CallOutcome::AnswerLost => {
                // The daemon must find out whether the call took effect.
                let _ = self.apply(&operation);
                Err(CallError::Unknown)
            }
            CallOutcome::CallLost => Err(CallError::Unknown),
            CallOutcome::Late => {
                self.late_writes.push(operation.clone());
                Err(CallError::Unknown)
            }
            CallOutcome::Unavailable => Err(CallError::Unavailable),
        };
        if self.injected_bug == InjectedBug::NoReading
            && operation.is_write()
            && result == Err(CallError::Unknown)
        {
            result = Ok(Reply::Written(self.store.revision().next()));
        }
        if self.incarnations[daemon] == incarnation {
            self.handle_event(daemon, Event::CallEnded(call, result));
        }
    }

    /// Applies a late write, which takes effect if its condition still holds.
    pub fn apply_late_write(&mut self, index: usize) {
        let operation = self.late_writes.remove(index);
        let _ = self.apply(&operation);
    }

    fn apply(&mut self, operation: &Operation) -> Result<Reply, CallError> {
        let result = self.store.apply(operation);
        match (result, operation) {
            (Err(CallError::Conflict(current)), Operation::Put { key, value, .. })
                if self.injected_bug == InjectedBug::NoCondition =>
            {
                let condition = current.map_or(Condition::Absent, Condition::Revision);
                let (key, value) = (key.clone(), value.clone());
                self.store.apply(&Operation::Put { key, value, condition })
            }
            (result, _) => result,
        }
    }

    /// Delivers a message, and keeps it for another delivery if `repeat`.
    pub fn deliver(&mut self, index: usize, repeat: bool) {
        let in_flight = self.messages[index].clone();
        if !repeat {
            self.messages.remove(index);
        }
        self.handle_event(in_flight.to, Event::Peer(daemon_id(in_flight.from), in_flight.message));
    }

    /// Dispatches a granted call and reports its outcome. A grant of a replaced daemon is dropped.
    pub fn dispatch(&mut self, index: usize, outcome: DispatchOutcome) {
        let Grant { daemon, incarnation, ticket } = self.grants.remove(index);
        if self.incarnations[daemon] != incarnation {
            return;
        }
        let key = ticket.key.clone();
        if outcome != DispatchOutcome::Refuses {
            *self.runs.entry(key.clone()).or_insert(0) += 1;
        }
        let reported = match outcome {
            DispatchOutcome::Answers => ClaimOutcome::Ran(answer_of(&key)),
            DispatchOutcome::AnswerLost => ClaimOutcome::Unknown,
            DispatchOutcome::Refuses => ClaimOutcome::NotRun,
        };
        self.handle_event(daemon, Event::OutcomeReported(ticket, reported));
    }

    /// Replaces a daemon whose host was lost; its open calls may still take effect.
    pub fn replace(&mut self, daemon: usize, shared: bool) {
        self.incarnations[daemon] += 1;
        let incarnation = Incarnation(self.incarnations[daemon]);
        self.daemons[daemon] = Claims::new(self.cfg.clone(), daemon_id(daemon), incarnation);
        self.set_members(daemon, shared);
    }

    /// Advances the clock and wakes each daemon whose wakeup is due.
    pub fn advance(&mut self, time: Duration) {
        self.now = self.now + time;
        for daemon in 0..self.daemons.len() {
            if self.daemons[daemon].next_wakeup().is_some_and(|at| at <= self.now) {
                self.handle_event(daemon, Event::Woken);
            }
        }
    }

    /// Returns the time until the next wakeup of a daemon if it is less than a minute away.
    pub fn next_wakeup(&self) -> Option<Duration> {
        let next = self.daemons.iter().filter_map(Claims::next_wakeup).min()?;
        Some(next.since(self.now)).filter(|wait| *wait < Duration::from_mins(1))
    }

    /// Ends every call and delivers every message without faults until nothing is left to do.
    pub fn run_until_idle(&mut self) {
        for _ in 0..10_000 {
            if !self.calls.is_empty() {
                self.end_call(0, CallOutcome::Answered);
            } else if !self.messages.is_empty() {
                self.deliver(0, false);
            } else if let Some(wait) = self.next_wakeup() {
                self.advance(wait);
            } else {
                return;
            }
        }
        panic!("the daemons are not idle after 10000 steps: {self:?}");
    }

    /// Counts the objects whose keys contain `part`.
    pub fn count(&mut self, part: &str) -> usize {
        match self.store.apply(&Operation::List("claims/".into())) {
            Ok(Reply::Listed(keys)) => {
                keys.iter().filter(|(key, _)| key.as_str().contains(part)).count()
            }
            _ => 0,
        }
    }

    /// Fails if any key ran more than once.
    pub fn check(&self) -> Result<(), String> {
        match self.runs.iter().find(|&(_, &count)| count > 1) {
            Some((key, count)) => Err(format!("key {key} ran {count} times")),
            None => Ok(()),
        }
    }
}

pub fn daemon_id(daemon: usize) -> DaemonId {
    format!("d{daemon}").parse().expect("a valid name")
}

pub fn service() -> ServiceName {
    "ledger".parse().expect("a valid name")
}

fn member(daemon: usize, incarnation: u64) -> Member {
    Member {
        daemon: daemon_id(daemon),
        incarnation: Incarnation(incarnation),
        address: ([127, 0, 0, 1], 1).into(),
        data_centre: "salish-a".parse().expect("a valid name"),
        region: "salish".parse().expect("a valid name"),
    }
}

/// Returns the upstream's response to the call with this key.
pub fn answer_of(key: &str) -> StoredResponse {
    let body = Some(Bytes::from(format!("booked {key}")));
    StoredResponse { status: 201, content_type: "text/plain".into(), body }
}
