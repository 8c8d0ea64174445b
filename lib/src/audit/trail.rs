//! Appends the changes that one daemon makes to segments in the platform.
//!
//! Each run of a daemon has segments of its own, so that no two writers contend. A segment is
//! changed by conditional update; after a lost answer it is read, and the numbers of its records
//! tell what has been written. One daemon drops the oldest segments beyond a bound.

use std::{collections::VecDeque, time::Duration};

use crate::{
    audit::{Actor, Event as Change, PREFIX, Record, segment_key, wire},
    ids::{CallId, DaemonId, Generation, Incarnation, Revision},
    store::{CallError, Condition, ObjectKey, Operation, Priority, Reply},
    units::{Time, WallTime},
};

/// How long a change waits for others to be written with it.
const BATCH_WAIT: Duration = Duration::from_secs(1);
/// The first wait after a call that failed; doubled with each further failure.
const FIRST_BACKOFF: Duration = Duration::from_secs(1);
/// How many times [`FIRST_BACKOFF`] is doubled at most, to 16 s.
const MAX_DOUBLINGS: u32 = 4;
/// The most records of one write.
const MAX_BATCH: usize = 200;
/// How often the daemon that collects looks for segments beyond the bound.
const COLLECT_INTERVAL: Duration = Duration::from_mins(10);
/// The most segments that one round of collection deletes.
const MAX_DELETIONS: usize = 100;

/// The bounds of the trail.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// The changes that are kept while the platform is away.
    pub buffer: usize,
    /// The size at which a segment is closed, in bytes.
    pub segment_bytes: usize,
    /// The age at which a segment is closed.
    pub segment_age: Duration,
    /// The segments that the platform keeps; the oldest beyond them are dropped.
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

/// What the trail is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// A slice has made a change.
    Changed(Change),
    /// A call has ended.
    CallEnded(CallId, Result<Reply, CallError>),
    /// The time of [`Trail::next_wakeup`] has come.
    Woken,
    /// Whether this daemon is the one that drops segments beyond the bound.
    Collects(bool),
}

/// What the trail wants done.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Call the platform and answer with [`Event::CallEnded`].
    Call(CallId, Priority, Operation),
}

#[derive(Clone, Debug, Default)]
enum Work {
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
    begun: WallTime,
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
    work: Work,
    call: CallId,
    write_at: Option<Time>,
    failures: u32,
    collects: bool,
    collect_at: Time,
}

impl Trail {
    /// Makes the trail of one run of a daemon.
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
            work: Work::Idle,
            call: CallId(0),
            write_at: None,
            failures: 0,
            collects: false,
            collect_at: Time(0) + COLLECT_INTERVAL,
        }
    }

    /// Returns how many changes wait to be written.
    pub fn waiting(&self) -> usize {
        self.buffer.len()
    }

    /// Returns when the trail wants [`Event::Woken`].
    pub fn next_wakeup(&self) -> Option<Time> {
        if !matches!(self.work, Work::Idle) {
            return None;
        }
        let collect = self.collects.then_some(self.collect_at);
        [self.write_at, collect].into_iter().flatten().min()
    }

    /// Takes an event and adds the effects that follow from it.
    pub fn handle(&mut self, now: Time, wall: WallTime, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Changed(change) => self.changed(now, wall, change),
            Event::CallEnded(call, result) if call == self.call => {
                self.called(now, wall, result, out);
            }
            Event::CallEnded(..) | Event::Woken => {}
            Event::Collects(collects) => self.collects = collects,
        }
        self.advance(now, wall, out);
    }

    fn changed(&mut self, now: Time, wall: WallTime, change: Change) {
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

    /// Records that changes were dropped, once there is room for it.
    fn record_dropped(&mut self, wall: WallTime) {
        if self.dropped.count == 0 || self.buffer.len() >= self.cfg.buffer {
            return;
        }
        let Dropped { count, first } = std::mem::take(&mut self.dropped);
        let cause = format!("{count} changes from {first} on found the buffer full").into();
        self.push(wall, own_change("events-dropped", cause));
    }

    fn advance(&mut self, now: Time, wall: WallTime, out: &mut Vec<Effect>) {
        if !matches!(self.work, Work::Idle) {
            return;
        }
        if self.write_at.is_some_and(|at| at <= now) {
            self.write(wall, out);
        } else if self.collects && self.collect_at <= now {
            self.collect_at = now + COLLECT_INTERVAL;
            self.issue(Work::Listing, Operation::List(PREFIX.into()), out);
        }
    }

    fn issue(&mut self, work: Work, operation: Operation, out: &mut Vec<Effect>) {
        self.work = work;
        self.call = self.call.next();
        out.push(Effect::Call(self.call, Priority::Background, operation));
    }

    fn write(&mut self, wall: WallTime, out: &mut Vec<Effect>) {
        self.record_dropped(wall);
        let Some(first) = self.buffer.front() else {
            self.write_at = None;
            return;
        };
        let full = |segment: &Segment| {
            segment.bytes >= self.cfg.segment_bytes || segment.begun + self.cfg.segment_age <= wall
        };
        if self.segment.as_ref().is_none_or(full) {
            let writer = format!("{}-{}", self.daemon, self.incarnation);
            let key = ObjectKey::new(segment_key(first.at, &writer, self.segments));
            self.segments += 1;
            let begun = first.at;
            self.segment =
                Some(Segment { key, begun, revision: None, records: Vec::new(), bytes: 0 });
        }
        let Some(segment) = &self.segment else { return };
        self.batch = self.buffer.len().min(MAX_BATCH);
        let batch = self.buffer.iter().take(self.batch).cloned();
        let records: Vec<Record> = segment.records.iter().cloned().chain(batch).collect();
        let condition = segment.revision.map_or(Condition::Absent, Condition::Revision);
        let value = wire::encode(&records).into();
        let operation = Operation::Put { key: segment.key.clone(), value, condition };
        self.issue(Work::Writing, operation, out);
    }

    fn called(
        &mut self,
        now: Time,
        wall: WallTime,
        result: Result<Reply, CallError>,
        out: &mut Vec<Effect>,
    ) {
        match (std::mem::take(&mut self.work), result) {
            (Work::Writing, Ok(Reply::Written(revision))) => {
                let batch: Vec<Record> = self.buffer.drain(..self.batch).collect();
                if let Some(segment) = &mut self.segment {
                    segment.records.extend(batch);
                }
                self.written(now, Some(revision));
            }
            (Work::Writing, Err(CallError::Unknown | CallError::Conflict(_))) => {
                if let Some(segment) = &self.segment {
                    let operation = Operation::Get(segment.key.clone());
                    self.issue(Work::Reading, operation, out);
                }
            }
            (Work::Reading, Ok(Reply::Object(object))) => match object {
                Some(object) => self.settle(now, object.revision, &object.value),
                // It was never written, or has been dropped as the oldest; both begin anew.
                None => self.absent(now),
            },
            (Work::Listing, Ok(Reply::Listed(listed))) => self.listed(now, wall, listed, out),
            (Work::Deleting(mut rest), Ok(_)) => {
                rest.pop_front();
                self.delete(rest, out);
            }
            (Work::Writing | Work::Reading, _) => self.failed(now),
            _ => {}
        }
    }

    /// Finds out from a segment that was read which records it holds.
    fn settle(&mut self, now: Time, revision: Revision, value: &[u8]) {
        let Ok(records) = wire::decode(value) else {
            self.segment = None;
            return self.failed(now);
        };
        let last = records.last().map_or(0, |record| record.number);
        while self.buffer.front().is_some_and(|record| record.number <= last) {
            self.buffer.pop_front();
        }
        if let Some(segment) = &mut self.segment {
            segment.records = records;
        }
        self.written(now, Some(revision));
    }

    fn absent(&mut self, now: Time) {
        match &self.segment {
            Some(segment) if segment.revision.is_some() => self.segment = None,
            _ => {}
        }
        self.write_at = Some(now + BATCH_WAIT);
    }

    fn written(&mut self, now: Time, revision: Option<Revision>) {
        self.failures = 0;
        if let Some(segment) = &mut self.segment {
            segment.revision = revision;
            segment.bytes = wire::encode(&segment.records).len();
        }
        let more = !self.buffer.is_empty() || self.dropped.count > 0;
        self.write_at = more.then(|| now + BATCH_WAIT);
    }

    fn failed(&mut self, now: Time) {
        let wait = FIRST_BACKOFF * (1 << self.failures.min(MAX_DOUBLINGS));
        self.failures += 1;
        self.write_at = Some(now + wait);
    }

    /// Drops the oldest segments beyond the bound, and records that it did.
    fn listed(
        &mut self,
        now: Time,
        wall: WallTime,
        mut listed: Vec<(ObjectKey, Revision)>,
        out: &mut Vec<Effect>,
    ) {
        // Keys begin with the time of the first record.
        listed.sort();
        let beyond = listed.len().saturating_sub(self.cfg.segments).min(MAX_DELETIONS);
        if beyond == 0 {
            return;
        }
        listed.truncate(beyond);
        let cause = format!("the {beyond} oldest segments exceed the bound").into();
        self.push(wall, own_change("segments-dropped", cause));
        self.write_at.get_or_insert(now + BATCH_WAIT);
        self.delete(listed.into(), out);
    }

    fn delete(&mut self, rest: VecDeque<(ObjectKey, Revision)>, out: &mut Vec<Effect>) {
        let Some((key, revision)) = rest.front().cloned() else { return };
        let condition = Condition::Revision(revision);
        self.issue(Work::Deleting(rest), Operation::Delete { key, condition }, out);
    }
}

fn own_change(action: &str, cause: Box<str>) -> Change {
    Change {
        actor: Actor::Rule("audit-bound".into()),
        object: "audit".into(),
        action: action.into(),
        generation: Generation(0),
        cause,
    }
}
