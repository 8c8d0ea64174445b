//! Resumption of responses by callers, at the daemon that holds the response or at any other.

use std::{cmp::Reverse, time::Duration};

use super::{
    Effect, Reader, ReaderState, ResumeRequest, Timer, Traffic,
    deliver::{TokenSender, send_complete},
};
use crate::{
    ids::{DaemonId, RequestId},
    peer::Recipient,
    request::{
        CallerId, ExchangeId,
        completion::UsageWire,
        message::{Fetch, FetchEnd, FetchId, FetchResponse, Message},
        outcome::{RunOutcome, Undispatched},
        refusal::{Refusal, RefusalKind},
        request_id::{RequestOrigin, rendezvous},
        response_tokens::ResponseTokens,
    },
    units::Time,
};

/// The interval at which an unfinished fetch is sent again.
const FETCH_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// How many times a fetch is sent without a response before the next daemon is tried.
const MAX_FETCH_TRIES: u32 = 4;
/// The maximum number of daemons queried as possible recipients of a handover.
const MAX_HANDOVER_PEERS: usize = 3;

/// A response being fetched for a caller from the daemon that holds it.
#[derive(Clone, Debug)]
pub(super) struct FetchState {
    request: RequestId,
    customer: Option<crate::ids::CustomerName>,
    reader_state: ReaderState,
    /// The tokens so far; collected only for a caller that does not stream.
    collected: ResponseTokens,
    stream: Option<bool>,
    /// The daemons still to be queried; the last one is queried now.
    holders: Vec<DaemonId>,
    tries: u32,
    got_response: bool,
}

impl Traffic {
    pub(super) fn receive_resume(
        &mut self,
        now: Time,
        resumption: ResumeRequest,
        out: &mut Vec<Effect>,
    ) {
        let ResumeRequest { caller, request, last_event, token } = resumption;
        let customer = match self.customer(token.as_ref()) {
            Ok(customer) => customer,
            Err((kind, detail)) => {
                let outcome = RunOutcome::NotRun(Undispatched::begin().refuse());
                let refusal = Refusal::new(kind, outcome, detail);
                return out.push(Effect::Refuse(caller, Box::new(refusal)));
            }
        };
        let next = last_event.map_or(0, |last| last + 1);
        let reader = Reader::Caller(caller);
        let reader_state = ReaderState { reader, next, stream: true, responded: false };
        if self.attach_local_reader(now, &request, customer.as_ref(), reader_state.clone(), out) {
            return;
        }
        let mut holders = self.possible_holders(&request);
        holders.reverse();
        let state = FetchState {
            request,
            customer,
            reader_state,
            collected: ResponseTokens::default(),
            stream: None,
            holders,
            tries: 0,
            got_response: false,
        };
        self.fetches.insert(caller, state);
        self.query_holder(now, caller, out);
    }

    /// Lists the daemons that may hold a request, in the order in which they are queried.
    ///
    /// A daemon that shuts down is no longer a member, but holds its requests until it hands them
    /// over. It is queried after the possible recipients of a handover, which are then queried
    /// again.
    fn possible_holders(&self, request: &RequestId) -> Vec<DaemonId> {
        let origin = RequestOrigin::from_request_id(request).map(|origin| origin.daemon);
        let members = self.snapshot.members.iter().map(|member| &member.daemon);
        let is_member = |daemon: &DaemonId| {
            *daemon == self.cfg.origin.daemon || members.clone().any(|member| member == daemon)
        };
        let others = members.clone().filter(|daemon| Some(*daemon) != origin.as_ref());
        let candidates = rendezvous(request, others);
        let candidates = || candidates.iter().copied().take(MAX_HANDOVER_PEERS);
        let holders: Vec<&DaemonId> = match &origin {
            Some(origin) if is_member(origin) => {
                std::iter::once(origin).chain(candidates()).collect()
            }
            origin => candidates().chain(origin).chain(candidates()).collect(),
        };
        holders.into_iter().cloned().collect()
    }

    /// Attaches a reader to a response held by this thread.
    ///
    /// Returns false if this thread holds no response that the customer may read.
    fn attach_local_reader(
        &mut self,
        now: Time,
        request: &RequestId,
        customer: Option<&crate::ids::CustomerName>,
        mut reader_state: ReaderState,
        out: &mut Vec<Effect>,
    ) -> bool {
        if let Some(&id) = self.by_request.get(request) {
            let entry = &self.entries[&id];
            if entry.exchange.spec.customer.as_ref() != customer
                || entry.exchange.spec.completion.is_none()
            {
                return false;
            }
            reader_state.stream = entry.exchange.spec.streams();
            self.attach_to_running(now, id, reader_state, out);
            return true;
        }
        self.retained.expire(now);
        let Some(response) = self.retained.get(request) else { return false };
        if response.customer.as_ref() != customer {
            return false;
        }
        reader_state.stream = response.stream;
        let rest = response.answer.tokens_from(reader_state.next);
        send_complete(
            &mut reader_state,
            request,
            response.answer.text(),
            rest,
            response.usage,
            out,
        );
        true
    }

    fn attach_to_running(
        &mut self,
        now: Time,
        id: ExchangeId,
        reader_state: ReaderState,
        out: &mut Vec<Effect>,
    ) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        entry.disconnected_since = None;
        entry.is_resumable = true;
        let before = entry.reader_state.replace(reader_state);
        if let Some(ReaderState { reader: Reader::Caller(caller), .. }) = &entry.reader_state {
            self.by_caller.insert(*caller, id);
        }
        let request = entry.exchange.spec.request.clone();
        let same =
            before.as_ref().map(|b| &b.reader) == entry.reader_state.as_ref().map(|r| &r.reader);
        if let Some(caller) = super::arrive::reader_caller(before.as_ref()) {
            self.by_caller.swap_remove(&caller);
            let detail = "the answer goes on over another connection";
            let kind = RefusalKind::ResumedElsewhere;
            let refusal = Refusal::new(kind, RunOutcome::MayHaveRun, detail).with_resume(request);
            out.push(Effect::Refuse(caller, Box::new(refusal)));
        } else if !same {
            let detail = "the answer goes on over another connection";
            let kind = RefusalKind::ResumedElsewhere;
            let refusal = Refusal::new(kind, RunOutcome::MayHaveRun, detail);
            Self::send_refusal(before, request, refusal, out);
        }
        self.deliver(now, id, out);
    }

    fn query_holder(&mut self, now: Time, caller: CallerId, out: &mut Vec<Effect>) {
        let Some(state) = self.fetches.get_mut(&caller) else { return };
        let Some(holder) = state.holders.last() else {
            return self.refuse_fetch(caller, "no daemon holds this request", out);
        };
        state.tries += 1;
        state.got_response = false;
        let fetch = Fetch {
            id: FetchId { thread: self.cfg.origin.thread, caller },
            request: state.request.clone(),
            customer: state.customer.clone(),
            next: state.reader_state.next,
        };
        let recipient = Recipient::Daemon(holder.clone());
        out.push(Effect::Send(recipient, Message::Fetch(fetch)));
        self.timers.push(Reverse((now + FETCH_RETRY_INTERVAL, Timer::Fetch(caller))));
    }

    fn refuse_fetch(&mut self, caller: CallerId, detail: &str, out: &mut Vec<Effect>) {
        if let Some(state) = self.fetches.swap_remove(&caller) {
            let kind = RefusalKind::UnknownRequest;
            let refusal = Refusal::new(kind, RunOutcome::MayHaveRun, detail);
            Self::send_refusal(Some(state.reader_state), state.request, refusal, out);
        }
    }

    pub(super) fn fetch_timer(&mut self, now: Time, caller: CallerId, out: &mut Vec<Effect>) {
        let Some(state) = self.fetches.get_mut(&caller) else { return };
        if state.got_response {
            state.tries = 0;
        }
        if state.tries >= MAX_FETCH_TRIES {
            state.tries = 0;
            state.holders.pop();
        }
        self.query_holder(now, caller, out);
    }

    pub(super) fn handle_fetch(
        &mut self,
        now: Time,
        from: DaemonId,
        fetch: Fetch,
        out: &mut Vec<Effect>,
    ) {
        let reader = Reader::Peer(from.clone(), fetch.id);
        let reader_state = ReaderState { reader, next: fetch.next, stream: true, responded: true };
        if self.attach_local_reader(now, &fetch.request, fetch.customer.as_ref(), reader_state, out)
        {
            return;
        }
        let Fetch { id, request, next: offset, .. } = fetch;
        let end = Some(FetchEnd::Unknown);
        let part = FetchResponse { id, request, stream: true, offset, tokens: Vec::new(), end };
        out.push(Effect::Send(Recipient::Daemon(from), Message::FetchResponse(part)));
    }

    pub(super) fn handle_fetch_response(
        &mut self,
        now: Time,
        part: FetchResponse,
        out: &mut Vec<Effect>,
    ) {
        let caller = part.id.caller;
        let Some(state) = self.fetches.get_mut(&caller) else { return };
        if state.request != part.request {
            return;
        }
        state.got_response = true;
        match part.end {
            Some(FetchEnd::Unknown) => {
                state.tries = 0;
                state.holders.pop();
                return self.query_holder(now, caller, out);
            }
            Some(FetchEnd::Failed(detail)) => return self.refuse_fetch(caller, &detail, out),
            None | Some(FetchEnd::Complete(_)) => {}
        }
        let completed = match part.end {
            Some(FetchEnd::Complete(usage)) => Some(usage),
            _ => None,
        };
        let applied = state.apply(&part, out);
        if let (true, Some(usage)) = (applied, completed) {
            self.end_fetch(caller, usage, out);
        }
    }

    fn end_fetch(&mut self, caller: CallerId, usage: Option<UsageWire>, out: &mut Vec<Effect>) {
        if let Some(mut state) = self.fetches.swap_remove(&caller) {
            let rest = std::iter::empty();
            let text = state.collected.text().to_owned();
            send_complete(&mut state.reader_state, &state.request, &text, rest, usage, out);
        }
    }
}

impl FetchState {
    /// Applies received tokens and streams the new ones to the caller.
    ///
    /// Returns false if an earlier token is missing or a token cannot be stored.
    fn apply(&mut self, part: &FetchResponse, out: &mut Vec<Effect>) -> bool {
        if self.stream.is_none() && !part.stream && self.reader_state.next > 0 {
            // Without streaming, the complete response is required, whatever last event the caller
            // sent.
            self.reader_state.next = 0;
        }
        self.stream.get_or_insert(part.stream);
        self.reader_state.stream = part.stream;
        let Some(skip) = self.reader_state.next.checked_sub(part.offset) else { return false };
        let skip = usize::try_from(skip).unwrap_or(usize::MAX);
        let new = part.tokens.iter().skip(skip).map(|token| &**token);
        if part.stream {
            TokenSender { reader_state: &mut self.reader_state, request: &self.request, out }
                .send_tokens(new);
            return true;
        }
        for token in new {
            if self.collected.insert_token(self.reader_state.next, token).is_err() {
                return false;
            }
            self.reader_state.next += 1;
        }
        true
    }
}
