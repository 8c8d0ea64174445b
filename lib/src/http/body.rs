//! Decodes the framing of message bodies and encodes chunks.

use bytes::{Buf as _, BufMut as _, Bytes, BytesMut};
use thiserror::Error;

use crate::http::head::Framing;

/// Maximum length of a chunk-size line.
const MAX_LINE_BYTES: usize = 4096;
/// Maximum length of all trailer lines together.
const MAX_TRAILER_BYTES: usize = 8192;

/// The bytes of a body violate the chunked framing.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("malformed chunk")]
pub struct MalformedChunk;

/// The result of [`BodyDecoder::step`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    Data(Bytes),
    /// More bytes must be read first.
    NeedsMore,
    /// The body is complete; the bytes left in the buffer belong to the next message.
    End,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Length(u64),
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    /// The trailer, of which at most this many bytes may follow.
    Trailer(usize),
    UntilClose,
    Done,
}

/// Decodes one body from the bytes of a connection and detects its end.
#[derive(Clone, Debug)]
pub struct BodyDecoder(State);

impl BodyDecoder {
    /// Creates a decoder for the framing that the head of the message declares.
    pub fn new(framing: Framing) -> Self {
        Self(match framing {
            Framing::Length(length) => State::Length(length),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        })
    }

    /// Reports whether the end of the connection is the regular end of the body.
    pub fn ends_with_connection(&self) -> bool {
        self.0 == State::UntilClose
    }

    /// Removes the next part of the body from the front of the buffer.
    pub fn step(&mut self, buf: &mut BytesMut) -> Result<Step, MalformedChunk> {
        loop {
            match self.0 {
                State::Done | State::Length(0) => {
                    self.0 = State::Done;
                    return Ok(Step::End);
                }
                State::Length(left) => {
                    let Some(data) = split_up_to(buf, left) else { return Ok(Step::NeedsMore) };
                    self.0 = State::Length(left - data.len() as u64);
                    return Ok(Step::Data(data));
                }
                State::UntilClose => {
                    let data = split_up_to(buf, u64::MAX);
                    return Ok(data.map_or(Step::NeedsMore, Step::Data));
                }
                State::ChunkSize => match httparse::parse_chunk_size(buf) {
                    Ok(httparse::Status::Complete((length, size))) => {
                        buf.advance(length);
                        self.0 = if size == 0 {
                            State::Trailer(MAX_TRAILER_BYTES)
                        } else {
                            State::ChunkData(size)
                        };
                    }
                    Ok(httparse::Status::Partial) if buf.len() < MAX_LINE_BYTES => {
                        return Ok(Step::NeedsMore);
                    }
                    Ok(httparse::Status::Partial) | Err(_) => return Err(MalformedChunk),
                },
                State::ChunkData(0) => self.0 = State::ChunkEnd,
                State::ChunkData(left) => {
                    let Some(data) = split_up_to(buf, left) else { return Ok(Step::NeedsMore) };
                    self.0 = State::ChunkData(left - data.len() as u64);
                    return Ok(Step::Data(data));
                }
                State::ChunkEnd => {
                    if buf.len() < 2 {
                        return Ok(Step::NeedsMore);
                    }
                    if !buf.starts_with(b"\r\n") {
                        return Err(MalformedChunk);
                    }
                    buf.advance(2);
                    self.0 = State::ChunkSize;
                }
                State::Trailer(left) => {
                    let Some(end) = buf.windows(2).position(|pair| pair == b"\r\n") else {
                        let too_long = buf.len() > left;
                        return if too_long { Err(MalformedChunk) } else { Ok(Step::NeedsMore) };
                    };
                    if end + 2 > left {
                        return Err(MalformedChunk);
                    }
                    buf.advance(end + 2);
                    self.0 = if end == 0 { State::Done } else { State::Trailer(left - end - 2) };
                }
            }
        }
    }
}

fn split_up_to(buf: &mut BytesMut, max_bytes: u64) -> Option<Bytes> {
    let length = usize::try_from(max_bytes).unwrap_or(usize::MAX).min(buf.len());
    (length > 0).then(|| buf.split_to(length).freeze())
}

/// Appends one chunk. Empty data is skipped, since an empty chunk would end the body.
pub fn put_chunk(out: &mut BytesMut, data: &[u8]) {
    if !data.is_empty() {
        out.put_slice(format!("{:x}\r\n", data.len()).as_bytes());
        out.put_slice(data);
        out.put_slice(b"\r\n");
    }
}

/// The last chunk, which ends a chunked body without trailers.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
