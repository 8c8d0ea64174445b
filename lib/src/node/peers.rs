//! Connects the peer component to the rest of the control thread.

use crate::{
    claim::claims,
    declaration::active_config,
    node::control::{Control, Output},
    peer::peers::{Effect, Event},
    units::Time,
};

impl Control {
    /// Passes an event to the peer component and applies its effects.
    pub(super) fn handle_peers(&mut self, now: Time, event: Event, out: &mut Vec<Output>) {
        let Some(peers) = &mut self.peers else { return };
        let mut effects = Vec::new();
        peers.handle(now, event, &mut effects);
        let reaches = peers.reaches_most();
        let own = peers.own().clone();
        let converged_generation = peers.converged_generation();
        for effect in effects {
            match effect {
                Effect::Link(effect) => out.push(Output::Link(effect)),
                Effect::Deliver(from, message) => self.handle_message(now, &from, message, out),
                Effect::Members(members) => {
                    let before = std::mem::replace(&mut self.snapshot.members, members.clone());
                    self.publish(out);
                    self.send_crash_evidence(now, &before, out);
                    self.claims(now, claims::Event::Members(members.clone()), out);
                    self.choose_audit_collector(now, &own, out);
                    self.active_config(
                        now,
                        active_config::Event::Members(own.clone(), members),
                        out,
                    );
                }
                Effect::NewerGeneration(peer, generation) => {
                    self.active_config(
                        now,
                        active_config::Event::NewerGeneration(peer, generation),
                        out,
                    );
                }
                Effect::Rejected(reason) => out.push(Output::Rejected(reason)),
            }
        }
        if converged_generation != self.snapshot.converged_generation {
            self.snapshot.converged_generation = converged_generation;
            self.publish(out);
        }
        if reaches != self.reaches_peers {
            self.reaches_peers = reaches;
            self.active_config(now, active_config::Event::Reaches(reaches), out);
        }
    }

    /// Passes [`Output::Send`] entries to the peer component until none are left.
    pub(super) fn send_to_peers(&mut self, now: Time, out: &mut Vec<Output>) {
        while self.peers.is_some() {
            let sends = out.extract_if(.., |output| matches!(output, Output::Send(..)));
            let sends: Vec<Output> = sends.collect();
            if sends.is_empty() {
                return;
            }
            for output in sends {
                if let Output::Send(recipient, message) = output {
                    self.handle_peers(now, Event::Send(recipient, message), out);
                }
            }
        }
    }
}
