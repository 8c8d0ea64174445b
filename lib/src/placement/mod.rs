//! Selection of an upstream for a request.
//!
//! Each daemon ranks the upstreams of its data centre by rendezvous hashing of the prompt's prefix,
//! which gives the same order at every daemon without communication. It selects the first one whose
//! load is not far above the mean. See `docs/design/placement.md`.

pub mod health;
pub mod load;
pub mod pool;
pub mod prefix;

use indexmap::{IndexMap, IndexSet};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

use crate::{
    declaration::RequestClass,
    ids::{DataCentre, ServiceName, UpstreamId, VersionName},
    placement::{
        health::Health,
        load::{LoadReport, LoadState},
        pool::{Pool, SelectionInput, Slack},
        prefix::PrefixCounter,
    },
    units::Time,
    upstream::{HostRecord, HostState},
};

/// The inputs of a selection.
#[derive(Clone, Debug)]
pub struct SelectionCriteria<'a> {
    pub service: &'a ServiceName,
    /// The version that the moves have assigned to the request.
    pub version: &'a VersionName,
    pub class: RequestClass,
    /// The hash from [`Placement::affinity`]; `None` for a plain service.
    pub prefix_hash: Option<u64>,
    /// The upstreams that must not be selected, as they have failed this request.
    pub excluded: &'a [UpstreamId],
}

/// The result of an attempt, as far as the selection of upstreams is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The upstream responded.
    Answered,
    /// The upstream failed, dropped the connection, or could not be reached.
    Failed,
    /// The attempt gives no evidence about the upstream.
    Neutral,
}

/// This thread's state of one upstream.
#[derive(Clone, Debug, Default)]
pub(crate) struct UpstreamState {
    pub(crate) load: LoadState,
    pub(crate) health: Health,
}

/// Selects upstreams at one traffic thread.
#[derive(Clone, Debug)]
pub struct Placement {
    data_centre: DataCentre,
    ids: IndexSet<UpstreamId>,
    // In the order of `ids`, and separate from it so that a selection reads little memory.
    states: Vec<UpstreamState>,
    last_ejection_until: Time,
    pools: IndexMap<ServiceName, IndexMap<VersionName, Pool>>,
    prefixes: IndexMap<ServiceName, PrefixCounter>,
    rng: Pcg64Mcg,
}

impl Placement {
    /// Creates the placement of a daemon in `data_centre`.
    ///
    /// `seed` makes the random selections of threads and daemons differ.
    pub fn with_seed(data_centre: DataCentre, seed: u64) -> Self {
        Self {
            data_centre,
            ids: IndexSet::new(),
            states: Vec::new(),
            last_ejection_until: Time(0),
            pools: IndexMap::new(),
            prefixes: IndexMap::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Creates the placement of a daemon in `data_centre` with seed 0.
    pub fn new(data_centre: DataCentre) -> Self {
        Self::with_seed(data_centre, 0)
    }

    /// Applies a host list. [`Placement::choose`] must be called with the same list until the next
    /// refresh.
    pub fn refresh(&mut self, hosts: &[HostRecord]) {
        let live = |host: &HostRecord| host.state == HostState::Live;
        self.remove_unlisted(hosts);
        self.pools.clear();
        for (index, host) in hosts.iter().enumerate().filter(|(_, host)| live(host)) {
            let state = self.state_index(&host.upstream);
            let versions = self.pools.entry(host.service.clone()).or_default();
            let pool = versions.entry(host.version.clone()).or_default();
            pool.add(index, state, host, host.data_centre == self.data_centre);
        }
    }

    /// Returns the hash that routes requests with this prompt to the upstream that caches its
    /// prefix.
    pub fn affinity(&mut self, service: &ServiceName, prompt: &str) -> u64 {
        let versions = self.pools.get(service);
        let upstreams = versions.map_or(0, |pools| pools.values().map(Pool::len).sum());
        if !self.prefixes.contains_key(service) {
            self.prefixes.insert(service.clone(), PrefixCounter::new());
        }
        self.prefixes[service].affinity(prompt, upstreams)
    }

    /// Selects an upstream, or returns `None` if no live upstream of the version may be used.
    pub fn choose<'a>(
        &mut self,
        now: Time,
        hosts: &'a [HostRecord],
        criteria: &SelectionCriteria<'_>,
    ) -> Option<&'a HostRecord> {
        let prefix = criteria.prefix_hash.unwrap_or_else(|| self.rng.random());
        let pool = self.pools.get_mut(criteria.service)?.get_mut(criteria.version)?;
        let excluded_states: Vec<usize> =
            criteria.excluded.iter().filter_map(|id| self.ids.get_index_of(id)).collect();
        let input = SelectionInput {
            now,
            states: &self.states,
            prefix,
            slack: Slack::of(criteria.class),
            excluded_states: &excluded_states,
            respect_ejection: self.last_ejection_until > now,
        };
        hosts.get(pool.choose(&input)?)
    }

    /// Records the start of an attempt at an upstream.
    pub fn record_start(&mut self, upstream: &UpstreamId) {
        let state = self.state_index(upstream);
        self.states[state].load.begin_attempt();
    }

    /// Records the end of an attempt that [`Placement::record_start`] counted.
    pub fn record_end(&mut self, now: Time, upstream: &UpstreamId, result: AttemptResult) {
        let random = self.rng.random();
        let Some(state) = self.state_mut(upstream) else { return };
        state.load.end_attempt();
        match result {
            AttemptResult::Answered => state.health.record_success(),
            AttemptResult::Failed => {
                let until = state.health.record_failure(now, random);
                self.last_ejection_until = self.last_ejection_until.max(until);
            }
            AttemptResult::Neutral => {}
        }
    }

    /// Records that the first token of an attempt has arrived, so its prompt has been computed.
    pub fn record_first_token(&mut self, upstream: &UpstreamId) {
        if let Some(state) = self.state_mut(upstream) {
            state.load.mark_first_token();
        }
    }

    /// Records a load report of an upstream.
    pub fn record_load(&mut self, now: Time, upstream: &UpstreamId, report: LoadReport) {
        if let Some(state) = self.state_mut(upstream) {
            state.load.apply_report(now, report);
        }
    }

    /// Records that an upstream has refused a request because of overload.
    pub fn record_overload(&mut self, now: Time, upstream: &UpstreamId) {
        if let Some(state) = self.state_mut(upstream) {
            state.load.apply_refusal(now);
        }
    }

    /// Returns the number of this thread's open attempts at an upstream.
    pub fn outstanding(&self, upstream: &UpstreamId) -> u32 {
        let state = self.ids.get_index_of(upstream).map(|index| &self.states[index]);
        state.map_or(0, |state| state.load.outstanding())
    }

    /// Returns the number of upstreams that are ejected at `now`.
    pub fn ejected(&self, now: Time) -> usize {
        self.states.iter().filter(|state| state.health.is_ejected(now)).count()
    }

    /// Removes upstreams that are not in `hosts` and have no open attempt.
    fn remove_unlisted(&mut self, hosts: &[HostRecord]) {
        let listed_ids: IndexSet<&UpstreamId> = hosts.iter().map(|host| &host.upstream).collect();
        let ids = std::mem::take(&mut self.ids);
        let states = std::mem::take(&mut self.states);
        for (id, state) in ids.into_iter().zip(states) {
            if state.load.outstanding() > 0 || listed_ids.contains(&id) {
                self.ids.insert(id);
                self.states.push(state);
            }
        }
    }

    fn state_index(&mut self, upstream: &UpstreamId) -> usize {
        if let Some(index) = self.ids.get_index_of(upstream) {
            return index;
        }
        self.states.push(UpstreamState::default());
        self.ids.insert_full(upstream.clone()).0
    }

    fn state_mut(&mut self, upstream: &UpstreamId) -> Option<&mut UpstreamState> {
        let index = self.ids.get_index_of(upstream)?;
        self.states.get_mut(index)
    }
}
