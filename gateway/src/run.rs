//! Runs a gateway's process, from binding its listeners to draining its last request.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use thiserror::Error;
use tokio::{
    net::UdpSocket,
    signal::unix::{SignalKind, signal},
    time::{MissedTickBehavior, interval, sleep},
};

use crate::{
    connect,
    gateway::Gateway,
    header_schema::HeaderSchema,
    links,
    serve::{SimpleResponse, accept, accept_internal, accept_simple, listen},
    settings::Settings,
    store::Store,
    sync,
};

/// Interval at which the settings are read again, since they may change without a signal.
const REREAD_INTERVAL: Duration = Duration::from_secs(5);
/// Minimum time for which a daemon accepts connections after it has become unready: the load
/// balancer probes once a second, removes a daemon after two failures, and connections in transit
/// still arrive.
const MIN_ACCEPT_WHILE_UNREADY: Duration = Duration::from_millis(3300);
/// Interval after the stop signal at which callers' idle connections are closed. By then most
/// callers have received a response with `Connection: close`, so that closing crosses no request.
const IDLE_CLOSE_INTERVAL: Duration = Duration::from_millis(2000);
/// The process ends this long before the end of the grace period, even if requests are in flight.
const GRACE_MARGIN: Duration = Duration::from_millis(400);
/// Interval at which a draining daemon checks for requests in flight.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Why a gateway did not start.
#[derive(Debug, Error)]
pub enum RunError {
    /// An address of the settings could not be bound.
    #[error("cannot listen on {address}: {source}")]
    Listen { address: SocketAddr, source: io::Error },
    /// Signals cannot be received.
    #[error("cannot receive signals: {0}")]
    Signals(io::Error),
}

/// Serves metrics on a separate address. No request depends on metrics, so a daemon that cannot
/// bind the address continues without them.
async fn serve_metrics(cx: &Rc<Gateway>, address: SocketAddr) {
    match listen(address).await {
        Ok(listener) => {
            let cx = cx.clone();
            actix_rt::spawn(accept_simple(listener, move |head| {
                links::handle_metrics_request(&cx, head)
            }));
        }
        Err(error) => log::warn!(event = "no-metrics", address:%, error:%; ""),
    }
}

/// Runs a gateway until it receives a stop signal. `reread` reads the settings again and returns
/// them if they have changed and are valid.
pub async fn run(
    settings: Settings,
    header_schema: HeaderSchema,
    store: Store,
    mut reread: impl FnMut() -> Option<Settings>,
) -> Result<(), RunError> {
    let listen_error = |address| move |source| RunError::Listen { address, source };
    let callers = listen(settings.callers).await.map_err(listen_error(settings.callers))?;
    let readiness = listen(settings.readiness).await.map_err(listen_error(settings.readiness))?;
    let internal = listen(settings.peers).await.map_err(listen_error(settings.peers))?;
    let socket = UdpSocket::bind(settings.peers).await.map_err(listen_error(settings.peers))?;
    let mut terminate = signal(SignalKind::terminate()).map_err(RunError::Signals)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(RunError::Signals)?;
    let mut hangup = signal(SignalKind::hangup()).map_err(RunError::Signals)?;
    log::info!(event = "start", daemon:% = settings.name, callers:% = settings.callers, checks_fences = settings.bounds.checks_fences; "");
    let peers = settings.peers;
    let cx = Gateway::new(settings, header_schema, store);

    sync::start(&cx);
    let socket = Rc::new(socket);
    actix_rt::spawn(links::broadcast(cx.clone(), socket.clone()));
    actix_rt::spawn(links::receive(cx.clone(), socket));
    actix_rt::spawn(connect::run_probes(cx.clone()));
    let probe_cx = cx.clone();
    actix_rt::spawn(accept_simple(readiness, move |head| {
        let is_probe = head.path() == probe_cx.header_schema.readiness_path;
        let status = match (is_probe, probe_cx.is_ready()) {
            (false, _) => 404,
            (true, true) => 200,
            (true, false) => 503,
        };
        SimpleResponse { status, body: Bytes::new() }
    }));
    let internal_cx = cx.clone();
    actix_rt::spawn(accept_internal(internal_cx, internal));
    if let Some(address) = cx.settings().metrics.filter(|address| *address != peers) {
        serve_metrics(&cx, address).await;
    }
    actix_rt::spawn(accept(cx.clone(), callers));

    let mut reread_ticks = interval(REREAD_INTERVAL);
    reread_ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => log::info!(event = "hangup"; ""),
            _ = reread_ticks.tick() => {}
        }
        if let Some(settings) = reread() {
            cx.reload(settings);
        }
    }
    let drain_started = cx.now();
    let grace = cx.settings().bounds.grace;
    let (earliest, latest) = (
        drain_started + MIN_ACCEPT_WHILE_UNREADY,
        drain_started + grace.saturating_sub(GRACE_MARGIN),
    );
    cx.drain(latest);
    log::info!(event = "stop", in_flight = cx.in_flight(), grace_ms = grace.as_millis() as u64; "");
    let mut next_idle_close = drain_started + IDLE_CLOSE_INTERVAL;
    loop {
        let now = cx.now();
        if now >= latest || (now >= earliest && cx.in_flight() == 0) {
            break;
        }
        if now >= next_idle_close {
            cx.close_idle();
            next_idle_close = now + IDLE_CLOSE_INTERVAL;
        }
        sleep(DRAIN_POLL_INTERVAL).await;
    }
    log::info!(event = "stopped", in_flight = cx.in_flight(); "");
    Ok(())
}
