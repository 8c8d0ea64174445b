//! The control state machine of a single daemon runs a move to its recorded outcome.

use std::{sync::Arc, time::Duration};

use dogwoodturn::{
    declaration::{
        check,
        publish::{Publication, Step},
    },
    ids::{Incarnation, ServiceName},
    ini::Source,
    moves::report::{MoveReport, Stage},
    node::{
        control::{Control, Input, Output},
        metrics,
        report::{AttemptEnd, AttemptReport},
        snapshot::Snapshot,
    },
    peer::Member,
    store::{Operation, memory::MemoryStore},
    units::{Time, Tokens, WallTime},
};
use prometheus_client::{encoding::text::encode, registry::Registry};

const MOVE_START: WallTime = WallTime(1_800_000_000_000);
const TICK: Duration = Duration::from_millis(10);
const MOVE_DURATION: Duration = Duration::from_mins(1);

/// One daemon with its platform, and the outputs it has emitted.
struct Daemon {
    control: Control,
    store: MemoryStore,
    now: Time,
    snapshot: Arc<Snapshot>,
    audited: Vec<String>,
}

impl Daemon {
    fn start() -> Self {
        let mut store = MemoryStore::new();
        publish(&mut store);
        let (control, now) = (Control::new(), Time(0));
        let mut daemon =
            Self { control, store, now, snapshot: Arc::default(), audited: Vec::new() };
        daemon.handle(Input::Identity(Member {
            daemon: "d0".parse().expect("a name"),
            incarnation: Incarnation(1),
            address: ([127, 0, 0, 1], 9).into(),
            data_centre: "dc".parse().expect("a name"),
            region: "r".parse().expect("a name"),
        }));
        daemon.handle(Input::Clock(MOVE_START));
        daemon.handle(Input::Started);
        daemon
    }

    fn handle(&mut self, input: Input) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            let mut out = Vec::new();
            self.control.handle(self.now, input, &mut out);
            for output in out {
                inputs.extend(self.apply_output(output));
            }
        }
    }

    fn apply_output(&mut self, output: Output) -> Option<Input> {
        match output {
            Output::Publish(snapshot) => self.snapshot = snapshot,
            Output::Audit(event) => self.audited.push(event.action.to_string()),
            // A platform holds these long polls until there is a change, so they get no response.
            Output::Call {
                operation: Operation::Watch { .. } | Operation::Hosts { .. }, ..
            } => {}
            Output::Call { owner, call, operation, .. } => {
                return Some(Input::CallEnded(owner, call, self.store.apply(&operation)));
            }
            _ => {}
        }
        None
    }

    /// Runs until the finish time of the move, with one attempt per tick.
    fn run(&mut self, new_version_fails: bool) {
        let ticks = (MOVE_DURATION.as_millis() / TICK.as_millis()) as u64;
        for tick in 0..ticks {
            self.now = self.now + TICK;
            if self.control.next_wakeup().is_some_and(|at| at <= self.now) {
                self.handle(Input::Woken);
            }
            let service: ServiceName = "lantern".parse().expect("a name");
            let request = format!("r{tick}").parse().expect("a name");
            let split = self.snapshot.traffic_splits.get(&service);
            let version = split.map_or("v1", |split| split.choose(&request, 0).as_str());
            let report = attempt(version, new_version_fails && version == "v2");
            self.handle(Input::AttemptReports(vec![report]));
        }
    }

    fn report(&self) -> &MoveReport {
        &self.snapshot.moves[0]
    }
}

fn publish(store: &mut MemoryStore) {
    let finish_by = MOVE_START + MOVE_DURATION;
    let text = format!(
        "[service lantern]\nkind = plain\nversion = v1\nrepeat = safe\n[version lantern/v1]\n\
         [version lantern/v2]\n[route phrases]\npath = /phrases\nservice = lantern\n\
         [route unused]\npath = /unused\nservice = lantern\n[move m]\nservice = lantern\n\
         from = v1\nto = v2\nstart = {MOVE_START}\nfinish-by = {finish_by}\nwatch = 10s\n"
    );
    let source = Source { file: "test.ini".into(), text: text.into() };
    let set = check::check(&[source]).expect("the declarations are valid").set;
    let change = "c1".parse().expect("a change id");
    let (mut publication, mut operation) =
        Publication::begin(&set, change, "test".into(), MOVE_START, None);
    loop {
        match publication.handle(store.apply(&operation)) {
            Step::Call(next) => operation = next,
            Step::Done(done) => break drop(done.expect("published")),
        }
    }
}

fn attempt(version: &str, fails: bool) -> AttemptReport {
    AttemptReport {
        route: "phrases".parse().expect("a name"),
        service: "lantern".parse().expect("a name"),
        version: version.parse().expect("a name"),
        move_name: Some("m".parse().expect("a name")),
        upstream: "u1".parse().expect("a name"),
        zone: "z".parse().expect("a name"),
        class: "c".parse().expect("a name"),
        end: if fails { AttemptEnd::Failure } else { AttemptEnd::Success },
        first_token: Some(Duration::from_millis(20)),
        generation: Duration::ZERO,
        uncached_prompt_tokens: Tokens(0),
        prompt_tokens: Tokens(0),
        generated_tokens: Tokens(0),
        recomputed_tokens: Tokens(0),
    }
}

#[test]
fn control_good_move_is_finished_and_recorded() {
    let mut daemon = Daemon::start();
    daemon.run(false);
    let report = daemon.report();
    assert_eq!(report.stage, Stage::Finished, "{report:?}");
    assert!(report.recorded);
    assert!(daemon.audited.iter().any(|action| action == "finished"), "{:?}", daemon.audited);
    let split = daemon.snapshot.traffic_splits.values().next().expect("a traffic split");
    assert_eq!((split.share.0, split.max_outstanding), (1_000_000, None));
}

#[test]
fn control_bad_move_is_held_and_taken_back() {
    let mut daemon = Daemon::start();
    daemon.run(true);
    let report = daemon.report();
    assert_eq!(report.stage, Stage::RolledBack, "{report:?}");
    assert!(report.recorded);
    for action in ["held", "taken back"] {
        assert!(daemon.audited.iter().any(|done| done == action), "{:?}", daemon.audited);
    }
    let split = daemon.snapshot.traffic_splits.values().next().expect("a traffic split");
    assert_eq!(split.share.0, 0);
    let metrics = encoded_metrics(&daemon.snapshot);
    let stage = "dogwoodturn_move_stage{move=\"m\",stage=\"taken-back\"} 1";
    assert!(metrics.contains(stage), "{metrics}");
}

fn encoded_metrics(snapshot: &Snapshot) -> String {
    let mut registry = Registry::default();
    metrics::register(snapshot, &mut registry);
    let mut text = String::new();
    encode(&mut text, &registry).expect("writing to a string does not fail");
    text
}
