//! End-to-end: publishes declarations and sends requests through a daemon over real sockets.

use dogwoodturn_load::{
    caller::{CallerOutcome, CallerRequest, send_request},
    local::LocalFleet,
    sample,
};

fn fleet() -> LocalFleet {
    let set = sample::declarations().expect("the samples have no fault");
    let mut fleet = LocalFleet::start(&sample::UPSTREAMS).expect("the stand-ins start");
    fleet.publish(&set, "c1").expect("published");
    fleet.add_daemon("salish-a", 1).expect("the daemon starts");
    fleet.wait_ready().expect("the daemon is ready");
    fleet
}

fn send(fleet: &LocalFleet, token: &str, caller_request: &CallerRequest) -> CallerOutcome {
    let base = format!("http://{}", fleet.daemons[0].callers());
    actix_rt::System::new().block_on(async {
        let client = awc::Client::default();
        send_request(&client, &base, token, caller_request).await
    })
}

fn completion(path: &str, stream: bool) -> CallerRequest {
    CallerRequest::Completion {
        path: path.into(),
        prompt: "a phrase".into(),
        max_tokens: 20,
        stream,
    }
}

#[test]
fn path_streamed_whole_and_plain() {
    let fleet = fleet();
    assert_eq!(
        send(&fleet, "ferries-token", &completion("/phrases", true)),
        CallerOutcome::Completed
    );
    assert_eq!(
        send(&fleet, "brokers-token", &completion("/appraisals", false)),
        CallerOutcome::Completed
    );
    let booking = CallerRequest::Booking { path: "/consignments".into(), key: "lot-1".into() };
    assert_eq!(send(&fleet, "growers-token", &booking), CallerOutcome::Completed);
}

#[test]
fn path_refusals_say_not_run() {
    let fleet = fleet();
    assert_eq!(send(&fleet, "ferries-token", &completion("/nowhere", true)), CallerOutcome::NotRun);
    assert_eq!(send(&fleet, "nobody-token", &completion("/phrases", true)), CallerOutcome::NotRun);
    fleet.platform.set_hosts(Vec::new());
    let has_no_hosts = || fleet.daemons[0].snapshot().hosts.is_empty();
    while !has_no_hosts() {
        std::thread::yield_now();
    }
    assert_eq!(send(&fleet, "ferries-token", &completion("/phrases", true)), CallerOutcome::NotRun);
}
