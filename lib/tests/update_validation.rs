//! The check of a set against what is in force, and the deltas between sets.

use std::fmt::Write as _;

use dogwoodturn::{
    declaration::{
        DeclarationSet, check,
        delta::{ChangeOf, DeltaError, DeltaWire, describe},
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
const UNDER_WAY: &str = "2027-01-01T00:30:00Z";
const AFTER: &str = "2027-01-01T01:00:00Z";

fn checked(text: &str) -> check::ValidatedSet {
    let source = Source { file: "a.ini".into(), text: text.into() };
    check::check(&[source]).expect("the set has no fault")
}

fn set_of(text: &str) -> DeclarationSet {
    checked(text).set
}

fn at(text: &str) -> WallTime {
    text.parse().expect("a time")
}

fn reasons(current: &str, new: &str, now: &str) -> Vec<String> {
    let found = validate_update(&set_of(current), &set_of(new), at(now));
    found.iter().map(ToString::to_string).collect()
}

#[test]
fn against_move_under_way_keeps_its_versions() {
    let with_move = format!("{BASE}{MOVE}");
    assert_eq!(reasons(&with_move, &with_move, UNDER_WAY), Vec::<String>::new());
    assert_eq!(reasons(&with_move, BASE, UNDER_WAY), Vec::<String>::new(), "it may be taken back");
    let jumped = BASE.replace("version = v1", "version = v2");
    let found = reasons(&with_move, &jumped, UNDER_WAY);
    assert!(found.iter().any(|text| text.contains("service a changes under way")), "{found:?}");
    let removed = BASE.replace("[version a/v2]\n", "");
    let found = reasons(&with_move, &removed, UNDER_WAY);
    assert!(found.iter().any(|text| text.contains("a/v2 is removed under way")), "{found:?}");
    assert_eq!(reasons(&with_move, &removed, AFTER), Vec::<String>::new());
    let later = with_move.replace("T01:00:00Z", "T02:00:00Z");
    let found = reasons(&with_move, &later, UNDER_WAY);
    assert!(found.iter().any(|text| text.contains("changed while it is under way")), "{found:?}");
}

#[test]
fn against_new_move_without_time_names_its_line() {
    let new = checked(&format!("{BASE}{MOVE}"));
    let found = validate_update(&set_of(BASE), &new.set, at("2027-01-01T00:59:30Z"));
    let faults: Vec<String> = new.errors(&found).iter().map(ToString::to_string).collect();
    assert_eq!(faults.len(), 1, "{faults:?}");
    assert!(faults[0].starts_with("a.ini:10: [move m] it cannot finish"), "{faults:?}");
}

#[test]
fn check_move_from_another_version() {
    let text = format!("{BASE}{MOVE}").replace("from = v1\nto = v2", "from = v2\nto = v1");
    let source = Source { file: "a.ini".into(), text: text.into() };
    let faults = check::check(&[source]).expect_err("a fault");
    assert!(faults.iter().any(|fault| fault.reason.contains("not the version of service a")));
}

fn numbered(routes: &[u8]) -> DeclarationSet {
    let mut text = BASE.to_owned();
    for (index, route) in routes.iter().enumerate().take(40) {
        let class = if route % 2 == 0 { "batch" } else { "interactive" };
        let name = format!("x{index}-{}", route % 4);
        let _ = writeln!(text, "[route {name}]\npath = /x{index}\nservice = a\nclass = {class}");
    }
    set_of(&text)
}

fn delta(from: &DeclarationSet, to: &DeclarationSet) -> DeltaWire {
    let change = ChangeOf {
        from: Generation(1),
        to: Generation(2),
        change: "c".parse().expect("a change"),
        author: "test".into(),
        at: WallTime(0),
    };
    DeltaWire::between((from, wire::encode_set(from).0), (to, wire::encode_set(to).0), change)
}

#[test]
fn delta_leads_from_any_set_to_any_other() {
    fn property((from, to): (Vec<u8>, Vec<u8>)) -> bool {
        let (from, to) = (numbered(&from), numbered(&to));
        let delta = delta(&from, &to);
        let (set, _) = delta.apply(&from, wire::encode_set(&from).0).expect("it applies");
        set == to && describe(&from, &to).is_empty() == (from == to)
    }
    let random = Gen::from_size_and_seed(40, 5);
    QuickCheck::new().rng(random).tests(200).quickcheck(property as fn((Vec<u8>, Vec<u8>)) -> bool);
}

#[test]
fn delta_of_another_base_is_refused() {
    let (from, to, other) = (numbered(&[1]), numbered(&[2]), numbered(&[3]));
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
fn publish_over_a_move_under_way_is_refused() {
    let mut store = MemoryStore::new();
    let with_move = set_of(&format!("{BASE}{MOVE}"));
    run(&mut store, &with_move, "c1", "2027-01-01T00:00:00Z").expect("published");
    let removed = set_of(&BASE.replace("[version a/v2]\n", ""));
    let refused = run(&mut store, &removed, "c2", UNDER_WAY);
    assert!(matches!(refused, Err(PublishError::Refused(found)) if found.len() == 1));
}

#[test]
fn publish_race_shows_both_changes() {
    let mut store = MemoryStore::new();
    run(&mut store, &numbered(&[]), "c1", AFTER).expect("published");
    let (mut loser, first) = begin(&numbered(&[1]), "c2", AFTER);
    let mut step = Step::Call(first);
    for _ in 0..2 {
        let Step::Call(operation) = step else { panic!("it ended too soon") };
        step = loser.handle(store.apply(&operation));
    }
    run(&mut store, &numbered(&[2]), "c3", AFTER).expect("published");
    let Err(PublishError::Conflict { their_objects, our_objects, .. }) =
        finish(&mut store, &mut loser, step)
    else {
        panic!("the loser sees a conflict");
    };
    assert_eq!(their_objects, ["* route x0-2".into()]);
    assert_eq!(our_objects, ["* route x0-1".into()]);
}

#[test]
fn publish_repeated_after_others_is_idempotent() {
    let mut store = MemoryStore::new();
    for (index, change) in ["c1", "c2", "c3"].into_iter().enumerate() {
        run(&mut store, &numbered(&[index as u8]), change, AFTER).expect("published");
    }
    let again = run(&mut store, &numbered(&[1]), "c2", AFTER).expect("found");
    assert_eq!(again.generation, Generation(3));
    let change = "c2".parse().expect("a change");
    assert_eq!(again.generation_of(&change), Some(Generation(2)));
}

#[test]
fn publish_many_changes_bounds_the_head() {
    let mut store = MemoryStore::new();
    for step in 0..400_usize {
        let routes: Vec<u8> = (0..20).map(|index| (step + index) as u8).collect();
        let head = run(&mut store, &numbered(&routes), &format!("c{step}"), AFTER);
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
