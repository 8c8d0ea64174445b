//! Performs the I/O that the state machine [`Traffic`] of one thread requests.
//!
//! Everything in this module runs on one thread. Events that arrive while another one is handled
//! are queued, so that the state machine is never entered recursively.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use arc_swap::ArcSwap;
use indexmap::IndexMap;
use tokio::{sync::mpsc, task::JoinHandle};

use crate::{
    edge::{
        change_log,
        client::Client,
        request_log,
        response_queue::{MAX_BUFFERED_BYTES, Part, ResponseQueue},
        upstream,
        upstream_links::UpstreamLinks,
    },
    limit::memory::MemoryBudget,
    node::{
        control::Input,
        report::AttemptReport,
        snapshot::Snapshot,
        traffic::{Effect, Event, Traffic},
    },
    request::{AttemptId, CallerId, refusal::RefusalKind},
    units::{Time, WallTime},
};

/// Interval at which timers are checked and reports are sent.
const TICK: Duration = Duration::from_millis(5);
/// Limit on the reports of attempts queued for the next tick; further ones are dropped.
const MAX_QUEUED_REPORTS: usize = 4096;
/// Limit on what waits for the callers of one traffic thread, in bytes beyond [`MAX_BUFFERED_BYTES`] each.
const MAX_QUEUED_BYTES: usize = 16 << 20;

/// The driver's end of the queue of one caller.
struct CallerSlot(Rc<ResponseQueue>);

impl Drop for CallerSlot {
    fn drop(&mut self) {
        self.0.close();
    }
}

/// Performs the I/O of one traffic thread.
pub struct TrafficDriver {
    traffic: RefCell<Traffic>,
    queue: RefCell<VecDeque<Event>>,
    is_handling: Cell<bool>,
    started: Instant,
    snapshot: Arc<ArcSwap<Snapshot>>,
    last_snapshot: RefCell<Arc<Snapshot>>,
    callers: RefCell<IndexMap<CallerId, CallerSlot>>,
    last_caller: Cell<u64>,
    attempts: RefCell<IndexMap<AttemptId, JoinHandle<()>>>,
    client: Rc<Client>,
    pub links: Arc<UpstreamLinks>,
    control: Box<dyn Fn(Input)>,
    reports: RefCell<Vec<AttemptReport>>,
    /// The memory for what waits for callers.
    queue_memory: Arc<MemoryBudget>,
    kv_memory: Arc<MemoryBudget>,
}

impl TrafficDriver {
    /// Creates a driver that sends inputs for the control thread through `control`.
    pub fn new(
        traffic: Traffic,
        snapshot: Arc<ArcSwap<Snapshot>>,
        links: Arc<UpstreamLinks>,
        control: Box<dyn Fn(Input)>,
    ) -> Rc<Self> {
        Rc::new(Self {
            traffic: RefCell::new(traffic),
            queue: RefCell::default(),
            is_handling: Cell::new(false),
            started: Instant::now(),
            snapshot,
            last_snapshot: RefCell::default(),
            callers: RefCell::default(),
            last_caller: Cell::new(0),
            attempts: RefCell::default(),
            client: Rc::default(),
            links,
            control,
            reports: RefCell::default(),
            queue_memory: MemoryBudget::for_buffers(MAX_QUEUED_BYTES, MAX_BUFFERED_BYTES, 1),
            kv_memory: MemoryBudget::for_buffers(upstream::MAX_KV_BYTES, 0, upstream::KV_COPIES),
        })
    }

    /// Runs until the thread ends. Each tick sends the queued reports, closes expired connections, and
    /// wakes the state machine if a timer is due or there is a new snapshot.
    pub async fn run_timers(self: Rc<Self>) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.send_reports();
            self.client.evict_idle();
            self.links.spawn_due_probes();
            let now = self.now();
            let due = self.traffic.borrow().next_wakeup().is_some_and(|at| at <= now);
            if due || self.has_new_snapshot() {
                self.dispatch_event(Event::Woken);
            }
        }
    }

    /// Dispatches events of the control thread until the thread ends.
    pub async fn run_inbox(self: Rc<Self>, mut inbox: mpsc::UnboundedReceiver<Event>) {
        while let Some(event) = inbox.recv().await {
            self.dispatch_event(event);
        }
    }

    /// Reports whether the daemon is shutting down.
    pub fn is_draining(&self) -> bool {
        self.snapshot.load().draining
    }

    /// Checks whether a request can be admitted, before its body is read.
    ///
    /// # Errors
    ///
    /// Returns the kind of the refusal and its detail.
    pub fn check_head(
        self: &Rc<Self>,
        path: &str,
        token: Option<&[u8; 32]>,
    ) -> Result<(), (RefusalKind, String)> {
        if self.has_new_snapshot() {
            self.dispatch_event(Event::Woken);
        }
        self.traffic.borrow().check_head(path, token)
    }

    /// Registers a caller that waits for a response, and returns the queue of its parts.
    pub fn add_caller(&self) -> (CallerId, Rc<ResponseQueue>) {
        let caller = CallerId(self.last_caller.get() + 1);
        self.last_caller.set(caller.0);
        let queue = Rc::new(ResponseQueue::new(self.queue_memory.begin()));
        self.callers.borrow_mut().insert(caller, CallerSlot(queue.clone()));
        (caller, queue)
    }

    /// Removes a caller whose connection is closed, and notifies the state machine unless the last
    /// part of the response was sent before.
    pub fn remove_caller(self: &Rc<Self>, caller: CallerId) {
        if self.callers.borrow_mut().swap_remove(&caller).is_some() {
            self.dispatch_event(Event::CallerDisconnected(caller));
        }
    }

    /// Waits until the bytes buffered for a caller are within the limit.
    pub async fn wait_for_room(&self, caller: CallerId) {
        let queue = self.callers.borrow().get(&caller).map(|slot| slot.0.clone());
        if let Some(queue) = queue {
            queue.wait_for_room().await;
        }
    }

    /// Removes the task of an attempt that has ended without being aborted.
    pub fn remove_attempt(&self, attempt: AttemptId) {
        self.attempts.borrow_mut().swap_remove(&attempt);
    }

    /// Passes an event to the state machine and applies the resulting effects.
    pub fn dispatch_event(self: &Rc<Self>, event: Event) {
        self.queue.borrow_mut().push_back(event);
        if self.is_handling.replace(true) {
            return;
        }
        let mut effects = Vec::new();
        loop {
            self.queue_new_snapshot();
            let next = self.queue.borrow_mut().pop_front();
            let Some(event) = next else { break };
            let now = self.now();
            self.traffic.borrow_mut().handle(now, event, &mut effects);
            for effect in effects.drain(..) {
                self.apply(effect);
            }
        }
        self.is_handling.set(false);
    }

    fn now(&self) -> Time {
        Time(self.started.elapsed().as_micros() as u64)
    }

    fn has_new_snapshot(&self) -> bool {
        !Arc::ptr_eq(&self.snapshot.load(), &self.last_snapshot.borrow())
    }

    fn queue_new_snapshot(&self) {
        if self.has_new_snapshot() {
            let snapshot = self.snapshot.load_full();
            *self.last_snapshot.borrow_mut() = snapshot.clone();
            self.queue.borrow_mut().push_front(Event::Snapshot(snapshot, wall_time()));
        }
    }

    fn apply(self: &Rc<Self>, effect: Effect) {
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
                let (client, memory) = (self.client.clone(), self.kv_memory.clone());
                actix_rt::spawn(async move {
                    let moved = upstream::move_kv(&client, &memory, &name, from, to).await;
                    driver.dispatch_event(Event::KvMoved(attempt, moved));
                });
            }
            Effect::StartResponse(caller, request, head, origin) => {
                self.send_part(caller, Part::Head(request, head, origin), false);
            }
            Effect::SendBody(caller, bytes) => self.send_part(caller, Part::Chunk(bytes), false),
            Effect::EndResponse(caller) => self.send_part(caller, Part::End, true),
            Effect::SendFullResponse(caller, request, head, body) => {
                self.send_part(caller, Part::Full(request, head, body), true);
            }
            Effect::Refuse(caller, refusal) => self.send_part(caller, Part::Refusal(refusal), true),
            Effect::RequestClaim(claim_request) => (self.control)(Input::Claim(claim_request)),
            Effect::EndClaim(ticket, end) => (self.control)(Input::ClaimEnded(ticket, end)),
            Effect::ReportAttempt(report) => self.add_report(*report),
            Effect::ReportLeaving(upstream, time) => {
                log::info!(event = "upstream-leaving", upstream:%, ms = time.as_millis() as u64, source = "response"; "");
                (self.control)(Input::UpstreamLeaving(upstream, wall_time() + time));
            }
            Effect::LogFailedAttempt(attempt) => request_log::log_failed_attempt(&attempt),
            Effect::LogRefusedRetry(refusal) => request_log::log_refused_retry(&refusal),
            Effect::LogCrashCause(change) => change_log::log_crash_cause(&change),
            Effect::LogUpstreamLimit(change) => change_log::log_upstream_limit(&change),
            Effect::Send(recipient, message) => {
                (self.control)(Input::RequestMessage(recipient, message));
            }
        }
    }

    /// Queues a report until the next tick. Reports beyond the limit are dropped, since they only
    /// serve statistics.
    fn add_report(&self, report: AttemptReport) {
        let mut reports = self.reports.borrow_mut();
        if reports.len() < MAX_QUEUED_REPORTS {
            reports.push(report);
        }
    }

    fn send_reports(&self) {
        let reports = std::mem::take(&mut *self.reports.borrow_mut());
        if !reports.is_empty() {
            (self.control)(Input::AttemptReports(reports));
        }
    }

    fn send_part(&self, caller: CallerId, part: Part, is_last: bool) {
        let mut callers = self.callers.borrow_mut();
        let Some(slot) = callers.get(&caller) else { return };
        let has_memory = slot.0.push(part);
        if is_last || !has_memory {
            callers.swap_remove(&caller);
        }
        if !has_memory {
            log::warn!(event = "caller-too-slow", caller = caller.0; "no memory is left for what waits for a caller; closing its connection");
            self.queue.borrow_mut().push_back(Event::CallerDisconnected(caller));
        }
    }
}

fn wall_time() -> WallTime {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    WallTime(since.as_millis() as u64)
}
