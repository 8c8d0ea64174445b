//! Limits that upstreams name: how daemons share them, when they end, and what peers learn.

use dogwoodturn::{
    ids::UpstreamId,
    limit::upstream::{Change, Position, ReportWire, RequestRate, UpstreamLimits},
    units::Time,
};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg32;

const ALONE: Position = Position { rank: 0, count: 1 };

fn at(ms: u64) -> Time {
    Time(100_000_000 + ms * 1000)
}

fn upstream() -> UpstreamId {
    "u1".parse().unwrap()
}

fn rate(per_second: f64) -> Option<RequestRate> {
    RequestRate::new(per_second)
}

/// Limits of a daemon that received a response which names 2 requests a second.
fn limited() -> UpstreamLimits {
    let mut limits = UpstreamLimits::default();
    limits.record(at(0), &upstream(), at(0), rate(2.0));
    limits
}

fn is_limited(limits: &mut UpstreamLimits, ms: u64) -> bool {
    !limits.wait(at(ms), &upstream(), |_| ALONE).is_zero()
}

/// Sends whenever the limit allows it, with pauses after which all daemons may send at once. Returns
/// the largest number of requests in 4 s, and the mean number a second outside the pauses.
fn simulate(daemons: u32, per_second: f64, seed: u64) -> (usize, f64) {
    let mut rng = Pcg32::seed_from_u64(seed);
    let mut all = vec![UpstreamLimits::default(); daemons as usize];
    for limits in &mut all {
        limits.record(at(0), &upstream(), at(0), rate(per_second));
    }
    let (mut sent, mut busy_ms) = (Vec::new(), 0);
    for ms in (0..120_000_u64).step_by(10) {
        if ms % 20_000 >= 14_000 {
            continue;
        }
        busy_ms += 10;
        for (rank, limits) in (0..).zip(&mut all) {
            let position = Position { rank, count: daemons };
            let wait = limits.wait(at(ms), &upstream(), |_| position);
            if wait.is_zero() && rng.random_bool(0.8) {
                limits.record_sent(&upstream());
                limits.record(at(ms + 5), &upstream(), at(ms), rate(per_second));
                sent.push(ms);
            } else {
                // The others learn from those that send.
                limits.record(at(ms + 5), &upstream(), at(ms), rate(per_second));
            }
        }
    }
    let in_window = |from: u64| sent.iter().filter(|ms| (from..from + 4000).contains(*ms)).count();
    let most = sent.iter().map(|ms| in_window(*ms)).max().unwrap_or(0);
    (most, sent.len() as f64 * 1000.0 / f64::from(busy_ms))
}

#[test]
fn wait_requests_of_all_daemons_stay_within_the_limit() {
    const RATES: [f64; 7] = [0.0, 0.3, 1.0, 2.3, 3.4, 8.0, 25.0];
    let sizes = [1, 3, 7, 90].into_iter().flat_map(|daemons| RATES.map(|rate| (daemons, rate)));
    for (daemons, per_second) in sizes.chain([(670, 3.4)]) {
        let (most, mean) = simulate(daemons, per_second, u64::from(daemons));
        let allowed = per_second * 4.0 * 1.5 + 5.0;
        let case = format!("{daemons} daemons, {per_second} a second");
        assert!(most as f64 <= allowed, "{case}: {most} in 4 s, of {allowed} allowed");
        assert!(mean >= per_second * 0.7, "{case}: only {mean} a second are sent");
    }
}

#[test]
fn record_limit_ends_with_a_later_response_that_names_none() {
    let mut limits = limited();
    assert!(is_limited(&mut limits, 10));
    limits.record(at(20), &upstream(), at(0), None);
    assert!(is_limited(&mut limits, 30), "the request was sent before the limit was named");
    limits.record(at(40), &upstream(), at(30), None);
    assert!(!is_limited(&mut limits, 50));
    let changes = limits.take_changes();
    let expected = [rate(2.0), None].map(|rate| Change { upstream: upstream(), rate });
    assert_eq!(changes, expected);
}

#[test]
fn record_changed_limit_counts_at_once() {
    let mut limits = limited();
    limits.record(at(1000), &upstream(), at(900), rate(100.0));
    assert!(!is_limited(&mut limits, 2000));
    limits.record_sent(&upstream());
    assert!(!is_limited(&mut limits, 2020), "the new limit allows another request soon");
}

#[test]
fn wait_limit_expires_without_responses() {
    let mut limits = limited();
    assert!(is_limited(&mut limits, 10));
    limits.wait(at(29_000), &upstream(), |_| ALONE);
    limits.record_sent(&upstream());
    assert!(is_limited(&mut limits, 29_001));
    limits.expire(at(31_000));
    assert!(limits.is_empty() && !is_limited(&mut limits, 31_000));
}

#[test]
fn remove_restarted_upstream_has_no_limit() {
    let mut limits = limited();
    limits.remove(&upstream());
    assert!(!is_limited(&mut limits, 10));
}

#[test]
fn merge_latest_observation_counts() {
    let mut here = limited();
    assert!(here.take_news());
    let mut there = UpstreamLimits::default();
    let wire = |limits: &UpstreamLimits, ms| -> Vec<ReportWire> {
        limits.reports(at(ms)).into_iter().map(ReportWire::from).collect()
    };
    let named = wire(&here, 100);
    there.merge(at(100), named.clone().into_iter().map(Into::into));
    assert!(is_limited(&mut there, 110), "a daemon that has restarted learns the limit");
    there.record(at(300), &upstream(), at(200), None);
    assert!(there.take_news());
    here.merge(at(310), wire(&there, 310).into_iter().map(Into::into));
    assert!(!is_limited(&mut here, 320));
    // A report that is late does not bring the limit back.
    let late = named.into_iter().map(|ReportWire(id, rate, age)| ReportWire(id, rate, age + 400));
    here.merge(at(500), late.map(Into::into));
    assert!(!is_limited(&mut here, 510));
    assert!(!here.take_news(), "reports of peers are not passed on");
}

#[test]
fn upstreams_are_bounded() {
    let mut limits = UpstreamLimits::default();
    for number in 0..5000_u64 {
        let id = format!("u{number}").parse().unwrap();
        limits.record(at(number), &id, at(number), rate(1.0));
    }
    assert!(limits.reports(at(5000)).len() <= 1024);
}

#[test]
fn request_rate_rejects_what_is_no_rate() {
    for text in ["", "x", "-1", "nan", "inf", "1e999", "Fri, 04 Dec 2026 10:00:00 GMT"] {
        assert!(text.parse::<RequestRate>().is_err(), "{text}");
    }
    for (text, per_second) in [("3.4", 3.4), (" 2 ", 2.0), ("0", 0.0), ("0.5/s", 0.5)] {
        assert_eq!(text.parse(), Ok(RequestRate::new(per_second).unwrap()), "{text}");
    }
    assert_eq!(RequestRate::new(2.5).unwrap().to_string(), "2.5/s");
}
