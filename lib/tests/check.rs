//! Tests that the validation of a whole set reports every error with file and line.

use dogwoodturn::{declaration::check, ini::Source};

fn errors_of(text: &str) -> Vec<String> {
    let source = Source { file: "a.ini".into(), text: text.into() };
    let errors = check::check(&[source]).expect_err("the set has errors");
    errors.iter().map(ToString::to_string).collect()
}

#[test]
fn check_reports_every_error_at_once() {
    let text = "[service lantern]\nkind = modell\nversion = v1\nrepeat = safe\n\n\
                [route phrases]\npath = phrases/\nservice = ledger\n\n\
                [thing x]\n";
    let errors = errors_of(text);
    assert!(errors.iter().any(|error| error.starts_with("a.ini:2: kind")), "{errors:?}");
    assert!(errors.iter().any(|error| error.contains("must begin with a slash")), "{errors:?}");
    assert!(errors.iter().any(|error| error.starts_with("a.ini:10: [thing]")), "{errors:?}");
    assert!(errors.iter().any(|error| error.contains("service ledger")), "{errors:?}");
}

#[test]
fn check_unknown_and_repeated_properties() {
    let text = "[version a/v1]\n; a remark = here\nmodell = x\nmodel = y\nmodel = z\n";
    let errors = errors_of(text);
    assert!(errors.contains(&"a.ini:3: modell is no property of [version a/v1]".into()));
    assert!(errors.contains(&"a.ini:5: model is set twice".into()));
}

#[test]
fn check_moves_of_one_service() {
    let service = "[service a]\nkind = plain\nversion = v1\nrepeat = safe\n\
                   [version a/v1]\n[version a/v2]\n";
    let m = "service = a\nfrom = v1\nto = v2\nstart = 2027-01-01T00:00:00Z\n\
             finish-by = 2027-01-01T00:00:30Z\nwatch = 1m\n";
    let errors = errors_of(&format!("{service}[move one]\n{m}[move two]\n{m}"));
    assert!(errors.iter().any(|error| error.contains("both of service a")), "{errors:?}");
    assert!(errors.iter().any(|error| error.contains("cannot finish")), "{errors:?}");
}
