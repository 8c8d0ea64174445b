//! Splits the body of an event stream into server-sent events.

use bytes::{Bytes, BytesMut};
use dogwoodturn::request::sse::EventScanner;

/// Limit on buffered bytes of the stream, and so on the length of an event.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// One event, with its bytes as the upstream sent them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The value of the `id` line, if it is a number.
    pub id: Option<u64>,
    /// Whether it has a `data` line; without one, clients ignore it.
    pub has_data: bool,
    /// All bytes of the event, including the empty line at its end.
    pub bytes: Bytes,
}

/// Buffers bytes until an event is complete, so that no partial event reaches a caller.
#[derive(Clone, Debug, Default)]
pub struct EventBuffer {
    buf: BytesMut,
    scanner: EventScanner,
    /// The number of bytes of `buf` that were scanned.
    scanned: usize,
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
        let Some(length) = self.scanner.find_end(&self.buf[self.scanned..]) else {
            self.scanned = self.buf.len();
            return None;
        };
        let bytes = self.buf.split_to(self.scanned + length).freeze();
        self.scanned = 0;
        Some(Event { id: event_id(&bytes), has_data: has_data(&bytes), bytes })
    }

    /// Returns the number of bytes of an event that lacks its end. A stream that ends while this is
    /// not zero has been truncated.
    pub fn partial_bytes(&self) -> usize {
        self.buf.len()
    }
}

fn lines(bytes: &[u8]) -> impl Iterator<Item = &[u8]> {
    bytes.split(|&byte| matches!(byte, b'\n' | b'\r'))
}

fn event_id(bytes: &[u8]) -> Option<u64> {
    let value = lines(bytes).find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value.trim_ascii()).ok()?.parse().ok()
}

fn has_data(bytes: &[u8]) -> bool {
    lines(bytes).any(|line| line == b"data" || line.starts_with(b"data:"))
}
