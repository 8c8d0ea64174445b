//! What the control thread tells the traffic threads, as one immutable value.

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

/// All that a traffic thread needs to decide about a request.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// The generation in force, zero if none.
    pub generation: Generation,
    /// A generation that each live daemon has reached, as far as this one has heard.
    pub converged_generation: Generation,
    /// The declarations in force.
    pub set: Arc<DeclarationSet>,
    /// The hosts of the host list.
    pub hosts: Arc<[HostRecord]>,
    /// The services whose requests are spread over two versions; others use their version.
    pub traffic_splits: Arc<IndexMap<ServiceName, TrafficSplit>>,
    /// The moves as operators read them.
    pub moves: Arc<[MoveReport]>,
    /// The daemons that are taken to be live, this one included.
    pub members: Arc<[Member]>,
    /// What operators see of the supply at this daemon.
    pub supply: Arc<[ServiceStatus]>,
    /// Whether the daemon knows what is in force now.
    pub config_fresh: bool,
    /// Whether the daemon has been asked to shut down.
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
    /// Says whether the daemon should get requests.
    pub fn ready(&self) -> bool {
        self.config_fresh && !self.draining
    }
}
