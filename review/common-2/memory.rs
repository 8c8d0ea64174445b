//! One tenant sends many times its usual number of long bodies in chunks; the platform kills a process
//! that exceeds its memory.

use std::{
    collections::HashMap,
    io,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering::Relaxed},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Record,
    client::{Clients, End, Request, Sent, run_client},
    gateway::{Gateway, Machine},
    http::Conn,
    platform::{Store, serve, start_cloud},
    say,
};

/// `memoryMb` of the machines of both first sites.
const MEMORY_MB: u64 = 260;
/// `maxBodyBytes` of the configuration.
const MAX_BODY_BYTES: usize = 4_194_304;
/// The length of the tenant's bodies.
const BODY_BYTES: usize = 4_000_000;
/// Requests that the tenant usually has in progress at this machine.
const USUAL_UPLOADS: usize = 6;
/// `hot_tenant` of the site: 7.5 times the usual, for 6.5 s.
const HOT_FACTOR: f64 = 7.5;
const HOT_TIME: Duration = Duration::from_millis(6500);
/// Requests of another tenant, which go on all the while.
const POSTS: usize = 12;
const USUAL_TIME: Duration = Duration::from_secs(4);
/// The rule bears this many requests from kept connections that end without an answer.
const LOST_ALLOWANCE: usize = 3;

const SERVERS: usize = 3;
const SLOTS: u32 = 64;
const UPLOAD_WORK: Duration = Duration::from_millis(400);
const POST_WORK: Duration = Duration::from_millis(60);

fn config() -> String {
    let route = |name: &str, prefix: &str, timeout: u32| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"desk.example\",\"pathPrefix\":\"{prefix}\",\"routeKind\":\"non_idempotent\",\"timeoutMs\":{timeout},\"targetLatencyMs\":{timeout},\"priority\":1,\"maxAttempts\":1,\"service\":\"ledger\"}}"
        )
    };
    format!(
        "{{\"version\":7,\"routes\":[{},{}],\"services\":[{{\"name\":\"ledger\",\"healthPath\":\"/healthz\",\"maxConnections\":200}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":{MAX_BODY_BYTES},\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"hot\",\"apiKeys\":[\"key-hot\"]}},{{\"name\":\"other\",\"apiKeys\":[\"key-other\"]}}]}}",
        route("upload", "/up/", 4000),
        route("post", "/post/", 1000),
    )
}

/// What servers ran.
type Runs = Arc<Mutex<HashMap<String, u32>>>;

/// A sound server: it reads a whole request, works on it and answers.
fn run_server(mut conn: Conn, runs: &Runs, record: &Record) -> io::Result<()> {
    while let Some(head) = conn.head()? {
        let (body, result) = conn.body(&head);
        result?;
        let id = head.get("attempt-id").unwrap_or("").to_owned();
        record.line(&format!("server runs {id} {} with {} bytes", head.first[1], body.len()));
        *runs.lock().unwrap().entry(id.clone()).or_default() += 1;
        thread::sleep(if head.first[1].starts_with("/up/") { UPLOAD_WORK } else { POST_WORK });
        let headers = format!(
            "Attempt-Id: {id}\r\nResponse-Signature: sig.{id}\r\nKeep-Alive: timeout=5\r\n"
        );
        conn.respond(200, &headers, "done")?;
    }
    Ok(())
}

pub fn run(record: &'static Record, trouble: bool) -> Result<String, String> {
    let store = Store::default();
    let address = store.start().map_err(|error| error.to_string())?;
    let runs = Runs::default();
    for number in 0..SERVERS {
        let runs = runs.clone();
        let server =
            serve(move |conn| run_server(conn, &runs, record)).map_err(|e| e.to_string())?;
        let zone = ["kandy-a", "nuwara-b", "badulla-c"][number % 3];
        store.put("servers", &format!("i-{number}"), format!(
            "{{\"service\":\"ledger\",\"address\":\"{server}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":{SLOTS},\"state\":\"ready\",\"warmupLeftMs\":0,\"sequence\":1,\"born\":1}}"
        ));
    }
    store.put("config", "main", config());
    let cloud = start_cloud().map_err(|error| error.to_string())?;
    let machine =
        Machine { name: "edge-kandy-a-1", zone: "kandy-a", store: address, cloud, bootstrap: true };
    let gateway = Gateway::start(record, &machine)?;
    let world = Arc::new(Clients {
        record,
        gateway: gateway.callers,
        sent: Mutex::default(),
        is_over: AtomicBool::new(false),
    });
    let mut peak = 0;
    let began = Instant::now();
    let end = began + USUAL_TIME * 2 + HOT_TIME;
    let mut clients = Vec::new();
    let mut start = |number: usize, key, path, length, until| {
        let world = world.clone();
        let request = Request { key, path, length, deadline_ms: 4000 };
        clients.push(thread::spawn(move || run_client(&world, number, request, until)));
    };
    for number in 0..POSTS {
        start(number, "key-other", "/post/", 600, end);
    }
    for number in 0..USUAL_UPLOADS {
        start(100 + number, "key-hot", "/up/", BODY_BYTES, end);
    }
    let hot = if trouble { (USUAL_UPLOADS as f64 * HOT_FACTOR) as usize } else { USUAL_UPLOADS };
    let (mut is_hot, mut killed) = (false, None);
    while Instant::now() < end {
        if !is_hot && began.elapsed() >= USUAL_TIME {
            is_hot = true;
            record.line(&format!("the tenant now has {hot} requests in progress"));
            for number in USUAL_UPLOADS..hot {
                start(100 + number, "key-hot", "/up/", BODY_BYTES, Instant::now() + HOT_TIME);
            }
        }
        let Some(memory) = Gateway::memory(gateway.id()).filter(|_| !gateway.has_ended()) else {
            record.line("the process has ended by itself");
            killed = Some(0);
            break;
        };
        peak = peak.max(memory);
        if memory > MEMORY_MB * 1_000_000 {
            record.line(&format!("the platform kills the process at {} MB", memory / 1_000_000));
            gateway.kill();
            killed = Some(memory / 1_000_000);
            thread::sleep(Duration::from_millis(500));
            break;
        }
        thread::sleep(Duration::from_millis(10));
    }
    world.is_over.store(true, Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let (sent, runs) = (world.sent.lock().unwrap(), runs.lock().unwrap());
    let lost =
        |sent: &&Sent| sent.is_kept && sent.end == End::NoAnswer && runs.contains_key(&sent.id);
    let lost = sent.iter().filter(lost).count();
    let served = sent.iter().filter(|sent| sent.end == End::Answered(200)).count();
    let refused = sent.iter().filter(|sent| sent.end == End::Answered(503)).count();
    let summary = format!(
        "{} requests, {served} served, {refused} refused with 503; most memory {} MB; {lost} requests of kept connections were run by a sound server and their connections ended without an answer",
        sent.len(),
        peak / 1_000_000,
    );
    record.line(&summary);
    say(&summary);
    if served < 20 {
        return Err("too few requests were served".into());
    }
    Ok(match killed {
        Some(at) if lost > LOST_ALLOWANCE => format!("LOST: {lost} requests, killed at {at} MB"),
        _ => String::new(),
    })
}
