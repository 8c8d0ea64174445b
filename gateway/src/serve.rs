//! Callers' connections: reads requests within limits and detects that a caller has disconnected.

use std::{cell::Cell, future::pending, io, net::SocketAddr, rc::Rc, time::Duration};

use bytes::{Bytes, BytesMut};
use dogwoodturn::{
    http::{
        body::{BodyDecoder, Step},
        connection::set_socket_options,
        head::{Framing, HeadError, RequestHead},
        tcp_info::TcpInfo,
    },
    limit::memory::Reservation,
    units::Time,
};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream, tcp::ReadHalf},
    task::yield_now,
    time::{sleep, timeout},
};

use crate::{
    forward::{self, Delivery, ResponseWriter},
    gateway::Gateway,
    links,
    peers::WORK_INTERVAL,
    request::{Arrival, LOCAL_WRITE_TIMEOUT, LocalResponse, Request},
    table::CallerLimits,
    tunnel,
};

/// Buffer space that is reserved before each read.
const READ_BUFFER_BYTES: usize = 8 * 1024;
/// Limit on bytes that are read ahead while a request is handled. A disconnect of the caller is no
/// longer detected once it is reached.
const MAX_READ_AHEAD_BYTES: usize = 64 * 1024;
/// Limit on concurrent connections of callers; the remaining file descriptors are for upstreams.
const MAX_CALLER_CONNECTIONS: i64 = 3000;
/// Memory that is reserved for a body of unknown length.
const CHUNKED_BODY_RESERVATION_BYTES: u64 = 64 * 1024;
/// Pause in accepting connections after an error such as a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Limit for receiving a body; callers give up sooner.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Accepts callers' connections until the process ends.
pub async fn accept(cx: Rc<Gateway>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) if cx.metrics.callers.get() < MAX_CALLER_CONNECTIONS => {
                let cx = cx.clone();
                actix_rt::spawn(async move {
                    let _counted = cx.count_caller();
                    // A connection that the caller breaks off is not logged.
                    let _ = serve(&cx, stream).await;
                });
            }
            Ok((_, caller)) => log::warn!(event = "too-many-callers", caller:%; ""),
            Err(error) => {
                log::warn!(event = "accept-failed", error:%; "accepting a connection failed; retrying");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Why a request could not be read.
enum ReadError {
    /// The caller has disconnected, or was idle for too long between requests.
    Disconnected,
    /// The request is malformed, too large or too slow, or its body exceeds the free memory; the
    /// caller receives this response.
    Refused(LocalResponse),
}

impl From<io::Error> for ReadError {
    fn from(_: io::Error) -> Self {
        Self::Disconnected
    }
}

impl From<HeadError> for ReadError {
    fn from(error: HeadError) -> Self {
        Self::Refused(match error {
            HeadError::TooLong => LocalResponse::malformed(431, "denied-long-head"),
            HeadError::Malformed(_)
            | HeadError::AmbiguousFraming
            | HeadError::UnknownCoding
            | HeadError::Host
            | HeadError::Target
            | HeadError::Status(_) => LocalResponse::malformed(400, "denied-malformed"),
        })
    }
}

async fn serve(cx: &Rc<Gateway>, mut stream: TcpStream) -> io::Result<()> {
    // No limit for a silent caller: its idle time and its request's deadline bound the connection.
    stream.set_nodelay(true)?;
    let mut buf = BytesMut::new();
    // The first request may have waited since before its connection was accepted.
    let mut idle_since = None;
    loop {
        let read = read_request(cx, &mut stream, &mut buf, idle_since).await;
        let _in_flight = cx.track_request();
        let (req, _reservation) = match read {
            Ok(read) => read,
            Err(ReadError::Disconnected) => return Ok(()),
            Err(ReadError::Refused(response)) => {
                log::info!(event = "refused", reason = response.reason, status = response.status(); "");
                cx.metrics.count_request("", response.reason);
                let bytes = response.encode(&cx.header_schema, "", false, false);
                write_local(&mut stream, &bytes).await?;
                return stream.shutdown().await;
            }
        };
        let keep_alive = req.head.keep_alive && !cx.is_draining();
        let (mut read_half, write_half) = stream.split();
        let is_head_sent = Cell::new(false);
        let mut out = ResponseWriter::new(write_half, &req, keep_alive, &is_head_sent);
        let delivery = tokio::select! {
            biased;
            // Polled first, so that nothing is sent to an upstream for a caller that has disconnected.
            cause = wait_for_disconnect(&mut read_half, &mut buf) => {
                log::info!(event = "caller-left", request:% = req.id, cause, ms = cx.now().since(req.arrived).as_millis() as u64; "");
                cx.metrics.count_request("", "caller-left");
                return Ok(());
            }
            delivery = forward::handle_request(cx, &req, &mut out) => Some(delivery),
            () = wait_for_last_response(cx, &is_head_sent) => None,
        };
        let delivery = if let Some(delivery) = delivery {
            delivery
        } else {
            let response = LocalResponse::interrupted(req.progress.get());
            log::info!(event = "request", request:% = req.id, outcome = response.reason, status = response.status(), ms = cx.now().since(req.arrived).as_millis() as u64; "");
            cx.metrics.count_request("", response.reason);
            out.write_local(cx, &req.id, &response).await
        };
        let keep_alive = out.keep_alive;
        if delivery == Delivery::Truncated && !req.head.accepts_chunks {
            // A shutdown would mark the end of the response; the connection resets when dropped.
            return Ok(());
        }
        if delivery == Delivery::Truncated || !keep_alive {
            return stream.shutdown().await;
        }
        idle_since = Some(cx.now());
    }
}

/// Writes bytes of the gateway's own to a caller within [`LOCAL_WRITE_TIMEOUT`].
async fn write_local(stream: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
    timeout(LOCAL_WRITE_TIMEOUT, stream.write_all(bytes)).await?
}

/// Returns shortly before the process ends, unless the response has begun by then.
async fn wait_for_last_response(cx: &Gateway, is_head_sent: &Cell<bool>) {
    cx.wait_for_last_responses().await;
    if is_head_sent.get() {
        pending::<()>().await;
    }
}

/// Returns once the caller's connection has ended, with the cause for logs; bytes that the caller sends
/// ahead are kept in `buf`.
async fn wait_for_disconnect(stream: &mut ReadHalf<'_>, buf: &mut BytesMut) -> &'static str {
    loop {
        if buf.len() >= MAX_READ_AHEAD_BYTES {
            return pending().await;
        }
        buf.reserve(READ_BUFFER_BYTES);
        match stream.read_buf(buf).await {
            Ok(0) => return "closed",
            Ok(_) => {}
            Err(error) if error.kind() == io::ErrorKind::TimedOut => return "unacknowledged",
            Err(_) => return "reset",
        }
    }
}

async fn read_request(
    cx: &Rc<Gateway>,
    stream: &mut TcpStream,
    buf: &mut BytesMut,
    idle_since: Option<Time>,
) -> Result<(Request, Reservation), ReadError> {
    if buf.is_empty() {
        // Frees the memory of an empty buffer while the caller is idle.
        *buf = BytesMut::new();
        wait_for_request(cx, stream, buf).await?;
    }
    let limits = caller_limits(cx);
    let now = cx.now();
    let lag = cx.loop_lag.get().waiting_time(now, WORK_INTERVAL);
    // The lag is no measure of the time in the queue of new connections, nor of many short turns.
    let in_socket = TcpInfo::read(stream).map(|info| info.since_received).unwrap_or_default();
    let waited = lag.max(in_socket);
    let arrived = now.ago(waited).max(idle_since.unwrap_or_default());
    if !lag.is_zero() {
        // Lets tasks with pending updates of upstreams run first.
        yield_now().await;
    }
    let head = timeout(limits.header_timeout, read_head(stream, buf, limits.header_bytes));
    let head = head
        .await
        .map_err(|_| ReadError::Refused(LocalResponse::malformed(408, "refused-slow-head")))??;
    if matches!(head.framing, Framing::Length(length) if length > limits.body_bytes as u64) {
        return Err(ReadError::Refused(LocalResponse::malformed(413, "denied-long-body")));
    }
    let expected = match head.framing {
        Framing::Length(length) => length,
        Framing::Chunked | Framing::UntilClose => CHUNKED_BODY_RESERVATION_BYTES,
    };
    let Some(reservation) =
        cx.request_memory.reserve(usize::try_from(expected).unwrap_or(usize::MAX))
    else {
        return Err(ReadError::Refused(LocalResponse::no_memory()));
    };
    if head.headers.has_token("expect", b"100-continue") {
        write_local(stream, b"HTTP/1.1 100 Continue\r\n\r\n").await?;
    }
    let body = timeout(BODY_TIMEOUT, read_body(stream, buf, head.framing, limits.body_bytes));
    let body = body
        .await
        .map_err(|_| ReadError::Refused(LocalResponse::malformed(408, "refused-slow-body")))??;
    let arrival = Arrival { arrived, unread: now.since(arrived), read: cx.now() };
    Ok((Request::new(&cx.header_schema, head, body, arrival), reservation))
}

/// Returns the limits in force, which a new table can change while a connection waits for a request.
fn caller_limits(cx: &Gateway) -> CallerLimits {
    cx.state.borrow().table.as_ref().map(|table| table.limits).unwrap_or_default()
}

/// Waits for the first bytes of a request, up to the idle time-out that is in force at the end of the
/// wait.
async fn wait_for_request(
    cx: &Gateway,
    stream: &TcpStream,
    buf: &mut BytesMut,
) -> Result<(), ReadError> {
    let idle_since = cx.now();
    loop {
        let left = (idle_since + caller_limits(cx).idle_timeout).since(cx.now());
        match timeout(left, read_first_bytes(cx, stream, buf)).await {
            Ok(read) => return read,
            Err(_) if left.is_zero() => return Err(ReadError::Disconnected),
            Err(_) => {}
        }
    }
}

/// Waits for the first bytes of a request without holding memory for them.
async fn read_first_bytes(
    cx: &Gateway,
    stream: &TcpStream,
    buf: &mut BytesMut,
) -> Result<(), ReadError> {
    loop {
        tokio::select! {
            biased;
            readable = stream.readable() => readable?,
            () = cx.closing_idle.notified() => return Err(ReadError::Disconnected),
        }
        // Readiness may be reported with nothing to read.
        buf.reserve(READ_BUFFER_BYTES);
        match stream.try_read_buf(buf) {
            Ok(0) => return Err(ReadError::Disconnected),
            Ok(_) => return Ok(()),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => *buf = BytesMut::new(),
            Err(error) => return Err(error.into()),
        }
    }
}

async fn read_head(
    stream: &mut TcpStream,
    buf: &mut BytesMut,
    max_bytes: usize,
) -> Result<RequestHead, ReadError> {
    loop {
        if !buf.is_empty()
            && let Some(head) = RequestHead::try_parse(buf, max_bytes)?
        {
            return Ok(head);
        }
        read_more(stream, buf).await?;
    }
}

async fn read_body(
    stream: &mut TcpStream,
    buf: &mut BytesMut,
    framing: Framing,
    max_bytes: usize,
) -> Result<Bytes, ReadError> {
    let mut decoder = BodyDecoder::new(framing);
    let mut body = BytesMut::new();
    loop {
        match decoder.step(buf) {
            Ok(Step::Data(data))
                if body.is_empty() && framing == Framing::Length(data.len() as u64) =>
            {
                return Ok(data);
            }
            Ok(Step::Data(data)) => body.extend_from_slice(&data),
            Ok(Step::End) => return Ok(body.freeze()),
            Ok(Step::NeedsMore) => read_more(stream, buf).await?,
            Err(_) => {
                return Err(ReadError::Refused(LocalResponse::malformed(400, "denied-malformed")));
            }
        }
        if body.len() > max_bytes {
            return Err(ReadError::Refused(LocalResponse::malformed(413, "denied-long-body")));
        }
    }
}

async fn read_more(stream: &mut TcpStream, buf: &mut BytesMut) -> Result<(), ReadError> {
    buf.reserve(READ_BUFFER_BYTES);
    match stream.read_buf(buf).await? {
        0 => Err(ReadError::Disconnected),
        _ => Ok(()),
    }
}

/// A response to a probe or an internal call.
#[derive(Clone, Debug)]
pub struct SimpleResponse {
    pub status: u16,
    pub body: Bytes,
}

/// Serves the internal calls of other gateways: documents and tunnels.
pub async fn accept_internal(cx: Rc<Gateway>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let cx = cx.clone();
                actix_rt::spawn(async move {
                    // An error is not logged; the other gateway handles it.
                    let _ = serve_internal(&cx, stream).await;
                });
            }
            Err(error) => {
                log::warn!(event = "accept-failed", error:%; "accepting a connection failed; retrying");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_internal(cx: &Rc<Gateway>, mut stream: TcpStream) -> io::Result<()> {
    set_socket_options(&stream)?;
    let mut buf = BytesMut::new();
    loop {
        let Some(head) = read_simple(&mut stream, &mut buf).await else { return Ok(()) };
        if let Some(id) = head.path().strip_prefix(tunnel::PATH) {
            return tunnel::serve(cx, stream, id).await;
        }
        let response = links::handle_request(cx, &head);
        write_simple(&mut stream, response).await?;
        if !head.keep_alive {
            return stream.shutdown().await;
        }
    }
}

/// Serves probes and calls for metrics, whose requests have no body.
pub async fn accept_simple(
    listener: TcpListener,
    handle: impl Fn(&RequestHead) -> SimpleResponse + Clone + 'static,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let handle = handle.clone();
                actix_rt::spawn(async move {
                    // An error is not logged; the client retries.
                    let _ = serve_simple(stream, handle).await;
                });
            }
            Err(error) => {
                log::warn!(event = "accept-failed", error:%; "accepting a connection failed; retrying");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_simple(
    mut stream: TcpStream,
    handle: impl Fn(&RequestHead) -> SimpleResponse,
) -> io::Result<()> {
    set_socket_options(&stream)?;
    let mut buf = BytesMut::new();
    loop {
        let Some(head) = read_simple(&mut stream, &mut buf).await else { return Ok(()) };
        write_simple(&mut stream, handle(&head)).await?;
        if !head.keep_alive {
            return stream.shutdown().await;
        }
    }
}

/// Reads the head of a request without a body. Returns `None` if there is none.
async fn read_simple(stream: &mut TcpStream, buf: &mut BytesMut) -> Option<RequestHead> {
    let limits = CallerLimits::default();
    timeout(limits.idle_timeout, read_head(stream, buf, limits.header_bytes)).await.ok()?.ok()
}

async fn write_simple(stream: &mut TcpStream, response: SimpleResponse) -> io::Result<()> {
    let phrase = crate::request::phrase(response.status);
    let text = format!(
        "HTTP/1.1 {} {phrase}\r\nContent-Length: {}\r\n\r\n",
        response.status,
        response.body.len()
    );
    let mut out = BytesMut::from(text.as_bytes());
    out.extend_from_slice(&response.body);
    stream.write_all(&out).await
}

pub async fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address).await
}
