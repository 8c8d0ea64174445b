//! Detection of requests that crash the upstreams that run them.
//!
//! Load pattern: one caller sends the same request repeatedly, to any daemon, and each time an
//! upstream crashes. A request is identified by a digest of its target, customer and body; after
//! [`MAX_CRASHES`] broken connections, counted over all daemons, it is refused.

use std::{fmt, time::Duration};

use dogwoodturn::units::Time;
use indexmap::IndexMap;

/// Crashes after which a request is refused. A caller sends a request again once, and a request
/// that happened to be in progress when an upstream crashed for another reason rarely meets a third
/// crash.
const MAX_CRASHES: u32 = 3;
/// Time for which a crash counts.
const CRASH_RETENTION: Duration = Duration::from_secs(60);
/// Digests that are kept; the oldest is evicted first.
const MAX_DIGESTS: usize = 256;
/// Time for which a crash is reported to the peers.
const BROADCAST_PERIOD: Duration = Duration::from_secs(3);

/// Identifies a request across its caller's attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Digest(pub u64);

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

#[derive(Clone, Debug, Default)]
struct Crashes {
    local: u32,
    last_local_crash: Time,
    peers: IndexMap<Box<str>, (u32, Time)>,
}

#[derive(Clone, Debug, Default)]
pub struct PoisonRequests(IndexMap<Digest, Crashes>);

impl PoisonRequests {
    /// Counts a crash observed by this daemon and returns how many it has observed.
    pub fn record_crash(&mut self, now: Time, digest: Digest) -> u32 {
        let crashes = self.entry(digest);
        crashes.local += 1;
        crashes.last_local_crash = now;
        crashes.local
    }

    /// Removes all crashes of a request that an upstream answered.
    pub fn clear_crashes(&mut self, digest: Digest) {
        self.0.shift_remove(&digest);
    }

    /// Records the number of crashes that a peer has counted.
    pub fn apply_peer_count(&mut self, now: Time, peer: &str, digest: Digest, count: u32) {
        let crashes = self.entry(digest);
        crashes.peers.insert(peer.into(), (count, now));
    }

    /// Reports whether a request must not be sent to another upstream.
    pub fn is_poison(&self, now: Time, digest: Digest) -> bool {
        let Some(crashes) = self.0.get(&digest) else { return false };
        let is_recent = |at: Time| now.since(at) < CRASH_RETENTION;
        let local = if is_recent(crashes.last_local_crash) { crashes.local } else { 0 };
        let peers = crashes.peers.values().filter(|(_, at)| is_recent(*at)).map(|(count, _)| count);
        local + peers.sum::<u32>() >= MAX_CRASHES
    }

    /// Returns this daemon's recent counts, to be sent to the peers.
    pub fn recent(&self, now: Time) -> Vec<(Digest, u32)> {
        let is_recent = |crashes: &Crashes| {
            crashes.local > 0 && now.since(crashes.last_local_crash) < BROADCAST_PERIOD
        };
        let reported = self.0.iter().filter(|(_, crashes)| is_recent(crashes));
        reported.map(|(digest, crashes)| (*digest, crashes.local)).collect()
    }

    fn entry(&mut self, digest: Digest) -> &mut Crashes {
        if self.0.len() >= MAX_DIGESTS && !self.0.contains_key(&digest) {
            self.0.shift_remove_index(0);
        }
        self.0.entry(digest).or_default()
    }
}
