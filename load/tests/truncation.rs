//! Responses that upstreams break off: a caller of a daemon never receives one that looks complete.

use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread::sleep,
    time::Duration,
};

use bytes::BytesMut;
use dogwoodturn::http::{
    body::{BodyDecoder, Step},
    head::{Framing, RequestHead, ResponseHead},
};
use dogwoodturn_load::{
    local::{LocalFleet, UpstreamPlan},
    sample,
};
use socket2::SockRef;

const EVENT_STREAM: &str = "text/event-stream";
const FRAMINGS: [Framing; 3] = [Framing::Length(0), Framing::Chunked, Framing::UntilClose];
const BODY: &str = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n";
const EVENT_BYTES: usize = BODY.len() / 2;
/// Time between the last byte of a response and the reset of its connection.
const RESET_DELAY: Duration = Duration::from_millis(20);

/// A response that breaks off or not.
#[derive(Clone, Copy, Debug)]
struct Case {
    framing: Framing,
    content_type: &'static str,
    /// The number of bytes of the body that are sent.
    sent: usize,
    is_reset: bool,
}

impl Case {
    fn all() -> Vec<Self> {
        let mut cases = Vec::new();
        for framing in FRAMINGS {
            for content_type in ["application/json"] {
                for sent in [0, 1, EVENT_BYTES - 1, EVENT_BYTES, EVENT_BYTES + 3, BODY.len()] {
                    for is_reset in [false, true] {
                        cases.push(Self { framing, content_type, sent, is_reset });
                    }
                }
            }
        }
        cases
    }

    /// Returns the body that the caller must receive; `None` if it must not look complete.
    fn expected(&self) -> Option<&'static str> {
        let is_complete = match self.framing {
            Framing::Length(_) | Framing::Chunked => self.sent == BODY.len(),
            Framing::UntilClose => {
                let at_event_end = self.sent.is_multiple_of(EVENT_BYTES);
                !self.is_reset && (self.content_type != EVENT_STREAM || at_event_end)
            }
        };
        is_complete.then(|| &BODY[..self.sent])
    }

    fn response(&self) -> String {
        let content_type = self.content_type;
        let head =
            format!("HTTP/1.1 200 OK\r\nContent-Type: {content_type}\r\nConnection: close\r\n");
        let part = &BODY[..self.sent];
        match self.framing {
            Framing::Length(_) => format!("{head}Content-Length: {}\r\n\r\n{part}", BODY.len()),
            Framing::UntilClose => format!("{head}\r\n{part}"),
            Framing::Chunked => {
                let chunk = format!("{:x}\r\n{part}\r\n", part.len());
                let chunk = if part.is_empty() { "" } else { &chunk };
                let end = if self.sent == BODY.len() { "0\r\n\r\n" } else { "" };
                format!("{head}Transfer-Encoding: chunked\r\n\r\n{chunk}{end}")
            }
        }
    }
}

/// Starts an upstream that responds to `/ROUTE/N` with the response of case N.
fn start_upstream(cases: Arc<[Case]>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let cases = cases.clone();
            std::thread::spawn(move || respond(stream.unwrap(), &cases));
        }
    });
    address
}

fn respond(mut stream: TcpStream, cases: &[Case]) {
    let Some(head) = read_request(&mut stream) else { return };
    let path = String::from_utf8_lossy(head.path()).into_owned();
    let index: usize = path.rsplit('/').next().unwrap().parse().unwrap();
    stream.write_all(cases[index].response().as_bytes()).unwrap();
    if cases[index].is_reset {
        sleep(RESET_DELAY);
        SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
    }
}

fn read_request(stream: &mut TcpStream) -> Option<RequestHead> {
    let mut buf = BytesMut::new();
    let head = loop {
        if let Some(head) = RequestHead::try_parse(&mut buf, 1 << 16).unwrap() {
            break head;
        }
        read(stream, &mut buf)?;
    };
    let mut decoder = BodyDecoder::new(head.framing);
    loop {
        match decoder.step(&mut buf).unwrap() {
            Step::Data(_) => {}
            Step::End => return Some(head),
            Step::NeedsMore => read(stream, &mut buf)?,
        }
    }
}

fn read(stream: &mut TcpStream, buf: &mut BytesMut) -> Option<()> {
    let mut bytes = [0; 4096];
    let length = stream.read(&mut bytes).ok().filter(|length| *length > 0)?;
    buf.extend_from_slice(&bytes[..length]);
    Some(())
}

/// Sends a request and returns the body of a successful response that looks complete.
fn exchange(daemon: SocketAddr, method: &str, path: &str, headers: &str) -> Option<String> {
    let mut stream = TcpStream::connect(daemon).unwrap();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: daemon\r\nAuthorization: Bearer ferries-token\r\n\
         {headers}Content-Length: 2\r\nConnection: close\r\n\r\n{{}}"
    );
    stream.write_all(request.as_bytes()).unwrap();
    let mut response = Vec::new();
    let is_closed = stream.read_to_end(&mut response).is_ok();
    let mut buf = BytesMut::from(&*response);
    let head = ResponseHead::try_parse(&mut buf, 1 << 16, false).unwrap()?;
    if head.status != 200 {
        return None;
    }
    let mut decoder = BodyDecoder::new(head.framing);
    let mut body = Vec::new();
    loop {
        match decoder.step(&mut buf).unwrap() {
            Step::Data(data) => body.extend_from_slice(&data),
            Step::End => break,
            Step::NeedsMore if is_closed && decoder.ends_with_connection() => break,
            Step::NeedsMore => return None,
        }
    }
    Some(String::from_utf8(body).unwrap())
}

/// Starts a daemon whose only upstream responds with the cases.
fn fleet(cases: &[Case]) -> LocalFleet {
    let plan = UpstreamPlan {
        service: "ledger",
        version: "v1",
        engine: false,
        count: 1,
        data_centres: &sample::SALISH,
    };
    let set = sample::declarations().expect("the samples have no fault");
    let mut fleet = LocalFleet::start(&[plan]).expect("the stand-ins start");
    fleet.upstreams[0].record.address = start_upstream(cases.into());
    fleet.publish_hosts();
    fleet.publish(&set, "c1").expect("published");
    fleet.add_daemon("salish-a", 1).expect("the daemon starts");
    fleet.wait_ready().expect("the daemon is ready");
    fleet
}

#[test]
fn truncated_plain_response_given_a_new_length() {
    let cases = Case::all();
    let fleet = fleet(&cases);
    let daemon = fleet.daemons[0].callers();
    let mut failures = Vec::new();
    for (index, case) in cases.iter().enumerate() {
        let received = exchange(daemon, "POST", &format!("/purchases/{index}"), "");
        if received.as_deref() != case.expected() {
            failures.push(format!("{case:?}: received {received:?}"));
        }
    }
    assert!(failures.is_empty(), "{} of {}: {failures:#?}", failures.len(), cases.len());
}
