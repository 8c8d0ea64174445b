//! Claims under random sequences of asks, faults and losses, against an oracle: each key runs at
//! most once, and a stored answer is that of its key.

mod support {
    pub mod claims;
}

use std::{env, time::Duration};

use dogwoodturn::claim::{ClaimResponse, claims::Config};
use quickcheck::{Arbitrary, Gen};

use support::claims::{CallOutcome, Fleet, InjectedBug, Run};

/// How many seeds run when `DOGWOODTURN_SEEDS` does not say.
const DEFAULT_SEEDS: u64 = 300;
/// The size that the sequences are generated with.
const GEN_SIZE: usize = 250;
/// Longer than any daemon waits after the platform has refused a call.
const AFTER_BACKOFF: Duration = Duration::from_secs(10);
/// How often daemons collect.
const COLLECT_INTERVAL: Duration = Duration::from_mins(10);
const DAEMONS: usize = 3;
const KEYS: u8 = 4;

#[derive(Clone, Debug)]
enum Step {
    Ask { daemon: usize, key: u8 },
    EndCall { pick: usize, fate: CallOutcome },
    TakeEffect { pick: usize },
    Deliver { pick: usize, repeat: bool },
    Lose { pick: usize },
    Run { pick: usize, run: Run },
    Replace { daemon: usize },
    Partition { daemon: usize, shared: bool },
    Pass { millis: u16 },
    Collect,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let daemon = usize::arbitrary(g) % DAEMONS;
        let pick = usize::arbitrary(g);
        match u8::arbitrary(g) % 32 {
            0..6 => Self::Ask { daemon, key: u8::arbitrary(g) % KEYS },
            6..16 => {
                let fates = [
                    CallOutcome::Answered,
                    CallOutcome::Answered,
                    CallOutcome::Answered,
                    CallOutcome::AnswerLost,
                    CallOutcome::CallLost,
                    CallOutcome::Late,
                    CallOutcome::Unavailable,
                ];
                Self::EndCall { pick, fate: *g.choose(&fates).expect("a fate") }
            }
            16..18 => Self::TakeEffect { pick },
            18..22 => Self::Deliver { pick, repeat: u8::arbitrary(g) % 8 == 0 },
            22 => Self::Lose { pick },
            23..27 => {
                let runs = [Run::Answers, Run::AnswerLost, Run::Refuses];
                Self::Run { pick, run: *g.choose(&runs).expect("a run") }
            }
            27 => Self::Replace { daemon },
            28 => Self::Partition { daemon, shared: bool::arbitrary(g) },
            29 => Self::Collect,
            _ => Self::Pass { millis: u16::arbitrary(g) % 1_500 },
        }
    }
}

fn apply(fleet: &mut Fleet, step: &Step) {
    let within = |pick: usize, len: usize| (len > 0).then(|| pick % len);
    match *step {
        Step::Ask { daemon, key } => {
            fleet.submit_call(daemon, &format!("k{key}"));
        }
        Step::EndCall { pick, fate } => {
            if let Some(index) = within(pick, fleet.calls.len()) {
                fleet.end_call(index, fate);
            }
        }
        Step::TakeEffect { pick } => {
            if let Some(index) = within(pick, fleet.late.len()) {
                fleet.take_effect(index);
            }
        }
        Step::Deliver { pick, repeat } => {
            if let Some(index) = within(pick, fleet.flights.len()) {
                fleet.deliver(index, repeat);
            }
        }
        Step::Lose { pick } => {
            if let Some(index) = within(pick, fleet.flights.len()) {
                fleet.flights.remove(index);
            }
        }
        Step::Run { pick, run } => {
            if let Some(index) = within(pick, fleet.grants.len()) {
                fleet.run(index, run);
            }
        }
        Step::Replace { daemon } => fleet.replace(daemon, true),
        Step::Partition { daemon, shared } => fleet.greet(daemon, shared),
        Step::Collect => fleet.advance(COLLECT_INTERVAL),
        Step::Pass { millis } => fleet.advance(Duration::from_millis(millis.into())),
    }
}

/// Says whether a key may stay unresolved after this step: a call's end, or who knows it, was lost.
fn may_leave_unresolved(step: &Step) -> bool {
    match step {
        Step::Run { run, .. } => *run == Run::AnswerLost,
        Step::Replace { .. } | Step::Deliver { repeat: true, .. } => true,
        _ => false,
    }
}

/// Runs the steps, then lets all come to rest without faults and looks at every answer.
fn run(steps: &[Step], broken: InjectedBug) -> Result<(), String> {
    // Every other run seals its heads after each write, and summarises them soon.
    let cfg = match steps.len() % 2 {
        0 => Config::default(),
        _ => Config { seal_bytes: 1, summary_pages: 2, ..Config::default() },
    };
    let mut fleet = Fleet::new(DAEMONS, cfg, true);
    fleet.broken = broken;
    for step in steps {
        apply(&mut fleet, step);
        fleet.check()?;
    }
    fleet.run_until_idle();
    while !fleet.late.is_empty() {
        fleet.take_effect(0);
    }
    while !fleet.grants.is_empty() {
        fleet.run(0, Run::Answers);
    }
    fleet.run_until_idle();
    fleet.check()?;
    fleet.advance(AFTER_BACKOFF);
    let explained = steps.iter().any(may_leave_unresolved);
    for key in 0..KEYS {
        let request = fleet.submit_call(0, &format!("k{key}"));
        fleet.run_until_idle();
        match fleet.answers.get(&request) {
            Some(ClaimResponse::Granted(_)) => {
                let ran = fleet.runs.get(&*format!("k{key}"));
                if ran.is_some() {
                    return Err(format!("k{key} is granted again after it ran"));
                }
            }
            Some(ClaimResponse::Stored(_)) => {}
            Some(ClaimResponse::Unresolved) if explained => {}
            other => return Err(format!("k{key} without faults: {other:?}")),
        }
    }
    Ok(())
}

/// Drops steps as long as the run still fails.
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
            panic!("seed {seed}: {fault}; fewest steps: {:#?}", shrink(steps));
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
