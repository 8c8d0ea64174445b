//! What the peer slice sends and receives: packets, messages of the slices, and beats.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    ids::{DaemonId, Generation},
    node::message::PeerMessage,
    peer::{
        Recipient,
        links::LinkId,
        message::{Frame, Heartbeat, Packet},
        peers::{Effect, LinkEffect, Peers},
    },
    units::Time,
};

impl Peers {
    /// Adds a frame for each link between neighbours, but for the one that it came from.
    pub(super) fn spread(&mut self, except: Option<LinkId>, frame: &Frame) {
        let neighbours = &self.neighbours;
        for (id, link) in self.links.open_mut() {
            let between_neighbours = neighbours.contains(&link.peer) || link.heartbeat_frame.keep;
            if between_neighbours && Some(id) != except {
                link.frames.push(frame.clone());
            }
        }
    }

    pub(super) fn received(
        &mut self,
        now: Time,
        id: LinkId,
        packet: Packet,
        out: &mut Vec<Effect>,
    ) {
        let Some(link) = self.links.get_mut(id) else { return };
        link.heard = now;
        let peer = link.peer.clone();
        self.membership.withdraw(&peer);
        for frame in packet.0 {
            match frame {
                Frame::Heartbeat(heartbeat_frame) => {
                    self.heartbeat_received(id, &peer, heartbeat_frame, out);
                }
                Frame::Records(records) => {
                    for record in &records {
                        self.take_record(now, id, record);
                    }
                }
                Frame::Suspect(suspicion) => self.take_suspicion(now, Some(id), &suspicion),
                Frame::CompareDigests(digests) => self.compared(id, &digests),
                Frame::RequestBuckets(buckets) => {
                    let records = self.membership.bucket_records(&buckets);
                    if let Some(link) = self.links.get_mut(id) {
                        link.frames.push(Frame::Records(records));
                    }
                }
                Frame::Message(message) => {
                    if let Some(link) = self.links.get_mut(id) {
                        link.used = Some(now);
                    }
                    out.push(Effect::Deliver(peer.clone(), message));
                }
                Frame::Flood { origin, id: flood, message } => {
                    let frame = Frame::Flood { origin: origin.clone(), id: flood, message };
                    if self.floods.take(now, flood, &frame) {
                        self.spread(Some(id), &frame);
                        let Frame::Flood { message, .. } = frame else { continue };
                        out.push(Effect::Deliver(origin, message));
                    }
                }
            }
        }
    }

    pub(super) fn heartbeat_received(
        &mut self,
        id: LinkId,
        peer: &DaemonId,
        heartbeat_frame: Heartbeat,
        out: &mut Vec<Effect>,
    ) {
        let Some(link) = self.links.get_mut(id) else { return };
        let first = !std::mem::replace(&mut link.beating, true);
        link.heartbeat_frame = heartbeat_frame;
        if link.heartbeat_frame.generation > self.generation {
            out.push(Effect::NewerGeneration(peer.clone(), link.heartbeat_frame.generation));
        }
        if first && link.heartbeat_frame.members != self.digest && self.own() < peer {
            self.ask_to_compare(id);
        }
    }

    pub(super) fn send(
        &mut self,
        now: Time,
        recipient: Recipient,
        message: PeerMessage,
        out: &mut Vec<Effect>,
    ) {
        match recipient {
            Recipient::Daemon(peer) => self.send_to(now, &peer, message, out),
            Recipient::Neighbours => self.spread(None, &Frame::Message(message)),
            Recipient::NeighboursExcept(peer) => {
                let except = self.links.to(&peer).map(|(id, _)| id);
                self.spread(except, &Frame::Message(message));
            }
            Recipient::Flood => {
                self.flooded += 1;
                let origin = self.own().clone();
                let run = self.membership.own().member.incarnation;
                let name = format!("{origin} {run}");
                let id = xxh3_64_with_seed(name.as_bytes(), self.flooded);
                let frame = Frame::Flood { origin, id, message };
                self.floods.take(now, id, &frame);
                self.spread(None, &frame);
            }
        }
    }

    pub(super) fn send_to(
        &mut self,
        now: Time,
        peer: &DaemonId,
        message: PeerMessage,
        out: &mut Vec<Effect>,
    ) {
        if peer == self.own() {
            return out.push(Effect::Deliver(peer.clone(), message));
        }
        let frame = Frame::Message(message);
        if let Some((id, _)) = self.links.to(peer)
            && let Some(link) = self.links.get_mut(id)
        {
            link.used = Some(now);
            link.frames.push(frame);
            return;
        }
        self.dial(now, peer, out);
        if !self.links.wait(peer, frame) {
            out.push(Effect::Rejected(format!("no link to {peer}, a message is lost").into()));
        }
    }

    /// Lets each link that has sent no beat for a heartbeat send one.
    pub(super) fn send_heartbeats(&mut self, now: Time) {
        let heartbeat = self.config.heartbeat;
        let links = self.links.open();
        let due =
            links.filter(|(_, link)| link.beat_sent.is_none_or(|at| now.since(at) >= heartbeat));
        let due: Vec<LinkId> = due.map(|(id, _)| id).collect();
        for id in due {
            self.add_beat(now, id);
        }
    }

    pub(super) fn add_beat(&mut self, now: Time, id: LinkId) {
        let (members, generation, within) = (self.digest, self.generation, self.within());
        let Some(link) = self.links.get_mut(id) else { return };
        let keep = self.neighbours.contains(&link.peer);
        link.beat_sent = Some(now);
        link.frames.push(Frame::Heartbeat(Heartbeat { members, generation, keep, within }));
    }

    /// Tells the neighbours that do not have a generation yet that it is in force here.
    pub(super) fn active_generation(&mut self, now: Time, generation: Generation) {
        self.generation = generation;
        let behind = self.links.open().filter(|(_, link)| {
            let between_neighbours =
                self.neighbours.contains(&link.peer) || link.heartbeat_frame.keep;
            between_neighbours && link.heartbeat_frame.generation < generation
        });
        let behind: Vec<LinkId> = behind.map(|(id, _)| id).collect();
        for id in behind {
            self.add_beat(now, id);
        }
    }

    /// Sends what each link has to send, with a beat where one is soon due.
    pub(super) fn flush(&mut self, now: Time, out: &mut Vec<Effect>) {
        let soon = self.config.heartbeat / 2;
        let ready = self.links.open().filter(|(_, link)| !link.frames.is_empty());
        let ready: Vec<(LinkId, bool)> = ready
            .map(|(id, link)| (id, link.beat_sent.is_none_or(|at| now.since(at) >= soon)))
            .collect();
        for (id, with_beat) in ready {
            if with_beat {
                self.add_beat(now, id);
            }
            if let Some(link) = self.links.get_mut(id) {
                link.sent = now;
                let packet = Packet(std::mem::take(&mut link.frames));
                out.push(Effect::Link(LinkEffect::Send(id, packet)));
            }
        }
    }
}
