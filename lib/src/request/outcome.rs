//! What a refusal may say about whether the request ran.

use std::fmt;

/// Whether a request that got no whole answer has run at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RunOutcome {
    /// No upstream can have acted on any byte of it, or the upstream's own refusal proves it.
    NotRun,
    /// An upstream may have acted on it.
    MayHaveRun,
    /// An upstream has run it.
    Ran,
}

impl fmt::Display for RunOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Ran => "ran",
        })
    }
}
