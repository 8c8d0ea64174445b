//! Tests of the findings about a valid set, and of the comparison of two sets.

use std::fmt::Write as _;

use dogwoodturn::{
    declaration::{
        DeclarationSet,
        check::{self, ValidatedSet},
        delta::compare,
    },
    ini::Source,
};

const SERVICE: &str = "[service a]\nkind = model\nversion = v1\nrepeat = safe\n";
const VERSION_AND_ROUTE: &str = "[version a/v1]\n[route r]\npath = /r\nservice = a\n";
const MOVE: &str = "[version a/v2]\n[move m]\nservice = a\nfrom = v1\nto = v2\n\
                    start = 2027-01-01T00:00:00Z\nfinish-by = 2027-01-01T01:00:00Z\n";
const NONE: [&str; 0] = [];

fn validated(text: &str) -> ValidatedSet {
    let source = Source { file: "f".into(), text: text.into() };
    check::check(&[source]).expect("the set has no error")
}

/// Returns line, kind, section and key of each finding about a set with `service` and `other`.
fn findings(service: &str, other: &str, served: Option<&[&str]>) -> Vec<String> {
    let pair = |name: &&str| {
        let (service, version) = name.split_once('/').expect("service/version");
        (service.parse().expect("a service"), version.parse().expect("a version"))
    };
    let served = served.map(|served| served.iter().map(pair).collect());
    let set = validated(&format!("{SERVICE}{service}{VERSION_AND_ROUTE}{other}"));
    let found = set.findings(served.as_ref()).into_iter();
    let text = found.map(|(at, finding)| {
        format!("{at} {} [{}] {}", finding.kind, finding.title, finding.key.unwrap_or("none"))
    });
    text.collect()
}

/// Guards against warnings about sets that do what they say, which teach operators to ignore them.
#[test]
fn findings_of_a_sound_set_are_none() {
    let nested = "[route deeper]\npath = /r/s\nservice = a\n[route all]\npath = /\nservice = a\n";
    let other = format!("{nested}{MOVE}[customer x]\ntoken-sha256 = {}\n", "1".repeat(64));
    assert_eq!(findings("", &other, None), NONE);
    assert_eq!(findings("", &other, Some(&["a/v1", "a/v2"])), NONE);
}

/// Guards against a route whose path contains a query: the query is cut off before routes are
/// compared, so that all its requests are refused or go elsewhere.
#[test]
fn findings_path_with_a_character_that_no_path_has() {
    for path in ["/q?page=1", "/q#top", "/q s"] {
        let found = findings("", &format!("[route q]\npath = {path}\nservice = a\n"), None);
        assert_eq!(found, ["f:10 unmatchable-path [route q] path"], "{path}");
    }
}

/// Guards against a route below the path under which daemons resume responses: its requests never
/// reach the routes.
#[test]
fn findings_route_shadowed_by_the_path_of_resumptions() {
    let route = |path: &str| format!("[route q]\nservice = a\npath = {path}\n");
    let shadowed = findings("", &route("/requests/open"), None);
    assert_eq!(shadowed, ["f:11 shadowed-route [route q] path"]);
    assert_eq!(findings("", &route("/requests-open"), None), NONE);
}

/// Guards against a service that is declared, and perhaps paid for, but gets no requests.
#[test]
fn findings_service_without_a_route() {
    let other = "[service b]\nkind = plain\nversion = v1\nrepeat = safe\n[version b/v1]\n";
    assert_eq!(findings("", other, None), ["f:9 service-without-route [service b] none"]);
}

/// Guards against a version that waits for a move that was forgotten or misspelled.
#[test]
fn findings_version_that_nothing_names() {
    let found = findings("", "[version a/v2]\n", None);
    assert_eq!(found, ["f:9 unused-version [version a/v2] none"]);
}

/// Guards against a service or a move whose version no host runs; an unknown host list must not be
/// taken for an empty one, and a managed service gets its hosts from the system.
#[test]
fn findings_version_without_an_upstream() {
    let of_service = "f:3 version-without-upstream [service a] version";
    let of_move = "f:13 version-without-upstream [move m] to";
    assert_eq!(findings("", MOVE, Some(&[])), [of_service, of_move]);
    assert_eq!(findings("", MOVE, Some(&["a/v1"])), [of_move]);
    assert_eq!(findings("", MOVE, Some(&["a/v2", "b/v1"])), [of_service]);
    assert_eq!(findings("", MOVE, None), NONE);
    assert_eq!(findings("managed = true\n", MOVE, Some(&[])), NONE);
    assert_eq!(findings("managed = true\npaused = true\n", "", Some(&[])), [of_service]);
}

/// Guards against two customers with one token: the second is never identified, and the first is
/// charged for both.
#[test]
fn findings_customers_with_the_same_token() {
    let customer = |name, token: &str| format!("[customer {name}]\ntoken-sha256 = {token}\n");
    let (lower, upper) = ("ab".repeat(32), "AB".repeat(32));
    let found = findings("", &(customer("x", &lower) + &customer("y", &upper)), None);
    assert_eq!(found, ["f:12 shared-token [customer y] token-sha256"]);
}

/// Guards against requests that are cancelled before they can be late; a key that has its default
/// is reported with the line of its section.
#[test]
fn findings_deadline_below_the_target() {
    let below = |line| [format!("f:{line} deadline-below-target [route r] deadline")];
    assert_eq!(findings("first-token = 2s\n", "deadline = 1999ms\n", None), below(10));
    assert_eq!(findings("first-token = 2s\n", "deadline = 2s\n", None), NONE);
    assert_eq!(findings("first-token = 31s\n", "", None), below(7));
}

/// Guards against a service that has fewer hosts than its operators require: `largest` decides.
#[test]
fn findings_smallest_above_largest() {
    let found = findings("smallest = 4\nlargest = 3\n", "", None);
    assert_eq!(found, ["f:5 hosts-contradict [service a] smallest"]);
    assert_eq!(findings("smallest = 3\nlargest = 3\n", "", None), NONE);
    assert_eq!(findings("smallest = 3\nlargest = 0\n", "", None), NONE, "zero is no limit");
}

/// Guards against a budget of zero that is meant as "no limit": it allows no host.
#[test]
fn findings_budget_of_zero_with_hosts() {
    let found = findings("smallest = 4\nbudget-per-hour = 0\n", "", None);
    assert_eq!(found, ["f:6 budget-contradicts [service a] budget-per-hour"]);
    assert_eq!(findings("smallest = 4\nbudget-per-hour = 0.5\n", "", None), NONE);
    assert_eq!(findings("budget-per-hour = 0\n", "", None), NONE);
}

/// Guards against a customer that is served in quiet times and refused as soon as it matters.
#[test]
fn findings_customer_with_weight_zero() {
    let customer = format!("[customer x]\nweight = 0\ntoken-sha256 = {}\n", "1".repeat(64));
    assert_eq!(findings("", &customer, None), ["f:10 zero-weight [customer x] weight"]);
}

fn changes(old: &DeclarationSet, new: &DeclarationSet) -> Vec<String> {
    let mut lines = Vec::new();
    for change in compare(old, new) {
        lines.push(format!("{} {}", change.kind.sign(), change.title));
        let text = |value: &Option<Box<str>>| value.as_deref().unwrap_or("none").to_owned();
        let properties = change.properties.iter();
        lines
            .extend(properties.map(|p| format!("{}: {} -> {}", p.key, text(&p.old), text(&p.new))));
    }
    lines
}

/// Guards against a difference that names the object and hides what is different about it.
#[test]
fn compare_added_changed_and_removed_objects() {
    let set = |other: &str| validated(&format!("{SERVICE}{VERSION_AND_ROUTE}{other}")).set;
    let old = set("deadline = 2m\n[version a/v2]\nmodel = x\n");
    let new = set("class = batch\n[version a/v3]\n");
    let expected = [
        "- version a/v2",
        "model: x -> none",
        "+ version a/v3",
        "~ route r",
        "class: interactive -> batch",
        "deadline: 2m -> 30s",
    ];
    assert_eq!(changes(&old, &new), expected);
    assert_eq!(changes(&old, &old), NONE);
}

/// Guards against a property that the comparison passes over or names by another key than the
/// files do.
#[test]
fn compare_names_every_key_of_the_files() {
    let sections = [
        (
            "service a",
            "kind=model|plain version=v1|v2 repeat=safe|keyed repeat-get=safe|never \
          checks-fencing=false|true reports-load=false|true first-token=1s|2s \
          between-tokens=50ms|60ms managed=false|true paused=false|true smallest=1|2 \
          largest=3|4 budget-per-hour=1.000000|2.000000",
        ),
        ("service b", "kind=plain|plain version=v1|v1 repeat=safe|safe"),
        ("version a/v1", "model=m1|m2"),
        ("version a/v2", ""),
        ("version b/v1", ""),
        ("version b/v2", ""),
        ("version b/v3", ""),
        ("route r", "path=/r|/s service=a|b class=batch|interactive deadline=10s|20s"),
        (
            "move m",
            "service=b|b from=v1|v1 to=v2|v3 \
          start=2027-01-01T00:00:00Z|2027-01-01T00:00:01Z \
          finish-by=2027-01-01T01:00:00Z|2027-01-01T01:00:01Z watch=1m|2m",
        ),
        ("customer x", &format!("weight=1|2 token-sha256={}|{}", "1".repeat(64), "2".repeat(64))),
    ];
    let (mut old, mut new, mut expected) = (String::new(), String::new(), Vec::new());
    for (title, properties) in sections {
        for text in [&mut old, &mut new] {
            writeln!(text, "[{title}]").expect("writing to a string does not fail");
        }
        for property in properties.split_whitespace() {
            let (key, values) = property.split_once('=').expect("key=values");
            let (before, after) = values.split_once('|').expect("old|new");
            for (text, value) in [(&mut old, before), (&mut new, after)] {
                writeln!(text, "{key} = {value}").expect("writing to a string does not fail");
            }
            if before != after {
                expected.push(format!("{key}: {before} -> {after}"));
            }
        }
    }
    let mut found = changes(&validated(&old).set, &validated(&new).set);
    found.retain(|line| !line.starts_with('~'));
    assert_eq!(found, expected);
}
