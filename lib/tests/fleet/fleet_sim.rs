//! Simulates the control parts of a fleet, the object store and the messages in flight, with
//! faults, on an event queue.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use dogwoodturn::{
    declaration::wire,
    ids::CallId,
    node::{
        control::{CallOwner, Control, Input, Output},
        snapshot::Snapshot,
    },
    peer::{
        Member,
        links::LinkId,
        message::PacketWire,
        peers::{Config, LinkEffect, LinkEvent},
    },
    request::crash_evidence::Cause,
    store::{CallError, Operation, Reply, memory::MemoryStore},
    units::Time,
};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64;

/// The bytes that TCP, IP and websocket add to a packet.
pub const HEADER_BYTES: u64 = 66;
/// The delay of a packet whose segment is lost, until TCP sends it again.
const RETRANSMISSION: Duration = Duration::from_millis(200);
/// The duration of a call to the platform.
const CALL_DELAY: Duration = Duration::from_millis(4);

/// One simulated daemon.
pub struct Node {
    pub own: Member,
    pub control: Control,
    pub snapshot: Arc<Snapshot>,
    /// Each generation adopted here, with its time.
    pub adopted: Vec<(u64, Time)>,
    /// The generation with which the configuration was first fresh.
    pub fresh_with: Option<u64>,
    pub refused: Vec<Box<str>>,
    /// The number of flooded messages received.
    pub floods: u64,
    /// Causes of crashes that were reported to its traffic threads.
    pub barred: Vec<Cause>,
    pub bytes_sent: u64,
    pub packets_sent: u64,
    pub platform_calls: u64,
    /// The real time spent in the control part.
    pub busy: Duration,
    wakeup: Option<Time>,
}

enum Event {
    Input(usize, Box<Input>),
    Woken(usize),
}

/// All daemons, the platform and the messages in flight.
pub struct FleetSim {
    pub now: Time,
    pub nodes: Vec<Option<Node>>,
    pub store: MemoryStore,
    pub platform_up: bool,
    /// The probability that a packet is lost and sent again by TCP.
    pub loss: f64,
    /// The partition of each daemon. Daemons in different groups do not reach each other, and only
    /// group 0 reaches the platform.
    pub groups: Vec<u8>,
    pub rng: Pcg64,
    events: BTreeMap<(Time, u64), Event>,
    sequence: u64,
    links: BTreeMap<(usize, LinkId), (usize, LinkId)>,
    arrivals: BTreeMap<(usize, LinkId), Time>,
    held_watches: Vec<(usize, CallOwner, CallId, Operation)>,
}

impl FleetSim {
    pub fn new(seed: u64) -> Self {
        Self {
            now: Time(1_000_000),
            nodes: Vec::new(),
            store: MemoryStore::new(),
            platform_up: true,
            loss: 0.0,
            groups: Vec::new(),
            rng: Pcg64::seed_from_u64(seed),
            events: BTreeMap::new(),
            sequence: 0,
            links: BTreeMap::new(),
            arrivals: BTreeMap::new(),
            held_watches: Vec::new(),
        }
    }

    pub fn add(&mut self, config: Config) -> usize {
        let own = config.own.clone();
        let control = Control::new().with_peers(config);
        let (adopted, refused) = (Vec::new(), Vec::new());
        let snapshot = Arc::default();
        let (bytes_sent, packets_sent, platform_calls) = (0, 0, 0);
        let node = Node {
            own,
            control,
            snapshot,
            adopted,
            fresh_with: None,
            refused,
            floods: 0,
            barred: Vec::new(),
            bytes_sent,
            packets_sent,
            platform_calls,
            busy: Duration::ZERO,
            wakeup: None,
        };
        self.nodes.push(Some(node));
        self.groups.push(0);
        let index = self.nodes.len() - 1;
        self.after(Duration::ZERO, Event::Input(index, Box::new(Input::Started)));
        index
    }

    /// Stops a daemon. Its links close at its peers, or stay open without traffic if `silently`.
    pub fn crash(&mut self, index: usize, silently: bool) {
        self.nodes[index] = None;
        let broken: Vec<_> = self.links.keys().filter(|key| key.0 == index).copied().collect();
        for key in broken {
            let Some((peer, link)) = self.links.remove(&key) else { continue };
            self.links.remove(&(peer, link));
            if !silently {
                self.input(Duration::from_millis(1), peer, Input::Link(LinkEvent::Closed(link)));
            }
        }
    }

    pub fn live(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter().flatten()
    }

    pub fn input(&mut self, after: Duration, index: usize, input: Input) {
        self.after(after, Event::Input(index, Box::new(input)));
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.sequence += 1;
        self.events.insert((self.now + delay, self.sequence), event);
    }

    /// Runs until `done` returns true, at most for `bound`; returns whether it did.
    pub fn run(&mut self, bound: Duration, mut done: impl FnMut(&Self) -> bool) -> bool {
        let end = self.now + bound;
        while let Some(entry) = self.events.first_entry().filter(|entry| entry.key().0 <= end) {
            let ((now, _), event) = entry.remove_entry();
            self.now = now;
            self.step(event);
            if done(self) {
                return true;
            }
        }
        self.now = end;
        false
    }

    fn step(&mut self, event: Event) {
        let (index, input) = match event {
            Event::Input(index, input) => (index, *input),
            Event::Woken(index) => (index, Input::Woken),
        };
        let Some(node) = &mut self.nodes[index] else { return };
        let mut out = Vec::new();
        let began = Instant::now();
        node.control.handle(self.now, input, &mut out);
        node.busy += began.elapsed();
        node.wakeup = node.wakeup.filter(|&at| at > self.now);
        let wanted = node.control.next_wakeup();
        if let Some(at) = wanted.filter(|at| node.wakeup.is_none_or(|wakeup| *at < wakeup)) {
            node.wakeup = Some(at);
            self.after(at.since(self.now).max(Duration::from_micros(1)), Event::Woken(index));
        }
        for output in out {
            self.carry_out(index, output);
        }
    }

    fn carry_out(&mut self, index: usize, output: Output) {
        let (now, node) = (self.now, self.nodes[index].as_mut().expect("the node runs"));
        match output {
            Output::Call { owner, call, operation, .. } => {
                node.platform_calls += 1;
                self.call(index, owner, call, operation);
            }
            Output::Publish(snapshot) => {
                let last = node.adopted.last().map_or(0, |last| last.0);
                assert!(
                    snapshot.generation.0 >= last,
                    "{} reverted to an older generation",
                    node.own.daemon
                );
                if snapshot.generation.0 > last {
                    node.adopted.push((snapshot.generation.0, now));
                }
                if snapshot.config_fresh {
                    node.fresh_with.get_or_insert(snapshot.generation.0);
                }
                node.snapshot = snapshot;
            }
            Output::Rejected(reason) => node.refused.push(reason),
            Output::Poison(..) => node.floods += 1,
            Output::CrashEvidence(report) => {
                node.barred.extend(report.bars.iter().map(|bar| bar.cause));
            }
            Output::Link(LinkEffect::Dial(link, address)) => {
                let found = |node: &Option<Node>| {
                    node.as_ref().is_some_and(|node| node.own.address == address)
                };
                let peer = self.nodes.iter().position(found);
                self.dial(index, link, peer);
            }
            Output::Link(LinkEffect::Send(link, packet)) => {
                node.bytes_sent += wire::encode(&PacketWire::from(packet.clone())).len() as u64;
                node.bytes_sent += HEADER_BYTES;
                node.packets_sent += 1;
                let Some(&(peer, end)) = self.links.get(&(index, link)) else { return };
                let mut delay = self.delay(index, peer);
                while self.rng.random_bool(self.loss) {
                    delay += RETRANSMISSION;
                }
                let arrival =
                    (now + delay).max(self.arrivals.get(&(peer, end)).copied().unwrap_or_default());
                self.arrivals.insert((peer, end), arrival);
                if self.groups[index] == self.groups[peer] {
                    let input = Input::Link(LinkEvent::Received(end, packet));
                    self.input(arrival.since(now), peer, input);
                }
            }
            Output::Link(LinkEffect::Close(link)) => {
                if let Some((peer, end)) = self.links.remove(&(index, link)) {
                    self.links.remove(&(peer, end));
                    if self.groups[index] == self.groups[peer] {
                        let delay = self.delay(index, peer) * 2;
                        self.input(delay, peer, Input::Link(LinkEvent::Closed(end)));
                    }
                }
            }
            _ => {}
        }
    }

    fn dial(&mut self, index: usize, link: LinkId, peer: Option<usize>) {
        let refused = Input::Link(LinkEvent::Closed(link));
        let Some(peer) = peer else { return self.input(Duration::from_millis(1), index, refused) };
        if self.groups[index] != self.groups[peer] {
            return self.input(Duration::from_secs(3), index, refused);
        }
        self.sequence += 1;
        let end = LinkId::Accepted(self.sequence);
        self.links.insert((index, link), (peer, end));
        self.links.insert((peer, end), (index, link));
        let own = |index: usize| self.nodes[index].as_ref().expect("it runs").own.clone();
        let (dialler, acceptor) = (own(index), own(peer));
        let delay = self.delay(index, peer);
        self.input(delay * 7, peer, Input::Link(LinkEvent::Opened(end, dialler)));
        self.input(delay * 8, index, Input::Link(LinkEvent::Opened(link, acceptor)));
        self.arrivals.insert((index, link), self.now + delay * 8);
    }

    fn delay(&mut self, a: usize, b: usize) -> Duration {
        let location = |index: usize| {
            let own = &self.nodes[index].as_ref()?.own;
            Some((own.region.clone(), own.data_centre.clone()))
        };
        let (Some((region_a, centre_a)), Some((region_b, centre_b))) = (location(a), location(b))
        else {
            return Duration::from_millis(1);
        };
        let micros = match (region_a == region_b, centre_a == centre_b) {
            (true, true) => 300,
            (true, false) => 1_200,
            (false, _) => 40_000,
        };
        Duration::from_micros(micros + self.rng.random_range(0..micros / 2))
    }

    // The platform.

    fn call(&mut self, index: usize, owner: CallOwner, call: CallId, operation: Operation) {
        if !self.platform_up || self.groups[index] != 0 {
            let input = Input::CallEnded(owner, call, Err(CallError::Unavailable));
            return self.input(CALL_DELAY, index, input);
        }
        let long_poll_wait = match &operation {
            Operation::Watch { wait, .. } | Operation::Hosts { wait, .. } => Some(*wait),
            _ => None,
        };
        let reply = self.store.apply(&operation);
        let unchanged = match &reply {
            Ok(Reply::Changes { revision, changes }) => {
                matches!(&operation, Operation::Watch { after, .. } if revision >= after)
                    && changes.is_empty()
            }
            _ => long_poll_wait.is_some(),
        };
        if let (Some(wait), true) = (long_poll_wait, unchanged) {
            self.held_watches.push((index, owner, call, operation));
            let empty = Reply::Changes { revision: self.store.revision(), changes: Vec::new() };
            return self.input(wait, index, Input::CallEnded(owner, call, Ok(empty)));
        }
        self.input(CALL_DELAY, index, Input::CallEnded(owner, call, reply));
    }

    /// Completes the held watches after a change of the store or of the state of the platform.
    pub fn store_changed(&mut self) {
        let held_watches = std::mem::take(&mut self.held_watches);
        for (index, owner, call, operation) in held_watches {
            if !self.platform_up {
                let input = Input::CallEnded(owner, call, Err(CallError::Unknown));
                self.input(CALL_DELAY, index, input);
                continue;
            }
            match self.store.apply(&operation) {
                Ok(Reply::Changes { changes, revision }) if !changes.is_empty() => {
                    let reply = Ok(Reply::Changes { changes, revision });
                    self.input(CALL_DELAY, index, Input::CallEnded(owner, call, reply));
                }
                _ => self.held_watches.push((index, owner, call, operation)),
            }
        }
    }
}
