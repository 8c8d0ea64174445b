//! `check`: reads a set of declarations and prints all its errors and warnings at once.

use std::time::{SystemTime, UNIX_EPOCH};

use dogwoodturn::{
    declaration::{
        DeclarationSet,
        check::{self, ValidatedSet},
        delta::{self, ChangeKind, ObjectChange, PropertyChange},
        findings::{Finding, ServedVersions},
        update_validation::validate_update,
    },
    ids::Generation,
    ini::{ConfigError, Location},
    store::http::HttpPlatform,
    units::WallTime,
};
use eyre::{Report, Result, WrapErr as _};
use gumdrop::Options;
use serde_json::{Value, json};

use crate::{
    active_config, files,
    output::{self, Outcome},
};

/// The arguments of `check`.
#[derive(Debug, Options)]
pub struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "print JSON", no_short)]
    json: bool,
    #[options(
        help = "compare with what is in force; the base of the platform's URLs",
        meta = "URL",
        no_short
    )]
    against: Option<String>,
    #[options(free, help = "files or directories with declarations")]
    paths: Vec<String>,
}

/// What is in force at the platform.
struct InForce {
    generation: Generation,
    set: DeclarationSet,
    served: ServedVersions,
}

/// The result of a check whose files and store could be read.
#[derive(Default)]
struct Checked {
    valid: Option<ValidatedSet>,
    errors: Vec<ConfigError>,
    warnings: Vec<(Location, Finding)>,
    /// The generation in force and the objects that differ from it.
    difference: Option<(Generation, Vec<ObjectChange>)>,
}

/// Checks the declarations and prints the result; the outcome tells errors, warnings and unreadable
/// input apart.
pub fn run(args: &Args) -> Outcome {
    match check(args) {
        Ok(checked) => {
            if args.json {
                println!("{}", checked.to_json());
            } else {
                checked.print();
            }
            checked.outcome()
        }
        Err(report) => {
            output::print_error(&report);
            if args.json {
                println!("{}", error_json(&report));
            }
            Outcome::Unreadable
        }
    }
}

fn check(args: &Args) -> Result<Checked> {
    let sources = files::read_all(&args.paths)?;
    let valid = match check::check(&sources) {
        Ok(valid) => valid,
        Err(errors) => return Ok(Checked { errors, ..Checked::default() }),
    };
    let Some(platform) = &args.against else {
        let warnings = valid.findings(None);
        return Ok(Checked { warnings, valid: Some(valid), ..Checked::default() });
    };
    let in_force = read_in_force(platform)
        .wrap_err_with(|| format!("cannot read what is in force at {platform}"))?;
    let now = SystemTime::now().duration_since(UNIX_EPOCH)?.as_millis();
    let violations = validate_update(&in_force.set, &valid.set, WallTime(now.try_into()?));
    let changes = delta::compare(&in_force.set, &valid.set);
    Ok(Checked {
        errors: valid.errors(&violations),
        warnings: valid.findings(Some(&in_force.served)),
        difference: Some((in_force.generation, changes)),
        valid: Some(valid),
    })
}

fn read_in_force(platform: &str) -> Result<InForce> {
    actix_rt::System::new().block_on(async {
        let platform = HttpPlatform::new(platform);
        let active = active_config::read(&platform).await?;
        let served = active_config::read_served_versions(&platform).await?;
        let (generation, set) = match active {
            Some((head, set)) => (head.generation, set),
            None => (Generation(0), DeclarationSet::default()),
        };
        Ok(InForce { generation, set, served })
    })
}

impl Checked {
    fn outcome(&self) -> Outcome {
        match (self.errors.is_empty(), self.warnings.is_empty()) {
            (false, _) => Outcome::Failure,
            (true, false) => Outcome::Warnings,
            (true, true) => Outcome::Success,
        }
    }

    fn line_of(&self, title: &str, key: Option<&str>) -> Option<&Location> {
        self.valid.as_ref()?.location(title, key)
    }

    fn print(&self) {
        if let Some((generation, changes)) = &self.difference {
            println!("against generation {generation}: {} changes", changes.len());
            for change in changes {
                self.print_change(change);
            }
        }
        for (location, finding) in &self.warnings {
            println!("{location}: warning: {finding}");
        }
        if !self.warnings.is_empty() {
            println!("{} warnings", self.warnings.len());
        }
        if !self.errors.is_empty() {
            print_errors(&self.errors, false);
        }
        if let (Outcome::Success, Some(valid)) = (self.outcome(), &self.valid) {
            println!(
                "ok: {} services, {} versions, {} routes, {} moves, {} customers",
                valid.set.services.len(),
                valid.set.versions.len(),
                valid.set.routes.len(),
                valid.set.moves.len(),
                valid.set.customers.len()
            );
        }
    }

    fn print_change(&self, change: &ObjectChange) {
        print!("{} {}", change.kind.sign(), change.title);
        match self.line_of(&change.title, None) {
            Some(location) => println!(" ({location})"),
            None => println!(),
        }
        for PropertyChange { key, old, new } in &change.properties {
            let [old, new] = [old, new].map(|value| value.as_deref().unwrap_or("(not set)"));
            match change.kind {
                ChangeKind::Added => println!("    {key}: {new}"),
                ChangeKind::Removed => println!("    {key}: {old}"),
                ChangeKind::Changed => println!("    {key}: {old} -> {new}"),
            }
        }
    }

    fn to_json(&self) -> Value {
        let mut value = errors_json(&self.errors);
        if !self.warnings.is_empty() {
            value["warnings"] = self.warnings.iter().map(warning_json).collect();
        }
        if let Some((generation, changes)) = &self.difference {
            let changes: Value = changes.iter().map(|change| self.change_json(change)).collect();
            value["against"] = json!({ "generation": generation, "changes": changes });
        }
        value
    }

    fn change_json(&self, change: &ObjectChange) -> Value {
        let properties: Vec<_> = (change.properties.iter())
            .map(|property| {
                let location = self.line_of(&change.title, Some(&property.key));
                json!({
                    "key": property.key,
                    "old": property.old,
                    "new": property.new,
                    "line": location.map(|location| location.line),
                })
            })
            .collect();
        let location = self.line_of(&change.title, None);
        json!({
            "change": match change.kind {
                ChangeKind::Added => "added",
                ChangeKind::Changed => "changed",
                ChangeKind::Removed => "removed",
            },
            "object": change.title,
            "file": location.map(|location| &location.file),
            "line": location.map(|location| location.line),
            "properties": properties,
        })
    }
}

fn warning_json((location, finding): &(Location, Finding)) -> Value {
    json!({
        "kind": finding.kind.to_string(),
        "file": location.file,
        "line": location.line,
        "object": finding.title,
        "key": finding.key,
        "reason": finding.reason,
        "hint": finding.hint,
    })
}

fn error_json(report: &Report) -> Value {
    let causes: Vec<_> = report.chain().skip(1).map(ToString::to_string).collect();
    json!({ "error": report.to_string(), "causes": causes })
}

fn errors_json(errors: &[ConfigError]) -> Value {
    let faults: Vec<_> = errors
        .iter()
        .map(|error| {
            json!({
                "file": error.location.file,
                "line": error.location.line,
                "reason": error.reason,
                "hint": error.hint,
            })
        })
        .collect();
    json!({ "faults": faults })
}

/// Prints errors one per line, or all of them as one JSON object.
pub fn print_errors(errors: &[ConfigError], as_json: bool) {
    if as_json {
        println!("{}", errors_json(errors));
        return;
    }
    for error in errors {
        println!("{error}");
    }
    println!("{} faults", errors.len());
}
