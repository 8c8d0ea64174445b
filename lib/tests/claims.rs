//! Claims under each failure that they target, one at a time.

mod support {
    pub mod claims;
}

use std::time::Duration;

use dogwoodturn::claim::{ClaimResponse, claims::Config};

use support::claims::{CallOutcome, Fleet, Run, answer_of};

fn alone() -> Fleet {
    Fleet::new(1, Config::default(), false)
}

fn pair() -> Fleet {
    Fleet::new(2, Config::default(), false)
}

#[test]
fn claim_granted_once() {
    let mut fleet = alone();
    let first = fleet.submit_call(0, "k");
    fleet.run_until_idle();
    let second = fleet.submit_call(0, "k");
    fleet.run_until_idle();
    assert!(matches!(fleet.answers[&first], ClaimResponse::Granted(_)));
    assert_eq!(fleet.answers[&second], ClaimResponse::Unresolved);
}

#[test]
fn claim_repeated_call_gets_the_stored_answer_at_any_daemon() {
    let mut fleet = pair();
    fleet.submit_call(0, "k");
    fleet.run_until_idle();
    fleet.run(0, Run::Answers);
    fleet.run_until_idle();
    let again = fleet.submit_call(1, "k");
    fleet.run_until_idle();
    assert_eq!(fleet.answers[&again], ClaimResponse::Stored(answer_of("k")));
}

#[test]
fn claim_lost_answer_is_settled_by_reading() {
    let mut fleet = alone();
    let request = fleet.submit_call(0, "k");
    fleet.end_call(0, CallOutcome::Answered);
    fleet.end_call(0, CallOutcome::AnswerLost);
    fleet.run_until_idle();
    assert!(matches!(fleet.answers[&request], ClaimResponse::Granted(_)));
    assert_eq!(fleet.writes, 1);
}

#[test]
fn claim_lost_answer_with_resend_through_another_daemon_runs_once() {
    let mut fleet = pair();
    let first = fleet.submit_call(0, "k");
    fleet.end_call(0, CallOutcome::Answered);
    fleet.end_call(0, CallOutcome::AnswerLost);
    let second = fleet.submit_call(1, "k");
    fleet.run_until_idle();
    assert!(matches!(fleet.answers[&first], ClaimResponse::Granted(_)));
    assert_eq!(fleet.answers[&second], ClaimResponse::Unresolved);
    assert_eq!(fleet.grants.len(), 1);
}

#[test]
fn claim_two_daemons_race_for_one_key() {
    let mut fleet = pair();
    fleet.submit_call(0, "k");
    fleet.submit_call(1, "k");
    fleet.end_call(0, CallOutcome::Answered);
    fleet.end_call(0, CallOutcome::Answered);
    fleet.run_until_idle();
    assert_eq!(fleet.grants.len(), 1);
}

#[test]
fn claim_late_write_after_refusal_is_fenced_by_the_release() {
    let mut fleet = alone();
    let first = fleet.submit_call(0, "k");
    fleet.end_call(0, CallOutcome::Answered);
    fleet.end_call(0, CallOutcome::Late);
    fleet.end_call(0, CallOutcome::Unavailable);
    assert!(matches!(fleet.answers[&first], ClaimResponse::Unavailable { .. }));
    fleet.run_until_idle();
    fleet.take_effect(0);
    let again = fleet.submit_call(0, "k");
    fleet.run_until_idle();
    assert!(matches!(fleet.answers[&again], ClaimResponse::Granted(_)), "{:?}", fleet.answers);
}

#[test]
fn claim_daemon_lost_between_claim_and_dispatch_is_unresolved() {
    let mut fleet = pair();
    fleet.submit_call(0, "k");
    fleet.run_until_idle();
    fleet.replace(0, false);
    for daemon in 0..2 {
        let again = fleet.submit_call(daemon, "k");
        fleet.run_until_idle();
        assert_eq!(fleet.answers[&again], ClaimResponse::Unresolved);
    }
}

#[test]
fn claim_released_on_proof_only() {
    let mut fleet = pair();
    fleet.submit_call(0, "k");
    fleet.run_until_idle();
    fleet.run(0, Run::Refuses);
    fleet.run_until_idle();
    let again = fleet.submit_call(1, "k");
    fleet.run_until_idle();
    assert!(matches!(fleet.answers[&again], ClaimResponse::Granted(_)));
    fleet.run(0, Run::AnswerLost);
    fleet.run_until_idle();
    let last = fleet.submit_call(0, "k");
    fleet.run_until_idle();
    assert_eq!(fleet.answers[&last], ClaimResponse::Unresolved);
}

#[test]
fn claim_outage_is_refused_at_once() {
    let mut fleet = alone();
    let first = fleet.submit_call(0, "k");
    fleet.end_call(0, CallOutcome::Unavailable);
    let second = fleet.submit_call(0, "k");
    assert!(fleet.calls.is_empty(), "no call is spent while the platform is known to be down");
    for request in [first, second] {
        assert!(matches!(fleet.answers[&request], ClaimResponse::Unavailable { .. }));
    }
    assert!(fleet.runs.is_empty());
}

#[test]
fn claim_sealed_page_still_answers() {
    let cfg = Config { seal_bytes: 600, summary_pages: 3, ..Config::default() };
    let mut fleet = Fleet::new(1, cfg, false);
    for key in 0..200 {
        fleet.submit_call(0, &format!("k{key}"));
        fleet.run_until_idle();
        fleet.run(0, Run::Answers);
        fleet.run_until_idle();
    }
    assert!(fleet.count("/summary/") > 0);
    fleet.replace(0, false);
    for key in 0..200 {
        let again = fleet.submit_call(0, &format!("k{key}"));
        fleet.run_until_idle();
        let expected = answer_of(&format!("k{key}"));
        assert_eq!(fleet.answers[&again], ClaimResponse::Stored(expected));
    }
    assert!(fleet.store.revision().0 > 400);
}

#[test]
fn claim_items_batched_by_one_writer_share_writes() {
    let mut fleet = Fleet::new(4, Config::default(), true);
    for ask in 0..400 {
        fleet.submit_call(ask % 4, &format!("k{ask}"));
    }
    fleet.run_until_idle();
    assert_eq!(fleet.grants.len(), 400);
    assert!(fleet.writes <= 40, "{} writes", fleet.writes);
}

#[test]
fn claim_unreachable_writer_is_bypassed() {
    let mut fleet = Fleet::new(2, Config::default(), true);
    let requests: Vec<_> = (0..40).map(|ask| fleet.submit_call(0, &format!("k{ask}"))).collect();
    fleet.flights.clear();
    fleet.run_until_idle();
    for request in requests {
        assert!(matches!(fleet.answers[&request], ClaimResponse::Granted(_)));
    }
}

#[test]
fn claim_past_retention_is_collected() {
    let mut fleet = alone();
    fleet.submit_call(0, "k");
    fleet.run_until_idle();
    fleet.run(0, Run::Answers);
    fleet.run_until_idle();
    fleet.advance(Config::default().retention + Duration::from_secs(1));
    let again = fleet.submit_call(0, "k");
    fleet.run_until_idle();
    assert!(matches!(fleet.answers[&again], ClaimResponse::Granted(_)));
}

#[test]
fn claim_sealed_pages_past_retention_are_collected() {
    let cfg = Config { seal_bytes: 600, summary_pages: 3, ..Config::default() };
    let mut fleet = Fleet::new(1, cfg, false);
    for key in 0..100 {
        fleet.submit_call(0, &format!("k{key}"));
        fleet.run_until_idle();
    }
    let sealed = |fleet: &mut Fleet| fleet.count("/sealed/");
    assert!(sealed(&mut fleet) > 0);
    fleet.advance(Config::default().retention + Duration::from_mins(1));
    fleet.run_until_idle();
    fleet.advance(Duration::from_mins(11));
    fleet.run_until_idle();
    assert_eq!(sealed(&mut fleet), 0);
    assert_eq!(fleet.count("/summary/"), 0);
}

#[test]
fn claim_sealed_page_within_retention_survives_collection() {
    let cfg = Config { seal_bytes: 600, summary_pages: 3, ..Config::default() };
    let mut fleet = Fleet::new(1, cfg, false);
    for key in 0..100 {
        fleet.submit_call(0, &format!("k{key}"));
        fleet.run_until_idle();
    }
    let sealed = fleet.count("/sealed/");
    assert!(sealed > 0);
    fleet.advance(Duration::from_mins(11));
    fleet.run_until_idle();
    assert_eq!(fleet.count("/sealed/"), sealed);
    for key in 0..100 {
        let again = fleet.submit_call(0, &format!("k{key}"));
        fleet.run_until_idle();
        assert_eq!(fleet.answers[&again], ClaimResponse::Unresolved);
    }
}

#[test]
fn claim_write_rate_stays_within_the_setting() {
    const WRITES_PER_SECOND: u64 = 50;
    let cfg = Config { writes_per_second: WRITES_PER_SECOND as u32, ..Config::default() };
    let mut fleet = Fleet::new(5, cfg, true);
    let mut asked = 0;
    for _ in 0..2_000 {
        for daemon in 0..5 {
            asked += 1;
            fleet.submit_call(daemon, &format!("k{asked}"));
        }
        while !fleet.calls.is_empty() || !fleet.flights.is_empty() {
            if fleet.calls.is_empty() {
                fleet.deliver(0, false);
            } else {
                fleet.end_call(0, CallOutcome::Answered);
            }
        }
        fleet.advance(Duration::from_millis(5));
    }
    let seconds = 10;
    let burst = 5 * 4;
    assert!(fleet.writes <= WRITES_PER_SECOND * seconds + burst, "{} writes", fleet.writes);
    let refused = fleet.answers.values().filter(|a| matches!(a, ClaimResponse::Unavailable { .. }));
    println!("{asked} asked, {} granted, {} refused", fleet.grants.len(), refused.count());
    assert!(fleet.grants.len() > asked / 2);
}

#[test]
fn claim_end_counts_as_unwritten_until_the_platform_has_it() {
    let mut fleet = alone();
    fleet.submit_call(0, "k");
    fleet.run_until_idle();
    assert_eq!(fleet.daemons[0].pending_claim_writes(), 1);
    fleet.run(0, Run::Answers);
    assert_eq!(fleet.daemons[0].pending_claim_writes(), 1);
    fleet.end_call(0, CallOutcome::Unavailable);
    assert_eq!(fleet.daemons[0].pending_claim_writes(), 1);
    fleet.run_until_idle();
    assert_eq!(fleet.daemons[0].pending_claim_writes(), 0);
}
