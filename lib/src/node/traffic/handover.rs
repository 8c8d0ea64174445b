//! Graceful shutdown: requests that cannot finish in time are handed over to a peer.

use std::{cmp::Reverse, sync::Arc, time::Duration};

use super::{Effect, Entry, Phase, Timer, Traffic};
use crate::{
    declaration::RetryPolicy,
    ids::{DaemonId, RequestId},
    peer::Recipient,
    placement::AttemptResult,
    request::{
        ExchangeId,
        exchange::{Exchange, RequestSpec},
        message::{Handover, Message},
        outcome::RunOutcome,
        refusal::{Refusal, RefusalKind},
        request_id::rendezvous,
        response_tokens::ResponseTokens,
    },
    units::Time,
};

/// The maximum time at the end of a graceful shutdown that is reserved for handover.
const MAX_HANDOVER_TIME: Duration = Duration::from_secs(5);
/// The maximum size, in bytes, of the prompt and partial response of a request that is handed over.
const MAX_HANDOVER_BYTES: usize = 512 << 10;
/// The maximum number of open handover offers of one traffic thread.
const MAX_OPEN_OFFERS: usize = 64;
/// The size of the range of attempt numbers reserved for each peer that is offered a request.
const ATTEMPT_NUMBERS_PER_PEER: u64 = 1000;
/// The interval at which further requests are offered.
const OFFER_INTERVAL: Duration = Duration::from_millis(20);
/// The maximum number of peers that a request is offered to.
const MAX_HANDOVER_PEERS: usize = 3;
/// How long to wait for the reply of a peer to an offer.
const OFFER_TIMEOUT: Duration = Duration::from_millis(500);
/// The time after which a caller may resume a response that was handed over.
const HANDOVER_RETRY_AFTER: Duration = Duration::from_secs(1);

impl Traffic {
    /// Schedules the handover of the requests that are unfinished near the end of the drain.
    pub(super) fn begin_drain(&mut self, now: Time) {
        let timeout = self.cfg.drain_timeout;
        let start = now + timeout.saturating_sub(MAX_HANDOVER_TIME.min(timeout / 2));
        self.handover_start = Some(start);
        self.timers.push(Reverse((start, Timer::Drain)));
    }

    /// Hands over all requests that another daemon can continue, a bounded number at a time.
    pub(super) fn hand_over_all(&mut self, now: Time, out: &mut Vec<Effect>) {
        let is_offered = |entry: &&Entry| matches!(entry.phase, Phase::HandingOver { .. });
        let offered = self.entries.values().filter(is_offered).count();
        let can_hand_over = self.entries.iter().filter(|(_, entry)| can_hand_over(entry));
        let mut ids: Vec<ExchangeId> = can_hand_over.map(|(id, _)| *id).collect();
        ids.sort_unstable();
        let left = ids.len();
        ids.truncate(MAX_OPEN_OFFERS.saturating_sub(offered));
        for &id in &ids {
            self.hand_over(now, id, out);
        }
        if left > ids.len() {
            self.timers.push(Reverse((now + OFFER_INTERVAL, Timer::Drain)));
        }
    }

    /// Reports whether a request is to be offered to a peer now.
    pub(super) fn is_handover_due(&self, now: Time, entry: &Entry) -> bool {
        self.handover_start.is_some_and(|start| start <= now) && can_hand_over(entry)
    }

    fn hand_over(&mut self, now: Time, id: ExchangeId, out: &mut Vec<Effect>) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        entry.was_offered = true;
        let spec = &entry.exchange.spec;
        let own_daemon = &self.cfg.origin.daemon;
        let members = self.snapshot.members.iter().map(|member| &member.daemon);
        let others = members.filter(|daemon| *daemon != own_daemon);
        let mut candidates: Vec<DaemonId> =
            rendezvous(&spec.request, others).into_iter().cloned().collect();
        candidates.truncate(MAX_HANDOVER_PEERS);
        candidates.reverse();
        self.offer(now, id, candidates, out);
    }

    /// Offers a request to the last of these peers; `others` are the remaining candidates.
    fn offer(
        &mut self,
        now: Time,
        id: ExchangeId,
        mut others: Vec<DaemonId>,
        out: &mut Vec<Effect>,
    ) {
        // Without a peer, the request continues here until this daemon stops.
        let Some(to) = others.pop() else { return };
        let Some(entry) = self.entries.get_mut(&id) else { return };
        let tried = (MAX_HANDOVER_PEERS - others.len().min(MAX_HANDOVER_PEERS)) as u64;
        let exchange = &entry.exchange;
        let Some(completion) = exchange.spec.completion.clone() else { return };
        let spec = &exchange.spec;
        let handover = Handover {
            request: spec.request.clone(),
            customer: spec.customer.clone(),
            route: spec.route.clone(),
            service: spec.service.clone(),
            class: spec.class,
            path: spec.path.clone(),
            completion,
            digest: spec.digest,
            time_left: spec.deadline.since(now),
            // Each peer gets its own range of attempt numbers, in case two of them accept the
            // request.
            attempts_before: exchange.last_attempt_number().0 + ATTEMPT_NUMBERS_PER_PEER * tried,
            tokens: exchange.answer.tokens_from(0).map(Into::into).collect(),
        };
        let message = Message::HandOver(Box::new(handover));
        out.push(Effect::Send(Recipient::Daemon(to.clone()), message));
        let until = now + OFFER_TIMEOUT;
        // The attempt goes on until a peer accepts, since none may. Until then nothing more is delivered,
        // as the peer computes all further tokens itself and they may differ.
        entry.phase = Phase::HandingOver { to, others, until };
        if let Some(kv_target) = entry.kv_target.take() {
            self.placement.record_end(now, &kv_target.upstream, AttemptResult::Neutral);
        }
        self.arm(id, until);
    }

    /// Offers a request to the next peer after one declined it or did not reply in time.
    pub(super) fn offer_to_next(&mut self, now: Time, id: ExchangeId, out: &mut Vec<Effect>) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        let Phase::HandingOver { others, .. } = &mut entry.phase else { return };
        let others = std::mem::take(others);
        if !others.is_empty() {
            return self.offer(now, id, others, out);
        }
        if entry.exchange.attempt().is_none() {
            return self.dispatch(now, id, out);
        }
        entry.phase = Phase::Running;
        self.deliver(now, id, out);
    }

    pub(super) fn handle_handover_reply(
        &mut self,
        now: Time,
        from: &DaemonId,
        request: &RequestId,
        accepted: bool,
        out: &mut Vec<Effect>,
    ) {
        let Some(&id) = self.by_request.get(request) else { return };
        let Some(entry) = self.entries.get(&id) else { return };
        match &entry.phase {
            Phase::HandingOver { to, .. } if to == from => {}
            _ => return,
        }
        if !accepted {
            return self.offer_to_next(now, id, out);
        }
        self.cancel(now, id, out);
        let Some(entry) = self.remove(now, id) else { return };
        let request = request.clone();
        let detail = "another daemon goes on with the request";
        let refusal = Refusal::new(RefusalKind::HandedOver, RunOutcome::MayHaveRun, detail)
            .with_retry_after(HANDOVER_RETRY_AFTER)
            .with_resume(request.clone());
        Self::send_refusal(entry.reader_state, request, refusal, out);
    }

    /// Handles the offer of a request from a daemon that shuts down.
    ///
    /// The offer is accepted if this daemon already holds the request, or if it is ready and the
    /// partial response is valid. A response that has begun waits here for an upstream; a request
    /// without one would be refused, so that it is declined if none can be selected.
    pub(super) fn accept_handover(
        &mut self,
        now: Time,
        from: &DaemonId,
        handover: Handover,
        out: &mut Vec<Effect>,
    ) {
        let request = handover.request.clone();
        let holds = self.by_request.contains_key(&request) || self.retained.get(&request).is_some();
        let answer = ResponseTokens::from_tokens(handover.tokens.iter().map(|token| &**token));
        let reply = |accepted| {
            let message = Message::HandOverReply { request: request.clone(), accepted };
            Effect::Send(Recipient::Daemon(from.clone()), message)
        };
        let (false, true, Ok(answer)) = (holds, self.snapshot.is_ready(), answer) else {
            return out.push(reply(holds));
        };
        let attempts_before = handover.attempts_before;
        let spec = Arc::new(self.with_prefix(spec_from_handover(now, handover)));
        let exchange = Exchange::from_handover(spec, answer, attempts_before);
        let deadline = exchange.spec.deadline;
        let id = self.insert(exchange, None, false);
        let has_begun = self.entries[&id].exchange.has_begun();
        if !has_begun && self.choose(now, id).is_none() {
            self.remove(now, id);
            return out.push(reply(false));
        }
        out.push(reply(true));
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.is_resumable = true;
            entry.phase = Phase::Waiting { until: now, needs_grant: false };
        }
        self.arm(id, deadline);
        self.dispatch(now, id, out);
    }
}

/// Reports whether a request can continue at another daemon.
fn can_hand_over(entry: &Entry) -> bool {
    let exchange = &entry.exchange;
    let Some(wire) = &exchange.spec.completion else { return false };
    let bytes = wire.prompt.len() + exchange.answer.text().len();
    !entry.was_offered
        && exchange.plain.is_none()
        && exchange.can_retry()
        && bytes <= MAX_HANDOVER_BYTES
}

fn spec_from_handover(now: Time, handover: Handover) -> RequestSpec {
    RequestSpec {
        prefix: None,
        tokens: super::arrive::token_limit(&handover.completion),
        request: handover.request,
        customer: handover.customer,
        route: handover.route,
        service: handover.service,
        class: handover.class,
        retry_policy: RetryPolicy::Safe,
        method: "POST".into(),
        path: handover.path,
        headers: Arc::new([]),
        body: bytes::Bytes::new(),
        completion: Some(handover.completion),
        key: None,
        digest: handover.digest,
        arrived: now,
        deadline: now + handover.time_left,
    }
}
