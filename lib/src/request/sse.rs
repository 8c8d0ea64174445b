//! Server-sent events: a parser with bounded memory, and a scanner for bytes that are forwarded.

use thiserror::Error;

/// The maximum size of one event, in bytes.
pub const MAX_EVENT_BYTES: usize = 64 << 10;

/// Why bytes cannot be parsed as server-sent events.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum SseError {
    /// An event is larger than [`MAX_EVENT_BYTES`].
    #[error("an event exceeds {MAX_EVENT_BYTES} bytes")]
    TooLong,
    /// A line is not UTF-8.
    #[error("a line is not UTF-8")]
    NotUtf8,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SseEvent {
    /// The `id` field of this event, if present.
    pub id: Option<Box<str>>,
    /// The `data` lines, joined by line feeds.
    pub data: String,
}

/// Parses events from chunks split at arbitrary positions.
#[derive(Clone, Debug, Default)]
pub struct SseReader {
    line: Vec<u8>,
    id: Option<Box<str>>,
    data: Option<String>,
}

impl SseReader {
    /// Parses a chunk and appends the events that it completes to `out`.
    pub fn read_chunk(&mut self, chunk: &[u8], out: &mut Vec<SseEvent>) -> Result<(), SseError> {
        let mut rest = chunk;
        while let Some(end) = rest.iter().position(|&byte| byte == b'\n') {
            let (line, after) = rest.split_at(end);
            rest = &after[1..];
            if self.line.is_empty() {
                self.parse_line(line, out)?;
            } else {
                self.buffer(line)?;
                let line = std::mem::take(&mut self.line);
                self.parse_line(&line, out)?;
            }
        }
        self.buffer(rest)
    }

    /// Returns the length of the event that is not complete yet, in bytes.
    pub fn buffered_bytes(&self) -> usize {
        self.data.as_ref().map_or(0, String::len) + self.line.len()
    }

    fn buffer(&mut self, bytes: &[u8]) -> Result<(), SseError> {
        if self.buffered_bytes() + bytes.len() > MAX_EVENT_BYTES {
            return Err(SseError::TooLong);
        }
        self.line.extend_from_slice(bytes);
        Ok(())
    }

    fn parse_line(&mut self, line: &[u8], out: &mut Vec<SseEvent>) -> Result<(), SseError> {
        let line = std::str::from_utf8(line).map_err(|_| SseError::NotUtf8)?;
        let line = line.strip_suffix('\r').unwrap_or(line);
        if line.is_empty() {
            let id = self.id.take();
            if let Some(data) = self.data.take() {
                out.push(SseEvent { id, data });
            }
            return Ok(());
        }
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "id" => self.id = Some(value.into()),
            "data" => self.append_data(value)?,
            _ => {}
        }
        Ok(())
    }

    fn append_data(&mut self, value: &str) -> Result<(), SseError> {
        let Some(data) = &mut self.data else {
            if value.len() > MAX_EVENT_BYTES {
                return Err(SseError::TooLong);
            }
            self.data = Some(value.to_owned());
            return Ok(());
        };
        if data.len() + value.len() > MAX_EVENT_BYTES {
            return Err(SseError::TooLong);
        }
        data.push('\n');
        data.push_str(value);
        Ok(())
    }
}

/// The position of a scanner relative to lines, which end with LF, CR or CRLF.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum ScanState {
    /// No event has begun.
    #[default]
    BetweenEvents,
    /// In a line of an event.
    InLine,
    /// After the LF that ended a line of an event.
    AfterLine,
    /// After a CR that ended a line of an event; an LF may follow.
    AfterLineCr,
    /// After a CR that ended an empty line behind an LF; an LF may follow.
    AfterEmptyLineCr,
}

/// Finds the ends of events in the bytes of a stream, without parsing the events.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventScanner {
    state: ScanState,
}

impl EventScanner {
    /// Scans bytes up to the next end of an event, and returns the number of bytes up to there. The
    /// scan goes on with the bytes after it. Returns `None` if all bytes were scanned.
    pub fn find_end(&mut self, bytes: &[u8]) -> Option<usize> {
        use ScanState::{AfterEmptyLineCr, AfterLine, AfterLineCr, BetweenEvents, InLine};

        for (at, &byte) in bytes.iter().enumerate() {
            self.state = match (self.state, byte) {
                (AfterEmptyLineCr, byte) if byte != b'\n' => {
                    self.state = BetweenEvents;
                    return Some(at);
                }
                (BetweenEvents | AfterLine | AfterEmptyLineCr, b'\n')
                | (BetweenEvents | AfterLineCr, b'\r') => {
                    self.state = BetweenEvents;
                    return Some(at + 1);
                }
                (InLine | AfterLineCr, b'\n') => AfterLine,
                (InLine, b'\r') => AfterLineCr,
                (AfterLine, b'\r') => AfterEmptyLineCr,
                _ => InLine,
            };
        }
        None
    }

    /// Scans bytes to their end.
    pub fn scan(&mut self, mut bytes: &[u8]) {
        while let Some(end) = self.find_end(bytes) {
            bytes = &bytes[end..];
        }
    }

    /// Reports whether an event has begun and its end was not scanned. A stream that ends here has
    /// been truncated.
    pub fn is_inside_event(&self) -> bool {
        self.state != ScanState::BetweenEvents
    }
}
