//! The interface of the gateway to the object store and the cloud.
//!
//! A platform's adapter implements the calls and translates the platform's documents into these
//! records; this module does not depend on the format of either.

use std::{fmt, net::SocketAddr, time::Duration};

use bytes::Bytes;
use dogwoodturn::{
    ids::{
        CustomerName, DaemonId, DataCentre, Era, Incarnation, Revision, ServiceName, UpstreamId,
        VersionName,
    },
    units::Time,
};
use futures_util::future::LocalBoxFuture;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::table::Table;

/// A revision of the store, with the era in which the store assigned it.
///
/// A store that is restored from a backup begins a new era, lacks its last changes, and assigns their revisions
/// again. Revisions are therefore ordered by era first. See `docs/design/store-eras.md`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreRevision {
    pub era: Era,
    pub revision: Revision,
}

impl From<Revision> for StoreRevision {
    /// Returns the revision of a store that names no era.
    fn from(revision: Revision) -> Self {
        Self { era: Era::default(), revision }
    }
}

impl fmt::Display for StoreRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.era, self.revision)
    }
}

/// A group of objects that is listed and watched together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// The configuration, written by operators.
    Declarations,
    /// The upstreams, which register themselves.
    Upstreams,
    /// The moves between versions, ordered by operators.
    Moves,
    /// The daemons of this system.
    Members,
    /// The lease of the leader.
    Leases,
    /// The data centres that operators have evacuated.
    Evacuations,
}

/// One upstream as it registered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "UpstreamFields", into = "UpstreamFields")]
pub struct UpstreamRecord {
    /// The upstream's ID; a restarted upstream usually has a new one.
    pub id: UpstreamId,
    /// The start time in milliseconds since 1970; distinguishes starts under the same ID.
    pub started: u64,
    pub service: ServiceName,
    pub version: VersionName,
    pub address: SocketAddr,
    pub data_centre: DataCentre,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is leaving and accepts no new work.
    pub draining: bool,
    /// Whether the cloud may reclaim its host.
    pub reclaimable: bool,
    /// How long it stays cold after its start, as of its last report.
    pub warm_up: Duration,
}

/// An upstream as daemons replicate it: fields in order and without names, since hubs send many.
type UpstreamFields = (
    (UpstreamId, u64, ServiceName, VersionName, SocketAddr),
    (DataCentre, u32, bool, bool, Duration),
);

impl From<UpstreamFields> for UpstreamRecord {
    fn from(fields: UpstreamFields) -> Self {
        let (id, started, service, version, address) = fields.0;
        let (data_centre, slots, draining, reclaimable, warm_up) = fields.1;
        Self {
            id,
            started,
            service,
            version,
            address,
            data_centre,
            slots,
            draining,
            reclaimable,
            warm_up,
        }
    }
}

impl From<UpstreamRecord> for UpstreamFields {
    fn from(record: UpstreamRecord) -> Self {
        let UpstreamRecord { id, started, service, version, address, .. } = record;
        let UpstreamRecord { data_centre, slots, draining, reclaimable, warm_up, .. } = record;
        (
            (id, started, service, version, address),
            (data_centre, slots, draining, reclaimable, warm_up),
        )
    }
}

/// A move of a service's traffic to another version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MoveRecord {
    pub service: ServiceName,
    pub target: VersionName,
    /// The time that the operator allows for the move, counted from the order.
    pub duration: Duration,
    /// The recorded state, if the status names this target.
    pub state: Option<MoveState>,
}

/// The progress of a move, as recorded for the operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MoveState {
    /// Traffic is being moved.
    InProgress,
    /// All traffic is on the target.
    Completed,
    /// The target was bad and receives no traffic.
    Reverted,
}

/// A daemon of this system.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberRecord {
    pub daemon: DaemonId,
    /// The address at which it receives messages from peers.
    pub address: SocketAddr,
}

/// The lease of the leader, with the usage counts that a successor has to report.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LeaseRecord {
    pub holder: Box<str>,
    /// Increases with each change of holder.
    pub fence: u64,
    /// The era of the store in which the holder acquired the lease.
    pub era: Era,
    /// The first usage window that may be closed; earlier ones may have been reported with counts that the
    /// store has lost.
    pub first_window: u64,
    /// Increases with each renewal.
    pub renewals: u64,
    /// The newest usage windows; they are closed with these counts before they are reported.
    pub closed_windows: Vec<UsageWindow>,
    /// The counts of each run of a daemon in windows that are still open, so that they survive the
    /// loss of all daemons.
    pub open_counts: Vec<RunCounts>,
}

/// The usage counts of one run of a daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct RunCounts {
    pub daemon: DaemonId,
    pub incarnation: Incarnation,
    pub windows: Vec<UsageWindow>,
}

/// The requests of each customer that began to run in one window.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UsageWindow {
    pub number: u64,
    pub counts: IndexMap<CustomerName, u64>,
}

/// The content of an object.
#[derive(Clone, Debug)]
pub enum Record {
    /// See [`Kind::Declarations`].
    Table(Box<Table>),
    /// See [`Kind::Upstreams`].
    Upstream(UpstreamRecord),
    /// See [`Kind::Moves`].
    Move(MoveRecord),
    /// See [`Kind::Members`].
    Member(MemberRecord),
    /// See [`Kind::Leases`].
    Lease(LeaseRecord),
    /// See [`Kind::Evacuations`].
    Evacuation(DataCentre),
}

/// Why an object could not be read. It is skipped, and the other objects are applied.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("unreadable object: {0}")]
pub struct Unreadable(pub Box<str>);

#[derive(Clone, Debug)]
pub struct Entry {
    /// The name within the kind.
    pub name: Box<str>,
    /// The revision of its last change.
    pub revision: StoreRevision,
    pub record: Result<Record, Unreadable>,
}

/// One change that a watch returns.
#[derive(Clone, Debug)]
pub enum Change {
    /// An object was created or changed.
    Set(Entry),
    /// An object was removed.
    Removed(Box<str>),
}

/// All objects of a kind at one revision.
#[derive(Clone, Debug)]
pub struct Listing {
    pub entries: Vec<Entry>,
    /// The revision of the listing, from which to watch.
    pub at: StoreRevision,
}

/// The changes up to a revision.
#[derive(Clone, Debug)]
pub struct Changes {
    /// The changes in order.
    pub changes: Vec<Change>,
    /// The revision from which to watch next.
    pub at: StoreRevision,
}

/// Why a call returned no result.
#[derive(Clone, Debug, Error)]
pub enum CallError {
    /// The call had no effect.
    #[error("not done: {0}")]
    NotDone(Box<str>),
    /// The call may have taken effect or may still take effect.
    #[error("outcome unknown: {0}")]
    Unknown(Box<str>),
    /// As [`Self::Unknown`]: no answer arrived in time, although the connection is open.
    #[error("outcome unknown: no answer in time")]
    NoAnswer,
    /// The requested history is no longer available, and the kind must be listed again.
    #[error("the requested history is no longer available")]
    HistoryGone,
    /// The precondition failed. Contains the current object if it could be read.
    #[error("conflict")]
    Conflict(Option<Box<Entry>>),
    /// The object does not exist.
    #[error("no such object")]
    Missing,
}

/// A write of one object.
#[derive(Clone, Debug)]
pub enum Write {
    /// Registers this daemon, replacing any entry of the same name.
    Member(MemberRecord),
    /// Removes the entry of a daemon that is gone, unless it changed since this revision.
    Forget(StoreRevision, DaemonId),
    /// Creates the lease, or replaces the one with this revision.
    Lease(Option<StoreRevision>, LeaseRecord),
    /// Records the state of a move, unless the object changed since this revision.
    MoveState(StoreRevision, MoveRecord, MoveState),
}

impl Write {
    /// Returns the revision of the object that the write replaces, if it is conditional on it.
    pub fn precondition(&self) -> Option<StoreRevision> {
        match self {
            Self::Member(_) => None,
            Self::Lease(revision, _) => *revision,
            Self::Forget(revision, _) | Self::MoveState(revision, ..) => Some(*revision),
        }
    }
}

/// A fenced call to the cloud.
#[derive(Clone, Debug, PartialEq)]
pub enum CloudRequest {
    /// Reports the usage of one window.
    Usage(UsageWindow),
    /// Orders a number of hosts for a service in a data centre.
    Hosts {
        service: ServiceName,
        data_centre: DataCentre,
        /// The wanted number of such hosts in the data centre.
        count: u32,
        /// Whether the cloud may reclaim the hosts.
        reclaimable: bool,
    },
}

/// The holder of the lease and its fencing number, which the cloud may check.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fence {
    pub holder: Box<str>,
    /// Increases with each change of holder.
    pub number: u64,
}

/// The permission to send fenced requests to the cloud.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Permit {
    pub fence: Fence,
    /// The time after which no request may be sent, on the clock of [`Gateway::now`].
    ///
    /// [`Gateway::now`]: crate::gateway::Gateway::now
    pub not_after: Time,
}

/// The future result of a call.
pub type Reply<T> = LocalBoxFuture<'static, Result<T, CallError>>;

/// The calls to the object store and the cloud.
pub struct Store {
    /// Lists all objects of a kind.
    pub list: Box<dyn Fn(Kind) -> Reply<Listing>>,
    /// Waits for changes of a kind after a revision, for at most the duration. Fails with
    /// [`CallError::HistoryGone`] if the store is in another era than that of the revision.
    pub watch: Box<dyn Fn(Kind, StoreRevision, Duration) -> Reply<Changes>>,
    /// Writes one object and returns its revision.
    pub write: Box<dyn Fn(Write) -> Reply<StoreRevision>>,
    /// Returns the latest era that the store has named in any answer.
    pub era: Box<dyn Fn() -> Era>,
    /// Sends a fenced request to the cloud, unless the permit has ended by the time that it is written. A
    /// request must not arrive later than [`MAX_CALL_DELAY`] after the end of its permit.
    ///
    /// [`MAX_CALL_DELAY`]: crate::lease::MAX_CALL_DELAY
    pub send_cloud_request: Box<dyn Fn(Permit, CloudRequest) -> Reply<()>>,
    /// Directs subsequent calls to other addresses of the store and the cloud, in this order.
    pub redirect: Box<dyn Fn(SocketAddr, SocketAddr)>,
    /// Parses a table from its document as a peer sent it.
    pub read_table: fn(Bytes) -> Result<Table, Unreadable>,
}
