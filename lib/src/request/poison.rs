//! Refuses requests that crash each upstream that runs them.
//!
//! A request is identified by the digest of its content, so that a resend by the caller is
//! recognised. A second crash makes a request poisonous only if the response made no progress since
//! the first: a long response that loses two hosts, minutes apart, is not poisonous.

use std::time::Duration;

use indexmap::IndexMap;

use crate::units::Time;

/// How long a digest is refused after its last crash.
pub const POISON_TTL: Duration = Duration::from_mins(10);
/// How long a single crash is remembered.
const CRASH_TTL: Duration = Duration::from_mins(2);
/// The number of tokens of progress after which an earlier crash no longer counts.
pub const PROGRESS_TOKENS: u64 = 8;
/// The maximum number of remembered digests.
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
    /// Returns the remaining time for which a request must be refused, if it is poisonous.
    pub fn refused_for(&self, now: Time, digest: &Digest) -> Option<Duration> {
        match self.digests.get(digest) {
            Some((Suspicion::Poison, until)) if *until > now => Some(until.since(now)),
            _ => None,
        }
    }

    /// Records that an upstream crashed running the request when its response had `offset` tokens.
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
            self.insert(now, digest, Suspicion::Once { offset }, now + CRASH_TTL);
        }
        poisonous
    }

    /// Refuses a digest for `duration`, at most [`POISON_TTL`].
    ///
    /// Returns whether it was not refused before.
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
