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
    fn all(content_type: &'static str) -> Vec<Self> {
        let mut cases = Vec::new();
        for framing in FRAMINGS {
            for sent in [0, 1, EVENT_BYTES - 1, EVENT_BYTES, EVENT_BYTES + 3, BODY.len()] {
                for is_reset in [false, true] {
                    cases.push(Self { framing, content_type, sent, is_reset });
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

    fn response(&self) -> Response {
        let Self { framing, content_type, sent, is_reset } = *self;
        Response { text: framed(framing, content_type, BODY, sent), is_reset }
    }
}

/// Returns a response with this framing, of whose body only the first `sent` bytes are sent.
fn framed(framing: Framing, content_type: &str, body: &str, sent: usize) -> String {
    let head = format!("HTTP/1.1 200 OK\r\nContent-Type: {content_type}\r\nConnection: close\r\n");
    let part = &body[..sent];
    match framing {
        Framing::Length(_) => format!("{head}Content-Length: {}\r\n\r\n{part}", body.len()),
        Framing::UntilClose => format!("{head}\r\n{part}"),
        Framing::Chunked => {
            let chunk = format!("{:x}\r\n{part}\r\n", part.len());
            let chunk = if part.is_empty() { "" } else { &chunk };
            let end = if sent == body.len() { "0\r\n\r\n" } else { "" };
            format!("{head}Transfer-Encoding: chunked\r\n\r\n{chunk}{end}")
        }
    }
}

/// What an upstream sends before it closes or resets the connection.
struct Response {
    text: String,
    is_reset: bool,
}

/// Starts an upstream that responds to `/ROUTE/N` with the response of index N.
fn start_upstream(responses: Vec<Response>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let responses = Arc::new(responses);
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let responses = responses.clone();
            std::thread::spawn(move || respond(stream.unwrap(), &responses));
        }
    });
    address
}

fn respond(mut stream: TcpStream, responses: &[Response]) {
    let Some(head) = read_request(&mut stream) else { return };
    let path = String::from_utf8_lossy(head.path()).into_owned();
    let index: usize = path.rsplit('/').next().unwrap().parse().unwrap();
    let response = &responses[index];
    stream.write_all(response.text.as_bytes()).unwrap();
    if response.is_reset {
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

/// Sends a request and returns the bytes of the response, and whether the connection was closed
/// rather than reset.
fn send(daemon: SocketAddr, path: &str, headers: &str) -> (Vec<u8>, bool) {
    let mut stream = TcpStream::connect(daemon).unwrap();
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: daemon\r\nAuthorization: Bearer ferries-token\r\n\
         {headers}Content-Length: 2\r\nConnection: close\r\n\r\n{{}}"
    );
    stream.write_all(request.as_bytes()).unwrap();
    let mut response = Vec::new();
    let is_closed = stream.read_to_end(&mut response).is_ok();
    (response, is_closed)
}

/// Returns the body of a successful response, and whether it looks complete.
fn decode((response, is_closed): &(Vec<u8>, bool)) -> Option<(String, bool)> {
    let mut buf = BytesMut::from(&**response);
    let head = ResponseHead::try_parse(&mut buf, 1 << 16, false).unwrap()?;
    if head.status != 200 {
        return None;
    }
    let mut decoder = BodyDecoder::new(head.framing);
    let mut body = Vec::new();
    let is_complete = loop {
        match decoder.step(&mut buf).unwrap() {
            Step::Data(data) => body.extend_from_slice(&data),
            Step::End => break true,
            Step::NeedsMore => break *is_closed && decoder.ends_with_connection(),
        }
    };
    Some((String::from_utf8(body).unwrap(), is_complete))
}

/// Starts a daemon whose only upstream sends these responses.
fn fleet(responses: Vec<Response>) -> LocalFleet {
    let plan = UpstreamPlan {
        service: "ledger",
        version: "v1",
        engine: false,
        count: 1,
        data_centres: &sample::SALISH,
    };
    let set = sample::declarations().expect("the samples have no fault");
    let mut fleet = LocalFleet::start(&[plan]).expect("the stand-ins start");
    fleet.upstreams[0].record.address = start_upstream(responses);
    fleet.publish_hosts();
    fleet.publish(&set, "c1").expect("published");
    fleet.add_daemon("salish-a", 1).expect("the daemon starts");
    fleet.wait_ready().expect("the daemon is ready");
    fleet
}

/// Sends a request for each case and returns those whose response is not as expected.
fn failed_cases(content_type: &'static str) -> Vec<String> {
    let cases = Case::all(content_type);
    let fleet = fleet(cases.iter().map(Case::response).collect());
    let daemon = fleet.daemons[0].callers();
    let check = |(index, case): (usize, &Case)| {
        let received = decode(&send(daemon, &format!("/purchases/{index}"), ""));
        let received = received.and_then(|(body, is_complete)| is_complete.then_some(body));
        (received.as_deref() != case.expected()).then(|| format!("{case:?}: received {received:?}"))
    };
    cases.iter().enumerate().filter_map(check).collect()
}

#[test]
fn truncated_plain_response_given_a_new_length() {
    let failures = failed_cases("application/json");
    assert!(failures.is_empty(), "{failures:#?}");
}

#[test]
fn truncated_event_stream_of_a_plain_service_looks_complete() {
    let failures = failed_cases(EVENT_STREAM);
    assert!(failures.is_empty(), "{failures:#?}");
}

#[test]
fn truncated_response_replayed_for_its_idempotency_key() {
    let text = framed(Framing::Length(0), "application/json", BODY, BODY.len() - 1);
    let fleet = fleet(vec![Response { text, is_reset: false }]);
    let daemon = fleet.daemons[0].callers();
    for _ in 0..2 {
        let response = send(daemon, "/purchases/0", "Idempotency-Key: k1\r\n");
        assert_eq!(decode(&response), None);
        let text = String::from_utf8(response.0).unwrap();
        assert!(text.contains("may-have-run"), "{text}");
    }
}

#[test]
fn truncated_event_stream_ends_with_an_event_of_the_daemon() {
    // Longer than a response that is buffered until it is complete.
    let body = "id: 1\ndata: e1\n\n".repeat(40_000);
    let mut failures = Vec::new();
    let cuts: Vec<_> =
        FRAMINGS.iter().flat_map(|framing| [(*framing, false), (*framing, true)]).collect();
    let responses = cuts.iter().map(|&(framing, is_reset)| {
        let text = framed(framing, EVENT_STREAM, &body, body.len() - 3);
        Response { text, is_reset }
    });
    let fleet = fleet(responses.collect());
    for (index, cut) in cuts.iter().enumerate() {
        let response = send(fleet.daemons[0].callers(), &format!("/purchases/{index}"), "");
        let (received, is_complete) = decode(&response).expect("a response that has begun");
        if is_complete || !body.starts_with(&received) {
            let end = received.get(received.len().saturating_sub(200)..);
            failures.push(format!("{cut:?}: complete {is_complete}, ends with {end:?}"));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

#[test]
fn truncated_response_to_http_1_0_ends_like_a_complete_one() {
    let body = "x".repeat(600_000);
    let responses = [body.len() - 1, body.len()].map(|sent| {
        let text = framed(Framing::Length(0), "text/plain", &body, sent);
        Response { text, is_reset: false }
    });
    let fleet = fleet(responses.into());
    for (index, expected) in [None, Some((body.clone(), true))].into_iter().enumerate() {
        let mut stream = TcpStream::connect(fleet.daemons[0].callers()).unwrap();
        let request = format!(
            "POST /purchases/{index} HTTP/1.0\r\nAuthorization: Bearer ferries-token\r\n\
             Content-Length: 2\r\n\r\n{{}}"
        );
        stream.write_all(request.as_bytes()).unwrap();
        let mut response = Vec::new();
        let is_closed = stream.read_to_end(&mut response).is_ok();
        assert!(decode(&(response, is_closed)) == expected, "response {index}");
    }
}

// An upstream that stopped inside the head of its response was taken for a short response elsewhere.
#[test]
fn truncated_head_is_taken_for_a_whole_short_response() {
    let mut cases = Vec::new();
    for framing in FRAMINGS {
        for content_type in ["application/json", EVENT_STREAM] {
            let whole = framed(framing, content_type, "", 0);
            let cuts = (0..whole.len()).flat_map(|sent| [(sent, false), (sent, true)]);
            cases.extend(cuts.map(|(sent, is_reset)| (whole[..sent].to_owned(), is_reset)));
        }
    }
    let response =
        |(text, is_reset): &(String, bool)| Response { text: text.clone(), is_reset: *is_reset };
    let fleet = fleet(cases.iter().map(response).collect());
    let daemon = fleet.daemons[0].callers();
    for (index, case) in cases.iter().enumerate() {
        let received = send(daemon, &format!("/purchases/{index}"), "");
        assert_eq!(decode(&received), None, "{case:?}");
        let text = String::from_utf8(received.0).unwrap();
        assert!(text.contains("may-have-run"), "{case:?}: {text}");
    }
}

// MIXED of other operators: a response with status 000 was passed on to the caller, or stored as the outcome of a
// keyed call.
#[test]
fn response_with_a_status_that_http_does_not_have_is_passed_on() {
    let statuses = ["000", "099", "600", "999"];
    let responses = statuses.map(|status| {
        let whole = framed(Framing::Length(0), "application/json", "odd", 3);
        Response { text: whole.replacen("200 OK", &format!("{status} Odd"), 1), is_reset: false }
    });
    let fleet = fleet(responses.into());
    for (index, status) in statuses.iter().enumerate() {
        for headers in ["", &*format!("Idempotency-Key: k{index}\r\n")] {
            let received =
                send(fleet.daemons[0].callers(), &format!("/purchases/{index}"), headers);
            let text = String::from_utf8(received.0).unwrap();
            assert!(text.starts_with("HTTP/1.1 502 "), "{status}: {text}");
            assert!(text.contains("may-have-run"), "{status}: {text}");
        }
    }
}

/// Sends 4 MB, which no connection buffers completely, and returns the response.
fn upload(daemon: SocketAddr, path: &str) -> (Vec<u8>, bool) {
    let mut stream = TcpStream::connect(daemon).unwrap();
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: daemon\r\nAuthorization: Bearer ferries-token\r\n\
         Content-Length: 4000000\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).unwrap();
    stream.write_all(&vec![b'u'; 4_000_000]).unwrap();
    let mut response = Vec::new();
    let is_closed = stream.read_to_end(&mut response).is_ok();
    (response, is_closed)
}

/// Starts an upstream that responds to a request once its head has arrived, and resets the connection after a time.
fn start_early_upstream(response: String, pause: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    // Connections inherit the size, so that a long request waits at its sender.
    SockRef::from(&listener).set_recv_buffer_size(16 * 1024).unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, response) = (stream.unwrap(), response.clone());
            std::thread::spawn(move || {
                let mut buf = BytesMut::new();
                while RequestHead::try_parse(&mut buf, 1 << 16).unwrap().is_none() {
                    if read(&mut stream, &mut buf).is_none() {
                        return;
                    }
                }
                let _ = stream.write_all(response.as_bytes());
                sleep(pause);
                SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
            });
        }
    });
    address
}

/// Starts a daemon whose only upstream responds early and resets the connection.
fn early_fleet(response: String, pause: Duration) -> LocalFleet {
    let mut fleet = fleet(Vec::new());
    fleet.upstreams[0].record.address = start_early_upstream(response, pause);
    fleet.publish_hosts();
    let address = fleet.upstreams[0].record.address;
    while fleet.daemons[0].snapshot().hosts[0].address != address {
        sleep(Duration::from_millis(2));
    }
    fleet
}

// MIXED of other operators: a part of an early response, cut by a reset during the upload, was taken for whole.
#[test]
fn early_response_that_is_reset_during_an_upload_looks_complete() {
    for framing in FRAMINGS {
        for pause in [0, 1, 20] {
            let text = framed(framing, "application/json", BODY, BODY.len() - 1);
            let fleet = early_fleet(text, Duration::from_millis(pause));
            for _ in 0..8 {
                let response = upload(fleet.daemons[0].callers(), "/purchases/1");
                let whole = decode(&response).filter(|(_, is_complete)| *is_complete);
                assert_eq!(whole, None, "{framing:?} {pause}");
            }
        }
    }
}

// Found beside it: a refusal that was reset during the upload was not read, so that its request may have run.
#[test]
fn early_refusal_that_is_reset_during_an_upload_is_lost() {
    let refusal = "HTTP/1.1 503 Full\r\nX-Not-Run: true\r\nContent-Length: 0\r\n\r\n";
    let fleet = early_fleet(refusal.into(), Duration::from_millis(20));
    let (response, _) = upload(fleet.daemons[0].callers(), "/purchases/1");
    let text = String::from_utf8(response).unwrap();
    assert!(text.starts_with("HTTP/1.1 503 ") && text.contains("not-run"), "{text}");
}
