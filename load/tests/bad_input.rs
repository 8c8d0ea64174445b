//! Invalid input to a daemon gets a problem document that reports that the request did not run.

use std::{
    io::{Read as _, Write as _},
    net::TcpStream,
    time::Duration,
};

use dogwoodturn_load::{
    local::{LocalFleet, Standin, UpstreamPlan},
    sample,
};
use serde_json::Value;

const AUTH: &str = "authorization: Bearer ferries-token";
/// Limit for reading a response, so that a missing one fails the test instead of hanging it.
const TIMEOUT: Duration = Duration::from_secs(60);

fn fleet() -> LocalFleet {
    let plan = UpstreamPlan {
        service: "lantern",
        version: "v1",
        engine: true,
        count: 1,
        data_centres: &sample::SALISH,
    };
    let mut fleet = LocalFleet::start(&[plan]).expect("the stand-ins start");
    let set = sample::declarations().expect("the samples have no fault");
    fleet.publish(&set, "c1").expect("published");
    fleet.add_daemon("salish-a", 1).expect("the daemon starts");
    fleet.wait_ready().expect("the daemon is ready");
    fleet
}

/// Sends bytes unchanged and returns the status code and the problem document.
fn send_raw(fleet: &LocalFleet, head: &str, body: &[u8]) -> (u16, Value) {
    let mut stream = TcpStream::connect(fleet.daemons[0].callers()).expect("connected");
    stream.set_read_timeout(Some(TIMEOUT)).expect("a timeout");
    stream.write_all(head.as_bytes()).expect("the head is sent");
    // The daemon may respond and close the connection before it has read the whole body.
    let _ = stream.write_all(body);
    let mut response = Vec::new();
    let mut buf = [0; 4096];
    while !is_complete(&response) {
        match stream.read(&mut buf) {
            Ok(0) | Err(_) => break,
            Ok(count) => response.extend_from_slice(&buf[..count]),
        }
    }
    let text = String::from_utf8_lossy(&response).into_owned();
    let status = text.split(' ').nth(1).and_then(|code| code.parse().ok()).expect("a status");
    let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    (status, serde_json::from_str(body).unwrap_or_default())
}

fn is_complete(response: &[u8]) -> bool {
    let text = String::from_utf8_lossy(response);
    let Some((head, body)) = text.split_once("\r\n\r\n") else { return false };
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse::<usize>().ok())?
    });
    length.is_some_and(|length| body.len() >= length)
}

fn post(path: &str, length: usize) -> String {
    format!("POST {path} HTTP/1.1\r\nhost: x\r\n{AUTH}\r\ncontent-length: {length}\r\n\r\n")
}

fn generated(fleet: &LocalFleet) -> u64 {
    match &fleet.upstreams[0].standin {
        Standin::Engine(engine) => engine.generated_tokens(),
        Standin::Plain(_) => 0,
    }
}

#[test]
fn input_malformed_completion_is_not_run() {
    let fleet = fleet();
    let body = b"{\"prompt\": 7";
    let (status, problem) = send_raw(&fleet, &post("/phrases/v1/completions", body.len()), body);
    assert_eq!((status, &problem["outcome"]), (400, &"not-run".into()));
    assert_eq!(generated(&fleet), 0);
}

#[test]
fn input_malformed_head_is_refused() {
    let fleet = fleet();
    let (status, _) = send_raw(&fleet, "NONSENSE\r\n\r\n", b"");
    assert_eq!(status, 400);
}

#[test]
fn input_oversized_body_is_not_run() {
    let fleet = fleet();
    let body = vec![b' '; 5 << 20];
    let (status, problem) = send_raw(&fleet, &post("/phrases/v1/completions", body.len()), &body);
    assert_eq!((status, &problem["outcome"]), (413, &"not-run".into()));
    assert_eq!(generated(&fleet), 0);
}

#[test]
fn input_slow_body_is_not_run() {
    let fleet = fleet();
    let (status, problem) =
        send_raw(&fleet, &post("/phrases/v1/completions", 100), b"{\"prompt\":");
    assert_eq!((status, &problem["outcome"]), (408, &"not-run".into()));
    assert_eq!(generated(&fleet), 0);
}

#[test]
fn input_unknown_route_and_customer_are_not_run() {
    let fleet = fleet();
    let (status, problem) = send_raw(&fleet, &post("/nowhere", 2), b"{}");
    assert_eq!((status, &problem["outcome"]), (404, &"not-run".into()));
    let stranger = post("/phrases/v1/completions", 2).replace("ferries", "nobody");
    let (status, problem) = send_raw(&fleet, &stranger, b"{}");
    assert_eq!((status, &problem["outcome"]), (401, &"not-run".into()));
}
