//! Attempts at upstreams: selection, dispatch, retries, and the refusal once retries are exhausted.

use std::time::Duration;

use bytes::Bytes;

use super::{
    Dispatch, Effect, Entry, Phase, Traffic,
    arrive::{admission_request, reader_caller},
};
use crate::{
    claim::{ClaimOutcome, StoredResponse},
    declaration::RequestClass,
    ids::UpstreamId,
    node::report::AttemptEnd,
    peer::Recipient,
    placement::AttemptResult,
    request::{
        AttemptId, ExchangeId,
        crash_evidence::Suspect,
        exchange::{Cause, Head, RequestSpec, Step, StreamEnd, Target},
        failure::{FailedAttempt, RefusedRetry, RetryRefusal},
        message::Message,
        outcome::RunOutcome,
        poison::POISON_TTL,
        refusal::{Refusal, RefusalKind},
    },
    units::Time,
};

/// The maximum number of attempts of a request whose response has not begun.
const MAX_ATTEMPTS: u64 = 4;
/// The time after which a caller may retry if no upstream accepted its request.
const UPSTREAM_RETRY_AFTER: Duration = Duration::from_secs(1);
/// The delay before the next attempt of a response that has begun, or of a request that has left a
/// silent upstream, if no upstream is available or the retry budget is exhausted.
const RESUME_RETRY_DELAY: Duration = Duration::from_millis(100);
/// The minimum time without a token after which an upstream counts as silent.
const MIN_STALL_TIMEOUT: Duration = Duration::from_secs(1);
/// The interval at which a request at a silent upstream is checked for another one.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The timeout for the first token of an interactive request, as a multiple of the service's
/// first-token target.
const FIRST_TOKEN_FACTOR: u32 = 4;
/// The timeout for the first token of a batch request, as a multiple of the service's first-token
/// target; larger because batch requests queue behind interactive ones at a busy engine.
const BATCH_FIRST_TOKEN_FACTOR: u32 = 32;
/// The timeout between tokens, as a multiple of the service's between-tokens target.
const STALL_FACTOR: u32 = 50;
/// How long a response is still computed after its caller disconnected, in case it resumes.
const RESUME_GRACE_PERIOD: Duration = Duration::from_secs(3);
/// The minimum delay until the timer of a request fires again.
const MIN_TIMER_DELAY: Duration = Duration::from_millis(1);
/// The largest response body, in bytes, that is stored for repeats of a claimed call.
const MAX_STORED_BYTES: usize = 64 << 10;

impl Traffic {
    /// Sends a request to an upstream. Without one, retries later if the response has begun, and
    /// refuses the request otherwise.
    pub(super) fn dispatch(&mut self, now: Time, id: ExchangeId, out: &mut Vec<Effect>) {
        if self.is_barred(now, id) {
            self.log_refused_retry(now, id, RetryRefusal::Barred, out);
            let detail = "this request crashed upstreams that ran it";
            return self.refuse(now, id, RefusalKind::PoisonRequest, detail, None, out);
        }
        let target = self.choose(now, id);
        if target.is_none() {
            self.log_refused_retry(now, id, RetryRefusal::NoUpstream, out);
        }
        let Some(entry) = self.entries.get(&id) else { return };
        match target {
            Some(target) => self.dispatch_to(now, id, target, out),
            None if entry.exchange.has_begun() || entry.has_left_silent => {
                self.wait(id, now + RESUME_RETRY_DELAY);
            }
            None => {
                let (service, retry_after) =
                    (entry.exchange.spec.service.clone(), entry.retry_after);
                let wait = retry_after.or_else(|| self.shortest_limit_wait(now, &service));
                let retry_after = Some(wait.unwrap_or(UPSTREAM_RETRY_AFTER));
                let detail = format!("service {service} has no upstream for it");
                self.refuse(now, id, RefusalKind::NoUpstream, &detail, retry_after, out);
            }
        }
    }

    /// Reports whether a request that was sent to an upstream has been barred since, or is a probe, so
    /// that it must not be sent to another one.
    pub(super) fn is_barred(&mut self, now: Time, id: ExchangeId) -> bool {
        let Some(entry) = self.entries.get(&id) else { return false };
        let spec = &entry.exchange.spec;
        let (content, parts) = (spec.content_hash(), spec.shared_parts());
        entry.exchange.attempts() > 0
            && self.crash_evidence.barred_cause(now, content, parts).is_some()
    }

    fn wait(&mut self, id: ExchangeId, until: Time) {
        self.set_waiting(id, until, false);
    }

    fn set_waiting(&mut self, id: ExchangeId, until: Time, needs_grant: bool) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.phase = Phase::Waiting { until, needs_grant };
            self.arm(id, until);
        }
    }

    /// Dispatches a request that has waited, once the retry budget has granted it.
    fn end_wait(&mut self, now: Time, id: ExchangeId, needs_grant: bool, out: &mut Vec<Effect>) {
        let Some(entry) = self.entries.get(&id) else { return };
        let service = entry.exchange.spec.service.clone();
        if needs_grant && !self.limits.try_withdraw_retry(now, &service) {
            return self.set_waiting(id, now + RESUME_RETRY_DELAY, true);
        }
        self.dispatch(now, id, out);
    }

    pub(super) fn dispatch_to(
        &mut self,
        now: Time,
        id: ExchangeId,
        target: Target,
        out: &mut Vec<Effect>,
    ) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        self.placement.record_start(&target.upstream);
        self.upstream_limits.record_sent(&target.upstream);
        entry.phase = Phase::Running;
        entry.retry_refusal = None;
        let spec = entry.exchange.spec.clone();
        *self
            .outstanding_by_version
            .entry((spec.service.clone(), target.version.clone()))
            .or_default() += 1;
        let number = entry.exchange.start_attempt(now, target.clone());
        let body = match &spec.completion {
            Some(wire) => wire.for_engine(spec.class, &entry.exchange.answer).into(),
            None => spec.body.clone(),
        };
        let paced_by = match spec.completion {
            Some(_) => None,
            None => reader_caller(entry.reader_state.as_ref()),
        };
        let attempt = AttemptId { exchange: id, number };
        out.push(Effect::Dispatch(Box::new(Dispatch {
            attempt,
            name: attempt_name(&spec, attempt),
            address: target.address,
            upstream: target.upstream,
            service: spec.service.clone(),
            method: spec.method.clone(),
            path: spec.path.clone(),
            headers: spec.headers.clone(),
            body,
            time_left: spec.deadline.since(now),
            paced_by,
        })));
        if let Some(at) = self.timeout_at(id) {
            self.arm(id, at);
        }
    }

    /// Returns when the upstream of the current attempt counts as silent if it makes no more progress.
    fn timeout_at(&self, id: ExchangeId) -> Option<Time> {
        let entry = self.entries.get(&id)?;
        let spec = &entry.exchange.spec;
        let attempt = entry.exchange.attempt()?;
        spec.completion.as_ref()?;
        let target = self.snapshot.set.services.get(&spec.service)?.target;
        if attempt.first_output_at.is_none() {
            let factor = match spec.class {
                RequestClass::Interactive => FIRST_TOKEN_FACTOR,
                RequestClass::Batch => BATCH_FIRST_TOKEN_FACTOR,
            };
            let allowed = MIN_STALL_TIMEOUT.max(target.first_token * factor);
            let half = spec.deadline.since(attempt.started) / 2;
            return Some(attempt.started + allowed.min(half));
        }
        Some(attempt.last_output_at + MIN_STALL_TIMEOUT.max(target.between_tokens * STALL_FACTOR))
    }

    /// Reports whether the upstream of the current attempt is silent.
    pub(super) fn is_silent(&self, now: Time, id: ExchangeId) -> bool {
        self.timeout_at(id).is_some_and(|at| at <= now)
    }

    pub(super) fn handle_head(
        &mut self,
        now: Time,
        attempt: AttemptId,
        head: Head,
        out: &mut Vec<Effect>,
    ) {
        let Some(entry) = self.entries.get_mut(&attempt.exchange) else { return };
        if let (Some(load), Some(current)) = (head.load, entry.exchange.attempt())
            && current.number == attempt.number
        {
            self.placement.record_load(now, &current.target.upstream, load);
        }
        if let Some(current) = entry.exchange.attempt()
            && current.number == attempt.number
        {
            let upstream = &current.target.upstream;
            self.upstream_limits.record(now, upstream, current.started, head.rate_limit);
            if let Some(time) = head.leaves_in
                && !self.leaving.contains_key(upstream)
            {
                out.push(Effect::ReportLeaving(upstream.clone(), time));
            }
        }
        let step = entry.exchange.handle_head(now, attempt.number, head);
        self.apply_step(now, attempt.exchange, step, out);
    }

    pub(super) fn handle_chunk(
        &mut self,
        now: Time,
        attempt: AttemptId,
        bytes: &Bytes,
        out: &mut Vec<Effect>,
    ) {
        let Some(entry) = self.entries.get_mut(&attempt.exchange) else { return };
        let had_first =
            entry.exchange.attempt().is_some_and(|current| current.first_output_at.is_some());
        let step = entry.exchange.handle_chunk(now, attempt.number, bytes);
        if let Some(current) = entry.exchange.attempt()
            && had_first
            && !entry.is_sound
            && current.is_sound(now, entry.exchange.answer.next_offset())
        {
            entry.is_sound = true;
            let spec = &entry.exchange.spec;
            self.crash_evidence.record_served(now, spec.content_hash(), spec.shared_parts());
        }
        if let Some(current) = entry.exchange.attempt()
            && !had_first
            && current.first_output_at.is_some()
        {
            self.placement.record_first_token(&current.target.upstream);
            self.record_latency_once(now, attempt.exchange);
        }
        let step = match step {
            Step::NoChange | Step::Extended => match self.cover_response(attempt.exchange, step) {
                Some(step) => step,
                None => return self.refuse_for_memory(now, attempt.exchange, out),
            },
            step => step,
        };
        self.apply_step(now, attempt.exchange, step, out);
    }

    /// Reserves the memory of a response that has grown. Without it, returns the step that needs no more memory, or
    /// `None` if there is no such step.
    fn cover_response(&mut self, id: ExchangeId, step: Step) -> Option<Step> {
        let Some(entry) = self.entries.get_mut(&id) else { return Some(step) };
        if entry.memory.cover(entry.exchange.held_bytes()) {
            return Some(step);
        }
        // A plain response that is forwarded waits for its caller.
        entry.exchange.forward_body().then_some(Step::Extended)
    }

    fn refuse_for_memory(&mut self, now: Time, id: ExchangeId, out: &mut Vec<Effect>) {
        let detail = "no memory is left for the response";
        let retry_after = Some(UPSTREAM_RETRY_AFTER);
        self.refuse(now, id, RefusalKind::Overload, detail, retry_after, out);
    }

    /// Reports the time from arrival to the start of the response to the limits, once per request.
    fn record_latency_once(&mut self, now: Time, id: ExchangeId) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        let first = entry.exchange.attempt().and_then(|attempt| attempt.first_output_at);
        let Some(first) = first.filter(|_| entry.first_token.is_none()) else { return };
        let latency = first.since(entry.exchange.spec.arrived);
        entry.first_token = Some(latency);
        if entry.admitted {
            self.limits.record_latency(now, &admission_request(&entry.exchange.spec), latency);
        }
    }

    pub(super) fn handle_stream_end(
        &mut self,
        now: Time,
        attempt: AttemptId,
        end: StreamEnd,
        out: &mut Vec<Effect>,
    ) {
        let Some(entry) = self.entries.get_mut(&attempt.exchange) else { return };
        let step = entry.exchange.handle_stream_end(attempt.number, end);
        self.apply_step(now, attempt.exchange, step, out);
    }

    fn apply_step(&mut self, now: Time, id: ExchangeId, step: Step, out: &mut Vec<Effect>) {
        match step {
            Step::NoChange => {}
            Step::Extended => self.deliver(now, id, out),
            Step::Complete => self.complete(now, id, out),
            Step::AttemptFailed(cause, detail) => self.fail_attempt(now, id, &cause, &detail, out),
        }
    }

    fn complete(&mut self, now: Time, id: ExchangeId, out: &mut Vec<Effect>) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        let exchange = &entry.exchange;
        let status = exchange.plain.as_ref().map_or(200, |plain| plain.head.status);
        if status >= 500 && exchange.can_retry() && exchange.attempts() < MAX_ATTEMPTS {
            let service = exchange.spec.service.clone();
            if self.limits.try_withdraw_retry(now, &service) {
                self.close(now, id, AttemptEnd::Failure, true, out);
                return self.wait_for_retry(now, id);
            }
        }
        let Some(entry) = self.entries.get(&id) else { return };
        if (200..300).contains(&status) {
            let spec = &entry.exchange.spec;
            self.crash_evidence.record_served(now, spec.content_hash(), spec.shared_parts());
        }
        let end = if status >= 500 { AttemptEnd::Failure } else { AttemptEnd::Success };
        self.close(now, id, end, false, out);
        self.finish(now, id, out);
    }

    /// Ends the current attempt and reports it; `close_connection` also closes its connection.
    pub(super) fn close(
        &mut self,
        now: Time,
        id: ExchangeId,
        end: AttemptEnd,
        close_connection: bool,
        out: &mut Vec<Effect>,
    ) {
        self.record_latency_once(now, id);
        let Some(entry) = self.entries.get_mut(&id) else { return };
        let Some(attempt) = entry.exchange.attempt() else { return };
        let number = attempt.number;
        if attempt.first_output_at.is_none() {
            // The attempt no longer counts as waiting for its first token.
            self.placement.record_first_token(&attempt.target.upstream);
        }
        if close_connection {
            out.push(Effect::CloseAttempt(AttemptId { exchange: id, number }));
        }
        let Some(report) = entry.exchange.close(end) else { return };
        if end != AttemptEnd::Success && end != AttemptEnd::Abandoned {
            entry.failed.push(report.upstream.clone());
        }
        if let Some(kv_target) = entry.kv_target.take() {
            self.placement.record_end(now, &kv_target.upstream, AttemptResult::Neutral);
        }
        let result = match end {
            AttemptEnd::Success => AttemptResult::Answered,
            AttemptEnd::Refused | AttemptEnd::Abandoned => AttemptResult::Neutral,
            AttemptEnd::Failure | AttemptEnd::ConnectionLost | AttemptEnd::TimedOut => {
                AttemptResult::Failed
            }
        };
        self.placement.record_end(now, &report.upstream, result);
        let version = (report.service.clone(), report.version.clone());
        if let Some(count) = self.outstanding_by_version.get_mut(&version) {
            *count = count.saturating_sub(1);
        }
        out.push(Effect::ReportAttempt(Box::new(report)));
    }

    /// Cancels the current attempt because its response is no longer needed, or its time is up.
    pub(super) fn cancel(&mut self, now: Time, id: ExchangeId, out: &mut Vec<Effect>) {
        let Some(entry) = self.entries.get(&id) else { return };
        let spec = &entry.exchange.spec;
        if let (Some(attempt), Some(_)) = (entry.exchange.attempt(), &spec.completion) {
            let name = attempt_name(spec, AttemptId { exchange: id, number: attempt.number });
            out.push(Effect::CancelAttempt(attempt.target.address, name));
        }
        // A version that hangs shows itself only by attempts that are silent to their end.
        let is_silent = self.is_silent(now, id);
        let end = if is_silent { AttemptEnd::TimedOut } else { AttemptEnd::Abandoned };
        self.close(now, id, end, true, out);
    }

    fn fail_attempt(
        &mut self,
        now: Time,
        id: ExchangeId,
        cause: &Cause,
        detail: &str,
        out: &mut Vec<Effect>,
    ) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        if let Cause::Refused { retry_after: Some(retry_after) } = cause {
            entry.retry_after = Some(*retry_after);
        }
        let Some(attempt) = entry.exchange.attempt() else { return };
        let upstream = attempt.target.upstream.clone();
        let was_announced = self.leaving.contains_key(&upstream);
        let service = entry.exchange.spec.service.clone();
        let crashed = *cause == Cause::ConnectionLost && !was_announced;
        let is_sound = attempt.is_sound(now, entry.exchange.answer.next_offset());
        let suspect = (crashed && !is_sound).then(|| entry.exchange.spec.suspect());
        entry.is_suspect |= crashed;
        if *cause == Cause::Isolated {
            entry.failed.push(upstream.clone());
        }
        if matches!(cause, Cause::Refused { .. }) {
            self.placement.record_overload(now, &upstream);
            self.limits.record_rejection(now, &service);
        }
        self.end_failed(now, id, cause, detail, out);
        let is_new_crash = crashed && self.record_crash(now, &upstream, suspect);
        if crashed && self.is_poison(now, id, is_new_crash, out) {
            let detail = "this request crashed two upstreams that ran it";
            let kind = RefusalKind::PoisonRequest;
            return self.refuse(now, id, kind, detail, Some(POISON_TTL), out);
        }
        if self.entries.get(&id).is_some_and(|e| matches!(e.phase, Phase::HandingOver { .. })) {
            // The reply of the peer decides.
            return;
        }
        self.retry_or_give_up(now, id, cause, was_announced, detail, out);
    }

    /// Ends the current attempt, which has failed, and logs why.
    fn end_failed(
        &mut self,
        now: Time,
        id: ExchangeId,
        cause: &Cause,
        detail: &str,
        out: &mut Vec<Effect>,
    ) {
        let Some(entry) = self.entries.get(&id) else { return };
        let Some(attempt) = entry.exchange.attempt() else { return };
        out.push(Effect::LogFailedAttempt(Box::new(FailedAttempt {
            request: entry.exchange.spec.request.clone(),
            number: attempt.number,
            upstream: attempt.target.upstream.clone(),
            cause: cause.clone(),
            detail: detail.into(),
            silent_for: now.since(attempt.last_output_at),
            has_begun: entry.exchange.has_begun(),
        })));
        let close_connection =
            !matches!(cause, Cause::Unreachable | Cause::Isolated | Cause::ConnectionLost);
        self.close(now, id, cause.attempt_end(), close_connection, out);
    }

    /// Records that a request was in progress at an upstream that crashed, and returns whether no equal
    /// one was known to be.
    fn record_crash(&mut self, now: Time, upstream: &UpstreamId, suspect: Option<Suspect>) -> bool {
        suspect.is_none_or(|suspect| self.crash_evidence.record_crash(now, upstream, now, suspect))
    }

    fn is_poison(
        &mut self,
        now: Time,
        id: ExchangeId,
        is_new_crash: bool,
        out: &mut Vec<Effect>,
    ) -> bool {
        let Some(entry) = self.entries.get(&id) else { return false };
        let digest = entry.exchange.spec.digest;
        let offset = entry.exchange.answer.next_offset();
        // Equal requests in progress at one crash count once.
        let poisonous = is_new_crash && self.poison.record_crash(now, digest, offset);
        if poisonous {
            let message = Message::Poison { digest, refused_for: POISON_TTL };
            out.push(Effect::Send(Recipient::Flood, message));
        }
        poisonous
    }

    fn retry_or_give_up(
        &mut self,
        now: Time,
        id: ExchangeId,
        cause: &Cause,
        was_announced: bool,
        detail: &str,
        out: &mut Vec<Effect>,
    ) {
        let Some(entry) = self.entries.get(&id) else { return };
        let exchange = &entry.exchange;
        let has_begun = exchange.has_begun();
        let service = exchange.spec.service.clone();
        if !exchange.can_retry() {
            self.log_refused_retry(now, id, RetryRefusal::NotRepeatable, out);
            return self.give_up(now, id, cause, detail, out);
        }
        // The silent upstream that the request has left might have responded, so that it does not end
        // because another one did not take it.
        let was_not_taken = matches!(cause, Cause::Unreachable | Cause::Refused { .. });
        let is_owed = entry.has_left_silent && was_not_taken;
        if !has_begun && !is_owed && exchange.attempts() >= MAX_ATTEMPTS {
            self.log_refused_retry(now, id, RetryRefusal::Attempts, out);
            return self.give_up(now, id, cause, detail, out);
        }
        // An announced reclaim is no sign of overload, so it is not charged to the retry budget.
        if was_announced || self.limits.try_withdraw_retry(now, &service) {
            return self.wait_for_retry(now, id);
        }
        self.log_refused_retry(now, id, RetryRefusal::Budget, out);
        if has_begun {
            return self.wait(id, now + RESUME_RETRY_DELAY);
        }
        if is_owed {
            return self.set_waiting(id, now + RESUME_RETRY_DELAY, true);
        }
        self.give_up(now, id, cause, detail, out);
    }

    /// Logs, once for each reason and attempt, why a request that was sent to an upstream is not sent to
    /// another one.
    fn log_refused_retry(
        &mut self,
        now: Time,
        id: ExchangeId,
        reason: RetryRefusal,
        out: &mut Vec<Effect>,
    ) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        if entry.exchange.attempts() == 0 || entry.retry_refusal == Some(reason) {
            return;
        }
        entry.retry_refusal = Some(reason);
        let spec = &entry.exchange.spec;
        let time_left = spec.deadline.since(now);
        let refusal = RefusedRetry { request: spec.request.clone(), reason, time_left };
        out.push(Effect::LogRefusedRetry(Box::new(refusal)));
    }

    fn wait_for_retry(&mut self, now: Time, id: ExchangeId) {
        let random = self.random();
        let attempts = self.entries.get(&id).map_or(0, |entry| entry.exchange.attempts());
        let until = now + self.limits.backoff(attempts, random);
        self.wait(id, until);
    }

    fn give_up(
        &mut self,
        now: Time,
        id: ExchangeId,
        cause: &Cause,
        detail: &str,
        out: &mut Vec<Effect>,
    ) {
        let (kind, retry_after) = match cause {
            Cause::Unreachable | Cause::Isolated => {
                (RefusalKind::UpstreamUnavailable, Some(UPSTREAM_RETRY_AFTER))
            }
            Cause::Refused { retry_after } => {
                let retry_after = retry_after.unwrap_or(UPSTREAM_RETRY_AFTER);
                (RefusalKind::UpstreamUnavailable, Some(retry_after))
            }
            Cause::Failed | Cause::ConnectionLost | Cause::TimedOut => {
                (RefusalKind::UpstreamFailed, None)
            }
        };
        self.refuse(now, id, kind, detail, retry_after, out);
    }

    /// Refuses a request, with the run outcome that its dispatch state proves.
    pub(super) fn refuse(
        &mut self,
        now: Time,
        id: ExchangeId,
        kind: RefusalKind,
        detail: &str,
        retry_after: Option<Duration>,
        out: &mut Vec<Effect>,
    ) {
        self.cancel(now, id, out);
        let Some(mut entry) = self.remove(now, id) else { return };
        let reader_state = entry.reader_state.take();
        let ticket = entry.ticket.take();
        let request = entry.exchange.spec.request.clone();
        let outcome = entry.exchange.into_outcome();
        if let Some(ticket) = ticket {
            let not_run = matches!(outcome, RunOutcome::NotRun(_));
            let end = if not_run { ClaimOutcome::NotRun } else { ClaimOutcome::Unknown };
            out.push(Effect::EndClaim(ticket, end));
        }
        let refusal = Refusal { retry_after, ..Refusal::new(kind, outcome, detail) };
        Self::send_refusal(reader_state, request, refusal, out);
    }

    /// Refuses a request because an earlier one with the same idempotency key ran or may have run.
    pub(super) fn refuse_may_have_run(
        &mut self,
        now: Time,
        id: ExchangeId,
        kind: RefusalKind,
        detail: &str,
        out: &mut Vec<Effect>,
    ) {
        let Some(entry) = self.remove(now, id) else { return };
        let request = entry.exchange.spec.request.clone();
        let refusal = Refusal::new(kind, RunOutcome::MayHaveRun, detail);
        Self::send_refusal(entry.reader_state, request, refusal, out);
    }

    /// Removes a request; its attempt must be closed.
    pub(super) fn remove(&mut self, now: Time, id: ExchangeId) -> Option<Entry> {
        let entry = self.entries.swap_remove(&id)?;
        self.by_request.swap_remove(&entry.exchange.spec.request);
        if let Some(caller) = reader_caller(entry.reader_state.as_ref()) {
            self.by_caller.swap_remove(&caller);
        }
        if entry.admitted {
            self.limits.release_work(now, &admission_request(&entry.exchange.spec));
        }
        Some(entry)
    }

    pub(super) fn exchange_timer(&mut self, now: Time, id: ExchangeId, out: &mut Vec<Effect>) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        entry.armed = None;
        let deadline = entry.exchange.spec.deadline;
        if deadline <= now {
            let detail = "the deadline has passed";
            let kind = RefusalKind::DeadlineExceeded;
            return self.refuse(now, id, kind, detail, None, out);
        }
        if entry.disconnected_since.is_some_and(|since| since + RESUME_GRACE_PERIOD <= now) {
            return self.abandon(now, id, out);
        }
        match entry.phase.clone() {
            Phase::Waiting { until, needs_grant } if until <= now => {
                self.end_wait(now, id, needs_grant, out);
            }
            Phase::Running => self.check_attempt(now, id, out),
            Phase::HandingOver { until, .. } if until <= now => self.offer_to_next(now, id, out),
            _ => {}
        }
        self.rearm(now, id);
    }

    fn check_attempt(&mut self, now: Time, id: ExchangeId, out: &mut Vec<Effect>) {
        if !self.is_silent(now, id) {
            return self.relocate_if_needed(now, id, out);
        }
        match self.replacement(now, id) {
            Ok(target) => {
                let detail = "the engine brought nothing in the time allowed";
                self.end_failed(now, id, &Cause::TimedOut, detail, out);
                if let Some(entry) = self.entries.get_mut(&id) {
                    entry.has_left_silent = true;
                }
                self.dispatch_to(now, id, target, out);
            }
            Err(reason) => {
                self.log_refused_retry(now, id, reason, out);
                self.relocate_if_needed(now, id, out);
            }
        }
    }

    /// Returns the upstream that takes a request over from a silent one.
    ///
    /// A silent upstream may go on after some seconds, so that its attempt is not given up before
    /// another upstream has been selected and the retry budget has granted the attempt there.
    fn replacement(&mut self, now: Time, id: ExchangeId) -> Result<Target, RetryRefusal> {
        let entry = self.entries.get(&id).ok_or(RetryRefusal::NoUpstream)?;
        let exchange = &entry.exchange;
        let attempt = exchange.attempt().ok_or(RetryRefusal::NoUpstream)?;
        let is_leaving = self.leaving.contains_key(&attempt.target.upstream);
        let service = exchange.spec.service.clone();
        if !exchange.can_retry() {
            return Err(RetryRefusal::NotRepeatable);
        }
        if !exchange.has_begun() && exchange.attempts() >= MAX_ATTEMPTS {
            return Err(RetryRefusal::Attempts);
        }
        if self.is_handover_due(now, entry) {
            return Err(RetryRefusal::Handover);
        }
        if self.is_barred(now, id) {
            return Err(RetryRefusal::Barred);
        }
        let target = self.choose(now, id).ok_or(RetryRefusal::NoUpstream)?;
        if !is_leaving && !self.limits.try_withdraw_spare_retry(now, &service) {
            return Err(RetryRefusal::Budget);
        }
        Ok(target)
    }

    /// Sets the timer of an exchange to its next deadline, timeout or check.
    fn rearm(&mut self, now: Time, id: ExchangeId) {
        let Some(entry) = self.entries.get(&id) else { return };
        let phase = match &entry.phase {
            Phase::Waiting { until, .. } | Phase::HandingOver { until, .. } => Some(*until),
            Phase::Running if self.is_silent(now, id) => Some(now + SILENCE_CHECK_INTERVAL),
            Phase::Running => self.timeout_at(id),
            Phase::Claiming => None,
        };
        let grace_end = entry.disconnected_since.map(|since| since + RESUME_GRACE_PERIOD);
        let due = [
            Some(entry.exchange.spec.deadline),
            phase,
            grace_end,
            self.next_reclaim_check(now, entry),
        ];
        if let Some(at) = due.into_iter().flatten().min() {
            self.arm(id, at.max(now + MIN_TIMER_DELAY));
        }
    }

    pub(super) fn handle_disconnect(
        &mut self,
        now: Time,
        caller: crate::request::CallerId,
        out: &mut Vec<Effect>,
    ) {
        self.fetches.swap_remove(&caller);
        let Some(id) = self.by_caller.swap_remove(&caller) else { return };
        let Some(entry) = self.entries.get_mut(&id) else { return };
        entry.reader_state = None;
        entry.disconnected_since = Some(now);
        // A claimed call continues, so that its outcome is available when the caller resends it.
        if entry.ticket.is_some() {
            entry.disconnected_since = None;
        } else if entry.is_resumable {
            self.arm(id, now + RESUME_GRACE_PERIOD);
        } else {
            self.abandon(now, id, out);
        }
    }

    /// Ends a request that no caller waits for.
    pub(super) fn abandon(&mut self, now: Time, id: ExchangeId, out: &mut Vec<Effect>) {
        let kind = RefusalKind::ResumedElsewhere;
        self.refuse(now, id, kind, "nobody waits for the answer", None, out);
    }

    /// Reports the outcome of a claimed call with a complete response to the control thread.
    pub(super) fn end_claim(entry: &mut Entry, out: &mut Vec<Effect>) {
        let Some(ticket) = entry.ticket.take() else { return };
        let end = match &entry.exchange.plain {
            Some(plain) => ClaimOutcome::Ran(StoredResponse {
                status: plain.head.status,
                content_type: plain.head.text_of("content-type").into(),
                body: (!plain.is_forwarding && plain.body.len() <= MAX_STORED_BYTES)
                    .then(|| Bytes::copy_from_slice(&plain.body)),
            }),
            None => ClaimOutcome::Unknown,
        };
        out.push(Effect::EndClaim(ticket, end));
    }
}

/// Returns the id of an attempt at its upstream.
pub(super) fn attempt_name(spec: &RequestSpec, attempt: AttemptId) -> Box<str> {
    format!("{}.{}", spec.request, attempt.number).into()
}
