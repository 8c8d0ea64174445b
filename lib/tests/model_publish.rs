//! Explores publication and activation in every order of calls, faults and replacements of daemons
//! within bounds.
//!
//! The model runs the real [`Publication`] and [`ActiveConfig`]; see `docs/design/models.md`.

mod support {
    pub mod explore;
}

use dogwoodturn::{
    declaration::{
        DeclarationSet,
        active_config::{self, ActiveConfig},
        check,
        publish::{Publication, PublishError, Step},
        wire::{self, HEAD_KEY, HeadWire},
    },
    ids::{CallId, ChangeId, Generation},
    ini::Source,
    store::{CallError, Condition, Operation, Reply, memory::MemoryStore},
    units::{Time, WallTime},
};

use support::explore::{Exploration, Model, explore};

/// A part of the protocol that is left out, to show that the checks detect its absence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum InjectedBug {
    Disabled,
    /// Writes take effect regardless of the head's revision.
    NoCondition,
    /// A write whose response was lost is assumed to have taken effect, without reading the head.
    NoRead,
    /// A daemon loses its active generation when it reads the head.
    NoMemory,
}

/// The limits of the exploration.
#[derive(Clone, Copy, Debug)]
struct Bounds {
    publishers: usize,
    daemons: usize,
    /// Calls that fail, are late or lose their response.
    faults: u32,
    /// Publications of the same change again after an unknown outcome.
    republications: u32,
    /// Daemons that are replaced by new ones without state.
    replacements: u32,
    restores: u32,
    wakeups: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallOutcome {
    Completed,
    /// The call takes effect, but its response is lost.
    ResponseLost,
    /// The response is lost; the call takes effect later, by [`Action::TakeEffect`].
    Late,
    Unavailable,
}

#[derive(Clone, Copy, Debug)]
enum Action {
    Publish {
        publisher: usize,
    },
    PublisherCall {
        publisher: usize,
        outcome: CallOutcome,
    },
    /// A late call takes effect.
    TakeEffect {
        index: usize,
    },
    DaemonCall {
        daemon: usize,
        outcome: CallOutcome,
    },
    /// A daemon is replaced by a new one without state.
    Replace {
        daemon: usize,
    },
    /// The platform is restored to the objects that it had initially.
    Restore,
    Wake,
}

#[derive(Clone, Debug)]
enum Publisher {
    Idle,
    Calling(Box<Publication>, Operation),
    Published,
    Refused,
    /// The outcome is unknown; the operator may publish the same change again.
    Unknown,
}

#[derive(Clone, Debug)]
struct Daemon {
    active_config: ActiveConfig,
    call: Option<(CallId, Operation)>,
    generation: Generation,
}

#[derive(Clone)]
struct PublishModel {
    store: MemoryStore,
    first: MemoryStore,
    late: Vec<Operation>,
    publishers: Vec<Publisher>,
    daemons: Vec<Daemon>,
    history: Vec<(Generation, ChangeId)>,
    now: Time,
    remaining: Bounds,
    injected_bug: InjectedBug,
    fault: Option<String>,
}

fn set() -> DeclarationSet {
    set_with(1)
}

/// Returns a set with `versions` versions.
fn set_with(versions: usize) -> DeclarationSet {
    let mut text = "[service lantern]\nkind = model\nversion = v1\nrepeat = safe\n".to_owned();
    text.extend((1..=versions).map(|version| format!("[version lantern/v{version}]\n")));
    let source = Source { file: "model.ini".into(), text: text.into() };
    check::check(&[source]).expect("the set has no error").set
}

fn begin(change: &str) -> (Publication, Operation) {
    begin_with(change, &set())
}

fn begin_with(change: &str, set: &DeclarationSet) -> (Publication, Operation) {
    let change = change.parse().expect("a change id");
    Publication::begin(set, change, "model".into(), WallTime(0), None)
}

impl PublishModel {
    /// Creates the model with one published generation.
    fn new(remaining: Bounds, injected_bug: InjectedBug) -> Self {
        let mut model = Self {
            store: MemoryStore::new(),
            first: MemoryStore::new(),
            late: Vec::new(),
            publishers: vec![Publisher::Idle; remaining.publishers],
            daemons: Vec::new(),
            history: Vec::new(),
            now: Time(0),
            remaining,
            injected_bug,
            fault: None,
        };
        let (mut publication, mut operation) = begin("first");
        while let Step::Call(next) = publication.handle(model.store_apply(&operation)) {
            operation = next;
        }
        model.first = model.store.clone();
        for _ in 0..remaining.daemons {
            let active_config = ActiveConfig::new();
            model.daemons.push(Daemon { active_config, call: None, generation: Generation(0) });
        }
        for daemon in 0..remaining.daemons {
            model.handle_event(daemon, active_config::Event::Started);
        }
        model
    }

    fn head(&self) -> Option<HeadWire> {
        let read =
            self.store.clone().apply(&Operation::Get(dogwoodturn::store::ObjectKey::new(HEAD_KEY)));
        let Ok(Reply::Object(Some(object))) = read else { return None };
        wire::decode(&object.value).ok()
    }

    fn store_apply(&mut self, operation: &Operation) -> Result<Reply, CallError> {
        let mut result = self.store.apply(operation);
        if let (Err(CallError::Conflict(current)), Operation::Put { key, value, .. }) =
            (&result, operation)
            && self.injected_bug == InjectedBug::NoCondition
            && key.as_str() == HEAD_KEY
        {
            let condition = current.map_or(Condition::Absent, Condition::Revision);
            let (key, value) = (key.clone(), value.clone());
            result = self.store.apply(&Operation::Put { key, value, condition });
        }
        let is_head = matches!(operation, Operation::Put { key, .. } if key.as_str() == HEAD_KEY);
        if result.is_ok()
            && is_head
            && let Some(head) = self.head()
        {
            self.published(&head);
        }
        result
    }

    fn published(&mut self, head: &HeadWire) {
        let last = self.history.last().map_or(Generation(0), |(generation, _)| *generation);
        if head.generation <= last {
            self.fault = Some(format!("generation {} follows {last}", head.generation));
        }
        if self.history.iter().any(|(_, change)| *change == head.change) {
            self.fault = Some(format!("change {} is published twice", head.change));
        }
        self.history.push((head.generation, head.change.clone()));
    }

    fn call(&mut self, operation: &Operation, outcome: CallOutcome) -> Result<Reply, CallError> {
        let result = match outcome {
            CallOutcome::Completed => self.store_apply(operation),
            CallOutcome::ResponseLost => {
                let _ = self.store_apply(operation);
                Err(CallError::Unknown)
            }
            CallOutcome::Late => {
                self.late.push(operation.clone());
                Err(CallError::Unknown)
            }
            CallOutcome::Unavailable => Err(CallError::Unavailable),
        };
        if self.injected_bug == InjectedBug::NoRead
            && operation.is_write()
            && result == Err(CallError::Unknown)
        {
            return Ok(Reply::Written(self.store.revision()));
        }
        result
    }

    fn publisher_call(&mut self, publisher: usize, outcome: CallOutcome) {
        let previous = std::mem::replace(&mut self.publishers[publisher], Publisher::Idle);
        let Publisher::Calling(mut publication, operation) = previous else { return };
        let result = self.call(&operation, outcome);
        self.publishers[publisher] = match publication.handle(result) {
            Step::Call(next) => Publisher::Calling(publication, next),
            Step::Done(Ok(head)) => {
                if !self.history.contains(&(head.generation, head.change.clone())) {
                    self.fault = Some(format!("change {} is accepted and lost", head.change));
                }
                Publisher::Published
            }
            Step::Done(Err(PublishError::Platform(_))) => Publisher::Unknown,
            Step::Done(Err(_)) => Publisher::Refused,
        };
    }

    fn handle_event(&mut self, daemon: usize, event: active_config::Event) {
        let mut effects = Vec::new();
        let state = &mut self.daemons[daemon];
        state.active_config.handle(self.now, event, &mut effects);
        for effect in effects {
            match effect {
                active_config::Effect::Call(call, _, operation) => {
                    state.call = Some((call, operation));
                }
                active_config::Effect::Activated(generation, _) => {
                    if generation <= state.generation {
                        let before = state.generation;
                        self.fault =
                            Some(format!("daemon {daemon} goes from {before} to {generation}"));
                    }
                    state.generation = generation;
                }
                _ => {}
            }
        }
    }

    fn daemon_call(&mut self, daemon: usize, outcome: CallOutcome) {
        let Some((call, operation)) = self.daemons[daemon].call.take() else { return };
        let result = self.call(&operation, outcome);
        if self.injected_bug == InjectedBug::NoMemory
            && matches!(&operation, Operation::Get(key) if key.as_str() == HEAD_KEY)
        {
            let state = &mut self.daemons[daemon];
            state.active_config = ActiveConfig::new();
            state.call = None;
            self.handle_event(daemon, active_config::Event::Started);
            let Some((call, _)) = self.daemons[daemon].call.take() else { return };
            return self.handle_event(daemon, active_config::Event::CallEnded(call, result));
        }
        self.handle_event(daemon, active_config::Event::CallEnded(call, result));
    }

    fn next_wakeup(&self) -> Option<Time> {
        self.daemons.iter().filter_map(|daemon| daemon.active_config.next_wakeup()).min()
    }

    /// Reports whether a call can return now; a watch returns only when there are changes.
    fn can_return(&self, operation: &Operation) -> bool {
        match operation {
            Operation::Watch { prefix, after, .. } => {
                let mut store = self.store.clone();
                let watch = Operation::Watch {
                    prefix: prefix.clone(),
                    after: *after,
                    wait: std::time::Duration::ZERO,
                };
                matches!(store.apply(&watch), Ok(Reply::Changes { changes, .. }) if !changes.is_empty())
            }
            _ => true,
        }
    }
}

impl Model for PublishModel {
    type Action = Action;

    fn actions(&self) -> Vec<Action> {
        let mut actions = Vec::new();
        let faults = self.remaining.faults > 0;
        for (publisher, state) in self.publishers.iter().enumerate() {
            match state {
                Publisher::Idle => actions.push(Action::Publish { publisher }),
                Publisher::Unknown if self.remaining.republications > 0 => {
                    actions.push(Action::Publish { publisher });
                }
                Publisher::Calling(_, operation) => {
                    actions
                        .push(Action::PublisherCall { publisher, outcome: CallOutcome::Completed });
                    if faults && operation.is_write() {
                        let outcomes = [
                            CallOutcome::ResponseLost,
                            CallOutcome::Late,
                            CallOutcome::Unavailable,
                        ];
                        let call = |outcome| Action::PublisherCall { publisher, outcome };
                        actions.extend(outcomes.map(call));
                    } else if faults {
                        let outcome = CallOutcome::Unavailable;
                        actions.push(Action::PublisherCall { publisher, outcome });
                    }
                }
                _ => {}
            }
        }
        for (daemon, state) in self.daemons.iter().enumerate() {
            if let Some((_, operation)) = &state.call {
                if self.can_return(operation) {
                    actions.push(Action::DaemonCall { daemon, outcome: CallOutcome::Completed });
                }
                if faults {
                    actions.push(Action::DaemonCall { daemon, outcome: CallOutcome::Unavailable });
                }
            }
            if self.remaining.replacements > 0 {
                actions.push(Action::Replace { daemon });
            }
        }
        actions.extend((0..self.late.len()).map(|index| Action::TakeEffect { index }));
        if self.remaining.restores > 0 {
            actions.push(Action::Restore);
        }
        if self.remaining.wakeups > 0 && self.next_wakeup().is_some() {
            actions.push(Action::Wake);
        }
        actions
    }

    fn apply(&mut self, action: &Action) {
        match *action {
            Action::Publish { publisher } => {
                if matches!(self.publishers[publisher], Publisher::Unknown) {
                    self.remaining.republications -= 1;
                }
                let (publication, first) = begin(&format!("c{publisher}"));
                self.publishers[publisher] = Publisher::Calling(Box::new(publication), first);
            }
            Action::PublisherCall { publisher, outcome } => {
                self.remaining.faults -= u32::from(outcome != CallOutcome::Completed);
                self.publisher_call(publisher, outcome);
            }
            Action::TakeEffect { index } => {
                let operation = self.late.remove(index);
                let _ = self.store_apply(&operation);
            }
            Action::DaemonCall { daemon, outcome } => {
                self.remaining.faults -= u32::from(outcome != CallOutcome::Completed);
                self.daemon_call(daemon, outcome);
            }
            Action::Replace { daemon } => {
                self.remaining.replacements -= 1;
                let active_config = ActiveConfig::new();
                self.daemons[daemon] =
                    Daemon { active_config, call: None, generation: Generation(0) };
                self.handle_event(daemon, active_config::Event::Started);
            }
            Action::Restore => {
                self.remaining.restores -= 1;
                self.store = self.first.clone();
                self.history.truncate(1);
            }
            Action::Wake => {
                self.remaining.wakeups -= 1;
                self.now = self.next_wakeup().expect("a wakeup");
                for daemon in 0..self.daemons.len() {
                    self.handle_event(daemon, active_config::Event::Woken);
                }
            }
        }
    }

    fn key(&self) -> String {
        let Self { store, late, publishers, daemons, history, now, remaining, fault, .. } = self;
        format!(
            "{store:?}{late:?}{publishers:?}{daemons:?}{history:?}{now:?}{remaining:?}{fault:?}"
        )
    }

    fn check(&self) -> Result<(), String> {
        self.fault.clone().map_or(Ok(()), Err)
    }
}

/// Two operators race, with lost responses and late writes, and publish again if no response
/// arrives.
fn race(injected_bug: InjectedBug) -> Exploration {
    let remaining = Bounds {
        publishers: 2,
        daemons: 1,
        faults: 2,
        republications: 1,
        replacements: 0,
        restores: 0,
        wakeups: 0,
    };
    explore(&PublishModel::new(remaining, injected_bug))
}

/// Calls of daemons fail and daemons are replaced while a change is published; the platform may be
/// restored to an older state.
fn activate(injected_bug: InjectedBug) -> Exploration {
    let remaining = Bounds {
        publishers: 1,
        daemons: 2,
        faults: 1,
        republications: 0,
        replacements: 1,
        restores: 1,
        wakeups: 1,
    };
    explore(&PublishModel::new(remaining, injected_bug))
}

#[test]
fn publish_race_publishes_each_change_at_most_once() {
    let exploration = race(InjectedBug::Disabled);
    println!("{exploration:?}");
    exploration.assert_sound();
}

#[test]
fn publish_active_generation_never_decreases() {
    let exploration = activate(InjectedBug::Disabled);
    println!("{exploration:?}");
    exploration.assert_sound();
}

#[test]
fn publish_without_condition_is_detected() {
    let (fault, trace) = race(InjectedBug::NoCondition).violation.expect("a violation");
    println!("{fault}: {trace:#?}");
    assert!(fault.contains("follows") || fault.ends_with("published twice"), "{fault}");
}

#[test]
fn publish_without_reading_after_lost_response_is_detected() {
    let (fault, trace) = race(InjectedBug::NoRead).violation.expect("a violation");
    println!("{fault}: {trace:#?}");
    assert!(fault.ends_with("accepted and lost"), "{fault}");
}

#[test]
fn publish_with_lost_generation_is_detected() {
    let (fault, trace) = activate(InjectedBug::NoMemory).violation.expect("a violation");
    println!("{fault}: {trace:#?}");
    assert!(fault.starts_with("daemon"), "{fault}");
}

/// Guards against publishing a change twice. The response to the head write is lost and the read
/// that checks its outcome fails; then another change replaces the base, since it is too large for
/// the head's list of deltas; then the operator publishes the first change again.
#[test]
fn publish_again_after_large_change_publishes_once() {
    let remaining = Bounds {
        publishers: 1,
        daemons: 0,
        faults: 2,
        republications: 1,
        replacements: 0,
        restores: 0,
        wakeups: 0,
    };
    let mut model = PublishModel::new(remaining, InjectedBug::Disabled);
    model.apply(&Action::Publish { publisher: 0 });
    while !matches!(&model.publishers[0], Publisher::Calling(_, Operation::Put { key, .. }) if key.as_str() == HEAD_KEY)
    {
        model.apply(&Action::PublisherCall { publisher: 0, outcome: CallOutcome::Completed });
    }
    model.apply(&Action::PublisherCall { publisher: 0, outcome: CallOutcome::ResponseLost });
    model.apply(&Action::PublisherCall { publisher: 0, outcome: CallOutcome::Unavailable });
    let (mut other, mut operation) = begin_with("large", &set_with(4_000));
    while let Step::Call(next) = other.handle(model.store_apply(&operation)) {
        operation = next;
    }
    model.apply(&Action::Publish { publisher: 0 });
    while matches!(model.publishers[0], Publisher::Calling(..)) {
        model.apply(&Action::PublisherCall { publisher: 0, outcome: CallOutcome::Completed });
    }
    assert!(matches!(model.publishers[0], Publisher::Published));
    assert_eq!(model.check(), Ok(()));
    assert_eq!(model.history.len(), 3);
}
