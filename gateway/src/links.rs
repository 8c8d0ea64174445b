//! Datagrams between daemons, and the internal calls that carry what is too long for one.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use tokio::{net::UdpSocket, time::interval};

use crate::{
    gateway::Gateway,
    http::{connection::Connection, head::RequestHead},
    mesh::{Datagram, MAX_TOLD, TELL_EVERY},
    serve::Short,
};

/// How often each daemon tells its peers its work; prompts take about as long to be read.
const TELL_WORK_EVERY: Duration = Duration::from_millis(50);
/// The longest datagram.
const MAX_DATAGRAM: usize = 60 * 1024;
/// How long fetching a table from a peer may take.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);
/// The longest table document.
const MAX_TABLE: usize = 4 << 20;
/// The path of the table in force.
const TABLE_PATH: &[u8] = b"/table";
/// The path of the metrics.
const METRICS_PATH: &[u8] = b"/metrics";

/// Answers an internal call.
pub fn answer(cx: &Gateway, head: &RequestHead) -> Short {
    match head.path() {
        METRICS_PATH => Short { status: 200, body: cx.metrics.text().into() },
        TABLE_PATH => match &cx.state.borrow().table {
            Some(table) => Short { status: 200, body: table.document.clone() },
            None => Short { status: 404, body: Bytes::new() },
        },
        _ => Short { status: 404, body: Bytes::new() },
    }
}

/// Tells the peers what this daemon knows, again and again.
pub async fn tell(cx: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut ticks = interval(TELL_WORK_EVERY);
    let works_per_state = (TELL_EVERY.as_millis() / TELL_WORK_EVERY.as_millis()) as u64;
    let (mut turn, mut count, mut told) = (0, 0_u64, Vec::new());
    loop {
        ticks.tick().await;
        count += 1;
        let peers = cx.state.borrow().mesh.addresses();
        if peers.is_empty() {
            continue;
        }
        let datagram = if count.is_multiple_of(works_per_state) {
            Datagram::State(Box::new(cx.message()))
        } else {
            let message = cx.work_message();
            if message.work == told {
                continue;
            }
            told.clone_from(&message.work);
            Datagram::Work(message)
        };
        let mut bytes = Vec::with_capacity(2048);
        if let Err(error) = ciborium::into_writer(&datagram, &mut bytes) {
            log::error!(event = "message-not-encoded", error:%; "");
            continue;
        }
        for step in 0..peers.len().min(MAX_TOLD) {
            let peer = peers[(turn + step) % peers.len()];
            if let Err(error) = socket.send_to(&bytes, peer).await {
                log::debug!(event = "message-not-sent", peer:%, error:%; "");
            }
        }
        turn = (turn + MAX_TOLD) % peers.len();
    }
}

/// Takes the peers' messages.
pub async fn hear(cx: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut datagram = vec![0; MAX_DATAGRAM];
    loop {
        let (length, from) = match socket.recv_from(&mut datagram).await {
            Ok(received) => received,
            Err(error) => {
                log::warn!(event = "receive-failed", error:%; "");
                tokio::time::sleep(TELL_WORK_EVERY).await;
                continue;
            }
        };
        match ciborium::from_reader::<Datagram, _>(&datagram[..length]) {
            Ok(Datagram::State(message)) => {
                cx.state.borrow_mut().take_message(cx.now(), from, *message);
            }
            Ok(Datagram::Work(message)) => {
                cx.state.borrow_mut().mesh.heard_work(cx.now(), message);
            }
            Err(error) => {
                cx.metrics.malformed_messages.inc();
                log::warn!(event = "malformed-message", from:%, error:%; "");
            }
        }
    }
}

/// Fetches the table in force at a peer.
pub async fn fetch_table(peer: SocketAddr) -> std::io::Result<Bytes> {
    let fetch = async {
        let mut connection = Connection::open(peer, FETCH_TIMEOUT).await?;
        connection.write(b"GET /table HTTP/1.1\r\nHost: peer\r\nConnection: close\r\n\r\n").await?;
        let head = connection.read_head(false).await?;
        if head.status != 200 {
            return Err(std::io::Error::other(format!("the peer answered {}", head.status)));
        }
        connection.read_whole(&head, MAX_TABLE).await
    };
    Ok(tokio::time::timeout(FETCH_TIMEOUT, fetch).await??.freeze())
}
