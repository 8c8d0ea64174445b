//! What changes between the choice of an upstream and the first byte of the request to it.

mod support;

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bytes::BytesMut;
use dogwoodturn::http::head::RequestHead;
use dogwoodturn_gateway::{
    gateway::Gateway, leaving::Source, links, peers::StateMessage, store::UpstreamRecord,
};
use support::{
    TestGateway, Upstream, UpstreamAction, all_routes, complete_body, get, ok, record, table,
};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream, UdpSocket},
};

/// How long a connection takes to open.
const OPENING_TIME: Duration = Duration::from_millis(60);

/// A gateway that opens connections to upstreams for another one, slowly.
#[derive(Clone)]
struct Helper {
    address: SocketAddr,
    /// The upstream of each request that it received.
    received: Rc<RefCell<Vec<String>>>,
    /// Called with the upstream when a connection is about to be open.
    before_open: Rc<dyn Fn(&str)>,
}

impl Helper {
    async fn start(before_open: impl Fn(&str) + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let helper = Self { address, received: Rc::default(), before_open: Rc::new(before_open) };
        let serving = helper.clone();
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                actix_rt::spawn(serving.clone().serve(stream));
            }
        });
        helper
    }

    async fn serve(self, mut stream: TcpStream) {
        let mut buf = BytesMut::new();
        let Some(head) = read_head(&mut stream, &mut buf).await else { return };
        let path = String::from_utf8_lossy(head.path()).into_owned();
        let upstream = path.rsplit('/').next().unwrap();
        actix_rt::time::sleep(OPENING_TIME).await;
        (self.before_open)(upstream);
        stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n").await.unwrap();
        while let Some(head) = read_head(&mut stream, &mut buf).await {
            self.received.borrow_mut().push(upstream.to_owned());
            let response = ok("done").replace("{id}", head.headers.text("X-Id").unwrap());
            stream.write_all(response.as_bytes()).await.unwrap();
        }
    }
}

async fn read_head(stream: &mut TcpStream, buf: &mut BytesMut) -> Option<RequestHead> {
    loop {
        if let Ok(Some(head)) = RequestHead::try_parse(buf, 65536) {
            return Some(head);
        }
        if stream.read_buf(buf).await.unwrap_or(0) == 0 {
            return None;
        }
    }
}

/// Starts a gateway that has lost its own links to two upstreams, and reaches them through a helper.
async fn start_with_helper(helper: &Helper) -> TestGateway {
    let mut addresses = Vec::new();
    for _ in 0..2 {
        let closed = TcpListener::bind("127.0.0.1:0").await.unwrap();
        addresses.push(closed.local_addr().unwrap());
    }
    let gateway = TestGateway::with_addresses(&addresses, table(all_routes())).await;
    gateway.exchange(&get("/look/1", "a0")).await;
    let message = StateMessage { daemon: "helper".parse().unwrap(), ..gateway.cx.message() };
    let message = StateMessage { isolated: Vec::new(), ..message };
    let cx = &gateway.cx;
    cx.state.borrow_mut().receive_message(cx.now(), helper.address, message);
    assert!(cx.has_detour(&"plain".parse().unwrap()));
    // The upstreams count as reachable again.
    for index in 0..2 {
        cx.state.borrow_mut().reset_upstream(&record(index, helper.address).id);
    }
    gateway
}

/// How a gateway learns that an upstream leaves.
#[derive(Clone, Copy, Debug)]
enum News {
    Store,
    /// The upstream's response to another request.
    Response,
}

// A request was sent to an upstream that had left while its connection was opened.
#[actix_rt::test]
async fn request_is_sent_to_an_upstream_that_left_while_it_was_connected() {
    for (path, news) in [
        ("/book/1", News::Store),
        ("/look/1", News::Store),
        ("/book/1", News::Response),
        ("/look/1", News::Response),
    ] {
        let (cx, left) = (Rc::new(RefCell::new(None::<Rc<Gateway>>)), Rc::new(Cell::new(None)));
        let (state_of, leaving) = (cx.clone(), left.clone());
        let helper = Helper::start(move |upstream| {
            if leaving.get().is_some() {
                return;
            }
            let index = usize::from(upstream == "u1");
            leaving.set(Some(index));
            let cx = state_of.borrow().clone().unwrap();
            let mut state = cx.state.borrow_mut();
            let id = record(index, "127.0.0.1:1".parse().unwrap()).id;
            let known = state.directory.get(&id).unwrap().record.clone();
            match news {
                News::Store => {
                    state.directory.set(UpstreamRecord { draining: true, ..known });
                }
                News::Response => {
                    let start = (id, known.started);
                    state.record_leaving_statement(cx.now(), &start, Source::Response);
                }
            }
        })
        .await;
        let gateway = start_with_helper(&helper).await;
        *cx.borrow_mut() = Some(gateway.cx.clone());
        let response = gateway.exchange(&get(path, "a1")).await;
        assert_eq!(
            complete_body(&response).as_deref(),
            Some("done"),
            "{path} {news:?}: {response}"
        );
        let other = format!("u{}", 1 - left.get().unwrap());
        assert_eq!(*helper.received.borrow(), [other], "{path} {news:?}");
    }
}

/// Starts a gateway that measures the lag of its event loop, with one upstream and an open connection to it.
async fn start_with_connection() -> (TestGateway, Upstream) {
    let upstream = Upstream::start(|_| UpstreamAction::Write(ok("done")));
    let gateway = TestGateway::start(&[&upstream]).await;
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    actix_rt::spawn(links::broadcast(gateway.cx.clone(), Rc::new(socket)));
    actix_rt::time::sleep(Duration::from_millis(200)).await;
    gateway.exchange(&get("/book/1", "a0")).await;
    assert_eq!(upstream.count(), 1);
    (gateway, upstream)
}

/// Connects as a caller, and waits until the gateway has accepted the connection.
async fn connect_caller(gateway: &TestGateway) -> TcpStream {
    let stream = TcpStream::connect(gateway.callers).await.unwrap();
    actix_rt::time::sleep(Duration::from_millis(30)).await;
    stream
}

// A request waited in its socket while the processor was used up, and was sent with a new deadline.
#[actix_rt::test]
async fn request_that_waited_in_its_socket_is_sent_after_its_deadline() {
    for (deadline_ms, is_served) in [(300, false), (4000, true)] {
        let (gateway, upstream) = start_with_connection().await;
        let mut caller = connect_caller(&gateway).await;
        let request = get("/book/1", "a1").replace("4000", &deadline_ms.to_string());
        caller.write_all(request.as_bytes()).await.unwrap();
        std::thread::sleep(Duration::from_millis(500));
        let mut response = String::new();
        caller.read_to_string(&mut response).await.unwrap();
        let status = if is_served { "HTTP/1.1 200 " } else { "HTTP/1.1 503 " };
        assert!(response.starts_with(status), "{deadline_ms} ms: {response}");
        assert_eq!(upstream.count(), 1 + usize::from(is_served), "{deadline_ms} ms");
    }
}

// A request was sent to an upstream although its caller had left before the request was read.
#[actix_rt::test]
async fn request_whose_caller_left_before_it_was_read_is_sent() {
    let (gateway, upstream) = start_with_connection().await;
    let mut caller = connect_caller(&gateway).await;
    caller.write_all(get("/look/1", "a1").as_bytes()).await.unwrap();
    drop(caller);
    std::thread::sleep(Duration::from_millis(50));
    actix_rt::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(upstream.count(), 1);
    assert_eq!(gateway.cx.in_flight(), 0);
}
