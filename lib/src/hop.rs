//! Headers that concern a single connection, and that no proxy passes on.

/// Their names in lower case, by RFC 9110; besides, whatever a `Connection` header names.
pub const HOP_BY_HOP: [&str; 7] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];
