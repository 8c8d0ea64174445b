//! Single decisions, each with the load pattern that it answers.

use std::time::Duration;

use dogwoodturn::{
    ids::{CustomerName, DataCentre, Incarnation, ServiceName, UpstreamId},
    units::{Time, WallTime},
};
use dogwoodturn_gateway::{
    dialect::{Prompt, PromptPart},
    directory::{Directory, Upstream},
    mesh::{Mesh, Message},
    placement::{Choice, Need, Placement, Verdict},
    retry::{Bounds, RetryBudgets},
    rollout::VersionRule,
    sse::EventBuffer,
    store::UpstreamRecord,
    supply::{Place, Supply},
    suspect::{Digest, Suspects},
    table::{EngineShape, HostBounds},
    usage::Usage,
};
use indexmap::IndexMap;

const ENGINE: EngineShape = EngineShape { slots: 32, memory_tokens: 400_000 };

fn at(ms: u64) -> Time {
    Time(10_000_000 + ms * 1000)
}

fn service() -> ServiceName {
    "model".parse().unwrap()
}

fn here() -> DataCentre {
    "here".parse().unwrap()
}

fn record(id: &str, data_centre: &str, reclaimable: bool) -> UpstreamRecord {
    UpstreamRecord {
        id: id.parse().unwrap(),
        started: 1,
        service: service(),
        version: "v1".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: data_centre.parse().unwrap(),
        slots: 32,
        draining: false,
        reclaimable,
        warm_up: Duration::ZERO,
    }
}

fn directory(ids: &[&str]) -> Directory {
    let mut directory = Directory::new(Duration::from_secs(2));
    for id in ids {
        directory.set(record(id, "here", false));
    }
    directory
}

fn live(directory: &Directory, now: Time) -> Vec<&Upstream> {
    directory.live(now, &service())
}

fn ids(upstreams: &[&Upstream]) -> Vec<String> {
    upstreams.iter().map(|upstream| upstream.record.id.to_string()).collect()
}

#[test]
fn live_entry_that_vanishes_is_left_at_once() {
    let mut directory = directory(&["a", "b"]);
    directory.vanished(at(0), "a");
    assert_eq!(ids(&live(&directory, at(0))), ["b"]);
}

#[test]
fn live_entries_that_lapse_while_the_store_is_away_stay_until_it_is_back() {
    let mut directory = directory(&["a", "b"]);
    directory.store_lost();
    directory.store_regained(at(1000));
    directory.retain_listed(at(1000), &["b".parse().unwrap()]);
    assert_eq!(ids(&live(&directory, at(1500))), ["a", "b"]);
    assert_eq!(ids(&live(&directory, at(3000))), ["b"], "missing two seconds later is gone");
}

#[test]
fn live_last_upstream_that_vanishes_serves_as_a_last_resort_for_a_moment() {
    let mut directory = directory(&["a"]);
    directory.vanished(at(0), "a");
    assert_eq!(live(&directory, at(500)).len(), 1);
    assert_eq!(live(&directory, at(1300)).len(), 0);
}

#[test]
fn live_upstream_that_leaves_takes_nothing() {
    let mut directory = directory(&["a", "b"]);
    directory.leaving(&"a".parse().unwrap(), 1, true);
    assert_eq!(ids(&live(&directory, at(0))), ["b"]);
}

#[test]
fn live_new_start_under_the_same_id_outlasts_what_was_said_of_the_last() {
    let (mut here, mut there) = (directory(&["a"]), directory(&["a"]));
    there.set(UpstreamRecord { draining: true, ..record("a", "here", false) });
    let said = there.all_leaving(at(0));
    let anew = UpstreamRecord { started: 2, ..record("a", "here", false) };
    here.set(anew.clone());
    for (id, started) in &said {
        here.leaving(id, *started, true);
    }
    assert_eq!(live(&here, at(0)).len(), 1, "an older start's leaving does not count");
    // What a peer said is not passed on, or two daemons would keep each other believing it.
    for (id, started) in &said {
        there.leaving(id, *started, true);
    }
    there.set(anew);
    here.leaving(&"a".parse().unwrap(), 2, true);
    assert!(here.all_leaving(at(0)).is_empty() && there.all_leaving(at(0)).is_empty());
    assert_eq!(live(&there, at(0)).len(), 1);
}

#[test]
fn live_entry_that_went_while_only_this_daemon_was_cut_off_is_left_at_once() {
    let id: UpstreamId = "a".parse().unwrap();
    let mut peer = directory(&["a", "b"]);
    peer.vanished(at(12_900), "a");
    let told = peer.all_leaving(at(13_000));
    assert_eq!(told, [(id, 1)]);

    let mut here = directory(&["a", "b"]);
    here.store_lost();
    for (id, started) in &told {
        here.leaving(id, *started, true);
    }
    here.store_regained(at(14_200));
    here.retain_listed(at(14_200), &["b".parse().unwrap()]);
    assert_eq!(ids(&live(&here, at(14_300))), ["b"]);

    let mut too_late = directory(&["a", "b"]);
    too_late.store_lost();
    too_late.store_regained(at(13_100));
    too_late.retain_listed(at(13_100), &["b".parse().unwrap()]);
    for (id, started) in &told {
        too_late.leaving(id, *started, false);
    }
    assert_eq!(ids(&live(&too_late, at(13_200))), ["b"]);
}

#[test]
fn live_entry_that_is_back_is_not_left_for_an_old_word() {
    let mut here = directory(&["a", "b"]);
    here.leaving(&"a".parse().unwrap(), 1, false);
    assert_eq!(ids(&live(&here, at(0))), ["a", "b"]);
}

#[test]
fn all_leaving_entries_that_may_only_have_lapsed_are_not_told() {
    let mut directory = directory(&["a", "b"]);
    directory.store_lost();
    directory.store_regained(at(1000));
    directory.retain_listed(at(1000), &["b".parse().unwrap()]);
    assert_eq!(directory.all_leaving(at(1500)), []);
    assert_eq!(directory.all_leaving(at(3100)).len(), 1);
}

struct Asker {
    placement: Placement,
    directory: Directory,
}

impl Asker {
    fn choose(&mut self, now: Time, prompt: &Prompt, left_ms: u64) -> Choice {
        let near = here();
        let service = service();
        let need = Need {
            service: &service,
            engine: Some(ENGINE),
            prompt,
            near: &near,
            target: Duration::from_millis(500),
            left: Duration::from_millis(left_ms),
            tried: &[],
            versions: VersionRule::Any,
        };
        let live = self.directory.live(now, &service);
        self.placement.choose(now, &live, &need)
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
fn choose_requests_that_share_a_part_meet_while_nobody_waits() {
    let mut asker =
        Asker { placement: Placement::default(), directory: directory(&["a", "b", "c", "d"]) };
    let mut chosen = Vec::new();
    for own in 0..6 {
        let now = at(own * 1000);
        let Choice::Upstream(mut ticket) = asker.choose(now, &prompt(own + 100, 7, 4000), 5000)
        else {
            panic!("refused");
        };
        chosen.push(ticket.upstream.clone());
        let done = now + Duration::from_millis(90);
        asker.placement.answered(done, &service(), &mut ticket);
        asker.placement.ended(done, &service(), &ticket, Verdict::Answered);
    }
    assert!(chosen.windows(2).all(|pair| pair[0] == pair[1]), "{chosen:?}");
}

#[test]
fn choose_burst_on_one_key_spreads_before_one_engine_melts() {
    let mut asker =
        Asker { placement: Placement::default(), directory: directory(&["a", "b", "c", "d"]) };
    let mut counts = IndexMap::<UpstreamId, u32>::new();
    for own in 0..24 {
        if let Choice::Upstream(ticket) = asker.choose(at(0), &prompt(own + 100, 7, 4000), 5000) {
            *counts.entry(ticket.upstream).or_default() += 1;
        }
    }
    assert_eq!(counts.len(), 4, "{counts:?}");
    let (most, least) = (counts.values().max().unwrap(), counts.values().min().unwrap());
    assert!(most - least <= 3, "{counts:?}");
}

#[test]
fn choose_overload_refuses_at_once_with_a_time_to_come_back() {
    let mut asker = Asker { placement: Placement::default(), directory: directory(&["a", "b"]) };
    let mut refused = None;
    for own in 0..100 {
        let choice = asker.choose(at(0), &prompt(own + 100, own, 8000), 5000);
        if let Choice::Refused { retry_after, .. } = choice {
            refused = Some((own, retry_after));
            break;
        }
    }
    let (admitted, retry_after) = refused.expect("an overload is not refused");
    assert!(admitted >= 4, "{admitted} admitted with engines idle");
    assert!(retry_after >= Duration::from_millis(100) && retry_after < Duration::from_secs(5));
}

#[test]
fn choose_long_prompt_is_not_refused_for_its_length() {
    let mut asker = Asker { placement: Placement::default(), directory: directory(&["a"]) };
    let choice = asker.choose(at(0), &prompt(1, 2, 50_000), 12_000);
    assert!(matches!(choice, Choice::Upstream(_)), "{choice:?}");
}

#[test]
fn choose_upstream_that_fails_is_left_and_tried_again_later() {
    let mut asker = Asker { placement: Placement::default(), directory: directory(&["a", "b"]) };
    let mut failing = None;
    for own in 0..12 {
        let now = at(own * 50);
        let Choice::Upstream(ticket) = asker.choose(now, &prompt(own + 100, 7, 400), 5000) else {
            panic!("refused");
        };
        let failing = failing.get_or_insert(ticket.upstream.clone());
        let is_failing = ticket.upstream == *failing;
        let verdict = if is_failing { Verdict::Failed } else { Verdict::Answered };
        asker.placement.ended(now, &service(), &ticket, verdict);
    }
    let failing = failing.unwrap();
    let Choice::Upstream(ticket) = asker.choose(at(700), &prompt(1, 7, 400), 5000) else {
        panic!("refused");
    };
    assert_ne!(ticket.upstream, failing);
    asker.placement.ended(at(700), &service(), &ticket, Verdict::Answered);
    let Choice::Upstream(ticket) = asker.choose(at(30_000), &prompt(2, 7, 400), 5000) else {
        panic!("refused");
    };
    assert_eq!(ticket.upstream, failing, "it is the home of the shared part again");
}

#[test]
fn try_repeat_storm_keeps_to_the_budget_of_all_daemons() {
    const DAEMONS: u32 = 7;
    let bounds = Bounds { ratio: 0.2, allowance: 54.0, window: Duration::from_secs(10) };
    let mut budgets: Vec<_> = (0..DAEMONS).map(|_| RetryBudgets::new(bounds)).collect();
    let mut repeats = Vec::new();
    let mut requests = Vec::new();
    for ms in 0..30_000_u64 {
        for (index, budget) in budgets.iter_mut().enumerate() {
            if (ms + index as u64).is_multiple_of(50) {
                budget.request(at(ms), &service());
                requests.push(ms);
                if budget.try_repeat(at(ms), &service(), DAEMONS) {
                    repeats.push(ms);
                }
            }
        }
    }
    for from in (0..20_000).step_by(250) {
        let within = |times: &[u64]| {
            times.iter().filter(|ms| (from..from + 10_000).contains(*ms)).count() as f64
        };
        let allowed = within(&requests) * bounds.ratio + bounds.allowance;
        assert!(within(&repeats) <= allowed, "{} of {allowed} from {from}", within(&repeats));
    }
    assert!(repeats.len() as f64 >= requests.len() as f64 * 0.1, "the budget is of no use");
}

#[test]
fn is_refused_request_that_crashes_upstreams_at_any_daemon() {
    let (mut here, mut there) = (Suspects::default(), Suspects::default());
    let digest = Digest(9);
    here.crashed(at(0), digest);
    here.crashed(at(100), digest);
    there.crashed(at(200), digest);
    assert!(!there.is_refused(at(200), digest), "one crash may be bad luck");
    for (digest, count) in here.recent(at(300)) {
        there.peer_counted(at(300), "here", digest, count);
    }
    assert!(there.is_refused(at(300), digest));
    assert!(!there.is_refused(at(300), Digest(10)));
    assert!(!there.is_refused(at(70_000), digest), "it is forgotten in the end");
}

#[test]
fn is_refused_request_that_was_answered_is_no_suspect() {
    let mut suspects = Suspects::default();
    for ms in 0..5 {
        suspects.crashed(at(ms), Digest(1));
        suspects.answered(Digest(1));
    }
    assert!(!suspects.is_refused(at(10), Digest(1)));
}

fn bounds() -> HostBounds {
    let prices = [("cheap", 0.8), ("here", 1.0), ("dear", 1.2)];
    let prices = prices.map(|(name, price)| (name.parse().unwrap(), price));
    HostBounds {
        min: 1,
        max: 8,
        start: Duration::from_secs(4),
        reclaimable_price: Some(0.15),
        prices: IndexMap::from(prices),
    }
}

/// Plays a demand against a cloud that carries orders out at once, and returns what runs.
fn supply(demand: impl Fn(u64) -> f64, reclaims_at: Option<u64>) -> Vec<(u64, u32, u32)> {
    let mut supply = Supply::default();
    let mut hosts = IndexMap::<(String, bool), u32>::new();
    for data_centre in ["cheap", "here", "dear"] {
        hosts.insert((data_centre.into(), false), 4);
    }
    let mut seen = Vec::new();
    for ms in (0..60_000_u64).step_by(200) {
        let is_dry = reclaims_at.is_some_and(|from| (from..from + 14_000).contains(&ms));
        if is_dry {
            hosts.iter_mut().filter(|((_, reclaimable), _)| *reclaimable).for_each(|(_, n)| *n = 0);
        }
        let records: Vec<_> = hosts
            .iter()
            .flat_map(|((data_centre, reclaimable), count)| {
                (0..*count).map(move |n| {
                    record(&format!("{data_centre}{reclaimable}{n}"), data_centre, *reclaimable)
                })
            })
            .collect();
        let present: Vec<_> = records.iter().collect();
        for order in supply.due(at(ms), &service(), &bounds(), demand(ms), &present) {
            let accepted = !(order.place.reclaimable && is_dry);
            if accepted {
                let place = (order.place.data_centre.to_string(), order.place.reclaimable);
                hosts.insert(place, order.count);
            }
            supply.answered(at(ms), &order, accepted);
        }
        let sum = |sort: bool| hosts.iter().filter(|((_, r), _)| *r == sort).map(|(_, n)| n).sum();
        seen.push((ms, sum(false), sum(true)));
    }
    seen
}

#[test]
fn due_usual_demand_gives_up_what_it_does_not_need() {
    let seen = supply(|_| 3.0, None);
    let (_, base, reclaimable) = *seen.last().unwrap();
    assert!((4..=6).contains(&base), "{base} of the 12 hosts at the start");
    assert!(reclaimable >= 3, "{reclaimable} hosts for bursts");
}

#[test]
fn due_nothing_is_ordered_before_there_is_demand() {
    let seen = supply(|ms| if ms < 10_000 { 0.0 } else { 3.0 }, None);
    assert!(seen.iter().filter(|(ms, ..)| *ms < 10_000).all(|(_, base, _)| *base == 12));
}

#[test]
fn due_reclaim_of_every_reclaimable_host_leaves_the_base() {
    let seen = supply(|_| 4.0, Some(20_000));
    let during = seen.iter().filter(|(ms, ..)| (20_000..34_000).contains(ms));
    for (ms, base, _) in during {
        assert!(f64::from(*base) * 0.75 >= 4.0, "{base} hosts at {ms} for a demand of 4");
    }
    let (_, _, reclaimable) = *seen.last().unwrap();
    assert!(reclaimable > 0, "reclaimable hosts are ordered again");
}

/// Plays a large system in which hosts take four seconds to start, and returns for each moment the
/// hosts that serve and those of the base that are paid for.
fn large_supply(demand: impl Fn(u64) -> f64) -> Vec<(u64, u32, u32)> {
    const START_MS: u64 = 4000;
    let centres = ["cheap", "here", "dear", "far"];
    let bounds = HostBounds {
        min: 1,
        max: 30,
        start: Duration::from_millis(START_MS),
        reclaimable_price: Some(0.15),
        prices: centres
            .iter()
            .zip([0.85, 1.0, 1.2, 1.1])
            .map(|(n, p)| (n.parse().unwrap(), p))
            .collect(),
    };
    let mut supply = Supply::default();
    // When each host of a place begins to serve.
    let mut hosts = IndexMap::<Place, Vec<u64>>::new();
    for data_centre in centres {
        let place = Place { data_centre: data_centre.parse().unwrap(), reclaimable: false };
        hosts.insert(place, vec![0; 14]);
    }
    let mut seen = Vec::new();
    for ms in (0..40_000_u64).step_by(200) {
        let mut records = Vec::new();
        for (place, starts) in &hosts {
            for (n, _) in starts.iter().enumerate().filter(|(_, from)| **from <= ms) {
                let id = format!("{}{}{n}", place.data_centre, place.reclaimable);
                records.push(record(&id, place.data_centre.as_str(), place.reclaimable));
            }
        }
        let present: Vec<_> = records.iter().collect();
        for order in supply.due(at(ms), &service(), &bounds, demand(ms), &present) {
            let starts = hosts.entry(order.place.clone()).or_default();
            starts.resize(order.count as usize, ms + START_MS);
            supply.answered(at(ms), &order, true);
        }
        let base = hosts.iter().filter(|(place, _)| !place.reclaimable);
        seen.push((ms, records.len() as u32, base.map(|(_, starts)| starts.len() as u32).sum()));
    }
    seen
}

#[test]
fn due_surplus_of_the_start_is_given_up_once_others_serve_though_the_demand_still_rises() {
    let seen = large_supply(|ms| 14.0 + (ms as f64 / 4000.0).min(4.0) + (ms as f64 / 1100.0).sin());
    for (ms, serving, base) in seen {
        let least = 18.0 / 0.75;
        assert!(f64::from(serving) >= least, "{serving} hosts serve at {ms}");
        assert!(ms < 11_000 || base <= 30, "{base} hosts of the base at {ms}");
    }
}

#[test]
fn due_demand_that_swings_does_not_move_hosts_about() {
    let seen = supply(|ms| 3.0 + (ms as f64 / 2000.0).sin(), None);
    let after = seen.iter().filter(|(ms, ..)| *ms > 20_000).map(|(_, base, _)| *base);
    let counts: Vec<u32> = after.collect();
    let changes = counts.windows(2).filter(|pair| pair[0] != pair[1]).count();
    assert!(changes <= 3, "{changes} changes in 40 s");
}

fn message(daemon: &str, number: u64, wall: u64) -> Message {
    Message {
        daemon: daemon.parse().unwrap(),
        incarnation: Incarnation(1),
        number,
        wall: WallTime(wall),
        table: 0,
        acts: false,
        admitted: Vec::new(),
        asked: Vec::new(),
        usage: Vec::new(),
        work: Vec::new(),
        demands: Vec::new(),
        crashes: Vec::new(),
        tallies: Vec::new(),
        holds: Vec::new(),
        upstreams_at: None,
        leaving: Vec::new(),
    }
}

#[test]
fn agreed_time_holds_while_fewer_than_half_of_the_clocks_are_wrong() {
    let mut mesh = Mesh::new("me".parse().unwrap());
    let wall = WallTime(1_000_000);
    for (daemon, clock) in [("a", 1_000_001), ("b", 1_000_000), ("c", 1_003_000), ("d", 999_999)] {
        mesh.heard(at(0), wall, "127.0.0.1:1".parse().unwrap(), message(daemon, 1, clock));
    }
    let agreed = mesh.agreed_time(at(100), wall).0;
    assert!(agreed.abs_diff(wall.0) <= 1, "{agreed}");
    // This daemon's own clock is three seconds ahead now, and the peers' next messages show it.
    let wrong = WallTime(wall.0 + 3000);
    for (daemon, clock) in [("a", 1_000_001), ("b", 1_000_000), ("c", 1_003_000), ("d", 999_999)] {
        mesh.heard(at(200), wrong, "127.0.0.1:1".parse().unwrap(), message(daemon, 2, clock));
    }
    let agreed = mesh.agreed_time(at(200), wrong).0;
    assert!(agreed.abs_diff(wall.0) <= 1, "{agreed}");
}

#[test]
fn admitted_many_daemons_are_heard_between_their_turns() {
    let mut mesh = Mesh::new("me".parse().unwrap());
    for index in 0..89_u64 {
        let daemon = format!("d{index}");
        mesh.heard(at(0), WallTime(0), "127.0.0.1:1".parse().unwrap(), message(&daemon, 1, 0));
    }
    // With 12 peers told every 250 ms, each of 89 is told every two seconds.
    let peers = mesh.admitted(at(2000), &"ada".parse().unwrap());
    assert_eq!((peers.heard, peers.silent), (89, 0));
    let peers = mesh.admitted(at(4000), &"ada".parse().unwrap());
    assert_eq!((peers.heard, peers.silent), (0, 89));
}

#[test]
fn heard_late_or_repeated_message_changes_nothing() {
    let mut mesh = Mesh::new("me".parse().unwrap());
    let from = "127.0.0.1:1".parse().unwrap();
    assert!(mesh.heard(at(0), WallTime(0), from, message("a", 2, 0)));
    assert!(!mesh.heard(at(1), WallTime(0), from, message("a", 2, 0)));
    assert!(!mesh.heard(at(2), WallTime(0), from, message("a", 1, 0)));
    assert!(!mesh.heard(at(3), WallTime(0), from, message("me", 9, 0)), "its own is no peer's");
}

#[test]
fn sum_adds_up_daemons_that_are_gone() {
    let ada: CustomerName = "ada".parse().unwrap();
    let mut usage = Usage::new(Duration::from_secs(5));
    usage.began(WallTime(12_000), &ada);
    let run = |incarnation| ("b".parse().unwrap(), Incarnation(incarnation));
    usage.peer_counted(run(1), &[(2, vec![(ada.clone(), 5)])]);
    usage.peer_counted(run(1), &[(2, vec![(ada.clone(), 4)])]);
    usage.peer_counted(run(2), &[(2, vec![(ada.clone(), 1)])]);
    assert_eq!(usage.sum(2).counts[&ada], 7, "a late message does not take counts back");
}

#[test]
fn kept_counts_outlast_all_daemons_and_count_once() {
    let ada: CustomerName = "ada".parse().unwrap();
    let run = |daemon: &str, incarnation| (daemon.parse().unwrap(), Incarnation(incarnation));
    let mut before = Usage::new(Duration::from_secs(5));
    before.began(WallTime(12_000), &ada);
    before.peer_counted(run("b", 1), &[(1, vec![(ada.clone(), 9)]), (2, vec![(ada.clone(), 5)])]);
    let kept = before.runs(&run("a", 1), 2);
    assert_eq!(kept.len(), 2);
    // Both daemons have started anew; one of them has counted since, and is heard twice.
    let mut after = Usage::new(Duration::from_secs(5));
    after.kept(&run("a", 2), &kept);
    after.kept(&run("a", 2), &kept);
    after.began(WallTime(14_000), &ada);
    after.peer_counted(run("b", 2), &[(2, vec![(ada.clone(), 2)])]);
    assert_eq!(after.sum(2).counts[&ada], 9);
    assert!(after.sum(1).counts.is_empty(), "closed windows are not kept");
}

#[test]
fn next_event_parts_of_an_event_are_kept_back() {
    let mut events = EventBuffer::default();
    events.push(b"id: 1\ndata: a\n").unwrap();
    assert_eq!(events.next_event(), None);
    events.push(b"\nid: 2\nda").unwrap();
    assert_eq!(events.next_event().unwrap().id, Some(1));
    assert_eq!(events.next_event(), None);
    assert_eq!(&*events.rest(), b"id: 2\nda");
}
