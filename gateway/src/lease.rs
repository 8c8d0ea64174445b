//! The lease of the leader, the daemon that acts for all, stored in one object of the store.
//!
//! While a peer reports that it is the leader, the object is not read: with many daemons, watching
//! each renewal would cost more calls than all other work. After [`MIN_SILENCE`] or more without
//! such a report, a daemon reads the object. It takes over if the object has been unchanged for
//! longer than a holder acts, and if the lease duration has passed since the last report, on a
//! clock that includes suspension. The holder stops acting at [`VALIDITY_SHARE`] of the lease
//! duration after it sent its last successful renewal, well before another daemon may take over.
//! The fence rises with each change of holder by a conditional write. A holder that returns sends no call
//! before the lease duration has passed since it could last send one, so that two daemons never act by
//! turns; fences do not prevent that, since each of them is higher than the last. A cloud may refuse
//! calls with a lower fence. Where it does not, one more rule keeps calls in the order of their fences,
//! since a call may arrive later than it was sent, at most by [`MAX_CALL_DELAY`]: a new holder sends none
//! before the calls of the one before it have arrived. See `docs/promises.md`.
//!
//! After a restore of the store, the object is of an earlier era, and later holders and fences may be missing from
//! it. No daemon acts on it. The daemon that held the lease acquires it again at once, others after the usual
//! wait, with a fence whose high bits are the era, so that it exceeds all earlier ones. See
//! `docs/design/store-eras.md`.

use std::time::Duration;

use dogwoodturn::{ids::Era, units::Time};

use crate::store::{Fence, LeaseRecord, Permit, StoreRevision, UsageWindow};

/// The time after the end of a permit by which all calls sent under it have arrived or never will. The
/// client of the cloud keeps it.
pub const MAX_CALL_DELAY: Duration = Duration::from_millis(500);

/// Time without a heartbeat, in addition to the lease duration, after which another daemon may take
/// over; covers messages in transit.
const EXPIRY_MARGIN: Duration = Duration::from_millis(400);
/// Least time without a heartbeat after which the object is read.
const MIN_SILENCE: Duration = Duration::from_millis(1000);
/// Time for which the object must not have changed before a takeover, in addition to the time for
/// which a holder acts.
const UNCHANGED_MARGIN: Duration = Duration::from_millis(100);
/// Interval of reads while there is no heartbeat.
const READ_INTERVAL: Duration = Duration::from_millis(1000);
/// Share of the lease duration for which a holder acts after it sent its last renewal.
const VALIDITY_SHARE: f64 = 0.73;
/// Interval of renewals, which also store the usage counts; counts since the last renewal are lost
/// if all daemons are lost.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(400);
/// Delay between daemons of consecutive ranks, so that they do not write at the same time.
const RANK_STAGGER: Duration = Duration::from_millis(250);
/// Closed usage windows that the record keeps.
const MAX_CLOSED_WINDOWS: usize = 3;
/// Bits of a fence below those of the era: more than the revisions of any era need.
const REVISION_BITS: u32 = 32;

/// A write that is due.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseWrite {
    /// The revision that is replaced; `None` to create the object.
    pub expected_revision: Option<StoreRevision>,
    /// The era in which the write was decided.
    pub era: Era,
    pub record: LeaseRecord,
    /// When the write was decided.
    pub decided_at: Time,
}

/// One daemon's view of the lease.
#[derive(Clone, Debug)]
pub struct Lease {
    own_id: Box<str>,
    /// The lease duration, within which leadership must not alternate between two daemons.
    duration: Duration,
    rank: u32,
    /// Time for which a healthy holder may send no message that arrives.
    silence_timeout: Duration,
    /// The era of the store.
    era: Era,
    stored: Option<(StoreRevision, LeaseRecord)>,
    /// The record that this daemon held at a restore of the store, until the lease is acquired again.
    held_record: Option<LeaseRecord>,
    /// The usage window in which requests begin to run now.
    open_window: u64,
    /// When the object was seen to change, or was read for the first time.
    changed_at: Time,
    /// When a peer last reported that it is the leader, or the start.
    last_heartbeat: Time,
    /// Whether a peer has reported that it is the leader.
    has_heartbeat: bool,
    /// When the object may be read for the first time, unless there is a heartbeat before.
    first_read_at: Time,
    last_read_at: Option<Time>,
    /// Whether the object does not exist, as far as is known.
    is_missing: bool,
    held_since: Option<Time>,
    valid_until: Time,
    /// Whether the cloud refuses calls with a lower fence than it has seen.
    checks_fences: bool,
    /// When this daemon may last have sent a call before another one held the lease.
    sent_until: Option<Time>,
    /// When it may last have sent a call in an earlier era, until the lease is acquired again.
    sent_before_era: Option<Time>,
    is_write_pending: bool,
    /// The windows that this daemon has closed and that the object is not known to contain, the oldest first.
    pending_windows: Vec<UsageWindow>,
    last_write_at: Time,
}

impl Lease {
    /// Creates the view of a daemon that has not read the object. `own_id` identifies this run of
    /// the daemon, since a later run must not act under the fence of an earlier one.
    pub fn new(own_id: Box<str>, duration: Duration, now: Time) -> Self {
        Self {
            own_id,
            duration,
            rank: 0,
            silence_timeout: MIN_SILENCE,
            era: Era::default(),
            stored: None,
            held_record: None,
            open_window: 0,
            changed_at: now,
            last_heartbeat: now,
            has_heartbeat: false,
            first_read_at: now,
            last_read_at: None,
            is_missing: false,
            held_since: None,
            valid_until: Time::default(),
            checks_fences: false,
            sent_until: None,
            sent_before_era: None,
            is_write_pending: false,
            pending_windows: Vec::new(),
            last_write_at: Time::default(),
        }
    }

    /// Changes the lease duration, and whether the cloud checks fences.
    pub fn set_bounds(&mut self, duration: Duration, checks_fences: bool) {
        self.duration = duration;
        self.checks_fences = checks_fences;
    }

    /// Returns the time for which a holder acts after it sent its last renewal.
    fn validity(&self) -> Duration {
        self.duration.mul_f64(VALIDITY_SHARE)
    }

    /// Sets this daemon's rank among the successors, and the time for which a healthy holder may be
    /// silent, which grows with the number of daemons.
    pub fn set_succession(&mut self, rank: u32, silence_timeout: Duration) {
        self.rank = rank;
        self.silence_timeout = silence_timeout.max(MIN_SILENCE);
    }

    /// Sets the usage window in which requests begin to run now.
    pub fn set_open_window(&mut self, number: u64) {
        self.open_window = number;
    }

    /// Records a new era of the store, which invalidates the object as it was read. If this daemon held the
    /// lease, returns the number of closed windows that it will write again.
    pub fn begin_era(&mut self, now: Time, era: Era) -> Option<usize> {
        let is_held = self.fence(now).is_some();
        self.era = era;
        let stored = self.stored.take().map(|(_, record)| record);
        match stored.filter(|_| is_held) {
            Some(mut record) => {
                record.closed_windows.append(&mut self.pending_windows);
                self.pending_windows.clone_from(&record.closed_windows);
                self.held_record = Some(record);
            }
            // The lease has not been acquired again since the restore before this one.
            None if self.held_record.is_some() => {}
            None => self.pending_windows.clear(),
        }
        if self.held_since.take().is_some() {
            self.sent_before_era = Some(self.valid_until.min(now));
        }
        self.valid_until = Time::default();
        self.changed_at = now;
        self.last_read_at = None;
        self.is_missing = false;
        self.is_write_pending = false;
        self.held_record.as_ref().map(|_| self.pending_windows.len())
    }

    /// Records that a peer reports to be the leader.
    pub fn receive_heartbeat(&mut self, now: Time) {
        self.last_heartbeat = now;
        self.has_heartbeat = true;
        // The leader has created the object.
        self.is_missing = false;
    }

    /// Sets when the object may be read for the first time.
    pub fn set_first_read(&mut self, at: Time) {
        self.first_read_at = at;
    }

    /// Reports whether the object has to be read, and if so, records the read.
    pub fn poll_read(&mut self, now: Time) -> bool {
        let is_own = self.stored.as_ref().is_some_and(|(_, stored)| stored.holder == self.own_id);
        let is_silent =
            now.since(self.last_heartbeat) >= self.silence_timeout + RANK_STAGGER * self.rank;
        let is_unknown = self.stored.is_none()
            && !self.is_missing
            && (!self.has_heartbeat || self.held_record.is_some());
        let is_first = is_unknown && now >= self.first_read_at;
        let is_due = self.last_read_at.is_none_or(|at| now.since(at) >= READ_INTERVAL);
        let should_read = is_due && (is_first || (is_silent && !is_own));
        if should_read {
            self.last_read_at = Some(now);
        }
        should_read
    }

    /// Records that the object does not exist.
    pub fn apply_absence(&mut self, era: Era) {
        if era >= self.era {
            self.is_missing = self.stored.is_none();
        }
    }

    /// Applies the object as read from the store.
    pub fn apply_record(&mut self, now: Time, revision: StoreRevision, record: LeaseRecord) {
        if revision.era > self.era {
            self.begin_era(now, revision.era);
        }
        if revision.era < self.era
            || self.stored.as_ref().is_some_and(|(stored, _)| *stored >= revision)
        {
            return;
        }
        if record.era == self.era {
            // Another daemon has acquired the lease in this era.
            self.held_record = None;
        }
        if record.holder != self.own_id && record.era == self.era {
            let sent_until = self.held_since.take().map(|_| self.valid_until.min(now));
            if let Some(at) = sent_until.or(self.sent_before_era.take()) {
                self.sent_until = Some(at);
                self.valid_until = Time::default();
            }
        }
        self.changed_at = now;
        self.set_stored(revision, record);
    }

    /// Sets the object as it is in the store, and discards the own windows that it contains or that are
    /// older, which another holder may have closed with other counts.
    fn set_stored(&mut self, revision: StoreRevision, record: LeaseRecord) {
        let newest_closed = newest_window(&record.closed_windows);
        let first = record.first_window;
        self.pending_windows
            .retain(|window| window.number >= first && Some(window.number) > newest_closed);
        self.stored = Some((revision, record));
    }

    /// Returns the write that is due, if any.
    pub fn next_write(&mut self, now: Time) -> Option<LeaseWrite> {
        if self.is_write_pending {
            return None;
        }
        let (expected_revision, mut record) = match &self.stored {
            None => {
                // A restored store may lack the object although its holder still acts.
                let was_held = self.has_heartbeat && self.held_record.is_none();
                let act =
                    if was_held { self.validity() + UNCHANGED_MARGIN } else { Duration::ZERO };
                let delay = RANK_STAGGER * self.rank + act;
                let is_due = self.held_record.is_some() || now.since(self.changed_at) >= delay;
                if !self.is_missing || !is_due {
                    return None;
                }
                (None, self.acquire(LeaseRecord::default(), None))
            }
            Some((revision, stored)) if self.held_record.is_some() => {
                (Some(*revision), self.acquire(stored.clone(), Some(*revision)))
            }
            Some((revision, stored)) if stored.holder == self.own_id && stored.era == self.era => {
                let is_renewal_due = now.since(self.last_write_at) >= RENEWAL_INTERVAL
                    || !self.pending_windows.is_empty();
                if !is_renewal_due {
                    return None;
                }
                (Some(*revision), stored.clone())
            }
            Some((revision, stored)) => {
                let stagger = RANK_STAGGER * self.rank;
                let unchanged = self.validity() + UNCHANGED_MARGIN;
                let expiry = (self.duration + EXPIRY_MARGIN).max(self.silence_timeout + unchanged);
                let is_silent = now.since(self.last_heartbeat) >= expiry + stagger;
                if !is_silent || now.since(self.changed_at) < unchanged + stagger {
                    return None;
                }
                (Some(*revision), self.acquire(stored.clone(), Some(*revision)))
            }
        };
        record.renewals += 1;
        // They stay pending until the object contains them: the outcome of the write may remain unknown, and
        // a window must not be closed a second time with other counts.
        record.closed_windows.extend(self.pending_windows.iter().cloned());
        let excess = record.closed_windows.len().saturating_sub(MAX_CLOSED_WINDOWS);
        record.closed_windows.drain(..excess);
        self.is_write_pending = true;
        self.last_write_at = now;
        Some(LeaseWrite { expected_revision, era: self.era, record, decided_at: now })
    }

    /// Returns the record by which this daemon acquires the lease from that of another holder, or of an
    /// earlier era, at `revision`.
    fn acquire(&self, stored: LeaseRecord, revision: Option<StoreRevision>) -> LeaseRecord {
        let mut fence = stored.fence + 1;
        let is_of_era = revision.is_some() && stored.era == self.era;
        let mut first_window = stored.first_window;
        if !is_of_era && self.era > Era::default() {
            // Each acquisition in an era replaces a later revision, so that no fence is given out twice.
            let replaced = revision.map_or(0, |at| at.revision.0);
            fence = fence.max((self.era.0 << REVISION_BITS).saturating_add(replaced));
            first_window = match &self.held_record {
                Some(held) => held.first_window,
                None => self.open_window,
            };
        }
        if let Some(held) = &self.held_record {
            fence = fence.max(held.fence + 1);
        }
        LeaseRecord { holder: self.own_id.clone(), fence, era: self.era, first_window, ..stored }
    }

    /// Returns the number of the first window that is not closed.
    pub fn first_open_window(&self) -> u64 {
        let first = self.stored.as_ref().map_or(0, |(_, record)| record.first_window);
        newest_window(self.closed_windows()).map_or(0, |newest| newest + 1).max(first)
    }

    /// Records that a write succeeded.
    ///
    /// A write that the store performed in another era than it was decided in does not count: the object that
    /// it replaced was another one.
    pub fn confirm_write(&mut self, now: Time, revision: StoreRevision, write: LeaseWrite) {
        if write.era != self.era || revision.era != self.era {
            return;
        }
        self.is_write_pending = false;
        let is_newer = self.stored.as_ref().is_some_and(|(stored, _)| *stored > revision);
        if is_newer {
            return;
        }
        self.set_stored(revision, write.record);
        self.held_record = None;
        self.changed_at = now;
        self.held_since.get_or_insert(now);
        self.valid_until = write.decided_at + self.validity();
    }

    /// Records that a write failed or that its outcome is unknown; the object has to be read again.
    pub fn record_write_failure(&mut self, write: &LeaseWrite) {
        if write.era == self.era {
            self.is_write_pending = false;
        }
    }

    /// Returns the fence while this daemon may act.
    pub fn fence(&self, now: Time) -> Option<Fence> {
        let (_, record) = self.stored.as_ref()?;
        let is_valid = record.holder == self.own_id
            && record.era == self.era
            && self.held_since.is_some()
            && now < self.valid_until;
        is_valid.then(|| Fence { holder: self.own_id.clone(), number: record.fence })
    }

    /// Returns the permission to send calls to the cloud, if this daemon may send one now.
    pub fn permit(&self, now: Time) -> Option<Permit> {
        let fence = self.fence(now)?;
        let after_return = self.sent_until.map(|at| at + MAX_CALL_DELAY + self.duration);
        let after_predecessor =
            if self.checks_fences { None } else { Some(self.held_since? + MAX_CALL_DELAY) };
        if after_return.max(after_predecessor).is_some_and(|at| now < at) {
            return None;
        }
        Some(Permit { fence, not_after: self.valid_until })
    }

    /// Returns the recently closed windows, which this holder or an earlier one closed.
    pub fn closed_windows(&self) -> &[UsageWindow] {
        self.stored.as_ref().map_or(&[], |(_, record)| &record.closed_windows)
    }

    /// Reports whether a window or a later one is closed, in the object or by this daemon.
    pub fn is_closed(&self, number: u64) -> bool {
        let newest = newest_window(self.closed_windows()).max(newest_window(&self.pending_windows));
        let first = self.stored.as_ref().map_or(0, |(_, record)| record.first_window);
        number < first || newest.is_some_and(|newest| newest >= number)
    }

    /// Schedules the counts of a window to be recorded before they are sent, unless it is closed already.
    pub fn close_window(&mut self, window: UsageWindow) {
        if !self.is_closed(window.number) {
            self.pending_windows.push(window);
        }
    }
}

fn newest_window(windows: &[UsageWindow]) -> Option<u64> {
    windows.iter().map(|window| window.number).max()
}
