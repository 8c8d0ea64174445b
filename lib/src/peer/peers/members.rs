//! What the peer slice does about members: accusations, records, and comparison of the lists.

use crate::{
    ids::DaemonId,
    peer::{
        Member,
        links::LinkId,
        membership::Change,
        message::{Accusation, Frame, Record, Standing},
        peers::{ACCUSED_BEATS, DIFFER_BEATS, Effect, Peers},
    },
    units::Time,
};

impl Peers {
    pub(super) fn accuse(&mut self, now: Time, peer: &DaemonId) {
        if let Some(accusation) = self.membership.accusation(peer) {
            self.take_accusation(now, None, &accusation);
        }
    }

    pub(super) fn take_accusation(
        &mut self,
        now: Time,
        from: Option<LinkId>,
        accusation: &Accusation,
    ) {
        match self.membership.accuse(now, accusation) {
            Change::None => {}
            Change::News => {
                self.changed = true;
                self.spread(from, &Frame::Accuse(accusation.clone()));
            }
            Change::AboutSelf => {
                let own = self.membership.refute(accusation.incarnation, accusation.refutation);
                self.changed = true;
                self.spread(None, &Frame::Records(vec![own]));
            }
        }
    }

    pub(super) fn take_record(&mut self, now: Time, from: LinkId, record: &Record) {
        match self.membership.take(now, record) {
            Change::News => {
                self.changed = true;
                self.spread(Some(from), &Frame::Records(vec![record.clone()]));
            }
            Change::AboutSelf if self.membership.own().standing == Standing::Live => {
                let own = self.membership.refute(record.member.incarnation, record.refutation);
                self.changed = true;
                self.spread(None, &Frame::Records(vec![own]));
            }
            Change::None | Change::AboutSelf => {}
        }
    }

    pub(super) fn expire_members(&mut self, now: Time) {
        let went = self.membership.expire(now, self.beats(ACCUSED_BEATS));
        if !went.is_empty() {
            self.changed = true;
            self.spread(None, &Frame::Records(went));
        }
    }

    pub(super) fn compare_members(&mut self, now: Time) {
        let patience = self.beats(DIFFER_BEATS);
        let (own, digest) = (self.own().clone(), self.digest);
        let mut differing = Vec::new();
        for (id, link) in self.links.open_mut() {
            if link.beat.members == digest || !link.beating {
                link.differs = None;
                continue;
            }
            let since = *link.differs.get_or_insert(now);
            // One end asks at once and the other only if that did not help.
            let patience = if own < link.peer { patience } else { patience * 2 };
            if now.since(since) >= patience {
                link.differs = None;
                differing.push(id);
            }
        }
        for id in differing {
            self.ask_to_compare(id);
        }
    }

    pub(super) fn ask_to_compare(&mut self, id: LinkId) {
        let digests = self.membership.bucket_digests();
        if let Some(link) = self.links.get_mut(id) {
            link.frames.push(Frame::Compare(digests));
        }
    }

    pub(super) fn compared(&mut self, id: LinkId, theirs: &[u64]) {
        let own = self.membership.bucket_digests();
        if theirs.len() != own.len() {
            return;
        }
        let differ = (0..own.len()).filter(|&bucket| own[bucket] != theirs[bucket]);
        let differ: Vec<u8> = differ.map(|bucket| bucket as u8).collect();
        if differ.is_empty() {
            return;
        }
        let records = self.membership.bucket_records(&differ);
        if let Some(link) = self.links.get_mut(id) {
            link.frames.push(Frame::Records(records));
            link.frames.push(Frame::Want(differ));
        }
    }

    /// Computes the member list anew, at most once a tick, however many members change at once.
    pub(super) fn members_changed(&mut self, now: Time, out: &mut Vec<Effect>) {
        if !std::mem::take(&mut self.changed) {
            return;
        }
        self.digest = self.membership.digest();
        let mut members: Vec<Member> = self.membership.live().cloned().collect();
        members.sort();
        if *self.members != *members {
            self.members = members.into();
            self.neighbours = self.membership.neighbours();
            out.push(Effect::Members(self.members.clone()));
            self.look_after_neighbours(now, out);
        }
    }

    pub(super) fn leave(&mut self) {
        let record = self.membership.leave();
        self.changed = true;
        self.spread(None, &Frame::Records(vec![record]));
    }
}
