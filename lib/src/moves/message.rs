//! What daemons tell each other about moves.

use serde::{Deserialize, Serialize};

use crate::{
    declaration::wire::WireError,
    ids::{ClassName, DaemonId, Incarnation, RouteName, ZoneName},
    moves::{
        MoveId,
        ending::{EndRecord, Hold},
        evidence::{CellKey, Cells, Counts, Moments, Side, Source, Stratum},
        verdict::{Badness, Measure},
    },
    units::WallTime,
};

/// The sums of one source in one window.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The number of the window.
    pub window: u32,
    /// Whose sums they are.
    pub source: Source,
    /// The sums.
    pub cells: Cells,
}

/// A message about moves.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// Asks for every hold and record; answered to the sender alone.
    Ask,
    /// Answers [`Message::Ask`]; holds and records have been sent before it.
    Answered,
    /// Evidence, and the step that the sender has reached.
    Evidence {
        /// The move.
        id: MoveId,
        /// The step.
        step: u8,
        /// When it began, by the clock of the first daemon that earned it.
        entered: WallTime,
        /// Sums that have grown.
        entries: Vec<Entry>,
    },
    /// The new version gets no more requests; flooded.
    Hold(MoveId, Hold),
    /// The move has ended; flooded.
    End(MoveId, EndRecord),
}

impl Message {
    /// Says whether the message may be lost, as a later one makes up for it.
    pub fn droppable(&self) -> bool {
        matches!(self, Self::Evidence { .. })
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct MomentsWire(u64, u64, u64);

impl From<Moments> for MomentsWire {
    fn from(moments: Moments) -> Self {
        Self(moments.count, moments.sum, moments.squares)
    }
}

impl From<MomentsWire> for Moments {
    fn from(wire: MomentsWire) -> Self {
        Self { count: wire.0, sum: wire.1, squares: wire.2 }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct CellWire(RouteName, bool, ClassName, ZoneName, u8, u64, u64, MomentsWire, MomentsWire);

impl From<(CellKey, Counts)> for CellWire {
    fn from((cell, counts): (CellKey, Counts)) -> Self {
        let CellKey { route, side, stratum: Stratum { class, zone, size } } = cell;
        let Counts { good, bad, start, pace } = counts;
        Self(route, side == Side::New, class, zone, size, good, bad, start.into(), pace.into())
    }
}

impl From<CellWire> for (CellKey, Counts) {
    fn from(wire: CellWire) -> Self {
        let CellWire(route, is_new, class, zone, size, good, bad, start, pace) = wire;
        let side = if is_new { Side::New } else { Side::Old };
        let cell = CellKey { route, side, stratum: Stratum { class, zone, size } };
        (cell, Counts { good, bad, start: start.into(), pace: pace.into() })
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct EntryWire(u32, DaemonId, Incarnation, Vec<CellWire>);

impl From<Entry> for EntryWire {
    fn from(entry: Entry) -> Self {
        let cells = entry.cells.into_iter().map(CellWire::from).collect();
        Self(entry.window, entry.source.daemon, entry.source.incarnation, cells)
    }
}

impl From<EntryWire> for Entry {
    fn from(wire: EntryWire) -> Self {
        let EntryWire(window, daemon, incarnation, cells) = wire;
        let cells = cells.into_iter().map(<(CellKey, Counts)>::from).collect();
        Self { window, source: Source { daemon, incarnation }, cells }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct BadnessWire(RouteName, u8);

impl From<Badness> for BadnessWire {
    fn from(badness: Badness) -> Self {
        Self(badness.route, badness.measure as u8)
    }
}

impl TryFrom<BadnessWire> for Badness {
    type Error = WireError;

    fn try_from(wire: BadnessWire) -> Result<Self, WireError> {
        let BadnessWire(route, measure) = wire;
        let known = Measure::ALL.get(usize::from(measure)).copied();
        let unknown = || WireError::Word(format!("measure {measure}").into());
        Ok(Self { route, measure: known.ok_or_else(unknown)? })
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct HoldWire(BadnessWire, DaemonId, WallTime);

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum Body {
    #[serde(rename = "a")]
    Ask,
    #[serde(rename = "r")]
    Answered,
    #[serde(rename = "v")]
    Evidence(MoveId, u8, WallTime, Vec<EntryWire>),
    #[serde(rename = "h")]
    Hold(MoveId, HoldWire),
    #[serde(rename = "e")]
    End(MoveId, EndRecord),
}

/// A [`Message`] as it travels.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct MessageWire(Body);

impl From<Message> for MessageWire {
    fn from(message: Message) -> Self {
        Self(match message {
            Message::Ask => Body::Ask,
            Message::Answered => Body::Answered,
            Message::Evidence { id, step, entered, entries } => {
                let entries = entries.into_iter().map(EntryWire::from).collect();
                Body::Evidence(id, step, entered, entries)
            }
            Message::Hold(id, hold) => {
                Body::Hold(id, HoldWire(hold.cause.into(), hold.by, hold.at))
            }
            Message::End(id, record) => Body::End(id, record),
        })
    }
}

impl TryFrom<MessageWire> for Message {
    type Error = WireError;

    fn try_from(wire: MessageWire) -> Result<Self, WireError> {
        Ok(match wire.0 {
            Body::Ask => Self::Ask,
            Body::Answered => Self::Answered,
            Body::Evidence(id, step, entered, entries) => {
                let entries = entries.into_iter().map(Entry::from).collect();
                Self::Evidence { id, step, entered, entries }
            }
            Body::Hold(id, HoldWire(cause, by, at)) => {
                Self::Hold(id, Hold { cause: cause.try_into()?, by, at })
            }
            Body::End(id, record) => Self::End(id, record),
        })
    }
}
