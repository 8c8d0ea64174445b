//! What a daemon leaves undone just after its start, until it knows of the others.
//!
//! Load pattern: hundreds of daemons start at the same moment. Each lists the store once, since callers
//! are waiting. Until it has read the list of members again it takes itself for the only one, and would
//! watch everything; all would read the lease at once, and all would try to create it. So watches wait
//! until the others are known, or have had the time to register, and reads of the lease are spread: the
//! first to read it creates it, and the others receive its messages before their turn. See
//! `docs/design/platform.md`.

use std::time::Duration;

use dogwoodturn::{ids::DaemonId, units::Time};
use xxhash_rust::xxh3::xxh3_64;

use crate::hubs::MAX_DAEMONS_WITHOUT_HUBS;

/// The time from the start of many daemons until each has listed the others and hubs have been elected.
const DISCOVERY_TIME: Duration = Duration::from_secs(2);
/// The share of the drain time that this may take at most: a daemon that watches nothing learns of no
/// upstream that leaves.
const MAX_DRAIN_SHARE: f64 = 0.75;
/// The earliest first read of the lease in a system with hubs, and the time over which reads are spread.
const FIRST_LEASE_READ: Duration = Duration::from_millis(1000);
const LEASE_READ_SPREAD: Duration = Duration::from_millis(1500);

/// The first seconds of a daemon's run.
#[derive(Clone, Copy, Debug)]
pub struct Startup {
    started: Time,
    discovery_time: Duration,
    /// Differs between daemons, from 0 to 1.
    spread: f64,
}

impl Startup {
    /// Creates the state of a daemon that starts now, in a system whose upstreams serve for `drain` after
    /// they announced that they are leaving.
    pub fn new(now: Time, daemon: &DaemonId, drain: Duration) -> Self {
        let hash = xxh3_64(daemon.as_str().as_bytes());
        Self {
            started: now,
            discovery_time: DISCOVERY_TIME.min(drain.mul_f64(MAX_DRAIN_SHARE)),
            spread: (hash % 1000) as f64 / 1000.0,
        }
    }

    fn is_recent(&self, now: Time) -> bool {
        now.since(self.started) < self.discovery_time
    }

    /// Reports whether a daemon that knows of `daemons`, including itself, may learn of others soon.
    pub fn is_discovering(&self, now: Time, daemons: u32) -> bool {
        daemons <= 1 && self.is_recent(now)
    }

    /// Reports whether the hubs of a system of `daemons` may not have been elected yet.
    pub fn is_electing_hubs(&self, now: Time, daemons: u32) -> bool {
        daemons > MAX_DAEMONS_WITHOUT_HUBS && self.is_recent(now)
    }

    /// Returns when a daemon that knows of `daemons` may read the lease for the first time.
    pub fn first_lease_read(&self, daemons: u32) -> Time {
        let delay = match daemons {
            0 | 1 => self.discovery_time,
            2..=MAX_DAEMONS_WITHOUT_HUBS => Duration::ZERO,
            _ => FIRST_LEASE_READ + LEASE_READ_SPREAD.mul_f64(self.spread),
        };
        self.started + delay
    }
}
