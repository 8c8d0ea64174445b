//! Whether what this daemon writes arrives, as far as acknowledgements show.
//!
//! Load pattern: the link of this host is full, a connection has gone silent, or a host is gone. A write succeeds at
//! once all the same, and its bytes arrive seconds later or never. Closing the connection does not call back what is
//! on its way, so a request is not written where earlier bytes are waiting. Then a new connection is opened: its
//! handshake takes the same way and carries no request. If it succeeds in time, so will the request; if not, nothing
//! was sent. See `docs/design/platform.md`, "Time on the way".

use std::time::Duration;

use dogwoodturn::{ids::UpstreamId, units::Time};
use indexmap::IndexMap;

/// Bytes that are not acknowledged for this long are waiting; other data centres are a few milliseconds away.
const LATE_ACKNOWLEDGEMENT: Duration = Duration::from_millis(100);
/// Time for which a late acknowledgement counts. Without further requests nothing shows that the way is free again.
const EVIDENCE_LIFETIME: Duration = Duration::from_secs(2);

/// Bytes on one way that are not acknowledged.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    /// When the oldest of them were written.
    written: Time,
    /// When they were last seen to wait.
    seen: Time,
}

impl Waiting {
    fn is_late(&self, now: Time) -> bool {
        self.seen.since(self.written) >= LATE_ACKNOWLEDGEMENT
            && now.since(self.seen) < EVIDENCE_LIFETIME
    }
}

/// The ways from this host to the upstreams.
#[derive(Clone, Debug, Default)]
pub struct SendDelays {
    /// This host's own link, which all of them share.
    host: Option<Waiting>,
    upstreams: IndexMap<UpstreamId, Waiting>,
}

impl SendDelays {
    /// Records that bytes to an upstream are not acknowledged yet.
    pub fn record_waiting(&mut self, now: Time, upstream: &UpstreamId, written: Time) {
        let waiting = Waiting { written, seen: now };
        let host = self.host.get_or_insert(waiting);
        (host.written, host.seen) = (host.written.min(written), now);
        let own = self.upstreams.entry(upstream.clone()).or_insert(waiting);
        (own.written, own.seen) = (own.written.min(written), now);
    }

    /// Records that bytes, or a handshake, were acknowledged. A way is free if they were sent after those that wait.
    pub fn record_acknowledged(&mut self, upstream: &UpstreamId, written: Time) {
        if self.host.is_some_and(|waiting| waiting.written <= written) {
            self.host = None;
        }
        if self.upstreams.get(upstream).is_some_and(|waiting| waiting.written <= written) {
            self.upstreams.swap_remove(upstream);
        }
    }

    /// Reports whether bytes that were written to an upstream now might wait.
    pub fn is_delayed(&self, now: Time, upstream: &UpstreamId) -> bool {
        self.host.iter().chain(self.upstreams.get(upstream)).any(|waiting| waiting.is_late(now))
    }

    /// Removes what no longer counts.
    pub fn expire(&mut self, now: Time) {
        let counts = |waiting: &Waiting| now.since(waiting.seen) < EVIDENCE_LIFETIME;
        self.host = self.host.filter(counts);
        self.upstreams.retain(|_, waiting| counts(waiting));
    }
}
