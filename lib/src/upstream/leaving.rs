//! Hosts that a notice reported as leaving, before the host list shows it.
//!
//! The host list lags behind, so a notice applies until the list drops the host or shows it as
//! leaving itself. A list that still shows the host long after its removal is right: the host stayed, or its
//! upstream has started again.

use std::{sync::Arc, time::Duration};

use indexmap::IndexMap;

use crate::{
    ids::HostId,
    units::WallTime,
    upstream::{HostRecord, HostState},
};

/// Limit on the number of notices; the oldest is dropped for a new one. It is needed for hosts that
/// the list never shows, whose notices are not removed otherwise.
const MAX_NOTICES: usize = 4096;

/// Time after the removal of a host from which a new list that shows it counts more than the notice.
const MAX_LIST_DELAY: Duration = Duration::from_mins(1);

/// Hosts that notices reported as leaving, with the time of their removal.
#[derive(Clone, Debug, Default)]
pub struct LeavingHosts {
    notices: IndexMap<HostId, WallTime>,
}

impl LeavingHosts {
    /// Records that a host leaves. Returns whether there was no notice for it yet.
    pub fn insert(&mut self, host: HostId, at: WallTime) -> bool {
        if self.notices.len() >= MAX_NOTICES {
            self.notices.shift_remove_index(0);
        }
        self.notices.insert(host, at).is_none()
    }

    /// Removes the notices for hosts that are in the `previous` list but not in the `current` one, and for those
    /// that the current one still shows at `wall`, long after their removal.
    pub fn follow(&mut self, wall: WallTime, previous: &[HostRecord], current: &[HostRecord]) {
        let has = |list: &[HostRecord], host: &HostId| list.iter().any(|r| r.host == *host);
        self.notices.retain(|host, at| {
            if has(current, host) { wall < *at + MAX_LIST_DELAY } else { !has(previous, host) }
        });
    }

    /// Returns the host list in which each live host with a notice is changed to leaving.
    pub fn apply(&self, hosts: &Arc<[HostRecord]>) -> Arc<[HostRecord]> {
        let is_changed = |host: &HostRecord| {
            host.state == HostState::Live && self.notices.contains_key(&host.host)
        };
        if !hosts.iter().any(is_changed) {
            return Arc::clone(hosts);
        }
        let updated = |host: &HostRecord| match self.notices.get(&host.host) {
            Some(&at) if host.state == HostState::Live => {
                HostRecord { state: HostState::Leaving { at }, ..host.clone() }
            }
            _ => host.clone(),
        };
        hosts.iter().map(updated).collect()
    }
}
