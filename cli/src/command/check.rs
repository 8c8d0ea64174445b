//! `check`: reads a set of declarations and prints all its faults at once.

use dogwoodturn::{declaration::check, ini::ConfigError};
use eyre::Result;
use gumdrop::Options;
use serde_json::json;

use crate::{files, output::Outcome};

/// The arguments of `check`.
#[derive(Debug, Options)]
pub struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "print JSON", no_short)]
    json: bool,
    #[options(free, help = "files or directories with declarations")]
    paths: Vec<String>,
}

pub fn run(args: &Args) -> Result<Outcome> {
    let sources = files::read(&args.paths)?;
    match check::check(&sources) {
        Ok(checked) => {
            let set = checked.set;
            if args.json {
                println!("{}", json!({ "faults": [] }));
            } else {
                println!(
                    "ok: {} services, {} versions, {} routes, {} moves, {} customers",
                    set.services.len(),
                    set.versions.len(),
                    set.routes.len(),
                    set.moves.len(),
                    set.customers.len()
                );
            }
            Ok(Outcome::Success)
        }
        Err(faults) => {
            print_errors(&faults, args.json);
            Ok(Outcome::Failure)
        }
    }
}

/// Prints faults one per line, or all of them as one JSON object.
pub fn print_errors(faults: &[ConfigError], as_json: bool) {
    if as_json {
        let faults: Vec<_> = faults
            .iter()
            .map(|fault| {
                json!({
                    "file": fault.location.file,
                    "line": fault.location.line,
                    "reason": fault.reason,
                    "hint": fault.hint,
                })
            })
            .collect();
        println!("{}", json!({ "faults": faults }));
        return;
    }
    for fault in faults {
        println!("{fault}");
    }
    println!("{} faults", faults.len());
}
