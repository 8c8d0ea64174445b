//! What all daemons have seen of the two versions of a move.
//!
//! Each run of a daemon counts for itself, in sums that only grow; the sums of others are merged
//! by taking the larger. Loss, repetition and reordering of messages therefore do no harm.

use std::time::Duration;

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    ids::{ClassName, DaemonId, Incarnation, RouteName, ZoneName},
    node::report::{AttemptEnd, AttemptReport},
};

/// Which of the two versions of a move an attempt ran on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Side {
    /// The version that served before.
    Old,
    /// The version that is to serve.
    New,
}

/// Attempts that may be compared with each other.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Stratum {
    /// The machine class of the upstream.
    pub class: ClassName,
    /// The zone of the upstream.
    pub zone: ZoneName,
    /// The number of uncached prompt tokens, by its power of four.
    pub size: u8,
}

/// What a cell of the evidence counts.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CellKey {
    /// The route.
    pub route: RouteName,
    /// The version.
    pub side: Side,
    /// The stratum.
    pub stratum: Stratum,
}

/// The number, sum and sum of squares of logarithms of a duration.
///
/// Logarithms are natural ones of microseconds, in thousandths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Moments {
    /// How many durations were counted.
    pub count: u64,
    /// The sum of their logarithms.
    pub sum: u64,
    /// The sum of the squares of their logarithms.
    pub squares: u64,
}

impl Moments {
    /// Counts a duration.
    pub fn add(&mut self, duration: Duration) {
        let micros = duration.as_secs_f64() * 1e6;
        let log = (micros.max(1.0).ln() * 1e3).round() as u64;
        self.count += 1;
        self.sum += log;
        self.squares += log * log;
    }

    /// Returns the mean of the natural logarithms.
    pub fn mean(&self) -> f64 {
        self.sum as f64 / self.count.max(1) as f64 / 1e3
    }

    /// Returns the variance of the natural logarithms.
    pub fn variance(&self) -> f64 {
        let mean = self.sum as f64 / self.count.max(1) as f64;
        let squares = self.squares as f64 / self.count.max(1) as f64;
        (squares - mean * mean).max(0.0) / 1e6
    }

    /// Adds other durations to these.
    pub fn plus(&mut self, other: &Self) {
        self.count += other.count;
        self.sum += other.sum;
        self.squares += other.squares;
    }

    fn minus(&mut self, other: &Self) {
        self.count -= other.count;
        self.sum -= other.sum;
        self.squares -= other.squares;
    }

    fn raise_to(&mut self, other: &Self) {
        // The three belong together: a larger count is the later state of the same sums.
        if other.count > self.count {
            *self = *other;
        }
    }
}

/// What happened to the attempts of one cell.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Attempts whose whole answer came.
    pub good: u64,
    /// Attempts that failed or took too long.
    pub bad: u64,
    /// The upstreams of the bad attempts, one bit for each of 32 groups.
    pub bad_upstreams: u32,
    /// The time to the first token per uncached prompt token, or to a plain service's answer.
    pub time_to_first_token: Moments,
    /// The time per generated token.
    pub time_per_token: Moments,
}

impl Counts {
    /// Returns how many attempts have ended.
    pub fn total(&self) -> u64 {
        self.good + self.bad
    }

    /// Adds other attempts to these.
    pub fn plus(&mut self, other: &Self) {
        self.good += other.good;
        self.bad += other.bad;
        self.bad_upstreams |= other.bad_upstreams;
        self.time_to_first_token.plus(&other.time_to_first_token);
        self.time_per_token.plus(&other.time_per_token);
    }

    /// Takes back what `plus` has added, but for the upstreams, which only grow.
    fn minus(&mut self, other: &Self) {
        self.good -= other.good;
        self.bad -= other.bad;
        self.time_to_first_token.minus(&other.time_to_first_token);
        self.time_per_token.minus(&other.time_per_token);
    }

    fn raise_to(&mut self, other: &Self) {
        self.good = self.good.max(other.good);
        self.bad = self.bad.max(other.bad);
        self.bad_upstreams |= other.bad_upstreams;
        self.time_to_first_token.raise_to(&other.time_to_first_token);
        self.time_per_token.raise_to(&other.time_per_token);
    }
}

/// The tokens of prompt that weigh as much as the fixed cost of a request.
const BASE_TOKENS: u64 = 64;

/// Returns the cell of an attempt and what it adds; `None` if it says nothing about the version.
pub fn count(report: &AttemptReport, side: Side) -> Option<(CellKey, Counts)> {
    let is_good = match report.end {
        AttemptEnd::Success => true,
        AttemptEnd::Failure | AttemptEnd::ConnectionLost | AttemptEnd::TimedOut => false,
        AttemptEnd::Refused | AttemptEnd::Abandoned => return None,
    };
    let mut counts = Counts::default();
    if is_good {
        counts.good = 1;
        if let Some(first_token) = report.first_token {
            let tokens = report.uncached_prompt_tokens.0 + BASE_TOKENS;
            counts.time_to_first_token.add(first_token / tokens as u32);
        }
        if report.generated_tokens.0 > 1 {
            counts.time_per_token.add(report.generation / (report.generated_tokens.0 - 1) as u32);
        }
    } else {
        counts.bad = 1;
        counts.bad_upstreams = 1 << (xxh3_64(report.upstream.as_str().as_bytes()) % 32);
    }
    let size = (u64::BITS - report.uncached_prompt_tokens.0.leading_zeros()).div_ceil(2) as u8;
    let stratum = Stratum { class: report.class.clone(), zone: report.zone.clone(), size };
    Some((CellKey { route: report.route.clone(), side, stratum }, counts))
}

/// One run of a daemon.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct DaemonRun {
    /// The daemon.
    pub daemon: DaemonId,
    /// Its run.
    pub incarnation: Incarnation,
}

/// The cells of one source in one window.
pub type Cells = IndexMap<CellKey, Counts>;

/// The evidence of one window.
#[derive(Clone, Debug, Default)]
struct Window {
    sources: IndexMap<DaemonRun, Cells>,
    /// The sums over all sources.
    totals: Cells,
}

/// The evidence of one move in the windows that are still open, from all daemons heard of.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    windows: IndexMap<u32, Window>,
}

impl Pool {
    /// Adds an attempt that this daemon has seen.
    pub fn add(&mut self, window: u32, source: &DaemonRun, cell: CellKey, counts: &Counts) {
        let window = self.windows.entry(window).or_default();
        window.totals.entry(cell.clone()).or_default().plus(counts);
        if !window.sources.contains_key(source) {
            window.sources.insert(source.clone(), Cells::new());
        }
        window.sources[source].entry(cell).or_default().plus(counts);
    }

    /// Takes the sums of a source as a peer knows them; returns what they have grown by.
    pub fn merge(&mut self, window: u32, source: &DaemonRun, cells: &Cells) -> Growth {
        let Window { sources, totals } = self.windows.entry(window).or_default();
        let known = sources.entry(source.clone()).or_default();
        let mut growth = Growth::default();
        for (cell, counts) in cells {
            let sums = known.entry(cell.clone()).or_default();
            let before = *sums;
            sums.raise_to(counts);
            if *sums == before {
                continue;
            }
            let total = totals.entry(cell.clone()).or_default();
            total.minus(&before);
            total.plus(sums);
            growth.any_grown = true;
            growth.new_bad_grown |= cell.side == Side::New && sums.bad > before.bad;
        }
        growth
    }

    /// Returns the cells of one source in a window.
    pub fn cells(&self, window: u32, source: &DaemonRun) -> Option<&Cells> {
        self.windows.get(&window)?.sources.get(source)
    }

    /// Returns the sums of a window over all sources.
    pub fn totals(&self, window: u32) -> Option<&Cells> {
        self.windows.get(&window).map(|window| &window.totals)
    }

    /// Returns the windows that hold evidence, the oldest first.
    pub fn windows(&self) -> Vec<u32> {
        let mut windows: Vec<u32> = self.windows.keys().copied().collect();
        windows.sort_unstable();
        windows
    }

    /// Forgets the windows before this one.
    pub fn forget_before(&mut self, window: u32) {
        self.windows.retain(|&held, _| held >= window);
    }
}

/// What a merge has brought.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Growth {
    /// Whether any sum has grown.
    pub any_grown: bool,
    /// Whether the new version's bad attempts have grown.
    pub new_bad_grown: bool,
}
