//! The speed of upstreams that share their hosts: estimates from few samples, and their exchange.

use std::time::Duration;

use dogwoodturn::{
    ids::UpstreamId,
    units::Time,
    upstream::speed::{
        MAX_REPORTS, Pace, PaceError, Report, ReportError, ReportWire, Speed, limit_reports,
    },
};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg32;

/// The interval in which an upstream's pace stays the same.
const INTERVAL_MS: u64 = 600;

fn at(ms: u64) -> Time {
    Time(100_000_000 + ms * 1000)
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn pace(percent: f64) -> Pace {
    Pace::from_percent(percent).unwrap()
}

fn upstream() -> UpstreamId {
    "u1".parse().unwrap()
}

/// Returns the pace in each interval: the usual one, or 2.5 times as much in 15 of 100 intervals.
fn paces(usual: f64, intervals: usize, seed: u64) -> Vec<f64> {
    let mut rng = Pcg32::seed_from_u64(seed);
    let mut next = || if rng.random_bool(0.15) { usual * 2.5 } else { usual };
    std::iter::repeat_with(&mut next).take(intervals).collect()
}

/// Guards against short slow intervals that are taken for the usual pace, also with many responses in
/// one of them.
#[test]
fn factor_short_slow_intervals_leave_the_usual_pace() {
    for seed in 0..50 {
        let paces = paces(170.0, 200, seed);
        let mut speed = Speed::default();
        let mut wrong = 0;
        for (interval, percent) in (0..).zip(&paces) {
            let responses = if *percent > 170.0 { 30 } else { 2 };
            for number in 0..responses {
                let now = at(interval * INTERVAL_MS + number * INTERVAL_MS / responses);
                speed.record(now, pace(*percent));
                assert_eq!(speed.factor(now), Some(percent / 100.0));
            }
            wrong += u32::from(interval > 10 && speed.usual() != Some(pace(170.0)));
        }
        assert!(wrong <= 2, "seed {seed}: {wrong} intervals with a wrong usual pace");
    }
}

/// Guards against a pace that is used after it has ended, and against one that is used for ever.
#[test]
fn factor_falls_back_to_the_usual_pace_and_then_to_none() {
    let mut speed = Speed::default();
    assert_eq!(speed.factor(at(0)), None);
    for number in 0..9 {
        speed.record(at(number * INTERVAL_MS), pace(70.0));
    }
    speed.record(at(6000), pace(175.0));
    assert_eq!(speed.factor(at(6599)), Some(1.75));
    assert_eq!(speed.factor(at(6600)), Some(0.7));
    assert_eq!(speed.factor(at(65_900)), Some(0.7));
    assert_eq!(speed.factor(at(66_000)), None);
}

/// Guards against a host whose speed has changed for good and that is still judged by its old one.
#[test]
fn record_lasting_change_becomes_the_usual_pace_and_is_logged_once() {
    let mut speed = Speed::default();
    let mut logged = Vec::new();
    for number in 0..30 {
        let percent = if number < 12 { 70.0 } else { 170.0 };
        logged.extend(speed.record(at(number * 1000), pace(percent)));
    }
    assert_eq!(speed.usual(), Some(pace(170.0)));
    assert_eq!(logged, [(None, pace(70.0)), (Some(pace(70.0)), pace(170.0))]);
}

/// Guards against daemons that see an upstream too seldom to know that it is slow, and against samples
/// that live longer because they are passed on.
#[test]
fn merge_peers_share_a_slow_interval_until_its_sample_is_too_old() {
    let mut daemons = vec![Speed::default(); 3];
    for daemon in &mut daemons {
        for number in 0..9 {
            daemon.record(at(number * INTERVAL_MS), pace(70.0));
        }
    }
    let [first, second, third] = &mut daemons[..] else { unreachable!() };
    first.record(at(10_000), pace(175.0));
    let (sample, age) = first.report(at(10_100)).unwrap();
    assert_eq!((sample, age), (pace(175.0), ms(100)));
    second.merge(at(10_150), sample, age);
    assert_eq!(second.factor(at(10_200)), Some(1.75));
    assert_eq!(second.factor(at(10_649)), Some(1.75));
    assert_eq!(second.factor(at(10_650)), Some(0.7), "600 ms after the sample as it was received");
    assert_eq!(second.report(at(10_200)), None, "samples of peers are not sent on");
    assert_eq!(first.report(at(10_500)), None, "500 ms after the sample");
    third.merge(at(10_700), sample, ms(700));
    assert_eq!(third.factor(at(10_700)), Some(0.7), "a sample that arrives too late has no effect");
}

/// Guards against reports that arrive out of order or twice and replace later ones.
#[test]
fn merge_out_of_order_reports_leave_the_latest_sample() {
    let mut speed = Speed::default();
    speed.merge(at(1000), pace(425.0), ms(50));
    speed.merge(at(1010), pace(170.0), ms(300));
    assert_eq!(speed.factor(at(1020)), Some(4.25));
    speed.record(at(1100), pace(170.0));
    speed.merge(at(1150), pace(425.0), ms(200));
    assert_eq!(speed.factor(at(1150)), Some(1.7));
}

/// Guards against messages full of samples that peers know, and against daemons that never learn the
/// usual pace.
#[test]
fn report_holds_what_peers_may_lack() {
    let mut speed = Speed::default();
    let mut reported = Vec::new();
    for number in 0..40 {
        let now = at(number * 1000);
        speed.record(now, pace(if number == 20 { 175.0 } else { 70.0 }));
        if speed.report(now).is_some() {
            reported.push(number);
        }
    }
    // The first samples, then one every 10 s; the different one and the return to the usual pace.
    assert_eq!(reported, [0, 1, 2, 3, 13, 20, 21, 31]);
}

/// Guards against peers' reports, most of which are of slow intervals, that replace own samples in the
/// usual pace.
#[test]
fn merge_slow_samples_of_peers_leave_the_usual_pace() {
    let mut speed = Speed::default();
    for number in 0..6 {
        speed.record(at(number * 5000), pace(170.0));
    }
    for number in 0..50 {
        speed.merge(at(30_000 + number * INTERVAL_MS), pace(425.0), ms(10));
    }
    assert_eq!(speed.usual(), Some(pace(170.0)));
}

/// Guards against absurd values of peers that are used, or that cost a whole message.
#[test]
fn try_from_absurd_reports_are_errors() {
    let report = |percent, age| Report::try_from(ReportWire(upstream(), percent, age));
    assert!(report(170, 20).is_ok());
    for percent in [0, -5, 10_001, i64::MAX, i64::MIN] {
        assert_eq!(report(percent, 20), Err(ReportError::Pace(percent)));
    }
    assert_eq!(report(170, -1), Err(ReportError::Age(-1)));
    let mut speed = Speed::default();
    let Report { pace, age, .. } = report(170, i64::MAX).unwrap();
    assert_eq!(speed.merge(at(0), pace, age), None);
    assert_eq!(speed.factor(at(0)), None);
}

/// Guards against messages that grow with the number of upstreams.
#[test]
fn limit_reports_keeps_the_latest() {
    let report = |age| Report { upstream: upstream(), pace: pace(170.0), age: ms(age) };
    let kept = limit_reports((0..500).rev().map(report).collect());
    assert_eq!(kept.len(), MAX_REPORTS);
    assert!(kept.iter().all(|report| report.age < ms(64)));
}

/// Guards against malformed text that is taken for a pace, and against one log line for each response.
#[test]
fn from_str_malformed_pace_is_an_error() {
    assert_eq!("170".parse(), Ok(pace(170.0)));
    assert_eq!("62.5%".parse(), Ok(pace(62.5)));
    assert_eq!(pace(62.5).to_string(), "62.5%");
    for text in ["0", "0.9", "-70", "10001", "1e9", "NaN", "inf"] {
        assert_eq!(text.parse::<Pace>(), Err(PaceError::OutOfRange), "{text}");
    }
    assert!(matches!("slow".parse::<Pace>(), Err(PaceError::NotANumber(_))));
    let mut speed = Speed::default();
    let logged = (0..120).filter(|second| speed.record_malformed(at(second * 1000)));
    assert_eq!(logged.count(), 2);
    assert_eq!(speed.factor(at(120_000)), None);
}
