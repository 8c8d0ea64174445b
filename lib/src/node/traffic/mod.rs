//! The traffic part of a daemon: the requests of one traffic thread, without I/O.
//!
//! [`Traffic::handle`] takes what happened to callers, upstreams and peers and returns what is to
//! be done. `docs/design/requests.md` says how requests are resumed and handed over.

mod arrive;
mod attempt;
mod choose;
mod deliver;
mod fetch;
mod handover;
mod reclaim;

use std::{cmp::Reverse, collections::BinaryHeap, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use indexmap::IndexMap;
use rand::{Rng as _, SeedableRng as _};
use rand_pcg::Pcg32;

use crate::{
    claim::{ClaimOutcome, ClaimRequest, ClaimResponse, ClaimTicket},
    declaration::{RequestClass, ServiceKind},
    ids::{DaemonId, DataCentre, RequestId, ServiceName, UpstreamId, VersionName},
    limit::Limits,
    node::{report::AttemptReport, snapshot::Snapshot},
    peer::Recipient,
    placement::Placement,
    request::{
        AttemptId, CallerId, ExchangeId,
        exchange::{Exchange, Head, Header, StreamEnd, Target},
        message::{FetchId, Message},
        outcome::Undispatched,
        poison::{Digest, PoisonRequests},
        refusal::Refusal,
        request_id::RequestOrigin,
        retained::RetainedResponses,
    },
    units::{Time, WallTime},
};

use self::fetch::FetchState;

/// What one traffic thread is told at its start.
#[derive(Clone, Debug)]
pub struct TrafficConfig {
    /// The daemon, its run and the thread.
    pub origin: RequestOrigin,
    /// How many traffic threads the daemon has.
    pub threads: u16,
    /// The daemon's data centre.
    pub data_centre: DataCentre,
    /// The longest that a graceful shutdown takes.
    pub drain_timeout: Duration,
    /// The seed of every random choice.
    pub seed: u64,
}

/// A request of a caller, whole.
#[derive(Debug)]
pub struct IncomingRequest {
    /// The caller that waits for the answer.
    pub caller: CallerId,
    /// The method.
    pub method: Box<str>,
    /// Path and query.
    pub path: Box<str>,
    /// The headers that are passed on.
    pub headers: Arc<[Header]>,
    /// The body.
    pub body: Bytes,
    /// The SHA-256 of the bearer token.
    pub token: Option<[u8; 32]>,
    /// The idempotency key.
    pub key: Option<Box<str>>,
    /// How long the caller waits for the answer.
    pub deadline: Option<Duration>,
    /// How urgent the caller says it is; it can only make it less urgent than its route.
    pub class: Option<RequestClass>,
    /// Shows that no upstream has seen the request.
    pub undispatched: Undispatched,
}

/// A caller that asks for the answer of an earlier request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResumeRequest {
    /// The caller.
    pub caller: CallerId,
    /// The request.
    pub request: RequestId,
    /// The id of the last event that the caller got.
    pub last_event: Option<u64>,
    /// The SHA-256 of the bearer token.
    pub token: Option<[u8; 32]>,
}

/// What the traffic part is told.
#[derive(Debug)]
pub enum Event {
    /// The control thread has published a snapshot; the wall clock shows this time.
    Snapshot(Arc<Snapshot>, WallTime),
    /// A request has arrived.
    RequestReceived(Box<IncomingRequest>),
    /// A caller comes back for an answer.
    ResumeRequested(ResumeRequest),
    /// A caller has closed its connection.
    CallerDisconnected(CallerId),
    /// An upstream has answered with this head.
    AttemptHead(AttemptId, Box<Head>),
    /// An upstream has sent a part of its answer.
    AttemptChunk(AttemptId, Bytes),
    /// An attempt has ended.
    AttemptEnded(AttemptId, StreamEnd),
    /// A KV cache was brought to the upstream that goes on, or could not be.
    KvMoved(AttemptId, bool),
    /// A claim was answered.
    Claim(RequestId, ClaimResponse),
    /// A request crashes upstreams and is refused for this long.
    Poison(Digest, Duration),
    /// A peer, or another thread of this daemon, has sent a message.
    Peer(DaemonId, Message),
    /// The time of [`Traffic::next_wakeup`] has come.
    Woken,
}

/// A request as it is sent to an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Dispatch {
    /// The attempt.
    pub attempt: AttemptId,
    /// The name of the attempt at the upstream.
    pub name: Box<str>,
    /// Where the upstream listens.
    pub address: SocketAddr,
    /// The upstream.
    pub upstream: UpstreamId,
    /// The method.
    pub method: Box<str>,
    /// Path and query.
    pub path: Box<str>,
    /// The headers that are passed on.
    pub headers: Arc<[Header]>,
    /// The body.
    pub body: Bytes,
    /// The time left.
    pub time_left: Duration,
    /// The caller whose connection sets the pace, if the answer may be passed on in parts.
    pub paced_by: Option<CallerId>,
}

/// What the traffic part wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a request to an upstream.
    Dispatch(Box<Dispatch>),
    /// Close the connection of an attempt; what it still brings counts for nothing.
    CloseAttempt(AttemptId),
    /// Tell an engine that nobody waits for an attempt.
    CancelAttempt(SocketAddr, Box<str>),
    /// Bring the KV cache of an attempt to another engine, and answer with [`Event::KvMoved`].
    MoveKv {
        /// The attempt.
        attempt: AttemptId,
        /// Its name at the upstream.
        name: Box<str>,
        /// The engine that holds the cache.
        from: SocketAddr,
        /// The engine that is to hold it.
        to: SocketAddr,
    },
    /// Begin the answer to a caller with this head; parts follow.
    StartResponse(CallerId, RequestId, Box<Head>),
    /// Send a part of the answer to a caller.
    SendBody(CallerId, Bytes),
    /// End the answer that [`Effect::StartResponse`] began.
    EndResponse(CallerId),
    /// Give a caller its whole answer at once.
    SendFullResponse(CallerId, RequestId, Box<Head>, Bytes),
    /// Give a caller this final answer, or end with it the answer that has begun.
    Refuse(CallerId, Box<Refusal>),
    /// Ask the control thread for a claim; [`Event::Claim`] answers it.
    RequestClaim(ClaimRequest),
    /// Tell the control thread how a claimed call ended.
    EndClaim(ClaimTicket, ClaimOutcome),
    /// Tell the control thread how an attempt ended.
    ReportAttempt(Box<AttemptReport>),
    /// Send a message to peers, or to another thread of this daemon.
    Send(Recipient, Message),
}

/// What a request waits for.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    /// The answer of a claim.
    Claiming,
    /// The time of the next attempt.
    Waiting { until: Time },
    /// The upstream.
    Running,
    /// A peer's word that it goes on with the request.
    HandingOver { to: DaemonId, others: Vec<DaemonId>, until: Time },
}

/// Who reads an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Reader {
    Caller(CallerId),
    Peer(DaemonId, FetchId),
}

/// A reader with how far it has read.
#[derive(Clone, Debug, PartialEq, Eq)]
struct ReaderState {
    reader: Reader,
    next: u64,
    stream: bool,
    responded: bool,
}

/// One request with all that is decided about it.
#[derive(Debug)]
#[expect(clippy::struct_excessive_bools, reason = "what happened to it, in any combination")]
struct Entry {
    exchange: Exchange,
    phase: Phase,
    reader_state: Option<ReaderState>,
    /// Whether a caller has been told the request's name, so that it may come back.
    is_resumable: bool,
    disconnected_since: Option<Time>,
    ticket: Option<ClaimTicket>,
    failed: Vec<UpstreamId>,
    /// Whether an upstream crashed with the request.
    is_suspect: bool,
    kv_target: Option<Target>,
    was_offered: bool,
    admitted: bool,
    first_token: Option<Duration>,
    retry_after: Option<Duration>,
    armed: Option<Time>,
}

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Exchange(ExchangeId),
    Fetch(CallerId),
    Drain,
}

/// The requests of one traffic thread.
#[derive(Debug)]
pub struct Traffic {
    cfg: TrafficConfig,
    snapshot: Arc<Snapshot>,
    leaving: IndexMap<UpstreamId, Time>,
    placement: Placement,
    limits: Limits,
    entries: IndexMap<ExchangeId, Entry>,
    by_request: IndexMap<RequestId, ExchangeId>,
    by_caller: IndexMap<CallerId, ExchangeId>,
    fetches: IndexMap<CallerId, FetchState>,
    outstanding_by_version: IndexMap<(ServiceName, VersionName), u32>,
    timers: BinaryHeap<Reverse<(Time, Timer)>>,
    poison: PoisonRequests,
    retained: RetainedResponses,
    kv_moves: usize,
    handover_start: Option<Time>,
    random: Pcg32,
    last_number: u64,
}

impl Traffic {
    /// Makes the traffic part of one thread, which is not ready before its first snapshot.
    pub fn new(cfg: TrafficConfig) -> Self {
        Self {
            snapshot: Arc::default(),
            leaving: IndexMap::new(),
            placement: Placement::with_seed(cfg.data_centre.clone(), cfg.seed),
            limits: Limits::new(),
            entries: IndexMap::new(),
            by_request: IndexMap::new(),
            by_caller: IndexMap::new(),
            fetches: IndexMap::new(),
            outstanding_by_version: IndexMap::new(),
            timers: BinaryHeap::new(),
            poison: PoisonRequests::default(),
            retained: RetainedResponses::default(),
            kv_moves: 0,
            handover_start: None,
            random: Pcg32::seed_from_u64(cfg.seed),
            last_number: 0,
            cfg,
        }
    }

    /// Returns when [`Event::Woken`] is wanted.
    pub fn next_wakeup(&self) -> Option<Time> {
        self.timers.peek().map(|Reverse((at, _))| *at)
    }

    /// Returns how many requests have no final answer yet.
    pub fn unfinished(&self) -> usize {
        self.entries.len()
    }

    /// Takes an event and adds the effects that follow from it.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Snapshot(snapshot, wall) => self.apply_snapshot(now, snapshot, wall, out),
            Event::RequestReceived(arrival) => self.receive_request(now, *arrival, out),
            Event::ResumeRequested(resumption) => self.receive_resume(now, resumption, out),
            Event::CallerDisconnected(caller) => self.handle_disconnect(now, caller, out),
            Event::AttemptHead(attempt, head) => self.handle_head(now, attempt, *head, out),
            Event::AttemptChunk(attempt, bytes) => self.handle_chunk(now, attempt, &bytes, out),
            Event::AttemptEnded(attempt, end) => self.handle_stream_end(now, attempt, end, out),
            Event::KvMoved(attempt, moved) => self.handle_kv_moved(now, attempt, moved, out),
            Event::Claim(request, answer) => self.handle_claim(now, &request, answer, out),
            Event::Peer(from, message) => self.handle_message(now, from, message, out),
            Event::Poison(digest, refused_for) => {
                self.poison.refuse(now, digest, refused_for);
            }
            Event::Woken => self.handle_wakeup(now, out),
        }
    }

    fn apply_snapshot(
        &mut self,
        now: Time,
        snapshot: Arc<Snapshot>,
        wall: WallTime,
        out: &mut Vec<Effect>,
    ) {
        self.snapshot = snapshot;
        self.placement.refresh(&self.snapshot.hosts);
        self.limits.refresh(self.snapshot.set.clone());
        if self.snapshot.draining && self.handover_start.is_none() {
            self.begin_drain(now);
        }
        self.update_leaving(now, wall, out);
    }

    fn handle_wakeup(&mut self, now: Time, out: &mut Vec<Effect>) {
        self.retained.expire(now);
        while let Some(Reverse((at, timer))) = self.timers.peek().copied() {
            if at > now {
                return;
            }
            self.timers.pop();
            match timer {
                Timer::Exchange(id) => self.exchange_timer(now, id, out),
                Timer::Fetch(caller) => self.fetch_timer(now, caller, out),
                Timer::Drain => self.hand_over_all(now, out),
            }
        }
    }

    fn handle_message(
        &mut self,
        now: Time,
        from: DaemonId,
        message: Message,
        out: &mut Vec<Effect>,
    ) {
        match message {
            Message::Poison { digest, refused_for } => {
                self.poison.refuse(now, digest, refused_for);
            }
            Message::Fetch(fetch) => self.handle_fetch(now, from, fetch, out),
            Message::FetchResponse(pieces) => self.handle_fetch_response(now, pieces, out),
            Message::HandOver(handover) => self.accept_handover(now, from, *handover, out),
            Message::HandOverReply { request, accepted } => {
                self.handle_handover_reply(now, &from, &request, accepted, out);
            }
        }
    }

    fn arm(&mut self, id: ExchangeId, at: Time) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        if entry.armed.is_none_or(|armed| at < armed) {
            entry.armed = Some(at);
            self.timers.push(Reverse((at, Timer::Exchange(id))));
        }
    }

    fn random(&mut self) -> u64 {
        self.random.next_u64()
    }

    fn is_model(&self, service: &ServiceName) -> bool {
        let found = self.snapshot.set.services.get(service);
        found.is_some_and(|service| service.kind == ServiceKind::Model)
    }
}
