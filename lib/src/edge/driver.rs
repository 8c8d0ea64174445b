//! Carries out what the traffic part of one thread asks for.
//!
//! Everything here runs on one thread. Events that come while another is handled wait in a queue,
//! so that the traffic part is never entered twice.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use arc_swap::ArcSwap;
use awc::Client;
use bytes::Bytes;
use indexmap::IndexMap;
use tokio::{
    sync::{Notify, mpsc},
    task::JoinHandle,
};

use crate::{
    edge::upstream,
    ids::RequestId,
    node::{
        control::Input,
        report::AttemptReport,
        snapshot::Snapshot,
        traffic::{Effect, Event, Traffic},
    },
    request::{
        AttemptId, CallerId,
        exchange::Head,
        refusal::{Refusal, RefusalKind},
    },
    units::{Time, WallTime},
};

/// How often the timers of the traffic part are looked at.
const TICK: Duration = Duration::from_millis(5);
/// How long an upstream may take to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The most reports of attempts that wait for the next tick.
const MAX_REPORTS: usize = 4096;
/// The bytes that may wait for a slow caller before its upstream is read no further.
const MAX_WAITING_BYTES: usize = 1 << 20;

/// A part of an answer on its way to a caller.
#[derive(Debug)]
pub enum Part {
    /// The head; chunks follow.
    Head(RequestId, Box<Head>),
    /// Bytes of the body.
    Chunk(Bytes),
    /// The answer is whole.
    End,
    /// The whole answer at once.
    Answer(RequestId, Box<Head>, Bytes),
    /// The final answer of a request that got no whole one.
    Refusal(Box<Refusal>),
}

/// Counts the bytes that wait for one caller.
#[derive(Debug, Default)]
pub struct Flow {
    waiting: Cell<usize>,
    taken: Notify,
}

impl Flow {
    /// Notes that the caller's connection took bytes.
    pub fn took(&self, bytes: usize) {
        self.waiting.set(self.waiting.get().saturating_sub(bytes));
        self.taken.notify_waiters();
    }

    fn add(&self, bytes: usize) {
        self.waiting.set(self.waiting.get() + bytes);
    }

    async fn has_room(&self) {
        while self.waiting.get() > MAX_WAITING_BYTES {
            self.taken.notified().await;
        }
    }
}

struct Slot {
    parts: mpsc::UnboundedSender<Part>,
    flow: Rc<Flow>,
}

/// The I/O of one traffic thread.
pub struct TrafficDriver {
    traffic: RefCell<Traffic>,
    queue: RefCell<VecDeque<Event>>,
    is_handling: Cell<bool>,
    started: Instant,
    snapshot: Arc<ArcSwap<Snapshot>>,
    seen: RefCell<Arc<Snapshot>>,
    callers: RefCell<IndexMap<CallerId, Slot>>,
    last_caller: Cell<u64>,
    attempts: RefCell<IndexMap<AttemptId, JoinHandle<()>>>,
    client: Client,
    control: Box<dyn Fn(Input)>,
    reports: RefCell<Vec<AttemptReport>>,
}

impl TrafficDriver {
    /// Makes the adapter; `control` takes what the control thread is told.
    pub fn new(
        traffic: Traffic,
        snapshot: Arc<ArcSwap<Snapshot>>,
        control: Box<dyn Fn(Input)>,
    ) -> Rc<Self> {
        let connector = awc::Connector::new().limit(0).timeout(CONNECT_TIMEOUT);
        let client = Client::builder()
            .connector(connector)
            .disable_timeout()
            .disable_redirects()
            .no_default_headers()
            .finish();
        Rc::new(Self {
            traffic: RefCell::new(traffic),
            queue: RefCell::default(),
            is_handling: Cell::new(false),
            started: Instant::now(),
            snapshot,
            seen: RefCell::default(),
            callers: RefCell::default(),
            last_caller: Cell::new(0),
            attempts: RefCell::default(),
            client,
            control,
            reports: RefCell::default(),
        })
    }

    /// Runs the timers until the thread ends.
    pub async fn run_timers(self: Rc<Self>) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.send_reports();
            let now = self.now();
            let due = self.traffic.borrow().next_wakeup().is_some_and(|at| at <= now);
            if due || self.snapshot_is_new() {
                self.feed(Event::Woken);
            }
        }
    }

    /// Gives events of the control thread to the traffic part until the thread ends.
    pub async fn run_inbox(self: Rc<Self>, mut inbox: mpsc::UnboundedReceiver<Event>) {
        while let Some(event) = inbox.recv().await {
            self.feed(event);
        }
    }

    /// Says whether the daemon is shutting down.
    pub fn is_draining(&self) -> bool {
        self.snapshot.load().draining
    }

    /// Says why a request cannot be admitted, before its body is read.
    pub fn check_head(
        self: &Rc<Self>,
        path: &str,
        token: Option<&[u8; 32]>,
    ) -> Result<(), (RefusalKind, String)> {
        if self.snapshot_is_new() {
            self.feed(Event::Woken);
        }
        self.traffic.borrow().check_head(path, token)
    }

    /// Adds a caller that waits for an answer.
    pub fn add_caller(&self, flow: Rc<Flow>) -> (CallerId, mpsc::UnboundedReceiver<Part>) {
        let caller = CallerId(self.last_caller.get() + 1);
        self.last_caller.set(caller.0);
        let (parts, received) = mpsc::unbounded_channel();
        self.callers.borrow_mut().insert(caller, Slot { parts, flow });
        (caller, received)
    }

    /// Notes that a caller's connection is closed or has its whole answer.
    pub fn caller_gone(self: &Rc<Self>, caller: CallerId) {
        if self.callers.borrow_mut().swap_remove(&caller).is_some() {
            self.feed(Event::CallerDisconnected(caller));
        }
    }

    /// Waits until a caller's connection has taken most of what waits for it.
    pub async fn has_room(&self, caller: CallerId) {
        let flow = self.callers.borrow().get(&caller).map(|slot| slot.flow.clone());
        if let Some(flow) = flow {
            flow.has_room().await;
        }
    }

    /// Forgets the task of an attempt that has ended by itself.
    pub fn attempt_ended(&self, attempt: AttemptId) {
        self.attempts.borrow_mut().swap_remove(&attempt);
    }

    /// Gives an event to the traffic part and carries out what it asks for.
    pub fn feed(self: &Rc<Self>, event: Event) {
        self.queue.borrow_mut().push_back(event);
        if self.is_handling.replace(true) {
            return;
        }
        let mut effects = Vec::new();
        loop {
            self.look_at_snapshot();
            let next = self.queue.borrow_mut().pop_front();
            let Some(event) = next else { break };
            let now = self.now();
            self.traffic.borrow_mut().handle(now, event, &mut effects);
            for effect in effects.drain(..) {
                self.carry_out(effect);
            }
        }
        self.is_handling.set(false);
    }

    fn now(&self) -> Time {
        Time(self.started.elapsed().as_micros() as u64)
    }

    fn snapshot_is_new(&self) -> bool {
        !Arc::ptr_eq(&self.snapshot.load(), &self.seen.borrow())
    }

    fn look_at_snapshot(&self) {
        if self.snapshot_is_new() {
            let snapshot = self.snapshot.load_full();
            *self.seen.borrow_mut() = snapshot.clone();
            self.queue.borrow_mut().push_front(Event::Snapshot(snapshot, wall_time()));
        }
    }

    fn carry_out(self: &Rc<Self>, effect: Effect) {
        match effect {
            Effect::Dispatch(dispatch) => {
                let attempt = dispatch.attempt;
                let run = upstream::run(self.clone(), self.client.clone(), dispatch);
                self.attempts.borrow_mut().insert(attempt, actix_rt::spawn(run));
            }
            Effect::CloseAttempt(attempt) => {
                if let Some(task) = self.attempts.borrow_mut().swap_remove(&attempt) {
                    task.abort();
                }
            }
            Effect::CancelAttempt(address, name) => {
                actix_rt::spawn(upstream::cancel(self.client.clone(), address, name));
            }
            Effect::MoveKv { attempt, name, from, to } => {
                let driver = self.clone();
                let client = self.client.clone();
                actix_rt::spawn(async move {
                    let moved = upstream::move_kv(&client, &name, from, to).await;
                    driver.feed(Event::KvMoved(attempt, moved));
                });
            }
            Effect::StartResponse(caller, request, head) => {
                self.give(caller, Part::Head(request, head), false);
            }
            Effect::SendBody(caller, bytes) => self.give(caller, Part::Chunk(bytes), false),
            Effect::EndResponse(caller) => self.give(caller, Part::End, true),
            Effect::SendFullResponse(caller, request, head, body) => {
                self.give(caller, Part::Answer(request, head, body), true);
            }
            Effect::Refuse(caller, refusal) => self.give(caller, Part::Refusal(refusal), true),
            Effect::RequestClaim(claim_request) => (self.control)(Input::Claim(claim_request)),
            Effect::EndClaim(ticket, end) => (self.control)(Input::ClaimEnded(ticket, end)),
            Effect::ReportAttempt(report) => self.add_report(*report),
            Effect::Send(recipient, message) => {
                (self.control)(Input::RequestMessage(recipient, message));
            }
        }
    }

    /// Holds a report until the next tick; one beyond the bound is dropped, as it is statistics.
    fn add_report(&self, report: AttemptReport) {
        let mut reports = self.reports.borrow_mut();
        if reports.len() < MAX_REPORTS {
            reports.push(report);
        }
    }

    fn send_reports(&self) {
        let reports = std::mem::take(&mut *self.reports.borrow_mut());
        if !reports.is_empty() {
            (self.control)(Input::AttemptReports(reports));
        }
    }

    fn give(&self, caller: CallerId, part: Part, is_last: bool) {
        let mut callers = self.callers.borrow_mut();
        let Some(slot) = callers.get(&caller) else { return };
        if let Part::Chunk(bytes) = &part {
            slot.flow.add(bytes.len());
        }
        // The receiver is gone only when the caller is; its guard tells so.
        let _ = slot.parts.send(part);
        if is_last {
            callers.swap_remove(&caller);
        }
    }
}

fn wall_time() -> WallTime {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    WallTime(since.as_millis() as u64)
}
