//! What daemons send each other over a link: packets of frames.

use serde::{Deserialize, Serialize};

use crate::{
    declaration::wire::WireError,
    ids::{DaemonId, Generation, Incarnation},
    node::message::{PeerMessage, PeerMessageWire},
    peer::{Member, MemberWire},
};

/// Whether a member takes part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum MemberState {
    /// It takes part.
    Live,
    /// Its neighbours have lost it; it may refute that.
    Failed,
    /// It has said that it leaves.
    Left,
}

/// What is known of one member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The member.
    pub member: Member,
    /// Counts how often this run has refuted that it is gone.
    pub refutation: u32,
    /// Whether it takes part.
    pub state: MemberState,
}

impl Record {
    /// Orders the records of one member; the larger one is the later.
    pub fn precedence(&self) -> (Incarnation, u32, MemberState) {
        (self.member.incarnation, self.refutation, self.state)
    }
}

/// Says that a neighbour hears nothing from a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspicion {
    /// The member.
    pub target: DaemonId,
    /// The run that is silent.
    pub incarnation: Incarnation,
    /// The refutation that the accuser knew.
    pub refutation: u32,
    /// The accuser.
    pub reporter: DaemonId,
}

/// How many links the knowledge of [`Heartbeat::within`] reaches.
pub const CONVERGENCE_DEPTH: usize = 8;

/// Compares the two ends of a link.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Heartbeat {
    /// The digest of the sender's live members.
    pub members: u64,
    /// The generation in force at the sender.
    pub generation: Generation,
    /// Whether the sender wants to keep the link.
    pub keep_link: bool,
    /// The lowest generation in force within 1, 2, and so on up to [`DEPTH`] links of the sender.
    pub lowest_within: Vec<Generation>,
}

/// One message of the peer slice.
#[derive(Clone, Debug, PartialEq)]
pub enum Frame {
    /// See [`Heartbeat`].
    Heartbeat(Heartbeat),
    /// Tells what the sender knows of members.
    Records(Vec<Record>),
    /// See [`Suspicion`].
    Suspect(Suspicion),
    /// Asks for the buckets of the member list whose digests differ.
    CompareDigests(Vec<u64>),
    /// Asks for buckets of the member list.
    RequestBuckets(Vec<u8>),
    /// A message for the receiver alone.
    Message(PeerMessage),
    /// A message that is passed on to every daemon.
    Flood {
        /// Who sent it first.
        origin: DaemonId,
        /// Tells it from all others.
        id: u64,
        /// The message.
        message: PeerMessage,
    },
}

impl Frame {
    /// Says whether a link that is too slow may drop the frame.
    pub fn droppable(&self) -> bool {
        match self {
            Self::Message(message) | Self::Flood { message, .. } => message.droppable(),
            _ => false,
        }
    }
}

/// What crosses a link at once.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Packet(pub Vec<Frame>);

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct RecordWire(MemberWire, u32, u8);

/// A [`Frame`] as it travels.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum FrameWire {
    #[serde(rename = "b")]
    Heartbeat(u64, Generation, bool, Vec<u64>),
    #[serde(rename = "r")]
    Records(Vec<RecordWire>),
    #[serde(rename = "a")]
    Suspect(DaemonId, Incarnation, u32, DaemonId),
    #[serde(rename = "c")]
    CompareDigests(Vec<u64>),
    #[serde(rename = "w")]
    RequestBuckets(#[serde(with = "serde_bytes")] Vec<u8>),
    #[serde(rename = "m")]
    Message(PeerMessageWire),
    #[serde(rename = "f")]
    Flood(DaemonId, u64, PeerMessageWire),
}

/// A [`Packet`] as it travels, in CBOR.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PacketWire(Vec<FrameWire>);

impl From<Record> for RecordWire {
    fn from(record: Record) -> Self {
        let state = match record.state {
            MemberState::Live => 0,
            MemberState::Failed => 1,
            MemberState::Left => 2,
        };
        Self(record.member.into(), record.refutation, state)
    }
}

impl TryFrom<RecordWire> for Record {
    type Error = WireError;

    fn try_from(wire: RecordWire) -> Result<Self, WireError> {
        let state = match wire.2 {
            0 => MemberState::Live,
            1 => MemberState::Failed,
            2 => MemberState::Left,
            other => return Err(WireError::Word(format!("standing {other}").into())),
        };
        Ok(Self { member: wire.0.into(), refutation: wire.1, state })
    }
}

impl From<Frame> for FrameWire {
    fn from(frame: Frame) -> Self {
        match frame {
            Frame::Heartbeat(Heartbeat { members, generation, keep_link, lowest_within }) => {
                // Most daemons hold the sender's generation, and a small number is a short one.
                let behind = lowest_within.iter().map(|held| generation.0.saturating_sub(held.0));
                Self::Heartbeat(members, generation, keep_link, behind.collect())
            }
            Frame::Records(records) => Self::Records(records.into_iter().map(Into::into).collect()),
            Frame::Suspect(Suspicion { target, incarnation, refutation, reporter }) => {
                Self::Suspect(target, incarnation, refutation, reporter)
            }
            Frame::CompareDigests(digests) => Self::CompareDigests(digests),
            Frame::RequestBuckets(buckets) => Self::RequestBuckets(buckets),
            Frame::Message(message) => Self::Message(message.into()),
            Frame::Flood { origin, id, message } => Self::Flood(origin, id, message.into()),
        }
    }
}

impl TryFrom<FrameWire> for Frame {
    type Error = WireError;

    fn try_from(wire: FrameWire) -> Result<Self, WireError> {
        Ok(match wire {
            FrameWire::Heartbeat(members, generation, keep_link, behind) => {
                let lowest_within = behind.iter().take(CONVERGENCE_DEPTH);
                let lowest_within =
                    lowest_within.map(|behind| Generation(generation.0.saturating_sub(*behind)));
                Self::Heartbeat(Heartbeat {
                    members,
                    generation,
                    keep_link,
                    lowest_within: lowest_within.collect(),
                })
            }
            FrameWire::Records(records) => {
                let records = records.into_iter().map(TryInto::try_into);
                Self::Records(records.collect::<Result<_, _>>()?)
            }
            FrameWire::Suspect(target, incarnation, refutation, reporter) => {
                Self::Suspect(Suspicion { target, incarnation, refutation, reporter })
            }
            FrameWire::CompareDigests(digests) => Self::CompareDigests(digests),
            FrameWire::RequestBuckets(buckets) => Self::RequestBuckets(buckets),
            FrameWire::Message(message) => Self::Message(message.try_into()?),
            FrameWire::Flood(origin, id, message) => {
                Self::Flood { origin, id, message: message.try_into()? }
            }
        })
    }
}

impl From<Packet> for PacketWire {
    fn from(packet: Packet) -> Self {
        Self(packet.0.into_iter().map(Into::into).collect())
    }
}

impl TryFrom<PacketWire> for Packet {
    type Error = WireError;

    fn try_from(wire: PacketWire) -> Result<Self, WireError> {
        wire.0.into_iter().map(TryInto::try_into).collect::<Result<_, _>>().map(Self)
    }
}
