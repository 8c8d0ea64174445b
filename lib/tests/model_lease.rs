//! Explores leases and orders in full, to stated bounds; `docs/design/models-lease.md` reads it out.
//!
//! The model drives [`Lease`] and [`Orders`] themselves. Every step of a daemon, the platform, the
//! network and the engine is a step of its own. A daemon takes its steps at once unless it is
//! paused; it can be paused before and after each step, for any time, as often as the bounds say.

use std::{
    hash::{Hash, Hasher},
    sync::{Mutex, PoisonError},
    time::Duration,
};

use dogwoodturn::{
    ids::{CallId, FencingNumber, Incarnation, Revision},
    store::{CallError, Condition, Object, ObjectKey, Operation, Reply},
    supply::{
        lease::{Effect, Event, Holder, Lease, LeaseTimes, Record},
        orders::{self, Order, OrderOutcome, OrderRequest, Orders},
    },
    units::Time,
};
use pathfinding::directed::bfs::{bfs, bfs_reach};

const KEY: &str = "supply/leases/lantern/salish-a";
/// How many ticks after it was sent an order can still reach the engine; one less than its bound.
const NETWORK_TICKS: u32 = 0;
/// The most states that a model may have, so that memory stays bounded.
const MOST_STATES: usize = 800_000;
/// Held while a model is explored, so that only one is in memory.
static EXPLORING: Mutex<()> = Mutex::new(());
/// The rate of an exact clock, in thousandths.
const EXACT: u64 = 1000;

/// One way to break the protocol, which the checker must catch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum InjectedBug {
    Nothing,
    /// The platform applies writes whatever their condition.
    NoCondition,
    /// A new holder does not wait for the last one's orders.
    NoWaitingOut,
    /// Orders are sent whatever the clock says.
    NoSafePart,
}

#[derive(Clone, Copy, Debug)]
struct Bounds {
    ticks: u32,
    lost_calls: u8,
    lost_orders: u8,
    crashes: u8,
    give_ups: u8,
    pauses: u8,
    checks_fencing: bool,
    rates: [u64; 2],
    broken: InjectedBug,
}

impl Bounds {
    fn times(&self) -> LeaseTimes {
        let order_delay = u64::from(self.broken != InjectedBug::NoWaitingOut);
        LeaseTimes {
            term: Duration::from_secs(2),
            renew_after: Duration::from_secs(1),
            margin: Duration::from_secs(1),
            order_delay: Duration::from_secs(order_delay),
            drift_per_mille: 100,
            retry: Duration::from_secs(1),
            poll: Duration::from_secs(3),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Ask {
    Get,
    Put(Record, Option<u64>),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Answer {
    Unknown,
    Conflict,
    Written(u64),
    Object(Option<(u64, Record)>),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Call {
    Asked(CallId, Ask),
    Answered(CallId, Answer),
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Daemon {
    run: u64,
    lease: Lease,
    orders: Orders,
    call: Option<Call>,
    outbox: Option<OrderRequest>,
    wants: bool,
    paused: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Flying {
    from: usize,
    run: u64,
    order: OrderRequest,
    until: u32,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct State {
    tick: u32,
    store: Option<(u64, Record)>,
    revision: u64,
    late: Vec<(Record, Option<u64>)>,
    daemons: [Daemon; 2],
    flying: Vec<Flying>,
    accepted: Option<(FencingNumber, usize, u64)>,
    lost_calls: u8,
    lost_orders: u8,
    crashes: u8,
    give_ups: u8,
    pauses: u8,
    violation: Option<&'static str>,
}

fn daemon(index: usize, run: u64, times: LeaseTimes) -> Daemon {
    let name = format!("d-{index}").parse().expect("a name");
    let holder = Holder { daemon: name, incarnation: Incarnation(run) };
    let scope = format!("{index}.{run}");
    let mut daemon = Daemon {
        run,
        lease: Lease::new(ObjectKey::new(KEY), holder, times),
        orders: Orders::new(scope),
        call: None,
        outbox: None,
        wants: true,
        paused: false,
    };
    let order = Order::SetRole { role: format!("role-{index}").into() };
    let upstream = "engine".parse().expect("a name");
    let wanted = vec![(upstream, ([127, 0, 0, 1], 9).into(), order)];
    daemon.orders.handle(Time(0), None, orders::Event::SetDesired(wanted), &mut Vec::new());
    daemon
}

impl State {
    fn new(bounds: &Bounds) -> Self {
        let times = bounds.times();
        Self {
            tick: 0,
            store: None,
            revision: 0,
            late: Vec::new(),
            daemons: [daemon(0, 1, times), daemon(1, 1, times)],
            flying: Vec::new(),
            accepted: None,
            lost_calls: bounds.lost_calls,
            lost_orders: bounds.lost_orders,
            crashes: bounds.crashes,
            give_ups: bounds.give_ups,
            pauses: bounds.pauses,
            violation: None,
        }
    }

    fn clock(&self, bounds: &Bounds, index: usize) -> Time {
        Time(u64::from(self.tick) * bounds.rates[index] * 1000)
    }

    fn step(&self, step: String, change: impl FnOnce(&mut State)) -> Node {
        let mut state = self.clone();
        change(&mut state);
        Node { state, step: step.into() }
    }

    fn next(&self, bounds: &Bounds) -> Vec<Node> {
        if self.violation.is_some() {
            return Vec::new();
        }
        let mut next = Vec::new();
        for index in (0..2).filter(|&index| !self.daemons[index].paused) {
            self.daemon_steps(bounds, index, &mut next);
            self.platform_steps(bounds, index, &mut next);
            self.order_steps(bounds, index, &mut next);
        }
        if next.is_empty() && self.tick < bounds.ticks {
            next.push(self.step("a second passes".into(), |state| {
                state.tick += 1;
                let tick = state.tick;
                state.flying.retain(|flying| tick <= flying.until);
            }));
        }
        for index in 0..2 {
            self.unasked_steps(bounds, index, &mut next);
        }
        for late in 0..self.late.len() {
            next.push(self.step(format!("late write {late} takes effect"), |state| {
                let (record, condition) = state.late.remove(late);
                state.put(bounds, record, condition);
            }));
        }
        for flying in 0..self.flying.len() {
            self.engine_steps(bounds, flying, &mut next);
        }
        next
    }

    fn daemon_steps(&self, bounds: &Bounds, index: usize, next: &mut Vec<Node>) {
        let now = self.clock(bounds, index);
        let daemon = &self.daemons[index];
        let lease_due = daemon.lease.next_wakeup().is_some_and(|at| at <= now);
        let orders_due = daemon.orders.next_wakeup().is_some_and(|at| at <= now)
            && daemon.lease.order_permit(now, bounds.checks_fencing).is_some();
        if lease_due || orders_due || (daemon.wants && daemon.lease.is_idle()) {
            next.push(
                self.step(format!("daemon {index} wakes"), |state| state.wake(bounds, index)),
            );
        }
    }

    fn unasked_steps(&self, bounds: &Bounds, index: usize, next: &mut Vec<Node>) {
        let now = self.clock(bounds, index);
        let daemon = &self.daemons[index];
        if daemon.paused {
            next.push(self.step(format!("daemon {index} goes on"), |state| {
                state.daemons[index].paused = false;
            }));
            return;
        }
        if self.pauses > 0 {
            next.push(self.step(format!("daemon {index} is paused"), |state| {
                state.pauses -= 1;
                state.daemons[index].paused = true;
            }));
        }
        if daemon.wants && self.give_ups > 0 && daemon.lease.current_term(now).is_some() {
            next.push(self.step(format!("daemon {index} is to give up"), |state| {
                state.give_ups -= 1;
                state.daemons[index].wants = false;
                state.lease(bounds, index, Event::SetDesired(false));
            }));
        }
        if self.crashes > 0 {
            next.push(self.step(format!("daemon {index} crashes"), |state| {
                state.crashes -= 1;
                let run = state.daemons[index].run + 1;
                let lost = state.daemons[index].call.take();
                if let Some(Call::Asked(_, Ask::Put(record, condition))) = lost {
                    state.late.push((record, condition));
                }
                state.daemons[index] = crate::daemon(index, run, bounds.times());
            }));
        }
    }

    fn wake(&mut self, bounds: &Bounds, index: usize) {
        if self.daemons[index].wants && self.daemons[index].lease.is_idle() {
            self.lease(bounds, index, Event::SetDesired(true));
        } else {
            self.lease(bounds, index, Event::Woken);
        }
        self.orders(bounds, index, orders::Event::Woken);
    }

    fn lease(&mut self, bounds: &Bounds, index: usize, event: Event) {
        let now = self.clock(bounds, index);
        let mut effects = Vec::new();
        self.daemons[index].lease.handle(now, event, &mut effects);
        for Effect::Call(call, _, operation) in effects {
            let ask = match operation {
                Operation::Put { value, condition, .. } => {
                    let record = Record::decode(&value).expect("a record");
                    let condition = match condition {
                        Condition::Absent => None,
                        Condition::Revision(revision) => Some(revision.0),
                    };
                    Ask::Put(record, condition)
                }
                _ => Ask::Get,
            };
            self.daemons[index].call = Some(Call::Asked(call, ask));
        }
    }

    fn orders(&mut self, bounds: &Bounds, index: usize, event: orders::Event) {
        let now = self.clock(bounds, index);
        let daemon = &mut self.daemons[index];
        let permit = daemon.lease.order_permit(now, bounds.checks_fencing);
        let mut effects = Vec::new();
        daemon.orders.handle(now, permit, event, &mut effects);
        for effect in effects {
            match effect {
                orders::Effect::Order(order) => {
                    daemon.lease.ordered(order.not_after);
                    daemon.outbox = Some(order);
                }
                orders::Effect::Stale(_) => daemon.lease.invalidate(now),
                orders::Effect::Recorded(_) => {}
            }
        }
        if !daemon.orders.is_outstanding() {
            daemon.lease.orders_settled(now);
        }
    }

    fn put(&mut self, bounds: &Bounds, record: Record, condition: Option<u64>) -> Answer {
        let current = self.store.as_ref().map(|(revision, _)| *revision);
        if current != condition && bounds.broken != InjectedBug::NoCondition {
            return Answer::Conflict;
        }
        self.revision += 1;
        self.store = Some((self.revision, record));
        Answer::Written(self.revision)
    }

    fn platform_steps(&self, bounds: &Bounds, index: usize, next: &mut Vec<Node>) {
        match &self.daemons[index].call {
            Some(Call::Asked(call, ask)) => self.asked_steps(bounds, index, *call, ask, next),
            Some(Call::Answered(call, answer)) => {
                next.push(self.step(format!("daemon {index} hears {answer:?}"), |state| {
                    state.daemons[index].call = None;
                    let event = Event::CallEnded(*call, result(answer.clone()));
                    state.lease(bounds, index, event);
                }));
            }
            None => {}
        }
    }

    fn asked_steps(
        &self,
        bounds: &Bounds,
        index: usize,
        call: CallId,
        ask: &Ask,
        next: &mut Vec<Node>,
    ) {
        let apply = |state: &mut State| match ask.clone() {
            Ask::Get => Answer::Object(state.store.clone()),
            Ask::Put(record, condition) => state.put(bounds, record, condition),
        };
        next.push(self.step(format!("the platform carries out {ask:?} of {index}"), |state| {
            let answer = apply(state);
            state.daemons[index].call = Some(Call::Answered(call, answer));
        }));
        if self.lost_calls == 0 {
            return;
        }
        let unknown = || Some(Call::Answered(call, Answer::Unknown));
        next.push(self.step(format!("the call {ask:?} of {index} is lost"), |state| {
            state.lost_calls -= 1;
            state.daemons[index].call = unknown();
        }));
        if let Ask::Put(record, condition) = ask {
            next.push(self.step(format!("{ask:?} of {index} is applied, unanswered"), |state| {
                state.lost_calls -= 1;
                apply(state);
                state.daemons[index].call = unknown();
            }));
            next.push(self.step(format!("{ask:?} of {index} is late, unanswered"), |state| {
                state.lost_calls -= 1;
                state.late.push((record.clone(), *condition));
                state.daemons[index].call = unknown();
            }));
        }
    }

    fn order_steps(&self, bounds: &Bounds, index: usize, next: &mut Vec<Node>) {
        let Some(order) = &self.daemons[index].outbox else { return };
        let now = self.clock(bounds, index);
        let may_send = order.may_be_sent(now) || bounds.broken == InjectedBug::NoSafePart;
        let order = order.clone();
        let text = format!("daemon {index} sends fencing={} ok={may_send}", order.fencing);
        next.push(self.step(text, |state| {
            state.daemons[index].outbox = None;
            if may_send {
                let until = state.tick + NETWORK_TICKS;
                let run = state.daemons[index].run;
                state.flying.push(Flying { from: index, run, order, until });
            } else {
                let event = orders::Event::Ended(order.id.clone(), OrderOutcome::TooLate);
                state.orders(bounds, index, event);
            }
        }));
    }

    fn engine_steps(&self, bounds: &Bounds, flying: usize, next: &mut Vec<Node>) {
        let order = &self.flying[flying];
        let text = format!("the engine gets fencing={} of {}", order.order.fencing, order.from);
        next.push(self.step(text, |state| {
            let flying = state.flying.remove(flying);
            let end = state.accept(bounds, &flying);
            state.answer_order(bounds, &flying, end);
        }));
        if self.lost_orders > 0 {
            next.push(self.step(format!("daemon {} gives up waiting", order.from), |state| {
                state.lost_orders -= 1;
                let flying = state.flying[flying].clone();
                state.answer_order(bounds, &flying, OrderOutcome::Unknown);
            }));
        }
    }

    fn answer_order(&mut self, bounds: &Bounds, flying: &Flying, end: OrderOutcome) {
        if self.daemons[flying.from].run == flying.run {
            let event = orders::Event::Ended(flying.order.id.clone(), end);
            self.orders(bounds, flying.from, event);
        }
    }

    fn accept(&mut self, bounds: &Bounds, flying: &Flying) -> OrderOutcome {
        let fencing = flying.order.fencing;
        if let Some((seen, from, run)) = self.accepted {
            if bounds.checks_fencing && fencing < seen {
                return OrderOutcome::Stale(seen);
            }
            if fencing < seen {
                self.violation = Some("an older number was accepted after a newer one");
            }
            if fencing == seen && (from, run) != (flying.from, flying.run) {
                self.violation = Some("two holders have given orders under one number");
            }
        }
        if !bounds.checks_fencing {
            for other in 0..2 {
                let now = self.clock(bounds, other);
                let permit = self.daemons[other].lease.order_permit(now, false);
                if permit.is_some_and(|(later, _)| later > fencing) {
                    self.violation = Some("accepted while a later holder may give orders");
                }
            }
        }
        self.accepted = Some((fencing, flying.from, flying.run));
        OrderOutcome::Applied
    }
}

fn result(answer: Answer) -> Result<Reply, CallError> {
    match answer {
        Answer::Unknown => Err(CallError::Unknown),
        Answer::Conflict => Err(CallError::Conflict(None)),
        Answer::Written(revision) => Ok(Reply::Written(Revision(revision))),
        Answer::Object(None) => Ok(Reply::Object(None)),
        Answer::Object(Some((revision, record))) => Ok(Reply::Object(Some(Object {
            key: ObjectKey::new(KEY),
            revision: Revision(revision),
            value: record.encode().into(),
        }))),
    }
}

/// A state and the step that first led to it; the step tells no states apart.
#[derive(Clone, Debug)]
struct Node {
    state: State,
    step: Box<str>,
}

impl Node {
    fn first(bounds: &Bounds) -> Self {
        Self { state: State::new(bounds), step: "the daemons start".into() }
    }
}

impl PartialEq for Node {
    fn eq(&self, other: &Self) -> bool {
        self.state == other.state
    }
}

impl Eq for Node {}

impl Hash for Node {
    fn hash<H: Hasher>(&self, state: &mut H) {
        let s = &self.state;
        (s.tick, s.revision, &s.store, &s.late, &s.flying, s.accepted).hash(state);
        (s.lost_calls, s.lost_orders, s.crashes, s.give_ups, s.pauses, s.violation).hash(state);
        for daemon in &s.daemons {
            (daemon.run, &daemon.lease, &daemon.call, &daemon.outbox, daemon.wants, daemon.paused)
                .hash(state);
        }
    }
}

fn successors(bounds: &Bounds, node: &Node) -> Vec<Node> {
    node.state.next(bounds)
}

/// Explores all states and returns how many there are and how many orders were accepted in them.
fn explore(bounds: &Bounds) -> (usize, usize) {
    let _one = EXPLORING.lock().unwrap_or_else(PoisonError::into_inner);
    let start = Node::first(bounds);
    let (mut states, mut accepted) = (0, 0);
    for node in bfs_reach(start, |node| successors(bounds, node)) {
        states += 1;
        assert!(states < MOST_STATES, "the bounds are too wide for this machine: {bounds:?}");
        accepted += usize::from(node.state.accepted.is_some());
        if let Some(violation) = node.state.violation {
            panic!("{violation}\n{}", trace(bounds));
        }
    }
    println!("{bounds:?}: {states} states, {accepted} after an accepted order");
    (states, accepted)
}

/// Returns the shortest steps to a violation.
fn trace(bounds: &Bounds) -> String {
    let start = Node::first(bounds);
    let violates = |node: &Node| node.state.violation.is_some();
    let path = bfs(&start, |node| successors(bounds, node), violates).unwrap_or_default();
    let line = |node: &Node| format!("{:>3}s {}", node.state.tick, node.step);
    path.iter().map(line).collect::<Vec<_>>().join("\n")
}

fn is_caught(bounds: &Bounds) -> bool {
    let _one = EXPLORING.lock().unwrap_or_else(PoisonError::into_inner);
    let start = Node::first(bounds);
    bfs_reach(start, |node| successors(bounds, node))
        .take(MOST_STATES)
        .any(|node| node.state.violation.is_some())
}

const BOUNDS: Bounds = Bounds {
    ticks: 9,
    lost_calls: 0,
    lost_orders: 0,
    crashes: 0,
    give_ups: 0,
    pauses: 1,
    checks_fencing: false,
    rates: [EXACT, EXACT],
    broken: InjectedBug::Nothing,
};

fn holds(bounds: &Bounds) {
    let (_, accepted) = explore(bounds);
    assert!(accepted > 0, "a model in which no order is accepted shows nothing");
}

#[test]
fn lease_unchecking_two_pauses() {
    holds(&Bounds { pauses: 2, ticks: 6, ..BOUNDS });
}

#[test]
fn lease_unchecking_pause_and_lost_order() {
    holds(&Bounds { lost_orders: 1, ..BOUNDS });
}

#[test]
fn lease_unchecking_lost_and_late_writes() {
    holds(&Bounds { lost_calls: 1, pauses: 0, ..BOUNDS });
}

#[test]
fn lease_unchecking_crash() {
    holds(&Bounds { crashes: 1, pauses: 0, ..BOUNDS });
}

#[test]
fn lease_unchecking_give_up() {
    holds(&Bounds { give_ups: 1, lost_orders: 1, pauses: 0, ..BOUNDS });
}

#[test]
fn lease_unchecking_pause_while_giving_up() {
    holds(&Bounds { give_ups: 1, ticks: 6, ..BOUNDS });
}

#[test]
fn lease_unchecking_slow_holder_fast_rival() {
    holds(&Bounds { rates: [900, 1100], ticks: 11, ..BOUNDS });
}

#[test]
fn lease_unchecking_fast_holder_slow_rival() {
    holds(&Bounds { rates: [1100, 900], ticks: 11, ..BOUNDS });
}

#[test]
fn lease_checking_pause_and_lost_or_late_write() {
    holds(&Bounds { checks_fencing: true, lost_calls: 1, ticks: 5, ..BOUNDS });
}

#[test]
fn lease_checking_crash_and_give_up() {
    holds(&Bounds { checks_fencing: true, crashes: 1, give_ups: 1, pauses: 0, ticks: 7, ..BOUNDS });
}

#[test]
fn lease_without_condition_is_caught() {
    assert!(is_caught(&Bounds { broken: InjectedBug::NoCondition, ..BOUNDS }));
    let checking = Bounds { checks_fencing: true, ..BOUNDS };
    assert!(is_caught(&Bounds { broken: InjectedBug::NoCondition, ..checking }));
}

#[test]
fn lease_without_waiting_out_is_caught() {
    let bounds = Bounds { give_ups: 1, lost_orders: 1, pauses: 0, ..BOUNDS };
    assert!(is_caught(&Bounds { broken: InjectedBug::NoWaitingOut, ..bounds }));
}

#[test]
fn lease_without_safe_part_is_caught() {
    assert!(is_caught(&Bounds { broken: InjectedBug::NoSafePart, ..BOUNDS }));
}

#[test]
fn lease_drift_beyond_the_bound_is_caught() {
    let bounds = Bounds { rates: [250, 1500], ticks: 7, pauses: 2, ..BOUNDS };
    assert!(is_caught(&bounds), "the bound on drift is needed");
}
