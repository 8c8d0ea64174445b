//! Membership and messages at one daemon: its member list, its links, and the messages they carry.

mod members;
mod messages;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use indexmap::{IndexMap, IndexSet};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    ids::{DaemonId, Generation},
    node::message::PeerMessage,
    peer::{
        Member, Recipient,
        flood::Floods,
        links::{LinkId, Links},
        membership::Membership,
        message::{CONVERGENCE_DEPTH, Frame, Heartbeat, MemberState, Packet, Record},
    },
    units::Time,
};

/// The heartbeat intervals without a packet after which a neighbour is suspected.
const MAX_MISSED_HEARTBEATS: u32 = 3;
/// The heartbeat intervals after which a suspicion without enough reporters makes a member failed.
const SUSPICION_HEARTBEATS: u32 = 4;
/// The heartbeat intervals for which the daemon with the larger name waits for the other to dial.
const DIAL_DELAY_HEARTBEATS: u32 = 1;
/// The heartbeat intervals for which member lists may differ before they are compared.
const COMPARE_DELAY_HEARTBEATS: u32 = 2;
/// The heartbeat intervals after its last message for which a link that neither end wants is kept.
const IDLE_LINK_HEARTBEATS: u32 = 30;
/// The heartbeat intervals for which a link that neither end wants is kept if it carries no
/// messages.
const UNUSED_LINK_HEARTBEATS: u32 = 3;
/// The heartbeat intervals between attempts to dial seeds and failed members.
const RECONNECT_HEARTBEATS: u32 = 5;
/// The number of ticks in a heartbeat interval.
const TICKS_PER_HEARTBEAT: u32 = 4;

/// The configuration of [`Peers`].
#[derive(Clone, Debug)]
pub struct Config {
    pub own: Member,
    /// The addresses of the daemons to contact first.
    pub seeds: Vec<SocketAddr>,
    /// The interval of heartbeats over each link.
    pub heartbeat: Duration,
}

/// A report about a link.
#[derive(Clone, Debug, PartialEq)]
pub enum LinkEvent {
    /// The link is open and both ends are authenticated.
    Opened(LinkId, Member),
    /// The link was closed, or could not be opened.
    Closed(LinkId),
    Received(LinkId, Packet),
}

/// An operation on a link, for the caller to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum LinkEffect {
    /// Open a link; [`LinkEvent::Opened`] or [`LinkEvent::Closed`] reports the result.
    Dial(LinkId, SocketAddr),
    Send(LinkId, Packet),
    /// Close a link after the packets that were sent before.
    Close(LinkId),
}

/// An input to [`Peers::handle`].
#[derive(Clone, Debug)]
pub enum Event {
    Started,
    Link(LinkEvent),
    /// Another module sends a message.
    Send(Recipient, PeerMessage),
    /// This generation is now in force at this daemon.
    ActiveGeneration(Generation),
    /// The daemon is about to shut down.
    Leave,
    /// The time returned by [`Peers::next_wakeup`] has come.
    Woken,
}

/// An output of [`Peers::handle`].
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Link(LinkEffect),
    /// Deliver a message from a daemon to the module that handles it.
    Deliver(DaemonId, PeerMessage),
    /// The live members have changed to these, including this daemon, ordered by name.
    Members(Arc<[Member]>),
    /// A neighbour has this generation in force, which is later than the one here.
    NewerGeneration(DaemonId, Generation),
    /// Log a warning about a refused link or a lost message.
    Rejected(Box<str>),
}

#[derive(Clone, Debug)]
pub struct Peers {
    config: Config,
    membership: Membership,
    links: Links,
    floods: Floods,
    neighbours: IndexSet<DaemonId>,
    /// The time since which there is no open link to a neighbour.
    unlinked_since: IndexMap<DaemonId, Time>,
    members: Arc<[Member]>,
    digest: u64,
    membership_changed: bool,
    generation: Generation,
    flood_count: u64,
    reconnects: u64,
    next_reconnect: Time,
    next_tick: Option<Time>,
}

impl Peers {
    /// Creates the state of a daemon that knows only itself and its seeds.
    pub fn new(config: Config) -> Self {
        let membership = Membership::new(config.own.clone());
        Self {
            digest: membership.digest(),
            membership,
            config,
            links: Links::default(),
            floods: Floods::default(),
            neighbours: IndexSet::new(),
            unlinked_since: IndexMap::new(),
            members: Arc::new([]),
            membership_changed: true,
            generation: Generation(0),
            flood_count: 0,
            reconnects: 0,
            next_reconnect: Time(0),
            next_tick: None,
        }
    }

    /// Returns the time at which [`Event::Woken`] is due.
    pub fn next_wakeup(&self) -> Option<Time> {
        self.next_tick
    }

    /// Returns the live members, including this daemon, ordered by name.
    pub fn members(&self) -> &Arc<[Member]> {
        &self.members
    }

    /// Returns the neighbours that have an open link and have sent a heartbeat over it.
    pub fn linked_neighbours(&self) -> impl Iterator<Item = &DaemonId> {
        let reporting_links = self.links.open_links().filter(|(_, link)| link.received_heartbeat);
        reporting_links.map(|(_, link)| &link.peer).filter(|peer| self.neighbours.contains(*peer))
    }

    /// Reports whether the daemon reaches most of the peers that it knows.
    ///
    /// A daemon that knows no peer reaches all of them if it has no seed other than itself, and
    /// none otherwise.
    pub fn reaches_most(&self) -> bool {
        let own = &self.config.own;
        let live = self.members.len().saturating_sub(1);
        let failed_members = self.membership.failed_members().count();
        if live + failed_members == 0 {
            return self.config.seeds.iter().all(|seed| *seed == own.address);
        }
        let linked_count = self.linked_neighbours().count();
        live > failed_members && 2 * linked_count > self.neighbours.len()
    }

    /// Returns a generation that each live daemon has reached, according to the heartbeats.
    ///
    /// The value lags by a heartbeat for each link on the way, and is zero while a neighbour has no
    /// open link or has sent no heartbeat over it.
    pub fn converged_generation(&self) -> Generation {
        self.lowest_within().last().copied().unwrap_or(self.generation)
    }

    /// Returns the lowest generation within each number of links, from 1 to [`CONVERGENCE_DEPTH`].
    fn lowest_within(&self) -> Vec<Generation> {
        let heartbeats = self.neighbours.iter().map(|peer| {
            self.links
                .link_to(peer)
                .map(|(_, link)| &link.last_heartbeat)
                .filter(|heartbeat_frame| !heartbeat_frame.lowest_within.is_empty())
        });
        let heartbeats: Vec<Option<&Heartbeat>> = heartbeats.collect();
        let lowest = |of: &dyn Fn(&Heartbeat) -> Generation| {
            let theirs = heartbeats
                .iter()
                .map(|heartbeat_frame| heartbeat_frame.map_or(Generation(0), of))
                .min();
            theirs.unwrap_or(self.generation).min(self.generation)
        };
        let near = lowest(&|heartbeat_frame| heartbeat_frame.generation);
        let farther = (1..CONVERGENCE_DEPTH).map(|links| {
            lowest(&|heartbeat_frame| {
                heartbeat_frame.lowest_within.get(links - 1).copied().unwrap_or_default()
            })
        });
        std::iter::once(near).chain(farther).collect()
    }

    /// Handles an event and appends the resulting effects to `out`.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Started => self.tick(now, out),
            Event::Woken => {
                if self.next_tick.is_some_and(|at| at <= now) {
                    self.tick(now, out);
                }
            }
            Event::Link(LinkEvent::Opened(id, member)) => self.link_opened(now, id, member, out),
            Event::Link(LinkEvent::Closed(id)) => {
                self.links.remove(now, id);
            }
            Event::Link(LinkEvent::Received(id, packet)) => self.receive(now, id, packet, out),
            Event::Send(recipient, message) => self.send(now, recipient, message, out),
            Event::ActiveGeneration(generation) => self.set_generation(now, generation),
            Event::Leave => self.leave(),
        }
        self.flush(now, out);
    }

    fn heartbeat_duration(&self, heartbeats: u32) -> Duration {
        self.config.heartbeat * heartbeats
    }

    pub fn own(&self) -> &DaemonId {
        &self.config.own.daemon
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Effect>) {
        self.next_tick = Some(now + self.config.heartbeat / TICKS_PER_HEARTBEAT);
        self.close_silent_links(now, out);
        self.close_idle_links(now, out);
        self.maintain_neighbour_links(now, out);
        self.expire_members(now);
        self.update_members(now, out);
        self.reconnect(now, out);
        self.compare_members(now);
        self.send_heartbeats(now);
    }

    // Links.

    fn link_opened(&mut self, now: Time, id: LinkId, member: Member, out: &mut Vec<Effect>) {
        let peer = member.daemon.clone();
        if peer == *self.own() {
            self.links.remove(now, id);
            return out.push(Effect::Link(LinkEffect::Close(id)));
        }
        if let Some((other, _)) = self.links.link_to(&peer) {
            let keep = self.preferred_link(other, id, &peer);
            let drop = if keep == id { other } else { id };
            self.links.remove(now, drop);
            out.push(Effect::Link(LinkEffect::Close(drop)));
            if drop == id {
                return;
            }
        }
        self.evict_unused_link(now, out);
        if !self.links.has_room() {
            let reason = format!("link to {peer} refused: the limit of open links is reached");
            out.push(Effect::Rejected(reason.into()));
            self.links.remove(now, id);
            return out.push(Effect::Link(LinkEffect::Close(id)));
        }
        let waiting = self.links.mark_open(now, id, peer.clone());
        let record = Record { member, refutation: 0, state: MemberState::Live };
        self.apply_record(now, id, &record);
        self.membership.withdraw_suspicion(&peer);
        self.unlinked_since.swap_remove(&peer);
        let mut first = vec![Frame::Records(vec![self.membership.own().clone()])];
        first.extend(self.floods.recent(now).cloned());
        first.extend(waiting);
        if let Some(link) = self.links.get_mut(id) {
            link.frames = first;
        }
    }

    /// Closes the oldest link over which a daemon has only requested the members, if all links are
    /// taken.
    ///
    /// Otherwise a seed would refuse daemons while many start at once.
    fn evict_unused_link(&mut self, now: Time, out: &mut Vec<Effect>) {
        if self.links.has_room() {
            return;
        }
        let unused_links = self.links.open_links().filter(|(_, link)| {
            link.last_used.is_none()
                && link.received_heartbeat
                && !link.last_heartbeat.keep_link
                && !self.neighbours.contains(&link.peer)
        });
        let oldest = unused_links.min_by_key(|(_, link)| link.opened_at).map(|(id, _)| id);
        if let Some(id) = oldest {
            self.links.remove(now, id);
            out.push(Effect::Link(LinkEffect::Close(id)));
        }
    }

    /// Chooses one of two links to the same peer: both ends prefer the one dialled by the daemon
    /// with the smaller name.
    fn preferred_link(&self, old: LinkId, new: LinkId, peer: &DaemonId) -> LinkId {
        let preferred = |id: LinkId| matches!(id, LinkId::Dialled(_)) == (self.own() < peer);
        if preferred(old) && !preferred(new) { old } else { new }
    }

    fn close_silent_links(&mut self, now: Time, out: &mut Vec<Effect>) {
        let bound = self.heartbeat_duration(MAX_MISSED_HEARTBEATS);
        let silent =
            self.links.open_links().filter(|(_, link)| now.since(link.last_received) > bound);
        let silent: Vec<(LinkId, DaemonId)> = silent.map(|(id, l)| (id, l.peer.clone())).collect();
        for (id, peer) in silent {
            self.links.remove(now, id);
            out.push(Effect::Link(LinkEffect::Close(id)));
            if self.neighbours.contains(&peer) {
                self.unlinked_since.insert(peer.clone(), now);
                self.suspect(now, &peer);
            }
        }
    }

    fn close_idle_links(&mut self, now: Time, out: &mut Vec<Effect>) {
        let (idle_limit, unused_limit) = (
            self.heartbeat_duration(IDLE_LINK_HEARTBEATS),
            self.heartbeat_duration(UNUSED_LINK_HEARTBEATS),
        );
        let idle = self.links.open_links().filter(|(_, link)| {
            let is_wanted = self.neighbours.contains(&link.peer) || link.last_heartbeat.keep_link;
            let is_expired = match link.last_used {
                Some(used) => now.since(used) > idle_limit,
                None => now.since(link.opened_at) > unused_limit,
            };
            !is_wanted && is_expired
        });
        let idle: Vec<LinkId> = idle.map(|(id, _)| id).collect();
        for id in idle {
            self.links.remove(now, id);
            out.push(Effect::Link(LinkEffect::Close(id)));
        }
    }

    fn maintain_neighbour_links(&mut self, now: Time, out: &mut Vec<Effect>) {
        let unlinked = self.neighbours.iter().filter(|peer| self.links.link_to(peer).is_none());
        let unlinked: Vec<DaemonId> = unlinked.cloned().collect();
        self.unlinked_since.retain(|peer, _| unlinked.contains(peer));
        for peer in unlinked {
            let since = *self.unlinked_since.entry(peer.clone()).or_insert(now);
            let dials = *self.own() < peer
                || now.since(since) > self.heartbeat_duration(DIAL_DELAY_HEARTBEATS);
            if dials {
                self.dial(now, &peer, out);
            }
            if now.since(since) > self.heartbeat_duration(MAX_MISSED_HEARTBEATS) {
                self.suspect(now, &peer);
            }
        }
    }

    fn dial(&mut self, now: Time, peer: &DaemonId, out: &mut Vec<Effect>) {
        let Some(member) = self.membership.live_member(peer) else { return };
        let address = member.address;
        if let Some(id) = self.links.dial(now, address, Some(peer)) {
            out.push(Effect::Link(LinkEffect::Dial(id, address)));
        }
    }

    /// Dials seeds whose address no member has, and failed members, in turn.
    fn reconnect(&mut self, now: Time, out: &mut Vec<Effect>) {
        if now < self.next_reconnect || self.membership.own().state != MemberState::Live {
            return;
        }
        self.next_reconnect = now + self.heartbeat_duration(RECONNECT_HEARTBEATS);
        self.reconnects += 1;
        let is_alone = self.members.len() <= 1;
        let own = self.config.own.address;
        let known = |address: &SocketAddr| self.members.iter().any(|m| m.address == *address);
        let seeds = self.config.seeds.iter().filter(|seed| **seed != own && !known(seed));
        let failed_members = self.membership.failed_members().map(|member| &member.address);
        let targets: Vec<SocketAddr> = seeds.chain(failed_members).copied().collect();
        if targets.is_empty() {
            return;
        }
        // A daemon that knows no other dials all its seeds at once; later one address at a time is
        // enough.
        let start = xxh3_64_with_seed(self.own().as_str().as_bytes(), self.reconnects) as usize;
        let count = if is_alone { targets.len().min(self.config.seeds.len().max(1)) } else { 1 };
        for offset in 0..count {
            let address = targets[(start % targets.len() + offset) % targets.len()];
            if let Some(id) = self.links.dial(now, address, None) {
                out.push(Effect::Link(LinkEffect::Dial(id, address)));
            }
        }
    }
}
