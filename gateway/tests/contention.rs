//! Contention at a gateway: when it takes effect, what daemons tell each other, and what callers see.

mod support;

use std::time::Duration;

use dogwoodturn::{ids::Incarnation, units::Time, upstream::speed::Pace};
use dogwoodturn_gateway::{
    contention::{Arrival, DemandWire, LevelWire, Number, ranks},
    gateway::{Gateway, State},
    header_schema::{LoadReport, Prompt, ReportedPace},
    hubs::{HubMessage, HubStatus, Hubs, LevelSource},
    peers::{Datagram, StateMessage},
    store::MemberRecord,
    table::{Customer, EngineCapacity, RetrySafety, Route, Table},
};
use support::{TestGateway, Upstream, UpstreamAction, get, no_store, ok, settings, table};

const SECOND: Duration = Duration::from_secs(1);

fn ranked(name: &str, priority: u8, timeout_s: u64) -> Route {
    Route {
        timeout: SECOND * timeout_s as u32,
        priority,
        ..support::route(name, &format!("/{name}/"), RetrySafety::Idempotent, 1)
    }
}

/// A service whose most urgent requests tolerate the longest wait.
fn contended() -> Table {
    table(vec![ranked("briefing", 0, 12), ranked("question", 2, 3)])
}

/// A service whose most urgent requests tolerate the shortest wait.
fn ordered() -> Table {
    table(vec![ranked("briefing", 0, 3), ranked("question", 2, 12)])
}

fn demand(rank: u8, engines: f64) -> DemandWire {
    DemandWire {
        service: "plain".parse().unwrap(),
        demands: vec![(Number(f64::from(rank)), Number(0.0), Number(engines * 1000.0))],
        outcomes: [Number(100.0), Number(0.0), Number(0.0)],
        factor: None,
    }
}

fn peer_message(cx: &Gateway, number: u64, contention: Vec<DemandWire>) -> StateMessage {
    StateMessage {
        daemon: "peer".parse().unwrap(),
        incarnation: Incarnation(1),
        number,
        contention,
        ..cx.message()
    }
}

/// Lets a peer report for five seconds, and returns their end.
fn report_for_5_s(cx: &Gateway, contention: &[DemandWire]) -> Time {
    let (start, from) = (cx.now(), "127.0.0.1:9".parse().unwrap());
    for step in 1..=20 {
        let now = start + Duration::from_millis(250) * step;
        let message = peer_message(cx, u64::from(step), contention.to_vec());
        cx.state.borrow_mut().receive_message(now, from, message);
        cx.update_contention(now);
    }
    start + SECOND * 5
}

/// Compares shares, which are of 400 requests.
#[track_caller]
fn assert_near(actual: f64, expected: f64, case: &str) {
    assert!((actual - expected).abs() < 1e-9, "{actual} instead of {expected}: {case}");
}

/// Returns the share of 400 requests of a route that are admitted.
fn admitted(state: &mut State, now: Time, route: &str) -> f64 {
    let table = state.table.clone().unwrap();
    let route = table.route("example", format!("/{route}/1").as_bytes()).unwrap().clone();
    let is_admitted = |index: u64| {
        let arrival = Arrival {
            table: &table,
            route: &route,
            service: &"plain".parse().unwrap(),
            customer: None,
            rank: route.priority,
            content: index * (u64::MAX / 400),
            prompt: &Prompt { input: 2000, output: 30, parts: Vec::new() },
        };
        state.check_contention(now, &arrival).is_none()
    };
    (0..400).map(is_admitted).filter(|is_admitted| *is_admitted).count() as f64 / 400.0
}

fn gateway(table: Table) -> std::rc::Rc<Gateway> {
    let cx = Gateway::new(settings(), support::header_schema(), no_store());
    {
        let mut state = cx.state.borrow_mut();
        state.apply_table(table);
        state.has_members = true;
        state.has_upstreams = true;
        state.directory.set(support::record(0, "127.0.0.1:1".parse().unwrap()));
    }
    cx
}

/// Guards against effects on services whose targets and time-outs put urgent requests first already.
#[test]
fn ranks_only_slower_urgent_routes_meet_the_condition() {
    let is_slower = |table: &Table| ranks(table)[0].is_urgent_slower;
    assert!(is_slower(&contended()));
    assert!(!is_slower(&ordered()));
    assert!(!is_slower(&table(vec![ranked("a", 0, 12), ranked("b", 0, 3)])), "one rank");
    assert!(!is_slower(&table(vec![ranked("a", 0, 3), ranked("b", 2, 3)])), "equal time-outs");
    let three = vec![ranked("a", 0, 12), ranked("b", 1, 3), ranked("c", 2, 12)];
    assert!(!is_slower(&table(three)), "one less urgent route is as slow");
    assert!(ranks(&table(Vec::new())).is_empty());
}

/// Guards against responses that are never counted where the customers' ranks replace those of the routes.
#[test]
fn ranks_of_customers_take_precedence() {
    let mut table = contended();
    table.customers[0].priority = Some(1);
    assert_eq!(ranks(&table)[0].most_urgent, 1);
    let eve = Customer { name: "eve".parse().unwrap(), ..table.customers[0].clone() };
    table.customers.insert(eve.name.clone(), Customer { priority: None, ..eve });
    assert_eq!(ranks(&table)[0].most_urgent, 0);
}

/// Guards against refusals of urgent requests, and against callers that come back in vain.
#[actix_rt::test]
async fn handle_request_less_urgent_is_refused_and_admitted_when_told() {
    let upstream = Upstream::start(|_| UpstreamAction::Write(ok("x")));
    let gateway = TestGateway::with_table(&[&upstream], contended()).await;
    // The upstream has 8 slots; a customer without a name keeps 100 busy, and `ada` 100 as well.
    let mut ada = demand(2, 100.0);
    let key = dogwoodturn::limit::contention::CustomerKey::new(Some(&"ada".parse().unwrap())).0;
    ada.demands.push((Number(2.0), Number(f64::from(key)), Number(100_000.0)));
    report_for_5_s(&gateway.cx, &[ada]);
    let mut refused = Vec::new();
    for index in 0..40 {
        let response = gateway.exchange(&get(&format!("/briefing/{index}"), "a")).await;
        assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
        let response = gateway.exchange(&get(&format!("/question/{index}"), "a")).await;
        if response.starts_with("HTTP/1.1 503 ") {
            assert!(response.contains("refused-contention"), "{response}");
            let retry = response.lines().find_map(|line| line.strip_prefix("Retry-After: "));
            let retry_s: f64 = retry.unwrap().parse().unwrap();
            refused.push((index, tokio::time::Instant::now() + SECOND.mul_f64(retry_s)));
        }
    }
    assert!((20..40).contains(&refused.len()), "{} of 40 refused", refused.len());
    let count = upstream.count();
    assert_eq!(count, 80 - refused.len(), "a refused request must not reach an upstream");
    let metrics = gateway.cx.metrics.text();
    let expected =
        format!("contention_refusals_total{{service=\"plain\",rank=\"2\"}} {}", refused.len());
    assert!(metrics.contains(&expected), "{metrics}");
    assert!(metrics.contains("contention_share{service=\"plain\",rank=\"2\"} 0.25"), "{metrics}");
    refused.truncate(5);
    refused.sort_by_key(|(_, due)| *due);
    for (index, due) in refused {
        tokio::time::sleep_until(due).await;
        let response = gateway.exchange(&get(&format!("/question/{index}"), "b")).await;
        assert!(response.starts_with("HTTP/1.1 200 "), "retry of {index}: {response}");
    }
}

/// Guards against counting, sending or refusing anything where the condition does not hold.
#[test]
fn message_of_other_deployments_is_unchanged() {
    let cx = gateway(ordered());
    let now = report_for_5_s(&cx, &[demand(0, 100.0), demand(2, 100.0)]);
    assert_near(admitted(&mut cx.state.borrow_mut(), now, "question"), 1.0, "");
    cx.update_contention(now);
    let message = cx.message();
    assert!(message.contention.is_empty());
    assert!(cx.state.borrow().contention.levels().is_none());
    let mut bytes = Vec::new();
    ciborium::into_writer(&message, &mut bytes).unwrap();
    assert!(!String::from_utf8_lossy(&bytes).contains("contention"));
    assert!(!cx.metrics.text().contains("contention_share{"));
}

/// Guards against host orders that miss the demand which gives way.
#[test]
fn demands_include_requests_that_give_way() {
    let mut table = contended();
    table.services[0].engine = Some(EngineCapacity { slots: 8, memory_tokens: 100_000 });
    let cx = gateway(table);
    let now = report_for_5_s(&cx, &[demand(2, 100.0)]);
    let mut state = cx.state.borrow_mut();
    assert!(state.placement.demands(now).is_empty());
    let share = admitted(&mut state, now, "question");
    assert!((0.2..0.3).contains(&share), "{share} admitted");
    // 300 requests of at least 20 ms of engine time within 2 s.
    let demand = f64::from(state.placement.demands(now)[0].1) / 1000.0;
    assert!(demand > 3.0, "{demand} engines");
}

/// Guards against a message of an earlier release that is not read, and against counting its sender.
#[test]
fn receive_message_of_an_earlier_release_is_read() {
    let cx = gateway(contended());
    let message = peer_message(&cx, 1, Vec::new());
    let mut bytes = Vec::new();
    ciborium::into_writer(&Datagram::State(Box::new(message)), &mut bytes).unwrap();
    assert!(!String::from_utf8_lossy(&bytes).contains("contention"));
    let Datagram::State(read) = ciborium::from_reader(&bytes[..]).unwrap() else { panic!() };
    let now = report_for_5_s(&cx, &read.contention);
    assert_near(admitted(&mut cx.state.borrow_mut(), now, "question"), 1.0, "");
}

/// Guards against absurd numbers that prevent the rest of a message from being read, or that refuse requests.
#[test]
fn receive_message_absurd_numbers_are_ignored() {
    for engines in [-5.0, f64::NAN, f64::INFINITY, 2e6] {
        let cx = gateway(contended());
        let message = peer_message(&cx, 1, vec![demand(0, engines), demand(2, 100.0)]);
        let mut bytes = Vec::new();
        ciborium::into_writer(&message, &mut bytes).unwrap();
        let read: StateMessage = ciborium::from_reader(&bytes[..]).unwrap();
        assert_eq!(read.work, message.work);
        let now = report_for_5_s(&cx, &read.contention);
        assert_near(
            admitted(&mut cx.state.borrow_mut(), now, "question"),
            1.0,
            &format!("{engines} engines"),
        );
    }
    for (rank, key) in [(256.0, 0.0), (-1.0, 0.0), (0.5, 0.0), (2.0, 1e10)] {
        let cx = gateway(contended());
        let mut wire = demand(2, 100.0);
        wire.demands[0] = (Number(rank), Number(key), Number(100_000.0));
        let now = report_for_5_s(&cx, &[wire]);
        assert_near(
            admitted(&mut cx.state.borrow_mut(), now, "question"),
            1.0,
            &format!("{rank} {key}"),
        );
    }
}

/// Guards against daemons without hubs whose capacity factors drift apart.
#[test]
fn update_contention_without_hubs_follows_the_factor_of_the_first_daemon() {
    for (name, expected) in [("a-first", 500.0), ("z-last", 900.0)] {
        let cx = gateway(contended());
        let (now, from) = (cx.now(), "127.0.0.1:9".parse().unwrap());
        let report = DemandWire { factor: Some(Number(500.0)), ..demand(2, 1.0) };
        let daemon = name.parse().unwrap();
        let message = StateMessage { daemon, ..peer_message(&cx, 1, vec![report]) };
        cx.state.borrow_mut().receive_message(now, from, message);
        cx.update_contention(now);
        assert_eq!(cx.message().contention[0].factor, Some(Number(expected)), "{name}");
    }
}

/// Guards against demand of a peer that left or is silent, and against refusals by a daemon that is cut off.
#[test]
fn update_contention_without_the_peer_admits_all() {
    for has_left in [true, false] {
        let cx = gateway(contended());
        let now = report_for_5_s(&cx, &[demand(2, 100.0)]);
        let mut state = cx.state.borrow_mut();
        assert!(admitted(&mut state, now, "question") < 0.3);
        if has_left {
            state.peer_table.remove_unlisted("peer");
        }
        let mut later = now;
        for _ in 0..40 {
            later = later + Duration::from_millis(200);
            state.update_contention(later);
        }
        assert_near(admitted(&mut state, later, "question"), 1.0, &format!("left: {has_left}"));
    }
}

fn level(share: f64) -> LevelWire {
    LevelWire {
        service: "plain".parse().unwrap(),
        factor: Number(700.0),
        shares: vec![(Number(2.0), Number(0.0), Number(share * 1000.0))],
    }
}

fn hub_message(
    name: &str,
    now: Time,
    live_peers: u32,
    levels: Option<Vec<LevelWire>>,
) -> HubMessage {
    let mut hub = Hubs::new(name.parse().unwrap(), 200.0, SECOND * 2);
    // A new hub waits before it broadcasts.
    let earlier = now.ago(SECOND);
    hub.record_store_contact(earlier);
    hub.update_role(earlier, 76, true);
    assert!(hub.message(earlier, Incarnation(1), HubStatus::default()).is_none());
    hub.record_store_contact(now);
    let status = HubStatus { daemons: 76, live_peers, levels, ..HubStatus::default() };
    // The number rises with time, as each message of a run is newer than the one before.
    HubMessage { number: now.0, ..hub.message(now, Incarnation(1), status).unwrap() }
}

/// A daemon of a system with hubs.
fn with_hubs(table: Table) -> std::rc::Rc<Gateway> {
    let cx = gateway(table);
    for index in 0..75 {
        let daemon = format!("d{index:02}").parse().unwrap();
        let address = format!("127.0.0.1:{}", 10_000 + index).parse().unwrap();
        let member = MemberRecord { daemon, address };
        cx.state.borrow_mut().peer_table.add_listed(cx.now(), member);
    }
    cx
}

/// Lets hubs send a level for five seconds, and returns their end.
fn hubs_for_5_s(cx: &Gateway, hubs: &[(&str, u32, Option<Vec<LevelWire>>)]) -> Time {
    let (start, from) = (cx.now(), "127.0.0.1:9".parse().unwrap());
    for step in 1..=20 {
        let now = start + Duration::from_millis(250) * step;
        let mut state = cx.state.borrow_mut();
        for (name, live_peers, levels) in hubs {
            let message = hub_message(name, now, *live_peers, levels.clone());
            state.receive_hub_message(now, from, message);
        }
        state.update_contention(now);
    }
    start + SECOND * 5
}

/// Guards against daemons that apply the levels of different hubs.
#[test]
fn level_source_hubs_that_differ_the_one_with_most_reports_counts() {
    let cx = with_hubs(contended());
    let (low, high) = (Some(vec![level(0.4)]), Some(vec![level(0.8)]));
    let now = hubs_for_5_s(&cx, &[("h1", 60, low.clone()), ("h2", 75, high.clone())]);
    let share = admitted(&mut cx.state.borrow_mut(), now, "question");
    assert!((0.78..0.82).contains(&share), "{share}");
    // With as many reports, the first by name counts, in whatever order the messages arrive.
    for order in [["h1", "h2"], ["h2", "h1"]] {
        let mut hubs = Hubs::new("me".parse().unwrap(), 10.0, SECOND * 2);
        for name in order {
            let levels = if name == "h1" { &low } else { &high };
            let message = hub_message(name, now, 75, levels.clone());
            hubs.receive(now, "127.0.0.1:9".parse().unwrap(), message);
        }
        let LevelSource::Hub(levels, _) = hubs.level_source(now, 75, false) else { panic!() };
        assert_eq!(levels, [level(0.4)]);
    }
    // A hub of an earlier release has no level.
    let cx = with_hubs(contended());
    let now = hubs_for_5_s(&cx, &[("h1", 60, low), ("h2", 75, None)]);
    let share = admitted(&mut cx.state.borrow_mut(), now, "question");
    assert!((0.38..0.42).contains(&share), "{share}");
}

/// Guards against refusals by an old level while no hub is heard, and by a daemon that has just started.
#[test]
fn update_contention_hubs_lost_shares_return_in_two_seconds() {
    let cx = with_hubs(contended());
    cx.update_contention(cx.now());
    assert_near(admitted(&mut cx.state.borrow_mut(), cx.now(), "question"), 1.0, "just started");
    let lost = hubs_for_5_s(&cx, &[("h1", 75, Some(vec![level(0.4)]))]);
    let mut state = cx.state.borrow_mut();
    let mut share_after = |ms| {
        let now = lost + Duration::from_millis(ms);
        state.update_contention(now);
        admitted(&mut state, now, "question")
    };
    assert!((0.38..0.42).contains(&share_after(1000)));
    let half = share_after(3000);
    assert!((0.65..0.75).contains(&half), "{half} after 3 s");
    assert_near(share_after(4100), 1.0, "");
}

/// Guards against absurd levels of a hub: they are ignored, and the hub still counts as live.
#[test]
fn receive_hub_message_absurd_levels_are_ignored() {
    for share in [-0.5, f64::NAN, 7.0] {
        let cx = with_hubs(contended());
        let now = hubs_for_5_s(&cx, &[("h1", 75, Some(vec![level(share)]))]);
        let mut state = cx.state.borrow_mut();
        assert_near(admitted(&mut state, now, "question"), 1.0, &format!("share {share}"));
        assert!(state.hubs.has_others(now));
    }
}

/// Guards against messages that grow beyond what the design note states.
#[test]
fn message_fields_stay_within_their_size() {
    let size = |value: &dyn Fn(&mut Vec<u8>)| {
        let mut bytes = Vec::new();
        value(&mut bytes);
        bytes.len()
    };
    let pairs = |count: u32, value: f64| -> Vec<_> {
        let key = |index| Number(f64::from(u32::MAX - index));
        (0..count).map(|index| (Number(2.0), key(index), Number(value))).collect()
    };
    for count in [0, 32, 1024] {
        let report = DemandWire {
            service: "a-service-of-24-letters".parse().unwrap(),
            demands: pairs(count, 999_999_999.0),
            outcomes: [Number(999_999.0); 3],
            factor: Some(Number(2000.0)),
        };
        let levels = LevelWire {
            service: report.service.clone(),
            factor: Number(2000.0),
            shares: pairs(count, 999.0),
        };
        let report = size(&|bytes| ciborium::into_writer(&report, bytes).unwrap());
        let levels = size(&|bytes| ciborium::into_writer(&levels, bytes).unwrap());
        println!("{count} pairs: report {report} bytes, level {levels} bytes");
        let bound = 60 + 12 * count as usize;
        assert!(report <= bound && levels <= bound, "{report} and {levels} of {bound}");
    }
}

/// Guards against services whose upstreams share their hosts being left out, and against their slow hosts
/// counting as usual ones.
#[test]
fn update_contention_service_whose_upstreams_report_a_pace_is_on_and_weighs_them() {
    let record = support::record(0, "127.0.0.1:1".parse().unwrap());
    let demand_of_each = f64::from(record.slots) * 0.4;
    let share_of_questions = |percent: Option<f64>| {
        let cx = gateway(ordered());
        if let Some(pace) = percent.and_then(Pace::from_percent) {
            let load = LoadReport { pace: ReportedPace::Valid(pace), ..LoadReport::default() };
            cx.state.borrow_mut().placement.record_load(cx.now(), &record.id, load);
        }
        let end = report_for_5_s(&cx, &[demand(0, demand_of_each), demand(2, demand_of_each)]);
        admitted(&mut cx.state.borrow_mut(), end, "question")
    };
    assert_near(share_of_questions(None), 1.0, "no pace, and the ranks are in order");
    assert_near(share_of_questions(Some(100.0)), 1.0, "a usual host has the capacity");
    assert!(share_of_questions(Some(200.0)) < 1.0, "the host has half of the usual capacity");
}
