//! The messages between daemons, one variant for each component that communicates with peers.
//!
//! A component defines its own `Message` and `MessageWire` in `<component>/message.rs`, with `From`
//! and `TryFrom` between them; this module only combines them.

use serde::{Deserialize, Serialize};

use crate::declaration::wire::WireError;

/// A message from one daemon to another.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerMessage {
    /// Fetching, handover and poison notices of requests.
    Request(crate::request::message::Message),
    /// Claims sent to the daemon that writes them, and its responses.
    Claim(crate::claim::message::Message),
    /// The active configuration.
    Declaration(crate::declaration::message::Message),
    /// Evidence, holds and outcomes of moves.
    Moves(crate::moves::message::Message),
    /// Demand and refused starts, sent to the daemons that plan hosts.
    Supply(crate::supply::message::Message),
    /// Notice that a host is leaving; flooded to all daemons.
    Leaving(crate::upstream::message::Message),
}

impl PeerMessage {
    /// Reports whether a slow link may drop the message because a later one supersedes it.
    ///
    /// Only statistics may be dropped, never a message that a guarantee depends on.
    pub fn droppable(&self) -> bool {
        match self {
            Self::Moves(message) => message.droppable(),
            Self::Supply(_) => true,
            Self::Request(_) | Self::Claim(_) | Self::Declaration(_) | Self::Leaving(_) => false,
        }
    }
}

/// The wire format of a [`PeerMessage`], encoded as CBOR.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessageWire {
    /// See [`PeerMessage::Request`].
    #[serde(rename = "q")]
    Request(crate::request::message::MessageWire),
    /// See [`PeerMessage::Claim`].
    #[serde(rename = "c")]
    Claim(crate::claim::message::MessageWire),
    /// See [`PeerMessage::Declaration`].
    #[serde(rename = "d")]
    Declaration(crate::declaration::message::MessageWire),
    /// See [`PeerMessage::Moves`].
    #[serde(rename = "m")]
    Moves(crate::moves::message::MessageWire),
    /// See [`PeerMessage::Supply`].
    #[serde(rename = "s")]
    Supply(crate::supply::message::MessageWire),
    /// See [`PeerMessage::Leaving`].
    #[serde(rename = "u")]
    Leaving(crate::upstream::message::MessageWire),
}

impl From<PeerMessage> for PeerMessageWire {
    fn from(message: PeerMessage) -> Self {
        match message {
            PeerMessage::Request(message) => Self::Request(message.into()),
            PeerMessage::Claim(message) => Self::Claim(message.into()),
            PeerMessage::Declaration(message) => Self::Declaration(message.into()),
            PeerMessage::Moves(message) => Self::Moves(message.into()),
            PeerMessage::Supply(message) => Self::Supply(message.into()),
            PeerMessage::Leaving(message) => Self::Leaving(message.into()),
        }
    }
}

impl TryFrom<PeerMessageWire> for PeerMessage {
    type Error = WireError;

    fn try_from(wire: PeerMessageWire) -> Result<Self, WireError> {
        Ok(match wire {
            PeerMessageWire::Request(wire) => Self::Request(wire.try_into()?),
            PeerMessageWire::Claim(wire) => Self::Claim(wire.try_into()?),
            PeerMessageWire::Declaration(wire) => Self::Declaration(wire.try_into()?),
            PeerMessageWire::Moves(wire) => Self::Moves(wire.try_into()?),
            PeerMessageWire::Supply(wire) => Self::Supply(wire.try_into()?),
            PeerMessageWire::Leaving(wire) => Self::Leaving(wire.try_into()?),
        })
    }
}
