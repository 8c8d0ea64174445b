//! Which requests give way while the demand for a service exceeds its capacity.
//!
//! Load pattern: two kinds of request share upstreams that cannot serve both, and the less urgent kind
//! tolerates the longer wait. A bound on the wait alone then refuses the urgent requests first. Here
//! the demand of all daemons is summed by rank and customer, the capacity is allocated to the ranks
//! in order of urgency and within a rank to customers in equal parts, and every daemon admits the
//! same share of the requests of each rank and customer. The second pattern is the rush of one customer,
//! which takes from its own share only.
//!
//! [`DemandCounter`] counts what arrives at one daemon, [`LevelController`] computes the [`Level`] from
//! the sum of all daemons, and [`AdmittedShares`] decides about single requests. See
//! `docs/design/contention.md`.

use std::{collections::VecDeque, time::Duration};

use indexmap::IndexMap;
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    ids::CustomerName,
    units::{Time, WallTime},
};

/// Time constant of the demand averages, and the time for which responses are counted: the demand of
/// the same requests is averaged as it is for ordering hosts.
const DEMAND_WINDOW: Duration = Duration::from_secs(2);
/// Interval in which responses are counted together; a daemon's state message follows at this interval.
const OUTCOME_INTERVAL: Duration = Duration::from_millis(250);
/// Demand in upstreams kept busy below which a pair is no longer reported: half of the unit of messages.
const MIN_DEMAND: f64 = 0.0005;
/// The largest number in a report, a hundred times the upstreams that a system is designed for.
pub const MAX_NUMBER: f64 = 1_000_000.0;
/// The pairs in one report or level, each of up to 12 bytes, so that they fill a fifth of a datagram.
pub const MAX_PAIRS: usize = 1024;

/// The capacity factor at first: upstreams that are always busy answer late, so that a tenth is left.
const INITIAL_FACTOR: f64 = 0.9;
/// Bounds of the capacity factor. The estimate of engine time is off by less than this.
const MIN_FACTOR: f64 = 0.4;
const MAX_FACTOR: f64 = 2.0;
/// What the factor is multiplied by when too many urgent responses are late.
const FACTOR_FALL: f64 = 0.9;
/// What the factor is multiplied by when few urgent responses are late. It rises slower than it falls,
/// since late responses cost more than refused requests of less value.
const FACTOR_RISE: f64 = 1.02;
/// Percentage of late or refused urgent responses above which the factor falls.
const MAX_LATE_PERCENT: u64 = 10;
/// Percentage of late or refused urgent responses below which the factor rises.
const MIN_LATE_PERCENT: u64 = 3;
/// Responses in [`DEMAND_WINDOW`] below which the factor stays: one late response of fewer would be over
/// half of [`MAX_LATE_PERCENT`].
const MIN_RESPONSES: u64 = 20;
/// The shortest time between two changes of the factor, in which the last one shows its effect.
const FACTOR_INTERVAL: Duration = Duration::from_secs(1);
/// Part of the capacity by which more than the allocation may be admitted for the factor to fall. It is above
/// what one fall of the factor takes away. While shares still have further to move, late responses say
/// nothing about the allocation, and a factor that fell meanwhile would refuse urgent requests afterwards.
const MAX_EXCESS: f64 = 0.15;
/// The least admitted share, so that no kind or customer gets less than a quarter of the mean share.
pub const MIN_SHARE: f64 = 0.25;
/// By how much a share changes in a second, so that callers see a gradual reduction.
pub const SHARE_CHANGE_PER_SECOND: f64 = 0.2;
/// The longest time that one update accounts for, so that shares do not jump after a pause.
const MAX_UPDATE_INTERVAL: Duration = Duration::from_secs(1);
/// Distance from 1 within which a share counts as 1: half of the unit of messages.
const SHARE_PRECISION: f64 = 0.0005;
/// Steps in which the equal part of customers is searched for; each halves the error.
const LEVEL_STEPS: u32 = 50;

/// Age above which a level is stale; hubs send several messages in this time.
pub const LEVEL_TTL: Duration = Duration::from_secs(2);
/// Time in which the shares return to 1 after the level has become stale.
const RETURN_TIME: Duration = Duration::from_secs(2);

/// The period in which a request is admitted once, as a fraction of its time-out, so that a caller can come
/// back before it gives up.
const PERIOD_DIVISOR: u32 = 4;
/// The longest such period; most callers come back within two seconds or not at all.
const MAX_PERIOD: Duration = Duration::from_secs(2);
/// Added to the time after which a caller should come back, since the clocks of two daemons agree only
/// within the transit time of their messages.
const RETRY_MARGIN: Duration = Duration::from_millis(20);

/// A customer in messages: a hash of its name, which keeps them short. Two customers with the same hash share
/// one part of the capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CustomerKey(pub u32);

impl CustomerKey {
    /// Returns the key of a customer; requests without a customer have one in common.
    pub fn new(customer: Option<&CustomerName>) -> Self {
        Self(customer.map_or(0, |name| xxh3_64(name.as_str().as_bytes()) as u32))
    }
}

/// The requests that are admitted by the same share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Pair {
    /// Zero is the most urgent rank.
    pub rank: u8,
    pub customer: CustomerKey,
}

/// First responses of the most urgent rank.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outcomes {
    pub in_time: u64,
    pub late: u64,
    /// Requests refused for lack of capacity, apart from those that gave way here.
    pub refused: u64,
}

impl Outcomes {
    fn total(self) -> u64 {
        self.in_time + self.late + self.refused
    }

    fn add(&mut self, other: Self) {
        self.in_time += other.in_time;
        self.late += other.late;
        self.refused += other.refused;
    }
}

/// How one first response of the most urgent rank turned out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    InTime,
    Late,
    Refused,
}

/// One daemon's report on one service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DemandReport {
    /// Upstreams that the requests of each pair keep busy.
    pub demands: Vec<(Pair, f64)>,
    pub outcomes: Outcomes,
}

/// The reason why a report or a level is ignored as a whole.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
#[error("{0} is negative, not finite or too large")]
pub struct AbsurdNumber(pub f64);

/// Checks a number of a message.
pub fn check_number(number: f64, max: f64) -> Result<f64, AbsurdNumber> {
    let is_valid = number.is_finite() && (0.0..=max).contains(&number);
    if is_valid { Ok(number) } else { Err(AbsurdNumber(number)) }
}

#[derive(Clone, Copy, Debug)]
struct Average {
    value: f64,
    at: Time,
}

impl Average {
    fn get(&self, now: Time) -> f64 {
        let elapsed = now.since(self.at).as_secs_f64();
        self.value * (-elapsed / DEMAND_WINDOW.as_secs_f64()).exp()
    }

    fn add(&mut self, now: Time, work: Duration) {
        self.value = self.get(now) + work.as_secs_f64() / DEMAND_WINDOW.as_secs_f64();
        self.at = now;
    }
}

/// Counts the demand for one service that arrives at one daemon.
#[derive(Clone, Debug, Default)]
pub struct DemandCounter {
    demands: IndexMap<Pair, Average>,
    /// Responses by the start of their interval, the latest last.
    outcomes: VecDeque<(Time, Outcomes)>,
}

impl DemandCounter {
    /// Counts a request that arrived, admitted or not, by the engine time that it needs.
    pub fn record_arrival(&mut self, now: Time, pair: Pair, work: Duration) {
        self.demands.entry(pair).or_insert(Average { value: 0.0, at: now }).add(now, work);
    }

    /// Counts a first response of the most urgent rank, or a refusal instead of it.
    pub fn record_outcome(&mut self, now: Time, outcome: Outcome) {
        let is_current = |(start, _): &(Time, Outcomes)| now.since(*start) < OUTCOME_INTERVAL;
        if !self.outcomes.back().is_some_and(is_current) {
            self.outcomes.push_back((now, Outcomes::default()));
        }
        self.expire(now);
        let Some((_, counts)) = self.outcomes.back_mut() else { return };
        match outcome {
            Outcome::InTime => counts.in_time += 1,
            Outcome::Late => counts.late += 1,
            Outcome::Refused => counts.refused += 1,
        }
    }

    fn expire(&mut self, now: Time) {
        while self.outcomes.front().is_some_and(|(start, _)| now.since(*start) >= DEMAND_WINDOW) {
            self.outcomes.pop_front();
        }
    }

    /// Returns the demand and the responses of the last two seconds, with the largest [`MAX_PAIRS`] pairs.
    pub fn report(&mut self, now: Time) -> DemandReport {
        self.expire(now);
        self.demands.retain(|_, average| average.get(now) >= MIN_DEMAND);
        let mut demands: Vec<_> =
            self.demands.iter().map(|(pair, average)| (*pair, average.get(now))).collect();
        if demands.len() > MAX_PAIRS {
            demands.sort_by(|a, b| b.1.total_cmp(&a.1));
            demands.truncate(MAX_PAIRS);
        }
        let mut outcomes = Outcomes::default();
        self.outcomes.iter().for_each(|(_, counts)| outcomes.add(*counts));
        DemandReport { demands, outcomes }
    }
}

/// The reports of all daemons on one service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DemandSum {
    demands: IndexMap<Pair, f64>,
    outcomes: Outcomes,
}

impl DemandSum {
    /// Adds a report, or ignores all of it if a number in it is absurd.
    pub fn add(&mut self, report: &DemandReport) -> Result<(), AbsurdNumber> {
        for (_, demand) in &report.demands {
            check_number(*demand, MAX_NUMBER)?;
        }
        let Outcomes { in_time, late, refused } = report.outcomes;
        for count in [in_time, late, refused] {
            check_number(count as f64, MAX_NUMBER)?;
        }
        for (pair, demand) in &report.demands {
            *self.demands.entry(*pair).or_default() += demand;
        }
        self.outcomes.add(report.outcomes);
        Ok(())
    }

    /// Returns the upstreams that the requests of all daemons keep busy.
    pub fn total(&self) -> f64 {
        self.demands.values().sum()
    }
}

/// The capacity factor of a service and what is admitted of each rank and customer.
#[derive(Clone, Debug, PartialEq)]
pub struct Level {
    pub factor: f64,
    /// The admitted shares below 1.
    pub shares: IndexMap<Pair, f64>,
}

impl Default for Level {
    fn default() -> Self {
        Self { factor: INITIAL_FACTOR, shares: IndexMap::new() }
    }
}

impl Level {
    /// Checks the numbers of a level that another daemon sent.
    pub fn check(&self) -> Result<(), AbsurdNumber> {
        check_number(self.factor, MAX_NUMBER)?;
        self.shares.values().try_for_each(|share| check_number(*share, 1.0).map(drop))
    }

    /// Returns the lowest admitted share.
    pub fn lowest_share(&self) -> f64 {
        self.shares.values().copied().fold(1.0, f64::min)
    }
}

/// Computes the level of one service from the reports of all daemons.
#[derive(Clone, Debug, Default)]
pub struct LevelController {
    level: Level,
    factor_changed_at: Option<Time>,
    /// When more than [`MAX_EXCESS`] was last admitted beyond the allocation.
    exceeded_at: Option<Time>,
    updated_at: Option<Time>,
}

impl LevelController {
    pub fn level(&self) -> &Level {
        &self.level
    }

    /// Takes over the capacity factor of the daemon whose level counts, so that no share jumps if this
    /// daemon's level counts later.
    pub fn adopt_factor(&mut self, factor: f64) {
        if factor.is_finite() {
            self.level.factor = factor.clamp(MIN_FACTOR, MAX_FACTOR);
        }
    }

    /// Takes over the level that counts, of another daemon.
    pub fn adopt(&mut self, now: Time, level: &Level) {
        self.adopt_factor(level.factor);
        self.level.shares.clone_from(&level.shares);
        self.updated_at = Some(now);
    }

    /// Computes the level from the sum of all reports. `capacity` is the number of live upstreams, weighted by
    /// their speed.
    pub fn update(&mut self, now: Time, capacity: f64, sum: &DemandSum) {
        let elapsed = self.updated_at.replace(now).map_or(Duration::ZERO, |at| now.since(at));
        let max_change = elapsed.min(MAX_UPDATE_INTERVAL).as_secs_f64() * SHARE_CHANGE_PER_SECOND;
        // Without upstreams no allocation helps, and requests are refused for that reason.
        let targets = if capacity.is_finite() && capacity > 0.0 {
            allocate(capacity * self.level.factor, &sum.demands)
        } else {
            IndexMap::new()
        };
        move_shares(&mut self.level.shares, &targets, max_change);
        let excess = |(pair, target): (&Pair, &f64)| {
            let share = self.level.shares.get(pair).copied().unwrap_or(1.0);
            (share - target).max(0.0) * sum.demands.get(pair).copied().unwrap_or(0.0)
        };
        let excess: f64 = targets.iter().map(excess).sum();
        if excess > capacity * self.level.factor * MAX_EXCESS {
            self.exceeded_at = Some(now);
        }
        let may_fall =
            self.reducible(&sum.demands) >= capacity * self.level.factor * (1.0 - FACTOR_FALL);
        self.update_factor(now, sum.outcomes, may_fall);
        if self.level.shares.len() > MAX_PAIRS {
            self.level.shares.sort_by(|_, a, _, b| a.total_cmp(b));
            self.level.shares.truncate(MAX_PAIRS);
        }
    }

    /// Returns the upstreams kept busy by admitted requests that are less urgent than the most urgent ones and are
    /// above their floor. Callers that come back are admitted, so that the floor may not relieve the
    /// upstreams; a factor that fell further would only refuse urgent requests. With a single rank, all of its
    /// requests count.
    fn reducible(&self, demands: &IndexMap<Pair, f64>) -> f64 {
        let first = demands.keys().map(|pair| pair.rank).min();
        let has_others = demands.keys().any(|pair| Some(pair.rank) != first);
        let reducible = |(pair, demand): (&Pair, &f64)| {
            let counts = !has_others || Some(pair.rank) != first;
            let share = self.level.shares.get(pair).copied().unwrap_or(1.0);
            if counts { demand * (share - MIN_SHARE).max(0.0) } else { 0.0 }
        };
        demands.iter().map(reducible).sum()
    }

    /// `may_fall` states that a fall would be at the expense of less urgent requests alone.
    fn update_factor(&mut self, now: Time, outcomes: Outcomes, may_fall: bool) {
        let is_due =
            self.factor_changed_at.is_none_or(|changed| now.since(changed) >= FACTOR_INTERVAL);
        let total = outcomes.total();
        if !is_due || total < MIN_RESPONSES {
            return;
        }
        let late = (outcomes.late + outcomes.refused) * 100;
        let gives_way = !self.level.shares.is_empty();
        // All responses that are counted must be to requests of this allocation.
        let is_in_effect =
            self.exceeded_at.is_none_or(|exceeded| now.since(exceeded) >= DEMAND_WINDOW);
        let change = if late > total * MAX_LATE_PERCENT {
            if !is_in_effect || !may_fall {
                return;
            }
            FACTOR_FALL
        } else if late < total * MIN_LATE_PERCENT && gives_way {
            FACTOR_RISE
        } else {
            return;
        };
        self.level.factor = (self.level.factor * change).clamp(MIN_FACTOR, MAX_FACTOR);
        self.factor_changed_at = Some(now);
    }
}

/// Moves shares towards their targets, and removes those that have reached 1. A pair without a share has
/// 1, and so has one without a target.
fn move_shares(shares: &mut IndexMap<Pair, f64>, targets: &IndexMap<Pair, f64>, max_change: f64) {
    for pair in targets.keys() {
        shares.entry(*pair).or_insert(1.0);
    }
    for (pair, share) in shares.iter_mut() {
        let target = targets.get(pair).copied().unwrap_or(1.0);
        *share = target.clamp(*share - max_change, *share + max_change);
    }
    shares.retain(|_, share| *share < 1.0 - SHARE_PRECISION);
}

/// Allocates the capacity to ranks in order of urgency, and within a rank to customers by max-min fairness.
/// Returns the admitted shares below 1.
pub fn allocate(capacity: f64, demands: &IndexMap<Pair, f64>) -> IndexMap<Pair, f64> {
    let mut ranks: Vec<u8> = demands.keys().map(|pair| pair.rank).collect();
    ranks.sort_unstable();
    ranks.dedup();
    let mut left = capacity;
    let mut floors_left = demands.values().sum::<f64>() * MIN_SHARE;
    let mut shares = IndexMap::new();
    for rank in ranks {
        let of_rank: Vec<_> = demands
            .iter()
            .filter(|(pair, demand)| pair.rank == rank && **demand > 0.0)
            .map(|(pair, demand)| (*pair, *demand))
            .collect();
        let demand: f64 = of_rank.iter().map(|(_, demand)| demand).sum();
        floors_left -= demand * MIN_SHARE;
        let available = (left - floors_left).max(demand * MIN_SHARE).min(demand);
        left -= available;
        if available >= demand {
            continue;
        }
        let part = equal_part(available, &of_rank);
        for (pair, demand) in of_rank {
            let share = (part / demand).clamp(MIN_SHARE, 1.0);
            if share < 1.0 {
                shares.insert(pair, share);
            }
        }
    }
    shares
}

/// Returns the most that one customer gets, such that together they get what is available.
fn equal_part(available: f64, demands: &[(Pair, f64)]) -> f64 {
    let total = |part: f64| -> f64 {
        demands.iter().map(|(_, demand)| part.clamp(demand * MIN_SHARE, *demand)).sum()
    };
    let (mut low, mut high) = (0.0, demands.iter().map(|(_, demand)| *demand).fold(0.0, f64::max));
    for _ in 0..LEVEL_STEPS {
        let middle = f64::midpoint(low, high);
        if total(middle) > available {
            high = middle;
        } else {
            low = middle;
        }
    }
    low
}

/// Whether a request is admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    Admitted,
    GivesWay {
        /// The share of such requests that is admitted.
        share: f64,
        /// When the same request is admitted next, while the share holds.
        retry_after: Duration,
    },
}

/// What one daemon admits of each rank and customer of one service.
#[derive(Clone, Debug, Default)]
pub struct AdmittedShares {
    /// The shares below 1, without their return after the level has become stale.
    shares: IndexMap<Pair, f64>,
    level: Option<(Time, Level)>,
    moved_at: Option<Time>,
}

impl AdmittedShares {
    /// Applies the level that counts, as of `measured_at`.
    pub fn receive(&mut self, now: Time, measured_at: Time, level: Level) {
        if self.return_progress(now) > 0.0 {
            let pairs: Vec<_> = self.shares.keys().copied().collect();
            for pair in pairs {
                let share = self.share(now, pair);
                self.shares.insert(pair, share);
            }
            self.moved_at = Some(now);
        }
        self.level = Some((measured_at, level));
    }

    /// Moves the shares towards the level, at most as fast as the level itself may move. A daemon that has just
    /// started thus reduces its admission gradually.
    pub fn refresh(&mut self, now: Time) {
        let elapsed = self.moved_at.replace(now).map_or(Duration::ZERO, |at| now.since(at));
        let progress = self.return_progress(now);
        if progress >= 1.0 {
            self.shares.clear();
        }
        if progress > 0.0 {
            return;
        }
        let Some((_, level)) = &self.level else { return };
        let max_change = elapsed.min(MAX_UPDATE_INTERVAL).as_secs_f64() * SHARE_CHANGE_PER_SECOND;
        move_shares(&mut self.shares, &level.shares, max_change);
    }

    /// Returns how far the shares have returned to 1 because of a stale level, from 0 to 1.
    fn return_progress(&self, now: Time) -> f64 {
        let Some((measured_at, _)) = &self.level else { return 1.0 };
        let stale_for = now.since(*measured_at + LEVEL_TTL);
        (stale_for.as_secs_f64() / RETURN_TIME.as_secs_f64()).min(1.0)
    }

    /// Returns the admitted share of a pair.
    pub fn share(&self, now: Time, pair: Pair) -> f64 {
        let Some(share) = self.shares.get(&pair) else { return 1.0 };
        share + (1.0 - share) * self.return_progress(now)
    }

    /// Returns the lowest admitted share of each rank that gives way.
    pub fn lowest_by_rank(&self, now: Time) -> IndexMap<u8, f64> {
        let mut lowest = IndexMap::new();
        for pair in self.shares.keys() {
            let share = self.share(now, *pair);
            if share < 1.0 {
                let known = lowest.entry(pair.rank).or_insert(1.0_f64);
                *known = known.min(share);
            }
        }
        lowest
    }

    /// Decides about a request. `content` is its content hash, `wall` the time of day on which the daemons
    /// agree, and `timeout` that of its route.
    pub fn decide(
        &self,
        now: Time,
        pair: Pair,
        content: u64,
        wall: WallTime,
        timeout: Duration,
    ) -> Decision {
        let share = self.share(now, pair);
        if share >= 1.0 {
            return Decision::Admitted;
        }
        let period_ms = (timeout / PERIOD_DIVISOR).min(MAX_PERIOD).as_millis().max(1) as u64;
        let phase = (wall.0 % period_ms) as f64 / period_ms as f64;
        let position = ((content >> 11) as f64 / (1_u64 << 53) as f64 + phase).fract();
        if position < share {
            return Decision::Admitted;
        }
        let period = Duration::from_millis(period_ms);
        let margin = RETRY_MARGIN.min(period.mul_f64(share / 2.0));
        Decision::GivesWay { share, retry_after: period.mul_f64(1.0 - position) + margin }
    }
}
