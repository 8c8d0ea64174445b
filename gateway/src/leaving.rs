//! The upstreams that have said in a response that they leave.
//!
//! The store says so too, but a daemon may be out of contact with it, and some upstreams only lose their
//! entry there. A statement holds for one start of an upstream and is never withdrawn: a response without it may
//! have begun before.
//!
//! See `docs/design/platform.md`, "Upstreams that leave".

use std::time::Duration;

use dogwoodturn::{ids::UpstreamId, units::Time};
use indexmap::IndexMap;

/// Number of statements from which those on unknown upstreams are ignored, since peers may name some that do not
/// exist. A system has ten thousand upstreams.
const MAX_STATEMENTS: usize = 16 * 1024;
/// Time for which a statement on an upstream that is not known is remembered. The store lists new upstreams
/// within seconds.
const UNKNOWN_MEMORY: Duration = Duration::from_secs(60);

/// Limit on the statements in one message. A state message has to fit into a datagram with all else.
const MAX_REPORTS: usize = 256;

/// An upstream that has said that it leaves, with the start time of that run.
pub type StatementWire = (UpstreamId, u64);

/// Where a statement comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// A response of the upstream.
    Response,
    /// The report of another daemon that got such a response.
    Peer,
}

impl Source {
    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Response => "response",
            Self::Peer => "peer",
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Statement {
    heard_at: Time,
    /// Whether it comes from a response to this daemon.
    is_own: bool,
    /// Whether it has yet to be broadcast.
    is_news: bool,
}

/// Which starts of upstreams have said that they leave.
#[derive(Clone, Debug, Default)]
pub struct LeavingStatements(IndexMap<StatementWire, Statement>);

impl LeavingStatements {
    /// Records a statement and returns whether it is new. What a peer has sent is not sent again, since it sends
    /// it to all.
    pub fn record(&mut self, now: Time, start: StatementWire, source: Source) -> bool {
        let is_own = source == Source::Response;
        if let Some(known) = self.0.get_mut(&start) {
            known.heard_at = now;
            known.is_own |= is_own;
            known.is_news &= is_own;
            return false;
        }
        self.0.insert(start, Statement { heard_at: now, is_own, is_news: is_own });
        true
    }

    /// Reports whether statements on unknown upstreams are ignored.
    pub fn is_full(&self) -> bool {
        self.0.len() >= MAX_STATEMENTS
    }

    pub fn contains(&self, start: &StatementWire) -> bool {
        self.0.contains_key(start)
    }

    /// Returns the latest statements from responses to this daemon, for its state message.
    pub fn reports(&self) -> Vec<StatementWire> {
        let own = self.0.iter().rev().filter(|(_, statement)| statement.is_own);
        own.take(MAX_REPORTS).map(|(start, _)| start.clone()).collect()
    }

    /// Returns statements to broadcast, each one time. There may be more.
    pub fn take_news(&mut self) -> Vec<StatementWire> {
        let news = self.0.iter_mut().filter(|(_, statement)| statement.is_news);
        let news = news.take(MAX_REPORTS).map(|(start, statement)| {
            statement.is_news = false;
            start.clone()
        });
        news.collect()
    }

    /// Removes the statements on upstreams that have not been known for [`UNKNOWN_MEMORY`].
    pub fn expire(&mut self, now: Time, is_known: impl Fn(&StatementWire) -> bool) {
        self.0.retain(|start, statement| {
            if is_known(start) {
                statement.heard_at = now;
            }
            now.since(statement.heard_at) < UNKNOWN_MEMORY
        });
    }
}
