//! Which upstreams there are, and which of them may take new work.
//!
//! Load pattern: entries vanish together when the store was away, and singly when an upstream has
//! left without a word. A vanished entry is used no more at once, unless the store has just been
//! away: then the upstream may only have missed its heartbeat and is back within
//! [`MAX_RETURN_GRACE`]. A daemon that alone was cut off from the store learns from its peers which
//! entries have gone for good. While a service has no live upstream at all, one that vanished a moment ago
//! is still better than a refusal.

use std::time::Duration;

use dogwoodturn::{
    ids::{ServiceName, UpstreamId, VersionName},
    units::Time,
};
use indexmap::IndexMap;

use crate::store::UpstreamRecord;

/// How long after the store's return entries that lapsed meanwhile may be missing, at most:
/// upstreams write again within two seconds of it.
const MAX_RETURN_GRACE: Duration = Duration::from_millis(2000);
/// The part of the drain time for which a vanished upstream is taken for one whose entry lapsed;
/// the rest covers requests on their way.
const RETURN_GRACE_DRAIN_SHARE: f64 = 0.9;
/// The part of the drain time for which a vanished upstream serves as a last resort; it may have
/// left unannounced a while ago.
const LAST_RESORT_DRAIN_SHARE: f64 = 0.6;

/// What the store last said of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Presence {
    Listed,
    Unlisted(Time),
}

/// One upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// What it said of itself.
    pub record: UpstreamRecord,
    presence: Presence,
    /// Whether a peer says that this start of it is leaving.
    is_reported_leaving: bool,
}

/// All upstreams that are known.
#[derive(Clone, Debug)]
pub struct Directory {
    /// How long an upstream serves after its leaving was told.
    drain: Duration,
    upstreams: IndexMap<UpstreamId, Upstream>,
    is_store_unavailable: bool,
    store_back: Option<Time>,
}

impl Directory {
    /// Makes an empty directory; `drain` is how long upstreams serve after their leaving was told.
    pub fn new(drain: Duration) -> Self {
        Self { drain, upstreams: IndexMap::new(), is_store_unavailable: false, store_back: None }
    }

    /// Changes how long upstreams serve after their leaving was told.
    pub fn set_drain(&mut self, drain: Duration) {
        self.drain = drain;
    }

    fn return_grace(&self) -> Duration {
        self.drain.mul_f64(RETURN_GRACE_DRAIN_SHARE).min(MAX_RETURN_GRACE)
    }

    fn last_resort(&self) -> Duration {
        self.drain.mul_f64(LAST_RESORT_DRAIN_SHARE)
    }

    /// Takes an entry that was listed or changed; says whether it is a new start.
    pub fn set(&mut self, record: UpstreamRecord) -> bool {
        let known = self.upstreams.get(&record.id);
        let is_new = known.is_none_or(|known| known.record.started != record.started);
        let upstream = Upstream { presence: Presence::Listed, record, is_reported_leaving: false };
        self.upstreams.insert(upstream.record.id.clone(), upstream);
        is_new
    }

    /// Takes that an entry is gone.
    pub fn mark_unlisted(&mut self, now: Time, id: &str) {
        let found = self.upstreams.iter_mut().find(|(known, _)| known.as_str() == id);
        if let Some((_, upstream)) = found
            && upstream.presence == Presence::Listed
        {
            upstream.presence = Presence::Unlisted(now);
        }
    }

    /// Takes that one start of an upstream is leaving or gone, as a peer has read in the store.
    /// `is_newer` says that the peer has read more than this daemon; if not, its word counts only
    /// for an entry that is missing here too.
    pub fn apply_leaving(&mut self, id: &UpstreamId, started: u64, is_newer: bool) {
        let Some(upstream) = self.upstreams.get_mut(id) else { return };
        let is_missing = upstream.presence != Presence::Listed;
        if upstream.record.started == started && (is_newer || is_missing) {
            upstream.is_reported_leaving = true;
        }
    }

    /// Returns the starts of upstreams that are leaving or gone by the store's word, for the peers;
    /// what peers said is not passed on, so that it ends with them.
    pub fn leaving_upstreams(&self, now: Time) -> Vec<(UpstreamId, u64)> {
        let is_leaving = |upstream: &&Upstream| match upstream.presence {
            Presence::Listed => upstream.record.draining,
            Presence::Unlisted(_) => !self.is_live(now, upstream),
        };
        let leaving = self.upstreams.values().filter(is_leaving);
        leaving.map(|upstream| (upstream.record.id.clone(), upstream.record.started)).collect()
    }

    /// Takes that only these entries are listed; all others have vanished.
    pub fn retain_listed(&mut self, now: Time, listed: &[UpstreamId]) {
        let missing: Vec<_> =
            self.upstreams.keys().filter(|id| !listed.contains(id)).cloned().collect();
        for id in missing {
            self.mark_unlisted(now, id.as_str());
        }
    }

    /// Takes that the store does not answer.
    pub fn store_lost(&mut self) {
        self.is_store_unavailable = true;
    }

    /// Takes that the store answers again.
    pub fn store_regained(&mut self, now: Time) {
        if std::mem::take(&mut self.is_store_unavailable) {
            self.store_back = Some(now);
        }
    }

    /// Takes that the store answers others, and since when, if it was away.
    pub fn store_reached(&mut self, back: Option<Time>) {
        self.is_store_unavailable = false;
        self.store_back = self.store_back.max(back);
    }

    /// Returns how long ago the store came back, as long as that matters.
    pub fn store_back(&self, now: Time) -> Option<Duration> {
        let back = self.store_back.filter(|_| !self.is_store_unavailable);
        back.map(|back| now.since(back)).filter(|since| *since < self.drain)
    }

    /// Forgets upstreams that vanished so long ago that nothing can return to them.
    pub fn evict_expired(&mut self, now: Time) -> Vec<UpstreamId> {
        let is_kept = |upstream: &Upstream| match upstream.presence {
            Presence::Listed => true,
            Presence::Unlisted(at) => self.is_store_unavailable || now.since(at) < self.drain * 2,
        };
        let expired: Vec<_> =
            self.upstreams.values().filter(|u| !is_kept(u)).map(|u| u.record.id.clone()).collect();
        for id in &expired {
            self.upstreams.shift_remove(id);
        }
        expired
    }

    fn is_live(&self, now: Time, upstream: &Upstream) -> bool {
        if upstream.record.draining || upstream.is_reported_leaving {
            return false;
        }
        match upstream.presence {
            Presence::Listed => true,
            Presence::Unlisted(at) => {
                let grace = self.return_grace();
                let has_lapsed = |back: Time| now.since(back) < grace && at.since(back) < grace;
                now.since(at) < grace
                    && (self.is_store_unavailable || self.store_back.is_some_and(has_lapsed))
            }
        }
    }

    /// Returns the upstreams of a service that may take new work.
    pub fn live(&self, now: Time, service: &ServiceName) -> Vec<&Upstream> {
        let of_service = || self.upstreams.values().filter(|u| u.record.service == *service);
        let live: Vec<_> = of_service().filter(|u| self.is_live(now, u)).collect();
        if !live.is_empty() {
            return live;
        }
        let is_last_resort = |upstream: &&Upstream| {
            let is_recent = |at: Time| now.since(at) < self.last_resort();
            !upstream.record.draining
                && !upstream.is_reported_leaving
                && matches!(upstream.presence, Presence::Unlisted(at) if is_recent(at))
        };
        of_service().filter(is_last_resort).collect()
    }

    /// Returns an upstream by its id.
    pub fn get(&self, id: &UpstreamId) -> Option<&Upstream> {
        self.upstreams.get(id)
    }

    /// Returns all upstreams that are listed.
    pub fn listed(&self) -> impl Iterator<Item = &UpstreamRecord> {
        let is_listed = |upstream: &&Upstream| upstream.presence == Presence::Listed;
        self.upstreams.values().filter(is_listed).map(|upstream| &upstream.record)
    }

    /// Says whether a service has a listed upstream of a version.
    pub fn has_version(&self, service: &ServiceName, version: &VersionName) -> bool {
        let of_version =
            |r: &UpstreamRecord| r.service == *service && r.version == *version && !r.draining;
        self.listed().any(of_version)
    }
}
