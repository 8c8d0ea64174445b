//! The links of one daemon: those being opened, those open, and when each was last used.

use std::{fmt, net::SocketAddr, time::Duration};

use indexmap::IndexMap;

use crate::{
    ids::DaemonId,
    peer::message::{Frame, Heartbeat},
    units::Time,
};

/// The most links that are open at once. No address is dialled while this many links are open or
/// being opened.
pub const MAX_LINKS: usize = 64;
/// The most frames queued for a link that is being opened.
const MAX_QUEUED_FRAMES: usize = 64;
/// The delay before an address is dialled again after its first failure; it doubles with each.
const MIN_BACKOFF: Duration = Duration::from_millis(200);
/// The longest delay before an address is dialled again.
const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// The most addresses whose failures to connect are kept.
const MAX_BACKOFF_ENTRIES: usize = 256;

/// Identifies a link of one daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum LinkId {
    /// Dialled by this daemon; [`Links::dial`] assigns the number.
    Dialled(u64),
    /// Accepted from the other end; the caller of [`Links::mark_open`] assigns the number.
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
    pub address: SocketAddr,
    /// The daemon at the other end, or `None` for a seed or a failed member.
    pub peer: Option<DaemonId>,
    /// The frames to send once the link is open.
    pub queued: Vec<Frame>,
}

#[derive(Clone, Debug)]
pub struct Link {
    pub peer: DaemonId,
    /// When a packet was last received.
    pub last_received: Time,
    /// When a packet was last sent.
    pub last_sent: Time,
    /// When a heartbeat was last sent.
    pub heartbeat_sent: Option<Time>,
    pub opened_at: Time,
    /// When a message addressed to one daemon alone was last sent or received; idle links are
    /// closed.
    pub last_used: Option<Time>,
    /// Whether the other end has sent a heartbeat.
    pub received_heartbeat: bool,
    /// The last heartbeat from the other end.
    pub last_heartbeat: Heartbeat,
    /// Since when the member list of the other end differs from that of this daemon.
    pub differs_since: Option<Time>,
    /// The frames to send once the current event is handled.
    pub frames: Vec<Frame>,
}

#[derive(Clone, Copy, Debug)]
struct Backoff {
    failures: u32,
    until: Time,
}

#[derive(Clone, Debug, Default)]
pub struct Links {
    dialling: IndexMap<LinkId, Dialling>,
    open: IndexMap<LinkId, Link>,
    backoffs: IndexMap<SocketAddr, Backoff>,
    last_dialled: u64,
}

impl Links {
    pub fn link_to(&self, peer: &DaemonId) -> Option<(LinkId, &Link)> {
        self.open.iter().find(|(_, link)| link.peer == *peer).map(|(&id, link)| (id, link))
    }

    pub fn get_mut(&mut self, id: LinkId) -> Option<&mut Link> {
        self.open.get_mut(&id)
    }

    pub fn open_links(&self) -> impl Iterator<Item = (LinkId, &Link)> {
        self.open.iter().map(|(&id, link)| (id, link))
    }

    pub fn open_links_mut(&mut self) -> impl Iterator<Item = (LinkId, &mut Link)> {
        self.open.iter_mut().map(|(&id, link)| (id, link))
    }

    /// Starts to dial an address and returns the new link.
    ///
    /// Returns `None` if the address is already being dialled, if it is in its back-off time after
    /// a failure, or if there are [`MAX_LINKS`] links, open or being opened.
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

    /// Queues a frame for a link that is being opened; returns false if there is no such link or
    /// its queue is full.
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

    /// Records that a link is open and returns the frames queued for it.
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

    /// Removes a link. If it was being dialled, its address enters the back-off time.
    pub fn remove(&mut self, now: Time, id: LinkId) -> Option<Link> {
        if let Some(dialling) = self.dialling.swap_remove(&id) {
            self.back_off(now, dialling.address);
        }
        self.open.swap_remove(&id)
    }

    /// Reports whether a link is open or being opened.
    pub fn contains(&self, id: LinkId) -> bool {
        self.dialling.contains_key(&id) || self.open.contains_key(&id)
    }

    /// Reports whether fewer than [`MAX_LINKS`] links are open.
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
