//! What daemons tell each other about claims.

use serde::{Deserialize, Serialize};

use crate::{
    claim::{
        ClaimId,
        item::{Item, ItemAnswer},
        wire::{ItemAnswerWire, ItemWire},
    },
    declaration::wire::WireError,
};

/// What one daemon tells the daemon that gathers a shard's claims, or is told by it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Asks for an item to be written.
    Item(Box<Item>),
    /// Answers an item.
    Answer(ClaimId, ItemAnswer),
}

/// A [`Message`] as it travels.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageWire {
    /// See [`Message::Item`].
    #[serde(rename = "i")]
    Item(Box<ItemWire>),
    /// See [`Message::Answer`].
    #[serde(rename = "a")]
    Answer(ItemAnswerWire),
}

impl From<Message> for MessageWire {
    fn from(message: Message) -> Self {
        match message {
            Message::Item(item) => Self::Item(Box::new((*item).into())),
            Message::Answer(id, answer) => Self::Answer((id, answer).into()),
        }
    }
}

impl TryFrom<MessageWire> for Message {
    type Error = WireError;

    fn try_from(wire: MessageWire) -> Result<Self, WireError> {
        Ok(match wire {
            MessageWire::Item(wire) => Self::Item(Box::new((*wire).try_into()?)),
            MessageWire::Answer(wire) => {
                let (id, answer) = wire.into();
                Self::Answer(id, answer)
            }
        })
    }
}
