//! Logging to standard error, one line of key=value pairs (logfmt) per event.

use logforth::{append::Stderr, filter::rustlog::RustLogFilterBuilder, layout::LogfmtLayout};

/// Initializes logging for this process, at level `info` unless the environment sets a filter.
pub fn init() {
    logforth::starter_log::builder()
        .dispatch(|dispatch| {
            dispatch
                .filter(RustLogFilterBuilder::from_default_env_or("info").build())
                .append(Stderr::default().with_layout(LogfmtLayout::default()))
        })
        .apply();
}
