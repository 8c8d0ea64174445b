//! The output and the exit codes of `check`, also against a platform stand-in.

use std::{
    fs,
    path::{Path, PathBuf},
    process::Command,
};

use dogwoodturn_standins::{
    http::ServerHandle,
    platform::{Faults, Platform},
};
use serde_json::{Value, json};

const SOUND: &str = "[service a]\nkind = plain\nversion = v1\nrepeat = safe\nmanaged = true\n\
                     [version a/v1]\n[route r]\npath = /r\nservice = a\ndeadline = 10s\n";
const UNUSED_VERSION: &str = "[version a/v9]\n";
const FAULTY: &str = "[route q]\npath = /q\nservice = nothing\n";

/// A directory for the declarations of one test.
struct Dir(PathBuf);

impl Dir {
    /// Creates an empty directory; each test passes its own name.
    fn new(name: &str) -> Self {
        let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("check-{name}"));
        if path.exists() {
            fs::remove_dir_all(&path).expect("the directory of an earlier run can be removed");
        }
        fs::create_dir_all(&path).expect("the directory can be created");
        Self(path)
    }

    fn with(name: &str, text: &str) -> Self {
        let dir = Self::new(name);
        dir.write(text);
        dir
    }

    fn write(&self, text: impl AsRef<[u8]>) {
        fs::write(self.0.join("a.ini"), text).expect("the file can be written");
    }

    fn path(&self) -> &str {
        self.0.to_str().expect("the path is text")
    }
}

/// Runs the command and returns exit code, output and error output.
fn run(args: &[&str]) -> (Option<i32>, String, String) {
    let command = Command::new(env!("CARGO_BIN_EXE_dogwoodturn")).args(args).output();
    let output = command.expect("the command runs");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (output.status.code(), text(&output.stdout), text(&output.stderr))
}

fn start_platform() -> (Platform, ServerHandle) {
    let platform = Platform::new();
    let listen = "127.0.0.1:0".parse().expect("an address");
    let server = platform.start(listen).expect("the platform starts");
    (platform, server)
}

fn publish(url: &str, change: &str, dir: &Dir) {
    let args = ["publish", "--platform", url, "--change", change, "--author", "me", dir.path()];
    let (code, out, err) = run(&args);
    assert_eq!(code, Some(0), "{out}{err}");
}

fn parse(json: &str) -> Value {
    serde_json::from_str(json).expect("the output is one JSON value")
}

/// Guards against another output or exit code for a valid set than before there were warnings.
#[test]
fn check_sound_set_exits_with_0() {
    let dir = Dir::with("sound", SOUND);
    let (code, out, err) = run(&["check", dir.path()]);
    assert_eq!(out, "ok: 1 services, 1 versions, 1 routes, 0 moves, 0 customers\n");
    assert_eq!((code, err.as_str()), (Some(0), ""));
    let (code, out, _) = run(&["check", "--json", dir.path()]);
    assert_eq!((code, out.as_str()), (Some(0), "{\"faults\":[]}\n"));
}

/// Guards against errors that are reported as warnings.
#[test]
fn check_errors_exit_with_1() {
    let dir = Dir::with("errors", &format!("{SOUND}{UNUSED_VERSION}{FAULTY}"));
    let (code, out, _) = run(&["check", dir.path()]);
    let expected = format!("{}/a.ini:12: [route q] refers to service nothing", dir.path());
    assert!(out.starts_with(&expected), "{out}");
    assert!(out.ends_with("1 faults\n"), "{out}");
    assert_eq!(code, Some(1));
    let (code, out, _) = run(&["check", "--json", dir.path()]);
    assert_eq!(parse(&out)["faults"][0]["line"], json!(12));
    assert_eq!(code, Some(1));
}

/// Guards against warnings that a script cannot tell from errors or from nothing found, and against
/// those that do not say where the fault is.
#[test]
fn check_warnings_exit_with_2() {
    let dir = Dir::with("warnings", &SOUND.replace("deadline = 10s", "deadline = 100ms"));
    let file = format!("{}/a.ini", dir.path());
    let reason = "100ms is below the first-token target of service a, 880ms";
    let hint = "set a longer deadline or a shorter first-token";
    let (code, out, _) = run(&["check", dir.path()]);
    let expected =
        format!("{file}:10: warning: [route r] deadline: {reason} (hint: {hint})\n1 warnings\n");
    assert_eq!((code, out), (Some(2), expected));
    let (code, out, _) = run(&["check", "--json", dir.path()]);
    let warning = json!({
        "kind": "deadline-below-target", "file": file, "line": 10, "object": "route r",
        "key": "deadline", "reason": reason, "hint": hint,
    });
    assert_eq!((code, parse(&out)), (Some(2), json!({ "faults": [], "warnings": [warning] })));
}

/// Guards against files that cannot be read and count as files without findings.
#[test]
fn check_unreadable_files_exit_with_3() {
    let sound = Dir::with("sound-beside-empty", SOUND);
    let empty = Dir::new("empty");
    let binary = Dir::new("binary");
    binary.write([0xff, 0xfe, 0x00]);
    let missing = empty.0.join("missing.ini");
    let missing = missing.to_str().expect("the path is text");
    let cases = [
        (vec![missing], "cannot read"),
        (vec![empty.path()], "no *.ini files in"),
        (vec![sound.path(), empty.path()], "no *.ini files in"),
        (vec![binary.path()], "cannot read"),
        (vec![], "pass files or directories"),
    ];
    for (paths, message) in cases {
        let (code, out, err) = run(&[&["check"], &paths[..]].concat());
        assert_eq!((code, out.as_str()), (Some(3), ""), "{paths:?}");
        assert!(err.starts_with(&format!("error: {message}")), "{err}");
        let (code, out, _) = run(&[&["check", "--json"], &paths[..]].concat());
        assert_eq!(code, Some(3), "{paths:?}");
        let message_matches = parse(&out)["error"].as_str().is_some_and(|e| e.contains(message));
        assert!(message_matches, "{out}");
    }
}

/// Guards against a store that cannot be reached, or another server at its address, that counts as
/// one where nothing is published.
#[test]
fn check_against_an_unreachable_store_exits_with_3() {
    let dir = Dir::with("unreachable", SOUND);
    let (platform, server) = start_platform();
    let url = server.url();
    let wrong_path = format!("{url}/elsewhere");
    platform.set_faults(Faults { outage: true, ..Faults::default() });
    for base in ["http://127.0.0.1:1", "http://", &url, &wrong_path] {
        if base == wrong_path {
            platform.set_faults(Faults::default());
        }
        let (code, out, err) = run(&["check", "--against", base, dir.path()]);
        assert_eq!((code, out.as_str()), (Some(3), ""), "{base}");
        let expected = format!("error: cannot read what is in force at {base}\n  cause: ");
        assert!(err.starts_with(&expected), "{err}");
        let (code, out, _) = run(&["check", "--json", "--against", base, dir.path()]);
        assert_eq!(code, Some(3), "{base}");
        assert!(parse(&out).get("faults").is_none(), "{out}");
        assert!(parse(&out)["causes"][0].is_string(), "{out}");
    }
}

/// Guards against a difference that hides entries or values, and against one that counts as a
/// finding.
#[test]
fn check_against_prints_the_difference() {
    let dir = Dir::with("difference", SOUND);
    let (_platform, server) = start_platform();
    let url = server.url();
    let (code, out, _) = run(&["check", "--against", &url, dir.path()]);
    assert!(out.starts_with("against generation 0: 3 changes\n+ service a ("), "{out}");
    assert_eq!(code, Some(0));
    publish(&url, "first", &dir);
    let (code, out, _) = run(&["check", "--against", &url, dir.path()]);
    let ok = "ok: 1 services, 1 versions, 1 routes, 0 moves, 0 customers\n";
    assert_eq!(out, format!("against generation 1: 0 changes\n{ok}"));
    assert_eq!(code, Some(0));

    let changed =
        SOUND.replace("deadline = 10s", "deadline = 5s").replace("[route r]", "[route s]");
    dir.write(changed.replace("repeat = safe", "repeat = never"));
    let (code, out, _) = run(&["check", "--against", &url, dir.path()]);
    let file = format!("{}/a.ini", dir.path());
    let expected = format!(
        "against generation 1: 3 changes\n\
         ~ service a ({file}:1)\n    repeat: safe -> never\n\
         - route r\n    path: /r\n    service: a\n    class: interactive\n    deadline: 10s\n\
         + route s ({file}:7)\n    path: /r\n    service: a\n    class: interactive\n    deadline: 5s\n\
         {ok}"
    );
    assert_eq!((code, out), (Some(0), expected));
    let (code, out, _) = run(&["check", "--json", "--against", &url, dir.path()]);
    let against = &parse(&out)["against"];
    assert_eq!((code, &against["generation"]), (Some(0), &json!(1)));
    let first = json!({
        "change": "changed",
        "object": "service a",
        "file": file,
        "line": 1,
        "properties": [{ "key": "repeat", "old": "safe", "new": "never", "line": 4 }],
    });
    assert_eq!(against["changes"][0], first);
    let second = &against["changes"][1];
    assert_eq!(second["change"], json!("removed"));
    assert_eq!(second["file"], Value::Null);
    assert_eq!(
        second["properties"][0],
        json!({ "key": "path", "old": "/r", "new": null, "line": null })
    );
    assert_eq!(against["changes"][2]["change"], json!("added"));
}

/// Guards against a check that passes a set which `publish` then refuses: here, a move that is
/// changed while it is running.
#[test]
fn check_against_reports_what_prevents_publication() {
    let base = format!(
        "{SOUND}[version a/v2]\n[move m]\nservice = a\nfrom = v1\nto = v2\n\
         start = 2020-01-01T00:00:00Z\nfinish-by = 2999-01-01T00:00:00Z\n"
    );
    let dir = Dir::with("violation", &base);
    let (_platform, server) = start_platform();
    publish(&server.url(), "first", &dir);
    dir.write(base.replace("finish-by = 2999", "finish-by = 2998"));
    let (code, out, _) = run(&["check", "--against", &server.url(), dir.path()]);
    let expected = format!("{}/a.ini:12: [move m] it is changed while it is running", dir.path());
    assert!(out.lines().any(|line| line.starts_with(&expected)), "{out}");
    assert_eq!(code, Some(1));
}

/// Guards against a move or service that is sent although no upstream serves its version.
#[test]
fn check_against_reports_versions_without_upstreams() {
    let dir = Dir::with("upstreams", &SOUND.replace("managed = true\n", ""));
    let (platform, server) = start_platform();
    let url = server.url();
    let (code, out, _) = run(&["check", "--against", &url, dir.path()]);
    let expected = format!(
        "{}/a.ini:3: warning: [service a] version: no live upstream serves a/v1",
        dir.path()
    );
    assert!(out.lines().any(|line| line.starts_with(&expected)), "{out}");
    assert_eq!(code, Some(2));
    let host = json!({
        "host": "h1", "upstream": "u1", "address": "127.0.0.1:9", "data_centre": "d1",
        "zone": "d1", "class": "standard", "kind": "reclaimable", "service": "a", "version": "v1",
        "state": "live",
    });
    let hosts = |host: &Value| vec![serde_json::from_value(host.clone()).expect("a host record")];
    platform.set_hosts(hosts(&host));
    let (code, out, _) = run(&["check", "--against", &url, dir.path()]);
    assert_eq!(code, Some(0), "{out}");
    let mut leaving = host;
    leaving["state"] = json!({ "leaving": { "at": 1 } });
    platform.set_hosts(hosts(&leaving));
    let (code, out, _) = run(&["check", "--against", &url, dir.path()]);
    assert_eq!(code, Some(2), "{out}");
}
