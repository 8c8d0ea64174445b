//! Upstreams that have just started or recovered, and how much work they can take.
//!
//! Load pattern: an upstream starts, or answers again after a crash, while all daemons have requests
//! waiting. To each of them it looks idle, so that all would send to it at once, before its caches are
//! filled and before any of them sees a response. A window limits the requests outstanding there over
//! all daemons. It grows with each response in time and is halved when responses are late or fail, so
//! that the duration of the ramp follows from how the upstream responds. The daemons split the window by
//! rendezvous rank, as [`limit::warm_up`](crate::limit::warm_up) does, and pool what they observe by
//! sums that only grow within a ramp, so that lost and repeated reports do no harm.
//!
//! See `docs/design/ramp.md`.

use std::{fmt, num::ParseIntError, str::FromStr, time::Duration};

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{
    ids::{DaemonId, ServiceName, UpstreamId},
    limit::{brittle::Occupancy, bucket::CachedPosition, upstream::Position},
    units::Time,
};

/// The time without any response after which a ramp ends: nothing is learnt from waiting longer.
const QUIET_TIMEOUT: Duration = Duration::from_secs(30);
/// Starts that daemons report within this time of each other belong to the same ramp: they notice it
/// with their next request, and a report takes up to 3 s with 670 daemons.
const SAME_RAMP: Duration = Duration::from_secs(3);
/// The time for which an ended ramp is known, so that a late report does not begin it again; twice the
/// time after which the last daemon ends it.
const ENDED_TTL: Duration = Duration::from_secs(60);
/// The largest age of a ramp that a peer may report. No ramp without a response lasts as long.
const MAX_AGE: Duration = Duration::from_secs(3600);
/// The largest count that a peer may report: what an upstream completes in [`MAX_AGE`] at 277 requests
/// a second.
const MAX_COUNT: u32 = 1_000_000;
/// The largest window; no upstream has as many slots.
const MAX_WINDOW: u32 = 4096;
/// The largest number of ramps in a message. More would not fit a datagram beside the other fields.
const MAX_REPORTS: usize = 64;
/// The largest number of upstreams that only peers know.
const MAX_UNLISTED: usize = 1024;
/// A response that is late for its caller does not count as late within this multiple of the upstream's
/// best time, since an upstream that is slow without load gives no sign of overload by it.
const SLOW_FACTOR: u32 = 2;
/// The responses that an upstream must have completed since the reported start of a ramp for a daemon to
/// ignore the report. One may come from a request that was sent unaware of the ramp.
const ANSWERS_WITHOUT_RAMP: usize = 2;
/// The time constant of a daemon's rate of requests. A daemon of 76 gets a request in 8 s if all of them
/// get 10/s.
const ARRIVAL_WINDOW: Duration = Duration::from_secs(10);
/// The time that the first request counts for in that rate, as there is no interval before it yet.
const MIN_ARRIVAL_TIME: Duration = Duration::from_millis(10);
/// The share of the free window that daemons outside of it may be expected to use before they know of
/// each other's requests. At one half, more than the window plus 2 are outstanding in under 1% of cases
/// (Poisson, window 4).
const UNSEEN_SHARE: f64 = 0.5;

/// The window at the start of a ramp, in requests over all daemons; from 1 to 64.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RampStart(u32);

/// Why a text is not a [`RampStart`].
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum RampStartError {
    #[error("{0}")]
    NotANumber(#[from] ParseIntError),
    #[error("a number of requests from 1 to 64 is expected")]
    OutOfRange,
}

impl RampStart {
    /// Returns the window, or `None` if it is out of range.
    pub fn new(requests: u32) -> Option<Self> {
        (1..=64).contains(&requests).then_some(Self(requests))
    }

    pub fn requests(self) -> u32 {
        self.0
    }
}

impl fmt::Display for RampStart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for RampStart {
    type Err = RampStartError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::new(text.trim().parse()?).ok_or(RampStartError::OutOfRange)
    }
}

/// Why a ramp began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    New,
    Restarted,
    Unreachable,
    Crashed,
    /// It was unlisted or evacuated.
    Returned,
    /// A peer reported it.
    Reported,
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Cause::New => "new",
            Cause::Restarted => "restarted",
            Cause::Unreachable => "unreachable",
            Cause::Crashed => "crashed",
            Cause::Returned => "returned",
            Cause::Reported => "reported",
        })
    }
}

/// Why the window was halved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackOff {
    Late,
    /// A response failed, or a request was rejected.
    Failed,
}

impl fmt::Display for BackOff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            BackOff::Late => "late",
            BackOff::Failed => "failed",
        })
    }
}

/// Why a ramp ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The window has reached the slots of the upstream.
    Slots,
    /// The window has reached the mean work of the service's other upstreams.
    MeanWork,
    /// No response has arrived for [`QUIET_TIMEOUT`].
    Quiet,
    /// The upstream is gone.
    Gone,
}

impl fmt::Display for End {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            End::Slots => "slots",
            End::MeanWork => "mean-work",
            End::Quiet => "quiet",
            End::Gone => "gone",
        })
    }
}

/// A change that is logged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    pub upstream: UpstreamId,
    /// The window after the change.
    pub window: u32,
    pub event: Event,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    Started(Cause),
    BackedOff(BackOff),
    Ended(End),
}

/// How a response ended, as evidence about its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It completed successfully, and its first event or the whole of it took this time.
    Completed(Duration),
    /// It had not arrived when the request was sent elsewhere or the caller left.
    Late,
    /// It was an error, broke off, or said that the request was rejected.
    Failed,
}

/// The responses of a ramp.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub good: u32,
    pub late: u32,
    pub failed: u32,
}

impl Counts {
    /// Replaces each count by a larger one and returns by how much they grew. Reports that were
    /// overtaken, or come from a peer that has restarted, change nothing.
    fn raise(&mut self, to: Counts) -> Counts {
        let raise = |count: &mut u32, to: u32| {
            let added = to.saturating_sub(*count);
            *count += added;
            added
        };
        Counts {
            good: raise(&mut self.good, to.good),
            late: raise(&mut self.late, to.late),
            failed: raise(&mut self.failed, to.failed),
        }
    }
}

/// What a daemon has observed in a ramp, for its peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    pub upstream: UpstreamId,
    /// The time since the start of the ramp.
    pub age: Duration,
    pub counts: Counts,
    /// The shortest response time.
    pub best: Option<Duration>,
}

/// The wire format of a [`Report`]: the upstream, the age of the ramp in milliseconds, the good, late
/// and failed responses, and the best time in milliseconds, zero if there is none.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportWire(pub UpstreamId, pub u64, pub u32, pub u32, pub u32, pub u32);

/// A report whose age or counts no ramp can have.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("a ramp has an age of up to 3600000 ms and counts of up to 1000000")]
pub struct AbsurdReport;

impl From<Report> for ReportWire {
    fn from(report: Report) -> Self {
        let Counts { good, late, failed } = report.counts;
        let best = report.best.map_or(0, |best| best.as_millis().max(1) as u32);
        Self(report.upstream, report.age.as_millis() as u64, good, late, failed, best)
    }
}

impl TryFrom<ReportWire> for Report {
    type Error = AbsurdReport;

    fn try_from(wire: ReportWire) -> Result<Self, Self::Error> {
        let ReportWire(upstream, age, good, late, failed, best) = wire;
        let age = Duration::from_millis(age);
        if age > MAX_AGE || [good, late, failed].iter().any(|count| *count > MAX_COUNT) {
            return Err(AbsurdReport);
        }
        let best = (best > 0).then(|| Duration::from_millis(best.into()));
        Ok(Self { upstream, age, counts: Counts { good, late, failed }, best })
    }
}

/// What a window must reach for its ramp to end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Goal {
    pub slots: u32,
    /// The mean number of requests outstanding at the service's upstreams without a ramp, if any.
    pub mean_work: Option<f64>,
}

/// What a daemon knows of the others when it decides whether to send.
#[derive(Clone, Copy, Debug)]
pub struct View {
    pub occupancy: Occupancy,
    /// The age that reports of work may have.
    pub report_age: Duration,
    /// Whether most of the known daemons report to this one.
    pub hears_peers: bool,
}

impl View {
    /// Returns the known number of requests outstanding at the upstream.
    fn outstanding(&self) -> u32 {
        let Occupancy { own, peers, reported, .. } = self.occupancy;
        own.saturating_add(peers).max(reported.unwrap_or(0))
    }
}

#[derive(Clone, Debug)]
struct Ramp {
    service: ServiceName,
    started: Time,
    window: u32,
    own: Counts,
    peers: IndexMap<DaemonId, Counts>,
    /// The responses in time, of all daemons.
    good: u32,
    /// The shortest response time that any daemon has reported.
    best: Option<Duration>,
    backed_off_at: Option<Time>,
    /// When the ramp began or a response of any daemon was last learnt of.
    active_at: Time,
    position: CachedPosition,
}

impl Ramp {
    fn new(now: Time, started: Time, service: ServiceName, window: u32) -> Self {
        Self {
            service,
            started,
            window,
            own: Counts::default(),
            peers: IndexMap::new(),
            good: 0,
            best: None,
            backed_off_at: None,
            active_at: now,
            position: CachedPosition::default(),
        }
    }

    fn grow(&mut self, good: u32) {
        self.window = self.window.saturating_add(good).min(MAX_WINDOW);
    }

    fn back_off(&mut self, now: Time) {
        self.window = (self.window / 2).max(1);
        self.backed_off_at = Some(now);
    }

    /// Reports whether responses in a peer's report may belong to requests sent before the last
    /// back-off, which have been accounted for by it.
    fn is_settling(&self, now: Time, report_age: Duration) -> bool {
        let round_trip = report_age + self.best.unwrap_or_default();
        self.backed_off_at.is_some_and(|at| now.since(at) < round_trip)
    }

    fn observe_best(&mut self, time: Option<Duration>) {
        self.best = self.best.into_iter().chain(time).min();
    }
}

/// Returns the requests that a daemon in this position may have outstanding. The parts of all daemons
/// add up to the window.
fn part(window: u32, position: Position) -> u32 {
    let count = position.count.max(1);
    window / count + u32::from(position.rank < window % count)
}

#[derive(Clone, Copy, Debug)]
struct Arrivals {
    first_at: Time,
    /// The exponential average as of `at`, which is too low until [`ARRIVAL_WINDOW`] has passed.
    per_second: f64,
    at: Time,
}

impl Arrivals {
    fn average(&self, now: Time) -> f64 {
        self.per_second * decay(now.since(self.at))
    }

    /// Returns the requests a second, from those since the first one.
    fn rate(&self, now: Time) -> f64 {
        let observed = now.since(self.first_at).max(MIN_ARRIVAL_TIME);
        self.average(now) / (1.0 - decay(observed))
    }
}

/// Returns the weight in an average of [`ARRIVAL_WINDOW`] of what was `elapsed` ago.
fn decay(elapsed: Duration) -> f64 {
    (-elapsed.as_secs_f64() / ARRIVAL_WINDOW.as_secs_f64()).exp()
}

/// The upstreams that ramp up. Without a start window there are none, and nothing is recorded.
#[derive(Clone, Debug, Default)]
pub struct Ramps {
    start: Option<RampStart>,
    upstreams: IndexMap<UpstreamId, Ramp>,
    /// When ramps that have ended began and ended.
    ended: IndexMap<UpstreamId, (Time, Time)>,
    /// When ramps of upstreams began that only peers know yet, and when that was last reported. A daemon
    /// that learns of such an upstream late must not begin another ramp.
    unlisted: IndexMap<UpstreamId, (Time, Time)>,
    /// When each upstream last completed responses to this daemon.
    answers: IndexMap<UpstreamId, [Time; ANSWERS_WITHOUT_RAMP]>,
    arrivals: IndexMap<ServiceName, Arrivals>,
    changes: Vec<Change>,
}

impl Ramps {
    pub fn new(start: Option<RampStart>) -> Self {
        Self { start, ..Self::default() }
    }

    /// Changes the window at the start of ramps. Without one, all ramps are dropped.
    pub fn set_start(&mut self, start: Option<RampStart>) {
        self.start = start;
        if start.is_none() {
            *self = Self::default();
        }
    }

    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }

    pub fn len(&self) -> usize {
        self.upstreams.len()
    }

    /// Returns the services whose upstreams ramp up, each once.
    pub fn services(&self) -> IndexSet<&ServiceName> {
        self.upstreams.values().map(|ramp| &ramp.service).collect()
    }

    /// Returns the window at the start of a ramp.
    pub fn start(&self) -> Option<RampStart> {
        self.start
    }

    /// Reports whether ramps are in use.
    pub fn is_on(&self) -> bool {
        self.start.is_some()
    }

    pub fn is_ramping(&self, upstream: &UpstreamId) -> bool {
        self.upstreams.contains_key(upstream)
    }

    /// Returns the window of an upstream that ramps up.
    pub fn window(&self, upstream: &UpstreamId) -> Option<u32> {
        self.upstreams.get(upstream).map(|ramp| ramp.window)
    }

    /// Counts a request that an upstream is to be chosen for.
    pub fn record_request(&mut self, now: Time, service: &ServiceName) {
        if self.start.is_none() {
            return;
        }
        if !self.arrivals.contains_key(service) {
            let arrivals = Arrivals { first_at: now, per_second: 0.0, at: now };
            self.arrivals.insert(service.clone(), arrivals);
        }
        let arrivals = &mut self.arrivals[service];
        arrivals.per_second = arrivals.average(now) + 1.0 / ARRIVAL_WINDOW.as_secs_f64();
        arrivals.at = now;
    }

    /// Reports whether requests for a service have arrived recently.
    pub fn has_traffic(&self, now: Time, service: &ServiceName) -> bool {
        self.arrivals.get(service).is_some_and(|arrivals| now.since(arrivals.at) < QUIET_TIMEOUT)
    }

    /// Begins the ramp of an upstream. While it has not answered, its ramp has not begun, and further
    /// failures only postpone the start.
    pub fn begin(&mut self, now: Time, upstream: &UpstreamId, service: &ServiceName, cause: Cause) {
        let Some(start) = self.start else { return };
        let Some(ramp) = self.upstreams.get_mut(upstream) else {
            let reported = self.unlisted.shift_remove(upstream);
            let started = reported.filter(|(_, at)| now.since(*at) < ENDED_TTL);
            let started = started.map_or(now, |(started, _)| started);
            self.insert(now, started, upstream, service, start.0, cause);
            return;
        };
        if ramp.good == 0 {
            (ramp.started, ramp.active_at) = (now, now);
        } else if now.since(ramp.started) < SAME_RAMP {
            // Peers would not tell a new ramp from the current one, so that one goes on. The failed request
            // halves its window.
            ramp.window = ramp.window.min(start.0);
        } else {
            let window = ramp.window.min(start.0);
            self.insert(now, now, upstream, service, window, cause);
        }
    }

    fn insert(
        &mut self,
        now: Time,
        started: Time,
        upstream: &UpstreamId,
        service: &ServiceName,
        window: u32,
        cause: Cause,
    ) {
        let ramp = Ramp::new(now, started, service.clone(), window);
        self.upstreams.insert(upstream.clone(), ramp);
        self.ended.shift_remove(upstream);
        let event = Event::Started(cause);
        self.changes.push(Change { upstream: upstream.clone(), window, event });
    }

    /// Reports whether this daemon may send a request to an upstream now. `position` returns its
    /// position among all that may send there.
    ///
    /// Its part of the window is always its own. At a low rate of requests, most of the daemons that have
    /// a part have no request, so others use what is known to be free, as many as are unlikely to exceed
    /// the window before they know of each other.
    pub fn may_send(
        &mut self,
        now: Time,
        upstream: &UpstreamId,
        view: View,
        position: impl Fn(&UpstreamId) -> Position,
    ) -> bool {
        let Some(ramp) = self.upstreams.get_mut(upstream) else { return true };
        let outstanding = view.outstanding();
        if outstanding >= ramp.window {
            return false;
        }
        let position = ramp.position.get(now, upstream, position);
        if view.occupancy.own < part(ramp.window, position) {
            return true;
        }
        if view.occupancy.own > 0 || !view.hears_peers {
            return false;
        }
        let rate = self.arrivals.get(&ramp.service).map_or(0.0, |arrivals| arrivals.rate(now));
        let unseen_each = rate * view.report_age.as_secs_f64();
        let free = f64::from(ramp.window - outstanding);
        f64::from(position.rank) * unseen_each < free * UNSEEN_SHARE
    }

    /// Returns by how much an upstream that ramps up would be filled by one more request, in windows, and
    /// this daemon's rank there, for the choice among those that ramps leave out. The upstream with the
    /// largest window is the least filled if all have as many requests; by the ranks, daemons with the
    /// same view choose different ones.
    pub fn fill(
        &mut self,
        now: Time,
        upstream: &UpstreamId,
        view: View,
        position: impl Fn(&UpstreamId) -> Position,
    ) -> (f64, u32) {
        let requests = f64::from(view.outstanding()) + 1.0;
        let Some(ramp) = self.upstreams.get_mut(upstream) else {
            return (requests / f64::from(MAX_WINDOW), 0);
        };
        let rank = ramp.position.get(now, upstream, position).rank;
        (requests / f64::from(ramp.window), rank)
    }

    /// Records how the response to a request ended that was sent at `sent_at` and has its full value
    /// for the caller within `target`.
    pub fn record(
        &mut self,
        now: Time,
        upstream: &UpstreamId,
        sent_at: Time,
        target: Duration,
        outcome: Outcome,
    ) {
        if self.start.is_none() {
            return;
        }
        if matches!(outcome, Outcome::Completed(_)) {
            let answers = self.answers.entry(upstream.clone()).or_default();
            answers.rotate_left(1);
            answers[ANSWERS_WITHOUT_RAMP - 1] = now;
        }
        // A request from before the ramp ran under other conditions.
        let Some(ramp) = self.upstreams.get_mut(upstream).filter(|ramp| ramp.started <= sent_at)
        else {
            return;
        };
        ramp.active_at = now;
        let cause = match outcome {
            Outcome::Completed(time) => {
                let is_late = time > target && ramp.best.is_none_or(|b| time > b * SLOW_FACTOR);
                ramp.observe_best(Some(time));
                is_late.then_some(BackOff::Late)
            }
            Outcome::Late => Some(BackOff::Late),
            Outcome::Failed => Some(BackOff::Failed),
        };
        let is_after_back_off = ramp.backed_off_at.is_none_or(|at| at < sent_at);
        match cause {
            None => {
                ramp.own.good += 1;
                ramp.good = ramp.good.saturating_add(1);
                if is_after_back_off {
                    ramp.grow(1);
                }
            }
            Some(cause) => {
                match cause {
                    BackOff::Late => ramp.own.late += 1,
                    BackOff::Failed => ramp.own.failed += 1,
                }
                if is_after_back_off {
                    ramp.back_off(now);
                    let (window, event) = (ramp.window, Event::BackedOff(cause));
                    self.changes.push(Change { upstream: upstream.clone(), window, event });
                }
            }
        }
    }

    /// Applies a peer's reports. `service` returns the service of a known upstream, and `report_age` is
    /// the age that reports may have.
    pub fn merge(
        &mut self,
        now: Time,
        daemon: &DaemonId,
        reports: impl IntoIterator<Item = Report>,
        report_age: Duration,
        service: impl Fn(&UpstreamId) -> Option<ServiceName>,
    ) {
        let Some(start) = self.start else { return };
        for report in reports {
            let started = now.ago(report.age);
            let known =
                self.upstreams.get(&report.upstream).map(|ramp| (ramp.started, ramp.window));
            if known.is_none_or(|(known, _)| known + SAME_RAMP < started) {
                let Some(service) = service(&report.upstream) else {
                    if self.unlisted.len() < MAX_UNLISTED {
                        self.unlisted.insert(report.upstream, (started, now));
                    }
                    continue;
                };
                if self.has_answered_since(&report.upstream, started)
                    || self.has_ended(&report.upstream, started)
                {
                    continue;
                }
                let window = known.map_or(start.0, |(_, window)| window.min(start.0));
                self.insert(now, started, &report.upstream, &service, window, Cause::Reported);
            }
            self.apply_report(now, daemon, &report, started, report_age);
        }
    }

    fn apply_report(
        &mut self,
        now: Time,
        daemon: &DaemonId,
        report: &Report,
        started: Time,
        report_age: Duration,
    ) {
        let Some(ramp) = self.upstreams.get_mut(&report.upstream) else { return };
        if started + SAME_RAMP < ramp.started {
            return;
        }
        let added = ramp.peers.entry(daemon.clone()).or_default().raise(report.counts);
        if ramp.good == 0 && added.good == 0 {
            ramp.started = ramp.started.max(started);
        }
        ramp.observe_best(report.best);
        if added == Counts::default() {
            return;
        }
        ramp.active_at = now;
        ramp.good = ramp.good.saturating_add(added.good);
        if ramp.is_settling(now, report_age) {
            return;
        }
        if added.late + added.failed == 0 {
            ramp.grow(added.good);
            return;
        }
        ramp.back_off(now);
        let cause = if added.failed > 0 { BackOff::Failed } else { BackOff::Late };
        let (window, event) = (ramp.window, Event::BackedOff(cause));
        self.changes.push(Change { upstream: report.upstream.clone(), window, event });
    }

    /// Reports whether the upstream has completed responses to this daemon since the start of a ramp that
    /// a peer reports, so that only the peer's way to it was interrupted.
    fn has_answered_since(&self, upstream: &UpstreamId, started: Time) -> bool {
        self.answers.get(upstream).is_some_and(|answers| answers[0] > started)
    }

    fn has_ended(&self, upstream: &UpstreamId, started: Time) -> bool {
        self.ended.get(upstream).is_some_and(|(ended, _)| started <= *ended + SAME_RAMP)
    }

    /// Returns this daemon's observations, those of the ramps with the latest responses first, at most
    /// [`MAX_REPORTS`]. What peers reported is not passed on, except that there is a ramp.
    pub fn reports(&self, now: Time) -> Vec<Report> {
        let is_reported = |ramp: &Ramp| now.since(ramp.started) < MAX_AGE;
        let mut ramps: Vec<_> =
            self.upstreams.iter().filter(|(_, ramp)| is_reported(ramp)).collect();
        if ramps.len() > MAX_REPORTS {
            ramps.sort_by_key(|(_, ramp)| std::cmp::Reverse(ramp.active_at));
            ramps.truncate(MAX_REPORTS);
        }
        let report = |(upstream, ramp): (&UpstreamId, &Ramp)| Report {
            upstream: upstream.clone(),
            age: now.since(ramp.started),
            counts: ramp.own,
            best: ramp.best,
        };
        ramps.into_iter().map(report).collect()
    }

    /// Ends the ramps whose window has reached its goal, those without responses, and those of unknown
    /// upstreams, for which `goal` returns `None`. A ramp without a response in time has proved nothing
    /// and goes on.
    pub fn update(&mut self, now: Time, goal: impl Fn(&UpstreamId) -> Option<Goal>) {
        self.ended.retain(|_, (_, ended)| now.since(*ended) < ENDED_TTL);
        self.unlisted.retain(|_, (_, reported)| now.since(*reported) < ENDED_TTL);
        let end = |upstream: &UpstreamId, ramp: &Ramp| {
            let Some(goal) = goal(upstream) else { return Some(End::Gone) };
            let has_reached = |mean: f64| f64::from(ramp.window) >= mean;
            if now.since(ramp.active_at) >= QUIET_TIMEOUT {
                Some(End::Quiet)
            } else if ramp.good == 0 {
                None
            } else if ramp.window >= goal.slots {
                Some(End::Slots)
            } else {
                goal.mean_work.is_some_and(has_reached).then_some(End::MeanWork)
            }
        };
        let ended: Vec<_> = self
            .upstreams
            .iter()
            .filter_map(|(id, ramp)| end(id, ramp).map(|end| (id.clone(), end)))
            .collect();
        for (upstream, end) in ended {
            let Some(ramp) = self.upstreams.shift_remove(&upstream) else { continue };
            self.ended.insert(upstream.clone(), (ramp.started, now));
            self.changes.push(Change { upstream, window: ramp.window, event: Event::Ended(end) });
        }
    }

    /// Discards what is known of an upstream that is gone or has restarted.
    pub fn remove(&mut self, upstream: &UpstreamId) {
        self.answers.shift_remove(upstream);
        self.ended.shift_remove(upstream);
        if let Some(ramp) = self.upstreams.shift_remove(upstream) {
            let (window, event) = (ramp.window, Event::Ended(End::Gone));
            self.changes.push(Change { upstream: upstream.clone(), window, event });
        }
    }

    /// Removes and returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }
}
