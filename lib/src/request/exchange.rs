//! One request from its first dispatch to its whole answer, without I/O.
//!
//! Only the attempt with the current number adds to the answer. What a superseded attempt still
//! sends is ignored, whenever it comes.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};

use crate::{
    declaration::{RequestClass, RetryPolicy},
    ids::{
        AttemptNumber, ClassName, CustomerName, MoveName, RequestId, RouteName, ServiceName,
        UpstreamId, VersionName, ZoneName,
    },
    node::report::{AttemptEnd, AttemptReport},
    placement::load::LoadReport,
    request::{
        completion::{CompletionWire, DONE, PieceWire, UsageWire},
        outcome::{DispatchState, RunOutcome, Undispatched, UpstreamRefusal},
        poison::Digest,
        response_tokens::ResponseTokens,
        sse::{SseEvent, SseReader},
    },
    units::{Time, Tokens},
};

/// The largest answer of a plain service, in bytes, that is held until it is whole.
pub const MAX_BUFFERED_BODY_BYTES: usize = 256 << 10;

/// A header that is passed on, with its name in lower case.
pub type Header = (Box<str>, Bytes);

/// What a caller asked for; it never changes.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestSpec {
    /// The request's name.
    pub request: RequestId,
    /// Who asks, if customers are declared.
    pub customer: Option<CustomerName>,
    /// The route.
    pub route: RouteName,
    /// The service that the route leads to.
    pub service: ServiceName,
    /// How urgent it is.
    pub class: RequestClass,
    /// Whether it may be sent to an upstream a second time.
    pub rule: RetryPolicy,
    /// The method.
    pub method: Box<str>,
    /// Path and query.
    pub path: Box<str>,
    /// The headers that are passed on.
    pub headers: Arc<[Header]>,
    /// The body; empty for a completion, which [`RequestSpec::completion`] holds.
    pub body: Bytes,
    /// The completion that is asked for, if it is one.
    pub completion: Option<CompletionWire>,
    /// The caller's idempotency key.
    pub key: Option<Box<str>>,
    /// The digest of service, method, path and body.
    pub digest: Digest,
    /// The hash of the prompt's prefix.
    pub prefix: Option<u64>,
    /// The tokens that prompt and answer may take, counting a word of the prompt as one.
    pub tokens: u64,
    /// When it arrived.
    pub arrived: Time,
    /// When its answer is of no more use.
    pub deadline: Time,
}

impl RequestSpec {
    /// Says whether the caller wants server-sent events.
    pub fn streams(&self) -> bool {
        self.completion.as_ref().is_some_and(|wire| wire.stream)
    }
}

/// Where an attempt goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
    /// Its machine class.
    pub class: ClassName,
    /// The version that it runs.
    pub version: VersionName,
    /// The move under which the version was chosen.
    pub move_name: Option<MoveName>,
}

/// The head of an upstream's answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Head {
    /// The HTTP status.
    pub status: u16,
    /// The headers that are passed on.
    pub headers: Vec<Header>,
    /// Whether the answer is a stream of server-sent events.
    pub is_event_stream: bool,
    /// Whether the upstream says that the request did not run.
    pub says_not_run: bool,
    /// When the upstream wants to be asked again.
    pub retry_after: Option<Duration>,
    /// The upstream's load, if it says.
    pub load: Option<LoadReport>,
}

impl Head {
    /// Returns a header as text, empty if there is none.
    pub fn text_of(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(found, _)| &**found == name);
        found.and_then(|(_, value)| std::str::from_utf8(value).ok()).unwrap_or("")
    }
}

/// How an attempt came to its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// The upstream ended its answer.
    Eof,
    /// No connection could be made; no byte was sent.
    Unreachable(Box<str>),
    /// The connection broke.
    ConnectionLost(Box<str>),
}

/// Why an attempt brought no whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cause {
    /// No connection could be made.
    Unreachable,
    /// The upstream proves that it did not run the request.
    Refused {
        /// When the upstream wants to be asked again.
        retry_after: Option<Duration>,
    },
    /// The upstream answered with an error or in a malformed way.
    Failed,
    /// The connection broke.
    ConnectionLost,
    /// No answer, or no further token, came in the time allowed.
    TimedOut,
}

impl Cause {
    /// Returns what the cause says about upstream and version.
    pub fn attempt_end(&self) -> AttemptEnd {
        match self {
            Self::Unreachable | Self::ConnectionLost => AttemptEnd::ConnectionLost,
            Self::Refused { .. } => AttemptEnd::Refused,
            Self::Failed => AttemptEnd::Failure,
            Self::TimedOut => AttemptEnd::TimedOut,
        }
    }
}

/// What an event of an attempt means for its exchange.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing: the event belongs to another attempt, or brings nothing new.
    NoChange,
    /// The answer has grown.
    Extended,
    /// The answer is whole.
    Complete,
    /// The attempt is of no more use.
    AttemptFailed(Cause, Box<str>),
}

/// The attempt that counts.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Its number.
    pub number: AttemptNumber,
    /// Where it went.
    pub target: Target,
    /// When it began.
    pub started: Time,
    /// When it last brought something new.
    pub last_output_at: Time,
    /// When it brought the first token, or the head of a plain answer.
    pub first_output_at: Option<Time>,
    /// How many tokens the answer had when it began.
    pub start_offset: u64,
    /// Whether it went on from what another attempt had computed.
    pub is_recomputation: bool,
    reader: SseReader,
    usage: Option<UsageWire>,
}

/// The answer of a plain service, or another answer that is passed on as it is.
#[derive(Clone, Debug, Default)]
pub struct PlainAnswer {
    /// The head.
    pub head: Head,
    /// The part of the body that has not been taken.
    pub body: BytesMut,
    /// Whether the caller has got a part of it, so that no other attempt can replace it.
    pub is_forwarding: bool,
}

/// The state of one request.
#[derive(Debug)]
pub struct Exchange {
    /// What was asked.
    pub spec: Arc<RequestSpec>,
    /// The tokens so far, for a completion.
    pub answer: ResponseTokens,
    /// The answer of a plain service so far.
    pub plain: Option<PlainAnswer>,
    /// What the engine that ended the answer has computed.
    pub usage: Option<UsageWire>,
    attempt: Option<Attempt>,
    attempts: AttemptNumber,
    /// How many attempts another daemon had made before it handed the request over.
    attempts_before: u64,
    has_computed: bool,
    dispatch_state: DispatchState,
    events: Vec<SseEvent>,
}

impl Exchange {
    /// Begins the exchange of a request that no upstream has seen.
    pub fn new(spec: Arc<RequestSpec>, undispatched: Undispatched) -> Self {
        Self::with_state(spec, ResponseTokens::default(), DispatchState::Undispatched(undispatched))
    }

    /// Goes on with a request that another daemon has handed over.
    ///
    /// Attempts are counted on from `attempts_before`, so that an engine which still runs one of
    /// them under its name takes the new one for another.
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

    /// Returns the attempt that counts.
    pub fn attempt(&self) -> Option<&Attempt> {
        self.attempt.as_ref()
    }

    /// Returns how many attempts have begun here.
    pub fn attempts(&self) -> u64 {
        self.attempts.0 - self.attempts_before
    }

    /// Returns the number of the last attempt, here or at a daemon that handed the request over.
    pub fn last_attempt_number(&self) -> AttemptNumber {
        self.attempts
    }

    /// Says whether a part of the answer is there.
    pub fn has_begun(&self) -> bool {
        self.answer.next_offset() > 0
            || self.plain.as_ref().is_some_and(|plain| plain.is_forwarding)
    }

    /// Says whether another attempt may follow the one that has ended.
    pub fn can_retry(&self) -> bool {
        let is_forwarding = self.plain.as_ref().is_some_and(|plain| plain.is_forwarding);
        self.spec.rule != RetryPolicy::Never && !is_forwarding
    }

    /// Begins the next attempt; the one before no longer counts.
    pub fn start_attempt(&mut self, now: Time, target: Target) -> AttemptNumber {
        self.attempts = self.attempts.next();
        self.answer.forget_early();
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

    /// Takes the head of an attempt's answer.
    pub fn handle_head(&mut self, now: Time, number: AttemptNumber, head: Head) -> Step {
        let is_engine = self.spec.completion.is_some();
        let Some(attempt) = self.attempt.as_mut().filter(|attempt| attempt.number == number) else {
            return Step::NoChange;
        };
        attempt.last_output_at = now;
        if let Some(proof) = UpstreamRefusal::read(head.status, head.says_not_run, is_engine) {
            self.change_dispatch_state(|dispatch_state| dispatch_state.mark_refused(proof));
            let cause = Cause::Refused { retry_after: head.retry_after };
            return Step::AttemptFailed(cause, "the upstream refused the request".into());
        }
        if is_engine && !is_final_status(head.status) {
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
        self.plain = Some(PlainAnswer { head, ..PlainAnswer::default() });
        Step::NoChange
    }

    /// Takes bytes of an attempt's answer.
    pub fn handle_chunk(&mut self, now: Time, number: AttemptNumber, bytes: &[u8]) -> Step {
        let Some(attempt) = self.attempt.as_mut().filter(|attempt| attempt.number == number) else {
            return Step::NoChange;
        };
        if let Some(plain) = &mut self.plain {
            attempt.last_output_at = now;
            plain.body.extend_from_slice(bytes);
            plain.is_forwarding |= plain.body.len() > MAX_BUFFERED_BODY_BYTES;
            return if plain.is_forwarding { Step::Extended } else { Step::NoChange };
        }
        let mut events = std::mem::take(&mut self.events);
        let read = attempt.reader.feed(bytes, &mut events);
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
        let piece: PieceWire = serde_json::from_str(&event.data)
            .map_err(|error| format!("an event is malformed: {error}"))?;
        if let Some(usage) = piece.usage {
            attempt.usage = Some(usage);
        }
        let Some(text) = piece.text else { return Ok(()) };
        let offset: u64 = match event.id.as_deref().map(str::parse) {
            Some(Ok(offset)) => offset,
            _ => return Err("a token has no offset".into()),
        };
        let before = self.answer.next_offset();
        self.answer.insert_token(offset, &text).map_err(|error| error.to_string())?;
        if self.answer.next_offset() > before {
            attempt.last_output_at = now;
            attempt.first_output_at.get_or_insert(now);
            self.has_computed = true;
        }
        Ok(())
    }

    /// Takes the end of an attempt.
    pub fn handle_stream_end(&mut self, number: AttemptNumber, end: StreamEnd) -> Step {
        if self.attempt.as_ref().is_none_or(|attempt| attempt.number != number) {
            return Step::NoChange;
        }
        match end {
            StreamEnd::Eof if self.plain.is_some() => Step::Complete,
            StreamEnd::Eof => {
                Step::AttemptFailed(Cause::ConnectionLost, "the answer ended early".into())
            }
            StreamEnd::ConnectionLost(detail) => Step::AttemptFailed(Cause::ConnectionLost, detail),
            StreamEnd::Unreachable(detail) => {
                self.change_dispatch_state(DispatchState::mark_unreachable);
                Step::AttemptFailed(Cause::Unreachable, detail)
            }
        }
    }

    /// Ends the attempt that counts and returns what is to be reported of it.
    pub fn close(&mut self, end: AttemptEnd) -> Option<AttemptReport> {
        let attempt = self.attempt.take()?;
        self.answer.forget_early();
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

    /// Ends the exchange and returns what may be said about whether it ran.
    pub fn into_outcome(self) -> RunOutcome {
        self.dispatch_state.into_outcome()
    }

    fn change_dispatch_state(&mut self, change: impl FnOnce(DispatchState) -> DispatchState) {
        // The placeholder claims the most, and is replaced at once.
        let placeholder =
            DispatchState::Undispatched(Undispatched::begin()).dispatch().mark_indeterminate();
        self.dispatch_state = change(std::mem::replace(&mut self.dispatch_state, placeholder));
    }
}

/// Says whether an engine's answer is the caller's, as any other engine would answer alike.
fn is_final_status(status: u16) -> bool {
    matches!(status, 200..300 | 400 | 413 | 422)
}
