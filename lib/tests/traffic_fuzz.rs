//! Sequences of operations and faults against the traffic parts of three daemons.
//!
//! The fake world is the oracle: it checks what each caller sees, each resumption, each refusal
//! and each run of a key as it goes. `DOGWOODTURN_SEEDS=N` runs more seeds.

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
    Cut { attempt: u8, ran: bool },
    Unreachable(u8),
    Crash(u8),
    Leaving { host: u8, seconds: u8 },
    Revive(u8),
    Late(u8),
    LateRun(u8),
    Leave(u8),
    ComeBack { caller: u8, node: u8 },
    AnswerClaim(u8),
    ClaimsOut(bool),
    AnswerKv { node: u8, moved: bool },
    Deliver(u8),
    Lose(u8),
    Repeat(u8),
    Pass(u16),
    Drain,
}

impl Arbitrary for Op {
    fn arbitrary(source: &mut Gen) -> Self {
        let n = u8::arbitrary(source);
        let m = u8::arbitrary(source);
        let yes = bool::arbitrary(source);
        match u8::arbitrary(source) % 40 {
            0..5 => Self::Complete { node: n, tokens: m % 60 + 1, stream: yes },
            5..8 => Self::Call { node: n, key: (m % 4 > 0).then_some(m % 6), get: m % 8 == 0 },
            8..16 => Self::Progress { attempt: n, tokens: m % 12, hold_back: m / 12 },
            16 => Self::Fail(n),
            17 => Self::Refuse(n),
            18..20 => Self::Cut { attempt: n, ran: yes },
            20 => Self::Unreachable(n),
            21 => Self::Crash(n),
            22 => Self::Leaving { host: n, seconds: m % 12 },
            23 => Self::Revive(n),
            24 => Self::Late(n),
            25 => Self::LateRun(n),
            26 => Self::Leave(n),
            27..29 => Self::ComeBack { caller: n, node: m },
            29..31 => Self::AnswerClaim(n),
            31 => Self::ClaimsOut(m % 4 == 0),
            32 => Self::AnswerKv { node: n, moved: yes },
            33..36 => Self::Deliver(n),
            36 => Self::Lose(n),
            37 => Self::Repeat(n),
            38 => Self::Pass(u16::from(n) * 4),
            _ if n < 20 => Self::Drain,
            _ => Self::Pass(u16::from(m) * 40),
        }
    }
}

fn pick<T: Copy>(items: &[T], choice: u8) -> Option<T> {
    items.get(usize::from(choice) % items.len().max(1)).copied()
}

fn apply(world: &mut World, op: &Op, number: usize) {
    let node_of = |node: u8| usize::from(node) % DAEMONS;
    let host_of = |host: u8| usize::from(host) % ENGINES;
    let open = world.open();
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
        Op::Cut { attempt, ran } => {
            if let Some(index) = pick(&open, attempt) {
                world.cut(index, ran);
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
        Op::Revive(host) => world.revive(host_of(host)),
        Op::Late(attempt) => {
            if let Some(index) = pick(&all, attempt) {
                world.late(index);
            }
        }
        Op::LateRun(attempt) => {
            if let Some(index) = pick(&all, attempt) {
                world.run(index);
            }
        }
        Op::Leave(caller) => {
            if let Some(caller) = pick(&callers, caller) {
                world.leave(caller);
            }
        }
        Op::ComeBack { caller, node } => {
            if let Some(caller) = pick(&callers, caller) {
                world.come_back(caller, node_of(node));
            }
        }
        Op::AnswerClaim(claim) => {
            if !world.pending_claims.is_empty() {
                let index = usize::from(claim) % world.pending_claims.len();
                world.answer_claim(index);
            }
        }
        Op::ClaimsOut(out) => world.claims_out = out,
        Op::AnswerKv { node, moved } => world.answer_kv(node_of(node), moved),
        // A link keeps its order; another link may be faster.
        Op::Deliver(choice) => {
            if let Some(index) = first_of_a_link(world, choice) {
                world.deliver(index);
            }
        }
        Op::Lose(choice) => {
            if let Some(index) = first_of_a_link(world, choice) {
                world.links.remove(index);
            }
        }
        Op::Repeat(choice) => {
            if let Some(index) = first_of_a_link(world, choice) {
                let message = world.links[index].clone();
                world.links.insert(index, message);
                world.deliver(index);
            }
        }
        Op::Pass(millis) => world.advance(Duration::from_millis(millis.into())),
        // One daemon goes on, so that there is always one to go to.
        Op::Drain if !world.nodes[0].draining => world.drain(0),
        Op::Drain => world.drain(1),
    }
}

fn first_of_a_link(world: &World, choice: u8) -> Option<usize> {
    if world.links.is_empty() {
        return None;
    }
    let (from, to, _) = world.links[usize::from(choice) % world.links.len()];
    world.links.iter().position(|link| (link.0, link.1) == (from, to))
}

fn seeds() -> u64 {
    let asked = std::env::var("DOGWOODTURN_SEEDS").ok();
    asked.and_then(|seeds| seeds.parse().ok()).unwrap_or(DEFAULT_SEEDS)
}

#[test]
fn traffic_operations_and_faults() {
    let mut whole = 0;
    for seed in 0..seeds() {
        let mut source = Gen::from_size_and_seed(OPERATIONS, seed);
        let ops: Vec<Op> = (0..OPERATIONS).map(|_| Op::arbitrary(&mut source)).collect();
        let mut world = World::new(DAEMONS, seed);
        for (number, op) in ops.iter().enumerate() {
            apply(&mut world, op, number);
        }
        world.run_until_idle();
        for (id, caller) in &world.callers {
            assert!(caller.end.is_some(), "seed {seed}: {id:?} waits for ever: {caller:?}");
        }
        let unfinished: usize = world.nodes.iter().map(|node| node.traffic.unfinished()).sum();
        assert_eq!(unfinished, 0, "seed {seed}");
        whole += world.callers.values().filter(|c| c.end == Some(End::Whole)).count();
    }
    // The sequences must not consist of refusals only.
    assert!(whole as u64 > 3 * seeds(), "only {whole} whole answers");
}
