//! Publishes a set by one conditional update of the head object.
//!
//! The head contains the changes since a base, which is a whole set stored in parts. Parts are
//! written before a head refers to them. After a lost response, the publisher reads the head and
//! looks for its change to find out whether the write took effect.
//! See `docs/design/declarations.md`.

use bytes::Bytes;
use thiserror::Error;

use crate::{
    declaration::{
        DeclarationSet,
        delta::{ChangeMetadata, DeltaError, DeltaWire, apply_all},
        update_validation::{UpdateViolation, validate_update},
        wire::{self, BaseWire, EarlierChangeWire, HEAD_KEY, HeadWire, SetDigest, WireError},
    },
    ids::{ChangeId, Generation, Revision},
    store::{CallError, Condition, ObjectKey, Operation, Reply},
    units::WallTime,
};

/// The maximum size of a part of a base, in bytes; it stays below the platform's value limit.
pub const PART_BYTES: usize = 900_000;
/// The maximum size of the deltas in a head, in bytes; above it, a new base is written.
pub const MAX_DELTA_BYTES: usize = 64 << 10;
/// The maximum number of changes before its base that a head lists.
pub const MAX_EARLIER: usize = 1_000;

/// The reason why a publication failed.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum PublishError {
    #[error("change {theirs} by {author} was published first, as generation {generation}")]
    Conflict {
        /// The change that was published first.
        theirs: ChangeId,
        /// The operator who published it.
        author: Box<str>,
        generation: Generation,
        /// The objects that the changes published meanwhile add or replace (`*`) and remove (`-`),
        /// as far as known.
        their_objects: Vec<Box<str>>,
        /// The objects that this change adds or replaces (`*`) and removes (`-`), as far as known.
        our_objects: Vec<Box<str>>,
    },
    /// The set is not a valid update of the current one.
    #[error("the set is not a valid update of the published one: {}", join_violations(.0))]
    Refused(Vec<UpdateViolation>),
    /// A call to the platform failed; publishing again with the same change id is safe.
    #[error("the platform did not carry out the publication: {0}")]
    Platform(#[from] CallError),
    /// The head or its base cannot be decoded.
    #[error("the head object is damaged: {0}")]
    Damaged(#[from] WireError),
    /// The deltas of the head cannot be applied to its base.
    #[error("the head object is damaged: {0}")]
    Deltas(#[from] DeltaError),
}

fn join_violations(violations: &[UpdateViolation]) -> String {
    let texts: Vec<String> = violations.iter().map(ToString::to_string).collect();
    texts.join("; ")
}

/// The next step of a publication.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Perform this operation and pass its result to [`Publication::handle`].
    Call(Operation),
    Done(Result<HeadWire, PublishError>),
}

#[derive(Clone, Debug, PartialEq)]
enum State {
    ReadingHead,
    ReadingPart { part: u32, encoded: Vec<u8> },
    WritingPart { part: u32 },
    WritingHead,
    CheckingHead,
    DeletingPart { part: u32 },
}

/// The published state that the publication is based on.
#[derive(Clone, Debug, PartialEq)]
struct Current {
    revision: Revision,
    head: HeadWire,
    part_revisions: Vec<Revision>,
}

/// One publication, as a state machine without I/O.
#[derive(Clone, Debug)]
pub struct Publication {
    set: DeclarationSet,
    encoded: Bytes,
    digest: SetDigest,
    change: ChangeId,
    author: Box<str>,
    at: WallTime,
    expected: Option<Generation>,
    above_generation: Generation,
    current: Option<Current>,
    new_head: Option<HeadWire>,
    state: State,
}

impl Publication {
    /// Starts a publication and returns its first call.
    ///
    /// `expected` is the generation that the operator's set is based on; `None` accepts any.
    pub fn begin(
        set: &DeclarationSet,
        change: ChangeId,
        author: Box<str>,
        at: WallTime,
        expected: Option<Generation>,
    ) -> (Self, Operation) {
        let (digest, encoded) = wire::encode_set(set);
        let publication = Self {
            set: set.clone(),
            encoded: encoded.into(),
            digest,
            change,
            author,
            at,
            expected,
            above_generation: Generation(0),
            current: None,
            new_head: None,
            state: State::ReadingHead,
        };
        (publication, Operation::Get(ObjectKey::new(HEAD_KEY)))
    }

    /// Makes the new generation larger than this one, for use after the platform was restored
    /// from an older state: daemons reject generations below their active one.
    #[must_use]
    pub fn above(mut self, generation: Generation) -> Self {
        self.above_generation = generation;
        self
    }

    /// Handles the result of the last call and returns the next step.
    pub fn handle(&mut self, result: Result<Reply, CallError>) -> Step {
        let step = match self.state.clone() {
            State::ReadingHead => self.handle_head(result),
            State::ReadingPart { part, encoded } => self.handle_part(part, encoded, result),
            State::WritingPart { part } => self.handle_part_written(part, result),
            State::WritingHead => self.handle_head_written(result),
            State::CheckingHead => self.handle_head_check(result),
            // A part that is not deleted only costs storage.
            State::DeletingPart { part } => Ok(self.delete_part(part + 1)),
        };
        step.unwrap_or_else(|error| Step::Done(Err(error)))
    }

    fn handle_head(&mut self, result: Result<Reply, CallError>) -> Result<Step, PublishError> {
        let Some((revision, head)) = read_head(result)? else {
            if self.expected.is_some_and(|expected| expected != Generation(0)) {
                return Err(PublishError::Platform(CallError::Conflict(None)));
            }
            return Ok(self.prepare_head(None));
        };
        if head.generation_of(&self.change).is_some() {
            return Ok(Step::Done(Ok(head)));
        }
        if let Some(expected) = self.expected
            && expected != head.generation
        {
            return Err(self.conflict(&head, expected));
        }
        self.current = Some(Current { revision, head, part_revisions: Vec::new() });
        Ok(self.read_part(0, Vec::new()))
    }

    fn read_part(&mut self, part: u32, encoded: Vec<u8>) -> Step {
        self.state = State::ReadingPart { part, encoded };
        let base = self.current.as_ref().map(|current| &current.head.base);
        let key = base.map(|base| wire::part_key(base, part)).unwrap_or_default();
        Step::Call(Operation::Get(ObjectKey::new(key)))
    }

    fn handle_part(
        &mut self,
        part: u32,
        mut encoded: Vec<u8>,
        result: Result<Reply, CallError>,
    ) -> Result<Step, PublishError> {
        let Reply::Object(Some(object)) = result? else {
            // The base was replaced after the head was read.
            return Ok(self.restart());
        };
        let Some(current) = &mut self.current else { return Ok(self.restart()) };
        current.part_revisions.push(object.revision);
        encoded.extend_from_slice(&object.value);
        if part + 1 < current.head.base.parts {
            return Ok(self.read_part(part + 1, encoded));
        }
        let base = wire::decode_set(&encoded)?;
        let (set, _) = apply_all(&current.head.deltas, &base, SetDigest::of(&encoded))?;
        let violations = validate_update(&set, &self.set, self.at);
        if !violations.is_empty() {
            return Err(PublishError::Refused(violations));
        }
        Ok(self.prepare_head(Some(&set)))
    }

    fn restart(&mut self) -> Step {
        self.state = State::ReadingHead;
        self.current = None;
        Step::Call(Operation::Get(ObjectKey::new(HEAD_KEY)))
    }

    /// Builds the new head, with a new base if the deltas exceed [`MAX_DELTA_BYTES`].
    fn prepare_head(&mut self, current_set: Option<&DeclarationSet>) -> Step {
        let head = self.current.as_ref().map(|current| &current.head);
        let last = head.map_or(Generation(0), |head| head.generation);
        let generation = last.max(self.above_generation).next();
        let mut deltas = Vec::new();
        let mut base = BaseWire {
            generation,
            digest: self.digest,
            change: self.change.clone(),
            parts: self.encoded.len().div_ceil(PART_BYTES) as u32,
        };
        if let (Some(head), Some(set)) = (head, current_set) {
            let change = ChangeMetadata {
                from: last,
                to: generation,
                change: self.change.clone(),
                author: self.author.clone(),
                at: self.at,
            };
            let delta = DeltaWire::compute((set, head.digest), (&self.set, self.digest), change);
            let mut all = head.deltas.clone();
            all.push(delta);
            if wire::encode(&all).len() <= MAX_DELTA_BYTES {
                base = head.base.clone();
                deltas = all;
            }
        }
        let new_base = base.generation == generation;
        let earlier = match head {
            Some(head) if new_base => changes_before_new_base(head),
            Some(head) => head.earlier.clone(),
            None => Vec::new(),
        };
        self.new_head = Some(HeadWire {
            generation,
            digest: self.digest,
            change: self.change.clone(),
            author: self.author.clone(),
            at: self.at,
            base,
            deltas,
            earlier,
        });
        if new_base { self.write_part(0) } else { self.write_head() }
    }

    fn base(&self) -> Option<&BaseWire> {
        self.new_head.as_ref().map(|head| &head.base)
    }

    fn write_part(&mut self, part: u32) -> Step {
        self.state = State::WritingPart { part };
        let begin = part as usize * PART_BYTES;
        let end = (begin + PART_BYTES).min(self.encoded.len());
        let key = self.base().map(|base| wire::part_key(base, part)).unwrap_or_default();
        Step::Call(Operation::Put {
            key: ObjectKey::new(key),
            value: self.encoded.slice(begin..end),
            condition: Condition::Absent,
        })
    }

    fn handle_part_written(
        &mut self,
        part: u32,
        result: Result<Reply, CallError>,
    ) -> Result<Step, PublishError> {
        // The key contains change and digest, so a part that exists has the same bytes.
        match result {
            Ok(_) | Err(CallError::Conflict(_)) => {}
            Err(CallError::Unknown) => return Ok(self.write_part(part)),
            Err(error) => return Err(error.into()),
        }
        let parts = self.base().map_or(0, |base| base.parts);
        if part + 1 < parts { Ok(self.write_part(part + 1)) } else { Ok(self.write_head()) }
    }

    fn write_head(&mut self) -> Step {
        self.state = State::WritingHead;
        let condition = match &self.current {
            Some(current) => Condition::Revision(current.revision),
            None => Condition::Absent,
        };
        Step::Call(Operation::Put {
            key: ObjectKey::new(HEAD_KEY),
            value: wire::encode(&self.new_head).into(),
            condition,
        })
    }

    fn handle_head_written(
        &mut self,
        result: Result<Reply, CallError>,
    ) -> Result<Step, PublishError> {
        match result {
            Ok(_) => Ok(self.delete_replaced_base()),
            Err(CallError::Unknown | CallError::Conflict(_)) => {
                self.state = State::CheckingHead;
                Ok(Step::Call(Operation::Get(ObjectKey::new(HEAD_KEY))))
            }
            Err(error) => Err(error.into()),
        }
    }

    fn handle_head_check(
        &mut self,
        result: Result<Reply, CallError>,
    ) -> Result<Step, PublishError> {
        let read_revision = self.current.as_ref().map(|current| current.revision);
        match read_head(result)? {
            Some((_, head)) if head.generation_of(&self.change).is_some() => {
                Ok(self.delete_replaced_base())
            }
            Some((revision, head)) if Some(revision) != read_revision => {
                let last = self.current.as_ref().map(|current| current.head.generation);
                Err(self.conflict(&head, last.unwrap_or_default()))
            }
            // The first write may still take effect; the condition lets only one of them succeed.
            _ => Ok(self.write_head()),
        }
    }

    /// Deletes the parts of the base that the new head has replaced.
    fn delete_replaced_base(&mut self) -> Step {
        self.delete_part(0)
    }

    /// Deletes one part of the replaced base, or ends the publication if no part is left.
    fn delete_part(&mut self, part: u32) -> Step {
        let replaced =
            self.current.as_ref().filter(|current| Some(&current.head.base) != self.base());
        let old = replaced.and_then(|current| {
            let revision = *current.part_revisions.get(part as usize)?;
            Some((wire::part_key(&current.head.base, part), revision))
        });
        let Some((key, revision)) = old else {
            let head = self.new_head.clone();
            return match head {
                Some(head) => Step::Done(Ok(head)),
                None => self.restart(),
            };
        };
        self.state = State::DeletingPart { part };
        let condition = Condition::Revision(revision);
        Step::Call(Operation::Delete { key: ObjectKey::new(key), condition })
    }

    /// Describes the changes published after `since`, and this one.
    fn conflict(&self, head: &HeadWire, since: Generation) -> PublishError {
        let later = head.deltas.iter().filter(|delta| delta.to > since);
        let own = self.new_head.as_ref().and_then(|head| head.deltas.last());
        PublishError::Conflict {
            theirs: head.change.clone(),
            author: head.author.clone(),
            generation: head.generation,
            their_objects: later.flat_map(DeltaWire::describe).collect(),
            our_objects: own.map(DeltaWire::describe).unwrap_or_default(),
        }
    }
}

/// Lists the changes of a head that precede its new base, at most [`MAX_EARLIER`].
fn changes_before_new_base(head: &HeadWire) -> Vec<EarlierChangeWire> {
    let mut earlier = head.earlier.clone();
    earlier.push(EarlierChangeWire(head.base.change.clone(), head.base.generation));
    earlier.extend(head.deltas.iter().map(|d| EarlierChangeWire(d.change.clone(), d.to)));
    let excess = earlier.len().saturating_sub(MAX_EARLIER);
    earlier.drain(..excess);
    earlier
}

fn read_head(
    result: Result<Reply, CallError>,
) -> Result<Option<(Revision, HeadWire)>, PublishError> {
    match result? {
        Reply::Object(Some(object)) => {
            Ok(Some((object.revision, wire::decode::<HeadWire>(&object.value)?)))
        }
        _ => Ok(None),
    }
}
