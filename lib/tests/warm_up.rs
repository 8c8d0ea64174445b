//! Cold upstreams: how daemons share the requests that they tolerate, and how that ends.

use std::time::Duration;

use dogwoodturn::{
    ids::UpstreamId,
    limit::{
        upstream::Position,
        warm_up::{WarmUpBound, WarmUps},
    },
    units::Time,
};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg32;

const WARM_UP: Duration = Duration::from_secs(3);

fn at(ms: u64) -> Time {
    Time(100_000_000 + ms * 1000)
}

fn upstream() -> UpstreamId {
    "u1".parse().unwrap()
}

/// An upstream that tolerates 16 requests a second, where 29 may arrive.
fn bound() -> WarmUpBound {
    WarmUpBound::new(16.0, 1.5, 5.0).unwrap()
}

/// Returns the largest number of times within one second.
fn most_in_a_second(sent: &[u64]) -> usize {
    let in_second =
        |from: &u64| sent.iter().filter(|ms| (*from..from + 1000).contains(*ms)).count();
    sent.iter().map(in_second).max().unwrap_or(0)
}

/// Daemons with more requests than the upstream tolerates. `learn` returns when a daemon learns that the
/// upstream is cold, and `position` what it takes for its position at a time. Until it learns of it, a
/// daemon sends its part of the usual load. Returns when requests were sent.
fn simulate(
    daemons: u32,
    learn: impl Fn(u32) -> u64,
    position: impl Fn(u32, u64) -> Position,
    usual_per_second: f64,
    seed: u64,
) -> Vec<u64> {
    let mut rng = Pcg32::seed_from_u64(seed);
    let mut all = vec![WarmUps::default(); daemons as usize];
    let mut sent = Vec::new();
    for ms in (0..3000).step_by(10) {
        for (rank, warm_ups) in (0..).zip(&mut all) {
            if ms < learn(rank) {
                if rng.random_bool(usual_per_second / f64::from(daemons) / 100.0) {
                    sent.push(ms);
                }
                continue;
            }
            if ms == learn(rank) {
                warm_ups.extend(at(ms), &upstream(), bound(), WARM_UP);
            }
            if warm_ups.wait(at(ms), &upstream(), |_| position(rank, ms)).is_zero() {
                warm_ups.record_sent(&upstream());
                sent.push(ms);
            }
        }
    }
    sent
}

#[test]
fn wait_all_daemons_together_stay_within_the_bound() {
    for daemons in [1, 2, 9, 62, 295] {
        let position = |rank, _| Position { rank, count: daemons };
        let sent = simulate(daemons, |_| 0, position, 0.0, 1);
        let most = most_in_a_second(&sent);
        assert!(most as f64 <= bound().requests(), "{daemons} daemons send {most} in a second");
        // Callers must not be refused while the upstream tolerates more: two thirds of its rate are used.
        assert!(sent.len() >= 3 * 16 * 2 / 3, "{daemons} daemons send {} in 3 s", sent.len());
    }
}

#[test]
fn wait_daemons_that_are_cut_off_stay_within_the_bound_with_the_others() {
    for seed in 0..20 {
        // A third does not learn of it, and all send as many requests as they did to the warm upstream.
        let learn = |rank| if rank % 3 == 0 { u64::MAX } else { 0 };
        let position = |rank, _| Position { rank, count: 62 };
        let most = most_in_a_second(&simulate(62, learn, position, 8.0, seed));
        assert!(most as f64 <= bound().requests(), "seed {seed}: {most} in a second");
    }
}

#[test]
fn wait_daemons_that_disagree_about_members_stay_within_the_bound() {
    for seed in 0..20 {
        // Four daemons join, of which half of the others learn a second later; some ranks are held twice.
        let position = |rank: u32, ms: u64| {
            let knows = ms >= 1500 || rank.is_multiple_of(2) && ms >= 500;
            if knows {
                Position { rank, count: 66 }
            } else {
                Position { rank: rank.saturating_sub(2), count: 62 }
            }
        };
        let most = most_in_a_second(&simulate(66, |_| 0, position, 0.0, seed));
        assert!(most as f64 <= bound().requests(), "seed {seed}: {most} in a second");
    }
}

#[test]
fn wait_ends_with_the_warm_up() {
    let mut warm_ups = WarmUps::default();
    let last = Position { rank: 61, count: 62 };
    warm_ups.extend(at(0), &upstream(), bound(), WARM_UP);
    assert_eq!(warm_ups.wait(at(2900), &upstream(), |_| last), Duration::from_millis(100));
    assert!(warm_ups.wait(at(3000), &upstream(), |_| last).is_zero());
    warm_ups.expire(at(3000));
    assert!(warm_ups.is_empty());
    let changes: Vec<_> = warm_ups.take_changes().into_iter().map(|change| change.cold).collect();
    assert_eq!(changes, [Some((bound(), WARM_UP)), None]);
}

#[test]
fn extend_with_a_shorter_time_does_not_end_the_warm_up() {
    let mut warm_ups = WarmUps::default();
    let last = Position { rank: 61, count: 62 };
    warm_ups.extend(at(0), &upstream(), bound(), WARM_UP);
    // A record from before the restart arrives late.
    warm_ups.extend(at(100), &upstream(), bound(), Duration::from_millis(10));
    assert!(!warm_ups.wait(at(1000), &upstream(), |_| last).is_zero());
}

#[test]
fn new_numbers_that_are_no_rates_give_no_bound() {
    for (rate, overshoot, allowance) in [
        (0.0, 1.5, 5.0),
        (-1.0, 1.5, 5.0),
        (f64::NAN, 1.5, 5.0),
        (16.0, f64::INFINITY, 5.0),
        (16.0, 1.5, -5.0),
    ] {
        assert_eq!(WarmUpBound::new(rate, overshoot, allowance), None);
    }
}
