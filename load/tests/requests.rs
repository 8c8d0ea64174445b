//! Requests over real sockets while upstreams, daemons and callers fail or disconnect.

use std::time::{Duration, Instant};

use actix_rt::time::timeout;
use awc::Client;
use dogwoodturn::upstream::HostState;
use dogwoodturn_daemon::Daemon;
use dogwoodturn_load::{
    local::{LocalFleet, Standin, UpstreamPlan, now},
    sample,
};
use dogwoodturn_standins::{
    engine::{
        Engine,
        faults::{Bad, BadKind, Faults},
        token,
    },
    plain,
};
use futures_util::StreamExt as _;
use serde_json::{Value, json};

const PATH: &str = "/phrases/v1/completions";
const PROMPT: &str = "where does the ferry leave";
const TOKENS: u64 = 600;
/// Limit for each wait, so that a hang fails the test; it is no bound on speed.
const TIMEOUT: Duration = Duration::from_secs(30);
const PLAN: [UpstreamPlan; 1] = [UpstreamPlan {
    service: "lantern",
    version: "v1",
    engine: true,
    count: 4,
    data_centres: &sample::SALISH,
}];

fn fleet(threads: usize) -> LocalFleet {
    let set = sample::declarations().expect("the samples have no fault");
    let mut fleet = LocalFleet::start(&PLAN).expect("the stand-ins start");
    fleet.publish(&set, "c1").expect("published");
    fleet.add_daemon("salish-a", threads).expect("the daemon starts");
    fleet.wait_ready().expect("the daemon is ready");
    fleet
}

fn engine(fleet: &LocalFleet, index: usize) -> &Engine {
    match &fleet.upstreams[index].standin {
        Standin::Engine(engine) => engine,
        Standin::Plain(_) => panic!("the fleet has engines only"),
    }
}

/// Returns the index of the engine that has generated the most tokens.
fn busiest(fleet: &LocalFleet) -> usize {
    let indices = 0..fleet.upstreams.len();
    indices.max_by_key(|&index| engine(fleet, index).generated_tokens()).expect("an engine")
}

fn base(fleet: &LocalFleet) -> String {
    format!("http://{}", fleet.daemons[0].callers())
}

/// Reads a streamed response and checks the order and text of each token.
struct Reader {
    request: String,
    buf: Vec<u8>,
    next: u64,
    done: bool,
    last_event: Option<Value>,
    body: std::pin::Pin<
        Box<dyn futures_util::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>>>,
    >,
}

impl Reader {
    async fn open(req: awc::ClientRequest, body: Option<Value>, next: u64) -> Self {
        let req = req.bearer_auth("ferries-token").timeout(TIMEOUT);
        let sent = match body {
            Some(body) => req.send_json(&body).await,
            None => req.send().await,
        };
        let mut res = sent.expect("a response");
        let refusal = if res.status() == 200 { None } else { res.body().await.ok() };
        assert_eq!(refusal, None);
        let request = res.headers().get("x-request-id").expect("a name");
        let request = request.to_str().expect("text").to_owned();
        let body = Box::pin(res);
        Self { request, buf: Vec::new(), next, done: false, last_event: None, body }
    }

    async fn open_new(client: &Client, base: &str) -> Self {
        let body = json!({ "prompt": PROMPT, "max_tokens": TOKENS, "stream": true });
        Self::open(client.post(format!("{base}{PATH}")), Some(body), 0).await
    }

    async fn resume(client: &Client, base: &str, before: &Self) -> Self {
        let req = client.get(format!("{base}/requests/{}", before.request));
        let req = req.insert_header(("last-event-id", (before.next - 1).to_string()));
        Self::open(req, None, before.next).await
    }

    /// Reads until `until` tokens have arrived, or until the stream ends.
    async fn read(&mut self, until: u64) {
        while self.next < until || until == TOKENS {
            let Some(chunk) = timeout(TIMEOUT, self.body.next()).await.expect("a chunk") else {
                return;
            };
            self.buf.extend_from_slice(&chunk.expect("the connection holds"));
            while let Some(end) = self.buf.windows(2).position(|two| two == b"\n\n") {
                let event: Vec<u8> = self.buf.drain(..end + 2).collect();
                self.check_event(std::str::from_utf8(&event).expect("text"));
            }
        }
    }

    fn check_event(&mut self, event: &str) {
        let field = |name: &str| event.lines().find_map(|line| line.strip_prefix(name));
        let data = field("data: ").expect("data");
        if data == "[DONE]" {
            self.done = true;
            return;
        }
        let value: Value = serde_json::from_str(data).expect("JSON");
        if field("event: ").is_some() {
            self.last_event = Some(value);
            return;
        }
        assert_eq!(field("id: "), Some(&*self.next.to_string()), "out of order");
        assert_eq!(value["text"], token(PROMPT, self.next).as_str(), "a wrong token");
        self.next += 1;
    }

    fn assert_complete(&self) {
        assert_eq!((self.done, self.next), (true, TOKENS), "{:?}", self.last_event);
    }
}

/// Slows the engines down, so that no response completes before the event that a test triggers.
fn slow_down(fleet: &LocalFleet) {
    for index in 0..fleet.upstreams.len() {
        let kind = BadKind::Slow(4.0);
        let bad = Some(Bad { kind, after_ms: 0, above_running: 0, path: String::new() });
        engine(fleet, index).set_faults(Faults { bad, ..Faults::default() });
    }
}

fn run<T>(test: impl Future<Output = T>) -> T {
    actix_rt::System::new().block_on(test)
}

#[test]
fn stream_upstream_killed() {
    let mut fleet = fleet(1);
    run(async {
        let client = Client::default();
        let mut reader = Reader::open_new(&client, &base(&fleet)).await;
        reader.read(50).await;
        let first = busiest(&fleet);
        fleet.upstreams[first].kill();
        reader.read(TOKENS).await;
        reader.assert_complete();
    });
}

#[test]
fn stream_two_upstreams_killed() {
    let mut fleet = fleet(1);
    run(async {
        let client = Client::default();
        let mut reader = Reader::open_new(&client, &base(&fleet)).await;
        for round in 1..3 {
            reader.read(round * 100).await;
            let running: Vec<usize> =
                (0..4).filter(|&i| engine(&fleet, i).generated_tokens() > 0).collect();
            for index in running {
                fleet.upstreams[index].kill();
            }
        }
        reader.read(TOKENS).await;
        reader.assert_complete();
    });
}

#[test]
fn stream_upstream_reclaimed_moves_its_cache() {
    let mut fleet = fleet(1);
    slow_down(&fleet);
    run(async {
        let client = Client::default();
        let mut reader = Reader::open_new(&client, &base(&fleet)).await;
        reader.read(100).await;
        let first = busiest(&fleet);
        let at = now() + Duration::from_secs(2);
        fleet.upstreams[first].record.state = HostState::Leaving { at };
        fleet.publish_hosts();
        reader.read(TOKENS).await;
        reader.assert_complete();
        let others: Vec<usize> = (0..4).filter(|&index| index != first).collect();
        let was_resumed = others.iter().any(|&index| engine(&fleet, index).generated_tokens() > 0);
        // There is no other request, so cached tokens can only come from a transferred cache.
        let cached: u64 = others.iter().map(|&index| engine(&fleet, index).prompt_tokens().1).sum();
        assert!(was_resumed && cached > 0, "resumed: {was_resumed}, cached: {cached}");
    });
}

#[test]
fn drain_streams_in_flight_are_whole() {
    let mut fleet = fleet(2);
    let base = base(&fleet);
    let daemon = fleet.daemons.remove(0);
    run(async {
        let client = Client::default();
        let mut readers = Vec::new();
        for _ in 0..4 {
            let mut reader = Reader::open_new(&client, &base).await;
            reader.read(10).await;
            readers.push(reader);
        }
        let drained = actix_rt::task::spawn_blocking(move || daemon.drain());
        for reader in &mut readers {
            reader.read(TOKENS).await;
            reader.assert_complete();
        }
        assert!(drained.await.expect("it drains"), "requests were still in flight after the drain");
    });
}

#[test]
fn caller_comes_back_at_any_thread() {
    let fleet = fleet(3);
    run(async {
        let base = base(&fleet);
        let client = Client::default();
        let mut reader = Reader::open_new(&client, &base).await;
        // A new connection may be accepted by a thread other than the one that has the response.
        for round in 1..6 {
            reader.read(round * 80).await;
            let resumed = Reader::resume(&client, &base, &reader).await;
            reader = resumed;
        }
        reader.read(TOKENS).await;
        reader.assert_complete();
        let generated: u64 = (0..4).map(|index| engine(&fleet, index).generated_tokens()).sum();
        assert_eq!(generated, TOKENS, "tokens were generated more than once");
    });
}

#[test]
fn caller_gone_cancels_at_the_engine() {
    let fleet = fleet(1);
    run(async {
        let client = Client::default();
        let body = json!({ "prompt": PROMPT, "max_tokens": 1_000_000, "stream": true });
        let req = client.post(format!("{}{PATH}", base(&fleet)));
        let mut reader = Reader::open(req, Some(body), 0).await;
        reader.read(20).await;
        drop(reader);
        let busy = busiest(&fleet);
        let mut before = 0;
        let stops = async {
            while engine(&fleet, busy).generated_tokens() != before {
                before = engine(&fleet, busy).generated_tokens();
                actix_rt::time::sleep(Duration::from_millis(300)).await;
            }
        };
        timeout(TIMEOUT, stops).await.expect("the engine stops");
    });
}

async fn send_for_problem(sent: awc::ClientRequest, body: impl Into<bytes::Bytes>) -> (u16, Value) {
    let sent = sent.bearer_auth("ferries-token").timeout(TIMEOUT).send_body(body.into());
    let mut res = sent.await.expect("a response");
    let status = res.status().as_u16();
    let body = res.body().await.expect("a body");
    (status, serde_json::from_slice(&body).unwrap_or_default())
}

#[test]
fn poison_is_refused_with_its_reason() {
    let fleet = fleet(1);
    for index in 0..4 {
        let poison = Some("venom".to_owned());
        engine(&fleet, index).set_faults(Faults { poison, ..Faults::default() });
    }
    run(async {
        let client = Client::default();
        let url = format!("{}{PATH}", base(&fleet));
        let body = json!({ "prompt": "some venom here", "max_tokens": 5, "stream": true });
        let (status, first) = send_for_problem(client.post(&url), body.to_string()).await;
        assert_eq!((status, first["title"].as_str()), (422, Some("crashes-upstreams")));
        assert_eq!(first["outcome"], "may-have-run");
        let (_, again) = send_for_problem(client.post(&url), body.to_string()).await;
        assert_eq!(again["outcome"], "not-run");
        let crashes: u64 = (0..4).map(|index| engine(&fleet, index).crashes()).sum();
        assert_eq!(crashes, 2);
    });
}

#[test]
fn bad_input_is_refused_as_not_run() {
    let fleet = fleet(1);
    run(async {
        let client = Client::default();
        let base = base(&fleet);
        let url = format!("{base}{PATH}");
        let assert_refusal = |(status, problem): (u16, Value), expected: u16, title: &str| {
            assert_eq!((status, problem["title"].as_str()), (expected, Some(title)), "{problem}");
            assert_eq!(problem["outcome"], "not-run");
        };
        assert_refusal(send_for_problem(client.post(&url), "{").await, 400, "malformed");
        assert_refusal(
            send_for_problem(client.post(&url), "{\"max_tokens\":3}").await,
            400,
            "malformed",
        );
        assert_refusal(
            send_for_problem(client.post(&url), vec![b' '; 5 << 20]).await,
            413,
            "oversized",
        );
        assert_refusal(
            send_for_problem(client.post(format!("{base}/nowhere")), "").await,
            404,
            "unknown-route",
        );
        let unknown = client.get(format!("{base}/requests/salish-a-0:1:0:77"));
        let (status, unknown) = send_for_problem(unknown, "").await;
        assert_eq!((status, unknown["title"].as_str()), (404, Some("unknown-request")));
        // The daemon has no record of the request, so it cannot report that it did not run.
        assert_eq!(unknown["outcome"], "may-have-run");
    });
}

#[test]
fn call_cut_before_its_answer_may_have_run() {
    let plan = UpstreamPlan { service: "ledger", engine: false, ..PLAN[0] };
    let set = sample::declarations().expect("the samples have no fault");
    let mut fleet = LocalFleet::start(&[plan]).expect("the stand-ins start");
    fleet.publish(&set, "c1").expect("published");
    fleet.add_daemon("salish-a", 1).expect("the daemon starts");
    fleet.wait_ready().expect("the daemon is ready");
    for upstream in &fleet.upstreams {
        if let Standin::Plain(plain) = &upstream.standin {
            plain.set_faults(plain::Faults { cut_after_run: true, ..plain::Faults::default() });
        }
    }
    run(async {
        let client = Client::default();
        // Without an idempotency key the call needs no claim and may be sent only once.
        let url = format!("{}/purchases", base(&fleet));
        let (status, problem) = send_for_problem(client.post(url), "{}").await;
        assert_eq!((status, problem["outcome"].as_str()), (502, Some("may-have-run")));
    });
    let runs = fleet.upstreams.iter().map(|upstream| match &upstream.standin {
        Standin::Plain(plain) => plain.runs().values().sum(),
        Standin::Engine(_) => 0,
    });
    assert_eq!(runs.sum::<u64>(), 1);
}

/// Starts three daemons and waits until each has all three as members.
fn three_daemons(drain_timeout: Duration) -> LocalFleet {
    let set = sample::declarations().expect("the samples have no fault");
    let mut fleet = LocalFleet::start(&PLAN).expect("the stand-ins start");
    fleet.publish(&set, "c1").expect("published");
    for index in 0..3 {
        let mut settings = fleet.settings(index, "salish-a", 2).expect("settings");
        settings.drain_timeout = drain_timeout;
        fleet.daemons.push(Daemon::start(&settings).expect("the daemon starts"));
    }
    fleet.wait_ready().expect("the daemons are ready");
    let deadline = Instant::now() + TIMEOUT;
    let sees_all = |daemon: &Daemon| daemon.snapshot().members.len() == 3;
    while !fleet.daemons.iter().all(sees_all) {
        assert!(
            Instant::now() < deadline,
            "timed out waiting for each daemon to have three members"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
    fleet
}

#[test]
fn caller_comes_back_at_another_daemon() {
    let fleet = three_daemons(Duration::from_secs(10));
    run(async {
        let bases: Vec<String> =
            fleet.daemons.iter().map(|daemon| format!("http://{}", daemon.callers())).collect();
        let client = Client::default();
        let mut reader = Reader::open_new(&client, &bases[0]).await;
        for round in 1..6 {
            reader.read(round * 80).await;
            reader = Reader::resume(&client, &bases[round as usize % 3], &reader).await;
        }
        reader.read(TOKENS).await;
        reader.assert_complete();
        let generated: u64 = (0..4).map(|index| engine(&fleet, index).generated_tokens()).sum();
        assert_eq!(generated, TOKENS, "tokens were generated more than once");
    });
}

#[test]
fn drain_hands_streams_to_peers() {
    let mut fleet = three_daemons(Duration::from_millis(600));
    let bases: Vec<String> =
        fleet.daemons.iter().map(|daemon| format!("http://{}", daemon.callers())).collect();
    let daemon = fleet.daemons.remove(0);
    slow_down(&fleet);
    run(async {
        let client = Client::default();
        let mut readers = Vec::new();
        for _ in 0..6 {
            let mut reader = Reader::open_new(&client, &bases[0]).await;
            reader.read(5).await;
            readers.push(reader);
        }
        let drained = actix_rt::task::spawn_blocking(move || daemon.drain());
        for (index, reader) in readers.iter_mut().enumerate() {
            reader.read(TOKENS).await;
            assert!(!reader.done, "the response completed before the drain timeout");
            let last =
                reader.last_event.as_ref().expect("an event that names the path for resuming");
            assert_eq!(last["resume"], format!("/requests/{}", reader.request).as_str());
            let mut resumed = Reader::resume(&client, &bases[1 + index % 2], reader).await;
            resumed.read(TOKENS).await;
            resumed.assert_complete();
        }
        assert!(drained.await.expect("it drains"), "requests were still in flight after the drain");
    });
}
