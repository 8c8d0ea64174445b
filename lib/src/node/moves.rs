//! Connects the move controller to the rest of the control thread.

use crate::{
    audit,
    ids::Generation,
    moves::{
        MoveId,
        controller::{Effect, Event, MoveTransition},
        schedule::STEPS,
    },
    node::{
        control::{CallOwner, Control, Output},
        message::PeerMessage,
    },
    store::Priority,
    units::{Clock, Time},
};

impl Control {
    pub(super) fn moves(&mut self, now: Time, event: Event<'_>, out: &mut Vec<Output>) {
        let clock = Clock { now, wall: self.wall(now) };
        let Some(moves) = &mut self.moves else { return };
        let mut effects = Vec::new();
        moves.handle(clock, event, &mut effects);
        let mut has_changed = false;
        let mut transitions = Vec::new();
        for effect in effects {
            match effect {
                Effect::Call(call, operation) => {
                    let (owner, priority) = (CallOwner::Moves, Priority::Safety);
                    out.push(Output::Call { owner, call, priority, operation });
                }
                Effect::Send(to, message) => {
                    out.push(Output::Send(to, PeerMessage::Moves(message)));
                }
                Effect::TrafficSplits(traffic_splits) => {
                    has_changed = true;
                    self.snapshot.traffic_splits = traffic_splits;
                }
                Effect::Reports(reports) => {
                    has_changed |= self.snapshot.moves != reports;
                    self.snapshot.moves = reports;
                }
                Effect::Transitioned(id, transition) => transitions.push((id, transition)),
            }
        }
        if has_changed {
            self.publish(out);
        }
        for (id, transition) in transitions {
            let event = audit_event(&id, &transition, self.snapshot.generation);
            self.audit(now, event, out);
        }
    }
}

fn audit_event(id: &MoveId, transition: &MoveTransition, generation: Generation) -> audit::Event {
    let (action, cause) = match transition {
        MoveTransition::Stepped(reached) => {
            let share = STEPS[usize::from(reached.step)];
            let cause = match reached.doubts {
                0 => format!("step {} begins, the one before is earned", reached.step),
                doubts => {
                    format!("step {} begins after {doubts} doubts at full share", reached.step)
                }
            };
            (format!("share {share}"), cause)
        }
        MoveTransition::Aborted(abort) => ("held".into(), abort.cause.to_string()),
        MoveTransition::Ended(record) => (record.outcome.to_string(), record.cause.to_string()),
    };
    audit::Event {
        actor: audit::Actor::Rule("move-verdict".into()),
        object: format!("move {}", id.name).into(),
        action: action.into(),
        generation,
        cause: cause.into(),
    }
}
