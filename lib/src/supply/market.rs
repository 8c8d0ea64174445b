//! The state of the cloud's market as known to one daemon: offers, refused starts, waves of
//! reclaims and start times.

use std::time::Duration;

use indexmap::IndexMap;

use crate::{
    ids::{ClassName, ZoneName},
    store::cloud::{HostKind, Offer},
    supply::plan::Pool,
    units::{PricePerHour, Time},
};

/// The start time assumed for a host before any start is observed.
const DEFAULT_START_TIME: Duration = Duration::from_mins(2);
/// The time window over which the rate of waves is computed.
const WAVE_RATE_WINDOW: Duration = Duration::from_hours(6);
/// How long after the start of a wave further notices in its zone belong to the same wave.
const WAVE_MERGE_WINDOW: Duration = Duration::from_mins(10);
/// The weight of the latest start time in the smoothed one, in per cent.
const START_TIME_GAIN_PERCENT: u32 = 30;

#[derive(Clone, Debug, Default)]
pub struct Market {
    offers: IndexMap<Pool, PricePerHour>,
    refused_until: IndexMap<Pool, Time>,
    wave_times: IndexMap<ZoneName, Vec<Time>>,
    start_times: IndexMap<ClassName, Duration>,
}

impl Market {
    /// Replaces the offers with those of the cloud.
    pub fn set_offers(&mut self, offers: &[Offer]) {
        let pool = |offer: &Offer| Pool {
            zone: offer.zone.clone(),
            class: offer.class.clone(),
            reclaimable: offer.kind == HostKind::Reclaimable,
        };
        self.offers = offers.iter().map(|offer| (pool(offer), offer.price)).collect();
    }

    /// Returns the price of a pool, if it is offered.
    pub fn price(&self, pool: &Pool) -> Option<PricePerHour> {
        self.offers.get(pool).copied()
    }

    /// Returns the pools on offer.
    pub fn pools(&self) -> impl Iterator<Item = &Pool> {
        self.offers.keys()
    }

    /// Records that starts of a pool are to be avoided until a time, as the cloud refuses them.
    pub fn record_refusal(&mut self, pool: Pool, until: Time) {
        self.refused_until.insert(pool, until);
    }

    /// Reports whether starts of a pool are currently refused.
    pub fn is_refused(&self, now: Time, pool: &Pool) -> bool {
        self.refused_until.get(pool).is_some_and(|until| now < *until)
    }

    /// Records a wave of reclaims in a zone, unless it belongs to the last recorded wave.
    pub fn record_wave(&mut self, now: Time, zone: &ZoneName) {
        let waves = self.wave_times.entry(zone.clone()).or_default();
        waves.retain(|at| now.since(*at) < WAVE_RATE_WINDOW);
        if waves.last().is_none_or(|last| now.since(*last) >= WAVE_MERGE_WINDOW) {
            waves.push(now);
        }
    }

    /// Returns the number of waves per hour in a zone, over the last 6 h.
    pub fn waves_per_hour(&self, now: Time, zone: &ZoneName) -> f64 {
        let recent = |at: &&Time| now.since(**at) < WAVE_RATE_WINDOW;
        let count =
            self.wave_times.get(zone).map_or(0, |waves| waves.iter().filter(recent).count());
        count as f64 * 3600.0 / WAVE_RATE_WINDOW.as_secs_f64()
    }

    /// Records the time from when a host was first known until it was listed as running.
    pub fn record_start(&mut self, class: &ClassName, new_start_time: Duration) {
        let known = self.start_times.entry(class.clone()).or_insert(new_start_time);
        *known = (*known * (100 - START_TIME_GAIN_PERCENT)
            + new_start_time * START_TIME_GAIN_PERCENT)
            / 100;
    }

    /// Returns the smoothed start time of hosts of a class.
    pub fn start_time(&self, class: &ClassName) -> Duration {
        self.start_times.get(class).copied().unwrap_or(DEFAULT_START_TIME)
    }

    /// Returns the longest smoothed start time of all classes.
    pub fn longest_start_time(&self) -> Duration {
        self.start_times.values().max().copied().unwrap_or(DEFAULT_START_TIME)
    }
}
