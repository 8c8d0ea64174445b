//! Serves an engine over HTTP.

use std::{io, time::Duration};

use actix_http::{
    Method, Request, Response, StatusCode,
    body::{BodyStream, BoxBody},
    header,
};
use bytes::Bytes;
use dogwoodturn::units::Time;
use futures_util::{Stream, StreamExt as _, stream};
use serde_json::json;
use tokio::{
    sync::mpsc,
    time::{sleep, timeout},
};

use crate::{
    engine::{
        COMPLETIONS, Engine, State,
        faults::{BadKind, Faults},
        model::{Output, Refusal, Submission},
        prompt_hash, token_of,
        wire::{CompletionWire, ExportWire, KvBlob, LoadWire, OrderWire},
    },
    http::{self, header_text, json, json_body, query, text},
};

/// Number of past load reports that are kept.
const MAX_LOADS: usize = 64;
/// Maximum sleep of an idle engine that nothing wakes.
const IDLE_SLEEP: Duration = Duration::from_millis(50);

impl Engine {
    /// Steps the model whenever a step is due, and sends its outputs to the response streams.
    pub(super) async fn run(self) {
        loop {
            let wait = {
                let mut state = self.lock();
                let now = self.now();
                let mut out = Vec::new();
                state.model.step(now, &mut out);
                for (id, output) in out {
                    send_output(&mut state, &id, output);
                }
                record_load(&mut state, now);
                state.model.next_step().map_or(IDLE_SLEEP, |at| at.since(self.now()))
            };
            if wait.is_zero() {
                tokio::task::yield_now().await;
            } else {
                let _ = timeout(wait, self.shared.submitted.notified()).await;
            }
        }
    }

    pub(super) async fn handle(self, mut req: Request) -> Response<BoxBody> {
        let path = req.path().to_owned();
        if path.ends_with(COMPLETIONS) {
            return self.complete(&path, &mut req).await;
        }
        match (req.method().clone(), path.as_str()) {
            (Method::GET, "/load") => json(StatusCode::OK, &self.delayed_load()),
            (Method::GET, "/cache-events") => {
                let after = query(&req, "after").and_then(|after| after.parse().ok()).unwrap_or(0);
                json(StatusCode::OK, &self.lock().model.cache_events(after))
            }
            (Method::GET, "/faults") => json(StatusCode::OK, &self.lock().faults),
            (Method::PUT, "/faults") => self.put_faults(&mut req).await,
            (Method::POST, "/orders") => self.apply_order(&mut req).await,
            (Method::POST, "/kv/export") => self.export(&mut req).await,
            (Method::POST, "/kv/import") => self.import(&mut req).await,
            (Method::DELETE, path) => match path.strip_prefix("/v1/requests/") {
                Some(id) => self.cancel(id),
                None => text(StatusCode::NOT_FOUND, "no such path"),
            },
            _ => text(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    async fn complete(&self, path: &str, req: &mut Request) -> Response<BoxBody> {
        let id = header_text(req, "x-request-id").map(str::to_owned);
        let time_left = header_text(req, "x-deadline-ms").and_then(|ms| ms.parse().ok());
        let wire: CompletionWire = match json_body(req).await {
            Ok(wire) => wire,
            Err(error) => return text(StatusCode::BAD_REQUEST, error),
        };
        let bad = {
            let mut state = self.lock();
            if state.faults.leaving {
                return not_run_response();
            }
            let poison = state.faults.poison.clone();
            if poison.is_some_and(|poison| wire.prompt.contains(&poison)) {
                simulate_crash(&mut state);
                return aborted_response();
            }
            let running = state.model.running() as u64;
            let since_start = self.now().0 / 1000;
            let bad = state.faults.bad.clone();
            bad.filter(|bad| bad.applies(since_start, running, path)).map(|bad| bad.kind)
        };
        match bad {
            Some(BadKind::Fail) => text(StatusCode::INTERNAL_SERVER_ERROR, "the version is bad"),
            Some(BadKind::Hang) => hanging_response(),
            Some(BadKind::Misframe) => misframed_response(),
            Some(BadKind::Slow(factor)) => self.run_completion(id, wire, time_left, factor),
            None => self.run_completion(id, wire, time_left, 1.0),
        }
    }

    fn run_completion(
        &self,
        id: Option<String>,
        wire: CompletionWire,
        time_left: Option<u64>,
        slowdown: f64,
    ) -> Response<BoxBody> {
        let now = self.now();
        let (tx, rx) = mpsc::unbounded_channel();
        let hash = prompt_hash(&wire.prompt);
        let id = {
            let mut state = self.lock();
            let id = id.unwrap_or_else(|| format!("local-{}", now.0));
            let resume = wire.resume.clone();
            let submission = Submission {
                id: id.clone(),
                prompt: wire.prompt,
                resumed_text: resume.as_ref().map(|r| r.text.clone()).unwrap_or_default(),
                offset: resume.map_or(0, |r| r.offset),
                max_tokens: wire.max_tokens,
                priority: wire.priority,
                deadline: time_left.map(|ms| now + Duration::from_millis(ms)),
                slowdown,
            };
            match state.model.submit(now, submission) {
                Ok(()) => state.streams.insert(id.clone(), tx),
                Err(Refusal::Busy) => return busy_response(),
                Err(Refusal::Duplicate) => return text(StatusCode::CONFLICT, "the name is in use"),
            };
            id
        };
        self.shared.submitted.notify_one();
        let load = self.delayed_load();
        let rate_limit = self.lock().faults.rate_limit;
        let response = ActiveResponse { engine: self.clone(), id, rx };
        if wire.stream {
            let body = BodyStream::new(event_stream(response, hash));
            let mut builder = Response::build(StatusCode::OK);
            builder.insert_header((header::CONTENT_TYPE, "text/event-stream"));
            builder.insert_header(("x-load-running", load.running));
            builder.insert_header(("x-load-waiting", load.waiting));
            builder.insert_header(("x-load-age-ms", load.age_ms));
            if let Some(limit) = rate_limit {
                builder.insert_header(("x-rate-limit", limit.to_string()));
            }
            return builder.body(body).map_into_boxed_body();
        }
        let mut builder = Response::build(StatusCode::OK);
        builder.insert_header((header::CONTENT_TYPE, "application/json"));
        builder
            .body(BodyStream::new(stream::once(complete_body(response, hash)).boxed_local()))
            .map_into_boxed_body()
    }

    fn cancel(&self, id: &str) -> Response<BoxBody> {
        let mut state = self.lock();
        state.model.cancel(id);
        state.streams.swap_remove(id);
        text(StatusCode::NO_CONTENT, "")
    }

    fn delayed_load(&self) -> LoadWire {
        let state = self.lock();
        let now = self.now();
        let before = now - state.load_lag;
        let past = state.loads.iter().rev().find(|(at, _)| *at <= before);
        let (at, load) = past.copied().unwrap_or((Time(0), LoadWire::default()));
        let kv_capacity = state.model.load().kv_capacity;
        LoadWire { age_ms: now.since(at).as_millis() as u64, kv_capacity, ..load }
    }

    async fn put_faults(&self, req: &mut Request) -> Response<BoxBody> {
        match json_body::<Faults>(req).await {
            Ok(faults) => {
                self.set_faults(faults);
                text(StatusCode::NO_CONTENT, "")
            }
            Err(error) => text(StatusCode::BAD_REQUEST, error),
        }
    }

    async fn apply_order(&self, req: &mut Request) -> Response<BoxBody> {
        let order: OrderWire = match json_body(req).await {
            Ok(order) => order,
            Err(error) => return text(StatusCode::BAD_REQUEST, error),
        };
        let delay = self.lock().faults.order_delay_ms;
        if delay > 0 {
            sleep(Duration::from_millis(delay)).await;
        }
        let mut state = self.lock();
        let is_stale = order.fencing < state.fencing;
        if is_stale && !state.faults.ignore_fencing {
            return json(StatusCode::CONFLICT, &json!({ "fencing": state.fencing }));
        }
        state.fencing = state.fencing.max(order.fencing);
        if state.orders.iter().all(|done| done.id != order.id) {
            state.stale_orders += u64::from(is_stale);
            state.orders.push(order);
        }
        json(StatusCode::OK, &json!({ "applied": true }))
    }

    async fn export(&self, req: &mut Request) -> Response<BoxBody> {
        let wire: ExportWire = match json_body(req).await {
            Ok(wire) => wire,
            Err(error) => return text(StatusCode::BAD_REQUEST, error),
        };
        match self.lock().model.export(&wire.request) {
            Some(blob) => json(StatusCode::OK, &blob),
            None => text(StatusCode::NOT_FOUND, "no such request"),
        }
    }

    async fn import(&self, req: &mut Request) -> Response<BoxBody> {
        let blob: KvBlob = match json_body(req).await {
            Ok(blob) => blob,
            Err(error) => return text(StatusCode::BAD_REQUEST, error),
        };
        if self.lock().model.import(&blob) {
            text(StatusCode::NO_CONTENT, "")
        } else {
            text(StatusCode::INSUFFICIENT_STORAGE, "no room")
        }
    }
}

/// A response in progress; dropping it cancels the request, as when the caller disconnects.
struct ActiveResponse {
    engine: Engine,
    id: String,
    rx: mpsc::UnboundedReceiver<Output>,
}

impl Drop for ActiveResponse {
    fn drop(&mut self) {
        let mut state = self.engine.lock();
        self.rx.close();
        // A later request may have the same ID; then the channel is open.
        if state.streams.get(&self.id).is_some_and(mpsc::UnboundedSender::is_closed) {
            state.streams.swap_remove(&self.id);
            state.model.cancel(&self.id);
        }
    }
}

fn event_stream(response: ActiveResponse, hash: u64) -> impl Stream<Item = io::Result<Bytes>> {
    stream::unfold(Some(response), move |response| async move {
        let mut response = response?;
        match response.rx.recv().await {
            Some(Output::Token(index)) => {
                let data = json!({ "text": token_of(hash, index) });
                Some((Ok(format!("id: {index}\ndata: {data}\n\n").into()), Some(response)))
            }
            Some(Output::Done(usage)) => {
                let data = json!({ "usage": usage });
                Some((Ok(format!("data: {data}\n\ndata: [DONE]\n\n").into()), None))
            }
            Some(Output::Overdue) | None => Some((Err(stream_error()), None)),
        }
    })
    .boxed_local()
}

async fn complete_body(mut response: ActiveResponse, hash: u64) -> io::Result<Bytes> {
    let mut generated_text = String::new();
    loop {
        match response.rx.recv().await {
            Some(Output::Token(index)) => generated_text.push_str(&token_of(hash, index)),
            Some(Output::Done(usage)) => {
                return Ok(json!({ "text": generated_text, "usage": usage }).to_string().into());
            }
            Some(Output::Overdue) | None => return Err(stream_error()),
        }
    }
}

fn send_output(state: &mut State, id: &str, output: Output) {
    let ended = !matches!(output, Output::Token(_));
    if let Some(stream) = state.streams.get(id) {
        // The request of a caller that disconnected is cancelled when its response is dropped.
        let _ = stream.send(output);
    }
    if ended {
        state.streams.swap_remove(id);
    }
}

fn record_load(state: &mut State, now: Time) {
    let load = state.model.load();
    state.loads.push_back((now, load));
    if state.loads.len() > MAX_LOADS {
        state.loads.pop_front();
    }
}

/// Drops all requests and the cache, as a crash does.
fn simulate_crash(state: &mut State) {
    state.crashes += 1;
    let ids: Vec<String> = state.streams.keys().cloned().collect();
    state.streams.clear();
    for id in ids {
        state.model.cancel(&id);
    }
    state.model.clear_cache();
}

fn stream_error() -> io::Error {
    io::Error::new(
        io::ErrorKind::BrokenPipe,
        "the engine ended the request before its response was complete",
    )
}

/// Aborts the connection instead of responding.
fn aborted_response() -> Response<BoxBody> {
    let body = stream::once(async { Err::<Bytes, _>(stream_error()) }).boxed_local();
    Response::build(StatusCode::OK).body(BodyStream::new(body)).map_into_boxed_body()
}

/// Returns a response whose body never has data.
fn hanging_response() -> Response<BoxBody> {
    let body = stream::pending::<io::Result<Bytes>>();
    let mut builder = Response::build(StatusCode::OK);
    builder.insert_header((header::CONTENT_TYPE, "text/event-stream"));
    builder.body(BodyStream::new(body)).map_into_boxed_body()
}

fn misframed_response() -> Response<BoxBody> {
    let mut builder = Response::build(StatusCode::OK);
    builder.insert_header((header::CONTENT_TYPE, "text/event-stream"));
    builder.body("data: {\"text\": \nid: x\n\ndata: [DO").map_into_boxed_body()
}

fn busy_response() -> Response<BoxBody> {
    let mut builder = Response::build(StatusCode::TOO_MANY_REQUESTS);
    builder.insert_header((header::RETRY_AFTER, "1"));
    builder.body("too many requests wait").map_into_boxed_body()
}

fn not_run_response() -> Response<BoxBody> {
    let mut builder = Response::build(StatusCode::SERVICE_UNAVAILABLE);
    builder.insert_header((http::NOT_RUN_HEADER, "true"));
    builder.body("the host is leaving").map_into_boxed_body()
}
