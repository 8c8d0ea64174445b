//! Selection of upstreams under shared prompts, bursts, overload and failures.

#[path = "support/model.rs"]
mod model;

use std::time::Duration;

use bytes::Bytes;
use dogwoodturn::{ids::UpstreamId, units::Time, upstream::speed::Pace};
use dogwoodturn_gateway::{
    directory::Directory,
    header_schema::{LoadReport, Prompt, PromptPart, ReportedPace},
    placement::{
        AttemptOutcome, Homes, PeerView, Placement, RankClass, Selection, SelectionCriteria,
        Ticket, Work,
    },
    rollout::VersionRule,
    table::{CallerLimits, EngineCapacity, Ranks, RetrySafety, Route, Table},
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
        self.choose_ranked(now, prompt, left_ms, RankClass::Unranked)
    }

    fn choose_ranked(
        &mut self,
        now: Time,
        prompt: &Prompt,
        left_ms: u64,
        rank: RankClass,
    ) -> Selection {
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
            rank,
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
        rank: RankClass::default(),
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

/// A request that was served: when it was sent, where, and the time to its first response in ms.
struct Served {
    sent: u64,
    upstream: UpstreamId,
    elapsed: u64,
}

/// Offers requests at an interval to daemons in turn, which send them to upstreams that take longer by a
/// factor at each time and report it with each response. Upstreams prefill one prompt after the other.
/// The daemons know of each other's work as of up to 100 ms ago, and of each other's paces if these are
/// pooled.
fn serve(
    daemons: usize,
    upstreams: &[&str],
    interval_us: u64,
    until_ms: u64,
    factor: impl Fn(&str, u64) -> f64,
    is_pooled: bool,
) -> Vec<Served> {
    const PREFILL_MS: f64 = 24.0;
    const BASE_MS: f64 = 30.0;
    const WORK_REPORT_MS: u64 = 100;
    let mut selectors: Vec<_> = (0..daemons).map(|daemon| selector(daemon, upstreams)).collect();
    let (mut served, mut next_views) = (Vec::new(), vec![0; daemons]);
    let mut busy_until = IndexMap::<UpstreamId, f64>::new();
    let mut running: Vec<(u64, usize, Ticket)> = Vec::new();
    for number in 0..until_ms * 1000 / interval_us {
        let ms = number * interval_us / 1000;
        running.sort_by_key(|(end, ..)| *end);
        while running.first().is_some_and(|(end, ..)| *end <= ms) {
            let (end, daemon, mut ticket) = running.remove(0);
            let placement = &mut selectors[daemon].placement;
            let pace = factor(ticket.upstream.as_str(), end) * 100.0;
            placement.record_load(at(end), &ticket.upstream, load(pace));
            placement.record_first_response(at(end), &service(), &mut ticket);
            placement.record_outcome(at(end), &service(), &ticket, AttemptOutcome::Answered);
        }
        let daemon = number as usize % daemons;
        if ms >= next_views[daemon] {
            next_views[daemon] = ms + WORK_REPORT_MS;
            receive_work(&mut selectors, daemon);
            if is_pooled {
                receive_paces(at(ms), &mut selectors, daemon);
            }
        }
        let prompt = Prompt { input: 2400, output: 0, parts: Vec::new() };
        if let Selection::Upstream(ticket) = selectors[daemon].choose(at(ms), &prompt, 5000) {
            let factor = factor(ticket.upstream.as_str(), ms);
            let free = busy_until.entry(ticket.upstream.clone()).or_default();
            *free = free.max(ms as f64) + PREFILL_MS * factor;
            let end = (*free + BASE_MS * factor) as u64;
            served.push(Served { sent: ms, upstream: ticket.upstream.clone(), elapsed: end - ms });
            running.push((end, daemon, ticket));
        }
    }
    served
}

fn selector(daemon: usize, upstreams: &[&str]) -> Selector {
    let mut placement = Placement::default();
    placement.set_daemon(&format!("d{daemon}").parse().unwrap());
    Selector { placement, directory: directory(upstreams) }
}

/// Lets a daemon know the work of all others.
fn receive_work(selectors: &mut [Selector], daemon: usize) {
    let mut views = IndexMap::<UpstreamId, PeerView>::new();
    let others = selectors.iter().enumerate().filter(|(other, _)| *other != daemon);
    for (id, work, _) in others.flat_map(|(_, other)| other.placement.local_load()) {
        let sum = &mut views.entry(id).or_default().work;
        sum.requests += work.requests;
        sum.pending_prefill_tokens += work.pending_prefill_tokens;
        sum.memory += work.memory;
    }
    selectors[daemon].placement.set_peers(&views);
}

/// Lets a daemon know the paces that all others report.
fn receive_paces(now: Time, selectors: &mut [Selector], daemon: usize) {
    let others = selectors.iter().enumerate().filter(|(other, _)| *other != daemon);
    let reports: Vec<_> = others.flat_map(|(_, other)| other.placement.pace_reports(now)).collect();
    for report in reports {
        selectors[daemon].placement.merge_pace(now, &report.try_into().unwrap());
    }
}

/// Counts the requests that were sent to an upstream within a period.
fn count(served: &[Served], id: &str, from: u64, until: u64) -> usize {
    let is_counted =
        |served: &&Served| served.upstream.as_str() == id && (from..until).contains(&served.sent);
    served.iter().filter(is_counted).count()
}

/// Guards against an equal part of the work for upstreams of unequal speed, and against slow ones that
/// are left idle when the fast ones do not suffice.
#[test]
fn choose_uneven_upstreams_get_work_by_their_speed() {
    const LATE_MS: u64 = 150;
    let ids = ["fast1", "fast2", "fast3", "fast4", "slow1", "slow2"];
    let factor = |id: &str, _| if id.starts_with("slow") { 1.7 } else { 0.7 };
    let offered = |interval_us| {
        let served = serve(12, &ids, interval_us, 12_000, factor, true);
        let sum =
            |ids: &[&str]| ids.iter().map(|id| count(&served, id, 3000, 12_000)).sum::<usize>();
        let late = served.iter().filter(|served| served.elapsed > LATE_MS).count();
        (sum(&ids[..4]) / 4, sum(&ids[4..]) / 2, late)
    };
    // The fast upstreams can serve 238 requests a second, all together 289.
    let (fast, slow, late) = offered(5_000);
    assert!(fast * 7 >= slow * 17, "{fast} at a fast upstream, {slow} at a slow one");
    assert!(late <= 5, "{late} late");
    let (fast, slow, _) = offered(4_000);
    assert!(fast * 7 >= slow * 17, "{fast} at a fast upstream, {slow} at a slow one");
    assert!(slow * 17 * 4 >= fast * 7, "{fast} at a fast upstream, {slow} at a slow one");
}

/// Guards against a slow interval that goes unnoticed, and against one whose upstream is avoided after
/// it.
#[test]
fn choose_upstream_slowed_for_600_ms_is_spared_for_that_long() {
    let is_slow = |ms| (3600..4200).contains(&ms);
    let factor = |id: &str, ms| if id == "a" && is_slow(ms) { 2.5 } else { 1.0 };
    let served = serve(2, &["a", "b", "c"], 16_000, 6000, factor, false);
    let usual = count(&served, "a", 2400, 3600) / 2;
    let (slow, after) = (count(&served, "a", 3600, 4200), count(&served, "a", 4800, 5400));
    assert!(usual >= 8, "{usual}");
    assert!(slow * 4 <= usual, "the slow upstream gets {slow} of usually {usual}");
    assert!(after * 4 >= usual * 3, "after it the upstream gets {after} of {usual}");
}

/// Guards against a slow interval that only those daemons know of that happen to have sent a request
/// there in it.
#[test]
fn choose_upstream_slowed_for_600_ms_is_spared_by_daemons_that_did_not_see_it() {
    let is_slow = |ms| (6000..6600).contains(&ms);
    let factor = |id: &str, ms| if id == "a" && is_slow(ms) { 2.5 } else { 1.0 };
    let sent = |is_pooled| {
        let served = serve(76, &["a", "b", "c"], 16_000, 8000, factor, is_pooled);
        count(&served, "a", 6000, 6600)
    };
    let (pooled, alone) = (sent(true), sent(false));
    assert!(pooled * 2 <= alone, "{pooled} requests with pooled samples, {alone} without");
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

/// Guards against daemons that all choose the same one of several equal upstreams until their next
/// reports, and against ties that are broken where no upstream reports a pace.
#[test]
fn choose_daemons_with_the_same_stale_reports_spread_over_equal_upstreams() {
    const DAEMONS: usize = 76;
    let ids: Vec<_> = (0..20).map(|index| format!("u{index}")).collect();
    let ids: Vec<_> = ids.iter().map(String::as_str).collect();
    let spread = |load: Option<LoadReport>| {
        let mut counts = IndexMap::<UpstreamId, usize>::new();
        for daemon in 0..DAEMONS {
            let mut selector = selector(daemon, &ids);
            for id in &ids {
                if let Some(load) = load {
                    selector.placement.record_load(at(0), &id.parse().unwrap(), load);
                }
            }
            let prompt = Prompt { input: 2400, output: 0, parts: Vec::new() };
            let Selection::Upstream(ticket) = selector.choose(at(10), &prompt, 5000) else {
                panic!("refused");
            };
            *counts.entry(ticket.upstream).or_default() += 1;
        }
        counts
    };
    let counts = spread(Some(load(170.0)));
    assert!(counts.len() >= 15, "{counts:?}");
    assert!(*counts.values().max().unwrap() <= 12, "{counts:?}");
    assert_eq!(spread(None).len(), 1, "without paces the first upstream is chosen as before");
}

/// Guards against streams that go to a slow upstream because its first event is as early as elsewhere.
#[test]
fn choose_long_output_goes_to_the_faster_upstream() {
    let mut selector = selector(0, &["fast", "slow"]);
    let (fast, slow) = ("fast".parse().unwrap(), "slow".parse().unwrap());
    let stream = |output| Prompt { input: 400, output, parts: Vec::new() };
    let choose = |selector: &mut Selector, ms: u64, output| {
        selector.placement.record_load(at(ms), &fast, load(70.0));
        selector.placement.record_load(at(ms), &slow, load(170.0));
        let selection = selector.choose(at(ms), &stream(output), 12_000);
        let Selection::Upstream(ticket) = selection else { panic!("{selection:?}") };
        ticket
    };
    // Streams that take 10 ms for each token at the usual pace.
    for number in 0..60 {
        let mut ticket = choose(&mut selector, number * 10_000, 384);
        let begun = at(number * 10_000 + 40);
        selector.placement.record_first_response(begun, &service(), &mut ticket);
        let ended =
            begun + Duration::from_millis(if ticket.upstream == fast { 2688 } else { 6528 });
        selector.placement.record_outcome(ended, &service(), &ticket, AttemptOutcome::Answered);
    }
    // 150 ms of work are pending at the fast upstream, so that short outputs begin earlier at the slow
    // one.
    let work = Work { requests: 4, pending_prefill_tokens: 15_000, memory: 15_000 };
    let view = PeerView { work, ..PeerView::default() };
    selector.placement.set_peers(&IndexMap::from([(fast.clone(), view)]));
    assert_eq!(choose(&mut selector, 700_000, 24).upstream, slow);
    assert_eq!(choose(&mut selector, 700_010, 384).upstream, fast);
    assert_eq!(choose(&mut selector, 700_020, 100_000).upstream, fast);
}

/// Guards against urgent requests that are refused for work that engines admit after them, and against
/// less urgent ones that do not count the urgent work.
#[test]
fn choose_urgent_request_waits_for_urgent_work_only() {
    let work = Work { requests: 60, pending_prefill_tokens: 120_000, memory: 120_000 };
    let choose = |peers: Work, urgent_of_peers: Work, rank| {
        let mut selector = selector(0, &["a"]);
        let view = PeerView { work: peers, urgent_work: urgent_of_peers, ..PeerView::default() };
        selector.placement.set_peers(&IndexMap::from([("a".parse().unwrap(), view)]));
        selector.choose_ranked(at(0), &prompt(1, 7, 4000), 12_000, rank)
    };
    let is_refused = |selection| matches!(selection, Selection::Refused { .. });
    assert!(is_refused(choose(work, Work::default(), RankClass::Unranked)));
    assert!(is_refused(choose(work, Work::default(), RankClass::LessUrgent)));
    assert!(!is_refused(choose(work, Work::default(), RankClass::MostUrgent)));
    assert!(is_refused(choose(work, work, RankClass::MostUrgent)));
    assert!(is_refused(choose(work, work, RankClass::LessUrgent)));
}

/// Guards against work of a rank that stays counted after its request has ended, or that is reported
/// where waits are not counted by rank.
#[test]
fn local_urgent_work_follows_the_requests_of_the_rank() {
    let mut selector = selector(0, &["a"]);
    assert!(matches!(selector.choose(at(0), &prompt(1, 7, 4000), 5000), Selection::Upstream(_)));
    assert_eq!(selector.placement.local_urgent_work(at(0)), None);
    let less = selector.choose_ranked(at(0), &prompt(2, 8, 4000), 5000, RankClass::LessUrgent);
    assert!(matches!(less, Selection::Upstream(_)));
    assert_eq!(selector.placement.local_urgent_work(at(0)), Some(Vec::new()));
    let urgent = selector.choose_ranked(at(0), &prompt(3, 9, 4000), 5000, RankClass::MostUrgent);
    let Selection::Upstream(mut ticket) = urgent else { panic!("{urgent:?}") };
    let reported = selector.placement.local_urgent_work(at(0)).unwrap();
    let (_, work) = &reported[0];
    assert_eq!((reported.len(), work.requests, work.memory), (1, 1, 4100));
    assert!(work.pending_prefill_tokens > 0);
    selector.placement.record_first_response(at(60), &service(), &mut ticket);
    let reported = selector.placement.local_urgent_work(at(60)).unwrap();
    assert_eq!(reported[0].1.pending_prefill_tokens, 0);
    let placement = &mut selector.placement;
    placement.record_outcome(at(90), &service(), &ticket, AttemptOutcome::Answered);
    assert_eq!(placement.local_urgent_work(at(90)), Some(Vec::new()));
    assert_eq!(placement.work(&"a".parse().unwrap()).requests, 2);
    assert_eq!(placement.local_urgent_work(at(60_000)), None);
}

fn route(name: &str, priority: u8, timeout_ms: u64) -> Route {
    Route {
        name: name.parse().unwrap(),
        host: "h".into(),
        path_prefix: "/".into(),
        retry_safety: RetrySafety::Idempotent,
        timeout: Duration::from_millis(timeout_ms),
        latency_target: Duration::from_millis(500),
        max_event_gap: None,
        priority,
        max_attempts: 2,
        anonymous: true,
        homes: Vec::new(),
        services: vec![(service(), 1)],
    }
}

fn table(version: u64, routes: Vec<Route>) -> Table {
    let routes = Table::group_by_host(routes);
    Table {
        version,
        document: Bytes::new(),
        ranks: Ranks::new(routes.values().flatten()),
        routes,
        services: IndexMap::new(),
        customers: IndexMap::new(),
        keys: IndexMap::new(),
        limits: CallerLimits::default(),
    }
}

/// Guards against waits by rank where timeouts put the urgent requests first, and against the ranks of
/// an earlier table.
#[test]
fn rank_class_ranks_count_only_if_urgent_routes_wait_longer() {
    let class = |table: &Table, rank| RankClass::of(table, &service(), rank);
    let ranked = table(1, vec![route("a", 0, 12_000), route("b", 2, 3000)]);
    assert_eq!(class(&ranked, 0), RankClass::MostUrgent);
    assert_eq!(class(&ranked, 2), RankClass::LessUrgent);
    let others = [
        vec![route("a", 0, 3000), route("b", 1, 15_000)],
        vec![route("a", 0, 12_000), route("b", 2, 12_000)],
        vec![route("a", 0, 12_000), route("b", 0, 3000), route("c", 2, 4000)],
        vec![route("a", 0, 12_000)],
        vec![route("a", 0, 12_000), route("b", 0, 3000)],
        Vec::new(),
    ];
    for (version, routes) in (2..).zip(others) {
        let other = table(version, routes);
        assert!(!other.ranks_contradict_timeouts(&service()), "{version}");
        assert_eq!(class(&other, 0), RankClass::Unranked, "{version}");
    }
    assert_eq!(
        class(&table(20, vec![route("a", 1, 900), route("b", 2, 800)]), 1),
        RankClass::MostUrgent
    );
}
