//! Connections to upstreams that are kept for the next request.

use std::time::Duration;

use dogwoodturn::{ids::UpstreamId, units::Time};
use indexmap::IndexMap;

use crate::http::connection::Connection;

/// How long a kept connection is used again when the upstream does not say; upstreams close idle
/// connections, and a request that crosses such a close cannot be told from one that ran.
const DEFAULT_KEEP: Duration = Duration::from_millis(2500);
/// The part of the idle time that an upstream grants which is used.
const KEEP_SHARE: f64 = 0.5;
/// The most connections that are kept for one upstream.
const MAX_KEPT: usize = 16;
/// The part of a daemon's share of the connections that an upstream takes which may be kept; the
/// rest is for requests that need new ones.
const KEPT_SHARE: u32 = 2;

#[derive(Debug)]
struct Kept {
    connection: Connection,
    until: Time,
}

/// The kept connections by upstream.
#[derive(Debug, Default)]
pub struct Pool {
    kept: IndexMap<UpstreamId, Vec<Kept>>,
}

impl Pool {
    /// Takes the connection that was used last, if it is still sound.
    pub fn take(&mut self, now: Time, upstream: &UpstreamId) -> Option<Connection> {
        let kept = self.kept.get_mut(upstream)?;
        while let Some(candidate) = kept.pop() {
            if candidate.until > now && candidate.connection.is_idle() {
                return Some(candidate.connection);
            }
        }
        None
    }

    /// Keeps a connection on which exactly one answer was read.
    ///
    /// `share` is this daemon's part of the connections that the upstream takes from all.
    pub fn put(
        &mut self,
        now: Time,
        upstream: &UpstreamId,
        mut connection: Connection,
        granted: Option<Duration>,
        share: u32,
    ) {
        let keep = granted.map_or(DEFAULT_KEEP, |granted| granted.mul_f64(KEEP_SHARE));
        let kept = self.kept.entry(upstream.clone()).or_default();
        let most = MAX_KEPT.min((share / KEPT_SHARE).max(1) as usize);
        if kept.len() < most && !keep.is_zero() {
            connection.reused = true;
            kept.push(Kept { connection, until: now + keep });
        }
    }

    /// Closes what has been idle for too long.
    pub fn sweep(&mut self, now: Time) {
        for kept in self.kept.values_mut() {
            kept.retain(|kept| kept.until > now);
        }
        self.kept.retain(|_, kept| !kept.is_empty());
    }

    /// Closes the connections to an upstream that is gone.
    pub fn forget(&mut self, upstream: &UpstreamId) {
        self.kept.shift_remove(upstream);
    }
}
