//! The whole path: publish, a daemon, and requests to stand-ins, over real sockets.

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

fn see(fleet: &LocalFleet, token: &str, one: &CallerRequest) -> CallerOutcome {
    let base = format!("http://{}", fleet.daemons[0].callers());
    actix_rt::System::new().block_on(async {
        let client = awc::Client::default();
        send_request(&client, &base, token, one).await
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
        see(&fleet, "ferries-token", &completion("/phrases", true)),
        CallerOutcome::Completed
    );
    assert_eq!(
        see(&fleet, "brokers-token", &completion("/appraisals", false)),
        CallerOutcome::Completed
    );
    let booking = CallerRequest::Booking { path: "/consignments".into(), key: "lot-1".into() };
    assert_eq!(see(&fleet, "growers-token", &booking), CallerOutcome::Completed);
}

#[test]
fn path_refusals_say_not_run() {
    let fleet = fleet();
    assert_eq!(see(&fleet, "ferries-token", &completion("/nowhere", true)), CallerOutcome::NotRun);
    assert_eq!(see(&fleet, "nobody-token", &completion("/phrases", true)), CallerOutcome::NotRun);
    fleet.platform.set_hosts(Vec::new());
    let gone = || fleet.daemons[0].snapshot().hosts.is_empty();
    while !gone() {
        std::thread::yield_now();
    }
    assert_eq!(see(&fleet, "ferries-token", &completion("/phrases", true)), CallerOutcome::NotRun);
}
