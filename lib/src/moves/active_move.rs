//! One declared move at one daemon: its evidence, its current step and its end.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use crate::{
    declaration::{DeclarationSet, Move},
    ids::{DaemonId, RouteName},
    moves::{
        MoveId,
        evidence::{self, CellKey, Cells, Counts, DaemonRun, Growth, Pool, Side},
        message::Entry,
        regression::{Assessment, RegressionDetector},
        report::{MoveReport, RouteReport, Stage},
        resolution::{Abort, AllowedTraffic, Resolution},
        schedule::{FULL_STEP, STEPS, Schedule},
        share::{Share, TrafficSplit},
    },
    node::report::AttemptReport,
    units::{Clock, WallTime},
};

/// The number of attempts on the new version that each route must reach at each step, unless it has
/// too little traffic for that.
const MIN_ROUTE_ATTEMPTS: u64 = 30;
/// The number of attempts on the new version that the watch at full share must reach.
const MIN_WATCH_ATTEMPTS: u64 = 50;
/// The number of newest windows that still accept sums that arrive late.
const OPEN_WINDOW_COUNT: u32 = 2;
/// The cap on outstanding requests at the new version without load.
const MIN_OUTSTANDING_CAP: f64 = 8.0;
/// The increase of the cap for each outstanding request expected at the new version.
const CAP_HEADROOM_FACTOR: f64 = 4.0;
/// The weight of the latest sealed windows in the moving average of outstanding requests.
const LOAD_SMOOTHING: f64 = 0.3;

/// One of this many daemons relays the counts of a given daemon.
const RELAY_DIVISOR: u64 = 3;
/// The watch after the last doubt lasts at least the declared watch divided by this.
const MIN_WATCH_DIVISOR: u32 = 4;

/// The progress of a move; [`MoveProgress::order`] is larger for later progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct MoveProgress {
    /// The number of times the move has returned from the full share to half share.
    pub doubts: u32,
    /// The index of the current step.
    pub step: u8,
    /// The start of the step, by the clock of the daemon that entered it first.
    pub entered: WallTime,
}

impl MoveProgress {
    fn order(self) -> (u32, u8) {
        (self.doubts, self.step)
    }
}

/// The attempts of one route on both versions.
#[derive(Clone, Copy, Debug, Default)]
struct RouteCounts {
    old: Counts,
    new: Counts,
}

impl RouteCounts {
    fn add(&mut self, side: Side, counts: &Counts) {
        match side {
            Side::Old => self.old.plus(counts),
            Side::New => self.new.plus(counts),
        }
    }

    fn total(&self) -> u64 {
        self.old.total() + self.new.total()
    }
}

type CountsByRoute = IndexMap<RouteName, RouteCounts>;

/// This daemon's load on the service, from which the cap on outstanding requests is computed.
#[derive(Clone, Copy, Debug, Default)]
struct Load {
    /// The sum of the durations of the attempts since windows were last sealed.
    busy: Duration,
    /// The moving average of the number of outstanding requests.
    outstanding: f64,
}

/// The state of a declared move at one daemon.
#[derive(Clone, Debug)]
pub struct ActiveMove {
    pub definition: Move,
    pub schedule: Schedule,
    pub resolution: Resolution,
    routes: IndexSet<RouteName>,
    pool: Pool,
    detector: RegressionDetector,
    progress: MoveProgress,
    /// The time that the new version spent at full share before the last doubt.
    time_at_full_share: Duration,
    /// The first window entirely at full share.
    full_share_from: Option<u32>,
    /// The first window that is not sealed. The sums of sealed windows no longer change.
    sealed_before: u32,
    /// The attempts in sealed windows since the current step began.
    step_counts: CountsByRoute,
    /// The attempts in all sealed windows.
    move_counts: CountsByRoute,
    load: Load,
    /// The windows and sources whose sums have grown since they were last sent.
    changed_sums: IndexSet<(u32, DaemonRun)>,
    /// This daemon's own cells as last sent, by window.
    sent_cells: IndexMap<u32, Cells>,
}

impl ActiveMove {
    /// Creates the state of a move that this daemon joins now.
    pub fn new(id: &MoveId, m: &Move, set: &DeclarationSet, me: &DaemonId, clock: Clock) -> Self {
        let schedule = Schedule::from_definition(m);
        let routes = routes_of(m, set);
        let stagger = stagger(me, id, schedule);
        Self {
            definition: m.clone(),
            schedule,
            resolution: Resolution::new(id.clone(), me.clone(), schedule, stagger),
            detector: RegressionDetector::new(&routes, schedule.windows()),
            routes,
            pool: Pool::default(),
            progress: MoveProgress { doubts: 0, step: 0, entered: clock.wall.max(schedule.start) },
            time_at_full_share: Duration::ZERO,
            full_share_from: None,
            sealed_before: schedule.window_at(clock.wall),
            step_counts: CountsByRoute::new(),
            move_counts: CountsByRoute::new(),
            load: Load::default(),
            changed_sums: IndexSet::new(),
            sent_cells: IndexMap::new(),
        }
    }

    /// Replaces the routes by those of a later generation.
    pub fn update_routes(&mut self, set: &DeclarationSet) {
        let routes = routes_of(&self.definition, set);
        if routes != self.routes {
            self.detector.set_routes(&routes, self.schedule.windows());
            self.routes = routes;
        }
    }

    pub fn progress(&self) -> MoveProgress {
        self.progress
    }

    /// Reports whether the move has started and not ended, so that evidence still matters.
    pub fn is_open(&self, wall: WallTime) -> bool {
        self.resolution.abort().is_none()
            && self.resolution.record().is_none()
            && wall >= self.schedule.start
            && wall < self.schedule.finish_by
    }

    /// Counts an attempt of this daemon; returns whether it is a bad one on the new version.
    pub fn count(&mut self, clock: Clock, source: &DaemonRun, report: &AttemptReport) -> bool {
        let side = match &report.version {
            version if *version == self.definition.to => Side::New,
            version if *version == self.definition.from => Side::Old,
            _ => return false,
        };
        let Some((cell, counts)) = evidence::count(report, side) else { return false };
        self.load.busy += report.first_token.unwrap_or_default() + report.generation;
        let window = self.schedule.window_at(clock.wall);
        let is_bad = side == Side::New && counts.bad > 0;
        self.pool.add(window, source, cell, &counts);
        self.changed_sums.insert((window, source.clone()));
        is_bad
    }

    /// Merges evidence from a peer and returns which sums have grown.
    pub fn merge(&mut self, clock: Clock, me: &DaemonRun, entries: &[Entry]) -> Growth {
        let newest = self.schedule.window_at(clock.wall) + OPEN_WINDOW_COUNT;
        let mut growth = Growth::default();
        for entry in entries {
            let is_open = entry.window >= self.sealed_before && entry.window <= newest;
            if !is_open || entry.source == *me {
                continue;
            }
            let merged = self.pool.merge(entry.window, &entry.source, &entry.cells);
            if merged.any_grown {
                self.changed_sums.insert((entry.window, entry.source.clone()));
            }
            growth.any_grown |= merged.any_grown;
            growth.new_bad_grown |= merged.new_bad_grown;
        }
        growth
    }

    /// Returns the sums that have grown since they were last sent and marks them as sent: this
    /// daemon's own sums and, if `includes_relayed` is set, those of the other daemons that it
    /// relays, because its other neighbours may lack them.
    pub fn take_changed(&mut self, me: &DaemonRun, includes_relayed: bool) -> Vec<Entry> {
        let mut entries = Vec::new();
        let mut retained = IndexSet::new();
        for (window, source) in std::mem::take(&mut self.changed_sums) {
            if source == *me {
                entries.extend(self.own_growth(window, me));
            } else if !includes_relayed {
                retained.insert((window, source));
            } else if is_relay(&me.daemon, &source.daemon) {
                let cells = self.pool.cells(window, &source).cloned().unwrap_or_default();
                entries.push(Entry { window, source, cells });
            }
        }
        self.changed_sums = retained;
        entries
    }

    /// Returns the cells of this daemon in a window that have grown since they were last sent.
    fn own_growth(&mut self, window: u32, me: &DaemonRun) -> Option<Entry> {
        let cells = self.pool.cells(window, me)?;
        let sent_cells = self.sent_cells.entry(window).or_default();
        let has_grown = |cell: &CellKey, counts: &Counts| sent_cells.get(cell) != Some(counts);
        let grown = cells.iter().filter(|(cell, counts)| has_grown(cell, counts));
        let grown: Cells = grown.map(|(cell, counts)| (cell.clone(), *counts)).collect();
        sent_cells.extend(grown.clone());
        Some(Entry { window, source: me.clone(), cells: grown })
    }

    /// Reports whether sums have grown since they were last sent.
    pub fn has_changed(&self) -> bool {
        !self.changed_sums.is_empty()
    }

    /// Adopts the progress reported by a peer if it is later; returns whether it was.
    pub fn adopt_progress(&mut self, progress: MoveProgress) -> bool {
        let is_behind = progress.order() > self.progress.order() && progress.step <= FULL_STEP;
        if is_behind {
            self.enter(progress);
        }
        is_behind
    }

    fn enter(&mut self, progress: MoveProgress) {
        if self.progress.step == FULL_STEP {
            self.time_at_full_share += progress.entered.until(self.progress.entered);
            self.detector.forget_historical();
        }
        self.progress = progress;
        self.step_counts = CountsByRoute::new();
        let next_window = self.schedule.window_at(progress.entered) + 1;
        self.full_share_from = (progress.step == FULL_STEP).then_some(next_window);
    }

    /// Passes the windows that are old enough to the detector, so that their sums no longer change;
    /// returns whether there were any.
    pub fn seal(&mut self, clock: Clock) -> bool {
        let before = self.schedule.window_at(clock.wall).saturating_sub(OPEN_WINDOW_COUNT - 1);
        if before <= self.sealed_before {
            return false;
        }
        for window in self.sealed_before..before {
            let none = Cells::new();
            let totals = self.pool.totals(window).unwrap_or(&none);
            let is_at_full_share = self.is_at_full_share(window);
            self.detector.seal(totals, is_at_full_share);
            let is_in_step = window >= self.schedule.window_at(self.progress.entered);
            for (CellKey { route, side, .. }, counts) in totals {
                self.move_counts.entry(route.clone()).or_default().add(*side, counts);
                if is_in_step {
                    self.step_counts.entry(route.clone()).or_default().add(*side, counts);
                }
            }
        }
        let windows = before - self.sealed_before;
        self.sealed_before = before;
        self.pool.forget_before(before);
        self.changed_sums.retain(|(window, _)| *window >= before);
        self.sent_cells.retain(|&window, _| window >= before);
        self.measure_load(windows);
        true
    }

    fn measure_load(&mut self, windows: u32) {
        let outstanding =
            self.load.busy.as_secs_f64() / (self.schedule.window * windows).as_secs_f64();
        self.load.busy = Duration::ZERO;
        self.load.outstanding += LOAD_SMOOTHING * (outstanding - self.load.outstanding);
    }

    /// Reports whether the new version had its full share from the beginning of a window.
    fn is_at_full_share(&self, window: u32) -> bool {
        self.full_share_from.is_some_and(|from| window >= from)
    }

    /// Compares the versions by the evidence of all windows, sealed and open.
    pub fn evaluate(&self) -> Assessment {
        let windows = self.pool.windows();
        let open: Vec<(&Cells, bool)> = windows
            .into_iter()
            .filter_map(|window| Some((self.pool.totals(window)?, self.is_at_full_share(window))))
            .collect();
        self.detector.evaluate(&open)
    }

    /// Enters the next step if the current one is complete; returns whether it did.
    pub fn try_step(&mut self, clock: Clock) -> bool {
        let is_blocked = self.progress.step >= FULL_STEP || self.is_too_late(clock);
        if is_blocked || !self.is_step_complete(clock) {
            return false;
        }
        let step = self.progress.step + 1;
        self.enter(MoveProgress { step, entered: clock.wall, ..self.progress });
        true
    }

    /// Returns from the full share to half share, where both versions run over the same period;
    /// returns false at lower steps.
    pub fn step_back(&mut self, clock: Clock) -> bool {
        if self.progress.step < FULL_STEP {
            return false;
        }
        let doubts = self.progress.doubts + 1;
        self.enter(MoveProgress { doubts, step: FULL_STEP - 1, entered: clock.wall });
        true
    }

    /// Reports whether the new version has passed the watch at full share.
    pub fn has_passed(&self, clock: Clock) -> bool {
        let new_attempts: u64 =
            self.step_counts.values().map(|route_counts| route_counts.new.total()).sum();
        self.progress.step == FULL_STEP
            && new_attempts >= MIN_WATCH_ATTEMPTS
            && self.is_step_complete(clock)
    }

    /// Reports whether it is too late for the watch at full share to begin.
    fn is_too_late(&self, clock: Clock) -> bool {
        self.progress.step < FULL_STEP
            && clock.wall > self.schedule.latest_watch_start(self.remaining_watch())
    }

    /// Returns the remaining time of the watch at full share.
    fn remaining_watch(&self) -> Duration {
        let left = self.schedule.watch.saturating_sub(self.time_at_full_share);
        left.max(self.schedule.watch / MIN_WATCH_DIVISOR)
    }

    /// Returns the minimum duration of the current step.
    fn dwell(&self) -> Duration {
        match self.progress {
            MoveProgress { step: FULL_STEP, .. } => self.remaining_watch(),
            MoveProgress { doubts: 0, .. } => self.schedule.dwell(),
            MoveProgress { .. } => self.schedule.dwell_after_doubt(),
        }
    }

    /// Returns how long a step waits for routes with too little traffic.
    fn low_traffic_wait(&self) -> Duration {
        match self.progress {
            MoveProgress { step, doubts: 0, .. } if step < FULL_STEP => self.schedule.slot,
            MoveProgress { .. } => self.dwell(),
        }
    }

    fn is_step_complete(&self, clock: Clock) -> bool {
        let time_at_step = clock.wall.until(self.progress.entered);
        time_at_step >= self.dwell()
            && self.routes.iter().all(|route| self.is_route_complete(route, time_at_step))
            && self.evaluate() == Assessment::Good
    }

    /// Reports whether a route has reached the required attempts, or has too little traffic to
    /// reach them within the time of the step.
    fn is_route_complete(&self, route: &RouteName, time_at_step: Duration) -> bool {
        let route_counts = self.step_counts.get(route).copied().unwrap_or_default();
        if route_counts.new.total() >= MIN_ROUTE_ATTEMPTS {
            return true;
        }
        let share = f64::from(STEPS[usize::from(self.progress.step)].0) / f64::from(Share::FULL.0);
        let expected = route_counts.total() as f64 * share;
        time_at_step >= self.low_traffic_wait() && expected < MIN_ROUTE_ATTEMPTS as f64
    }

    /// Returns the current split of requests, or `None` before the start.
    pub fn traffic_split(&self, clock: Clock, is_up_to_date: bool) -> Option<TrafficSplit> {
        if clock.wall < self.schedule.start {
            return None;
        }
        let share = self.share(clock, is_up_to_date);
        let is_finished = self.resolution.allowed(clock.wall) == AllowedTraffic::Everything;
        Some(TrafficSplit {
            move_name: self.definition.name.clone(),
            from: self.definition.from.clone(),
            to: self.definition.to.clone(),
            share,
            max_outstanding: (!is_finished).then(|| self.max_outstanding(share)),
        })
    }

    fn share(&self, clock: Clock, is_up_to_date: bool) -> Share {
        match self.resolution.allowed(clock.wall) {
            AllowedTraffic::Everything => Share::FULL,
            AllowedTraffic::Step if self.is_too_late(clock) => Share::NONE,
            AllowedTraffic::Step if is_up_to_date => STEPS[usize::from(self.progress.step)],
            AllowedTraffic::Step | AllowedTraffic::Nothing => Share::NONE,
        }
    }

    /// Returns the most requests that this daemon may have outstanding at the new version, which
    /// bounds the effect of a version that hangs.
    fn max_outstanding(&self, share: Share) -> u32 {
        let share = f64::from(share.0) / f64::from(Share::FULL.0);
        (MIN_OUTSTANDING_CAP + CAP_HEADROOM_FACTOR * self.load.outstanding * share).ceil() as u32
    }

    pub fn report(&self, clock: Clock, is_up_to_date: bool) -> MoveReport {
        let (abort, record) = (self.resolution.abort(), self.resolution.record());
        let allowed = self.resolution.allowed(clock.wall);
        let has_expired = clock.wall >= self.schedule.finish_by;
        let stage = match (record, abort, allowed) {
            (Some(record), _, _) => record.outcome.into(),
            (None, Some(_), _) => Stage::RolledBack,
            (None, None, AllowedTraffic::Step) if is_up_to_date => Stage::Running,
            (None, None, _) if has_expired => Stage::RolledBack,
            (None, None, _) => Stage::Waiting,
        };
        let cause = record.map(|record| record.cause.clone());
        let cause = cause.or_else(|| abort.map(|abort: &Abort| abort.cause.to_string().into()));
        let expired = || "no end was recorded by the operator's time";
        let cause = cause.or_else(|| has_expired.then(expired).map(Into::into));
        let route = |(route, route_counts): (&RouteName, &RouteCounts)| RouteReport {
            route: route.clone(),
            old_good: route_counts.old.good,
            old_bad: route_counts.old.bad,
            new_good: route_counts.new.good,
            new_bad: route_counts.new.bad,
        };
        MoveReport {
            name: self.definition.name.clone(),
            service: self.definition.service.clone(),
            from: self.definition.from.clone(),
            to: self.definition.to.clone(),
            stage,
            recorded: record.is_some(),
            cause,
            by: record.map(|record| &record.by).or(abort.map(|abort| &abort.by)).cloned(),
            ended: record.map(|record| record.at).or(abort.map(|abort| abort.at)),
            held_after_finish: abort.is_some() && stage == Stage::Finished,
            step: self.progress.step,
            doubts: self.progress.doubts,
            share: self.share(clock, is_up_to_date).to_string(),
            doubt_percent: (self.detector.doubt() * 100.0).round() as u32,
            finish_by: self.schedule.finish_by,
            routes: self.move_counts.iter().map(route).collect(),
        }
    }
}

fn routes_of(m: &Move, set: &DeclarationSet) -> IndexSet<RouteName> {
    let service_routes = set.routes.values().filter(|route| route.service == m.service);
    service_routes.map(|route| route.name.clone()).collect()
}

/// Returns how long after the closing time a daemon writes its record. A hash of daemon and move
/// spreads the writes over a quarter of the margin.
fn stagger(me: &DaemonId, id: &MoveId, schedule: Schedule) -> Duration {
    let hash = xxhash_rust::xxh3::xxh3_64_with_seed(me.as_str().as_bytes(), id.digest);
    (schedule.margin / 4).mul_f64((hash % 1000) as f64 / 1000.0)
}

/// Reports whether a daemon relays the counts of another one, as one in [`RELAY_DIVISOR`] does.
fn is_relay(me: &DaemonId, source: &DaemonId) -> bool {
    let seed = xxhash_rust::xxh3::xxh3_64(source.as_str().as_bytes());
    let hash = xxhash_rust::xxh3::xxh3_64_with_seed(me.as_str().as_bytes(), seed);
    hash.is_multiple_of(RELAY_DIVISOR)
}
