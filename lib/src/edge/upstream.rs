//! Sends requests to upstreams and passes their responses to the [`TrafficDriver`].

use std::{
    io,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use serde_json::json;
use tokio::time::timeout;

use crate::{
    edge::{
        caller::is_forwarded_header,
        client::{Client, ClientRequest, SendError},
        driver::TrafficDriver,
        upstream_links::Target,
    },
    http::{
        connection::Connection,
        head::{Headers, ResponseHead},
    },
    limit::memory::MemoryBudget,
    node::traffic::{Dispatch, Event},
    placement::load::LoadReport,
    request::exchange::{Head, Header, StreamEnd},
};

/// Timeout for the response of an engine to a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for the export of a KV cache, and again for its import.
const KV_TIMEOUT: Duration = Duration::from_secs(5);
/// Limit on the memory of the KV caches that one traffic thread moves at a time, in bytes, including copies.
pub const MAX_KV_BYTES: usize = 48 << 20;
/// A cache grows in a buffer of up to twice its length, and is copied once for the engine that receives it.
pub const KV_COPIES: usize = 3;
/// The longest time for which an upstream may say that it still serves before it leaves.
const MAX_LEAVING_TIME: Duration = Duration::from_hours(1);
/// Limit on the size of a response that is read only for its connection, in bytes.
const MAX_IGNORED_BYTES: usize = 64 << 10;

/// Runs one attempt to its end. The task is aborted if the attempt is closed before that.
pub async fn run(driver: Rc<TrafficDriver>, client: Rc<Client>, dispatch: Box<Dispatch>) {
    let attempt = dispatch.attempt;
    let expires_at = Instant::now() + dispatch.time_left;
    let end = match send(&driver, &client, &dispatch, expires_at).await {
        Ok(()) => StreamEnd::Eof,
        Err(end) => end,
    };
    driver.remove_attempt(attempt);
    driver.dispatch_event(Event::AttemptEnded(attempt, end));
}

async fn send(
    driver: &Rc<TrafficDriver>,
    client: &Rc<Client>,
    dispatch: &Dispatch,
    expires_at: Instant,
) -> Result<(), StreamEnd> {
    let connection = connect(driver, client, dispatch).await?;
    // A connection may take longer than the time left, in particular through other daemons.
    let time_left = expires_at.saturating_duration_since(Instant::now());
    if time_left.is_zero() {
        return Err(StreamEnd::Unreachable("no connection before the deadline".into()));
    }
    // The body of a completion, for which `paced_by` is never set, is JSON written by the daemon.
    let is_json = dispatch.paced_by.is_none();
    let mut req = ClientRequest::new(&dispatch.method, dispatch.address, &dispatch.path);
    for (name, value) in dispatch.headers.iter() {
        if !(is_json && &**name == "content-type") {
            req = req.header(name, value);
        }
    }
    req = req
        .header("x-request-id", dispatch.name.as_bytes())
        .header("x-deadline-ms", time_left.as_millis().to_string().as_bytes());
    if is_json {
        req = req.header("content-type", b"application/json");
    }
    let is_reused = connection.reused;
    let sent = client.send_on(connection, dispatch.address, &req.body(&dispatch.body)).await;
    let mut res = sent.map_err(|error| StreamEnd::ConnectionLost(error.to_string().into()))?;
    let head = read_head(&res.head);
    let named = res.head.headers.text("x-request-id");
    // A refusal that names no request may be an earlier one that was written once more.
    if named.map_or(is_reused && head.says_not_run, |named| named != &*dispatch.name) {
        log::warn!(event = "foreign-answer", request:% = dispatch.name, upstream:% = dispatch.upstream, echoed = named.unwrap_or("-"); "the response is not taken for that of the request");
        let detail = "the upstream answered another request";
        return Err(StreamEnd::ConnectionLost(detail.into()));
    }
    driver.dispatch_event(Event::AttemptHead(dispatch.attempt, Box::new(head)));
    let lost = |error: io::Error| {
        StreamEnd::ConnectionLost(format!("the response was truncated: {error}").into())
    };
    while let Some(chunk) = res.next_chunk().await.map_err(lost)? {
        driver.dispatch_event(Event::AttemptChunk(dispatch.attempt, chunk));
        if let Some(caller) = dispatch.paced_by {
            driver.wait_for_room(caller).await;
        }
    }
    Ok(())
}

async fn connect(
    driver: &Rc<TrafficDriver>,
    client: &Rc<Client>,
    dispatch: &Dispatch,
) -> Result<Connection, StreamEnd> {
    let Dispatch { service, upstream, address, .. } = dispatch;
    let is_usable = |connection: &Connection| driver.links.is_current(service, connection);
    if let Some(connection) = client.acquire_idle(*address, is_usable) {
        return Ok(connection);
    }
    let target = Target { service: service.clone(), upstream: upstream.clone(), address: *address };
    driver.links.open(&target).await.map_err(|error| {
        let detail = SendError::Unreachable(*address, error).to_string().into();
        if driver.links.is_isolated(service) {
            StreamEnd::Isolated(detail)
        } else {
            StreamEnd::Unreachable(detail)
        }
    })
}

fn read_head(head: &ResponseHead) -> Head {
    let headers = &head.headers;
    let is_event_stream =
        headers.text("content-type").is_some_and(|kind| kind.starts_with("text/event-stream"));
    Head {
        status: head.status,
        headers: forwarded_headers(headers),
        is_event_stream,
        says_not_run: headers.text("x-not-run") == Some("true"),
        retry_after: headers
            .text("retry-after")
            .and_then(|seconds| seconds.parse().ok())
            .map(Duration::from_secs),
        load: read_load(headers),
        rate_limit: headers.text("x-rate-limit").and_then(|text| text.parse().ok()),
        leaves_in: read_leaving_time(headers),
    }
}

/// Reads how long an upstream still serves, if it says that it leaves.
fn read_leaving_time(headers: &Headers) -> Option<Duration> {
    let text = headers.text("x-leaving-ms")?;
    let Ok(ms) = text.parse() else {
        log::warn!(event = "malformed-leaving", value = text; "what an upstream says about its leaving is ignored");
        return None;
    };
    Some(Duration::from_millis(ms).min(MAX_LEAVING_TIME))
}

fn forwarded_headers(headers: &Headers) -> Vec<Header> {
    let lines = headers.end_to_end().filter_map(|(name, value)| {
        let name = std::str::from_utf8(name).ok()?.to_ascii_lowercase();
        is_forwarded_header(&name).then(|| (name.into(), value.clone()))
    });
    lines.collect()
}

/// Reads the load that an upstream reports in the headers of its response.
fn read_load(headers: &Headers) -> Option<LoadReport> {
    let number = |name| headers.text(name)?.parse::<u32>().ok();
    Some(LoadReport {
        running: number("x-load-running")?,
        waiting: number("x-load-waiting")?,
        age: Duration::from_millis(number("x-load-age-ms").unwrap_or(0).into()),
    })
}

/// Cancels an attempt at an engine, since no caller waits for its response.
pub async fn cancel(client: Rc<Client>, address: SocketAddr, name: Box<str>) {
    let req = ClientRequest::new("DELETE", address, &format!("/v1/requests/{name}")).body(b"");
    // The closed connection cancels the attempt too, so a lost cancellation is harmless.
    let _ = timeout(CANCEL_TIMEOUT, call(&client, address, &req, MAX_IGNORED_BYTES)).await;
}

/// Copies the KV cache of an attempt from one engine to another, within a budget that all moves share. Reports
/// whether it arrived.
pub async fn move_kv(
    client: &Rc<Client>,
    memory: &Arc<MemoryBudget>,
    name: &str,
    from: SocketAddr,
    to: SocketAddr,
) -> bool {
    let post = |address, path: &str, body: &[u8]| {
        ClientRequest::new("POST", address, path)
            .header("content-type", b"application/json")
            .body(body)
    };
    let export = post(from, "/kv/export", json!({ "request": name }).to_string().as_bytes());
    let reservation = memory.begin();
    let export = async {
        let mut res = client.send(from, &export).await.map_err(io::Error::other)?;
        let mut blob = BytesMut::new();
        while let Some(chunk) = res.next_chunk().await? {
            if !reservation.cover(blob.len() + chunk.len()) {
                return Err(io::Error::other("no memory is left for a KV cache"));
            }
            blob.extend_from_slice(&chunk);
        }
        Ok((res.head.status, blob))
    };
    let Ok(Ok((200..300, blob))) = timeout(KV_TIMEOUT, export).await else { return false };
    let import = post(to, "/kv/import", &blob);
    let import = timeout(KV_TIMEOUT, call(client, to, &import, MAX_IGNORED_BYTES)).await;
    matches!(import, Ok(Ok((200..300, _))))
}

/// Sends a request and returns the status and the complete body of its response.
async fn call(
    client: &Rc<Client>,
    address: SocketAddr,
    req: &ClientRequest,
    max_bytes: usize,
) -> io::Result<(u16, Bytes)> {
    let res = client.send(address, req).await.map_err(io::Error::other)?;
    let status = res.head.status;
    Ok((status, res.read_body(max_bytes).await?))
}
