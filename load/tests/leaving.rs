//! Upstreams that say in their responses to a daemon that they leave.

use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering::Relaxed},
    },
    thread::sleep,
    time::{Duration, Instant},
};

use dogwoodturn::upstream::HostState;
use dogwoodturn_load::{
    local::{LocalFleet, UpstreamPlan},
    sample,
};

/// Time within which all daemons must know, which is that for which leaving upstreams still serve.
const DRAIN_TIME: Duration = Duration::from_secs(2);
const REQUESTS: usize = 20;

/// Starts an upstream whose responses have this header line, and returns the number of requests it has got.
fn start_upstream(header: &'static str) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let count = Arc::new(AtomicUsize::new(0));
    let counted = count.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, counted) = (stream.unwrap(), counted.clone());
            std::thread::spawn(move || {
                let mut request = Vec::new();
                let mut bytes = [0; 4096];
                // Each request has a body of two bytes.
                while !request.ends_with(b"{}") {
                    match stream.read(&mut bytes) {
                        Ok(length) if length > 0 => request.extend_from_slice(&bytes[..length]),
                        _ => return,
                    }
                }
                counted.fetch_add(1, Relaxed);
                let _ = stream.write_all(
                    format!("HTTP/1.1 200 OK\r\n{header}Content-Length: 4\r\nConnection: close\r\n\r\ndone")
                        .as_bytes(),
                );
            });
        }
    });
    (address, count)
}

fn send(daemon: SocketAddr) -> String {
    let mut stream = TcpStream::connect(daemon).unwrap();
    let request = "POST /purchases/1 HTTP/1.1\r\nHost: daemon\r\nAuthorization: Bearer ferries-token\r\n\
                   Content-Length: 2\r\nConnection: close\r\n\r\n{}";
    stream.write_all(request.as_bytes()).unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).unwrap();
    response
}

/// Starts two daemons before two upstreams, the first of which sends this header line.
fn fleet(header: &'static str) -> (LocalFleet, [Arc<AtomicUsize>; 2]) {
    let plan = UpstreamPlan {
        service: "ledger",
        version: "v1",
        engine: false,
        count: 2,
        data_centres: &sample::SALISH,
    };
    let set = sample::declarations().expect("the samples have no fault");
    let mut fleet = LocalFleet::start(&[plan]).expect("the stand-ins start");
    let (first, second) = (start_upstream(header), start_upstream(""));
    fleet.upstreams[0].record.address = first.0;
    fleet.upstreams[1].record.address = second.0;
    fleet.publish_hosts();
    fleet.publish(&set, "c1").expect("published");
    for _ in 0..2 {
        fleet.add_daemon(sample::SALISH[0], 1).expect("the daemon starts");
    }
    fleet.wait_ready().expect("the daemons are ready");
    (fleet, [first.1, second.1])
}

/// Reports how many daemons know that an upstream is leaving.
fn count_informed(fleet: &LocalFleet) -> usize {
    let is_leaving = |state| matches!(state, HostState::Leaving { .. });
    let knows = |daemon: &&dogwoodturn_daemon::Daemon| {
        daemon.snapshot().hosts.iter().any(|host| is_leaving(host.state))
    };
    fleet.daemons.iter().filter(knows).count()
}

// The daemon's part of review/9: only the host list and the cloud said which upstreams leave.
#[test]
fn upstream_that_says_it_leaves_gets_more_requests() {
    let (fleet, [leaving, other]) = fleet("X-Leaving-Ms: 60000\r\n");
    while leaving.load(Relaxed) == 0 {
        send(fleet.daemons[0].callers());
    }
    let told = Instant::now();
    while count_informed(&fleet) < 2 {
        assert!(told.elapsed() < DRAIN_TIME, "{} daemons know", count_informed(&fleet));
        sleep(Duration::from_millis(5));
    }
    let before = (leaving.load(Relaxed), other.load(Relaxed));
    for daemon in &fleet.daemons {
        for _ in 0..REQUESTS {
            let response = send(daemon.callers());
            assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
        }
    }
    assert_eq!(leaving.load(Relaxed), before.0);
    assert_eq!(other.load(Relaxed), before.1 + 2 * REQUESTS);
}

#[test]
fn upstream_is_avoided_for_an_odd_statement() {
    for header in [
        "X-Leaving-Ms: \r\n",
        "X-Leaving-Ms: soon\r\n",
        "X-Leaving-Ms: -1\r\n",
        "X-Leaving-Ms: 1.5\r\n",
        "X-Leaving-Ms: 99999999999999999999999\r\n",
    ] {
        let (fleet, [leaving, _]) = fleet(header);
        while leaving.load(Relaxed) == 0 {
            send(fleet.daemons[0].callers());
        }
        sleep(Duration::from_millis(100));
        assert_eq!(count_informed(&fleet), 0, "{header}");
    }
}
