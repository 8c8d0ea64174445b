//! Units of work and of its rate, in which demand and capacity are compared.

use std::{fmt, num::ParseIntError, ops::Add, str::FromStr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::node::report::AttemptReport;

/// The number of prompt tokens that cost as much work as one generated token.
const PROMPT_TOKENS_PER_GENERATED: u64 = 8;

/// Work, in units of generating one token.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Work(pub u64);

impl Work {
    /// Returns the work of one attempt, at least one unit, so that a call of a plain service counts
    /// as one.
    pub fn of(report: &AttemptReport) -> Self {
        let prompt = report.uncached_prompt_tokens.0.div_ceil(PROMPT_TOKENS_PER_GENERATED);
        Self((report.generated_tokens.0 + prompt).max(1))
    }

    /// Returns the rate of this work over a time span.
    pub fn over(self, span: Duration) -> WorkRate {
        WorkRate(self.0.saturating_mul(1000) / (span.as_millis() as u64).max(1))
    }
}

impl Add for Work {
    type Output = Work;

    fn add(self, rhs: Work) -> Work {
        Work(self.0.saturating_add(rhs.0))
    }
}

/// A rate of work, in units per second.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WorkRate(pub u64);

impl fmt::Display for WorkRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for WorkRate {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.parse().map(Self)
    }
}
