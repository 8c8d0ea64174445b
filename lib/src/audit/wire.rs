//! The CBOR form in which the trail is stored.

use serde::{Deserialize, Serialize};

use crate::{
    audit::{Actor, Event, MAX_TEXT_BYTES, Record},
    declaration::wire::{self, HeadWire, WireError},
    ids::{DaemonId, Generation},
    store::{Condition, ObjectKey, Operation},
    units::WallTime,
};

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum ActorWire {
    #[serde(rename = "o")]
    Operator(Box<str>),
    #[serde(rename = "r")]
    Rule(Box<str>),
}

/// The stored form of a [`Record`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordWire {
    #[serde(rename = "t")]
    at: WallTime,
    #[serde(rename = "d")]
    daemon: Option<DaemonId>,
    #[serde(rename = "n")]
    number: u64,
    #[serde(rename = "w")]
    actor: ActorWire,
    #[serde(rename = "o")]
    object: Box<str>,
    #[serde(rename = "a")]
    action: Box<str>,
    #[serde(rename = "g")]
    generation: Generation,
    #[serde(rename = "c")]
    cause: Box<str>,
}

impl From<Record> for RecordWire {
    fn from(record: Record) -> Self {
        let Record { at, daemon, number, event } = record;
        let actor = match event.actor {
            Actor::Operator(name) => ActorWire::Operator(truncated(&name)),
            Actor::Rule(name) => ActorWire::Rule(truncated(&name)),
        };
        Self {
            at,
            daemon,
            number,
            actor,
            object: truncated(&event.object),
            action: truncated(&event.action),
            generation: event.generation,
            cause: truncated(&event.cause),
        }
    }
}

impl From<RecordWire> for Record {
    fn from(wire: RecordWire) -> Self {
        let RecordWire { at, daemon, number, actor, object, action, generation, cause } = wire;
        let actor = match actor {
            ActorWire::Operator(name) => Actor::Operator(name),
            ActorWire::Rule(name) => Actor::Rule(name),
        };
        Self { at, daemon, number, event: Event { actor, object, action, generation, cause } }
    }
}

fn truncated(text: &str) -> Box<str> {
    text[..text.floor_char_boundary(MAX_TEXT_BYTES)].into()
}

/// Encodes the records of a segment.
pub fn encode(records: &[Record]) -> Vec<u8> {
    let wires: Vec<RecordWire> = records.iter().cloned().map(Into::into).collect();
    wire::encode(&wires)
}

/// Decodes the records of a segment.
pub fn decode(bytes: &[u8]) -> Result<Vec<Record>, WireError> {
    let wires: Vec<RecordWire> = wire::decode(bytes)?;
    Ok(wires.into_iter().map(Into::into).collect())
}

/// Returns the record of the publication that created a head.
pub fn publication(head: &HeadWire) -> Record {
    let event = Event {
        actor: Actor::Operator(head.author.clone()),
        object: "config".into(),
        action: "published".into(),
        generation: head.generation,
        cause: format!("change {}", head.change).into(),
    };
    Record { at: head.at, daemon: None, number: 0, event }
}

/// Returns the write that records a publication.
///
/// The key is derived from the publication, so a publisher that retries the write adds no second
/// record.
pub fn record_publication(head: &HeadWire) -> Operation {
    let writer = format!("publish-{}", head.change);
    let key = super::segment_key(head.at, &writer, head.generation.0);
    let value = encode(&[publication(head)]).into();
    Operation::Put { key: ObjectKey::new(key), value, condition: Condition::Absent }
}
