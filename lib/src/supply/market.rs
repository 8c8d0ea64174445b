//! What a daemon knows of the cloud's market: offers, refused starts, waves and start times.

use std::time::Duration;

use indexmap::IndexMap;

use crate::{
    ids::{ClassName, ZoneName},
    store::cloud::{HostKind, Offer},
    supply::plan::Pool,
    units::{PricePerHour, Time},
};

/// How long a host is taken to need until it serves, before any start was observed.
const UNKNOWN_START_TIME: Duration = Duration::from_mins(2);
/// The span over which waves are counted.
const WAVE_SPAN: Duration = Duration::from_hours(6);
/// How long after the first notice further ones in the zone belong to the same wave.
const SAME_WAVE: Duration = Duration::from_mins(10);
/// The weight of the newest start time in the smoothed one, in per cent.
const START_TIME_GAIN: u32 = 30;

/// The cloud's market.
#[derive(Clone, Debug, Default)]
pub struct Market {
    offers: IndexMap<Pool, PricePerHour>,
    refused: IndexMap<Pool, Time>,
    waves: IndexMap<ZoneName, Vec<Time>>,
    start_times: IndexMap<ClassName, Duration>,
}

impl Market {
    /// Takes the cloud's offers.
    pub fn offered(&mut self, offers: &[Offer]) {
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

    /// Notes that the cloud refuses starts of a pool until a time.
    pub fn refuse(&mut self, pool: Pool, until: Time) {
        self.refused.insert(pool, until);
    }

    /// Says whether starts of a pool are refused for now.
    pub fn is_refused(&self, now: Time, pool: &Pool) -> bool {
        self.refused.get(pool).is_some_and(|until| now < *until)
    }

    /// Notes that a wave of reclaims takes a zone; notices close together are one wave.
    pub fn wave(&mut self, now: Time, zone: &ZoneName) {
        let waves = self.waves.entry(zone.clone()).or_default();
        waves.retain(|at| now.since(*at) < WAVE_SPAN);
        if waves.last().is_none_or(|last| now.since(*last) >= SAME_WAVE) {
            waves.push(now);
        }
    }

    /// Returns how often waves take a zone.
    pub fn waves_per_hour(&self, now: Time, zone: &ZoneName) -> f64 {
        let recent = |at: &&Time| now.since(**at) < WAVE_SPAN;
        let count = self.waves.get(zone).map_or(0, |waves| waves.iter().filter(recent).count());
        count as f64 * 3600.0 / WAVE_SPAN.as_secs_f64()
    }

    /// Notes how long a host took from the call until it served.
    pub fn started(&mut self, class: &ClassName, took: Duration) {
        let known = self.start_times.entry(class.clone()).or_insert(took);
        *known = (*known * (100 - START_TIME_GAIN) + took * START_TIME_GAIN) / 100;
    }

    /// Returns how long a host of a class needs until it serves.
    pub fn start_time(&self, class: &ClassName) -> Duration {
        self.start_times.get(class).copied().unwrap_or(UNKNOWN_START_TIME)
    }

    /// Returns the longest start time known.
    pub fn longest_start_time(&self) -> Duration {
        self.start_times.values().max().copied().unwrap_or(UNKNOWN_START_TIME)
    }
}
