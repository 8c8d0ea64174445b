//! Claims under random sequences of claim requests, faults and daemon losses. Invariants: each key
//! runs at most once, and a stored response belongs to its key and to a call that ran once.

mod support {
    pub mod claims;
}

use std::{env, time::Duration};

use dogwoodturn::claim::{ClaimResponse, claims::Config};
use quickcheck::{Arbitrary, Gen};

use support::claims::{CallOutcome, Cluster, DispatchOutcome, InjectedBug};

/// The number of seeds if `DOGWOODTURN_SEEDS` is not set.
const DEFAULT_SEEDS: u64 = 300;
/// The quickcheck size of the generated sequences.
const GEN_SIZE: usize = 250;
/// Longer than any back-off of a daemon after a refused call.
const BACKOFF_ELAPSED: Duration = Duration::from_secs(10);
/// The collection interval of daemons.
const COLLECT_INTERVAL: Duration = Duration::from_mins(10);
const DAEMONS: usize = 3;
const KEYS: u8 = 4;

#[derive(Clone, Debug)]
enum Step {
    Submit { daemon: usize, key: u8 },
    EndCall { pick: usize, outcome: CallOutcome },
    ApplyLateWrite { pick: usize },
    Deliver { pick: usize, repeat: bool },
    DropMessage { pick: usize },
    Dispatch { pick: usize, outcome: DispatchOutcome },
    Replace { daemon: usize },
    SetMembers { daemon: usize, shared: bool },
    Advance { millis: u16 },
    Collect,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let daemon = usize::arbitrary(g) % DAEMONS;
        let pick = usize::arbitrary(g);
        match u8::arbitrary(g) % 32 {
            0..6 => Self::Submit { daemon, key: u8::arbitrary(g) % KEYS },
            6..16 => {
                let outcomes = [
                    CallOutcome::Answered,
                    CallOutcome::Answered,
                    CallOutcome::Answered,
                    CallOutcome::AnswerLost,
                    CallOutcome::CallLost,
                    CallOutcome::Late,
                    CallOutcome::Unavailable,
                ];
                Self::EndCall { pick, outcome: *g.choose(&outcomes).expect("an outcome") }
            }
            16..18 => Self::ApplyLateWrite { pick },
            18..22 => Self::Deliver { pick, repeat: u8::arbitrary(g) % 8 == 0 },
            22 => Self::DropMessage { pick },
            23..27 => {
                let outcomes = [
                    DispatchOutcome::Answers,
                    DispatchOutcome::AnswerLost,
                    DispatchOutcome::Refuses,
                ];
                Self::Dispatch { pick, outcome: *g.choose(&outcomes).expect("an outcome") }
            }
            27 => Self::Replace { daemon },
            28 => Self::SetMembers { daemon, shared: bool::arbitrary(g) },
            29 => Self::Collect,
            _ => Self::Advance { millis: u16::arbitrary(g) % 1_500 },
        }
    }
}

fn apply(cluster: &mut Cluster, step: &Step) {
    let within = |pick: usize, len: usize| (len > 0).then(|| pick % len);
    match *step {
        Step::Submit { daemon, key } => {
            cluster.submit_call(daemon, &format!("k{key}"));
        }
        Step::EndCall { pick, outcome } => {
            if let Some(index) = within(pick, cluster.calls.len()) {
                cluster.end_call(index, outcome);
            }
        }
        Step::ApplyLateWrite { pick } => {
            if let Some(index) = within(pick, cluster.late_writes.len()) {
                cluster.apply_late_write(index);
            }
        }
        Step::Deliver { pick, repeat } => {
            if let Some(index) = within(pick, cluster.messages.len()) {
                cluster.deliver(index, repeat);
            }
        }
        Step::DropMessage { pick } => {
            if let Some(index) = within(pick, cluster.messages.len()) {
                cluster.messages.remove(index);
            }
        }
        Step::Dispatch { pick, outcome } => {
            if let Some(index) = within(pick, cluster.grants.len()) {
                cluster.dispatch(index, outcome);
            }
        }
        Step::Replace { daemon } => cluster.replace(daemon, true),
        Step::SetMembers { daemon, shared } => cluster.set_members(daemon, shared),
        Step::Collect => cluster.advance(COLLECT_INTERVAL),
        Step::Advance { millis } => cluster.advance(Duration::from_millis(millis.into())),
    }
}

/// Reports whether a key may stay unresolved after this step, because a call's outcome or the
/// daemon that knew it was lost, or because a message was repeated.
fn may_leave_unresolved(step: &Step) -> bool {
    match step {
        Step::Dispatch { outcome, .. } => *outcome == DispatchOutcome::AnswerLost,
        Step::Replace { .. } | Step::Deliver { repeat: true, .. } => true,
        _ => false,
    }
}

/// Runs the steps, then runs until idle without faults, and checks the response for every key.
fn run(steps: &[Step], injected_bug: InjectedBug) -> Result<(), String> {
    // Sequences of odd length seal the head after each write and summarise two sealed pages.
    let cfg = match steps.len() % 2 {
        0 => Config::default(),
        _ => Config { seal_bytes: 1, summary_pages: 2, ..Config::default() },
    };
    let mut cluster = Cluster::new(DAEMONS, cfg, true);
    cluster.injected_bug = injected_bug;
    for step in steps {
        apply(&mut cluster, step);
        cluster.check()?;
    }
    cluster.run_until_idle();
    while !cluster.late_writes.is_empty() {
        cluster.apply_late_write(0);
    }
    while !cluster.grants.is_empty() {
        cluster.dispatch(0, DispatchOutcome::Answers);
    }
    cluster.run_until_idle();
    cluster.check()?;
    cluster.advance(BACKOFF_ELAPSED);
    let may_be_unresolved = steps.iter().any(may_leave_unresolved);
    for key in 0..KEYS {
        let request = cluster.submit_call(0, &format!("k{key}"));
        cluster.run_until_idle();
        match cluster.answers.get(&request) {
            Some(ClaimResponse::Granted(_)) => {
                let run_count = cluster.runs.get(&*format!("k{key}"));
                if run_count.is_some() {
                    return Err(format!("k{key} is granted again after it ran"));
                }
            }
            Some(ClaimResponse::Stored(_)) => {}
            Some(ClaimResponse::Unresolved) if may_be_unresolved => {}
            other => return Err(format!("k{key} after the faults: {other:?}")),
        }
    }
    Ok(())
}

/// Removes steps as long as the run still fails.
fn shrink(mut steps: Vec<Step>) -> Vec<Step> {
    let mut chunk = steps.len() / 2;
    while chunk > 0 {
        let mut begin = 0;
        while begin < steps.len() {
            let mut fewer = steps.clone();
            fewer.drain(begin..(begin + chunk).min(steps.len()));
            if run(&fewer, InjectedBug::Nothing).is_err() {
                steps = fewer;
            } else {
                begin += chunk;
            }
        }
        chunk /= 2;
    }
    steps
}

fn steps_of(seed: u64) -> Vec<Step> {
    Vec::arbitrary(&mut Gen::from_size_and_seed(GEN_SIZE, seed))
}

#[test]
fn claims_random_faults_run_each_key_at_most_once() {
    let seeds = env::var("DOGWOODTURN_SEEDS").ok().and_then(|text| text.parse().ok());
    for seed in 0..seeds.unwrap_or(DEFAULT_SEEDS) {
        let steps = steps_of(seed);
        if let Err(fault) = run(&steps, InjectedBug::Nothing) {
            panic!("seed {seed}: {fault}; minimised steps: {:#?}", shrink(steps));
        }
    }
}

fn ran_twice(fault: &str) -> bool {
    fault.ends_with("times") || fault.ends_with("again after it ran")
}

#[test]
fn claims_without_condition_are_caught() {
    let caught =
        |seed| run(&steps_of(seed), InjectedBug::NoCondition).is_err_and(|fault| ran_twice(&fault));
    assert!((0..DEFAULT_SEEDS).any(caught));
}

#[test]
fn claims_without_reading_after_a_lost_answer_are_caught() {
    let caught =
        |seed| run(&steps_of(seed), InjectedBug::NoReading).is_err_and(|fault| ran_twice(&fault));
    assert!((0..DEFAULT_SEEDS).any(caught));
}
