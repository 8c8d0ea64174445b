//! Admission: the path of a request from its arrival to its first attempt.

use std::{sync::Arc, time::Duration};

use sha2::{Digest as _, Sha256};

use super::{Effect, Entry, IncomingRequest, Phase, Reader, ReaderState, Traffic};
use crate::{
    claim::{ClaimRequest, ClaimResponse, StoredResponse},
    declaration::{RetryPolicy, Route},
    ids::{CustomerName, RequestId},
    limit::{Admission, AdmissionRequest},
    request::{
        CallerId, ExchangeId,
        completion::{COMPLETIONS, CompletionWire},
        crash_evidence::Verdict,
        exchange::{Exchange, Head, RequestSpec},
        outcome::{RunOutcome, Undispatched},
        refusal::{Refusal, RefusalKind},
    },
    units::Time,
};

/// The time after which a caller may retry, at this daemon or another, if the daemon is not ready
/// or is draining.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The kind and detail of a refusal.
type Reason = (RefusalKind, String);

impl Traffic {
    /// Checks whether a request can be admitted, before its body is read.
    ///
    /// Returns the refusal's kind and detail if it cannot.
    pub fn check_head(&self, path: &str, token: Option<&[u8; 32]>) -> Result<(), Reason> {
        self.check_ready()?;
        self.customer(token)?;
        self.route(path).map(|_| ())
    }

    fn check_ready(&self) -> Result<(), Reason> {
        if self.snapshot.draining {
            return Err((RefusalKind::Draining, "this daemon is shutting down".into()));
        }
        if !self.snapshot.is_ready() {
            let detail = "this daemon does not know what is in force";
            return Err((RefusalKind::NotReady, detail.into()));
        }
        Ok(())
    }

    pub(super) fn customer(
        &self,
        token: Option<&[u8; 32]>,
    ) -> Result<Option<CustomerName>, Reason> {
        let set = &self.snapshot.set;
        if set.customers.is_empty() {
            return Ok(None);
        }
        let found = token.and_then(|token| set.customer_with(token));
        let detail = "present the bearer token of a customer";
        match found {
            Some(customer) => Ok(Some(customer.name.clone())),
            None => Err((RefusalKind::UnknownCustomer, detail.into())),
        }
    }

    fn route(&self, path: &str) -> Result<&Route, Reason> {
        let path = path.split('?').next().unwrap_or(path);
        let route = self.snapshot.set.route_for(path);
        route.ok_or_else(|| (RefusalKind::UnknownRoute, format!("no route covers {path}")))
    }

    pub(super) fn receive_request(
        &mut self,
        now: Time,
        arrival: IncomingRequest,
        out: &mut Vec<Effect>,
    ) {
        let caller = arrival.caller;
        let spec = match self.build_spec(now, &arrival) {
            Ok(spec) => Arc::new(self.with_prefix(spec)),
            Err((kind, detail)) => {
                let outcome = RunOutcome::NotRun(arrival.undispatched.refuse());
                let refusal = Refusal::new(kind, outcome, detail).with_default_retry();
                return out.push(Effect::Refuse(caller, Box::new(refusal)));
            }
        };
        let undispatched = arrival.undispatched;
        if let Some(refused_for) = self.poison.refused_for(now, &spec.digest) {
            let detail = "this request crashed the upstreams that ran it";
            let refusal = not_run(RefusalKind::PoisonRequest, undispatched, detail);
            let refusal = refusal.with_retry_after(refused_for);
            return out.push(Effect::Refuse(caller, Box::new(refusal)));
        }
        let rank = || Self::probe_rank(&self.snapshot, &self.cfg);
        let (content, parts) = (spec.content_hash(), spec.shared_parts());
        if let Verdict::Barred { cause, retry_after } =
            self.crash_evidence.check(now, content, parts, rank)
        {
            let detail = format!("upstreams crash with this request ({cause})");
            let refusal = not_run(RefusalKind::PoisonRequest, undispatched, &detail);
            let refusal = refusal.with_retry_after(retry_after);
            return out.push(Effect::Refuse(caller, Box::new(refusal)));
        }
        if let Admission::Refused(overload) = self.limits.admit(now, &admission_request(&spec)) {
            let detail = "too much is waiting for this service";
            let refusal = not_run(RefusalKind::Overload, undispatched, detail);
            let refusal = refusal.with_retry_after(overload.retry_after);
            return out.push(Effect::Refuse(caller, Box::new(refusal)));
        }
        let stream = spec.streams();
        let reader_state =
            ReaderState { reader: Reader::Caller(caller), next: 0, stream, responded: false };
        let id = self.insert(Exchange::new(spec.clone(), undispatched), Some(reader_state), true);
        self.arm(id, spec.deadline);
        match claim_request_for(&spec) {
            Some(claim) => out.push(Effect::RequestClaim(claim)),
            None => self.dispatch(now, id, out),
        }
    }

    pub(super) fn insert(
        &mut self,
        exchange: Exchange,
        reader_state: Option<ReaderState>,
        admitted: bool,
    ) -> ExchangeId {
        self.last_number += 1;
        let id = ExchangeId(self.last_number);
        self.by_request.insert(exchange.spec.request.clone(), id);
        if let Some(ReaderState { reader: Reader::Caller(caller), .. }) = &reader_state {
            self.by_caller.insert(*caller, id);
        }
        let entry = Entry {
            exchange,
            phase: Phase::Claiming,
            reader_state,
            is_resumable: false,
            disconnected_since: None,
            ticket: None,
            failed: Vec::new(),
            has_left_silent: false,
            is_suspect: false,
            is_sound: false,
            kv_target: None,
            was_offered: false,
            admitted,
            first_token: None,
            retry_after: None,
            retry_refusal: None,
            armed: None,
            memory: self.response_memory.begin(),
        };
        self.entries.insert(id, entry);
        id
    }

    fn build_spec(&self, now: Time, arrival: &IncomingRequest) -> Result<RequestSpec, Reason> {
        self.check_ready()?;
        let customer = self.customer(arrival.token.as_ref())?;
        let route = self.route(&arrival.path)?;
        let Some(service) = self.snapshot.set.services.get(&route.service) else {
            return Err((RefusalKind::UnknownRoute, "the route has no service".into()));
        };
        let is_completion = self.is_completion(route, arrival);
        let completion = is_completion.then(|| read_completion(&arrival.body)).transpose()?;
        let allowed =
            arrival.deadline.map_or(route.deadline, |requested| requested.min(route.deadline));
        if arrival.waited >= allowed {
            let detail = "the deadline had passed when the request was read";
            return Err((RefusalKind::DeadlineExceeded, detail.into()));
        }
        let request = self.cfg.origin.request_id(self.last_number + 1);
        let request = request.map_err(|error| (RefusalKind::NotReady, error.to_string()))?;
        Ok(RequestSpec {
            request,
            customer,
            route: route.name.clone(),
            service: service.name.clone(),
            class: arrival.class.map_or(route.class, |class| class.max(route.class)),
            retry_policy: service.retry_policy_for(&arrival.method),
            method: arrival.method.clone(),
            path: arrival.path.clone(),
            headers: arrival.headers.clone(),
            body: if completion.is_some() { bytes::Bytes::new() } else { arrival.body.clone() },
            digest: content_digest(service.name.as_str(), arrival),
            prefix: None,
            tokens: completion.as_ref().map_or(0, token_limit),
            completion,
            key: arrival.key.clone(),
            arrived: now,
            deadline: now + allowed.saturating_sub(arrival.waited),
        })
    }

    /// Sets the prefix hash of a completion.
    pub(super) fn with_prefix(&mut self, mut spec: RequestSpec) -> RequestSpec {
        if let Some(wire) = &spec.completion {
            spec.prefix = Some(self.placement.affinity(&spec.service, &wire.prompt));
        }
        spec
    }

    fn is_completion(&self, route: &Route, arrival: &IncomingRequest) -> bool {
        let path = arrival.path.split('?').next().unwrap_or("");
        self.is_model(&route.service) && &*arrival.method == "POST" && path.ends_with(COMPLETIONS)
    }

    pub(super) fn handle_claim(
        &mut self,
        now: Time,
        request: &RequestId,
        answer: ClaimResponse,
        out: &mut Vec<Effect>,
    ) {
        let Some(&id) = self.by_request.get(request) else {
            return Self::release_unused_claim(answer, out);
        };
        let Some(entry) = self.entries.get_mut(&id).filter(|e| e.phase == Phase::Claiming) else {
            return Self::release_unused_claim(answer, out);
        };
        match answer {
            ClaimResponse::Granted(ticket) => {
                entry.ticket = Some(ticket);
                self.dispatch(now, id, out);
            }
            ClaimResponse::Stored(stored) => self.send_stored_response(now, id, stored, out),
            ClaimResponse::Unresolved => {
                let detail = "the call was sent before under this key; its end is not known";
                self.refuse_may_have_run(now, id, RefusalKind::ClaimUnresolved, detail, out);
            }
            ClaimResponse::OtherCall => {
                let detail = "the idempotency key was used for another call";
                self.refuse(now, id, RefusalKind::KeyReused, detail, None, out);
            }
            ClaimResponse::Unavailable { retry_after } => {
                let detail = "the platform does not take claims now";
                let kind = RefusalKind::ClaimUnavailable;
                self.refuse(now, id, kind, detail, Some(retry_after), out);
            }
        }
    }

    /// Releases a claim granted after its request had been completed or refused.
    fn release_unused_claim(answer: ClaimResponse, out: &mut Vec<Effect>) {
        if let ClaimResponse::Granted(ticket) = answer {
            out.push(Effect::EndClaim(ticket, crate::claim::ClaimOutcome::NotRun));
        }
    }

    fn send_stored_response(
        &mut self,
        now: Time,
        id: ExchangeId,
        stored: StoredResponse,
        out: &mut Vec<Effect>,
    ) {
        let Some(body) = stored.body else {
            let detail = "the call ran before; its answer was too large to keep";
            return self.refuse_may_have_run(now, id, RefusalKind::ClaimUnresolved, detail, out);
        };
        let headers = vec![("content-type".into(), stored.content_type.into_string().into())];
        let head = Head { status: stored.status, headers, ..Head::default() };
        let Some(entry) = self.remove(now, id) else { return };
        if let Some(ReaderState { reader: Reader::Caller(caller), .. }) = entry.reader_state {
            let request = entry.exchange.spec.request.clone();
            out.push(Effect::SendFullResponse(caller, request, Box::new(head), body));
        }
    }
}

impl Refusal {
    /// Adds [`NOT_READY_RETRY_AFTER`] if the reason for the refusal is temporary.
    fn with_default_retry(self) -> Self {
        match self.kind {
            RefusalKind::NotReady | RefusalKind::Draining => {
                self.with_retry_after(NOT_READY_RETRY_AFTER)
            }
            _ => self,
        }
    }
}

fn not_run(kind: RefusalKind, undispatched: Undispatched, detail: &str) -> Refusal {
    Refusal::new(kind, RunOutcome::NotRun(undispatched.refuse()), detail)
}

/// Returns the inputs of the admission decision.
pub(super) fn admission_request(spec: &RequestSpec) -> AdmissionRequest<'_> {
    AdmissionRequest {
        customer: spec.customer.as_ref(),
        service: &spec.service,
        class: spec.class,
        tokens: spec.tokens,
    }
}

fn claim_request_for(spec: &RequestSpec) -> Option<ClaimRequest> {
    let key = spec.key.as_deref().filter(|_| spec.retry_policy == RetryPolicy::Never)?;
    let customer = spec.customer.as_ref().map_or("", CustomerName::as_str);
    Some(ClaimRequest {
        service: spec.service.clone(),
        key: format!("{customer}/{key}").into(),
        digest: spec.digest,
        request: spec.request.clone(),
    })
}

fn read_completion(body: &[u8]) -> Result<CompletionWire, Reason> {
    let wire: CompletionWire = serde_json::from_slice(body).map_err(|error| {
        (RefusalKind::Malformed, format!("the body is no completions request: {error}"))
    })?;
    if wire.resume.is_some() {
        let detail = "callers resume by GET /requests/{id}";
        return Err((RefusalKind::Malformed, detail.into()));
    }
    Ok(wire)
}

/// Returns the maximum number of prompt and response tokens, counting a word of the prompt as one.
pub(super) fn token_limit(wire: &CompletionWire) -> u64 {
    wire.prompt.split_ascii_whitespace().count() as u64 + wire.max_tokens
}

fn content_digest(service: &str, arrival: &IncomingRequest) -> [u8; 32] {
    let mut hasher = Sha256::new();
    for part in [service.as_bytes(), arrival.method.as_bytes(), arrival.path.as_bytes()] {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.update(&arrival.body);
    hasher.finalize().into()
}

/// Returns the caller if the reader is one, not a peer.
pub(super) fn reader_caller(reader_state: Option<&ReaderState>) -> Option<CallerId> {
    match reader_state {
        Some(ReaderState { reader: Reader::Caller(caller), .. }) => Some(*caller),
        _ => None,
    }
}
