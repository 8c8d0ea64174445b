//! What the peer slice does about members: accusations, records, and comparison of the lists.

use crate::{
    ids::DaemonId,
    peer::{
        Member,
        links::LinkId,
        membership::Change,
        message::{Frame, MemberState, Record, Suspicion},
        peers::{ACCUSED_BEATS, DIFFER_BEATS, Effect, Peers},
    },
    units::Time,
};

impl Peers {
    pub(super) fn suspect(&mut self, now: Time, peer: &DaemonId) {
        if let Some(suspicion) = self.membership.suspicion(peer) {
            self.take_suspicion(now, None, &suspicion);
        }
    }

    pub(super) fn take_suspicion(
        &mut self,
        now: Time,
        from: Option<LinkId>,
        suspicion: &Suspicion,
    ) {
        match self.membership.suspect(now, suspicion) {
            Change::None => {}
            Change::News => {
                self.changed = true;
                self.spread(from, &Frame::Suspect(suspicion.clone()));
            }
            Change::AboutSelf => {
                let own = self.membership.refute(suspicion.incarnation, suspicion.refutation);
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
            Change::AboutSelf if self.membership.own().state == MemberState::Live => {
                let own = self.membership.refute(record.member.incarnation, record.refutation);
                self.changed = true;
                self.spread(None, &Frame::Records(vec![own]));
            }
            Change::None | Change::AboutSelf => {}
        }
    }

    pub(super) fn expire_members(&mut self, now: Time) {
        let went = self.membership.expire(now, self.heartbeats(ACCUSED_BEATS));
        if !went.is_empty() {
            self.changed = true;
            self.spread(None, &Frame::Records(went));
        }
    }

    pub(super) fn compare_members(&mut self, now: Time) {
        let patience = self.heartbeats(DIFFER_BEATS);
        let (own, digest) = (self.own().clone(), self.digest);
        let mut differing = Vec::new();
        for (id, link) in self.links.open_mut() {
            if link.heartbeat_frame.members == digest || !link.beating {
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
            link.frames.push(Frame::CompareDigests(digests));
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
            link.frames.push(Frame::RequestBuckets(differ));
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
