//! Tests of the validation of a set against the published one, and of deltas between sets.

use std::fmt::Write as _;

use dogwoodturn::{
    declaration::{
        DeclarationSet, check,
        delta::{ChangeMetadata, DeltaError, DeltaWire, describe},
        publish::{Publication, PublishError, Step},
        update_validation::validate_update,
        wire::{self, HeadWire},
    },
    ids::Generation,
    ini::Source,
    store::{Operation, memory::MemoryStore},
    units::WallTime,
};
use quickcheck::{Gen, QuickCheck};

const BASE: &str = "[service a]\nkind = plain\nversion = v1\nrepeat = safe\n\
                    [version a/v1]\n[version a/v2]\n[route r]\npath = /r\nservice = a\n";
const MOVE: &str = "[move m]\nservice = a\nfrom = v1\nto = v2\nstart = 2027-01-01T00:00:00Z\n\
                    finish-by = 2027-01-01T01:00:00Z\n";
const WHILE_RUNNING: &str = "2027-01-01T00:30:00Z";
const AFTER_FINISH_BY: &str = "2027-01-01T01:00:00Z";

fn validated(text: &str) -> check::ValidatedSet {
    let source = Source { file: "a.ini".into(), text: text.into() };
    check::check(&[source]).expect("the set has no error")
}

fn set_of(text: &str) -> DeclarationSet {
    validated(text).set
}

fn at(text: &str) -> WallTime {
    text.parse().expect("a time")
}

fn reasons(current: &str, new: &str, now: &str) -> Vec<String> {
    let violations = validate_update(&set_of(current), &set_of(new), at(now));
    violations.iter().map(ToString::to_string).collect()
}

#[test]
fn validate_update_running_move_keeps_its_versions() {
    let with_move = format!("{BASE}{MOVE}");
    assert_eq!(reasons(&with_move, &with_move, WHILE_RUNNING), Vec::<String>::new());
    assert_eq!(
        reasons(&with_move, BASE, WHILE_RUNNING),
        Vec::<String>::new(),
        "removing the move is allowed"
    );
    let version_changed = BASE.replace("version = v1", "version = v2");
    let violations = reasons(&with_move, &version_changed, WHILE_RUNNING);
    assert!(
        violations.iter().any(|text| text.contains("service a changes while its move is running")),
        "{violations:?}"
    );
    let removed = BASE.replace("[version a/v2]\n", "");
    let violations = reasons(&with_move, &removed, WHILE_RUNNING);
    assert!(
        violations.iter().any(|text| text.contains("a/v2 is removed while the move is running")),
        "{violations:?}"
    );
    assert_eq!(reasons(&with_move, &removed, AFTER_FINISH_BY), Vec::<String>::new());
    let later = with_move.replace("T01:00:00Z", "T02:00:00Z");
    let violations = reasons(&with_move, &later, WHILE_RUNNING);
    assert!(
        violations.iter().any(|text| text.contains("changed while it is running")),
        "{violations:?}"
    );
}

#[test]
fn validate_update_new_move_without_time_reports_line() {
    let new = validated(&format!("{BASE}{MOVE}"));
    let violations = validate_update(&set_of(BASE), &new.set, at("2027-01-01T00:59:30Z"));
    let messages: Vec<String> = new.errors(&violations).iter().map(ToString::to_string).collect();
    assert_eq!(messages.len(), 1, "{messages:?}");
    assert!(messages[0].starts_with("a.ini:10: [move m] it cannot finish"), "{messages:?}");
}

#[test]
fn check_move_from_another_version() {
    let text = format!("{BASE}{MOVE}").replace("from = v1\nto = v2", "from = v2\nto = v1");
    let source = Source { file: "a.ini".into(), text: text.into() };
    let config_errors = check::check(&[source]).expect_err("the set has an error");
    assert!(
        config_errors.iter().any(|error| error.reason.contains("not the version of service a"))
    );
}

fn set_with_routes(routes: &[u8]) -> DeclarationSet {
    let mut text = BASE.to_owned();
    for (index, route) in routes.iter().enumerate().take(40) {
        let class = if route % 2 == 0 { "batch" } else { "interactive" };
        let name = format!("x{index}-{}", route % 4);
        let _ = writeln!(text, "[route {name}]\npath = /x{index}\nservice = a\nclass = {class}");
    }
    set_of(&text)
}

fn delta(from: &DeclarationSet, to: &DeclarationSet) -> DeltaWire {
    let change = ChangeMetadata {
        from: Generation(1),
        to: Generation(2),
        change: "c".parse().expect("a change"),
        author: "test".into(),
        at: WallTime(0),
    };
    DeltaWire::compute((from, wire::encode_set(from).0), (to, wire::encode_set(to).0), change)
}

#[test]
fn delta_leads_from_any_set_to_any_other() {
    fn property((from, to): (Vec<u8>, Vec<u8>)) -> bool {
        let (from, to) = (set_with_routes(&from), set_with_routes(&to));
        let delta = delta(&from, &to);
        let (set, _) = delta.apply(&from, wire::encode_set(&from).0).expect("it applies");
        set == to && describe(&from, &to).is_empty() == (from == to)
    }
    let random = Gen::from_size_and_seed(40, 5);
    QuickCheck::new().rng(random).tests(200).quickcheck(property as fn((Vec<u8>, Vec<u8>)) -> bool);
}

#[test]
fn delta_of_another_base_is_refused() {
    let (from, to, other) = (set_with_routes(&[1]), set_with_routes(&[2]), set_with_routes(&[3]));
    let refused = delta(&from, &to).apply(&other, wire::encode_set(&other).0);
    assert_eq!(refused.expect_err("refused"), DeltaError::OtherBase(Generation(1)));
}

fn begin(set: &DeclarationSet, change: &str, now: &str) -> (Publication, Operation) {
    let change = change.parse().expect("a change");
    Publication::begin(set, change, "test".into(), at(now), None)
}

fn finish(
    store: &mut MemoryStore,
    publication: &mut Publication,
    mut step: Step,
) -> Result<HeadWire, PublishError> {
    loop {
        match step {
            Step::Call(operation) => step = publication.handle(store.apply(&operation)),
            Step::Done(done) => return done,
        }
    }
}

fn run(
    store: &mut MemoryStore,
    set: &DeclarationSet,
    change: &str,
    now: &str,
) -> Result<HeadWire, PublishError> {
    let (mut publication, first) = begin(set, change, now);
    finish(store, &mut publication, Step::Call(first))
}

#[test]
fn publish_removing_version_of_running_move_is_refused() {
    let mut store = MemoryStore::new();
    let with_move = set_of(&format!("{BASE}{MOVE}"));
    run(&mut store, &with_move, "c1", "2027-01-01T00:00:00Z").expect("published");
    let removed = set_of(&BASE.replace("[version a/v2]\n", ""));
    let refused = run(&mut store, &removed, "c2", WHILE_RUNNING);
    assert!(matches!(refused, Err(PublishError::Refused(violations)) if violations.len() == 1));
}

#[test]
fn publish_race_shows_both_changes() {
    let mut store = MemoryStore::new();
    run(&mut store, &set_with_routes(&[]), "c1", AFTER_FINISH_BY).expect("published");
    let (mut second, first) = begin(&set_with_routes(&[1]), "c2", AFTER_FINISH_BY);
    let mut step = Step::Call(first);
    for _ in 0..2 {
        let Step::Call(operation) = step else { panic!("the publication ended too early") };
        step = second.handle(store.apply(&operation));
    }
    run(&mut store, &set_with_routes(&[2]), "c3", AFTER_FINISH_BY).expect("published");
    let Err(PublishError::Conflict { their_objects, our_objects, .. }) =
        finish(&mut store, &mut second, step)
    else {
        panic!("the second publication must fail with a conflict");
    };
    assert_eq!(their_objects, ["* route x0-2".into()]);
    assert_eq!(our_objects, ["* route x0-1".into()]);
}

#[test]
fn publish_repeated_after_others_is_idempotent() {
    let mut store = MemoryStore::new();
    for (index, change) in ["c1", "c2", "c3"].into_iter().enumerate() {
        run(&mut store, &set_with_routes(&[index as u8]), change, AFTER_FINISH_BY)
            .expect("published");
    }
    let again = run(&mut store, &set_with_routes(&[1]), "c2", AFTER_FINISH_BY).expect("found");
    assert_eq!(again.generation, Generation(3));
    let change = "c2".parse().expect("a change");
    assert_eq!(again.generation_of(&change), Some(Generation(2)));
}

#[test]
fn publish_many_changes_bounds_the_head() {
    let mut store = MemoryStore::new();
    for step in 0..400_usize {
        let routes: Vec<u8> = (0..20).map(|index| (step + index) as u8).collect();
        let head = run(&mut store, &set_with_routes(&routes), &format!("c{step}"), AFTER_FINISH_BY);
        let bytes = wire::encode(&head.expect("published")).len();
        assert!(bytes < 100_000, "the head has {bytes} bytes");
    }
    let Ok(dogwoodturn::store::Reply::Listed(objects)) =
        store.apply(&Operation::List("config/".into()))
    else {
        panic!("a list");
    };
    assert!(objects.len() <= 3, "replaced bases are deleted: {objects:?}");
}
