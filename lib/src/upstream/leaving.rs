//! The hosts that were told to be leaving, before the host list says so.
//!
//! The host list lags; what a notice has told holds until the list drops the host or shows it as
//! leaving itself.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::{
    ids::HostId,
    units::WallTime,
    upstream::{HostRecord, HostState},
};

/// The most notices that are kept for hosts that the list does not show.
const MOST_UNLISTED: usize = 4096;

/// The hosts that were told to be leaving.
#[derive(Clone, Debug, Default)]
pub struct LeavingHosts {
    told: IndexMap<HostId, WallTime>,
}

impl LeavingHosts {
    /// Notes that a host leaves; returns whether that is news.
    pub fn insert(&mut self, host: HostId, at: WallTime) -> bool {
        if self.told.len() >= MOST_UNLISTED {
            self.told.shift_remove_index(0);
        }
        self.told.insert(host, at).is_none()
    }

    /// Forgets the hosts that a list, which once showed them, shows no more.
    pub fn follow(&mut self, before: &[HostRecord], now: &[HostRecord]) {
        let has = |list: &[HostRecord], host: &HostId| list.iter().any(|r| r.host == *host);
        self.told.retain(|host, _| has(now, host) || !has(before, host));
    }

    /// Returns the list with the hosts that were told to be leaving shown as such.
    pub fn apply(&self, hosts: &Arc<[HostRecord]>) -> Arc<[HostRecord]> {
        let changes =
            |host: &HostRecord| host.state == HostState::Live && self.told.contains_key(&host.host);
        if !hosts.iter().any(changes) {
            return Arc::clone(hosts);
        }
        let told = |host: &HostRecord| match self.told.get(&host.host) {
            Some(&at) if host.state == HostState::Live => {
                HostRecord { state: HostState::Leaving { at }, ..host.clone() }
            }
            _ => host.clone(),
        };
        hosts.iter().map(told).collect()
    }
}
