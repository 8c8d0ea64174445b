//! What can go wrong with an engine, set at run time.

use serde::{Deserialize, Serialize};

/// The faults of one engine.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct Faults {
    /// How the version misbehaves, if it does.
    pub bad: Option<Bad>,
    /// A text in a prompt that makes the engine crash.
    pub poison: Option<String>,
    /// Whether orders are taken whatever their fencing number.
    pub ignore_fencing: bool,
    /// Whether new requests are refused as the host is leaving.
    pub leaving: bool,
    /// How long orders take until they have effect, in milliseconds.
    pub order_delay_ms: u64,
}

/// How and when a bad version misbehaves.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Bad {
    /// What it does wrong.
    pub kind: BadKind,
    /// How long after its start it begins, in milliseconds.
    #[serde(default)]
    pub after_ms: u64,
    /// How many requests it must run at once before it begins.
    #[serde(default)]
    pub above_running: u64,
    /// The beginning of the paths on which it does; all if empty.
    #[serde(default)]
    pub path: String,
}

/// What a bad version does wrong.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BadKind {
    /// It answers 500.
    Fail,
    /// It takes this many times as long.
    Slow(f64),
    /// It takes requests and never answers.
    Hang,
    /// It answers with events that are no valid events.
    Misframe,
}

impl Bad {
    /// Says whether the version misbehaves for a request now.
    pub fn applies(&self, since_start_ms: u64, running: u64, path: &str) -> bool {
        since_start_ms >= self.after_ms
            && running >= self.above_running
            && path.starts_with(&self.path)
    }
}
