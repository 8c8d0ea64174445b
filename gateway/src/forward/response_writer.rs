//! Writes responses to callers, so that a truncated one never looks complete.

use std::{cell::Cell, time::Duration};

use bytes::{BufMut as _, BytesMut};
use dogwoodturn::http::{
    body::{LAST_CHUNK, put_chunk},
    head::{ResponseHead, put_header},
};
use socket2::SockRef;
use tokio::{io::AsyncWriteExt as _, net::tcp::WriteHalf, time::timeout};

use crate::{
    gateway::Gateway,
    request::{LOCAL_WRITE_TIMEOUT, LocalResponse, Request, phrase},
};

/// How much of a response reached the caller's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// The complete response was written.
    Complete,
    /// The response broke off; the connection must be closed so that the caller notices.
    Truncated,
}

/// Writes the response of one exchange to the caller's connection.
pub struct ResponseWriter<'a> {
    stream: WriteHalf<'a>,
    /// Whether the connection may carry another request.
    pub keep_alive: bool,
    /// Whether the request was a `HEAD` request, whose response has no body.
    is_head_only: bool,
    /// Whether the caller understands chunked responses.
    accepts_chunks: bool,
    /// Whether the response has begun; shared with the code that may end an exchange without one.
    is_head_sent: &'a Cell<bool>,
}

/// How the end of a response body is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BodyFraming {
    /// By a `Content-Length` header.
    Length(usize),
    /// By chunked transfer coding and its last chunk.
    Chunked,
    /// By the end of the connection, for callers that do not understand chunks.
    UntilClose,
    /// There is no body; `Content-Length`, if present, is the length of the omitted body.
    None,
}

impl<'a> ResponseWriter<'a> {
    pub fn new(
        stream: WriteHalf<'a>,
        req: &Request,
        keep_alive: bool,
        is_head_sent: &'a Cell<bool>,
    ) -> Self {
        let accepts_chunks = req.head.accepts_chunks;
        let is_head_only = req.is_head_request();
        Self { stream, keep_alive, is_head_only, accepts_chunks, is_head_sent }
    }

    async fn write(&mut self, bytes: &[u8], time_left: Duration) -> bool {
        matches!(timeout(time_left, self.stream.write_all(bytes)).await, Ok(Ok(())))
    }

    /// Writes a response that the gateway generated itself.
    pub async fn write_local(
        &mut self,
        cx: &Gateway,
        id: &str,
        response: &LocalResponse,
    ) -> Delivery {
        self.keep_alive &= !response.closes_connection();
        let bytes = response.encode(&cx.header_schema, id, self.keep_alive, self.is_head_only);
        self.is_head_sent.set(true);
        let is_written = self.write(&bytes, LOCAL_WRITE_TIMEOUT).await;
        if is_written { Delivery::Complete } else { Delivery::Truncated }
    }

    fn encode_head(&mut self, head: &ResponseHead, framing: BodyFraming) -> BytesMut {
        let mut out = BytesMut::with_capacity(512);
        out.put_slice(format!("HTTP/1.1 {} {}\r\n", head.status, phrase(head.status)).as_bytes());
        for (name, value) in head.headers.end_to_end() {
            put_header(&mut out, name, value);
        }
        match framing {
            BodyFraming::Length(length) => {
                put_header(&mut out, b"Content-Length", length.to_string().as_bytes());
            }
            BodyFraming::Chunked => put_header(&mut out, b"Transfer-Encoding", b"chunked"),
            BodyFraming::UntilClose => self.keep_alive = false,
            BodyFraming::None => {
                if let Some(length) = head.headers.get("content-length") {
                    put_header(&mut out, b"Content-Length", length);
                }
            }
        }
        if !self.keep_alive {
            put_header(&mut out, b"Connection", b"close");
        }
        out.put_slice(b"\r\n");
        self.is_head_sent.set(true);
        out
    }

    /// Writes a complete response of an upstream.
    pub(super) async fn write_complete(
        &mut self,
        head: &ResponseHead,
        body: &[u8],
        time_left: Duration,
    ) -> Delivery {
        let is_bodiless = self.is_head_only || matches!(head.status, 204 | 304);
        let framing = if is_bodiless { BodyFraming::None } else { BodyFraming::Length(body.len()) };
        let mut out = self.encode_head(head, framing);
        out.put_slice(body);
        if self.write(&out, time_left).await { Delivery::Complete } else { Delivery::Truncated }
    }

    /// Writes the next part of a response whose length is unknown, preceded by the head if that was
    /// not sent yet. Reports whether it was written within `time_left`.
    pub(super) async fn write_part(
        &mut self,
        head: &ResponseHead,
        data: &[u8],
        is_last: bool,
        time_left: Duration,
    ) -> bool {
        if !self.accepts_chunks {
            return self.write_until_close(head, data, is_last, time_left).await;
        }
        let mut out = if self.is_head_sent.get() {
            BytesMut::new()
        } else {
            self.encode_head(head, BodyFraming::Chunked)
        };
        put_chunk(&mut out, data);
        if is_last {
            out.put_slice(LAST_CHUNK);
        }
        self.write(&out, time_left).await
    }

    /// Writes the next part of a response that ends with its connection. Until the last part is
    /// written, any end of the connection is a reset, also that of the whole process.
    async fn write_until_close(
        &mut self,
        head: &ResponseHead,
        data: &[u8],
        is_last: bool,
        time_left: Duration,
    ) -> bool {
        let mut out = BytesMut::new();
        if !self.is_head_sent.get() {
            if let Err(error) = self.stream.as_ref().set_zero_linger() {
                log::warn!(event = "no-reset", error:%; "a truncated response could not be marked by a reset; it is not sent");
                return false;
            }
            out = self.encode_head(head, BodyFraming::UntilClose);
        }
        out.put_slice(data);
        self.write(&out, time_left).await
            && (!is_last || SockRef::from(self.stream.as_ref()).set_linger(None).is_ok())
    }
}
