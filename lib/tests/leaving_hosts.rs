//! Which hosts count as leaving while the host list lags behind, or contradicts a notice.

use std::{sync::Arc, time::Duration};

use dogwoodturn::{
    store::cloud::HostKind,
    units::WallTime,
    upstream::{HostRecord, HostState, leaving::LeavingHosts},
};

const REMOVED_AT: WallTime = WallTime(1_000_000);

fn list(names: &[&str]) -> Arc<[HostRecord]> {
    let record = |name: &&str| HostRecord {
        host: name.parse().unwrap(),
        upstream: name.parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: "here".parse().unwrap(),
        zone: "here".parse().unwrap(),
        class: "standard".parse().unwrap(),
        kind: HostKind::Reclaimable,
        service: "ledger".parse().unwrap(),
        version: "v1".parse().unwrap(),
        state: HostState::Live,
    };
    names.iter().map(record).collect()
}

/// Returns the hosts that may get new work.
fn live(leaving: &LeavingHosts, hosts: &Arc<[HostRecord]>) -> Vec<String> {
    let hosts = leaving.apply(hosts);
    let live = hosts.iter().filter(|host| host.state == HostState::Live);
    live.map(|host| host.host.to_string()).collect()
}

#[test]
fn follow_list_that_lags_behind_a_notice() {
    let mut leaving = LeavingHosts::default();
    leaving.insert("a".parse().unwrap(), REMOVED_AT);
    for after in [Duration::ZERO, Duration::from_secs(30)] {
        leaving.follow(REMOVED_AT + after, &list(&["a", "b"]), &list(&["a", "b", "c"]));
        assert_eq!(live(&leaving, &list(&["a", "b", "c"])), ["b", "c"], "{after:?}");
    }
}

// An upstream that said that it leaves started again on its host, which got no work any more.
#[test]
fn follow_list_that_shows_a_host_long_after_its_removal() {
    let mut leaving = LeavingHosts::default();
    leaving.insert("a".parse().unwrap(), REMOVED_AT);
    let later = REMOVED_AT + Duration::from_mins(1);
    leaving.follow(later, &list(&["a", "b"]), &list(&["a", "b", "c"]));
    assert_eq!(live(&leaving, &list(&["a", "b", "c"])), ["a", "b", "c"]);
}

#[test]
fn follow_list_without_a_host_that_is_listed_again() {
    let mut leaving = LeavingHosts::default();
    leaving.insert("a".parse().unwrap(), REMOVED_AT);
    leaving.follow(REMOVED_AT, &list(&["a", "b"]), &list(&["b"]));
    assert_eq!(live(&leaving, &list(&["a", "b"])), ["a", "b"]);
}
