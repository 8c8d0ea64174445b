//! What the gateway asks of the object store and the cloud, and what it gets back.
//!
//! The adapter of a platform fills in the calls and translates its documents into these records;
//! nothing here knows how either is spelled.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use dogwoodturn::ids::{
    CustomerName, DaemonId, DataCentre, Incarnation, Revision, ServiceName, UpstreamId, VersionName,
};
use futures_util::future::LocalBoxFuture;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::table::Table;

/// A group of objects that is listed and watched as one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// The configuration that operators write.
    Declarations,
    /// The upstreams, which register themselves.
    Upstreams,
    /// The moves between versions that operators order.
    Moves,
    /// The daemons of this system.
    Members,
    /// The lease of the daemon that acts for all.
    Leases,
}

/// One upstream as it registered itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "UpstreamFields", into = "UpstreamFields")]
pub struct UpstreamRecord {
    /// The upstream's id; a new start mostly has a new one.
    pub id: UpstreamId,
    /// When it started, in milliseconds since 1970; tells apart starts under one id.
    pub started: u64,
    /// Its service.
    pub service: ServiceName,
    /// The version that it runs.
    pub version: VersionName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// How many requests it runs at once.
    pub slots: u32,
    /// Whether it is leaving and takes no new work.
    pub draining: bool,
    /// Whether the cloud may take its host back.
    pub reclaimable: bool,
    /// How long it stays slow after its start.
    pub warm_up: Duration,
}

/// An upstream as daemons pass it on: the fields in order, without their names, since hubs tell many.
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

/// A move of a service's traffic to a version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MoveRecord {
    /// The service.
    pub service: ServiceName,
    /// The version to move to.
    pub target: VersionName,
    /// The time that the operator gives from the order on.
    pub duration: Duration,
    /// The recorded end, if the status names this target.
    pub state: Option<MoveState>,
}

/// How far a move is, as recorded for the operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MoveState {
    /// Traffic is being moved.
    InProgress,
    /// All traffic is on the target.
    Completed,
    /// The target was bad and takes no traffic.
    Reverted,
}

/// A daemon of this system.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The daemon.
    pub daemon: DaemonId,
    /// Where it hears its peers.
    pub address: SocketAddr,
}

/// The lease of the daemon that acts for all, with the work that a successor must repeat.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LeaseRecord {
    /// The holder.
    pub holder: Box<str>,
    /// Rises with each change of holder.
    pub fence: u64,
    /// Rises with each renewal.
    pub renewals: u64,
    /// The newest usage windows, closed with these counts before they are sent.
    pub closed_windows: Vec<UsageWindow>,
    /// What each run of a daemon has counted in windows that are not closed, so that the counts
    /// survive the loss of all daemons.
    pub open_counts: Vec<RunCounts>,
}

/// What one run of a daemon has counted.
#[derive(Clone, Debug, PartialEq)]
pub struct RunCounts {
    /// The daemon.
    pub daemon: DaemonId,
    /// Its run.
    pub incarnation: Incarnation,
    /// The windows.
    pub windows: Vec<UsageWindow>,
}

/// The requests of each customer that began to run in one window.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UsageWindow {
    /// The window's number.
    pub number: u64,
    /// Requests by customer.
    pub counts: IndexMap<CustomerName, u64>,
}

/// What an object holds.
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
}

/// Says why an object could not be read; it is skipped and the others hold.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("unreadable object: {0}")]
pub struct Unreadable(pub Box<str>);

/// One object.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Its name within its kind.
    pub name: Box<str>,
    /// The revision of its last change.
    pub revision: Revision,
    /// What it holds.
    pub record: Result<Record, Unreadable>,
}

/// One change that a watch tells.
#[derive(Clone, Debug)]
pub enum Change {
    /// An object was written.
    Set(Entry),
    /// An object is gone.
    Removed(Box<str>),
}

/// All objects of a kind at one revision.
#[derive(Clone, Debug)]
pub struct Listing {
    /// The objects.
    pub entries: Vec<Entry>,
    /// The revision to watch from.
    pub at: Revision,
}

/// What changed up to a revision.
#[derive(Clone, Debug)]
pub struct Changes {
    /// The changes in order.
    pub changes: Vec<Change>,
    /// The revision to watch from next.
    pub at: Revision,
}

/// Says why a call gave no result.
#[derive(Clone, Debug, Error)]
pub enum CallError {
    /// The call had no effect.
    #[error("not done: {0}")]
    NotDone(Box<str>),
    /// The call may have taken effect, or may still do so.
    #[error("outcome unknown: {0}")]
    Unknown(Box<str>),
    /// The history that was asked for is gone; list again.
    #[error("history is gone")]
    HistoryGone,
    /// The condition did not hold; the object as it is, if it could be read.
    #[error("conflict")]
    Conflict(Option<Box<Entry>>),
    /// The object does not exist.
    #[error("no such object")]
    Missing,
}

/// A write of one object.
#[derive(Clone, Debug)]
pub enum Write {
    /// Registers this daemon, whatever stood there.
    Member(MemberRecord),
    /// Takes a daemon that is gone off the list, unless its entry changed since this revision.
    Forget(Revision, DaemonId),
    /// Creates the lease, or replaces the one with this revision.
    Lease(Option<Revision>, LeaseRecord),
    /// Records how far a move is, unless the object changed since this revision.
    MoveState(Revision, MoveRecord, MoveState),
}

/// A call to the cloud under a fence.
#[derive(Clone, Debug, PartialEq)]
pub enum CloudRequest {
    /// Reports the usage of one window.
    Usage(UsageWindow),
    /// Orders a number of hosts for a service in a data centre.
    Hosts {
        /// The service.
        service: ServiceName,
        /// The data centre.
        data_centre: DataCentre,
        /// How many hosts of this sort are wanted there.
        count: u32,
        /// Whether the order is for hosts that the cloud may take back.
        reclaimable: bool,
    },
}

/// The holder of the lease and its fence, which the cloud checks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fence {
    /// The holder.
    pub holder: Box<str>,
    /// The number that rises with each change of holder.
    pub number: u64,
}

/// The result of a call.
pub type Reply<T> = LocalBoxFuture<'static, Result<T, CallError>>;

/// The calls to the object store and the cloud.
pub struct Store {
    /// Lists all objects of a kind.
    pub list: Box<dyn Fn(Kind) -> Reply<Listing>>,
    /// Waits for changes of a kind after a revision, for a time.
    pub watch: Box<dyn Fn(Kind, Revision, Duration) -> Reply<Changes>>,
    /// Writes one object and returns its revision.
    pub write: Box<dyn Fn(Write) -> Reply<Revision>>,
    /// Sends an order to the cloud.
    pub send_cloud_request: Box<dyn Fn(Fence, CloudRequest) -> Reply<()>>,
    /// Sends further calls to other addresses of the store and the cloud.
    pub redirect: Box<dyn Fn(SocketAddr, SocketAddr)>,
    /// Reads a table from its document, as relayed by a peer.
    pub read_table: fn(Bytes) -> Result<Table, Unreadable>,
}
