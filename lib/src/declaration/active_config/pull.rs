//! Fetches a newer set from one of the peers that have it.

use std::time::Duration;

use indexmap::IndexMap;

use crate::{
    declaration::message::SetPart,
    ids::{DaemonId, Generation},
    units::Time,
};

/// How long a peer may take to respond before the request goes to another one.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(600);
/// The maximum number of peers with a newer set that are recorded.
const MAX_SOURCES: usize = 16;

/// The peers that have a newer set, and the pending request to one of them.
#[derive(Clone, Debug, Default)]
pub struct Pull {
    sources: IndexMap<DaemonId, Generation>,
    pending: Option<PendingRequest>,
}

#[derive(Clone, Debug)]
struct PendingRequest {
    peer: DaemonId,
    deadline: Time,
    received: Option<SetPart>,
}

impl Pull {
    /// Records that a peer has a generation.
    pub fn add_source(&mut self, peer: DaemonId, generation: Generation) {
        if self.sources.len() < MAX_SOURCES || self.sources.contains_key(&peer) {
            self.sources.insert(peer, generation);
        }
    }

    /// Returns when the pending request times out.
    pub fn next_wakeup(&self) -> Option<Time> {
        self.pending.as_ref().map(|pending| pending.deadline)
    }

    /// Reports whether a recorded peer has a newer generation than `installed`.
    pub fn has_newer(&self, installed: Generation) -> bool {
        self.sources.values().any(|&generation| generation > installed)
    }

    /// Drops a peer that has not responded in time.
    pub fn expire(&mut self, now: Time) {
        if let Some(pending) = self.pending.take_if(|pending| pending.deadline <= now) {
            self.sources.shift_remove(&pending.peer);
        }
    }

    /// Drops a peer whose response was unusable.
    pub fn drop_source(&mut self, peer: &DaemonId) {
        self.sources.shift_remove(peer);
        self.pending.take_if(|pending| pending.peer == *peer);
    }

    /// Drops the peers that have nothing newer and returns the one to send a request to, if no
    /// request is pending.
    pub fn next_source(&mut self, now: Time, installed: Generation) -> Option<DaemonId> {
        self.sources.retain(|_, generation| *generation > installed);
        if self.pending.is_some() {
            return None;
        }
        let peer = self.sources.keys().next()?.clone();
        self.pending = Some(PendingRequest {
            peer: peer.clone(),
            deadline: now + RESPONSE_TIMEOUT,
            received: None,
        });
        Some(peer)
    }

    /// Ends the pending request to a peer that has responded.
    pub fn finish_request(&mut self, peer: &DaemonId) {
        self.pending.take_if(|pending| pending.peer == *peer);
    }

    /// Adds a part of a set received from the peer of the pending request.
    pub fn add_part(&mut self, now: Time, peer: &DaemonId, part: SetPart) -> PartResult {
        let Some(pending) = self.pending.as_mut().filter(|pending| pending.peer == *peer) else {
            return PartResult::Unexpected;
        };
        pending.deadline = now + RESPONSE_TIMEOUT;
        let assembled = match pending.received.take() {
            None if part.part == 0 => part,
            Some(mut before) if before.digest == part.digest && before.part + 1 == part.part => {
                before.bytes.extend(part.bytes);
                before.part = part.part;
                before
            }
            _ => return PartResult::Unexpected,
        };
        if assembled.part + 1 >= assembled.parts {
            return PartResult::Complete(assembled);
        }
        let next = assembled.part + 1;
        pending.received = Some(assembled);
        PartResult::Next(next)
    }
}

/// The result of [`Pull::add_part`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PartResult {
    /// This part is to be requested next.
    Next(u32),
    /// All parts have been received.
    Complete(SetPart),
    /// The part does not continue the ones received before, or no request to the peer is pending.
    Unexpected,
}
