//! `dogwoodturn`: the command line tool for operators.

mod active_config;
mod command;
mod files;
mod operator;
mod output;

use std::process::ExitCode;

use gumdrop::Options;

use crate::command::{audit, check, demo, diff, explain, moves, publish, status, supply};

#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "check declarations and name every error and warning")]
    Check(check::Args),
    #[options(help = "show what publishing would change")]
    Diff(diff::Args),
    #[options(help = "publish declarations to the platform")]
    Publish(publish::Args),
    #[options(help = "show the status of a daemon")]
    Status(status::Args),
    #[options(help = "read the trail of changes")]
    Audit(audit::Args),
    #[options(help = "show where each move stands")]
    Moves(moves::Args),
    #[options(help = "show the plan of hosts, its reason and its cost")]
    Supply(supply::Args),
    #[options(help = "trace a request through the logs of gateways")]
    Explain(explain::Args),
    #[options(help = "run stand-ins, daemons and callers in this process")]
    Demo(demo::Args),
}

fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    let result = match args.command {
        Some(Command::Check(args)) => Ok(check::run(&args)),
        Some(Command::Diff(args)) => diff::run(&args),
        Some(Command::Publish(args)) => publish::run(args),
        Some(Command::Status(args)) => status::run(&args),
        Some(Command::Audit(args)) => audit::run(&args),
        Some(Command::Moves(args)) => moves::run(&args),
        Some(Command::Supply(args)) => supply::run(&args),
        Some(Command::Explain(args)) => explain::run(&args),
        Some(Command::Demo(args)) => demo::run(&args),
        None => {
            eprintln!("{}\n\nCommands:\n{}", Args::usage(), Command::usage());
            return ExitCode::from(output::USAGE);
        }
    };
    output::exit_code(result)
}
