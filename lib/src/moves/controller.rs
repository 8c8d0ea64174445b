//! The slice: every move that is declared, at one daemon.

use std::{sync::Arc, time::Duration};

use indexmap::IndexMap;

use crate::{
    declaration::DeclarationSet,
    ids::{CallId, DaemonId, ServiceName},
    moves::{
        MoveId,
        evidence::DaemonRun,
        message::Message,
        regression::Assessment,
        report::MoveReport,
        resolution::{self, Abort, EndRecord},
        running::{Reached, Running},
        share::TrafficSplit,
    },
    node::report::AttemptReport,
    peer::Recipient,
    store::{CallError, Operation, Reply},
    units::{Clock, Time},
};

/// How often evidence is sent while one or two moves run; it stretches with their number.
const SEND_INTERVAL: Duration = Duration::from_secs(1);
/// How soon evidence against a new version is sent.
const URGENT_INTERVAL: Duration = Duration::from_millis(100);
/// How soon evidence is judged after it has grown, while one or two moves run.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(250);
/// How soon evidence against a new version is judged.
const URGENT_EVALUATION_INTERVAL: Duration = Duration::from_millis(50);
/// After how many sends the sums of other daemons are passed on.
const SENDS_PER_RELAY: u32 = 4;
/// How long a fresh daemon waits for its peers to tell what they know.
const PEERS_WAIT: Duration = Duration::from_secs(2);
/// How often a fresh daemon asks its peers.
const ASK_INTERVAL: Duration = Duration::from_millis(500);
/// How long nothing may be heard of the moves before the records are read again.
const SILENCE: Duration = Duration::from_secs(5);
/// How long nothing may be heard before the new versions get no more requests.
const ISOLATION: Duration = Duration::from_secs(15);
/// The most holds and records that are kept for moves that are not declared here yet.
const MAX_EARLY: usize = 256;

/// What the slice is told.
#[derive(Clone, Debug)]
pub enum Event<'a> {
    /// The daemon has started.
    Started,
    /// This set is in force.
    Declared(&'a DeclarationSet),
    /// An attempt has ended.
    Attempt(&'a AttemptReport),
    /// A peer has sent a message.
    Peer(DaemonId, Message),
    /// A call has ended.
    CallEnded(CallId, Result<Reply, CallError>),
    /// The time of [`Moves::next_wakeup`] has come.
    Woken,
}

/// What this daemon has done to a move, for the log and the audit trail.
#[derive(Clone, Debug, PartialEq)]
pub enum MoveTransition {
    /// The new version gets the share of this step.
    Stepped(Reached),
    /// The new version gets no more requests.
    Aborted(Abort),
    /// The end is recorded.
    Ended(EndRecord),
}

/// What the slice wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Call the platform and answer with [`Event::CallEnded`].
    Call(CallId, Operation),
    /// Send a message to peers.
    Send(Recipient, Message),
    /// Requests are spread in this way from now on.
    TrafficSplits(Arc<IndexMap<ServiceName, TrafficSplit>>),
    /// Operators read this from now on.
    Reports(Arc<[MoveReport]>),
    /// This daemon has changed where a move stands.
    Transitioned(MoveId, MoveTransition),
}

/// The moves at one daemon.
#[derive(Clone, Debug)]
pub struct Moves {
    me: DaemonRun,
    running: IndexMap<MoveId, Running>,
    early_aborts: IndexMap<MoveId, Abort>,
    early_ends: IndexMap<MoveId, EndRecord>,
    calls: IndexMap<CallId, (MoveId, CallId)>,
    next_call: CallId,
    traffic_splits: Arc<IndexMap<ServiceName, TrafficSplit>>,
    started: Time,
    has_peers_word: bool,
    ask_at: Option<Time>,
    heard: Time,
    sent: Time,
    send_at: Option<Time>,
    sends: u32,
    evaluate_at: Option<Time>,
    wakeup: Option<Time>,
}

impl Moves {
    /// Makes the slice of one run of a daemon.
    pub fn new(me: DaemonRun) -> Self {
        Self {
            me,
            running: IndexMap::new(),
            early_aborts: IndexMap::new(),
            early_ends: IndexMap::new(),
            calls: IndexMap::new(),
            next_call: CallId(0),
            traffic_splits: Arc::default(),
            started: Time(0),
            has_peers_word: false,
            ask_at: None,
            heard: Time(0),
            sent: Time(0),
            send_at: None,
            sends: 0,
            evaluate_at: None,
            wakeup: None,
        }
    }

    /// Returns when the slice wants [`Event::Woken`].
    pub fn next_wakeup(&self) -> Option<Time> {
        self.wakeup
    }

    /// Returns the moves that the daemon knows.
    pub fn running(&self) -> impl Iterator<Item = (&MoveId, &Running)> {
        self.running.iter()
    }

    /// Takes an event and adds the effects that follow from it.
    pub fn handle(&mut self, clock: Clock, event: Event<'_>, out: &mut Vec<Effect>) {
        match event {
            Event::Started => self.start(clock),
            Event::Declared(set) => self.declared(clock, set, out),
            Event::Attempt(report) => self.attempt(clock, report),
            Event::Peer(from, message) => self.peer(clock, from, message, out),
            Event::CallEnded(call, result) => self.called(clock, call, result, out),
            Event::Woken => {}
        }
        self.turn(clock, out);
        self.wakeup = self.wanted_wakeup(clock);
    }

    fn start(&mut self, clock: Clock) {
        self.started = clock.now;
        self.heard = clock.now;
        self.ask_at = Some(clock.now);
    }

    fn declared(&mut self, clock: Clock, set: &DeclarationSet, out: &mut Vec<Effect>) {
        let declared: IndexMap<MoveId, _> =
            set.moves.values().map(|m| (MoveId::of(m), m)).collect();
        self.running.retain(|id, _| declared.contains_key(id));
        for (id, m) in declared {
            if let Some(running) = self.running.get_mut(&id) {
                running.declared_again(set);
                continue;
            }
            let running = Running::new(&id, m, set, &self.me.daemon, clock);
            self.running.insert(id.clone(), running);
            self.resolution(clock, &id, resolution::Event::Woken, out);
            if let Some(abort) = self.early_aborts.swap_remove(&id) {
                self.resolution(clock, &id, resolution::Event::Aborted(abort), out);
            }
            if let Some(record) = self.early_ends.swap_remove(&id) {
                self.resolution(clock, &id, resolution::Event::PeerReported(record), out);
            }
        }
        self.reported(clock, out);
    }

    fn attempt(&mut self, clock: Clock, report: &AttemptReport) {
        let running = self.running.values_mut().find(|running| {
            running.declared.service == report.service && running.is_open(clock.wall)
        });
        let Some(running) = running else { return };
        let is_bad = running.count(clock, &self.me, report);
        if !running.has_changed() {
            return;
        }
        let interval = if is_bad { URGENT_INTERVAL } else { self.send_interval() };
        self.send_by(self.sent + interval);
        if is_bad {
            self.evaluate_by(clock.now + URGENT_EVALUATION_INTERVAL);
        }
    }

    fn peer(&mut self, clock: Clock, from: DaemonId, message: Message, out: &mut Vec<Effect>) {
        self.heard = clock.now;
        match message {
            Message::Ask => self.answer(from, out),
            Message::Answered => self.has_peers_word = true,
            Message::Evidence { id, reached, entries } => {
                let Some(running) = self.running.get_mut(&id) else { return };
                if let Some(known) = known_end(&id, running) {
                    // The sender has missed the end of the move.
                    out.push(Effect::Send(Recipient::Daemon(from), known));
                    return;
                }
                let growth = running.merge(clock, &self.me, &entries);
                let has_stepped = running.follow(reached);
                if growth.any {
                    let bad = growth.bad;
                    let interval =
                        if bad { URGENT_EVALUATION_INTERVAL } else { self.evaluation_interval() };
                    self.evaluate_by(clock.now + interval);
                }
                if has_stepped {
                    self.reported(clock, out);
                }
            }
            Message::Abort(id, abort) if self.running.contains_key(&id) => {
                self.resolution(clock, &id, resolution::Event::Aborted(abort), out);
            }
            Message::End(id, record) if self.running.contains_key(&id) => {
                self.resolution(clock, &id, resolution::Event::PeerReported(record), out);
            }
            Message::Abort(id, abort) => keep_early(&mut self.early_aborts, id, abort),
            Message::End(id, record) => keep_early(&mut self.early_ends, id, record),
        }
    }

    /// Tells a fresh daemon what it must know before it gives a new version requests.
    fn answer(&self, to: DaemonId, out: &mut Vec<Effect>) {
        let to = Recipient::Daemon(to);
        for (id, running) in &self.running {
            let resolution = &running.resolution;
            let abort = resolution.abort().map(|abort| Message::Abort(id.clone(), abort.clone()));
            let end = resolution.record().map(|record| Message::End(id.clone(), record.clone()));
            let step = Message::Evidence {
                id: id.clone(),
                reached: running.reached(),
                entries: Vec::new(),
            };
            for message in [abort, end, Some(step)].into_iter().flatten() {
                out.push(Effect::Send(to.clone(), message));
            }
        }
        let early = self.early_aborts.iter();
        let early = early.map(|(id, abort)| Message::Abort(id.clone(), abort.clone()));
        out.extend(early.map(|message| Effect::Send(to.clone(), message)));
        out.push(Effect::Send(to, Message::Answered));
    }

    fn called(
        &mut self,
        clock: Clock,
        call: CallId,
        result: Result<Reply, CallError>,
        out: &mut Vec<Effect>,
    ) {
        let Some((id, inner)) = self.calls.swap_remove(&call) else { return };
        if result.is_ok() {
            self.heard = clock.now;
        }
        if self.running.contains_key(&id) {
            self.resolution(clock, &id, resolution::Event::CallEnded(inner, result), out);
        }
    }

    /// Hands an event to the end of a move and carries out what it asks for.
    fn resolution(
        &mut self,
        clock: Clock,
        id: &MoveId,
        event: resolution::Event,
        out: &mut Vec<Effect>,
    ) {
        let mut effects = Vec::new();
        let running = &mut self.running[id];
        running.resolution.handle(clock.now, clock.wall, event, &mut effects);
        for effect in effects {
            match effect {
                resolution::Effect::Call(inner, operation) => {
                    self.next_call = self.next_call.next();
                    self.calls.insert(self.next_call, (id.clone(), inner));
                    out.push(Effect::Call(self.next_call, operation));
                }
                resolution::Effect::Aborted(abort) => {
                    if abort.by == self.me.daemon {
                        let message = Message::Abort(id.clone(), abort.clone());
                        out.push(Effect::Send(Recipient::Flood, message));
                        out.push(Effect::Transitioned(id.clone(), MoveTransition::Aborted(abort)));
                    }
                    self.reported(clock, out);
                }
                resolution::Effect::Ended { record, found } => {
                    if found {
                        let message = Message::End(id.clone(), record.clone());
                        out.push(Effect::Send(Recipient::Flood, message));
                    }
                    if record.by == self.me.daemon {
                        out.push(Effect::Transitioned(id.clone(), MoveTransition::Ended(record)));
                    }
                    self.reported(clock, out);
                }
            }
        }
    }

    /// Does what time alone calls for.
    fn turn(&mut self, clock: Clock, out: &mut Vec<Effect>) {
        if self.ask_at.is_some_and(|at| at <= clock.now) {
            out.push(Effect::Send(Recipient::Neighbours, Message::Ask));
            let goes_on = !self.has_peers_word && !self.has_waited_for_peers(clock);
            self.ask_at = goes_on.then(|| clock.now + ASK_INTERVAL);
        }
        let is_silent = clock.now.since(self.heard) >= SILENCE;
        let mut sealed = false;
        for id in self.running.keys().cloned().collect::<Vec<_>>() {
            if is_silent && self.running[&id].resolution.record().is_none() {
                self.resolution(clock, &id, resolution::Event::Reread, out);
            } else {
                self.resolution(clock, &id, resolution::Event::Woken, out);
            }
            if self.running[&id].is_open(clock.wall) && self.running[&id].seal(clock) {
                sealed = true;
                self.advance(clock, &id, out);
            }
        }
        if self.evaluate_at.is_some_and(|at| at <= clock.now) {
            self.evaluate_at = None;
            self.evaluate(clock, out);
        }
        if self.send_at.is_some_and(|at| at <= clock.now) {
            self.send(clock, out);
        }
        if sealed {
            self.reported(clock, out);
        }
        self.choose(clock, out);
    }

    fn advance(&mut self, clock: Clock, id: &MoveId, out: &mut Vec<Effect>) {
        self.evaluate_by(clock.now);
        if !self.is_informed(clock) {
            return;
        }
        if self.running[id].try_step(clock) {
            self.stepped(clock, id, out);
        } else if self.running[id].has_passed(clock) {
            self.resolution(clock, id, resolution::Event::Passed, out);
        }
    }

    fn stepped(&mut self, clock: Clock, id: &MoveId, out: &mut Vec<Effect>) {
        let reached = self.running[id].reached();
        let message = Message::Evidence { id: id.clone(), reached, entries: Vec::new() };
        out.push(Effect::Send(Recipient::Flood, message));
        out.push(Effect::Transitioned(id.clone(), MoveTransition::Stepped(reached)));
        self.reported(clock, out);
    }

    fn evaluate(&mut self, clock: Clock, out: &mut Vec<Effect>) {
        for id in self.running.keys().cloned().collect::<Vec<_>>() {
            if !self.running[&id].is_open(clock.wall) {
                continue;
            }
            match self.running[&id].evaluate() {
                Assessment::Regressed(cause) => {
                    let abort = Abort { cause, by: self.me.daemon.clone(), at: clock.wall };
                    self.resolution(clock, &id, resolution::Event::Aborted(abort), out);
                }
                Assessment::Suspect if self.running[&id].step_back(clock) => {
                    self.stepped(clock, &id, out);
                }
                Assessment::Suspect | Assessment::Doubtful | Assessment::Good => {}
            }
        }
    }

    fn send(&mut self, clock: Clock, out: &mut Vec<Effect>) {
        self.sent = clock.now;
        self.send_at = None;
        self.sends += 1;
        let relays = self.sends.is_multiple_of(SENDS_PER_RELAY);
        for (id, running) in &mut self.running {
            let entries = running.take_changed(&self.me, relays);
            if entries.is_empty() || !running.is_open(clock.wall) {
                continue;
            }
            let reached = running.reached();
            let message = Message::Evidence { id: id.clone(), reached, entries };
            out.push(Effect::Send(Recipient::Neighbours, message));
        }
        if self.running.values().any(Running::has_changed) {
            self.send_by(clock.now + self.send_interval());
        }
    }

    fn send_interval(&self) -> Duration {
        SEND_INTERVAL * (self.running.len() as u32).div_ceil(2).max(1)
    }

    fn evaluation_interval(&self) -> Duration {
        EVALUATION_INTERVAL * (self.running.len() as u32).div_ceil(2).max(1)
    }

    fn send_by(&mut self, at: Time) {
        self.send_at = Some(self.send_at.map_or(at, |earlier| earlier.min(at)));
    }

    fn evaluate_by(&mut self, at: Time) {
        self.evaluate_at = Some(self.evaluate_at.map_or(at, |earlier| earlier.min(at)));
    }

    fn has_waited_for_peers(&self, clock: Clock) -> bool {
        clock.now.since(self.started) >= PEERS_WAIT
    }

    /// Says whether this daemon knows enough to give new versions requests.
    fn is_informed(&self, clock: Clock) -> bool {
        let has_word = self.has_peers_word || self.has_waited_for_peers(clock);
        has_word && clock.now.since(self.heard) < ISOLATION
    }

    fn choose(&mut self, clock: Clock, out: &mut Vec<Effect>) {
        let is_informed = self.is_informed(clock);
        let split = |running: &Running| {
            let split = running.traffic_split(clock, is_informed)?;
            Some((running.declared.service.clone(), split))
        };
        let traffic_splits: IndexMap<_, _> = self.running.values().filter_map(split).collect();
        if traffic_splits != *self.traffic_splits {
            self.traffic_splits = Arc::new(traffic_splits);
            out.push(Effect::TrafficSplits(self.traffic_splits.clone()));
            self.reported(clock, out);
        }
    }

    fn reported(&self, clock: Clock, out: &mut Vec<Effect>) {
        let is_informed = self.is_informed(clock);
        let report = |running: &Running| running.report(clock, is_informed);
        let reports: Arc<[MoveReport]> = self.running.values().map(report).collect();
        out.retain(|effect| !matches!(effect, Effect::Reports(_)));
        out.push(Effect::Reports(reports));
    }

    fn wanted_wakeup(&self, clock: Clock) -> Option<Time> {
        let waits = !self.has_waited_for_peers(clock) && !self.running.is_empty();
        let peers = waits.then(|| self.started + PEERS_WAIT);
        let of_moves = self.running.values().filter_map(|running| wakeup_of(running, clock));
        [self.ask_at, self.send_at, self.evaluate_at, peers]
            .into_iter()
            .flatten()
            .chain(of_moves)
            .min()
    }
}

fn wakeup_of(running: &Running, clock: Clock) -> Option<Time> {
    let schedule = &running.schedule;
    if running.resolution.record().is_some() {
        return None;
    }
    let window = schedule.window_at(clock.wall);
    let window_end = schedule.start + schedule.window * (window + 1);
    let times = [schedule.start, window_end, schedule.finish_by];
    let coming = times.into_iter().filter(|&wall| wall > clock.wall && wall <= schedule.finish_by);
    let next = coming.min().map(|wall| clock.time_of(wall));
    let resolution = running.resolution.next_wakeup(clock.now, clock.wall);
    next.into_iter().chain(resolution).min()
}

/// Returns the message that tells of a hold or a record, if there is one.
fn known_end(id: &MoveId, running: &Running) -> Option<Message> {
    let resolution = &running.resolution;
    let end = resolution.record().map(|record| Message::End(id.clone(), record.clone()));
    end.or_else(|| resolution.abort().map(|abort| Message::Abort(id.clone(), abort.clone())))
}

fn keep_early<T>(early: &mut IndexMap<MoveId, T>, id: MoveId, value: T) {
    if early.len() >= MAX_EARLY {
        early.shift_remove_index(0);
    }
    early.insert(id, value);
}
