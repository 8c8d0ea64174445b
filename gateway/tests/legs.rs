//! The legs of requests: each place in which a request may wait shows as a leg of its own.

mod support;

use std::{io::Write as _, net::TcpListener, time::Duration};

use dogwoodturn::units::Time;
use dogwoodturn_gateway::legs::{Legs, LogLimit, SLOW_ARRIVAL};
use support::{TestGateway, Upstream, UpstreamAction, all_routes, get, ok, table};

/// Time for which a part of the way stands still.
const STALL: Duration = Duration::from_millis(400);

/// Returns the number of legs of this kind, and the sum of their times.
fn leg(gateway: &TestGateway, name: &str) -> (u64, f64) {
    let text = gateway.cx.metrics.text();
    let value = |suffix: &str| {
        let prefix = format!("dogwoodturn_gateway_request_leg_seconds_{suffix}{{leg=\"{name}\"}} ");
        let line = text.lines().find_map(|line| line.strip_prefix(&prefix)).unwrap_or("0");
        line.parse::<f64>().unwrap()
    };
    (value("count") as u64, value("sum"))
}

#[test]
fn durations_cover_the_whole_way_without_gaps() {
    let at = |ms: u64| Time(ms * 1000);
    let mut legs = Legs::new("a", at(1000), Duration::from_millis(300), at(1310), at(1330));
    legs.record_connected(at(1340), Duration::ZERO);
    legs.record_written(at(1350));
    legs.record_answered(at(2000));
    let expected = [300, 10, 20, 10, 10, 650, 0].map(Duration::from_millis);
    let durations: Vec<_> = legs.durations().map(|(_, elapsed)| elapsed).collect();
    assert_eq!(durations, expected);
}

#[test]
fn is_slow_counts_what_has_not_arrived_yet() {
    let start = Time(10_000_000);
    let mut legs = Legs::new("a", start, Duration::ZERO, start, start);
    legs.record_connected(start, Duration::ZERO);
    legs.record_written(start);
    assert!(!legs.is_slow(start + SLOW_ARRIVAL / 2));
    assert!(legs.is_slow(start + SLOW_ARRIVAL));
    legs.record_acknowledged(start + SLOW_ARRIVAL / 2);
    assert!(!legs.is_slow(start + SLOW_ARRIVAL * 4));
}

#[test]
fn take_bounds_the_lines_of_each_second() {
    let limit = LogLimit::default();
    let in_second = |second: u64| (0..500).filter(|_| limit.take(Time(second * 1_000_000))).count();
    assert_eq!((in_second(5), in_second(6)), (20, 20));
}

#[actix_rt::test]
async fn legs_request_that_waited_in_the_socket_is_unread() {
    let upstream = Upstream::start(|_| UpstreamAction::Write(ok("done")));
    let gateway = TestGateway::start(&[&upstream]).await;
    // Nothing of this thread runs meanwhile, not even the acceptance of the connection.
    let mut caller = std::net::TcpStream::connect(gateway.callers).unwrap();
    caller.write_all(get("/look/1", "a1").as_bytes()).unwrap();
    std::thread::sleep(STALL);
    actix_rt::time::sleep(STALL).await;
    let (count, seconds) = leg(&gateway, "unread");
    assert_eq!(count, 1);
    assert!(seconds >= 0.9 * STALL.as_secs_f64(), "{seconds} s");
}

#[actix_rt::test]
async fn legs_request_that_an_upstream_does_not_read_is_acknowledged() {
    // Its system accepts connections and bytes, and no process reads them.
    let unread = TcpListener::bind("127.0.0.1:0").unwrap();
    let addresses = [unread.local_addr().unwrap()];
    let gateway = TestGateway::with_addresses(&addresses, table(all_routes())).await;
    gateway.exchange(&get("/book/1", "a1").replace("4000", "400")).await;
    assert_eq!(leg(&gateway, "acknowledged").0, 1);
    assert_eq!(leg(&gateway, "answered").0, 0);
}
