//! The names of requests, which say where a request was accepted.

use xxhash_rust::xxh3::xxh3_64;

use crate::ids::{DaemonId, Incarnation, NameError, RequestId};

/// Separates the parts of a request's name.
const SEPARATOR: char = ':';

/// Where a request was accepted.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RequestOrigin {
    /// The daemon.
    pub daemon: DaemonId,
    /// Its run.
    pub incarnation: Incarnation,
    /// Its traffic thread, counted from 0.
    pub thread: u16,
}

impl RequestOrigin {
    /// Names the request with this number.
    pub fn request_id(&self, number: u64) -> Result<RequestId, NameError> {
        let Self { daemon, incarnation, thread } = self;
        format!("{daemon}:{incarnation}:{thread}:{number}").parse()
    }

    /// Reads where a request was accepted from its name; `None` if no daemon made the name.
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
/// It is the thread that accepted it or, for one that was handed over, a thread by its hash.
pub fn owning_thread(request: &RequestId, daemon: &DaemonId, threads: u16) -> u16 {
    match RequestOrigin::from_request_id(request) {
        Some(origin) if origin.daemon == *daemon && origin.thread < threads => origin.thread,
        _ => (xxh3_64(request.as_str().as_bytes()) % u64::from(threads.max(1))) as u16,
    }
}

/// Orders daemons by rendezvous hashing of a request, the first being the one that takes it over.
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
