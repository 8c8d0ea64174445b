//! Generates synthetic attempts on the two versions of a move, with faults of the new version and
//! with noise that good versions show as well.

use std::time::Duration;

use dogwoodturn::{
    ids::VersionName,
    moves::evidence::{self, Cells, Side},
    node::report::{AttemptEnd, AttemptReport},
    units::{Time, Tokens},
};
use rand::RngExt as _;
use rand_pcg::Pcg64Mcg;

use super::Spec;

/// The behaviour of the new version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Good,
    /// 3 in 10 attempts fail from the beginning.
    FailsAtOnce,
    /// Attempts take twice as long from the beginning.
    SlowAtOnce,
    /// 3 in 10 attempts fail after 66% of the duration of the move.
    FailsLater,
    /// 2 in 10 attempts fail while the new version gets more than a third of the requests.
    FailsUnderLoad,
    /// Attempts take 2.5 times as long while the new version gets more than a third of the
    /// requests.
    SlowUnderLoad,
    /// 4 in 10 attempts on the rarest route fail.
    FailsOnRoute,
    /// 4 in 10 attempts never return a response.
    Hangs,
    /// 2 in 10 attempts return a malformed response.
    WronglyFramed,
}

impl Kind {
    pub const BAD: [Self; 8] = [
        Self::FailsAtOnce,
        Self::SlowAtOnce,
        Self::FailsLater,
        Self::FailsUnderLoad,
        Self::SlowUnderLoad,
        Self::FailsOnRoute,
        Self::Hangs,
        Self::WronglyFramed,
    ];
}

/// Disturbances that are no fault of the new version.
#[derive(Clone, Copy, Debug, Default)]
#[allow(clippy::struct_excessive_bools)]
pub struct Noise {
    /// The fraction of requests that fails, on both versions.
    pub failures: f64,
    /// Whether a shared dependency fails for [`SPELL_DURATION`], twice.
    pub shared_bursts: bool,
    /// Whether one host of each version crashes, twice.
    pub crashes: bool,
    /// Whether all hosts are slow for [`SPELL_DURATION`], twice.
    pub slow_spells: bool,
    /// Whether the new version starts with cold caches.
    pub cold_caches: bool,
    /// Whether 3 instead of 1 of the 6 hosts of the new version are of the slower class.
    pub other_class: bool,
    /// Whether one host of the new version is slower than its class.
    pub slow_host: bool,
}

impl Noise {
    pub const ALL: Self = Self {
        failures: 0.01,
        shared_bursts: true,
        crashes: true,
        slow_spells: true,
        cold_caches: true,
        other_class: true,
        slow_host: true,
    };
}

/// The time after which a hung request counts as timed out.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// The routes and the fraction of requests on each.
const ROUTE_SHARES: [(&str, f64); 3] = [("phrases", 0.6), ("glossaries", 0.3), ("quotes", 0.1)];
/// The duration of a slow spell or a burst of failures.
const SPELL_DURATION: Duration = Duration::from_secs(6);

pub fn new_version() -> VersionName {
    "v2".parse().expect("a name")
}

struct Host {
    upstream: String,
    zone: &'static str,
    class: &'static str,
    slowness: f64,
    crashes: Vec<Time>,
}

pub struct Attempt {
    pub total_time: Duration,
    pub report: AttemptReport,
}

/// The sums of one window over all daemons, available without the delay of messages, as to a
/// central detector.
#[derive(Clone, Debug, Default)]
pub struct WindowSums {
    pub cells: Cells,
    /// Whether the new version had its full share when any attempt of the window began.
    pub is_full: bool,
}

pub struct Traffic {
    kind: Kind,
    noise: Noise,
    move_start: Time,
    length: Duration,
    old: Vec<Host>,
    new: Vec<Host>,
    bursts: Vec<Time>,
    spells: Vec<Time>,
    recent: (u64, u64),
    recent_since: Time,
    is_loaded: bool,
    new_version_requests: f64,
    pub fault_began: Option<Time>,
    pub windows: Vec<WindowSums>,
}

const CLASSES: [(&str, f64); 2] = [("c1", 1.0), ("c2", 1.6)];
const ZONES: [&str; 3] = ["za", "zb", "zc"];

impl Traffic {
    pub fn new(spec: &Spec, start: Duration, rng: &mut Pcg64Mcg) -> Self {
        let noise = spec.noise;
        let random_time =
            |rng: &mut Pcg64Mcg| Time(0) + start + spec.length.mul_f64(rng.random::<f64>());
        let hosts = |name: &str, count: usize, slow: usize, rng: &mut Pcg64Mcg| {
            let host = |index: usize| {
                let class = CLASSES[usize::from(index % 10 < slow)];
                let crash_count = if noise.crashes && index == 1 { 2 } else { 0 };
                let is_slow = noise.slow_host && index == 0 && name == "n";
                Host {
                    upstream: format!("{name}{index}"),
                    zone: ZONES[index % 3],
                    class: class.0,
                    slowness: class.1 * lognormal(0.05, rng) * if is_slow { 1.4 } else { 1.0 },
                    crashes: (0..crash_count).map(|_| random_time(rng)).collect(),
                }
            };
            (0..count).map(host).collect::<Vec<_>>()
        };
        let new_slow = if noise.other_class { 3 } else { 1 };
        let old = hosts("o", 10, 2, rng);
        let new = hosts("n", 6, new_slow, rng);
        let random_times = |wanted: bool, rng: &mut Pcg64Mcg| {
            (0..if wanted { 2 } else { 0 }).map(|_| random_time(rng)).collect::<Vec<_>>()
        };
        Self {
            kind: spec.kind,
            noise,
            move_start: Time(0) + start,
            length: spec.length,
            old,
            new,
            bursts: random_times(noise.shared_bursts, rng),
            spells: random_times(noise.slow_spells, rng),
            recent: (0, 0),
            recent_since: Time(0),
            is_loaded: false,
            new_version_requests: 0.0,
            fault_began: None,
            windows: Vec::new(),
        }
    }

    /// Generates one attempt that begins now.
    pub fn attempt(
        &mut self,
        now: Time,
        is_new: bool,
        is_full: bool,
        rng: &mut Pcg64Mcg,
    ) -> Attempt {
        self.measure_load(now, is_new);
        let route = pick_route(rng);
        let is_bad = is_new && self.is_bad(now, route);
        if is_bad && self.fault_began.is_none() {
            self.fault_began = Some(now);
        }
        let hosts = if is_new { &self.new } else { &self.old };
        let host = &hosts[rng.random_range(0..hosts.len())];
        let mut slowness = host.slowness * lognormal(0.35, rng);
        if is_within(&self.spells, now) {
            slowness *= 3.0;
        }
        if is_bad {
            slowness *= match self.kind {
                Kind::SlowAtOnce => 2.0,
                Kind::SlowUnderLoad => 2.5,
                _ => 1.0,
            };
        }
        let prompt: u64 = rng.random_range(50..1500);
        let hit_rate = if !is_new {
            0.7
        } else if self.noise.cold_caches {
            0.7 * (1.0 - (-self.new_version_requests / 3000.0).exp())
        } else {
            0.7
        };
        let is_hit = rng.random::<f64>() < hit_rate;
        let uncached = if is_hit { prompt / 5 } else { prompt };
        let generated: u64 = rng.random_range(5..60);
        let first_token = Duration::from_secs_f64((0.012 + 0.0002 * uncached as f64) * slowness);
        let generation = Duration::from_secs_f64(0.008 * generated as f64 * slowness);
        let mut total_time = first_token + generation;
        let mut end = AttemptEnd::Success;
        let burst = if is_within(&self.bursts, now) { 0.3 } else { 0.0 };
        if rng.random::<f64>() < self.noise.failures + burst {
            end = AttemptEnd::Failure;
        }
        let failure_rate = match self.kind {
            Kind::FailsAtOnce | Kind::FailsLater => 0.3,
            Kind::FailsUnderLoad | Kind::WronglyFramed => 0.2,
            Kind::FailsOnRoute | Kind::Hangs => 0.4,
            Kind::Good | Kind::SlowAtOnce | Kind::SlowUnderLoad => 0.0,
        };
        if is_bad && rng.random::<f64>() < failure_rate {
            end = AttemptEnd::Failure;
            if self.kind == Kind::Hangs {
                end = AttemptEnd::TimedOut;
                total_time = REQUEST_TIMEOUT;
            }
        }
        let ejected = Duration::from_millis(300);
        let crash = host.crashes.iter().find(|&&at| now + total_time > at && now < at + ejected);
        if let Some(&at) = crash {
            end = AttemptEnd::ConnectionLost;
            total_time = at.since(now);
        }
        let name = |text: &str| text.parse().expect("a name");
        let report = AttemptReport {
            route: route.parse().expect("a name"),
            service: "lantern".parse().expect("a name"),
            version: name(if is_new { "v2" } else { "v1" }),
            move_name: Some("lantern-v2".parse().expect("a name")),
            upstream: host.upstream.parse().expect("a name"),
            zone: host.zone.parse().expect("a name"),
            class: host.class.parse().expect("a name"),
            end,
            first_token: (end == AttemptEnd::Success).then_some(first_token),
            generation,
            uncached_prompt_tokens: Tokens(uncached),
            prompt_tokens: Tokens(prompt),
            generated_tokens: Tokens(generated),
            recomputed_tokens: Tokens(0),
        };
        if is_new {
            self.new_version_requests += 1.0;
        }
        self.record(now + total_time, is_new, is_full, &report);
        Attempt { total_time, report }
    }

    fn measure_load(&mut self, now: Time, is_new: bool) {
        if now.since(self.recent_since) > Duration::from_secs(1) {
            let (new, all) = self.recent;
            self.is_loaded = new * 3 > all;
            self.recent = (0, 0);
            self.recent_since = now;
        }
        self.recent.0 += u64::from(is_new);
        self.recent.1 += 1;
    }

    fn is_bad(&self, now: Time, route: &str) -> bool {
        match self.kind {
            Kind::Good => false,
            Kind::FailsAtOnce | Kind::SlowAtOnce | Kind::Hangs | Kind::WronglyFramed => true,
            Kind::FailsLater => now.since(self.move_start) > self.length.mul_f64(0.66),
            Kind::FailsUnderLoad | Kind::SlowUnderLoad => self.is_loaded,
            Kind::FailsOnRoute => route == "quotes",
        }
    }

    fn record(&mut self, ends: Time, is_new: bool, is_full: bool, report: &AttemptReport) {
        const WINDOW: Duration = Duration::from_secs(3);
        let index = (ends.since(self.move_start).as_micros() / WINDOW.as_micros()) as usize;
        while self.windows.len() <= index {
            self.windows.push(WindowSums::default());
        }
        let side = if is_new { Side::New } else { Side::Old };
        if let Some((cell, counts)) = evidence::count(report, side) {
            self.windows[index].cells.entry(cell).or_default().plus(&counts);
            self.windows[index].is_full |= is_full;
        }
    }
}

fn pick_route(rng: &mut Pcg64Mcg) -> &'static str {
    let mut position = rng.random::<f64>();
    for (route, part) in ROUTE_SHARES {
        if position < part {
            return route;
        }
        position -= part;
    }
    ROUTE_SHARES[0].0
}

fn is_within(spells: &[Time], now: Time) -> bool {
    spells.iter().any(|&from| from <= now && now < from + SPELL_DURATION)
}

/// Draws a factor whose logarithm is approximately normal, from the sum of 12 uniform numbers.
fn lognormal(sigma: f64, rng: &mut Pcg64Mcg) -> f64 {
    let sum: f64 = (0..12).map(|_| rng.random::<f64>()).sum();
    ((sum - 6.0) * sigma).exp()
}
