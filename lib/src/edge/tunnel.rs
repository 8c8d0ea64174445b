//! Tunnels: connections to upstreams that another daemon forwards.
//!
//! A tunnel is requested at the listener for other daemons by its first line, and authenticated like a
//! link. Messages before the tunnel stands have a length, so that no byte of the upstream is read with
//! them; after that the connection carries the upstream's bytes only. See `docs/design/requests.md`,
//! "Isolated daemons".

use std::{io, net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
    time::timeout,
};

use crate::{
    declaration::wire::{self, WireError},
    http::connection::{Connection, set_upstream_socket_options},
    ids::UpstreamId,
    peer::{
        Member,
        handshake::{Handshake, HandshakeError, Side},
    },
};

/// The first line of a connection that requests a tunnel; links begin with a request of HTTP.
pub const FIRST_LINE: &[u8] = b"TUNNEL 1\r\n";
/// Limit for opening a tunnel; other data centres are a few milliseconds away.
const OPEN_TIMEOUT: Duration = Duration::from_millis(300);
/// Limit on the size of a message before the tunnel stands, in bytes.
const MAX_MESSAGE_BYTES: usize = 1024;

/// What a daemon proves to others.
#[derive(Clone, Debug)]
pub struct Identity {
    pub own: Member,
    pub key: [u8; 32],
}

/// Why a tunnel does not stand.
#[derive(Debug, Error)]
pub enum TunnelError {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("{0}")]
    Handshake(#[from] HandshakeError),
    #[error("malformed message: {0}")]
    Malformed(#[from] WireError),
    #[error("not opened within {OPEN_TIMEOUT:?}")]
    Timeout,
    #[error("the daemon does not reach the upstream")]
    Unreachable,
    #[error("the daemon refuses")]
    Refused,
}

/// The response of the daemon that was asked for a tunnel.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Status {
    /// The connection to the upstream is established.
    Open,
    /// The upstream does not accept connections from this daemon.
    Unreachable,
    /// The daemon does not know the upstream, is isolated or draining, or has too many tunnels.
    Refused,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct RequestWire(UpstreamId);

/// Opens a tunnel to an upstream through the daemon at `helper`. Nothing has been sent to the upstream
/// if this fails.
pub async fn open(
    identity: &Identity,
    helper: SocketAddr,
    upstream: &UpstreamId,
) -> Result<Connection, TunnelError> {
    let opening = async {
        let mut connection =
            Connection::open_with(helper, OPEN_TIMEOUT, set_upstream_socket_options).await?;
        let stream = &mut connection.stream;
        stream.write_all(FIRST_LINE).await?;
        authenticate(stream, identity, Side::TunnelDialler).await?;
        write(stream, &wire::encode(&RequestWire(upstream.clone()))).await?;
        match wire::decode(&read(stream).await?)? {
            Status::Open => {}
            Status::Unreachable => return Err(TunnelError::Unreachable),
            Status::Refused => return Err(TunnelError::Refused),
        }
        connection.via = Some(helper);
        Ok(connection)
    };
    timeout(OPEN_TIMEOUT, opening).await.unwrap_or(Err(TunnelError::Timeout))
}

/// Reports whether a connection requests a tunnel. Its first line is left to [`accept`].
pub async fn is_requested(stream: &TcpStream) -> io::Result<bool> {
    let mut first = [0];
    Ok(stream.peek(&mut first).await? > 0 && first[0] == FIRST_LINE[0])
}

/// Authenticates a daemon that requests a tunnel, and returns the upstream that it wants to reach.
pub async fn accept(
    identity: &Identity,
    stream: &mut TcpStream,
) -> Result<UpstreamId, TunnelError> {
    let accepting = async {
        set_upstream_socket_options(stream)?;
        let mut first_line = [0; FIRST_LINE.len()];
        stream.read_exact(&mut first_line).await?;
        if first_line != FIRST_LINE {
            return Err(io::Error::from(io::ErrorKind::InvalidData).into());
        }
        authenticate(stream, identity, Side::TunnelAcceptor).await?;
        let RequestWire(upstream) = wire::decode(&read(stream).await?)?;
        Ok(upstream)
    };
    timeout(OPEN_TIMEOUT, accepting).await.unwrap_or(Err(TunnelError::Timeout))
}

/// Responds to the request for a tunnel.
pub async fn respond(stream: &mut TcpStream, status: Status) -> io::Result<()> {
    write(stream, &wire::encode(&status)).await
}

/// The daemon that dials proves itself first, so that others learn nothing from strangers' requests.
async fn authenticate(
    stream: &mut TcpStream,
    identity: &Identity,
    side: Side,
) -> Result<(), TunnelError> {
    let Identity { own, key } = identity;
    let (mut handshake, hello) = Handshake::begin(side, *key, own.clone(), rand::random());
    write(stream, &hello).await?;
    let (_, proof) = handshake.hello(&read(stream).await?)?;
    if side == Side::TunnelDialler {
        write(stream, &proof).await?;
        handshake.proof(&read(stream).await?)?;
    } else {
        handshake.proof(&read(stream).await?)?;
        write(stream, &proof).await?;
    }
    Ok(())
}

async fn write(stream: &mut TcpStream, message: &[u8]) -> io::Result<()> {
    let length = u16::try_from(message.len()).map_err(io::Error::other)?;
    stream.write_all(&[&length.to_be_bytes(), message].concat()).await
}

async fn read(stream: &mut TcpStream) -> io::Result<Vec<u8>> {
    let length = usize::from(stream.read_u16().await?);
    if length > MAX_MESSAGE_BYTES {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut message = vec![0; length];
    stream.read_exact(&mut message).await?;
    Ok(message)
}
