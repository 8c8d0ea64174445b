//! Counts the messages between daemons by kind, and logs them periodically.
//!
//! Messages between daemons share the links of callers and upstreams. The counts show which kind fills a
//! link, and the ages show whether messages wait on the way.

use std::time::Duration;

use dogwoodturn::units::{Time, WallTime};
use indexmap::IndexMap;

use crate::peers::Datagram;

/// Interval of the log lines: a few times the longest time for which a link may be full without a sign of it
/// at callers.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Whether a message was sent, received or left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Direction {
    Sent,
    Received,
    /// Left out, since the link's budget was used.
    Unsent,
}

impl Direction {
    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Sent => "sent",
            Self::Received => "received",
            Self::Unsent => "unsent",
        }
    }
}

impl Datagram {
    /// Returns the name of the kind in logs and metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::State(_) => "state",
            Self::Hub(_) => "hub",
            Self::Work(_) => "work",
            Self::CrashEvidence(_) => "crash-evidence",
            Self::UpstreamLimits(_) => "upstream-limits",
            Self::Brittle(..) => "brittle",
            Self::Leaving(_) => "leaving",
        }
    }
}

/// The messages of one kind since the last log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub messages: u64,
    pub bytes: u64,
    /// The length of the longest message.
    pub longest: u64,
}

/// The messages of one daemon since its last log line.
#[derive(Clone, Debug, Default)]
pub struct PeerTraffic {
    counts: IndexMap<(Direction, &'static str), Counts>,
    /// The greatest age of a state message at its arrival, by the clocks of the two hosts.
    oldest: Duration,
    logged_at: Option<Time>,
}

impl PeerTraffic {
    /// Counts `messages` messages of the same content.
    pub fn count(
        &mut self,
        direction: Direction,
        kind: &'static str,
        length: usize,
        messages: usize,
    ) {
        let counts = self.counts.entry((direction, kind)).or_default();
        counts.messages += messages as u64;
        counts.bytes += (length * messages) as u64;
        counts.longest = counts.longest.max(length as u64);
    }

    /// Records when a state message that has arrived at `wall` was sent.
    pub fn record_age(&mut self, wall: WallTime, sent: WallTime) {
        self.oldest = self.oldest.max(Duration::from_millis(wall.0.saturating_sub(sent.0)));
    }

    /// Logs the counts and starts anew if that is due, and reports whether it was.
    pub fn log(&mut self, now: Time) -> bool {
        let since = *self.logged_at.get_or_insert(now);
        if now.since(since) < LOG_INTERVAL {
            return false;
        }
        self.logged_at = Some(now);
        for ((direction, kind), counts) in self.counts.drain(..) {
            let Counts { messages, bytes, longest } = counts;
            log::info!(event = "peer-traffic", direction = direction.name(), kind, messages, bytes, longest; "");
        }
        let oldest = std::mem::take(&mut self.oldest);
        log::info!(event = "peer-age", oldest_ms = oldest.as_millis() as u64; "");
        true
    }
}
