//! The immutable state that the control thread publishes to the traffic threads.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::{
    declaration::DeclarationSet,
    ids::{Generation, ServiceName},
    moves::{report::MoveReport, share::TrafficSplit},
    peer::Member,
    supply::status::ServiceStatus,
    upstream::HostRecord,
};

/// All control state that a traffic thread needs to process requests.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// The active generation, zero if none.
    pub generation: Generation,
    /// A generation that all live daemons have reached, according to their reports to this daemon.
    pub converged_generation: Generation,
    /// The active declarations.
    pub set: Arc<DeclarationSet>,
    pub hosts: Arc<[HostRecord]>,
    /// The services whose requests are split over two versions; others use their declared version.
    pub traffic_splits: Arc<IndexMap<ServiceName, TrafficSplit>>,
    /// The reports on moves for operators.
    pub moves: Arc<[MoveReport]>,
    /// The daemons considered live, including this one.
    pub members: Arc<[Member]>,
    /// This daemon's supply status for operators.
    pub supply: Arc<[ServiceStatus]>,
    /// Whether the active configuration of this daemon is known to be current.
    pub config_fresh: bool,
    /// Whether a graceful shutdown has been requested.
    pub draining: bool,
}

impl Default for Snapshot {
    fn default() -> Self {
        Self {
            generation: Generation(0),
            converged_generation: Generation(0),
            set: Arc::default(),
            hosts: Arc::new([]),
            traffic_splits: Arc::default(),
            moves: Arc::new([]),
            members: Arc::new([]),
            supply: Arc::new([]),
            config_fresh: false,
            draining: false,
        }
    }
}

impl Snapshot {
    /// Reports whether the daemon should receive requests.
    pub fn is_ready(&self) -> bool {
        self.config_fresh && !self.draining
    }
}
