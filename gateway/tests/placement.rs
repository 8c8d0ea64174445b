//! Selection of upstreams under shared prompts, bursts, overload and failures.

#[path = "support/model.rs"]
mod model;

use std::time::Duration;

use dogwoodturn::{ids::UpstreamId, units::Time, upstream::speed::Pace};
use dogwoodturn_gateway::{
    directory::Directory,
    header_schema::{LoadReport, Prompt, PromptPart, ReportedPace},
    placement::{AttemptOutcome, Homes, Placement, Selection, SelectionCriteria, Ticket},
    rollout::VersionRule,
    table::EngineCapacity,
};
use indexmap::IndexMap;
use model::{at, directory, here, service};

const ENGINE: EngineCapacity = EngineCapacity { slots: 32, memory_tokens: 400_000 };

struct Selector {
    placement: Placement,
    directory: Directory,
}

impl Selector {
    fn choose(&mut self, now: Time, prompt: &Prompt, left_ms: u64) -> Selection {
        let data_centre = here();
        let service = service();
        let criteria = SelectionCriteria {
            service: &service,
            engine: Some(ENGINE),
            prompt,
            local_data_centre: &data_centre,
            latency_target: Duration::from_millis(500),
            remaining: Duration::from_millis(left_ms),
            tried: &[],
            versions: VersionRule::Any,
            homes: Homes::default(),
        };
        let live = self.directory.live(now, &service);
        self.placement.choose(now, &live, &criteria)
    }
}

fn prompt(own: u64, shared: u64, tokens: u64) -> Prompt {
    let parts = vec![
        PromptPart { id: shared, tokens: tokens / 2 },
        PromptPart { id: own, tokens: tokens - tokens / 2 },
    ];
    Prompt { input: tokens, output: 100, parts }
}

#[test]
fn choose_requests_that_share_a_part_go_to_one_idle_upstream() {
    let mut selector =
        Selector { placement: Placement::default(), directory: directory(&["a", "b", "c", "d"]) };
    let mut chosen = Vec::new();
    for own in 0..6 {
        let now = at(own * 1000);
        let Selection::Upstream(mut ticket) =
            selector.choose(now, &prompt(own + 100, 7, 4000), 5000)
        else {
            panic!("refused");
        };
        chosen.push(ticket.upstream.clone());
        let done = now + Duration::from_millis(90);
        selector.placement.record_first_response(done, &service(), &mut ticket);
        selector.placement.record_outcome(done, &service(), &ticket, AttemptOutcome::Answered);
    }
    assert!(chosen.windows(2).all(|pair| pair[0] == pair[1]), "{chosen:?}");
}

#[test]
fn choose_burst_on_one_shared_part_spreads_over_upstreams() {
    let mut selector =
        Selector { placement: Placement::default(), directory: directory(&["a", "b", "c", "d"]) };
    let mut counts = IndexMap::<UpstreamId, u32>::new();
    for own in 0..24 {
        if let Selection::Upstream(ticket) =
            selector.choose(at(0), &prompt(own + 100, 7, 4000), 5000)
        {
            *counts.entry(ticket.upstream).or_default() += 1;
        }
    }
    assert_eq!(counts.len(), 4, "{counts:?}");
    let (most, least) = (counts.values().max().unwrap(), counts.values().min().unwrap());
    assert!(most - least <= 3, "{counts:?}");
}

#[test]
fn choose_overload_is_refused_at_once_with_a_retry_time() {
    let mut selector =
        Selector { placement: Placement::default(), directory: directory(&["a", "b"]) };
    let mut refused = None;
    for own in 0..100 {
        let selection = selector.choose(at(0), &prompt(own + 100, own, 8000), 5000);
        if let Selection::Refused { retry_after, .. } = selection {
            refused = Some((own, retry_after));
            break;
        }
    }
    let (admitted, retry_after) = refused.expect("no request of the overload was refused");
    assert!(admitted >= 4, "{admitted} admitted with engines idle");
    assert!(retry_after >= Duration::from_millis(100) && retry_after < Duration::from_secs(5));
}

#[test]
fn choose_long_prompt_is_not_refused_for_its_length() {
    let mut selector = Selector { placement: Placement::default(), directory: directory(&["a"]) };
    let selection = selector.choose(at(0), &prompt(1, 2, 50_000), 12_000);
    assert!(matches!(selection, Selection::Upstream(_)), "{selection:?}");
}

#[test]
fn choose_failing_upstream_is_avoided_and_tried_again_later() {
    let mut selector =
        Selector { placement: Placement::default(), directory: directory(&["a", "b"]) };
    let mut failing = None;
    for own in 0..12 {
        let now = at(own * 50);
        let Selection::Upstream(ticket) = selector.choose(now, &prompt(own + 100, 7, 400), 5000)
        else {
            panic!("refused");
        };
        let failing = failing.get_or_insert(ticket.upstream.clone());
        let is_failing = ticket.upstream == *failing;
        let outcome = if is_failing { AttemptOutcome::Failed } else { AttemptOutcome::Answered };
        selector.placement.record_outcome(now, &service(), &ticket, outcome);
    }
    let failing = failing.unwrap();
    let Selection::Upstream(ticket) = selector.choose(at(700), &prompt(1, 7, 400), 5000) else {
        panic!("refused");
    };
    assert_ne!(ticket.upstream, failing);
    selector.placement.record_outcome(at(700), &service(), &ticket, AttemptOutcome::Answered);
    let Selection::Upstream(ticket) = selector.choose(at(30_000), &prompt(2, 7, 400), 5000) else {
        panic!("refused");
    };
    assert_eq!(ticket.upstream, failing, "it is preferred for the shared part again");
}

#[test]
fn best_elsewhere_engine_without_memory_panics() {
    let mut placement = Placement::default();
    let (directory, data_centre, service) = (directory(&["a"]), here(), service());
    let prompt = prompt(1, 7, 4000);
    let criteria = SelectionCriteria {
        service: &service,
        engine: Some(EngineCapacity { slots: 8, memory_tokens: 0 }),
        prompt: &prompt,
        local_data_centre: &data_centre,
        latency_target: Duration::from_millis(500),
        remaining: Duration::from_secs(5),
        tried: &[],
        versions: VersionRule::Any,
        homes: Homes::default(),
    };
    let best = placement.best_elsewhere(at(0), &directory.live(at(0), &service), &criteria);
    assert!(best > Some(criteria.remaining), "{best:?}");
}

fn load(pace: f64) -> LoadReport {
    LoadReport { pace: ReportedPace::Valid(Pace::from_percent(pace).unwrap()), ..idle() }
}

fn idle() -> LoadReport {
    LoadReport { running: 0, waiting: 0, slots: 32, pace: ReportedPace::Absent }
}

/// Offers requests at intervals to upstreams that take longer by a factor at each time, one request
/// after the other, and that report the factor with responses if `reports` is set. Returns the
/// number of requests at each upstream in each interval of 600 ms.
fn serve(
    selector: &mut Selector,
    requests: u64,
    factor: impl Fn(&UpstreamId, u64) -> f64,
    reports: bool,
) -> Vec<IndexMap<UpstreamId, u32>> {
    const INTERVAL_MS: u64 = 20;
    const PREFILL_MS: f64 = 24.0;
    const BASE_MS: f64 = 30.0;
    let mut counts = Vec::new();
    let mut busy_until = IndexMap::<UpstreamId, u64>::new();
    let mut running: Vec<(u64, Ticket, f64)> = Vec::new();
    for number in 0..requests {
        let ms = number * INTERVAL_MS;
        running.sort_by_key(|(end, ..)| *end);
        while running.first().is_some_and(|(end, ..)| *end <= ms) {
            let (end, mut ticket, factor) = running.remove(0);
            let placement = &mut selector.placement;
            if reports {
                placement.record_load(at(end), &ticket.upstream, load(factor * 100.0));
            }
            placement.record_first_response(at(end), &service(), &mut ticket);
            placement.record_outcome(at(end), &service(), &ticket, AttemptOutcome::Answered);
        }
        let window = (ms / 600) as usize;
        counts.resize_with(window + 1, IndexMap::new);
        let prompt = Prompt { input: 2400, output: 0, parts: Vec::new() };
        if let Selection::Upstream(ticket) = selector.choose(at(ms), &prompt, 5000) {
            let factor = factor(&ticket.upstream, ms);
            let free = busy_until.entry(ticket.upstream.clone()).or_default();
            let prefilled = (*free).max(ms) + (PREFILL_MS * factor) as u64;
            *free = prefilled;
            *counts[window].entry(ticket.upstream.clone()).or_default() += 1;
            running.push((prefilled + (BASE_MS * factor) as u64, ticket, factor));
        }
    }
    counts
}

fn total(counts: &[IndexMap<UpstreamId, u32>], id: &str) -> u32 {
    let id: UpstreamId = id.parse().unwrap();
    counts.iter().filter_map(|counts| counts.get(&id)).sum()
}

/// Guards against an equal part of the work for upstreams of unequal speed.
#[test]
fn choose_uneven_upstreams_get_work_by_their_speed() {
    let factor = |id: &UpstreamId, _| if id.as_str() == "slow" { 1.7 } else { 0.7 };
    let mut selector =
        Selector { placement: Placement::default(), directory: directory(&["slow", "fast"]) };
    let counts = serve(&mut selector, 600, factor, true);
    let (slow, fast) = (total(&counts[2..], "slow"), total(&counts[2..], "fast"));
    // The speeds are as 17 to 7.
    assert!(fast * 10 >= slow * 20, "{slow} at the slow upstream, {fast} at the fast one");
}

/// Guards against a slow interval that goes unnoticed, and against one whose upstream is avoided after
/// it.
#[test]
fn choose_upstream_slowed_for_600_ms_is_spared_for_that_long() {
    let is_slow = |ms| (3600..4200).contains(&ms);
    let factor = |id: &UpstreamId, ms| if id.as_str() == "a" && is_slow(ms) { 4.25 } else { 1.0 };
    let mut selector =
        Selector { placement: Placement::default(), directory: directory(&["a", "b"]) };
    let counts = serve(&mut selector, 300, factor, true);
    let of_a = |window: usize| total(&counts[window..=window], "a");
    let usual = (of_a(3) + of_a(4)) / 2;
    assert!(usual >= 10, "{counts:?}");
    assert!(of_a(6) * 2 <= usual, "the slow upstream gets {} of usually {usual}", of_a(6));
    assert!(of_a(8) * 3 >= usual * 2, "after it the upstream gets {} of {usual}", of_a(8));
}

/// Guards against predictions that change where no upstream reports a pace, and against a malformed
/// pace that has an effect.
#[test]
fn choose_without_valid_pace_predicts_as_before() {
    let choose = |load: LoadReport| {
        let mut placement = Placement::default();
        placement.record_load(at(0), &"a".parse().unwrap(), load);
        let mut selector = Selector { placement, directory: directory(&["a"]) };
        selector.choose(at(1), &prompt(1, 7, 4000), 5000)
    };
    let plain = choose(idle());
    let Selection::Upstream(ticket) = &plain else { panic!("{plain:?}") };
    // 50 ms and 4,000 tokens at 100 tokens per ms, with the cost of attention; half of the shared
    // part counts as cached.
    assert_eq!(ticket.predicted, Duration::from_micros(81_800));
    assert_eq!(choose(LoadReport { pace: ReportedPace::Malformed, ..idle() }), plain);
    let Selection::Upstream(slow) = choose(load(200.0)) else { panic!("refused") };
    assert_eq!(slow.predicted, ticket.predicted * 2);
}

/// Guards against a slow response that its upstream's pace explains and that counts as a fault, and
/// against averages of the service that depend on which upstreams responded.
#[test]
fn record_first_response_slow_by_its_pace_leaves_predictions_unchanged() {
    let mut selector = Selector { placement: Placement::default(), directory: directory(&["a"]) };
    let id: UpstreamId = "a".parse().unwrap();
    let mut predictions = Vec::new();
    for number in 0..40 {
        let now = at(number * 300);
        selector.placement.record_load(now, &id, load(400.0));
        let Selection::Upstream(mut ticket) =
            selector.choose(now, &prompt(number + 100, number + 1000, 4000), 5000)
        else {
            panic!("refused");
        };
        predictions.push(ticket.predicted);
        let done = now + ticket.predicted;
        selector.placement.record_first_response(done, &service(), &mut ticket);
        selector.placement.record_outcome(done, &service(), &ticket, AttemptOutcome::Answered);
    }
    let (first, last) = (predictions[0], *predictions.last().unwrap());
    assert!(last < first.mul_f64(1.05) && last > first.mul_f64(0.95), "{predictions:?}");
}
