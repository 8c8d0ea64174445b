//! Relays an upstream's response to the caller.

use std::{io, pin::pin, rc::Rc, time::Duration};

use bytes::BytesMut;
use dogwoodturn::{
    http::{
        body::{BodyDecoder, Step},
        connection::Connection,
        head::{Framing, ResponseHead},
        received::Received,
    },
    limit::memory::Reservation,
    units::Time,
};
use tokio::{task::yield_now, time::timeout};

use crate::{
    forward::{
        Delivery, Exchange, FailedResponse, ResponseWriter,
        attempt::{Attempt, Delay, MAX_SILENCE, MAX_SILENCE_FACTOR, Pending, REPLACEMENT_INTERVAL},
    },
    gateway::Gateway,
    placement::AttemptOutcome,
    request::LocalResponse,
    sse::{Event, EventBuffer},
};

/// Largest response body that is buffered before it is relayed, so that a truncated response can
/// still be retried or reported as a failure.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;
/// A stream that can be resumed elsewhere counts as silent after this multiple of the route's event gap.
const MAX_SILENT_GAPS: u32 = 3;
/// An upstream makes progress with each event that has data, and with each this many bytes, since long
/// events take a while. Comments and single bytes keep a connection open, but no caller is served by them.
const PROGRESS_BYTES: u64 = 256;
/// Event gap of a route that does not set one.
const DEFAULT_EVENT_GAP: Duration = Duration::from_millis(500);
/// Bytes of a response that are relayed before other tasks run. An upstream that always has more to send would
/// otherwise keep the thread for as long as its caller takes them.
const TURN_BYTES: usize = 64 * 1024;
/// Minimum time limit for writing a part of a response, even when the request's time is up.
const MIN_WRITE_TIMEOUT: Duration = Duration::from_millis(500);

/// The result of relaying a response.
pub enum Relayed<'a> {
    /// The request has ended.
    Delivered(Delivery),
    /// The response failed, and the request is to be retried at another upstream.
    Retry,
    /// The upstream is silent, and this other one resumes the stream.
    Replaced(Pending<'a>),
}

/// What became of a stream whose upstream was silent while another one was looked for.
enum Silence<'a> {
    /// The upstream goes on, or the stream has ended.
    Over,
    /// No other upstream takes the stream for now.
    Lasts,
    /// The stream broke off in the meantime. The other upstream has the request, if there is one.
    Broken(Option<Pending<'a>>),
    /// The other upstream has the request.
    Replaced(Pending<'a>),
}

/// The state of a response body after the available bytes were decoded.
enum BodyState {
    More,
    /// The body is complete; says whether its framing or the end of the connection ended it.
    End(&'static str),
    Broken(&'static str),
}

/// How the body of a response ended, for logs and metrics.
#[derive(Clone, Copy, Debug)]
pub(super) struct BodyEnd {
    pub(super) framing: Framing,
    /// `framing` for the declared length or the last chunk, otherwise what broke off the body.
    pub(super) cause: &'static str,
    /// The number of bytes of an event that lacked its end.
    pub(super) partial_bytes: usize,
}

impl<'a> Exchange<'a> {
    /// Relays the response of an attempt.
    pub(super) async fn relay(
        &mut self,
        attempt: &mut Attempt,
        head: ResponseHead,
        out: &mut ResponseWriter<'_>,
    ) -> Relayed<'a> {
        let is_event_stream = (200..300).contains(&head.status) && self.is_event_stream(&head);
        let is_too_long =
            matches!(head.framing, Framing::Length(length) if length > MAX_BUFFERED_BYTES as u64);
        let continues = |sent: &ResponseHead| is_event_stream && sent.status == head.status;
        if self.sent_head.as_ref().is_some_and(|sent| !continues(sent)) {
            log::warn!(event = "not-resumed", request:% = self.req.id, upstream:% = attempt.upstream.id, status = head.status; "");
            attempt.set_outcome(AttemptOutcome::Failed);
            return self.retry_or_fail(out).await;
        }
        let has_body = !self.req.is_head_request();
        if has_body && (is_event_stream || is_too_long) {
            let buffer = BodyBuffer::new(self.cx, &head, is_event_stream);
            return self.relay_chunks(attempt, head, out, buffer).await;
        }
        self.relay_complete(attempt, head, out).await
    }

    /// Reports whether a successful response is an event stream: by its type, or by its route if it
    /// has none.
    fn is_event_stream(&self, head: &ResponseHead) -> bool {
        let Some(content_type) = head.headers.text("content-type") else {
            return self.admitted.route.retry_safety.is_stream();
        };
        let media_type = content_type.split(';').next().unwrap_or_default();
        media_type.trim().eq_ignore_ascii_case("text/event-stream")
    }

    async fn relay_complete(
        &mut self,
        attempt: &mut Attempt,
        head: ResponseHead,
        out: &mut ResponseWriter<'_>,
    ) -> Relayed<'a> {
        self.record_start_once();
        let Some(connection) = attempt.connection.as_mut() else {
            return Relayed::Delivered(
                self.finish_unsuccessfully(out, &LocalResponse::lost("lost-by-upstream")).await,
            );
        };
        let mut buffer = BodyBuffer::new(self.cx, &head, false);
        let read = timeout(self.time_left(), buffer.read_complete(connection)).await;
        let body = match read {
            Ok(Ok(true)) => {
                let by_close = buffer.decoder.ends_with_connection();
                self.record_body_end(&head, if by_close { "closed" } else { "framing" }, &buffer);
                std::mem::take(&mut buffer.pending).freeze()
            }
            // The body is too long to buffer, so the rest is relayed as it arrives.
            Ok(Ok(false)) => return self.relay_chunks(attempt, head, out, buffer).await,
            Ok(Err(error)) => {
                self.record_body_end(&head, error_cause(&error), &buffer);
                log::warn!(event = "broken-body", request:% = self.req.id, upstream:% = attempt.upstream.id, error:%; "");
                attempt.set_outcome(AttemptOutcome::Broken);
                attempt.check_crash(self.req, false);
                return self.retry_or_fail(out).await;
            }
            Err(_) => {
                self.record_body_end(&head, "timed-out", &buffer);
                attempt.set_outcome(AttemptOutcome::Broken);
                return Relayed::Delivered(
                    self.finish_unsuccessfully(out, &LocalResponse::timed_out()).await,
                );
            }
        };
        attempt.record_response_start();
        let failed = head.status >= 500;
        attempt.set_outcome(if failed { AttemptOutcome::Failed } else { AttemptOutcome::Answered });
        attempt.keep_connection(&head);
        if failed && self.may_retry() && self.consume_retry() {
            self.failed_response =
                Some(FailedResponse { head, body, _memory: buffer.memory.clone() });
            return Relayed::Retry;
        }
        let outcome = if failed { "upstream-failure" } else { "answered" };
        if !failed {
            self.record_evidence(attempt, &head, buffer.decoder.ends_with_connection());
        }
        self.record_time_to_first_response();
        self.log(outcome, head.status, Duration::ZERO);
        self.cx.metrics.count_request(self.admitted.route.name.as_str(), outcome);
        Relayed::Delivered(
            out.write_complete(&head, &body, self.time_left().max(MIN_WRITE_TIMEOUT)).await,
        )
    }

    async fn relay_chunks(
        &mut self,
        attempt: &mut Attempt,
        head: ResponseHead,
        out: &mut ResponseWriter<'_>,
        mut buffer: BodyBuffer,
    ) -> Relayed<'a> {
        let is_event_stream = buffer.is_event_stream;
        let Some(mut connection) = attempt.connection.take() else {
            return Relayed::Delivered(
                self.finish_unsuccessfully(out, &LocalResponse::lost("lost-by-upstream")).await,
            );
        };
        let max_silence =
            self.admitted.route.max_event_gap.unwrap_or(DEFAULT_EVENT_GAP) * MAX_SILENT_GAPS;
        let (mut is_sound, mut turn_bytes) = (false, 0);
        let mut last_progress = self.cx.now();
        let (mut next_replacement, mut replacement) = (None, None);
        let first_event = (attempt.ticket.predicted * MAX_SILENCE_FACTOR).max(MAX_SILENCE);
        loop {
            let before = buffer.progress;
            let body_state = buffer.decode(&mut connection.received, &mut self.position);
            if buffer.progress > before {
                last_progress = self.cx.now();
                next_replacement = None;
            }
            let chunk = std::mem::take(&mut buffer.pending);
            let is_end = matches!(body_state, BodyState::End(_));
            let has_chunk = !chunk.is_empty() || is_end;
            if has_chunk && !self.send_chunk(attempt, &head, &chunk, is_end, out).await {
                return Relayed::Delivered(Delivery::Truncated);
            }
            drop(chunk);
            buffer.memory.cover(buffer.events.partial_bytes());
            if !is_sound && has_chunk && attempt.is_proved_sound() {
                is_sound = true;
                attempt.record_sound(self.req);
            }
            match body_state {
                BodyState::End(cause) => {
                    self.record_body_end(&head, cause, &buffer);
                    break;
                }
                BodyState::Broken(reason) => {
                    self.record_broken(attempt, &head, reason, last_progress, &buffer);
                    // The last events may have had no ID, and then the stream cannot be resumed any more.
                    return match replacement.filter(|_| self.may_retry()) {
                        Some(replacement) => Relayed::Replaced(replacement),
                        None => self.retry_or_fail(out).await,
                    };
                }
                BodyState::More => replacement = None,
            }
            let time_left = self.time_left();
            let may_resume = is_event_stream && self.can_retry();
            let read_timeout = if may_resume {
                // Work before the first event may take longer than the gap between two.
                let least = if buffer.has_events { Duration::ZERO } else { first_event };
                let silent_at = last_progress + least.max(max_silence);
                time_left.min(next_replacement.unwrap_or(silent_at).since(self.cx.now()))
            } else {
                time_left
            };
            match timeout(read_timeout, connection.read()).await {
                Ok(Ok(length)) => {
                    turn_bytes += length;
                    if turn_bytes >= TURN_BYTES {
                        turn_bytes = 0;
                        yield_now().await;
                    }
                }
                // The next decoding judges it, after the bytes before it.
                Ok(Err(_)) => {}
                Err(_) if time_left <= read_timeout => {
                    self.record_body_end(&head, "timed-out", &buffer);
                    attempt.set_outcome(AttemptOutcome::Broken);
                    return Relayed::Delivered(
                        self.finish_unsuccessfully(out, &LocalResponse::timed_out()).await,
                    );
                }
                Err(_) => match self.look_for_replacement(&buffer, &mut connection).await {
                    Silence::Over => {}
                    Silence::Lasts => {
                        next_replacement = Some(self.cx.now() + REPLACEMENT_INTERVAL);
                    }
                    Silence::Broken(other) => replacement = other,
                    Silence::Replaced(other) => {
                        self.record_broken(attempt, &head, "silent", last_progress, &buffer);
                        return Relayed::Replaced(other);
                    }
                },
            }
        }
        attempt.set_outcome(AttemptOutcome::Answered);
        attempt.connection = Some(connection);
        attempt.keep_connection(&head);
        self.log("answered", head.status, Duration::ZERO);
        self.cx.metrics.count_request(self.admitted.route.name.as_str(), "answered");
        self.record_evidence(attempt, &head, buffer.decoder.ends_with_connection());
        Relayed::Delivered(Delivery::Complete)
    }

    /// Looks for another upstream that takes over a silent stream, and stops once the stream goes on.
    async fn look_for_replacement(
        &self,
        buffer: &BodyBuffer,
        connection: &mut Connection,
    ) -> Silence<'a> {
        let mut choice = pin!(self.choose_replacement(Delay::Silent));
        let state = tokio::select! {
            biased;
            state = buffer.read_until_progress(connection, self.position) => state,
            choice = &mut choice => return choice.map_or(Silence::Lasts, Silence::Replaced),
        };
        match state {
            // The other upstream may have the request already.
            BodyState::Broken(_) => Silence::Broken(choice.await),
            BodyState::More | BodyState::End(_) => Silence::Over,
        }
    }

    /// Records a complete response as evidence that its request does not crash upstreams. A response
    /// that ended with its connection is evidence only if its upstream has not crashed.
    fn record_evidence(&self, attempt: &Attempt, head: &ResponseHead, ended_with_connection: bool) {
        if ended_with_connection {
            if self.req.prompt.shared_parts().next().is_some() {
                attempt.check_crash(self.req, true);
            }
        } else if (200..300).contains(&head.status) {
            attempt.record_sound(self.req);
        }
    }

    /// Records that a response broke off, or that its stream is resumed elsewhere.
    fn record_broken(
        &mut self,
        attempt: &mut Attempt,
        head: &ResponseHead,
        reason: &'static str,
        last_bytes: Time,
        buffer: &BodyBuffer,
    ) {
        self.record_body_end(head, reason, buffer);
        log::warn!(
            event = "broken-stream",
            request:% = self.req.id,
            upstream:% = attempt.upstream.id,
            reason,
            silent_ms = self.cx.now().since(last_bytes).as_millis() as u64,
            framing = head.framing.name(),
            partial_bytes = buffer.events.partial_bytes();
            ""
        );
        attempt.set_outcome(AttemptOutcome::Broken);
        attempt.check_crash(self.req, false);
    }

    async fn send_chunk(
        &mut self,
        attempt: &mut Attempt,
        head: &ResponseHead,
        chunk: &[u8],
        is_end: bool,
        out: &mut ResponseWriter<'_>,
    ) -> bool {
        attempt.record_response_start();
        if self.sent_head.is_none() {
            self.record_start_once();
            self.record_time_to_first_response();
            self.sent_head = Some(head.clone());
        }
        out.write_part(head, chunk, is_end, self.time_left().max(MIN_WRITE_TIMEOUT)).await
    }

    /// Requests a retry at another upstream if the route and the budget allow it, and fails the
    /// request otherwise.
    async fn retry_or_fail(&mut self, out: &mut ResponseWriter<'_>) -> Relayed<'a> {
        if self.may_retry() && self.consume_retry() {
            return Relayed::Retry;
        }
        Relayed::Delivered(
            self.finish_unsuccessfully(out, &LocalResponse::lost("lost-by-upstream")).await,
        )
    }

    fn record_body_end(&mut self, head: &ResponseHead, cause: &'static str, buffer: &BodyBuffer) {
        let partial_bytes = buffer.events.partial_bytes();
        self.cx.metrics.count_upstream_body(head.framing.name(), cause);
        self.body_end = Some(BodyEnd { framing: head.framing, cause, partial_bytes });
    }

    fn record_time_to_first_response(&mut self) {
        let elapsed = self.cx.now().since(self.req.arrived);
        self.first_response = Some(elapsed);
        let admitted = &self.admitted;
        self.cx.state.borrow_mut().record_contention_response(
            self.cx.now(),
            &admitted.service,
            admitted.rank,
            elapsed <= admitted.route.latency_target,
        );
        self.cx.metrics.observe_first_response(self.admitted.route.name.as_str(), elapsed);
    }
}

fn error_cause(error: &io::Error) -> &'static str {
    match error.kind() {
        io::ErrorKind::UnexpectedEof => "closed",
        io::ErrorKind::InvalidData => "malformed",
        // This host's kernel gave up the connection; the upstream may still be sound.
        io::ErrorKind::TimedOut => "unacknowledged",
        _ => "reset",
    }
}

/// How much of a stream the caller has.
#[derive(Clone, Copy, Debug)]
pub(super) struct StreamPosition {
    /// The ID of the last event that has one.
    pub(super) last_event: Option<u64>,
    /// Whether events without an ID follow. A resumption after `last_event` would repeat them.
    pub(super) has_unnumbered_events: bool,
}

impl StreamPosition {
    /// Moves past an event. Returns false if the caller already has it.
    fn advance(&mut self, event: &Event) -> bool {
        match event.id {
            Some(_) if event.id <= self.last_event => return false,
            Some(_) => *self = Self { last_event: event.id, has_unnumbered_events: false },
            None => self.has_unnumbered_events |= event.has_data,
        }
        true
    }
}

/// Decodes a response body and buffers the bytes that may be sent to the caller.
#[derive(Clone)]
struct BodyBuffer {
    decoder: BodyDecoder,
    events: EventBuffer,
    is_event_stream: bool,
    /// Whether an event with data has arrived.
    has_events: bool,
    /// The number of events and of [`PROGRESS_BYTES`] that have arrived.
    progress: u64,
    bytes: u64,
    /// Decoded bytes that may be sent to the caller.
    pending: BytesMut,
    memory: Rc<Reservation>,
}

impl BodyBuffer {
    fn new(cx: &Gateway, head: &ResponseHead, is_event_stream: bool) -> Self {
        Self {
            decoder: BodyDecoder::new(head.framing),
            events: EventBuffer::default(),
            is_event_stream,
            has_events: false,
            progress: 0,
            bytes: 0,
            pending: BytesMut::new(),
            memory: Rc::new(cx.response_memory.begin()),
        }
    }

    /// Reads the complete body. Returns false if it is longer than [`MAX_BUFFERED_BYTES`], or if there is no
    /// memory for all of it; the bytes that were read stay in `pending`.
    async fn read_complete(&mut self, connection: &mut Connection) -> io::Result<bool> {
        while let Some(data) = connection.read_body(&mut self.decoder).await? {
            self.pending.extend_from_slice(&data);
            let length = self.pending.len();
            if length > MAX_BUFFERED_BYTES || !self.memory.cover(length) {
                return Ok(false);
            }
        }
        Ok(true)
    }

    /// Decodes what was received into `pending`; of a stream, only complete events after `position`.
    fn decode(&mut self, received: &mut Received, position: &mut StreamPosition) -> BodyState {
        let framing_ends = !self.decoder.ends_with_connection();
        loop {
            match received.decode(&mut self.decoder) {
                Ok(Step::Data(data)) if self.is_event_stream => {
                    if self.events.push(&data).is_err() {
                        return BodyState::Broken("event-too-long");
                    }
                    if !self.memory.cover(self.events.partial_bytes()) {
                        return BodyState::Broken("no-memory");
                    }
                    let before = self.bytes / PROGRESS_BYTES;
                    self.bytes += data.len() as u64;
                    self.progress += self.bytes / PROGRESS_BYTES - before;
                    while let Some(event) = self.events.next_event() {
                        self.has_events |= event.has_data;
                        self.progress += u64::from(event.has_data);
                        if position.advance(&event) {
                            self.pending.extend_from_slice(&event.bytes);
                        }
                    }
                }
                Ok(Step::Data(data)) => self.pending.extend_from_slice(&data),
                Ok(Step::NeedsMore) => return BodyState::More,
                Ok(Step::End) => {
                    return self.end(if framing_ends { "framing" } else { "closed" });
                }
                Err(error) => return BodyState::Broken(error_cause(&error)),
            }
        }
    }

    /// Reads without decoding until the bytes show progress, or until the body has ended or broken off.
    /// Returns its state then.
    async fn read_until_progress(
        &self,
        connection: &mut Connection,
        position: StreamPosition,
    ) -> BodyState {
        loop {
            // The decoding judges an error, after the bytes before it.
            let _ = connection.read().await;
            let (mut ahead, mut received) = (self.clone(), connection.received.clone());
            let state = ahead.decode(&mut received, &mut { position });
            if ahead.progress > self.progress || !matches!(state, BodyState::More) {
                return state;
            }
        }
    }

    /// Returns the state at the regular end of the body, whose framing does not show whether an event
    /// was cut.
    fn end(&self, cause: &'static str) -> BodyState {
        if self.events.partial_bytes() > 0 {
            BodyState::Broken("partial-event")
        } else {
            BodyState::End(cause)
        }
    }
}
