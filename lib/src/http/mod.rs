//! HTTP/1.1 with control of each connection: bytes read, bytes left over, and how it ended.
//!
//! A pooling HTTP client hides the facts that decide whether a request may be retried and whether a
//! connection may be reused. Therefore heads are parsed with `httparse` and the framing is decoded
//! in this module. See `docs/design/platform.md`.

pub mod body;
pub mod connection;
pub mod head;
pub mod received;
pub mod tcp_info;
pub mod tunnel;
