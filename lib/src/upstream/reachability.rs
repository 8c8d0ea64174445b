//! Whether this daemon reaches the upstreams of a service over its own links.
//!
//! Load pattern: a daemon loses its links to all upstreams, while callers and other daemons still reach
//! it. Connections to different upstreams fail one after the other, and none succeeds in between. Some
//! upstreams that stop at the same time look alike for a moment, so that other upstreams are probed from
//! the first such failure on. Only new connections count: open ones may live on, or be silent for good.
//!
//! See `docs/design/platform.md`, "Isolated daemons".

use std::{ops::Range, time::Duration};

use indexmap::{IndexMap, IndexSet};

use crate::{
    ids::{ServiceName, UpstreamId},
    units::Time,
};

/// Different upstreams to which connections must fail, or succeed, in a row.
const MIN_UPSTREAMS: usize = 2;
/// The time for which a failure counts.
const FAILURE_TTL: Duration = Duration::from_secs(3);
/// The interval between probes of a service's upstreams while the daemon is isolated from them.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);
/// Probes of other upstreams that are sent when a daemon has become isolated, to find out soon if that
/// is wrong.
pub const FIRST_PROBES: usize = 3;

/// A change of a daemon's reachability, for logs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    pub service: ServiceName,
    pub is_isolated: bool,
}

#[derive(Clone, Debug, Default)]
struct Links {
    /// Upstreams to which connections failed since one last succeeded, and when.
    failed: IndexMap<UpstreamId, Time>,
    /// Upstreams to which connections succeeded since one last failed, while isolated.
    succeeded: IndexSet<UpstreamId>,
    is_isolated: bool,
    next_probe: Time,
    /// Counts the probes, so that each goes to another upstream.
    probes: usize,
}

/// This daemon's links to the upstreams of each service.
#[derive(Clone, Debug, Default)]
pub struct Reachability {
    services: IndexMap<ServiceName, Links>,
}

impl Reachability {
    /// Records that a connection over this daemon's own link was established.
    pub fn record_success(
        &mut self,
        service: &ServiceName,
        upstream: &UpstreamId,
    ) -> Option<Change> {
        // Most services have never failed, and need no record.
        let links = self.services.get_mut(service)?;
        links.failed.clear();
        if !links.is_isolated {
            return None;
        }
        links.succeeded.insert(upstream.clone());
        if links.succeeded.len() < MIN_UPSTREAMS {
            return None;
        }
        self.services.shift_remove(service);
        Some(Change { service: service.clone(), is_isolated: false })
    }

    /// Records that a connection over this daemon's own link failed. `upstreams` is the number of the
    /// service's upstreams.
    pub fn record_failure(
        &mut self,
        now: Time,
        service: &ServiceName,
        upstream: &UpstreamId,
        upstreams: usize,
    ) -> Option<Change> {
        let links = self.services.entry(service.clone()).or_default();
        links.failed.retain(|_, at| now.since(*at) < FAILURE_TTL);
        links.failed.insert(upstream.clone(), now);
        links.succeeded.clear();
        if links.is_isolated || upstreams < MIN_UPSTREAMS || links.failed.len() < MIN_UPSTREAMS {
            return None;
        }
        links.is_isolated = true;
        links.next_probe = now + PROBE_INTERVAL;
        Some(Change { service: service.clone(), is_isolated: true })
    }

    /// Reports whether this daemon has lost its links to the upstreams of a service. The only upstream
    /// of a service cannot be told from its link, so that what other services show decides.
    pub fn is_isolated(&self, service: &ServiceName) -> bool {
        self.services.get(service).is_some_and(|links| {
            links.is_isolated
                || !links.failed.is_empty() && self.services.values().any(|other| other.is_isolated)
        })
    }

    /// Returns the services from whose upstreams this daemon is isolated.
    pub fn isolated(&self) -> impl Iterator<Item = &ServiceName> {
        self.services.iter().filter(|(_, links)| links.is_isolated).map(|(service, _)| service)
    }

    /// Returns the services of which upstreams are to be probed now, each with the numbers of as many
    /// probes as can end the isolation; the numbers rise.
    pub fn take_due_probes(&mut self, now: Time) -> Vec<(ServiceName, Range<usize>)> {
        let mut due = Vec::new();
        for (service, links) in &mut self.services {
            if links.is_isolated && links.next_probe <= now {
                links.next_probe = now + PROBE_INTERVAL;
                let first = links.probes;
                links.probes += MIN_UPSTREAMS;
                due.push((service.clone(), first..links.probes));
            }
        }
        due
    }
}
