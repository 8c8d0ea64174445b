//! The audit trail over lost answers, outages and its bounds.

use std::time::Duration;

use dogwoodturn::{
    audit::{
        Actor, Event as Change, PREFIX, Record,
        trail::{Config, Effect, Event, Trail},
        wire,
    },
    ids::{CallId, Generation, Incarnation},
    store::{CallError, Operation, Reply, memory::MemoryStore},
    units::{Time, WallTime},
};

const BEGIN: WallTime = WallTime(1_700_000_000_000);

struct Run {
    trail: Trail,
    store: MemoryStore,
    calls: Vec<(CallId, Operation)>,
    now: Time,
}

impl Run {
    fn new(cfg: Config) -> Self {
        let trail = Trail::new(cfg, "d0".parse().expect("a name"), Incarnation(1));
        Self { trail, store: MemoryStore::new(), calls: Vec::new(), now: Time(0) }
    }

    fn handle_event(&mut self, event: Event) {
        let mut out = Vec::new();
        let wall = BEGIN + self.now.since(Time(0));
        self.trail.handle(self.now, wall, event, &mut out);
        for Effect::Call(call, _, operation) in out {
            self.calls.push((call, operation));
        }
    }

    fn change(&mut self, cause: u32) {
        let change = Change {
            actor: Actor::Rule("test".into()),
            object: "host h".into(),
            action: "started".into(),
            generation: Generation(1),
            cause: cause.to_string().into(),
        };
        self.handle_event(Event::Changed(change));
    }

    fn advance(&mut self, time: Duration) {
        self.now = self.now + time;
        self.handle_event(Event::Woken);
    }

    /// Ends the open call; its effect or its answer may be lost.
    fn end(&mut self, effect: bool, answer: Result<(), CallError>) {
        let (call, operation) = self.calls.remove(0);
        let result = if effect { self.store.apply(&operation) } else { Err(CallError::Unknown) };
        let result = answer.and(result);
        self.handle_event(Event::CallEnded(call, result));
    }

    fn run_until_idle(&mut self) {
        for _ in 0..2_000 {
            if !self.calls.is_empty() {
                self.end(true, Ok(()));
            } else if self.trail.waiting() > 0 {
                self.advance(Duration::from_secs(1));
            } else {
                return;
            }
        }
        panic!("the trail does not come to rest");
    }

    fn records(&mut self) -> Vec<Record> {
        let Ok(Reply::Listed(listed)) = self.store.apply(&Operation::List(PREFIX.into())) else {
            panic!("no list");
        };
        let mut records = Vec::new();
        for (key, _) in listed {
            if let Ok(Reply::Object(Some(object))) = self.store.apply(&Operation::Get(key)) {
                records.extend(wire::decode(&object.value).expect("a segment"));
            }
        }
        records
    }

    fn causes(&mut self) -> Vec<u32> {
        self.records().iter().filter_map(|record| record.event.cause.parse().ok()).collect()
    }
}

#[test]
fn trail_batches_changes() {
    let mut run = Run::new(Config::default());
    for cause in 0..50 {
        run.change(cause);
    }
    run.advance(Duration::from_secs(1));
    assert_eq!(run.calls.len(), 1);
    run.run_until_idle();
    assert_eq!(run.causes(), (0..50).collect::<Vec<_>>());
    assert_eq!(run.store.revision().0, 1);
}

#[test]
fn trail_lost_answer_makes_no_duplicate() {
    for effect in [true, false] {
        let mut run = Run::new(Config::default());
        for cause in 0..3 {
            run.change(cause);
            run.advance(Duration::from_secs(1));
            run.end(effect, Err(CallError::Unknown));
            run.run_until_idle();
        }
        assert_eq!(run.causes(), [0, 1, 2]);
    }
}

#[test]
fn trail_write_that_takes_effect_late_makes_no_duplicate() {
    let mut run = Run::new(Config::default());
    run.change(0);
    run.advance(Duration::from_secs(1));
    let late = run.calls[0].1.clone();
    run.end(false, Ok(()));
    run.end(true, Ok(()));
    run.advance(Duration::from_secs(1));
    // The first write takes effect just before its repetition.
    run.store.apply(&late).expect("written");
    run.change(1);
    run.run_until_idle();
    assert_eq!(run.causes(), [0, 1]);
}

#[test]
fn trail_outage_keeps_changes_and_records_what_it_dropped() {
    let mut run = Run::new(Config { buffer: 20, ..Config::default() });
    for cause in 0..100 {
        run.change(cause);
        run.advance(Duration::from_secs(10));
        while !run.calls.is_empty() {
            run.end(false, Err(CallError::Unavailable));
        }
    }
    assert_eq!(run.trail.waiting(), 20);
    run.run_until_idle();
    run.change(200);
    run.run_until_idle();
    let causes = run.causes();
    assert_eq!(causes, (0..20).chain([200]).collect::<Vec<_>>());
    let dropped = run.records().into_iter().find(|r| &*r.event.action == "events-dropped");
    assert!(dropped.expect("a record").event.cause.starts_with("80 changes"));
}

#[test]
fn trail_bound_drops_the_oldest_segments_and_says_so() {
    let cfg = Config { segment_bytes: 200, segments: 5, ..Config::default() };
    let mut run = Run::new(cfg);
    for cause in 0..60 {
        run.change(cause);
        run.run_until_idle();
    }
    run.handle_event(Event::Collects(true));
    run.advance(Duration::from_mins(10));
    run.run_until_idle();
    let records = run.records();
    let dropped = records.iter().filter(|r| &*r.event.action == "segments-dropped").count();
    assert_eq!(dropped, 1);
    assert!(run.causes().contains(&59));
    assert!(!run.causes().contains(&0));
    assert!(run.causes().len() < 60);
}

#[test]
fn trail_text_is_bounded() {
    let mut run = Run::new(Config::default());
    let cause = "ü".repeat(10_000).into();
    let change = Change {
        actor: Actor::Operator("o".into()),
        object: "x".into(),
        action: "y".into(),
        generation: Generation(1),
        cause,
    };
    run.handle_event(Event::Changed(change));
    run.run_until_idle();
    let records = run.records();
    assert_eq!(records[0].event.cause.len(), 512);
}
