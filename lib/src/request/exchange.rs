//! The state machine of one request from its first dispatch to its complete response, without I/O.
//!
//! Only the attempt with the current number contributes to the response. Events of superseded
//! attempts are ignored, whenever they arrive.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};

use crate::{
    declaration::{RequestClass, RetryPolicy},
    ids::{
        AttemptNumber, ClassName, CustomerName, MoveName, RequestId, RouteName, ServiceName,
        UpstreamId, VersionName, ZoneName,
    },
    limit::upstream::RequestRate,
    node::report::{AttemptEnd, AttemptReport},
    placement::load::LoadReport,
    request::{
        completion::{CompletionWire, DONE, ResponseEventWire, UsageWire},
        crash_evidence::{PartId, SOUND_AFTER, Suspect, prompt_lines},
        outcome::{DispatchState, RunOutcome, Undispatched, UpstreamRefusal},
        poison::{Digest, PROGRESS_TOKENS},
        response_tokens::ResponseTokens,
        sse::{EventScanner, SseEvent, SseReader},
    },
    units::{Time, Tokens},
};

/// The largest body of a plain response, in bytes, that is buffered until it is complete; a larger
/// one is forwarded in parts and the request can then no longer be retried.
pub const MAX_BUFFERED_BODY_BYTES: usize = 256 << 10;

/// A forwarded header, with its name in lower case.
pub type Header = (Box<str>, Bytes);

/// The immutable description of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestSpec {
    pub request: RequestId,
    /// The customer, if customers are declared.
    pub customer: Option<CustomerName>,
    pub route: RouteName,
    pub service: ServiceName,
    pub class: RequestClass,
    /// Whether the request may be sent to an upstream more than once.
    pub retry_policy: RetryPolicy,
    pub method: Box<str>,
    /// Path and query.
    pub path: Box<str>,
    /// The headers forwarded to the upstream.
    pub headers: Arc<[Header]>,
    /// The body; empty for a completion, which [`RequestSpec::completion`] holds.
    pub body: Bytes,
    /// The completions request, if the request is one.
    pub completion: Option<CompletionWire>,
    /// The caller's idempotency key.
    pub key: Option<Box<str>>,
    /// The digest of service, method, path and body.
    pub digest: Digest,
    /// The hash of the prompt's prefix, for cache affinity.
    pub prefix: Option<u64>,
    /// The maximum number of prompt and response tokens; a word of the prompt counts as one token.
    pub tokens: u64,
    pub arrived: Time,
    /// When the request is refused if its response is not complete.
    pub deadline: Time,
}

impl RequestSpec {
    /// Reports whether the caller requested server-sent events.
    pub fn streams(&self) -> bool {
        self.completion.as_ref().is_some_and(|wire| wire.stream)
    }

    /// Returns a short hash of its content, under which crashes of upstreams are counted.
    pub fn content_hash(&self) -> u64 {
        self.digest.first_chunk().map_or(0, |bytes| u64::from_le_bytes(*bytes))
    }

    /// Returns the parts of the prompt that other requests may share.
    pub fn shared_parts(&self) -> impl Iterator<Item = PartId> + Clone {
        prompt_lines(self.completion.as_ref().map_or("", |wire| &wire.prompt))
    }

    /// Returns the request as a suspect in the crash of an upstream.
    pub fn suspect(&self) -> Suspect {
        Suspect::new(self.content_hash(), self.shared_parts())
    }
}

/// The upstream selected for an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    pub upstream: UpstreamId,
    /// Where it listens.
    pub address: SocketAddr,
    pub zone: ZoneName,
    pub class: ClassName,
    pub version: VersionName,
    /// The move that determined the version, if any.
    pub move_name: Option<MoveName>,
}

/// The head of an upstream's response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Head {
    pub status: u16,
    /// The headers forwarded to the caller.
    pub headers: Vec<Header>,
    /// Whether the response is a stream of server-sent events.
    pub is_event_stream: bool,
    /// Whether the upstream states that the request did not run.
    pub says_not_run: bool,
    /// The retry delay requested by the upstream.
    pub retry_after: Option<Duration>,
    /// The load reported by the upstream, if any.
    pub load: Option<LoadReport>,
    /// The requests a second that the upstream takes from all daemons together, if it names a limit.
    pub rate_limit: Option<RequestRate>,
    /// How long the upstream still serves, if it says that it leaves.
    pub leaves_in: Option<Duration>,
}

impl Head {
    /// Returns the value of a header as text; empty if it is missing or not UTF-8.
    pub fn text_of(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(found, _)| &**found == name);
        found.and_then(|(_, value)| std::str::from_utf8(value).ok()).unwrap_or("")
    }
}

/// How the stream of an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// The upstream ended its response.
    Eof,
    /// No connection could be made; no byte was sent.
    Unreachable(Box<str>),
    /// As [`Self::Unreachable`], while this daemon has no links to the upstreams of the service.
    Isolated(Box<str>),
    /// The connection broke.
    ConnectionLost(Box<str>),
}

/// Why an attempt produced no complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cause {
    /// No connection could be made.
    Unreachable,
    /// No connection could be made, while this daemon has no links to the upstreams of the service.
    Isolated,
    /// The upstream proves that it did not run the request.
    Refused {
        /// The retry delay requested by the upstream.
        retry_after: Option<Duration>,
    },
    /// The upstream returned an error or a malformed response.
    Failed,
    /// The connection broke.
    ConnectionLost,
    /// No response, or no further token, arrived within the timeout.
    TimedOut,
}

impl Cause {
    /// Returns the evidence that the cause gives about the upstream and its version.
    pub fn attempt_end(&self) -> AttemptEnd {
        match self {
            Self::Unreachable | Self::ConnectionLost => AttemptEnd::ConnectionLost,
            // It says more about the daemon than about the upstream.
            Self::Isolated => AttemptEnd::Abandoned,
            Self::Refused { .. } => AttemptEnd::Refused,
            Self::Failed => AttemptEnd::Failure,
            Self::TimedOut => AttemptEnd::TimedOut,
        }
    }
}

/// The effect of an event of an attempt on its exchange.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// The event belongs to another attempt or contains nothing to deliver yet.
    NoChange,
    /// More of the response can be delivered.
    Extended,
    /// The response is complete.
    Complete,
    /// The attempt has failed, with the cause and a detail text.
    AttemptFailed(Cause, Box<str>),
}

/// The current attempt of an exchange.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub number: AttemptNumber,
    /// The upstream that the attempt is sent to.
    pub target: Target,
    pub started: Time,
    /// When the attempt last produced new output.
    pub last_output_at: Time,
    /// When the first token, or the head of a plain response, arrived.
    pub first_output_at: Option<Time>,
    /// The number of response tokens when the attempt began.
    pub start_offset: u64,
    /// Whether an earlier attempt had computed tokens, so that the computed tokens of this one are
    /// recomputed.
    pub is_recomputation: bool,
    reader: SseReader,
    usage: Option<UsageWire>,
}

impl Attempt {
    /// Reports whether the attempt has produced enough of the response that a crash of its upstream
    /// has another cause. `next_offset` is the number of tokens of the response.
    pub fn is_sound(&self, now: Time, next_offset: u64) -> bool {
        next_offset >= self.start_offset + PROGRESS_TOKENS
            || self.first_output_at.is_some_and(|at| now.since(at) >= SOUND_AFTER)
    }
}

/// The response of a plain service, or another response that is forwarded unchanged.
#[derive(Clone, Debug, Default)]
pub struct PlainResponse {
    pub head: Head,
    /// The part of the body that has not been delivered.
    pub body: BytesMut,
    /// Whether the body is being forwarded in parts, so that no other attempt can replace it.
    pub is_forwarding: bool,
    /// Detects a truncated event stream; `None` if the body is not an event stream.
    scanner: Option<EventScanner>,
}

impl PlainResponse {
    fn new(head: Head) -> Self {
        let is_event_stream = head.is_event_stream && (200..300).contains(&head.status);
        let scanner = is_event_stream.then(EventScanner::default);
        Self { head, scanner, ..Self::default() }
    }

    fn is_inside_event(&self) -> bool {
        self.scanner.is_some_and(|scanner| scanner.is_inside_event())
    }
}

/// The state of one request.
#[derive(Debug)]
pub struct Exchange {
    pub spec: Arc<RequestSpec>,
    /// The tokens received so far, for a completion.
    pub answer: ResponseTokens,
    /// The plain response received so far.
    pub plain: Option<PlainResponse>,
    /// The token counts reported by the engine that completed the response.
    pub usage: Option<UsageWire>,
    attempt: Option<Attempt>,
    attempts: AttemptNumber,
    /// The attempt number from which attempts are counted here, set by the daemon that handed the
    /// request over.
    attempts_before: u64,
    has_computed: bool,
    dispatch_state: DispatchState,
    events: Vec<SseEvent>,
}

impl Exchange {
    /// Creates the exchange of a request that no upstream has seen.
    pub fn new(spec: Arc<RequestSpec>, undispatched: Undispatched) -> Self {
        Self::with_state(spec, ResponseTokens::default(), DispatchState::Undispatched(undispatched))
    }

    /// Creates the exchange of a request that another daemon has handed over.
    ///
    /// Attempt numbers continue from `attempts_before`, so that an engine that still runs an
    /// earlier attempt sees the new one under a different id.
    pub fn from_handover(
        spec: Arc<RequestSpec>,
        answer: ResponseTokens,
        attempts_before: u64,
    ) -> Self {
        let dispatch_state =
            DispatchState::Undispatched(Undispatched::begin()).dispatch().mark_indeterminate();
        Self {
            has_computed: answer.next_offset() > 0,
            attempts: AttemptNumber(attempts_before),
            attempts_before,
            ..Self::with_state(spec, answer, dispatch_state)
        }
    }

    fn with_state(
        spec: Arc<RequestSpec>,
        answer: ResponseTokens,
        dispatch_state: DispatchState,
    ) -> Self {
        Self {
            spec,
            answer,
            plain: None,
            usage: None,
            attempt: None,
            attempts: AttemptNumber(0),
            attempts_before: 0,
            has_computed: false,
            dispatch_state,
            events: Vec::new(),
        }
    }

    /// Returns the current attempt.
    pub fn attempt(&self) -> Option<&Attempt> {
        self.attempt.as_ref()
    }

    /// Returns the number of attempts started by this daemon.
    pub fn attempts(&self) -> u64 {
        self.attempts.0 - self.attempts_before
    }

    /// Returns the number of the last attempt, here or at a daemon that handed the request over.
    pub fn last_attempt_number(&self) -> AttemptNumber {
        self.attempts
    }

    /// Reports whether the response has begun: it has tokens, or its body is being forwarded.
    pub fn has_begun(&self) -> bool {
        self.answer.next_offset() > 0
            || self.plain.as_ref().is_some_and(|plain| plain.is_forwarding)
    }

    /// Returns the memory that the received part of the response takes, in bytes.
    pub fn held_bytes(&self) -> usize {
        let plain = self.plain.as_ref().map_or(0, |plain| plain.body.len());
        let event = self.attempt.as_ref().map_or(0, |attempt| attempt.reader.buffered_bytes());
        self.answer.held_bytes() + plain + event
    }

    /// Forwards a plain response from now on, so that no other attempt can replace it. Returns false if there is none.
    pub fn forward_body(&mut self) -> bool {
        let plain = self.plain.as_mut();
        plain.map(|plain| plain.is_forwarding = true).is_some()
    }

    /// Reports whether the request may be sent to an upstream again.
    pub fn can_retry(&self) -> bool {
        let is_forwarding = self.plain.as_ref().is_some_and(|plain| plain.is_forwarding);
        self.spec.retry_policy != RetryPolicy::Never && !is_forwarding
    }

    /// Starts the next attempt, which supersedes the previous one.
    pub fn start_attempt(&mut self, now: Time, target: Target) -> AttemptNumber {
        self.attempts = self.attempts.next();
        self.answer.discard_early();
        self.plain = None;
        self.change_dispatch_state(DispatchState::dispatch);
        self.attempt = Some(Attempt {
            number: self.attempts,
            target,
            started: now,
            last_output_at: now,
            first_output_at: None,
            start_offset: self.answer.next_offset(),
            is_recomputation: self.has_computed,
            reader: SseReader::default(),
            usage: None,
        });
        self.attempts
    }

    /// Handles the head of an attempt's response.
    pub fn handle_head(&mut self, now: Time, number: AttemptNumber, head: Head) -> Step {
        let is_engine = self.spec.completion.is_some();
        let has_begun = self.has_begun();
        let Some(attempt) = self.attempt.as_mut().filter(|attempt| attempt.number == number) else {
            return Step::NoChange;
        };
        attempt.last_output_at = now;
        if let Some(proof) = UpstreamRefusal::read(head.status, head.says_not_run, is_engine) {
            self.change_dispatch_state(|dispatch_state| dispatch_state.mark_refused(proof));
            let cause = Cause::Refused { retry_after: head.retry_after };
            return Step::AttemptFailed(cause, "the upstream refused the request".into());
        }
        // Only the rest of a stream can follow what the caller already has.
        if is_engine && (!is_final_status(head.status) || (has_begun && head.status != 200)) {
            let detail = format!("the engine answered {}", head.status);
            return Step::AttemptFailed(Cause::Failed, detail.into());
        }
        if is_engine && (200..300).contains(&head.status) {
            if head.is_event_stream {
                return Step::NoChange;
            }
            return Step::AttemptFailed(Cause::Failed, "the engine does not stream".into());
        }
        attempt.first_output_at = Some(now);
        self.plain = Some(PlainResponse::new(head));
        Step::NoChange
    }

    /// Handles body bytes of an attempt's response.
    pub fn handle_chunk(&mut self, now: Time, number: AttemptNumber, bytes: &[u8]) -> Step {
        let Some(attempt) = self.attempt.as_mut().filter(|attempt| attempt.number == number) else {
            return Step::NoChange;
        };
        if let Some(plain) = &mut self.plain {
            attempt.last_output_at = now;
            plain.body.extend_from_slice(bytes);
            if let Some(scanner) = &mut plain.scanner {
                scanner.scan(bytes);
            }
            plain.is_forwarding |= plain.body.len() > MAX_BUFFERED_BODY_BYTES;
            return if plain.is_forwarding { Step::Extended } else { Step::NoChange };
        }
        let mut events = std::mem::take(&mut self.events);
        let read = attempt.reader.read_chunk(bytes, &mut events);
        let step = self.apply_events(now, &mut events);
        self.events = events;
        match (step, read) {
            (Step::Extended | Step::NoChange, Err(error)) => {
                Step::AttemptFailed(Cause::Failed, error.to_string().into())
            }
            (step, _) => step,
        }
    }

    fn apply_events(&mut self, now: Time, events: &mut Vec<SseEvent>) -> Step {
        let before = self.answer.next_offset();
        for event in events.drain(..) {
            if event.data == DONE {
                return self.complete();
            }
            if let Err(detail) = self.apply_event(now, &event) {
                return Step::AttemptFailed(Cause::Failed, detail);
            }
        }
        if self.answer.next_offset() > before { Step::Extended } else { Step::NoChange }
    }

    fn complete(&mut self) -> Step {
        if self.answer.has_gap() {
            return Step::AttemptFailed(Cause::Failed, "the answer has a gap".into());
        }
        self.usage = self.attempt.as_ref().and_then(|attempt| attempt.usage);
        Step::Complete
    }

    fn apply_event(&mut self, now: Time, event: &SseEvent) -> Result<(), Box<str>> {
        let Some(attempt) = &mut self.attempt else { return Ok(()) };
        let wire: ResponseEventWire = serde_json::from_str(&event.data)
            .map_err(|error| format!("an event is malformed: {error}"))?;
        if let Some(usage) = wire.usage {
            attempt.usage = Some(usage);
        }
        let Some(text) = wire.text else { return Ok(()) };
        let offset: u64 = match event.id.as_deref().map(str::parse) {
            Some(Ok(offset)) => offset,
            _ => return Err("a token has no offset".into()),
        };
        let max_tokens = self.spec.completion.as_ref().map_or(u64::MAX, |wire| wire.max_tokens);
        if offset >= max_tokens {
            return Err(format!("token {offset} exceeds the {max_tokens} requested").into());
        }
        let before = self.answer.next_offset();
        self.answer.insert_token(offset, &text).map_err(|error| error.to_string())?;
        if self.answer.next_offset() > before {
            attempt.last_output_at = now;
            attempt.first_output_at.get_or_insert(now);
            self.has_computed = true;
        }
        Ok(())
    }

    /// Handles the end of an attempt's stream.
    pub fn handle_stream_end(&mut self, number: AttemptNumber, end: StreamEnd) -> Step {
        if self.attempt.as_ref().is_none_or(|attempt| attempt.number != number) {
            return Step::NoChange;
        }
        match end {
            StreamEnd::Eof if self.plain.as_ref().is_some_and(PlainResponse::is_inside_event) => {
                let detail = "the event stream ended within an event";
                Step::AttemptFailed(Cause::ConnectionLost, detail.into())
            }
            StreamEnd::Eof if self.plain.is_some() => Step::Complete,
            StreamEnd::Eof => {
                Step::AttemptFailed(Cause::ConnectionLost, "the answer ended early".into())
            }
            StreamEnd::ConnectionLost(detail) => Step::AttemptFailed(Cause::ConnectionLost, detail),
            StreamEnd::Unreachable(detail) => {
                self.change_dispatch_state(DispatchState::mark_unreachable);
                Step::AttemptFailed(Cause::Unreachable, detail)
            }
            StreamEnd::Isolated(detail) => {
                self.change_dispatch_state(DispatchState::mark_unreachable);
                Step::AttemptFailed(Cause::Isolated, detail)
            }
        }
    }

    /// Ends the current attempt and returns its report; `None` if there is none.
    pub fn close(&mut self, end: AttemptEnd) -> Option<AttemptReport> {
        let attempt = self.attempt.take()?;
        self.answer.discard_early();
        self.change_dispatch_state(DispatchState::mark_indeterminate);
        let generated = self.answer.next_offset().saturating_sub(attempt.start_offset);
        let usage = attempt.usage.unwrap_or_default();
        let recomputed = if attempt.is_recomputation { usage.computed_tokens } else { 0 };
        Some(AttemptReport {
            route: self.spec.route.clone(),
            service: self.spec.service.clone(),
            version: attempt.target.version,
            move_name: attempt.target.move_name,
            upstream: attempt.target.upstream,
            zone: attempt.target.zone,
            class: attempt.target.class,
            end,
            first_token: attempt.first_output_at.map(|first| first.since(attempt.started)),
            generation: attempt
                .first_output_at
                .map_or(Duration::ZERO, |first| attempt.last_output_at.since(first)),
            uncached_prompt_tokens: Tokens(usage.computed_tokens),
            prompt_tokens: Tokens(usage.prompt_tokens),
            generated_tokens: Tokens(generated),
            recomputed_tokens: Tokens(recomputed),
        })
    }

    /// Ends the exchange and returns what is known about whether the request ran.
    pub fn into_outcome(self) -> RunOutcome {
        self.dispatch_state.into_outcome()
    }

    fn change_dispatch_state(&mut self, change: impl FnOnce(DispatchState) -> DispatchState) {
        // The placeholder is the most cautious state, and is replaced at once.
        let placeholder =
            DispatchState::Undispatched(Undispatched::begin()).dispatch().mark_indeterminate();
        self.dispatch_state = change(std::mem::replace(&mut self.dispatch_state, placeholder));
    }
}

/// Reports whether an engine's response is forwarded to the caller rather than retried, because any
/// other engine would return the same.
fn is_final_status(status: u16) -> bool {
    matches!(status, 200..300 | 400 | 413 | 422)
}
