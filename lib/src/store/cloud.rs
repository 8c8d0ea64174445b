//! The cloud API: host offers, hosts and reclaim notices.

use serde::{Deserialize, Serialize};

use crate::{
    ids::{ClassName, HostId, Revision, ServiceName, VersionName, ZoneName},
    units::{PricePerHour, WallTime},
};

/// Whether the cloud may reclaim a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostKind {
    /// Low price; the cloud may reclaim the host at short notice.
    Reclaimable,
    /// High price; the host stays until it is released.
    OnDemand,
}

/// The price of one kind of host in one zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    pub zone: ZoneName,
    pub class: ClassName,
    pub kind: HostKind,
    pub price: PricePerHour,
}

/// A request to start one host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartHost {
    /// Makes the call idempotent: a token starts at most one host.
    pub client_token: Box<str>,
    pub zone: ZoneName,
    pub class: ClassName,
    pub kind: HostKind,
    /// The service that the host will run.
    pub service: ServiceName,
    /// The version that the host will run.
    pub version: VersionName,
}

/// A host that the cloud bills.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CloudHost {
    pub host: HostId,
    /// The request that started it.
    pub start: StartHost,
    /// Whether the host has finished starting.
    pub running: bool,
}

/// A notice that the cloud will reclaim a host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReclaimNotice {
    pub host: HostId,
    /// When it will be reclaimed.
    pub at: WallTime,
}

/// One call to the cloud API.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CloudCall {
    /// Lists the offers.
    Offers,
    /// Lists the billed hosts.
    Hosts,
    /// Starts a host.
    Start(StartHost),
    /// Releases a host; a repeated release has no effect.
    Release(HostId),
    /// Lists the reclaim notices after a revision.
    Notices(Revision),
}

impl CloudCall {
    /// Reports whether the call can change the cloud's state.
    pub fn is_write(&self) -> bool {
        matches!(self, Self::Start(_) | Self::Release(_))
    }
}

/// The cloud's response to a [`CloudCall`].
#[derive(Clone, Debug, PartialEq)]
pub enum CloudReply {
    /// The response to `Offers`.
    Offers(Vec<Offer>),
    /// The response to `Hosts`.
    Hosts(Vec<CloudHost>),
    /// The response to `Start`.
    Started(HostId),
    /// The response to `Release`.
    Released,
    /// The response to `Notices`, with the revision to pass to the next call.
    Notices(Revision, Vec<ReclaimNotice>),
}
