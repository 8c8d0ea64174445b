//! Simulates the control parts of several daemons with one store and one cloud, on a clock that
//! tests advance.

#![allow(dead_code, reason = "each test file uses only some of the items")]

use std::{collections::VecDeque, time::Duration};

use dogwoodturn::{
    declaration::{
        DeclarationSet, check,
        publish::{Publication, Step},
    },
    ids::{DaemonId, HostId, Incarnation, ZoneName},
    ini::Source,
    node::{
        control::{CallOwner, Control, Input, Output},
        message::PeerMessage,
        snapshot::Snapshot,
    },
    peer::{Member, Recipient},
    store::{
        CallError, Operation, Reply,
        cloud::{CloudHost, HostKind, Offer},
        memory::MemoryStore,
    },
    supply::orders::{OrderOutcome, OrderRequest},
    units::{PricePerHour, Time, WallTime},
    upstream::{HostRecord, HostState},
};
use dogwoodturn_standins::cloud::{Cloud, HostEvent};

/// The wall time at which every world begins.
pub const EPOCH: WallTime = WallTime(1_800_000_000_000);
/// The step by which the clock advances.
pub const STEP: Duration = Duration::from_millis(500);

/// One simulated daemon.
pub struct Node {
    pub daemon: DaemonId,
    pub control: Control,
    pub snapshot: Snapshot,
    pub paused: bool,
    inbox: VecDeque<Input>,
}

/// The simulated daemons, platform and cloud.
pub struct World {
    pub now: Time,
    pub store: MemoryStore,
    pub cloud: Cloud,
    pub nodes: Vec<Node>,
    pub hosts: Vec<HostRecord>,
    pub outage: bool,
    pub lose_replies: u32,
    pub orders: Vec<(DaemonId, OrderRequest)>,
    pub announced_leaving: Vec<HostId>,
    pub audits: Vec<String>,
    hosts_revision: u64,
    pending_host_polls:
        Vec<(usize, CallOwner, dogwoodturn::ids::CallId, dogwoodturn::ids::Revision)>,
}

pub fn declaration_set(text: &str) -> DeclarationSet {
    let source = Source { file: "test.ini".into(), text: text.into() };
    check::check(&[source]).expect("the declarations are sound").set
}

pub fn offer(zone: &str, class: &str, kind: HostKind, price: u64) -> Offer {
    Offer {
        zone: zone.parse().expect("a name"),
        class: class.parse().expect("a name"),
        kind,
        price: PricePerHour(price),
    }
}

/// Returns offers of one class in each zone, reclaimable at a third of the on-demand price.
pub fn offers(zones: &[&str]) -> Vec<Offer> {
    let both = |zone: &&str| {
        let cheap = offer(zone, "standard", HostKind::Reclaimable, 400_000);
        [cheap, offer(zone, "standard", HostKind::OnDemand, 1_200_000)]
    };
    zones.iter().flat_map(both).collect()
}

impl World {
    pub fn new(declarations: &str, daemons: usize, offers: Vec<Offer>) -> Self {
        let mut world = Self {
            now: Time(0),
            store: MemoryStore::new(),
            cloud: Cloud::new(),
            nodes: Vec::new(),
            hosts: Vec::new(),
            outage: false,
            lose_replies: 0,
            orders: Vec::new(),
            announced_leaving: Vec::new(),
            audits: Vec::new(),
            hosts_revision: 1,
            pending_host_polls: Vec::new(),
        };
        world.cloud.set_offers(Time(0), offers);
        world.publish(declarations, "c1");
        for index in 0..daemons {
            world.add_node(index);
        }
        world
    }

    pub fn publish(&mut self, declarations: &str, change: &str) {
        let change = change.parse().expect("a name");
        let (mut publication, mut operation) =
            Publication::begin(&declaration_set(declarations), change, "test".into(), EPOCH, None);
        loop {
            match publication.handle(self.store.apply(&operation)) {
                Step::Call(next) => operation = next,
                Step::Done(done) => {
                    done.expect("published");
                    return;
                }
            }
        }
    }

    fn add_node(&mut self, index: usize) {
        let daemon: DaemonId = format!("d-{index}").parse().expect("a name");
        let mut control = Control::new();
        let own_member = Member {
            daemon: daemon.clone(),
            incarnation: Incarnation(1),
            address: ([127, 0, 0, 1], 1).into(),
            data_centre: "salish-a".parse().expect("a name"),
            region: "salish".parse().expect("a name"),
        };
        let mut out = Vec::new();
        control.handle(self.now, Input::Clock(self.wall()), &mut out);
        control.handle(self.now, Input::Identity(own_member), &mut out);
        let inbox = VecDeque::from([Input::Started]);
        let snapshot = Snapshot::default();
        self.nodes.push(Node { daemon, control, snapshot, paused: false, inbox });
    }

    pub fn wall(&self) -> WallTime {
        EPOCH + self.now.since(Time(0))
    }

    /// Runs for a time span.
    pub fn run(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            self.step();
        }
    }

    pub fn step(&mut self) {
        self.now = self.now + STEP;
        self.cloud.advance(self.now);
        self.apply_cloud_events();
        for index in 0..self.nodes.len() {
            self.run_node(index);
        }
    }

    fn apply_cloud_events(&mut self) {
        for event in self.cloud.take_events() {
            match event {
                HostEvent::Runs(host) => self.hosts.push(record(&host)),
                HostEvent::Gone(host) => self.hosts.retain(|record| record.host != host),
            }
            self.hosts_revision += 1;
        }
        let pending = std::mem::take(&mut self.pending_host_polls);
        for (node, owner, call, after) in pending {
            if self.outage {
                let result = Err(CallError::Unavailable);
                self.nodes[node].inbox.push_back(Input::CallEnded(owner, call, result));
            } else if after.0 < self.hosts_revision {
                let result = Ok(self.hosts_reply());
                self.nodes[node].inbox.push_back(Input::CallEnded(owner, call, result));
            } else {
                self.pending_host_polls.push((node, owner, call, after));
            }
        }
    }

    /// Publishes the host list after a test has changed it.
    pub fn hosts_changed(&mut self) {
        self.hosts_revision += 1;
    }

    fn hosts_reply(&self) -> Reply {
        let revision = dogwoodturn::ids::Revision(self.hosts_revision);
        Reply::Hosts { revision, hosts: self.hosts.clone() }
    }

    fn run_node(&mut self, index: usize) {
        if self.nodes[index].paused {
            return;
        }
        let (now, wall) = (self.now, self.wall());
        let mut out = Vec::new();
        let node = &mut self.nodes[index];
        node.control.handle(now, Input::Clock(wall), &mut out);
        node.control.handle(now, Input::Woken, &mut out);
        self.apply_outputs(index, out);
        while let Some(input) = self.nodes[index].inbox.pop_front() {
            let mut out = Vec::new();
            self.nodes[index].control.handle(now, input, &mut out);
            self.apply_outputs(index, out);
        }
    }

    /// Queues an input for a daemon.
    pub fn push_input(&mut self, index: usize, input: Input) {
        self.nodes[index].inbox.push_back(input);
    }

    fn apply_outputs(&mut self, index: usize, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Call { owner, call, operation, .. } => {
                    self.call(index, owner, call, &operation);
                }
                Output::Publish(snapshot) => self.nodes[index].snapshot = (*snapshot).clone(),
                Output::Send(to, message) => self.send(index, &to, &message),
                Output::Order(order) => {
                    let outcome = if order.may_be_sent(self.now) {
                        OrderOutcome::Applied
                    } else {
                        OrderOutcome::TooLate
                    };
                    let input = Input::OrderEnded(order.id.clone(), outcome);
                    self.orders.push((self.nodes[index].daemon.clone(), order));
                    self.nodes[index].inbox.push_back(input);
                }
                Output::Audit(event) => {
                    self.audits.push(format!("{}: {}", event.object, event.action));
                }
                _ => {}
            }
        }
    }

    fn call(
        &mut self,
        index: usize,
        owner: CallOwner,
        call: dogwoodturn::ids::CallId,
        operation: &Operation,
    ) {
        let result = match operation {
            _ if self.outage => Err(CallError::Unavailable),
            Operation::Hosts { after, .. } if after.0 >= self.hosts_revision => {
                return self.pending_host_polls.push((index, owner, call, *after));
            }
            Operation::Hosts { .. } => Ok(self.hosts_reply()),
            Operation::Cloud(operation) => self.cloud.apply(self.now, operation).map(Reply::Cloud),
            // An empty reply to a watch would make the daemon watch again within the same step.
            Operation::Watch { .. } => match self.store.apply(operation) {
                Ok(Reply::Changes { changes, .. }) if changes.is_empty() => {
                    Err(CallError::Unavailable)
                }
                result => result,
            },
            operation => self.store.apply(operation),
        };
        let is_lost = operation.is_write() && self.lose_replies > 0 && !self.outage;
        self.lose_replies -= u32::from(is_lost);
        let result = if is_lost { Err(CallError::Unknown) } else { result };
        self.nodes[index].inbox.push_back(Input::CallEnded(owner, call, result));
    }

    fn send(&mut self, from: usize, to: &Recipient, message: &PeerMessage) {
        if let PeerMessage::Leaving(leaving) = message {
            self.announced_leaving.push(leaving.host.clone());
        }
        let sender = self.nodes[from].daemon.clone();
        for (index, node) in self.nodes.iter_mut().enumerate() {
            let is_recipient = match to {
                Recipient::Daemon(daemon) => *daemon == node.daemon,
                _ => index != from,
            };
            if is_recipient {
                node.inbox.push_back(Input::Peer(sender.clone(), message.clone()));
            }
        }
    }

    /// Sends a reclaim notice for a zone's reclaimable hosts and returns them.
    pub fn reclaim(&mut self, zone: &str, notice: Duration) -> Vec<HostId> {
        let wall = self.wall();
        let zone: ZoneName = zone.parse().expect("a name");
        self.cloud.reclaim(self.now, wall, &zone, notice)
    }
}

/// Returns the host list entry of a running host.
pub fn record(host: &CloudHost) -> HostRecord {
    let start = &host.start;
    HostRecord {
        host: host.host.clone(),
        upstream: host.host.as_str().parse().expect("a name"),
        address: ([127, 0, 0, 1], 9).into(),
        data_centre: start.zone.as_str().parse().expect("a name"),
        zone: start.zone.clone(),
        class: start.class.clone(),
        kind: start.kind,
        service: start.service.clone(),
        version: start.version.clone(),
        state: HostState::Live,
    }
}

/// Returns a member for tests that set the member list themselves.
pub fn member(daemon: &str) -> Member {
    Member {
        daemon: daemon.parse().expect("a name"),
        incarnation: Incarnation(1),
        address: ([127, 0, 0, 1], 9).into(),
        data_centre: "salish-a".parse().expect("a name"),
        region: "salish".parse().expect("a name"),
    }
}
