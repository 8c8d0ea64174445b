//! Connections to upstreams that are kept for the next request.

use std::time::Duration;

use dogwoodturn::{ids::UpstreamId, units::Time};
use indexmap::IndexMap;

use crate::http::connection::Connection;

/// How long a kept connection is used again when the upstream does not say; upstreams close idle
/// connections, and a request that crosses such a close cannot be told from one that ran.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(2500);
/// The part of the idle time that an upstream grants which is used.
const IDLE_TIMEOUT_SHARE: f64 = 0.5;
/// The most connections that are kept for one upstream.
const MAX_IDLE_PER_UPSTREAM: usize = 16;
/// The part of a daemon's share of the connections that an upstream takes which may be kept; the
/// rest is for requests that need new ones.
const IDLE_SHARE_DIVISOR: u32 = 2;

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    expires_at: Time,
}

/// The kept connections by upstream.
#[derive(Debug, Default)]
pub struct Pool {
    idle: IndexMap<UpstreamId, Vec<IdleConnection>>,
}

impl Pool {
    /// Takes the connection that was used last, if it is still sound.
    pub fn acquire(&mut self, now: Time, upstream: &UpstreamId) -> Option<Connection> {
        let idle = self.idle.get_mut(upstream)?;
        while let Some(candidate) = idle.pop() {
            if candidate.expires_at > now && candidate.connection.is_idle() {
                return Some(candidate.connection);
            }
        }
        None
    }

    /// Keeps a connection on which exactly one answer was read.
    ///
    /// `share` is this daemon's part of the connections that the upstream takes from all.
    pub fn release(
        &mut self,
        now: Time,
        upstream: &UpstreamId,
        mut connection: Connection,
        upstream_timeout: Option<Duration>,
        connection_share: u32,
    ) {
        let idle_timeout = upstream_timeout.map_or(DEFAULT_IDLE_TIMEOUT, |upstream_timeout| {
            upstream_timeout.mul_f64(IDLE_TIMEOUT_SHARE)
        });
        let idle = self.idle.entry(upstream.clone()).or_default();
        let max_idle =
            MAX_IDLE_PER_UPSTREAM.min((connection_share / IDLE_SHARE_DIVISOR).max(1) as usize);
        if idle.len() < max_idle && !idle_timeout.is_zero() {
            connection.reused = true;
            idle.push(IdleConnection { connection, expires_at: now + idle_timeout });
        }
    }

    /// Closes what has been idle for too long.
    pub fn sweep(&mut self, now: Time) {
        for idle in self.idle.values_mut() {
            idle.retain(|idle| idle.expires_at > now);
        }
        self.idle.retain(|_, idle| !idle.is_empty());
    }

    /// Closes the connections to an upstream that is gone.
    pub fn forget(&mut self, upstream: &UpstreamId) {
        self.idle.shift_remove(upstream);
    }
}
