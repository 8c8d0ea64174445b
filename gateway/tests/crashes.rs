//! Requests that crash the upstreams that run them, at gateways that exchange messages.

mod support;

use std::time::Duration;

use support::{TestGateway, Upstream, UpstreamAction, exchange_messages, get, ok};

/// The part of a prompt that crashes upstreams.
const CRASHING_PART: &str = "66";
/// Crashes after which the operators allow a part to reach upstreams at most
/// [`ALLOWED_AFTERWARDS`] times more.
const ALLOWED_CRASHES: usize = 5;
const ALLOWED_AFTERWARDS: usize = 3;
/// Interval of the peers' messages in these tests, which exceeds the downtime of an upstream.
const ROUND: Duration = Duration::from_millis(400);

fn has_crashing_part(parts: &str) -> bool {
    parts.split(',').any(|part| part == CRASHING_PART)
}

/// An upstream that crashes when it runs a request with [`CRASHING_PART`].
fn fragile_upstream() -> Upstream {
    Upstream::start(|received| match received.head.headers.text("X-Part") {
        Some(parts) if has_crashing_part(parts) => UpstreamAction::Crash,
        _ => UpstreamAction::Write(ok("fine")),
    })
}

/// A request with these parts; the last one is its own.
fn with_parts(parts: &str, id: &str) -> String {
    let path = format!("/look/{id}");
    get(&path, id).replace("\r\n\r\n", &format!("\r\nX-Tokens: 100\r\nX-Part: {parts}\r\n\r\n"))
}

fn count_crashing(upstreams: &[&Upstream]) -> usize {
    let is_crashing = |received: &&support::ReceivedRequest| {
        received.head.headers.text("X-Part").is_some_and(has_crashing_part)
    };
    upstreams.iter().map(|u| u.received.borrow().iter().filter(is_crashing).count()).sum()
}

#[actix_rt::test]
async fn requests_with_one_crashing_part_crash_upstream_after_upstream() {
    let (first, second, third) = (fragile_upstream(), fragile_upstream(), fragile_upstream());
    let upstreams = [&first, &second, &third];
    let gateways = [TestGateway::start(&upstreams).await, TestGateway::start(&upstreams).await];
    let mut refused = 0;
    for round in 0..12 {
        let gateway = &gateways[round % 2];
        let crashing = format!("1,{CRASHING_PART},{}", 1000 + round);
        let response = gateway.exchange(&with_parts(&crashing, &format!("c{round}"))).await;
        assert!(!response.starts_with("HTTP/1.1 200 "), "{response}");
        refused += usize::from(response.starts_with("HTTP/1.1 503 "));
        actix_rt::time::sleep(ROUND).await;
        // Sound requests have the same customer and the same first part.
        for (index, gateway) in gateways.iter().enumerate() {
            let sound = with_parts(&format!("1,7,{}", 2000 + round), &format!("s{round}{index}"));
            let response = gateway.exchange(&sound).await;
            assert!(response.starts_with("HTTP/1.1 200 "), "round {round}: {response}");
        }
        exchange_messages(&gateways);
    }
    let sent = count_crashing(&upstreams);
    assert!(
        sent <= ALLOWED_CRASHES + ALLOWED_AFTERWARDS,
        "{sent} requests with one part were sent to upstreams"
    );
    assert!(refused > 0, "no request with the part was refused as not run");
}
