//! Hop-by-hop headers, which apply to a single connection and are not forwarded by proxies.

/// The hop-by-hop header names in lower case, by RFC 9110; headers that a `Connection` header lists
/// are hop-by-hop as well.
pub const HOP_BY_HOP: [&str; 7] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];
