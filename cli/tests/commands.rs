//! The output and the exit codes of the commands.

use std::process::{Command, Output};

fn run(args: &[&str]) -> Output {
    let command = Command::new(env!("CARGO_BIN_EXE_dogwoodturn"))
        .current_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/.."))
        .args(args)
        .output();
    command.expect("the command runs")
}

fn code_and_output(output: &Output) -> (Option<i32>, String, String) {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (output.status.code(), text(&output.stdout), text(&output.stderr))
}

#[test]
fn check_samples() {
    let (code, out, _) = code_and_output(&run(&["check", "examples/wayfarer"]));
    assert_eq!(out, "ok: 2 services, 2 versions, 3 routes, 0 moves, 5 customers\n");
    assert_eq!(code, Some(0));
    let (code, out, _) = code_and_output(&run(&["check", "--json", "examples/clip-desk"]));
    assert_eq!((code, out.as_str()), (Some(0), "{\"faults\":[]}\n"));
}

#[test]
fn check_incomplete_set_prints_file_line_and_hint() {
    let (code, out, _) = code_and_output(&run(&["check", "examples/wayfarer/routes.ini"]));
    assert_eq!(code, Some(1));
    let expected = "examples/wayfarer/routes.ini:3: [route phrases] refers to service lantern, which \
                    is not declared (hint: declare [service lantern])\n";
    assert!(out.starts_with(expected), "{out}");
    assert!(out.ends_with("3 faults\n"), "{out}");
}

#[test]
fn check_missing_file_prints_the_cause() {
    let (code, out, err) = code_and_output(&run(&["check", "nowhere.ini"]));
    assert_eq!((code, out.as_str()), (Some(3), ""));
    assert!(err.starts_with("error: cannot read nowhere.ini\n  cause: "), "{err}");
}

#[test]
fn help_on_each_command() {
    for command in ["check", "diff", "publish", "status", "audit", "moves", "supply", "demo"] {
        let (code, out, err) = code_and_output(&run(&[command, "--help"]));
        assert_eq!(code, Some(0), "{command}");
        let help = out + &err;
        assert!(help.contains(&format!("dogwoodturn {command} ")), "{help}");
        assert!(help.contains("--help"), "{help}");
    }
}

#[test]
fn command_missing_or_unknown_is_a_usage_error() {
    let (code, _, err) = code_and_output(&run(&[]));
    assert_eq!(code, Some(2));
    assert!(err.contains("Commands:"), "{err}");
    let (code, _, _) = code_and_output(&run(&["dance"]));
    assert_eq!(code, Some(2));
}

#[test]
fn publish_without_a_platform_is_an_error() {
    let args = ["publish", "--platform", "http://127.0.0.1:1", "--change", "c", "--author", "me"];
    let (code, _, err) = code_and_output(&run(&[&args[..], &["examples/wayfarer"]].concat()));
    assert_eq!(code, Some(1));
    assert!(err.starts_with("error: the set was not published\n  cause: "), "{err}");
}
