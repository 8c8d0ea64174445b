//! The control part of a daemon: every slice but those of the traffic threads.

use std::{sync::Arc, time::Duration};

use crate::{
    audit,
    claim::{ClaimAnswer, ClaimAsk, ClaimEnd, ClaimTicket},
    declaration::in_force::{self, InForce},
    ids::{CallId, DaemonId, RequestId},
    node::{message::PeerMessage, report::AttemptReport, requests, snapshot::Snapshot},
    peer::{
        Recipient,
        peers::{self, Config, LinkEffect, LinkEvent, Peers},
    },
    platform::{CallError, Operation, Priority, Reply},
    request,
    units::{Time, WallTime},
    upstream::hosts::{self, HostList},
};

/// When a caller may ask again after a claim that could not be written.
const CLAIM_RETRY: Duration = Duration::from_secs(1);

/// Tells which slice asked for a call to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Owner {
    /// [`in_force`].
    InForce,
    /// [`hosts`].
    Hosts,
}

/// What the control part is told.
#[derive(Clone, Debug)]
pub enum Input {
    /// The daemon has started.
    Started,
    /// A call to the platform has ended.
    Called(Owner, CallId, Result<Reply, CallError>),
    /// The time of [`Control::next_wakeup`] has come.
    Woken,
    /// The daemon is to shut down.
    Drain,
    /// A traffic thread asks for a claim; [`Output::ClaimAnswered`] answers it.
    Claim(ClaimAsk),
    /// A claimed call has ended.
    ClaimEnded(ClaimTicket, ClaimEnd),
    /// An attempt has ended.
    Attempt(Box<AttemptReport>),
    /// A peer has sent a message.
    Peer(DaemonId, PeerMessage),
    /// The wall clock shows this time now; told before `Started` and at least once a minute.
    Clock(WallTime),
    /// Something has happened to a link to a peer.
    Link(LinkEvent),
    /// A traffic thread sends a message about a request.
    Request(Recipient, request::message::Message),
}

/// What the control part wants done.
#[derive(Clone, Debug)]
pub enum Output {
    /// Call the platform and answer with [`Input::Called`].
    Call {
        /// The slice that gets the answer.
        owner: Owner,
        /// The slice's name for the call.
        call: CallId,
        /// When the call gets its turn.
        priority: Priority,
        /// What to call.
        operation: Operation,
    },
    /// Give this snapshot to the traffic threads.
    Publish(Arc<Snapshot>),
    /// Answer the claim that a request has asked for.
    ClaimAnswered(RequestId, ClaimAnswer),
    /// Tell each traffic thread of a request that crashes upstreams, and for how long to refuse it.
    Poison(request::poison::Digest, Duration),
    /// Give a message about a request to the traffic thread that it concerns.
    Request(DaemonId, request::message::Message),
    /// Send a message to peers; only a control part without [`Control::with_peers`] gives it out.
    Send(Recipient, PeerMessage),
    /// Do something with a link to a peer.
    Link(LinkEffect),
    /// Log a warning about something refused.
    Refused(Box<str>),
    /// Log a change; the control part also appends it to the audit trail.
    Audit(audit::Event),
}

/// The control state of one daemon.
#[derive(Clone, Debug, Default)]
pub struct Control {
    in_force: InForce,
    hosts: HostList,
    pub(super) peers: Option<Peers>,
    /// Whether most of the known peers are reached; a daemon without peers misses none.
    pub(super) reaches_peers: bool,
    pub(super) snapshot: Snapshot,
    clock: (Time, WallTime),
}

impl Control {
    /// Makes the control part of a daemon that knows nothing yet.
    pub fn new() -> Self {
        Self { reaches_peers: true, ..Self::default() }
    }

    /// Makes the control part of a daemon that forms a fleet with its peers.
    pub fn with_peers(config: Config) -> Self {
        Self { peers: Some(Peers::new(config)), ..Self::new() }
    }

    /// Returns the peer slice, if the daemon has peers.
    pub fn peers(&self) -> Option<&Peers> {
        self.peers.as_ref()
    }

    /// Returns when [`Input::Woken`] is wanted.
    pub fn next_wakeup(&self) -> Option<Time> {
        let peers = self.peers.as_ref().and_then(Peers::next_wakeup);
        [self.in_force.next_wakeup(), self.hosts.next_wakeup(), peers].into_iter().flatten().min()
    }

    /// Takes an input and adds the outputs that follow from it.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Started => {
                self.handle_peers(now, peers::Event::Started, out);
                self.in_force(now, in_force::Event::Started, out);
                self.hosts(now, hosts::Event::Started, out);
            }
            Input::Called(Owner::InForce, call, result) => {
                self.in_force(now, in_force::Event::Called(call, result), out);
            }
            Input::Called(Owner::Hosts, call, result) => {
                self.hosts(now, hosts::Event::Called(call, result), out);
            }
            Input::Woken => {
                self.in_force(now, in_force::Event::Woken, out);
                self.hosts(now, hosts::Event::Woken, out);
                self.handle_peers(now, peers::Event::Woken, out);
            }
            Input::Drain => {
                self.snapshot.draining = true;
                self.publish(out);
                self.handle_peers(now, peers::Event::Leave, out);
            }
            Input::Claim(ask) => {
                let retry_after = CLAIM_RETRY;
                let answer = ClaimAnswer::Unavailable { retry_after };
                out.push(Output::ClaimAnswered(ask.request, answer));
            }
            Input::Clock(wall) => self.clock = (now, wall),
            Input::Peer(from, message) => self.peer_message(now, &from, message, out),
            Input::Request(recipient, message) => requests::send(recipient, message, out),
            Input::Link(event) => self.handle_peers(now, peers::Event::Link(event), out),
            Input::ClaimEnded(..) | Input::Attempt(_) => {}
        }
        self.send_to_peers(now, out);
    }

    /// Gives a message of a peer to its slice.
    pub(super) fn peer_message(
        &mut self,
        now: Time,
        from: &DaemonId,
        message: PeerMessage,
        out: &mut Vec<Output>,
    ) {
        match message {
            PeerMessage::Declaration(message) => {
                self.in_force(now, in_force::Event::Peer(from.clone(), message), out);
            }
            PeerMessage::Request(message) => requests::receive(from.clone(), message, out),
            PeerMessage::Leaving(_) => {}
        }
    }

    /// Returns the wall time at `now`, as the last [`Input::Clock`] tells it.
    pub fn wall(&self, now: Time) -> WallTime {
        let (told, wall) = self.clock;
        wall + now.since(told)
    }

    /// Records a change that a slice has made: in the log and in the audit trail.
    pub fn audit(&mut self, _now: Time, event: audit::Event, out: &mut Vec<Output>) {
        out.push(Output::Audit(event));
    }

    pub(super) fn publish(&self, out: &mut Vec<Output>) {
        out.push(Output::Publish(Arc::new(self.snapshot.clone())));
    }

    pub(super) fn in_force(&mut self, now: Time, event: in_force::Event, out: &mut Vec<Output>) {
        let mut effects = Vec::new();
        self.in_force.handle(now, event, &mut effects);
        for effect in effects {
            match effect {
                in_force::Effect::Call(call, priority, operation) => {
                    out.push(Output::Call { owner: Owner::InForce, call, priority, operation });
                }
                in_force::Effect::Adopted(generation, set) => {
                    self.snapshot.generation = generation;
                    self.snapshot.set = set;
                    self.publish(out);
                    self.handle_peers(now, peers::Event::InForce(generation), out);
                }
                in_force::Effect::Informed(informed) => {
                    self.snapshot.informed = informed;
                    self.publish(out);
                }
                in_force::Effect::Send(recipient, message) => {
                    out.push(Output::Send(recipient, PeerMessage::Declaration(message)));
                }
                in_force::Effect::Refused(reason) => out.push(Output::Refused(reason)),
            }
        }
    }

    fn hosts(&mut self, now: Time, event: hosts::Event, out: &mut Vec<Output>) {
        let mut effects = Vec::new();
        self.hosts.handle(now, event, &mut effects);
        for effect in effects {
            match effect {
                hosts::Effect::Call(call, priority, operation) => {
                    out.push(Output::Call { owner: Owner::Hosts, call, priority, operation });
                }
                hosts::Effect::Changed(hosts) => {
                    self.snapshot.hosts = hosts;
                    self.publish(out);
                }
            }
        }
    }
}
