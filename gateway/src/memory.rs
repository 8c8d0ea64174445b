//! The limits on the memory of a gateway's buffers. See [`dogwoodturn::limit::memory`].

/// Limit on the bodies of requests. A body is copied once when it is forwarded.
pub const REQUEST_BYTES: usize = 32 << 20;
/// Limit on the buffered parts of responses, including copies.
pub const RESPONSE_BYTES: usize = 32 << 20;
/// Part of a response that needs no reservation; most responses and events are shorter.
pub const UNRESERVED_RESPONSE_BYTES: usize = 8 * 1024;
/// A buffer grows to twice its content, which is copied once more when it is written to a slow caller.
pub const RESPONSE_COPIES: usize = 3;
