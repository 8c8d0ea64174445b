//! The member list: which daemons are live, suspected, failed or have left.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{
    ids::{DaemonId, Incarnation},
    peer::{
        Member,
        message::{MemberState, Record, Suspicion},
        overlay,
    },
    units::Time,
};

/// The most other members that are kept, including those that have failed or left.
pub const MAX_MEMBERS: usize = 4_096;
/// How long the record of a failed or departed member is kept; a failed one is dialled
/// during this time.
pub const TOMBSTONE_RETENTION: Duration = Duration::from_hours(2);
/// The number of buckets by which member lists are compared.
pub const BUCKETS: usize = 32;
/// The number of neighbours whose suspicions always suffice to declare a member failed.
const SUFFICIENT_REPORTERS: usize = 3;

/// The effect of applying a record or a suspicion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// No change: it was known, outdated or not applicable.
    None,
    /// The list has changed, so the neighbours must receive it too.
    Applied,
    /// It contradicts the record of this daemon, which must refute it.
    AboutSelf,
}

#[derive(Clone, Debug)]
struct Entry {
    record: Record,
    suspected_by: IndexSet<DaemonId>,
    /// When the record was applied or, if that was later, when the member was first suspected, was
    /// declared failed or was replaced at its address.
    since: Time,
}

/// The member list of one daemon.
#[derive(Clone, Debug)]
pub struct Membership {
    own: Record,
    others: IndexMap<DaemonId, Entry>,
}

impl Membership {
    /// Creates a list with only this daemon.
    pub fn new(own: Member) -> Self {
        let own = Record { member: own, refutation: 0, state: MemberState::Live };
        Self { own, others: IndexMap::new() }
    }

    pub fn own(&self) -> &Record {
        &self.own
    }

    /// Returns the live members, including this daemon unless it is leaving.
    pub fn live_members(&self) -> impl Iterator<Item = &Member> {
        let own = std::iter::once(&self.own).filter(|own| own.state == MemberState::Live);
        let records = own.chain(self.others.values().map(|entry| &entry.record));
        records.filter(|record| record.state == MemberState::Live).map(|record| &record.member)
    }

    /// Returns another member if it is live.
    pub fn live_member(&self, daemon: &DaemonId) -> Option<&Member> {
        let entry = self.others.get(daemon)?;
        (entry.record.state == MemberState::Live).then_some(&entry.record.member)
    }

    /// Returns the members that failed without having left.
    pub fn failed_members(&self) -> impl Iterator<Item = &Member> {
        let entries = self.others.values();
        let failed = entries.filter(|entry| entry.record.state == MemberState::Failed);
        failed.map(|entry| &entry.record.member)
    }

    pub fn neighbours(&self) -> IndexSet<DaemonId> {
        let members: Vec<&Member> = self.live_members().collect();
        overlay::neighbours(&self.own.member.daemon, &members)
    }

    /// Marks this daemon as having left and returns its last record.
    pub fn leave(&mut self) -> Record {
        self.own.state = MemberState::Left;
        self.own.clone()
    }

    /// Applies a record from a peer.
    pub fn apply_record(&mut self, now: Time, record: &Record) -> Change {
        let daemon = &record.member.daemon;
        if *daemon == self.own.member.daemon {
            let supersedes_own = record.precedence() > self.own.precedence();
            return if supersedes_own { Change::AboutSelf } else { Change::None };
        }
        let is_full = self.others.len() >= MAX_MEMBERS;
        match self.others.get_mut(daemon) {
            Some(entry) if record.precedence() <= entry.record.precedence() => return Change::None,
            Some(entry) => {
                entry.record = record.clone();
                entry.suspected_by.clear();
                entry.since = now;
            }
            // An unknown daemon gets no tombstone: daemons that send it to each other in turn would
            // keep it from ever expiring.
            None if record.state != MemberState::Live => return Change::None,
            None if is_full => return Change::None,
            None => {
                let record = record.clone();
                let entry = Entry { record, suspected_by: IndexSet::new(), since: now };
                self.others.insert(daemon.clone(), entry);
            }
        }
        if record.state == MemberState::Live {
            self.replace_at_address(now, &record.member);
        }
        Change::Applied
    }

    /// Marks the previous daemon at the address of a later one as having left.
    fn replace_at_address(&mut self, now: Time, later: &Member) {
        for entry in self.others.values_mut() {
            let member = &entry.record.member;
            if member.address == later.address
                && member.daemon != later.daemon
                && member.incarnation < later.incarnation
                && entry.record.state == MemberState::Live
            {
                entry.record.state = MemberState::Left;
                entry.since = now;
            }
        }
    }

    /// Refutes a record or a suspicion about this daemon and returns its new record.
    pub fn refute(&mut self, incarnation: Incarnation, refutation: u32) -> Record {
        if incarnation > self.own.member.incarnation {
            // An earlier run under this name had a clock that was ahead.
            self.own.member.incarnation = incarnation.next();
            self.own.refutation = 0;
        } else if refutation >= self.own.refutation {
            self.own.refutation = refutation.saturating_add(1);
        }
        self.own.clone()
    }

    /// Returns this daemon's suspicion of a live member, unless it has been raised already.
    pub fn new_suspicion(&self, target: &DaemonId) -> Option<Suspicion> {
        let entry = self.others.get(target)?;
        let reporter = self.own.member.daemon.clone();
        if entry.record.state != MemberState::Live || entry.suspected_by.contains(&reporter) {
            return None;
        }
        Some(Suspicion {
            target: target.clone(),
            incarnation: entry.record.member.incarnation,
            refutation: entry.record.refutation,
            reporter,
        })
    }

    /// Applies a suspicion raised by a peer or by this daemon.
    pub fn apply_suspicion(&mut self, now: Time, suspicion: &Suspicion) -> Change {
        if suspicion.target == self.own.member.daemon {
            let reported = (suspicion.incarnation, suspicion.refutation);
            let current = (self.own.member.incarnation, self.own.refutation);
            let is_live = self.own.state == MemberState::Live;
            return if is_live && reported >= current { Change::AboutSelf } else { Change::None };
        }
        let Some(entry) = self.others.get_mut(&suspicion.target) else { return Change::None };
        let reported = (suspicion.incarnation, suspicion.refutation);
        let current = (entry.record.member.incarnation, entry.record.refutation);
        if entry.record.state != MemberState::Live
            || reported != current
            || entry.suspected_by.len() >= 2 * SUFFICIENT_REPORTERS
            || !entry.suspected_by.insert(suspicion.reporter.clone())
        {
            return Change::None;
        }
        if entry.suspected_by.len() == 1 {
            entry.since = now;
        }
        if self.has_enough_reporters(&suspicion.target) {
            self.mark_failed(now, &suspicion.target);
        }
        Change::Applied
    }

    /// Reports whether enough unsuspected reporters suspect a member: a majority of its unsuspected
    /// neighbours, or [`SUFFICIENT_REPORTERS`].
    fn has_enough_reporters(&self, target: &DaemonId) -> bool {
        let Some(entry) = self.others.get(target) else { return false };
        let members: Vec<&Member> = self.live_members().collect();
        let is_suspected =
            |id: &DaemonId| self.others.get(id).is_some_and(|entry| !entry.suspected_by.is_empty());
        let neighbours = overlay::neighbours(target, &members);
        let eligible = neighbours.iter().filter(|id| !is_suspected(id)).count();
        let required = (eligible / 2 + 1).min(SUFFICIENT_REPORTERS);
        entry.suspected_by.iter().filter(|id| !is_suspected(id)).count() >= required
    }

    fn mark_failed(&mut self, now: Time, daemon: &DaemonId) {
        if let Some(entry) = self.others.get_mut(daemon) {
            entry.record.state = MemberState::Failed;
            entry.suspected_by.clear();
            entry.since = now;
        }
    }

    /// Withdraws this daemon's suspicion of a member from which it receives packets again.
    pub fn withdraw_suspicion(&mut self, daemon: &DaemonId) {
        let own = self.own.member.daemon.clone();
        if let Some(entry) = self.others.get_mut(daemon) {
            entry.suspected_by.swap_remove(&own);
        }
    }

    /// Declares members failed that have been suspected for `timeout`, and drops the records of
    /// those that failed or left [`TOMBSTONE_RETENTION`] ago.
    ///
    /// Returns the records of the members declared failed now.
    pub fn expire(&mut self, now: Time, timeout: Duration) -> Vec<Record> {
        let is_overdue =
            |entry: &Entry| !entry.suspected_by.is_empty() && now.since(entry.since) >= timeout;
        let due = self.others.iter().filter(|(_, entry)| is_overdue(entry));
        let due: Vec<DaemonId> = due.map(|(id, _)| id.clone()).collect();
        for daemon in &due {
            self.mark_failed(now, daemon);
        }
        self.others.retain(|_, entry| {
            entry.record.state == MemberState::Live || now.since(entry.since) < TOMBSTONE_RETENTION
        });
        due.iter().filter_map(|id| Some(self.others.get(id)?.record.clone())).collect()
    }

    /// Returns the digest of the live members.
    pub fn digest(&self) -> u64 {
        self.bucket_digests().into_iter().fold(0, |sum, digest| sum ^ digest)
    }

    /// Returns the digest of the live members in each bucket.
    pub fn bucket_digests(&self) -> Vec<u64> {
        let mut digests = vec![0; BUCKETS];
        for record in self.records() {
            if record.state == MemberState::Live {
                digests[usize::from(bucket_of(&record.member.daemon))] ^= digest_of(record);
            }
        }
        digests
    }

    /// Returns all records of some buckets, including those of members that failed or left.
    pub fn bucket_records(&self, buckets: &[u8]) -> Vec<Record> {
        let is_included = |record: &&Record| buckets.contains(&bucket_of(&record.member.daemon));
        self.records().filter(is_included).cloned().collect()
    }

    fn records(&self) -> impl Iterator<Item = &Record> {
        std::iter::once(&self.own).chain(self.others.values().map(|entry| &entry.record))
    }
}

fn bucket_of(daemon: &DaemonId) -> u8 {
    (xxh3_64(daemon.as_str().as_bytes()) % BUCKETS as u64) as u8
}

fn digest_of(record: &Record) -> u64 {
    let member = &record.member;
    let run = xxh3_64_with_seed(member.daemon.as_str().as_bytes(), member.incarnation.0);
    xxh3_64_with_seed(&record.refutation.to_be_bytes(), run)
}
