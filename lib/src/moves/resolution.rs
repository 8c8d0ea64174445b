//! The end of a move: an abort that is never revoked, and a single end record in the platform.
//!
//! The record is written by a put that requires the object to be absent, so the first write wins
//! and no later one changes it, however late it takes effect. `docs/design/moves.md` states the
//! bounds on write delays and clock skew within which `finished` is never recorded after the
//! deadline.

use std::{fmt, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    declaration::wire::{self, WireError},
    ids::{CallId, DaemonId},
    moves::{MoveId, regression::Regression, report::Stage, schedule::Schedule},
    store::{CallError, Condition, ObjectKey, Operation, Reply},
    units::{Time, WallTime},
};

/// The key prefix of all end records.
pub const RECORD_PREFIX: &str = "moves/";
/// The delay before a failed platform call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// The outcome of a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The new version serves all requests.
    Finished,
    /// The old version serves all requests.
    #[serde(rename = "taken-back")]
    RolledBack,
}

impl From<Outcome> for Stage {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Finished => Self::Finished,
            Outcome::RolledBack => Self::RolledBack,
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Finished => "finished",
            Self::RolledBack => "taken back",
        })
    }
}

/// The decision, never revoked, that the new version gets no more requests under a move.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Abort {
    /// The regression of the new version that was detected.
    pub cause: Regression,
    pub by: DaemonId,
    /// The time by that daemon's clock.
    pub at: WallTime,
}

/// The end of a move as recorded in the platform.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EndRecord {
    pub outcome: Outcome,
    pub cause: Box<str>,
    pub by: DaemonId,
    /// The time by that daemon's clock.
    pub at: WallTime,
}

/// Returns the key of the end record of a move.
pub fn record_key(id: &MoveId) -> ObjectKey {
    ObjectKey::new(format!("{RECORD_PREFIX}{id}"))
}

/// An input to [`Resolution::handle`].
#[derive(Clone, Debug)]
pub enum Event {
    /// The time returned by [`Resolution::next_wakeup`] has come, or the move was declared.
    Woken,
    /// This daemon or another has decided to abort the move.
    Aborted(Abort),
    /// This daemon has found that the move has passed every step and the watch at full share.
    Passed,
    /// A peer has sent the end record.
    PeerReported(EndRecord),
    /// The record must be read again, because neither a peer nor the platform has responded for a
    /// while.
    Reread,
    CallEnded(CallId, Result<Reply, CallError>),
}

/// An output of [`Resolution::handle`].
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Call the platform and report the result with [`Event::CallEnded`].
    Call(CallId, Operation),
    /// The move is aborted, which this daemon did not know before.
    Aborted(Abort),
    /// The move has ended, which this daemon did not know before.
    Ended {
        record: EndRecord,
        /// Whether the record was read from or written to the platform, so that peers may lack it.
        from_platform: bool,
    },
}

/// The requests that the new version may get at one daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AllowedTraffic {
    /// No request.
    Nothing,
    /// The share of the current step.
    Step,
    /// Every request.
    Everything,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Pending {
    Reading,
    Writing(EndRecord),
}

/// The end of one move as known to one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Resolution {
    id: MoveId,
    me: DaemonId,
    schedule: Schedule,
    /// The delay of this daemon's write after the closing time, so that daemons do not all write at
    /// once.
    stagger: Duration,
    abort: Option<Abort>,
    record: Option<EndRecord>,
    /// Whether the key of the record was read since this daemon started.
    has_read: bool,
    needs_read: bool,
    has_passed: bool,
    pending: Option<(CallId, Pending)>,
    retry_at: Option<Time>,
    call: CallId,
}

impl Resolution {
    /// Creates the state of a move of which this daemon knows neither an abort nor a record yet.
    pub fn new(id: MoveId, me: DaemonId, schedule: Schedule, stagger: Duration) -> Self {
        Self {
            id,
            me,
            schedule,
            stagger: stagger.min(schedule.margin / 4),
            abort: None,
            record: None,
            has_read: false,
            needs_read: true,
            has_passed: false,
            pending: None,
            retry_at: None,
            call: CallId(0),
        }
    }

    /// Returns the abort, if this daemon knows of one.
    pub fn abort(&self) -> Option<&Abort> {
        self.abort.as_ref()
    }

    /// Returns the end record, if this daemon knows it.
    pub fn record(&self) -> Option<&EndRecord> {
        self.record.as_ref()
    }

    /// Reports whether this run of the daemon has read the key of the record in the platform.
    pub fn has_read(&self) -> bool {
        self.has_read
    }

    /// Reports whether this daemon has found that the move has passed every step and the watch.
    pub fn has_passed(&self) -> bool {
        self.has_passed
    }

    /// Returns the requests that the new version may get now.
    pub fn allowed(&self, wall: WallTime) -> AllowedTraffic {
        if self.abort.is_some() {
            return AllowedTraffic::Nothing;
        }
        match self.record.as_ref().map(|record| record.outcome) {
            Some(Outcome::Finished) => AllowedTraffic::Everything,
            Some(Outcome::RolledBack) => AllowedTraffic::Nothing,
            None if !self.has_read => AllowedTraffic::Nothing,
            None if wall < self.schedule.start || wall >= self.schedule.finish_by => {
                AllowedTraffic::Nothing
            }
            None => AllowedTraffic::Step,
        }
    }

    /// Returns the time at which [`Event::Woken`] is due.
    pub fn next_wakeup(&self, now: Time, wall: WallTime) -> Option<Time> {
        if self.record.is_some() || self.pending.is_some() {
            return None;
        }
        if let Some(at) = self.retry_at {
            return Some(at);
        }
        let closing_time = self.closing_time();
        (wall < closing_time).then(|| now + closing_time.until(wall))
    }

    /// Handles an event and appends the resulting effects to `out`.
    pub fn handle(&mut self, now: Time, wall: WallTime, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Woken => {}
            Event::Aborted(abort) => self.set_abort(abort, out),
            Event::Passed => self.has_passed = true,
            Event::PeerReported(record) => self.set_record(record, false, out),
            Event::Reread => self.needs_read = true,
            Event::CallEnded(call, result) => self.call_ended(now, call, result, out),
        }
        self.issue_call(now, wall, out);
    }

    fn closing_time(&self) -> WallTime {
        self.schedule.closing_time() + self.stagger
    }

    fn set_abort(&mut self, abort: Abort, out: &mut Vec<Effect>) {
        let is_rolled_back =
            self.record.as_ref().is_some_and(|record| record.outcome == Outcome::RolledBack);
        if self.abort.is_none() && !is_rolled_back {
            self.abort = Some(abort.clone());
            out.push(Effect::Aborted(abort));
        }
    }

    fn set_record(&mut self, record: EndRecord, from_platform: bool, out: &mut Vec<Effect>) {
        if self.record.is_none() {
            self.record = Some(record.clone());
            out.push(Effect::Ended { record, from_platform });
        }
    }

    fn issue_call(&mut self, now: Time, wall: WallTime, out: &mut Vec<Effect>) {
        let is_waiting = self.retry_at.is_some_and(|at| now < at);
        if self.record.is_some() || self.pending.is_some() || is_waiting {
            return;
        }
        self.retry_at = None;
        if self.needs_read {
            return self.read(out);
        }
        if let Some(record) = self.due_record(wall) {
            self.write(record, out);
        }
    }

    /// Returns the record that this daemon must write now, if any.
    fn due_record(&self, wall: WallTime) -> Option<EndRecord> {
        let record = |outcome, cause: String| EndRecord {
            outcome,
            cause: cause.into(),
            by: self.me.clone(),
            at: wall,
        };
        if let Some(abort) = &self.abort {
            return Some(record(Outcome::RolledBack, abort.cause.to_string()));
        }
        if self.has_passed && wall <= self.schedule.latest_finish() {
            let cause = "every step and the watch at full share are passed";
            return Some(record(Outcome::Finished, cause.into()));
        }
        (wall >= self.closing_time()).then(|| {
            let cause = "not finished by the operator's time";
            record(Outcome::RolledBack, cause.into())
        })
    }

    fn read(&mut self, out: &mut Vec<Effect>) {
        let operation = Operation::Get(record_key(&self.id));
        self.call(Pending::Reading, operation, out);
    }

    fn write(&mut self, record: EndRecord, out: &mut Vec<Effect>) {
        let operation = Operation::Put {
            key: record_key(&self.id),
            value: wire::encode(&record).into(),
            condition: Condition::Absent,
        };
        self.call(Pending::Writing(record), operation, out);
    }

    fn call(&mut self, pending: Pending, operation: Operation, out: &mut Vec<Effect>) {
        self.call = self.call.next();
        self.pending = Some((self.call, pending));
        out.push(Effect::Call(self.call, operation));
    }

    fn call_ended(
        &mut self,
        now: Time,
        call: CallId,
        result: Result<Reply, CallError>,
        out: &mut Vec<Effect>,
    ) {
        let Some((_, pending)) = self.pending.take_if(|(pending, _)| *pending == call) else {
            return;
        };
        match (pending, result) {
            (Pending::Reading, Ok(Reply::Object(Some(object)))) => {
                let record = wire::decode(&object.value);
                let record = record.unwrap_or_else(|error| self.unreadable_record(&error));
                self.has_read = true;
                self.set_record(record, true, out);
            }
            (Pending::Reading, Ok(_)) => {
                self.has_read = true;
                self.needs_read = false;
            }
            (Pending::Writing(record), Ok(_)) => self.set_record(record, true, out),
            // Another record exists or this one may have been written; a read resolves it.
            (Pending::Writing(_), Err(CallError::Conflict(_) | CallError::Unknown)) => {
                self.needs_read = true;
            }
            (_, Err(_)) => self.retry_at = Some(now + RETRY_DELAY),
        }
    }

    /// Returns the substitute for a record that cannot be decoded: a roll-back, because the old
    /// version is the safe one.
    fn unreadable_record(&self, error: &WireError) -> EndRecord {
        EndRecord {
            outcome: Outcome::RolledBack,
            cause: format!("the record is damaged: {error}").into(),
            by: self.me.clone(),
            at: self.schedule.finish_by,
        }
    }
}
