//! The links of one daemon: which are being opened, which are open, and when each was last used.

use std::{fmt, net::SocketAddr, time::Duration};

use indexmap::IndexMap;

use crate::{
    ids::DaemonId,
    peer::message::{Frame, Heartbeat},
    units::Time,
};

/// The most links that a daemon keeps open at once.
pub const MAX_LINKS: usize = 64;
/// How many messages wait for a link that is being opened.
const MAX_QUEUED_FRAMES: usize = 64;
/// The shortest wait before an address is dialled again.
const MIN_BACKOFF: Duration = Duration::from_millis(200);
/// The longest wait before an address is dialled again.
const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// How many addresses have their failures remembered.
const MAX_BACKOFF_ENTRIES: usize = 256;

/// Names a link of one daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum LinkId {
    /// This daemon has dialled; the slice chooses the number.
    Dialled(u64),
    /// The other end has dialled; the adapter chooses the number.
    Accepted(u64),
}

impl fmt::Display for LinkId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Dialled(number) => write!(f, "dialled-{number}"),
            Self::Accepted(number) => write!(f, "accepted-{number}"),
        }
    }
}

/// A link that is being opened.
#[derive(Clone, Debug)]
pub struct Dialling {
    /// Where it goes.
    pub address: SocketAddr,
    /// Whom it is for; unknown for a seed.
    pub peer: Option<DaemonId>,
    /// What is to be sent once it is open.
    pub queued: Vec<Frame>,
}

/// A link that is open.
#[derive(Clone, Debug)]
pub struct Link {
    /// The daemon at the other end.
    pub peer: DaemonId,
    /// When anything was last heard.
    pub last_received: Time,
    /// When anything was last sent.
    pub last_sent: Time,
    /// When a beat was last sent.
    pub heartbeat_sent: Option<Time>,
    /// When it was opened.
    pub opened_at: Time,
    /// When a message was last carried, so that an idle link is closed.
    pub last_used: Option<Time>,
    /// Whether the other end has told of itself.
    pub received_heartbeat: bool,
    /// What the other end last said of itself.
    pub last_heartbeat: Heartbeat,
    /// Since when the member lists differ.
    pub differs_since: Option<Time>,
    /// What is to be sent at the end of the event.
    pub frames: Vec<Frame>,
}

#[derive(Clone, Copy, Debug)]
struct Backoff {
    failures: u32,
    until: Time,
}

/// All links of one daemon.
#[derive(Clone, Debug, Default)]
pub struct Links {
    dialling: IndexMap<LinkId, Dialling>,
    open: IndexMap<LinkId, Link>,
    backoffs: IndexMap<SocketAddr, Backoff>,
    last_dialled: u64,
}

impl Links {
    /// Returns the open link to a peer.
    pub fn link_to(&self, peer: &DaemonId) -> Option<(LinkId, &Link)> {
        self.open.iter().find(|(_, link)| link.peer == *peer).map(|(&id, link)| (id, link))
    }

    /// Returns an open link.
    pub fn get_mut(&mut self, id: LinkId) -> Option<&mut Link> {
        self.open.get_mut(&id)
    }

    /// Returns the open links.
    pub fn open(&self) -> impl Iterator<Item = (LinkId, &Link)> {
        self.open.iter().map(|(&id, link)| (id, link))
    }

    /// Returns the open links, to change them.
    pub fn open_mut(&mut self) -> impl Iterator<Item = (LinkId, &mut Link)> {
        self.open.iter_mut().map(|(&id, link)| (id, link))
    }

    /// Begins to dial, unless the address is being dialled or has failed a short time ago.
    pub fn dial(
        &mut self,
        now: Time,
        address: SocketAddr,
        peer: Option<&DaemonId>,
    ) -> Option<LinkId> {
        let is_dialling = self.dialling.values().any(|dialling| dialling.address == address);
        let is_backing_off = self.backoffs.get(&address).is_some_and(|backoff| now < backoff.until);
        if is_dialling || is_backing_off || self.dialling.len() + self.open.len() >= MAX_LINKS {
            return None;
        }
        self.last_dialled += 1;
        let id = LinkId::Dialled(self.last_dialled);
        let dialling = Dialling { address, peer: peer.cloned(), queued: Vec::new() };
        self.dialling.insert(id, dialling);
        Some(id)
    }

    /// Lets a frame wait for a link that is being opened; false if there is none, or no room.
    pub fn enqueue(&mut self, peer: &DaemonId, frame: Frame) -> bool {
        let mut dialling = self.dialling.values_mut();
        match dialling.find(|dialling| dialling.peer.as_ref() == Some(peer)) {
            Some(dialling) if dialling.queued.len() < MAX_QUEUED_FRAMES => {
                dialling.queued.push(frame);
                true
            }
            _ => false,
        }
    }

    /// Takes a link as open and returns what waited for it.
    pub fn mark_open(&mut self, now: Time, id: LinkId, peer: DaemonId) -> Vec<Frame> {
        let dialling = self.dialling.swap_remove(&id);
        if let Some(dialling) = &dialling {
            self.backoffs.swap_remove(&dialling.address);
        }
        let link = Link {
            peer,
            last_received: now,
            last_sent: now,
            heartbeat_sent: None,
            opened_at: now,
            last_used: None,
            received_heartbeat: false,
            last_heartbeat: Heartbeat::default(),
            differs_since: None,
            frames: Vec::new(),
        };
        self.open.insert(id, link);
        dialling.map(|dialling| dialling.queued).unwrap_or_default()
    }

    /// Forgets a link; a failed dial is not repeated at once.
    pub fn remove(&mut self, now: Time, id: LinkId) -> Option<Link> {
        if let Some(dialling) = self.dialling.swap_remove(&id) {
            self.back_off(now, dialling.address);
        }
        self.open.swap_remove(&id)
    }

    /// Says whether anything is known of a link.
    pub fn contains(&self, id: LinkId) -> bool {
        self.dialling.contains_key(&id) || self.open.contains_key(&id)
    }

    /// Says whether there is room for one more link.
    pub fn has_room(&self) -> bool {
        self.open.len() < MAX_LINKS
    }

    fn back_off(&mut self, now: Time, address: SocketAddr) {
        let failures = self.backoffs.get(&address).map_or(0, |backoff| backoff.failures);
        let wait = MIN_BACKOFF.saturating_mul(1 << failures.min(5)).min(MAX_BACKOFF);
        let backoff = Backoff { failures: failures + 1, until: now + wait };
        self.backoffs.insert(address, backoff);
        if self.backoffs.len() > MAX_BACKOFF_ENTRIES {
            self.backoffs.shift_remove_index(0);
        }
    }
}
