//! Decides whether the active configuration of a daemon can be trusted to be up to date.

use std::time::Duration;

use crate::units::Time;

/// How long a daemon may reach neither the platform nor most of its peers before its configuration
/// counts as stale.
pub const STALE_AFTER: Duration = Duration::from_secs(3);
/// How long a starting daemon waits to reach most of its peers before the platform alone is enough
/// for its configuration to count as fresh.
const JOIN_TIMEOUT: Duration = Duration::from_secs(3);

/// The last observed state of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Platform {
    Unknown,
    Available,
    Failing,
}

/// Whether a daemon reaches the platform and its peers, and whether its configuration is fresh.
#[derive(Clone, Debug)]
pub struct Reachability {
    /// Until when a starting daemon waits for its peers.
    join_deadline: Option<Time>,
    peers_reached: bool,
    platform: Platform,
    /// Since when neither the platform nor most peers were reached.
    isolated_since: Option<Time>,
    config_fresh: bool,
}

impl Default for Reachability {
    fn default() -> Self {
        Self {
            join_deadline: None,
            peers_reached: true,
            platform: Platform::Unknown,
            isolated_since: None,
            config_fresh: false,
        }
    }
}

impl Reachability {
    /// Starts the wait for peers.
    pub fn start(&mut self, now: Time) {
        self.join_deadline = Some(now + JOIN_TIMEOUT);
    }

    /// Records whether most peers are reached.
    pub fn set_peers_reached(&mut self, are_reached: bool) {
        self.peers_reached = are_reached;
    }

    /// Reports whether most peers are reached.
    pub fn peers_reached(&self) -> bool {
        self.peers_reached
    }

    /// Records whether the platform responded to a call.
    pub fn set_platform_available(&mut self, available: bool) {
        self.platform = if available { Platform::Available } else { Platform::Failing };
    }

    /// Reports whether the last call to the platform failed.
    pub fn platform_failing(&self) -> bool {
        self.platform == Platform::Failing
    }

    /// Returns when the result of [`Reachability::update`] may change without an event.
    pub fn next_wakeup(&self, has_set: bool) -> Option<Time> {
        if self.config_fresh {
            return self.isolated_since.map(|since| since + STALE_AFTER);
        }
        self.join_deadline.filter(|_| has_set)
    }

    /// Updates the state. `latest` states that a set is installed and no peer is known to have a
    /// newer one.
    ///
    /// Returns whether the configuration is fresh, if that has changed.
    pub fn update(&mut self, now: Time, latest: bool) -> Option<bool> {
        let reached = self.peers_reached || self.platform == Platform::Available;
        self.isolated_since = if reached { None } else { self.isolated_since.or(Some(now)) };
        self.join_deadline = self.join_deadline.filter(|&until| now < until);
        let config_fresh = if self.config_fresh {
            self.isolated_since.is_none_or(|since| now.since(since) < STALE_AFTER)
        } else {
            let joined = self.peers_reached || self.join_deadline.is_none();
            reached && joined && latest
        };
        let changed = config_fresh != self.config_fresh;
        self.config_fresh = config_fresh;
        changed.then_some(config_fresh)
    }
}
