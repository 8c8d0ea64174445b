//! Membership and dissemination between daemons.
//!
//! [`peers::Peers`] is the slice: it keeps a member list by heartbeats between the neighbours of a
//! random regular [`overlay`], and carries the other slices' messages. [`handshake`]
//! authenticates both ends of a link. See `docs/design/membership.md`.

pub mod flood;
pub mod handshake;
pub mod links;
pub mod membership;
pub mod message;
pub mod overlay;
pub mod peers;

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{DaemonId, DataCentre, Incarnation, Region};

/// A daemon that is taken to be live.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Member {
    /// The daemon.
    pub daemon: DaemonId,
    /// Its run; a later run has a larger number.
    pub incarnation: Incarnation,
    /// Where its peers connect.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The region of that data centre.
    pub region: Region,
}

/// A [`Member`] as it travels.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberWire(DaemonId, Incarnation, SocketAddr, DataCentre, Region);

impl From<Member> for MemberWire {
    fn from(member: Member) -> Self {
        let Member { daemon, incarnation, address, data_centre, region } = member;
        Self(daemon, incarnation, address, data_centre, region)
    }
}

impl From<MemberWire> for Member {
    fn from(wire: MemberWire) -> Self {
        let MemberWire(daemon, incarnation, address, data_centre, region) = wire;
        Self { daemon, incarnation, address, data_centre, region }
    }
}

/// Who gets a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Recipient {
    /// One daemon, over a link opened for it if there is none.
    Daemon(DaemonId),
    /// Every neighbour in the overlay.
    Neighbours,
    /// Every neighbour but one, so that a message does not return to where it came from.
    NeighboursExcept(DaemonId),
    /// Every other daemon, each once: neighbours pass the message on, and repeats are dropped
    /// before they reach the slice. Neighbours that link up later get the recent ones too.
    /// The slice that receives it must not send it on.
    Flood,
}
