//! The lease of the daemon that acts for all, kept in one object of the store.
//!
//! While a peer says that it acts, the object is not read: with many daemons, watching each renewal
//! would cost more calls than all other work. Once nobody has said so for [`SILENCE`], a daemon reads
//! the object, and takes over if it is unchanged for longer than a holder acts and the lease's
//! time has passed since the last word, on a clock that counts suspension. The holder stops acting
//! at [`ACT_SHARE`] of the lease's time after it sent its last renewal that succeeded, well before anyone may take over. The fence rises with each change of holder by a
//! conditional write, and the cloud refuses calls with a lower fence.

use std::time::Duration;

use dogwoodturn::{ids::Revision, units::Time};

use crate::store::{Fence, LeaseRecord, UsageWindow};

/// How much longer than the lease's time nobody must have said that it acts before another daemon
/// takes over: a message may have been on its way.
const EXPIRY_MARGIN: Duration = Duration::from_millis(400);
/// How long nobody must have said that it acts before the object is read, at least.
const SILENCE: Duration = Duration::from_millis(1000);
/// How much longer than a holder acts the object must not have changed since it was read.
const UNCHANGED_MARGIN: Duration = Duration::from_millis(100);
/// How often the object is read while nobody acts.
const READ_EVERY: Duration = Duration::from_millis(1000);
/// The part of the lease's time for which a holder acts after its last renewal was sent.
const ACT_SHARE: f64 = 0.73;
/// How often the holder renews; what was counted since is lost with all daemons.
const RENEW_EVERY: Duration = Duration::from_millis(400);
/// How much later the next daemon in line tries, so that they do not collide.
const STAGGER: Duration = Duration::from_millis(250);
/// How many closed windows the lease remembers.
const CLOSED_WINDOWS: usize = 3;

/// A write that the lease asks for.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseWrite {
    /// The revision that is replaced; none to create the object.
    pub expected_revision: Option<Revision>,
    /// What is written.
    pub record: LeaseRecord,
    /// When the write was decided.
    pub sent: Time,
}

/// The lease as one daemon sees it.
#[derive(Clone, Debug)]
pub struct Lease {
    me: Box<str>,
    /// The time within which two daemons must not act by turns.
    time: Duration,
    rank: u32,
    /// How long after its last message a holder may be unheard and well.
    heard_for: Duration,
    known: Option<(Revision, LeaseRecord)>,
    /// When the object was seen to change, or was read for the first time.
    changed: Time,
    /// When somebody last said that it acts.
    last_word: Time,
    last_read: Option<Time>,
    /// Whether the object does not exist, as far as is known.
    is_missing: bool,
    held_since: Option<Time>,
    acts_until: Time,
    is_writing: bool,
    to_close: Vec<UsageWindow>,
    last_write: Time,
}

impl Lease {
    /// Makes the view of a daemon that has read nothing yet. `me` names this run of the daemon,
    /// since a later run must not act under an earlier one's fence; `time` is the lease's.
    pub fn new(me: Box<str>, time: Duration, now: Time) -> Self {
        Self {
            me,
            time,
            rank: 0,
            heard_for: SILENCE,
            known: None,
            changed: now,
            last_word: now,
            last_read: None,
            is_missing: false,
            held_since: None,
            acts_until: Time::default(),
            is_writing: false,
            to_close: Vec::new(),
            last_write: Time::default(),
        }
    }

    /// Changes the lease's time.
    pub fn set_time(&mut self, time: Duration) {
        self.time = time;
    }

    /// Returns how long a holder acts after it sent its last renewal.
    fn act_for(&self) -> Duration {
        self.time.mul_f64(ACT_SHARE)
    }

    /// Sets this daemon's place in the line of successors, and how long a holder that is well may be
    /// unheard, which grows with the number of daemons.
    pub fn set_succession(&mut self, rank: u32, heard_for: Duration) {
        self.rank = rank;
        self.heard_for = heard_for.max(SILENCE);
    }

    /// Takes that a peer says that it acts.
    pub fn receive_heartbeat(&mut self, now: Time) {
        self.last_word = now;
    }

    /// Says whether the object has to be read, and takes that it is.
    pub fn poll_read(&mut self, now: Time) -> bool {
        let is_own = self.known.as_ref().is_some_and(|(_, known)| known.holder == self.me);
        let is_silent = now.since(self.last_word) >= self.heard_for + STAGGER * self.rank;
        let is_first = self.known.is_none() && !self.is_missing;
        let is_due = self.last_read.is_none_or(|at| now.since(at) >= READ_EVERY);
        let reads = is_due && (is_first || (is_silent && !is_own));
        if reads {
            self.last_read = Some(now);
        }
        reads
    }

    /// Takes that the object does not exist.
    pub fn apply_absence(&mut self) {
        self.is_missing = self.known.is_none();
    }

    /// Takes the object as the store has it.
    pub fn apply_record(&mut self, now: Time, revision: Revision, record: LeaseRecord) {
        if self.known.as_ref().is_some_and(|(known, _)| *known >= revision) {
            return;
        }
        if record.holder != self.me {
            self.held_since = None;
            self.acts_until = Time::default();
        }
        self.changed = now;
        self.known = Some((revision, record));
    }

    /// Returns the write that is due, if any.
    pub fn next_write(&mut self, now: Time) -> Option<LeaseWrite> {
        if self.is_writing {
            return None;
        }
        let (expected_revision, mut record) = match &self.known {
            None => {
                if !self.is_missing || now.since(self.changed) < STAGGER * self.rank {
                    return None;
                }
                let first =
                    LeaseRecord { holder: self.me.clone(), fence: 1, ..LeaseRecord::default() };
                (None, first)
            }
            Some((revision, known)) if known.holder == self.me => {
                let due = now.since(self.last_write) >= RENEW_EVERY || !self.to_close.is_empty();
                if !due {
                    return None;
                }
                (Some(*revision), known.clone())
            }
            Some((revision, known)) => {
                let stagger = STAGGER * self.rank;
                let unchanged = self.act_for() + UNCHANGED_MARGIN;
                let expiry = (self.time + EXPIRY_MARGIN).max(self.heard_for + unchanged);
                let is_silent = now.since(self.last_word) >= expiry + stagger;
                if !is_silent || now.since(self.changed) < unchanged + stagger {
                    return None;
                }
                let mut record = known.clone();
                record.holder = self.me.clone();
                record.fence += 1;
                (Some(*revision), record)
            }
        };
        record.renewals += 1;
        record.closed_windows.append(&mut self.to_close);
        let excess = record.closed_windows.len().saturating_sub(CLOSED_WINDOWS);
        record.closed_windows.drain(..excess);
        self.is_writing = true;
        self.last_write = now;
        Some(LeaseWrite { expected_revision, record, sent: now })
    }

    /// Returns the number of the first window that is not closed.
    pub fn first_open(&self) -> u64 {
        self.closed_windows().iter().map(|window| window.number + 1).max().unwrap_or(0)
    }

    /// Takes that a write succeeded.
    pub fn confirm_write(&mut self, now: Time, revision: Revision, write: LeaseWrite) {
        self.is_writing = false;
        let newer = self.known.as_ref().is_some_and(|(known, _)| *known > revision);
        if newer {
            return;
        }
        self.known = Some((revision, write.record));
        self.changed = now;
        self.held_since.get_or_insert(now);
        self.acts_until = write.sent + self.act_for();
    }

    /// Takes that a write failed or that its outcome is unknown; the object has to be read again.
    pub fn write_failed(&mut self) {
        self.is_writing = false;
    }

    /// Returns the fence while this daemon may act.
    pub fn fence(&self, now: Time) -> Option<Fence> {
        let (_, record) = self.known.as_ref()?;
        let acts = record.holder == self.me && self.held_since.is_some() && now < self.acts_until;
        acts.then(|| Fence { holder: self.me.clone(), number: record.fence })
    }

    /// Says whether a window was closed, by this holder or an earlier one.
    pub fn closed_windows(&self) -> &[UsageWindow] {
        self.known.as_ref().map_or(&[], |(_, record)| &record.closed_windows)
    }

    /// Asks to record the counts of a window before they are sent.
    pub fn close_window(&mut self, window: UsageWindow) {
        if self.to_close.iter().all(|asked| asked.number != window.number) {
            self.to_close.push(window);
        }
    }
}
