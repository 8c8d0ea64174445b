//! The upstreams that a daemon knows: which are live, which are leaving, and how they do.

pub mod hosts;
pub mod leaving;
pub mod message;

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    ids::{ClassName, DataCentre, HostId, ServiceName, UpstreamId, VersionName, ZoneName},
    store::cloud::HostKind,
    units::WallTime,
};

/// Whether a host of the host list may get new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// It may get new work.
    Live,
    /// It will go at the stated time and gets no new work.
    Leaving {
        /// When it goes.
        at: WallTime,
    },
}

/// One entry of the host list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRecord {
    /// The host.
    pub host: HostId,
    /// The upstream on it.
    pub upstream: UpstreamId,
    /// Where the upstream listens.
    pub address: SocketAddr,
    /// The data centre it is in.
    pub data_centre: DataCentre,
    /// The zone it is priced and reclaimed in.
    pub zone: ZoneName,
    /// Its machine class.
    pub class: ClassName,
    /// Whether the cloud may take it back.
    pub kind: HostKind,
    /// The service that it runs.
    pub service: ServiceName,
    /// The version that it runs.
    pub version: VersionName,
    /// Whether it may get new work.
    pub state: HostState,
}
