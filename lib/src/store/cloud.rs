//! The cloud API: offers, hosts and reclaim notices.

use serde::{Deserialize, Serialize};

use crate::{
    ids::{ClassName, HostId, Revision, ServiceName, VersionName, ZoneName},
    units::{PricePerHour, WallTime},
};

/// Whether the cloud may take a host back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostKind {
    /// Cheap; the cloud may reclaim it with a short notice.
    Reclaimable,
    /// Dear; it stays until it is released.
    OnDemand,
}

/// What one kind of host costs in one zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// The zone that has the host.
    pub zone: ZoneName,
    /// The host's machine class.
    pub class: ClassName,
    /// Whether the cloud may take it back.
    pub kind: HostKind,
    /// The price now.
    pub price: PricePerHour,
}

/// Asks for one host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartHost {
    /// Makes the call idempotent: one token starts at most one host.
    pub client_token: Box<str>,
    /// The zone to start in.
    pub zone: ZoneName,
    /// The machine class.
    pub class: ClassName,
    /// Whether the cloud may take it back.
    pub kind: HostKind,
    /// The service that the host will run.
    pub service: ServiceName,
    /// The version that the host will run.
    pub version: VersionName,
}

/// A host that the cloud bills.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CloudHost {
    /// The host's name.
    pub host: HostId,
    /// The call that started it.
    pub start: StartHost,
    /// Whether it has finished starting.
    pub running: bool,
}

/// Tells that the cloud will take a host back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReclaimNotice {
    /// The host that will go.
    pub host: HostId,
    /// When it goes.
    pub at: WallTime,
}

/// One call to the cloud.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CloudCall {
    /// Lists the offers.
    Offers,
    /// Lists the hosts that are billed.
    Hosts,
    /// Starts a host.
    Start(StartHost),
    /// Releases a host; releasing it again has no effect.
    Release(HostId),
    /// Lists the notices after a revision.
    Notices(Revision),
}

impl CloudCall {
    /// Says whether the call can change anything.
    pub fn is_write(&self) -> bool {
        matches!(self, Self::Start(_) | Self::Release(_))
    }
}

/// The cloud's answer to a [`CloudCall`].
#[derive(Clone, Debug, PartialEq)]
pub enum CloudReply {
    /// Answers `Offers`.
    Offers(Vec<Offer>),
    /// Answers `Hosts`.
    Hosts(Vec<CloudHost>),
    /// Answers `Start`.
    Started(HostId),
    /// Answers `Release`.
    Released,
    /// Answers `Notices`, with the revision where the next call goes on.
    Notices(Revision, Vec<ReclaimNotice>),
}
