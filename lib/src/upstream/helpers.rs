//! Which daemons are asked to forward connections to upstreams that this one does not reach.
//!
//! Load pattern: some daemons have lost their links to the upstreams, often all of one data centre.
//! Those that refuse or do not respond are asked last for a while.

use std::time::Duration;

use indexmap::IndexMap;

use crate::{ids::DaemonId, peer::Member, units::Time};

/// The time for which a daemon that did not forward a connection is asked last.
const FAILURE_TTL: Duration = Duration::from_secs(1);
/// Daemons that are asked for one connection.
const MAX_HELPERS: usize = 3;

/// The daemons that failed to forward connections, and whose turn it is.
#[derive(Clone, Debug, Default)]
pub struct Helpers {
    failed: IndexMap<DaemonId, Time>,
    turn: usize,
}

impl Helpers {
    /// Returns the daemons to ask one after the other, in turn.
    pub fn choose(&mut self, now: Time, own: &DaemonId, members: &[Member]) -> Vec<Member> {
        self.failed.retain(|_, at| now.since(*at) < FAILURE_TTL);
        let mut helpers: Vec<_> =
            members.iter().filter(|member| member.daemon != *own).cloned().collect();
        if !helpers.is_empty() {
            self.turn = (self.turn + 1) % helpers.len();
            helpers.rotate_left(self.turn);
        }
        helpers.sort_by_key(|member| self.failed.contains_key(&member.daemon));
        helpers.truncate(MAX_HELPERS);
        helpers
    }

    /// Records that a daemon did not forward a connection.
    pub fn record_failure(&mut self, now: Time, helper: DaemonId) {
        self.failed.insert(helper, now);
    }
}
