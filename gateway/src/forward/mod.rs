//! Forwards a completely received request and returns exactly one response.
//!
//! [`admission`] decides before any upstream is involved, [`attempt`] sends the request to one
//! upstream and reads the response head, and [`relay`] passes the response on to the caller through
//! the [`ResponseWriter`]. Which local response is allowed when no upstream responds follows from
//! [`Progress`]: a refusal requires proof that the request has not run.

mod admission;
mod attempt;
mod relay;
mod response_writer;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use dogwoodturn::{http::head::ResponseHead, ids::UpstreamId, limit::memory::Reservation};

use crate::{
    contention::GivingWay,
    forward::{
        admission::Admitted,
        attempt::{Attempt, Delay, Pending, Response, Waited},
        relay::{BodyEnd, Relayed, StreamPosition},
    },
    gateway::{Gateway, State},
    placement::{AttemptOutcome, RankClass, Selection, SelectionCriteria},
    request::{LocalResponse, NotRun, Progress, Request},
    table::RetrySafety,
};

pub use response_writer::{Delivery, ResponseWriter};

/// Number of failed connection attempts after which a request fails.
const MAX_CONNECT_FAILURES: u32 = 3;
/// `Retry-After` when no upstream accepts work; upstreams take seconds to start or to return.
const RETRY_AFTER_NO_UPSTREAM: Duration = Duration::from_millis(700);
/// `Retry-After` when the request was refused after an upstream or a connection was tried, or when
/// it was too late to try one.
const RETRY_AFTER_REFUSAL: Duration = Duration::from_millis(250);
/// `Retry-After` is at most the remaining time divided by this; callers do not retry later.
const RETRY_AFTER_DIVISOR: u32 = 3;

/// How long a request stays at a late or silent upstream after another one has received it, unless that
/// one responds earlier: most upstreams that refuse requests do so at once.
const HANDOVER_TIME: Duration = Duration::from_millis(150);
/// Minimum time limit for writing an upstream's failure response that was kept during a retry.
const FAILURE_WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// A failure response of an upstream that is delivered if no other upstream responds.
struct FailedResponse {
    head: ResponseHead,
    body: Bytes,
    _memory: Rc<Reservation>,
}

/// The state of one request while it is forwarded.
struct Exchange<'a> {
    cx: &'a Rc<Gateway>,
    req: &'a Request,
    admitted: Admitted,
    progress: Progress,
    tried: RefCell<Vec<UpstreamId>>,
    connect_failures: u32,
    /// A failure response of an upstream, kept while another upstream is tried.
    failed_response: Option<FailedResponse>,
    /// The head of a response in chunks, once its first chunk is passed to the caller.
    sent_head: Option<ResponseHead>,
    /// How much of a stream the caller has.
    position: StreamPosition,
    /// How the last response body of an upstream ended.
    body_end: Option<BodyEnd>,
    is_start_recorded: bool,
    /// The time from arrival to the first event, or to the complete response.
    first_response: Option<Duration>,
    /// The time to first response that was predicted for the latest attempt.
    predicted: Duration,
    /// Why the latest retry was not allowed, so that the reason is logged once.
    no_retry_reason: Cell<Option<&'static str>>,
}

/// Forwards a request to upstreams, or refuses it, and writes the response.
pub async fn handle_request(
    cx: &Rc<Gateway>,
    req: &Request,
    out: &mut ResponseWriter<'_>,
) -> Delivery {
    let admitted = match admission::admit(cx, req) {
        Ok(admitted) => admitted,
        Err(response) => {
            cx.metrics.count_request("", response.reason);
            let table = cx.state.borrow().table.clone();
            let customer = table.as_ref().zip(req.key(&cx.header_schema));
            let customer = customer.and_then(|(table, key)| table.keys.get(key));
            let table = table.as_ref().map_or(0, |table| table.version);
            let host = req.head.headers.text("host").unwrap_or("-");
            macro_rules! log_refused {
                ($($key:ident = $value:expr),*) => {
                    log::info!(
                        event = "refused",
                        request:% = req.id,
                        reason = response.reason,
                        status = response.status(),
                        retry_ms = response.retry_after().as_millis() as u64,
                        customer = customer.map_or("-", |name| name.as_str()),
                        table,
                        host,
                        path:% = String::from_utf8_lossy(req.head.path()),
                        tokens = req.prompt.input
                        $(, $key = $value)*;
                        ""
                    )
                };
            }
            match response.giving_way {
                Some(GivingWay { rank, share, .. }) => log_refused!(rank = rank, share = share),
                None => log_refused!(),
            }
            return out.write_local(cx, &req.id, &response).await;
        }
    };
    let mut exchange = Exchange {
        cx,
        req,
        admitted,
        progress: Progress::default(),
        tried: RefCell::default(),
        connect_failures: 0,
        failed_response: None,
        sent_head: None,
        position: StreamPosition { last_event: req.last_event, has_unnumbered_events: false },
        body_end: None,
        is_start_recorded: false,
        first_response: None,
        predicted: Duration::ZERO,
        no_retry_reason: Cell::new(None),
    };
    exchange.run(out).await
}

impl<'a> Exchange<'a> {
    async fn run(&mut self, out: &mut ResponseWriter<'_>) -> Delivery {
        let mut replacement: Option<Pending<'a>> = None;
        loop {
            let started = match replacement.take() {
                Some(pending) => Ok(Some(pending)),
                None => self.start_next().await,
            };
            let mut pending = match started {
                Ok(Some(pending)) => pending,
                Ok(None) => continue,
                Err(response) => return self.finish_unsuccessfully(out, &response).await,
            };
            self.predicted = pending.predicted;
            let replace = async |delay| self.choose_replacement(delay).await;
            let waited = pending.wait(self.req, self.can_retry(), replace).await;
            let (mut attempt, response) = match waited {
                Waited::Response(attempt, response) => (attempt, response),
                Waited::Replaced(next, delay) => {
                    self.progress = Progress::MayHaveRun;
                    if delay == Delay::Silent && !self.admitted.route.retry_safety.is_stream() {
                        self.record_start_once();
                    }
                    pending.end(match delay {
                        Delay::Late => AttemptOutcome::Late,
                        Delay::Silent => AttemptOutcome::Broken,
                    });
                    replacement = Some(next);
                    continue;
                }
                Waited::TimedOut => {
                    self.progress = Progress::MayHaveRun;
                    if !self.admitted.route.retry_safety.is_stream() {
                        self.record_start_once();
                    }
                    pending.end(AttemptOutcome::Broken);
                    return self.finish_unsuccessfully(out, &LocalResponse::timed_out()).await;
                }
            };
            match response {
                Response::NotRun => {
                    if self.progress == Progress::NotRun {
                        self.admitted.mark_not_run();
                    }
                    attempt.end(AttemptOutcome::Failed);
                    if self.consume_retry() {
                        continue;
                    }
                    let response = self.refusal_or_loss("refused-by-upstream", RETRY_AFTER_REFUSAL);
                    return self.finish_unsuccessfully(out, &response).await;
                }
                Response::Broken => {
                    self.progress = Progress::MayHaveRun;
                    if attempt.is_request_written {
                        // Most upstreams that break a connection have already begun to run its
                        // request.
                        self.record_start_once();
                    }
                    attempt.end(AttemptOutcome::Broken);
                    if self.may_retry() && self.consume_retry() {
                        continue;
                    }
                    return self
                        .finish_unsuccessfully(out, &LocalResponse::lost("lost-by-upstream"))
                        .await;
                }
                Response::Head(head) => {
                    self.progress = Progress::MayHaveRun;
                    match self.relay(&mut attempt, head, out).await {
                        Relayed::Delivered(delivery) => return delivery,
                        Relayed::Replaced(next) => replacement = Some(next),
                        Relayed::Retry => {}
                    }
                }
            }
        }
    }

    /// Chooses and connects to the next upstream. Returns `None` if it could not be reached and another
    /// one may be tried, and the local response that ends the request if none may be.
    async fn start_next(&mut self) -> Result<Option<Pending<'a>>, LocalResponse> {
        let mut attempt = self.choose()?;
        self.tried.borrow_mut().push(attempt.upstream.id.clone());
        if attempt.open(self.req, self.admitted.expires_at).await {
            if self.time_left() <= attempt.round_trip() {
                return Err(self.deadline_response());
            }
            if !attempt.may_be_sent() {
                // The upstream has not seen the request, so that no attempt is used up.
                self.tried.borrow_mut().pop();
                return Ok(None);
            }
            let last_event = self.position.last_event;
            return Ok(Some(attempt.start(self.req, &self.admitted, last_event)));
        }
        self.connect_failures += 1;
        let outcome = attempt.unreachable_outcome();
        attempt.end(outcome);
        if self.connect_failures < MAX_CONNECT_FAILURES {
            return Ok(None);
        }
        Err(self.refusal_or_loss("refused-unreachable", RETRY_AFTER_REFUSAL))
    }

    /// Counts the request for the usage report, once regardless of the number of attempts.
    fn record_start_once(&mut self) {
        if !std::mem::replace(&mut self.is_start_recorded, true) {
            self.cx.record_start(self.admitted.customer.as_ref());
        }
    }

    fn time_left(&self) -> Duration {
        self.admitted.expires_at.since(self.cx.now())
    }

    /// Chooses the next upstream, or returns the local response that ends the request.
    fn choose(&self) -> Result<Attempt, LocalResponse> {
        let now = self.cx.now();
        let time_left = self.time_left();
        if time_left.is_zero() {
            return Err(self.deadline_response());
        }
        if !self.tried.borrow().is_empty() && self.is_barred() {
            return Err(self.refusal_or_loss("refused-crashes-upstreams", RETRY_AFTER_REFUSAL));
        }
        let mut state = self.cx.state.borrow_mut();
        let selection = self
            .with_criteria(&mut state, time_left, |state, criteria| state.choose(now, criteria));
        match selection {
            Selection::Upstream(ticket) => {
                let upstream = state.directory.get(&ticket.upstream).map(|u| u.record.clone());
                drop(state);
                let Some(upstream) = upstream else {
                    return Err(self.refusal_or_loss("refused-nobody", RETRY_AFTER_NO_UPSTREAM));
                };
                Ok(Attempt::new(self.cx, self.req, &self.admitted, upstream, ticket))
            }
            Selection::Refused { retry_after, wait } => {
                drop(state);
                let wait_ms = wait.as_millis() as u64;
                log::debug!(event = "wait-too-long", request:% = self.req.id, wait_ms; "");
                Err(self.refusal_or_loss("refused-wait", retry_after))
            }
            Selection::NoUpstream => {
                drop(state);
                let has_homes = self.admitted.homes(&self.cx.settings().regions).bind();
                let reason = if has_homes { "refused-no-home" } else { "refused-nobody" };
                Err(self.refusal_or_loss(reason, RETRY_AFTER_NO_UPSTREAM))
            }
        }
    }

    /// Calls `call` with the request's criteria for selecting an upstream.
    fn with_criteria<T>(
        &self,
        state: &mut State,
        time_left: Duration,
        call: impl FnOnce(&mut State, &SelectionCriteria<'_>) -> T,
    ) -> T {
        let admitted = &self.admitted;
        let service = admitted.table.services.get(&admitted.service);
        let settings = self.cx.settings();
        let rank = RankClass::of(&admitted.table, &admitted.service, admitted.rank);
        let criteria = SelectionCriteria {
            service: &admitted.service,
            engine: service.and_then(|service| service.engine),
            prompt: &self.req.prompt,
            local_data_centre: &settings.data_centre,
            latency_target: admitted.route.latency_target,
            remaining: time_left,
            tried: &self.tried.borrow(),
            versions: state.rollouts.rule(&admitted.service, self.req.hash),
            homes: admitted.homes(&settings.regions),
            rank,
        };
        call(state, &criteria)
    }

    /// Chooses the upstream that takes over from one that is late or silent, sends it the request and
    /// consumes a retry. Returns `None` while no other upstream takes the request: the current one is
    /// still its best hope then, and must not be left.
    async fn choose_replacement(&self, delay: Delay) -> Option<Pending<'a>> {
        if !self.allows_retry() || (delay == Delay::Late && !self.is_faster_elsewhere()) {
            return None;
        }
        let mut attempt = match self.choose() {
            Ok(attempt) => attempt,
            Err(response) => {
                self.log_no_retry(response.reason);
                return None;
            }
        };
        if !attempt.open(self.req, self.admitted.expires_at).await {
            let outcome = attempt.unreachable_outcome();
            attempt.end(outcome);
            self.log_no_retry("unreachable");
            return None;
        }
        if self.time_left() <= attempt.round_trip() || !attempt.may_be_sent() {
            return None;
        }
        // Other requests may have used up the budget while this one connected.
        if !self.consume_retry() {
            return None;
        }
        self.tried.borrow_mut().push(attempt.upstream.id.clone());
        let mut pending = attempt.start(self.req, &self.admitted, self.position.last_event);
        let is_begun = self.sent_head.is_some();
        let accepts = |head: &ResponseHead| head.status < if is_begun { 300 } else { 500 };
        if let Some((attempt, outcome)) = pending.wait_for_failure(HANDOVER_TIME, accepts).await {
            attempt.end(outcome);
            self.log_no_retry("replacement-failed");
            return None;
        }
        Some(pending)
    }

    /// Reports whether another upstream is predicted to respond within the latency target.
    fn is_faster_elsewhere(&self) -> bool {
        let now = self.cx.now();
        let until_target = (self.req.arrived + self.admitted.route.latency_target).since(now);
        let time_left = self.time_left();
        let mut state = self.cx.state.borrow_mut();
        let best = self.with_criteria(&mut state, time_left, |state, criteria| {
            state.best_elsewhere(now, criteria)
        });
        best.is_some_and(|best| best < until_target)
    }

    fn deadline_response(&self) -> LocalResponse {
        match self.progress.not_run() {
            Some(proof) => LocalResponse::refused(proof, "refused-late", RETRY_AFTER_REFUSAL),
            None => LocalResponse::timed_out(),
        }
    }

    fn refusal_or_loss(&self, reason: &'static str, retry_after: Duration) -> LocalResponse {
        match self.progress.not_run() {
            Some(proof) => self.refuse(proof, reason, retry_after),
            None => LocalResponse::lost("lost-no-other-upstream"),
        }
    }

    fn refuse(&self, proof: NotRun, reason: &'static str, retry_after: Duration) -> LocalResponse {
        // Spreads out callers that were refused at the same time, so that they do not retry at the
        // same time.
        let spread = retry_after.mul_f64((self.req.hash % 1000) as f64 / 2000.0);
        let max_retry_after = self.time_left() / RETRY_AFTER_DIVISOR;
        LocalResponse::refused(proof, reason, (retry_after + spread).min(max_retry_after))
    }

    /// Reports whether the request may be sent again after an upstream may have run it. Once a part
    /// of the response was sent to the caller, only a stream that can be resumed may continue.
    fn may_retry(&self) -> bool {
        let retry_safety = self.admitted.route.retry_safety;
        if self.sent_head.is_none() {
            return retry_safety.may_retry();
        }
        retry_safety == RetrySafety::ResumableStream && !self.position.has_unnumbered_events
    }

    /// Reports whether the route allows another attempt, without consuming the retry budget.
    fn can_retry(&self) -> bool {
        let route = &self.admitted.route;
        self.may_retry()
            && (self.tried.borrow().len() as u32) < route.max_attempts + self.connect_failures
    }

    /// Reports whether the request has been barred since it was admitted, or is a probe, so that it must
    /// not be sent to another upstream.
    fn is_barred(&self) -> bool {
        let mut state = self.cx.state.borrow_mut();
        let parts = self.req.prompt.shared_parts();
        let content = self.admitted.content;
        state.crash_evidence.barred_cause(self.cx.now(), content, parts).is_some()
    }

    /// Consumes a retry from the budget if the route and the budget allow one, and reports whether
    /// it did.
    fn consume_retry(&self) -> bool {
        let is_allowed = self.allows_retry();
        if is_allowed {
            self.record_retry();
        }
        is_allowed
    }

    /// Reports whether the route and the budget allow a retry, and logs why if they do not.
    fn allows_retry(&self) -> bool {
        let sent = self.tried.borrow().len() as u32 - self.connect_failures;
        if sent >= self.admitted.route.max_attempts {
            self.log_no_retry("attempts-used");
            return false;
        }
        if self.is_barred() {
            self.log_no_retry("barred");
            return false;
        }
        let now = self.cx.now();
        let mut state = self.cx.state.borrow_mut();
        let daemons = state.peer_table.size();
        let is_allowed = state.retries.allows_retry(now, &self.admitted.service, daemons);
        if !is_allowed {
            self.log_no_retry("budget-used");
        }
        is_allowed
    }

    fn record_retry(&self) {
        let now = self.cx.now();
        self.cx.state.borrow_mut().retries.record_retry(now, &self.admitted.service);
        self.cx.metrics.upstream_retries.inc();
    }

    /// Logs why a request is not sent to another upstream, unless that was logged before.
    fn log_no_retry(&self, reason: &'static str) {
        if self.no_retry_reason.replace(Some(reason)) != Some(reason) {
            log::info!(event = "no-retry", request:% = self.req.id, reason, attempts = self.tried.borrow().len(); "");
        }
    }

    /// Ends the request without a successful response of an upstream: cuts a response that has
    /// begun, delivers a kept failure response, or writes the local response.
    async fn finish_unsuccessfully(
        &mut self,
        out: &mut ResponseWriter<'_>,
        response: &LocalResponse,
    ) -> Delivery {
        let route = self.admitted.route.name.as_str();
        if self.sent_head.is_some() {
            self.log("cut", 0, Duration::ZERO);
            self.cx.metrics.count_request(route, "cut");
            return Delivery::Truncated;
        }
        if let Some(FailedResponse { head, body, _memory }) = self.failed_response.take() {
            self.log("upstream-failure", head.status, Duration::ZERO);
            self.cx.metrics.count_request(route, "upstream-failure");
            return out
                .write_complete(&head, &body, self.time_left().max(FAILURE_WRITE_TIMEOUT))
                .await;
        }
        let Admitted { service, rank, .. } = &self.admitted;
        let (now, reason) = (self.cx.now(), response.reason);
        self.cx.state.borrow_mut().record_contention_failure(now, service, *rank, reason);
        self.log(response.reason, response.status(), response.retry_after());
        self.cx.metrics.count_request(route, response.reason);
        out.write_local(self.cx, &self.req.id, response).await
    }

    /// Logs the single line that explains how the request ended.
    fn log(&self, outcome: &'static str, status: u16, retry_after: Duration) {
        let ms = self.cx.now().since(self.req.arrived).as_millis() as u64;
        let tried = self.tried.borrow();
        let upstream = tried.last().map_or("-", UpstreamId::as_str);
        log::info!(
            event = "request",
            request:% = self.req.id,
            route:% = self.admitted.route.name,
            customer = self.admitted.customer.as_ref().map_or("-", |name| name.as_str()),
            table = self.admitted.table.version,
            outcome,
            status,
            retry_ms = retry_after.as_millis() as u64,
            ms,
            first_ms = self.first_response.map_or(-1, |elapsed| elapsed.as_millis() as i64),
            predicted_ms = self.predicted.as_millis() as u64,
            upstream,
            attempts = tried.len(),
            framing = self.body_end.map_or("-", |end| end.framing.name()),
            body_end = self.body_end.map_or("-", |end| end.cause),
            partial_bytes = self.body_end.map_or(0, |end| end.partial_bytes),
            tokens = self.req.prompt.input;
            ""
        );
    }
}
