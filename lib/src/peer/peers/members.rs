//! Suspicions, records, and the comparison of member lists.

use crate::{
    ids::DaemonId,
    peer::{
        Member,
        links::LinkId,
        membership::Change,
        message::{Frame, MemberState, Record, Suspicion},
        peers::{COMPARE_DELAY_HEARTBEATS, Effect, Peers, SUSPICION_HEARTBEATS},
    },
    units::Time,
};

impl Peers {
    pub(super) fn suspect(&mut self, now: Time, peer: &DaemonId) {
        if let Some(suspicion) = self.membership.new_suspicion(peer) {
            self.apply_suspicion(now, None, &suspicion);
        }
    }

    pub(super) fn apply_suspicion(
        &mut self,
        now: Time,
        from: Option<LinkId>,
        suspicion: &Suspicion,
    ) {
        match self.membership.apply_suspicion(now, suspicion) {
            Change::None => {}
            Change::Applied => {
                self.membership_changed = true;
                self.broadcast(from, &Frame::Suspect(suspicion.clone()));
            }
            Change::AboutSelf => {
                let own = self.membership.refute(suspicion.incarnation, suspicion.refutation);
                self.membership_changed = true;
                self.broadcast(None, &Frame::Records(vec![own]));
            }
        }
    }

    pub(super) fn apply_record(&mut self, now: Time, from: LinkId, record: &Record) {
        match self.membership.apply_record(now, record) {
            Change::Applied => {
                self.membership_changed = true;
                self.broadcast(Some(from), &Frame::Records(vec![record.clone()]));
            }
            Change::AboutSelf if self.membership.own().state == MemberState::Live => {
                let own = self.membership.refute(record.member.incarnation, record.refutation);
                self.membership_changed = true;
                self.broadcast(None, &Frame::Records(vec![own]));
            }
            Change::None | Change::AboutSelf => {}
        }
    }

    pub(super) fn expire_members(&mut self, now: Time) {
        let failed = self.membership.expire(now, self.heartbeat_duration(SUSPICION_HEARTBEATS));
        if !failed.is_empty() {
            self.membership_changed = true;
            self.broadcast(None, &Frame::Records(failed));
        }
    }

    pub(super) fn compare_members(&mut self, now: Time) {
        let delay = self.heartbeat_duration(COMPARE_DELAY_HEARTBEATS);
        let (own, digest) = (self.own().clone(), self.digest);
        let mut differing = Vec::new();
        for (id, link) in self.links.open_links_mut() {
            if link.last_heartbeat.members == digest || !link.received_heartbeat {
                link.differs_since = None;
                continue;
            }
            let since = *link.differs_since.get_or_insert(now);
            // One end requests the comparison first, and the other only if the lists still differ.
            let delay = if own < link.peer { delay } else { delay * 2 };
            if now.since(since) >= delay {
                link.differs_since = None;
                differing.push(id);
            }
        }
        for id in differing {
            self.request_comparison(id);
        }
    }

    pub(super) fn request_comparison(&mut self, id: LinkId) {
        let digests = self.membership.bucket_digests();
        if let Some(link) = self.links.get_mut(id) {
            link.frames.push(Frame::CompareDigests(digests));
        }
    }

    pub(super) fn handle_digests(&mut self, id: LinkId, theirs: &[u64]) {
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

    /// Recomputes the live members, at most once a tick, however many members change at once.
    pub(super) fn update_members(&mut self, now: Time, out: &mut Vec<Effect>) {
        if !std::mem::take(&mut self.membership_changed) {
            return;
        }
        self.digest = self.membership.digest();
        let mut members: Vec<Member> = self.membership.live_members().cloned().collect();
        members.sort();
        if *self.members != *members {
            self.members = members.into();
            self.neighbours = self.membership.neighbours();
            out.push(Effect::Members(self.members.clone()));
            self.maintain_neighbour_links(now, out);
        }
    }

    pub(super) fn leave(&mut self) {
        let record = self.membership.leave();
        self.membership_changed = true;
        self.broadcast(None, &Frame::Records(vec![record]));
    }
}
