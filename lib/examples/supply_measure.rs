//! Measures the cost of meeting the latency target over a seeded day, against three baselines.
//!
//! The real supply state machine runs against the cloud stand-in on a simulated clock. Hosts are
//! simulated by a small model that carries work up to a capacity, which the state machine has to
//! estimate.
//! `cargo run --release -p dogwoodturn --example supply_measure [SEED]` prints one line for each
//! trace and policy. See `docs/design/supply.md`.

use std::{collections::VecDeque, time::Duration};

use dogwoodturn::{
    declaration::check,
    ids::{ClassName, Generation, HostId, Incarnation, ZoneName},
    ini::Source,
    store::{
        Operation, Reply,
        cloud::{CloudCall, CloudHost, HostKind, Offer, StartHost},
        memory::MemoryStore,
    },
    supply::{
        ClusterState, Effect, Event, Identity, Supply,
        lease::Holder,
        message::{ClassTotals, Demand, DemandScope, Message},
        rate::Work,
    },
    units::{PricePerHour, Time, WallTime},
    upstream::{HostRecord, HostState},
};
use dogwoodturn_standins::cloud::{Cloud, CloudFaults, HostEvent, Refused};
use indexmap::{IndexMap, IndexSet};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64;

const STEP: Duration = Duration::from_secs(5);
const DAY: Duration = Duration::from_hours(24);
/// The start of the day that is not counted, while capacities are estimated.
const WARM_UP: Duration = Duration::from_mins(30);
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
/// Name, capacity in work per second, reclaimable and on-demand price per hour, and start time in
/// seconds.
const CLASSES: [(&str, u64, u64, u64, u64); 3] = [
    ("small", 220, 150_000, 520_000, 60),
    ("standard", 500, 320_000, 1_000_000, 90),
    ("large", 1_050, 780_000, 2_300_000, 150),
];
/// The time between the cloud's reclaim notice and the reclaim.
const NOTICE: Duration = Duration::from_secs(30);
/// The work of one request, which converts demand into a number of requests.
const WORK_PER_REQUEST: u64 = 100;
/// The ratio of the requests outside the target to the excess over the capacity; it is more than 1
/// because queues delay other requests too.
const OVERLOAD_FACTOR: f64 = 5.0;
/// The latency of an idle host, in thousandths of the target; it grows linearly with the load and
/// reaches the target at capacity.
const IDLE_LATENCY_PER_MILLE: f64 = 300.0;
/// A host that was not leaving and is gone within this time after it started to run counts as
/// wasted.
const WASTED_IF_RELEASED_WITHIN: Duration = Duration::from_mins(10);
/// The time after the loss of a zone, or after a wave, in which its effect is measured.
const RECOVERY_WINDOW: Duration = Duration::from_mins(30);
const EPOCH: WallTime = WallTime(1_800_000_000_000);

#[derive(Clone, Copy, Debug, PartialEq)]
enum Trace {
    Steady,
    MarketOpen,
    FerryArrivals,
    Wave,
    RefusedStarts,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Policy {
    Plan,
    OnDemandForPeak,
    LowestPrice,
    Utilisation,
}

/// The results of one run.
#[derive(Clone, Debug, Default)]
struct Outcome {
    cost: f64,
    requests: f64,
    outside: f64,
    wasted: u64,
    started_twice: u64,
    longest_recovery: Duration,
    requests_after_loss: f64,
    outside_after_loss: f64,
}

struct Sim {
    now: Time,
    cloud: Cloud,
    rng: Pcg64,
    trace: Trace,
    peak: f64,
    supply: Supply,
    store: MemoryStore,
    inbox: VecDeque<Event>,
    hosts: Vec<HostRecord>,
    running_since: IndexMap<HostId, Time>,
    leaving: IndexSet<HostId>,
    tokens: IndexSet<Box<str>>,
    zone_loss: Option<(Time, usize)>,
    wave_end: Option<Time>,
    surplus_since: Option<Time>,
    outcome: Outcome,
    spent_before: f64,
    start_count: u64,
}

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("a valid name")
}

fn capacity(class: &ClassName) -> u64 {
    CLASSES.iter().find(|(c, ..)| *c == class.as_str()).map_or(0, |(_, capacity, ..)| *capacity)
}

fn declarations(largest: u32) -> ClusterState {
    let text = format!(
        "[service llm]\nkind = model\nversion = v1\nrepeat = safe\nmanaged = true\nsmallest = 3\n\
         largest = {largest}\n[version llm/v1]\nmodel = m\n"
    );
    let source = Source { file: "measure.ini".into(), text: text.into() };
    let set = check::check(&[source]).expect("the declarations are sound").set;
    ClusterState { generation: Generation(1), set: set.into(), ..ClusterState::default() }
}

impl Sim {
    fn new(trace: Trace, peak: f64, seed: u64, zone_loss: Option<(Time, usize)>) -> Self {
        let mut cloud = Cloud::new();
        for (class, _, _, _, start) in CLASSES {
            cloud.set_start_time(name(class), Duration::from_secs(start));
        }
        let mut sim = Self {
            now: Time(0),
            cloud,
            rng: Pcg64::seed_from_u64(seed),
            trace,
            peak,
            supply: Supply::new(),
            store: MemoryStore::new(),
            inbox: VecDeque::new(),
            hosts: Vec::new(),
            running_since: IndexMap::new(),
            leaving: IndexSet::new(),
            tokens: IndexSet::new(),
            zone_loss,
            wave_end: None,
            surplus_since: None,
            outcome: Outcome::default(),
            spent_before: 0.0,
            start_count: 0,
        };
        sim.set_prices();
        let holder = Holder { daemon: name("d-0"), incarnation: Incarnation(1) };
        let data_centre = name("zone-a");
        sim.handle_event(Event::Started(Identity { holder, data_centre }));
        sim
    }

    fn wall(&self) -> WallTime {
        EPOCH + self.now.since(Time(0))
    }

    fn hour(&self) -> f64 {
        self.now.since(Time(0)).as_secs_f64() / 3600.0
    }

    fn set_prices(&mut self) {
        let mut offers = Vec::new();
        for zone in ZONES {
            for (class, _, reclaimable, on_demand, _) in CLASSES {
                let factor = self.rng.random_range(80..=125);
                let kinds = [
                    (HostKind::Reclaimable, reclaimable * factor / 100),
                    (HostKind::OnDemand, on_demand),
                ];
                for (kind, price) in kinds {
                    let (zone, class) = (name(zone), name(class));
                    offers.push(Offer { zone, class, kind, price: PricePerHour(price) });
                }
            }
        }
        self.cloud.set_offers(self.now, offers);
    }

    /// Returns the current demand, in work per second; the maximum of a day is about `peak`.
    fn demand(&mut self) -> f64 {
        let hour = self.hour();
        let day = 0.45 + 0.4 * (std::f64::consts::PI * (hour - 5.0) / 15.0).sin().max(-0.5);
        let shape = match self.trace {
            Trace::Steady => 0.8,
            Trace::MarketOpen if (9.0..15.0).contains(&hour) => {
                0.3 + 0.65 * ((hour - 9.0) * 12.0).min(1.0)
            }
            Trace::MarketOpen => 0.3,
            Trace::FerryArrivals => {
                let minute = (hour * 60.0) % 45.0;
                let rises = (minute / 2.0).min(1.0) * ((12.0 - minute) / 2.0).clamp(0.0, 1.0);
                day * (0.6 + 0.55 * rises)
            }
            Trace::Wave | Trace::RefusedStarts => day,
        };
        let noise = self.rng.random_range(0.97..1.03);
        self.peak * shape * noise
    }

    fn inject_faults(&mut self) {
        let minute = (self.now.since(Time(0)).as_secs() / 60) as u32;
        let is_minute_start = self.now.since(Time(0)).as_secs().is_multiple_of(60);
        if is_minute_start && minute.is_multiple_of(30) {
            self.set_prices();
        }
        let mut faults = CloudFaults::default();
        if is_minute_start && minute % 60 == 17 {
            faults.lose_answers = 1;
        } else {
            faults.lose_answers = self.cloud.faults().lose_answers;
        }
        let refused = |zone: Option<&str>, class: Option<&str>| Refused {
            zone: zone.map(name),
            class: class.map(name),
            kind: Some(HostKind::Reclaimable),
        };
        if self.trace == Trace::RefusedStarts {
            match minute {
                480..720 => faults.refused.push(refused(Some(ZONES[1]), None)),
                800..920 => faults.refused.push(refused(None, Some("standard"))),
                _ => {}
            }
        }
        if let Some((at, zone)) = self.zone_loss
            && self.now >= at
            && self.now.since(at) < Duration::from_hours(1)
        {
            let zone = Some(name(ZONES[zone]));
            faults.refused.push(Refused { zone, ..Refused::default() });
        }
        self.cloud.set_faults(faults);
        self.inject_host_losses(is_minute_start, minute);
    }

    fn inject_host_losses(&mut self, is_minute_start: bool, minute: u32) {
        let waves = match self.trace {
            Trace::Wave => &[410, 745, 1090][..],
            Trace::RefusedStarts => &[550, 860][..],
            _ => &[][..],
        };
        if is_minute_start && waves.contains(&minute) {
            let zone: ZoneName = name(ZONES[minute as usize % ZONES.len()]);
            let reclaimed = self.cloud.reclaim(self.now, self.wall(), &zone, NOTICE);
            self.leaving.extend(reclaimed);
            self.wave_end = Some(self.now);
        }
        if let Some((at, zone)) = self.zone_loss
            && at == self.now
        {
            self.cloud.lose_zone(self.now, &name(ZONES[zone]));
        }
    }

    fn apply_cloud_events(&mut self) {
        self.cloud.advance(self.now);
        for event in self.cloud.take_events() {
            match event {
                HostEvent::Runs(host) => {
                    self.running_since.insert(host.host.clone(), self.now);
                    self.hosts.push(record(&host));
                }
                HostEvent::Gone(host) => {
                    let served = self.running_since.shift_remove(&host);
                    let was_leaving = self.leaving.shift_remove(&host);
                    let is_brief =
                        served.is_none_or(|at| self.now.since(at) < WASTED_IF_RELEASED_WITHIN);
                    self.outcome.wasted += u64::from(is_brief && !was_leaving);
                    self.hosts.retain(|record| record.host != host);
                }
            }
        }
    }

    fn serving(&self) -> impl Iterator<Item = &HostRecord> {
        self.hosts.iter().filter(|host| !self.leaving.contains(&host.host))
    }

    /// Serves the demand of one step and counts the requests outside the target.
    fn serve(&mut self, demand: f64) -> Vec<(ClassName, ClassTotals)> {
        let mut by_class: IndexMap<ClassName, u64> = IndexMap::new();
        for host in self.serving() {
            *by_class.entry(host.class.clone()).or_default() += capacity(&host.class);
        }
        let all = by_class.values().sum::<u64>() as f64;
        let excess = if all > 0.0 { (demand / all - 1.0).max(0.0) } else { 1.0 };
        let outside = (excess * OVERLOAD_FACTOR).min(1.0);
        let requests = demand * STEP.as_secs_f64() / WORK_PER_REQUEST as f64;
        self.count_outcome(requests, outside);
        let part = |(class, of): (ClassName, u64)| {
            let share = of as f64 / all;
            let done = (demand.min(all) * share * STEP.as_secs_f64()) as u64;
            let count = requests * share;
            let sum = ClassTotals {
                work: Work(done),
                within_target: (count * (1.0 - outside)) as u64,
                outside_target: (count * outside) as u64,
                latency_per_mille_sum: (count
                    * (IDLE_LATENCY_PER_MILLE + (1000.0 - IDLE_LATENCY_PER_MILLE) * demand / all))
                    as u64,
            };
            (class, sum)
        };
        by_class.into_iter().map(part).collect()
    }

    fn count_outcome(&mut self, requests: f64, outside: f64) {
        if self.now.since(Time(0)) < WARM_UP {
            return;
        }
        self.outcome.requests += requests;
        self.outcome.outside += requests * outside;
        if let Some((at, _)) = self.zone_loss
            && self.now >= at
            && self.now.since(at) < RECOVERY_WINDOW
        {
            self.outcome.requests_after_loss += requests;
            self.outcome.outside_after_loss += requests * outside;
        }
        if let Some(end) = self.wave_end {
            let elapsed = self.now.since(end);
            if outside > 0.0 && elapsed < RECOVERY_WINDOW {
                self.outcome.longest_recovery = self.outcome.longest_recovery.max(elapsed + STEP);
            }
        }
    }

    fn run(mut self, policy: Policy) -> Outcome {
        let hosts = (self.peak / 500.0).ceil() as u32;
        let cluster = declarations(hosts * 8);
        while self.now < Time(0) + DAY {
            self.now = self.now + STEP;
            self.inject_faults();
            self.apply_cloud_events();
            let demand = self.demand();
            let sums = self.serve(demand);
            match policy {
                Policy::Plan => self.run_plan(&cluster, sums),
                Policy::OnDemandForPeak => self.run_on_demand_for_peak(),
                Policy::LowestPrice => self.run_lowest_price(demand),
                Policy::Utilisation => self.run_utilisation(demand),
            }
            if self.now.since(Time(0)) == WARM_UP {
                self.spent_before = self.cloud.spent();
            }
        }
        self.outcome.cost = (self.cloud.spent() - self.spent_before) / 1e6;
        self.outcome.started_twice = self.cloud.started().saturating_sub(self.tokens.len() as u64);
        self.outcome
    }

    fn run_plan(&mut self, cluster: &ClusterState, classes: Vec<(ClassName, ClassTotals)>) {
        let hosts: Vec<HostRecord> = self.hosts.iter().map(|host| self.to_listed(host)).collect();
        self.handle_event(Event::StateChanged(ClusterState {
            hosts: hosts.into(),
            ..cluster.clone()
        }));
        let demand = Demand {
            service: name("llm"),
            data_centre: name("zone-a"),
            demand_scope: DemandScope::DataCentre,
            interval: STEP,
            classes,
        };
        self.handle_event(Event::Peer(name("d-1"), Message::Demand(demand)));
        self.handle_event(Event::Woken);
        while let Some(event) = self.inbox.pop_front() {
            self.handle_event(event);
        }
    }

    fn to_listed(&self, host: &HostRecord) -> HostRecord {
        let state = if self.leaving.contains(&host.host) {
            HostState::Leaving { at: self.wall() }
        } else {
            HostState::Live
        };
        HostRecord { state, ..host.clone() }
    }

    fn handle_event(&mut self, event: Event) {
        let mut out = Vec::new();
        let wall = self.wall();
        self.supply.handle(self.now, wall, event, &mut out);
        for effect in out {
            match effect {
                Effect::Call(call, _, Operation::Cloud(operation)) => {
                    let result = self.cloud(&operation).map(Reply::Cloud);
                    self.inbox.push_back(Event::CallEnded(call, result));
                }
                Effect::Call(call, _, operation) => {
                    let result = self.store.apply(&operation);
                    self.inbox.push_back(Event::CallEnded(call, result));
                }
                Effect::Leaving(host, _) => {
                    self.leaving.insert(host);
                }
                _ => {}
            }
        }
    }

    fn cloud(
        &mut self,
        call: &CloudCall,
    ) -> Result<dogwoodturn::store::cloud::CloudReply, dogwoodturn::store::CallError> {
        if let CloudCall::Start(start) = call {
            self.tokens.insert(start.client_token.clone());
        }
        self.cloud.apply(self.now, call)
    }

    /// Starts one host for a baseline, which retries with a new client token after a lost reply.
    fn start(&mut self, zone: &ZoneName, class: &ClassName, kind: HostKind) {
        self.start_count += 1;
        let start = StartHost {
            client_token: format!("baseline.{}", self.start_count).into(),
            zone: zone.clone(),
            class: class.clone(),
            kind,
            service: name("llm"),
            version: name("v1"),
        };
        let _ = self.cloud(&CloudCall::Start(start));
    }

    fn release(&mut self, host: &HostId) {
        let _ = self.cloud(&CloudCall::Release(host.clone()));
    }

    fn billed(&self) -> Vec<CloudHost> {
        let is_kept = |host: &&CloudHost| !self.leaving.contains(&host.host);
        self.cloud.hosts().filter(is_kept).cloned().collect()
    }

    /// Keeps enough on-demand hosts for the day's peak with a zone lost.
    fn run_on_demand_for_peak(&mut self) {
        let zones_left = ZONES.len() as f64 - 1.0;
        let each = (self.peak * 1.03 / zones_left / 500.0).ceil() as usize;
        for zone in ZONES {
            let zone: ZoneName = name(zone);
            let present = self.billed().iter().filter(|host| host.start.zone == zone).count();
            for _ in present..each {
                self.start(&zone, &name("standard"), HostKind::OnDemand);
            }
        }
    }

    /// Starts all hosts in the reclaimable pool that has the lowest price per work now.
    fn run_lowest_price(&mut self, demand: f64) {
        let Ok(dogwoodturn::store::cloud::CloudReply::Offers(offers)) =
            self.cloud(&CloudCall::Offers)
        else {
            return;
        };
        let cheap = offers.iter().filter(|offer| offer.kind == HostKind::Reclaimable);
        let price_per_work = |offer: &&Offer| offer.price.0 * 1000 / capacity(&offer.class);
        let Some(best) = cheap.min_by_key(price_per_work).cloned() else { return };
        let hosts = self.billed();
        let capacity_now: u64 = hosts.iter().map(|host| capacity(&host.start.class)).sum();
        let target_capacity = demand * 1.15;
        if (capacity_now as f64) < target_capacity {
            let missing = ((target_capacity - capacity_now as f64) / capacity(&best.class) as f64)
                .ceil() as u32;
            for _ in 0..missing {
                self.start(&best.zone, &best.class, best.kind);
            }
        }
        self.release_beyond(&hosts, target_capacity);
    }

    /// Keeps on-demand hosts in all zones at a utilisation of 60 %.
    fn run_utilisation(&mut self, demand: f64) {
        let hosts = self.billed();
        let capacity_now: u64 = hosts.iter().map(|host| capacity(&host.start.class)).sum();
        let target_capacity = demand / 0.6;
        if (capacity_now as f64) < target_capacity {
            let missing = ((target_capacity - capacity_now as f64) / 500.0).ceil() as u32;
            for index in 0..missing {
                let zone = name(ZONES[(hosts.len() + index as usize) % ZONES.len()]);
                self.start(&zone, &name("standard"), HostKind::OnDemand);
            }
        }
        self.release_beyond(&hosts, target_capacity);
    }

    fn release_beyond(&mut self, hosts: &[CloudHost], target_capacity: f64) {
        let capacity_now: u64 = hosts.iter().map(|host| capacity(&host.start.class)).sum();
        let Some(last) = hosts.last() else { return };
        let remaining = capacity_now as f64 - capacity(&last.start.class) as f64;
        if remaining < target_capacity {
            self.surplus_since = None;
            return;
        }
        let since = *self.surplus_since.get_or_insert(self.now);
        if self.now.since(since) >= Duration::from_mins(5) {
            self.release(&last.host.clone());
        }
    }
}

fn record(host: &CloudHost) -> HostRecord {
    let start = &host.start;
    HostRecord {
        host: host.host.clone(),
        upstream: name(host.host.as_str()),
        address: ([127, 0, 0, 1], 9).into(),
        data_centre: name(start.zone.as_str()),
        zone: start.zone.clone(),
        class: start.class.clone(),
        kind: start.kind,
        service: start.service.clone(),
        version: start.version.clone(),
        state: HostState::Live,
    }
}

/// Runs one policy over one trace: a day without a lost zone, and one day for the loss of each
/// zone.
fn measure(trace: Trace, peak: f64, seed: u64, policy: Policy) -> (Outcome, f64) {
    let day = Sim::new(trace, peak, seed, None).run(policy);
    let at = Time(0) + Duration::from_secs(12 * 3600 + 30);
    let mut worst: f64 = 1.0;
    for zone in 0..ZONES.len() {
        let with_loss = Sim::new(trace, peak, seed, Some((at, zone))).run(policy);
        worst =
            worst.min(1.0 - with_loss.outside_after_loss / with_loss.requests_after_loss.max(1.0));
    }
    (day, worst)
}

fn main() {
    let seed = std::env::args().nth(1).and_then(|seed| seed.parse().ok()).unwrap_or(1);
    let fleets = [("cooperative", 10.0 * 300.0), ("authority", 12.0 * 300.0)];
    let traces =
        [Trace::Steady, Trace::MarketOpen, Trace::FerryArrivals, Trace::Wave, Trace::RefusedStarts];
    println!("fleet trace policy cost ratio within% within-after-zone-loss% recovery wasted twice");
    for (fleet, peak) in fleets {
        let lines = std::thread::scope(|scope| {
            let run = |trace| scope.spawn(move || result_lines(fleet, peak, trace, seed));
            let threads = traces.map(run);
            threads.map(|thread| thread.join().expect("a run does not panic"))
        });
        for lines in &lines {
            print!("{lines}");
        }
    }
}

fn result_lines(fleet: &str, peak: f64, trace: Trace, seed: u64) -> String {
    let policies =
        [Policy::OnDemandForPeak, Policy::LowestPrice, Policy::Utilisation, Policy::Plan];
    let mut on_demand = None;
    let line = |policy| {
        let (day, worst) = measure(trace, peak, seed, policy);
        let base = *on_demand.get_or_insert(day.cost);
        format!(
            "{fleet} {trace:?} {policy:?} {:.1} {:.3} {:.2} {:.2} {}s {} {}\n",
            day.cost,
            day.cost / base,
            100.0 * (1.0 - day.outside / day.requests),
            100.0 * worst,
            day.longest_recovery.as_secs(),
            day.wasted,
            day.started_twice,
        )
    };
    policies.map(line).concat()
}
