//! Membership and dissemination between daemons.
//!
//! [`peers::Peers`] maintains a member list by heartbeats between the neighbours of a random
//! regular [`overlay`], and carries the messages of the other modules. [`handshake`] authenticates
//! both ends of a link. See `docs/design/membership.md`.

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

/// A daemon in the member list.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Member {
    pub daemon: DaemonId,
    /// Identifies a run of the daemon; a later run has a larger number.
    pub incarnation: Incarnation,
    pub address: SocketAddr,
    pub data_centre: DataCentre,
    pub region: Region,
}

/// The wire format of a [`Member`].
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

/// The recipients of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Recipient {
    /// One daemon, over a link that is opened if there is none.
    Daemon(DaemonId),
    /// Every neighbour in the overlay.
    Neighbours,
    /// Every neighbour except one, so that a message is not returned to its sender.
    NeighboursExcept(DaemonId),
    /// Every other daemon, each once: neighbours forward the message, and duplicates are dropped
    /// before delivery. Neighbours whose links open later receive the recent messages too. The
    /// module that receives the message must not forward it.
    Flood,
}
