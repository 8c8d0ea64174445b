//! Tunnels: connections to upstreams that another gateway forwards.
//!
//! Load pattern: this gateway has lost its links to upstreams that other gateways still reach. It goes on
//! to decide everything itself, and only its bytes take another path, so that deadlines, retries, quotas
//! and the rule that a request runs once hold as before. A gateway opens tunnels over its own links only,
//! so that they cannot form a loop.
//!
//! See `docs/design/platform.md`, "Isolated daemons".

use std::{io, net::SocketAddr, rc::Rc, str, time::Duration};

use dogwoodturn::{
    http::{
        connection::{Connection, set_upstream_socket_options},
        tunnel::forward,
    },
    units::Time,
};
use thiserror::Error;
use tokio::{io::AsyncWriteExt as _, net::TcpStream, time::timeout};

use crate::{connect, gateway::Gateway, request::phrase, store::UpstreamRecord};

/// Prefix of the path by which another gateway requests a tunnel; the upstream's ID follows.
pub const PATH: &[u8] = b"/tunnels/";
/// Limit for opening a tunnel; other data centres are a few milliseconds away.
const OPEN_TIMEOUT: Duration = Duration::from_millis(300);
/// Limit for the connection to the upstream at the gateway that forwards it; within [`OPEN_TIMEOUT`].
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Tunnels that a gateway forwards at a time. Each takes two file descriptors, and callers of its own
/// need most of them.
const MAX_TUNNELS: i64 = 400;
/// Gateways that are asked for one tunnel.
const MAX_HELPERS: usize = 3;
/// Gateways that have to say that the upstream is unreachable before that is believed.
const MAX_UNREACHABLE: usize = 2;

/// Why no tunnel was opened.
#[derive(Debug, Error)]
pub enum OpenError {
    /// Gateways that reach other upstreams of the service do not reach this one.
    #[error("other gateways do not reach the upstream either")]
    Unreachable,
    /// No gateway forwards connections to the service.
    #[error("no other gateway reaches the service")]
    NoHelper,
}

/// Why one gateway opened no tunnel.
#[derive(Debug, Error)]
enum HelperError {
    #[error("connection to gateway {0}: {1}")]
    Failed(SocketAddr, io::Error),
    #[error("gateway {0} does not reach the upstream")]
    Unreachable(SocketAddr),
    #[error("gateway {0} refuses with status {1}")]
    Refused(SocketAddr, u16),
}

/// Opens a tunnel to an upstream through one of the gateways that reach its service. Nothing has been
/// sent to the upstream if this fails.
pub async fn open(
    cx: &Gateway,
    upstream: &UpstreamRecord,
    expires_at: Time,
) -> Result<Connection, OpenError> {
    let helpers = cx.helpers(&upstream.service);
    let mut unreachable = 0;
    for helper in helpers.into_iter().take(MAX_HELPERS) {
        let time_left = expires_at.since(cx.now()).min(OPEN_TIMEOUT);
        let opened = timeout(time_left, open_via(helper, upstream)).await;
        let error = match opened {
            Ok(Ok(connection)) => {
                cx.metrics.tunnels.inc();
                return Ok(connection);
            }
            Ok(Err(error)) => error,
            Err(elapsed) => HelperError::Failed(helper, elapsed.into()),
        };
        log::debug!(event = "no-tunnel", upstream:% = upstream.id, error:%; "");
        unreachable += usize::from(matches!(error, HelperError::Unreachable(_)));
        if unreachable >= MAX_UNREACHABLE {
            break;
        }
    }
    Err(if unreachable > 0 { OpenError::Unreachable } else { OpenError::NoHelper })
}

async fn open_via(
    helper: SocketAddr,
    upstream: &UpstreamRecord,
) -> Result<Connection, HelperError> {
    let failed = |error| HelperError::Failed(helper, error);
    let mut connection = Connection::open_with(helper, OPEN_TIMEOUT, set_upstream_socket_options)
        .await
        .map_err(failed)?;
    let request =
        [b"GET ", PATH, upstream.id.as_str().as_bytes(), b" HTTP/1.1\r\nHost: peer\r\n\r\n"];
    connection.write(&request.concat()).await.map_err(failed)?;
    let head = connection.read_head(false).await.map_err(failed)?;
    match head.status {
        200 => {
            connection.via = Some(helper);
            Ok(connection)
        }
        502 => Err(HelperError::Unreachable(helper)),
        status => Err(HelperError::Refused(helper, status)),
    }
}

/// Serves another gateway's request for a tunnel to the upstream with this ID. An error that ends an
/// open tunnel is not logged here: the gateway at its other end logs what it means for the request.
pub async fn serve(cx: &Rc<Gateway>, mut stream: TcpStream, id: &[u8]) -> io::Result<()> {
    let status = match connect_upstream(cx, id).await {
        Ok(mut upstream) => {
            let _in_flight = cx.track_request();
            let _open = OpenTunnel::begin(cx);
            stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n").await?;
            set_upstream_socket_options(&stream)?;
            return forward(&mut stream, &mut upstream.stream).await;
        }
        Err(status) => status,
    };
    let phrase = phrase(status);
    let head =
        format!("HTTP/1.1 {status} {phrase}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    stream.write_all(head.as_bytes()).await?;
    stream.shutdown().await
}

/// Connects to an upstream over this gateway's own link, or returns the status that says why not.
async fn connect_upstream(cx: &Rc<Gateway>, id: &[u8]) -> Result<Connection, u16> {
    let upstream = {
        let state = cx.state.borrow();
        let id = str::from_utf8(id).ok().and_then(|id| id.parse().ok()).ok_or(404_u16)?;
        let upstream = state.directory.get(&id).ok_or(404_u16)?;
        if !state.directory.is_live(cx.now(), upstream) {
            return Err(404);
        }
        if cx.is_draining()
            || cx.metrics.open_tunnels.get() >= MAX_TUNNELS
            || state.reachability.is_isolated(&upstream.record.service)
        {
            return Err(503);
        }
        upstream.record.clone()
    };
    connect::open_directly(cx, &upstream, CONNECT_TIMEOUT).await.map_err(|_| 502)
}

/// Counts a tunnel as open while it exists.
struct OpenTunnel(Rc<Gateway>);

impl OpenTunnel {
    fn begin(cx: &Rc<Gateway>) -> Self {
        cx.metrics.open_tunnels.inc();
        Self(cx.clone())
    }
}

impl Drop for OpenTunnel {
    fn drop(&mut self) {
        self.0.metrics.open_tunnels.dec();
    }
}
