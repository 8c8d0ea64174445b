//! The share of requests that a move routes to the new version.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::{MoveName, RequestId, VersionName};

/// A share of all requests, in millionths.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Share(pub u32);

impl Share {
    /// No request.
    pub const NONE: Share = Share(0);
    /// Every request.
    pub const FULL: Share = Share(1_000_000);
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:04}%", self.0 / 10_000, self.0 % 10_000)
    }
}

/// How the requests of a service are split between two versions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TrafficSplit {
    pub move_name: MoveName,
    /// The old version.
    pub from: VersionName,
    /// The new version.
    pub to: VersionName,
    pub share: Share,
    /// The most requests that one daemon may have outstanding at `to`; unlimited if `None`.
    pub max_outstanding: Option<u32>,
}

impl TrafficSplit {
    /// Returns the version that serves a request.
    ///
    /// The result depends only on the request, the move and the share, and so is the same at each
    /// daemon, unless `max_outstanding` is reached.
    pub fn choose(&self, request: &RequestId, outstanding_at_to: u32) -> &VersionName {
        let seed = xxh3_64_with_seed(self.move_name.as_str().as_bytes(), 0);
        let hash = xxh3_64_with_seed(request.as_str().as_bytes(), seed);
        let position = (u128::from(hash) * u128::from(Share::FULL.0)) >> 64;
        let is_selected = position < u128::from(self.share.0);
        let has_room =
            self.max_outstanding.is_none_or(|max_outstanding| outstanding_at_to < max_outstanding);
        if is_selected && has_room { &self.to } else { &self.from }
    }
}
