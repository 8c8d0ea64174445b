//! An HTTP/1.1 client for upstreams that distinguishes complete responses from truncated ones.

use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::{BufMut as _, Bytes, BytesMut};
use indexmap::IndexMap;
use thiserror::Error;

use crate::http::{
    body::BodyDecoder,
    connection::Connection,
    head::{ResponseHead, put_header},
};

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long an idle connection is reused. Upstreams close idle connections after some seconds, and a
/// request that crosses such a close cannot be distinguished from one that ran.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2500);
/// Interval at which expired idle connections are closed.
const EVICTION_INTERVAL: Duration = Duration::from_secs(1);

/// A request with its complete body. Headers that concern the connection are added.
#[derive(Debug)]
pub struct ClientRequest {
    is_head: bool,
    bytes: BytesMut,
}

impl ClientRequest {
    /// Begins a request to `address`.
    pub fn new(method: &str, address: SocketAddr, path: &str) -> Self {
        let mut bytes = BytesMut::with_capacity(512);
        bytes.put_slice(format!("{method} {path} HTTP/1.1\r\n").as_bytes());
        put_header(&mut bytes, b"host", address.to_string().as_bytes());
        Self { is_head: method == "HEAD", bytes }
    }

    #[must_use]
    pub fn header(mut self, name: &str, value: &[u8]) -> Self {
        put_header(&mut self.bytes, name.as_bytes(), value);
        self
    }

    /// Completes the request with its body.
    #[must_use]
    pub fn body(mut self, body: &[u8]) -> Self {
        put_header(&mut self.bytes, b"content-length", body.len().to_string().as_bytes());
        self.bytes.put_slice(b"\r\n");
        self.bytes.put_slice(body);
        self
    }
}

/// Why there is no response to a request.
#[derive(Debug, Error)]
pub enum SendError {
    /// No connection could be made, so that no byte was sent.
    #[error("no connection to {0}: {1}")]
    Unreachable(SocketAddr, io::Error),
    /// The connection broke after bytes may have been sent.
    #[error("the connection to {0} broke before a response: {1}")]
    ConnectionLost(SocketAddr, io::Error),
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    expires_at: Instant,
}

/// Sends requests on connections that are kept open between them.
#[derive(Debug, Default)]
pub struct Client {
    idle: RefCell<IndexMap<SocketAddr, Vec<IdleConnection>>>,
    evicted_at: Cell<Option<Instant>>,
}

impl Client {
    /// Sends a request and returns its response once the head has arrived.
    pub async fn send(
        self: &Rc<Self>,
        address: SocketAddr,
        req: &ClientRequest,
    ) -> Result<ClientResponse, SendError> {
        let connection = self.connect(address).await?;
        self.send_on(connection, address, req).await
    }

    /// Sends a request on a connection to `address` and returns its response once the head has arrived.
    pub async fn send_on(
        self: &Rc<Self>,
        mut connection: Connection,
        address: SocketAddr,
        req: &ClientRequest,
    ) -> Result<ClientResponse, SendError> {
        let head = exchange_head(&mut connection, req).await;
        let head = head.map_err(|error| SendError::ConnectionLost(address, error))?;
        let decoder = BodyDecoder::new(head.framing);
        let client = self.clone();
        Ok(ClientResponse { client, address, head, decoder, connection: Some(connection) })
    }

    /// Returns an idle connection to `address`, or opens one. Nothing is sent.
    pub async fn connect(&self, address: SocketAddr) -> Result<Connection, SendError> {
        if let Some(connection) = self.acquire_idle(address, |connection| connection.via.is_none())
        {
            return Ok(connection);
        }
        let connection = Connection::open_with(address, CONNECT_TIMEOUT, |stream| {
            // Responses are bounded by the deadlines of their requests, not by those of the socket.
            stream.set_nodelay(true)
        });
        connection.await.map_err(|error| SendError::Unreachable(address, error))
    }

    /// Returns an idle connection to `address`, and closes those that are not to be used.
    pub fn acquire_idle(
        &self,
        address: SocketAddr,
        is_usable: impl Fn(&Connection) -> bool,
    ) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let idle = idle.get_mut(&address)?;
        while let Some(mut candidate) = idle.pop() {
            if candidate.expires_at > now
                && is_usable(&candidate.connection)
                && candidate.connection.is_idle()
            {
                candidate.connection.reused = true;
                return Some(candidate.connection);
            }
        }
        None
    }

    fn release(&self, address: SocketAddr, connection: Connection) {
        let expires_at = Instant::now() + IDLE_TIMEOUT;
        let idle = IdleConnection { connection, expires_at };
        self.idle.borrow_mut().entry(address).or_default().push(idle);
    }

    /// Closes expired idle connections, at most once in [`EVICTION_INTERVAL`].
    pub fn evict_idle(&self) {
        let now = Instant::now();
        if self.evicted_at.get().is_some_and(|at| now.duration_since(at) < EVICTION_INTERVAL) {
            return;
        }
        self.evicted_at.set(Some(now));
        self.idle.borrow_mut().retain(|_, idle| {
            idle.retain(|idle| idle.expires_at > now);
            !idle.is_empty()
        });
    }
}

async fn exchange_head(
    connection: &mut Connection,
    req: &ClientRequest,
) -> io::Result<ResponseHead> {
    match connection.write(&req.bytes).await {
        Ok(()) => connection.read_head(req.is_head).await,
        // The upstream may have responded before it stopped reading.
        Err(error) => connection.read_head(req.is_head).await.map_err(|_| error),
    }
}

/// A response whose body is read in parts.
#[derive(Debug)]
pub struct ClientResponse {
    client: Rc<Client>,
    address: SocketAddr,
    pub head: ResponseHead,
    decoder: BodyDecoder,
    /// The connection, until the end of the body.
    connection: Option<Connection>,
}

impl ClientResponse {
    /// Returns the next part of the body, or `None` at its regular end. Fails if the body was
    /// truncated.
    pub async fn next_chunk(&mut self) -> io::Result<Option<Bytes>> {
        let Some(connection) = &mut self.connection else { return Ok(None) };
        if let Some(chunk) = connection.read_body(&mut self.decoder).await? {
            return Ok(Some(chunk));
        }
        let idle = self.connection.take().filter(Connection::is_idle);
        if let Some(connection) = idle.filter(|_| self.head.keep_alive) {
            self.client.release(self.address, connection);
        }
        Ok(None)
    }

    /// Reads the rest of the body. Fails if it was truncated or is longer than `max_bytes`.
    pub async fn read_body(mut self, max_bytes: usize) -> io::Result<Bytes> {
        let mut body = BytesMut::new();
        while let Some(chunk) = self.next_chunk().await? {
            if body.len() + chunk.len() > max_bytes {
                let detail = format!("the body exceeds {max_bytes} bytes");
                return Err(io::Error::new(io::ErrorKind::InvalidData, detail));
            }
            body.extend_from_slice(&chunk);
        }
        Ok(body.freeze())
    }
}
