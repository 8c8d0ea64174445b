//! Appends the changes made by one daemon to segments in the platform.
//!
//! Each run of a daemon has segments of its own, so that no two writers contend. A segment is
//! written by conditional update; after a lost response it is read, and the numbers of its records
//! show what has been written. One daemon deletes the oldest segments beyond a limit.

use std::{collections::VecDeque, time::Duration};

use crate::{
    audit::{Actor, Event as Change, PREFIX, Record, segment_key, wire},
    ids::{CallId, DaemonId, Generation, Incarnation, Revision},
    store::{CallError, Condition, ObjectKey, Operation, Priority, Reply},
    units::{Time, WallTime},
};

/// How long a change waits for others to be written in the same batch.
const BATCH_WAIT: Duration = Duration::from_secs(1);
/// The wait after the first failed call; doubled with each further failure.
const FIRST_BACKOFF: Duration = Duration::from_secs(1);
/// The maximum number of doublings of [`FIRST_BACKOFF`], to 16 s.
const MAX_DOUBLINGS: u32 = 4;
/// The maximum number of new records per write.
const MAX_BATCH: usize = 200;
/// The interval at which one daemon lists the segments to delete those beyond the limit.
const COLLECT_INTERVAL: Duration = Duration::from_mins(10);
/// The maximum number of segments deleted after each listing.
const MAX_DELETIONS: usize = 100;

/// The limits of the trail.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// The maximum number of changes buffered while the platform is unavailable.
    pub buffer: usize,
    /// The size at which a segment is closed, in bytes.
    pub segment_bytes: usize,
    /// The age at which a segment is closed.
    pub segment_age: Duration,
    /// The number of segments kept in the platform; the oldest beyond it are deleted.
    pub segments: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            buffer: 10_000,
            segment_bytes: 64_000,
            segment_age: Duration::from_hours(1),
            segments: 2_000,
        }
    }
}

/// The events that the trail handles.
#[derive(Clone, Debug)]
pub enum Event {
    /// A state machine has made a change.
    Changed(Change),
    /// A call has ended.
    CallEnded(CallId, Result<Reply, CallError>),
    /// The time of [`Trail::next_wakeup`] has been reached.
    Woken,
    /// Whether this daemon is the one that deletes segments beyond the limit.
    Collects(bool),
}

/// The effects that the caller of the trail performs.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Call the platform and report the result with [`Event::CallEnded`].
    Call(CallId, Priority, Operation),
}

#[derive(Clone, Debug, Default)]
enum Phase {
    #[default]
    Idle,
    Writing,
    Reading,
    Listing,
    Deleting(VecDeque<(ObjectKey, Revision)>),
}

#[derive(Clone, Debug)]
struct Segment {
    key: ObjectKey,
    started_at: WallTime,
    revision: Option<Revision>,
    records: Vec<Record>,
    bytes: usize,
}

#[derive(Clone, Debug, Default)]
struct Dropped {
    count: u64,
    first: WallTime,
}

/// The audit trail of one run of a daemon.
#[derive(Clone, Debug)]
pub struct Trail {
    cfg: Config,
    daemon: DaemonId,
    incarnation: Incarnation,
    number: u64,
    buffer: VecDeque<Record>,
    dropped: Dropped,
    segment: Option<Segment>,
    segments: u64,
    batch: usize,
    phase: Phase,
    call: CallId,
    write_at: Option<Time>,
    failures: u32,
    collects: bool,
    collect_at: Time,
}

impl Trail {
    /// Creates the trail of one run of a daemon.
    pub fn new(cfg: Config, daemon: DaemonId, incarnation: Incarnation) -> Self {
        Self {
            cfg,
            daemon,
            incarnation,
            number: 0,
            buffer: VecDeque::new(),
            dropped: Dropped::default(),
            segment: None,
            segments: 0,
            batch: 0,
            phase: Phase::Idle,
            call: CallId(0),
            write_at: None,
            failures: 0,
            collects: false,
            collect_at: Time(0) + COLLECT_INTERVAL,
        }
    }

    /// Returns the number of changes that are not yet known to be written.
    pub fn waiting(&self) -> usize {
        self.buffer.len()
    }

    /// Returns when the trail needs [`Event::Woken`].
    pub fn next_wakeup(&self) -> Option<Time> {
        if !matches!(self.phase, Phase::Idle) {
            return None;
        }
        let collect = self.collects.then_some(self.collect_at);
        [self.write_at, collect].into_iter().flatten().min()
    }

    /// Handles an event and appends the resulting effects to `out`.
    pub fn handle(&mut self, now: Time, wall: WallTime, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Changed(change) => self.add_change(now, wall, change),
            Event::CallEnded(call, result) if call == self.call => {
                self.handle_reply(now, wall, result, out);
            }
            Event::CallEnded(..) | Event::Woken => {}
            Event::Collects(collects) => self.collects = collects,
        }
        self.advance(now, wall, out);
    }

    fn add_change(&mut self, now: Time, wall: WallTime, change: Change) {
        if self.buffer.len() >= self.cfg.buffer {
            if self.dropped.count == 0 {
                self.dropped.first = wall;
            }
            self.dropped.count += 1;
            return;
        }
        self.push(wall, change);
        self.write_at.get_or_insert(now + BATCH_WAIT);
    }

    fn push(&mut self, at: WallTime, event: Change) {
        self.number += 1;
        let daemon = Some(self.daemon.clone());
        self.buffer.push_back(Record { at, daemon, number: self.number, event });
    }

    /// Records how many changes were dropped, once the buffer has room for the record.
    fn record_dropped(&mut self, wall: WallTime) {
        if self.dropped.count == 0 || self.buffer.len() >= self.cfg.buffer {
            return;
        }
        let Dropped { count, first } = std::mem::take(&mut self.dropped);
        let cause = format!("{count} changes from {first} on found the buffer full").into();
        self.push(wall, trail_event("events-dropped", cause));
    }

    fn advance(&mut self, now: Time, wall: WallTime, out: &mut Vec<Effect>) {
        if !matches!(self.phase, Phase::Idle) {
            return;
        }
        if self.write_at.is_some_and(|at| at <= now) {
            self.write(wall, out);
        } else if self.collects && self.collect_at <= now {
            self.collect_at = now + COLLECT_INTERVAL;
            self.issue(Phase::Listing, Operation::List(PREFIX.into()), out);
        }
    }

    fn issue(&mut self, phase: Phase, operation: Operation, out: &mut Vec<Effect>) {
        self.phase = phase;
        self.call = self.call.next();
        out.push(Effect::Call(self.call, Priority::Background, operation));
    }

    fn write(&mut self, wall: WallTime, out: &mut Vec<Effect>) {
        self.record_dropped(wall);
        let Some(first) = self.buffer.front() else {
            self.write_at = None;
            return;
        };
        let is_full = |segment: &Segment| {
            segment.bytes >= self.cfg.segment_bytes
                || segment.started_at + self.cfg.segment_age <= wall
        };
        if self.segment.as_ref().is_none_or(is_full) {
            let writer = format!("{}-{}", self.daemon, self.incarnation);
            let key = ObjectKey::new(segment_key(first.at, &writer, self.segments));
            self.segments += 1;
            let started_at = first.at;
            self.segment =
                Some(Segment { key, started_at, revision: None, records: Vec::new(), bytes: 0 });
        }
        let Some(segment) = &self.segment else { return };
        self.batch = self.buffer.len().min(MAX_BATCH);
        let batch = self.buffer.iter().take(self.batch).cloned();
        let records: Vec<Record> = segment.records.iter().cloned().chain(batch).collect();
        let condition = segment.revision.map_or(Condition::Absent, Condition::Revision);
        let value = wire::encode(&records).into();
        let operation = Operation::Put { key: segment.key.clone(), value, condition };
        self.issue(Phase::Writing, operation, out);
    }

    fn handle_reply(
        &mut self,
        now: Time,
        wall: WallTime,
        result: Result<Reply, CallError>,
        out: &mut Vec<Effect>,
    ) {
        match (std::mem::take(&mut self.phase), result) {
            (Phase::Writing, Ok(Reply::Written(revision))) => {
                let batch: Vec<Record> = self.buffer.drain(..self.batch).collect();
                if let Some(segment) = &mut self.segment {
                    segment.records.extend(batch);
                }
                self.finish_write(now, Some(revision));
            }
            (Phase::Writing, Err(CallError::Unknown | CallError::Conflict(_))) => {
                if let Some(segment) = &self.segment {
                    let operation = Operation::Get(segment.key.clone());
                    self.issue(Phase::Reading, operation, out);
                }
            }
            (Phase::Reading, Ok(Reply::Object(object))) => match object {
                Some(object) => self.reconcile(now, object.revision, &object.value),
                // It was never written, or another daemon has deleted it as one of the oldest.
                None => self.handle_missing_segment(now),
            },
            (Phase::Listing, Ok(Reply::Listed(listed))) => self.delete_old(now, wall, listed, out),
            (Phase::Deleting(mut rest), Ok(_)) => {
                rest.pop_front();
                self.delete(rest, out);
            }
            (Phase::Writing | Phase::Reading, _) => self.schedule_retry(now),
            _ => {}
        }
    }

    /// Removes the records that the stored segment contains from the buffer.
    fn reconcile(&mut self, now: Time, revision: Revision, value: &[u8]) {
        let Ok(records) = wire::decode(value) else {
            self.segment = None;
            return self.schedule_retry(now);
        };
        let last = records.last().map_or(0, |record| record.number);
        while self.buffer.front().is_some_and(|record| record.number <= last) {
            self.buffer.pop_front();
        }
        if let Some(segment) = &mut self.segment {
            segment.records = records;
        }
        self.finish_write(now, Some(revision));
    }

    /// Schedules a write to a new segment if this one was deleted, or else repeats its first write.
    fn handle_missing_segment(&mut self, now: Time) {
        match &self.segment {
            Some(segment) if segment.revision.is_some() => self.segment = None,
            _ => {}
        }
        self.write_at = Some(now + BATCH_WAIT);
    }

    fn finish_write(&mut self, now: Time, revision: Option<Revision>) {
        self.failures = 0;
        if let Some(segment) = &mut self.segment {
            segment.revision = revision;
            segment.bytes = wire::encode(&segment.records).len();
        }
        let more = !self.buffer.is_empty() || self.dropped.count > 0;
        self.write_at = more.then(|| now + BATCH_WAIT);
    }

    fn schedule_retry(&mut self, now: Time) {
        let wait = FIRST_BACKOFF * (1 << self.failures.min(MAX_DOUBLINGS));
        self.failures += 1;
        self.write_at = Some(now + wait);
    }

    /// Deletes the oldest segments beyond the limit and records the deletion.
    fn delete_old(
        &mut self,
        now: Time,
        wall: WallTime,
        mut listed: Vec<(ObjectKey, Revision)>,
        out: &mut Vec<Effect>,
    ) {
        // Keys start with the time of the segment's first record, so this sorts by age.
        listed.sort();
        let excess = listed.len().saturating_sub(self.cfg.segments).min(MAX_DELETIONS);
        if excess == 0 {
            return;
        }
        listed.truncate(excess);
        let cause = format!("the {excess} oldest segments exceed the bound").into();
        self.push(wall, trail_event("segments-dropped", cause));
        self.write_at.get_or_insert(now + BATCH_WAIT);
        self.delete(listed.into(), out);
    }

    fn delete(&mut self, rest: VecDeque<(ObjectKey, Revision)>, out: &mut Vec<Effect>) {
        let Some((key, revision)) = rest.front().cloned() else { return };
        let condition = Condition::Revision(revision);
        self.issue(Phase::Deleting(rest), Operation::Delete { key, condition }, out);
    }
}

fn trail_event(action: &str, cause: Box<str>) -> Change {
    Change {
        actor: Actor::Rule("audit-bound".into()),
        object: "audit".into(),
        action: action.into(),
        generation: Generation(0),
        cause,
    }
}
