//! The control thread: runs the control state machine and executes its outputs.

use std::{
    net::{TcpListener, TcpStream},
    rc::Rc,
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
        client::Client,
        listen::{ConnectionCounter, serve},
        operator::OperatorHandler,
        tunnel::Identity,
    },
    ids::DaemonId,
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
    peers::{EVENT_QUEUE_CAPACITY, PeerCounters, PeerLinks},
    settings::Settings,
};

/// The sleep duration when the control state has requested no wakeup.
const DEFAULT_SLEEP: Duration = Duration::from_mins(1);

fn wall_now() -> WallTime {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    WallTime(elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64))
}

/// The HTTP client that sends orders to engines, and the clock of their times.
#[derive(Clone)]
struct EngineClient {
    client: Rc<Client>,
    started: Instant,
}

impl EngineClient {
    fn now(&self) -> Time {
        Time(self.started.elapsed().as_micros() as u64)
    }
}

/// The clients through which the control thread reaches the platform, other daemons and engines.
struct Clients {
    platform: HttpPlatform,
    links: PeerLinks,
    engines: EngineClient,
}

/// The channels, listeners and shared state of the control thread.
#[derive(Debug)]
pub struct ControlThread {
    pub settings: Settings,
    /// The snapshot published to the traffic threads.
    pub snapshot: Arc<ArcSwap<Snapshot>>,
    /// Identifies this run of the daemon to peers, in request ids and in claims.
    pub identity: Identity,
    /// Sends connections that request tunnels to the thread that forwards them.
    pub tunnels: mpsc::UnboundedSender<TcpStream>,
    /// Send events to the traffic threads, indexed by thread.
    pub inboxes: Vec<mpsc::UnboundedSender<Event>>,
    pub operators: TcpListener,
    pub peers: TcpListener,
    pub peer_counters: Arc<PeerCounters>,
    /// Totals over the attempts of all traffic threads.
    pub attempt_counters: Arc<AttemptCounters>,
    /// Sends inputs to this thread, such as the results of calls.
    pub inputs: mpsc::UnboundedSender<Input>,
    pub input_receiver: mpsc::UnboundedReceiver<Input>,
    /// The number of writes to finish before the daemon stops: outcomes of claims and changes for
    /// the audit trail.
    pub pending_writes: Arc<AtomicUsize>,
    /// Becomes true when the thread must end.
    pub stop: watch::Receiver<bool>,
}

impl ControlThread {
    /// Runs until `stop` becomes true.
    pub fn run(self) {
        actix_rt::System::new().block_on(self.run_async());
    }

    async fn run_async(mut self) {
        let started = Instant::now();
        self.serve_operators();
        let (link_events, mut link_event_receiver) = mpsc::channel(EVENT_QUEUE_CAPACITY);
        let own = self.identity.own.clone();
        let links = self.peers.try_clone().and_then(|listener| {
            let counters = self.peer_counters.clone();
            let (identity, tunnels) = (self.identity.clone(), self.tunnels.clone());
            PeerLinks::start(identity, listener, tunnels, link_events, counters)
        });
        let links = match links {
            Ok(links) => links,
            Err(error) => return log::error!(event = "no-peer-listener", error:%; "thread ended"),
        };
        let platform = HttpPlatform::new(&self.settings.platform);
        let engines = EngineClient { client: Rc::default(), started };
        let mut clients = Clients { platform, links, engines };
        let mut control = self.control(own.clone());
        self.handle(Input::Identity(own), &mut control, &mut clients);
        let mut input = Input::Started;
        loop {
            self.handle(input, &mut control, &mut clients);
            let now = clients.engines.now();
            let wait = control.next_wakeup().map_or(DEFAULT_SLEEP, |at| at.since(now));
            input = tokio::select! {
                received = self.input_receiver.recv() => match received {
                    Some(received) => received,
                    None => break,
                },
                Some(event) = link_event_receiver.recv() => Input::Link(event),
                event = clients.links.next_opened_link() => Input::Link(event),
                () = sleep(wait) => Input::Woken,
                _ = self.stop.wait_for(|&stop| stop) => break,
            };
        }
        // A drain that was requested just before the stop is still handled, since it notifies the
        // peers that this daemon leaves.
        while let Ok(input) = self.input_receiver.try_recv() {
            if matches!(input, Input::Drain) {
                self.handle(input, &mut control, &mut clients);
            }
        }
        clients.links.flush().await;
    }

    fn serve_operators(&self) {
        let operator_handler = OperatorHandler::new(
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
            let handler = move |req: Request| std::future::ready(operator_handler.handle(&req));
            let served = match operators {
                Ok(listener) => serve(listener, handler, ConnectionCounter::default(), stop).await,
                Err(error) => Err(error),
            };
            if let Err(error) = served {
                log::error!(
                    event = "operators-listener-ended",
                    error:% = error;
                    "operators are no longer served"
                );
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

    fn handle(&self, input: Input, control: &mut Control, clients: &mut Clients) {
        let now = clients.engines.now();
        if let Input::AttemptReports(reports) = &input {
            for report in reports {
                self.attempt_counters.add(report);
            }
        }
        let mut out = Vec::new();
        control.handle(now, Input::Clock(wall_now()), &mut out);
        control.handle(now, input, &mut out);
        for output in out {
            self.execute(clients, output);
        }
        self.pending_writes.store(control.pending_writes(), Ordering::SeqCst);
    }

    fn threads(&self) -> u16 {
        u16::try_from(self.inboxes.len()).unwrap_or(u16::MAX)
    }

    fn send_event(&self, thread: u16, event: Event) {
        if let Some(inbox) = self.inboxes.get(usize::from(thread)) {
            // The receiver is dropped only when the daemon ends.
            let _ = inbox.send(event);
        }
    }

    fn route_message(&self, from: DaemonId, message: Message) {
        let thread = match (&message, message.held_request()) {
            (Message::FetchResponse(pieces), _) => pieces.id.thread,
            (_, Some(request)) => owning_thread(request, &self.settings.name, self.threads()),
            (_, None) => return,
        };
        self.send_event(thread, Event::Peer(from, message));
    }

    fn execute(&self, clients: &mut Clients, output: Output) {
        match output {
            Output::Call { owner, call, operation, .. } => {
                let platform = clients.platform.clone();
                let inputs = self.inputs.clone();
                actix_rt::spawn(async move {
                    let result = platform.call(&operation).await;
                    // The receiver is dropped only when the thread ends.
                    let _ = inputs.send(Input::CallEnded(owner, call, result));
                });
            }
            Output::Publish(snapshot) => {
                log::info!(
                    event = "snapshot",
                    generation:% = snapshot.generation,
                    hosts = snapshot.hosts.len(),
                    members = snapshot.members.len(),
                    ready = snapshot.is_ready();
                    ""
                );
                self.snapshot.store(snapshot);
            }
            Output::Link(effect) => clients.links.execute(effect),
            Output::Order(order) => {
                let engines = clients.engines.clone();
                let inputs = self.inputs.clone();
                actix_rt::spawn(async move {
                    let clock = || engines.now();
                    let end = supply::http::send_order(&engines.client, &order, clock).await;
                    // The receiver is dropped only when the thread ends.
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
                self.send_event(thread, Event::Claim(request, answer));
            }
            Output::Poison(digest, refused_for) => {
                for thread in 0..self.threads() {
                    self.send_event(thread, Event::Poison(digest, refused_for));
                }
            }
            Output::CrashEvidence(report) => {
                for thread in 0..self.threads() {
                    self.send_event(thread, Event::CrashEvidence(report.clone()));
                }
            }
            Output::UpstreamLimits(reports) => {
                for thread in 0..self.threads() {
                    self.send_event(thread, Event::UpstreamLimits(reports.clone()));
                }
            }
            Output::RequestMessage(from, message) => self.route_message(from, message),
            // Emitted only by a control state without peers; this one has them.
            Output::Send(..) => {}
            Output::Rejected(reason) => log::warn!(event = "refused", reason:% = reason; ""),
        }
    }
}
