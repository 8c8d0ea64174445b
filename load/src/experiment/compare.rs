//! Compares the summaries of two reports.

use std::{fs, path::Path};

use eyre::{Result, WrapErr as _, eyre};
use indexmap::IndexMap;

use crate::experiment::report::{COLUMNS, SUMMARY_FILE};

type Summary = IndexMap<String, Vec<f64>>;

/// Prints each figure of two reports side by side, with the ratio of the second to the first.
pub fn print(before: &Path, after: &Path) -> Result<()> {
    let before = read(before)?;
    let after = read(after)?;
    for (scenario, old) in &before {
        let Some(new) = after.get(scenario) else { continue };
        println!("{scenario}");
        for (column, (old, new)) in COLUMNS.iter().zip(old.iter().zip(new)) {
            let ratio = if *old == 0.0 { f64::NAN } else { new / old };
            println!("  {column:<14} {old:>14.3} {new:>14.3} {ratio:>8.3}");
        }
    }
    Ok(())
}

fn read(report: &Path) -> Result<Summary> {
    let path = report.join(SUMMARY_FILE);
    let text =
        fs::read_to_string(&path).wrap_err_with(|| format!("cannot read {}", path.display()))?;
    let mut summary = Summary::new();
    for line in text.lines().skip(1) {
        let (scenario, cells) =
            line.split_once(',').ok_or_else(|| eyre!("malformed line in the summary: {line:?}"))?;
        let cells: Result<Vec<f64>, _> = cells.split(',').map(str::parse).collect();
        summary.insert(
            scenario.into(),
            cells.wrap_err("the summary has a cell that is not a number")?,
        );
    }
    Ok(summary)
}
