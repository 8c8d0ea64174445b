//! The upstreams of one version, and the selection among them.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    declaration::RequestClass, placement::UpstreamState, units::Time, upstream::HostRecord,
};

/// The number of upstreams at the head of the rendezvous order that are considered.
const PREFERRED_CANDIDATES: usize = 4;
/// The percentage by which a preferred candidate's load may exceed the mean, in addition to the
/// class's slack.
const LOAD_EXCESS_PERCENT: u32 = 25;
/// The limit on that excess, in units of load: a long queue costs more than a cached prefix saves.
const MAX_LOAD_EXCESS: u32 = 16;
/// The load of the local candidate from which requests go to another data centre, if the candidate
/// there has less than half of it.
const SPILL_LOAD: u32 = 96;
/// The percentage of ejected upstreams above which ejections are ignored.
const MAX_EJECTED_PERCENT: usize = 50;
/// An odd multiplier with evenly spread bits, as required to mix hashes into weights.
const WEIGHT_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;
/// The age at which the mean load of a subpool is computed again.
const MAX_MEAN_AGE: Duration = Duration::from_millis(5);

/// The load by which a preferred candidate may exceed the mean and the allowed excess, in units of
/// one running request.
#[derive(Clone, Copy, Debug)]
pub struct Slack(u32);

impl Slack {
    /// Returns the slack of a class. Batch has less, which reserves capacity for interactive
    /// requests.
    pub fn of(class: RequestClass) -> Self {
        match class {
            RequestClass::Interactive => Self(8),
            RequestClass::Batch => Self(4),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Candidate {
    host: u32,
    state: u32,
    hash: u64,
}

/// The live upstreams of one version, by location.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    local: Subpool,
    remote: Subpool,
}

/// The upstreams of this data centre, or of all other data centres.
#[derive(Clone, Debug, Default)]
struct Subpool {
    candidates: Vec<Candidate>,
    mean: u32,
    mean_at: Option<Time>,
}

/// A candidate with its rendezvous weight.
#[derive(Clone, Copy, Debug)]
struct RankedCandidate {
    weight: u64,
    candidate: Candidate,
}

/// The inputs of one selection.
#[derive(Debug)]
pub struct SelectionInput<'a> {
    pub(crate) now: Time,
    pub(crate) states: &'a [UpstreamState],
    pub(crate) prefix: u64,
    pub(crate) slack: Slack,
    pub(crate) excluded_states: &'a [usize],
    pub(crate) respect_ejection: bool,
}

impl Pool {
    /// Adds an upstream, given its indices in the host list and in the states.
    pub fn add(&mut self, host: usize, state: usize, record: &HostRecord, is_local: bool) {
        let hash = xxh3_64(record.upstream.as_str().as_bytes());
        let candidate = Candidate { host: host as u32, state: state as u32, hash };
        let subpool = if is_local { &mut self.local } else { &mut self.remote };
        subpool.candidates.push(candidate);
    }

    pub fn len(&self) -> usize {
        self.local.candidates.len() + self.remote.candidates.len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Selects an upstream and returns its index in the host list.
    pub fn choose(&mut self, input: &SelectionInput<'_>) -> Option<usize> {
        let local = self.local.choose(input);
        if let Some(local) = local
            && input.load(local) < SPILL_LOAD
        {
            return Some(local.host as usize);
        }
        let remote = self.remote.choose(input);
        let chosen = match (local, remote) {
            (Some(local), Some(remote)) if input.load(remote) * 2 < input.load(local) => remote,
            (Some(local), _) => local,
            (None, remote) => remote?,
        };
        Some(chosen.host as usize)
    }
}

impl Subpool {
    /// Selects a candidate. Ejected upstreams are skipped unless too many of them are ejected.
    fn choose(&mut self, input: &SelectionInput<'_>) -> Option<Candidate> {
        let mean = self.mean(input);
        let skip_ejected = input.respect_ejection && !self.too_many_ejected(input);
        let preferred = if skip_ejected {
            self.preferred(input, |candidate| !input.is_ejected(candidate))
        } else {
            self.preferred(input, |_| true)
        };
        let allowed_excess = (mean * LOAD_EXCESS_PERCENT / 100).min(MAX_LOAD_EXCESS);
        let bound = mean + allowed_excess + input.slack.0;
        let preferred = preferred.into_iter().flatten().map(|ranked| ranked.candidate);
        let within_bound = preferred.clone().find(|&candidate| input.load(candidate) <= bound);
        within_bound.or_else(|| self.least_loaded(input, preferred))
    }

    /// Returns the least loaded of the preferred candidates and of up to
    /// [`PREFERRED_CANDIDATES`] others, which are picked by the prefix and the time.
    fn least_loaded(
        &self,
        input: &SelectionInput<'_>,
        preferred: impl Iterator<Item = Candidate>,
    ) -> Option<Candidate> {
        let count = self.candidates.len() as u64;
        if count == 0 {
            return None;
        }
        let others = (1..=PREFERRED_CANDIDATES as u64)
            .map(|step| rendezvous_weight(input.prefix.wrapping_add(input.now.0), step))
            .map(|slot| self.candidates[(slot % count) as usize])
            .filter(|&other| !input.is_excluded(other) && !input.is_ejected(other));
        preferred.chain(others).min_by_key(|&candidate| input.load(candidate))
    }

    fn preferred(
        &self,
        input: &SelectionInput<'_>,
        may_use: impl Fn(Candidate) -> bool,
    ) -> [Option<RankedCandidate>; PREFERRED_CANDIDATES] {
        let mut preferred = [None; PREFERRED_CANDIDATES];
        let mut lowest_weight = 0;
        for &candidate in &self.candidates {
            let weight = rendezvous_weight(input.prefix, candidate.hash);
            if weight < lowest_weight || input.is_excluded(candidate) || !may_use(candidate) {
                continue;
            }
            insert_ranked(&mut preferred, RankedCandidate { weight, candidate });
            lowest_weight = preferred[PREFERRED_CANDIDATES - 1].map_or(0, |ranked| ranked.weight);
        }
        preferred
    }

    fn mean(&mut self, input: &SelectionInput<'_>) -> u32 {
        let is_fresh = self.mean_at.is_some_and(|at| input.now.since(at) < MAX_MEAN_AGE);
        if !is_fresh {
            let total: u32 = self.candidates.iter().map(|&candidate| input.load(candidate)).sum();
            self.mean = total.checked_div(self.candidates.len() as u32).unwrap_or(0);
            self.mean_at = Some(input.now);
        }
        self.mean
    }

    fn too_many_ejected(&self, input: &SelectionInput<'_>) -> bool {
        let ejected = self.candidates.iter().filter(|&&c| input.is_ejected(c)).count();
        ejected * 100 > self.candidates.len() * MAX_EJECTED_PERCENT
    }
}

impl SelectionInput<'_> {
    fn load(&self, candidate: Candidate) -> u32 {
        self.states[candidate.state as usize].load.estimate(self.now)
    }

    fn is_ejected(&self, candidate: Candidate) -> bool {
        self.states[candidate.state as usize].health.is_ejected(self.now)
    }

    fn is_excluded(&self, candidate: Candidate) -> bool {
        !self.excluded_states.is_empty()
            && self.excluded_states.contains(&(candidate.state as usize))
    }
}

/// Inserts a candidate into a list of the largest weights in descending order, and drops the
/// smallest if the list is full.
fn insert_ranked(
    preferred: &mut [Option<RankedCandidate>; PREFERRED_CANDIDATES],
    mut ranked: RankedCandidate,
) {
    for slot in preferred {
        match slot {
            Some(other) if other.weight >= ranked.weight => {}
            Some(other) => std::mem::swap(other, &mut ranked),
            None => {
                *slot = Some(ranked);
                return;
            }
        }
    }
}

/// Returns the rendezvous weight of an upstream for a prefix, given the hashes of both.
fn rendezvous_weight(prefix: u64, upstream: u64) -> u64 {
    let product = u128::from(prefix ^ upstream) * u128::from(WEIGHT_FACTOR);
    (product >> 64) as u64 ^ product as u64
}
