//! `experiment`: runs named scenarios and writes a report, or compares two reports.

use std::path::Path;

use dogwoodturn_load::experiment::{self, compare, scenario};
use eyre::{Result, bail};
use gumdrop::Options;

/// The arguments of `experiment`.
#[derive(Debug, Options)]
pub struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "the directory of the report", default = "report", no_short)]
    out: String,
    #[options(help = "compare the report with this earlier one; runs nothing", no_short)]
    before: Option<String>,
    #[options(free, help = "scenarios, or all")]
    scenarios: Vec<String>,
}

/// Runs `experiment`.
pub fn run(args: &Args) -> Result<()> {
    if let Some(before) = &args.before {
        return compare::print(Path::new(before), Path::new(&args.out));
    }
    let scenarios = match args.scenarios.as_slice() {
        [] => bail!("no scenario given: name one or more scenarios, or all"),
        [all] if all == "all" => scenario::ALL.to_vec(),
        names => {
            let parsed: Result<Vec<_>> = names.iter().map(|name| name.parse()).collect();
            parsed?
        }
    };
    for outcome in experiment::run(&scenarios, Path::new(&args.out))? {
        let totals = &outcome.totals;
        println!(
            "{}: whole={} not-run={} lost={} urgent-p95={:.1}ms batch-p95={:.1}ms generated={} again={}",
            outcome.name,
            totals.whole,
            totals.not_run,
            totals.lost,
            totals.urgent_p95_ms,
            totals.batch_p95_ms,
            totals.generated,
            totals.recomputed_tokens
        );
    }
    Ok(())
}
