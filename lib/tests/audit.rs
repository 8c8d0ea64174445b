//! Tests of the audit trail: lost responses, outages and limits.

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

const START: WallTime = WallTime(1_700_000_000_000);

struct TrailHarness {
    trail: Trail,
    store: MemoryStore,
    calls: Vec<(CallId, Operation)>,
    now: Time,
}

impl TrailHarness {
    fn new(cfg: Config) -> Self {
        let trail = Trail::new(cfg, "d0".parse().expect("a name"), Incarnation(1));
        Self { trail, store: MemoryStore::new(), calls: Vec::new(), now: Time(0) }
    }

    fn handle_event(&mut self, event: Event) {
        let mut out = Vec::new();
        let wall = START + self.now.since(Time(0));
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

    /// Completes the oldest call; its effect or its response may be lost.
    fn complete_call(&mut self, takes_effect: bool, response: Result<(), CallError>) {
        let (call, operation) = self.calls.remove(0);
        let result =
            if takes_effect { self.store.apply(&operation) } else { Err(CallError::Unknown) };
        let result = response.and(result);
        self.handle_event(Event::CallEnded(call, result));
    }

    fn run_until_idle(&mut self) {
        for _ in 0..2_000 {
            if !self.calls.is_empty() {
                self.complete_call(true, Ok(()));
            } else if self.trail.waiting() > 0 {
                self.advance(Duration::from_secs(1));
            } else {
                return;
            }
        }
        panic!("the trail does not become idle");
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
    let mut harness = TrailHarness::new(Config::default());
    for cause in 0..50 {
        harness.change(cause);
    }
    harness.advance(Duration::from_secs(1));
    assert_eq!(harness.calls.len(), 1);
    harness.run_until_idle();
    assert_eq!(harness.causes(), (0..50).collect::<Vec<_>>());
    assert_eq!(harness.store.revision().0, 1);
}

#[test]
fn trail_lost_response_makes_no_duplicate() {
    for takes_effect in [true, false] {
        let mut harness = TrailHarness::new(Config::default());
        for cause in 0..3 {
            harness.change(cause);
            harness.advance(Duration::from_secs(1));
            harness.complete_call(takes_effect, Err(CallError::Unknown));
            harness.run_until_idle();
        }
        assert_eq!(harness.causes(), [0, 1, 2]);
    }
}

#[test]
fn trail_write_that_takes_effect_late_makes_no_duplicate() {
    let mut harness = TrailHarness::new(Config::default());
    harness.change(0);
    harness.advance(Duration::from_secs(1));
    let late = harness.calls[0].1.clone();
    harness.complete_call(false, Ok(()));
    harness.complete_call(true, Ok(()));
    harness.advance(Duration::from_secs(1));
    // The first write takes effect just before its retry.
    harness.store.apply(&late).expect("written");
    harness.change(1);
    harness.run_until_idle();
    assert_eq!(harness.causes(), [0, 1]);
}

#[test]
fn trail_outage_buffers_changes_and_records_dropped_count() {
    let mut harness = TrailHarness::new(Config { buffer: 20, ..Config::default() });
    for cause in 0..100 {
        harness.change(cause);
        harness.advance(Duration::from_secs(10));
        while !harness.calls.is_empty() {
            harness.complete_call(false, Err(CallError::Unavailable));
        }
    }
    assert_eq!(harness.trail.waiting(), 20);
    harness.run_until_idle();
    harness.change(200);
    harness.run_until_idle();
    let causes = harness.causes();
    assert_eq!(causes, (0..20).chain([200]).collect::<Vec<_>>());
    let dropped = harness.records().into_iter().find(|r| &*r.event.action == "events-dropped");
    assert!(dropped.expect("a record").event.cause.starts_with("80 changes"));
}

#[test]
fn trail_segment_limit_deletes_oldest_and_records_it() {
    let cfg = Config { segment_bytes: 200, segments: 5, ..Config::default() };
    let mut harness = TrailHarness::new(cfg);
    for cause in 0..60 {
        harness.change(cause);
        harness.run_until_idle();
    }
    harness.handle_event(Event::Collects(true));
    harness.advance(Duration::from_mins(10));
    harness.run_until_idle();
    let records = harness.records();
    let dropped = records.iter().filter(|r| &*r.event.action == "segments-dropped").count();
    assert_eq!(dropped, 1);
    assert!(harness.causes().contains(&59));
    assert!(!harness.causes().contains(&0));
    assert!(harness.causes().len() < 60);
}

#[test]
fn trail_long_text_is_truncated() {
    let mut harness = TrailHarness::new(Config::default());
    let cause = "ü".repeat(10_000).into();
    let change = Change {
        actor: Actor::Operator("o".into()),
        object: "x".into(),
        action: "y".into(),
        generation: Generation(1),
        cause,
    };
    harness.handle_event(Event::Changed(change));
    harness.run_until_idle();
    let records = harness.records();
    assert_eq!(records[0].event.cause.len(), 512);
}
