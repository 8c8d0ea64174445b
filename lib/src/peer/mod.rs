//! Membership and dissemination between daemons.

use std::net::SocketAddr;

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
