//! The schedule of a move: the steps of the share, their minimum durations and the deadlines.

use std::time::Duration;

use crate::{declaration::Move, moves::share::Share, units::WallTime};

/// The successive shares of the new version.
pub const STEPS: [Share; 5] =
    [Share(10_000), Share(50_000), Share(200_000), Share(500_000), Share::FULL];

/// The index of the step with the full share.
pub const FULL_STEP: u8 = STEPS.len() as u8 - 1;

/// The minimum and maximum time between the latest write of `finished` and the operator's
/// deadline.
const MARGIN_RANGE: (Duration, Duration) = (Duration::from_secs(4), Duration::from_secs(30));
/// The margin is the duration of the move divided by this, within [`MARGIN_RANGE`].
const MARGIN_DIVISOR: u32 = 20;
/// The minimum and maximum length of the windows over which the versions are compared.
const WINDOW_RANGE: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(10));
/// The number of windows in a slot, as far as [`WINDOW_RANGE`] allows.
const WINDOWS_PER_SLOT: u32 = 40;

/// The times of one move.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Schedule {
    /// The earliest start of the first step.
    pub start: WallTime,
    /// The deadline; the move counts as rolled back from then on unless `finished` is recorded.
    pub finish_by: WallTime,
    /// How long the new version is observed at its full share.
    pub watch: Duration,
    /// The minimum time between a write of `finished` and `finish_by`.
    pub margin: Duration,
    /// The time allotted to each step before the full share.
    pub slot: Duration,
    /// The length of the windows over which the versions are compared.
    pub window: Duration,
}

impl Schedule {
    pub fn from_definition(m: &Move) -> Self {
        let duration = m.finish_by.until(m.start);
        let margin = (duration / MARGIN_DIVISOR).clamp(MARGIN_RANGE.0, MARGIN_RANGE.1);
        let slots = u32::from(FULL_STEP) + 1;
        let slot = duration.saturating_sub(margin + m.watch) / slots;
        let window = (slot / WINDOWS_PER_SLOT).clamp(WINDOW_RANGE.0, WINDOW_RANGE.1);
        Self { start: m.start, finish_by: m.finish_by, watch: m.watch, margin, slot, window }
    }

    /// Returns the latest time at which `finished` may be written.
    pub fn latest_finish(&self) -> WallTime {
        before(self.finish_by, self.margin)
    }

    /// Returns the time at which a move without a recorded end is recorded as rolled back.
    pub fn closing_time(&self) -> WallTime {
        before(self.finish_by, self.margin / 2)
    }

    /// Returns the latest time at which a watch of this duration may begin at full share.
    pub fn latest_watch_start(&self, watch: Duration) -> WallTime {
        before(self.latest_finish(), watch)
    }

    /// Returns the minimum duration of a step before the full share.
    pub fn dwell(&self) -> Duration {
        self.slot * 3 / 4
    }

    /// Returns the minimum duration of the half share after a return from the full share.
    pub fn dwell_after_doubt(&self) -> Duration {
        self.window * 3
    }

    /// Returns the index of the window that contains a time, from 0 at the start.
    pub fn window_at(&self, wall: WallTime) -> u32 {
        (wall.until(self.start).as_millis() / self.window.as_millis().max(1)) as u32
    }

    /// Returns the number of windows from the start to `finish_by`.
    pub fn windows(&self) -> u32 {
        self.window_at(self.finish_by) + 1
    }
}

fn before(time: WallTime, by: Duration) -> WallTime {
    WallTime(time.0.saturating_sub(by.as_millis() as u64))
}
