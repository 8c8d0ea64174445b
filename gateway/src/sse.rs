//! Splits the body of an event stream into server-sent events.

use bytes::{Bytes, BytesMut};

/// Limit on buffered bytes of the stream, and so on the length of an event.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// One event, with its bytes as the upstream sent them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The value of the `id` line, if it is a number.
    pub id: Option<u64>,
    /// All bytes of the event, including the empty line at its end.
    pub bytes: Bytes,
}

/// Buffers bytes until an event is complete, so that no partial event reaches a caller.
#[derive(Clone, Debug, Default)]
pub struct EventBuffer {
    buf: BytesMut,
}

/// More bytes are buffered than an event may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventTooLong;

impl EventBuffer {
    /// Appends bytes of the body. Fails if more than [`MAX_EVENT_BYTES`] are buffered.
    pub fn push(&mut self, data: &[u8]) -> Result<(), EventTooLong> {
        self.buf.extend_from_slice(data);
        if self.buf.len() > MAX_EVENT_BYTES { Err(EventTooLong) } else { Ok(()) }
    }

    /// Removes and returns the next complete event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = find_end(&self.buf)?;
        let bytes = self.buf.split_to(end).freeze();
        Some(Event { id: event_id(&bytes), bytes })
    }

    /// Returns the number of buffered bytes.
    pub fn len(&self) -> usize {
        self.buf.len()
    }

    pub fn is_empty(&self) -> bool {
        self.buf.is_empty()
    }

    /// Removes and returns the remaining bytes of a body that ended without an empty line.
    pub fn drain(&mut self) -> Bytes {
        self.buf.split().freeze()
    }
}

fn find_end(buf: &[u8]) -> Option<usize> {
    let lf = buf.windows(2).position(|pair| pair == b"\n\n").map(|at| at + 2);
    let crlf = buf.windows(4).position(|pair| pair == b"\r\n\r\n").map(|at| at + 4);
    match (lf, crlf) {
        (Some(lf), Some(crlf)) => Some(lf.min(crlf)),
        (lf, crlf) => lf.or(crlf),
    }
}

fn event_id(bytes: &[u8]) -> Option<u64> {
    let line = bytes.split(|&byte| byte == b'\n').find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line.trim_ascii()).ok()?.parse().ok()
}
