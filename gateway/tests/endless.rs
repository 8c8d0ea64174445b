//! Upstreams that send bytes without end, in a head or in a body, until the gateway closes the connection.

mod support;

use std::time::{Duration, Instant};

use support::{TestGateway, Upstream, UpstreamAction, get};
use tokio::{io::AsyncWriteExt as _, net::TcpStream};

/// The time within which a request must end although its deadline is later.
const PROMPT: Duration = Duration::from_secs(2);
/// Bytes that an upstream may get rid of: what the gateway buffers, and the buffers of two sockets.
const MAX_BYTES: usize = 16 << 20;

const HEAD: &str = "HTTP/1.1 200 OK\r\nX-Id: {id}\r\n";

fn chunked(media_type: &str, body: &str) -> String {
    format!("{HEAD}Content-Type: {media_type}\r\nTransfer-Encoding: chunked\r\n\r\n{body}")
}

/// Sends a request to a gateway whose two upstreams send these bytes, and checks that it ends soon,
/// without a complete response and with closed connections.
async fn assert_ends_soon(case: &str, request: &str, action: UpstreamAction) {
    let script = move |_: &support::ReceivedRequest| action.clone();
    let upstreams = [Upstream::start(script.clone()), Upstream::start(script)];
    let mut table = support::table(support::all_routes());
    table.limits.body_bytes = 32 << 20;
    let gateway = TestGateway::with_table(&[&upstreams[0], &upstreams[1]], table).await;
    let began = Instant::now();
    let response = gateway.exchange(request).await;
    let elapsed = began.elapsed();
    assert!(elapsed < PROMPT, "{case}: the request ended after {elapsed:?}");
    let is_complete = response.starts_with("HTTP/1.1 200 ") && response.ends_with("\r\n0\r\n\r\n");
    assert!(!is_complete, "{case}: the response looks complete");
    actix_rt::time::sleep(Duration::from_millis(100)).await;
    let received: usize = upstreams.iter().map(Upstream::count).sum();
    let stopped: usize = upstreams.iter().map(|upstream| upstream.endless_stopped.get()).sum();
    assert!(received > 0 && stopped == received, "{case}: {stopped} of {received} were closed");
    let bytes: usize = upstreams.iter().map(|upstream| upstream.endless_bytes.get()).sum();
    assert!(bytes < MAX_BYTES, "{case}: the gateway took {bytes} bytes");
}

#[actix_rt::test]
async fn response_head_without_end_holds_the_request_until_its_deadline() {
    let cases = [
        ("header line", "HTTP/1.1 200 OK\r\nX-A: ", "a"),
        ("header lines", "HTTP/1.1 200 OK\r\n", "X-A: b\r\n"),
        ("interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"),
        ("interim responses with headers", "", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"),
        ("no HTTP at all", "", "no answer\n"),
        ("empty lines", "", "\r\n"),
    ];
    for (case, first, repeated) in cases {
        for path in ["/look/1", "/book/1", "/render/1", "/build/1"] {
            let action = UpstreamAction::WriteForever(first.into(), repeated.into());
            assert_ends_soon(&format!("{case}, {path}"), &get(path, "a1"), action).await;
        }
    }
}

#[actix_rt::test]
async fn bytes_without_end_before_the_request_is_sent_fill_the_memory() {
    // Longer than the buffers of both sockets, so that the gateway is still writing.
    let body = "b".repeat(24 << 20);
    let request = format!(
        "POST /book/1 HTTP/1.1\r\nHost: example\r\nX-Id: a1\r\nAuthorization: Bearer key\r\n\
         X-Deadline: 4000\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    for (case, repeated) in
        [("no HTTP at all", "no answer\n"), ("interim", "HTTP/1.1 100 Continue\r\n\r\n")]
    {
        let action = UpstreamAction::WriteForeverEarly(String::new(), repeated.into());
        assert_ends_soon(case, &request, action).await;
    }
}

#[actix_rt::test]
async fn response_framing_without_end_holds_the_request_until_its_deadline() {
    for path in ["/look/1", "/book/1", "/render/1", "/build/1"] {
        let is_stream = path.starts_with("/render") || path.starts_with("/build");
        let media_type = if is_stream { "text/event-stream" } else { "text/plain" };
        let body = if is_stream { "a\r\nid: 1\ndata\r\n" } else { "5\r\nhello\r\n" };
        let cases = [
            ("chunk size", chunked(media_type, body), "1"),
            ("chunk extension", chunked(media_type, &format!("{body}5;")), "x"),
            ("trailers", chunked(media_type, &format!("{body}0\r\n")), "X-T: v\r\n"),
        ];
        for (case, first, repeated) in cases {
            let action = UpstreamAction::WriteForever(first, repeated.into());
            assert_ends_soon(&format!("{case}, {path}"), &get(path, "a1"), action).await;
        }
    }
    for path in ["/render/1", "/build/1"] {
        let first = format!("{HEAD}Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ");
        let action = UpstreamAction::WriteForever(first, "a".into());
        assert_ends_soon(&format!("event, {path}"), &get(path, "a1"), action).await;
    }
}

/// Nothing shows that a body without end is no answer, so it is relayed at the pace of its caller,
/// until its deadline, and ends as a truncated response.
#[actix_rt::test]
async fn response_body_without_end_is_relayed_at_the_pace_of_the_caller() {
    let first = format!("{HEAD}\r\n");
    let action = UpstreamAction::WriteForever(first, "a".into());
    let upstream = Upstream::start(move |_| action.clone());
    let gateway = TestGateway::start(&[&upstream]).await;
    let mut caller = TcpStream::connect(gateway.callers).await.unwrap();
    caller.write_all(get("/look/1", "a1").as_bytes()).await.unwrap();
    actix_rt::time::sleep(Duration::from_millis(800)).await;
    let before = upstream.endless_bytes.get();
    actix_rt::time::sleep(Duration::from_millis(400)).await;
    assert_eq!(upstream.endless_bytes.get(), before, "the caller reads nothing");
    assert!(before < MAX_BYTES, "the gateway took {before} bytes");
    drop(caller);
    actix_rt::time::sleep(Duration::from_millis(600)).await;
    assert_eq!(upstream.endless_stopped.get(), 1, "the upstream's connection is closed");
}
