//! Decides when each call to the platform is made: budget, priorities, backoff.
//!
//! Slices hand in calls under a tag of their own. A call that is refused here has had no effect, so
//! its slice may ask again; a call whose outcome is unknown is handed back as it is, since only its
//! slice can settle it. See `docs/design/platform-client.md`.

use std::{collections::VecDeque, hash::Hash, time::Duration};

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    store::{CallError, Operation, Priority, Reply, token_bucket::TokenBucket},
    units::Time,
};

/// How many priorities there are.
const PRIORITIES: usize = 3;
/// The first wait after the platform was unavailable; doubled with each further time.
const FIRST_BACKOFF: Duration = Duration::from_millis(100);
/// How many times [`FIRST_BACKOFF`] is doubled at most, to 3.2 s.
const MAX_DOUBLINGS: u32 = 5;
/// How much of the rate is left after the platform's rate limit has refused a call.
const DECREASE: f64 = 0.5;
/// How much of the full rate comes back each second.
const INCREASE_PER_SECOND: f64 = 0.1;
/// The least part of the full rate.
const LEAST_PART: f64 = 0.05;

/// The settings of the client.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// The calls per second that this daemon may make; a watch that is held counts once.
    pub calls_per_second: f64,
    /// The calls that may be made at once after a quiet time.
    pub burst: u32,
    /// The most calls that wait in each priority.
    pub queue: usize,
    /// The longest that a call waits for its turn.
    pub longest_wait: Duration,
    /// The most calls that are open at once, watches aside.
    pub open: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            calls_per_second: 200.0,
            burst: 50,
            queue: 256,
            longest_wait: Duration::from_secs(2),
            open: 64,
        }
    }
}

/// What the client wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect<K> {
    /// Make this call, and hand its result to [`Client::ended`].
    Issue(K, Priority, Operation),
    /// Tell the slice that its call was refused and had no effect.
    Refuse(K, CallError),
}

#[derive(Clone, Debug)]
struct Queued<K> {
    tag: K,
    since: Time,
    operation: Operation,
}

/// Says whether the platform may hold a call until there is something to tell.
fn is_held(operation: &Operation) -> bool {
    matches!(operation, Operation::Watch { .. } | Operation::Hosts { .. })
}

/// How many calls were made and refused, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Calls handed to the platform.
    pub issued: u64,
    /// Calls refused since the platform was known to be unavailable.
    pub unavailable: u64,
    /// Calls refused since the budget or the queue was exhausted.
    pub over_budget: u64,
}

/// The calls of one daemon, tagged by their slices.
#[derive(Clone, Debug)]
pub struct Client<K> {
    cfg: Config,
    seed: u64,
    budget: TokenBucket,
    part: f64,
    part_at: Time,
    queues: [VecDeque<Queued<K>>; PRIORITIES],
    refusals: VecDeque<(K, CallError)>,
    open: IndexMap<K, bool>,
    failures: u32,
    down_until: Option<Time>,
    probing: bool,
    counts: Counts,
}

impl<K: Clone + Eq + Hash> Default for Client<K> {
    fn default() -> Self {
        Self::new(Config::default(), 0)
    }
}

impl<K: Clone + Eq + Hash> Client<K> {
    /// Makes the client of one daemon; `seed` spreads the waits of different daemons.
    pub fn new(cfg: Config, seed: u64) -> Self {
        let budget = TokenBucket::new(cfg.calls_per_second, cfg.burst);
        Self {
            cfg,
            seed,
            budget,
            part: 1.0,
            part_at: Time(0),
            queues: Default::default(),
            refusals: VecDeque::new(),
            open: IndexMap::new(),
            failures: 0,
            down_until: None,
            probing: false,
            counts: Counts::default(),
        }
    }

    /// Returns how many calls were made and refused.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns how many watches the platform holds for this daemon.
    pub fn watches(&self) -> usize {
        self.open.values().filter(|&&watch| watch).count()
    }

    /// Says whether the platform is taken to be unavailable.
    pub fn down(&self) -> bool {
        self.down_until.is_some()
    }

    /// Returns when [`Client::advance`] is wanted.
    pub fn next_wakeup(&self) -> Option<Time> {
        if !self.refusals.is_empty() {
            return Some(Time(0));
        }
        let oldest = self.queues.iter().filter_map(|queue| queue.front()).map(|call| call.since);
        let overdue = oldest.min().map(|since| since + self.cfg.longest_wait);
        let turn = self.queues.iter().any(|queue| !queue.is_empty()) && self.has_room();
        let turn =
            turn.then(|| self.budget.next_available().max(self.down_until.unwrap_or_default()));
        [overdue, turn].into_iter().flatten().min()
    }

    /// Takes a call; it is made or refused by [`Client::advance`].
    pub fn submit(&mut self, now: Time, tag: K, priority: Priority, operation: Operation) {
        // A call that the platform holds would say too late whether it is back.
        let held = is_held(&operation) && self.down_until.is_some();
        if self.probing || held || self.down_until.is_some_and(|until| until > now) {
            self.counts.unavailable += 1;
            return self.refusals.push_back((tag, CallError::Unavailable));
        }
        let queue = &mut self.queues[priority as usize];
        if queue.len() >= self.cfg.queue {
            self.counts.over_budget += 1;
            return self.refusals.push_back((tag, CallError::RateLimited));
        }
        queue.push_back(Queued { tag, since: now, operation });
    }

    /// Makes the calls whose turn it is, the most urgent first.
    pub fn advance(&mut self, now: Time, out: &mut Vec<Effect<K>>) {
        self.refuse_overdue(now);
        self.recover_rate(now);
        while let Some((tag, error)) = self.refusals.pop_front() {
            out.push(Effect::Refuse(tag, error));
        }
        if self.down_until.is_some_and(|until| until > now) {
            return;
        }
        while self.has_room() && self.take_turn(now, out) {}
    }

    /// Takes note of the result of a call that was made.
    pub fn ended(&mut self, now: Time, tag: &K, result: &Result<Reply, CallError>) {
        if self.open.swap_remove(tag).is_none() {
            return;
        }
        match result {
            Err(CallError::Unavailable) => self.went_down(now),
            Err(CallError::RateLimited) => self.slow_down(now),
            // No answer says nothing for sure: a single one may have been lost.
            Err(CallError::Unknown) if self.probing => self.went_down(now),
            Err(CallError::Unknown) => {}
            Ok(_) | Err(CallError::Conflict(_) | CallError::Refused(_)) => {
                self.failures = 0;
                self.down_until = None;
                self.probing = false;
            }
        }
    }

    fn has_room(&self) -> bool {
        if self.probing {
            return false;
        }
        self.open.len() - self.watches() < self.cfg.open
    }

    fn take_turn(&mut self, now: Time, out: &mut Vec<Effect<K>>) -> bool {
        let Some(priority) = self.queues.iter().position(|queue| !queue.is_empty()) else {
            return false;
        };
        if !self.budget.try_acquire(now) {
            return false;
        }
        let Some(call) = self.queues[priority].pop_front() else { return false };
        // After an outage a single call finds out whether the platform is back.
        self.probing = self.down_until.is_some();
        self.open.insert(call.tag.clone(), is_held(&call.operation));
        self.counts.issued += 1;
        let priority = [Priority::Safety, Priority::Configuration, Priority::Background][priority];
        out.push(Effect::Issue(call.tag, priority, call.operation));
        true
    }

    fn refuse_overdue(&mut self, now: Time) {
        for queue in &mut self.queues {
            while let Some(call) = queue.front()
                && now.since(call.since) >= self.cfg.longest_wait
            {
                self.counts.over_budget += 1;
                self.refusals.push_back((call.tag.clone(), CallError::RateLimited));
                queue.pop_front();
            }
        }
    }

    /// Refuses what waits, since the platform cannot carry it out, and waits before the next call.
    fn went_down(&mut self, now: Time) {
        let wait = FIRST_BACKOFF * (1 << self.failures.min(MAX_DOUBLINGS));
        let spread = xxh3_64_with_seed(&self.failures.to_le_bytes(), self.seed) % 1_000;
        self.failures += 1;
        self.probing = false;
        self.down_until = Some(now + wait + wait.mul_f64(spread as f64 / 2_000.0));
        for queue in &mut self.queues {
            for call in queue.drain(..) {
                self.counts.unavailable += 1;
                self.refusals.push_back((call.tag, CallError::Unavailable));
            }
        }
    }

    fn slow_down(&mut self, now: Time) {
        self.probing = false;
        self.part = (self.part * DECREASE).max(LEAST_PART);
        self.part_at = now;
        self.budget.set_rate(self.cfg.calls_per_second * self.part);
    }

    fn recover_rate(&mut self, now: Time) {
        if self.part < 1.0 {
            let gained = now.since(self.part_at).as_secs_f64() * INCREASE_PER_SECOND;
            self.part = (self.part + gained).min(1.0);
            self.part_at = now;
            self.budget.set_rate(self.cfg.calls_per_second * self.part);
        }
    }
}
