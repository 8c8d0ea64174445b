//! A client that sends one request after the other on a connection that it keeps.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Mutex,
        atomic::{AtomicBool, Ordering::Relaxed},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{Random, Record, http::Conn};

/// What a client sends: bodies in chunks, of this length.
#[derive(Clone, Copy)]
pub struct Request {
    pub key: &'static str,
    pub path: &'static str,
    pub length: usize,
    pub deadline_ms: u64,
}

/// How a request ended for its client.
#[derive(Debug, PartialEq)]
pub enum End {
    Answered(u16),
    /// The connection ended without a complete answer.
    NoAnswer,
}

pub struct Sent {
    pub id: String,
    /// Whether its connection had carried an earlier request.
    pub is_kept: bool,
    pub end: End,
}

/// What the clients of a run share.
pub struct Clients {
    pub record: &'static Record,
    pub gateway: SocketAddr,
    pub sent: Mutex<Vec<Sent>>,
    /// Ends the clients early.
    pub is_over: AtomicBool,
}

/// Sends one request after the other on a connection that it keeps, until `until`.
pub fn run_client(clients: &Clients, number: usize, request: Request, until: Instant) {
    let Request { key, path, length, deadline_ms } = request;
    let mut random = Random::new(number as u64 + 1);
    let mut conn: Option<Conn> = None;
    let body = vec![b'x'; 50_000];
    while Instant::now() < until && !clients.is_over.load(Relaxed) {
        let is_kept = conn.is_some();
        let Some(mut open) = conn.take().or_else(|| Conn::open(clients.gateway).ok()) else {
            thread::sleep(Duration::from_millis(100));
            continue;
        };
        let _ = open.stream.set_read_timeout(Some(Duration::from_secs(6)));
        let id = random.id();
        clients.record.line(&format!("client {number} sends {id} {path} kept {is_kept}"));
        let head = format!(
            "POST {path}{number} HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {key}\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        let mut exchange = || -> io::Result<(u16, Option<f64>, bool)> {
            open.write(head.as_bytes())?;
            let mut left = length;
            while left > 0 {
                let part = left.min(body.len());
                open.write(format!("{part:x}\r\n").as_bytes())?;
                open.write(&body[..part])?;
                open.write(b"\r\n")?;
                left -= part;
            }
            open.write(b"0\r\n\r\n")?;
            let head = open.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
            let (_, result) = open.body(&head);
            result?;
            let wait = head.get("retry-after").and_then(|text| text.parse().ok());
            Ok((head.status(), wait, head.get("connection") == Some("close")))
        };
        let result = exchange();
        let end = match &result {
            Ok((status, ..)) => End::Answered(*status),
            Err(_) => End::NoAnswer,
        };
        clients.record.line(&format!("client {number} got {end:?} for {id}"));
        clients.sent.lock().unwrap().push(Sent { id, is_kept, end });
        if let Ok((_, wait, false)) = result {
            conn = Some(open);
            thread::sleep(Duration::from_secs_f64(wait.unwrap_or(0.02).min(1.0)));
        }
    }
}
