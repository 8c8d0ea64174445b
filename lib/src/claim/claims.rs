//! The claims of one daemon: claim requests from its traffic threads and items from peers.
//!
//! Rendezvous hashing selects one daemon as the writer of each shard, which batches the items of
//! all daemons. This only saves writes: regardless of which daemon writes, the condition on the
//! page alone prevents a key from being granted twice. If the writer does not answer in time, the
//! requesting daemon writes the page itself.

mod pending;

use std::{sync::Arc, time::Duration};

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64;

use self::pending::Pending;
use crate::{
    claim::{
        ClaimId, ClaimOutcome, ClaimRequest, ClaimResponse, ClaimTicket,
        collect::Collection,
        item::{self, Item, ItemAnswer, ItemOperation},
        message::Message,
        page::{SHARDS, ShardKey},
        shard::{self, Context, Origin, Shard},
    },
    ids::{CallId, DaemonId, Incarnation, RequestId, ServiceName},
    peer::Member,
    store::{CallError, Operation, Priority, Reply, token_bucket::TokenBucket},
    units::{Time, WallTime},
};

/// The shortest retry time that is reported to a caller.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// The most items that may be pending before outcomes and releases are dropped.
const MAX_PENDING_ITEMS: usize = 10_000;
/// The interval at which a daemon collects expired records and unlisted pages in the shards that it
/// writes.
const COLLECT_INTERVAL: Duration = Duration::from_mins(10);
/// The burst size of the write budget, in writes.
const WRITE_BURST: u32 = 4;
/// The age at which a daemon that is not the shard's writer reads the head again.
const MAX_HEAD_AGE: Duration = Duration::from_secs(1);

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// How long a claim and its stored response are retained.
    pub retention: Duration,
    /// The rate limit of claim writes for all daemons together.
    pub writes_per_second: u32,
    /// How long a claim request waits before it is refused.
    pub claim_timeout: Duration,
    /// How long a shard's writer has to answer before the daemon writes the item itself.
    pub forward_timeout: Duration,
    /// The size at which a head page is sealed, in bytes.
    pub seal_bytes: usize,
    /// The number of sealed pages at which a summary is written.
    pub summary_pages: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            retention: Duration::from_hours(24),
            writes_per_second: 200,
            claim_timeout: Duration::from_secs(2),
            forward_timeout: Duration::from_millis(500),
            seal_bytes: 24_000,
            summary_pages: 64,
        }
    }
}

/// An input of [`Claims::handle`].
#[derive(Clone, Debug)]
pub enum Event {
    /// A traffic thread requests a claim.
    Acquire(ClaimRequest),
    /// A traffic thread reports the outcome of a claimed call.
    OutcomeReported(ClaimTicket, ClaimOutcome),
    /// A call to the platform has ended.
    CallEnded(CallId, Result<Reply, CallError>),
    /// The time returned by [`Claims::next_wakeup`] has been reached.
    Woken,
    Peer(DaemonId, Message),
    /// The daemons that are considered live.
    Members(Arc<[Member]>),
    /// The services with calls that must not be repeated.
    Services(Box<[ServiceName]>),
}

/// An output of [`Claims::handle`], to be executed by the caller.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Calls the platform; its result is reported by [`Event::CallEnded`].
    Call(CallId, Priority, Operation),
    /// Responds to the claim request of this request.
    Respond(RequestId, ClaimResponse),
    Send(DaemonId, Message),
    /// The platform refused a call, a stored page is damaged, or an outcome was dropped.
    Rejected(Box<str>),
}

/// The claim state machine of one daemon. It performs no I/O itself.
#[derive(Clone, Debug)]
pub struct Claims {
    cfg: Config,
    daemon: DaemonId,
    incarnation: Incarnation,
    last_claim_number: u64,
    members: Arc<[Member]>,
    services: Box<[ServiceName]>,
    shards: IndexMap<ShardKey, Shard>,
    calls: IndexMap<CallId, ShardKey>,
    call: CallId,
    pending: IndexMap<ClaimId, Pending>,
    tickets: IndexMap<ClaimTicket, ClaimId>,
    /// Claims that this daemon has refused and never dispatches, although a write of them may still
    /// take effect.
    abandoned: IndexMap<ClaimId, Item>,
    suspects: IndexMap<DaemonId, Time>,
    budget: TokenBucket,
    first_shard_index: usize,
    collection: Option<(CallId, Collection)>,
    collect_at: Time,
}

impl Claims {
    pub fn new(cfg: Config, daemon: DaemonId, incarnation: Incarnation) -> Self {
        let budget = TokenBucket::new(f64::from(cfg.writes_per_second), WRITE_BURST);
        Self {
            cfg,
            daemon,
            incarnation,
            last_claim_number: 0,
            members: Arc::new([]),
            services: Box::default(),
            shards: IndexMap::new(),
            calls: IndexMap::new(),
            call: CallId(0),
            pending: IndexMap::new(),
            tickets: IndexMap::new(),
            abandoned: IndexMap::new(),
            suspects: IndexMap::new(),
            budget,
            first_shard_index: 0,
            collection: None,
            collect_at: Time(0) + COLLECT_INTERVAL,
        }
    }

    /// Returns the time at which [`Event::Woken`] is due, or `None` if nothing is scheduled.
    pub fn next_wakeup(&self) -> Option<Time> {
        let budget = self.budget.next_available();
        let shards = self.shards.values().filter_map(|shard| shard.next_wakeup(budget));
        let forwarded = self.pending.values().filter_map(|p| Some(p.forwarded.as_ref()?.1));
        let collect = self.collection.is_none().then_some(self.collect_at);
        let collect = collect.filter(|_| !self.services.is_empty());
        shards.chain(forwarded).chain(collect).min()
    }

    /// Returns the number of granted calls without an outcome plus the outcomes and releases that
    /// are not written yet.
    pub fn pending_writes(&self) -> usize {
        let ends =
            self.pending.values().filter(|pending| pending.item.operation != ItemOperation::Claim);
        self.tickets.len() + ends.count()
    }

    /// Processes an event and appends the resulting effects to `out`.
    pub fn handle(&mut self, now: Time, wall: WallTime, event: Event, out: &mut Vec<Effect>) {
        let cx = Context {
            now,
            wall,
            retention: self.cfg.retention,
            seal_bytes: self.cfg.seal_bytes,
            summary_pages: self.cfg.summary_pages,
        };
        match event {
            Event::Acquire(claim_request) => self.acquire(&cx, claim_request, out),
            Event::OutcomeReported(ticket, outcome) => {
                self.record_outcome(&cx, &ticket, outcome, out);
            }
            Event::CallEnded(call, result) => self.handle_call_result(&cx, call, result, out),
            Event::Woken => self.handle_wakeup(&cx, out),
            Event::Peer(from, Message::Item(item)) => {
                let deadline =
                    (item.operation == ItemOperation::Claim).then(|| now + self.cfg.claim_timeout);
                self.push(&cx, Origin::Peer(from), *item, deadline, out);
            }
            Event::Peer(from, Message::Answer(id, answer)) => {
                self.suspects.shift_remove(&from);
                self.handle_peer_answer(&cx, &id, answer, out);
            }
            Event::Members(members) => {
                self.members = members;
                self.share_budget();
            }
            Event::Services(services) => {
                self.services = services;
                self.share_budget();
            }
        }
    }

    /// Returns the live daemon with the highest rendezvous weight for the shard, or this daemon if
    /// no member is known.
    pub fn writer(&self, shard: &ShardKey) -> DaemonId {
        let weight = |daemon: &DaemonId| {
            xxh3_64(format!("{}/{}/{daemon}", shard.service, shard.number).as_bytes())
        };
        let live = self.members.iter().map(|member| &member.daemon);
        live.max_by_key(|daemon| weight(daemon)).unwrap_or(&self.daemon).clone()
    }

    fn all_shards(&self) -> impl Iterator<Item = ShardKey> {
        let of = |service: &ServiceName, number| ShardKey { service: service.clone(), number };
        self.services.iter().flat_map(move |service| (0..SHARDS).map(move |n| of(service, n)))
    }

    /// Sets this daemon's share of the write rate. The rate is divided into one part for each shard
    /// and one for each daemon. A daemon gets the parts of the shards that it writes, and one more
    /// for pages that it writes as a fallback.
    fn share_budget(&mut self) {
        let shards = self.services.len() * SHARDS as usize;
        let assigned = self.all_shards().filter(|shard| self.writer(shard) == self.daemon).count();
        let parts = shards + self.members.len().max(1);
        let part = (assigned + 1) as f64 / parts as f64;
        self.budget.set_rate(f64::from(self.cfg.writes_per_second) * part);
    }

    fn acquire(&mut self, cx: &Context, claim_request: ClaimRequest, out: &mut Vec<Effect>) {
        self.last_claim_number += 1;
        let number = self.last_claim_number;
        let id = ClaimId { daemon: self.daemon.clone(), incarnation: self.incarnation, number };
        let item = Item {
            id,
            key: item::record_key(&claim_request.key),
            service: claim_request.service,
            digest: claim_request.digest,
            request: claim_request.request,
            operation: ItemOperation::Claim,
        };
        self.submit(cx, item, Some(cx.now + self.cfg.claim_timeout), out);
    }

    fn push(
        &mut self,
        cx: &Context,
        origin: Origin,
        item: Item,
        deadline: Option<Time>,
        out: &mut Vec<Effect>,
    ) {
        let key = ShardKey::of(&item.service, &item.key);
        let wait = self.expected_wait(cx.now);
        if item.operation == ItemOperation::Claim && wait > self.cfg.claim_timeout {
            let retry_after = wait.max(MIN_RETRY_AFTER);
            let answer = ItemAnswer::Failed { retry_after, may_take_effect: false };
            return self.route_answer(cx, origin, item.id, answer, out);
        }
        let assigned = self.writer(&key) == self.daemon;
        let shard = self.shards.entry(key.clone()).or_insert_with(|| Shard::new(key.clone()));
        if !assigned {
            shard.discard_old_head(cx.now - MAX_HEAD_AGE);
        }
        let mut effects = Vec::new();
        shard.push(cx, origin, item, deadline, &mut effects);
        shard.advance(cx, &mut self.budget, &mut effects);
        self.execute_shard_effects(cx, &key, effects, out);
    }

    /// Returns the expected wait of a new item: until the budget allows a write, plus one write
    /// interval for each shard with queued items.
    fn expected_wait(&self, now: Time) -> Duration {
        let busy = self.shards.values().filter(|shard| shard.queued_items() > 0).count();
        self.budget.next_available().since(now) + self.budget.interval() * busy as u32
    }

    fn record_outcome(
        &mut self,
        cx: &Context,
        ticket: &ClaimTicket,
        outcome: ClaimOutcome,
        out: &mut Vec<Effect>,
    ) {
        let Some(id) = self.tickets.swap_remove(ticket) else { return };
        let operation = match outcome {
            ClaimOutcome::Ran(response) => ItemOperation::Store(item::limit_size(response)),
            ClaimOutcome::NotRun => ItemOperation::Release,
            ClaimOutcome::Unknown => return,
        };
        if self.pending.len() >= MAX_PENDING_ITEMS {
            let reason = format!(
                "claim outcome of request {} dropped: {MAX_PENDING_ITEMS} items are pending",
                ticket.request
            );
            return out.push(Effect::Rejected(reason.into()));
        }
        let item = Item {
            id,
            key: item::record_key(&ticket.key),
            service: ticket.service.clone(),
            digest: [0; 32],
            request: ticket.request.clone(),
            operation,
        };
        self.submit(cx, item, None, out);
    }

    fn handle_call_result(
        &mut self,
        cx: &Context,
        call: CallId,
        result: Result<Reply, CallError>,
        out: &mut Vec<Effect>,
    ) {
        if self.collection.as_ref().is_some_and(|(open, _)| *open == call) {
            return self.handle_collection_result(cx, result, out);
        }
        let Some(key) = self.calls.swap_remove(&call) else { return };
        let Some(shard) = self.shards.get_mut(&key) else { return };
        let mut effects = Vec::new();
        shard.handle_call_result(cx, result, &mut effects);
        shard.advance(cx, &mut self.budget, &mut effects);
        self.execute_shard_effects(cx, &key, effects, out);
    }

    fn handle_wakeup(&mut self, cx: &Context, out: &mut Vec<Effect>) {
        if self.collection.is_none() && self.collect_at <= cx.now {
            self.collect_at = cx.now + COLLECT_INTERVAL;
            self.collect(cx, out);
        }
        self.write_overdue_locally(cx, out);
        // Starts at a different shard each time, so that a small budget is shared by all of them.
        self.first_shard_index = self.first_shard_index.wrapping_add(1);
        for step in 0..self.shards.len() {
            let index = self.first_shard_index.wrapping_add(step) % self.shards.len();
            let Some((key, shard)) = self.shards.get_index_mut(index) else { continue };
            let key = key.clone();
            let mut effects = Vec::new();
            shard.advance(cx, &mut self.budget, &mut effects);
            self.execute_shard_effects(cx, &key, effects, out);
        }
    }

    /// Starts a collection over the shards that this daemon writes.
    fn collect(&mut self, cx: &Context, out: &mut Vec<Effect>) {
        let assigned: Vec<ShardKey> =
            self.all_shards().filter(|shard| self.writer(shard) == self.daemon).collect();
        let mut collection = Collection::new(assigned);
        if let Some(operation) = collection.first_call() {
            self.issue_collection_call(cx, collection, operation, out);
        }
    }

    fn handle_collection_result(
        &mut self,
        cx: &Context,
        result: Result<Reply, CallError>,
        out: &mut Vec<Effect>,
    ) {
        let Some((_, mut collection)) = self.collection.take() else { return };
        if let Some(operation) = collection.handle_call_result(cx, result) {
            self.issue_collection_call(cx, collection, operation, out);
        }
    }

    fn issue_collection_call(
        &mut self,
        cx: &Context,
        collection: Collection,
        operation: Operation,
        out: &mut Vec<Effect>,
    ) {
        self.call = self.call.next();
        self.collection = Some((self.call, collection));
        if operation.is_write() {
            self.budget.debit(cx.now);
        }
        out.push(Effect::Call(self.call, Priority::Background, operation));
    }

    fn execute_shard_effects(
        &mut self,
        cx: &Context,
        key: &ShardKey,
        effects: Vec<shard::Effect>,
        out: &mut Vec<Effect>,
    ) {
        for effect in effects {
            match effect {
                shard::Effect::Call(operation) => {
                    self.call = self.call.next();
                    self.calls.insert(self.call, key.clone());
                    out.push(Effect::Call(self.call, Priority::Safety, operation));
                }
                shard::Effect::Answer(origin, id, answer) => {
                    self.route_answer(cx, origin, id, answer, out);
                }
                shard::Effect::Rejected(reason) => out.push(Effect::Rejected(reason)),
            }
        }
    }
}
