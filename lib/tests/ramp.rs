//! Ramps: how daemons share the window of an upstream that has started or recovered, and what moves it.

use std::{collections::VecDeque, time::Duration};

use dogwoodturn::{
    ids::{DaemonId, ServiceName, UpstreamId},
    limit::{
        brittle::Occupancy,
        ramp::{
            BackOff, Cause, Change, Counts, End, Event, Goal, Outcome, RampStart, Ramps, Report,
            ReportWire, View,
        },
        upstream::Position,
    },
    units::Time,
};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg32;

const TARGET: Duration = Duration::from_millis(1000);
const FAST: Outcome = Outcome::Completed(Duration::from_millis(100));
const REPORT_AGE: Duration = Duration::from_millis(450);
const ALONE: Position = Position { rank: 0, count: 1 };

fn at(ms: u64) -> Time {
    Time(100_000_000 + ms * 1000)
}

fn upstream() -> UpstreamId {
    "u1".parse().unwrap()
}

fn service() -> ServiceName {
    "chat".parse().unwrap()
}

fn daemon(number: u32) -> DaemonId {
    format!("d{number}").parse().unwrap()
}

fn ramps() -> Ramps {
    Ramps::new(RampStart::new(4))
}

/// Ramps with one that began at 0.
fn begun() -> Ramps {
    let mut ramps = ramps();
    ramps.begin(at(0), &upstream(), &service(), Cause::Crashed);
    ramps
}

fn view(own: u32, peers: u32) -> View {
    let occupancy = Occupancy { slots: 12, own, peers, ..Occupancy::default() };
    View { occupancy, report_age: REPORT_AGE, hears_peers: true }
}

fn record(ramps: &mut Ramps, ms: u64, sent_ms: u64, outcome: Outcome) {
    ramps.record(at(ms), &upstream(), at(sent_ms), TARGET, outcome);
}

fn report(age_ms: u64, good: u32, late: u32, failed: u32) -> Report {
    let (age, counts) = (Duration::from_millis(age_ms), Counts { good, late, failed });
    Report { upstream: upstream(), age, counts, best: None }
}

fn merge(ramps: &mut Ramps, ms: u64, from: u32, report: Report) {
    ramps.merge(at(ms), &daemon(from), [report], REPORT_AGE, |_| Some(service()));
}

fn window(ramps: &Ramps) -> Option<u32> {
    ramps.window(&upstream())
}

fn events(ramps: &mut Ramps) -> Vec<Event> {
    ramps.take_changes().into_iter().map(|change| change.event).collect()
}

/// Daemons that together get `per_second` requests and prefer an upstream that begins to ramp up. It
/// completes 12 requests in 200 ms each and becomes slower beyond that. Work and ramps are
/// reported to 12 daemons every 50 ms, of which one of 4 reports is lost. Daemons with a rank below
/// `learn.0` learn of the ramp at `learn.1` ms if no peer has reported it. Returns the most requests beyond
/// the largest window when one is sent, and when the ramp ended at a daemon, since its window reached the
/// capacity or `mean_work`.
fn simulate(
    daemons: u32,
    per_second: f64,
    mean_work: Option<f64>,
    learn: (u32, u64),
    seed: u64,
) -> (usize, Option<u64>) {
    let mut rng = Pcg32::seed_from_u64(seed);
    let mut all = vec![ramps(); daemons as usize];
    let arrives = (per_second / f64::from(daemons) / 100.0).min(1.0);
    for (ms, rank) in (0..10_000).step_by(10).flat_map(|ms| (0..daemons).map(move |d| (ms, d))) {
        if rng.random_bool(arrives) {
            all[rank as usize].record_request(at(ms).ago(Duration::from_secs(10)), &service());
        }
    }
    // The requests outstanding: when they were sent, when they end, and the daemon.
    let mut sent: Vec<(u64, u64, u32)> = Vec::new();
    let mut known = vec![vec![0_u32; daemons as usize]; daemons as usize];
    let mut in_transit: VecDeque<(u64, u32, u32, Vec<Report>)> = VecDeque::new();
    let mut excess = 0;
    for ms in (0..10_000_u64).step_by(10) {
        while in_transit.front().is_some_and(|(due, ..)| *due <= ms) {
            let Some((_, from, to, reports)) = in_transit.pop_front() else { break };
            let service = |_: &UpstreamId| Some(service());
            all[to as usize].merge(at(ms), &daemon(from), reports, REPORT_AGE, service);
        }
        for (rank, ramps) in (0..).zip(&mut all) {
            if ms == if rank < learn.0 { learn.1 } else { 0 } {
                ramps.begin(at(ms), &upstream(), &service(), Cause::Crashed);
            }
        }
        for (sent_ms, _, rank) in sent.extract_if(.., |(_, end, _)| *end <= ms) {
            let outcome = Outcome::Completed(Duration::from_millis(ms - sent_ms));
            record(&mut all[rank as usize], ms, sent_ms, outcome);
        }
        for rank in 0..daemons {
            let own = sent.iter().filter(|(.., at)| *at == rank).count() as u32;
            if rng.random_bool(arrives) {
                let ramps = &mut all[rank as usize];
                ramps.record_request(at(ms), &service());
                let peers = known[rank as usize].iter().sum();
                let position = Position { rank, count: daemons };
                if ramps.may_send(at(ms), &upstream(), view(own, peers), |_| position) {
                    let rounds = (sent.len() + 1).div_ceil(12) as u64;
                    sent.push((ms, ms + 200 * rounds, rank));
                    let widest = all.iter().filter_map(window).max().unwrap_or(0);
                    excess = excess.max(sent.len().saturating_sub(widest as usize));
                }
            }
            // Each daemon reports in every second step, to the next 12.
            if ms.is_multiple_of(50) {
                let reports = all[rank as usize].reports(at(ms));
                for step in 0..12.min(daemons - 1) {
                    let to = (rank + 1 + (ms / 50) as u32 * 12 + step) % daemons;
                    if to != rank && rng.random_bool(0.75) {
                        known[to as usize][rank as usize] = own;
                        in_transit.push_back((ms + 20, rank, to, reports.clone()));
                    }
                }
            }
        }
        let goal = Goal { slots: 12, mean_work };
        for ramps in &mut all {
            ramps.update(at(ms), |_| Some(goal));
        }
        let is_end = |change: Change| matches!(change.event, Event::Ended(_));
        if all.iter_mut().flat_map(Ramps::take_changes).any(is_end) {
            return (excess, Some(ms));
        }
    }
    (excess, None)
}

#[test]
fn may_send_all_daemons_stay_within_the_window_and_margin() {
    // Guards against an upstream that is overloaded since every daemon takes it for idle.
    for daemons in [1, 2, 12, 76] {
        for (seed, per_second) in [(1, 10.0), (2, 100.0), (3, 1000.0)] {
            let (excess, _) = simulate(daemons, per_second, None, (0, 0), seed);
            assert!(excess <= 2, "{daemons} daemons at {per_second}/s: {excess} beyond the window");
        }
    }
}

#[test]
fn may_send_upstream_that_keeps_up_is_not_left_idle() {
    // Guards against a window that most daemons have no part of and the others have no requests for.
    for daemons in [1, 12, 76] {
        for (seed, per_second) in [(1, 10.0), (2, 100.0), (3, 1000.0)] {
            // Of two upstreams, each has half of the requests, for 200 ms each.
            let mean_work = Some(per_second * 0.2 / 2.0);
            let (_, reached) = simulate(daemons, per_second, mean_work, (0, 0), seed);
            let in_time = reached.is_some_and(|ms| ms <= 3000);
            assert!(in_time, "{daemons} daemons at {per_second}/s: ended at {reached:?}");
        }
    }
}

#[test]
fn merge_daemons_that_learn_late_join_the_ramp() {
    // Guards against a second ramp where daemons notice the start at different moments: a third notices
    // nothing for 5 s and learns of it from the others.
    for seed in 0..5 {
        let (excess, reached) = simulate(76, 100.0, None, (25, 5000), seed);
        assert!(excess <= 2, "seed {seed}: {excess} beyond the window");
        assert!(reached.is_some_and(|ms| ms <= 3000), "seed {seed}: {reached:?}");
    }
}

#[test]
fn record_overloaded_upstream_gets_twice_its_capacity_on_average() {
    // Guards against a window that grows although responses become late. Responses in time still raise it
    // while the late ones are outstanding.
    for seed in 0..5 {
        let mut ramps = begun();
        let mut rng = Pcg32::seed_from_u64(seed);
        let mut sent: Vec<(u64, u64)> = Vec::new();
        let (mut most, mut sum) = (0, 0);
        for ms in (0..10_000).step_by(10) {
            for (sent_ms, _) in sent.extract_if(.., |(_, end)| *end <= ms) {
                let time = Duration::from_millis(ms - sent_ms);
                record(&mut ramps, ms, sent_ms, Outcome::Completed(time));
            }
            while ramps.may_send(at(ms), &upstream(), view(sent.len() as u32, 0), |_| ALONE) {
                // More than 6 at a time take longer than the target of 1 s.
                let duration =
                    if sent.len() < 6 { 300 } else { 1500 } + rng.random_range(0..5) * 10;
                sent.push((ms, ms + duration));
            }
            most = most.max(sent.len());
            sum += if ms >= 5000 { sent.len() } else { 0 };
        }
        let mean = sum / 500;
        assert!(most <= 18, "seed {seed}: {most} at a time");
        assert!((4..=12).contains(&mean), "seed {seed}: {mean} on average");
        assert!(window(&ramps).is_some_and(|window| (1..=18).contains(&window)));
    }
}

#[test]
fn record_window_doubles_each_round_trip_and_is_halved_once() {
    let mut ramps = begun();
    for _ in 0..4 {
        record(&mut ramps, 100, 1, FAST);
    }
    assert_eq!(window(&ramps), Some(8));
    // Requests of the same round trip do not halve the window again, and do not raise it either.
    for outcome in [Outcome::Late, Outcome::Failed, FAST, Outcome::Late] {
        record(&mut ramps, 200, 101, outcome);
    }
    assert_eq!(window(&ramps), Some(4));
    for sent in [201, 301, 401, 501] {
        record(&mut ramps, sent + 50, sent, Outcome::Failed);
    }
    assert_eq!(window(&ramps), Some(1), "one request may always find out");
    assert!(ramps.may_send(at(600), &upstream(), view(0, 0), |_| ALONE));
    assert!(events(&mut ramps).contains(&Event::BackedOff(BackOff::Late)));
}

#[test]
fn record_upstream_that_fails_fast_does_not_grow() {
    // Guards against errors that arrive in time and count as a sign of health.
    let mut ramps = begun();
    for sent in (0..3000).step_by(10) {
        record(&mut ramps, sent + 5, sent, Outcome::Failed);
    }
    assert_eq!(window(&ramps), Some(1));
    ramps.update(at(3000), |_| Some(Goal { slots: 12, mean_work: Some(1.0) }));
    assert_eq!(window(&ramps), Some(1), "no response in time has ended the ramp");
}

#[test]
fn record_inherently_slow_upstream_is_compared_with_its_own_best_time() {
    // Guards against a slow type of host that never leaves its ramp. The first response shows its time.
    let mut ramps = begun();
    let slow = Outcome::Completed(TARGET.mul_f64(1.5));
    record(&mut ramps, 1500, 0, slow);
    assert_eq!(window(&ramps), Some(2));
    for sent in [1600, 1700, 1800, 1900] {
        record(&mut ramps, sent + 1500, sent, slow);
    }
    assert_eq!(window(&ramps), Some(6));
    // Another daemon has its best time from the report.
    let mut other = begun();
    merge(&mut other, 3500, 1, ramps.reports(at(3500)).remove(0));
    let before = window(&other).unwrap();
    record(&mut other, 5600, 4100, slow);
    assert_eq!(window(&other), Some(before + 1));
    record(&mut other, 9600, 5700, Outcome::Completed(TARGET.mul_f64(3.5)));
    assert_eq!(window(&other), Some(before.div_ceil(2)));
}

#[test]
fn record_empty_caches_delay_first_responses_but_not_the_ramp() {
    // Guards against a back-off by prompts that are computed again, while callers still get them in time.
    let mut ramps = begun();
    for (sent, ms) in [(0, 900), (0, 950), (1000, 1800), (1000, 1300), (1400, 1500)] {
        record(&mut ramps, ms, sent, Outcome::Completed(Duration::from_millis(ms - sent)));
    }
    assert_eq!(window(&ramps), Some(9));
}

#[test]
fn begin_two_upstreams_ramp_independently() {
    let mut ramps = begun();
    let other: UpstreamId = "u2".parse().unwrap();
    ramps.begin(at(0), &other, &service(), Cause::New);
    record(&mut ramps, 100, 1, FAST);
    ramps.record(at(100), &other, at(1), TARGET, Outcome::Failed);
    assert_eq!((window(&ramps), ramps.window(&other)), (Some(5), Some(2)));
    // Of two with the same requests, the one with the larger window is used if there is no other.
    let mut fill = |id: &UpstreamId| ramps.fill(at(100), id, view(0, 5), |_| ALONE);
    assert!(fill(&upstream()) < fill(&other));
}

#[test]
fn begin_upstream_that_fails_again_starts_anew() {
    let mut ramps = begun();
    for _ in 0..20 {
        record(&mut ramps, 100, 1, FAST);
    }
    ramps.begin(at(1000), &upstream(), &service(), Cause::Crashed);
    assert_eq!(window(&ramps), Some(4), "peers could not tell a new ramp from this one yet");
    ramps.begin(at(5000), &upstream(), &service(), Cause::Crashed);
    assert_eq!((window(&ramps), ramps.reports(at(5000))[0].counts), (Some(4), Counts::default()));
    // Reports of the ramp before it change nothing; those of a later one begin it here too.
    merge(&mut ramps, 5100, 1, report(5100, 50, 0, 0));
    assert_eq!(window(&ramps), Some(4));
    record(&mut ramps, 5200, 5150, FAST);
    merge(&mut ramps, 9600, 1, report(100, 0, 0, 0));
    assert_eq!((window(&ramps), ramps.reports(at(9600))[0].age.as_millis()), (Some(4), 100));
}

#[test]
fn may_send_daemon_that_is_cut_off_uses_its_own_share_only() {
    // Guards against a daemon that takes places for free since it hears of no other's requests.
    let mut ramps = begun();
    ramps.record_request(at(0), &service());
    let cut_off = |own| View { hears_peers: false, ..view(own, 0) };
    for (rank, own, may_send) in [(0, 0, true), (0, 1, false), (3, 0, true), (4, 0, false)] {
        let position = Position { rank, count: 76 };
        let mut ramps = ramps.clone();
        assert_eq!(ramps.may_send(at(9000), &upstream(), cut_off(own), |_| position), may_send);
    }
    // With a window above the number of daemons, each has an equal part.
    for (rank, own, may_send) in [(0, 1, true), (0, 2, false), (2, 0, true), (2, 1, false)] {
        let position = Position { rank, count: 3 };
        let mut ramps = ramps.clone();
        assert_eq!(ramps.may_send(at(9000), &upstream(), cut_off(own), |_| position), may_send);
    }
}

#[test]
fn may_send_free_places_are_used_by_others_at_a_low_rate_only() {
    // Guards against an upstream that waits for the few daemons with a part, which have no requests.
    let mut ramps = begun();
    ramps.record_request(at(0), &service());
    let may_send = |ramps: &Ramps, rank, peers| {
        let position = Position { rank, count: 76 };
        ramps.clone().may_send(at(9000), &upstream(), view(0, peers), |_| position)
    };
    for (rank, peers, expected) in
        [(4, 0, true), (75, 0, false), (4, 3, true), (30, 3, false), (4, 4, false)]
    {
        assert_eq!(may_send(&ramps, rank, peers), expected, "rank {rank}, {peers} outstanding");
    }
    for ms in (0..9000).step_by(50) {
        ramps.record_request(at(ms), &service());
    }
    assert!(!may_send(&ramps, 4, 0), "too many would send at once");
}

#[test]
fn merge_late_lost_and_repeated_reports_count_once() {
    let mut ramps = begun();
    merge(&mut ramps, 200, 1, report(200, 1, 0, 0));
    // The second report was lost; the third contains it. Then the first arrives again.
    merge(&mut ramps, 300, 1, report(300, 4, 0, 0));
    for _ in 0..3 {
        merge(&mut ramps, 310, 1, report(310, 1, 0, 0));
    }
    assert_eq!(window(&ramps), Some(8));
    // Two daemons report the same overload within one round trip.
    merge(&mut ramps, 400, 1, report(400, 4, 1, 0));
    merge(&mut ramps, 500, 2, report(500, 3, 2, 0));
    assert_eq!(window(&ramps), Some(4));
}

#[test]
fn merge_upstream_that_answers_is_not_ramped_by_a_peer() {
    // Guards against a daemon with a broken link, or one that learns of an old upstream late, that
    // throttles an upstream for all.
    let mut ramps = ramps();
    for ms in [950, 980] {
        record(&mut ramps, ms, 0, FAST);
    }
    merge(&mut ramps, 1000, 1, report(100, 0, 0, 0));
    assert!(ramps.is_empty());
    // The answers were from before the start.
    merge(&mut ramps, 1000, 1, report(10, 0, 0, 0));
    assert_eq!(events(&mut ramps), [Event::Started(Cause::Reported)]);
}

#[test]
fn begin_upstream_that_peers_reported_joins_their_ramp() {
    // Guards against a second ramp for all, begun by a daemon that gets the list of upstreams late.
    let mut ramps = ramps();
    ramps.merge(at(8000), &daemon(1), [report(8000, 3, 0, 0)], REPORT_AGE, |_| None);
    assert!(ramps.is_empty());
    ramps.begin(at(8500), &upstream(), &service(), Cause::New);
    assert_eq!(ramps.reports(at(8500))[0].age, Duration::from_millis(8500));
}

#[test]
fn update_ramp_ends_at_its_goal_and_is_not_begun_again_by_late_reports() {
    let goal = |slots, mean_work| Some(Goal { slots, mean_work });
    for (goal, expected) in
        [(goal(5, None), End::Slots), (goal(12, Some(4.5)), End::MeanWork), (None, End::Gone)]
    {
        let mut ramps = begun();
        record(&mut ramps, 100, 1, FAST);
        ramps.update(at(200), |_| goal);
        let last = ramps.take_changes().pop();
        let ended = Change { upstream: upstream(), window: 5, event: Event::Ended(expected) };
        assert_eq!(last, Some(ended));
        assert!(ramps.may_send(at(200), &upstream(), view(9, 99), |_| ALONE));
        merge(&mut ramps, 300, 1, report(250, 0, 0, 0));
        assert!(ramps.is_empty());
    }
}

#[test]
fn update_ramp_without_traffic_ends_after_30_s() {
    let mut ramps = begun();
    let goal = |_: &UpstreamId| Some(Goal { slots: 12, mean_work: Some(0.0) });
    ramps.update(at(29_900), goal);
    assert_eq!(ramps.len(), 1);
    ramps.update(at(30_000), goal);
    assert_eq!(events(&mut ramps).last(), Some(&Event::Ended(End::Quiet)));
}

#[test]
fn begin_without_a_start_window_changes_nothing() {
    let mut ramps = Ramps::new(None);
    ramps.begin(at(0), &upstream(), &service(), Cause::New);
    merge(&mut ramps, 0, 1, report(0, 0, 0, 0));
    record(&mut ramps, 100, 1, FAST);
    assert!(ramps.is_empty() && ramps.reports(at(0)).is_empty() && events(&mut ramps).is_empty());
    assert!(ramps.may_send(at(0), &upstream(), view(99, 99), |_| ALONE));
}

#[test]
fn try_from_absurd_reports_are_errors() {
    let wire = |age, good| ReportWire(upstream(), age, good, 0, 0, 0);
    assert!(Report::try_from(wire(30_000, 100)).is_ok());
    for (age, good) in [(u64::MAX, 1), (3_600_001, 1), (0, 1_000_001), (0, u32::MAX)] {
        assert!(Report::try_from(wire(age, good)).is_err());
    }
    let sent = Report { best: Some(Duration::from_micros(10)), ..report(5, 1, 2, 3) };
    let received = Report::try_from(ReportWire::from(sent.clone())).unwrap();
    assert_eq!(received.counts, sent.counts);
    assert_eq!(
        received.best,
        Some(Duration::from_millis(1)),
        "a time below 1 ms is no missing one"
    );
}

#[test]
fn parse_ramp_start_from_1_to_64() {
    for (text, expected) in [("1", Some(1)), ("64", Some(64)), ("0", None), ("65", None)] {
        assert_eq!(text.parse::<RampStart>().ok().map(RampStart::requests), expected);
    }
    assert!("-1".parse::<RampStart>().is_err() && "4.5".parse::<RampStart>().is_err());
}
