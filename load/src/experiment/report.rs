//! Formats the results of scenarios as CSV and as one HTML page with plots.

use std::fmt::Write as _;

use eyre::Result;

use crate::experiment::{
    Outcome, plot,
    record::{Class, Row},
};

/// File with one line per scenario; the comparison of two reports reads it.
pub const SUMMARY_FILE: &str = "summary.csv";
/// The columns of the summary after the scenario's name.
pub const COLUMNS: [&str; 8] =
    ["whole", "not_run", "lost", "urgent_p95_ms", "batch_p95_ms", "generated", "again", "cost"];

fn class_name(class: Class) -> &'static str {
    match class {
        Class::Urgent => "urgent",
        Class::Batch => "batch",
    }
}

/// Returns the counts and latency by second and class, as CSV.
pub fn rows_csv(rows: &[Row]) -> String {
    let mut text = "second,class,whole,not_run,lost,first_p50_ms,first_p95_ms\n".to_owned();
    for row in rows {
        let class = class_name(row.class);
        let Row { second, whole, not_run, lost, first_p50_ms, first_p95_ms, .. } = row;
        // Writing to a string does not fail.
        let _ = writeln!(
            text,
            "{second},{class},{whole},{not_run},{lost},{first_p50_ms:.3},{first_p95_ms:.3}"
        );
    }
    text
}

/// Returns the totals with one line per scenario, as CSV.
pub fn summary_csv(outcomes: &[Outcome]) -> String {
    let mut text = format!("scenario,{}\n", COLUMNS.join(","));
    for outcome in outcomes {
        let _ = writeln!(text, "{},{}", outcome.name, cells(outcome).join(","));
    }
    text
}

fn cells(outcome: &Outcome) -> [String; 8] {
    let totals = &outcome.totals;
    [
        totals.whole.to_string(),
        totals.not_run.to_string(),
        totals.lost.to_string(),
        format!("{:.3}", totals.urgent_p95_ms),
        format!("{:.3}", totals.batch_p95_ms),
        totals.generated.to_string(),
        totals.recomputed_tokens.to_string(),
        format!("{:.6}", totals.cost),
    ]
}

/// Returns a self-contained HTML page with the totals and plots.
pub fn html(outcomes: &[Outcome]) -> Result<String> {
    let mut page = "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
                    <title>dogwoodturn experiments</title></head><body>\n\
                    <h1>dogwoodturn experiments</h1>\n<table border=\"1\">\n<tr><th>scenario</th>"
        .to_owned();
    for column in COLUMNS {
        let _ = write!(page, "<th>{column}</th>");
    }
    page.push_str("</tr>\n");
    for outcome in outcomes {
        let _ = write!(page, "<tr><td>{}</td>", outcome.name);
        for cell in cells(outcome) {
            let _ = write!(page, "<td>{cell}</td>");
        }
        page.push_str("</tr>\n");
    }
    page.push_str("</table>\n");
    for outcome in outcomes {
        let _ = writeln!(page, "<h2>{}</h2>", outcome.name);
        page.push_str(&plot::latency(outcome)?);
        page.push_str(&plot::responses(outcome)?);
        if !outcome.shares.is_empty() {
            page.push_str(&plot::share(outcome)?);
        }
    }
    page.push_str("</body></html>\n");
    Ok(page)
}
