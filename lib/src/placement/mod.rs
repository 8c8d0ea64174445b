//! The choice of an upstream for a request.
//!
//! See `docs/design/placement.md`.

use indexmap::IndexMap;

use crate::{
    declaration::RequestClass,
    ids::{DataCentre, ServiceName, UpstreamId, VersionName},
    units::Time,
    upstream::{HostRecord, HostState},
};

/// What the choice depends on.
#[derive(Clone, Debug)]
pub struct Wanted<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The version, as the moves have decided it.
    pub version: &'a VersionName,
    /// How urgent the request is.
    pub class: RequestClass,
    /// The hash of the prompt's prefix, for affinity; `None` for a plain service.
    pub prefix: Option<u64>,
    /// Upstreams that must not be chosen, as they have failed this request.
    pub except: &'a [UpstreamId],
}

/// How an attempt ended, as far as the choice of upstreams is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The upstream answered.
    Answered,
    /// The upstream failed, broke the connection, or could not be reached.
    Failed,
    /// The attempt says nothing about the upstream.
    Neutral,
}

/// The choice of upstreams at one traffic thread.
#[derive(Clone, Debug)]
pub struct Placement {
    data_centre: DataCentre,
    outstanding: IndexMap<UpstreamId, u32>,
}

impl Placement {
    /// Makes the placement of a daemon in this data centre.
    pub fn new(data_centre: DataCentre) -> Self {
        Self { data_centre, outstanding: IndexMap::new() }
    }

    /// Chooses an upstream; `None` if no live upstream of the version may be used.
    pub fn choose<'a>(
        &self,
        _now: Time,
        hosts: &'a [HostRecord],
        wanted: &Wanted<'_>,
    ) -> Option<&'a HostRecord> {
        hosts
            .iter()
            .filter(|host| host.service == *wanted.service && host.version == *wanted.version)
            .filter(|host| host.state == HostState::Live)
            .filter(|host| !wanted.except.contains(&host.upstream))
            .min_by_key(|host| {
                let remote = host.data_centre != self.data_centre;
                (self.outstanding(&host.upstream), remote)
            })
    }

    /// Counts an attempt at an upstream.
    pub fn started(&mut self, upstream: &UpstreamId) {
        *self.outstanding.entry(upstream.clone()).or_default() += 1;
    }

    /// Ends an attempt that [`Placement::started`] counted.
    pub fn ended(&mut self, _now: Time, upstream: &UpstreamId, _result: AttemptResult) {
        if let Some(count) = self.outstanding.get_mut(upstream) {
            *count = count.saturating_sub(1);
        }
    }

    /// Returns how many attempts this thread has at an upstream.
    pub fn outstanding(&self, upstream: &UpstreamId) -> u32 {
        self.outstanding.get(upstream).copied().unwrap_or(0)
    }
}
