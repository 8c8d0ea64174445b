//! One attempt to run a request at one upstream, up to the head of its response.

use std::{
    cell::Cell,
    convert::Infallible,
    io,
    os::fd::{AsRawFd as _, RawFd},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use dogwoodturn::{
    http::{
        connection::{Connection, MAX_RESPONSE_HEAD_BYTES},
        head::ResponseHead,
        tcp_info::TcpInfo,
    },
    ids::{RouteName, ServiceName, UpstreamId},
    limit::{
        brittle::Tolerance,
        ramp::{Cause, Outcome},
        upstream::RequestRate,
        warm_up,
    },
    request::crash_evidence::{SOUND_AFTER, Suspect},
    units::Time,
};
use futures_util::future::{self, LocalBoxFuture};
use tokio::{
    io::Interest,
    time::{Instant, sleep, timeout, timeout_at},
};

use crate::{
    connect,
    forward::admission::Admitted,
    gateway::{Gateway, State},
    header_schema::ReportedPace,
    leaving::Source,
    legs::Legs,
    placement::{AttemptOutcome, Ticket},
    request::{ForwardingParams, Request},
    store::UpstreamRecord,
};

/// Number of responses to other requests that are read on a connection before the attempt fails.
const MAX_FOREIGN_RESPONSES: u32 = 2;
/// An upstream that sends no response head counts as silent after this multiple of the predicted time
/// or of the latency target, whichever is longer.
const SILENT_FACTOR: u32 = 4;
/// It counts as silent at the latest after the remaining time divided by this, so that time for a
/// replacement is left.
const SILENT_DIVISOR: u32 = 2;
/// It counts as silent after this time, unless the predicted time or the latency target is close to it.
/// Most callers leave after a silence of two to four seconds.
pub(super) const MAX_SILENCE: Duration = Duration::from_secs(2);
/// As [`MAX_SILENCE`], as a multiple of the predicted time or of the latency target.
pub(super) const MAX_SILENCE_FACTOR: u32 = 2;
/// Interval at which a replacement for a silent upstream is looked for.
pub(super) const REPLACEMENT_INTERVAL: Duration = Duration::from_millis(250);
/// Fraction of the latency target after which a request that can be retried counts as late.
const LATE_TARGET_SHARE: f64 = 0.5;
/// Such a request does not count as late before this multiple of its predicted time.
const LATE_FACTOR: u32 = 2;
/// Subtracted from the deadline that is sent to an upstream, so that the upstream's own time-out
/// response arrives in time.
const RESPONSE_TRANSIT: Duration = Duration::from_millis(10);
/// Delay after a broken connection before its upstream is checked for a crash.
const CRASH_CHECK_DELAY: Duration = Duration::from_millis(60);

/// Delay after which the acknowledgement of a request is first looked for; it doubles each time, since only slow ones
/// matter.
const FIRST_ACKNOWLEDGEMENT_CHECK: Duration = Duration::from_millis(20);

/// Longest interval of these checks, so that the evidence of bytes that wait stays fresh.
const MAX_ACKNOWLEDGEMENT_CHECK: Duration = Duration::from_millis(320);

/// How an upstream responded to a request.
pub enum Response {
    /// The upstream stated that it did not run the request.
    NotRun,
    /// The connection broke before a response to the request.
    Broken,
    /// The head of the response arrived.
    Head(ResponseHead),
}

/// How the wait for a response ended.
pub enum Waited<'a> {
    Response(Box<Attempt>, Response),
    /// No response has arrived yet, and this other upstream has the request.
    Replaced(Pending<'a>, Delay),
    /// No response arrived before the deadline.
    TimedOut,
}

/// Why a request may be moved to another upstream while the current one has not failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delay {
    /// The response is later than predicted.
    Late,
    /// Nothing has arrived for so long that the upstream may have stopped.
    Silent,
}

/// One attempt at one upstream; its outcome is recorded when it is dropped.
pub struct Attempt {
    cx: Rc<Gateway>,
    pub(super) upstream: UpstreamRecord,
    pub(super) service: ServiceName,
    route: RouteName,
    target: Duration,
    content: u64,
    max_connections: u32,
    /// Whether its bytes may pass through other gateways.
    may_tunnel: bool,
    pub(super) ticket: Ticket,
    legs: Legs,
    pub(super) connection: Option<Connection>,
    /// Whether the whole request has been written and no response to another request was read after
    /// that.
    pub(super) is_request_written: bool,
    first_response: Option<Duration>,
    /// Whether the response has a status of 2xx.
    is_success: bool,
    /// Whether the response counts as completed in the upstream's ramp.
    is_ramp_recorded: Cell<bool>,
    /// Shared with the [`Pending`] that owns the attempt.
    outcome: Rc<Cell<AttemptOutcome>>,
}

impl Attempt {
    pub(super) fn new(
        cx: &Rc<Gateway>,
        req: &Request,
        admitted: &Admitted,
        upstream: UpstreamRecord,
        ticket: Ticket,
    ) -> Self {
        let service = admitted.table.services.get(&admitted.service);
        Self {
            cx: cx.clone(),
            service: admitted.service.clone(),
            route: admitted.route.name.clone(),
            target: admitted.route.latency_target,
            content: admitted.content,
            max_connections: service.map_or(u32::MAX, |service| service.max_connections),
            may_tunnel: connect::may_tunnel(admitted.homes(&cx.settings().regions)),
            upstream,
            legs: Legs::new(&req.id, req.arrived, req.unread, req.read, ticket.chosen_at),
            ticket,
            connection: None,
            is_request_written: false,
            first_response: None,
            is_success: false,
            is_ramp_recorded: Cell::new(false),
            outcome: Rc::new(Cell::new(AttemptOutcome::Unknown)),
        }
    }

    /// Returns the outcome of an attempt whose upstream could not be reached, which says nothing about
    /// the upstream if this gateway has lost its links.
    pub(super) fn unreachable_outcome(&self) -> AttemptOutcome {
        if self.cx.state.borrow().reachability.is_isolated(&self.service) {
            AttemptOutcome::Unknown
        } else {
            AttemptOutcome::Broken
        }
    }

    /// Ends the attempt with an outcome and closes its connection.
    pub(super) fn end(self, outcome: AttemptOutcome) {
        self.set_outcome(outcome);
    }

    pub(super) fn set_outcome(&self, outcome: AttemptOutcome) {
        self.outcome.set(outcome);
    }

    /// Records that the first event, or the complete response, has arrived.
    pub(super) fn record_response_start(&mut self) {
        let now = self.cx.now();
        if self.first_response.is_none() {
            self.first_response = Some(now.since(self.ticket.chosen_at));
            self.cx.state.borrow_mut().placement.record_first_response(
                now,
                &self.service,
                &mut self.ticket,
            );
        }
    }

    /// Returns the connection to the pool if it can carry another request.
    pub(super) fn keep_connection(&mut self, head: &ResponseHead) {
        let Some(connection) = self.connection.take() else { return };
        let is_usable = head.keep_alive && self.is_request_written && connection.is_idle();
        if !is_usable || !self.accepts_work() {
            return;
        }
        let idle_timeout = head.headers.text("keep-alive").and_then(parse_idle_timeout);
        let now = self.cx.now();
        let connection_share = self.max_connections / self.cx.state.borrow().peer_table.size();
        self.cx.pool.borrow_mut().release(
            now,
            &self.upstream.id,
            connection,
            idle_timeout,
            connection_share,
        );
    }

    /// Starts to send the request over the open connection; the bytes are written once the result is
    /// awaited.
    pub(super) fn start<'a>(
        self,
        req: &'a Request,
        admitted: &Admitted,
        last_event: Option<u64>,
    ) -> Pending<'a> {
        let time_left = admitted.expires_at.since(self.cx.now());
        let service = admitted.table.services.get(&self.service);
        let urgency = service.and_then(|service| service.engine).map(|_| admitted.urgency);
        let to = ForwardingParams {
            time_left: time_left.saturating_sub(RESPONSE_TRANSIT.max(self.legs.round_trip())),
            upstream: self.upstream.id.as_str(),
            customer: admitted.customer.as_ref(),
            urgency,
            last_event,
        };
        let bytes = req.encode_for_upstream(&self.cx.header_schema, &to).freeze();
        admitted.mark_may_have_run();
        let (target, predicted) = (admitted.route.latency_target, self.ticket.predicted);
        let silent_after = (predicted.max(target) * SILENT_FACTOR)
            .min((predicted.max(target) * MAX_SILENCE_FACTOR).max(MAX_SILENCE))
            .min(time_left / SILENT_DIVISOR);
        let late_after = target.mul_f64(LATE_TARGET_SHARE).max(predicted * LATE_FACTOR);
        Pending {
            cx: self.cx.clone(),
            upstream: self.upstream.id.clone(),
            predicted,
            chosen_at: self.ticket.chosen_at,
            outcome: self.outcome.clone(),
            started: Instant::now(),
            patience: Patience { late_after, silent_after, time_left },
            response: Box::pin(self.receive_response(req, bytes)),
        }
    }

    /// Sends the encoded request and reads the head of its response.
    async fn receive_response(mut self, req: &Request, bytes: Bytes) -> (Box<Self>, Response) {
        let Some(mut connection) = self.connection.take() else {
            return (Box::new(self), Response::Broken);
        };
        let head = match self.exchange(&mut connection, &bytes, req).await {
            Ok(head) => head,
            Err(error) => {
                log::warn!(event = "broken", request:% = req.id, upstream:% = self.upstream.id, reused = connection.reused, error:%; "");
                drop(connection);
                self.check_crash(req, false);
                return (Box::new(self), Response::Broken);
            }
        };
        self.record_acknowledged();
        self.legs.record_answered(self.cx.now());
        let load = head.headers.text(self.cx.header_schema.load);
        if let Some(load) = load.and_then(self.cx.header_schema.read_load) {
            let now = self.cx.now();
            let mut state = self.cx.state.borrow_mut();
            let is_pace_logged = state.placement.record_load(now, &self.upstream.id, load);
            drop(state);
            if is_pace_logged {
                let text = head.headers.text(self.cx.header_schema.load);
                log::warn!(event = "malformed-pace", upstream:% = self.upstream.id, load = text; "the pace that an upstream reported is ignored");
            }
            if let ReportedPace::Valid(pace) = load.pace {
                self.cx.metrics.observe_upstream_pace(pace);
            }
        }
        self.record_leaving(&head);
        self.record_limit(&head);
        self.record_warm_up(&head);
        self.record_brittle(&head);
        self.is_success = (200..300).contains(&head.status);
        self.connection = Some(connection);
        if is_not_run(&head, self.cx.header_schema.not_run) {
            log::info!(event = "not-run", request:% = req.id, upstream:% = self.upstream.id, status = head.status; "");
            return (Box::new(self), Response::NotRun);
        }
        (Box::new(self), Response::Head(head))
    }

    /// Records the limit that a response names, or that it names none.
    fn record_limit(&self, head: &ResponseHead) {
        let text = head.headers.text(self.cx.header_schema.rate_limit);
        let rate = text.map(str::parse::<RequestRate>).transpose().unwrap_or_else(|error| {
            log::warn!(event = "malformed-limit", upstream:% = self.upstream.id, limit = text, error:%; "the limit that an upstream named is ignored");
            None
        });
        let mut state = self.cx.state.borrow_mut();
        let (id, sent_at) = (&self.upstream.id, self.ticket.chosen_at);
        state.upstream_limits.record(self.cx.now(), id, sent_at, rate);
    }

    /// Records whether the upstream says that it leaves, and closes the idle connections to it then.
    fn record_leaving(&self, head: &ResponseHead) {
        let name = self.cx.header_schema.leaving;
        // With 421, another upstream responds that has got the address.
        if head.headers.get(name).is_none() || head.status == 421 {
            return;
        }
        if !head.headers.has_token(name, b"1") {
            log::warn!(event = "malformed-leaving", upstream:% = self.upstream.id, value = head.headers.text(name).unwrap_or("-"); "what an upstream says about its leaving is ignored");
            return;
        }
        let start = (self.upstream.id.clone(), self.upstream.started);
        let mut state = self.cx.state.borrow_mut();
        if state.record_leaving_statement(self.cx.now(), &start, Source::Response) {
            self.cx.metrics.leaving_statements.inc();
        }
        if state.directory.get(&start.0).is_some_and(|known| known.record.started == start.1) {
            self.cx.pool.borrow_mut().remove_upstream(&start.0);
        }
    }

    /// Records how long the upstream stays cold, if a response says so.
    fn record_warm_up(&self, head: &ResponseHead) {
        let Some(text) = head.headers.text(self.cx.header_schema.warm_up_ms) else { return };
        let left = text.trim().parse::<f64>().ok();
        let left = left.and_then(|ms| Duration::try_from_secs_f64(ms / 1000.0).ok());
        let Some(left) = left else {
            log::warn!(event = "malformed-warm-up", upstream:% = self.upstream.id, left = text; "the time for which an upstream stays cold is ignored");
            return;
        };
        let mut state = self.cx.state.borrow_mut();
        state.limit_while_cold(
            self.cx.now(),
            &self.upstream.id,
            &self.service,
            Some(left.min(warm_up::MAX_WARM_UP)),
        );
    }

    /// Connects to the upstream, and reports whether that succeeded. Nothing is sent.
    pub(super) async fn open(&mut self, req: &Request, expires_at: Time) -> bool {
        if self.connection.is_some() {
            return true;
        }
        match self.connect(expires_at).await {
            Ok(connection) => {
                let round_trip = TcpInfo::read(&connection.stream).map(|info| info.round_trip);
                self.legs.record_connected(self.cx.now(), round_trip.unwrap_or_default());
                self.connection = Some(connection);
                true
            }
            Err(error) => {
                let mut state = self.cx.state.borrow_mut();
                if !state.reachability.is_isolated(&self.service) {
                    let now = self.cx.now();
                    state.placement.mark_unreachable(now, &self.upstream.id);
                    state.assume_cold(now, &self.upstream.id, &self.service);
                    // A refusal comes from the host, unlike a time-out, which may be due to a link.
                    if error.kind() == io::ErrorKind::ConnectionRefused {
                        state.warm_ups.observe(now, &self.upstream.id);
                    }
                    state.begin_ramp(now, &self.upstream.id, Cause::Unreachable);
                }
                log::warn!(event = "unreachable", request:% = req.id, upstream:% = self.upstream.id, error:%; "");
                false
            }
        }
    }

    /// Returns the round trip of the connection, within which no request arrives and is answered.
    pub(super) fn round_trip(&self) -> Duration {
        self.legs.round_trip()
    }

    /// Reports whether the upstream still accepts work, which may have changed while it was connected. Logs if
    /// it does not.
    pub(super) fn may_be_sent(&self) -> bool {
        let is_live = self.accepts_work();
        if !is_live {
            log::info!(event = "left-before-sending", upstream:% = self.upstream.id, waited_ms = self.cx.now().since(self.ticket.chosen_at).as_millis() as u64; "");
        }
        is_live
    }

    fn accepts_work(&self) -> bool {
        let state = self.cx.state.borrow();
        let known = state.directory.get(&self.upstream.id);
        known.is_some_and(|known| {
            known.record.started == self.upstream.started
                && state.directory.may_get_work(self.cx.now(), known)
        })
    }

    /// Records whether a response says that the upstream is brittle, and whether it had no room.
    fn record_brittle(&self, head: &ResponseHead) {
        let text = head.headers.text(self.cx.header_schema.brittle);
        let tolerance = text.map(str::parse::<Tolerance>).transpose().unwrap_or_else(|error| {
            log::warn!(event = "malformed-tolerance", upstream:% = self.upstream.id, tolerance = text, error:%; "the rejections that an upstream survives are taken as none");
            Some(Tolerance(0))
        });
        let mut state = self.cx.state.borrow_mut();
        let (now, id, sent_at) = (self.cx.now(), &self.upstream.id, self.ticket.chosen_at);
        state.brittle.record(now, id, &self.service, sent_at, tolerance);
        if head.status == 503 && is_not_run(head, self.cx.header_schema.not_run) {
            state.brittle.record_rejection(now, id);
        }
    }

    async fn connect(&self, expires_at: Time) -> io::Result<Connection> {
        let now = self.cx.now();
        if self.cx.state.borrow().send_delays.is_delayed(now, &self.upstream.id) {
            self.cx.metrics.avoided_idle_connections.inc();
        } else {
            let idle = self.cx.pool.borrow_mut().acquire(now, &self.upstream.id);
            if let Some(connection) = idle {
                return Ok(connection);
            }
        }
        let opened = connect::open(&self.cx, &self.upstream, expires_at, self.may_tunnel).await;
        if opened.is_ok() {
            let mut state = self.cx.state.borrow_mut();
            state.send_delays.record_acknowledged(&self.upstream.id, now);
        }
        opened
    }

    /// Writes the request, reading a response that arrives early, and returns the head of the
    /// response to this request.
    async fn exchange(
        &mut self,
        connection: &mut Connection,
        bytes: &[u8],
        req: &Request,
    ) -> io::Result<ResponseHead> {
        let (mut sent, mut received) = (0, 0);
        let mut last_write = self.cx.now();
        while sent < bytes.len() {
            let ready = connection.stream.ready(Interest::READABLE | Interest::WRITABLE);
            let Ok(ready) = timeout(MAX_ACKNOWLEDGEMENT_CHECK, ready).await else {
                self.record_waiting(last_write);
                continue;
            };
            let ready = ready?;
            // A response that has arrived counts, even if the rest of the request cannot be written any more.
            if ready.is_readable() {
                match connection.try_read() {
                    Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                    Ok(length) => {
                        received += length;
                        let head = connection.try_parse_head(req.is_head_request(), received)?;
                        if let Some(head) = head {
                            return self.skip_foreign_responses(connection, head, req).await;
                        }
                    }
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                    Err(error) => return Err(error),
                }
            }
            if ready.is_writable() {
                match connection.try_write(&bytes[sent..]) {
                    Ok(written) => {
                        sent += written;
                        last_write = self.cx.now();
                    }
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                    Err(_) => {
                        let head = connection.read_head(req.is_head_request()).await?;
                        return self.skip_foreign_responses(connection, head, req).await;
                    }
                }
            }
        }
        self.is_request_written = true;
        self.legs.record_written(self.cx.now());
        let socket = connection.stream.as_raw_fd();
        let head = tokio::select! {
            biased;
            head = connection.read_head(req.is_head_request()) => head?,
            never = self.watch_acknowledgement(socket) => match never {},
        };
        self.skip_foreign_responses(connection, head, req).await
    }

    /// Records when the upstream's system has the whole request.
    async fn watch_acknowledgement(&mut self, socket: RawFd) -> Infallible {
        let mut interval = FIRST_ACKNOWLEDGEMENT_CHECK;
        loop {
            sleep(interval).await;
            match TcpInfo::read(&socket) {
                Some(info) if !info.is_acknowledged() => {
                    interval = (interval * 2).min(MAX_ACKNOWLEDGEMENT_CHECK);
                    self.record_waiting(self.legs.written());
                }
                info => {
                    if info.is_some() {
                        self.record_acknowledged();
                    }
                    return future::pending().await;
                }
            }
        }
    }

    /// Records that bytes that were written at this time have not arrived yet.
    fn record_waiting(&self, written: Time) {
        let mut state = self.cx.state.borrow_mut();
        state.send_delays.record_waiting(self.cx.now(), &self.upstream.id, written);
    }

    fn record_acknowledged(&mut self) {
        self.legs.record_acknowledged(self.cx.now());
        let mut state = self.cx.state.borrow_mut();
        state.send_delays.record_acknowledged(&self.upstream.id, self.legs.written());
    }

    /// Skips late responses to earlier requests on the connection.
    async fn skip_foreign_responses(
        &mut self,
        connection: &mut Connection,
        mut head: ResponseHead,
        req: &Request,
    ) -> io::Result<ResponseHead> {
        for _ in 0..MAX_FOREIGN_RESPONSES {
            let echoed = head.headers.text(self.cx.header_schema.request_id);
            let is_own = match echoed {
                Some(id) => *id == *req.id,
                // An earlier refusal may have been written once more on a connection that is kept.
                None => !connection.reused && is_not_run(&head, self.cx.header_schema.not_run),
            };
            if is_own {
                return Ok(head);
            }
            log::warn!(event = "foreign-answer", request:% = req.id, upstream:% = self.upstream.id, echoed = echoed.unwrap_or("-"); "");
            // After a foreign response the connection must not carry another request.
            self.is_request_written = false;
            connection.read_full_body(&head, MAX_RESPONSE_HEAD_BYTES).await?;
            head = connection.read_head(req.is_head_request()).await?;
        }
        Err(io::Error::new(
            io::ErrorKind::InvalidData,
            "the upstream sent only responses to other requests",
        ))
    }

    /// Checks after [`CRASH_CHECK_DELAY`] whether the upstream still accepts connections, and counts
    /// the request as one that crashes upstreams if not. `looks_complete` states that the response
    /// ended with the connection, which proves nothing while the upstream may have crashed.
    pub(super) fn check_crash(&self, req: &Request, looks_complete: bool) {
        let (cx, content, at) = (self.cx.clone(), self.content, self.cx.now());
        let (request, upstream) = (req.id.clone(), self.upstream.clone());
        let prompt = req.prompt.clone();
        let is_suspect = self.is_request_written && !self.is_proved_sound();
        actix_rt::spawn(async move {
            actix_rt::time::sleep(CRASH_CHECK_DELAY).await;
            // Also through another gateway, since the link may have failed and not the upstream.
            let crashed = !connect::is_reachable(&cx, &upstream).await;
            let (mut state, now) = (cx.state.borrow_mut(), cx.now());
            // A brittle upstream falls over by the requests that it rejects, not by those that it runs.
            let is_brittle = state.brittle.service_tolerance(now, &upstream.service).is_some();
            if crashed {
                state.begin_ramp(now, &upstream.id, Cause::Crashed);
            }
            if crashed && is_brittle {
                log::warn!(event = "fall", request:%, upstream:% = upstream.id; "");
            } else if crashed {
                cx.metrics.upstream_crashes.inc();
                state.assume_cold(now, &upstream.id, &upstream.service);
                state.warm_ups.observe(now, &upstream.id);
                log::warn!(event = "crash", request:%, upstream:% = upstream.id, content:% = format_args!("{content:016x}"), parts:% = prompt, is_suspect; "");
                if is_suspect {
                    let suspect = Suspect::new(content, prompt.shared_parts());
                    state.crash_evidence.record_crash(now, &upstream.id, at, suspect);
                }
            } else if looks_complete {
                state.crash_evidence.record_served(now, content, prompt.shared_parts());
            }
        });
    }

    /// Records that the upstream has not crashed although it runs the request.
    pub(super) fn record_sound(&self, req: &Request) {
        let mut state = self.cx.state.borrow_mut();
        let parts = req.prompt.shared_parts();
        state.crash_evidence.record_served(self.cx.now(), self.content, parts);
        if self.is_success && !self.is_ramp_recorded.replace(true) {
            // The end of a long stream would be too late to tell that its upstream keeps up.
            let now = self.cx.now();
            let waited = now.since(self.ticket.chosen_at);
            self.record_ramp(
                &mut state,
                now,
                Outcome::Completed(self.first_response.unwrap_or(waited)),
            );
        }
    }

    /// Records what the response tells about an upstream that ramps up.
    fn record_ramp(&self, state: &mut State, now: Time, outcome: Outcome) {
        let (id, sent_at) = (&self.upstream.id, self.ticket.chosen_at);
        state.ramps.ramps.record(now, id, sent_at, self.target, outcome);
    }

    /// Returns what the end of the attempt tells about an upstream that ramps up. Responses with a status
    /// of 3xx or 4xx and requests that their callers left tell nothing.
    fn ramp_outcome(&self, waited: Duration) -> Option<Outcome> {
        match self.outcome.get() {
            AttemptOutcome::Answered if !self.is_success || self.is_ramp_recorded.get() => None,
            AttemptOutcome::Answered => {
                Some(Outcome::Completed(self.first_response.unwrap_or(waited)))
            }
            AttemptOutcome::Late => Some(Outcome::Late),
            AttemptOutcome::Failed | AttemptOutcome::Broken => Some(Outcome::Failed),
            AttemptOutcome::Unknown => {
                let is_late = self.first_response.is_none() && waited > self.target;
                is_late.then_some(Outcome::Late)
            }
        }
    }

    /// Reports whether the response has been produced for long enough that a crash of the upstream has
    /// another cause.
    pub(super) fn is_proved_sound(&self) -> bool {
        self.first_response.is_some_and(|first_response| {
            self.cx.now().since(self.ticket.chosen_at + first_response) >= SOUND_AFTER
        })
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        let now = self.cx.now();
        let waited = now.since(self.ticket.chosen_at);
        self.cx.metrics.observe_legs(&self.legs);
        if self.legs.is_slow(now) && self.cx.leg_log.take(now) {
            self.legs.log(now, self.upstream.id.as_str());
        }
        let outcome = self.outcome.get();
        let is_abandoned_late = outcome == AttemptOutcome::Unknown && waited > self.target;
        let first_response = self.first_response.or(is_abandoned_late.then_some(waited));
        let has_result = outcome != AttemptOutcome::Unknown || first_response.is_some();
        let mut state = self.cx.state.borrow_mut();
        state.placement.record_outcome(now, &self.service, &self.ticket, outcome);
        if let Some(outcome) = self.ramp_outcome(waited) {
            self.record_ramp(&mut state, now, outcome);
        }
        if has_result {
            let (version, route) = (&self.upstream.version, &self.route);
            let failed = !matches!(outcome, AttemptOutcome::Answered | AttemptOutcome::Unknown);
            let latency = first_response.filter(|_| !failed);
            state.rollouts.record_outcome(&self.service, version, route, failed, latency);
        }
    }
}

/// How long a response is waited for before another upstream is considered.
#[derive(Clone, Copy, Debug)]
struct Patience {
    late_after: Duration,
    silent_after: Duration,
    /// The time until the deadline.
    time_left: Duration,
}

/// A request at an upstream that has not responded yet. Dropping it closes the connection, which ends
/// the request there.
pub struct Pending<'a> {
    cx: Rc<Gateway>,
    pub(super) upstream: UpstreamId,
    pub(super) predicted: Duration,
    chosen_at: Time,
    outcome: Rc<Cell<AttemptOutcome>>,
    started: Instant,
    patience: Patience,
    response: LocalBoxFuture<'a, (Box<Attempt>, Response)>,
}

impl<'a> Pending<'a> {
    /// Ends the attempt with an outcome and closes its connection.
    pub(super) fn end(self, outcome: AttemptOutcome) {
        self.outcome.set(outcome);
    }

    /// Waits for a response for at most `limit`, and returns the attempt if it has failed by then: the
    /// upstream did not run the request, broke its connection, or sent a head that `accepts` rejects.
    pub(super) async fn wait_for_failure(
        &mut self,
        limit: Duration,
        accepts: impl Fn(&ResponseHead) -> bool,
    ) -> Option<(Box<Attempt>, AttemptOutcome)> {
        match timeout(limit, &mut self.response).await {
            Err(_) => None,
            Ok((attempt, Response::Head(head))) if accepts(&head) => {
                self.response = Box::pin(future::ready((attempt, Response::Head(head))));
                None
            }
            Ok((attempt, Response::Broken)) => Some((attempt, AttemptOutcome::Broken)),
            Ok((attempt, Response::NotRun | Response::Head(_))) => {
                Some((attempt, AttemptOutcome::Failed))
            }
        }
    }

    /// Waits for a response until the deadline.
    ///
    /// With `can_retry`, `replace` is called when the response is late and again and again while the
    /// upstream is silent, until it returns another upstream that has the request. Until then, the
    /// response of this upstream is still accepted.
    pub(super) async fn wait(
        &mut self,
        req: &Request,
        can_retry: bool,
        replace: impl AsyncFn(Delay) -> Option<Pending<'a>>,
    ) -> Waited<'a> {
        let Patience { late_after, silent_after, time_left } = self.patience;
        let deadline = self.started + time_left;
        let (mut next, mut delay) = if late_after < silent_after {
            (late_after, Delay::Late)
        } else {
            (silent_after, Delay::Silent)
        };
        if !can_retry {
            next = time_left;
        }
        loop {
            let until = self.started + next.min(time_left);
            if let Ok((attempt, response)) = timeout_at(until, &mut self.response).await {
                return Waited::Response(attempt, response);
            }
            if Instant::now() >= deadline {
                log::warn!(event = "timed-out", request:% = req.id, upstream:% = self.upstream, patience_ms = time_left.as_millis() as u64; "");
                return Waited::TimedOut;
            }
            let replacement = tokio::select! {
                biased;
                (attempt, response) = &mut self.response => return Waited::Response(attempt, response),
                replacement = replace(delay) => replacement,
            };
            if let Some(replacement) = replacement {
                self.log_replaced(req, delay);
                return Waited::Replaced(replacement, delay);
            }
            next = match delay {
                Delay::Late => silent_after,
                Delay::Silent => self.started.elapsed() + REPLACEMENT_INTERVAL,
            };
            delay = Delay::Silent;
        }
    }

    fn log_replaced(&self, req: &Request, delay: Delay) {
        let waited_ms = self.cx.now().since(self.chosen_at).as_millis() as u64;
        match delay {
            Delay::Late => {
                log::info!(event = "late", request:% = req.id, upstream:% = self.upstream, late_ms = waited_ms; "");
            }
            Delay::Silent => {
                log::warn!(event = "silent", request:% = req.id, upstream:% = self.upstream, patience_ms = waited_ms; "");
            }
        }
    }
}

/// Reports whether an upstream stated that it did not run the request.
fn is_not_run(head: &ResponseHead, not_run: &str) -> bool {
    head.status == 421 || (head.status >= 400 && head.headers.get(not_run).is_some())
}

/// Parses the idle time-out of a `Keep-Alive` value such as `timeout=5, max=100`.
fn parse_idle_timeout(value: &str) -> Option<Duration> {
    let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
