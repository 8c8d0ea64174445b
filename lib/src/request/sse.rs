//! Reads server-sent events as their bytes arrive, in bounded memory.

use thiserror::Error;

/// The most bytes that one event may take.
pub const MAX_EVENT_BYTES: usize = 64 << 10;

/// Says why the bytes are no server-sent events.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum SseError {
    /// An event is larger than [`MAX_EVENT_BYTES`].
    #[error("an event exceeds {MAX_EVENT_BYTES} bytes")]
    TooLong,
    /// A line is not UTF-8.
    #[error("a line is not UTF-8")]
    NotUtf8,
}

/// One event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SseEvent {
    /// The event's own `id`, if it has one.
    pub id: Option<Box<str>>,
    /// The event's data, its lines joined by a line feed.
    pub data: String,
}

/// Reads events from chunks that may end anywhere.
#[derive(Clone, Debug, Default)]
pub struct SseReader {
    line: Vec<u8>,
    id: Option<Box<str>>,
    data: Option<String>,
}

impl SseReader {
    /// Takes a chunk and adds the events that it completes.
    pub fn feed(&mut self, chunk: &[u8], out: &mut Vec<SseEvent>) -> Result<(), SseError> {
        let mut rest = chunk;
        while let Some(end) = rest.iter().position(|&byte| byte == b'\n') {
            let (line, after) = rest.split_at(end);
            rest = &after[1..];
            if self.line.is_empty() {
                self.take_line(line, out)?;
            } else {
                self.hold(line)?;
                let line = std::mem::take(&mut self.line);
                self.take_line(&line, out)?;
            }
        }
        self.hold(rest)
    }

    fn hold(&mut self, bytes: &[u8]) -> Result<(), SseError> {
        let data = self.data.as_ref().map_or(0, String::len);
        if data + self.line.len() + bytes.len() > MAX_EVENT_BYTES {
            return Err(SseError::TooLong);
        }
        self.line.extend_from_slice(bytes);
        Ok(())
    }

    fn take_line(&mut self, line: &[u8], out: &mut Vec<SseEvent>) -> Result<(), SseError> {
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
            "data" => self.add_data(value)?,
            _ => {}
        }
        Ok(())
    }

    fn add_data(&mut self, value: &str) -> Result<(), SseError> {
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
