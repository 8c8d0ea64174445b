//! Selects the upstream for a request, or refuses the request.
//!
//! Load pattern: bursts and reclaimed data centres leave fewer engines than the requests need,
//! while each daemon's view of the other daemons' work is some hundred milliseconds old. For each
//! upstream, the time to the first response is predicted from the work of this daemon and its peers
//! there, from the parts that the prompt shares with prompts sent there before, and from the error
//! of earlier predictions. The request goes to the upstream with the lowest score, which is this
//! time plus penalties. If the queueing delay is too long at every upstream, the request is refused
//! at once with the time after which there should be capacity, since queueing it would also delay
//! the requests behind it. Only the queueing delay is bounded, so that a long prompt is not refused
//! for its length.

use std::time::Duration;

use dogwoodturn::{
    ids::{DaemonId, DataCentre, Region, ServiceName, UpstreamId},
    limit::brittle::Occupancy,
    units::Time,
    upstream::speed::{self, Pace, Speed},
};
use indexmap::IndexMap;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{
    directory::Upstream,
    header_schema::{LoadReport, Prompt, PromptPart, ReportedPace},
    peers::WORK_INTERVAL,
    rollout::VersionRule,
    table::{EngineCapacity, Table},
};

/// Prefill rate of an engine until responses have been observed.
const INITIAL_PREFILL_TOKENS_PER_MS: f64 = 100.0;
/// Prompt length at which attention costs as much as all other prefill work; typical of engines.
const ATTENTION_PARITY_TOKENS: f64 = 50_000.0;
/// Time to the first token without prefill, until responses have been observed.
const INITIAL_BASE_MS: f64 = 50.0;
/// Total time of a request until responses have been observed.
const INITIAL_RUN_MS: f64 = 40.0;
/// Share of the shared prompt tokens that engines have in their memory, until requests have been sent: half, as
/// little is known.
const INITIAL_CACHED_SHARE: f64 = 0.5;
/// Weight of a new sample in a service's averages, except for the prefill rate.
const SERVICE_SAMPLE_WEIGHT: f64 = 0.05;
/// Weight of a sample that raises the prefill rate. It exceeds [`PREFILL_RATE_FALL_WEIGHT`] because
/// work that this daemon does not know of slows single responses, so that the faster ones show the
/// engine's speed.
const PREFILL_RATE_RISE_WEIGHT: f64 = 0.06;
/// Weight of a sample that lowers the prefill rate.
const PREFILL_RATE_FALL_WEIGHT: f64 = 0.02;
/// Weight of a new sample in the failure score and slowness of one upstream; a daemon has few
/// samples of each.
const UPSTREAM_SAMPLE_WEIGHT: f64 = 0.2;
/// Failure sample of a late response, where a failure is 1.
const LATE_FAILURE_SAMPLE: f64 = 0.5;
/// Time in which the failure score and the excess slowness of an upstream decay by half.
const FAILURE_HALF_LIFE_MS: f64 = 2500.0;
/// Failure score up to which an upstream has no penalty, since some services answer with errors of
/// their own.
const TOLERATED_FAILURE_SCORE: f64 = 0.25;
/// Score penalty of an upstream whose failure score is 1.
const FAILURE_PENALTY_MS: f64 = 1500.0;
/// Score penalty of an upstream in another data centre.
const REMOTE_PENALTY_MS: f64 = 3.0;
/// Score penalty for each second that an upstream stays slow after its start.
const WARM_UP_PENALTY_MS_PER_S: f64 = 10.0;
/// Score penalty of an upstream all of whose slots are in use, in proportion to the slots in use,
/// so that otherwise equal upstreams share the load; worth a few round trips to another data
/// centre.
const FULL_SLOTS_PENALTY_MS: f64 = 12.0;
/// Score penalty for each shared token that has to be recomputed, although the response is in time,
/// since recomputation takes engine time from other requests.
const RECOMPUTE_PENALTY_MS_PER_TOKEN: f64 = 0.04;
/// Share of the latency target up to which the recomputation penalty raises a score.
const RECOMPUTE_TARGET_SHARE: f64 = 0.6;
/// Time for which the load that an upstream reported with a response is used.
const LOAD_REPORT_TTL: Duration = Duration::from_millis(150);
/// Time for which an upstream that refused connections is not selected if there are others.
const UNREACHABLE_COOLDOWN: Duration = Duration::from_millis(700);
/// Time after its last use for which a prompt part is expected in an engine's memory.
const PART_CACHE_TTL: Duration = Duration::from_secs(20);
const MAX_PARTS_PER_UPSTREAM: usize = 2048;
/// Share of an engine's memory for running requests; the rest holds shared prompt parts.
const USABLE_MEMORY_SHARE: f64 = 0.9;
/// Share of the latency target up to which a request may be queued.
const MAX_WAIT_TARGET_SHARE: f64 = 0.6;
/// Share of the longest accepted queueing delay to which the queue should have fallen when a
/// refused caller retries.
const RETRY_WAIT_SHARE: f64 = 0.5;
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Time constant of the demand average.
const DEMAND_WINDOW: Duration = Duration::from_secs(2);
/// Engine time per generated token, without the time that the requests of a batch share.
const DECODE_MS_PER_TOKEN: f64 = 0.06;
/// Upper bound of an upstream's slowness factor.
const MAX_SLOWNESS: f64 = 12.0;
/// Weight of the expected time of the output in the score, against the time to the first response: a
/// target bounds the latter, and pauses are short as long as an engine keeps up.
const OUTPUT_WEIGHT: f64 = 0.1;
/// Predicted times whose difference is at most this are equal: a few decode steps of an engine, and far
/// below the shortest latency target.
const TIE_MS: f64 = 10.0;
/// Time for which a daemon keeps its order of equal upstreams; daemons report their work as often.
const TIE_INTERVAL: Duration = WORK_INTERVAL;
/// Time after the last request of a service whose waits are counted by rank for which the work of its
/// most urgent rank is reported to peers: as long as most requests take.
const RANKED_TTL: Duration = Duration::from_secs(60);
/// Longest time that is predicted; no caller waits for so long.
const MAX_PREDICTED: Duration = Duration::from_secs(24 * 60 * 60);

/// Work in progress at one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Work {
    pub requests: u32,
    /// Prompt tokens that still have to be prefilled, weighted by the cost of attention.
    pub pending_prefill_tokens: u64,
    /// Memory of its requests in tokens.
    pub memory: u64,
}

impl Work {
    /// Adds work that peers reported, of which any number may be absurd.
    pub fn saturating_add(&mut self, other: Self) {
        self.requests = self.requests.saturating_add(other.requests);
        self.pending_prefill_tokens =
            self.pending_prefill_tokens.saturating_add(other.pending_prefill_tokens);
        self.memory = self.memory.saturating_add(other.memory);
    }

    /// Returns the work with each number limited to that of the whole.
    #[must_use]
    pub fn limited_to(self, whole: Self) -> Self {
        Self {
            requests: self.requests.min(whole.requests),
            pending_prefill_tokens: self.pending_prefill_tokens.min(whole.pending_prefill_tokens),
            memory: self.memory.min(whole.memory),
        }
    }
}

/// Which work at an upstream a request waits for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RankClass {
    /// All work: the service's requests are not told apart by rank.
    #[default]
    Unranked,
    /// Only the work of the most urgent rank, which engines admit first.
    MostUrgent,
    /// All work, including that of more urgent ranks.
    LessUrgent,
}

impl RankClass {
    /// Returns which work a request of a rank waits for.
    pub fn of(table: &Table, service: &ServiceName, rank: u8) -> Self {
        if !table.ranks_contradict_timeouts(service) {
            Self::Unranked
        } else if table.is_most_urgent(service, rank) {
            Self::MostUrgent
        } else {
            Self::LessUrgent
        }
    }
}

/// What the peers reported about an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PeerView {
    /// Sum over the peers.
    pub work: Work,
    /// The part of the most urgent rank, where waits are counted by rank.
    pub urgent_work: Work,
    /// The highest failure score of any peer, from 0 to 1.
    pub failure_score: f64,
}

#[derive(Clone, Debug)]
struct UpstreamState {
    work: Work,
    /// The part of the most urgent rank, where waits are counted by rank.
    urgent_work: Work,
    failure_score: f64,
    slowness: f64,
    decayed_at: Time,
    down_until: Time,
    parts: IndexMap<u64, Time>,
    load: Option<(Time, LoadReport)>,
    /// Absent until the upstream has reported a pace; boxed since most upstreams report none.
    speed: Option<Box<Speed>>,
    peers: PeerView,
    /// The requests that the peers keep there.
    held_by_peers: u32,
}

impl Default for UpstreamState {
    fn default() -> Self {
        Self {
            work: Work::default(),
            urgent_work: Work::default(),
            failure_score: 0.0,
            slowness: 1.0,
            decayed_at: Time::default(),
            down_until: Time::default(),
            parts: IndexMap::new(),
            load: None,
            speed: None,
            peers: PeerView::default(),
            held_by_peers: 0,
        }
    }
}

impl UpstreamState {
    /// Decays the failure score and the slowness, so that an upstream that was avoided is tried
    /// again.
    fn decay(&mut self, now: Time) {
        let elapsed = now.since(self.decayed_at).as_secs_f64() * 1000.0;
        let kept = 0.5_f64.powf(elapsed / FAILURE_HALF_LIFE_MS);
        self.failure_score *= kept;
        self.slowness = 1.0 + (self.slowness - 1.0) * kept;
        self.decayed_at = now;
    }

    /// Returns the work of this daemon and its peers.
    fn total_work(&self) -> Work {
        Work {
            requests: self.work.requests + self.peers.work.requests,
            pending_prefill_tokens: self.work.pending_prefill_tokens
                + self.peers.work.pending_prefill_tokens,
            memory: self.work.memory + self.peers.work.memory,
        }
    }

    /// Returns the work that a request waits for.
    fn work_ahead(&self, rank: RankClass) -> Work {
        match rank {
            RankClass::Unranked | RankClass::LessUrgent => self.total_work(),
            RankClass::MostUrgent => {
                let mut work = self.urgent_work;
                work.saturating_add(self.peers.urgent_work);
                work
            }
        }
    }

    /// Returns the work of this daemon's requests of a rank and of all its requests.
    fn own_work(&mut self, rank: RankClass) -> impl Iterator<Item = &mut Work> {
        let urgent = (rank == RankClass::MostUrgent).then_some(&mut self.urgent_work);
        [&mut self.work].into_iter().chain(urgent)
    }

    /// Returns the number of requests at the upstream, including those that only the upstream
    /// itself reported.
    fn requests(&self, now: Time) -> u32 {
        self.total_work().requests.max(self.reported_requests(now).unwrap_or(0))
    }

    /// Returns the number of requests that the upstream itself reported recently.
    fn reported_requests(&self, now: Time) -> Option<u32> {
        let reported = self.load.filter(|(at, _)| now.since(*at) < LOAD_REPORT_TTL);
        reported.map(|(_, load)| load.running + load.waiting)
    }

    /// Returns the factor by which work takes longer here than on average: the pace that the upstream
    /// reports, or else the slowness of its responses.
    fn slowness(&self, pace: Option<f64>) -> f64 {
        pace.unwrap_or(self.slowness)
    }

    fn failure_penalty_ms(&self) -> f64 {
        let failure_score = self.failure_score.max(self.peers.failure_score);
        if failure_score > TOLERATED_FAILURE_SCORE {
            failure_score * FAILURE_PENALTY_MS
        } else {
            0.0
        }
    }
}

/// Averages over all upstreams of a service. Times at upstreams that report a pace count as if the pace
/// were 100%.
#[derive(Clone, Copy, Debug)]
struct ServiceState {
    prefill_tokens_per_ms: f64,
    /// Time to the first token without prefill.
    base_ms: f64,
    /// Total time of a request.
    run_ms: f64,
    /// Time from the first response to the end, for each token that the response may have; zero until
    /// responses have been observed.
    output_ms_per_token: f64,
    /// Share of the shared prompt tokens that engines had in their memory.
    cached_share: f64,
    /// Engines that recent requests keep busy, as of `demand_at`.
    demand: f64,
    demand_at: Time,
}

impl ServiceState {
    /// Returns the number of engines that recently arrived requests keep busy.
    fn demand(&self, now: Time) -> f64 {
        let elapsed = now.since(self.demand_at).as_secs_f64();
        self.demand * (-elapsed / DEMAND_WINDOW.as_secs_f64()).exp()
    }

    /// Returns the time for which a request keeps an engine busy.
    fn engine_time(&self, prompt: &Prompt, uncached_tokens: u64) -> Duration {
        let prefill_ms = prefill_cost_tokens(uncached_tokens) / self.prefill_tokens_per_ms;
        let decode_ms = prompt.output as f64 * DECODE_MS_PER_TOKEN;
        predicted_duration(prefill_ms + decode_ms)
    }

    fn record_arrival(&mut self, now: Time, work: Duration) {
        self.demand = self.demand(now) + work.as_secs_f64() / DEMAND_WINDOW.as_secs_f64();
        self.demand_at = now;
    }
}

impl Default for ServiceState {
    fn default() -> Self {
        Self {
            prefill_tokens_per_ms: INITIAL_PREFILL_TOKENS_PER_MS,
            base_ms: INITIAL_BASE_MS,
            run_ms: INITIAL_RUN_MS,
            output_ms_per_token: 0.0,
            cached_share: INITIAL_CACHED_SHARE,
            demand: 0.0,
            demand_at: Time::default(),
        }
    }
}

/// The regions that may receive a request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Homes<'a> {
    /// The regions that its route and its customer allow, each of which binds unless it is empty.
    pub allowed: [&'a [Region]; 2],
    /// The region of each data centre, as far as it is known.
    pub regions: Option<&'a IndexMap<DataCentre, Region>>,
}

impl Homes<'_> {
    /// Reports whether any region is excluded.
    pub fn bind(&self) -> bool {
        self.allowed.iter().any(|allowed| !allowed.is_empty())
    }

    /// Reports whether the request may be sent to a data centre. A data centre whose region is unknown
    /// is none of its homes.
    pub fn allow(&self, data_centre: &DataCentre) -> bool {
        if !self.bind() {
            return true;
        }
        let Some(region) = self.regions.and_then(|regions| regions.get(data_centre)) else {
            return false;
        };
        self.allowed.iter().all(|allowed| allowed.is_empty() || allowed.contains(region))
    }
}

/// Requirements of a request on its upstream.
#[derive(Clone, Debug)]
pub struct SelectionCriteria<'a> {
    pub service: &'a ServiceName,
    /// Present for a model service only.
    pub engine: Option<EngineCapacity>,
    /// Empty for a plain service.
    pub prompt: &'a Prompt,
    /// The data centre of this daemon.
    pub local_data_centre: &'a DataCentre,
    /// The time to the first response up to which a response has its full value for the caller.
    pub latency_target: Duration,
    /// The time for which the caller still waits.
    pub remaining: Duration,
    /// Upstreams that have already received the request.
    pub tried: &'a [UpstreamId],
    /// The versions that may run the request while a rollout is in progress.
    pub versions: VersionRule,
    pub homes: Homes<'a>,
    pub rank: RankClass,
}

impl SelectionCriteria<'_> {
    /// Reports whether an upstream may run the request and has not received it yet.
    pub fn allows(&self, upstream: &Upstream) -> bool {
        self.versions.allows(&upstream.record.version)
            && !self.tried.contains(&upstream.record.id)
            && self.homes.allow(&upstream.record.data_centre)
    }
}

/// The result of [`Placement::choose`].
#[derive(Clone, Debug, PartialEq)]
pub enum Selection {
    Upstream(Ticket),
    /// The queueing delay is too long at every upstream, or the response is predicted later than
    /// the caller waits.
    Refused {
        /// When there should be capacity.
        retry_after: Duration,
        /// The shortest queueing delay of all candidates.
        wait: Duration,
    },
    /// No upstream accepts new work.
    NoUpstream,
}

/// The accounting of a request at an upstream, from its selection to the end of its response.
#[derive(Clone, Debug, PartialEq)]
pub struct Ticket {
    pub upstream: UpstreamId,
    /// The predicted time to the first response.
    pub predicted: Duration,
    /// When the upstream was selected.
    pub chosen_at: Time,
    /// The prefill cost of its prompt; see [`prefill_cost_tokens`].
    prefill_tokens: u64,
    memory: u64,
    /// The prefill cost of the work that was pending at the upstream when it was selected.
    prefill_tokens_ahead: u64,
    is_prefilling: bool,
    /// The factor of the pace that the upstream reported, if it reports one.
    pace: Option<f64>,
    rank: RankClass,
    /// The maximum number of tokens in the response.
    output_tokens: u64,
    first_response_at: Option<Time>,
}

/// How an attempt ended, as evidence about the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    Answered,
    /// The upstream answered with an error of its own, or refused the request.
    Failed,
    /// The upstream could not be reached, or broke the connection.
    Broken,
    /// The upstream had not answered when the request was sent to another one.
    Late,
    /// The caller disconnected, which says nothing about the upstream.
    Unknown,
}

#[derive(Clone, Debug, Default)]
pub struct Placement {
    upstreams: IndexMap<UpstreamId, UpstreamState>,
    services: IndexMap<ServiceName, ServiceState>,
    pace_changes: Vec<speed::Change>,
    /// When a request was last selected for whose service waits are counted by rank.
    ranked_at: Option<Time>,
    /// A hash of this daemon's name, so that daemons differ in their order of equal upstreams.
    tie_seed: u64,
}

struct Estimate<'a> {
    upstream: &'a UpstreamId,
    /// The predicted time plus penalties.
    score_ms: f64,
    /// The time to the first response.
    predicted_ms: f64,
    /// The queueing delay.
    wait_ms: f64,
    /// Prompt tokens that are probably not in the engine's memory.
    uncached_tokens: u64,
    prefill_tokens_ahead: u64,
    pace: Option<f64>,
}

impl Placement {
    /// Sets the daemon that selects, on whose name its order of equal upstreams depends.
    pub fn set_daemon(&mut self, daemon: &DaemonId) {
        self.tie_seed = xxh3_64(daemon.as_str().as_bytes());
    }

    /// Selects an upstream and adds the request to its work.
    pub fn choose(
        &mut self,
        now: Time,
        live: &[&Upstream],
        criteria: &SelectionCriteria<'_>,
    ) -> Selection {
        let candidates = self.candidates(now, live, criteria);
        let affine = affinity_upstream(criteria.prompt, &candidates);
        let mut best: Option<Estimate<'_>> = None;
        let mut shortest_wait = f64::MAX;
        let tie_seed = self.tie_seed.wrapping_add(now.0 / TIE_INTERVAL.as_micros() as u64);
        for upstream in &candidates {
            let is_affine = affine == Some(&upstream.record.id);
            let mut estimate = self.estimate(now, upstream, criteria, is_affine);
            if estimate.pace.is_some() {
                estimate.score_ms += tie_break_ms(estimate.upstream, tie_seed);
            }
            shortest_wait = shortest_wait.min(estimate.wait_ms);
            if best.as_ref().is_none_or(|best| estimate.score_ms < best.score_ms) {
                best = Some(estimate);
            }
        }
        let Some(best) = best else { return Selection::NoUpstream };
        if criteria.engine.is_some() && criteria.tried.is_empty() {
            self.count_demand(now, criteria, best.uncached_tokens);
        }
        let allowed = criteria.latency_target.as_secs_f64() * 1000.0 * MAX_WAIT_TARGET_SHARE;
        let left = criteria.remaining.as_secs_f64() * 1000.0;
        if shortest_wait > allowed || best.predicted_ms > left {
            let capacity_in =
                predicted_duration((shortest_wait - allowed * RETRY_WAIT_SHARE).max(0.0));
            return Selection::Refused {
                retry_after: capacity_in.max(MIN_RETRY_AFTER),
                wait: predicted_duration(shortest_wait),
            };
        }
        Selection::Upstream(self.reserve(now, &best, criteria))
    }

    /// Returns the upstreams that may run a request. Those that refused connections recently are
    /// included only if there are no others.
    fn candidates<'a>(
        &self,
        now: Time,
        live: &[&'a Upstream],
        criteria: &SelectionCriteria<'_>,
    ) -> Vec<&'a Upstream> {
        let eligible: Vec<_> = live.iter().filter(|u| criteria.allows(u)).copied().collect();
        let is_reachable = |upstream: &&Upstream| {
            self.upstreams.get(&upstream.record.id).is_none_or(|state| state.down_until <= now)
        };
        let reachable: Vec<_> =
            eligible.iter().filter(|upstream| is_reachable(upstream)).copied().collect();
        if reachable.is_empty() { eligible } else { reachable }
    }

    /// Adds the engine time that a request needs to the demand, from which hosts are ordered.
    fn count_demand(&mut self, now: Time, criteria: &SelectionCriteria<'_>, uncached_tokens: u64) {
        let service = self.services.entry(criteria.service.clone()).or_default();
        let work = service.engine_time(criteria.prompt, uncached_tokens);
        service.record_arrival(now, work);
        let shared = shared_tokens(criteria.prompt);
        if shared > 0 {
            let cached = criteria.prompt.input.saturating_sub(uncached_tokens);
            let share = (cached as f64 / shared as f64).min(1.0);
            service.cached_share += SERVICE_SAMPLE_WEIGHT * (share - service.cached_share);
        }
    }

    /// Returns the time for which a request is expected to keep an engine busy, or a slot of a plain upstream,
    /// before an upstream is chosen.
    pub fn expected_work(
        &self,
        service: &ServiceName,
        is_engine: bool,
        prompt: &Prompt,
    ) -> Duration {
        let service = self.services.get(service).copied().unwrap_or_default();
        if !is_engine {
            return predicted_duration(service.run_ms);
        }
        let cached = (shared_tokens(prompt) as f64 * service.cached_share) as u64;
        service.engine_time(prompt, prompt.input.saturating_sub(cached))
    }

    /// Adds the engine time of a request that is refused to the demand, from which hosts are ordered.
    pub fn add_demand(&mut self, now: Time, service: &ServiceName, work: Duration) {
        self.services.entry(service.clone()).or_default().record_arrival(now, work);
    }

    /// Adds a request to the work of the selected upstream.
    fn reserve(
        &mut self,
        now: Time,
        chosen: &Estimate<'_>,
        criteria: &SelectionCriteria<'_>,
    ) -> Ticket {
        let (prompt, rank) = (criteria.prompt, criteria.rank);
        if rank != RankClass::Unranked {
            self.ranked_at = Some(now);
        }
        let memory = prompt.input + prompt.output;
        let ticket = Ticket {
            upstream: chosen.upstream.clone(),
            predicted: predicted_duration(chosen.predicted_ms),
            chosen_at: now,
            prefill_tokens: prefill_cost_tokens(chosen.uncached_tokens) as u64,
            memory,
            prefill_tokens_ahead: chosen.prefill_tokens_ahead,
            is_prefilling: true,
            pace: chosen.pace,
            rank,
            output_tokens: prompt.output,
            first_response_at: None,
        };
        let state = self.upstreams.entry(ticket.upstream.clone()).or_default();
        for work in state.own_work(rank) {
            work.requests += 1;
            work.pending_prefill_tokens += ticket.prefill_tokens;
            work.memory += memory;
        }
        record_parts(&mut state.parts, now, &prompt.parts);
        ticket
    }

    /// Returns the shortest predicted time to a first response, failure penalty included, at an
    /// upstream that has not received the request yet.
    pub fn best_elsewhere(
        &mut self,
        now: Time,
        live: &[&Upstream],
        criteria: &SelectionCriteria<'_>,
    ) -> Option<Duration> {
        let others = live.iter().filter(|upstream| criteria.allows(upstream));
        let estimates = others.map(|upstream| {
            let estimate = self.estimate(now, upstream, criteria, false);
            estimate.predicted_ms + self.upstreams[&upstream.record.id].failure_penalty_ms()
        });
        let best = estimates.min_by(f64::total_cmp)?;
        Some(predicted_duration(best))
    }

    fn estimate<'a>(
        &mut self,
        now: Time,
        upstream: &'a Upstream,
        criteria: &SelectionCriteria<'_>,
        is_affine: bool,
    ) -> Estimate<'a> {
        let service = self.services.get(criteria.service).copied().unwrap_or_default();
        let id = &upstream.record.id;
        let state = self.upstreams.entry(id.clone()).or_default();
        state.decay(now);
        let pace = state.speed.as_deref().and_then(|speed| speed.factor(now));
        let slowness = state.slowness(pace);
        let work = state.total_work();
        let ahead = state.work_ahead(criteria.rank);
        let requests = f64::from(state.requests(now));
        let requests_ahead = match criteria.rank {
            RankClass::Unranked | RankClass::LessUrgent => requests,
            RankClass::MostUrgent => f64::from(ahead.requests),
        };
        let uncached_tokens = count_uncached_tokens(&state.parts, now, criteria.prompt, is_affine);
        let slots = f64::from(upstream.record.slots.max(1));
        let queue_rounds = (requests_ahead + 1.0 - slots).max(0.0) / slots;
        let mut wait_ms = queue_rounds * service.run_ms;
        if let Some(engine) = criteria.engine {
            wait_ms =
                wait_ms.max(ahead.pending_prefill_tokens as f64 / service.prefill_tokens_per_ms);
            let memory = (ahead.memory + criteria.prompt.input + criteria.prompt.output) as f64;
            let excess = memory / (engine.memory_tokens as f64 * USABLE_MEMORY_SHARE) - 1.0;
            wait_ms += excess.max(0.0) * service.run_ms;
        }
        let wait_ms = wait_ms * slowness;
        let own_ms =
            service.base_ms + prefill_cost_tokens(uncached_tokens) / service.prefill_tokens_per_ms;
        let predicted_ms = wait_ms + own_ms * slowness;
        let remote_ms = if upstream.record.data_centre == *criteria.local_data_centre {
            0.0
        } else {
            REMOTE_PENALTY_MS
        };
        let warm_up_ms = upstream.record.warm_up.as_secs_f64() * WARM_UP_PENALTY_MS_PER_S;
        let utilization_ms = requests / slots * FULL_SLOTS_PENALTY_MS;
        let shared =
            criteria.prompt.parts.iter().rev().skip(1).map(|part| part.tokens).sum::<u64>();
        let own_tokens = criteria.prompt.input.saturating_sub(shared);
        let recompute_ms =
            uncached_tokens.saturating_sub(own_tokens) as f64 * RECOMPUTE_PENALTY_MS_PER_TOKEN;
        let in_time_ms = criteria.latency_target.as_secs_f64() * 1000.0 * RECOMPUTE_TARGET_SHARE;
        let with_recompute_ms = (predicted_ms + recompute_ms).min(in_time_ms).max(predicted_ms);
        let mut score_ms = with_recompute_ms
            + remote_ms
            + warm_up_ms
            + utilization_ms
            + state.failure_penalty_ms();
        if let Some(pace) = pace {
            let output_ms = criteria.prompt.output as f64 * service.output_ms_per_token;
            // A caller may state any maximum, but waits no longer than until its deadline.
            let output_ms = output_ms.min(criteria.remaining.as_secs_f64() * 1000.0);
            score_ms += output_ms * pace * OUTPUT_WEIGHT;
        }
        Estimate {
            upstream: id,
            score_ms,
            predicted_ms,
            wait_ms,
            uncached_tokens,
            prefill_tokens_ahead: work.pending_prefill_tokens,
            pace,
        }
    }

    /// Records that the first event, or the whole response, has arrived.
    pub fn record_first_response(&mut self, now: Time, service: &ServiceName, ticket: &mut Ticket) {
        if !std::mem::take(&mut ticket.is_prefilling) {
            return;
        }
        ticket.first_response_at = Some(now);
        let averages = self.services.entry(service.clone()).or_default();
        let observed = now.since(ticket.chosen_at).as_secs_f64() * 1000.0;
        let predicted = ticket.predicted.as_secs_f64() * 1000.0;
        let usual_ms = observed / ticket.pace.unwrap_or(1.0);
        let tokens = (ticket.prefill_tokens + ticket.prefill_tokens_ahead) as f64;
        let prefill_ms = tokens / averages.prefill_tokens_per_ms;
        if prefill_ms < averages.base_ms / 4.0 {
            let base = (usual_ms - prefill_ms).clamp(1.0, averages.base_ms * 4.0);
            averages.base_ms += SERVICE_SAMPLE_WEIGHT * (base - averages.base_ms);
        } else if ticket.prefill_tokens_ahead == 0 && usual_ms > averages.base_ms {
            let rate = tokens / (usual_ms - averages.base_ms).max(1.0);
            let rate = rate
                .clamp(averages.prefill_tokens_per_ms / 2.0, averages.prefill_tokens_per_ms * 2.0);
            let weight = if rate > averages.prefill_tokens_per_ms {
                PREFILL_RATE_RISE_WEIGHT
            } else {
                PREFILL_RATE_FALL_WEIGHT
            };
            averages.prefill_tokens_per_ms += weight * (rate - averages.prefill_tokens_per_ms);
        }
        if let Some(state) = self.upstreams.get_mut(&ticket.upstream) {
            for work in state.own_work(ticket.rank) {
                work.pending_prefill_tokens =
                    work.pending_prefill_tokens.saturating_sub(ticket.prefill_tokens);
            }
            state.decay(now);
            // The pace explains a slow response, which is no evidence of a fault then.
            if ticket.pace.is_none() {
                let ratio = (observed / predicted.max(1.0)).clamp(1.0, MAX_SLOWNESS);
                state.slowness += UPSTREAM_SAMPLE_WEIGHT * (ratio - state.slowness);
            }
        }
    }

    /// Records that an attempt has ended.
    pub fn record_outcome(
        &mut self,
        now: Time,
        service: &ServiceName,
        ticket: &Ticket,
        outcome: AttemptOutcome,
    ) {
        if outcome == AttemptOutcome::Answered {
            let averages = self.services.entry(service.clone()).or_default();
            // A stream lasts longer than a short slow interval, so that its usual pace counts.
            let usual = self
                .upstreams
                .get(&ticket.upstream)
                .and_then(|state| state.speed.as_deref()?.usual());
            let pace = ticket.pace.map_or(1.0, |pace| usual.map_or(pace, Pace::factor));
            let run = now.since(ticket.chosen_at).as_secs_f64() * 1000.0 / pace;
            averages.run_ms += SERVICE_SAMPLE_WEIGHT * (run - averages.run_ms);
            if let Some(begun) = ticket.first_response_at.filter(|_| ticket.output_tokens > 0) {
                let output_ms = now.since(begun).as_secs_f64() * 1000.0 / pace;
                let per_token = output_ms / ticket.output_tokens as f64;
                averages.output_ms_per_token +=
                    SERVICE_SAMPLE_WEIGHT * (per_token - averages.output_ms_per_token);
            }
        }
        let Some(state) = self.upstreams.get_mut(&ticket.upstream) else { return };
        for work in state.own_work(ticket.rank) {
            work.requests = work.requests.saturating_sub(1);
            work.memory = work.memory.saturating_sub(ticket.memory);
            if ticket.is_prefilling {
                work.pending_prefill_tokens =
                    work.pending_prefill_tokens.saturating_sub(ticket.prefill_tokens);
            }
        }
        state.decay(now);
        let sample = match outcome {
            AttemptOutcome::Answered => 0.0,
            AttemptOutcome::Late => LATE_FAILURE_SAMPLE,
            AttemptOutcome::Failed | AttemptOutcome::Broken => 1.0,
            AttemptOutcome::Unknown => return,
        };
        state.failure_score += UPSTREAM_SAMPLE_WEIGHT * (sample - state.failure_score);
    }

    /// Records that an upstream could not be reached.
    pub fn mark_unreachable(&mut self, now: Time, upstream: &UpstreamId) {
        self.upstreams.entry(upstream.clone()).or_default().down_until = now + UNREACHABLE_COOLDOWN;
    }

    /// Records the load that an upstream reported with a response. Returns whether to log that its pace
    /// is malformed.
    pub fn record_load(&mut self, now: Time, upstream: &UpstreamId, load: LoadReport) -> bool {
        let state = self.upstreams.entry(upstream.clone()).or_default();
        state.load = Some((now, load));
        match load.pace {
            ReportedPace::Absent => false,
            ReportedPace::Malformed => state.speed.get_or_insert_default().record_malformed(now),
            ReportedPace::Valid(pace) => {
                let change = state.speed.get_or_insert_default().record(now, pace);
                self.log_pace(upstream, change);
                false
            }
        }
    }

    /// Applies a peer's sample of an upstream's pace.
    pub fn merge_pace(&mut self, now: Time, report: &speed::Report) {
        let state = self.upstreams.entry(report.upstream.clone()).or_default();
        let change = state.speed.get_or_insert_default().merge(now, report.pace, report.age);
        self.log_pace(&report.upstream, change);
    }

    /// Records that a peer reported a malformed pace, and returns whether to log it.
    pub fn record_malformed_pace(&mut self, now: Time, upstream: &UpstreamId) -> bool {
        let state = self.upstreams.entry(upstream.clone()).or_default();
        state.speed.get_or_insert_default().record_malformed(now)
    }

    /// Returns the usual pace of an upstream, if it reports one.
    pub fn usual_pace(&self, upstream: &UpstreamId) -> Option<Pace> {
        self.upstreams.get(upstream)?.speed.as_deref()?.usual()
    }

    /// Returns this daemon's recent samples of upstreams' paces, for its peers.
    pub fn pace_reports(&self, now: Time) -> Vec<speed::ReportWire> {
        let reports = self.upstreams.iter().filter_map(|(upstream, state)| {
            let (pace, age) = state.speed.as_deref()?.report(now)?;
            Some(speed::Report { upstream: upstream.clone(), pace, age })
        });
        speed::limit_reports(reports.collect()).into_iter().map(Into::into).collect()
    }

    fn log_pace(&mut self, upstream: &UpstreamId, change: Option<(Option<Pace>, Pace)>) {
        let change = change.map(|(before, usual)| speed::Change {
            upstream: upstream.clone(),
            usual,
            before,
        });
        self.pace_changes.extend(change);
    }

    /// Removes and returns the changes of usual paces since the last call.
    pub fn take_pace_changes(&mut self) -> Vec<speed::Change> {
        std::mem::take(&mut self.pace_changes)
    }

    /// Replaces the peers' reports on all upstreams.
    pub fn set_peers(&mut self, views: &IndexMap<UpstreamId, PeerView>) {
        for (id, state) in &mut self.upstreams {
            state.peers = views.get(id).copied().unwrap_or_default();
        }
        for (id, view) in views {
            self.upstreams.entry(id.clone()).or_default().peers = *view;
        }
    }

    /// Replaces the numbers of requests that the peers keep at upstreams.
    pub fn set_held_by_peers(&mut self, held: &IndexMap<UpstreamId, u32>) {
        for (id, state) in &mut self.upstreams {
            state.held_by_peers = held.get(id).copied().unwrap_or(0);
        }
    }

    /// Returns the requests at an upstream, as far as this daemon knows.
    pub fn occupancy(&self, now: Time, upstream: &Upstream) -> Occupancy {
        let slots = upstream.record.slots.max(1);
        let Some(state) = self.upstreams.get(&upstream.record.id) else {
            return Occupancy { slots, ..Occupancy::default() };
        };
        Occupancy {
            slots,
            own: state.work.requests,
            peers: state.peers.work.requests,
            held_by_peers: state.held_by_peers,
            reported: state.reported_requests(now),
        }
    }

    /// Returns the number of this daemon's own requests at an upstream.
    pub fn own_requests(&self, upstream: &UpstreamId) -> u32 {
        self.upstreams.get(upstream).map_or(0, |state| state.work.requests)
    }

    /// Returns this daemon's work at and failure score of each upstream, to be sent to the peers.
    pub fn local_load(&self) -> Vec<(UpstreamId, Work, f64)> {
        let is_reported =
            |state: &UpstreamState| state.work.requests > 0 || state.failure_score > 0.1;
        let own = self.upstreams.iter().filter(|(_, state)| is_reported(state));
        own.map(|(id, state)| (id.clone(), state.work, state.failure_score)).collect()
    }

    /// Returns this daemon's work of the most urgent rank at each upstream, to be sent to the peers, or
    /// `None` if it had no requests of a service whose waits are counted by rank.
    pub fn local_urgent_work(&self, now: Time) -> Option<Vec<(UpstreamId, Work)>> {
        self.ranked_at.filter(|at| now.since(*at) < RANKED_TTL)?;
        let urgent = self.upstreams.iter().filter(|(_, state)| state.urgent_work.requests > 0);
        Some(urgent.map(|(id, state)| (id.clone(), state.urgent_work)).collect())
    }

    /// Returns the work of this daemon and its peers at an upstream.
    pub fn work(&self, upstream: &UpstreamId) -> Work {
        self.upstreams.get(upstream).map(UpstreamState::total_work).unwrap_or_default()
    }

    /// Returns the number of engines that this daemon's requests to each service keep busy, in
    /// thousandths.
    pub fn demands(&self, now: Time) -> Vec<(ServiceName, u32)> {
        let demand = |state: &ServiceState| (state.demand(now) * 1000.0) as u32;
        let all = self.services.iter().map(|(service, state)| (service.clone(), demand(state)));
        all.filter(|(_, demand)| *demand > 0).collect()
    }

    /// Removes the state of an upstream that is gone, or that restarted with empty memory.
    pub fn remove_upstream(&mut self, upstream: &UpstreamId) {
        self.upstreams.shift_remove(upstream);
    }
}

/// Returns the upstream that every daemon prefers for requests with the same shared part, by
/// rendezvous hashing.
fn affinity_upstream<'a>(prompt: &Prompt, candidates: &[&'a Upstream]) -> Option<&'a UpstreamId> {
    let shared = match prompt.parts.as_slice() {
        [] => return None,
        [only] => only,
        [.., shared, _own] => shared,
    };
    let weight = |upstream: &&&Upstream| {
        xxh3_64_with_seed(upstream.record.id.as_str().as_bytes(), shared.id)
    };
    candidates.iter().max_by_key(weight).map(|upstream| &upstream.record.id)
}

/// Returns what is added to the score of an upstream so that daemons with the same reports do not all
/// choose the same one of those whose scores differ by less than [`TIE_MS`]. Its mean is zero, since
/// nothing is added for upstreams that report no pace.
fn tie_break_ms(upstream: &UpstreamId, seed: u64) -> f64 {
    let hash = xxh3_64_with_seed(upstream.as_str().as_bytes(), seed);
    (hash as f64 / u64::MAX as f64 - 0.5) * TIE_MS
}

/// Returns the tokens of the prompt parts that other prompts may share: all but the last.
fn shared_tokens(prompt: &Prompt) -> u64 {
    prompt.parts.iter().rev().skip(1).map(|part| part.tokens).sum()
}

/// Returns the number of prompt tokens that an engine has to prefill. A part is expected in its
/// memory only if all parts before it are.
fn count_uncached_tokens(
    parts: &IndexMap<u64, Time>,
    now: Time,
    prompt: &Prompt,
    is_affine: bool,
) -> u64 {
    let is_cached = |part: &&PromptPart| {
        parts.get(&part.id).is_some_and(|used| now.since(*used) < PART_CACHE_TTL)
    };
    let cached: u64 = prompt.parts.iter().take_while(is_cached).map(|part| part.tokens).sum();
    let uncached = prompt.input.saturating_sub(cached);
    // The peers prefer the same upstream for the same parts, so that it probably holds them; half
    // of the shared tokens not sent from here count as cached.
    let shared: u64 = prompt.parts.iter().rev().skip(1).map(|part| part.tokens).sum();
    if is_affine { uncached.saturating_sub(shared.saturating_sub(cached) / 2) } else { uncached }
}

/// Converts a predicted time in milliseconds, which is infinite for an engine without memory, to a
/// duration of at most [`MAX_PREDICTED`].
fn predicted_duration(ms: f64) -> Duration {
    Duration::try_from_secs_f64(ms / 1000.0).unwrap_or(MAX_PREDICTED).min(MAX_PREDICTED)
}

/// Returns the prefill cost of a number of tokens, as the number of tokens of short prompts that
/// cost as much; the cost of attention grows with the square of the length.
fn prefill_cost_tokens(tokens: u64) -> f64 {
    tokens as f64 * (1.0 + tokens as f64 / ATTENTION_PARITY_TOKENS)
}

fn record_parts(parts: &mut IndexMap<u64, Time>, now: Time, sent: &[PromptPart]) {
    for part in sent {
        parts.insert(part.id, now);
    }
    if parts.len() > MAX_PARTS_PER_UPSTREAM {
        parts.retain(|_, used| now.since(*used) < PART_CACHE_TTL);
        let excess = parts.len().saturating_sub(MAX_PARTS_PER_UPSTREAM);
        parts.drain(..excess);
    }
}
