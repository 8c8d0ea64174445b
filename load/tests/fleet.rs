//! Daemons form a fleet over real sockets, and lose and find each other.

use std::time::{Duration, Instant};

use dogwoodturn_daemon::Daemon;
use dogwoodturn_load::{local::LocalFleet, sample};

/// How long a fleet may take to agree; it bounds a hang, not the speed.
const PATIENCE: Duration = Duration::from_secs(30);

fn fleet(data_centres: &[&str]) -> LocalFleet {
    let set = sample::declarations().expect("the samples have no fault");
    let mut fleet = LocalFleet::start(&[]).expect("the platform starts");
    fleet.publish(&set, "c1").expect("published");
    for data_centre in data_centres {
        fleet.add_daemon(data_centre, 1).expect("the daemon starts");
    }
    fleet
}

fn wait_for(what: &str, mut holds: impl FnMut() -> bool) {
    let deadline = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < deadline, "waited in vain for {what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

fn agree(daemons: &[Daemon], count: usize) -> bool {
    daemons.iter().all(|daemon| daemon.snapshot().members.len() == count)
}

#[test]
fn members_found_lost_left_and_replaced() {
    let mut fleet = fleet(&["salish-a", "salish-b", "salish-c", "salish-a", "salish-b"]);
    wait_for("five members", || agree(&fleet.daemons, 5));

    drop(fleet.daemons.pop());
    wait_for("four members after a crash", || agree(&fleet.daemons, 4));

    let left = fleet.daemons.pop().expect("a daemon");
    let (name, address) = (left.snapshot().members[0].clone(), left.peers());
    assert!(left.drain(), "nothing was in flight");
    wait_for("three members after a clean leave", || agree(&fleet.daemons, 3));

    let mut settings = fleet.settings(9, "salish-a", 1).expect("settings");
    settings.peers = address;
    fleet.daemons.push(Daemon::start(&settings).expect("the daemon starts at the same address"));
    wait_for("four members after a replacement", || agree(&fleet.daemons, 4));
    let members = fleet.daemons[0].snapshot().members.clone();
    assert!(members.iter().any(|member| member.daemon == settings.name), "{members:?} {name:?}");
}

#[test]
fn members_with_another_key_are_refused() {
    let fleet = fleet(&["salish-a", "salish-b"]);
    wait_for("two members", || agree(&fleet.daemons, 2));
    let mut settings = fleet.settings(7, "salish-c", 1).expect("settings");
    settings.peer_key = [8; 32];
    let stranger = Daemon::start(&settings).expect("the stranger starts");
    let refused = || {
        let counters = fleet.daemons.iter().map(Daemon::peer_counters);
        let counts = counters.map(|c| c.unauthenticated.load(std::sync::atomic::Ordering::Relaxed));
        counts.sum::<u64>() > 0
    };
    wait_for("a refusal", refused);
    assert_eq!(stranger.snapshot().members.len(), 1);
    assert!(agree(&fleet.daemons, 2));
}
