//! Passes messages about requests between peers and the traffic threads.

use crate::{
    ids::DaemonId,
    node::{control::Output, message::PeerMessage},
    peer::Recipient,
    request::message::Message,
};

/// Sends a message of a traffic thread.
pub fn send(recipient: Recipient, message: Message, out: &mut Vec<Output>) {
    if let Message::Poison { digest, refused_for } = &message {
        // The other traffic threads of this daemon have to know as well.
        out.push(Output::Poison(*digest, *refused_for));
    }
    out.push(Output::Send(recipient, PeerMessage::Request(message)));
}

/// Gives a peer's message to the traffic threads.
pub fn receive(from: DaemonId, message: Message, out: &mut Vec<Output>) {
    out.push(match message {
        Message::Poison { digest, refused_for } => Output::Poison(digest, refused_for),
        message => Output::RequestMessage(from, message),
    });
}
