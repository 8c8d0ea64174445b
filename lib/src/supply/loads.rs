//! Plans loads from the weight store: how many hosts load a move's new version, and when.
//!
//! Loads are scheduled backwards from the time by which the move must be finished, and staggered,
//! because the weight store is rate-limited. See `docs/design/supply.md`.

use std::time::Duration;

use crate::{
    ids::VersionName,
    moves::share::Share,
    units::{Time, WallTime},
};

/// The assumed part of a zone's hosts, in per cent, that the zone's share of the demand keeps busy.
const BUSY_PERCENT: u64 = 75;

/// The properties of a move that loads depend on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MoveView {
    /// The old version.
    pub from: VersionName,
    /// The new version.
    pub to: VersionName,
    /// When requests may first go to `to`.
    pub start: WallTime,
    /// When the move must have ended.
    pub finish_by: WallTime,
    /// How long the move is watched at full share.
    pub watch: Duration,
    /// The current share of requests that go to `to`.
    pub share: Share,
    /// Whether the move was aborted or rolled back, so that `to` gets no requests.
    pub is_stopped: bool,
}

/// The time parameters of loads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadTimes {
    /// The assumed duration of one load.
    pub load: Duration,
    /// The minimum time between the starts of two loads in a zone.
    pub spacing: Duration,
}

/// Returns the latest start time of each of `hosts` loads, the earliest first.
///
/// Host `k` must be ready when the share reaches `k` of `hosts` on a linear ramp that ends the
/// watch time before `finish_by`. Computing the times from the last load to the first keeps them
/// `times.spacing` apart.
pub fn latest_load_starts(hosts: u32, m: &MoveView, times: LoadTimes) -> Vec<WallTime> {
    let ramp_end = WallTime(m.finish_by.0.saturating_sub(m.watch.as_millis() as u64));
    let ramp = ramp_end.0.saturating_sub(m.start.0);
    let mut load_starts = vec![WallTime(0); hosts as usize];
    let mut next: Option<u64> = None;
    for k in (0..hosts).rev() {
        let needed = m.start.0 + ramp * u64::from(k) / u64::from(hosts.max(1));
        let unspaced = needed.saturating_sub(times.load.as_millis() as u64);
        let spaced = next.map(|next| next.saturating_sub(times.spacing.as_millis() as u64));
        let load_start = spaced.map_or(unspaced, |spaced| spaced.min(unspaced));
        load_starts[k as usize] = WallTime(load_start);
        next = Some(load_start);
    }
    load_starts
}

/// Returns how many of a zone's `hosts` should run the move's new version now.
///
/// The old version keeps the hosts that its share of the requests needs.
pub fn hosts_for_new_version(now: WallTime, hosts: u32, m: &MoveView, times: LoadTimes) -> u32 {
    if m.is_stopped || hosts == 0 {
        return 0;
    }
    let due =
        latest_load_starts(hosts, m, times).iter().filter(|load_start| **load_start <= now).count()
            as u32;
    let remaining_share = u64::from(Share::FULL.0 - m.share.0);
    let old_hosts = (u64::from(hosts) * BUSY_PERCENT * remaining_share)
        .div_ceil(100 * u64::from(Share::FULL.0));
    let max_on_new = hosts - (old_hosts as u32).min(hosts);
    due.min(max_on_new.max(1))
}

/// A token bucket that limits how often one lease holder makes hosts read from the weight store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadBudget {
    spacing: Duration,
    burst: u32,
    available_loads: u32,
    refilled_at: Time,
}

impl LoadBudget {
    /// Creates a budget that earns one load per `spacing`, up to `burst` loads.
    pub fn new(spacing: Duration, burst: u32) -> Self {
        Self { spacing, burst, available_loads: burst, refilled_at: Time(0) }
    }

    /// Returns how many loads may start now.
    pub fn available(&mut self, now: Time) -> u32 {
        let spacing = (self.spacing.as_micros() as u64).max(1);
        let earned = now.since(self.refilled_at).as_micros() as u64 / spacing;
        if earned > 0 {
            self.available_loads =
                self.available_loads.saturating_add(earned.min(u64::from(self.burst)) as u32);
            self.available_loads = self.available_loads.min(self.burst);
            self.refilled_at = Time(self.refilled_at.0 + earned * spacing);
        }
        self.available_loads
    }

    /// Deducts loads that start now.
    pub fn consume(&mut self, count: u32) {
        self.available_loads = self.available_loads.saturating_sub(count);
    }
}
