//! Connections to upstreams, over this daemon's own links or through another daemon.
//!
//! Shared by the threads of a daemon, since they share its links. Tunnels for other daemons use own
//! links only, so that they cannot form a loop. See `docs/design/requests.md`, "Isolated daemons".

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use arc_swap::ArcSwap;

use crate::{
    edge::{
        change_log::log_reachability,
        tunnel::{self, Identity, TunnelError},
    },
    http::connection::Connection,
    ids::{ServiceName, UpstreamId},
    node::snapshot::Snapshot,
    units::Time,
    upstream::{
        helpers::Helpers,
        reachability::{Change, FIRST_PROBES, Reachability},
    },
};

/// Limit for a connection over an own link; other data centres are a few milliseconds away.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// As [`CONNECT_TIMEOUT`], on behalf of another daemon, which waits for little longer.
const FORWARDED_CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Daemons that have to say that the upstream is unreachable before that is believed.
const MAX_UNREACHABLE: usize = 2;

/// An upstream to connect to.
#[derive(Clone, Debug)]
pub struct Target {
    pub service: ServiceName,
    pub upstream: UpstreamId,
    pub address: SocketAddr,
}

#[derive(Debug, Default)]
struct State {
    reachability: Reachability,
    helpers: Helpers,
}

/// The links of one daemon to the upstreams.
#[derive(Debug)]
pub struct UpstreamLinks {
    pub identity: Identity,
    snapshot: Arc<ArcSwap<Snapshot>>,
    started: Instant,
    state: Mutex<State>,
}

impl UpstreamLinks {
    pub fn new(identity: Identity, snapshot: Arc<ArcSwap<Snapshot>>) -> Arc<Self> {
        Arc::new(Self { identity, snapshot, started: Instant::now(), state: Mutex::default() })
    }

    /// Reports whether this daemon has lost its links to the upstreams of a service.
    pub fn is_isolated(&self, service: &ServiceName) -> bool {
        self.lock().reachability.is_isolated(service)
    }

    /// Reports whether a connection that was opened before takes the path that new ones would take.
    pub fn is_current(&self, service: &ServiceName, connection: &Connection) -> bool {
        match connection.via {
            None => !self.is_isolated(service),
            Some(helper) => {
                let is_member = |snapshot: &Snapshot| {
                    snapshot.members.iter().any(|member| member.address == helper)
                };
                self.is_isolated(service) && is_member(&self.snapshot.load())
            }
        }
    }

    /// Connects to an upstream, through another daemon if the own links to its service are lost.
    /// Nothing has been sent to the upstream if this fails.
    pub async fn open(self: &Arc<Self>, target: &Target) -> io::Result<Connection> {
        if self.is_isolated(&target.service) {
            return match self.open_tunnel(target).await {
                // Daemons that saw the same upstreams stop may all take themselves for isolated.
                Err(error) if error.kind() == io::ErrorKind::NotConnected => {
                    self.open_directly(target, CONNECT_TIMEOUT).await
                }
                opened => opened,
            };
        }
        let opened = self.open_directly(target, CONNECT_TIMEOUT).await;
        if opened.is_ok() || !self.is_isolated(&target.service) {
            return opened;
        }
        self.open_tunnel(target).await
    }

    /// Connects to an upstream over the own link on behalf of another daemon.
    pub async fn open_forwarded(self: &Arc<Self>, target: &Target) -> io::Result<Connection> {
        self.open_directly(target, FORWARDED_CONNECT_TIMEOUT).await
    }

    async fn open_directly(
        self: &Arc<Self>,
        target: &Target,
        connect_timeout: Duration,
    ) -> io::Result<Connection> {
        let opening = Connection::open_with(target.address, connect_timeout, |stream| {
            // Responses are bounded by the deadlines of their requests, not by those of the socket.
            stream.set_nodelay(true)
        });
        let opened = opening.await;
        let change = self.record(target, opened.is_ok());
        if let Some(change) = change {
            log_reachability(&change);
            if change.is_isolated {
                // The upstreams that failed may only have stopped.
                for number in 0..FIRST_PROBES {
                    self.spawn_probe(&target.service, number);
                }
            }
        }
        opened
    }

    fn record(&self, target: &Target, is_open: bool) -> Option<Change> {
        let Target { service, upstream, .. } = target;
        let mut state = self.lock();
        if is_open {
            return state.reachability.record_success(service, upstream);
        }
        let snapshot = self.snapshot.load();
        let upstreams = snapshot.hosts.iter().filter(|host| host.service == *service).count();
        state.reachability.record_failure(self.now(), service, upstream, upstreams)
    }

    /// Opens a tunnel through another daemon. Fails with [`io::ErrorKind::NotConnected`] if no daemon
    /// said whether it reaches the upstream.
    async fn open_tunnel(&self, target: &Target) -> io::Result<Connection> {
        let members = self.snapshot.load().members.clone();
        let own = &self.identity.own.daemon;
        let helpers = self.lock().helpers.choose(self.now(), own, &members);
        let mut unreachable = 0;
        for helper in helpers {
            let opened = tunnel::open(&self.identity, helper.address, &target.upstream).await;
            let error = match opened {
                Ok(connection) => return Ok(connection),
                Err(error) => error,
            };
            log::debug!(event = "no-tunnel", helper:% = helper.daemon, upstream:% = target.upstream, error:%; "");
            if matches!(error, TunnelError::Unreachable) {
                unreachable += 1;
            } else {
                self.lock().helpers.record_failure(self.now(), helper.daemon);
            }
            if unreachable >= MAX_UNREACHABLE {
                break;
            }
        }
        Err(if unreachable > 0 {
            io::Error::other("other daemons do not reach the upstream either")
        } else {
            io::Error::new(io::ErrorKind::NotConnected, "no other daemon reaches the service")
        })
    }

    /// Starts the probes of upstreams that are due, on the calling thread.
    pub fn spawn_due_probes(self: &Arc<Self>) {
        let due = self.lock().reachability.take_due_probes(self.now());
        for (service, numbers) in due {
            numbers.for_each(|number| self.spawn_probe(&service, number));
        }
    }

    /// Finds out whether an upstream of a service is reached again over the own link.
    fn spawn_probe(self: &Arc<Self>, service: &ServiceName, number: usize) {
        let snapshot = self.snapshot.load();
        let hosts: Vec<_> = snapshot.hosts.iter().filter(|host| host.service == *service).collect();
        if hosts.is_empty() {
            return;
        }
        let host = hosts[number % hosts.len()];
        let target = Target {
            service: service.clone(),
            upstream: host.upstream.clone(),
            address: host.address,
        };
        let links = self.clone();
        actix_rt::spawn(async move { links.probe(&target).await });
    }

    async fn probe(&self, target: &Target) {
        let opening = Connection::open_with(target.address, CONNECT_TIMEOUT, |_| Ok(()));
        let is_open = opening.await.is_ok();
        if let Some(change) = self.record(target, is_open) {
            log_reachability(&change);
        }
    }

    fn now(&self) -> Time {
        Time(self.started.elapsed().as_micros() as u64)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }
}
