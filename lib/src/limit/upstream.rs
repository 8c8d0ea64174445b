//! Limits that upstreams name in their responses, as requests a second from all daemons together.
//!
//! Load pattern: an upstream in need names a limit, while many daemons send to it and each knows only
//! its own requests. Every first send, retry, resumed stream and hedge counts. A few daemons, called
//! senders, share the limit in equal parts; the others send nothing to the upstream. The rank among
//! the known daemons, by rendezvous hashing, decides who sends, so no messages are needed for it. A
//! sender may save up one request, and the number of senders rises with the limit, so that all of
//! them together stay close to it even if they send at the same time.
//!
//! See `docs/design/limits.md`.

use std::{fmt, num::ParseFloatError, str::FromStr, time::Duration};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{
    ids::UpstreamId,
    limit::bucket::{Bucket, CachedPosition},
    units::Time,
};

/// The share of a limit that is used; the rest is for requests that are delayed on their way.
const USED_SHARE: f64 = 0.9;
/// The number of senders at the lowest limit.
const MIN_SENDERS: u32 = 4;
/// The limit that is used for lower ones, since only a response shows that a limit has ended.
const MIN_RATE: f64 = 0.05;
/// The time for which a limit holds after the last response that named it.
const LIMIT_TTL: Duration = Duration::from_secs(30);
/// As [`LIMIT_TTL`], in intervals between requests at the limit, if these are longer.
const LIMIT_TTL_INTERVALS: f64 = 4.0;
/// The time for which it is reported that a limit has ended.
const ENDED_TTL: Duration = Duration::from_secs(3);
/// The interval at which a limit that is still named is reported to peers.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);
const MAX_UPSTREAMS: usize = 1024;

/// A number of requests a second, finite and not negative.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct RequestRate(f64);

impl Eq for RequestRate {}

/// Why a text is not a [`RequestRate`].
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum RequestRateError {
    #[error("{0}")]
    NotANumber(#[from] ParseFloatError),
    #[error("a rate must be finite and not negative")]
    OutOfRange,
}

impl RequestRate {
    /// Returns the rate, or `None` if it is not finite or negative.
    pub fn new(per_second: f64) -> Option<Self> {
        (per_second.is_finite() && per_second >= 0.0).then_some(Self(per_second))
    }

    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for RequestRate {
    type Err = RequestRateError;

    /// Parses a decimal number, with or without the unit `/s`.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = text.trim().trim_end_matches("/s");
        Self::new(number.parse()?).ok_or(RequestRateError::OutOfRange)
    }
}

/// A daemon's, or a traffic thread's, position among all that may send to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    pub rank: u32,
    /// The number of all, including this one.
    pub count: u32,
}

/// A change of a limit, for logs.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    pub upstream: UpstreamId,
    /// The limit, or `None` if there is none any more.
    pub rate: Option<RequestRate>,
}

/// What a daemon knows of an upstream's limit, for its peers.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    pub upstream: UpstreamId,
    /// The limit, or `None` if it has ended.
    pub rate: Option<RequestRate>,
    /// The time since the response that showed this.
    pub age: Duration,
}

/// The wire format of a [`Report`]; the age is in milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReportWire(pub UpstreamId, pub Option<f64>, pub u64);

impl From<Report> for ReportWire {
    fn from(report: Report) -> Self {
        let rate = report.rate.map(RequestRate::per_second);
        Self(report.upstream, rate, report.age.as_millis() as u64)
    }
}

impl From<ReportWire> for Report {
    fn from(ReportWire(upstream, rate, age): ReportWire) -> Self {
        let rate = rate.and_then(RequestRate::new);
        Self { upstream, rate, age: Duration::from_millis(age) }
    }
}

#[derive(Clone, Debug)]
struct Limit {
    rate: Option<RequestRate>,
    /// When a response first named a limit without interruption.
    named_at: Time,
    /// When a response last showed the limit or its end.
    observed_at: Time,
    bucket: Bucket,
    position: CachedPosition,
    reported_at: Time,
}

impl Limit {
    fn is_expired(&self, now: Time) -> bool {
        let ttl = match self.rate {
            Some(rate) => {
                let interval = Duration::from_secs_f64(1.0 / rate.0.max(MIN_RATE));
                LIMIT_TTL.max(interval.mul_f64(LIMIT_TTL_INTERVALS))
            }
            None => ENDED_TTL,
        };
        now.since(self.observed_at) >= ttl
    }

    /// Returns the requests a second that a daemon in this position may send.
    fn share(&self, position: Position) -> f64 {
        let rate = self.rate.map_or(0.0, |rate| rate.0.max(MIN_RATE));
        let senders = MIN_SENDERS.saturating_add(rate as u32).min(position.count.max(1));
        if position.rank < senders { rate * USED_SHARE / f64::from(senders) } else { 0.0 }
    }
}

/// The limits of all upstreams that name one.
#[derive(Clone, Debug, Default)]
pub struct UpstreamLimits {
    limits: IndexMap<UpstreamId, Limit>,
    has_news: bool,
    changes: Vec<Change>,
}

impl UpstreamLimits {
    /// Reports whether no upstream names a limit.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    /// Records the limit that a response names, or that it names none. The request of the response was
    /// sent at `sent_at`: a response to one that was sent before the limit was named does not end it.
    pub fn record(
        &mut self,
        now: Time,
        upstream: &UpstreamId,
        sent_at: Time,
        rate: Option<RequestRate>,
    ) {
        let known = self.limits.get(upstream);
        if rate.is_none()
            && known.is_none_or(|limit| limit.rate.is_none() || sent_at <= limit.named_at)
        {
            return;
        }
        self.observe(now, upstream, now, rate);
    }

    fn observe(&mut self, now: Time, upstream: &UpstreamId, at: Time, rate: Option<RequestRate>) {
        if !self.limits.contains_key(upstream) && self.limits.len() >= MAX_UPSTREAMS {
            self.limits.shift_remove_index(0);
        }
        let limit = self.limits.entry(upstream.clone()).or_insert(Limit {
            rate: None,
            named_at: at,
            observed_at: at,
            bucket: Bucket::empty(now),
            position: CachedPosition::default(),
            reported_at: now,
        });
        if limit.rate.is_none() && rate.is_some() {
            (limit.named_at, limit.bucket) = (at, Bucket::empty(now));
        }
        let is_changed = limit.rate != rate;
        limit.rate = rate;
        limit.observed_at = at;
        if is_changed {
            self.changes.push(Change { upstream: upstream.clone(), rate });
        }
        if is_changed || now.since(limit.reported_at) >= REPORT_INTERVAL {
            limit.reported_at = now;
            self.has_news = true;
        }
    }

    /// Applies the reports of a peer; the latest observation counts.
    pub fn merge(&mut self, now: Time, reports: impl IntoIterator<Item = Report>) {
        let had_news = self.has_news;
        for report in reports {
            let at = now.ago(report.age);
            let known = self.limits.get(&report.upstream);
            let is_later = known.is_none_or(|limit| limit.observed_at < at);
            if is_later && (known.is_some() || report.rate.is_some()) && report.age < LIMIT_TTL {
                self.observe(now, &report.upstream, at, report.rate);
            }
        }
        self.has_news = had_news;
    }

    /// Returns what peers may lack.
    pub fn reports(&self, now: Time) -> Vec<Report> {
        let current = self.limits.iter().filter(|(_, limit)| !limit.is_expired(now));
        let report = |(upstream, limit): (&UpstreamId, &Limit)| Report {
            upstream: upstream.clone(),
            rate: limit.rate,
            age: now.since(limit.observed_at),
        };
        current.map(report).collect()
    }

    /// Reports whether a limit has changed or has to be reported again, and resets it.
    pub fn take_news(&mut self) -> bool {
        std::mem::take(&mut self.has_news)
    }

    /// Removes and returns the limits that have changed since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Returns the time until a request may be sent to an upstream; zero if it may be sent now.
    /// `position` returns this daemon's position among all that may send to the upstream.
    pub fn wait(
        &mut self,
        now: Time,
        upstream: &UpstreamId,
        position: impl Fn(&UpstreamId) -> Position,
    ) -> Duration {
        let Some(limit) = self.limits.get_mut(upstream).filter(|limit| limit.rate.is_some()) else {
            return Duration::ZERO;
        };
        if limit.is_expired(now) {
            return Duration::ZERO;
        }
        let position = limit.position.get(now, upstream, position);
        limit.bucket.wait(now, limit.share(position))
    }

    /// Returns the upstreams to which no request may be sent now, and the time until one may be.
    pub fn exhausted(
        &mut self,
        now: Time,
        position: impl Fn(&UpstreamId) -> Position,
    ) -> Vec<(UpstreamId, Duration)> {
        let upstreams: Vec<_> = self.limits.keys().cloned().collect();
        let waits = upstreams.into_iter().map(|upstream| {
            let wait = self.wait(now, &upstream, &position);
            (upstream, wait)
        });
        waits.filter(|(_, wait)| !wait.is_zero()).collect()
    }

    /// Counts a request that is sent to an upstream.
    pub fn record_sent(&mut self, upstream: &UpstreamId) {
        if let Some(limit) = self.limits.get_mut(upstream) {
            limit.bucket.take();
        }
    }

    /// Removes the limit of an upstream that is gone or has restarted.
    pub fn remove(&mut self, upstream: &UpstreamId) {
        self.limits.shift_remove(upstream);
    }

    /// Removes the limits that no response has named for long.
    pub fn expire(&mut self, now: Time) {
        let expired = self.limits.extract_if(.., |_, limit| limit.is_expired(now));
        let ended = expired.filter(|(_, limit)| limit.rate.is_some());
        self.changes.extend(ended.map(|(upstream, _)| Change { upstream, rate: None }));
    }
}
