//! The events of a stream, cut out of the bytes of its body.

use bytes::{Bytes, BytesMut};

/// The longest event that is waited for, in bytes.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// One event with its bytes as the upstream sent them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The value of its `id` line, if it is a number.
    pub id: Option<u64>,
    /// All its bytes, the empty line at its end included.
    pub bytes: Bytes,
}

/// Collects bytes until an event is whole, so that no part of one reaches a caller.
#[derive(Clone, Debug, Default)]
pub struct EventBuffer {
    buf: BytesMut,
}

/// Says that an event is longer than allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventTooLong;

impl EventBuffer {
    /// Adds bytes of the body.
    pub fn push(&mut self, data: &[u8]) -> Result<(), EventTooLong> {
        self.buf.extend_from_slice(data);
        if self.buf.len() > MAX_EVENT_BYTES { Err(EventTooLong) } else { Ok(()) }
    }

    /// Takes the next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = find_end(&self.buf)?;
        let bytes = self.buf.split_to(end).freeze();
        Some(Event { id: event_id(&bytes), bytes })
    }

    /// Returns what is left of a body that has ended properly without an empty line.
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
