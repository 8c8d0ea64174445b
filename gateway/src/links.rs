//! Datagrams between daemons, and internal HTTP calls for data that exceeds one datagram.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use dogwoodturn::{
    http::{connection::Connection, head::RequestHead},
    units::Time,
};
use indexmap::IndexMap;
use tokio::{net::UdpSocket, time::interval};

use crate::{
    gateway::{Gateway, wall_clock},
    hubs::{ALIVE_INTERVAL, HubMessage},
    link_budget::Charge,
    objects,
    peer_traffic::Direction,
    peers::{Datagram, MAX_RECIPIENTS, MESSAGE_INTERVAL, WORK_INTERVAL},
    replication::ReplicationUpdate,
    serve::SimpleResponse,
};

/// Interval between broadcasts of a hub while it has changes to pass on; changes tend to come in
/// quick succession.
const UPDATE_INTERVAL: Duration = Duration::from_millis(150);
const MAX_DATAGRAM_BYTES: usize = 60 * 1024;
/// Limit for fetching a document from a peer.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum length of a fetched document.
const MAX_FETCHED_BYTES: usize = 8 << 20;
/// Path of the table's document.
const TABLE_PATH: &[u8] = b"/table";
/// Path of this daemon's snapshot of the store's objects.
const OBJECTS_PATH: &[u8] = b"/objects";
const METRICS_PATH: &[u8] = b"/metrics";

pub fn handle_metrics_request(cx: &Gateway, head: &RequestHead) -> SimpleResponse {
    match head.path() {
        METRICS_PATH => SimpleResponse { status: 200, body: cx.metrics.text().into() },
        _ => SimpleResponse { status: 404, body: Bytes::new() },
    }
}

/// Handles an internal call for the table, the objects or the metrics.
pub fn handle_request(cx: &Gateway, head: &RequestHead) -> SimpleResponse {
    match head.path() {
        TABLE_PATH => match &cx.state.borrow().table {
            Some(table) => send_document(cx, table.document.clone()),
            None => SimpleResponse { status: 404, body: Bytes::new() },
        },
        OBJECTS_PATH => {
            if !cx.link_budget.borrow_mut().allows_document(cx.now()) {
                return SimpleResponse { status: 503, body: Bytes::new() };
            }
            let mut bytes = Vec::new();
            match ciborium::into_writer(&cx.state.borrow().views.snapshot(), &mut bytes) {
                Ok(()) => send_document(cx, bytes.into()),
                Err(error) => {
                    log::error!(event = "objects-not-encoded", error:%; "objects for a peer could not be encoded; responding with status 500");
                    SimpleResponse { status: 500, body: Bytes::new() }
                }
            }
        }
        _ => handle_metrics_request(cx, head),
    }
}

/// Returns a document for a peer, or status 503 while the link bears none: the peer tries again after a pause of
/// its own, and requests do not wait behind documents.
fn send_document(cx: &Gateway, body: Bytes) -> SimpleResponse {
    let is_allowed = cx.link_budget.borrow_mut().charge_document(cx.now(), body.len());
    let direction = if is_allowed { Direction::Sent } else { Direction::Unsent };
    cx.count_peer_messages(direction, "document", body.len(), 1);
    if is_allowed {
        SimpleResponse { status: 200, body }
    } else {
        SimpleResponse { status: 503, body: Bytes::new() }
    }
}

/// Sends this daemon's state and work to its peers periodically.
pub async fn broadcast(cx: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut ticks = interval(WORK_INTERVAL);
    let ticks_per_state = (MESSAGE_INTERVAL.as_millis() / WORK_INTERVAL.as_millis()) as u64;
    let (mut next_peer, mut tick_count, mut last_work) = (0, 0_u64, Vec::new());
    let mut last_urgent_work = None;
    let mut hub_schedule = HubSchedule::default();
    let mut hub_broadcast = HubBroadcast::default();
    loop {
        ticks.tick().await;
        tick_count += 1;
        let now = cx.now();
        let mut loop_lag = cx.loop_lag.get();
        if let Some(lag) = loop_lag.tick(now, WORK_INTERVAL) {
            log::warn!(event = "loop-lag", ms = lag.as_millis() as u64; "the process stood still or had no processor");
        }
        cx.loop_lag.set(loop_lag);
        let peers = cx.state.borrow().peer_table.addresses();
        if peers.is_empty() {
            continue;
        }
        broadcast_crash_evidence(&cx, &socket, &peers).await;
        broadcast_upstream_limits(&cx, &socket, &peers).await;
        broadcast_brittle_upstreams(&cx, &socket, &peers).await;
        broadcast_cold_upstreams(&cx, &socket, &peers).await;
        broadcast_leaving_upstreams(&cx, &socket, &peers).await;
        hub_broadcast.advance(&cx, &socket, &peers).await;
        let peer_at = |step| peers[(next_peer + step) % peers.len()];
        let mut recipients: Vec<_> = (0..peers.len().min(MAX_RECIPIENTS)).map(peer_at).collect();
        let datagram = if tick_count.is_multiple_of(ticks_per_state) {
            let hubs = hub_schedule.select_due(now, &cx.state.borrow().hubs.primary_addresses(now));
            let datagram = Datagram::State(Box::new(cx.message()));
            send(&cx, &socket, &datagram, Charge::HubReport, &hubs).await;
            recipients.retain(|recipient| !hubs.contains(recipient));
            datagram
        } else {
            let message = cx.work_message();
            // Before brittle upstreams, peers count on reports of a known age.
            let is_unchanged = message.work == last_work
                && message.urgent_work == last_urgent_work
                && message.paces.is_empty()
                && message.ramps.is_empty()
                && message.cold.is_empty();
            if is_unchanged && cx.state.borrow().brittle.is_empty() {
                continue;
            }
            last_work.clone_from(&message.work);
            last_urgent_work.clone_from(&message.urgent_work);
            Datagram::Work(message)
        };
        send(&cx, &socket, &datagram, Charge::Report, &recipients).await;
        next_peer = (next_peer + MAX_RECIPIENTS) % peers.len();
    }
}

/// The time of the last state message to each hub.
#[derive(Debug, Default)]
struct HubSchedule(IndexMap<SocketAddr, Time>);

impl HubSchedule {
    /// Returns the hubs whose interval has passed, and records that they receive a message now.
    fn select_due(&mut self, now: Time, hubs: &[(SocketAddr, Duration)]) -> Vec<SocketAddr> {
        self.0.retain(|address, _| hubs.iter().any(|(hub, _)| hub == address));
        // Ticks can be slightly late, and a message must not be delayed by a whole tick because of
        // that.
        let is_due =
            |last_sent: Time, period: Duration| now.since(last_sent) + WORK_INTERVAL > period;
        let mut selected = Vec::new();
        for (address, period) in hubs {
            let last_sent = self.0.entry(*address).or_default();
            if is_due(*last_sent, *period) {
                *last_sent = now;
                selected.push(*address);
            }
        }
        selected
    }
}

/// The broadcasts of a hub. A link that does not bear a message to all peers at once gets it in parts, each with
/// the present age of the hub's contact with the store.
#[derive(Debug, Default)]
struct HubBroadcast {
    began: Time,
    /// When a message to all peers last showed that the hub is alive.
    alive_sent: Time,
    message: Option<HubMessage>,
    /// The peers that have not been sent the message yet.
    remaining: usize,
    /// The peer that the next message goes to.
    next_peer: usize,
}

impl HubBroadcast {
    /// Begins a broadcast when its interval has passed, or earlier if there are changes to pass on, and sends
    /// as much of it as the link bears now.
    async fn advance(&mut self, cx: &Gateway, socket: &UdpSocket, peers: &[SocketAddr]) {
        let now = cx.now();
        if self.remaining == 0 && now.since(self.began) + WORK_INTERVAL > broadcast_period(cx) {
            self.message = cx.hub_message();
            if self.message.is_some() {
                cx.has_unsent_changes.set(false);
                (self.began, self.alive_sent) = (now, now);
                self.remaining = peers.len();
            }
        }
        if self.remaining == 0 {
            return;
        }
        let Some(message) =
            self.message.take().and_then(|last| cx.renew_hub_message(self.began, last))
        else {
            self.remaining = 0;
            return;
        };
        let peer_at = |step| peers[(self.next_peer + step) % peers.len()];
        let recipients: Vec<_> = (0..self.remaining.min(peers.len())).map(peer_at).collect();
        let datagram = Datagram::Hub(Box::new(message.clone()));
        let sent = send(cx, socket, &datagram, Charge::Broadcast, &recipients).await;
        self.next_peer = (self.next_peer + sent) % peers.len();
        self.remaining = recipients.len() - sent;
        if self.remaining > 0 && now.since(self.alive_sent) >= ALIVE_INTERVAL {
            self.alive_sent = now;
            let brief = Datagram::Hub(Box::new(cx.brief_hub_message(&message)));
            send(cx, socket, &brief, Charge::HubReport, peers).await;
        }
        self.message = Some(message);
    }
}

/// Returns the interval of a hub's broadcasts, which is shorter while there are changes to pass on.
fn broadcast_period(cx: &Gateway) -> Duration {
    if cx.has_unsent_changes.get() {
        return UPDATE_INTERVAL;
    }
    let state = cx.state.borrow();
    state.hubs.broadcast_interval(state.peer_table.size())
}

/// Broadcasts this daemon's crash evidence if there is news, since each crash that peers do not know of costs
/// another upstream.
async fn broadcast_crash_evidence(cx: &Gateway, socket: &UdpSocket, peers: &[SocketAddr]) {
    let report = {
        let mut state = cx.state.borrow_mut();
        if !state.crash_evidence.take_news() {
            return;
        }
        state.crash_evidence.report(cx.now())
    };
    let datagram = Datagram::CrashEvidence(report.into());
    send(cx, socket, &datagram, Charge::Evidence, peers).await;
}

/// Broadcasts the limits that upstreams name if one has changed.
async fn broadcast_upstream_limits(cx: &Gateway, socket: &UdpSocket, peers: &[SocketAddr]) {
    let reports = {
        let mut state = cx.state.borrow_mut();
        if !state.upstream_limits.take_news() {
            return;
        }
        state.upstream_limits.reports(cx.now())
    };
    let datagram = Datagram::UpstreamLimits(reports.into_iter().map(Into::into).collect());
    send(cx, socket, &datagram, Charge::Evidence, peers).await;
}

/// Broadcasts what is new of brittle upstreams. A rejection that peers do not know of costs another one.
async fn broadcast_brittle_upstreams(cx: &Gateway, socket: &UdpSocket, peers: &[SocketAddr]) {
    let reports = {
        let mut state = cx.state.borrow_mut();
        if !state.brittle.take_news() {
            return;
        }
        state.brittle.reports(cx.now())
    };
    let reports = reports.into_iter().map(Into::into).collect();
    let datagram = Datagram::Brittle(cx.settings().name.clone(), reports);
    send(cx, socket, &datagram, Charge::Evidence, peers).await;
}

/// Broadcasts this daemon's work if it has seen an upstream refuse connections or crash that may come back cold.
async fn broadcast_cold_upstreams(cx: &Gateway, socket: &UdpSocket, peers: &[SocketAddr]) {
    if cx.state.borrow_mut().warm_ups.take_news() {
        let datagram = Datagram::Work(cx.work_message());
        send(cx, socket, &datagram, Charge::Evidence, peers).await;
    }
}

/// Broadcasts which upstreams say in their responses that they leave, unless a peer has broadcast it. Peers may be
/// out of contact with the store.
async fn broadcast_leaving_upstreams(cx: &Gateway, socket: &UdpSocket, peers: &[SocketAddr]) {
    let news = cx.state.borrow_mut().directory.take_leaving_news();
    if !news.is_empty() {
        send(cx, socket, &Datagram::Leaving(news), Charge::Evidence, peers).await;
    }
}

/// Sends a message to as many of the recipients as the link's budget allows, the first ones first, and returns
/// their number.
async fn send(
    cx: &Gateway,
    socket: &UdpSocket,
    datagram: &Datagram,
    charge: Charge,
    recipients: &[SocketAddr],
) -> usize {
    let mut bytes = Vec::with_capacity(2048);
    if let Err(error) = ciborium::into_writer(datagram, &mut bytes) {
        log::error!(event = "message-not-encoded", error:%; "message to peers could not be encoded and is dropped");
        return recipients.len();
    }
    let length = bytes.len();
    let sent = cx.link_budget.borrow_mut().charge(cx.now(), charge, length, recipients.len());
    cx.count_peer_messages(Direction::Sent, datagram.kind(), length, sent);
    if sent < recipients.len() && charge != Charge::Broadcast {
        cx.count_peer_messages(Direction::Unsent, datagram.kind(), length, recipients.len() - sent);
    }
    for peer in &recipients[..sent] {
        if let Err(error) = socket.send_to(&bytes, peer).await {
            log::debug!(event = "message-not-sent", peer:%, error:%; "");
        }
    }
    sent
}

/// Receives the peers' messages and applies them.
pub async fn receive(cx: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut datagram = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (length, from) = match socket.recv_from(&mut datagram).await {
            Ok(received) => received,
            Err(error) => {
                log::warn!(event = "receive-failed", error:%; "receiving from peers failed; retrying");
                tokio::time::sleep(WORK_INTERVAL).await;
                continue;
            }
        };
        let decoded = ciborium::from_reader::<Datagram, _>(&datagram[..length]);
        let kind = decoded.as_ref().map_or("malformed", Datagram::kind);
        cx.count_peer_messages(Direction::Received, kind, length, 1);
        match decoded {
            Ok(Datagram::State(message)) => {
                cx.peer_traffic.borrow_mut().record_age(wall_clock(), message.wall);
                cx.check_era(message.store_era);
                if message.is_draining {
                    // Its process waits for tunnels to be closed.
                    cx.pool.borrow_mut().retain(|connection| connection.via != Some(from));
                }
                cx.state.borrow_mut().receive_message(cx.now(), from, *message);
            }
            Ok(Datagram::Hub(message)) => objects::receive_hub_message(&cx, from, *message),
            Ok(Datagram::Work(message)) => {
                cx.state.borrow_mut().receive_work(cx.now(), from, message);
            }
            Ok(Datagram::UpstreamLimits(reports)) => {
                let reports = reports.into_iter().map(Into::into);
                cx.state.borrow_mut().upstream_limits.merge(cx.now(), reports);
            }
            Ok(Datagram::Brittle(daemon, reports)) => {
                let reports = reports.into_iter().map(Into::into);
                cx.state.borrow_mut().brittle.merge(cx.now(), &daemon, reports);
            }
            Ok(Datagram::CrashEvidence(report)) => {
                cx.state.borrow_mut().crash_evidence.merge(cx.now(), report.into());
            }
            Ok(Datagram::Leaving(starts)) => {
                cx.state.borrow_mut().receive_leaving_statements(cx.now(), &starts);
            }
            Err(error) => {
                cx.metrics.malformed_messages.inc();
                log::warn!(event = "malformed-message", from:%, error:%; "message of a peer could not be decoded and is dropped");
            }
        }
    }
}

/// Fetches the document of a peer's current table.
pub async fn fetch_table(peer: SocketAddr) -> io::Result<Bytes> {
    fetch(peer, TABLE_PATH).await
}

/// Fetches a peer's snapshot of the store's objects.
pub async fn fetch_objects(peer: SocketAddr) -> io::Result<Vec<ReplicationUpdate>> {
    let bytes = fetch(peer, OBJECTS_PATH).await?;
    ciborium::from_reader(&bytes[..]).map_err(io::Error::other)
}

async fn fetch(peer: SocketAddr, path: &[u8]) -> io::Result<Bytes> {
    let fetch = async {
        let mut connection = Connection::open(peer, FETCH_TIMEOUT).await?;
        let request =
            [b"GET ", path, b" HTTP/1.1\r\nHost: peer\r\nConnection: close\r\n\r\n"].concat();
        connection.write(&request).await?;
        let head = connection.read_head(false).await?;
        if head.status != 200 {
            return Err(io::Error::other(format!(
                "the peer responded with status {}",
                head.status
            )));
        }
        connection.read_full_body(&head, MAX_FETCHED_BYTES).await
    };
    Ok(tokio::time::timeout(FETCH_TIMEOUT, fetch).await??.freeze())
}
