//! Forwarding over real sockets: what reaches either side is exactly its own, or visibly cut.

mod support;

use std::{cell::Cell, time::Duration};

use support::{Reaction, Upstream, World, events, get, ok, unchunked};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
};

const LAST_CHUNK: &str = "0\r\n\r\n";

fn write(text: impl Into<String>) -> Reaction {
    Reaction::Write(text.into())
}

#[actix_rt::test]
async fn answer_status_and_body_unchanged() {
    let upstream = Upstream::start(|_| {
        write("HTTP/1.1 418 Odd\r\nX-Id: {id}\r\nX-Sign: s1\r\nContent-Length: 3\r\n\r\nabc")
    });
    let answer = World::start(&[&upstream]).await.exchange(&get("/book/1", "a1")).await;
    assert!(answer.starts_with("HTTP/1.1 418 "), "{answer}");
    assert!(answer.contains("X-Sign: s1\r\n") && answer.ends_with("\r\n\r\nabc"), "{answer}");
}

#[actix_rt::test]
async fn answer_to_head_keeps_its_length_and_has_no_body() {
    let upstream =
        Upstream::start(|_| write("HTTP/1.1 200 OK\r\nX-Id: {id}\r\nContent-Length: 1234\r\n\r\n"));
    let world = World::start(&[&upstream]).await;
    for path in ["/look/1", "/render/1", "/build/1"] {
        let request = get(path, "a1").replacen("GET", "HEAD", 1);
        let answer = world.exchange(&request).await;
        assert!(answer.contains("Content-Length: 1234\r\n"), "{path}: {answer}");
        assert!(answer.ends_with("\r\n\r\n") && !answer.contains("chunked"), "{path}: {answer}");
    }
}

#[actix_rt::test]
async fn own_answer_to_head_has_no_body_either() {
    let upstream = Upstream::start(|_| write(ok("x")));
    let world = World::start(&[&upstream]).await;
    let asked = get("/nowhere/1", "a1").replacen("GET", "HEAD", 1);
    let asked = asked.replace("Connection: close\r\n", "");
    let answer = world.exchange(&(asked + &get("/look/1", "a2"))).await;
    let (first, rest) = answer.split_once("\r\n\r\n").unwrap();
    assert!(first.starts_with("HTTP/1.1 404 "), "{answer}");
    assert!(rest.starts_with("HTTP/1.1 200 "), "{answer}");
}

#[actix_rt::test]
async fn answer_without_content_has_no_length() {
    let upstream = Upstream::start(|_| write("HTTP/1.1 204 No Content\r\nX-Id: {id}\r\n\r\n"));
    let answer = World::start(&[&upstream]).await.exchange(&get("/look/1", "a1")).await;
    assert!(answer.starts_with("HTTP/1.1 204 "), "{answer}");
    assert!(!answer.contains("Content-Length"), "{answer}");
}

#[actix_rt::test]
async fn request_headers_are_set_and_stripped() {
    let upstream = Upstream::start(|_| write(ok("x")));
    let request = "POST /book/1?q=2 HTTP/1.1\r\nHost: example\r\nX-Id: a1\r\nX-Deadline: 4000\r\n\
        Authorization: Bearer key\r\nX-Customer: eve\r\nX-Pin: 9\r\nX-Expected: other\r\n\
        X-Hop: 1\r\nConnection: close, X-Hop\r\nContent-Length: 2\r\n\r\nhi";
    World::start(&[&upstream]).await.exchange(request).await;
    let seen = upstream.seen.borrow()[0].clone();
    let headers = &seen.head.headers;
    assert_eq!(&*seen.head.target, b"/book/1?q=2");
    assert_eq!(&*seen.body, b"hi");
    assert_eq!(headers.text("X-Customer"), Some("ada"));
    assert_eq!(headers.text("X-Expected"), Some("u0"));
    let left: u64 = headers.text("X-Deadline").unwrap().parse().unwrap();
    assert!((1..=4000).contains(&left));
    for stripped in ["Authorization", "X-Pin", "X-Hop", "Connection"] {
        assert!(headers.get(stripped).is_none(), "{stripped}");
    }
}

#[actix_rt::test]
async fn at_most_once_broken_connection_is_never_a_refusal() {
    let upstream = Upstream::start(|_| Reaction::Close);
    let other = Upstream::start(|_| write(ok("x")));
    // The least loaded of the two is not known, so both orders are tried.
    let world = World::start(&[&upstream, &other]).await;
    let mut lost = 0;
    for id in ["a1", "a2", "a3", "a4"] {
        let before = (upstream.count(), other.count());
        let answer = world.exchange(&get("/book/1", id)).await;
        let sent = upstream.count() - before.0 + other.count() - before.1;
        assert_eq!(sent, 1, "one send for each request");
        if upstream.count() > before.0 {
            lost += 1;
            assert!(answer.starts_with("HTTP/1.1 502 "), "{answer}");
        }
    }
    assert!(lost > 0);
}

#[actix_rt::test]
async fn at_most_once_upstream_refusal_is_a_refusal() {
    let upstream =
        Upstream::start(|_| write("HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"));
    let answer = World::start(&[&upstream]).await.exchange(&get("/book/1", "a1")).await;
    assert!(answer.starts_with("HTTP/1.1 503 ") && answer.contains("Retry-After: "), "{answer}");
}

#[actix_rt::test]
async fn idempotent_failure_is_asked_for_elsewhere() {
    let calls = Cell::new(0);
    let upstream = Upstream::start(move |_| {
        calls.set(calls.get() + 1);
        match calls.get() {
            1 => write("HTTP/1.1 500 No\r\nX-Id: {id}\r\nContent-Length: 0\r\n\r\n"),
            _ => write(ok("late")),
        }
    });
    let second = Upstream::start(|_| write(ok("fine")));
    let world = World::start(&[&upstream, &second]).await;
    for id in ["a1", "a2"] {
        let answer = world.exchange(&get("/look/1", id)).await;
        assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    }
}

#[actix_rt::test]
async fn idempotent_failure_is_delivered_when_nobody_else_is_there() {
    let upstream = Upstream::start(|_| {
        write("HTTP/1.1 500 No\r\nX-Id: {id}\r\nX-Sign: s\r\nContent-Length: 2\r\n\r\nno")
    });
    let answer = World::start(&[&upstream]).await.exchange(&get("/look/1", "a1")).await;
    assert!(answer.starts_with("HTTP/1.1 500 ") && answer.contains("X-Sign: s"), "{answer}");
    assert!(answer.ends_with("\r\n\r\nno"), "{answer}");
}

#[actix_rt::test]
async fn connection_extra_answer_reaches_nobody() {
    let upstream = Upstream::start(|_| write(ok("mine") + &ok("extra")));
    let world = World::start(&[&upstream]).await;
    for id in ["a1", "a2", "a3"] {
        let answer = world.exchange(&get("/book/1", id)).await;
        assert!(answer.ends_with("\r\n\r\nmine"), "{answer}");
    }
}

#[actix_rt::test]
async fn connection_late_answer_to_another_request_is_passed_over() {
    let upstream = Upstream::start(|seen| {
        let foreign = "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 5\r\n\r\nother";
        match seen.head.headers.text("X-Id") {
            Some("a2") => write(foreign.to_owned() + &ok("mine")),
            _ => write(ok("mine")),
        }
    });
    let world = World::start(&[&upstream]).await;
    for id in ["a1", "a2", "a3"] {
        let answer = world.exchange(&get("/book/1", id)).await;
        assert!(answer.ends_with("\r\n\r\nmine"), "{answer}");
    }
    let connections: Vec<_> = upstream.seen.borrow().iter().map(|seen| seen.connection).collect();
    assert_eq!(connections, [1, 1, 2], "the spoiled connection is not used again");
}

#[actix_rt::test]
async fn connection_is_not_used_again_after_an_early_answer() {
    let upstream = Upstream::start(|seen| match seen.head.headers.text("X-Id") {
        Some("a1") => Reaction::AnswerEarly(
            "HTTP/1.1 413 Long\r\nX-Id: {id}\r\nContent-Length: 0\r\n\r\n".into(),
        ),
        _ => write(ok("x")),
    });
    let mut table = support::table(support::all_routes());
    table.limits.body_bytes = 32 << 20;
    let world = World::with_table(&[&upstream], table).await;
    // More than the system takes for an upstream that does not read.
    let body = "b".repeat(24 << 20);
    let request = format!(
        "POST /book/1 HTTP/1.1\r\nHost: example\r\nX-Id: a1\r\nAuthorization: Bearer key\r\n\
         Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let answer = world.exchange(&request).await;
    assert!(answer.starts_with("HTTP/1.1 413 "), "{answer}");
    let answer = world.exchange(&get("/book/1", "a2")).await;
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    let connections: Vec<_> = upstream.seen.borrow().iter().map(|seen| seen.connection).collect();
    assert_eq!(connections, [1, 2]);
}

#[actix_rt::test]
async fn unframed_answer_that_ends_with_its_connection_is_whole() {
    let upstream = Upstream::start(|_| {
        Reaction::WriteAndClose("HTTP/1.1 200 OK\r\nX-Id: {id}\r\n\r\nwhole".into())
    });
    let answer = World::start(&[&upstream]).await.exchange(&get("/book/1", "a1")).await;
    assert!(answer.contains("Content-Length: 5\r\n") && answer.ends_with("whole"), "{answer}");
}

#[actix_rt::test]
async fn long_answer_of_unknown_length_is_passed_on_as_it_comes() {
    let chunk = "c".repeat(50_000);
    let body = format!("c350\r\n{chunk}\r\n").repeat(20) + LAST_CHUNK;
    let head = "HTTP/1.1 200 OK\r\nX-Id: {id}\r\nTransfer-Encoding: chunked\r\n\r\n";
    let answer = head.to_owned() + &body;
    let upstream = Upstream::start(move |_| write(answer.clone()));
    let answer = World::start(&[&upstream]).await.exchange(&get("/book/1", "a1")).await;
    let (body, is_whole) = unchunked(&answer);
    assert_eq!((body.len(), is_whole), (20 * 50_000, true));
}

#[actix_rt::test]
async fn bodies_beyond_what_memory_holds_are_refused_at_once() {
    let upstream = Upstream::start(|_| write(ok("x")));
    let mut table = support::table(support::all_routes());
    table.limits.body_bytes = 256 << 20;
    let world = World::with_table(&[&upstream], table).await;
    let request = "POST /book/1 HTTP/1.1\r\nHost: example\r\nX-Id: a1\r\n\
        Authorization: Bearer key\r\nContent-Length: 200000000\r\n\r\n";
    let answer = world.exchange(request).await;
    assert!(answer.starts_with("HTTP/1.1 503 ") && answer.contains("Retry-After"), "{answer}");
    assert!(world.exchange(&get("/book/1", "a2")).await.starts_with("HTTP/1.1 200 "));
}

#[actix_rt::test]
async fn short_answer_never_looks_whole() {
    let upstream = Upstream::start(|_| {
        Reaction::WriteAndClose(
            "HTTP/1.1 200 OK\r\nX-Id: {id}\r\nContent-Length: 9\r\n\r\nshort".into(),
        )
    });
    let answer = World::start(&[&upstream]).await.exchange(&get("/book/1", "a1")).await;
    assert!(answer.starts_with("HTTP/1.1 502 "), "{answer}");
}

#[actix_rt::test]
async fn stream_resumed_elsewhere_has_each_event_once() {
    let script = |seen: &support::Seen| match seen.head.headers.text("X-Last-Event") {
        None => Reaction::WriteAndClose(events(1..=3) + "20\r\nid: 4\ndata: ha"),
        // The second upstream repeats an event that the caller has.
        Some(last) => {
            let last: u64 = last.parse().unwrap();
            write(events(last..=6) + LAST_CHUNK)
        }
    };
    let (first, second) = (Upstream::start(script), Upstream::start(script));
    let answer = World::start(&[&first, &second]).await.exchange(&get("/render/1", "a1")).await;
    let (body, is_whole) = unchunked(&answer);
    let expected: Vec<_> = (1..=6).map(|id| format!("id: {id}\ndata: e{id}\n\n")).collect();
    assert_eq!((body, is_whole), (expected.concat(), true));
    assert_eq!(first.count() + second.count(), 2);
}

#[actix_rt::test]
async fn stream_not_resumable_is_cut_after_a_whole_event() {
    let script =
        |_: &support::Seen| Reaction::WriteAndClose(events(1..=2) + "20\r\nid: 3\ndata: ha");
    let (first, second) = (Upstream::start(script), Upstream::start(script));
    let answer = World::start(&[&first, &second]).await.exchange(&get("/build/1", "a1")).await;
    let (body, is_whole) = unchunked(&answer);
    assert_eq!((&*body, is_whole), ("id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n", false));
    assert_eq!(first.count() + second.count(), 1, "a stream that may not be resumed runs once");
}

#[actix_rt::test]
async fn caller_that_leaves_ends_the_request_at_its_upstream() {
    let upstream = Upstream::start(|_| Reaction::Hang);
    let world = World::start(&[&upstream]).await;
    let mut stream = TcpStream::connect(world.callers).await.unwrap();
    stream.write_all(get("/book/1", "a1").as_bytes()).await.unwrap();
    while upstream.count() == 0 {
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
    drop(stream);
    while *upstream.abandoned.borrow() == 0 {
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(world.cx.state.borrow().placement.work(&"u0".parse().unwrap()).requests, 0);
}

#[actix_rt::test]
async fn smuggled_requests_end_in_400_and_reach_nobody() {
    let upstream = Upstream::start(|_| write(ok("x")));
    let world = World::start(&[&upstream]).await;
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
        let answer = world.exchange(&format!("{head}{framing}{tail}")).await;
        assert!(answer.starts_with("HTTP/1.1 400 "), "{framing}: {answer}");
        assert_eq!(answer.matches("HTTP/1.1").count(), 1, "{framing}: {answer}");
    }
    assert_eq!(upstream.count(), 0);
}

#[actix_rt::test]
async fn request_without_table_is_refused_not_denied() {
    let upstream = Upstream::start(|_| write(ok("x")));
    let world = World::start(&[&upstream]).await;
    world.cx.state.borrow_mut().table = None;
    let answer = world.exchange(&get("/book/1", "a1")).await;
    assert!(answer.starts_with("HTTP/1.1 503 ") && answer.contains("Retry-After"), "{answer}");
}

#[actix_rt::test]
async fn request_unknown_route_or_key_is_denied() {
    let upstream = Upstream::start(|_| write(ok("x")));
    let world = World::start(&[&upstream]).await;
    assert!(world.exchange(&get("/other/1", "a1")).await.starts_with("HTTP/1.1 404 "));
    let wrong = get("/book/1", "a1").replace("Bearer key", "Bearer wrong");
    assert!(world.exchange(&wrong).await.starts_with("HTTP/1.1 401 "));
    assert_eq!(upstream.count(), 0);
}

#[actix_rt::test]
async fn drain_late_request_is_refused_and_idle_connection_closed() {
    let upstream = Upstream::start(|_| write(ok("x")));
    let world = World::start(&[&upstream]).await;
    let mut idle = TcpStream::connect(world.callers).await.unwrap();
    actix_rt::time::sleep(Duration::from_millis(50)).await;
    // The process ends before a request with 4 s to go could be answered.
    let ends = world.cx.now() + Duration::from_millis(3500);
    world.cx.drain(ends);
    assert!(world.exchange(&get("/book/1", "a1")).await.starts_with("HTTP/1.1 200 "));
    actix_rt::time::sleep(Duration::from_millis(2900)).await;
    let answer = world.exchange(&get("/book/1", "a2")).await;
    assert!(answer.starts_with("HTTP/1.1 503 ") && answer.contains("Retry-After"), "{answer}");
    world.cx.close_idle();
    let mut rest = String::new();
    idle.read_to_string(&mut rest).await.unwrap();
    assert_eq!(rest, "");
    assert_eq!(upstream.count(), 1);
}

#[actix_rt::test]
async fn caller_leaves_what_was_not_sent_yet_never_reaches_the_upstream() {
    const BODY: usize = 3 << 20;
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let stalled = listener.local_addr().unwrap();
    let (left, has_left) = tokio::sync::oneshot::channel::<()>();
    let reading = actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        // Nothing is read until the caller has left.
        has_left.await.unwrap();
        actix_rt::time::sleep(Duration::from_millis(300)).await;
        let mut bytes = Vec::new();
        let end = stream.read_to_end(&mut bytes).await;
        (bytes.len(), end.is_ok())
    });
    let world = World::start(&[]).await;
    world.cx.state.borrow_mut().directory.set(support::record(0, stalled));
    let mut caller = TcpStream::connect(world.callers).await.unwrap();
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
    left.send(()).unwrap();
    let (bytes, is_whole) = reading.await.unwrap();
    assert!(!is_whole && bytes < BODY, "{bytes} bytes, ended properly: {is_whole}");
}
