//! The decision on which ways bytes wait, without a network.
//!
//! Load: a gateway with five requests a second whose link is full, or one of whose upstreams is gone.

use std::time::Duration;

use dogwoodturn::{ids::UpstreamId, units::Time};
use dogwoodturn_gateway::send_delay::SendDelays;

fn at(ms: u64) -> Time {
    Time(10_000_000 + ms * 1000)
}

fn upstream(index: usize) -> UpstreamId {
    format!("u{index}").parse().unwrap()
}

/// Writes to an upstream at a time, and finds it unacknowledged some time later.
fn wait(delays: &mut SendDelays, index: usize, written: u64, seen: u64) {
    delays.record_waiting(at(seen), &upstream(index), at(written));
}

#[test]
fn is_delayed_full_link_delays_all_upstreams() {
    let mut delays = SendDelays::default();
    wait(&mut delays, 1, 0, 20);
    assert!(!delays.is_delayed(at(20), &upstream(2)), "not late yet");
    wait(&mut delays, 1, 0, 140);
    assert!(delays.is_delayed(at(140), &upstream(2)));
    // What was written before says nothing of the bytes that wait.
    delays.record_acknowledged(&upstream(3), Time(at(0).0 - 1));
    assert!(delays.is_delayed(at(140), &upstream(2)));
}

#[test]
fn is_delayed_upstream_that_is_gone_delays_no_other() {
    let mut delays = SendDelays::default();
    wait(&mut delays, 1, 0, 140);
    delays.record_acknowledged(&upstream(2), at(50));
    assert!(!delays.is_delayed(at(150), &upstream(2)));
    assert!(delays.is_delayed(at(150), &upstream(1)));
    delays.record_acknowledged(&upstream(1), at(150));
    assert!(!delays.is_delayed(at(150), &upstream(1)));
}

#[test]
fn is_delayed_evidence_expires() {
    let mut delays = SendDelays::default();
    wait(&mut delays, 1, 0, 140);
    let later = at(140) + Duration::from_secs(2);
    assert!(!delays.is_delayed(later, &upstream(1)));
    delays.expire(later);
    wait(&mut delays, 1, 5000, 5020);
    assert!(!delays.is_delayed(at(5020), &upstream(1)), "the old bytes are forgotten");
}
