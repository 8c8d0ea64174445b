//! A daemon's view of its peers from their messages.

#[path = "support/model.rs"]
mod model;

use dogwoodturn::{
    ids::{Era, Incarnation},
    request::crash_evidence::ReportWire,
    units::WallTime,
};
use dogwoodturn_gateway::peers::{PeerTable, StateMessage};
use model::at;

fn message(daemon: &str, number: u64, wall: u64) -> StateMessage {
    StateMessage {
        daemon: daemon.parse().unwrap(),
        incarnation: Incarnation(1),
        number,
        wall: WallTime(wall),
        table: 0,
        is_leader: false,
        admitted: Vec::new(),
        requested: Vec::new(),
        usage: Vec::new(),
        work: Vec::new(),
        demands: Vec::new(),
        contention: Vec::new(),
        crash_evidence: ReportWire::default(),
        upstream_limits: Vec::new(),
        brittle: Vec::new(),
        paces: Vec::new(),
        urgent_work: None,
        ramps: Vec::new(),
        tallies: Vec::new(),
        blocked_versions: Vec::new(),
        upstreams_at: None,
        store_era: Era::default(),
        leaving: Vec::new(),
        said_leaving: Vec::new(),
        isolated: Vec::new(),
        is_draining: false,
    }
}

#[test]
fn agreed_time_holds_while_fewer_than_half_of_the_clocks_are_wrong() {
    let mut peer_table = PeerTable::new("me".parse().unwrap());
    let wall = WallTime(1_000_000);
    for (daemon, clock) in [("a", 1_000_001), ("b", 1_000_000), ("c", 1_003_000), ("d", 999_999)] {
        peer_table.receive(at(0), wall, "127.0.0.1:1".parse().unwrap(), message(daemon, 1, clock));
    }
    let agreed = peer_table.agreed_time(at(100), wall).0;
    assert!(agreed.abs_diff(wall.0) <= 1, "{agreed}");
    // This daemon's own clock is now 3 s ahead, as the peers' next messages show.
    let fast_wall = WallTime(wall.0 + 3000);
    for (daemon, clock) in [("a", 1_000_001), ("b", 1_000_000), ("c", 1_003_000), ("d", 999_999)] {
        peer_table.receive(
            at(200),
            fast_wall,
            "127.0.0.1:1".parse().unwrap(),
            message(daemon, 2, clock),
        );
    }
    let agreed = peer_table.agreed_time(at(200), fast_wall).0;
    assert!(agreed.abs_diff(wall.0) <= 1, "{agreed}");
}

#[test]
fn admitted_many_daemons_stay_live_between_their_messages() {
    let mut peer_table = PeerTable::new("me".parse().unwrap());
    for index in 0..89_u64 {
        let daemon = format!("d{index}");
        peer_table.receive(
            at(0),
            WallTime(0),
            "127.0.0.1:1".parse().unwrap(),
            message(&daemon, 1, 0),
        );
    }
    // With messages to 12 peers every 250 ms, each of 89 peers receives one every 2 s.
    let peers = peer_table.admitted(at(2000), &"ada".parse().unwrap());
    assert_eq!((peers.live_peers, peers.silent), (89, 0));
    let peers = peer_table.admitted(at(4000), &"ada".parse().unwrap());
    assert_eq!((peers.live_peers, peers.silent), (0, 89));
}

#[test]
fn receive_late_or_repeated_message_is_ignored() {
    let mut peer_table = PeerTable::new("me".parse().unwrap());
    let from = "127.0.0.1:1".parse().unwrap();
    assert!(peer_table.receive(at(0), WallTime(0), from, message("a", 2, 0)));
    assert!(!peer_table.receive(at(1), WallTime(0), from, message("a", 2, 0)));
    assert!(!peer_table.receive(at(2), WallTime(0), from, message("a", 1, 0)));
    assert!(
        !peer_table.receive(at(3), WallTime(0), from, message("me", 9, 0)),
        "a daemon's own message is ignored"
    );
}
