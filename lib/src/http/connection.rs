//! TCP connections with keepalive and time-out options, since a dead peer that sends nothing is not
//! detected otherwise.

use std::{io, net::SocketAddr, time::Duration};

use bytes::{Bytes, BytesMut};
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
    time::timeout,
};

use crate::http::{
    body::{BodyDecoder, Step},
    head::{HeadError, ResponseHead},
    received::{ConnectionEnd, Received},
};

/// Limit for the acknowledgement of sent bytes; other data centres are a few milliseconds away. The
/// kernel also ends keepalive probing by this limit, whatever the number of probes.
const USER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Idle time before the first keepalive probe, and interval between probes.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Number of lost keepalive probes after which a connection is closed; the default number would
/// take ten seconds.
const KEEPALIVE_PROBES: u32 = 2;
/// As [`KEEPALIVE_PROBES`], for upstreams. Sound upstreams are silent for a second or two, and most
/// callers leave after a silence of four seconds.
const UPSTREAM_KEEPALIVE_PROBES: u32 = 4;
/// Buffer space that is reserved before each read; most heads and events are shorter.
const READ_BUFFER_BYTES: usize = 4096;
/// Maximum length of a response head from a server or the store.
pub const MAX_RESPONSE_HEAD_BYTES: usize = 32 * 1024;

/// A connection to a server. Only its own methods read and write, so that [`Received`] knows how it ended.
#[derive(Debug)]
pub struct Connection {
    pub stream: TcpStream,
    pub received: Received,
    /// The first error of a write. The system reports a reset to one call only: after a write that failed,
    /// reads see a regular end.
    write_error: Option<io::ErrorKind>,
    /// Whether the connection has carried an earlier request.
    pub reused: bool,
    /// The daemon that forwards the connection, if it is a tunnel.
    pub via: Option<SocketAddr>,
    /// Whether bytes were sent and none have been received since.
    is_awaiting_response: bool,
}

impl Drop for Connection {
    /// An abandoned request must not reach the peer later, when a stalled link recovers: a reset
    /// discards unsent bytes, while a regular close would still deliver them.
    fn drop(&mut self) {
        if self.is_awaiting_response
            && let Err(error) = self.stream.set_zero_linger()
        {
            log::warn!(event = "no-reset", error:%; "connection could not be set to reset on close; unsent bytes may still be delivered");
        }
    }
}

impl Connection {
    /// Connects within `connect_timeout` and sets the options that detect a dead peer.
    pub async fn open(address: SocketAddr, connect_timeout: Duration) -> io::Result<Self> {
        Self::open_with(address, connect_timeout, set_socket_options).await
    }

    /// Connects within `connect_timeout` and sets the options of the socket with `set_options`.
    pub async fn open_with(
        address: SocketAddr,
        connect_timeout: Duration,
        set_options: impl FnOnce(&TcpStream) -> io::Result<()>,
    ) -> io::Result<Self> {
        let stream = timeout(connect_timeout, TcpStream::connect(address)).await??;
        set_options(&stream)?;
        Ok(Self {
            stream,
            received: Received::default(),
            write_error: None,
            reused: false,
            via: None,
            is_awaiting_response: false,
        })
    }

    /// Reports whether the connection is open and has no unread bytes, so that the next bytes
    /// belong to the response to the next request.
    pub fn is_idle(&self) -> bool {
        let mut byte = [0];
        let peeked = self.stream.try_read(&mut byte);
        self.received.is_empty()
            && matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Writes all bytes of a request.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.is_awaiting_response = true;
        let written = self.stream.write_all(bytes).await;
        self.record_write(written)
    }

    /// Writes as much of a request as the socket accepts and returns the number of bytes.
    pub fn try_write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.is_awaiting_response = true;
        let written = self.stream.try_write(bytes);
        self.record_write(written)
    }

    /// Reads available bytes without waiting. Returns zero at the end of the stream.
    pub fn try_read(&mut self) -> io::Result<usize> {
        let read = self.stream.try_read_buf(&mut self.received.bytes);
        self.record_read(read)
    }

    /// Waits for bytes and reads them. Returns zero at the end of the stream.
    pub async fn read(&mut self) -> io::Result<usize> {
        self.received.bytes.reserve(READ_BUFFER_BYTES);
        let read = self.stream.read_buf(&mut self.received.bytes).await;
        self.record_read(read)
    }

    fn record_write<T>(&mut self, written: io::Result<T>) -> io::Result<T> {
        written.inspect_err(|error| {
            if error.kind() != io::ErrorKind::WouldBlock {
                self.write_error.get_or_insert(error.kind());
            }
        })
    }

    fn record_read(&mut self, read: io::Result<usize>) -> io::Result<usize> {
        let read = match (read, self.received.end(), self.write_error) {
            // An error is reported again to each later call.
            (Ok(0), Some(ConnectionEnd::Failed(kind)), _) | (Ok(0), None, Some(kind)) => {
                Err(kind.into())
            }
            (read, ..) => read,
        };
        match &read {
            Ok(0) => self.received.record_end(ConnectionEnd::Closed),
            Ok(_) => self.is_awaiting_response = false,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => self.received.record_end(ConnectionEnd::Failed(error.kind())),
        }
        read
    }

    /// Reads the head of a response. Fails if it, together with the interim responses before it, is
    /// longer than [`MAX_RESPONSE_HEAD_BYTES`].
    pub async fn read_head(&mut self, to_head_request: bool) -> io::Result<ResponseHead> {
        let mut received = self.received.bytes.len();
        loop {
            if let Some(head) = self.try_parse_head(to_head_request, received)? {
                return Ok(head);
            }
            match self.read().await? {
                0 => return Err(io::ErrorKind::UnexpectedEof.into()),
                length => received += length,
            }
        }
    }

    /// Removes the head of a response from the buffer, if it is complete. `received` is the number of
    /// bytes that were received since the request, which interim responses may use up.
    pub fn try_parse_head(
        &mut self,
        to_head_request: bool,
        received: usize,
    ) -> io::Result<Option<ResponseHead>> {
        let parsed = ResponseHead::try_parse(
            &mut self.received.bytes,
            MAX_RESPONSE_HEAD_BYTES,
            to_head_request,
        );
        let parsed = match parsed {
            Ok(None) if received > MAX_RESPONSE_HEAD_BYTES => Err(HeadError::TooLong),
            parsed => parsed,
        };
        parsed.map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))
    }

    /// Reads the next part of a body. Returns `None` at its regular end.
    pub async fn read_body(&mut self, decoder: &mut BodyDecoder) -> io::Result<Option<Bytes>> {
        loop {
            match self.received.decode(decoder)? {
                Step::Data(data) => return Ok(Some(data)),
                Step::End => return Ok(None),
                Step::NeedsMore => self.read().await?,
            };
        }
    }

    /// Reads a complete body. Fails if it is longer than `max_bytes`.
    pub async fn read_full_body(
        &mut self,
        head: &ResponseHead,
        max_bytes: usize,
    ) -> io::Result<BytesMut> {
        let mut decoder = BodyDecoder::new(head.framing);
        let mut body = BytesMut::new();
        while let Some(data) = self.read_body(&mut decoder).await? {
            if body.len() + data.len() > max_bytes {
                return Err(io::Error::new(
                    io::ErrorKind::InvalidData,
                    "the body exceeds the maximum length",
                ));
            }
            body.extend_from_slice(&data);
        }
        Ok(body)
    }
}

/// Sets the socket options that detect a dead peer within two seconds, for peers whose calls are
/// repeated on a new connection.
pub fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    set_options(stream, KEEPALIVE_PROBES)
}

/// Sets the socket options of a connection to an upstream. Bytes may stay unacknowledged for any
/// time, since the silence of an upstream does not end a request before its deadline; only a
/// connection without unacknowledged bytes is closed once its peer answers no probe. See
/// `docs/design/platform.md`.
pub fn set_upstream_socket_options(stream: &TcpStream) -> io::Result<()> {
    set_options(stream, UPSTREAM_KEEPALIVE_PROBES)
}

fn set_options(stream: &TcpStream, keepalive_probes: u32) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_IDLE)
        .with_retries(keepalive_probes);
    SockRef::from(stream).set_tcp_keepalive(&keepalive)
}
