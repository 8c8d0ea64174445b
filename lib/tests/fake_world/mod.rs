//! The traffic state machines of several daemons with fake upstreams, claims, links and callers.
//!
//! The world checks after each step that each token a caller receives is the next one of the
//! expected response, that each request body sent to an engine resumes from the correct text, that
//! no upstream has acted on a request refused as not run, and that no idempotency key runs twice.

#![allow(dead_code, reason = "each test uses only some of the helpers")]

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use dogwoodturn::{
    claim::{ClaimOutcome, ClaimRequest, ClaimResponse, ClaimTicket},
    declaration::check,
    ids::{DaemonId, Generation, Incarnation, RequestId, ServiceName},
    ini::Source,
    limit::upstream::RequestRate,
    moves::share::TrafficSplit,
    node::{
        report::AttemptReport,
        snapshot::Snapshot,
        traffic::{
            Dispatch, Effect, Event, IncomingRequest, ResumeRequest, Traffic, TrafficConfig,
        },
    },
    peer::{Member, Recipient},
    request::{
        AttemptId, CallerId,
        completion::{CompletionWire, ResponseEventWire},
        exchange::{Head, StreamEnd},
        message::Message,
        outcome::{RunOutcome, Undispatched},
        refusal::{Refusal, RefusalKind},
        request_id::RequestOrigin,
        sse::SseReader,
    },
    store::cloud::HostKind,
    units::{Time, WallTime},
    upstream::{HostRecord, HostState},
};
use dogwoodturn_standins::engine::token;
use indexmap::{IndexMap, IndexSet};

pub const ENGINES: usize = 4;
const DECLARATIONS: &str = "
[service llm]
kind = model
version = v1
repeat = safe
first-token = 880ms
between-tokens = 60ms
[version llm/v1]
[service bard]
kind = model
version = v1
repeat = never
first-token = 880ms
between-tokens = 60ms
[version bard/v1]
[service ledger]
kind = plain
version = v1
repeat = never
repeat-get = safe
[version ledger/v1]
[route phrases]
path = /phrases
service = llm
class = interactive
deadline = 30s
[route glossaries]
path = /glossaries
service = llm
class = batch
deadline = 2m
[route verses]
path = /verses
service = bard
class = interactive
deadline = 30s
[route books]
path = /books
service = ledger
class = interactive
deadline = 10s
";

/// The request that a caller sent.
#[derive(Clone, Debug)]
pub enum Sent {
    Completion { prompt: String, max_tokens: u64 },
    Call { key: Option<String>, method: &'static str },
    Resume,
}

/// How a caller's response ended.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    Finished,
    Refused(Refusal),
    Disconnected,
}

/// A caller and what it received.
#[derive(Debug)]
pub struct Caller {
    attempts_before: usize,
    pub sent: Sent,
    pub prompt: String,
    pub max_tokens: u64,
    pub request: Option<RequestId>,
    pub next: u64,
    pub done: bool,
    pub end: Option<End>,
    reader: SseReader,
}

/// An attempt at a fake upstream.
#[expect(clippy::struct_excessive_bools, reason = "independent facts about one attempt")]
#[derive(Debug)]
pub struct Attempt {
    pub node: usize,
    pub id: AttemptId,
    pub request: RequestId,
    pub host: usize,
    pub name: Box<str>,
    pub closed: bool,
    pub ended: bool,
    pub has_head: bool,
    pub may_have_acted: bool,
    has_run: bool,
    pub next: u64,
    held_back: Vec<u8>,
    wire: Option<CompletionWire>,
    key: Option<String>,
}

pub struct Node {
    pub traffic: Traffic,
    pub daemon: DaemonId,
    pub draining: bool,
    pub reports: Vec<AttemptReport>,
    pub kv_moves: Vec<AttemptId>,
    last_caller: u64,
}

#[derive(Clone, Debug, PartialEq)]
enum ClaimState {
    Held(RequestId),
    Ended(ClaimOutcome),
}

pub struct World {
    /// The limits that the hosts name in their responses.
    pub rate_limits: [Option<RequestRate>; ENGINES],
    pub now: Time,
    pub nodes: Vec<Node>,
    pub hosts: Vec<HostRecord>,
    pub callers: IndexMap<(usize, CallerId), Caller>,
    pub attempts: Vec<Attempt>,
    pub links: Vec<(usize, usize, Message)>,
    pub claims_unavailable: bool,
    pub pending_claims: Vec<(usize, ClaimRequest)>,
    pub runs: IndexMap<String, u64>,
    pub cancelled: Vec<Box<str>>,
    pub splits: IndexMap<ServiceName, TrafficSplit>,
    not_run: IndexSet<RequestId>,
    claims: IndexMap<String, ClaimState>,
    set: Arc<dogwoodturn::declaration::DeclarationSet>,
}

fn host(service: &str, index: usize) -> HostRecord {
    let name = format!("{service}-{index}");
    HostRecord {
        host: name.parse().expect("a name"),
        upstream: name.parse().expect("a name"),
        address: ([127, 0, 0, 1], 1000 + index as u16).into(),
        data_centre: "a".parse().expect("a name"),
        zone: "a".parse().expect("a name"),
        class: "standard".parse().expect("a name"),
        kind: HostKind::Reclaimable,
        service: service.parse().expect("a name"),
        version: "v1".parse().expect("a name"),
        state: HostState::Live,
    }
}

impl World {
    pub fn new(daemons: usize, seed: u64) -> Self {
        let source = Source { file: "test.ini".into(), text: DECLARATIONS.into() };
        let set = Arc::new(check::check(&[source]).expect("the declarations are valid").set);
        let engines = (0..ENGINES).map(|index| host("llm", index));
        let ledgers = (0..2).map(|index| host("ledger", ENGINES + index));
        let bards = (2..4).map(|index| host("bard", ENGINES + index));
        let hosts = engines.chain(ledgers).chain(bards).collect();
        let node = |index: usize| {
            let daemon: DaemonId = format!("d{index}").parse().expect("a name");
            let origin =
                RequestOrigin { daemon: daemon.clone(), incarnation: Incarnation(1), thread: 0 };
            let cfg = TrafficConfig {
                origin,
                threads: 1,
                data_centre: "a".parse().expect("a name"),
                drain_timeout: Duration::from_secs(10),
                seed: seed + index as u64,
            };
            let traffic = Traffic::new(cfg);
            let (reports, kv_moves) = (Vec::new(), Vec::new());
            Node { traffic, daemon, draining: false, reports, kv_moves, last_caller: 0 }
        };
        let mut world = Self {
            rate_limits: [None; ENGINES],
            now: Time(0),
            nodes: (0..daemons).map(node).collect(),
            hosts,
            callers: IndexMap::new(),
            attempts: Vec::new(),
            links: Vec::new(),
            claims_unavailable: false,
            pending_claims: Vec::new(),
            runs: IndexMap::new(),
            cancelled: Vec::new(),
            splits: IndexMap::new(),
            not_run: IndexSet::new(),
            claims: IndexMap::new(),
            set,
        };
        world.publish_snapshots();
        world
    }

    pub fn wall(&self) -> WallTime {
        WallTime(self.now.0 / 1000)
    }

    /// Publishes a snapshot at each node.
    pub fn publish_snapshots(&mut self) {
        let members: Arc<[Member]> = self.nodes.iter().map(member).collect();
        for node in 0..self.nodes.len() {
            let snapshot = Snapshot {
                generation: Generation(1),
                set: self.set.clone(),
                hosts: self.hosts.clone().into(),
                members: members.clone(),
                traffic_splits: Arc::new(self.splits.clone()),
                config_fresh: true,
                draining: self.nodes[node].draining,
                ..Snapshot::default()
            };
            let wall = self.wall();
            self.handle_event(node, Event::Snapshot(Arc::new(snapshot), wall));
        }
    }

    pub fn handle_event(&mut self, node: usize, event: Event) {
        let mut out = Vec::new();
        self.nodes[node].traffic.handle(self.now, event, &mut out);
        for effect in out {
            self.apply_effect(node, effect);
        }
    }

    /// Advances the time, waking each node when its wake-up is due.
    pub fn advance(&mut self, duration: Duration) {
        let end = self.now + duration;
        loop {
            let due = (0..self.nodes.len())
                .filter_map(|node| Some((self.nodes[node].traffic.next_wakeup()?, node)))
                .min();
            match due {
                Some((at, node)) if at <= end => {
                    self.now = self.now.max(at);
                    self.handle_event(node, Event::Woken);
                }
                _ => break,
            }
        }
        self.now = end;
    }

    fn add_caller(&mut self, node: usize, sent: Sent) -> CallerId {
        self.nodes[node].last_caller += 1;
        let id = CallerId(self.nodes[node].last_caller);
        let (prompt, max_tokens) = match &sent {
            Sent::Completion { prompt, max_tokens, .. } => (prompt.clone(), *max_tokens),
            _ => (String::new(), 0),
        };
        let caller = Caller {
            attempts_before: self.attempts.len(),
            sent,
            prompt,
            max_tokens,
            request: None,
            next: 0,
            done: false,
            end: None,
            reader: SseReader::default(),
        };
        self.callers.insert((node, id), caller);
        id
    }

    fn send_request(&mut self, node: usize, sent: Sent, path: &str, body: Vec<u8>) -> CallerId {
        let (method, key) = match &sent {
            Sent::Call { key, method } => (*method, key.clone()),
            _ => ("POST", None),
        };
        let caller = self.add_caller(node, sent);
        let headers = match &key {
            Some(key) => vec![("idempotency-key".into(), Bytes::from(key.clone()))],
            None => Vec::new(),
        };
        let incoming = IncomingRequest {
            caller,
            method: method.into(),
            path: path.into(),
            headers: headers.into(),
            body: body.into(),
            token: None,
            key: key.map(Into::into),
            deadline: None,
            waited: Duration::ZERO,
            class: None,
            undispatched: Undispatched::begin(),
        };
        self.handle_event(node, Event::RequestReceived(Box::new(incoming)));
        caller
    }

    pub fn complete(
        &mut self,
        node: usize,
        prompt: &str,
        max_tokens: u64,
        stream: bool,
    ) -> CallerId {
        self.complete_on_route("/phrases", node, prompt, max_tokens, stream)
    }

    pub fn complete_on_route(
        &mut self,
        route: &str,
        node: usize,
        prompt: &str,
        max_tokens: u64,
        stream: bool,
    ) -> CallerId {
        let sent = Sent::Completion { prompt: prompt.into(), max_tokens };
        let body =
            serde_json::json!({ "prompt": prompt, "max_tokens": max_tokens, "stream": stream });
        let path = format!("{route}/v1/completions");
        self.send_request(node, sent, &path, body.to_string().into_bytes())
    }

    pub fn call(&mut self, node: usize, method: &'static str, key: Option<&str>) -> CallerId {
        let sent = Sent::Call { key: key.map(str::to_owned), method };
        self.send_request(node, sent, "/books", b"{}".to_vec())
    }

    /// Resumes the response of a caller at a node.
    pub fn resume_response(&mut self, before: (usize, CallerId), node: usize) -> Option<CallerId> {
        let old = &self.callers[&before];
        let (request, next) = (old.request.clone()?, old.next);
        let (prompt, max_tokens) = (old.prompt.clone(), old.max_tokens);
        let caller = self.add_caller(node, Sent::Resume);
        let new = &mut self.callers[&(node, caller)];
        (new.prompt, new.max_tokens, new.next) = (prompt, max_tokens, next);
        new.request = Some(request.clone());
        let last_event = next.checked_sub(1);
        let resume_request = ResumeRequest { caller, request, last_event, token: None };
        self.handle_event(node, Event::ResumeRequested(resume_request));
        Some(caller)
    }

    pub fn disconnect(&mut self, id: (usize, CallerId)) {
        let caller = &mut self.callers[&id];
        if caller.end.is_none() {
            caller.end = Some(End::Disconnected);
            self.handle_event(id.0, Event::CallerDisconnected(id.1));
        }
    }

    pub fn end_of(&self, node: usize, caller: CallerId) -> Option<&End> {
        self.callers[&(node, caller)].end.as_ref()
    }

    /// Returns the open attempts, oldest first.
    pub fn open_attempts(&self) -> Vec<usize> {
        (0..self.attempts.len()).filter(|&i| self.is_open(i)).collect()
    }

    pub fn is_open(&self, index: usize) -> bool {
        !self.attempts[index].closed && !self.attempts[index].ended
    }

    /// Sends tokens of an engine, or the response of a plain service.
    ///
    /// The last `hold_back` bytes are sent with the next tokens, so that events are split anywhere.
    pub fn progress(&mut self, index: usize, tokens: u64, hold_back: usize) {
        if !self.is_open(index) {
            return;
        }
        let attempt = &mut self.attempts[index];
        let (node, id) = (attempt.node, attempt.id);
        if attempt.wire.is_none() {
            return self.send_plain_response(index, 200);
        }
        if !std::mem::replace(&mut attempt.has_head, true) {
            let rate_limit = self.rate_limits.get(attempt.host).copied().flatten();
            let head = Head { status: 200, is_event_stream: true, rate_limit, ..Head::default() };
            self.handle_event(node, Event::AttemptHead(id, Box::new(head)));
        }
        let attempt = &mut self.attempts[index];
        let wire = attempt.wire.as_ref().expect("a completion");
        let mut buf = std::mem::take(&mut attempt.held_back);
        let until = (attempt.next + tokens).min(wire.max_tokens);
        for offset in attempt.next..until {
            let data = serde_json::json!({ "text": token(&wire.prompt, offset) });
            buf.extend_from_slice(format!("id: {offset}\ndata: {data}\n\n").as_bytes());
        }
        attempt.next = until;
        let is_last = until == wire.max_tokens;
        if is_last {
            let usage = serde_json::json!({ "usage": { "computed_tokens": 3 } });
            buf.extend_from_slice(format!("data: {usage}\n\ndata: [DONE]\n\n").as_bytes());
        }
        let held_bytes = if is_last { 0 } else { hold_back.min(buf.len()) };
        attempt.held_back = buf.split_off(buf.len() - held_bytes);
        attempt.ended |= is_last;
        self.handle_event(node, Event::AttemptChunk(id, buf.into()));
        if is_last {
            self.handle_event(node, Event::AttemptEnded(id, StreamEnd::Eof));
        }
    }

    /// Sends tokens of an engine, one each 50 ms.
    pub fn stream(&mut self, index: usize, tokens: u64) {
        for _ in 0..tokens {
            self.progress(index, 1, 0);
            self.advance(Duration::from_millis(50));
        }
    }

    /// Sends a wrong token and an end from a closed attempt; for an open attempt, repeats a token.
    pub fn send_late_bytes(&mut self, index: usize) {
        let attempt = &self.attempts[index];
        if !attempt.closed {
            return self.resend_token(index);
        }
        let (node, id, next) = (attempt.node, attempt.id, attempt.next);
        let text = format!("id: {next}\ndata: {{\"text\":\"WRONG \"}}\n\ndata: [DONE]\n\n");
        self.handle_event(node, Event::AttemptChunk(id, text.into()));
        self.handle_event(node, Event::AttemptEnded(id, StreamEnd::Eof));
    }

    /// Sends an earlier token of an open attempt again, with a different text.
    fn resend_token(&mut self, index: usize) {
        let attempt = &self.attempts[index];
        if !self.is_open(index) || !attempt.has_head || !attempt.held_back.is_empty() {
            return;
        }
        let (node, id) = (attempt.node, attempt.id);
        if let Some(before) = attempt.next.checked_sub(1) {
            let text = format!("id: {before}\ndata: {{\"text\":\"WRONG \"}}\n\n");
            self.handle_event(node, Event::AttemptChunk(id, text.into()));
        }
    }

    /// Runs a plain call at its upstream, even if no caller waits for it.
    pub fn run_call(&mut self, index: usize) {
        let attempt = &mut self.attempts[index];
        if !attempt.may_have_acted || attempt.wire.is_some() {
            return;
        }
        attempt.has_run = true;
        if let Some(key) = attempt.key.take() {
            let runs = self.runs.entry(key.clone()).or_default();
            *runs += 1;
            assert!(*runs <= 1, "key {key} ran {runs} times");
        }
    }

    fn send_plain_response(&mut self, index: usize, status: u16) {
        self.run_call(index);
        let attempt = &mut self.attempts[index];
        attempt.ended = true;
        let (node, id) = (attempt.node, attempt.id);
        self.handle_event(
            node,
            Event::AttemptHead(id, Box::new(Head { status, ..Head::default() })),
        );
        self.handle_event(node, Event::AttemptChunk(id, Bytes::from_static(b"{\"ok\":true}")));
        self.handle_event(node, Event::AttemptEnded(id, StreamEnd::Eof));
    }

    /// Sends the error response of an upstream that ran the request.
    pub fn fail(&mut self, index: usize) {
        if self.is_open(index) && !self.attempts[index].has_head {
            self.send_plain_response(index, 500);
        }
    }

    /// Sends an upstream's refusal, which proves that it did not run the request.
    pub fn refuse(&mut self, index: usize) {
        if !self.is_open(index) || self.attempts[index].has_head || self.attempts[index].has_run {
            return;
        }
        let attempt = &mut self.attempts[index];
        attempt.may_have_acted = false;
        attempt.ended = true;
        let (node, id) = (attempt.node, attempt.id);
        let head = Head { status: 503, says_not_run: true, ..Head::default() };
        self.handle_event(node, Event::AttemptHead(id, Box::new(head)));
    }

    /// Breaks the connection of an attempt, after running the call if `ran`.
    pub fn break_connection(&mut self, index: usize, ran: bool) {
        if !self.is_open(index) {
            return;
        }
        if ran {
            self.run_call(index);
        }
        let attempt = &mut self.attempts[index];
        attempt.ended = true;
        let (node, id) = (attempt.node, attempt.id);
        self.handle_event(node, Event::AttemptEnded(id, StreamEnd::ConnectionLost("cut".into())));
    }

    /// Fails to connect to the upstream of an attempt.
    pub fn unreachable(&mut self, index: usize) {
        if !self.is_open(index) || self.attempts[index].has_head || self.attempts[index].has_run {
            return;
        }
        let attempt = &mut self.attempts[index];
        attempt.may_have_acted = false;
        attempt.ended = true;
        let (node, id) = (attempt.node, attempt.id);
        self.handle_event(node, Event::AttemptEnded(id, StreamEnd::Unreachable("refused".into())));
    }

    /// Breaks every attempt at a host, as when it is lost without notice.
    pub fn crash(&mut self, host: usize) {
        for index in self.open_attempts() {
            if self.attempts[index].host == host {
                self.break_connection(index, false);
            }
        }
    }

    pub fn announce_leaving(&mut self, host: usize, after: Duration) {
        let at = self.wall() + after;
        self.hosts[host].state = HostState::Leaving { at };
        self.publish_snapshots();
    }

    pub fn mark_live(&mut self, host: usize) {
        self.hosts[host].state = HostState::Live;
        self.publish_snapshots();
    }

    pub fn drain(&mut self, node: usize) {
        self.nodes[node].draining = true;
        self.publish_snapshots();
    }

    pub fn complete_kv_move(&mut self, node: usize, moved: bool) {
        if let Some(attempt) = self.nodes[node].kv_moves.pop() {
            self.handle_event(node, Event::KvMoved(attempt, moved));
        }
    }

    pub fn respond_to_claim(&mut self, index: usize) {
        let (node, claim_request) = self.pending_claims.remove(index);
        let retry_after = Duration::from_secs(1);
        let key = claim_request.key.to_string();
        let answer = match self.claims.get(&key) {
            _ if self.claims_unavailable => ClaimResponse::Unavailable { retry_after },
            None => {
                self.claims.insert(key, ClaimState::Held(claim_request.request.clone()));
                let ClaimRequest { service, key, request, .. } = claim_request.clone();
                ClaimResponse::Granted(ClaimTicket { service, key, request })
            }
            Some(ClaimState::Ended(ClaimOutcome::Ran(stored))) => {
                ClaimResponse::Stored(stored.clone())
            }
            Some(_) => ClaimResponse::Unresolved,
        };
        self.handle_event(node, Event::Claim(claim_request.request, answer));
    }

    /// Delivers the message at an index of [`World::links`].
    pub fn deliver(&mut self, index: usize) {
        let (from, to, message) = self.links.remove(index);
        let from = self.nodes[from].daemon.clone();
        let event = match message {
            Message::Poison { digest, refused_for } => Event::Poison(digest, refused_for),
            message => Event::Peer(from, message),
        };
        self.handle_event(to, event);
    }

    pub fn deliver_all(&mut self) {
        while !self.links.is_empty() {
            self.deliver(0);
        }
    }

    fn apply_effect(&mut self, node: usize, effect: Effect) {
        match effect {
            Effect::Dispatch(dispatch) => self.record_dispatch(node, &dispatch),
            Effect::CloseAttempt(id) => {
                let found = self.attempts.iter_mut().find(|a| a.node == node && a.id == id);
                found.expect("only existing attempts are closed").closed = true;
            }
            Effect::CancelAttempt(_, name) => self.cancelled.push(name),
            Effect::MoveKv { attempt, .. } => self.nodes[node].kv_moves.push(attempt),
            Effect::StartResponse(caller, request, ..) => {
                self.set_request_id(node, caller, request);
            }
            Effect::SendBody(caller, bytes) => self.receive_body(node, caller, &bytes),
            Effect::EndResponse(caller) => {
                let caller = &mut self.callers[&(node, caller)];
                assert!(caller.done, "the response ended before it was complete: {caller:?}");
                caller.set_end(End::Finished);
            }
            Effect::SendFullResponse(caller, request, _, body) => {
                self.set_request_id(node, caller, request);
                self.callers[&(node, caller)].receive_full_response(&body);
            }
            Effect::Refuse(caller, refusal) => self.record_refusal(node, caller, *refusal),
            Effect::RequestClaim(claim_request) => self.pending_claims.push((node, claim_request)),
            Effect::EndClaim(ticket, end) => self.record_claim_end(&ticket, end),
            Effect::LogFailedAttempt(_)
            | Effect::LogRefusedRetry(_)
            | Effect::LogCrashCause(_)
            | Effect::LogUpstreamLimit(_)
            | Effect::ReportLeaving(..) => {}
            Effect::ReportAttempt(report) => self.nodes[node].reports.push(*report),
            Effect::Send(recipient, message) => self.enqueue_message(node, &recipient, &message),
        }
    }

    fn record_dispatch(&mut self, node: usize, dispatch: &Dispatch) {
        let host = self.hosts.iter().position(|host| host.upstream == dispatch.upstream);
        let host = host.expect("a known upstream");
        assert_eq!(
            self.hosts[host].state,
            HostState::Live,
            "new work was sent to a leaving upstream"
        );
        let wire: Option<CompletionWire> = dispatch
            .path
            .ends_with("/v1/completions")
            .then(|| serde_json::from_slice(&dispatch.body).expect("a completions request"));
        let next = wire.as_ref().and_then(|wire| wire.resume.as_ref()).map_or(0, |r| r.offset);
        if let Some(wire) = &wire {
            let before: String = (0..next).map(|offset| token(&wire.prompt, offset)).collect();
            let resumed = wire.resume.as_ref().map_or("", |resume| &resume.text);
            assert_eq!(before, resumed, "the request resumes from a wrong text");
            assert_eq!(wire.priority == Some(0), next > 0, "priority 0 is for resumed work only");
        }
        let header = dispatch.headers.iter().find(|(name, _)| &**name == "idempotency-key");
        let key = header.map(|(_, key)| String::from_utf8_lossy(key).into_owned());
        let (request, _) = dispatch.name.rsplit_once('.').expect("request and attempt");
        let request: RequestId = request.parse().expect("a request");
        assert!(!self.not_run.contains(&request), "{request} was refused as not run");
        self.attempts.push(Attempt {
            node,
            id: dispatch.attempt,
            request,
            host,
            name: dispatch.name.clone(),
            closed: false,
            ended: false,
            has_head: false,
            may_have_acted: true,
            has_run: false,
            next,
            held_back: Vec::new(),
            wire,
            key,
        });
    }

    fn set_request_id(&mut self, node: usize, caller: CallerId, request: RequestId) {
        let caller = &mut self.callers[&(node, caller)];
        assert!(caller.request.as_ref().is_none_or(|known| *known == request));
        caller.request = Some(request);
    }

    fn receive_body(&mut self, node: usize, caller: CallerId, bytes: &[u8]) {
        let caller = &mut self.callers[&(node, caller)];
        if let Sent::Call { .. } = caller.sent {
            return;
        }
        let mut events = Vec::new();
        caller.reader.read_chunk(bytes, &mut events).expect("valid events");
        for event in events {
            assert!(!caller.done, "an event arrived after the end");
            if event.data == "[DONE]" {
                assert_eq!(caller.next, caller.max_tokens, "the response is not complete");
                caller.done = true;
                continue;
            }
            let wire: ResponseEventWire = serde_json::from_str(&event.data).expect("a token");
            assert_eq!(
                event.id.as_deref(),
                Some(&*caller.next.to_string()),
                "a token arrived out of order"
            );
            let expected = token(&caller.prompt, caller.next);
            assert_eq!(wire.text, Some(expected), "a token has a wrong text");
            caller.next += 1;
        }
    }

    fn record_refusal(&mut self, node: usize, caller: CallerId, refusal: Refusal) {
        let key = (node, caller);
        if let (RunOutcome::NotRun(_), Some(request)) =
            (refusal.outcome, self.request_of(node, caller))
        {
            let acted = |a: &&Attempt| a.request == request && a.may_have_acted;
            let found = self.attempts.iter().find(acted);
            assert!(found.is_none(), "{request} may have run: {found:?}, but {refusal:?}");
            self.not_run.insert(request);
        }
        let caller = &mut self.callers[&key];
        if refusal.kind == RefusalKind::HandedOver {
            caller.request.clone_from(&refusal.resume);
        }
        caller.set_end(End::Refused(refusal));
    }

    /// Finds the request of a caller, by its prompt if the caller does not know the request id.
    fn request_of(&self, node: usize, caller: CallerId) -> Option<RequestId> {
        let caller = &self.callers[&(node, caller)];
        if caller.request.is_some() {
            return caller.request.clone();
        }
        let same = |a: &&Attempt| match (&caller.sent, &a.wire) {
            (Sent::Completion { prompt, .. }, Some(wire)) => wire.prompt == *prompt,
            _ => false,
        };
        let later = &self.attempts[caller.attempts_before..];
        later.iter().find(same).map(|attempt| attempt.request.clone())
    }

    fn record_claim_end(&mut self, ticket: &ClaimTicket, end: ClaimOutcome) {
        let key = ticket.key.to_string();
        assert_eq!(self.claims.get(&key), Some(&ClaimState::Held(ticket.request.clone())));
        if end == ClaimOutcome::NotRun {
            let acted = |a: &&Attempt| a.request == ticket.request && a.may_have_acted;
            assert!(self.attempts.iter().find(acted).is_none(), "{key} may have run");
            self.claims.swap_remove(&key);
        } else {
            self.claims.insert(key, ClaimState::Ended(end));
        }
    }

    fn enqueue_message(&mut self, node: usize, recipient: &Recipient, message: &Message) {
        for to in 0..self.nodes.len() {
            let is_for = match recipient {
                Recipient::Daemon(daemon) => self.nodes[to].daemon == *daemon,
                _ => to != node,
            };
            if is_for {
                self.links.push((node, to, message.clone()));
            }
        }
    }

    /// Ends all faults and runs the world for 40 s, which lets all requests end.
    pub fn run_until_idle(&mut self) {
        self.claims_unavailable = false;
        for host in &mut self.hosts {
            host.state = HostState::Live;
        }
        self.publish_snapshots();
        for _ in 0..400 {
            self.deliver_all();
            while !self.pending_claims.is_empty() {
                self.respond_to_claim(0);
            }
            for node in 0..self.nodes.len() {
                self.complete_kv_move(node, true);
            }
            for index in self.open_attempts() {
                self.progress(index, 10, 0);
            }
            self.advance(Duration::from_millis(100));
        }
    }
}

impl Caller {
    fn set_end(&mut self, end: End) {
        if self.end == Some(End::Disconnected) {
            return;
        }
        assert_eq!(self.end, None, "a response ended twice");
        self.end = Some(end);
    }

    fn receive_full_response(&mut self, body: &[u8]) {
        if !matches!(self.sent, Sent::Call { .. }) {
            let value: serde_json::Value = serde_json::from_slice(body).expect("a JSON response");
            let expected: String =
                (0..self.max_tokens).map(|offset| token(&self.prompt, offset)).collect();
            assert_eq!(value["text"], expected.as_str(), "the response has a wrong text");
        }
        self.set_end(End::Finished);
    }
}

fn member(node: &Node) -> Member {
    Member {
        daemon: node.daemon.clone(),
        incarnation: Incarnation(1),
        address: ([127, 0, 0, 1], 1).into(),
        data_centre: "a".parse().expect("a name"),
        region: "r".parse().expect("a name"),
    }
}
