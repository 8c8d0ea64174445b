//! Exit codes, errors and hints as operators see them.

use std::process::ExitCode;

use eyre::Report;

/// The exit code of a command that did what it was asked.
const SUCCESS: u8 = 0;
/// The exit code of a command that failed, or found faults.
const FAILURE: u8 = 1;
/// The exit code of a command that was called in a wrong way.
pub const USAGE: u8 = 2;

/// What a command found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// All is well.
    Good,
    /// The command ran, and what it checked is not well.
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
