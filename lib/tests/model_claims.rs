//! The claims' protocol in every order of calls, messages, faults and losses, to stated bounds.
//!
//! The model drives [`dogwoodturn::claim::claims::Claims`] itself; see `docs/design/models.md`.

mod support {
    pub mod claims;
    pub mod explore;
}

use dogwoodturn::claim::claims::Config;

use support::{
    claims::{CallOutcome, Fleet, InjectedBug, Run},
    explore::{Exploration, Model, explore},
};

const KEY: &str = "k";

/// How far the exploration goes.
#[derive(Clone, Copy, Debug)]
struct Bounds {
    asks: u64,
    faults: u32,
    losses: u32,
    wakeups: u32,
}

#[derive(Clone, Copy, Debug)]
enum Action {
    Ask { daemon: usize },
    EndCall { index: usize, fate: CallOutcome },
    TakeEffect { index: usize },
    Deliver { index: usize, repeat: bool },
    Dispatch { index: usize, run: Run },
    Replace { daemon: usize },
    Wake,
}

#[derive(Clone)]
struct ClaimModel {
    fleet: Fleet,
    shared: bool,
    left: Bounds,
}

impl ClaimModel {
    fn new(daemons: usize, shared: bool, left: Bounds, broken: InjectedBug) -> Self {
        let mut fleet = Fleet::new(daemons, Config::default(), shared);
        fleet.broken = broken;
        Self { fleet, shared, left }
    }
}

impl Model for ClaimModel {
    type Action = Action;

    fn actions(&self) -> Vec<Action> {
        let mut actions = Vec::new();
        let daemons = 0..self.fleet.daemons.len();
        if self.left.asks > 0 {
            actions.extend(daemons.clone().map(|daemon| Action::Ask { daemon }));
        }
        for (index, call) in self.fleet.calls.iter().enumerate() {
            actions.push(Action::EndCall { index, fate: CallOutcome::Answered });
            if self.left.faults > 0 && call.operation.is_write() {
                let fates = [CallOutcome::AnswerLost, CallOutcome::Late, CallOutcome::Unavailable];
                actions.extend(fates.map(|fate| Action::EndCall { index, fate }));
            }
        }
        actions.extend((0..self.fleet.late.len()).map(|index| Action::TakeEffect { index }));
        for index in 0..self.fleet.flights.len() {
            actions.push(Action::Deliver { index, repeat: false });
            if self.left.faults > 0 {
                actions.push(Action::Deliver { index, repeat: true });
            }
        }
        for index in 0..self.fleet.grants.len() {
            let runs = [Run::Answers, Run::AnswerLost, Run::Refuses];
            actions.extend(runs.map(|run| Action::Dispatch { index, run }));
        }
        if self.left.losses > 0 {
            actions.extend(daemons.map(|daemon| Action::Replace { daemon }));
        }
        if self.left.wakeups > 0 && self.fleet.next_wakeup().is_some() {
            actions.push(Action::Wake);
        }
        actions
    }

    fn apply(&mut self, action: &Action) {
        match *action {
            Action::Ask { daemon } => {
                self.left.asks -= 1;
                self.fleet.submit_call(daemon, KEY);
            }
            Action::EndCall { index, fate } => {
                self.left.faults -= u32::from(fate != CallOutcome::Answered);
                self.fleet.end_call(index, fate);
            }
            Action::TakeEffect { index } => self.fleet.take_effect(index),
            Action::Deliver { index, repeat } => {
                self.left.faults -= u32::from(repeat);
                self.fleet.deliver(index, repeat);
            }
            Action::Dispatch { index, run } => self.fleet.run(index, run),
            Action::Replace { daemon } => {
                self.left.losses -= 1;
                self.fleet.replace(daemon, self.shared);
            }
            Action::Wake => {
                self.left.wakeups -= 1;
                let wait = self.fleet.next_wakeup().expect("a wakeup");
                self.fleet.advance(wait);
            }
        }
    }

    fn key(&self) -> String {
        let Fleet { store, daemons, late, grants, runs, now, .. } = &self.fleet;
        let calls = sorted(&self.fleet.calls);
        let flights = sorted(&self.fleet.flights);
        let left = self.left;
        format!("{store:?}{daemons:?}{calls:?}{late:?}{flights:?}{grants:?}{runs:?}{now:?}{left:?}")
    }

    fn check(&self) -> Result<(), String> {
        self.fleet.check()
    }
}

/// Writes down what may happen in any order, so that states that differ in it only are one.
fn sorted<T: std::fmt::Debug>(items: &[T]) -> Vec<String> {
    let mut texts: Vec<String> = items.iter().map(|item| format!("{item:?}")).collect();
    texts.sort();
    texts
}

/// Two daemons that each take themselves for the gatherer, as after a partition.
fn partitioned(broken: InjectedBug) -> Exploration {
    let left = Bounds { asks: 2, faults: 1, losses: 1, wakeups: 1 };
    explore(&ClaimModel::new(2, false, left, broken))
}

/// Two daemons of which one gathers.
fn with_shared_writer(faults: u32, wakeups: u32) -> Exploration {
    let left = Bounds { asks: 2, faults, losses: 0, wakeups };
    explore(&ClaimModel::new(2, true, left, InjectedBug::Nothing))
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
