//! Limits that upstreams name in their responses, kept by several gateways together.

mod support;

use std::time::{Duration, Instant};

use support::{TestGateway, Upstream, UpstreamAction, get, ok};

/// The limit that the upstream names, in requests a second.
const LIMIT: f64 = 3.0;
/// The operators allow this multiple of the limit, and [`ALLOWED_MORE`] requests.
const ALLOWED_FACTOR: f64 = 1.5;
const ALLOWED_MORE: f64 = 5.0;
const WINDOW: Duration = Duration::from_secs(4);

fn response(limit: Option<f64>) -> String {
    let limit = limit.map_or(String::new(), |limit| format!("X-Limit: {limit}\r\n"));
    ok("fine").replacen("X-Id", &format!("{limit}X-Id"), 1)
}

#[actix_rt::test]
async fn upstream_gets_more_requests_than_the_limit_that_it_named() {
    let limited = Upstream::start(|_| UpstreamAction::Write(response(Some(LIMIT))));
    let other = Upstream::start(|_| UpstreamAction::Write(response(None)));
    let mut gateways = Vec::new();
    for _ in 0..5 {
        gateways.push(TestGateway::start(&[&limited, &other]).await);
    }
    support::introduce(&gateways);
    let mut arrivals = Vec::new();
    let (started, mut sent) = (Instant::now(), 0);
    while started.elapsed() < WINDOW * 2 {
        for gateway in &gateways {
            let before = limited.count();
            let response = gateway.exchange(&get("/look/1", &format!("r{sent}"))).await;
            assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
            sent += 1;
            arrivals.extend((before..limited.count()).map(|_| started.elapsed()));
        }
        support::exchange_messages(&gateways);
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
    let late: Vec<_> = arrivals.iter().filter(|at| **at >= Duration::from_secs(1)).collect();
    let allowed = LIMIT * WINDOW.as_secs_f64() * ALLOWED_FACTOR + ALLOWED_MORE;
    let in_window =
        |from: &Duration| late.iter().filter(|at| ***at >= *from && ***at < *from + WINDOW).count();
    let most = late.iter().map(|at| in_window(at)).max().unwrap_or(0);
    assert!(most as f64 <= allowed, "{most} requests in 4 s, of {allowed} allowed, {sent} in all");
    assert!(!late.is_empty(), "the upstream gets no requests at all");
}
