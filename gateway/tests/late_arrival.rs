//! Requests that reach an upstream after their callers' deadlines, because time passed that no clock of the gateway
//! counted.

mod support;

use std::{
    io::Write as _,
    time::{Duration, Instant},
};

use dogwoodturn::http::connection::Connection;
use dogwoodturn_gateway::{link_budget::LinkBudget, serve};
use futures_util::future::join_all;
use support::{ReceivedRequest, TestGateway, Upstream, UpstreamAction, all_routes, get, ok, table};
use tokio::net::TcpListener;

/// A gateway's listener that accepts nothing yet, as when it has no descriptor left.
async fn listen() -> (TcpListener, std::net::SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

// BUDGET of wayfarer-dogwood-large: the time in the queue of new connections was not counted.
#[actix_rt::test]
async fn request_whose_connection_waited_to_be_accepted_is_sent_with_a_new_deadline() {
    for (deadline_ms, is_served) in [(400, false), (4000, true)] {
        let upstream = Upstream::start(|_: &ReceivedRequest| UpstreamAction::Write(ok("done")));
        let gateway = TestGateway::start(&[&upstream]).await;
        let (listener, address) = listen().await;
        let mut caller = std::net::TcpStream::connect(address).unwrap();
        let request = get("/look/1", "a1").replace("4000", &deadline_ms.to_string());
        caller.write_all(request.as_bytes()).unwrap();
        // The event loop is idle meanwhile, so that its lag shows nothing.
        actix_rt::time::sleep(Duration::from_millis(700)).await;
        actix_rt::spawn(serve::accept(gateway.cx.clone(), listener));
        actix_rt::time::sleep(Duration::from_millis(300)).await;
        let received = upstream.received.borrow();
        assert_eq!(received.len(), usize::from(is_served), "{deadline_ms} ms");
        for request in received.iter() {
            let left: u64 = request.head.headers.text("X-Deadline").unwrap().parse().unwrap();
            assert!(left <= deadline_ms - 650, "{left} ms were named as left");
        }
    }
}

// The same for a connection that is in use again: bytes that wait in the socket while the loop turns often.
#[actix_rt::test]
async fn request_unread_in_many_short_turns_is_sent_with_a_new_deadline() {
    let upstream = Upstream::start(|_: &ReceivedRequest| UpstreamAction::Write(ok("done")));
    let gateway = TestGateway::start(&[&upstream]).await;
    let mut caller = std::net::TcpStream::connect(gateway.callers).unwrap();
    let kept = get("/look/1", "a1").replace("Connection: close\r\n", "");
    caller.write_all(kept.as_bytes()).unwrap();
    actix_rt::time::sleep(Duration::from_millis(200)).await;
    caller.write_all(get("/look/1", "a2").replace("4000", "300").as_bytes()).unwrap();
    // No single turn is longer than what counts as no lag.
    let began = Instant::now();
    while began.elapsed() < Duration::from_millis(400) {
        std::thread::sleep(Duration::from_millis(90));
    }
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    let ids: Vec<_> = upstream.received.borrow().iter().map(request_id).collect();
    assert_eq!(ids, ["a1"]);
}

fn request_id(request: &ReceivedRequest) -> String {
    request.head.headers.text("X-Id").unwrap_or_default().to_owned()
}

/// Fetches this document from a gateway as another one would, and returns its length.
async fn fetch(gateway: &TestGateway, path: &str) -> usize {
    let mut connection = Connection::open(gateway.internal, Duration::from_secs(2)).await.unwrap();
    let request = format!("GET {path} HTTP/1.1\r\nHost: peer\r\nConnection: close\r\n\r\n");
    connection.write(request.as_bytes()).await.unwrap();
    let Ok(head) = connection.read_head(false).await else { return 0 };
    let body = connection.read_full_body(&head, 8 << 20).await;
    body.map_or(0, |body| if head.status == 200 { body.len() } else { 0 })
}

// BUDGET and DRAIN of wayfarer-dogwood-large: hundreds of gateways that a store turned away, or that saw a new table,
// fetched it from one narrow host at once, and requests waited behind the documents on its link.
#[actix_rt::test]
async fn documents_for_peers_fill_a_narrow_link() {
    const PEERS: usize = 300;
    const LINK_MBPS: f64 = 20.0;
    // The other half is left to requests.
    const SHARE: f64 = 0.5;
    let mut table = table(all_routes());
    table.document = vec![b'x'; 60 * 1024].into();
    let gateway = TestGateway::with_table(&[], table).await;
    *gateway.cx.link_budget.borrow_mut() = LinkBudget::new(LINK_MBPS);
    let began = Instant::now();
    let mut bytes = 0;
    while began.elapsed() < Duration::from_secs(1) {
        let fetched = join_all((0..PEERS).map(|_| fetch(&gateway, "/table"))).await;
        bytes += fetched.iter().sum::<usize>();
    }
    let allowed = LINK_MBPS * 1e6 / 8.0 * SHARE * began.elapsed().as_secs_f64();
    assert!(bytes > 0, "no peer got the table");
    assert!(bytes as f64 <= allowed, "{bytes} bytes, {allowed} allowed");
}

// BUDGET of wayfarer-dogwood-large: a request was repeated on an idle connection behind bytes that had not arrived.
#[actix_rt::test]
async fn request_is_written_behind_bytes_that_are_not_acknowledged() {
    const BODY_BYTES: usize = 12 << 20;
    let script = |request: &ReceivedRequest| match request.head.path() {
        b"/book/long" => UpstreamAction::ReadAfter(Duration::from_millis(1500), ok("done")),
        _ => UpstreamAction::WriteAfter(Duration::from_millis(50), ok("done")),
    };
    let upstream = Upstream::start(script);
    let mut table = table(all_routes());
    table.limits.body_bytes = BODY_BYTES;
    let gateway = TestGateway::with_table(&[&upstream], table).await;
    let gateway = &gateway;
    // Two connections that are idle then.
    let requests =
        ["a1", "a2"].map(|id| async move { gateway.exchange(&get("/look/1", id)).await });
    join_all(requests).await;
    let head = get("/book/long", "a3").replace("\r\n\r\n", "");
    let long = format!("{head}\r\nContent-Length: {BODY_BYTES}\r\n\r\n{}", "x".repeat(BODY_BYTES));
    let later = async {
        actix_rt::time::sleep(Duration::from_millis(700)).await;
        gateway.exchange(&get("/look/1", "a4")).await
    };
    let (_, answer) = futures_util::future::join(gateway.exchange(&long), later).await;
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    let received = upstream.received.borrow();
    let connection = received.iter().find(|request| request_id(request) == "a4").unwrap();
    assert_eq!(connection.connection, 3, "a new connection");
}
