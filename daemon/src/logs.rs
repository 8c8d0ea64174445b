//! Logs as one line of key=value pairs per event, on standard error.

use logforth::{append::Stderr, filter::rustlog::RustLogFilterBuilder, layout::LogfmtLayout};

/// Sends the logs of this process to standard error.
pub fn init() {
    logforth::starter_log::builder()
        .dispatch(|dispatch| {
            dispatch
                .filter(RustLogFilterBuilder::from_default_env_or("info").build())
                .append(Stderr::default().with_layout(LogfmtLayout::default()))
        })
        .apply();
}
