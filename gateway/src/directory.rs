//! The known upstreams, and which of them accept new work.
//!
//! Load pattern: entries disappear together when the store was unavailable, and singly when an
//! upstream has stopped without notice. An upstream whose entry disappears is not used from then
//! on, unless the store has just been unavailable: then the upstream may only have missed its
//! heartbeat and returns within [`MAX_RETURN_GRACE`]. A daemon that alone was disconnected from the
//! store learns from its peers which entries are gone permanently. While a service has no live
//! upstream at all, one that disappeared a moment ago is still better than a refusal.

use std::time::Duration;

use dogwoodturn::{
    ids::{DataCentre, ServiceName, UpstreamId, VersionName},
    units::Time,
};
use indexmap::{IndexMap, IndexSet};

use crate::{
    leaving::{LeavingStatements, Source, StatementWire},
    settings::DEFAULT_CONTACT,
    store::UpstreamRecord,
};

/// Time after the store's return for which entries that lapsed in the meantime may be missing;
/// upstreams write them again within two seconds.
const MAX_RETURN_GRACE: Duration = Duration::from_millis(2000);
/// Share of the drain time for which a missing entry is presumed to have lapsed; the rest covers
/// requests in transit.
const RETURN_GRACE_DRAIN_SHARE: f64 = 0.9;
/// Share of the drain time for which an unlisted upstream serves as a last resort, since it may
/// have stopped some time before its entry disappeared.
const LAST_RESORT_DRAIN_SHARE: f64 = 0.6;

/// Time after the store's restore from a backup for which upstreams that had disappeared get no work. Entries
/// without an upstream lapse within a few heartbeats.
const DEPARTED_HOLD: Duration = Duration::from_secs(10);
/// Time for which upstreams that have disappeared are remembered, longer than the age of a backup.
const DEPARTED_MEMORY: Duration = Duration::from_secs(60);

/// Whether the store lists an upstream, or since when it does not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Presence {
    Listed,
    Unlisted(Time),
}

#[derive(Clone, Debug)]
pub struct Upstream {
    /// The upstream's own record.
    pub record: UpstreamRecord,
    presence: Presence,
    /// Whether a peer reports that this start of the upstream is leaving.
    is_reported_leaving: bool,
    /// Whether this start of the upstream has said in a response that it leaves.
    has_said_leaving: bool,
    /// Whether this start of the upstream had announced that it is leaving when the store was last restored. A
    /// backup may still list it as ready.
    had_left: bool,
    /// Until when it gets no work, since it had disappeared when the store was restored from a backup. Its entry
    /// lapses by then unless it is live.
    held_until: Option<Time>,
}

impl Upstream {
    /// Reports whether it has announced, in the store or in a response, that it leaves.
    pub fn is_leaving(&self) -> bool {
        self.record.draining || self.has_said_leaving
    }

    /// Reports whether it is known to have left, even if the store lists it.
    fn has_left(&self, now: Time) -> bool {
        self.record.draining
            || self.is_reported_leaving
            || self.has_said_leaving
            || self.had_left
            || self.held_until.is_some_and(|until| now < until)
    }
}

#[derive(Clone, Debug)]
pub struct Directory {
    /// Time for which an upstream serves after it announced that it is leaving.
    drain: Duration,
    upstreams: IndexMap<UpstreamId, Upstream>,
    /// The data centres that an operator has evacuated.
    evacuated: IndexSet<DataCentre>,
    /// Time after a disruption of the store after which its answers count.
    contact: Duration,
    is_store_unavailable: bool,
    /// When the last call began that the store did not answer.
    store_lost_at: Option<Time>,
    /// When the store last answered any call.
    last_answer: Option<Time>,
    /// When the store last became reachable again.
    store_recovered_at: Option<Time>,
    /// When the store was last restored from a backup.
    restored_at: Option<Time>,
    leaving_statements: LeavingStatements,
    /// The upstreams that were removed lately, each with its start and when.
    departed: IndexMap<UpstreamId, (u64, Time)>,
}

impl Directory {
    /// `drain` is the time for which upstreams serve after they announced that they are leaving.
    pub fn new(drain: Duration) -> Self {
        Self {
            drain,
            upstreams: IndexMap::new(),
            evacuated: IndexSet::new(),
            contact: DEFAULT_CONTACT,
            is_store_unavailable: false,
            store_lost_at: None,
            last_answer: None,
            store_recovered_at: None,
            restored_at: None,
            leaving_statements: LeavingStatements::default(),
            departed: IndexMap::new(),
        }
    }

    /// Changes the drain time, and the time after a disruption of the store after which its answers count.
    pub fn set_bounds(&mut self, drain: Duration, contact: Duration) {
        self.drain = drain;
        self.contact = contact;
    }

    fn return_grace(&self) -> Duration {
        self.drain.mul_f64(RETURN_GRACE_DRAIN_SHARE).min(MAX_RETURN_GRACE)
    }

    fn last_resort_period(&self) -> Duration {
        self.drain.mul_f64(LAST_RESORT_DRAIN_SHARE)
    }

    /// Adds or replaces an entry. Returns whether the upstream is new or has restarted.
    pub fn set(&mut self, record: UpstreamRecord) -> bool {
        let existing = self.upstreams.get(&record.id);
        let same_start = existing.filter(|existing| existing.record.started == record.started);
        let is_new = same_start.is_none();
        let departed = self.departed.get(&record.id);
        let departed = departed.filter(|(started, _)| *started == record.started);
        let start = (record.id.clone(), record.started);
        let upstream = Upstream {
            presence: Presence::Listed,
            is_reported_leaving: false,
            has_said_leaving: self.leaving_statements.contains(&start),
            had_left: same_start.is_some_and(|upstream| upstream.had_left),
            held_until: match (same_start, departed, self.restored_at) {
                (Some(upstream), ..) => upstream.held_until,
                (None, Some((_, at)), Some(restored)) if *at < restored => {
                    Some(restored + DEPARTED_HOLD)
                }
                _ => None,
            },
            record,
        };
        self.upstreams.insert(upstream.record.id.clone(), upstream);
        is_new
    }

    /// Records that the store has been restored from a backup, and returns how many upstreams had left by then. The
    /// backup may list them as ready, and may lack entries that their upstreams are about to write again.
    pub fn begin_era(&mut self, now: Time) -> usize {
        let (grace, recovered_at) = (self.return_grace(), self.store_recovered_at);
        let may_have_lapsed = |at: Time| {
            recovered_at.is_some_and(|recovered| at >= recovered && at.since(recovered) < grace)
        };
        let mut departed = 0;
        for upstream in self.upstreams.values_mut() {
            let is_gone = match upstream.presence {
                Presence::Listed => false,
                Presence::Unlisted(at) => !may_have_lapsed(at),
            };
            upstream.had_left |= upstream.record.draining;
            if is_gone {
                upstream.held_until = Some(now + DEPARTED_HOLD);
            }
            departed += usize::from(is_gone || upstream.had_left);
        }
        self.restored_at = Some(now);
        self.store_recovered_at = Some(now);
        departed
    }

    /// Records that the store no longer lists an entry.
    pub fn mark_unlisted(&mut self, now: Time, id: &str) {
        let found = self.upstreams.iter_mut().find(|(existing, _)| existing.as_str() == id);
        if let Some((_, upstream)) = found
            && upstream.presence == Presence::Listed
        {
            upstream.presence = Presence::Unlisted(now);
        }
    }

    /// Applies a peer's report that one start of an upstream is leaving or gone. `is_newer` states
    /// that the peer has read more of the store than this daemon; otherwise the report counts only
    /// for an entry that is missing here too.
    pub fn apply_leaving(&mut self, id: &UpstreamId, started: u64, is_newer: bool) {
        let Some(upstream) = self.upstreams.get_mut(id) else { return };
        let is_missing = upstream.presence != Presence::Listed;
        if upstream.record.started == started && (is_newer || is_missing) {
            upstream.is_reported_leaving = true;
        }
    }

    /// Records that one start of an upstream has said that it leaves, and returns whether that is new.
    pub fn record_leaving_statement(
        &mut self,
        now: Time,
        start: &StatementWire,
        source: Source,
    ) -> bool {
        let (id, started) = start;
        let known = self.upstreams.get_mut(id).filter(|known| known.record.started == *started);
        if known.is_none() && self.leaving_statements.is_full() {
            return false;
        }
        if let Some(known) = known {
            known.has_said_leaving = true;
        }
        self.leaving_statements.record(now, start.clone(), source)
    }

    /// Returns the latest statements from responses to this daemon, for its state message.
    pub fn leaving_statements(&self) -> Vec<StatementWire> {
        self.leaving_statements.reports()
    }

    /// Returns statements to broadcast, each one time. There may be more.
    pub fn take_leaving_news(&mut self) -> Vec<StatementWire> {
        self.leaving_statements.take_news()
    }

    /// Returns the starts of upstreams that are leaving or gone according to the store, to be sent
    /// to the peers. Peers' reports are not forwarded, so that they end with the reporting peer.
    pub fn leaving_upstreams(&self, now: Time) -> Vec<(UpstreamId, u64)> {
        let is_leaving = |upstream: &&Upstream| match upstream.presence {
            Presence::Listed => upstream.record.draining || upstream.had_left,
            Presence::Unlisted(_) => !self.is_live(now, upstream),
        };
        let leaving = self.upstreams.values().filter(is_leaving);
        leaving.map(|upstream| (upstream.record.id.clone(), upstream.record.started)).collect()
    }

    /// Records that the store lists only these entries.
    pub fn retain_listed(&mut self, now: Time, listed: &[UpstreamId]) {
        let missing: Vec<_> =
            self.upstreams.keys().filter(|id| !listed.contains(id)).cloned().collect();
        for id in missing {
            self.mark_unlisted(now, id.as_str());
        }
    }

    /// Records that the store did not answer a call that began at `since`. If it has answered another one
    /// since then, it was available, and only the answer to this call was lost.
    pub fn record_store_lost(&mut self, since: Time) {
        if self.last_answer.is_none_or(|answer| answer <= since) {
            self.is_store_unavailable = true;
            self.store_lost_at = Some(since);
        }
    }

    /// Records that the store answered a call.
    pub fn record_store_regained(&mut self, now: Time) {
        self.last_answer = Some(now);
        if std::mem::take(&mut self.is_store_unavailable) {
            self.store_recovered_at = Some(now);
        }
    }

    /// Records that the store responds to other daemons, and since when, if it was unavailable.
    pub fn record_store_reachable(&mut self, recovered_at: Option<Time>) {
        self.is_store_unavailable = false;
        self.store_recovered_at = self.store_recovered_at.max(recovered_at);
    }

    /// Returns the time since the store became reachable again, if that is within the drain time.
    pub fn since_store_recovery(&self, now: Time) -> Option<Duration> {
        let recovered_at = self.store_recovered_at.filter(|_| !self.is_store_unavailable);
        recovered_at.map(|recovered| now.since(recovered)).filter(|since| *since < self.drain)
    }

    /// Removes and returns the upstreams that have been unlisted for twice the drain time, after
    /// which none can return; none is removed while the store is unavailable.
    pub fn evict_expired(&mut self, now: Time) -> Vec<UpstreamId> {
        let is_kept = |upstream: &Upstream| match upstream.presence {
            Presence::Listed => true,
            Presence::Unlisted(at) => self.is_store_unavailable || now.since(at) < self.drain * 2,
        };
        let expired: Vec<_> =
            self.upstreams.values().filter(|u| !is_kept(u)).map(|u| u.record.id.clone()).collect();
        for id in &expired {
            if let Some(upstream) = self.upstreams.shift_remove(id) {
                self.departed.insert(id.clone(), (upstream.record.started, now));
            }
        }
        self.departed.retain(|_, (_, at)| now.since(*at) < DEPARTED_MEMORY);
        let upstreams = &self.upstreams;
        self.leaving_statements.expire(now, |(id, started)| {
            upstreams.get(id).is_some_and(|upstream| upstream.record.started == *started)
        });
        expired
    }

    /// Reports whether an upstream accepts new work.
    pub fn is_live(&self, now: Time, upstream: &Upstream) -> bool {
        if upstream.has_left(now) {
            return false;
        }
        match upstream.presence {
            Presence::Listed => true,
            Presence::Unlisted(at) => {
                let grace = self.return_grace();
                // The store may have returned long before it was found to be back.
                let is_certain =
                    self.store_lost_at.is_some_and(|lost| now >= lost + self.contact + grace);
                let has_lapsed = |recovered: Time| {
                    now.since(recovered) < grace && at.since(recovered) < grace && !is_certain
                };
                now.since(at) < grace
                    && (self.is_store_unavailable
                        || self.store_recovered_at.is_some_and(has_lapsed))
            }
        }
    }

    /// Records that an operator has evacuated a data centre, and returns whether that is new.
    pub fn evacuate(&mut self, data_centre: DataCentre) -> bool {
        self.evacuated.insert(data_centre)
    }

    /// Records that a data centre is no longer evacuated, and returns whether it was.
    pub fn end_evacuation(&mut self, data_centre: &DataCentre) -> bool {
        self.evacuated.shift_remove(data_centre)
    }

    pub fn evacuated(&self) -> &IndexSet<DataCentre> {
        &self.evacuated
    }

    /// Returns the listed upstreams in a data centre.
    pub fn listed_in<'a>(
        &'a self,
        data_centre: &'a DataCentre,
    ) -> impl Iterator<Item = &'a UpstreamRecord> {
        self.listed().filter(|record| record.data_centre == *data_centre)
    }

    /// Returns the upstreams of a service that accept new work. No upstream of an evacuated data centre
    /// does, even if there is no other.
    pub fn live(&self, now: Time, service: &ServiceName) -> Vec<&Upstream> {
        let of_service = || {
            self.upstreams.values().filter(|u| {
                u.record.service == *service && !self.evacuated.contains(&u.record.data_centre)
            })
        };
        let live: Vec<_> = of_service().filter(|u| self.is_live(now, u)).collect();
        if !live.is_empty() {
            return live;
        }
        of_service().filter(|upstream| self.is_last_resort(now, upstream)).collect()
    }

    /// Reports whether an upstream may serve while its service has no other.
    fn is_last_resort(&self, now: Time, upstream: &Upstream) -> bool {
        let is_recent = |at: Time| now.since(at) < self.last_resort_period();
        !upstream.has_left(now)
            && matches!(upstream.presence, Presence::Unlisted(at) if is_recent(at))
    }

    /// Reports whether a request may be sent to an upstream that was selected for it earlier.
    pub fn may_get_work(&self, now: Time, upstream: &Upstream) -> bool {
        !self.evacuated.contains(&upstream.record.data_centre)
            && (self.is_live(now, upstream) || self.is_last_resort(now, upstream))
    }

    pub fn get(&self, id: &UpstreamId) -> Option<&Upstream> {
        self.upstreams.get(id)
    }

    /// Returns the records of the upstreams that the store lists.
    pub fn listed(&self) -> impl Iterator<Item = &UpstreamRecord> {
        let is_listed = |upstream: &&Upstream| upstream.presence == Presence::Listed;
        self.upstreams.values().filter(is_listed).map(|upstream| &upstream.record)
    }

    /// Returns the records of the listed upstreams of a service that have not announced that they leave.
    pub fn staying<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a UpstreamRecord> {
        let is_staying = |upstream: &&Upstream| {
            upstream.record.service == *service
                && upstream.presence == Presence::Listed
                && !upstream.is_leaving()
        };
        self.upstreams.values().filter(is_staying).map(|upstream| &upstream.record)
    }

    /// Reports whether a service has a listed upstream of a version that stays.
    pub fn has_version(&self, service: &ServiceName, version: &VersionName) -> bool {
        self.staying(service).any(|record| record.version == *version)
    }
}
