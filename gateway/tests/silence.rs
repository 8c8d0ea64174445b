//! Upstreams and callers that are silent for a while and go on: no request ends without its response.

mod support;

use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use dogwoodturn::http::connection::{Connection, set_upstream_socket_options};
use dogwoodturn_gateway::{retry::Bounds, table::Table};
use socket2::SockRef;
use support::{
    TestGateway, Upstream, UpstreamAction, all_routes, complete_body, events, get, ok, record,
    table,
};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpSocket, TcpStream},
};

/// Longer than the buffers of a connection, so that the rest of a body stays unacknowledged while the
/// peer does not read.
const LONG_BODY_BYTES: usize = 12 << 20;
const WHOLE: &str = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n";
const PAUSE: Duration = Duration::from_millis(3600);
const NO_RETRIES: Bounds = Bounds { ratio: 0.0, allowance: 0.0, window: Duration::from_secs(10) };

fn patient_table() -> Table {
    let mut routes = all_routes();
    for route in &mut routes {
        route.timeout = Duration::from_secs(10);
    }
    let mut table = table(routes);
    table.limits.body_bytes = LONG_BODY_BYTES;
    table
}

fn stream_with_pause(pause: Duration) -> UpstreamAction {
    let rest = events([2]).split_once("\r\n\r\n").unwrap().1.to_owned() + "0\r\n\r\n";
    UpstreamAction::WriteParts(vec![(Duration::ZERO, events([1])), (pause, rest)])
}

// LOST of lwcma-clipdesk: the kernel gave up connections whose peer acknowledged nothing.
#[actix_rt::test]
async fn request_to_upstream_that_stands_still_is_lost() {
    let upstream = Upstream::start(|_| UpstreamAction::ReadAfter(PAUSE, ok("done")));
    let gateway = TestGateway::with_table(&[&upstream], patient_table()).await;
    let head = format!(
        "POST /book/1 HTTP/1.1\r\nHost: example\r\nX-Id: a1\r\nAuthorization: Bearer key\r\n\
         X-Deadline: 9000\r\nConnection: close\r\nContent-Length: {LONG_BODY_BYTES}\r\n\r\n"
    );
    let response = gateway.exchange(&(head + &"x".repeat(LONG_BODY_BYTES))).await;
    assert_eq!(complete_body(&response).as_deref(), Some("done"), "{response}");
}

// On loopback the kernel answers each probe, so the options themselves are checked. As the kernel does,
// probing ends at the first probe after the user time-out, if there is one, or after the last probe.
#[actix_rt::test]
async fn open_with_upstream_options_tolerates_two_seconds_of_silence() {
    let upstream = Upstream::start(|_| UpstreamAction::Hang);
    let timeout = Duration::from_secs(1);
    let connection =
        Connection::open_with(upstream.address, timeout, set_upstream_socket_options).await;
    let connection = connection.unwrap();
    let socket = SockRef::from(&connection.stream);
    let (idle, interval) =
        (socket.tcp_keepalive_time().unwrap(), socket.tcp_keepalive_interval().unwrap());
    let probes = idle + interval * socket.tcp_keepalive_retries().unwrap();
    let tolerated = socket.tcp_user_timeout().unwrap().map_or(probes, |limit| limit.min(probes));
    assert!(socket.keepalive().unwrap());
    assert!(
        (Duration::from_secs(2)..Duration::from_secs(10)).contains(&tolerated),
        "{tolerated:?}"
    );
}

// LOST of lwcma-clipdesk, towards a caller.
#[actix_rt::test]
async fn response_to_caller_that_stands_still_is_lost() {
    let body = "x".repeat(LONG_BODY_BYTES);
    let upstream = {
        let body = body.clone();
        Upstream::start(move |_| UpstreamAction::Write(ok(&body)))
    };
    let gateway = TestGateway::with_table(&[&upstream], patient_table()).await;
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(16 * 1024).unwrap();
    let mut caller: TcpStream = socket.connect(gateway.callers).await.unwrap();
    let request = get("/book/1", "a1").replace("4000", "9000");
    caller.write_all(request.as_bytes()).await.unwrap();
    actix_rt::time::sleep(PAUSE).await;
    let mut response = String::new();
    let read = caller.read_to_string(&mut response).await;
    let length = complete_body(&response).map(|body| body.len());
    assert_eq!(length, Some(body.len()), "{read:?} after {} bytes", response.len());
}

// LOST of lwcma-clipdesk: a silent upstream was left although no other one could take the request.
#[actix_rt::test]
async fn stream_of_silent_upstream_is_cut_without_another_upstream() {
    let upstream = Upstream::start(|_| stream_with_pause(Duration::from_millis(1600)));
    let gateway = TestGateway::start(&[&upstream]).await;
    let response = gateway.exchange(&get("/render/1", "a1")).await;
    assert_eq!(complete_body(&response).as_deref(), Some(WHOLE), "{response}");
    assert_eq!(upstream.count(), 1);
}

#[actix_rt::test]
async fn stream_of_silent_upstream_is_cut_without_retry_budget() {
    let script = |_: &support::ReceivedRequest| stream_with_pause(Duration::from_millis(1600));
    let (first, second) = (Upstream::start(script), Upstream::start(script));
    let gateway = TestGateway::start(&[&first, &second]).await;
    gateway.cx.state.borrow_mut().retries.set_bounds(NO_RETRIES);
    let response = gateway.exchange(&get("/render/1", "a1")).await;
    assert_eq!(complete_body(&response).as_deref(), Some(WHOLE), "{response}");
    assert_eq!(first.count() + second.count(), 1);
}

#[actix_rt::test]
async fn response_of_silent_upstream_is_given_up_without_retry_budget() {
    let late = Duration::from_millis(2600);
    let script = move |received: &support::ReceivedRequest| {
        let is_stream = received.head.path() == b"/render/1";
        let text = if is_stream { events([1]) + "0\r\n\r\n" } else { ok("late") };
        UpstreamAction::WriteAfter(late, text)
    };
    let (first, second) = (Upstream::start(script), Upstream::start(script));
    let gateway = TestGateway::start(&[&first, &second]).await;
    gateway.cx.state.borrow_mut().retries.set_bounds(NO_RETRIES);
    for (path, body) in [("/look/1", "late"), ("/render/1", "id: 1\ndata: e1\n\n")] {
        let response = gateway.exchange(&get(path, "a1")).await;
        assert_eq!(complete_body(&response).as_deref(), Some(body), "{path}: {response}");
    }
}

// LOST of lwcma-clipdesk: the other upstream was found to refuse only after the silent one was left.
#[actix_rt::test]
async fn response_of_silent_upstream_is_given_up_without_another_upstream() {
    let upstream =
        Upstream::start(|_| UpstreamAction::WriteAfter(Duration::from_millis(2600), ok("late")));
    let gateway = TestGateway::start(&[&upstream]).await;
    let response = gateway.exchange(&get("/look/1", "a1")).await;
    assert_eq!(complete_body(&response).as_deref(), Some("late"), "{response}");
    assert_eq!(upstream.count(), 1);
}

// Found beside LOST of lwcma-clipdesk: a stream was cut although it could still be resumed.
#[actix_rt::test]
async fn stream_is_cut_after_failure_of_one_resumption() {
    let calls = Cell::new(0);
    let script = move |_: &support::ReceivedRequest| {
        calls.set(calls.get() + 1);
        match calls.get() {
            1 => UpstreamAction::WriteAndReset(events([1])),
            2 => UpstreamAction::Write(
                "HTTP/1.1 500 Internal Server Error\r\nX-Id: {id}\r\nContent-Length: 0\r\n\r\n"
                    .into(),
            ),
            _ => UpstreamAction::Write(events([2]) + "0\r\n\r\n"),
        }
    };
    let script = Rc::new(script);
    let start = || {
        let script = script.clone();
        Upstream::start(move |received| script(received))
    };
    let upstreams = [start(), start(), start()];
    let mut table = patient_table();
    for routes in table.routes.values_mut() {
        for route in routes {
            let route = Arc::make_mut(route);
            route.max_attempts = 3;
        }
    }
    let gateway = TestGateway::with_table(&upstreams.each_ref(), table).await;
    let response = gateway.exchange(&get("/render/1", "a1")).await;
    assert_eq!(complete_body(&response).as_deref(), Some(WHOLE), "{response}");
}

/// Exchanges a request; another upstream appears once the first one has it.
async fn exchange_with_second(
    gateway: &TestGateway,
    path: &str,
    first: &Upstream,
    second: SocketAddr,
) -> String {
    let add = async {
        while first.count() == 0 {
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
        gateway.cx.state.borrow_mut().directory.set(record(7, second));
    };
    let request = get(path, "a1");
    tokio::join!(gateway.exchange(&request), add).0
}

/// Returns an address that refuses connections.
async fn closed_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap()
}

// LOST of lwcma-clipdesk: the replacement was found to be unreachable after the first one was left.
#[actix_rt::test]
async fn late_request_is_lost_with_unreachable_replacement() {
    let late = UpstreamAction::WriteAfter(Duration::from_millis(900), ok("late"));
    let first = Upstream::start(move |_| late.clone());
    let gateway = TestGateway::start(&[&first]).await;
    let response = exchange_with_second(&gateway, "/look/1", &first, closed_address().await).await;
    assert_eq!(complete_body(&response).as_deref(), Some("late"), "{response}");
}

#[actix_rt::test]
async fn silent_stream_is_cut_with_unreachable_replacement() {
    let first = Upstream::start(|_| stream_with_pause(Duration::from_millis(1600)));
    let gateway = TestGateway::start(&[&first]).await;
    let response =
        exchange_with_second(&gateway, "/render/1", &first, closed_address().await).await;
    assert_eq!(complete_body(&response).as_deref(), Some(WHOLE), "{response}");
}

#[actix_rt::test]
async fn silent_stream_is_cut_with_replacement_that_refuses() {
    let first = Upstream::start(|_| stream_with_pause(Duration::from_millis(1600)));
    let full = "HTTP/1.1 503 Full\r\nX-Id: {id}\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
    let second = Upstream::start(move |_| UpstreamAction::Write(full.into()));
    let gateway = TestGateway::start(&[&first]).await;
    let response = exchange_with_second(&gateway, "/render/1", &first, second.address).await;
    assert_eq!(complete_body(&response).as_deref(), Some(WHOLE), "{response}");
}

#[actix_rt::test]
async fn late_request_is_lost_with_replacement_that_refuses() {
    let late = UpstreamAction::WriteAfter(Duration::from_millis(900), ok("late"));
    let first = Upstream::start(move |_| late.clone());
    let full = "HTTP/1.1 503 Full\r\nX-Id: {id}\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
    let second = Upstream::start(move |_| UpstreamAction::Write(full.into()));
    let gateway = TestGateway::start(&[&first]).await;
    let response = exchange_with_second(&gateway, "/look/1", &first, second.address).await;
    assert_eq!(complete_body(&response).as_deref(), Some("late"), "{response}");
    assert_eq!(second.count(), 1);
}

#[actix_rt::test]
async fn silent_stream_is_cut_with_replacement_that_fails() {
    for failure in [
        UpstreamAction::Write(
            "HTTP/1.1 500 Failed\r\nX-Id: {id}\r\nContent-Length: 0\r\n\r\n".into(),
        ),
        UpstreamAction::Close,
    ] {
        let first = Upstream::start(|_| stream_with_pause(Duration::from_millis(1600)));
        let second = Upstream::start(move |_| failure.clone());
        let gateway = TestGateway::start(&[&first]).await;
        let response = exchange_with_second(&gateway, "/render/1", &first, second.address).await;
        assert_eq!(complete_body(&response).as_deref(), Some(WHOLE), "{response}");
        assert_eq!(second.count(), 1);
    }
}

// A replacement that keeps the request for longer than refusals take has it alone.
#[actix_rt::test]
async fn silent_stream_goes_on_at_slow_replacement() {
    let first = Upstream::start(|_| stream_with_pause(Duration::from_millis(3000)));
    let second = Upstream::start(|_| {
        UpstreamAction::WriteAfter(Duration::from_millis(500), events([2]) + "0\r\n\r\n")
    });
    let gateway = TestGateway::start(&[&first]).await;
    let response = exchange_with_second(&gateway, "/render/1", &first, second.address).await;
    assert_eq!(complete_body(&response).as_deref(), Some(WHOLE), "{response}");
    assert_eq!((first.count(), second.count()), (1, 1));
}

/// Writes the first event, and then `part` every 200 ms until beyond the deadline.
fn stream_that_stalls(part: &str) -> UpstreamAction {
    let parts = (0..40).map(|_| (Duration::from_millis(200), part.to_owned()));
    UpstreamAction::WriteParts([(Duration::ZERO, events([1]))].into_iter().chain(parts).collect())
}

// A stream whose upstream sent a byte now and then was waited for until the deadline.
#[actix_rt::test]
async fn stalled_stream_with_a_byte_now_and_then_is_never_resumed() {
    for part in ["1\r\n:\r\n", "3\r\n:\n\n\r\n"] {
        let first = Upstream::start(move |_| stream_that_stalls(part));
        let second = Upstream::start(|_| UpstreamAction::Write(events([2]) + "0\r\n\r\n"));
        let gateway = TestGateway::start(&[&first]).await;
        let response = exchange_with_second(&gateway, "/render/1", &first, second.address).await;
        assert!(
            complete_body(&response).is_some_and(|body| body.ends_with("data: e2\n\n")),
            "{response}"
        );
    }
}

// The events are further apart than the gap of the route, and no other upstream takes the stream.
#[actix_rt::test]
async fn slow_sound_stream_is_not_cut() {
    let event = |id: u64| events([id]).split_once("\r\n\r\n").unwrap().1.to_owned();
    let parts = move || {
        let rest = (2..=4).map(|id| (Duration::from_millis(800), event(id)));
        let start = [(Duration::ZERO, events([1]))].into_iter();
        start.chain(rest).chain([(Duration::ZERO, "0\r\n\r\n".to_owned())]).collect()
    };
    let first = Upstream::start(move |_| UpstreamAction::WriteParts(parts()));
    let gateway = TestGateway::start(&[&first]).await;
    let response = gateway.exchange(&get("/render/1", "a1")).await;
    assert!(
        complete_body(&response).is_some_and(|body| body.ends_with("data: e4\n\n")),
        "{response}"
    );
    assert_eq!(first.count(), 1);
}

#[actix_rt::test]
async fn stream_without_first_event_is_not_moved() {
    let head = || vec![(Duration::ZERO, events([])), (Duration::from_secs(9), String::new())];
    let first = Upstream::start(move |_| UpstreamAction::WriteParts(head()));
    let second = Upstream::start(|_| UpstreamAction::Write(events([1, 2]) + "0\r\n\r\n"));
    let gateway = TestGateway::start(&[&first]).await;
    let response = exchange_with_second(&gateway, "/render/1", &first, second.address).await;
    assert_eq!(complete_body(&response).as_deref(), Some(WHOLE), "{response}");
}

// The waits for a silent upstream were added up, so that each delay of the thread moved the deadline.
#[actix_rt::test]
async fn response_is_waited_for_beyond_the_deadline_after_a_standstill() {
    let upstream = Upstream::start(|_| UpstreamAction::Hang);
    let gateway = TestGateway::start(&[&upstream]).await;
    let (before, standstill) = (Duration::from_millis(2500), Duration::from_millis(1500));
    // That of the request.
    let deadline = before + standstill;
    actix_rt::spawn(async move {
        actix_rt::time::sleep(before).await;
        std::thread::sleep(standstill);
    });
    let started = Instant::now();
    gateway.exchange(&get("/look/1", "a1")).await;
    assert!(started.elapsed() < deadline + standstill / 2, "{:?}", started.elapsed());
}
