//! Messages about claims between daemons.

use serde::{Deserialize, Serialize};

use crate::{
    claim::{
        ClaimId,
        item::{Item, ItemAnswer},
        wire::{ItemAnswerWire, ItemWire},
    },
    declaration::wire::WireError,
};

/// A message between a daemon and the writer of a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Requests that the shard's writer writes an item.
    Item(Box<Item>),
    /// The writer's answer to an item.
    Answer(ClaimId, ItemAnswer),
}

/// The wire form of a [`Message`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageWire {
    #[serde(rename = "i")]
    Item(Box<ItemWire>),
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
