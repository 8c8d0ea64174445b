//! Paces and urgent work in the messages between daemons.

mod support;

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use dogwoodturn::{ids::UpstreamId, upstream::speed};
use dogwoodturn_gateway::{
    gateway::Gateway,
    header_schema::{LoadReport, Prompt, ReportedPace},
    peers::{Datagram, StateMessage, WorkMessage},
    placement::{Homes, PeerView, RankClass, Selection, SelectionCriteria, Work},
    rollout::VersionRule,
};
use speed::Pace;
use support::{TestGateway, Upstream, UpstreamAction, get, ok};

/// Returns a gateway that knows an upstream, and the state message of a peer.
fn gateway_and_peer() -> (Rc<Gateway>, StateMessage) {
    let new = || Gateway::new(support::settings(), support::header_schema(), support::no_store());
    let cx = new();
    cx.state.borrow_mut().directory.set(support::record(0, address()));
    let peer = StateMessage { daemon: "peer".parse().unwrap(), ..new().message() };
    (cx, peer)
}

fn address() -> SocketAddr {
    "127.0.0.1:1".parse().unwrap()
}

fn upstream() -> UpstreamId {
    "u0".parse().unwrap()
}

fn work_message(peer: &StateMessage, number: u64, paces: Vec<speed::ReportWire>) -> WorkMessage {
    WorkMessage {
        daemon: peer.daemon.clone(),
        incarnation: peer.incarnation,
        number,
        work: Vec::new(),
        paces,
        urgent_work: None,
        ramps: Vec::new(),
        cold: Vec::new(),
    }
}

fn predict(cx: &Gateway) -> Duration {
    let criteria = SelectionCriteria {
        service: &"plain".parse().unwrap(),
        engine: None,
        prompt: &Prompt::default(),
        local_data_centre: &"here".parse().unwrap(),
        latency_target: Duration::from_secs(60),
        remaining: Duration::from_secs(60),
        tried: &[],
        versions: VersionRule::Any,
        homes: Homes::default(),
        rank: RankClass::Unranked,
    };
    match cx.state.borrow_mut().choose(cx.now(), &criteria) {
        Selection::Upstream(ticket) => ticket.predicted,
        other => panic!("{other:?}"),
    }
}

/// Guards against samples of peers that have no effect, and against ones that late, repeated or
/// reordered messages bring back.
#[test]
fn receive_work_messages_out_of_order_leave_the_latest_pace() {
    let (cx, peer) = gateway_and_peer();
    let usual = predict(&cx);
    cx.state.borrow_mut().receive_message(cx.now(), address(), peer.clone());
    let receive = |number, percent, age| {
        let paces = vec![speed::ReportWire(upstream(), percent, age)];
        let message = work_message(&peer, peer.number + number, paces);
        cx.state.borrow_mut().receive_work(cx.now(), address(), message);
    };
    receive(5, 300, 0);
    assert_eq!(predict(&cx), usual * 3);
    receive(4, 50, 0);
    receive(5, 50, 0);
    assert_eq!(predict(&cx), usual * 3, "a message that another one has overtaken");
    receive(6, 50, 400);
    assert_eq!(predict(&cx), usual * 3, "a sample before the latest one");
    receive(7, 50, 0);
    assert_eq!(predict(&cx), usual / 2);
}

/// Guards against absurd samples of peers, against state for upstreams that do not exist, and against
/// samples that are passed on.
#[test]
fn receive_message_absurd_paces_are_ignored() {
    let (cx, mut peer) = gateway_and_peer();
    let usual = predict(&cx);
    let wire = |percent, age| speed::ReportWire(upstream(), percent, age);
    peer.paces =
        vec![wire(0, 0), wire(-100, 0), wire(i64::MAX, 0), wire(300, -1), wire(300, i64::MAX)];
    peer.paces.push(speed::ReportWire("unknown".parse().unwrap(), 300, 0));
    cx.state.borrow_mut().receive_message(cx.now(), address(), peer.clone());
    assert_eq!(predict(&cx), usual);
    peer.paces = vec![wire(300, 0)];
    peer.number += 1;
    cx.state.borrow_mut().receive_message(cx.now(), address(), peer);
    assert_eq!(predict(&cx), usual * 3);
    assert_eq!(cx.message().paces, []);
}

/// Guards against messages that daemons of the previous release cannot read, and against a failure to
/// read theirs: without paces and ranks, messages are as before.
#[test]
fn message_without_paces_has_no_new_fields() {
    let (cx, peer) = gateway_and_peer();
    let encode = |datagram: &Datagram| {
        let mut bytes = Vec::new();
        ciborium::into_writer(datagram, &mut bytes).unwrap();
        bytes
    };
    let datagrams = || {
        [Datagram::State(Box::new(cx.message())), Datagram::Work(cx.work_message())]
            .map(|d| encode(&d))
    };
    let holds = |bytes: &[u8], name: &str| bytes.windows(name.len()).any(|w| w == name.as_bytes());
    for bytes in datagrams() {
        assert!(!holds(&bytes, "paces") && !holds(&bytes, "urgent_work"));
        let read: Datagram = ciborium::from_reader(&bytes[..]).unwrap();
        assert_eq!(encode(&read), bytes);
    }
    let pace = ReportedPace::Valid(Pace::from_percent(170.0).unwrap());
    let load = LoadReport { pace, ..LoadReport::default() };
    cx.state.borrow_mut().placement.record_load(cx.now(), &upstream(), load);
    for bytes in datagrams() {
        assert!(holds(&bytes, "paces"));
    }
    // A peer that sends no urgent work may be of the previous release: all of its work may be urgent.
    let work = Work { requests: 3, pending_prefill_tokens: 50, memory: 70 };
    let view = |urgent_work| {
        let (cx, mut peer) = (gateway_and_peer().0, peer.clone());
        peer.work = vec![(upstream(), 3, 50, 70, 0)];
        peer.urgent_work = urgent_work;
        let mut state = cx.state.borrow_mut();
        state.receive_message(cx.now(), address(), peer);
        state.peer_table.views(cx.now())[&upstream()]
    };
    let expected = |urgent_work| PeerView { work, urgent_work, failure_score: 0.0 };
    assert_eq!(view(None), expected(work));
    assert_eq!(view(Some(Vec::new())), expected(Work::default()));
    let absurd = view(Some(vec![(upstream(), u32::MAX, u64::MAX, 1); 2]));
    assert_eq!(absurd, expected(Work { memory: 2, ..work }));
}

/// Guards against messages that exceed a datagram: the numbers in `docs/design/upstream-speed.md`.
#[test]
fn message_paces_fit_into_a_datagram() {
    let (_, peer) = gateway_and_peer();
    let report = |index| speed::ReportWire(format!("engine-{index:04}").parse().unwrap(), 425, 480);
    let length = |message: &WorkMessage| {
        let mut bytes = Vec::new();
        ciborium::into_writer(&Datagram::Work(message.clone()), &mut bytes).unwrap();
        bytes.len()
    };
    let mut message = work_message(&peer, 1, Vec::new());
    let empty = length(&message);
    message.paces = (0..speed::MAX_REPORTS).map(report).collect();
    let paces = length(&message) - empty;
    println!("{paces} bytes for {} paces", message.paces.len());
    message.urgent_work = Some(Vec::new());
    let with_urgent = length(&message);
    message.urgent_work =
        Some((0..100).map(|index| (report(index).0, 12, 150_000, 150_000)).collect());
    println!("{} bytes for 100 upstreams with urgent work", length(&message) - with_urgent);
    assert!(paces <= 64 * 24, "{paces} bytes");
    assert!(length(&message) < 8 * 1024);
}

/// Guards against a pace in a response that is not read, and against a malformed one that fails the
/// request.
#[actix_rt::test]
async fn exchange_pace_of_a_response_is_recorded() {
    let paces = ["300", "fast", "0"];
    let index = Cell::new(0);
    let upstream = Upstream::start(move |_| {
        let load = format!("X-Load: {}\r\nX-Id", paces[index.get()]);
        index.set(index.get() + 1);
        UpstreamAction::Write(ok("fine").replacen("X-Id", &load, 1))
    });
    let gateway = TestGateway::start(&[&upstream]).await;
    for id in 0..paces.len() {
        let response = gateway.exchange(&get("/look/1", &format!("r{id}"))).await;
        assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
    }
    let reported: Vec<_> = gateway.cx.message().paces.iter().map(|report| report.1).collect();
    assert_eq!(reported, [300]);
    let metrics = gateway.cx.metrics.text();
    assert!(metrics.contains("dogwoodturn_gateway_upstream_pace_count 1\n"), "{metrics}");
}
