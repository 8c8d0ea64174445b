//! The life of a gateway's process, from its listeners to its last request.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use thiserror::Error;
use tokio::{
    net::UdpSocket,
    signal::unix::{SignalKind, signal},
    time::{MissedTickBehavior, interval, sleep},
};

use crate::{
    gateway::Gateway,
    header_schema::HeaderSchema,
    links,
    serve::{SimpleResponse, accept, accept_simple, listen},
    settings::Settings,
    store::Store,
    sync,
};

/// How often the settings are looked at, since they may change without a signal.
const REREAD_EVERY: Duration = Duration::from_secs(5);
/// How long a daemon takes connections after it has become unready: the balancer asks once a
/// second and takes two misses, and connections on their way still arrive.
const UNREADY_BEFORE_STOP: Duration = Duration::from_millis(3300);
/// How long callers' idle connections stay open after the signal; most are told with an answer
/// that the connection closes, and closing one crosses no request then.
const IDLE_BEFORE_CLOSE: Duration = Duration::from_millis(2000);
/// How long before the end of the grace period the process ends whatever is in flight.
const GRACE_MARGIN: Duration = Duration::from_millis(400);
/// How often a draining daemon looks whether requests are still in flight.
const DRAIN_POLL: Duration = Duration::from_millis(50);

/// Says why a gateway did not start.
#[derive(Debug, Error)]
pub enum RunError {
    /// An address of the settings could not be bound.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// Signals cannot be received.
    #[error("cannot receive signals: {0}")]
    Signals(io::Error),
}

/// Serves metrics at an address of their own. Nobody's request depends on them, so that a daemon
/// that cannot bind the address goes on without.
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

/// Runs a gateway until it is asked to stop; `reread` reads the settings again and returns them if
/// they have changed and have no faults.
pub async fn run(
    settings: Settings,
    header_schema: HeaderSchema,
    store: Store,
    mut reread: impl FnMut() -> Option<Settings>,
) -> Result<(), RunError> {
    let refused = |address| move |source| RunError::Listen { address, source };
    let callers = listen(settings.callers).await.map_err(refused(settings.callers))?;
    let readiness = listen(settings.readiness).await.map_err(refused(settings.readiness))?;
    let internal = listen(settings.peers).await.map_err(refused(settings.peers))?;
    let socket = UdpSocket::bind(settings.peers).await.map_err(refused(settings.peers))?;
    let mut terminate = signal(SignalKind::terminate()).map_err(RunError::Signals)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(RunError::Signals)?;
    let mut hangup = signal(SignalKind::hangup()).map_err(RunError::Signals)?;
    log::info!(event = "start", daemon:% = settings.name, callers:% = settings.callers; "");
    let peers = settings.peers;
    let cx = Gateway::new(settings, header_schema, store);

    sync::start(&cx);
    let socket = Rc::new(socket);
    actix_rt::spawn(links::broadcast(cx.clone(), socket.clone()));
    actix_rt::spawn(links::receive(cx.clone(), socket));
    let probed = cx.clone();
    actix_rt::spawn(accept_simple(readiness, move |head| {
        let is_probe = head.path() == probed.header_schema.readiness_path;
        let status = match (is_probe, probed.is_ready()) {
            (false, _) => 404,
            (true, true) => 200,
            (true, false) => 503,
        };
        SimpleResponse { status, body: Bytes::new() }
    }));
    let called = cx.clone();
    actix_rt::spawn(accept_simple(internal, move |head| links::handle_request(&called, head)));
    if let Some(address) = cx.settings().metrics.filter(|address| *address != peers) {
        serve_metrics(&cx, address).await;
    }
    actix_rt::spawn(accept(cx.clone(), callers));

    let mut looks = interval(REREAD_EVERY);
    looks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => log::info!(event = "hangup"; ""),
            _ = looks.tick() => {}
        }
        if let Some(settings) = reread() {
            cx.reload(settings);
        }
    }
    let began = cx.now();
    let grace = cx.settings().bounds.grace;
    let (earliest, latest) =
        (began + UNREADY_BEFORE_STOP, began + grace.saturating_sub(GRACE_MARGIN));
    cx.drain(latest);
    log::info!(event = "stop", in_flight = cx.in_flight(), grace_ms = grace.as_millis() as u64; "");
    let mut closes_idle_at = began + IDLE_BEFORE_CLOSE;
    loop {
        let now = cx.now();
        if now >= latest || (now >= earliest && cx.in_flight() == 0) {
            break;
        }
        if now >= closes_idle_at {
            cx.close_idle();
            closes_idle_at = now + IDLE_BEFORE_CLOSE;
        }
        sleep(DRAIN_POLL).await;
    }
    log::info!(event = "stopped", in_flight = cx.in_flight(); "");
    Ok(())
}
