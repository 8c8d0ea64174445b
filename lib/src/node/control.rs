//! The control part of a daemon: every slice but those of the traffic threads.

use std::{sync::Arc, time::Duration};

use crate::{
    audit,
    claim::{ClaimAnswer, ClaimAsk, ClaimEnd, ClaimTicket},
    declaration::in_force::{self, InForce},
    ids::{CallId, DaemonId, RequestId},
    node::{message::PeerMessage, report::AttemptReport, snapshot::Snapshot},
    peer::Recipient,
    platform::{CallError, Operation, Priority, Reply},
    supply::{
        self, Supply,
        orders::{OrderCall, OrderEnd},
    },
    units::{Time, WallTime},
    upstream::{
        hosts::{self, HostList},
        leaving::LeavingHosts,
    },
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
    /// [`supply`].
    Supply,
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
    /// An order to an engine has ended.
    Ordered(Box<str>, OrderEnd),
    /// The wall clock shows this time now; told before `Started` and at least once a minute.
    Clock(WallTime),
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
    /// Send a message to peers.
    Send(Recipient, PeerMessage),
    /// Give an order to an engine and answer with [`Input::Ordered`].
    Order(OrderCall),
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
    pub(super) leaving: LeavingHosts,
    pub(super) supply: Supply,
    pub(super) snapshot: Snapshot,
    clock: (Time, WallTime),
}

impl Control {
    /// Makes the control part of a daemon that knows nothing yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns when [`Input::Woken`] is wanted.
    pub fn next_wakeup(&self) -> Option<Time> {
        [self.in_force.next_wakeup(), self.hosts.next_wakeup(), self.supply.next_wakeup()]
            .into_iter()
            .flatten()
            .min()
    }

    /// Takes an input and adds the outputs that follow from it.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Started => {
                self.in_force(now, in_force::Event::Started, out);
                self.hosts(now, hosts::Event::Started, out);
            }
            Input::Called(Owner::InForce, call, result) => {
                self.in_force(now, in_force::Event::Called(call, result), out);
            }
            Input::Called(Owner::Hosts, call, result) => {
                self.hosts(now, hosts::Event::Called(call, result), out);
            }
            Input::Called(Owner::Supply, call, result) => {
                self.supply(now, supply::Event::Called(call, result), out);
            }
            Input::Ordered(id, end) => self.supply(now, supply::Event::Ordered(id, end), out),
            Input::Attempt(report) => self.supply(now, supply::Event::Attempt(report), out),
            Input::Peer(from, PeerMessage::Supply(message)) => {
                self.supply(now, supply::Event::Peer(from, message), out);
            }
            Input::Peer(from, PeerMessage::Leaving(message)) => {
                self.heard_leaving(now, &from, message, out);
            }
            Input::Woken => {
                self.in_force(now, in_force::Event::Woken, out);
                self.hosts(now, hosts::Event::Woken, out);
                self.tell_supply(now, out);
                self.supply(now, supply::Event::Woken, out);
            }
            Input::Drain => {
                self.snapshot.draining = true;
                self.publish(out);
            }
            Input::Claim(ask) => {
                let retry_after = CLAIM_RETRY;
                let answer = ClaimAnswer::Unavailable { retry_after };
                out.push(Output::ClaimAnswered(ask.request, answer));
            }
            Input::Clock(wall) => self.clock = (now, wall),
            Input::ClaimEnded(..) => {}
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

    /// Tells the control part who its daemon is; the supply slice rests until then.
    pub fn identify(&mut self, now: Time, identity: supply::Identity, out: &mut Vec<Output>) {
        self.supply(now, supply::Event::Started(identity), out);
    }

    pub(super) fn publish(&self, out: &mut Vec<Output>) {
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
                    self.leaving.follow(&self.snapshot.hosts, &hosts);
                    self.snapshot.hosts = self.leaving.apply(&hosts);
                    self.publish(out);
                }
            }
        }
    }
}
