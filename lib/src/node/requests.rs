//! Routes messages about requests between peers and the traffic threads.

use crate::{
    ids::DaemonId,
    node::{control::Output, message::PeerMessage},
    peer::Recipient,
    request::message::Message,
};

/// Sends a message from a traffic thread to peers.
pub fn send(recipient: Recipient, message: Message, out: &mut Vec<Output>) {
    if let Message::Poison { digest, refused_for } = &message {
        // The other traffic threads of this daemon must refuse the request as well.
        out.push(Output::Poison(*digest, *refused_for));
    }
    if let Message::CrashEvidence(report) = &message {
        out.push(Output::CrashEvidence(report.clone()));
    }
    if let Message::UpstreamLimits(reports) = &message {
        out.push(Output::UpstreamLimits(reports.clone()));
    }
    out.push(Output::Send(recipient, PeerMessage::Request(message)));
}

/// Delivers a message from a peer to the traffic threads.
pub fn receive(from: DaemonId, message: Message, out: &mut Vec<Output>) {
    out.push(match message {
        Message::Poison { digest, refused_for } => Output::Poison(digest, refused_for),
        Message::CrashEvidence(report) => Output::CrashEvidence(report),
        Message::UpstreamLimits(reports) => Output::UpstreamLimits(reports),
        message => Output::RequestMessage(from, message),
    });
}
