//! Applies [`limit::contention`](dogwoodturn::limit::contention): counts what arrives at this daemon, sums the
//! reports of all daemons or follows the hub whose level counts, and refuses the requests that give way.
//!
//! See `docs/design/contention.md`.

use std::{fmt, time::Duration};

use dogwoodturn::{
    ids::{CustomerName, DaemonId, ServiceName},
    limit::contention::{
        AbsurdNumber, AdmittedShares, CustomerKey, Decision, DemandCounter, DemandReport,
        DemandSum, Level, LevelController, MAX_NUMBER, Outcome, Outcomes, Pair, check_number,
    },
    units::Time,
};
use indexmap::{IndexMap, IndexSet};
use serde::{
    Deserialize, Deserializer, Serialize, Serializer,
    de::{self, Visitor},
};

use crate::{
    directory::{Directory, Upstream},
    gateway::{Gateway, State, wall_clock},
    header_schema::Prompt,
    hubs::{HubMessage, Hubs, LevelSource, MAX_DAEMONS_WITHOUT_HUBS},
    peers::{PeerTable, StateMessage},
    placement::Placement,
    table::{Route, Service, Table},
};

/// The shortest time between two lines `contention-level` of a service.
const LEVEL_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Time without any share below 1 after which contention counts as ended: that of the demand averages.
const END_DELAY: Duration = Duration::from_secs(2);
/// The shortest time between two lines about malformed values of one peer.
const MALFORMED_LOG_INTERVAL: Duration = Duration::from_secs(60);
/// Factors, shares and demands are sent in thousandths.
const THOUSANDTHS: f64 = 1000.0;

/// A number of a message. It is sent as an integer, and every number is read, so that an absurd one does not
/// prevent the rest of its message from being read.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Number(pub f64);

impl Number {
    fn thousandths(value: f64) -> Self {
        Self((value * THOUSANDTHS).round())
    }

    /// Returns the value of a number in thousandths, if it is at most `max`.
    fn value(self, max: f64) -> Result<f64, AbsurdNumber> {
        check_number(self.0 / THOUSANDTHS, max)
    }

    /// Returns an integer of at most `max`.
    fn integer(self, max: f64) -> Result<u64, AbsurdNumber> {
        let number = check_number(self.0, max)?;
        if number.fract() == 0.0 { Ok(number as u64) } else { Err(AbsurdNumber(number)) }
    }
}

impl Serialize for Number {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if self.0.fract() == 0.0 && (0.0..=1e15).contains(&self.0) {
            serializer.serialize_u64(self.0 as u64)
        } else {
            serializer.serialize_f64(self.0)
        }
    }
}

impl<'de> Deserialize<'de> for Number {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(NumberVisitor)
    }
}

struct NumberVisitor;

impl Visitor<'_> for NumberVisitor {
    type Value = Number;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a number")
    }

    fn visit_u64<E: de::Error>(self, value: u64) -> Result<Number, E> {
        Ok(Number(value as f64))
    }

    fn visit_i64<E: de::Error>(self, value: i64) -> Result<Number, E> {
        Ok(Number(value as f64))
    }

    fn visit_f64<E: de::Error>(self, value: f64) -> Result<Number, E> {
        Ok(Number(value))
    }
}

/// A rank, the key of a customer, and its demand or share in thousandths.
type PairWire = (Number, Number, Number);

fn pair_to_wire(pair: Pair, value: f64) -> PairWire {
    let (rank, key) = (f64::from(pair.rank), f64::from(pair.customer.0));
    (Number(rank), Number(key), Number::thousandths(value))
}

fn pair_from_wire(wire: &PairWire, max: f64) -> Result<(Pair, f64), AbsurdNumber> {
    let (rank, key, value) = wire;
    let rank = rank.integer(u8::MAX.into())? as u8;
    let customer = CustomerKey(key.integer(u32::MAX.into())? as u32);
    Ok((Pair { rank, customer }, value.value(max)?))
}

/// One daemon's report on one service. The names of the fields are short, since every daemon sends it four
/// times a second.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DemandWire {
    #[serde(rename = "s")]
    pub service: ServiceName,
    /// The demand of each rank and customer.
    #[serde(rename = "d")]
    pub demands: Vec<PairWire>,
    /// First responses of the most urgent rank that were in time or late, and refusals instead of them.
    #[serde(rename = "n")]
    pub outcomes: [Number; 3],
    /// The capacity factor in thousandths, in systems without hubs.
    #[serde(rename = "f", default, skip_serializing_if = "Option::is_none")]
    pub factor: Option<Number>,
}

impl DemandWire {
    fn new(service: &ServiceName, report: &DemandReport, factor: Option<f64>) -> Self {
        let Outcomes { in_time, late, refused } = report.outcomes;
        Self {
            service: service.clone(),
            demands: report.demands.iter().map(|(pair, d)| pair_to_wire(*pair, *d)).collect(),
            outcomes: [in_time, late, refused].map(|count| Number(count as f64)),
            factor: factor.map(Number::thousandths),
        }
    }
}

impl TryFrom<&DemandWire> for DemandReport {
    type Error = AbsurdNumber;

    fn try_from(wire: &DemandWire) -> Result<Self, AbsurdNumber> {
        let demands = wire.demands.iter().map(|pair| pair_from_wire(pair, MAX_NUMBER));
        let [in_time, late, refused] = wire.outcomes.map(|count| count.integer(MAX_NUMBER));
        wire.factor.map(|factor| factor.value(MAX_NUMBER)).transpose()?;
        Ok(Self {
            demands: demands.collect::<Result<_, _>>()?,
            outcomes: Outcomes { in_time: in_time?, late: late?, refused: refused? },
        })
    }
}

/// The level of one service at a hub.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LevelWire {
    #[serde(rename = "s")]
    pub service: ServiceName,
    /// The capacity factor in thousandths.
    #[serde(rename = "f")]
    pub factor: Number,
    /// The admitted shares below 1.
    #[serde(rename = "a")]
    pub shares: Vec<PairWire>,
}

impl LevelWire {
    fn new(service: &ServiceName, level: &Level) -> Self {
        let shares = level.shares.iter().map(|(pair, share)| pair_to_wire(*pair, *share));
        Self {
            service: service.clone(),
            factor: Number::thousandths(level.factor),
            shares: shares.collect(),
        }
    }
}

impl TryFrom<&LevelWire> for Level {
    type Error = AbsurdNumber;

    fn try_from(wire: &LevelWire) -> Result<Self, AbsurdNumber> {
        let factor = wire.factor.value(MAX_NUMBER)?;
        let shares = wire.shares.iter().map(|pair| pair_from_wire(pair, 1.0));
        Ok(Self { factor, shares: shares.collect::<Result<_, _>>()? })
    }
}

/// The ranks of the requests to one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ranks {
    pub most_urgent: u8,
    /// See [`Table::ranks_contradict_timeouts`].
    pub is_urgent_slower: bool,
}

/// Returns the ranks of each service.
pub fn ranks(table: &Table) -> IndexMap<ServiceName, Ranks> {
    let mut most_urgent = IndexMap::<ServiceName, u8>::new();
    for route in table.routes.values().flatten() {
        let rank = most_urgent_rank(table, route);
        for (service, _) in route.services.iter().filter(|(_, weight)| *weight > 0) {
            let known = most_urgent.entry(service.clone()).or_insert(rank);
            *known = rank.min(*known);
        }
    }
    let ranks = most_urgent.into_iter().map(|(service, most_urgent)| {
        let is_urgent_slower = table.ranks_contradict_timeouts(&service);
        (service, Ranks { most_urgent, is_urgent_slower })
    });
    ranks.collect()
}

/// Returns the most urgent rank that a request of a route can have, as customers' ranks take precedence.
fn most_urgent_rank(table: &Table, route: &Route) -> u8 {
    if route.anonymous || table.customers.is_empty() {
        return route.priority;
    }
    let ranks = table.customers.values().map(|c| c.priority.unwrap_or(route.priority));
    ranks.min().unwrap_or(route.priority)
}

/// A request for which a share of its rank and customer decides.
#[derive(Clone, Copy, Debug)]
pub struct Arrival<'a> {
    pub table: &'a Table,
    pub route: &'a Route,
    pub service: &'a ServiceName,
    pub customer: Option<&'a CustomerName>,
    pub rank: u8,
    /// The content hash of the request.
    pub content: u64,
    pub prompt: &'a Prompt,
}

/// Why and until when a request gives way.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GivingWay {
    pub rank: u8,
    /// The share of such requests that is admitted.
    pub share: f64,
    pub retry_after: Duration,
}

#[derive(Clone, Debug, Default)]
struct ServiceContention {
    counter: DemandCounter,
    controller: LevelController,
    shares: AdmittedShares,
    /// Whether a line `contention-started` was logged that no `contention-ended` followed.
    is_started: bool,
    /// When a share was last below 1.
    reduced_at: Option<Time>,
    level_logged_at: Option<Time>,
    /// The ranks whose share is shown in the metrics.
    shown_ranks: Vec<u8>,
}

impl ServiceContention {
    /// Logs the begin and the end of contention, and the level where it was computed.
    fn log(&mut self, now: Time, service: &ServiceName, computed: Option<(f64, f64)>) {
        let gives_way = !self.shares.lowest_by_rank(now).is_empty();
        if gives_way {
            self.reduced_at = Some(now);
        }
        if gives_way && !self.is_started {
            self.is_started = true;
            log::info!(event = "contention-started", service:%; "");
        }
        let has_ended = self.reduced_at.is_none_or(|at| now.since(at) >= END_DELAY);
        if self.is_started && has_ended {
            self.is_started = false;
            log::info!(event = "contention-ended", service:%; "");
        }
        let Some((capacity, demand)) = computed.filter(|_| gives_way) else { return };
        if self.level_logged_at.is_none_or(|at| now.since(at) >= LEVEL_LOG_INTERVAL) {
            self.level_logged_at = Some(now);
            let level = self.controller.level();
            let (factor, lowest) = (level.factor, level.lowest_share());
            log::info!(event = "contention-level", service:%, capacity, demand, factor, lowest_share = lowest; "");
        }
    }
}

/// What this daemon knows of the services that are under contention or may be.
#[derive(Clone, Debug, Default)]
pub struct Contention {
    /// The version of the table that the ranks are of.
    table: u64,
    ranks: IndexMap<ServiceName, Ranks>,
    /// The services whose upstreams report a pace.
    paced: IndexSet<ServiceName>,
    services: IndexMap<ServiceName, ServiceContention>,
    /// When a line about malformed values of a peer was last logged.
    malformed_logged: IndexMap<DaemonId, Time>,
}

impl Contention {
    /// Updates the ranks if there is another table.
    fn set_table(&mut self, table: &Table) {
        if self.table != table.version {
            self.table = table.version;
            self.ranks = ranks(table);
        }
    }

    /// Reports whether requests to a service may give way.
    fn is_on(&self, service: &ServiceName) -> bool {
        let is_urgent_slower = self.ranks.get(service).is_some_and(|ranks| ranks.is_urgent_slower);
        is_urgent_slower || self.paced.contains(service)
    }

    /// Records a first response, if it is of the most urgent rank of a service.
    fn record_outcome(&mut self, now: Time, service: &ServiceName, rank: u8, outcome: Outcome) {
        let is_urgent = self.ranks.get(service).is_some_and(|ranks| rank <= ranks.most_urgent);
        if let Some(state) = self.services.get_mut(service).filter(|_| is_urgent) {
            state.counter.record_outcome(now, outcome);
        }
    }

    /// Returns this daemon's reports for its state message.
    pub fn reports(&mut self, now: Time, daemons: u32) -> Vec<DemandWire> {
        let has_hubs = daemons > MAX_DAEMONS_WITHOUT_HUBS;
        let report = |(service, state): (&ServiceName, &mut ServiceContention)| {
            let factor = (!has_hubs).then_some(state.controller.level().factor);
            DemandWire::new(service, &state.counter.report(now), factor)
        };
        self.services.iter_mut().map(report).collect()
    }

    /// Returns the levels for a hub's message, and `None` if no service may be under contention.
    pub fn levels(&self) -> Option<Vec<LevelWire>> {
        let reduced = |(service, state): (&ServiceName, &ServiceContention)| {
            let level = state.controller.level();
            (!level.shares.is_empty()).then(|| LevelWire::new(service, level))
        };
        (!self.services.is_empty()).then(|| self.services.iter().filter_map(reduced).collect())
    }

    /// Removes a peer's reports if a number of them is absurd.
    pub fn discard_absurd_reports(&mut self, now: Time, message: &mut StateMessage) {
        let result =
            message.contention.iter().try_for_each(|r| DemandReport::try_from(r).map(drop));
        if let Err(error) = result {
            message.contention.clear();
            self.log_malformed(now, &message.daemon, error);
        }
    }

    /// Removes a hub's levels if a number of them is absurd.
    pub fn discard_absurd_levels(&mut self, now: Time, message: &mut HubMessage) {
        let mut levels = message.levels.iter().flatten();
        if let Err(error) = levels.try_for_each(|level| Level::try_from(level).map(drop)) {
            message.levels = None;
            self.log_malformed(now, &message.daemon, error);
        }
    }

    fn log_malformed(&mut self, now: Time, peer: &DaemonId, error: AbsurdNumber) {
        self.malformed_logged.retain(|_, at| now.since(*at) < MALFORMED_LOG_INTERVAL);
        if !self.malformed_logged.contains_key(peer) {
            self.malformed_logged.insert(peer.clone(), now);
            log::warn!(event = "malformed-contention", peer:%, error:%; "demand or shares of a peer are ignored");
        }
    }

    /// Returns the lowest share of each rank for the metrics; 1 for a rank that no longer gives way.
    fn shown_shares(&mut self, now: Time) -> Vec<(ServiceName, u8, f64)> {
        let mut shown = Vec::new();
        for (service, state) in &mut self.services {
            let lowest = state.shares.lowest_by_rank(now);
            state.shown_ranks.retain(|rank| !lowest.contains_key(rank));
            let recovered = std::mem::take(&mut state.shown_ranks);
            shown.extend(recovered.into_iter().map(|rank| (service.clone(), rank, 1.0)));
            shown.extend(lowest.iter().map(|(rank, share)| (service.clone(), *rank, *share)));
            state.shown_ranks = lowest.into_keys().collect();
        }
        shown
    }
}

/// Whose level counts at this daemon.
enum Source<'a> {
    /// This daemon sums all reports. Without hubs, the factor is that of the first live daemon by name, so that
    /// all daemons agree on it.
    Own { has_hubs: bool },
    /// That of a hub, with the time of its message.
    Hub(&'a [LevelWire], Time),
    /// None: the daemon is cut off.
    Unknown,
}

impl<'a> Source<'a> {
    fn new(now: Time, peers: &PeerTable, hubs: &'a Hubs, is_leader: bool) -> Self {
        let live_peers = peers.live_count(now);
        if peers.size() <= MAX_DAEMONS_WITHOUT_HUBS {
            let is_cut_off = peers.size() > 1 && live_peers == 0;
            return if is_cut_off { Self::Unknown } else { Self::Own { has_hubs: false } };
        }
        match hubs.level_source(now, peers.reporting_count(now), is_leader) {
            LevelSource::Own => Self::Own { has_hubs: true },
            LevelSource::Hub(levels, received_at) => Self::Hub(levels, received_at),
            LevelSource::Unknown => Self::Unknown,
        }
    }
}

/// Returns the capacity of an upstream as a multiple of the usual one.
fn upstream_weight(placement: &Placement, upstream: &Upstream) -> f64 {
    placement.usual_pace(&upstream.record.id).map_or(1.0, |pace| 1.0 / pace.factor())
}

/// Reports whether the upstreams of a service report their pace, so that its capacity changes while the demand
/// does not.
fn reports_pace(
    now: Time,
    directory: &Directory,
    placement: &Placement,
    service: &ServiceName,
) -> bool {
    let live = directory.live(now, service);
    live.iter().any(|upstream| placement.usual_pace(&upstream.record.id).is_some())
}

/// Returns the capacity of a service in the unit of its demand: engines, or slots of plain upstreams.
fn capacity(now: Time, directory: &Directory, placement: &Placement, service: &Service) -> f64 {
    let unit = |upstream: &Upstream| match service.engine {
        Some(_) => 1.0,
        None => f64::from(upstream.record.slots.max(1)),
    };
    let live = directory.live(now, &service.name);
    live.into_iter().map(|upstream| upstream_weight(placement, upstream) * unit(upstream)).sum()
}

/// Returns the reports of the live peers on a service.
fn peer_reports<'a>(
    now: Time,
    peers: &'a PeerTable,
    service: &'a ServiceName,
) -> impl Iterator<Item = (&'a DaemonId, &'a DemandWire)> {
    peers.live_messages(now).flat_map(move |message| {
        let of_service = message.contention.iter().filter(move |wire| wire.service == *service);
        of_service.map(move |wire| (&message.daemon, wire))
    })
}

impl State {
    /// Computes or follows the level of each service on which requests may give way.
    pub fn update_contention(&mut self, now: Time) {
        let Some(table) = self.active_table().cloned() else { return };
        let is_leader = self.lease.fence(now).is_some();
        let Self { contention, directory, hubs, peer_table, placement, .. } = self;
        contention.set_table(&table);
        let names = table.services.keys();
        let paced = names.filter(|name| reports_pace(now, directory, placement, name));
        contention.paced = paced.cloned().collect();
        let is_on: Vec<_> =
            table.services.values().filter(|service| contention.is_on(&service.name)).collect();
        contention.services.retain(|name, _| is_on.iter().any(|service| service.name == *name));
        if is_on.is_empty() {
            return;
        }
        let source = Source::new(now, peer_table, hubs, is_leader);
        for service in is_on {
            let name = &service.name;
            let state = contention.services.entry(name.clone()).or_default();
            let mut computed = None;
            match source {
                Source::Own { has_hubs } => {
                    let mut sum = DemandSum::default();
                    // What was received has been checked, so that no report is left out here.
                    let _ = sum.add(&state.counter.report(now));
                    for (_, wire) in peer_reports(now, peer_table, name) {
                        let _ = DemandReport::try_from(wire).and_then(|report| sum.add(&report));
                    }
                    if !has_hubs {
                        let earlier = peer_reports(now, peer_table, name)
                            .filter(|(daemon, _)| peer_table.precedes(daemon));
                        let first = earlier.min_by_key(|(daemon, _)| *daemon);
                        let factor = first.and_then(|(_, wire)| wire.factor);
                        if let Some(Ok(factor)) = factor.map(|factor| factor.value(MAX_NUMBER)) {
                            state.controller.adopt_factor(factor);
                        }
                    }
                    let capacity = capacity(now, directory, placement, service);
                    state.controller.update(now, capacity, &sum);
                    state.shares.receive(now, now, state.controller.level().clone());
                    computed = Some((capacity, sum.total()));
                }
                Source::Hub(levels, received_at) => {
                    let found = levels.iter().find(|wire| wire.service == *name);
                    let level = found.and_then(|wire| Level::try_from(wire).ok());
                    let factor = state.controller.level().factor;
                    let level = level.unwrap_or(Level { factor, shares: IndexMap::new() });
                    state.controller.adopt(now, &level);
                    state.shares.receive(now, received_at, level);
                }
                Source::Unknown => {}
            }
            state.shares.refresh(now);
            state.log(now, name, computed);
        }
    }

    /// Counts a request that arrived, and returns why it is refused if it gives way. The demand of a refused
    /// request counts for ordering hosts here; that of others counts when an upstream is chosen.
    pub fn check_contention(&mut self, now: Time, arrival: &Arrival<'_>) -> Option<GivingWay> {
        let Arrival { table, route, service, rank, .. } = *arrival;
        let Self { contention, placement, peer_table, .. } = self;
        contention.set_table(table);
        if !contention.is_on(service) {
            return None;
        }
        let is_engine = table.services.get(service).is_some_and(|s| s.engine.is_some());
        let work = placement.expected_work(service, is_engine, arrival.prompt);
        if !contention.services.contains_key(service) {
            contention.services.insert(service.clone(), ServiceContention::default());
        }
        let state = contention.services.get_mut(service)?;
        let pair = Pair { rank, customer: CustomerKey::new(arrival.customer) };
        state.counter.record_arrival(now, pair, work);
        if state.shares.share(now, pair) >= 1.0 {
            return None;
        }
        let wall = peer_table.agreed_time(now, wall_clock());
        let decision = state.shares.decide(now, pair, arrival.content, wall, route.timeout);
        let Decision::GivesWay { share, retry_after } = decision else { return None };
        if is_engine {
            placement.add_demand(now, service, work);
        }
        Some(GivingWay { rank, share, retry_after })
    }

    /// Records whether the first response of a request was in time.
    pub fn record_contention_response(
        &mut self,
        now: Time,
        service: &ServiceName,
        rank: u8,
        is_in_time: bool,
    ) {
        let outcome = if is_in_time { Outcome::InTime } else { Outcome::Late };
        self.contention.record_outcome(now, service, rank, outcome);
    }

    /// Records how a request without a response of an upstream ended, by the reason of its local response.
    pub fn record_contention_failure(
        &mut self,
        now: Time,
        service: &ServiceName,
        rank: u8,
        reason: &str,
    ) {
        let outcome = match reason {
            "refused-wait" | "refused-by-upstream" | "refused-late" => Outcome::Refused,
            "timed-out" => Outcome::Late,
            _ => return,
        };
        self.contention.record_outcome(now, service, rank, outcome);
    }
}

impl Gateway {
    /// Updates the admitted shares and shows them in the metrics.
    pub fn update_contention(&self, now: Time) {
        let mut state = self.state.borrow_mut();
        state.update_contention(now);
        for (service, rank, share) in state.contention.shown_shares(now) {
            self.metrics.set_contention_share(service.as_str(), rank, share);
        }
    }
}
