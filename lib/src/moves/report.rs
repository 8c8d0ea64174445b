//! What operators read about a move.

use serde::{Deserialize, Serialize};

use crate::{
    ids::{DaemonId, MoveName, RouteName, ServiceName, VersionName},
    units::WallTime,
};

/// Where a move stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// Its start has not come, or the daemon has yet to learn what others know of it.
    Waiting,
    /// The new version gets the share of its step.
    Running,
    /// The new version serves.
    Finished,
    /// The old version serves.
    #[serde(rename = "taken-back")]
    RolledBack,
}

impl std::fmt::Display for Stage {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Waiting => "waiting",
            Self::Running => "running",
            Self::Finished => "finished",
            Self::RolledBack => "taken-back",
        })
    }
}

/// What was counted of a route since this daemon joined the move.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteReport {
    /// The route.
    pub route: RouteName,
    /// Good attempts of the old version.
    pub old_good: u64,
    /// Bad attempts of the old version.
    pub old_bad: u64,
    /// Good attempts of the new version.
    pub new_good: u64,
    /// Bad attempts of the new version.
    pub new_bad: u64,
}

/// One move as a daemon knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveReport {
    /// The move.
    pub name: MoveName,
    /// The service.
    pub service: ServiceName,
    /// The old version.
    pub from: VersionName,
    /// The new version.
    pub to: VersionName,
    /// Where the move stands.
    pub stage: Stage,
    /// Whether the end is recorded in the platform.
    pub recorded: bool,
    /// Why it ended, if it has.
    pub cause: Option<Box<str>>,
    /// The daemon that decided or recorded the end.
    pub by: Option<DaemonId>,
    /// When it ended, by that daemon's clock.
    pub ended: Option<WallTime>,
    /// Whether a hold was seen although the record says finished.
    pub held_after_finish: bool,
    /// The step of the share, from 0.
    pub step: u8,
    /// How often the move went back from the full share, to compare in the same minutes.
    pub doubts: u32,
    /// The share of the new version now.
    pub share: String,
    /// How near the evidence is to conclusive, in hundredths on a logarithmic scale.
    pub doubt_percent: u32,
    /// The operator's time.
    pub finish_by: WallTime,
    /// What was counted, by route.
    pub routes: Vec<RouteReport>,
}
