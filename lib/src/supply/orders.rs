//! Orders to engines, protected against stale lease holders.
//!
//! Every order carries the fencing number of the lease and the time after which it must not be
//! sent. The adapter reads its clock right before it sends, so that a pause between the decision
//! and the sending results in [`OrderOutcome::TooLate`] instead of a late order. A retried order
//! keeps its id, so that an engine applies it once. See `docs/design/supply.md`.

use std::{fmt, net::SocketAddr, time::Duration};

use indexmap::IndexMap;

use crate::{
    ids::{FencingNumber, UpstreamId, VersionName},
    units::Time,
};

/// The delay before an order is retried, unless it was applied.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// How long an applied order is not repeated, so that the host list can catch up.
const APPLIED_HOLD: Duration = Duration::from_mins(2);

/// An operation for an engine to perform.
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
    /// Reports whether the order makes the engine read from the weight store.
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

/// An order to be sent to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct OrderRequest {
    /// The id of the order; a retry keeps it.
    pub id: Box<str>,
    pub upstream: UpstreamId,
    /// Where the engine listens.
    pub address: SocketAddr,
    /// The fencing number of the holder's lease.
    pub fencing: FencingNumber,
    /// The operation.
    pub order: Order,
    /// The time from which the order must not be sent, on the holder's monotonic clock.
    pub not_after: Time,
}

impl OrderRequest {
    /// Reports whether the order may be sent now; the adapter checks this right before it sends.
    pub fn may_be_sent(&self, now: Time) -> bool {
        now < self.not_after
    }
}

/// The outcome of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine has applied the order, now or on an earlier attempt.
    Applied,
    /// The engine has seen a later fencing number; this daemon must stop.
    Stale(FencingNumber),
    /// The engine refused the order for another reason, or could not be connected to.
    Refused(Box<str>),
    /// There was no usable response; the engine may have applied the order.
    Unknown,
    /// The order was not sent, because its `not_after` time had passed.
    TooLate,
}

/// Inputs of [`Orders`].
#[derive(Clone, Debug)]
pub enum Event {
    /// The desired orders, the most urgent first; they replace the previous ones.
    SetDesired(Vec<(UpstreamId, SocketAddr, Order)>),
    /// An order has ended.
    Ended(Box<str>, OrderOutcome),
    /// The time returned by [`Orders::next_wakeup`] has been reached.
    Woken,
}

/// Actions that [`Orders`] requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send this order and reply with [`Event::Ended`].
    Order(OrderRequest),
    /// An engine has seen this later fencing number.
    Stale(FencingNumber),
    /// An order to an engine, for the audit trail.
    Recorded(Box<str>),
}

/// The permission to send orders now: the fencing number and the time at which it ends.
pub type Permit = Option<(FencingNumber, Time)>;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum State {
    Due(Time),
    Sent,
    Applied(Time),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Entry {
    id: Box<str>,
    address: SocketAddr,
    order: Order,
    state: State,
    desired: bool,
}

/// The orders of the holder of one lease.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Orders {
    scope: Box<str>,
    entries: IndexMap<UpstreamId, Entry>,
    last_id: u64,
}

impl Orders {
    /// Creates an empty set of orders; `scope` is the prefix of their ids and is unique to a run of
    /// a holder.
    pub fn new(scope: impl Into<Box<str>>) -> Self {
        Self { scope: scope.into(), entries: IndexMap::new(), last_id: 0 }
    }

    /// Reports whether an order has been handed over and its outcome is not known yet.
    pub fn is_outstanding(&self) -> bool {
        self.entries.values().any(|entry| entry.state == State::Sent)
    }

    /// Reports whether this order is present already, so that its load has been budgeted.
    pub fn contains(&self, upstream: &UpstreamId, order: &Order) -> bool {
        self.entries.get(upstream).is_some_and(|entry| entry.order == *order)
    }

    /// Returns when [`Event::Woken`] is due.
    pub fn next_wakeup(&self) -> Option<Time> {
        let due = self.entries.values().filter(|entry| entry.desired);
        due.filter_map(|entry| if let State::Due(at) = entry.state { Some(at) } else { None }).min()
    }

    /// Handles an event and appends the resulting effects to `out`.
    pub fn handle(&mut self, now: Time, permit: Permit, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::SetDesired(orders) => self.set_desired(now, orders),
            Event::Ended(id, end) => self.order_ended(now, &id, &end, out),
            Event::Woken => {}
        }
        if let Some((fencing, not_after)) = permit {
            self.send_due(now, fencing, not_after, out);
        }
    }

    fn set_desired(&mut self, now: Time, orders: Vec<(UpstreamId, SocketAddr, Order)>) {
        self.entries.values_mut().for_each(|entry| entry.desired = false);
        for (upstream, address, order) in orders {
            match self.entries.get_mut(&upstream) {
                Some(entry) if entry.order == order => {
                    entry.desired = true;
                    entry.address = address;
                    if matches!(entry.state, State::Applied(at) if now.since(at) > APPLIED_HOLD) {
                        entry.state = State::Due(now);
                    }
                }
                // One order per engine at a time: the next waits for the outcome of the last.
                Some(entry) if entry.state == State::Sent => {}
                _ => {
                    self.last_id += 1;
                    let id = format!("{}.{}", self.scope, self.last_id).into();
                    let state = State::Due(now);
                    let entry = Entry { id, address, order, state, desired: true };
                    self.entries.insert(upstream, entry);
                }
            }
        }
        self.entries.retain(|_, entry| entry.desired || entry.state == State::Sent);
    }

    fn order_ended(&mut self, now: Time, id: &str, end: &OrderOutcome, out: &mut Vec<Effect>) {
        let found = self.entries.iter_mut().find(|(_, entry)| *entry.id == *id);
        let Some((upstream, entry)) = found.filter(|(_, entry)| entry.state == State::Sent) else {
            return;
        };
        let state = match end {
            OrderOutcome::Applied => State::Applied(now),
            OrderOutcome::Stale(fencing) => {
                out.push(Effect::Stale(*fencing));
                State::Due(now + RETRY_DELAY)
            }
            OrderOutcome::Refused(_) | OrderOutcome::Unknown | OrderOutcome::TooLate => {
                State::Due(now + RETRY_DELAY)
            }
        };
        entry.state = state;
        let end = describe(end);
        let text = format!("order {id} {} to {upstream}: {end}", entry.order);
        out.push(Effect::Recorded(text.into()));
        let upstream = upstream.clone();
        if !entry.desired {
            self.entries.shift_remove(&upstream);
        }
    }

    fn send_due(
        &mut self,
        now: Time,
        fencing: FencingNumber,
        not_after: Time,
        out: &mut Vec<Effect>,
    ) {
        for (upstream, entry) in &mut self.entries {
            let is_due = matches!(entry.state, State::Due(at) if at <= now);
            if !is_due || !entry.desired {
                continue;
            }
            entry.state = State::Sent;
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
