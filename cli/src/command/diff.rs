//! `diff`: shows what publishing a set would change, and the faults that would prevent it.

use std::time::{SystemTime, UNIX_EPOCH};

use dogwoodturn::{
    declaration::{DeclarationSet, check, delta, update_validation::validate_update},
    ids::Generation,
    store::http::HttpPlatform,
    units::WallTime,
};
use eyre::{Result, WrapErr as _};
use gumdrop::Options;
use serde_json::json;

use crate::{active_config, command::check::print_errors, files, output::Outcome};

/// The arguments of `diff`.
#[derive(Debug, Options)]
pub struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(required, help = "the base of the platform's URLs", no_short)]
    platform: String,
    #[options(help = "print JSON", no_short)]
    json: bool,
    #[options(free, help = "files or directories with declarations")]
    paths: Vec<String>,
}

pub fn run(args: &Args) -> Result<Outcome> {
    let sources = files::read(&args.paths)?;
    let checked = match check::check(&sources) {
        Ok(checked) => checked,
        Err(faults) => {
            print_errors(&faults, args.json);
            return Ok(Outcome::Failure);
        }
    };
    let read = actix_rt::System::new().block_on(async {
        let platform = HttpPlatform::new(&args.platform);
        active_config::read(&platform).await
    });
    let (generation, current) = match read.wrap_err("cannot read the active configuration")? {
        Some((head, set)) => (head.generation, set),
        None => (Generation(0), DeclarationSet::default()),
    };
    let changes = delta::describe(&current, &checked.set);
    let now = SystemTime::now().duration_since(UNIX_EPOCH)?.as_millis();
    let violations = validate_update(&current, &checked.set, WallTime(now.try_into()?));
    if args.json {
        println!("{}", json!({ "generation": generation, "changes": changes }));
    } else {
        println!("against generation {generation}: {} changes", changes.len());
        for change in &changes {
            println!("{change}");
        }
    }
    if violations.is_empty() {
        return Ok(Outcome::Success);
    }
    print_errors(&checked.errors(&violations), args.json);
    Ok(Outcome::Failure)
}
