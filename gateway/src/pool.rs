//! The pool of idle connections to upstreams.

use std::time::Duration;

use dogwoodturn::{http::connection::Connection, ids::UpstreamId, units::Time};
use indexmap::IndexMap;

/// How long an idle connection is reused when the upstream states no time-out. Upstreams close idle
/// connections, and a request that crosses such a close cannot be distinguished from one that ran.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(2500);
/// Fraction of the upstream's stated idle time-out for which a connection is reused.
const IDLE_TIMEOUT_SHARE: f64 = 0.5;
/// Maximum number of idle connections to one upstream.
const MAX_IDLE_PER_UPSTREAM: usize = 16;
/// Idle connections are limited to the daemon's share of an upstream's connections divided by this;
/// the rest is for requests that need new connections.
const IDLE_SHARE_DIVISOR: u32 = 2;

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    expires_at: Time,
}

/// Idle connections by upstream.
#[derive(Debug, Default)]
pub struct Pool {
    idle: IndexMap<UpstreamId, Vec<IdleConnection>>,
}

impl Pool {
    /// Removes and returns the most recently used connection that is still usable.
    pub fn acquire(&mut self, now: Time, upstream: &UpstreamId) -> Option<Connection> {
        let idle = self.idle.get_mut(upstream)?;
        while let Some(candidate) = idle.pop() {
            if candidate.expires_at > now && candidate.connection.is_idle() {
                return Some(candidate.connection);
            }
        }
        None
    }

    /// Adds a connection from which exactly the response to its last request was read.
    ///
    /// `upstream_timeout` is the idle time-out that the upstream stated. `connection_share` is this
    /// daemon's share of the connections that the upstream accepts from all daemons.
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

    /// Closes connections whose idle time has expired.
    pub fn evict_idle(&mut self, now: Time) {
        for idle in self.idle.values_mut() {
            idle.retain(|idle| idle.expires_at > now);
        }
        self.idle.retain(|_, idle| !idle.is_empty());
    }

    /// Closes the idle connections for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&Connection) -> bool) {
        for idle in self.idle.values_mut() {
            idle.retain(|idle| keep(&idle.connection));
        }
    }

    /// Closes all idle connections to an upstream.
    pub fn remove_upstream(&mut self, upstream: &UpstreamId) {
        self.idle.shift_remove(upstream);
    }
}
