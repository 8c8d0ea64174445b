//! What daemons tell each other about the configuration in force.
//!
//! Generations travel in the beats of the peer slice; these messages carry the bodies.

use serde::{Deserialize, Serialize};

use crate::{
    declaration::{
        delta::DeltaWire,
        wire::{SetDigest, WireError},
    },
    ids::Generation,
};

/// One message about the configuration.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// Asks for all that is later than the set that the sender holds.
    Pull {
        /// What the sender holds.
        have: Option<(Generation, SetDigest)>,
        /// The part that is wanted, if the answer is a whole set.
        part: u32,
    },
    /// Answers with the deltas from the asker's set on, in order.
    Deltas(Vec<DeltaWire>),
    /// Answers with a part of a whole set.
    Part(SetPart),
}

/// A part of an encoded set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SetPart {
    /// The generation of the set.
    pub generation: Generation,
    /// The digest of the set.
    pub digest: SetDigest,
    /// Which part it is, from 0.
    pub part: u32,
    /// How many parts there are.
    pub parts: u32,
    /// The bytes of the part.
    pub bytes: Vec<u8>,
}

/// A [`Message`] as it travels.
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
