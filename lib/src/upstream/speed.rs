//! How fast upstreams work that share their hosts with other work, as they report it.
//!
//! Load pattern: upstreams of unequal hosts, some of which take 2.5 times their usual time for some
//! hundred milliseconds, while each of many daemons sees one upstream only once in several seconds.
//! A prediction uses the latest sample of any daemon while it is recent, and after that the usual
//! pace, on which such short intervals have no effect. Daemons exchange only their own samples, with
//! their age, so that passing a sample on never makes it look younger.
//!
//! See `docs/design/upstream-speed.md`.

use std::{fmt, num::ParseFloatError, str::FromStr, time::Duration};

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{ids::UpstreamId, units::Time};

/// The least pace that is valid, in percent; work that takes no time at all is no measurement.
const MIN_PERCENT: f64 = 1.0;
/// The greatest pace that is valid, in percent. No caller waits for an upstream that is slower.
const MAX_PERCENT: f64 = 10_000.0;
/// Time for which a sample counts as the current pace: the length of the intervals in which an
/// upstream's pace stays the same.
const SAMPLE_TTL: Duration = Duration::from_millis(600);
/// Time for which an own sample is reported to peers. What is left of [`SAMPLE_TTL`] is for its way.
const REPORT_TTL: Duration = Duration::from_millis(500);
/// Time after the last sample for which the usual pace counts; after it, other work on the host may
/// have begun or ended.
const USUAL_TTL: Duration = Duration::from_secs(60);
/// Interval between two samples that count for the usual pace, so that many responses within one slow
/// interval count once.
const USUAL_SAMPLE_INTERVAL: Duration = SAMPLE_TTL;
/// Number of samples from which the usual pace is taken. With 15 in 100 intervals slow, less than one
/// in 10,000 sets of nine has a slow lower quartile.
const USUAL_SAMPLES: usize = 9;
/// Number of own samples from which those of peers no longer count for the usual pace. Peers mostly
/// report samples that differ from it.
const MIN_OWN_SAMPLES: usize = 4;
/// Relative difference above which a sample is reported to peers.
const REPORTED_DIFFERENCE: f64 = 0.2;
/// Relative change above which a new usual pace is logged.
const LOGGED_CHANGE: f64 = 0.5;
/// Interval at which a sample is reported although it is as usual, for daemons that started later.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_secs(10);
/// Interval between two logs of malformed values of one upstream.
const MALFORMED_LOG_INTERVAL: Duration = Duration::from_secs(60);
/// Maximum number of samples in a message to peers.
pub const MAX_REPORTS: usize = 64;

/// How long work takes at an upstream, relative to the usual time: from 1% to 10,000%.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Pace(f64);

impl Eq for Pace {}

/// Why a text is not a [`Pace`].
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum PaceError {
    #[error("{0}")]
    NotANumber(#[from] ParseFloatError),
    #[error("a pace must be from {MIN_PERCENT} to {MAX_PERCENT} percent")]
    OutOfRange,
}

impl Pace {
    /// Returns the pace, or `None` if it is out of range or not a number.
    pub fn from_percent(percent: f64) -> Option<Self> {
        (MIN_PERCENT..=MAX_PERCENT).contains(&percent).then_some(Self(percent))
    }

    pub fn percent(self) -> f64 {
        self.0
    }

    /// Returns the factor by which work takes longer than usual.
    pub fn factor(self) -> f64 {
        self.0 / 100.0
    }

    /// Returns the difference to another pace, relative to that one.
    fn difference(self, other: Self) -> f64 {
        (self.0 - other.0).abs() / other.0
    }
}

impl fmt::Display for Pace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}%", self.0)
    }
}

impl FromStr for Pace {
    type Err = PaceError;

    /// Parses a number of percent, with or without the percent sign.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = text.trim().trim_end_matches('%');
        Self::from_percent(number.parse()?).ok_or(PaceError::OutOfRange)
    }
}

/// An own sample, for peers.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    pub upstream: UpstreamId,
    pub pace: Pace,
    /// The time since the response that showed this.
    pub age: Duration,
}

/// The wire format of a [`Report`]: the pace in percent and the age in milliseconds. Both are signed
/// so that an absurd value costs only this report and not the whole message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportWire(pub UpstreamId, pub i64, pub i64);

impl From<Report> for ReportWire {
    fn from(report: Report) -> Self {
        let percent = report.pace.0.round() as i64;
        Self(report.upstream, percent, report.age.as_millis() as i64)
    }
}

/// Why a [`ReportWire`] is ignored.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ReportError {
    #[error("pace of {0}% is out of range")]
    Pace(i64),
    #[error("age of {0} ms is negative")]
    Age(i64),
}

impl TryFrom<ReportWire> for Report {
    type Error = ReportError;

    fn try_from(ReportWire(upstream, percent, age): ReportWire) -> Result<Self, Self::Error> {
        let pace = Pace::from_percent(percent as f64).ok_or(ReportError::Pace(percent))?;
        let age = u64::try_from(age).map_err(|_| ReportError::Age(age))?;
        Ok(Self { upstream, pace, age: Duration::from_millis(age) })
    }
}

/// A usual pace that is logged: one that is first known, or has changed much.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    pub upstream: UpstreamId,
    pub usual: Pace,
    pub before: Option<Pace>,
}

/// The last samples that count for the usual pace, one for each interval.
#[derive(Clone, Copy, Debug, Default)]
struct Samples {
    paces: [f64; USUAL_SAMPLES],
    /// Number of samples since the start; the ring holds the last of them.
    count: usize,
    last_at: Time,
}

impl Samples {
    fn len(&self) -> usize {
        self.count.min(USUAL_SAMPLES)
    }

    /// Adds a sample unless the last one is too recent, and reports whether it was added.
    fn push(&mut self, at: Time, pace: Pace) -> bool {
        let is_due = self.count == 0 || at.since(self.last_at) >= USUAL_SAMPLE_INTERVAL;
        if is_due {
            self.paces[self.count % USUAL_SAMPLES] = pace.0;
            self.count += 1;
            self.last_at = at;
        }
        is_due
    }
}

#[derive(Clone, Copy, Debug)]
struct Sample {
    at: Time,
    pace: Pace,
}

/// The speed of one upstream.
#[derive(Clone, Debug, Default)]
pub struct Speed {
    /// The latest sample of any daemon.
    latest: Option<Sample>,
    /// The latest own sample, if peers should know of it.
    reported: Option<Sample>,
    own: Samples,
    of_peers: Samples,
    usual: Option<Pace>,
    logged: Option<Pace>,
    announced_at: Option<Time>,
    malformed_logged_at: Option<Time>,
}

impl Speed {
    /// Returns the factor by which work takes longer than usual now, or `None` if the upstream has not
    /// reported a pace for long.
    pub fn factor(&self, now: Time) -> Option<f64> {
        let latest = self.latest?;
        let age = now.since(latest.at);
        if age < SAMPLE_TTL {
            return Some(latest.pace.factor());
        }
        self.usual.filter(|_| age < USUAL_TTL).map(Pace::factor)
    }

    /// Returns the usual pace, on which short slow intervals have no effect.
    pub fn usual(&self) -> Option<Pace> {
        self.usual
    }

    /// Records the pace in a response. Returns the usual pace before and now if the change is to be
    /// logged.
    pub fn record(&mut self, now: Time, pace: Pace) -> Option<(Option<Pace>, Pace)> {
        // Peers rely on a recent sample until a later one arrives, so that a return to the usual pace
        // counts as different, too.
        let known = [self.usual, self.latest.map(|latest| latest.pace)];
        let is_different =
            known.into_iter().flatten().any(|known| pace.difference(known) > REPORTED_DIFFERENCE);
        let is_announced =
            self.announced_at.is_some_and(|at| now.since(at) < ANNOUNCEMENT_INTERVAL);
        let is_known = self.own.len() >= MIN_OWN_SAMPLES && is_announced;
        if is_different || !is_known {
            self.reported = Some(Sample { at: now, pace });
            self.announced_at = Some(now);
        } else if self.reported.is_some_and(|reported| reported.at < now) {
            self.reported = None;
        }
        self.observe(now, pace);
        if self.own.push(now, pace) { self.update_usual() } else { None }
    }

    /// Applies a peer's sample. One that is too old is ignored, as is one that an equally late or later
    /// sample has replaced.
    pub fn merge(&mut self, now: Time, pace: Pace, age: Duration) -> Option<(Option<Pace>, Pace)> {
        if age >= SAMPLE_TTL {
            return None;
        }
        let at = now.ago(age);
        self.observe(at, pace);
        let counts = self.own.len() < MIN_OWN_SAMPLES && self.of_peers.push(at, pace);
        if counts { self.update_usual() } else { None }
    }

    fn observe(&mut self, at: Time, pace: Pace) {
        if self.latest.is_none_or(|latest| latest.at < at) {
            self.latest = Some(Sample { at, pace });
        }
    }

    /// Takes the lower quartile of the samples as the usual pace: other work on the host makes an
    /// upstream slower than usual for a while and never faster.
    fn update_usual(&mut self) -> Option<(Option<Pace>, Pace)> {
        let mut paces = [0.0; 2 * USUAL_SAMPLES];
        let mut count = self.own.len();
        paces[..count].copy_from_slice(&self.own.paces[..count]);
        if count < MIN_OWN_SAMPLES {
            let of_peers = self.of_peers.len();
            paces[count..count + of_peers].copy_from_slice(&self.of_peers.paces[..of_peers]);
            count += of_peers;
        }
        let paces = &mut paces[..count];
        paces.sort_unstable_by(f64::total_cmp);
        let usual = Pace(*paces.get(count.saturating_sub(1) / 4)?);
        self.usual = Some(usual);
        let before = self.logged;
        let is_logged = before.is_none_or(|before| usual.difference(before) > LOGGED_CHANGE);
        is_logged.then(|| {
            self.logged = Some(usual);
            (before, usual)
        })
    }

    /// Records a malformed pace, which has no other effect, and reports whether it is to be logged.
    pub fn record_malformed(&mut self, now: Time) -> bool {
        let is_due =
            self.malformed_logged_at.is_none_or(|at| now.since(at) >= MALFORMED_LOG_INTERVAL);
        if is_due {
            self.malformed_logged_at = Some(now);
        }
        is_due
    }

    /// Returns the latest own sample and its age if peers should know of it.
    pub fn report(&self, now: Time) -> Option<(Pace, Duration)> {
        let reported = self.reported?;
        let age = now.since(reported.at);
        (age < REPORT_TTL).then_some((reported.pace, age))
    }
}

/// Limits the reports of a message to the latest [`MAX_REPORTS`].
pub fn limit_reports(mut reports: Vec<Report>) -> Vec<Report> {
    if reports.len() > MAX_REPORTS {
        reports.select_nth_unstable_by_key(MAX_REPORTS, |report| report.age);
        reports.truncate(MAX_REPORTS);
    }
    reports
}
