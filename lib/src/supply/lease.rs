//! A lease in the platform that lets one daemon act for a service in a zone.
//!
//! The lease is one object that changes by conditional update alone, so that safety needs no
//! clock of the platform. The holder counts its time from when it *sent* the write; everybody else
//! counts from when they *saw* its effect, which is later. The factor between the two spans covers
//! clocks that drift. See `docs/design/supply.md`.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    declaration::wire::{self, WireError},
    ids::{CallId, DaemonId, FencingNumber, Incarnation, Revision},
    store::{CallError, Condition, ObjectKey, Operation, Priority, Reply},
    units::Time,
};

/// The number of writes whose times are kept until one is seen to have taken effect.
const KEPT_WRITES: usize = 8;

/// The times that a lease goes by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTimes {
    /// How long the holder may act after sending a write, by its own clock.
    pub term: Duration,
    /// How long after sending a write the holder sends the next.
    pub renew_after: Duration,
    /// The end of the term in which the holder gives no orders to upstreams that check nothing.
    pub margin: Duration,
    /// The longest time from the last look at the clock until an order has taken effect.
    pub order_delay: Duration,
    /// The most by which a clock's rate may be off, in parts per thousand.
    pub drift_per_mille: u32,
    /// How long to wait after a call that failed.
    pub retry: Duration,
    /// How often a daemon that wants a lease looks at it while another holds it.
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
    /// Returns how long an unchanged record must be watched until its holder's term is over.
    pub fn lapse(&self) -> Duration {
        scaled(self.term, 1000 + self.drift_per_mille, 1000 - self.drift_per_mille)
    }

    /// Returns how long a new holder waits for the orders of the last one.
    pub fn wait_out(&self) -> Duration {
        scaled(self.order_delay, 1000 + self.drift_per_mille, 1000)
    }
}

/// Multiplies a duration by a fraction and rounds up to a whole microsecond.
fn scaled(duration: Duration, by: u32, of: u32) -> Duration {
    let micros = duration.as_micros() as u64 * u64::from(by);
    Duration::from_micros(micros.div_ceil(u64::from(of)))
}

/// One run of one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Holder {
    /// The daemon.
    pub daemon: DaemonId,
    /// Its run, so that a restarted daemon is another holder.
    pub incarnation: Incarnation,
}

/// What the platform stores of a lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Record {
    /// Who holds it; `None` once it has been given up.
    pub holder: Option<Holder>,
    /// Grows with each acquisition.
    pub fencing: FencingNumber,
    /// Tells the writes of one holder apart, so that a lost answer can be settled by reading.
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
    /// Reads a record from the value of the lease's object.
    pub fn decode(value: &[u8]) -> Result<Self, WireError> {
        wire::decode::<RecordWire>(value)?.try_into()
    }

    /// Writes a record as the value of the lease's object.
    pub fn encode(&self) -> Vec<u8> {
        wire::encode(&RecordWire::from(self.clone()))
    }
}

/// A term of the lease, as its holder knows it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTerm {
    /// The number that orders carry.
    pub fencing: FencingNumber,
    /// When the holder must stop, by its own monotonic clock.
    pub until: Time,
    /// When orders to upstreams that check nothing may begin.
    pub orders_from: Time,
}

/// What the lease is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// Whether this daemon should hold the lease.
    SetDesired(bool),
    /// A call has ended.
    CallEnded(CallId, Result<Reply, CallError>),
    /// The time of [`Lease::next_wakeup`] has come.
    Woken,
}

/// What the lease wants done.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Call the platform and answer with [`Event::CallEnded`].
    Call(CallId, Priority, Operation),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Seen {
    revision: Option<Revision>,
    record: Option<Record>,
    at: Time,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Doing {
    Nothing,
    Reading,
    Writing(Record),
}

/// One lease as one daemon knows it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Lease {
    key: ObjectKey,
    me: Holder,
    times: LeaseTimes,
    wanted: bool,
    current_term: Option<LeaseTerm>,
    seen: Option<Seen>,
    sent: Vec<(u64, Time)>,
    writes: u64,
    doing: Doing,
    call: CallId,
    next: Option<Time>,
    must_read: bool,
    busy_until: Option<Time>,
}

impl Lease {
    /// Makes a lease that this daemon neither holds nor wants.
    pub fn new(key: ObjectKey, me: Holder, times: LeaseTimes) -> Self {
        Self {
            key,
            me,
            times,
            wanted: false,
            current_term: None,
            seen: None,
            sent: Vec::new(),
            writes: 0,
            doing: Doing::Nothing,
            call: CallId(0),
            next: None,
            must_read: false,
            busy_until: None,
        }
    }

    /// Returns the present term, if this daemon holds the lease.
    pub fn current_term(&self, now: Time) -> Option<&LeaseTerm> {
        self.current_term.as_ref().filter(|current_term| self.wanted && now < current_term.until)
    }

    /// Returns the fencing number for an order and the time after which it must not be sent.
    ///
    /// An upstream that checks fencing numbers needs neither the margin nor the waiting out.
    pub fn order_permit(&self, now: Time, checks_fencing: bool) -> Option<(FencingNumber, Time)> {
        let current_term = self.current_term(now)?;
        if checks_fencing {
            return Some((current_term.fencing, current_term.until));
        }
        let not_after = current_term.until - self.times.margin;
        (current_term.orders_from <= now && now < not_after)
            .then_some((current_term.fencing, not_after))
    }

    /// Tells that an order may still be sent until this time, so that the lease is kept until then.
    pub fn ordered(&mut self, not_after: Time) {
        self.busy_until = self.busy_until.max(Some(not_after));
    }

    /// Tells that every order has been answered, so that the lease may be given up at once.
    pub fn orders_settled(&mut self, now: Time) {
        if self.busy_until.take().is_some() && !self.wanted {
            self.next = Some(now);
        }
    }

    /// Tells that an upstream knows a later holder: nothing more is done until the record is read.
    pub fn invalidate(&mut self, now: Time) {
        self.current_term = None;
        self.must_read = true;
        self.next = Some(now);
    }

    /// Returns who is known to hold the lease.
    pub fn holder(&self) -> Option<&Holder> {
        self.seen.as_ref()?.record.as_ref()?.holder.as_ref()
    }

    /// Says whether nothing is left to do: not wanted, and given up or never held.
    pub fn is_idle(&self) -> bool {
        !self.wanted && self.doing == Doing::Nothing && !self.is_mine()
    }

    /// Returns when the lease wants [`Event::Woken`].
    pub fn next_wakeup(&self) -> Option<Time> {
        if self.doing == Doing::Nothing { self.next } else { None }
    }

    /// Takes an event and adds the effects that follow from it.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::SetDesired(wanted) if wanted == self.wanted => return,
            Event::SetDesired(wanted) => {
                self.wanted = wanted;
                self.current_term = None;
                self.next = Some(now);
            }
            Event::CallEnded(call, result) if call == self.call => self.called(now, result),
            Event::CallEnded(..) => return,
            Event::Woken => {}
        }
        if self.doing == Doing::Nothing && self.next.is_some_and(|at| at <= now) {
            self.step(now, out);
        }
    }

    fn is_mine(&self) -> bool {
        self.holder() == Some(&self.me)
    }

    fn step(&mut self, now: Time, out: &mut Vec<Effect>) {
        self.next = None;
        if self.must_read || (self.wanted && self.seen.is_none()) {
            return self.read(out);
        }
        let Some(seen) = &self.seen else { return };
        let record = seen.record.clone();
        match (record, self.wanted) {
            (Some(record), false) if self.is_mine() => self.give_up(now, &record, out),
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

    fn give_up(&mut self, now: Time, record: &Record, out: &mut Vec<Effect>) {
        match self.busy_until {
            Some(until) if now < until => self.next = Some(until),
            _ => self.write(now, Record { holder: None, ..record.clone() }, out),
        }
    }

    fn has_lapsed(&self, now: Time) -> bool {
        self.seen.as_ref().is_some_and(|seen| now >= seen.at + self.times.lapse())
    }

    fn call(&mut self, operation: Operation, out: &mut Vec<Effect>) {
        self.call = self.call.next();
        out.push(Effect::Call(self.call, Priority::Safety, operation));
    }

    fn read(&mut self, out: &mut Vec<Effect>) {
        self.doing = Doing::Reading;
        self.must_read = false;
        self.call(Operation::Get(self.key.clone()), out);
    }

    fn acquire(&mut self, now: Time, last: FencingNumber, out: &mut Vec<Effect>) {
        let holder = Some(self.me.clone());
        self.write(now, Record { holder, fencing: last.next(), write: 0 }, out);
    }

    fn write(&mut self, now: Time, record: Record, out: &mut Vec<Effect>) {
        self.writes += 1;
        let record = Record { write: self.writes, ..record };
        self.sent.push((self.writes, now));
        if self.sent.len() > KEPT_WRITES {
            self.sent.remove(0);
        }
        let revision = self.seen.as_ref().and_then(|seen| seen.revision);
        let operation = Operation::Put {
            key: self.key.clone(),
            value: record.encode().into(),
            condition: revision.map_or(Condition::Absent, Condition::Revision),
        };
        self.doing = Doing::Writing(record);
        self.call(operation, out);
    }

    fn called(&mut self, now: Time, result: Result<Reply, CallError>) {
        match (std::mem::replace(&mut self.doing, Doing::Nothing), result) {
            (Doing::Writing(record), Ok(Reply::Written(revision))) => {
                self.saw(now, Some(revision), Some(record));
            }
            (Doing::Reading, Ok(Reply::Object(None))) => self.saw(now, None, None),
            (Doing::Reading, Ok(Reply::Object(Some(object)))) => {
                match Record::decode(&object.value) {
                    Ok(record) => self.saw(now, Some(object.revision), Some(record)),
                    Err(_) => self.next = Some(now + self.times.poll),
                }
            }
            // The object has changed, or may have: what stands there now decides.
            (Doing::Writing(_), Err(CallError::Conflict(_) | CallError::Unknown)) => {
                self.must_read = true;
                self.next = Some(now);
            }
            (Doing::Reading, _) => {
                self.must_read = true;
                self.next = Some(now + self.times.retry);
            }
            _ => self.next = Some(now + self.times.retry),
        }
    }

    fn saw(&mut self, now: Time, revision: Option<Revision>, record: Option<Record>) {
        let at = match &self.seen {
            Some(seen) if seen.revision == revision => seen.at,
            _ => now,
        };
        if let Some(record) =
            record.as_ref().filter(|record| record.holder.as_ref() == Some(&self.me))
        {
            // Writes before the one that stands there can no longer take effect.
            self.sent.retain(|(write, _)| *write >= record.write);
        }
        self.seen = Some(Seen { revision, record, at });
        self.take_term(now);
        self.next = self.following(now);
    }

    fn take_term(&mut self, now: Time) {
        let Some(record) = self.seen.as_ref().and_then(|seen| seen.record.clone()) else {
            self.current_term = None;
            return;
        };
        let sent = self.sent.iter().find(|(write, _)| *write == record.write);
        let (true, true, Some(&(_, sent))) = (self.is_mine(), self.wanted, sent) else {
            self.current_term = None;
            return;
        };
        let orders_from = match &self.current_term {
            Some(current_term) if current_term.fencing == record.fencing => {
                current_term.orders_from
            }
            _ => now + self.times.wait_out(),
        };
        let until = sent + self.times.term;
        self.current_term = Some(LeaseTerm { fencing: record.fencing, until, orders_from });
    }

    fn following(&self, now: Time) -> Option<Time> {
        let seen = self.seen.as_ref()?;
        if !self.wanted {
            return self.is_mine().then_some(now);
        }
        if let Some(current_term) = self.current_term(now) {
            let sent = current_term.until - self.times.term;
            return Some((sent + self.times.renew_after).max(now));
        }
        match &seen.record {
            Some(record) if record.holder.is_some() && !self.is_mine() => {
                let lapses = seen.at + self.times.lapse();
                Some(lapses.min(now + self.times.poll).max(now))
            }
            _ => Some(now),
        }
    }
}
