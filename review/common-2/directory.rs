//! Another writer leaves an entry among the servers that cannot be read; then a server leaves.

use std::{
    collections::HashMap,
    io,
    net::{Shutdown, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering::Relaxed},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Record,
    client::{Clients, End, Request, run_client},
    gateway::{Gateway, Machine},
    http::Conn,
    platform::{Store, serve, start_cloud},
    say,
};

const SERVERS: usize = 3;
const CLIENTS: usize = 6;
/// `drainMs` of the sheet.
const DRAIN: Duration = Duration::from_millis(2000);
/// A leaving server serves for the drain time "and a little longer".
const LONGER: Duration = Duration::from_millis(1500);
const WORK: Duration = Duration::from_millis(100);
const CALM_TIME: Duration = Duration::from_secs(4);

pub fn config() -> String {
    "{\"version\":7,\"routes\":[{\"name\":\"post\",\"host\":\"desk.example\",\"pathPrefix\":\"/post/\",\"routeKind\":\"non_idempotent\",\"timeoutMs\":1000,\"targetLatencyMs\":150,\"priority\":2,\"maxAttempts\":1,\"service\":\"ledger\"}],\"services\":[{\"name\":\"ledger\",\"healthPath\":\"/healthz\",\"maxConnections\":100}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"desk\",\"apiKeys\":[\"key-desk\"]}]}".into()
}

/// A server that can leave.
#[derive(Default)]
pub struct Server {
    /// Whether its answers say that it leaves.
    pub says_leaving: AtomicBool,
    /// When it first answered so.
    pub said_leaving: Mutex<Option<Instant>>,
    has_left: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    /// When requests arrived.
    pub runs: Mutex<HashMap<String, Instant>>,
}

impl Server {
    pub fn run(&self, mut conn: Conn, name: &str, record: &Record) -> io::Result<()> {
        self.connections.lock().unwrap().push(conn.stream.try_clone()?);
        while let Some(head) = conn.head()? {
            conn.body(&head).1?;
            if self.has_left.load(Relaxed) {
                return Ok(());
            }
            let id = head.get("attempt-id").unwrap_or("").to_owned();
            record.line(&format!("{name} runs {id}"));
            self.runs.lock().unwrap().insert(id.clone(), Instant::now());
            thread::sleep(WORK);
            let leaving =
                if self.says_leaving.load(Relaxed) { "Server-Leaving: 1\r\n" } else { "" };
            let headers = format!(
                "Attempt-Id: {id}\r\nResponse-Signature: sig.{id}\r\nKeep-Alive: timeout=5\r\n{leaving}"
            );
            conn.respond(200, &headers, "done")?;
            if !leaving.is_empty() {
                self.said_leaving.lock().unwrap().get_or_insert(Instant::now());
            }
        }
        Ok(())
    }

    /// Ends the server.
    pub fn leave(&self) {
        self.has_left.store(true, Relaxed);
        for connection in self.connections.lock().unwrap().iter() {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }
}

pub fn run(record: &'static Record, trouble: bool) -> Result<String, String> {
    let store = Store::default();
    let address = store.start().map_err(|error| error.to_string())?;
    let mut servers = Vec::new();
    let mut entries = Vec::new();
    for number in 0..SERVERS {
        let server: &'static Server = Box::leak(Box::default());
        let name: &'static str = Box::leak(format!("i-{number}").into_boxed_str());
        let address =
            serve(move |conn| server.run(conn, name, record)).map_err(|e| e.to_string())?;
        let zone = ["kandy-a", "nuwara-b", "badulla-c"][number % 3];
        let entry = move |state: &str, sequence: u64| {
            format!(
                "{{\"service\":\"ledger\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":6,\"state\":\"{state}\",\"warmupLeftMs\":0,\"sequence\":{sequence},\"born\":1}}"
            )
        };
        store.put("servers", name, entry("ready", 1));
        servers.push(server);
        entries.push(entry);
    }
    store.put("config", "main", config());
    let cloud = start_cloud().map_err(|error| error.to_string())?;
    let machine =
        Machine { name: "edge-kandy-a-1", zone: "kandy-a", store: address, cloud, bootstrap: true };
    let gateway = Gateway::start(record, &machine)?;
    let clients = Arc::new(Clients {
        record,
        gateway: gateway.callers,
        sent: Mutex::default(),
        is_over: AtomicBool::new(false),
    });
    let end = Instant::now() + CALM_TIME * 2 + DRAIN + LONGER + Duration::from_secs(1);
    let request = Request { key: "key-desk", path: "/post/", length: 600, deadline_ms: 1000 };
    let start = |number: usize| {
        let clients = clients.clone();
        thread::spawn(move || run_client(&clients, number, request, end))
    };
    let threads: Vec<_> = (0..CLIENTS).map(start).collect();
    thread::sleep(CALM_TIME);
    if trouble {
        // A tab inside a string is no JSON.
        store.put(
            "servers",
            "x-other",
            "{\"service\":\"ledger\",\"note\":\"left\tby another tool\"}".into(),
        );
        record.line("another writer leaves an entry that cannot be read");
    }
    thread::sleep(Duration::from_secs(1));
    store.put("servers", "i-0", entries[0]("draining", 2));
    let acknowledged = Instant::now();
    record.line("the store accepts that i-0 is draining");
    thread::sleep(DRAIN + LONGER);
    servers[0].leave();
    store.remove("servers", "i-0");
    record.line("i-0 has left");
    for thread in threads {
        let _ = thread.join();
    }
    let (sent, runs) = (clients.sent.lock().unwrap(), servers[0].runs.lock().unwrap());
    let late = runs.values().filter(|at| **at > acknowledged + DRAIN).count();
    let lost =
        sent.iter().filter(|sent| runs.contains_key(&sent.id) && sent.end != End::Answered(200));
    let lost = lost.count();
    let served = sent.iter().filter(|sent| sent.end == End::Answered(200)).count();
    let failed = sent.len() - served;
    let summary = format!(
        "{} requests, {served} served, {failed} not; {late} reached i-0 later than drainMs after it reported to be draining; {lost} that i-0 ran got no answer of it",
        sent.len()
    );
    record.line(&summary);
    say(&summary);
    if gateway.has_ended() || served < 50 {
        return Err("too few requests were served".into());
    }
    Ok(if late > 0 { format!("DRAIN: {late} requests") } else { String::new() })
}
