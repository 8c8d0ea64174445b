//! Messages between daemons that carry the active configuration.
//!
//! Generation numbers are sent in the heartbeats of the `peer` module; these messages carry the
//! declared objects.

use serde::{Deserialize, Serialize};

use crate::{
    declaration::{
        delta::DeltaWire,
        wire::{SetDigest, WireError},
    },
    ids::Generation,
};

/// One message that requests or carries configuration.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// Requests everything newer than the set that the sender has.
    Pull {
        /// The generation and digest of the sender's set; `None` if it has none.
        have: Option<(Generation, SetDigest)>,
        /// The part to send, from 0, if the response is a whole set.
        part: u32,
    },
    /// Responds with the deltas from the requester's set to the newest one, in order.
    Deltas(Vec<DeltaWire>),
    /// Responds with one part of a whole set.
    Part(SetPart),
}

/// A part of an encoded set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SetPart {
    /// The generation of the whole set.
    pub generation: Generation,
    /// The digest of the whole set.
    pub digest: SetDigest,
    /// The index of this part, from 0.
    pub part: u32,
    /// The number of parts of the set.
    pub parts: u32,
    pub bytes: Vec<u8>,
}

/// The wire form of a [`Message`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum MessageWire {
    /// See [`Message::Pull`].
    #[serde(rename = "p")]
    Pull(Option<(Generation, SetDigest)>, u32),
    /// See [`Message::Deltas`].
    #[serde(rename = "d")]
    Deltas(Vec<DeltaWire>),
    /// See [`Message::Part`].
    #[serde(rename = "s")]
    Part(Generation, SetDigest, u32, u32, #[serde(with = "serde_bytes")] Vec<u8>),
}

impl From<Message> for MessageWire {
    fn from(message: Message) -> Self {
        match message {
            Message::Pull { have, part } => Self::Pull(have, part),
            Message::Deltas(deltas) => Self::Deltas(deltas),
            Message::Part(SetPart { generation, digest, part, parts, bytes }) => {
                Self::Part(generation, digest, part, parts, bytes)
            }
        }
    }
}

impl TryFrom<MessageWire> for Message {
    type Error = WireError;

    fn try_from(wire: MessageWire) -> Result<Self, WireError> {
        Ok(match wire {
            MessageWire::Pull(have, part) => Self::Pull { have, part },
            MessageWire::Deltas(deltas) => Self::Deltas(deltas),
            MessageWire::Part(generation, digest, part, parts, bytes) => {
                Self::Part(SetPart { generation, digest, part, parts, bytes })
            }
        })
    }
}
