//! Exit codes and error output of the commands.

use std::process::ExitCode;

use eyre::Report;

/// The exit code of a command that succeeded.
const SUCCESS: u8 = 0;
/// The exit code of a command that failed or found faults.
const FAILURE: u8 = 1;
/// The exit code of a usage error.
pub const USAGE: u8 = 2;
/// The exit code of `check` if it found warnings only. It equals [`USAGE`]; a usage error prints
/// nothing to the standard output.
const WARNINGS: u8 = 2;
/// The exit code of `check` if it could not read what it was to check.
const UNREADABLE: u8 = 3;

/// The result of a command that ran without an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The command found no problem.
    Success,
    /// The command ran, and the state that it checked is not as required.
    Failure,
    /// The command found no errors, but warnings.
    Warnings,
    /// The command could not read its files or the store, and has printed why.
    Unreadable,
}

/// Prints an error with its causes and returns the exit code.
pub fn exit_code(result: Result<Outcome, Report>) -> ExitCode {
    match result {
        Ok(Outcome::Success) => ExitCode::from(SUCCESS),
        Ok(Outcome::Failure) => ExitCode::from(FAILURE),
        Ok(Outcome::Warnings) => ExitCode::from(WARNINGS),
        Ok(Outcome::Unreadable) => ExitCode::from(UNREADABLE),
        Err(report) => {
            print_error(&report);
            ExitCode::from(FAILURE)
        }
    }
}

/// Prints an error with its causes.
pub fn print_error(report: &Report) {
    eprintln!("error: {report}");
    for cause in report.chain().skip(1) {
        eprintln!("  cause: {cause}");
    }
}
