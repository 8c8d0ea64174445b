//! HTTP/1.1 with control of each connection: what was read, what is left over, how it ended.
//!
//! A pooled client hides exactly the facts that decide whether a request may be sent again and
//! whether a connection may be used again, so heads are parsed by `httparse` and the framing is
//! followed here. See `docs/design/platform.md`.

pub mod body;
pub mod connection;
pub mod head;
