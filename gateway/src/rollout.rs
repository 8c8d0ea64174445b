//! Rollouts of service versions that may be bad: moves of a service's traffic to another version.
//!
//! Load pattern: a version fails or is slow at once, later, under load, or on one route only. Its
//! share of requests stays below the allowed exposure until most of the move's duration has passed.
//! It then rises in quick steps, each of which requires that the combined evidence of all daemons
//! shows no fault. Evidence is compared by route with the old version over the same time. A version
//! that any daemon finds bad is blocked permanently by all of them.

use std::time::Duration;

use dogwoodturn::{
    ids::{RouteName, ServiceName, VersionName},
    units::Time,
};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::store::{MoveRecord, MoveState, StoreRevision};

/// Share of the allowed exposure that a version gets until it is trusted. The rest is a margin:
/// requests are assigned at random, and all requests of one route may go to the version.
const USED_EXPOSURE_SHARE: f64 = 0.7;
/// Shares of requests to which the target's share rises after that; each step requires evidence
/// from at least [`MIN_REQUESTS`] requests that the version is not bad.
const STEP_SHARES: [f64; 3] = [0.2, 0.5, 1.0];
/// Share of the move's duration after which the steps begin.
const FIRST_STEP_AT_SHARE: f64 = 0.55;
/// Share of the move's duration between two steps; at least [`MIN_STEP_INTERVAL`].
const STEP_INTERVAL_SHARE: f64 = 0.06;
const MIN_STEP_INTERVAL: Duration = Duration::from_millis(600);
/// Share of the move's duration after which it is completed even if the old version still has
/// requests, and reverted if there is no evidence.
const COMPLETE_BY_SHARE: f64 = 0.9;
/// Time for which all requests go to the target before the move is completed.
const FULL_SHARE_OBSERVATION: Duration = Duration::from_millis(1500);
/// Requests below which nothing is concluded.
const MIN_REQUESTS: u64 = 6;
/// Failed requests below which a version is not bad.
const MIN_ERRORS: u64 = 3;
/// A version is bad if its error rate exceeds that of the old version times this factor plus
/// [`MAX_ERROR_RATE_EXCESS`].
const MAX_ERROR_RATE_FACTOR: f64 = 2.0;
const MAX_ERROR_RATE_EXCESS: f64 = 0.12;
/// Timed responses below which a version is not slow.
const MIN_TIMED_REQUESTS: u64 = 8;
/// A version is slow if the geometric mean of its first response times exceeds that of the old
/// version by more than this factor.
const MAX_LATENCY_FACTOR: f64 = 1.7;

/// Results of one version on one route; sums that only grow within a run of a daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Tally {
    /// Requests that ended.
    pub requests: u64,
    pub errors: u64,
    /// Requests with a measured time to the first response.
    pub timed: u64,
    /// The sum of the natural logarithms of these times in milliseconds.
    pub log_ms: f64,
}

impl Tally {
    fn add(&mut self, other: &Tally) {
        self.requests += other.requests;
        self.errors += other.errors;
        self.timed += other.timed;
        self.log_ms += other.log_ms;
    }

    fn error_rate(&self) -> f64 {
        self.errors as f64 / self.requests.max(1) as f64
    }

    fn mean_log(&self) -> Option<f64> {
        (self.timed >= MIN_TIMED_REQUESTS).then(|| self.log_ms / self.timed as f64)
    }

    /// Reports whether this version is significantly worse than the old one.
    fn is_worse_than(&self, old: &Tally) -> bool {
        let allowed = old.error_rate() * MAX_ERROR_RATE_FACTOR + MAX_ERROR_RATE_EXCESS;
        let fails = self.requests >= MIN_REQUESTS
            && self.errors >= MIN_ERRORS
            && self.error_rate() > allowed;
        let slow = match (self.mean_log(), old.mean_log()) {
            (Some(new), Some(old)) => new - old > MAX_LATENCY_FACTOR.ln(),
            _ => false,
        };
        fails || slow
    }
}

/// Restricts the versions that may run a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VersionRule {
    Any,
    Only(VersionName),
    Not(VersionName),
}

impl VersionRule {
    /// Reports whether a version may run the request.
    pub fn allows(&self, version: &VersionName) -> bool {
        match self {
            Self::Any => true,
            Self::Only(only) => version == only,
            Self::Not(not) => version != not,
        }
    }
}

#[derive(Clone, Debug)]
struct Move {
    record: MoveRecord,
    revision: StoreRevision,
    /// Whether the store has lost the final state, and it has to be recorded again.
    is_state_lost: bool,
    started_at: Time,
    share: f64,
    last_step_at: Time,
    local: IndexMap<(VersionName, RouteName), Tally>,
}

/// The moves in progress and the versions that were found bad.
#[derive(Clone, Debug)]
pub struct Rollouts {
    /// Share of a service's requests that a version may get before it is trusted.
    exposure: f64,
    moves: IndexMap<ServiceName, Move>,
    blocked_versions: Vec<(ServiceName, VersionName)>,
}

/// A state of a move that should be recorded in the store.
#[derive(Clone, Debug, PartialEq)]
pub struct StatusDue {
    /// The revision of the record that this state replaces.
    pub revision: StoreRevision,
    pub record: MoveRecord,
    pub state: MoveState,
}

impl Rollouts {
    /// `exposure` is the share of a service's requests that a version may get before it is trusted.
    pub fn new(exposure: f64) -> Self {
        Self { exposure, moves: IndexMap::new(), blocked_versions: Vec::new() }
    }

    /// Changes the exposure for moves that start from now on.
    pub fn set_exposure(&mut self, exposure: f64) {
        self.exposure = exposure;
    }

    /// Applies a move record of the store.
    pub fn apply_move(&mut self, now: Time, revision: StoreRevision, record: MoveRecord) {
        if record.state == Some(MoveState::Reverted) {
            self.block_version(&record.service, &record.target);
        }
        match self.moves.get_mut(&record.service) {
            Some(existing) if existing.record.target == record.target => {
                let is_of_new_era = revision.era > existing.revision.era;
                existing.revision = existing.revision.max(revision);
                if !is_final(existing.record.state) {
                    existing.record.state = record.state;
                } else if record.state == existing.record.state {
                    existing.is_state_lost = false;
                } else if is_of_new_era {
                    existing.is_state_lost = true;
                }
            }
            _ => {
                let new_move = Move {
                    revision,
                    is_state_lost: false,
                    started_at: now,
                    share: self.exposure * USED_EXPOSURE_SHARE,
                    last_step_at: now,
                    local: IndexMap::new(),
                    record,
                };
                self.moves.insert(new_move.record.service.clone(), new_move);
            }
        }
    }

    /// Removes the moves that the store does not list.
    pub fn retain_listed(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.moves.retain(|name, _| is_listed(name.as_str()));
    }

    /// Removes a move that was deleted from the store.
    pub fn remove_move(&mut self, service: &str) {
        self.moves.retain(|name, _| name.as_str() != service);
    }

    /// Blocks a bad version permanently.
    pub fn block_version(&mut self, service: &ServiceName, version: &VersionName) {
        if !self.is_blocked(service, version) {
            self.blocked_versions.push((service.clone(), version.clone()));
        }
    }

    pub fn blocked_versions(&self) -> &[(ServiceName, VersionName)] {
        &self.blocked_versions
    }

    fn is_blocked(&self, service: &ServiceName, version: &VersionName) -> bool {
        self.blocked_versions.iter().any(|(blocked, bad)| blocked == service && bad == version)
    }

    /// Returns the versions that may run a request, which its hash decides.
    pub fn rule(&self, service: &ServiceName, hash: u64) -> VersionRule {
        let Some(rollout) = self.moves.get(service) else { return VersionRule::Any };
        let target = &rollout.record.target;
        if self.is_blocked(service, target) {
            return VersionRule::Not(target.clone());
        }
        if rollout.record.state == Some(MoveState::Completed) {
            return VersionRule::Only(target.clone());
        }
        let point = (hash >> 11) as f64 / (1_u64 << 53) as f64;
        let rule = if point < rollout.share { VersionRule::Only } else { VersionRule::Not };
        rule(target.clone())
    }

    /// Counts the result of a request.
    pub fn record_outcome(
        &mut self,
        service: &ServiceName,
        version: &VersionName,
        route: &RouteName,
        failed: bool,
        first_response: Option<Duration>,
    ) {
        let Some(rollout) = self.moves.get_mut(service) else { return };
        let tally = rollout.local.entry((version.clone(), route.clone())).or_default();
        tally.requests += 1;
        tally.errors += u64::from(failed);
        if let Some(first_response) = first_response {
            tally.timed += 1;
            tally.log_ms += (first_response.as_secs_f64() * 1000.0).max(1.0).ln();
        }
    }

    /// Returns the services that have a move.
    pub fn services(&self) -> Vec<ServiceName> {
        self.moves.keys().cloned().collect()
    }

    /// Returns the results counted at this daemon, to be sent to the peers.
    pub fn local_tallies(&self) -> Vec<(ServiceName, VersionName, RouteName, Tally)> {
        let of_move = |(service, rollout): (&ServiceName, &Move)| {
            let service = service.clone();
            let tallies = rollout.local.clone().into_iter();
            tallies.map(move |((version, route), tally)| (service.clone(), version, route, tally))
        };
        self.moves.iter().flat_map(of_move).collect()
    }

    /// Advances the move of a service and returns the state that should be recorded, if any.
    ///
    /// `peers` are the tallies of the other daemons, `old_is_idle` states that the old version has
    /// no requests in progress, and `target_is_up` that the target has upstreams.
    pub fn advance<'a>(
        &mut self,
        now: Time,
        service: &ServiceName,
        peers: impl Iterator<Item = &'a (ServiceName, VersionName, RouteName, Tally)>,
        old_is_idle: bool,
        target_is_up: bool,
    ) -> Option<StatusDue> {
        let rollout = self.moves.get(service)?;
        let recorded = rollout.record.state;
        if is_final(recorded) {
            let (revision, record) = (rollout.revision, rollout.record.clone());
            let lost = recorded.filter(|_| rollout.is_state_lost);
            return lost.map(|state| StatusDue { revision, record, state });
        }
        let target = rollout.record.target.clone();
        let routes = compare(rollout, peers);
        let is_bad = self.is_blocked(service, &target)
            || routes.values().any(|(new, old)| new.is_worse_than(old));
        if is_bad {
            self.block_version(service, &target);
        }
        let rollout = self.moves.get_mut(service)?;
        let due = |rollout: &Move, state| {
            let (revision, record) = (rollout.revision, rollout.record.clone());
            Some(StatusDue { revision, record, state })
        };
        if is_bad {
            return due(rollout, MoveState::Reverted);
        }
        let duration = rollout.record.duration.as_secs_f64().max(0.001);
        let elapsed = now.since(rollout.started_at).as_secs_f64() / duration;
        let has_evidence =
            routes.values().map(|(new, _)| new.requests).sum::<u64>() >= MIN_REQUESTS;
        let step_interval =
            Duration::from_secs_f64(STEP_INTERVAL_SHARE * duration).max(MIN_STEP_INTERVAL);
        let may_step = elapsed >= FIRST_STEP_AT_SHARE
            && has_evidence
            && target_is_up
            && now.since(rollout.last_step_at) >= step_interval;
        if may_step && let Some(next) = STEP_SHARES.iter().find(|step| **step > rollout.share) {
            rollout.share = *next;
            rollout.last_step_at = now;
        }
        let is_full =
            rollout.share >= 1.0 && now.since(rollout.last_step_at) >= FULL_SHARE_OBSERVATION;
        if is_full && (old_is_idle || elapsed >= COMPLETE_BY_SHARE) {
            return due(rollout, MoveState::Completed);
        }
        if elapsed >= COMPLETE_BY_SHARE && !has_evidence {
            self.block_version(service, &target);
            return due(self.moves.get(service)?, MoveState::Reverted);
        }
        if recorded.is_none() { due(rollout, MoveState::InProgress) } else { None }
    }

    pub fn target(&self, service: &ServiceName) -> Option<&VersionName> {
        self.moves.get(service).map(|rollout| &rollout.record.target)
    }

    /// Returns the share of a service's requests that goes to the target of its move.
    pub fn share(&self, service: &ServiceName) -> Option<f64> {
        self.moves.get(service).map(|rollout| rollout.share)
    }
}

fn is_final(state: Option<MoveState>) -> bool {
    matches!(state, Some(MoveState::Completed | MoveState::Reverted))
}

/// Sums the results of the target and the other versions by route; `None` stands for all routes.
fn compare<'a>(
    rollout: &Move,
    peers: impl Iterator<Item = &'a (ServiceName, VersionName, RouteName, Tally)>,
) -> IndexMap<Option<RouteName>, (Tally, Tally)> {
    let mut routes = IndexMap::<Option<RouteName>, (Tally, Tally)>::new();
    let mut add = |version: &VersionName, route: &RouteName, tally: &Tally| {
        for key in [None, Some(route.clone())] {
            let (new, old) = routes.entry(key).or_default();
            if *version == rollout.record.target { new.add(tally) } else { old.add(tally) }
        }
    };
    for ((version, route), tally) in &rollout.local {
        add(version, route, tally);
    }
    for (_, version, route, tally) in peers {
        add(version, route, tally);
    }
    // Response times of different routes are not comparable, so only failures are compared across
    // routes.
    if let Some((new, old)) = routes.get_mut(&None) {
        new.timed = 0;
        old.timed = 0;
    }
    routes
}
