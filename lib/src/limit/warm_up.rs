//! Upstreams that have just started and crash if they get more than a number of requests in a second.
//!
//! Load pattern: upstreams of a whole data centre return at once, cold, while all daemons have requests
//! waiting and each learns of it at another moment. The number is shared as a limit that an upstream
//! names (see [`limit::upstream`](crate::limit::upstream)): a few senders by rendezvous rank, each with
//! at most one request saved up. The share follows from the number alone, so no messages are needed for
//! it, and what is left unused covers daemons that do not know yet that the upstream is cold.
//!
//! See `docs/design/warm-up.md`.

use std::time::Duration;

use indexmap::IndexMap;

use crate::{
    ids::UpstreamId,
    limit::{
        bucket::{Bucket, CachedPosition},
        upstream::Position,
    },
    units::Time,
};

/// The share of the bound that senders use. The rest is for daemons that are cut off and do not know of
/// the warm-up, and for requests that are delayed on their way.
const USED_SHARE: f64 = 0.85;

/// The longest time for which a response or a peer can say that an upstream stays cold.
pub const MAX_WARM_UP: Duration = Duration::from_secs(60);
/// The shortest time between two immediate reports of a restart of one upstream.
const NEWS_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which a sign of a restart is reported, as a message may be lost.
const REPORT_PERIOD: Duration = Duration::from_secs(1);

/// The requests that an upstream may get in any second while it is cold, from all daemons together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUpBound(f64);

impl WarmUpBound {
    /// Returns the bound for an upstream that tolerates `rate` requests a second, where `overshoot` times
    /// this plus `allowance` may arrive. Returns `None` if there is no rate, or a number is not finite or
    /// negative.
    pub fn new(rate: f64, overshoot: f64, allowance: f64) -> Option<Self> {
        let numbers = [rate, overshoot, allowance];
        let is_valid = numbers.iter().all(|number| number.is_finite() && *number >= 0.0);
        (is_valid && rate > 0.0).then_some(Self(rate * overshoot + allowance))
    }

    pub fn requests(self) -> f64 {
        self.0
    }

    /// Returns the requests a second that a daemon in this position may send. In any second, each sender
    /// sends at most this number and the request that it saved up.
    fn share(self, position: Position) -> f64 {
        let used = self.0 * USED_SHARE;
        let senders = ((used / 2.0) as u32).clamp(1, position.count.max(1));
        if position.rank >= senders {
            return 0.0;
        }
        let each = used / f64::from(senders);
        if each > 1.0 { each - 1.0 } else { each }
    }
}

/// An upstream that a daemon saw refuse connections or crash, and the time in milliseconds for which it counts
/// as cold.
pub type ReportWire = (UpstreamId, u64);

#[derive(Clone, Debug)]
struct WarmUp {
    bound: WarmUpBound,
    until: Time,
    /// When this daemon last saw a sign of a restart.
    observed_at: Option<Time>,
    bucket: Bucket,
    position: CachedPosition,
}

impl WarmUp {
    fn was_observed_within(&self, now: Time, age: Duration) -> bool {
        self.observed_at.is_some_and(|at| now.since(at) < age)
    }
}

/// A change that is logged.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    pub upstream: UpstreamId,
    /// The bound and the time for which it holds, or `None` if the upstream is warm.
    pub cold: Option<(WarmUpBound, Duration)>,
}

/// The upstreams that are cold.
#[derive(Clone, Debug, Default)]
pub struct WarmUps {
    upstreams: IndexMap<UpstreamId, WarmUp>,
    changes: Vec<Change>,
    /// Whether this daemon has seen a sign of a restart that peers do not know of.
    has_news: bool,
}

impl WarmUps {
    /// Reports whether no upstream is cold.
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }

    /// Records that an upstream stays cold for a time. A shorter time than the one known is ignored: it
    /// may be older, and sending less for a moment does no harm.
    pub fn extend(&mut self, now: Time, upstream: &UpstreamId, bound: WarmUpBound, left: Duration) {
        if left.is_zero() {
            return;
        }
        let until = now + left;
        if let Some(known) = self.upstreams.get_mut(upstream) {
            known.bound = bound;
            known.until = known.until.max(until);
            return;
        }
        let (bucket, position) = (Bucket::empty(now), CachedPosition::default());
        let warm_up = WarmUp { bound, until, observed_at: None, bucket, position };
        self.upstreams.insert(upstream.clone(), warm_up);
        self.changes.push(Change { upstream: upstream.clone(), cold: Some((bound, left)) });
    }

    /// Records that this daemon saw a cold upstream refuse a connection or crash, to be reported to peers.
    /// Those that saw nothing would take it for warm until the store lists its new run.
    pub fn observe(&mut self, now: Time, upstream: &UpstreamId) {
        if let Some(known) = self.upstreams.get_mut(upstream)
            && !known.was_observed_within(now, NEWS_INTERVAL)
        {
            known.observed_at = Some(now);
            self.has_news = true;
        }
    }

    /// Reports whether there is a new sign of a restart, and resets that.
    pub fn take_news(&mut self) -> bool {
        std::mem::take(&mut self.has_news)
    }

    /// Returns the upstreams that this daemon saw refuse connections or crash recently.
    pub fn reports(&self, now: Time) -> Vec<ReportWire> {
        let recent = self.upstreams.iter().filter(|(_, known)| {
            now < known.until && known.was_observed_within(now, REPORT_PERIOD)
        });
        recent.map(|(id, known)| (id.clone(), known.until.since(now).as_millis() as u64)).collect()
    }

    /// Returns the time until a request may be sent to an upstream; zero if it may be sent now.
    /// `position` returns this daemon's position among all that may send to the upstream.
    pub fn wait(
        &mut self,
        now: Time,
        upstream: &UpstreamId,
        position: impl Fn(&UpstreamId) -> Position,
    ) -> Duration {
        let Some(known) = self.upstreams.get_mut(upstream).filter(|known| now < known.until) else {
            return Duration::ZERO;
        };
        let position = known.position.get(now, upstream, position);
        let wait = known.bucket.wait(now, known.bound.share(position));
        wait.min(known.until.since(now))
    }

    /// Counts a request that is sent to an upstream.
    pub fn record_sent(&mut self, upstream: &UpstreamId) {
        if let Some(known) = self.upstreams.get_mut(upstream) {
            known.bucket.take();
        }
    }

    /// Removes the upstreams that are warm.
    pub fn expire(&mut self, now: Time) {
        let warm = self.upstreams.extract_if(.., |_, known| known.until <= now);
        self.changes.extend(warm.map(|(upstream, _)| Change { upstream, cold: None }));
    }

    /// Removes and returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }
}
