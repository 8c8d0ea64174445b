//! `dogwoodturn-load`: generates load, compares results and runs experiments.

mod command;

use std::process::ExitCode;

use gumdrop::Options;

use crate::command::{compare, experiment, placement, slopes};

#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "run callers through a daemon and straight against the upstreams")]
    Compare(compare::Args),
    #[options(help = "run scenarios and write a report, or compare two reports")]
    Experiment(experiment::Args),
    #[options(help = "compare the choice of upstreams with baselines, without I/O")]
    Placement(placement::Args),
    #[options(help = "measure what daemons on loopback cost at rest")]
    Slopes(slopes::Args),
}

fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    let result = match args.command {
        Some(Command::Compare(args)) => compare::run(&args),
        Some(Command::Experiment(args)) => experiment::run(&args),
        Some(Command::Placement(args)) => placement::run(&args),
        Some(Command::Slopes(args)) => slopes::run(&args),
        None => {
            eprintln!("{}\n\nCommands:\n{}", Args::usage(), Command::usage());
            return ExitCode::from(2);
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("error: {report:?}");
            ExitCode::FAILURE
        }
    }
}
