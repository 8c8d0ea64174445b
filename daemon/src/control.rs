//! The control thread: runs the control state and carries out what it asks for.

use std::{
    net::TcpListener,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Instant, SystemTime, UNIX_EPOCH},
};

use actix_http::Request;
use arc_swap::ArcSwap;
use dogwoodturn::{
    edge::{
        listen::{ConnectionCounter, serve},
        operator::OperatorHandler,
    },
    ids::{DaemonId, Incarnation},
    node::{
        control::{Control, Input, Output},
        snapshot::Snapshot,
        traffic::Event,
    },
    peer::{Member, peers::Config},
    request::{message::Message, request_id::owning_thread},
    store::{client, http::HttpPlatform},
    supply,
    units::{Time, WallTime},
};
use tokio::{
    sync::{mpsc, watch},
    time::{Duration, sleep},
};

use crate::{
    counters::AttemptCounters,
    metrics,
    peers::{EVENT_QUEUE, PeerCounters, PeerLinks},
    settings::Settings,
};

/// How long to sleep when the control state wants no wakeup.
const LONGEST_SLEEP: Duration = Duration::from_mins(1);

fn wall_now() -> WallTime {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    WallTime(elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64))
}

/// What orders to engines are sent with: a client, and the clock that their times go by.
#[derive(Clone)]
struct Engines {
    client: awc::Client,
    started: Instant,
}

impl Engines {
    fn now(&self) -> Time {
        Time(self.started.elapsed().as_micros() as u64)
    }
}

/// What the control thread reaches outside the daemon.
struct Outside {
    platform: HttpPlatform,
    links: PeerLinks,
    engines: Engines,
}

/// What the control thread works with.
#[derive(Debug)]
pub struct Adapter {
    /// The daemon's settings.
    pub settings: Settings,
    /// Where snapshots are published.
    pub snapshot: Arc<ArcSwap<Snapshot>>,
    /// The daemon's run, as requests' names and claims carry it.
    pub incarnation: Incarnation,
    /// Take what the traffic threads are told, in the order of the threads.
    pub inboxes: Vec<mpsc::UnboundedSender<Event>>,
    /// The operators' listener.
    pub operators: TcpListener,
    /// The listener for other daemons.
    pub peers: TcpListener,
    /// Counts what crosses the links to other daemons.
    pub peer_counters: Arc<PeerCounters>,
    /// Counts the attempts of all traffic threads.
    pub attempt_counters: Arc<AttemptCounters>,
    /// Takes inputs, so that answers to calls come back.
    pub inputs: mpsc::UnboundedSender<Input>,
    /// Gives inputs.
    pub received: mpsc::UnboundedReceiver<Input>,
    /// Tells what the daemon must not be lost before: ends of claims, changes for the trail.
    pub pending_claim_writes: Arc<AtomicUsize>,
    /// Turns true when the thread must end.
    pub stop: watch::Receiver<bool>,
}

impl Adapter {
    /// Runs until `stop` turns true.
    pub fn run(self) {
        actix_rt::System::new().block_on(self.run_here());
    }

    async fn run_here(mut self) {
        let started = Instant::now();
        self.serve_operators();
        let (link_events, mut link_received) = mpsc::channel(EVENT_QUEUE);
        let own = match self.member() {
            Ok(own) => own,
            Err(error) => return log::error!(event = "no-peer-address", error:%; ""),
        };
        let links = self.peers.try_clone().and_then(|listener| {
            let counters = self.peer_counters.clone();
            PeerLinks::start(own.clone(), self.settings.peer_key, listener, link_events, counters)
        });
        let links = match links {
            Ok(links) => links,
            Err(error) => return log::error!(event = "no-peer-listener", error:%; ""),
        };
        let platform = HttpPlatform::new(&self.settings.platform);
        let engines = Engines { client: awc::Client::default(), started };
        let mut outside = Outside { platform, links, engines };
        let mut control = self.control(own.clone());
        self.handle(Input::Identity(own), &mut control, &mut outside);
        let mut input = Input::Started;
        loop {
            self.handle(input, &mut control, &mut outside);
            let now = outside.engines.now();
            let wait = control.next_wakeup().map_or(LONGEST_SLEEP, |at| at.since(now));
            input = tokio::select! {
                received = self.received.recv() => match received {
                    Some(received) => received,
                    None => break,
                },
                Some(event) = link_received.recv() => Input::Link(event),
                event = outside.links.next_opened() => Input::Link(event),
                () = sleep(wait) => Input::Woken,
                _ = self.stop.wait_for(|&stop| stop) => break,
            };
        }
        // A daemon that drains tells its peers that it leaves, even if it stops at once.
        while let Ok(input) = self.received.try_recv() {
            if matches!(input, Input::Drain) {
                self.handle(input, &mut control, &mut outside);
            }
        }
        outside.links.flush().await;
    }

    fn serve_operators(&self) {
        let edge = OperatorHandler::new(
            self.snapshot.clone(),
            &self.settings.operator_token,
            metrics::encoder(
                self.peer_counters.clone(),
                self.attempt_counters.clone(),
                self.snapshot.clone(),
            ),
        );
        let operators = self.operators.try_clone();
        let stop = self.stop.clone();
        actix_rt::spawn(async move {
            let handler = move |req: Request| std::future::ready(edge.handle(&req));
            let served = match operators {
                Ok(listener) => serve(listener, handler, ConnectionCounter::default(), stop).await,
                Err(error) => Err(error),
            };
            if let Err(error) = served {
                log::error!(event = "operators-listener-ended", error:% = error; "");
            }
        });
    }

    fn control(&self, own: Member) -> Control {
        let Settings { name, calls_per_second, claims, seeds, heartbeat, .. } = &self.settings;
        let calls_per_second = f64::from(*calls_per_second);
        let calls = client::Config { calls_per_second, ..client::Config::default() };
        let peers = Config { own, seeds: seeds.clone(), heartbeat: *heartbeat };
        Control::new().with_platform(calls, name).with_claims(claims.clone()).with_peers(peers)
    }

    fn handle(&self, input: Input, control: &mut Control, outside: &mut Outside) {
        let now = outside.engines.now();
        if let Input::AttemptReports(reports) = &input {
            for report in reports {
                self.attempt_counters.add(report);
            }
        }
        let mut out = Vec::new();
        control.handle(now, Input::Clock(wall_now()), &mut out);
        control.handle(now, input, &mut out);
        for output in out {
            self.carry_out(outside, output);
        }
        self.pending_claim_writes.store(control.pending_claim_writes(), Ordering::SeqCst);
    }

    fn threads(&self) -> u16 {
        u16::try_from(self.inboxes.len()).unwrap_or(u16::MAX)
    }

    fn tell(&self, thread: u16, event: Event) {
        if let Some(inbox) = self.inboxes.get(usize::from(thread)) {
            // The receiver is gone only when the daemon ends.
            let _ = inbox.send(event);
        }
    }

    fn tell_about_request(&self, from: DaemonId, message: Message) {
        let thread = match (&message, message.held_request()) {
            (Message::FetchResponse(pieces), _) => pieces.id.thread,
            (_, Some(request)) => owning_thread(request, &self.settings.name, self.threads()),
            (_, None) => return,
        };
        self.tell(thread, Event::Peer(from, message));
    }

    /// Returns this run of the daemon as its peers know it.
    fn member(&self) -> std::io::Result<Member> {
        Ok(Member {
            daemon: self.settings.name.clone(),
            incarnation: self.incarnation,
            address: self.peers.local_addr()?,
            data_centre: self.settings.data_centre.clone(),
            region: self.settings.region.clone(),
        })
    }

    fn carry_out(&self, outside: &mut Outside, output: Output) {
        match output {
            Output::Call { owner, call, operation, .. } => {
                let platform = outside.platform.clone();
                let inputs = self.inputs.clone();
                actix_rt::spawn(async move {
                    let result = platform.call(&operation).await;
                    // The receiver is gone only when the thread ends.
                    let _ = inputs.send(Input::CallEnded(owner, call, result));
                });
            }
            Output::Publish(snapshot) => {
                log::info!(
                    event = "snapshot",
                    generation:% = snapshot.generation,
                    hosts = snapshot.hosts.len(),
                    members = snapshot.members.len(),
                    ready = snapshot.ready();
                    ""
                );
                self.snapshot.store(snapshot);
            }
            Output::Link(effect) => outside.links.carry_out(effect),
            Output::Order(order) => {
                let engines = outside.engines.clone();
                let inputs = self.inputs.clone();
                actix_rt::spawn(async move {
                    let clock = || engines.now();
                    let end = supply::http::send_order(&engines.client, &order, clock).await;
                    // The receiver is gone only when the thread ends.
                    let _ = inputs.send(Input::OrderEnded(order.id, end));
                });
            }
            Output::Audit(event) => log::info!(
                event = "audit",
                actor:% = event.actor,
                object:% = event.object,
                action:% = event.action,
                generation:% = event.generation,
                cause:% = event.cause;
                ""
            ),
            Output::ClaimResponded(request, answer) => {
                let thread = owning_thread(&request, &self.settings.name, self.threads());
                self.tell(thread, Event::Claim(request, answer));
            }
            Output::Poison(digest, refused_for) => {
                for thread in 0..self.threads() {
                    self.tell(thread, Event::Poison(digest, refused_for));
                }
            }
            Output::RequestMessage(from, message) => self.tell_about_request(from, message),
            Output::Send(..) => {}
            Output::Rejected(reason) => log::warn!(event = "refused", reason:% = reason; ""),
        }
    }
}
