//! Runs every declared move at one daemon: collects evidence, exchanges it with peers, raises the
//! share of the new version and ends the move.

use std::{sync::Arc, time::Duration};

use indexmap::IndexMap;

use crate::{
    declaration::DeclarationSet,
    ids::{CallId, DaemonId, ServiceName},
    moves::{
        MoveId,
        active_move::{ActiveMove, MoveProgress},
        evidence::DaemonRun,
        message::Message,
        regression::Assessment,
        report::MoveReport,
        resolution::{self, Abort, EndRecord},
        share::TrafficSplit,
    },
    node::report::AttemptReport,
    peer::Recipient,
    store::{CallError, Operation, Reply},
    units::{Clock, Time},
};

/// The interval between sends of evidence while one or two moves run; it grows with their number.
const EVIDENCE_INTERVAL: Duration = Duration::from_secs(1);
/// The shorter interval after a bad attempt on a new version.
const URGENT_EVIDENCE_INTERVAL: Duration = Duration::from_millis(100);
/// The delay between growth of the evidence and its evaluation while one or two moves run; it grows
/// with their number.
const EVALUATION_DELAY: Duration = Duration::from_millis(250);
/// The shorter delay after a bad attempt on a new version.
const URGENT_EVALUATION_DELAY: Duration = Duration::from_millis(50);
/// One of this many sends of evidence also relays the sums of other daemons.
const SENDS_PER_RELAY: u32 = 4;
/// The time after which a newly started daemon proceeds without the state of its peers.
const PEER_STATE_TIMEOUT: Duration = Duration::from_secs(2);
/// The interval at which a newly started daemon requests the state of its peers.
const STATE_REQUEST_INTERVAL: Duration = Duration::from_millis(500);
/// The time without a message from a peer or a successful platform call after which the end
/// records are read again.
const REREAD_TIMEOUT: Duration = Duration::from_secs(5);
/// The time without a message from a peer or a successful platform call after which the new
/// versions get no more requests.
const ISOLATION_TIMEOUT: Duration = Duration::from_secs(15);
/// The most aborts, and the most end records, that are kept for moves not declared here yet.
const MAX_EARLY_MESSAGES: usize = 256;

/// An input to [`Moves::handle`].
#[derive(Clone, Debug)]
pub enum Event<'a> {
    Started,
    /// This declaration set is now in force.
    Declared(&'a DeclarationSet),
    Attempt(&'a AttemptReport),
    Peer(DaemonId, Message),
    CallEnded(CallId, Result<Reply, CallError>),
    /// The time returned by [`Moves::next_wakeup`] has come.
    Woken,
}

/// A change to a move made by this daemon, for the log and the audit trail.
#[derive(Clone, Debug, PartialEq)]
pub enum MoveTransition {
    /// The new version now gets the share of this step.
    Stepped(MoveProgress),
    /// The new version gets no more requests.
    Aborted(Abort),
    /// The end of the move is recorded in the platform.
    Ended(EndRecord),
}

/// An output of [`Moves::handle`].
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Call the platform and report the result with [`Event::CallEnded`].
    Call(CallId, Operation),
    Send(Recipient, Message),
    /// The traffic splits in force from now on.
    TrafficSplits(Arc<IndexMap<ServiceName, TrafficSplit>>),
    /// The reports that operators read from now on.
    Reports(Arc<[MoveReport]>),
    /// This daemon has changed the state of a move.
    Transitioned(MoveId, MoveTransition),
}

#[derive(Clone, Debug)]
pub struct Moves {
    me: DaemonRun,
    active_by_id: IndexMap<MoveId, ActiveMove>,
    /// Aborts of moves that are not declared here yet.
    early_aborts: IndexMap<MoveId, Abort>,
    /// End records of moves that are not declared here yet.
    early_ends: IndexMap<MoveId, EndRecord>,
    /// The calls in flight, each with its move and the id that the resolution of the move gave it.
    calls: IndexMap<CallId, (MoveId, CallId)>,
    next_call: CallId,
    traffic_splits: Arc<IndexMap<ServiceName, TrafficSplit>>,
    started: Time,
    has_peer_state: bool,
    request_state_at: Option<Time>,
    /// The last message from a peer or successful platform call.
    last_contact: Time,
    last_sent: Time,
    send_at: Option<Time>,
    sends: u32,
    evaluate_at: Option<Time>,
    wakeup: Option<Time>,
}

impl Moves {
    pub fn new(me: DaemonRun) -> Self {
        Self {
            me,
            active_by_id: IndexMap::new(),
            early_aborts: IndexMap::new(),
            early_ends: IndexMap::new(),
            calls: IndexMap::new(),
            next_call: CallId(0),
            traffic_splits: Arc::default(),
            started: Time(0),
            has_peer_state: false,
            request_state_at: None,
            last_contact: Time(0),
            last_sent: Time(0),
            send_at: None,
            sends: 0,
            evaluate_at: None,
            wakeup: None,
        }
    }

    /// Returns the time at which [`Event::Woken`] is due.
    pub fn next_wakeup(&self) -> Option<Time> {
        self.wakeup
    }

    pub fn active_moves(&self) -> impl Iterator<Item = (&MoveId, &ActiveMove)> {
        self.active_by_id.iter()
    }

    /// Handles an event and appends the resulting effects to `out`.
    pub fn handle(&mut self, clock: Clock, event: Event<'_>, out: &mut Vec<Effect>) {
        match event {
            Event::Started => self.start(clock),
            Event::Declared(set) => self.apply_declarations(clock, set, out),
            Event::Attempt(report) => self.count_attempt(clock, report),
            Event::Peer(from, message) => self.receive(clock, from, message, out),
            Event::CallEnded(call, result) => self.call_ended(clock, call, result, out),
            Event::Woken => {}
        }
        self.run_due(clock, out);
        self.wakeup = self.earliest_wakeup(clock);
    }

    fn start(&mut self, clock: Clock) {
        self.started = clock.now;
        self.last_contact = clock.now;
        self.request_state_at = Some(clock.now);
    }

    fn apply_declarations(&mut self, clock: Clock, set: &DeclarationSet, out: &mut Vec<Effect>) {
        let declared: IndexMap<MoveId, _> =
            set.moves.values().map(|m| (MoveId::from_definition(m), m)).collect();
        self.active_by_id.retain(|id, _| declared.contains_key(id));
        for (id, m) in declared {
            if let Some(active_move) = self.active_by_id.get_mut(&id) {
                active_move.update_routes(set);
                continue;
            }
            let active_move = ActiveMove::new(&id, m, set, &self.me.daemon, clock);
            self.active_by_id.insert(id.clone(), active_move);
            self.handle_resolution(clock, &id, resolution::Event::Woken, out);
            if let Some(abort) = self.early_aborts.swap_remove(&id) {
                self.handle_resolution(clock, &id, resolution::Event::Aborted(abort), out);
            }
            if let Some(record) = self.early_ends.swap_remove(&id) {
                self.handle_resolution(clock, &id, resolution::Event::PeerReported(record), out);
            }
        }
        self.update_reports(clock, out);
    }

    fn count_attempt(&mut self, clock: Clock, report: &AttemptReport) {
        let active_move = self.active_by_id.values_mut().find(|active_move| {
            active_move.definition.service == report.service && active_move.is_open(clock.wall)
        });
        let Some(active_move) = active_move else { return };
        let is_bad = active_move.count(clock, &self.me, report);
        if !active_move.has_changed() {
            return;
        }
        let interval = if is_bad { URGENT_EVIDENCE_INTERVAL } else { self.send_interval() };
        self.send_by(self.last_sent + interval);
        if is_bad {
            self.evaluate_by(clock.now + URGENT_EVALUATION_DELAY);
        }
    }

    fn receive(&mut self, clock: Clock, from: DaemonId, message: Message, out: &mut Vec<Effect>) {
        self.last_contact = clock.now;
        match message {
            Message::RequestState => self.send_state(from, out),
            Message::StateSent => self.has_peer_state = true,
            Message::Evidence { id, progress, entries } => {
                let Some(active_move) = self.active_by_id.get_mut(&id) else { return };
                if let Some(known) = end_message(&id, active_move) {
                    // The sender has not received the end of the move.
                    out.push(Effect::Send(Recipient::Daemon(from), known));
                    return;
                }
                let growth = active_move.merge(clock, &self.me, &entries);
                let has_stepped = active_move.adopt_progress(progress);
                if growth.any_grown {
                    let is_urgent = growth.new_bad_grown;
                    let interval =
                        if is_urgent { URGENT_EVALUATION_DELAY } else { self.evaluation_delay() };
                    self.evaluate_by(clock.now + interval);
                }
                if has_stepped {
                    self.update_reports(clock, out);
                }
            }
            Message::Abort(id, abort) if self.active_by_id.contains_key(&id) => {
                self.handle_resolution(clock, &id, resolution::Event::Aborted(abort), out);
            }
            Message::End(id, record) if self.active_by_id.contains_key(&id) => {
                self.handle_resolution(clock, &id, resolution::Event::PeerReported(record), out);
            }
            Message::Abort(id, abort) => store_early(&mut self.early_aborts, id, abort),
            Message::End(id, record) => store_early(&mut self.early_ends, id, record),
        }
    }

    /// Sends a newly started daemon the state that it needs before it may route requests to a new
    /// version.
    fn send_state(&self, to: DaemonId, out: &mut Vec<Effect>) {
        let to = Recipient::Daemon(to);
        for (id, active_move) in &self.active_by_id {
            let resolution = &active_move.resolution;
            let abort = resolution.abort().map(|abort| Message::Abort(id.clone(), abort.clone()));
            let end = resolution.record().map(|record| Message::End(id.clone(), record.clone()));
            let step = Message::Evidence {
                id: id.clone(),
                progress: active_move.progress(),
                entries: Vec::new(),
            };
            for message in [abort, end, Some(step)].into_iter().flatten() {
                out.push(Effect::Send(to.clone(), message));
            }
        }
        let early = self.early_aborts.iter();
        let early = early.map(|(id, abort)| Message::Abort(id.clone(), abort.clone()));
        out.extend(early.map(|message| Effect::Send(to.clone(), message)));
        out.push(Effect::Send(to, Message::StateSent));
    }

    fn call_ended(
        &mut self,
        clock: Clock,
        call: CallId,
        result: Result<Reply, CallError>,
        out: &mut Vec<Effect>,
    ) {
        let Some((id, inner)) = self.calls.swap_remove(&call) else { return };
        if result.is_ok() {
            self.last_contact = clock.now;
        }
        if self.active_by_id.contains_key(&id) {
            self.handle_resolution(clock, &id, resolution::Event::CallEnded(inner, result), out);
        }
    }

    /// Passes an event to the resolution of a move and carries out the resulting effects.
    fn handle_resolution(
        &mut self,
        clock: Clock,
        id: &MoveId,
        event: resolution::Event,
        out: &mut Vec<Effect>,
    ) {
        let mut effects = Vec::new();
        let active_move = &mut self.active_by_id[id];
        active_move.resolution.handle(clock.now, clock.wall, event, &mut effects);
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
                    self.update_reports(clock, out);
                }
                resolution::Effect::Ended { record, from_platform } => {
                    if from_platform {
                        let message = Message::End(id.clone(), record.clone());
                        out.push(Effect::Send(Recipient::Flood, message));
                    }
                    if record.by == self.me.daemon {
                        out.push(Effect::Transitioned(id.clone(), MoveTransition::Ended(record)));
                    }
                    self.update_reports(clock, out);
                }
            }
        }
    }

    /// Performs the work that is due at this time.
    fn run_due(&mut self, clock: Clock, out: &mut Vec<Effect>) {
        if self.request_state_at.is_some_and(|at| at <= clock.now) {
            out.push(Effect::Send(Recipient::Neighbours, Message::RequestState));
            let is_unanswered = !self.has_peer_state && !self.is_peer_state_overdue(clock);
            self.request_state_at = is_unanswered.then(|| clock.now + STATE_REQUEST_INTERVAL);
        }
        let is_silent = clock.now.since(self.last_contact) >= REREAD_TIMEOUT;
        let mut sealed = false;
        for id in self.active_by_id.keys().cloned().collect::<Vec<_>>() {
            if is_silent && self.active_by_id[&id].resolution.record().is_none() {
                self.handle_resolution(clock, &id, resolution::Event::Reread, out);
            } else {
                self.handle_resolution(clock, &id, resolution::Event::Woken, out);
            }
            if self.active_by_id[&id].is_open(clock.wall) && self.active_by_id[&id].seal(clock) {
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
            self.update_reports(clock, out);
        }
        self.update_traffic_splits(clock, out);
    }

    /// Enters the next step of a move, or records that it has passed, if this daemon has recent
    /// enough state.
    fn advance(&mut self, clock: Clock, id: &MoveId, out: &mut Vec<Effect>) {
        self.evaluate_by(clock.now);
        if !self.is_up_to_date(clock) {
            return;
        }
        if self.active_by_id[id].try_step(clock) {
            self.announce_step(clock, id, out);
        } else if self.active_by_id[id].has_passed(clock) {
            self.handle_resolution(clock, id, resolution::Event::Passed, out);
        }
    }

    fn announce_step(&mut self, clock: Clock, id: &MoveId, out: &mut Vec<Effect>) {
        let progress = self.active_by_id[id].progress();
        let message = Message::Evidence { id: id.clone(), progress, entries: Vec::new() };
        out.push(Effect::Send(Recipient::Flood, message));
        out.push(Effect::Transitioned(id.clone(), MoveTransition::Stepped(progress)));
        self.update_reports(clock, out);
    }

    fn evaluate(&mut self, clock: Clock, out: &mut Vec<Effect>) {
        for id in self.active_by_id.keys().cloned().collect::<Vec<_>>() {
            if !self.active_by_id[&id].is_open(clock.wall) {
                continue;
            }
            match self.active_by_id[&id].evaluate() {
                Assessment::Regressed(cause) => {
                    let abort = Abort { cause, by: self.me.daemon.clone(), at: clock.wall };
                    self.handle_resolution(clock, &id, resolution::Event::Aborted(abort), out);
                }
                Assessment::Suspect if self.active_by_id[&id].step_back(clock) => {
                    self.announce_step(clock, &id, out);
                }
                Assessment::Suspect | Assessment::Doubtful | Assessment::Good => {}
            }
        }
    }

    fn send(&mut self, clock: Clock, out: &mut Vec<Effect>) {
        self.last_sent = clock.now;
        self.send_at = None;
        self.sends += 1;
        let includes_relayed = self.sends.is_multiple_of(SENDS_PER_RELAY);
        for (id, active_move) in &mut self.active_by_id {
            let entries = active_move.take_changed(&self.me, includes_relayed);
            if entries.is_empty() || !active_move.is_open(clock.wall) {
                continue;
            }
            let progress = active_move.progress();
            let message = Message::Evidence { id: id.clone(), progress, entries };
            out.push(Effect::Send(Recipient::Neighbours, message));
        }
        if self.active_by_id.values().any(ActiveMove::has_changed) {
            self.send_by(clock.now + self.send_interval());
        }
    }

    fn send_interval(&self) -> Duration {
        EVIDENCE_INTERVAL * (self.active_by_id.len() as u32).div_ceil(2).max(1)
    }

    fn evaluation_delay(&self) -> Duration {
        EVALUATION_DELAY * (self.active_by_id.len() as u32).div_ceil(2).max(1)
    }

    fn send_by(&mut self, at: Time) {
        self.send_at = Some(self.send_at.map_or(at, |earlier| earlier.min(at)));
    }

    fn evaluate_by(&mut self, at: Time) {
        self.evaluate_at = Some(self.evaluate_at.map_or(at, |earlier| earlier.min(at)));
    }

    fn is_peer_state_overdue(&self, clock: Clock) -> bool {
        clock.now.since(self.started) >= PEER_STATE_TIMEOUT
    }

    /// Reports whether this daemon has recent enough state to route requests to new versions.
    fn is_up_to_date(&self, clock: Clock) -> bool {
        let has_state = self.has_peer_state || self.is_peer_state_overdue(clock);
        has_state && clock.now.since(self.last_contact) < ISOLATION_TIMEOUT
    }

    fn update_traffic_splits(&mut self, clock: Clock, out: &mut Vec<Effect>) {
        let is_up_to_date = self.is_up_to_date(clock);
        let split = |active_move: &ActiveMove| {
            let split = active_move.traffic_split(clock, is_up_to_date)?;
            Some((active_move.definition.service.clone(), split))
        };
        let traffic_splits: IndexMap<_, _> = self.active_by_id.values().filter_map(split).collect();
        if traffic_splits != *self.traffic_splits {
            self.traffic_splits = Arc::new(traffic_splits);
            out.push(Effect::TrafficSplits(self.traffic_splits.clone()));
            self.update_reports(clock, out);
        }
    }

    fn update_reports(&self, clock: Clock, out: &mut Vec<Effect>) {
        let is_up_to_date = self.is_up_to_date(clock);
        let report = |active_move: &ActiveMove| active_move.report(clock, is_up_to_date);
        let reports: Arc<[MoveReport]> = self.active_by_id.values().map(report).collect();
        out.retain(|effect| !matches!(effect, Effect::Reports(_)));
        out.push(Effect::Reports(reports));
    }

    fn earliest_wakeup(&self, clock: Clock) -> Option<Time> {
        let is_waiting = !self.is_peer_state_overdue(clock) && !self.active_by_id.is_empty();
        let peers = is_waiting.then(|| self.started + PEER_STATE_TIMEOUT);
        let of_moves =
            self.active_by_id.values().filter_map(|active_move| wakeup_of(active_move, clock));
        [self.request_state_at, self.send_at, self.evaluate_at, peers]
            .into_iter()
            .flatten()
            .chain(of_moves)
            .min()
    }
}

fn wakeup_of(active_move: &ActiveMove, clock: Clock) -> Option<Time> {
    let schedule = &active_move.schedule;
    if active_move.resolution.record().is_some() {
        return None;
    }
    let window = schedule.window_at(clock.wall);
    let window_end = schedule.start + schedule.window * (window + 1);
    let times = [schedule.start, window_end, schedule.finish_by];
    let upcoming =
        times.into_iter().filter(|&wall| wall > clock.wall && wall <= schedule.finish_by);
    let next = upcoming.min().map(|wall| clock.time_of(wall));
    let resolution = active_move.resolution.next_wakeup(clock.now, clock.wall);
    next.into_iter().chain(resolution).min()
}

/// Returns the message with the end record of a move, or else with its abort, if there is one.
fn end_message(id: &MoveId, active_move: &ActiveMove) -> Option<Message> {
    let resolution = &active_move.resolution;
    let end = resolution.record().map(|record| Message::End(id.clone(), record.clone()));
    end.or_else(|| resolution.abort().map(|abort| Message::Abort(id.clone(), abort.clone())))
}

fn store_early<T>(early: &mut IndexMap<MoveId, T>, id: MoveId, value: T) {
    if early.len() >= MAX_EARLY_MESSAGES {
        early.shift_remove_index(0);
    }
    early.insert(id, value);
}
