//! Stops requests that crash each upstream that runs them.
//!
//! A request is known by the digest of its content, so that the caller's resend is recognised. Two
//! crashes count together only if the answer made no progress between them: a long answer that
//! loses two hosts, minutes apart, is no poison.

use std::time::Duration;

use indexmap::IndexMap;

use crate::units::Time;

/// How long a digest is refused after its last crash.
pub const POISON_TTL: Duration = Duration::from_mins(10);
/// How long one crash is remembered.
const REMEMBERED_FOR: Duration = Duration::from_mins(2);
/// The tokens of progress that clear a request of the crash before.
const PROGRESS_TOKENS: u64 = 8;
/// The most digests that are remembered.
const MAX_DIGESTS: usize = 4096;

/// The SHA-256 of a request's service and content.
pub type Digest = [u8; 32];

#[derive(Clone, Copy, Debug)]
enum Suspicion {
    Once { offset: u64 },
    Poison,
}

/// The digests of requests that have crashed upstreams.
#[derive(Clone, Debug, Default)]
pub struct PoisonRequests {
    digests: IndexMap<Digest, (Suspicion, Time)>,
}

impl PoisonRequests {
    /// Returns how long a request must be refused for, if it is poisonous.
    pub fn refused_for(&self, now: Time, digest: &Digest) -> Option<Duration> {
        match self.digests.get(digest) {
            Some((Suspicion::Poison, until)) if *until > now => Some(until.since(now)),
            _ => None,
        }
    }

    /// Notes that an upstream crashed with the request when its answer had `offset` tokens.
    ///
    /// Returns whether the request is poisonous from now on.
    pub fn record_crash(&mut self, now: Time, digest: Digest, offset: u64) -> bool {
        let poisonous = match self.digests.get(&digest) {
            Some((_, until)) if *until <= now => false,
            Some((Suspicion::Once { offset: before }, _)) => offset < before + PROGRESS_TOKENS,
            Some((Suspicion::Poison, _)) => true,
            None => false,
        };
        if poisonous {
            self.refuse(now, digest, POISON_TTL);
        } else {
            self.insert(now, digest, Suspicion::Once { offset }, now + REMEMBERED_FOR);
        }
        poisonous
    }

    /// Refuses a digest from now on; returns whether it was not refused before.
    pub fn refuse(&mut self, now: Time, digest: Digest, duration: Duration) -> bool {
        let is_new = self.refused_for(now, &digest).is_none();
        self.insert(now, digest, Suspicion::Poison, now + duration.min(POISON_TTL));
        is_new
    }

    fn insert(&mut self, now: Time, digest: Digest, suspicion: Suspicion, until: Time) {
        if self.digests.len() >= MAX_DIGESTS && !self.digests.contains_key(&digest) {
            self.digests.retain(|_, (_, until)| *until > now);
        }
        if self.digests.len() >= MAX_DIGESTS && !self.digests.contains_key(&digest) {
            self.digests.shift_remove_index(0);
        }
        self.digests.insert(digest, (suspicion, until));
    }
}
