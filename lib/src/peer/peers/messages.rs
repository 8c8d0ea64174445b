//! Sending and receiving: packets, messages of other modules, and heartbeats.

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
    /// Adds a frame to each link between neighbours, except the one over which it came.
    pub(super) fn broadcast(&mut self, except: Option<LinkId>, frame: &Frame) {
        let neighbours = &self.neighbours;
        for (id, link) in self.links.open_links_mut() {
            let is_overlay_link = neighbours.contains(&link.peer) || link.last_heartbeat.keep_link;
            if is_overlay_link && Some(id) != except {
                link.frames.push(frame.clone());
            }
        }
    }

    pub(super) fn receive(&mut self, now: Time, id: LinkId, packet: Packet, out: &mut Vec<Effect>) {
        let Some(link) = self.links.get_mut(id) else { return };
        link.last_received = now;
        let peer = link.peer.clone();
        self.membership.withdraw_suspicion(&peer);
        for frame in packet.0 {
            match frame {
                Frame::Heartbeat(heartbeat_frame) => {
                    self.heartbeat_received(id, &peer, heartbeat_frame, out);
                }
                Frame::Records(records) => {
                    for record in &records {
                        self.apply_record(now, id, record);
                    }
                }
                Frame::Suspect(suspicion) => self.apply_suspicion(now, Some(id), &suspicion),
                Frame::CompareDigests(digests) => self.handle_digests(id, &digests),
                Frame::RequestBuckets(buckets) => {
                    let records = self.membership.bucket_records(&buckets);
                    if let Some(link) = self.links.get_mut(id) {
                        link.frames.push(Frame::Records(records));
                    }
                }
                Frame::Message(message) => {
                    if let Some(link) = self.links.get_mut(id) {
                        link.last_used = Some(now);
                    }
                    out.push(Effect::Deliver(peer.clone(), message));
                }
                Frame::Flood { origin, id: flood, message } => {
                    let frame = Frame::Flood { origin: origin.clone(), id: flood, message };
                    if self.floods.remember(now, flood, &frame) {
                        self.broadcast(Some(id), &frame);
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
        let is_first = !std::mem::replace(&mut link.received_heartbeat, true);
        link.last_heartbeat = heartbeat_frame;
        if link.last_heartbeat.generation > self.generation {
            out.push(Effect::NewerGeneration(peer.clone(), link.last_heartbeat.generation));
        }
        if is_first && link.last_heartbeat.members != self.digest && self.own() < peer {
            self.request_comparison(id);
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
            Recipient::Neighbours => self.broadcast(None, &Frame::Message(message)),
            Recipient::NeighboursExcept(peer) => {
                let except = self.links.link_to(&peer).map(|(id, _)| id);
                self.broadcast(except, &Frame::Message(message));
            }
            Recipient::Flood => {
                self.flood_count += 1;
                let origin = self.own().clone();
                let run = self.membership.own().member.incarnation;
                let name = format!("{origin} {run}");
                let id = xxh3_64_with_seed(name.as_bytes(), self.flood_count);
                let frame = Frame::Flood { origin, id, message };
                self.floods.remember(now, id, &frame);
                self.broadcast(None, &frame);
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
        if let Some((id, _)) = self.links.link_to(peer)
            && let Some(link) = self.links.get_mut(id)
        {
            link.last_used = Some(now);
            link.frames.push(frame);
            return;
        }
        self.dial(now, peer, out);
        if !self.links.enqueue(peer, frame) {
            out.push(Effect::Rejected(
                format!("no link to {peer}, so a message to it is lost").into(),
            ));
        }
    }

    /// Adds a heartbeat to each link that has sent none for a heartbeat interval.
    pub(super) fn send_heartbeats(&mut self, now: Time) {
        let heartbeat = self.config.heartbeat;
        let links = self.links.open_links();
        let due = links
            .filter(|(_, link)| link.heartbeat_sent.is_none_or(|at| now.since(at) >= heartbeat));
        let due: Vec<LinkId> = due.map(|(id, _)| id).collect();
        for id in due {
            self.add_heartbeat(now, id);
        }
    }

    pub(super) fn add_heartbeat(&mut self, now: Time, id: LinkId) {
        let (members, generation, lowest_within) =
            (self.digest, self.generation, self.lowest_within());
        let Some(link) = self.links.get_mut(id) else { return };
        let keep_link = self.neighbours.contains(&link.peer);
        link.heartbeat_sent = Some(now);
        link.frames.push(Frame::Heartbeat(Heartbeat {
            members,
            generation,
            keep_link,
            lowest_within,
        }));
    }

    /// Records the generation in force here and sends a heartbeat to the neighbours that lack it.
    pub(super) fn set_generation(&mut self, now: Time, generation: Generation) {
        self.generation = generation;
        let behind = self.links.open_links().filter(|(_, link)| {
            let is_overlay_link =
                self.neighbours.contains(&link.peer) || link.last_heartbeat.keep_link;
            is_overlay_link && link.last_heartbeat.generation < generation
        });
        let behind: Vec<LinkId> = behind.map(|(id, _)| id).collect();
        for id in behind {
            self.add_heartbeat(now, id);
        }
    }

    /// Sends the pending frames of each link, with a heartbeat where one is due within half an
    /// interval.
    pub(super) fn flush(&mut self, now: Time, out: &mut Vec<Effect>) {
        let soon = self.config.heartbeat / 2;
        let ready = self.links.open_links().filter(|(_, link)| !link.frames.is_empty());
        let ready: Vec<(LinkId, bool)> = ready
            .map(|(id, link)| (id, link.heartbeat_sent.is_none_or(|at| now.since(at) >= soon)))
            .collect();
        for (id, with_heartbeat) in ready {
            if with_heartbeat {
                self.add_heartbeat(now, id);
            }
            if let Some(link) = self.links.get_mut(id) {
                link.last_sent = now;
                let packet = Packet(std::mem::take(&mut link.frames));
                out.push(Effect::Link(LinkEffect::Send(id, packet)));
            }
        }
    }
}
