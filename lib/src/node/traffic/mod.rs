//! The traffic state machine: the requests of one traffic thread, without I/O.
//!
//! [`Traffic::handle`] processes events of callers, upstreams and peers and returns effects for the
//! driver. `docs/design/requests.md` describes how requests are resumed and handed over.

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
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{
    claim::{ClaimOutcome, ClaimRequest, ClaimResponse, ClaimTicket},
    declaration::{RequestClass, ServiceKind},
    ids::{DaemonId, DataCentre, RequestId, ServiceName, UpstreamId, VersionName},
    limit::{
        self, Limits,
        memory::{MemoryBudget, Reservation},
        upstream::{Position, UpstreamLimits},
    },
    node::{report::AttemptReport, snapshot::Snapshot},
    peer::Recipient,
    placement::Placement,
    request::{
        AttemptId, CallerId, ExchangeId,
        crash_evidence::{self, CrashEvidence},
        exchange::{Exchange, Head, Header, StreamEnd, Target},
        failure::{FailedAttempt, RefusedRetry, RetryRefusal},
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

/// The number of crashes without a response in between after which a content is refused.
const MIN_CONTENT_CRASHES: usize = 2;
/// The memory for the responses of running requests, in bytes, beyond [`UNRESERVED_RESPONSE_BYTES`] each.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// Part of a response that needs no reservation; most completions are shorter.
const UNRESERVED_RESPONSE_BYTES: usize = 8 << 10;
/// A response grows in a buffer of up to twice its length.
const RESPONSE_COPIES: usize = 2;

/// The configuration of one traffic thread.
#[derive(Clone, Debug)]
pub struct TrafficConfig {
    /// The daemon, its run and the thread.
    pub origin: RequestOrigin,
    /// How many traffic threads the daemon has.
    pub threads: u16,
    /// The daemon's data centre.
    pub data_centre: DataCentre,
    /// The maximum duration of a graceful shutdown.
    pub drain_timeout: Duration,
    /// The seed of the random number generators.
    pub seed: u64,
}

/// A complete request of a caller.
#[derive(Debug)]
pub struct IncomingRequest {
    pub caller: CallerId,
    pub method: Box<str>,
    /// Path and query.
    pub path: Box<str>,
    /// The headers forwarded to the upstream.
    pub headers: Arc<[Header]>,
    pub body: Bytes,
    /// The SHA-256 of the bearer token.
    pub token: Option<[u8; 32]>,
    pub key: Option<Box<str>>,
    /// How long the caller waits for the response.
    pub deadline: Option<Duration>,
    /// How long the request has waited since it arrived in the socket.
    pub waited: Duration,
    /// The class that the caller requests; it can only be less urgent than that of the route.
    pub class: Option<RequestClass>,
    /// Proof that no upstream has seen the request.
    pub undispatched: Undispatched,
}

/// A request of a caller to resume the response of an earlier request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResumeRequest {
    pub caller: CallerId,
    pub request: RequestId,
    /// The id of the last event that the caller received.
    pub last_event: Option<u64>,
    /// The SHA-256 of the bearer token.
    pub token: Option<[u8; 32]>,
}

/// An input of the traffic state machine.
#[derive(Debug)]
pub enum Event {
    /// The control thread has published a snapshot; the second field is the wall-clock time.
    Snapshot(Arc<Snapshot>, WallTime),
    /// A request has arrived.
    RequestReceived(Box<IncomingRequest>),
    /// A caller resumes a response.
    ResumeRequested(ResumeRequest),
    /// A caller has closed its connection.
    CallerDisconnected(CallerId),
    /// An upstream has sent the head of its response.
    AttemptHead(AttemptId, Box<Head>),
    /// An upstream has sent a part of its response body.
    AttemptChunk(AttemptId, Bytes),
    /// An attempt has ended.
    AttemptEnded(AttemptId, StreamEnd),
    /// The move of a KV cache has ended; the flag is set if it succeeded.
    KvMoved(AttemptId, bool),
    /// The response to a claim request.
    Claim(RequestId, ClaimResponse),
    /// A request crashes upstreams and is refused for this long.
    Poison(Digest, Duration),
    /// A peer, or another thread of this daemon, reports crashes of upstreams.
    CrashEvidence(Box<crash_evidence::Report>),
    /// A peer, or another thread of this daemon, has sent a message.
    Peer(DaemonId, Message),
    /// A peer, or another thread of this daemon, reports limits that upstreams name.
    UpstreamLimits(Vec<limit::upstream::Report>),
    /// The time returned by [`Traffic::next_wakeup`] has been reached.
    Woken,
}

/// A request as it is sent to an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Dispatch {
    pub attempt: AttemptId,
    /// The id of the attempt at the upstream.
    pub name: Box<str>,
    /// Where the upstream listens.
    pub address: SocketAddr,
    pub upstream: UpstreamId,
    pub service: ServiceName,
    pub method: Box<str>,
    /// Path and query.
    pub path: Box<str>,
    /// The headers forwarded to the upstream.
    pub headers: Arc<[Header]>,
    pub body: Bytes,
    /// The time left until the deadline of the request.
    pub time_left: Duration,
    /// The caller whose connection applies backpressure; never set for completions.
    pub paced_by: Option<CallerId>,
}

/// An action for the driver of the traffic state machine.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a request to an upstream.
    Dispatch(Box<Dispatch>),
    /// Close the connection of an attempt; further events of it are ignored.
    CloseAttempt(AttemptId),
    /// Cancel an attempt at an engine.
    CancelAttempt(SocketAddr, Box<str>),
    /// Move the KV cache of an attempt to another engine and report the result as
    /// [`Event::KvMoved`].
    MoveKv {
        attempt: AttemptId,
        /// The id of the attempt at the upstream.
        name: Box<str>,
        /// The engine that holds the cache.
        from: SocketAddr,
        /// The engine that receives it.
        to: SocketAddr,
    },
    /// Start the response to a caller with this head; the body follows in parts.
    StartResponse(CallerId, RequestId, Box<Head>, BodyOrigin),
    /// Send a part of the response body to a caller.
    SendBody(CallerId, Bytes),
    /// End the response started by [`Effect::StartResponse`].
    EndResponse(CallerId),
    /// Send a caller a complete response.
    SendFullResponse(CallerId, RequestId, Box<Head>, Bytes),
    /// Send a caller this refusal, or end with it the response that has begun.
    Refuse(CallerId, Box<Refusal>),
    /// Request a claim from the control thread; [`Event::Claim`] is the response.
    RequestClaim(ClaimRequest),
    /// Report the outcome of a claimed call to the control thread.
    EndClaim(ClaimTicket, ClaimOutcome),
    /// Report the end of an attempt to the control thread.
    ReportAttempt(Box<AttemptReport>),
    /// Report to the control thread that an upstream has said that it leaves after this time.
    ReportLeaving(UpstreamId, Duration),
    /// Log that an attempt failed.
    LogFailedAttempt(Box<FailedAttempt>),
    /// Log that a request is not sent to another upstream.
    LogRefusedRetry(Box<RefusedRetry>),
    /// Log that requests are refused because upstreams crash with them, or no longer are.
    LogCrashCause(crash_evidence::Change),
    /// Log the limit that an upstream names.
    LogUpstreamLimit(limit::upstream::Change),
    /// Send a message to peers, or to another thread of this daemon.
    Send(Recipient, Message),
}

/// Who writes the body of a response that is sent in parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyOrigin {
    /// The daemon, which ends an incomplete event stream with an event of its own.
    Daemon,
    /// An upstream, whose bytes are forwarded unchanged. The daemon adds nothing to them, and closes
    /// the connection if the body is incomplete.
    Upstream,
}

/// What a request is waiting for.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    /// The response to its claim request.
    Claiming,
    /// The time of the next attempt.
    Waiting {
        until: Time,
        /// Whether the retry budget has yet to grant the attempt.
        needs_grant: bool,
    },
    Running,
    /// A peer's reply to the offer of a handover.
    HandingOver {
        to: DaemonId,
        others: Vec<DaemonId>,
        until: Time,
    },
}

/// The receiver of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Reader {
    Caller(CallerId),
    Peer(DaemonId, FetchId),
}

/// A reader and its position in the response.
#[derive(Clone, Debug, PartialEq, Eq)]
struct ReaderState {
    reader: Reader,
    next: u64,
    stream: bool,
    /// Whether the response head has been sent.
    responded: bool,
}

/// The state of one request.
#[derive(Debug)]
#[expect(clippy::struct_excessive_bools, reason = "independent facts about one request")]
struct Entry {
    exchange: Exchange,
    phase: Phase,
    reader_state: Option<ReaderState>,
    /// Whether a caller may know the id of the request, so that it can resume the response.
    is_resumable: bool,
    /// When the caller disconnected; `None` while there is a reader, and for a claimed call, which
    /// continues without one.
    disconnected_since: Option<Time>,
    ticket: Option<ClaimTicket>,
    /// The upstreams at which an attempt failed.
    failed: Vec<UpstreamId>,
    /// Whether an attempt was given up at a silent upstream, which might have responded.
    has_left_silent: bool,
    /// Whether an upstream crashed while running the request.
    is_suspect: bool,
    /// Whether the response has been recorded as proof that the request does not crash upstreams.
    is_sound: bool,
    /// The upstream that the KV cache is being moved to.
    kv_target: Option<Target>,
    /// Whether the request has been offered to a peer for handover.
    was_offered: bool,
    /// Whether the request counts towards the admission limits of this thread.
    admitted: bool,
    /// The time from arrival to the start of the response.
    first_token: Option<Duration>,
    /// The retry delay requested by the last upstream that refused the request.
    retry_after: Option<Duration>,
    /// Why the request was last not sent to another upstream, since its last attempt began.
    retry_refusal: Option<RetryRefusal>,
    /// When the earliest pending timer of the request fires.
    armed: Option<Time>,
    /// The memory of the response so far.
    memory: Reservation,
}

/// The purpose of a timer.
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
    /// The limits that upstreams name.
    upstream_limits: UpstreamLimits,
    entries: IndexMap<ExchangeId, Entry>,
    by_request: IndexMap<RequestId, ExchangeId>,
    by_caller: IndexMap<CallerId, ExchangeId>,
    fetches: IndexMap<CallerId, FetchState>,
    outstanding_by_version: IndexMap<(ServiceName, VersionName), u32>,
    timers: BinaryHeap<Reverse<(Time, Timer)>>,
    poison: PoisonRequests,
    crash_evidence: CrashEvidence,
    retained: RetainedResponses,
    /// The memory for the responses of running requests.
    response_memory: Arc<MemoryBudget>,
    kv_moves: usize,
    handover_start: Option<Time>,
    random: Pcg32,
    last_number: u64,
}

impl Traffic {
    /// Creates the traffic state of one thread; it is not ready before its first snapshot.
    pub fn new(cfg: TrafficConfig) -> Self {
        Self {
            snapshot: Arc::default(),
            leaving: IndexMap::new(),
            placement: Placement::with_seed(cfg.data_centre.clone(), cfg.seed),
            limits: Limits::new(),
            upstream_limits: UpstreamLimits::default(),
            entries: IndexMap::new(),
            by_request: IndexMap::new(),
            by_caller: IndexMap::new(),
            fetches: IndexMap::new(),
            outstanding_by_version: IndexMap::new(),
            timers: BinaryHeap::new(),
            poison: PoisonRequests::default(),
            crash_evidence: CrashEvidence::new(MIN_CONTENT_CRASHES),
            retained: RetainedResponses::default(),
            response_memory: MemoryBudget::for_buffers(
                MAX_RESPONSE_BYTES,
                UNRESERVED_RESPONSE_BYTES,
                RESPONSE_COPIES,
            ),
            kv_moves: 0,
            handover_start: None,
            random: Pcg32::seed_from_u64(cfg.seed),
            last_number: 0,
            cfg,
        }
    }

    /// Returns when [`Event::Woken`] is due.
    pub fn next_wakeup(&self) -> Option<Time> {
        self.timers.peek().map(|Reverse((at, _))| *at)
    }

    /// Returns the number of unfinished requests.
    pub fn unfinished(&self) -> usize {
        self.entries.len()
    }

    /// Processes an event and appends the resulting effects to `out`.
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
            Event::CrashEvidence(report) => self.crash_evidence.merge(now, *report),
            Event::UpstreamLimits(reports) => self.upstream_limits.merge(now, reports),
            Event::Woken => self.handle_wakeup(now, out),
        }
        self.share_crash_evidence(now, out);
        if self.upstream_limits.take_news() {
            let reports = self.upstream_limits.reports(now);
            out.push(Effect::Send(Recipient::Flood, Message::UpstreamLimits(reports)));
        }
        out.extend(self.upstream_limits.take_changes().into_iter().map(Effect::LogUpstreamLimit));
    }

    /// Sends new evidence to all daemons, and reports what is refused from now on.
    fn share_crash_evidence(&mut self, now: Time, out: &mut Vec<Effect>) {
        if self.crash_evidence.take_news() {
            let report = Box::new(self.crash_evidence.report(now));
            out.push(Effect::Send(Recipient::Flood, Message::CrashEvidence(report)));
        }
        out.extend(self.crash_evidence.take_changes().into_iter().map(Effect::LogCrashCause));
    }

    /// Returns this thread's position among the traffic threads of all daemons, by rendezvous hashing with
    /// an upstream.
    fn position(snapshot: &Snapshot, cfg: &TrafficConfig, upstream: &UpstreamId) -> Position {
        let seed = xxh3_64(upstream.as_str().as_bytes());
        let weight = |daemon: &DaemonId, thread: u16| {
            xxh3_64_with_seed(daemon.as_str().as_bytes(), seed.wrapping_add(thread.into()))
        };
        let own = weight(&cfg.origin.daemon, cfg.origin.thread);
        let daemons = snapshot.members.iter().map(|member| &member.daemon);
        let precedes =
            |daemon| (0..cfg.threads).filter(|thread| weight(daemon, *thread) > own).count();
        let rank = daemons.map(precedes).sum::<usize>() as u32;
        let count = snapshot.members.len().max(1) as u32 * u32::from(cfg.threads.max(1));
        Position { rank, count }
    }

    /// Returns this thread's position in the order in which the traffic threads of all daemons probe
    /// what crashes upstreams.
    fn probe_rank(snapshot: &Snapshot, cfg: &TrafficConfig) -> u32 {
        let own = &cfg.origin.daemon;
        let daemons = snapshot.members.iter().filter(|member| member.daemon < *own).count() as u32;
        daemons * u32::from(cfg.threads) + u32::from(cfg.origin.thread)
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
        self.crash_evidence.expire(now);
        self.upstream_limits.expire(now);
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
            Message::CrashEvidence(report) => self.crash_evidence.merge(now, *report),
            Message::UpstreamLimits(reports) => self.upstream_limits.merge(now, reports),
            Message::Fetch(fetch) => self.handle_fetch(now, from, fetch, out),
            Message::FetchResponse(part) => self.handle_fetch_response(now, part, out),
            Message::HandOver(handover) => self.accept_handover(now, &from, *handover, out),
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
