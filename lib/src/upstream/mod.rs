//! Upstreams and their hosts: the host list and the hosts that are leaving.

pub mod helpers;
pub mod hosts;
pub mod leaving;
pub mod message;
pub mod reachability;
pub mod speed;

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
    /// The host may get new work.
    Live,
    /// The host gets no new work, since it will be removed.
    Leaving {
        /// When the host is removed.
        at: WallTime,
    },
}

/// One entry of the host list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRecord {
    pub host: HostId,
    pub upstream: UpstreamId,
    /// Listening address of the upstream.
    pub address: SocketAddr,
    pub data_centre: DataCentre,
    /// Zone by which the cloud prices and reclaims the host.
    pub zone: ZoneName,
    /// Machine class.
    pub class: ClassName,
    /// Whether the cloud may reclaim the host.
    pub kind: HostKind,
    pub service: ServiceName,
    pub version: VersionName,
    pub state: HostState,
}
