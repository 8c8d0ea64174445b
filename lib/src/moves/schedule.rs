//! The schedule of a move: when each step of the share may begin, and when it is too late.

use std::time::Duration;

use crate::{declaration::Move, moves::share::Share, units::WallTime};

/// The shares that the new version gets, one after the other.
pub const STEPS: [Share; 5] =
    [Share(10_000), Share(50_000), Share(200_000), Share(500_000), Share::FULL];

/// The step at which the new version has its full share.
pub const FULL_STEP: u8 = STEPS.len() as u8 - 1;

/// The shortest and longest time between the last write of `finished` and the operator's time.
const MARGIN_RANGE: (Duration, Duration) = (Duration::from_secs(4), Duration::from_secs(30));
/// The part of a move's time that the margin takes, as a divisor.
const MARGIN_DIVISOR: u32 = 20;
/// The shortest and longest window over which the versions are compared.
const WINDOW_RANGE: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(10));
/// How many windows a slot holds, within the bounds of [`WINDOW`].
const WINDOWS_PER_SLOT: u32 = 40;

/// The times of one move.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Schedule {
    /// When the first step may begin.
    pub start: WallTime,
    /// When the move counts as taken back unless `finished` is recorded.
    pub finish_by: WallTime,
    /// How long the new version is watched at its full share.
    pub watch: Duration,
    /// How long before `finish_by` the last write of `finished` may be sent.
    pub margin: Duration,
    /// The time set aside for each step before the full share.
    pub slot: Duration,
    /// The length of the windows over which the versions are compared.
    pub window: Duration,
}

impl Schedule {
    /// Makes the plan of a declared move.
    pub fn of(m: &Move) -> Self {
        let duration = m.finish_by.until(m.start);
        let margin = (duration / MARGIN_DIVISOR).clamp(MARGIN_RANGE.0, MARGIN_RANGE.1);
        let slots = u32::from(FULL_STEP) + 1;
        let slot = duration.saturating_sub(margin + m.watch) / slots;
        let window = (slot / WINDOWS_PER_SLOT).clamp(WINDOW_RANGE.0, WINDOW_RANGE.1);
        Self { start: m.start, finish_by: m.finish_by, watch: m.watch, margin, slot, window }
    }

    /// Returns the last time at which `finished` may be written.
    pub fn latest_finish(&self) -> WallTime {
        before(self.finish_by, self.margin)
    }

    /// Returns when a move without a recorded end is recorded as taken back.
    pub fn closing_time(&self) -> WallTime {
        before(self.finish_by, self.margin / 2)
    }

    /// Returns the last time at which a watch of this length may begin.
    pub fn latest_watch_start(&self, watch: Duration) -> WallTime {
        before(self.latest_finish(), watch)
    }

    /// Returns the shortest time that a step before the full share lasts.
    pub fn dwell(&self) -> Duration {
        self.slot * 3 / 4
    }

    /// Returns the shortest time at half share after a doubt at full share.
    pub fn dwell_after_doubt(&self) -> Duration {
        self.window * 3
    }

    /// Returns the number of the window that a time falls into.
    pub fn window_at(&self, wall: WallTime) -> u32 {
        (wall.until(self.start).as_millis() / self.window.as_millis().max(1)) as u32
    }

    /// Returns how many windows the move has.
    pub fn windows(&self) -> u32 {
        self.window_at(self.finish_by) + 1
    }
}

fn before(time: WallTime, by: Duration) -> WallTime {
    WallTime(time.0.saturating_sub(by.as_millis() as u64))
}
