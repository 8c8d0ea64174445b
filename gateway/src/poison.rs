//! Requests that crash the upstreams that run them.
//!
//! Load pattern: one caller sends the same request again and again, at any daemon, and each time
//! an upstream goes down. A request is known by a digest of path, customer and body; after
//! [`MAX_CRASHES`] broken connections, counted over all daemons, it is refused.

use std::time::Duration;

use dogwoodturn::units::Time;
use indexmap::IndexMap;

/// Crashes after which a request is refused. A caller repeats a request once, and one that
/// happened to be at work when an upstream went down for another reason rarely meets a third.
const MAX_CRASHES: u32 = 3;
/// How long a crash counts.
const CRASH_RETENTION: Duration = Duration::from_secs(60);
/// The most digests that are kept; the oldest go first.
const MAX_DIGESTS: usize = 256;
/// How long a crash is told to the peers.
const BROADCAST_PERIOD: Duration = Duration::from_secs(3);

/// What identifies a request beyond one attempt of its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Digest(pub u64);

#[derive(Clone, Debug, Default)]
struct Crashes {
    local: u32,
    last_local_crash: Time,
    peers: IndexMap<Box<str>, (u32, Time)>,
}

/// The requests that have crashed upstreams.
#[derive(Clone, Debug, Default)]
pub struct PoisonRequests(IndexMap<Digest, Crashes>);

impl PoisonRequests {
    /// Counts a crash that was seen here.
    pub fn record_crash(&mut self, now: Time, digest: Digest) {
        let crashes = self.entry(digest);
        crashes.local += 1;
        crashes.last_local_crash = now;
    }

    /// Takes that an upstream answered the request, so that it crashes none.
    pub fn clear_crashes(&mut self, digest: Digest) {
        self.0.shift_remove(&digest);
    }

    /// Takes how many crashes a peer has counted.
    pub fn apply_peer_count(&mut self, now: Time, peer: &str, digest: Digest, count: u32) {
        let crashes = self.entry(digest);
        crashes.peers.insert(peer.into(), (count, now));
    }

    /// Says whether a request must not reach another upstream.
    pub fn is_poison(&self, now: Time, digest: Digest) -> bool {
        let Some(crashes) = self.0.get(&digest) else { return false };
        let is_recent = |at: Time| now.since(at) < CRASH_RETENTION;
        let local = if is_recent(crashes.last_local_crash) { crashes.local } else { 0 };
        let peers = crashes.peers.values().filter(|(_, at)| is_recent(*at)).map(|(count, _)| count);
        local + peers.sum::<u32>() >= MAX_CRASHES
    }

    /// Returns what was counted here lately, for the peers.
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
