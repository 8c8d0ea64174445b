//! The entry daemon: one control thread, several traffic threads, and their listeners.
//!
//! [`Daemon::start`] runs it inside any process, so that tests and the demo can run several; the
//! program `dogwoodturnd` adds settings, logs and signals.

pub mod control;
pub mod counters;
pub mod flight;
pub mod logs;
pub mod metrics;
pub mod peers;
pub mod settings;
pub mod traffic;

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
    ids::Incarnation,
    node::{control::Input, snapshot::Snapshot, traffic::TrafficConfig},
    request::request_id::RequestOrigin,
};
use thiserror::Error;
use tokio::sync::{mpsc, watch};

use crate::{counters::AttemptCounters, flight::InFlight, peers::PeerCounters, settings::Settings};

/// How long a daemon drains at least, so that callers with idle connections are told to leave.
const DRAIN_SETTLE: Duration = Duration::from_secs(1);
/// How often a draining daemon looks whether requests are still in flight.
const DRAIN_POLL: Duration = Duration::from_millis(10);
/// How long a draining daemon waits for what it has to write to the platform.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Says why a daemon did not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// A listener could not be bound.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address from the settings.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// A thread could not be started.
    #[error("cannot start a thread: {0}")]
    Thread(io::Error),
}

/// A daemon that runs on threads of this process.
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
    pending_claim_writes: Arc<AtomicUsize>,
    stop: watch::Sender<bool>,
    threads: Vec<JoinHandle<()>>,
}

impl Daemon {
    /// Starts a daemon.
    pub fn start(settings: &Settings) -> Result<Self, StartError> {
        let callers = bind(settings.callers)?;
        let operators = bind(settings.operators)?;
        let peers = bind(settings.peers)?;
        let (inputs, received) = mpsc::unbounded_channel();
        let (stop, stopped) = watch::channel(false);
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
            pending_claim_writes: Arc::default(),
            stop,
            threads: Vec::new(),
        };
        let incarnation = incarnation();
        let threads = u16::try_from(settings.traffic_threads).unwrap_or(u16::MAX);
        let (inboxes, received_events): (Vec<_>, Vec<_>) =
            (0..threads).map(|_| mpsc::unbounded_channel()).unzip();
        let to_control = inputs.clone();
        let control = control::Adapter {
            settings: settings.clone(),
            incarnation,
            inboxes,
            snapshot: daemon.snapshot.clone(),
            operators,
            peers,
            peer_counters: daemon.peer_counters.clone(),
            attempt_counters: daemon.attempt_counters.clone(),
            inputs,
            received,
            pending_claim_writes: daemon.pending_claim_writes.clone(),
            stop: stopped.clone(),
        };
        daemon.spawn("control", move || control.run())?;
        for (thread, inbox) in (0..threads).zip(received_events) {
            let origin = RequestOrigin { daemon: settings.name.clone(), incarnation, thread };
            let run = traffic::Thread {
                cfg: TrafficConfig {
                    origin,
                    threads,
                    data_centre: settings.data_centre.clone(),
                    drain_timeout: settings.drain_timeout,
                    seed: incarnation.0.wrapping_add(u64::from(thread)),
                },
                listener: callers.try_clone().map_err(StartError::Thread)?,
                snapshot: daemon.snapshot.clone(),
                in_flight: daemon.in_flight.clone(),
                control: to_control.clone(),
                inbox,
                stop: stopped.clone(),
            };
            daemon.spawn(&format!("traffic-{thread}"), move || run.run())?;
        }
        Ok(daemon)
    }

    /// Returns where callers connect.
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Returns where operators connect.
    pub fn operators(&self) -> SocketAddr {
        self.operators
    }

    /// Returns where other daemons connect.
    pub fn peers(&self) -> SocketAddr {
        self.peers
    }

    /// Returns what has crossed the links to other daemons.
    pub fn peer_counters(&self) -> &PeerCounters {
        &self.peer_counters
    }

    /// Returns what the attempts have come to.
    pub fn attempt_counters(&self) -> &AttemptCounters {
        &self.attempt_counters
    }

    /// Says whether the daemon takes requests.
    pub fn ready(&self) -> bool {
        self.snapshot.load().ready()
    }

    /// Returns what the traffic threads decide from.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.snapshot.load_full()
    }

    /// Shuts down gracefully: unready at once, then waits for the requests in flight.
    ///
    /// Returns whether all of them have finished before the drain timeout.
    pub fn drain(self) -> bool {
        // The control thread ends only after `stop`, so that the input arrives.
        let _ = self.inputs.send(Input::Drain);
        let began = Instant::now();
        let deadline = began + self.drain_timeout;
        let settled = began + DRAIN_SETTLE.min(self.drain_timeout);
        let is_busy = || self.in_flight.count() > 0 || Instant::now() < settled;
        while is_busy() && Instant::now() < deadline {
            std::thread::sleep(DRAIN_POLL);
        }
        // The ends of claimed calls go to the platform after their callers have been answered.
        let deadline = deadline.min(Instant::now() + WRITE_TIMEOUT);
        while self.pending_claim_writes.load(Ordering::SeqCst) > 0 && Instant::now() < deadline {
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
    /// Stops at once: requests in flight are cut, as when a host is lost.
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

fn address_of(listener: &TcpListener, asked: SocketAddr) -> Result<SocketAddr, StartError> {
    listener.local_addr().map_err(|source| StartError::Listen { address: asked, source })
}

/// Returns the number of this run: the wall clock's time, which is later for each later run.
fn incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Incarnation(since.as_millis() as u64)
}
