//! Links to other daemons: websockets with CBOR packets, authenticated at both ends.
//!
//! All links run on the control thread. A peer that sends malformed or too large data, speaks
//! another version or is not authenticated is counted, and only its link is closed. See
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
    edge::tunnel::{self, Identity},
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

/// The largest size of a packet; it must be enough for one part of a snapshot.
pub const MAX_PACKET_BYTES: usize = 1 << 20;
/// The time limit for opening a link, from connecting to the last proof of the handshake.
const OPEN_TIMEOUT: Duration = Duration::from_secs(3);
/// The time limit for writing one packet; a link that exceeds it is closed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// The largest number of accepted connections whose handshake is in progress at once; further
/// connections are dropped.
const MAX_HANDSHAKES: usize = 16;
/// When more bytes than this are queued at a link, statistics are dropped.
const SOFT_QUEUE_BYTES: usize = 256 << 10;
/// A link is closed when its queue would exceed this size.
const HARD_QUEUE_BYTES: usize = 4 << 20;
/// The number of link events that may be queued for the control state. When the queue is full, no
/// more packets are read from the links.
pub const EVENT_QUEUE_CAPACITY: usize = 256;
/// How long a daemon that stops waits for its queued packets to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);
/// How often a daemon that stops checks whether its queued packets are written.
const FLUSH_POLL: Duration = Duration::from_millis(2);
/// The delay after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);

/// The reason why a link was not opened or was closed.
#[derive(Debug, Error)]
enum LinkError {
    #[error("cannot connect: {0}")]
    Connect(#[from] io::Error),
    #[error("websocket: {0}")]
    Socket(#[from] Box<WsError>),
    #[error("the link was not opened within the time limit")]
    Timeout,
    #[error("the peer closed the link")]
    Closed,
    #[error("{0}")]
    Handshake(#[from] HandshakeError),
    #[error("malformed packet: {0}")]
    Packet(#[from] WireError),
}

impl From<WsError> for LinkError {
    fn from(error: WsError) -> Self {
        Self::Socket(Box::new(error))
    }
}

/// Totals of the packets sent and received over the links of one daemon, and of refused or closed
/// links.
#[derive(Debug, Default)]
pub struct PeerCounters {
    /// Bytes of packets sent, without the headers of websocket, TCP and IP.
    pub bytes_sent: AtomicU64,
    pub packets_sent: AtomicU64,
    /// Bytes of packets received, without the headers of websocket, TCP and IP.
    pub bytes_received: AtomicU64,
    pub packets_received: AtomicU64,
    /// Links refused because the peer did not have the key.
    pub unauthenticated: AtomicU64,
    /// Links refused because the peer speaks another version.
    pub other_version: AtomicU64,
    /// Links refused or closed because of malformed data.
    pub malformed: AtomicU64,
    /// Links closed because a frame was too large.
    pub too_large: AtomicU64,
    /// Frames of statistics dropped because a link was too slow.
    pub dropped: AtomicU64,
    /// Links closed because they were too slow.
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

/// The state that all link tasks share.
#[derive(Clone)]
struct Shared {
    identity: Identity,
    /// Connections that request tunnels.
    tunnels: mpsc::UnboundedSender<std::net::TcpStream>,
    events: mpsc::Sender<LinkEvent>,
    link_sender: mpsc::UnboundedSender<(LinkId, OpenLink)>,
    counters: Arc<PeerCounters>,
}

struct OpenLink {
    member: Member,
    socket: Socket,
}

/// The open links to other daemons.
pub struct PeerLinks {
    shared: Shared,
    links: IndexMap<LinkId, LinkHandle>,
    link_receiver: mpsc::UnboundedReceiver<(LinkId, OpenLink)>,
}

struct LinkHandle {
    packets: mpsc::UnboundedSender<Vec<u8>>,
    queued_bytes: Rc<Cell<usize>>,
    reader: JoinHandle<()>,
}

impl Drop for LinkHandle {
    fn drop(&mut self) {
        // The writer ends by itself once it has written its queued packets.
        self.reader.abort();
    }
}

impl PeerLinks {
    /// Starts to accept links from `listener`.
    pub fn start(
        identity: Identity,
        listener: std::net::TcpListener,
        tunnels: mpsc::UnboundedSender<std::net::TcpStream>,
        events: mpsc::Sender<LinkEvent>,
        counters: Arc<PeerCounters>,
    ) -> io::Result<Self> {
        listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(listener)?;
        let (link_sender, link_receiver) = mpsc::unbounded_channel();
        let shared = Shared { identity, tunnels, events, link_sender, counters };
        actix_rt::spawn(accept(listener, shared.clone()));
        Ok(Self { shared, links: IndexMap::new(), link_receiver })
    }

    /// Waits until the next link is open, starts its tasks and returns the event for it.
    pub async fn next_opened_link(&mut self) -> LinkEvent {
        loop {
            // `shared` holds a sender, so the channel stays open.
            if let Some((id, open_link)) = self.link_receiver.recv().await {
                let handle = spawn_link_tasks(id, open_link.socket, &self.shared);
                self.links.insert(id, handle);
                return LinkEvent::Opened(id, open_link.member);
            }
        }
    }

    /// Executes an effect that the peer state machine requested.
    pub fn execute(&mut self, effect: LinkEffect) {
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

    /// Waits until the queued packets are written, for `FLUSH_TIMEOUT` at most.
    pub async fn flush(&self) {
        let written = async {
            while self.links.values().any(|link| link.queued_bytes.get() > 0) {
                tokio::time::sleep(FLUSH_POLL).await;
            }
        };
        // A peer that does not receive a packet in time gets the information from other peers, or
        // detects the missing heartbeats.
        let _ = timeout(FLUSH_TIMEOUT, written).await;
    }

    fn send(&mut self, id: LinkId, mut packet: Packet) {
        let Some(link) = self.links.get(&id) else { return };
        if link.queued_bytes.get() > SOFT_QUEUE_BYTES {
            let count_before = packet.0.len();
            packet.0.retain(|frame| !frame.droppable());
            add(&self.shared.counters.dropped, count_before - packet.0.len());
            if packet.0.is_empty() {
                return;
            }
        }
        let encoded = wire::encode(&PacketWire::from(packet));
        if encoded.len() > MAX_PACKET_BYTES {
            log::error!(
                event = "packet-too-large",
                bytes = encoded.len();
                "packet exceeds the size limit and is not sent"
            );
            return;
        }
        if link.queued_bytes.get() + encoded.len() > HARD_QUEUE_BYTES {
            add(&self.shared.counters.too_slow, 1);
            log::warn!(
                event = "link-too-slow",
                link:% = id;
                "send queue exceeds its limit; link closed"
            );
            self.links.swap_remove(&id);
            self.send_closed_event(id);
            return;
        }
        link.queued_bytes.set(link.queued_bytes.get() + encoded.len());
        // The writer has ended only if the link is closed; the reader task then sends the event.
        let _ = link.packets.send(encoded);
    }

    /// Sends the event for a closed link from a task, so that the caller does not wait for room in
    /// the event queue.
    fn send_closed_event(&self, id: LinkId) {
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
                Ok(None) => {}
                Ok(Some(open_link)) => {
                    // The receiver is dropped only when the thread ends.
                    let _ = shared.link_sender.send((id, open_link));
                }
                Err(error) => record_refusal(&shared, address, &error),
            }
            drop(permit);
        });
    }
}

async fn dial(id: LinkId, address: SocketAddr, shared: Shared) {
    let opening = open_dialled(address, &shared);
    match timeout(OPEN_TIMEOUT, opening).await.unwrap_or(Err(LinkError::Timeout)) {
        Ok(open_link) => {
            let _ = shared.link_sender.send((id, open_link));
        }
        Err(error) => {
            record_refusal(&shared, address, &error);
            let _ = shared.events.send(LinkEvent::Closed(id)).await;
        }
    }
}

fn record_refusal(shared: &Shared, address: SocketAddr, error: &LinkError) {
    shared.counters.count_refusal(error);
    match error {
        LinkError::Handshake(_) => {
            log::warn!(
                event = "peer-refused",
                address:%,
                error:%;
                "handshake failed; link not opened"
            );
        }
        _ => log::debug!(event = "link-not-opened", address:%, error:%; ""),
    }
}

/// Opens a link on an accepted connection; returns `None` if it requests a tunnel, and passes it on.
async fn open_accepted(stream: TcpStream, shared: &Shared) -> Result<Option<OpenLink>, LinkError> {
    stream.set_nodelay(true)?;
    if tunnel::is_requested(&stream).await? {
        // The receiver is dropped only when the daemon ends.
        let _ = shared.tunnels.send(stream.into_std()?);
        return Ok(None);
    }
    let mut socket = accept_async_with_config(stream, Some(socket_config())).await?;
    let nonce = rand::random();
    let (mut handshake, hello) =
        Handshake::begin(Side::Acceptor, shared.identity.key, shared.identity.own.clone(), nonce);
    let (member, proof) = handshake.hello(&receive(&mut socket).await?)?;
    socket.send(Message::binary(hello)).await?;
    handshake.proof(&receive(&mut socket).await?)?;
    socket.send(Message::binary(proof)).await?;
    Ok(Some(OpenLink { member, socket }))
}

async fn open_dialled(address: SocketAddr, shared: &Shared) -> Result<OpenLink, LinkError> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let url = format!("ws://{address}/peer");
    let (mut socket, _) = client_async_with_config(url, stream, Some(socket_config())).await?;
    let nonce = rand::random();
    let (mut handshake, hello) =
        Handshake::begin(Side::Dialler, shared.identity.key, shared.identity.own.clone(), nonce);
    socket.send(Message::binary(hello)).await?;
    let (member, proof) = handshake.hello(&receive(&mut socket).await?)?;
    socket.send(Message::binary(proof)).await?;
    handshake.proof(&receive(&mut socket).await?)?;
    Ok(OpenLink { member, socket })
}

async fn receive(socket: &mut Socket) -> Result<Bytes, LinkError> {
    match socket.next().await {
        Some(Ok(Message::Binary(bytes))) => Ok(bytes),
        Some(Err(error)) => Err(error.into()),
        Some(Ok(_)) | None => Err(LinkError::Closed),
    }
}

/// Starts the reader task and the writer task of an open link.
fn spawn_link_tasks(id: LinkId, socket: Socket, shared: &Shared) -> LinkHandle {
    let (sink, stream) = socket.split();
    let (packets, packet_receiver) = mpsc::unbounded_channel();
    let queued_bytes = Rc::new(Cell::new(0));
    let writer = actix_rt::spawn(write(
        sink,
        packet_receiver,
        queued_bytes.clone(),
        shared.counters.clone(),
    ));
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
    LinkHandle { packets, queued_bytes, reader }
}

/// Reads packets until the link ends, and returns the reason for its end.
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

/// Writes packets until the link is closed. Ends when one write exceeds `WRITE_TIMEOUT`, which
/// closes the link.
async fn write(
    mut sink: SplitSink<Socket, Message>,
    mut packets: mpsc::UnboundedReceiver<Vec<u8>>,
    queued_bytes: Rc<Cell<usize>>,
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
        queued_bytes.set(queued_bytes.get() - bytes);
        add(&counters.bytes_sent, bytes);
        add(&counters.packets_sent, 1);
    }
    let _ = timeout(WRITE_TIMEOUT, sink.close()).await;
}
