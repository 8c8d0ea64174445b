//! Faults of an engine, which can be set at run time.

use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct Faults {
    /// How the version misbehaves, if it does.
    pub bad: Option<Bad>,
    /// Text that crashes the engine when a prompt contains it.
    pub poison: Option<String>,
    /// The limit that responses name, in requests a second from all daemons together.
    pub rate_limit: Option<f64>,
    /// Whether orders are applied even if their fencing number is stale.
    pub ignore_fencing: bool,
    /// Whether new requests are refused because the host is leaving.
    pub leaving: bool,
    /// Delay before an order takes effect, in milliseconds.
    pub order_delay_ms: u64,
}

/// How and when a bad version misbehaves.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Bad {
    pub kind: BadKind,
    /// Delay from the start of the engine until the fault applies, in milliseconds.
    #[serde(default)]
    pub after_ms: u64,
    /// Fewest running requests at which the fault applies.
    #[serde(default)]
    pub above_running: u64,
    /// Prefix of the paths on which the fault applies; all paths if empty.
    #[serde(default)]
    pub path: String,
}

/// The fault of a bad version.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BadKind {
    /// Responds with status 500.
    Fail,
    /// Takes this many times as long per token.
    Slow(f64),
    /// Accepts requests and sends no event.
    Hang,
    /// Responds with invalid server-sent events.
    Misframe,
}

impl Bad {
    /// Reports whether the fault applies to a request now.
    pub fn applies(&self, since_start_ms: u64, running: u64, path: &str) -> bool {
        since_start_ms >= self.after_ms
            && running >= self.above_running
            && path.starts_with(&self.path)
    }
}
