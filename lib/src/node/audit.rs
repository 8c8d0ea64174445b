//! Connects the audit trail to the rest of the control thread.

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    audit::{
        self,
        trail::{Config, Effect, Event, Trail},
    },
    ids::{DaemonId, Incarnation},
    node::control::{CallOwner, Control, Output},
    units::Time,
};

/// The prefix of the rendezvous key that selects the daemon which deletes old trail segments.
const COLLECTOR: &str = "audit";

impl Control {
    pub(super) fn init_trail(&mut self, daemon: DaemonId, incarnation: Incarnation) {
        self.trail = Some(Trail::new(Config::default(), daemon, incarnation));
    }

    /// Records a change made by a component, in the log and in the audit trail.
    pub fn audit(&mut self, now: Time, event: audit::Event, out: &mut Vec<Output>) {
        out.push(Output::Audit(event.clone()));
        self.trail(now, Event::Changed(event), out);
    }

    pub(super) fn trail(&mut self, now: Time, event: Event, out: &mut Vec<Output>) {
        let wall = self.wall(now);
        let Some(trail) = &mut self.trail else { return };
        let mut effects = Vec::new();
        trail.handle(now, wall, event, &mut effects);
        for Effect::Call(call, priority, operation) in effects {
            out.push(Output::Call { owner: CallOwner::Audit, call, priority, operation });
        }
    }

    /// Decides, by rendezvous hashing over the live members, whether this daemon deletes old trail
    /// segments.
    pub(super) fn choose_audit_collector(
        &mut self,
        now: Time,
        own: &DaemonId,
        out: &mut Vec<Output>,
    ) {
        let weight = |daemon: &DaemonId| xxh3_64(format!("{COLLECTOR}/{daemon}").as_bytes());
        let live = self.snapshot.members.iter().map(|member| &member.daemon);
        let collects = live.max_by_key(|daemon| weight(daemon)).is_none_or(|chosen| chosen == own);
        self.trail(now, Event::Collects(collects), out);
    }
}
