//! Contention: two ranks and many customers before too little capacity, their retries, and the failures
//! of daemons and messages in between.

use std::{collections::VecDeque, time::Duration};

use dogwoodturn::{
    limit::contention::{
        AdmittedShares, CustomerKey, Decision, DemandCounter, DemandReport, DemandSum, Level,
        LevelController, MIN_SHARE, Outcome, Outcomes, Pair, SHARE_CHANGE_PER_SECOND, allocate,
    },
    units::{Time, WallTime},
};
use indexmap::IndexMap;
use quickcheck::quickcheck;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg32;

const BRIEFING: u8 = 0;
const QUESTION: u8 = 2;
const TIMEOUT: Duration = Duration::from_secs(3);
/// Length of a replay.
const SECONDS: u64 = 40;

fn at(ms: u64) -> Time {
    Time(100_000_000 + ms * 1000)
}

fn wall(ms: u64) -> WallTime {
    WallTime(1_790_000_000_000 + ms)
}

fn pair(rank: u8, customer: u32) -> Pair {
    Pair { rank, customer: CustomerKey(customer) }
}

fn level(shares: &[(Pair, f64)]) -> Level {
    Level { factor: 0.9, shares: shares.iter().copied().collect() }
}

/// Compares numbers that may differ by rounding.
#[track_caller]
fn assert_near(actual: f64, expected: f64, case: &str) {
    assert!((actual - expected).abs() < 1e-9, "{actual} instead of {expected}: {case}");
}

/// Returns shares that have settled on a level, as of `at(5000)`.
fn settled(level: &Level) -> AdmittedShares {
    let mut shares = AdmittedShares::default();
    for ms in (0..=5000).step_by(250) {
        shares.receive(at(ms), at(ms), level.clone());
        shares.refresh(at(ms));
    }
    shares
}

/// One kind of request of one customer.
struct Load {
    pair: Pair,
    /// Requests a second at all daemons together, at a time in milliseconds.
    rate: fn(u64) -> f64,
    /// Engine time of one request.
    work: Duration,
}

/// What became of one kind of request in a second.
#[derive(Clone, Copy, Default)]
struct Tally {
    arrived: u32,
    admitted: u32,
    late: u32,
    returned: u32,
    returned_in_vain: u32,
}

impl Tally {
    fn share(self) -> f64 {
        f64::from(self.admitted) / f64::from(self.arrived.max(1))
    }
}

/// Replays a load before `engines` at six daemons that report every 250 ms, and returns the tallies of each
/// second by load. Urgent responses are late while the admitted work of the last second exceeds the
/// engines. Of the callers that are refused, the share `returning` comes back once, when told to. Without
/// `is_on`, all requests are admitted.
fn replay(loads: &[Load], engines: f64, returning: f64, is_on: bool) -> Vec<Vec<Tally>> {
    let mut rng = Pcg32::seed_from_u64(7);
    let mut counters = vec![DemandCounter::default(); 6];
    let mut controller = LevelController::default();
    let mut shares = AdmittedShares::default();
    let mut admitted_work: VecDeque<(u64, f64)> = VecDeque::new();
    let mut tallies = vec![vec![Tally::default(); loads.len()]; SECONDS as usize];
    let mut returns = Vec::new();
    for ms in (0..SECONDS * 1000).step_by(10) {
        let now = at(ms);
        if ms.is_multiple_of(250) {
            let mut sum = DemandSum::default();
            for counter in &mut counters {
                sum.add(&counter.report(now)).unwrap();
            }
            controller.update(now, engines, &sum);
            shares.receive(now, now, controller.level().clone());
            shares.refresh(now);
        }
        while admitted_work.front().is_some_and(|(from, _)| ms - from >= 1000) {
            admitted_work.pop_front();
        }
        let is_late = admitted_work.iter().map(|(_, work)| work).sum::<f64>() > engines;
        for (index, load) in loads.iter().enumerate() {
            let expected = (load.rate)(ms) / 100.0;
            let count = expected as usize + usize::from(rng.random_bool(expected.fract()));
            let mut arrived: Vec<_> = (0..count).map(|_| (rng.random(), false)).collect();
            let due = returns.extract_if(.., |(of, due, _)| *of == index && *due <= ms);
            arrived.extend(due.map(|(_, _, content)| (content, true)));
            for (content, is_return) in arrived {
                let counter = &mut counters[rng.random_range(0..6)];
                counter.record_arrival(now, load.pair, load.work);
                let decision = shares.decide(now, load.pair, content, wall(ms), TIMEOUT);
                let tally = &mut tallies[ms as usize / 1000][index];
                tally.arrived += u32::from(!is_return);
                tally.returned += u32::from(is_return);
                match decision {
                    Decision::GivesWay { retry_after, .. } if is_on => {
                        tally.returned_in_vain += u32::from(is_return);
                        if !is_return && rng.random_bool(returning) {
                            returns.push((index, ms + retry_after.as_millis() as u64, content));
                        }
                        continue;
                    }
                    _ => tally.admitted += 1,
                }
                admitted_work.push_back((ms, load.work.as_secs_f64()));
                if load.pair.rank == BRIEFING {
                    tally.late += u32::from(is_late);
                    let outcome = if is_late { Outcome::Late } else { Outcome::InTime };
                    counter.record_outcome(now, outcome);
                }
            }
        }
    }
    tallies
}

fn work(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns the sum of a load's tallies from a second on.
fn sum_from(tallies: &[Vec<Tally>], second: usize, load: usize) -> Tally {
    let mut sum = Tally::default();
    for tally in tallies[second..].iter().map(|second| second[load]) {
        sum.arrived += tally.arrived;
        sum.admitted += tally.admitted;
        sum.late += tally.late;
        sum.returned += tally.returned;
        sum.returned_in_vain += tally.returned_in_vain;
    }
    sum
}

fn admitted_from(tallies: &[Vec<Tally>], second: usize, load: usize) -> f64 {
    sum_from(tallies, second, load).share()
}

/// Returns the share of a load's admitted requests that are late from a second on.
fn late_from(tallies: &[Vec<Tally>], second: usize, load: usize) -> f64 {
    let sum = sum_from(tallies, second, load);
    f64::from(sum.late) / f64::from(sum.admitted.max(1))
}

/// Questions a second that rise within five seconds to more than there is capacity for.
fn rising(ms: u64) -> f64 {
    240.0 + 320.0 * (ms.saturating_sub(5000) as f64 / 5000.0).min(1.0)
}

/// Briefings that keep 12 engines busy, and questions that need 6 of them at first and 14 in the end.
fn two_ranks() -> [Load; 2] {
    [
        Load { pair: pair(BRIEFING, 1), rate: |_| 100.0, work: work(120) },
        Load { pair: pair(QUESTION, 1), rate: rising, work: work(25) },
    ]
}

/// Guards against the measured failure: urgent requests refused while less urgent ones keep the capacity.
#[test]
fn update_two_ranks_before_too_little_capacity_less_urgent_gives_way() {
    let tallies = replay(&two_ranks(), 21.0, 0.0, true);
    assert_near(admitted_from(&tallies, 0, 0), 1.0, "briefings");
    let questions = admitted_from(&tallies, 20, 1);
    assert!((MIN_SHARE..0.75).contains(&questions), "{questions} of the questions");
    // The reduction is gradual: no second admits over 0.2 less than the one before, plus noise of 560
    // requests.
    for pair in tallies.windows(2) {
        let (before, after) = (pair[0][1].share(), pair[1][1].share());
        assert!(after > before - SHARE_CHANGE_PER_SECOND - 0.08, "{before} then {after}");
    }
    // Late briefings are rare once the questions give way, and the rule without the module.
    let late = late_from(&tallies, 15, 0);
    assert!(late < 0.1, "{late} of the briefings are late");
    assert!(late_from(&replay(&two_ranks(), 21.0, 0.0, false), 15, 0) > 0.9);
}

/// Guards against urgent requests that are refused because callers come back, who are admitted then: their load
/// cannot be avoided, and a lower factor does not help.
#[test]
fn update_callers_that_return_when_told_urgent_requests_are_kept() {
    for returning in [0.3, 0.7, 1.0] {
        let tallies = replay(&two_ranks(), 21.0, returning, true);
        let questions = sum_from(&tallies, 0, 1);
        assert!(questions.returned > 500, "{} returned", questions.returned);
        let in_vain = questions.returned_in_vain;
        assert!(in_vain * 100 <= questions.returned, "{in_vain} of {}", questions.returned);
        let briefings = admitted_from(&tallies, 0, 0);
        assert!(briefings > 0.9, "{briefings} of the briefings while {returning} return");
    }
}

/// Guards against starving the less urgent kind: it keeps a quarter however little capacity there is.
#[test]
fn update_hardly_any_capacity_less_urgent_keeps_a_quarter() {
    let tallies = replay(&two_ranks(), 6.0, 0.0, true);
    let (briefings, questions) = (admitted_from(&tallies, 15, 0), admitted_from(&tallies, 15, 1));
    assert!((0.22..0.30).contains(&questions), "{questions} of the questions");
    assert!(
        briefings > questions - 0.05,
        "{briefings} of the briefings, {questions} of the questions"
    );
}

/// Guards against a rush of one customer that takes the capacity of the others.
#[test]
fn update_rush_of_one_customer_others_keep_their_shares() {
    let mut loads = vec![Load {
        pair: pair(QUESTION, 1),
        rate: |ms| if (5000..25_000).contains(&ms) { 900.0 } else { 90.0 },
        work: work(25),
    }];
    let other = |customer| Load { pair: pair(QUESTION, customer), rate: |_| 90.0, work: work(25) };
    loads.extend((2..=6).map(other));
    // The usual load keeps 13.5 of 20 engines busy; the rush alone would need 22.
    let tallies = replay(&loads, 20.0, 0.0, true);
    for customer in 1..6 {
        assert_near(admitted_from(&tallies, 0, customer), 1.0, &format!("customer {customer}"));
    }
    let rush = admitted_from(&tallies[..25], 10, 0);
    assert!((MIN_SHARE - 0.02..0.5).contains(&rush), "{rush} of the rush");
    // Afterwards the customer is served in full again.
    assert!(admitted_from(&tallies, 34, 0) > 0.99);
}

/// Guards against retries that come back in vain or all at once, at daemons whose clocks differ slightly.
#[test]
fn decide_retry_when_told_is_admitted_and_spread() {
    let mut rng = Pcg32::seed_from_u64(3);
    for share in [0.25, 0.4, 0.8] {
        let shares = settled(&level(&[(pair(QUESTION, 1), share)]));
        let decide =
            |content, ms| shares.decide(at(5000), pair(QUESTION, 1), content, wall(ms), TIMEOUT);
        let mut retries = [0_u32; 10];
        let mut refused = 0;
        for _ in 0..20_000 {
            let (content, ms) = (rng.random(), rng.random_range(0..100_000));
            let Decision::GivesWay { retry_after, share: stated } = decide(content, ms) else {
                continue;
            };
            assert!((stated - share).abs() < 1e-9);
            assert!(retry_after <= TIMEOUT / 3, "no retry within the caller's time");
            refused += 1;
            // The other daemon's clock is up to 10 ms behind, and the retry takes up to 40 ms.
            let back = ms + retry_after.as_millis() as u64 + rng.random_range(0..50) - 10;
            assert_eq!(decide(content, back), Decision::Admitted, "share {share}");
            retries[(back % 750) as usize * 10 / 750] += 1;
        }
        let expected = f64::from(refused) / 10.0;
        let is_even = |count: &u32| (f64::from(*count) / expected - 1.0).abs() < 0.15;
        assert!(retries.iter().all(is_even), "retries by tenth of the period: {retries:?}");
        let admitted = 1.0 - f64::from(refused) / 20_000.0;
        assert!((admitted - share).abs() < 0.02, "{admitted} admitted at {share}");
    }
}

/// Guards against refusals of requests more urgent than every rank that gives way, and of customers that the
/// level does not name.
#[test]
fn decide_pair_without_share_is_admitted() {
    let shares = settled(&level(&[(pair(QUESTION, 1), 0.25)]));
    for other in [pair(BRIEFING, 1), pair(1, 1), pair(QUESTION, 2)] {
        for content in 0..1000_u64 {
            let content = content << 54;
            let decision = shares.decide(at(5000), other, content, wall(content % 997), TIMEOUT);
            assert_eq!(decision, Decision::Admitted);
        }
    }
}

/// Guards against refusals by an old level after the hubs are lost or the daemon is cut off.
#[test]
fn share_stale_level_returns_to_one_in_two_seconds() {
    let mut shares = settled(&level(&[(pair(QUESTION, 1), 0.4)]));
    let mut share_at = |ms| {
        shares.refresh(at(ms));
        shares.share(at(ms), pair(QUESTION, 1))
    };
    assert!((share_at(6900) - 0.4).abs() < 1e-9, "a level of 1.9 s still holds");
    assert!((share_at(8000) - 0.7).abs() < 1e-9, "half way after 1 s");
    assert_near(share_at(9000), 1.0, "");
}

/// Guards against a jump when a level returns while the shares are on their way back to 1.
#[test]
fn receive_level_after_a_short_loss_continues_from_the_present_share() {
    let mut shares = settled(&level(&[(pair(QUESTION, 1), 0.4)]));
    shares.receive(at(8000), at(8000), level(&[(pair(QUESTION, 1), 0.4)]));
    assert!((shares.share(at(8000), pair(QUESTION, 1)) - 0.7).abs() < 1e-9);
    shares.refresh(at(8250));
    assert!((shares.share(at(8250), pair(QUESTION, 1)) - 0.65).abs() < 1e-9);
}

/// Guards against refusals by a daemon that has just started: it has no level, and reduces admission gradually
/// once it has one.
#[test]
fn share_daemon_just_started_admits_all() {
    let mut shares = AdmittedShares::default();
    shares.refresh(at(0));
    assert_near(shares.share(at(0), pair(QUESTION, 1)), 1.0, "");
    shares.receive(at(10_000), at(10_000), level(&[(pair(QUESTION, 1), 0.25)]));
    shares.refresh(at(10_000));
    let first = shares.share(at(10_000), pair(QUESTION, 1));
    assert!(first >= 1.0 - SHARE_CHANGE_PER_SECOND, "{first} at the first level");
}

fn sum_of(outcomes: Outcomes, demand: f64) -> DemandSum {
    let mut sum = DemandSum::default();
    sum.add(&DemandReport { demands: vec![(pair(QUESTION, 1), demand)], outcomes }).unwrap();
    sum
}

/// Guards against reports with absurd numbers: all of such a report is ignored.
#[test]
fn add_absurd_numbers_ignores_the_report() {
    let mut sum = sum_of(Outcomes::default(), 3.0);
    for demand in [-1.0, f64::NAN, f64::INFINITY, 1e6 + 1.0] {
        let demands = vec![(pair(QUESTION, 2), 5.0), (pair(QUESTION, 1), demand)];
        let report = DemandReport { demands, outcomes: Outcomes::default() };
        assert!(sum.add(&report).is_err(), "{demand}");
    }
    let outcomes = Outcomes { refused: u64::MAX, ..Outcomes::default() };
    assert!(sum.add(&DemandReport { demands: Vec::new(), outcomes }).is_err());
    assert_near(sum.total(), 3.0, "");
}

/// Guards against levels with absurd numbers.
#[test]
fn check_absurd_level_is_an_error() {
    assert!(level(&[(pair(QUESTION, 1), 0.25)]).check().is_ok());
    for share in [-0.1, 1.1, f64::NAN] {
        assert!(level(&[(pair(QUESTION, 1), share)]).check().is_err(), "{share}");
    }
    for factor in [-1.0, f64::INFINITY, 1e9] {
        assert!(Level { factor, shares: IndexMap::new() }.check().is_err(), "{factor}");
    }
}

/// Guards against a division by zero and against refusals when no upstream is live.
#[test]
fn update_without_capacity_admits_all() {
    let mut controller = LevelController::default();
    for (ms, capacity) in [(0, 0.0), (1000, f64::NAN), (2000, -1.0)] {
        controller.update(at(ms), capacity, &sum_of(Outcomes::default(), 9.0));
        assert!(controller.level().shares.is_empty(), "capacity {capacity}");
    }
}

/// Guards against a factor that drifts without evidence, changes too fast, or leaves its bounds.
#[test]
fn update_factor_follows_late_responses_within_bounds() {
    let outcomes = |in_time, late, refused| Outcomes { in_time, late, refused };
    let run = |outcomes: Outcomes, demand: f64, seconds: u64| {
        let mut controller = LevelController::default();
        for ms in (0..seconds * 1000).step_by(250) {
            controller.update(at(ms), 10.0, &sum_of(outcomes, demand));
        }
        controller.level().factor
    };
    assert_near(run(outcomes(0, 19, 0), 20.0, 10), 0.9, "too few responses");
    assert_near(run(outcomes(95, 5, 0), 20.0, 10), 0.9, "neither few nor many late");
    assert_near(run(outcomes(100, 0, 0), 5.0, 10), 0.9, "nothing gives way");
    let fallen = run(outcomes(80, 5, 15), 5.0, 3);
    assert!((fallen - 0.9 * 0.9_f64.powi(3)).abs() < 1e-9, "{fallen} after 3 s");
    assert_near(run(outcomes(80, 5, 15), 40.0, 3), 0.9, "shares are still on their way");
    assert_near(run(outcomes(0, 100, 0), 5.0, 60), 0.4, "");
    let risen = run(outcomes(100, 0, 0), 20.0, 4);
    assert!((0.95..0.975).contains(&risen), "{risen} after 4 s");
    assert_near(run(outcomes(100, 0, 0), 40.0, 120), 2.0, "");
}

/// Guards against a jump when the daemon whose level counts is lost and another one continues.
#[test]
fn adopt_level_continues_it_without_a_jump() {
    let counts = Level { factor: 0.6, ..level(&[(pair(QUESTION, 1), 0.5)]) };
    let mut other = LevelController::default();
    other.adopt(at(0), &counts);
    other.update(at(250), 10.0, &sum_of(Outcomes::default(), 100.0));
    assert_near(other.level().factor, 0.6, "");
    let share = other.level().shares[&pair(QUESTION, 1)];
    assert!((share - 0.45).abs() < 1e-9, "{share}");
    other.adopt_factor(f64::NAN);
    assert_near(other.level().factor, 0.6, "");
}

/// Guards against demand that stays in reports after its requests have ended.
#[test]
fn report_after_the_load_ends_is_empty() {
    let mut counter = DemandCounter::default();
    for ms in 0..1000 {
        counter.record_arrival(at(ms), pair(QUESTION, 1), work(25));
        counter.record_outcome(at(ms), Outcome::InTime);
    }
    let report = counter.report(at(1000));
    assert!(report.demands[0].1 > 5.0 && report.outcomes.in_time == 1000);
    assert_eq!(counter.report(at(60_000)), DemandReport::default());
}

quickcheck! {
    /// Guards against an allocation above the capacity, below the floor, or to a less urgent rank before a more
    /// urgent one.
    fn allocate_any_demand_keeps_the_order(capacity: u16, demands: Vec<(u8, u8, u16)>) -> bool {
        let capacity = f64::from(capacity) / 10.0;
        let demands: IndexMap<Pair, f64> = demands
            .into_iter()
            .map(|(rank, customer, demand)| (pair(rank % 4, customer.into()), f64::from(demand)))
            .collect();
        let shares = allocate(capacity, &demands);
        let share = |pair: &Pair| shares.get(pair).copied().unwrap_or(1.0);
        let total: f64 = demands.values().sum();
        let admitted: f64 = demands.iter().map(|(pair, demand)| share(pair) * demand).sum();
        let is_within = admitted <= capacity.max(total * MIN_SHARE) * (1.0 + 1e-6) + 1e-6;
        let is_used = admitted >= capacity.min(total) * (1.0 - 1e-6) - 1e-6;
        let first = shares.keys().map(|pair| pair.rank).min();
        let is_ordered = demands.iter().all(|(pair, demand)| {
            *demand == 0.0
                || first.is_none_or(|first| pair.rank <= first)
                || (share(pair) - MIN_SHARE).abs() < 1e-6
        });
        is_within && is_used && is_ordered && shares.values().all(|share| *share >= MIN_SHARE)
    }
}
