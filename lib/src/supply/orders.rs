//! Orders to engines, which no stale holder of a lease can give.
//!
//! Every order carries the fencing number of the lease and the time after which it must not be
//! sent. The adapter looks at its clock right before it sends; so a pause between the decision and
//! the sending ends in [`OrderOutcome::TooLate`], not in a late order. An order keeps its id when it is
//! given again, so that an engine applies it once. See `docs/design/supply.md`.

use std::{fmt, net::SocketAddr, time::Duration};

use indexmap::IndexMap;

use crate::{
    ids::{FencingNumber, UpstreamId, VersionName},
    units::Time,
};

/// How long to wait before an order is given again after an answer that settled nothing.
const RETRY_WAIT: Duration = Duration::from_secs(1);
/// How long an applied order is not given again, so that the host list can follow.
const LIST_LAG: Duration = Duration::from_mins(2);

/// What an engine is to do.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Order {
    /// Load the model of a version and serve that version.
    LoadModel {
        /// The version.
        version: VersionName,
    },
    /// Load an adapter beside the model.
    LoadAdapter {
        /// The adapter's name at the weight store.
        adapter: Box<str>,
    },
    /// Change the engine's role.
    SetRole {
        /// The role's name at the engine.
        role: Box<str>,
    },
}

impl Order {
    /// Says whether the order reads from the weight store.
    pub fn is_load(&self) -> bool {
        matches!(self, Self::LoadModel { .. } | Self::LoadAdapter { .. })
    }
}

impl fmt::Display for Order {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::LoadModel { version } => write!(f, "load-model {version}"),
            Self::LoadAdapter { adapter } => write!(f, "load-adapter {adapter}"),
            Self::SetRole { role } => write!(f, "set-role {role}"),
        }
    }
}

/// One order on its way to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct OrderRequest {
    /// Names the order; it stays the same when the order is given again.
    pub id: Box<str>,
    /// The engine.
    pub upstream: UpstreamId,
    /// Where the engine listens.
    pub address: SocketAddr,
    /// The number of the holder's lease.
    pub fencing: FencingNumber,
    /// What the engine is to do.
    pub order: Order,
    /// When the order must no longer be sent, by the holder's monotonic clock.
    pub not_after: Time,
}

impl OrderRequest {
    /// Says whether the order may be sent now; the adapter asks right before it sends.
    pub fn may_be_sent(&self, now: Time) -> bool {
        now < self.not_after
    }
}

/// How an order ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine has applied it, now or when it was given before.
    Applied,
    /// The engine has seen a later holder's number; this daemon must stop.
    Stale(FencingNumber),
    /// The engine refused it for another reason.
    Refused(Box<str>),
    /// No answer came; the engine may have applied it.
    Unknown,
    /// It was not sent, as its time had passed.
    TooLate,
}

/// What the slice is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// The orders that should be given now, the most urgent first; they replace those wanted before.
    SetDesired(Vec<(UpstreamId, SocketAddr, Order)>),
    /// An order has ended.
    Ended(Box<str>, OrderOutcome),
    /// The time of [`Orders::next_wakeup`] has come.
    Woken,
}

/// What the slice wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Give this order and answer with [`Event::Ended`].
    Order(OrderRequest),
    /// An engine knows a later holder of the lease.
    Stale(FencingNumber),
    /// An order to an engine, for the audit trail.
    Recorded(Box<str>),
}

/// The permission to give orders now: the fencing number and the end of the permission.
pub type Permit = Option<(FencingNumber, Time)>;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum State {
    Due(Time),
    Given,
    Applied(Time),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Entry {
    id: Box<str>,
    address: SocketAddr,
    order: Order,
    state: State,
    wanted: bool,
}

/// The orders of the holder of one lease.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Orders {
    scope: Box<str>,
    entries: IndexMap<UpstreamId, Entry>,
    last_id: u64,
}

impl Orders {
    /// Makes the slice; `scope` begins the ids of its orders and tells holders' runs apart.
    pub fn new(scope: impl Into<Box<str>>) -> Self {
        Self { scope: scope.into(), entries: IndexMap::new(), last_id: 0 }
    }

    /// Says whether an order has been handed over and not been answered.
    pub fn is_outstanding(&self) -> bool {
        self.entries.values().any(|entry| entry.state == State::Given)
    }

    /// Says whether this order is wanted already, so that it has had its share of the budget.
    pub fn knows(&self, upstream: &UpstreamId, order: &Order) -> bool {
        self.entries.get(upstream).is_some_and(|entry| entry.order == *order)
    }

    /// Returns when the slice wants [`Event::Woken`].
    pub fn next_wakeup(&self) -> Option<Time> {
        let due = self.entries.values().filter(|entry| entry.wanted);
        due.filter_map(|entry| if let State::Due(at) = entry.state { Some(at) } else { None }).min()
    }

    /// Takes an event and adds the effects that follow from it.
    pub fn handle(&mut self, now: Time, permit: Permit, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::SetDesired(orders) => self.want(now, orders),
            Event::Ended(id, end) => self.ended(now, &id, &end, out),
            Event::Woken => {}
        }
        if let Some((fencing, not_after)) = permit {
            self.give(now, fencing, not_after, out);
        }
    }

    fn want(&mut self, now: Time, orders: Vec<(UpstreamId, SocketAddr, Order)>) {
        self.entries.values_mut().for_each(|entry| entry.wanted = false);
        for (upstream, address, order) in orders {
            match self.entries.get_mut(&upstream) {
                Some(entry) if entry.order == order => {
                    entry.wanted = true;
                    entry.address = address;
                    if matches!(entry.state, State::Applied(at) if now.since(at) > LIST_LAG) {
                        entry.state = State::Due(now);
                    }
                }
                // One order at a time: the next waits for the answer to the last.
                Some(entry) if entry.state == State::Given => {}
                _ => {
                    self.last_id += 1;
                    let id = format!("{}.{}", self.scope, self.last_id).into();
                    let state = State::Due(now);
                    let entry = Entry { id, address, order, state, wanted: true };
                    self.entries.insert(upstream, entry);
                }
            }
        }
        self.entries.retain(|_, entry| entry.wanted || entry.state == State::Given);
    }

    fn ended(&mut self, now: Time, id: &str, end: &OrderOutcome, out: &mut Vec<Effect>) {
        let found = self.entries.iter_mut().find(|(_, entry)| *entry.id == *id);
        let Some((upstream, entry)) = found.filter(|(_, entry)| entry.state == State::Given) else {
            return;
        };
        let state = match end {
            OrderOutcome::Applied => State::Applied(now),
            OrderOutcome::Stale(fencing) => {
                out.push(Effect::Stale(*fencing));
                State::Due(now + RETRY_WAIT)
            }
            OrderOutcome::Refused(_) | OrderOutcome::Unknown | OrderOutcome::TooLate => {
                State::Due(now + RETRY_WAIT)
            }
        };
        entry.state = state;
        let end = describe(end);
        let text = format!("order {id} {} to {upstream}: {end}", entry.order);
        out.push(Effect::Recorded(text.into()));
        let upstream = upstream.clone();
        if !entry.wanted {
            self.entries.shift_remove(&upstream);
        }
    }

    fn give(&mut self, now: Time, fencing: FencingNumber, not_after: Time, out: &mut Vec<Effect>) {
        for (upstream, entry) in &mut self.entries {
            let is_due = matches!(entry.state, State::Due(at) if at <= now);
            if !is_due || !entry.wanted {
                continue;
            }
            entry.state = State::Given;
            let (id, order) = (entry.id.clone(), entry.order.clone());
            let text = format!("order {id} {order} to {upstream} fencing={fencing}");
            out.push(Effect::Recorded(text.into()));
            out.push(Effect::Order(OrderRequest {
                id,
                upstream: upstream.clone(),
                address: entry.address,
                fencing,
                order,
                not_after,
            }));
        }
    }
}

fn describe(end: &OrderOutcome) -> Box<str> {
    match end {
        OrderOutcome::Applied => "applied".into(),
        OrderOutcome::Stale(fencing) => format!("refused, {fencing} is newer").into(),
        OrderOutcome::Refused(reason) => format!("refused, {reason}").into(),
        OrderOutcome::Unknown => "no answer".into(),
        OrderOutcome::TooLate => "not sent, the lease was too old".into(),
    }
}
