//! Typed times, token counts and prices.

use std::{
    fmt,
    ops::{Add, Sub},
    str::FromStr,
    time::Duration,
};

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A point on a daemon's monotonic clock, in microseconds since the daemon's start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Time(pub u64);

impl Time {
    /// Returns the duration since `earlier`, or zero if `earlier` is later than `self`.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the time `passed` earlier, or zero if the clock has not run that long.
    #[must_use]
    pub fn ago(self, passed: Duration) -> Time {
        Time(self.0.saturating_sub(passed.as_micros() as u64))
    }
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, rhs: Duration) -> Time {
        Time(self.0.saturating_add(rhs.as_micros() as u64))
    }
}

impl Sub<Duration> for Time {
    type Output = Time;

    fn sub(self, rhs: Duration) -> Time {
        Time(self.0.saturating_sub(rhs.as_micros() as u64))
    }
}

/// A point on the wall clock, in milliseconds since the Unix epoch.
///
/// It is used only for times that operators and the cloud set or read; ordering is decided by
/// generations and revisions.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WallTime(pub u64);

impl WallTime {
    /// Returns the duration from `now` until `self`, or zero if `self` has passed.
    pub fn until(self, now: WallTime) -> Duration {
        Duration::from_millis(self.0.saturating_sub(now.0))
    }
}

impl Add<Duration> for WallTime {
    type Output = WallTime;

    fn add(self, rhs: Duration) -> WallTime {
        WallTime(self.0.saturating_add(rhs.as_millis() as u64))
    }
}

/// The same moment on both clocks of a daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Clock {
    /// The monotonic clock, for intervals.
    pub now: Time,
    /// The wall clock, for operators' times.
    pub wall: WallTime,
}

impl Clock {
    /// Returns the monotonic time at which the wall clock will reach `wall`, or now if it has.
    pub fn time_of(&self, wall: WallTime) -> Time {
        self.now + wall.until(self.wall)
    }
}

impl fmt::Display for WallTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match jiff::Timestamp::from_millisecond(self.0.cast_signed()) {
            Ok(time) => time.fmt(f),
            Err(_) => write!(f, "{}ms", self.0),
        }
    }
}

impl FromStr for WallTime {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let time: jiff::Timestamp = text.parse().map_err(|_| UnitError::WallTime(text.into()))?;
        let millis = u64::try_from(time.as_millisecond());
        millis.map(WallTime).map_err(|_| UnitError::WallTime(text.into()))
    }
}

/// The reason why a text is not a valid quantity.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum UnitError {
    /// The text is not an RFC 3339 time, or is before the Unix epoch.
    #[error("{0:?} is no time such as 2027-01-31T18:00:00Z")]
    WallTime(Box<str>),
    /// The text is not a duration.
    #[error("{0:?} is no duration such as 250ms, 10s or 5m")]
    Duration(Box<str>),
    /// The text is not a price per hour, or is negative or not finite.
    #[error("{0:?} is no price per hour such as 0.25")]
    Price(Box<str>),
}

/// Parses a duration such as `250ms` or `1h 30m`.
pub fn parse_duration(text: &str) -> Result<Duration, UnitError> {
    humantime::parse_duration(text).map_err(|_| UnitError::Duration(text.into()))
}

/// A number of tokens.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Tokens(pub u64);

impl fmt::Display for Tokens {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A price per hour, in millionths of the cloud's currency.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct PricePerHour(pub u64);

impl fmt::Display for PricePerHour {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}

impl FromStr for PricePerHour {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let price: f64 = text.parse().map_err(|_| UnitError::Price(text.into()))?;
        if !price.is_finite() || price < 0.0 {
            return Err(UnitError::Price(text.into()));
        }
        Ok(Self((price * 1e6).round() as u64))
    }
}
