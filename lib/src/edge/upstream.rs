//! Sends requests to upstreams and passes their responses to the [`TrafficDriver`].

use std::{net::SocketAddr, rc::Rc, time::Duration};

use awc::{
    Client,
    error::{ConnectError, SendRequestError},
    http::{Method, header::HeaderMap},
};
use futures_util::StreamExt as _;
use serde_json::json;

use crate::{
    edge::{
        caller::{forwarded_headers, header_text},
        driver::TrafficDriver,
    },
    node::traffic::{Dispatch, Event},
    placement::load::LoadReport,
    request::exchange::{Head, StreamEnd},
};

/// Timeout for the response of an engine to a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for the export of a KV cache, and again for its import.
const KV_TIMEOUT: Duration = Duration::from_secs(5);
/// Limit on the size of a KV cache that is moved, in bytes.
const MAX_KV_BYTES: usize = 64 << 20;

/// Runs one attempt to its end. The task is aborted if the attempt is closed before that.
pub async fn run(driver: Rc<TrafficDriver>, client: Client, dispatch: Box<Dispatch>) {
    let attempt = dispatch.attempt;
    let end = match send(&driver, &client, &dispatch).await {
        Ok(()) => StreamEnd::Eof,
        Err(end) => end,
    };
    driver.remove_attempt(attempt);
    driver.dispatch_event(Event::AttemptEnded(attempt, end));
}

/// Reads the load that an upstream reports in the headers of its response.
fn read_load(headers: &HeaderMap) -> Option<LoadReport> {
    let number = |name| header_text(headers, name)?.parse::<u32>().ok();
    Some(LoadReport {
        running: number("x-load-running")?,
        waiting: number("x-load-waiting")?,
        age: Duration::from_millis(number("x-load-age-ms").unwrap_or(0).into()),
    })
}

async fn send(
    driver: &Rc<TrafficDriver>,
    client: &Client,
    dispatch: &Dispatch,
) -> Result<(), StreamEnd> {
    let url = format!("http://{}{}", dispatch.address, dispatch.path);
    let method = Method::from_bytes(dispatch.method.as_bytes())
        .map_err(|error| StreamEnd::Unreachable(error.to_string().into()))?;
    let mut req = client.request(method, url);
    for (name, value) in dispatch.headers.iter() {
        req = req.append_header((&**name, &**value));
    }
    req = req
        .insert_header(("x-request-id", &*dispatch.name))
        .insert_header(("x-deadline-ms", dispatch.time_left.as_millis().to_string()));
    // The body of a completion, for which `paced_by` is never set, is JSON written by the daemon.
    if dispatch.paced_by.is_none() {
        req = req.insert_header(("content-type", "application/json"));
    }
    let mut res =
        req.send_body(dispatch.body.clone()).await.map_err(|error| classify_send_error(&error))?;
    let headers = res.headers();
    let is_event_stream = header_text(headers, "content-type")
        .is_some_and(|kind| kind.starts_with("text/event-stream"));
    let head = Head {
        status: res.status().as_u16(),
        headers: forwarded_headers(headers),
        is_event_stream,
        says_not_run: header_text(headers, "x-not-run") == Some("true"),
        retry_after: header_text(headers, "retry-after")
            .and_then(|seconds| seconds.parse().ok())
            .map(Duration::from_secs),
        load: read_load(headers),
    };
    driver.dispatch_event(Event::AttemptHead(dispatch.attempt, Box::new(head)));
    while let Some(chunk) = res.next().await {
        let chunk = chunk.map_err(|error| StreamEnd::ConnectionLost(error.to_string().into()))?;
        driver.dispatch_event(Event::AttemptChunk(dispatch.attempt, chunk));
        if let Some(caller) = dispatch.paced_by {
            driver.wait_for_room(caller).await;
        }
    }
    Ok(())
}

/// Classifies a failed send by whether any byte of the request can have reached the upstream.
///
/// awc reports a connection that ended before a response as a failure to connect, although the
/// request was sent by then.
fn classify_send_error(error: &SendRequestError) -> StreamEnd {
    let detail = error.to_string().into();
    match error {
        SendRequestError::Connect(ConnectError::Disconnected | ConnectError::H2(_)) => {
            StreamEnd::ConnectionLost(detail)
        }
        SendRequestError::Connect(_) | SendRequestError::Url(_) => StreamEnd::Unreachable(detail),
        _ => StreamEnd::ConnectionLost(detail),
    }
}

/// Cancels an attempt at an engine, since no caller waits for its response.
pub async fn cancel(client: Client, address: SocketAddr, name: Box<str>) {
    let url = format!("http://{address}/v1/requests/{name}");
    // The closed connection cancels the attempt too, so a lost cancellation is harmless.
    let _ = client.delete(url).timeout(CANCEL_TIMEOUT).send().await;
}

/// Copies the KV cache of an attempt from one engine to another. Reports whether it arrived.
pub async fn move_kv(client: &Client, name: &str, from: SocketAddr, to: SocketAddr) -> bool {
    let export = client.post(format!("http://{from}/kv/export")).timeout(KV_TIMEOUT);
    let Ok(mut res) = export.send_json(&json!({ "request": name })).await else { return false };
    if !res.status().is_success() {
        return false;
    }
    let Ok(blob) = res.body().limit(MAX_KV_BYTES).await else { return false };
    let import = client.post(format!("http://{to}/kv/import")).timeout(KV_TIMEOUT);
    match import.send_body(blob).await {
        Ok(res) => res.status().is_success(),
        Err(_) => false,
    }
}
