//! Where the time of a request goes, leg by leg, from its arrival in the socket to the first answer.
//!
//! The gateway counts a deadline from the moment at which it reads a request. Legs show what passes before that, and
//! between the write and the arrival at the upstream's host. Each leg is a histogram; single requests are logged only
//! if they were slow. See `docs/operators/late-arrivals.md`.

use std::{cell::Cell, time::Duration};

use dogwoodturn::units::Time;
use prometheus_client::encoding::EncodeLabelSet;

/// A request that needs this long until its arrival at an upstream is logged; without faults it takes some
/// milliseconds.
pub const SLOW_ARRIVAL: Duration = Duration::from_millis(250);
/// Limit on logged requests per second; the histograms count all of them.
const MAX_LINES_PER_SECOND: u32 = 20;

/// A part of a request's way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Leg {
    /// `unread`, `read`, `chosen`, `connected`, `written`, `acknowledged` or `answered`, by what ends it, except for
    /// `unread`: the time in the gateway's socket.
    pub leg: &'static str,
}

/// The times of one attempt.
#[derive(Clone, Debug)]
pub struct Legs {
    request: Box<str>,
    /// When the request arrived in the gateway's socket, as far as that is known.
    arrived: Time,
    /// How long it lay there unread.
    unread: Duration,
    /// When it was complete.
    read: Time,
    chosen: Time,
    connected: Option<Time>,
    written: Option<Time>,
    /// When the upstream's system was first seen to have all of it.
    acknowledged: Option<Time>,
    answered: Option<Time>,
    /// The connection's round trip as of its last use before.
    round_trip: Duration,
}

impl Legs {
    pub fn new(request: &str, arrived: Time, unread: Duration, read: Time, chosen: Time) -> Self {
        Self {
            request: request.into(),
            arrived,
            unread,
            read,
            chosen,
            connected: None,
            written: None,
            acknowledged: None,
            answered: None,
            round_trip: Duration::ZERO,
        }
    }

    pub fn record_connected(&mut self, now: Time, round_trip: Duration) {
        self.connected = Some(now);
        self.round_trip = round_trip;
    }

    /// Returns when the request was written, or else when its connection was chosen.
    pub fn written(&self) -> Time {
        self.written.or(self.connected).unwrap_or(self.chosen)
    }

    /// Returns the connection's round trip, from before this request.
    pub fn round_trip(&self) -> Duration {
        self.round_trip
    }

    pub fn record_written(&mut self, now: Time) {
        self.written = Some(now);
    }

    pub fn record_acknowledged(&mut self, now: Time) {
        self.acknowledged.get_or_insert(now);
    }

    /// Records the head of the response, which proves that the request has arrived.
    pub fn record_answered(&mut self, now: Time) {
        self.record_acknowledged(now);
        self.answered.get_or_insert(now);
    }

    /// Returns the legs that have ended, in their order.
    pub fn durations(&self) -> impl Iterator<Item = (Leg, Duration)> {
        let ends = [
            ("read", Some(self.read)),
            ("chosen", Some(self.chosen)),
            ("connected", self.connected),
            ("written", self.written),
            ("acknowledged", self.acknowledged),
            ("answered", self.answered),
        ];
        let mut since = self.arrived + self.unread;
        let ended = ends.into_iter().map_while(move |(leg, end)| {
            let end = end?;
            let elapsed = end.since(since);
            since = end;
            Some((Leg { leg }, elapsed))
        });
        [(Leg { leg: "unread" }, self.unread)].into_iter().chain(ended)
    }

    /// Reports whether the request took long to arrive, or has not arrived after such a time.
    pub fn is_slow(&self, now: Time) -> bool {
        let Some(written) = self.written else { return false };
        let arrived = self.acknowledged.unwrap_or(now);
        self.unread + self.connected.unwrap_or(written).since(self.chosen) >= SLOW_ARRIVAL
            || arrived.since(self.connected.unwrap_or(written)) >= SLOW_ARRIVAL
            || self.read.since(self.arrived) >= SLOW_ARRIVAL
    }

    /// Logs the legs; those that have not ended are -1.
    pub fn log(&self, now: Time, upstream: &str) {
        let ended: Vec<_> = self.durations().collect();
        let ms = |leg: &str| {
            let found = ended.iter().find(|(ended, _)| ended.leg == leg);
            found.map_or(-1, |(_, elapsed)| elapsed.as_millis() as i64)
        };
        log::info!(
            event = "legs",
            request:% = self.request,
            upstream,
            unread_ms = ms("unread"),
            read_ms = ms("read"),
            chosen_ms = ms("chosen"),
            connected_ms = ms("connected"),
            written_ms = ms("written"),
            acknowledged_ms = ms("acknowledged"),
            answered_ms = ms("answered"),
            round_trip_ms = self.round_trip.as_millis() as u64,
            age_ms = now.since(self.arrived).as_millis() as u64;
            ""
        );
    }
}

/// Limits the logged requests.
#[derive(Debug, Default)]
pub struct LogLimit {
    second: Cell<u64>,
    lines: Cell<u32>,
}

impl LogLimit {
    /// Reports whether another request may be logged in this second, and counts it.
    pub fn take(&self, now: Time) -> bool {
        let second = now.0 / 1_000_000;
        if self.second.replace(second) != second {
            self.lines.set(0);
        }
        self.lines.set(self.lines.get() + 1);
        self.lines.get() <= MAX_LINES_PER_SECOND
    }
}
