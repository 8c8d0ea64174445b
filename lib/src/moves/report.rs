//! Reports about moves, for operators.

use serde::{Deserialize, Serialize};

use crate::{
    ids::{DaemonId, MoveName, RouteName, ServiceName, VersionName},
    units::WallTime,
};

/// The stage of a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// The start time is in the future, or the daemon has not received the state of the move yet.
    Waiting,
    /// The new version gets the share of the current step.
    Running,
    /// The new version serves all requests.
    Finished,
    /// The old version serves all requests.
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

/// The attempts on a route since this daemon joined the move.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteReport {
    pub route: RouteName,
    pub old_good: u64,
    pub old_bad: u64,
    pub new_good: u64,
    pub new_bad: u64,
}

/// The state of one move as known to one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveReport {
    pub name: MoveName,
    pub service: ServiceName,
    /// The old version.
    pub from: VersionName,
    /// The new version.
    pub to: VersionName,
    pub stage: Stage,
    /// Whether the end is recorded in the platform.
    pub recorded: bool,
    /// The reason for the end, if the move has ended.
    pub cause: Option<Box<str>>,
    /// The daemon that recorded the end, or else decided on the abort.
    pub by: Option<DaemonId>,
    /// The time of the end by that daemon's clock.
    pub ended: Option<WallTime>,
    /// Whether an abort was received although the end record says `finished`.
    pub held_after_finish: bool,
    /// The index of the current step, from 0.
    pub step: u8,
    /// The number of times the move returned from the full share to half share, to compare the
    /// versions over the same period.
    pub doubts: u32,
    /// The share of requests that the new version gets now, in per cent.
    pub share: String,
    /// The largest test statistic as a percentage of its threshold, on a logarithmic scale.
    pub doubt_percent: u32,
    /// The deadline that the operator has declared.
    pub finish_by: WallTime,
    pub routes: Vec<RouteReport>,
}
