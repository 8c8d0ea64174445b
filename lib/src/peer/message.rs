//! The packets of frames that daemons exchange over a link, and their wire format.

use serde::{Deserialize, Serialize};

use crate::{
    declaration::wire::WireError,
    ids::{DaemonId, Generation, Incarnation},
    node::message::{PeerMessage, PeerMessageWire},
    peer::{Member, MemberWire},
};

/// The state of a member in the member list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum MemberState {
    Live,
    /// Its neighbours have declared it failed, which it may refute.
    Failed,
    /// It has announced that it leaves.
    Left,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    pub member: Member,
    /// A counter that this run raises each time it refutes a claim that it is not live.
    pub refutation: u32,
    pub state: MemberState,
}

impl Record {
    /// Returns the key by which the records of one member are ordered; the largest is the latest.
    pub fn precedence(&self) -> (Incarnation, u32, MemberState) {
        (self.member.incarnation, self.refutation, self.state)
    }
}

/// A neighbour's report that it receives no packets from a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspicion {
    pub target: DaemonId,
    /// The run of that member from which no packets are received.
    pub incarnation: Incarnation,
    /// The refutation counter of that member as known to the reporter.
    pub refutation: u32,
    /// The neighbour that suspects it.
    pub reporter: DaemonId,
}

/// The largest distance, in links, that [`Heartbeat::lowest_within`] covers.
pub const CONVERGENCE_DEPTH: usize = 8;

/// The state of one end of a link, sent regularly to the other end for comparison.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Heartbeat {
    /// The digest of the sender's live members.
    pub members: u64,
    /// The generation in force at the sender.
    pub generation: Generation,
    /// Whether the sender wants to keep the link open.
    pub keep_link: bool,
    /// The lowest generation in force within 1, 2, and so on up to [`CONVERGENCE_DEPTH`] links of
    /// the sender.
    pub lowest_within: Vec<Generation>,
}

/// One element of a packet.
#[derive(Clone, Debug, PartialEq)]
pub enum Frame {
    Heartbeat(Heartbeat),
    /// Records of members as known to the sender.
    Records(Vec<Record>),
    Suspect(Suspicion),
    /// The digests of all buckets of the sender; the reply holds the records of those that differ.
    CompareDigests(Vec<u64>),
    /// Requests the records of some buckets of the member list.
    RequestBuckets(Vec<u8>),
    /// A message for the receiver alone.
    Message(PeerMessage),
    /// A message that is forwarded to every daemon.
    Flood {
        /// The daemon that sent it first.
        origin: DaemonId,
        /// Identifies the message among all flooded ones.
        id: u64,
        message: PeerMessage,
    },
}

impl Frame {
    /// Reports whether a link that is too slow may drop the frame.
    pub fn droppable(&self) -> bool {
        match self {
            Self::Message(message) | Self::Flood { message, .. } => message.droppable(),
            _ => false,
        }
    }
}

/// The frames that are sent over a link together.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Packet(pub Vec<Frame>);

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct RecordWire(MemberWire, u32, u8);

/// The wire format of a [`Frame`].
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

/// The wire format of a [`Packet`], in CBOR.
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
            other => return Err(WireError::Word(format!("member state {other}").into())),
        };
        Ok(Self { member: wire.0.into(), refutation: wire.1, state })
    }
}

impl From<Frame> for FrameWire {
    fn from(frame: Frame) -> Self {
        match frame {
            Frame::Heartbeat(Heartbeat { members, generation, keep_link, lowest_within }) => {
                // Generations are sent as differences: most daemons hold the generation of the
                // sender, and small numbers have a short encoding.
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
