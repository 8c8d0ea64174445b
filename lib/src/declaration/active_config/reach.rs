//! Judges whether a daemon can know what is in force.

use std::time::Duration;

use crate::units::Time;

/// How long a daemon may reach neither the platform nor most of its peers and stay informed.
pub const UNINFORMED_AFTER: Duration = Duration::from_secs(3);
/// How long a daemon that starts waits for its peers before it believes the platform alone.
const JOIN_WAIT: Duration = Duration::from_secs(3);

/// The last that is known of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Platform {
    NeverSeen,
    Answers,
    Fails,
}

/// What a daemon reaches, and whether it is informed.
#[derive(Clone, Debug)]
pub struct Reach {
    /// Until when a daemon that starts waits for its peers.
    join_until: Option<Time>,
    peers: bool,
    platform: Platform,
    /// Since when neither was reached.
    unreached: Option<Time>,
    config_fresh: bool,
}

impl Default for Reach {
    fn default() -> Self {
        Self {
            join_until: None,
            peers: true,
            platform: Platform::NeverSeen,
            unreached: None,
            config_fresh: false,
        }
    }
}

impl Reach {
    /// Begins to wait for peers.
    pub fn started(&mut self, now: Time) {
        self.join_until = Some(now + JOIN_WAIT);
    }

    /// Takes whether most peers are reached.
    pub fn set_peers(&mut self, reaches: bool) {
        self.peers = reaches;
    }

    /// Says whether most peers are reached.
    pub fn peers(&self) -> bool {
        self.peers
    }

    /// Takes whether a call to the platform was answered.
    pub fn set_platform(&mut self, answers: bool) {
        self.platform = if answers { Platform::Answers } else { Platform::Fails };
    }

    /// Says whether the last call to the platform failed.
    pub fn platform_fails(&self) -> bool {
        self.platform == Platform::Fails
    }

    /// Returns when [`Reach::judge`] may judge otherwise without an event.
    pub fn next_wakeup(&self, holds_any: bool) -> Option<Time> {
        if self.config_fresh {
            return self.unreached.map(|since| since + UNINFORMED_AFTER);
        }
        self.join_until.filter(|_| holds_any)
    }

    /// Judges anew; `latest` says that a set is held and no peer is known to hold a later one.
    ///
    /// Returns whether the daemon is informed, if that has changed.
    pub fn judge(&mut self, now: Time, latest: bool) -> Option<bool> {
        let reached = self.peers || self.platform == Platform::Answers;
        self.unreached = if reached { None } else { self.unreached.or(Some(now)) };
        self.join_until = self.join_until.filter(|&until| now < until);
        let config_fresh = if self.config_fresh {
            self.unreached.is_none_or(|since| now.since(since) < UNINFORMED_AFTER)
        } else {
            let joined = self.peers || self.join_until.is_none();
            reached && joined && latest
        };
        let changed = config_fresh != self.config_fresh;
        self.config_fresh = config_fresh;
        changed.then_some(config_fresh)
    }
}
