//! Usage counts across restarts of daemons.

use std::time::Duration;

use dogwoodturn::{
    ids::{CustomerName, Incarnation},
    units::WallTime,
};
use dogwoodturn_gateway::usage::{Run, Usage};

#[test]
fn window_total_includes_daemons_that_are_gone() {
    let ada: CustomerName = "ada".parse().unwrap();
    let mut usage = Usage::new(Duration::from_secs(5));
    usage.record_start(WallTime(12_000), &ada);
    let run = |incarnation| ("b".parse().unwrap(), Incarnation(incarnation));
    usage.apply_peer_counts(run(1), &[(2, vec![(ada.clone(), 5)])]);
    usage.apply_peer_counts(run(1), &[(2, vec![(ada.clone(), 4)])]);
    usage.apply_peer_counts(run(2), &[(2, vec![(ada.clone(), 1)])]);
    assert_eq!(usage.window_total(2).counts[&ada], 7, "a late message does not lower counts");
}

#[test]
fn kept_counts_outlast_all_daemons_and_count_once() {
    let ada: CustomerName = "ada".parse().unwrap();
    let run = |daemon: &str, incarnation| (daemon.parse().unwrap(), Incarnation(incarnation));
    let mut before = Usage::new(Duration::from_secs(5));
    before.record_start(WallTime(12_000), &ada);
    before.apply_peer_counts(
        run("b", 1),
        &[(1, vec![(ada.clone(), 9)]), (2, vec![(ada.clone(), 5)])],
    );
    let kept = before.open_counts(&run("a", 1), 2, |_| true, usize::MAX).runs;
    assert_eq!(kept.len(), 2);
    // Both daemons have restarted and counted requests since. The stored counts, restored twice,
    // must count once.
    let mut after = Usage::new(Duration::from_secs(5));
    after.restore(&run("a", 2), &kept);
    after.restore(&run("a", 2), &kept);
    after.record_start(WallTime(14_000), &ada);
    after.apply_peer_counts(run("b", 2), &[(2, vec![(ada.clone(), 2)])]);
    assert_eq!(after.window_total(2).counts[&ada], 9);
    assert!(after.window_total(1).counts.is_empty(), "closed windows are not stored");
}

// A leader that had no space for all counts lost those that are not reported any more.
#[test]
fn open_counts_leave_out_a_daemon_that_is_gone() {
    let ada: CustomerName = "ada".parse().unwrap();
    let run = |daemon: &str| (daemon.parse().unwrap(), Incarnation(1));
    let mut usage = Usage::new(Duration::from_secs(5));
    for daemon in ["b", "c", "d", "e"] {
        usage.apply_peer_counts(run(daemon), &[(2, vec![(ada.clone(), 5)])]);
    }
    let is_reporting = |peer: &Run| *peer != run("d");
    let all = usage.open_counts(&run("a"), 2, is_reporting, usize::MAX);
    assert_eq!((all.runs.len(), all.left_out), (4, 0));
    let some = usage.open_counts(&run("a"), 2, is_reporting, all.bytes / 2);
    assert_eq!((some.runs.len(), some.left_out), (2, 2));
    assert_eq!(some.runs[0].daemon.as_str(), "d");
    assert!(some.bytes <= all.bytes / 2);
}
