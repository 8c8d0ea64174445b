//! Daemons over real sockets start each host in the cloud stand-in once and report their plan.

use std::time::{Duration, Instant};

use dogwoodturn::{
    store::cloud::{HostKind, Offer},
    supply::status::ServiceStatus,
    units::PricePerHour,
};
use dogwoodturn_load::{
    local::{LocalFleet, OPERATOR_TOKEN},
    sample,
};
use dogwoodturn_standins::cloud::CloudFaults;

/// Limit for starting the hosts, so that a hang fails the test; it is no bound on speed.
const TIMEOUT: Duration = Duration::from_secs(60);
const ZONES: [&str; 3] = ["salish-a", "salish-b", "salish-c"];
/// Sum of the `smallest` settings of the two managed services in the sample declarations.
const SMALLEST_HOSTS: usize = 6;

fn offer(zone: &str) -> Offer {
    Offer {
        zone: zone.parse().expect("a name"),
        class: "standard".parse().expect("a name"),
        kind: HostKind::Reclaimable,
        price: PricePerHour(300_000),
    }
}

fn supply_status(fleet: &LocalFleet) -> Vec<ServiceStatus> {
    let url = format!("http://{}/supply", fleet.daemons[0].operators());
    actix_rt::System::new().block_on(async {
        let req = awc::Client::default().get(url).bearer_auth(OPERATOR_TOKEN);
        let mut res = req.send().await.expect("answered");
        res.json().await.expect("the status of the supply")
    })
}

#[test]
fn supply_lost_answers_over_http_start_each_host_once() {
    let set = sample::declarations().expect("the samples have no fault");
    let mut fleet = LocalFleet::start(&[]).expect("the platform starts");
    let cloud = fleet.platform.cloud().clone();
    let now = cloud.now();
    cloud.lock().set_offers(now, ZONES.iter().map(|zone| offer(zone)).collect());
    cloud.lock().set_faults(CloudFaults { lose_answers: 3, ..CloudFaults::default() });
    fleet.publish(&set, "c1").expect("published");
    for data_centre in ZONES {
        fleet.add_daemon(data_centre, 1).expect("the daemon starts");
    }
    let deadline = Instant::now() + TIMEOUT;
    while cloud.lock().hosts().filter(|host| host.running).count() < SMALLEST_HOSTS {
        assert!(Instant::now() < deadline, "timed out waiting for {SMALLEST_HOSTS} running hosts");
        std::thread::sleep(Duration::from_millis(10));
    }
    let mut tokens: Vec<_> =
        cloud.lock().hosts().map(|host| host.start.client_token.clone()).collect();
    tokens.sort();
    tokens.dedup();
    assert_eq!(tokens.len(), SMALLEST_HOSTS, "two hosts have the same client token");
    assert_eq!(cloud.lock().started(), SMALLEST_HOSTS as u64, "a host was started twice");
    for service in supply_status(&fleet) {
        assert!(service.leases.iter().all(|lease| ZONES.contains(&lease.zone.as_str())));
    }
}
