//! Links to other daemons: websockets with CBOR packets, authenticated at both ends.
//!
//! All links run on the control thread. Whatever is malformed, too large, of another version or
//! unauthenticated is counted and closes its link, and nothing else. See
//! `docs/design/membership.md`.

use std::{
    cell::Cell,
    io,
    net::SocketAddr,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use dogwoodturn::{
    declaration::wire::{self, WireError},
    peer::{
        Member,
        handshake::{Handshake, HandshakeError, Side},
        links::LinkId,
        message::{Packet, PacketWire},
        peers::{LinkEffect, LinkEvent},
    },
};
use futures_util::{
    SinkExt as _, StreamExt as _,
    stream::{SplitSink, SplitStream},
};
use indexmap::IndexMap;
use thiserror::Error;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, mpsc},
    task::JoinHandle,
    time::timeout,
};
use tokio_tungstenite::{
    WebSocketStream, accept_async_with_config, client_async_with_config,
    tungstenite::{Error as WsError, Message, protocol::WebSocketConfig},
};

/// The largest packet, in bytes; a part of a snapshot fits.
pub const MAX_PACKET_BYTES: usize = 1 << 20;
/// How long a link may take from the connection to the last proof.
const OPEN_TIMEOUT: Duration = Duration::from_secs(3);
/// How long one packet may take to be written.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// How many connections may be in the handshake at once.
const MAX_HANDSHAKES: usize = 16;
/// How many bytes may wait at a link before statistics are dropped.
const SOFT_QUEUE_BYTES: usize = 256 << 10;
/// How many bytes may wait at a link before it is closed.
const HARD_QUEUE_BYTES: usize = 4 << 20;
/// How many link events may wait for the control state before links are read no further.
pub const EVENT_QUEUE: usize = 256;
/// How long a daemon that stops waits until what it sent is written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);
/// How often a daemon that stops looks whether what it sent is written.
const FLUSH_POLL: Duration = Duration::from_millis(2);
/// How long to wait after an accept that failed, as when descriptors run out.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);

/// Says why a link ended.
#[derive(Debug, Error)]
enum LinkError {
    #[error("cannot connect: {0}")]
    Connect(#[from] io::Error),
    #[error("websocket: {0}")]
    Socket(#[from] Box<WsError>),
    #[error("the link was not open in time")]
    Timeout,
    #[error("the other end closed the link")]
    Closed,
    #[error("{0}")]
    Handshake(#[from] HandshakeError),
    #[error("the packet is no packet: {0}")]
    Packet(#[from] WireError),
}

impl From<WsError> for LinkError {
    fn from(error: WsError) -> Self {
        Self::Socket(Box::new(error))
    }
}

/// Counts what has crossed the links of one daemon, and what was refused.
#[derive(Debug, Default)]
pub struct PeerCounters {
    /// The bytes of packets that were sent, without the headers of websocket, TCP and IP.
    pub bytes_sent: AtomicU64,
    /// The packets that were sent.
    pub packets_sent: AtomicU64,
    /// The bytes of packets that were received.
    pub bytes_received: AtomicU64,
    /// The packets that were received.
    pub packets_received: AtomicU64,
    /// The links refused as the other end did not hold the key.
    pub unauthenticated: AtomicU64,
    /// The links refused as the other end speaks another version.
    pub other_version: AtomicU64,
    /// The links closed on a frame that was malformed.
    pub malformed: AtomicU64,
    /// The links closed on a frame that was too large.
    pub too_large: AtomicU64,
    /// The statistics dropped as a link was too slow.
    pub dropped: AtomicU64,
    /// The links closed as they were too slow.
    pub too_slow: AtomicU64,
}

impl PeerCounters {
    fn count_refusal(&self, error: &LinkError) {
        let counter = match error {
            LinkError::Handshake(HandshakeError::Unauthenticated) => &self.unauthenticated,
            LinkError::Handshake(HandshakeError::Version(_)) => &self.other_version,
            LinkError::Handshake(HandshakeError::Malformed(_)) | LinkError::Packet(_) => {
                &self.malformed
            }
            LinkError::Socket(error) => match **error {
                WsError::Capacity(_) => &self.too_large,
                WsError::Protocol(_) | WsError::Utf8(_) | WsError::Http(_) => &self.malformed,
                _ => return,
            },
            LinkError::Connect(_) | LinkError::Timeout | LinkError::Closed => return,
        };
        add(counter, 1);
    }
}

fn add(counter: &AtomicU64, count: usize) {
    counter.fetch_add(count as u64, Ordering::Relaxed);
}

type Socket = WebSocketStream<TcpStream>;

/// What all tasks of the adapter share.
#[derive(Clone)]
struct Shared {
    own: Member,
    key: [u8; 32],
    events: mpsc::Sender<LinkEvent>,
    opened: mpsc::UnboundedSender<(LinkId, Opened)>,
    counters: Arc<PeerCounters>,
}

struct Opened {
    member: Member,
    socket: Socket,
}

/// The open links.
pub struct PeerLinks {
    shared: Shared,
    links: IndexMap<LinkId, Handle>,
    sockets: mpsc::UnboundedReceiver<(LinkId, Opened)>,
}

struct Handle {
    packets: mpsc::UnboundedSender<Vec<u8>>,
    queued: Rc<Cell<usize>>,
    reader: JoinHandle<()>,
}

impl Drop for Handle {
    fn drop(&mut self) {
        // The writer ends by itself, once it has written what it holds.
        self.reader.abort();
    }
}

impl PeerLinks {
    /// Makes the adapter of a daemon, which accepts links from `listener`.
    pub fn start(
        own: Member,
        key: [u8; 32],
        listener: std::net::TcpListener,
        events: mpsc::Sender<LinkEvent>,
        counters: Arc<PeerCounters>,
    ) -> io::Result<Self> {
        listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(listener)?;
        let (opened, sockets) = mpsc::unbounded_channel();
        let shared = Shared { own, key, events, opened, counters };
        actix_rt::spawn(accept(listener, shared.clone()));
        Ok(Self { shared, links: IndexMap::new(), sockets })
    }

    /// Waits for a link that is open and returns the event that tells of it.
    pub async fn next_opened(&mut self) -> LinkEvent {
        loop {
            // The adapter itself holds a sender, so that the channel stays open.
            if let Some((id, opened)) = self.sockets.recv().await {
                let handle = run(id, opened.socket, &self.shared);
                self.links.insert(id, handle);
                return LinkEvent::Opened(id, opened.member);
            }
        }
    }

    /// Carries out an effect of the peer slice.
    pub fn carry_out(&mut self, effect: LinkEffect) {
        match effect {
            LinkEffect::Dial(id, address) => {
                actix_rt::spawn(dial(id, address, self.shared.clone()));
            }
            LinkEffect::Send(id, packet) => self.send(id, packet),
            LinkEffect::Close(id) => {
                self.links.swap_remove(&id);
            }
        }
    }

    /// Waits until what was sent is written, for a short time at most.
    pub async fn flush(&self) {
        let written = async {
            while self.links.values().any(|link| link.queued.get() > 0) {
                tokio::time::sleep(FLUSH_POLL).await;
            }
        };
        // What a peer does not take in time it learns from others, or by missing heartbeats.
        let _ = timeout(FLUSH_TIMEOUT, written).await;
    }

    fn send(&mut self, id: LinkId, mut packet: Packet) {
        let Some(link) = self.links.get(&id) else { return };
        if link.queued.get() > SOFT_QUEUE_BYTES {
            let before = packet.0.len();
            packet.0.retain(|frame| !frame.droppable());
            add(&self.shared.counters.dropped, before - packet.0.len());
            if packet.0.is_empty() {
                return;
            }
        }
        let encoded = wire::encode(&PacketWire::from(packet));
        if encoded.len() > MAX_PACKET_BYTES {
            log::error!(event = "packet-too-large", bytes = encoded.len(); "");
            return;
        }
        if link.queued.get() + encoded.len() > HARD_QUEUE_BYTES {
            add(&self.shared.counters.too_slow, 1);
            log::warn!(event = "link-too-slow", link:% = id; "");
            self.links.swap_remove(&id);
            self.tell_closed(id);
            return;
        }
        link.queued.set(link.queued.get() + encoded.len());
        // The writer is gone only when the link is closed, which is told by the reader.
        let _ = link.packets.send(encoded);
    }

    /// Tells the slice of a closed link without waiting for room in the queue of events.
    fn tell_closed(&self, id: LinkId) {
        let events = self.shared.events.clone();
        actix_rt::spawn(async move {
            let _ = events.send(LinkEvent::Closed(id)).await;
        });
    }
}

fn socket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_PACKET_BYTES))
        .max_frame_size(Some(MAX_PACKET_BYTES))
}

async fn accept(listener: TcpListener, shared: Shared) {
    let handshakes = Arc::new(Semaphore::new(MAX_HANDSHAKES));
    let mut accepted = 0;
    loop {
        let Ok((stream, address)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY).await;
            continue;
        };
        let Ok(permit) = handshakes.clone().try_acquire_owned() else { continue };
        accepted += 1;
        let id = LinkId::Accepted(accepted);
        let shared = shared.clone();
        actix_rt::spawn(async move {
            let opening = open_accepted(stream, &shared);
            match timeout(OPEN_TIMEOUT, opening).await.unwrap_or(Err(LinkError::Timeout)) {
                Ok(opened) => {
                    // The receiver is gone only when the thread ends.
                    let _ = shared.opened.send((id, opened));
                }
                Err(error) => refused(&shared, address, &error),
            }
            drop(permit);
        });
    }
}

async fn dial(id: LinkId, address: SocketAddr, shared: Shared) {
    let opening = open_dialled(address, &shared);
    match timeout(OPEN_TIMEOUT, opening).await.unwrap_or(Err(LinkError::Timeout)) {
        Ok(opened) => {
            let _ = shared.opened.send((id, opened));
        }
        Err(error) => {
            refused(&shared, address, &error);
            let _ = shared.events.send(LinkEvent::Closed(id)).await;
        }
    }
}

fn refused(shared: &Shared, address: SocketAddr, error: &LinkError) {
    shared.counters.count_refusal(error);
    match error {
        LinkError::Handshake(_) => {
            log::warn!(event = "peer-refused", address:%, error:%; "");
        }
        _ => log::debug!(event = "link-not-opened", address:%, error:%; ""),
    }
}

async fn open_accepted(stream: TcpStream, shared: &Shared) -> Result<Opened, LinkError> {
    stream.set_nodelay(true)?;
    let mut socket = accept_async_with_config(stream, Some(socket_config())).await?;
    let nonce = rand::random();
    let (mut handshake, hello) =
        Handshake::begin(Side::Acceptor, shared.key, shared.own.clone(), nonce);
    let (member, proof) = handshake.hello(&receive(&mut socket).await?)?;
    socket.send(Message::binary(hello)).await?;
    handshake.proof(&receive(&mut socket).await?)?;
    socket.send(Message::binary(proof)).await?;
    Ok(Opened { member, socket })
}

async fn open_dialled(address: SocketAddr, shared: &Shared) -> Result<Opened, LinkError> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let url = format!("ws://{address}/peer");
    let (mut socket, _) = client_async_with_config(url, stream, Some(socket_config())).await?;
    let nonce = rand::random();
    let (mut handshake, hello) =
        Handshake::begin(Side::Dialler, shared.key, shared.own.clone(), nonce);
    socket.send(Message::binary(hello)).await?;
    let (member, proof) = handshake.hello(&receive(&mut socket).await?)?;
    socket.send(Message::binary(proof)).await?;
    handshake.proof(&receive(&mut socket).await?)?;
    Ok(Opened { member, socket })
}

async fn receive(socket: &mut Socket) -> Result<Bytes, LinkError> {
    match socket.next().await {
        Some(Ok(Message::Binary(bytes))) => Ok(bytes),
        Some(Err(error)) => Err(error.into()),
        Some(Ok(_)) | None => Err(LinkError::Closed),
    }
}

/// Starts the reader and the writer of an open link.
fn run(id: LinkId, socket: Socket, shared: &Shared) -> Handle {
    let (sink, stream) = socket.split();
    let (packets, received) = mpsc::unbounded_channel();
    let queued = Rc::new(Cell::new(0));
    let writer = actix_rt::spawn(write(sink, received, queued.clone(), shared.counters.clone()));
    let shared = shared.clone();
    let reader = actix_rt::spawn(async move {
        let error = tokio::select! {
            error = read(id, stream, &shared) => error,
            _ = writer => LinkError::Closed,
        };
        shared.counters.count_refusal(&error);
        log::info!(event = "link-closed", link:% = id, reason:% = error; "");
        let _ = shared.events.send(LinkEvent::Closed(id)).await;
    });
    Handle { packets, queued, reader }
}

/// Reads packets until the link ends, and returns why it did.
async fn read(id: LinkId, mut stream: SplitStream<Socket>, shared: &Shared) -> LinkError {
    loop {
        let bytes = match stream.next().await {
            Some(Ok(Message::Binary(bytes))) => bytes,
            Some(Ok(Message::Ping(_) | Message::Pong(_))) => continue,
            Some(Ok(_)) | None => return LinkError::Closed,
            Some(Err(error)) => return error.into(),
        };
        add(&shared.counters.bytes_received, bytes.len());
        add(&shared.counters.packets_received, 1);
        let packet = match wire::decode::<PacketWire>(&bytes).and_then(TryInto::try_into) {
            Ok(packet) => packet,
            Err(error) => return error.into(),
        };
        if shared.events.send(LinkEvent::Received(id, packet)).await.is_err() {
            return LinkError::Closed;
        }
    }
}

/// Writes packets until the link is closed; a peer that takes none for too long is cut off.
async fn write(
    mut sink: SplitSink<Socket, Message>,
    mut packets: mpsc::UnboundedReceiver<Vec<u8>>,
    queued: Rc<Cell<usize>>,
    counters: Arc<PeerCounters>,
) {
    while let Some(packet) = packets.recv().await {
        let bytes = packet.len();
        let written = timeout(WRITE_TIMEOUT, sink.send(Message::binary(packet))).await;
        match written {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return,
            Err(_) => return add(&counters.too_slow, 1),
        }
        queued.set(queued.get() - bytes);
        add(&counters.bytes_sent, bytes);
        add(&counters.packets_sent, 1);
    }
    let _ = timeout(WRITE_TIMEOUT, sink.close()).await;
}
