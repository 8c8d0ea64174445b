//! Tests of publication to the in-memory object store, with lost responses and races.

use dogwoodturn::{
    declaration::{
        DeclarationSet, check,
        publish::{Publication, PublishError, Step},
        wire::HeadWire,
    },
    ids::Generation,
    ini::Source,
    store::{CallError, Operation, memory::MemoryStore},
    units::WallTime,
};

const SERVICE: &str = "[service lantern]\nkind = model\nversion = v1\nrepeat = safe\n\
                       [version lantern/v1]\n";

fn set_of(text: &str) -> DeclarationSet {
    let source = Source { file: "test.ini".into(), text: text.into() };
    check::check(&[source]).expect("the set has no error").set
}

fn begin(change: &str, expected: Option<u64>) -> (Publication, Operation) {
    let set = set_of(SERVICE);
    let change = change.parse().expect("a change id");
    Publication::begin(&set, change, "test".into(), WallTime(0), expected.map(Generation))
}

/// Runs a publication; the calls with the numbers in `lost_responses` take effect, but their
/// responses are lost.
fn run(
    store: &mut MemoryStore,
    (mut publication, mut operation): (Publication, Operation),
    lost_responses: &[usize],
) -> Result<HeadWire, PublishError> {
    for call in 0..20 {
        let mut result = store.apply(&operation);
        if lost_responses.contains(&call) {
            result = Err(CallError::Unknown);
        }
        match publication.handle(result) {
            Step::Call(next) => operation = next,
            Step::Done(done) => return done,
        }
    }
    panic!("the publication does not end within 20 calls");
}

#[test]
fn publish_first_set() {
    let mut store = MemoryStore::new();
    let head = run(&mut store, begin("c1", None), &[]).expect("published");
    assert_eq!(head.generation, Generation(1));
}

#[test]
fn publish_lost_response_is_resolved_by_reading_head() {
    let mut store = MemoryStore::new();
    let head = run(&mut store, begin("c1", None), &[1, 2]).expect("published");
    assert_eq!(head.generation, Generation(1));
    assert_eq!(head.change.as_str(), "c1");
}

#[test]
fn publish_repeated_change_is_idempotent() {
    let mut store = MemoryStore::new();
    run(&mut store, begin("c1", None), &[]).expect("published");
    let again = run(&mut store, begin("c1", None), &[]).expect("found");
    assert_eq!(again.generation, Generation(1));
}

#[test]
fn publish_race_has_one_winner() {
    let mut store = MemoryStore::new();
    run(&mut store, begin("c1", None), &[]).expect("published");
    let (mut second, first) = begin("c2", None);
    let mut step = second.handle(store.apply(&first));
    run(&mut store, begin("c3", None), &[]).expect("published");
    let done = loop {
        match step {
            Step::Call(operation) => step = second.handle(store.apply(&operation)),
            Step::Done(done) => break done,
        }
    };
    let Err(PublishError::Conflict { theirs, generation, .. }) = done else {
        panic!("the second publication must fail with a conflict, not {done:?}");
    };
    assert_eq!((theirs.as_str(), generation), ("c3", Generation(2)));
}

#[test]
fn publish_unexpected_generation_is_refused() {
    let mut store = MemoryStore::new();
    run(&mut store, begin("c1", None), &[]).expect("published");
    let done = run(&mut store, begin("c2", Some(0)), &[]);
    assert!(matches!(done, Err(PublishError::Conflict { .. })));
}

#[test]
fn publish_first_change_again_after_another_is_idempotent() {
    let mut store = MemoryStore::new();
    run(&mut store, begin("c1", None), &[]).expect("published");
    run(&mut store, begin("c2", None), &[]).expect("published");
    let again = run(&mut store, begin("c1", None), &[]).expect("found");
    assert_eq!(again.generation, Generation(2));
}
