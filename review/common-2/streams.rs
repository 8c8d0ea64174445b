//! Some servers stand still in the middle of a stream without length, go on with a part of an event and
//! end the connection there, while the gateway resumes the stream at another server.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering::Relaxed},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Random, Record,
    gateway::{Gateway, Machine},
    http::Conn,
    platform::{Store, serve, start_cloud},
    say,
};

const SERVERS: usize = 15;
/// Two of 15 servers are within the share of `srv_grey`, 0.14.
const GREY_SERVERS: usize = 2;
/// The share of their requests that grey servers fail, 45 in 100 as in the site.
const GREY_PERCENT: u64 = 45;
/// `srv_grey` of the site lasts for 6.5 s.
const GREY_TIME: Duration = Duration::from_millis(6500);
const CALM_TIME: Duration = Duration::from_secs(3);
const CLIENTS: usize = 40;
const EVENTS: u64 = 6;
/// Events that a grey server sends before it stands still.
const EVENTS_BEFORE: u64 = 3;
/// How long a grey server stands still; clients wait two seconds for the next event.
const STANDSTILL_MS: (u64, u64) = (1150, 1450);
/// Time to the first token.
const FIRST_MS: (u64, u64) = (90, 130);
const GAP: Duration = Duration::from_millis(15);

fn config() -> String {
    "{\"version\":7,\"routes\":[{\"name\":\"grade-query\",\"host\":\"desk.example\",\"pathPrefix\":\"/grade/\",\"routeKind\":\"streaming\",\"streamResumption\":true,\"sessionAffinity\":true,\"timeoutMs\":2500,\"targetLatencyMs\":500,\"targetGapMs\":400,\"priority\":0,\"maxAttempts\":2,\"service\":\"appraiser-llm\"}],\"services\":[{\"name\":\"appraiser-llm\",\"healthPath\":\"/healthz\",\"maxConnections\":230,\"backend\":{\"slots\":32,\"kvCapacity\":444000}}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"desk\",\"apiKeys\":[\"key-desk\"]}]}".into()
}

/// Runs one request: a stream of numbered events whose end is that of the connection.
fn run_server(
    mut conn: Conn,
    name: &str,
    number: usize,
    is_grey: &AtomicBool,
    record: &Record,
) -> io::Result<()> {
    let Some(head) = conn.head()? else { return Ok(()) };
    conn.body(&head).1?;
    let mut random = Random::new(number as u64 + 77);
    let id = head.get("attempt-id").unwrap_or("").to_owned();
    let after = head.number("last-event-id").unwrap_or(0);
    record.line(&format!("{name} gets {id}, events after {after}"));
    thread::sleep(random.millis(FIRST_MS.0, FIRST_MS.1));
    let fails = number < GREY_SERVERS && is_grey.load(Relaxed) && random.below(100) < GREY_PERCENT;
    let start = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: {id}\r\nResponse-Signature: sig.{name}.{id}\r\nConnection: close\r\n\r\n"
    );
    conn.write(start.as_bytes())?;
    for event in after + 1..=EVENTS {
        if fails && event == EVENTS_BEFORE + 1 {
            let pause = random.millis(STANDSTILL_MS.0, STANDSTILL_MS.1);
            record.line(&format!("{name} stands still in {id} for {} ms", pause.as_millis()));
            thread::sleep(pause);
            let result = conn.write(format!("id: {event}\ndata: {id} pie").as_bytes());
            record.line(&format!("{name} ends {id} in the middle of event {event}: {result:?}"));
            return result;
        }
        conn.write(format!("id: {event}\ndata: {id} piece {event}\n\n").as_bytes())?;
        thread::sleep(GAP);
    }
    record.line(&format!("{name} has completed {id}"));
    Ok(())
}

#[derive(Default)]
struct Counts {
    sent: usize,
    whole: usize,
    cut: usize,
    other: usize,
    /// Streams that ended as complete without their last events.
    short: Vec<String>,
    /// Streams with pieces missing, twice or foreign.
    disordered: Vec<String>,
}

fn run_client(
    gateway: SocketAddr,
    number: usize,
    until: Instant,
    counts: &Mutex<Counts>,
    record: &Record,
) {
    let mut random = Random::new(number as u64 + 1000);
    while Instant::now() < until {
        let id = random.id();
        let request = format!(
            "POST /grade/{number} HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: 2500\r\nAuthorization: Bearer key-desk\r\nModel: m\r\nToken-Usage: 900,40\r\nPrefix-Hash: {:x}:300,{id}:600\r\nContent-Length: 4\r\n\r\nbody",
            random.below(40)
        );
        let exchange = || -> io::Result<(u16, Vec<u8>, bool)> {
            let mut conn = Conn::open(gateway)?;
            conn.stream.set_read_timeout(Some(Duration::from_secs(3)))?;
            conn.write(request.as_bytes())?;
            let head = conn.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
            let (body, result) = conn.body(&head);
            Ok((head.status(), body, result.is_ok()))
        };
        let result = exchange();
        let mut counts = counts.lock().unwrap();
        counts.sent += 1;
        match result {
            Ok((200, body, is_complete)) => {
                let text = String::from_utf8_lossy(&body);
                let ids: Vec<u64> = text
                    .lines()
                    .filter_map(|line| line.strip_prefix("id: ")?.parse().ok())
                    .collect();
                let expected: String = (1..=ids.len() as u64)
                    .map(|event| format!("id: {event}\ndata: {id} piece {event}\n\n"))
                    .collect();
                record.line(&format!("client got events {ids:?} of {id}, complete: {is_complete}"));
                if is_complete && text != expected {
                    counts.disordered.push(id);
                } else if is_complete && ids.len() as u64 == EVENTS {
                    counts.whole += 1;
                } else if is_complete {
                    counts.short.push(id);
                } else {
                    counts.cut += 1;
                }
            }
            other => {
                record.line(&format!("client got {:?} for {id}", other.map(|(status, ..)| status)));
                counts.other += 1;
            }
        }
        drop(counts);
        thread::sleep(random.millis(50, 350));
    }
}

pub fn run(record: &'static Record, trouble: bool) -> Result<String, String> {
    let store = Store::default();
    let address = store.start().map_err(|error| error.to_string())?;
    let is_grey = Arc::new(AtomicBool::new(false));
    for number in 0..SERVERS {
        let name: &'static str = Box::leak(format!("i-{number}").into_boxed_str());
        let grey = is_grey.clone();
        let server = serve(move |conn| run_server(conn, name, number, &grey, record));
        let server = server.map_err(|error| error.to_string())?;
        let zone = ["kandy-a", "nuwara-b", "badulla-c"][number % 3];
        store.put("servers", name, format!(
            "{{\"service\":\"appraiser-llm\",\"address\":\"{server}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":32,\"state\":\"ready\",\"warmupLeftMs\":0,\"sequence\":1,\"born\":1}}"
        ));
    }
    store.put("config", "main", config());
    let cloud = start_cloud().map_err(|error| error.to_string())?;
    let machine =
        Machine { name: "edge-kandy-a-1", zone: "kandy-a", store: address, cloud, bootstrap: true };
    let gateway = Gateway::start(record, &machine)?;
    let counts: &'static Mutex<Counts> = Box::leak(Box::default());
    let began = Instant::now();
    let until = began + CALM_TIME * 2 + GREY_TIME;
    let callers = gateway.callers;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| thread::spawn(move || run_client(callers, number, until, counts, record)))
        .collect();
    thread::sleep(CALM_TIME);
    is_grey.store(trouble, Relaxed);
    record.line("servers are grey from now on");
    thread::sleep(GREY_TIME);
    is_grey.store(false, Relaxed);
    record.line("servers are sound from now on");
    for client in clients {
        let _ = client.join();
    }
    let has_ended = gateway.has_ended();
    let counts = counts.lock().unwrap();
    let summary = format!(
        "{} streams: {} whole, {} cut visibly, {} other answers; {} ended as complete before their last piece; {} with wrong pieces",
        counts.sent,
        counts.whole,
        counts.cut,
        counts.other,
        counts.short.len(),
        counts.disordered.len()
    );
    record.line(&summary);
    say(&summary);
    if has_ended {
        return Err("the gateway has ended".into());
    }
    if counts.whole < 100 {
        return Err("too few streams were served".into());
    }
    if counts.short.is_empty() && counts.disordered.is_empty() {
        return Ok(String::new());
    }
    Ok(format!(
        "ORDER: complete before the last piece: {:?}, wrong pieces: {:?}",
        counts.short, counts.disordered
    ))
}
