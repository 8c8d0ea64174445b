//! A lease, stored in the platform, that lets one daemon act for a service in a zone.
//!
//! The lease is one object that is changed by conditional writes alone, so that its safety does not
//! depend on the platform's clock. The holder counts its term from when it *sent* the write; other
//! daemons count from when they *observed* its effect, which is later. The factor between the two
//! spans covers clock drift. See `docs/design/supply.md`.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    declaration::wire::{self, WireError},
    ids::{CallId, DaemonId, FencingNumber, Incarnation, Revision},
    store::{CallError, Condition, ObjectKey, Operation, Priority, Reply},
    units::Time,
};

/// The number of recent writes whose send times are kept until one is observed in effect.
const MAX_SENT_WRITES: usize = 8;

/// The time parameters of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTimes {
    /// How long the holder may act after sending a write, on its own clock.
    pub term: Duration,
    /// How long after sending a write the holder renews the lease.
    pub renew_after: Duration,
    /// The last part of the term, in which the holder sends no orders to upstreams that do not
    /// check fencing numbers.
    pub margin: Duration,
    /// The longest time from the last reading of the clock until an order has taken effect.
    pub order_delay: Duration,
    /// The largest deviation of a clock's rate, in parts per thousand.
    pub drift_per_mille: u32,
    /// The delay before a failed call is retried.
    pub retry: Duration,
    /// How often a daemon that wants the lease reads it while another holds it.
    pub poll: Duration,
}

impl Default for LeaseTimes {
    fn default() -> Self {
        Self {
            term: Duration::from_secs(15),
            renew_after: Duration::from_secs(5),
            margin: Duration::from_secs(2),
            order_delay: Duration::from_secs(2),
            drift_per_mille: 10,
            retry: Duration::from_millis(500),
            poll: Duration::from_secs(3),
        }
    }
}

impl LeaseTimes {
    /// Returns how long a record must be observed unchanged until its holder's term is over.
    pub fn lapse_after(&self) -> Duration {
        scale_up(self.term, 1000 + self.drift_per_mille, 1000 - self.drift_per_mille)
    }

    /// Returns how long a new holder waits for the previous holder's orders to take effect.
    pub fn takeover_wait(&self) -> Duration {
        scale_up(self.order_delay, 1000 + self.drift_per_mille, 1000)
    }
}

/// Multiplies a duration by a fraction and rounds up to a whole microsecond.
fn scale_up(duration: Duration, numerator: u32, denominator: u32) -> Duration {
    let micros = duration.as_micros() as u64 * u64::from(numerator);
    Duration::from_micros(micros.div_ceil(u64::from(denominator)))
}

/// A daemon in one of its runs; a restarted daemon is another holder.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Holder {
    pub daemon: DaemonId,
    pub incarnation: Incarnation,
}

/// The stored state of a lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Record {
    /// The holder; `None` once the lease has been released.
    pub holder: Option<Holder>,
    /// The fencing number; it grows with each acquisition.
    pub fencing: FencingNumber,
    /// The number of the write among its holder's, so that reading shows whether a write with a
    /// lost reply took effect.
    pub write: u64,
}

/// A [`Record`] as it is stored, in CBOR.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RecordWire {
    holder: Option<(DaemonId, Incarnation)>,
    fencing: FencingNumber,
    write: u64,
}

impl From<Record> for RecordWire {
    fn from(record: Record) -> Self {
        let holder = record.holder.map(|holder| (holder.daemon, holder.incarnation));
        Self { holder, fencing: record.fencing, write: record.write }
    }
}

impl TryFrom<RecordWire> for Record {
    type Error = WireError;

    fn try_from(wire: RecordWire) -> Result<Self, WireError> {
        let holder = wire.holder.map(|(daemon, incarnation)| Holder { daemon, incarnation });
        Ok(Self { holder, fencing: wire.fencing, write: wire.write })
    }
}

impl Record {
    /// Decodes a record from the value of the lease's object.
    pub fn decode(value: &[u8]) -> Result<Self, WireError> {
        wire::decode::<RecordWire>(value)?.try_into()
    }

    /// Encodes a record as the value of the lease's object.
    pub fn encode(&self) -> Vec<u8> {
        wire::encode(&RecordWire::from(self.clone()))
    }
}

/// A term of the lease, as its holder knows it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTerm {
    /// The fencing number that orders carry.
    pub fencing: FencingNumber,
    /// When the holder must stop acting, on its own monotonic clock.
    pub until: Time,
    /// The time from which orders may be sent to upstreams that do not check fencing numbers.
    pub orders_from: Time,
}

/// Inputs of [`Lease`].
#[derive(Clone, Debug)]
pub enum Event {
    /// Whether this daemon should hold the lease.
    SetDesired(bool),
    /// A call has ended.
    CallEnded(CallId, Result<Reply, CallError>),
    /// The time returned by [`Lease::next_wakeup`] has been reached.
    Woken,
}

/// Actions that [`Lease`] requests.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Call the platform and reply with [`Event::CallEnded`].
    Call(CallId, Priority, Operation),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Observation {
    revision: Option<Revision>,
    record: Option<Record>,
    at: Time,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum CallState {
    Idle,
    Reading,
    Writing(Record),
}

/// The state of one lease at one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Lease {
    key: ObjectKey,
    this_holder: Holder,
    times: LeaseTimes,
    desired: bool,
    current_term: Option<LeaseTerm>,
    observed: Option<Observation>,
    /// The numbers and send times of recent writes, of which one may be the stored record.
    sent_writes: Vec<(u64, Time)>,
    write_count: u64,
    call_state: CallState,
    last_call: CallId,
    next_step: Option<Time>,
    must_read: bool,
    /// The time until which orders may still be sent; the lease is not released before.
    busy_until: Option<Time>,
}

impl Lease {
    /// Creates a lease that this daemon neither holds nor wants.
    pub fn new(key: ObjectKey, this_holder: Holder, times: LeaseTimes) -> Self {
        Self {
            key,
            this_holder,
            times,
            desired: false,
            current_term: None,
            observed: None,
            sent_writes: Vec::new(),
            write_count: 0,
            call_state: CallState::Idle,
            last_call: CallId(0),
            next_step: None,
            must_read: false,
            busy_until: None,
        }
    }

    /// Returns the current term, if this daemon holds the lease.
    pub fn current_term(&self, now: Time) -> Option<&LeaseTerm> {
        self.current_term.as_ref().filter(|current_term| self.desired && now < current_term.until)
    }

    /// Returns the fencing number for an order and the time after which it must not be sent.
    ///
    /// An upstream that checks fencing numbers needs neither the margin nor the takeover wait.
    pub fn order_permit(&self, now: Time, checks_fencing: bool) -> Option<(FencingNumber, Time)> {
        let current_term = self.current_term(now)?;
        if checks_fencing {
            return Some((current_term.fencing, current_term.until));
        }
        let not_after = current_term.until - self.times.margin;
        (current_term.orders_from <= now && now < not_after)
            .then_some((current_term.fencing, not_after))
    }

    /// Records that an order may still be sent until `not_after`, so that the lease is not released
    /// before.
    pub fn record_order(&mut self, not_after: Time) {
        self.busy_until = self.busy_until.max(Some(not_after));
    }

    /// Records that the outcome of every order is known, so that the lease may be released at once.
    pub fn record_no_outstanding_orders(&mut self, now: Time) {
        if self.busy_until.take().is_some() && !self.desired {
            self.next_step = Some(now);
        }
    }

    /// Handles a report that an upstream has seen a later fencing number: the term ends, and the
    /// record is read before anything else.
    pub fn invalidate(&mut self, now: Time) {
        self.current_term = None;
        self.must_read = true;
        self.next_step = Some(now);
    }

    /// Returns the last observed holder of the lease.
    pub fn holder(&self) -> Option<&Holder> {
        self.observed.as_ref()?.record.as_ref()?.holder.as_ref()
    }

    /// Reports whether nothing is left to do: the lease is not wanted, and was released or never
    /// held.
    pub fn is_idle(&self) -> bool {
        !self.desired && self.call_state == CallState::Idle && !self.is_mine()
    }

    /// Returns when [`Event::Woken`] is due.
    pub fn next_wakeup(&self) -> Option<Time> {
        if self.call_state == CallState::Idle { self.next_step } else { None }
    }

    /// Handles an event and appends the resulting effects to `out`.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::SetDesired(desired) if desired == self.desired => return,
            Event::SetDesired(desired) => {
                self.desired = desired;
                self.current_term = None;
                self.next_step = Some(now);
            }
            Event::CallEnded(call, result) if call == self.last_call => self.end_call(now, result),
            Event::CallEnded(..) => return,
            Event::Woken => {}
        }
        if self.call_state == CallState::Idle && self.next_step.is_some_and(|at| at <= now) {
            self.step(now, out);
        }
    }

    fn is_mine(&self) -> bool {
        self.holder() == Some(&self.this_holder)
    }

    fn step(&mut self, now: Time, out: &mut Vec<Effect>) {
        self.next_step = None;
        if self.must_read || (self.desired && self.observed.is_none()) {
            return self.read(out);
        }
        let Some(observed) = &self.observed else { return };
        let record = observed.record.clone();
        match (record, self.desired) {
            (Some(record), false) if self.is_mine() => self.release(now, &record, out),
            (_, false) => {}
            (None, true) => self.acquire(now, FencingNumber(0), out),
            (Some(record), true) if self.is_mine() => match self.current_term(now) {
                Some(_) => self.write(now, record, out),
                None => self.acquire(now, record.fencing, out),
            },
            (Some(record), true) if record.holder.is_none() || self.has_lapsed(now) => {
                self.acquire(now, record.fencing, out);
            }
            (Some(_), true) => self.read(out),
        }
    }

    fn release(&mut self, now: Time, record: &Record, out: &mut Vec<Effect>) {
        match self.busy_until {
            Some(until) if now < until => self.next_step = Some(until),
            _ => self.write(now, Record { holder: None, ..record.clone() }, out),
        }
    }

    fn has_lapsed(&self, now: Time) -> bool {
        self.observed.as_ref().is_some_and(|observed| now >= observed.at + self.times.lapse_after())
    }

    fn call(&mut self, operation: Operation, out: &mut Vec<Effect>) {
        self.last_call = self.last_call.next();
        out.push(Effect::Call(self.last_call, Priority::Safety, operation));
    }

    fn read(&mut self, out: &mut Vec<Effect>) {
        self.call_state = CallState::Reading;
        self.must_read = false;
        self.call(Operation::Get(self.key.clone()), out);
    }

    fn acquire(&mut self, now: Time, last: FencingNumber, out: &mut Vec<Effect>) {
        let holder = Some(self.this_holder.clone());
        self.write(now, Record { holder, fencing: last.next(), write: 0 }, out);
    }

    fn write(&mut self, now: Time, record: Record, out: &mut Vec<Effect>) {
        self.write_count += 1;
        let record = Record { write: self.write_count, ..record };
        self.sent_writes.push((self.write_count, now));
        if self.sent_writes.len() > MAX_SENT_WRITES {
            self.sent_writes.remove(0);
        }
        let revision = self.observed.as_ref().and_then(|observed| observed.revision);
        let operation = Operation::Put {
            key: self.key.clone(),
            value: record.encode().into(),
            condition: revision.map_or(Condition::Absent, Condition::Revision),
        };
        self.call_state = CallState::Writing(record);
        self.call(operation, out);
    }

    fn end_call(&mut self, now: Time, result: Result<Reply, CallError>) {
        match (std::mem::replace(&mut self.call_state, CallState::Idle), result) {
            (CallState::Writing(record), Ok(Reply::Written(revision))) => {
                self.observe(now, Some(revision), Some(record));
            }
            (CallState::Reading, Ok(Reply::Object(None))) => self.observe(now, None, None),
            (CallState::Reading, Ok(Reply::Object(Some(object)))) => {
                match Record::decode(&object.value) {
                    Ok(record) => self.observe(now, Some(object.revision), Some(record)),
                    Err(_) => self.next_step = Some(now + self.times.poll),
                }
            }
            // The object has changed, or may have: it is read again.
            (CallState::Writing(_), Err(CallError::Conflict(_) | CallError::Unknown)) => {
                self.must_read = true;
                self.next_step = Some(now);
            }
            (CallState::Reading, _) => {
                self.must_read = true;
                self.next_step = Some(now + self.times.retry);
            }
            _ => self.next_step = Some(now + self.times.retry),
        }
    }

    fn observe(&mut self, now: Time, revision: Option<Revision>, record: Option<Record>) {
        let at = match &self.observed {
            Some(observed) if observed.revision == revision => observed.at,
            _ => now,
        };
        if let Some(record) =
            record.as_ref().filter(|record| record.holder.as_ref() == Some(&self.this_holder))
        {
            // Writes before the stored one can no longer take effect.
            self.sent_writes.retain(|(write, _)| *write >= record.write);
        }
        self.observed = Some(Observation { revision, record, at });
        self.update_term(now);
        self.next_step = self.next_step_time(now);
    }

    /// Derives the term from the observed record; it counts from when that record was sent.
    fn update_term(&mut self, now: Time) {
        let Some(record) = self.observed.as_ref().and_then(|observed| observed.record.clone())
        else {
            self.current_term = None;
            return;
        };
        let sent = self.sent_writes.iter().find(|(write, _)| *write == record.write);
        let (true, true, Some(&(_, sent))) = (self.is_mine(), self.desired, sent) else {
            self.current_term = None;
            return;
        };
        let orders_from = match &self.current_term {
            Some(current_term) if current_term.fencing == record.fencing => {
                current_term.orders_from
            }
            _ => now + self.times.takeover_wait(),
        };
        let until = sent + self.times.term;
        self.current_term = Some(LeaseTerm { fencing: record.fencing, until, orders_from });
    }

    fn next_step_time(&self, now: Time) -> Option<Time> {
        let observed = self.observed.as_ref()?;
        if !self.desired {
            return self.is_mine().then_some(now);
        }
        if let Some(current_term) = self.current_term(now) {
            let sent = current_term.until - self.times.term;
            return Some((sent + self.times.renew_after).max(now));
        }
        match &observed.record {
            Some(record) if record.holder.is_some() && !self.is_mine() => {
                let lapses_at = observed.at + self.times.lapse_after();
                Some(lapses_at.min(now + self.times.poll).max(now))
            }
            _ => Some(now),
        }
    }
}
