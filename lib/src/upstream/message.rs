//! Messages between daemons about upstreams.

use serde::{Deserialize, Serialize};

use crate::{declaration::wire::WireError, ids::HostId, units::WallTime};

/// Notice that a host will be reclaimed and gets no new work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    pub host: HostId,
    /// When the host will be reclaimed.
    pub at: WallTime,
}

/// Encoding of a [`Message`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MessageWire(HostId, WallTime);

impl From<Message> for MessageWire {
    fn from(message: Message) -> Self {
        Self(message.host, message.at)
    }
}

impl TryFrom<MessageWire> for Message {
    type Error = WireError;

    fn try_from(wire: MessageWire) -> Result<Self, WireError> {
        Ok(Self { host: wire.0, at: wire.1 })
    }
}
