//! `explain`: traces a request through the logs of the gateways and summarizes how it ended.

use dogwoodturn_gateway::explain::{LogLine, summarize, trace};
use eyre::{Result, WrapErr as _, bail};
use gumdrop::Options;

use crate::output::Outcome;

/// The arguments of `explain`.
#[derive(Debug, Options)]
pub struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "the id of the request")]
    request: String,
    #[options(free, help = "log files, one of each gateway")]
    logs: Vec<String>,
}

pub fn run(args: &Args) -> Result<Outcome> {
    if args.logs.is_empty() {
        bail!("pass the log files of the gateways after the request's id");
    }
    let mut lines = Vec::new();
    for file in &args.logs {
        let text = std::fs::read(file).wrap_err_with(|| format!("cannot read {file}"))?;
        let text = String::from_utf8_lossy(&text);
        lines.extend(text.lines().filter_map(|line| LogLine::read(file, line)));
    }
    let traced = trace(&lines, &args.request);
    let Some(first) = traced.first() else {
        bail!("no line of these logs names the request {:?}", args.request);
    };
    for line in &traced {
        let seconds = (line.timestamp_us - first.timestamp_us) as f64 / 1e6;
        let fields: Vec<_> =
            line.fields.iter().map(|(key, value)| format!("{key}={value}")).collect();
        println!("{seconds:+9.3} s  {}  {}", line.file, fields.join(" "));
    }
    match summarize(&traced, &args.request) {
        Some(summary) => println!("{summary}"),
        None => println!("its end is not in these logs"),
    }
    Ok(Outcome::Success)
}
