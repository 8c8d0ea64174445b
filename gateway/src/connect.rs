//! Connections to upstreams, over this gateway's own links or through another gateway.

use std::{io, rc::Rc, time::Duration};

use dogwoodturn::{
    http::connection::{Connection, set_upstream_socket_options},
    ids::ServiceName,
    units::Time,
    upstream::reachability::FIRST_PROBES,
};
use indexmap::IndexSet;
use tokio::time::interval;

use crate::{
    gateway::Gateway,
    placement::Homes,
    store::UpstreamRecord,
    tunnel::{self, OpenError},
};

/// Limit for opening a connection; other data centres are a few milliseconds away.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Interval at which due probes are started.
const PROBE_TICK: Duration = Duration::from_millis(100);

/// Reports whether a request may pass through other gateways, whose regions are not known. If it has homes
/// and the system has several regions, one of them could be outside its homes.
pub fn may_tunnel(homes: Homes<'_>) -> bool {
    let regions = homes.regions.iter().flat_map(|regions| regions.values());
    !homes.bind() || regions.collect::<IndexSet<_>>().len() <= 1
}

/// Connects to an upstream, through another gateway if this one has lost its links to the upstreams of
/// the service.
pub async fn open(
    cx: &Rc<Gateway>,
    upstream: &UpstreamRecord,
    expires_at: Time,
    may_tunnel: bool,
) -> io::Result<Connection> {
    let connect_timeout = || expires_at.since(cx.now()).min(CONNECT_TIMEOUT);
    if may_tunnel && cx.has_detour(&upstream.service) {
        return match tunnel::open(cx, upstream, expires_at).await {
            // Gateways that saw the same upstreams stop may all take themselves for isolated.
            Err(OpenError::NoHelper) => open_directly(cx, upstream, connect_timeout()).await,
            opened => opened.map_err(io::Error::other),
        };
    }
    let opened = open_directly(cx, upstream, connect_timeout()).await;
    if opened.is_ok() || !may_tunnel || !cx.has_detour(&upstream.service) {
        return opened;
    }
    tunnel::open(cx, upstream, expires_at).await.map_err(io::Error::other)
}

/// Connects to an upstream over this gateway's own link, and records whether that succeeded.
pub async fn open_directly(
    cx: &Rc<Gateway>,
    upstream: &UpstreamRecord,
    connect_timeout: Duration,
) -> io::Result<Connection> {
    cx.metrics.connections.inc();
    let opened =
        Connection::open_with(upstream.address, connect_timeout, set_upstream_socket_options).await;
    let change = cx.state.borrow_mut().record_connection(cx.now(), upstream, opened.is_ok());
    if let Err(error) = &opened {
        cx.metrics.failed_connections.inc();
        if change.is_some_and(|change| change.is_isolated) {
            begin_isolation(cx, &upstream.service, error.kind() == io::ErrorKind::TimedOut);
        }
    } else if change.is_some() {
        cx.pool.borrow_mut().retain(|connection| connection.via.is_none());
    }
    opened
}

/// Probes some upstreams at once, since those that failed may only have stopped. If connections hang,
/// idle ones are not to be trusted either.
fn begin_isolation(cx: &Rc<Gateway>, service: &ServiceName, connections_hang: bool) {
    if connections_hang {
        cx.pool.borrow_mut().retain(|connection| connection.via.is_some());
    }
    for number in 0..FIRST_PROBES {
        actix_rt::spawn(probe(cx.clone(), service.clone(), number));
    }
}

/// Probes the upstreams of services that this gateway is isolated from, until the process ends.
pub async fn run_probes(cx: Rc<Gateway>) {
    let mut ticks = interval(PROBE_TICK);
    loop {
        ticks.tick().await;
        let due = cx.state.borrow_mut().reachability.take_due_probes(cx.now());
        for (service, numbers) in due {
            for number in numbers {
                actix_rt::spawn(probe(cx.clone(), service.clone(), number));
            }
        }
    }
}

/// Finds out whether this gateway reaches an upstream of a service again, over its own link.
async fn probe(cx: Rc<Gateway>, service: ServiceName, number: usize) {
    let upstream = {
        let state = cx.state.borrow();
        let live = state.directory.live(cx.now(), &service);
        if live.is_empty() {
            return;
        }
        live[number % live.len()].record.clone()
    };
    // Its result is recorded and logged with the change that it brings.
    let _ = open_directly(&cx, &upstream, CONNECT_TIMEOUT).await;
}

/// Reports whether an upstream accepts connections, from this gateway or from another one.
pub async fn is_reachable(cx: &Rc<Gateway>, upstream: &UpstreamRecord) -> bool {
    let expires_at = cx.now() + CONNECT_TIMEOUT * 2;
    open_directly(cx, upstream, CONNECT_TIMEOUT).await.is_ok()
        || tunnel::open(cx, upstream, expires_at).await.is_ok()
}
