//! Schedules calls to the platform by rate budget, priority and backoff.
//!
//! Each state machine submits its calls under its own tags. A call that is refused here has had no
//! effect, so the state machine may retry it. A call with an unknown outcome is reported as such
//! and not retried, since only the state machine can find out whether it took effect. See
//! `docs/design/platform-client.md`.

use std::{collections::VecDeque, hash::Hash, time::Duration};

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    store::{CallError, Operation, Priority, Reply, token_bucket::TokenBucket},
    units::Time,
};

/// The number of [`Priority`] levels.
const PRIORITIES: usize = 3;
/// The wait after the first failure due to an unavailable platform; doubled with each further one.
const FIRST_BACKOFF: Duration = Duration::from_millis(100);
/// The maximum number of doublings of [`FIRST_BACKOFF`], to 3.2 s.
const MAX_DOUBLINGS: u32 = 5;
/// The factor by which the rate falls after the platform's rate limit has refused a call.
const RATE_DECREASE_FACTOR: f64 = 0.5;
/// The share of the full rate that is regained per second.
const RATE_REGAINED_PER_SECOND: f64 = 0.1;
/// The minimum share of the full rate.
const MIN_RATE_SHARE: f64 = 0.05;

/// The settings of the client.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// The calls per second that this daemon may make; a long poll counts once.
    pub calls_per_second: f64,
    /// The number of calls that may be made at once after an idle period.
    pub burst: u32,
    /// The maximum number of queued calls per priority.
    pub queue: usize,
    /// The maximum time that a call stays in the queue.
    pub max_queue_wait: Duration,
    /// The maximum number of calls in flight, long polls excluded.
    pub open: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            calls_per_second: 200.0,
            burst: 50,
            queue: 256,
            max_queue_wait: Duration::from_secs(2),
            open: 64,
        }
    }
}

/// The effects that the caller of the client performs.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect<K> {
    /// Make this call and pass its result to [`Client::ended`].
    Issue(K, Priority, Operation),
    /// Report to the state machine with this tag that its call was refused and had no effect.
    Refuse(K, CallError),
}

#[derive(Clone, Debug)]
struct Queued<K> {
    tag: K,
    since: Time,
    operation: Operation,
}

/// Reports whether the platform may delay its response until something changes.
fn is_long_poll(operation: &Operation) -> bool {
    matches!(operation, Operation::Watch { .. } | Operation::Hosts { .. })
}

/// The numbers of calls made, and of calls refused by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Calls sent to the platform.
    pub issued: u64,
    /// Calls refused because the platform was known to be unavailable.
    pub unavailable: u64,
    /// Calls refused because the queue was full or the call waited too long in it.
    pub over_budget: u64,
}

/// The scheduler of the calls of one daemon; `K` is the type of the tags.
#[derive(Clone, Debug)]
pub struct Client<K> {
    cfg: Config,
    seed: u64,
    budget: TokenBucket,
    rate_share: f64,
    rate_share_at: Time,
    queues: [VecDeque<Queued<K>>; PRIORITIES],
    refusals: VecDeque<(K, CallError)>,
    /// The calls in flight, and whether each is a long poll.
    open: IndexMap<K, bool>,
    failures: u32,
    unavailable_until: Option<Time>,
    probing: bool,
    counts: Counts,
}

impl<K: Clone + Eq + Hash> Default for Client<K> {
    fn default() -> Self {
        Self::new(Config::default(), 0)
    }
}

impl<K: Clone + Eq + Hash> Client<K> {
    /// Creates the client of one daemon; `seed` makes the backoff differ between daemons.
    pub fn new(cfg: Config, seed: u64) -> Self {
        let budget = TokenBucket::new(cfg.calls_per_second, cfg.burst);
        Self {
            cfg,
            seed,
            budget,
            rate_share: 1.0,
            rate_share_at: Time(0),
            queues: Default::default(),
            refusals: VecDeque::new(),
            open: IndexMap::new(),
            failures: 0,
            unavailable_until: None,
            probing: false,
            counts: Counts::default(),
        }
    }

    /// Returns the numbers of calls made and refused.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns the number of long polls of this daemon in flight.
    pub fn long_polls(&self) -> usize {
        self.open.values().filter(|&&is_long_poll| is_long_poll).count()
    }

    /// Reports whether the platform is assumed to be unavailable.
    pub fn is_unavailable(&self) -> bool {
        self.unavailable_until.is_some()
    }

    /// Returns when [`Client::advance`] must be called next.
    pub fn next_wakeup(&self) -> Option<Time> {
        if !self.refusals.is_empty() {
            return Some(Time(0));
        }
        let oldest = self.queues.iter().filter_map(|queue| queue.front()).map(|call| call.since);
        let overdue = oldest.min().map(|since| since + self.cfg.max_queue_wait);
        let issue_at = self.queues.iter().any(|queue| !queue.is_empty()) && self.has_room();
        let issue_at = issue_at
            .then(|| self.budget.next_available().max(self.unavailable_until.unwrap_or_default()));
        [overdue, issue_at].into_iter().flatten().min()
    }

    /// Queues a call, which [`Client::advance`] makes or refuses.
    pub fn submit(&mut self, now: Time, tag: K, priority: Priority, operation: Operation) {
        // A long poll that probes would show too late whether the platform is available again.
        let is_refused_poll = is_long_poll(&operation) && self.unavailable_until.is_some();
        if self.probing
            || is_refused_poll
            || self.unavailable_until.is_some_and(|until| until > now)
        {
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

    /// Makes the calls that the budget allows, in order of priority, and reports refusals.
    pub fn advance(&mut self, now: Time, out: &mut Vec<Effect<K>>) {
        self.refuse_overdue(now);
        self.recover_rate(now);
        while let Some((tag, error)) = self.refusals.pop_front() {
            out.push(Effect::Refuse(tag, error));
        }
        if self.unavailable_until.is_some_and(|until| until > now) {
            return;
        }
        while self.has_room() && self.issue_next(now, out) {}
    }

    /// Records the result of a call that was made.
    pub fn ended(&mut self, now: Time, tag: &K, result: &Result<Reply, CallError>) {
        if self.open.swap_remove(tag).is_none() {
            return;
        }
        match result {
            Err(CallError::Unavailable) => self.mark_unavailable(now),
            Err(CallError::RateLimited) => self.reduce_rate(now),
            // A single missing response does not show an outage: it may just have been lost.
            Err(CallError::Unknown) if self.probing => self.mark_unavailable(now),
            Err(CallError::Unknown) => {}
            Ok(_) | Err(CallError::Conflict(_) | CallError::Refused(_)) => {
                self.failures = 0;
                self.unavailable_until = None;
                self.probing = false;
            }
        }
    }

    fn has_room(&self) -> bool {
        if self.probing {
            return false;
        }
        self.open.len() - self.long_polls() < self.cfg.open
    }

    fn issue_next(&mut self, now: Time, out: &mut Vec<Effect<K>>) -> bool {
        let Some(priority) = self.queues.iter().position(|queue| !queue.is_empty()) else {
            return false;
        };
        if !self.budget.try_acquire(now) {
            return false;
        }
        let Some(call) = self.queues[priority].pop_front() else { return false };
        // After an outage, a single call probes whether the platform is available again.
        self.probing = self.unavailable_until.is_some();
        self.open.insert(call.tag.clone(), is_long_poll(&call.operation));
        self.counts.issued += 1;
        let priority = [Priority::Safety, Priority::Configuration, Priority::Background][priority];
        out.push(Effect::Issue(call.tag, priority, call.operation));
        true
    }

    fn refuse_overdue(&mut self, now: Time) {
        for queue in &mut self.queues {
            while let Some(call) = queue.front()
                && now.since(call.since) >= self.cfg.max_queue_wait
            {
                self.counts.over_budget += 1;
                self.refusals.push_back((call.tag.clone(), CallError::RateLimited));
                queue.pop_front();
            }
        }
    }

    /// Refuses all queued calls, since the platform cannot perform them, and starts the backoff.
    fn mark_unavailable(&mut self, now: Time) {
        let wait = FIRST_BACKOFF * (1 << self.failures.min(MAX_DOUBLINGS));
        let spread = xxh3_64_with_seed(&self.failures.to_le_bytes(), self.seed) % 1_000;
        self.failures += 1;
        self.probing = false;
        // Up to half of the wait is added, so that daemons do not retry at the same time.
        self.unavailable_until = Some(now + wait + wait.mul_f64(spread as f64 / 2_000.0));
        for queue in &mut self.queues {
            for call in queue.drain(..) {
                self.counts.unavailable += 1;
                self.refusals.push_back((call.tag, CallError::Unavailable));
            }
        }
    }

    fn reduce_rate(&mut self, now: Time) {
        self.probing = false;
        self.rate_share = (self.rate_share * RATE_DECREASE_FACTOR).max(MIN_RATE_SHARE);
        self.rate_share_at = now;
        self.budget.set_rate(self.cfg.calls_per_second * self.rate_share);
    }

    fn recover_rate(&mut self, now: Time) {
        if self.rate_share < 1.0 {
            let gained = now.since(self.rate_share_at).as_secs_f64() * RATE_REGAINED_PER_SECOND;
            self.rate_share = (self.rate_share + gained).min(1.0);
            self.rate_share_at = now;
            self.budget.set_rate(self.cfg.calls_per_second * self.rate_share);
        }
    }
}
