//! Publishes a set by one conditional update of the head object.
//!
//! The parts of the snapshot are written first, under the digest of the set, so that a head never
//! points at parts that are missing. A lost answer is settled by reading the head and looking for
//! the change. See `docs/design/declarations.md`.

use bytes::Bytes;
use thiserror::Error;

use crate::{
    declaration::{
        DeclarationSet,
        wire::{self, HEAD_KEY, HeadWire, SetDigest, WireError},
    },
    ids::{ChangeId, Generation, Revision},
    platform::{CallError, Condition, ObjectKey, Operation, Reply},
    units::WallTime,
};

/// The largest part of a snapshot, in bytes, with room below the platform's bound.
pub const PART_BYTES: usize = 900_000;

/// Says why a publication did not take place.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum PublishError {
    /// Another change was published first.
    #[error("change {theirs} by {author} was published first, as generation {generation}")]
    Conflict {
        /// The change that came first.
        theirs: ChangeId,
        /// Who published it.
        author: Box<str>,
        /// Its generation.
        generation: Generation,
    },
    /// The platform did not answer; publishing again with the same change id is safe.
    #[error("the platform did not carry out the publication: {0}")]
    Platform(#[from] CallError),
    /// The head object holds something else than a head.
    #[error("the head object is damaged: {0}")]
    Damaged(#[from] WireError),
}

/// The next step of a publication.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Carry out this operation and hand its result to [`Publication::handle`].
    Call(Operation),
    /// The publication has ended.
    Done(Result<HeadWire, PublishError>),
}

#[derive(Clone, Debug, PartialEq)]
enum State {
    ReadingHead,
    WritingPart { part: u32 },
    WritingHead,
    SettlingHead,
}

/// One publication, as a state machine without I/O.
#[derive(Clone, Debug)]
pub struct Publication {
    encoded: Bytes,
    digest: SetDigest,
    change: ChangeId,
    author: Box<str>,
    at: WallTime,
    expected: Option<Generation>,
    based_on: Option<(Revision, Generation)>,
    state: State,
}

impl Publication {
    /// Begins a publication and returns its first call.
    ///
    /// `expected` is the generation that the operator's set was made from; any if `None`.
    pub fn begin(
        set: &DeclarationSet,
        change: ChangeId,
        author: Box<str>,
        at: WallTime,
        expected: Option<Generation>,
    ) -> (Self, Operation) {
        let (digest, encoded) = wire::encode_set(set);
        let state = State::ReadingHead;
        let based_on = None;
        let encoded = encoded.into();
        let publication = Self { encoded, digest, change, author, at, expected, based_on, state };
        (publication, Operation::Get(ObjectKey::new(HEAD_KEY)))
    }

    /// Takes the result of the last call and returns the next step.
    pub fn handle(&mut self, result: Result<Reply, CallError>) -> Step {
        match self.state.clone() {
            State::ReadingHead => self.head_read(result),
            State::WritingPart { part } => self.part_written(part, result),
            State::WritingHead => self.head_written(result),
            State::SettlingHead => self.head_settled(result),
        }
    }

    fn parts(&self) -> u32 {
        self.encoded.len().div_ceil(PART_BYTES) as u32
    }

    fn head_read(&mut self, result: Result<Reply, CallError>) -> Step {
        let head = match read_head(result) {
            Ok(head) => head,
            Err(error) => return Step::Done(Err(error)),
        };
        if let Some((_, head)) = &head {
            if head.change == self.change {
                return Step::Done(Ok(head.clone()));
            }
            if self.expected.is_some_and(|expected| expected != head.generation) {
                return Step::Done(Err(conflict(head)));
            }
        }
        self.based_on = head.map(|(revision, head)| (revision, head.generation));
        self.write_part(0)
    }

    fn write_part(&mut self, part: u32) -> Step {
        self.state = State::WritingPart { part };
        let begin = part as usize * PART_BYTES;
        let end = (begin + PART_BYTES).min(self.encoded.len());
        Step::Call(Operation::Put {
            key: ObjectKey::new(wire::part_key(self.digest, part)),
            value: self.encoded.slice(begin..end),
            condition: Condition::Absent,
        })
    }

    fn part_written(&mut self, part: u32, result: Result<Reply, CallError>) -> Step {
        // A part is named by the digest of the set, so one that exists holds the same bytes.
        match result {
            Ok(_) | Err(CallError::Conflict(_)) if part + 1 < self.parts() => {
                self.write_part(part + 1)
            }
            Ok(_) | Err(CallError::Conflict(_)) => self.write_head(),
            Err(CallError::Unknown) => self.write_part(part),
            Err(error) => Step::Done(Err(error.into())),
        }
    }

    fn new_head(&self) -> HeadWire {
        let last = self.based_on.map_or(Generation(0), |(_, generation)| generation);
        HeadWire {
            generation: last.next(),
            digest: self.digest,
            change: self.change.clone(),
            author: self.author.clone(),
            at: self.at,
            parts: self.parts(),
        }
    }

    fn write_head(&mut self) -> Step {
        self.state = State::WritingHead;
        let condition = match self.based_on {
            Some((revision, _)) => Condition::Revision(revision),
            None => Condition::Absent,
        };
        Step::Call(Operation::Put {
            key: ObjectKey::new(HEAD_KEY),
            value: wire::encode(&self.new_head()).into(),
            condition,
        })
    }

    fn head_written(&mut self, result: Result<Reply, CallError>) -> Step {
        match result {
            Ok(_) => Step::Done(Ok(self.new_head())),
            Err(CallError::Unknown | CallError::Conflict(_)) => {
                self.state = State::SettlingHead;
                Step::Call(Operation::Get(ObjectKey::new(HEAD_KEY)))
            }
            Err(error) => Step::Done(Err(error.into())),
        }
    }

    fn head_settled(&mut self, result: Result<Reply, CallError>) -> Step {
        match read_head(result) {
            Ok(Some((_, head))) if head.change == self.change => Step::Done(Ok(head)),
            Ok(Some((revision, head))) if Some((revision, head.generation)) != self.based_on => {
                Step::Done(Err(conflict(&head)))
            }
            // The write may still take effect; the condition admits it or this one, never both.
            Ok(_) => self.write_head(),
            Err(error) => Step::Done(Err(error)),
        }
    }
}

fn conflict(head: &HeadWire) -> PublishError {
    PublishError::Conflict {
        theirs: head.change.clone(),
        author: head.author.clone(),
        generation: head.generation,
    }
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
