//! Upstreams that announce that they fall over when they have to reject too many requests in a second.
//!
//! Load pattern: many daemons send to upstreams with few slots, and each knows the work of the others
//! only as of some hundred milliseconds ago. The places of an upstream are its slots, since the queue
//! of a brittle upstream may be short. What all daemons are known to have there leaves some places
//! free, which the daemons divide, so that together they fill them even if all send at once: the parts
//! that are left over go to the next in a rendezvous order, turn by turn. While much
//! is free, a daemon does not wait for its part, as it is unlikely that all send at once. When less is
//! free, it does so only at its home, the one upstream at which it counts among the few that may: with
//! more daemons than places, each still has an upstream that it may use. Each rejection
//! that a daemon knows of makes it more careful, and holds it back before all of them together are too
//! many.
//!
//! See `docs/design/limits.md`.

use std::{collections::VecDeque, fmt, num::ParseFloatError, str::FromStr, time::Duration};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{
    ids::{DaemonId, ServiceName, UpstreamId},
    limit::upstream::Position,
    units::Time,
};

/// The duration of a turn; longer than reports take, so that most of it can be used.
pub const TURN: Duration = Duration::from_secs(3);
/// The time for which an announcement holds after the last response with it.
const ANNOUNCED_TTL: Duration = Duration::from_secs(30);
/// The time for which it is known and reported that an announcement has ended.
const ENDED_TTL: Duration = Duration::from_secs(5);
/// The interval at which an announcement that is still made is reported to peers.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);
/// The time for which a rejection counts: the second of the announcement, and what messages take.
const REJECTION_TTL: Duration = Duration::from_millis(1200);
/// The rejections of one daemon that are kept; more change no decision.
const MAX_REJECTIONS: usize = 32;
/// The time in which the caution after rejections falls by half.
const CAUTION_HALF_LIFE: Duration = Duration::from_secs(4);
const MAX_CAUTION: f64 = 8.0;
/// The time constant of the mean number of requests at an upstream.
const MEAN_WINDOW: Duration = Duration::from_millis(1500);
/// The margin of free places, in standard deviations of the number of requests, at which daemons send
/// without a part of their own.
const MARGIN_DEVIATIONS: f64 = 2.33;
/// The daemons for each slot of an upstream that may do so, the first in the rendezvous order.
const OPTIMISTS_PER_SLOT: u32 = 3;
/// The daemons for each slot of an upstream that may do so because it is their home.
const HOME_OPTIMISTS_PER_SLOT: u32 = 2;
/// The requests that may meet at one upstream, since daemons with the same view choose the same one, in
/// multiples of the mean.
const CROWD_FACTOR: f64 = 2.0;
/// The share of the slots in use up to which fewer daemons do so if the margin is too small.
const LOW_LOAD: f64 = 0.3;
/// The time for which the upstreams of a service have to be idle before daemons do so.
const CALM_TIME: Duration = Duration::from_secs(2);
const MIN_WAIT: Duration = Duration::from_millis(100);
const MAX_UPSTREAMS: usize = 1024;

/// The number of rejections in a second that an upstream survives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Tolerance(pub u32);

/// Why a text is not a [`Tolerance`].
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ToleranceError {
    #[error("{0}")]
    NotANumber(#[from] ParseFloatError),
    #[error("a number of rejections must be finite and not negative")]
    OutOfRange,
}

impl fmt::Display for Tolerance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for Tolerance {
    type Err = ToleranceError;

    /// Parses a decimal number, rounded down, with or without the unit `/s`.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number: f64 = text.trim().trim_end_matches("/s").parse()?;
        let is_valid = number.is_finite() && number >= 0.0;
        if is_valid { Ok(Self(number as u32)) } else { Err(ToleranceError::OutOfRange) }
    }
}

/// The requests at an upstream, as far as a daemon knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Occupancy {
    /// The number of requests that the upstream can run at a time.
    pub slots: u32,
    /// This daemon's own requests.
    pub own: u32,
    /// The sum of what the other daemons reported.
    pub peers: u32,
    /// The sum of the least that each of them reported within the age of a report: the requests that they
    /// keep there, while the others come and go.
    pub held_by_peers: u32,
    /// The number that the upstream itself reported recently, if it reports its load.
    pub reported: Option<u32>,
}

/// An upstream to which a request may be sent.
#[derive(Clone, Copy, Debug)]
pub struct Target<'a> {
    pub upstream: &'a UpstreamId,
    pub service: &'a ServiceName,
    /// What the upstreams of the service survive at least; see [`BrittleUpstreams::service_tolerance`].
    pub service_tolerance: Tolerance,
    /// This daemon's rank among those whose home the upstream is, if it is one of them; see
    /// [`home_rank`].
    pub home_rank: Option<u32>,
}

/// Returns a daemon's rank among those whose home is the upstream with an index among the `upstreams`
/// of its service, if it is one of them. `position` is its position among all daemons of the service, so
/// that the homes of all are spread evenly.
pub fn home_rank(position: Position, index: usize, upstreams: usize) -> Option<u32> {
    let upstreams = u32::try_from(upstreams).ok().filter(|upstreams| *upstreams > 0)?;
    let is_home = (position.rank % upstreams) as usize == index;
    is_home.then_some(position.rank / upstreams)
}

/// Where all daemons are in the sequence of turns, by the time of day on which they agree.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Turn {
    pub number: u64,
    pub elapsed: Duration,
    /// The age that a daemon's report may have at the others.
    pub report_age: Duration,
}

impl Turn {
    /// Returns the turn at a time of day, in milliseconds.
    pub fn at(wall_ms: u64, report_age: Duration) -> Self {
        let turn_ms = TURN.as_millis() as u64;
        let elapsed = Duration::from_millis(wall_ms % turn_ms);
        Self { number: wall_ms / turn_ms, elapsed, report_age }
    }

    /// Reports whether the others may still act on what was theirs in the turn before.
    fn is_beginning(self) -> bool {
        self.elapsed < self.report_age.min(TURN / 2)
    }

    fn time_left(self) -> Duration {
        TURN.saturating_sub(self.elapsed)
    }
}

/// A change of an announcement, for logs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    pub upstream: UpstreamId,
    /// What the upstream survives, or `None` if it is no longer brittle.
    pub tolerance: Option<Tolerance>,
}

/// What a daemon knows of a brittle upstream, for its peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    pub upstream: UpstreamId,
    pub service: ServiceName,
    /// What the upstream survives, or `None` if it is no longer brittle.
    pub tolerance: Option<Tolerance>,
    /// The time since the response that showed this.
    pub age: Duration,
    /// The times since the daemon's own rejections there.
    pub rejections: Vec<Duration>,
}

/// The wire format of a [`Report`]; times are in milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReportWire(
    pub UpstreamId,
    pub ServiceName,
    pub Option<Tolerance>,
    pub u64,
    pub Vec<u64>,
);

impl From<Report> for ReportWire {
    fn from(report: Report) -> Self {
        let ms = |age: Duration| age.as_millis() as u64;
        let rejections = report.rejections.into_iter().map(ms).collect();
        Self(report.upstream, report.service, report.tolerance, ms(report.age), rejections)
    }
}

impl From<ReportWire> for Report {
    fn from(ReportWire(upstream, service, tolerance, age, rejections): ReportWire) -> Self {
        let rejections = rejections.into_iter().map(Duration::from_millis).collect();
        Self { upstream, service, tolerance, age: Duration::from_millis(age), rejections }
    }
}

/// The smallest of the numbers that were observed recently.
#[derive(Clone, Debug, Default)]
struct Lows {
    /// In ascending order, each smaller than all later observations.
    lows: VecDeque<(Time, u32)>,
}

impl Lows {
    fn observe(&mut self, now: Time, number: u32) {
        while self.lows.back().is_some_and(|(_, low)| *low >= number) {
            self.lows.pop_back();
        }
        self.lows.push_back((now, number));
    }

    /// Returns the smallest number within `window`, or zero if there is none.
    fn least(&mut self, now: Time, window: Duration) -> u32 {
        while self.lows.front().is_some_and(|(at, _)| now.since(*at) > window) {
            self.lows.pop_front();
        }
        self.lows.front().map_or(0, |(_, low)| *low)
    }
}

#[derive(Clone, Debug)]
struct Upstream {
    service: ServiceName,
    tolerance: Option<Tolerance>,
    /// When a response first made the announcement without interruption.
    announced_at: Time,
    /// When a response last showed the announcement or its end.
    observed_at: Time,
    reported_at: Time,
    own_rejections: VecDeque<Time>,
    peer_rejections: IndexMap<DaemonId, Vec<Time>>,
    caution: f64,
    caution_at: Time,
    /// The numbers of its own requests that this daemon reported.
    reported: Lows,
    mean: f64,
    mean_at: Time,
    position: Option<(u64, Position)>,
}

impl Upstream {
    fn is_expired(&self, now: Time) -> bool {
        let ttl = if self.tolerance.is_some() { ANNOUNCED_TTL } else { ENDED_TTL };
        now.since(self.observed_at) >= ttl
    }

    fn caution(&self, now: Time) -> f64 {
        let half_lives = now.since(self.caution_at).as_secs_f64() / CAUTION_HALF_LIFE.as_secs_f64();
        (self.caution * 0.5_f64.powf(half_lives)).max(1.0)
    }

    fn raise_caution(&mut self, now: Time) {
        self.caution = (self.caution(now) * 2.0).min(MAX_CAUTION);
        self.caution_at = now;
    }

    fn discard_old_rejections(&mut self, now: Time) {
        let is_recent = |at: &Time| now.since(*at) < REJECTION_TTL;
        self.own_rejections.retain(is_recent);
        self.peer_rejections.retain(|_, times| {
            times.retain(is_recent);
            !times.is_empty()
        });
    }

    /// Returns the time until rejections allow another request that may be rejected.
    fn hold(&mut self, now: Time, tolerance: Tolerance, daemons: u32) -> Duration {
        self.discard_old_rejections(now);
        let until_expired = |at: Time| (at + REJECTION_TTL).since(now);
        let own_allowed = (tolerance.0 / daemons.max(1)).max(1) as usize;
        let own = self.own_rejections.iter().rev().nth(own_allowed - 1).copied();
        let own = own.map_or(Duration::ZERO, until_expired);
        let all_allowed = (tolerance.0 / 2).max(1) as usize;
        let peers = self.peer_rejections.values().flatten();
        let mut all: Vec<Time> = self.own_rejections.iter().chain(peers).copied().collect();
        all.sort_unstable();
        let all = all.iter().rev().nth(all_allowed - 1).copied();
        own.max(all.map_or(Duration::ZERO, until_expired))
    }

    fn observe_mean(&mut self, now: Time, requests: f64) -> f64 {
        let elapsed = now.since(self.mean_at).as_secs_f64();
        let kept = (-elapsed / MEAN_WINDOW.as_secs_f64()).exp();
        self.mean = self.mean * kept + requests * (1.0 - kept);
        self.mean_at = now;
        self.mean
    }
}

/// When a service last had too many requests for sends by many daemons, and by some.
#[derive(Clone, Copy, Debug, Default)]
struct BusyTimes {
    for_many: Option<Time>,
    for_some: Option<Time>,
}

impl BusyTimes {
    fn at(now: Time) -> Self {
        Self { for_many: Some(now), for_some: Some(now) }
    }

    fn is_calm_for_many(self, now: Time) -> bool {
        is_calm(now, self.for_many) && self.is_calm_for_some(now)
    }

    fn is_calm_for_some(self, now: Time) -> bool {
        is_calm(now, self.for_some)
    }

    /// Reports whether a daemon may send without a part of its own to an upstream with this number of
    /// slots, at its rank among all daemons and among those whose home the upstream is.
    fn allows(self, now: Time, slots: u32, rank: u32, home_rank: Option<u32>) -> bool {
        let is_at_home =
            || home_rank.is_some_and(|rank| rank < HOME_OPTIMISTS_PER_SLOT.saturating_mul(slots));
        if self.is_calm_for_many(now) {
            return rank < OPTIMISTS_PER_SLOT.saturating_mul(slots) || is_at_home();
        }
        self.is_calm_for_some(now) && is_at_home()
    }
}

fn is_calm(now: Time, busy_at: Option<Time>) -> bool {
    busy_at.is_none_or(|at| now.since(at) >= CALM_TIME)
}

/// The upstreams that are brittle.
#[derive(Clone, Debug, Default)]
pub struct BrittleUpstreams {
    upstreams: IndexMap<UpstreamId, Upstream>,
    /// When a service was last too busy for sends without a part of one's own.
    busy_at: IndexMap<ServiceName, BusyTimes>,
    has_news: bool,
    changes: Vec<Change>,
}

impl BrittleUpstreams {
    /// Reports whether no upstream is brittle.
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }

    /// Records the announcement of a response, or that it has none. The request of the response was
    /// sent at `sent_at`: a response to one that was sent before the announcement does not end it.
    pub fn record(
        &mut self,
        now: Time,
        upstream: &UpstreamId,
        service: &ServiceName,
        sent_at: Time,
        tolerance: Option<Tolerance>,
    ) {
        if tolerance.is_none() {
            if self.is_empty() {
                return;
            }
            let ends = match self.upstreams.get(upstream) {
                Some(known) => known.tolerance.is_none() || sent_at > known.announced_at,
                // Others of the service are brittle, and this one is not.
                None => self.upstreams.values().any(|other| other.service == *service),
            };
            if !ends {
                return;
            }
        }
        self.observe(now, upstream, service, now, tolerance);
    }

    fn observe(
        &mut self,
        now: Time,
        upstream: &UpstreamId,
        service: &ServiceName,
        at: Time,
        tolerance: Option<Tolerance>,
    ) {
        let known = self.entry(now, upstream, service);
        if known.tolerance.is_none() && tolerance.is_some() {
            known.announced_at = at;
        }
        let is_changed = known.tolerance != tolerance;
        known.tolerance = tolerance;
        known.observed_at = at;
        if is_changed || now.since(known.reported_at) >= REPORT_INTERVAL {
            known.reported_at = now;
            self.has_news = true;
        }
        if is_changed {
            self.changes.push(Change { upstream: upstream.clone(), tolerance });
        }
    }

    fn entry(&mut self, now: Time, upstream: &UpstreamId, service: &ServiceName) -> &mut Upstream {
        if !self.upstreams.contains_key(upstream) && self.upstreams.len() >= MAX_UPSTREAMS {
            self.upstreams.shift_remove_index(0);
        }
        self.upstreams.entry(upstream.clone()).or_insert_with(|| Upstream {
            service: service.clone(),
            tolerance: None,
            announced_at: now,
            observed_at: now,
            reported_at: now,
            own_rejections: VecDeque::new(),
            peer_rejections: IndexMap::new(),
            caution: 1.0,
            caution_at: now,
            reported: Lows::default(),
            mean: 0.0,
            mean_at: now,
            position: None,
        })
    }

    /// Records that a brittle upstream rejected a request of this daemon for want of room.
    pub fn record_rejection(&mut self, now: Time, upstream: &UpstreamId) {
        let Some(known) = self.upstreams.get_mut(upstream) else { return };
        if known.tolerance.is_none() {
            return;
        }
        known.discard_old_rejections(now);
        if known.own_rejections.len() >= MAX_REJECTIONS {
            known.own_rejections.pop_front();
        }
        known.own_rejections.push_back(now);
        known.raise_caution(now);
        self.has_news = true;
    }

    /// Applies the reports of a peer: the latest announcement counts, and the rejections replace those
    /// that the peer reported before.
    pub fn merge(&mut self, now: Time, from: &DaemonId, reports: impl IntoIterator<Item = Report>) {
        let had_news = self.has_news;
        for report in reports {
            let at = now.ago(report.age);
            let known = self.upstreams.get(&report.upstream);
            let is_later = known.is_none_or(|known| known.observed_at < at);
            let ttl = if report.tolerance.is_some() { ANNOUNCED_TTL } else { ENDED_TTL };
            if is_later && (known.is_some() || report.tolerance.is_some()) && report.age < ttl {
                self.observe(now, &report.upstream, &report.service, at, report.tolerance);
            }
            let Some(known) = self.upstreams.get_mut(&report.upstream) else { continue };
            let recent = report.rejections.iter().filter(|age| **age < REJECTION_TTL);
            let times: Vec<Time> = recent.take(MAX_REJECTIONS).map(|age| now.ago(*age)).collect();
            let before = known.peer_rejections.get(from).map_or(0, Vec::len);
            if times.len() > before {
                known.raise_caution(now);
            }
            if times.is_empty() {
                known.peer_rejections.shift_remove(from);
            } else {
                known.peer_rejections.insert(from.clone(), times);
            }
        }
        self.has_news = had_news;
    }

    /// Returns what peers may lack.
    pub fn reports(&self, now: Time) -> Vec<Report> {
        let current = self.upstreams.iter().filter(|(_, known)| !known.is_expired(now));
        let report = |(upstream, known): (&UpstreamId, &Upstream)| Report {
            upstream: upstream.clone(),
            service: known.service.clone(),
            tolerance: known.tolerance,
            age: now.since(known.observed_at),
            rejections: known.own_rejections.iter().map(|at| now.since(*at)).collect(),
        };
        current.map(report).collect()
    }

    /// Reports whether an announcement has changed or has to be reported again, or a request was
    /// rejected, and resets it.
    pub fn take_news(&mut self) -> bool {
        std::mem::take(&mut self.has_news)
    }

    /// Removes and returns the announcements that have changed since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Returns what the upstreams of a service survive at least, if some are brittle. It counts for those
    /// that have not responded yet, such as one that has just restarted.
    pub fn service_tolerance(&self, now: Time, service: &ServiceName) -> Option<Tolerance> {
        let of_service = self.upstreams.values().filter(|known| known.service == *service);
        of_service.filter(|known| !known.is_expired(now)).filter_map(|known| known.tolerance).min()
    }

    /// Records what this daemon reports to its peers as its own requests at each upstream. Peers take the
    /// least of the reports that they receive as what it keeps, so that it may count on that itself.
    pub fn record_reported(&mut self, now: Time, own: impl Fn(&UpstreamId) -> u32) {
        for (upstream, known) in &mut self.upstreams {
            known.reported.observe(now, own(upstream));
        }
    }

    /// Returns the time until a request may be sent to an upstream; zero if it may be sent now.
    /// `position` returns this daemon's position among all that may send to the upstream.
    pub fn wait(
        &mut self,
        now: Time,
        target: Target<'_>,
        occupancy: Occupancy,
        turn: Turn,
        position: impl Fn(&UpstreamId) -> Position,
    ) -> Duration {
        let Target { upstream, service, service_tolerance, home_rank } = target;
        let known = self.upstreams.get(upstream).filter(|known| !known.is_expired(now));
        let tolerance = match known {
            Some(known) => known.tolerance,
            None => Some(service_tolerance),
        };
        let Some(tolerance) = tolerance else { return Duration::ZERO };
        if known.is_none() {
            let known = self.entry(now, upstream, service);
            known.tolerance = Some(tolerance);
            known.observed_at = now;
        }
        let known = &mut self.upstreams[upstream];
        let position = match known.position {
            Some((number, position)) if number == turn.number => position,
            _ => {
                // Each turn belongs to the next daemons in the order, so that all have one.
                let Position { rank, count } = position(upstream);
                let first = turn.number.wrapping_mul(occupancy.slots.into()) % u64::from(count);
                let rank = ((u64::from(rank) + first) % u64::from(count)) as u32;
                let position = Position { rank, count };
                known.position = Some((turn.number, position));
                position
            }
        };
        let Occupancy { slots, own, peers, held_by_peers, reported } = occupancy;
        let requests = (own + peers).max(reported.unwrap_or(0));
        let held = known.reported.least(now, turn.report_age * 2);
        let mean = known.observe_mean(now, f64::from(requests));
        let hold = known.hold(now, tolerance, position.count);
        if !hold.is_zero() {
            self.busy_at.insert(service.clone(), BusyTimes::at(now));
            return hold;
        }
        let caution = known.caution(now);
        let reserve = ((caution - 1.0).round() as u32).min(slots / 2);
        // The more rejections an upstream survives, the smaller the margin may be.
        let deviations = MARGIN_DEVIATIONS / (1.0 + f64::from(tolerance.0.max(1)).ln() / 5.0);
        let crowd = mean * CROWD_FACTOR;
        let busy = self.busy_at.entry(service.clone()).or_default();
        if crowd + deviations * caution * crowd.sqrt() + 0.75 > f64::from(slots) {
            busy.for_many = Some(now);
        }
        if mean * caution > f64::from(slots) * LOW_LOAD {
            busy.for_some = Some(now);
        }
        let is_optimist = busy.allows(now, slots, position.rank, home_rank);
        if requests + reserve < slots {
            let free = slots.saturating_sub(reserve + held + held_by_peers);
            let has_rest = position.rank < free % position.count && !turn.is_beginning();
            if own < held + free / position.count + u32::from(has_rest) {
                return Duration::ZERO;
            }
            if own <= held && is_optimist {
                return Duration::ZERO;
            }
        }
        turn.time_left().min(turn.report_age).max(MIN_WAIT)
    }

    /// Records that a request found no upstream of a service, so that many are sent once there is one.
    pub fn record_no_upstream(&mut self, now: Time, service: &ServiceName) {
        if !self.is_empty() {
            self.busy_at.insert(service.clone(), BusyTimes::at(now));
        }
    }

    /// Discards what is known of the work and the rejections of an upstream that is gone or has
    /// restarted. It is still brittle, as the others of its service are.
    pub fn reset(&mut self, now: Time, upstream: &UpstreamId) {
        if let Some(known) = self.upstreams.get_mut(upstream) {
            known.own_rejections.clear();
            known.peer_rejections.clear();
            known.reported = Lows::default();
            known.mean = 0.0;
            let service = known.service.clone();
            self.record_no_upstream(now, &service);
        }
    }

    /// Removes what no response has shown for long.
    pub fn expire(&mut self, now: Time) {
        let expired = self.upstreams.extract_if(.., |_, known| known.is_expired(now));
        let ended = expired.filter(|(_, known)| known.tolerance.is_some());
        self.changes.extend(ended.map(|(upstream, _)| Change { upstream, tolerance: None }));
        self.busy_at.retain(|_, busy| !busy.is_calm_for_many(now));
    }
}
