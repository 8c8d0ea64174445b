//! Selection of an upstream for an attempt.

use std::time::Duration;

use super::{Entry, Traffic};
use crate::{
    ids::{MoveName, ServiceName, UpstreamId, VersionName},
    placement::SelectionCriteria,
    request::{
        ExchangeId,
        exchange::{RequestSpec, Target},
    },
    units::Time,
    upstream::HostRecord,
};

/// The upstreams that are not selected for a request.
struct ExcludedUpstreams {
    /// Those that are selected only if all others are unavailable.
    avoided: Vec<UpstreamId>,
    /// The upstream of the current attempt, which is never selected.
    current: Option<UpstreamId>,
}

impl Traffic {
    /// Selects an upstream for a request by the traffic split of a running move and by placement, other
    /// than that of its current attempt.
    pub(super) fn choose(&mut self, now: Time, id: ExchangeId) -> Option<Target> {
        let entry = self.entries.get(&id)?;
        let spec = entry.exchange.spec.clone();
        let excluded = self.excluded_upstreams(id, entry);
        let has_failed = !entry.failed.is_empty() || self.is_silent(now, id);
        let service = self.snapshot.set.services.get(&spec.service)?;
        let Some(split) = self.snapshot.traffic_splits.get(&spec.service).cloned() else {
            let version = service.version.clone();
            return self.choose_with_version(now, &spec, &excluded, &version, None);
        };
        let new_version = (spec.service.clone(), split.to.clone());
        let outstanding = self.outstanding_by_version.get(&new_version).copied().unwrap_or(0);
        // The cap applies to the daemon; each thread assumes the same load on the other threads.
        let outstanding = outstanding.saturating_mul(u32::from(self.cfg.threads.max(1)));
        // A retry goes to the old version, so that a new version which fails every request cannot
        // use up all attempts.
        let version =
            if has_failed { &split.from } else { split.choose(&spec.request, outstanding) };
        let move_name = Some(&split.move_name);
        // Falling back to the old version is always allowed, falling forward to the new one is not.
        let chosen = self.choose_with_version(now, &spec, &excluded, version, move_name);
        match chosen {
            None if *version == split.to => {
                self.choose_with_version(now, &spec, &excluded, &split.from, move_name)
            }
            chosen => chosen,
        }
    }

    /// Lists the upstreams that a request should avoid, and the one that it must not be sent to.
    ///
    /// Requests that were running at an upstream when it crashed are sent to different upstreams.
    /// Otherwise the one that causes the crashes would crash the others a second time, and they
    /// would be refused as poisonous as well.
    fn excluded_upstreams(&self, id: ExchangeId, entry: &Entry) -> ExcludedUpstreams {
        let current = entry.exchange.attempt().map(|attempt| attempt.target.upstream.clone());
        let mut avoided = entry.failed.clone();
        if !entry.is_suspect {
            return ExcludedUpstreams { avoided, current };
        }
        let others = self.entries.iter().filter(|(other, e)| **other != id && e.is_suspect);
        let at = others.filter_map(|(_, other)| other.exchange.attempt());
        avoided.extend(at.map(|attempt| attempt.target.upstream.clone()));
        ExcludedUpstreams { avoided, current }
    }

    /// Lists the upstreams to which their limits allow no request now.
    fn exhausted_upstreams(&mut self, now: Time) -> Vec<UpstreamId> {
        let exhausted = self.exhausted_limits(now);
        exhausted.into_iter().map(|(upstream, _)| upstream).collect()
    }

    fn exhausted_limits(&mut self, now: Time) -> Vec<(UpstreamId, Duration)> {
        if self.upstream_limits.is_empty() {
            return Vec::new();
        }
        let position = |upstream: &UpstreamId| Self::position(&self.snapshot, &self.cfg, upstream);
        self.upstream_limits.exhausted(now, position)
    }

    /// Returns the shortest time until a limit allows a request to an upstream of a service, if one
    /// allows none now.
    pub(super) fn shortest_limit_wait(
        &mut self,
        now: Time,
        service: &ServiceName,
    ) -> Option<Duration> {
        let exhausted = self.exhausted_limits(now);
        let hosts = &self.snapshot.hosts;
        let is_of_service = |upstream: &UpstreamId| {
            hosts.iter().any(|host| host.upstream == *upstream && host.service == *service)
        };
        exhausted
            .into_iter()
            .filter(|(upstream, _)| is_of_service(upstream))
            .map(|(_, wait)| wait)
            .min()
    }

    fn choose_with_version(
        &mut self,
        now: Time,
        spec: &RequestSpec,
        excluded: &ExcludedUpstreams,
        version: &VersionName,
        move_name: Option<&MoveName>,
    ) -> Option<Target> {
        let snapshot = self.snapshot.clone();
        let mut unusable = self.exhausted_upstreams(now);
        unusable.extend(excluded.current.clone());
        let all = [&*excluded.avoided, &*unusable].concat();
        let mut choose = |excluded: &[UpstreamId]| {
            let service = &spec.service;
            let criteria = SelectionCriteria {
                service,
                version,
                class: spec.class,
                prefix_hash: spec.prefix,
                excluded,
            };
            self.placement.choose(now, &snapshot.hosts, &criteria)
        };
        // If all others are unavailable, use an upstream at which the request failed before.
        let host = choose(&all).or_else(|| choose(&unusable))?;
        Some(target_for(host, move_name))
    }
}

fn target_for(host: &HostRecord, move_name: Option<&MoveName>) -> Target {
    Target {
        upstream: host.upstream.clone(),
        address: host.address,
        zone: host.zone.clone(),
        class: host.class.clone(),
        version: host.version.clone(),
        move_name: move_name.cloned(),
    }
}
