//! Model checks leases and orders: explores all states within stated bounds. The results are
//! described in `docs/design/models-lease.md`.
//!
//! The model runs the real [`Lease`] and [`Orders`]. Each action of a daemon, the platform, the
//! network and the engine is a separate step. A daemon acts without delay unless it is paused; it
//! can be paused before and after each step, for any time, as often as the bounds allow.

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
/// The number of ticks after sending in which an order can still reach the engine; one less than
/// the bound on the delay of orders.
const NETWORK_TICKS: u32 = 0;
/// The largest number of states that a model may have, so that memory stays bounded.
const MAX_STATES: usize = 800_000;
/// Locked while a model is explored, so that only one is in memory.
static EXPLORING: Mutex<()> = Mutex::new(());
/// The rate of an exact clock, in thousandths.
const EXACT: u64 = 1000;

/// A deliberate defect of the protocol that the checker must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum InjectedBug {
    Nothing,
    /// The platform applies writes regardless of their condition.
    NoCondition,
    /// A new holder does not wait for the previous holder's orders to take effect.
    NoTakeoverWait,
    /// Orders are sent even if their `not_after` time has passed.
    NoSendDeadline,
}

#[derive(Clone, Copy, Debug)]
struct Bounds {
    /// The duration of a run, in ticks of one second.
    ticks: u32,
    lost_calls: u8,
    lost_orders: u8,
    crashes: u8,
    releases: u8,
    pauses: u8,
    checks_fencing: bool,
    /// The rates of the two daemons' clocks, in thousandths of the true rate.
    rates: [u64; 2],
    injected_bug: InjectedBug,
}

impl Bounds {
    fn times(&self) -> LeaseTimes {
        let order_delay = u64::from(self.injected_bug != InjectedBug::NoTakeoverWait);
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
enum Request {
    Get,
    Put(Record, Option<u64>),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum StoreReply {
    Unknown,
    Conflict,
    Written(u64),
    Object(Option<(u64, Record)>),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Call {
    Sent(CallId, Request),
    Replied(CallId, StoreReply),
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
struct OrderInTransit {
    from: usize,
    run: u64,
    order: OrderRequest,
    /// The last tick at which the order can reach the engine.
    until: u32,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct State {
    tick: u32,
    store: Option<(u64, Record)>,
    revision: u64,
    late_writes: Vec<(Record, Option<u64>)>,
    daemons: [Daemon; 2],
    in_transit: Vec<OrderInTransit>,
    /// The fencing number, the daemon and its run of the last order that the engine accepted.
    accepted: Option<(FencingNumber, usize, u64)>,
    lost_calls: u8,
    lost_orders: u8,
    crashes: u8,
    releases: u8,
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
    let desired = vec![(upstream, ([127, 0, 0, 1], 9).into(), order)];
    daemon.orders.handle(Time(0), None, orders::Event::SetDesired(desired), &mut Vec::new());
    daemon
}

impl State {
    fn new(bounds: &Bounds) -> Self {
        let times = bounds.times();
        Self {
            tick: 0,
            store: None,
            revision: 0,
            late_writes: Vec::new(),
            daemons: [daemon(0, 1, times), daemon(1, 1, times)],
            in_transit: Vec::new(),
            accepted: None,
            lost_calls: bounds.lost_calls,
            lost_orders: bounds.lost_orders,
            crashes: bounds.crashes,
            releases: bounds.releases,
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
            next.push(self.step("one tick passes".into(), |state| {
                state.tick += 1;
                let tick = state.tick;
                state.in_transit.retain(|sent_order| tick <= sent_order.until);
            }));
        }
        for index in 0..2 {
            self.fault_steps(bounds, index, &mut next);
        }
        for late in 0..self.late_writes.len() {
            next.push(self.step(format!("late write {late} takes effect"), |state| {
                let (record, condition) = state.late_writes.remove(late);
                state.put(bounds, record, condition);
            }));
        }
        for order_index in 0..self.in_transit.len() {
            self.engine_steps(bounds, order_index, &mut next);
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

    fn fault_steps(&self, bounds: &Bounds, index: usize, next: &mut Vec<Node>) {
        let now = self.clock(bounds, index);
        let daemon = &self.daemons[index];
        if daemon.paused {
            next.push(self.step(format!("daemon {index} resumes"), |state| {
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
        if daemon.wants && self.releases > 0 && daemon.lease.current_term(now).is_some() {
            next.push(self.step(format!("daemon {index} no longer wants the lease"), |state| {
                state.releases -= 1;
                state.daemons[index].wants = false;
                state.lease(bounds, index, Event::SetDesired(false));
            }));
        }
        if self.crashes > 0 {
            next.push(self.step(format!("daemon {index} crashes"), |state| {
                state.crashes -= 1;
                let run = state.daemons[index].run + 1;
                let lost = state.daemons[index].call.take();
                if let Some(Call::Sent(_, Request::Put(record, condition))) = lost {
                    state.late_writes.push((record, condition));
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
            let request = match operation {
                Operation::Put { value, condition, .. } => {
                    let record = Record::decode(&value).expect("a record");
                    let condition = match condition {
                        Condition::Absent => None,
                        Condition::Revision(revision) => Some(revision.0),
                    };
                    Request::Put(record, condition)
                }
                _ => Request::Get,
            };
            self.daemons[index].call = Some(Call::Sent(call, request));
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
                    daemon.lease.record_order(order.not_after);
                    daemon.outbox = Some(order);
                }
                orders::Effect::Stale(_) => daemon.lease.invalidate(now),
                orders::Effect::Recorded(_) => {}
            }
        }
        if !daemon.orders.is_outstanding() {
            daemon.lease.record_no_outstanding_orders(now);
        }
    }

    fn put(&mut self, bounds: &Bounds, record: Record, condition: Option<u64>) -> StoreReply {
        let current = self.store.as_ref().map(|(revision, _)| *revision);
        if current != condition && bounds.injected_bug != InjectedBug::NoCondition {
            return StoreReply::Conflict;
        }
        self.revision += 1;
        self.store = Some((self.revision, record));
        StoreReply::Written(self.revision)
    }

    fn platform_steps(&self, bounds: &Bounds, index: usize, next: &mut Vec<Node>) {
        match &self.daemons[index].call {
            Some(Call::Sent(call, request)) => self.call_steps(bounds, index, *call, request, next),
            Some(Call::Replied(call, reply)) => {
                next.push(self.step(format!("daemon {index} receives {reply:?}"), |state| {
                    state.daemons[index].call = None;
                    let event = Event::CallEnded(*call, call_result(reply.clone()));
                    state.lease(bounds, index, event);
                }));
            }
            None => {}
        }
    }

    fn call_steps(
        &self,
        bounds: &Bounds,
        index: usize,
        call: CallId,
        request: &Request,
        next: &mut Vec<Node>,
    ) {
        let apply = |state: &mut State| match request.clone() {
            Request::Get => StoreReply::Object(state.store.clone()),
            Request::Put(record, condition) => state.put(bounds, record, condition),
        };
        next.push(self.step(
            format!("the platform executes {request:?} of daemon {index}"),
            |state| {
                let reply = apply(state);
                state.daemons[index].call = Some(Call::Replied(call, reply));
            },
        ));
        if self.lost_calls == 0 {
            return;
        }
        let unknown = || Some(Call::Replied(call, StoreReply::Unknown));
        next.push(self.step(format!("{request:?} of daemon {index} is lost"), |state| {
            state.lost_calls -= 1;
            state.daemons[index].call = unknown();
        }));
        if let Request::Put(record, condition) = request {
            next.push(self.step(
                format!("{request:?} of daemon {index} is applied and its reply lost"),
                |state| {
                    state.lost_calls -= 1;
                    apply(state);
                    state.daemons[index].call = unknown();
                },
            ));
            next.push(self.step(
                format!("{request:?} of daemon {index} is delayed and its reply lost"),
                |state| {
                    state.lost_calls -= 1;
                    state.late_writes.push((record.clone(), *condition));
                    state.daemons[index].call = unknown();
                },
            ));
        }
    }

    fn order_steps(&self, bounds: &Bounds, index: usize, next: &mut Vec<Node>) {
        let Some(order) = &self.daemons[index].outbox else { return };
        let now = self.clock(bounds, index);
        let may_send = order.may_be_sent(now) || bounds.injected_bug == InjectedBug::NoSendDeadline;
        let order = order.clone();
        let text = format!("daemon {index} sends fencing={} sent={may_send}", order.fencing);
        next.push(self.step(text, |state| {
            state.daemons[index].outbox = None;
            if may_send {
                let until = state.tick + NETWORK_TICKS;
                let run = state.daemons[index].run;
                state.in_transit.push(OrderInTransit { from: index, run, order, until });
            } else {
                let event = orders::Event::Ended(order.id.clone(), OrderOutcome::TooLate);
                state.orders(bounds, index, event);
            }
        }));
    }

    fn engine_steps(&self, bounds: &Bounds, order_index: usize, next: &mut Vec<Node>) {
        let order = &self.in_transit[order_index];
        let text =
            format!("the engine receives fencing={} of daemon {}", order.order.fencing, order.from);
        next.push(self.step(text, |state| {
            let sent_order = state.in_transit.remove(order_index);
            let end = state.accept(bounds, &sent_order);
            state.end_order(bounds, &sent_order, end);
        }));
        if self.lost_orders > 0 {
            next.push(self.step(
                format!("daemon {} times out waiting for the engine", order.from),
                |state| {
                    state.lost_orders -= 1;
                    let sent_order = state.in_transit[order_index].clone();
                    state.end_order(bounds, &sent_order, OrderOutcome::Unknown);
                },
            ));
        }
    }

    fn end_order(&mut self, bounds: &Bounds, sent_order: &OrderInTransit, end: OrderOutcome) {
        if self.daemons[sent_order.from].run == sent_order.run {
            let event = orders::Event::Ended(sent_order.order.id.clone(), end);
            self.orders(bounds, sent_order.from, event);
        }
    }

    fn accept(&mut self, bounds: &Bounds, sent_order: &OrderInTransit) -> OrderOutcome {
        let fencing = sent_order.order.fencing;
        if let Some((seen, from, run)) = self.accepted {
            if bounds.checks_fencing && fencing < seen {
                return OrderOutcome::Stale(seen);
            }
            if fencing < seen {
                self.violation = Some("an older fencing number was accepted after a newer one");
            }
            if fencing == seen && (from, run) != (sent_order.from, sent_order.run) {
                self.violation = Some("two holders have sent orders under one fencing number");
            }
        }
        if !bounds.checks_fencing {
            for other in 0..2 {
                let now = self.clock(bounds, other);
                let permit = self.daemons[other].lease.order_permit(now, false);
                if permit.is_some_and(|(later, _)| later > fencing) {
                    self.violation =
                        Some("an order was accepted while a later holder may send orders");
                }
            }
        }
        self.accepted = Some((fencing, sent_order.from, sent_order.run));
        OrderOutcome::Applied
    }
}

fn call_result(reply: StoreReply) -> Result<Reply, CallError> {
    match reply {
        StoreReply::Unknown => Err(CallError::Unknown),
        StoreReply::Conflict => Err(CallError::Conflict(None)),
        StoreReply::Written(revision) => Ok(Reply::Written(Revision(revision))),
        StoreReply::Object(None) => Ok(Reply::Object(None)),
        StoreReply::Object(Some((revision, record))) => Ok(Reply::Object(Some(Object {
            key: ObjectKey::new(KEY),
            revision: Revision(revision),
            value: record.encode().into(),
        }))),
    }
}

/// A state and the step that first led to it; the step is not part of the node's identity.
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
        (s.tick, s.revision, &s.store, &s.late_writes, &s.in_transit, s.accepted).hash(state);
        (s.lost_calls, s.lost_orders, s.crashes, s.releases, s.pauses, s.violation).hash(state);
        for daemon in &s.daemons {
            (daemon.run, &daemon.lease, &daemon.call, &daemon.outbox, daemon.wants, daemon.paused)
                .hash(state);
        }
    }
}

fn successors(bounds: &Bounds, node: &Node) -> Vec<Node> {
    node.state.next(bounds)
}

/// Explores all states and returns their number and the number of states after an accepted order.
fn explore(bounds: &Bounds) -> (usize, usize) {
    let _one = EXPLORING.lock().unwrap_or_else(PoisonError::into_inner);
    let start = Node::first(bounds);
    let (mut states, mut accepted) = (0, 0);
    for node in bfs_reach(start, |node| successors(bounds, node)) {
        states += 1;
        assert!(states < MAX_STATES, "the bounds are too wide for this machine: {bounds:?}");
        accepted += usize::from(node.state.accepted.is_some());
        if let Some(violation) = node.state.violation {
            panic!("{violation}\n{}", trace(bounds));
        }
    }
    println!("{bounds:?}: {states} states, {accepted} after an accepted order");
    (states, accepted)
}

/// Returns the shortest path to a violation, one step per line.
fn trace(bounds: &Bounds) -> String {
    let start = Node::first(bounds);
    let violates = |node: &Node| node.state.violation.is_some();
    let path = bfs(&start, |node| successors(bounds, node), violates).unwrap_or_default();
    let line = |node: &Node| format!("{:>3}s {}", node.state.tick, node.step);
    path.iter().map(line).collect::<Vec<_>>().join("\n")
}

fn is_detected(bounds: &Bounds) -> bool {
    let _one = EXPLORING.lock().unwrap_or_else(PoisonError::into_inner);
    let start = Node::first(bounds);
    bfs_reach(start, |node| successors(bounds, node))
        .take(MAX_STATES)
        .any(|node| node.state.violation.is_some())
}

const BOUNDS: Bounds = Bounds {
    ticks: 9,
    lost_calls: 0,
    lost_orders: 0,
    crashes: 0,
    releases: 0,
    pauses: 1,
    checks_fencing: false,
    rates: [EXACT, EXACT],
    injected_bug: InjectedBug::Nothing,
};

fn assert_safe(bounds: &Bounds) {
    let (_, accepted) = explore(bounds);
    assert!(
        accepted > 0,
        "no order was accepted within the bounds, so that the model checks nothing"
    );
}

#[test]
fn lease_unchecking_two_pauses() {
    assert_safe(&Bounds { pauses: 2, ticks: 6, ..BOUNDS });
}

#[test]
fn lease_unchecking_pause_and_lost_order() {
    assert_safe(&Bounds { lost_orders: 1, ..BOUNDS });
}

#[test]
fn lease_unchecking_lost_and_late_writes() {
    assert_safe(&Bounds { lost_calls: 1, pauses: 0, ..BOUNDS });
}

#[test]
fn lease_unchecking_crash() {
    assert_safe(&Bounds { crashes: 1, pauses: 0, ..BOUNDS });
}

#[test]
fn lease_unchecking_release() {
    assert_safe(&Bounds { releases: 1, lost_orders: 1, pauses: 0, ..BOUNDS });
}

#[test]
fn lease_unchecking_pause_while_releasing() {
    assert_safe(&Bounds { releases: 1, ticks: 6, ..BOUNDS });
}

#[test]
fn lease_unchecking_slow_holder_fast_rival() {
    assert_safe(&Bounds { rates: [900, 1100], ticks: 11, ..BOUNDS });
}

#[test]
fn lease_unchecking_fast_holder_slow_rival() {
    assert_safe(&Bounds { rates: [1100, 900], ticks: 11, ..BOUNDS });
}

#[test]
fn lease_checking_pause_and_lost_or_late_write() {
    assert_safe(&Bounds { checks_fencing: true, lost_calls: 1, ticks: 5, ..BOUNDS });
}

#[test]
fn lease_checking_crash_and_release() {
    assert_safe(&Bounds {
        checks_fencing: true,
        crashes: 1,
        releases: 1,
        pauses: 0,
        ticks: 7,
        ..BOUNDS
    });
}

#[test]
fn lease_without_condition_is_detected() {
    assert!(is_detected(&Bounds { injected_bug: InjectedBug::NoCondition, ..BOUNDS }));
    let checking = Bounds { checks_fencing: true, ..BOUNDS };
    assert!(is_detected(&Bounds { injected_bug: InjectedBug::NoCondition, ..checking }));
}

#[test]
fn lease_without_takeover_wait_is_detected() {
    let bounds = Bounds { releases: 1, lost_orders: 1, pauses: 0, ..BOUNDS };
    assert!(is_detected(&Bounds { injected_bug: InjectedBug::NoTakeoverWait, ..bounds }));
}

#[test]
fn lease_without_send_deadline_is_detected() {
    assert!(is_detected(&Bounds { injected_bug: InjectedBug::NoSendDeadline, ..BOUNDS }));
}

#[test]
fn lease_drift_beyond_the_bound_is_detected() {
    let bounds = Bounds { rates: [250, 1500], ticks: 7, pauses: 2, ..BOUNDS };
    assert!(is_detected(&bounds), "drift beyond the bound must violate safety");
}
