//! Brings a daemon to the latest published generation, and never back.

use std::{sync::Arc, time::Duration};

use crate::{
    declaration::{
        DeclarationSet,
        wire::{self, HEAD_KEY, HeadWire, SetDigest},
    },
    ids::{CallId, Generation, Revision},
    platform::{CallError, ObjectKey, Operation, Priority, Reply},
    units::Time,
};

/// How long the platform may hold a watch on the head.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// How long to wait after a call that failed.
const RETRY_WAIT: Duration = Duration::from_millis(500);

/// What the slice is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// The daemon has started.
    Started,
    /// A call has ended.
    Called(CallId, Result<Reply, CallError>),
    /// The time of [`InForce::next_wakeup`] has come.
    Woken,
}

/// What the slice wants done.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Call the platform and answer with [`Event::Called`].
    Call(CallId, Priority, Operation),
    /// This generation is in force at this daemon from now on.
    Adopted(Generation, Arc<DeclarationSet>),
    /// The platform holds an older or damaged head; it is refused.
    Refused(Box<str>),
}

#[derive(Clone, Debug)]
enum State {
    Idle,
    ReadingHead,
    ReadingPart { head: HeadWire, encoded: Vec<u8>, part: u32 },
    Watching,
    Waiting { until: Time },
}

/// The configuration in force at one daemon.
#[derive(Clone, Debug)]
pub struct InForce {
    generation: Generation,
    digest: Option<SetDigest>,
    head_revision: Revision,
    state: State,
    call: CallId,
}

impl Default for InForce {
    fn default() -> Self {
        Self::new()
    }
}

impl InForce {
    /// Makes the slice of a daemon that holds no configuration yet.
    pub fn new() -> Self {
        Self {
            generation: Generation(0),
            digest: None,
            head_revision: Revision(0),
            state: State::Idle,
            call: CallId(0),
        }
    }

    /// Returns the generation in force, zero if none.
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// Returns when the slice wants [`Event::Woken`].
    pub fn next_wakeup(&self) -> Option<Time> {
        match self.state {
            State::Waiting { until } => Some(until),
            _ => None,
        }
    }

    /// Takes an event and adds the effects that follow from it.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Started => self.read_head(out),
            Event::Woken => {
                if matches!(self.state, State::Waiting { until } if until <= now) {
                    self.read_head(out);
                }
            }
            Event::Called(call, result) if call == self.call => self.called(now, result, out),
            Event::Called(..) => {}
        }
    }

    fn call(&mut self, operation: Operation, out: &mut Vec<Effect>) {
        self.call = self.call.next();
        out.push(Effect::Call(self.call, Priority::Configuration, operation));
    }

    fn read_head(&mut self, out: &mut Vec<Effect>) {
        self.state = State::ReadingHead;
        self.call(Operation::Get(ObjectKey::new(HEAD_KEY)), out);
    }

    fn watch(&mut self, out: &mut Vec<Effect>) {
        self.state = State::Watching;
        let after = self.head_revision;
        self.call(Operation::Watch { prefix: HEAD_KEY.into(), after, wait: WATCH_WAIT }, out);
    }

    fn called(&mut self, now: Time, result: Result<Reply, CallError>, out: &mut Vec<Effect>) {
        let Ok(reply) = result else {
            self.state = State::Waiting { until: now + RETRY_WAIT };
            return;
        };
        match (std::mem::replace(&mut self.state, State::Idle), reply) {
            (State::ReadingHead, Reply::Object(Some(object))) => {
                self.head_revision = object.revision;
                self.head(&object.value, out);
            }
            (State::ReadingPart { head, encoded, part }, Reply::Object(Some(object))) => {
                self.part(now, head, encoded, part, &object.value, out);
            }
            (State::Watching, Reply::Changes { changes, .. }) if !changes.is_empty() => {
                self.read_head(out);
            }
            (State::ReadingPart { .. }, _) => {
                self.state = State::Waiting { until: now + RETRY_WAIT };
            }
            _ => self.watch(out),
        }
    }

    fn head(&mut self, value: &[u8], out: &mut Vec<Effect>) {
        let head: HeadWire = match wire::decode(value) {
            Ok(head) => head,
            Err(error) => {
                out.push(Effect::Refused(format!("the head object is damaged: {error}").into()));
                return self.watch(out);
            }
        };
        if head.generation < self.generation {
            let reason = format!(
                "the platform holds generation {}, older than {} in force",
                head.generation, self.generation
            );
            out.push(Effect::Refused(reason.into()));
            return self.watch(out);
        }
        if head.generation == self.generation {
            return self.watch(out);
        }
        let key = ObjectKey::new(wire::part_key(head.digest, 0));
        self.state = State::ReadingPart { head, encoded: Vec::new(), part: 0 };
        self.call(Operation::Get(key), out);
    }

    fn part(
        &mut self,
        now: Time,
        head: HeadWire,
        mut encoded: Vec<u8>,
        part: u32,
        value: &[u8],
        out: &mut Vec<Effect>,
    ) {
        encoded.extend_from_slice(value);
        if part + 1 < head.parts {
            let key = ObjectKey::new(wire::part_key(head.digest, part + 1));
            self.state = State::ReadingPart { head, encoded, part: part + 1 };
            return self.call(Operation::Get(key), out);
        }
        let matches = SetDigest::of(&encoded) == head.digest;
        match wire::decode_set(&encoded) {
            Ok(set) if matches => {
                self.generation = head.generation;
                self.digest = Some(head.digest);
                out.push(Effect::Adopted(head.generation, Arc::new(set)));
                self.watch(out);
            }
            _ => {
                let reason = format!("the snapshot of generation {} is damaged", head.generation);
                out.push(Effect::Refused(reason.into()));
                self.state = State::Waiting { until: now + RETRY_WAIT };
            }
        }
    }
}
