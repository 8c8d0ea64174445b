//! Starts and releases hosts against the cloud stand-in, under the faults that it can inject.

use std::time::Duration;

use dogwoodturn::{
    ids::{CallId, FencingNumber, Generation, HostId},
    store::{
        CallError, Operation, Reply,
        cloud::{CloudCall, CloudHost, CloudReply, HostKind, StartHost},
    },
    supply::{
        cloud::{Effect, Event, TOKEN_PREFIX, ZoneHosts, undeclared_hosts},
        plan::Pool,
    },
    units::Time,
};
use dogwoodturn_standins::cloud::{Cloud, CloudFaults, Refused};
use quickcheck::{Arbitrary, Gen};

/// The number of seeds unless `DOGWOODTURN_SEEDS` sets another.
const SEEDS: u64 = 100;
const STEP: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug)]
enum Op {
    Start,
    ReleaseOne,
    LoseReplies,
    LateStart,
    Refuse,
    Outage,
    Heal,
    NewHolder,
    HoldReplies,
    DuplicateReplies,
    Wait,
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Self {
        let all = [
            Self::Start,
            Self::Start,
            Self::ReleaseOne,
            Self::LoseReplies,
            Self::LateStart,
            Self::Refuse,
            Self::Outage,
            Self::Heal,
            Self::NewHolder,
            Self::HoldReplies,
            Self::DuplicateReplies,
            Self::Wait,
        ];
        *g.choose(&all).expect("there are operations")
    }
}

struct World {
    now: Time,
    cloud: Cloud,
    hosts: ZoneHosts,
    fencing: u64,
    held_replies: Vec<(CallId, Result<Reply, CallError>)>,
    holds_replies: bool,
    duplicates_replies: bool,
    list_requested: bool,
    used_tokens: Vec<Box<str>>,
}

fn pool() -> Pool {
    let zone = "salish-a".parse().expect("a name");
    Pool { zone, class: "standard".parse().expect("a name"), reclaimable: true }
}

impl World {
    fn new() -> Self {
        let service = "lantern".parse().expect("a name");
        let mut world = Self {
            now: Time(0),
            cloud: Cloud::new(),
            hosts: ZoneHosts::new(service, pool().zone),
            fencing: 0,
            held_replies: Vec::new(),
            holds_replies: false,
            duplicates_replies: false,
            list_requested: false,
            used_tokens: Vec::new(),
        };
        world.new_holder();
        world
    }

    fn new_holder(&mut self) {
        self.fencing += 1;
        self.held_replies.clear();
        self.handle_event(Event::Acquired(FencingNumber(self.fencing)));
        self.run_until_idle();
    }

    fn handle_event(&mut self, event: Event) {
        let mut effects = Vec::new();
        self.hosts.handle(self.now, event, &mut effects);
        for effect in effects {
            match effect {
                Effect::Call(call, _, Operation::Cloud(operation)) => self.call(call, &operation),
                Effect::List => self.list_requested = true,
                _ => {}
            }
        }
    }

    fn call(&mut self, call: CallId, operation: &CloudCall) {
        if let CloudCall::Start(start) = operation
            && !self.used_tokens.contains(&start.client_token)
        {
            self.used_tokens.push(start.client_token.clone());
        }
        let result = self.cloud.apply(self.now, operation).map(Reply::Cloud);
        if self.holds_replies {
            return self.held_replies.push((call, result));
        }
        if self.duplicates_replies {
            self.held_replies.push((call, result.clone()));
        }
        self.handle_event(Event::CallEnded(call, result));
    }

    fn run_until_idle(&mut self) {
        self.now = self.now + STEP;
        if !self.holds_replies {
            for (call, result) in std::mem::take(&mut self.held_replies) {
                self.handle_event(Event::CallEnded(call, result));
            }
        }
        self.cloud.advance(self.now);
        let requested_at = self.now;
        self.list_requested = false;
        if let Ok(CloudReply::Hosts(hosts)) = self.cloud.apply(self.now, &CloudCall::Hosts) {
            self.handle_event(Event::Listed(requested_at, hosts));
        }
        self.handle_event(Event::Woken);
    }

    fn run(&mut self, op: Op) {
        let mut faults = self.cloud.faults().clone();
        match op {
            Op::Start => {
                let version = "v1".parse().expect("a name");
                self.handle_event(Event::Start(pool(), version, Generation(1)));
            }
            Op::ReleaseOne => {
                let host = self.hosts.billed().keys().next().cloned();
                if let Some(host) = host {
                    self.handle_event(Event::Release(host));
                }
            }
            Op::LoseReplies => faults.lose_answers = 2,
            Op::LateStart => {
                faults.late_starts = 2;
                faults.late_by_ms = 4500;
            }
            Op::Refuse => faults.refused = vec![Refused::default()],
            Op::Outage => faults.outage = true,
            Op::Heal => {
                faults.refused.clear();
                faults.outage = false;
            }
            Op::NewHolder => self.new_holder(),
            Op::HoldReplies => self.holds_replies = true,
            Op::DuplicateReplies => self.duplicates_replies = true,
            Op::Wait => self.run_until_idle(),
        }
        if !matches!(op, Op::Start | Op::ReleaseOne | Op::Wait | Op::NewHolder) {
            self.cloud.set_faults(faults);
        }
    }

    /// Ends all faults and runs long enough for every late effect to occur.
    fn heal(&mut self) {
        self.holds_replies = false;
        let forget_tokens = self.cloud.faults().forget_tokens;
        self.cloud.set_faults(CloudFaults { forget_tokens, ..CloudFaults::default() });
        for _ in 0..20 {
            self.run_until_idle();
        }
    }

    /// Returns a description of the first violated invariant, if any.
    fn violation(&mut self) -> Option<String> {
        self.heal();
        let mut tokens: Vec<Box<str>> =
            self.cloud.hosts().map(|host| host.start.client_token.clone()).collect();
        tokens.sort();
        let count = tokens.len();
        tokens.dedup();
        if tokens.len() != count {
            return Some("a token has started two hosts".into());
        }
        if self.cloud.started() > self.used_tokens.len() as u64 {
            return Some("more hosts were started than client tokens were used".into());
        }
        let untracked =
            self.cloud.hosts().find(|host| !self.hosts.billed().contains_key(&host.host));
        if let Some(host) = untracked {
            return Some(format!("{} is billed but not tracked", host.host));
        }
        if self.hosts.pending_starts().next().is_some() {
            return Some("a start was never resolved".into());
        }
        let hosts: Vec<HostId> = self.hosts.billed().keys().cloned().collect();
        for host in hosts {
            self.handle_event(Event::Release(host));
        }
        self.heal();
        let left = self.cloud.hosts().count();
        (left > 0).then(|| format!("{left} hosts are billed after all were released"))
    }
}

fn seeds() -> u64 {
    std::env::var("DOGWOODTURN_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(SEEDS)
}

fn find_violation(ops: &[Op], forget_tokens: bool) -> Option<String> {
    let mut world = World::new();
    world.cloud.set_faults(CloudFaults { forget_tokens, ..CloudFaults::default() });
    for &op in ops {
        world.run(op);
    }
    world.violation()
}

/// Removes operations one by one, as long as the sequence still fails.
fn minimize(mut ops: Vec<Op>) -> Vec<Op> {
    let mut index = 0;
    while index < ops.len() {
        let mut fewer = ops.clone();
        fewer.remove(index);
        if find_violation(&fewer, false).is_some() {
            ops = fewer;
        } else {
            index += 1;
        }
    }
    ops
}

#[test]
fn zone_hosts_any_faults_start_one_host_per_token() {
    for seed in 0..seeds() {
        let ops: Vec<Op> = Vec::arbitrary(&mut Gen::from_size_and_seed(60, seed));
        if let Some(violation) = find_violation(&ops, false) {
            panic!("seed {seed}: {violation}; shrunk to {:?}", minimize(ops));
        }
    }
}

#[test]
fn zone_hosts_oracle_detects_a_cloud_that_forgets_tokens() {
    let is_detected = (0..SEEDS).any(|seed| {
        let ops: Vec<Op> = Vec::arbitrary(&mut Gen::from_size_and_seed(60, seed));
        find_violation(&ops, true).is_some()
    });
    assert!(is_detected, "the oracle must detect two hosts of one token");
}

#[test]
fn start_lost_reply_lists_before_retrying() {
    let mut world = World::new();
    world.cloud.set_faults(CloudFaults { lose_answers: 1, ..CloudFaults::default() });
    world.run(Op::Start);
    assert!(world.list_requested, "a start whose reply is lost requests a host list");
    world.run_until_idle();
    assert_eq!(world.hosts.billed().len(), 1);
    assert_eq!(world.cloud.started(), 1);
    assert_eq!(world.hosts.pending_starts().count(), 0);
}

#[test]
fn start_refused_backs_off_longer_each_time() {
    let mut world = World::new();
    let refused = vec![Refused::default()];
    world.cloud.set_faults(CloudFaults { refused, ..CloudFaults::default() });
    world.run(Op::Start);
    let first = world.hosts.refused_until(&pool()).expect("refused").since(world.now);
    world.now = world.now + first;
    world.run(Op::Start);
    let second = world.hosts.refused_until(&pool()).expect("refused").since(world.now);
    assert!(second > first, "{second:?} must be longer than {first:?}");
}

#[test]
fn acquired_new_holder_adopts_hosts_of_the_last_one() {
    let mut world = World::new();
    world.run(Op::Start);
    world.run(Op::NewHolder);
    assert_eq!(world.hosts.billed().len(), 1);
    assert_eq!(world.hosts.present(&pool()), 1);
}

#[test]
fn undeclared_hosts_started_by_a_known_generation_only() {
    let host = |name: &str, token: String| CloudHost {
        host: name.parse().expect("a name"),
        start: StartHost {
            client_token: token.into(),
            zone: "salish-a".parse().expect("a name"),
            class: "standard".parse().expect("a name"),
            kind: HostKind::Reclaimable,
            service: "gone".parse().expect("a name"),
            version: "v1".parse().expect("a name"),
        },
        running: true,
    };
    let hosts = [
        host("old", format!("{TOKEN_PREFIX}3.1.1.gone.salish-a")),
        host("newer", format!("{TOKEN_PREFIX}9.1.1.gone.salish-a")),
        host("foreign", "other.3.1".into()),
    ];
    let found = undeclared_hosts(&hosts, Generation(5), |_| false);
    assert_eq!(found, vec!["old".parse::<HostId>().expect("a name")]);
    assert!(undeclared_hosts(&hosts, Generation(5), |_| true).is_empty());
}
