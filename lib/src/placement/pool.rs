//! The upstreams of one version, and the choice among them.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    declaration::RequestClass, placement::UpstreamState, units::Time, upstream::HostRecord,
};

/// How many upstreams of the rendezvous order are looked at.
const FIRST_CHOICES: usize = 4;
/// By how much the load of a first choice may exceed the mean, in percent.
const LOAD_EXCESS_PERCENT: u32 = 25;
/// By how much it may exceed it at most: a long queue costs more than a cached prefix saves.
const LARGEST_EXCESS: u32 = 16;
/// The load at which work goes to another data centre if that one has less.
const SPILL_LOAD: u32 = 96;
/// The largest share of a pool that may be ejected at once, in percent.
const MAX_EJECTED_PERCENT: usize = 50;
/// An odd number whose bits are evenly spread, as the mixing of weights needs it.
const WEIGHT_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;
/// How long the mean load of a pool is used before it is computed again.
const MEAN_AGE: Duration = Duration::from_millis(5);

/// How many requests above the mean an upstream may have and still be a first choice.
#[derive(Clone, Copy, Debug)]
pub struct Slack(u32);

impl Slack {
    /// Returns the slack of a class; room is kept for the urgent one.
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

/// The live upstreams of one version.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    local: Part,
    remote: Part,
}

/// The upstreams of this data centre, or those of all others.
#[derive(Clone, Debug, Default)]
struct Part {
    candidates: Vec<Candidate>,
    mean: u32,
    mean_at: Option<Time>,
}

/// One of the first in the rendezvous order.
#[derive(Clone, Copy, Debug)]
struct Choice {
    weight: u64,
    candidate: Candidate,
}

/// What one choice depends on.
#[derive(Debug)]
pub struct Scan<'a> {
    pub(crate) now: Time,
    pub(crate) states: &'a [UpstreamState],
    pub(crate) prefix: u64,
    pub(crate) slack: Slack,
    pub(crate) except: &'a [usize],
    pub(crate) heed_ejection: bool,
}

impl Pool {
    /// Adds an upstream by its place in the host list and in the states.
    pub fn add(&mut self, host: usize, state: usize, record: &HostRecord, is_local: bool) {
        let hash = xxh3_64(record.upstream.as_str().as_bytes());
        let candidate = Candidate { host: host as u32, state: state as u32, hash };
        let part = if is_local { &mut self.local } else { &mut self.remote };
        part.candidates.push(candidate);
    }

    /// Returns how many upstreams there are.
    pub fn len(&self) -> usize {
        self.local.candidates.len() + self.remote.candidates.len()
    }

    /// Says whether there are none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Chooses an upstream and returns its place in the host list.
    pub fn choose(&mut self, scan: &Scan<'_>) -> Option<usize> {
        let local = self.local.choose(scan);
        if let Some(local) = local
            && scan.load(local) < SPILL_LOAD
        {
            return Some(local.host as usize);
        }
        let remote = self.remote.choose(scan);
        let chosen = match (local, remote) {
            (Some(local), Some(remote)) if scan.load(remote) * 2 < scan.load(local) => remote,
            (Some(local), _) => local,
            (None, remote) => remote?,
        };
        Some(chosen.host as usize)
    }
}

impl Part {
    /// Chooses without the ejected upstreams, unless too many of them are ejected.
    fn choose(&mut self, scan: &Scan<'_>) -> Option<Candidate> {
        let mean = self.mean(scan);
        let heed = scan.heed_ejection && !self.too_many_ejected(scan);
        let first = if heed {
            self.first(scan, |candidate| !scan.is_ejected(candidate))
        } else {
            self.first(scan, |_| true)
        };
        let excess = (mean * LOAD_EXCESS_PERCENT / 100).min(LARGEST_EXCESS);
        let bound = mean + excess + scan.slack.0;
        let first = first.into_iter().flatten().map(|choice| choice.candidate);
        let within = first.clone().find(|&candidate| scan.load(candidate) <= bound);
        within.or_else(|| self.less_loaded(scan, first))
    }

    /// Returns the least loaded of the first choices and of as many others, spread by the prefix.
    fn less_loaded(
        &self,
        scan: &Scan<'_>,
        first: impl Iterator<Item = Candidate>,
    ) -> Option<Candidate> {
        let count = self.candidates.len() as u64;
        if count == 0 {
            return None;
        }
        let others = (1..=FIRST_CHOICES as u64)
            .map(|step| rendezvous_weight(scan.prefix.wrapping_add(scan.now.0), step))
            .map(|place| self.candidates[(place % count) as usize])
            .filter(|&other| !scan.is_excepted(other) && !scan.is_ejected(other));
        first.chain(others).min_by_key(|&candidate| scan.load(candidate))
    }

    fn first(
        &self,
        scan: &Scan<'_>,
        may_use: impl Fn(Candidate) -> bool,
    ) -> [Option<Choice>; FIRST_CHOICES] {
        let mut first = [None; FIRST_CHOICES];
        let mut least = 0;
        for &candidate in &self.candidates {
            let weight = rendezvous_weight(scan.prefix, candidate.hash);
            if weight < least || scan.is_excepted(candidate) || !may_use(candidate) {
                continue;
            }
            insert(&mut first, Choice { weight, candidate });
            least = first[FIRST_CHOICES - 1].map_or(0, |choice| choice.weight);
        }
        first
    }

    fn mean(&mut self, scan: &Scan<'_>) -> u32 {
        let is_fresh = self.mean_at.is_some_and(|at| scan.now.since(at) < MEAN_AGE);
        if !is_fresh {
            let total: u32 = self.candidates.iter().map(|&candidate| scan.load(candidate)).sum();
            self.mean = total.checked_div(self.candidates.len() as u32).unwrap_or(0);
            self.mean_at = Some(scan.now);
        }
        self.mean
    }

    fn too_many_ejected(&self, scan: &Scan<'_>) -> bool {
        let ejected = self.candidates.iter().filter(|&&c| scan.is_ejected(c)).count();
        ejected * 100 > self.candidates.len() * MAX_EJECTED_PERCENT
    }
}

impl Scan<'_> {
    fn load(&self, candidate: Candidate) -> u32 {
        self.states[candidate.state as usize].load.estimate(self.now)
    }

    fn is_ejected(&self, candidate: Candidate) -> bool {
        self.states[candidate.state as usize].health.is_ejected(self.now)
    }

    fn is_excepted(&self, candidate: Candidate) -> bool {
        !self.except.is_empty() && self.except.contains(&(candidate.state as usize))
    }
}

/// Keeps the choices with the largest weights, the largest first.
fn insert(first: &mut [Option<Choice>; FIRST_CHOICES], mut choice: Choice) {
    for place in first {
        match place {
            Some(other) if other.weight >= choice.weight => {}
            Some(other) => std::mem::swap(other, &mut choice),
            None => {
                *place = Some(choice);
                return;
            }
        }
    }
}

/// Mixes the hashes of a prefix and an upstream into the upstream's weight for the prefix.
fn rendezvous_weight(prefix: u64, upstream: u64) -> u64 {
    let product = u128::from(prefix ^ upstream) * u128::from(WEIGHT_FACTOR);
    (product >> 64) as u64 ^ product as u64
}
