//! Plans loads from the weight store: which hosts load a move's new version, and when.
//!
//! The loads are planned back from the time by which the move must be finished, and staggered, as
//! the weight store is rate-limited. See `docs/design/supply.md`.

use std::time::Duration;

use crate::{
    ids::VersionName,
    moves::share::Share,
    units::{Time, WallTime},
};

/// The part of a zone's hosts, in per cent, that its share of the demand keeps busy.
const BUSY_PERCENT: u64 = 75;

/// A move as far as loads are concerned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MoveView {
    /// The version that serves before.
    pub from: VersionName,
    /// The version that is to serve.
    pub to: VersionName,
    /// When requests may first go to `to`.
    pub start: WallTime,
    /// When the move must have ended.
    pub finish_by: WallTime,
    /// How long the move is watched at full share.
    pub watch: Duration,
    /// The share of requests that go to `to` now.
    pub share: Share,
    /// Whether the move was held or taken back, so that `to` gets nothing more.
    pub held: bool,
}

/// How long loads take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadTimes {
    /// How long one load takes.
    pub load: Duration,
    /// How long after one load of this zone the next may begin.
    pub spacing: Duration,
}

/// Returns when each of `hosts` loads begins at the latest, the earliest first.
///
/// Host `k` must be ready when the share reaches `k` of `hosts` on an even ramp that leaves the
/// watch before the end; walking back from the last load keeps them apart.
pub fn latest_begins(hosts: u32, m: &MoveView, times: LoadTimes) -> Vec<WallTime> {
    let full = WallTime(m.finish_by.0.saturating_sub(m.watch.as_millis() as u64));
    let ramp = full.0.saturating_sub(m.start.0);
    let mut begins = vec![WallTime(0); hosts as usize];
    let mut next: Option<u64> = None;
    for k in (0..hosts).rev() {
        let needed = m.start.0 + ramp * u64::from(k) / u64::from(hosts.max(1));
        let own = needed.saturating_sub(times.load.as_millis() as u64);
        let spaced = next.map(|next| next.saturating_sub(times.spacing.as_millis() as u64));
        let begin = spaced.map_or(own, |spaced| spaced.min(own));
        begins[k as usize] = WallTime(begin);
        next = Some(begin);
    }
    begins
}

/// Returns how many of a zone's `hosts` should run the move's new version now.
///
/// The old version keeps what its share of the requests needs.
pub fn hosts_on_new(now: WallTime, hosts: u32, m: &MoveView, times: LoadTimes) -> u32 {
    if m.held || hosts == 0 {
        return 0;
    }
    let due = latest_begins(hosts, m, times).iter().filter(|begin| **begin <= now).count() as u32;
    let left = u64::from(Share::FULL.0 - m.share.0);
    let kept = (u64::from(hosts) * BUSY_PERCENT * left).div_ceil(100 * u64::from(Share::FULL.0));
    let most = hosts - (kept as u32).min(hosts);
    due.min(most.max(1))
}

/// The rate at which one holder may read from the weight store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadBudget {
    spacing: Duration,
    burst: u32,
    left: u32,
    refilled: Time,
}

impl LoadBudget {
    /// Makes a budget of one load in each `spacing`, with `burst` loads at once after a rest.
    pub fn new(spacing: Duration, burst: u32) -> Self {
        Self { spacing, burst, left: burst, refilled: Time(0) }
    }

    /// Returns how many loads may begin now.
    pub fn available(&mut self, now: Time) -> u32 {
        let spacing = (self.spacing.as_micros() as u64).max(1);
        let earned = now.since(self.refilled).as_micros() as u64 / spacing;
        if earned > 0 {
            self.left = self.left.saturating_add(earned.min(u64::from(self.burst)) as u32);
            self.left = self.left.min(self.burst);
            self.refilled = Time(self.refilled.0 + earned * spacing);
        }
        self.left
    }

    /// Takes loads that begin now.
    pub fn take(&mut self, count: u32) {
        self.left = self.left.saturating_sub(count);
    }
}
