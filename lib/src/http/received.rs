//! The bytes of a connection and its end, which are judged together.

use std::io;

use bytes::BytesMut;

use crate::http::body::{BodyDecoder, Step};

/// How a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The peer closed it, after all that it had to send.
    Closed,
    /// It was reset or given up, and bytes may be missing.
    Failed(io::ErrorKind),
}

/// The bytes that were read from a connection and not consumed yet, and how it ended after them.
///
/// Whoever decodes in a copy, or takes over from another reader, gets both: the end of a connection says
/// nothing about a body as long as bytes before it are not decoded.
#[derive(Clone, Debug, Default)]
pub struct Received {
    pub bytes: BytesMut,
    end: Option<ConnectionEnd>,
}

impl Received {
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Returns how the connection ended, if it has.
    pub fn end(&self) -> Option<ConnectionEnd> {
        self.end
    }

    /// Records how the connection ended. The first record holds.
    pub fn record_end(&mut self, end: ConnectionEnd) {
        self.end.get_or_insert(end);
    }

    /// Decodes the next part of a body. Once all bytes are decoded, the end of the connection is the end
    /// of a body without a length if the peer closed it, and an error otherwise.
    pub fn decode(&mut self, decoder: &mut BodyDecoder) -> io::Result<Step> {
        let step = decoder.step(&mut self.bytes);
        match step.map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))? {
            Step::NeedsMore => match self.end {
                None => Ok(Step::NeedsMore),
                Some(ConnectionEnd::Closed) if decoder.ends_with_connection() => Ok(Step::End),
                Some(ConnectionEnd::Closed) => Err(io::ErrorKind::UnexpectedEof.into()),
                Some(ConnectionEnd::Failed(kind)) => Err(kind.into()),
            },
            step => Ok(step),
        }
    }
}
