//! Failures during the processing of a request, one at a time and two at once.

mod fake_world;

use std::time::Duration;

use dogwoodturn::{
    limit::upstream::RequestRate,
    moves::share::{Share, TrafficSplit},
    node::{report::AttemptEnd, traffic::Event},
    request::{
        exchange::{Head, StreamEnd},
        outcome::RunOutcome,
        refusal::{Refusal, RefusalKind},
    },
    upstream::{HostRecord, HostState},
};
use dogwoodturn_standins::engine::token;
use fake_world::{End, World};

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);

fn refusal(world: &World, node: usize, caller: dogwoodturn::request::CallerId) -> &Refusal {
    match world.end_of(node, caller) {
        Some(End::Refused(refusal)) => refusal,
        other => panic!("expected a refusal, got {other:?}"),
    }
}

fn proves_not_run(refusal: &Refusal) -> bool {
    matches!(refusal.outcome, RunOutcome::NotRun(_))
}

#[test]
fn stream_crash_is_resumed() {
    let mut world = World::new(1, 0);
    let caller = world.complete(0, "a phrase", 40, true);
    world.progress(0, 10, 3);
    world.break_connection(0, false);
    world.send_late_bytes(0);
    world.advance(SECOND);
    assert_ne!(world.attempts[1].host, world.attempts[0].host);
    // Three bytes of the tenth token had not arrived.
    assert_eq!(world.attempts[1].next, 9);
    world.progress(1, 40, 0);
    assert_eq!(world.end_of(0, caller), Some(&End::Finished));
}

#[test]
fn unstreamed_response_crash_is_resumed() {
    let mut world = World::new(1, 0);
    let caller = world.complete(0, "a phrase", 40, false);
    world.progress(0, 10, 0);
    world.break_connection(0, false);
    world.advance(SECOND);
    assert_eq!(world.attempts[1].next, 10);
    world.progress(1, 40, 0);
    assert_eq!(world.end_of(0, caller), Some(&End::Finished));
}

#[test]
fn stream_two_failures_at_once() {
    let mut world = World::new(1, 0);
    let caller = world.complete(0, "a phrase", 60, true);
    world.progress(0, 20, 0);
    world.break_connection(0, false);
    world.advance(SECOND);
    world.unreachable(1);
    world.advance(SECOND);
    world.progress(2, 20, 0);
    world.break_connection(2, false);
    world.advance(SECOND);
    world.progress(3, 60, 0);
    assert_eq!(world.end_of(0, caller), Some(&End::Finished));
}

#[test]
fn stream_hung_engine_is_replaced() {
    let mut world = World::new(1, 0);
    let caller = world.complete(0, "a phrase", 20, true);
    world.progress(0, 5, 0);
    world.advance(5 * SECOND);
    assert!(world.attempts[0].closed);
    world.send_late_bytes(0);
    world.progress(1, 20, 0);
    assert_eq!(world.end_of(0, caller), Some(&End::Finished));
}

#[test]
fn stream_batch_has_longer_timeout() {
    let mut world = World::new(1, 0);
    let waiting = world.complete_on_route("/glossaries", 0, "a glossary", 20, true);
    world.advance(20 * SECOND);
    assert!(!world.attempts[0].closed);
    world.stream(0, 20);
    assert_eq!(world.end_of(0, waiting), Some(&End::Finished));
    let hung = world.complete_on_route("/glossaries", 0, "another", 20, true);
    world.advance(40 * SECOND);
    assert!(world.attempts[1].closed);
    world.stream(2, 20);
    assert_eq!(world.end_of(0, hung), Some(&End::Finished));
}

#[test]
fn stream_malformed_is_a_failure() {
    let mut world = World::new(1, 0);
    let caller = world.complete(0, "a phrase", 20, true);
    world.progress(0, 5, 0);
    let id = world.attempts[0].id;
    world.handle_event(0, Event::AttemptChunk(id, "data: {\"text\": \nid: x\n\ndata: [DO".into()));
    world.advance(SECOND);
    assert!(world.attempts[0].closed);
    world.progress(1, 20, 0);
    assert_eq!(world.end_of(0, caller), Some(&End::Finished));
    assert_eq!(world.nodes[0].reports[0].end, AttemptEnd::Failure);
}

#[test]
fn stream_early_end_is_retried() {
    let mut world = World::new(1, 0);
    let caller = world.complete(0, "a phrase", 20, true);
    world.progress(0, 5, 0);
    let id = world.attempts[0].id;
    world.handle_event(0, Event::AttemptEnded(id, StreamEnd::Eof));
    assert_eq!(world.end_of(0, caller), None);
    world.advance(SECOND);
    world.progress(1, 20, 0);
    assert_eq!(world.end_of(0, caller), Some(&End::Finished));
}

#[test]
fn refusal_by_every_upstream_is_not_run() {
    let mut world = World::new(1, 0);
    let caller = world.complete(0, "a phrase", 20, true);
    for _ in 0..4 {
        world.advance(SECOND);
        let open = world.open_attempts();
        world.refuse(open[0]);
    }
    let refusal = refusal(&world, 0, caller);
    assert!(proves_not_run(refusal) && refusal.retry_after.is_some(), "{refusal:?}");
}

#[test]
fn refusal_after_a_lost_attempt_may_have_run() {
    let mut world = World::new(1, 0);
    let caller = world.complete(0, "a phrase", 20, true);
    world.break_connection(0, false);
    for _ in 0..3 {
        world.advance(SECOND);
        if let [open, ..] = world.open_attempts()[..] {
            world.refuse(open);
        }
    }
    assert_eq!(refusal(&world, 0, caller).outcome, RunOutcome::MayHaveRun);
}

#[test]
fn deadline_ends_at_once_and_cancels() {
    let mut world = World::new(1, 0);
    let caller = world.complete(0, "a phrase", 20_000, true);
    for _ in 0..70 {
        world.advance(500 * MS);
        world.progress(0, 1, 0);
    }
    let kind = refusal(&world, 0, caller).kind;
    assert_eq!(kind, RefusalKind::DeadlineExceeded);
    assert!(world.attempts[0].closed && world.cancelled == [world.attempts[0].name.clone()]);
}

#[test]
fn caller_disconnect_cancels_attempt() {
    let mut world = World::new(1, 0);
    let unnamed = world.complete(0, "one", 20, true);
    world.disconnect((0, unnamed));
    assert!(world.attempts[0].closed, "a caller without a request id cannot resume");
    let named = world.complete(0, "two", 20, true);
    world.progress(1, 5, 0);
    world.disconnect((0, named));
    assert!(!world.attempts[1].closed, "the caller may still resume");
    world.advance(2 * SECOND);
    assert!(!world.attempts[1].closed);
    world.advance(2 * SECOND);
    assert!(world.attempts[1].closed);
    assert_eq!(world.cancelled.len(), 2);
    assert_eq!(world.nodes[0].traffic.unfinished(), 0);
}

#[test]
fn claimed_call_runs_once() {
    let mut world = World::new(2, 0);
    let first = world.call(0, "POST", Some("lot-1"));
    assert!(world.attempts.is_empty(), "nothing is dispatched before the claim is granted");
    world.respond_to_claim(0);
    // The caller resends through another daemon while the first call runs.
    let second = world.call(1, "POST", Some("lot-1"));
    world.respond_to_claim(0);
    assert_eq!(refusal(&world, 1, second).outcome, RunOutcome::MayHaveRun);
    world.progress(0, 0, 0);
    assert_eq!(world.end_of(0, first), Some(&End::Finished));
    let third = world.call(1, "POST", Some("lot-1"));
    world.respond_to_claim(0);
    assert_eq!(world.end_of(1, third), Some(&End::Finished));
    assert_eq!((world.attempts.len(), world.runs["lot-1"]), (1, 1));
}

#[test]
fn claimed_call_lost_response_is_never_repeated() {
    let mut world = World::new(1, 0);
    let first = world.call(0, "POST", Some("lot-1"));
    world.respond_to_claim(0);
    world.break_connection(0, true);
    world.advance(20 * SECOND);
    assert_eq!(refusal(&world, 0, first).outcome, RunOutcome::MayHaveRun);
    let again = world.call(0, "POST", Some("lot-1"));
    world.respond_to_claim(0);
    assert_eq!(refusal(&world, 0, again).kind, RefusalKind::ClaimUnresolved);
    assert_eq!(world.attempts.len(), 1);
}

#[test]
fn claimed_call_refused_by_upstream_releases() {
    let mut world = World::new(1, 0);
    let first = world.call(0, "POST", Some("lot-1"));
    world.respond_to_claim(0);
    world.refuse(0);
    assert!(proves_not_run(refusal(&world, 0, first)));
    let again = world.call(0, "POST", Some("lot-1"));
    world.respond_to_claim(0);
    world.progress(1, 0, 0);
    assert_eq!(world.end_of(0, again), Some(&End::Finished));
}

#[test]
fn claimed_call_continues_without_its_caller() {
    let mut world = World::new(1, 0);
    let first = world.call(0, "POST", Some("lot-1"));
    world.respond_to_claim(0);
    world.disconnect((0, first));
    world.progress(0, 0, 0);
    let again = world.call(0, "POST", Some("lot-1"));
    world.respond_to_claim(0);
    assert_eq!(world.end_of(0, again), Some(&End::Finished));
    assert_eq!(world.runs["lot-1"], 1);
}

#[test]
fn claim_granted_after_the_caller_left_is_released() {
    let mut world = World::new(1, 0);
    let first = world.call(0, "POST", Some("lot-1"));
    world.disconnect((0, first));
    world.respond_to_claim(0);
    assert!(world.attempts.is_empty());
    world.call(0, "POST", Some("lot-1"));
    world.respond_to_claim(0);
    assert_eq!(world.attempts.len(), 1);
}

#[test]
fn claim_outage_is_not_run() {
    let mut world = World::new(1, 0);
    world.claims_unavailable = true;
    let caller = world.call(0, "POST", Some("lot-1"));
    world.respond_to_claim(0);
    let refusal = refusal(&world, 0, caller);
    assert!(proves_not_run(refusal) && refusal.retry_after.is_some());
}

#[test]
fn call_without_a_key_is_never_repeated() {
    let mut world = World::new(1, 0);
    let caller = world.call(0, "POST", None);
    world.break_connection(0, false);
    world.advance(5 * SECOND);
    assert_eq!(refusal(&world, 0, caller).outcome, RunOutcome::MayHaveRun);
    assert_eq!(world.attempts.len(), 1);
}

#[test]
fn safe_call_is_retried() {
    let mut world = World::new(1, 0);
    let caller = world.call(0, "GET", None);
    world.fail(0);
    world.advance(SECOND);
    world.progress(1, 0, 0);
    assert_eq!(world.end_of(0, caller), Some(&End::Finished));
}

#[test]
fn move_retry_goes_to_the_old_version() {
    let mut world = World::new(1, 0);
    for host in world.hosts.iter_mut().filter(|host| host.service.as_str() == "llm").skip(1) {
        host.version = "v2".parse().expect("a name");
    }
    let split = TrafficSplit {
        move_name: "to-v2".parse().expect("a name"),
        from: "v1".parse().expect("a name"),
        to: "v2".parse().expect("a name"),
        share: Share::FULL,
        max_outstanding: None,
    };
    world.splits.insert("llm".parse().expect("a name"), split);
    world.publish_snapshots();
    let caller = world.complete(0, "a phrase", 3, true);
    let version_of = |world: &World, index: usize| {
        let host = &world.hosts[world.attempts[index].host];
        host.version.to_string()
    };
    assert_eq!(version_of(&world, 0), "v2");
    world.fail(0);
    world.advance(SECOND);
    assert_eq!(version_of(&world, 1), "v1");
    world.stream(1, 10);
    assert_eq!(world.end_of(0, caller), Some(&End::Finished));
}

#[test]
fn reclaim_short_streams_finish_and_long_ones_move() {
    let mut world = World::new(1, 0);
    let short = world.complete(0, "a phrase", 30, true);
    let host = world.attempts[0].host;
    world.stream(0, 20);
    world.announce_leaving(host, 10 * SECOND);
    assert!(
        world.nodes[0].kv_moves.is_empty(),
        "the remaining ten tokens take less than ten seconds"
    );
    world.mark_live(host);
    let long = world.complete(0, "a phrase", 3000, true);
    world.stream(1, 20);
    assert_eq!(world.attempts[1].host, host, "the prompt is cached at that host");
    world.announce_leaving(host, 10 * SECOND);
    assert_eq!(world.nodes[0].kv_moves.len(), 1);
    // The stream continues at the leaving upstream until its KV cache has arrived.
    world.progress(1, 7, 0);
    world.complete_kv_move(0, true);
    assert!(world.attempts[1].closed && !world.attempts[0].closed);
    world.send_late_bytes(1);
    assert_eq!(world.attempts[2].next, 27);
    world.progress(0, 30, 0);
    world.progress(2, 3000, 0);
    assert_eq!(world.end_of(0, short), Some(&End::Finished));
    assert_eq!(world.end_of(0, long), Some(&End::Finished));
}

#[test]
fn reclaim_without_room_for_kv_resumes() {
    let mut world = World::new(1, 0);
    let caller = world.complete(0, "a phrase", 3000, true);
    world.stream(0, 20);
    world.announce_leaving(world.attempts[0].host, 10 * SECOND);
    world.complete_kv_move(0, false);
    assert!(world.attempts[0].closed);
    assert_eq!(world.attempts[1].next, 20);
    world.progress(1, 3000, 0);
    assert_eq!(world.end_of(0, caller), Some(&End::Finished));
}

#[test]
fn reclaim_kv_move_without_result_resumes() {
    let mut world = World::new(1, 0);
    let caller = world.complete(0, "a phrase", 3000, true);
    world.stream(0, 20);
    world.announce_leaving(world.attempts[0].host, 5 * SECOND);
    for _ in 0..9 {
        world.advance(500 * MS);
        world.progress(0, 1, 0);
    }
    world.advance(200 * MS);
    assert!(world.attempts[0].closed, "the stream moves before its upstream leaves");
    world.complete_kv_move(0, true);
    world.progress(1, 3000, 0);
    assert_eq!(world.end_of(0, caller), Some(&End::Finished));
    assert_eq!(world.attempts.len(), 2);
}

#[test]
fn reclaim_wave_spreads_over_survivors() {
    let mut world = World::new(1, 0);
    let callers: Vec<_> =
        (0..30).map(|n| world.complete(0, &format!("phrase {n}"), 250, true)).collect();
    assert_eq!(world.open_attempts().len(), 30, "all requests are admitted");
    for index in 0..30 {
        world.progress(index, 5, 0);
    }
    let at = HostState::Leaving { at: world.wall() + 10 * SECOND };
    world.hosts[0].state = at;
    world.hosts[1].state = at;
    world.publish_snapshots();
    while !world.nodes[0].kv_moves.is_empty() {
        world.complete_kv_move(0, true);
    }
    let mut load = [0_u32; fake_world::ENGINES];
    for index in world.open_attempts() {
        load[world.attempts[index].host] += 1;
    }
    assert_eq!((load[0], load[1], load[2] + load[3]), (0, 0, 30));
    // Bounded load: neither of the two remaining hosts gets more than about 1.5 times its share.
    assert!(load[2].max(load[3]) <= 23, "{load:?}");
    for index in world.open_attempts() {
        world.progress(index, 3000, 0);
    }
    assert!(callers.iter().all(|&caller| world.end_of(0, caller) == Some(&End::Finished)));
}

#[test]
fn reclaimed_host_that_breaks_early_is_no_crash() {
    let mut world = World::new(1, 0);
    let caller = world.complete(0, "a phrase", 40, true);
    world.progress(0, 1, 0);
    for attempt in 0..3 {
        world.announce_leaving(world.attempts[attempt].host, 100 * SECOND);
        world.break_connection(attempt, false);
        world.advance(SECOND);
    }
    world.progress(3, 40, 0);
    assert_eq!(world.end_of(0, caller), Some(&End::Finished));
}

#[test]
fn poison_is_refused_after_two_crashes_everywhere() {
    let mut world = World::new(2, 0);
    let caller = world.complete(0, "poison", 40, true);
    world.break_connection(0, false);
    world.advance(SECOND);
    world.break_connection(1, false);
    let first = refusal(&world, 0, caller);
    assert_eq!((first.kind, first.outcome), (RefusalKind::PoisonRequest, RunOutcome::MayHaveRun));
    world.deliver_all();
    for node in 0..2 {
        let again = world.complete(node, "poison", 40, true);
        let again = refusal(&world, node, again);
        assert!(again.kind == RefusalKind::PoisonRequest && proves_not_run(again));
        assert!(again.retry_after.is_some());
        let other = world.complete(node, "harmless", 40, true);
        assert_eq!(world.end_of(node, other), None);
    }
    assert_eq!(world.attempts.len(), 4);
}

#[test]
fn poison_neighbours_at_the_engine_survive() {
    let mut world = World::new(1, 0);
    let poison = world.complete(0, "same", 40, true);
    let bystanders: Vec<_> = (0..3).map(|n| world.complete(0, "same", 41 + n, true)).collect();
    for _ in 0..2 {
        // The engine that runs the poisonous request crashes with all its requests.
        let request = world.attempts[0].request.clone();
        let at = world.open_attempts().into_iter().find(|&i| world.attempts[i].request == request);
        let host = world.attempts[at.expect("the request runs")].host;
        world.crash(host);
        world.advance(SECOND);
    }
    assert_eq!(refusal(&world, 0, poison).kind, RefusalKind::PoisonRequest);
    for _ in 0..3 {
        for index in world.open_attempts() {
            world.progress(index, 100, 0);
        }
        world.advance(SECOND);
    }
    for caller in bystanders {
        assert_eq!(world.end_of(0, caller), Some(&End::Finished));
    }
}

#[test]
fn resume_at_other_daemons_mid_stream() {
    let mut world = World::new(3, 0);
    let first = world.complete(0, "a phrase", 60, true);
    world.progress(0, 20, 0);
    world.disconnect((0, first));
    world.progress(0, 10, 0);
    let second = world.resume_response((0, first), 2).expect("the caller knows the request id");
    world.deliver_all();
    assert_eq!(world.callers[&(2, second)].next, 30);
    world.progress(0, 10, 0);
    world.deliver_all();
    world.disconnect((2, second));
    world.deliver_all();
    let third = world.resume_response((2, second), 0).expect("the caller knows the request id");
    world.progress(0, 60, 0);
    assert_eq!(world.end_of(0, third), Some(&End::Finished));
    assert_eq!(world.attempts.len(), 1, "nothing is recomputed");
}

#[test]
fn fetch_lost_messages_are_retried() {
    let mut world = World::new(2, 0);
    let first = world.complete(0, "a phrase", 60, true);
    world.progress(0, 20, 0);
    world.disconnect((0, first));
    let second = world.resume_response((0, first), 1).expect("the caller knows the request id");
    world.deliver(0);
    world.links.clear();
    world.progress(0, 20, 0);
    world.links.clear();
    world.progress(0, 60, 0);
    world.links.clear();
    world.advance(SECOND);
    world.deliver_all();
    world.deliver_all();
    assert_eq!(world.end_of(1, second), Some(&End::Finished));
}

#[test]
fn finished_response_can_be_resumed() {
    let mut world = World::new(2, 0);
    let first = world.complete(0, "a phrase", 30, true);
    world.progress(0, 10, 0);
    world.disconnect((0, first));
    world.progress(0, 30, 0);
    assert_eq!(world.nodes[0].traffic.unfinished(), 0);
    let second = world.resume_response((0, first), 1).expect("the caller knows the request id");
    world.deliver_all();
    assert_eq!(world.end_of(1, second), Some(&End::Finished));
    world.advance(61 * SECOND);
    let late = world.resume_response((0, first), 1).expect("the caller knows the request id");
    world.deliver_all();
    assert_eq!(refusal(&world, 1, late).kind, RefusalKind::UnknownRequest);
}

#[test]
fn drain_lets_requests_finish_and_refuses_new_ones() {
    let mut world = World::new(2, 0);
    let running = world.complete(0, "a phrase", 30, true);
    world.progress(0, 10, 0);
    world.drain(0);
    let late = world.complete(0, "late", 30, true);
    let late = refusal(&world, 0, late);
    assert!(
        late.kind == RefusalKind::Draining && proves_not_run(late) && late.retry_after.is_some()
    );
    world.progress(0, 30, 0);
    assert_eq!(world.end_of(0, running), Some(&End::Finished));
}

#[test]
fn drain_hands_over_unfinished_requests() {
    let mut world = World::new(3, 0);
    let running = world.complete(0, "a phrase", 30, true);
    world.progress(0, 10, 0);
    world.drain(0);
    world.advance(2 * SECOND);
    world.progress(0, 10, 0);
    world.advance(2 * SECOND);
    world.progress(0, 0, 0);
    world.advance(1100 * MS);
    world.deliver_all();
    world.deliver_all();
    let handover = refusal(&world, 0, running);
    assert_eq!(handover.kind, RefusalKind::HandedOver);
    assert!(handover.resume.is_some());
    assert_eq!(world.nodes[0].traffic.unfinished(), 0);
    let new_holder = world.attempts[1].node;
    assert_eq!((new_holder != 0, world.attempts[1].next), (true, 20));
    let other = 3 - new_holder;
    let resumed =
        world.resume_response((0, running), other).expect("the caller knows the request id");
    world.deliver_all();
    world.progress(1, 30, 0);
    world.deliver_all();
    // The first holder queried is the draining daemon, which no longer holds the request.
    world.advance(SECOND);
    world.deliver_all();
    assert_eq!(world.end_of(other, resumed), Some(&End::Finished));
}

#[test]
fn drain_unresponsive_peer_is_skipped() {
    let mut world = World::new(3, 0);
    let running = world.complete(0, "a phrase", 30, true);
    world.progress(0, 10, 0);
    world.drain(0);
    world.stream(0, 12);
    world.advance(2 * SECOND);
    world.progress(0, 1, 0);
    world.advance(2500 * MS);
    world.links.clear();
    world.advance(600 * MS);
    world.deliver_all();
    world.deliver_all();
    assert_eq!(refusal(&world, 0, running).kind, RefusalKind::HandedOver);
}

#[test]
fn drain_without_peers_continues_requests() {
    let mut world = World::new(1, 0);
    let running = world.complete(0, "a phrase", 30, true);
    world.progress(0, 10, 0);
    world.drain(0);
    world.advance(6 * SECOND);
    for index in world.open_attempts() {
        world.progress(index, 30, 0);
    }
    assert_eq!(world.end_of(0, running), Some(&End::Finished));
}

#[test]
fn attempt_ids_are_unique() {
    let mut world = World::new(3, 0);
    world.complete(0, "a phrase", 30, true);
    world.progress(0, 10, 0);
    world.break_connection(0, false);
    world.advance(SECOND);
    world.drain(0);
    world.progress(1, 5, 0);
    world.advance(2 * SECOND);
    world.progress(1, 1, 0);
    world.advance(2 * SECOND);
    world.progress(1, 1, 0);
    // The first peer accepts the request, but its reply is lost, so the second accepts it as well.
    world.advance(1010 * MS);
    world.deliver(0);
    world.links.clear();
    world.advance(500 * MS);
    world.deliver_all();
    world.deliver_all();
    let mut names: Vec<_> = world.attempts.iter().map(|attempt| &attempt.name).collect();
    assert!(names.len() >= 4, "{names:?}");
    names.sort();
    names.dedup();
    assert_eq!(names.len(), world.attempts.len());
}

/// Guards against the error of a second engine inside a stream that has begun.
#[test]
fn stream_joined_with_the_error_of_a_second_engine() {
    for status in [204, 400, 404, 413, 422, 500] {
        let mut world = World::new(1, 0);
        let caller = world.complete(0, "a phrase", 40, true);
        world.progress(0, 10, 0);
        world.break_connection(0, false);
        world.advance(SECOND);
        let id = world.attempts[1].id;
        let head = Head { status, ..Head::default() };
        world.handle_event(0, Event::AttemptHead(id, Box::new(head)));
        world.handle_event(0, Event::AttemptChunk(id, "{\"error\":\"boom\"}".into()));
        world.handle_event(0, Event::AttemptEnded(id, StreamEnd::Eof));
        world.advance(SECOND);
        // The fake world fails the test if the caller received anything but the tokens.
        world.progress(2, 40, 0);
        assert_eq!(world.end_of(0, caller), Some(&End::Finished), "status {status}");
    }
}

#[test]
fn stream_status_409_is_retried_elsewhere() {
    let mut world = World::new(1, 0);
    let caller = world.complete(0, "a phrase", 30, true);
    let head = Head { status: 409, ..Head::default() };
    let id = world.attempts[0].id;
    world.handle_event(0, Event::AttemptHead(id, Box::new(head)));
    world.advance(SECOND);
    world.progress(1, 30, 0);
    assert_eq!(world.end_of(0, caller), Some(&End::Finished));
}

#[test]
fn prompts_with_one_crashing_line_crash_engine_after_engine() {
    const ALLOWED: usize = 5 + 3;
    let mut world = World::new(2, 0);
    let mut sent = 0;
    let mut refused = 0;
    for round in 0..12 {
        let node = round % 2;
        let prompt = format!("an old phrase book\nvenom\nphrase {round}");
        let caller = world.complete(node, &prompt, 40, true);
        while world.end_of(node, caller).is_none() {
            let open = world.open_attempts();
            let Some(&attempt) = open.last() else { break };
            sent += 1;
            world.break_connection(attempt, false);
            world.advance(SECOND);
            world.deliver_all();
        }
        let refusal = refusal(&world, node, caller);
        refused += usize::from(proves_not_run(refusal));
        // The first line is the same in sound prompts.
        for node in 0..2 {
            let prompt = format!("an old phrase book\ncustoms\nphrase {round}");
            let caller = world.complete(node, &prompt, 40, true);
            for attempt in world.open_attempts() {
                world.progress(attempt, 40, 0);
            }
            assert_eq!(world.end_of(node, caller), Some(&End::Finished), "round {round}");
        }
        world.deliver_all();
    }
    assert!(sent <= ALLOWED, "{sent} requests with one line were sent to engines");
    assert!(refused > 0, "no request with the line was refused as not run");
}

#[test]
fn engine_gets_more_requests_than_the_limit_that_it_named() {
    const LIMITED: usize = 1;
    const WINDOW_MS: usize = 4000;
    let limit = 3.0;
    let mut world = World::new(5, 0);
    world.rate_limits[LIMITED] = RequestRate::new(limit);
    let mut arrivals = Vec::new();
    for ms in (0..20_000).step_by(20) {
        for node in 0..5 {
            let before = world.attempts.len();
            world.complete(node, &format!("phrase {node} {ms}"), 10, true);
            for attempt in before..world.attempts.len() {
                arrivals.extend((world.attempts[attempt].host == LIMITED).then_some(ms));
                world.progress(attempt, 10, 0);
            }
        }
        world.deliver_all();
        world.advance(20 * MS);
    }
    arrivals.retain(|ms| *ms >= 1000);
    assert!(!arrivals.is_empty(), "the engine gets no requests at all");
    let in_window =
        |from: usize| arrivals.iter().filter(|ms| (from..from + WINDOW_MS).contains(*ms)).count();
    let most = arrivals.iter().map(|ms| in_window(*ms)).max().unwrap_or(0);
    let allowed = limit * 4.0 * 1.5 + 5.0;
    assert!(most as f64 <= allowed, "{most} requests in 4 s, of {allowed} allowed");
    // The limit ends with the first response that does not name it.
    world.rate_limits[LIMITED] = None;
    let before = world.attempts.len();
    for ms in (0..4000).step_by(20) {
        for node in 0..5 {
            let first = world.attempts.len();
            world.complete(node, &format!("word {node} {ms}"), 10, true);
            (first..world.attempts.len()).for_each(|attempt| world.progress(attempt, 10, 0));
        }
        world.deliver_all();
        world.advance(20 * MS);
    }
    let at_limited = world.attempts[before..].iter().filter(|a| a.host == LIMITED).count();
    assert!(at_limited > 100, "only {at_limited} requests after the limit has ended");
}

#[test]
fn engine_that_sends_tokens_without_end_fills_the_memory() {
    const MAX_TOKENS: u64 = 5;
    let mut world = World::new(1, 0);
    let caller = world.complete(0, "a phrase", MAX_TOKENS, false);
    let id = world.attempts[0].id;
    let head = Head { status: 200, is_event_stream: true, ..Head::default() };
    world.handle_event(0, Event::AttemptHead(id, Box::new(head)));
    for offset in 0..=MAX_TOKENS {
        assert!(!world.attempts[0].closed, "closed at token {offset}");
        let data = serde_json::json!({ "text": token("a phrase", offset) });
        let event = format!("id: {offset}\ndata: {data}\n\n");
        world.handle_event(0, Event::AttemptChunk(id, event.into()));
    }
    assert!(world.attempts[0].closed, "the engine sends more tokens than were requested");
    world.advance(SECOND);
    world.progress(1, MAX_TOKENS, 0);
    assert_eq!(world.end_of(0, caller), Some(&End::Finished));
}

/// Leaves one engine in the host list.
fn keep_one_engine(world: &mut World) {
    let is_first = |host: &HostRecord| host.upstream.as_str() == "llm-0";
    world.hosts.retain(|host| host.service.as_str() != "llm" || is_first(host));
    world.publish_snapshots();
}

/// Completes all open attempts and checks that each caller has its whole response.
fn assert_all_finish(world: &mut World) {
    for attempt in world.open_attempts() {
        world.progress(attempt, 100, 0);
    }
    let unfinished: Vec<_> =
        world.callers.values().filter(|caller| caller.end != Some(End::Finished)).collect();
    assert!(unfinished.is_empty(), "{} unfinished: {:?}", unfinished.len(), unfinished[0]);
}

#[test]
fn silent_engine_is_left_without_retry_budget() {
    let mut world = World::new(1, 0);
    for index in 0..40 {
        world.complete(0, &format!("phrase {index}"), 20, true);
    }
    world.advance(5 * SECOND);
    assert_all_finish(&mut world);
}

#[test]
fn silent_stream_is_left_without_retry_budget() {
    const STREAMS: usize = 40;
    // 10 at first, a tenth of a retry for each request, and one a second.
    const BUDGET: usize = 10 + STREAMS / 10 + 5;
    let mut world = World::new(1, 0);
    for index in 0..STREAMS {
        world.complete(0, &format!("phrase {index}"), 20, true);
        world.progress(index, 5, 0);
    }
    world.advance(5 * SECOND);
    let retries = world.attempts.len() - STREAMS;
    assert!(retries > 0, "no silent engine was left");
    assert!(retries <= BUDGET, "{retries} retries, of {BUDGET} allowed");
    assert_all_finish(&mut world);
}

#[test]
fn silent_engine_is_left_for_one_that_refuses() {
    const REQUESTS: usize = 40;
    let mut world = World::new(1, 0);
    for index in 0..REQUESTS {
        world.complete(0, &format!("phrase {index}"), 20, true);
    }
    world.advance(4 * SECOND);
    let moved: Vec<usize> = (REQUESTS..world.attempts.len()).collect();
    assert!(!moved.is_empty(), "no silent engine was left");
    for &attempt in &moved {
        world.refuse(attempt);
    }
    for _ in 0..200 {
        world.advance(100 * MS);
        for attempt in world.open_attempts() {
            world.progress(attempt, 20, 0);
        }
    }
    let retries = world.attempts.len() - REQUESTS - moved.len();
    assert!(retries <= moved.len(), "{retries} retries of {} requests", moved.len());
    assert_all_finish(&mut world);
}

#[test]
fn broken_request_finds_the_budget_used_up_by_silent_ones() {
    let mut world = World::new(1, 0);
    for index in 0..40 {
        world.complete(0, &format!("phrase {index}"), 20, true);
    }
    world.advance(4 * SECOND);
    for index in 0..5 {
        world.advance(1100 * MS);
        let broken = world.complete(0, &format!("broken {index}"), 20, true);
        let attempt = *world.open_attempts().last().expect("an attempt");
        world.break_connection(attempt, false);
        assert_eq!(world.end_of(0, broken), None, "round {index}");
    }
    world.advance(SECOND);
    assert_all_finish(&mut world);
}

#[test]
fn silent_engine_is_left_without_another_engine() {
    let mut world = World::new(1, 0);
    keep_one_engine(&mut world);
    world.complete(0, "one", 20, true);
    world.complete(0, "two", 20, true);
    world.progress(1, 5, 0);
    world.advance(20 * SECOND);
    let closed = world.attempts.iter().filter(|attempt| attempt.closed).count();
    assert_eq!((closed, world.attempts.len()), (0, 2), "an attempt was closed or repeated");
    assert_all_finish(&mut world);
}

#[test]
fn silent_engine_at_the_deadline_gives_no_evidence() {
    let mut world = World::new(1, 0);
    keep_one_engine(&mut world);
    let caller = world.complete(0, "a phrase", 20, true);
    world.advance(31 * SECOND);
    assert_eq!(refusal(&world, 0, caller).kind, RefusalKind::DeadlineExceeded);
    assert_eq!(world.nodes[0].reports[0].end, AttemptEnd::TimedOut);
}

#[test]
fn silent_engine_of_the_last_attempt_is_left() {
    let mut world = World::new(1, 0);
    world.complete(0, "a phrase", 20, true);
    world.advance(20 * SECOND);
    assert_all_finish(&mut world);
}

#[test]
fn silent_engine_is_left_when_no_engine_remains() {
    let mut world = World::new(1, 0);
    world.complete(0, "a phrase", 20, true);
    world.advance(SECOND);
    let at = HostState::Leaving { at: world.wall() + 100 * SECOND };
    world.hosts.iter_mut().for_each(|host| host.state = at);
    world.publish_snapshots();
    world.advance(10 * SECOND);
    assert_all_finish(&mut world);
}

#[test]
fn silent_engine_of_an_unrepeatable_completion_is_left() {
    let mut world = World::new(1, 0);
    world.complete_on_route("/verses", 0, "a verse", 20, true);
    world.complete_on_route("/verses", 0, "another verse", 20, true);
    world.progress(1, 5, 0);
    world.advance(5 * SECOND);
    assert_all_finish(&mut world);
}

/// Sends requests with one line, each of which crashes its engines, until the line is barred.
fn bar_venom(world: &mut World) {
    let mut is_barred = false;
    for round in 0..6 {
        let caller = world.complete(0, &format!("venom\nphrase {round}"), 20, true);
        while world.end_of(0, caller).is_none() {
            let open = world.open_attempts();
            world.break_connection(*open.last().expect("an attempt"), false);
            world.advance(SECOND);
        }
        is_barred |= proves_not_run(refusal(world, 0, caller));
    }
    assert!(is_barred, "no request with the line was refused as not run");
}

#[test]
fn silent_engine_is_left_for_a_refusal_of_barred_content() {
    let mut world = World::new(1, 0);
    // A batch request, whose engine may be silent for longer.
    let silent = world.complete_on_route("/glossaries", 0, "venom\nsilent", 20, true);
    bar_venom(&mut world);
    world.advance(40 * SECOND);
    assert!(world.is_open(0), "{:?}", world.end_of(0, silent));
    world.progress(0, 20, 0);
    assert_eq!(world.end_of(0, silent), Some(&End::Finished));
}

#[test]
fn drain_unanswered_offer_ends_the_attempt() {
    let mut world = World::new(2, 0);
    world.complete(0, "one", 20, true);
    world.complete(0, "two", 20, true);
    world.progress(1, 5, 0);
    let at = HostState::Leaving { at: world.wall() + 100 * SECOND };
    world.hosts.iter_mut().for_each(|host| host.state = at);
    world.drain(0);
    world.advance(5 * SECOND);
    assert!(!world.links.is_empty(), "nothing was offered");
    world.links.clear();
    world.advance(2 * SECOND);
    let closed = world.attempts.iter().filter(|attempt| attempt.closed).count();
    assert_eq!(closed, 0, "attempts were closed though no peer has accepted their requests");
    assert_all_finish(&mut world);
}

#[test]
fn drain_peer_without_engines_accepts_an_offer() {
    let mut world = World::new(2, 0);
    world.complete(0, "one", 20, true);
    let at = HostState::Leaving { at: world.wall() + 100 * SECOND };
    world.hosts.iter_mut().for_each(|host| host.state = at);
    world.drain(0);
    world.advance(5 * SECOND);
    world.deliver_all();
    world.advance(SECOND);
    assert_all_finish(&mut world);
}

#[test]
fn drain_tokens_after_an_offer_are_delivered_twice() {
    let mut world = World::new(2, 0);
    let caller = world.complete(0, "a phrase", 60, true);
    world.stream(0, 5);
    world.drain(0);
    world.stream(0, 20);
    world.advance(2 * SECOND);
    world.stream(0, 1);
    world.advance(2 * SECOND);
    let offered = world.callers[&(0, caller)].next;
    // Until the peer replies, the engine goes on, but its tokens are not those of the peer.
    world.progress(0, 10, 0);
    assert_eq!(world.callers[&(0, caller)].next, offered);
    world.links.clear();
    world.advance(600 * MS);
    assert_eq!(world.callers[&(0, caller)].next, offered + 10, "no peer is left to accept");
    world.progress(0, 60, 0);
    assert_eq!(world.end_of(0, caller), Some(&End::Finished));
}

#[test]
fn reclaim_of_a_barred_request_ends_its_attempt() {
    let mut world = World::new(1, 0);
    let running = world.complete_on_route("/glossaries", 0, "venom\nrunning", 2000, true);
    bar_venom(&mut world);
    world.announce_leaving(world.attempts[0].host, 20 * SECOND);
    world.advance(10 * SECOND);
    assert!(world.is_open(0), "{:?}", world.end_of(0, running));
    world.progress(0, 2000, 0);
    assert_eq!(world.end_of(0, running), Some(&End::Finished));
}
