//! Claims under single failures: each test covers one failure that the protocol must handle.

mod support {
    pub mod claims;
}

use std::time::Duration;

use dogwoodturn::claim::{ClaimResponse, claims::Config};

use support::claims::{CallOutcome, Cluster, DispatchOutcome, answer_of};

fn single_daemon() -> Cluster {
    Cluster::new(1, Config::default(), false)
}

fn two_daemons() -> Cluster {
    Cluster::new(2, Config::default(), false)
}

#[test]
fn claim_granted_once() {
    let mut cluster = single_daemon();
    let first = cluster.submit_call(0, "k");
    cluster.run_until_idle();
    let second = cluster.submit_call(0, "k");
    cluster.run_until_idle();
    assert!(matches!(cluster.answers[&first], ClaimResponse::Granted(_)));
    assert_eq!(cluster.answers[&second], ClaimResponse::Unresolved);
}

#[test]
fn claim_repeated_call_gets_the_stored_response_at_any_daemon() {
    let mut cluster = two_daemons();
    cluster.submit_call(0, "k");
    cluster.run_until_idle();
    cluster.dispatch(0, DispatchOutcome::Answers);
    cluster.run_until_idle();
    let repeated = cluster.submit_call(1, "k");
    cluster.run_until_idle();
    assert_eq!(cluster.answers[&repeated], ClaimResponse::Stored(answer_of("k")));
}

#[test]
fn claim_lost_answer_is_resolved_by_reading() {
    let mut cluster = single_daemon();
    let request = cluster.submit_call(0, "k");
    cluster.end_call(0, CallOutcome::Answered);
    cluster.end_call(0, CallOutcome::AnswerLost);
    cluster.run_until_idle();
    assert!(matches!(cluster.answers[&request], ClaimResponse::Granted(_)));
    assert_eq!(cluster.writes, 1);
}

#[test]
fn claim_lost_answer_with_resend_through_another_daemon_runs_once() {
    let mut cluster = two_daemons();
    let first = cluster.submit_call(0, "k");
    cluster.end_call(0, CallOutcome::Answered);
    cluster.end_call(0, CallOutcome::AnswerLost);
    let second = cluster.submit_call(1, "k");
    cluster.run_until_idle();
    assert!(matches!(cluster.answers[&first], ClaimResponse::Granted(_)));
    assert_eq!(cluster.answers[&second], ClaimResponse::Unresolved);
    assert_eq!(cluster.grants.len(), 1);
}

#[test]
fn claim_two_daemons_race_for_one_key() {
    let mut cluster = two_daemons();
    cluster.submit_call(0, "k");
    cluster.submit_call(1, "k");
    cluster.end_call(0, CallOutcome::Answered);
    cluster.end_call(0, CallOutcome::Answered);
    cluster.run_until_idle();
    assert_eq!(cluster.grants.len(), 1);
}

#[test]
fn claim_late_write_after_refusal_is_fenced_by_the_release() {
    let mut cluster = single_daemon();
    let first = cluster.submit_call(0, "k");
    cluster.end_call(0, CallOutcome::Answered);
    cluster.end_call(0, CallOutcome::Late);
    cluster.end_call(0, CallOutcome::Unavailable);
    assert!(matches!(cluster.answers[&first], ClaimResponse::Unavailable { .. }));
    cluster.run_until_idle();
    cluster.apply_late_write(0);
    let repeated = cluster.submit_call(0, "k");
    cluster.run_until_idle();
    assert!(
        matches!(cluster.answers[&repeated], ClaimResponse::Granted(_)),
        "{:?}",
        cluster.answers
    );
}

#[test]
fn claim_daemon_lost_between_claim_and_dispatch_is_unresolved() {
    let mut cluster = two_daemons();
    cluster.submit_call(0, "k");
    cluster.run_until_idle();
    cluster.replace(0, false);
    for daemon in 0..2 {
        let repeated = cluster.submit_call(daemon, "k");
        cluster.run_until_idle();
        assert_eq!(cluster.answers[&repeated], ClaimResponse::Unresolved);
    }
}

#[test]
fn claim_is_released_only_if_the_call_provably_did_not_run() {
    let mut cluster = two_daemons();
    cluster.submit_call(0, "k");
    cluster.run_until_idle();
    cluster.dispatch(0, DispatchOutcome::Refuses);
    cluster.run_until_idle();
    let repeated = cluster.submit_call(1, "k");
    cluster.run_until_idle();
    assert!(matches!(cluster.answers[&repeated], ClaimResponse::Granted(_)));
    cluster.dispatch(0, DispatchOutcome::AnswerLost);
    cluster.run_until_idle();
    let last = cluster.submit_call(0, "k");
    cluster.run_until_idle();
    assert_eq!(cluster.answers[&last], ClaimResponse::Unresolved);
}

#[test]
fn claim_outage_is_refused_at_once() {
    let mut cluster = single_daemon();
    let first = cluster.submit_call(0, "k");
    cluster.end_call(0, CallOutcome::Unavailable);
    let second = cluster.submit_call(0, "k");
    assert!(cluster.calls.is_empty(), "a call was issued during the back-off after an outage");
    for request in [first, second] {
        assert!(matches!(cluster.answers[&request], ClaimResponse::Unavailable { .. }));
    }
    assert!(cluster.runs.is_empty());
}

#[test]
fn claim_in_a_sealed_page_is_found() {
    let cfg = Config { seal_bytes: 600, summary_pages: 3, ..Config::default() };
    let mut cluster = Cluster::new(1, cfg, false);
    for key in 0..200 {
        cluster.submit_call(0, &format!("k{key}"));
        cluster.run_until_idle();
        cluster.dispatch(0, DispatchOutcome::Answers);
        cluster.run_until_idle();
    }
    assert!(cluster.count("/summary/") > 0);
    cluster.replace(0, false);
    for key in 0..200 {
        let repeated = cluster.submit_call(0, &format!("k{key}"));
        cluster.run_until_idle();
        let expected = answer_of(&format!("k{key}"));
        assert_eq!(cluster.answers[&repeated], ClaimResponse::Stored(expected));
    }
    assert!(cluster.store.revision().0 > 400);
}

#[test]
fn claim_items_batched_by_one_writer_share_writes() {
    let mut cluster = Cluster::new(4, Config::default(), true);
    for index in 0..400 {
        cluster.submit_call(index % 4, &format!("k{index}"));
    }
    cluster.run_until_idle();
    assert_eq!(cluster.grants.len(), 400);
    assert!(cluster.writes <= 40, "{} writes", cluster.writes);
}

#[test]
fn claim_unreachable_writer_is_bypassed() {
    let mut cluster = Cluster::new(2, Config::default(), true);
    let requests: Vec<_> =
        (0..40).map(|index| cluster.submit_call(0, &format!("k{index}"))).collect();
    cluster.messages.clear();
    cluster.run_until_idle();
    for request in requests {
        assert!(matches!(cluster.answers[&request], ClaimResponse::Granted(_)));
    }
}

#[test]
fn claim_past_retention_is_collected() {
    let mut cluster = single_daemon();
    cluster.submit_call(0, "k");
    cluster.run_until_idle();
    cluster.dispatch(0, DispatchOutcome::Answers);
    cluster.run_until_idle();
    cluster.advance(Config::default().retention + Duration::from_secs(1));
    let repeated = cluster.submit_call(0, "k");
    cluster.run_until_idle();
    assert!(matches!(cluster.answers[&repeated], ClaimResponse::Granted(_)));
}

#[test]
fn claim_sealed_pages_past_retention_are_collected() {
    let cfg = Config { seal_bytes: 600, summary_pages: 3, ..Config::default() };
    let mut cluster = Cluster::new(1, cfg, false);
    for key in 0..100 {
        cluster.submit_call(0, &format!("k{key}"));
        cluster.run_until_idle();
    }
    let sealed = |cluster: &mut Cluster| cluster.count("/sealed/");
    assert!(sealed(&mut cluster) > 0);
    cluster.advance(Config::default().retention + Duration::from_mins(1));
    cluster.run_until_idle();
    cluster.advance(Duration::from_mins(11));
    cluster.run_until_idle();
    assert_eq!(sealed(&mut cluster), 0);
    assert_eq!(cluster.count("/summary/"), 0);
}

#[test]
fn claim_sealed_page_within_retention_survives_collection() {
    let cfg = Config { seal_bytes: 600, summary_pages: 3, ..Config::default() };
    let mut cluster = Cluster::new(1, cfg, false);
    for key in 0..100 {
        cluster.submit_call(0, &format!("k{key}"));
        cluster.run_until_idle();
    }
    let sealed = cluster.count("/sealed/");
    assert!(sealed > 0);
    cluster.advance(Duration::from_mins(11));
    cluster.run_until_idle();
    assert_eq!(cluster.count("/sealed/"), sealed);
    for key in 0..100 {
        let repeated = cluster.submit_call(0, &format!("k{key}"));
        cluster.run_until_idle();
        assert_eq!(cluster.answers[&repeated], ClaimResponse::Unresolved);
    }
}

#[test]
fn claim_write_rate_stays_within_the_setting() {
    const WRITES_PER_SECOND: u64 = 50;
    let cfg = Config { writes_per_second: WRITES_PER_SECOND as u32, ..Config::default() };
    let mut cluster = Cluster::new(5, cfg, true);
    let mut submitted = 0;
    for _ in 0..2_000 {
        for daemon in 0..5 {
            submitted += 1;
            cluster.submit_call(daemon, &format!("k{submitted}"));
        }
        while !cluster.calls.is_empty() || !cluster.messages.is_empty() {
            if cluster.calls.is_empty() {
                cluster.deliver(0, false);
            } else {
                cluster.end_call(0, CallOutcome::Answered);
            }
        }
        cluster.advance(Duration::from_millis(5));
    }
    let seconds = 10;
    let burst = 5 * 4;
    assert!(cluster.writes <= WRITES_PER_SECOND * seconds + burst, "{} writes", cluster.writes);
    let refused =
        cluster.answers.values().filter(|a| matches!(a, ClaimResponse::Unavailable { .. }));
    println!(
        "{submitted} submitted, {} granted, {} refused",
        cluster.grants.len(),
        refused.count()
    );
    assert!(cluster.grants.len() > submitted / 2);
}

#[test]
fn claim_outcome_is_pending_until_written() {
    let mut cluster = single_daemon();
    cluster.submit_call(0, "k");
    cluster.run_until_idle();
    assert_eq!(cluster.daemons[0].pending_writes(), 1);
    cluster.dispatch(0, DispatchOutcome::Answers);
    assert_eq!(cluster.daemons[0].pending_writes(), 1);
    cluster.end_call(0, CallOutcome::Unavailable);
    assert_eq!(cluster.daemons[0].pending_writes(), 1);
    cluster.run_until_idle();
    assert_eq!(cluster.daemons[0].pending_writes(), 0);
}
