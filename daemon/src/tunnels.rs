//! The thread that forwards connections to upstreams for daemons that have lost their own links.
//!
//! The control thread accepts the connections and passes them on, so that bytes of upstreams do not
//! delay heartbeats. See `docs/design/requests.md`, "Isolated daemons".

use std::{cell::Cell, net::TcpStream, rc::Rc, sync::Arc};

use arc_swap::ArcSwap;
use dogwoodturn::{
    edge::{
        tunnel::{self, Status, TunnelError},
        upstream_links::{Target, UpstreamLinks},
    },
    http::{connection::Connection, tunnel::forward},
    ids::UpstreamId,
    node::snapshot::Snapshot,
};
use tokio::sync::{mpsc, watch};

use crate::in_flight::InFlight;

/// Tunnels that a daemon forwards at a time. Each takes two file descriptors, and callers of its own
/// need most of them.
const MAX_TUNNELS: usize = 400;

/// The shared state and the channel of the thread.
#[derive(Debug)]
pub struct TunnelThread {
    pub links: Arc<UpstreamLinks>,
    pub snapshot: Arc<ArcSwap<Snapshot>>,
    pub in_flight: InFlight,
    /// Receives connections that request tunnels.
    pub streams: mpsc::UnboundedReceiver<TcpStream>,
    /// Becomes true when the thread must end.
    pub stop: watch::Receiver<bool>,
}

impl TunnelThread {
    /// Runs until `stop` becomes true.
    pub fn run(self) {
        actix_rt::System::new().block_on(self.run_async());
    }

    async fn run_async(mut self) {
        let server = Server {
            links: self.links,
            snapshot: self.snapshot,
            in_flight: self.in_flight,
            open: Rc::default(),
        };
        loop {
            let stream = tokio::select! {
                Some(stream) = self.streams.recv() => stream,
                _ = self.stop.wait_for(|&stop| stop) => return,
            };
            // A connection that is dropped here is followed by a request to another daemon.
            if server.open.get() < MAX_TUNNELS {
                let server = server.clone();
                server.open.set(server.open.get() + 1);
                actix_rt::spawn(async move {
                    if let Err(error) = server.serve(stream).await {
                        log::debug!(event = "tunnel-ended", error:%; "");
                    }
                    server.open.set(server.open.get() - 1);
                });
            }
        }
    }
}

#[derive(Clone)]
struct Server {
    links: Arc<UpstreamLinks>,
    snapshot: Arc<ArcSwap<Snapshot>>,
    in_flight: InFlight,
    /// The number of connections that request a tunnel or are one.
    open: Rc<Cell<usize>>,
}

impl Server {
    async fn serve(&self, stream: TcpStream) -> Result<(), TunnelError> {
        let mut stream = tokio::net::TcpStream::from_std(stream)?;
        let upstream = match tunnel::accept(&self.links.identity, &mut stream).await {
            Err(error @ TunnelError::Handshake(_)) => {
                log::warn!(event = "tunnel-refused", address:? = stream.peer_addr().ok(), error:%; "");
                return Ok(());
            }
            accepted => accepted?,
        };
        match self.connect(&upstream).await {
            Ok(mut connection) => {
                let _in_flight = self.in_flight.begin();
                tunnel::respond(&mut stream, Status::Open).await?;
                Ok(forward(&mut stream, &mut connection.stream).await?)
            }
            Err(status) => Ok(tunnel::respond(&mut stream, status).await?),
        }
    }

    /// Connects to an upstream over this daemon's own link, or returns the status that says why not.
    async fn connect(&self, upstream: &UpstreamId) -> Result<Connection, Status> {
        let target = {
            let snapshot = self.snapshot.load();
            let host = snapshot.hosts.iter().find(|host| host.upstream == *upstream);
            let host = host.filter(|_| !snapshot.draining).ok_or(Status::Refused)?;
            let service = host.service.clone();
            Target { service, upstream: upstream.clone(), address: host.address }
        };
        if self.links.is_isolated(&target.service) {
            return Err(Status::Refused);
        }
        self.links.open_forwarded(&target).await.map_err(|_| Status::Unreachable)
    }
}
