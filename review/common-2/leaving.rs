//! A machine is cut off from the store while a server leaves and says so in its answers.

use std::{
    sync::{Arc, Mutex, atomic::AtomicBool, atomic::Ordering::Relaxed},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Record,
    client::{Clients, End, Request, run_client},
    directory::{Server, config},
    gateway::{Gateway, Machine},
    platform::{Store, serve, start_cloud},
    say,
};

const SERVERS: usize = 3;
/// The server that leaves.
const LEAVING: usize = 1;
const CLIENTS: usize = 6;
/// `drainMs` of the sheet.
const DRAIN: Duration = Duration::from_millis(2000);
/// What is on its way when the drain time ends.
const ON_THE_WAY: Duration = Duration::from_millis(200);
/// A leaving server serves for the drain time "and a little longer".
const LONGER: Duration = Duration::from_millis(1500);
/// `core_cut` of the site lasts for 5.5 s.
const CUT: Duration = Duration::from_millis(5500);
const CALM_TIME: Duration = Duration::from_secs(4);

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
    let end = Instant::now() + CALM_TIME * 2 + CUT;
    let request = Request { key: "key-desk", path: "/post/", length: 600, deadline_ms: 1000 };
    let start = |number: usize| {
        let clients = clients.clone();
        thread::spawn(move || run_client(&clients, number, request, end))
    };
    let threads: Vec<_> = (0..CLIENTS).map(start).collect();
    thread::sleep(CALM_TIME);
    let began = Instant::now();
    store.set_cut(trouble);
    if trouble {
        record.line("the machine is cut off from the store");
    }
    thread::sleep(Duration::from_millis(200));
    servers[LEAVING].says_leaving.store(true, Relaxed);
    store.put("servers", "i-1", entries[LEAVING]("draining", 2));
    record
        .line("the store accepts that i-1 is draining; from now on its answers say that it leaves");
    thread::sleep(DRAIN + LONGER);
    servers[LEAVING].leave();
    store.remove("servers", "i-1");
    record.line("i-1 has left");
    thread::sleep(CUT.saturating_sub(began.elapsed()));
    store.set_cut(false);
    record.line("the cut has ended");
    for thread in threads {
        let _ = thread.join();
    }
    let (sent, runs) = (clients.sent.lock().unwrap(), servers[LEAVING].runs.lock().unwrap());
    let said = *servers[LEAVING].said_leaving.lock().unwrap();
    let is_late = |at: &&Instant| said.is_some_and(|said| **at > said + DRAIN + ON_THE_WAY);
    let late = runs.values().filter(is_late).count();
    let lost =
        sent.iter().filter(|sent| runs.contains_key(&sent.id) && sent.end != End::Answered(200));
    let lost = lost.count();
    let served = sent.iter().filter(|sent| sent.end == End::Answered(200)).count();
    let failed = sent.len() - served;
    let summary = format!(
        "{} requests, {served} served, {failed} not; {late} reached i-1 later than drainMs after an answer had said that it leaves; {lost} that i-1 ran got no answer of it",
        sent.len()
    );
    record.line(&summary);
    say(&summary);
    if gateway.has_ended() || served < 50 {
        return Err("too few requests were served".into());
    }
    Ok(if late > 0 { format!("DRAIN: {late} requests") } else { String::new() })
}
