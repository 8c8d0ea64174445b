//! Simulated moves over seven and nine daemons: bad versions must be rolled back, and good ones
//! must finish in spite of noise, message loss, outages and restarts.

#[allow(dead_code)]
mod moves_sim;

use std::time::Duration;

use dogwoodturn::moves::{resolution::Outcome, share::Share};
use moves_sim::{
    Sim, SimResult, Spec,
    traffic::{Kind, Noise},
};

/// The largest fraction of the requests of a whole move that may reach a version that is bad from
/// the beginning.
const MAX_EXPOSED_RATIO: f64 = 0.01;

fn spec(daemons: usize, kind: Kind) -> Spec {
    let length = Duration::from_mins(2);
    let watch = Duration::from_secs(20);
    Spec { length, watch, ..Spec::new(daemons, kind, 40 + daemons as u64) }
}

fn run(spec: Spec) -> SimResult {
    let seeds = std::env::var("DOGWOODTURN_SEEDS").ok().and_then(|text| text.parse().ok());
    for offset in 1..seeds.unwrap_or(1_u64) {
        let seed = spec.seed + 1_000 * offset;
        println!("seed {seed}: {:?}", Sim::new(Spec { seed, ..spec.clone() }).run().outcome());
    }
    Sim::new(spec).run()
}

fn expected_requests(spec: &Spec) -> f64 {
    spec.rate * spec.length.as_secs_f64()
}

fn assert_rolled_back(kind: Kind) {
    for daemons in [7, 9] {
        let spec = spec(daemons, kind);
        let move_requests = expected_requests(&spec);
        let observed = run(spec);
        assert_eq!(observed.outcome(), Some(Outcome::RolledBack), "{kind:?} at {daemons}");
        assert!(observed.in_time(), "{kind:?} at {daemons} was recorded late");
        assert!(observed.first_abort.is_some(), "{kind:?} at {daemons} was never conclusive");
        assert_eq!(observed.after_abort, 0, "{kind:?} at {daemons} got requests after the abort");
        assert!(observed.shares.iter().all(|share| *share == Share::NONE), "{:?}", observed.shares);
        let is_at_once = matches!(
            kind,
            Kind::FailsAtOnce | Kind::SlowAtOnce | Kind::Hangs | Kind::WronglyFramed
        );
        let exposed_ratio = observed.exposed as f64 / move_requests;
        assert!(
            !is_at_once || exposed_ratio <= MAX_EXPOSED_RATIO,
            "{kind:?} at {daemons} exposed {exposed_ratio}"
        );
    }
}

fn assert_finished(spec: &Spec) {
    let observed = run(spec.clone());
    assert_eq!(observed.outcome(), Some(Outcome::Finished), "{:?} {spec:?}", observed.cause);
    assert!(observed.in_time(), "recorded late: {spec:?}");
    assert!(observed.shares.iter().all(|share| *share == Share::FULL), "{:?}", observed.shares);
}

#[test]
fn move_fails_at_once() {
    assert_rolled_back(Kind::FailsAtOnce);
}

#[test]
fn move_slows_at_once() {
    assert_rolled_back(Kind::SlowAtOnce);
}

#[test]
fn move_fails_later() {
    assert_rolled_back(Kind::FailsLater);
}

#[test]
fn move_fails_under_load() {
    assert_rolled_back(Kind::FailsUnderLoad);
}

#[test]
fn move_slows_under_load() {
    assert_rolled_back(Kind::SlowUnderLoad);
}

#[test]
fn move_fails_on_one_route() {
    assert_rolled_back(Kind::FailsOnRoute);
}

#[test]
fn move_hangs() {
    assert_rolled_back(Kind::Hangs);
}

#[test]
fn move_wrongly_framed() {
    assert_rolled_back(Kind::WronglyFramed);
}

#[test]
fn move_good() {
    assert_finished(&spec(7, Kind::Good));
}

#[test]
fn move_good_but_noisy() {
    for seed in 0..2 {
        let noise = Noise::ALL;
        let length = Duration::from_mins(4);
        assert_finished(&Spec { length, noise, seed, ..spec(9, Kind::Good) });
    }
}

#[test]
fn move_good_with_lossy_peers_and_lost_replies() {
    let spec = Spec { loss: 0.2, lost_replies: 0.5, ..spec(9, Kind::Good) };
    assert_finished(&spec);
}

#[test]
fn move_good_through_an_outage() {
    let outage = Some((Duration::from_secs(30), Duration::from_secs(70)));
    assert_finished(&Spec { outage, ..spec(7, Kind::Good) });
}

#[test]
fn move_good_with_a_restarted_daemon() {
    let restart = Some(Duration::from_secs(50));
    assert_finished(&Spec { restart, ..spec(7, Kind::Good) });
}

#[test]
fn move_outage_past_the_deadline_is_rolled_back() {
    let outage = Some((Duration::from_secs(60), Duration::from_secs(125)));
    let observed = run(Spec { outage, ..spec(7, Kind::Good) });
    assert!(observed.shares.iter().all(|share| *share == Share::NONE), "{:?}", observed.shares);
    assert_eq!(observed.outcome(), Some(Outcome::RolledBack));
}

#[test]
fn move_bad_in_an_outage_is_aborted_before_the_deadline() {
    let outage = Some((Duration::from_secs(3), Duration::from_secs(100)));
    let observed = run(Spec { outage, ..spec(9, Kind::FailsAtOnce) });
    assert!(observed.first_abort.is_some_and(|at| at < observed.finish_by));
    assert_eq!(observed.after_abort, 0);
    assert_eq!(observed.outcome(), Some(Outcome::RolledBack));
}

#[test]
fn move_bad_gets_no_requests_from_a_restarted_daemon() {
    let restart = Some(Duration::from_secs(80));
    let outage = Some((Duration::from_secs(3), Duration::from_secs(110)));
    let observed = run(Spec { outage, restart, ..spec(7, Kind::FailsAtOnce) });
    assert!(observed.first_abort.is_some_and(|at| at.0 < 85_000_000), "aborted before the restart");
    assert_eq!(observed.after_abort, 0);
}

#[test]
fn move_too_little_traffic_is_rolled_back() {
    let observed = run(Spec { rate: 0.5, ..spec(7, Kind::Good) });
    assert_eq!(observed.outcome(), Some(Outcome::RolledBack));
    assert!(observed.in_time());
}
