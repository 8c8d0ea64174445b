//! The upstreams of one version, and the choice among them.

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    declaration::RequestClass,
    ids::UpstreamId,
    placement::{UpstreamState, Wanted},
    units::Time,
    upstream::HostRecord,
};

/// How many upstreams of the rendezvous order are looked at.
const FIRST_CHOICES: usize = 3;
/// How many requests above the mean an upstream may have and still be a first choice.
const LOAD_SLACK: u32 = 8;
/// The same for requests whose answer may take longer; room is kept for the urgent ones.
const BATCH_LOAD_SLACK: u32 = 4;
/// By how much the load of a first choice may exceed the mean, in percent.
const LOAD_EXCESS_PERCENT: u32 = 25;
/// The load at which work goes to another data centre if that one has less.
const SPILL_LOAD: u32 = 64;
/// The largest share of a pool that may be ejected at once, in percent.
const MAX_EJECTED_PERCENT: usize = 50;

#[derive(Clone, Copy, Debug)]
struct Candidate {
    host: usize,
    state: usize,
    hash: u64,
}

/// The live upstreams of one version.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    local: Vec<Candidate>,
    remote: Vec<Candidate>,
}

/// One of the first in the rendezvous order.
#[derive(Clone, Copy, Debug)]
struct Choice {
    weight: u64,
    load: u32,
    host: usize,
}

impl Pool {
    /// Adds an upstream by its place in the host list and in the states.
    pub fn add(&mut self, host: usize, state: usize, record: &HostRecord, is_local: bool) {
        let hash = xxh3_64(record.upstream.as_str().as_bytes());
        let candidate = Candidate { host, state, hash };
        if is_local { self.local.push(candidate) } else { self.remote.push(candidate) }
    }

    /// Returns how many upstreams there are.
    pub fn len(&self) -> usize {
        self.local.len() + self.remote.len()
    }

    /// Says whether there are none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Chooses an upstream and returns its place in the host list.
    pub(crate) fn choose(
        &self,
        now: Time,
        states: &IndexMap<UpstreamId, UpstreamState>,
        wanted: &Wanted<'_>,
        random: u64,
        except: &dyn Fn(usize) -> bool,
    ) -> Option<usize> {
        let prefix = wanted.prefix.unwrap_or(random);
        let slack = match wanted.class {
            RequestClass::Interactive => LOAD_SLACK,
            RequestClass::Batch => BATCH_LOAD_SLACK,
        };
        let scan =
            Scan { now, states, prefix, slack, except, has_except: !wanted.except.is_empty() };
        let local = scan.best(&self.local);
        match local {
            Some(choice) if choice.load < SPILL_LOAD => Some(choice.host),
            _ => {
                let remote = scan.best(&self.remote);
                let best = match (local, remote) {
                    (Some(local), Some(remote)) if remote.load * 2 < local.load => Some(remote),
                    (Some(local), _) => Some(local),
                    (None, remote) => remote,
                };
                best.map(|choice| choice.host)
            }
        }
    }
}

struct Scan<'a> {
    now: Time,
    states: &'a IndexMap<UpstreamId, UpstreamState>,
    prefix: u64,
    slack: u32,
    except: &'a dyn Fn(usize) -> bool,
    has_except: bool,
}

impl Scan<'_> {
    /// Chooses without the ejected upstreams, unless too many of them are ejected.
    fn best(&self, candidates: &[Candidate]) -> Option<Choice> {
        let (choice, ejected) = self.best_of(candidates, true);
        let too_many = ejected * 100 > candidates.len() * MAX_EJECTED_PERCENT;
        if choice.is_some() && !too_many {
            return choice;
        }
        self.best_of(candidates, false).0.or(choice)
    }

    fn best_of(&self, candidates: &[Candidate], heed_ejection: bool) -> (Option<Choice>, usize) {
        let mut first: [Option<Choice>; FIRST_CHOICES] = [None; FIRST_CHOICES];
        let mut total = 0;
        let mut counted = 0;
        let mut ejected = 0;
        for candidate in candidates {
            let Some((_, state)) = self.states.get_index(candidate.state) else { continue };
            if heed_ejection && state.health.is_ejected(self.now) {
                ejected += 1;
                continue;
            }
            if self.has_except && (self.except)(candidate.state) {
                continue;
            }
            let load = state.load.estimate(self.now);
            total += load;
            counted += 1;
            let weight = rendezvous_weight(self.prefix, candidate.hash);
            insert(&mut first, Choice { weight, load, host: candidate.host });
        }
        let mean = total.checked_div(counted).unwrap_or(0);
        let bound = mean + mean * LOAD_EXCESS_PERCENT / 100 + self.slack;
        let within = first.iter().flatten().find(|choice| choice.load <= bound);
        let least = first.iter().flatten().min_by_key(|choice| choice.load);
        (within.or(least).copied(), ejected)
    }
}

/// Keeps the choices with the largest weights, the largest first.
fn insert(first: &mut [Option<Choice>; FIRST_CHOICES], choice: Choice) {
    let mut choice = choice;
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
    let product = u128::from(prefix ^ 0x9e37_79b9_7f4a_7c15) * u128::from(upstream | 1);
    let mixed = (product >> 64) as u64 ^ product as u64;
    let product = u128::from(mixed ^ upstream) * 0xa076_1d64_78bd_642f_u128;
    (product >> 64) as u64 ^ product as u64
}
