//! Forwarding over real sockets: each side receives exactly the bytes meant for it, or a response
//! that is visibly truncated.

mod support;

use std::{cell::Cell, time::Duration};

use support::{TestGateway, Upstream, UpstreamAction, decode_chunked, events, get, ok};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
};

const LAST_CHUNK: &str = "0\r\n\r\n";

fn write(text: impl Into<String>) -> UpstreamAction {
    UpstreamAction::Write(text.into())
}

#[actix_rt::test]
async fn response_status_and_body_unchanged() {
    let upstream = Upstream::start(|_| {
        write("HTTP/1.1 418 Odd\r\nX-Id: {id}\r\nX-Sign: s1\r\nContent-Length: 3\r\n\r\nabc")
    });
    let response = TestGateway::start(&[&upstream]).await.exchange(&get("/book/1", "a1")).await;
    assert!(response.starts_with("HTTP/1.1 418 "), "{response}");
    assert!(response.contains("X-Sign: s1\r\n") && response.ends_with("\r\n\r\nabc"), "{response}");
}

#[actix_rt::test]
async fn response_to_head_keeps_its_length_and_has_no_body() {
    let upstream =
        Upstream::start(|_| write("HTTP/1.1 200 OK\r\nX-Id: {id}\r\nContent-Length: 1234\r\n\r\n"));
    let gateway = TestGateway::start(&[&upstream]).await;
    for path in ["/look/1", "/render/1", "/build/1"] {
        let request = get(path, "a1").replacen("GET", "HEAD", 1);
        let response = gateway.exchange(&request).await;
        assert!(response.contains("Content-Length: 1234\r\n"), "{path}: {response}");
        assert!(
            response.ends_with("\r\n\r\n") && !response.contains("chunked"),
            "{path}: {response}"
        );
    }
}

#[actix_rt::test]
async fn local_response_to_head_has_no_body() {
    let upstream = Upstream::start(|_| write(ok("x")));
    let gateway = TestGateway::start(&[&upstream]).await;
    let head_request = get("/nowhere/1", "a1").replacen("GET", "HEAD", 1);
    let head_request = head_request.replace("Connection: close\r\n", "");
    let response = gateway.exchange(&(head_request + &get("/look/1", "a2"))).await;
    let (first, rest) = response.split_once("\r\n\r\n").unwrap();
    assert!(first.starts_with("HTTP/1.1 404 "), "{response}");
    assert!(rest.starts_with("HTTP/1.1 200 "), "{response}");
}

#[actix_rt::test]
async fn response_without_content_has_no_length() {
    let upstream = Upstream::start(|_| write("HTTP/1.1 204 No Content\r\nX-Id: {id}\r\n\r\n"));
    let response = TestGateway::start(&[&upstream]).await.exchange(&get("/look/1", "a1")).await;
    assert!(response.starts_with("HTTP/1.1 204 "), "{response}");
    assert!(!response.contains("Content-Length"), "{response}");
}

#[actix_rt::test]
async fn request_headers_are_set_and_stripped() {
    let upstream = Upstream::start(|_| write(ok("x")));
    let request = "POST /book/1?q=2 HTTP/1.1\r\nHost: example\r\nX-Id: a1\r\nX-Deadline: 4000\r\n\
        Authorization: Bearer key\r\nX-Customer: eve\r\nX-Pin: 9\r\nX-Expected: other\r\n\
        X-Hop: 1\r\nConnection: close, X-Hop\r\nContent-Length: 2\r\n\r\nhi";
    TestGateway::start(&[&upstream]).await.exchange(request).await;
    let received = upstream.received.borrow()[0].clone();
    let headers = &received.head.headers;
    assert_eq!(&*received.head.target, b"/book/1?q=2");
    assert_eq!(&*received.body, b"hi");
    assert_eq!(headers.text("X-Customer"), Some("ada"));
    assert_eq!(headers.text("X-Expected"), Some("u0"));
    let deadline_ms: u64 = headers.text("X-Deadline").unwrap().parse().unwrap();
    assert!((1..=4000).contains(&deadline_ms));
    for stripped in ["Authorization", "X-Pin", "X-Hop", "Connection"] {
        assert!(headers.get(stripped).is_none(), "{stripped}");
    }
}

#[actix_rt::test]
async fn at_most_once_broken_connection_is_never_a_refusal() {
    let upstream = Upstream::start(|_| UpstreamAction::Close);
    let other = Upstream::start(|_| write(ok("x")));
    // Which upstream is selected first is not fixed, so several requests cover both orders.
    let gateway = TestGateway::start(&[&upstream, &other]).await;
    let mut lost = 0;
    for id in ["a1", "a2", "a3", "a4"] {
        let before = (upstream.count(), other.count());
        let response = gateway.exchange(&get("/book/1", id)).await;
        let sent = upstream.count() - before.0 + other.count() - before.1;
        assert_eq!(sent, 1, "each request is sent once");
        if upstream.count() > before.0 {
            lost += 1;
            assert!(response.starts_with("HTTP/1.1 502 "), "{response}");
        }
    }
    assert!(lost > 0);
}

#[actix_rt::test]
async fn at_most_once_upstream_refusal_is_a_refusal() {
    let upstream =
        Upstream::start(|_| write("HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"));
    let response = TestGateway::start(&[&upstream]).await.exchange(&get("/book/1", "a1")).await;
    assert!(
        response.starts_with("HTTP/1.1 503 ") && response.contains("Retry-After: "),
        "{response}"
    );
}

#[actix_rt::test]
async fn idempotent_failure_is_retried_elsewhere() {
    let calls = Cell::new(0);
    let upstream = Upstream::start(move |_| {
        calls.set(calls.get() + 1);
        match calls.get() {
            1 => write("HTTP/1.1 500 No\r\nX-Id: {id}\r\nContent-Length: 0\r\n\r\n"),
            _ => write(ok("late")),
        }
    });
    let second = Upstream::start(|_| write(ok("fine")));
    let gateway = TestGateway::start(&[&upstream, &second]).await;
    for id in ["a1", "a2"] {
        let response = gateway.exchange(&get("/look/1", id)).await;
        assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
    }
}

#[actix_rt::test]
async fn idempotent_failure_is_delivered_without_another_upstream() {
    let upstream = Upstream::start(|_| {
        write("HTTP/1.1 500 No\r\nX-Id: {id}\r\nX-Sign: s\r\nContent-Length: 2\r\n\r\nno")
    });
    let response = TestGateway::start(&[&upstream]).await.exchange(&get("/look/1", "a1")).await;
    assert!(response.starts_with("HTTP/1.1 500 ") && response.contains("X-Sign: s"), "{response}");
    assert!(response.ends_with("\r\n\r\nno"), "{response}");
}

#[actix_rt::test]
async fn connection_extra_response_is_discarded() {
    let upstream = Upstream::start(|_| write(ok("mine") + &ok("extra")));
    let gateway = TestGateway::start(&[&upstream]).await;
    for id in ["a1", "a2", "a3"] {
        let response = gateway.exchange(&get("/book/1", id)).await;
        assert!(response.ends_with("\r\n\r\nmine"), "{response}");
    }
}

#[actix_rt::test]
async fn connection_late_response_to_another_request_is_skipped() {
    let upstream = Upstream::start(|received| {
        let foreign = "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 5\r\n\r\nother";
        match received.head.headers.text("X-Id") {
            Some("a2") => write(foreign.to_owned() + &ok("mine")),
            _ => write(ok("mine")),
        }
    });
    let gateway = TestGateway::start(&[&upstream]).await;
    for id in ["a1", "a2", "a3"] {
        let response = gateway.exchange(&get("/book/1", id)).await;
        assert!(response.ends_with("\r\n\r\nmine"), "{response}");
    }
    let connections: Vec<_> =
        upstream.received.borrow().iter().map(|received| received.connection).collect();
    assert_eq!(connections, [1, 1, 2], "the connection with a foreign response is not reused");
}

#[actix_rt::test]
async fn connection_is_not_reused_after_an_early_response() {
    let upstream = Upstream::start(|received| match received.head.headers.text("X-Id") {
        Some("a1") => UpstreamAction::RespondEarly(
            "HTTP/1.1 413 Long\r\nX-Id: {id}\r\nContent-Length: 0\r\n\r\n".into(),
        ),
        _ => write(ok("x")),
    });
    let mut table = support::table(support::all_routes());
    table.limits.body_bytes = 32 << 20;
    let gateway = TestGateway::with_table(&[&upstream], table).await;
    // More than the system buffers for an upstream that does not read.
    let body = "b".repeat(24 << 20);
    let request = format!(
        "POST /book/1 HTTP/1.1\r\nHost: example\r\nX-Id: a1\r\nAuthorization: Bearer key\r\n\
         Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let response = gateway.exchange(&request).await;
    assert!(response.starts_with("HTTP/1.1 413 "), "{response}");
    let response = gateway.exchange(&get("/book/1", "a2")).await;
    assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
    let connections: Vec<_> =
        upstream.received.borrow().iter().map(|received| received.connection).collect();
    assert_eq!(connections, [1, 2]);
}

#[actix_rt::test]
async fn unframed_response_that_ends_with_its_connection_is_complete() {
    let upstream = Upstream::start(|_| {
        UpstreamAction::WriteAndClose("HTTP/1.1 200 OK\r\nX-Id: {id}\r\n\r\nwhole".into())
    });
    let response = TestGateway::start(&[&upstream]).await.exchange(&get("/book/1", "a1")).await;
    assert!(
        response.contains("Content-Length: 5\r\n") && response.ends_with("whole"),
        "{response}"
    );
}

#[actix_rt::test]
async fn long_response_of_unknown_length_is_relayed_as_it_arrives() {
    let chunk = "c".repeat(50_000);
    let body = format!("c350\r\n{chunk}\r\n").repeat(20) + LAST_CHUNK;
    let head = "HTTP/1.1 200 OK\r\nX-Id: {id}\r\nTransfer-Encoding: chunked\r\n\r\n";
    let response = head.to_owned() + &body;
    let upstream = Upstream::start(move |_| write(response.clone()));
    let response = TestGateway::start(&[&upstream]).await.exchange(&get("/book/1", "a1")).await;
    let (body, is_complete) = decode_chunked(&response);
    assert_eq!((body.len(), is_complete), (20 * 50_000, true));
}

#[actix_rt::test]
async fn bodies_beyond_the_memory_limit_are_refused_at_once() {
    let upstream = Upstream::start(|_| write(ok("x")));
    let mut table = support::table(support::all_routes());
    table.limits.body_bytes = 256 << 20;
    let gateway = TestGateway::with_table(&[&upstream], table).await;
    let request = "POST /book/1 HTTP/1.1\r\nHost: example\r\nX-Id: a1\r\n\
        Authorization: Bearer key\r\nContent-Length: 200000000\r\n\r\n";
    let response = gateway.exchange(request).await;
    assert!(
        response.starts_with("HTTP/1.1 503 ") && response.contains("Retry-After"),
        "{response}"
    );
    assert!(gateway.exchange(&get("/book/1", "a2")).await.starts_with("HTTP/1.1 200 "));
}

#[actix_rt::test]
async fn truncated_response_never_looks_complete() {
    let upstream = Upstream::start(|_| {
        UpstreamAction::WriteAndClose(
            "HTTP/1.1 200 OK\r\nX-Id: {id}\r\nContent-Length: 9\r\n\r\nshort".into(),
        )
    });
    let response = TestGateway::start(&[&upstream]).await.exchange(&get("/book/1", "a1")).await;
    assert!(response.starts_with("HTTP/1.1 502 "), "{response}");
}

#[actix_rt::test]
async fn stream_resumed_elsewhere_has_each_event_once() {
    let script =
        |received: &support::ReceivedRequest| match received.head.headers.text("X-Last-Event") {
            None => UpstreamAction::WriteAndClose(events(1..=3) + "20\r\nid: 4\ndata: ha"),
            // The second upstream sends an event again that the caller already has.
            Some(last) => {
                let last: u64 = last.parse().unwrap();
                write(events(last..=6) + LAST_CHUNK)
            }
        };
    let (first, second) = (Upstream::start(script), Upstream::start(script));
    let response =
        TestGateway::start(&[&first, &second]).await.exchange(&get("/render/1", "a1")).await;
    let (body, is_complete) = decode_chunked(&response);
    let expected: Vec<_> = (1..=6).map(|id| format!("id: {id}\ndata: e{id}\n\n")).collect();
    assert_eq!((body, is_complete), (expected.concat(), true));
    assert_eq!(first.count() + second.count(), 2);
}

#[actix_rt::test]
async fn stream_not_resumable_is_cut_after_a_complete_event() {
    let script = |_: &support::ReceivedRequest| {
        UpstreamAction::WriteAndClose(events(1..=2) + "20\r\nid: 3\ndata: ha")
    };
    let (first, second) = (Upstream::start(script), Upstream::start(script));
    let response =
        TestGateway::start(&[&first, &second]).await.exchange(&get("/build/1", "a1")).await;
    let (body, is_complete) = decode_chunked(&response);
    assert_eq!((&*body, is_complete), ("id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n", false));
    assert_eq!(first.count() + second.count(), 1, "a stream that may not be resumed runs once");
}

#[actix_rt::test]
async fn caller_disconnect_ends_the_request_at_its_upstream() {
    let upstream = Upstream::start(|_| UpstreamAction::Hang);
    let gateway = TestGateway::start(&[&upstream]).await;
    let mut stream = TcpStream::connect(gateway.callers).await.unwrap();
    stream.write_all(get("/book/1", "a1").as_bytes()).await.unwrap();
    while upstream.count() == 0 {
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
    drop(stream);
    while *upstream.abandoned.borrow() == 0 {
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(gateway.cx.state.borrow().placement.work(&"u0".parse().unwrap()).requests, 0);
}

#[actix_rt::test]
async fn smuggled_requests_end_in_400_and_reach_no_upstream() {
    let upstream = Upstream::start(|_| write(ok("x")));
    let gateway = TestGateway::start(&[&upstream]).await;
    let head =
        "POST /book/1 HTTP/1.1\r\nHost: example\r\nX-Id: a1\r\nAuthorization: Bearer key\r\n";
    let tail = "\r\n0\r\n\r\nGET /book/2 HTTP/1.1\r\nHost: example\r\n\r\n";
    for framing in [
        "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 4\r\nContent-Length: 5\r\n",
        "Content-Length: +4\r\n",
        "Transfer-Encoding: xchunked\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
        "Host: other\r\n",
    ] {
        let response = gateway.exchange(&format!("{head}{framing}{tail}")).await;
        assert!(response.starts_with("HTTP/1.1 400 "), "{framing}: {response}");
        assert_eq!(response.matches("HTTP/1.1").count(), 1, "{framing}: {response}");
    }
    assert_eq!(upstream.count(), 0);
}

#[actix_rt::test]
async fn request_without_table_is_refused_not_denied() {
    let upstream = Upstream::start(|_| write(ok("x")));
    let gateway = TestGateway::start(&[&upstream]).await;
    gateway.cx.state.borrow_mut().table = None;
    let response = gateway.exchange(&get("/book/1", "a1")).await;
    assert!(
        response.starts_with("HTTP/1.1 503 ") && response.contains("Retry-After"),
        "{response}"
    );
}

#[actix_rt::test]
async fn request_unknown_route_or_key_is_denied() {
    let upstream = Upstream::start(|_| write(ok("x")));
    let gateway = TestGateway::start(&[&upstream]).await;
    assert!(gateway.exchange(&get("/other/1", "a1")).await.starts_with("HTTP/1.1 404 "));
    let wrong = get("/book/1", "a1").replace("Bearer key", "Bearer wrong");
    assert!(gateway.exchange(&wrong).await.starts_with("HTTP/1.1 401 "));
    assert_eq!(upstream.count(), 0);
}

#[actix_rt::test]
async fn drain_late_request_is_refused_and_idle_connection_closed() {
    let upstream = Upstream::start(|_| write(ok("x")));
    let gateway = TestGateway::start(&[&upstream]).await;
    let mut idle = TcpStream::connect(gateway.callers).await.unwrap();
    actix_rt::time::sleep(Duration::from_millis(50)).await;
    // The process ends before a request with a deadline of 4 s could be completed.
    let ends = gateway.cx.now() + Duration::from_millis(3500);
    gateway.cx.drain(ends);
    assert!(gateway.exchange(&get("/book/1", "a1")).await.starts_with("HTTP/1.1 200 "));
    actix_rt::time::sleep(Duration::from_millis(2900)).await;
    let response = gateway.exchange(&get("/book/1", "a2")).await;
    assert!(
        response.starts_with("HTTP/1.1 503 ") && response.contains("Retry-After"),
        "{response}"
    );
    gateway.cx.close_idle();
    let mut rest = String::new();
    idle.read_to_string(&mut rest).await.unwrap();
    assert_eq!(rest, "");
    assert_eq!(upstream.count(), 1);
}

#[actix_rt::test]
async fn caller_disconnect_discards_unsent_bytes_for_the_upstream() {
    const BODY: usize = 3 << 20;
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let stalled_address = listener.local_addr().unwrap();
    let (disconnect, disconnected) = tokio::sync::oneshot::channel::<()>();
    let upstream_task = actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        // Nothing is read until the caller has disconnected.
        disconnected.await.unwrap();
        actix_rt::time::sleep(Duration::from_millis(300)).await;
        let mut bytes = Vec::new();
        let read_result = stream.read_to_end(&mut bytes).await;
        (bytes.len(), read_result.is_ok())
    });
    let gateway = TestGateway::start(&[]).await;
    gateway.cx.state.borrow_mut().directory.set(support::record(0, stalled_address));
    let mut caller = TcpStream::connect(gateway.callers).await.unwrap();
    let head = get("/look/1", "a1").replace("Connection: close\r\n", "");
    let head = head.replacen("GET", "POST", 1).replacen(
        "Host:",
        &format!("Content-Length: {BODY}\r\nHost:"),
        1,
    );
    caller.write_all(head.as_bytes()).await.unwrap();
    caller.write_all(&vec![b'x'; BODY]).await.unwrap();
    actix_rt::time::sleep(Duration::from_millis(200)).await;
    drop(caller);
    disconnect.send(()).unwrap();
    let (bytes, is_complete) = upstream_task.await.unwrap();
    assert!(!is_complete && bytes < BODY, "{bytes} bytes, ended regularly: {is_complete}");
}

/// Guards against an earlier refusal, written once more on a kept connection, that is taken for the answer to
/// the next request: requests that ran were refused as not run, and others ran twice.
#[actix_rt::test]
async fn connection_repeated_refusal_is_taken_for_the_answer_to_the_next_request() {
    let refusals = [
        // Without an ID nothing shows which request a refusal belongs to.
        "HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 503 No\r\nX-Id: earlier\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
    ];
    for (refusal, path) in
        refusals.iter().flat_map(|refusal| [(refusal, "/book/1"), (refusal, "/build/1")])
    {
        let scripts = [*refusal; 2].map(|refusal| {
            Upstream::start(move |req| match req.head.headers.text("X-Id") {
                Some("a2") => write(format!("{refusal}{}", ok("ran"))),
                _ => write(ok("ran")),
            })
        });
        let [upstream, other] = &scripts;
        let gateway = TestGateway::start(&[upstream, other]).await;
        // Each upstream has a kept connection.
        for number in 0..20 {
            gateway.exchange(&get("/look/1", &format!("w{number}"))).await;
        }
        let before = upstream.count() + other.count();
        let response = gateway.exchange(&get(path, "a2")).await;
        let received: Vec<_> =
            upstream.received.borrow().iter().chain(&*other.received.borrow()).cloned().collect();
        let kept = received.iter().filter(|req| req.head.headers.text("X-Id") == Some("a2"));
        assert_eq!(kept.count(), 1, "{path} with {refusal} ran more than once");
        assert_eq!(upstream.count() + other.count(), before + 1);
        let promises = ["408", "421", "429", "503"].map(|status| format!("HTTP/1.1 {status} "));
        assert!(
            !promises.iter().any(|p| response.starts_with(p)),
            "{path} with {refusal}: {response}"
        );
    }
}
