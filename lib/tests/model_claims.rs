//! Explores the claims protocol exhaustively within bounds: every order of calls, messages, faults
//! and daemon losses.
//!
//! The model drives [`dogwoodturn::claim::claims::Claims`] itself; see `docs/design/models.md`.

mod support {
    pub mod claims;
    pub mod explore;
}

use dogwoodturn::claim::claims::Config;

use support::{
    claims::{CallOutcome, Cluster, DispatchOutcome, InjectedBug},
    explore::{Exploration, Model, explore},
};

const KEY: &str = "k";

/// The remaining number of actions of each kind, which bounds the exploration.
#[derive(Clone, Copy, Debug)]
struct Bounds {
    submissions: u64,
    faults: u32,
    replacements: u32,
    wakeups: u32,
}

#[derive(Clone, Copy, Debug)]
enum Action {
    Submit { daemon: usize },
    EndCall { index: usize, outcome: CallOutcome },
    ApplyLateWrite { index: usize },
    Deliver { index: usize, repeat: bool },
    Dispatch { index: usize, outcome: DispatchOutcome },
    Replace { daemon: usize },
    Wake,
}

#[derive(Clone)]
struct ClaimModel {
    cluster: Cluster,
    shared: bool,
    remaining: Bounds,
}

impl ClaimModel {
    fn new(daemons: usize, shared: bool, remaining: Bounds, injected_bug: InjectedBug) -> Self {
        let mut cluster = Cluster::new(daemons, Config::default(), shared);
        cluster.injected_bug = injected_bug;
        Self { cluster, shared, remaining }
    }
}

impl Model for ClaimModel {
    type Action = Action;

    fn actions(&self) -> Vec<Action> {
        let mut actions = Vec::new();
        let daemons = 0..self.cluster.daemons.len();
        if self.remaining.submissions > 0 {
            actions.extend(daemons.clone().map(|daemon| Action::Submit { daemon }));
        }
        for (index, call) in self.cluster.calls.iter().enumerate() {
            actions.push(Action::EndCall { index, outcome: CallOutcome::Answered });
            if self.remaining.faults > 0 && call.operation.is_write() {
                let outcomes =
                    [CallOutcome::AnswerLost, CallOutcome::Late, CallOutcome::Unavailable];
                actions.extend(outcomes.map(|outcome| Action::EndCall { index, outcome }));
            }
        }
        actions.extend(
            (0..self.cluster.late_writes.len()).map(|index| Action::ApplyLateWrite { index }),
        );
        for index in 0..self.cluster.messages.len() {
            actions.push(Action::Deliver { index, repeat: false });
            if self.remaining.faults > 0 {
                actions.push(Action::Deliver { index, repeat: true });
            }
        }
        for index in 0..self.cluster.grants.len() {
            let outcomes =
                [DispatchOutcome::Answers, DispatchOutcome::AnswerLost, DispatchOutcome::Refuses];
            actions.extend(outcomes.map(|outcome| Action::Dispatch { index, outcome }));
        }
        if self.remaining.replacements > 0 {
            actions.extend(daemons.map(|daemon| Action::Replace { daemon }));
        }
        if self.remaining.wakeups > 0 && self.cluster.next_wakeup().is_some() {
            actions.push(Action::Wake);
        }
        actions
    }

    fn apply(&mut self, action: &Action) {
        match *action {
            Action::Submit { daemon } => {
                self.remaining.submissions -= 1;
                self.cluster.submit_call(daemon, KEY);
            }
            Action::EndCall { index, outcome } => {
                self.remaining.faults -= u32::from(outcome != CallOutcome::Answered);
                self.cluster.end_call(index, outcome);
            }
            Action::ApplyLateWrite { index } => self.cluster.apply_late_write(index),
            Action::Deliver { index, repeat } => {
                self.remaining.faults -= u32::from(repeat);
                self.cluster.deliver(index, repeat);
            }
            Action::Dispatch { index, outcome } => self.cluster.dispatch(index, outcome),
            Action::Replace { daemon } => {
                self.remaining.replacements -= 1;
                self.cluster.replace(daemon, self.shared);
            }
            Action::Wake => {
                self.remaining.wakeups -= 1;
                let wait = self.cluster.next_wakeup().expect("a wakeup");
                self.cluster.advance(wait);
            }
        }
    }

    fn key(&self) -> String {
        let Cluster { store, daemons, late_writes, grants, runs, now, .. } = &self.cluster;
        let calls = sorted_debug(&self.cluster.calls);
        let messages = sorted_debug(&self.cluster.messages);
        let remaining = self.remaining;
        format!(
            "{store:?}{daemons:?}{calls:?}{late_writes:?}{messages:?}{grants:?}{runs:?}{now:?}{remaining:?}"
        )
    }

    fn check(&self) -> Result<(), String> {
        self.cluster.check()
    }
}

/// Formats items in sorted order, so that states that differ only in their order are merged.
fn sorted_debug<T: std::fmt::Debug>(items: &[T]) -> Vec<String> {
    let mut texts: Vec<String> = items.iter().map(|item| format!("{item:?}")).collect();
    texts.sort();
    texts
}

/// Explores two daemons that both consider themselves the writer, as after a partition.
fn partitioned(injected_bug: InjectedBug) -> Exploration {
    let remaining = Bounds { submissions: 2, faults: 1, replacements: 1, wakeups: 1 };
    explore(&ClaimModel::new(2, false, remaining, injected_bug))
}

/// Explores two daemons that agree on the writer.
fn with_shared_writer(faults: u32, wakeups: u32) -> Exploration {
    let remaining = Bounds { submissions: 2, faults, replacements: 0, wakeups };
    explore(&ClaimModel::new(2, true, remaining, InjectedBug::Nothing))
}

#[test]
fn claims_partitioned_run_at_most_once() {
    let exploration = partitioned(InjectedBug::Nothing);
    println!("{exploration:?}");
    exploration.assert_sound();
}

#[test]
fn claims_shared_writer_with_faults_run_at_most_once() {
    let exploration = with_shared_writer(1, 0);
    println!("{exploration:?}");
    exploration.assert_sound();
}

#[test]
fn claims_shared_writer_with_late_messages_run_at_most_once() {
    let exploration = with_shared_writer(0, 1);
    println!("{exploration:?}");
    exploration.assert_sound();
}

#[test]
fn claims_without_condition_run_twice() {
    let (fault, trace) = partitioned(InjectedBug::NoCondition).violation.expect("a violation");
    println!("{fault}: {trace:#?}");
    assert!(fault.ends_with("ran 2 times"));
}

#[test]
fn claims_without_reading_after_a_lost_answer_run_twice() {
    let (fault, trace) = partitioned(InjectedBug::NoReading).violation.expect("a violation");
    println!("{fault}: {trace:#?}");
    assert!(fault.ends_with("ran 2 times"));
}
