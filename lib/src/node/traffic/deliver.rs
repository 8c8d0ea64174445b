//! Delivery of responses to readers, each token once and in order.

use bytes::Bytes;

use super::{BodyOrigin, Effect, Entry, Phase, Reader, ReaderState, Traffic};
use crate::{
    ids::{DaemonId, RequestId},
    peer::Recipient,
    request::{
        ExchangeId,
        completion::{UsageWire, full_response_body, write_done, write_token},
        exchange::Head,
        message::{FetchEnd, FetchId, FetchResponse, Message},
        refusal::Refusal,
        retained::RetainedResponse,
    },
    units::Time,
};

/// The target size, in bytes, of the tokens in one message to a peer; the last token may exceed it.
const MAX_FETCH_RESPONSE_BYTES: usize = 128 << 10;
/// The estimated encoding overhead of a token, in bytes.
const TOKEN_OVERHEAD_BYTES: usize = 4;

impl Traffic {
    /// Sends the reader of an exchange the part of the response that it has not received, unless a peer
    /// may go on with it.
    pub(super) fn deliver(&mut self, _now: Time, id: ExchangeId, out: &mut Vec<Effect>) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        if matches!(entry.phase, Phase::HandingOver { .. }) {
            return;
        }
        let Entry { exchange, reader_state, is_resumable, .. } = entry;
        let Some(reader_state) = reader_state else {
            // Only completions get another reader, and a claim stores no response of this length.
            if let Some(plain) = exchange.plain.as_mut().filter(|plain| plain.is_forwarding) {
                plain.body.clear();
            }
            return;
        };
        let request = &exchange.spec.request;
        if let Some(plain) = &mut exchange.plain {
            if let Reader::Caller(caller) = reader_state.reader {
                if !reader_state.responded {
                    reader_state.responded = true;
                    let head = Box::new(plain.head.clone());
                    let start =
                        Effect::StartResponse(caller, request.clone(), head, BodyOrigin::Upstream);
                    out.push(start);
                }
                out.push(Effect::SendBody(caller, plain.body.split().freeze()));
            }
            return;
        }
        if !reader_state.stream {
            return;
        }
        *is_resumable = true;
        let mut tokens = TokenSender { reader_state, request, out };
        tokens.send_tokens(exchange.answer.tokens_from(tokens.reader_state.next));
    }

    /// Sends the reader the rest of the response, and retains the response for resuming callers.
    pub(super) fn finish(&mut self, now: Time, id: ExchangeId, out: &mut Vec<Effect>) {
        self.deliver_rest(id, out);
        let Some(mut entry) = self.remove(now, id) else { return };
        Self::end_claim(&mut entry, out);
        let exchange = entry.exchange;
        if exchange.spec.completion.is_some() && exchange.plain.is_none() && entry.is_resumable {
            let response = RetainedResponse {
                customer: exchange.spec.customer.clone(),
                answer: exchange.answer,
                usage: exchange.usage,
                stream: exchange.spec.streams(),
            };
            self.retained.store(now, exchange.spec.request.clone(), response);
        }
    }

    fn deliver_rest(&mut self, id: ExchangeId, out: &mut Vec<Effect>) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        let Entry { exchange, reader_state, is_resumable, .. } = entry;
        let Some(reader_state) = reader_state else { return };
        let request = &exchange.spec.request;
        let Some(plain) = &mut exchange.plain else {
            *is_resumable |= reader_state.stream;
            let answer = &exchange.answer;
            let rest = answer.tokens_from(reader_state.next);
            return send_complete(reader_state, request, answer.text(), rest, exchange.usage, out);
        };
        let Reader::Caller(caller) = reader_state.reader else { return };
        if reader_state.responded {
            out.push(Effect::SendBody(caller, plain.body.split().freeze()));
            out.push(Effect::EndResponse(caller));
        } else {
            let body = Bytes::copy_from_slice(&plain.body);
            out.push(Effect::SendFullResponse(
                caller,
                request.clone(),
                Box::new(plain.head.clone()),
                body,
            ));
        }
    }

    /// Sends a reader the refusal that ends its request.
    pub(super) fn send_refusal(
        reader_state: Option<ReaderState>,
        request: RequestId,
        refusal: Refusal,
        out: &mut Vec<Effect>,
    ) {
        let Some(reader_state) = reader_state else { return };
        match reader_state.reader {
            Reader::Caller(caller) => out.push(Effect::Refuse(caller, Box::new(refusal))),
            Reader::Peer(daemon, id) => {
                let end = Some(FetchEnd::Failed(refusal.detail));
                let (stream, offset) = (reader_state.stream, reader_state.next);
                let part = FetchResponse { id, request, stream, offset, tokens: Vec::new(), end };
                out.push(Effect::Send(Recipient::Daemon(daemon), Message::FetchResponse(part)));
            }
        }
    }
}

/// Sends a reader the rest of a complete response and its end.
pub(super) fn send_complete<'a>(
    reader_state: &mut ReaderState,
    request: &RequestId,
    text: &str,
    rest: impl Iterator<Item = &'a str>,
    usage: Option<UsageWire>,
    out: &mut Vec<Effect>,
) {
    match &reader_state.reader {
        Reader::Caller(caller) if !reader_state.stream => {
            let body = full_response_body(text, usage).into();
            let head = Box::new(json_head());
            out.push(Effect::SendFullResponse(*caller, request.clone(), head, body));
        }
        Reader::Caller(caller) => {
            let caller = *caller;
            TokenSender { reader_state, request, out }.send_tokens(rest);
            let mut buf = Vec::new();
            write_done(&mut buf);
            out.push(Effect::SendBody(caller, buf.into()));
            out.push(Effect::EndResponse(caller));
        }
        Reader::Peer(daemon, id) => {
            let (daemon, id) = (daemon.clone(), *id);
            let end = Some(FetchEnd::Complete(usage));
            send_fetch_responses(&daemon, id, reader_state, request, rest, end, out);
        }
    }
}

/// Sends the tokens of a streamed response to a reader.
pub(super) struct TokenSender<'r, 'o> {
    pub(super) reader_state: &'r mut ReaderState,
    pub(super) request: &'r RequestId,
    pub(super) out: &'o mut Vec<Effect>,
}

impl TokenSender<'_, '_> {
    /// Sends tokens, starting at the reader's next offset.
    pub(super) fn send_tokens<'a>(&mut self, tokens: impl Iterator<Item = &'a str>) {
        match self.reader_state.reader.clone() {
            Reader::Caller(caller) => {
                if !self.reader_state.responded {
                    self.reader_state.responded = true;
                    let head = Box::new(event_stream_head());
                    let request = self.request.clone();
                    let start = Effect::StartResponse(caller, request, head, BodyOrigin::Daemon);
                    self.out.push(start);
                }
                let mut buf = Vec::new();
                for token in tokens {
                    write_token(&mut buf, self.reader_state.next, token);
                    self.reader_state.next += 1;
                }
                if !buf.is_empty() {
                    self.out.push(Effect::SendBody(caller, buf.into()));
                }
            }
            Reader::Peer(daemon, id) => {
                send_fetch_responses(
                    &daemon,
                    id,
                    self.reader_state,
                    self.request,
                    tokens,
                    None,
                    self.out,
                );
            }
        }
    }
}

/// Sends tokens to the daemon that fetches them, split by [`MAX_FETCH_RESPONSE_BYTES`].
fn send_fetch_responses<'a>(
    daemon: &DaemonId,
    id: FetchId,
    reader_state: &mut ReaderState,
    request: &RequestId,
    tokens: impl Iterator<Item = &'a str>,
    end: Option<FetchEnd>,
    out: &mut Vec<Effect>,
) {
    let mut tokens = tokens.peekable();
    let mut send = |offset, tokens, end| {
        let (request, stream) = (request.clone(), reader_state.stream);
        let part = FetchResponse { id, request, stream, offset, tokens, end };
        out.push(Effect::Send(Recipient::Daemon(daemon.clone()), Message::FetchResponse(part)));
    };
    let (mut batch, mut bytes, mut offset) = (Vec::new(), 0, reader_state.next);
    while let Some(token) = tokens.next() {
        batch.push(Box::from(token));
        bytes += token.len() + TOKEN_OVERHEAD_BYTES;
        if bytes >= MAX_FETCH_RESPONSE_BYTES && tokens.peek().is_some() {
            let sent = std::mem::take(&mut batch);
            let begin = offset;
            offset += sent.len() as u64;
            bytes = 0;
            send(begin, sent, None);
        }
    }
    let begin = offset;
    offset += batch.len() as u64;
    send(begin, batch, end);
    reader_state.next = offset;
}

fn event_stream_head() -> Head {
    let headers = vec![
        ("content-type".into(), Bytes::from_static(b"text/event-stream")),
        ("cache-control".into(), Bytes::from_static(b"no-store")),
    ];
    Head { status: 200, headers, is_event_stream: true, ..Head::default() }
}

fn json_head() -> Head {
    let headers = vec![("content-type".into(), Bytes::from_static(b"application/json"))];
    Head { status: 200, headers, ..Head::default() }
}
