//! Logs of what is refused because upstreams crash with it.

use crate::request::crash_evidence::Change;

/// Logs that requests are refused from now on, or no longer are.
pub fn log_change(change: &Change) {
    match change {
        Change::Barred { cause, crashes, requests } => {
            log::warn!(event = "barred", cause:%, crashes, requests, source = "own"; "requests are refused, since upstreams crash with them");
        }
        Change::BarredByPeer(cause) => {
            log::warn!(event = "barred", cause:%, source = "peer"; "");
        }
        Change::Cleared(cause) => log::info!(event = "cleared", cause:%; ""),
    }
}
