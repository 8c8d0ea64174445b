//! Detects regressions of the new version of a move against the old one, by sequential tests.
//!
//! For each route, three Shiryaev-Roberts detectors run over the windows of the move: on
//! failures, on the time to the first token and on the time per token. Under the null hypothesis
//! the expectation of such a statistic after `w` windows is at most `w`, so that it exceeds
//! `windows / rate` with a probability of at most `rate` at any time of the move.
//! `docs/design/moves.md` compares this with other tests.

use std::fmt;

use indexmap::{IndexMap, IndexSet};

use crate::{
    ids::{ClassName, RouteName, ZoneName},
    moves::evidence::{Cells, Counts, Moments, Side},
};

/// The probability that a good version is rolled back, over a whole move and all its tests.
pub const FALSE_ALARM_RATE: f64 = 5e-4;

/// The tolerated ratio of failure rates, new to old, over the same period.
const FAILURE_TOLERANCE: f64 = 1.5;
/// The tolerated ratio of failure rates, new to old, where the old version ran over an earlier
/// period.
const HISTORICAL_FAILURE_TOLERANCE: f64 = 3.0;
/// The fraction of requests that a good version may fail in addition to those that the old one
/// fails.
const FAILURE_ALLOWANCE: f64 = 0.003;
/// The failure rates of the alternatives, relative to the tolerated rate.
const FAILURE_RATIOS: [f64; ALTERNATIVE_COUNT] = [2.0, 5.0, 20.0, 100.0];
/// The largest failure rate of an alternative.
const MAX_FAILURE_RATE: f64 = 0.95;
/// The fewest failures of the new version on which the test on failures can be conclusive.
const MIN_FAILURES: u64 = 4;

/// The tolerated natural logarithm of the ratio of times, new to old: a ratio of 1.25.
const SLOWNESS_TOLERANCE: f64 = 0.223;
/// The same where the old version ran over an earlier period: a ratio of 1.6.
const HISTORICAL_SLOWNESS_TOLERANCE: f64 = 0.47;
/// The slowness of the alternatives, as natural logarithms in addition to the tolerance.
const SLOWNESS_EFFECTS: [f64; ALTERNATIVE_COUNT] = [0.15, 0.3, 0.6, 1.2];
/// The variance added to that of the mean difference, for differences between hosts.
const HOST_VARIANCE: f64 = 0.01;
/// The smallest variance assumed for a single logarithm of a time.
const MIN_LOG_VARIANCE: f64 = 0.01;
/// The fewest durations of each version for a comparison.
const MIN_TIMES: u64 = 4;
/// The largest variance of the mean difference at which a block of windows is sufficient.
const MAX_MEAN_VARIANCE: f64 = 0.02;
/// The most that one block may add to the logarithm of a statistic on times.
const MAX_SLOWNESS_LOG_RATIO: f64 = 5.0;
/// The most that one window may add to the logarithm of a statistic on failures if all its failures
/// are of a single upstream.
const MAX_SINGLE_UPSTREAM_LOG_RATIO: f64 = 4.0;

/// The amount by which the logarithm of a statistic decays with each block of windows, so that old
/// evidence fades.
const LOG_DECAY: f64 = 0.05;

const ALTERNATIVE_COUNT: usize = 4;

/// The logarithm of the likelihood ratio of one block of windows, for each alternative.
pub type LogRatios = [f64; ALTERNATIVE_COUNT];

/// The quantity that a test compares.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Measure {
    /// Attempts that failed or exceeded their time limit.
    Failures,
    /// The time to the first token.
    TimeToFirstToken,
    /// The time per generated token.
    TimePerToken,
}

impl Measure {
    pub const ALL: [Self; 3] = [Self::Failures, Self::TimeToFirstToken, Self::TimePerToken];
}

impl fmt::Display for Measure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Failures => "failures",
            Self::TimeToFirstToken => "time-to-first-token",
            Self::TimePerToken => "time-per-token",
        })
    }
}

/// Conclusive evidence against the new version.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Regression {
    /// The route with the regression.
    pub route: RouteName,
    /// The quantity that has regressed.
    pub measure: Measure,
}

impl fmt::Display for Regression {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} on route {}", self.measure, self.route)
    }
}

/// The logarithm of a Shiryaev-Roberts statistic for each alternative.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Detector([f64; ALTERNATIVE_COUNT]);

impl Detector {
    const NEW: Self = Self([f64::NEG_INFINITY; ALTERNATIVE_COUNT]);

    fn updated(self, ratios: &LogRatios) -> Self {
        let mut next = self;
        for (log, ratio) in next.0.iter_mut().zip(ratios) {
            *log = ln_one_plus_exp(*log - LOG_DECAY) + ratio;
        }
        next
    }

    /// Returns the logarithm of the mean of the statistics over the alternatives.
    fn log(&self) -> f64 {
        let largest = self.0.iter().copied().fold(f64::NEG_INFINITY, f64::max);
        if largest == f64::NEG_INFINITY {
            return largest;
        }
        let sum: f64 = self.0.iter().map(|log| (log - largest).exp()).sum();
        largest + (sum / ALTERNATIVE_COUNT as f64).ln()
    }
}

fn ln_one_plus_exp(x: f64) -> f64 {
    if x > 0.0 { x + (-x).exp().ln_1p() } else { x.exp().ln_1p() }
}

/// The sums of one route over a block of windows.
#[derive(Clone, Debug, Default)]
struct RouteSums {
    old: Counts,
    new: Counts,
}

/// The attempts of the old version with which the new one is compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Comparison {
    /// Attempts over the same period.
    Concurrent,
    /// Attempts over an earlier period, while the new version has its full share.
    Historical,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Test {
    route: RouteName,
    measure: Measure,
    comparison: Comparison,
}

/// Runs the tests of one move at one daemon.
#[derive(Clone, Debug)]
pub struct RegressionDetector {
    tests: Vec<Test>,
    log_threshold: f64,
    sealed: IndexMap<Test, Detector>,
    /// Cells of sealed windows that hold too few durations for a comparison so far.
    pending_blocks: IndexMap<Test, Cells>,
    /// The failures of the new version in all sealed windows.
    failures: IndexMap<RouteName, u64>,
    /// The attempts of the old version in all sealed windows.
    baseline: Cells,
}

/// The result of the tests at one time.
#[derive(Clone, Debug, PartialEq)]
pub enum Assessment {
    /// The new version has regressed.
    Regressed(Regression),
    /// The new version is worse than the old one over an earlier period, so both versions must run
    /// over the same period again.
    Suspect,
    /// No test is conclusive, but the next step must wait.
    Doubtful,
    /// No test gives reason to wait.
    Good,
}

/// The fraction of the threshold, on the logarithmic scale, from which the next step must wait.
const DOUBT_THRESHOLD: f64 = 0.6;

impl RegressionDetector {
    /// Creates the tests of a move with these routes and this number of windows.
    pub fn new(routes: &IndexSet<RouteName>, windows: u32) -> Self {
        let mut regression_detector = Self {
            tests: Vec::new(),
            log_threshold: 0.0,
            sealed: IndexMap::new(),
            pending_blocks: IndexMap::new(),
            failures: IndexMap::new(),
            baseline: Cells::new(),
        };
        regression_detector.set_routes(routes, windows);
        regression_detector
    }

    /// Replaces the tested routes; the statistics of routes that remain are kept.
    pub fn set_routes(&mut self, routes: &IndexSet<RouteName>, windows: u32) {
        self.tests.clear();
        for route in routes {
            for measure in Measure::ALL {
                for comparison in [Comparison::Concurrent, Comparison::Historical] {
                    self.tests.push(Test { route: route.clone(), measure, comparison });
                }
            }
        }
        let evaluations = f64::from(windows) * self.tests.len().max(1) as f64;
        self.log_threshold = (evaluations / FALSE_ALARM_RATE).ln();
    }

    /// Evaluates the tests on the sealed windows and on these open ones, which are ordered by age,
    /// the oldest first. Each is paired with whether the new version had its full share.
    pub fn evaluate(&self, open: &[(&Cells, bool)]) -> Assessment {
        let mut assessment = Assessment::Good;
        for test in &self.tests {
            let threshold_ratio = self.log_including(test, open) / self.log_threshold;
            if threshold_ratio >= 1.0 && self.has_enough_failures(test, open) {
                match test.comparison {
                    Comparison::Concurrent => return Assessment::Regressed(test.regression()),
                    Comparison::Historical => assessment = Assessment::Suspect,
                }
            } else if threshold_ratio >= DOUBT_THRESHOLD && assessment == Assessment::Good {
                assessment = Assessment::Doubtful;
            }
        }
        assessment
    }

    /// Adds a window whose sums are assumed to be complete.
    ///
    /// `is_at_full_share` states whether the new version had its full share from the beginning of
    /// the window.
    pub fn seal(&mut self, cells: &Cells, is_at_full_share: bool) {
        for test in self.tests.clone() {
            if !test.applies(is_at_full_share) {
                continue;
            }
            let block = self.block(&test, cells);
            let BlockEvidence { ratios, is_insufficient } = self.block_evidence(&test, &[&block]);
            if is_insufficient {
                self.pending_blocks.insert(test, block);
                continue;
            }
            self.pending_blocks.swap_remove(&test);
            let detector = self.detector(&test).updated(&ratios);
            self.sealed.insert(test, detector);
        }
        for (cell, counts) in cells {
            match cell.side {
                Side::New => *self.failures.entry(cell.route.clone()).or_default() += counts.bad,
                Side::Old => self.baseline.entry(cell.clone()).or_default().plus(counts),
            }
        }
    }

    /// Resets the comparison with an earlier period, because the versions are compared over the
    /// same one again.
    pub fn forget_historical(&mut self) {
        self.sealed.retain(|test, _| test.comparison == Comparison::Concurrent);
        self.pending_blocks.retain(|test, _| test.comparison == Comparison::Concurrent);
    }

    /// Returns the largest statistic as a fraction of the threshold, on the logarithmic scale.
    pub fn doubt(&self) -> f64 {
        let logs = self.sealed.values().map(|detector| detector.log() / self.log_threshold);
        logs.fold(0.0, f64::max)
    }

    /// Returns the logarithm of the statistic of a test, with the open windows included.
    fn log_including(&self, test: &Test, open: &[(&Cells, bool)]) -> f64 {
        let mut detector = self.detector(test);
        let mut block: Vec<&Cells> = self.pending_blocks.get(test).into_iter().collect();
        for (cells, _) in
            open.iter().filter(|(_, is_at_full_share)| test.applies(*is_at_full_share))
        {
            block.push(cells);
            let BlockEvidence { ratios, is_insufficient } = self.block_evidence(test, &block);
            if !is_insufficient {
                detector = detector.updated(&ratios);
                block.clear();
            }
        }
        detector.log()
    }

    /// Reports whether the new version has enough failures for a test on failures to be conclusive.
    ///
    /// Tests of other measures need none.
    fn has_enough_failures(&self, test: &Test, open: &[(&Cells, bool)]) -> bool {
        let sealed = self.failures.get(&test.route).copied().unwrap_or_default();
        let open: u64 =
            open.iter().map(|(cells, _)| route_sums(&[cells], &test.route).new.bad).sum();
        test.measure != Measure::Failures || sealed + open >= MIN_FAILURES
    }

    fn detector(&self, test: &Test) -> Detector {
        self.sealed.get(test).copied().unwrap_or(Detector::NEW)
    }

    /// Returns the pending cells of a test together with those of one more window.
    fn block(&self, test: &Test, cells: &Cells) -> Cells {
        let mut block = self.pending_blocks.get(test).cloned().unwrap_or_default();
        add_cells(&mut block, cells, test);
        block
    }

    fn block_evidence(&self, test: &Test, block: &[&Cells]) -> BlockEvidence {
        let Test { route, measure, comparison } = test;
        match (measure, comparison) {
            (Measure::Failures, Comparison::Concurrent) => {
                BlockEvidence::sufficient(failure_ratios(&route_sums(block, route)))
            }
            (Measure::Failures, Comparison::Historical) => {
                let old = route_sums(&[&self.baseline], route).old;
                let new = route_sums(block, route).new;
                BlockEvidence::sufficient(failure_ratios_historical(&new, &old))
            }
            (_, Comparison::Concurrent) => {
                let compared = compare(block, block, route, *measure);
                slowness(compared, SLOWNESS_TOLERANCE)
            }
            (_, Comparison::Historical) => {
                let compared = compare(block, &[&self.baseline], route, *measure);
                slowness(compared, HISTORICAL_SLOWNESS_TOLERANCE)
            }
        }
    }
}

impl Test {
    fn regression(&self) -> Regression {
        Regression { route: self.route.clone(), measure: self.measure }
    }

    /// Reports whether the test uses a window: the comparison with an earlier period uses only
    /// windows at full share.
    fn applies(&self, is_at_full_share: bool) -> bool {
        is_at_full_share || self.comparison == Comparison::Concurrent
    }
}

/// Adds the cells of the route that is tested.
fn add_cells(block: &mut Cells, cells: &Cells, test: &Test) {
    for (cell, counts) in cells.iter().filter(|(cell, _)| cell.route == test.route) {
        block.entry(cell.clone()).or_default().plus(counts);
    }
}

/// The evidence of a block of windows for one test.
#[derive(Clone, Copy, Debug)]
struct BlockEvidence {
    ratios: LogRatios,
    /// Whether the block needs more windows before it counts.
    is_insufficient: bool,
}

impl BlockEvidence {
    fn sufficient(ratios: LogRatios) -> Self {
        Self { ratios, is_insufficient: false }
    }
}

fn route_sums(block: &[&Cells], route: &RouteName) -> RouteSums {
    let mut sums = RouteSums::default();
    let cells = block.iter().flat_map(|cells| cells.iter());
    for (cell, counts) in cells.filter(|(cell, _)| cell.route == *route) {
        match cell.side {
            Side::Old => sums.old.plus(counts),
            Side::New => sums.new.plus(counts),
        }
    }
    sums
}

/// Compares the distribution of failures over the two versions with that of attempts.
///
/// Failures that both versions share fall on each in proportion to its attempts, so the failure
/// rate of the old version need not be known.
fn failure_ratios(sums: &RouteSums) -> LogRatios {
    let (old, new) = (sums.old.total() as f64, sums.new.total() as f64);
    if old == 0.0 || new == 0.0 {
        return [0.0; ALTERNATIVE_COUNT];
    }
    let tolerated = new * FAILURE_TOLERANCE;
    let null = tolerated / (tolerated + old);
    // Failures within the allowance are not counted.
    let excess_failures = (sums.new.bad as f64 - FAILURE_ALLOWANCE * new).max(0.0);
    FAILURE_RATIOS.map(|ratio| {
        let alternative = tolerated * ratio / (tolerated * ratio + old);
        let of_new = excess_failures * (alternative / null).ln();
        let of_old = sums.old.bad as f64 * ((1.0 - alternative) / (1.0 - null)).ln();
        cap_single_upstream(of_new + of_old, &sums.new)
    })
}

/// Compares the failures of the new version with the old version's rate over an earlier period.
fn failure_ratios_historical(new: &Counts, old: &Counts) -> LogRatios {
    let rate = (old.bad as f64 + 1.0) / (old.total() as f64 + 2.0);
    let null = (rate * HISTORICAL_FAILURE_TOLERANCE + FAILURE_ALLOWANCE).min(0.5);
    FAILURE_RATIOS.map(|ratio| {
        let alternative = (null * ratio).min(MAX_FAILURE_RATE);
        let of_bad = new.bad as f64 * (alternative / null).ln();
        let of_good = new.good as f64 * ((1.0 - alternative) / (1.0 - null)).ln();
        cap_single_upstream(of_bad + of_good, new)
    })
}

/// Bounds the evidence from failures of a single upstream, because a single host may break whatever
/// its version.
fn cap_single_upstream(ratio: f64, new: &Counts) -> f64 {
    let is_single_upstream = new.bad_upstreams.count_ones() <= 1;
    if is_single_upstream { ratio.min(MAX_SINGLE_UPSTREAM_LOG_RATIO) } else { ratio }
}

/// The difference of two mean logarithms and its variance.
#[derive(Clone, Copy, Debug)]
struct Difference {
    mean: f64,
    variance: f64,
}

fn slowness(difference: Option<Difference>, tolerance: f64) -> BlockEvidence {
    let Some(Difference { mean, variance }) = difference else {
        return BlockEvidence { ratios: [0.0; ALTERNATIVE_COUNT], is_insufficient: true };
    };
    let excess = mean - tolerance;
    let ratios = SLOWNESS_EFFECTS.map(|effect| {
        let ratio = (excess * effect - effect * effect / 2.0) / (variance + HOST_VARIANCE);
        ratio.min(MAX_SLOWNESS_LOG_RATIO)
    });
    BlockEvidence { ratios, is_insufficient: variance > MAX_MEAN_VARIANCE }
}

/// The class, the zone (`None` where all zones are combined) and the size.
type GroupKey<'a> = (&'a ClassName, Option<&'a ZoneName>, u8);

/// Groups of comparable attempts, with the times of the old and the new version.
type Groups<'a> = IndexMap<GroupKey<'a>, (Moments, Moments)>;

/// Compares the times of the two versions: within each zone that has enough of them, otherwise
/// across zones.
fn compare(
    new: &[&Cells],
    old: &[&Cells],
    route: &RouteName,
    measure: Measure,
) -> Option<Difference> {
    let mut zones = Groups::new();
    for (block, side) in [(old, Side::Old), (new, Side::New)] {
        let cells = block.iter().flat_map(|cells| cells.iter());
        for (cell, counts) in cells.filter(|(cell, _)| cell.side == side && cell.route == *route) {
            let moments = if measure == Measure::TimePerToken {
                counts.time_per_token
            } else {
                counts.time_to_first_token
            };
            let stratum = &cell.stratum;
            let (old, new) =
                zones.entry((&stratum.class, Some(&stratum.zone), stratum.size)).or_default();
            let sums = if side == Side::Old { old } else { new };
            sums.plus(&moments);
        }
    }
    let mut classes = Groups::new();
    let mut weighted = (0.0, 0.0);
    for ((class, _, size), (old, new)) in zones {
        if !add_weighted(&old, &new, &mut weighted) {
            let (all_old, all_new) = classes.entry((class, None, size)).or_default();
            all_old.plus(&old);
            all_new.plus(&new);
        }
    }
    for (old, new) in classes.values() {
        add_weighted(old, new, &mut weighted);
    }
    let (sum, weight) = weighted;
    (weight > 0.0).then(|| Difference { mean: sum / weight, variance: 1.0 / weight })
}

/// Adds the difference of a group, weighted by its inverse variance; returns false if the group has
/// too few durations.
fn add_weighted(old: &Moments, new: &Moments, weighted: &mut (f64, f64)) -> bool {
    if old.count < MIN_TIMES || new.count < MIN_TIMES {
        return false;
    }
    let max_variance = old.variance().max(new.variance()).max(MIN_LOG_VARIANCE);
    let weight = 1.0 / (max_variance / old.count as f64 + max_variance / new.count as f64);
    weighted.0 += weight * (new.mean() - old.mean());
    weighted.1 += weight;
    true
}
