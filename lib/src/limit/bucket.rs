//! The part of a shared rate that one sender may use.

use std::time::Duration;

use crate::{ids::UpstreamId, limit::upstream::Position, units::Time};

/// The time for which a daemon's position among the senders is kept.
const POSITION_TTL: Duration = Duration::from_secs(1);
const MAX_WAIT: Duration = Duration::from_secs(10);

/// A token bucket of one sender. It saves up at most one request, so that all senders together stay
/// close to the rate even if they send at the same time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Bucket {
    tokens: f64,
    refilled_at: Time,
}

impl Bucket {
    pub(super) fn empty(now: Time) -> Self {
        Self { tokens: 0.0, refilled_at: now }
    }

    /// Returns the time until a request may be sent at `rate` requests a second; zero if it may be sent
    /// now, and [`MAX_WAIT`] at most.
    pub(super) fn wait(&mut self, now: Time, rate: f64) -> Duration {
        let added = now.since(self.refilled_at).as_secs_f64() * rate;
        self.tokens = (self.tokens + added).min(1.0);
        self.refilled_at = now;
        let missing = 1.0 - self.tokens;
        if missing <= 0.0 {
            return Duration::ZERO;
        }
        let wait = if rate > 0.0 { missing / rate } else { f64::MAX };
        Duration::from_secs_f64(wait.min(MAX_WAIT.as_secs_f64()))
    }

    /// Counts a request that is sent.
    pub(super) fn take(&mut self) {
        self.tokens -= 1.0;
    }
}

/// A position that is recomputed when it is older than [`POSITION_TTL`], since members come and go.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct CachedPosition(Option<(Time, Position)>);

impl CachedPosition {
    pub(super) fn get(
        &mut self,
        now: Time,
        upstream: &UpstreamId,
        compute: impl Fn(&UpstreamId) -> Position,
    ) -> Position {
        match self.0 {
            Some((at, position)) if now.since(at) < POSITION_TTL => position,
            _ => {
                let position = compute(upstream);
                self.0 = Some((now, position));
                position
            }
        }
    }
}
