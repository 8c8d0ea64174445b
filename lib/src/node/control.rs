//! The control part of a daemon: every slice but those of the traffic threads.

use std::{sync::Arc, time::Duration};

use crate::{
    audit::{
        self,
        trail::{self, Trail},
    },
    claim::{
        ClaimAnswer, ClaimAsk, ClaimEnd, ClaimTicket,
        claims::{self, Claims},
    },
    declaration::in_force::{self, InForce},
    ids::{CallId, DaemonId, Incarnation, RequestId},
    node::{
        message::PeerMessage, platform::CallTag, report::AttemptReport, requests,
        snapshot::Snapshot,
    },
    peer::Recipient,
    platform::{CallError, Operation, Priority, Reply, client::Client},
    request,
    units::{Time, WallTime},
    upstream::hosts::{self, HostList},
};

/// When a caller may ask again after a claim that could not be written.
pub(super) const CLAIM_RETRY: Duration = Duration::from_secs(1);

/// Tells which slice asked for a call to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Owner {
    /// [`in_force`].
    InForce,
    /// [`hosts`].
    Hosts,
    /// [`claims`].
    Claims,
    /// [`trail`].
    Audit,
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
    /// This is the daemon and its run; told before `Started`.
    Identity(DaemonId, Incarnation),
    /// The wall clock shows this time now; told before `Started` and at least once a minute.
    Clock(WallTime),
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
    /// Send a message to peers.
    Send(Recipient, PeerMessage),
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
    pub(super) snapshot: Snapshot,
    clock: (Time, WallTime),
    pub(super) daemon: Option<DaemonId>,
    pub(super) trail: Option<Trail>,
    pub(super) claims: Option<Claims>,
    pub(super) claims_config: claims::Config,
    pub(super) client: Client<CallTag>,
    pub(super) refused: Vec<(CallTag, CallError)>,
}

impl Control {
    /// Makes the control part of a daemon that knows nothing yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns when [`Input::Woken`] is wanted.
    pub fn next_wakeup(&self) -> Option<Time> {
        let claims = self.claims.as_ref().and_then(Claims::next_wakeup);
        let refused = (!self.refused.is_empty()).then_some(Time(0));
        let client = self.client.next_wakeup();
        let trail = self.trail.as_ref().and_then(Trail::next_wakeup);
        [self.in_force.next_wakeup(), self.hosts.next_wakeup(), claims, client, refused, trail]
            .into_iter()
            .flatten()
            .min()
    }

    /// Takes an input and adds the outputs that follow from it.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        self.deliver_refusals(now, out);
        match input {
            Input::Started => {
                self.in_force(now, in_force::Event::Started, out);
                self.hosts(now, hosts::Event::Started, out);
            }
            Input::Called(owner, call, result) => {
                self.call_ended(now, (owner, call), result, out);
            }
            Input::Woken => {
                self.in_force(now, in_force::Event::Woken, out);
                self.hosts(now, hosts::Event::Woken, out);
                self.claims(now, claims::Event::Woken, out);
                self.trail(now, trail::Event::Woken, out);
            }
            Input::Drain => {
                self.snapshot.draining = true;
                self.publish(out);
            }
            Input::Claim(ask) => self.claims(now, claims::Event::Ask(ask), out),
            Input::ClaimEnded(ticket, end) => {
                self.claims(now, claims::Event::Ended(ticket, end), out);
            }
            Input::Peer(from, PeerMessage::Claim(message)) => {
                self.claims(now, claims::Event::Peer(from, message), out);
            }
            Input::Identity(daemon, incarnation) => {
                self.daemon = Some(daemon.clone());
                self.begin_trail(daemon.clone(), incarnation);
                self.begin_claims(now, daemon, incarnation);
                self.members_changed(now, out);
            }
            Input::Clock(wall) => self.clock = (now, wall),
            Input::Request(recipient, message) => {
                requests::send(recipient, message, out);
            }
            Input::Peer(from, PeerMessage::Request(message)) => {
                requests::receive(from, message, out);
            }
            Input::Attempt(_) | Input::Peer(..) => {}
        }
        self.schedule_calls(now, out);
    }

    /// Gives a slice the result of its call.
    pub(super) fn called(
        &mut self,
        now: Time,
        owner: Owner,
        call: CallId,
        result: Result<Reply, CallError>,
        out: &mut Vec<Output>,
    ) {
        match owner {
            Owner::InForce => self.in_force(now, in_force::Event::Called(call, result), out),
            Owner::Hosts => self.hosts(now, hosts::Event::Called(call, result), out),
            Owner::Claims => self.claims(now, claims::Event::Called(call, result), out),
            Owner::Audit => self.trail(now, trail::Event::Called(call, result), out),
        }
    }

    /// Returns the wall time at `now`, as the last [`Input::Clock`] tells it.
    pub fn wall(&self, now: Time) -> WallTime {
        let (told, wall) = self.clock;
        wall + now.since(told)
    }

    fn publish(&self, out: &mut Vec<Output>) {
        out.push(Output::Publish(Arc::new(self.snapshot.clone())));
    }

    fn in_force(&mut self, now: Time, event: in_force::Event, out: &mut Vec<Output>) {
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
                    self.snapshot.informed = true;
                    self.publish(out);
                    self.services_changed(now, out);
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
