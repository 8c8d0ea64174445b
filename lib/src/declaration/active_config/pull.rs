//! Gets a later set from one of the peers that have it.

use std::time::Duration;

use indexmap::IndexMap;

use crate::{
    declaration::message::SetPart,
    ids::{DaemonId, Generation},
    units::Time,
};

/// How long a peer may take to answer before another one is asked.
const ANSWER_WAIT: Duration = Duration::from_millis(600);
/// How many peers with a later set are remembered.
const MAX_HOLDERS: usize = 16;

/// The peers that have a later set, and the one that is being asked.
#[derive(Clone, Debug, Default)]
pub struct Pull {
    holders: IndexMap<DaemonId, Generation>,
    asked: Option<Asked>,
}

#[derive(Clone, Debug)]
struct Asked {
    peer: DaemonId,
    until: Time,
    received: Option<SetPart>,
}

impl Pull {
    /// Remembers that a peer has a generation.
    pub fn heard(&mut self, peer: DaemonId, generation: Generation) {
        if self.holders.len() < MAX_HOLDERS || self.holders.contains_key(&peer) {
            self.holders.insert(peer, generation);
        }
    }

    /// Returns when the answer is overdue.
    pub fn next_wakeup(&self) -> Option<Time> {
        self.asked.as_ref().map(|asked| asked.until)
    }

    /// Says whether a peer is known that has more than `installed`.
    pub fn has_later(&self, installed: Generation) -> bool {
        self.holders.values().any(|&generation| generation > installed)
    }

    /// Gives up on a peer that has not answered in time.
    pub fn expire(&mut self, now: Time) {
        if let Some(asked) = self.asked.take_if(|asked| asked.until <= now) {
            self.holders.shift_remove(&asked.peer);
        }
    }

    /// Gives up on a peer whose answer was useless.
    pub fn failed(&mut self, peer: &DaemonId) {
        self.holders.shift_remove(peer);
        self.asked.take_if(|asked| asked.peer == *peer);
    }

    /// Forgets the peers that have nothing later, and returns the one to ask now.
    pub fn next(&mut self, now: Time, installed: Generation) -> Option<DaemonId> {
        self.holders.retain(|_, generation| *generation > installed);
        if self.asked.is_some() {
            return None;
        }
        let peer = self.holders.keys().next()?.clone();
        self.asked = Some(Asked { peer: peer.clone(), until: now + ANSWER_WAIT, received: None });
        Some(peer)
    }

    /// Ends the question to a peer that has answered.
    pub fn answered(&mut self, peer: &DaemonId) {
        self.asked.take_if(|asked| asked.peer == *peer);
    }

    /// Takes a part of a set from the peer that was asked.
    pub fn part(&mut self, now: Time, peer: &DaemonId, part: SetPart) -> Parts {
        let Some(asked) = self.asked.as_mut().filter(|asked| asked.peer == *peer) else {
            return Parts::Useless;
        };
        asked.until = now + ANSWER_WAIT;
        let whole = match asked.received.take() {
            None if part.part == 0 => part,
            Some(mut before) if before.digest == part.digest && before.part + 1 == part.part => {
                before.bytes.extend(part.bytes);
                before.part = part.part;
                before
            }
            _ => return Parts::Useless,
        };
        if whole.part + 1 >= whole.parts {
            return Parts::Whole(whole);
        }
        let next = whole.part + 1;
        asked.received = Some(whole);
        Parts::Next(next)
    }
}

/// What to do after a part has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Parts {
    /// Ask for this part next.
    Next(u32),
    /// All parts are there.
    Whole(SetPart),
    /// The part does not continue what came before.
    Useless,
}
