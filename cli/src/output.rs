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
pub enum Verdict {
    /// The command found no problem.
    Good,
    /// The command ran, and the state that it checked is not as required.
    Bad,
}

/// Prints an error with its causes and returns the exit code.
pub fn exit_code(result: Result<Verdict, Report>) -> ExitCode {
    match result {
        Ok(Verdict::Good) => ExitCode::from(SUCCESS),
        Ok(Verdict::Bad) => ExitCode::from(FAILURE),
        Err(report) => {
            eprintln!("error: {report}");
            for cause in report.chain().skip(1) {
                eprintln!("  cause: {cause}");
            }
            ExitCode::from(FAILURE)
        }
    }
}
