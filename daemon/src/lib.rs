//! The daemon that serves callers: one control thread, several traffic threads, their listeners.
//!
//! [`Daemon::start`] runs a daemon on threads of the calling process, so that tests and the demo
//! can run several in one process. The program `dogwoodturnd` adds settings, logs and signals.

pub mod control;
pub mod counters;
pub mod in_flight;
pub mod logs;
pub mod metrics;
pub mod peers;
pub mod settings;
pub mod traffic;
pub mod tunnels;

use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread::JoinHandle,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use arc_swap::ArcSwap;
use dogwoodturn::{
    edge::{tunnel::Identity, upstream_links::UpstreamLinks},
    ids::Incarnation,
    node::{control::Input, snapshot::Snapshot, traffic::TrafficConfig},
    peer::Member,
    request::request_id::RequestOrigin,
};
use thiserror::Error;
use tokio::sync::{mpsc, watch};

use crate::{
    counters::AttemptCounters, in_flight::InFlight, peers::PeerCounters, settings::Settings,
};

/// The shortest duration of a drain, so that callers with idle connections can be notified to close
/// them.
const DRAIN_SETTLE: Duration = Duration::from_secs(1);
/// How often a draining daemon checks for requests in flight and unfinished writes.
const DRAIN_POLL: Duration = Duration::from_millis(10);
/// How long a draining daemon waits for its pending writes to the platform.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// The reason why a daemon did not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// A listener could not be bound.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address to listen on, as given in the settings.
        address: SocketAddr,
        source: io::Error,
    },
    /// A thread could not be started.
    #[error("cannot start a thread: {0}")]
    Thread(io::Error),
}

/// A daemon that runs on threads of this process until it is dropped.
#[derive(Debug)]
pub struct Daemon {
    callers: SocketAddr,
    operators: SocketAddr,
    peers: SocketAddr,
    peer_counters: Arc<PeerCounters>,
    attempt_counters: Arc<AttemptCounters>,
    drain_timeout: Duration,
    snapshot: Arc<ArcSwap<Snapshot>>,
    inputs: mpsc::UnboundedSender<Input>,
    in_flight: InFlight,
    pending_writes: Arc<AtomicUsize>,
    stop: watch::Sender<bool>,
    threads: Vec<JoinHandle<()>>,
}

impl Daemon {
    /// Binds the three listeners and starts the control thread and the traffic threads.
    pub fn start(settings: &Settings) -> Result<Self, StartError> {
        let callers = bind(settings.callers)?;
        let operators = bind(settings.operators)?;
        let peers = bind(settings.peers)?;
        let (inputs, input_receiver) = mpsc::unbounded_channel();
        let (stop, stop_receiver) = watch::channel(false);
        let mut daemon = Self {
            callers: address_of(&callers, settings.callers)?,
            operators: address_of(&operators, settings.operators)?,
            peers: address_of(&peers, settings.peers)?,
            peer_counters: Arc::default(),
            attempt_counters: Arc::default(),
            drain_timeout: settings.drain_timeout,
            snapshot: Arc::default(),
            inputs: inputs.clone(),
            in_flight: InFlight::default(),
            pending_writes: Arc::default(),
            stop,
            threads: Vec::new(),
        };
        let incarnation = incarnation();
        let own = Member {
            daemon: settings.name.clone(),
            incarnation,
            address: daemon.peers,
            data_centre: settings.data_centre.clone(),
            region: settings.region.clone(),
        };
        let identity = Identity { own, key: settings.peer_key };
        let links = UpstreamLinks::new(identity.clone(), daemon.snapshot.clone());
        let (tunnels, streams) = mpsc::unbounded_channel();
        let tunnel_thread = tunnels::TunnelThread {
            links: links.clone(),
            snapshot: daemon.snapshot.clone(),
            in_flight: daemon.in_flight.clone(),
            streams,
            stop: stop_receiver.clone(),
        };
        daemon.spawn("tunnels", move || tunnel_thread.run())?;
        let threads = u16::try_from(settings.traffic_threads).unwrap_or(u16::MAX);
        let (inboxes, inbox_receivers): (Vec<_>, Vec<_>) =
            (0..threads).map(|_| mpsc::unbounded_channel()).unzip();
        let control_sender = inputs.clone();
        let control = control::ControlThread {
            settings: settings.clone(),
            identity,
            tunnels,
            inboxes,
            snapshot: daemon.snapshot.clone(),
            operators,
            peers,
            peer_counters: daemon.peer_counters.clone(),
            attempt_counters: daemon.attempt_counters.clone(),
            inputs,
            input_receiver,
            pending_writes: daemon.pending_writes.clone(),
            stop: stop_receiver.clone(),
        };
        daemon.spawn("control", move || control.run())?;
        for (thread, inbox) in (0..threads).zip(inbox_receivers) {
            let origin = RequestOrigin { daemon: settings.name.clone(), incarnation, thread };
            let traffic_thread = traffic::TrafficThread {
                cfg: TrafficConfig {
                    origin,
                    threads,
                    data_centre: settings.data_centre.clone(),
                    drain_timeout: settings.drain_timeout,
                    seed: incarnation.0.wrapping_add(u64::from(thread)),
                },
                listener: callers.try_clone().map_err(StartError::Thread)?,
                snapshot: daemon.snapshot.clone(),
                links: links.clone(),
                in_flight: daemon.in_flight.clone(),
                control: control_sender.clone(),
                inbox,
                stop: stop_receiver.clone(),
            };
            daemon.spawn(&format!("traffic-{thread}"), move || traffic_thread.run())?;
        }
        Ok(daemon)
    }

    /// Returns the address where callers connect.
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Returns the address where operators connect.
    pub fn operators(&self) -> SocketAddr {
        self.operators
    }

    /// Returns the address where other daemons connect.
    pub fn peers(&self) -> SocketAddr {
        self.peers
    }

    /// Returns the counters of the links to other daemons.
    pub fn peer_counters(&self) -> &PeerCounters {
        &self.peer_counters
    }

    /// Returns the totals over all attempts.
    pub fn attempt_counters(&self) -> &AttemptCounters {
        &self.attempt_counters
    }

    /// Reports whether the daemon accepts requests.
    pub fn ready(&self) -> bool {
        self.snapshot.load().is_ready()
    }

    /// Returns the snapshot that the traffic threads currently use for their decisions.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.snapshot.load_full()
    }

    /// Shuts down gracefully: reports unready at once, then waits for the requests in flight.
    ///
    /// Returns whether all of them finished before the drain timeout.
    pub fn drain(self) -> bool {
        // The control thread ends only after `stop`, so it receives this input.
        let _ = self.inputs.send(Input::Drain);
        let drain_start = Instant::now();
        let deadline = drain_start + self.drain_timeout;
        let settle_deadline = drain_start + DRAIN_SETTLE.min(self.drain_timeout);
        let is_busy = || self.in_flight.count() > 0 || Instant::now() < settle_deadline;
        while is_busy() && Instant::now() < deadline {
            std::thread::sleep(DRAIN_POLL);
        }
        // The outcome of a claimed call is written to the platform after its caller has been
        // answered, so these writes can still be pending when no request is in flight.
        let deadline = deadline.min(Instant::now() + WRITE_TIMEOUT);
        while self.pending_writes.load(Ordering::SeqCst) > 0 && Instant::now() < deadline {
            std::thread::sleep(DRAIN_POLL);
        }
        self.in_flight.count() == 0
    }

    fn spawn(&mut self, name: &str, run: impl FnOnce() + Send + 'static) -> Result<(), StartError> {
        let spawned = std::thread::Builder::new().name(name.into()).spawn(run);
        self.threads.push(spawned.map_err(StartError::Thread)?);
        Ok(())
    }
}

impl Drop for Daemon {
    /// Stops at once: requests in flight are aborted, as when a host is lost.
    fn drop(&mut self) {
        let _ = self.stop.send(true);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

fn bind(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).map_err(|source| StartError::Listen { address, source })
}

fn address_of(listener: &TcpListener, configured: SocketAddr) -> Result<SocketAddr, StartError> {
    listener.local_addr().map_err(|source| StartError::Listen { address: configured, source })
}

/// Returns the incarnation of this run: the wall clock time in milliseconds, which is greater for
/// each later run.
fn incarnation() -> Incarnation {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Incarnation(elapsed.as_millis() as u64)
}
