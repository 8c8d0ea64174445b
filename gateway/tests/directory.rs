//! Which upstreams may take new work, while entries vanish, return and are told by peers.

#[path = "support/model.rs"]
mod model;

use dogwoodturn::{ids::UpstreamId, units::Time};
use dogwoodturn_gateway::{
    directory::{Directory, Upstream},
    store::UpstreamRecord,
};
use model::{at, directory, record, service};

fn live(directory: &Directory, now: Time) -> Vec<&Upstream> {
    directory.live(now, &service())
}

fn ids(upstreams: &[&Upstream]) -> Vec<String> {
    upstreams.iter().map(|upstream| upstream.record.id.to_string()).collect()
}

#[test]
fn live_entry_that_vanishes_is_left_at_once() {
    let mut directory = directory(&["a", "b"]);
    directory.mark_unlisted(at(0), "a");
    assert_eq!(ids(&live(&directory, at(0))), ["b"]);
}

#[test]
fn live_entries_that_lapse_while_the_store_is_away_stay_until_it_is_back() {
    let mut directory = directory(&["a", "b"]);
    directory.store_lost();
    directory.store_regained(at(1000));
    directory.retain_listed(at(1000), &["b".parse().unwrap()]);
    assert_eq!(ids(&live(&directory, at(1500))), ["a", "b"]);
    assert_eq!(ids(&live(&directory, at(3000))), ["b"], "missing two seconds later is gone");
}

#[test]
fn live_last_upstream_that_vanishes_serves_as_a_last_resort_for_a_moment() {
    let mut directory = directory(&["a"]);
    directory.mark_unlisted(at(0), "a");
    assert_eq!(live(&directory, at(500)).len(), 1);
    assert_eq!(live(&directory, at(1300)).len(), 0);
}

#[test]
fn live_upstream_that_leaves_takes_nothing() {
    let mut directory = directory(&["a", "b"]);
    directory.apply_leaving(&"a".parse().unwrap(), 1, true);
    assert_eq!(ids(&live(&directory, at(0))), ["b"]);
}

#[test]
fn live_new_start_under_the_same_id_outlasts_what_was_said_of_the_last() {
    let (mut here, mut there) = (directory(&["a"]), directory(&["a"]));
    there.set(UpstreamRecord { draining: true, ..record("a", "here", false) });
    let said = there.leaving_upstreams(at(0));
    let anew = UpstreamRecord { started: 2, ..record("a", "here", false) };
    here.set(anew.clone());
    for (id, started) in &said {
        here.apply_leaving(id, *started, true);
    }
    assert_eq!(live(&here, at(0)).len(), 1, "an older start's leaving does not count");
    // What a peer said is not passed on, or two daemons would keep each other believing it.
    for (id, started) in &said {
        there.apply_leaving(id, *started, true);
    }
    there.set(anew);
    here.apply_leaving(&"a".parse().unwrap(), 2, true);
    assert!(here.leaving_upstreams(at(0)).is_empty() && there.leaving_upstreams(at(0)).is_empty());
    assert_eq!(live(&there, at(0)).len(), 1);
}

#[test]
fn live_entry_that_went_while_only_this_daemon_was_cut_off_is_left_at_once() {
    let id: UpstreamId = "a".parse().unwrap();
    let mut peer = directory(&["a", "b"]);
    peer.mark_unlisted(at(12_900), "a");
    let told = peer.leaving_upstreams(at(13_000));
    assert_eq!(told, [(id, 1)]);

    let mut here = directory(&["a", "b"]);
    here.store_lost();
    for (id, started) in &told {
        here.apply_leaving(id, *started, true);
    }
    here.store_regained(at(14_200));
    here.retain_listed(at(14_200), &["b".parse().unwrap()]);
    assert_eq!(ids(&live(&here, at(14_300))), ["b"]);

    let mut too_late = directory(&["a", "b"]);
    too_late.store_lost();
    too_late.store_regained(at(13_100));
    too_late.retain_listed(at(13_100), &["b".parse().unwrap()]);
    for (id, started) in &told {
        too_late.apply_leaving(id, *started, false);
    }
    assert_eq!(ids(&live(&too_late, at(13_200))), ["b"]);
}

#[test]
fn live_entry_that_is_back_is_not_left_for_an_old_word() {
    let mut here = directory(&["a", "b"]);
    here.apply_leaving(&"a".parse().unwrap(), 1, false);
    assert_eq!(ids(&live(&here, at(0))), ["a", "b"]);
}

#[test]
fn all_leaving_entries_that_may_only_have_lapsed_are_not_told() {
    let mut directory = directory(&["a", "b"]);
    directory.store_lost();
    directory.store_regained(at(1000));
    directory.retain_listed(at(1000), &["b".parse().unwrap()]);
    assert_eq!(directory.leaving_upstreams(at(1500)), []);
    assert_eq!(directory.leaving_upstreams(at(3100)).len(), 1);
}
