//! Random sequences of operations and faults against the traffic state machines of three daemons.
//!
//! The fake world is the oracle: after each step it checks what callers receive, resumptions,
//! refusals, and that each idempotency key runs at most once. `DOGWOODTURN_SEEDS=N` sets the number
//! of seeds.

mod fake_world;

use std::time::Duration;

use dogwoodturn::request::CallerId;
use fake_world::{ENGINES, End, World};
use quickcheck::{Arbitrary, Gen};

const DAEMONS: usize = 3;
const DEFAULT_SEEDS: u64 = 150;
const OPERATIONS: usize = 120;

#[derive(Clone, Debug)]
enum Op {
    Complete { node: u8, tokens: u8, stream: bool },
    Call { node: u8, key: Option<u8>, get: bool },
    Progress { attempt: u8, tokens: u8, hold_back: u8 },
    Fail(u8),
    Refuse(u8),
    BreakConnection { attempt: u8, ran: bool },
    Unreachable(u8),
    Crash(u8),
    Leaving { host: u8, seconds: u8 },
    MarkLive(u8),
    LateBytes(u8),
    LateRun(u8),
    Disconnect(u8),
    Resume { caller: u8, node: u8 },
    RespondToClaim(u8),
    ClaimsUnavailable(bool),
    CompleteKvMove { node: u8, moved: bool },
    Deliver(u8),
    DropMessage(u8),
    DuplicateMessage(u8),
    Advance(u16),
    Drain,
}

impl Arbitrary for Op {
    fn arbitrary(source: &mut Gen) -> Self {
        let n = u8::arbitrary(source);
        let m = u8::arbitrary(source);
        let flag = bool::arbitrary(source);
        match u8::arbitrary(source) % 40 {
            0..5 => Self::Complete { node: n, tokens: m % 60 + 1, stream: flag },
            5..8 => Self::Call { node: n, key: (m % 4 > 0).then_some(m % 6), get: m % 8 == 0 },
            8..16 => Self::Progress { attempt: n, tokens: m % 12, hold_back: m / 12 },
            16 => Self::Fail(n),
            17 => Self::Refuse(n),
            18..20 => Self::BreakConnection { attempt: n, ran: flag },
            20 => Self::Unreachable(n),
            21 => Self::Crash(n),
            22 => Self::Leaving { host: n, seconds: m % 12 },
            23 => Self::MarkLive(n),
            24 => Self::LateBytes(n),
            25 => Self::LateRun(n),
            26 => Self::Disconnect(n),
            27..29 => Self::Resume { caller: n, node: m },
            29..31 => Self::RespondToClaim(n),
            31 => Self::ClaimsUnavailable(m % 4 == 0),
            32 => Self::CompleteKvMove { node: n, moved: flag },
            33..36 => Self::Deliver(n),
            36 => Self::DropMessage(n),
            37 => Self::DuplicateMessage(n),
            38 => Self::Advance(u16::from(n) * 4),
            _ if n < 20 => Self::Drain,
            _ => Self::Advance(u16::from(m) * 40),
        }
    }
}

fn pick<T: Copy>(items: &[T], choice: u8) -> Option<T> {
    items.get(usize::from(choice) % items.len().max(1)).copied()
}

fn apply(world: &mut World, op: &Op, number: usize) {
    let node_of = |node: u8| usize::from(node) % DAEMONS;
    let host_of = |host: u8| usize::from(host) % ENGINES;
    let open = world.open_attempts();
    let all: Vec<usize> = (0..world.attempts.len()).collect();
    let callers: Vec<(usize, CallerId)> = world.callers.keys().copied().collect();
    match *op {
        Op::Complete { node, tokens, stream } => {
            let prompt = format!("prompt {number}");
            world.complete(node_of(node), &prompt, u64::from(tokens), stream);
        }
        Op::Call { node, get: true, .. } => {
            world.call(node_of(node), "GET", None);
        }
        Op::Call { node, key, .. } => {
            let key = key.map(|key| format!("key-{key}"));
            world.call(node_of(node), "POST", key.as_deref());
        }
        Op::Progress { attempt, tokens, hold_back } => {
            if let Some(index) = pick(&open, attempt) {
                world.progress(index, u64::from(tokens), usize::from(hold_back));
            }
        }
        Op::Fail(attempt) => {
            if let Some(index) = pick(&open, attempt) {
                world.fail(index);
            }
        }
        Op::Refuse(attempt) => {
            if let Some(index) = pick(&open, attempt) {
                world.refuse(index);
            }
        }
        Op::BreakConnection { attempt, ran } => {
            if let Some(index) = pick(&open, attempt) {
                world.break_connection(index, ran);
            }
        }
        Op::Unreachable(attempt) => {
            if let Some(index) = pick(&open, attempt) {
                world.unreachable(index);
            }
        }
        Op::Crash(host) => world.crash(host_of(host)),
        Op::Leaving { host, seconds } => {
            world.announce_leaving(host_of(host), Duration::from_secs(seconds.into()));
        }
        Op::MarkLive(host) => world.mark_live(host_of(host)),
        Op::LateBytes(attempt) => {
            if let Some(index) = pick(&all, attempt) {
                world.send_late_bytes(index);
            }
        }
        Op::LateRun(attempt) => {
            if let Some(index) = pick(&all, attempt) {
                world.run_call(index);
            }
        }
        Op::Disconnect(caller) => {
            if let Some(caller) = pick(&callers, caller) {
                world.disconnect(caller);
            }
        }
        Op::Resume { caller, node } => {
            if let Some(caller) = pick(&callers, caller) {
                world.resume_response(caller, node_of(node));
            }
        }
        Op::RespondToClaim(claim) => {
            if !world.pending_claims.is_empty() {
                let index = usize::from(claim) % world.pending_claims.len();
                world.respond_to_claim(index);
            }
        }
        Op::ClaimsUnavailable(unavailable) => world.claims_unavailable = unavailable,
        Op::CompleteKvMove { node, moved } => world.complete_kv_move(node_of(node), moved),
        // Messages of one link stay in order; different links may overtake each other.
        Op::Deliver(choice) => {
            if let Some(index) = first_message_of_link(world, choice) {
                world.deliver(index);
            }
        }
        Op::DropMessage(choice) => {
            if let Some(index) = first_message_of_link(world, choice) {
                world.links.remove(index);
            }
        }
        Op::DuplicateMessage(choice) => {
            if let Some(index) = first_message_of_link(world, choice) {
                let message = world.links[index].clone();
                world.links.insert(index, message);
                world.deliver(index);
            }
        }
        Op::Advance(millis) => world.advance(Duration::from_millis(millis.into())),
        // The third daemon never drains, so that one always accepts requests.
        Op::Drain if !world.nodes[0].draining => world.drain(0),
        Op::Drain => world.drain(1),
    }
}

fn first_message_of_link(world: &World, choice: u8) -> Option<usize> {
    if world.links.is_empty() {
        return None;
    }
    let (from, to, _) = world.links[usize::from(choice) % world.links.len()];
    world.links.iter().position(|link| (link.0, link.1) == (from, to))
}

fn seeds() -> u64 {
    let requested = std::env::var("DOGWOODTURN_SEEDS").ok();
    requested.and_then(|seeds| seeds.parse().ok()).unwrap_or(DEFAULT_SEEDS)
}

#[test]
fn traffic_operations_and_faults() {
    let mut finished = 0;
    for seed in 0..seeds() {
        let mut source = Gen::from_size_and_seed(OPERATIONS, seed);
        let ops: Vec<Op> = (0..OPERATIONS).map(|_| Op::arbitrary(&mut source)).collect();
        let mut world = World::new(DAEMONS, seed);
        for (number, op) in ops.iter().enumerate() {
            apply(&mut world, op, number);
        }
        world.run_until_idle();
        for (id, caller) in &world.callers {
            assert!(caller.end.is_some(), "seed {seed}: {id:?} got no final response: {caller:?}");
        }
        let unfinished: usize = world.nodes.iter().map(|node| node.traffic.unfinished()).sum();
        assert_eq!(unfinished, 0, "seed {seed}");
        finished += world.callers.values().filter(|c| c.end == Some(End::Finished)).count();
    }
    // Guards against sequences that consist of refusals only.
    assert!(finished as u64 > 3 * seeds(), "only {finished} complete responses");
}
