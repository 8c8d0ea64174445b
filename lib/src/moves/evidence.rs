//! Counts the attempts on the two versions of a move over all daemons.
//!
//! Each run of a daemon counts its own attempts, in sums that only grow. Sums received from other
//! daemons are merged by taking the larger one, so the merge tolerates lost, repeated and reordered
//! messages.

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
    /// The version that the move replaces.
    Old,
    /// The version that the move introduces.
    New,
}

/// A group of attempts whose times may be compared with each other.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Stratum {
    /// The machine class of the upstream.
    pub class: ClassName,
    /// The zone of the upstream.
    pub zone: ZoneName,
    /// The exponent of the smallest power of four above the number of uncached prompt tokens.
    pub size: u8,
}

/// The key of one cell of the evidence.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CellKey {
    pub route: RouteName,
    pub side: Side,
    pub stratum: Stratum,
}

/// The count, sum and sum of squares of the logarithms of durations.
///
/// Each logarithm is the natural logarithm of the microseconds, in thousandths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Moments {
    pub count: u64,
    /// The sum of the logarithms, in thousandths.
    pub sum: u64,
    /// The sum of the squares of the logarithms, in millionths.
    pub squares: u64,
}

impl Moments {
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

    /// Adds the sums of `other`.
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
        // The three sums change together: a larger count is a later state of the same sums.
        if other.count > self.count {
            *self = *other;
        }
    }
}

/// The outcomes and times of the attempts of one cell.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Attempts that returned a complete response.
    pub good: u64,
    /// Attempts that failed or exceeded their time limit.
    pub bad: u64,
    /// The upstreams of the bad attempts, as one bit for each of 32 hash groups.
    pub bad_upstreams: u32,
    /// The time to the first token per uncached prompt token, or to a plain service's response.
    pub time_to_first_token: Moments,
    /// The time per generated token.
    pub time_per_token: Moments,
}

impl Counts {
    /// Returns the number of attempts that have ended.
    pub fn total(&self) -> u64 {
        self.good + self.bad
    }

    /// Adds the attempts of `other`.
    pub fn plus(&mut self, other: &Self) {
        self.good += other.good;
        self.bad += other.bad;
        self.bad_upstreams |= other.bad_upstreams;
        self.time_to_first_token.plus(&other.time_to_first_token);
        self.time_per_token.plus(&other.time_per_token);
    }

    /// Subtracts what `plus` has added, except for the upstreams, which only grow.
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

/// The number of prompt tokens whose cost equals the fixed cost of a request.
const BASE_TOKENS: u64 = 64;

/// Returns the cell of an attempt and its counts, or `None` if the attempt was refused or abandoned
/// and so is no evidence about the version.
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

/// One run of a daemon, from its start to its end.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct DaemonRun {
    pub daemon: DaemonId,
    pub incarnation: Incarnation,
}

/// Counts by cell, of one source or of all sources, in one window.
pub type Cells = IndexMap<CellKey, Counts>;

/// The evidence of one window.
#[derive(Clone, Debug, Default)]
struct Window {
    sources: IndexMap<DaemonRun, Cells>,
    /// Sums over all sources.
    totals: Cells,
}

/// The evidence of one move in the windows that are still open, from all known daemons.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    windows: IndexMap<u32, Window>,
}

impl Pool {
    /// Adds the counts of an attempt made by `source`.
    pub fn add(&mut self, window: u32, source: &DaemonRun, cell: CellKey, counts: &Counts) {
        let window = self.windows.entry(window).or_default();
        window.totals.entry(cell.clone()).or_default().plus(counts);
        if !window.sources.contains_key(source) {
            window.sources.insert(source.clone(), Cells::new());
        }
        window.sources[source].entry(cell).or_default().plus(counts);
    }

    /// Merges the sums of a source received from a peer and returns which of them have grown.
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

    /// Returns the windows that hold evidence, in ascending order.
    pub fn windows(&self) -> Vec<u32> {
        let mut windows: Vec<u32> = self.windows.keys().copied().collect();
        windows.sort_unstable();
        windows
    }

    /// Drops the windows before this one.
    pub fn forget_before(&mut self, window: u32) {
        self.windows.retain(|&held, _| held >= window);
    }
}

/// Which sums a merge has increased.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Growth {
    /// Whether any sum has grown.
    pub any_grown: bool,
    /// Whether the number of bad attempts on the new version has grown.
    pub new_bad_grown: bool,
}
