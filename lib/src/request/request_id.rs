//! Request ids, which encode where a request was accepted.

use xxhash_rust::xxh3::xxh3_64;

use crate::ids::{DaemonId, Incarnation, NameError, RequestId};

const SEPARATOR: char = ':';

/// Where a request was accepted.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RequestOrigin {
    pub daemon: DaemonId,
    pub incarnation: Incarnation,
    /// The traffic thread, counted from 0.
    pub thread: u16,
}

impl RequestOrigin {
    /// Returns the id of the request with this number.
    pub fn request_id(&self, number: u64) -> Result<RequestId, NameError> {
        let Self { daemon, incarnation, thread } = self;
        format!("{daemon}:{incarnation}:{thread}:{number}").parse()
    }

    /// Parses the origin from a request id; `None` if no daemon created the id.
    pub fn from_request_id(request: &RequestId) -> Option<Self> {
        let mut parts = request.as_str().rsplitn(4, SEPARATOR);
        let _number: u64 = parts.next()?.parse().ok()?;
        let thread = parts.next()?.parse().ok()?;
        let incarnation = parts.next()?.parse().ok()?;
        let daemon = parts.next()?.parse().ok()?;
        Some(Self { daemon, incarnation, thread })
    }
}

/// Returns the traffic thread that holds a request at a daemon, if that daemon holds it.
///
/// This is the thread that accepted the request or, after a handover, one selected by hash.
pub fn owning_thread(request: &RequestId, daemon: &DaemonId, threads: u16) -> u16 {
    match RequestOrigin::from_request_id(request) {
        Some(origin) if origin.daemon == *daemon && origin.thread < threads => origin.thread,
        _ => (xxh3_64(request.as_str().as_bytes()) % u64::from(threads.max(1))) as u16,
    }
}

/// Orders daemons by rendezvous hashing of a request; the first is the preferred handover target.
pub fn rendezvous<'a>(
    request: &RequestId,
    daemons: impl IntoIterator<Item = &'a DaemonId>,
) -> Vec<&'a DaemonId> {
    let weight = |daemon: &DaemonId| {
        xxhash_rust::xxh3::xxh3_64_with_seed(
            daemon.as_str().as_bytes(),
            xxh3_64(request.as_str().as_bytes()),
        )
    };
    let mut daemons: Vec<&DaemonId> = daemons.into_iter().collect();
    daemons.sort_by_key(|daemon| (std::cmp::Reverse(weight(daemon)), (*daemon).clone()));
    daemons
}
