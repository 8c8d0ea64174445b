//! A gateway on loopback without a store, and upstreams that follow a script.
#![allow(dead_code)]

pub mod link;

use std::{
    cell::{Cell, RefCell},
    fmt::Write as _,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use dogwoodturn::{
    http::{
        body::{BodyDecoder, Step},
        head::{Framing, Headers, RequestHead},
    },
    ids::Era,
    ini::Source,
};
use dogwoodturn_gateway::{
    connect,
    gateway::Gateway,
    header_schema::{HeaderSchema, LoadReport, Prompt, PromptPart, ReportedPace},
    peers::{PeerTable, StateMessage},
    serve,
    settings::Settings,
    store::{CallError, MemberRecord, Store, Unreadable, UpstreamRecord},
    table::{CallerLimits, Customer, EngineCapacity, Ranks, RetrySafety, Route, Service, Table},
};
use indexmap::IndexMap;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpSocket, TcpStream},
    sync::Notify,
    time::timeout,
};

/// How long a test waits for a response before it fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Time until an upstream that crashed accepts connections again.
pub const CRASH_DOWNTIME: Duration = Duration::from_millis(250);
/// Time between the last byte of a response and the reset of its connection.
const RESET_DELAY: Duration = Duration::from_millis(50);

pub fn header_schema() -> HeaderSchema {
    HeaderSchema {
        request_id: "X-Id",
        deadline_ms: "X-Deadline",
        authorization: "Authorization",
        customer: "X-Customer",
        expected_upstream: "X-Expected",
        not_run: "X-Not-Run",
        leaving: "X-Leaving",
        load: "X-Load",
        rate_limit: "X-Limit",
        brittle: "X-Brittle",
        last_event: "X-Last-Event",
        warm_up_ms: "X-Warm-Up",
        urgency: "X-Urgency",
        reserved: &["X-Pin"],
        readiness_path: b"/ready",
        read_prompt: |headers: &Headers| {
            let number = |name| headers.text(name).and_then(|text| text.parse().ok()).unwrap_or(0);
            let input = number("X-Tokens");
            let parts = headers.text("X-Part").unwrap_or_default().split(',');
            let parts = parts.filter_map(|text| text.parse().ok());
            Prompt {
                input,
                output: number("X-Output"),
                parts: parts.map(|id| PromptPart { id, tokens: input }).collect(),
            }
        },
        read_load: |text| {
            let pace = text.parse().map_or(ReportedPace::Malformed, ReportedPace::Valid);
            Some(LoadReport { pace, ..LoadReport::default() })
        },
    }
}

pub fn settings_text() -> &'static str {
    include_str!("settings.ini")
}

pub fn settings() -> Settings {
    Settings::read(&Source { file: "test.ini".into(), text: settings_text().into() }).unwrap()
}

fn unavailable<T: 'static>() -> dogwoodturn_gateway::store::Reply<T> {
    Box::pin(async { Err(CallError::NotDone("no store in this test".into())) })
}

pub fn no_store() -> Store {
    Store {
        list: Box::new(|_| unavailable()),
        watch: Box::new(|_, _, _| unavailable()),
        write: Box::new(|_| unavailable()),
        era: Box::new(Era::default),
        send_cloud_request: Box::new(|_, _| unavailable()),
        redirect: Box::new(|_, _| {}),
        read_table: |_| Err(Unreadable("no tables in this test".into())),
    }
}

pub fn route(name: &str, path: &str, retry_safety: RetrySafety, max_attempts: u32) -> Route {
    Route {
        name: name.parse().unwrap(),
        host: "example".into(),
        path_prefix: path.into(),
        retry_safety,
        timeout: Duration::from_secs(5),
        latency_target: Duration::from_secs(1),
        max_event_gap: Some(Duration::from_millis(400)),
        priority: 0,
        max_attempts,
        anonymous: false,
        homes: Vec::new(),
        services: vec![("plain".parse().unwrap(), 1)],
    }
}

pub fn table(routes: Vec<Route>) -> Table {
    let service = Service {
        name: "plain".parse().unwrap(),
        max_connections: 100,
        warm_up: None,
        engine: None::<EngineCapacity>,
        hosts: None,
    };
    let customer =
        Customer { name: "ada".parse().unwrap(), priority: None, homes: Vec::new(), quota: None };
    let routes = Table::group_by_host(routes);
    Table {
        version: 1,
        document: Bytes::new(),
        ranks: Ranks::new(routes.values().flatten()),
        routes,
        services: IndexMap::from([(service.name.clone(), service)]),
        customers: IndexMap::from([(customer.name.clone(), customer)]),
        keys: IndexMap::from([("key".into(), "ada".parse().unwrap())]),
        limits: CallerLimits::default(),
    }
}

pub fn all_routes() -> Vec<Route> {
    vec![
        route("book", "/book/", RetrySafety::AtMostOnce, 1),
        route("look", "/look/", RetrySafety::Idempotent, 2),
        route("render", "/render/", RetrySafety::ResumableStream, 2),
        route("build", "/build/", RetrySafety::Stream, 1),
    ]
}

/// What an upstream does with one request.
#[derive(Clone, Debug)]
pub enum UpstreamAction {
    /// Writes these bytes, with `{id}` replaced by the request's ID.
    Write(String),
    /// Writes these bytes after a delay.
    WriteAfter(Duration, String),
    /// Writes each of these parts after its delay.
    WriteParts(Vec<(Duration, String)>),
    /// Writes each of these parts after its delay, and closes the connection.
    WritePartsAndClose(Vec<(Duration, String)>),
    /// Writes each of these parts after its delay, and resets the connection.
    WritePartsAndReset(Vec<(Duration, String)>),
    /// Writes these bytes, but reads nothing of the request's body before a delay, like a host that
    /// stands still.
    ReadAfter(Duration, String),
    /// Writes these bytes and closes the connection.
    WriteAndClose(String),
    /// Writes these bytes and resets the connection.
    WriteAndReset(String),
    /// Closes the connection without a response.
    Close,
    /// Never responds.
    Hang,
    /// Responds after the request head and reads more of the request later.
    RespondEarly(String),
    /// Responds after the request head and resets the connection, without reading the body. Nothing else runs
    /// between the response and the reset.
    RespondEarlyAndReset(String),
    /// Writes the first bytes, and then the others again and again until the gateway closes the
    /// connection.
    WriteForever(String, String),
    /// The same, without reading the body of the request.
    WriteForeverEarly(String, String),
    /// Closes all connections, and accepts none for [`CRASH_DOWNTIME`].
    Crash,
}

enum ConnectionEnd {
    None,
    Close,
    Reset,
}

/// A request as an upstream received it.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    pub head: RequestHead,
    pub body: Bytes,
    pub connection: usize,
}

/// An upstream that follows a script, called once for each request before its body is read, and records the requests that it received.
#[derive(Clone)]
pub struct Upstream {
    pub address: SocketAddr,
    pub received: Rc<RefCell<Vec<ReceivedRequest>>>,
    /// The number of connections that the gateway closed while [`UpstreamAction::Hang`] left a
    /// request without a response.
    pub abandoned: Rc<RefCell<u32>>,
    /// The number of bytes that [`UpstreamAction::WriteForever`] has written.
    pub endless_bytes: Rc<Cell<usize>>,
    /// The number of connections on which it was stopped by the gateway.
    pub endless_stopped: Rc<Cell<usize>>,
    crashed: Rc<Notify>,
}

impl Upstream {
    pub fn start(script: impl Fn(&ReceivedRequest) -> UpstreamAction + 'static) -> Self {
        // A small receive buffer, so that the system does not accept a long request completely.
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(16 * 1024).unwrap();
        socket.set_reuseaddr(true).unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let mut listener = socket.listen(64).unwrap();
        let address = listener.local_addr().unwrap();
        let upstream = Self {
            address,
            received: Rc::default(),
            abandoned: Rc::default(),
            endless_bytes: Rc::default(),
            endless_stopped: Rc::default(),
            crashed: Rc::default(),
        };
        let (script, server) = (Rc::new(script), upstream.clone());
        actix_rt::spawn(async move {
            let mut connections = 0;
            loop {
                let accepted = tokio::select! {
                    accepted = listener.accept() => accepted.ok(),
                    () = server.crashed.notified() => None,
                };
                let Some((stream, _)) = accepted else {
                    drop(listener);
                    actix_rt::time::sleep(CRASH_DOWNTIME).await;
                    let socket = TcpSocket::new_v4().unwrap();
                    socket.set_reuseaddr(true).unwrap();
                    socket.bind(address).unwrap();
                    listener = socket.listen(64).unwrap();
                    continue;
                };
                connections += 1;
                let (serving, crashed) = (server.clone(), server.crashed.clone());
                let serving = serving.serve(stream, connections, script.clone());
                actix_rt::spawn(async move {
                    tokio::select! {
                        () = serving => {}
                        () = crashed.notified() => {}
                    }
                });
            }
        });
        upstream
    }

    async fn serve(
        self,
        mut stream: TcpStream,
        connection: usize,
        script: Rc<impl Fn(&ReceivedRequest) -> UpstreamAction + 'static>,
    ) {
        let mut buf = BytesMut::new();
        loop {
            let head = loop {
                if let Ok(Some(head)) = RequestHead::try_parse(&mut buf, 65536) {
                    break head;
                }
                if stream.read_buf(&mut buf).await.unwrap_or(0) == 0 {
                    return;
                }
            };
            let mut received = ReceivedRequest { head, body: Bytes::new(), connection };
            let action = script(&received);
            if let UpstreamAction::RespondEarly(_)
            | UpstreamAction::RespondEarlyAndReset(_)
            | UpstreamAction::WriteForeverEarly(..) = &action
            {
                return self.respond_early(stream, received, &action).await;
            }
            if let UpstreamAction::ReadAfter(delay, _) = &action {
                actix_rt::time::sleep(*delay).await;
            }
            let mut decoder = BodyDecoder::new(received.head.framing);
            let mut body = BytesMut::new();
            loop {
                match decoder.step(&mut buf).unwrap() {
                    Step::Data(data) => body.extend_from_slice(&data),
                    Step::End => break,
                    Step::NeedsMore => {
                        if stream.read_buf(&mut buf).await.unwrap_or(0) == 0 {
                            return;
                        }
                    }
                }
            }
            received.body = body.freeze();
            let id = received.head.headers.text("X-Id").unwrap_or("").to_owned();
            self.received.borrow_mut().push(received);
            let (text, end) = match action {
                UpstreamAction::Write(text)
                | UpstreamAction::RespondEarly(text)
                | UpstreamAction::RespondEarlyAndReset(text)
                | UpstreamAction::ReadAfter(_, text) => (text, ConnectionEnd::None),
                UpstreamAction::WriteParts(parts) => {
                    write_parts(&mut stream, parts, &id).await;
                    (String::new(), ConnectionEnd::None)
                }
                UpstreamAction::WritePartsAndClose(parts) => {
                    write_parts(&mut stream, parts, &id).await;
                    (String::new(), ConnectionEnd::Close)
                }
                UpstreamAction::WritePartsAndReset(parts) => {
                    write_parts(&mut stream, parts, &id).await;
                    (String::new(), ConnectionEnd::Reset)
                }
                UpstreamAction::WriteAndClose(text) => (text, ConnectionEnd::Close),
                UpstreamAction::WriteAndReset(text) => (text, ConnectionEnd::Reset),
                UpstreamAction::WriteAfter(pause, text) => {
                    actix_rt::time::sleep(pause).await;
                    (text, ConnectionEnd::None)
                }
                UpstreamAction::Close => return,
                UpstreamAction::WriteForever(first, repeated)
                | UpstreamAction::WriteForeverEarly(first, repeated) => {
                    return self
                        .write_forever(stream, &first.replace("{id}", &id), &repeated)
                        .await;
                }
                UpstreamAction::Crash => {
                    self.crashed.notify_waiters();
                    return;
                }
                UpstreamAction::Hang => {
                    let _ = stream.read_buf(&mut buf).await;
                    *self.abandoned.borrow_mut() += 1;
                    return;
                }
            };
            let _ = stream.write_all(text.replace("{id}", &id).as_bytes()).await;
            match end {
                ConnectionEnd::None => {}
                ConnectionEnd::Close => return,
                ConnectionEnd::Reset => {
                    // A reset would discard bytes that have not left the socket yet.
                    actix_rt::time::sleep(RESET_DELAY).await;
                    stream.set_zero_linger().unwrap();
                    return;
                }
            }
        }
    }

    /// Responds without reading the body of the request first.
    async fn respond_early(
        &self,
        mut stream: TcpStream,
        received: ReceivedRequest,
        action: &UpstreamAction,
    ) {
        let id = received.head.headers.text("X-Id").unwrap_or("").to_owned();
        self.received.borrow_mut().push(received);
        match action {
            UpstreamAction::WriteForeverEarly(first, repeated) => {
                self.write_forever(stream, first, repeated).await;
            }
            UpstreamAction::RespondEarlyAndReset(text) => {
                let _ = stream.write_all(text.replace("{id}", &id).as_bytes()).await;
                std::thread::sleep(Duration::from_millis(2));
                stream.set_zero_linger().unwrap();
            }
            UpstreamAction::RespondEarly(text) => {
                let _ = stream.write_all(text.replace("{id}", &id).as_bytes()).await;
                actix_rt::time::sleep(Duration::from_millis(300)).await;
                let _ = stream.read_buf(&mut BytesMut::new()).await;
            }
            _ => {}
        }
    }

    async fn write_forever(&self, mut stream: TcpStream, first: &str, repeated: &str) {
        let _ = stream.write_all(first.as_bytes()).await;
        let block = repeated.repeat(4096 / repeated.len());
        while stream.write_all(block.as_bytes()).await.is_ok() {
            self.endless_bytes.set(self.endless_bytes.get() + block.len());
            actix_rt::task::yield_now().await;
        }
        self.endless_stopped.set(self.endless_stopped.get() + 1);
    }

    pub fn count(&self) -> usize {
        self.received.borrow().len()
    }
}

async fn write_parts(stream: &mut TcpStream, parts: Vec<(Duration, String)>, id: &str) {
    for (delay, text) in parts {
        actix_rt::time::sleep(delay).await;
        if stream.write_all(text.replace("{id}", id).as_bytes()).await.is_err() {
            return;
        }
    }
}

/// A gateway with the address of its listener for callers.
pub struct TestGateway {
    pub cx: Rc<Gateway>,
    pub callers: SocketAddr,
    /// The address of its listener for other gateways.
    pub internal: SocketAddr,
}

impl TestGateway {
    pub async fn start(upstreams: &[&Upstream]) -> Self {
        Self::with_table(upstreams, table(all_routes())).await
    }

    pub async fn with_table(upstreams: &[&Upstream], table: Table) -> Self {
        let addresses: Vec<_> = upstreams.iter().map(|upstream| upstream.address).collect();
        Self::with_addresses(&addresses, table).await
    }

    /// Starts a gateway that reaches each upstream at an address of its own.
    pub async fn with_addresses(upstreams: &[SocketAddr], table: Table) -> Self {
        let cx = Gateway::new(settings(), header_schema(), no_store());
        {
            let mut state = cx.state.borrow_mut();
            state.apply_table(table);
            state.has_members = true;
            state.has_upstreams = true;
            let member =
                MemberRecord { daemon: cx.settings().name.clone(), address: cx.settings().peers };
            state.peer_table.add_listed(cx.now(), member);
            for (index, address) in upstreams.iter().enumerate() {
                state.directory.set(record(index, *address));
            }
        }
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let callers = listener.local_addr().unwrap();
        actix_rt::spawn(serve::accept(cx.clone(), listener));
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let internal = listener.local_addr().unwrap();
        actix_rt::spawn(serve::accept_internal(cx.clone(), listener));
        actix_rt::spawn(connect::run_probes(cx.clone()));
        Self { cx, callers, internal }
    }

    /// Sends bytes and returns what the gateway sends until it closes the connection. Panics after
    /// [`TEST_TIMEOUT`].
    pub async fn exchange(&self, request: &str) -> String {
        let mut stream = TcpStream::connect(self.callers).await.unwrap();
        stream.write_all(request.as_bytes()).await.unwrap();
        let mut response = Vec::new();
        let _ = timeout(TEST_TIMEOUT, stream.read_to_end(&mut response))
            .await
            .expect("no close in time");
        String::from_utf8(response).unwrap()
    }
}

/// Returns a state message of each gateway, under names of their own.
fn state_messages(gateways: &[TestGateway]) -> Vec<StateMessage> {
    let message = |(index, gateway): (usize, &TestGateway)| StateMessage {
        daemon: format!("d{index}").parse().unwrap(),
        ..gateway.cx.message()
    };
    gateways.iter().enumerate().map(message).collect()
}

/// Delivers the state messages of all gateways to all others.
pub fn exchange_messages(gateways: &[TestGateway]) {
    let messages = state_messages(gateways);
    for (index, to) in gateways.iter().enumerate() {
        for (other, message) in messages.iter().enumerate().filter(|(other, _)| *other != index) {
            let (now, from) = (to.cx.now(), gateways[other].internal);
            to.cx.state.borrow_mut().receive_message(now, from, message.clone());
        }
    }
}

/// Lets each gateway know all others under the same names, and itself as one of them.
pub fn introduce(gateways: &[TestGateway]) {
    for (index, gateway) in gateways.iter().enumerate() {
        let name = format!("d{index}").parse().unwrap();
        gateway.cx.state.borrow_mut().peer_table = PeerTable::new(name);
    }
    exchange_messages(gateways);
}

pub fn record(index: usize, address: SocketAddr) -> UpstreamRecord {
    UpstreamRecord {
        id: format!("u{index}").parse().unwrap(),
        started: 1,
        service: "plain".parse().unwrap(),
        version: "v1".parse().unwrap(),
        address,
        data_centre: "here".parse().unwrap(),
        slots: 8,
        draining: false,
        reclaimable: false,
        warm_up: Duration::ZERO,
    }
}

/// Returns a GET request with `Connection: close`.
pub fn get(path: &str, id: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nHost: example\r\nX-Id: {id}\r\nAuthorization: Bearer key\r\n\
         X-Deadline: 4000\r\nConnection: close\r\n\r\n"
    )
}

/// Returns a complete response with a placeholder for the request's ID.
pub fn ok(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nX-Id: {{id}}\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// Returns a response with this framing, of whose body only the first `sent` bytes are sent. The last
/// chunk is sent with the complete body.
pub fn framed(framing: Framing, content_type: &str, body: &str, sent: usize) -> String {
    let head = format!("HTTP/1.1 200 OK\r\nX-Id: {{id}}\r\nContent-Type: {content_type}\r\n");
    let part = &body[..sent];
    match framing {
        Framing::Length(_) => format!("{head}Content-Length: {}\r\n\r\n{part}", body.len()),
        Framing::UntilClose => format!("{head}\r\n{part}"),
        Framing::Chunked => {
            let mut text = format!("{head}Transfer-Encoding: chunked\r\n\r\n");
            // An odd chunk size, so that chunks and events have different bounds.
            for chunk in part.as_bytes().chunks(11) {
                let chunk = std::str::from_utf8(chunk).unwrap();
                write!(text, "{:x}\r\n{chunk}\r\n", chunk.len()).unwrap();
            }
            if sent == body.len() {
                text += "0\r\n\r\n";
            }
            text
        }
    }
}

/// Returns the body of a response with status 200 if its framing says that it is complete.
pub fn complete_body(response: &str) -> Option<String> {
    let (head, body) = response.split_once("\r\n\r\n")?;
    if !head.starts_with("HTTP/1.1 200 ") {
        return None;
    }
    let length = head.lines().find_map(|line| line.strip_prefix("Content-Length: "));
    if let Some(length) = length {
        return (length.parse() == Ok(body.len())).then(|| body.to_owned());
    }
    assert!(head.contains("Transfer-Encoding: chunked"), "{response}");
    let (body, is_complete) = decode_chunked(response);
    is_complete.then_some(body)
}

/// Returns the head of a stream and these events, without the last chunk.
pub fn events(ids: impl IntoIterator<Item = u64>) -> String {
    let mut text = "HTTP/1.1 200 OK\r\nX-Id: {id}\r\nContent-Type: text/event-stream\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
        .to_owned();
    for id in ids {
        let event = format!("id: {id}\ndata: e{id}\n\n");
        write!(text, "{:x}\r\n{event}\r\n", event.len()).unwrap();
    }
    text
}

/// Returns the decoded body of a chunked response, and whether it is complete.
pub fn decode_chunked(response: &str) -> (String, bool) {
    let (_, body) = response.split_once("\r\n\r\n").unwrap_or(("", ""));
    let mut buf = BytesMut::from(body.as_bytes());
    let mut decoder = BodyDecoder::new(Framing::Chunked);
    let mut decoded = String::new();
    loop {
        match decoder.step(&mut buf) {
            Ok(Step::Data(data)) => decoded += std::str::from_utf8(&data).unwrap(),
            Ok(Step::End) => return (decoded, true),
            Ok(Step::NeedsMore) | Err(_) => return (decoded, false),
        }
    }
}
