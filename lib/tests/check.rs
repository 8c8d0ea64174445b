//! The check of a whole set names every fault with file and line.

use dogwoodturn::{declaration::check, ini::Source};

fn faults_of(text: &str) -> Vec<String> {
    let source = Source { file: "a.ini".into(), text: text.into() };
    let faults = check::check(&[source]).expect_err("the set has faults");
    faults.iter().map(ToString::to_string).collect()
}

#[test]
fn check_names_every_fault_at_once() {
    let text = "[service lantern]\nkind = modell\nversion = v1\nrepeat = safe\n\n\
                [route phrases]\npath = phrases/\nservice = ledger\n\n\
                [thing x]\n";
    let faults = faults_of(text);
    assert!(faults.iter().any(|fault| fault.starts_with("a.ini:2: kind")), "{faults:?}");
    assert!(faults.iter().any(|fault| fault.contains("must begin with a slash")), "{faults:?}");
    assert!(faults.iter().any(|fault| fault.starts_with("a.ini:10: [thing]")), "{faults:?}");
    assert!(faults.iter().any(|fault| fault.contains("service ledger")), "{faults:?}");
}

#[test]
fn check_unknown_and_repeated_properties() {
    let text = "[version a/v1]\n; a remark = here\nmodell = x\nmodel = y\nmodel = z\n";
    let faults = faults_of(text);
    assert!(faults.contains(&"a.ini:3: modell is no property of [version a/v1]".into()));
    assert!(faults.contains(&"a.ini:5: model is set twice".into()));
}

#[test]
fn check_moves_of_one_service() {
    let service = "[service a]\nkind = plain\nversion = v1\nrepeat = safe\n\
                   [version a/v1]\n[version a/v2]\n";
    let m = "service = a\nfrom = v1\nto = v2\nstart = 2027-01-01T00:00:00Z\n\
             finish-by = 2027-01-01T00:00:30Z\nwatch = 1m\n";
    let faults = faults_of(&format!("{service}[move one]\n{m}[move two]\n{m}"));
    assert!(faults.iter().any(|fault| fault.contains("both of service a")), "{faults:?}");
    assert!(faults.iter().any(|fault| fault.contains("cannot finish")), "{faults:?}");
}
