//! Totals over all attempts of a daemon to run requests at upstreams.

use std::sync::atomic::{AtomicU64, Ordering};

use dogwoodturn::node::report::{AttemptEnd, AttemptReport};

/// Totals over the attempts of a daemon since its start.
#[derive(Debug, Default)]
pub struct AttemptCounters {
    /// Attempts that returned the complete answer.
    pub answered: AtomicU64,
    /// Attempts that failed, lost their connection or timed out.
    pub failed: AtomicU64,
    /// Attempts that an upstream refused because of its load.
    pub refused: AtomicU64,
    /// Prompt tokens of all attempts.
    pub prompt_tokens: AtomicU64,
    /// Prompt tokens that were not in any cache.
    pub uncached_tokens: AtomicU64,
    pub generated_tokens: AtomicU64,
    /// Tokens computed that another attempt had already computed.
    pub tokens_again: AtomicU64,
}

impl AttemptCounters {
    /// Adds the report of an attempt that has ended; abandoned attempts add only their tokens.
    pub fn add(&self, report: &AttemptReport) {
        let end_counter = match report.end {
            AttemptEnd::Success => Some(&self.answered),
            AttemptEnd::Failure | AttemptEnd::ConnectionLost | AttemptEnd::TimedOut => {
                Some(&self.failed)
            }
            AttemptEnd::Refused => Some(&self.refused),
            AttemptEnd::Abandoned => None,
        };
        if let Some(end_counter) = end_counter {
            end_counter.fetch_add(1, Ordering::Relaxed);
        }
        self.prompt_tokens.fetch_add(report.prompt_tokens.0, Ordering::Relaxed);
        self.uncached_tokens.fetch_add(report.uncached_prompt_tokens.0, Ordering::Relaxed);
        self.generated_tokens.fetch_add(report.generated_tokens.0, Ordering::Relaxed);
        self.tokens_again.fetch_add(report.recomputed_tokens.0, Ordering::Relaxed);
    }

    /// Returns the metric name, the help text and the value of each counter.
    pub fn named(&self) -> [(&'static str, &'static str, &AtomicU64); 7] {
        [
            ("attempts_answered", "Attempts that brought the whole answer", &self.answered),
            ("attempts_failed", "Attempts that failed, broke or were overdue", &self.failed),
            ("attempts_refused", "Attempts that an upstream refused", &self.refused),
            ("prompt_tokens", "Tokens of prompts", &self.prompt_tokens),
            ("uncached_tokens", "Tokens of prompts that no cache held", &self.uncached_tokens),
            ("generated_tokens", "Tokens generated", &self.generated_tokens),
            ("tokens_again", "Tokens computed a second time", &self.tokens_again),
        ]
    }
}
