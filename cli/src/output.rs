//! Exit codes and error output of the commands.

use std::process::ExitCode;

use eyre::Report;

/// The exit code of a command that succeeded.
const SUCCESS: u8 = 0;
/// The exit code of a command that failed or found faults.
const FAILURE: u8 = 1;
/// The exit code of a usage error.
pub const USAGE: u8 = 2;

/// The result of a command that ran without an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The command found no problem.
    Success,
    /// The command ran, and the state that it checked is not as required.
    Failure,
}

/// Prints an error with its causes and returns the exit code.
pub fn exit_code(result: Result<Outcome, Report>) -> ExitCode {
    match result {
        Ok(Outcome::Success) => ExitCode::from(SUCCESS),
        Ok(Outcome::Failure) => ExitCode::from(FAILURE),
        Err(report) => {
            eprintln!("error: {report}");
            for cause in report.chain().skip(1) {
                eprintln!("  cause: {cause}");
            }
            ExitCode::from(FAILURE)
        }
    }
}
