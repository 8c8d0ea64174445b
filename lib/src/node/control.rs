//! The control state machine of a daemon: all components except those of the traffic threads.

use std::{sync::Arc, time::Duration};

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{
    audit::{
        self,
        trail::{self, Trail},
    },
    claim::{
        ClaimOutcome, ClaimRequest, ClaimResponse, ClaimTicket,
        claims::{self, Claims},
    },
    declaration::active_config::{self, ActiveConfig},
    ids::{CallId, DaemonId, RequestId, UpstreamId},
    limit,
    moves::{
        controller::{self, Moves},
        evidence::DaemonRun,
    },
    node::{
        message::PeerMessage, platform::CallTag, report::AttemptReport, requests,
        snapshot::Snapshot,
    },
    peer::{
        Member, Recipient,
        peers::{self, LinkEffect, LinkEvent, Peers},
    },
    request::{self, crash_evidence::CrashEvidence, message::Message},
    store::{CallError, Operation, Priority, Reply, client::Client},
    supply::{
        self, Supply,
        lease::Holder,
        orders::{OrderOutcome, OrderRequest},
    },
    units::{Time, WallTime},
    upstream::{
        hosts::{self, HostList},
        leaving::LeavingHosts,
    },
};

/// The time after which a caller may retry a call whose claim could not be written.
pub(super) const CLAIM_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The number of daemons that send a new member what crashes upstreams; one may be lost meanwhile.
const EVIDENCE_SENDERS: usize = 2;

/// The component that issued a call to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CallOwner {
    ActiveConfig,
    Hosts,
    Claims,
    Moves,
    Supply,
    Audit,
}

/// An input of the control state machine.
#[derive(Clone, Debug)]
pub enum Input {
    /// The daemon has started.
    Started,
    /// A call to the platform has completed.
    CallEnded(CallOwner, CallId, Result<Reply, CallError>),
    /// The time returned by [`Control::next_wakeup`] has been reached.
    Woken,
    /// A graceful shutdown is requested.
    Drain,
    /// A traffic thread requests a claim; [`Output::ClaimResponded`] is the response.
    Claim(ClaimRequest),
    /// A claimed call has ended.
    ClaimEnded(ClaimTicket, ClaimOutcome),
    /// The attempts that have ended since the last report of a traffic thread.
    AttemptReports(Vec<AttemptReport>),
    /// An upstream has said in a response that it leaves at this time.
    UpstreamLeaving(UpstreamId, WallTime),
    /// A peer has sent a message.
    Peer(DaemonId, PeerMessage),
    /// The identity of this run of the daemon, as announced to peers; precedes `Started`.
    Identity(Member),
    /// The order to an engine with this id has completed.
    OrderEnded(Box<str>, OrderOutcome),
    /// The current wall-clock time; provided before `Started` and at least once a minute.
    Clock(WallTime),
    /// A traffic thread sends a message about a request.
    RequestMessage(Recipient, request::message::Message),
    /// An event on a link to a peer.
    Link(LinkEvent),
}

/// An action for the driver of the control state machine.
#[derive(Clone, Debug)]
pub enum Output {
    /// Call the platform and pass the result back as [`Input::CallEnded`].
    Call {
        /// The component that receives the result.
        owner: CallOwner,
        /// The call's id, unique within its owner.
        call: CallId,
        /// The priority within the budget of platform calls.
        priority: Priority,
        operation: Operation,
    },
    /// Publish this snapshot to the traffic threads.
    Publish(Arc<Snapshot>),
    /// Respond to the claim request of this request.
    ClaimResponded(RequestId, ClaimResponse),
    /// Notify each traffic thread of a request that crashes upstreams and is to be refused for this
    /// long.
    Poison(request::poison::Digest, Duration),
    /// Deliver evidence against requests that crash upstreams to each traffic thread.
    CrashEvidence(Box<request::crash_evidence::Report>),
    /// Deliver the limits that upstreams name to each traffic thread.
    UpstreamLimits(Vec<limit::upstream::Report>),
    /// Deliver a message about a request to the traffic thread that it concerns.
    RequestMessage(DaemonId, request::message::Message),
    /// Send a message to peers; emitted only if [`Control::with_peers`] was not called.
    Send(Recipient, PeerMessage),
    /// Act on a link to a peer.
    Link(LinkEffect),
    /// Send an order to an engine and pass the result back as [`Input::OrderEnded`].
    Order(OrderRequest),
    /// Log a warning about a rejected input.
    Rejected(Box<str>),
    /// Log a change; the control state machine also appends it to the audit trail.
    Audit(audit::Event),
}

/// The control state of one daemon.
#[derive(Clone, Debug, Default)]
pub struct Control {
    active_config: ActiveConfig,
    hosts: HostList,
    pub(super) peers: Option<Peers>,
    /// Whether most of the known peers are reachable; always true without peers.
    pub(super) reaches_peers: bool,
    pub(super) moves: Option<Moves>,
    pub(super) leaving: LeavingHosts,
    pub(super) supply: Supply,
    pub(super) snapshot: Snapshot,
    clock: (Time, WallTime),
    pub(super) trail: Option<Trail>,
    /// What this daemon knows about requests that crash upstreams, for daemons that start.
    pub(super) crash_evidence: CrashEvidence,
    pub(super) claims: Option<Claims>,
    pub(super) claims_config: claims::Config,
    pub(super) client: Client<CallTag>,
    pub(super) rejected_calls: Vec<(CallTag, CallError)>,
}

impl Control {
    /// Creates the control state of a daemon before its first input.
    pub fn new() -> Self {
        Self { reaches_peers: true, ..Self::default() }
    }

    /// Enables peering with other daemons; must be called before the first input.
    #[must_use]
    pub fn with_peers(mut self, cfg: peers::Config) -> Self {
        self.peers = Some(Peers::new(cfg));
        self
    }

    /// Returns the peer component, if peering is enabled.
    pub fn peers(&self) -> Option<&Peers> {
        self.peers.as_ref()
    }

    /// Returns when [`Input::Woken`] is due.
    pub fn next_wakeup(&self) -> Option<Time> {
        let wakeups = [
            self.active_config.next_wakeup(),
            self.hosts.next_wakeup(),
            self.claims.as_ref().and_then(Claims::next_wakeup),
            self.client.next_wakeup(),
            // Refused calls are delivered without delay.
            (!self.rejected_calls.is_empty()).then_some(Time(0)),
            self.peers.as_ref().and_then(Peers::next_wakeup),
            self.moves.as_ref().and_then(Moves::next_wakeup),
            self.supply.next_wakeup(),
            self.trail.as_ref().and_then(Trail::next_wakeup),
        ];
        wakeups.into_iter().flatten().min()
    }

    /// Processes an input and appends the resulting outputs to `out`.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        self.deliver_rejected_calls(now, out);
        match input {
            Input::Started => {
                self.handle_peers(now, peers::Event::Started, out);
                self.active_config(now, active_config::Event::Started, out);
                self.hosts(now, hosts::Event::Started, out);
                self.moves(now, controller::Event::Started, out);
            }
            Input::CallEnded(owner, call, result) => {
                self.handle_call_result(now, (owner, call), result, out);
            }
            Input::OrderEnded(id, end) => self.supply(now, supply::Event::OrderEnded(id, end), out),
            Input::Woken => {
                self.active_config(now, active_config::Event::Woken, out);
                self.hosts(now, hosts::Event::Woken, out);
                self.claims(now, claims::Event::Woken, out);
                self.handle_peers(now, peers::Event::Woken, out);
                self.moves(now, controller::Event::Woken, out);
                self.update_supply_state(now, out);
                self.supply(now, supply::Event::Woken, out);
                self.trail(now, trail::Event::Woken, out);
            }
            Input::Drain => {
                self.snapshot.draining = true;
                self.publish(out);
                self.handle_peers(now, peers::Event::Leave, out);
            }
            Input::Claim(claim_request) => {
                self.claims(now, claims::Event::Acquire(claim_request), out);
            }
            Input::ClaimEnded(ticket, end) => {
                self.claims(now, claims::Event::OutcomeReported(ticket, end), out);
            }
            Input::Identity(own) => self.set_identity(now, own, out),
            Input::Clock(wall) => self.clock = (now, wall),
            Input::RequestMessage(recipient, message) => {
                self.record_crash_evidence(now, &message);
                requests::send(recipient, message, out);
            }
            Input::UpstreamLeaving(upstream, at) => {
                self.handle_leaving_upstream(now, &upstream, at, out);
            }
            Input::Peer(from, message) => self.handle_message(now, &from, message, out),
            Input::Link(event) => self.handle_peers(now, peers::Event::Link(event), out),
            Input::AttemptReports(reports) => {
                for report in reports {
                    self.handle_attempt_report(now, report, out);
                }
            }
        }
        self.send_to_peers(now, out);
        self.schedule_calls(now, out);
    }

    fn record_crash_evidence(&mut self, now: Time, message: &Message) {
        if let Message::CrashEvidence(report) = message {
            self.crash_evidence.merge(now, (**report).clone());
            // The traffic threads log these.
            self.crash_evidence.take_changes();
        }
    }

    /// Sends what crashes upstreams to the members that have started since `before`, if this daemon is
    /// one of the first in the order that the new member's name gives.
    pub(super) fn send_crash_evidence(
        &mut self,
        now: Time,
        before: &[Member],
        out: &mut Vec<Output>,
    ) {
        self.crash_evidence.expire(now);
        let report = self.crash_evidence.report(now);
        let Some(own) = self.peers.as_ref().map(Peers::own).filter(|_| !report.is_empty()) else {
            return;
        };
        let is_known = |member: &Member| {
            before.iter().any(|other| {
                other.daemon == member.daemon && other.incarnation == member.incarnation
            })
        };
        for new in self.snapshot.members.iter().filter(|member| !is_known(member)) {
            let weight = |daemon: &DaemonId| {
                let seed = xxh3_64(new.daemon.as_str().as_bytes());
                xxh3_64_with_seed(daemon.as_str().as_bytes(), seed)
            };
            let others = before.iter().filter(|member| member.daemon != new.daemon);
            let rank = others.filter(|member| weight(&member.daemon) > weight(own)).count();
            if new.daemon != *own && rank < EVIDENCE_SENDERS {
                let message = Message::CrashEvidence(Box::new(report.clone()));
                let recipient = Recipient::Daemon(new.daemon.clone());
                out.push(Output::Send(recipient, PeerMessage::Request(message)));
            }
        }
    }

    fn handle_attempt_report(&mut self, now: Time, report: AttemptReport, out: &mut Vec<Output>) {
        self.moves(now, controller::Event::Attempt(&report), out);
        self.supply(now, supply::Event::Attempt(Box::new(report)), out);
    }

    /// Creates the components that depend on the daemon's identity.
    fn set_identity(&mut self, now: Time, own: Member, out: &mut Vec<Output>) {
        let Member { daemon, incarnation, data_centre, .. } = own;
        self.moves = Some(Moves::new(DaemonRun { daemon: daemon.clone(), incarnation }));
        self.init_claims(now, daemon.clone(), incarnation);
        self.init_trail(daemon.clone(), incarnation);
        let identity = supply::Identity { holder: Holder { daemon, incarnation }, data_centre };
        self.supply(now, supply::Event::Started(identity), out);
    }

    /// Delivers the result of a platform call to the component that issued it.
    pub(super) fn deliver_call_result(
        &mut self,
        now: Time,
        owner: CallOwner,
        call: CallId,
        result: Result<Reply, CallError>,
        out: &mut Vec<Output>,
    ) {
        match owner {
            CallOwner::ActiveConfig => {
                self.active_config(now, active_config::Event::CallEnded(call, result), out);
            }
            CallOwner::Hosts => self.hosts(now, hosts::Event::CallEnded(call, result), out),
            CallOwner::Claims => self.claims(now, claims::Event::CallEnded(call, result), out),
            CallOwner::Moves => self.moves(now, controller::Event::CallEnded(call, result), out),
            CallOwner::Supply => self.supply(now, supply::Event::CallEnded(call, result), out),
            CallOwner::Audit => self.trail(now, trail::Event::CallEnded(call, result), out),
        }
    }

    /// Passes a message from a peer to the component that handles it.
    pub(super) fn handle_message(
        &mut self,
        now: Time,
        from: &DaemonId,
        message: PeerMessage,
        out: &mut Vec<Output>,
    ) {
        match message {
            PeerMessage::Declaration(message) => {
                self.active_config(now, active_config::Event::Peer(from.clone(), message), out);
            }
            PeerMessage::Claim(message) => {
                self.claims(now, claims::Event::Peer(from.clone(), message), out);
            }
            PeerMessage::Request(message) => {
                self.record_crash_evidence(now, &message);
                requests::receive(from.clone(), message, out);
            }
            PeerMessage::Moves(message) => {
                self.moves(now, controller::Event::Peer(from.clone(), message), out);
            }
            PeerMessage::Supply(message) => {
                self.supply(now, supply::Event::Peer(from.clone(), message), out);
            }
            PeerMessage::Leaving(message) => self.handle_leaving_message(now, message, out),
        }
    }

    /// Returns the wall-clock time at `now`, extrapolated from the last [`Input::Clock`].
    pub fn wall(&self, now: Time) -> WallTime {
        let (set_at, wall) = self.clock;
        wall + now.since(set_at)
    }

    pub(super) fn publish(&self, out: &mut Vec<Output>) {
        out.push(Output::Publish(Arc::new(self.snapshot.clone())));
    }

    pub(super) fn active_config(
        &mut self,
        now: Time,
        event: active_config::Event,
        out: &mut Vec<Output>,
    ) {
        let mut effects = Vec::new();
        self.active_config.handle(now, event, &mut effects);
        for effect in effects {
            match effect {
                active_config::Effect::Call(call, priority, operation) => {
                    out.push(Output::Call {
                        owner: CallOwner::ActiveConfig,
                        call,
                        priority,
                        operation,
                    });
                }
                active_config::Effect::Activated(generation, set) => {
                    self.snapshot.generation = generation;
                    self.snapshot.set = set.clone();
                    self.publish(out);
                    self.moves(now, controller::Event::Declared(&set), out);
                    self.update_claim_services(now, out);
                    self.handle_peers(now, peers::Event::ActiveGeneration(generation), out);
                }
                active_config::Effect::ConfigFresh(config_fresh) => {
                    self.snapshot.config_fresh = config_fresh;
                    self.publish(out);
                }
                active_config::Effect::Send(recipient, message) => {
                    out.push(Output::Send(recipient, PeerMessage::Declaration(message)));
                }
                active_config::Effect::Rejected(reason) => out.push(Output::Rejected(reason)),
            }
        }
    }

    fn hosts(&mut self, now: Time, event: hosts::Event, out: &mut Vec<Output>) {
        let mut effects = Vec::new();
        self.hosts.handle(now, event, &mut effects);
        for effect in effects {
            match effect {
                hosts::Effect::Call(call, priority, operation) => {
                    out.push(Output::Call { owner: CallOwner::Hosts, call, priority, operation });
                }
                hosts::Effect::Changed(hosts) => {
                    let wall = self.wall(now);
                    self.leaving.follow(wall, &self.snapshot.hosts, &hosts);
                    self.snapshot.hosts = self.leaving.apply(&hosts);
                    self.publish(out);
                }
            }
        }
    }
}
