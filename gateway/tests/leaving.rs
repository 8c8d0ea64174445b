//! Upstreams that say in their responses that they leave.

mod support;

use std::{cell::Cell, collections::HashSet, rc::Rc, time::Duration};

use dogwoodturn::{ids::ServiceName, units::Time};
use dogwoodturn_gateway::{
    directory::Directory,
    leaving::{LeavingStatements, Source, StatementWire},
    peers::Datagram,
    store::UpstreamRecord,
};
use rand::{RngExt as _, SeedableRng as _};
use support::{
    ReceivedRequest, TestGateway, Upstream, UpstreamAction, complete_body, events,
    exchange_messages, get, introduce, ok, record,
};

/// Requests that are sent after the statement, of each kind.
const REQUESTS: usize = 12;
const PATHS: [&str; 4] = ["/book/1", "/look/1", "/render/1", "/build/1"];

fn is_stream(received: &ReceivedRequest) -> bool {
    let path = received.head.path();
    path.starts_with(b"/render/") || path.starts_with(b"/build/")
}

fn respond(received: &ReceivedRequest, header: &str) -> UpstreamAction {
    let text = if is_stream(received) { events([1, 2]) + "0\r\n\r\n" } else { ok("done") };
    UpstreamAction::Write(text.replacen("X-Id:", &format!("{header}X-Id:"), 1))
}

/// An upstream whose responses have this header line.
fn saying(header: &'static str) -> Upstream {
    Upstream::start(move |received| respond(received, header))
}

/// Sends requests of all kinds until an upstream has got one, at most [`REQUESTS`] of each.
async fn send_until(gateway: &TestGateway, upstream: &Upstream) {
    for number in 0..REQUESTS {
        for path in PATHS {
            if upstream.count() > 0 {
                return;
            }
            gateway.exchange(&get(path, &format!("until{number}"))).await;
        }
    }
    panic!("the upstream got no request");
}

/// Sends requests of all kinds, on new connections and kept ones, and returns how many were served.
async fn send_all(gateway: &TestGateway) -> usize {
    let mut served = 0;
    for number in 0..REQUESTS {
        for path in PATHS {
            let response = gateway.exchange(&get(path, &format!("a{number}"))).await;
            served += usize::from(complete_body(&response).is_some());
        }
    }
    served
}

// DRAIN of review/9: only the store and the peers said which upstreams leave.
#[actix_rt::test]
async fn upstream_that_says_it_leaves_gets_more_requests() {
    for header in ["X-Leaving: 1\r\n", "x-leaving:  1 \r\n", "X-Leaving: 1, 1\r\n"] {
        let (leaving, other) = (saying(header), saying(""));
        let gateway = TestGateway::start(&[&leaving, &other]).await;
        send_until(&gateway, &leaving).await;
        assert_eq!(send_all(&gateway).await, REQUESTS * PATHS.len(), "{header}");
        assert_eq!(leaving.count(), 1, "{header}");
    }
}

#[actix_rt::test]
async fn upstream_whose_failures_say_that_it_leaves_gets_more_requests() {
    for status in
        ["503 Full\r\nX-Not-Run: 1", "500 Failed", "404 Not Found", "200 OK\r\nX-Short: 1"]
    {
        let text = format!(
            "HTTP/1.1 {status}\r\nX-Leaving: 1\r\nX-Id: {{id}}\r\nContent-Length: 9\r\n\r\nfor a part"
        );
        // The body is cut.
        let text = text[..text.len() - 4].to_owned();
        let leaving = Upstream::start(move |_| UpstreamAction::WriteAndClose(text.clone()));
        let other = saying("");
        let gateway = TestGateway::start(&[&leaving, &other]).await;
        send_until(&gateway, &leaving).await;
        assert_eq!(send_all(&gateway).await, REQUESTS * PATHS.len(), "{status}");
        assert_eq!(leaving.count(), 1, "{status}");
    }
}

#[actix_rt::test]
async fn upstream_is_avoided_for_an_odd_statement() {
    let odd = [
        "X-Leaving: 0\r\n",
        "X-Leaving:\r\n",
        "X-Leaving: 11\r\n",
        "X-Leaving: 1x\r\n",
        "X-Leaving: true\r\n",
        "X-Leaving: -1\r\n",
        "X-Leaving: 1.0\r\n",
        "X-Leaving-Soon: 1\r\n",
    ];
    for header in odd {
        let upstream = saying(header);
        let gateway = TestGateway::start(&[&upstream]).await;
        assert_eq!(send_all(&gateway).await, REQUESTS * PATHS.len(), "{header}");
    }
}

// A host that has got the address of another responds with 421, and says nothing about the other.
#[actix_rt::test]
async fn upstream_is_avoided_for_what_another_one_at_its_address_says() {
    let calls = Rc::new(Cell::new(0));
    let upstream = Upstream::start(move |received| {
        calls.set(calls.get() + 1);
        if calls.get() == 1 {
            let text = "HTTP/1.1 421 Misdirected Request\r\nX-Leaving: 1\r\nX-Id: {id}\r\nContent-Length: 0\r\n\r\n";
            return UpstreamAction::Write(text.into());
        }
        respond(received, "")
    });
    let gateway = TestGateway::start(&[&upstream]).await;
    gateway.exchange(&get("/book/1", "first")).await;
    assert_eq!(send_all(&gateway).await, REQUESTS * PATHS.len());
}

// The response to an earlier request on the same connection is not taken for one to this request.
#[actix_rt::test]
async fn statement_of_a_foreign_response_counts() {
    let foreign = "HTTP/1.1 200 OK\r\nX-Leaving: 1\r\nX-Id: other\r\nContent-Length: 0\r\n\r\n";
    let upstream =
        Upstream::start(move |_| UpstreamAction::Write(foreign.to_owned() + &ok("done")));
    let gateway = TestGateway::start(&[&upstream]).await;
    for number in 0..REQUESTS {
        let response = gateway.exchange(&get("/book/1", &format!("a{number}"))).await;
        assert_eq!(complete_body(&response).as_deref(), Some("done"), "{response}");
    }
}

#[actix_rt::test]
async fn statement_is_forgotten_when_the_store_changes_the_entry() {
    let (leaving, other) = (saying("X-Leaving: 1\r\n"), saying(""));
    let gateway = TestGateway::start(&[&leaving, &other]).await;
    send_until(&gateway, &leaving).await;
    {
        let (mut state, now) = (gateway.cx.state.borrow_mut(), gateway.cx.now());
        let entry = || UpstreamRecord { slots: 9, ..record(0, leaving.address) };
        state.directory.set(entry());
        state.directory.mark_unlisted(now, "u0");
        state.directory.set(entry());
        state.directory.begin_era(now);
        state.directory.set(entry());
    }
    send_all(&gateway).await;
    assert_eq!(leaving.count(), 1);
}

// The same ID with a later start is another run, which has said nothing.
#[actix_rt::test]
async fn restarted_upstream_is_avoided_for_what_its_earlier_run_said() {
    let is_leaving = Rc::new(Cell::new(true));
    let upstream = {
        let is_leaving = is_leaving.clone();
        Upstream::start(move |received| {
            respond(received, if is_leaving.get() { "X-Leaving: 1\r\n" } else { "" })
        })
    };
    let gateway = TestGateway::start(&[&upstream]).await;
    send_until(&gateway, &upstream).await;
    let refused = gateway.exchange(&get("/book/1", "refused")).await;
    assert!(refused.starts_with("HTTP/1.1 503 "), "{refused}");
    is_leaving.set(false);
    let restarted = UpstreamRecord { started: 2, ..record(0, upstream.address) };
    gateway.cx.state.borrow_mut().directory.set(restarted);
    assert_eq!(send_all(&gateway).await, REQUESTS * PATHS.len());
    // What a peer or a late response says about the earlier run does not count either.
    let earlier = [("u0".parse().unwrap(), 1)];
    let now = gateway.cx.now();
    gateway.cx.state.borrow_mut().receive_leaving_statements(now, &earlier);
    assert_eq!(send_all(&gateway).await, REQUESTS * PATHS.len());
}

#[actix_rt::test]
async fn response_of_an_earlier_run_is_taken_for_one_of_the_restarted_upstream() {
    let delay = Duration::from_millis(300);
    let calls = Rc::new(Cell::new(0));
    let upstream = Upstream::start(move |received| {
        calls.set(calls.get() + 1);
        if calls.get() == 1 {
            let text = ok("late").replacen("X-Id:", "X-Leaving: 1\r\nX-Id:", 1);
            return UpstreamAction::WriteAfter(delay, text);
        }
        respond(received, "")
    });
    let gateway = TestGateway::start(&[&upstream]).await;
    let restart = async {
        actix_rt::time::sleep(delay / 2).await;
        let restarted = UpstreamRecord { started: 2, ..record(0, upstream.address) };
        gateway.cx.state.borrow_mut().directory.set(restarted);
    };
    let request = get("/book/1", "late");
    let (response, ()) = tokio::join!(gateway.exchange(&request), restart);
    assert_eq!(complete_body(&response).as_deref(), Some("late"), "{response}");
    assert_eq!(send_all(&gateway).await, REQUESTS * PATHS.len());
}

#[actix_rt::test]
async fn upstream_that_told_a_peer_gets_requests() {
    let (leaving, other) = (saying("X-Leaving: 1\r\n"), saying(""));
    let gateways = [
        TestGateway::start(&[&leaving, &other]).await,
        TestGateway::start(&[&leaving, &other]).await,
    ];
    introduce(&gateways);
    send_until(&gateways[0], &leaving).await;
    exchange_messages(&gateways);
    assert_eq!(send_all(&gateways[1]).await, REQUESTS * PATHS.len());
    assert_eq!(leaving.count(), 1);
    // What a peer said is not sent on, so that it ends with that peer.
    assert!(gateways[1].cx.message().said_leaving.is_empty());
    assert_eq!(gateways[0].cx.message().said_leaving.len(), 1);
}

#[actix_rt::test]
async fn take_leaving_news_floods_what_a_peer_has_sent_to_all() {
    let gateway = TestGateway::start(&[&saying("")]).await;
    let (mut state, now) = (gateway.cx.state.borrow_mut(), gateway.cx.now());
    let start = |id: &str| (id.parse().unwrap(), 1);
    let (first, second) = (start("u0"), start("u1"));
    assert!(state.record_leaving_statement(now, &first, Source::Response));
    assert!(!state.record_leaving_statement(now, &first, Source::Response));
    assert!(state.record_leaving_statement(now, &second, Source::Response));
    state.receive_leaving_statements(now, std::slice::from_ref(&second));
    assert_eq!(state.directory.take_leaving_news(), std::slice::from_ref(&first));
    assert_eq!(state.directory.take_leaving_news(), []);
    assert_eq!(state.directory.leaving_statements(), [second, first]);
}

// Statements on upstreams that do not exist do not use up the memory, and displace no others.
#[actix_rt::test]
async fn forged_statements_of_a_peer_hide_a_true_one() {
    let (leaving, other) = (saying(""), saying(""));
    let gateway = TestGateway::start(&[&leaving, &other]).await;
    let now = gateway.cx.now();
    for number in 0..20 {
        let forged: Vec<_> = (0..5000)
            .map(|index| (format!("no{number}.{index}").parse().unwrap(), u64::MAX))
            .collect();
        gateway.cx.state.borrow_mut().receive_leaving_statements(now, &forged);
    }
    let forged_start = [("u1".parse().unwrap(), u64::MAX)];
    gateway.cx.state.borrow_mut().receive_leaving_statements(now, &forged_start);
    let service = "plain".parse().unwrap();
    let count_live = || gateway.cx.state.borrow().directory.live(now, &service).len();
    assert_eq!(count_live(), 2);
    let told = [("u0".parse().unwrap(), 1)];
    gateway.cx.state.borrow_mut().receive_leaving_statements(now, &told);
    assert_eq!(count_live(), 1);
    assert_eq!(send_all(&gateway).await, REQUESTS * PATHS.len());
    assert_eq!(leaving.count(), 0);
}

// An upstream said that it leaves while the request was at another one.
#[actix_rt::test]
async fn retry_or_replacement_reaches_an_upstream_that_leaves() {
    let failures = [
        // Without a response, after a time.
        UpstreamAction::WritePartsAndClose(vec![(Duration::from_millis(200), String::new())]),
        UpstreamAction::WriteAfter(
            Duration::from_millis(200),
            "HTTP/1.1 503 Full\r\nX-Id: {id}\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n".into(),
        ),
        UpstreamAction::Hang,
    ];
    let cases = failures.iter().flat_map(|failure| ["/look/1", "/render/1"].map(|p| (p, failure)));
    for (path, failure) in cases {
        let action = failure.clone();
        let script = move |_: &ReceivedRequest| action.clone();
        let upstreams = [Upstream::start(script.clone()), Upstream::start(script)];
        let gateway = TestGateway::start(&[&upstreams[0], &upstreams[1]]).await;
        let tell = async {
            while upstreams.iter().all(|upstream| upstream.count() == 0) {
                actix_rt::time::sleep(Duration::from_millis(2)).await;
            }
            let other = if upstreams[0].count() == 0 { "u0" } else { "u1" };
            let start = [(other.parse().unwrap(), 1)];
            let now = gateway.cx.now();
            gateway.cx.state.borrow_mut().receive_leaving_statements(now, &start);
        };
        let request = get(path, "a1");
        let (response, ()) = tokio::join!(gateway.exchange(&request), tell);
        assert_eq!(complete_body(&response), None, "{path} {failure:?}: {response}");
        let counts = (upstreams[0].count(), upstreams[1].count());
        assert!(counts == (0, 1) || counts == (1, 0), "{path} {failure:?}: {counts:?}");
    }
}

// Whatever the store and the peers say before and after, a start that has said that it leaves is not live again,
// and another start is not taken for it.
#[test]
fn live_start_that_has_said_it_leaves_returns() {
    let service: ServiceName = "plain".parse().unwrap();
    for seed in 0..300 {
        let mut random = rand_pcg::Pcg64::seed_from_u64(seed);
        let mut directory = Directory::new(Duration::from_secs(2));
        let (mut last_start, mut now) = (10, Time(1_000_000_000));
        let mut said = HashSet::new();
        let address = "127.0.0.1:1".parse().unwrap();
        for _ in 0..200 {
            now = now + Duration::from_millis(random.random_range(0..800));
            let index = random.random_range(0..3);
            let id = format!("u{index}");
            let known = directory.get(&id.parse().unwrap()).map(|known| known.record.clone());
            let entry = known.clone().unwrap_or_else(|| UpstreamRecord {
                started: last_start,
                ..record(index, address)
            });
            match random.random_range(0..9) {
                0 => {
                    last_start += 1;
                    directory.set(UpstreamRecord { started: last_start, ..entry });
                }
                1 | 2 => {
                    directory.set(entry);
                }
                3 => directory.mark_unlisted(now, &id),
                4 => {
                    directory.evict_expired(now);
                }
                5 => directory.record_store_lost(now),
                6 => directory.record_store_regained(now),
                7 => {
                    directory.begin_era(now);
                }
                _ => {
                    let source =
                        if random.random_bool(0.5) { Source::Response } else { Source::Peer };
                    let start = (entry.id, entry.started);
                    directory.record_leaving_statement(now, &start, source);
                    said.insert(start);
                }
            }
            let live = directory.live(now, &service);
            let live = live.iter().map(|upstream| &upstream.record);
            for record in live.chain(directory.staying(&service)) {
                let start = (record.id.clone(), record.started);
                assert!(!said.contains(&start), "seed {seed}: {start:?} is used again");
            }
        }
    }
}

/// The bytes of the longest datagram.
const MAX_DATAGRAM_BYTES: usize = 60 * 1024;

fn starts(count: usize) -> Vec<StatementWire> {
    let start = |number| (format!("i-{number:010x}").parse().unwrap(), 1_790_000_000_000 + number);
    (0..count as u64).map(start).collect()
}

fn encoded(datagram: &Datagram) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(datagram, &mut bytes).unwrap();
    bytes
}

// A whole data centre of a system with 10,000 upstreams leaves.
#[actix_rt::test]
async fn many_statements_exceed_a_datagram() {
    let gateway = TestGateway::start(&[&saying("")]).await;
    let now = gateway.cx.now();
    let all = starts(3000);
    for start in &all {
        let mut state = gateway.cx.state.borrow_mut();
        state.record_leaving_statement(now, start, Source::Response);
    }
    let message = Datagram::State(Box::new(gateway.cx.message()));
    assert!(encoded(&message).len() < MAX_DATAGRAM_BYTES);
    let mut told = Vec::new();
    loop {
        let news = gateway.cx.state.borrow_mut().directory.take_leaving_news();
        if news.is_empty() {
            break;
        }
        assert!(encoded(&Datagram::Leaving(news.clone())).len() < MAX_DATAGRAM_BYTES);
        told.extend(news);
    }
    assert_eq!(told, all);
}

// Gateways of an earlier release send no statements.
#[actix_rt::test]
async fn message_without_statements_is_malformed() {
    let gateway = TestGateway::start(&[&saying("")]).await;
    let message = gateway.cx.message();
    assert!(message.said_leaving.is_empty());
    let bytes = encoded(&Datagram::State(Box::new(message)));
    assert!(!bytes.windows(12).any(|name| name == b"said_leaving"));
    ciborium::from_reader::<Datagram, _>(&bytes[..]).unwrap();
}

/// Interval at which gateways send news, and the time that a datagram takes.
const TICK_MS: u64 = 50;
const WAY_MS: u64 = 3;

// 670 gateways get the first such response of an upstream within some milliseconds. Each of them would send its own
// datagram to all others.
#[test]
fn take_news_of_many_daemons_floods_their_links() {
    let at = |ms: u64| Time(1_000_000_000 + ms * 1000);
    let start = &starts(1)[0];
    let bytes = encoded(&Datagram::Leaving(vec![start.clone()])).len();
    for seed in 0..20 {
        let mut random = rand_pcg::Pcg64::seed_from_u64(seed);
        let mut daemons: Vec<_> = (0..670)
            .map(|_| {
                let (told, tick) = (random.random_range(0..20), random.random_range(0..TICK_MS));
                (LeavingStatements::default(), told, tick)
            })
            .collect();
        let mut sent = Vec::new();
        for ms in 0..200 {
            for (statements, told, tick) in &mut daemons {
                if *told == ms {
                    statements.record(at(ms), start.clone(), Source::Response);
                }
                if sent.iter().any(|sent_at| sent_at + WAY_MS == ms) {
                    statements.record(at(ms), start.clone(), Source::Peer);
                }
                if ms % TICK_MS == *tick && !statements.take_news().is_empty() {
                    sent.push(ms);
                }
            }
        }
        assert!(!sent.is_empty());
        assert!(daemons.iter().all(|(statements, ..)| statements.contains(start)));
        // A fifth of the narrowest link, 10 Mbit/s, in a second.
        let received = sent.len() * bytes;
        assert!(received < 250_000, "seed {seed}: {} daemons, {received} bytes", sent.len());
        assert!(sent.len() < 670 / 4, "seed {seed}: {} daemons send", sent.len());
    }
}
