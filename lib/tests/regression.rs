//! Checks the regression detector of moves on hand-made sums.

use dogwoodturn::{
    ids::RouteName,
    moves::{
        evidence::{CellKey, Cells, Counts, Side, Stratum},
        regression::{Assessment, RegressionDetector},
    },
};

fn route(name: &str) -> RouteName {
    name.parse().expect("a name")
}

/// Returns a window in which half of the new version's attempts on a route fail, at these
/// upstreams.
fn failing(name: &str, bad_upstreams: u32) -> Cells {
    let key = |side| {
        let (class, zone) = ("c".parse().expect("a name"), "z".parse().expect("a name"));
        CellKey { route: route(name), side, stratum: Stratum { class, zone, size: 0 } }
    };
    let old = Counts { good: 1_000, ..Counts::default() };
    let new = Counts { good: 10, bad: 10, bad_upstreams, ..Counts::default() };
    Cells::from([(key(Side::Old), old), (key(Side::New), new)])
}

#[test]
fn evaluate_route_declared_later() {
    let mut detector = RegressionDetector::new(&[route("first")].into(), 100);
    let cells = failing("later", 0b11);
    assert_eq!(detector.evaluate(&[(&cells, false)]), Assessment::Good);
    detector.set_routes(&[route("first"), route("later")].into(), 100);
    assert!(matches!(detector.evaluate(&[(&cells, false)]), Assessment::Regressed(_)));
}

#[test]
fn evaluate_one_broken_upstream_is_not_conclusive() {
    let detector = RegressionDetector::new(&[route("first")].into(), 100);
    let cells = failing("first", 0b1);
    assert!(!matches!(detector.evaluate(&[(&cells, false)]), Assessment::Regressed(_)));
}
