//! Messages between daemons about moves, and their wire format.

use indexmap::IndexSet;
use serde::{Deserialize, Serialize};

use crate::{
    declaration::wire::WireError,
    ids::{ClassName, DaemonId, Incarnation, RouteName, ZoneName},
    moves::{
        MoveId,
        active_move::MoveProgress,
        evidence::{CellKey, Cells, Counts, DaemonRun, Moments, Side, Stratum},
        regression::{Measure, Regression},
        resolution::{Abort, EndRecord},
    },
    units::WallTime,
};

/// The largest sum accepted from a peer, so that the total over all peers does not overflow.
const MAX_SUM: u64 = 1 << 48;

/// The sums of one source in one window.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    pub window: u32,
    /// The daemon run that counted them.
    pub source: DaemonRun,
    pub cells: Cells,
}

/// A message about moves.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// Requests every abort and end record; the reply goes to the sender alone.
    RequestState,
    /// Ends the reply to [`Message::RequestState`]; aborts and end records were sent before it.
    StateSent,
    /// Evidence and the progress of the move at the sender.
    Evidence {
        id: MoveId,
        progress: MoveProgress,
        /// Sums that have grown since they were last sent.
        entries: Vec<Entry>,
    },
    /// The new version gets no more requests. This message is flooded.
    Abort(MoveId, Abort),
    /// The move has ended. This message is flooded.
    End(MoveId, EndRecord),
}

impl Message {
    /// Reports whether the message may be dropped because a later one supersedes it.
    pub fn droppable(&self) -> bool {
        matches!(self, Self::Evidence { .. })
    }
}

/// The wire format of [`Moments`].
///
/// Most cells of a short window hold a single duration, which is sent as its logarithm alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
enum MomentsWire {
    One(u64),
    Several(u64, u64, u64),
}

fn moments_wire(moments: Moments) -> Option<MomentsWire> {
    let Moments { count, sum, squares } = moments;
    match count {
        0 => None,
        1 => Some(MomentsWire::One(sum)),
        _ => Some(MomentsWire::Several(count, sum, squares)),
    }
}

impl From<MomentsWire> for Moments {
    fn from(wire: MomentsWire) -> Self {
        match wire {
            MomentsWire::One(sum) => Self { count: 1, sum, squares: sum.saturating_mul(sum) },
            MomentsWire::Several(count, sum, squares) => Self { count, sum, squares },
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ProgressWire(u32, u8, WallTime);

impl From<MoveProgress> for ProgressWire {
    fn from(progress: MoveProgress) -> Self {
        Self(progress.doubts, progress.step, progress.entered)
    }
}

impl From<ProgressWire> for MoveProgress {
    fn from(wire: ProgressWire) -> Self {
        Self { doubts: wire.0, step: wire.1, entered: wire.2 }
    }
}

/// Entries and a table of the names that they refer to, so that each name is sent once.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct EntriesWire {
    #[serde(rename = "r")]
    routes: IndexSet<RouteName>,
    #[serde(rename = "c")]
    classes: IndexSet<ClassName>,
    #[serde(rename = "z")]
    zones: IndexSet<ZoneName>,
    #[serde(rename = "e")]
    entries: Vec<EntryWire>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct EntryWire(u32, DaemonId, Incarnation, Vec<CellWire>);

/// The indices of route, class and zone, whether the version is the new one, the size, the number
/// of good and bad attempts, the bad upstreams, and the moments of the two durations.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct CellWire(
    usize,
    usize,
    usize,
    bool,
    u8,
    u64,
    u64,
    u32,
    Option<MomentsWire>,
    Option<MomentsWire>,
);

impl EntriesWire {
    fn add(&mut self, cell: CellKey, counts: &Counts) -> CellWire {
        CellWire(
            self.routes.insert_full(cell.route).0,
            self.classes.insert_full(cell.stratum.class).0,
            self.zones.insert_full(cell.stratum.zone).0,
            cell.side == Side::New,
            cell.stratum.size,
            counts.good,
            counts.bad,
            counts.bad_upstreams,
            moments_wire(counts.time_to_first_token),
            moments_wire(counts.time_per_token),
        )
    }

    fn cell(&self, wire: &CellWire) -> Result<(CellKey, Counts), WireError> {
        let &CellWire(
            route,
            class,
            zone,
            is_new,
            size,
            good,
            bad,
            bad_upstreams,
            time_to_first_token,
            time_per_token,
        ) = wire;
        let unknown = |what: &str, index| WireError::Word(format!("{what} {index}").into());
        let route = self.routes.get_index(route).ok_or_else(|| unknown("route", route))?.clone();
        let class = self.classes.get_index(class).ok_or_else(|| unknown("class", class))?.clone();
        let zone = self.zones.get_index(zone).ok_or_else(|| unknown("zone", zone))?.clone();
        let side = if is_new { Side::New } else { Side::Old };
        let time_to_first_token = time_to_first_token.map_or_else(Moments::default, Moments::from);
        let time_per_token = time_per_token.map_or_else(Moments::default, Moments::from);
        let counts = Counts { good, bad, bad_upstreams, time_to_first_token, time_per_token };
        let sums = [
            good,
            bad,
            time_to_first_token.sum,
            time_per_token.sum,
            time_to_first_token.squares,
            time_per_token.squares,
        ];
        if sums.into_iter().any(|sum| sum > MAX_SUM) {
            return Err(WireError::Word("a sum of the evidence is too large".into()));
        }
        Ok((CellKey { route, side, stratum: Stratum { class, zone, size } }, counts))
    }
}

impl From<Vec<Entry>> for EntriesWire {
    fn from(entries: Vec<Entry>) -> Self {
        let mut wire = Self::default();
        for Entry { window, source, cells } in entries {
            let cells = cells.into_iter().map(|(cell, counts)| wire.add(cell, &counts)).collect();
            wire.entries.push(EntryWire(window, source.daemon, source.incarnation, cells));
        }
        wire
    }
}

impl TryFrom<EntriesWire> for Vec<Entry> {
    type Error = WireError;

    fn try_from(wire: EntriesWire) -> Result<Self, WireError> {
        let entry = |EntryWire(window, daemon, incarnation, cells): &EntryWire| {
            let source = DaemonRun { daemon: daemon.clone(), incarnation: *incarnation };
            let cells: Result<_, _> = cells.iter().map(|cell| wire.cell(cell)).collect();
            Ok(Entry { window: *window, source, cells: cells? })
        };
        wire.entries.iter().map(entry).collect()
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct RegressionWire(RouteName, u8);

impl From<Regression> for RegressionWire {
    fn from(regression: Regression) -> Self {
        Self(regression.route, regression.measure as u8)
    }
}

impl TryFrom<RegressionWire> for Regression {
    type Error = WireError;

    fn try_from(wire: RegressionWire) -> Result<Self, WireError> {
        let RegressionWire(route, measure) = wire;
        let known = Measure::ALL.get(usize::from(measure)).copied();
        let unknown = || WireError::Word(format!("measure {measure}").into());
        Ok(Self { route, measure: known.ok_or_else(unknown)? })
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct AbortWire(RegressionWire, DaemonId, WallTime);

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum Body {
    #[serde(rename = "a")]
    RequestState,
    #[serde(rename = "r")]
    StateSent,
    #[serde(rename = "v")]
    Evidence(MoveId, ProgressWire, Box<EntriesWire>),
    #[serde(rename = "h")]
    Abort(MoveId, AbortWire),
    #[serde(rename = "e")]
    End(MoveId, EndRecord),
}

/// The wire format of a [`Message`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct MessageWire(Body);

impl From<Message> for MessageWire {
    fn from(message: Message) -> Self {
        Self(match message {
            Message::RequestState => Body::RequestState,
            Message::StateSent => Body::StateSent,
            Message::Evidence { id, progress, entries } => {
                Body::Evidence(id, progress.into(), Box::new(entries.into()))
            }
            Message::Abort(id, abort) => {
                Body::Abort(id, AbortWire(abort.cause.into(), abort.by, abort.at))
            }
            Message::End(id, record) => Body::End(id, record),
        })
    }
}

impl TryFrom<MessageWire> for Message {
    type Error = WireError;

    fn try_from(wire: MessageWire) -> Result<Self, WireError> {
        Ok(match wire.0 {
            Body::RequestState => Self::RequestState,
            Body::StateSent => Self::StateSent,
            Body::Evidence(id, progress, entries) => {
                let entries = (*entries).try_into()?;
                Self::Evidence { id, progress: progress.into(), entries }
            }
            Body::Abort(id, AbortWire(cause, by, at)) => {
                Self::Abort(id, Abort { cause: cause.try_into()?, by, at })
            }
            Body::End(id, record) => Self::End(id, record),
        })
    }
}
