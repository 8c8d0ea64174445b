//! Connects the supply component and the notices of leaving hosts to the control thread.

use std::sync::Arc;

use crate::{
    audit,
    ids::{HostId, UpstreamId},
    node::{
        control::{CallOwner, Control, Output},
        message::PeerMessage,
    },
    peer::Recipient,
    supply::{ClusterState, Effect, Event},
    units::{Time, WallTime},
    upstream::{HostRecord, HostState, message},
};

/// The actor recorded in the audit trail for actions of the supply component.
const SUPPLY_RULE: &str = "supply-plan";

impl Control {
    /// Passes an event to the supply component and applies its effects.
    pub(super) fn supply(&mut self, now: Time, event: Event, out: &mut Vec<Output>) {
        let wall = self.wall(now);
        let mut effects = Vec::new();
        self.supply.handle(now, wall, event, &mut effects);
        for effect in effects {
            self.supply_effect(now, effect, out);
        }
    }

    fn supply_effect(&mut self, now: Time, effect: Effect, out: &mut Vec<Output>) {
        match effect {
            Effect::Call(call, priority, operation) => {
                out.push(Output::Call { owner: CallOwner::Supply, call, priority, operation });
            }
            Effect::Send(to, message) => out.push(Output::Send(to, PeerMessage::Supply(message))),
            Effect::Leaving(host, at) => {
                let message = message::Message { host: host.clone(), at };
                out.push(Output::Send(Recipient::Flood, PeerMessage::Leaving(message)));
                self.mark_host_leaving(host, at, out);
            }
            Effect::Order(order) => out.push(Output::Order(order)),
            Effect::Recorded { object, action } => {
                let event = audit::Event {
                    actor: audit::Actor::Rule(SUPPLY_RULE.into()),
                    object,
                    action,
                    generation: self.snapshot.generation,
                    cause: "the plan of the service's hosts".into(),
                };
                self.audit(now, event, out);
            }
            Effect::Status(status) => {
                self.snapshot.supply = status;
                self.publish(out);
            }
        }
    }

    /// Handles a peer's notice that a host is leaving.
    pub(super) fn handle_leaving_message(
        &mut self,
        now: Time,
        message: message::Message,
        out: &mut Vec<Output>,
    ) {
        self.mark_host_leaving(message.host.clone(), message.at, out);
        self.supply(now, Event::Leaving(message.host), out);
    }

    /// Handles that an upstream has said in a response that it leaves. The peers get the notice of a host that
    /// the cloud reclaims.
    pub(super) fn handle_leaving_upstream(
        &mut self,
        now: Time,
        upstream: &UpstreamId,
        at: WallTime,
        out: &mut Vec<Output>,
    ) {
        let of_upstream =
            |host: &&HostRecord| host.upstream == *upstream && host.state == HostState::Live;
        let Some(host) = self.snapshot.hosts.iter().find(of_upstream) else { return };
        let message = message::Message { host: host.host.clone(), at };
        out.push(Output::Send(Recipient::Flood, PeerMessage::Leaving(message.clone())));
        self.handle_leaving_message(now, message, out);
    }

    /// Excludes a host from new work.
    fn mark_host_leaving(&mut self, host: HostId, at: WallTime, out: &mut Vec<Output>) {
        if self.leaving.insert(host, at) {
            self.snapshot.hosts = self.leaving.apply(&self.snapshot.hosts);
            self.publish(out);
        }
    }

    /// Passes the current state of the other components to the supply component.
    pub(super) fn update_supply_state(&mut self, now: Time, out: &mut Vec<Output>) {
        let state = ClusterState {
            generation: self.snapshot.generation,
            set: Arc::clone(&self.snapshot.set),
            members: Arc::clone(&self.snapshot.members),
            hosts: Arc::clone(&self.snapshot.hosts),
            traffic_splits: Arc::clone(&self.snapshot.traffic_splits),
        };
        self.supply(now, Event::StateChanged(state), out);
    }
}
