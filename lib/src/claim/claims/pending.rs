//! Items of this daemon that await an answer, from a local shard or from the shard's writer.

use std::time::Duration;

use super::{Claims, Effect, MAX_PENDING_ITEMS};
use crate::{
    claim::{
        ClaimId, ClaimResponse, ClaimTicket,
        item::{Item, ItemAnswer, ItemOperation},
        message::Message,
        page::ShardKey,
        shard::{Context, Origin},
    },
    ids::DaemonId,
    units::Time,
};

/// How long a writer that did not answer in time is bypassed.
const SUSPECT_TIME: Duration = Duration::from_secs(5);
/// The most abandoned claims that are remembered, in case a peer writes one late.
const MAX_ABANDONED: usize = 1_000;

#[derive(Clone, Debug)]
pub(super) struct Pending {
    pub(super) item: Item,
    pub(super) deadline: Option<Time>,
    /// The writer that the item was sent to, and the deadline of its answer. `None` if the item is
    /// queued at a shard of this daemon.
    pub(super) forwarded: Option<(DaemonId, Time)>,
    /// Whether the peer that the item was sent to may still write it.
    pub(super) open_at_peer: bool,
    /// Whether a local shard has the item and has not answered it.
    pub(super) open_at_shard: bool,
    /// Whether the release must be written again, as the claim was written after it.
    pub(super) needs_second_release: bool,
}

impl Claims {
    pub(super) fn submit(
        &mut self,
        cx: &Context,
        item: Item,
        deadline: Option<Time>,
        out: &mut Vec<Effect>,
    ) {
        let writer = self.writer(&ShardKey::of(&item.service, &item.key));
        let suspected = self.suspects.get(&writer).is_some_and(|&until| until > cx.now);
        let local = writer == self.daemon || suspected;
        let forwarded = (!local).then(|| (writer.clone(), cx.now + self.cfg.forward_timeout));
        let pending = Pending {
            item: item.clone(),
            deadline,
            forwarded,
            open_at_peer: !local,
            open_at_shard: local,
            needs_second_release: false,
        };
        self.pending.insert(item.id.clone(), pending);
        if local {
            self.push(cx, Origin::Local, item, deadline, out);
        } else {
            out.push(Effect::Send(writer, Message::Item(Box::new(item))));
        }
    }

    /// Queues items locally whose writer has not answered within the forward timeout, and bypasses
    /// that writer for [`SUSPECT_TIME`].
    pub(super) fn write_overdue_locally(&mut self, cx: &Context, out: &mut Vec<Effect>) {
        let mut items = Vec::new();
        for pending in self.pending.values_mut() {
            if let Some((writer, answer_due)) = &pending.forwarded
                && *answer_due <= cx.now
            {
                self.suspects.insert(writer.clone(), cx.now + SUSPECT_TIME);
                pending.forwarded = None;
                pending.open_at_shard = true;
                items.push((pending.item.clone(), pending.deadline));
            }
        }
        for (item, deadline) in items {
            self.push(cx, Origin::Local, item, deadline, out);
        }
    }

    pub(super) fn route_answer(
        &mut self,
        cx: &Context,
        origin: Origin,
        id: ClaimId,
        answer: ItemAnswer,
        out: &mut Vec<Effect>,
    ) {
        match origin {
            Origin::Local => {
                if let Some(pending) = self.pending.get_mut(&id) {
                    pending.open_at_shard = false;
                }
                self.complete(cx, &id, answer, out);
            }
            Origin::Peer(peer) => out.push(Effect::Send(peer, Message::Answer(id, answer))),
        }
    }

    pub(super) fn handle_peer_answer(
        &mut self,
        cx: &Context,
        id: &ClaimId,
        answer: ItemAnswer,
        out: &mut Vec<Effect>,
    ) {
        let Some(pending) = self.pending.get_mut(id) else {
            return self.handle_late_answer(cx, id, &answer, out);
        };
        let failed = matches!(answer, ItemAnswer::Failed { .. });
        pending.open_at_peer = matches!(answer, ItemAnswer::Failed { may_take_effect: true, .. });
        if !(failed && pending.open_at_shard) {
            self.complete(cx, id, answer, out);
        }
    }

    /// Completes an item of this daemon with its first answer; later ones count as late answers.
    fn complete(&mut self, cx: &Context, id: &ClaimId, answer: ItemAnswer, out: &mut Vec<Effect>) {
        let Some(pending) = self.pending.get_mut(id) else {
            return self.handle_late_answer(cx, id, &answer, out);
        };
        if pending.item.operation == ItemOperation::Release && answer == ItemAnswer::Granted {
            // The claim was written after its release, so it must be released again.
            pending.needs_second_release = true;
        }
        if (pending.item.operation == ItemOperation::Claim) == (answer == ItemAnswer::Done) {
            return;
        }
        let Some(pending) = self.pending.swap_remove(id) else { return };
        let request = pending.item.request.clone();
        let unsettled = pending.open_at_peer || pending.open_at_shard;
        let (answer, may_take_effect) = match answer {
            ItemAnswer::Done if pending.needs_second_release => {
                return self.release(cx, pending.item, out);
            }
            ItemAnswer::Done => return,
            ItemAnswer::Granted => {
                let ticket = ticket_of(&pending.item);
                self.tickets.insert(ticket.clone(), id.clone());
                (ClaimResponse::Granted(ticket), false)
            }
            ItemAnswer::Stored(response) => (ClaimResponse::Stored(response), unsettled),
            ItemAnswer::Unresolved => (ClaimResponse::Unresolved, unsettled),
            ItemAnswer::OtherCall => (ClaimResponse::OtherCall, unsettled),
            ItemAnswer::Failed { retry_after, may_take_effect } => {
                (ClaimResponse::Unavailable { retry_after }, unsettled || may_take_effect)
            }
        };
        if may_take_effect {
            self.release(cx, pending.item, out);
        }
        out.push(Effect::Respond(request, answer));
    }

    /// Releases an abandoned claim that a peer has written late.
    fn handle_late_answer(
        &mut self,
        cx: &Context,
        id: &ClaimId,
        answer: &ItemAnswer,
        out: &mut Vec<Effect>,
    ) {
        if *answer == ItemAnswer::Granted
            && let Some(item) = self.abandoned.get(id).cloned()
        {
            self.release(cx, item, out);
        }
    }

    /// Releases a claim that this daemon has abandoned and never dispatches, in case a write of it
    /// takes effect. Does nothing while [`MAX_PENDING_ITEMS`] items are pending.
    fn release(&mut self, cx: &Context, item: Item, out: &mut Vec<Effect>) {
        if self.pending.len() >= MAX_PENDING_ITEMS {
            return;
        }
        if self.abandoned.len() >= MAX_ABANDONED {
            self.abandoned.shift_remove_index(0);
        }
        self.abandoned.insert(item.id.clone(), item.clone());
        self.submit(cx, Item { operation: ItemOperation::Release, ..item }, None, out);
    }
}

fn ticket_of(item: &Item) -> ClaimTicket {
    let Item { service, key, request, .. } = item;
    ClaimTicket { service: service.clone(), key: key.clone(), request: request.clone() }
}
